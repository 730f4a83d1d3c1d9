/// Owns the queued tickets and the smoothed service times.
#include "coordination/admission_queue_internal.h"

#include <assert.h>
#include <string.h>

/// Weight of a new sample, 1 / 8: the mean follows a target that slows down
/// within a few responses and hardly changes because of a single one.
#define SMOOTHING_DIVISOR 8

/// Upper bound of a sample, so that a single slow response does not make all
/// later work look too late.
#define SERVICE_US_MAX 2000000

/// A service time is halved for each such period without a new
/// sample. Only work that runs shows that the target has become faster, so
/// without the decay a kind that once took too long would be refused for ever.
#define SERVICE_HALF_LIFE_US 1000000

/// A request that was abandoned after its expected service time is expected to
/// need a quarter of it more: that it took longer tells little of its end.
#define ABANDONED_DIVISOR 4

/// Responses that take less time than this on the link are not limited by it.
#define TRANSFER_US_MIN 10000

/// @return the entry of a kind of work; a new one replaces the entry with the
///         fewest samples, if possible one without running tickets
static struct admission_queue_kind *
find_or_add_kind (struct admission_queue *queue, uint32_t kind)
{
  struct admission_queue_kind *candidate = &queue->kinds[0];
  for (size_t i = 0; i < ADMISSION_QUEUE_KINDS; i++)
    {
      if (queue->kinds[i].kind == kind && queue->kinds[i].samples > 0)
        return &queue->kinds[i];
      if (queue->kinds[i].running == 0
          && (candidate->running > 0
              || queue->kinds[i].samples < candidate->samples))
        candidate = &queue->kinds[i];
    }
  *candidate = (struct admission_queue_kind){ .kind = kind };
  return candidate;
}

struct admission_queue_kind *
admission_queue_find_kind (struct admission_queue *queue, uint32_t kind)
{
  for (size_t i = 0; i < ADMISSION_QUEUE_KINDS; i++)
    if (queue->kinds[i].kind == kind && queue->kinds[i].samples > 0)
      return &queue->kinds[i];
  return NULL;
}

/// @return a service time after decay since its last sample, microseconds
static uint64_t
decayed_us (uint32_t mean_us, uint64_t last_sample_us, uint64_t now_us)
{
  /* A request is offered with its arrival time, which may be earlier than the
     last sample. */
  uint64_t age_us = now_us > last_sample_us ? now_us - last_sample_us : 0;
  uint64_t halvings = age_us / SERVICE_HALF_LIFE_US;
  return halvings < 31 ? mean_us >> halvings : 0;
}

/// @return expected service time of a kind of work, microseconds; that of all
///         kinds for one without a sample
static uint32_t
service_us (struct admission_queue *queue, uint32_t kind, uint64_t now_us)
{
  const struct admission_queue_kind *known
      = admission_queue_find_kind (queue, kind);
  uint32_t mean_us
      = known == NULL
            ? decayed_us (queue->mean_us, queue->last_sample_us, now_us)
            : decayed_us (known->mean_us, known->last_sample_us, now_us);
  return queue->speed == NULL
             ? mean_us
             : target_speed_expected_us (queue->speed, mean_us, now_us);
}

/// @return time that a response takes on the link, microseconds; 0 when it is
///         too short for the link to be a limit
static uint64_t
transfer_us (const struct admission_queue *queue, uint64_t bytes)
{
  if (queue->link_bytes_per_s == 0)
    return 0;
  uint64_t us = bytes * 1000000 / queue->link_bytes_per_s;
  return us < TRANSFER_US_MIN ? 0 : us;
}

bool
admission_queue_is_large (const struct admission_queue *queue, uint64_t bytes)
{
  return transfer_us (queue, bytes) > 0;
}

uint64_t
admission_queue_kind_link_us (const struct admission_queue *queue,
                              const struct admission_queue_kind *kind)
{
  return kind == NULL ? 0 : transfer_us (queue, kind->mean_bytes);
}

/// @return maximum number of running tickets of a kind
static size_t
kind_limit (const struct admission_queue *queue,
            const struct admission_queue_kind *kind)
{
  uint64_t link_us = admission_queue_kind_link_us (queue, kind);
  return link_us == 0 ? SIZE_MAX : 2 + kind->head_mean_us / link_us;
}

bool
admission_queue_at_link_limit (struct admission_queue *queue,
                               const struct admission_queue_ticket *ticket)
{
  const struct admission_queue_kind *kind
      = admission_queue_find_kind (queue, ticket->work.kind);
  return kind != NULL && kind->running >= kind_limit (queue, kind);
}

