/// Simulation in virtual time of entry nodes that place requests on targets of
/// uneven and changing speed. Each entry node knows only the load reports in
/// its own responses. The nodes beside the targets run the requests in the
/// order of arrival and refuse none, so that a bad placement shows as a long
/// response time.
#ifndef HAWTHORNSEAM_TEST_PLACEMENT_SIM_H
#define HAWTHORNSEAM_TEST_PLACEMENT_SIM_H

#include "base/rng.h"
#include "coordination/placement.h"
#include "coordination/target_speed.h"
#include "state/directory.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SIM_TARGETS_MAX 64
#define SIM_ENTRIES_MAX 320
#define SIM_ZONES_MAX 4
#define SIM_KINDS 2
#define SIM_SPEEDS_MAX 4
#define SIM_TOGGLES_MAX 1024
#define SIM_QUEUE_MAX 4096
#define SIM_SECONDS_MAX 256

/// Weight of a sample in the mean that nodes report without the figure, as in
/// the admission queue.
#define SIM_SMOOTHING_DIVISOR 8

struct sim_setup
{
  size_t targets;
  size_t slots;
  double speeds[SIM_SPEEDS_MAX]; ///< repeating
  size_t speed_count;
  size_t entries;
  size_t zones;
  double work_ms[SIM_KINDS];
  double per_s[SIM_KINDS];
  uint64_t body_bytes[SIM_KINDS];
  double within_ms;       ///< limit of sim_result.within
  double wave;            ///< part of a zone's demand that comes and goes
  double wave_s;          ///< period of the waves
  double disturbed_share; ///< of the time, for each target
  double disturbed_ms;    ///< mean length of a disturbance
  double disturbed_factor;
  double burst; ///< in seconds 10 to 15, zone 0 has this times the demand
                ///< of each other zone; 0: as usual
  double seconds;
  bool speed_by_zone; ///< with as many zones as speeds, all targets of a zone
                      ///< have the same; otherwise each has targets of all
  bool figure;        ///< targets report the figure of their speed
  bool shared; ///< every entry node sees every report: an upper bound of
               ///< what fresher reports can give, and a test of herding
  uint64_t seed;
};

/// Results of the time after the first 10 s.
struct sim_result
{
  double mean_ms;
  double p95_ms;
  double within;           ///< share of requests within the limit of the setup
  double cross_zone;       ///< share of requests between zones
  double cross_zone_bytes; ///< share of the bodies' bytes between zones
  double cross_zone_at[SIM_SECONDS_MAX]; ///< `cross_zone` of each second
  /// work done per slot, second and unit of speed, for each of the speeds; 1:
  /// fully used while undisturbed
  double use[SIM_SPEEDS_MAX];
};

struct sim_request
{
  uint64_t sent_us;
  uint32_t entry;
  uint32_t target;
  uint32_t kind;
  double work_us; ///< on a machine of speed 1
  uint64_t start_us;
  uint64_t integral;
};

enum sim_event_type
{
  SIM_CALL,
  SIM_ARRIVAL,
  SIM_FINISH,
  SIM_RESPONSE
};

/// Load report that travels with a response.
struct sim_report
{
  uint32_t running;
  uint32_t waiting;
  uint32_t service_us;
  uint32_t speed_percent;
};

struct sim_event
{
  uint64_t us;
  uint64_t order; ///< events of the same time keep their order
  enum sim_event_type type;
  struct sim_request request;
  struct sim_report report;
};

struct sim_target
{
  size_t zone;
  double speed;
  double work_done_us;
  size_t running;
  struct sim_request queue[SIM_QUEUE_MAX];
  size_t head;
  size_t queued;
  uint32_t mean_us;
  struct target_speed figure;
  uint64_t toggles[SIM_TOGGLES_MAX]; ///< odd intervals are disturbed
  size_t toggle_count;
  size_t interval; ///< of the last look-up
};

struct placement_sim
{
  struct sim_setup setup;
  struct rng rng;
  struct sim_target *targets;
  struct directory *directories; ///< of each entry node
  struct sim_event *events;      ///< binary heap
  size_t event_count;
  size_t event_capacity;
  uint64_t order;
  uint64_t now_us;
  uint64_t counted_from_us;
  float *times_ms;
  size_t time_count;
  size_t cross_zone;
  size_t calls_at[SIM_SECONDS_MAX];
  size_t cross_zone_at[SIM_SECONDS_MAX];
  uint64_t body_bytes;
  uint64_t cross_zone_bytes;
};

static const char *const sim_zone_names[SIM_ZONES_MAX]
    = { "z1", "z2", "z3", "z4" };

static inline bool
sim_precedes (const struct sim_event *a, const struct sim_event *b)
{
  return a->us != b->us ? a->us < b->us : a->order < b->order;
}

