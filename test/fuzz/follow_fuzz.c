/// Four nodes follow versions from a store that fails and from each other,
/// while messages are delivered late, twice, in any order or never, and nodes
/// crash and restart with empty memory. Oracle: within one process versions
/// only grow, match the accepted chain and come into force after another node
/// recorded them for the slot; a ready node holds at least what its slot ever
/// had in force, if the store confirmed the head or a living node recorded it.
#include "../unit/follow_sim.h"

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

enum kind
{
  RECORD,   ///< pushed or pulled; the sender recorded the floor
  SNAPSHOT, ///< the same
  PULL,
  FLOOR,
  FLOOR_ACK,
  FLOOR_QUERY,
  FLOOR_REPLY,
  HEAD_REPLY
};

struct event
{
  enum kind kind;
  int from, to;
  unsigned life; ///< of the receiver when it was sent, for connections
  uint64_t version, floor;
  bool ready;
};

struct peer
{
  struct follow follow;
  bool up;
  bool unconfirmed; ///< became ready by giving up
  bool confirmed;   ///< the store confirmed a head in this life
  bool was_ready;
  unsigned life;
  uint64_t last;    ///< version in force in this life
  uint64_t highest; ///< ever in force at the slot
  uint64_t floor_wanted;
};

static struct chain *chain;
static struct peer peers[NODES];
/// Highest version that any other node ever recorded for a slot.
static uint64_t recorded[NODES];
static struct event queue[QUEUE_MAX];
static int queued;
static uint64_t head;
static bool store_out;
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

/// Records at one node that another may hold a version.
static void
record_floor (int at, int of, uint64_t version)
{
  follow_set_floor (&peers[at].follow, slot_of (of), version);
  if (version > recorded[of])
    recorded[of] = version;
}

/// Lets a node go on that has nobody to record its floor.
static void
record_alone (int i, uint64_t version)
{
  if (version > recorded[i])
    recorded[i] = version;
  follow_floor_recorded (&peers[i].follow, version);
}

static void
post (enum kind kind, int from, int to, uint64_t version, uint64_t floor,
      bool ready)
{
  if (queued == QUEUE_MAX || to < 0)
    return;
  queue[queued++] = (struct event){ .kind = kind,
                                    .from = from,
                                    .to = to,
                                    .life = peers[to].life,
                                    .version = version,
                                    .floor = floor,
                                    .ready = ready };
}

static void
in_force (void *arg, const struct config *config,
          const struct config_record *record)
{
  struct peer *peer = arg;
  REQUIRE (config->version > peer->last);
  REQUIRE (config->version <= recorded[peer - peers]);
  REQUIRE (config->version <= chain->newest);
  REQUIRE (hash_equal (&config->hash, &chain->contents[config->version].hash));
  peer->last = config->version;
  if (peer->last > peer->highest)
    peer->highest = peer->last;
}

static void
announce_floor (void *arg, uint64_t version)
{
  ((struct peer *)arg)->floor_wanted = version;
}

static const struct follow_ops ops
    = { .in_force = in_force, .announce_floor = announce_floor };

static void
start (int i)
{
  struct peer *peer = &peers[i];
  peer->up = true;
  peer->life++;
  peer->last = 0;
  peer->floor_wanted = 0;
  peer->unconfirmed = peer->confirmed = peer->was_ready = false;
  follow_init (&peer->follow, &ops, peer);
}

static void
crash (int i)
{
  if (!peers[i].up)
    return;
  peers[i].up = false;
  follow_finish (&peers[i].follow);
}

/// Judges a node that just became ready.
static void
check_ready (int i)
{
  struct peer *peer = &peers[i];
  if (!peer->up || peer->was_ready || !follow_ready (&peer->follow))
    return;
  peer->was_ready = true;
  if (peer->unconfirmed)
    return;
  bool known = peer->confirmed;
  for (int j = 0; j < NODES; j++)
    if (j != i && peers[j].up
        && follow_get_floor (&peers[j].follow, slot_of (i)) >= peer->highest)
      known = true;
  if (known)
    REQUIRE (peer->last >= peer->highest);
}

static void
answer_pull (int i, int to, uint64_t held)
{
  struct follow *follow = &peers[i].follow;
  uint64_t version = follow_current (follow)->version;
  if (held >= version)
    return;
  record_floor (i, to, version);
  if (follow_history (follow, held + 1) == NULL)
    post (SNAPSHOT, i, to, version, 0, false);
  else
    for (uint64_t v = held + 1; v <= version; v++)
      post (RECORD, i, to, v, 0, false);
}

