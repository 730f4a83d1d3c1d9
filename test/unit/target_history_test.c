#include "state/target_history.h"
#include "testing.h"

#include <stdio.h>
#include <string.h>

static struct directory_entry
make_entry (const char *instance, uint64_t started_ms, bool leaving)
{
  struct directory_entry entry
      = { .started_ms = started_ms, .leaving = leaving };
  strcpy (entry.instance, instance);
  return entry;
}

static void
test_reports_after_a_restart (void)
{
  static const struct
  {
    const char *what;
    struct
    {
      const char *instance;
      uint64_t started_ms;
      bool leaving;
    } entry;
    const char *instance;
    uint64_t started_ms;
    enum target_verdict verdict;
  } rows[] = {
    { "delayed report of a leaving target",
      { "a", 100, true },
      "a",
      100,
      TARGET_LEAVING },
    { "leaving target without a start time",
      { "a", 0, true },
      "a",
      0,
      TARGET_LEAVING },
    { "start time known on one side only",
      { "a", 0, true },
      "a",
      100,
      TARGET_LEAVING },
    { "same name started again",
      { "a", 100, true },
      "a",
      200,
      TARGET_CURRENT },
    { "delayed report of a replaced target",
      { "b", 200, false },
      "a",
      100,
      TARGET_REPLACED },
    { "replacement after a leave",
      { "a", 100, true },
      "b",
      200,
      TARGET_CURRENT },
    { "target that stays", { "a", 100, false }, "a", 100, TARGET_CURRENT },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct target_history history = { 0 };
      struct directory_entry entry
          = make_entry (rows[i].entry.instance, rows[i].entry.started_ms,
                        rows[i].entry.leaving);
      target_history_restore (&history, &entry);
      enum target_verdict verdict = target_history_judge (
          &history, rows[i].instance, rows[i].started_ms);
      if (verdict != rows[i].verdict)
        printf ("  %s: %d\n", rows[i].what, (int)verdict);
      CU_ASSERT_EQUAL (verdict, rows[i].verdict);
    }
}

static void
test_nothing_known (void)
{
  struct target_history history = { 0 };
  struct directory_entry none = make_entry ("", 0, true);
  target_history_restore (&history, &none);
  CU_ASSERT (!history.known);
  CU_ASSERT_EQUAL (target_history_judge (&history, "a", 100), TARGET_CURRENT);
}

static void
test_older_entries_change_nothing (void)
{
  struct target_history history = { 0 };
  struct directory_entry newer = make_entry ("b", 200, true);
  struct directory_entry older = make_entry ("a", 100, false);
  struct directory_entry earlier = make_entry ("b", 200, false);
  target_history_restore (&history, &newer);
  target_history_restore (&history, &older);
  target_history_restore (&history, &earlier);
  CU_ASSERT_EQUAL (target_history_judge (&history, "b", 200), TARGET_LEAVING);
}

/// The notice of a leave may be applied again after the target's name has
/// started once more, and may lack the time of the start.
static void
test_leave_of_an_earlier_start (void)
{
  static const struct
  {
    const char *what;
    struct
    {
      uint64_t started_ms;
      bool leaving;
    } entries[2];
    uint64_t started_ms; ///< of the report
    enum target_verdict verdict;
  } rows[] = {
    { "leave, then a later start",
      { { 100, true }, { 200, false } },
      200,
      TARGET_CURRENT },
    { "later start, then the leave again",
      { { 200, false }, { 100, true } },
      200,
      TARGET_CURRENT },
    { "start known, then a leave without it",
      { { 100, false }, { 0, true } },
      100,
      TARGET_LEAVING },
    { "the same, and a later start reports",
      { { 100, false }, { 0, true } },
      200,
      TARGET_CURRENT },
    { "leave, then the entry from before it",
      { { 100, true }, { 100, false } },
      100,
      TARGET_LEAVING },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct target_history history = { 0 };
      for (size_t k = 0; k < 2; k++)
        {
          struct directory_entry entry = make_entry (
              "a", rows[i].entries[k].started_ms, rows[i].entries[k].leaving);
          target_history_restore (&history, &entry);
        }
      enum target_verdict verdict
          = target_history_judge (&history, "a", rows[i].started_ms);
      if (verdict != rows[i].verdict)
        printf ("  %s: %d\n", rows[i].what, (int)verdict);
      CU_ASSERT_EQUAL (verdict, rows[i].verdict);
    }
}

static void
test_leave_before_any_report (void)
{
  struct target_history history = { 0 };
  target_history_note_leave (&history, "a");
  CU_ASSERT_EQUAL (target_history_judge (&history, "a", 100), TARGET_LEAVING);
  CU_ASSERT_EQUAL (target_history_judge (&history, "b", 100), TARGET_CURRENT);
}

static const struct test_case cases[] = {
  { "a target that has left is used again after a restart of its node",
    test_reports_after_a_restart },
  { "an empty entry makes a target leave", test_nothing_known },
  { "an older entry revokes a leave", test_older_entries_change_nothing },
  { "a leave bars the next start of the target, or loses its own",
    test_leave_of_an_earlier_start },
  { "a leave that precedes the first report is forgotten",
    test_leave_before_any_report },
};

int
main (void)
{
  return testing_run ("target_history", cases, sizeof cases / sizeof cases[0]);
}
