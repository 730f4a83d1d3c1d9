/// Fault injection. Faults are chosen at random from a table, by the seed of
/// the run; each ends after its duration, and several may overlap. Phases with
/// planned work only alternate with phases in which every fault may occur.
#include "soak.h"

#include "base/clock.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/// Length of a phase. Every second one, the first included, has planned work
/// only.
#define PHASE_MS 10000

#define FAULT_INTERVAL_MS_MIN 80
#define FAULT_INTERVAL_MS_SPREAD 500
#define ACTIVE_FAULTS_MAX 32

struct fault
{
  const char *name;
  bool planned;
  bool on_store;
  uint32_t min_ms; ///< range of its duration; 0: it has none
  uint32_t max_ms;
  void (*start) (struct soak_node *node, uint32_t duration_ms);
  void (*end) (struct soak_node *node);
};

struct active
{
  const struct fault *fault; ///< NULL: unused
  struct soak_node *node;
  uint64_t end_ms;
};

static struct active active[ACTIVE_FAULTS_MAX];
static struct event fault_timer;

static enum proxy_side
random_side (struct soak_node *node)
{
  return (enum proxy_side)rng_below (&node->soak->rng, PROXY_SIDES);
}

static void
kill_node (struct soak_node *node, uint32_t duration_ms)
{
  node->exit_expected = true;
  node->restart_ms = clock_monotonic_ms () + duration_ms;
  soak_process_signal (node, SIGKILL);
}

/// Terminates a node; at the end of its grace period it is killed.
static void
terminate_node (struct soak_node *node, uint32_t duration_ms)
{
  if (node->process <= 0 || node->kill_ms != 0)
    return;
  node->exit_expected = true;
  node->kill_ms = clock_monotonic_ms () + node->grace_ms;
  soak_process_signal (node, SIGTERM);
}

static void
pause_node (struct soak_node *node, uint32_t duration_ms)
{
  soak_process_signal (node, SIGSTOP);
}

static void
resume_node (struct soak_node *node)
{
  soak_process_signal (node, SIGCONT);
}

static void
reload_node (struct soak_node *node, uint32_t duration_ms)
{
  soak_process_signal (node, SIGHUP);
}

/// Kills about a third of all nodes at once.
static void
kill_many_nodes (struct soak_node *node, uint32_t duration_ms)
{
  struct soak *soak = node->soak;
  for (size_t i = 0; i < soak->node_count; i++)
    if (rng_below (&soak->rng, 3) == 0)
      {
        soak->nodes[i].faulty_until_ms = clock_monotonic_ms () + duration_ms;
        kill_node (&soak->nodes[i], duration_ms);
      }
}

static void
reset_side (struct soak_node *node, uint32_t duration_ms)
{
  soak_proxy_reset (node->proxies[random_side (node)]);
}

static void
stall_side (struct soak_node *node, uint32_t duration_ms)
{
  soak_proxy_stall (node->proxies[random_side (node)]);
}

static void
delay_side (struct soak_node *node, uint32_t duration_ms)
{
  soak_proxy_delay (node->proxies[random_side (node)],
                    20 + (uint32_t)rng_below (&node->soak->rng, 400));
}

static void
end_delay (struct soak_node *node)
{
  for (int i = 0; i < PROXY_SIDES; i++)
    soak_proxy_delay (node->proxies[i], 0);
}

static void
block_side (struct soak_node *node, uint32_t duration_ms)
{
  soak_proxy_block (node->proxies[random_side (node)],
                    (int)rng_below (&node->soak->rng, 2));
}

static void
end_block (struct soak_node *node)
{
  for (int i = 0; i < PROXY_SIDES; i++)
    soak_proxy_block (node->proxies[i], -1);
}

static void
store_unavailable (struct soak_node *node, uint32_t duration_ms)
{
  soak_store_set_unavailable (true);
}

static void
end_store_unavailable (struct soak_node *node)
{
  soak_store_set_unavailable (false);
}

/// The store accepts calls and answers none.
static void
store_unresponsive (struct soak_node *node, uint32_t duration_ms)
{
  soak_store_set_unresponsive (true);
}

