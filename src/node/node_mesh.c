/// Owns the mesh part of a node: connects peers, membership, spread and follow
/// to each other and to the event loop.
#include "node/node_mesh.h"

#include "base/clock.h"
#include "base/counter.h"
#include "base/hash.h"
#include "base/log.h"
#include "coordination/rendezvous.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

static struct counter malformed
    = COUNTER ("mesh_messages_malformed", "Messages that could not be read.");

#define TIMER_MS 50
#define MEMBERSHIP_TICK_MS 100

void
mesh_send (struct node_mesh *mesh, uint64_t slot_id, unsigned type,
           msgpack_sbuffer *body)
{
  peer_send (mesh->peers, slot_id, type, (const uint8_t *)body->data,
             body->size);
  msgpack_sbuffer_destroy (body);
}

uint32_t
mesh_live_others (struct node_mesh *mesh)
{
  uint32_t live = 0;
  ring_refresh (&mesh->membership.ring);
  for (uint32_t i = 0; i < mesh->membership.ring.zone_count; i++)
    live += mesh->membership.ring.zones[i].live;
  return live > 0 ? live - 1 : 0;
}

/* Operations of membership */

static void
send_heartbeat (void *arg, uint64_t slot_id, const struct heartbeat *heartbeat,
                bool answer)
{
  msgpack_sbuffer body;
  msgpack_sbuffer_init (&body);
  message_write_heartbeat (&body, heartbeat);
  mesh_send (arg, slot_id, answer ? MESSAGE_ACK : MESSAGE_PING, &body);
}

static void
send_members (void *arg, uint64_t slot_id, const uint32_t *handles,
              size_t count, bool answer)
{
  struct node_mesh *mesh = arg;
  msgpack_sbuffer body;
  msgpack_sbuffer_init (&body);
  message_write_members (&body, &mesh->membership.table, handles, count,
                         answer);
  mesh_send (mesh, slot_id, MESSAGE_MEMBERS, &body);
}

static void
send_view_pull (void *arg, uint64_t slot_id,
                const uint64_t digests[MEMBERSHIP_BUCKETS])
{
  msgpack_sbuffer body;
  msgpack_sbuffer_init (&body);
  message_write_view_pull (&body, digests);
  mesh_send (arg, slot_id, MESSAGE_VIEW_PULL, &body);
}

static void
send_retry_after (void *arg, uint64_t slot_id, uint32_t delay_ms)
{
  struct message_retry_after retry
      = { .delay_ms = delay_ms, .type = MESSAGE_VIEW_PULL };
  msgpack_sbuffer body;
  msgpack_sbuffer_init (&body);
  message_write_retry_after (&body, &retry);
  mesh_send (arg, slot_id, MESSAGE_RETRY_AFTER, &body);
}

static void
send_join (void *arg, const uint64_t digests[MEMBERSHIP_BUCKETS],
           uint32_t own_handle)
{
  mesh_entry_join (arg, digests, own_handle);
}

static void
broadcast_events (void *arg, const uint32_t *handles, size_t count,
                  const struct zone_mark *mark, bool zone_only)
{
  struct node_mesh *mesh = arg;
  msgpack_sbuffer body;
  msgpack_sbuffer_init (&body);
  message_write_events (&body, &mesh->membership.table, handles, count, mark);
  spread_start (&mesh->spread, SPREAD_MEMBER_EVENTS,
                (const uint8_t *)body.data, body.size, zone_only,
                clock_monotonic_ms ());
  msgpack_sbuffer_destroy (&body);
  if (mark != NULL)
    log_event (LOG_LEVEL_WARNING,
               mark->unreachable ? "zone_unreachable" : "zone_reachable",
               "zone=%s", mark->name);
}

static void
replace_connection (void *arg, uint64_t slot_id)
{
  peer_replace (((struct node_mesh *)arg)->peers, slot_id);
}

static void
own_version (void *arg, uint64_t *version, uint8_t hash[8])
{
  const struct config *config
      = follow_current (&((struct node_mesh *)arg)->follow);
  *version = config->version;
  memcpy (hash, config->hash.bytes, 8);
}

static void
heard_version (void *arg, uint64_t slot_id, uint64_t version,
               const uint8_t hash[8])
{
  mesh_config_heard (arg, slot_id, version, hash);
}

static const struct membership_ops membership_ops
    = { .send_heartbeat = send_heartbeat,
        .send_members = send_members,
        .send_view_pull = send_view_pull,
        .send_retry_after = send_retry_after,
        .send_join = send_join,
        .broadcast = broadcast_events,
        .replace_connection = replace_connection,
        .version = own_version,
        .heard_version = heard_version };

