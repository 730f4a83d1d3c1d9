/// Owns the evidence and the current step of one move.
#include "coordination/rollout.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#define FULL_SHARE_BP 10000

struct step
{
  uint32_t share_bp;
  uint32_t at_permille; ///< earliest start, of the move's duration
};

#define STEP_COUNT 5

/// Plan of a move whose targets get no known load from a small share. The
/// shares and times keep the requests that reach a faulty version, until a
/// fault under load is detected, below a tenth of the service's requests.
static const struct step default_steps[STEP_COUNT] = {
  { 300, 0 }, { 1000, 500 }, { 2200, 575 }, { 4000, 640 }, { 10000, 710 },
};

/// Step in which the first targets have their load of the end of the move.
#define LOAD_STEP 2

/// Largest share of that step; with fewer than two targets there is none.
#define LOAD_SHARE_BP_MAX 5000

/// Part of the service's requests that the load step may expose, permille. It
/// leaves a tenth of all requests with the first steps and the time until all
/// nodes have the rollback.
#define LOAD_EXPOSURE_PERMILLE 68

/// Earliest start of the load step, permille of the duration: the rare kinds
/// are measured before.
#define LOAD_AT_PERMILLE_MIN 400

/// Time of the step before the load step, permille of the duration. It limits
/// what a version meets that fails at a tenth of the requests.
#define BEFORE_LOAD_PERMILLE 60

/// Requests that the new version must have served in a step.
#define STEP_CALLS 10

/// How long a step waits for more requests at most, as a fraction of the
/// duration: a service with few requests must also be moved by the deadline.
#define WAIT_MAX_PERMILLE 140

/// Requests of each kind that the new version should serve in the first step,
/// and the largest share of a kind to get them.
#define KIND_CALLS 20
#define KIND_SHARE_BP_MAX 4000

/// The move does not wait for kinds with a smaller fraction of the service's
/// requests: they have too few to be judged before the deadline.
#define KIND_PERMILLE_MIN 4

/// Time for which the rates of the kinds are measured before their shares are
/// set.
#define KINDS_MEASURE_MS 1500

/// Time after which all nodes have the last share.
#define SETTLE_MS 900

/// A move ends this long before its deadline, which leaves time to write the
/// result to the store.
#define RESERVE_MS 600

/// Bound on the probability of a false alarm in a move. All tests have the
/// same weight.
#define FALSE_ALARM 0.01
#define TEST_COUNT (2 * ROLLOUT_KINDS)

/// Growth limit of the evidence, nats per second. In effect there is none, as
/// a move of seconds cannot wait for more evidence.
#define GROWTH_MAX_PER_S 1e9

/// Evidence from which on the share is not raised and the move is not done: a
/// fault that a small share shows only weakly is tested further first.
#define SUSPICION 0.5

/// Requests of the kind without further evidence that end a suspicion. A
/// single failure while the old version has none gives up to 0.7, and
/// responses without failures take none of it away: one good move in twenty
/// was held until its deadline.
#define CLEAN_CALLS 30

/// The same for a weak suspicion when the step is late: a rare kind does not
/// get more requests before the deadline.
#define SUSPICION_WEAK 2.0
#define CLEAN_CALLS_LATE 15

/// Suspicion that lasts, also at the deadline.
#define SUSPICION_STRONG 10.0

/// Decay of the old version's counts at each evaluation. A rare kind has too
/// few requests between two evaluations; the memory is still short enough for
/// a fault that hits both versions to show in these counts soon.
#define OLD_DECAY 0.9

/// A response is slow when it is more than this many buckets above the old
/// version's 90th percentile, about three times as long.
#define SLOW_BUCKETS 3

/// Responses of the old version that are needed for a percentile.
#define SLOW_CALLS_MIN 20

static const struct seqtest_ratios failure_ratios
    = { .tolerated = 2, .fault = { 6, 16, 40, 100, 300 } };
static const struct seqtest_ratios slow_ratios
    = { .tolerated = 3, .fault = { 8, 20, 50, 120, 400 } };

void
rollout_init (struct rollout *rollout, uint64_t duration_ms, uint64_t now_ms)
{
  memset (rollout, 0, sizeof *rollout);
  rollout->started_ms = now_ms;
  rollout->deadline_ms = now_ms + duration_ms;
  rollout->step_ms = now_ms;
  rollout->share_bp = default_steps[0].share_bp;
}

void
rollout_resume (struct rollout *rollout, uint32_t share_bp, uint64_t now_ms)
{
  while (rollout->step + 2 < STEP_COUNT
         && default_steps[rollout->step].share_bp < share_bp)
    rollout->step++;
  if (share_bp >= FULL_SHARE_BP)
    rollout->step = STEP_COUNT - 1;
  rollout->step_ms = now_ms;
  if (rollout->share_bp < share_bp)
    rollout->share_bp = share_bp;
}

