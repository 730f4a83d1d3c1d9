#include "rollout_sim.h"
#include "testing.h"

#define LENGTH(array) (sizeof (array) / sizeof (array)[0])

/// Time at which the targets are chosen.
#define NOW_MS 5000

static void
fill (struct directory *directory, size_t old_count, size_t new_count,
      bool reversed)
{
  directory_init (directory);
  for (size_t i = 0; i < old_count + new_count; i++)
    {
      size_t number = reversed ? old_count + new_count - 1 - i : i;
      struct directory_entry entry
          = { .slots = 4, .state = DIRECTORY_READY, .service = "orders" };
      snprintf (entry.node, sizeof entry.node, "node-%zu", number);
      strcpy (entry.version, number < old_count ? "v1" : "v2");
      strcpy (entry.availability_zone, number % 2 == 0 ? "a" : "b");
      directory_put (directory, &entry, i + 1, 0);
    }
}

/// @return the chosen targets, one bit for each by the number in its name;
///         UINT64_MAX: all
static uint64_t
choose (struct directory *directory, const struct evacuation_set *evacuations,
        uint64_t order, uint32_t share_bp)
{
  struct rollout_spread spread;
  uint64_t chosen = 0;
  rollout_spread_init (&spread);
  CU_ASSERT (rollout_spread_rank (&spread, directory, evacuations, "orders",
                                  "v2", order));
  const bool *flags
      = rollout_spread_choose (&spread, directory, share_bp, NOW_MS);
  for (size_t i = 0; flags != NULL && i < directory->count; i++)
    if (flags[i])
      chosen |= UINT64_C (1) << atoi (directory->records[i].entry.node + 5);
  rollout_spread_finish (&spread);
  return flags == NULL ? UINT64_MAX : chosen;
}

static void
test_number_of_targets (void)
{
  static const struct
  {
    size_t old_count;
    size_t new_count;
    uint32_t share_bp;
    int chosen; ///< -1: all
    uint32_t load_share_bp;
  } rows[] = {
    { 3, 3, 300, 1, 3333 },    { 3, 3, 3333, 1, 3333 },
    { 3, 3, 4000, 2, 3333 },   { 3, 3, 9000, 3, 3333 },
    { 3, 3, 10000, -1, 3333 }, { 30, 30, 300, 1, 333 },
    { 30, 30, 1000, 3, 333 },  { 30, 30, 4000, 12, 333 },
    { 1, 1, 300, 1, 10000 },   { 6, 2, 1000, 1, 1666 },
    { 6, 2, 4000, 2, 1666 },   { 2, 6, 5000, 3, 1666 },
    { 0, 4, 300, 1, 2500 },    { 3, 0, 300, -1, 0 },
  };
  for (size_t i = 0; i < LENGTH (rows); i++)
    {
      struct directory directory;
      struct rollout_spread spread;
      fill (&directory, rows[i].old_count, rows[i].new_count, false);
      uint64_t chosen = choose (&directory, NULL, 7, rows[i].share_bp);
      CU_ASSERT_EQUAL (chosen == UINT64_MAX ? -1
                                            : __builtin_popcountll (chosen),
                       rows[i].chosen);
      rollout_spread_init (&spread);
      rollout_spread_rank (&spread, &directory, NULL, "orders", "v2", 7);
      CU_ASSERT_EQUAL (rollout_spread_load_share (&spread, &directory),
                       rows[i].load_share_bp);
      rollout_spread_finish (&spread);
      directory_finish (&directory);
    }
}

static void
test_same_targets_at_all_nodes (void)
{
  struct directory first;
  struct directory second;
  uint64_t seen = 0;
  fill (&first, 6, 6, false);
  fill (&second, 6, 6, true);
  for (uint64_t order = 1; order <= 40; order++)
    {
      uint64_t chosen = choose (&first, NULL, order, 1000);
      CU_ASSERT_EQUAL (chosen, choose (&second, NULL, order, 1000));
      seen |= chosen;
    }
  /* Each of the six new targets is the first one of some move. */
  CU_ASSERT_EQUAL (__builtin_popcountll (seen), 6);
  directory_finish (&first);
  directory_finish (&second);
}

enum trouble
{
  DRAINING,
  MISSING,
  DOWN,
  FULL,
  QUEUED,
  COLD,
  EVACUATED,
  TROUBLES
};

static void
test_falls_back_to_other_targets (void)
{
  for (int trouble = 0; trouble < TROUBLES; trouble++)
    {
      struct directory directory;
      struct evacuation_set evacuations = { .count = 0 };
      fill (&directory, 6, 6, false);
      uint64_t before = choose (&directory, NULL, 7, 1000);
      size_t handle = (size_t)__builtin_ctzll (before);
      struct directory_record *record = &directory.records[handle];
      struct directory_entry entry = record->entry;
      entry.state = DIRECTORY_DRAINING;
      if (trouble == DRAINING)
        directory_put (&directory, &entry, 100, NOW_MS);
      if (trouble == MISSING)
        {
          directory_mark_missing (&directory, entry.node, 100, 1);
          directory_expire (&directory, false, NOW_MS);
        }
      record->load.down_until_ms = trouble == DOWN ? NOW_MS + 1 : 0;
      record->load.in_flight = trouble == FULL ? 4 : 0;
      record->entry.cold_ms = trouble == COLD ? NOW_MS + 1 : 0;
      if (trouble == QUEUED)
        placement_report (record, 3, 1, 1000, NOW_MS - 100);
      if (trouble == EVACUATED)
        evacuation_add (&evacuations, entry.availability_zone, 100);
      uint64_t after = choose (&directory, &evacuations, 7, 1000);
      CU_ASSERT (after != 0 && after != before && after != UINT64_MAX);
      /* The others may get the requests that this one cannot take. */
      CU_ASSERT (__builtin_popcountll (after & ~before) >= 1);
      if (trouble == DRAINING || trouble == MISSING || trouble == EVACUATED)
        CU_ASSERT_EQUAL (after & before, 0);
      directory_finish (&directory);
    }
}