/* Operations of spread */

static void
send_broadcast (void *arg, uint64_t slot_id,
                const struct spread_message *message)
{
  struct node_mesh *mesh = arg;
  if (message->kind == SPREAD_VERSION_RECORD)
    mesh_config_pushed (mesh, slot_id, message->body, message->size);
  msgpack_sbuffer body;
  msgpack_sbuffer_init (&body);
  message_write_broadcast (&body, message);
  mesh_send (mesh, slot_id, MESSAGE_BROADCAST, &body);
}

static void
send_broadcast_ack (void *arg, uint64_t slot_id, const struct spread_id *id)
{
  msgpack_sbuffer body;
  msgpack_sbuffer_init (&body);
  message_write_broadcast_ack (&body, id);
  mesh_send (arg, slot_id, MESSAGE_BROADCAST_ACK, &body);
}

static void
take_events (struct node_mesh *mesh, const uint8_t *body, size_t size)
{
  void *arena = talloc_new (NULL);
  struct member *records;
  size_t count;
  struct zone_mark mark;
  bool has_mark;
  if (message_read_events (body, size, arena, &records, &count, &mark,
                           &has_mark)
      == STATUS_OK)
    membership_events (&mesh->membership, records, count,
                       has_mark ? &mark : NULL, clock_monotonic_ms ());
  else
    counter_add (&malformed, 1);
  talloc_free (arena);
}

static void
deliver_broadcast (void *arg, uint64_t origin, unsigned kind,
                   const uint8_t *body, size_t size)
{
  struct node_mesh *mesh = arg;
  if (kind == SPREAD_MEMBER_EVENTS)
    take_events (mesh, body, size);
  if (kind == SPREAD_VERSION_RECORD)
    mesh_config_broadcast (mesh, body, size);
  if (kind < SPREAD_KINDS && mesh->broadcast_handlers[kind].call != NULL)
    mesh->broadcast_handlers[kind].call (mesh->broadcast_handlers[kind].arg,
                                         origin, body, size);
}

static const struct spread_ops spread_ops = { .send = send_broadcast,
                                              .send_ack = send_broadcast_ack,
                                              .deliver = deliver_broadcast };

/* Handlers of messages */

static void
take_heartbeat (struct node_mesh *mesh, uint64_t from, const uint8_t *body,
                size_t size, bool answer)
{
  struct heartbeat heartbeat;
  if (message_read_heartbeat (body, size, &heartbeat) == STATUS_OK)
    membership_heartbeat (&mesh->membership, from, &heartbeat, answer,
                          clock_monotonic_ms ());
  else
    counter_add (&malformed, 1);
}

static void
on_ping (void *arg, uint64_t from, const uint8_t *body, size_t size)
{
  take_heartbeat (arg, from, body, size, false);
}

static void
on_ack (void *arg, uint64_t from, const uint8_t *body, size_t size)
{
  take_heartbeat (arg, from, body, size, true);
}

static void
on_members (void *arg, uint64_t from, const uint8_t *body, size_t size)
{
  struct node_mesh *mesh = arg;
  void *arena = talloc_new (NULL);
  struct member *records;
  size_t count;
  bool answer;
  bool joined = mesh->membership.joined;
  if (message_read_members (body, size, arena, &records, &count, &answer)
      == STATUS_OK)
    membership_members (&mesh->membership, from, records, count, answer,
                        clock_monotonic_ms ());
  else
    counter_add (&malformed, 1);
  talloc_free (arena);
  if (!joined && mesh->membership.joined)
    log_event (LOG_LEVEL_INFO, "joined", "members=%u",
               mesh_live_others (mesh) + 1);
}

static void
on_view_pull (void *arg, uint64_t from, const uint8_t *body, size_t size)
{
  struct node_mesh *mesh = arg;
  uint64_t digests[MEMBERSHIP_BUCKETS];
  if (message_read_view_pull (body, size, digests) == STATUS_OK)
    membership_view_pull (&mesh->membership, from, digests,
                          clock_monotonic_ms ());
  else
    counter_add (&malformed, 1);
}

static void
on_retry_after (void *arg, uint64_t from, const uint8_t *body, size_t size)
{
  struct node_mesh *mesh = arg;
  struct message_retry_after retry;
  if (message_read_retry_after (body, size, &retry) != STATUS_OK)
    counter_add (&malformed, 1);
  else if (retry.type == MESSAGE_CONFIG_PULL)
    mesh_config_retry (mesh, retry.delay_ms);
  else
    membership_retry_after (&mesh->membership, retry.delay_ms,
                            clock_monotonic_ms ());
}

