#include "coordination/cold_limit.h"
#include "testing.h"

/// @return largest number of requests let through in any second when `per_s`
///         arrive each second from `from_ms` to `to_ms`
static unsigned
worst_second (struct cold_limit *limit, uint64_t from_ms, uint64_t to_ms,
              unsigned per_s)
{
  static uint64_t taken[100000];
  unsigned worst = 0;
  size_t first = 0;
  size_t count = 0;
  for (uint64_t i = 0; from_ms + i * 1000 / per_s < to_ms; i++)
    {
      uint64_t now = from_ms + i * 1000 / per_s;
      if (!cold_limit_take (limit, now))
        continue;
      taken[count++] = now;
      while (taken[first] + 1000 <= now)
        first++;
      if (count - first > worst)
        worst = (unsigned)(count - first);
    }
  return worst;
}

/// Load that returns at once to a zone: many times what a cold target
/// tolerates.
static void
test_rate (void)
{
  static const struct
  {
    double per_s;
    double slack;
    unsigned allowed; ///< of the platform: 1.5 times the rate and the slack
  } rows[] = { { 8.9, 8, 21 }, { 100, 8, 158 }, { 1, 0, 1 }, { 0.5, 8, 8 } };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct cold_limit limit = { .per_s = 0 };
      cold_limit_set (&limit, rows[i].per_s, rows[i].slack);
      CU_ASSERT (cold_limit_take (&limit, 900));
      cold_limit_report (&limit, 60000, 1000);
      unsigned worst = worst_second (&limit, 1000, 50000, 500);
      CU_ASSERT (worst <= rows[i].allowed);
      CU_ASSERT (worst >= (unsigned)rows[i].per_s);
      while (cold_limit_take (&limit, 50000))
        ;
      CU_ASSERT (cold_limit_wait_ms (&limit, 50000) > 0);
      CU_ASSERT (!cold_limit_take (&limit, 50000));
    }
}

static void
test_ends (void)
{
  struct cold_limit limit = { .per_s = 0 };
  cold_limit_set (&limit, 2, 0);
  cold_limit_suspect (&limit, 1000);
  CU_ASSERT (cold_limit_is_cold (&limit, 90000));
  CU_ASSERT (!cold_limit_take (&limit, 1000));
  cold_limit_report (&limit, 0, 2000);
  CU_ASSERT (!cold_limit_is_cold (&limit, 2000));
  CU_ASSERT (cold_limit_take (&limit, 2000));
  cold_limit_report (&limit, 3000, 2000);
  CU_ASSERT (cold_limit_is_cold (&limit, 4999));
  CU_ASSERT (!cold_limit_is_cold (&limit, 5000));
  CU_ASSERT_EQUAL (worst_second (&limit, 5000, 6000, 100), 100);
}

static void
test_no_limit (void)
{
  struct cold_limit limit = { .per_s = 0 };
  cold_limit_report (&limit, 3000, 1000);
  cold_limit_suspect (&limit, 1000);
  CU_ASSERT_EQUAL (worst_second (&limit, 1000, 3000, 500), 500);
  CU_ASSERT_EQUAL (cold_limit_wait_ms (&limit, 1000), 0);
}

int
main (void)
{
  static const struct test_case cases[] = {
    { "a cold target gets more requests in a second than it tolerates, or "
      "none",
      test_rate },
    { "a target counts as cold after it reported to be warm", test_ends },
    { "a service without the limit is limited", test_no_limit },
  };
  return testing_run ("cold_limit", cases, sizeof cases / sizeof cases[0]);
}
