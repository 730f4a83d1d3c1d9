/// Owns the requests at the own target, from admission to the answer's end.
/// The node is the only way to its target, so it alone enforces the slots, the
/// target's leaving, and that an address belongs to the service that is meant.
#include "sidecar/sidecar_run.h"

#include "base/clock.h"
#include "base/histogram.h"
#include "base/log.h"
#include "protocol/call_headers.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

/// Part of the drain time in which a leaving target still gets requests, one
/// quarter: the rest lets accepted ones end before the target does.
#define DRAIN_ACCEPT_DIVISOR 4

/// Longest and shortest time that a refused caller is told to stay away.
#define RETRY_AFTER_MS_MIN 100
#define RETRY_AFTER_MS_MAX 2000

/// A target's connection that was idle for longer is not used: the target may
/// be about to close it.
#define TARGET_IDLE_MS_MAX 4000

/// Deadline of a request that states none.
#define DEADLINE_MS_DEFAULT 30000

static struct counter accepted
    = COUNTER ("run_accepted", "requests passed to the own target");
static struct counter refused = COUNTER (
    "run_refused", "requests refused before the own target saw them");
static struct counter shed
    = COUNTER ("run_shed", "requests that the own target refused");
static struct counter lost = COUNTER (
    "run_lost", "requests whose connection to the own target was lost");

static struct histogram waits
    = HISTOGRAM ("run_wait_ms", "time of requests in the gate's queue");
static struct histogram service_times
    = HISTOGRAM ("run_target_ms",
                 "time of requests in the own target, to the answer's end");

static struct log_limit refusal_lines = { .per_second = 20 };
static struct log_limit failure_lines = { .per_second = 40 };

static void
write_node_fields (struct sidecar *sidecar, struct evbuffer *fields,
                   enum call_outcome outcome, const char *reason)
{
  const struct gate *gate = &sidecar->gate;
  struct hop_load load = { .running = (uint32_t)gate->running,
                           .waiting = (uint32_t)gate->queued,
                           .slots = (uint32_t)gate->slots,
                           .service_us = gate->mean_us };
  char text[HOP_LOAD_SIZE_MAX];
  hop_load_write (&load, text);
  evbuffer_add_printf (fields, "%s: %s\r\n%s: %s\r\n", CALL_HEADER_OUTCOME,
                       call_outcome_name (outcome), CALL_HEADER_LOAD, text);
  if (reason != NULL)
    evbuffer_add_printf (fields, "%s: %s\r\n", CALL_HEADER_REASON, reason);
}

/// Answers in place of the target.
static void
answer_self (struct sidecar *sidecar, struct http_request *request,
             unsigned status, enum call_outcome outcome, const char *reason,
             uint64_t retry_after_ms)
{
  struct evbuffer *fields = evbuffer_new ();
  write_node_fields (sidecar, fields, outcome, reason);
  if (retry_after_ms > 0)
    evbuffer_add_printf (fields, "Retry-After: %" PRIu64 ".%03u\r\n",
                         retry_after_ms / 1000,
                         (unsigned)(retry_after_ms % 1000));
  http_reply_start (request, status, fields, 0);
  http_reply_finish (request);
  evbuffer_free (fields);
}

/// @return how long a refused caller should stay away: until the backlog of
///         its rank is gone, spread so that callers do not return together
static uint64_t
retry_after_ms (struct sidecar *sidecar, const struct hop *hop)
{
  uint64_t wait_ms
      = gate_wait_us (&sidecar->gate, hop->kind, hop->rank) / 1000;
  if (wait_ms < RETRY_AFTER_MS_MIN)
    wait_ms = RETRY_AFTER_MS_MIN;
  if (wait_ms > RETRY_AFTER_MS_MAX)
    wait_ms = RETRY_AFTER_MS_MAX;
  return wait_ms / 2 + rng_below (&sidecar->rng, wait_ms + 1);
}

static void
refuse (struct sidecar *sidecar, struct http_request *request, const char *id,
        const struct hop *hop, const char *reason)
{
  counter_add (&refused, 1);
  log_limited (&refusal_lines, LOG_LEVEL_INFO, "request_refused",
               "id=%s service=%s rank=%u reason=%s running=%zu waiting=%zu "
               "slots=%zu",
               id, hop->service, hop->rank, reason, sidecar->gate.running,
               sidecar->gate.queued, sidecar->gate.slots);
  answer_self (sidecar, request, 503, CALL_NOT_RUN, reason,
               retry_after_ms (sidecar, hop));
}

