#include "coordination/target_speed.h"
#include "testing.h"

/// Runs requests one after the other on a target whose figure changes.
/// @param work_us  time of each request at 100 percent
/// @param period_us,disturbed_us  the figure is 250 percent for the second
///                                time in each period
/// @return the smoothed service time
static uint32_t
run_requests (uint64_t work_us, uint64_t usual_percent, uint64_t period_us,
              uint64_t disturbed_us)
{
  struct target_speed speed = { .percent = 0 };
  uint64_t now_us = 1000000;
  for (int i = 0; i < 400; i++)
    {
      uint64_t start_us = now_us;
      uint64_t integral = target_speed_integral (&speed, now_us);
      uint64_t percent = usual_percent;
      /* Steps of 5 ms: the figure is seen with the responses of others. */
      for (uint64_t done = 0; done < work_us * 100;)
        {
          percent = now_us % period_us < disturbed_us ? usual_percent * 5 / 2
                                                      : usual_percent;
          done += 5000 * 100 * 100 / percent;
          now_us += 5000;
          target_speed_note (&speed, (uint32_t)percent, now_us);
        }
      target_speed_sample (&speed, start_us, integral, now_us);
    }
  return speed.service_us;
}

static void
test_disturbance_does_not_change_the_service_time (void)
{
  static const struct
  {
    uint64_t work_us;
    uint64_t usual_percent;
    uint64_t disturbed_us;
  } rows[] = {
    { 170000, 100, 0 },      { 170000, 100, 600000 }, { 309000, 100, 600000 },
    { 170000, 182, 600000 }, { 50000, 100, 600000 },  { 1000000, 100, 600000 },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      uint32_t us = run_requests (rows[i].work_us, rows[i].usual_percent,
                                  4000000, rows[i].disturbed_us);
      CU_ASSERT (us > rows[i].work_us * 90 / 100);
      CU_ASSERT (us < rows[i].work_us * 110 / 100);
    }
}

static void
test_requests_without_figure_are_no_samples (void)
{
  struct target_speed speed = { .percent = 0 };
  uint64_t integral = target_speed_integral (&speed, 1000);
  target_speed_sample (&speed, 1000, integral, 51000);
  CU_ASSERT_EQUAL (speed.service_us, 0);
  /* Most of its time is before the first figure. */
  target_speed_note (&speed, 100, 60000);
  target_speed_sample (&speed, 1000, integral, 61000);
  CU_ASSERT_EQUAL (speed.service_us, 0);
  CU_ASSERT_FALSE (target_speed_is_known (&speed, 61000));
  integral = target_speed_integral (&speed, 61000);
  target_speed_sample (&speed, 61000, integral, 111000);
  CU_ASSERT_EQUAL (speed.service_us, 50000);
  CU_ASSERT (target_speed_is_known (&speed, 111000));
  CU_ASSERT_FALSE (target_speed_is_known (
      &speed, 60000 + TARGET_SPEED_AGE_MS_MAX * 1000 + 1));
}

int
main (void)
{
  static const struct test_case cases[] = {
    { "a disturbed target looks slow by nature",
      test_disturbance_does_not_change_the_service_time },
    { "requests from before the first figure distort the service time",
      test_requests_without_figure_are_no_samples },
  };
  return testing_run ("target_speed", cases, sizeof cases / sizeof cases[0]);
}
