/// Pending requests at the owner of a partition.
#include "coordination/claim_owner.h"

#include "base/counter.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

/// Claims in memory, 24 MB; past this, claims of new keys wait.
#define TABLE_CLAIMS_MAX 500000
#define TABLE_BODY_BYTES_MAX (32u * 1024 * 1024)

struct claim_request
{
  struct claim_record record;
  uint64_t from_slot;
  uint64_t seq;
  uint64_t deadline_ms; ///< of the attempt; UINT64_MAX for reports
  bool batched;         ///< part of the append in flight
  bool waiting;         ///< another attempt holds the key
  bool answered;        ///< needs no further reply; removed next
};

static struct counter granted
    = COUNTER ("claim_owner_granted", "Claims granted by this node.");
static struct counter refused = COUNTER (
    "claim_owner_refused", "Claims refused for the age of their key.");
static struct counter overflows
    = COUNTER ("claim_owner_overflows",
               "Requests dropped because too many wait at the owner.");

static bool
is_claim (const struct claim_request *request)
{
  return request->record.kind == CLAIM_RECORD_CLAIM;
}

static void
send_verdict (struct claim_owner *owner, struct claim_request *request,
              enum claim_verdict verdict, const struct claim *claim)
{
  request->answered = verdict != CLAIM_VERDICT_WAIT;
  owner->ops->reply (owner->arg, request->from_slot, request->seq, verdict,
                     claim);
}

static void
remove_answered (struct claim_owner *owner)
{
  uint32_t kept = 0;
  for (uint32_t i = 0; i < owner->request_count; i++)
    {
      struct claim_request *request = owner->requests[i];
      if (request->answered)
        {
          owner->report_count -= !is_claim (request);
          talloc_free (request);
        }
      else
        owner->requests[kept++] = request;
    }
  owner->request_count = kept;
}

/// @return true when the claim's state already reflects a report
static bool
is_stored (const struct claim *claim, const struct claim_record *record)
{
  if (claim == NULL || claim->nonce != record->nonce)
    return false;
  return (record->kind == CLAIM_RECORD_RELEASE && claim->state == CLAIM_FREE)
         || (record->kind == CLAIM_RECORD_OUTCOME
             && claim->state == CLAIM_DONE)
         || (record->kind == CLAIM_RECORD_OUTCOME_UNKNOWN
             && claim->state == CLAIM_OUTCOME_UNKNOWN);
}

/// Replies to a claim if the table determines its verdict.
static void
reply_to_claim (struct claim_owner *owner, struct claim_request *request)
{
  const struct claim_record *record = &request->record;
  const struct claim *claim
      = claim_table_find (&owner->log.table, &record->key);
  bool held = false;
  if (claim == NULL)
    {
      if (record->created_s <= owner->log.table.floor_s)
        send_verdict (owner, request, CLAIM_VERDICT_KEY_REFUSED, NULL);
    }
  else if (claim->state == CLAIM_DONE)
    send_verdict (owner, request, CLAIM_VERDICT_RECORDED, claim);
  else if (claim->state == CLAIM_OUTCOME_UNKNOWN)
    send_verdict (owner, request, CLAIM_VERDICT_OUTCOME_UNKNOWN, NULL);
  else if (claim->state == CLAIM_HELD && claim->nonce == record->nonce)
    {
      counter_add (&granted, 1);
      send_verdict (owner, request, CLAIM_VERDICT_GRANTED, NULL);
    }
  else if (claim->state == CLAIM_HELD)
    held = true;
  else if (claim->nonce == record->nonce)
    /* A late duplicate of a claim whose client has given up. */
    request->answered = true;
  if (held && !request->waiting)
    send_verdict (owner, request, CLAIM_VERDICT_WAIT, NULL);
  request->waiting = held;
}

/// Replies to all pending requests whose verdict the table determines.
static void
reply_to_pending (struct claim_owner *owner)
{
  for (uint32_t i = 0; i < owner->request_count; i++)
    {
      struct claim_request *request = owner->requests[i];
      if (request->answered || request->batched)
        continue;
      if (is_claim (request))
        reply_to_claim (owner, request);
      else if (is_stored (
                   claim_table_find (&owner->log.table, &request->record.key),
                   &request->record))
        send_verdict (owner, request, CLAIM_VERDICT_STORED, NULL);
    }
  remove_answered (owner);
}

static void
log_appended (void *arg, bool committed)
{
  struct claim_owner *owner = arg;
  for (uint32_t i = 0; i < owner->request_count; i++)
    {
      struct claim_request *request = owner->requests[i];
      if (!request->batched)
        continue;
      request->batched = false;
      if (committed && !is_claim (request))
        send_verdict (owner, request, CLAIM_VERDICT_STORED, NULL);
    }
  if (owner->log.state == CLAIM_LOG_READY)
    reply_to_pending (owner);
  owner->commit_ms = 0;
}

