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

/// A service time counts half after this time without a new one. Otherwise
/// work that is refused because its kind took too long is refused for good:
/// only work that runs shows that the target has become faster.
#define SERVICE_HALF_LIFE_US 1000000

/// Time over which the rate of started late tickets is smoothed.
#define LATE_SMOOTHING_US 1500000.0

/// Work that the link limits and that starts with less than a quarter more
/// than its usual time left is taken to be late: its time varies with what
/// else uses the link, and it would mostly end behind its objective in the
/// place of one that can still meet its own.
#define LATE_MARGIN_DIVISOR 4

/// Late tickets are taken to get at least this part of the slots, 1 / 20: the
/// requests that can meet their objective come in waves.
#define LATE_PART 20

/// Without late tickets for this long, nothing is known of their rate.
#define LATE_FORGET_US 500000

/// A refusal needs this long to reach the caller's node before the deadline.
#define ANSWER_MARGIN_US 15000

/// Answers that take less time on the link than this are not limited by it.
#define TRANSFER_US_MIN 10000

static struct gate_kind *
find_kind (struct gate *gate, uint32_t kind)
{
  struct gate_kind *least = &gate->kinds[0];
  for (size_t i = 0; i < GATE_KINDS; i++)
    {
      if (gate->kinds[i].kind == kind && gate->kinds[i].used > 0)
        return &gate->kinds[i];
      if (gate->kinds[i].running == 0
          && (least->running > 0 || gate->kinds[i].used < least->used))
        least = &gate->kinds[i];
    }
  *least = (struct gate_kind){ .kind = kind };
  return least;
}

/// @return what is known of a kind of work, or NULL
static struct gate_kind *
known_kind (struct gate *gate, uint32_t kind)
{
  for (size_t i = 0; i < GATE_KINDS; i++)
    if (gate->kinds[i].kind == kind && gate->kinds[i].used > 0)
      return &gate->kinds[i];
  return NULL;
}

/// @return expected time in the target for a kind of work, microseconds
static uint32_t
service_us (struct gate *gate, uint32_t kind, uint64_t now_us)
{
  const struct gate_kind *known = known_kind (gate, kind);
  if (known == NULL)
    return gate->mean_us;
  /* A request is offered at the time of its arrival, which may lie before. */
  uint64_t age_us = now_us > known->learnt_us ? now_us - known->learnt_us : 0;
  uint64_t halvings = age_us / SERVICE_HALF_LIFE_US;
  return halvings < 31 ? known->mean_us >> halvings : 0;
}

/// @return time that an answer takes on the link, microseconds; 0 when it is
///         not large for the link
static uint64_t
bytes_us (const struct gate *gate, uint64_t bytes)
{
  if (gate->link_bytes_per_s == 0)
    return 0;
  uint64_t us = bytes * 1000000 / gate->link_bytes_per_s;
  return us < TRANSFER_US_MIN ? 0 : us;
}

bool
gate_is_large (const struct gate *gate, uint64_t bytes)
{
  return bytes_us (gate, bytes) > 0;
}

/// @return the same for the usual answer of a kind; 0 also when nothing is
///         known of it
static uint64_t
transfer_us (const struct gate *gate, const struct gate_kind *kind)
{
  return kind == NULL ? 0 : bytes_us (gate, kind->mean_bytes);
}

/// @return tickets of a kind that may run at once
static size_t
kind_limit (const struct gate *gate, const struct gate_kind *kind)
{
  uint64_t link_us = transfer_us (gate, kind);
  return link_us == 0 ? SIZE_MAX : 2 + kind->head_mean_us / link_us;
}

static bool
is_held_by_link (struct gate *gate, const struct gate_ticket *ticket)
{
  const struct gate_kind *kind = known_kind (gate, ticket->work.kind);
  return kind != NULL && kind->running >= kind_limit (gate, kind);
}

