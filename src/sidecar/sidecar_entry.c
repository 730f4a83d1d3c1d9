/// Owns the requests of callers on this VM: finds the route, offers the
/// request to nodes, and passes the answer on.
#include "sidecar/sidecar_entry.h"

#include "base/clock.h"
#include "base/hash.h"
#include "base/histogram.h"
#include "base/log.h"
#include "protocol/call_headers.h"
#include "transport/timer.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

/// A connection to another node that was idle for longer is not used.
#define PEER_IDLE_MS_MAX 3000

/// What a caller is told when no node can be asked.
#define RETRY_AFTER_MS_DEFAULT 300

/// Least time in which another offer can succeed.
#define NEEDED_MS 20

static struct counter requests
    = COUNTER ("entry_requests", "requests of callers");
static struct counter answers
    = COUNTER ("entry_answers", "requests that a target answered");
static struct counter refusals
    = COUNTER ("entry_refusals", "requests answered as not run");
static struct counter failures
    = COUNTER ("entry_failures", "requests answered as failed or late");
static struct counter repeats
    = COUNTER ("entry_repeats", "offers after the first one of a request");
static struct counter abandoned
    = COUNTER ("entry_abandoned", "requests whose caller left");
static struct counter unrouted
    = COUNTER ("entry_unrouted", "requests without a route");

static struct histogram answer_times = HISTOGRAM (
    "entry_answer_ms", "time from a request's arrival to its whole answer");

static struct log_limit served_lines = { .per_second = 5 };
static struct log_limit ended_lines = { .per_second = 40 };
static struct log_limit repeat_lines = { .per_second = 40 };
static struct log_limit gone_lines = { .per_second = 5 };

static void offer (struct sidecar_entry *entry);

struct directory_record *
sidecar_entry_member (struct sidecar_entry *entry)
{
  return directory_get (&entry->sidecar->directory, entry->member,
                        entry->member_serial);
}

/// Counts the result of the current offer, once.
void
sidecar_entry_report (struct sidecar_entry *entry, enum place_result result)
{
  struct directory_record *record = sidecar_entry_member (entry);
  if (entry->reported || record == NULL)
    return;
  entry->reported = true;
  place_end (record, result, clock_monotonic_ms ());
}

static void
release (struct sidecar_entry *entry)
{
  event_del (&entry->timer);
  TAILQ_REMOVE (&entry->sidecar->entries, entry, link);
  if (entry->held != NULL)
    evbuffer_free (entry->held);
  free (entry);
}

static const char *
member_name (struct sidecar_entry *entry)
{
  struct directory_record *record = sidecar_entry_member (entry);
  return record == NULL ? "-" : record->entry.node;
}

static void
log_end (struct sidecar_entry *entry, struct log_limit *limit,
         enum log_level level, const char *event, unsigned status,
         const char *reason)
{
  uint64_t now = clock_monotonic_ms ();
  log_limited (limit, level, event,
               "id=%s route=%s service=%s config=%" PRIx64
               " status=%u reason=%s node=%s offers=%u runs=%u ms=%" PRIu64
               " left_ms=%" PRId64,
               entry->id, entry->route, entry->service, entry->config_version,
               status, reason, member_name (entry), entry->resend.offers,
               entry->resend.runs, now - entry->arrived_ms,
               (int64_t)entry->deadline_ms - (int64_t)now);
}

/// Answers in place of a target.
static void
answer_self (struct http_request *request, unsigned status,
             const char *outcome, const char *reason, uint64_t retry_after_ms)
{
  char fields[256];
  int size
      = snprintf (fields, sizeof fields,
                  "%s: %s\r\n%s: %s\r\nContent-Type: text/plain\r\n",
                  CALL_HEADER_OUTCOME, outcome, CALL_HEADER_REASON, reason);
  if (retry_after_ms > 0 && size > 0 && (size_t)size < sizeof fields)
    snprintf (fields + size, sizeof fields - (size_t)size,
              "Retry-After: %" PRIu64 ".%03u\r\n", retry_after_ms / 1000,
              (unsigned)(retry_after_ms % 1000));
  char text[96];
  size = snprintf (text, sizeof text, "%s: %s\n", outcome, reason);
  http_reply (request, status, fields, text, (size_t)size);
}