static void
on_broadcast (void *arg, uint64_t from, const uint8_t *body, size_t size)
{
  struct node_mesh *mesh = arg;
  struct spread_message message;
  if (message_read_broadcast (body, size, &message) == STATUS_OK)
    spread_receive (&mesh->spread, from, &message, clock_monotonic_ms ());
  else
    counter_add (&malformed, 1);
}

static void
on_broadcast_ack (void *arg, uint64_t from, const uint8_t *body, size_t size)
{
  struct node_mesh *mesh = arg;
  struct spread_id id;
  if (message_read_broadcast_ack (body, size, &id) == STATUS_OK)
    spread_ack (&mesh->spread, from, &id);
  else
    counter_add (&malformed, 1);
}

/* Operations of peers */

static bool
member_address (void *arg, uint64_t slot_id, uint32_t *address, uint16_t *port)
{
  const struct node_mesh *mesh = arg;
  uint32_t handle = member_find (&mesh->membership.table, slot_id);
  if (handle == MEMBER_NONE)
    return false;
  const struct member *member = member_get (&mesh->membership.table, handle);
  *address = member->address;
  *port = member->peer_port;
  return true;
}

static void
connect_failed (void *arg, uint64_t slot_id)
{
  struct node_mesh *mesh = arg;
  membership_connect_failed (&mesh->membership, slot_id,
                             clock_monotonic_ms ());
}

static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  struct node_mesh *mesh = arg;
  uint64_t now_ms = clock_monotonic_ms ();
  spread_tick (&mesh->spread, now_ms);
  mesh_config_tick (mesh, now_ms);
  mesh_head_tick (mesh, now_ms);
  if (now_ms < mesh->tick_ms)
    return;
  mesh->tick_ms = now_ms + MEMBERSHIP_TICK_MS;
  membership_tick (&mesh->membership, now_ms);
  mesh_entry_tick (mesh, now_ms);
  mesh_report_tick (mesh, now_ms);
}

static void
register_handlers (struct node_mesh *mesh)
{
  static const struct
  {
    unsigned type;
    void (*call) (void *arg, uint64_t from, const uint8_t *body, size_t size);
  } handlers[] = { { MESSAGE_PING, on_ping },
                   { MESSAGE_ACK, on_ack },
                   { MESSAGE_MEMBERS, on_members },
                   { MESSAGE_VIEW_PULL, on_view_pull },
                   { MESSAGE_RETRY_AFTER, on_retry_after },
                   { MESSAGE_BROADCAST, on_broadcast },
                   { MESSAGE_BROADCAST_ACK, on_broadcast_ack } };
  for (size_t i = 0; i < sizeof handlers / sizeof handlers[0]; i++)
    peer_handle (mesh->peers, handlers[i].type, handlers[i].call, mesh);
  mesh_config_start (mesh);
  mesh_head_start (mesh);
  mesh_entry_start (mesh);
  mesh_report_start (mesh);
}

static void
fill_self (struct member *self, const struct settings *settings)
{
  *self = (struct member){ .slot_id = hash_place_string (settings->slot),
                           .incarnation = clock_wall_ms (),
                           .state = MEMBER_ALIVE,
                           .address = settings->address,
                           .peer_port = settings->peer_port,
                           .call_port = settings->call_port,
                           .target_state = TARGET_ABSENT };
  memcpy (self->slot, settings->slot, sizeof self->slot);
  memcpy (self->availability_zone, settings->availability_zone,
          sizeof self->availability_zone);
  memcpy (self->region, settings->region, sizeof self->region);
}

static enum status
start_parts (struct node_mesh *mesh)
{
  struct node *node = mesh->node;
  struct member self;
  fill_self (&self, &node->settings);
  node->slot_id = self.slot_id;
  uint64_t now_ms = clock_monotonic_ms ();
  enum status status = membership_init (
      &mesh->membership, &self, &membership_ops, mesh, &node->rng, now_ms);
  if (status != STATUS_OK)
    return status;
  status = spread_init (&mesh->spread, self.slot_id, &mesh->membership.ring,
                        &spread_ops, mesh, &node->rng);
  if (status != STATUS_OK)
    return status;
  follow_init (&mesh->follow, &mesh_follow_ops, mesh);
  report_tree_init (&mesh->tree, &mesh->membership.ring, self.slot_id);
  struct peers_options options = { .base = node->base,
                                   .settings = &node->settings,
                                   .slot_id = self.slot_id,
                                   .rng = &node->rng,
                                   .address = member_address,
                                   .connect_failed = connect_failed,
                                   .arg = mesh };
  status = peers_start (&mesh->peers, &options);
  if (status != STATUS_OK)
    return status;
  register_handlers (mesh);
  struct timeval interval = { .tv_usec = TIMER_MS * 1000 };
  mesh->timer = event_new (node->base, -1, EV_PERSIST, on_timer, mesh);
  if (mesh->timer == NULL || event_add (mesh->timer, &interval) != 0)
    return status_set (STATUS_NO_MEMORY, "no memory for a timer");
  return STATUS_OK;
}

