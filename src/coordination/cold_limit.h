/// Limits the rate of requests to the local target while it is cold: after its
/// start, and whenever it reports so, it tolerates few requests per second and
/// crashes at a rate well above that. Handles the load that returns at once
/// when a zone comes back or an evacuation ends. All requests to a target pass
/// through its node, so one token bucket there bounds the rate of all senders.
#ifndef HAWTHORNSEAM_COORDINATION_COLD_LIMIT_H
#define HAWTHORNSEAM_COORDINATION_COLD_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

struct cold_limit
{
  double per_s;      ///< tolerated while cold; 0: no limit
  double burst;      ///< maximum number of tokens
  double tokens;     ///< available at `updated_ms`
  uint64_t until_ms; ///< end of the cold time, monotonic; 0: warm
  bool suspected;    ///< cold until the target reports otherwise
  uint64_t updated_ms;
};

/// Sets the limits of the target's service.
/// @param slack  requests that the platform tolerates beyond the rate in one
///               second; half of it is used, since requests arrive unevenly
void cold_limit_set (struct cold_limit *limit, double per_s, double slack);

/// Records a report of the target.
/// @param cold_ms  how much longer it stays cold; 0: it is warm
void cold_limit_report (struct cold_limit *limit, uint32_t cold_ms,
                        uint64_t now_ms);

/// The target may be cold without having said so: it was not reachable, or its
/// zone was evacuated. It counts as cold until its next report.
void cold_limit_suspect (struct cold_limit *limit, uint64_t now_ms);

bool cold_limit_is_cold (const struct cold_limit *limit, uint64_t now_ms);

/// Takes a token for a request to the target; a warm one needs none.
/// @return false when the cold target must not get the request now
bool cold_limit_take (struct cold_limit *limit, uint64_t now_ms);

/// @return time until a cold target can take a request, ms
uint32_t cold_limit_wait_ms (const struct cold_limit *limit, uint64_t now_ms);

#endif
