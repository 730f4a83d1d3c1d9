/// Owns the heap of queued tickets and the smoothed service time.
#include "coordination/admit.h"

#include <assert.h>
#include <string.h>

/// Weight of a new sample in the smoothed service time, 1 / 8.
#define SMOOTHING_DIVISOR 8

/// Upper bound of a sample, so that a single slow call does not make every
/// later one look too late.
#define SERVICE_US_MAX 1000000

static void
set_ticket (struct admit *admit, size_t index, struct admit_ticket *ticket)
{
  admit->queue[index] = ticket;
  ticket->queue_index = index;
}

static void
sift_up (struct admit *admit, size_t index)
{
  struct admit_ticket *ticket = admit->queue[index];
  while (index > 0)
    {
      size_t parent = (index - 1) / 2;
      if (admit->queue[parent]->deadline_ms <= ticket->deadline_ms)
        break;
      set_ticket (admit, index, admit->queue[parent]);
      index = parent;
    }
  set_ticket (admit, index, ticket);
}

static void
sift_down (struct admit *admit, size_t index)
{
  struct admit_ticket *ticket = admit->queue[index];
  for (;;)
    {
      size_t child = 2 * index + 1;
      if (child >= admit->queued)
        break;
      if (child + 1 < admit->queued
          && admit->queue[child + 1]->deadline_ms
                 < admit->queue[child]->deadline_ms)
        child++;
      if (ticket->deadline_ms <= admit->queue[child]->deadline_ms)
        break;
      set_ticket (admit, index, admit->queue[child]);
      index = child;
    }
  set_ticket (admit, index, ticket);
}

static void
remove_from_queue (struct admit *admit, struct admit_ticket *ticket)
{
  assert (ticket->state == ADMIT_QUEUED);
  assert (admit->queue[ticket->queue_index] == ticket);
  size_t index = ticket->queue_index;
  struct admit_ticket *last = admit->queue[--admit->queued];
  if (last == ticket)
    return;
  set_ticket (admit, index, last);
  sift_up (admit, index);
  sift_down (admit, last->queue_index);
}

static void
refuse_queued (struct admit *admit, struct admit_ticket *ticket,
               enum admit_refusal why)
{
  remove_from_queue (admit, ticket);
  ticket->state = ADMIT_OVER;
  admit->ops->refuse (admit->arg, ticket, why);
}

/// @return true when a call that starts now would not finish before its
///         deadline
static bool
is_late (const struct admit *admit, const struct admit_ticket *ticket,
         uint64_t now_ms)
{
  return now_ms + admit->service_us / 1000 >= ticket->deadline_ms;
}

static void
start (struct admit *admit, struct admit_ticket *ticket, uint64_t now_ms)
{
  admit->running++;
  assert (admit->running <= admit->slots);
  ticket->state = ADMIT_RUNNING;
  ticket->started_ms = now_ms;
}

/// Gives free slots to queued tickets, earliest deadline first.
static void
start_queued (struct admit *admit, uint64_t now_ms)
{
  while (admit->queued > 0 && admit->running < admit->slots)
    {
      struct admit_ticket *ticket = admit->queue[0];
      if (is_late (admit, ticket, now_ms))
        {
          refuse_queued (admit, ticket, ADMIT_REFUSED_LATE);
          continue;
        }
      remove_from_queue (admit, ticket);
      start (admit, ticket, now_ms);
      admit->ops->run (admit->arg, ticket);
    }
}

static void
refuse_all (struct admit *admit, enum admit_refusal why)
{
  while (admit->queued > 0)
    refuse_queued (admit, admit->queue[0], why);
}

void
admit_init (struct admit *admit, const struct admit_ops *ops, void *arg)
{
  memset (admit, 0, sizeof *admit);
  admit->ops = ops;
  admit->arg = arg;
}

void
admit_set_slots (struct admit *admit, size_t slots, uint64_t now_ms)
{
  admit->slots = slots < ADMIT_SLOTS_MAX ? slots : ADMIT_SLOTS_MAX;
  if (slots == 0)
    refuse_all (admit, ADMIT_REFUSED_ABSENT);
  start_queued (admit, now_ms);
}

enum status
admit_offer (struct admit *admit, struct admit_ticket *ticket,
             uint64_t deadline_ms, uint64_t now_ms, enum admit_refusal *why)
{
  assert (ticket->state == ADMIT_NEW);
  ticket->deadline_ms = deadline_ms;
  ticket->state = ADMIT_OVER;
  if (admit->draining || admit->slots == 0)
    {
      *why = admit->draining ? ADMIT_REFUSED_DRAINING : ADMIT_REFUSED_ABSENT;
      return STATUS_UNAVAILABLE;
    }
  if (is_late (admit, ticket, now_ms))
    {
      *why = ADMIT_REFUSED_LATE;
      return STATUS_UNAVAILABLE;
    }
  if (admit->running < admit->slots && admit->queued == 0)
    {
      start (admit, ticket, now_ms);
      return STATUS_OK;
    }
  if (admit->queued >= 2 * admit->slots)
    {
      *why = ADMIT_REFUSED_FULL;
      return STATUS_UNAVAILABLE;
    }
  /* Tickets with an earlier deadline run first. Counting the whole queue as
     ahead would refuse urgent tickets that could finish in time. */
  size_t ahead = 0;
  for (size_t i = 0; i < admit->queued; i++)
    ahead += admit->queue[i]->deadline_ms <= deadline_ms;
  uint64_t wait_us = (ahead + 1) * admit->service_us / admit->slots;
  if (now_ms + (wait_us + admit->service_us) / 1000 >= deadline_ms)
    {
      *why = ADMIT_REFUSED_LATE;
      return STATUS_UNAVAILABLE;
    }
  ticket->state = ADMIT_QUEUED;
  set_ticket (admit, admit->queued++, ticket);
  sift_up (admit, ticket->queue_index);
  return STATUS_OK;
}

void
admit_finish (struct admit *admit, struct admit_ticket *ticket, bool served,
              uint64_t now_ms)
{
  assert (ticket->state == ADMIT_RUNNING && admit->running > 0);
  ticket->state = ADMIT_OVER;
  admit->running--;
  if (served)
    {
      uint64_t us = (now_ms - ticket->started_ms) * 1000;
      if (us > SERVICE_US_MAX)
        us = SERVICE_US_MAX;
      admit->service_us = (admit->service_us * (SMOOTHING_DIVISOR - 1) + us)
                          / SMOOTHING_DIVISOR;
    }
  start_queued (admit, now_ms);
}

void
admit_cancel (struct admit *admit, struct admit_ticket *ticket)
{
  remove_from_queue (admit, ticket);
  ticket->state = ADMIT_OVER;
}

void
admit_drain (struct admit *admit)
{
  admit->draining = true;
  refuse_all (admit, ADMIT_REFUSED_DRAINING);
}

void
admit_undrain (struct admit *admit)
{
  admit->draining = false;
}

void
admit_expire (struct admit *admit, uint64_t now_ms)
{
  while (admit->queued > 0 && is_late (admit, admit->queue[0], now_ms))
    refuse_queued (admit, admit->queue[0], ADMIT_REFUSED_LATE);
}

uint64_t
admit_next_expiry (const struct admit *admit)
{
  if (admit->queued == 0)
    return UINT64_MAX;
  uint64_t deadline_ms = admit->queue[0]->deadline_ms;
  uint64_t service_ms = admit->service_us / 1000;
  return deadline_ms > service_ms ? deadline_ms - service_ms : 0;
}
