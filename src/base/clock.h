/// Reads the system clocks. Modules that only make decisions, without I/O,
/// take times as arguments instead.
#ifndef HAWTHORNSEAM_BASE_CLOCK_H
#define HAWTHORNSEAM_BASE_CLOCK_H

#include <stdint.h>

/// @return monotonic time in milliseconds, that of a suspension included
uint64_t clock_monotonic_ms (void);

/// @return monotonic time in microseconds, that of a suspension included
uint64_t clock_monotonic_us (void);

/// @return wall time in milliseconds since 1970-01-01T00:00:00Z
uint64_t clock_wall_ms (void);

#endif
