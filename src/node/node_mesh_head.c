/// Owns the queries that make a starting node ready: reads of the store's head
/// record, for this node and for the nodes that ask this relay, and queries to
/// peers while the store is unavailable.
#include "node/node_mesh.h"

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include "protocol/record.h"

#include <stdlib.h>
#include <string.h>

static struct counter reads
    = COUNTER ("mesh_head_reads", "Reads of the head for waiting nodes.");
static struct counter queries
    = COUNTER ("mesh_head_queries", "Head queries from other nodes.");

#define READ_INTERVAL_MS 100   ///< limits reads to 10 a second
#define QUERY_INTERVAL_MS 1000 ///< time between queries of this node
/// A node that has not joined any other by this time reads the store itself.
#define UNJOINED_DELAY_MS 3000
/// Limit of peers that are asked for the floor of this node's slot: first up
/// to FLOOR_PEERS_MAX - 2 successors on the ring, then the first relays of
/// zones.
#define FLOOR_PEERS_MAX 6

static void
reply_to_query (struct node_mesh *mesh, const struct mesh_query *query,
                uint64_t version, bool confirmed)
{
  if (query->slot_id != 0)
    {
      struct message_head_reply reply
          = { .seq = query->seq, .version = version, .confirmed = confirmed };
      msgpack_sbuffer body;
      msgpack_sbuffer_init (&body);
      message_write_head_reply (&body, &reply);
      mesh_send (mesh, query->slot_id, MESSAGE_HEAD_REPLY, &body);
    }
  else if (confirmed)
    config_follower_head_confirmed (&mesh->follower, version);
  else
    config_follower_ask_peers (&mesh->follower, clock_monotonic_ms ());
}

static void
on_head_read (void *arg, const struct store_reply *reply)
{
  struct node *node = arg;
  struct node_mesh *mesh = node->mesh;
  if (mesh == NULL)
    return;
  struct mesh_head *head = &mesh->head;
  struct record_head record = { 0 };
  bool confirmed = reply->status == STATUS_NOT_FOUND;
  if (reply->status == STATUS_OK)
    confirmed
        = record_head_decode (&record, reply->data, reply->size) == STATUS_OK;
  head->running = false;
  size_t count = head->reading_count;
  head->reading_count = 0;
  for (size_t i = 0; i < count; i++)
    reply_to_query (mesh, &head->reading[i], record.version, confirmed);
}

/// Starts one read for all waiting queries. A query that arrives during the
/// read waits for the next one, because this read may return a head that is
/// older than the query.
static void
start_read (struct node_mesh *mesh, uint64_t now_ms)
{
  struct mesh_head *head = &mesh->head;
  if (head->running || head->waiting_count == 0 || now_ms < head->next_ms)
    return;
  struct mesh_query *spare = head->reading;
  head->reading = head->waiting;
  head->reading_count = head->waiting_count;
  head->waiting = spare;
  head->waiting_count = 0;
  head->next_ms = now_ms + READ_INTERVAL_MS;
  if (mesh->node->store_ops == NULL)
    {
      struct store_reply reply = { .status = STATUS_UNAVAILABLE };
      on_head_read (mesh->node, &reply);
      return;
    }
  head->running = true;
  counter_add (&reads, 1);
  mesh->node->store_ops->get (mesh->node->store, RECORD_HEAD_KEY, on_head_read,
                              mesh->node);
}

static void
add_query (struct node_mesh *mesh, uint64_t slot_id, uint64_t seq)
{
  struct mesh_head *head = &mesh->head;
  if (head->waiting == NULL || head->reading == NULL)
    return;
  for (size_t i = 0; i < head->waiting_count; i++)
    if (head->waiting[i].slot_id == slot_id)
      {
        head->waiting[i].seq = seq;
        return;
      }
  if (head->waiting_count < MESH_QUERIES_MAX)
    head->waiting[head->waiting_count++]
        = (struct mesh_query){ .slot_id = slot_id, .seq = seq };
}

static void
on_head_query (void *arg, uint64_t from, const uint8_t *body, size_t size)
{
  struct node_mesh *mesh = arg;
  uint64_t seq;
  if (message_read_head_query (body, size, &seq) != STATUS_OK)
    return;
  counter_add (&queries, 1);
  add_query (mesh, from, seq);
  start_read (mesh, clock_monotonic_ms ());
}

static void
on_head_reply (void *arg, uint64_t from, const uint8_t *body, size_t size)
{
  struct node_mesh *mesh = arg;
  struct message_head_reply reply;
  if (message_read_head_reply (body, size, &reply) != STATUS_OK
      || reply.seq != mesh->head.seq)
    return;
  if (reply.confirmed)
    {
      config_follower_head_confirmed (&mesh->follower, reply.version);
      mesh_config_handle_version (mesh, from, reply.version,
                                  (uint8_t[8]){ 0 });
    }
  else
    config_follower_ask_peers (&mesh->follower, clock_monotonic_ms ());
}

static void
on_floor_query (void *arg, uint64_t from, const uint8_t *body, size_t size)
{
  struct node_mesh *mesh = arg;
  uint64_t slot_id;
  if (message_read_floor_query (body, size, &slot_id) != STATUS_OK)
    return;
  struct message_floor_reply reply
      = { .slot_id = slot_id,
          .floor = config_follower_get_floor (&mesh->follower, slot_id),
          .version = config_follower_current (&mesh->follower)->version,
          .ready = config_follower_ready (&mesh->follower) };
  msgpack_sbuffer reply_body;
  msgpack_sbuffer_init (&reply_body);
  message_write_floor_reply (&reply_body, &reply);
  mesh_send (mesh, from, MESSAGE_FLOOR_REPLY, &reply_body);
}

