/// Simulation, in virtual time, of a service whose calls are moved from an old
/// version to a new one. It stands in for callers and targets, without
/// processes: each tick yields counts of call outcomes per route, availability
/// zone and version.
#ifndef HAWTHORNSEAM_MODEL_MOVE_MODEL_H
#define HAWTHORNSEAM_MODEL_MOVE_MODEL_H

#include "state/outcome.h"

#include <stdbool.h>
#include <stdint.h>

#define MODEL_ROUTES_MAX 6
#define MODEL_ZONES 3
#define MODEL_TICK_MS 500

/// A fault of the new version. It is active while all given conditions hold.
struct model_fault
{
  double error_rate;  ///< added probability that a call fails
  double slow_factor; ///< factor of every response time, 0: none
  double tail_rate;   ///< probability of a response above all limits
  uint32_t start_s;   ///< first active, counted from the start of the move
  uint32_t rise_s;    ///< time of linear growth to full strength
  uint32_t period_s;  ///< on for this time, off for this time; 0: always on
  bool always_cold; ///< targets crash and restart before their caches are warm
  double above_load; ///< only from this utilization of the new slots on
  int route;         ///< only on this route, -1: all
  int zone;          ///< only in this zone, -1: all
};

/// Parameters of a service and its two versions.
struct model_setup
{
  double calls_per_s;
  uint32_t routes; ///< number of routes
  double route_weights[MODEL_ROUTES_MAX];
  double zone_weights[MODEL_ZONES]; ///< all 0: equal
  double base_errors;     ///< probability that a call fails, both versions
  double incident_errors; ///< the same during an incident
  uint32_t incident_s;    ///< start of the incident, lasts 30 s; 0: none
  double swing; ///< amplitude of the call rate's 240 s sine wave, fraction
  double old_slots;
  double new_slots;
  double late_slots; ///< new slots from grow_s on, 0: as before
  uint32_t grow_s;
  double service_ms;   ///< median response time without load
  double sigma;        ///< standard deviation of the time's logarithm
  double new_speed;    ///< factor of the new version's times, 0: 1
  double cold_factor;  ///< factor of times with empty caches, 0: none
  uint32_t replaced_s; ///< a quarter of the new targets is replaced, 0: never
  double stalls_per_s; ///< rate of 1 s stalls of one target, each version
  double lost_calls;   ///< calls that fail with lost target, 0: from the load
  uint32_t lost_s;     ///< one new target and its calls are lost, 0: never
  struct model_fault fault;
};

/// State of a splitmix64 generator.
struct model_rng
{
  uint64_t state;
};

/// @return uniformly distributed random number in [0, 1)
double model_unit (struct model_rng *rng);

/// State of a run. Slowdowns are logarithms of factors.
struct model
{
  const struct model_setup *setup;
  struct model_rng rng;
  uint64_t now_ms;       ///< since the start of the move
  uint64_t first_new_ms; ///< first tick with a share for the new version,
                         ///< UINT64_MAX: none yet
  double reference;      ///< old version's slowdown, last at a share up to 5%
  double limit_error[MODEL_ROUTES_MAX]; ///< of estimated percentiles, log
  struct outcome_counts counts[MODEL_ROUTES_MAX][MODEL_ZONES][OUTCOME_SIDES];
  struct outcome_counts node[OUTCOME_SIDES]; ///< seen by one caller's node
  uint64_t stalled_ms[OUTCOME_SIDES]; ///< end of the version's last stall
  uint64_t calls;     ///< all calls of the service in this tick
  uint64_t new_calls; ///< calls of the new version, cold targets included
  uint64_t harmed;  ///< those of new_calls on a route and zone with the fault
  bool errors_only; ///< do not draw latencies, for policies that ignore them
  bool faulty;      ///< the fault is active in this tick
};

/// Initializes a model at the start of a move.
/// @param setup  must outlive the model
void model_init (struct model *model, const struct model_setup *setup,
                 uint64_t seed);

/// Simulates one tick.
/// @param share  fraction of the calls that the new version gets, in [0, 1]
void model_tick (struct model *model, double share);

/// @return slots of the new version that are ready now
uint32_t model_new_slots (const struct model *model);

#endif
