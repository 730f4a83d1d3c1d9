#include "state/claim_table.h"
#include "testing.h"

#include <string.h>
#include <talloc.h>

static struct claim_record
record (enum claim_record_kind kind, uint32_t key, uint64_t nonce)
{
  struct claim_record made
      = { .kind = kind, .nonce = nonce, .created_s = 1000 + key };
  hash_content (&made.key, &key, sizeof key);
  return made;
}

/// Reads "C1": a letter for the kind and a digit for the nonce.
static struct claim_record
record_of (const char *text)
{
  enum claim_record_kind kind = text[0] == 'C'   ? CLAIM_RECORD_CLAIM
                                : text[0] == 'R' ? CLAIM_RECORD_RELEASE
                                : text[0] == 'O' ? CLAIM_RECORD_OUTCOME
                                                 : CLAIM_RECORD_SPENT;
  return record (kind, 1, (uint64_t)(text[1] - '0'));
}

static void
test_rules_of_the_log (void)
{
  static const struct
  {
    const char *fault;
    const char *log;
    enum claim_state state;
    uint64_t nonce;
  } rows[] = {
    { "a second claim takes a held key", "C1C2", CLAIM_HELD, 1 },
    { "a released key stays held", "C1R1", CLAIM_FREE, 1 },
    { "a released key cannot be claimed", "C1R1C2", CLAIM_HELD, 2 },
    { "a late claim undoes its release", "C1R1C1", CLAIM_FREE, 1 },
    { "a release before its claim is lost", "R1C1", CLAIM_FREE, 1 },
    { "a stranger releases", "C1R2", CLAIM_HELD, 1 },
    { "an outcome is claimed over", "C1O1C2", CLAIM_DONE, 1 },
    { "an outcome is released", "C1O1R1", CLAIM_DONE, 1 },
    { "an outcome without its claim is lost", "O1", CLAIM_DONE, 1 },
    { "a spent key is claimed", "C1S1C2", CLAIM_LOST, 1 },
    { "a late outcome is lost", "C1S1O1", CLAIM_DONE, 1 },
    { "a stranger's outcome counts", "C1O2", CLAIM_HELD, 1 },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct claim_table table;
      claim_table_init (&table, 10, 1000);
      for (const char *at = rows[i].log; *at != '\0'; at += 2)
        {
          struct claim_record made = record_of (at);
          claim_table_apply (&table, &made);
        }
      struct claim_record key = record_of ("C1");
      const struct claim *claim = claim_table_find (&table, &key.key);
      CU_ASSERT_PTR_NOT_NULL_FATAL (claim);
      if (claim->state != rows[i].state || claim->nonce != rows[i].nonce)
        printf ("%s\n", rows[i].fault);
      CU_ASSERT_EQUAL (claim->state, rows[i].state);
      CU_ASSERT_EQUAL (claim->nonce, rows[i].nonce);
      claim_table_finish (&table);
    }
}

static void
test_expiry_keeps_the_index (void)
{
  enum
  {
    COUNT = 2000
  };
  struct claim_table table;
  claim_table_init (&table, COUNT, 1 << 20);
  for (uint32_t i = 0; i < COUNT; i++)
    {
      struct claim_record made = record (CLAIM_RECORD_CLAIM, i, i + 1);
      claim_table_apply (&table, &made);
    }
  CU_ASSERT (claim_table_full (&table));
  /* Keys are as old as their number; half of them are too old. */
  for (int i = 0; i < 100; i++)
    claim_table_expire (&table, 1000 + COUNT / 2 + 50, 50, 100);
  CU_ASSERT_EQUAL (table.count, COUNT / 2);
  for (uint32_t i = 0; i < COUNT; i++)
    {
      struct claim_record key = record (CLAIM_RECORD_CLAIM, i, 0);
      const struct claim *claim = claim_table_find (&table, &key.key);
      CU_ASSERT_EQUAL (claim != NULL, i >= COUNT / 2);
      CU_ASSERT (claim == NULL || claim->nonce == i + 1);
    }
  claim_table_finish (&table);
}

static void
test_bodies_are_bounded (void)
{
  struct claim_table table;
  uint8_t body[CLAIM_BODY_MAX] = { 7 };
  claim_table_init (&table, 100, CLAIM_BODY_MAX);
  for (uint32_t i = 0; i < 2; i++)
    {
      struct claim_record made = record (CLAIM_RECORD_OUTCOME, i, 1);
      made.body = body;
      made.body_size = sizeof body;
      made.body_complete = true;
      claim_table_apply (&table, &made);
      const struct claim *claim = claim_table_find (&table, &made.key);
      CU_ASSERT_EQUAL (claim->state, CLAIM_DONE);
      CU_ASSERT_EQUAL (claim->body_size, i == 0 ? CLAIM_BODY_MAX : 0);
      CU_ASSERT_EQUAL (claim->body_complete, i == 0);
    }
  claim_table_finish (&table);
}

static void
test_touched_states_rebuild_the_table (void)
{
  struct claim_table table, copy;
  claim_table_init (&table, 100, 1000);
  claim_table_init (&copy, 100, 1000);
  static const enum claim_record_kind kinds[]
      = { CLAIM_RECORD_CLAIM, CLAIM_RECORD_RELEASE, CLAIM_RECORD_OUTCOME,
          CLAIM_RECORD_SPENT };
  for (uint32_t i = 0; i < 40; i++)
    {
      struct claim_record made = record (CLAIM_RECORD_CLAIM, i, i);
      claim_table_apply (&table, &made);
      made.kind = kinds[i % 4];
      claim_table_apply (&table, &made);
    }
  void *arena = talloc_new (NULL);
  struct claim_record *records;
  size_t count = claim_table_take_touched (&table, arena, &records);
  CU_ASSERT_EQUAL (count, 40);
  for (size_t i = 0; i < count; i++)
    claim_table_set (&copy, &records[i]);
  for (uint32_t i = 0; i < 40; i++)
    {
      struct claim_record key = record (CLAIM_RECORD_CLAIM, i, 0);
      const struct claim *a = claim_table_find (&table, &key.key);
      const struct claim *b = claim_table_find (&copy, &key.key);
      CU_ASSERT (b != NULL && a->state == b->state && a->nonce == b->nonce);
    }
  CU_ASSERT_EQUAL (claim_table_take_touched (&table, arena, &records), 0);
  talloc_free (arena);
  claim_table_finish (&table);
  claim_table_finish (&copy);
}

static const struct test_case cases[] = {
  { "a key is granted against the order of the log", test_rules_of_the_log },
  { "expiry loses or keeps the wrong keys", test_expiry_keeps_the_index },
  { "bodies grow without bound", test_bodies_are_bounded },
  { "a chunk leaves another state than its segments",
    test_touched_states_rebuild_the_table },
};

int
main (void)
{
  return testing_run ("claim table", cases, sizeof cases / sizeof cases[0]);
}
