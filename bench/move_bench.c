/// Measures the product's policy of moves in all scenarios and compares it
/// with two baseline policies. Time is virtual and seeds are fixed, so every
/// run gives the same figures. Writes build/move_table.txt and prints the
/// figures that have bounds. With --curve [SEEDS] it prints the trade-off
/// between false roll-backs and detection time instead.
#include "model/move_run.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SEEDS 200

/// The baselines have no bounds, so fewer seeds suffice.
#define BASELINE_SEEDS 5

/// Results of the runs of a scenario under a policy.
struct policy_results
{
  unsigned runs;
  unsigned ends[RUN_UNFINISHED + 1]; ///< runs by enum run_end
  double share_before_max;
  double share_at_fault_max;
  double harmed_sum;
  double harmed_max;
  unsigned reactions;        ///< runs with significant evidence
  uint64_t reaction_max;     ///< from that to no calls of the new version, ms
  unsigned latencies;        ///< runs in which the fault was stopped
  double latency[2 * SEEDS]; ///< from first fault to no such calls, s
};

static void
collect (struct policy_results *results, const struct run_result *result)
{
  results->runs++;
  results->ends[result->end]++;
  results->harmed_sum += result->harmed;
  if (result->harmed > results->harmed_max)
    results->harmed_max = result->harmed;
  if (result->share_before > results->share_before_max)
    results->share_before_max = result->share_before;
  if (result->share_at_fault > results->share_at_fault_max)
    results->share_at_fault_max = result->share_at_fault;
  if (result->significant_ms != UINT64_MAX)
    {
      uint64_t reaction
          = result->no_new_calls_ms == UINT64_MAX ? UINT64_MAX
            : result->no_new_calls_ms < result->significant_ms
                ? 0
                : result->no_new_calls_ms - result->significant_ms;
      results->reactions++;
      if (reaction > results->reaction_max)
        results->reaction_max = reaction;
    }
  if (result->fault_ms != UINT64_MAX && result->no_new_calls_ms != UINT64_MAX)
    results->latency[results->latencies++]
        = (double)(result->no_new_calls_ms - result->fault_ms) / 1000;
}

static int
compare_doubles (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;
  return (x > y) - (x < y);
}

/// Sorts the latencies.
/// @param part  percentile as a fraction in [0, 1]
/// @return latency at the percentile, s; -1 without latencies
static double
latency_at (struct policy_results *results, double part)
{
  if (results->latencies == 0)
    return -1;
  qsort (results->latency, results->latencies, sizeof results->latency[0],
         compare_doubles);
  unsigned at = (unsigned)(part * results->latencies);
  return results
      ->latency[at < results->latencies ? at : results->latencies - 1];
}

static void
run_scenario (const struct move_scenario *scenario, enum run_policy policy,
              const struct move_settings *settings, unsigned seeds,
              struct policy_results *results)
{
  struct run_result result;
  memset (results, 0, sizeof *results);
  for (unsigned seed = 0; seed < seeds; seed++)
    {
      /* The second move of a pair is a move of its own, not a retry. */
      run_move (scenario, policy, settings, seed + 1, &result);
      collect (results, &result);
      if (!scenario->twice)
        continue;
      run_move (scenario, policy, settings, seed + 1 + SEEDS, &result);
      collect (results, &result);
    }
}

static double
percent (unsigned part, unsigned whole)
{
  return whole == 0 ? 0 : 100.0 * part / whole;
}

/// Results over all scenarios; "worst" is the lowest percentage of a scenario.
struct totals
{
  unsigned good_runs;
  unsigned good_done;
  unsigned good_false; ///< rolled back by evidence
  unsigned bad_runs;
  unsigned bad_back;
  unsigned unfinished; ///< neither completed nor rolled back at the deadline
  double worst_good;
  double worst_bad;
  double share_before_max; ///< over faults that can show at a share of 5%
  double harmed_max;       ///< over all faults
  uint64_t reaction_max;
};

