/// Carries out accepted calls of callers: choice of the target, attempts,
/// response and claim.
#include "node/node_call_outbound.h"

#include "base/clock.h"

#include <assert.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

/// Time past the deadline during which the target's node may still report that
/// the call did not run.
#define DEADLINE_GRACE_MS 10

/// The first attempt of an idempotent call gets at least this multiple of the
/// target's usual latency before the call is retried at another target.
#define USUAL_LATENCY_FACTOR 4

static struct counter calls_entered
    = COUNTER ("calls_entered", "calls of callers");
static struct counter calls_ran
    = COUNTER ("calls_ran", "calls of callers with a whole answer");
static struct counter calls_not_run
    = COUNTER ("calls_not_run", "calls of callers that did not run");
static struct counter calls_unknown = COUNTER (
    "calls_unknown", "calls of callers that may have run, without an answer");
static struct counter calls_cut = COUNTER (
    "calls_cut", "calls of callers whose answer was cut off on its way");
static struct counter calls_retried
    = COUNTER ("calls_retried", "second tries at another target");
static struct counter calls_cancelled
    = COUNTER ("calls_cancelled", "calls whose caller went away");

static const struct call_exchange_ops exchange_ops;

static void
release (struct outbound_call *call)
{
  struct node_calls *calls = call->calls;
  if (call->previous != NULL)
    call->previous->next = call->next;
  else
    calls->outbound = call->next;
  if (call->next != NULL)
    call->next->previous = call->previous;
  calls->outbound_count--;
  if (call->group != NULL)
    call->group->call_count--;
  talloc_free (call);
}

/// Finishes the claim of a call, unless it has none or it is finished already.
static void
finish_claim (struct outbound_call *call, enum call_outcome outcome)
{
  struct node_claim *claim = call->claim;
  call->claim = NULL;
  if (claim == NULL)
    return;
  struct claim_outcome record = {
    .status = (uint16_t)call->status,
    .body = call->record,
    .body_size = call->record_size,
    .body_complete = call->record_complete,
  };
  node_claim_finish (claim, outcome == CALL_UNKNOWN,
                     outcome == CALL_RAN ? &record : NULL);
}

/// Ends a call that got no response of a target.
static void
fail (struct outbound_call *call, int status, enum call_outcome outcome,
      const char *reason)
{
  struct node_calls *calls = call->calls;
  struct call_request *request = call->request;
  if (outcome == CALL_NOT_RUN && call->may_have_run)
    {
      /* Only the last attempt is known not to have run. */
      outcome = CALL_UNKNOWN;
      status = 502;
    }
  finish_claim (call, outcome);
  counter_add (outcome == CALL_UNKNOWN ? &calls_unknown : &calls_not_run, 1);
  char text[64];
  snprintf (text, sizeof text, "%s", reason);
  release (call);
  if (request != NULL)
    node_call_refuse (calls, request, status, outcome, text);
}

/// @return true when the target's node refused the call because its target is
/// draining or no longer there
static bool
target_is_leaving (const struct outbound_call *call)
{
  return strcmp (call->reason, CALL_REASON_DRAINING) == 0
         || strcmp (call->reason, CALL_REASON_NO_TARGET) == 0;
}

/// Reports the end of one attempt to the load balancer and to the evidence of
/// moves.
static void
report_attempt (struct outbound_call *call, enum call_end end)
{
  struct node_calls *calls = call->calls;
  enum balance_result result = BALANCE_FAILED;
  if (end == CALL_END_ANSWERED)
    result = BALANCE_ANSWERED;
  else if (end == CALL_END_REFUSED)
    result = target_is_leaving (call) ? BALANCE_LEAVING : BALANCE_SHED;
  else if (end == CALL_END_CANCELLED)
    result = BALANCE_CANCELLED;
  balance_end (&call->group->balance, call->slot_id, result, call->latency_us,
               clock_monotonic_ms ());
  /* A call that did not run is no evidence about the version. */
  bool failed = retry_outcome (end) == CALL_UNKNOWN;
  if (end != CALL_END_CANCELLED && (failed || end == CALL_END_ANSWERED))
    node_moves_observe (calls->node, call->service, call->route,
                        call->group->version, call->zone, call->cold,
                        failed || call->status >= 500, call->latency_us);
}

