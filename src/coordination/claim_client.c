/// Owns the attempts of this node and the reports that are not yet stored.
#include "coordination/claim_client.h"

#include "base/counter.h"

#include <assert.h>
#include <ctype.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define RESEND_DOUBLINGS 3

enum attempt_state
{
  ATTEMPT_FREE,
  ATTEMPT_ASKING,   ///< waits for a grant
  ATTEMPT_RUNNING,  ///< granted
  ATTEMPT_REPORTING ///< ended; the report is not known to be stored
};

struct claim_attempt
{
  struct claim_record record; ///< the claim, then the report
  uint8_t *body;
  uint64_t deadline_ms; ///< of the claim, then of the report
  uint64_t resend_ms;
  uint32_t partition;
  uint8_t state;
  uint8_t sends; ///< of the present record
  bool asked;    ///< the claim was sent at least once
  bool waits;    ///< an owner said that another attempt holds the key
};

static struct counter attempts_total
    = COUNTER ("claim_client_attempts", "Attempts started at this node.");
static struct counter timeouts
    = COUNTER ("claim_client_timeouts",
               "Attempts that were not granted before their deadline.");
static struct counter reports_dropped
    = COUNTER ("claim_client_reports_dropped",
               "Outcomes or releases that could not be stored in time.");

static uint64_t
resend_after (uint8_t sends)
{
  unsigned doublings = sends < RESEND_DOUBLINGS ? sends : RESEND_DOUBLINGS;
  return CLAIM_RESEND_MS << doublings;
}

static void
attempt_free (struct claim_client *client, struct claim_attempt *attempt)
{
  talloc_free (attempt->body);
  *attempt = (struct claim_attempt){ .state = ATTEMPT_FREE };
  client->active--;
  client->free_hint = (uint32_t)(attempt - client->attempts);
}

static struct claim_attempt *
attempt_new (struct claim_client *client)
{
  uint32_t start = client->free_hint;
  for (uint32_t i = 0; i < client->capacity; i++)
    {
      struct claim_attempt *attempt
          = &client->attempts[(start + i) % client->capacity];
      if (attempt->state == ATTEMPT_FREE)
        return attempt;
    }
  if (client->capacity >= CLAIM_CLIENT_ATTEMPTS)
    return NULL;
  uint32_t capacity = client->capacity == 0 ? 64 : client->capacity * 2;
  struct claim_attempt *attempts = talloc_realloc (
      NULL, client->attempts, struct claim_attempt, capacity);
  if (attempts == NULL)
    return NULL;
  memset (attempts + client->capacity, 0,
          (capacity - client->capacity) * sizeof *attempts);
  client->attempts = attempts;
  struct claim_attempt *fresh = &attempts[client->capacity];
  client->capacity = capacity;
  return fresh;
}

static struct claim_attempt *
find_nonce (struct claim_client *client, uint64_t nonce)
{
  for (uint32_t i = 0; i < client->capacity; i++)
    if (client->attempts[i].state != ATTEMPT_FREE
        && client->attempts[i].record.nonce == nonce)
      return &client->attempts[i];
  return NULL;
}

/// Sends the claim or the report; the nonce serves as sequence number.
static void
send (struct claim_client *client, struct claim_attempt *attempt,
      uint64_t now_ms)
{
  attempt->resend_ms = now_ms + resend_after (attempt->sends);
  if (attempt->sends < UINT8_MAX)
    attempt->sends++;
  struct claim_record record = attempt->record;
  if (attempt->state == ATTEMPT_REPORTING)
    {
      client->ops->send_report (client->arg, attempt->partition, record.nonce,
                                &record);
      return;
    }
  attempt->asked = true;
  uint32_t left = (uint32_t)(attempt->deadline_ms - now_ms);
  client->ops->send_claim (client->arg, attempt->partition, record.nonce,
                           &record, left);
}

static void
report (struct claim_client *client, struct claim_attempt *attempt,
        enum claim_record_kind kind, uint64_t now_ms)
{
  attempt->record.kind = kind;
  attempt->state = ATTEMPT_REPORTING;
  attempt->sends = 0;
  attempt->deadline_ms = now_ms + CLAIM_REPORT_MS;
  send (client, attempt, now_ms);
}

