/// Lookup table of the routes of a configuration, by request path.
#ifndef HAWTHORNSEAM_STATE_ROUTE_TABLE_H
#define HAWTHORNSEAM_STATE_ROUTE_TABLE_H

#include "state/config.h"

/// One route with its service, and the traffic split between the service's
/// versions during a move.
struct route_entry
{
  const char *route;   ///< name of the route
  const char *prefix;  ///< path prefix
  const char *service; ///< name of the service
  bool idempotent;
  uint32_t timeout_ms;     ///< default deadline of a call
  const char *version;     ///< current target version of the service
  const char *new_version; ///< of the running move, NULL without one
  const char *move;        ///< name of the running move, NULL without one
  uint32_t share_bp;       ///< share of calls for new_version, basis points
};

/// Entries, indexed by the hash of their prefix without a trailing slash.
struct route_table
{
  struct config config; ///< own copy; entries point into it
  struct route_entry *entries;
  size_t count;
  uint32_t *index;       ///< open addressing, UINT32_MAX when free
  size_t index_size;     ///< power of two
  size_t longest_prefix; ///< length of the longest prefix, no trailing slash
};

/// Builds the table from a checked configuration.
/// @param table  initialized only with STATUS_OK
/// @return STATUS_INVALID when a route names a service that does not exist,
///         STATUS_NO_MEMORY
enum status route_table_init (struct route_table *table,
                              const struct config *config);

void route_table_finish (struct route_table *table);

/// Finds the route with the longest prefix that matches a path. A prefix
/// matches complete segments: "/a/" and "/a" match "/a", "/a/" and "/a/b", not
/// "/ab".
/// @param path  path of the request, with or without a query
/// @return the entry, valid until route_table_finish, or NULL
const struct route_entry *route_table_match (const struct route_table *table,
                                             const char *path);

#endif
