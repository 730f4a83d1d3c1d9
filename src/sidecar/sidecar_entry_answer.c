/// Owns no state; handles what a node answers to an offered request: passes
/// the target's answer on, or states why another offer is needed.
#include "sidecar/sidecar_entry.h"

#include "base/clock.h"
#include "protocol/call_headers.h"
#include "transport/timer.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

/// After the head of an answer was passed on, its rest may take this much
/// longer than the route's timeout. The platform allows half a second.
#define PASS_OVERTIME_MS 350

/// @return a static copy of a reason that a node sent
static const char *
known_reason (const char *text)
{
  static const char *const reasons[]
      = { CALL_REASON_NO_TARGET,     CALL_REASON_DRAINING,
          CALL_REASON_QUEUE_FULL,    CALL_REASON_DEADLINE,
          CALL_REASON_NOT_CONNECTED, CALL_REASON_SHED,
          CALL_REASON_BUSY,          CALL_REASON_CONNECTION_LOST };
  for (size_t i = 0; text != NULL && i < sizeof reasons / sizeof reasons[0];
       i++)
    if (strcmp (text, reasons[i]) == 0)
      return reasons[i];
  return "unstated";
}

static void
read_load (struct sidecar_entry *entry, const struct http_head *head)
{
  struct hop_load load;
  struct directory_record *record = sidecar_entry_member (entry);
  const char *text = http_head_find (head, CALL_HEADER_LOAD);
  if (record != NULL && text != NULL
      && hop_load_parse (text, &load) == STATUS_OK)
    place_report (record, load.running, load.waiting, load.service_us,
                  clock_monotonic_ms ());
}

/// An answer counts as the target's only with its proof, and a success only
/// with the body as the target made it.
static bool
is_genuine (const struct sidecar *sidecar, const struct http_head *head)
{
  if (head->status >= 300)
    return true;
  return http_head_find (head, sidecar->adapter->headers.proof) != NULL
         && http_head_find (head, "Content-Encoding") == NULL;
}

static void
on_answer_head (void *arg, struct http_head *head)
{
  struct sidecar_entry *entry = arg;
  enum call_outcome outcome;
  read_load (entry, head);
  if (call_outcome_parse (http_head_find (head, CALL_HEADER_OUTCOME), &outcome)
      != STATUS_OK)
    outcome = CALL_UNKNOWN;
  entry->answer = talloc_zero (entry->request->arena, struct http_head);
  *entry->answer = *head;
  for (size_t i = 0; i < head->field_count; i++)
    {
      entry->answer->fields[i].name
          = talloc_strdup (entry->answer, head->fields[i].name);
      entry->answer->fields[i].value
          = talloc_strdup (entry->answer, head->fields[i].value);
    }
  entry->not_run = outcome == CALL_NOT_RUN;
  entry->unusable
      = outcome == CALL_UNKNOWN
        || (outcome == CALL_RAN && !is_genuine (entry->sidecar, head));
  entry->failure = outcome == CALL_RAN && head->status >= 500;
  if (entry->not_run || entry->unusable || entry->failure)
    return;
  sidecar_entry_report (entry, PLACE_ANSWERED);
  bool small = head->has_length && head->length <= ENTRY_HELD_MAX;
  if (!small)
    sidecar_entry_start_passing (entry);
  if (entry->passing && entry->answer_by_ms < entry->deadline_ms)
    timer_start_at (&entry->timer, entry->answer_by_ms + PASS_OVERTIME_MS);
}

static void
on_answer_body (void *arg, const char *data, size_t size)
{
  struct sidecar_entry *entry = arg;
  if (entry->not_run || entry->unusable)
    return;
  if (!entry->passing)
    {
      if (entry->held == NULL)
        entry->held = evbuffer_new ();
      evbuffer_add (entry->held, data, size);
      return;
    }
  http_reply_piece (entry->request, data, size);
  if (http_request_backlog (entry->request) > SIDECAR_BACKLOG_MAX)
    http_exchange_pause (entry->exchange);
}

/// Handles a complete answer that says that the request has not run.
static void
on_not_run (struct sidecar_entry *entry)
{
  const char *reason
      = known_reason (http_head_find (entry->answer, CALL_HEADER_REASON));
  const char *after = http_head_find (entry->answer, "Retry-After");
  uint64_t after_ms = after == NULL ? 0 : (uint64_t)(atof (after) * 1000);
  if (after_ms > 0
      && (entry->retry_after_ms == 0 || after_ms < entry->retry_after_ms))
    entry->retry_after_ms = after_ms;
  entry->refusal = reason;
  enum place_result result = PLACE_NO_TARGET;
  enum resend_event event = RESEND_REFUSED;
  if (strcmp (reason, CALL_REASON_SHED) == 0)
    {
      result = PLACE_SHED;
      event = RESEND_SHED;
    }
  else if (strcmp (reason, CALL_REASON_DEADLINE) == 0
           || strcmp (reason, CALL_REASON_QUEUE_FULL) == 0)
    {
      result = PLACE_REFUSED;
      event = RESEND_LOADED;
    }
  sidecar_entry_report (entry, result);
  sidecar_entry_go_on (entry, event, reason);
}

static void
on_answer_end (void *arg, enum http_end end)
{
  struct sidecar_entry *entry = arg;
  entry->exchange = NULL;
  if (end == HTTP_END_NOT_CONNECTED)
    {
      sidecar_entry_report (entry, PLACE_LOST);
      entry->refusal = CALL_REASON_NOT_CONNECTED;
      sidecar_entry_go_on (entry, RESEND_NOT_SENT, CALL_REASON_NOT_CONNECTED);
    }
  else if (end != HTTP_END_COMPLETE && entry->passing)
    {
      sidecar_entry_report (entry, PLACE_LOST);
      sidecar_entry_end_failed (entry, 502, CALL_REASON_CONNECTION_LOST);
    }
  else if (end != HTTP_END_COMPLETE)
    {
      sidecar_entry_report (entry,
                            entry->answer == NULL ? PLACE_LOST : PLACE_FAILED);
      sidecar_entry_go_on (entry, RESEND_LOST, CALL_REASON_CONNECTION_LOST);
    }
  else if (entry->not_run)
    on_not_run (entry);
  else if (entry->unusable)
    {
      sidecar_entry_report (entry, PLACE_FAILED);
      sidecar_entry_go_on (
          entry, RESEND_LOST,
          known_reason (http_head_find (entry->answer, CALL_HEADER_REASON)));
    }
  else if (entry->failure)
    {
      sidecar_entry_report (entry, PLACE_FAILED);
      sidecar_entry_go_on (entry, RESEND_FAILED, "target-failure");
    }
  else
    sidecar_entry_end_answered (entry);
}

const struct http_exchange_ops sidecar_entry_exchange_ops
    = { .head = on_answer_head, .body = on_answer_body, .end = on_answer_end };
