/// Decides what follows when a request that was offered to a node has not been
/// answered well: another node, or which final answer.
///
/// A request that runs at most once is offered again only while it is certain
/// that it has not begun to run. Sends that reached a target draw on the
/// budget that all nodes share; refusals by a node do not reach the target.
#ifndef HAWTHORNSEAM_COORDINATION_RESEND_H
#define HAWTHORNSEAM_COORDINATION_RESEND_H

#include "state/mesh_config.h"

/// Nodes that one request is offered to at most.
#define RESEND_OFFERS_MAX 5

/// Nodes that may refuse a request for load before it is given up: the ones
/// with the least load are asked first.
#define RESEND_LOAD_REFUSALS_MAX 2

enum resend_event
{
  RESEND_NOT_SENT, ///< no connection to the node
  RESEND_REFUSED,  ///< the node refused it; the target has not seen it
  RESEND_LOADED,   ///< the same, since it has no room for it in time
  RESEND_SHED,     ///< the target refused it
  RESEND_LOST,     ///< sent, and no usable answer
  RESEND_FAILED,   ///< the target ran it and answered with a failure
  RESEND_EXPIRED   ///< the time is over
};

enum resend_step
{
  RESEND_AGAIN,       ///< offer it to another node
  RESEND_PASS,        ///< pass the target's own answer on
  RESEND_SAY_NOT_RUN, ///< it has not run and will not
  RESEND_SAY_UNKNOWN, ///< it may have run
  RESEND_SAY_LATE     ///< no answer in time; it may have run
};

struct resend
{
  enum mesh_repeat repeat;
  uint32_t attempts_max;  ///< targets that may run it
  uint32_t offers;        ///< nodes that it was offered to
  uint32_t runs;          ///< targets that began or may have begun to run it
  uint32_t load_refusals; ///< nodes that had no room for it
};

/// @param left_ms    time until the caller's deadline
/// @param needed_ms  least time in which another try can succeed
/// @param budget     asked only when a repeated send is to be taken from the
///                   budget; returns false when it is spent
enum resend_step resend_decide (struct resend *resend, enum resend_event event,
                                uint64_t left_ms, uint64_t needed_ms,
                                bool (*budget) (void *arg), void *arg);

/// @return what to say when no node is left to offer the request to
enum resend_step resend_give_up (const struct resend *resend);

#endif
