/// Owns the dissemination of configuration versions between nodes: broadcasts
/// in the zone, pulls of missing versions, snapshots, and the floors of the
/// nodes to which versions are sent.
#include "node/node_mesh.h"

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include "protocol/record.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

static struct counter records_sent
    = COUNTER ("mesh_config_records_sent", "Version records sent to pulls.");
static struct counter snapshots_sent
    = COUNTER ("mesh_config_snapshots_sent", "Snapshots sent to pulls.");
static struct counter pulls_deferred
    = COUNTER ("mesh_config_pulls_deferred",
               "Pulls that were answered with RETRY_AFTER.");
static struct counter pulls
    = COUNTER ("mesh_config_pulls", "Pulls sent by this node.");
static struct counter offers_refused
    = COUNTER ("mesh_config_refused", "Offers from peers that were refused.");

/// Limit of snapshots sent to pulls; further pulls are answered with
/// RETRY_AFTER.
#define SNAPSHOTS_PER_S 4
/// A pull without a response is repeated, to another node, after this time.
#define PULL_TIMEOUT_MS 1000
/// A relay other than the zone's first broadcasts a record after this delay,
/// unless the first relay has done so.
#define SECOND_RELAY_DELAY_MS 300
/// First field of a broadcast that states a version without its record. A
/// record starts with its format number, which is not 0.
#define NOTICE_MARKER 0
/// Members that receive a notice delay their pulls by random times up to this
/// one, so that not all ask at once.
#define NOTICE_DELAY_MAX_MS 2000
/// Limit of the records in one CONFIG_RECORDS message, bytes. The first record
/// is sent even when it is larger.
#define RECORDS_BYTES_MAX (900 * 1024)

/// @return the version of an encoded record, 0 when it cannot be decoded
static uint64_t
record_version (const uint8_t *body, size_t size)
{
  void *arena = talloc_new (NULL);
  struct config_record record;
  uint64_t version = 0;
  if (record_version_decode (arena, body, size, &record) == STATUS_OK)
    version = record.version;
  talloc_free (arena);
  return version;
}

static bool
find_relay_rank (struct node_mesh *mesh, int *rank)
{
  struct ring *ring = &mesh->membership.ring;
  ring_refresh (ring);
  *rank = ring_relay_rank (ring_find_zone (ring, ring->own_zone),
                           mesh->node->slot_id);
  return *rank >= 0;
}

static void
want_version (struct node_mesh *mesh, uint64_t from, uint64_t version)
{
  if (version <= config_follower_newest (&mesh->follower)
      || version < mesh->pull.wanted_version)
    return;
  if (version > mesh->pull.wanted_version)
    mesh->pull.attempts = 0;
  mesh->pull.wanted_version = version;
  mesh->pull.source = from;
}

/// Sends a pull when a version is missing and the last pull has timed out.
static void
pull_if_due (struct node_mesh *mesh, uint64_t now_ms)
{
  struct mesh_pull *pull = &mesh->pull;
  if (pull->wanted_version <= config_follower_newest (&mesh->follower)
      || now_ms < pull->next_ms)
    return;
  /* The node that named the version may be the only one that holds it, or may
     have died: every second attempt goes to it. */
  uint64_t source = 0;
  if (pull->source == 0 || pull->attempts % 2 == 1)
    source = membership_random_member (&mesh->membership);
  if (source == 0)
    source = pull->source;
  if (source == 0)
    return;
  pull->attempts++;
  pull->next_ms = now_ms + PULL_TIMEOUT_MS;
  struct message_config_pull request
      = { .version = config_follower_current (&mesh->follower)->version,
          .hash = config_follower_current (&mesh->follower)->hash };
  msgpack_sbuffer body;
  msgpack_sbuffer_init (&body);
  message_write_config_pull (&body, &request);
  mesh_send (mesh, source, MESSAGE_CONFIG_PULL, &body);
  counter_add (&pulls, 1);
}

void
mesh_config_handle_version (struct node_mesh *mesh, uint64_t from,
                            uint64_t version, const uint8_t hash[8])
{
  want_version (mesh, from, version);
  pull_if_due (mesh, clock_monotonic_ms ());
}

void
mesh_config_handle_retry_after (struct node_mesh *mesh, uint32_t delay_ms)
{
  struct mesh_pull *pull = &mesh->pull;
  /* Another neighbour may hold the version by then. */
  pull->source = 0;
  pull->next_ms = clock_monotonic_ms () + delay_ms
                  + rng_below (&mesh->node->rng, (uint64_t)delay_ms + 1);
}

