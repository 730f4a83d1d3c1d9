/// Position in a partition's log, the append in flight, and writing and
/// removal of chunks.
#include "base/counter.h"
#include "base/log.h"
#include "coordination/backoff.h"
#include "coordination/claim_log_internal.h"

#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define BACKOFF_FAILURES_MAX 5 /* limits the delay to 1.6 s */
#define EXPIRE_CLAIMS_PER_TICK 256

static struct counter appends
    = COUNTER ("claim_log_appends", "Segments written by this node.");
static struct counter conflicts = COUNTER (
    "claim_log_conflicts", "Segments that another owner had written first.");

void
claim_log_segment_key (const struct claim_log *log, uint64_t number,
                       char key[CLAIM_LOG_KEY_MAX])
{
  snprintf (key, CLAIM_LOG_KEY_MAX, "claims/%u/%u", log->partition,
            (unsigned)(number % log->ring));
}

void
claim_log_chunk_key (const struct claim_log *log, uint64_t number,
                     char key[CLAIM_LOG_KEY_MAX])
{
  snprintf (key, CLAIM_LOG_KEY_MAX, "claims/%u/chunk/%" PRIu64, log->partition,
            number);
}

uint64_t
claim_log_token (enum claim_log_operation operation, uint32_t epoch,
                 uint32_t index)
{
  return (uint64_t)operation << 56 | (uint64_t)(epoch & 0xffffff) << 32
         | index;
}

void
claim_log_back_off (struct claim_log *log, uint64_t now_ms)
{
  if (log->failures < BACKOFF_FAILURES_MAX)
    log->failures++;
  log->retry_ms = now_ms + 10 + backoff_delay_ms (log->rng, log->failures);
}

void
claim_log_limit_bodies (struct claim_record *records, size_t count)
{
  size_t size = count * 48;
  for (size_t i = 0; i < count; i++)
    {
      if (records[i].kind != CLAIM_RECORD_OUTCOME)
        continue;
      size += records[i].body_size;
      if (size <= CLAIM_CHUNK_BYTES)
        continue;
      size -= records[i].body_size;
      records[i].body_size = 0;
      records[i].body_complete = false;
    }
}

/// Records that the first pending chunk is in the store.
static void
note_chunk_written (struct claim_log *log, uint64_t revision)
{
  struct claim_chunk_write *write = &log->writes[0];
  log->chunks = talloc_realloc (log->arena, log->chunks, struct claim_chunk,
                                log->chunk_count + 1);
  if (log->chunks == NULL)
    abort ();
  log->chunks[log->chunk_count++] = (struct claim_chunk){
    .number = write->number, .revision = revision, .newest_s = write->newest_s
  };
  log->newest_chunk = write->number;
  talloc_free (write->bytes);
  log->write_count--;
  memmove (write, write + 1, log->write_count * sizeof *write);
}

/// Builds the chunk that ends at the last applied segment, unless the store
/// has it already.
static void
build_chunk (struct claim_log *log)
{
  void *arena = talloc_new (log->arena);
  struct claim_record *records;
  size_t count = claim_table_take_dirty (&log->table, arena, &records);
  uint64_t number = log->last_applied / log->chunk_segments;
  if (number <= log->newest_chunk)
    {
      talloc_free (arena);
      return;
    }
  if (log->write_count == CLAIM_CHUNK_WRITES)
    {
      /* Another owner has overwritten the segments of the oldest pending
         chunk, so it knows that this chunk is in the store. */
      log->epoch++;
      log->write_sent = false;
      log->remove_sent = false;
      note_chunk_written (log, 0);
    }
  /* claim_table_take_dirty leaves room for one more record than keys. */
  if (log->table.floor_s > 0)
    records[count++]
        = (struct claim_record){ .kind = CLAIM_RECORD_FLOOR,
                                 .created_s = log->table.floor_s };
  claim_log_limit_bodies (records, count);
  struct claim_segment chunk = { .chunk = true,
                                 .partition = log->partition,
                                 .number = number,
                                 .records = records,
                                 .count = count };
  struct claim_chunk_write *write = &log->writes[log->write_count++];
  *write = (struct claim_chunk_write){ .number = number };
  for (size_t i = 0; i < count; i++)
    if (records[i].created_s > write->newest_s)
      write->newest_s = records[i].created_s;
  enum status status
      = log->codec->encode (&chunk, log->arena, &write->bytes, &write->size);
  assert (status == STATUS_OK);
  (void)status;
  talloc_free (arena);
}

