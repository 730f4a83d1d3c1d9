/// Classes of outcomes that a caller is told, and the decision whether the
/// node that chose a target tries another one. The budget bounds all retries
/// of a node to a tenth of its calls.
#ifndef HAWTHORNSEAM_COORDINATION_RETRY_H
#define HAWTHORNSEAM_COORDINATION_RETRY_H

#include <stdbool.h>
#include <stdint.h>

/// Times a call is sent at most, the first time included.
#define RETRY_TRIES_MAX 2

/// Time that must be left for another try to be worth starting.
#define RETRY_LEFT_MIN_MS 5

enum call_outcome
{
  CALL_RAN,     ///< the target gave a whole, verified answer
  CALL_NOT_RUN, ///< certainly never started
  CALL_UNKNOWN  ///< may have run
};

/// Why a call ended, as the node that chose the target knows it.
enum call_end
{
  CALL_END_ANSWERED,        ///< the target's answer came back
  CALL_END_NOT_CONNECTED,   ///< no connection to the target's node
  CALL_END_REFUSED,         ///< the target's node said that it did not run
  CALL_END_UNKNOWN_BY_NODE, ///< the target's node cannot tell
  CALL_END_LOST,            ///< sent, then reset or cut before the answer
  CALL_END_TIMED_OUT,       ///< sent, no answer within the deadline
  CALL_END_UNFRAMED,        ///< an answer whose end cannot be verified
  CALL_END_CANCELLED        ///< the caller went away
};

struct retry_budget
{
  uint64_t tokens;       ///< thousandths of a retry
  uint64_t last_gift_ms; ///< last token given by time instead of by a call
};

struct retry_try
{
  enum call_end end;
  bool idempotent;
  bool answer_started; ///< part of an answer was passed to the caller
  unsigned tries;      ///< tries made so far, at least 1
  uint64_t now_ms;
  uint64_t deadline_ms;
};

/// Starts a budget that allows a few retries before the first calls.
void retry_init (struct retry_budget *budget, uint64_t now_ms);

/// Adds a tenth of a retry for a call that entered the mesh here.
void retry_count_call (struct retry_budget *budget, uint64_t now_ms);

/// @return what may be said of a call that ended so
enum call_outcome retry_outcome (enum call_end end);

/// Decides and, when the answer is yes, takes a retry from the budget.
/// @return true when another target may be tried
bool retry_take (struct retry_budget *budget, const struct retry_try *last);

#endif
