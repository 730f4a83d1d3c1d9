/// Simulation of a mesh in one process: many instances of membership and
/// broadcast, virtual time, fixed seeds, and a message queue that can drop,
/// delay, duplicate and reorder. Messages are encoded and decoded as in a real
/// mesh, so that their bytes can be counted.
#ifndef HAWTHORNSEAM_TEST_MESH_SIM_H
#define HAWTHORNSEAM_TEST_MESH_SIM_H

#include "base/hash.h"
#include "protocol/message.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define SIM_FRAME_BYTES 21 ///< length prefix, tag and type of a frame
#define SIM_TICK_MS 100
/// Bytes of HELLO and proof, in both directions, that each end of a new
/// connection sends and receives.
#define SIM_CONNECT_BYTES 200
#define SIM_IDLE_MS 60000 ///< an unused connection is closed after this time

struct sim;

struct sim_node
{
  struct sim *sim;
  unsigned index;
  struct member record;
  struct membership m;
  struct broadcaster broadcaster;
  struct rng rng;
  bool up;       ///< the process runs
  bool paused;   ///< the process runs but gets no CPU time
  bool cut;      ///< the machine is off the network and refuses no connections
  unsigned side; ///< side of a partition: other sides are not reachable
  uint64_t next_tick_ms;
  uint64_t version;
  uint64_t highest_version_heard;
  uint64_t bytes; ///< sent and received, with framing
  uint64_t messages;
  unsigned delivered;    ///< broadcasts received, other than member events
  unsigned hops;         ///< of the last of these broadcasts
  unsigned current_hops; ///< of the message that is being handled
  unsigned replaced;     ///< number of replaced connections
};

struct sim_message
{
  uint64_t due_ms;
  uint64_t order;
  unsigned from, to;
  unsigned type; ///< 0: the connection was refused
  unsigned hops;
  uint8_t *body;
  size_t size;
};

struct sim
{
  struct sim_node *nodes;
  unsigned count;
  uint64_t now_ms;
  struct rng rng;
  unsigned drop_permille;
  unsigned duplicate_permille;
  unsigned delay_ms;           ///< upper limit of the random message delay
  unsigned silent_a, silent_b; ///< their connection drops all; equal: none
  bool no_seeds;               ///< joins are not sent
  uint64_t *last_use;        ///< by pair of nodes; NULL: connections are free
  uint64_t sent[32];         ///< messages by type, without duplicates
  struct sim_message *queue; ///< binary heap
  size_t queue_count, queue_capacity;
  uint64_t order;
};

static inline struct sim_node *
sim_find (struct sim *sim, uint64_t slot_id)
{
  for (unsigned i = 0; i < sim->count; i++)
    if (sim->nodes[i].record.slot_id == slot_id)
      return &sim->nodes[i];
  return NULL;
}

static inline bool
sim_before (const struct sim_message *a, const struct sim_message *b)
{
  return a->due_ms != b->due_ms ? a->due_ms < b->due_ms : a->order < b->order;
}

static inline void
sim_push (struct sim *sim, struct sim_message message)
{
  if (sim->queue_count == sim->queue_capacity)
    {
      sim->queue_capacity = sim->queue_capacity * 2 + 64;
      sim->queue
          = realloc (sim->queue, sim->queue_capacity * sizeof *sim->queue);
    }
  message.order = sim->order++;
  size_t i = sim->queue_count++;
  for (; i > 0 && sim_before (&message, &sim->queue[(i - 1) / 2]);
       i = (i - 1) / 2)
    sim->queue[i] = sim->queue[(i - 1) / 2];
  sim->queue[i] = message;
}

static inline struct sim_message
sim_pop (struct sim *sim)
{
  struct sim_message top = sim->queue[0];
  struct sim_message last = sim->queue[--sim->queue_count];
  size_t i = 0;
  for (;;)
    {
      size_t child = 2 * i + 1;
      if (child >= sim->queue_count)
        break;
      if (child + 1 < sim->queue_count
          && sim_before (&sim->queue[child + 1], &sim->queue[child]))
        child++;
      if (!sim_before (&sim->queue[child], &last))
        break;
      sim->queue[i] = sim->queue[child];
      i = child;
    }
  sim->queue[i] = last;
  return top;
}

