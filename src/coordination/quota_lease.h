/// Tokens of one account that the entry node has leased, and its estimate of
/// the account's demand at this node. No I/O; monotonic milliseconds.
#ifndef HAWTHORNSEAM_COORDINATION_QUOTA_LEASE_H
#define HAWTHORNSEAM_COORDINATION_QUOTA_LEASE_H

#include "coordination/quota_owner.h"

/// Time for which tokens are requested in advance.
#define QUOTA_AHEAD_MS 250

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
  double demand_per_s; ///< smoothed
  uint64_t demand_ms;  ///< time of the last update
  uint64_t contact_ms; ///< last decision of an owner or standby, or the start
  uint32_t unused;     ///< tokens of expired leases whose requests never ran
  uint64_t unused_lender;
  double local_tokens; ///< for requests without a reachable owner
  uint64_t local_ms;
};

/// @param now_ms  the time without contact starts here
void quota_lease_init (struct quota_lease *lease, uint64_t now_ms);

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

/// Adds tokens granted in response to a message sent at `sent_ms`.
void quota_lease_add (struct quota_lease *lease, uint32_t tokens,
                      uint64_t lender, uint64_t sent_ms, uint64_t now_ms);

/// Decides on a request when neither the owner nor the standby can be asked.
/// A node may admit rate / (2 x nodes) on its own, once it has had no contact
/// for QUOTA_SILENCE_MS: the owner has reserved that share by then.
/// @return true to admit it
bool quota_lease_take_local (struct quota_lease *lease,
                             const struct quota_limit *limit, size_t nodes,
                             uint64_t now_ms);

#endif