static uint32_t
elapsed_us (const struct outbound_call *call)
{
  uint64_t us = clock_monotonic_us () - call->sent_us;
  return us < UINT32_MAX ? (uint32_t)us : UINT32_MAX;
}

static uint32_t
time_left_ms (const struct outbound_call *call)
{
  uint64_t now = clock_monotonic_ms ();
  return call->deadline_ms > now ? (uint32_t)(call->deadline_ms - now) : 0;
}

/// @return timeout for the response headers of the next attempt, ms
static uint32_t
headers_timeout_ms (const struct outbound_call *call,
                    const struct balance_target *target)
{
  uint32_t left_ms = time_left_ms (call);
  if (!call->idempotent || call->attempts > 0)
    return left_ms + DEADLINE_GRACE_MS;
  /* A pooled connection may be dead without notice. Half of the time is
     reserved for a second target, unless this target is known to be slow. */
  uint64_t usual_ms
      = (uint64_t)target->latency_us * USUAL_LATENCY_FACTOR / 1000;
  if (usual_ms > left_ms / 2)
    return left_ms + DEADLINE_GRACE_MS;
  return left_ms / 2 + 1;
}

/// Chooses the target version and returns its group of targets.
/// @return NULL when the service is not configured or the version has no group
static struct target_group *
choose_group (struct outbound_call *call)
{
  struct node_calls *calls = call->calls;
  const struct config *config
      = config_follower_current (node_config_follower (calls->node));
  const struct config_service *service
      = config_find_service (config, call->service);
  if (service == NULL)
    return NULL;
  const char *to = NULL;
  uint32_t share = node_moves_share (calls->node, call->service, &to);
  if (to != NULL && rng_below (&calls->node->rng, CONFIG_SHARE_ALL) < share)
    {
      struct target_group *group = node_call_group (calls, call->service, to);
      /* Without targets of the new version the old one serves the call. The
         reverse is not allowed: the share is an upper bound for the new
         version. */
      if (group != NULL && group->balance.count > 0)
        return group;
    }
  return node_call_group (calls, call->service, service->version);
}

static void
build_headers (struct outbound_call *call, const struct member *member,
               struct evkeyvalq *headers)
{
  struct node_calls *calls = call->calls;
  const struct settings *settings = &calls->node->settings;
  struct call_hop hop = {
    .destination_slot = member->slot_id,
    .method = call_request_method_name (call->request),
    .uri = call_request_uri (call->request),
    .key = call_request_header (call->request, CALL_HEADER_KEY),
  };
  char hop_value[CALL_HOP_SIZE];
  char left_ms[16];
  call_hop_write (&hop, settings->keys[0].id, settings->keys[0].bytes,
                  hop_value);
  snprintf (left_ms, sizeof left_ms, "%u", time_left_ms (call));
  node_call_copy_headers (headers, call_request_headers (call->request));
  evhttp_add_header (headers, CALL_HEADER_HOP, hop_value);
  evhttp_add_header (headers, CALL_HEADER_DEADLINE, left_ms);
}

/// Sends the call to a target of its group.
/// @param index  of the target in the group's balance
static void
send_to_target (struct outbound_call *call, size_t index)
{
  struct node_calls *calls = call->calls;
  struct balance *balance = &call->group->balance;
  const struct balance_target *target = &balance->items[index];
  const struct member *member
      = member_get (node_members (calls->node), target->member);
  call->slot_id = target->slot_id;
  call->cold = balance_is_cold (balance, index, clock_monotonic_ms ());
  call->address = member->address;
  call->port = member->call_port;
  memcpy (call->zone, member->availability_zone, sizeof call->zone);
  call->outcome = CALL_UNKNOWN;
  call->outcome_known = false;
  call->crash = 0;
  call->reason[0] = '\0';
  call->latency_us = 0;
  call->status = 0;
  call->sent_us = clock_monotonic_us ();
  uint32_t headers_ms = headers_timeout_ms (call, target);
  call->attempts++;
  balance_begin (balance, index);
  struct evkeyvalq headers;
  memset (&headers, 0, sizeof headers);
  headers.tqh_last = &headers.tqh_first;
  build_headers (call, member, &headers);
  struct call_send send = {
    .address = member->address,
    .port = member->call_port,
    .method = call_request_method (call->request),
    .uri = call_request_uri (call->request),
    .headers = &headers,
    .body = call_request_body (call->request),
    .headers_ms = headers_ms,
    .max_idle_ms
    = call->idempotent ? NODE_CALL_IDLE_MS : NODE_CALL_NON_IDEMPOTENT_IDLE_MS,
  };
  call->exchange
      = call_client_send (&calls->node_client, &send, &exchange_ops, call);
  evhttp_clear_headers (&headers);
  if (call->exchange == NULL)
    {
      balance_end (balance, call->slot_id, BALANCE_CANCELLED, 0,
                   clock_monotonic_ms ());
      fail (call, 503, CALL_NOT_RUN, CALL_REASON_BUSY);
    }
}

