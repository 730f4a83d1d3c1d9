/// Data derived from the member table: the ring of the members of this node's
/// zone, and the size and relays of each zone. It is recomputed only when the
/// table has changed.
#ifndef HAWTHORNSEAM_COORDINATION_RING_H
#define HAWTHORNSEAM_COORDINATION_RING_H

#include "state/member.h"

#define RING_ZONES_MAX 32
#define RING_RELAYS 2

struct ring_zone
{
  uint64_t id; ///< hash of the name
  char name[MEMBER_NAME_MAX + 1];
  uint32_t live;                ///< members that are alive or suspect
  uint64_t relays[RING_RELAYS]; ///< slot ids, highest score first; 0: none
};

struct ring
{
  const struct member_table *table;
  uint64_t own_zone;   ///< hash of the zone's name
  uint64_t generation; ///< generation of the table at the last refresh
  bool computed;       ///< refreshed at least once
  uint64_t *slots;     ///< live members of this node's zone, ascending
  uint32_t count;
  uint32_t capacity;
  struct ring_zone zones[RING_ZONES_MAX]; ///< ascending by id
  uint32_t zone_count;
};

/// @param table      must outlive the ring
/// @param zone_name  zone of this node
void ring_init (struct ring *ring, const struct member_table *table,
                const char *zone_name);
void ring_finish (struct ring *ring);

/// Recomputes the ring if the table's generation has changed.
void ring_refresh (struct ring *ring);

/// @return index of the first slot that is not below `slot_id`; count when
///         there is none
uint32_t ring_lower_bound (const struct ring *ring, uint64_t slot_id);

/// Lists the members that follow a slot on the ring, without the slot itself.
/// @return number of slots written, at most `max`
uint32_t ring_successors (const struct ring *ring, uint64_t slot_id,
                          uint64_t *slots, uint32_t max);

/// @return the zone or NULL
const struct ring_zone *ring_find_zone (const struct ring *ring, uint64_t id);

/// @return the rank of a slot among a zone's relays, 0 for the highest score;
///         -1 when it is not a relay
int ring_relay_rank (const struct ring_zone *zone, uint64_t slot_id);

#endif
