/// Query of an operator's question where a request would be sent.
#ifndef HAWTHORNSEAM_PROTOCOL_EXPLAIN_QUERY_H
#define HAWTHORNSEAM_PROTOCOL_EXPLAIN_QUERY_H

#include "base/status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define EXPLAIN_PATH "/explain"

/// Longest values after decoding, bytes. The path is limited by the head that
/// carries it encoded, 16 KiB; names of accounts with a quota have 255 bytes.
#define EXPLAIN_HOST_MAX 255
#define EXPLAIN_TARGET_MAX 4096
#define EXPLAIN_ACCOUNT_MAX 255

/// Bytes of an encoded query: each byte may take three, and the names.
#define EXPLAIN_QUERY_MAX                                                     \
  (3 * (EXPLAIN_HOST_MAX + EXPLAIN_TARGET_MAX + EXPLAIN_ACCOUNT_MAX) + 128)

/// Largest body, bytes; no configuration allows a larger one.
#define EXPLAIN_BODY_BYTES_MAX (1ull << 40)

struct explain_query
{
  char host[EXPLAIN_HOST_MAX + 1];
  char path[EXPLAIN_TARGET_MAX + 1];
  char account[EXPLAIN_ACCOUNT_MAX + 1]; ///< empty: none
  uint64_t body_bytes;
  uint32_t deadline_ms; ///< 0: none, the route's timeout applies
};

/// @return true when a request's target is EXPLAIN_PATH, with or without a
///         query
bool explain_query_is (const char *target);

/// Reads the query of a request's target. Each parameter may occur once;
/// others are refused, so that a mistyped one is noticed.
/// @return STATUS_INVALID with a message
enum status explain_query_read (const char *target,
                                struct explain_query *query);

/// Writes a request's target, zero-terminated.
/// @return bytes without the zero
size_t explain_query_write (const struct explain_query *query,
                            char text[EXPLAIN_QUERY_MAX]);

#endif
