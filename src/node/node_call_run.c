/// Owns the calls at the own target, from admission to the end of the answer.
#include "node/node_call_run.h"

#include "base/clock.h"
#include "base/log.h"

#include <assert.h>
#include <msgpack.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

static struct counter admitted
    = COUNTER ("calls_admitted", "calls passed to the own target");
static struct counter refused
    = COUNTER ("calls_refused_by_admission",
               "routed calls refused before the target saw them");
static struct counter hops_refused = COUNTER (
    "calls_hops_refused", "routed calls without a valid proof of routing");
static struct counter suspects_cleared
    = COUNTER ("calls_suspects_cleared", "crash suspects that succeeded");

static void
add_load (struct node_calls *calls, struct call_request *request)
{
  char text[32];
  snprintf (text, sizeof text, "%zu/%zu",
            calls->admit.running + calls->admit.queued, calls->admit.slots);
  struct evkeyvalq *headers = call_request_answer_headers (request);
  evhttp_add_header (headers, CALL_HEADER_LOAD, text);
  evhttp_add_header (headers, CALL_HEADER_VERSION, calls->own.version);
}

static void
refuse (struct node_calls *calls, struct call_request *request, int status,
        enum call_outcome outcome, const char *reason)
{
  add_load (calls, request);
  node_call_refuse (calls, request, status, outcome, reason);
}

/// Takes a run out of all tables and releases it.
static void
release (struct call_run *run, bool served)
{
  struct node_calls *calls = run->calls;
  if (run->previous != NULL)
    run->previous->next = run->next;
  else
    calls->runs = run->next;
  if (run->next != NULL)
    run->next->previous = run->previous;
  if (run->suspect)
    suspect_end (&calls->suspects, run->fingerprint);
  struct admit_ticket ticket = run->ticket;
  if (ticket.state == ADMIT_QUEUED)
    admit_cancel (&calls->admit, &run->ticket);
  talloc_free (run);
  /* Last, because it starts the next queued call. */
  if (ticket.state == ADMIT_RUNNING)
    admit_finish (&calls->admit, &ticket, served, clock_monotonic_ms ());
}

/// Answers a run that has no answer from the target.
static void
end_without_answer (struct call_run *run, int status,
                    enum call_outcome outcome, const char *reason)
{
  struct node_calls *calls = run->calls;
  struct call_request *request = run->request;
  release (run, false);
  if (request != NULL)
    refuse (calls, request, status, outcome, reason);
}

static void
broadcast_cleared (struct node_calls *calls, uint64_t fingerprint)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, 1);
  msgpack_pack_uint64 (&packer, fingerprint);
  node_mesh_broadcast (calls->node, 5, (const uint8_t *)buffer.data,
                       buffer.size);
  msgpack_sbuffer_destroy (&buffer);
}

static void
on_headers (void *arg, struct call_exchange *exchange, int status,
            const char *reason, struct evkeyvalq *headers)
{
  struct call_run *run = arg;
  run->state = RUN_ANSWER;
  enum call_outcome outcome = CALL_RAN;
  const char *stated = evhttp_find_header (headers, CALL_HEADER_OUTCOME);
  if (status == 503 && call_outcome_parse (stated, &outcome) == STATUS_OK
      && outcome == CALL_NOT_RUN)
    run->not_run = true;
  if (run->request == NULL)
    return;
  struct evkeyvalq *answer = call_request_answer_headers (run->request);
  node_call_copy_answer_headers (answer, headers);
  add_load (run->calls, run->request);
  if (call_exchange_is_fresh (exchange))
    evhttp_add_header (answer, CALL_HEADER_NEW_CONNECTION, "1");
  evhttp_add_header (
      answer, CALL_HEADER_OUTCOME,
      call_outcome_name (run->not_run ? CALL_NOT_RUN : CALL_RAN));
  if (run->not_run)
    evhttp_add_header (answer, CALL_HEADER_REASON, CALL_REASON_SHED);
  call_request_start (run->request, status, reason);
}

static void
on_data (void *arg, struct call_exchange *exchange, struct evbuffer *data)
{
  struct call_run *run = arg;
  if (run->request == NULL)
    return;
  call_request_write (run->request, data);
  if (call_request_buffered (run->request) > NODE_CALL_BUFFER_MAX)
    call_exchange_pause (exchange);
}

static void
complete (struct call_run *run)
{
  struct node_calls *calls = run->calls;
  if (!run->not_run && suspect_clear (&calls->suspects, run->fingerprint))
    {
      counter_add (&suspects_cleared, 1);
      broadcast_cleared (calls, run->fingerprint);
    }
  struct call_request *request = run->request;
  release (run, !run->not_run);
  if (request != NULL)
    call_request_end (request);
}

