#include "coordination/trip.h"
#include "testing.h"

#include <stdio.h>

static void
count_sends (void *arg, const struct trip *trip)
{
  ++*(unsigned *)arg;
}

static void
test_trip_is_permanent (void)
{
  struct trip_table table;
  struct config config;
  struct config_service service = { "zapisy", "v1" };
  struct config_move move = { .name = "zapisy-v2",
                              .service = "zapisy",
                              .from = "v1",
                              .to = "v2",
                              .by_ms = 1,
                              .reason = "" };
  bool added = false;
  unsigned sends = 0;
  trip_table_init (&table);
  config_init (&config);
  config_set_service (&config, &service);
  config_set_move (&config, &move);
  CU_ASSERT_EQUAL (trip_add (&table, "zapisy-v2", "first", true, 0, &added),
                   STATUS_OK);
  CU_ASSERT_TRUE (added);
  trip_add (&table, "zapisy-v2", "second", false, 5, &added);
  CU_ASSERT_FALSE (added);
  trip_mark_recorded (&table, &config);
  trip_broadcast_due (&table, 10, count_sends, &sends);
  trip_broadcast_due (&table, 20, count_sends, &sends);
  trip_broadcast_due (&table, 5000, count_sends, &sends);
  CU_ASSERT_EQUAL (sends, 2);
  move.phase = MOVE_ROLLED_BACK;
  config_set_move (&config, &move);
  trip_mark_recorded (&table, &config);
  trip_broadcast_due (&table, 1000000, count_sends, &sends);
  CU_ASSERT_EQUAL (sends, 2);
  CU_ASSERT_STRING_EQUAL (trip_find (&table, "zapisy-v2")->reason, "first");
  config_finish (&config);
  trip_table_finish (&table);
}

static void
test_bad_names_are_refused (void)
{
  static const char *const names[]
      = { "", "9a", "A", "a b",
          "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa" };
  struct trip_table table;
  bool added;
  trip_table_init (&table);
  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    CU_ASSERT_EQUAL (trip_add (&table, names[i], "", false, 0, &added),
                     STATUS_INVALID);
  for (unsigned i = 0; i < TRIP_MAX; i++)
    {
      char name[32];
      snprintf (name, sizeof name, "m%u", i);
      CU_ASSERT_EQUAL (trip_add (&table, name, "", false, 0, &added),
                       STATUS_OK);
    }
  CU_ASSERT_EQUAL (trip_add (&table, "more", "", false, 0, &added),
                   STATUS_TOO_LARGE);
  trip_table_finish (&table);
}

/// @return checks before the one that trips, or 1000; failures are per check
static int
checks_until_trip (unsigned new_failures, unsigned old_failures)
{
  struct trip_watch watch;
  trip_watch_init (&watch, 0);
  for (int i = 0; i < 1000; i++)
    {
      for (unsigned k = 0; k < 40; k++)
        trip_watch_count (&watch, k < 2,
                          k < 2 ? k < new_failures : k - 2 < old_failures);
      if (trip_watch_check (&watch, (uint64_t)i * 250))
        return i;
    }
  return 1000;
}

static void
test_own_evidence (void)
{
  CU_ASSERT (checks_until_trip (2, 0) <= 12); /* 3 s */
  CU_ASSERT (checks_until_trip (1, 0) <= 12);
  CU_ASSERT_EQUAL (checks_until_trip (0, 0), 1000);
  CU_ASSERT_EQUAL (checks_until_trip (2, 38), 1000);
  CU_ASSERT_EQUAL (checks_until_trip (1, 19), 1000);
}

static void
test_lost_target_does_not_trip (void)
{
  struct trip_watch watch;
  trip_watch_init (&watch, 0);
  for (uint64_t i = 0; i < 400; i++)
    {
      bool lost = i >= 200 && i < 204; /* fails for 1 s */
      for (unsigned k = 0; k < 40; k++)
        trip_watch_count (&watch, k < 20, lost && k < 20);
      CU_ASSERT_FALSE (trip_watch_check (&watch, i * 250));
    }
}

static const struct test_case cases[] = {
  { "a trip is lost, changed, or broadcast after it is recorded",
    test_trip_is_permanent },
  { "malformed broadcasts fill the trip table", test_bad_names_are_refused },
  { "a node trips late, or by an incident that hits both versions",
    test_own_evidence },
  { "a node trips when one target is lost", test_lost_target_does_not_trip },
};

int
main (void)
{
  return testing_run ("trip", cases, sizeof cases / sizeof cases[0]);
}