uint64_t
admission_queue_link_us (struct admission_queue *queue,
                         const struct admission_queue_ticket *ticket)
{
  return admission_queue_kind_link_us (
      queue, admission_queue_find_kind (queue, ticket->work.kind));
}

static uint32_t
smooth (uint32_t mean, uint64_t value, bool first)
{
  uint64_t sample = value < UINT32_MAX / SMOOTHING_DIVISOR
                        ? value
                        : UINT32_MAX / SMOOTHING_DIVISOR;
  return (uint32_t)(first ? sample
                          : (mean * (uint64_t)(SMOOTHING_DIVISOR - 1) + sample)
                                / SMOOTHING_DIVISOR);
}

static void
record_service_time (struct admission_queue *queue,
                     const struct admission_queue_ticket *ticket,
                     uint64_t now_us)
{
  uint64_t us = now_us - ticket->started_us;
  uint64_t sample = us < SERVICE_US_MAX ? us : SERVICE_US_MAX;
  uint64_t head_us
      = ticket->head_us == 0 ? sample : ticket->head_us - ticket->started_us;
  struct admission_queue_kind *kind
      = find_or_add_kind (queue, ticket->work.kind);
  bool first = kind->samples == 0;
  kind->mean_us = smooth (kind->mean_us, sample, first);
  kind->head_mean_us = smooth (kind->head_mean_us,
                               head_us < sample ? head_us : sample, first);
  kind->mean_bytes = smooth (kind->mean_bytes, ticket->bytes, first);
  kind->samples++;
  kind->last_sample_us = now_us;
  queue->mean_us = smooth (queue->mean_us, sample, queue->mean_us == 0);
  queue->last_sample_us = now_us;
}

static void
remove_from_queue (struct admission_queue *queue,
                   struct admission_queue_ticket *ticket)
{
  assert (ticket->state == ADMIT_QUEUED);
  assert (queue->waiting[ticket->queue_index] == ticket);
  struct admission_queue_ticket *last = queue->waiting[--queue->queued];
  queue->waiting[ticket->queue_index] = last;
  last->queue_index = ticket->queue_index;
}

void
admission_queue_refuse_queued (struct admission_queue *queue,
                               struct admission_queue_ticket *ticket,
                               enum admit_refusal why)
{
  remove_from_queue (queue, ticket);
  queue->policy->dropped (queue, ticket);
  ticket->state = ADMIT_OVER;
  queue->ops->refuse (queue->arg, ticket, why);
}

bool
admission_queue_finishes_before (const struct admission_queue_ticket *ticket,
                                 uint64_t limit_ms, uint64_t now_us)
{
  return now_us + ticket->service_us + ADMISSION_RESPONSE_MARGIN_US
         < limit_ms * 1000;
}

static void
start (struct admission_queue *queue, struct admission_queue_ticket *ticket,
       uint64_t now_us)
{
  struct admission_queue_kind *kind
      = admission_queue_find_kind (queue, ticket->work.kind);
  queue->running++;
  if (kind != NULL)
    kind->running++;
  ticket->counted = kind != NULL;
  ticket->state = ADMIT_RUNNING;
  ticket->started_us = now_us;
}

static void
start_queued (struct admission_queue *queue, uint64_t now_us)
{
  while (queue->queued > 0 && queue->running < queue->slots)
    {
      struct admission_queue_ticket *ticket
          = queue->policy->next (queue, now_us);
      if (ticket == NULL)
        return;
      if (!admission_queue_finishes_before (ticket, ticket->work.deadline_ms,
                                            now_us))
        {
          admission_queue_refuse_queued (queue, ticket, ADMIT_REFUSED_LATE);
          continue;
        }
      queue->policy->starting (queue, ticket, now_us);
      remove_from_queue (queue, ticket);
      start (queue, ticket, now_us);
      queue->ops->run (queue->arg, ticket);
    }
}

static void
refuse_all (struct admission_queue *queue, enum admit_refusal why)
{
  while (queue->queued > 0)
    admission_queue_refuse_queued (queue, queue->waiting[0], why);
}

void
admission_queue_set_slots (struct admission_queue *queue, size_t slots,
                           uint64_t now_us)
{
  queue->slots = slots < ADMIT_SLOTS_MAX ? slots : ADMIT_SLOTS_MAX;
  if (slots == 0)
    {
      queue->running -= queue->abandoned;
      queue->abandoned = 0;
      refuse_all (queue, ADMIT_REFUSED_ABSENT);
    }
  start_queued (queue, now_us);
}

