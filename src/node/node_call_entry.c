/// Owns the calls of callers: route, claim, choice of target, tries, answer.
#include "node/node_call_entry.h"

#include "base/clock.h"

#include <assert.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

/// Time past the deadline in which the target's node may still say that it did
/// not run the call.
#define GRACE_MS 10

/// A first try on a kept connection gets at least this many times the target's
/// usual latency before another target is tried.
#define SLOW_FACTOR 4

static struct counter entered = COUNTER ("calls_entered", "calls of callers");
static struct counter ran
    = COUNTER ("calls_ran", "calls of callers with a whole answer");
static struct counter not_run
    = COUNTER ("calls_not_run", "calls of callers that did not run");
static struct counter unknown = COUNTER (
    "calls_unknown", "calls of callers that may have run, without an answer");
static struct counter cut = COUNTER (
    "calls_cut", "calls of callers whose answer was cut off on its way");
static struct counter retried
    = COUNTER ("calls_retried", "second tries at another target");
static struct counter cancelled
    = COUNTER ("calls_cancelled", "calls whose caller went away");

static const struct call_exchange_ops exchange_ops;

static void
release (struct call_entry *entry)
{
  struct node_calls *calls = entry->calls;
  if (entry->previous != NULL)
    entry->previous->next = entry->next;
  else
    calls->entries = entry->next;
  if (entry->next != NULL)
    entry->next->previous = entry->previous;
  calls->entry_count--;
  if (entry->group != NULL)
    entry->group->calls--;
  talloc_free (entry);
}

/// Ends the claim of a call, if it has one, once.
static void
finish_claim (struct call_entry *entry, enum call_outcome outcome)
{
  struct node_claim *claim = entry->claim;
  entry->claim = NULL;
  if (claim == NULL)
    return;
  struct claim_outcome record = {
    .status = (uint16_t)entry->status,
    .body = entry->record,
    .body_size = entry->record_size,
    .body_complete = entry->record_complete,
  };
  node_claim_finish (claim, outcome == CALL_UNKNOWN,
                     outcome == CALL_RAN ? &record : NULL);
}

/// Ends a call without an answer of the target.
static void
fail (struct call_entry *entry, int status, enum call_outcome outcome,
      const char *reason)
{
  struct node_calls *calls = entry->calls;
  struct call_request *request = entry->request;
  if (outcome == CALL_NOT_RUN && entry->may_have_run)
    {
      /* Only the last try did not run. */
      outcome = CALL_UNKNOWN;
      status = 502;
    }
  finish_claim (entry, outcome);
  counter_add (outcome == CALL_UNKNOWN ? &unknown : &not_run, 1);
  char text[64];
  snprintf (text, sizeof text, "%s", reason);
  release (entry);
  if (request != NULL)
    node_call_refuse (calls, request, status, outcome, text);
}

/// @return true when the target's node refused the call because its target
/// drains or is gone
static bool
is_leaving (const struct call_entry *entry)
{
  return strcmp (entry->reason, CALL_REASON_DRAINING) == 0
         || strcmp (entry->reason, CALL_REASON_NO_TARGET) == 0;
}

/// Counts the end of one try for the balance and the evidence of moves.
static void
count_try (struct call_entry *entry, enum call_end end)
{
  struct node_calls *calls = entry->calls;
  enum balance_result result = BALANCE_FAILED;
  if (end == CALL_END_ANSWERED)
    result = BALANCE_ANSWERED;
  else if (end == CALL_END_REFUSED)
    result = is_leaving (entry) ? BALANCE_LEAVING : BALANCE_SHED;
  else if (end == CALL_END_CANCELLED)
    result = BALANCE_CANCELLED;
  balance_end (&entry->group->balance, entry->slot_id, result,
               entry->latency_us, clock_monotonic_ms ());
  /* A call that did not run says nothing about the version. */
  bool failed = retry_outcome (end) == CALL_UNKNOWN;
  if (end != CALL_END_CANCELLED && (failed || end == CALL_END_ANSWERED))
    node_moves_observe (calls->node, entry->service, entry->route,
                        entry->group->version, entry->zone, entry->cold,
                        failed || entry->status >= 500, entry->latency_us);
}

