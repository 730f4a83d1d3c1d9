/// Shares of one account at its owner, and the owner's token bucket. No I/O;
/// monotonic milliseconds.
///
/// A share counts with its old value until the entry node has reported the
/// lower one or the share has ended, so the sum of the shares in force is
/// bounded also when messages are lost.
#ifndef HAWTHORNSEAM_COORDINATION_QUOTA_OWNER_H
#define HAWTHORNSEAM_COORDINATION_QUOTA_OWNER_H

#include "coordination/quota_tenure.h"

#include <stddef.h>

/// Nodes that hold shares of one account; more are served without a share.
#define QUOTA_HOLDERS_MAX 8192

/// A part of the account's rate and of the burst pool.
struct quota_part
{
  uint32_t rate_ppm;
  uint32_t burst_ppm;
};

/// @return tokens that a share may hold
double quota_part_burst (const struct quota_part *part,
                         const struct quota_limit *limit);

/// An entry node, as the owner knows it.
struct quota_holder
{
  uint64_t node;          ///< hash of its name
  uint64_t process;       ///< id of its process
  uint64_t sequence;      ///< of its last report
  struct quota_part part; ///< largest part that may be in force there
  uint64_t until_ms;      ///< end of the part, and of this record
  double demand_per_s;    ///< as last reported
};

/// What an entry node reports, and asks for.
struct quota_report
{
  uint64_t node;
  uint64_t process;
  uint64_t sequence; ///< grows with each report of the process
  uint32_t pending;  ///< requests that wait for a token
  uint32_t tokens;   ///< unused ones of the share
  double demand_per_s;
  struct quota_part held; ///< part in force at the node
};

enum quota_verdict
{
  QUOTA_NOT_READY, ///< nothing is decided, the share stays
  QUOTA_DECIDED    ///< the tokens are a decision, also when they are 0
};

struct quota_answer
{
  enum quota_verdict verdict;
  uint32_t tokens;  ///< for waiting requests; more than those fill the share
  uint32_t wait_ms; ///< until a token for the next request is expected
  struct quota_part part; ///< in force from now on
};

struct quota_owner
{
  struct quota_limit limit;
  uint64_t serial;     ///< of the tenure in which the table was made
  uint64_t resumed_ms; ///< of the tenure, as applied
  struct quota_holder *holders;
  size_t count;
  size_t capacity;
  uint64_t booked_rate_ppm; ///< sum of the holders
  uint64_t booked_burst_ppm;
  struct quota_part known; ///< largest sum of shares that are known, while not
                           ///< entitled
  double demand_per_s;     ///< sum of the holders
  uint64_t swept_ms;
  double tokens;
  uint64_t refilled_ms; ///< 0: the bucket is not in use
  double debt;          ///< requests that found no token, not yet made up for
  uint64_t debt_ms;
};

void quota_owner_init (struct quota_owner *owner);
void quota_owner_finish (struct quota_owner *owner);

/// Applies the limit of the configuration.
void quota_owner_set_limit (struct quota_owner *owner,
                            const struct quota_limit *limit);

/// Decides on the report of an entry node, which may be this one.
struct quota_answer quota_owner_report (struct quota_owner *owner,
                                        const struct quota_tenure *tenure,
                                        const struct quota_report *report,
                                        uint64_t now_ms);

/// Removes the shares that have ended.
void quota_owner_sweep (struct quota_owner *owner, uint64_t now_ms);

/// Takes over the table of the earlier owner, after quota_tenure_accept.
void quota_owner_accept (struct quota_owner *owner,
                         const struct quota_tenure *tenure, double tokens,
                         uint64_t now_ms);

/// Adds a share of the earlier owner's table.
/// @return false when there are too many, or without memory
bool quota_owner_accept_holder (struct quota_owner *owner,
                                const struct quota_holder *holder);

#endif