/// Offers a received record to the configuration follower. Its sender has
/// recorded the version as the floor of this node.
static enum status
offer_record (struct node_mesh *mesh, const uint8_t *body, size_t size,
              uint64_t *version)
{
  void *arena = talloc_new (NULL);
  struct config_record record;
  *version = 0;
  enum status status = record_version_decode (arena, body, size, &record);
  if (status == STATUS_OK)
    {
      *version = record.version;
      config_follower_floor_recorded (&mesh->follower, record.version);
      status = config_follower_offer_record (&mesh->follower, &record,
                                             clock_monotonic_ms ());
    }
  talloc_free (arena);
  if (status != STATUS_OK && status != STATUS_UNAVAILABLE)
    {
      counter_add (&offers_refused, 1);
      log_event (LOG_LEVEL_WARNING, "record_refused",
                 "version=%llu status=%s reason=\"%s\"",
                 (unsigned long long)*version, status_name (status),
                 status_message ());
    }
  return status;
}

static void
broadcast_once (struct node_mesh *mesh, uint64_t version, const uint8_t *body,
                size_t size)
{
  if (version <= mesh->broadcast_version)
    return;
  mesh->broadcast_version = version;
  broadcast_start (&mesh->broadcaster, BROADCAST_KIND_VERSION_RECORD, body,
                   size, true, clock_monotonic_ms ());
}

static void
discard_delayed (struct node_mesh *mesh)
{
  free (mesh->delayed_record);
  mesh->delayed_record = NULL;
  mesh->delayed_ms = 0;
}

void
mesh_config_broadcast_record (struct node_mesh *mesh, const uint8_t *body,
                              size_t size)
{
  uint64_t version = record_version (body, size);
  if (version <= mesh->broadcast_version)
    return;
  int rank;
  if (!find_relay_rank (mesh, &rank) || rank == 0
      || mesh->delayed_record != NULL)
    {
      broadcast_once (mesh, version, body, size);
      return;
    }
  mesh->delayed_record = malloc (size);
  if (mesh->delayed_record == NULL)
    return;
  memcpy (mesh->delayed_record, body, size);
  mesh->delayed_size = size;
  mesh->delayed_version = version;
  mesh->delayed_ms = clock_monotonic_ms () + SECOND_RELAY_DELAY_MS;
}

/// Broadcasts in the own zone that there is a version. It came as a snapshot,
/// so that there is no record to broadcast.
static void
broadcast_notice (struct node_mesh *mesh, uint64_t version)
{
  struct message_floor notice
      = { .slot_id = NOTICE_MARKER, .version = version };
  msgpack_sbuffer body;
  msgpack_sbuffer_init (&body);
  message_write_floor (&body, &notice);
  broadcast_once (mesh, version, (const uint8_t *)body.data, body.size);
  msgpack_sbuffer_destroy (&body);
}

/// Handles a notice of a version.
/// @return false when the body is no notice
static bool
handle_notice (struct node_mesh *mesh, const uint8_t *body, size_t size)
{
  struct message_floor notice;
  if (message_read_floor (body, size, &notice) != STATUS_OK
      || notice.slot_id != NOTICE_MARKER)
    return false;
  if (notice.version > mesh->broadcast_version)
    mesh->broadcast_version = notice.version;
  want_version (mesh, 0, notice.version);
  mesh->pull.next_ms = clock_monotonic_ms ()
                       + rng_below (&mesh->node->rng, NOTICE_DELAY_MAX_MS);
  return true;
}

void
mesh_config_handle_broadcast (struct node_mesh *mesh, const uint8_t *body,
                              size_t size)
{
  if (handle_notice (mesh, body, size))
    return;
  uint64_t version;
  enum status status = offer_record (mesh, body, size, &version);
  if (version > mesh->broadcast_version)
    mesh->broadcast_version = version;
  if (status == STATUS_UNAVAILABLE || status == STATUS_CORRUPT)
    {
      want_version (mesh, 0, version);
      pull_if_due (mesh, clock_monotonic_ms ());
    }
}

void
mesh_config_set_receiver_floor (struct node_mesh *mesh, uint64_t slot_id,
                                const uint8_t *body, size_t size)
{
  config_follower_set_floor (&mesh->follower, slot_id,
                             record_version (body, size));
}

/* Responses to pulls */

