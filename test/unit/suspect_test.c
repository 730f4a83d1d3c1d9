#include "base/hash.h"
#include "state/suspect.h"
#include "testing.h"

static struct suspect_table table;

static void
test_counts_distinct_crashes (void)
{
  suspect_init (&table, 8);
  CU_ASSERT_EQUAL (suspect_check (&table, 1, 0), SUSPECT_NONE);
  CU_ASSERT (suspect_raise (&table, 1, 100, 0));
  CU_ASSERT_FALSE (suspect_raise (&table, 1, 100, 0));
  CU_ASSERT_EQUAL (suspect_check (&table, 1, 0), SUSPECT_SINGLE);
  CU_ASSERT (suspect_raise (&table, 1, 101, 0));
  CU_ASSERT_EQUAL (suspect_check (&table, 1, 0), SUSPECT_REFUSED);
  suspect_finish (&table);
}

static void
test_success_clears_single_crash (void)
{
  suspect_init (&table, 8);
  suspect_raise (&table, 1, 100, 0);
  CU_ASSERT (suspect_clear (&table, 1));
  CU_ASSERT_EQUAL (suspect_check (&table, 1, 0), SUSPECT_NONE);
  suspect_raise (&table, 2, 100, 0);
  suspect_raise (&table, 2, 101, 0);
  CU_ASSERT_FALSE (suspect_clear (&table, 2));
  CU_ASSERT_EQUAL (suspect_check (&table, 2, 0), SUSPECT_REFUSED);
  suspect_finish (&table);
}

static void
test_one_at_a_time (void)
{
  suspect_init (&table, 8);
  CU_ASSERT (suspect_begin (&table, 1));
  suspect_raise (&table, 1, 100, 0);
  CU_ASSERT (suspect_begin (&table, 1));
  CU_ASSERT_FALSE (suspect_begin (&table, 1));
  suspect_end (&table, 1);
  CU_ASSERT (suspect_begin (&table, 1));
  suspect_finish (&table);
}

static void
test_expiry (void)
{
  suspect_init (&table, 8);
  suspect_raise (&table, 1, 100, 1000);
  suspect_raise (&table, 2, 100, 2000);
  uint64_t later = 1000 + SUSPECT_TTL_MS;
  CU_ASSERT_EQUAL (suspect_check (&table, 1, later - 1), SUSPECT_SINGLE);
  CU_ASSERT_EQUAL (suspect_check (&table, 1, later), SUSPECT_NONE);
  CU_ASSERT_EQUAL (suspect_expire (&table, later), 1);
  CU_ASSERT_EQUAL (table.count, 1);
  CU_ASSERT_EQUAL (suspect_check (&table, 2, later), SUSPECT_SINGLE);
  suspect_finish (&table);
}

/// When the table is full, refused requests are evicted last.
static void
test_eviction (void)
{
  suspect_init (&table, 4);
  suspect_raise (&table, 7, 100, 0);
  suspect_raise (&table, 7, 101, 0);
  for (uint64_t i = 0; i < 1000; i++)
    {
      suspect_raise (&table, 1000 + i, 100, i);
      CU_ASSERT (table.count <= 4);
    }
  CU_ASSERT_EQUAL (suspect_check (&table, 7, 1000), SUSPECT_REFUSED);
  CU_ASSERT_EQUAL (suspect_check (&table, 1999, 1000), SUSPECT_SINGLE);
  suspect_finish (&table);
}

static void
test_fingerprints (void)
{
  uint64_t base = suspect_fingerprint (NULL, "GET", "/a?x=1", "b", 1);
  CU_ASSERT_EQUAL (base, suspect_fingerprint (NULL, "GET", "/a?x=1", "b", 1));
  CU_ASSERT_NOT_EQUAL (base,
                       suspect_fingerprint (NULL, "PUT", "/a?x=1", "b", 1));
  CU_ASSERT_NOT_EQUAL (base,
                       suspect_fingerprint (NULL, "GET", "/a?x=2", "b", 1));
  CU_ASSERT_NOT_EQUAL (base,
                       suspect_fingerprint (NULL, "GET", "/a?x=1", "c", 1));
  CU_ASSERT_EQUAL (suspect_fingerprint ("k", "GET", "/a", NULL, 0),
                   suspect_fingerprint ("k", "PUT", "/b", "c", 1));
}

/// Nodes that hold a body in other parts must agree on the request.
static void
test_fingerprint_of_parts (void)
{
  char body[3000];
  for (size_t i = 0; i < sizeof body; i++)
    body[i] = (char)(i * 7);
  for (size_t size = 1; size <= sizeof body; size += 37)
    for (size_t cut = 0; cut <= size; cut += 53)
      {
        const struct iovec parts[]
            = { { body, cut }, { body + cut, size - cut } };
        uint64_t hash = 0;
        CU_ASSERT_EQUAL (hash_placement_parts (parts, 2, &hash), STATUS_OK);
        CU_ASSERT_EQUAL (suspect_fingerprint (NULL, "PUT", "/a", body, size),
                         suspect_fingerprint_hashed ("PUT", "/a", hash));
      }
  CU_ASSERT_EQUAL (suspect_fingerprint (NULL, "PUT", "/a", "", 0),
                   suspect_fingerprint_hashed ("PUT", "/a", 0));
}

static const struct test_case cases[] = {
  { "a crash that is reported twice counts as two",
    test_counts_distinct_crashes },
  { "a request that crashed two targets is accepted again",
    test_success_clears_single_crash },
  { "a suspect runs twice at the same time", test_one_at_a_time },
  { "a suspect does not expire, or expires too early", test_expiry },
  { "the table grows without bound", test_eviction },
  { "different requests share a fingerprint", test_fingerprints },
  { "a request whose body is stored in parts is taken for another one",
    test_fingerprint_of_parts },
};

int
main (void)
{
  return testing_run ("suspect", cases, sizeof cases / sizeof cases[0]);
}
