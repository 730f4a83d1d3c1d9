/// Verification of a partition's log against the store, and its repair after
/// the store was reset to older content.
#include "base/counter.h"
#include "base/log.h"
#include "coordination/claim_log_internal.h"

#include <assert.h>
#include <inttypes.h>
#include <talloc.h>

static struct counter regressions
    = COUNTER ("claim_log_regressions",
               "Times the store held an older log than this node had seen.");

/// Lists the newest claims, as many as fit into a chunk, and the floor.
/// @return number of records
static size_t
list_claims (const struct claim_log *log, uint32_t floor_s, void *arena,
             struct claim_record **records)
{
  const struct claim_table *table = &log->table;
  uint32_t list_max = CLAIM_CHUNK_RECORDS - 1;
  uint32_t first = table->count > list_max ? table->count - list_max : 0;
  struct claim_record *list
      = talloc_array (arena, struct claim_record, table->count - first + 1);
  assert (list != NULL);
  size_t count = 0;
  for (uint32_t i = first; i < table->count; i++)
    list[count++] = claim_table_record (&table->items[i]);
  list[count++] = (struct claim_record){ .kind = CLAIM_RECORD_FLOOR,
                                         .created_s = floor_s };
  *records = list;
  return count;
}

void
claim_log_repair (struct claim_log *log, uint64_t now_ms, uint64_t wall_ms)
{
  counter_add (&regressions, 1);
  log_event (LOG_LEVEL_ERROR, "claim_log_regressed",
             "partition=%u segment=%" PRIu64, log->partition,
             log->last_applied);
  /* Clients accept keys up to one clock difference ahead of their own clock,
     which may itself be one ahead of this node's. No key claimed so far can
     have a later creation time than that. */
  uint32_t floor_s = (uint32_t)(wall_ms / 1000) + 2 * CLAIM_CLOCK_SKEW_S;
  void *arena = talloc_new (NULL);
  struct claim_record *records;
  /* One chunk number is skipped, so that segments that another owner writes at
     this moment lie before the chunk. */
  struct claim_segment chunk
      = { .chunk = true,
          .partition = log->partition,
          .number = log->last_applied / log->chunk_segments + 2 };
  chunk.count = list_claims (log, floor_s, arena, &records);
  chunk.records = records;
  claim_log_limit_bodies (records, chunk.count);
  struct claim_chunk_write write
      = { .number = chunk.number, .newest_s = floor_s };
  enum status status
      = log->codec->encode (&chunk, arena, &write.bytes, &write.size);
  assert (status == STATUS_OK);
  (void)status;
  bool appending = log->append_bytes != NULL;
  claim_log_reset (log);
  write.bytes = talloc_steal (log->arena, write.bytes);
  log->writes[0] = write;
  log->state = CLAIM_LOG_REPAIRING;
  log->retry_ms = now_ms;
  talloc_free (arena);
  if (appending)
    log->ops->appended (log->arg, false);
}

void
claim_log_repair_send (struct claim_log *log)
{
  char key[CLAIM_LOG_KEY_MAX];
  claim_log_chunk_key (log, log->writes[0].number, key);
  log->write_sent = true;
  log->ops->put (log->arg, key, 0, log->writes[0].bytes, log->writes[0].size,
                 claim_log_token (CLAIM_OP_REPAIR, log->epoch, 0));
}

void
claim_log_handle_repair (struct claim_log *log,
                         const struct store_reply *reply, uint64_t now_ms)
{
  log->write_sent = false;
  if (reply->status == STATUS_OK || reply->status == STATUS_CONFLICT)
    claim_log_reload (log, now_ms);
  else
    claim_log_back_off (log, now_ms);
}

void
claim_log_verify (struct claim_log *log, uint64_t now_ms)
{
  char key[CLAIM_LOG_KEY_MAX];
  claim_log_segment_key (log, log->last_applied, key);
  log->verify_sent = true;
  log->verify_ms = now_ms + CLAIM_LOG_VERIFY_MS;
  log->ops->get (log->arg, key,
                 claim_log_token (CLAIM_OP_VERIFY, log->epoch,
                                  (uint32_t)log->last_applied));
}

void
claim_log_handle_verify (struct claim_log *log, uint32_t index,
                         const struct store_reply *reply, uint64_t now_ms,
                         uint64_t wall_ms)
{
  log->verify_sent = false;
  bool found = reply->status == STATUS_OK;
  if (log->state != CLAIM_LOG_READY
      || (!found && reply->status != STATUS_NOT_FOUND))
    return;
  /* The slot was overwritten after the read was sent: nothing to compare. */
  if ((uint32_t)log->last_applied - index >= log->ring)
    return;
  uint64_t number = log->last_applied - ((uint32_t)log->last_applied - index);
  uint64_t revision = log->slot_revision[number % log->ring];
  struct claim_segment segment = { 0 };
  void *arena = talloc_new (NULL);
  bool lost = !found;
  if (found && reply->revision != revision
      && log->codec->decode (reply->data, reply->size, arena, &segment)
             == STATUS_OK)
    lost = segment.number <= number;
  talloc_free (arena);
  if (lost)
    claim_log_repair (log, now_ms, wall_ms);
}
