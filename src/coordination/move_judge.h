/// Judges the new version of a move against the old one from outcome counts:
/// sequential tests for errors and for latency, per route, per availability
/// zone and in total, that share one rate of false alarms.
#ifndef HAWTHORNSEAM_COORDINATION_MOVE_JUDGE_H
#define HAWTHORNSEAM_COORDINATION_MOVE_JUDGE_H

#include "coordination/seqtest.h"
#include "state/outcome.h"

/// Routes and zones that are told apart. The counts of further routes go to
/// the last place and are judged together.
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
  double false_alarm;   ///< rate of false alarms of the whole move
  uint32_t restart_ms;  ///< interval of new starting times
  uint32_t block_calls; ///< least calls of both versions in a block
  double most_per_s[MOVE_MEASURES]; ///< growth of the evidence, nats a second
  struct seqtest_ratios ratios[MOVE_MEASURES];
};

/// Evidence on one route at the present share.
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
  uint32_t starts_planned;  ///< starting times over the whole move
  uint32_t starts_left;
  uint64_t next_start_ms;
  uint32_t route_count;
  uint32_t zone_count;
  struct move_route routes[MOVE_ROUTES_MAX];
  uint64_t zones[MOVE_ZONES_MAX];
  struct outcome_counts pending[MOVE_ROUTES_MAX][MOVE_ZONES_MAX]
                               [OUTCOME_SIDES];
  double slow_deficit[MOVE_ROUTES_MAX][MOVE_ZONES_MAX][MOVE_MEASURES];
  struct seqtest total_tests[MOVE_MEASURES];
  struct seqtest route_tests[MOVE_ROUTES_MAX][MOVE_MEASURES];
  struct seqtest zone_tests[MOVE_ZONES_MAX][MOVE_MEASURES];
};

/// Where the strongest evidence lies, for the reason text.
struct move_finding
{
  enum move_measure measure;
  uint64_t route;             ///< 0: not one route
  uint64_t availability_zone; ///< 0: not one zone
};

/// @param duration_ms  time until the stated time
void move_judge_init (struct move_judge *judge,
                      const struct move_judge_settings *settings,
                      uint32_t expected_routes, uint32_t expected_zones,
                      uint64_t duration_ms, uint64_t now_ms);

/// Adds counts of calls that ran at the present step.
/// @param judge_latency  false while answers are expected to be slow
void move_judge_add (struct move_judge *judge, uint64_t route,
                     uint64_t availability_zone, enum outcome_side side,
                     const struct outcome_counts *counts, bool judge_latency);

/// Feeds the pending blocks to the tests.
/// @return evidence against the new version; significant from 1 on
double move_judge_update (struct move_judge *judge, uint64_t now_ms,
                          struct move_finding *strongest);

/// Begins a new share: clears the counts of the present one, keeps the
/// evidence of the tests.
void move_judge_step (struct move_judge *judge);

#endif
