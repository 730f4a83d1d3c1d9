#include "protocol/explain_query.h"
#include "testing.h"

#include <string.h>

static void
test_queries (void)
{
  static const struct
  {
    const char *target;
    const char *host; ///< NULL: refused
    const char *path;
    const char *account;
    uint64_t body_bytes;
    uint32_t deadline_ms;
  } rows[] = {
    { "/explain?host=a.example&path=/read/1", "a.example", "/read/1", "", 0,
      0 },
    { "/explain?path=%2Fr%25a%3Fx%26y&host=A%3a80&account=a%2fb&body_bytes="
      "1048577&deadline_ms=700",
      "A:80", "/r%a?x&y", "a/b", 1048577, 700 },
    { "/explain?host=a&path=/caf%C3%A9", "a", "/caf\xc3\xa9", "", 0, 0 },
    { .target = "/explain" },
    { .target = "/explain?" },
    { .target = "/explain?host=a" },
    { .target = "/explain?path=/r" },
    { .target = "/explain?host=a&path=" },
    { .target = "/explain?host=&path=/r" },
    { .target = "/explain?host=a&path=r" },
    { .target = "/explain?host=a&path=/r&host=b" },
    { .target = "/explain?host=a&path=/r&key=secret" },
    { .target = "/explain?host=a&path=/r&" },
    { .target = "/explain?host=a&&path=/r" },
    { .target = "/explain?host=a&path=/r%" },
    { .target = "/explain?host=a&path=/r%4" },
    { .target = "/explain?host=a&path=/r%4g" },
    { .target = "/explain?host=a&path=/r%00" },
    { .target = "/explain?host=a&path=/r%0a" },
    { .target = "/explain?host=a%20b&path=/r" },
    { .target = "/explain?host=a&path=/r&account" },
    { .target = "/explain?host=a&path=/r&body_bytes=" },
    { .target = "/explain?host=a&path=/r&body_bytes=-1" },
    { .target = "/explain?host=a&path=/r&body_bytes=1e3" },
    { .target = "/explain?host=a&path=/r&body_bytes=1099511627777" },
    { .target = "/explain?host=a&path=/r&body_bytes=99999999999999999999" },
    { .target = "/explain?host=a&path=/r&deadline_ms=0" },
    { .target = "/explain?host=a&path=/r&deadline_ms=4294967296" },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct explain_query query;
      enum status status = explain_query_read (rows[i].target, &query);
      CU_ASSERT_EQUAL (status,
                       rows[i].host == NULL ? STATUS_INVALID : STATUS_OK);
      if (rows[i].host == NULL || status != STATUS_OK)
        continue;
      struct explain_query again;
      char text[EXPLAIN_QUERY_MAX];
      CU_ASSERT_STRING_EQUAL (query.host, rows[i].host);
      CU_ASSERT_STRING_EQUAL (query.path, rows[i].path);
      CU_ASSERT_STRING_EQUAL (query.account, rows[i].account);
      CU_ASSERT_EQUAL (query.body_bytes, rows[i].body_bytes);
      CU_ASSERT_EQUAL (query.deadline_ms, rows[i].deadline_ms);
      CU_ASSERT_EQUAL (explain_query_write (&query, text), strlen (text));
      CU_ASSERT_EQUAL (explain_query_read (text, &again), STATUS_OK);
      CU_ASSERT_EQUAL (memcmp (&query, &again, sizeof query), 0);
    }
  CU_ASSERT (explain_query_is ("/explain") && explain_query_is ("/explain?a"));
  CU_ASSERT_FALSE (explain_query_is ("/explained"));
  CU_ASSERT_FALSE (explain_query_is ("/metrics"));
}

/// Values at and beyond the limits; each byte takes three when encoded.
static void
test_longest_queries (void)
{
  static struct explain_query query, again;
  char text[EXPLAIN_QUERY_MAX + 8];
  memset (query.host, '!', EXPLAIN_HOST_MAX);
  memset (query.path, '!', EXPLAIN_TARGET_MAX);
  memset (query.account, '!', EXPLAIN_ACCOUNT_MAX);
  query.path[0] = '/';
  query.body_bytes = EXPLAIN_BODY_BYTES_MAX;
  query.deadline_ms = UINT32_MAX;
  CU_ASSERT (explain_query_write (&query, text) < EXPLAIN_QUERY_MAX);
  CU_ASSERT_EQUAL (explain_query_read (text, &again), STATUS_OK);
  CU_ASSERT_EQUAL (memcmp (&query, &again, sizeof query), 0);
  char *path = strstr (text, "&path=/");
  memmove (path + 8, path + 7, strlen (path + 7) + 1);
  path[7] = 'x';
  CU_ASSERT_EQUAL (explain_query_read (text, &again), STATUS_INVALID);
}

int
main (void)
{
  static const struct test_case cases[] = {
    { "a malformed question is answered", test_queries },
    { "a long question overflows its buffer", test_longest_queries },
  };
  return testing_run ("explain_query", cases, sizeof cases / sizeof cases[0]);
}
