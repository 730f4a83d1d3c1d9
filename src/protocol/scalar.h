/// Parsers of single values, shared by settings and messages.
#ifndef HAWTHORNSEAM_PROTOCOL_SCALAR_H
#define HAWTHORNSEAM_PROTOCOL_SCALAR_H

#include <stdbool.h>
#include <stdint.h>

/// Parses an IPv4 address other than 0.0.0.0.
/// @param address  set in host byte order
/// @return false when the text is not valid
bool scalar_address (const char *text, uint32_t *address);

/// Parses an IPv4 endpoint such as 10.0.0.1:7000.
/// @param address  set in host byte order
/// @return false when the text is not valid
bool scalar_endpoint (const char *text, uint32_t *address, uint16_t *port);

/// Parses a duration: a number with the unit ms or s, such as 1500ms or 2.5s.
/// @param max_ms  longest accepted duration
/// @param ms      set to the duration, rounded to milliseconds
/// @return false when the text is not valid or the duration is too long
bool scalar_duration_ms (const char *text, uint32_t max_ms, uint32_t *ms);

#endif
