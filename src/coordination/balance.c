/// Owns the list of targets of one version of a service.
#include "coordination/balance.h"

#include "base/hash.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

/// Weight of a new sample in the smoothed latency, 1 / 8.
#define SMOOTHING_DIVISOR 8

/// Latency that is assumed while that of no target is known.
#define LATENCY_DEFAULT_US 1000

/// Maximum age of a latency and of failures that are used. Without it, a
/// target that was slow or failed once would not be chosen as long as the
/// others have free slots.
#define LATENCY_AGE_MS_MAX 3000
#define FAILURE_AGE_MS_MAX 5000

/// Each consecutive failure, up to FAILURES_COUNTED, adds this multiple of a
/// target's score to it, so that failing targets are also avoided in small
/// groups, where none may be ejected.
#define FAILURE_PENALTY 8
#define FAILURES_COUNTED 4

/// Consecutive failures after which a target is ejected, and the time of the
/// first ejection. The time doubles with each further one, at most
/// EJECT_DOUBLINGS times.
#define EJECT_FAILURES 3
#define EJECT_MS 1000
#define EJECT_DOUBLINGS 5

/// Time for which a target is not chosen after its node refused a call because
/// the target drains or is gone. The membership event arrives within this
/// time. Without it, calls that are sent to the target in the meantime use up
/// the retry budget of a small group.
#define LEAVING_MS 1000

/// Maximum age of a load report that is used.
#define REPORT_AGE_MS_MAX 1000

/// Maximum number of random draws; the last one is used even if its target is
/// in slow start.
#define DRAWS_MAX 4

void
balance_init (struct balance *balance)
{
  memset (balance, 0, sizeof *balance);
}

void
balance_finish (struct balance *balance)
{
  free (balance->items);
  memset (balance, 0, sizeof *balance);
}

void
balance_begin_update (struct balance *balance)
{
  for (size_t i = 0; i < balance->count; i++)
    balance->items[i].present = false;
  balance->cursor = 0;
}

size_t
balance_find (const struct balance *balance, uint64_t slot_id)
{
  for (size_t i = 0; i < balance->count; i++)
    if (balance->items[i].slot_id == slot_id)
      return i;
  return BALANCE_NONE;
}

enum status
balance_offer (struct balance *balance, uint32_t member, uint64_t slot_id,
               uint16_t slots, bool local, uint64_t now_ms)
{
  size_t index = balance->cursor;
  if (index >= balance->count || balance->items[index].slot_id != slot_id)
    index = balance_find (balance, slot_id);
  if (index != BALANCE_NONE)
    {
      balance->cursor = index + 1;
      struct balance_target *known = &balance->items[index];
      known->member = member;
      known->slots = slots;
      known->local = local;
      known->present = true;
      return STATUS_OK;
    }
  if (balance->count == balance->capacity)
    {
      size_t capacity = balance->capacity == 0 ? 8 : 2 * balance->capacity;
      struct balance_target *items
          = realloc (balance->items, capacity * sizeof *items);
      if (items == NULL)
        return status_set (STATUS_NO_MEMORY, "no memory for %zu targets",
                           capacity);
      balance->items = items;
      balance->capacity = capacity;
    }
  struct balance_target *target = &balance->items[balance->count++];
  memset (target, 0, sizeof *target);
  target->member = member;
  target->slot_id = slot_id;
  target->slots = slots;
  target->local = local;
  target->present = true;
  /* Targets of the first update existed before this node started, so they
     are not in slow start. */
  target->since_ms = balance->started || now_ms < BALANCE_SLOW_START_MS
                         ? now_ms
                         : now_ms - BALANCE_SLOW_START_MS;
  return STATUS_OK;
}

void
balance_end_update (struct balance *balance)
{
  size_t kept = 0;
  for (size_t i = 0; i < balance->count; i++)
    if (balance->items[i].present)
      balance->items[kept++] = balance->items[i];
  balance->count = kept;
  balance->started = true;
}

static bool
is_ejected (const struct balance_target *target, uint64_t now_ms)
{
  return target->ejected_until_ms > now_ms;
}

/// @return slots in use: the reported number, if recent, or the number of
///         calls of this node in flight if that is larger
static uint32_t
slots_in_use (const struct balance_target *target, uint64_t now_ms)
{
  bool fresh = target->reported_ms != 0
               && now_ms - target->reported_ms < REPORT_AGE_MS_MAX;
  if (fresh && target->reported > target->in_flight)
    return target->reported;
  return target->in_flight;
}