/// Ends an attempt that did not run. If an owner may have seen the claim, it
/// is released, so that another attempt can run.
static void
give_up (struct claim_client *client, struct claim_attempt *attempt,
         enum claim_verdict verdict, const struct claim_record *outcome,
         bool release, uint64_t now_ms)
{
  uint32_t handle = (uint32_t)(attempt - client->attempts);
  if (release && attempt->asked)
    report (client, attempt, CLAIM_RECORD_RELEASE, now_ms);
  else
    attempt_free (client, attempt);
  client->ops->answer (client->arg, handle, verdict, outcome);
}

static void
time_out (struct claim_client *client, struct claim_attempt *attempt,
          uint64_t now_ms)
{
  counter_add (&timeouts, 1);
  /* The key is known to be another attempt's, which may have run: the caller
     must not be told that its request did not run. */
  enum claim_verdict verdict
      = attempt->waits ? CLAIM_VERDICT_SPENT : CLAIM_VERDICT_TIMED_OUT;
  give_up (client, attempt, verdict, NULL, true, now_ms);
}

void
claim_client_init (struct claim_client *client,
                   const struct claim_client_ops *ops, void *arg,
                   struct rng *rng, uint32_t partitions, uint32_t window_s)
{
  assert (partitions > 0);
  *client = (struct claim_client){ .ops = ops,
                                   .arg = arg,
                                   .rng = rng,
                                   .partitions = partitions,
                                   .window_s = window_s };
}

void
claim_client_finish_all (struct claim_client *client)
{
  for (uint32_t i = 0; i < client->capacity; i++)
    talloc_free (client->attempts[i].body);
  talloc_free (client->attempts);
  client->attempts = NULL;
  client->capacity = 0;
  client->active = 0;
}

enum status
claim_key_parse (const char *key, uint32_t *created_s)
{
  size_t size = strnlen (key, CLAIM_KEY_MAX + 1);
  if (size > CLAIM_KEY_MAX)
    return status_set (STATUS_INVALID, "key is longer than %d bytes",
                       CLAIM_KEY_MAX);
  uint64_t seconds = 0;
  size_t digits = 0;
  for (; isdigit ((unsigned char)key[digits]); digits++)
    {
      seconds = seconds * 10 + (uint64_t)(key[digits] - '0');
      if (seconds > UINT32_MAX)
        return status_set (STATUS_INVALID, "creation time is out of range");
    }
  if (digits == 0 || key[digits] != '-'
      || size - digits - 1 < CLAIM_KEY_RANDOM_MIN)
    return status_set (
        STATUS_INVALID,
        "key is not <unix seconds>-<random of %d bytes or more>",
        CLAIM_KEY_RANDOM_MIN);
  for (size_t i = digits; i < size; i++)
    if (key[i] <= ' ' || key[i] > '~')
      return status_set (STATUS_INVALID, "key holds byte %u",
                         (unsigned char)key[i]);
  *created_s = (uint32_t)seconds;
  return STATUS_OK;
}

enum status
claim_client_begin (struct claim_client *client, const char *key,
                    uint32_t deadline_ms, uint64_t now_ms, uint64_t wall_ms,
                    uint32_t *attempt)
{
  uint32_t created_s = 0;
  enum status status = claim_key_parse (key, &created_s);
  if (status != STATUS_OK)
    return status;
  uint64_t now_s = wall_ms / 1000;
  if ((uint64_t)created_s + client->window_s < now_s)
    return status_set (STATUS_INVALID, "key is older than %u s",
                       client->window_s);
  if (created_s > now_s + CLAIM_CLOCK_SKEW_S)
    return status_set (STATUS_INVALID, "key is more than %d s in the future",
                       CLAIM_CLOCK_SKEW_S);
  struct claim_attempt *fresh = attempt_new (client);
  if (fresh == NULL)
    return status_set (STATUS_UNAVAILABLE, "%u attempts are open",
                       client->active);
  counter_add (&attempts_total, 1);
  *fresh = (struct claim_attempt){
    .record = { .kind = CLAIM_RECORD_CLAIM,
                .nonce = rng_u64 (client->rng),
                .created_s = created_s },
    .state = ATTEMPT_ASKING,
    .deadline_ms = now_ms + deadline_ms,
    .resend_ms = now_ms,
  };
  hash_content (&fresh->record.key, key, strlen (key));
  /* Bytes that the table's index does not use. */
  uint64_t bits;
  memcpy (&bits, fresh->record.key.bytes + 8, sizeof bits);
  fresh->partition = (uint32_t)(bits % client->partitions);
  client->active++;
  *attempt = (uint32_t)(fresh - client->attempts);
  if (deadline_ms > 0)
    send (client, fresh, now_ms);
  return STATUS_OK;
}

