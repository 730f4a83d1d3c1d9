/// Owns the sorted slots of this node's zone and the summary of each zone.
#include "coordination/ring.h"

#include "base/hash.h"
#include "coordination/rendezvous.h"

#include <stdlib.h>
#include <string.h>

void
ring_init (struct ring *ring, const struct member_table *table,
           const char *zone_name)
{
  *ring = (struct ring){ .table = table,
                         .own_zone = hash_placement_string (zone_name) };
}

void
ring_finish (struct ring *ring)
{
  free (ring->slots);
  ring->slots = NULL;
}

static int
compare_slots (const void *a, const void *b)
{
  uint64_t first = *(const uint64_t *)a;
  uint64_t second = *(const uint64_t *)b;
  return (first > second) - (first < second);
}

static int
compare_zones (const void *a, const void *b)
{
  return compare_slots (&((const struct ring_zone *)a)->id,
                        &((const struct ring_zone *)b)->id);
}

static bool
reserve (struct ring *ring, uint32_t count)
{
  if (count <= ring->capacity)
    return true;
  uint32_t capacity = ring->capacity == 0 ? 64 : ring->capacity * 2;
  uint64_t *slots = realloc (ring->slots, (size_t)capacity * sizeof *slots);
  if (slots == NULL)
    return false;
  ring->slots = slots;
  ring->capacity = capacity;
  return true;
}

/// @return index of the member's zone, which is added if it is new; -1 when
///         the limit of zones is reached
static int
zone_index (struct ring *ring, struct rendezvous *choices,
            const struct member *member)
{
  uint64_t id = hash_placement_string (member->availability_zone);
  for (uint32_t i = 0; i < ring->zone_count; i++)
    if (ring->zones[i].id == id)
      return (int)i;
  if (ring->zone_count == RING_ZONES_MAX)
    return -1;
  uint32_t i = ring->zone_count++;
  ring->zones[i] = (struct ring_zone){ .id = id };
  memcpy (ring->zones[i].name, member->availability_zone,
          sizeof ring->zones[i].name);
  rendezvous_init (&choices[i], id, 2);
  return (int)i;
}

void
ring_refresh (struct ring *ring)
{
  const struct member_table *table = ring->table;
  if (ring->computed && ring->generation == table->generation)
    return;
  /* Suspect members stay on the ring, so that their neighbours keep probing
     them, but they are not chosen as relays. */
  struct rendezvous choices[RING_ZONES_MAX];
  ring->count = 0;
  ring->zone_count = 0;
  for (uint32_t i = 0; i < table->count; i++)
    {
      const struct member *member = &table->items[i];
      if (member->state != MEMBER_ALIVE && member->state != MEMBER_SUSPECT)
        continue;
      int zone = zone_index (ring, choices, member);
      if (zone < 0)
        continue;
      ring->zones[zone].live++;
      if (member->state == MEMBER_ALIVE)
        rendezvous_add (&choices[zone], member->slot_id);
      if (ring->zones[zone].id == ring->own_zone
          && reserve (ring, ring->count + 1))
        ring->slots[ring->count++] = member->slot_id;
    }
  for (uint32_t i = 0; i < ring->zone_count; i++)
    memcpy (ring->zones[i].relays, choices[i].slots,
            sizeof ring->zones[i].relays);
  if (ring->count > 1)
    qsort (ring->slots, ring->count, sizeof *ring->slots, compare_slots);
  qsort (ring->zones, ring->zone_count, sizeof *ring->zones, compare_zones);
  ring->generation = table->generation;
  ring->computed = true;
}

uint32_t
ring_lower_bound (const struct ring *ring, uint64_t slot_id)
{
  uint32_t low = 0;
  uint32_t high = ring->count;
  while (low < high)
    {
      uint32_t middle = low + (high - low) / 2;
      if (ring->slots[middle] < slot_id)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

uint32_t
ring_successors (const struct ring *ring, uint64_t slot_id, uint64_t *slots,
                 uint32_t max)
{
  uint32_t start = ring_lower_bound (ring, slot_id);
  uint32_t found = 0;
  for (uint32_t i = 0; i < ring->count && found < max; i++)
    {
      uint64_t slot = ring->slots[(start + i) % ring->count];
      if (slot != slot_id)
        slots[found++] = slot;
    }
  return found;
}

const struct ring_zone *
ring_find_zone (const struct ring *ring, uint64_t id)
{
  for (uint32_t i = 0; i < ring->zone_count; i++)
    if (ring->zones[i].id == id)
      return &ring->zones[i];
  return NULL;
}

int
ring_relay_rank (const struct ring_zone *zone, uint64_t slot_id)
{
  for (int i = 0; zone != NULL && i < RING_RELAYS; i++)
    if (zone->relays[i] == slot_id)
      return i;
  return -1;
}
