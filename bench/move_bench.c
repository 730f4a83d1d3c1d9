/// Measures the move policy on a table of scenarios and compares it with two
/// simple policies. Virtual time and fixed seeds: every run gives the same
/// figures. Writes build/move_table.txt and prints the judged figures.
#include "model/move_run.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SEEDS 200

/// The baselines are only compared with, not judged; fewer seeds suffice.
#define BASELINE_SEEDS 5

struct column
{
  unsigned runs;
  unsigned ends[RUN_BETWEEN + 1];
  double share_before_max;
  double share_at_fault_max;
  double harmed_sum;
  double harmed_max;
  unsigned reactions;
  uint64_t reaction_max; ///< from significant to none, ms
  unsigned latencies;
  double latency[2 * SEEDS]; ///< from first fault to none, s
};

static void
collect (struct column *column, const struct run_result *result)
{
  column->runs++;
  column->ends[result->end]++;
  column->harmed_sum += result->harmed;
  if (result->harmed > column->harmed_max)
    column->harmed_max = result->harmed;
  if (result->share_before > column->share_before_max)
    column->share_before_max = result->share_before;
  if (result->share_at_fault > column->share_at_fault_max)
    column->share_at_fault_max = result->share_at_fault;
  if (result->significant_ms != UINT64_MAX)
    {
      uint64_t reaction = result->none_ms == UINT64_MAX ? UINT64_MAX
                          : result->none_ms < result->significant_ms
                              ? 0
                              : result->none_ms - result->significant_ms;
      column->reactions++;
      if (reaction > column->reaction_max)
        column->reaction_max = reaction;
    }
  if (result->fault_ms != UINT64_MAX && result->none_ms != UINT64_MAX)
    column->latency[column->latencies++]
        = (double)(result->none_ms - result->fault_ms) / 1000;
}

static int
compare_doubles (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;
  return (x > y) - (x < y);
}

/// @return quantile of the times from first fault to none, -1 without any
static double
latency_at (struct column *column, double part)
{
  if (column->latencies == 0)
    return -1;
  qsort (column->latency, column->latencies, sizeof column->latency[0],
         compare_doubles);
  unsigned at = (unsigned)(part * column->latencies);
  return column->latency[at < column->latencies ? at : column->latencies - 1];
}

static void
run_column (const struct move_scenario *scenario, enum run_policy policy,
            const struct move_settings *settings, unsigned seeds,
            struct column *column)
{
  struct run_result result;
  memset (column, 0, sizeof *column);
  for (unsigned seed = 0; seed < seeds; seed++)
    {
      /* The second move of a pair is a new move, not a new try of the first.
       */
      run_move (scenario, policy, settings, seed + 1, &result);
      collect (column, &result);
      if (!scenario->twice)
        continue;
      run_move (scenario, policy, settings, seed + 1 + SEEDS, &result);
      collect (column, &result);
    }
}

static double
percent (unsigned part, unsigned whole)
{
  return whole == 0 ? 0 : 100.0 * part / whole;
}

struct totals
{
  unsigned good_runs;
  unsigned good_done;
  unsigned good_false;
  unsigned bad_runs;
  unsigned bad_back;
  unsigned between;
  double worst_good;
  double worst_bad;
  double share_before_max; ///< of faults that can show at a share of 5%
  double harmed_max;       ///< of all faults
  uint64_t reaction_max;
};

static void
add_totals (struct totals *totals, const struct move_scenario *scenario,
            const struct column *column)
{
  unsigned back = column->ends[RUN_TAKEN_BACK] + column->ends[RUN_GIVEN_UP];
  totals->between += column->ends[RUN_BETWEEN];
  if (column->reaction_max > totals->reaction_max && scenario->bad)
    totals->reaction_max = column->reaction_max;
  if (!scenario->bad)
    {
      double done = percent (column->ends[RUN_DONE], column->runs);
      totals->good_runs += column->runs;
      totals->good_done += column->ends[RUN_DONE];
      totals->good_false += column->ends[RUN_TAKEN_BACK];
      if (done < totals->worst_good)
        totals->worst_good = done;
      return;
    }
  double taken = percent (back, column->runs);
  totals->bad_runs += column->runs;
  totals->bad_back += back;
  if (taken < totals->worst_bad)
    totals->worst_bad = taken;
  const struct model_fault *fault = &scenario->setup.fault;
  bool faulty = fault->error_rate > 0 || fault->slow_factor > 0
                || fault->tail_rate > 0;
  if (column->harmed_max > totals->harmed_max)
    totals->harmed_max = column->harmed_max;
  if (faulty && !scenario->shows_late
      && column->share_before_max > totals->share_before_max)
    totals->share_before_max = column->share_before_max;
}

