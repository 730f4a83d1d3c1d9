/// Policy of a move that must end within seconds: the share of requests that
/// the new version gets, when the move is done, and when it is rolled back.
///
/// The share stays small until the new version has served enough requests of
/// each kind, since a fault may lie on one route only. It then rises in steps,
/// because some faults only show under load. The share of the longest of these
/// steps is just enough to load few targets as at the end (rollout_spread).
/// The versions are compared by sequential tests of failures and of slow
/// responses. The tests are tuned to detect faults early: a false alarm costs
/// a repeated move, but a missed fault reaches every caller.
#ifndef HAWTHORNSEAM_COORDINATION_ROLLOUT_H
#define HAWTHORNSEAM_COORDINATION_ROLLOUT_H

#include "coordination/seqtest.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Kinds of requests that are tested separately; further ones are counted
/// together with the last entry.
#define ROLLOUT_KINDS 12

/// Latency buckets: below 1 ms, then two per octave.
#define ROLLOUT_BUCKETS 28

enum rollout_side
{
  ROLLOUT_OLD,
  ROLLOUT_NEW,
  ROLLOUT_SIDES
};

struct rollout_counts
{
  uint32_t calls;
  uint32_t failures;
  uint32_t latency[ROLLOUT_BUCKETS];
};

struct rollout_kind
{
  uint32_t kind;
  struct rollout_counts all[ROLLOUT_SIDES];
  struct rollout_counts pending[ROLLOUT_SIDES]; ///< that no test has seen yet
  /* Sums over the old version, with exponential decay. */
  double old_calls;
  double old_failures;
  double old_responses;
  double old_slow;
  struct seqtest failures;
  struct seqtest slow;
  double evidence;     ///< the stronger of the two tests, at the last decision
  uint32_t clean_from; ///< requests at the new version when it last rose
  uint32_t share_bp;
};

enum rollout_action
{
  ROLLOUT_WAIT,
  ROLLOUT_SHARE,    ///< publish the new shares
  ROLLOUT_FINISH,   ///< the old version can be stopped
  ROLLOUT_ROLL_BACK ///< roll back: no more requests to the new version
};

struct rollout
{
  uint64_t started_ms;
  uint64_t deadline_ms;
  size_t step;
  uint32_t share_bp;   ///< of the current step
  uint64_t step_ms;    ///< when the step began
  uint32_t step_calls; ///< requests at the new version before the step
  /// When the shares of the kinds were set; 0: not yet.
  uint64_t kind_shares_ms;
  size_t kind_count;
  struct rollout_kind kinds[ROLLOUT_KINDS];
  char reason[96]; ///< of the last action
};

/// State of the targets of a service, as the driver sees it.
struct rollout_view
{
  /// Share at which the first target of the new version has its load of the
  /// end of the move, basis points; 0: unknown.
  uint32_t load_share_bp;
  uint32_t new_targets; ///< ready targets of the new version
  bool old_busy;        ///< targets of the old version have requests that run
                        ///< or wait
  bool evidence_fresh;  ///< evidence from all targets of the new version is
                        ///< recent
};

/// @param duration_ms  time from the order of the move to its deadline
void rollout_init (struct rollout *rollout, uint64_t duration_ms,
                   uint64_t now_ms);

/// Takes over a running move at the share that was last published.
void rollout_resume (struct rollout *rollout, uint32_t share_bp,
                     uint64_t now_ms);

/// @return index of the bucket of a latency
size_t rollout_bucket (uint32_t latency_us);

/// Adds the counts of requests that have ended since the previous call.
void rollout_add (struct rollout *rollout, enum rollout_side side,
                  uint32_t kind, const struct rollout_counts *delta);

/// Runs the tests on the new counts and decides on the next action.
enum rollout_action rollout_decide (struct rollout *rollout,
                                    const struct rollout_view *view,
                                    uint64_t now_ms);

/// @return share of the current step, basis points; single kinds may have more
uint32_t rollout_share (const struct rollout *rollout);

#endif
