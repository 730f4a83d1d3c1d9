/// Owns no state; the order by rank, then by what can still meet its latency
/// objective.
#include "coordination/admission_queue_internal.h"

#include <math.h>
#include <stdlib.h>

/// Time constant of the smoothed rate of late starts.
#define LATE_RATE_TIME_CONSTANT_US 1500000.0

/// Work that the link limits counts as late unless over 5 / 4 of its service
/// time is left before its objective. Its time varies with the other traffic
/// on the link: with less time left it would mostly miss its objective and
/// take the slot of work that can still meet its own.
#define LATE_MARGIN_DIVISOR 4

/// Late tickets are expected to get at least 1 / 20 of the capacity: requests
/// that can meet their objective come in bursts and leave slots free between.
#define LATE_SHARE_DIVISOR 20

/// Late tickets must have been queued without a break for this long before
/// tickets are refused by the rate of late starts: until then too few of them
/// were started to know that rate.
#define LATE_RATE_SETTLE_US 500000

static bool
is_late (const struct admission_queue_ticket *ticket, uint64_t now_us)
{
  uint64_t expected_us = ticket->service_us;
  if (ticket->link_limited)
    expected_us += ticket->service_us / LATE_MARGIN_DIVISOR;
  return now_us + expected_us >= ticket->work.objective_ms * 1000;
}

/// Applies the exponential decay since the last update.
static void
decay_rate (struct admission_queue_rate *rate, uint64_t now_us)
{
  rate->per_s
      *= exp (-(double)(now_us - rate->us) / LATE_RATE_TIME_CONSTANT_US);
  rate->us = now_us;
}

/// @return the rate of late starts that applies to a kind
static struct admission_queue_rate *
late_rate (struct admission_queue *queue, struct admission_queue_kind *kind)
{
  return admission_queue_kind_link_us (queue, kind) > 0 ? &kind->late
                                                        : &queue->late;
}

static void
count_late_start (struct admission_queue *queue,
                  struct admission_queue_ticket *ticket, uint64_t now_us)
{
  if (!is_late (ticket, now_us))
    return;
  struct admission_queue_rate *rate = late_rate (
      queue, admission_queue_find_kind (queue, ticket->work.kind));
  decay_rate (rate, now_us);
  rate->per_s += 1e6 / LATE_RATE_TIME_CONSTANT_US;
}

/// @return true when `a` has to be started before `b`
static bool
precedes (const struct admission_queue_ticket *a,
          const struct admission_queue_ticket *b, uint64_t now_us)
{
  if (a->work.rank != b->work.rank)
    return a->work.rank < b->work.rank;
  bool a_late = is_late (a, now_us);
  bool b_late = is_late (b, now_us);
  if (a_late != b_late)
    return b_late;
  if (!a_late)
    return a->work.objective_ms < b->work.objective_ms;
  return a->work.deadline_ms < b->work.deadline_ms;
}

static struct admission_queue_ticket *
next_to_start (struct admission_queue *queue, uint64_t now_us)
{
  struct admission_queue_ticket *best = NULL;
  for (size_t i = 0; i < queue->queued; i++)
    if ((best == NULL || precedes (queue->waiting[i], best, now_us))
        && !admission_queue_at_link_limit (queue, queue->waiting[i]))
      best = queue->waiting[i];
  return best;
}

struct late_ticket
{
  struct admission_queue_ticket *ticket;
};

static int
compare_late (const void *a, const void *b)
{
  const struct admission_queue_ticket *left
      = ((const struct late_ticket *)a)->ticket;
  const struct admission_queue_ticket *right
      = ((const struct late_ticket *)b)->ticket;
  if (left->work.rank != right->work.rank)
    return left->work.rank < right->work.rank ? -1 : 1;
  if (left->work.deadline_ms != right->work.deadline_ms)
    return left->work.deadline_ms < right->work.deadline_ms ? -1 : 1;
  return 0;
}

/// @return expected rate at which late tickets of a kind start, per second
static double
expected_late_rate (struct admission_queue *queue,
                    struct admission_queue_kind *kind, uint64_t now_us)
{
  uint64_t link_us = admission_queue_kind_link_us (queue, kind);
  struct admission_queue_rate *rate = late_rate (queue, kind);
  double capacity_per_s = 0;
  if (link_us > 0)
    capacity_per_s = 1e6 / (double)link_us;
  else if (queue->mean_us > 0)
    capacity_per_s = (double)queue->slots * 1e6 / queue->mean_us;
  decay_rate (rate, now_us);
  double min_per_s = capacity_per_s / LATE_SHARE_DIVISOR;
  return rate->per_s > min_per_s ? rate->per_s : min_per_s;
}

/// @return number of tickets that may be ahead of one that is queued now and
///         will not be late at its start
static size_t
places_in_time (const struct admission_queue *queue,
                const struct admission_queue_ticket *ticket, uint64_t now_us)
{
  size_t places = 0;
  while (
      places < queue->queued
      && !is_late (ticket,
                   now_us + admission_queue_slot_wait_us (queue, places + 1)))
    places++;
  return places;
}