/// Counts the bytes of a new connection if two nodes have none open.
static inline void
sim_connect (struct sim *sim, struct sim_node *a, struct sim_node *b)
{
  uint64_t *last_use = a->index < b->index
                           ? &sim->last_use[a->index * sim->count + b->index]
                           : &sim->last_use[b->index * sim->count + a->index];
  if (*last_use == 0 || sim->now_ms - *last_use >= SIM_IDLE_MS)
    {
      a->bytes += SIM_CONNECT_BYTES;
      b->bytes += SIM_CONNECT_BYTES;
    }
  *last_use = sim->now_ms;
}

static inline void
sim_send (struct sim_node *from, uint64_t slot_id, unsigned type,
          msgpack_sbuffer *body)
{
  struct sim *sim = from->sim;
  struct sim_node *to = sim_find (sim, slot_id);
  from->bytes += body->size + SIM_FRAME_BYTES;
  from->messages++;
  sim->sent[type]++;
  if (to != NULL && sim->last_use != NULL)
    sim_connect (sim, from, to);
  struct sim_message message
      = { .from = from->index, .type = type, .hops = from->current_hops + 1 };
  if (to != NULL && !to->up && !to->cut && to->side == from->side)
    {
      message.to = from->index;
      message.from = to->index;
      message.type = 0;
      message.due_ms = sim->now_ms + 1;
      sim_push (sim, message);
    }
  else if (to != NULL)
    {
      message.to = to->index;
      int copies
          = rng_below (&sim->rng, 1000) < sim->duplicate_permille ? 2 : 1;
      while (copies-- > 0)
        {
          message.body = malloc (body->size);
          message.size = body->size;
          memcpy (message.body, body->data, body->size);
          message.due_ms
              = sim->now_ms + 1 + rng_below (&sim->rng, sim->delay_ms + 1);
          sim_push (sim, message);
        }
    }
  msgpack_sbuffer_destroy (body);
}

static inline void
sim_send_heartbeat (void *arg, uint64_t slot_id,
                    const struct heartbeat *heartbeat, bool answer)
{
  msgpack_sbuffer body;
  msgpack_sbuffer_init (&body);
  message_write_heartbeat (&body, heartbeat);
  sim_send (arg, slot_id, answer ? MESSAGE_ACK : MESSAGE_PING, &body);
}

static inline void
sim_send_members (void *arg, uint64_t slot_id, const uint32_t *handles,
                  size_t count, bool answer)
{
  msgpack_sbuffer body;
  msgpack_sbuffer_init (&body);
  message_write_members (&body, &((struct sim_node *)arg)->m.table, handles,
                         count, answer);
  sim_send (arg, slot_id, MESSAGE_MEMBERS, &body);
}

static inline void
sim_send_view_pull (void *arg, uint64_t slot_id,
                    const uint64_t digests[MEMBERSHIP_BUCKETS])
{
  msgpack_sbuffer body;
  msgpack_sbuffer_init (&body);
  message_write_view_pull (&body, digests);
  sim_send (arg, slot_id, MESSAGE_VIEW_PULL, &body);
}

static inline void
sim_send_retry_after (void *arg, uint64_t slot_id, uint32_t delay_ms)
{
  struct message_retry_after retry = { .delay_ms = delay_ms };
  msgpack_sbuffer body;
  msgpack_sbuffer_init (&body);
  message_write_retry_after (&body, &retry);
  sim_send (arg, slot_id, MESSAGE_RETRY_AFTER, &body);
}

/// Sends a join to one of the first three nodes, which are the seeds.
static inline void
sim_send_join (void *arg, const uint64_t digests[MEMBERSHIP_BUCKETS],
               uint32_t own_handle)
{
  struct sim_node *node = arg;
  struct sim_node *seed = &node->sim->nodes[rng_below (
      &node->rng, node->sim->count < 3 ? node->sim->count : 3)];
  if (seed == node || node->sim->no_seeds)
    return;
  sim_send_view_pull (node, seed->record.slot_id, digests);
  sim_send_members (node, seed->record.slot_id, &own_handle, 1, false);
}