static uint32_t
smooth (uint32_t mean, uint64_t value, bool first)
{
  uint64_t taken
      = value < UINT32_MAX / SMOOTHING ? value : UINT32_MAX / SMOOTHING;
  return (uint32_t)(first ? taken
                          : (mean * (uint64_t)(SMOOTHING - 1) + taken)
                                / SMOOTHING);
}

static void
remember_time (struct gate *gate, const struct gate_ticket *ticket,
               uint64_t now_us)
{
  uint64_t us = now_us - ticket->started_us;
  uint64_t taken = us < SERVICE_US_MAX ? us : SERVICE_US_MAX;
  uint64_t head_us
      = ticket->head_us == 0 ? taken : ticket->head_us - ticket->started_us;
  struct gate_kind *kind = find_kind (gate, ticket->work.kind);
  bool first = kind->used == 0;
  kind->mean_us = smooth (kind->mean_us, taken, first);
  kind->head_mean_us
      = smooth (kind->head_mean_us, head_us < taken ? head_us : taken, first);
  kind->mean_bytes = smooth (kind->mean_bytes, ticket->bytes, first);
  kind->used++;
  kind->learnt_us = now_us;
  gate->mean_us = smooth (gate->mean_us, taken, gate->mean_us == 0);
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
  uint64_t expected_us = ticket->service_us;
  if (ticket->link_limited)
    expected_us += ticket->service_us / LATE_MARGIN_DIVISOR;
  return now_us + expected_us >= ticket->work.objective_ms * 1000;
}

/// Lets a rate of late starts fade.
static void
fade_rate (struct gate_rate *rate, uint64_t now_us)
{
  rate->per_s *= exp (-(double)(now_us - rate->us) / LATE_SMOOTHING_US);
  rate->us = now_us;
}

/// @return the rate that a late ticket of a kind waits for
static struct gate_rate *
late_rate (struct gate *gate, struct gate_kind *kind)
{
  return transfer_us (gate, kind) > 0 ? &kind->late : &gate->late;
}

