/// Owns the jobs in progress that restore older configurations.
#include "node/node_history.h"

#include <string.h>
#include <talloc.h>

/// Limit of the records kept in memory by one job, bytes.
#define RECORDS_BYTES_MAX (64 * 1024 * 1024)

/// Attempts of one version whose snapshots are considered: writers that lost
/// the race for the version may have left a snapshot too.
#define NONCES_MAX 8

struct restore
{
  struct node *node;
  struct record_head head;
  uint64_t version; ///< that is restored
  void (*done) (void *arg, enum status status, struct config *config);
  void *arg;
  uint64_t start;              ///< version of the snapshot; 0: start empty
  uint64_t nonces[NONCES_MAX]; ///< of the snapshots of version `start`
  size_t nonce_count;
  uint64_t start_nonce;          ///< of the accepted snapshot
  struct content_hash hash;      ///< of the content at `start`
  struct config_record *records; ///< newest first, down to version start + 1
  size_t record_count;
  size_t record_bytes;
  enum status failure; ///< why a record could not be kept
  struct record_parts parts;
  size_t part_count; ///< set when the first part has been read
};

static void read_part (struct restore *restore);

static void
end_restore (struct restore *restore, enum status status,
             struct config *config)
{
  restore->done (restore->arg, status, config);
  talloc_free (restore);
}

/// Applies the kept records to the configuration of version `start`.
static void
apply_records (struct restore *restore, struct config *config)
{
  enum status status = STATUS_OK;
  if (!hash_equal (&config->hash, &restore->hash))
    status = status_set (
        STATUS_CORRUPT, "the content of snapshot %llu does not match its hash",
        (unsigned long long)restore->start);
  config->version = restore->start;
  for (size_t i = restore->record_count; i > 0 && status == STATUS_OK; i--)
    if (restore->records[i - 1].version <= restore->version)
      status = config_apply (config, &restore->records[i - 1]);
  if (status != STATUS_OK)
    config_finish (config);
  end_restore (restore, status, status == STATUS_OK ? config : NULL);
}

static void
join_parts (struct restore *restore)
{
  uint8_t *content = NULL;
  size_t size = 0;
  struct config config;
  enum status status = record_snapshot_decode (restore->start, &restore->parts,
                                               restore, &content, &size);
  if (status == STATUS_OK)
    status = config_decode (&config, content, size);
  if (status != STATUS_OK)
    {
      end_restore (restore, status, NULL);
      return;
    }
  apply_records (restore, &config);
}

static void
part_done (void *arg, const struct store_reply *reply)
{
  struct restore *restore = arg;
  if (reply->status != STATUS_OK)
    {
      end_restore (restore,
                   status_set (reply->status,
                               "cannot read snapshot %llu from the store: %s",
                               (unsigned long long)restore->start,
                               status_name (reply->status)),
                   NULL);
      return;
    }
  size_t at = restore->parts.count;
  if (at == 0)
    restore->part_count
        = record_snapshot_part_count (reply->data, reply->size);
  restore->parts.bytes[at] = talloc_memdup (restore, reply->data, reply->size);
  restore->parts.sizes[at] = reply->size;
  if (restore->part_count == 0 || restore->parts.bytes[at] == NULL)
    {
      end_restore (restore,
                   status_set (STATUS_CORRUPT,
                               "part 0 of snapshot %llu is invalid",
                               (unsigned long long)restore->start),
                   NULL);
      return;
    }
  restore->parts.count++;
  if (restore->parts.count < restore->part_count)
    read_part (restore);
  else
    join_parts (restore);
}

static void
read_part (struct restore *restore)
{
  char key[RECORD_KEY_MAX];
  record_snapshot_key (key, restore->start, restore->start_nonce,
                       (unsigned)restore->parts.count);
  restore->node->store_ops->get (restore->node->store, key, part_done,
                                 restore);
}

/// Chooses the snapshot of the accepted attempt if there is one.
static void
choose_nonce (struct restore *restore, uint64_t accepted)
{
  for (size_t i = 0; i < restore->nonce_count; i++)
    if (restore->nonces[i] == accepted)
      restore->start_nonce = accepted;
}

