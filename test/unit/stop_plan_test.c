#include "testing.h"

#include "coordination/stop_plan.h"

/// A process that is killed at the end of its grace cuts what it has accepted:
/// at each length, requests are accepted, ended and the process left in time.
static void
test_order_at_each_grace (void)
{
  static const uint32_t graces[]
      = { 0,    1,    7,    100,  600,  1000,  2000,  2900,   3000,
          3500, 5800, 6000, 7000, 9999, 10000, 30000, 600000, UINT32_MAX };
  for (size_t i = 0; i < sizeof graces / sizeof graces[0]; i++)
    {
      struct stop_plan plan = stop_plan_make (graces[i]);
      CU_ASSERT (plan.accept_peers_ms <= plan.accept_callers_ms);
      CU_ASSERT (plan.accept_callers_ms <= plan.answer_by_ms);
      CU_ASSERT (plan.answer_by_ms <= plan.exit_by_ms);
      CU_ASSERT (plan.exit_by_ms <= graces[i]);
      CU_ASSERT (plan.accept_callers_ms < 3000);
      CU_ASSERT (plan.answer_by_ms >= graces[i] - graces[i] / 6);
      if (graces[i] < 600)
        continue;
      CU_ASSERT (plan.accept_peers_ms > 0);
      CU_ASSERT (plan.answer_by_ms - plan.accept_callers_ms >= graces[i] / 3);
      CU_ASSERT (plan.exit_by_ms - plan.answer_by_ms >= 40);
      CU_ASSERT (graces[i] - plan.exit_by_ms >= 40);
    }
}

static void
test_times (void)
{
  static const struct
  {
    uint32_t grace_ms;
    struct stop_plan plan;
  } rows[] = {
    { 1000, { 400, 500, 858, 929 } },
    { 2000, { 800, 1000, 1715, 1858 } },
    { 3000, { 1200, 1500, 2572, 2786 } },
    { 6000, { 2400, 2900, 5143, 5750 } },
    { 10000, { 2400, 2900, 8572, 9750 } },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct stop_plan plan = stop_plan_make (rows[i].grace_ms);
      CU_ASSERT_EQUAL (plan.accept_peers_ms, rows[i].plan.accept_peers_ms);
      CU_ASSERT_EQUAL (plan.accept_callers_ms, rows[i].plan.accept_callers_ms);
      CU_ASSERT_EQUAL (plan.answer_by_ms, rows[i].plan.answer_by_ms);
      CU_ASSERT_EQUAL (plan.exit_by_ms, rows[i].plan.exit_by_ms);
    }
}

static const struct test_case cases[] = {
  { "a process is killed with requests in progress at the end of its grace",
    test_order_at_each_grace },
  { "a node refuses callers too early or accepts them too late", test_times },
};

int
main (void)
{
  return testing_run ("stop_plan", cases, sizeof cases / sizeof cases[0]);
}