static void
log_changed (void *arg)
{
  reply_to_pending (arg);
}

static void
log_get (void *arg, const char *key, uint64_t token)
{
  struct claim_owner *owner = arg;
  owner->ops->get (owner->arg, key, token);
}

static void
log_list (void *arg, const char *prefix, uint64_t token)
{
  struct claim_owner *owner = arg;
  owner->ops->list (owner->arg, prefix, token);
}

static void
log_put (void *arg, const char *key, uint64_t expected, const uint8_t *bytes,
         size_t size, uint64_t token)
{
  struct claim_owner *owner = arg;
  owner->ops->put (owner->arg, key, expected, bytes, size, token);
}

static void
log_remove (void *arg, const char *key, uint64_t expected, uint64_t token)
{
  struct claim_owner *owner = arg;
  owner->ops->remove (owner->arg, key, expected, token);
}

static const struct claim_log_ops log_ops = {
  .get = log_get,
  .list = log_list,
  .put = log_put,
  .remove = log_remove,
  .appended = log_appended,
  .changed = log_changed,
};

static struct claim_request *
find_request (struct claim_owner *owner, const struct claim_record *record)
{
  for (uint32_t i = 0; i < owner->request_count; i++)
    {
      struct claim_request *request = owner->requests[i];
      if (request->record.nonce == record->nonce
          && request->record.kind == record->kind
          && hash_equal (&request->record.key, &record->key))
        return request;
    }
  return NULL;
}

static struct claim_request *
add_request (struct claim_owner *owner, const struct claim_record *record)
{
  bool report = record->kind != CLAIM_RECORD_CLAIM;
  if (owner->request_count == CLAIM_OWNER_REQUESTS
      || (report && owner->report_count == CLAIM_OWNER_REPORTS))
    {
      counter_add (&overflows, 1);
      return NULL;
    }
  struct claim_request *request
      = talloc_zero (owner->arena, struct claim_request);
  if (request == NULL)
    return NULL;
  request->record = *record;
  if (record->body_size > 0)
    request->record.body
        = talloc_memdup (request, record->body, record->body_size);
  owner->requests[owner->request_count++] = request;
  owner->report_count += report;
  return request;
}

/// Checks the creation time of a key. The lower bound allows for one clock
/// difference; the upper one for two, because clients accept keys up to
/// CLAIM_CLOCK_SKEW_S in the future by their own clock.
/// @return true when owners may accept the key
static bool
key_in_window (const struct claim_owner *owner,
               const struct claim_record *record, uint64_t wall_ms)
{
  uint64_t now_s = wall_ms / 1000;
  return (uint64_t)record->created_s + owner->window_s + CLAIM_CLOCK_SKEW_S
             >= now_s
         && record->created_s <= now_s + 2 * CLAIM_CLOCK_SKEW_S;
}

/// @return true when a pending request is to be written to the log
static bool
needs_record (const struct claim_owner *owner,
              const struct claim_request *request)
{
  if (!is_claim (request))
    return true;
  return !request->waiting && !claim_table_full (&owner->log.table);
}

/// Drops claims whose deadline has passed, and those whose key has left the
/// window in the meantime.
static void
drop_expired (struct claim_owner *owner, uint64_t now_ms, uint64_t wall_ms)
{
  for (uint32_t i = 0; i < owner->request_count; i++)
    {
      struct claim_request *request = owner->requests[i];
      if (request->batched || !is_claim (request))
        continue;
      if (now_ms >= request->deadline_ms
          || !key_in_window (owner, &request->record, wall_ms))
        request->answered = true;
    }
  remove_answered (owner);
}

/// Writes the next batch of pending records as one segment.
static void
commit (struct claim_owner *owner, uint64_t now_ms)
{
  struct claim_record records[CLAIM_SEGMENT_RECORDS];
  size_t count = 0;
  for (uint32_t i = 0;
       i < owner->request_count && count < CLAIM_SEGMENT_RECORDS; i++)
    {
      struct claim_request *request = owner->requests[i];
      if (!needs_record (owner, request))
        continue;
      request->batched = true;
      records[count++] = request->record;
    }
  owner->commit_ms = 0;
  if (count > 0)
    claim_log_append (&owner->log, records, count, now_ms);
}

/// @param waiting  set to true when a claim waits for another attempt, else
///                 left as it is
/// @return true when any pending request is to be written to the log
static bool
find_records (const struct claim_owner *owner, bool *waiting)
{
  bool found = false;
  for (uint32_t i = 0; i < owner->request_count; i++)
    {
      found |= needs_record (owner, owner->requests[i]);
      *waiting |= owner->requests[i]->waiting;
    }
  return found;
}