static inline void
sim_broadcast_events (void *arg, const uint32_t *handles, size_t count,
                      const struct zone_reachability *reachability,
                      bool zone_only)
{
  struct sim_node *node = arg;
  msgpack_sbuffer body;
  msgpack_sbuffer_init (&body);
  message_write_events (&body, &node->m.table, handles, count, reachability);
  broadcast_start (&node->broadcaster, BROADCAST_KIND_MEMBER_EVENTS,
                   (const uint8_t *)body.data, body.size, zone_only,
                   node->sim->now_ms);
  msgpack_sbuffer_destroy (&body);
}

static inline void
sim_replace_connection (void *arg, uint64_t slot_id)
{
  struct sim_node *node = arg;
  const struct sim_node *other = sim_find (node->sim, slot_id);
  struct sim *sim = node->sim;
  node->replaced++;
  if (other != NULL
      && ((sim->silent_a == node->index && sim->silent_b == other->index)
          || (sim->silent_b == node->index && sim->silent_a == other->index)))
    sim->silent_a = sim->silent_b = 0;
}

static inline void
sim_version (void *arg, uint64_t *version, uint8_t hash[8])
{
  *version = ((struct sim_node *)arg)->version;
  memset (hash, 1, 8);
}

static inline void
sim_heard_version (void *arg, uint64_t slot_id, uint64_t version,
                   const uint8_t hash[8])
{
  struct sim_node *node = arg;
  if (version > node->highest_version_heard)
    node->highest_version_heard = version;
}

static inline void
sim_send_broadcast (void *arg, uint64_t slot_id,
                    const struct broadcast_message *message)
{
  msgpack_sbuffer body;
  msgpack_sbuffer_init (&body);
  message_write_broadcast (&body, message);
  sim_send (arg, slot_id, MESSAGE_BROADCAST, &body);
}

static inline void
sim_send_ack (void *arg, uint64_t slot_id, const struct broadcast_id *id)
{
  msgpack_sbuffer body;
  msgpack_sbuffer_init (&body);
  message_write_broadcast_ack (&body, id);
  sim_send (arg, slot_id, MESSAGE_BROADCAST_ACK, &body);
}

static inline void
sim_deliver (void *arg, uint64_t origin, unsigned kind, const uint8_t *body,
             size_t size)
{
  struct sim_node *node = arg;
  if (kind != BROADCAST_KIND_MEMBER_EVENTS)
    {
      node->delivered++;
      node->hops = node->current_hops;
      return;
    }
  void *arena = talloc_new (NULL);
  struct member *records;
  size_t count;
  struct zone_reachability reachability;
  bool has_reachability;
  if (message_read_events (body, size, arena, &records, &count, &reachability,
                           &has_reachability)
      == STATUS_OK)
    membership_handle_events (&node->m, records, count,
                              has_reachability ? &reachability : NULL,
                              node->sim->now_ms);
  talloc_free (arena);
}

static const struct membership_ops sim_membership_ops
    = { .send_heartbeat = sim_send_heartbeat,
        .send_members = sim_send_members,
        .send_view_pull = sim_send_view_pull,
        .send_retry_after = sim_send_retry_after,
        .send_join = sim_send_join,
        .broadcast = sim_broadcast_events,
        .replace_connection = sim_replace_connection,
        .version = sim_version,
        .member_version = sim_heard_version };

static const struct broadcast_ops sim_broadcast_ops = {
  .send = sim_send_broadcast, .send_ack = sim_send_ack, .deliver = sim_deliver
};

/// Starts the process of a node, with an empty member table.
static inline void
sim_start (struct sim *sim, unsigned index)
{
  struct sim_node *node = &sim->nodes[index];
  node->record.incarnation = 1000000 + sim->now_ms;
  node->record.state = MEMBER_ALIVE;
  membership_init (&node->m, &node->record, &sim_membership_ops, node,
                   &node->rng, sim->now_ms);
  broadcast_init (&node->broadcaster, node->record.slot_id, &node->m.ring,
                  &sim_broadcast_ops, node, &node->rng);
  node->up = true;
  node->cut = false;
  node->paused = false;
  node->next_tick_ms = sim->now_ms + rng_below (&sim->rng, SIM_TICK_MS);
}