static void
end_not_run (struct sidecar_entry *entry)
{
  struct sidecar *sidecar = entry->sidecar;
  uint64_t retry_ms = entry->retry_after_ms;
  if (retry_ms == 0)
    retry_ms = RETRY_AFTER_MS_DEFAULT / 2
               + rng_below (&sidecar->rng, RETRY_AFTER_MS_DEFAULT);
  const char *reason
      = entry->refusal == NULL ? CALL_REASON_NO_TARGET : entry->refusal;
  counter_add (&refusals, 1);
  log_end (entry, &ended_lines, LOG_LEVEL_INFO, "request_not_run", 503,
           reason);
  answer_self (entry->request, 503, call_outcome_name (CALL_NOT_RUN), reason,
               retry_ms);
  release (entry);
}

void
sidecar_entry_end_failed (struct sidecar_entry *entry, unsigned status,
                          const char *reason)
{
  counter_add (&failures, 1);
  log_end (entry, &ended_lines, LOG_LEVEL_WARNING, "request_failed", status,
           reason);
  if (entry->passing)
    http_reply_abort (entry->request);
  else
    answer_self (entry->request, status, call_outcome_name (CALL_UNKNOWN),
                 reason, 0);
  release (entry);
}

static void
write_answer_head (struct sidecar_entry *entry, const struct http_head *head)
{
  static const char *const skip[]
      = { CALL_HEADER_OUTCOME, CALL_HEADER_REASON, CALL_HEADER_LOAD, NULL };
  struct evbuffer *fields = evbuffer_new ();
  http_write_fields (fields, head, skip);
  bool whole = head->has_length && !head->chunked;
  http_reply_start (entry->request, head->status, fields,
                    whole ? (int64_t)head->length : -1);
  evbuffer_free (fields);
}

/// Passes on what was held, and from now on each piece as it comes.
void
sidecar_entry_start_passing (struct sidecar_entry *entry)
{
  entry->passing = true;
  write_answer_head (entry, entry->answer);
  size_t size = entry->held == NULL ? 0 : evbuffer_get_length (entry->held);
  if (size > 0)
    {
      http_reply_piece (entry->request, evbuffer_pullup (entry->held, -1),
                        size);
      evbuffer_drain (entry->held, size);
    }
}

void
sidecar_entry_end_answered (struct sidecar_entry *entry)
{
  counter_add (&answers, 1);
  histogram_add (&answer_times,
                 clock_monotonic_us () - entry->request->received_us);
  if (entry->failure)
    log_end (entry, &ended_lines, LOG_LEVEL_INFO, "request_answered",
             entry->answer->status, "target-failure");
  else
    log_end (entry, &served_lines, LOG_LEVEL_INFO, "request_answered",
             entry->answer->status, "-");
  if (!entry->failure)
    sidecar_crash_succeeded (entry->sidecar, entry->request);
  if (!entry->passing)
    sidecar_entry_start_passing (entry);
  http_reply_finish (entry->request);
  release (entry);
}

/// Takes a repeated send from the budget. Where requests wait already, a
/// repeated one would only take the place of another.
static bool
take_budget (void *arg)
{
  struct sidecar_entry *entry = arg;
  struct directory_record *record = sidecar_entry_member (entry);
  if (entry->failure && record != NULL && record->load.waiting > 0)
    return false;
  return quota_take (&entry->sidecar->quotas, entry->service,
                     clock_monotonic_ms ());
}

/// Goes on after an offer that brought no good answer.
void
sidecar_entry_go_on (struct sidecar_entry *entry, enum resend_event event,
                     const char *reason)
{
  uint64_t now = clock_monotonic_ms ();
  uint64_t left_ms = entry->answer_by_ms > now ? entry->answer_by_ms - now : 0;
  enum resend_step step = resend_decide (&entry->resend, event, left_ms,
                                         NEEDED_MS, take_budget, entry);
  switch (step)
    {
    case RESEND_AGAIN:
      counter_add (&repeats, 1);
      log_limited (&repeat_lines, LOG_LEVEL_INFO, "request_offered_again",
                   "id=%s service=%s node=%s reason=%s offers=%u runs=%u "
                   "left_ms=%" PRIu64,
                   entry->id, entry->service, member_name (entry), reason,
                   entry->resend.offers, entry->resend.runs, left_ms);
      offer (entry);
      break;
    case RESEND_PASS:
      sidecar_entry_end_answered (entry);
      break;
    case RESEND_SAY_NOT_RUN:
      end_not_run (entry);
      break;
    case RESEND_SAY_UNKNOWN:
      sidecar_entry_end_failed (entry, 502, reason);
      break;
    case RESEND_SAY_LATE:
      sidecar_entry_end_failed (entry, 504, reason);
      break;
    }
}

