/// Tokens of one account at the nodes that may grant them: the owner, or the
/// standby that replaces it. No I/O; times are monotonic milliseconds.
///
/// The first three nodes of the account's ranking vote. A node grants only
/// while it holds a majority: its own vote and that of one other node, which
/// promises for QUOTA_HOLD_MS to vote for nobody else. So two nodes never
/// grant at the same time while all three rank the same nodes.
///
/// Nodes learn of a change of the ranking at different times, within
/// QUOTA_SETTLE_MS. A candidate or voter that was ranked less than this ago is
/// unsettled. Votes of or for it count only if all three agree: every majority
/// of the ranking before has a member among them, unless two nodes joined at
/// once. This covers a restarted node too, which has forgotten its promises.
/// So the nodes of a mesh that has just started grant as soon as they agree,
/// and with empty buckets.
///
/// Where only two nodes exist, one without the other's vote grants at half of
/// the rate.
#ifndef HAWTHORNSEAM_COORDINATION_QUOTA_OWNER_H
#define HAWTHORNSEAM_COORDINATION_QUOTA_OWNER_H

#include "coordination/quota_rank.h"

#include <stdbool.h>
#include <stdint.h>

/// A token is used within this time of its grant. Rate x lease has to fit
/// into the tolerance, which is half a second of the rate.
#define QUOTA_LEASE_MS 400

/// Length of a promised vote. After the owner's death the standby grants
/// nothing for this time; leased tokens and the time that requests may wait
/// (sidecar_quota.c) cover it. It spans three renewals, so that a process that
/// is late by 250 ms keeps its votes.
#define QUOTA_HOLD_MS 400
#define QUOTA_RENEW_MS 120

/// A standby asks for votes for this long after it was asked for tokens.
#define QUOTA_CANDIDATE_MS 1000

/// Longest time until all nodes follow a change of the directory.
#define QUOTA_SETTLE_MS 2000

/// A node that has not been heard for this long may admit requests on its own
/// (quota_lease.h), and the owner reserves its share. It is the quota's
/// window, so that a node cannot use both within one window. It ends after
/// QUOTA_LOCAL_END_MS: the owner does not reserve for nodes without requests
/// of the account forever.
#define QUOTA_LOCAL_END_MS 60000
#define QUOTA_SILENCE_MS 5000

/// Slots in which outstanding tokens are counted until they expire.
#define QUOTA_SLOT_MS 50
#define QUOTA_SLOTS (QUOTA_LEASE_MS / QUOTA_SLOT_MS + 1)

struct quota_limit
{
  double rate_per_s;
  double burst;
};

enum quota_verdict
{
  QUOTA_DECIDED,  ///< the grant is the decision, also when it is 0
  QUOTA_NOT_READY ///< this node must not decide: ask the other one
};

/// Vote of another node for this one.
struct quota_vote
{
  size_t voter;      ///< directory handle; SIZE_MAX: none
  bool settled;      ///< the voter has been ranked for long
  uint64_t until_ms; ///< end of its promise
  uint64_t next_ms;  ///< when to ask for it again
  uint32_t known;    ///< nodes that the voter knows to have asked for tokens
};

/// Another node that asks for a vote.
struct quota_candidate
{
  size_t node;    ///< directory handle
  unsigned rank;  ///< in this node's directory
  bool settled;   ///< it has been ranked for long
  uint32_t known; ///< what quota_owner_known returned there
};

struct quota_owner
{
  struct quota_limit limit;
  unsigned rank;            ///< of this node; QUOTA_RANKS: none
  uint64_t ranked_since_ms; ///< since when this node has had any rank
  struct quota_vote votes[QUOTA_RANKS - 1];
  bool was_held;             ///< at the last look; the bucket is valid
  size_t promised_to;        ///< directory handle
  uint64_t promise_until_ms; ///< this node does not grant until then
  uint64_t asked_ms;         ///< last request for tokens; 0: none
  double tokens;
  uint64_t refilled_ms;
  double debt; ///< requests that found no token, not yet made up for
  uint32_t slots[QUOTA_SLOTS]; ///< outstanding tokens by time of grant
  uint64_t slot;               ///< number of the newest slot
  uint32_t *heard_ms;          ///< by directory handle; 0: never
  size_t heard_capacity;
  uint64_t reserved_ms;  ///< when `reserved` was computed
  double reserved;       ///< part of the rate kept for silent nodes
  uint32_t inherited;    ///< nodes that asked the node that granted before
  uint64_t inherited_ms; ///< when this was learned; 0: never
};

struct quota_grant
{
  enum quota_verdict verdict;
  uint32_t tokens;
  uint32_t wait_ms; ///< until a token for the next request is expected
};

void quota_owner_init (struct quota_owner *owner);
void quota_owner_finish (struct quota_owner *owner);

/// Applies the limit of the configuration. A lowered burst is binding at once.
void quota_owner_set_limit (struct quota_owner *owner,
                            const struct quota_limit *limit);

/// Applies the account's ranking as this node's directory has it.
/// @param own  directory handle of this node, or SIZE_MAX
void quota_owner_set_rank (struct quota_owner *owner,
                           const struct quota_rank *rank, size_t own,
                           uint64_t now_ms);

/// @return directory handle of a node to ask for its vote now, or SIZE_MAX.
///         The caller asks it; the same one is returned again after
///         QUOTA_RENEW_MS.
size_t quota_owner_due_vote (struct quota_owner *owner, uint64_t now_ms);

/// Applies a vote for this node.
/// @param known    what quota_owner_known returned at the voter
/// @param sent_ms  when the vote was asked for; the promise is counted from it
void quota_owner_vote (struct quota_owner *owner, size_t voter, bool settled,
                       uint32_t known, uint64_t sent_ms, uint64_t now_ms);

/// @return number of nodes that asked for tokens within QUOTA_LOCAL_END_MS, as
///         far as this node knows. It goes along with votes, so that the next
///         node that grants can reserve for those that are cut off from it.
uint32_t quota_owner_known (const struct quota_owner *owner, uint64_t now_ms);

/// @return true while this node has a majority
bool quota_owner_is_held (const struct quota_owner *owner, uint64_t now_ms);

/// @return true when this node has been ranked for QUOTA_SETTLE_MS
bool quota_owner_is_settled (const struct quota_owner *owner, uint64_t now_ms);

/// Another node asks this one for its vote. A node that grants yields to a
/// settled one that ranks above it; an unsettled one could not take over yet.
/// @param settled  set when the vote is given: this node is settled
/// @return true when this node has promised its vote
bool quota_owner_promise (struct quota_owner *owner,
                          const struct quota_candidate *candidate,
                          bool *settled, uint64_t now_ms);

/// Decides on a request of another node, or of this one.
/// @param node      directory handle of the requesting node, or SIZE_MAX
/// @param nodes     nodes in the directory
/// @param current   the directory was compared with the store recently
/// @param pending   requests that wait for a token
/// @param expected  tokens wanted beyond those
/// @param returned  unused tokens of this process that come back
struct quota_grant quota_owner_ask (struct quota_owner *owner, size_t node,
                                    size_t nodes, bool current,
                                    uint32_t pending, uint32_t expected,
                                    uint32_t returned, uint64_t now_ms);

#endif
