#include "state/directory.h"
#include "testing.h"

#include <string.h>

static struct directory directory;

static struct directory_entry
entry_of (const char *node, const char *instance)
{
  struct directory_entry entry
      = { .state = DIRECTORY_READY, .port = 1, .address = 1, .epoch = 1 };
  strcpy (entry.node, node);
  strcpy (entry.instance, instance);
  return entry;
}

static void
put (const char *node, const char *instance, uint64_t revision,
     uint64_t now_ms)
{
  struct directory_entry entry = entry_of (node, instance);
  directory_put (&directory, &entry, revision, now_ms);
}

static bool
holds (const char *node)
{
  return directory_find (&directory, node) != SIZE_MAX;
}

static void
set_up (void)
{
  directory_finish (&directory);
  directory_init (&directory);
}

static void
test_lapsed_nodes_stay_for_a_while (void)
{
  set_up ();
  put ("a", "i1", 5, 0);
  put ("b", "i2", 6, 0);
  directory_lapse (&directory, "a", 7, 1000);
  directory_lapse (&directory, "b", 8, 1000);
  put ("b", "i2", 9, 2000); /* back within two seconds */
  directory_expire (&directory, false, 1000 + DIRECTORY_MISSING_MS - 1);
  CU_ASSERT (holds ("a"));
  directory_expire (&directory, false, 1000 + DIRECTORY_MISSING_MS);
  CU_ASSERT (!holds ("a"));
  CU_ASSERT (holds ("b"));
}

static void
test_time_without_the_store_does_not_count (void)
{
  set_up ();
  put ("a", "i1", 5, 0);
  directory_lapse (&directory, "a", 7, 1000);
  directory_expire (&directory, true, 9000);
  directory_expire (&directory, false, 10000);
  CU_ASSERT (holds ("a"));
  directory_expire (&directory, false, 9000 + DIRECTORY_MISSING_MS);
  CU_ASSERT (!holds ("a"));
}

static void
test_older_news_change_nothing (void)
{
  set_up ();
  put ("a", "i2", 9, 0);
  put ("a", "i1", 5, 10);
  CU_ASSERT_STRING_EQUAL (directory.records[0].entry.instance, "i2");
  directory_lapse (&directory, "a", 8, 10);
  CU_ASSERT_EQUAL (directory.records[0].missing_ms, 0);
}

static void
test_full_list (void)
{
  set_up ();
  put ("a", "i1", 5, 0);
  put ("b", "i2", 6, 0);
  directory_begin_list (&directory);
  put ("b", "i2", 6, 100);
  put ("c", "i3", 20, 100);
  directory_end_list (&directory, 21, 100);
  CU_ASSERT (directory.records[0].missing_ms != 0);
  CU_ASSERT_EQUAL (directory.records[1].missing_ms, 0);
  directory_expire (&directory, false, 100 + DIRECTORY_MISSING_MS);
  CU_ASSERT (!holds ("a"));
  CU_ASSERT (holds ("b"));
  CU_ASSERT (holds ("c"));
}

static void
test_new_incarnation_starts_without_history (void)
{
  set_up ();
  put ("a", "i1", 5, 0);
  directory.records[0].load.failures = 3;
  directory.records[0].load.down_until_ms = 99999;
  directory.records[0].load.in_flight = 2;
  put ("a", "i2", 6, 50);
  CU_ASSERT_EQUAL (directory.records[0].load.down_until_ms, 0);
  CU_ASSERT_EQUAL (directory.records[0].load.in_flight, 2);
  CU_ASSERT_EQUAL (directory.records[0].seen_ms, 50);
}

static void
test_handle_of_a_removed_node (void)
{
  set_up ();
  put ("a", "i1", 5, 0);
  uint64_t serial = directory.records[0].serial;
  CU_ASSERT (directory_get (&directory, 0, serial) != NULL);
  directory_lapse (&directory, "a", 6, 10);
  directory_expire (&directory, false, 10 + DIRECTORY_MISSING_MS);
  CU_ASSERT (directory_get (&directory, 0, serial) == NULL);
  put ("b", "i2", 7, 5000);
  CU_ASSERT (directory_get (&directory, 0, serial) == NULL);
}

int
main (void)
{
  static const struct test_case cases[] = {
    { "a living node is dropped when its entry lapses",
      test_lapsed_nodes_stay_for_a_while },
    { "nodes are dropped while the store is away",
      test_time_without_the_store_does_not_count },
    { "an older entry replaces a newer one", test_older_news_change_nothing },
    { "a node that a full list lacks stays for good", test_full_list },
    { "a new target is avoided for the failures of the one before",
      test_new_incarnation_starts_without_history },
    { "a result is counted for another node that has the handle now",
      test_handle_of_a_removed_node },
  };
  return testing_run ("directory", cases, sizeof cases / sizeof cases[0]);
}
