/// Owns the leased tokens of one account at the entry node.
#include "coordination/quota_lease.h"

#include <math.h>
#include <string.h>

/// Time constant of the demand estimate.
#define DEMAND_MS 1000.0

/// Time constant of the usual demand: longer than a change of the ranking
/// takes to settle, so that a jump of the demand hardly changes it before
/// then.
#define USUAL_MS 10000.0

/// Requests of the usual demand that may come at once, as time at its rate.
#define SETTLING_BURST_MS 500.0

/// Answers of the owner and of the standby.
#define NOT_READY_ANSWERS 2

/// Unused tokens go back after this time. The rest of the lease is left for
/// the message.
#define GIVE_BACK_MS 250

/// The local share is one request per this part of the rate and nodes.
#define LOCAL_DIVISOR 2.0

void
quota_lease_init (struct quota_lease *lease)
{
  memset (lease, 0, sizeof *lease);
}

static void
decay (struct quota_lease *lease, uint64_t now_ms)
{
  double passed = (double)(now_ms - lease->demand_ms);
  lease->demand_per_s *= exp (-passed / DEMAND_MS);
  lease->demand_ms = now_ms;
}

void
quota_lease_arrive (struct quota_lease *lease, uint64_t now_ms)
{
  decay (lease, now_ms);
  lease->demand_per_s += 1000 / DEMAND_MS;
  if (lease->undecided_ms != 0 || lease->over_wait_ms > 0)
    return;
  lease->usual_per_s *= exp (-(double)(now_ms - lease->usual_ms) / USUAL_MS);
  lease->usual_per_s += 1000 / USUAL_MS;
  lease->usual_ms = now_ms;
}

static bool
is_valid (const struct quota_batch *batch, uint64_t now_ms)
{
  return batch->tokens > 0 && now_ms < batch->sent_ms + QUOTA_LEASE_MS;
}

bool
quota_lease_take (struct quota_lease *lease, struct quota_token *token,
                  uint64_t now_ms)
{
  struct quota_batch *oldest = NULL;
  for (size_t i = 0; i < QUOTA_BATCHES; i++)
    {
      struct quota_batch *batch = &lease->batches[i];
      if (is_valid (batch, now_ms)
          && (oldest == NULL || batch->sent_ms < oldest->sent_ms))
        oldest = batch;
    }
  if (oldest == NULL)
    return false;
  oldest->tokens--;
  *token = (struct quota_token){ .taken = true,
                                 .sent_ms = oldest->sent_ms,
                                 .lender = oldest->lender };
  return true;
}

/// Adds leased tokens.
static void
add_tokens (struct quota_lease *lease, uint32_t tokens, uint64_t lender,
            uint64_t sent_ms, uint64_t now_ms)
{
  struct quota_batch added
      = { .tokens = tokens, .sent_ms = sent_ms, .lender = lender };
  if (!is_valid (&added, now_ms))
    return;
  for (size_t i = 0; i < QUOTA_BATCHES; i++)
    {
      struct quota_batch *batch = &lease->batches[i];
      if (batch->tokens > 0 && batch->sent_ms == sent_ms
          && batch->lender == lender)
        {
          batch->tokens += tokens;
          return;
        }
    }
  /* The batch that expires first makes room. */
  struct quota_batch *place = &lease->batches[0];
  for (size_t i = 0; i < QUOTA_BATCHES; i++)
    {
      struct quota_batch *batch = &lease->batches[i];
      if (!is_valid (batch, now_ms))
        {
          place = batch;
          break;
        }
      if (batch->sent_ms < place->sent_ms)
        place = batch;
    }
  *place = added;
}

void
quota_lease_put_back (struct quota_lease *lease, struct quota_token *token,
                      uint64_t now_ms)
{
  if (!token->taken || token->lender == 0)
    return;
  token->taken = false;
  if (now_ms < token->sent_ms + QUOTA_LEASE_MS)
    {
      add_tokens (lease, 1, token->lender, token->sent_ms, now_ms);
      return;
    }
  if (lease->unused_lender != token->lender)
    lease->unused = 0;
  lease->unused_lender = token->lender;
  lease->unused++;
}

uint32_t
quota_lease_expected (struct quota_lease *lease, uint64_t now_ms)
{
  decay (lease, now_ms);
  return (uint32_t)(lease->demand_per_s * QUOTA_AHEAD_MS / 1000 + 0.5);
}

uint32_t
quota_lease_give_back (struct quota_lease *lease, uint64_t lender,
                       uint64_t now_ms)
{
  uint32_t count = lease->unused_lender == lender ? lease->unused : 0;
  if (count > 0)
    lease->unused = 0;
  for (size_t i = 0; i < QUOTA_BATCHES; i++)
    {
      struct quota_batch *batch = &lease->batches[i];
      if (!is_valid (batch, now_ms) || batch->lender != lender
          || now_ms - batch->sent_ms < GIVE_BACK_MS)
        continue;
      count += batch->tokens;
      batch->tokens = 0;
    }
  return count;
}