static void
on_floor_reply (void *arg, uint64_t from, const uint8_t *body, size_t size)
{
  struct node_mesh *mesh = arg;
  struct message_floor_reply reply;
  if (message_read_floor_reply (body, size, &reply) != STATUS_OK
      || reply.slot_id != mesh->node->slot_id)
    return;
  config_follower_floor_reply (&mesh->follower, from, reply.floor,
                               reply.version, reply.ready,
                               mesh_live_others (mesh));
  mesh_config_handle_version (mesh, from, reply.version, (uint8_t[8]){ 0 });
}

/// Queries a relay of the zone for the head. A relay, and a node that knows no
/// relay, reads the store itself.
static void
query_head (struct node_mesh *mesh, uint64_t now_ms)
{
  struct mesh_head *head = &mesh->head;
  head->seq++;
  head->queries++;
  head->sent_ms = now_ms;
  const struct ring *ring = &mesh->membership.ring;
  const struct ring_zone *zone = ring_find_zone (ring, ring->own_zone);
  uint64_t relay
      = zone != NULL ? zone->relays[head->queries % RING_RELAYS] : 0;
  if (relay == 0 && zone != NULL)
    relay = zone->relays[0];
  if (relay == 0 || relay == mesh->node->slot_id || node_is_relay (mesh->node))
    {
      add_query (mesh, 0, head->seq);
      start_read (mesh, now_ms);
      return;
    }
  msgpack_sbuffer body;
  msgpack_sbuffer_init (&body);
  message_write_head_query (&body, head->seq);
  mesh_send (mesh, relay, MESSAGE_HEAD_QUERY, &body);
}

/// Queries neighbours and relays for the floor of this node's slot.
static void
query_floors (struct node_mesh *mesh)
{
  uint64_t slots[FLOOR_PEERS_MAX];
  uint32_t count = ring_successors (
      &mesh->membership.ring, mesh->node->slot_id, slots, FLOOR_PEERS_MAX - 2);
  const struct ring *ring = &mesh->membership.ring;
  for (uint32_t i = 0; i < ring->zone_count; i++)
    if (ring->zones[i].relays[0] != 0 && count < FLOOR_PEERS_MAX
        && ring->zones[i].relays[0] != mesh->node->slot_id)
      slots[count++] = ring->zones[i].relays[0];
  for (uint32_t i = 0; i < count; i++)
    {
      msgpack_sbuffer body;
      msgpack_sbuffer_init (&body);
      message_write_floor_query (&body, mesh->node->slot_id);
      mesh_send (mesh, slots[i], MESSAGE_FLOOR_QUERY, &body);
    }
}

void
mesh_head_start (struct node_mesh *mesh)
{
  mesh->head.waiting = calloc (MESH_QUERIES_MAX, sizeof *mesh->head.waiting);
  mesh->head.reading = calloc (MESH_QUERIES_MAX, sizeof *mesh->head.reading);
  mesh->head.unjoined_ms = clock_monotonic_ms () + UNJOINED_DELAY_MS;
  mesh->head.query_ms = mesh->head.unjoined_ms;
  peer_register_handler (mesh->peers, MESSAGE_HEAD_QUERY, on_head_query, mesh);
  peer_register_handler (mesh->peers, MESSAGE_HEAD_REPLY, on_head_reply, mesh);
  peer_register_handler (mesh->peers, MESSAGE_FLOOR_QUERY, on_floor_query,
                         mesh);
  peer_register_handler (mesh->peers, MESSAGE_FLOOR_REPLY, on_floor_reply,
                         mesh);
}

void
mesh_head_stop (struct node_mesh *mesh)
{
  free (mesh->head.waiting);
  free (mesh->head.reading);
}

bool
node_mesh_watches_store (const struct node *node)
{
  const struct node_mesh *mesh = node->mesh;
  return node_is_relay (node)
         && (mesh->membership.joined || mesh->entry.list_empty
             || clock_monotonic_ms () >= mesh->head.unjoined_ms);
}

void
mesh_head_tick (struct node_mesh *mesh, uint64_t now_ms)
{
  start_read (mesh, now_ms);
  struct mesh_head *head = &mesh->head;
  struct config_follower *follower = &mesh->follower;
  if (config_follower_ready (follower) && !head->ready_logged)
    {
      head->ready_logged = true;
      log_event (
          LOG_LEVEL_INFO, "ready", "version=%llu bound=%llu",
          (unsigned long long)config_follower_current (follower)->version,
          (unsigned long long)config_follower_bound (follower));
    }
  if (config_follower_bound_known (follower))
    return;
  bool first = head->queries == 0 && mesh->membership.joined;
  if (now_ms < head->query_ms && !first)
    return;
  head->query_ms = now_ms + QUERY_INTERVAL_MS;
  /* A query without a reply counts as an unavailable store. */
  if (head->queries > 1)
    config_follower_ask_peers (follower, now_ms);
  ring_refresh (&mesh->membership.ring);
  query_head (mesh, now_ms);
  if (config_follower_asks_peers (follower))
    query_floors (mesh);
  config_follower_tick (follower, now_ms);
  if (config_follower_bound_known (follower))
    log_event (LOG_LEVEL_WARNING, "floor_unconfirmed", "version=%llu",
               (unsigned long long)config_follower_bound (follower));
}
