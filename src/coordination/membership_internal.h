/// Internal functions of the membership module.
#ifndef HAWTHORNSEAM_COORDINATION_MEMBERSHIP_INTERNAL_H
#define HAWTHORNSEAM_COORDINATION_MEMBERSHIP_INTERNAL_H

#include "coordination/membership.h"

/* membership.c */

/// Merges a record into the table and updates digests, suspicions and the list
/// of dead members.
/// @return true when the table changed
bool membership_merge (struct membership *m, const struct member *record,
                       uint64_t now_ms);

/// Merges a changed own record with a raised incarnation and queues it for
/// broadcast.
/// @param record  its incarnation is incremented
void membership_update_self (struct membership *m, struct member *record,
                             uint64_t now_ms);

/// Raises the own incarnation above that of a record about this node, if the
/// record is newer than the own one or states a worse state.
void membership_refute (struct membership *m, const struct member *record,
                        uint64_t now_ms);

/// @return the digest bucket of a slot
static inline unsigned
membership_bucket (uint64_t slot_id)
{
  return (unsigned)(slot_id % MEMBERSHIP_BUCKETS);
}

/// Records that this node has joined the mesh and announces it.
void membership_joined (struct membership *m, uint64_t now_ms);

/// Queues a member record for the next broadcast.
void membership_queue_event (struct membership *m, uint32_t handle,
                             bool zone_only, uint64_t now_ms);

/* membership_zone.c */

/// @return the zone's state, added if it is new; NULL when there are already
///         RING_ZONES_MAX zones
struct membership_zone *membership_zone_state (struct membership *m,
                                               const char *name,
                                               uint64_t now_ms);

/// Records a heartbeat from a member of a zone.
void membership_zone_heard (struct membership *m, const struct member *member,
                            uint64_t now_ms);

/// Merges the reachability of a zone announced by another node.
void membership_zone_merge (struct membership *m,
                            const struct zone_reachability *reachability,
                            uint64_t now_ms);

/// On a relay: marks silent zones as unreachable and probes their members. On
/// other nodes: lets the unreachable state of zones expire.
void membership_zone_tick (struct membership *m, uint64_t now_ms);

/* membership_probe.c */

/// Sends one full heartbeat in addition to the regular ones.
void membership_probe_once (struct membership *m, uint64_t slot_id);

/// Handles an ACK.
void membership_probe_answered (struct membership *m, uint64_t slot_id);

/// Discards outstanding ACKs after this process was paused, and sends all
/// regular heartbeats at once.
void membership_probe_resume (struct membership *m, uint64_t now_ms);

/// Sends heartbeats that are due and handles missing ACKs.
void membership_probe_tick (struct membership *m, uint64_t now_ms);

#endif