void
admission_queue_note_head (struct admission_queue_ticket *ticket,
                           uint64_t now_us)
{
  ticket->head_us = now_us;
}

void
admission_queue_note_bytes (struct admission_queue_ticket *ticket, size_t size)
{
  ticket->bytes += size;
}

void
admission_queue_set_draining (struct admission_queue *queue, bool draining)
{
  queue->draining = draining;
  if (draining)
    refuse_all (queue, ADMIT_REFUSED_DRAINING);
}

uint64_t
admission_queue_slot_wait_us (const struct admission_queue *queue,
                              size_t ahead)
{
  if (queue->running < queue->slots && ahead == 0)
    return 0;
  return (ahead + 1) * (uint64_t)queue->mean_us / (queue->slots + 1);
}

static size_t
count_up_to_rank (const struct admission_queue *queue, uint32_t rank)
{
  size_t ahead = 0;
  for (size_t i = 0; i < queue->queued; i++)
    ahead += queue->waiting[i]->work.rank <= rank;
  return ahead;
}

uint64_t
admission_queue_wait_us (struct admission_queue *queue, uint32_t kind,
                         uint32_t rank)
{
  uint64_t slots_us
      = admission_queue_slot_wait_us (queue, count_up_to_rank (queue, rank));
  uint64_t waiting = 0;
  for (size_t i = 0; i < queue->queued; i++)
    waiting += queue->waiting[i]->work.kind == kind;
  uint64_t link_us = waiting
                     * admission_queue_kind_link_us (
                         queue, admission_queue_find_kind (queue, kind));
  return link_us > slots_us ? link_us : slots_us;
}

/// @return estimated time until the link can carry the response of a ticket
///         whose kind is at the link's limit, microseconds
static uint64_t
link_wait_us (struct admission_queue *queue,
              const struct admission_queue_ticket *ticket, uint64_t now_us)
{
  uint64_t ahead = 1;
  for (size_t i = 0; i < queue->queued; i++)
    ahead += queue->waiting[i]->work.kind == ticket->work.kind
             && queue->policy->precedes (queue, queue->waiting[i], ticket,
                                         now_us);
  return ahead * admission_queue_link_us (queue, ticket);
}

/// Gives back the slots of abandoned requests whose work has ended by now.
static void
release_abandoned (struct admission_queue *queue, uint64_t now_us)
{
  for (size_t i = queue->abandoned; i-- > 0;)
    if (now_us >= queue->abandoned_until_us[i])
      {
        queue->abandoned_until_us[i]
            = queue->abandoned_until_us[--queue->abandoned];
        queue->running--;
      }
}

static enum status
refuse_offered (struct admission_queue *queue,
                struct admission_queue_ticket *ticket, enum admit_refusal why,
                enum admit_refusal *result)
{
  queue->policy->dropped (queue, ticket);
  *result = why;
  return STATUS_UNAVAILABLE;
}

enum status
admission_queue_offer (struct admission_queue *queue,
                       struct admission_queue_ticket *ticket,
                       const struct admission_queue_work *work,
                       uint64_t now_us, enum admit_refusal *why)
{
  assert (ticket->state == ADMIT_NEW);
  release_abandoned (queue, now_us);
  ticket->work = *work;
  ticket->service_us = service_us (queue, work->kind, now_us);
  ticket->link_limited = admission_queue_link_us (queue, ticket) > 0;
  ticket->state = ADMIT_OVER;
  if (queue->draining || queue->slots == 0)
    {
      *why = queue->draining ? ADMIT_REFUSED_DRAINING : ADMIT_REFUSED_ABSENT;
      return STATUS_UNAVAILABLE;
    }
  queue->policy->offered (queue, ticket, now_us);
  bool at_link_limit = admission_queue_at_link_limit (queue, ticket);
  if (queue->running < queue->slots && !at_link_limit
      && !queue->policy->is_held_back (queue, ticket)
      && queue->policy->next (queue, now_us) == NULL)
    {
      if (!admission_queue_finishes_before (ticket, work->deadline_ms, now_us))
        return refuse_offered (queue, ticket, ADMIT_REFUSED_LATE, why);
      start (queue, ticket, now_us);
      return STATUS_OK;
    }
  uint64_t wait = at_link_limit
                      ? link_wait_us (queue, ticket, now_us)
                      : queue->policy->wait_us (queue, ticket, now_us);
  ticket->wait_us = wait;
  if (queue->queued < ADMISSION_QUEUE_MAX
      && !admission_queue_finishes_before (ticket, work->deadline_ms,
                                           now_us + wait))
    return refuse_offered (queue, ticket, ADMIT_REFUSED_LATE, why);
  if (queue->queued >= ADMISSION_QUEUE_MAX
      && !queue->policy->displace (queue, ticket, now_us))
    return refuse_offered (queue, ticket, ADMIT_REFUSED_FULL, why);
  ticket->state = ADMIT_QUEUED;
  ticket->queue_index = queue->queued;
  queue->waiting[queue->queued++] = ticket;
  return STATUS_OK;
}

