/// Derives the times of a planned stop from the grace period.
#include "coordination/stop_plan.h"

/// Longest times for which requests are accepted, ms. Callers stop sending
/// after two failed readiness probes, which come one second apart; the
/// platform excuses no request that is sent later than 3 s after the signal.
#define ACCEPT_CALLERS_MS_MAX 2900
#define ACCEPT_PEERS_MS_MAX 2400

/// Requests are accepted for this part of the grace period at most: half of it
/// from callers, two fifths from other nodes.
#define ACCEPT_CALLERS_DIVISOR 2
#define ACCEPT_PEERS_PERMILLE 400

/// Responses that have not started when this fraction (1 / 7) of the grace
/// period is left are given up. The platform does not count requests at which
/// a target is still at work in the last sixth.
#define ANSWER_DIVISOR 7

/// Time before the end of the grace period at which the process ends: half of
/// what ANSWER_DIVISOR leaves, and no more than this, ms.
#define EXIT_RESERVE_MS_MAX 250

static uint32_t
min_ms (uint32_t a, uint32_t b)
{
  return a < b ? a : b;
}

struct stop_plan
stop_plan_make (uint32_t grace_ms)
{
  uint32_t answer_reserve_ms = grace_ms / ANSWER_DIVISOR;
  return (struct stop_plan){
    .accept_peers_ms
    = min_ms (ACCEPT_PEERS_MS_MAX,
              (uint32_t)((uint64_t)grace_ms * ACCEPT_PEERS_PERMILLE / 1000)),
    .accept_callers_ms
    = min_ms (ACCEPT_CALLERS_MS_MAX, grace_ms / ACCEPT_CALLERS_DIVISOR),
    .answer_by_ms = grace_ms - answer_reserve_ms,
    .exit_by_ms
    = grace_ms - min_ms (EXIT_RESERVE_MS_MAX, answer_reserve_ms / 2),
  };
}
