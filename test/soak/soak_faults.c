/// Owns the faults in force. Each is chosen from a table by the run's seed and
/// ends by a timer; several overlap. Planned work alternates with phases in
/// which everything may happen.
#include "soak.h"

#include "base/clock.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/// Length of a phase; in every second one only planned work happens.
#define PHASE_MS 10000

#define GAP_MS_MIN 80
#define GAP_MS_SPREAD 500
#define ACTIVE_MAX 32

struct fault
{
  const char *name;
  bool planned;
  bool on_store;
  uint32_t least_ms; ///< shortest and longest time in force; 0: an instant
  uint32_t most_ms;
  void (*start) (struct soak_node *node, uint32_t for_ms);
  void (*end) (struct soak_node *node);
};

struct active
{
  const struct fault *fault; ///< NULL: unused
  struct soak_node *node;
  uint64_t end_ms;
};

static struct active active[ACTIVE_MAX];
static struct event next;

static enum proxy_side
any_side (struct soak_node *node)
{
  return (enum proxy_side)rng_below (&node->soak->rng, PROXY_SIDES);
}

static void
kill_node (struct soak_node *node, uint32_t for_ms)
{
  node->expected_to_end = true;
  node->restart_ms = clock_monotonic_ms () + for_ms;
  soak_process_signal (node, SIGKILL);
}

/// Stops a node in order; it is killed at the end of its grace period.
static void
term_node (struct soak_node *node, uint32_t for_ms)
{
  if (node->process <= 0 || node->kill_ms != 0)
    return;
  node->expected_to_end = true;
  node->kill_ms = clock_monotonic_ms () + SOAK_GRACE_MS;
  soak_process_signal (node, SIGTERM);
}

static void
pause_node (struct soak_node *node, uint32_t for_ms)
{
  soak_process_signal (node, SIGSTOP);
}

static void
continue_node (struct soak_node *node)
{
  soak_process_signal (node, SIGCONT);
}

static void
reload_node (struct soak_node *node, uint32_t for_ms)
{
  soak_process_signal (node, SIGHUP);
}

/// Kills a third of all nodes in one moment.
static void
kill_herd (struct soak_node *node, uint32_t for_ms)
{
  struct soak *soak = node->soak;
  for (size_t i = 0; i < soak->node_count; i++)
    if (rng_below (&soak->rng, 3) == 0)
      {
        soak->nodes[i].harmed_until_ms = clock_monotonic_ms () + for_ms;
        kill_node (&soak->nodes[i], for_ms);
      }
}

static void
reset_side (struct soak_node *node, uint32_t for_ms)
{
  soak_proxy_reset (node->proxies[any_side (node)]);
}

static void
silence_side (struct soak_node *node, uint32_t for_ms)
{
  soak_proxy_silence (node->proxies[any_side (node)]);
}

static void
delay_side (struct soak_node *node, uint32_t for_ms)
{
  soak_proxy_delay (node->proxies[any_side (node)],
                    20 + (uint32_t)rng_below (&node->soak->rng, 400));
}

static void
end_delay (struct soak_node *node)
{
  for (int i = 0; i < PROXY_SIDES; i++)
    soak_proxy_delay (node->proxies[i], 0);
}

static void
cut_side (struct soak_node *node, uint32_t for_ms)
{
  soak_proxy_cut (node->proxies[any_side (node)],
                  (int)rng_below (&node->soak->rng, 2));
}

static void
end_cut (struct soak_node *node)
{
  for (int i = 0; i < PROXY_SIDES; i++)
    soak_proxy_cut (node->proxies[i], -1);
}

static void
store_away (struct soak_node *node, uint32_t for_ms)
{
  soak_store_set_away (true);
}

static void
store_back (struct soak_node *node)
{
  soak_store_set_away (false);
}

/// The store takes calls and answers none.
static void
store_silent (struct soak_node *node, uint32_t for_ms)
{
  soak_store_set_silent (true);
}

static void
end_store_silent (struct soak_node *node)
{
  soak_store_set_silent (false);
}

/// The store is away for so long that all leases lapse.
static void
store_away_lapse (struct soak_node *node, uint32_t for_ms)
{
  soak_store_set_away (true);
  soak_store_lapse_leases ();
}

static void
store_slow (struct soak_node *node, uint32_t for_ms)
{
  soak_store_set_slow (50 + (uint32_t)rng_below (&node->soak->rng, 900));
}

static void
end_store_slow (struct soak_node *node)
{
  soak_store_set_slow (0);
}

static void
store_lossy (struct soak_node *node, uint32_t for_ms)
{
  soak_store_set_lossy (300);
}

static void
end_store_lossy (struct soak_node *node)
{
  soak_store_set_lossy (0);
}

static void
store_forget (struct soak_node *node, uint32_t for_ms)
{
  soak_store_forget_history ();
}

static void
crash_target (struct soak_node *node, uint32_t for_ms)
{
  soak_target_crash (node, for_ms);
}

static void
leave_target (struct soak_node *node, uint32_t for_ms)
{
  soak_target_leave (node);
}

static void
slow_target (struct soak_node *node, uint32_t for_ms)
{
  node->target.slow_factor = 2 + (uint32_t)rng_below (&node->soak->rng, 10);
}

static void
shed_target (struct soak_node *node, uint32_t for_ms)
{
  node->target.shed_permille = 500;
}

static void
fail_target (struct soak_node *node, uint32_t for_ms)
{
  node->target.fail_permille = 400;
}

static void
lose_target (struct soak_node *node, uint32_t for_ms)
{
  node->target.lose_permille = 200;
}