void
claim_log_apply (struct claim_log *log, const struct claim_segment *segment,
                 uint64_t revision)
{
  assert (segment->number == log->last_applied + 1);
  for (size_t i = 0; i < segment->count; i++)
    claim_table_apply (&log->table, &segment->records[i]);
  log->last_applied = segment->number;
  log->last_applied_is_segment = true;
  log->slot_revision[log->last_applied % log->ring] = revision;
  if (log->last_applied % log->chunk_segments == 0)
    build_chunk (log);
}

static void
finish_append (struct claim_log *log, bool committed)
{
  talloc_free (log->append_bytes);
  log->append_bytes = NULL;
  log->append_sent = false;
  log->append_maybe_applied = false;
  log->ops->appended (log->arg, committed);
}

void
claim_log_reset (struct claim_log *log)
{
  for (int i = 0; i < CLAIM_LOG_READ_WINDOW; i++)
    log->values[i] = (struct claim_log_value){ 0 };
  uint32_t count_max = log->table.count_max;
  size_t body_bytes_max = log->table.body_bytes_max;
  claim_table_finish (&log->table);
  claim_table_init (&log->table, count_max, body_bytes_max);
  talloc_free (log->arena);
  log->arena = talloc_new (NULL);
  log->chunks = NULL;
  log->chunk_count = 0;
  log->newest_chunk = 0;
  log->last_applied = 0;
  memset (log->slot_revision, 0, sizeof log->slot_revision);
  log->write_count = 0;
  log->write_sent = false;
  log->remove_sent = false;
  log->verify_sent = false;
  log->last_applied_is_segment = false;
  log->append_bytes = NULL;
  log->append_sent = false;
  log->append_maybe_applied = false;
  log->read_failed = false;
  log->epoch++;
  log->read_epoch++;
  log->state = CLAIM_LOG_CLOSED;
}

void
claim_log_reload (struct claim_log *log, uint64_t now_ms)
{
  bool appending = log->append_bytes != NULL;
  claim_log_reset (log);
  log->state = CLAIM_LOG_LISTING;
  log->read_failed = true;
  claim_log_back_off (log, now_ms);
  if (appending)
    log->ops->appended (log->arg, false);
}

static void
send_append (struct claim_log *log)
{
  char key[CLAIM_LOG_KEY_MAX];
  uint64_t number = log->last_applied + 1;
  claim_log_segment_key (log, number, key);
  log->append_sent = true;
  log->ops->put (log->arg, key, log->slot_revision[number % log->ring],
                 log->append_bytes, log->append_size,
                 claim_log_token (CLAIM_OP_APPEND, log->epoch, 0));
}

/// Handles a failed compare-and-swap of an append. The slot holds one of
/// - this append, stored by an earlier send;
/// - a segment of the same number that another owner wrote first;
/// - a later segment, when the log has advanced by the whole ring;
/// - an older segment, none or a corrupt one, when the store has lost content.
static void
handle_append_conflict (struct claim_log *log, const struct store_reply *reply,
                        uint64_t now_ms, uint64_t wall_ms)
{
  uint64_t number = log->last_applied + 1;
  void *arena = talloc_new (NULL);
  struct claim_segment segment = { 0 };
  enum status status
      = reply->revision == 0
            ? STATUS_NOT_FOUND
            : log->codec->decode (reply->data, reply->size, arena, &segment);
  if (status == STATUS_OK && segment.number > number)
    claim_log_reload (log, now_ms);
  else if (status != STATUS_OK || segment.number < number)
    claim_log_repair (log, now_ms, wall_ms);
  else
    {
      bool own = segment.nonce == log->append_nonce;
      counter_add (own ? &appends : &conflicts, 1);
      claim_log_apply (log, &segment, reply->revision);
      finish_append (log, own);
      if (!own && log->state == CLAIM_LOG_READY)
        claim_log_read_segments (log, 1, now_ms);
    }
  talloc_free (arena);
}