void
admission_queue_finish (struct admission_queue *queue,
                        struct admission_queue_ticket *ticket, bool served,
                        uint64_t now_us)
{
  assert (ticket->state == ADMIT_RUNNING && queue->running > 0);
  ticket->state = ADMIT_OVER;
  queue->running--;
  struct admission_queue_kind *kind
      = admission_queue_find_kind (queue, ticket->work.kind);
  if (kind != NULL && ticket->counted && kind->running > 0)
    kind->running--;
  if (served)
    {
      record_service_time (queue, ticket, now_us);
      queue->policy->served (queue, ticket, now_us);
    }
  release_abandoned (queue, now_us);
  start_queued (queue, now_us);
}

void
admission_queue_abandon (struct admission_queue *queue,
                         struct admission_queue_ticket *ticket,
                         uint64_t now_us)
{
  uint64_t elapsed_us
      = now_us > ticket->started_us ? now_us - ticket->started_us : 0;
  uint64_t left_us
      = ticket->service_us > elapsed_us ? ticket->service_us - elapsed_us : 0;
  if (left_us < ticket->service_us / ABANDONED_DIVISOR)
    left_us = ticket->service_us / ABANDONED_DIVISOR;
  bool holds = admission_queue_mode (queue) == ADMISSION_COST
               && queue->abandoned < ADMIT_SLOTS_MAX && left_us > 0;
  if (holds)
    {
      queue->abandoned_until_us[queue->abandoned++] = now_us + left_us;
      queue->running++;
    }
  admission_queue_finish (queue, ticket, false, now_us);
}

void
admission_queue_cancel (struct admission_queue *queue,
                        struct admission_queue_ticket *ticket)
{
  remove_from_queue (queue, ticket);
  queue->policy->dropped (queue, ticket);
  ticket->state = ADMIT_OVER;
}

void
admission_queue_init (struct admission_queue *queue,
                      const struct admission_queue_ops *ops, void *arg)
{
  memset (queue, 0, sizeof *queue);
  shed_cost_init (&queue->cost);
  queue->ops = ops;
  queue->policy = &admission_rank_policy;
  queue->arg = arg;
}

void
admission_queue_set_mode (struct admission_queue *queue,
                          enum admission_mode mode, uint64_t now_us)
{
  if (mode == admission_queue_mode (queue))
    return;
  queue->policy = mode == ADMISSION_COST ? &admission_cost_policy
                                         : &admission_rank_policy;
  for (size_t i = 0; i < queue->queued; i++)
    queue->policy->offered (queue, queue->waiting[i], now_us);
  start_queued (queue, now_us);
}

enum admission_mode
admission_queue_mode (const struct admission_queue *queue)
{
  return queue->policy == &admission_cost_policy ? ADMISSION_COST
                                                 : ADMISSION_RANK;
}

void
admission_queue_expire (struct admission_queue *queue, uint64_t now_us)
{
  release_abandoned (queue, now_us);
  queue->policy->expire (queue, now_us);
  start_queued (queue, now_us);
}

uint64_t
admission_queue_retry_after_us (struct admission_queue *queue,
                                struct admission_queue_ticket *ticket,
                                double unit, uint64_t now_us)
{
  uint64_t deadline_us = ticket->work.deadline_ms * 1000;
  uint64_t left_us = deadline_us > now_us ? deadline_us - now_us : 0;
  uint64_t drain_us
      = queue->slots > 0 ? queue->policy->wait_us (queue, ticket, now_us) : 0;
  return shed_cost_retry_after_us (&queue->cost, &ticket->cost, drain_us,
                                   left_us, unit, now_us);
}
