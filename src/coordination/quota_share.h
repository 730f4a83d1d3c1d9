/// Share of one account at an entry node: admits requests without asking the
/// owner, and estimates the demand that is reported to it. No I/O; monotonic
/// milliseconds.
#ifndef HAWTHORNSEAM_COORDINATION_QUOTA_SHARE_H
#define HAWTHORNSEAM_COORDINATION_QUOTA_SHARE_H

#include "coordination/quota_owner.h"

/// A share is renewed for this long after the last request. An account of one
/// request in 3 s keeps it with a probability of 99.9 %.
#define QUOTA_USED_MS 20000

/// A part that is reduced is confirmed to the owner after this time instead of
/// QUOTA_RENEW_MS, so that nodes with more demand get it soon.
#define QUOTA_CONFIRM_MS 100

/// Shortest and longest time between two requests for tokens when the owner
/// had none.
#define QUOTA_ASK_AGAIN_MS 25

/// Longest wait for a token of a request over the quota. A request that comes
/// between two tokens of a small quota is served; a longer queue would only
/// delay all requests of an account that sends too much.
#define QUOTA_OVER_WAIT_MS 250

/// The second-ranked node is asked for this long after the owner did not
/// decide: during a join or a planned stop, it may decide already or still.
#define QUOTA_SECOND_MS 100

/// After this time without a decision, requests wait only for the share.
#define QUOTA_FAIL_FAST_MS 1000

/// A token that a request has taken.
struct quota_token
{
  bool taken;
  uint64_t taken_ms;
};

struct quota_share
{
  struct quota_limit limit;
  struct quota_part part;
  uint64_t until_ms; ///< end of the part
  double tokens;
  uint64_t refilled_ms;
  uint32_t granted;          ///< by the owner to waiting requests
  uint64_t granted_until_ms; ///< when these tokens end
  double late_tokens;        ///< returns of old tokens that may still be used
  uint32_t arrived;          ///< requests since the last estimate
  double fast_per_s;         ///< demand, smoothed over FAST_MS
  double slow_per_s;         ///< smoothed over SLOW_MS
  uint64_t estimated_ms;     ///< 0: never
  uint64_t used_ms;          ///< last request; 0: never
  uint64_t next_report_ms;
  uint64_t next_ask_ms;     ///< earliest next request for tokens
  uint64_t second_until_ms; ///< the second-ranked node is asked until then
  uint64_t undecided_ms;    ///< since when nobody has decided; 0: not so
  uint32_t over_wait_ms;    ///< wait for a token as of the last decision; 0:
                            ///< all requests got theirs
  double local_tokens;
  uint64_t local_ms;
};

void quota_share_init (struct quota_share *share);

/// Applies the limit of the configuration.
void quota_share_set_limit (struct quota_share *share,
                            const struct quota_limit *limit);

/// Counts a request of a caller.
void quota_share_arrive (struct quota_share *share, uint64_t now_ms);

/// Takes a token for a request.
/// @return false when there is none
bool quota_share_take (struct quota_share *share, struct quota_token *token,
                       uint64_t now_ms);

/// Returns the token of a request that never ran, once, to the share.
void quota_share_put_back (struct quota_share *share,
                           struct quota_token *token, uint64_t now_ms);

/// @return true when the owner is to be told of the demand
bool quota_share_is_due (const struct quota_share *share, uint64_t now_ms);

/// Fills in a report; the caller adds the process, the sequence and the
/// waiting requests. The next report is due later.
void quota_share_report (struct quota_share *share,
                         struct quota_report *report, uint64_t now_ms);

/// Gives up the share: this node is shutting down and its callers go to
/// others. The next report tells the owner.
void quota_share_release (struct quota_share *share, uint64_t now_ms);

/// @return true when the second-ranked node is to be asked, else the owner
bool quota_share_asks_second (const struct quota_share *share,
                              uint64_t now_ms);

/// Applies a decision on a report that was sent at `sent_ms`.
void quota_share_decided (struct quota_share *share,
                          const struct quota_answer *answer, uint32_t pending,
                          uint64_t sent_ms, uint64_t now_ms);

/// The node asked could not decide or did not answer; the share stays.
/// @param asked  requests were waiting; the other node is asked next
void quota_share_undecided (struct quota_share *share, bool asked,
                            uint64_t now_ms);

/// @return true for a request without a token that is rejected without asking:
///         the account is far over its quota
bool quota_share_is_far_over (const struct quota_share *share,
                              uint64_t now_ms);

/// @return true for a request that is not held, as nobody has decided for long
///         and the share has no token in time
bool quota_share_is_hopeless (const struct quota_share *share,
                              uint32_t waiting, uint64_t now_ms);

/// @return latest time, after now, of the decision for a waiting request that
///         is rejected now, as a token would come too late; 0: none is
uint64_t quota_share_reject_before (const struct quota_share *share,
                                    uint64_t now_ms);

/// Decides on a request without an owner and without a share. All nodes
/// together admit at most a twentieth of the rate, which fits into the
/// tolerance, so that no owner has to keep it free.
/// @param nodes  in the directory
/// @return true to admit it
bool quota_share_take_local (struct quota_share *share, size_t nodes,
                             uint64_t now_ms);

#endif
