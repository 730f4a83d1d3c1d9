/// Copy of the watched part of the store: the last known value of each key. A
/// node gives it to another that has just started while the store is away.
#ifndef HAWTHORNSEAM_STATE_MIRROR_H
#define HAWTHORNSEAM_STATE_MIRROR_H

#include "base/status.h"

#include <stddef.h>
#include <stdint.h>

struct mirror_item
{
  char *key;
  uint64_t revision;
  uint8_t *data;
  size_t size;
};

struct mirror
{
  struct mirror_item *items;
  size_t count;
  size_t capacity;
};

void mirror_init (struct mirror *mirror);
void mirror_finish (struct mirror *mirror);

/// Keeps a value unless a newer one is kept.
enum status mirror_put (struct mirror *mirror, const char *key,
                        uint64_t revision, const uint8_t *data, size_t size);

/// Forgets a key that was removed at a revision.
void mirror_remove (struct mirror *mirror, const char *key, uint64_t revision);

/// Forgets everything, before a full list.
void mirror_clear (struct mirror *mirror);

#endif
