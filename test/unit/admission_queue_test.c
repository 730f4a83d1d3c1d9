#include "coordination/admission_queue.h"
#include "testing.h"

#include "base/rng.h"

#include <stdlib.h>
#include <string.h>

#define TICKETS 64

static struct admission_queue queue;
static struct admission_queue_ticket tickets[TICKETS];
static size_t order[TICKETS]; ///< indexes of tickets in the order of start
static size_t started;
static size_t refused_tickets[TICKETS];
static enum admit_refusal reasons[TICKETS];
static size_t refused;
static enum admission_mode mode; ///< of the next set_up

static void
on_run (void *arg, struct admission_queue_ticket *ticket)
{
  order[started++] = (size_t)(ticket - tickets);
}

static void
on_refuse (void *arg, struct admission_queue_ticket *ticket,
           enum admit_refusal why)
{
  refused_tickets[refused] = (size_t)(ticket - tickets);
  reasons[refused++] = why;
}

static const struct admission_queue_ops ops
    = { .run = on_run, .refuse = on_refuse };

static void
set_up (size_t slots)
{
  memset (tickets, 0, sizeof tickets);
  started = refused = 0;
  admission_queue_init (&queue, &ops, NULL);
  admission_queue_set_mode (&queue, mode, 0);
  admission_queue_set_slots (&queue, slots, 0);
}

static enum admit_state
offer (size_t index, uint32_t rank, uint64_t objective_ms,
       uint64_t deadline_ms, uint64_t now_ms)
{
  struct admission_queue_work work = { .kind = 1,
                                       .rank = rank,
                                       .objective_ms = objective_ms,
                                       .deadline_ms = deadline_ms };
  enum admit_refusal why;
  admission_queue_offer (&queue, &tickets[index], &work, now_ms * 1000, &why);
  return tickets[index].state;
}

/// Runs one request with a known service time, so that later estimates use it.
static void
record_service (uint64_t ms)
{
  offer (TICKETS - 1, 0, 100000, 100000, 0);
  admission_queue_finish (&queue, &tickets[TICKETS - 1], true, ms * 1000);
}

static void
test_order_of_start (void)
{
  static const struct
  {
    uint32_t rank;
    uint64_t objective_ms;
    uint64_t deadline_ms;
  } waiting[] = {
    { 2, 500, 2000 }, /* higher rank, starts last despite its objective */
    { 1, 900, 3000 }, /* can meet its objective, the later one */
    { 1, 110, 1500 }, /* already late when the slot becomes free */
    { 1, 800, 3000 }, /* can meet its objective, the earlier one */
  };
  static const size_t expected[] = { 4, 2, 3, 1 };
  set_up (1);
  record_service (10);
  CU_ASSERT_EQUAL (offer (0, 0, 5000, 5000, 0), ADMIT_RUNNING);
  for (size_t i = 0; i < 4; i++)
    CU_ASSERT_EQUAL (offer (i + 1, waiting[i].rank, waiting[i].objective_ms,
                            waiting[i].deadline_ms, 0),
                     ADMIT_QUEUED);
  admission_queue_finish (&queue, &tickets[0], true, 200 * 1000);
  for (size_t i = 0; i < 4; i++)
    {
      CU_ASSERT_EQUAL (order[i], expected[i]);
      admission_queue_finish (&queue, &tickets[order[i]], true,
                              (210 + 10 * i) * 1000);
    }
}

static void
test_refuses_work_that_cannot_finish_in_time (void)
{
  set_up (1);
  record_service (100);
  offer (0, 1, 5000, 5000, 0);
  offer (1, 1, 5000, 5000, 0);
  /* Two tickets go first with 100 ms each, and it takes 100 ms itself. */
  CU_ASSERT_EQUAL (offer (2, 1, 5000, 150, 0), ADMIT_OVER);
  CU_ASSERT_EQUAL (tickets[1].state, ADMIT_QUEUED);
}

static void
test_never_more_than_slots (void)
{
  set_up (3);
  for (size_t i = 0; i < 10; i++)
    offer (i, 1, 1000, 2000, 0);
  CU_ASSERT_EQUAL (queue.running, 3);
  CU_ASSERT_EQUAL (queue.queued, 7);
  admission_queue_set_slots (&queue, 0, 0);
  CU_ASSERT_EQUAL (refused, 7);
  CU_ASSERT_EQUAL (reasons[0], ADMIT_REFUSED_ABSENT);
}