static void
totals_add (struct totals *totals, const struct move_scenario *scenario,
            const struct policy_results *results)
{
  unsigned back
      = results->ends[RUN_ROLLED_BACK] + results->ends[RUN_TIMED_OUT];
  totals->unfinished += results->ends[RUN_UNFINISHED];
  if (results->reaction_max > totals->reaction_max && scenario->bad)
    totals->reaction_max = results->reaction_max;
  if (!scenario->bad)
    {
      double done = percent (results->ends[RUN_DONE], results->runs);
      totals->good_runs += results->runs;
      totals->good_done += results->ends[RUN_DONE];
      totals->good_false += results->ends[RUN_ROLLED_BACK];
      if (done < totals->worst_good)
        totals->worst_good = done;
      return;
    }
  double rolled_back_percent = percent (back, results->runs);
  totals->bad_runs += results->runs;
  totals->bad_back += back;
  if (rolled_back_percent < totals->worst_bad)
    totals->worst_bad = rolled_back_percent;
  const struct model_fault *fault = &scenario->setup.fault;
  bool faulty = fault->error_rate > 0 || fault->slow_factor > 0
                || fault->tail_rate > 0;
  if (results->harmed_max > totals->harmed_max)
    totals->harmed_max = results->harmed_max;
  if (faulty && !scenario->shows_late
      && results->share_before_max > totals->share_before_max)
    totals->share_before_max = results->share_before_max;
}

static void
print_row (FILE *table, const struct move_scenario *scenario,
           struct policy_results results_by_policy[RUN_POLICIES])
{
  struct policy_results *own = &results_by_policy[RUN_PRODUCT];
  fprintf (table,
           "%-36s %6.1f %6.1f %6.1f %7.2f %7.2f %8.3f %7.1f %7.1f %6lld",
           scenario->name, percent (own->ends[RUN_DONE], own->runs),
           percent (own->ends[RUN_ROLLED_BACK], own->runs),
           percent (own->ends[RUN_TIMED_OUT], own->runs),
           100 * own->share_before_max, 100 * own->share_at_fault_max,
           100 * own->harmed_sum / own->runs, latency_at (own, 0.5),
           latency_at (own, 0.99),
           own->reactions == 0 ? -1LL : (long long)own->reaction_max);
  for (int p = RUN_SCHEDULE; p < RUN_POLICIES; p++)
    {
      struct policy_results *other = &results_by_policy[p];
      fprintf (table, " | %6.1f %6.1f %8.3f",
               percent (other->ends[RUN_DONE], other->runs),
               percent (other->ends[RUN_ROLLED_BACK], other->runs),
               100 * other->harmed_sum / other->runs);
    }
  fprintf (table, "\n");
}

static void
print_header (FILE *table, unsigned seeds)
{
  fprintf (table,
           "%u seeds per scenario (baselines %u). done, back (by evidence),\n"
           "late (not done by the stated time) in percent of the runs; before:"
           " largest\nshare of the service's calls for the new version, from"
           " the start until taken back,\npercent; at: largest share when the"
           " fault was first active; harmed: calls that met\nthe fault,"
           " percent of the service's calls; p50, p99: seconds from first"
           " fault to no\ntraffic; react: longest time from significant"
           " evidence to no traffic, ms.\n\n",
           seeds, BASELINE_SEEDS);
  fprintf (table, "%-36s %6s %6s %6s %7s %7s %8s %7s %7s %6s", "scenario",
           "done", "back", "late", "before", "at", "harmed", "p50", "p99",
           "react");
  fprintf (table, " | %-22s | %-22s\n", "fixed: done back harmed",
           "switch: done back harmed");
}

/// Prints a figure with its lower bound.
static void
print_with_min (const char *name, double value, const char *unit, double bound)
{
  printf ("%s %.3f %s %.3f %s\n", name, value, unit, bound,
          value >= bound ? "ok" : "over");
}

/// Prints a figure with its upper bound.
static void
print_with_max (const char *name, double value, const char *unit, double bound)
{
  printf ("%s %.3f %s %.3f %s\n", name, value, unit, bound,
          value <= bound ? "ok" : "over");
}