static inline void
sim_push (struct placement_sim *sim, struct sim_event event)
{
  if (sim->event_count == sim->event_capacity)
    {
      sim->event_capacity = sim->event_capacity * 2 + 64;
      sim->events
          = realloc (sim->events, sim->event_capacity * sizeof sim->events[0]);
    }
  event.order = sim->order++;
  size_t i = sim->event_count++;
  for (; i > 0 && sim_precedes (&event, &sim->events[(i - 1) / 2]);
       i = (i - 1) / 2)
    sim->events[i] = sim->events[(i - 1) / 2];
  sim->events[i] = event;
}

static inline struct sim_event
sim_pop (struct placement_sim *sim)
{
  struct sim_event first = sim->events[0];
  struct sim_event last = sim->events[--sim->event_count];
  size_t i = 0;
  for (;;)
    {
      size_t child = 2 * i + 1;
      if (child + 1 < sim->event_count
          && sim_precedes (&sim->events[child + 1], &sim->events[child]))
        child++;
      if (child >= sim->event_count
          || !sim_precedes (&sim->events[child], &last))
        break;
      sim->events[i] = sim->events[child];
      i = child;
    }
  sim->events[i] = last;
  return first;
}

static inline double
sim_exponential (struct placement_sim *sim)
{
  return -log (1 - rng_unit (&sim->rng));
}

/// Draws the times at which a target's disturbances begin and end.
static inline void
sim_draw_disturbances (struct placement_sim *sim, struct sim_target *target)
{
  const struct sim_setup *setup = &sim->setup;
  double quiet_ms = setup->disturbed_share > 0
                        ? setup->disturbed_ms * (1 - setup->disturbed_share)
                              / setup->disturbed_share
                        : 1e9;
  double us = 0;
  while (target->toggle_count + 2 < SIM_TOGGLES_MAX)
    {
      us += quiet_ms * 1000 * sim_exponential (sim);
      target->toggles[target->toggle_count++] = (uint64_t)us;
      us += setup->disturbed_ms * 1000 * (0.7 + 0.6 * rng_unit (&sim->rng));
      target->toggles[target->toggle_count++] = (uint64_t)us;
    }
}

/// @return number of toggles up to a time, which is odd during a disturbance
static inline size_t
sim_interval (struct sim_target *target, uint64_t us)
{
  while (target->interval < target->toggle_count
         && target->toggles[target->interval] <= us)
    target->interval++;
  return target->interval;
}

static inline double
sim_factor (const struct placement_sim *sim, size_t interval)
{
  return interval % 2 == 1 ? sim->setup.disturbed_factor : 1;
}

static inline void
sim_start (struct placement_sim *sim, struct sim_request request)
{
  struct sim_target *target = &sim->targets[request.target];
  size_t interval = sim_interval (target, sim->now_us);
  double us = (double)sim->now_us;
  double left_us = request.work_us / target->speed;
  for (; interval < target->toggle_count; interval++)
    {
      double until = (double)target->toggles[interval];
      double done = (until - us) / sim_factor (sim, interval);
      if (done >= left_us)
        break;
      left_us -= done;
      us = until;
    }
  request.start_us = sim->now_us;
  request.integral = target_speed_integral (&target->figure, sim->now_us);
  target->running++;
  sim_push (
      sim, (struct sim_event){
               .us = (uint64_t)(us + left_us * sim_factor (sim, interval) + 1),
               .type = SIM_FINISH,
               .request = request });
}

static inline uint64_t
sim_latency_us (const struct placement_sim *sim,
                const struct sim_request *request)
{
  size_t zone = request->entry % sim->setup.zones;
  return zone == sim->targets[request->target].zone ? 200 : 1400;
}

static inline void
sim_finish (struct placement_sim *sim, struct sim_request *request)
{
  struct sim_target *target = &sim->targets[request->target];
  uint64_t elapsed_us = sim->now_us - request->start_us;
  target->running--;
  if (sim->now_us >= sim->counted_from_us)
    target->work_done_us += request->work_us;
  if (target->queued > 0)
    {
      struct sim_request next = target->queue[target->head];
      target->head = (target->head + 1) % SIM_QUEUE_MAX;
      target->queued--;
      sim_start (sim, next);
    }
  target->mean_us = target->mean_us == 0
                        ? (uint32_t)elapsed_us
                        : (uint32_t)(((uint64_t)target->mean_us
                                          * (SIM_SMOOTHING_DIVISOR - 1)
                                      + elapsed_us)
                                     / SIM_SMOOTHING_DIVISOR);
  struct sim_event response
      = { .us = sim->now_us + sim_latency_us (sim, request),
          .type = SIM_RESPONSE,
          .request = *request,
          .report = { .running = (uint32_t)target->running,
                      .waiting = (uint32_t)target->queued,
                      .service_us = target->mean_us } };
  if (sim->setup.figure)
    {
      double factor = sim_factor (sim, sim_interval (target, sim->now_us));
      target_speed_note (&target->figure, (uint32_t)(100 * factor),
                         sim->now_us);
      target_speed_sample (&target->figure, request->start_us,
                           request->integral, sim->now_us);
      if (target_speed_is_known (&target->figure, sim->now_us))
        {
          response.report.service_us = target->figure.service_us;
          response.report.speed_percent = target->figure.percent;
        }
    }
  sim_push (sim, response);
}