/// Ends the process of a node without a leave announcement.
/// @param silently  the machine fails as well: connections to it are not
///                  refused but get no answer
static inline void
sim_kill (struct sim *sim, unsigned index, bool silently)
{
  struct sim_node *node = &sim->nodes[index];
  if (!node->up)
    return;
  membership_finish (&node->m);
  broadcast_finish (&node->broadcaster);
  node->up = false;
  node->cut = silently;
}

/// Initializes nodes and assigns them to the zones in turn; none runs yet.
static inline void
sim_init (struct sim *sim, unsigned count, unsigned zones, uint64_t seed)
{
  *sim = (struct sim){ .count = count, .now_ms = 1000, .delay_ms = 4 };
  sim->nodes = calloc (count, sizeof *sim->nodes);
  rng_init (&sim->rng, seed);
  for (unsigned i = 0; i < count; i++)
    {
      struct sim_node *node = &sim->nodes[i];
      *node = (struct sim_node){ .sim = sim, .index = i };
      rng_init (&node->rng, seed * 10007 + i);
      struct member *record = &node->record;
      snprintf (record->slot, sizeof record->slot, "vm-%05u", i);
      snprintf (record->availability_zone, sizeof record->availability_zone,
                "cz-central-%c", (char)('a' + i % zones));
      snprintf (record->region, sizeof record->region, "cz-central");
      snprintf (record->service, sizeof record->service, "service-%03u",
                i % 410);
      snprintf (record->target_version, sizeof record->target_version, "v1");
      record->target_state = TARGET_READY;
      record->target_slots = 12;
      record->slot_id = hash_placement_string (record->slot);
      record->address = 0x0a000000 + i;
      record->peer_port = 7000;
      record->call_port = 8000;
    }
}

static inline void
sim_finish (struct sim *sim)
{
  for (unsigned i = 0; i < sim->count; i++)
    sim_kill (sim, i, true);
  for (size_t i = 0; i < sim->queue_count; i++)
    free (sim->queue[i].body);
  free (sim->queue);
  free (sim->last_use);
  free (sim->nodes);
}

/// Starts all nodes with complete views, as in a mesh without recent changes.
static inline void
sim_start_settled (struct sim *sim)
{
  for (unsigned i = 0; i < sim->count; i++)
    sim_start (sim, i);
  for (unsigned i = 0; i < sim->count; i++)
    {
      struct membership *m = &sim->nodes[i].m;
      for (unsigned j = 0; j < sim->count; j++)
        membership_handle_events (m, &sim->nodes[j].record, i == j ? 0 : 1,
                                  NULL, sim->now_ms);
      m->joined = true;
    }
}

static inline void
sim_handle (struct sim_node *node, const struct sim_message *message)
{
  struct sim *sim = node->sim;
  uint64_t from = sim->nodes[message->from].record.slot_id;
  struct heartbeat heartbeat;
  struct broadcast_message broadcast;
  struct broadcast_id id;
  uint64_t digests[MEMBERSHIP_BUCKETS];
  struct message_retry_after retry;
  struct member *records;
  size_t count;
  bool answer;
  node->bytes += message->size + SIM_FRAME_BYTES;
  node->messages++;
  node->current_hops = message->hops;
  switch (message->type)
    {
    case MESSAGE_PING:
    case MESSAGE_ACK:
      if (message_read_heartbeat (message->body, message->size, &heartbeat)
          == STATUS_OK)
        membership_handle_heartbeat (&node->m, from, &heartbeat,
                                     message->type == MESSAGE_ACK,
                                     sim->now_ms);
      break;
    case MESSAGE_MEMBERS:
      if (message_read_members (message->body, message->size, NULL, &records,
                                &count, &answer)
          == STATUS_OK)
        {
          membership_handle_members (&node->m, from, records, count, answer,
                                     sim->now_ms);
          talloc_free (records);
        }
      break;
    case MESSAGE_VIEW_PULL:
      if (message_read_view_pull (message->body, message->size, digests)
          == STATUS_OK)
        membership_handle_view_pull (&node->m, from, digests, sim->now_ms);
      break;
    case MESSAGE_RETRY_AFTER:
      if (message_read_retry_after (message->body, message->size, &retry)
          == STATUS_OK)
        membership_handle_retry_after (&node->m, retry.delay_ms, sim->now_ms);
      break;
    case MESSAGE_BROADCAST:
      if (message_read_broadcast (message->body, message->size, &broadcast)
          == STATUS_OK)
        broadcast_receive (&node->broadcaster, from, &broadcast, sim->now_ms);
      break;
    case MESSAGE_BROADCAST_ACK:
      if (message_read_broadcast_ack (message->body, message->size, &id)
          == STATUS_OK)
        broadcast_receive_ack (&node->broadcaster, from, &id);
      break;
    default:
      membership_handle_connect_failure (&node->m, from, sim->now_ms);
      break;
    }
  node->current_hops = 0;
}

