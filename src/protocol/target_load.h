/// Load header that a target may add to its responses.
#ifndef HAWTHORNSEAM_PROTOCOL_TARGET_LOAD_H
#define HAWTHORNSEAM_PROTOCOL_TARGET_LOAD_H

#include "base/status.h"

#include <stdint.h>

/// Largest count of requests or slots that is accepted.
#define TARGET_LOAD_COUNT_MAX 1000000

/// Range of accepted speed figures, percent: ten times as fast as usual to a
/// hundred times as slow. Anything else is taken for an error of the target.
#define TARGET_SPEED_PERCENT_MIN 10
#define TARGET_SPEED_PERCENT_MAX 10000

/// Load as the target itself states it.
struct target_load
{
  uint32_t running;
  uint32_t waiting;
  uint32_t slots;
  uint32_t speed_percent; ///< how long work takes now; 100: as usual, 0: not
                          ///< stated
};

/// Parses three or four decimal numbers separated by commas, each of which may
/// be surrounded by spaces and tabs. The fourth may have a fraction, which is
/// dropped.
/// @param text  NULL: the header is missing
/// @return STATUS_INVALID when a field is missing, malformed or out of range;
///         `load` is then unchanged
enum status target_load_parse (const char *text, struct target_load *load);

#endif
