/// Timers of the event loop in milliseconds.
#ifndef HAWTHORNSEAM_TRANSPORT_TIMER_H
#define HAWTHORNSEAM_TRANSPORT_TIMER_H

#include <event2/event.h>
#include <event2/event_struct.h>
#include <stdint.h>

/// Starts or restarts an event that was set up with evtimer_assign.
/// @param after_ms  time until it fires
void timer_start (struct event *timer, uint64_t after_ms);

/// Starts or restarts a timer that fires at an absolute monotonic time, or
/// from the next turn of the event loop if that time has passed.
void timer_start_at (struct event *timer, uint64_t at_ms);

#endif