static void
deliver (const struct event *event)
{
  struct peer *peer = &peers[event->to];
  if (!peer->up || event->life != peer->life)
    return;
  struct follow *follow = &peer->follow;
  uint64_t v = event->version;
  switch (event->kind)
    {
    case RECORD:
      follow_floor_recorded (follow, v);
      if (follow_offer_record (follow, &chain->records[v], now_ms)
          == STATUS_UNAVAILABLE)
        post (PULL, event->to, event->from, peer->last, 0, false);
      break;
    case SNAPSHOT:
      follow_floor_recorded (follow, v);
      follow_offer_snapshot (follow, v, &chain->contents[v].hash,
                             chain->encodings[v], chain->encoding_sizes[v],
                             now_ms);
      break;
    case PULL:
      answer_pull (event->to, event->from, v);
      break;
    case FLOOR:
      record_floor (event->to, event->from, v);
      post (FLOOR_ACK, event->to, event->from, v, 0, false);
      break;
    case FLOOR_ACK:
      follow_floor_recorded (follow, v);
      break;
    case FLOOR_QUERY:
      post (FLOOR_REPLY, event->to, event->from, peer->last,
            follow_get_floor (follow, slot_of (event->from)),
            follow_ready (follow));
      break;
    case FLOOR_REPLY:
      follow_floor_reply (follow, slot_of (event->from), event->floor, v,
                          event->ready, others_alive (event->to));
      post (PULL, event->to, event->from, peer->last, 0, false);
      break;
    case HEAD_REPLY:
      peer->confirmed = true;
      follow_head_confirmed (follow, v);
      break;
    }
  check_ready (event->to);
}

static void
take_event (int i, bool keep)
{
  struct event event = queue[i];
  if (!keep)
    queue[i] = queue[--queued];
  deliver (&event);
}

/// The store's watch or the answer to a read, as a relay sees it.
static void
read_store (int i)
{
  struct peer *peer = &peers[i];
  if (!peer->up || store_out)
    return;
  uint64_t next = follow_newest (&peer->follow) + 1;
  if (next <= head)
    follow_offer_record (&peer->follow, &chain->records[next], now_ms);
}

static void
push (int from, int to)
{
  uint64_t version = peers[from].last;
  if (!peers[from].up || from == to || version == 0
      || follow_history (&peers[from].follow, version) == NULL)
    return;
  record_floor (from, to, version);
  post (RECORD, from, to, version, 0, false);
}

/// Sends a whole content unasked, as a peer with a short history does, also to
/// a node that holds a newer version.
static void
send_snapshot (int from, int to)
{
  uint64_t version = peers[from].last;
  if (!peers[from].up || from == to || version == 0)
    return;
  record_floor (from, to, version);
  post (SNAPSHOT, from, to, version, 0, false);
}

static void
announce (int i, int to)
{
  struct peer *peer = &peers[i];
  if (!peer->up || peer->floor_wanted == 0)
    return;
  if (others_alive (i) == 0)
    record_alone (i, peer->floor_wanted);
  else if (i != to)
    post (FLOOR, i, to, peer->floor_wanted, 0, false);
}

static void
ask_peers (int i)
{
  struct peer *peer = &peers[i];
  if (!peer->up || follow_ready (&peer->follow))
    return;
  follow_ask_peers (&peer->follow, now_ms);
  for (int j = 0; j < NODES; j++)
    if (j != i)
      post (FLOOR_QUERY, i, j, 0, 0, false);
}

static void
give_up (int i)
{
  struct peer *peer = &peers[i];
  now_ms += FOLLOW_ANSWERS_MS / 2;
  if (!peer->up)
    return;
  bool known = follow_bound_known (&peer->follow);
  follow_tick (&peer->follow, now_ms);
  if (follow_bound_known (&peer->follow) && !known)
    peer->unconfirmed = true;
  check_ready (i);
}

static void
apply (uint8_t action, uint8_t argument)
{
  int i = argument % NODES;
  int j = argument / NODES % NODES;
  switch (action % 15)
    {
    case 0:
      if (!store_out && head < VERSIONS)
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
        take_event (argument % queued, false);
      break;
    case 7:
      if (queued > 0)
        take_event (argument % queued, true);
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
        crash (i);
      else if (!peers[i].up)
        start (i);
      break;
    case 10:
      store_out = argument % 2 != 0;
      break;
    case 11:
      announce (i, j);
      break;
    case 12:
      if (!store_out && argument >= 64)
        post (HEAD_REPLY, i, i, head, 0, false);
      else
        ask_peers (i);
      break;
    default:
      give_up (i);
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
  store_out = false;
  now_ms = 1000;
  for (int i = 0; i < NODES; i++)
    start (i);
  for (size_t i = 0; i + 1 < size; i += 2)
    apply (data[i], data[i + 1]);
  /* Healing: with the store every node must reach the head. */
  for (int i = 0; i < NODES; i++)
    {
      if (!peers[i].up)
        start (i);
      store_out = false;
      while (follow_newest (&peers[i].follow) < head)
        {
          uint64_t before = follow_newest (&peers[i].follow);
          record_alone (i, before);
          read_store (i);
          REQUIRE (follow_newest (&peers[i].follow) > before);
        }
      record_alone (i, head);
      follow_head_confirmed (&peers[i].follow, head);
      peers[i].confirmed = true;
      REQUIRE (peers[i].last == head && follow_ready (&peers[i].follow));
    }
  for (int i = 0; i < NODES; i++)
    crash (i);
  return 0;
}
