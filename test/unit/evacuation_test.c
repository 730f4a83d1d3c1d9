#include "state/evacuation.h"
#include "testing.h"

#include <stdio.h>
#include <string.h>

static void
test_order_of_revisions (void)
{
  struct evacuation_set set = { .count = 0 };
  CU_ASSERT_EQUAL (evacuation_add (&set, "z1", 5), STATUS_OK);
  CU_ASSERT (evacuation_contains (&set, "z1"));
  CU_ASSERT (!evacuation_contains (&set, "z"));
  evacuation_remove (&set, "z1", 4);
  CU_ASSERT (evacuation_contains (&set, "z1"));
  CU_ASSERT_EQUAL (evacuation_add (&set, "z1", 9), STATUS_OK);
  CU_ASSERT_EQUAL (set.count, 1);
  evacuation_remove (&set, "z1", 8);
  CU_ASSERT (evacuation_contains (&set, "z1"));
  evacuation_remove (&set, "z1", 10);
  evacuation_remove (&set, "z2", 10);
  CU_ASSERT_EQUAL (set.count, 0);
}

static void
test_listing (void)
{
  struct evacuation_set set = { .count = 0 };
  evacuation_add (&set, "z1", 5);
  evacuation_add (&set, "z2", 6);
  evacuation_add (&set, "z3", 9);
  evacuation_begin_list (&set);
  CU_ASSERT (evacuation_contains (&set, "z1"));
  evacuation_add (&set, "z2", 6);
  evacuation_end_list (&set, 8);
  CU_ASSERT (!evacuation_contains (&set, "z1"));
  CU_ASSERT (evacuation_contains (&set, "z2"));
  /* Ordered after the listing was made. */
  CU_ASSERT (evacuation_contains (&set, "z3"));
}

static void
test_limits (void)
{
  struct evacuation_set set = { .count = 0 };
  char name[DIRECTORY_NAME_MAX + 2];
  memset (name, 'z', sizeof name);
  name[sizeof name - 1] = '\0';
  CU_ASSERT_EQUAL (evacuation_add (&set, name, 1), STATUS_INVALID);
  CU_ASSERT_EQUAL (evacuation_add (&set, "", 1), STATUS_INVALID);
  for (int i = 0; i < EVACUATION_ZONES_MAX; i++)
    {
      snprintf (name, sizeof name, "z%d", i);
      CU_ASSERT_EQUAL (evacuation_add (&set, name, 1), STATUS_OK);
    }
  CU_ASSERT_EQUAL (evacuation_add (&set, "other", 1), STATUS_INVALID);
  CU_ASSERT_EQUAL (evacuation_add (&set, "z3", 2), STATUS_OK);
}

int
main (void)
{
  static const struct test_case cases[] = {
    { "an older order or removal overrides a newer one",
      test_order_of_revisions },
    { "an evacuation is lost while all keys are read, or survives a removal "
      "that was compacted",
      test_listing },
    { "an odd zone name or too many zones corrupt the set", test_limits },
  };
  return testing_run ("evacuation", cases, sizeof cases / sizeof cases[0]);
}