static void
end_store_unresponsive (struct soak_node *node)
{
  soak_store_set_unresponsive (false);
}

/// The store is unavailable, and all leases expire.
static void
store_unavailable_expire (struct soak_node *node, uint32_t duration_ms)
{
  soak_store_set_unavailable (true);
  soak_store_expire_leases ();
}

static void
store_slow (struct soak_node *node, uint32_t duration_ms)
{
  soak_store_set_slow (50 + (uint32_t)rng_below (&node->soak->rng, 900));
}

static void
end_store_slow (struct soak_node *node)
{
  soak_store_set_slow (0);
}

static void
store_lossy (struct soak_node *node, uint32_t duration_ms)
{
  soak_store_set_lossy (300);
}

static void
end_store_lossy (struct soak_node *node)
{
  soak_store_set_lossy (0);
}

static void
store_compact (struct soak_node *node, uint32_t duration_ms)
{
  soak_store_compact_history ();
}

/// At the end of the outage the store comes back from an older copy.
static void
end_store_restore (struct soak_node *node)
{
  soak_store_restore (node->soak);
  soak_store_set_unavailable (false);
}

static void
crash_target (struct soak_node *node, uint32_t duration_ms)
{
  soak_target_crash (node, duration_ms);
}

static void
leave_target (struct soak_node *node, uint32_t duration_ms)
{
  soak_target_leave (node);
}

static void
slow_responses (struct soak_node *node, uint32_t duration_ms)
{
  node->target.slow_factor = 2 + (uint32_t)rng_below (&node->soak->rng, 10);
}

static void
shed_requests (struct soak_node *node, uint32_t duration_ms)
{
  node->target.shed_permille = 500;
}

static void
fail_requests (struct soak_node *node, uint32_t duration_ms)
{
  node->target.fail_permille = 400;
}

static void
abort_responses (struct soak_node *node, uint32_t duration_ms)
{
  node->target.abort_permille = 200;
}

static void
garble_responses (struct soak_node *node, uint32_t duration_ms)
{
  node->target.garble_permille = 200;
}

static void
end_target_faults (struct soak_node *node)
{
  struct soak_target *target = &node->target;
  target->slow_factor = 1;
  target->shed_permille = 0;
  target->fail_permille = 0;
  target->abort_permille = 0;
  target->garble_permille = 0;
}

static void
next_version (struct soak_node *node, uint32_t duration_ms)
{
  soak_store_next_version (node->soak);
}

/// Writes several versions in quick succession.
static void
many_versions (struct soak_node *node, uint32_t duration_ms)
{
  for (int i = 0; i < 4; i++)
    soak_store_next_version (node->soak);
}

static const struct fault faults[] = {
  { "version", true, false, 0, 0, next_version, NULL },
  { "versions", true, false, 0, 0, many_versions, NULL },
  { "reload", true, false, 0, 0, reload_node, NULL },
  { "term", true, false, 0, 0, terminate_node, NULL },
  { "leave", true, false, 0, 0, leave_target, NULL },
  { "kill", false, false, 100, 3000, kill_node, NULL },
  { "herd", false, false, 100, 1500, kill_many_nodes, NULL },
  { "pause", false, false, 200, 5000, pause_node, resume_node },
  { "reset", false, false, 0, 0, reset_side, NULL },
  { "silence", false, false, 0, 0, stall_side, NULL },
  { "delay", false, false, 500, 4000, delay_side, end_delay },
  { "cut", false, false, 500, 5000, block_side, end_block },
  { "store-away", false, true, 300, 5000, store_unavailable,
    end_store_unavailable },
  { "store-lapse", false, true, 2000, 5000, store_unavailable_expire,
    end_store_unavailable },
  { "store-silent", false, true, 1000, 6000, store_unresponsive,
    end_store_unresponsive },
  { "store-slow", false, true, 500, 4000, store_slow, end_store_slow },
  { "store-lossy", false, true, 500, 4000, store_lossy, end_store_lossy },
  { "store-forget", false, true, 0, 0, store_compact, NULL },
  { "store-restore", false, true, 100, 3000, store_unavailable,
    end_store_restore },
  { "crash", false, false, 200, 3000, crash_target, NULL },
  { "slow", false, false, 500, 4000, slow_responses, end_target_faults },
  { "shed", false, false, 500, 4000, shed_requests, end_target_faults },
  { "fail", false, false, 500, 4000, fail_requests, end_target_faults },
  { "lose", false, false, 500, 4000, abort_responses, end_target_faults },
  { "garble", false, false, 500, 4000, garble_responses, end_target_faults },
};

