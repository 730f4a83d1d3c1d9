/// Unsorted table; there are few zones.
#include "state/evacuation.h"

#include <string.h>

/// @return index of a zone, or `count` when it is not in the set
static size_t
find (const struct evacuation_set *set, const char *zone)
{
  size_t i = 0;
  while (i < set->count && strcmp (set->zones[i].zone, zone) != 0)
    i++;
  return i;
}

enum status
evacuation_add (struct evacuation_set *set, const char *zone,
                uint64_t revision)
{
  size_t size = strlen (zone);
  size_t index = find (set, zone);
  if (size == 0 || size > DIRECTORY_NAME_MAX)
    return status_set (STATUS_INVALID,
                       "evacuated zone with a name of %zu bytes", size);
  if (index == EVACUATION_ZONES_MAX)
    return status_set (STATUS_INVALID, "more than %d evacuated zones",
                       EVACUATION_ZONES_MAX);
  struct evacuation *evacuation = &set->zones[index];
  if (index == set->count)
    {
      set->count++;
      memset (evacuation, 0, sizeof *evacuation);
      memcpy (evacuation->zone, zone, size + 1);
    }
  if (revision > evacuation->revision)
    evacuation->revision = revision;
  evacuation->listed = true;
  return STATUS_OK;
}

static void
remove_at (struct evacuation_set *set, size_t index)
{
  set->zones[index] = set->zones[--set->count];
}

void
evacuation_remove (struct evacuation_set *set, const char *zone,
                   uint64_t revision)
{
  size_t index = find (set, zone);
  if (index < set->count && set->zones[index].revision <= revision)
    remove_at (set, index);
}

void
evacuation_begin_list (struct evacuation_set *set)
{
  for (size_t i = 0; i < set->count; i++)
    set->zones[i].listed = false;
}

void
evacuation_end_list (struct evacuation_set *set, uint64_t as_of)
{
  for (size_t i = set->count; i-- > 0;)
    if (!set->zones[i].listed && set->zones[i].revision <= as_of)
      remove_at (set, i);
}

bool
evacuation_contains (const struct evacuation_set *set, const char *zone)
{
  return find (set, zone) < set->count;
}