static void
on_done (void *arg, struct call_exchange *exchange, enum call_end_kind end)
{
  struct call_run *run = arg;
  struct node_calls *calls = run->calls;
  run->exchange = NULL;
  if (end == CALL_EXCHANGE_COMPLETE)
    {
      complete (run);
      return;
    }
  bool answering = run->state == RUN_ANSWER;
  struct call_request *request = run->request;
  if (answering && request != NULL)
    {
      run->request = NULL;
      call_request_abort (request);
    }
  switch (end)
    {
    case CALL_EXCHANGE_NOT_CONNECTED:
      end_without_answer (run, 503, CALL_NOT_RUN, CALL_REASON_NOT_CONNECTED);
      node_call_target_suspected (calls);
      return;
    case CALL_EXCHANGE_TIMED_OUT:
      end_without_answer (run, 504, CALL_UNKNOWN, CALL_REASON_TIMEOUT);
      return;
    case CALL_EXCHANGE_UNFRAMED:
      end_without_answer (run, 502, CALL_UNKNOWN, CALL_REASON_UNFRAMED);
      return;
    case CALL_EXCHANGE_COMPLETE:
    case CALL_EXCHANGE_LOST:
      break;
    }
  run->state = RUN_PROBED;
  node_call_target_suspected (calls);
}

static const struct call_exchange_ops exchange_ops
    = { .headers = on_headers, .data = on_data, .done = on_done };

/// Passes an admitted call to the target.
static void
start (struct call_run *run)
{
  struct node_calls *calls = run->calls;
  uint64_t now = clock_monotonic_ms ();
  uint32_t left
      = run->deadline_ms > now ? (uint32_t)(run->deadline_ms - now) : 0;
  counter_add (&admitted, 1);
  char deadline[16];
  struct evkeyvalq headers;
  memset (&headers, 0, sizeof headers);
  headers.tqh_last = &headers.tqh_first;
  snprintf (deadline, sizeof deadline, "%u", left);
  node_call_copy_headers (&headers, call_request_headers (run->request));
  evhttp_add_header (&headers, CALL_HEADER_DEADLINE, deadline);
  struct call_send send = {
    .address = INADDR_LOOPBACK,
    .port = calls->own.port,
    .method = call_request_method (run->request),
    .uri = call_request_uri (run->request),
    .headers = &headers,
    .body = call_request_body (run->request),
    .headers_ms = left,
    .max_idle_ms = run->keyed ? NODE_CALL_FRESH_MS : NODE_CALL_IDLE_MS,
  };
  run->state = RUN_SENT;
  run->exchange = call_client_send (&calls->target, &send, &exchange_ops, run);
  evhttp_clear_headers (&headers);
  if (run->exchange == NULL)
    end_without_answer (run, 503, CALL_NOT_RUN, CALL_REASON_NOT_CONNECTED);
}

static struct call_run *
run_of (struct admit_ticket *ticket)
{
  return (struct call_run *)((char *)ticket
                             - offsetof (struct call_run, ticket));
}

static void
on_admitted (void *arg, struct admit_ticket *ticket)
{
  start (run_of (ticket));
}

static void
on_refused (void *arg, struct admit_ticket *ticket, enum admit_refusal why)
{
  counter_add (&refused, 1);
  end_without_answer (run_of (ticket), 503, CALL_NOT_RUN,
                      call_refusal_reason (why));
}

const struct admit_ops node_call_run_admission
    = { .run = on_admitted, .refuse = on_refused };

uint64_t
node_call_runs_admitted (void)
{
  return admitted.value;
}

/// @return true when another node of the mesh routed this request here
static bool
check_hop (const struct node_calls *calls, const struct call_request *request,
           const char *text)
{
  struct call_hop hop = {
    .destination_slot = calls->node->slot_id,
    .method = call_request_method_name (request),
    .uri = call_request_uri (request),
    .key = call_request_header (request, CALL_HEADER_KEY),
  };
  uint32_t key_id;
  if (call_hop_key_id (text, &key_id) != STATUS_OK)
    return false;
  const struct settings *settings = &calls->node->settings;
  for (size_t i = 0; i < settings->key_count; i++)
    if (settings->keys[i].id == key_id
        && call_hop_check (text, &hop, key_id, settings->keys[i].bytes))
      return true;
  return false;
}

