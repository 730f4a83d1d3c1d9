/// Rules that a configuration and the step from one to the next must keep.
#ifndef HAWTHORNSEAM_STATE_CONFIG_CHECK_H
#define HAWTHORNSEAM_STATE_CONFIG_CHECK_H

#include "state/config.h"

/// Receiver of the problems of a configuration.
struct config_report
{
  /// @param index  of the object among the sorted ones; SIZE_MAX for the list
  /// @param field  name of the field, NULL for the object
  void (*problem) (void *arg, enum config_kind kind, size_t index,
                   const char *field, const char *message);
  void *arg;
};

/// Checks names, limits and references, and for running moves that there is
/// one per service and that it starts from the service's version.
/// @param moves_resolved  false for a document whose moves have no phase yet:
///                        the rules of running moves are left out
/// @return number of problems reported
size_t config_check_each (const struct config *config, bool moves_resolved,
                          const struct config_report *report);

/// Checks the rules between two versions that follow each other:
/// - a move that has ended keeps its phase, service, versions and time;
/// - a running move keeps its service and versions;
/// - when a move is done, its service's version is the new one.
/// A move that ended may be removed; a running one may not.
/// @return STATUS_INVALID with the first problem
enum status config_check_step (const struct config *from,
                               const struct config *to);

/// @return true for [a-z][a-z0-9-]* of at most `max` bytes
bool config_name_valid (const char *name, size_t max);

/// @return true for a target version: letters, digits, '.', '_' and '-',
/// first a letter or digit, at most 31 bytes
bool config_version_valid (const char *version);

#endif
