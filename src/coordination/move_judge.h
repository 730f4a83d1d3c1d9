/// Compares the new version of a move with the old one by outcome counts:
/// sequential tests of errors and of latency, per route, per availability zone
/// and in total. Together they keep one bound on the false alarms of a move.
#ifndef HAWTHORNSEAM_COORDINATION_MOVE_JUDGE_H
#define HAWTHORNSEAM_COORDINATION_MOVE_JUDGE_H

#include "coordination/seqtest.h"
#include "state/outcome.h"

/// Routes and zones that are tested separately. Further ones are counted
/// together with the last entry.
#define MOVE_ROUTES_MAX 64
#define MOVE_ZONES_MAX 16

enum move_measure
{
  MOVE_ERRORS,
  MOVE_SLOW50,
  MOVE_SLOW99,
  MOVE_MEASURES
};

struct move_judge_settings
{
  double false_alarm;   ///< probability of a false alarm, for the whole move
  uint32_t restart_ms;  ///< interval at which starting times are added
  uint32_t block_calls; ///< minimum calls in a block, both versions together
  double growth_max_per_s[MOVE_MEASURES]; ///< largest growth of the evidence,
                                          ///< nats per second
  struct seqtest_ratios ratios[MOVE_MEASURES];
};

/// Calls on one route at the current step.
struct move_route
{
  uint64_t route;
  uint64_t calls[OUTCOME_SIDES];
};

struct move_judge
{
  const struct move_judge_settings *settings;
  uint32_t expected_routes; ///< from the configuration
  uint32_t expected_zones;  ///< from the member table
  uint32_t starts_planned;  ///< starting times of the whole move after the
                            ///< first one
  uint32_t starts_left;     ///< of those, not used yet
  uint64_t next_start_ms;
  uint32_t route_count;
  uint32_t zone_count;
  struct move_route routes[MOVE_ROUTES_MAX];
  uint64_t zones[MOVE_ZONES_MAX];
  /// Counts that no test has seen yet.
  struct outcome_counts pending[MOVE_ROUTES_MAX][MOVE_ZONES_MAX]
                               [OUTCOME_SIDES];
  /// Slow responses that the old version lacks to match its percentiles.
  double slow_deficit[MOVE_ROUTES_MAX][MOVE_ZONES_MAX][MOVE_MEASURES];
  struct seqtest total_tests[MOVE_MEASURES];
  struct seqtest route_tests[MOVE_ROUTES_MAX][MOVE_MEASURES];
  struct seqtest zone_tests[MOVE_ZONES_MAX][MOVE_MEASURES];
};

/// The test with the strongest evidence, for the reason text.
struct move_finding
{
  enum move_measure measure;
  uint64_t route;             ///< 0: not a test of one route
  uint64_t availability_zone; ///< 0: not a test of one zone
};

/// @param settings     outlives the judge
/// @param duration_ms  time until the move's deadline
void move_judge_init (struct move_judge *judge,
                      const struct move_judge_settings *settings,
                      uint32_t expected_routes, uint32_t expected_zones,
                      uint64_t duration_ms, uint64_t now_ms);

/// Adds counts of calls that ran at the current step.
/// @param judge_latency  false while slow responses are expected for another
///                       reason than the version
void move_judge_add (struct move_judge *judge, uint64_t route,
                     uint64_t availability_zone, enum outcome_side side,
                     const struct outcome_counts *counts, bool judge_latency);

/// Passes the pending blocks to the tests.
/// @param strongest  set to the test with the strongest evidence
/// @return evidence against the new version; significant from 1 on
double move_judge_update (struct move_judge *judge, uint64_t now_ms,
                          struct move_finding *strongest);

/// Begins a new step: clears the counts of the previous one and keeps the
/// evidence of the tests.
void move_judge_step (struct move_judge *judge);

#endif
