/// Owns no state; handles the response of a node to an attempt: forwards the
/// target's response, or reports why the request has to be retried.
#include "sidecar/sidecar_outbound.h"

#include "base/clock.h"
#include "protocol/call_headers.h"
#include "transport/timer.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

/// Longest Retry-After of a node that is believed, seconds.
#define RETRY_AFTER_S_MAX 60.0

static struct counter too_large
    = COUNTER ("entry_answers_too_large",
               "answers ended because they could not be held back");

/// @return the reason that a node sent as static text, "unstated" when unknown
static const char *
known_reason (const char *text)
{
  static const char *const reasons[]
      = { CALL_REASON_NO_TARGET,     CALL_REASON_DRAINING,
          CALL_REASON_QUEUE_FULL,    CALL_REASON_DEADLINE,
          CALL_REASON_NOT_CONNECTED, CALL_REASON_SHED,
          CALL_REASON_BUSY,          CALL_REASON_CONNECTION_LOST,
          CALL_REASON_EVACUATED,     CALL_REASON_COLD };
  for (size_t i = 0; text != NULL && i < sizeof reasons / sizeof reasons[0];
       i++)
    if (strcmp (text, reasons[i]) == 0)
      return reasons[i];
  return "unstated";
}

static void
read_load (struct sidecar_outbound *outbound, const struct http_head *head)
{
  struct hop_load load;
  struct directory_record *record = sidecar_outbound_node (outbound);
  const char *text = http_head_find (head, CALL_HEADER_LOAD);
  if (record == NULL || text == NULL
      || hop_load_parse (text, &load) != STATUS_OK)
    return;
  placement_report (record, load.running, load.waiting, load.service_us,
                    clock_monotonic_ms ());
  if (load.speed_percent > 0)
    placement_report_speed (record, load.speed_percent,
                            load.link_free_kbytes_per_s);
}

/// @return false for a response below 300 that lacks the target's proof header
///         or has a Content-Encoding, since its body is then not as the target
///         made it; other responses are accepted without proof
static bool
is_genuine (const struct sidecar *sidecar, const struct http_head *head)
{
  if (head->status >= 300)
    return true;
  return http_head_find (head, sidecar->adapter->headers.response_proof)
             != NULL
         && http_head_find (head, "Content-Encoding") == NULL;
}

static void on_response_end (void *arg, enum http_end end);

/// Ends an attempt whose response is not passed on without waiting for the
/// rest of it.
static void
stop_reading (struct sidecar_outbound *outbound)
{
  http_exchange_cancel (outbound->exchange);
  on_response_end (outbound, HTTP_END_COMPLETE);
}

/// Lets later requests of a route wait behind responses of this size, instead
/// of holding the responses back.
static void
note_size (struct sidecar_outbound *outbound, uint64_t size)
{
  const struct sidecar *sidecar = outbound->sidecar;
  const struct http_head *head = outbound->request->head;
  const char *host = http_head_find (head, "Host");
  if (size < OUTBOUND_LARGE_RESPONSE_BYTES || outbound->request->blocks_next
      || host == NULL)
    return;
  http_request_block_next (outbound->request);
  struct mesh_route *route
      = mesh_config_find (sidecar->config, host, head->target);
  if (route != NULL)
    route->large_responses = true;
}

/// Tells whether a response has to be held back until it is complete and there
/// is no memory for it. Sending a part of it would put the responses behind it
/// at risk.
/// @param size  bytes that have not arrived yet, as far as known
static bool
is_too_large_to_hold (const struct sidecar_outbound *outbound, uint64_t size)
{
  const struct sidecar *sidecar = outbound->sidecar;
  uint64_t most
      = sidecar->settings.memory_mb * 1024ull * 1024 / OUTBOUND_HELD_DIVISOR;
  return http_request_is_held (outbound->request)
         && size + http_server_held (&sidecar->calls) > most;
}

