/// Owns the default settings of the move policy.
#include "coordination/move.h"

/* The tolerated ratios keep small real differences from counting as faults: a
   new version may respond about a tenth slower. See
   docs/decisions/move-policy.md for the trials.

   The last share is 90% and not more, because the comparison gets weaker the
   fewer calls stay on the old version. */
const struct move_settings move_defaults = {
  .judge = { .false_alarm = 1.0 / 400,
             .restart_ms = 2000,
             .block_calls = 8,
             .growth_max_per_s = { 5, 2.5, 2.5 },
             .ratios = { { 1.3, { 2, 4, 12, 60, 500 } },
                         { 1.6, { 2.2, 3.5, 7, 20, 100 } },
                         { 2.0, { 3, 5, 10, 30, 200 } } } },
  .shares_bp = { 100, 200, 500, 1000, 2500, 5000, 9000 },
  .share_count = 7,
  .canary_count = 3,
  .canary_fraction = 0.7,
  .reserve_fraction = 0.1,
  .reserve_min_ms = 5000,
  .reserve_max_ms = 90000,
  .dwell_min_ms = 2000,
  .warmup_fraction = 0.05,
  .warmup_min_ms = 3000,
  .warmup_max_ms = 30000,
  .route_calls_min = 20,
  .expected_calls = 3,
  .load_window_ms = 4000,
  .load_excess = 1.0,
  .slots_fraction = 0.75,
};
