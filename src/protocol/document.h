/// YAML documents as trees of nodes with line and column, and functions that
/// read typed values from nodes and report each problem as a finding.
#ifndef HAWTHORNSEAM_PROTOCOL_DOCUMENT_H
#define HAWTHORNSEAM_PROTOCOL_DOCUMENT_H

#include "base/findings.h"
#include "base/status.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define DOCUMENT_DEPTH_MAX 8 ///< nested lists and maps
#define DOCUMENT_PATH_MAX 96 ///< bytes of a field path, with terminator

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
  const char *text;            ///< value of a scalar
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
/// refused, because aliases let a small input expand to a large document.
/// @param document  initialized only with STATUS_OK; to be released with
///                  document_finish
/// @return STATUS_INVALID when a finding was added
enum status document_parse (struct document *document, const char *yaml,
                            size_t size, const struct document_limits *limits,
                            struct findings *findings);

void document_finish (struct document *document);

/// Reads a file for document_parse.
/// @param max   limit in bytes; of a longer file max + 1 bytes are read,
///              which document_parse reports as too many
/// @param text  to be freed by the caller; not zero-terminated
/// @return STATUS_NOT_FOUND, STATUS_UNAVAILABLE or STATUS_NO_MEMORY with a
///         message
enum status document_read_file (const char *path, size_t max, char **text,
                                size_t *size);

/// Adds a finding at the position of a node.
/// @param node  NULL when the position is not known
void document_problem (struct findings *findings,
                       const struct document_node *node, const char *path,
                       const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));

/// Builds the path of a field: "routes[2]" and "service" give
/// "routes[2].service".
void document_path (char path[DOCUMENT_PATH_MAX], const char *parent,
                    const char *field);

/// Finds the fields of a map; reports unknown, repeated and missing fields.
/// @param names     names of the accepted fields
/// @param required  bit i is set when names[i] must be present
/// @param values    set to the nodes of the values, NULL for absent fields
/// @return false when the node is not a map
bool document_fields (const struct document_node *map, const char *path,
                      const char *const *names, size_t count,
                      unsigned required, const struct document_node **values,
                      struct findings *findings);

/// The following functions read one value. They return false or NULL after a
/// finding, and without one when the node is NULL: document_fields has
/// reported a required field that is absent.
const char *document_text (const struct document_node *node, const char *path,
                           struct findings *findings);
bool document_number (const struct document_node *node, const char *path,
                      uint64_t min, uint64_t max, uint64_t *value,
                      struct findings *findings);
bool document_bool (const struct document_node *node, const char *path,
                    bool *value, struct findings *findings);

/// @param max  largest accepted number of elements
/// @return the list; NULL after a finding, and without one when the field is
/// absent or has no value
const struct document_node *document_list (const struct document_node *node,
                                           const char *path, size_t max,
                                           struct findings *findings);

#endif
