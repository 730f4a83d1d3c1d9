/// Starts libevent timers. Holds no state.
#include "transport/timer.h"

#include "base/clock.h"

void
timer_start (struct event *timer, uint64_t after_ms)
{
  struct timeval after
      = { (time_t)(after_ms / 1000), (suseconds_t)(after_ms % 1000 * 1000) };
  event_add (timer, &after);
}

void
timer_start_at (struct event *timer, uint64_t at_ms)
{
  uint64_t now = clock_monotonic_ms ();
  timer_start (timer, at_ms > now ? at_ms - now : 0);
}
