/// Owns the arithmetic of the sequential test. Sources: Robbins 1970 (mixture
/// tests and Ville's inequality); Hoeffding 1963 (the binomial distribution
/// dominates the hypergeometric one in convex order); Pollak 1985 (starting
/// times with a prior).
#include "coordination/seqtest.h"

#include <assert.h>
#include <math.h>
#include <stdbool.h>
#include <string.h>

/// Scores and sums are kept within the range of a double; both limits are far
/// above any threshold of a decision.
#define SCORE_MAX 1e200
#define RESCALE_ABOVE 1e150

/// @param steps  weight of each outcome but the lowest one, relative to the
///               outcome before it
/// @return logarithm of the sum of the weights of all outcomes, relative to
///         the lowest one: sum over j of steps[0] * ... * steps[j-1] * odds^j
static double
log_outcome_sum (const double *steps, uint32_t count, double odds)
{
  double term = 1;
  double sum = 1;
  double offset = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      term *= steps[i] * odds;
      sum += term;
      if (sum < RESCALE_ABOVE)
        continue;
      offset += log (sum);
      term /= sum;
      sum = 1;
    }
  return offset + log (sum);
}

/// @param low   lowest possible number of events on the new version
/// @param high  highest possible number, at most low + SEQTEST_EXACT_MAX
static void
exact_log_ratios (const struct seqtest_ratios *ratios,
                  const struct seqtest_block *block, uint32_t low,
                  uint32_t high, double log_ratios[SEQTEST_RATIOS])
{
  double steps[SEQTEST_EXACT_MAX];
  double events = (double)block->new_events + block->old_events;
  uint32_t count = high - low;
  for (uint32_t i = 0; i < count; i++)
    {
      double j = (double)low + i;
      steps[i] = (block->new_calls - j) * (events - j)
                 / ((j + 1) * (block->old_calls - events + j + 1));
    }
  double excess = (double)block->new_events - low;
  double null = excess * log (ratios->tolerated)
                - log_outcome_sum (steps, count, ratios->tolerated);
  for (int i = 0; i < SEQTEST_RATIOS; i++)
    log_ratios[i] = excess * log (ratios->fault[i])
                    - log_outcome_sum (steps, count, ratios->fault[i]) - null;
}

void
seqtest_init (struct seqtest *test)
{
  memset (test, 0, sizeof *test);
}

void
seqtest_start (struct seqtest *test, double weight)
{
  assert (weight >= 0 && weight <= 1);
  for (int i = 0; i < SEQTEST_RATIOS; i++)
    test->score[i] += weight;
}

void
seqtest_log_ratios (const struct seqtest_ratios *ratios,
                    const struct seqtest_block *block,
                    double log_ratios[SEQTEST_RATIOS])
{
  assert (block->new_events <= block->new_calls);
  assert (block->old_events <= block->old_calls);
  uint64_t events = (uint64_t)block->new_events + block->old_events;
  uint64_t low = events > block->old_calls ? events - block->old_calls : 0;
  uint64_t high = events < block->new_calls ? events : block->new_calls;
  for (int i = 0; i < SEQTEST_RATIOS; i++)
    log_ratios[i] = 0;
  if (low == high)
    return; /* a single possible outcome carries no evidence */
  if (high - low <= SEQTEST_EXACT_MAX)
    {
      exact_log_ratios (ratios, block, (uint32_t)low, (uint32_t)high,
                        log_ratios);
      return;
    }
  double null
      = block->old_calls + (double)block->new_calls * ratios->tolerated;
  for (int i = 0; i < SEQTEST_RATIOS; i++)
    {
      double fault
          = block->old_calls + (double)block->new_calls * ratios->fault[i];
      log_ratios[i]
          = block->new_events * log (ratios->fault[i] / ratios->tolerated)
            - (double)events * log (fault / null);
    }
}

void
seqtest_update (struct seqtest *test, const double log_ratios[SEQTEST_RATIOS],
                uint64_t now_ms, double growth_max_per_s)
{
  uint64_t elapsed = now_ms - test->updated_ms;
  double growth_max
      = growth_max_per_s * (elapsed < 1000 ? (double)elapsed / 1000 : 1);
  bool has_evidence = false;
  for (int i = 0; i < SEQTEST_RATIOS; i++)
    {
      has_evidence |= log_ratios[i] != 0;
      if (log_ratios[i] == 0 || test->score[i] <= 0)
        continue;
      double score = test->score[i] * exp (fmin (log_ratios[i], growth_max));
      test->score[i] = fmin (score, SCORE_MAX);
    }
  if (has_evidence)
    test->updated_ms = now_ms;
}

double
seqtest_value (const struct seqtest *test)
{
  double sum = 0;
  for (int i = 0; i < SEQTEST_RATIOS; i++)
    sum += test->score[i];
  return sum / SEQTEST_RATIOS;
}
