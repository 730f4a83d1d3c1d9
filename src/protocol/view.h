/// Codec of a node's view of the store, or of what changed in it, for other
/// nodes: JSON, compressed with zstd when it is large.
#ifndef HAWTHORNSEAM_PROTOCOL_VIEW_H
#define HAWTHORNSEAM_PROTOCOL_VIEW_H

#include "base/status.h"
#include "state/mirror.h"

/// Largest encoded view, bytes.
#define VIEW_BYTES_MAX (4u * 1024 * 1024)

/// Views up to this size are sent as plain JSON, bytes.
#define VIEW_PLAIN_MAX 4096

/// @param after  revision from which on changes are asked for. The whole view
///               is written when it is 0 or older than what the mirror knows.
/// @param as_of  revision of the store that the view describes
/// @return bytes to be freed by the caller, or NULL without memory. Values
/// that
///         are not UTF-8 are left out: the project and operators write none.
char *view_write (const struct mirror *mirror, uint64_t after, uint64_t as_of,
                  size_t *size);

/// Reads a view into an empty mirror.
/// @param whole  set to true for a whole view, false for changes
/// @return STATUS_INVALID with a message when it is malformed or too large
enum status view_read (const char *bytes, size_t size, struct mirror *mirror,
                       uint64_t *as_of, bool *whole);

#endif
