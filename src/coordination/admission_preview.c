/// Stateless; offers work to a copy of the queue and of its queued tickets, so
/// that the functions that decide also explain, and the queue stays as it is.
#include "coordination/admission_queue.h"

#include <stdlib.h>

struct copy
{
  struct admission_queue queue;
  struct admission_queue_ticket tickets[ADMISSION_QUEUE_MAX];
};

/// The decision may refuse queued tickets. In the copy this has no effect.
static void
ignore_refusal (void *arg, struct admission_queue_ticket *ticket,
                enum admit_refusal why)
{
}

/// An offer starts no queued ticket.
static const struct admission_queue_ops copy_ops
    = { .refuse = ignore_refusal };

enum status
admission_queue_preview (const struct admission_queue *queue,
                         const struct admission_queue_work *work,
                         uint64_t now_us, struct admission_preview *preview)
{
  struct copy *copy = malloc (sizeof *copy);
  if (copy == NULL)
    return status_set (STATUS_NO_MEMORY, "no memory for a copy of the queue");
  copy->queue = *queue;
  copy->queue.ops = &copy_ops;
  for (size_t i = 0; i < queue->queued; i++)
    {
      copy->tickets[i] = *queue->waiting[i];
      copy->queue.waiting[i] = &copy->tickets[i];
    }
  struct admission_queue_ticket ticket = { .state = ADMIT_NEW };
  *preview = (struct admission_preview){ .state = ADMIT_OVER };
  admission_queue_offer (&copy->queue, &ticket, work, now_us, &preview->why);
  preview->state = ticket.state;
  preview->service_us = ticket.service_us;
  preview->wait_us = ticket.wait_us;
  preview->over_share = ticket.cost.over_share;
  free (copy);
  return STATUS_OK;
}
