#include "base/counter.h"
#include "base/findings.h"
#include "base/hash.h"
#include "base/rng.h"
#include "base/status.h"
#include "testing.h"

#include <string.h>

static void
test_status_keeps_last_message (void)
{
  CU_ASSERT_EQUAL (status_set (STATUS_INVALID, "field %d", 1), STATUS_INVALID);
  status_set (STATUS_CORRUPT, "field %d", 2);
  CU_ASSERT_STRING_EQUAL (status_message (), "field 2");
  CU_ASSERT_STRING_EQUAL (status_name (STATUS_CORRUPT), "corrupt");
}

static void
test_findings_keep_first_hundred (void)
{
  struct findings findings;
  findings_init (&findings, "input.yaml");
  for (int i = 0; i < FINDINGS_MAX + 5; i++)
    findings_add (&findings, i + 1, 2, "routes[0]", "finding %d", i);
  CU_ASSERT_EQUAL (findings.count, FINDINGS_MAX);
  CU_ASSERT_EQUAL (findings.total, FINDINGS_MAX + 5);
  CU_ASSERT_STRING_EQUAL (findings.items[3].message, "finding 3");
  findings_finish (&findings);
}

static void
test_rng_repeats_from_seed (void)
{
  struct rng a, b;
  rng_init (&a, 42);
  rng_init (&b, 42);
  for (int i = 0; i < 1000; i++)
    CU_ASSERT_EQUAL (rng_u64 (&a), rng_u64 (&b));
  for (int i = 0; i < 1000; i++)
    CU_ASSERT (rng_below (&a, 7) < 7);
}

static void
test_counters_are_sorted (void)
{
  static struct counter second = COUNTER ("b_total", "second");
  static struct counter first = COUNTER ("a_total", "first");
  counter_add (&second, 2);
  counter_add (&first, 1);
  counter_add (&first, 1);
  CU_ASSERT_PTR_EQUAL (counter_first (), &first);
  CU_ASSERT_PTR_EQUAL (first.next, &second);
  CU_ASSERT_EQUAL (first.value, 2);
}

static void
test_content_hash_differs (void)
{
  struct content_hash a, b;
  hash_content (&a, "x", 1);
  hash_content (&b, "y", 1);
  CU_ASSERT_FALSE (hash_equal (&a, &b));
}

static const struct test_case cases[] = {
  { "the last status message is lost", test_status_keeps_last_message },
  { "findings past the limit are stored or not counted",
    test_findings_keep_first_hundred },
  { "a stream repeated from its seed differs", test_rng_repeats_from_seed },
  { "counters are listed out of order", test_counters_are_sorted },
  { "different inputs have one content hash", test_content_hash_differs },
};

int
main (void)
{
  return testing_run ("base", cases, sizeof cases / sizeof cases[0]);
}
