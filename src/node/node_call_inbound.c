/// Carries out calls at the own target, from admission to the end of the
/// response.
#include "node/node_call_inbound.h"

#include "base/clock.h"
#include "base/log.h"

#include <assert.h>
#include <msgpack.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

static struct counter calls_admitted
    = COUNTER ("calls_admitted", "calls passed to the own target");
static struct counter calls_refused
    = COUNTER ("calls_refused_by_admission",
               "routed calls refused before the target saw them");
static struct counter hops_refused = COUNTER (
    "calls_hops_refused", "routed calls without a valid proof of routing");
static struct counter suspects_cleared
    = COUNTER ("calls_suspects_cleared", "crash suspects that succeeded");

static void
add_load_headers (struct node_calls *calls, struct call_request *request)
{
  char text[32];
  snprintf (text, sizeof text, "%zu/%zu",
            calls->admit.running + calls->admit.queued, calls->admit.slots);
  struct evkeyvalq *headers = call_request_response_headers (request);
  evhttp_add_header (headers, CALL_HEADER_LOAD, text);
  evhttp_add_header (headers, CALL_HEADER_VERSION, calls->own_target.version);
}

static void
refuse (struct node_calls *calls, struct call_request *request, int status,
        enum call_outcome outcome, const char *reason)
{
  add_load_headers (calls, request);
  node_call_refuse (calls, request, status, outcome, reason);
}

/// Removes a call from all lists and frees it.
/// @param served  the target completed it; its time counts as service time
static void
release (struct inbound_call *call, bool served)
{
  struct node_calls *calls = call->calls;
  if (call->previous != NULL)
    call->previous->next = call->next;
  else
    calls->inbound = call->next;
  if (call->next != NULL)
    call->next->previous = call->previous;
  if (call->suspect)
    suspect_end (&calls->suspects, call->fingerprint);
  struct admit_ticket ticket = call->ticket;
  if (ticket.state == ADMIT_QUEUED)
    admit_cancel (&calls->admit, &call->ticket);
  talloc_free (call);
  /* Must be last, because it starts the next queued call. */
  if (ticket.state == ADMIT_RUNNING)
    admit_finish (&calls->admit, &ticket, served, clock_monotonic_ms ());
}

/// Responds to a call that got no response of the target, and frees it.
static void
end_without_response (struct inbound_call *call, int status,
                      enum call_outcome outcome, const char *reason)
{
  struct node_calls *calls = call->calls;
  struct call_request *request = call->request;
  release (call, false);
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
  struct inbound_call *call = arg;
  call->state = INBOUND_RESPONDING;
  enum call_outcome outcome = CALL_RAN;
  const char *stated = evhttp_find_header (headers, CALL_HEADER_OUTCOME);
  if (status == 503 && call_outcome_parse (stated, &outcome) == STATUS_OK
      && outcome == CALL_NOT_RUN)
    {
      call->not_run = true;
      /* The target could write the refusal once more, and it would pass for
         that of the next request. */
      call_exchange_close_after (exchange);
    }
  if (call->request == NULL)
    return;
  struct evkeyvalq *response_headers
      = call_request_response_headers (call->request);
  node_call_copy_response_headers (response_headers, headers);
  add_load_headers (call->calls, call->request);
  if (call_exchange_uses_new_connection (exchange))
    evhttp_add_header (response_headers, CALL_HEADER_NEW_CONNECTION, "1");
  evhttp_add_header (
      response_headers, CALL_HEADER_OUTCOME,
      call_outcome_name (call->not_run ? CALL_NOT_RUN : CALL_RAN));
  if (call->not_run)
    evhttp_add_header (response_headers, CALL_HEADER_REASON, CALL_REASON_SHED);
  call_request_start (call->request, status, reason);
}

static void
on_data (void *arg, struct call_exchange *exchange, struct evbuffer *data)
{
  struct inbound_call *call = arg;
  if (call->request == NULL)
    return;
  call_request_write (call->request, data);
  if (call_request_buffered (call->request) > NODE_CALL_BUFFER_BYTES_MAX)
    call_exchange_pause (exchange);
}

