/// Ranks the requests that compete for a target's slots by what it costs
/// callers not to start them now. Answers a shortage of slots that lasts for
/// seconds, with kinds of work that differ in priority, work and objective,
/// and with accounts of which one may send many times its usual load.
///
/// A ticket's score is its value per slot time, discounted by the slack that
/// is left before its objective and its deadline (the "apparent tardiness
/// cost" rule). Kinds that were served too seldom are raised until they are
/// within their bounds again. Each account has a token bucket of slot time
/// that refills at a multiple of its usual use; its requests beyond the bucket
/// come last and are refused first.
#ifndef HAWTHORNSEAM_COORDINATION_SHED_COST_H
#define HAWTHORNSEAM_COORDINATION_SHED_COST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Kinds of work whose outcomes are tracked. The same work with different
/// ranks, which accounts may set, counts as different kinds.
#define SHED_COST_KINDS 32

/// Ranks of routes within one rank of accounts: a rank is that of the account
/// times this, and that of the route. Without accounts it is the route's.
#define SHED_COST_ROUTE_RANKS 4u

/// Ranks beyond this one count the same.
#define SHED_COST_RANK_MAX 8

/// Accounts that are tracked; those with the least use are replaced first. An
/// account that crowds out others is among the largest of a node.
#define SHED_COST_ACCOUNTS 128

struct shed_cost_item
{
  uint32_t kind;
  uint32_t rank;         ///< 0 is the most urgent
  uint32_t account;      ///< hash of the client account; 0: none
  uint32_t service_us;   ///< expected slot time
  uint64_t objective_us; ///< end of full value, monotonic time
  uint64_t deadline_us;  ///< end of any value
  bool over_share;       ///< set by shed_cost_offer: beyond the usual share
  uint8_t entry;         ///< set by shed_cost_offer: index of its kind
};

/// Recent outcomes; the counts decay exponentially.
struct shed_cost_outcomes
{
  double served;
  double on_time; ///< those of `served` that met their objective
  double refused;
};

struct shed_cost_kind
{
  bool used;
  uint32_t kind;
  uint32_t rank;
  uint32_t service_us; ///< expected slot time of the newest request
  double offered_us;   ///< slot time offered recently, decaying
  double boost;        ///< factor of the score; above 1 when served too seldom
  struct shed_cost_outcomes outcomes;
  uint64_t served_total; ///< without decay, for the metrics
  uint64_t refused_total;
};

struct shed_cost_account
{
  uint32_t account;    ///< 0: unused
  double tokens_us;    ///< slot time that may be used at once
  double usual_us;     ///< slot time within the share, decaying over a minute
  uint64_t first_us;   ///< time of the first request
  uint64_t updated_us; ///< time of the last request
  struct shed_cost_outcomes outcomes;
};

struct shed_cost
{
  uint64_t started_us; ///< first request; 0: none yet
  uint64_t updated_us; ///< last decay
  size_t slots;        ///< slots of the target
  size_t active;       ///< accounts that sent a request recently
  double mean_us;      ///< slot time of a request, mean over recent ones
  double offered;      ///< requests offered recently, decaying
  double offered_us;   ///< slot time offered recently, decaying
  bool reserve;        ///< the last free slot is for short kinds
  uint64_t return_us;  ///< time up to which retries are scheduled
  struct shed_cost_outcomes outcomes;
  double rank_weights[SHED_COST_RANK_MAX + 1];
  struct shed_cost_kind kinds[SHED_COST_KINDS];
  struct shed_cost_account accounts[SHED_COST_ACCOUNTS];
};

void shed_cost_init (struct shed_cost *cost);

/// Applies the decay and compares the kinds with their bounds. Cheap when
/// called again within a few milliseconds.
void shed_cost_update (struct shed_cost *cost, size_t slots, uint64_t now_us);

/// Counts an offered request and charges its account.
/// @param item  over_share is set
void shed_cost_offer (struct shed_cost *cost, struct shed_cost_item *item,
                      uint64_t now_us);

/// @return what callers lose per slot time if the request is not started now;
///         the highest goes first. 0 when it cannot end before its deadline.
double shed_cost_score (const struct shed_cost *cost,
                        const struct shed_cost_item *item, uint64_t now_us);

/// @return true when the request may take the last free slot. That slot is
///         kept for short work while an urgent short kind misses its objective
///         more often than the bounds allow: it would have to wait for the end
///         of long work.
bool shed_cost_may_take_last (const struct shed_cost *cost,
                              const struct shed_cost_item *item);

/// @return share of the slots that requests with a higher score are expected
///         to take while this one waits, 0 to below 1
double shed_cost_share_ahead (const struct shed_cost *cost,
                              const struct shed_cost_item *item);

void shed_cost_served (struct shed_cost *cost,
                       const struct shed_cost_item *item, uint64_t now_us);
void shed_cost_refused (struct shed_cost *cost,
                        const struct shed_cost_item *item);

/// Schedules the return of a refused request: after the queue has drained, and
/// after the requests that were refused before it, at the rate at which part
/// of the slots can serve them.
/// @param drain_us  time until the requests ahead of it have started
/// @param left_us   time left before its deadline
/// @param unit      random number in [0, 1)
/// @return time until it should return, microseconds
uint64_t shed_cost_retry_after_us (struct shed_cost *cost,
                                   const struct shed_cost_item *item,
                                   uint64_t drain_us, uint64_t left_us,
                                   double unit, uint64_t now_us);

#endif