/// @return estimated time until late work of a kind gets a slot behind other
///         late work, microseconds
static uint64_t
late_wait_us (struct admission_queue *queue, struct admission_queue_kind *kind,
              size_t late_ahead, uint64_t now_us)
{
  double per_s = expected_late_rate (queue, kind, now_us);
  return per_s > 0 ? (uint64_t)((double)(late_ahead + 1) / per_s * 1e6) : 0;
}

/// If the target states its speed, the estimate is good enough to count work
/// as late before it has become so: it would wait for a slot that late work
/// hardly gets, and be refused long after its arrival.
static uint64_t
rank_wait_us (struct admission_queue *queue,
              struct admission_queue_ticket *ticket, uint64_t now_us)
{
  size_t ahead = 0;
  size_t late = 0;
  for (size_t i = 0; i < queue->queued; i++)
    {
      ahead += precedes (queue->waiting[i], ticket, now_us);
      late += is_late (queue->waiting[i], now_us);
    }
  uint64_t wait_us = admission_queue_slot_wait_us (queue, ahead);
  struct admission_queue_kind *kind
      = admission_queue_find_kind (queue, ticket->work.kind);
  if (queue->speed == NULL || kind == NULL
      || !is_late (ticket, now_us + wait_us))
    return wait_us;
  size_t in_time = places_in_time (queue, ticket, now_us);
  uint64_t late_us = late_wait_us (
      queue, kind, late + (ahead > in_time ? ahead - in_time : 0), now_us);
  return late_us > wait_us ? late_us : wait_us;
}

/// Refuses the late tickets that will not finish in time at the expected rate
/// of late starts.
static void
refuse_unservable (struct admission_queue *queue, struct late_ticket *late,
                   size_t count, uint64_t now_us)
{
  size_t kept_by_slots = 0;
  size_t kept_by_link[ADMISSION_QUEUE_KINDS] = { 0 };
  qsort (late, count, sizeof late[0], compare_late);
  for (size_t i = 0; i < count; i++)
    {
      struct admission_queue_kind *kind
          = admission_queue_find_kind (queue, late[i].ticket->work.kind);
      size_t *kept = admission_queue_kind_link_us (queue, kind) > 0
                         ? &kept_by_link[kind - queue->kinds]
                         : &kept_by_slots;
      double per_s = expected_late_rate (queue, kind, now_us);
      double wait_us = per_s > 0 ? (double)(*kept + 1) / per_s * 1e6 : 1e12;
      uint64_t limit_us = late[i].ticket->work.deadline_ms * 1000;
      uint64_t needed_us
          = now_us + late[i].ticket->service_us + ADMISSION_RESPONSE_MARGIN_US;
      if ((double)needed_us + wait_us < (double)limit_us)
        (*kept)++;
      else
        admission_queue_refuse_queued (queue, late[i].ticket,
                                       ADMIT_REFUSED_LATE);
    }
}

static void
rank_expire (struct admission_queue *queue, uint64_t now_us)
{
  struct late_ticket late[ADMISSION_QUEUE_MAX];
  size_t count = 0;
  for (size_t i = queue->queued; i-- > 0;)
    {
      struct admission_queue_ticket *ticket = queue->waiting[i];
      if (!admission_queue_finishes_before (ticket, ticket->work.deadline_ms,
                                            now_us))
        admission_queue_refuse_queued (queue, ticket, ADMIT_REFUSED_LATE);
      else if (is_late (ticket, now_us))
        late[count++].ticket = ticket;
    }
  if (count == 0)
    {
      queue->last_none_late_us = now_us;
      return;
    }
  if (now_us - queue->last_none_late_us > LATE_RATE_SETTLE_US)
    refuse_unservable (queue, late, count, now_us);
}

static void
ignore_offered (struct admission_queue *queue,
                struct admission_queue_ticket *ticket, uint64_t now_us)
{
}

static void
ignore_dropped (struct admission_queue *queue,
                struct admission_queue_ticket *ticket)
{
}

static bool
rank_precedes (const struct admission_queue *queue,
               const struct admission_queue_ticket *queued,
               const struct admission_queue_ticket *offered, uint64_t now_us)
{
  return precedes (queued, offered, now_us);
}

static bool
never_held_back (const struct admission_queue *queue,
                 const struct admission_queue_ticket *ticket)
{
  return false;
}

static bool
never_displace (struct admission_queue *queue,
                struct admission_queue_ticket *ticket, uint64_t now_us)
{
  return false;
}

const struct admission_policy admission_rank_policy = {
  .offered = ignore_offered,
  .dropped = ignore_dropped,
  .served = ignore_offered,
  .next = next_to_start,
  .is_held_back = never_held_back,
  .starting = count_late_start,
  .precedes = rank_precedes,
  .wait_us = rank_wait_us,
  .displace = never_displace,
  .expire = rank_expire,
};
