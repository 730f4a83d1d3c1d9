/// The declaration document of operators: conversion of YAML to a
/// configuration and back, and the merge with the configuration in force.
#ifndef HAWTHORNSEAM_PROTOCOL_DECLARATION_H
#define HAWTHORNSEAM_PROTOCOL_DECLARATION_H

#include "base/findings.h"
#include "protocol/document.h"
#include "state/config.h"

#define DECLARATION_BYTES_MAX (1024 * 1024)

/// The end time of a new move must be at least this far in the future, ms.
#define DECLARATION_MOVE_LEAD_MIN_MS 60000

struct declaration_entry;

/// A parsed document. It is kept so that findings of later checks can give
/// line and column.
struct declaration
{
  struct document document;
  const char *mesh;
  struct config config; ///< as declared; each move has MOVE_RUNNING
  /// Lists by kind, each with one entry per object of `config`, in the same
  /// order.
  struct declaration_entry *entries[CONFIG_MOVE + 1];
};

/// Parses a document and checks what does not depend on the configuration in
/// force: fields, limits and references.
/// @param declaration  initialized only with STATUS_OK; to be released with
///                     declaration_finish
/// @param findings     initialized by the caller
/// @return STATUS_INVALID when findings were added
enum status declaration_parse (struct declaration *declaration,
                               const char *yaml, size_t size,
                               struct findings *findings);

void declaration_finish (struct declaration *declaration);

/// Merges a document with the configuration in force. Rules:
/// - For a move that is in force, the fields that the system writes are taken
///   from the configuration in force. The document must give the same service
///   and versions, and, once the move has ended, the same time.
/// - A running move must be declared; it has to be cancelled before it is
///   removed. An ended move that is not declared is removed.
/// - The version of a service must be the one in force, or an older one that
///   is connected to it by completed moves that the document still declares.
///   So a file can be applied again after its moves are done, without undoing
///   them.
/// - The time of a new move, and the new time of a running one, must be at
///   least DECLARATION_MOVE_LEAD_MIN_MS in the future.
/// @param now_wall_ms  wall clock, ms
/// @param merged       initialized only with STATUS_OK; has the version of
///                     in_force and the hash of the merged content
/// @return STATUS_INVALID when findings were added
enum status declaration_merge (const struct declaration *declaration,
                               const struct config *in_force,
                               uint64_t now_wall_ms, struct config *merged,
                               struct findings *findings);

/// Adds a finding at the position of a field of the document. Does nothing
/// when the value of the field could not be parsed, since that was reported.
/// @param index  index of the object in declaration->config, or SIZE_MAX for
///               the list of that kind
/// @param field  NULL for the object itself
void declaration_problem (const struct declaration *declaration,
                          enum config_kind kind, size_t index,
                          const char *field, const char *message,
                          struct findings *findings);

/// Prints a configuration as a declaration document. Parsing it and merging it
/// with the same configuration changes nothing. Comments show the state of
/// moves.
void declaration_print (const struct config *config, const char *mesh,
                        FILE *stream);

/// Prints one line per changed object: "+ route read prefix=/read ...",
/// "- service old version=v1", "~ move m share_bp=100->200".
/// @return number of lines
size_t declaration_print_diff (const struct config *from,
                               const struct config *to, FILE *stream);

/// Prints the changes of a version record's delta: "= route read prefix=..."
/// for an added or changed object, "- route read" for a removed one. A delta
/// does not tell added from changed objects.
/// @return an error of config_delta_read when the delta cannot be decoded
enum status declaration_print_delta (const uint8_t *delta, size_t size,
                                     FILE *stream);

#endif
