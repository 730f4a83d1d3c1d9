/// Stateless; the observations are kept in the records of the directory.
#include "coordination/placement.h"

#include "coordination/placement_speed.h"

#include <string.h>

/// Number of random candidates that are compared. Two are enough to avoid the
/// most loaded node. Three find a fast target among unequal ones more often,
/// while different callers still choose different targets; with more, all
/// choose the few that were fast when they last reported.
#define CANDIDATES_COMPARED 3

/// Candidates of the own zone among them if it has so many.
#define CANDIDATES_NEAR 2

/// Numbers for targets that report their speed. The estimates are better, and
/// tend to the usual load as the reports age, so that more candidates find
/// undisturbed targets in the own zone without all nodes choosing the same.
#define CANDIDATES_COMPARED_SPEED 5
#define CANDIDATES_NEAR_SPEED 4

/// Maximum age of a load report that is used.
#define REPORT_AGE_MS_MAX 1000

/// Maximum age of a reported service time that is used. After that the target
/// is assumed to be as fast as the fastest candidate, so that a target that
/// has become faster gets requests again.
#define SERVICE_TIME_AGE_MS_MAX 3000

/// Service time that is assumed when no candidate has a recent report.
#define SERVICE_US_DEFAULT 50000

/// Cost of a small response from another zone: the service time divided by
/// this, and at least the round trip. Bytes between zones are paid for, so
/// requests leave the zone when its targets are clearly busier or slower.
#define CROSS_ZONE_SMALL_DIVISOR 4
#define CROSS_ZONE_SMALL_US_MIN 1500

/// Cost of a large response from another zone: the latency objective divided
/// by this.
#define CROSS_ZONE_LARGE_DIVISOR 2

/// Time for which a node is not chosen after a lost connection or response. It
/// doubles with each consecutive failure up to the maximum.
#define DOWN_MS_FIRST 250
#define DOWN_MS_MAX 2000
#define DOWN_DOUBLINGS_MAX 3

/// Time for which a node without a target is not chosen.
#define NO_TARGET_MS 500

/// Half-life of the failure share, so that a target that has recovered gets
/// requests again.
#define ERROR_HALF_LIFE_MS 1500

/// Weight of one outcome in the smoothed failure share, 1 / 10.
#define ERROR_SMOOTHING_DIVISOR 10

static bool
is_allowed (const struct directory *directory, size_t handle,
            const struct placement_request *request)
{
  const struct directory_record *record = &directory->records[handle];
  const struct directory_entry *entry = &record->entry;
  if (!record->used || entry->state != DIRECTORY_READY
      || strcmp (entry->service, request->service) != 0)
    return false;
  if (request->evacuations != NULL && request->evacuations->count > 0
      && evacuation_contains (request->evacuations, entry->availability_zone))
    return false;
  if (request->version.only != NULL && !request->version.only[handle])
    return false;
  if (request->version.name == NULL)
    return true;
  bool same = strcmp (entry->version, request->version.name) == 0;
  return same != request->version.exclude;
}

static bool
was_tried (const struct placement_request *request, size_t handle)
{
  for (size_t i = 0; i < request->tried_count; i++)
    if (request->tried[i] == handle)
      return true;
  return false;
}

/// @return failure share after decay, permille
static uint32_t
current_error_permille (const struct directory_load *load, uint64_t now_ms)
{
  uint64_t halvings = (now_ms - load->error_ms) / ERROR_HALF_LIFE_MS;
  return halvings > 10 ? 0 : load->error_permille >> halvings;
}

static bool
has_recent_service_time (const struct directory_load *load, uint64_t now_ms)
{
  return load->service_us > 0
         && now_ms - load->reported_ms < SERVICE_TIME_AGE_MS_MAX;
}

