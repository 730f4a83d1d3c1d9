/// Drives admission and draining with operations from the input and compares
/// them with a simple model. Invariants: a ticket starts only while fewer run
/// than there are slots and the target does not drain; everything admitted
/// ends exactly once; only a ticket that never started is refused.
#include "coordination/admit.h"

#include <stdlib.h>
#include <string.h>

#define TICKETS 64

enum expected_state
{
  EXPECTED_NONE,
  EXPECTED_WAITING,
  EXPECTED_RUNNING,
  EXPECTED_REFUSED,
  EXPECTED_FINISHED,
  EXPECTED_CANCELLED
};

static struct admit admit;
static struct admit_ticket tickets[TICKETS];
static enum expected_state expected[TICKETS];
static size_t running;
static size_t slots;
static bool draining;

static void
require (bool condition)
{
  if (!condition)
    abort ();
}

static void
record_start (size_t index)
{
  require (!draining);
  require (expected[index] == EXPECTED_NONE
           || expected[index] == EXPECTED_WAITING);
  expected[index] = EXPECTED_RUNNING;
  running++;
  require (running <= slots);
}

static void
on_run (void *arg, struct admit_ticket *ticket)
{
  require (expected[ticket - tickets] == EXPECTED_WAITING);
  record_start ((size_t)(ticket - tickets));
}

static void
on_refuse (void *arg, struct admit_ticket *ticket, enum admit_refusal why)
{
  require (expected[ticket - tickets] == EXPECTED_WAITING);
  require (ticket->state == ADMIT_OVER);
  expected[ticket - tickets] = EXPECTED_REFUSED;
}

static const struct admit_ops ops = { .run = on_run, .refuse = on_refuse };

static void
offer (size_t index, uint64_t deadline_ms, uint64_t now_ms)
{
  struct admit_ticket *ticket = &tickets[index];
  if (expected[index] == EXPECTED_WAITING
      || expected[index] == EXPECTED_RUNNING)
    return;
  memset (ticket, 0, sizeof *ticket);
  expected[index] = EXPECTED_NONE;
  enum admit_refusal why;
  if (admit_offer (&admit, ticket, deadline_ms, now_ms, &why) != STATUS_OK)
    {
      require (ticket->state == ADMIT_OVER);
      expected[index] = EXPECTED_REFUSED;
    }
  else if (ticket->state == ADMIT_RUNNING)
    record_start (index);
  else
    {
      require (ticket->state == ADMIT_QUEUED && !draining);
      expected[index] = EXPECTED_WAITING;
    }
}

/// Finishes a running ticket or cancels a waiting one.
static void
finish_or_cancel (size_t index, bool served, uint64_t now_ms)
{
  if (expected[index] == EXPECTED_RUNNING)
    {
      expected[index] = EXPECTED_FINISHED;
      running--;
      admit_finish (&admit, &tickets[index], served, now_ms);
    }
  else if (expected[index] == EXPECTED_WAITING)
    {
      expected[index] = EXPECTED_CANCELLED;
      admit_cancel (&admit, &tickets[index]);
    }
}

static void
check_invariants (void)
{
  size_t waiting = 0;
  for (size_t i = 0; i < TICKETS; i++)
    {
      waiting += expected[i] == EXPECTED_WAITING;
      require ((expected[i] == EXPECTED_WAITING)
               == (tickets[i].state == ADMIT_QUEUED));
      require ((expected[i] == EXPECTED_RUNNING)
               == (tickets[i].state == ADMIT_RUNNING));
    }
  require (admit.queued == waiting && admit.running == running);
  for (size_t i = 0; i < admit.queued; i++)
    require (admit.queue[i]->queue_index == i
             && admit.queue[(i - (i > 0)) / 2]->deadline_ms
                    <= admit.queue[i]->deadline_ms);
}

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  memset (tickets, 0, sizeof tickets);
  memset (expected, 0, sizeof expected);
  running = 0;
  draining = false;
  slots = 3;
  uint64_t now = 1000;
  admit_init (&admit, &ops, NULL);
  admit_set_slots (&admit, slots, now);
  for (size_t i = 0; i + 1 < size; i += 2)
    {
      size_t index = data[i + 1] % TICKETS;
      switch (data[i] % 8)
        {
        case 0:
        case 1:
          offer (index, now + data[i] * 4, now);
          break;
        case 2:
        case 3:
          finish_or_cancel (index, data[i] > 128, now);
          break;
        case 4:
          now += data[i + 1];
          break;
        case 5:
          slots = data[i + 1] % 8;
          admit_set_slots (&admit, slots, now);
          break;
        case 6:
          admit_expire (&admit, now);
          break;
        default:
          draining = data[i + 1] < 64;
          if (draining)
            admit_drain (&admit);
          else
            admit_undrain (&admit);
        }
      check_invariants ();
    }
  for (size_t i = 0; i < TICKETS; i++)
    finish_or_cancel (i, true, now);
  /* Ending tickets may have started waiting ones: end those too. */
  for (size_t i = 0; i < TICKETS; i++)
    finish_or_cancel (i, true, now);
  check_invariants ();
  require (admit.running == 0 && admit.queued == 0);
  return 0;
}