static void
test_drain_refuses_queued_and_new (void)
{
  set_up (1);
  offer (0, 1, 1000, 2000, 0);
  offer (1, 1, 1000, 2000, 0);
  admission_queue_set_draining (&queue, true);
  CU_ASSERT_EQUAL (refused, 1);
  CU_ASSERT_EQUAL (reasons[0], ADMIT_REFUSED_DRAINING);
  CU_ASSERT_EQUAL (offer (2, 1, 1000, 2000, 0), ADMIT_OVER);
  CU_ASSERT_EQUAL (queue.running, 1);
}

static void
test_cancelled_ticket_never_starts (void)
{
  set_up (1);
  offer (0, 1, 1000, 2000, 0);
  offer (1, 1, 1000, 2000, 0);
  offer (2, 1, 1100, 2000, 0);
  admission_queue_cancel (&queue, &tickets[1]);
  admission_queue_finish (&queue, &tickets[0], true, 10000);
  CU_ASSERT_EQUAL (started, 1);
  CU_ASSERT_EQUAL (order[0], 2);
}

/// Late requests that will not get a slot in time were refused only at their
/// deadline. They have to be refused long before it.
static void
test_unservable_are_refused_early (void)
{
  set_up (1);
  record_service (50);
  offer (0, 1, 100000, 100000, 0);
  for (size_t i = 1; i < 30; i++)
    offer (i, 1, 100, 3000, 0);
  for (uint64_t now_ms = 100; now_ms <= 1200; now_ms += 50)
    admission_queue_expire (&queue, now_ms * 1000);
  CU_ASSERT (refused >= 20);
  CU_ASSERT (queue.queued >= 1);
}

/// After a slow phase of the target, work with less time left than the
/// measured service time is refused. It must be accepted again once the
/// measurement is old: otherwise the kind of work never runs and its service
/// time is never measured again.
static void
test_old_service_times_decay (void)
{
  set_up (2);
  record_service (2000);
  CU_ASSERT_EQUAL (offer (0, 1, 2500, 2600, 2100), ADMIT_OVER);
  CU_ASSERT_EQUAL (offer (1, 1, 5500, 5600, 5100), ADMIT_RUNNING);
}

/// Large responses fill the VM's link: no more of them may run at once than
/// the link can carry, and small responses must not wait for them.
static void
test_link_limits_large_responses (void)
{
  set_up (16);
  queue.link_bytes_per_s = 1000000;
  /* 100 ms until the response head, then 200 ms on the link. */
  offer (TICKETS - 1, 1, 100000, 100000, 0);
  admission_queue_note_head (&tickets[TICKETS - 1], 100 * 1000);
  admission_queue_note_bytes (&tickets[TICKETS - 1], 200000);
  admission_queue_finish (&queue, &tickets[TICKETS - 1], true, 300 * 1000);
  for (size_t i = 0; i < 10; i++)
    offer (i, 1, 5000, 9000, 300);
  size_t running = queue.running;
  CU_ASSERT (running >= 2 && running <= 3);
  /* The limit does not apply to another kind, although tickets are queued. */
  struct admission_queue_work small
      = { .kind = 2, .rank = 1, .objective_ms = 900, .deadline_ms = 1500 };
  enum admit_refusal why;
  admission_queue_offer (&queue, &tickets[20], &small, 300 * 1000, &why);
  CU_ASSERT_EQUAL (tickets[20].state, ADMIT_RUNNING);
  /* The next one starts when one has finished. */
  admission_queue_note_bytes (&tickets[0], 200000);
  admission_queue_finish (&queue, &tickets[0], true, 600 * 1000);
  CU_ASSERT_EQUAL (started, 1);
  /* A request that the link cannot serve before its deadline is refused at
     once. */
  CU_ASSERT_EQUAL (offer (21, 1, 900, 1000, 600), ADMIT_OVER);
  /* By rank it would follow all those that can meet their objective. */
  if (mode == ADMISSION_RANK)
    CU_ASSERT_EQUAL (offer (22, 1, 900, 1500, 600), ADMIT_OVER);
}

/* Simulation of an overload in virtual time: requests arrive faster than the
   slots serve them. */

#define LOAD_REQUESTS 4000
#define LOAD_SLOTS 4
#define LOAD_SERVICE_MS 40
#define LOAD_OBJECTIVE_MS 150
#define LOAD_DEADLINE_MS 800

struct load_result
{
  size_t in_time;
  size_t late;
  uint64_t held_ms; ///< total time that refused requests were queued
};

static struct admission_queue_ticket load_tickets[LOAD_REQUESTS];
static uint64_t load_arrivals[LOAD_REQUESTS];
static uint64_t load_ends[LOAD_REQUESTS]; ///< 0: not running
static uint64_t load_now;
static struct load_result load_result;

