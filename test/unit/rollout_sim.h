/* A move in virtual time: entry nodes that each see only their own requests,
   targets with slots and queues, and the driver. */
#ifndef HAWTHORNSEAM_TEST_ROLLOUT_SIM_H
#define HAWTHORNSEAM_TEST_ROLLOUT_SIM_H

#include "base/rng.h"
#include "coordination/placement.h"
#include "coordination/rollout.h"
#include "coordination/rollout_spread.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SIM_KINDS 3
#define SIM_TICK_MS 250
#define SIM_SLOTS_MAX 8

/// Time until all nodes have a new record of the move.
#define SIM_PROPAGATION_MS 500

struct sim_fault
{
  const char *name;
  uint32_t fail_permille;  ///< of the requests with the fault; 0: none
  uint32_t slow_factor;    ///< above 1: they become slow instead
  uint32_t kind;           ///< UINT32_MAX: all kinds
  uint64_t from_ms;        ///< after the order
  uint32_t above_permille; ///< only while more of the target's slots are busy
};

struct sim_service
{
  uint32_t targets; ///< of each version
  uint32_t slots;
  uint32_t entries;
  uint32_t service_ms;
  uint32_t busy_permille; ///< of the old version's slots before the move
  uint64_t duration_ms;
};

struct sim_result
{
  bool finished;
  bool rolled_back;
  uint64_t end_ms;
  uint32_t new_requests;
  uint32_t all_requests;
  uint64_t fiftieth_ms; ///< time of the fiftieth bad response; 0: never
  uint64_t last_new_ms; ///< time of the last request to the new version
  char reason[96];      ///< of the end
};

struct sim_request
{
  size_t target;
  size_t entry;
  uint32_t kind;
  uint32_t start_ms;
  uint32_t latency_us;
  bool failed;
  bool faulty;
  uint32_t next; ///< in the list of its response time; 0: end
};

struct sim_entry
{
  struct directory directory;
  struct rollout_spread spread;
  uint32_t credits[SIM_KINDS];
};

struct sim_target
{
  double free_ms[SIM_SLOTS_MAX]; ///< when each slot has done its work
  uint32_t running;
};

struct sim
{
  struct sim_service service;
  struct sim_fault fault;
  bool spread; ///< concentrate the share
  struct rng rng;
  struct sim_entry *entries;
  struct sim_target *targets; ///< the old version's first
  struct sim_request *requests;
  uint32_t request_count;
  uint32_t *ends; ///< first request by response time, ms
  uint32_t bad_responses;
  struct rollout rollout;
  struct rollout_counts counts[ROLLOUT_SIDES][SIM_KINDS];
  uint32_t share_bp[SIM_KINDS]; ///< that the entries follow
  uint64_t order_ms;            ///< requests before it load the old version
  struct sim_result result;
};

#define SIM_TIME_MAX 60000

static inline void
sim_init (struct sim *sim, const struct sim_service *service,
          const struct sim_fault *fault, bool spread, uint64_t seed)
{
  memset (sim, 0, sizeof *sim);
  sim->service = *service;
  sim->fault = *fault;
  sim->spread = spread;
  rng_init (&sim->rng, seed);
  sim->entries = calloc (service->entries, sizeof *sim->entries);
  sim->targets = calloc (2 * service->targets, sizeof *sim->targets);
  sim->requests = calloc (1 << 20, sizeof *sim->requests);
  sim->ends = calloc (SIM_TIME_MAX, sizeof *sim->ends);
  for (size_t e = 0; e < service->entries; e++)
    {
      struct sim_entry *entry = &sim->entries[e];
      directory_init (&entry->directory);
      rollout_spread_init (&entry->spread);
      for (size_t k = 0; k < SIM_KINDS; k++)
        entry->credits[k] = (uint32_t)rng_below (&sim->rng, 10000);
      for (uint32_t t = 0; t < 2 * service->targets; t++)
        {
          struct directory_entry item = { .slots = (uint16_t)service->slots,
                                          .state = DIRECTORY_READY };
          snprintf (item.node, sizeof item.node, "node-%u", t);
          strcpy (item.service, "orders");
          strcpy (item.version, t < service->targets ? "v1" : "v2");
          strcpy (item.availability_zone, "a");
          directory_put (&entry->directory, &item, t + 1, 0);
        }
    }
  sim->order_ms = 500 + 2 * service->service_ms;
  rollout_init (&sim->rollout, service->duration_ms, sim->order_ms);
}