/// Writes the request as the node beside the chosen target gets it.
static struct evbuffer *
build_request (struct sidecar_entry *entry,
               const struct directory_record *record, uint64_t now_ms)
{
  struct sidecar *sidecar = entry->sidecar;
  const struct adapter_headers *names = &sidecar->adapter->headers;
  const struct http_head *head = entry->request->head;
  const char *skip[] = { CALL_HEADER_HOP,
                         CALL_HEADER_OUTCOME,
                         CALL_HEADER_REASON,
                         names->deadline_ms,
                         names->caller_service,
                         names->instance_want,
                         "Expect",
                         NULL };
  struct hop hop = {
    .repeat = entry->resend.repeat,
    .rank = entry->rank,
    .kind = entry->kind,
    .objective_ms = entry->objective_ms > now_ms
                        ? (uint32_t)(entry->objective_ms - now_ms)
                        : 0,
    .repeated = entry->resend.runs > 0,
    .address = sidecar->settings.announced.address,
    .port = sidecar->settings.announced.port,
  };
  strcpy (hop.service, entry->service);
  strcpy (hop.version, record->entry.version);
  char hop_text[HOP_SIZE_MAX];
  hop_write (&hop, hop_text);
  struct evbuffer *bytes = evbuffer_new ();
  evbuffer_add_printf (bytes, "%s %s HTTP/1.1\r\n",
                       http_method_str (head->method), head->target);
  http_write_fields (bytes, head, skip);
  evbuffer_add_printf (bytes, "%s: %s\r\n%s: %" PRIu64 "\r\n%s: %s\r\n",
                       CALL_HEADER_HOP, hop_text, names->deadline_ms,
                       entry->answer_by_ms - now_ms, names->caller_service,
                       sidecar->settings.service);
  size_t size = evbuffer_get_length (entry->request->body);
  if (size > 0 || head->has_length || head->chunked)
    evbuffer_add_printf (bytes, "Content-Length: %zu\r\n", size);
  evbuffer_add (bytes, "\r\n", 2);
  if (size > 0)
    evbuffer_add (bytes, evbuffer_pullup (entry->request->body, -1), size);
  return bytes;
}

/// Forgets the answer of the offer before.
static void
reset_answer (struct sidecar_entry *entry)
{
  TALLOC_FREE (entry->answer);
  if (entry->held != NULL)
    evbuffer_drain (entry->held, evbuffer_get_length (entry->held));
  entry->not_run = false;
  entry->unusable = false;
  entry->failure = false;
  entry->reported = false;
}

/// @return handle of the node that is offered the request next, or SIZE_MAX
static size_t
choose_node (struct sidecar_entry *entry, uint64_t now_ms)
{
  struct sidecar *sidecar = entry->sidecar;
  struct place_request request = {
    .service = entry->service,
    .availability_zone = sidecar->settings.availability_zone,
    .large_answer = entry->resend.repeat == MESH_DOWNLOAD,
    .objective_ms = entry->objective_ms > now_ms
                        ? (uint32_t)(entry->objective_ms - now_ms)
                        : 1,
    .tried_count = entry->tried_count,
  };
  memcpy (request.tried, entry->tried, sizeof request.tried);
  sidecar_moves_choose (sidecar, entry->service, entry->kind,
                        entry->resend.offers > 0, &request.version);
  return place_choose (&sidecar->directory, &request, &sidecar->rng, now_ms);
}

