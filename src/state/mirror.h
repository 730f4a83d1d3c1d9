/// Copy of the watched part of the store: the last known value of each key,
/// and the keys that were removed lately. A node gives it to one that has just
/// started while the store is away, and changes of it to those that follow the
/// store through it.
#ifndef HAWTHORNSEAM_STATE_MIRROR_H
#define HAWTHORNSEAM_STATE_MIRROR_H

#include "base/status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Removed keys that are remembered.
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
  size_t removed;
  /// All changes after this revision are in the items.
  uint64_t complete_since;
};

void mirror_init (struct mirror *mirror);
void mirror_finish (struct mirror *mirror);

/// Keeps a value unless a newer one is kept.
enum status mirror_put (struct mirror *mirror, const char *key,
                        uint64_t revision, const uint8_t *data, size_t size);

/// Notes that a key was removed at a revision. The oldest removal is forgotten
/// when there are too many.
enum status mirror_remove (struct mirror *mirror, const char *key,
                           uint64_t revision);

/// Forgets everything, before a full list.
/// @param as_of  revision of the store that the list describes
void mirror_clear (struct mirror *mirror, uint64_t as_of);

#endif
