/// YAML documents as trees of nodes with their places, and readers of fields
/// that report each problem as a finding.
#ifndef HAWTHORNSEAM_PROTOCOL_DOCUMENT_H
#define HAWTHORNSEAM_PROTOCOL_DOCUMENT_H

#include "base/findings.h"
#include "base/status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define DOCUMENT_DEPTH_MAX 8
#define DOCUMENT_PATH_MAX 96 ///< bytes of a field path with its terminator

enum document_kind
{
  DOCUMENT_SCALAR,
  DOCUMENT_LIST,
  DOCUMENT_MAP
};

struct document_node
{
  enum document_kind kind;
  int line;                    ///< 1-based
  int column;                  ///< 1-based
  const char *text;            ///< of a scalar
  size_t count;                ///< elements of a list, fields of a map
  struct document_node *first; ///< element, or key followed by its value
  struct document_node *next;  ///< in the same list or map
};

struct document
{
  void *arena;
  struct document_node *root;
};

/// Limits of one document.
struct document_limits
{
  size_t bytes;
  size_t nodes;
};

/// Parses one YAML document. Anchors, aliases, tags and further documents are
/// refused: they would let a small input stand for a large one.
/// @param document  memory of the caller; started only with STATUS_OK
/// @return STATUS_INVALID after a finding
enum status document_parse (struct document *document, const char *yaml,
                            size_t size, const struct document_limits *limits,
                            struct findings *findings);

void document_finish (struct document *document);

/// Reads a file for document_parse.
/// @param max   bytes; of a longer file one more is read, so that the parser
///              refuses it
/// @param text  to be freed by the caller; not terminated
/// @return STATUS_NOT_FOUND, STATUS_UNAVAILABLE or STATUS_NO_MEMORY with a
///         message
enum status document_read_file (const char *path, size_t max, char **text,
                                size_t *size);

/// Adds a finding at the place of a node.
/// @param node  NULL: place unknown
void document_problem (struct findings *findings,
                       const struct document_node *node, const char *path,
                       const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));

/// Builds the path of a field: "routes[2]" and "service" give
/// "routes[2].service".
void document_path (char path[DOCUMENT_PATH_MAX], const char *parent,
                    const char *field);

/// Finds the fields of a map; reports unknown, repeated and missing ones.
/// @param names     accepted fields
/// @param required  bit i is set when names[i] must be present
/// @param values    set to the values, NULL for absent fields
/// @return false when the node is no map
bool document_fields (const struct document_node *map, const char *path,
                      const char *const *names, size_t count,
                      unsigned required, const struct document_node **values,
                      struct findings *findings);

/// Readers of one value. They return false or NULL without a finding when the
/// node is NULL, because its absence was decided by document_fields.
const char *document_text (const struct document_node *node, const char *path,
                           struct findings *findings);
bool document_number (const struct document_node *node, const char *path,
                      uint64_t min, uint64_t max, uint64_t *value,
                      struct findings *findings);
bool document_bool (const struct document_node *node, const char *path,
                    bool *value, struct findings *findings);

/// @return the list, or NULL after a finding
const struct document_node *document_list (const struct document_node *node,
                                           const char *path, size_t max,
                                           struct findings *findings);

#endif
