/// Rollback of services and routes to those of an older version.
#ifndef HAWTHORNSEAM_STATE_CONFIG_ROLLBACK_H
#define HAWTHORNSEAM_STATE_CONFIG_ROLLBACK_H

#include "state/config.h"

/// Builds the content of a rollback. Services and routes are those of the
/// older version. Moves are not rolled back:
/// - a move that has ended keeps its phase, or is removed if its service does
///   not exist in the older version;
/// - a running move stays running if its service has the version from which
///   the move starts, and is cancelled otherwise;
/// - a move that is absent from the current version is restored only if it had
///   ended in the older version.
/// @param older     version to roll back to
/// @param current   current version
/// @param content   initialized only with STATUS_OK; has the version number of
///                  the current version
/// @return STATUS_CONFLICT when a running move's service does not exist in the
///         older version: the move has to be cancelled first;
///         STATUS_INVALID, STATUS_NO_MEMORY
enum status config_rollback (const struct config *older,
                             const struct config *current,
                             struct config *content);

#endif
