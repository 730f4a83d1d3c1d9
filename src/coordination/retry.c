/// Stateless; the caller keeps the budget.
#include "coordination/retry.h"

#include <assert.h>

/// One retry, in thousandths.
#define TOKEN 1000

/// Each call adds a tenth of a token.
#define TOKENS_PER_CALL (TOKEN / 10)

/// Bucket size: allows the retries of a short burst of refusals after a time
/// without failures, but not of a long one.
#define TOKENS_MAX (20 * TOKEN)
#define TOKENS_INITIAL (10 * TOKEN)

/// Period after which a budget below one token is refilled to one. A tenth of
/// the calls of a node with few calls would allow no retry for a long time.
#define REFILL_PERIOD_MS 10000

void
retry_init (struct retry_budget *budget, uint64_t now_ms)
{
  budget->tokens = TOKENS_INITIAL;
  budget->refill_start_ms = now_ms;
}

void
retry_count_call (struct retry_budget *budget, uint64_t now_ms)
{
  budget->tokens += TOKENS_PER_CALL;
  if (now_ms - budget->refill_start_ms >= REFILL_PERIOD_MS)
    {
      budget->refill_start_ms = now_ms;
      if (budget->tokens < TOKEN)
        budget->tokens = TOKEN;
    }
  if (budget->tokens > TOKENS_MAX)
    budget->tokens = TOKENS_MAX;
}

enum call_outcome
retry_outcome (enum call_end end)
{
  switch (end)
    {
    case CALL_END_ANSWERED:
      return CALL_RAN;
    case CALL_END_NOT_CONNECTED:
    case CALL_END_REFUSED:
      return CALL_NOT_RUN;
    case CALL_END_UNKNOWN_BY_NODE:
    case CALL_END_LOST:
    case CALL_END_TIMED_OUT:
    case CALL_END_UNFRAMED:
    case CALL_END_CANCELLED:
      return CALL_UNKNOWN;
    }
  assert (!"unknown end of a call");
  return CALL_UNKNOWN;
}

bool
retry_take (struct retry_budget *budget, const struct retry_attempt *last)
{
  assert (last->attempts >= 1);
  if (last->attempts >= RETRY_ATTEMPTS_MAX || last->response_started)
    return false;
  if (last->end == CALL_END_ANSWERED || last->end == CALL_END_CANCELLED
      || last->end == CALL_END_UNFRAMED)
    return false;
  if (last->now_ms + RETRY_LEFT_MIN_MS > last->deadline_ms)
    return false;
  if (retry_outcome (last->end) != CALL_NOT_RUN && !last->idempotent)
    return false;
  if (budget->tokens < TOKEN)
    return false;
  budget->tokens -= TOKEN;
  return true;
}
