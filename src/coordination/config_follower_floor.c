/// Owns the table of floors that this node has recorded for other slots.
#include "coordination/config_follower_state.h"

#include <stdlib.h>

/// @return index of the entry of a slot, or of the free entry for it
static uint32_t
find_entry (const struct config_follower_floor *floors, uint32_t size,
            uint64_t slot_id)
{
  uint32_t at = (uint32_t)(slot_id ^ slot_id >> 32) & (size - 1);
  while (floors[at].slot_id != 0 && floors[at].slot_id != slot_id)
    at = (at + 1) & (size - 1);
  return at;
}

/// Doubles the table, so that it stays at most half full.
static bool
grow (struct config_follower *follower)
{
  uint32_t size = follower->floor_size == 0 ? 64 : follower->floor_size * 2;
  struct config_follower_floor *floors = calloc (size, sizeof *floors);
  if (floors == NULL)
    return false;
  for (uint32_t i = 0; i < follower->floor_size; i++)
    if (follower->floors[i].slot_id != 0)
      floors[find_entry (floors, size, follower->floors[i].slot_id)]
          = follower->floors[i];
  free (follower->floors);
  follower->floors = floors;
  follower->floor_size = size;
  return true;
}

void
config_follower_set_floor (struct config_follower *follower, uint64_t slot_id,
                           uint64_t version)
{
  if (slot_id == 0)
    return;
  if (follower->floor_count * 2 >= follower->floor_size && !grow (follower))
    return;
  uint32_t at = find_entry (follower->floors, follower->floor_size, slot_id);
  if (follower->floors[at].slot_id == 0)
    {
      follower->floors[at].slot_id = slot_id;
      follower->floor_count++;
    }
  if (version > follower->floors[at].version)
    follower->floors[at].version = version;
}

uint64_t
config_follower_get_floor (const struct config_follower *follower,
                           uint64_t slot_id)
{
  if (follower->floor_size == 0)
    return 0;
  return follower
      ->floors[find_entry (follower->floors, follower->floor_size, slot_id)]
      .version;
}
