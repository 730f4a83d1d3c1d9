/// Drives an admission queue with operations from the input and compares it
/// with the expected state of each ticket. Invariants: a ticket starts or is
/// refused at most once, never after it was cancelled, and a waiting one never
/// starts after its deadline; tickets wait only while all slots are taken and
/// the queue is not draining. By cost, one slot may be kept free for short
/// work.
#include "coordination/admission_queue.h"

#include <assert.h>
#include <string.h>

#define TICKETS 64

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

enum expected_state
{
  EXPECTED_UNUSED,
  EXPECTED_WAITING,
  EXPECTED_RUNNING,
  EXPECTED_OVER
};

static struct admission_queue admission_queue;
static struct admission_queue_ticket tickets[TICKETS];
static enum expected_state expected[TICKETS];
static uint64_t now_us;

static void
on_run (void *arg, struct admission_queue_ticket *ticket)
{
  size_t index = (size_t)(ticket - tickets);
  assert (expected[index] == EXPECTED_WAITING);
  assert (now_us < ticket->work.deadline_ms * 1000);
  expected[index] = EXPECTED_RUNNING;
}

static void
on_refuse (void *arg, struct admission_queue_ticket *ticket,
           enum admit_refusal why)
{
  size_t index = (size_t)(ticket - tickets);
  assert (expected[index] == EXPECTED_WAITING);
  expected[index] = EXPECTED_OVER;
}

static const struct admission_queue_ops ops
    = { .run = on_run, .refuse = on_refuse };

/// Offers a ticket that does not wait or run.
/// @param parameter  gives kind, rank, objective and deadline of the work
static void
offer (size_t index, uint8_t parameter)
{
  enum admit_refusal why;
  struct admission_queue_work work = {
    .kind = parameter % 3,
    .rank = parameter / 3 % 3,
    .objective_ms = now_us / 1000 + parameter % 50,
    .deadline_ms = now_us / 1000 + 20 + 3 * (uint64_t)parameter,
    .account = parameter / 9 % 5,
  };
  if (expected[index] == EXPECTED_WAITING
      || expected[index] == EXPECTED_RUNNING)
    return;
  memset (&tickets[index], 0, sizeof tickets[index]);
  enum status status = admission_queue_offer (
      &admission_queue, &tickets[index], &work, now_us, &why);
  if (status != STATUS_OK)
    expected[index] = EXPECTED_OVER;
  else
    expected[index] = tickets[index].state == ADMIT_RUNNING ? EXPECTED_RUNNING
                                                            : EXPECTED_WAITING;
}

/// Finishes a running ticket or cancels a waiting one.
static void
finish_or_cancel (size_t index, bool served)
{
  if (expected[index] == EXPECTED_RUNNING)
    {
      expected[index] = EXPECTED_OVER;
      if (served || index % 2 == 0)
        admission_queue_finish (&admission_queue, &tickets[index], served,
                                now_us);
      else
        admission_queue_abandon (&admission_queue, &tickets[index], now_us);
    }
  else if (expected[index] == EXPECTED_WAITING)
    {
      expected[index] = EXPECTED_OVER;
      admission_queue_cancel (&admission_queue, &tickets[index]);
    }
}

static void
check_invariants (void)
{
  size_t running = 0;
  size_t waiting = 0;
  for (size_t i = 0; i < TICKETS; i++)
    {
      running += expected[i] == EXPECTED_RUNNING;
      waiting += expected[i] == EXPECTED_WAITING;
    }
  assert (admission_queue.running == running + admission_queue.abandoned);
  assert (admission_queue.queued == waiting);
  size_t kept_free
      = admission_queue_mode (&admission_queue) == ADMISSION_COST ? 1 : 0;
  assert (waiting == 0
          || admission_queue.running + kept_free >= admission_queue.slots);
  assert (!admission_queue.draining || waiting == 0);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  admission_queue_init (&admission_queue, &ops, NULL);
  memset (expected, 0, sizeof expected);
  now_us = 1000000;
  admission_queue_set_slots (&admission_queue, 2, now_us);
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
          finish_or_cancel (index, true);
          break;
        case 4:
          finish_or_cancel (index, false);
          break;
        case 5:
          now_us += (uint64_t)data[i] * 500;
          admission_queue_expire (&admission_queue, now_us);
          break;
        case 6:
          /* Lowering the number of slots does not stop running tickets. */
          admission_queue_set_slots (&admission_queue, data[i] % 5, now_us);
          break;
        default:
          if (data[i] % 4 < 2)
            admission_queue_set_draining (&admission_queue, data[i] % 2 == 0);
          else
            admission_queue_set_mode (
                &admission_queue,
                data[i] % 2 == 0 ? ADMISSION_COST : ADMISSION_RANK, now_us);
          break;
        }
      check_invariants ();
    }
  return 0;
}
