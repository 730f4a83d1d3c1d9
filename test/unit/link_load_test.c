#include "coordination/link_load.h"
#include "testing.h"

#define LINK 1250000 /* 10 Mbit/s */

/// Adds bodies at a constant rate for three seconds.
static uint64_t
free_after (uint64_t bytes_per_s)
{
  struct link_load load = { .bytes_per_s = 0 };
  uint64_t now_us = 5000000;
  for (int i = 0; i < 60; i++, now_us += 50000)
    link_load_add (&load, bytes_per_s / 20, now_us);
  return link_load_free (&load, LINK, now_us);
}

static void
test_rates (void)
{
  static const struct
  {
    uint64_t bytes_per_s;
    uint64_t least;
    uint64_t most;
  } rows[] = {
    { 0, LINK, LINK },
    { LINK / 2, LINK * 4 / 10, LINK * 6 / 10 },
    { LINK, LINK / 20, LINK / 8 },
    { 10 * LINK, LINK / 20, LINK / 20 },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      uint64_t left = free_after (rows[i].bytes_per_s);
      CU_ASSERT (left >= rows[i].least && left <= rows[i].most);
    }
}

static void
test_recovery (void)
{
  struct link_load load = { .bytes_per_s = 0 };
  link_load_add (&load, 10 * LINK, 1000000);
  CU_ASSERT_EQUAL (link_load_free (&load, LINK, 1000000), LINK / 20);
  CU_ASSERT (link_load_free (&load, LINK, 5000000) > LINK * 9 / 10);
  /* The time of a body may lie before the last update. */
  link_load_add (&load, 1, 4000000);
  CU_ASSERT (link_load_free (&load, LINK, 5000000) > LINK * 9 / 10);
  CU_ASSERT_EQUAL (link_load_free (&load, 0, 5000000), 0);
}

int
main (void)
{
  static const struct test_case cases[] = {
    { "a full link looks free, or a free one full", test_rates },
    { "a link stays full after its load has ended", test_recovery },
  };
  return testing_run ("link_load", cases, sizeof cases / sizeof cases[0]);
}
