/// Expected time until the response of a node. placement.c compares candidates
/// by it, and explanations show its parts.
#ifndef HAWTHORNSEAM_COORDINATION_PLACEMENT_ESTIMATE_H
#define HAWTHORNSEAM_COORDINATION_PLACEMENT_ESTIMATE_H

#include "coordination/placement.h"

#include <string.h>

/// @return true for a node of the zone that the request comes from
static inline bool
placement_is_near (const struct directory_record *record,
                   const struct placement_request *request)
{
  return strcmp (record->entry.availability_zone, request->availability_zone)
         == 0;
}

/// @return true for the node that the request comes from
static inline bool
placement_is_own (const struct directory_record *record,
                  const struct placement_request *request)
{
  return request->own_node != NULL
         && strcmp (record->entry.node, request->own_node) == 0;
}

/// @return failure share after decay, permille
uint32_t placement_error_permille (const struct directory_load *load,
                                   uint64_t now_ms);

/// @param handles     of the candidates
/// @param with_speed  one of the eligible targets reports its speed
struct placement_basis placement_basis (const struct directory *directory,
                                        const size_t *handles, size_t count,
                                        bool with_speed, uint64_t now_ms);

#endif
