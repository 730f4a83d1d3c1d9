/// How the quota of an account is divided between its owner and the shares of
/// the entry nodes, and the times that keep the parts of successive owners
/// apart. See docs/design/quota.md for why the bound holds.
#ifndef HAWTHORNSEAM_COORDINATION_QUOTA_PLAN_H
#define HAWTHORNSEAM_COORDINATION_QUOTA_PLAN_H

#include <stdint.h>

/// A share ends this long after its last renewal. The next owner has to appear
/// before the shares of a dead one end, or every request would wait for it: a
/// dead node leaves the directory after up to 10.7 s (lease 7 s, pause of the
/// watch 1.5 s, DIRECTORY_MISSING_MS 2.2 s), and a share was renewed up to 1 s
/// before.
#define QUOTA_SHARE_MS 14000

/// Interval of reports to an owner.
#define QUOTA_RENEW_MS 1000

/// A node decides as owner only while its view was compared with the store
/// within this time.
#define QUOTA_FRESH_MS 2000

/// After a join, the earlier owner goes on for this long before it hands over:
/// by then all nodes that reach the store know the new one.
#define QUOTA_YIELD_MS 2000

/// Allowance for messages and clocks that are late.
#define QUOTA_MARGIN_MS 300

/// A new owner that received no table is entitled to the whole quota once all
/// shares of earlier owners have ended.
#define QUOTA_ENTITLED_MS                                                     \
  (QUOTA_FRESH_MS + QUOTA_YIELD_MS + QUOTA_SHARE_MS + QUOTA_MARGIN_MS)

/// An owner that lost its place or the store for less than this is still
/// entitled: nobody else can have become so in the meantime.
#define QUOTA_GAP_MS (QUOTA_SHARE_MS + QUOTA_YIELD_MS)

/// In a mesh in which all processes have just started, no shares exist; all
/// views agree after this time.
#define QUOTA_YOUNG_MS 3000

/// Start times in such a mesh differ by less than this. It is longer than a
/// node needs to be listed and entitled, so that one that starts later
/// receives the tables.
#define QUOTA_SPREAD_MS 6000

/// Fractions are in parts per million of the configured limit, so that a
/// lowered limit is binding without a message.
#define QUOTA_PPM 1000000u

/// Largest sum of the shares' rates. The rest always stays with the owner, for
/// requests beyond the shares, and a new owner may grant it early.
#define QUOTA_SHARES_PPM 850000u

/// Rate of an owner in a mesh that has just started, until QUOTA_YOUNG_MS: two
/// nodes that both believe to be the owner stay within the tolerance.
#define QUOTA_YOUNG_RATE 0.65

/// Longest use of a token that the owner granted to a waiting request.
#define QUOTA_TOKEN_MS 400

struct quota_limit
{
  double rate_per_s;
  double burst;
};

/// @return largest number of tokens at the owner without any shares in force
static inline double
quota_plan_burst (const struct quota_limit *limit)
{
  return limit->burst > 1 ? limit->burst : 1;
}

/// @return part of the burst that goes along with shares of a rate
static inline double
quota_plan_shared_burst (const struct quota_limit *limit, double rate_ppm)
{
  double part = rate_ppm < QUOTA_SHARES_PPM ? rate_ppm / QUOTA_SHARES_PPM : 1;
  return limit->burst > 2 ? part * limit->burst / 2 : 0;
}

/// @return tokens beyond the burst that all shares together may hold: half of
///         the tolerance, less the one that an owner has without any burst
static inline double
quota_plan_pool (const struct quota_limit *limit)
{
  return 0.25 * limit->rate_per_s + 0.05 * limit->burst + 9;
}

#endif
