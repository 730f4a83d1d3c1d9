/// Choice of the targets that serve a new version's share while a move runs.
///
/// A small share over all new targets gives each of them a small part of its
/// later load, and a fault under load shows only after the last step. The
/// share is therefore given to few targets, which get at most the requests per
/// slot that all of them get at the end. Their number follows from the share
/// and the slots of both versions. Which ones is decided by a hash, so that
/// all nodes with the same directory choose the same.
#ifndef HAWTHORNSEAM_COORDINATION_ROLLOUT_SPREAD_H
#define HAWTHORNSEAM_COORDINATION_ROLLOUT_SPREAD_H

#include "state/directory.h"
#include "state/evacuation.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct rollout_spread
{
  uint64_t seed;       ///< of the ranking
  uint64_t generation; ///< of the directory at the ranking; 0: not ranked
  uint64_t evacuated;  ///< revisions of the evacuations at the ranking, summed
  uint32_t slots;      ///< of the larger version
  size_t count;        ///< targets of the new version
  size_t *ranked;      ///< their handles, best first
  bool *chosen;        ///< by handle, result of the last choice
  size_t capacity;     ///< elements of both arrays
};

void rollout_spread_init (struct rollout_spread *spread);
void rollout_spread_finish (struct rollout_spread *spread);

/// Ranks the ready targets of the new version. Does nothing when the directory
/// and the evacuated zones have not changed since.
/// @param order  store revision of the move's order; other targets are first
///               in the next move
/// @param evacuations  zones whose targets do not count, or NULL
/// @return false without memory; there is no ranking then
bool rollout_spread_rank (struct rollout_spread *spread,
                          const struct directory *directory,
                          const struct evacuation_set *evacuations,
                          const char *service, const char *version,
                          uint64_t order);

/// Chooses targets for a share: in the order of the ranking, as many as have
/// the slots for it. Targets that are cold, avoided after a failure or full
/// are chosen too, but their slots do not count.
/// @param share_bp  share of the kind of request, basis points. With one
///                  choice for each kind, no target gets more of any kind than
///                  at the end of the move.
/// @return flags by handle, valid until the next call; NULL: all targets
const bool *rollout_spread_choose (struct rollout_spread *spread,
                                   const struct directory *directory,
                                   uint32_t share_bp, uint64_t now_ms);

/// @return share at which the first target has its load of the end of the
///         move, basis points, rounded down; 0 without targets
uint32_t rollout_spread_load_share (const struct rollout_spread *spread,
                                    const struct directory *directory);

#endif
