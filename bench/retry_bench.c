/// Measures retry amplification: calls that reach the lowest of 25 nested
/// services for each call at the top, in virtual time, with the real admission
/// and retry modules.
#include "base/rng.h"
#include "coordination/admit.h"
#include "coordination/retry.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LEVELS 25
#define TARGETS 2
#define SLOTS 16
#define SERVICE_MS 8
#define DEADLINE_MS 100
#define DURATION_MS 20000

/// Twice the capacity of TARGETS * SLOTS, so that half of the calls are shed.
#define CALLS_PER_MS (2 * TARGETS * SLOTS / SERVICE_MS)
#define POOL 8192

/// Retries are at most a tenth of the calls, plus the initial tokens of the
/// retry budget.
#define BOUND_BOTTOM_PER_TOP 1.11

struct call
{
  struct admit_ticket ticket;
  size_t target;
  unsigned tries; ///< 0: this entry of the pool is free
  uint64_t deadline_ms;
  uint64_t ends_ms; ///< when a running call ends
};

static struct call pool[POOL];
static struct admit targets[TARGETS];
static struct retry_budget budgets[LEVELS]; ///< of the node at each level
static uint64_t now_ms;
static uint64_t bottom_calls;
static uint64_t served;
static uint64_t refused;

static void offer (struct call *call);

static struct call *
call_from_ticket (struct admit_ticket *ticket)
{
  return (struct call *)((char *)ticket - offsetof (struct call, ticket));
}

static void
on_run (void *arg, struct admit_ticket *ticket)
{
  call_from_ticket (ticket)->ends_ms = now_ms + SERVICE_MS;
}

/// The node of the lowest service's caller decides whether to retry. If it
/// does not, its target responds with an error, so that no node above retries.
static void
on_refuse (void *arg, struct admit_ticket *ticket, enum admit_refusal refusal)
{
  struct call *call = call_from_ticket (ticket);
  struct retry_attempt last = { .end = CALL_END_REFUSED,
                                .idempotent = true,
                                .attempts = call->tries,
                                .now_ms = now_ms,
                                .deadline_ms = call->deadline_ms };
  if (!retry_take (&budgets[LEVELS - 2], &last))
    {
      refused++;
      call->tries = 0;
      return;
    }
  call->target = (call->target + 1) % TARGETS;
  offer (call);
}

static const struct admit_ops ops = { .run = on_run, .refuse = on_refuse };

static void
offer (struct call *call)
{
  enum admit_refusal refusal;
  bottom_calls++;
  call->tries++;
  memset (&call->ticket, 0, sizeof call->ticket);
  if (admit_offer (&targets[call->target], &call->ticket, call->deadline_ms,
                   now_ms, &refusal)
      != STATUS_OK)
    on_refuse (NULL, &call->ticket, refusal);
  else if (call->ticket.state == ADMIT_RUNNING)
    on_run (NULL, &call->ticket);
}

static void
end_calls (void)
{
  for (size_t i = 0; i < POOL; i++)
    if (pool[i].tries > 0 && pool[i].ticket.state == ADMIT_RUNNING
        && pool[i].ends_ms <= now_ms)
      {
        pool[i].tries = 0;
        served++;
        admit_finish (&targets[pool[i].target], &pool[i].ticket, true, now_ms);
      }
}

/// Runs the load while the lowest service sheds half of its calls.
/// @return calls that reach the lowest service per call at the top
static double
run_shedding (struct rng *rng)
{
  uint64_t top_calls = 0;
  for (size_t i = 0; i < TARGETS; i++)
    {
      admit_init (&targets[i], &ops, NULL);
      admit_set_slots (&targets[i], SLOTS, 0);
    }
  for (now_ms = 1; now_ms <= DURATION_MS; now_ms++)
    {
      end_calls ();
      for (size_t i = 0; i < TARGETS; i++)
        admit_expire (&targets[i], now_ms);
      size_t free_index = 0;
      for (unsigned i = 0; i < CALLS_PER_MS; i++)
        {
          for (size_t level = 0; level + 1 < LEVELS; level++)
            retry_count_call (&budgets[level], now_ms);
          top_calls++;
          while (pool[free_index].tries > 0)
            if (++free_index == POOL)
              abort ();
          struct call *call = &pool[free_index];
          call->target = (size_t)rng_below (rng, TARGETS);
          call->deadline_ms = now_ms + DEADLINE_MS;
          offer (call);
        }
    }
  return (double)bottom_calls / (double)top_calls;
}

/// Runs a call from one level downwards, where every level loses half of the
/// responses that it gets.
/// @param bottom  incremented for each call that reaches the lowest service
/// @return true when the response arrived
static bool
call_lossy (size_t level, struct rng *rng, uint64_t *bottom)
{
  if (level == LEVELS)
    {
      ++*bottom;
      return true;
    }
  struct retry_budget *budget = &budgets[level];
  struct retry_attempt last = { .end = CALL_END_LOST,
                                .idempotent = true,
                                .attempts = 1,
                                .deadline_ms = DEADLINE_MS };
  retry_count_call (budget, 0);
  for (;; last.attempts++)
    {
      call_lossy (level + 1, rng, bottom);
      if (rng_below (rng, 2) == 0)
        return true;
      if (!retry_take (budget, &last))
        return false;
    }
}

int
main (void)
{
  struct rng rng;
  rng_init (&rng, 20260312);
  for (size_t i = 0; i < LEVELS; i++)
    retry_init (&budgets[i], 0);
  double ratio = run_shedding (&rng);
  double shed = (double)refused / (double)(served + refused);
  printf ("retry_nested25_bottom_per_top %.4f calls %.2f %s\n", ratio,
          BOUND_BOTTOM_PER_TOP, ratio <= BOUND_BOTTOM_PER_TOP ? "ok" : "over");
  printf ("retry_nested25_refused_share %.4f share (not judged)\n", shed);

  /* Without a bound: the retries of 25 budgets multiply when every level
     loses responses at once. */
  uint64_t bottom = 0;
  for (size_t i = 0; i < LEVELS; i++)
    retry_init (&budgets[i], 0);
  for (unsigned i = 0; i < 2000; i++)
    call_lossy (0, &rng, &bottom);
  printf ("retry_nested25_all_levels_lossy_bottom_per_top %.2f calls "
          "(not judged)\n",
          (double)bottom / 2000);
  return 0;
}