static uint32_t
elapsed_us (const struct call_entry *entry)
{
  uint64_t us = clock_monotonic_us () - entry->sent_us;
  return us < UINT32_MAX ? (uint32_t)us : UINT32_MAX;
}

static uint32_t
time_left (const struct call_entry *entry)
{
  uint64_t now = clock_monotonic_ms ();
  return entry->deadline_ms > now ? (uint32_t)(entry->deadline_ms - now) : 0;
}

/// @return time for the headers of this try
static uint32_t
try_time (const struct call_entry *entry, const struct balance_target *target)
{
  uint32_t left = time_left (entry);
  if (!entry->idempotent || entry->tries > 0)
    return left + GRACE_MS;
  /* A kept connection may have gone silent. Half of the time is left for a
     second target, unless this one is known to be slow. */
  uint64_t usual_ms = (uint64_t)target->latency_us * SLOW_FACTOR / 1000;
  if (usual_ms > left / 2)
    return left + GRACE_MS;
  return left / 2 + 1;
}

/// Chooses the version and with it the group of targets.
static struct call_group *
choose_group (struct call_entry *entry)
{
  struct node_calls *calls = entry->calls;
  const struct config *config = follow_current (node_follow (calls->node));
  const struct config_service *service
      = config_find_service (config, entry->service);
  if (service == NULL)
    return NULL;
  const char *to = NULL;
  uint32_t share = node_moves_share (calls->node, entry->service, &to);
  if (to != NULL && rng_below (&calls->node->rng, CONFIG_SHARE_ALL) < share)
    {
      struct call_group *group = node_call_group (calls, entry->service, to);
      /* Without targets of the new version the old one serves; never the other
         way round, because the share is a bound. */
      if (group != NULL && group->balance.count > 0)
        return group;
    }
  return node_call_group (calls, entry->service, service->version);
}

static void
build_headers (struct call_entry *entry, const struct member *member,
               struct evkeyvalq *headers)
{
  struct node_calls *calls = entry->calls;
  const struct settings *settings = &calls->node->settings;
  struct call_hop hop = {
    .destination_slot = member->slot_id,
    .method = call_request_method_name (entry->request),
    .uri = call_request_uri (entry->request),
    .key = call_request_header (entry->request, CALL_HEADER_KEY),
  };
  char code[CALL_HOP_SIZE];
  char left[16];
  call_hop_write (&hop, settings->keys[0].id, settings->keys[0].bytes, code);
  snprintf (left, sizeof left, "%u", time_left (entry));
  node_call_copy_headers (headers, call_request_headers (entry->request));
  evhttp_add_header (headers, CALL_HEADER_HOP, code);
  evhttp_add_header (headers, CALL_HEADER_DEADLINE, left);
}

/// Sends the call to a target of its group.
static void
send_to (struct call_entry *entry, size_t index)
{
  struct node_calls *calls = entry->calls;
  struct balance *balance = &entry->group->balance;
  const struct balance_target *target = &balance->items[index];
  const struct member *member
      = member_get (node_members (calls->node), target->member);
  entry->slot_id = target->slot_id;
  entry->cold = balance_is_cold (balance, index, clock_monotonic_ms ());
  entry->address = member->address;
  entry->port = member->call_port;
  memcpy (entry->zone, member->availability_zone, sizeof entry->zone);
  entry->outcome = CALL_UNKNOWN;
  entry->outcome_known = false;
  entry->crash = 0;
  entry->reason[0] = '\0';
  entry->latency_us = 0;
  entry->status = 0;
  entry->sent_us = clock_monotonic_us ();
  uint32_t headers_ms = try_time (entry, target);
  entry->tries++;
  balance_begin (balance, index);
  struct evkeyvalq headers;
  memset (&headers, 0, sizeof headers);
  headers.tqh_last = &headers.tqh_first;
  build_headers (entry, member, &headers);
  struct call_send send = {
    .address = member->address,
    .port = member->call_port,
    .method = call_request_method (entry->request),
    .uri = call_request_uri (entry->request),
    .headers = &headers,
    .body = call_request_body (entry->request),
    .headers_ms = headers_ms,
    .max_idle_ms = entry->idempotent ? NODE_CALL_IDLE_MS : NODE_CALL_FRESH_MS,
  };
  entry->exchange
      = call_client_send (&calls->nodes, &send, &exchange_ops, entry);
  evhttp_clear_headers (&headers);
  if (entry->exchange == NULL)
    {
      balance_end (balance, entry->slot_id, BALANCE_CANCELLED, 0,
                   clock_monotonic_ms ());
      fail (entry, 503, CALL_NOT_RUN, CALL_REASON_BUSY);
    }
}

