/// The simulation draws counts of calls from the distributions that single
/// calls would follow: Poisson for arrivals, binomial for outcomes, log-normal
/// with a slow tail for response times.
#include "model/move_model.h"

#include <math.h>
#include <string.h>

/// Fraction of the calls that the observed node makes.
#define NODE_FRACTION (1.0 / 6)

/// Time for which targets report that they are cold, and time constant with
/// which their caches fill.
#define COLD_MS 10000
#define CACHE_FILL_MS 8000

/// Percentiles of the standard normal distribution.
#define PERCENTILE_50_Z 0.0
#define PERCENTILE_99_Z 2.326347874

double
model_unit (struct model_rng *rng)
{
  /* splitmix64: base/rng.h is too slow for the many million ticks of a table
     of scenarios. */
  uint64_t z = rng->state += 0x9e3779b97f4a7c15u;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
  return (double)((z ^ (z >> 31)) >> 11) * 0x1.0p-53;
}

static double
draw_normal (struct model_rng *rng)
{
  double radius = sqrt (-2 * log (1 - model_unit (rng)));
  return radius * cos (2 * M_PI * model_unit (rng));
}

static uint32_t
round_draw (double value, double high)
{
  if (value < 0)
    return 0;
  return (uint32_t)(value > high ? high : value + 0.5);
}

static uint32_t
draw_poisson (struct model_rng *rng, double mean)
{
  if (mean <= 0)
    return 0;
  if (mean > 40)
    return round_draw (mean + sqrt (mean) * draw_normal (rng), 1e9);
  double remaining = model_unit (rng);
  uint32_t count = 0;
  /* Shortcut for most draws: no event has a probability of at least
     1 - mean. */
  if (remaining < 1 - mean)
    return 0;
  double probability = exp (-mean);
  while (remaining > probability && count < 400)
    {
      remaining -= probability;
      probability *= mean / ++count;
    }
  return count;
}

static uint32_t
draw_binomial (struct model_rng *rng, uint32_t calls, double rate)
{
  if (calls == 0 || rate <= 0)
    return 0;
  if (rate >= 1)
    return calls;
  if (rate > 0.5)
    return calls - draw_binomial (rng, calls, 1 - rate);
  double mean = calls * rate;
  if (mean > 30)
    return round_draw (mean + sqrt (mean * (1 - rate)) * draw_normal (rng),
                       calls);
  double remaining = model_unit (rng);
  uint32_t count = 0;
  if (remaining < 1 - mean)
    return 0;
  double probability = 1;
  if (calls < 32)
    for (uint32_t i = 0; i < calls; i++)
      probability *= 1 - rate;
  else
    probability = exp (calls * log1p (-rate));
  double odds = rate / (1 - rate);
  while (remaining > probability && count < calls)
    {
      remaining -= probability;
      probability *= odds * (calls - count) / (count + 1);
      count++;
    }
  return count;
}

/// @return probability that a standard normal variable exceeds z
static double
normal_above (double z)
{
  return 0.5 * erfc (z * M_SQRT1_2);
}

/// @param used  offered load as a fraction of the slots
/// @return factor by which queueing slows responses down
static double
load_factor (double used)
{
  double used4 = used * used * used * used;
  return 1 + (used < 1 ? used4 : 1) * 1.5;
}

/// @return fraction of the calls that are shed because all slots are in use
static double
shed_fraction (double used)
{
  return used > 1 ? 1 - 1 / used : 0;
}

/// @param used  offered load of the new version as a fraction of its slots
/// @return strength of the fault in [0, 1]
static double
fault_strength (const struct model *model, double used)
{
  const struct model_fault *fault = &model->setup->fault;
  double second = (double)model->now_ms / 1000;
  if (fault->error_rate <= 0 && fault->slow_factor <= 0
      && fault->tail_rate <= 0)
    return 0;
  if (second < fault->start_s || used < fault->above_load)
    return 0;
  if (fault->period_s > 0
      && ((uint64_t)second - fault->start_s) / fault->period_s % 2 == 1)
    return 0;
  if (fault->rise_s == 0 || second >= fault->start_s + fault->rise_s)
    return 1;
  return (second - fault->start_s) / fault->rise_s;
}

/// @param cold_fraction  set to the fraction of the new targets that are cold
/// @return mean factor by which caches that are not full yet slow responses
/// down
static double
cold_state (const struct model *model, double *cold_fraction)
{
  const struct model_setup *setup = model->setup;
  double factor = 1;
  *cold_fraction = 0;
  if (setup->fault.always_cold)
    *cold_fraction = 1;
  if (setup->cold_factor <= 0)
    return factor;
  if (model->first_new_ms != UINT64_MAX)
    {
      double age = (double)(model->now_ms - model->first_new_ms);
      factor += (setup->cold_factor - 1) * exp (-age / CACHE_FILL_MS);
      if (age < COLD_MS)
        *cold_fraction = 1;
    }
  double replaced = setup->replaced_s * 1000.0;
  if (replaced > 0 && (double)model->now_ms >= replaced)
    {
      double age = (double)model->now_ms - replaced;
      factor += (setup->cold_factor - 1) * exp (-age / CACHE_FILL_MS) / 4;
      if (age < COLD_MS && *cold_fraction < 0.25)
        *cold_fraction = 0.25;
    }
  return factor;
}

