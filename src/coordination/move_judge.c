/// Owns the tests of one move and the counts that wait for them.
#include "coordination/move_judge.h"

#include <assert.h>
#include <math.h>
#include <string.h>

/// Parts of the rate of false alarms: half is there from the first call on,
/// half is spread over the later starting times.
#define FIRST_START_WEIGHT 0.5

/// Starting times kept for steps, beyond the regular ones.
#define STEP_STARTS 12

/// Errors are the clearest sign and get half of the weight.
static const double measure_weights[MOVE_MEASURES] = { 0.5, 0.25, 0.25 };

/// The total, the routes and the zones get a third each.
#define LEVELS 3

/// Part of the old version's answers above its percentiles, as long as it
/// carries its usual load.
static const double nominal_parts[MOVE_MEASURES] = { 0, 0.5, 0.01 };

/// Surplus of slow answers of the old version that may make up for later ones.
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

/// Starts all tests anew beside the evidence that they hold. Routes and zones
/// that were not expected are judged in the total only, so that the weights
/// never exceed 1.
static void
start_tests (struct move_judge *judge, double weight)
{
  for (int m = 0; m < MOVE_MEASURES; m++)
    {
      double level = weight * measure_weights[m] / LEVELS;
      seqtest_start (&judge->total_tests[m], level);
      for (uint32_t r = 0; r < judge->expected_routes; r++)
        seqtest_start (&judge->route_tests[r][m],
                       level / judge->expected_routes);
      for (uint32_t z = 0; z < judge->expected_zones; z++)
        seqtest_start (&judge->zone_tests[z][m],
                       level / judge->expected_zones);
    }
}

static void
start_if_left (struct move_judge *judge)
{
  if (judge->starts_left == 0)
    return;
  judge->starts_left--;
  start_tests (judge, (1 - FIRST_START_WEIGHT) / judge->starts_planned);
}

/// A block needs calls of both versions; very small blocks tell less than the
/// same calls in one block, so they wait. The rule looks at calls only, never
/// at their outcomes, which keeps the test valid.
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

/// Lets the old version count as slow as its percentiles say. It answers
/// faster when calls move away from it, and the new version must not be called
/// slow for that. More events of the old version only weaken the evidence.
static void
add_slow_deficit (struct seqtest_block *block, double part,
                  double *slow_deficit)
{
  *slow_deficit += part * block->old_calls - block->old_events;
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
add_logs (double sum[SEQTEST_RATIOS], const double logs[SEQTEST_RATIOS])
{
  for (int i = 0; i < SEQTEST_RATIOS; i++)
    sum[i] += logs[i];
}

/// Feeds the pending blocks of one measure to its tests.
static void
update_measure (struct move_judge *judge, enum move_measure measure,
                bool ready[MOVE_ROUTES_MAX][MOVE_ZONES_MAX], uint64_t now_ms)
{
  double most = judge->settings->most_per_s[measure];
  double total[SEQTEST_RATIOS] = { 0 };
  double zones[MOVE_ZONES_MAX][SEQTEST_RATIOS] = { { 0 } };
  for (uint32_t r = 0; r < judge->route_count; r++)
    {
      double route[SEQTEST_RATIOS] = { 0 };
      for (uint32_t z = 0; z < judge->zone_count; z++)
        {
          struct seqtest_block block;
          double logs[SEQTEST_RATIOS];
          if (!ready[r][z])
            continue;
          measure_block (judge->pending[r][z], measure, &block);
          if (measure != MOVE_ERRORS)
            add_slow_deficit (&block, nominal_parts[measure],
                              &judge->slow_deficit[r][z][measure]);
          if (block.new_events + (uint64_t)block.old_events == 0)
            continue;
          seqtest_log_ratios (&judge->settings->ratios[measure], &block, logs);
          add_logs (route, logs);
          add_logs (zones[z], logs);
          add_logs (total, logs);
        }
      seqtest_update (&judge->route_tests[r][measure], route, now_ms, most);
    }
  for (uint32_t z = 0; z < judge->zone_count; z++)
    seqtest_update (&judge->zone_tests[z][measure], zones[z], now_ms, most);
  seqtest_update (&judge->total_tests[measure], total, now_ms, most);
}

/// Adds a test's value and keeps the strongest one.
static void
weigh (const struct seqtest *test, const struct move_finding *finding,
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
      weigh (&judge->total_tests[m], &finding, &sum, &best, strongest);
      for (uint32_t r = 0; r < judge->route_count; r++)
        {
          finding.route = judge->routes[r].route;
          weigh (&judge->route_tests[r][m], &finding, &sum, &best, strongest);
        }
      finding.route = 0;
      for (uint32_t z = 0; z < judge->zone_count; z++)
        {
          finding.availability_zone = judge->zones[z];
          weigh (&judge->zone_tests[z][m], &finding, &sum, &best, strongest);
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
      start_if_left (judge);
    }
  return value;
}

void
move_judge_step (struct move_judge *judge)
{
  memset (judge->pending, 0, sizeof judge->pending);
  for (uint32_t r = 0; r < judge->route_count; r++)
    memset (judge->routes[r].calls, 0, sizeof judge->routes[r].calls);
  start_if_left (judge);
}
