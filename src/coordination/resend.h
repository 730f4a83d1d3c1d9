/// Decides what to do when offering a request to a node did not bring a
/// success response: offer it to another node, or which final response to
/// give.
///
/// A request that must run at most once is offered again only while it
/// certainly has not started to run. One whose body is streamed is offered
/// again only before a node has asked for the body. Offering a request again
/// after it reached a target takes a token from the retry budget that all
/// nodes share. A refusal by a node does not reach the target and takes none.
#ifndef HAWTHORNSEAM_COORDINATION_RESEND_H
#define HAWTHORNSEAM_COORDINATION_RESEND_H

#include "state/mesh_config.h"

#include <stdbool.h>

/// Maximum number of nodes that one request is offered to.
#define RESEND_OFFERS_MAX 5

/// Number of refusals because of load after which a request is not offered
/// again. The least loaded nodes are tried first, so further nodes would
/// refuse it too.
#define RESEND_LOAD_REFUSALS_MAX 2

enum resend_event
{
  RESEND_NOT_SENT,   ///< no connection to the node
  RESEND_REFUSED,    ///< refused by the node; it did not reach the target
  RESEND_OVERLOADED, ///< the same, because the node cannot serve it in time
  RESEND_SHED,       ///< refused by the target
  RESEND_LOST,       ///< sent, but no usable response
  RESEND_FAILED,     ///< run by the target with a failure response
  RESEND_EXPIRED     ///< the deadline has passed
};

enum resend_step
{
  RESEND_AGAIN,            ///< offer it to another node
  RESEND_FORWARD,          ///< forward the target's failure response
  RESEND_RESPOND_NOT_RUN,  ///< respond that it has not run and will not
  RESEND_RESPOND_UNKNOWN,  ///< respond that it may have run
  RESEND_RESPOND_TIMED_OUT ///< respond that it timed out; it may have run
};

struct resend
{
  enum mesh_retry_class retry_class;
  uint32_t attempts_max;  ///< maximum number of targets that run it
  uint32_t offers;        ///< nodes that it was offered to
  uint32_t runs;          ///< targets that ran it or may have run it
  bool continued;         ///< a node has begun to pass its body to a target
  uint32_t load_refusals; ///< nodes that refused it because of load
};

/// @param left_ms    time until the caller's deadline
/// @param needed_ms  minimum time that another offer needs to succeed
/// @param budget     takes a token from the retry budget, or returns false
///                   when it is used up; called only when one is needed
enum resend_step resend_decide (struct resend *resend, enum resend_event event,
                                uint64_t left_ms, uint64_t needed_ms,
                                bool (*budget) (void *arg), void *arg);

/// @return the response to give when no other node is eligible
enum resend_step resend_give_up (const struct resend *resend);

#endif
