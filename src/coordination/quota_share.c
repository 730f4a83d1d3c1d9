/// Owns the share of one account at an entry node.
#include "coordination/quota_share.h"

#include <math.h>
#include <string.h>

/// Time constants of the two estimates of the demand, and the shortest time of
/// one sample. The fast one applies where it differs by more than three
/// standard deviations: the demand has changed.
#define FAST_MS 800.0
#define SLOW_MS 5000.0
#define SAMPLE_MS 200
#define DEVIATIONS 3.0

/// Requests that a pause has to lack before the estimate follows it at once;
/// a pause in steady demand is that long with a probability of 2 %.
#define IDLE_REQUESTS 4.0

/// A part that is reduced by more than this is confirmed soon.
#define REDUCED_SHARE 0.1

/// A returned token that was taken within this time replaces itself: half of
/// the tolerance is a quarter of a second of the rate.
#define RETURN_MS 250

/// Older returned tokens, per second, as part of the share's rate, and how
/// many may come at once: a burst of old returns would run in another window
/// than the one in which they were taken.
#define LATE_RATE 0.02
#define LATE_MAX 4.0

/// The local rate is one request per this part of the rate and nodes.
#define LOCAL_DIVISOR 20.0

/// Time that a request may be expected to wait for the share.
#define SHARE_WAIT_S 0.5

void
quota_share_init (struct quota_share *share)
{
  memset (share, 0, sizeof *share);
}

void
quota_share_set_limit (struct quota_share *share,
                       const struct quota_limit *limit)
{
  share->limit = *limit;
}

static double
rate_of (const struct quota_share *share, uint64_t now_ms)
{
  return now_ms < share->until_ms
             ? share->limit.rate_per_s * share->part.rate_ppm / QUOTA_PPM
             : 0;
}

static double
burst_of (const struct quota_share *share)
{
  return quota_part_burst (&share->part, &share->limit);
}

static void
refill (struct quota_share *share, uint64_t now_ms)
{
  double passed_s = (double)(now_ms - share->refilled_ms) / 1000;
  share->refilled_ms = now_ms;
  if (now_ms >= share->until_ms)
    {
      share->part = (struct quota_part){ 0 };
      share->tokens = 0;
      return;
    }
  double rate = rate_of (share, now_ms);
  double burst = burst_of (share);
  share->tokens = fmin (burst, share->tokens + rate * passed_s);
  share->late_tokens = fmin (fmin (LATE_MAX, burst),
                             share->late_tokens + LATE_RATE * rate * passed_s);
}

void
quota_share_arrive (struct quota_share *share, uint64_t now_ms)
{
  if (share->estimated_ms == 0)
    share->estimated_ms = now_ms;
  if (share->used_ms == 0 || now_ms - share->used_ms >= QUOTA_USED_MS)
    share->next_report_ms = 0;
  share->used_ms = now_ms;
  share->arrived++;
}

bool
quota_share_take (struct quota_share *share, struct quota_token *token,
                  uint64_t now_ms)
{
  refill (share, now_ms);
  if (share->granted > 0 && now_ms < share->granted_until_ms)
    share->granted--;
  else if (share->tokens >= 1)
    share->tokens--;
  else
    return false;
  *token = (struct quota_token){ .taken = true, .taken_ms = now_ms };
  return true;
}

void
quota_share_put_back (struct quota_share *share, struct quota_token *token,
                      uint64_t now_ms)
{
  if (!token->taken)
    return;
  token->taken = false;
  refill (share, now_ms);
  if (now_ms - token->taken_ms >= RETURN_MS)
    {
      if (share->late_tokens < 1)
        return;
      share->late_tokens--;
    }
  share->tokens = fmin (burst_of (share), share->tokens + 1);
}

static void
estimate (struct quota_share *share, uint64_t now_ms)
{
  double passed_ms = (double)(now_ms - share->estimated_ms);
  if (share->estimated_ms == 0 || passed_ms < SAMPLE_MS)
    return;
  double sample = share->arrived * 1000 / passed_ms;
  share->fast_per_s
      = sample + (share->fast_per_s - sample) * exp (-passed_ms / FAST_MS);
  share->slow_per_s
      = sample + (share->slow_per_s - sample) * exp (-passed_ms / SLOW_MS);
  share->arrived = 0;
  share->estimated_ms = now_ms;
}

static double
demand_of (const struct quota_share *share, uint64_t now_ms)
{
  double fast = share->fast_per_s;
  double slow = share->slow_per_s;
  bool grown = fast > slow + DEVIATIONS * sqrt (slow / 2 + 1);
  bool fallen = fast + DEVIATIONS * sqrt (fast / 2 + 1) < slow;
  double demand = grown || fallen ? fast : slow;
  /* A pause that is long for this demand: its callers have gone. */
  double idle_s = (double)(now_ms - share->used_ms) / 1000;
  if (demand * idle_s > IDLE_REQUESTS)
    demand = 1 / idle_s;
  return fmax (demand, share->arrived * 1000 / SLOW_MS);
}