#define FAULTS (sizeof faults / sizeof faults[0])

/// Stalled connections are detected by keep-alive probes; until then the node
/// counts as faulty.
#define STALL_DETECTION_MS 4000

static void
start_fault (struct soak *soak, const struct fault *fault,
             struct soak_node *node)
{
  uint64_t now = clock_monotonic_ms ();
  uint32_t duration_ms = fault->min_ms;
  if (fault->max_ms > fault->min_ms)
    duration_ms
        += (uint32_t)rng_below (&soak->rng, fault->max_ms - fault->min_ms);
  soak_log (soak, "fault %s on %s for %u ms", fault->name, node->name,
            duration_ms);
  uint64_t until_ms = now + duration_ms
                      + (fault->start == stall_side ? STALL_DETECTION_MS : 0);
  if (!fault->planned && until_ms > soak->faulty_until_ms)
    soak->faulty_until_ms = until_ms;
  if (fault->on_store && until_ms > soak->store_faulty_until_ms)
    soak->store_faulty_until_ms = until_ms;
  bool affects_node = (!fault->planned && !fault->on_store)
                      || fault->start == terminate_node;
  if (affects_node && until_ms > node->faulty_until_ms)
    node->faulty_until_ms = until_ms;
  fault->start (node, duration_ms);
  if (fault->end == NULL)
    return;
  for (size_t i = 0; i < ACTIVE_FAULTS_MAX; i++)
    if (active[i].fault == NULL)
      {
        active[i] = (struct active){ fault, node, now + duration_ms };
        return;
      }
  fault->end (node);
}

static void
end_expired_faults (uint64_t now_ms)
{
  for (size_t i = 0; i < ACTIVE_FAULTS_MAX; i++)
    if (active[i].fault != NULL && now_ms >= active[i].end_ms)
      {
        active[i].fault->end (active[i].node);
        active[i].fault = NULL;
      }
}

static void
on_fault_timer (evutil_socket_t fd, short what, void *arg)
{
  struct soak *soak = arg;
  uint64_t now = clock_monotonic_ms ();
  end_expired_faults (now);
  timer_start (&fault_timer,
               FAULT_INTERVAL_MS_MIN
                   + rng_below (&soak->rng, FAULT_INTERVAL_MS_SPREAD));
  if (now >= soak->faults_end_ms)
    return;
  bool planned_only = (now - soak->started_ms) / PHASE_MS % 2 == 0;
  const struct fault *fault;
  do
    fault = &faults[rng_below (&soak->rng, FAULTS)];
  while (planned_only && !fault->planned);
  start_fault (soak, fault,
               &soak->nodes[rng_below (&soak->rng, soak->node_count)]);
}

void
soak_faults_start (struct soak *soak)
{
  evtimer_assign (&fault_timer, soak->base, on_fault_timer, soak);
  timer_start (&fault_timer, 2000);
}

void
soak_faults_stop (void)
{
  event_del (&fault_timer);
}

void
soak_faults_end (struct soak *soak)
{
  end_expired_faults (UINT64_MAX);
  for (size_t i = 0; i < soak->node_count; i++)
    {
      struct soak_node *node = &soak->nodes[i];
      end_target_faults (node);
      end_delay (node);
      end_block (node);
      resume_node (node);
    }
  end_store_unavailable (&soak->nodes[0]);
  end_store_unresponsive (&soak->nodes[0]);
  end_store_slow (&soak->nodes[0]);
  end_store_lossy (&soak->nodes[0]);
}