/// Fraction of a version's calls that go to a stalled target.
#define STALLED_FRACTION 0.25
/// Duration of a stall.
#define STALL_MS 1000

/// State of a version in a tick.
struct side_state
{
  double stalled; ///< fraction of the responses that a stalled target delays
  double errors;  ///< probability that a call fails
  double shift;   ///< logarithm of the slowdown
  double cold_fraction; ///< fraction of the targets that are cold
};

/// Draws how many of a version's calls and errors the observed node saw.
static void
draw_node (struct model *model, enum outcome_side side)
{
  struct outcome_counts sum = { 0 };
  for (uint32_t r = 0; r < model->setup->routes; r++)
    for (uint32_t z = 0; z < MODEL_ZONES; z++)
      outcome_counts_add (&sum, &model->counts[r][z][side]);
  struct outcome_counts *node = &model->node[side];
  node->errors = draw_binomial (&model->rng, sum.errors, NODE_FRACTION);
  node->calls
      = node->errors
        + draw_binomial (&model->rng, sum.calls - sum.errors, NODE_FRACTION);
}

/// Probabilities of the outcomes of one call.
struct rates
{
  double errors;  ///< the call fails
  double above50; ///< the response is slower than the old 50th percentile
  double above99; ///< the response is slower than the old 99th percentile
};

/// @param state     state of the version that gets the calls
/// @param strength  of the fault, in [0, 1]
static struct rates
make_rates (const struct model *model, uint32_t route,
            const struct side_state *state, const struct side_state *old,
            double strength)
{
  const struct model_fault *fault = &model->setup->fault;
  double sigma = model->setup->sigma;
  double tail = fmax (fault->tail_rate * strength, state->stalled);
  double shift = state->shift;
  if (fault->slow_factor > 0)
    shift += log (1 + (fault->slow_factor - 1) * strength);
  double limit = model->limit_error[route]
                 + fmax (old->shift, model->reference) - shift;
  struct rates rates;
  rates.errors = fmin (state->errors + fault->error_rate * strength, 1);
  rates.above50
      = tail + (1 - tail) * normal_above (PERCENTILE_50_Z + limit / sigma);
  rates.above99
      = tail + (1 - tail) * normal_above (PERCENTILE_99_Z + limit / sigma);
  return rates;
}

/// Draws the calls of one route, zone and version.
/// @param mean  expected number of calls
static void
draw_cell (struct model *model, struct outcome_counts *counts,
           enum outcome_side side, double mean, const struct rates *rates,
           double cold_fraction)
{
  memset (counts, 0, sizeof *counts);
  uint32_t calls = draw_poisson (&model->rng, mean);
  model->calls += calls;
  if (side == OUTCOME_NEW)
    model->new_calls += calls;
  counts->calls = calls;
  counts->errors = draw_binomial (&model->rng, calls, rates->errors);
  if (model->errors_only)
    return;
  counts->timed = calls - counts->errors;
  counts->timed -= draw_binomial (&model->rng, counts->timed, cold_fraction);
  counts->slow50 = draw_binomial (&model->rng, counts->timed, rates->above50);
  counts->slow99 = draw_binomial (&model->rng, counts->slow50,
                                  rates->above99 / rates->above50);
}

/// Draws the calls of one route in all zones and both versions.
/// @param mean   expected number of calls
/// @param share  fraction that the new version gets
static void
draw_route (struct model *model, uint32_t route, double mean, double share,
            const struct side_state sides[OUTCOME_SIDES], double strength)
{
  const struct model_setup *setup = model->setup;
  const struct model_fault *fault = &setup->fault;
  const struct side_state *old = &sides[OUTCOME_OLD];
  const struct side_state *new = &sides[OUTCOME_NEW];
  double zone_sum = 0;
  for (uint32_t z = 0; z < MODEL_ZONES; z++)
    zone_sum += setup->zone_weights[z];
  bool route_faulty
      = strength > 0 && (fault->route < 0 || (uint32_t)fault->route == route);
  struct rates old_rates = make_rates (model, route, old, old, 0);
  struct rates new_rates
      = share > 0 ? make_rates (model, route, new, old, 0) : old_rates;
  struct rates faulty_rates
      = route_faulty ? make_rates (model, route, new, old, strength)
                     : new_rates;
  for (uint32_t z = 0; z < MODEL_ZONES; z++)
    {
      double fraction = zone_sum > 0 ? setup->zone_weights[z] / zone_sum
                                     : 1.0 / MODEL_ZONES;
      bool faulty
          = route_faulty && (fault->zone < 0 || (uint32_t)fault->zone == z);
      uint64_t before = model->new_calls;
      draw_cell (model, &model->counts[route][z][OUTCOME_OLD], OUTCOME_OLD,
                 mean * fraction * (1 - share), &old_rates, 0);
      draw_cell (model, &model->counts[route][z][OUTCOME_NEW], OUTCOME_NEW,
                 mean * fraction * share, faulty ? &faulty_rates : &new_rates,
                 new->cold_fraction);
      if (faulty)
        model->harmed += model->new_calls - before;
    }
}

