/// Decides which configuration version this node puts in force. Versions only
/// increase and are applied as a whole. A restarted node is not ready before
/// it has the version that its slot may have had in force before the restart.
/// So that this is known, another node records the slot's floor, the highest
/// version that the slot may hold, before the version comes into force.
#ifndef HAWTHORNSEAM_COORDINATION_CONFIG_FOLLOWER_H
#define HAWTHORNSEAM_COORDINATION_CONFIG_FOLLOWER_H

#include "state/config.h"

/// Number of records kept for peers that are a few versions behind.
#define CONFIG_FOLLOWER_HISTORY 64
/// Versions that can wait until another node has recorded the floor of this
/// slot.
#define CONFIG_FOLLOWER_WAITING_MAX 8
/// Ready peers that must reply when the store is unavailable.
#define CONFIG_FOLLOWER_REPLIES_MIN 3
/// After this time fewer replies are sufficient.
#define CONFIG_FOLLOWER_REPLIES_TIMEOUT_MS 3000

struct config_follower;

struct config_follower_ops
{
  /// Called after a version has come into force. `record` is NULL when the
  /// version came from a snapshot.
  void (*in_force) (void *arg, const struct config *config,
                    const struct config_record *record);
  /// Asks another node to record that this slot may hold a version;
  /// config_follower_floor_recorded confirms it. NULL: versions come into
  /// force at once.
  void (*announce_floor) (void *arg, uint64_t version);
};

/// Starts at version 0, not ready.
/// @param ops  outlives the follower
void config_follower_init (struct config_follower *follower,
                           const struct config_follower_ops *ops, void *arg);
void config_follower_finish (struct config_follower *follower);

/// @return the configuration in force; version 0 and empty before the first
const struct config *
config_follower_current (const struct config_follower *follower);

/// @return true when the node may accept calls
bool config_follower_ready (const struct config_follower *follower);

/// Offers a record from the store or a peer.
/// @return STATUS_OK when its version is or was in force, or will be once
///         another node has recorded the floor (at most a few hundred ms);
///         STATUS_UNAVAILABLE when versions in between are missing (the caller
///         pulls them); STATUS_CORRUPT or STATUS_INVALID when it is refused
enum status config_follower_offer_record (struct config_follower *follower,
                                          const struct config_record *record,
                                          uint64_t now_ms);

/// Offers a snapshot: the whole content of a version.
/// @return as config_follower_offer_record; STATUS_CONFLICT for an older
///         version
enum status config_follower_offer_snapshot (struct config_follower *follower,
                                            uint64_t version,
                                            const struct content_hash *hash,
                                            const uint8_t *encoding,
                                            size_t size, uint64_t now_ms);

/// @return the record of a version, or NULL when it is not kept
const struct config_record *
config_follower_history (const struct config_follower *follower,
                         uint64_t version);

/// @return the highest version that is in force or waits for the floor
uint64_t config_follower_newest (const struct config_follower *follower);

/// Notes that another node has recorded the floor of this slot up to a
/// version, and puts the versions in force that waited for it.
void config_follower_floor_recorded (struct config_follower *follower,
                                     uint64_t version);

/// Records the floor of another slot: it may hold this version.
void config_follower_set_floor (struct config_follower *follower,
                                uint64_t slot_id, uint64_t version);

/// @return the floor recorded for a slot, 0 when there is none
uint64_t config_follower_get_floor (const struct config_follower *follower,
                                    uint64_t slot_id);

/// Takes a confirmed head: the version in the store, read after this process
/// asked for it.
void config_follower_head_confirmed (struct config_follower *follower,
                                     uint64_t version);

/// Notes that peers are asked for floors because the store is unavailable.
void config_follower_ask_peers (struct config_follower *follower,
                                uint64_t now_ms);

/// Takes a peer's reply.
/// @param from     slot id of the peer
/// @param floor    floor that the peer has recorded for this slot
/// @param version  version in force at the peer
/// @param ready    true when the peer is ready itself
/// @param alive    number of live members other than this node
void config_follower_floor_reply (struct config_follower *follower,
                                  uint64_t from, uint64_t floor,
                                  uint64_t version, bool ready,
                                  uint32_t alive);

/// @return true when the version is known that this slot may have had in force
///         before
bool config_follower_bound_known (const struct config_follower *follower);

/// @return that version; 0 while it is unknown
uint64_t config_follower_bound (const struct config_follower *follower);

/// @return true after config_follower_ask_peers was called
bool config_follower_asks_peers (const struct config_follower *follower);

/// Accepts fewer replies than required when CONFIG_FOLLOWER_REPLIES_TIMEOUT_MS
/// have passed.
void config_follower_tick (struct config_follower *follower, uint64_t now_ms);

#endif