/// Ends a request whose response cannot be held back; the others of its
/// connection keep theirs.
static void
end_too_large (struct sidecar_outbound *outbound)
{
  counter_add (&too_large, 1);
  http_exchange_cancel (outbound->exchange);
  outbound->exchange = NULL;
  sidecar_outbound_report_result (outbound, outbound->target_failed
                                                ? PLACEMENT_FAILED
                                                : PLACEMENT_ANSWERED);
  sidecar_outbound_end_failed (outbound, 502, "response-too-large");
}

static void
on_response_head (void *arg, struct http_head *head)
{
  struct sidecar_outbound *outbound = arg;
  enum call_outcome outcome;
  read_load (outbound, head);
  if (call_outcome_parse (http_head_find (head, CALL_HEADER_OUTCOME), &outcome)
      != STATUS_OK)
    outcome = CALL_UNKNOWN;
  outbound->response = http_head_copy (outbound->request->arena, head);
  if (outbound->response == NULL)
    {
      outbound->not_run = outbound->target_failed = false;
      outbound->unusable = true;
      stop_reading (outbound);
      return;
    }
  outbound->request->handler_bytes += http_head_memory (head);
  outbound->discarded = 0;
  outbound->not_run = outcome == CALL_NOT_RUN;
  outbound->unusable
      = outcome == CALL_UNKNOWN
        || (outcome == CALL_RAN && !is_genuine (outbound->sidecar, head));
  outbound->target_failed = outcome == CALL_RAN && head->status >= 500;
  if (outbound->unusable)
    {
      stop_reading (outbound);
      return;
    }
  if (outbound->not_run || outbound->target_failed)
    return;
  sidecar_outbound_report_result (outbound, PLACEMENT_ANSWERED);
  uint64_t length
      = outbound->request->head->method == HTTP_HEAD ? 0 : head->length;
  note_size (outbound, length);
  if (length > SIDECAR_BACKLOG_BYTES_MAX
      && is_too_large_to_hold (outbound, length))
    {
      end_too_large (outbound);
      return;
    }
  bool small = head->has_length && head->length <= OUTBOUND_BUFFER_BYTES_MAX;
  if (!small)
    sidecar_outbound_start_forwarding (outbound);
  bool may_overrun = !outbound->sidecar->stopping
                     || http_reply_is_begun (outbound->request);
  if (outbound->forwarding && may_overrun)
    timer_start_at (&outbound->timer, outbound->body_by_ms);
}

static void
on_response_body (void *arg, const char *data, size_t size)
{
  struct sidecar_outbound *outbound = arg;
  if (outbound->not_run)
    {
      outbound->discarded += size;
      if (outbound->discarded > OUTBOUND_DISCARD_BYTES_MAX)
        stop_reading (outbound);
      return;
    }
  if (!outbound->forwarding)
    {
      if (outbound->buffered == NULL)
        outbound->buffered = evbuffer_new ();
      if (evbuffer_get_length (outbound->buffered) + size
          <= OUTBOUND_BUFFER_BYTES_MAX)
        {
          evbuffer_add (outbound->buffered, data, size);
          return;
        }
      sidecar_outbound_start_forwarding (outbound);
    }
  http_reply_write (outbound->request, data, size);
  outbound->forwarded += size;
  note_size (outbound, outbound->forwarded);
  if (http_request_backlog (outbound->request) <= SIDECAR_BACKLOG_BYTES_MAX)
    return;
  if (is_too_large_to_hold (outbound, 0))
    {
      end_too_large (outbound);
      return;
    }
  if (http_request_is_held (outbound->request))
    return;
  http_reply_release (outbound->request);
  if (http_request_backlog (outbound->request) > SIDECAR_BACKLOG_BYTES_MAX)
    http_exchange_pause (outbound->exchange);
}

/// @return Retry-After in milliseconds; 0 when it is missing or out of range
static uint64_t
read_retry_after_ms (const char *text)
{
  double seconds = text == NULL ? 0 : strtod (text, NULL);
  return seconds > 0 && seconds <= RETRY_AFTER_S_MAX
             ? (uint64_t)(seconds * 1000)
             : 0;
}