static void
load_run (void *arg, struct admission_queue_ticket *ticket)
{
  load_ends[ticket - load_tickets] = load_now + LOAD_SERVICE_MS;
}

static void
load_refuse (void *arg, struct admission_queue_ticket *ticket,
             enum admit_refusal why)
{
  load_result.held_ms += load_now - load_arrivals[ticket - load_tickets];
}

static const struct admission_queue_ops load_ops
    = { .run = load_run, .refuse = load_refuse };

static void
make_arrivals (struct rng *rng)
{
  /* 130% of the slots' capacity, with uniformly distributed gaps. */
  double at = 0;
  double gap = (double)LOAD_SERVICE_MS / LOAD_SLOTS / 1.3;
  for (size_t i = 0; i < LOAD_REQUESTS; i++)
    {
      at += 2 * gap * rng_unit (rng);
      load_arrivals[i] = (uint64_t)at + 1;
    }
}

static void
count_end (size_t request)
{
  uint64_t took = load_now - load_arrivals[request];
  if (took <= LOAD_OBJECTIVE_MS)
    load_result.in_time++;
  else
    load_result.late++;
}

static struct load_result
simulate_queue (void)
{
  struct admission_queue load_queue;
  size_t next = 0;
  memset (load_tickets, 0, sizeof load_tickets);
  memset (load_ends, 0, sizeof load_ends);
  memset (&load_result, 0, sizeof load_result);
  admission_queue_init (&load_queue, &load_ops, NULL);
  admission_queue_set_slots (&load_queue, LOAD_SLOTS, 0);
  for (load_now = 1; load_now < load_arrivals[LOAD_REQUESTS - 1] + 2000;
       load_now++)
    {
      for (size_t i = 0; i < next; i++)
        if (load_ends[i] == load_now)
          {
            count_end (i);
            load_ends[i] = 0;
            admission_queue_finish (&load_queue, &load_tickets[i], true,
                                    load_now * 1000);
          }
      for (; next < LOAD_REQUESTS && load_arrivals[next] == load_now; next++)
        {
          struct admission_queue_work work
              = { .kind = 1,
                  .rank = 1,
                  .objective_ms = load_now + LOAD_OBJECTIVE_MS,
                  .deadline_ms = load_now + LOAD_DEADLINE_MS };
          enum admit_refusal why;
          admission_queue_offer (&load_queue, &load_tickets[next], &work,
                                 load_now * 1000, &why);
          if (load_tickets[next].state == ADMIT_RUNNING)
            load_run (NULL, &load_tickets[next]);
        }
      if (load_now % 50 == 0)
        admission_queue_expire (&load_queue, load_now * 1000);
    }
  return load_result;
}

/// Baseline: first in, first out; a request is refused at its deadline.
static struct load_result
simulate_fifo (void)
{
  uint64_t slots[LOAD_SLOTS] = { 0 };
  memset (&load_result, 0, sizeof load_result);
  for (size_t i = 0; i < LOAD_REQUESTS; i++)
    {
      size_t first = 0;
      for (size_t k = 1; k < LOAD_SLOTS; k++)
        if (slots[k] < slots[first])
          first = k;
      uint64_t start
          = slots[first] > load_arrivals[i] ? slots[first] : load_arrivals[i];
      if (start + LOAD_SERVICE_MS > load_arrivals[i] + LOAD_DEADLINE_MS)
        {
          load_result.held_ms += LOAD_DEADLINE_MS - LOAD_SERVICE_MS;
          continue;
        }
      load_now = start + LOAD_SERVICE_MS;
      slots[first] = load_now;
      count_end (i);
    }
  return load_result;
}

static void
test_overload_serves_more_in_time_than_fifo (void)
{
  for (uint64_t seed = 1; seed <= 5; seed++)
    {
      struct rng rng;
      rng_init (&rng, seed);
      make_arrivals (&rng);
      struct load_result fifo = simulate_fifo ();
      struct load_result admission = simulate_queue ();
      size_t served = admission.in_time + admission.late;
      /* At 130% of the capacity at most 77% of the requests can be served. */
      CU_ASSERT (admission.in_time > 2 * fifo.in_time);
      CU_ASSERT (admission.in_time * 100 > LOAD_REQUESTS * 55);
      CU_ASSERT (served * 100 > (fifo.in_time + fifo.late) * 95);
      CU_ASSERT (admission.held_ms < fifo.held_ms);
    }
}

