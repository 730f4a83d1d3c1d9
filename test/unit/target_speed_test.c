#include "coordination/admission_queue.h"
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

static void
test_expected_time_follows_the_speed (void)
{
  static const struct
  {
    uint32_t percent;
    uint32_t mean_percent;
    uint32_t mean_us;
    uint64_t age_us;
    uint32_t min_us;
    uint32_t max_us;
  } rows[] = {
    { 100, 100, 170000, 0, 170000, 170000 },
    { 250, 100, 5000, 0, 12400, 12500 },        /* all of it is disturbed */
    { 250, 100, 2000000, 0, 2900000, 3100000 }, /* only its beginning is */
    { 250, 250, 425000, 0, 340000, 360000 }, /* the mean was disturbed too */
    { 100, 250, 425000, 0, 169000, 171000 }, /* the disturbance is over */
    { 250, 100, 170000, 1000000, 240000, 260000 }, /* an old figure */
    { 250, 100, 170000, 3000000, 170000, 170000 }, /* too old */
    { 10000, 100, 170000, 0, 595000, 610000 },     /* not believed */
    { 10, 100, 170000, 0, 30000, 50000 },
    { 100, 0, 170000, 0, 170000, 170000 },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct target_speed speed = { .percent = rows[i].percent,
                                    .us = 5000000,
                                    .since_us = 1,
                                    .service_us = rows[i].mean_us,
                                    .mean_percent = rows[i].mean_percent };
      uint32_t us = target_speed_expected_us (&speed, rows[i].mean_us,
                                              5000000 + rows[i].age_us);
      CU_ASSERT (us >= rows[i].min_us && us <= rows[i].max_us);
    }
}

/// Work of 170 ms is offered with 300 ms left while the target is 2.5 times
/// slower, and again when it is not.
static void
test_admission_uses_the_speed (void)
{
  static const struct admission_queue_ops ops = { .run = NULL };
  struct admission_queue queue;
  struct target_speed speed = { .percent = 100,
                                .us = 1,
                                .since_us = 1,
                                .service_us = 170000,
                                .mean_percent = 100 };
  enum admit_refusal why;
  admission_queue_init (&queue, &ops, NULL);
  admission_queue_set_slots (&queue, 4, 0);
  queue.speed = &speed;
  struct admission_queue_work work
      = { .kind = 7, .objective_ms = 2000, .deadline_ms = 2000 };
  struct admission_queue_ticket ticket = { .state = ADMIT_NEW };
  CU_ASSERT_EQUAL (
      admission_queue_offer (&queue, &ticket, &work, 1000000, &why),
      STATUS_OK);
  admission_queue_finish (&queue, &ticket, true, 1170000);
  target_speed_note (&speed, 250, 1170000);
  work.deadline_ms = 1500;
  ticket = (struct admission_queue_ticket){ .state = ADMIT_NEW };
  CU_ASSERT_EQUAL (
      admission_queue_offer (&queue, &ticket, &work, 1200000, &why),
      STATUS_UNAVAILABLE);
  CU_ASSERT_EQUAL (why, ADMIT_REFUSED_LATE);
  target_speed_note (&speed, 100, 1200000);
  ticket = (struct admission_queue_ticket){ .state = ADMIT_NEW };
  CU_ASSERT_EQUAL (
      admission_queue_offer (&queue, &ticket, &work, 1200000, &why),
      STATUS_OK);
}

int
main (void)
{
  static const struct test_case cases[] = {
    { "a disturbed target looks slow by nature",
      test_disturbance_does_not_change_the_service_time },
    { "requests from before the first figure distort the service time",
      test_requests_without_figure_are_no_samples },
    { "the expected time ignores or exaggerates the speed",
      test_expected_time_follows_the_speed },
    { "work is admitted that a disturbed target cannot end in time",
      test_admission_uses_the_speed },
  };
  return testing_run ("target_speed", cases, sizeof cases / sizeof cases[0]);
}
