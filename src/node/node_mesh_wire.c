/// Translates between messages and calls of membership and broadcasts. Owns no
/// state.
#include "node/node_mesh.h"

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"

#include <string.h>
#include <talloc.h>

static struct counter malformed
    = COUNTER ("mesh_messages_malformed", "Messages that could not be read.");

void
mesh_send (struct node_mesh *mesh, uint64_t slot_id, unsigned type,
           msgpack_sbuffer *body)
{
  peer_send (mesh->peers, slot_id, type, (const uint8_t *)body->data,
             body->size);
  msgpack_sbuffer_destroy (body);
}

/* Callbacks of membership */

static void
send_heartbeat (void *arg, uint64_t slot_id, const struct heartbeat *heartbeat,
                bool is_reply)
{
  msgpack_sbuffer body;
  msgpack_sbuffer_init (&body);
  message_write_heartbeat (&body, heartbeat);
  mesh_send (arg, slot_id, is_reply ? MESSAGE_ACK : MESSAGE_PING, &body);
}

static void
send_members (void *arg, uint64_t slot_id, const uint32_t *handles,
              size_t count, bool is_reply)
{
  struct node_mesh *mesh = arg;
  msgpack_sbuffer body;
  msgpack_sbuffer_init (&body);
  message_write_members (&body, &mesh->membership.table, handles, count,
                         is_reply);
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
                  const struct zone_reachability *reachability, bool zone_only)
{
  struct node_mesh *mesh = arg;
  msgpack_sbuffer body;
  msgpack_sbuffer_init (&body);
  message_write_events (&body, &mesh->membership.table, handles, count,
                        reachability);
  broadcast_start (&mesh->broadcaster, BROADCAST_KIND_MEMBER_EVENTS,
                   (const uint8_t *)body.data, body.size, zone_only,
                   clock_monotonic_ms ());
  msgpack_sbuffer_destroy (&body);
  if (reachability != NULL)
    log_event (LOG_LEVEL_WARNING,
               reachability->unreachable ? "zone_unreachable"
                                         : "zone_reachable",
               "zone=%s", reachability->name);
}

static void
replace_connection (void *arg, uint64_t slot_id)
{
  peer_disconnect (((struct node_mesh *)arg)->peers, slot_id);
}

static void
get_version (void *arg, uint64_t *version, uint8_t hash[8])
{
  const struct config *config
      = config_follower_current (&((struct node_mesh *)arg)->follower);
  *version = config->version;
  memcpy (hash, config->hash.bytes, 8);
}

static void
handle_member_version (void *arg, uint64_t slot_id, uint64_t version,
                       const uint8_t hash[8])
{
  mesh_config_handle_version (arg, slot_id, version, hash);
}

const struct membership_ops mesh_membership_ops
    = { .send_heartbeat = send_heartbeat,
        .send_members = send_members,
        .send_view_pull = send_view_pull,
        .send_retry_after = send_retry_after,
        .send_join = send_join,
        .broadcast = broadcast_events,
        .replace_connection = replace_connection,
        .version = get_version,
        .member_version = handle_member_version };

/* Callbacks of broadcasts */

static void
send_broadcast (void *arg, uint64_t slot_id,
                const struct broadcast_message *message)
{
  struct node_mesh *mesh = arg;
  if (message->kind == BROADCAST_KIND_VERSION_RECORD)
    mesh_config_set_receiver_floor (mesh, slot_id, message->body,
                                    message->size);
  msgpack_sbuffer body;
  msgpack_sbuffer_init (&body);
  message_write_broadcast (&body, message);
  mesh_send (mesh, slot_id, MESSAGE_BROADCAST, &body);
}

static void
send_broadcast_ack (void *arg, uint64_t slot_id, const struct broadcast_id *id)
{
  msgpack_sbuffer body;
  msgpack_sbuffer_init (&body);
  message_write_broadcast_ack (&body, id);
  mesh_send (arg, slot_id, MESSAGE_BROADCAST_ACK, &body);
}

