/// Local copy of the watched part of the store: the last known value of each
/// key, and the recently removed keys. While the store is unreachable, a node
/// serves the copy to nodes that have just started; it also serves changes of
/// it to nodes that watch the store through this node.
#ifndef HAWTHORNSEAM_STATE_MIRROR_H
#define HAWTHORNSEAM_STATE_MIRROR_H

#include "base/status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Largest number of removed keys that are kept.
#define MIRROR_REMOVED_MAX 256

struct mirror_item
{
  char *key;
  uint64_t revision;
  bool removed;
  uint8_t *data; ///< NULL when removed
  size_t size;
};

struct mirror
{
  struct mirror_item *items;
  size_t count;
  size_t capacity;
  size_t removed; ///< number of items that are removed keys
  /// The items include all changes after this revision.
  uint64_t complete_since;
};

void mirror_init (struct mirror *mirror);
void mirror_finish (struct mirror *mirror);

/// Sets the value of a key. Ignored unless the revision is newer than that of
/// the key.
/// @return STATUS_OK or STATUS_NO_MEMORY
enum status mirror_put (struct mirror *mirror, const char *key,
                        uint64_t revision, const uint8_t *data, size_t size);

/// Records that a key was removed at a revision. Ignored when the revision is
/// older than that of the key. Past MIRROR_REMOVED_MAX removed keys the oldest
/// one is discarded.
/// @return STATUS_OK or STATUS_NO_MEMORY
enum status mirror_remove (struct mirror *mirror, const char *key,
                           uint64_t revision);

/// Discards all keys, before a full listing of the store.
/// @param as_of  store revision of the listing
void mirror_clear (struct mirror *mirror, uint64_t as_of);

#endif
