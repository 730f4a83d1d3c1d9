/// The operators' declaration document: YAML to configuration and back.
#ifndef HAWTHORNSEAM_PROTOCOL_DECLARATION_H
#define HAWTHORNSEAM_PROTOCOL_DECLARATION_H

#include "base/findings.h"
#include "protocol/document.h"
#include "state/config.h"

#define DECLARATION_BYTES_MAX (1024 * 1024)

/// A new move's time must be at least this far ahead.
#define DECLARATION_AHEAD_MS 60000

struct declaration_entry;

/// A parsed document. Findings of later checks refer to its places.
struct declaration
{
  struct document document;
  const char *mesh;
  struct config config; ///< as written; each move has the phase running
  /// By kind, one for each object of `config` in the same order.
  struct declaration_entry *entries[CONFIG_MOVE + 1];
};

/// Parses and checks a document on its own: fields, limits, references.
/// @param declaration  memory of the caller; started only with STATUS_OK
/// @param findings     started by the caller
/// @return STATUS_INVALID when there are findings
enum status declaration_parse (struct declaration *declaration,
                               const char *yaml, size_t size,
                               struct findings *findings);

void declaration_finish (struct declaration *declaration);

/// Merges a document with the configuration in force. Rules:
/// - System-written fields of moves that are in force are kept; their service
///   and versions must be as in force, and the time too once they have ended.
/// - A running move may not be left out; it has to be cancelled first. A move
///   that ended may be left out and is removed.
/// - A service's version must be the one in force. It may also be an older
///   one from which moves that are done, and that the document still lists,
///   lead to the one in force: a file that was applied once can be applied
///   again after its moves are done, without taking them back.
/// - A new move, or a running one with a new time, needs 60 s.
/// @param now_wall_ms  wall clock
/// @param merged       started only with STATUS_OK; version and hash are set
///                     as for content that follows in_force
/// @return STATUS_INVALID when there are findings
enum status declaration_merge (const struct declaration *declaration,
                               const struct config *in_force,
                               uint64_t now_wall_ms, struct config *merged,
                               struct findings *findings);

/// Adds a finding at the place of a field of the document.
/// @param index  of the object in declaration->config
/// @param field  NULL for the object itself
void declaration_problem (const struct declaration *declaration,
                          enum config_kind kind, size_t index,
                          const char *field, const char *message,
                          struct findings *findings);

/// Prints a configuration as a document that gives the same configuration.
/// The state of moves is added in comments.
void declaration_print (const struct config *config, const char *mesh,
                        FILE *stream);

/// Prints one line per difference: "+ route read prefix=/read ...",
/// "- service old version=v1", "~ move m share_bp=100->200".
/// @return number of lines
size_t declaration_print_diff (const struct config *from,
                               const struct config *to, FILE *stream);

/// Prints the changes of a version record's delta, "= route read prefix=..."
/// for objects that were added or changed, "- route read" for removed ones.
enum status declaration_print_delta (const uint8_t *delta, size_t size,
                                     FILE *stream);

#endif