static bool
is_local_zone_loaded (const struct balance *balance, uint64_t now_ms)
{
  uint64_t in_use = 0;
  uint64_t slots = 0;
  for (size_t i = 0; i < balance->count; i++)
    {
      const struct balance_target *target = &balance->items[i];
      if (!target->local || is_ejected (target, now_ms))
        continue;
      in_use += slots_in_use (target, now_ms);
      slots += target->slots;
    }
  return slots == 0 || in_use * 100 > slots * BALANCE_SPILL_PERCENT;
}

/// @return fraction of its full share of calls that a target gets, [0.1, 1]
static double
slow_start_share (const struct balance_target *target, uint64_t now_ms)
{
  uint64_t age = now_ms - target->since_ms;
  if (age >= BALANCE_SLOW_START_MS)
    return 1;
  double share = (double)age / BALANCE_SLOW_START_MS;
  return share < 0.1 ? 0.1 : share;
}

static bool
is_latency_known (const struct balance_target *target, uint64_t now_ms)
{
  return target->latency_us != 0
         && now_ms - target->answered_ms < LATENCY_AGE_MS_MAX;
}

/// @return mean latency of the targets whose latency is known, microseconds
static double
mean_latency (const struct balance *balance, uint64_t now_ms)
{
  double sum = 0;
  size_t known = 0;
  for (size_t i = 0; i < balance->count; i++)
    if (is_latency_known (&balance->items[i], now_ms))
      {
        sum += balance->items[i].latency_us;
        known++;
      }
  return known == 0 ? LATENCY_DEFAULT_US : sum / (double)known;
}

/// @return estimated response time, microseconds; lower is better
static double
score (const struct balance *balance, const struct balance_target *target,
       uint64_t now_ms)
{
  double latency = is_latency_known (target, now_ms)
                       ? target->latency_us
                       : mean_latency (balance, now_ms);
  unsigned failures = target->failures < FAILURES_COUNTED ? target->failures
                                                          : FAILURES_COUNTED;
  if (now_ms - target->failed_ms >= FAILURE_AGE_MS_MAX)
    failures = 0;
  double slots = target->slots == 0 ? 1 : target->slots;
  return (slots_in_use (target, now_ms) + 1.0) * latency / slots
         * (1 + FAILURE_PENALTY * failures);
}

/// Selects the candidates of one choice among the targets.
struct candidate_filter
{
  const struct balance *balance;
  uint64_t avoid;
  uint64_t now_ms;
  bool local_only;
  bool use_ejected;
};

static bool
is_candidate (const struct candidate_filter *filter, size_t index)
{
  const struct balance_target *target = &filter->balance->items[index];
  if (target->slot_id == filter->avoid)
    return false;
  if (filter->local_only && !target->local)
    return false;
  return filter->use_ejected || !is_ejected (target, filter->now_ms);
}

/// @return a uniformly random candidate other than `first`, or BALANCE_NONE
static size_t
draw (const struct candidate_filter *filter, struct rng *rng, size_t first)
{
  size_t count = filter->balance->count;
  for (unsigned i = 0; i < 8; i++)
    {
      size_t index = (size_t)rng_below (rng, count);
      if (index != first && is_candidate (filter, index))
        return index;
    }
  /* Few of many targets are candidates: use reservoir sampling. */
  size_t seen = 0;
  size_t chosen = BALANCE_NONE;
  for (size_t i = 0; i < count; i++)
    if (i != first && is_candidate (filter, i) && rng_below (rng, ++seen) == 0)
      chosen = i;
  return chosen;
}

/// @return a random candidate, or BALANCE_NONE; targets in slow start are less
///         likely
static size_t
draw_weighted (const struct candidate_filter *filter, struct rng *rng,
               size_t first)
{
  size_t index = BALANCE_NONE;
  for (unsigned i = 0; i < DRAWS_MAX; i++)
    {
      index = draw (filter, rng, first);
      if (index == BALANCE_NONE)
        break;
      double share
          = slow_start_share (&filter->balance->items[index], filter->now_ms);
      if (share >= 1 || rng_unit (rng) < share)
        break;
    }
  return index;
}

static size_t
choose_from (const struct candidate_filter *filter, struct rng *rng)
{
  size_t first = draw_weighted (filter, rng, BALANCE_NONE);
  if (first == BALANCE_NONE)
    return BALANCE_NONE;
  size_t second = draw_weighted (filter, rng, first);
  if (second == BALANCE_NONE)
    return first;
  const struct balance_target *items = filter->balance->items;
  double first_score = score (filter->balance, &items[first], filter->now_ms);
  double second_score
      = score (filter->balance, &items[second], filter->now_ms);
  return second_score < first_score ? second : first;
}

