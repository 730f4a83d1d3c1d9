/// Simulation of the targets of one service in virtual time, under the loads
/// of docs/overload-and-accounts.md, part 4. Requests arrive at random; a
/// refused one is sent to another target, then once more after its
/// Retry-After. Placement knows the queues as nodes do. Included by one test
/// only.
#ifndef HAWTHORNSEAM_TEST_SHED_SIMULATION_H
#define HAWTHORNSEAM_TEST_SHED_SIMULATION_H

#include "base/rng.h"
#include "coordination/admission_queue.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define KINDS_MAX 3
#define QUEUES_MAX 46
#define REQUESTS_MAX 200000
#define EVENTS_MAX (2 * REQUESTS_MAX)
#define TICK_US 50000

/// Sends of one request: to a second target at once, then once more after a
/// Retry-After.
#define ATTEMPTS_MAX 4

/// A machine that is disturbed takes 2.5 times as long.
#define SLOW_FACTOR 2.5

/// 3 in 100 requests need 7 times the usual work.
#define LONG_SHARE 0.03
#define LONG_FACTOR 7

#define ACCOUNTS 40

struct kind
{
  const char *name;
  uint32_t rank;
  uint32_t work_ms;
  uint32_t objective_ms;
  uint32_t deadline_ms;
  double per_s;
  bool inner; ///< calls of other targets, without an account
};

struct service
{
  size_t queues;
  size_t slots;
  size_t kinds;
  struct kind kind[KINDS_MAX];
};

static const struct service races
    = { .queues = 28,
        .slots = 6,
        .kinds = 2,
        .kind = { { "race-summary", 0, 48, 150, 600, 233, false },
                  { "archive-lookup", 2, 300, 1500, 3000, 320, false } } };

static const struct service boards
    = { .queues = 46,
        .slots = 13,
        .kinds = 2,
        .kind = { { "board-view", 2, 170, 600, 1500, 1071, false },
                  { "move-submit", 1, 210, 800, 2000, 370, false } } };

/* Slots, rates and the rank of the calls are not stated; the slots are used to
   seven tenths without a burst. */
static const struct service sessions
    = { .queues = 30,
        .slots = 6,
        .kinds = 3,
        .kind = { { "session-upload", 1, 200, 1000, 2500, 210, false },
                  { "history-read", 2, 660, 2000, 5000, 90, false },
                  { "rules-lookup", 2, 49, 200, 600, 400, true } } };

/// What is to be simulated.
struct plan
{
  const struct service *service;
  enum admission_mode mode;
  double load;  ///< factor of the rates
  double burst; ///< further factor from burst_from_s to burst_to_s
  double burst_from_s;
  double burst_to_s;
  double seconds;
  bool slow_quarter;
  double greedy; ///< factor of account 1 during the burst; 0: no accounts
  uint64_t seed;
};

struct outcome
{
  size_t offered; ///< those of the burst only, as all following members
  size_t in_time;
  size_t late;
  size_t refused;
  size_t lost; ///< served after the deadline
};

struct figures
{
  struct outcome kinds[KINDS_MAX];
  struct outcome accounts[ACCOUNTS + 1];
  struct outcome total;
  double value;
  double slot_s; ///< slot time used in the burst
  size_t held;   ///< refused later than half of their time
  size_t running_max;
};

struct request
{
  struct admission_queue_ticket ticket;
  uint64_t arrived_us;
  uint64_t work_us;
  uint32_t account;
  uint8_t kind;
  uint8_t queue;
  uint8_t attempts;
  bool counted;
};

enum event_type
{
  EVENT_ARRIVE,
  EVENT_END,
  EVENT_TICK
};

struct event
{
  uint64_t at_us;
  uint64_t order; ///< events at the same time keep their order
  enum event_type type;
  uint32_t request;
};

static struct admission_queue queues[QUEUES_MAX];
static struct request requests[REQUESTS_MAX];
static size_t request_count;
static struct event events[EVENTS_MAX];
static size_t event_count;
static uint64_t event_order;
static uint64_t now_us;
static struct rng rng;
static const struct plan *plan;
static struct figures figures;

static bool
is_before (const struct event *a, const struct event *b)
{
  return a->at_us != b->at_us ? a->at_us < b->at_us : a->order < b->order;
}

static void
push (uint64_t at_us, enum event_type type, size_t request)
{
  size_t i = event_count++;
  struct event event = { at_us, event_order++, type, (uint32_t)request };
  for (; i > 0 && is_before (&event, &events[(i - 1) / 2]); i = (i - 1) / 2)
    events[i] = events[(i - 1) / 2];
  events[i] = event;
}

