/// Owns no state; applies shed_cost's scores to the queued tickets.
#include "coordination/admission_queue_internal.h"

#include <stdlib.h>

/// A target with fewer slots keeps none free: it would cost over a quarter of
/// its capacity.
#define RESERVE_SLOTS_MIN 4

static void
on_offered (struct admission_queue *queue,
            struct admission_queue_ticket *ticket, uint64_t now_us)
{
  shed_cost_update (&queue->cost, queue->slots, now_us);
  ticket->cost = (struct shed_cost_item){
    .kind = ticket->work.kind,
    .rank = ticket->work.rank,
    .account = ticket->work.account,
    .service_us = ticket->service_us,
    .objective_us = ticket->work.objective_ms * 1000,
    .deadline_us = ticket->work.deadline_ms * 1000,
  };
  shed_cost_offer (&queue->cost, &ticket->cost, now_us);
  ticket->scored = true;
}

static void
on_dropped (struct admission_queue *queue,
            struct admission_queue_ticket *ticket)
{
  if (ticket->scored)
    shed_cost_refused (&queue->cost, &ticket->cost);
}

static void
on_served (struct admission_queue *queue,
           struct admission_queue_ticket *ticket, uint64_t now_us)
{
  if (ticket->scored)
    shed_cost_served (&queue->cost, &ticket->cost, now_us);
}

/// @return true when a ticket has to leave the last free slot to other kinds.
///         A target with few slots has none to spare.
static bool
is_held_back (const struct admission_queue *queue,
              const struct admission_queue_ticket *ticket)
{
  return queue->running + 1 >= queue->slots
         && queue->slots >= RESERVE_SLOTS_MIN
         && !shed_cost_may_take_last (&queue->cost, &ticket->cost);
}

static struct admission_queue_ticket *
next (struct admission_queue *queue, uint64_t now_us)
{
  struct admission_queue_ticket *best = NULL;
  double best_score = 0;
  shed_cost_update (&queue->cost, queue->slots, now_us);
  for (size_t i = queue->queued; i-- > 0;)
    {
      struct admission_queue_ticket *ticket = queue->waiting[i];
      if (!admission_queue_finishes_before (ticket, ticket->work.deadline_ms,
                                            now_us))
        {
          admission_queue_refuse_queued (queue, ticket, ADMIT_REFUSED_LATE);
          continue;
        }
      double score = shed_cost_score (&queue->cost, &ticket->cost, now_us);
      if ((best == NULL || score > best_score)
          && !admission_queue_at_link_limit (queue, ticket)
          && !is_held_back (queue, ticket))
        {
          best = ticket;
          best_score = score;
        }
    }
  return best;
}

static void
on_starting (struct admission_queue *queue,
             struct admission_queue_ticket *ticket, uint64_t now_us)
{
}

static bool
precedes (const struct admission_queue *queue,
          const struct admission_queue_ticket *queued,
          const struct admission_queue_ticket *offered, uint64_t now_us)
{
  return shed_cost_score (&queue->cost, &queued->cost, now_us)
         >= shed_cost_score (&queue->cost, &offered->cost, now_us);
}

/// @return estimated time until work gets a slot with `ahead_us` of slot time
///         queued before it, microseconds
static uint64_t
slot_wait_us (const struct admission_queue *queue,
              const struct admission_queue_ticket *ticket, double ahead_us)
{
  double share = shed_cost_share_ahead (&queue->cost, &ticket->cost);
  double slots = queue->slots > 0 ? (double)queue->slots : 1;
  return (uint64_t)((ahead_us + queue->cost.mean_us) / slots / (1 - share));
}

static uint64_t
wait_us (struct admission_queue *queue, struct admission_queue_ticket *ticket,
         uint64_t now_us)
{
  double score = shed_cost_score (&queue->cost, &ticket->cost, now_us);
  double ahead_us = 0;
  for (size_t i = 0; i < queue->queued; i++)
    {
      const struct admission_queue_ticket *other = queue->waiting[i];
      if (shed_cost_score (&queue->cost, &other->cost, now_us) >= score)
        ahead_us += other->service_us;
    }
  return slot_wait_us (queue, ticket, ahead_us);
}

static bool
displace (struct admission_queue *queue, struct admission_queue_ticket *ticket,
          uint64_t now_us)
{
  struct admission_queue_ticket *least = NULL;
  double least_score = shed_cost_score (&queue->cost, &ticket->cost, now_us);
  for (size_t i = 0; i < queue->queued; i++)
    {
      double score
          = shed_cost_score (&queue->cost, &queue->waiting[i]->cost, now_us);
      if (score < least_score)
        {
          least = queue->waiting[i];
          least_score = score;
        }
    }
  if (least != NULL)
    admission_queue_refuse_queued (queue, least, ADMIT_REFUSED_FULL);
  return least != NULL;
}

struct ranked_ticket
{
  struct admission_queue_ticket *ticket;
  double score;
};

static int
compare_ranked (const void *a, const void *b)
{
  double left = ((const struct ranked_ticket *)a)->score;
  double right = ((const struct ranked_ticket *)b)->score;
  return (left < right) - (left > right);
}

static void
expire (struct admission_queue *queue, uint64_t now_us)
{
  struct ranked_ticket ranked[ADMISSION_QUEUE_MAX];
  size_t count = queue->queued;
  double ahead_us = 0;
  uint64_t link_ahead_us = 0;
  shed_cost_update (&queue->cost, queue->slots, now_us);
  if (count == 0)
    return;
  for (size_t i = 0; i < count; i++)
    ranked[i] = (struct ranked_ticket){
      .ticket = queue->waiting[i],
      .score
      = shed_cost_score (&queue->cost, &queue->waiting[i]->cost, now_us),
    };
  qsort (ranked, count, sizeof ranked[0], compare_ranked);
  for (size_t i = 0; i < count; i++)
    {
      struct admission_queue_ticket *ticket = ranked[i].ticket;
      uint64_t link_us = admission_queue_link_us (queue, ticket);
      uint64_t wait = slot_wait_us (queue, ticket, ahead_us);
      if (link_us > 0 && link_ahead_us > wait)
        wait = link_ahead_us;
      if (!admission_queue_finishes_before (ticket, ticket->work.deadline_ms,
                                            now_us + wait))
        {
          admission_queue_refuse_queued (queue, ticket, ADMIT_REFUSED_LATE);
          continue;
        }
      link_ahead_us += link_us;
      if (link_us == 0)
        ahead_us += ticket->service_us;
    }
}

const struct admission_policy admission_cost_policy = {
  .offered = on_offered,
  .dropped = on_dropped,
  .served = on_served,
  .next = next,
  .is_held_back = is_held_back,
  .starting = on_starting,
  .precedes = precedes,
  .wait_us = wait_us,
  .displace = displace,
  .expire = expire,
};