/// @return shortest recent service time among the candidates, microseconds
static uint64_t
fastest_us (const struct directory *directory, const size_t *handles,
            size_t count, uint64_t now_ms)
{
  uint64_t fastest = UINT64_MAX;
  for (size_t i = 0; i < count; i++)
    {
      const struct directory_load *load = &directory->records[handles[i]].load;
      if (has_recent_service_time (load, now_ms) && load->service_us < fastest)
        fastest = load->service_us;
    }
  return fastest == UINT64_MAX ? SERVICE_US_DEFAULT : fastest;
}

static bool
is_near (const struct directory_record *record,
         const struct placement_request *request)
{
  return strcmp (record->entry.availability_zone, request->availability_zone)
         == 0;
}

/// @return cost of a response from another zone, microseconds
static uint64_t
cross_zone_us (const struct placement_request *request, uint64_t service_us)
{
  if (request->large_response)
    return (uint64_t)request->objective_ms * 1000 / CROSS_ZONE_LARGE_DIVISOR;
  uint64_t cost_us = service_us / CROSS_ZONE_SMALL_DIVISOR;
  return cost_us > CROSS_ZONE_SMALL_US_MIN ? cost_us : CROSS_ZONE_SMALL_US_MIN;
}

/// @return expected time until the response of a node, before failures,
///         microseconds
static uint64_t
response_us (const struct directory_record *record,
             const struct placement_request *request, uint64_t default_us,
             uint64_t now_ms)
{
  const struct directory_load *load = &record->load;
  uint64_t service_us
      = has_recent_service_time (load, now_ms) ? load->service_us : default_us;
  if (now_ms < record->seen_ms + record->entry.cold_ms)
    service_us *= 2;
  uint64_t slots = record->entry.slots > 0 ? record->entry.slots : 1;
  uint64_t occupied = load->in_flight;
  if (load->reported_ms != 0 && now_ms - load->reported_ms < REPORT_AGE_MS_MAX)
    {
      uint64_t reported
          = load->running + load->waiting + load->sent_since_report;
      if (reported > occupied)
        occupied = reported;
    }
  uint64_t busy = occupied < slots ? occupied : slots;
  uint64_t cost = service_us + busy * service_us / (4 * slots);
  if (occupied >= slots)
    cost += (occupied - slots + 1) * service_us / slots;
  if (!is_near (record, request))
    cost += cross_zone_us (request, service_us);
  return cost;
}

/// Adds the cost of the failures that are to be expected.
static uint64_t
add_failure_cost (uint64_t cost, const struct directory_record *record,
                  const struct placement_request *request, uint64_t now_ms)
{
  uint64_t failures = current_error_permille (&record->load, now_ms);
  return cost
         + (cost + (uint64_t)request->objective_ms * 1000) * failures
               / (1001 - (failures < 1000 ? failures : 1000));
}

/// Random sample of the eligible nodes of one group.
struct sample
{
  size_t handles[CANDIDATES_COMPARED_SPEED];
  size_t limit; ///< largest number of nodes in the sample
  size_t eligible;
};

/// Adds a node by reservoir sampling: each eligible one is equally likely to
/// be in the sample.
static void
add_to_sample (struct sample *sample, size_t handle, struct rng *rng)
{
  uint64_t position = sample->eligible < sample->limit
                          ? sample->eligible
                          : rng_below (rng, sample->eligible + 1);
  if (position < sample->limit)
    sample->handles[position] = handle;
  sample->eligible++;
}

static size_t
sample_count (const struct sample *sample)
{
  return sample->eligible < sample->limit ? sample->eligible : sample->limit;
}

/// Moves random nodes of a sample to the candidates.
static void
take_from_sample (struct sample *sample, size_t count, struct rng *rng,
                  size_t *candidates)
{
  size_t left = sample_count (sample);
  for (size_t i = 0; i < count; i++)
    {
      size_t index = rng_below (rng, left);
      candidates[i] = sample->handles[index];
      sample->handles[index] = sample->handles[--left];
    }
}

/// Nodes that are compared for one request.
struct candidates
{
  size_t handles[CANDIDATES_COMPARED_SPEED];
  size_t count;
  bool with_speed; ///< one of the eligible targets reports its speed
};