static void
count_late_start (struct gate *gate, const struct gate_ticket *ticket,
                  uint64_t now_us)
{
  struct gate_rate *rate
      = late_rate (gate, known_kind (gate, ticket->work.kind));
  fade_rate (rate, now_us);
  rate->per_s += 1e6 / LATE_SMOOTHING_US;
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

/// @return the waiting ticket that is started next, or NULL when the link
///         holds all of them
static struct gate_ticket *
best_queued (struct gate *gate, uint64_t now_us)
{
  struct gate_ticket *best = NULL;
  for (size_t i = 0; i < gate->queued; i++)
    if ((best == NULL || goes_first (gate->queue[i], best, now_us))
        && !is_held_by_link (gate, gate->queue[i]))
      best = gate->queue[i];
  return best;
}

static void
start (struct gate *gate, struct gate_ticket *ticket, uint64_t now_us)
{
  struct gate_kind *kind = known_kind (gate, ticket->work.kind);
  gate->running++;
  if (kind != NULL)
    kind->running++;
  ticket->counted = kind != NULL;
  ticket->state = ADMIT_RUNNING;
  ticket->started_us = now_us;
}

static void
start_queued (struct gate *gate, uint64_t now_us)
{
  while (gate->queued > 0 && gate->running < gate->slots)
    {
      struct gate_ticket *ticket = best_queued (gate, now_us);
      if (ticket == NULL)
        return;
      if (!ends_before (ticket, ticket->work.deadline_ms, now_us))
        {
          refuse_queued (gate, ticket, ADMIT_REFUSED_LATE);
          continue;
        }
      if (is_late (ticket, now_us))
        count_late_start (gate, ticket, now_us);
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
gate_note_head (struct gate_ticket *ticket, uint64_t now_us)
{
  ticket->head_us = now_us;
}

void
gate_note_bytes (struct gate_ticket *ticket, size_t size)
{
  ticket->bytes += size;
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
gate_wait_us (struct gate *gate, uint32_t kind, uint32_t rank)
{
  uint64_t slots_us = wait_us (gate, count_ahead (gate, rank));
  uint64_t waiting = 0;
  for (size_t i = 0; i < gate->queued; i++)
    waiting += gate->queue[i]->work.kind == kind;
  uint64_t link_us = waiting * transfer_us (gate, known_kind (gate, kind));
  return link_us > slots_us ? link_us : slots_us;
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

/// @return time until the link has room for a held ticket
static uint64_t
link_wait_us (struct gate *gate, const struct gate_ticket *ticket,
              uint64_t now_us)
{
  const struct gate_kind *kind = known_kind (gate, ticket->work.kind);
  uint64_t ahead = 1;
  for (size_t i = 0; i < gate->queued; i++)
    ahead += gate->queue[i]->work.kind == ticket->work.kind
             && goes_first (gate->queue[i], ticket, now_us);
  return ahead * transfer_us (gate, kind);
}

enum status
gate_offer (struct gate *gate, struct gate_ticket *ticket,
            const struct gate_work *work, uint64_t now_us,
            enum admit_refusal *why)
{
  assert (ticket->state == ADMIT_NEW);
  ticket->work = *work;
  ticket->service_us = service_us (gate, work->kind, now_us);
  ticket->link_limited = transfer_us (gate, known_kind (gate, work->kind)) > 0;
  ticket->state = ADMIT_OVER;
  if (gate->draining || gate->slots == 0)
    {
      *why = gate->draining ? ADMIT_REFUSED_DRAINING : ADMIT_REFUSED_ABSENT;
      return STATUS_UNAVAILABLE;
    }
  bool held = is_held_by_link (gate, ticket);
  if (gate->running < gate->slots && !held
      && best_queued (gate, now_us) == NULL)
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
  if (held)
    wait = link_wait_us (gate, ticket, now_us);
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
  struct gate_kind *kind = known_kind (gate, ticket->work.kind);
  if (kind != NULL && ticket->counted && kind->running > 0)
    kind->running--;
  if (served)
    remember_time (gate, ticket, now_us);
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

/// @return rate at which late tickets of a kind are taken to start, a second
static double
expected_late_rate (struct gate *gate, struct gate_kind *kind, uint64_t now_us)
{
  uint64_t link_us = transfer_us (gate, kind);
  struct gate_rate *rate = late_rate (gate, kind);
  double all_per_s = 0;
  if (link_us > 0)
    all_per_s = 1e6 / (double)link_us;
  else if (gate->mean_us > 0)
    all_per_s = (double)gate->slots * 1e6 / gate->mean_us;
  fade_rate (rate, now_us);
  double least_per_s = all_per_s / LATE_PART;
  return rate->per_s > least_per_s ? rate->per_s : least_per_s;
}

/// Refuses the late tickets that the present rate does not serve in time.
static void
refuse_hopeless (struct gate *gate, struct late_ticket *late, size_t count,
                 uint64_t now_us)
{
  size_t kept_by_slots = 0;
  size_t kept_by_link[GATE_KINDS] = { 0 };
  qsort (late, count, sizeof late[0], compare_late);
  for (size_t i = 0; i < count; i++)
    {
      struct gate_kind *kind = known_kind (gate, late[i].ticket->work.kind);
      size_t *kept = transfer_us (gate, kind) > 0
                         ? &kept_by_link[kind - gate->kinds]
                         : &kept_by_slots;
      double per_s = expected_late_rate (gate, kind, now_us);
      double wait_us = per_s > 0 ? (double)(*kept + 1) / per_s * 1e6 : 1e12;
      uint64_t limit_us = late[i].ticket->work.deadline_ms * 1000;
      uint64_t needed_us
          = now_us + late[i].ticket->service_us + ANSWER_MARGIN_US;
      if ((double)needed_us + wait_us < (double)limit_us)
        (*kept)++;
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
  if (now_us - gate->late_free_us > LATE_FORGET_US)
    refuse_hopeless (gate, late, count, now_us);
}
