#include "state/directory.h"
#include "testing.h"

#include <string.h>

static struct directory directory;

static struct directory_entry
make_entry (const char *node, const char *instance)
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
  struct directory_entry entry = make_entry (node, instance);
  directory_put (&directory, &entry, revision, now_ms);
}

static bool
has_node (const char *node)
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
test_missing_nodes_are_removed_late (void)
{
  set_up ();
  put ("a", "i1", 5, 0);
  put ("b", "i2", 6, 0);
  directory_mark_missing (&directory, "a", 7, 1000);
  directory_mark_missing (&directory, "b", 8, 1000);
  put ("b", "i2", 9, 2000); /* present again before it is removed */
  directory_expire (&directory, false, 1000 + DIRECTORY_MISSING_MS - 1);
  CU_ASSERT (has_node ("a"));
  directory_expire (&directory, false, 1000 + DIRECTORY_MISSING_MS);
  CU_ASSERT (!has_node ("a"));
  CU_ASSERT (has_node ("b"));
}

static void
test_outage_of_the_store (void)
{
  set_up ();
  put ("a", "i1", 5, 0);
  directory_mark_missing (&directory, "a", 7, 1000);
  directory_expire (&directory, true, 9000);
  directory_expire (&directory, false, 10000);
  CU_ASSERT (has_node ("a"));
  directory_expire (&directory, false, 9000 + DIRECTORY_MISSING_MS);
  CU_ASSERT (!has_node ("a"));
}

static void
test_older_revisions_are_ignored (void)
{
  set_up ();
  put ("a", "i2", 9, 0);
  put ("a", "i1", 5, 10);
  CU_ASSERT_STRING_EQUAL (directory.records[0].entry.instance, "i2");
  directory_mark_missing (&directory, "a", 8, 10);
  CU_ASSERT_EQUAL (directory.records[0].missing_ms, 0);
}

static void
test_full_listing (void)
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
  CU_ASSERT (!has_node ("a"));
  CU_ASSERT (has_node ("b"));
  CU_ASSERT (has_node ("c"));
}

static void
test_new_incarnation_resets_load (void)
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
test_reused_handle (void)
{
  set_up ();
  put ("a", "i1", 5, 0);
  uint64_t serial = directory.records[0].serial;
  CU_ASSERT (directory_get (&directory, 0, serial) != NULL);
  directory_mark_missing (&directory, "a", 6, 10);
  directory_expire (&directory, false, 10 + DIRECTORY_MISSING_MS);
  CU_ASSERT (directory_get (&directory, 0, serial) == NULL);
  put ("b", "i2", 7, 5000);
  CU_ASSERT (directory_get (&directory, 0, serial) == NULL);
}

int
main (void)
{
  static const struct test_case cases[] = {
    { "a running node is removed when its entry is missing briefly",
      test_missing_nodes_are_removed_late },
    { "nodes are removed while the store is unreachable",
      test_outage_of_the_store },
    { "an older revision of an entry replaces a newer one",
      test_older_revisions_are_ignored },
    { "a node that a full listing lacks is never removed", test_full_listing },
    { "a new target is avoided because of failures of the previous one",
      test_new_incarnation_resets_load },
    { "a result is counted for another node that reuses the handle",
      test_reused_handle },
  };
  return testing_run ("directory", cases, sizeof cases / sizeof cases[0]);
}
