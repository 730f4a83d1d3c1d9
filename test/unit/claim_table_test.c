#include "state/claim_table.h"
#include "testing.h"

#include <string.h>
#include <talloc.h>

static struct claim_record
make_record (enum claim_record_kind kind, uint32_t key, uint64_t nonce)
{
  struct claim_record record
      = { .kind = kind, .nonce = nonce, .created_s = 1000 + key };
  hash_content (&record.key, &key, sizeof key);
  return record;
}

/// Parses a record like "C1": a letter for the kind (S: unknown outcome) and a
/// digit for the nonce.
static struct claim_record
parse_record (const char *text)
{
  enum claim_record_kind kind = text[0] == 'C'   ? CLAIM_RECORD_CLAIM
                                : text[0] == 'R' ? CLAIM_RECORD_RELEASE
                                : text[0] == 'O'
                                    ? CLAIM_RECORD_OUTCOME
                                    : CLAIM_RECORD_OUTCOME_UNKNOWN;
  return make_record (kind, 1, (uint64_t)(text[1] - '0'));
}

static void
test_log_rules (void)
{
  static const struct
  {
    const char *failure;
    const char *log;
    enum claim_state state;
    uint64_t nonce;
  } rows[] = {
    { "a second claim takes a held key", "C1C2", CLAIM_HELD, 1 },
    { "a released key stays held", "C1R1", CLAIM_FREE, 1 },
    { "a released key cannot be claimed", "C1R1C2", CLAIM_HELD, 2 },
    { "a claim is granted after its own release", "C1R1C1", CLAIM_FREE, 1 },
    { "a release before its claim is ignored", "R1C1", CLAIM_FREE, 1 },
    { "another nonce releases a held key", "C1R2", CLAIM_HELD, 1 },
    { "a claim replaces an outcome", "C1O1C2", CLAIM_DONE, 1 },
    { "a release replaces an outcome", "C1O1R1", CLAIM_DONE, 1 },
    { "an outcome without its claim is ignored", "O1", CLAIM_DONE, 1 },
    { "a key with an unknown outcome is claimed", "C1S1C2",
      CLAIM_OUTCOME_UNKNOWN, 1 },
    { "a late outcome is ignored", "C1S1O1", CLAIM_DONE, 1 },
    { "an outcome of another nonce is recorded", "C1O2", CLAIM_HELD, 1 },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct claim_table table;
      claim_table_init (&table, 10, 1000);
      for (const char *at = rows[i].log; *at != '\0'; at += 2)
        {
          struct claim_record record = parse_record (at);
          claim_table_apply (&table, &record);
        }
      struct claim_record key = parse_record ("C1");
      const struct claim *claim = claim_table_find (&table, &key.key);
      CU_ASSERT_PTR_NOT_NULL_FATAL (claim);
      if (claim->state != rows[i].state || claim->nonce != rows[i].nonce)
        printf ("%s\n", rows[i].failure);
      CU_ASSERT_EQUAL (claim->state, rows[i].state);
      CU_ASSERT_EQUAL (claim->nonce, rows[i].nonce);
      claim_table_finish (&table);
    }
}

static void
test_expiry (void)
{
  enum
  {
    COUNT = 2000
  };
  struct claim_table table;
  claim_table_init (&table, COUNT, 1 << 20);
  for (uint32_t i = 0; i < COUNT; i++)
    {
      struct claim_record record = make_record (CLAIM_RECORD_CLAIM, i, i + 1);
      claim_table_apply (&table, &record);
    }
  CU_ASSERT (claim_table_full (&table));
  /* Key i was created at 1000 + i; the first half has expired. */
  for (int i = 0; i < 100; i++)
    claim_table_expire (&table, 1000 + COUNT / 2 + 50, 50, 100);
  CU_ASSERT_EQUAL (table.count, COUNT / 2);
  for (uint32_t i = 0; i < COUNT; i++)
    {
      struct claim_record key = make_record (CLAIM_RECORD_CLAIM, i, 0);
      const struct claim *claim = claim_table_find (&table, &key.key);
      CU_ASSERT_EQUAL (claim != NULL, i >= COUNT / 2);
      CU_ASSERT (claim == NULL || claim->nonce == i + 1);
    }
  claim_table_finish (&table);
}

static void
test_body_limit (void)
{
  struct claim_table table;
  uint8_t body[CLAIM_BODY_MAX] = { 7 };
  claim_table_init (&table, 100, CLAIM_BODY_MAX);
  for (uint32_t i = 0; i < 2; i++)
    {
      struct claim_record record = make_record (CLAIM_RECORD_OUTCOME, i, 1);
      record.body = body;
      record.body_size = sizeof body;
      record.body_complete = true;
      claim_table_apply (&table, &record);
      const struct claim *claim = claim_table_find (&table, &record.key);
      CU_ASSERT_EQUAL (claim->state, CLAIM_DONE);
      CU_ASSERT_EQUAL (claim->body_size, i == 0 ? CLAIM_BODY_MAX : 0);
      CU_ASSERT_EQUAL (claim->body_complete, i == 0);
    }
  claim_table_finish (&table);
}

static void
test_rebuild_from_chunk (void)
{
  struct claim_table table, copy;
  claim_table_init (&table, 100, 1000);
  claim_table_init (&copy, 100, 1000);
  static const enum claim_record_kind kinds[]
      = { CLAIM_RECORD_CLAIM, CLAIM_RECORD_RELEASE, CLAIM_RECORD_OUTCOME,
          CLAIM_RECORD_OUTCOME_UNKNOWN };
  for (uint32_t i = 0; i < 40; i++)
    {
      struct claim_record record = make_record (CLAIM_RECORD_CLAIM, i, i);
      claim_table_apply (&table, &record);
      record.kind = kinds[i % 4];
      claim_table_apply (&table, &record);
    }
  void *arena = talloc_new (NULL);
  struct claim_record *records;
  size_t count = claim_table_take_dirty (&table, arena, &records);
  CU_ASSERT_EQUAL (count, 40);
  for (size_t i = 0; i < count; i++)
    claim_table_set (&copy, &records[i]);
  for (uint32_t i = 0; i < 40; i++)
    {
      struct claim_record key = make_record (CLAIM_RECORD_CLAIM, i, 0);
      const struct claim *a = claim_table_find (&table, &key.key);
      const struct claim *b = claim_table_find (&copy, &key.key);
      CU_ASSERT (b != NULL && a->state == b->state && a->nonce == b->nonce);
    }
  CU_ASSERT_EQUAL (claim_table_take_dirty (&table, arena, &records), 0);
  talloc_free (arena);
  claim_table_finish (&table);
  claim_table_finish (&copy);
}

static const struct test_case cases[] = {
  { "records take effect against the rules of the log", test_log_rules },
  { "expiry removes the wrong keys, or keys are not found after it",
    test_expiry },
  { "stored bodies exceed their size limit", test_body_limit },
  { "a chunk gives another state than its segments", test_rebuild_from_chunk },
};

int
main (void)
{
  return testing_run ("claim table", cases, sizeof cases / sizeof cases[0]);
}
