/// Reading of a partition's log: lists the keys, then reads the chunks in
/// order and the segments up to the first one that does not exist.
#include "base/counter.h"
#include "base/log.h"
#include "coordination/claim_log_internal.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

static struct counter values_corrupt = COUNTER (
    "claim_log_values_corrupt", "Segments or chunks that could not be read.");
static struct counter loads
    = COUNTER ("claim_log_loads", "Partition logs read from the start.");

/// @return the buffer for the value with this chunk index or segment number
static struct claim_log_value *
pending_value (struct claim_log *log, uint64_t index)
{
  return &log->values[index % CLAIM_LOG_READ_WINDOW];
}

/// Sends reads until the window is full.
static void
send_reads (struct claim_log *log)
{
  while (log->next_read < log->next_apply + log->window)
    {
      char key[CLAIM_LOG_KEY_MAX];
      if (log->state == CLAIM_LOG_READING_SEGMENTS)
        claim_log_segment_key (log, log->next_read, key);
      else if (log->next_read < log->chunk_count)
        claim_log_chunk_key (log, log->chunks[log->next_read].number, key);
      else
        return;
      struct claim_log_value *value = pending_value (log, log->next_read);
      talloc_free (value->bytes);
      *value = (struct claim_log_value){ 0 };
      uint32_t index = (uint32_t)log->next_read++;
      log->ops->get (log->arg, key,
                     claim_log_token (CLAIM_OP_READ, log->read_epoch, index));
    }
}

static void
schedule_reread (struct claim_log *log, uint64_t now_ms)
{
  log->read_epoch++;
  log->read_failed = true;
  claim_log_back_off (log, now_ms);
}

static void
finish_reading (struct claim_log *log)
{
  for (int i = 0; i < CLAIM_LOG_READ_WINDOW; i++)
    {
      talloc_free (log->values[i].bytes);
      log->values[i] = (struct claim_log_value){ 0 };
    }
  log->read_epoch++;
  log->failures = 0;
  log->state = CLAIM_LOG_READY;
  log->ops->changed (log->arg);
}

/// Applies the chunk at next_apply.
/// @return STATUS_OK, or STATUS_CORRUPT
static enum status
apply_chunk (struct claim_log *log, const struct claim_log_value *value)
{
  struct claim_chunk *chunk = &log->chunks[log->next_apply];
  /* A chunk is removed only when all its claims have expired, so one that was
     listed and is gone holds nothing to apply. */
  if (!value->found)
    return STATUS_OK;
  struct claim_segment segment;
  void *arena = talloc_new (log->arena);
  enum status status
      = log->codec->decode (value->bytes, value->size, arena, &segment);
  if (status == STATUS_OK
      && (!segment.chunk || segment.number != chunk->number
          || segment.partition != log->partition))
    status = STATUS_CORRUPT;
  chunk->revision = value->revision;
  for (size_t i = 0; status == STATUS_OK && i < segment.count; i++)
    {
      claim_table_set (&log->table, &segment.records[i]);
      if (segment.records[i].created_s > chunk->newest_s)
        chunk->newest_s = segment.records[i].created_s;
    }
  talloc_free (arena);
  return status;
}

/// Applies the segment at next_apply.
/// @return STATUS_OK; STATUS_NOT_FOUND at the end of the log;
///         STATUS_CONFLICT when a later segment has taken the slot;
///         STATUS_CORRUPT
static enum status
apply_segment (struct claim_log *log, const struct claim_log_value *value)
{
  uint64_t number = log->next_apply;
  uint64_t *revision = &log->slot_revision[number % log->ring];
  *revision = value->revision;
  if (!value->found)
    return STATUS_NOT_FOUND;
  struct claim_segment segment;
  void *arena = talloc_new (log->arena);
  enum status status
      = log->codec->decode (value->bytes, value->size, arena, &segment);
  if (status == STATUS_OK
      && (segment.chunk || segment.partition != log->partition))
    status = STATUS_CORRUPT;
  if (status == STATUS_OK && segment.number < number)
    status = STATUS_NOT_FOUND;
  else if (status == STATUS_OK && segment.number > number)
    status = STATUS_CONFLICT;
  else if (status == STATUS_OK)
    claim_log_apply (log, &segment, value->revision);
  talloc_free (arena);
  return status;
}

