#include "coordination/claim_client.h"
#include "testing.h"

#include <stdio.h>
#include <string.h>

#define NOW_MS 5000
#define WALL_MS 1790000000000ull

/// Calls of the client's operations since the last reset.
static struct
{
  int claims;
  int reports;
  uint64_t nonce;
  uint32_t partition;
  uint32_t deadline_ms;
  struct claim_record report;
  uint8_t body[CLAIM_BODY_MAX];
  int answers;
  enum claim_verdict verdict;
} observed;

static void
on_send_claim (void *arg, uint32_t partition, uint64_t seq,
               const struct claim_record *record, uint32_t deadline_ms)
{
  CU_ASSERT (observed.claims == 0 || observed.nonce == record->nonce);
  observed.claims++;
  observed.nonce = record->nonce;
  observed.partition = partition;
  observed.deadline_ms = deadline_ms;
  CU_ASSERT_EQUAL (seq, record->nonce);
}

static void
on_send_report (void *arg, uint32_t partition, uint64_t seq,
                const struct claim_record *record)
{
  observed.reports++;
  observed.report = *record;
  if (record->body_size > 0)
    memcpy (observed.body, record->body, record->body_size);
}

static void
on_answer (void *arg, uint32_t attempt, enum claim_verdict verdict,
           const struct claim_record *outcome)
{
  observed.answers++;
  observed.verdict = verdict;
}

static const struct claim_client_ops ops
    = { on_send_claim, on_send_report, on_answer };

static struct rng rng;

static uint32_t
begin_attempt (struct claim_client *client, uint32_t deadline_ms)
{
  memset (&observed, 0, sizeof observed);
  rng_init (&rng, 3);
  claim_client_init (client, &ops, NULL, &rng, 10, 900);
  uint32_t attempt;
  CU_ASSERT_EQUAL (claim_client_begin (client, "1790000000-abcdefgh",
                                       deadline_ms, NOW_MS, WALL_MS, &attempt),
                   STATUS_OK);
  return attempt;
}

static void
test_keys_outside_the_window (void)
{
  static const struct
  {
    const char *key;
    enum status status;
  } rows[] = {
    { "1790000000-abcdefgh", STATUS_OK },
    { "1789999100-abcdefgh", STATUS_OK },      /* 900 s old */
    { "1789999099-abcdefgh", STATUS_INVALID }, /* 901 s old */
    { "1790000120-abcdefgh", STATUS_OK },      /* 120 s ahead */
    { "1790000121-abcdefgh", STATUS_INVALID },
    { "1790000000-abcdefg", STATUS_INVALID }, /* random part too short */
    { "1790000000abcdefgh", STATUS_INVALID },
    { "-abcdefgh", STATUS_INVALID },
    { "", STATUS_INVALID },
    { "99999999999999999999-abcdefgh", STATUS_INVALID },
    { "1790000000-abc defgh", STATUS_INVALID },
    { "1790000000-abcdefg\n", STATUS_INVALID },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct claim_client client;
      claim_client_init (&client, &ops, NULL, &rng, 10, 900);
      uint32_t attempt;
      enum status status = claim_client_begin (&client, rows[i].key, 1000,
                                               NOW_MS, WALL_MS, &attempt);
      if (status != rows[i].status)
        printf ("key %s\n", rows[i].key);
      CU_ASSERT_EQUAL (status, rows[i].status);
      claim_client_finish_all (&client);
    }
  char longest[200];
  uint32_t created_s;
  memset (longest, 'x', sizeof longest);
  memcpy (longest, "1790000000-", 11);
  longest[CLAIM_KEY_MAX + 1] = '\0';
  CU_ASSERT_EQUAL (claim_key_parse (longest, &created_s), STATUS_INVALID);
}

static void
test_resends_with_the_same_nonce (void)
{
  struct claim_client client;
  begin_attempt (&client, 3000);
  for (uint64_t now = NOW_MS; now < NOW_MS + 2900; now += 10)
    claim_client_tick (&client, now);
  CU_ASSERT (observed.claims >= 3 && observed.claims <= 6);
  CU_ASSERT (observed.deadline_ms < 3000);
  int claims = observed.claims;
  claim_client_reply (&client, observed.nonce, CLAIM_VERDICT_NOT_OWNER, NULL,
                      NOW_MS + 2890);
  claim_client_tick (&client, NOW_MS + 2990);
  CU_ASSERT_EQUAL (observed.claims, claims + 1);
  claim_client_finish_all (&client);
}