/// Starts a try, the first or the second.
static void
try_target (struct call_entry *entry)
{
  struct node_calls *calls = entry->calls;
  uint64_t now = clock_monotonic_ms ();
  node_call_read_members (calls, now);
  if (time_left (entry) == 0)
    {
      fail (entry, 504, CALL_NOT_RUN, CALL_REASON_DEADLINE);
      return;
    }
  enum suspect_verdict verdict
      = suspect_check (&calls->suspects, entry->fingerprint, now);
  if (verdict == SUSPECT_REFUSED)
    {
      fail (entry, 503, CALL_NOT_RUN, CALL_REASON_SUSPECT);
      return;
    }
  if (entry->group == NULL)
    {
      entry->group = choose_group (entry);
      if (entry->group != NULL)
        entry->group->calls++;
    }
  size_t index = BALANCE_NONE;
  if (entry->group != NULL && verdict == SUSPECT_SINGLE)
    index = balance_choose_single (&entry->group->balance, entry->fingerprint);
  else if (entry->group != NULL)
    index = balance_choose (&entry->group->balance, &calls->node->rng,
                            entry->slot_id, now);
  if (index == BALANCE_NONE)
    {
      fail (entry, 503, CALL_NOT_RUN, CALL_REASON_NO_TARGET);
      return;
    }
  send_to (entry, index);
}

static void
on_headers (void *arg, struct call_exchange *exchange, int status,
            const char *reason, struct evkeyvalq *headers)
{
  struct call_entry *entry = arg;
  entry->latency_us = elapsed_us (entry);
  entry->status = status;
  entry->outcome_known
      = call_outcome_parse (evhttp_find_header (headers, CALL_HEADER_OUTCOME),
                            &entry->outcome)
        == STATUS_OK;
  const char *text = evhttp_find_header (headers, CALL_HEADER_REASON);
  snprintf (entry->reason, sizeof entry->reason, "%s",
            text == NULL ? "" : text);
  text = evhttp_find_header (headers, CALL_HEADER_CRASH);
  if (text == NULL || call_crash_parse (text, &entry->crash) != STATUS_OK)
    entry->crash = 0;
  uint32_t in_use;
  uint32_t slots;
  text = evhttp_find_header (headers, CALL_HEADER_LOAD);
  if (text != NULL && call_load_parse (text, &in_use, &slots) == STATUS_OK)
    balance_report (&entry->group->balance, entry->slot_id, in_use, slots,
                    clock_monotonic_ms ());
  /* A version with few calls opens connections more often; that is no
     slowness of the version. */
  if (call_exchange_is_fresh (exchange)
      || evhttp_find_header (headers, CALL_HEADER_NEW_CONNECTION) != NULL)
    entry->cold = true;
  if (!entry->outcome_known || entry->outcome != CALL_RAN)
    return;
  entry->answering = true;
  entry->record_size = 0;
  entry->record_complete = true;
  if (entry->request == NULL)
    return;
  struct evkeyvalq *answer = call_request_answer_headers (entry->request);
  node_call_copy_answer_headers (answer, headers);
  evhttp_add_header (answer, CALL_HEADER_OUTCOME,
                     call_outcome_name (CALL_RAN));
  text = evhttp_find_header (headers, CALL_HEADER_VERSION);
  if (text != NULL)
    evhttp_add_header (answer, CALL_HEADER_VERSION, text);
  call_request_start (entry->request, status, reason);
}