/// Starts the first attempt or a retry.
static void
start_attempt (struct outbound_call *call)
{
  struct node_calls *calls = call->calls;
  uint64_t now = clock_monotonic_ms ();
  node_call_read_members (calls, now);
  if (time_left_ms (call) == 0)
    {
      fail (call, 504, CALL_NOT_RUN, CALL_REASON_DEADLINE);
      return;
    }
  enum suspect_verdict verdict
      = suspect_check (&calls->suspects, call->fingerprint, now);
  if (verdict == SUSPECT_REFUSED)
    {
      fail (call, 503, CALL_NOT_RUN, CALL_REASON_SUSPECT);
      return;
    }
  if (call->group == NULL)
    {
      call->group = choose_group (call);
      if (call->group != NULL)
        call->group->call_count++;
    }
  size_t index = BALANCE_NONE;
  if (call->group != NULL && verdict == SUSPECT_SINGLE)
    index = balance_choose_single (&call->group->balance, call->fingerprint);
  else if (call->group != NULL)
    index = balance_choose (&call->group->balance, &calls->node->rng,
                            call->slot_id, now);
  if (index == BALANCE_NONE)
    {
      fail (call, 503, CALL_NOT_RUN, CALL_REASON_NO_TARGET);
      return;
    }
  send_to_target (call, index);
}

static void
on_headers (void *arg, struct call_exchange *exchange, int status,
            const char *reason, struct evkeyvalq *headers)
{
  struct outbound_call *call = arg;
  call->latency_us = elapsed_us (call);
  call->status = status;
  call->outcome_known
      = call_outcome_parse (evhttp_find_header (headers, CALL_HEADER_OUTCOME),
                            &call->outcome)
        == STATUS_OK;
  const char *text = evhttp_find_header (headers, CALL_HEADER_REASON);
  snprintf (call->reason, sizeof call->reason, "%s", text == NULL ? "" : text);
  text = evhttp_find_header (headers, CALL_HEADER_CRASH);
  if (text == NULL || call_crash_parse (text, &call->crash) != STATUS_OK)
    call->crash = 0;
  uint32_t in_use;
  uint32_t slots;
  text = evhttp_find_header (headers, CALL_HEADER_LOAD);
  if (text != NULL && call_load_parse (text, &in_use, &slots) == STATUS_OK)
    balance_report (&call->group->balance, call->slot_id, in_use, slots,
                    clock_monotonic_ms ());
  /* A version with few calls opens new connections more often; its latency
     must not count as a regression for that. */
  if (call_exchange_uses_new_connection (exchange)
      || evhttp_find_header (headers, CALL_HEADER_NEW_CONNECTION) != NULL)
    call->cold = true;
  if (!call->outcome_known || call->outcome != CALL_RAN)
    return;
  call->forwarding = true;
  call->record_size = 0;
  call->record_complete = true;
  if (call->request == NULL)
    return;
  struct evkeyvalq *response_headers
      = call_request_response_headers (call->request);
  node_call_copy_response_headers (response_headers, headers);
  evhttp_add_header (response_headers, CALL_HEADER_OUTCOME,
                     call_outcome_name (CALL_RAN));
  text = evhttp_find_header (headers, CALL_HEADER_VERSION);
  if (text != NULL)
    evhttp_add_header (response_headers, CALL_HEADER_VERSION, text);
  call_request_start (call->request, status, reason);
}