/// Keeps a record.
/// @return true when older records are needed
static bool
keep_record (void *arg, const struct config_record *record)
{
  struct restore *restore = arg;
  if (record->version <= restore->start)
    {
      choose_nonce (restore, record->nonce);
      return false;
    }
  restore->hash = record->previous_hash;
  restore->record_bytes += record->delta_size;
  uint8_t *delta = talloc_memdup (restore, record->delta, record->delta_size);
  struct config_record *records
      = talloc_realloc (restore, restore->records, struct config_record,
                        restore->record_count + 1);
  if (delta == NULL || records == NULL
      || restore->record_count == NODE_HISTORY_MAX
      || restore->record_bytes > RECORDS_BYTES_MAX)
    {
      restore->failure = status_set (STATUS_TOO_LARGE,
                                     "version %llu cannot be restored: too "
                                     "many records since its snapshot",
                                     (unsigned long long)restore->version);
      return false;
    }
  restore->records = records;
  struct config_record *kept = &records[restore->record_count++];
  *kept = *record;
  kept->author = NULL;
  kept->note = NULL;
  kept->delta = delta;
  return true;
}

static void
records_done (void *arg, enum status status)
{
  struct restore *restore = arg;
  if (status == STATUS_OK)
    status = restore->failure;
  if (status != STATUS_OK)
    {
      end_restore (restore, status, NULL);
      return;
    }
  if (restore->start > 0)
    {
      read_part (restore);
      return;
    }
  struct config empty;
  config_init (&empty);
  apply_records (restore, &empty);
}

static void
walk_records (struct restore *restore)
{
  static const struct node_history_ops ops = { keep_record, records_done };
  if (restore->start == restore->head.version)
    {
      choose_nonce (restore, restore->head.nonce);
      records_done (restore, STATUS_OK);
    }
  else
    node_history_walk (restore->node, &restore->head, &ops, restore);
}

static void
add_snapshot (struct restore *restore, uint64_t version, uint64_t nonce)
{
  if (version > restore->start)
    restore->nonce_count = 0;
  restore->start = version;
  restore->start_nonce = nonce;
  if (restore->nonce_count < NONCES_MAX)
    restore->nonces[restore->nonce_count++] = nonce;
}

/// Chooses the newest snapshot that is not newer than the version.
static void
snapshots_done (void *arg, const struct store_reply *reply)
{
  struct restore *restore = arg;
  if (reply->status != STATUS_OK && reply->status != STATUS_NOT_FOUND)
    {
      end_restore (restore,
                   status_set (reply->status,
                               "cannot list the snapshots in the store: %s",
                               status_name (reply->status)),
                   NULL);
      return;
    }
  size_t count = reply->status == STATUS_OK ? reply->key_count : 0;
  for (size_t i = 0; i < count; i++)
    {
      uint64_t version, nonce;
      unsigned part;
      if (record_snapshot_key_parse (reply->keys[i].key, &version, &nonce,
                                     &part)
              == STATUS_OK
          && part == 0 && version <= restore->version
          && version >= restore->start)
        add_snapshot (restore, version, nonce);
    }
  if (restore->start == restore->head.snapshot_version)
    choose_nonce (restore, restore->head.snapshot_nonce);
  walk_records (restore);
}

void
node_history_restore (struct node *node, const struct record_head *head,
                      uint64_t version,
                      void (*done) (void *arg, enum status status,
                                    struct config *config),
                      void *arg)
{
  struct restore *restore = talloc_zero (NULL, struct restore);
  if (restore == NULL || version > head->version)
    {
      talloc_free (restore);
      done (arg,
            status_set (STATUS_NOT_FOUND, "version %llu does not exist",
                        (unsigned long long)version),
            NULL);
      return;
    }
  restore->node = node;
  restore->head = *head;
  restore->version = version;
  restore->done = done;
  restore->arg = arg;
  restore->hash = head->hash;
  node->store_ops->list (node->store, RECORD_SNAPSHOTS_PREFIX, snapshots_done,
                         restore);
}
