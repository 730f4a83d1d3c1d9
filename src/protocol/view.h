/// Encoding of a node's view of the store, or of the changes in it, for other
/// nodes, compressed with zstd when it is large.
///
/// VIEW_SPLIT has a JSON header that lists the items with the sizes of their
/// values, a line feed, and the values as they are. A configuration is JSON
/// itself: quoted within JSON it is escaped and parsed twice, which takes a
/// small VM tens of milliseconds. VIEW_JSON has the values in the JSON and is
/// for nodes that do not ask for the other.
#ifndef HAWTHORNSEAM_PROTOCOL_VIEW_H
#define HAWTHORNSEAM_PROTOCOL_VIEW_H

#include "base/status.h"
#include "state/mirror.h"

/// Largest view, bytes, as transferred and after decompression.
#define VIEW_BYTES_MAX (4u * 1024 * 1024)

/// Largest view that is sent as JSON without compression, bytes.
#define VIEW_PLAIN_MAX 4096

enum view_format
{
  VIEW_JSON = 1,
  VIEW_SPLIT = 2
};

/// Writes a view.
/// @param after  revision after which changes are requested. The whole view is
///               written when it is 0 or the mirror does not have all changes
///               since then.
/// @param as_of  store revision that the view describes
/// @return bytes to be freed by the caller, or NULL when there is no memory.
///         Values that are not UTF-8 become empty in VIEW_JSON; neither nodes
///         nor operators write such values.
char *view_write (const struct mirror *mirror, uint64_t after, uint64_t as_of,
                  enum view_format format, size_t *size);

/// Reads a view of any format into an empty mirror.
/// @param whole  set to true for a whole view, false for changes
/// @return STATUS_INVALID with a message when it is malformed or too large, or
///         STATUS_NO_MEMORY
enum status view_read (const char *bytes, size_t size, struct mirror *mirror,
                       uint64_t *as_of, bool *whole);

#endif
