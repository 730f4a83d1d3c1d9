/// Reachability of zones: detection by silence, announcement and expiry.
#include "coordination/membership_internal.h"

#include "base/counter.h"
#include "base/hash.h"

#include <string.h>

static struct counter zones_lost
    = COUNTER ("membership_zones_lost", "Zones marked unreachable here.");

/// The second relay waits this much longer than the first one, whose
/// announcement then has time to arrive.
#define SECOND_RELAY_MS 500
/// A relay that heard a zone within this time overrides an announcement that
/// the zone is unreachable.
#define RECENTLY_HEARD_MS 2000
/// Interval at which a relay probes a member of each unreachable zone.
#define UNREACHABLE_PROBE_MS 2000
/// Reachability is not part of view digests, because it differs between zones.
/// Instead, the first relay repeats an announcement at this interval, for
/// members that missed it.
#define REPEAT_MS 10000
/// How long a change is repeated at REPEAT_MS.
#define REPEAT_FOR_MS 35000
/// Interval at which the announcement of a zone that stays unreachable is
/// repeated after that.
#define REFRESH_MS 20000
/// An unreachable state that no relay confirms expires after this time. The
/// relays that could revoke it may have been replaced by processes that never
/// knew of it.
#define EXPIRE_MS 65000

struct membership_zone *
membership_zone_state (struct membership *m, const char *name, uint64_t now_ms)
{
  uint64_t id = hash_placement_string (name);
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

/// Changes the state of a zone after an observation of this node itself.
static void
set_state (struct membership_zone *zone, bool unreachable, uint64_t now_ms)
{
  zone->unreachable = unreachable;
  zone->change_number++;
  zone->changed_ms = now_ms;
  zone->refreshed_ms = now_ms;
  zone->announce_ms = now_ms + REPEAT_MS;
}

static void
announce_state (struct membership *m, const struct membership_zone *zone)
{
  struct zone_reachability reachability
      = { .unreachable = zone->unreachable,
          .change_number = zone->change_number };
  memcpy (reachability.name, zone->name, sizeof reachability.name);
  m->ops->broadcast (m->arg, NULL, 0, &reachability, true);
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
  set_state (zone, false, now_ms);
  if (membership_is_relay (m))
    announce_state (m, zone);
}

void
membership_zone_merge (struct membership *m,
                       const struct zone_reachability *reachability,
                       uint64_t now_ms)
{
  struct membership_zone *zone
      = membership_zone_state (m, reachability->name, now_ms);
  if (zone == NULL || zone->id == m->ring.own_zone)
    return;
  if (reachability->unreachable == zone->unreachable)
    zone->refreshed_ms = now_ms;
  if (reachability->change_number < zone->change_number
      || (reachability->change_number == zone->change_number
          && reachability->unreachable))
    return;
  bool changed = zone->unreachable != reachability->unreachable;
  zone->unreachable = reachability->unreachable;
  zone->change_number = reachability->change_number;
  if (changed)
    zone->changed_ms = zone->refreshed_ms = now_ms;
  /* What the other relay heard counts as heard by this one; otherwise the two
     would keep reverting each other's announcements. */
  if (!reachability->unreachable)
    zone->heard_ms = now_ms;
  else if (m->relay_since_ms != 0 && zone->heard_ms > m->relay_since_ms
           && now_ms - zone->heard_ms < RECENTLY_HEARD_MS)
    {
      set_state (zone, false, now_ms);
      announce_state (m, zone);
    }
}

/// Probes one random live member of an unreachable zone. The zone's relays may
/// have been replaced by members that are not known here.
static void
probe_random_member (struct membership *m, const struct membership_zone *zone)
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

/// On a member that is not a relay: makes zones reachable again whose
/// unreachable state is no longer confirmed.
static void
expire_unreachable (struct membership *m, uint64_t now_ms)
{
  for (uint32_t i = 0; i < m->zone_count; i++)
    if (m->zones[i].unreachable
        && now_ms - m->zones[i].refreshed_ms >= EXPIRE_MS)
      {
        m->zones[i].unreachable = false;
        m->zones[i].change_number = 0;
      }
}

/// On the first relay: repeats the announcement of a zone's state, for members
/// that missed it and to keep it from expiring.
static void
repeat_announcement (struct membership *m, struct membership_zone *zone,
                     uint64_t now_ms)
{
  bool recent
      = zone->changed_ms != 0 && now_ms - zone->changed_ms < REPEAT_FOR_MS;
  if ((!recent && !zone->unreachable) || now_ms < zone->announce_ms)
    return;
  zone->announce_ms = now_ms + (recent ? REPEAT_MS : REFRESH_MS);
  announce_state (m, zone);
}

void
membership_zone_tick (struct membership *m, uint64_t now_ms)
{
  int rank = ring_relay_rank (ring_find_zone (&m->ring, m->ring.own_zone),
                              m->self_id);
  if (rank < 0 || m->leaving)
    {
      m->relay_since_ms = 0;
      expire_unreachable (m, now_ms);
      return;
    }
  if (m->relay_since_ms == 0)
    m->relay_since_ms = now_ms;
  bool probe = now_ms >= m->zone_probe_ms;
  if (probe)
    m->zone_probe_ms = now_ms + UNREACHABLE_PROBE_MS;
  for (uint32_t i = 0; i < m->ring.zone_count; i++)
    {
      const struct ring_zone *other = &m->ring.zones[i];
      if (other->id == m->ring.own_zone)
        continue;
      struct membership_zone *zone
          = membership_zone_state (m, other->name, now_ms);
      if (zone == NULL)
        continue;
      uint64_t since = zone->heard_ms > m->relay_since_ms ? zone->heard_ms
                                                          : m->relay_since_ms;
      uint64_t limit
          = MEMBERSHIP_ZONE_TIMEOUT_MS + (rank == 0 ? 0 : SECOND_RELAY_MS);
      if (!zone->unreachable && now_ms - since >= limit)
        {
          set_state (zone, true, now_ms);
          counter_add (&zones_lost, 1);
          announce_state (m, zone);
        }
      else if (rank == 0)
        repeat_announcement (m, zone, now_ms);
      if (zone->unreachable)
        zone->refreshed_ms = now_ms;
      if (zone->unreachable && probe)
        probe_random_member (m, zone);
    }
}

bool
membership_zone_reachable (const struct membership *m, const char *name)
{
  uint64_t id = hash_placement_string (name);
  for (uint32_t i = 0; i < m->zone_count; i++)
    if (m->zones[i].id == id)
      return !m->zones[i].unreachable;
  return true;
}