enum status
node_mesh_start (struct node *node)
{
  struct node_mesh *mesh = calloc (1, sizeof *mesh);
  if (mesh == NULL)
    return status_set (STATUS_NO_MEMORY, "no memory for the mesh");
  mesh->node = node;
  node->mesh = mesh;
  enum status status = start_parts (mesh);
  if (status != STATUS_OK)
    node_mesh_stop (node);
  return status;
}

void
node_mesh_stop (struct node *node)
{
  struct node_mesh *mesh = node->mesh;
  if (mesh == NULL)
    return;
  if (mesh->timer != NULL)
    event_free (mesh->timer);
  if (mesh->peers != NULL)
    peers_stop (mesh->peers);
  mesh_head_stop (mesh);
  mesh_config_stop (mesh);
  spread_finish (&mesh->spread);
  if (mesh->follow.ops != NULL)
    follow_finish (&mesh->follow);
  membership_finish (&mesh->membership);
  free (mesh);
  node->mesh = NULL;
}

struct peers *
node_peers (struct node *node)
{
  return node->mesh->peers;
}

const struct member_table *
node_members (const struct node *node)
{
  return &node->mesh->membership.table;
}

struct follow *
node_follow (struct node *node)
{
  return &node->mesh->follow;
}

void
node_mesh_set_target (struct node *node, const char *service,
                      const char *target_version, uint16_t target_slots,
                      enum target_state state)
{
  membership_set_target (&node->mesh->membership, service, target_version,
                         target_slots, state, clock_monotonic_ms ());
}

void
node_mesh_leave (struct node *node)
{
  membership_leave (&node->mesh->membership, clock_monotonic_ms ());
}

void
node_mesh_broadcast (struct node *node, unsigned kind, const uint8_t *body,
                     size_t size)
{
  assert (kind < SPREAD_KINDS && kind != SPREAD_MEMBER_EVENTS);
  if (kind == SPREAD_VERSION_RECORD)
    mesh_config_spread (node->mesh, body, size);
  else
    spread_start (&node->mesh->spread, kind, body, size, false,
                  clock_monotonic_ms ());
}

void
node_mesh_on_broadcast (struct node *node, unsigned kind,
                        void (*handler) (void *arg, uint64_t origin_slot,
                                         const uint8_t *body, size_t size),
                        void *arg)
{
  assert (kind < SPREAD_KINDS
          && node->mesh->broadcast_handlers[kind].call == NULL);
  node->mesh->broadcast_handlers[kind]
      = (struct mesh_broadcast_handler){ .call = handler, .arg = arg };
}

void
node_mesh_on_version (struct node *node,
                      void (*handler) (void *arg, const struct config *config),
                      void *arg)
{
  struct node_mesh *mesh = node->mesh;
  assert (mesh->version_handler_count < MESH_HANDLERS_MAX);
  mesh->version_handlers[mesh->version_handler_count++]
      = (struct mesh_version_handler){ .call = handler, .arg = arg };
}

uint64_t
node_mesh_next_hop (const struct node *node, uint64_t destination_slot)
{
  struct node_mesh *mesh = node->mesh;
  ring_refresh (&mesh->membership.ring);
  uint64_t parent = report_parent (&mesh->membership.ring, node->slot_id);
  return parent != 0 ? parent : destination_slot;
}

bool
node_is_relay (const struct node *node)
{
  return membership_is_relay (&node->mesh->membership);
}

uint64_t
node_role_owner (const struct node *node, const char *role)
{
  struct node_mesh *mesh = node->mesh;
  const struct member_table *table = &mesh->membership.table;
  uint64_t id = hash_place_string (role);
  /* A choice looks at every member, so it is kept until the table changes. */
  struct mesh_role *kept = &mesh->roles[id % MESH_ROLES_MAX];
  if (kept->role != id || kept->generation != table->generation)
    *kept = (struct mesh_role){ .role = id,
                                .generation = table->generation,
                                .owner = rendezvous_owner (table, id) };
  return kept->owner;
}
