/// Owns a job that reads missing versions from the store: the records that the
/// head lists, or the newest snapshot when older records are missing.
#include "node/node_config.h"

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"

#include <talloc.h>

static struct counter records_read
    = COUNTER ("config_records_read", "version records read from the store");
static struct counter snapshots_read
    = COUNTER ("config_snapshots_read", "snapshots read from the store");
static struct counter records_refused = COUNTER (
    "config_records_refused", "records or snapshots of the store refused");

struct fetch
{
  struct node *node;
  struct record_head head;
  struct content_hash snapshot_hash;
  struct record_parts parts; ///< of the snapshot that is being read
  size_t expected_parts;
  void (*done) (void *arg, enum status status);
  void *arg;
};

static void fetch_next (struct fetch *fetch);

static void
end_fetch (struct fetch *fetch, enum status status)
{
  void (*done) (void *, enum status) = fetch->done;
  void *arg = fetch->arg;
  talloc_free (fetch);
  done (arg, status);
}

static uint64_t
newest_version (const struct fetch *fetch)
{
  return config_follower_newest (node_config_follower (fetch->node));
}

static void
refuse (struct fetch *fetch, const char *what, enum status status)
{
  counter_add (&records_refused, 1);
  log_event (LOG_LEVEL_ERROR, "store_content_refused",
             "what=%s status=%s message=\"%s\"", what, status_name (status),
             status_message ());
  end_fetch (fetch, status);
}

static void
on_record (void *arg, const struct store_reply *reply)
{
  struct fetch *fetch = arg;
  if (reply->status != STATUS_OK)
    {
      end_fetch (fetch, reply->status);
      return;
    }
  counter_add (&records_read, 1);
  struct config_record record;
  enum status status
      = record_version_decode (fetch, reply->data, reply->size, &record);
  if (status == STATUS_OK)
    status = config_follower_offer_record (node_config_follower (fetch->node),
                                           &record, clock_monotonic_ms ());
  if (status != STATUS_OK)
    {
      refuse (fetch, "record", status);
      return;
    }
  node_mesh_broadcast (fetch->node, NODE_BROADCAST_RECORD, reply->data,
                       reply->size);
  fetch_next (fetch);
}

static void read_part (struct fetch *fetch);

static void
offer_snapshot (struct fetch *fetch)
{
  uint8_t *content;
  size_t size;
  enum status status = record_snapshot_decode (
      fetch->head.snapshot_version, &fetch->parts, fetch, &content, &size);
  if (status == STATUS_OK)
    status = config_follower_offer_snapshot (
        node_config_follower (fetch->node), fetch->head.snapshot_version,
        &fetch->snapshot_hash, content, size, clock_monotonic_ms ());
  if (status != STATUS_OK)
    {
      refuse (fetch, "snapshot", status);
      return;
    }
  counter_add (&snapshots_read, 1);
  fetch_next (fetch);
}

static void
on_part (void *arg, const struct store_reply *reply)
{
  struct fetch *fetch = arg;
  if (reply->status != STATUS_OK)
    {
      end_fetch (fetch, reply->status);
      return;
    }
  struct record_parts *parts = &fetch->parts;
  if (parts->count == 0)
    fetch->expected_parts
        = record_snapshot_part_count (reply->data, reply->size);
  if (fetch->expected_parts == 0 || fetch->expected_parts > RECORD_PARTS_MAX)
    {
      refuse (fetch, "snapshot",
              status_set (STATUS_CORRUPT, "part 0 of snapshot %llu is invalid",
                          (unsigned long long)fetch->head.snapshot_version));
      return;
    }
  parts->bytes[parts->count] = talloc_memdup (fetch, reply->data, reply->size);
  parts->sizes[parts->count] = reply->size;
  parts->count++;
  if (parts->count < fetch->expected_parts)
    read_part (fetch);
  else
    offer_snapshot (fetch);
}

static void
read_part (struct fetch *fetch)
{
  char key[RECORD_KEY_MAX];
  record_snapshot_key (key, fetch->head.snapshot_version,
                       fetch->head.snapshot_nonce,
                       (unsigned)fetch->parts.count);
  fetch->node->store_ops->get (fetch->node->store, key, on_part, fetch);
}

/// Takes the hash of the snapshot's content from the record of its version.
static void
on_snapshot_record (void *arg, const struct store_reply *reply)
{
  struct fetch *fetch = arg;
  if (reply->status != STATUS_OK)
    {
      end_fetch (fetch, reply->status);
      return;
    }
  struct config_record record;
  enum status status
      = record_version_decode (fetch, reply->data, reply->size, &record);
  if (status != STATUS_OK)
    {
      refuse (fetch, "record", status);
      return;
    }
  fetch->snapshot_hash = record.hash;
  read_part (fetch);
}

static const struct publish_entry *
find_listed_version (const struct record_head *head, uint64_t version)
{
  for (size_t i = 0; i < head->recent_count; i++)
    if (head->recent[i].version == version)
      return &head->recent[i];
  return NULL;
}

static void
fetch_next (struct fetch *fetch)
{
  struct node *node = fetch->node;
  uint64_t held = newest_version (fetch);
  if (held >= fetch->head.version)
    {
      end_fetch (fetch, STATUS_OK);
      return;
    }
  char key[RECORD_KEY_MAX];
  const struct publish_entry *next
      = find_listed_version (&fetch->head, held + 1);
  if (next != NULL)
    {
      record_version_key (key, next->version, next->nonce);
      node->store_ops->get (node->store, key, on_record, fetch);
      return;
    }
  if (fetch->head.snapshot_version <= held || fetch->parts.count > 0)
    {
      refuse (fetch, "head",
              status_set (STATUS_CORRUPT,
                          "the head lists neither version %llu nor a later "
                          "snapshot",
                          (unsigned long long)held + 1));
      return;
    }
  record_version_key (key, fetch->head.snapshot_version,
                      fetch->head.snapshot_nonce);
  node->store_ops->get (node->store, key, on_snapshot_record, fetch);
}

void
node_fetch (struct node *node, const struct record_head *head,
            void (*done) (void *arg, enum status status), void *arg)
{
  struct fetch *fetch = talloc_zero (NULL, struct fetch);
  if (fetch == NULL)
    {
      done (arg, STATUS_NO_MEMORY);
      return;
    }
  fetch->node = node;
  fetch->head = *head;
  fetch->done = done;
  fetch->arg = arg;
  fetch_next (fetch);
}
