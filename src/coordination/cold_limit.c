/// Token bucket that starts empty with each cold time: requests that the
/// target got shortly before count in the same second.
#include "coordination/cold_limit.h"

void
cold_limit_set (struct cold_limit *limit, double per_s, double slack)
{
  limit->per_s = per_s;
  limit->burst = slack / 2 > 1 ? slack / 2 : 1;
}

bool
cold_limit_is_cold (const struct cold_limit *limit, uint64_t now_ms)
{
  return limit->suspected || now_ms < limit->until_ms;
}

static void
begin (struct cold_limit *limit, uint64_t now_ms)
{
  if (cold_limit_is_cold (limit, now_ms))
    return;
  limit->tokens = 0;
  limit->updated_ms = now_ms;
}

void
cold_limit_report (struct cold_limit *limit, uint32_t cold_ms, uint64_t now_ms)
{
  if (cold_ms > 0)
    begin (limit, now_ms);
  limit->until_ms = cold_ms > 0 ? now_ms + cold_ms : 0;
  limit->suspected = false;
}

void
cold_limit_suspect (struct cold_limit *limit, uint64_t now_ms)
{
  begin (limit, now_ms);
  limit->suspected = true;
}

/// @return tokens at a time
static double
tokens_at (const struct cold_limit *limit, uint64_t now_ms)
{
  double tokens = limit->tokens
                  + (double)(now_ms - limit->updated_ms) / 1000 * limit->per_s;
  return tokens < limit->burst ? tokens : limit->burst;
}

bool
cold_limit_take (struct cold_limit *limit, uint64_t now_ms)
{
  if (limit->per_s <= 0 || !cold_limit_is_cold (limit, now_ms))
    return true;
  limit->tokens = tokens_at (limit, now_ms);
  limit->updated_ms = now_ms;
  if (limit->tokens < 1)
    return false;
  limit->tokens -= 1;
  return true;
}

uint32_t
cold_limit_wait_ms (const struct cold_limit *limit, uint64_t now_ms)
{
  double missing = 1 - tokens_at (limit, now_ms);
  return limit->per_s <= 0 || missing <= 0
             ? 0
             : (uint32_t)(missing / limit->per_s * 1000) + 1;
}