static struct event
pop (void)
{
  struct event first = events[0];
  struct event last = events[--event_count];
  size_t i = 0;
  for (;;)
    {
      size_t child = 2 * i + 1;
      if (child >= event_count)
        break;
      if (child + 1 < event_count
          && is_before (&events[child + 1], &events[child]))
        child++;
      if (is_before (&last, &events[child]))
        break;
      events[i] = events[child];
      i = child;
    }
  events[i] = last;
  return first;
}

static const struct kind *
kind_of (const struct request *request)
{
  return &plan->service->kind[request->kind];
}

static uint64_t
deadline_us (const struct request *request)
{
  return request->arrived_us + kind_of (request)->deadline_ms * 1000ULL;
}

static void
count_end (const struct request *request, size_t offset)
{
  if (!request->counted)
    return;
  struct outcome *const counted[]
      = { &figures.kinds[request->kind], &figures.accounts[request->account],
          &figures.total };
  for (size_t i = 0; i < 3; i++)
    (*(size_t *)((char *)counted[i] + offset))++;
}

/// Value of a late response: 0.3 to 0.75 by kind; the mean is used.
#define LATE_VALUE 0.5

static void
count_served (const struct request *request)
{
  uint64_t took_us = now_us - request->arrived_us;
  bool in_time = took_us <= kind_of (request)->objective_ms * 1000ULL;
  bool late = !in_time && now_us <= deadline_us (request);
  count_end (request, in_time ? offsetof (struct outcome, in_time)
                      : late  ? offsetof (struct outcome, late)
                              : offsetof (struct outcome, lost));
  if (request->counted)
    figures.value += in_time ? 1 : late ? LATE_VALUE : 0;
}

static void
start (struct request *request)
{
  bool slow = plan->slow_quarter && request->queue % 4 == 0;
  double took_us = (double)request->work_us * (slow ? SLOW_FACTOR : 1);
  const struct admission_queue *queue = &queues[request->queue];
  if (queue->running > figures.running_max)
    figures.running_max = queue->running;
  if (request->counted)
    figures.slot_s += took_us / 1e6;
  push (now_us + (uint64_t)took_us, EVENT_END, (size_t)(request - requests));
}

static uint64_t
retry_after_us (struct request *request)
{
  struct admission_queue *queue = &queues[request->queue];
  if (plan->mode == ADMISSION_COST)
    return admission_queue_retry_after_us (queue, &request->ticket,
                                           rng_unit (&rng), now_us);
  /* As sidecar_inbound.c does for ADMISSION_RANK. */
  uint64_t wait_us = admission_queue_wait_us (queue, request->kind,
                                              kind_of (request)->rank);
  if (wait_us < 100000)
    wait_us = 100000;
  if (wait_us > 2000000)
    wait_us = 2000000;
  return wait_us / 2 + rng_below (&rng, wait_us + 1);
}

/// Sends a refused request to another target, or later again.
static void
resend (struct request *request)
{
  uint64_t left_us
      = deadline_us (request) > now_us ? deadline_us (request) - now_us : 0;
  uint64_t after_us = retry_after_us (request);
  if (++request->attempts % 2 == 1)
    push (now_us, EVENT_ARRIVE, (size_t)(request - requests));
  else if (request->attempts < ATTEMPTS_MAX && after_us <= left_us / 3)
    push (now_us + after_us, EVENT_ARRIVE, (size_t)(request - requests));
  else
    {
      count_end (request, offsetof (struct outcome, refused));
      figures.held
          += request->counted
             && left_us < kind_of (request)->deadline_ms * 1000ULL / 4;
    }
}

static struct request *
request_of (struct admission_queue_ticket *ticket)
{
  return (struct request *)((char *)ticket
                            - offsetof (struct request, ticket));
}

static void
on_run (void *arg, struct admission_queue_ticket *ticket)
{
  start (request_of (ticket));
}

static void
on_refuse (void *arg, struct admission_queue_ticket *ticket,
           enum admit_refusal why)
{
  resend (request_of (ticket));
}

static const struct admission_queue_ops ops
    = { .run = on_run, .refuse = on_refuse };

/// @return expected wait at a queue, as nodes see it from its load header
static double
load_of (size_t index)
{
  const struct admission_queue *queue = &queues[index];
  return (double)(queue->running + queue->queued + 1) / (double)queue->slots
         * (queue->mean_us + 1000.0);
}

/// @return the better of two random queues
static size_t
place (size_t avoid)
{
  size_t count = plan->service->queues;
  size_t a = rng_below (&rng, count);
  size_t b = rng_below (&rng, count);
  if (count > 1 && a == avoid)
    a = (a + 1) % count;
  if (count > 1 && b == avoid)
    b = (b + 1) % count;
  return load_of (a) <= load_of (b) ? a : b;
}

