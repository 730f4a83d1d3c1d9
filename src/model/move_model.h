/// Model of a service whose traffic is moved from an old version to a new one:
/// counts of call outcomes per route, availability zone and version in virtual
/// time. It stands in for callers and targets; no process is started.
#ifndef HAWTHORNSEAM_BENCH_MOVE_MODEL_H
#define HAWTHORNSEAM_BENCH_MOVE_MODEL_H

#include "state/outcome.h"

#include <stdbool.h>
#include <stdint.h>

#define MODEL_ROUTES_MAX 6
#define MODEL_ZONES 3
#define MODEL_TICK_MS 500

/// A fault of the new version. All given conditions must hold.
struct model_fault
{
  double error_rate;  ///< added probability of a failed call
  double slow_factor; ///< factor of every answer's time, 0: none
  double tail_rate;   ///< probability of an answer ten times as slow
  uint32_t start_s;   ///< since the start of the move
  uint32_t rise_s;    ///< time from none to the full fault
  uint32_t period_s;  ///< on and off with this period, 0: always on
  bool always_cold;   ///< targets crash and come back before they are warm
  double above_load;  ///< only while the new slots are used above this
  int route;          ///< only on this route, -1: all
  int zone;           ///< only in this zone, -1: all
};

struct model_setup
{
  double calls_per_s;
  uint32_t routes;
  double route_weights[MODEL_ROUTES_MAX];
  double zone_weights[MODEL_ZONES]; ///< all 0: equal
  double base_errors;               ///< failed calls of both versions
  double incident_errors; ///< failed calls of both during an incident
  uint32_t incident_s;    ///< start of the incident, lasts 30 s; 0: none
  double swing;           ///< slow change of the traffic, part of it
  double old_slots;
  double new_slots;
  double late_slots; ///< new slots from grow_s on, 0: no change
  uint32_t grow_s;
  double service_ms;   ///< median time of an answer without load
  double sigma;        ///< of its logarithm
  double new_speed;    ///< factor of the new version's times, 0: 1
  double cold_factor;  ///< times of a target without cache, 0: none
  uint32_t replaced_s; ///< a quarter of the new targets is replaced
  double stalls_per_s; ///< of one target of either version, 1 s each
  double lost_calls;   ///< calls that fail with a target, 0: from the load
  uint32_t lost_s;     ///< one new target is lost with its calls
  struct model_fault fault;
};

struct model_rng
{
  uint64_t state;
};

/// @return uniform number in [0, 1)
double model_unit (struct model_rng *rng);

struct model
{
  const struct model_setup *setup;
  struct model_rng rng;
  uint64_t now_ms;       ///< since the start of the move
  uint64_t first_new_ms; ///< first call of the new version, UINT64_MAX: none
  double reference;      ///< old version's slowdown at a share of at most 5%
  double limit_error[MODEL_ROUTES_MAX]; ///< of the percentiles, logarithm
  struct outcome_counts counts[MODEL_ROUTES_MAX][MODEL_ZONES][OUTCOME_SIDES];
  struct outcome_counts node[OUTCOME_SIDES]; ///< seen by one caller's node
  uint64_t stalled_ms[OUTCOME_SIDES];        ///< end of a stall
  uint64_t calls;                            ///< of the service in this tick
  uint64_t new_calls; ///< of the new version, cold targets included
  uint64_t harmed;    ///< of those, on a faulty route and zone
  bool errors_only;   ///< latency is not drawn, for policies without use
  bool faulty;        ///< the fault is active in this tick
};

/// Starts a model at the start of a move.
void model_init (struct model *model, const struct model_setup *setup,
                 uint64_t seed);

/// Runs one tick with a share of the calls on the new version.
/// @param share  part in [0, 1]
void model_tick (struct model *model, double share);

/// @return ready slots of the new version now
uint32_t model_new_slots (const struct model *model);

#endif
