/// Tokens of one account that the entry node has leased, and its estimate of
/// the account's demand at this node. No I/O; monotonic milliseconds.
#ifndef HAWTHORNSEAM_COORDINATION_QUOTA_LEASE_H
#define HAWTHORNSEAM_COORDINATION_QUOTA_LEASE_H

#include "coordination/quota_owner.h"

/// Time for which tokens are requested in advance.
#define QUOTA_AHEAD_MS 250

/// Shortest time between two requests for tokens after one that left requests
/// without any.
#define QUOTA_ASK_AGAIN_MS 20

/// Longest wait for a token of a request over the quota. A request that comes
/// between two tokens of a small quota is served; a longer queue would only
/// delay all requests of an account that sends too much.
#define QUOTA_OVER_WAIT_MS 250

/// The standby is asked for this long after the owner did not decide.
#define QUOTA_STANDBY_MS 100

/// After this time without a decision, a request waits only if no other one
/// does: it would most likely wait in vain.
#define QUOTA_FAIL_FAST_MS 1000

/// A node that was in contact for less than this may be unknown to the voters,
/// and so to the next owner. They learn of it with the next vote, within
/// 150 ms; the owner may grant for another QUOTA_HOLD_MS without them.
#define QUOTA_KNOWN_MS 1000

/// Grants that are kept apart until they expire.
#define QUOTA_BATCHES 4

struct quota_batch
{
  uint32_t tokens;
  uint64_t sent_ms; ///< when the tokens were requested; the lease starts here
  uint64_t lender;  ///< identifies the process that granted them
};

/// A token that a request has taken.
struct quota_token
{
  bool taken;
  uint64_t sent_ms; ///< start of its lease
  uint64_t lender;
};

struct quota_lease
{
  struct quota_batch batches[QUOTA_BATCHES];
  double demand_per_s;       ///< smoothed
  uint64_t demand_ms;        ///< time of the last update
  uint64_t contact_ms;       ///< last decision of an owner or standby; 0: none
  uint64_t first_contact_ms; ///< start of the contact without longer gaps than
                             ///< QUOTA_LOCAL_END_MS
  uint64_t undecided_ms;     ///< since when nobody has decided; 0: not so
  uint64_t next_ask_ms;      ///< earliest next request for tokens
  uint64_t standby_until_ms; ///< the standby is asked until then
  uint32_t over_wait_ms; ///< wait for a token as of the last decision; 0: the
                         ///< account was within its quota
  uint32_t unused;       ///< tokens of expired leases whose requests never ran
  uint64_t unused_lender;
  double usual_per_s; ///< smoothed demand while it was within the quota
  uint64_t usual_ms;  ///< time of the last update
  bool was_over;      ///< over the quota at the last decision, while undecided
  unsigned not_ready; ///< answers in a row that the node asked is not ready
  double settling_tokens; ///< for requests while no node is ready
  uint64_t settling_ms;   ///< time of the last update; 0: not so now
  double local_tokens;    ///< for requests without a reachable owner
  uint64_t local_ms;
};

void quota_lease_init (struct quota_lease *lease);

/// Counts a request of a caller.
void quota_lease_arrive (struct quota_lease *lease, uint64_t now_ms);

/// Takes a leased token for a request.
/// @param token  set to the token
/// @return false when there is none
bool quota_lease_take (struct quota_lease *lease, struct quota_token *token,
                       uint64_t now_ms);

/// Returns the token of a request that never ran, once: it serves another
/// request within its lease, or goes back to its lender.
void quota_lease_put_back (struct quota_lease *lease,
                           struct quota_token *token, uint64_t now_ms);

/// @return tokens to request for the next QUOTA_AHEAD_MS, beyond those for
///         waiting requests
uint32_t quota_lease_expected (struct quota_lease *lease, uint64_t now_ms);

/// Removes the tokens that were not used soon, to be sent back.
/// @param lender  the process to which they go back; others' are kept
uint32_t quota_lease_give_back (struct quota_lease *lease, uint64_t lender,
                                uint64_t now_ms);

/// @return true when the standby is to be asked, else the owner
bool quota_lease_asks_standby (const struct quota_lease *lease,
                               uint64_t now_ms);

/// Applies the decision in response to a message sent at `sent_ms`: adds the
/// granted tokens.
/// @param wait_ms  until a token for the next request is expected; 0: all
///                 requests got theirs
void quota_lease_decided (struct quota_lease *lease, uint32_t tokens,
                          uint32_t wait_ms, uint64_t lender, uint64_t sent_ms,
                          uint64_t now_ms);

/// The node asked could not decide or did not answer: the other one is asked
/// next.
/// @param answered  it answered that it is not ready to decide
/// @return true when neither could; quota_lease_take_local and
///         quota_lease_take_settling may be used
bool quota_lease_undecided (struct quota_lease *lease, bool answered,
                            uint64_t now_ms);

/// Decides on a request while owner and standby both answer that they are not
/// ready: the ranking has just changed, by many entries at once, and nobody
/// grants. An account that was within its quota goes on at its usual rate at
/// this node. All nodes together then admit what they did before, which was
/// within the quota, also if the account begins to send more.
/// @return true to admit it
bool quota_lease_take_settling (struct quota_lease *lease, uint64_t now_ms);

/// @return true for a request without a token that is rejected without asking:
///         the account is far over its quota
bool quota_lease_is_far_over (const struct quota_lease *lease,
                              uint64_t now_ms);

/// @return true for a request that is not held, as nobody has decided for long
bool quota_lease_is_hopeless (const struct quota_lease *lease,
                              uint32_t waiting, uint64_t now_ms);

/// @return latest time, after now, of the decision for a waiting request that
///         is rejected now, as a token would come too late; 0: none is
uint64_t quota_lease_reject_before (const struct quota_lease *lease,
                                    uint64_t now_ms);

/// Decides on a request when neither the owner nor the standby can be asked.
/// A node that was in contact for QUOTA_KNOWN_MS before may admit rate / (2 x
/// nodes) on its own, once it has had no contact for QUOTA_SILENCE_MS: the
/// owner has reserved that share by then.
/// @return true to admit it
bool quota_lease_take_local (struct quota_lease *lease,
                             const struct quota_limit *limit, size_t nodes,
                             uint64_t now_ms);

#endif