/// Handles a complete response that says that the request was not executed.
static void
on_not_run (struct sidecar_outbound *outbound)
{
  const char *reason
      = known_reason (http_head_find (outbound->response, CALL_HEADER_REASON));
  const char *retry_after = http_head_find (outbound->response, "Retry-After");
  uint64_t retry_after_ms = read_retry_after_ms (retry_after);
  if (retry_after_ms > 0
      && (outbound->retry_after_ms == 0
          || retry_after_ms < outbound->retry_after_ms))
    outbound->retry_after_ms = retry_after_ms;
  outbound->not_run_reason = reason;
  enum placement_result result = PLACEMENT_NO_TARGET;
  enum resend_event event = RESEND_REFUSED;
  if (strcmp (reason, CALL_REASON_SHED) == 0)
    {
      result = PLACEMENT_SHED;
      event = RESEND_SHED;
    }
  else if (strcmp (reason, CALL_REASON_DEADLINE) == 0
           || strcmp (reason, CALL_REASON_QUEUE_FULL) == 0)
    {
      result = PLACEMENT_REFUSED;
      event = RESEND_OVERLOADED;
    }
  sidecar_outbound_report_result (outbound, result);
  sidecar_outbound_retry_or_end (outbound, event, reason);
}

static void
on_response_end (void *arg, enum http_end end)
{
  struct sidecar_outbound *outbound = arg;
  if (outbound->answered)
    {
      sidecar_outbound_end_upload (outbound);
      return;
    }
  outbound->exchange = NULL;
  if (end == HTTP_END_NOT_CONNECTED)
    {
      sidecar_outbound_report_result (outbound, PLACEMENT_LOST);
      outbound->not_run_reason = CALL_REASON_NOT_CONNECTED;
      sidecar_outbound_retry_or_end (outbound, RESEND_NOT_SENT,
                                     CALL_REASON_NOT_CONNECTED);
    }
  else if (end != HTTP_END_COMPLETE && outbound->forwarding
           && !sidecar_outbound_take_back (outbound))
    {
      sidecar_outbound_report_result (outbound, PLACEMENT_LOST);
      sidecar_outbound_end_failed (outbound, 502, CALL_REASON_CONNECTION_LOST);
    }
  else if (end != HTTP_END_COMPLETE)
    {
      sidecar_outbound_report_result (outbound, outbound->response == NULL
                                                    ? PLACEMENT_LOST
                                                    : PLACEMENT_FAILED);
      sidecar_outbound_retry_or_end (outbound, RESEND_LOST,
                                     CALL_REASON_CONNECTION_LOST);
    }
  else if (outbound->not_run)
    on_not_run (outbound);
  else if (outbound->unusable)
    {
      sidecar_outbound_report_result (outbound, PLACEMENT_FAILED);
      sidecar_outbound_retry_or_end (
          outbound, RESEND_LOST,
          outbound->response == NULL
              ? "unstated"
              : known_reason (
                  http_head_find (outbound->response, CALL_HEADER_REASON)));
    }
  else if (outbound->target_failed && !outbound->forwarding)
    {
      sidecar_outbound_report_result (outbound, PLACEMENT_FAILED);
      sidecar_outbound_retry_or_end (outbound, RESEND_FAILED,
                                     "target-failure");
    }
  else
    {
      if (outbound->target_failed)
        sidecar_outbound_report_result (outbound, PLACEMENT_FAILED);
      sidecar_outbound_end_answered (outbound);
    }
}

/// The response is complete before the streamed body was sent to its end.
static void
on_answered (void *arg)
{
  struct sidecar_outbound *outbound = arg;
  if (outbound->not_run || !outbound->retry.continued)
    {
      stop_reading (outbound);
      return;
    }
  if (outbound->target_failed)
    sidecar_outbound_report_result (outbound, PLACEMENT_FAILED);
  sidecar_outbound_end_answered (outbound);
}

const struct http_exchange_ops sidecar_outbound_exchange_ops
    = { .head = on_response_head,
        .body = on_response_body,
        .end = on_response_end,
        .proceed = sidecar_outbound_proceed,
        .sent = sidecar_outbound_forward,
        .answered = on_answered };