uint32_t
rollout_share (const struct rollout *rollout)
{
  return rollout->share_bp;
}

/// @return the part of a share that loads whole targets
static uint32_t
whole_targets_bp (uint32_t share_bp, uint32_t load_share_bp)
{
  return share_bp < load_share_bp ? load_share_bp
                                  : share_bp / load_share_bp * load_share_bp;
}

/// Makes the plan of a move whose first target has its later load at
/// `load_share_bp` basis points, 0 if unknown.
static void
make_plan (uint32_t load_share_bp, struct step plan[STEP_COUNT])
{
  memcpy (plan, default_steps, sizeof default_steps);
  if (load_share_bp == 0 || load_share_bp > LOAD_SHARE_BP_MAX)
    return;
  struct step *load = &plan[LOAD_STEP];
  uint32_t end = plan[STEP_COUNT - 1].at_permille;
  load->share_bp = whole_targets_bp (1000, load_share_bp);
  uint32_t length = LOAD_EXPOSURE_PERMILLE * FULL_SHARE_BP / load->share_bp;
  load->at_permille = end > LOAD_AT_PERMILLE_MIN + length
                          ? end - length
                          : LOAD_AT_PERMILLE_MIN;
  plan[LOAD_STEP - 1].at_permille = load->at_permille - BEFORE_LOAD_PERMILLE;
  if (plan[LOAD_STEP - 1].share_bp > load->share_bp)
    plan[LOAD_STEP - 1].share_bp = load->share_bp;
  plan[LOAD_STEP + 1].share_bp
      = whole_targets_bp (plan[LOAD_STEP + 1].share_bp, load_share_bp);
}

/// @return the next step of the plan with a larger share
static size_t
next_step (const struct rollout *rollout, const struct step plan[STEP_COUNT])
{
  size_t next = rollout->step + 1;
  while (next + 1 < STEP_COUNT && plan[next].share_bp <= rollout->share_bp)
    next++;
  return next;
}

size_t
rollout_bucket (uint32_t latency_us)
{
  size_t bucket = 0;
  uint64_t limit = 1000;
  while (bucket + 1 < ROLLOUT_BUCKETS && latency_us >= limit)
    {
      bucket++;
      limit = bucket % 2 == 1 ? limit * 1414 / 1000 : limit * 1415 / 1000;
    }
  return bucket;
}

static struct rollout_kind *
find_kind (struct rollout *rollout, uint32_t kind)
{
  for (size_t i = 0; i < rollout->kind_count; i++)
    if (rollout->kinds[i].kind == kind)
      return &rollout->kinds[i];
  if (rollout->kind_count == ROLLOUT_KINDS)
    return &rollout->kinds[ROLLOUT_KINDS - 1];
  struct rollout_kind *entry = &rollout->kinds[rollout->kind_count++];
  entry->kind = kind;
  entry->share_bp = default_steps[0].share_bp;
  seqtest_init (&entry->failures);
  seqtest_init (&entry->slow);
  seqtest_start (&entry->failures, 1.0 / TEST_COUNT);
  seqtest_start (&entry->slow, 1.0 / TEST_COUNT);
  return entry;
}

static void
add_counts (struct rollout_counts *sum, const struct rollout_counts *delta)
{
  sum->calls += delta->calls;
  sum->failures += delta->failures;
  for (size_t i = 0; i < ROLLOUT_BUCKETS; i++)
    sum->latency[i] += delta->latency[i];
}

void
rollout_add (struct rollout *rollout, enum rollout_side side, uint32_t kind,
             const struct rollout_counts *delta)
{
  struct rollout_kind *entry = find_kind (rollout, kind);
  add_counts (&entry->all[side], delta);
  add_counts (&entry->pending[side], delta);
}

/// @return bucket above which a response counts as slow; ROLLOUT_BUCKETS when
///         there are too few responses
static size_t
slow_bucket (const struct rollout_counts *old)
{
  uint32_t seen = 0;
  uint32_t total = 0;
  for (size_t i = 0; i < ROLLOUT_BUCKETS; i++)
    total += old->latency[i];
  if (total < SLOW_CALLS_MIN)
    return ROLLOUT_BUCKETS;
  size_t bucket = 0;
  while (bucket < ROLLOUT_BUCKETS
         && (seen += old->latency[bucket]) * 10 < total * 9)
    bucket++;
  return bucket + SLOW_BUCKETS;
}

