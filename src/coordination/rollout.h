/// Policy of a move that must end within seconds: the share of requests that
/// go to the new version, when it is done, and when it is taken back.
///
/// The share stays small until each kind of request has shown how it fares on
/// the new version, since a fault may lie on one route only. It then rises in
/// steps, because a fault may show only under load. Versions are compared by
/// sequential tests of failures and of slow answers; a false alarm costs a
/// repeated move, a fault that is missed reaches every caller, so the tests
/// are quick to answer.
#ifndef HAWTHORNSEAM_COORDINATION_ROLLOUT_H
#define HAWTHORNSEAM_COORDINATION_ROLLOUT_H

#include "coordination/seqtest.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Kinds of requests that are told apart; further ones share the last place.
#define ROLLOUT_KINDS 12

/// Latency buckets, two per octave from 1 ms.
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
  struct rollout_counts fresh[ROLLOUT_SIDES]; ///< not given to the tests yet
  /* of the old version, older ones fading */
  double old_calls;
  double old_failures;
  double old_answers;
  double old_slow;
  struct seqtest failures;
  struct seqtest slow;
  uint32_t share_bp;
};

enum rollout_action
{
  ROLLOUT_WAIT,
  ROLLOUT_SHARE,    ///< publish the shares
  ROLLOUT_FINISH,   ///< the old version can be stopped
  ROLLOUT_TAKE_BACK ///< nothing may go to the new version any more
};

struct rollout
{
  uint64_t started_ms;
  uint64_t deadline_ms;
  size_t step;
  uint64_t step_ms;    ///< when the step was published
  uint32_t step_calls; ///< requests at the new version before it
  uint64_t kinds_ms;   ///< when the shares of the kinds were last set
  size_t kind_count;
  struct rollout_kind kinds[ROLLOUT_KINDS];
  char reason[96]; ///< of the last action
};

/// What is seen of the targets of a service at a moment.
struct rollout_view
{
  uint32_t new_targets; ///< ready targets of the new version
  bool old_busy;        ///< requests run or wait at targets of the old version
  bool fresh; ///< the evidence of all targets of the new version is recent
};

/// @param duration_ms  time from the order to its deadline
void rollout_init (struct rollout *rollout, uint64_t duration_ms,
                   uint64_t now_ms);

/// Takes over a running move at the share that was published last.
void rollout_resume (struct rollout *rollout, uint32_t share_bp,
                     uint64_t now_ms);

/// @return bucket of a latency
size_t rollout_bucket (uint32_t latency_us);

/// Adds counts of requests that ended since the last ones.
void rollout_add (struct rollout *rollout, enum rollout_side side,
                  uint32_t kind, const struct rollout_counts *delta);

enum rollout_action rollout_decide (struct rollout *rollout,
                                    const struct rollout_view *view,
                                    uint64_t now_ms);

/// @return share of all requests in basis points
uint32_t rollout_share (const struct rollout *rollout);

#endif
