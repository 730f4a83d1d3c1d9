#include "coordination/publish.h"
#include "testing.h"

enum input
{
  INPUT_HEAD_READ,
  INPUT_RECORD_WRITTEN,
  INPUT_HEAD_WRITTEN
};

struct step
{
  enum input input;
  enum status status;
  uint64_t head_version;
  uint64_t listed_nonce; ///< of version 6 in the head's list; 0: not listed
  uint64_t now_ms;
};

struct publish_case
{
  const char *name;
  uint64_t held;
  struct step steps[6];
  size_t step_count;
  enum publish_action action;
  enum status result;
  uint64_t new_version;
};

static const struct publish_case publish_cases[] = {
  { "the version is accepted at the first try",
    5,
    { { INPUT_HEAD_READ, STATUS_OK, 5, 0, 0 },
      { INPUT_RECORD_WRITTEN, STATUS_OK, 0, 0, 0 },
      { INPUT_HEAD_WRITTEN, STATUS_OK, 0, 0, 0 } },
    3,
    PUBLISH_FINISHED,
    STATUS_OK,
    6 },
  { "another writer was first",
    5,
    { { INPUT_HEAD_READ, STATUS_OK, 6, 77, 0 } },
    1,
    PUBLISH_FINISHED,
    STATUS_CONFLICT,
    6 },
  { "the reply is lost, but the write took effect",
    5,
    { { INPUT_HEAD_READ, STATUS_OK, 5, 0, 0 },
      { INPUT_RECORD_WRITTEN, STATUS_UNKNOWN, 0, 0, 0 },
      { INPUT_RECORD_WRITTEN, STATUS_CONFLICT, 0, 0, 0 },
      { INPUT_HEAD_WRITTEN, STATUS_UNKNOWN, 0, 0, 0 },
      { INPUT_HEAD_WRITTEN, STATUS_CONFLICT, 6, 9, 0 } },
    5,
    PUBLISH_FINISHED,
    STATUS_OK,
    6 },
  { "the reply is lost, and another writer was first",
    5,
    { { INPUT_HEAD_READ, STATUS_OK, 5, 0, 0 },
      { INPUT_RECORD_WRITTEN, STATUS_OK, 0, 0, 0 },
      { INPUT_HEAD_WRITTEN, STATUS_UNKNOWN, 0, 0, 0 },
      { INPUT_HEAD_WRITTEN, STATUS_CONFLICT, 6, 77, 0 } },
    4,
    PUBLISH_FINISHED,
    STATUS_CONFLICT,
    6 },
  { "a lost reply is not reported as a refusal at the deadline",
    5,
    { { INPUT_HEAD_READ, STATUS_OK, 5, 0, 0 },
      { INPUT_RECORD_WRITTEN, STATUS_OK, 0, 0, 0 },
      { INPUT_HEAD_WRITTEN, STATUS_UNKNOWN, 0, 0, 0 },
      { INPUT_HEAD_WRITTEN, STATUS_UNAVAILABLE, 0, 0, 5000 } },
    4,
    PUBLISH_FINISHED,
    STATUS_UNKNOWN,
    0 },
  { "a store that is unavailable until the deadline changes nothing",
    5,
    { { INPUT_HEAD_READ, STATUS_UNAVAILABLE, 0, 0, 0 },
      { INPUT_HEAD_READ, STATUS_UNKNOWN, 0, 0, 5000 } },
    2,
    PUBLISH_FINISHED,
    STATUS_UNAVAILABLE,
    0 },
  { "no version is written on top of an older head",
    9,
    { { INPUT_HEAD_READ, STATUS_OK, 5, 0, 0 } },
    1,
    PUBLISH_FINISHED,
    STATUS_UNAVAILABLE,
    5 },
  { "a repeated attempt with the same nonce gets the first outcome",
    6,
    { { INPUT_HEAD_READ, STATUS_OK, 6, 9, 0 } },
    1,
    PUBLISH_FINISHED,
    STATUS_OK,
    6 },
  { "the outcome is unknown when the head no longer lists the version",
    5,
    { { INPUT_HEAD_READ, STATUS_OK, 5, 0, 0 },
      { INPUT_RECORD_WRITTEN, STATUS_OK, 0, 0, 0 },
      { INPUT_HEAD_WRITTEN, STATUS_UNKNOWN, 0, 0, 0 },
      { INPUT_HEAD_WRITTEN, STATUS_CONFLICT, 90, 0, 0 } },
    4,
    PUBLISH_FINISHED,
    STATUS_UNKNOWN,
    90 },
  { "a corrupt head is reported",
    5,
    { { INPUT_HEAD_READ, STATUS_CORRUPT, 0, 0, 0 } },
    1,
    PUBLISH_FINISHED,
    STATUS_CORRUPT,
    0 },
};

static void
run_case (const struct publish_case *item)
{
  struct content_hash hash = { { 1 } };
  struct publish publish;
  publish_init (&publish, 9, 5, &hash, item->held, 5000);
  for (size_t i = 0; i < item->step_count; i++)
    {
      const struct step *step = &item->steps[i];
      struct publish_entry listed = { 6, step->listed_nonce };
      struct publish_head head = { .revision = 3,
                                   .version = step->head_version,
                                   .hash = hash,
                                   .recent = &listed,
                                   .recent_count = step->listed_nonce != 0 };
      if (step->input == INPUT_HEAD_READ)
        publish_head_read (&publish, step->status, &head, step->now_ms);
      else if (step->input == INPUT_RECORD_WRITTEN)
        publish_record_written (&publish, step->status, step->now_ms);
      else
        publish_head_written (&publish, step->status, &head, step->now_ms);
    }
  CU_ASSERT_EQUAL (publish.action, item->action);
  CU_ASSERT_EQUAL (publish.result, item->result);
  CU_ASSERT_EQUAL (publish.new_version, item->new_version);
}

static void
test_publish_cases (void)
{
  for (size_t i = 0; i < sizeof publish_cases / sizeof publish_cases[0]; i++)
    {
      unsigned failures = CU_get_number_of_failures ();
      run_case (&publish_cases[i]);
      if (CU_get_number_of_failures () != failures)
        printf ("case: %s\n", publish_cases[i].name);
    }
}

static void
test_retry_delay_is_bounded (void)
{
  struct content_hash hash = { { 0 } };
  struct publish publish;
  struct rng rng;
  rng_init (&rng, 3);
  publish_init (&publish, 9, 0, &hash, 0, 1000000);
  CU_ASSERT_EQUAL (publish_delay_ms (&publish, &rng), 0);
  for (int i = 0; i < 100; i++)
    {
      publish_head_read (&publish, STATUS_UNAVAILABLE, NULL, 0);
      uint64_t delay = publish_delay_ms (&publish, &rng);
      CU_ASSERT (delay <= 1600);
    }
}

static const struct test_case cases[] = {
  { "a write is reported with an outcome that the store did not confirm",
    test_publish_cases },
  { "the first try is delayed, or a retry by more than 1.6 s",
    test_retry_delay_is_bounded },
};

int
main (void)
{
  return testing_run ("publish", cases, sizeof cases / sizeof cases[0]);
}