void
claim_client_reply (struct claim_client *client, uint64_t seq,
                    enum claim_verdict verdict,
                    const struct claim_record *outcome, uint64_t now_ms)
{
  struct claim_attempt *attempt = find_nonce (client, seq);
  if (attempt == NULL)
    return;
  if (attempt->state == ATTEMPT_REPORTING && verdict == CLAIM_VERDICT_STORED)
    {
      attempt_free (client, attempt);
      return;
    }
  if (verdict == CLAIM_VERDICT_ELSEWHERE && attempt->state != ATTEMPT_RUNNING)
    {
      /* The views of the members differ for a moment. */
      uint64_t soon = now_ms + CLAIM_RESEND_MS / 2;
      if (attempt->resend_ms > soon)
        attempt->resend_ms = soon;
      return;
    }
  if (attempt->state != ATTEMPT_ASKING)
    return;
  if (now_ms >= attempt->deadline_ms)
    {
      time_out (client, attempt, now_ms);
      return;
    }
  switch (verdict)
    {
    case CLAIM_VERDICT_GRANTED:
      attempt->state = ATTEMPT_RUNNING;
      client->ops->answer (client->arg, (uint32_t)(attempt - client->attempts),
                           verdict, NULL);
      break;
    case CLAIM_VERDICT_RECORDED:
    case CLAIM_VERDICT_SPENT:
      give_up (client, attempt, verdict, outcome, false, now_ms);
      break;
    case CLAIM_VERDICT_KEY_REFUSED:
      give_up (client, attempt, verdict, NULL, true, now_ms);
      break;
    case CLAIM_VERDICT_WAIT:
      attempt->waits = true;
      break;
    default:
      break;
    }
}

void
claim_client_finish (struct claim_client *client, uint32_t handle,
                     enum claim_record_kind kind,
                     const struct claim_record *outcome, uint64_t now_ms)
{
  assert (handle < client->capacity);
  struct claim_attempt *attempt = &client->attempts[handle];
  assert (attempt->state == ATTEMPT_ASKING
          || attempt->state == ATTEMPT_RUNNING);
  assert (kind == CLAIM_RECORD_RELEASE || attempt->state == ATTEMPT_RUNNING);
  if (!attempt->asked)
    {
      attempt_free (client, attempt);
      return;
    }
  if (kind == CLAIM_RECORD_OUTCOME)
    {
      bool whole = outcome->body_size <= CLAIM_BODY_MAX;
      attempt->record.status = outcome->status;
      attempt->record.body_complete = outcome->body_complete && whole;
      attempt->record.body_size = whole ? outcome->body_size : CLAIM_BODY_MAX;
      attempt->body
          = talloc_memdup (NULL, outcome->body, attempt->record.body_size);
      attempt->record.body = attempt->body;
      if (attempt->body == NULL)
        attempt->record.body_size = 0;
    }
  report (client, attempt, kind, now_ms);
}

void
claim_client_tick (struct claim_client *client, uint64_t now_ms)
{
  if (client->active == 0)
    return;
  for (uint32_t i = 0; i < client->capacity; i++)
    {
      struct claim_attempt *attempt = &client->attempts[i];
      if (attempt->state == ATTEMPT_FREE || attempt->state == ATTEMPT_RUNNING)
        continue;
      if (now_ms >= attempt->deadline_ms)
        {
          if (attempt->state == ATTEMPT_ASKING)
            time_out (client, attempt, now_ms);
          else
            {
              counter_add (&reports_dropped, 1);
              attempt_free (client, attempt);
            }
        }
      else if (now_ms >= attempt->resend_ms)
        send (client, attempt, now_ms);
    }
}
