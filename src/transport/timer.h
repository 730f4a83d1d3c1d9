/// Timers of the event loop in milliseconds.
#ifndef HAWTHORNSEAM_TRANSPORT_TIMER_H
#define HAWTHORNSEAM_TRANSPORT_TIMER_H

#include <event2/event.h>
#include <event2/event_struct.h>
#include <stdint.h>

/// Starts an assigned event, or starts it anew, to fire after a time.
void timer_start (struct event *timer, uint64_t after_ms);

/// Starts a timer that fires at an absolute monotonic time, at once when that
/// has passed.
void timer_start_at (struct event *timer, uint64_t at_ms);

#endif