bool
quota_lease_asks_standby (const struct quota_lease *lease, uint64_t now_ms)
{
  return now_ms < lease->standby_until_ms;
}

void
quota_lease_decided (struct quota_lease *lease, uint32_t tokens,
                     uint32_t wait_ms, uint64_t lender, uint64_t sent_ms,
                     uint64_t now_ms)
{
  if (lease->contact_ms == 0
      || now_ms - lease->contact_ms >= QUOTA_LOCAL_END_MS)
    lease->first_contact_ms = now_ms;
  lease->contact_ms = now_ms;
  lease->undecided_ms = 0;
  lease->not_ready = 0;
  lease->was_over = false;
  lease->settling_ms = 0;
  lease->over_wait_ms = wait_ms;
  add_tokens (lease, tokens, lender, sent_ms, now_ms);
  if (wait_ms == 0)
    return;
  uint32_t again_ms = wait_ms;
  if (again_ms < QUOTA_ASK_AGAIN_MS)
    again_ms = QUOTA_ASK_AGAIN_MS;
  if (again_ms > QUOTA_OVER_WAIT_MS)
    again_ms = QUOTA_OVER_WAIT_MS;
  lease->next_ask_ms = now_ms + again_ms;
}

bool
quota_lease_undecided (struct quota_lease *lease, bool answered,
                       uint64_t now_ms)
{
  lease->not_ready = answered ? lease->not_ready + 1 : 0;
  lease->was_over = lease->was_over || lease->over_wait_ms > 0;
  if (!quota_lease_asks_standby (lease, now_ms))
    {
      lease->standby_until_ms = now_ms + QUOTA_STANDBY_MS;
      return false;
    }
  lease->standby_until_ms = 0;
  lease->over_wait_ms = 0;
  if (lease->undecided_ms == 0)
    lease->undecided_ms = now_ms;
  lease->next_ask_ms = now_ms + QUOTA_ASK_AGAIN_MS;
  return true;
}

bool
quota_lease_take_settling (struct quota_lease *lease, uint64_t now_ms)
{
  if (lease->contact_ms == 0 || lease->was_over
      || lease->not_ready < NOT_READY_ANSWERS
      || now_ms - lease->contact_ms >= QUOTA_SILENCE_MS)
    return false;
  double most = fmax (1, lease->usual_per_s * SETTLING_BURST_MS / 1000);
  double passed_s = (double)(now_ms - lease->settling_ms) / 1000;
  lease->settling_tokens
      = lease->settling_ms == 0
            ? 1
            : fmin (most,
                    lease->settling_tokens + lease->usual_per_s * passed_s);
  lease->settling_ms = now_ms;
  if (lease->settling_tokens < 1)
    return false;
  lease->settling_tokens--;
  return true;
}

bool
quota_lease_is_far_over (const struct quota_lease *lease, uint64_t now_ms)
{
  return lease->over_wait_ms > QUOTA_OVER_WAIT_MS
         && now_ms < lease->next_ask_ms;
}

bool
quota_lease_is_hopeless (const struct quota_lease *lease, uint32_t waiting,
                         uint64_t now_ms)
{
  return waiting > 0 && lease->undecided_ms != 0
         && now_ms - lease->undecided_ms >= QUOTA_FAIL_FAST_MS;
}

uint64_t
quota_lease_reject_before (const struct quota_lease *lease, uint64_t now_ms)
{
  if (lease->over_wait_ms == 0)
    return 0;
  return lease->over_wait_ms > QUOTA_OVER_WAIT_MS
             ? UINT64_MAX
             : now_ms + lease->over_wait_ms;
}

bool
quota_lease_take_local (struct quota_lease *lease,
                        const struct quota_limit *limit, size_t nodes,
                        uint64_t now_ms)
{
  uint64_t silent_ms = now_ms - lease->contact_ms;
  if (lease->contact_ms == 0 || nodes == 0 || silent_ms < QUOTA_SILENCE_MS
      || silent_ms >= QUOTA_LOCAL_END_MS
      || lease->contact_ms - lease->first_contact_ms < QUOTA_KNOWN_MS)
    {
      lease->local_ms = 0;
      return false;
    }
  double rate = limit->rate_per_s / (LOCAL_DIVISOR * (double)nodes);
  double passed_s
      = lease->local_ms == 0 ? 0 : (double)(now_ms - lease->local_ms) / 1000;
  lease->local_tokens = lease->local_ms == 0
                            ? 0
                            : fmin (1, lease->local_tokens + rate * passed_s);
  lease->local_ms = now_ms;
  if (lease->local_tokens < 1)
    return false;
  lease->local_tokens--;
  return true;
}