static inline void
sim_finish (struct sim *sim)
{
  for (size_t e = 0; e < sim->service.entries; e++)
    {
      directory_finish (&sim->entries[e].directory);
      rollout_spread_finish (&sim->entries[e].spread);
    }
  free (sim->entries);
  free (sim->targets);
  free (sim->requests);
  free (sim->ends);
}

static inline bool
sim_has_fault (const struct sim *sim, const struct sim_request *request)
{
  const struct sim_fault *fault = &sim->fault;
  const struct sim_target *target = &sim->targets[request->target];
  return request->target >= sim->service.targets
         && (fault->kind == UINT32_MAX || fault->kind == request->kind)
         && request->start_ms >= sim->order_ms + fault->from_ms
         && target->running * 1000 > sim->service.slots * fault->above_permille
         && rng_below (&((struct sim *)sim)->rng, 1000) < fault->fail_permille;
}

/// @return time after which a caller takes no response
static inline double
sim_timeout_ms (const struct sim *sim)
{
  return 1000 + 2 * sim->service.service_ms;
}

/// Runs a request at its target: it waits for a slot, and works longer while
/// other slots are busy.
static inline void
sim_run_request (struct sim *sim, uint32_t index)
{
  struct sim_request *request = &sim->requests[index];
  struct sim_target *target = &sim->targets[request->target];
  size_t slot = 0;
  for (size_t i = 1; i < sim->service.slots; i++)
    if (target->free_ms[i] < target->free_ms[slot])
      slot = i;
  target->running++;
  double work_ms
      = sim->service.service_ms
        * (0.6 + (double)rng_below (&sim->rng, 800) / 1000)
        * (1 + 0.3 * fmin (1, (double)target->running / sim->service.slots));
  request->failed = rng_below (&sim->rng, 1000) < 4;
  request->faulty = sim_has_fault (sim, request);
  if (request->faulty && sim->fault.slow_factor > 1)
    work_ms *= sim->fault.slow_factor;
  else if (request->faulty)
    request->failed = true;
  double end_ms = fmax (target->free_ms[slot], request->start_ms) + work_ms;
  target->free_ms[slot] = end_ms;
  double timeout_ms = request->start_ms + sim_timeout_ms (sim);
  if (end_ms > timeout_ms)
    {
      request->failed = true;
      end_ms = timeout_ms;
    }
  request->latency_us = (uint32_t)((end_ms - request->start_ms) * 1000);
  if (end_ms >= SIM_TIME_MAX)
    return;
  request->next = sim->ends[(size_t)end_ms];
  sim->ends[(size_t)end_ms] = index;
}

static inline void
sim_arrive (struct sim *sim, uint64_t now)
{
  uint32_t index = ++sim->request_count;
  struct sim_request *request = &sim->requests[index];
  size_t number = rng_below (&sim->rng, sim->service.entries);
  struct sim_entry *entry = &sim->entries[number];
  uint64_t draw = rng_below (&sim->rng, 100);
  uint32_t kind = draw < 80 ? 0 : draw < 95 ? 1 : 2;
  struct placement_request wanted = { .service = "orders",
                                      .availability_zone = "a",
                                      .objective_ms = 1000,
                                      .version = { .name = "v2" } };
  entry->credits[kind] += sim->share_bp[kind];
  wanted.version.exclude = entry->credits[kind] < 10000;
  entry->credits[kind] -= wanted.version.exclude ? 0 : 10000;
  if (!wanted.version.exclude && sim->spread
      && rollout_spread_rank (&entry->spread, &entry->directory, NULL,
                              "orders", "v2", 7))
    wanted.version.only = rollout_spread_choose (
        &entry->spread, &entry->directory, sim->share_bp[kind], now);
  request->target
      = placement_choose (&entry->directory, &wanted, &sim->rng, now);
  request->entry = number;
  request->kind = kind;
  request->start_ms = (uint32_t)now;
  placement_begin (&entry->directory.records[request->target]);
  sim->result.all_requests += now >= sim->order_ms;
  if (!wanted.version.exclude)
    {
      sim->result.new_requests++;
      sim->result.last_new_ms = now;
    }
  sim_run_request (sim, index);
}

