/// Stateless; the caller owns the memory of the transfers.
#include "coordination/transfer.h"

void
transfer_scheduler_init (struct transfer_scheduler *scheduler,
                         const struct transfer_ops *ops, void *arg)
{
  *scheduler = (struct transfer_scheduler){ .ops = ops, .arg = arg };
  TAILQ_INIT (&scheduler->transfers);
}

static void
start_sending (struct transfer_scheduler *scheduler, struct transfer *transfer,
               uint64_t now_ms)
{
  scheduler->sending++;
  transfer->state = TRANSFER_SENDING;
  transfer->since_ms = now_ms;
}

/// @return the waiting transfer that is due first, the oldest of equal ones,
///         or NULL
static struct transfer *
first_due (const struct transfer_scheduler *scheduler)
{
  struct transfer *first = NULL;
  struct transfer *transfer;
  TAILQ_FOREACH (transfer, &scheduler->transfers, link)
  if (transfer->state == TRANSFER_WAITING
      && (first == NULL || transfer->due_ms < first->due_ms))
    first = transfer;
  return first;
}

/// Starts waiting transfers up to the limit.
static void
start_waiting (struct transfer_scheduler *scheduler, uint64_t now_ms)
{
  struct transfer *transfer;
  while (scheduler->sending < TRANSFER_SENDING_MAX
         && (transfer = first_due (scheduler)) != NULL)
    {
      start_sending (scheduler, transfer, now_ms);
      scheduler->ops->start (scheduler->arg, transfer);
    }
}

bool
transfer_begin (struct transfer_scheduler *scheduler,
                struct transfer *transfer, uint64_t now_ms)
{
  TAILQ_INSERT_TAIL (&scheduler->transfers, transfer, link);
  if (scheduler->sending < TRANSFER_SENDING_MAX)
    {
      start_sending (scheduler, transfer, now_ms);
      return true;
    }
  transfer->state = TRANSFER_WAITING;
  return false;
}

void
transfer_end (struct transfer_scheduler *scheduler, struct transfer *transfer,
              uint64_t now_ms)
{
  if (transfer->state == TRANSFER_NONE)
    return;
  TAILQ_REMOVE (&scheduler->transfers, transfer, link);
  scheduler->sending -= transfer->state == TRANSFER_SENDING;
  transfer->state = TRANSFER_NONE;
  start_waiting (scheduler, now_ms);
}

void
transfer_tick (struct transfer_scheduler *scheduler, uint64_t now_ms)
{
  for (struct transfer *transfer = TAILQ_FIRST (&scheduler->transfers);
       transfer != NULL; transfer = TAILQ_NEXT (transfer, link))
    {
      if (transfer->state != TRANSFER_SENDING
          || now_ms < transfer->since_ms + TRANSFER_SENDING_MS_MAX)
        continue;
      transfer->state = TRANSFER_OVERDUE;
      scheduler->sending--;
    }
  start_waiting (scheduler, now_ms);
}