void
claim_owner_init (struct claim_owner *owner, const struct claim_owner_ops *ops,
                  void *arg, const struct claim_codec *codec, struct rng *rng,
                  uint32_t partition, uint32_t window_s)
{
  *owner = (struct claim_owner){
    .ops = ops, .arg = arg, .window_s = window_s, .arena = talloc_new (NULL)
  };
  owner->requests = talloc_array (owner->arena, struct claim_request *,
                                  CLAIM_OWNER_REQUESTS);
  if (owner->requests == NULL)
    abort ();
  claim_log_init (&owner->log, &log_ops, owner, codec, rng, partition,
                  window_s + CLAIM_KEEP_EXTRA_S, TABLE_CLAIMS_MAX,
                  TABLE_BODY_BYTES_MAX);
}

void
claim_owner_finish (struct claim_owner *owner)
{
  claim_log_finish (&owner->log);
  talloc_free (owner->arena);
  owner->arena = NULL;
}

void
claim_owner_claim (struct claim_owner *owner, uint64_t from_slot, uint64_t seq,
                   const struct claim_record *record, uint32_t deadline_ms,
                   uint64_t now_ms, uint64_t wall_ms)
{
  owner->last_request_ms = now_ms;
  if (!key_in_window (owner, record, wall_ms))
    {
      counter_add (&refused, 1);
      owner->ops->reply (owner->arg, from_slot, seq, CLAIM_VERDICT_KEY_REFUSED,
                         NULL);
      return;
    }
  claim_log_open (&owner->log, now_ms);
  struct claim_request *request = find_request (owner, record);
  if (request == NULL)
    request = add_request (owner, record);
  if (request == NULL)
    return;
  request->from_slot = from_slot;
  request->seq = seq;
  request->deadline_ms = now_ms + deadline_ms;
  request->waiting = false;
  if (owner->log.state != CLAIM_LOG_READY || request->batched)
    return;
  reply_to_claim (owner, request);
  remove_answered (owner);
}

void
claim_owner_report (struct claim_owner *owner, uint64_t from_slot,
                    uint64_t seq, const struct claim_record *record,
                    uint64_t now_ms)
{
  owner->last_request_ms = now_ms;
  claim_log_open (&owner->log, now_ms);
  struct claim_request *request = find_request (owner, record);
  if (request == NULL)
    request = add_request (owner, record);
  if (request == NULL)
    return;
  request->from_slot = from_slot;
  request->seq = seq;
  request->deadline_ms = UINT64_MAX;
  struct claim_record claim = *record;
  claim.kind = CLAIM_RECORD_CLAIM;
  struct claim_request *pending_claim = find_request (owner, &claim);
  /* The client reports the end of the attempt, so its claim needs no reply. */
  if (pending_claim != NULL && !pending_claim->batched)
    pending_claim->answered = true;
  remove_answered (owner);
  if (owner->log.state != CLAIM_LOG_READY || request->batched)
    return;
  if (is_stored (claim_table_find (&owner->log.table, &record->key), record))
    send_verdict (owner, request, CLAIM_VERDICT_STORED, NULL);
  remove_answered (owner);
}

void
claim_owner_completed (struct claim_owner *owner, uint64_t token,
                       const struct store_reply *reply, uint64_t now_ms,
                       uint64_t wall_ms)
{
  claim_log_completed (&owner->log, token, reply, now_ms, wall_ms);
}

void
claim_owner_tick (struct claim_owner *owner, uint64_t now_ms, uint64_t wall_ms)
{
  claim_log_tick (&owner->log, now_ms, wall_ms);
  drop_expired (owner, now_ms, wall_ms);
  bool waiting = false;
  bool records = find_records (owner, &waiting);
  if (records && owner->log.append_bytes == NULL)
    {
      if (owner->commit_ms == 0)
        owner->commit_ms = now_ms + CLAIM_COMMIT_MS;
      if (now_ms >= owner->commit_ms
          && claim_log_can_append (&owner->log, now_ms))
        commit (owner, now_ms);
    }
  if (waiting && now_ms >= owner->refresh_ms)
    {
      owner->refresh_ms = now_ms + CLAIM_OWNER_REFRESH_MS;
      claim_log_refresh (&owner->log, now_ms);
    }
}

bool
claim_owner_active (const struct claim_owner *owner)
{
  return owner->log.state != CLAIM_LOG_CLOSED || owner->request_count > 0;
}

void
claim_owner_retire (struct claim_owner *owner)
{
  if (owner->request_count == 0 && owner->log.append_bytes == NULL
      && owner->log.state != CLAIM_LOG_CLOSED)
    claim_log_close (&owner->log);
}
