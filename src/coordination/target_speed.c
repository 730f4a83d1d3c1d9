/// Owns the smoothed service time at the usual speed.
#include "coordination/target_speed.h"

#include <stdbool.h>

/// Weight of a new sample, 1 / 16. The time changes only with the mix of
/// requests and with the target's software, so it is smoothed over more
/// samples than the admission queue's mean.
#define SMOOTHING_DIVISOR 16

/// Upper bound of a sample, as in the admission queue: a single slow response
/// must not make the target look unusable.
#define SERVICE_US_MAX 2000000

/// Weight of a sample in the mean figure, 1 / 8, as in the admission queue,
/// whose mean time is corrected by it.
#define PERCENT_SMOOTHING_DIVISOR 8

/// A deviation from the usual speed is expected to shrink to a half in 350 ms.
/// Its mean over a request of this length is about a half of it.
#define DEVIATION_US 1000000

/// Largest figure that the admission queue believes. A larger one would make
/// it refuse all work, and without work there are no newer figures.
#define EXPECTED_PERCENT_MAX 400

static uint32_t
smooth (uint32_t mean, uint64_t value, uint32_t divisor)
{
  return (uint32_t)(mean == 0
                        ? value
                        : ((uint64_t)mean * (divisor - 1) + value) / divisor);
}

void
target_speed_note (struct target_speed *speed, uint32_t percent,
                   uint64_t now_us)
{
  if (speed->since_us == 0)
    {
      speed->since_us = now_us;
      speed->us = now_us;
    }
  /* The figure changed at an unknown time since the last one. */
  uint64_t elapsed_us = now_us > speed->us ? now_us - speed->us : 0;
  uint32_t before = speed->percent == 0 ? percent : speed->percent;
  speed->integral += elapsed_us * ((uint64_t)before + percent) / 2;
  speed->percent = percent;
  speed->us = now_us;
}

uint64_t
target_speed_integral (const struct target_speed *speed, uint64_t now_us)
{
  uint64_t elapsed_us = now_us > speed->us ? now_us - speed->us : 0;
  return speed->integral + elapsed_us * speed->percent;
}

void
target_speed_sample (struct target_speed *speed, uint64_t start_us,
                     uint64_t integral, uint64_t now_us)
{
  /* The integral covers only requests that began after the first figure. */
  if (speed->percent == 0 || start_us < speed->since_us || now_us <= start_us)
    return;
  uint64_t elapsed_us = now_us - start_us;
  uint64_t total = target_speed_integral (speed, now_us) - integral;
  uint64_t mean_percent = total / elapsed_us;
  if (mean_percent == 0)
    return;
  uint64_t sample = elapsed_us * TARGET_SPEED_USUAL_PERCENT / mean_percent;
  if (sample > SERVICE_US_MAX)
    sample = SERVICE_US_MAX;
  speed->service_us = smooth (speed->service_us, sample, SMOOTHING_DIVISOR);
  speed->mean_percent
      = smooth (speed->mean_percent, mean_percent, PERCENT_SMOOTHING_DIVISOR);
}

bool
target_speed_is_known (const struct target_speed *speed, uint64_t now_us)
{
  return speed->percent > 0 && speed->service_us > 0
         && now_us < speed->us + TARGET_SPEED_AGE_MS_MAX * 1000;
}

uint32_t
target_speed_expected_us (const struct target_speed *speed, uint32_t mean_us,
                          uint64_t now_us)
{
  if (!target_speed_is_known (speed, now_us) || speed->mean_percent == 0)
    return mean_us;
  uint64_t age_us = now_us > speed->us ? now_us - speed->us : 0;
  int64_t percent = speed->percent < EXPECTED_PERCENT_MAX
                        ? speed->percent
                        : EXPECTED_PERCENT_MAX;
  int64_t deviation = percent - TARGET_SPEED_USUAL_PERCENT;
  int64_t rest = (int64_t)(DEVIATION_US + 2 * age_us + mean_us);
  int64_t expected
      = TARGET_SPEED_USUAL_PERCENT + deviation * DEVIATION_US / rest;
  uint64_t us = (uint64_t)mean_us * (uint64_t)expected / speed->mean_percent;
  return us < UINT32_MAX ? (uint32_t)us : UINT32_MAX;
}
