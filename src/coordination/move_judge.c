/// Owns the tests of one move and the counts that they have not seen yet.
#include "coordination/move_judge.h"

#include <assert.h>
#include <math.h>
#include <string.h>

/// Weight of the first starting time of the tests. The rest of the weight is
/// spread over the later starting times.
#define FIRST_START_WEIGHT 0.5

/// Starting times for new steps, in addition to those at regular intervals.
#define STEP_STARTS 12

/// Weights of the tests: errors are the clearest sign of a fault and get half.
static const double measure_weights[MOVE_MEASURES] = { 0.5, 0.25, 0.25 };

/// Levels of the tests, with equal weight: in total, by route, by zone.
#define LEVEL_COUNT 3

/// Fraction of the old version's responses above its percentiles under its
/// normal load.
static const double nominal_slow_fractions[MOVE_MEASURES] = { 0, 0.5, 0.01 };

/// Lower limit of slow_deficit: of the slow responses that the old version had
/// in excess, at most this many are set off against a later deficit.
#define SLOW_DEFICIT_MIN (-20)

static uint32_t
find_route (struct move_judge *judge, uint64_t route)
{
  for (uint32_t i = 0; i < judge->route_count; i++)
    if (judge->routes[i].route == route)
      return i;
  if (judge->route_count == MOVE_ROUTES_MAX)
    return MOVE_ROUTES_MAX - 1;
  judge->routes[judge->route_count].route = route;
  return judge->route_count++;
}

static uint32_t
find_zone (struct move_judge *judge, uint64_t zone)
{
  for (uint32_t i = 0; i < judge->zone_count; i++)
    if (judge->zones[i] == zone)
      return i;
  if (judge->zone_count == MOVE_ZONES_MAX)
    return MOVE_ZONES_MAX - 1;
  judge->zones[judge->zone_count] = zone;
  return judge->zone_count++;
}

/// Adds a starting time to all tests; they keep the evidence of the earlier
/// ones. Routes and zones beyond the expected number count in the total only,
/// so that the weights never add up to more than 1.
static void
start_tests (struct move_judge *judge, double weight)
{
  for (int m = 0; m < MOVE_MEASURES; m++)
    {
      double level_weight = weight * measure_weights[m] / LEVEL_COUNT;
      seqtest_start (&judge->total_tests[m], level_weight);
      for (uint32_t r = 0; r < judge->expected_routes; r++)
        seqtest_start (&judge->route_tests[r][m],
                       level_weight / judge->expected_routes);
      for (uint32_t z = 0; z < judge->expected_zones; z++)
        seqtest_start (&judge->zone_tests[z][m],
                       level_weight / judge->expected_zones);
    }
}

static void
start_tests_if_left (struct move_judge *judge)
{
  if (judge->starts_left == 0)
    return;
  judge->starts_left--;
  start_tests (judge, (1 - FIRST_START_WEIGHT) / judge->starts_planned);
}

/// A block needs calls of both versions. Several small blocks carry less
/// evidence than the same calls in one block, so small ones wait for more
/// calls. The test stays valid because only the number of calls decides, never
/// their outcomes.
static bool
block_ready (const struct move_judge *judge,
             const struct outcome_counts sides[OUTCOME_SIDES])
{
  uint64_t old_calls = sides[OUTCOME_OLD].calls;
  uint64_t new_calls = sides[OUTCOME_NEW].calls;
  return old_calls > 0 && new_calls > 0
         && old_calls + new_calls >= judge->settings->block_calls;
}

static void
measure_block (const struct outcome_counts sides[OUTCOME_SIDES],
               enum move_measure measure, struct seqtest_block *block)
{
  const struct outcome_counts *old = &sides[OUTCOME_OLD];
  const struct outcome_counts *new = &sides[OUTCOME_NEW];
  bool errors = measure == MOVE_ERRORS;
  block->old_calls = errors ? old->calls : old->timed;
  block->new_calls = errors ? new->calls : new->timed;
  block->old_events = errors                   ? old->errors
                      : measure == MOVE_SLOW50 ? old->slow50
                                               : old->slow99;
  block->new_events = errors                   ? new->errors
                      : measure == MOVE_SLOW50 ? new->slow50
                                               : new->slow99;
}

/// Raises the old version's slow responses to the number that its percentiles
/// imply. It gets faster as calls move away from it, and the new version must
/// not look slow in comparison. The test stays valid, since more events of the
/// old version only weaken the evidence.
static void
add_slow_deficit (struct seqtest_block *block, double fraction,
                  double *slow_deficit)
{
  *slow_deficit += fraction * block->old_calls - block->old_events;
  if (*slow_deficit < SLOW_DEFICIT_MIN)
    *slow_deficit = SLOW_DEFICIT_MIN;
  if (*slow_deficit < 1)
    return;
  double events
      = fmin (floor (*slow_deficit), block->old_calls - block->old_events);
  block->old_events += (uint32_t)events;
  *slow_deficit -= events;
}

static void
add_log_ratios (double sum[SEQTEST_RATIOS],
                const double log_ratios[SEQTEST_RATIOS])
{
  for (int i = 0; i < SEQTEST_RATIOS; i++)
    sum[i] += log_ratios[i];
}

