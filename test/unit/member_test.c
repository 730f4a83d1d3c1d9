#include "base/hash.h"
#include "base/rng.h"
#include "state/member.h"
#include "testing.h"

#include <stdio.h>
#include <string.h>

static struct member
record (unsigned number, uint64_t incarnation, enum member_state state)
{
  struct member member
      = { .incarnation = incarnation, .state = state, .peer_port = 7000 };
  snprintf (member.slot, sizeof member.slot, "vm-%u", number);
  member.slot_id = hash_placement_string (member.slot);
  return member;
}

static void
test_precedence (void)
{
  static const struct
  {
    uint64_t held_incarnation;
    enum member_state held;
    uint64_t incarnation;
    enum member_state state;
    bool wins;
  } rows[] = { { 5, MEMBER_ALIVE, 5, MEMBER_ALIVE, false },
               { 5, MEMBER_ALIVE, 5, MEMBER_SUSPECT, true },
               { 5, MEMBER_SUSPECT, 5, MEMBER_ALIVE, false },
               { 5, MEMBER_SUSPECT, 6, MEMBER_ALIVE, true },
               { 5, MEMBER_SUSPECT, 5, MEMBER_LEFT, true },
               { 5, MEMBER_LEFT, 5, MEMBER_SUSPECT, false },
               { 5, MEMBER_LEFT, 5, MEMBER_DEAD, true },
               { 5, MEMBER_DEAD, 5, MEMBER_ALIVE, false },
               { 5, MEMBER_DEAD, 6, MEMBER_ALIVE, true },
               { 6, MEMBER_ALIVE, 5, MEMBER_DEAD, false } };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct member_table table;
      member_table_init (&table);
      struct member held = record (1, rows[i].held_incarnation, rows[i].held);
      struct member offered = record (1, rows[i].incarnation, rows[i].state);
      bool changed;
      member_merge (&table, &held, 1, &changed);
      CU_ASSERT (changed);
      uint64_t generation = table.generation;
      member_merge (&table, &offered, 2, &changed);
      CU_ASSERT_EQUAL (changed, rows[i].wins);
      CU_ASSERT_EQUAL (table.generation, generation + rows[i].wins);
      CU_ASSERT_EQUAL (table.items[0].changed_ms, rows[i].wins ? 2 : 1);
      member_table_finish (&table);
    }
}

static void
test_target_state_needs_incarnation (void)
{
  struct member_table table;
  member_table_init (&table);
  struct member member = record (1, 5, MEMBER_ALIVE);
  bool changed;
  member_merge (&table, &member, 0, &changed);
  member.target_state = TARGET_DRAINING;
  member_merge (&table, &member, 0, &changed);
  CU_ASSERT_FALSE (changed);
  member.incarnation++;
  member_merge (&table, &member, 0, &changed);
  CU_ASSERT (changed);
  member_table_finish (&table);
}

static void
test_handles_are_stable (void)
{
  struct member_table table;
  member_table_init (&table);
  CU_ASSERT_EQUAL (member_find (&table, 1), MEMBER_NONE);
  bool changed;
  for (unsigned i = 0; i < 5100; i++)
    {
      struct member member = record (i, 1, MEMBER_ALIVE);
      CU_ASSERT_EQUAL (member_merge (&table, &member, 0, &changed), STATUS_OK);
      CU_ASSERT_EQUAL (member_find (&table, member.slot_id), i);
    }
  for (unsigned i = 0; i < 5100; i++)
    {
      struct member member = record (i, 2, MEMBER_DEAD);
      CU_ASSERT_EQUAL (member_find (&table, member.slot_id), i);
      member_merge (&table, &member, 0, &changed);
      CU_ASSERT_EQUAL (member_find (&table, member.slot_id), i);
    }
  CU_ASSERT_EQUAL (table.count, 5100);
  member_table_finish (&table);
}

static void
test_merge_order_is_irrelevant (void)
{
  /* Records of the same incarnation and state are equal here, so any order of
     arrival must give the same table. */
  struct rng rng;
  rng_init (&rng, 3);
  for (int round = 0; round < 200; round++)
    {
      struct member offers[12];
      for (size_t i = 0; i < 12; i++)
        offers[i]
            = record ((unsigned)rng_below (&rng, 3), rng_below (&rng, 3) + 1,
                      (enum member_state)rng_below (&rng, 4));
      struct member_table tables[2];
      for (int t = 0; t < 2; t++)
        {
          member_table_init (&tables[t]);
          bool changed;
          for (size_t i = 0; i < 12; i++)
            member_merge (&tables[t], &offers[t == 0 ? i : 11 - i], 0,
                          &changed);
        }
      CU_ASSERT_EQUAL (tables[0].count, tables[1].count);
      for (uint32_t i = 0; i < tables[0].count; i++)
        {
          const struct member *a = &tables[0].items[i];
          const struct member *b
              = member_get (&tables[1], member_find (&tables[1], a->slot_id));
          CU_ASSERT_EQUAL (a->incarnation, b->incarnation);
          CU_ASSERT_EQUAL (a->state, b->state);
        }
      member_table_finish (&tables[0]);
      member_table_finish (&tables[1]);
    }
}

static void
test_serves (void)
{
  struct member member = record (1, 1, MEMBER_ALIVE);
  member.target_state = TARGET_READY;
  strcpy (member.service, "ledger");
  strcpy (member.target_version, "v2");
  CU_ASSERT (member_serves (&member, "ledger", "v2"));
  CU_ASSERT_FALSE (member_serves (&member, "ledger", "v1"));
  CU_ASSERT_FALSE (member_serves (&member, "galley", "v2"));
  member.target_state = TARGET_DRAINING;
  CU_ASSERT_FALSE (member_serves (&member, "ledger", "v2"));
  member.target_state = TARGET_READY;
  member.state = MEMBER_SUSPECT;
  CU_ASSERT_FALSE (member_serves (&member, "ledger", "v2"));
}

static const struct test_case cases[] = {
  { "an older record replaces a newer one", test_precedence },
  { "a target state changes without a new incarnation",
    test_target_state_needs_incarnation },
  { "a handle changes while the table grows", test_handles_are_stable },
  { "the table depends on the order of arrival",
    test_merge_order_is_irrelevant },
  { "calls are sent to a target that does not accept them", test_serves },
};

int
main (void)
{
  return testing_run ("member", cases, sizeof cases / sizeof cases[0]);
}
