/// Right of this node to decide on the quotas of a group of accounts. No I/O;
/// monotonic milliseconds.
///
/// The first node by rendezvous hashing is the owner. It is entitled to the
/// whole quota when it has received the tables of the earlier owner, or when
/// all shares which that one may have leased have ended.
#ifndef HAWTHORNSEAM_COORDINATION_QUOTA_TENURE_H
#define HAWTHORNSEAM_COORDINATION_QUOTA_TENURE_H

#include "coordination/quota_plan.h"

#include <stdbool.h>

/// What this node knows at one time.
struct quota_standing
{
  bool first;    ///< ranked first, and its own entry is in the store
  bool fresh;    ///< the view was compared with the store in QUOTA_FRESH_MS
  bool joined;   ///< its entry has been listed for less than QUOTA_JOIN_MS
  bool young;    ///< no listed process is older by QUOTA_SPREAD_MS
  bool starting; ///< this process is younger than QUOTA_SPREAD_MS
};

/// Time after which a listed node is no longer one that has just joined.
#define QUOTA_JOIN_MS (QUOTA_FRESH_MS + QUOTA_YIELD_MS)

struct quota_tenure
{
  uint64_t since_ms;       ///< first in the ranking since; 0: never
  uint64_t seen_ms;        ///< last time at which it was first in a fresh view
  uint64_t ended_ms;       ///< from when on no earlier owner decides
  uint64_t resumed_ms;     ///< end of the last gap; what was leased before may
                           ///< have been renewed by another node
  uint64_t from_ms;        ///< start of filling the buckets of unused accounts
  uint64_t yield_until_ms; ///< not first, but decides until then; 0: no
  uint64_t serial;         ///< grows when the shares are unknown again
  bool entitled;
  bool starting; ///< this process had just started when it became first
  bool young;    ///< as before, and no process is older: no shares exist
  bool fresh;
  bool first;
  bool handed_over; ///< another node has got the tables
};

/// Applies what the node knows now; to be called at least every 500 ms.
void quota_tenure_observe (struct quota_tenure *tenure,
                           const struct quota_standing *standing,
                           uint64_t now_ms);

/// @return true when this node may decide; if not entitled, once the
///         earlier owner has ended, within the shares that are known and the
///         part that stays with an owner
bool quota_tenure_decides (const struct quota_tenure *tenure, uint64_t now_ms);

/// @return true when the tables are to be sent to the node that ranks first
/// @param stopping  this node is shutting down
bool quota_tenure_hands_over (const struct quota_tenure *tenure, bool stopping,
                              uint64_t now_ms);

/// The tables are being sent: this node decides no more.
void quota_tenure_end (struct quota_tenure *tenure);

/// Takes over from the earlier owner.
/// @param unused_ms  for how long the buckets without a table have been
/// filling
/// @return false when its tables are not needed or too late
bool quota_tenure_accept (struct quota_tenure *tenure, uint64_t unused_ms,
                          uint64_t now_ms);

/// @return for how long the bucket of an account that was not used has been
///         filling
uint64_t quota_tenure_unused_ms (const struct quota_tenure *tenure,
                                 uint64_t now_ms);

#endif
