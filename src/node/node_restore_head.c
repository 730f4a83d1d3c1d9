/// Owns a job that repairs a store that lost versions: it writes a snapshot,
/// the record and the head of the version in force.
#include "node/node_config.h"

#include "base/counter.h"
#include "base/log.h"

#include <string.h>
#include <talloc.h>

static struct counter restored
    = COUNTER ("config_heads_restored", "older heads replaced in the store");

struct restore
{
  struct node *node;
  uint64_t revision; ///< of the head in the store, 0: none
  uint64_t version;
  uint64_t nonce;
  struct record_parts parts;
  uint8_t *record_bytes;
  size_t record_size;
  uint8_t *head_bytes;
  size_t head_size;
  size_t written; ///< values written: the snapshot's parts, then the record
  void (*done) (void *arg, enum status status);
  void *arg;
};

static void restore_next (struct restore *restore);

static void
end_restore (struct restore *restore, enum status status)
{
  void (*done) (void *, enum status) = restore->done;
  void *arg = restore->arg;
  if (status == STATUS_OK)
    {
      counter_add (&restored, 1);
      log_event (LOG_LEVEL_WARNING, "store_head_restored", "version=%llu",
                 (unsigned long long)restore->version);
    }
  talloc_free (restore);
  done (arg, status);
}

static void
on_written (void *arg, const struct store_reply *reply)
{
  struct restore *restore = arg;
  /* Parts and records are immutable: on a conflict the value is in the store
     already. */
  if (reply->status != STATUS_OK && reply->status != STATUS_CONFLICT)
    {
      end_restore (restore, reply->status);
      return;
    }
  restore->written++;
  restore_next (restore);
}

static void
on_head_written (void *arg, const struct store_reply *reply)
{
  end_restore (arg, reply->status);
}

static void
restore_next (struct restore *restore)
{
  struct node *node = restore->node;
  char key[RECORD_KEY_MAX];
  if (restore->written < restore->parts.count)
    {
      record_snapshot_key (key, restore->version, restore->nonce,
                           (unsigned)restore->written);
      node->store_ops->put (
          node->store, key, 0, 0, restore->parts.bytes[restore->written],
          restore->parts.sizes[restore->written], on_written, restore);
    }
  else if (restore->written == restore->parts.count)
    {
      record_version_key (key, restore->version, restore->nonce);
      node->store_ops->put (node->store, key, 0, 0, restore->record_bytes,
                            restore->record_size, on_written, restore);
    }
  else
    node->store_ops->put (node->store, RECORD_HEAD_KEY, restore->revision, 0,
                          restore->head_bytes, restore->head_size,
                          on_head_written, restore);
}

static enum status
prepare (struct restore *restore, const struct config_record *record)
{
  const struct config *config
      = config_follower_current (node_config_follower (restore->node));
  uint8_t *content;
  size_t size;
  enum status status = config_encode (config, restore, &content, &size);
  if (status == STATUS_OK)
    status = record_snapshot_encode (config->version, content, size, restore,
                                     &restore->parts);
  if (status == STATUS_OK)
    status = record_version_encode (record, restore, &restore->record_bytes,
                                    &restore->record_size);
  if (status != STATUS_OK)
    return status;
  struct record_head head = { 0 };
  head.snapshot_version = record->version;
  head.snapshot_nonce = record->nonce;
  record_head_advance (&head, record->version, &record->hash, record->nonce);
  return record_head_encode (&head, restore, &restore->head_bytes,
                             &restore->head_size);
}

void
node_restore_head (struct node *node, uint64_t revision,
                   void (*done) (void *arg, enum status status), void *arg)
{
  struct config_follower *follower = node_config_follower (node);
  uint64_t version = config_follower_current (follower)->version;
  const struct config_record *record
      = config_follower_history (follower, version);
  if (record == NULL)
    {
      /* The version came from a snapshot. A relay that has its record repairs
         the store. */
      done (arg, STATUS_UNAVAILABLE);
      return;
    }
  struct restore *restore = talloc_zero (NULL, struct restore);
  if (restore == NULL)
    {
      done (arg, STATUS_NO_MEMORY);
      return;
    }
  restore->node = node;
  restore->revision = revision;
  restore->version = version;
  restore->nonce = record->nonce;
  restore->done = done;
  restore->arg = arg;
  enum status status = prepare (restore, record);
  if (status != STATUS_OK)
    {
      end_restore (restore, status);
      return;
    }
  restore_next (restore);
}