static inline bool
sim_is_delivered (struct sim *sim, const struct sim_message *message)
{
  const struct sim_node *from = &sim->nodes[message->from];
  const struct sim_node *to = &sim->nodes[message->to];
  if (!to->up || to->paused)
    return false;
  if (message->type == 0)
    return true;
  if (from->side != to->side || from->cut || to->cut
      || rng_below (&sim->rng, 1000) < sim->drop_permille)
    return false;
  return sim->silent_a == sim->silent_b
         || !((sim->silent_a == message->from && sim->silent_b == message->to)
              || (sim->silent_b == message->from
                  && sim->silent_a == message->to));
}

/// @return the time of the next message or tick, at most end_ms
static inline uint64_t
sim_next_ms (const struct sim *sim, uint64_t end_ms)
{
  uint64_t next_ms = end_ms;
  if (sim->queue_count > 0 && sim->queue[0].due_ms < next_ms)
    next_ms = sim->queue[0].due_ms;
  for (unsigned i = 0; i < sim->count; i++)
    {
      const struct sim_node *node = &sim->nodes[i];
      if (node->up && !node->paused && node->next_tick_ms < next_ms)
        next_ms = node->next_tick_ms;
    }
  return next_ms > sim->now_ms ? next_ms : sim->now_ms + 1;
}

/// Advances virtual time, delivers messages and calls ticks.
static inline void
sim_run (struct sim *sim, uint64_t duration_ms)
{
  uint64_t end_ms = sim->now_ms + duration_ms;
  while (sim->now_ms < end_ms)
    {
      sim->now_ms = sim_next_ms (sim, end_ms);
      while (sim->queue_count > 0 && sim->queue[0].due_ms <= sim->now_ms)
        {
          struct sim_message message = sim_pop (sim);
          if (sim_is_delivered (sim, &message))
            sim_handle (&sim->nodes[message.to], &message);
          free (message.body);
        }
      for (unsigned i = 0; i < sim->count; i++)
        {
          struct sim_node *node = &sim->nodes[i];
          if (!node->up || node->paused || node->next_tick_ms > sim->now_ms)
            continue;
          node->next_tick_ms = sim->now_ms + SIM_TICK_MS;
          membership_tick (&node->m, sim->now_ms);
          broadcast_tick (&node->broadcaster, sim->now_ms);
        }
    }
}

/// @return the state of a member in a node's view
static inline enum member_state
sim_state (const struct sim *sim, unsigned at, unsigned of)
{
  const struct member_table *table = &sim->nodes[at].m.table;
  uint32_t handle = member_find (table, sim->nodes[of].record.slot_id);
  return handle == MEMBER_NONE ? MEMBER_DEAD
                               : member_get (table, handle)->state;
}

/// @return number of wrong entries in the views of running nodes: running
///         nodes that are not alive there, and stopped ones that are
static inline unsigned
sim_wrong_views (const struct sim *sim)
{
  unsigned wrong = 0;
  for (unsigned i = 0; i < sim->count; i++)
    for (unsigned j = 0; sim->nodes[i].up && j < sim->count; j++)
      if ((sim_state (sim, i, j) == MEMBER_ALIVE) != sim->nodes[j].up)
        wrong++;
  return wrong;
}

/// Runs until no view is wrong.
/// @return the time that it took; limit_ms or more when views are still wrong
static inline uint64_t
sim_converge (struct sim *sim, uint64_t limit_ms)
{
  uint64_t start_ms = sim->now_ms;
  while (sim->now_ms - start_ms < limit_ms && sim_wrong_views (sim) > 0)
    sim_run (sim, 100);
  return sim->now_ms - start_ms;
}

#endif
