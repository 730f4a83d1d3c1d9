/// Points in time as ISO 8601 text in UTC, such as 2026-03-12T06:00:00Z.
#ifndef HAWTHORNSEAM_PROTOCOL_ISO_TIME_H
#define HAWTHORNSEAM_PROTOCOL_ISO_TIME_H

#include "base/status.h"

#include <stdint.h>

#define ISO_TIME_SIZE 32 ///< bytes of a printed time, with terminator

/// Parses YYYY-MM-DDThh:mm:ssZ or YYYY-MM-DDThh:mm:ss.mmmZ.
/// @param ms  set to milliseconds since 1970-01-01T00:00:00Z
/// @return STATUS_INVALID for any other text
enum status iso_time_parse (const char *text, uint64_t *ms);

/// Prints a time, with milliseconds only when they are not 0. A time after the
/// year 9999 is printed as the last second of that year.
void iso_time_print (uint64_t ms, char text[ISO_TIME_SIZE]);

#endif