static void
commit_append (struct claim_log *log, uint64_t revision)
{
  void *arena = talloc_new (NULL);
  struct claim_segment segment;
  enum status status = log->codec->decode (log->append_bytes, log->append_size,
                                           arena, &segment);
  assert (status == STATUS_OK);
  (void)status;
  counter_add (&appends, 1);
  claim_log_apply (log, &segment, revision);
  talloc_free (arena);
  finish_append (log, true);
}

static void
handle_append_reply (struct claim_log *log, const struct store_reply *reply,
                     uint64_t now_ms, uint64_t wall_ms)
{
  log->append_sent = false;
  switch (reply->status)
    {
    case STATUS_OK:
      log->failures = 0;
      commit_append (log, reply->revision);
      return;
    case STATUS_CONFLICT:
      log->failures = 0;
      handle_append_conflict (log, reply, now_ms, wall_ms);
      return;
    case STATUS_UNAVAILABLE:
    case STATUS_INVALID:
    case STATUS_TOO_LARGE:
    case STATUS_DENIED:
      claim_log_back_off (log, now_ms);
      if (!log->append_maybe_applied)
        finish_append (log, false);
      return;
    default:
      /* The write may have taken effect: the same bytes are sent again until
         the reply is definite. */
      log->append_maybe_applied = true;
      claim_log_back_off (log, now_ms);
      return;
    }
}

static void
remove_chunk (struct claim_log *log)
{
  char key[CLAIM_LOG_KEY_MAX];
  claim_log_chunk_key (log, log->chunks[0].number, key);
  log->remove_sent = true;
  log->ops->remove (log->arg, key, log->chunks[0].revision,
                    claim_log_token (CLAIM_OP_REMOVE, log->epoch, 0));
}

static void
handle_remove_reply (struct claim_log *log, const struct store_reply *reply,
                     uint64_t now_ms)
{
  log->remove_sent = false;
  if (reply->status == STATUS_OK || reply->status == STATUS_NOT_FOUND)
    memmove (log->chunks, log->chunks + 1,
             --log->chunk_count * sizeof *log->chunks);
  else if (reply->status == STATUS_CONFLICT)
    log->chunks[0].revision = reply->revision;
  else
    log->remove_retry_ms = now_ms + 1000;
}

static void
write_chunk (struct claim_log *log)
{
  char key[CLAIM_LOG_KEY_MAX];
  claim_log_chunk_key (log, log->writes[0].number, key);
  log->write_sent = true;
  log->ops->put (log->arg, key, 0, log->writes[0].bytes, log->writes[0].size,
                 claim_log_token (CLAIM_OP_CHUNK, log->epoch, 0));
}

void
claim_log_init (struct claim_log *log, const struct claim_log_ops *ops,
                void *arg, const struct claim_codec *codec, struct rng *rng,
                uint32_t partition, uint32_t keep_s, uint32_t memory_claims,
                size_t memory_bodies)
{
  *log = (struct claim_log){ .ops = ops,
                             .arg = arg,
                             .codec = codec,
                             .rng = rng,
                             .partition = partition,
                             .keep_s = keep_s,
                             .ring = CLAIM_LOG_RING,
                             .chunk_segments = CLAIM_CHUNK_SEGMENTS,
                             .arena = talloc_new (NULL) };
  claim_table_init (&log->table, memory_claims, memory_bodies);
}

void
claim_log_finish (struct claim_log *log)
{
  claim_table_finish (&log->table);
  talloc_free (log->arena);
  log->arena = NULL;
}

void
claim_log_open (struct claim_log *log, uint64_t now_ms)
{
  if (log->state != CLAIM_LOG_CLOSED)
    return;
  log->state = CLAIM_LOG_LISTING;
  claim_log_read_again (log, now_ms);
}

void
claim_log_refresh (struct claim_log *log, uint64_t now_ms)
{
  if (log->state == CLAIM_LOG_READY && log->append_bytes == NULL
      && now_ms >= log->retry_ms)
    claim_log_read_segments (log, 1, now_ms);
}