static void
garble_target (struct soak_node *node, uint32_t for_ms)
{
  node->target.garble_permille = 200;
}

static void
heal_target (struct soak_node *node)
{
  struct soak_target *target = &node->target;
  target->slow_factor = 1;
  target->shed_permille = 0;
  target->fail_permille = 0;
  target->lose_permille = 0;
  target->garble_permille = 0;
}

static void
next_version (struct soak_node *node, uint32_t for_ms)
{
  soak_store_next_version (node->soak);
}

/// Versions in quick succession.
static void
many_versions (struct soak_node *node, uint32_t for_ms)
{
  for (int i = 0; i < 4; i++)
    soak_store_next_version (node->soak);
}

static const struct fault faults[] = {
  { "version", true, false, 0, 0, next_version, NULL },
  { "versions", true, false, 0, 0, many_versions, NULL },
  { "reload", true, false, 0, 0, reload_node, NULL },
  { "term", true, false, 0, 0, term_node, NULL },
  { "leave", true, false, 0, 0, leave_target, NULL },
  { "kill", false, false, 100, 3000, kill_node, NULL },
  { "herd", false, false, 100, 1500, kill_herd, NULL },
  { "pause", false, false, 200, 5000, pause_node, continue_node },
  { "reset", false, false, 0, 0, reset_side, NULL },
  { "silence", false, false, 0, 0, silence_side, NULL },
  { "delay", false, false, 500, 4000, delay_side, end_delay },
  { "cut", false, false, 500, 5000, cut_side, end_cut },
  { "store-away", false, true, 300, 5000, store_away, store_back },
  { "store-lapse", false, true, 2000, 5000, store_away_lapse, store_back },
  { "store-silent", false, true, 1000, 6000, store_silent, end_store_silent },
  { "store-slow", false, true, 500, 4000, store_slow, end_store_slow },
  { "store-lossy", false, true, 500, 4000, store_lossy, end_store_lossy },
  { "store-forget", false, true, 0, 0, store_forget, NULL },
  { "crash", false, false, 200, 3000, crash_target, NULL },
  { "slow", false, false, 500, 4000, slow_target, heal_target },
  { "shed", false, false, 500, 4000, shed_target, heal_target },
  { "fail", false, false, 500, 4000, fail_target, heal_target },
  { "lose", false, false, 500, 4000, lose_target, heal_target },
  { "garble", false, false, 500, 4000, garble_target, heal_target },
};

#define FAULTS (sizeof faults / sizeof faults[0])

/// Silent connections are found by keep-alive probes; until then the node is
/// not in touch.
#define SILENCE_FOUND_MS 4000

static void
begin (struct soak *soak, const struct fault *fault, struct soak_node *node)
{
  uint64_t now = clock_monotonic_ms ();
  uint32_t for_ms = fault->least_ms;
  if (fault->most_ms > fault->least_ms)
    for_ms
        += (uint32_t)rng_below (&soak->rng, fault->most_ms - fault->least_ms);
  soak_note (soak, "fault %s on %s for %u ms", fault->name, node->name,
             for_ms);
  uint64_t until_ms
      = now + for_ms + (fault->start == silence_side ? SILENCE_FOUND_MS : 0);
  if (!fault->planned && until_ms > soak->harmed_until_ms)
    soak->harmed_until_ms = until_ms;
  if (fault->on_store && until_ms > soak->store_harmed_until_ms)
    soak->store_harmed_until_ms = until_ms;
  bool harms_node
      = (!fault->planned && !fault->on_store) || fault->start == term_node;
  if (harms_node && until_ms > node->harmed_until_ms)
    node->harmed_until_ms = until_ms;
  fault->start (node, for_ms);
  if (fault->end == NULL)
    return;
  for (size_t i = 0; i < ACTIVE_MAX; i++)
    if (active[i].fault == NULL)
      {
        active[i] = (struct active){ fault, node, now + for_ms };
        return;
      }
  fault->end (node);
}

static void
end_due (uint64_t now_ms)
{
  for (size_t i = 0; i < ACTIVE_MAX; i++)
    if (active[i].fault != NULL && now_ms >= active[i].end_ms)
      {
        active[i].fault->end (active[i].node);
        active[i].fault = NULL;
      }
}

static void
on_next (evutil_socket_t fd, short what, void *arg)
{
  struct soak *soak = arg;
  uint64_t now = clock_monotonic_ms ();
  end_due (now);
  timer_start (&next, GAP_MS_MIN + rng_below (&soak->rng, GAP_MS_SPREAD));
  if (now >= soak->faults_end_ms)
    return;
  bool planned_only = (now - soak->started_ms) / PHASE_MS % 2 == 0;
  const struct fault *fault;
  do
    fault = &faults[rng_below (&soak->rng, FAULTS)];
  while (planned_only && !fault->planned);
  begin (soak, fault, &soak->nodes[rng_below (&soak->rng, soak->node_count)]);
}

void
soak_faults_start (struct soak *soak)
{
  evtimer_assign (&next, soak->base, on_next, soak);
  timer_start (&next, 2000);
}

void
soak_faults_heal (struct soak *soak)
{
  end_due (UINT64_MAX);
  for (size_t i = 0; i < soak->node_count; i++)
    {
      struct soak_node *node = &soak->nodes[i];
      heal_target (node);
      end_delay (node);
      end_cut (node);
      continue_node (node);
    }
  store_back (&soak->nodes[0]);
  end_store_silent (&soak->nodes[0]);
  end_store_slow (&soak->nodes[0]);
  end_store_lossy (&soak->nodes[0]);
}