static void
handle_events (struct node_mesh *mesh, const uint8_t *body, size_t size)
{
  void *arena = talloc_new (NULL);
  struct member *records;
  size_t count;
  struct zone_reachability reachability;
  bool has_reachability;
  if (message_read_events (body, size, arena, &records, &count, &reachability,
                           &has_reachability)
      == STATUS_OK)
    membership_handle_events (&mesh->membership, records, count,
                              has_reachability ? &reachability : NULL,
                              clock_monotonic_ms ());
  else
    counter_add (&malformed, 1);
  talloc_free (arena);
}

static void
deliver_broadcast (void *arg, uint64_t origin, unsigned kind,
                   const uint8_t *body, size_t size)
{
  struct node_mesh *mesh = arg;
  if (kind == BROADCAST_KIND_MEMBER_EVENTS)
    handle_events (mesh, body, size);
  if (kind == BROADCAST_KIND_VERSION_RECORD)
    mesh_config_handle_broadcast (mesh, body, size);
  if (kind < BROADCAST_KINDS && mesh->broadcast_handlers[kind].call != NULL)
    mesh->broadcast_handlers[kind].call (mesh->broadcast_handlers[kind].arg,
                                         origin, body, size);
}

const struct broadcast_ops mesh_broadcast_ops
    = { .send = send_broadcast,
        .send_ack = send_broadcast_ack,
        .deliver = deliver_broadcast };

/* Message handlers */

static void
handle_heartbeat (struct node_mesh *mesh, uint64_t from, const uint8_t *body,
                  size_t size, bool is_reply)
{
  struct heartbeat heartbeat;
  if (message_read_heartbeat (body, size, &heartbeat) == STATUS_OK)
    membership_handle_heartbeat (&mesh->membership, from, &heartbeat, is_reply,
                                 clock_monotonic_ms ());
  else
    counter_add (&malformed, 1);
}

static void
on_ping (void *arg, uint64_t from, const uint8_t *body, size_t size)
{
  handle_heartbeat (arg, from, body, size, false);
}

static void
on_ack (void *arg, uint64_t from, const uint8_t *body, size_t size)
{
  handle_heartbeat (arg, from, body, size, true);
}

static void
on_members (void *arg, uint64_t from, const uint8_t *body, size_t size)
{
  struct node_mesh *mesh = arg;
  void *arena = talloc_new (NULL);
  struct member *records;
  size_t count;
  bool is_reply;
  bool joined = mesh->membership.joined;
  if (message_read_members (body, size, arena, &records, &count, &is_reply)
      == STATUS_OK)
    membership_handle_members (&mesh->membership, from, records, count,
                               is_reply, clock_monotonic_ms ());
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
    membership_handle_view_pull (&mesh->membership, from, digests,
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
    mesh_config_handle_retry_after (mesh, retry.delay_ms);
  else
    membership_handle_retry_after (&mesh->membership, retry.delay_ms,
                                   clock_monotonic_ms ());
}

static void
on_broadcast (void *arg, uint64_t from, const uint8_t *body, size_t size)
{
  struct node_mesh *mesh = arg;
  struct broadcast_message message;
  if (message_read_broadcast (body, size, &message) == STATUS_OK)
    broadcast_receive (&mesh->broadcaster, from, &message,
                       clock_monotonic_ms ());
  else
    counter_add (&malformed, 1);
}

static void
on_broadcast_ack (void *arg, uint64_t from, const uint8_t *body, size_t size)
{
  struct node_mesh *mesh = arg;
  struct broadcast_id id;
  if (message_read_broadcast_ack (body, size, &id) == STATUS_OK)
    broadcast_receive_ack (&mesh->broadcaster, from, &id);
  else
    counter_add (&malformed, 1);
}

void
mesh_wire_start (struct node_mesh *mesh)
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
    peer_register_handler (mesh->peers, handlers[i].type, handlers[i].call,
                           mesh);
}