/// Passes the pending blocks of one measure to its tests.
static void
update_measure (struct move_judge *judge, enum move_measure measure,
                bool ready[MOVE_ROUTES_MAX][MOVE_ZONES_MAX], uint64_t now_ms)
{
  double growth_max = judge->settings->growth_max_per_s[measure];
  double total[SEQTEST_RATIOS] = { 0 };
  double zones[MOVE_ZONES_MAX][SEQTEST_RATIOS] = { { 0 } };
  for (uint32_t r = 0; r < judge->route_count; r++)
    {
      double route[SEQTEST_RATIOS] = { 0 };
      for (uint32_t z = 0; z < judge->zone_count; z++)
        {
          struct seqtest_block block;
          double log_ratios[SEQTEST_RATIOS];
          if (!ready[r][z])
            continue;
          measure_block (judge->pending[r][z], measure, &block);
          if (measure != MOVE_ERRORS)
            add_slow_deficit (&block, nominal_slow_fractions[measure],
                              &judge->slow_deficit[r][z][measure]);
          if (block.new_events + (uint64_t)block.old_events == 0)
            continue;
          seqtest_log_ratios (&judge->settings->ratios[measure], &block,
                              log_ratios);
          add_log_ratios (route, log_ratios);
          add_log_ratios (zones[z], log_ratios);
          add_log_ratios (total, log_ratios);
        }
      seqtest_update (&judge->route_tests[r][measure], route, now_ms,
                      growth_max);
    }
  for (uint32_t z = 0; z < judge->zone_count; z++)
    seqtest_update (&judge->zone_tests[z][measure], zones[z], now_ms,
                    growth_max);
  seqtest_update (&judge->total_tests[measure], total, now_ms, growth_max);
}

/// Adds the value of a test to the sum and keeps the strongest test.
static void
add_test (const struct seqtest *test, const struct move_finding *finding,
          double *sum, double *best, struct move_finding *strongest)
{
  double value = seqtest_value (test);
  *sum += value;
  if (value <= *best)
    return;
  *best = value;
  *strongest = *finding;
}

static double
sum_tests (const struct move_judge *judge, struct move_finding *strongest)
{
  double sum = 0;
  double best = -1;
  for (enum move_measure m = 0; m < MOVE_MEASURES; m++)
    {
      struct move_finding finding = { .measure = m };
      add_test (&judge->total_tests[m], &finding, &sum, &best, strongest);
      for (uint32_t r = 0; r < judge->route_count; r++)
        {
          finding.route = judge->routes[r].route;
          add_test (&judge->route_tests[r][m], &finding, &sum, &best,
                    strongest);
        }
      finding.route = 0;
      for (uint32_t z = 0; z < judge->zone_count; z++)
        {
          finding.availability_zone = judge->zones[z];
          add_test (&judge->zone_tests[z][m], &finding, &sum, &best,
                    strongest);
        }
    }
  return sum;
}

void
move_judge_init (struct move_judge *judge,
                 const struct move_judge_settings *settings,
                 uint32_t expected_routes, uint32_t expected_zones,
                 uint64_t duration_ms, uint64_t now_ms)
{
  assert (settings->restart_ms > 0);
  memset (judge, 0, sizeof *judge);
  judge->settings = settings;
  judge->expected_routes
      = expected_routes < MOVE_ROUTES_MAX ? expected_routes : MOVE_ROUTES_MAX;
  judge->expected_zones
      = expected_zones < MOVE_ZONES_MAX ? expected_zones : MOVE_ZONES_MAX;
  uint64_t starts = duration_ms / settings->restart_ms + STEP_STARTS;
  judge->starts_planned = starts < UINT32_MAX ? (uint32_t)starts : UINT32_MAX;
  judge->starts_left = judge->starts_planned;
  judge->next_start_ms = now_ms + settings->restart_ms;
  start_tests (judge, FIRST_START_WEIGHT);
}

void
move_judge_add (struct move_judge *judge, uint64_t route,
                uint64_t availability_zone, enum outcome_side side,
                const struct outcome_counts *counts, bool judge_latency)
{
  assert (outcome_counts_valid (counts));
  uint32_t r = find_route (judge, route);
  uint32_t z = find_zone (judge, availability_zone);
  struct outcome_counts delta = *counts;
  if (!judge_latency)
    delta.timed = delta.slow50 = delta.slow99 = 0;
  outcome_counts_add (&judge->pending[r][z][side], &delta);
  judge->routes[r].calls[side] += delta.calls;
}

double
move_judge_update (struct move_judge *judge, uint64_t now_ms,
                   struct move_finding *strongest)
{
  bool ready[MOVE_ROUTES_MAX][MOVE_ZONES_MAX] = { { false } };
  bool any = false;
  for (uint32_t r = 0; r < judge->route_count; r++)
    for (uint32_t z = 0; z < judge->zone_count; z++)
      any |= ready[r][z] = block_ready (judge, judge->pending[r][z]);
  for (enum move_measure m = 0; any && m < MOVE_MEASURES; m++)
    update_measure (judge, m, ready, now_ms);
  for (uint32_t r = 0; any && r < judge->route_count; r++)
    for (uint32_t z = 0; z < judge->zone_count; z++)
      if (ready[r][z])
        memset (judge->pending[r][z], 0, sizeof judge->pending[r][z]);
  double value = sum_tests (judge, strongest) * judge->settings->false_alarm;
  if (now_ms >= judge->next_start_ms)
    {
      judge->next_start_ms = now_ms + judge->settings->restart_ms;
      start_tests_if_left (judge);
    }
  return value;
}

void
move_judge_step (struct move_judge *judge)
{
  memset (judge->pending, 0, sizeof judge->pending);
  for (uint32_t r = 0; r < judge->route_count; r++)
    memset (judge->routes[r].calls, 0, sizeof judge->routes[r].calls);
  start_tests_if_left (judge);
}
