/// Stateless; the caller keeps the failed relays.
#include "coordination/relay.h"

#include "base/hash.h"
#include "coordination/rendezvous.h"

#include <string.h>

/// Role hash of relays: keeps their scores independent of other choices that
/// hash the same names.
#define RELAY_ROLE 0x72656c6179u

static bool
is_candidate (const struct directory_record *record, const char *zone)
{
  return record->used && record->missing_ms == 0
         && record->entry.state != DIRECTORY_LEAVING
         && (zone == NULL
             || strcmp (record->entry.availability_zone, zone) == 0);
}

static size_t
count_candidates (const struct directory *directory, const char *zone)
{
  size_t count = 0;
  for (size_t i = 0; i < directory->count; i++)
    count += is_candidate (&directory->records[i], zone);
  return count;
}

void
relay_choose (const struct directory *directory, const char *own_node,
              const char *zone, struct relay_group *group)
{
  struct rendezvous choice;
  rendezvous_init (&choice, RELAY_ROLE, RELAY_COUNT);
  if (count_candidates (directory, zone) < RELAY_ZONE_NODES_MIN)
    zone = NULL;
  *group = (struct relay_group){ 0 };
  for (size_t i = 0; i < directory->count; i++)
    {
      const struct directory_record *record = &directory->records[i];
      if (!is_candidate (record, zone))
        continue;
      uint64_t node_hash = hash_placement_string (record->entry.node);
      rendezvous_rank (&choice, hash_placement_pair (node_hash, RELAY_ROLE),
                       i);
    }
  group->count = choice.count;
  for (size_t i = 0; i < group->count; i++)
    {
      group->handles[i] = choice.slots[i];
      group->member
          |= strcmp (directory->records[choice.slots[i]].entry.node, own_node)
             == 0;
    }
}

static bool
is_excluded (const struct relay_exclusions *exclusions, uint64_t serial,
             uint64_t now_ms)
{
  for (size_t i = 0; i < RELAY_COUNT; i++)
    if (exclusions->serials[i] == serial && now_ms < exclusions->until_ms[i])
      return true;
  return false;
}

size_t
relay_pick (const struct relay_exclusions *exclusions,
            const struct directory *directory, const char *own_node,
            const char *zone, uint64_t now_ms)
{
  struct relay_group group;
  relay_choose (directory, own_node, zone, &group);
  if (group.member || group.count < RELAY_COUNT)
    return SIZE_MAX;
  /* The hash of the node's name spreads the followers over the relays. */
  size_t first = hash_placement_string (own_node) % RELAY_COUNT;
  for (size_t i = 0; i < RELAY_COUNT; i++)
    {
      size_t handle = group.handles[(first + i) % RELAY_COUNT];
      if (!is_excluded (exclusions, directory->records[handle].serial, now_ms))
        return handle;
    }
  return SIZE_MAX;
}

void
relay_exclude (struct relay_exclusions *exclusions, uint64_t serial,
               uint64_t for_ms, uint64_t now_ms)
{
  exclusions->serials[exclusions->next] = serial;
  exclusions->until_ms[exclusions->next] = now_ms + for_ms;
  exclusions->next = (exclusions->next + 1) % RELAY_COUNT;
}

void
relay_retry_soon (struct relay_exclusions *exclusions, uint64_t now_ms)
{
  for (size_t i = 0; i < RELAY_COUNT; i++)
    if (exclusions->until_ms[i] > now_ms + RELAY_RETRY_MS)
      exclusions->until_ms[i] = now_ms + RELAY_RETRY_MS;
}
