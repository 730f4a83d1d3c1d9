#include "base/rng.h"
#include "coordination/seqtest.h"
#include "testing.h"

#include <math.h>
#include <stddef.h>

static const struct seqtest_ratios plain = { 1, { 2, 4, 8, 16, 64 } };

static double
binomial (unsigned n, unsigned k)
{
  return exp (lgamma (n + 1.0) - lgamma (k + 1.0) - lgamma (n - k + 1.0));
}

/// The mean likelihood ratio over all outcomes of a block, with versions of
/// the same rate, must not exceed 1: the bound on false alarms depends on it.
static void
test_ratio_has_mean_one (void)
{
  static const unsigned blocks[][3] = {
    { 1, 9, 3 }, { 5, 20, 1 }, { 18, 2, 6 }, { 30, 30, 25 }, { 400, 400, 390 }
  };
  for (size_t b = 0; b < sizeof blocks / sizeof blocks[0]; b++)
    {
      unsigned new_calls = blocks[b][0], old_calls = blocks[b][1];
      unsigned events = blocks[b][2];
      double mean[SEQTEST_RATIOS] = { 0 };
      for (unsigned k = 0; k <= events && k <= new_calls; k++)
        {
          if (events - k > old_calls)
            continue;
          double log_ratios[SEQTEST_RATIOS];
          struct seqtest_block block = { new_calls, k, old_calls, events - k };
          double weight = binomial (new_calls, k)
                          * binomial (old_calls, events - k)
                          / binomial (new_calls + old_calls, events);
          seqtest_log_ratios (&plain, &block, log_ratios);
          for (int i = 0; i < SEQTEST_RATIOS; i++)
            mean[i] += weight * exp (log_ratios[i]);
        }
      for (int i = 0; i < SEQTEST_RATIOS; i++)
        CU_ASSERT (mean[i] < 1 + 1e-6);
    }
}

static void
test_equal_versions_rarely_alarm (void)
{
  struct rng rng;
  unsigned alarms = 0;
  rng_init (&rng, 1);
  for (int run = 0; run < 400; run++)
    {
      struct seqtest test;
      seqtest_init (&test);
      seqtest_start (&test, 1);
      for (int i = 0; i < 300; i++)
        {
          double log_ratios[SEQTEST_RATIOS];
          double rate = i % 50 < 5 ? 0.5 : 0.02; /* incident in both */
          struct seqtest_block block = { 4, 0, 40, 0 };
          for (int k = 0; k < 4; k++)
            block.new_events += rng_unit (&rng) < rate;
          for (int k = 0; k < 40; k++)
            block.old_events += rng_unit (&rng) < rate;
          seqtest_log_ratios (&plain, &block, log_ratios);
          seqtest_update (&test, log_ratios, 1000u * (unsigned)(i + 1), 100);
          if (seqtest_value (&test) < 20)
            continue;
          alarms++;
          break;
        }
    }
  CU_ASSERT (alarms <= 20); /* of 400 runs: 1 in 20 */
}

static void
test_better_version_never_alarms (void)
{
  struct seqtest test;
  double log_ratios[SEQTEST_RATIOS];
  struct seqtest_block block = { 50, 0, 50, 25 };
  seqtest_init (&test);
  seqtest_start (&test, 1);
  for (int i = 0; i < 100; i++)
    {
      seqtest_log_ratios (&plain, &block, log_ratios);
      seqtest_update (&test, log_ratios, 1000u * (unsigned)(i + 1), 100);
    }
  CU_ASSERT (seqtest_value (&test) < 1);
}

static void
test_late_start_finds_late_fault (void)
{
  struct seqtest test;
  double log_ratios[SEQTEST_RATIOS];
  struct seqtest_block good = { 10, 1, 90, 9 };
  struct seqtest_block bad = { 10, 9, 90, 9 };
  seqtest_init (&test);
  seqtest_start (&test, 0.5);
  for (int i = 0; i < 10000; i++)
    {
      seqtest_log_ratios (&plain, &good, log_ratios);
      seqtest_update (&test, log_ratios, 1000u * (unsigned)(i + 1), 100);
    }
  CU_ASSERT (seqtest_value (&test) < 1e-6);
  seqtest_start (&test, 0.001);
  for (int i = 0; i < 3; i++)
    {
      seqtest_log_ratios (&plain, &bad, log_ratios);
      seqtest_update (&test, log_ratios, 1000u * (unsigned)(i + 1), 100);
    }
  CU_ASSERT (seqtest_value (&test) > 400);
}

static void
test_extreme_blocks_stay_finite (void)
{
  static const struct seqtest_block blocks[] = {
    { 0, 0, 0, 0 },
    { UINT32_MAX, UINT32_MAX, 1, 0 },
    { 1, 1, UINT32_MAX, 0 },
    { UINT32_MAX, UINT32_MAX, UINT32_MAX, 0 },
    { 160, 160, 100000, 50000 },
  };
  struct seqtest test;
  seqtest_init (&test);
  seqtest_start (&test, 1);
  for (size_t i = 0; i < sizeof blocks / sizeof blocks[0]; i++)
    {
      double log_ratios[SEQTEST_RATIOS];
      seqtest_log_ratios (&plain, &blocks[i], log_ratios);
      for (int k = 0; k < SEQTEST_RATIOS; k++)
        CU_ASSERT (isfinite (log_ratios[k]));
      seqtest_update (&test, log_ratios, 1000u * (unsigned)(i + 1), 100);
      CU_ASSERT (isfinite (seqtest_value (&test)));
    }
}

static void
test_burst_counts_as_one_cause (void)
{
  struct seqtest test;
  double log_ratios[SEQTEST_RATIOS];
  struct seqtest_block burst = { 20, 20, 80, 0 };
  seqtest_init (&test);
  seqtest_start (&test, 1);
  seqtest_log_ratios (&plain, &burst, log_ratios);
  seqtest_update (&test, log_ratios, 10000, 3);
  CU_ASSERT (seqtest_value (&test) <= exp (3) + 1e-9);
  for (unsigned i = 1; i <= 4; i++)
    seqtest_update (&test, log_ratios, 10000 + 250 * i, 3);
  CU_ASSERT (seqtest_value (&test) <= exp (6) + 1e-9);
  CU_ASSERT (seqtest_value (&test) > exp (5));
}

static const struct test_case cases[] = {
  { "the mean of a likelihood ratio exceeds 1", test_ratio_has_mean_one },
  { "an incident that hits both versions gives alarms",
    test_equal_versions_rarely_alarm },
  { "a better version gives an alarm", test_better_version_never_alarms },
  { "earlier good calls hide a late fault", test_late_start_finds_late_fault },
  { "calls that fail together count as independent failures",
    test_burst_counts_as_one_cause },
  { "extreme counts give infinite scores", test_extreme_blocks_stay_finite },
};

int
main (void)
{
  return testing_run ("seqtest", cases, sizeof cases / sizeof cases[0]);
}
