#include "coordination/store_pace.h"
#include "testing.h"

#include <stdio.h>

static void
test_probe_intervals (void)
{
  static const struct
  {
    const char *what;
    struct store_pace_view view;
    uint64_t expected_ms;
  } rows[] = {
    { "small mesh", { .nodes = 11 }, STORE_PACE_MS_MIN },
    { "relay of a large mesh",
      { .nodes = 5100, .is_relay = true },
      STORE_PACE_MS_MIN },
    { "large mesh without a relay", { .nodes = 300 }, STORE_PACE_MS_MAX },
    { "refused by the store, relay serves",
      { .nodes = 300, .relay = STORE_PACE_RELAY_SERVING },
      STORE_PACE_MS_MAX },
    { "relay lacks the store too",
      { .nodes = 300, .relay = STORE_PACE_RELAY_REFUSING },
      STORE_PACE_FOLLOWER_MS_MAX },
    { "no view, first failure", { .failures = 0 }, STORE_PACE_MS_MIN },
    { "no view, many failures", { .failures = 1000 }, STORE_PACE_MS_MAX },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      uint64_t pace_ms = store_pace_probe_ms (&rows[i].view);
      if (pace_ms != rows[i].expected_ms)
        printf ("  %s: %llu ms\n", rows[i].what, (unsigned long long)pace_ms);
      CU_ASSERT_EQUAL (pace_ms, rows[i].expected_ms);
    }
}

/// An outage of 8 s that all nodes notice at once and that each relay reports.
static void
test_probes_do_not_grow_with_the_mesh (void)
{
  static const size_t sizes[] = { 30, 100, 300, 5100 };
  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    {
      struct store_pace_view follower
          = { .nodes = sizes[i], .relay = STORE_PACE_RELAY_REFUSING };
      double probes_per_s
          = (double)sizes[i] * 1000 / (double)store_pace_probe_ms (&follower);
      double one_in_four_s = (double)sizes[i] / 4;
      CU_ASSERT (probes_per_s <= 64 || probes_per_s <= one_in_four_s);
    }
}

static const struct test_case cases[] = {
  { "a node probes too often, or finds the store's return too late",
    test_probe_intervals },
  { "the probes of all nodes flood a store that refuses",
    test_probes_do_not_grow_with_the_mesh },
};

int
main (void)
{
  return testing_run ("store_pace", cases, sizeof cases / sizeof cases[0]);
}
