/// Decides which configuration version this node puts in force. Versions only
/// increase and are applied as a whole. A restarted node is not ready before
/// it has the version that its slot may have had in force before the restart.
/// So that this is known, another node records the slot's floor, the highest
/// version that the slot may hold, before the version comes into force.
#ifndef HAWTHORNSEAM_COORDINATION_FOLLOW_H
#define HAWTHORNSEAM_COORDINATION_FOLLOW_H

#include "state/config.h"

/// Number of records kept for peers that are a few versions behind.
#define FOLLOW_HISTORY 64
/// Versions that can wait until another node has recorded the floor of this
/// slot.
#define FOLLOW_WAITING_MAX 8
/// Ready peers that must reply when the store is unavailable.
#define FOLLOW_ANSWERS 3
/// After this time fewer replies are sufficient.
#define FOLLOW_ANSWERS_MS 3000

struct follow;

struct follow_ops
{
  /// Called after a version has come into force. `record` is NULL when the
  /// version came from a snapshot.
  void (*in_force) (void *arg, const struct config *config,
                    const struct config_record *record);
  /// Asks another node to record that this slot may hold a version;
  /// follow_floor_recorded confirms it. NULL: versions come into force at
  /// once.
  void (*announce_floor) (void *arg, uint64_t version);
};

/// Starts at version 0, not ready.
/// @param ops  outlives the follower
void follow_init (struct follow *follower, const struct follow_ops *ops,
                  void *arg);
void follow_finish (struct follow *follower);

/// @return the configuration in force; version 0 and empty before the first
const struct config *follow_current (const struct follow *follower);

/// @return true when the node may accept calls
bool follow_ready (const struct follow *follower);

/// Offers a record from the store or a peer.
/// @return STATUS_OK when its version is or was in force, or will be once
///         another node has recorded the floor (at most a few hundred ms);
///         STATUS_UNAVAILABLE when versions in between are missing (the caller
///         pulls them); STATUS_CORRUPT or STATUS_INVALID when it is refused
enum status follow_offer_record (struct follow *follower,
                                 const struct config_record *record,
                                 uint64_t now_ms);

/// Offers a snapshot: the whole content of a version.
/// @return as follow_offer_record; STATUS_CONFLICT for an older version
enum status follow_offer_snapshot (struct follow *follower, uint64_t version,
                                   const struct content_hash *hash,
                                   const uint8_t *encoding, size_t size,
                                   uint64_t now_ms);

/// @return the record of a version, or NULL when it is not kept
const struct config_record *follow_history (const struct follow *follower,
                                            uint64_t version);

/// @return the highest version that is in force or waits for the floor
uint64_t follow_newest (const struct follow *follower);

/// Notes that another node has recorded the floor of this slot up to a
/// version, and puts the versions in force that waited for it.
void follow_floor_recorded (struct follow *follower, uint64_t version);

/// Records the floor of another slot: it may hold this version.
void follow_set_floor (struct follow *follower, uint64_t slot_id,
                       uint64_t version);

/// @return the floor recorded for a slot, 0 when there is none
uint64_t follow_get_floor (const struct follow *follower, uint64_t slot_id);

/// Takes a confirmed head: the version in the store, read after this process
/// asked for it.
void follow_head_confirmed (struct follow *follower, uint64_t version);

/// Notes that peers are asked for floors because the store is unavailable.
void follow_ask_peers (struct follow *follower, uint64_t now_ms);

/// Takes a peer's reply.
/// @param from     slot id of the peer
/// @param floor    floor that the peer has recorded for this slot
/// @param version  version in force at the peer
/// @param ready    true when the peer is ready itself
/// @param alive    number of live members other than this node
void follow_floor_reply (struct follow *follower, uint64_t from,
                         uint64_t floor, uint64_t version, bool ready,
                         uint32_t alive);

/// @return true when the version is known that this slot may have had in force
///         before
bool follow_bound_known (const struct follow *follower);

/// @return that version; 0 while it is unknown
uint64_t follow_bound (const struct follow *follower);

/// @return true after follow_ask_peers was called
bool follow_asks_peers (const struct follow *follower);

/// Accepts fewer replies than required when FOLLOW_ANSWERS_MS have passed.
void follow_tick (struct follow *follower, uint64_t now_ms);

#endif
