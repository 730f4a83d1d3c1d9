#include "coordination/retry.h"
#include "protocol/call_headers.h"
#include "testing.h"

#include <string.h>

struct decision_case
{
  const char *failure; ///< what the case guards against
  struct retry_attempt last;
  bool again;
};

#define TRY(end_, idempotent_, started_, tries_, now_)                        \
  {                                                                           \
    .end = (end_), .idempotent = (idempotent_),                               \
    .response_started = (started_), .attempts = (tries_), .now_ms = (now_),   \
    .deadline_ms = 1000                                                       \
  }

static const struct decision_case decision_cases[] = {
  { "a call is not retried after a refused connection",
    TRY (CALL_END_NOT_CONNECTED, false, false, 1, 0), true },
  { "a refused call is not retried",
    TRY (CALL_END_REFUSED, false, false, 1, 0), true },
  { "a non-idempotent call runs twice after a reset",
    TRY (CALL_END_LOST, false, false, 1, 0), false },
  { "a non-idempotent call runs twice after a timeout",
    TRY (CALL_END_TIMED_OUT, false, false, 1, 0), false },
  { "a non-idempotent call runs twice when its node cannot tell",
    TRY (CALL_END_UNKNOWN_BY_NODE, false, false, 1, 0), false },
  { "an idempotent call is not retried after a reset",
    TRY (CALL_END_LOST, true, false, 1, 0), true },
  { "a call is retried although a target responded",
    TRY (CALL_END_ANSWERED, true, false, 1, 0), false },
  { "a call is retried although an unframed response came",
    TRY (CALL_END_UNFRAMED, true, false, 1, 0), false },
  { "a call is retried for a caller that went away",
    TRY (CALL_END_CANCELLED, true, false, 1, 0), false },
  { "two responses are mixed", TRY (CALL_END_LOST, true, true, 1, 0), false },
  { "a call is tried a third time",
    TRY (CALL_END_NOT_CONNECTED, true, false, 2, 0), false },
  { "a call is retried after the deadline",
    TRY (CALL_END_NOT_CONNECTED, true, false, 1, 1000), false },
  { "a call is retried although it cannot finish in time",
    TRY (CALL_END_NOT_CONNECTED, true, false, 1, 997), false },
};

static void
test_decisions (void)
{
  for (size_t i = 0; i < sizeof decision_cases / sizeof decision_cases[0]; i++)
    {
      struct retry_budget budget;
      retry_init (&budget, 0);
      bool again = retry_take (&budget, &decision_cases[i].last);
      if (again != decision_cases[i].again)
        fprintf (stderr, "%s\n", decision_cases[i].failure);
      CU_ASSERT_EQUAL (again, decision_cases[i].again);
    }
}

/// When every call fails, retries must not multiply the load: they are limited
/// to a tenth of the calls and the initial tokens.
static void
test_budget (void)
{
  struct retry_budget budget;
  struct retry_attempt last = TRY (CALL_END_REFUSED, true, false, 1, 0);
  unsigned retries = 0;
  retry_init (&budget, 0);
  for (unsigned i = 0; i < 10000; i++)
    {
      retry_count_call (&budget, 0);
      retries += retry_take (&budget, &last);
    }
  CU_ASSERT (retries <= 1000 + 20);
  CU_ASSERT (retries >= 1000);
}