/// @return true when a target on this VM is to be compared in any case: the
///         request's body takes long on the link
static bool
prefers_own (const struct placement_request *request)
{
  return request->own_node != NULL
         && placement_speed_transfer_us (request, NULL) > 0;
}

static bool
is_own (const struct directory_record *record,
        const struct placement_request *request)
{
  return request->own_node != NULL
         && strcmp (record->entry.node, request->own_node) == 0;
}

/// Puts a node among the candidates.
static void
ensure_candidate (struct candidates *candidates, size_t handle)
{
  for (size_t i = 0; i < candidates->count; i++)
    if (candidates->handles[i] == handle)
      return;
  candidates->handles[0] = handle;
}

/// Chooses candidates of the own zone and of the others as CANDIDATES_NEAR
/// states, filled up from the group that has more.
static void
take_candidates (struct sample *near, struct sample *far, struct rng *rng,
                 struct candidates *candidates)
{
  size_t limit = near->limit;
  size_t near_limit
      = candidates->with_speed ? CANDIDATES_NEAR_SPEED : CANDIDATES_NEAR;
  size_t near_count = sample_count (near);
  size_t far_count = sample_count (far);
  size_t near_wanted = near_count < near_limit ? near_count : near_limit;
  if (far_count > limit - near_wanted)
    far_count = limit - near_wanted;
  if (near_count > limit - far_count)
    near_count = limit - far_count;
  take_from_sample (near, near_count, rng, candidates->handles);
  take_from_sample (far, far_count, rng, candidates->handles + near_count);
  candidates->count = near_count + far_count;
}

/// Draws candidates among the eligible nodes.
/// @param with_failed  include nodes that failed recently
/// @param with_speed   assume that the targets report their speed
/// @return false when they were assumed not to, and one does
static bool
draw_candidates (const struct directory *directory,
                 const struct placement_request *request, bool with_failed,
                 bool with_speed, struct rng *rng, uint64_t now_ms,
                 struct candidates *candidates)
{
  size_t limit = with_speed ? CANDIDATES_COMPARED_SPEED : CANDIDATES_COMPARED;
  struct sample near = { .limit = limit };
  struct sample far = { .limit = limit };
  bool seek_own = with_speed && prefers_own (request);
  size_t own = SIZE_MAX;
  for (size_t i = 0; i < directory->count; i++)
    {
      const struct directory_record *record = &directory->records[i];
      if (!is_allowed (directory, i, request) || was_tried (request, i)
          || (!with_failed && now_ms < record->load.down_until_ms))
        continue;
      if (!with_speed && record->load.speed_percent > 0)
        return false;
      add_to_sample (is_near (record, request) ? &near : &far, i, rng);
      if (seek_own && is_own (record, request))
        own = i;
    }
  candidates->with_speed = with_speed;
  take_candidates (&near, &far, rng, candidates);
  if (own != SIZE_MAX)
    ensure_candidate (candidates, own);
  return true;
}

/// Computes the expected times until the candidates' responses, microseconds.
static void
estimate_costs (const struct directory *directory,
                const struct placement_request *request,
                const struct candidates *candidates, uint64_t now_ms,
                uint64_t costs[CANDIDATES_COMPARED_SPEED])
{
  const size_t *handles = candidates->handles;
  size_t count = candidates->count;
  if (!candidates->with_speed)
    {
      uint64_t default_us = fastest_us (directory, handles, count, now_ms);
      for (size_t i = 0; i < count; i++)
        costs[i] = response_us (&directory->records[handles[i]], request,
                                default_us, now_ms);
      return;
    }
  struct placement_speed_typical typical
      = placement_speed_typical (directory, handles, count);
  for (size_t i = 0; i < count; i++)
    {
      const struct directory_record *record = &directory->records[handles[i]];
      costs[i] = placement_speed_response_us (record, &typical, now_ms);
      if (!is_near (record, request))
        costs[i]
            += placement_speed_cross_zone_us (request, typical.service_us);
      if (!is_own (record, request))
        costs[i] += placement_speed_transfer_us (request, record);
    }
}

