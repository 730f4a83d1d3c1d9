/// Drives admission and drain with arbitrary steps and compares with a simple
/// oracle: never more running than slots when one starts, nothing admitted
/// after a drain, everything admitted is over exactly once, and a refusal is
/// only said of what never started.
#include "coordination/admit.h"

#include <stdlib.h>
#include <string.h>

#define TICKETS 64

enum fate
{
  FATE_NONE,
  FATE_WAITING,
  FATE_RUNNING,
  FATE_REFUSED,
  FATE_FINISHED,
  FATE_CANCELLED
};

static struct admit admit;
static struct admit_ticket tickets[TICKETS];
static enum fate fates[TICKETS];
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
note_start (size_t index)
{
  require (!draining);
  require (fates[index] == FATE_NONE || fates[index] == FATE_WAITING);
  fates[index] = FATE_RUNNING;
  running++;
  require (running <= slots);
}

static void
on_run (void *arg, struct admit_ticket *ticket)
{
  require (fates[ticket - tickets] == FATE_WAITING);
  note_start ((size_t)(ticket - tickets));
}

static void
on_refuse (void *arg, struct admit_ticket *ticket, enum admit_refusal why)
{
  require (fates[ticket - tickets] == FATE_WAITING);
  require (ticket->state == ADMIT_OVER);
  fates[ticket - tickets] = FATE_REFUSED;
}

static const struct admit_ops ops = { .run = on_run, .refuse = on_refuse };

static void
offer (size_t index, uint64_t deadline_ms, uint64_t now_ms)
{
  struct admit_ticket *ticket = &tickets[index];
  if (fates[index] == FATE_WAITING || fates[index] == FATE_RUNNING)
    return;
  memset (ticket, 0, sizeof *ticket);
  fates[index] = FATE_NONE;
  enum admit_refusal why;
  if (admit_offer (&admit, ticket, deadline_ms, now_ms, &why) != STATUS_OK)
    {
      require (ticket->state == ADMIT_OVER);
      fates[index] = FATE_REFUSED;
    }
  else if (ticket->state == ADMIT_RUNNING)
    note_start (index);
  else
    {
      require (ticket->state == ADMIT_QUEUED && !draining);
      fates[index] = FATE_WAITING;
    }
}

static void
finish (size_t index, bool served, uint64_t now_ms)
{
  if (fates[index] == FATE_RUNNING)
    {
      fates[index] = FATE_FINISHED;
      running--;
      admit_finish (&admit, &tickets[index], served, now_ms);
    }
  else if (fates[index] == FATE_WAITING)
    {
      fates[index] = FATE_CANCELLED;
      admit_cancel (&admit, &tickets[index]);
    }
}

static void
check (void)
{
  size_t waiting = 0;
  for (size_t i = 0; i < TICKETS; i++)
    {
      waiting += fates[i] == FATE_WAITING;
      require ((fates[i] == FATE_WAITING)
               == (tickets[i].state == ADMIT_QUEUED));
      require ((fates[i] == FATE_RUNNING)
               == (tickets[i].state == ADMIT_RUNNING));
    }
  require (admit.queued == waiting && admit.running == running);
  for (size_t i = 0; i < admit.queued; i++)
    require (admit.queue[i]->place == i
             && admit.queue[(i - (i > 0)) / 2]->deadline_ms
                    <= admit.queue[i]->deadline_ms);
}

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  memset (tickets, 0, sizeof tickets);
  memset (fates, 0, sizeof fates);
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
          finish (index, data[i] > 128, now);
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
      check ();
    }
  for (size_t i = 0; i < TICKETS; i++)
    finish (i, true, now);
  /* What was waiting may have been started by the ends of others. */
  for (size_t i = 0; i < TICKETS; i++)
    finish (i, true, now);
  check ();
  require (admit.running == 0 && admit.queued == 0);
  return 0;
}