static void
on_gate_refuse (void *arg, struct gate_ticket *ticket, enum admit_refusal why)
{
  struct sidecar *sidecar = arg;
  struct sidecar_run *run
      = (struct sidecar_run *)((char *)ticket
                               - offsetof (struct sidecar_run, ticket));
  refuse (sidecar, run->request, run->id, &run->hop,
          call_refusal_reason (why));
  free (run);
}

/// Ends a run and gives its slot to the next.
static void
finish (struct sidecar_run *run, bool served)
{
  struct sidecar *sidecar = run->sidecar;
  struct gate_ticket ticket = run->ticket;
  transfer_end (&sidecar->transfers, &run->transfer, clock_monotonic_ms ());
  free (run);
  gate_finish (&sidecar->gate, &ticket, served, clock_monotonic_us ());
}

static void
observe (struct sidecar_run *run, bool failed)
{
  sidecar_moves_observe (run->sidecar, run->hop.kind, failed,
                         (uint32_t)(clock_monotonic_us () - run->sent_us));
}

/// @return true when the target states that it has not run the request
static bool
says_not_run (const struct sidecar *sidecar, const struct http_head *head)
{
  return head->status == 421
         || http_head_find (head, sidecar->adapter->headers.not_run) != NULL;
}

static void
on_answer_head (void *arg, struct http_head *head)
{
  struct sidecar_run *run = arg;
  struct sidecar *sidecar = run->sidecar;
  bool not_run = says_not_run (sidecar, head);
  gate_note_head (&run->ticket, clock_monotonic_us ());
  sidecar->target.refusals = 0;
  if (not_run)
    {
      counter_add (&shed, 1);
      log_limited (&failure_lines, LOG_LEVEL_INFO, "target_refused_request",
                   "id=%s status=%u running=%zu slots=%zu", run->id,
                   head->status, sidecar->gate.running, sidecar->gate.slots);
    }
  else
    observe (run, head->status >= 500);
  struct evbuffer *fields = evbuffer_new ();
  http_write_fields (fields, head, NULL);
  write_node_fields (sidecar, fields, not_run ? CALL_NOT_RUN : CALL_RAN,
                     not_run ? CALL_REASON_SHED : NULL);
  bool whole = head->has_length && !head->chunked;
  http_reply_start (run->request, head->status, fields,
                    whole ? (int64_t)head->length : -1);
  evbuffer_free (fields);
  if (whole && gate_is_large (&sidecar->gate, head->length)
      && !transfer_begin (&sidecar->transfers, &run->transfer,
                          clock_monotonic_ms ()))
    http_exchange_pause (run->exchange);
}

static void
on_transfer_go (void *arg, struct transfer *transfer)
{
  struct sidecar_run *run
      = (struct sidecar_run *)((char *)transfer
                               - offsetof (struct sidecar_run, transfer));
  if (run->exchange != NULL)
    http_exchange_resume (run->exchange);
}

const struct transfer_ops sidecar_transfer_ops = { .go = on_transfer_go };

static void
on_answer_body (void *arg, const char *data, size_t size)
{
  struct sidecar_run *run = arg;
  gate_note_bytes (&run->ticket, size);
  http_reply_piece (run->request, data, size);
  if (http_request_backlog (run->request) > SIDECAR_BACKLOG_MAX)
    http_exchange_pause (run->exchange);
}

static void
on_answer_end (void *arg, enum http_end end)
{
  struct sidecar_run *run = arg;
  struct sidecar *sidecar = run->sidecar;
  struct http_request *request = run->request;
  run->exchange = NULL;
  if (end == HTTP_END_COMPLETE)
    {
      histogram_add (&service_times, clock_monotonic_us () - run->sent_us);
      http_reply_finish (request);
      finish (run, true);
      return;
    }
  log_limited (&failure_lines, LOG_LEVEL_WARNING, "target_exchange_failed",
               "id=%s end=%s answer_started=%d after_ms=%" PRIu64, run->id,
               end == HTTP_END_NOT_CONNECTED ? "not_connected"
               : end == HTTP_END_MALFORMED   ? "malformed"
                                             : "lost",
               request->answer_started,
               (clock_monotonic_us () - run->sent_us) / 1000);
  if (request->answer_started)
    http_reply_abort (request);
  else if (end == HTTP_END_NOT_CONNECTED)
    {
      answer_self (sidecar, request, 503, CALL_NOT_RUN,
                   CALL_REASON_NOT_CONNECTED, RETRY_AFTER_MS_MIN);
      sidecar_target_refused (sidecar);
    }
  else
    {
      counter_add (&lost, 1);
      if (end == HTTP_END_LOST)
        sidecar_crash_lost (sidecar, run->fingerprint);
      observe (run, true);
      answer_self (sidecar, request, 502, CALL_UNKNOWN,
                   CALL_REASON_CONNECTION_LOST, 0);
    }
  finish (run, false);
}

