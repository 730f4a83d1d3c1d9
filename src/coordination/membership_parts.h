/// Functions shared by the files of membership.
#ifndef HAWTHORNSEAM_COORDINATION_MEMBERSHIP_PARTS_H
#define HAWTHORNSEAM_COORDINATION_MEMBERSHIP_PARTS_H

#include "coordination/membership.h"

/* membership.c */

/// Merges a record and keeps digests, suspicions and the list of the dead.
/// @return true when the table changed
bool membership_merge (struct membership *m, const struct member *record,
                       uint64_t now_ms);

/// Changes the own state or raises the own incarnation, and spreads it.
void membership_update_self (struct membership *m, struct member *record,
                             uint64_t now_ms);

/// Raises the own incarnation above a report that contradicts this process.
void membership_refute (struct membership *m, const struct member *record,
                        uint64_t now_ms);

/// @return the bucket of a slot in view digests
static inline unsigned
membership_bucket (uint64_t slot_id)
{
  return (unsigned)(slot_id % MEMBERSHIP_BUCKETS);
}

/// Notes that this node knows the mesh, and announces it.
void membership_joined (struct membership *m, uint64_t now_ms);

/// Queues a record for the next broadcast.
void membership_queue_event (struct membership *m, uint32_t handle,
                             bool zone_only, uint64_t now_ms);

/* membership_zone.c */

/// @return the zone's state, added if new; NULL above the limit
struct membership_zone *membership_zone_state (struct membership *m,
                                               const char *name,
                                               uint64_t now_ms);

/// Notes a heartbeat from a member.
void membership_zone_heard (struct membership *m, const struct member *member,
                            uint64_t now_ms);

/// Takes a mark from another node.
void membership_zone_marked (struct membership *m,
                             const struct zone_mark *mark, uint64_t now_ms);

/// As a relay: marks silent zones and tries members of lost zones.
void membership_zone_tick (struct membership *m, uint64_t now_ms);

/* membership_probe.c */

/// Sends one heartbeat outside the regular ones.
void membership_probe_once (struct membership *m, uint64_t slot_id);

/// Notes an answer.
void membership_probe_answered (struct membership *m, uint64_t slot_id);

/// Moves all times of waiting heartbeats after this process was paused.
void membership_probe_resume (struct membership *m, uint64_t now_ms);

/// Sends heartbeats that are due and judges the ones without answer.
void membership_probe_tick (struct membership *m, uint64_t now_ms);

#endif