/// The first samples of a target are slow, and those of one kind only. A kind
/// with a shorter deadline has no sample of its own and gets none while it is
/// refused.
static void
test_slow_samples_of_other_kinds_decay (void)
{
  static const uint64_t slow_ms[] = { 300, 2000 };
  for (size_t i = 0; i < sizeof slow_ms / sizeof slow_ms[0]; i++)
    {
      set_up (4);
      record_service (slow_ms[i]);
      uint64_t now_ms = slow_ms[i] + 6000;
      struct admission_queue_work work = { .kind = 2,
                                           .objective_ms = now_ms + 60,
                                           .deadline_ms = now_ms + 200 };
      enum admit_refusal why;
      CU_ASSERT_EQUAL (admission_queue_offer (&queue, &tickets[0], &work,
                                              now_ms * 1000, &why),
                       STATUS_OK);
    }
}

/// What does not depend on the order holds for both policies.
static void
test_common_by_cost (void)
{
  mode = ADMISSION_COST;
  test_refuses_work_that_cannot_finish_in_time ();
  test_never_more_than_slots ();
  test_drain_refuses_queued_and_new ();
  test_cancelled_ticket_never_starts ();
  test_old_service_times_decay ();
  test_slow_samples_of_other_kinds_decay ();
  test_link_limits_large_responses ();
  mode = ADMISSION_RANK;
}

/// Without samples nothing is known of the work, so the rank decides.
static void
test_unknown_work_by_rank (void)
{
  mode = ADMISSION_COST;
  set_up (1);
  mode = ADMISSION_RANK;
  offer (0, 1, 5000, 9000, 0);
  for (size_t i = 1; i < 4; i++)
    {
      struct admission_queue_work work = { .kind = 10 + (uint32_t)i,
                                           .rank = 4 - (uint32_t)i,
                                           .objective_ms = 5000,
                                           .deadline_ms = 9000 };
      enum admit_refusal why;
      admission_queue_offer (&queue, &tickets[i], &work, 0, &why);
    }
  for (size_t i = 0; i < 3; i++)
    {
      admission_queue_finish (&queue, &tickets[i == 0 ? 0 : order[i - 1]],
                              false, (1 + i) * 1000);
      CU_ASSERT_EQUAL (order[i], 3 - i);
    }
}

/// The configuration may enable or disable accounts at any time.
static void
test_mode_changes_while_queued (void)
{
  set_up (1);
  record_service (10);
  for (size_t i = 0; i < 4; i++)
    offer (i, 1, 5000, 9000, 0);
  admission_queue_set_mode (&queue, ADMISSION_COST, 1000);
  offer (4, 0, 5000, 9000, 1);
  CU_ASSERT_EQUAL (queue.queued, 4);
  admission_queue_finish (&queue, &tickets[0], true, 10 * 1000);
  CU_ASSERT_EQUAL (order[0], 4);
  admission_queue_set_mode (&queue, ADMISSION_RANK, 11000);
  for (size_t i = 0; i < 3; i++)
    admission_queue_finish (&queue, &tickets[order[i]], true,
                            (20 + 10 * i) * 1000);
  CU_ASSERT_EQUAL (started, 4);
  CU_ASSERT_EQUAL (refused, 0);
}

/// A slot that is kept free by cost is used by rank, at once.
static void
test_kept_slot_is_used_after_a_change (void)
{
  mode = ADMISSION_COST;
  set_up (4);
  mode = ADMISSION_RANK;
  record_service (100);
  offer (0, 1, 5000, 9000, 1000);
  queue.cost.reserve = true;
  for (size_t i = 1; i < 4; i++)
    offer (i, 1, 5000, 9000, 1000);
  CU_ASSERT_EQUAL (queue.running, 3);
  CU_ASSERT_EQUAL (queue.queued, 1);
  admission_queue_set_mode (&queue, ADMISSION_RANK, 1000 * 1000);
  CU_ASSERT_EQUAL (queue.running, 4);
  CU_ASSERT_EQUAL (started, 1);
}

/// The target may run a request on after its caller left, and then resets the
/// connection of one more.
static void
test_abandoned_work_keeps_its_slot (void)
{
  mode = ADMISSION_COST;
  set_up (1);
  mode = ADMISSION_RANK;
  record_service (100);
  offer (0, 1, 5000, 9000, 100);
  offer (1, 1, 5000, 9000, 100);
  admission_queue_abandon (&queue, &tickets[0], 140 * 1000);
  CU_ASSERT_EQUAL (started, 0);
  CU_ASSERT_EQUAL (queue.running, 1);
  admission_queue_expire (&queue, 190 * 1000);
  CU_ASSERT_EQUAL (started, 0);
  admission_queue_expire (&queue, 200 * 1000);
  CU_ASSERT_EQUAL (started, 1);
  /* Without a queue, the next offer finds the slot free again. */
  admission_queue_abandon (&queue, &tickets[1], 210 * 1000);
  CU_ASSERT_EQUAL (offer (2, 1, 5000, 9000, 400), ADMIT_RUNNING);
  admission_queue_abandon (&queue, &tickets[2], 400 * 1000);
  admission_queue_set_slots (&queue, 0, 400 * 1000);
  CU_ASSERT_EQUAL (queue.running, 0);
}