/// @return handle of the best candidate, or SIZE_MAX when there is none
static size_t
choose_best (const struct directory *directory,
             const struct placement_request *request,
             const struct candidates *candidates, struct rng *rng,
             uint64_t now_ms)
{
  size_t best = SIZE_MAX;
  uint64_t best_cost = UINT64_MAX;
  uint64_t costs[CANDIDATES_COMPARED_SPEED];
  size_t count = candidates->count;
  estimate_costs (directory, request, candidates, now_ms, costs);
  /* Starting at a random candidate breaks ties at random. */
  size_t first = count > 0 ? rng_below (rng, count) : 0;
  for (size_t i = 0; i < count; i++)
    {
      size_t index = (first + i) % count;
      size_t handle = candidates->handles[index];
      uint64_t cost = add_failure_cost (
          costs[index], &directory->records[handle], request, now_ms);
      if (cost < best_cost)
        {
          best_cost = cost;
          best = handle;
        }
    }
  return best;
}

size_t
placement_choose (const struct directory *directory,
                  const struct placement_request *request, struct rng *rng,
                  uint64_t now_ms)
{
  size_t best = SIZE_MAX;
  for (int pass = 0; pass < 2 && best == SIZE_MAX; pass++)
    {
      /* The second pass includes nodes that failed recently, since some of
         them may have recovered. */
      struct candidates candidates;
      if (!draw_candidates (directory, request, pass > 0, false, rng, now_ms,
                            &candidates))
        draw_candidates (directory, request, pass > 0, true, rng, now_ms,
                         &candidates);
      best = choose_best (directory, request, &candidates, rng, now_ms);
    }
  return best;
}

void
placement_begin (struct directory_record *record)
{
  record->load.in_flight++;
  record->load.sent_since_report++;
}

static void
update_error_share (struct directory_load *load, uint32_t permille,
                    uint64_t now_ms)
{
  load->error_permille
      = (current_error_permille (load, now_ms) * (ERROR_SMOOTHING_DIVISOR - 1)
         + permille)
        / ERROR_SMOOTHING_DIVISOR;
  load->error_ms = now_ms;
}

void
placement_end (struct directory_record *record, enum placement_result result,
               uint64_t now_ms)
{
  struct directory_load *load = &record->load;
  if (load->in_flight > 0)
    load->in_flight--;
  switch (result)
    {
    case PLACEMENT_ANSWERED:
      load->failures = 0;
      load->down_until_ms = 0;
      update_error_share (load, 0, now_ms);
      break;
    case PLACEMENT_FAILED:
    case PLACEMENT_SHED:
      load->failures = 0;
      update_error_share (load, 1000, now_ms);
      break;
    case PLACEMENT_REFUSED:
      load->failures = 0;
      break;
    case PLACEMENT_NO_TARGET:
      load->down_until_ms = now_ms + NO_TARGET_MS;
      break;
    case PLACEMENT_LOST:
      {
        unsigned doublings = load->failures < DOWN_DOUBLINGS_MAX
                                 ? load->failures
                                 : DOWN_DOUBLINGS_MAX;
        uint64_t down_ms = (uint64_t)DOWN_MS_FIRST << doublings;
        load->failures++;
        load->down_until_ms
            = now_ms + (down_ms < DOWN_MS_MAX ? down_ms : DOWN_MS_MAX);
        break;
      }
    case PLACEMENT_CANCELLED:
      break;
    }
}

void
placement_report (struct directory_record *record, uint32_t running,
                  uint32_t waiting, uint32_t service_us, uint64_t now_ms)
{
  struct directory_load *load = &record->load;
  load->running = running;
  load->waiting = waiting;
  load->service_us = service_us;
  load->reported_ms = now_ms;
  load->sent_since_report = 0;
  load->speed_percent = 0;
}