static void
count_slow (const struct rollout_counts *counts, size_t above,
            uint32_t *responses, uint32_t *slow)
{
  *responses = 0;
  *slow = 0;
  for (size_t i = 0; i < ROLLOUT_BUCKETS; i++)
    {
      *responses += counts->latency[i];
      if (i > above)
        *slow += counts->latency[i];
    }
}

/// Passes the new counts of a kind to its tests.
/// @param measure  set to the name of the test with the stronger evidence
/// @return that evidence; significant from 1 / FALSE_ALARM on
static double
update_tests (struct rollout_kind *kind, uint64_t now_ms, const char **measure)
{
  const struct rollout_counts *new = &kind->pending[ROLLOUT_NEW];
  const struct rollout_counts *old = &kind->pending[ROLLOUT_OLD];
  double ratios[SEQTEST_RATIOS];
  uint32_t responses;
  uint32_t slow_responses;
  size_t above = slow_bucket (&kind->all[ROLLOUT_OLD]);
  count_slow (old, above, &responses, &slow_responses);
  kind->old_calls = kind->old_calls * OLD_DECAY + old->calls;
  kind->old_failures = kind->old_failures * OLD_DECAY + old->failures;
  kind->old_responses = kind->old_responses * OLD_DECAY + responses;
  kind->old_slow = kind->old_slow * OLD_DECAY + slow_responses;
  struct seqtest_block block = {
    .new_calls = new->calls,
    .new_events = new->failures,
    .old_calls = (uint32_t)kind->old_calls,
    .old_events
    = (uint32_t)fmin (kind->old_failures + 0.5, floor (kind->old_calls)),
  };
  seqtest_log_ratios (&failure_ratios, &block, ratios);
  seqtest_update (&kind->failures, ratios, now_ms, GROWTH_MAX_PER_S);
  count_slow (new, above, &block.new_calls, &block.new_events);
  block.old_calls = (uint32_t)kind->old_responses;
  block.old_events
      = (uint32_t)fmin (kind->old_slow + 0.5, floor (kind->old_responses));
  seqtest_log_ratios (&slow_ratios, &block, ratios);
  seqtest_update (&kind->slow, ratios, now_ms, GROWTH_MAX_PER_S);
  memset (kind->pending, 0, sizeof kind->pending);
  double failures = seqtest_value (&kind->failures);
  double slow = seqtest_value (&kind->slow);
  *measure = failures >= slow ? "failures" : "slow responses";
  return failures >= slow ? failures : slow;
}

static uint32_t
new_version_calls (const struct rollout *rollout)
{
  uint32_t calls = 0;
  for (size_t i = 0; i < rollout->kind_count; i++)
    calls += rollout->kinds[i].all[ROLLOUT_NEW].calls;
  return calls;
}

static uint32_t
kind_calls (const struct rollout_kind *kind)
{
  return kind->all[ROLLOUT_OLD].calls + kind->all[ROLLOUT_NEW].calls;
}

static uint32_t
total_calls (const struct rollout *rollout)
{
  uint32_t calls = 0;
  for (size_t i = 0; i < rollout->kind_count; i++)
    calls += kind_calls (&rollout->kinds[i]);
  return calls;
}

/// Sets the share of each kind for the first step so that the new version
/// serves enough requests of it.
/// @return true when a share rose by more than a quarter and should be
///         published
static bool
set_kind_shares (struct rollout *rollout, uint32_t first_step_permille,
                 uint64_t now_ms)
{
  uint64_t elapsed_ms = now_ms - rollout->started_ms;
  uint64_t first_step_ms = (rollout->deadline_ms - rollout->started_ms)
                           * first_step_permille / 1000;
  bool changed = false;
  if (elapsed_ms < KINDS_MEASURE_MS || rollout->kind_shares_ms != 0
      || elapsed_ms >= first_step_ms)
    return false;
  rollout->kind_shares_ms = now_ms;
  for (size_t i = 0; i < rollout->kind_count; i++)
    {
      struct rollout_kind *kind = &rollout->kinds[i];
      uint64_t expected = (uint64_t)kind_calls (kind)
                          * (first_step_ms - elapsed_ms) / elapsed_ms;
      uint64_t share
          = expected == 0 ? KIND_SHARE_BP_MAX : KIND_CALLS * 10000 / expected;
      if (share < default_steps[0].share_bp)
        share = default_steps[0].share_bp;
      if (share > KIND_SHARE_BP_MAX)
        share = KIND_SHARE_BP_MAX;
      changed = changed || share > kind->share_bp + kind->share_bp / 4;
      kind->share_bp = (uint32_t)share;
    }
  return changed;
}

