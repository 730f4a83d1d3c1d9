#include "../standin/fake_store.h"
#include "testing.h"

static enum status last_status;
static uint64_t last_revision;
static char last_data[64];
static size_t last_keys;
static int answers;

static void
record_answer (void *arg, const struct store_reply *reply)
{
  last_status = reply->status;
  last_revision = reply->revision;
  last_keys = reply->key_count;
  memset (last_data, 0, sizeof last_data);
  if (reply->data != NULL && reply->size < sizeof last_data)
    memcpy (last_data, reply->data, reply->size);
  answers++;
}

static void
put (struct fake_store *store, uint64_t expected, const char *text)
{
  fake_store_ops.put (store, "k", expected, 0, text, strlen (text),
                      record_answer, NULL);
}

static void
test_compare_and_swap (void)
{
  struct fake_store store;
  fake_store_init (&store);
  put (&store, 0, "a");
  fake_store_advance (&store, 10);
  CU_ASSERT_EQUAL (last_status, STATUS_OK);
  uint64_t first = last_revision;
  put (&store, 0, "b");
  fake_store_advance (&store, 20);
  CU_ASSERT_EQUAL (last_status, STATUS_CONFLICT);
  CU_ASSERT_EQUAL (last_revision, first);
  CU_ASSERT_STRING_EQUAL (last_data, "a");
  put (&store, first, "c");
  fake_store_ops.list (&store, "", record_answer, NULL);
  fake_store_advance (&store, 30);
  CU_ASSERT_EQUAL (last_keys, 1);
  fake_store_finish (&store);
}

static void
test_lost_answer_takes_effect (void)
{
  struct fake_store store;
  fake_store_init (&store);
  store.lose_answers = 1;
  put (&store, 0, "a");
  fake_store_advance (&store, 10);
  CU_ASSERT_PTR_NOT_NULL (fake_find (&store, "k"));
  answers = 0;
  fake_store_advance (&store, 3000);
  CU_ASSERT_EQUAL (answers, 1);
  CU_ASSERT_EQUAL (last_status, STATUS_UNKNOWN);
  CU_ASSERT_EQUAL (store.operation_count, 0);
  fake_store_finish (&store);
}

static void
test_delayed_write_acts_after_its_answer (void)
{
  struct fake_store store;
  fake_store_init (&store);
  store.delay_writes = 1;
  store.delay_writes_ms = 5000;
  put (&store, 0, "late");
  fake_store_advance (&store, 3000);
  CU_ASSERT_EQUAL (last_status, STATUS_UNKNOWN);
  CU_ASSERT_PTR_NULL (fake_find (&store, "k"));
  fake_store_advance (&store, 6000);
  CU_ASSERT_PTR_NOT_NULL (fake_find (&store, "k"));
  CU_ASSERT_EQUAL (store.operation_count, 0);
  fake_store_finish (&store);
}

static void
test_repeated_write_is_conditional (void)
{
  struct fake_store store;
  fake_store_init (&store);
  store.repeat_writes = 1;
  store.repeat_after_ms = 100;
  put (&store, 0, "a");
  fake_store_advance (&store, 50);
  uint64_t revision = fake_find (&store, "k")->revision;
  fake_store_advance (&store, 500);
  CU_ASSERT_EQUAL (fake_find (&store, "k")->revision, revision);
  CU_ASSERT_EQUAL (store.counts[FAKE_PUT], 1);
  fake_store_finish (&store);
}

static void
test_outage_watch_and_lease (void)
{
  struct fake_store store;
  fake_store_init (&store);
  store.outage = true;
  put (&store, 0, "a");
  fake_store_advance (&store, 10);
  CU_ASSERT_EQUAL (last_status, STATUS_UNAVAILABLE);
  CU_ASSERT_PTR_NULL (fake_find (&store, "k"));
  store.outage = false;
  fake_store_ops.watch (&store, "k", 0, 100, record_answer, NULL);
  fake_store_advance (&store, 150);
  CU_ASSERT_EQUAL (last_status, STATUS_TIMEOUT);
  fake_store_ops.watch (&store, "k", 0, 1000, record_answer, NULL);
  fake_store_advance (&store, 200);
  fake_store_set (&store, "k", "w", 1);
  fake_store_advance (&store, 250);
  CU_ASSERT_EQUAL (last_status, STATUS_OK);
  CU_ASSERT_STRING_EQUAL (last_data, "w");
  fake_store_ops.lease_grant (&store, 500, record_answer, NULL);
  fake_store_advance (&store, 300);
  fake_store_ops.put (&store, "leased", 0, last_revision, "x", 1,
                      record_answer, NULL);
  fake_store_advance (&store, 400);
  CU_ASSERT_PTR_NOT_NULL (fake_find (&store, "leased"));
  fake_store_advance (&store, 1000);
  CU_ASSERT_PTR_NULL (fake_find (&store, "leased"));
  fake_store_finish (&store);
}

static void
test_restore_goes_back (void)
{
  struct fake_store store;
  fake_store_init (&store);
  uint64_t old = fake_store_set (&store, "k", "old", 3);
  fake_store_save (&store);
  uint64_t later = fake_store_set (&store, "k", "new", 3);
  fake_store_restore (&store);
  CU_ASSERT_EQUAL (fake_find (&store, "k")->revision, old);
  CU_ASSERT (fake_store_set (&store, "k", "again", 5) > later);
  fake_store_finish (&store);
}

static const struct test_case cases[] = {
  { "a write against a stale revision takes effect", test_compare_and_swap },
  { "a lost answer hides that the write took effect",
    test_lost_answer_takes_effect },
  { "a delayed write acts before its time or never",
    test_delayed_write_acts_after_its_answer },
  { "a repeated conditional write acts twice",
    test_repeated_write_is_conditional },
  { "outage, watch or lease expiry is not seen", test_outage_watch_and_lease },
  { "restored content reuses revisions", test_restore_goes_back },
};

int
main (void)
{
  return testing_run ("fake store", cases, sizeof cases / sizeof cases[0]);
}