/// @return the number of records that lead from the requester's version to the
/// current one, 0 when one of them is not kept
static size_t
records_since (const struct config_follower *follower,
               const struct message_config_pull *pull)
{
  uint64_t current = config_follower_current (follower)->version;
  if (current - pull->version > CONFIG_FOLLOWER_HISTORY)
    return 0;
  for (uint64_t v = pull->version + 1; v <= current; v++)
    if (config_follower_history (follower, v) == NULL)
      return 0;
  const struct config_record *first
      = config_follower_history (follower, pull->version + 1);
  if (!hash_equal (&first->previous_hash, &pull->hash))
    return 0;
  return (size_t)(current - pull->version);
}

static void
send_records (struct node_mesh *mesh, uint64_t to, uint64_t version,
              size_t count)
{
  void *arena = talloc_new (NULL);
  struct message_bytes records[MESSAGE_RECORDS_MAX];
  size_t filled = 0;
  size_t bytes = 0;
  for (size_t i = 0; i < count && filled < MESSAGE_RECORDS_MAX; i++)
    {
      uint8_t *encoded;
      size_t size;
      if (record_version_encode (
              config_follower_history (&mesh->follower, version + 1 + i),
              arena, &encoded, &size)
              != STATUS_OK
          || (filled > 0 && bytes + size > RECORDS_BYTES_MAX))
        break;
      records[filled++] = (struct message_bytes){ encoded, size };
      bytes += size;
    }
  if (filled > 0)
    {
      config_follower_set_floor (&mesh->follower, to, version + filled);
      counter_add (&records_sent, filled);
    }
  msgpack_sbuffer body;
  msgpack_sbuffer_init (&body);
  message_write_config_records (&body, records, filled);
  mesh_send (mesh, to, MESSAGE_CONFIG_RECORDS, &body);
  talloc_free (arena);
}

/// Compresses the configuration in force, once for all pulls of the version.
static bool
prepare_snapshot (struct node_mesh *mesh)
{
  const struct config *config = config_follower_current (&mesh->follower);
  if (mesh->snapshot != NULL && mesh->snapshot_version == config->version)
    return true;
  talloc_free (mesh->snapshot);
  mesh->snapshot = NULL;
  void *arena = talloc_new (NULL);
  uint8_t *content;
  size_t size;
  if (config_encode (config, arena, &content, &size) == STATUS_OK
      && record_compress (content, size, NULL, &mesh->snapshot,
                          &mesh->snapshot_size)
             == STATUS_OK)
    mesh->snapshot_version = config->version;
  talloc_free (arena);
  return mesh->snapshot != NULL;
}

static void
send_snapshot (struct node_mesh *mesh, uint64_t to)
{
  if (!prepare_snapshot (mesh))
    return;
  const struct config *config = config_follower_current (&mesh->follower);
  struct message_config_snapshot snapshot
      = { .version = config->version,
          .hash = config->hash,
          .content = { mesh->snapshot, mesh->snapshot_size } };
  config_follower_set_floor (&mesh->follower, to, config->version);
  counter_add (&snapshots_sent, 1);
  msgpack_sbuffer body;
  msgpack_sbuffer_init (&body);
  message_write_config_snapshot (&body, &snapshot);
  mesh_send (mesh, to, MESSAGE_CONFIG_SNAPSHOT, &body);
}

static void
on_config_pull (void *arg, uint64_t from, const uint8_t *body, size_t size)
{
  struct node_mesh *mesh = arg;
  struct message_config_pull pull;
  if (message_read_config_pull (body, size, &pull) != STATUS_OK)
    return;
  /* An empty list states that this node has nothing newer. */
  if (pull.version >= config_follower_current (&mesh->follower)->version)
    {
      send_records (mesh, from, pull.version, 0);
      return;
    }
  size_t count = records_since (&mesh->follower, &pull);
  if (count > 0)
    {
      send_records (mesh, from, pull.version, count);
      return;
    }
  if (token_bucket_take (&mesh->snapshot_tokens, clock_monotonic_ms ()))
    {
      send_snapshot (mesh, from);
      return;
    }
  counter_add (&pulls_deferred, 1);
  struct message_retry_after retry
      = { .delay_ms = (uint32_t)(250 + rng_below (&mesh->node->rng, 1000)),
          .type = MESSAGE_CONFIG_PULL };
  msgpack_sbuffer reply;
  msgpack_sbuffer_init (&reply);
  message_write_retry_after (&reply, &retry);
  mesh_send (mesh, from, MESSAGE_RETRY_AFTER, &reply);
}