/// Applies the values that have arrived, in order, then sends further reads.
static void
apply_pending_values (struct claim_log *log, uint64_t now_ms)
{
  for (;;)
    {
      struct claim_log_value *value = pending_value (log, log->next_apply);
      if (log->state == CLAIM_LOG_READING_CHUNKS
          && log->next_apply == log->chunk_count)
        {
          claim_log_read_segments (log, CLAIM_LOG_READ_WINDOW, now_ms);
          return;
        }
      if (log->next_apply == log->next_read || !value->present)
        break;
      bool reading_chunks = log->state == CLAIM_LOG_READING_CHUNKS;
      enum status status = reading_chunks ? apply_chunk (log, value)
                                          : apply_segment (log, value);
      if (status == STATUS_NOT_FOUND)
        {
          finish_reading (log);
          return;
        }
      if (status == STATUS_CONFLICT)
        {
          claim_log_reload (log, now_ms);
          return;
        }
      if (status != STATUS_OK)
        {
          counter_add (&values_corrupt, 1);
          log_event (LOG_LEVEL_ERROR, "claim_log_corrupt",
                     "partition=%u number=%" PRIu64, log->partition,
                     log->next_apply);
          claim_log_reload (log, now_ms);
          log->retry_ms = now_ms + 5000;
          return;
        }
      talloc_free (value->bytes);
      *value = (struct claim_log_value){ 0 };
      log->next_apply++;
      if (!reading_chunks && log->window < CLAIM_LOG_READ_WINDOW)
        log->window *= 2;
    }
  send_reads (log);
}

static int
compare_chunks (const void *a, const void *b)
{
  uint64_t x = ((const struct claim_chunk *)a)->number;
  uint64_t y = ((const struct claim_chunk *)b)->number;
  return x < y ? -1 : x > y;
}

/// Records which segment slots and chunks exist, from the list of keys.
static void
parse_key_list (struct claim_log *log, const struct store_reply *reply)
{
  char prefix[CLAIM_LOG_KEY_MAX];
  size_t size
      = (size_t)snprintf (prefix, sizeof prefix, "claims/%u/", log->partition);
  log->chunks = talloc_realloc (log->arena, log->chunks, struct claim_chunk,
                                reply->key_count + 1);
  log->chunk_count = 0;
  for (size_t i = 0; i < reply->key_count; i++)
    {
      const struct store_key *key = &reply->keys[i];
      if (strncmp (key->key, prefix, size) != 0)
        continue;
      const char *name = key->key + size;
      bool chunk = strncmp (name, "chunk/", 6) == 0;
      char *end;
      uint64_t number = strtoull (chunk ? name + 6 : name, &end, 10);
      if (*end != '\0')
        continue;
      if (chunk)
        log->chunks[log->chunk_count++]
            = (struct claim_chunk){ .number = number,
                                    .revision = key->revision };
      else if (number < log->ring)
        log->slot_revision[number] = key->revision;
    }
  qsort (log->chunks, log->chunk_count, sizeof *log->chunks, compare_chunks);
  log->newest_chunk
      = log->chunk_count > 0 ? log->chunks[log->chunk_count - 1].number : 0;
  log->last_applied = log->newest_chunk * log->chunk_segments;
}

void
claim_log_handle_list (struct claim_log *log, const struct store_reply *reply,
                       uint64_t now_ms)
{
  if (reply->status != STATUS_OK)
    {
      schedule_reread (log, now_ms);
      return;
    }
  counter_add (&loads, 1);
  parse_key_list (log, reply);
  log->state = CLAIM_LOG_READING_CHUNKS;
  log->next_apply = 0;
  log->next_read = 0;
  log->window = CLAIM_LOG_READ_WINDOW;
  apply_pending_values (log, now_ms);
}

void
claim_log_handle_read (struct claim_log *log, uint32_t index,
                       const struct store_reply *reply, uint64_t now_ms)
{
  bool found = reply->status == STATUS_OK;
  if (!found && reply->status != STATUS_NOT_FOUND)
    {
      schedule_reread (log, now_ms);
      return;
    }
  struct claim_log_value *value = pending_value (log, index);
  *value = (struct claim_log_value){ .present = true,
                                     .found = found,
                                     .revision = found ? reply->revision : 0 };
  if (found)
    {
      value->bytes = talloc_memdup (log->arena, reply->data, reply->size);
      value->size = reply->size;
      if (value->bytes == NULL)
        abort ();
    }
  apply_pending_values (log, now_ms);
}

void
claim_log_read_segments (struct claim_log *log, uint32_t window,
                         uint64_t now_ms)
{
  log->read_epoch++;
  log->state = CLAIM_LOG_READING_SEGMENTS;
  log->next_apply = log->last_applied + 1;
  log->next_read = log->last_applied + 1;
  log->window = window;
  send_reads (log);
}

void
claim_log_read_again (struct claim_log *log, uint64_t now_ms)
{
  log->read_failed = false;
  if (log->state == CLAIM_LOG_READING_SEGMENTS)
    claim_log_read_segments (log, log->window, now_ms);
  else if (log->state == CLAIM_LOG_READING_CHUNKS)
    {
      log->next_read = log->next_apply;
      send_reads (log);
    }
  else
    {
      char prefix[CLAIM_LOG_KEY_MAX];
      snprintf (prefix, sizeof prefix, "claims/%u/", log->partition);
      log->ops->list (log->arg, prefix,
                      claim_log_token (CLAIM_OP_LIST, log->read_epoch, 0));
    }
}
