/// Stateless; the observations are kept in the records of the directory.
#include "coordination/placement.h"

#include "coordination/placement_estimate.h"
#include "coordination/placement_speed.h"

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
#define CANDIDATES_COMPARED_SPEED PLACEMENT_COMPARED_MAX
#define CANDIDATES_NEAR_SPEED 4

/// Time for which a node is not chosen after a lost connection or response. It
/// doubles with each consecutive failure up to the maximum.
#define DOWN_MS_FIRST 250
#define DOWN_MS_MAX 2000
#define DOWN_DOUBLINGS_MAX 3

/// Time for which a node without a target is not chosen.
#define NO_TARGET_MS 500

/// Weight of one outcome in the smoothed failure share, 1 / 10.
#define ERROR_SMOOTHING_DIVISOR 10

static bool
was_tried (const struct placement_request *request, size_t handle)
{
  for (size_t i = 0; i < request->tried_count; i++)
    if (request->tried[i] == handle)
      return true;
  return false;
}

static enum placement_obstacle
state_obstacle (enum directory_state state)
{
  switch (state)
    {
    case DIRECTORY_READY:
      return PLACEMENT_ELIGIBLE;
    case DIRECTORY_DRAINING:
      return PLACEMENT_TARGET_DRAINING;
    case DIRECTORY_LEAVING:
      return PLACEMENT_NODE_LEAVING;
    case DIRECTORY_ABSENT:
      break;
    }
  return PLACEMENT_TARGET_ABSENT;
}

static enum placement_obstacle
find_obstacle (const struct directory_record *record,
               const struct placement_request *request, size_t handle,
               uint64_t now_ms)
{
  const struct directory_entry *entry = &record->entry;
  if (!record->used || strcmp (entry->service, request->service) != 0)
    return PLACEMENT_OTHER_SERVICE;
  if (entry->state != DIRECTORY_READY)
    return state_obstacle (entry->state);
  if (request->evacuations != NULL && request->evacuations->count > 0
      && evacuation_contains (request->evacuations, entry->availability_zone))
    return PLACEMENT_ZONE_EVACUATED;
  if (request->version.name != NULL
      && (strcmp (entry->version, request->version.name) == 0)
             == request->version.exclude)
    return PLACEMENT_OTHER_VERSION;
  if (request->version.only != NULL && !request->version.only[handle])
    return PLACEMENT_LATER_IN_MOVE;
  if (was_tried (request, handle))
    return PLACEMENT_TRIED;
  return now_ms < record->load.down_until_ms ? PLACEMENT_FAILED_LATELY
                                             : PLACEMENT_ELIGIBLE;
}

enum placement_obstacle
placement_obstacle (const struct directory *directory,
                    const struct placement_request *request, size_t handle,
                    uint64_t now_ms)
{
  return find_obstacle (&directory->records[handle], request, handle, now_ms);
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

/// @return true when a target on this VM is to be compared in any case: the
///         request's body takes long on the link
static bool
prefers_own (const struct placement_request *request)
{
  return request->own_node != NULL
         && placement_speed_transfer_us (request, NULL) > 0;
}

/// Puts a node among the candidates.
static void
ensure_candidate (struct placement_decision *decision, size_t handle)
{
  for (size_t i = 0; i < decision->compared_count; i++)
    if (decision->compared[i] == handle)
      return;
  decision->compared[0] = handle;
}

/// Chooses candidates of the own zone and of the others as CANDIDATES_NEAR
/// states, filled up from the group that has more.
static void
take_candidates (struct sample *near, struct sample *far, struct rng *rng,
                 struct placement_decision *decision)
{
  size_t limit = near->limit;
  size_t near_limit
      = decision->basis.with_speed ? CANDIDATES_NEAR_SPEED : CANDIDATES_NEAR;
  size_t near_count = sample_count (near);
  size_t far_count = sample_count (far);
  size_t near_wanted = near_count < near_limit ? near_count : near_limit;
  if (far_count > limit - near_wanted)
    far_count = limit - near_wanted;
  if (near_count > limit - far_count)
    near_count = limit - far_count;
  take_from_sample (near, near_count, rng, decision->compared);
  take_from_sample (far, far_count, rng, decision->compared + near_count);
  decision->compared_count = near_count + far_count;
}

/// Draws candidates among the eligible nodes.
/// @param decision    with_failed is set; compared and with_speed are set here
/// @param with_speed  assume that the targets report their speed
/// @return false when they were assumed not to, and one does
static bool
draw_candidates (const struct directory *directory,
                 const struct placement_request *request, bool with_speed,
                 struct rng *rng, uint64_t now_ms,
                 struct placement_decision *decision)
{
  size_t limit = with_speed ? CANDIDATES_COMPARED_SPEED : CANDIDATES_COMPARED;
  struct sample near = { .limit = limit };
  struct sample far = { .limit = limit };
  bool seek_own = with_speed && prefers_own (request);
  size_t own = SIZE_MAX;
  for (size_t i = 0; i < directory->count; i++)
    {
      const struct directory_record *record = &directory->records[i];
      enum placement_obstacle obstacle
          = find_obstacle (record, request, i, now_ms);
      if (obstacle != PLACEMENT_ELIGIBLE
          && (obstacle != PLACEMENT_FAILED_LATELY || !decision->with_failed))
        continue;
      if (!with_speed && record->load.speed_percent > 0)
        return false;
      add_to_sample (placement_is_near (record, request) ? &near : &far, i,
                     rng);
      if (seek_own && placement_is_own (record, request))
        own = i;
    }
  decision->basis.with_speed = with_speed;
  take_candidates (&near, &far, rng, decision);
  if (own != SIZE_MAX)
    ensure_candidate (decision, own);
  return true;
}

/// Compares the candidates.
static void
choose_best (const struct directory *directory,
             const struct placement_request *request, struct rng *rng,
             uint64_t now_ms, struct placement_decision *decision)
{
  uint64_t best_us = UINT64_MAX;
  size_t count = decision->compared_count;
  decision->basis = placement_basis (directory, decision->compared, count,
                                     decision->basis.with_speed, now_ms);
  /* Starting at a random candidate breaks ties at random. */
  size_t first = count > 0 ? rng_below (rng, count) : 0;
  for (size_t i = 0; i < count; i++)
    {
      size_t handle = decision->compared[(first + i) % count];
      struct placement_estimate estimate = placement_estimate (
          &directory->records[handle], request, &decision->basis, now_ms);
      uint64_t us = placement_estimate_us (&estimate);
      if (us < best_us)
        {
          best_us = us;
          decision->best = handle;
        }
    }
}

void
placement_decide (const struct directory *directory,
                  const struct placement_request *request, struct rng *rng,
                  uint64_t now_ms, struct placement_decision *decision)
{
  *decision = (struct placement_decision){ .best = SIZE_MAX };
  for (int pass = 0; pass < 2 && decision->best == SIZE_MAX; pass++)
    {
      /* The second pass includes nodes that failed recently, since some of
         them may have recovered. */
      decision->with_failed = pass > 0;
      if (!draw_candidates (directory, request, false, rng, now_ms, decision))
        draw_candidates (directory, request, true, rng, now_ms, decision);
      choose_best (directory, request, rng, now_ms, decision);
    }
}

size_t
placement_choose (const struct directory *directory,
                  const struct placement_request *request, struct rng *rng,
                  uint64_t now_ms)
{
  struct placement_decision decision;
  placement_decide (directory, request, rng, now_ms, &decision);
  return decision.best;
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
  load->error_permille = (placement_error_permille (load, now_ms)
                              * (ERROR_SMOOTHING_DIVISOR - 1)
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
