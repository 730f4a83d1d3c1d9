/// Times of a planned stop. It answers requests that keep arriving until the
/// process is gone: a request that is accepted needs time for its target, its
/// response and, when it is cut, an answer that says so, all before the
/// platform kills the process. Stateless.
#ifndef HAWTHORNSEAM_COORDINATION_STOP_PLAN_H
#define HAWTHORNSEAM_COORDINATION_STOP_PLAN_H

#include <stdint.h>

/// Times after the stop signal, ms, in this order.
struct stop_plan
{
  uint32_t accept_peers_ms; ///< until then, requests of other nodes are
                            ///< passed to the local target, which can only be
                            ///< reached through this node
  uint32_t accept_callers_ms; ///< until then, requests of callers are accepted
  uint32_t answer_by_ms; ///< requests whose response has not started are ended
  uint32_t exit_by_ms;   ///< the process ends, with requests in progress too
};

/// @param grace_ms  time from the stop signal until the process is killed
struct stop_plan stop_plan_make (uint32_t grace_ms);

#endif
