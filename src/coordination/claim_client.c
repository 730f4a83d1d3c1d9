/// Attempts of this node, including those whose report is not yet stored.
#include "coordination/claim_client.h"

#include "base/counter.h"

#include <assert.h>
#include <ctype.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#define RESEND_DOUBLINGS_MAX 3

enum attempt_state
{
  ATTEMPT_FREE,
  ATTEMPT_CLAIMING, ///< waits for the owner to grant the claim
  ATTEMPT_RUNNING,  ///< granted; the request runs
  ATTEMPT_REPORTING ///< ended; no confirmation yet that the report is stored
};

struct claim_attempt
{
  struct claim_record record; ///< the claim or, after its end, the report
  uint8_t *body;
  uint64_t deadline_ms; ///< of the claim or the report
  uint64_t resend_ms;
  uint32_t partition;
  uint8_t state;
  uint8_t sends;   ///< how often the current record was sent, up to UINT8_MAX
  bool claim_sent; ///< at least once
  bool key_held;   ///< an owner replied that another attempt holds the key
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
resend_delay_ms (uint8_t sends)
{
  unsigned doublings
      = sends < RESEND_DOUBLINGS_MAX ? sends : RESEND_DOUBLINGS_MAX;
  return CLAIM_RESEND_MS << doublings;
}

static void
free_attempt (struct claim_client *client, struct claim_attempt *attempt)
{
  talloc_free (attempt->body);
  *attempt = (struct claim_attempt){ .state = ATTEMPT_FREE };
  client->active--;
  client->free_hint = (uint32_t)(attempt - client->attempts);
}

static struct claim_attempt *
allocate_attempt (struct claim_client *client)
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
find_attempt (struct claim_client *client, uint64_t nonce)
{
  for (uint32_t i = 0; i < client->capacity; i++)
    if (client->attempts[i].state != ATTEMPT_FREE
        && client->attempts[i].record.nonce == nonce)
      return &client->attempts[i];
  return NULL;
}

/// Sends the claim or the report, with the nonce as sequence number.
static void
send_record (struct claim_client *client, struct claim_attempt *attempt,
             uint64_t now_ms)
{
  attempt->resend_ms = now_ms + resend_delay_ms (attempt->sends);
  if (attempt->sends < UINT8_MAX)
    attempt->sends++;
  struct claim_record record = attempt->record;
  if (attempt->state == ATTEMPT_REPORTING)
    {
      client->ops->send_report (client->arg, attempt->partition, record.nonce,
                                &record);
      return;
    }
  attempt->claim_sent = true;
  uint32_t left = (uint32_t)(attempt->deadline_ms - now_ms);
  client->ops->send_claim (client->arg, attempt->partition, record.nonce,
                           &record, left);
}

static void
start_report (struct claim_client *client, struct claim_attempt *attempt,
              enum claim_record_kind kind, uint64_t now_ms)
{
  attempt->record.kind = kind;
  attempt->state = ATTEMPT_REPORTING;
  attempt->sends = 0;
  attempt->deadline_ms = now_ms + CLAIM_REPORT_TIMEOUT_MS;
  send_record (client, attempt, now_ms);
}

/// Ends an attempt that did not run.
/// @param release  release the key, if the claim was ever sent, so that
///                 another attempt can run
static void
end_unrun (struct claim_client *client, struct claim_attempt *attempt,
           enum claim_verdict verdict, const struct claim_record *outcome,
           bool release, uint64_t now_ms)
{
  uint32_t handle = (uint32_t)(attempt - client->attempts);
  if (release && attempt->claim_sent)
    start_report (client, attempt, CLAIM_RECORD_RELEASE, now_ms);
  else
    free_attempt (client, attempt);
  client->ops->answer (client->arg, handle, verdict, outcome);
}

static void
end_timed_out (struct claim_client *client, struct claim_attempt *attempt,
               uint64_t now_ms)
{
  counter_add (&timeouts, 1);
  /* Another attempt holds the key and may have run, so the caller must not be
     told that the request did not run. */
  enum claim_verdict verdict = attempt->key_held
                                   ? CLAIM_VERDICT_OUTCOME_UNKNOWN
                                   : CLAIM_VERDICT_TIMED_OUT;
  end_unrun (client, attempt, verdict, NULL, true, now_ms);
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
    return status_set (STATUS_INVALID,
                       "idempotency key is longer than %d bytes",
                       CLAIM_KEY_MAX);
  uint64_t seconds = 0;
  size_t digits = 0;
  for (; isdigit ((unsigned char)key[digits]); digits++)
    {
      seconds = seconds * 10 + (uint64_t)(key[digits] - '0');
      if (seconds > UINT32_MAX)
        return status_set (
            STATUS_INVALID,
            "creation time of the idempotency key is out of range");
    }
  if (digits == 0 || key[digits] != '-'
      || size - digits - 1 < CLAIM_KEY_RANDOM_MIN)
    return status_set (STATUS_INVALID,
                       "idempotency key is not of the form <unix "
                       "seconds>-<random of at least %d bytes>",
                       CLAIM_KEY_RANDOM_MIN);
  for (size_t i = digits; i < size; i++)
    if (key[i] <= ' ' || key[i] > '~')
      return status_set (
          STATUS_INVALID,
          "idempotency key contains byte %u; only visible ASCII is allowed",
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
    return status_set (STATUS_INVALID, "idempotency key is older than %u s",
                       client->window_s);
  if (created_s > now_s + CLAIM_CLOCK_SKEW_S)
    return status_set (
        STATUS_INVALID,
        "creation time of the idempotency key is more than %d s in the future",
        CLAIM_CLOCK_SKEW_S);
  struct claim_attempt *fresh = allocate_attempt (client);
  if (fresh == NULL)
    return status_set (STATUS_UNAVAILABLE, "too many open claim attempts: %u",
                       client->active);
  counter_add (&attempts_total, 1);
  *fresh = (struct claim_attempt){
    .record = { .kind = CLAIM_RECORD_CLAIM,
                .nonce = rng_u64 (client->rng),
                .created_s = created_s },
    .state = ATTEMPT_CLAIMING,
    .deadline_ms = now_ms + deadline_ms,
    .resend_ms = now_ms,
  };
  hash_content (&fresh->record.key, key, strlen (key));
  /* The claim table indexes by the first bytes of the hash; other bytes choose
     the partition. */
  uint64_t bits;
  memcpy (&bits, fresh->record.key.bytes + 8, sizeof bits);
  fresh->partition = (uint32_t)(bits % client->partitions);
  client->active++;
  *attempt = (uint32_t)(fresh - client->attempts);
  if (deadline_ms > 0)
    send_record (client, fresh, now_ms);
  return STATUS_OK;
}

void
claim_client_reply (struct claim_client *client, uint64_t seq,
                    enum claim_verdict verdict,
                    const struct claim_record *outcome, uint64_t now_ms)
{
  struct claim_attempt *attempt = find_attempt (client, seq);
  if (attempt == NULL)
    return;
  if (attempt->state == ATTEMPT_REPORTING && verdict == CLAIM_VERDICT_STORED)
    {
      free_attempt (client, attempt);
      return;
    }
  if (verdict == CLAIM_VERDICT_NOT_OWNER && attempt->state != ATTEMPT_RUNNING)
    {
      /* The views of two members differ for a short time after a change of
         membership; ask again soon. */
      uint64_t retry_ms = now_ms + CLAIM_RESEND_MS / 2;
      if (attempt->resend_ms > retry_ms)
        attempt->resend_ms = retry_ms;
      return;
    }
  if (attempt->state != ATTEMPT_CLAIMING)
    return;
  if (now_ms >= attempt->deadline_ms)
    {
      end_timed_out (client, attempt, now_ms);
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
    case CLAIM_VERDICT_OUTCOME_UNKNOWN:
      end_unrun (client, attempt, verdict, outcome, false, now_ms);
      break;
    case CLAIM_VERDICT_KEY_REFUSED:
      end_unrun (client, attempt, verdict, NULL, true, now_ms);
      break;
    case CLAIM_VERDICT_WAIT:
      attempt->key_held = true;
      break;
    default:
      break;
    }
}

void
claim_client_end (struct claim_client *client, uint32_t handle,
                  enum claim_record_kind kind,
                  const struct claim_record *outcome, uint64_t now_ms)
{
  assert (handle < client->capacity);
  struct claim_attempt *attempt = &client->attempts[handle];
  assert (attempt->state == ATTEMPT_CLAIMING
          || attempt->state == ATTEMPT_RUNNING);
  assert (kind == CLAIM_RECORD_RELEASE || attempt->state == ATTEMPT_RUNNING);
  if (!attempt->claim_sent)
    {
      free_attempt (client, attempt);
      return;
    }
  if (kind == CLAIM_RECORD_OUTCOME)
    {
      bool fits = outcome->body_size <= CLAIM_BODY_MAX;
      attempt->record.status = outcome->status;
      attempt->record.body_complete = outcome->body_complete && fits;
      attempt->record.body_size = fits ? outcome->body_size : CLAIM_BODY_MAX;
      attempt->body
          = talloc_memdup (NULL, outcome->body, attempt->record.body_size);
      attempt->record.body = attempt->body;
      if (attempt->body == NULL)
        attempt->record.body_size = 0;
    }
  start_report (client, attempt, kind, now_ms);
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
          if (attempt->state == ATTEMPT_CLAIMING)
            end_timed_out (client, attempt, now_ms);
          else
            {
              counter_add (&reports_dropped, 1);
              free_attempt (client, attempt);
            }
        }
      else if (now_ms >= attempt->resend_ms)
        send_record (client, attempt, now_ms);
    }
}
