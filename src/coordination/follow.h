/// Decides which configuration version this node puts in force: versions only
/// grow, are applied whole, and a restarted node is not ready before it knows
/// how far its slot had got.
#ifndef HAWTHORNSEAM_COORDINATION_FOLLOW_H
#define HAWTHORNSEAM_COORDINATION_FOLLOW_H

#include "state/config.h"

/// Records kept to serve peers that are a few versions behind.
#define FOLLOW_HISTORY 64

struct follow;

struct follow_ops
{
  /// Called after a version came into force.
  void (*in_force) (void *arg, const struct config *config,
                    const struct config_record *record);
};

/// @return the configuration in force; version 0 and empty before the first
const struct config *follow_current (const struct follow *follow);

/// @return true when calls may be accepted
bool follow_ready (const struct follow *follow);

/// Offers a record from the store or a peer.
/// @return STATUS_OK when it is in force now or was already,
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

#endif