size_t
balance_choose (const struct balance *balance, struct rng *rng, uint64_t avoid,
                uint64_t now_ms)
{
  if (balance->count == 0)
    return BALANCE_NONE;
  struct candidate_filter filter
      = { .balance = balance,
          .avoid = avoid,
          .now_ms = now_ms,
          .local_only = !is_local_zone_loaded (balance, now_ms) };
  size_t index = choose_from (&filter, rng);
  if (index == BALANCE_NONE && filter.local_only)
    {
      filter.local_only = false;
      index = choose_from (&filter, rng);
    }
  if (index == BALANCE_NONE)
    {
      filter.use_ejected = true;
      index = choose_from (&filter, rng);
    }
  if (index == BALANCE_NONE && avoid != 0)
    {
      filter.avoid = 0;
      index = choose_from (&filter, rng);
    }
  return index;
}

size_t
balance_choose_single (const struct balance *balance, uint64_t fingerprint)
{
  size_t best = BALANCE_NONE;
  uint64_t best_score = 0;
  for (size_t i = 0; i < balance->count; i++)
    {
      uint64_t value
          = hash_placement_pair (fingerprint, balance->items[i].slot_id);
      if (best == BALANCE_NONE || value > best_score)
        {
          best = i;
          best_score = value;
        }
    }
  return best;
}

void
balance_begin (struct balance *balance, size_t index)
{
  assert (index < balance->count);
  balance->items[index].in_flight++;
}

/// Ejects a target unless more than the allowed share would be ejected then.
static void
eject (struct balance *balance, struct balance_target *target, uint64_t now_ms)
{
  size_t ejected = 0;
  for (size_t i = 0; i < balance->count; i++)
    ejected += is_ejected (&balance->items[i], now_ms);
  if ((ejected + 1) * 100 > balance->count * BALANCE_EJECT_PERCENT)
    return;
  unsigned doublings = target->ejections < EJECT_DOUBLINGS ? target->ejections
                                                           : EJECT_DOUBLINGS;
  target->ejected_until_ms = now_ms + ((uint64_t)EJECT_MS << doublings);
  target->ejections++;
  target->failures = EJECT_FAILURES - 1; /* one more failure ejects it again */
}

void
balance_end (struct balance *balance, uint64_t slot_id,
             enum balance_result result, uint32_t latency_us, uint64_t now_ms)
{
  size_t index = balance_find (balance, slot_id);
  if (index == BALANCE_NONE)
    return;
  struct balance_target *target = &balance->items[index];
  /* The count of a target that was removed and added again starts at zero,
     while calls sent before the removal may still end. */
  if (target->in_flight > 0)
    target->in_flight--;
  switch (result)
    {
    case BALANCE_ANSWERED:
      if (!is_latency_known (target, now_ms))
        target->latency_us = latency_us;
      else
        target->latency_us = (uint32_t)(((uint64_t)target->latency_us
                                             * (SMOOTHING_DIVISOR - 1)
                                         + latency_us)
                                        / SMOOTHING_DIVISOR);
      target->answered_ms = now_ms;
      target->failures = 0;
      target->ejections = 0;
      return;
    case BALANCE_SHED:
      target->failures = 0;
      target->reported = target->slots;
      target->reported_ms = now_ms;
      return;
    case BALANCE_LEAVING:
      /* The node knows it for certain: the bound on ejections does not
         apply. */
      if (target->ejected_until_ms < now_ms + LEAVING_MS)
        target->ejected_until_ms = now_ms + LEAVING_MS;
      return;
    case BALANCE_FAILED:
      target->failures++;
      target->failed_ms = now_ms;
      if (target->failures >= EJECT_FAILURES && !is_ejected (target, now_ms))
        eject (balance, target, now_ms);
      return;
    case BALANCE_CANCELLED:
      return;
    }
}

void
balance_report (struct balance *balance, uint64_t slot_id, uint32_t in_use,
                uint32_t slots, uint64_t now_ms)
{
  size_t index = balance_find (balance, slot_id);
  if (index == BALANCE_NONE)
    return;
  struct balance_target *target = &balance->items[index];
  target->reported = in_use;
  target->reported_ms = now_ms;
  if (slots > 0 && slots <= UINT16_MAX)
    target->slots = (uint16_t)slots;
}

bool
balance_is_cold (const struct balance *balance, size_t index, uint64_t now_ms)
{
  assert (index < balance->count);
  return now_ms - balance->items[index].since_ms < BALANCE_SLOW_START_MS;
}