/// Sends the request to the best node that has not had it.
static void
offer (struct sidecar_entry *entry)
{
  struct sidecar *sidecar = entry->sidecar;
  uint64_t now = clock_monotonic_ms ();
  size_t member
      = now < entry->answer_by_ms ? choose_node (entry, now) : SIZE_MAX;
  if (member == SIZE_MAX)
    {
      if (entry->failure)
        sidecar_entry_end_answered (entry);
      else if (resend_give_up (&entry->resend) == RESEND_SAY_NOT_RUN)
        end_not_run (entry);
      else
        sidecar_entry_end_failed (entry, 502, "no-other-target");
      return;
    }
  struct directory_record *record = &sidecar->directory.records[member];
  reset_answer (entry);
  entry->member = member;
  entry->member_serial = record->serial;
  if (entry->tried_count < PLACE_TRIED_MAX)
    entry->tried[entry->tried_count++] = member;
  entry->resend.offers++;
  entry->sent_us = clock_monotonic_us ();
  struct evbuffer *bytes = build_request (entry, record, now);
  struct http_send send = {
    .address = record->entry.address,
    .port = record->entry.port,
    .request = bytes,
    .max_idle_ms = PEER_IDLE_MS_MAX,
    .no_body = entry->request->head->method == HTTP_HEAD,
  };
  place_begin (record);
  entry->exchange = http_pool_send (&sidecar->peer_pool, &send,
                                    &sidecar_entry_exchange_ops, entry);
  evbuffer_free (bytes);
  if (entry->exchange != NULL)
    return;
  sidecar_entry_report (entry, PLACE_CANCELLED);
  entry->refusal = CALL_REASON_BUSY;
  end_not_run (entry);
}

/// The route's timeout or the caller's deadline has passed.
static void
on_timeout (evutil_socket_t fd, short what, void *arg)
{
  struct sidecar_entry *entry = arg;
  if (entry->exchange != NULL)
    http_exchange_cancel (entry->exchange);
  entry->exchange = NULL;
  sidecar_entry_report (entry, PLACE_CANCELLED);
  sidecar_entry_end_failed (entry, 504, CALL_REASON_TIMEOUT);
}

/// @return when a stopping node answers what has not begun to be answered
static uint64_t
stop_answer_ms (const struct sidecar *sidecar)
{
  uint32_t grace_ms = sidecar->settings.grace_ms;
  return sidecar->stopping_ms + grace_ms
         - grace_ms / SIDECAR_STOP_ANSWER_DIVISOR;
}

void
sidecar_entry_stopping (struct sidecar *sidecar)
{
  uint64_t by_ms = stop_answer_ms (sidecar);
  for (struct sidecar_entry *entry = TAILQ_FIRST (&sidecar->entries);
       entry != NULL; entry = TAILQ_NEXT (entry, link))
    {
      if (entry->passing || entry->answer_by_ms <= by_ms)
        continue;
      entry->answer_by_ms = by_ms;
      timer_start_at (&entry->timer, by_ms);
    }
}

static void
start (struct sidecar_entry *entry, struct mesh_route *route,
       uint32_t deadline_ms)
{
  struct sidecar *sidecar = entry->sidecar;
  strncpy (entry->route, route->name, sizeof entry->route - 1);
  strncpy (entry->service, mesh_route_choose (route), DIRECTORY_NAME_MAX);
  entry->config_version = sidecar->config->version;
  entry->resend.repeat = route->repeat;
  entry->resend.attempts_max = route->attempts_max;
  entry->rank = route->priority;
  entry->kind = (uint32_t)hash_place_string (route->name);
  if (deadline_ms > route->deadline_seen_ms)
    route->deadline_seen_ms = deadline_ms;
  uint32_t age_ms = route->deadline_seen_ms - deadline_ms;
  entry->objective_ms
      = entry->arrived_ms
        + (route->objective_ms > age_ms ? route->objective_ms - age_ms : 0);
  entry->deadline_ms = entry->arrived_ms + deadline_ms;
  entry->answer_by_ms = entry->deadline_ms;
  if (route->timeout_ms < deadline_ms)
    entry->answer_by_ms = entry->arrived_ms + route->timeout_ms;
  if (sidecar->stopping && entry->answer_by_ms > stop_answer_ms (sidecar))
    entry->answer_by_ms = stop_answer_ms (sidecar);
  timer_start_at (&entry->timer, entry->answer_by_ms);
  quota_count (&sidecar->quotas, entry->service, entry->arrived_ms);
  offer (entry);
}

