/// Tokens of one account at the node that owns its quota, and at the standby
/// that replaces this node. No I/O; times are monotonic milliseconds.
///
/// The owner grants at the full rate only while the standby has promised not
/// to grant (a hold, renewed every QUOTA_RENEW_MS). An owner without a hold
/// and a standby without a promise grant at half of the rate each, so that two
/// sides of a partition stay within the rate together. A node that has had its
/// role for less than QUOTA_SETTLE_MS grants only with a hold: until then an
/// earlier owner may not know of the change.
#ifndef HAWTHORNSEAM_COORDINATION_QUOTA_OWNER_H
#define HAWTHORNSEAM_COORDINATION_QUOTA_OWNER_H

#include "coordination/quota_rank.h"

#include <stdbool.h>
#include <stdint.h>

/// A token is used within this time of its grant. Rate x lease has to fit
/// into the tolerance, which is half a second of the rate.
#define QUOTA_LEASE_MS 400

/// Length of a hold. It is also the time for which the standby grants nothing
/// after the owner has died.
#define QUOTA_HOLD_MS 500
#define QUOTA_RENEW_MS 150

/// Longest time until all nodes follow a change of the directory.
#define QUOTA_SETTLE_MS 2000

/// A node that has not been heard for this long may admit requests on its own
/// (quota_lease.h); the owner reserves its share. It is the quota's window, so
/// that a node cannot use both within one window.
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

struct quota_owner
{
  struct quota_limit limit;
  enum quota_role role;
  uint64_t role_since_ms; ///< start of owner or standby, whichever came first
  uint64_t hold_until_ms; ///< the standby does not grant until then
  uint64_t promise_until_ms; ///< this node does not grant until then
  double tokens;
  uint64_t refilled_ms; ///< 0: nothing granted in this role yet
  double debt;          ///< requests that found no token, not yet made up for
  uint32_t slots[QUOTA_SLOTS]; ///< outstanding tokens by time of grant
  uint64_t slot;               ///< number of the newest slot
  uint32_t *heard_ms;          ///< by directory handle; 0: never
  size_t heard_capacity;
  uint64_t reserved_ms; ///< when `reserved` was computed
  double reserved;      ///< part of the rate kept for silent nodes
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

/// Applies this node's role as its directory has it. The standby's bucket
/// starts empty.
void quota_owner_set_role (struct quota_owner *owner, enum quota_role role,
                           uint64_t now_ms);

/// The standby answered a request for a hold that was sent at `sent_ms`; or
/// there is no standby, and the owner is the only node.
void quota_owner_held (struct quota_owner *owner, uint64_t sent_ms);

/// @return true while the owner has the standby's promise
bool quota_owner_has_hold (const struct quota_owner *owner, uint64_t now_ms);

/// The owner asks this node for a hold.
/// @param sender_owns  the sender is the owner in this node's directory
/// @return true when this node has promised not to grant
bool quota_owner_promise (struct quota_owner *owner, bool sender_owns,
                          uint64_t now_ms);

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
