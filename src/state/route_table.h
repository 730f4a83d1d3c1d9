/// Routes compiled from a configuration for the lookup of request paths.
#ifndef HAWTHORNSEAM_STATE_ROUTE_TABLE_H
#define HAWTHORNSEAM_STATE_ROUTE_TABLE_H

#include "state/config.h"

/// One route with its service and the split of traffic between versions.
struct route_entry
{
  const char *route; ///< name
  const char *prefix;
  const char *service;
  bool idempotent;
  uint32_t timeout_ms;
  const char *version;     ///< target version that carries the traffic
  const char *new_version; ///< of the running move, NULL without one
  const char *move;        ///< name of the running move, NULL without one
  uint32_t share_bp;       ///< share of calls for new_version, basis points
};

/// Entries by the hash of their prefix without a slash at the end.
struct route_table
{
  struct config config; ///< own copy; entries point into it
  struct route_entry *entries;
  size_t count;
  uint32_t *index;   ///< open addressing, UINT32_MAX when free
  size_t index_size; ///< power of two
  size_t longest;    ///< bytes of the longest prefix
};

/// Compiles the routes of a checked configuration.
/// @param table  memory of the caller, started only with STATUS_OK
/// @return STATUS_INVALID when a route names a service that is absent
enum status route_table_init (struct route_table *table,
                              const struct config *config);

void route_table_finish (struct route_table *table);

/// Finds the route with the longest prefix of a path. A prefix matches whole
/// segments: "/a/" and "/a" match "/a", "/a/" and "/a/b", not "/ab".
/// @param path  of the request, with or without a query
/// @return the entry, valid until route_table_finish, or NULL
const struct route_entry *route_table_match (const struct route_table *table,
                                             const char *path);

#endif
