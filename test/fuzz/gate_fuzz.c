/// Drives a gate with operations read from the input. Oracle: a simple list of
/// tickets. No more run than there are slots; a ticket starts or is refused at
/// most once, and never after its caller left; nothing is kept that could
/// start at once; nothing starts that cannot end before its deadline.
#include "coordination/gate.h"

#include <assert.h>
#include <string.h>

#define TICKETS 64

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

enum fate
{
  FATE_UNUSED,
  FATE_WAITING,
  FATE_RUNNING,
  FATE_OVER
};

static struct gate gate;
static struct gate_ticket tickets[TICKETS];
static enum fate fates[TICKETS];
static uint64_t now_us;

static void
on_run (void *arg, struct gate_ticket *ticket)
{
  size_t index = (size_t)(ticket - tickets);
  assert (fates[index] == FATE_WAITING);
  assert (now_us < ticket->work.deadline_ms * 1000);
  fates[index] = FATE_RUNNING;
}

static void
on_refuse (void *arg, struct gate_ticket *ticket, enum admit_refusal why)
{
  size_t index = (size_t)(ticket - tickets);
  assert (fates[index] == FATE_WAITING);
  fates[index] = FATE_OVER;
}

static const struct gate_ops ops = { .run = on_run, .refuse = on_refuse };

static void
offer (size_t index, uint8_t shape)
{
  enum admit_refusal why;
  struct gate_work work = {
    .kind = shape % 3,
    .rank = shape / 3 % 3,
    .objective_ms = now_us / 1000 + shape % 50,
    .deadline_ms = now_us / 1000 + 20 + 3 * (uint64_t)shape,
  };
  if (fates[index] == FATE_WAITING || fates[index] == FATE_RUNNING)
    return;
  memset (&tickets[index], 0, sizeof tickets[index]);
  enum status status
      = gate_offer (&gate, &tickets[index], &work, now_us, &why);
  if (status != STATUS_OK)
    fates[index] = FATE_OVER;
  else
    fates[index]
        = tickets[index].state == ADMIT_RUNNING ? FATE_RUNNING : FATE_WAITING;
}

static void
end (size_t index, bool served)
{
  if (fates[index] == FATE_RUNNING)
    {
      fates[index] = FATE_OVER;
      gate_finish (&gate, &tickets[index], served, now_us);
    }
  else if (fates[index] == FATE_WAITING)
    {
      fates[index] = FATE_OVER;
      gate_cancel (&gate, &tickets[index]);
    }
}

static void
check (void)
{
  size_t running = 0;
  size_t waiting = 0;
  for (size_t i = 0; i < TICKETS; i++)
    {
      running += fates[i] == FATE_RUNNING;
      waiting += fates[i] == FATE_WAITING;
    }
  assert (gate.running == running);
  assert (gate.queued == waiting);
  assert (waiting == 0 || gate.running >= gate.slots);
  assert (!gate.draining || waiting == 0);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  gate_init (&gate, &ops, NULL);
  memset (fates, 0, sizeof fates);
  now_us = 1000000;
  gate_set_slots (&gate, 2, now_us);
  for (size_t i = 0; i + 1 < size; i += 2)
    {
      uint8_t index = data[i] % TICKETS;
      switch (data[i + 1] % 8)
        {
        case 0:
        case 1:
        case 2:
          offer (index, data[i + 1]);
          break;
        case 3:
          end (index, true);
          break;
        case 4:
          end (index, false);
          break;
        case 5:
          now_us += (uint64_t)data[i] * 500;
          gate_expire (&gate, now_us);
          break;
        case 6:
          /* Running tickets go on when the slots become fewer. */
          gate_set_slots (&gate, data[i] % 5, now_us);
          break;
        default:
          gate_set_draining (&gate, data[i] % 2 == 0);
          break;
        }
      check ();
    }
  return 0;
}
