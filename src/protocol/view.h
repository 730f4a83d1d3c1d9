/// Codec (JSON) of a node's view of the store, for another node that has just
/// started while the store is away.
#ifndef HAWTHORNSEAM_PROTOCOL_VIEW_H
#define HAWTHORNSEAM_PROTOCOL_VIEW_H

#include "base/status.h"
#include "state/mirror.h"

/// Largest encoded view, bytes.
#define VIEW_BYTES_MAX (4u * 1024 * 1024)

/// @param as_of  revision of the store that the view describes
/// @return text to be freed by the caller, or NULL without memory. Values that
///         are not UTF-8 are left out: the project and operators write none.
char *view_write (const struct mirror *mirror, uint64_t as_of, size_t *size);

/// Reads a view into an empty mirror.
enum status view_read (const char *text, size_t size, struct mirror *mirror,
                       uint64_t *as_of);

#endif