static void
on_request (void *arg, struct http_request *request)
{
  struct sidecar *sidecar = arg;
  const struct adapter_headers *names = &sidecar->adapter->headers;
  const char *id = http_head_find (request->head, names->request_id);
  const char *host = http_head_find (request->head, "Host");
  counter_add (&requests, 1);
  bool leaving = sidecar->stopping
                 && clock_monotonic_ms ()
                        >= sidecar->stopping_ms + SIDECAR_STOP_SERVE_MS;
  if (sidecar->config == NULL || leaving)
    {
      log_limited (&ended_lines, LOG_LEVEL_INFO, "request_not_run",
                   "id=%s status=503 reason=%s", id == NULL ? "-" : id,
                   leaving ? "stopping" : "no-configuration");
      answer_self (request, 503, call_outcome_name (CALL_NOT_RUN),
                   CALL_REASON_NOT_READY, RETRY_AFTER_MS_DEFAULT);
      return;
    }
  struct mesh_route *route
      = host == NULL
            ? NULL
            : mesh_config_find (sidecar->config, host, request->head->target);
  if (route == NULL)
    {
      counter_add (&unrouted, 1);
      log_limited (&ended_lines, LOG_LEVEL_INFO, "request_unrouted",
                   "id=%s host=%.64s target=%.96s config=%" PRIx64
                   " config_age_ms=%" PRIu64 " status=404",
                   id == NULL ? "-" : id, host == NULL ? "-" : host,
                   request->head->target, sidecar->config->version,
                   clock_monotonic_ms () - sidecar->config_ms);
      answer_self (request, 404, call_outcome_name (CALL_NOT_RUN),
                   CALL_REASON_NO_ROUTE, 0);
      return;
    }
  if (sidecar_crash_is_refused (sidecar, request))
    {
      counter_add (&refusals, 1);
      log_limited (&ended_lines, LOG_LEVEL_WARNING, "request_not_run",
                   "id=%s route=%s status=503 reason=%s",
                   id == NULL ? "-" : id, route->name, CALL_REASON_SUSPECT);
      answer_self (request, 503, call_outcome_name (CALL_NOT_RUN),
                   CALL_REASON_SUSPECT, RETRY_AFTER_MS_DEFAULT);
      return;
    }
  uint32_t deadline_ms;
  struct sidecar_entry *entry = calloc (1, sizeof *entry);
  if (entry == NULL
      || call_deadline_parse (
             http_head_find (request->head, names->deadline_ms),
             route->timeout_ms, &deadline_ms)
             != STATUS_OK)
    {
      free (entry);
      answer_self (request, 400, call_outcome_name (CALL_NOT_RUN),
                   CALL_REASON_BAD_REQUEST, 0);
      return;
    }
  entry->sidecar = sidecar;
  entry->request = request;
  entry->id = id == NULL ? "-" : id;
  entry->arrived_ms = request->received_us / 1000;
  request->context = entry;
  evtimer_assign (&entry->timer, sidecar->base, on_timeout, entry);
  TAILQ_INSERT_TAIL (&sidecar->entries, entry, link);
  start (entry, route, deadline_ms);
}

static void
on_gone (void *arg, struct http_request *request)
{
  struct sidecar_entry *entry = request->context;
  if (entry == NULL)
    return;
  counter_add (&abandoned, 1);
  log_end (entry, &gone_lines, LOG_LEVEL_INFO, "caller_left", 0,
           "caller-closed");
  if (entry->exchange != NULL)
    http_exchange_cancel (entry->exchange);
  sidecar_entry_report (entry, PLACE_CANCELLED);
  release (entry);
}

static void
on_writable (void *arg, struct http_request *request)
{
  struct sidecar_entry *entry = request->context;
  if (entry != NULL && entry->exchange != NULL)
    http_exchange_resume (entry->exchange);
}

const struct http_server_ops sidecar_entry_ops
    = { .request = on_request, .gone = on_gone, .writable = on_writable };