static const struct http_exchange_ops exchange_ops
    = { .head = on_answer_head, .body = on_answer_body, .end = on_answer_end };

/// Writes the request as the target gets it.
static struct evbuffer *
build_request (struct sidecar_run *run, uint64_t left_ms)
{
  struct sidecar *sidecar = run->sidecar;
  const struct adapter_headers *names = &sidecar->adapter->headers;
  const struct http_head *head = run->request->head;
  const char *skip[] = { CALL_HEADER_HOP, names->deadline_ms,
                         names->instance_want, "Expect", NULL };
  struct evbuffer *bytes = evbuffer_new ();
  evbuffer_add_printf (bytes, "%s %s HTTP/1.1\r\n",
                       http_method_str (head->method), head->target);
  http_write_fields (bytes, head, skip);
  evbuffer_add_printf (bytes, "%s: %" PRIu64 "\r\n%s: %s\r\n",
                       names->deadline_ms, left_ms, names->instance_want,
                       sidecar->target.report.instance);
  size_t size = evbuffer_get_length (run->request->body);
  if (size > 0 || head->has_length || head->chunked)
    evbuffer_add_printf (bytes, "Content-Length: %zu\r\n", size);
  evbuffer_add (bytes, "\r\n", 2);
  evbuffer_add_buffer (bytes, run->request->body);
  return bytes;
}

static void
on_gate_run (void *arg, struct gate_ticket *ticket)
{
  struct sidecar *sidecar = arg;
  struct sidecar_run *run
      = (struct sidecar_run *)((char *)ticket
                               - offsetof (struct sidecar_run, ticket));
  uint64_t now = clock_monotonic_ms ();
  uint64_t left_ms = run->deadline_ms > now ? run->deadline_ms - now : 1;
  struct evbuffer *bytes = build_request (run, left_ms);
  struct http_send send = {
    .address = sidecar->settings.target.address,
    .port = sidecar->settings.target.port,
    .request = bytes,
    .id = run->id,
    .max_idle_ms = TARGET_IDLE_MS_MAX,
    .no_body = run->request->head->method == HTTP_HEAD,
  };
  run->sent_us = clock_monotonic_us ();
  histogram_add (&waits, run->sent_us - run->arrived_ms * 1000);
  run->exchange
      = http_pool_send (&sidecar->target_pool, &send, &exchange_ops, run);
  evbuffer_free (bytes);
  counter_add (&accepted, 1);
  if (run->exchange != NULL)
    return;
  refuse (sidecar, run->request, run->id, &run->hop,
          CALL_REASON_NOT_CONNECTED);
  finish (run, false);
}

const struct gate_ops sidecar_gate_ops
    = { .run = on_gate_run, .refuse = on_gate_refuse };

/// @return true when the target announced its leaving so long ago that it gets
///         no request any more
static bool
has_left (const struct sidecar *sidecar, uint64_t now_ms)
{
  const struct sidecar_target *target = &sidecar->target;
  uint64_t accept_ms = sidecar->settings.drain_ms / DRAIN_ACCEPT_DIVISOR;
  return target->draining && now_ms >= target->draining_ms + accept_ms;
}

/// @return a reason why the own target must not get a request, or NULL
static const char *
target_obstacle (const struct sidecar *sidecar, const struct hop *hop,
                 uint64_t now_ms)
{
  const struct sidecar_target *target = &sidecar->target;
  if (!target->known || target->gone
      || strcmp (target->report.service, hop->service) != 0
      || strcmp (target->report.version, hop->version) != 0)
    return CALL_REASON_NO_TARGET;
  if (sidecar_moves_bars_target (sidecar))
    return CALL_REASON_NO_TARGET;
  if (has_left (sidecar, now_ms))
    return CALL_REASON_DRAINING;
  return NULL;
}

static bool
is_changes_question (const struct http_request *request)
{
  return strncmp (request->head->target, CALL_PATH_CHANGES,
                  strlen (CALL_PATH_CHANGES))
         == 0;
}