static void
end_complete (struct inbound_call *call)
{
  struct node_calls *calls = call->calls;
  if (!call->not_run && suspect_clear (&calls->suspects, call->fingerprint))
    {
      counter_add (&suspects_cleared, 1);
      broadcast_cleared (calls, call->fingerprint);
    }
  struct call_request *request = call->request;
  release (call, !call->not_run);
  if (request != NULL)
    call_request_end (request);
}

static void
on_done (void *arg, struct call_exchange *exchange, enum call_exchange_end end)
{
  struct inbound_call *call = arg;
  struct node_calls *calls = call->calls;
  call->exchange = NULL;
  if (end == CALL_EXCHANGE_COMPLETE)
    {
      end_complete (call);
      return;
    }
  bool response_started = call->state == INBOUND_RESPONDING;
  struct call_request *request = call->request;
  if (response_started && request != NULL)
    {
      call->request = NULL;
      call_request_abort (request);
    }
  switch (end)
    {
    case CALL_EXCHANGE_NOT_CONNECTED:
      end_without_response (call, 503, CALL_NOT_RUN,
                            CALL_REASON_NOT_CONNECTED);
      node_call_probe_target (calls);
      return;
    case CALL_EXCHANGE_TIMED_OUT:
      end_without_response (call, 504, CALL_UNKNOWN, CALL_REASON_TIMEOUT);
      return;
    case CALL_EXCHANGE_UNFRAMED:
      end_without_response (call, 502, CALL_UNKNOWN, CALL_REASON_UNFRAMED);
      return;
    case CALL_EXCHANGE_COMPLETE:
    case CALL_EXCHANGE_LOST:
      break;
    }
  call->state = INBOUND_AWAITING_PROBE;
  node_call_probe_target (calls);
}

static const struct call_exchange_ops exchange_ops
    = { .headers = on_headers, .data = on_data, .done = on_done };

/// Sends an admitted call to the target.
static void
send_to_target (struct inbound_call *call)
{
  struct node_calls *calls = call->calls;
  uint64_t now = clock_monotonic_ms ();
  uint32_t left_ms
      = call->deadline_ms > now ? (uint32_t)(call->deadline_ms - now) : 0;
  counter_add (&calls_admitted, 1);
  char deadline[16];
  struct evkeyvalq headers;
  memset (&headers, 0, sizeof headers);
  headers.tqh_last = &headers.tqh_first;
  snprintf (deadline, sizeof deadline, "%u", left_ms);
  node_call_copy_headers (&headers, call_request_headers (call->request));
  evhttp_add_header (&headers, CALL_HEADER_DEADLINE, deadline);
  struct call_send send = {
    .address = INADDR_LOOPBACK,
    .port = calls->own_target.port,
    .method = call_request_method (call->request),
    .uri = call_request_uri (call->request),
    .headers = &headers,
    .body = call_request_body (call->request),
    .headers_ms = left_ms,
    .max_idle_ms
    = call->has_key ? NODE_CALL_NON_IDEMPOTENT_IDLE_MS : NODE_CALL_IDLE_MS,
  };
  call->state = INBOUND_SENT;
  call->exchange
      = call_client_send (&calls->target_client, &send, &exchange_ops, call);
  evhttp_clear_headers (&headers);
  if (call->exchange == NULL)
    end_without_response (call, 503, CALL_NOT_RUN, CALL_REASON_NOT_CONNECTED);
}

static struct inbound_call *
call_of_ticket (struct admit_ticket *ticket)
{
  return (struct inbound_call *)((char *)ticket
                                 - offsetof (struct inbound_call, ticket));
}

static void
on_admitted (void *arg, struct admit_ticket *ticket)
{
  send_to_target (call_of_ticket (ticket));
}

static void
on_refused (void *arg, struct admit_ticket *ticket, enum admit_refusal reason)
{
  counter_add (&calls_refused, 1);
  end_without_response (call_of_ticket (ticket), 503, CALL_NOT_RUN,
                        call_refusal_reason (reason));
}

const struct admit_ops node_call_inbound_admission
    = { .run = on_admitted, .refuse = on_refused };