static void
test_attempt_does_not_run_after_deadline (void)
{
  struct claim_client client;
  begin_attempt (&client, 300);
  claim_client_reply (&client, observed.nonce, CLAIM_VERDICT_GRANTED, NULL,
                      NOW_MS + 300);
  CU_ASSERT (observed.answers == 1
             && observed.verdict == CLAIM_VERDICT_TIMED_OUT);
  CU_ASSERT (observed.reports == 1
             && observed.report.kind == CLAIM_RECORD_RELEASE);
  claim_client_reply (&client, observed.nonce, CLAIM_VERDICT_GRANTED, NULL,
                      NOW_MS + 301);
  CU_ASSERT_EQUAL (observed.answers, 1);
  claim_client_tick (&client, NOW_MS + 900);
  CU_ASSERT_EQUAL (observed.reports, 2);
  claim_client_reply (&client, observed.nonce, CLAIM_VERDICT_STORED, NULL,
                      NOW_MS + 901);
  claim_client_tick (&client, NOW_MS + 9000);
  CU_ASSERT (observed.reports == 2 && client.active == 0);
  claim_client_finish_all (&client);
}

static void
test_second_grant_does_not_run (void)
{
  struct claim_client client;
  uint32_t attempt = begin_attempt (&client, 3000);
  for (int i = 0; i < 3; i++)
    claim_client_reply (&client, observed.nonce, CLAIM_VERDICT_GRANTED, NULL,
                        NOW_MS + 10);
  CU_ASSERT_EQUAL (observed.answers, 1);
  uint8_t body[CLAIM_BODY_MAX + 8] = { 9 };
  struct claim_record outcome = { .status = 200,
                                  .body = body,
                                  .body_size = sizeof body,
                                  .body_complete = true };
  claim_client_end (&client, attempt, CLAIM_RECORD_OUTCOME, &outcome,
                    NOW_MS + 20);
  CU_ASSERT (observed.report.kind == CLAIM_RECORD_OUTCOME
             && observed.report.body_size == CLAIM_BODY_MAX
             && !observed.report.body_complete && observed.body[0] == 9);
  claim_client_reply (&client, observed.nonce, CLAIM_VERDICT_GRANTED, NULL,
                      NOW_MS + 30);
  CU_ASSERT_EQUAL (observed.answers, 1);
  claim_client_finish_all (&client);
}

static void
test_held_key_is_not_reported_as_not_run (void)
{
  struct claim_client client;
  begin_attempt (&client, 300);
  claim_client_reply (&client, observed.nonce, CLAIM_VERDICT_WAIT, NULL,
                      NOW_MS);
  CU_ASSERT_EQUAL (observed.answers, 0);
  claim_client_tick (&client, NOW_MS + 300);
  CU_ASSERT (observed.answers == 1
             && observed.verdict == CLAIM_VERDICT_OUTCOME_UNKNOWN);
  claim_client_finish_all (&client);
}

static void
test_attempts_are_bounded (void)
{
  struct claim_client client;
  begin_attempt (&client, 300);
  enum status status = STATUS_OK;
  uint32_t attempt;
  int open = 1;
  char key[64];
  for (; status == STATUS_OK && open <= CLAIM_CLIENT_ATTEMPTS; open++)
    {
      memset (&observed, 0, sizeof observed);
      snprintf (key, sizeof key, "1790000000-%08d", open);
      status
          = claim_client_begin (&client, key, 300, NOW_MS, WALL_MS, &attempt);
    }
  CU_ASSERT_EQUAL (status, STATUS_UNAVAILABLE);
  CU_ASSERT_EQUAL (client.active, CLAIM_CLIENT_ATTEMPTS);
  claim_client_finish_all (&client);
}

static const struct test_case cases[] = {
  { "a malformed key or one outside the window is claimed",
    test_keys_outside_the_window },
  { "a resend is another attempt", test_resends_with_the_same_nonce },
  { "an attempt runs after it was given up",
    test_attempt_does_not_run_after_deadline },
  { "a repeated grant runs a second time", test_second_grant_does_not_run },
  { "a request is reported as not run while another attempt holds its key",
    test_held_key_is_not_reported_as_not_run },
  { "attempts grow without bound", test_attempts_are_bounded },
};

int
main (void)
{
  return testing_run ("claim client", cases, sizeof cases / sizeof cases[0]);
}