/// At the time of the setup, fails a new target together with the calls that
/// it was running.
static void
fail_target (struct model *model, double used)
{
  const struct model_setup *setup = model->setup;
  uint64_t lost_ms = setup->lost_s * 1000ull;
  if (setup->lost_s == 0 || model->now_ms != lost_ms)
    return;
  uint32_t failed = (uint32_t)(used * setup->new_slots / 4);
  if (setup->lost_calls > 0)
    failed = (uint32_t)setup->lost_calls;
  struct outcome_counts *counts = &model->counts[0][0][OUTCOME_NEW];
  counts->calls += failed;
  counts->errors += failed;
  model->calls += failed;
  model->new_calls += failed;
}

void
model_init (struct model *model, const struct model_setup *setup,
            uint64_t seed)
{
  memset (model, 0, sizeof *model);
  model->setup = setup;
  model->rng.state = seed * 0x632be59bd9b4e019u + 1;
  model->first_new_ms = UINT64_MAX;
  /* Nodes only estimate the percentiles of the old version. */
  for (uint32_t r = 0; r < setup->routes; r++)
    model->limit_error[r] = 0.05 * draw_normal (&model->rng);
}

uint32_t
model_new_slots (const struct model *model)
{
  const struct model_setup *setup = model->setup;
  double slots = setup->new_slots;
  if (setup->late_slots > 0 && model->now_ms >= setup->grow_s * 1000ull)
    slots = setup->late_slots;
  uint64_t lost_ms = setup->lost_s * 1000ull;
  if (setup->lost_s > 0 && model->now_ms >= lost_ms
      && model->now_ms < lost_ms + 20000)
    slots *= 0.75;
  return (uint32_t)slots;
}

void
model_tick (struct model *model, double share)
{
  const struct model_setup *setup = model->setup;
  double second = (double)model->now_ms / 1000;
  double rate = setup->calls_per_s
                * (1 + setup->swing * sin (second * 2 * M_PI / 240));
  double busy = rate * setup->service_ms / 1000;
  double speed = setup->new_speed > 0 ? setup->new_speed : 1;
  double new_slots = model_new_slots (model);
  double old_used = busy * (1 - share) / setup->old_slots;
  double new_used = new_slots > 0 ? busy * speed * share / new_slots
                    : share > 0   ? 10
                                  : 0;
  double base = setup->base_errors;
  if (setup->incident_s > 0 && second >= setup->incident_s
      && second < setup->incident_s + 30)
    base = setup->incident_errors;
  if (share > 0 && model->first_new_ms == UINT64_MAX)
    model->first_new_ms = model->now_ms;

  struct side_state sides[OUTCOME_SIDES] = { { 0 } };
  sides[OUTCOME_OLD].errors = base + shed_fraction (old_used);
  sides[OUTCOME_OLD].shift = log (load_factor (old_used));
  sides[OUTCOME_NEW].errors = base + shed_fraction (new_used);
  double cold = cold_state (model, &sides[OUTCOME_NEW].cold_fraction);
  sides[OUTCOME_NEW].shift = log (load_factor (new_used) * speed * cold);
  double strength = share > 0 ? fault_strength (model, new_used) : 0;
  for (int side = 0; side < OUTCOME_SIDES; side++)
    {
      if (setup->stalls_per_s > 0
          && model_unit (&model->rng)
                 < setup->stalls_per_s * MODEL_TICK_MS / 1000)
        model->stalled_ms[side] = model->now_ms + STALL_MS;
      if (model->now_ms < model->stalled_ms[side])
        sides[side].stalled = STALLED_FRACTION;
    }
  if (share <= 0.05)
    model->reference = sides[OUTCOME_OLD].shift;

  model->calls = model->new_calls = model->harmed = 0;
  memset (model->node, 0, sizeof model->node);
  double route_sum = 0;
  for (uint32_t r = 0; r < setup->routes; r++)
    route_sum += setup->route_weights[r];
  for (uint32_t r = 0; r < setup->routes; r++)
    draw_route (model, r,
                rate * MODEL_TICK_MS / 1000 * setup->route_weights[r]
                    / route_sum,
                share, sides, strength);
  for (enum outcome_side side = 0; side < OUTCOME_SIDES; side++)
    draw_node (model, side);
  fail_target (model, new_used);
  model->faulty = model->harmed > 0;
  model->now_ms += MODEL_TICK_MS;
}
