/// Accepts calls of callers: checks readiness, route, deadline and crash
/// suspects, and claims the idempotency key of a non-idempotent request.
#include "node/node_call_outbound.h"

#include "base/clock.h"

#include <talloc.h>

static struct counter over_concurrency = COUNTER (
    "calls_over_concurrency", "calls refused: too many in progress here");
static struct counter answered_from_record = COUNTER (
    "calls_answered_from_record", "non-idempotent calls that had run before");

static struct outbound_call *
add_call (struct node_calls *calls, struct call_request *request,
          const struct route_entry *route)
{
  struct outbound_call *call = talloc_zero (NULL, struct outbound_call);
  if (call == NULL)
    return NULL;
  call->context.kind = CALL_KIND_OUTBOUND;
  call->calls = calls;
  call->request = request;
  call->service = talloc_strdup (call, route->service);
  call->route = talloc_strdup (call, route->route);
  call->idempotent = route->idempotent;
  if (call->service == NULL || call->route == NULL)
    {
      talloc_free (call);
      return NULL;
    }
  call->next = calls->outbound;
  if (call->next != NULL)
    call->next->previous = call;
  calls->outbound = call;
  calls->outbound_count++;
  call_request_set_context (request, call);
  return call;
}

/// Responds with the recorded outcome of an earlier request with the same
/// idempotency key.
static void
respond_from_record (struct outbound_call *call,
                     const struct claim_outcome *outcome)
{
  struct call_request *request = call->request;
  counter_add (&answered_from_record, 1);
  struct evkeyvalq *headers = call_request_response_headers (request);
  evhttp_add_header (headers, CALL_HEADER_OUTCOME,
                     call_outcome_name (CALL_RAN));
  evhttp_add_header (headers, CALL_HEADER_REASON,
                     outcome->body_complete ? CALL_REASON_RECORDED
                                            : CALL_REASON_RECORDED_STATUS);
  struct node_claim *claim = call->claim;
  node_call_outbound_free (call);
  call_request_reply (request, outcome->status, outcome->body,
                      outcome->body_complete ? outcome->body_size : 0);
  node_claim_finish (claim, false, NULL);
}

static void
on_claim (void *arg, struct node_claim *claim, enum claim_result result,
          const struct claim_outcome *outcome)
{
  struct outbound_call *call = arg;
  /* The end of the call finishes the claim, whether granted or not. */
  call->claim = claim;
  switch (result)
    {
    case CLAIM_GRANTED:
      node_call_outbound_send (call);
      return;
    case CLAIM_RECORDED:
      respond_from_record (call, outcome);
      return;
    case CLAIM_RESULT_OUTCOME_UNKNOWN:
      node_call_outbound_fail (call, 409, CALL_UNKNOWN,
                               CALL_REASON_OUTCOME_UNKNOWN);
      return;
    case CLAIM_KEY_REFUSED:
      node_call_outbound_fail (call, 400, CALL_NOT_RUN,
                               CALL_REASON_KEY_REFUSED);
      return;
    case CLAIM_TIMED_OUT:
      node_call_outbound_fail (call, 503, CALL_NOT_RUN,
                               CALL_REASON_CLAIM_TIMEOUT);
      return;
    }
}

/// @param left_ms  until the deadline
/// @param status   set to the HTTP status of the refusal
/// @return NULL when the call may start, else the reason of the refusal
static const char *
find_refusal (struct node_calls *calls, struct call_request *request,
              const struct route_entry *route, uint32_t left_ms, int *status)
{
  *status = 503;
  if (calls->outbound_count >= calls->node->settings.call_concurrency)
    {
      counter_add (&over_concurrency, 1);
      return CALL_REASON_BUSY;
    }
  if (left_ms == 0)
    {
      *status = 504;
      return CALL_REASON_DEADLINE;
    }
  const char *key = call_request_header (request, CALL_HEADER_KEY);
  if (!route->idempotent && (key == NULL || key[0] == '\0'))
    {
      *status = 400;
      return CALL_REASON_KEY_MISSING;
    }
  return NULL;
}

void
node_call_outbound_start (struct node_calls *calls,
                          struct call_request *request)
{
  uint64_t now = clock_monotonic_ms ();
  const char *uri = call_request_uri (request);
  if (!config_follower_ready (node_config_follower (calls->node)))
    {
      node_call_refuse (calls, request, 503, CALL_NOT_RUN,
                        CALL_REASON_NOT_READY);
      return;
    }
  const struct route_entry *route = node_call_route (calls, uri);
  if (route == NULL)
    {
      node_call_refuse (calls, request, 404, CALL_NOT_RUN,
                        CALL_REASON_NO_ROUTE);
      return;
    }
  uint32_t left_ms;
  if (call_deadline_parse (call_request_header (request, CALL_HEADER_DEADLINE),
                           route->timeout_ms, &left_ms)
      != STATUS_OK)
    {
      node_call_refuse (calls, request, 400, CALL_NOT_RUN,
                        CALL_REASON_BAD_REQUEST);
      return;
    }
  int status;
  const char *refusal = find_refusal (calls, request, route, left_ms, &status);
  struct outbound_call *call
      = refusal == NULL ? add_call (calls, request, route) : NULL;
  if (call == NULL)
    {
      node_call_refuse (calls, request, status, CALL_NOT_RUN,
                        refusal == NULL ? CALL_REASON_BUSY : refusal);
      return;
    }
  const char *key = call_request_header (request, CALL_HEADER_KEY);
  struct evbuffer *body = call_request_body (request);
  call->deadline_ms = now + left_ms;
  call->fingerprint = suspect_fingerprint (
      key, call_request_method_name (request), uri, evbuffer_pullup (body, -1),
      evbuffer_get_length (body));
  if (suspect_check (&calls->suspects, call->fingerprint, now)
      == SUSPECT_REFUSED)
    {
      node_call_outbound_fail (call, 503, CALL_NOT_RUN, CALL_REASON_SUSPECT);
      return;
    }
  if (call->idempotent)
    {
      node_call_outbound_send (call);
      return;
    }
  /* Stored so that the claim can be finished if the caller disconnects before
     it is decided. node_claim_begin does not call on_claim itself. */
  call->claim = node_claim_begin (calls->node, key, left_ms, on_claim, call);
  if (call->claim == NULL)
    node_call_outbound_fail (call, 503, CALL_NOT_RUN,
                             CALL_REASON_CLAIM_TIMEOUT);
}

void
node_call_outbound_free_all (struct node_calls *calls)
{
  while (calls->outbound != NULL)
    {
      struct outbound_call *call = calls->outbound;
      calls->outbound = call->next;
      talloc_free (call);
    }
  calls->outbound_count = 0;
}
