/// Owns the floors that a node recorded for other slots.
#include "coordination/follow_state.h"

#include <stdlib.h>

static uint32_t
probe (const struct follow_floor *floors, uint32_t size, uint64_t slot_id)
{
  uint32_t at = (uint32_t)(slot_id ^ slot_id >> 32) & (size - 1);
  while (floors[at].slot_id != 0 && floors[at].slot_id != slot_id)
    at = (at + 1) & (size - 1);
  return at;
}

/// Keeps the table at most half full.
static bool
grow (struct follow *follow)
{
  uint32_t size = follow->floor_size == 0 ? 64 : follow->floor_size * 2;
  struct follow_floor *floors = calloc (size, sizeof *floors);
  if (floors == NULL)
    return false;
  for (uint32_t i = 0; i < follow->floor_size; i++)
    if (follow->floors[i].slot_id != 0)
      floors[probe (floors, size, follow->floors[i].slot_id)]
          = follow->floors[i];
  free (follow->floors);
  follow->floors = floors;
  follow->floor_size = size;
  return true;
}

void
follow_set_floor (struct follow *follow, uint64_t slot_id, uint64_t version)
{
  if (slot_id == 0)
    return;
  if (follow->floor_count * 2 >= follow->floor_size && !grow (follow))
    return;
  uint32_t at = probe (follow->floors, follow->floor_size, slot_id);
  if (follow->floors[at].slot_id == 0)
    {
      follow->floors[at].slot_id = slot_id;
      follow->floor_count++;
    }
  if (version > follow->floors[at].version)
    follow->floors[at].version = version;
}

uint64_t
follow_get_floor (const struct follow *follow, uint64_t slot_id)
{
  if (follow->floor_size == 0)
    return 0;
  return follow->floors[probe (follow->floors, follow->floor_size, slot_id)]
      .version;
}