bool
claim_log_can_append (const struct claim_log *log, uint64_t now_ms)
{
  /* The segment that the next one overwrites must be in a stored chunk. */
  bool room = log->last_applied + 1
              <= log->newest_chunk * log->chunk_segments + log->ring;
  return log->state == CLAIM_LOG_READY && log->append_bytes == NULL && room
         && now_ms >= log->retry_ms;
}

void
claim_log_append (struct claim_log *log, const struct claim_record *records,
                  size_t count, uint64_t now_ms)
{
  assert (claim_log_can_append (log, now_ms));
  assert (count > 0 && count <= CLAIM_SEGMENT_RECORDS);
  log->append_nonce = rng_u64 (log->rng);
  struct claim_segment segment = { .partition = log->partition,
                                   .number = log->last_applied + 1,
                                   .nonce = log->append_nonce,
                                   .records = (struct claim_record *)records,
                                   .count = count };
  enum status status = log->codec->encode (
      &segment, log->arena, &log->append_bytes, &log->append_size);
  assert (status == STATUS_OK);
  (void)status;
  send_append (log);
}

void
claim_log_completed (struct claim_log *log, uint64_t token,
                     const struct store_reply *reply, uint64_t now_ms,
                     uint64_t wall_ms)
{
  enum claim_log_operation operation
      = (enum claim_log_operation) (token >> 56);
  uint32_t epoch = (uint32_t)(token >> 32) & 0xffffff;
  bool read = operation == CLAIM_OP_LIST || operation == CLAIM_OP_READ;
  if (epoch != ((read ? log->read_epoch : log->epoch) & 0xffffff))
    return;
  switch (operation)
    {
    case CLAIM_OP_LIST:
      claim_log_handle_list (log, reply, now_ms);
      break;
    case CLAIM_OP_READ:
      claim_log_handle_read (log, (uint32_t)token, reply, now_ms);
      break;
    case CLAIM_OP_APPEND:
      handle_append_reply (log, reply, now_ms, wall_ms);
      break;
    case CLAIM_OP_CHUNK:
      log->write_sent = false;
      if (reply->status == STATUS_OK || reply->status == STATUS_CONFLICT)
        note_chunk_written (log, reply->revision);
      else
        log->write_retry_ms = now_ms + 200;
      break;
    case CLAIM_OP_REMOVE:
      handle_remove_reply (log, reply, now_ms);
      break;
    case CLAIM_OP_REPAIR:
      claim_log_handle_repair (log, reply, now_ms);
      break;
    case CLAIM_OP_VERIFY:
      claim_log_handle_verify (log, (uint32_t)token, reply, now_ms, wall_ms);
      break;
    }
}

void
claim_log_tick (struct claim_log *log, uint64_t now_ms, uint64_t wall_ms)
{
  if (log->read_failed && now_ms >= log->retry_ms)
    claim_log_read_again (log, now_ms);
  if (log->state == CLAIM_LOG_REPAIRING && !log->write_sent
      && now_ms >= log->retry_ms)
    claim_log_repair_send (log);
  if (log->state != CLAIM_LOG_READY)
    return;
  if (log->append_bytes != NULL && !log->append_sent
      && now_ms >= log->retry_ms)
    send_append (log);
  if (log->write_count > 0 && !log->write_sent
      && now_ms >= log->write_retry_ms)
    write_chunk (log);
  if (log->last_applied_is_segment && !log->verify_sent
      && now_ms >= log->verify_ms)
    claim_log_verify (log, now_ms);
  uint32_t now_s = (uint32_t)(wall_ms / 1000);
  claim_table_expire (&log->table, now_s, log->keep_s, EXPIRE_CLAIMS_PER_TICK);
  /* The newest chunk stays: its number tells where the segments start. */
  if (log->chunk_count > 1 && !log->remove_sent
      && now_ms >= log->remove_retry_ms
      && (uint64_t)log->chunks[0].newest_s + log->keep_s < now_s)
    remove_chunk (log);
}

void
claim_log_close (struct claim_log *log)
{
  claim_log_reset (log);
}
