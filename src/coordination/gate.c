/// Owns the waiting tickets and the smoothed service times.
#include "coordination/gate.h"

#include <assert.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

/// Weight of a new service time, 1 / 8: follows a slowing target within a few
/// answers and is not moved by a single one.
#define SMOOTHING 8

/// A single slow answer must not make all later work look too late.
#define SERVICE_US_MAX 2000000

/// Time over which the rate of started late tickets is smoothed.
#define LATE_SMOOTHING_US 1500000.0

/// Late tickets are taken to get at least this part of the slots, 1 / 20: the
/// requests that can meet their objective come in waves.
#define LATE_PART 20

/// Without late tickets for this long, nothing is known of their rate.
#define LATE_FORGET_US 500000

/// A refusal needs this long to reach the caller's node before the deadline.
#define ANSWER_MARGIN_US 15000

static struct gate_kind *
find_kind (struct gate *gate, uint32_t kind)
{
  struct gate_kind *least = &gate->kinds[0];
  for (size_t i = 0; i < GATE_KINDS; i++)
    {
      if (gate->kinds[i].kind == kind && gate->kinds[i].used > 0)
        return &gate->kinds[i];
      if (gate->kinds[i].used < least->used)
        least = &gate->kinds[i];
    }
  *least = (struct gate_kind){ .kind = kind };
  return least;
}

/// @return expected time in the target for a kind of work, microseconds
static uint32_t
service_us (const struct gate *gate, uint32_t kind)
{
  for (size_t i = 0; i < GATE_KINDS; i++)
    if (gate->kinds[i].kind == kind && gate->kinds[i].used > 0)
      return gate->kinds[i].mean_us;
  return gate->mean_us;
}

static void
remember_time (struct gate *gate, uint32_t kind, uint64_t us)
{
  uint32_t taken = us < SERVICE_US_MAX ? (uint32_t)us : SERVICE_US_MAX;
  struct gate_kind *entry = find_kind (gate, kind);
  entry->mean_us
      = entry->used == 0
            ? taken
            : (entry->mean_us * (SMOOTHING - 1) + taken) / SMOOTHING;
  entry->used++;
  gate->mean_us = gate->mean_us == 0
                      ? taken
                      : (gate->mean_us * (SMOOTHING - 1) + taken) / SMOOTHING;
}

static void
take_from_queue (struct gate *gate, struct gate_ticket *ticket)
{
  assert (ticket->state == ADMIT_QUEUED);
  assert (gate->queue[ticket->place] == ticket);
  struct gate_ticket *last = gate->queue[--gate->queued];
  gate->queue[ticket->place] = last;
  last->place = ticket->place;
}

static void
refuse_queued (struct gate *gate, struct gate_ticket *ticket,
               enum admit_refusal why)
{
  take_from_queue (gate, ticket);
  ticket->state = ADMIT_OVER;
  gate->ops->refuse (gate->arg, ticket, why);
}

static bool
ends_before (const struct gate_ticket *ticket, uint64_t limit_ms,
             uint64_t now_us)
{
  return now_us + ticket->service_us + ANSWER_MARGIN_US < limit_ms * 1000;
}

static bool
is_late (const struct gate_ticket *ticket, uint64_t now_us)
{
  return now_us + ticket->service_us >= ticket->work.objective_ms * 1000;
}

/// Lets the rate of late starts fade.
static void
fade_late_rate (struct gate *gate, uint64_t now_us)
{
  gate->late_per_s
      *= exp (-(double)(now_us - gate->late_us) / LATE_SMOOTHING_US);
  gate->late_us = now_us;
}

static void
count_late_start (struct gate *gate, uint64_t now_us)
{
  fade_late_rate (gate, now_us);
  gate->late_per_s += 1e6 / LATE_SMOOTHING_US;
}

/// @return true when `a` is to be started before `b`
static bool
goes_first (const struct gate_ticket *a, const struct gate_ticket *b,
            uint64_t now_us)
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

static struct gate_ticket *
best_queued (const struct gate *gate, uint64_t now_us)
{
  struct gate_ticket *best = NULL;
  for (size_t i = 0; i < gate->queued; i++)
    if (best == NULL || goes_first (gate->queue[i], best, now_us))
      best = gate->queue[i];
  return best;
}

static void
start (struct gate *gate, struct gate_ticket *ticket, uint64_t now_us)
{
  gate->running++;
  ticket->state = ADMIT_RUNNING;
  ticket->started_us = now_us;
}

static void
start_queued (struct gate *gate, uint64_t now_us)
{
  while (gate->queued > 0 && gate->running < gate->slots)
    {
      struct gate_ticket *ticket = best_queued (gate, now_us);
      if (!ends_before (ticket, ticket->work.deadline_ms, now_us))
        {
          refuse_queued (gate, ticket, ADMIT_REFUSED_LATE);
          continue;
        }
      if (is_late (ticket, now_us))
        count_late_start (gate, now_us);
      take_from_queue (gate, ticket);
      start (gate, ticket, now_us);
      gate->ops->run (gate->arg, ticket);
    }
}

static void
refuse_all (struct gate *gate, enum admit_refusal why)
{
  while (gate->queued > 0)
    refuse_queued (gate, gate->queue[0], why);
}

void
gate_init (struct gate *gate, const struct gate_ops *ops, void *arg)
{
  memset (gate, 0, sizeof *gate);
  gate->ops = ops;
  gate->arg = arg;
}

void
gate_set_slots (struct gate *gate, size_t slots, uint64_t now_us)
{
  gate->slots = slots < ADMIT_SLOTS_MAX ? slots : ADMIT_SLOTS_MAX;
  if (slots == 0)
    refuse_all (gate, ADMIT_REFUSED_ABSENT);
  start_queued (gate, now_us);
}

