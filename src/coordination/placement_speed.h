/// Expected response time of a target that reports how long work takes on its
/// machine at the moment. Load: targets of uneven speed that are disturbed for
/// some hundred milliseconds, and entry nodes that get a report of each target
/// only every few hundred milliseconds to seconds.
#ifndef HAWTHORNSEAM_COORDINATION_PLACEMENT_SPEED_H
#define HAWTHORNSEAM_COORDINATION_PLACEMENT_SPEED_H

#include "coordination/placement.h"

/// @param handles  of candidates
/// @return means over the candidates that have reported
struct placement_speed_typical
placement_speed_typical (const struct directory *directory,
                         const size_t *handles, size_t count);

/// Sets the expected times in the target and in its queue.
void placement_speed_estimate (const struct directory_record *record,
                               const struct placement_speed_typical *typical,
                               uint64_t now_ms,
                               struct placement_estimate *estimate);

/// @param record  node to which the request would go; NULL: any
/// @return time that the request's body takes on the slower of this VM's link
///         and what is left of the other one's, microseconds; 0 when it is
///         short. Requests to the own target use no link.
uint64_t placement_speed_transfer_us (const struct placement_request *request,
                                      const struct directory_record *record);

/// @return what a request to another zone costs, microseconds
uint64_t
placement_speed_cross_zone_us (const struct placement_request *request,
                               uint64_t typical_us);

#endif
