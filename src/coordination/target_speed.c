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
  speed->service_us
      = speed->service_us == 0
            ? (uint32_t)sample
            : (uint32_t)(((uint64_t)speed->service_us * (SMOOTHING_DIVISOR - 1)
                          + sample)
                         / SMOOTHING_DIVISOR);
}

bool
target_speed_is_known (const struct target_speed *speed, uint64_t now_us)
{
  return speed->percent > 0 && speed->service_us > 0
         && now_us < speed->us + TARGET_SPEED_AGE_MS_MAX * 1000;
}
