#include "coordination/admit.h"
#include "testing.h"

#include <string.h>

#define TICKETS 32

static struct admit admit;
static struct admit_ticket tickets[TICKETS];
static size_t order[TICKETS]; ///< indexes of tickets in the order of start
static size_t started;
static enum admit_refusal reasons[TICKETS];
static size_t refused;

static void
on_run (void *arg, struct admit_ticket *ticket)
{
  order[started++] = (size_t)(ticket - tickets);
}

static void
on_refuse (void *arg, struct admit_ticket *ticket, enum admit_refusal why)
{
  reasons[refused++] = why;
}

static const struct admit_ops ops = { .run = on_run, .refuse = on_refuse };

static void
set_up (size_t slots)
{
  memset (tickets, 0, sizeof tickets);
  started = refused = 0;
  admit_init (&admit, &ops, NULL);
  admit_set_slots (&admit, slots, 0);
}

/// @return the state of the ticket after the offer
static enum admit_state
offer (size_t index, uint64_t deadline_ms, uint64_t now_ms,
       enum admit_refusal *why)
{
  admit_offer (&admit, &tickets[index], deadline_ms, now_ms, why);
  return tickets[index].state;
}

static void
test_slots_then_queue_then_refusal (void)
{
  enum admit_refusal why;
  set_up (2);
  for (size_t i = 0; i < 6; i++)
    CU_ASSERT_EQUAL (offer (i, 1000, 0, &why),
                     i < 2 ? ADMIT_RUNNING : ADMIT_QUEUED);
  CU_ASSERT_EQUAL (offer (6, 1000, 0, &why), ADMIT_OVER);
  CU_ASSERT_EQUAL (why, ADMIT_REFUSED_FULL);
  CU_ASSERT_EQUAL (admit.running, 2);
}

static void
test_queue_runs_by_deadline (void)
{
  static const uint64_t deadlines[] = { 900, 300, 700, 500 };
  static const size_t expected[] = { 2, 4, 3, 1 };
  enum admit_refusal why;
  set_up (2);
  offer (0, 1000, 0, &why);
  offer (5, 1000, 0, &why);
  for (size_t i = 0; i < 4; i++)
    offer (i + 1, deadlines[i], 0, &why);
  admit_finish (&admit, &tickets[0], true, 1);
  admit_finish (&admit, &tickets[5], true, 1);
  for (size_t i = 0; i < 2; i++)
    admit_finish (&admit, &tickets[expected[i]], true, 2);
  CU_ASSERT_EQUAL_FATAL (started, 4);
  for (size_t i = 0; i < 4; i++)
    CU_ASSERT_EQUAL (order[i], expected[i]);
}

/// A call that would be queued past its deadline must be refused at once,
/// while its caller still has time to try another node.
static void
test_unservable_call_is_refused_at_once (void)
{
  enum admit_refusal why;
  set_up (1);
  /* Record enough samples for a smoothed service time near 100 ms. */
  for (unsigned i = 0; i < 40; i++)
    {
      tickets[0].state = ADMIT_NEW;
      offer (0, 100000, i * 100, &why);
      admit_finish (&admit, &tickets[0], true, i * 100 + 100);
    }
  tickets[0].state = ADMIT_NEW;
  CU_ASSERT_EQUAL (offer (0, 5000, 4000, &why), ADMIT_RUNNING);
  CU_ASSERT_EQUAL (offer (1, 4150, 4000, &why), ADMIT_OVER);
  CU_ASSERT_EQUAL (why, ADMIT_REFUSED_LATE);
  CU_ASSERT_EQUAL (offer (2, 4300, 4000, &why), ADMIT_QUEUED);
  /* The running call takes too long, so the queued one becomes late. */
  admit_expire (&admit, 4250);
  CU_ASSERT_EQUAL (refused, 1);
  CU_ASSERT_EQUAL (reasons[0], ADMIT_REFUSED_LATE);
}

static void
test_drain_refuses_new_and_queued (void)
{
  enum admit_refusal why;
  set_up (1);
  offer (0, 1000, 0, &why);
  offer (1, 1000, 0, &why);
  admit_drain (&admit);
  CU_ASSERT_EQUAL (refused, 1);
  CU_ASSERT_EQUAL (offer (2, 1000, 0, &why), ADMIT_OVER);
  CU_ASSERT_EQUAL (why, ADMIT_REFUSED_DRAINING);
  CU_ASSERT_EQUAL (tickets[0].state, ADMIT_RUNNING);
  admit_finish (&admit, &tickets[0], true, 5);
  CU_ASSERT_EQUAL (started, 0);
}

static void
test_cancelled_ticket_never_runs (void)
{
  enum admit_refusal why;
  set_up (1);
  offer (0, 1000, 0, &why);
  offer (1, 500, 0, &why);
  offer (2, 600, 0, &why);
  admit_cancel (&admit, &tickets[1]);
  admit_finish (&admit, &tickets[0], true, 1);
  CU_ASSERT_EQUAL (started, 1);
  CU_ASSERT_EQUAL (order[0], 2);
}

static void
test_fewer_slots_are_respected (void)
{
  enum admit_refusal why;
  set_up (3);
  for (size_t i = 0; i < 5; i++)
    offer (i, 1000, 0, &why);
  admit_set_slots (&admit, 1, 0);
  admit_finish (&admit, &tickets[0], true, 1);
  admit_finish (&admit, &tickets[1], true, 1);
  CU_ASSERT_EQUAL (started, 0);
  admit_finish (&admit, &tickets[2], true, 1);
  CU_ASSERT_EQUAL (started, 1);
  admit_set_slots (&admit, 0, 2);
  CU_ASSERT_EQUAL (refused, 1);
  CU_ASSERT_EQUAL (reasons[0], ADMIT_REFUSED_ABSENT);
}

static const struct test_case cases[] = {
  { "more calls than slots at the target",
    test_slots_then_queue_then_refusal },
  { "calls wait behind calls with a later deadline",
    test_queue_runs_by_deadline },
  { "calls that cannot finish in time stay queued",
    test_unservable_call_is_refused_at_once },
  { "a draining target gets a new call", test_drain_refuses_new_and_queued },
  { "a call runs although its caller went away",
    test_cancelled_ticket_never_runs },
  { "a target that lowered its slots gets more calls than slots",
    test_fewer_slots_are_respected },
};

int
main (void)
{
  return testing_run ("admit", cases, sizeof cases / sizeof cases[0]);
}