bool
quota_share_is_due (const struct quota_share *share, uint64_t now_ms)
{
  return share->used_ms != 0 && now_ms - share->used_ms < QUOTA_USED_MS
         && now_ms >= share->next_report_ms;
}

void
quota_share_report (struct quota_share *share, struct quota_report *report,
                    uint64_t now_ms)
{
  refill (share, now_ms);
  estimate (share, now_ms);
  report->demand_per_s = demand_of (share, now_ms);
  report->held = share->part;
  report->tokens = (uint32_t)share->tokens;
  /* All accounts of a node are due at the same time, to go into one message
     to each owner. */
  if (now_ms >= share->next_report_ms)
    share->next_report_ms = (now_ms / QUOTA_RENEW_MS + 1) * QUOTA_RENEW_MS;
}

void
quota_share_release (struct quota_share *share, uint64_t now_ms)
{
  share->part = (struct quota_part){ 0 };
  share->tokens = 0;
  share->fast_per_s = 0;
  share->slow_per_s = 0;
  share->arrived = 0;
  share->estimated_ms = now_ms;
  share->next_report_ms = now_ms;
}

bool
quota_share_asks_second (const struct quota_share *share, uint64_t now_ms)
{
  return now_ms < share->second_until_ms;
}

void
quota_share_decided (struct quota_share *share,
                     const struct quota_answer *answer, uint32_t pending,
                     uint64_t sent_ms, uint64_t now_ms)
{
  refill (share, now_ms);
  share->undecided_ms = 0;
  share->over_wait_ms = answer->wait_ms;
  if (answer->part.rate_ppm < (1 - REDUCED_SHARE) * share->part.rate_ppm
      || answer->part.burst_ppm < (1 - REDUCED_SHARE) * share->part.burst_ppm)
    share->next_report_ms = now_ms + QUOTA_CONFIRM_MS;
  share->part = answer->part;
  share->until_ms = sent_ms + QUOTA_SHARE_MS;
  uint32_t granted = answer->tokens < pending ? answer->tokens : pending;
  share->granted = granted;
  share->granted_until_ms = sent_ms + QUOTA_TOKEN_MS;
  share->tokens
      = fmin (burst_of (share), share->tokens + (answer->tokens - granted));
  if (answer->wait_ms == 0)
    return;
  uint32_t again_ms = answer->wait_ms;
  if (again_ms < QUOTA_ASK_AGAIN_MS)
    again_ms = QUOTA_ASK_AGAIN_MS;
  if (again_ms > QUOTA_OVER_WAIT_MS)
    again_ms = QUOTA_OVER_WAIT_MS;
  share->next_ask_ms = now_ms + again_ms;
}

void
quota_share_undecided (struct quota_share *share, bool asked, uint64_t now_ms)
{
  if (!asked)
    return;
  if (!quota_share_asks_second (share, now_ms))
    {
      share->second_until_ms = now_ms + QUOTA_SECOND_MS;
      return;
    }
  share->second_until_ms = 0;
  share->over_wait_ms = 0;
  if (share->undecided_ms == 0)
    share->undecided_ms = now_ms;
  share->next_ask_ms = now_ms + QUOTA_ASK_AGAIN_MS;
  if (now_ms - share->undecided_ms >= QUOTA_FAIL_FAST_MS)
    share->next_ask_ms = now_ms + QUOTA_OVER_WAIT_MS;
}

bool
quota_share_is_far_over (const struct quota_share *share, uint64_t now_ms)
{
  return share->over_wait_ms > QUOTA_OVER_WAIT_MS
         && now_ms < share->next_ask_ms;
}

bool
quota_share_is_hopeless (const struct quota_share *share, uint32_t waiting,
                         uint64_t now_ms)
{
  return waiting > SHARE_WAIT_S * rate_of (share, now_ms)
         && share->undecided_ms != 0
         && now_ms - share->undecided_ms >= QUOTA_FAIL_FAST_MS;
}

uint64_t
quota_share_reject_before (const struct quota_share *share, uint64_t now_ms)
{
  if (share->over_wait_ms == 0)
    return 0;
  return share->over_wait_ms > QUOTA_OVER_WAIT_MS
             ? UINT64_MAX
             : now_ms + share->over_wait_ms;
}

bool
quota_share_take_local (struct quota_share *share, size_t nodes,
                        uint64_t now_ms)
{
  if (nodes == 0 || share->undecided_ms == 0 || now_ms < share->until_ms)
    {
      share->local_ms = 0;
      return false;
    }
  double rate = share->limit.rate_per_s / (LOCAL_DIVISOR * (double)nodes);
  double passed_s
      = share->local_ms == 0 ? 0 : (double)(now_ms - share->local_ms) / 1000;
  share->local_tokens = share->local_ms == 0
                            ? 0
                            : fmin (1, share->local_tokens + rate * passed_s);
  share->local_ms = now_ms;
  if (share->local_tokens < 1)
    return false;
  share->local_tokens--;
  return true;
}