static void
test_outcomes (void)
{
  static const struct
  {
    enum call_end end;
    enum call_outcome outcome;
  } cases[] = {
    { CALL_END_ANSWERED, CALL_RAN },
    { CALL_END_NOT_CONNECTED, CALL_NOT_RUN },
    { CALL_END_REFUSED, CALL_NOT_RUN },
    { CALL_END_UNKNOWN_BY_NODE, CALL_UNKNOWN },
    { CALL_END_LOST, CALL_UNKNOWN },
    { CALL_END_TIMED_OUT, CALL_UNKNOWN },
    { CALL_END_UNFRAMED, CALL_UNKNOWN },
    { CALL_END_CANCELLED, CALL_UNKNOWN },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    CU_ASSERT_EQUAL (retry_outcome (cases[i].end), cases[i].outcome);
}

static void
test_header_values (void)
{
  static const struct
  {
    const char *text;
    bool good;
    uint32_t left;
  } deadlines[]
      = { { NULL, true, 70 },   { "0", true, 0 },
          { "250", true, 250 }, { "999999999", true, CALL_DEADLINE_MAX_MS },
          { "", false, 0 },     { "-1", false, 0 },
          { "12x", false, 0 },  { "99999999999999999999", false, 0 } };
  for (size_t i = 0; i < sizeof deadlines / sizeof deadlines[0]; i++)
    {
      uint32_t left = 0;
      enum status status = call_deadline_parse (deadlines[i].text, 70, &left);
      CU_ASSERT_EQUAL (status == STATUS_OK, deadlines[i].good);
      CU_ASSERT_EQUAL (left, deadlines[i].left);
    }
  uint32_t in_use, slots;
  CU_ASSERT_EQUAL (call_load_parse ("3/12", &in_use, &slots), STATUS_OK);
  CU_ASSERT (in_use == 3 && slots == 12);
  CU_ASSERT_EQUAL (call_load_parse ("3/", &in_use, &slots), STATUS_INVALID);
  CU_ASSERT_EQUAL (call_load_parse ("3/4/5", &in_use, &slots), STATUS_INVALID);
  CU_ASSERT (call_header_is_hop_by_hop ("hawthornseam-outcome"));
  CU_ASSERT_FALSE (call_header_is_hop_by_hop ("Idempotency-Key"));
  CU_ASSERT (call_header_is_listed ("close, X-Own", "x-own"));
  CU_ASSERT_FALSE (call_header_is_listed ("close, X-Own-2", "X-Own"));
}

/// The hop header authenticates the destination, method, URI and key. A header
/// for other values must not be accepted.
static void
test_hop_code (void)
{
  const uint8_t key[32] = { 1 };
  const uint8_t other_key[32] = { 2 };
  const struct call_hop hop
      = { .destination_slot = 5, .method = "POST", .uri = "/a", .key = "1-k" };
  const struct call_hop others[] = {
    { .destination_slot = 6, .method = "POST", .uri = "/a", .key = "1-k" },
    { .destination_slot = 5, .method = "PUT", .uri = "/a", .key = "1-k" },
    { .destination_slot = 5, .method = "POST", .uri = "/b", .key = "1-k" },
    { .destination_slot = 5, .method = "POST", .uri = "/a", .key = "1-l" },
    { .destination_slot = 5, .method = "POST", .uri = "/a" },
  };
  char text[CALL_HOP_SIZE];
  uint32_t key_id = 0;
  call_hop_write (&hop, 9, key, text);
  CU_ASSERT_EQUAL (call_hop_key_id (text, &key_id), STATUS_OK);
  CU_ASSERT_EQUAL (key_id, 9);
  CU_ASSERT (call_hop_check (text, &hop, 9, key));
  CU_ASSERT_FALSE (call_hop_check (text, &hop, 9, other_key));
  for (size_t i = 0; i < sizeof others / sizeof others[0]; i++)
    CU_ASSERT_FALSE (call_hop_check (text, &others[i], 9, key));
  CU_ASSERT_EQUAL (call_hop_key_id ("1", &key_id), STATUS_INVALID);
}

static const struct test_case cases[] = {
  { "a call is retried when it must not be, or is not when it may be",
    test_decisions },
  { "retries multiply the load of an overloaded service", test_budget },
  { "not-run is reported for a call that may have run", test_outcomes },
  { "malformed header values are accepted", test_header_values },
  { "a caller can forge the header of routed calls", test_hop_code },
};

int
main (void)
{
  return testing_run ("retry", cases, sizeof cases / sizeof cases[0]);
}