static bool
from_other_zone (const struct node_mesh *mesh, uint64_t slot_id)
{
  const struct member_table *table = &mesh->membership.table;
  uint32_t handle = member_find (table, slot_id);
  return handle != MEMBER_NONE
         && strcmp (member_get (table, handle)->availability_zone,
                    membership_self (&mesh->membership)->availability_zone)
                != 0;
}

static void
on_config_records (void *arg, uint64_t from, const uint8_t *body, size_t size)
{
  struct node_mesh *mesh = arg;
  struct message_bytes records[MESSAGE_RECORDS_MAX];
  size_t count;
  if (message_read_config_records (body, size, records, &count) != STATUS_OK)
    return;
  int rank;
  /* Versions that a relay pulls from another zone are new to its own zone. */
  bool forward = find_relay_rank (mesh, &rank) && from_other_zone (mesh, from);
  uint64_t before = config_follower_newest (&mesh->follower);
  for (size_t i = 0; i < count; i++)
    {
      uint64_t version;
      if (offer_record (mesh, records[i].data, records[i].size, &version)
          != STATUS_OK)
        break;
      if (forward)
        broadcast_once (mesh, version, records[i].data, records[i].size);
    }
  struct mesh_pull *pull = &mesh->pull;
  if (config_follower_newest (&mesh->follower) > before)
    {
      pull->attempts = 0;
      pull->next_ms = 0;
    }
  pull_if_due (mesh, clock_monotonic_ms ());
}

static void
on_config_snapshot (void *arg, uint64_t from, const uint8_t *body, size_t size)
{
  struct node_mesh *mesh = arg;
  struct message_config_snapshot snapshot;
  if (message_read_config_snapshot (body, size, &snapshot) != STATUS_OK)
    return;
  void *arena = talloc_new (NULL);
  uint8_t *content;
  size_t content_size;
  enum status status
      = record_decompress (snapshot.content.data, snapshot.content.size, arena,
                           &content, &content_size);
  if (status == STATUS_OK)
    {
      config_follower_floor_recorded (&mesh->follower, snapshot.version);
      status = config_follower_offer_snapshot (
          &mesh->follower, snapshot.version, &snapshot.hash, content,
          content_size, clock_monotonic_ms ());
    }
  if (status != STATUS_OK && status != STATUS_CONFLICT)
    {
      counter_add (&offers_refused, 1);
      log_event (LOG_LEVEL_WARNING, "snapshot_refused",
                 "version=%llu reason=\"%s\"",
                 (unsigned long long)snapshot.version, status_message ());
    }
  talloc_free (arena);
  int rank;
  if (status == STATUS_OK && find_relay_rank (mesh, &rank)
      && from_other_zone (mesh, from))
    broadcast_notice (mesh, snapshot.version);
}

static void
in_force (void *arg, const struct config *config,
          const struct config_record *record)
{
  struct node_mesh *mesh = arg;
  log_event (LOG_LEVEL_INFO, "version_in_force", "version=%llu ready=%d",
             (unsigned long long)config->version,
             config_follower_ready (&mesh->follower));
  for (unsigned i = 0; i < mesh->version_handler_count; i++)
    mesh->version_handlers[i].call (mesh->version_handlers[i].arg, config);
}

const struct config_follower_ops mesh_config_follower_ops
    = { .in_force = in_force, .announce_floor = mesh_floor_announce };

void
mesh_config_start (struct node_mesh *mesh)
{
  token_bucket_init (&mesh->snapshot_tokens, SNAPSHOTS_PER_S, SNAPSHOTS_PER_S,
                     clock_monotonic_ms ());
  peer_register_handler (mesh->peers, MESSAGE_CONFIG_PULL, on_config_pull,
                         mesh);
  peer_register_handler (mesh->peers, MESSAGE_CONFIG_RECORDS,
                         on_config_records, mesh);
  peer_register_handler (mesh->peers, MESSAGE_CONFIG_SNAPSHOT,
                         on_config_snapshot, mesh);
}

void
mesh_config_stop (struct node_mesh *mesh)
{
  talloc_free (mesh->snapshot);
  discard_delayed (mesh);
}

void
mesh_config_tick (struct node_mesh *mesh, uint64_t now_ms)
{
  pull_if_due (mesh, now_ms);
  if (mesh->delayed_record != NULL && now_ms >= mesh->delayed_ms)
    {
      broadcast_once (mesh, mesh->delayed_version, mesh->delayed_record,
                      mesh->delayed_size);
      discard_delayed (mesh);
    }
}