static void
on_request (void *arg, struct http_request *request)
{
  struct sidecar *sidecar = arg;
  const struct adapter_headers *names = &sidecar->adapter->headers;
  uint64_t now_us = request->received_us;
  const char *id = http_head_find (request->head, names->request_id);
  struct hop hop;
  if (strcmp (request->head->target, CALL_PATH_VIEW) == 0)
    {
      sidecar_store_answer (sidecar, request);
      return;
    }
  if (is_changes_question (request))
    {
      sidecar_relay_answer (sidecar, request);
      return;
    }
  if (strcmp (request->head->target, CALL_PATH_EVIDENCE) == 0)
    {
      sidecar_moves_answer (sidecar, request);
      return;
    }
  if (hop_parse (http_head_find (request->head, CALL_HEADER_HOP), &hop)
      != STATUS_OK)
    {
      log_limited (&failure_lines, LOG_LEVEL_WARNING, "hop_refused",
                   "id=%s reason=\"%s\"", id == NULL ? "-" : id,
                   status_message ());
      answer_self (sidecar, request, 503, CALL_NOT_RUN,
                   CALL_REASON_BAD_REQUEST, RETRY_AFTER_MS_MIN);
      return;
    }
  if (id == NULL)
    id = "";
  if (sidecar->config == NULL)
    sidecar_store_ask_peer (sidecar, hop.address, hop.port);
  const char *obstacle = target_obstacle (sidecar, &hop, now_us / 1000);
  struct sidecar_run *run = obstacle == NULL ? calloc (1, sizeof *run) : NULL;
  if (run == NULL)
    {
      refuse (sidecar, request, id, &hop,
              obstacle == NULL ? CALL_REASON_BUSY : obstacle);
      return;
    }
  uint32_t left_ms;
  if (call_deadline_parse (http_head_find (request->head, names->deadline_ms),
                           DEADLINE_MS_DEFAULT, &left_ms)
      != STATUS_OK)
    left_ms = DEADLINE_MS_DEFAULT;
  *run = (struct sidecar_run){ .sidecar = sidecar,
                               .request = request,
                               .hop = hop,
                               .id = id,
                               .arrived_ms = now_us / 1000,
                               .deadline_ms = now_us / 1000 + left_ms };
  const char *caller = http_head_find (request->head, names->caller_service);
  run->fingerprint = sidecar_crash_fingerprint (
      caller == NULL ? "" : caller, http_method_str (request->head->method),
      request->head->target, request->body);
  request->context = run;
  struct gate_work work = {
    .kind = hop.kind,
    .rank = hop.rank,
    .objective_ms = run->arrived_ms + hop.objective_ms,
    .deadline_ms = run->deadline_ms,
  };
  enum admit_refusal why;
  if (gate_offer (&sidecar->gate, &run->ticket, &work, now_us, &why)
      != STATUS_OK)
    {
      refuse (sidecar, request, id, &hop, call_refusal_reason (why));
      free (run);
      return;
    }
  if (run->ticket.state == ADMIT_RUNNING)
    on_gate_run (sidecar, &run->ticket);
}

/// The node that sent the request gave up: its caller has gone or its time is
/// over.
static void
on_gone (void *arg, struct http_request *request)
{
  struct sidecar_run *run = request->context;
  if (is_changes_question (request))
    sidecar_relay_gone (arg, request);
  if (run == NULL)
    return;
  struct sidecar *sidecar = run->sidecar;
  if (run->exchange != NULL)
    http_exchange_cancel (run->exchange);
  if (run->ticket.state == ADMIT_QUEUED)
    {
      gate_cancel (&sidecar->gate, &run->ticket);
      free (run);
      return;
    }
  finish (run, false);
}

static void
on_writable (void *arg, struct http_request *request)
{
  struct sidecar_run *run = request->context;
  if (run != NULL && run->exchange != NULL
      && run->transfer.state != TRANSFER_WAITING)
    http_exchange_resume (run->exchange);
}

const struct http_server_ops sidecar_run_ops
    = { .request = on_request, .gone = on_gone, .writable = on_writable };

void
sidecar_run_tick (struct sidecar *sidecar)
{
  uint64_t now_us = clock_monotonic_us ();
  uint64_t now_ms = now_us / 1000;
  bool draining
      = has_left (sidecar, now_ms)
        || (sidecar->stopping
            && now_ms >= sidecar->stopping_ms + SIDECAR_STOP_PEERS_MS);
  if (draining != sidecar->gate.draining)
    gate_set_draining (&sidecar->gate, draining);
  if (sidecar->gate.queued > 0)
    gate_expire (&sidecar->gate, now_us);
  transfer_tick (&sidecar->transfers, now_ms);
}
