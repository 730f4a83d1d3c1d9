/// Validation of a configuration and of the transition from one version to the
/// next.
#ifndef HAWTHORNSEAM_STATE_CONFIG_CHECK_H
#define HAWTHORNSEAM_STATE_CONFIG_CHECK_H

#include "state/config.h"

/// Callback for the problems that config_check_each finds.
struct config_report
{
  /// @param index    of the object in the sorted array of its kind; SIZE_MAX
  ///                 when the problem concerns the whole array
  /// @param field    name of the field, NULL for the whole object
  /// @param message  valid during the call
  void (*problem) (void *arg, enum config_kind kind, size_t index,
                   const char *field, const char *message);
  void *arg;
};

/// Checks names, limits and references, that each service has at most one
/// running move, and that a running move starts from its service's version.
/// @param moves_resolved  false for a document whose moves have no phase yet:
///                        the rules of running moves are not checked
/// @return number of problems reported
size_t config_check_each (const struct config *config, bool moves_resolved,
                          const struct config_report *report);

/// Checks the transition between two consecutive versions:
/// - a move that has ended keeps its phase, service, versions and time;
/// - a running move keeps its service and versions and is not removed;
/// - when a running move becomes done, its service has the new version.
/// A move that has ended may be removed.
/// @return STATUS_INVALID with the first problem
enum status config_check_transition (const struct config *from,
                                     const struct config *to);

/// @return true for [a-z][a-z0-9-]* of at most `max` bytes
bool config_name_valid (const char *name, size_t max);

/// @return true for a target version: 1 to CONFIG_TARGET_NAME_MAX letters,
///         digits, '.', '_' and '-', the first one a letter or digit
bool config_version_valid (const char *version);

#endif
