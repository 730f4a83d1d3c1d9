/// Owns nothing; the caller keeps what is known of the store and the relays.
#include "coordination/store_pace.h"

/// Probes of all nodes together that the interval aims at, per second.
#define PROBES_PER_S 64

/// Growth of the interval with each failure while the number of nodes is not
/// known, ms.
#define FAILURE_STEP_MS 250

uint64_t
store_pace_probe_ms (const struct store_pace_view *view)
{
  if (view->is_relay)
    return STORE_PACE_MS_MIN;
  uint64_t max_ms = view->relay == STORE_PACE_RELAY_REFUSING
                        ? STORE_PACE_FOLLOWER_MS_MAX
                        : STORE_PACE_MS_MAX;
  uint64_t pace_ms
      = view->nodes > 0
            ? ((uint64_t)view->nodes * 1000 + PROBES_PER_S - 1) / PROBES_PER_S
            : STORE_PACE_MS_MIN + (uint64_t)view->failures * FAILURE_STEP_MS;
  if (pace_ms < STORE_PACE_MS_MIN)
    return STORE_PACE_MS_MIN;
  return pace_ms < max_ms ? pace_ms : max_ms;
}
