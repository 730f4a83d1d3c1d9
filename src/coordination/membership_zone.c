/// Owns the reachability of zones in a membership.
#include "coordination/membership_parts.h"

#include "base/counter.h"
#include "base/hash.h"

#include <string.h>

static struct counter zones_lost
    = COUNTER ("membership_zones_lost", "Zones marked unreachable here.");

/// The second relay gives the first one's mark time to arrive.
#define SECOND_RELAY_MS 500
/// Evidence of a zone that is younger than this outweighs another's mark.
#define FRESH_MS 2000
#define LOST_PROBE_MS 2000
/// Marks are no part of view digests, because zones differ in them. The first
/// relay repeats a mark for a while instead, for members that missed it.
#define REPEAT_MS 10000
#define REPEAT_FOR_MS 35000
/// While a zone stays lost, its mark is repeated at this interval. A mark that
/// no relay repeats any more ends by itself: the relays that could clear it
/// may have been replaced by processes that never knew it.
#define REFRESH_MS 20000
#define EXPIRE_MS 65000

struct membership_zone *
membership_zone_state (struct membership *m, const char *name, uint64_t now_ms)
{
  uint64_t id = hash_place_string (name);
  for (uint32_t i = 0; i < m->zone_count; i++)
    if (m->zones[i].id == id)
      return &m->zones[i];
  if (m->zone_count == RING_ZONES_MAX)
    return NULL;
  struct membership_zone *zone = &m->zones[m->zone_count++];
  *zone = (struct membership_zone){ .id = id, .heard_ms = now_ms };
  memcpy (zone->name, name, strlen (name) + 1);
  return zone;
}

/// Changes a zone's state by this node's own evidence.
static void
change (struct membership_zone *zone, bool unreachable, uint64_t now_ms)
{
  zone->unreachable = unreachable;
  zone->number++;
  zone->changed_ms = now_ms;
  zone->refreshed_ms = now_ms;
  zone->announce_ms = now_ms + REPEAT_MS;
}

static void
announce (struct membership *m, const struct membership_zone *zone)
{
  struct zone_mark mark
      = { .unreachable = zone->unreachable, .number = zone->number };
  memcpy (mark.name, zone->name, sizeof mark.name);
  m->ops->broadcast (m->arg, NULL, 0, &mark, true);
}

void
membership_zone_heard (struct membership *m, const struct member *member,
                       uint64_t now_ms)
{
  struct membership_zone *zone
      = membership_zone_state (m, member->availability_zone, now_ms);
  if (zone == NULL)
    return;
  zone->heard_ms = now_ms;
  if (!zone->unreachable)
    return;
  change (zone, false, now_ms);
  if (membership_is_relay (m))
    announce (m, zone);
}

void
membership_zone_marked (struct membership *m, const struct zone_mark *mark,
                        uint64_t now_ms)
{
  struct membership_zone *zone = membership_zone_state (m, mark->name, now_ms);
  if (zone == NULL || zone->id == m->ring.own_zone)
    return;
  if (mark->unreachable == zone->unreachable)
    zone->refreshed_ms = now_ms;
  if (mark->number < zone->number
      || (mark->number == zone->number && mark->unreachable))
    return;
  bool changed = zone->unreachable != mark->unreachable;
  zone->unreachable = mark->unreachable;
  zone->number = mark->number;
  if (changed)
    zone->changed_ms = zone->refreshed_ms = now_ms;
  /* The other relay's evidence counts as this one's, or each would undo the
     mark of the other. */
  if (!mark->unreachable)
    zone->heard_ms = now_ms;
  else if (m->relay_since_ms != 0 && zone->heard_ms > m->relay_since_ms
           && now_ms - zone->heard_ms < FRESH_MS)
    {
      change (zone, false, now_ms);
      announce (m, zone);
    }
}

/// Tries one random member of a lost zone: its relays may have been replaced
/// by members that this side has not heard of.
static void
probe_lost (struct membership *m, const struct membership_zone *zone)
{
  if (m->table.count == 0)
    return;
  uint32_t start = (uint32_t)rng_below (m->rng, m->table.count);
  for (uint32_t i = 0; i < m->table.count; i++)
    {
      const struct member *member
          = &m->table.items[(start + i) % m->table.count];
      if (member->state == MEMBER_ALIVE
          && strcmp (member->availability_zone, zone->name) == 0)
        {
          membership_probe_once (m, member->slot_id);
          return;
        }
    }
}

/// As a member that is no relay: ends marks that are not repeated.
static void
expire_marks (struct membership *m, uint64_t now_ms)
{
  for (uint32_t i = 0; i < m->zone_count; i++)
    if (m->zones[i].unreachable
        && now_ms - m->zones[i].refreshed_ms >= EXPIRE_MS)
      {
        m->zones[i].unreachable = false;
        m->zones[i].number = 0;
      }
}

/// As the first relay: repeats marks for members that missed them, and so that
/// they do not expire.
static void
repeat_mark (struct membership *m, struct membership_zone *zone,
             uint64_t now_ms)
{
  bool young
      = zone->changed_ms != 0 && now_ms - zone->changed_ms < REPEAT_FOR_MS;
  if ((!young && !zone->unreachable) || now_ms < zone->announce_ms)
    return;
  zone->announce_ms = now_ms + (young ? REPEAT_MS : REFRESH_MS);
  announce (m, zone);
}

void
membership_zone_tick (struct membership *m, uint64_t now_ms)
{
  int rank = ring_relay_rank (ring_find_zone (&m->ring, m->ring.own_zone),
                              m->self_id);
  if (rank < 0 || m->leaving)
    {
      m->relay_since_ms = 0;
      expire_marks (m, now_ms);
      return;
    }
  if (m->relay_since_ms == 0)
    m->relay_since_ms = now_ms;
  bool probe = now_ms >= m->zone_probe_ms;
  if (probe)
    m->zone_probe_ms = now_ms + LOST_PROBE_MS;
  for (uint32_t i = 0; i < m->ring.zone_count; i++)
    {
      const struct ring_zone *seen = &m->ring.zones[i];
      if (seen->id == m->ring.own_zone)
        continue;
      struct membership_zone *zone
          = membership_zone_state (m, seen->name, now_ms);
      if (zone == NULL)
        continue;
      uint64_t since = zone->heard_ms > m->relay_since_ms ? zone->heard_ms
                                                          : m->relay_since_ms;
      uint64_t limit = MEMBERSHIP_ZONE_MS + (rank == 0 ? 0 : SECOND_RELAY_MS);
      if (!zone->unreachable && now_ms - since >= limit)
        {
          change (zone, true, now_ms);
          counter_add (&zones_lost, 1);
          announce (m, zone);
        }
      else if (rank == 0)
        repeat_mark (m, zone, now_ms);
      if (zone->unreachable)
        zone->refreshed_ms = now_ms;
      if (zone->unreachable && probe)
        probe_lost (m, zone);
    }
}

bool
membership_zone_reachable (const struct membership *m, const char *name)
{
  uint64_t id = hash_place_string (name);
  for (uint32_t i = 0; i < m->zone_count; i++)
    if (m->zones[i].id == id)
      return !m->zones[i].unreachable;
  return true;
}