static void
arrive (struct request *request)
{
  const struct kind *kind = kind_of (request);
  request->queue
      = (uint8_t)place (request->attempts > 0 ? request->queue : SIZE_MAX);
  struct admission_queue_work work = {
    .kind = request->kind + 1U,
    .rank = kind->rank,
    .objective_ms = request->arrived_us / 1000 + kind->objective_ms,
    .deadline_ms = request->arrived_us / 1000 + kind->deadline_ms,
    .account = request->account,
  };
  enum admit_refusal why;
  memset (&request->ticket, 0, sizeof request->ticket);
  if (admission_queue_offer (&queues[request->queue], &request->ticket, &work,
                             now_us, &why)
      != STATUS_OK)
    resend (request);
  else if (request->ticket.state == ADMIT_RUNNING)
    start (request);
}

/// @return work of a request: spread around the mean, a few far longer
static uint64_t
draw_work_us (const struct kind *kind)
{
  double factor = 0.5 + 0.7 * rng_unit (&rng);
  if (rng_unit (&rng) < LONG_SHARE)
    factor = LONG_FACTOR;
  return (uint64_t)(kind->work_ms * 1000.0 * factor);
}

/// @return an account; the shares of the accounts fall as 1 / number
static uint32_t
draw_account (bool in_burst)
{
  double total = 0;
  for (size_t i = 1; i <= ACCOUNTS; i++)
    total += 1.0 / (double)(i + 4) * (i == 1 && in_burst ? plan->greedy : 1);
  double at = rng_unit (&rng) * total;
  for (size_t i = 1; i <= ACCOUNTS; i++)
    {
      at -= 1.0 / (double)(i + 4) * (i == 1 && in_burst ? plan->greedy : 1);
      if (at < 0)
        return (uint32_t)i;
    }
  return ACCOUNTS;
}

/// @return factor of all requests' rate that the greedy account causes
static double
greedy_factor (void)
{
  double total = 0;
  for (size_t i = 1; i <= ACCOUNTS; i++)
    total += 1.0 / (double)(i + 4);
  return 1 + (plan->greedy - 1) * 0.2 / total;
}

static void
make_requests (size_t kind_index)
{
  const struct kind *kind = &plan->service->kind[kind_index];
  double at_s = 0;
  for (;;)
    {
      bool in_burst = at_s >= plan->burst_from_s && at_s < plan->burst_to_s;
      double per_s = kind->per_s * plan->load * (in_burst ? plan->burst : 1);
      if (plan->greedy > 0 && in_burst && !kind->inner)
        per_s *= greedy_factor ();
      at_s += -log (1 - rng_unit (&rng)) / per_s;
      if (at_s >= plan->seconds || request_count == REQUESTS_MAX)
        return;
      struct request *request = &requests[request_count];
      in_burst = at_s >= plan->burst_from_s && at_s < plan->burst_to_s;
      *request = (struct request){
        .arrived_us = 1000000 + (uint64_t)(at_s * 1e6),
        .work_us = draw_work_us (kind),
        .kind = (uint8_t)kind_index,
        .counted = in_burst,
        .account
        = plan->greedy > 0 && !kind->inner ? draw_account (in_burst) : 0,
      };
      count_end (request, offsetof (struct outcome, offered));
      push (request->arrived_us, EVENT_ARRIVE, request_count++);
    }
}

static void
tick (void)
{
  for (size_t i = 0; i < plan->service->queues; i++)
    if (queues[i].queued > 0)
      admission_queue_expire (&queues[i], now_us);
  if (event_count > 0)
    push (now_us + TICK_US, EVENT_TICK, 0);
}

static struct figures
simulate (const struct plan *simulated)
{
  plan = simulated;
  request_count = event_count = 0;
  memset (&figures, 0, sizeof figures);
  rng_init (&rng, plan->seed);
  for (size_t i = 0; i < plan->service->queues; i++)
    {
      admission_queue_init (&queues[i], &ops, NULL);
      admission_queue_set_mode (&queues[i], plan->mode, 1);
      admission_queue_set_slots (&queues[i], plan->service->slots, 1);
    }
  for (size_t i = 0; i < plan->service->kinds; i++)
    make_requests (i);
  push (1000000, EVENT_TICK, 0);
  while (event_count > 0)
    {
      struct event event = pop ();
      struct request *request = &requests[event.request];
      now_us = event.at_us;
      if (event.type == EVENT_ARRIVE)
        arrive (request);
      else if (event.type == EVENT_TICK)
        tick ();
      else
        {
          count_served (request);
          admission_queue_finish (&queues[request->queue], &request->ticket,
                                  true, now_us);
        }
    }
  return figures;
}

#endif
