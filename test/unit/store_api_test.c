#include "protocol/store_api.h"
#include "testing.h"

#include <string.h>
#include <talloc.h>

static void
test_paths (void)
{
  static const struct
  {
    struct store_request request;
    const char *path; ///< NULL: rejected
  } rows[] = {
    { { .call = STORE_CALL_GET, .key = "cfg/head" }, "/kv/cfg/head" },
    { { .call = STORE_CALL_WATCH, .key = "a", .revision = 7, .ms = 100 },
      "/kv/a?after=7&wait_ms=100" },
    { { .call = STORE_CALL_PUT, .key = "a" }, "/kv/a?prev=0" },
    { { .call = STORE_CALL_PUT, .key = "a", .revision = 3, .lease = 9 },
      "/kv/a?prev=3&lease=9" },
    { { .call = STORE_CALL_REMOVE, .key = "a", .revision = 3 },
      "/kv/a?prev=3" },
    { { .call = STORE_CALL_LIST, .key = "" }, "/list?prefix=" },
    { { .call = STORE_CALL_LEASE_GRANT, .ms = 15000 }, "/lease?ttl_ms=15000" },
    { { .call = STORE_CALL_LEASE_KEEPALIVE, .lease = 4 },
      "/lease/4/keepalive" },
    { { .call = STORE_CALL_GET, .key = "" }, NULL },
    { { .call = STORE_CALL_GET, .key = "a b" }, NULL },
    { { .call = STORE_CALL_GET, .key = "a?prev=1" }, NULL },
    { { .call = STORE_CALL_PUT, .key = "a\r\nX: y" }, NULL },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      char path[STORE_API_PATH_MAX];
      enum status status = store_api_path (&rows[i].request, path);
      CU_ASSERT_EQUAL (status, rows[i].path ? STATUS_OK : STATUS_INVALID);
      if (rows[i].path != NULL && status == STATUS_OK)
        CU_ASSERT_STRING_EQUAL (path, rows[i].path);
    }
  char longest[STORE_API_KEY_MAX + 2];
  char path[STORE_API_PATH_MAX];
  memset (longest, 'k', sizeof longest);
  longest[STORE_API_KEY_MAX + 1] = '\0';
  struct store_request request = { .call = STORE_CALL_GET, .key = longest };
  CU_ASSERT_EQUAL (store_api_path (&request, path), STATUS_INVALID);
}

static void
test_responses (void)
{
  static const struct
  {
    enum store_call call;
    int code;
    const char *revision;
    const char *body;
    enum status status;
    uint64_t expected; ///< revision of the reply
  } rows[] = {
    { STORE_CALL_GET, 200, "5", "value", STATUS_OK, 5 },
    { STORE_CALL_GET, 200, NULL, "value", STATUS_CORRUPT, 0 },
    { STORE_CALL_GET, 200, "0", "value", STATUS_CORRUPT, 0 },
    { STORE_CALL_GET, 200, "05", "value", STATUS_CORRUPT, 0 },
    { STORE_CALL_GET, 200, "-5", "value", STATUS_CORRUPT, 0 },
    { STORE_CALL_GET, 200, "5 ", "value", STATUS_CORRUPT, 0 },
    { STORE_CALL_GET, 200, "9223372036854775808", "", STATUS_CORRUPT, 0 },
    { STORE_CALL_GET, 404, NULL, "", STATUS_NOT_FOUND, 0 },
    { STORE_CALL_GET, 304, NULL, "", STATUS_CORRUPT, 0 },
    { STORE_CALL_GET, 409, "5", "", STATUS_CORRUPT, 0 },
    { STORE_CALL_GET, 301, NULL, "", STATUS_CORRUPT, 0 },
    { STORE_CALL_GET, 503, NULL, "", STATUS_UNAVAILABLE, 0 },
    { STORE_CALL_PUT, 429, NULL, "", STATUS_UNAVAILABLE, 0 },
    { STORE_CALL_PUT, 500, NULL, "", STATUS_UNKNOWN, 0 },
    { STORE_CALL_PUT, 200, "6", "", STATUS_OK, 6 },
    { STORE_CALL_PUT, 200, NULL, "", STATUS_CORRUPT, 0 },
    { STORE_CALL_PUT, 409, "7", "other", STATUS_CONFLICT, 7 },
    { STORE_CALL_PUT, 409, "0", "", STATUS_CONFLICT, 0 },
    { STORE_CALL_PUT, 409, "0", "other", STATUS_CORRUPT, 0 },
    { STORE_CALL_PUT, 413, NULL, "", STATUS_TOO_LARGE, 0 },
    { STORE_CALL_WATCH, 304, NULL, "", STATUS_TIMEOUT, 0 },
    { STORE_CALL_REMOVE, 200, NULL, "", STATUS_OK, 0 },
    { STORE_CALL_LIST, 200, NULL, "[[\"a/b\",3]]", STATUS_OK, 0 },
    { STORE_CALL_LIST, 200, NULL, "[]", STATUS_OK, 0 },
    { STORE_CALL_LIST, 200, NULL, "{}", STATUS_CORRUPT, 0 },
    { STORE_CALL_LIST, 200, NULL, "[[\"a\",0]]", STATUS_CORRUPT, 0 },
    { STORE_CALL_LIST, 200, NULL, "[[\"a\",1.5]]", STATUS_CORRUPT, 0 },
    { STORE_CALL_LIST, 200, NULL, "[[\"a\",1,2]]", STATUS_CORRUPT, 0 },
    { STORE_CALL_LIST, 200, NULL, "[[\"a b\",1]]", STATUS_CORRUPT, 0 },
    { STORE_CALL_LIST, 200, NULL, "[[\"a\",1]", STATUS_CORRUPT, 0 },
    { STORE_CALL_LIST, 404, NULL, "", STATUS_CORRUPT, 0 },
    { STORE_CALL_LEASE_GRANT, 200, NULL, "{\"id\":9}", STATUS_OK, 9 },
    { STORE_CALL_LEASE_GRANT, 200, NULL, "{\"id\":\"9\"}", STATUS_CORRUPT, 0 },
    { STORE_CALL_LEASE_GRANT, 200, NULL, "{\"id\":1,\"id\":2}", STATUS_CORRUPT,
      0 },
    { STORE_CALL_LEASE_GRANT, 200, NULL, "", STATUS_CORRUPT, 0 },
    { STORE_CALL_LEASE_KEEPALIVE, 404, NULL, "", STATUS_NOT_FOUND, 0 },
  };
  void *arena = talloc_new (NULL);
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct store_reply reply;
      store_api_parse_response (rows[i].call, rows[i].code, rows[i].revision,
                                (const uint8_t *)rows[i].body,
                                strlen (rows[i].body), arena, &reply);
      CU_ASSERT_EQUAL (reply.status, rows[i].status);
      CU_ASSERT_EQUAL (reply.revision, rows[i].expected);
      if (reply.status != rows[i].status)
        printf ("row %zu: %s\n", i, status_name (reply.status));
    }
  talloc_free (arena);
}

static const struct test_case cases[] = {
  { "a key changes the meaning of a path", test_paths },
  { "a response outside the interface is accepted", test_responses },
};

int
main (void)
{
  return testing_run ("store api", cases, sizeof cases / sizeof cases[0]);
}
