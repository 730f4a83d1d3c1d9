/// Compares, in virtual time, the placement of requests on targets that report
/// their speed with the placement without the figure.
#include "placement_sim.h"
#include "testing.h"

/// Targets and callers of the loads in docs/overload-and-accounts.md, part 5,
/// with 15 percent of the time 2.5 times slower.
static const struct sim_setup base = {
  .targets = 46,
  .slots = 13,
  .speeds = { 0.55, 1.2, 1.2, 1.2 },
  .speed_count = 4,
  .entries = 76,
  .zones = 4,
  .work_ms = { 170, 210 },
  .per_s = { 1071, 370 },
  .within_ms = 600,
  .wave = 0.3,
  .wave_s = 8,
  .disturbed_share = 0.15,
  .disturbed_ms = 600,
  .disturbed_factor = 2.5,
  .seconds = 40,
  .seed = 3,
};

static void
print_result (const char *name, const char *choice,
              const struct sim_setup *setup, const struct sim_result *result)
{
  printf ("\n    %-22s %-7s mean %6.1f ms, p95 %6.1f ms, within %5.0f ms "
          "%.4f, between zones %.3f (bytes %.3f), use",
          name, choice, result->mean_ms, result->p95_ms, setup->within_ms,
          result->within, result->cross_zone, result->cross_zone_bytes);
  for (size_t i = 0; i < setup->speed_count; i++)
    printf (" %.2f", result->use[i]);
}

/// Runs one load with and without the figure.
static void
compare (const char *name, const struct sim_setup *setup,
         struct sim_result *without, struct sim_result *with)
{
  struct sim_setup run = *setup;
  run.figure = false;
  *without = placement_sim_run (&run);
  print_result (name, "without", &run, without);
  run.figure = true;
  *with = placement_sim_run (&run);
  print_result (name, "with", &run, with);
}

static void
test_responses_are_faster (void)
{
  struct
  {
    const char *name;
    struct sim_setup setup;
    double mean;       ///< largest mean, as part of that without the figure
    double p95;        ///< likewise
    double cross_zone; ///< largest share of requests between zones
  } rows[] = {
    { "wave 15%", base, 0.94, 0.92, 0.05 },
    { "wave 30%", base, 0.94, 0.92, 0.06 },
    { "wave 50%", base, 0.94, 0.92, 0.09 },
    { "speeds by zone", base, 0.92, 0.9, 0.27 },
    { "load x 1.75", base, 0.85, 0.85, 0.25 },
    { "undisturbed", base, 1.0, 1.02, 0.05 },
    { "speeds 0.7, 0.7, 1.6", base, 0.94, 0.95, 0.1 },
    { "services of 5 ms", base, 0.95, 0.95, 0.05 },
    { "services of 2 s", base, 0.95, 0.95, 0.05 },
    { "300 entry nodes", base, 0.94, 0.92, 0.05 },
    { "3 nodes", base, 1.03, 1.03, 0.6 },
  };
  rows[0].setup.wave = 0.15;
  rows[2].setup.wave = 0.5;
  rows[3].setup.speed_by_zone = true;
  rows[4].setup.per_s[0] *= 1.75;
  rows[4].setup.per_s[1] *= 1.75;
  rows[5].setup.disturbed_share = 0;
  struct sim_setup *thirty = &rows[6].setup;
  thirty->targets = 30;
  thirty->speed_count = 3;
  memcpy (thirty->speeds, (double[]){ 0.7, 0.7, 1.6 }, 3 * sizeof (double));
  memcpy (thirty->work_ms, (double[]){ 200, 660 }, sizeof thirty->work_ms);
  memcpy (thirty->per_s, (double[]){ 400, 130 }, sizeof thirty->per_s);
  thirty->within_ms = 1000;
  struct sim_setup *quick = &rows[7].setup;
  memcpy (quick->work_ms, (double[]){ 5, 5 }, sizeof quick->work_ms);
  memcpy (quick->per_s, (double[]){ 9000, 3000 }, sizeof quick->per_s);
  quick->slots = 4;
  quick->within_ms = 15;
  quick->seconds = 8;
  struct sim_setup *slow = &rows[8].setup;
  memcpy (slow->work_ms, (double[]){ 2000, 2000 }, sizeof slow->work_ms);
  memcpy (slow->per_s, (double[]){ 90, 40 }, sizeof slow->per_s);
  slow->within_ms = 5000;
  slow->seconds = 200;
  rows[9].setup.entries = 300;
  struct sim_setup *few = &rows[10].setup;
  few->targets = 3;
  few->entries = 3;
  few->zones = 3;
  few->speed_count = 3;
  few->speed_by_zone = true;
  memcpy (few->speeds, (double[]){ 0.7, 0.7, 1.6 }, 3 * sizeof (double));
  memcpy (few->per_s, (double[]){ 70, 24 }, sizeof few->per_s);
  few->seconds = 200;
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct sim_result without;
      struct sim_result with;
      compare (rows[i].name, &rows[i].setup, &without, &with);
      CU_ASSERT (with.mean_ms < without.mean_ms * rows[i].mean);
      CU_ASSERT (with.p95_ms < without.p95_ms * rows[i].p95);
      CU_ASSERT (with.within > without.within - 0.003);
      CU_ASSERT (with.cross_zone < rows[i].cross_zone);
    }
  printf ("\n  ");
}

