/// Stateless; the caller owns the memory of the transfers.
#include "coordination/transfer.h"

void
transfer_line_init (struct transfer_line *line, const struct transfer_ops *ops,
                    void *arg)
{
  *line = (struct transfer_line){ .ops = ops, .arg = arg };
  TAILQ_INIT (&line->transfers);
}

static void
start_sending (struct transfer_line *line, struct transfer *transfer,
               uint64_t now_ms)
{
  line->sending++;
  transfer->state = TRANSFER_SENDING;
  transfer->since_ms = now_ms;
}

/// Starts waiting transfers, the oldest first, up to the limit.
static void
start_waiting (struct transfer_line *line, uint64_t now_ms)
{
  struct transfer *transfer = TAILQ_FIRST (&line->transfers);
  while (transfer != NULL && line->sending < TRANSFER_TURNS)
    {
      struct transfer *next = TAILQ_NEXT (transfer, link);
      if (transfer->state == TRANSFER_WAITING)
        {
          start_sending (line, transfer, now_ms);
          line->ops->go (line->arg, transfer);
        }
      transfer = next;
    }
}

bool
transfer_begin (struct transfer_line *line, struct transfer *transfer,
                uint64_t now_ms)
{
  TAILQ_INSERT_TAIL (&line->transfers, transfer, link);
  if (line->sending < TRANSFER_TURNS)
    {
      start_sending (line, transfer, now_ms);
      return true;
    }
  transfer->state = TRANSFER_WAITING;
  return false;
}

void
transfer_end (struct transfer_line *line, struct transfer *transfer,
              uint64_t now_ms)
{
  if (transfer->state == TRANSFER_NONE)
    return;
  TAILQ_REMOVE (&line->transfers, transfer, link);
  line->sending -= transfer->state == TRANSFER_SENDING;
  transfer->state = TRANSFER_NONE;
  start_waiting (line, now_ms);
}

void
transfer_tick (struct transfer_line *line, uint64_t now_ms)
{
  for (struct transfer *transfer = TAILQ_FIRST (&line->transfers);
       transfer != NULL; transfer = TAILQ_NEXT (transfer, link))
    {
      if (transfer->state != TRANSFER_SENDING
          || now_ms < transfer->since_ms + TRANSFER_TURN_MS)
        continue;
      transfer->state = TRANSFER_OVERDUE;
      line->sending--;
    }
  start_waiting (line, now_ms);
}
