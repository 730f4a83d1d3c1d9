/// Decides whether a caller's call may start: readiness, route, deadline,
/// crash suspects, and the claim of a non-idempotent request.
#include "node/node_call_entry.h"

#include "base/clock.h"

#include <talloc.h>

static struct counter busy = COUNTER (
    "calls_over_concurrency", "calls refused: too many in progress here");
static struct counter recorded = COUNTER (
    "calls_answered_from_record", "non-idempotent calls that had run before");

static struct call_entry *
make_entry (struct node_calls *calls, struct call_request *request,
            const struct route_entry *route)
{
  struct call_entry *entry = talloc_zero (NULL, struct call_entry);
  if (entry == NULL)
    return NULL;
  entry->part.kind = CALL_KIND_ENTRY;
  entry->calls = calls;
  entry->request = request;
  entry->service = talloc_strdup (entry, route->service);
  entry->route = talloc_strdup (entry, route->route);
  entry->idempotent = route->idempotent;
  if (entry->service == NULL || entry->route == NULL)
    {
      talloc_free (entry);
      return NULL;
    }
  entry->next = calls->entries;
  if (entry->next != NULL)
    entry->next->previous = entry;
  calls->entries = entry;
  calls->entry_count++;
  call_request_set_context (request, entry);
  return entry;
}

/// Answers with the outcome that an earlier request with the same key had.
static void
answer_from_record (struct call_entry *entry,
                    const struct claim_outcome *outcome)
{
  struct call_request *request = entry->request;
  counter_add (&recorded, 1);
  struct evkeyvalq *headers = call_request_answer_headers (request);
  evhttp_add_header (headers, CALL_HEADER_OUTCOME,
                     call_outcome_name (CALL_RAN));
  evhttp_add_header (headers, CALL_HEADER_REASON,
                     outcome->body_complete ? CALL_REASON_RECORDED
                                            : CALL_REASON_RECORDED_STATUS);
  struct node_claim *claim = entry->claim;
  node_call_entry_release (entry);
  call_request_reply (request, outcome->status, outcome->body,
                      outcome->body_complete ? outcome->body_size : 0);
  node_claim_finish (claim, false, NULL);
}

static void
on_claim (void *arg, struct node_claim *claim, enum claim_result result,
          const struct claim_outcome *outcome)
{
  struct call_entry *entry = arg;
  /* Every claim is finished, granted or not, when the call ends. */
  entry->claim = claim;
  switch (result)
    {
    case CLAIM_GRANTED:
      node_call_entry_go (entry);
      return;
    case CLAIM_RECORDED:
      answer_from_record (entry, outcome);
      return;
    case CLAIM_SPENT:
      node_call_entry_fail (entry, 409, CALL_UNKNOWN, CALL_REASON_SPENT);
      return;
    case CLAIM_KEY_REFUSED:
      node_call_entry_fail (entry, 400, CALL_NOT_RUN, CALL_REASON_KEY_REFUSED);
      return;
    case CLAIM_TIMED_OUT:
      node_call_entry_fail (entry, 503, CALL_NOT_RUN,
                            CALL_REASON_CLAIM_TIMEOUT);
      return;
    }
}

/// @return NULL when a call may start, else the reason of the refusal
static const char *
find_refusal (struct node_calls *calls, struct call_request *request,
              const struct route_entry *route, uint32_t left, int *status)
{
  *status = 503;
  if (calls->entry_count >= calls->node->settings.call_concurrency)
    {
      counter_add (&busy, 1);
      return CALL_REASON_BUSY;
    }
  if (left == 0)
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
node_call_entry_start (struct node_calls *calls, struct call_request *request)
{
  uint64_t now = clock_monotonic_ms ();
  const char *uri = call_request_uri (request);
  if (!follow_ready (node_follow (calls->node)))
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
  uint32_t left;
  if (call_deadline_parse (call_request_header (request, CALL_HEADER_DEADLINE),
                           route->timeout_ms, &left)
      != STATUS_OK)
    {
      node_call_refuse (calls, request, 400, CALL_NOT_RUN,
                        CALL_REASON_BAD_REQUEST);
      return;
    }
  int status;
  const char *refusal = find_refusal (calls, request, route, left, &status);
  struct call_entry *entry
      = refusal == NULL ? make_entry (calls, request, route) : NULL;
  if (entry == NULL)
    {
      node_call_refuse (calls, request, status, CALL_NOT_RUN,
                        refusal == NULL ? CALL_REASON_BUSY : refusal);
      return;
    }
  const char *key = call_request_header (request, CALL_HEADER_KEY);
  struct evbuffer *body = call_request_body (request);
  entry->deadline_ms = now + left;
  entry->fingerprint = suspect_fingerprint (
      key, call_request_method_name (request), uri, evbuffer_pullup (body, -1),
      evbuffer_get_length (body));
  if (suspect_check (&calls->suspects, entry->fingerprint, now)
      == SUSPECT_REFUSED)
    {
      node_call_entry_fail (entry, 503, CALL_NOT_RUN, CALL_REASON_SUSPECT);
      return;
    }
  if (entry->idempotent)
    {
      node_call_entry_go (entry);
      return;
    }
  /* The pointer is kept for the case that the caller goes away before the
     claim is decided. `done` does not run from within node_claim_begin. */
  entry->claim = node_claim_begin (calls->node, key, left, on_claim, entry);
  if (entry->claim == NULL)
    node_call_entry_fail (entry, 503, CALL_NOT_RUN, CALL_REASON_CLAIM_TIMEOUT);
}

void
node_call_entries_drop (struct node_calls *calls)
{
  while (calls->entries != NULL)
    {
      struct call_entry *entry = calls->entries;
      calls->entries = entry->next;
      talloc_free (entry);
    }
  calls->entry_count = 0;
}
