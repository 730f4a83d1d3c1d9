/// Readers of single values that settings and messages share.
#ifndef HAWTHORNSEAM_PROTOCOL_SCALAR_H
#define HAWTHORNSEAM_PROTOCOL_SCALAR_H

#include <stdbool.h>
#include <stdint.h>

/// Reads an IPv4 address that is not 0.0.0.0.
/// @param address  host byte order
bool scalar_address (const char *text, uint32_t *address);

/// Reads an endpoint such as 10.0.0.1:7000.
bool scalar_endpoint (const char *text, uint32_t *address, uint16_t *port);

/// Reads a time: a number and its unit, "ms" or "s", such as 1500ms or 2.5s.
/// @param most_ms  longest time that is accepted
bool scalar_time_ms (const char *text, uint32_t most_ms, uint32_t *ms);

#endif