static void
print_summary (const struct totals *totals)
{
  print_with_min ("moves_good_done_in_time",
                  percent (totals->good_done, totals->good_runs), "percent",
                  99);
  print_with_min ("moves_good_done_worst_scenario", totals->worst_good,
                  "percent", 99);
  print_with_min ("moves_bad_taken_back",
                  percent (totals->bad_back, totals->bad_runs), "percent", 99);
  print_with_min ("moves_bad_taken_back_worst_scenario", totals->worst_bad,
                  "percent", 99);
  print_with_max ("moves_false_take_backs",
                  percent (totals->good_false, totals->good_runs), "percent",
                  0.5);
  print_with_max ("moves_bad_share_before_evidence",
                  100 * totals->share_before_max, "percent", 5);
  print_with_max ("moves_bad_calls_with_fault", 100 * totals->harmed_max,
                  "percent", 5);
  print_with_max (
      "moves_evidence_to_none_max",
      totals->reaction_max > 1000000 ? 1e6 : (double)totals->reaction_max,
      "ms", 3000);
  print_with_max ("moves_between_at_stated_time", totals->unfinished, "moves",
                  0);
}

/// Prints a table of false roll-backs and detection times by the false alarm
/// rate of the sequential test.
static void
print_curve (unsigned seeds)
{
  static const double rates[]
      = { 1.0 / 20,  1.0 / 50,   1.0 / 100,   1.0 / 200,
          1.0 / 400, 1.0 / 2000, 1.0 / 100000 };
  static struct policy_results results;
  printf ("| rate | false take-backs | good done | bad taken back by evidence"
          " | p50 s | p99 s |\n|---|---|---|---|---|---|\n");
  for (size_t i = 0; i < sizeof rates / sizeof rates[0]; i++)
    {
      struct move_settings settings = move_defaults;
      unsigned good = 0;
      unsigned done = 0;
      unsigned wrong = 0;
      unsigned bad = 0;
      unsigned back = 0;
      double median = 0;
      double slow = 0;
      unsigned rows = 0;
      settings.judge.false_alarm = rates[i];
      for (unsigned s = 0; s < move_scenario_count; s++)
        {
          const struct move_scenario *scenario = &move_scenarios[s];
          run_scenario (scenario, RUN_PRODUCT, &settings, seeds, &results);
          if (!scenario->bad)
            {
              good += results.runs;
              done += results.ends[RUN_DONE];
              wrong += results.ends[RUN_ROLLED_BACK];
              continue;
            }
          if (latency_at (&results, 0.5) < 0)
            continue;
          bad += results.runs;
          back += results.ends[RUN_ROLLED_BACK];
          median += latency_at (&results, 0.5);
          slow += latency_at (&results, 0.99);
          rows++;
        }
      printf ("| 1 in %.0f | %u of %u | %.2f%% | %.2f%% | %.1f | %.1f |\n",
              1 / rates[i], wrong, good, percent (done, good),
              percent (back, bad), median / rows, slow / rows);
      fflush (stdout);
    }
}

int
main (int argc, char **argv)
{
  static struct policy_results results_by_policy[RUN_POLICIES];
  struct totals totals = { .worst_good = 100, .worst_bad = 100 };
  unsigned seeds = SEEDS;
  const char *path = "build/move_table.txt";
  if (argc > 1 && strcmp (argv[1], "--curve") == 0)
    {
      print_curve (argc > 2 ? (unsigned)atoi (argv[2]) : 100);
      return 0;
    }
  FILE *table = fopen (path, "w");
  if (table == NULL)
    {
      fprintf (stderr, "cannot write %s\n", path);
      return 1;
    }
  print_header (table, seeds);
  for (unsigned s = 0; s < move_scenario_count; s++)
    {
      const struct move_scenario *scenario = &move_scenarios[s];
      for (enum run_policy p = RUN_PRODUCT; p < RUN_POLICIES; p++)
        run_scenario (scenario, p, &move_defaults,
                      p == RUN_PRODUCT ? seeds : BASELINE_SEEDS,
                      &results_by_policy[p]);
      totals_add (&totals, scenario, &results_by_policy[RUN_PRODUCT]);
      print_row (table, scenario, results_by_policy);
    }
  fclose (table);
  print_summary (&totals);
  return 0;
}
