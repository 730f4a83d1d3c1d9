/// Decides which configuration version this node puts in force: versions only
/// grow, are applied whole, and a restarted node is not ready before it knows
/// how far its slot had got.
#ifndef HAWTHORNSEAM_COORDINATION_FOLLOW_H
#define HAWTHORNSEAM_COORDINATION_FOLLOW_H

#include "state/config.h"

/// Records kept to serve peers that are a few versions behind.
#define FOLLOW_HISTORY 64
/// Contents that wait until another node recorded the floor of this slot.
#define FOLLOW_WAITING_MAX 8
/// Ready peers that must answer when the store cannot.
#define FOLLOW_ANSWERS 3
/// After this time fewer answers have to do.
#define FOLLOW_ANSWERS_MS 3000

struct follow;

struct follow_ops
{
  /// Called after a version came into force. `record` is NULL when the version
  /// came as a whole content.
  void (*in_force) (void *arg, const struct config *config,
                    const struct config_record *record);
  /// Asks another node to record that this slot may hold a version; answered
  /// by follow_floor_recorded. NULL: versions come into force at once.
  void (*announce_floor) (void *arg, uint64_t version);
};

/// Starts with version 0, not ready.
/// @param ops  outlives the follow
void follow_init (struct follow *follow, const struct follow_ops *ops,
                  void *arg);
void follow_finish (struct follow *follow);

/// @return the configuration in force; version 0 and empty before the first
const struct config *follow_current (const struct follow *follow);

/// @return true when calls may be accepted
bool follow_ready (const struct follow *follow);

/// Offers a record from the store or a peer.
/// @return STATUS_OK when it is in force now, was already, or will be as soon
///         as another node recorded the floor (at most a few hundred ms),
///         STATUS_UNAVAILABLE when versions between are missing (the caller
///         pulls them), STATUS_CORRUPT or STATUS_INVALID when it is refused
enum status follow_offer_record (struct follow *follow,
                                 const struct config_record *record,
                                 uint64_t now_ms);

/// Offers a whole content, as from a snapshot.
/// @return as follow_offer_record; an older version is STATUS_CONFLICT
enum status follow_offer_snapshot (struct follow *follow, uint64_t version,
                                   const struct content_hash *hash,
                                   const uint8_t *encoding, size_t size,
                                   uint64_t now_ms);

/// @return a kept record by version, or NULL
const struct config_record *follow_history (const struct follow *follow,
                                            uint64_t version);

/// @return the highest version that is in force or about to be
uint64_t follow_newest (const struct follow *follow);

/// Tells that another node recorded this slot's floor up to a version; puts
/// what waited for it in force.
void follow_floor_recorded (struct follow *follow, uint64_t version);

/// Records that another slot may hold a version.
void follow_set_floor (struct follow *follow, uint64_t slot_id,
                       uint64_t version);

/// @return the version recorded for a slot, 0 when none
uint64_t follow_get_floor (const struct follow *follow, uint64_t slot_id);

/// Takes a confirmed head: the store's version after this process asked.
void follow_head_confirmed (struct follow *follow, uint64_t version);

/// Notes that peers are asked because the store does not answer.
void follow_ask_peers (struct follow *follow, uint64_t now_ms);

/// Takes a peer's answer.
/// @param floor    version that the peer recorded for this slot
/// @param version  in force at the peer
/// @param ready    the peer is ready itself
/// @param alive    live members other than this node
void follow_floor_reply (struct follow *follow, uint64_t from, uint64_t floor,
                         uint64_t version, bool ready, uint32_t alive);

/// @return true when the node knows up to which version its slot may have got
bool follow_bound_known (const struct follow *follow);

/// @return that version, 0 before it is known
uint64_t follow_bound (const struct follow *follow);

/// @return true after follow_ask_peers
bool follow_asks_peers (const struct follow *follow);

/// Settles for the answers that came when there are too few.
void follow_tick (struct follow *follow, uint64_t now_ms);

#endif