uint64_t
node_call_inbound_admitted (void)
{
  return calls_admitted.value;
}

/// @param text  value of CALL_HEADER_HOP
/// @return true when it proves that a node of the mesh routed this request
/// here
static bool
hop_is_valid (const struct node_calls *calls,
              const struct call_request *request, const char *text)
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

static struct inbound_call *
add_call (struct node_calls *calls, struct call_request *request)
{
  struct inbound_call *call = talloc_zero (NULL, struct inbound_call);
  if (call == NULL)
    return NULL;
  call->context.kind = CALL_KIND_INBOUND;
  call->calls = calls;
  call->request = request;
  call->next = calls->inbound;
  if (call->next != NULL)
    call->next->previous = call;
  calls->inbound = call;
  call_request_set_context (request, call);
  return call;
}

void
node_call_inbound_start (struct node_calls *calls,
                         struct call_request *request, const char *hop)
{
  uint64_t now = clock_monotonic_ms ();
  uint32_t left_ms;
  if (!hop_is_valid (calls, request, hop)
      || call_deadline_parse (
             call_request_header (request, CALL_HEADER_DEADLINE), 0, &left_ms)
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
  struct inbound_call *call = add_call (calls, request);
  if (call == NULL)
    {
      suspect_end (&calls->suspects, fingerprint);
      refuse (calls, request, 503, CALL_NOT_RUN, CALL_REASON_BUSY);
      return;
    }
  call->fingerprint = fingerprint;
  call->suspect = verdict == SUSPECT_SINGLE;
  call->has_key = key != NULL;
  call->deadline_ms = now + left_ms;
  enum admit_refusal reason;
  if (admit_offer (&calls->admit, &call->ticket, call->deadline_ms, now,
                   &reason)
      != STATUS_OK)
    {
      counter_add (&calls_refused, 1);
      end_without_response (call, 503, CALL_NOT_RUN,
                            call_refusal_reason (reason));
      return;
    }
  if (call->ticket.state == ADMIT_RUNNING)
    send_to_target (call);
  else
    node_call_arm_expiry (calls);
}

void
node_call_inbound_disconnected (struct inbound_call *call)
{
  call->request = NULL;
  if (call->state == INBOUND_AWAITING_PROBE)
    return;
  /* A request with an idempotency key continues: closing its connection would
     not undo what it did, and its slot becomes free only when the target has
     finished. */
  if (call->has_key && call->exchange != NULL)
    {
      call_exchange_resume (call->exchange);
      return;
    }
  if (call->exchange != NULL)
    call_exchange_cancel (call->exchange);
  release (call, false);
}

void
node_call_inbound_writable (struct inbound_call *call)
{
  if (call->exchange != NULL)
    call_exchange_resume (call->exchange);
}

/// Responds to a call whose connection was lost, after the probe.
/// @param crash  id of the crash, 0 when the target's process is alive
static void
end_lost (struct inbound_call *call, uint64_t crash)
{
  if (crash == 0)
    {
      node_call_record_lost (call->calls, call->fingerprint);
      end_without_response (call, 502, CALL_UNKNOWN,
                            CALL_REASON_CONNECTION_LOST);
      return;
    }
  if (call->request != NULL)
    {
      char text[20];
      snprintf (text, sizeof text, "%016llx", (unsigned long long)crash);
      evhttp_add_header (call_request_response_headers (call->request),
                         CALL_HEADER_CRASH, text);
    }
  end_without_response (call, 502, CALL_UNKNOWN, CALL_REASON_CRASHED);
}

void
node_call_inbound_probed (struct node_calls *calls, uint64_t crash)
{
  struct inbound_call *call = calls->inbound;
  while (call != NULL)
    if (call->state == INBOUND_AWAITING_PROBE)
      {
        /* Ending a call may start and end others, so the list is read from its
           start again. */
        end_lost (call, crash);
        call = calls->inbound;
      }
    else
      call = call->next;
}

void
node_call_inbound_free_all (struct node_calls *calls)
{
  while (calls->inbound != NULL)
    {
      struct inbound_call *call = calls->inbound;
      calls->inbound = call->next;
      talloc_free (call);
    }
}