static struct call_run *
make_run (struct node_calls *calls, struct call_request *request)
{
  struct call_run *run = talloc_zero (NULL, struct call_run);
  if (run == NULL)
    return NULL;
  run->part.kind = CALL_KIND_RUN;
  run->calls = calls;
  run->request = request;
  run->next = calls->runs;
  if (run->next != NULL)
    run->next->previous = run;
  calls->runs = run;
  call_request_set_context (request, run);
  return run;
}

void
node_call_run_start (struct node_calls *calls, struct call_request *request,
                     const char *hop)
{
  uint64_t now = clock_monotonic_ms ();
  uint32_t left;
  if (!check_hop (calls, request, hop)
      || call_deadline_parse (
             call_request_header (request, CALL_HEADER_DEADLINE), 0, &left)
             != STATUS_OK)
    {
      counter_add (&hops_refused, 1);
      refuse (calls, request, 403, CALL_NOT_RUN, CALL_REASON_HOP);
      return;
    }
  const char *key = call_request_header (request, CALL_HEADER_KEY);
  struct evbuffer *body = call_request_body (request);
  uint64_t fingerprint = suspect_fingerprint (
      key, call_request_method_name (request), call_request_uri (request),
      evbuffer_pullup (body, -1), evbuffer_get_length (body));
  enum suspect_verdict verdict
      = suspect_check (&calls->suspects, fingerprint, now);
  if (verdict == SUSPECT_REFUSED)
    {
      refuse (calls, request, 503, CALL_NOT_RUN, CALL_REASON_SUSPECT);
      return;
    }
  if (verdict == SUSPECT_SINGLE
      && !suspect_begin (&calls->suspects, fingerprint))
    {
      refuse (calls, request, 503, CALL_NOT_RUN, CALL_REASON_SUSPECT_BUSY);
      return;
    }
  struct call_run *run = make_run (calls, request);
  if (run == NULL)
    {
      suspect_end (&calls->suspects, fingerprint);
      refuse (calls, request, 503, CALL_NOT_RUN, CALL_REASON_BUSY);
      return;
    }
  run->fingerprint = fingerprint;
  run->suspect = verdict == SUSPECT_SINGLE;
  run->keyed = key != NULL;
  run->deadline_ms = now + left;
  enum admit_refusal why;
  if (admit_offer (&calls->admit, &run->ticket, run->deadline_ms, now, &why)
      != STATUS_OK)
    {
      counter_add (&refused, 1);
      end_without_answer (run, 503, CALL_NOT_RUN, call_refusal_reason (why));
      return;
    }
  if (run->ticket.state == ADMIT_RUNNING)
    start (run);
  else
    node_call_arm_expiry (calls);
}

void
node_call_run_gone (struct call_run *run)
{
  run->request = NULL;
  if (run->state == RUN_PROBED)
    return;
  /* A request with a key goes on: cutting it off would not undo what it did,
     and its slot is only free once the target has finished. */
  if (run->keyed && run->exchange != NULL)
    {
      call_exchange_resume (run->exchange);
      return;
    }
  if (run->exchange != NULL)
    call_exchange_cancel (run->exchange);
  release (run, false);
}

void
node_call_run_writable (struct call_run *run)
{
  if (run->exchange != NULL)
    call_exchange_resume (run->exchange);
}

/// Answers one call whose connection was lost.
static void
end_probed (struct call_run *run, uint64_t crash)
{
  if (crash == 0)
    {
      node_call_remember_lost (run->calls, run->fingerprint);
      end_without_answer (run, 502, CALL_UNKNOWN, CALL_REASON_CONNECTION_LOST);
      return;
    }
  if (run->request != NULL)
    {
      char text[20];
      snprintf (text, sizeof text, "%016llx", (unsigned long long)crash);
      evhttp_add_header (call_request_answer_headers (run->request),
                         CALL_HEADER_CRASH, text);
    }
  end_without_answer (run, 502, CALL_UNKNOWN, CALL_REASON_CRASHED);
}

void
node_call_runs_probed (struct node_calls *calls, uint64_t crash)
{
  struct call_run *run = calls->runs;
  while (run != NULL)
    if (run->state == RUN_PROBED)
      {
        /* Ending one may start and end others: begin again. */
        end_probed (run, crash);
        run = calls->runs;
      }
    else
      run = run->next;
}

void
node_call_runs_drop (struct node_calls *calls)
{
  while (calls->runs != NULL)
    {
      struct call_run *run = calls->runs;
      calls->runs = run->next;
      talloc_free (run);
    }
}