/// @return true when the new version has served enough requests of each kind
static bool
kinds_served (const struct rollout *rollout)
{
  uint32_t total = total_calls (rollout);
  for (size_t i = 0; i < rollout->kind_count; i++)
    {
      const struct rollout_kind *kind = &rollout->kinds[i];
      if ((uint64_t)kind_calls (kind) * 1000
              >= (uint64_t)total * KIND_PERMILLE_MIN
          && kind->all[ROLLOUT_NEW].calls < KIND_CALLS / 2)
        return false;
    }
  return rollout->kind_count > 0;
}

/// @return true while more requests are needed to tell a weak fault from
/// chance
static bool
is_suspicious (const struct rollout *rollout, bool late)
{
  for (size_t i = 0; i < rollout->kind_count; i++)
    {
      const struct rollout_kind *kind = &rollout->kinds[i];
      uint32_t needed = late && kind->evidence < SUSPICION_WEAK
                            ? CLEAN_CALLS_LATE
                            : CLEAN_CALLS;
      bool clean = kind->all[ROLLOUT_NEW].calls - kind->clean_from >= needed;
      if (kind->evidence >= SUSPICION_STRONG
          || (kind->evidence >= SUSPICION && !clean))
        return true;
    }
  return false;
}

static bool
may_step (const struct rollout *rollout, const struct step plan[STEP_COUNT],
          uint64_t now_ms)
{
  uint32_t at = plan[next_step (rollout, plan)].at_permille;
  uint64_t duration = rollout->deadline_ms - rollout->started_ms;
  uint64_t permille = (now_ms - rollout->started_ms) * 1000 / duration;
  uint64_t dwell_ms = duration * (at - plan[rollout->step].at_permille) / 2000;
  bool late = permille >= at + WAIT_MAX_PERMILLE;
  if (permille < at || now_ms - rollout->step_ms < dwell_ms
      || is_suspicious (rollout, late))
    return false;
  return late
         || (new_version_calls (rollout) - rollout->step_calls >= STEP_CALLS
             && kinds_served (rollout));
}

enum rollout_action
rollout_decide (struct rollout *rollout, const struct rollout_view *view,
                uint64_t now_ms)
{
  double strongest = 0;
  struct step plan[STEP_COUNT];
  make_plan (view->load_share_bp, plan);
  for (size_t i = 0; i < rollout->kind_count; i++)
    {
      const char *measure;
      struct rollout_kind *kind = &rollout->kinds[i];
      double evidence = update_tests (kind, now_ms, &measure);
      strongest = fmax (strongest, evidence);
      if (evidence > kind->evidence)
        kind->clean_from = kind->all[ROLLOUT_NEW].calls;
      kind->evidence = evidence;
      if (evidence < 1 / FALSE_ALARM)
        continue;
      snprintf (rollout->reason, sizeof rollout->reason,
                "%s kind=%x new=%u/%u old=%u/%u", measure, kind->kind,
                kind->all[ROLLOUT_NEW].failures, kind->all[ROLLOUT_NEW].calls,
                kind->all[ROLLOUT_OLD].failures, kind->all[ROLLOUT_OLD].calls);
      return ROLLOUT_ROLL_BACK;
    }
  bool last = rollout->step + 1 == STEP_COUNT;
  if (now_ms + RESERVE_MS >= rollout->deadline_ms)
    {
      snprintf (rollout->reason, sizeof rollout->reason, "%s",
                last ? "deadline" : "not done in time");
      return last && view->new_targets > 0 && strongest < SUSPICION_STRONG
                 ? ROLLOUT_FINISH
                 : ROLLOUT_ROLL_BACK;
    }
  if (view->new_targets == 0 || !view->evidence_fresh)
    return ROLLOUT_WAIT;
  if (last)
    return now_ms - rollout->step_ms >= SETTLE_MS && !view->old_busy
                   && !is_suspicious (rollout, false)
               ? ROLLOUT_FINISH
               : ROLLOUT_WAIT;
  if (rollout->step == 0
      && set_kind_shares (rollout, plan[1].at_permille, now_ms))
    {
      snprintf (rollout->reason, sizeof rollout->reason, "shares of kinds");
      return ROLLOUT_SHARE;
    }
  if (!may_step (rollout, plan, now_ms))
    return ROLLOUT_WAIT;
  rollout->step = next_step (rollout, plan);
  rollout->share_bp = plan[rollout->step].share_bp;
  rollout->step_ms = now_ms;
  rollout->step_calls = new_version_calls (rollout);
  for (size_t i = 0; i < rollout->kind_count; i++)
    if (rollout->kinds[i].share_bp < rollout->share_bp)
      rollout->kinds[i].share_bp = rollout->share_bp;
  snprintf (rollout->reason, sizeof rollout->reason, "step %zu",
            rollout->step);
  return ROLLOUT_SHARE;
}
