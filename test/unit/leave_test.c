/// Tests of the notices of leaves that nodes hold for each other.
#include "coordination/leave_holders.h"
#include "state/leave_table.h"
#include "testing.h"

#include <stdio.h>
#include <string.h>

static struct directory_entry
make_entry (const char *node, const char *instance, uint64_t started_ms,
            bool leaving)
{
  struct directory_entry entry
      = { .started_ms = started_ms, .leaving = leaving };
  strcpy (entry.node, node);
  strcpy (entry.instance, instance);
  return entry;
}

static void
test_newest_incarnation_is_held (void)
{
  static const struct
  {
    const char *what;
    const char *instance;
    uint64_t started_ms;
    const char *held; ///< instance held after that of "a", started at 100
    uint64_t held_started_ms;
  } rows[] = {
    { "the same again", "a", 100, "a", 100 },
    { "later start of the same name", "a", 200, "a", 200 },
    { "delayed notice of an earlier start", "a", 50, "a", 100 },
    { "successor", "b", 200, "b", 200 },
    { "delayed notice of a predecessor", "b", 50, "a", 100 },
    { "another target without a start time", "b", 0, "b", 0 },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      static struct leave_table table;
      memset (&table, 0, sizeof table);
      struct directory_entry first = make_entry ("n", "a", 100, true);
      struct directory_entry second
          = make_entry ("n", rows[i].instance, rows[i].started_ms, true);
      leave_table_put (&table, &first, 1000);
      leave_table_put (&table, &second, 2000);
      const struct leave_notice *notice = leave_table_find (&table, "n");
      bool correct = notice != NULL
                     && strcmp (notice->entry.instance, rows[i].held) == 0
                     && notice->entry.started_ms == rows[i].held_started_ms;
      if (!correct)
        printf ("  %s\n", rows[i].what);
      CU_ASSERT (correct);
      CU_ASSERT_PTR_NULL (leave_table_find (&table, "m"));
    }
}

/// A notice that is held again must not be written to the store again.
static void
test_repeated_notice_stays_in_the_store (void)
{
  static struct leave_table table;
  struct directory_entry entry = make_entry ("n", "a", 100, true);
  leave_table_put (&table, &entry, 1000)->lease = 7;
  CU_ASSERT_EQUAL (leave_table_put (&table, &entry, 2000)->lease, 7);
  struct directory_entry later = make_entry ("n", "a", 200, true);
  CU_ASSERT_EQUAL (leave_table_put (&table, &later, 3000)->lease, 0);
}

static void
test_full_table_drops_the_oldest (void)
{
  static struct leave_table table;
  char node[16];
  for (unsigned i = 0; i <= LEAVE_TABLE_MAX; i++)
    {
      snprintf (node, sizeof node, "n%u", i);
      struct directory_entry entry = make_entry (node, "a", 100, true);
      leave_table_put (&table, &entry, 1000 + i);
    }
  CU_ASSERT_PTR_NULL (leave_table_find (&table, "n0"));
  CU_ASSERT_PTR_NOT_NULL (leave_table_find (&table, "n1"));
  CU_ASSERT_PTR_NOT_NULL (leave_table_find (&table, node));
}

static void
test_settled_notices (void)
{
  static const struct
  {
    const char *what;
    uint64_t notice_started_ms;
    const char *instance;
    uint64_t started_ms;
    bool leaving;
    bool settled;
  } rows[] = {
    { "entry from before the leave", 100, "a", 100, false, false },
    { "the same without a start in the notice", 0, "a", 100, false, false },
    { "entry with the leave", 100, "a", 100, true, true },
    { "the same without a start in the notice", 0, "a", 100, true, true },
    { "later start of the same name", 100, "a", 200, false, true },
    { "successor", 100, "b", 200, false, true },
    { "entry of a predecessor", 100, "b", 50, false, false },
    { "another target, order unknown", 0, "b", 200, false, false },
    { "entry without a target", 100, "", 0, false, false },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct leave_notice notice
          = { .entry
              = make_entry ("n", "a", rows[i].notice_started_ms, true) };
      struct directory_entry entry = make_entry (
          "n", rows[i].instance, rows[i].started_ms, rows[i].leaving);
      bool settled = leave_notice_is_settled (&notice, &entry);
      if (settled != rows[i].settled)
        printf ("  %s\n", rows[i].what);
      CU_ASSERT_EQUAL (settled, rows[i].settled);
    }
}

static void
test_notices_expire (void)
{
  struct leave_notice notice = { .held_ms = 1000 };
  CU_ASSERT (!leave_notice_is_expired (&notice, 1000 + LEAVE_HOLD_MS - 1));
  CU_ASSERT (leave_notice_is_expired (&notice, 1000 + LEAVE_HOLD_MS));
}

/// Adds nodes to a directory, in the order of `first` modulo `count`.
static void
fill_directory (struct directory *directory, unsigned count, unsigned first)
{
  directory_init (directory);
  for (unsigned i = 0; i < count; i++)
    {
      char node[16];
      snprintf (node, sizeof node, "n%u", (first + i) % count);
      struct directory_entry entry = make_entry (node, "i", 1, false);
      entry.state = (enum directory_state) (i % 4);
      directory_put (directory, &entry, i + 1, 0);
    }
}

/// Two processes of a node choose the same holders from directories that
/// differ in order and in the states of the nodes.
static void
test_holders_are_found_again (void)
{
  static const unsigned counts[] = { 1, 2, 3, 4, 16, 300 };
  for (size_t i = 0; i < sizeof counts / sizeof counts[0]; i++)
    {
      struct directory before, after;
      size_t old[LEAVE_HOLDERS_MAX], new[LEAVE_HOLDERS_MAX];
      fill_directory (&before, counts[i], 0);
      fill_directory (&after, counts[i], counts[i] / 2);
      size_t others = counts[i] - 1;
      size_t expected
          = others < LEAVE_HOLDERS_MAX ? others : LEAVE_HOLDERS_MAX;
      CU_ASSERT_EQUAL (leave_holders_choose (&before, "n0", old), expected);
      CU_ASSERT_EQUAL (leave_holders_choose (&after, "n0", new), expected);
      for (size_t k = 0; k < expected; k++)
        {
          const char *node = before.records[old[k]].entry.node;
          CU_ASSERT_STRING_EQUAL (node, after.records[new[k]].entry.node);
          CU_ASSERT (strcmp (node, "n0") != 0);
        }
      directory_finish (&before);
      directory_finish (&after);
    }
}

int
main (void)
{
  static const struct test_case cases[] = {
    { "a delayed notice replaces that of a later target",
      test_newest_incarnation_is_held },
    { "each repeated notice costs a write to the store",
      test_repeated_notice_stays_in_the_store },
    { "notices fill memory", test_full_table_drops_the_oldest },
    { "a notice is dropped before the store has the leave",
      test_settled_notices },
    { "a notice is kept for ever", test_notices_expire },
    { "the next process of a node asks others than the last one told",
      test_holders_are_found_again },
  };
  return testing_run ("leave", cases, sizeof cases / sizeof cases[0]);
}
