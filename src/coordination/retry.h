/// Outcomes of calls that are reported to callers, and the decision whether
/// the node that chose a target tries another one. A retry budget limits the
/// retries of a node to a tenth of its calls.
#ifndef HAWTHORNSEAM_COORDINATION_RETRY_H
#define HAWTHORNSEAM_COORDINATION_RETRY_H

#include <stdbool.h>
#include <stdint.h>

/// Maximum number of attempts of a call, including the first one.
#define RETRY_ATTEMPTS_MAX 2

/// Minimum time until the deadline for another attempt.
#define RETRY_LEFT_MIN_MS 5

enum call_outcome
{
  CALL_RAN,     ///< the target gave a complete, verified response
  CALL_NOT_RUN, ///< certainly not started
  CALL_UNKNOWN  ///< may have run
};

/// How a call ended, as seen by the node that chose the target.
enum call_end
{
  CALL_END_ANSWERED,        ///< the target's response was received
  CALL_END_NOT_CONNECTED,   ///< no connection to the target's node
  CALL_END_REFUSED,         ///< the target's node reported that it did not run
  CALL_END_UNKNOWN_BY_NODE, ///< the target's node does not know whether it ran
  CALL_END_LOST,            ///< sent, but the connection was lost
  CALL_END_TIMED_OUT,       ///< sent, but no response before the deadline
  CALL_END_UNFRAMED,        ///< a response whose end cannot be verified
  CALL_END_CANCELLED        ///< the caller went away
};

struct retry_budget
{
  uint64_t tokens;          ///< thousandths of a retry
  uint64_t refill_start_ms; ///< start of the current refill period
};

struct retry_attempt
{
  enum call_end end;
  bool idempotent;
  bool response_started; ///< part of a response was passed to the caller
  unsigned attempts;     ///< attempts made so far, at least 1
  uint64_t now_ms;
  uint64_t deadline_ms;
};

/// Initializes a budget with a few tokens, so that the first calls can be
/// retried.
void retry_init (struct retry_budget *budget, uint64_t now_ms);

/// Adds a tenth of a token for a call that entered the mesh at this node.
void retry_count_call (struct retry_budget *budget, uint64_t now_ms);

/// @return the outcome to report for a call that ended this way
enum call_outcome retry_outcome (enum call_end end);

/// Decides whether another target may be tried; if so, takes a token from the
/// budget.
/// @return true when another target may be tried
bool retry_take (struct retry_budget *budget,
                 const struct retry_attempt *last);

#endif
