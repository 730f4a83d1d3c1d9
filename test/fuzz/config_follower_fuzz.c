/// Four nodes follow configuration versions from a failing store and from each
/// other, while messages are delayed, duplicated, reordered or lost, and nodes
/// crash and restart with empty memory. Invariants: within one process
/// versions only grow, match the accepted chain and come into force after
/// another node recorded them for the slot; a ready node holds at least the
/// highest version that its slot ever had in force, if the store confirmed the
/// head or a live node recorded that version.
#include "../unit/config_follower_sim.h"

#define REQUIRE(condition)                                                    \
  do                                                                          \
    if (!(condition))                                                         \
      {                                                                       \
        fprintf (stderr, "%s:%d: %s\n", __FILE__, __LINE__, #condition);      \
        abort ();                                                             \
      }                                                                       \
  while (0)

#define NODES 4
#define QUEUE_MAX 64
#define VERSIONS 40

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

enum message_kind
{
  RECORD,   ///< pushed or pulled; the sender recorded the floor before
  SNAPSHOT, ///< likewise
  PULL,
  FLOOR,
  FLOOR_ACK,
  FLOOR_QUERY,
  FLOOR_REPLY,
  HEAD_REPLY
};

struct message
{
  enum message_kind kind;
  int from, to;
  /// Of the receiver when it was sent: a restart ends its connections.
  unsigned generation;
  uint64_t version, floor;
  bool ready;
};

struct peer
{
  struct config_follower follower;
  bool up;
  bool unconfirmed; ///< settled for fewer peer replies than required
  bool confirmed;   ///< the store confirmed a head to this process
  bool was_ready;
  unsigned generation; ///< grows with every restart
  uint64_t current;    ///< version in force in this process
  uint64_t highest;    ///< version ever in force at the slot
  /// Version that another node has yet to record for this slot; 0: none.
  uint64_t floor_to_record;
};

static struct chain *chain;
static struct peer peers[NODES];
/// Highest version that any other node ever recorded for a slot.
static uint64_t recorded[NODES];
static struct message queue[QUEUE_MAX];
static int queued;
static uint64_t head;
static bool store_unavailable;
static uint64_t now_ms;

static uint64_t
slot_of (int i)
{
  return 1000 + (uint64_t)i;
}

static uint32_t
others_alive (int self)
{
  uint32_t alive = 0;
  for (int i = 0; i < NODES; i++)
    alive += i != self && peers[i].up;
  return alive;
}

/// Records at one node that the slot of another may hold a version.
static void
record_floor (int recorder, int holder, uint64_t version)
{
  config_follower_set_floor (&peers[recorder].follower, slot_of (holder),
                             version);
  if (version > recorded[holder])
    recorded[holder] = version;
}

/// Confirms a node's floor without another node that records it.
static void
confirm_floor (int i, uint64_t version)
{
  if (version > recorded[i])
    recorded[i] = version;
  config_follower_floor_recorded (&peers[i].follower, version);
}

static void
send_message (enum message_kind kind, int from, int to, uint64_t version,
              uint64_t floor, bool ready)
{
  if (queued == QUEUE_MAX || to < 0)
    return;
  queue[queued++] = (struct message){ .kind = kind,
                                      .from = from,
                                      .to = to,
                                      .generation = peers[to].generation,
                                      .version = version,
                                      .floor = floor,
                                      .ready = ready };
}

static void
in_force (void *arg, const struct config *config,
          const struct config_record *record)
{
  struct peer *peer = arg;
  REQUIRE (config->version > peer->current);
  REQUIRE (config->version <= recorded[peer - peers]);
  REQUIRE (config->version <= chain->newest);
  REQUIRE (hash_equal (&config->hash, &chain->contents[config->version].hash));
  peer->current = config->version;
  if (peer->current > peer->highest)
    peer->highest = peer->current;
}

static void
announce_floor (void *arg, uint64_t version)
{
  ((struct peer *)arg)->floor_to_record = version;
}

static const struct config_follower_ops ops
    = { .in_force = in_force, .announce_floor = announce_floor };

static void
start_node (int i)
{
  struct peer *peer = &peers[i];
  peer->up = true;
  peer->generation++;
  peer->current = 0;
  peer->floor_to_record = 0;
  peer->unconfirmed = peer->confirmed = peer->was_ready = false;
  config_follower_init (&peer->follower, &ops, peer);
}

static void
crash_node (int i)
{
  if (!peers[i].up)
    return;
  peers[i].up = false;
  config_follower_finish (&peers[i].follower);
}

/// Checks the version of a node that just became ready.
static void
check_ready (int i)
{
  struct peer *peer = &peers[i];
  if (!peer->up || peer->was_ready || !config_follower_ready (&peer->follower))
    return;
  peer->was_ready = true;
  if (peer->unconfirmed)
    return;
  bool known = peer->confirmed;
  for (int j = 0; j < NODES; j++)
    if (j != i && peers[j].up
        && config_follower_get_floor (&peers[j].follower, slot_of (i))
               >= peer->highest)
      known = true;
  if (known)
    REQUIRE (peer->current >= peer->highest);
}

static void
reply_to_pull (int i, int to, uint64_t held)
{
  struct config_follower *follower = &peers[i].follower;
  uint64_t version = config_follower_current (follower)->version;
  if (held >= version)
    return;
  record_floor (i, to, version);
  if (config_follower_history (follower, held + 1) == NULL)
    send_message (SNAPSHOT, i, to, version, 0, false);
  else
    for (uint64_t v = held + 1; v <= version; v++)
      send_message (RECORD, i, to, v, 0, false);
}

static void
deliver (const struct message *message)
{
  struct peer *peer = &peers[message->to];
  if (!peer->up || message->generation != peer->generation)
    return;
  struct config_follower *follower = &peer->follower;
  uint64_t v = message->version;
  switch (message->kind)
    {
    case RECORD:
      config_follower_floor_recorded (follower, v);
      if (config_follower_offer_record (follower, &chain->records[v], now_ms)
          == STATUS_UNAVAILABLE)
        send_message (PULL, message->to, message->from, peer->current, 0,
                      false);
      break;
    case SNAPSHOT:
      config_follower_floor_recorded (follower, v);
      config_follower_offer_snapshot (follower, v, &chain->contents[v].hash,
                                      chain->encodings[v],
                                      chain->encoding_sizes[v], now_ms);
      break;
    case PULL:
      reply_to_pull (message->to, message->from, v);
      break;
    case FLOOR:
      record_floor (message->to, message->from, v);
      send_message (FLOOR_ACK, message->to, message->from, v, 0, false);
      break;
    case FLOOR_ACK:
      config_follower_floor_recorded (follower, v);
      break;
    case FLOOR_QUERY:
      send_message (
          FLOOR_REPLY, message->to, message->from, peer->current,
          config_follower_get_floor (follower, slot_of (message->from)),
          config_follower_ready (follower));
      break;
    case FLOOR_REPLY:
      config_follower_floor_reply (follower, slot_of (message->from),
                                   message->floor, v, message->ready,
                                   others_alive (message->to));
      send_message (PULL, message->to, message->from, peer->current, 0, false);
      break;
    case HEAD_REPLY:
      peer->confirmed = true;
      config_follower_head_confirmed (follower, v);
      break;
    }
  check_ready (message->to);
}

/// Delivers a queued message.
/// @param keep  leaves it in the queue, so that it can arrive again
static void
deliver_queued (int i, bool keep)
{
  struct message message = queue[i];
  if (!keep)
    queue[i] = queue[--queued];
  deliver (&message);
}

/// Offers the next record of the store, as a relay gets it from a watch or a
/// read.
static void
read_store (int i)
{
  struct peer *peer = &peers[i];
  if (!peer->up || store_unavailable)
    return;
  uint64_t next = config_follower_newest (&peer->follower) + 1;
  if (next <= head)
    config_follower_offer_record (&peer->follower, &chain->records[next],
                                  now_ms);
}

static void
push (int from, int to)
{
  uint64_t version = peers[from].current;
  if (!peers[from].up || from == to || version == 0
      || config_follower_history (&peers[from].follower, version) == NULL)
    return;
  record_floor (from, to, version);
  send_message (RECORD, from, to, version, 0, false);
}

/// Sends a whole configuration without a pull, as a peer with a short history
/// does, also to a node that holds a newer version.
static void
send_snapshot (int from, int to)
{
  uint64_t version = peers[from].current;
  if (!peers[from].up || from == to || version == 0)
    return;
  record_floor (from, to, version);
  send_message (SNAPSHOT, from, to, version, 0, false);
}

static void
announce (int i, int to)
{
  struct peer *peer = &peers[i];
  if (!peer->up || peer->floor_to_record == 0)
    return;
  if (others_alive (i) == 0)
    confirm_floor (i, peer->floor_to_record);
  else if (i != to)
    send_message (FLOOR, i, to, peer->floor_to_record, 0, false);
}

static void
ask_peers (int i)
{
  struct peer *peer = &peers[i];
  if (!peer->up || config_follower_ready (&peer->follower))
    return;
  config_follower_ask_peers (&peer->follower, now_ms);
  for (int j = 0; j < NODES; j++)
    if (j != i)
      send_message (FLOOR_QUERY, i, j, 0, 0, false);
}

/// Lets time pass, after which a node may settle for too few replies.
static void
pass_time (int i)
{
  struct peer *peer = &peers[i];
  now_ms += CONFIG_FOLLOWER_REPLIES_TIMEOUT_MS / 2;
  if (!peer->up)
    return;
  bool known = config_follower_bound_known (&peer->follower);
  config_follower_tick (&peer->follower, now_ms);
  if (config_follower_bound_known (&peer->follower) && !known)
    peer->unconfirmed = true;
  check_ready (i);
}

static void
apply_action (uint8_t action, uint8_t argument)
{
  int i = argument % NODES;
  int j = argument / NODES % NODES;
  switch (action % 15)
    {
    case 0:
      if (!store_unavailable && head < VERSIONS)
        head++;
      break;
    case 1:
      read_store (i);
      break;
    case 14:
      send_snapshot (i, j);
      break;
    case 2:
    case 3:
      push (i, j);
      break;
    case 4:
    case 5:
    case 6:
      if (queued > 0)
        deliver_queued (argument % queued, false);
      break;
    case 7:
      if (queued > 0)
        deliver_queued (argument % queued, true);
      break;
    case 8:
      if (queued > 0)
        {
          queue[argument % queued] = queue[queued - 1];
          queued--;
        }
      break;
    case 9:
      if (peers[i].up && argument < 160)
        crash_node (i);
      else if (!peers[i].up)
        start_node (i);
      break;
    case 10:
      store_unavailable = argument % 2 != 0;
      break;
    case 11:
      announce (i, j);
      break;
    case 12:
      if (!store_unavailable && argument >= 64)
        send_message (HEAD_REPLY, i, i, head, 0, false);
      else
        ask_peers (i);
      break;
    default:
      pass_time (i);
      break;
    }
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  if (chain == NULL)
    chain = chain_new (VERSIONS);
  memset (peers, 0, sizeof peers);
  memset (recorded, 0, sizeof recorded);
  queued = 0;
  head = 0;
  store_unavailable = false;
  now_ms = 1000;
  for (int i = 0; i < NODES; i++)
    start_node (i);
  for (size_t i = 0; i + 1 < size; i += 2)
    apply_action (data[i], data[i + 1]);
  /* Recovery: with the store available every node must reach the head. */
  for (int i = 0; i < NODES; i++)
    {
      if (!peers[i].up)
        start_node (i);
      store_unavailable = false;
      while (config_follower_newest (&peers[i].follower) < head)
        {
          uint64_t before = config_follower_newest (&peers[i].follower);
          confirm_floor (i, before);
          read_store (i);
          REQUIRE (config_follower_newest (&peers[i].follower) > before);
        }
      confirm_floor (i, head);
      config_follower_head_confirmed (&peers[i].follower, head);
      peers[i].confirmed = true;
      REQUIRE (peers[i].current == head
               && config_follower_ready (&peers[i].follower));
    }
  for (int i = 0; i < NODES; i++)
    crash_node (i);
  return 0;
}
