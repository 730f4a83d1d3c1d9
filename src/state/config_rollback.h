/// Content that brings an older version's services and routes back.
#ifndef HAWTHORNSEAM_STATE_CONFIG_ROLLBACK_H
#define HAWTHORNSEAM_STATE_CONFIG_ROLLBACK_H

#include "state/config.h"

/// Builds the content of a rollback. Services and routes are those of the
/// older version; moves never go back:
/// - a move that has ended stays ended;
/// - a running move stays running when its service keeps the version that the
///   move starts from, and is cancelled otherwise;
/// - a move that ran in the older version and was removed since stays away.
/// @param content  started only with STATUS_OK, with the version of in_force
/// @return STATUS_CONFLICT when the service of a running move did not exist;
///         the move has to be cancelled first
enum status config_rollback (const struct config *older,
                             const struct config *in_force,
                             struct config *content);

#endif