static inline void
sim_arrive (struct placement_sim *sim, const struct sim_request *request)
{
  struct sim_target *target = &sim->targets[request->target];
  if (target->running < sim->setup.slots)
    {
      sim_start (sim, *request);
      return;
    }
  if (target->queued == SIM_QUEUE_MAX)
    abort ();
  target->queue[(target->head + target->queued++) % SIM_QUEUE_MAX] = *request;
}

static inline void
sim_report_to (struct placement_sim *sim, size_t entry, size_t target,
               const struct sim_report *report)
{
  struct directory_record *record = &sim->directories[entry].records[target];
  placement_report (record, report->running, report->waiting,
                    report->service_us, sim->now_us / 1000);
  if (report->speed_percent > 0)
    placement_report_speed (record, report->speed_percent, 0);
}

static inline void
sim_respond (struct placement_sim *sim, const struct sim_event *event)
{
  const struct sim_request *request = &event->request;
  struct directory_record *record
      = &sim->directories[request->entry].records[request->target];
  placement_end (record, PLACEMENT_ANSWERED, sim->now_us / 1000);
  sim_report_to (sim, request->entry, request->target, &event->report);
  for (size_t i = 0; sim->setup.shared && i < sim->setup.entries; i++)
    sim_report_to (sim, i, request->target, &event->report);
  if (request->sent_us < sim->counted_from_us)
    return;
  sim->times_ms[sim->time_count++]
      = (float)(sim->now_us - request->sent_us) / 1000;
  bool crossed = request->entry % sim->setup.zones
                 != sim->targets[request->target].zone;
  sim->cross_zone += crossed;
  sim->body_bytes += sim->setup.body_bytes[request->kind];
  if (crossed)
    sim->cross_zone_bytes += sim->setup.body_bytes[request->kind];
}

/// @return an entry node, more often in zones where the wave is high
static inline size_t
sim_draw_entry (struct placement_sim *sim)
{
  const struct sim_setup *setup = &sim->setup;
  for (;;)
    {
      size_t entry = rng_below (&sim->rng, setup->entries);
      size_t zone = entry % setup->zones;
      double phase = (double)sim->now_us / 1e6 / setup->wave_s
                     + (double)zone / (double)setup->zones;
      double weight = 1 + setup->wave * sin (2 * M_PI * phase);
      double most = 1 + setup->wave;
      uint64_t s = sim->now_us / 1000000;
      if (setup->burst > 0 && s >= 20 && s < 25)
        {
          weight = zone == 0 ? setup->burst : 1;
          most = setup->burst;
        }
      if (rng_unit (&sim->rng) * most < weight)
        return entry;
    }
}

static inline void
sim_call (struct placement_sim *sim, size_t kind)
{
  const struct sim_setup *setup = &sim->setup;
  size_t entry = sim_draw_entry (sim);
  struct placement_request wanted
      = { .service = "orders",
          .availability_zone = sim_zone_names[entry % setup->zones],
          .objective_ms = (uint32_t)setup->within_ms,
          .body_bytes = setup->body_bytes[kind] };
  uint64_t now_ms = sim->now_us / 1000;
  size_t handle = placement_choose (&sim->directories[entry], &wanted,
                                    &sim->rng, now_ms);
  placement_begin (&sim->directories[entry].records[handle]);
  if (sim->now_us >= sim->counted_from_us)
    {
      size_t s = (sim->now_us - sim->counted_from_us) / 1000000;
      sim->calls_at[s]++;
      sim->cross_zone_at[s]
          += entry % setup->zones != sim->targets[handle].zone;
    }
  struct sim_request request
      = { .sent_us = sim->now_us,
          .entry = (uint32_t)entry,
          .target = (uint32_t)handle,
          .kind = (uint32_t)kind,
          .work_us = setup->work_ms[kind] * 1000
                     * (0.4 + 0.6 * sim_exponential (sim)) };
  sim_push (sim, (struct sim_event){ .us = sim->now_us
                                           + sim_latency_us (sim, &request),
                                     .type = SIM_ARRIVAL,
                                     .request = request });
  uint64_t gap_us
      = (uint64_t)(1e6 / setup->per_s[kind] * sim_exponential (sim));
  sim_push (sim, (struct sim_event){ .us = sim->now_us + gap_us,
                                     .type = SIM_CALL,
                                     .request = { .kind = (uint32_t)kind } });
}

