/// Wraps clock_gettime. Holds no state.
#include "base/clock.h"

#include <time.h>

/// Counts the time in which the VM was suspended: a lease, a deadline or a
/// report that ran out meanwhile is seen as such by the next comparison.
#define STEADY_CLOCK CLOCK_BOOTTIME

static uint64_t
read_us (clockid_t id)
{
  struct timespec now;
  clock_gettime (id, &now);
  return (uint64_t)now.tv_sec * 1000000 + (uint64_t)now.tv_nsec / 1000;
}

uint64_t
clock_monotonic_us (void)
{
  return read_us (STEADY_CLOCK);
}

uint64_t
clock_monotonic_ms (void)
{
  return read_us (STEADY_CLOCK) / 1000;
}

uint64_t
clock_wall_ms (void)
{
  return read_us (CLOCK_REALTIME) / 1000;
}