static void
on_data (void *arg, struct call_exchange *exchange, struct evbuffer *data)
{
  struct outbound_call *call = arg;
  if (!call->forwarding)
    return;
  if (call->claim != NULL && call->record_complete)
    {
      size_t space = sizeof call->record - call->record_size;
      size_t size = evbuffer_get_length (data);
      call->record_complete = size <= space;
      size = size < space ? size : space;
      evbuffer_copyout (data, call->record + call->record_size, size);
      call->record_size += size;
    }
  if (call->request == NULL)
    return;
  call_request_write (call->request, data);
  if (call_request_buffered (call->request) > NODE_CALL_BUFFER_BYTES_MAX)
    call_exchange_pause (exchange);
}

/// Ends a call whose response broke off after a part of it was forwarded; the
/// caller's connection is reset.
static void
end_truncated (struct outbound_call *call)
{
  struct call_request *request = call->request;
  counter_add (&calls_cut, 1);
  finish_claim (call, CALL_UNKNOWN);
  release (call);
  if (request != NULL)
    call_request_abort (request);
}

static void
end_complete (struct outbound_call *call)
{
  struct call_request *request = call->request;
  counter_add (&calls_ran, 1);
  finish_claim (call, CALL_RAN);
  release (call);
  if (request != NULL)
    call_request_end (request);
}

static void
on_done (void *arg, struct call_exchange *exchange,
         enum call_exchange_end kind)
{
  struct outbound_call *call = arg;
  struct node_calls *calls = call->calls;
  call->exchange = NULL;
  uint64_t now = clock_monotonic_ms ();
  if (call->latency_us == 0)
    call->latency_us = elapsed_us (call);
  enum call_end end = node_call_outbound_attempt_end (call, kind);
  report_attempt (call, end);
  if (end == CALL_END_ANSWERED)
    {
      end_complete (call);
      return;
    }
  if (call->forwarding)
    {
      end_truncated (call);
      return;
    }
  if (end == CALL_END_TIMED_OUT)
    call_client_close_idle (&calls->node_client, call->address, call->port);
  /* The broadcast may arrive later, but the retry must already treat the
     request as a crash suspect. */
  if (call->crash != 0)
    suspect_raise (&calls->suspects, call->fingerprint, call->crash, now);
  struct retry_attempt last = {
    .end = end,
    .idempotent = call->idempotent,
    .attempts = call->attempts,
    .now_ms = now,
    .deadline_ms = call->deadline_ms,
  };
  if (call->request != NULL && retry_take (&calls->budget, &last))
    {
      if (retry_outcome (end) != CALL_NOT_RUN)
        call->may_have_run = true;
      counter_add (&calls_retried, 1);
      start_attempt (call);
      return;
    }
  char reason[sizeof call->reason];
  snprintf (reason, sizeof reason, "%s",
            node_call_outbound_reason (call, end));
  enum call_outcome outcome = retry_outcome (end);
  int status = outcome == CALL_NOT_RUN ? 503 : 502;
  if (end == CALL_END_TIMED_OUT)
    status = 504;
  else if (call->outcome_known && call->status >= 500)
    status = call->status;
  fail (call, status, outcome, reason);
}

static const struct call_exchange_ops exchange_ops
    = { .headers = on_headers, .data = on_data, .done = on_done };

void
node_call_outbound_send (struct outbound_call *call)
{
  retry_count_call (&call->calls->budget, clock_monotonic_ms ());
  counter_add (&calls_entered, 1);
  start_attempt (call);
}

void
node_call_outbound_fail (struct outbound_call *call, int status,
                         enum call_outcome outcome, const char *reason)
{
  fail (call, status, outcome, reason);
}

void
node_call_outbound_free (struct outbound_call *call)
{
  release (call);
}

void
node_call_outbound_disconnected (struct outbound_call *call)
{
  call->request = NULL;
  counter_add (&calls_cancelled, 1);
  if (call->claim != NULL && call->exchange != NULL)
    {
      /* The request may have run. Its outcome is recorded, so that a retry
         with the same key gets it. */
      call_exchange_resume (call->exchange);
      return;
    }
  if (call->exchange != NULL)
    {
      call_exchange_cancel (call->exchange);
      report_attempt (call, CALL_END_CANCELLED);
    }
  finish_claim (call, CALL_NOT_RUN);
  release (call);
}

void
node_call_outbound_writable (struct outbound_call *call)
{
  if (call->exchange != NULL)
    call_exchange_resume (call->exchange);
}