static inline void
sim_init (struct placement_sim *sim, const struct sim_setup *setup)
{
  *sim
      = (struct placement_sim){ .setup = *setup, .counted_from_us = 10000000 };
  rng_init (&sim->rng, setup->seed);
  sim->targets = calloc (setup->targets, sizeof sim->targets[0]);
  sim->directories = calloc (setup->entries, sizeof sim->directories[0]);
  sim->times_ms = calloc (
      (size_t)((setup->per_s[0] + setup->per_s[1]) * setup->seconds * 1.2)
          + 1000,
      sizeof sim->times_ms[0]);
  for (size_t i = 0; i < setup->targets; i++)
    {
      struct sim_target *target = &sim->targets[i];
      target->zone = setup->speed_by_zone
                         ? i % setup->zones
                         : i / setup->speed_count % setup->zones;
      target->speed = setup->speeds[i % setup->speed_count];
      sim_draw_disturbances (sim, target);
    }
  for (size_t i = 0; i < setup->entries; i++)
    {
      directory_init (&sim->directories[i]);
      for (size_t k = 0; k < setup->targets; k++)
        {
          struct directory_entry entry = { .address = 1,
                                           .port = 1,
                                           .slots = (uint16_t)setup->slots,
                                           .state = DIRECTORY_READY,
                                           .epoch = 1 };
          snprintf (entry.node, sizeof entry.node, "n%u", (unsigned)k);
          strcpy (entry.availability_zone,
                  sim_zone_names[sim->targets[k].zone]);
          strcpy (entry.service, "orders");
          strcpy (entry.version, "v1");
          strcpy (entry.instance, entry.node);
          directory_put (&sim->directories[i], &entry, 1, 0);
        }
    }
  for (size_t kind = 0; kind < SIM_KINDS; kind++)
    if (setup->per_s[kind] > 0)
      sim_push (sim,
                (struct sim_event){ .type = SIM_CALL,
                                    .request = { .kind = (uint32_t)kind } });
}

static inline int
sim_compare_times (const void *a, const void *b)
{
  float x = *(const float *)a;
  float y = *(const float *)b;
  return (x > y) - (x < y);
}

static inline struct sim_result
sim_summarize (struct placement_sim *sim)
{
  const struct sim_setup *setup = &sim->setup;
  struct sim_result result = { 0 };
  double count = (double)sim->time_count;
  size_t within = 0;
  double counted_us = (double)(sim->now_us - sim->counted_from_us);
  qsort (sim->times_ms, sim->time_count, sizeof sim->times_ms[0],
         sim_compare_times);
  for (size_t i = 0; i < sim->time_count; i++)
    {
      result.mean_ms += sim->times_ms[i] / count;
      within += sim->times_ms[i] <= setup->within_ms;
    }
  result.p95_ms = sim->times_ms[sim->time_count * 95 / 100];
  result.within = (double)within / count;
  result.cross_zone = (double)sim->cross_zone / count;
  for (size_t i = 0; i < SIM_SECONDS_MAX && sim->calls_at[i] > 0; i++)
    result.cross_zone_at[i]
        = (double)sim->cross_zone_at[i] / (double)sim->calls_at[i];
  if (sim->body_bytes > 0)
    result.cross_zone_bytes
        = (double)sim->cross_zone_bytes / (double)sim->body_bytes;
  for (size_t i = 0; i < setup->targets; i++)
    {
      size_t speed = i % setup->speed_count;
      size_t alike = (setup->targets - speed + setup->speed_count - 1)
                     / setup->speed_count;
      result.use[speed] += sim->targets[i].work_done_us
                           / ((double)setup->slots * setup->speeds[speed]
                              * counted_us * (double)alike);
    }
  return result;
}

static inline struct sim_result
placement_sim_run (const struct sim_setup *setup)
{
  struct placement_sim sim;
  sim_init (&sim, setup);
  uint64_t end_us = sim.counted_from_us + (uint64_t)(setup->seconds * 1e6);
  while (sim.event_count > 0 && sim.events[0].us < end_us)
    {
      struct sim_event event = sim_pop (&sim);
      sim.now_us = event.us;
      switch (event.type)
        {
        case SIM_CALL:
          sim_call (&sim, event.request.kind);
          break;
        case SIM_ARRIVAL:
          sim_arrive (&sim, &event.request);
          break;
        case SIM_FINISH:
          sim_finish (&sim, &event.request);
          break;
        case SIM_RESPONSE:
          sim_respond (&sim, &event);
          break;
        }
    }
  struct sim_result result = sim_summarize (&sim);
  for (size_t i = 0; i < setup->entries; i++)
    directory_finish (&sim.directories[i]);
  free (sim.directories);
  free (sim.targets);
  free (sim.events);
  free (sim.times_ms);
  return result;
}

#endif