static void
on_data (void *arg, struct call_exchange *exchange, struct evbuffer *data)
{
  struct call_entry *entry = arg;
  if (!entry->answering)
    return;
  if (entry->claim != NULL && entry->record_complete)
    {
      size_t room = sizeof entry->record - entry->record_size;
      size_t size = evbuffer_get_length (data);
      entry->record_complete = size <= room;
      size = size < room ? size : room;
      evbuffer_copyout (data, entry->record + entry->record_size, size);
      entry->record_size += size;
    }
  if (entry->request == NULL)
    return;
  call_request_write (entry->request, data);
  if (call_request_buffered (entry->request) > NODE_CALL_BUFFER_MAX)
    call_exchange_pause (exchange);
}

/// The answer was cut after a part of it had been passed on.
static void
cut_answer (struct call_entry *entry)
{
  struct call_request *request = entry->request;
  counter_add (&cut, 1);
  finish_claim (entry, CALL_UNKNOWN);
  release (entry);
  if (request != NULL)
    call_request_abort (request);
}

static void
finish_answer (struct call_entry *entry)
{
  struct call_request *request = entry->request;
  counter_add (&ran, 1);
  finish_claim (entry, CALL_RAN);
  release (entry);
  if (request != NULL)
    call_request_end (request);
}

static void
on_done (void *arg, struct call_exchange *exchange, enum call_end_kind kind)
{
  struct call_entry *entry = arg;
  struct node_calls *calls = entry->calls;
  entry->exchange = NULL;
  uint64_t now = clock_monotonic_ms ();
  if (entry->latency_us == 0)
    entry->latency_us = elapsed_us (entry);
  enum call_end end = node_call_entry_end (entry, kind);
  count_try (entry, end);
  if (end == CALL_END_ANSWERED)
    {
      finish_answer (entry);
      return;
    }
  if (entry->answering)
    {
      cut_answer (entry);
      return;
    }
  if (end == CALL_END_TIMED_OUT)
    call_client_forget (&calls->nodes, entry->address, entry->port);
  /* The broadcast may arrive later; a second try must already be the careful
     one. */
  if (entry->crash != 0)
    suspect_raise (&calls->suspects, entry->fingerprint, entry->crash, now);
  struct retry_try last = {
    .end = end,
    .idempotent = entry->idempotent,
    .tries = entry->tries,
    .now_ms = now,
    .deadline_ms = entry->deadline_ms,
  };
  if (entry->request != NULL && retry_take (&calls->budget, &last))
    {
      if (retry_outcome (end) != CALL_NOT_RUN)
        entry->may_have_run = true;
      counter_add (&retried, 1);
      try_target (entry);
      return;
    }
  char reason[sizeof entry->reason];
  snprintf (reason, sizeof reason, "%s", node_call_entry_reason (entry, end));
  enum call_outcome outcome = retry_outcome (end);
  int status = outcome == CALL_NOT_RUN ? 503 : 502;
  if (end == CALL_END_TIMED_OUT)
    status = 504;
  else if (entry->outcome_known && entry->status >= 500)
    status = entry->status;
  fail (entry, status, outcome, reason);
}

static const struct call_exchange_ops exchange_ops
    = { .headers = on_headers, .data = on_data, .done = on_done };

void
node_call_entry_go (struct call_entry *entry)
{
  retry_count_call (&entry->calls->budget, clock_monotonic_ms ());
  counter_add (&entered, 1);
  try_target (entry);
}

void
node_call_entry_fail (struct call_entry *entry, int status,
                      enum call_outcome outcome, const char *reason)
{
  fail (entry, status, outcome, reason);
}

void
node_call_entry_release (struct call_entry *entry)
{
  release (entry);
}

void
node_call_entry_gone (struct call_entry *entry)
{
  entry->request = NULL;
  counter_add (&cancelled, 1);
  if (entry->claim != NULL && entry->exchange != NULL)
    {
      /* The request may have run. Its outcome is recorded, so that a retry
         with the same key gets it. */
      call_exchange_resume (entry->exchange);
      return;
    }
  if (entry->exchange != NULL)
    {
      call_exchange_cancel (entry->exchange);
      count_try (entry, CALL_END_CANCELLED);
    }
  finish_claim (entry, CALL_NOT_RUN);
  release (entry);
}

void
node_call_entry_writable (struct call_entry *entry)
{
  if (entry->exchange != NULL)
    call_exchange_resume (entry->exchange);
}