/// Every entry node sees every report, so all have the same opinion of the
/// targets at the same time.
static void
test_nodes_do_not_herd (void)
{
  struct sim_setup setup = base;
  setup.figure = true;
  struct sim_result own = placement_sim_run (&setup);
  print_result ("own reports", "with", &setup, &own);
  setup.shared = true;
  struct sim_result shared = placement_sim_run (&setup);
  print_result ("all reports", "with", &setup, &shared);
  CU_ASSERT (shared.mean_ms < own.mean_ms);
  CU_ASSERT (shared.p95_ms < own.p95_ms);
  printf ("\n  ");
}

/// Near the capacity, targets of all speeds have to carry their part.
static void
test_load_follows_capacity (void)
{
  struct sim_setup setup = base;
  setup.figure = true;
  setup.per_s[0] *= 1.9;
  setup.per_s[1] *= 1.9;
  struct sim_result result = placement_sim_run (&setup);
  print_result ("load x 1.9", "with", &setup, &result);
  CU_ASSERT (result.use[0] > 0.6 * result.use[1]);
  CU_ASSERT (result.within > 0.85);
  printf ("\n  ");
}

/// Half of all requests enter in one zone for 5 s, which is the capacity of
/// its targets.
static void
test_spill_and_return (void)
{
  struct sim_setup setup = base;
  setup.figure = true;
  setup.wave = 0;
  setup.burst = 6;
  setup.seconds = 25;
  struct sim_result result = placement_sim_run (&setup);
  print_result ("burst in one zone", "with", &setup, &result);
  printf ("\n    between zones, each second:");
  for (size_t i = 5; i < 25; i++)
    printf (" %.2f", result.cross_zone_at[i]);
  CU_ASSERT (result.cross_zone_at[9] < 0.06);
  CU_ASSERT (result.cross_zone_at[10] > 0.08);
  CU_ASSERT (result.cross_zone_at[13] > 0.15);
  CU_ASSERT (result.cross_zone_at[16] < 0.06);
  CU_ASSERT (result.within > 0.95);
  printf ("\n  ");
}

static void
test_uploads_stay_in_their_zone (void)
{
  struct sim_setup setup = base;
  struct sim_result without;
  struct sim_result with;
  setup.wave = 0.5;
  setup.body_bytes[1] = 200000;
  compare ("uploads of 200 kB", &setup, &without, &with);
  CU_ASSERT (with.cross_zone_bytes < without.cross_zone_bytes / 3);
  CU_ASSERT (with.mean_ms < without.mean_ms);
  printf ("\n  ");
}

int
main (void)
{
  static const struct test_case cases[] = {
    { "slow or disturbed targets get too many requests",
      test_responses_are_faster },
    { "all nodes choose the target that last looked free",
      test_nodes_do_not_herd },
    { "slow targets stay idle while fast ones queue",
      test_load_follows_capacity },
    { "requests queue in a zone, or do not return to it",
      test_spill_and_return },
    { "large bodies cross zones without need",
      test_uploads_stay_in_their_zone },
  };
  return testing_run ("uneven targets", cases, sizeof cases / sizeof cases[0]);
}