static inline void
sim_respond (struct sim *sim, uint64_t now)
{
  for (uint32_t i = sim->ends[now]; i != 0; i = sim->requests[i].next)
    {
      struct sim_request *request = &sim->requests[i];
      struct sim_target *target = &sim->targets[request->target];
      struct directory_record *record
          = &sim->entries[request->entry].directory.records[request->target];
      struct rollout_counts *counts
          = &sim->counts[request->target >= sim->service.targets]
                        [request->kind];
      target->running--;
      placement_end (record,
                     request->failed ? PLACEMENT_FAILED : PLACEMENT_ANSWERED,
                     now);
      uint32_t slots = sim->service.slots;
      placement_report (record,
                        target->running < slots ? target->running : slots,
                        target->running < slots ? 0 : target->running - slots,
                        sim->service.service_ms * 1000, now);
      counts->calls++;
      counts->failures += request->failed;
      if (!request->failed)
        counts->latency[rollout_bucket (request->latency_us)]++;
      sim->bad_responses += request->faulty;
      if (sim->bad_responses == 50 && sim->result.fiftieth_ms == 0)
        sim->result.fiftieth_ms = now;
    }
}

/// The driver's evaluation.
/// @return false when the move has ended
static inline bool
sim_drive (struct sim *sim, uint64_t now)
{
  struct rollout_view view
      = { .new_targets = sim->service.targets, .evidence_fresh = true };
  struct sim_entry *entry = &sim->entries[0];
  if (sim->spread
      && rollout_spread_rank (&entry->spread, &entry->directory, NULL,
                              "orders", "v2", 7))
    view.load_share_bp
        = rollout_spread_load_share (&entry->spread, &entry->directory);
  for (size_t t = 0; t < sim->service.targets; t++)
    view.old_busy = view.old_busy || sim->targets[t].running > 0;
  for (uint32_t k = 0; k < SIM_KINDS; k++)
    for (int side = 0; side < ROLLOUT_SIDES; side++)
      rollout_add (&sim->rollout, (enum rollout_side)side, k,
                   &sim->counts[side][k]);
  memset (sim->counts, 0, sizeof sim->counts);
  enum rollout_action action = rollout_decide (&sim->rollout, &view, now);
  sim->result.finished = action == ROLLOUT_FINISH;
  sim->result.rolled_back = action == ROLLOUT_ROLL_BACK;
  sim->result.end_ms = now;
  return !sim->result.finished && !sim->result.rolled_back;
}

static inline void
sim_publish (struct sim *sim, uint32_t shares[SIM_KINDS])
{
  for (uint32_t k = 0; k < SIM_KINDS; k++)
    {
      shares[k] = sim->result.finished      ? 10000
                  : sim->result.rolled_back ? 0
                                            : rollout_share (&sim->rollout);
      for (size_t i = 0;
           sim->result.end_ms != 0 && !sim->result.finished
           && !sim->result.rolled_back && i < sim->rollout.kind_count;
           i++)
        if (sim->rollout.kinds[i].kind == k
            && sim->rollout.kinds[i].share_bp > shares[k])
          shares[k] = sim->rollout.kinds[i].share_bp;
    }
}

/// Plays a move until its deadline.
static inline struct sim_result
sim_play (const struct sim_service *service, const struct sim_fault *fault,
          bool spread, uint64_t seed)
{
  struct sim sim;
  uint32_t next[SIM_KINDS] = { 0 };
  double per_ms = (double)service->targets * service->slots
                  * service->busy_permille / 1000 / service->service_ms;
  bool running = true;
  uint64_t publish_ms = 1;
  double due = 0;
  sim_init (&sim, service, fault, spread, seed);
  uint64_t end_ms = sim.order_ms + service->duration_ms;
  for (uint64_t now = 1; now < end_ms; now++)
    {
      sim_respond (&sim, now);
      if (now == sim.order_ms)
        memset (sim.counts, 0, sizeof sim.counts);
      if (running && now > sim.order_ms && now % SIM_TICK_MS == 0)
        running = sim_drive (&sim, now);
      if (now >= publish_ms && now >= sim.order_ms)
        {
          memcpy (sim.share_bp, next, sizeof next);
          sim_publish (&sim, next);
          publish_ms = now
                       + (memcmp (next, sim.share_bp, sizeof next) == 0
                              ? 1
                              : SIM_PROPAGATION_MS);
        }
      /* Poisson arrivals. */
      while (due < (double)now && sim.request_count + 1 < 1 << 20)
        {
          sim_arrive (&sim, now);
          due -= log ((1 + (double)rng_below (&sim.rng, 1 << 20)) / (1 << 20))
                 / per_ms;
        }
    }
  sim.result.end_ms -= sim.order_ms;
  memcpy (sim.result.reason, sim.rollout.reason, sizeof sim.result.reason);
  sim_finish (&sim);
  return sim.result;
}

#endif