static void
test_full_queue_keeps_the_best (void)
{
  static struct admission_queue_ticket many[ADMISSION_QUEUE_MAX + 2];
  struct admission_queue_work work = {
    .kind = 1, .rank = 1, .objective_ms = 900000, .deadline_ms = 1000000
  };
  enum admit_refusal why;
  memset (many, 0, sizeof many);
  mode = ADMISSION_COST;
  set_up (1);
  mode = ADMISSION_RANK;
  record_service (10);
  for (size_t i = 0; i <= ADMISSION_QUEUE_MAX; i++)
    admission_queue_offer (&queue, &many[i], &work, 0, &why);
  CU_ASSERT_EQUAL (queue.queued, ADMISSION_QUEUE_MAX);
  work.rank = 0;
  CU_ASSERT_EQUAL (admission_queue_offer (
                       &queue, &many[ADMISSION_QUEUE_MAX + 1], &work, 0, &why),
                   STATUS_OK);
  CU_ASSERT_EQUAL (refused, 1);
  CU_ASSERT_EQUAL (reasons[0], ADMIT_REFUSED_FULL);
  CU_ASSERT_EQUAL (queue.queued, ADMISSION_QUEUE_MAX);
}

/// Forty requests arrive at a target with four slots that takes 400 ms for
/// each. Six of those that wait can meet the objective of 1,000 ms. Late work
/// gets a twentieth of the slots, one request in two seconds, so that one more
/// can end before the deadline of 4 s.
static void
test_late_work_is_refused_on_arrival (void)
{
  static const struct
  {
    bool speed;
    size_t queued_most;
  } cases[] = { { false, 36 }, { true, 8 } };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct target_speed speed = { 0 };
      set_up (4);
      record_service (400);
      if (cases[i].speed)
        {
          target_speed_note (&speed, 100, 1000);
          queue.speed = &speed;
        }
      for (size_t k = 0; k < 40; k++)
        offer (k, 1, 1000 + k, 4000 + k, 1);
      CU_ASSERT (queue.queued >= 6);
      CU_ASSERT (queue.queued <= cases[i].queued_most);
      CU_ASSERT_EQUAL (queue.queued == 36, !cases[i].speed);
      CU_ASSERT_EQUAL (refused, 0); /* none was queued before */
    }
}

int
main (void)
{
  static const struct test_case cases[] = {
    { "queued work starts in another order than rank, objective, deadline",
      test_order_of_start },
    { "work is accepted that cannot end before its deadline",
      test_refuses_work_that_cannot_finish_in_time },
    { "more work runs than the target has slots", test_never_more_than_slots },
    { "a draining target still gets queued or new work",
      test_drain_refuses_queued_and_new },
    { "work whose caller left is started",
      test_cancelled_ticket_never_starts },
    { "late work stays queued although it will not get a slot in time",
      test_unservable_are_refused_early },
    { "a kind of work that was slow once is refused for good",
      test_old_service_times_decay },
    { "a kind without samples is refused for good after slow ones of others",
      test_slow_samples_of_other_kinds_decay },
    { "large responses share a link that cannot carry them",
      test_link_limits_large_responses },
    { "an overloaded queue serves too few requests in time",
      test_overload_serves_more_in_time_than_fifo },
    { "shedding by cost breaks what holds for any order",
      test_common_by_cost },
    { "work without samples starts in another order than rank",
      test_unknown_work_by_rank },
    { "queued work is lost or stuck when the policy changes",
      test_mode_changes_while_queued },
    { "work whose caller left gives its slot away while the target runs it",
      test_abandoned_work_keeps_its_slot },
    { "queued work waits for a free slot after the policy has changed",
      test_kept_slot_is_used_after_a_change },
    { "work that will be late and get no slot is queued until then",
      test_late_work_is_refused_on_arrival },
    { "a full queue refuses work that costs more than what is queued",
      test_full_queue_keeps_the_best },
  };
  return testing_run ("admission queue", cases,
                      sizeof cases / sizeof cases[0]);
}