void
gate_set_draining (struct gate *gate, bool draining)
{
  gate->draining = draining;
  if (draining)
    refuse_all (gate, ADMIT_REFUSED_DRAINING);
}

/// @return time until a slot is free for work with `ahead` tickets before it
static uint64_t
wait_us (const struct gate *gate, size_t ahead)
{
  if (gate->running < gate->slots && ahead == 0)
    return 0;
  return (ahead + 1) * (uint64_t)gate->mean_us / (gate->slots + 1);
}

static size_t
count_ahead (const struct gate *gate, uint32_t rank)
{
  size_t ahead = 0;
  for (size_t i = 0; i < gate->queued; i++)
    ahead += gate->queue[i]->work.rank <= rank;
  return ahead;
}

uint64_t
gate_wait_us (const struct gate *gate, uint32_t rank)
{
  return wait_us (gate, count_ahead (gate, rank));
}

static size_t
count_before (const struct gate *gate, const struct gate_ticket *ticket,
              uint64_t now_us)
{
  size_t ahead = 0;
  for (size_t i = 0; i < gate->queued; i++)
    ahead += goes_first (gate->queue[i], ticket, now_us);
  return ahead;
}

enum status
gate_offer (struct gate *gate, struct gate_ticket *ticket,
            const struct gate_work *work, uint64_t now_us,
            enum admit_refusal *why)
{
  assert (ticket->state == ADMIT_NEW);
  ticket->work = *work;
  ticket->service_us = service_us (gate, work->kind);
  ticket->state = ADMIT_OVER;
  if (gate->draining || gate->slots == 0)
    {
      *why = gate->draining ? ADMIT_REFUSED_DRAINING : ADMIT_REFUSED_ABSENT;
      return STATUS_UNAVAILABLE;
    }
  if (gate->running < gate->slots && gate->queued == 0)
    {
      if (!ends_before (ticket, work->deadline_ms, now_us))
        {
          *why = ADMIT_REFUSED_LATE;
          return STATUS_UNAVAILABLE;
        }
      start (gate, ticket, now_us);
      return STATUS_OK;
    }
  if (gate->queued >= GATE_QUEUE_MAX)
    {
      *why = ADMIT_REFUSED_FULL;
      return STATUS_UNAVAILABLE;
    }
  uint64_t wait = wait_us (gate, count_before (gate, ticket, now_us));
  if (!ends_before (ticket, work->deadline_ms, now_us + wait))
    {
      *why = ADMIT_REFUSED_LATE;
      return STATUS_UNAVAILABLE;
    }
  ticket->state = ADMIT_QUEUED;
  ticket->place = gate->queued;
  gate->queue[gate->queued++] = ticket;
  return STATUS_OK;
}

void
gate_finish (struct gate *gate, struct gate_ticket *ticket, bool served,
             uint64_t now_us)
{
  assert (ticket->state == ADMIT_RUNNING && gate->running > 0);
  ticket->state = ADMIT_OVER;
  gate->running--;
  if (served)
    remember_time (gate, ticket->work.kind, now_us - ticket->started_us);
  start_queued (gate, now_us);
}

void
gate_cancel (struct gate *gate, struct gate_ticket *ticket)
{
  take_from_queue (gate, ticket);
  ticket->state = ADMIT_OVER;
}

struct late_ticket
{
  struct gate_ticket *ticket;
};

static int
compare_late (const void *a, const void *b)
{
  const struct gate_ticket *left = ((const struct late_ticket *)a)->ticket;
  const struct gate_ticket *right = ((const struct late_ticket *)b)->ticket;
  if (left->work.rank != right->work.rank)
    return left->work.rank < right->work.rank ? -1 : 1;
  if (left->work.deadline_ms != right->work.deadline_ms)
    return left->work.deadline_ms < right->work.deadline_ms ? -1 : 1;
  return 0;
}

/// Refuses the late tickets that the present rate does not serve in time.
static void
refuse_hopeless (struct gate *gate, struct late_ticket *late, size_t count,
                 uint64_t now_us)
{
  double floor_per_s = gate->mean_us == 0 ? 0
                                          : (double)gate->slots * 1e6
                                                / gate->mean_us / LATE_PART;
  double per_s
      = gate->late_per_s > floor_per_s ? gate->late_per_s : floor_per_s;
  size_t kept = 0;
  qsort (late, count, sizeof late[0], compare_late);
  for (size_t i = 0; i < count; i++)
    {
      double wait_us = per_s > 0 ? (double)(kept + 1) / per_s * 1e6 : 1e12;
      uint64_t limit_us = late[i].ticket->work.deadline_ms * 1000;
      uint64_t needed_us
          = now_us + late[i].ticket->service_us + ANSWER_MARGIN_US;
      if ((double)needed_us + wait_us < (double)limit_us)
        kept++;
      else
        refuse_queued (gate, late[i].ticket, ADMIT_REFUSED_LATE);
    }
}

void
gate_expire (struct gate *gate, uint64_t now_us)
{
  struct late_ticket late[GATE_QUEUE_MAX];
  size_t count = 0;
  for (size_t i = gate->queued; i-- > 0;)
    {
      struct gate_ticket *ticket = gate->queue[i];
      if (!ends_before (ticket, ticket->work.deadline_ms, now_us))
        refuse_queued (gate, ticket, ADMIT_REFUSED_LATE);
      else if (is_late (ticket, now_us))
        late[count++].ticket = ticket;
    }
  if (count == 0)
    {
      gate->late_free_us = now_us;
      return;
    }
  fade_late_rate (gate, now_us);
  if (now_us - gate->late_free_us > LATE_FORGET_US)
    refuse_hopeless (gate, late, count, now_us);
}
