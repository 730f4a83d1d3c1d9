/// Owns the evidence and the current step of one move.
#include "coordination/rollout.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

/// Shares of the steps, and the earliest start of each as a fraction of the
/// move's duration. They keep the requests that reach a faulty version, until
/// a fault under load is detected, below a tenth of the service's requests.
static const struct
{
  uint32_t share_bp;
  uint32_t at_permille;
} steps[] = {
  { 300, 0 }, { 1000, 500 }, { 2200, 575 }, { 4000, 640 }, { 10000, 710 },
};

#define STEP_COUNT (sizeof steps / sizeof steps[0])

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

/// Evidence from which on the share is not raised, not even for the deadline:
/// a fault that a small share shows only weakly is tested further before the
/// next step. The evidence against a sound version stays below or falls again.
#define SUSPICION 0.5

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
}

void
rollout_resume (struct rollout *rollout, uint32_t share_bp, uint64_t now_ms)
{
  while (rollout->step + 1 < STEP_COUNT
         && steps[rollout->step].share_bp < share_bp)
    rollout->step++;
  rollout->step_ms = now_ms;
}

uint32_t
rollout_share (const struct rollout *rollout)
{
  return steps[rollout->step].share_bp;
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
  entry->share_bp = steps[0].share_bp;
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
set_kind_shares (struct rollout *rollout, uint64_t now_ms)
{
  uint64_t elapsed_ms = now_ms - rollout->started_ms;
  uint64_t first_step_ms = (rollout->deadline_ms - rollout->started_ms)
                           * steps[1].at_permille / 1000;
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
      if (share < steps[0].share_bp)
        share = steps[0].share_bp;
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

/// @param evidence  strongest evidence against the new version
static bool
may_step (const struct rollout *rollout, double evidence, uint64_t now_ms)
{
  uint64_t duration = rollout->deadline_ms - rollout->started_ms;
  uint64_t permille = (now_ms - rollout->started_ms) * 1000 / duration;
  uint64_t dwell_ms = duration
                      * (steps[rollout->step + 1].at_permille
                         - steps[rollout->step].at_permille)
                      / 2000;
  if (evidence >= SUSPICION || permille < steps[rollout->step + 1].at_permille
      || now_ms - rollout->step_ms < dwell_ms)
    return false;
  bool late
      = permille >= steps[rollout->step + 1].at_permille + WAIT_MAX_PERMILLE;
  return late
         || (new_version_calls (rollout) - rollout->step_calls >= STEP_CALLS
             && kinds_served (rollout));
}

enum rollout_action
rollout_decide (struct rollout *rollout, const struct rollout_view *view,
                uint64_t now_ms)
{
  double strongest = 0;
  for (size_t i = 0; i < rollout->kind_count; i++)
    {
      const char *measure;
      struct rollout_kind *kind = &rollout->kinds[i];
      double evidence = update_tests (kind, now_ms, &measure);
      strongest = fmax (strongest, evidence);
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
      return last && view->new_targets > 0 ? ROLLOUT_FINISH
                                           : ROLLOUT_ROLL_BACK;
    }
  if (view->new_targets == 0 || !view->evidence_fresh)
    return ROLLOUT_WAIT;
  if (last)
    return now_ms - rollout->step_ms >= SETTLE_MS && !view->old_busy
               ? ROLLOUT_FINISH
               : ROLLOUT_WAIT;
  if (rollout->step == 0 && set_kind_shares (rollout, now_ms))
    {
      snprintf (rollout->reason, sizeof rollout->reason, "shares of kinds");
      return ROLLOUT_SHARE;
    }
  if (!may_step (rollout, strongest, now_ms))
    return ROLLOUT_WAIT;
  rollout->step++;
  rollout->step_ms = now_ms;
  rollout->step_calls = new_version_calls (rollout);
  for (size_t i = 0; i < rollout->kind_count; i++)
    if (rollout->kinds[i].share_bp < steps[rollout->step].share_bp)
      rollout->kinds[i].share_bp = steps[rollout->step].share_bp;
  snprintf (rollout->reason, sizeof rollout->reason, "step %zu",
            rollout->step);
  return ROLLOUT_SHARE;
}
