/// Records of nodes in an array that is searched linearly. The table owns the
/// records.
#include "state/directory.h"

#include <stdlib.h>
#include <string.h>

/// Set in the revision of the records that the current listing has not seen.
#define UNSEEN_REVISION_BIT (UINT64_C (1) << 63)

void
directory_init (struct directory *directory)
{
  memset (directory, 0, sizeof *directory);
}

void
directory_finish (struct directory *directory)
{
  free (directory->records);
  memset (directory, 0, sizeof *directory);
}

size_t
directory_find (const struct directory *directory, const char *node)
{
  for (size_t i = 0; i < directory->count; i++)
    if (directory->records[i].used
        && strcmp (directory->records[i].entry.node, node) == 0)
      return i;
  return SIZE_MAX;
}

struct directory_record *
directory_get (struct directory *directory, size_t handle, uint64_t serial)
{
  if (handle >= directory->count || !directory->records[handle].used
      || directory->records[handle].serial != serial)
    return NULL;
  return &directory->records[handle];
}

static size_t
allocate_record (struct directory *directory)
{
  for (size_t i = 0; i < directory->count; i++)
    if (!directory->records[i].used)
      return i;
  if (directory->count == directory->capacity)
    {
      size_t capacity
          = directory->capacity == 0 ? 16 : 2 * directory->capacity;
      if (capacity > DIRECTORY_RECORDS_MAX)
        return SIZE_MAX;
      struct directory_record *records
          = realloc (directory->records, capacity * sizeof *records);
      if (records == NULL)
        return SIZE_MAX;
      directory->records = records;
      directory->capacity = capacity;
    }
  return directory->count++;
}

/// @return true when the entry describes a new process of the node, or another
///         target or address
static bool
is_new_incarnation (const struct directory_entry *old,
                    const struct directory_entry *new)
{
  return old->epoch != new->epoch || strcmp (old->instance, new->instance) != 0
         || old->address != new->address || old->port != new->port;
}

size_t
directory_put (struct directory *directory,
               const struct directory_entry *entry, uint64_t revision,
               uint64_t now_ms)
{
  size_t handle = directory_find (directory, entry->node);
  if (handle == SIZE_MAX)
    {
      handle = allocate_record (directory);
      if (handle == SIZE_MAX)
        return SIZE_MAX;
      directory->records[handle]
          = (struct directory_record){ .used = true,
                                       .entry = *entry,
                                       .revision = revision,
                                       .seen_ms = now_ms,
                                       .serial = ++directory->last_serial };
      directory->generation++;
      return handle;
    }
  struct directory_record *record = &directory->records[handle];
  if (revision < (record->revision & ~UNSEEN_REVISION_BIT))
    {
      record->revision &= ~UNSEEN_REVISION_BIT;
      return handle;
    }
  if (is_new_incarnation (&record->entry, entry))
    {
      uint32_t in_flight = record->load.in_flight;
      record->load = (struct directory_load){ .in_flight = in_flight };
      record->seen_ms = now_ms;
    }
  record->entry = *entry;
  record->revision = revision;
  record->missing_ms = 0;
  directory->generation++;
  return handle;
}

void
directory_mark_missing (struct directory *directory, const char *node,
                        uint64_t revision, uint64_t now_ms)
{
  size_t handle = directory_find (directory, node);
  if (handle == SIZE_MAX)
    return;
  struct directory_record *record = &directory->records[handle];
  if (revision <= (record->revision & ~UNSEEN_REVISION_BIT)
      || record->missing_ms != 0)
    return;
  record->revision = revision;
  record->missing_ms = now_ms;
  directory->generation++;
}

void
directory_begin_list (struct directory *directory)
{
  for (size_t i = 0; i < directory->count; i++)
    directory->records[i].revision |= UNSEEN_REVISION_BIT;
}

void
directory_end_list (struct directory *directory, uint64_t as_of,
                    uint64_t now_ms)
{
  for (size_t i = 0; i < directory->count; i++)
    {
      struct directory_record *record = &directory->records[i];
      bool unseen = (record->revision & UNSEEN_REVISION_BIT) != 0;
      record->revision &= ~UNSEEN_REVISION_BIT;
      if (record->used && unseen)
        directory_mark_missing (directory, record->entry.node, as_of, now_ms);
    }
}

void
directory_expire (struct directory *directory, bool store_unreachable,
                  uint64_t now_ms)
{
  for (size_t i = 0; i < directory->count; i++)
    {
      struct directory_record *record = &directory->records[i];
      if (!record->used || record->missing_ms == 0)
        continue;
      if (store_unreachable)
        record->missing_ms = now_ms;
      else if (now_ms - record->missing_ms >= DIRECTORY_MISSING_MS)
        {
          record->used = false;
          directory->generation++;
        }
    }
}