static const struct sim_fault good = { .name = "good" };

static const struct sim_fault faults[] = {
  { "errors at once", 500, 1, UINT32_MAX, 0, 0 },
  { "slow at once", 500, 8, UINT32_MAX, 0, 0 },
  { "errors later", 500, 1, UINT32_MAX, 3000, 0 },
  { "errors on one route", 500, 1, 1, 0, 0 },
  { "errors on a rare route", 500, 1, 2, 0, 0 },
  { "errors under load", 500, 1, UINT32_MAX, 0, 650 },
  { "slow under load", 500, 8, UINT32_MAX, 0, 650 },
};

static const struct sim_service services[] = {
  { 3, 8, 3, 100, 500, 15000 },     { 3, 8, 300, 100, 500, 15000 },
  { 6, 8, 3, 100, 500, 15000 },     { 6, 8, 300, 100, 500, 15000 },
  { 30, 8, 3, 200, 500, 15000 },    { 30, 8, 300, 200, 500, 15000 },
  { 30, 2, 30, 5, 500, 15000 },     { 6, 8, 30, 100, 500, 30000 },
  { 3, 4, 3, 5, 500, 15000 },       { 3, 8, 3, 2000, 500, 15000 },
  { 30, 8, 300, 2000, 500, 15000 },
};

/// Services whose targets get enough requests, with times above the resolution
/// of the latencies, for all faults to be found
/// (docs/design/rollout-spread.md).
#define JUDGED_SERVICES 8

/// Exposure of a run as a fraction of what the operators allow.
static double
exposure (const struct sim_result *result)
{
  return result->new_requests / (result->all_requests / 10.0 + 50);
}

static bool
keeps_rules (const struct sim_result *result)
{
  return exposure (result) <= 1
         && (result->fiftieth_ms == 0
             || result->last_new_ms <= result->fiftieth_ms + 5000);
}

static void
test_good_versions_are_done_in_time (void)
{
  for (size_t s = 0; s < LENGTH (services); s++)
    for (uint64_t seed = 1; seed <= 2; seed++)
      {
        struct sim_result result
            = sim_play (&services[s], &good, true, 100 + seed);
        CU_ASSERT (result.finished);
        CU_ASSERT (result.end_ms < services[s].duration_ms);
        if (!result.finished)
          printf ("service %zu seed %d: %s\n", s, (int)seed, result.reason);
      }
}

/// Runs of the test below that may break a rule, of 112. A fault that shows at
/// times only may spare the first targets; in the measured rows one run in
/// twenty does. Without concentration 27 do.
#define BROKEN_MAX 2

static void
test_bad_versions_get_few_requests (void)
{
  unsigned broken = 0;
  for (size_t s = 0; s < JUDGED_SERVICES; s++)
    for (size_t f = 0; f < LENGTH (faults); f++)
      for (uint64_t seed = 1; seed <= 2; seed++)
        {
          struct sim_result result
              = sim_play (&services[s], &faults[f], true, 100 + seed);
          CU_ASSERT (result.rolled_back);
          if (keeps_rules (&result))
            continue;
          broken++;
          printf ("service %zu, %s, seed %d: %u of %u\n", s, faults[f].name,
                  (int)seed, result.new_requests, result.all_requests);
        }
  CU_ASSERT (broken <= BROKEN_MAX);
}

/// Prints the comparison of docs/design/rollout-spread.md.
static void
print_table (uint64_t seeds)
{
  for (size_t s = 0; s < LENGTH (services); s++)
    for (size_t f = 0; f <= LENGTH (faults); f++)
      {
        const struct sim_fault *fault = f == 0 ? &good : &faults[f - 1];
        printf ("| %u x %u, %u ms, %u | %s |", services[s].targets,
                services[s].slots, services[s].service_ms, services[s].entries,
                fault->name);
        for (int spread = 0; spread < 2; spread++)
          {
            double mean = 0;
            double worst = 0;
            double end_s = 0;
            unsigned back = 0;
            unsigned broken = 0;
            for (uint64_t seed = 1; seed <= seeds; seed++)
              {
                struct sim_result result
                    = sim_play (&services[s], fault, spread, seed);
                mean += exposure (&result) / (double)seeds;
                worst = fmax (worst, exposure (&result));
                end_s += (double)result.end_ms / 1000 / (double)seeds;
                back += result.rolled_back;
                broken += !keeps_rules (&result);
              }
            if (f == 0)
              printf (" %.1f s, %u taken back |", end_s, back);
            else
              printf (" %.2f (%.2f), %.1f s, %u broken |", mean, worst, end_s,
                      broken);
          }
        printf ("\n");
        fflush (stdout);
      }
}

int
main (int argc, char **argv)
{
  static const struct test_case cases[] = {
    { "a share is given to too many or too few targets",
      test_number_of_targets },
    { "nodes choose different targets, or each move the same",
      test_same_targets_at_all_nodes },
    { "requests go to a target that cannot take them",
      test_falls_back_to_other_targets },
    { "a good version under load is taken back",
      test_good_versions_are_done_in_time },
    { "a version that is bad under load gets too many requests",
      test_bad_versions_get_few_requests },
  };
  if (argc > 1)
    {
      print_table (strtoull (argv[1], NULL, 10));
      return 0;
    }
  return testing_run ("rollout_spread", cases, LENGTH (cases));
}