static void
print_row (FILE *table, const struct move_scenario *scenario,
           struct column columns[RUN_POLICIES])
{
  struct column *own = &columns[RUN_PRODUCT];
  fprintf (table,
           "%-36s %6.1f %6.1f %6.1f %7.2f %7.2f %8.3f %7.1f %7.1f %6lld",
           scenario->name, percent (own->ends[RUN_DONE], own->runs),
           percent (own->ends[RUN_TAKEN_BACK], own->runs),
           percent (own->ends[RUN_GIVEN_UP], own->runs),
           100 * own->share_before_max, 100 * own->share_at_fault_max,
           100 * own->harmed_sum / own->runs, latency_at (own, 0.5),
           latency_at (own, 0.99),
           own->reactions == 0 ? -1LL : (long long)own->reaction_max);
  for (int p = RUN_SCHEDULE; p < RUN_POLICIES; p++)
    {
      struct column *other = &columns[p];
      fprintf (table, " | %6.1f %6.1f %8.3f",
               percent (other->ends[RUN_DONE], other->runs),
               percent (other->ends[RUN_TAKEN_BACK], other->runs),
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

static void
judge_low (const char *name, double value, const char *unit, double bound)
{
  printf ("%s %.3f %s %.3f %s\n", name, value, unit, bound,
          value >= bound ? "ok" : "over");
}

static void
judge_high (const char *name, double value, const char *unit, double bound)
{
  printf ("%s %.3f %s %.3f %s\n", name, value, unit, bound,
          value <= bound ? "ok" : "over");
}

static void
print_summary (const struct totals *totals)
{
  judge_low ("moves_good_done_in_time",
             percent (totals->good_done, totals->good_runs), "percent", 99);
  judge_low ("moves_good_done_worst_scenario", totals->worst_good, "percent",
             99);
  judge_low ("moves_bad_taken_back",
             percent (totals->bad_back, totals->bad_runs), "percent", 99);
  judge_low ("moves_bad_taken_back_worst_scenario", totals->worst_bad,
             "percent", 99);
  judge_high ("moves_false_take_backs",
              percent (totals->good_false, totals->good_runs), "percent", 0.5);
  judge_high ("moves_bad_share_before_evidence",
              100 * totals->share_before_max, "percent", 5);
  judge_high ("moves_bad_calls_with_fault", 100 * totals->harmed_max,
              "percent", 5);
  judge_high ("moves_evidence_to_none_max",
              totals->reaction_max > 1000000 ? 1e6
                                             : (double)totals->reaction_max,
              "ms", 3000);
  judge_high ("moves_between_at_stated_time", totals->between, "moves", 0);
}

/// Tabulates the rate of false alarms against the time to detection.
static void
print_curve (unsigned seeds)
{
  static const double rates[]
      = { 1.0 / 20,  1.0 / 50,   1.0 / 100,   1.0 / 200,
          1.0 / 400, 1.0 / 2000, 1.0 / 100000 };
  static struct column column;
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
          run_column (scenario, RUN_PRODUCT, &settings, seeds, &column);
          if (!scenario->bad)
            {
              good += column.runs;
              done += column.ends[RUN_DONE];
              wrong += column.ends[RUN_TAKEN_BACK];
              continue;
            }
          if (latency_at (&column, 0.5) < 0)
            continue;
          bad += column.runs;
          back += column.ends[RUN_TAKEN_BACK];
          median += latency_at (&column, 0.5);
          slow += latency_at (&column, 0.99);
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
  static struct column columns[RUN_POLICIES];
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
        run_column (scenario, p, &move_defaults,
                    p == RUN_PRODUCT ? seeds : BASELINE_SEEDS, &columns[p]);
      add_totals (&totals, scenario, &columns[RUN_PRODUCT]);
      print_row (table, scenario, columns);
    }
  fclose (table);
  print_summary (&totals);
  return 0;
}
