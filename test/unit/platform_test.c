#include "platform/platform.h"
#include "testing.h"

#include <stdio.h>
#include <string.h>
#include <talloc.h>

static void
test_times (void)
{
  static const struct
  {
    const char *text;
    bool valid;
    uint32_t ms;
  } rows[] = {
    { "1500ms", true, 1500 }, { "2.5s", true, 2500 }, { "0ms", true, 0 },
    { "12", false, 0 },       { "-1s", false, 0 },    { "s", false, 0 },
    { "1h", false, 0 },       { "", false, 0 },       { "99999s", false, 0 },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      json_t *value = json_string (rows[i].text);
      uint32_t ms = 0;
      CU_ASSERT_EQUAL (platform_read_ms (value, &ms), rows[i].valid);
      CU_ASSERT_EQUAL (ms, rows[i].ms);
      json_decref (value);
    }
  CU_ASSERT (!platform_read_ms (NULL, &(uint32_t){ 0 }));
}

static void
test_reports (void)
{
  static const struct
  {
    const char *body;
    bool valid;
    bool draining;
  } rows[] = {
    { "{\"Address\":\"10.1.0.9:8080\",\"Info\":{\"Service\":\"s\",\"Version\":"
      "\"v1\",\"Zone\":\"z\",\"Capacity\":14},\"Status\":{\"State\":\"ready\","
      "\"SeqNo\":4,\"ColdLeft\":\"1.5s\"},\"born\":1767268433020}",
      true, false },
    { "{\"Address\":\"10.1.0.9:8080\",\"Info\":{\"Service\":\"s\",\"Version\":"
      "\"v1\",\"Zone\":\"z\",\"Capacity\":14},\"Status\":{\"State\":"
      "\"draining\",\"SeqNo\":5}}",
      true, true },
    /* unknown state, wrong type, malformed address, missing part, no JSON */
    { "{\"Address\":\"10.1.0.9:8080\",\"Info\":{\"Service\":\"s\",\"Version\":"
      "\"v1\",\"Zone\":\"z\",\"Capacity\":14},\"Status\":{\"State\":\"dying\","
      "\"SeqNo\":4}}",
      false, false },
    { "{\"Address\":\"10.1.0.9:8080\",\"Info\":{\"Service\":7,\"Version\":"
      "\"v1\",\"Zone\":\"z\",\"Capacity\":14},\"Status\":{\"State\":\"ready\","
      "\"SeqNo\":4}}",
      false, false },
    { "{\"Address\":\"10.1.0.9:8080\",\"Info\":{\"Service\":\"s\",\"Version\":"
      "\"v1\",\"Zone\":\"z\",\"Capacity\":\"14\"},\"Status\":{\"State\":"
      "\"ready\",\"SeqNo\":4}}",
      false, false },
    { "{\"Address\":\"nowhere\",\"Info\":{},\"Status\":{}}", false, false },
    { "{\"Address\":\"10.1.0.9:8080\"}", false, false },
    { "\x80\x81", false, false },
    { "", false, false },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct target_report report;
      enum status status = platform_read_report (
          "i-1", rows[i].body, strlen (rows[i].body), &report);
      CU_ASSERT_EQUAL (status == STATUS_OK, rows[i].valid);
      if (!rows[i].valid)
        continue;
      CU_ASSERT_EQUAL (report.draining, rows[i].draining);
      CU_ASSERT_EQUAL (report.slots, 14);
      CU_ASSERT_EQUAL (report.address, 0x0a010009);
      CU_ASSERT_EQUAL (report.port, 8080);
    }
}

static const char good_config[]
    = "{\"Version\":\"0000000c\",\"Routes\":["
      "{\"Name\":\"r1\",\"Host\":\"a.example\",\"Prefix\":\"/x/\","
      "\"RouteType\":\"safe\",\"Timeout\":\"1500ms\",\"TargetLatency\":"
      "\"500ms\",\"Priority\":2,\"TrafficSplit\":[{\"Service\":\"s1\","
      "\"Weight\":90},{\"Service\":\"s2\",\"Weight\":10}],\"MaxAttempts\":2},"
      "{\"Name\":\"r2\",\"Host\":\"a.example\",\"Prefix\":\"/x/y/\","
      "\"RouteType\":\"unsafe\",\"Timeout\":\"2s\",\"Priority\":1,"
      "\"Service\":\"s2\",\"MaxAttempts\":2},"
      "{\"Name\":\"r3\",\"Host\":\"b.example\",\"Prefix\":\"/\","
      "\"RouteType\":\"download\",\"Timeout\":\"2s\",\"Service\":\"s1\"}],"
      "\"Services\":[{\"Name\":\"s1\",\"MaxConns\":130,\"ColdPerS\":8.9},{"
      "\"Name\":\"s2\"}],"
      "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":67108864,"
      "\"HeaderTimeout\":\"3000ms\",\"IdleTimeout\":\"15000ms\"}}";

static void
test_config_routes (void)
{
  static const struct
  {
    const char *host;
    const char *path;
    const char *route; ///< NULL: none
  } rows[] = {
    { "a.example", "/x/1", "r1" },     { "a.example", "/x/y/1?q=1", "r2" },
    { "A.Example:8080", "/x/", "r1" }, { "a.example", "/x", NULL },
    { "a.example", "/z/", NULL },      { "b.example", "/anything", "r3" },
    { "c.example", "/x/", NULL },      { "a.exampl", "/x/", NULL },
    { "a.example.org", "/x/", NULL },
  };
  struct mesh_config *config;
  CU_ASSERT_EQUAL_FATAL (platform_read_config ((const uint8_t *)good_config,
                                               strlen (good_config), &config),
                         STATUS_OK);
  CU_ASSERT_EQUAL (config->version, 12);
  CU_ASSERT_EQUAL (config->limits.idle_ms, 15000);
  CU_ASSERT (mesh_config_service (config, "s1")->cold_per_s == 8.9);
  CU_ASSERT (mesh_config_service (config, "s2")->cold_per_s == 0);
  CU_ASSERT_PTR_NULL (mesh_config_service (config, "s3"));
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct mesh_route *route
          = mesh_config_find (config, rows[i].host, rows[i].path);
      CU_ASSERT_EQUAL (route == NULL, rows[i].route == NULL);
      if (route != NULL && rows[i].route != NULL)
        CU_ASSERT_STRING_EQUAL (route->name, rows[i].route);
    }
  CU_ASSERT_EQUAL (
      mesh_config_find (config, "a.example", "/x/y/")->retry_class,
      MESH_NON_IDEMPOTENT);
  CU_ASSERT_EQUAL (mesh_config_find (config, "b.example", "/")->retry_class,
                   MESH_DOWNLOAD);
  /* The traffic split is exact over any 100 requests. */
  struct mesh_route *route = mesh_config_find (config, "a.example", "/x/");
  for (int span = 0; span < 5; span++)
    {
      int second = 0;
      for (int i = 0; i < 100; i++)
        second += strcmp (mesh_route_choose (route), "s2") == 0;
      CU_ASSERT_EQUAL (second, 10);
    }
  talloc_free (config);
}

static void
test_config_refused (void)
{
  static const char *const changes[][2] = {
    { "0000000c", "xyz" },
    { "\"Routes\":[", "\"Router\":[" },
    { "\"1500ms\"", "1500" },
    { "\"Prefix\":\"/\"", "\"Prefix\":\"\"" },
    { "\"Service\":\"s2\"", "\"Service\":2" },
    { "/x/y/", "/x/" }, /* the same host and prefix twice */
    { "}}", "}" },
  };
  for (size_t i = 0; i < sizeof changes / sizeof changes[0]; i++)
    {
      char text[sizeof good_config + 64];
      struct mesh_config *config;
      const char *at = strstr (good_config, changes[i][0]);
      CU_ASSERT_FATAL (at != NULL);
      int size
          = snprintf (text, sizeof text, "%.*s%s%s", (int)(at - good_config),
                      good_config, changes[i][1], at + strlen (changes[i][0]));
      CU_ASSERT_EQUAL (
          platform_read_config ((const uint8_t *)text, (size_t)size, &config),
          STATUS_INVALID);
    }
}

static void
test_orders (void)
{
  struct move_order order;
  const char good[] = "{\"Service\":\"s1\",\"TargetVersion\":\"v2\","
                      "\"Duration\":\"12s\"}";
  char text[256];
  CU_ASSERT_EQUAL (
      platform_read_order ((const uint8_t *)good, strlen (good), &order),
      STATUS_OK);
  CU_ASSERT_EQUAL (order.duration_ms, 12000);
  size_t size = platform_write_status (&order, MOVE_PHASE_ROLLED_BACK, text,
                                       sizeof text);
  CU_ASSERT (size > 0);
  CU_ASSERT (strstr (text, "\"State\":\"rolled_back\"") != NULL);
  CU_ASSERT (strstr (text, "\"TargetVersion\":\"v2\"") != NULL);
  CU_ASSERT_EQUAL (platform_read_order ((const uint8_t *)"{}", 2, &order),
                   STATUS_INVALID);
}

static void
test_calls (void)
{
  static const struct
  {
    const char *method;
    const char *path;
    enum adapter_call call;
    const char *id;
  } rows[] = {
    { "GET", "/api/readyz", ADAPTER_CALL_READY, NULL },
    { "POST", "/api/instances/i-1/heartbeat", ADAPTER_CALL_REPORT, "i-1" },
    { "POST", "/api/instances/i-1/deregister", ADAPTER_CALL_LEAVE, "i-1" },
    { "GET", "/api/instances/i-1/heartbeat", ADAPTER_CALL_NONE, NULL },
    { "POST", "/api/instances//heartbeat", ADAPTER_CALL_NONE, NULL },
    { "POST", "/api/instances/i-1/other", ADAPTER_CALL_NONE, NULL },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      char id[DIRECTORY_NAME_MAX + 1] = "";
      CU_ASSERT_EQUAL (
          platform_adapter.classify (rows[i].method, rows[i].path, id),
          rows[i].call);
      if (rows[i].id != NULL)
        CU_ASSERT_STRING_EQUAL (id, rows[i].id);
    }
}

static void
test_store_calls (void)
{
  static const struct
  {
    struct store_request request;
    const char *data;
    enum store_method method;
    const char *path;
    const char *body; ///< NULL: none
  } rows[] = {
    { { .call = STORE_CALL_GET, .key = "op/config" },
      NULL,
      STORE_METHOD_GET,
      "/api/kv-key?Key=op/config",
      NULL },
    { { .call = STORE_CALL_RANGE, .key = "o", .after = "own/a b" },
      NULL,
      STORE_METHOD_GET,
      "/api/kv-range?Prefix=o&after=own/a%20b",
      NULL },
    { { .call = STORE_CALL_RANGE, .key = "o", .stale = true },
      NULL,
      STORE_METHOD_GET,
      "/api/kv-range?Prefix=o&Serializable=1",
      NULL },
    { { .call = STORE_CALL_WATCH_PREFIX,
        .key = "o",
        .revision = 9,
        .ms = 2000 },
      NULL,
      STORE_METHOD_GET,
      "/api/kv-watch?Prefix=o&after=9&WaitMs=2000",
      NULL },
    { { .call = STORE_CALL_PUT, .key = "own/x", .revision = 4, .lease = 7 },
      "hello",
      STORE_METHOD_POST,
      "/api/kv-txn",
      "{\"Expect\":[{\"Key\":\"own/x\",\"Rev\":4}],\"Writes\":[{\"Key\":"
      "\"own/x\",\"Value\":\"aGVsbG8=\",\"Lease\":7}],\"Deletes\":[]}" },
    { { .call = STORE_CALL_REMOVE,
        .key = "own/x",
        .revision = STORE_ANY_REVISION },
      NULL,
      STORE_METHOD_POST,
      "/api/kv-txn",
      "{\"Expect\":[],\"Writes\":[],\"Deletes\":[\"own/x\"]}" },
    { { .call = STORE_CALL_LEASE_GRANT, .ms = 7000 },
      NULL,
      STORE_METHOD_POST,
      "/api/kv-lease",
      "{\"Ttl\":\"7000ms\"}" },
    { { .call = STORE_CALL_LEASE_KEEPALIVE, .lease = 7 },
      NULL,
      STORE_METHOD_POST,
      "/api/kv-keep/7",
      NULL },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      void *arena = talloc_new (NULL);
      struct store_http_request wire = { 0 };
      const char *data = rows[i].data;
      CU_ASSERT_EQUAL (platform_store_codec.encode (
                           &rows[i].request, data,
                           data == NULL ? 0 : strlen (data), arena, &wire),
                       STATUS_OK);
      CU_ASSERT_EQUAL (wire.method, rows[i].method);
      CU_ASSERT_STRING_EQUAL (wire.path, rows[i].path);
      size_t size = rows[i].body == NULL ? 0 : strlen (rows[i].body);
      CU_ASSERT_EQUAL_FATAL (wire.body_size, size);
      CU_ASSERT (size == 0 || memcmp (wire.body, rows[i].body, size) == 0);
      talloc_free (arena);
    }
}

static void
test_store_responses (void)
{
  static const struct
  {
    enum store_call call;
    int code;
    const char *body;
    enum status status;
    uint64_t revision;
    size_t keys;
  } rows[] = {
    { STORE_CALL_GET, 200,
      "{\"Key\":\"k\",\"Value\":\"aGVsbG8=\",\"Rev\":4,\"AsOf\":9}", STATUS_OK,
      4, 0 },
    { STORE_CALL_GET, 404, "{}", STATUS_NOT_FOUND, 0, 0 },
    { STORE_CALL_RANGE, 200,
      "{\"items\":[{\"Key\":\"k\",\"Value\":\"aGVsbG8=\",\"Rev\":4},"
      "{\"Key\":7}],\"HasMore\":false,\"AsOf\":9}",
      STATUS_OK, 0, 1 },
    { STORE_CALL_WATCH_PREFIX, 200,
      "{\"events\":[{\"Key\":\"k\",\"Rev\":5,\"Tombstone\":true}],"
      "\"AsOf\":9}",
      STATUS_OK, 0, 1 },
    { STORE_CALL_WATCH_PREFIX, 410, "{}", STATUS_TOO_OLD, 0, 0 },
    { STORE_CALL_PUT, 200, "{\"Rev\":12}", STATUS_OK, 12, 0 },
    { STORE_CALL_PUT, 412,
      "{\"items\":[{\"Key\":\"k\",\"Value\":\"aGVsbG8=\",\"Rev\":11}]}",
      STATUS_CONFLICT, 11, 1 },
    { STORE_CALL_PUT, 412, "{\"items\":[]}", STATUS_CONFLICT, 0, 0 },
    { STORE_CALL_PUT, 404, "{}", STATUS_NOT_FOUND, 0, 0 },
    { STORE_CALL_PUT, 403, "{}", STATUS_DENIED, 0, 0 },
    { STORE_CALL_PUT, 503, "", STATUS_UNAVAILABLE, 0, 0 },
    { STORE_CALL_PUT, 429, "", STATUS_UNAVAILABLE, 0, 0 },
    { STORE_CALL_PUT, 500, "", STATUS_UNKNOWN, 0, 0 },
    { STORE_CALL_PUT, 200, "nonsense", STATUS_CORRUPT, 0, 0 },
    { STORE_CALL_LEASE_GRANT, 200, "{\"Lease\":77,\"Ttl\":\"3s\"}", STATUS_OK,
      77, 0 },
    { STORE_CALL_LEASE_KEEPALIVE, 200, "{\"Ttl\":\"3s\"}", STATUS_OK, 0, 0 },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      void *arena = talloc_new (NULL);
      struct store_reply reply;
      platform_store_codec.parse_response (
          rows[i].call, rows[i].code, NULL, (const uint8_t *)rows[i].body,
          strlen (rows[i].body), arena, &reply);
      CU_ASSERT_EQUAL (reply.status, rows[i].status);
      CU_ASSERT_EQUAL (reply.revision, rows[i].revision);
      CU_ASSERT_EQUAL (reply.key_count, rows[i].keys);
      talloc_free (arena);
    }
}

/// @return a configuration with one route and these Tenants
static const char *
config_with_accounts (const char *accounts)
{
  static char text[2048];
  snprintf (text, sizeof text,
            "{\"Version\":\"1\",\"Routes\":[{\"Name\":\"r\",\"Host\":\"a\","
            "\"Prefix\":\"/x/\",\"RouteType\":\"safe\",\"Timeout\":\"1s\","
            "\"Service\":\"s\",\"NoAuth\":true}],\"Services\":[]%s%s}",
            accounts == NULL ? "" : ",\"Tenants\":",
            accounts == NULL ? "" : accounts);
  return text;
}

static void
test_accounts (void)
{
  static const struct
  {
    const char *accounts; ///< NULL: the field is missing
    bool valid;
    bool required;
    const char *owner_of_k1; ///< NULL: nobody
  } rows[] = {
    { NULL, true, false, NULL },
    { "null", true, false, NULL },
    { "[]", true, true, NULL },
    { "[{\"Name\":\"a\",\"ApiKeys\":[\"k0\",\"k1\"],\"Priority\":1,"
      "\"RatePerS\":556,\"Burst\":2.5}]",
      true, true, "a" },
    { "[{\"Name\":\"a\",\"ApiKeys\":[]},{\"Name\":\"b\",\"ApiKeys\":["
      "\"k1\",\"k1\"]}]",
      true, true, "b" },
    { "[{\"Name\":\"a\"}]", true, true, NULL },
    /* one key of two accounts, wrong types, empty key, a name that would
       break out of its header field */
    { "[{\"Name\":\"a\",\"ApiKeys\":[\"k1\"]},{\"Name\":\"b\","
      "\"ApiKeys\":[\"k1\"]}]",
      false, false, NULL },
    { "{}", false, false, NULL },
    { "[7]", false, false, NULL },
    { "[{\"ApiKeys\":[\"k1\"]}]", false, false, NULL },
    { "[{\"Name\":\"a\",\"ApiKeys\":\"k1\"}]", false, false, NULL },
    { "[{\"Name\":\"a\",\"ApiKeys\":[7]}]", false, false, NULL },
    { "[{\"Name\":\"a\",\"ApiKeys\":[\"\"]}]", false, false, NULL },
    { "[{\"Name\":\"a\",\"RatePerS\":-1}]", false, false, NULL },
    { "[{\"Name\":\"a\",\"Burst\":\"9\"}]", false, false, NULL },
    { "[{\"Name\":\"a\\r\\nX: y\"}]", false, false, NULL },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct mesh_config *config;
      const char *text = config_with_accounts (rows[i].accounts);
      enum status status = platform_read_config ((const uint8_t *)text,
                                                 strlen (text), &config);
      CU_ASSERT_EQUAL (status == STATUS_OK, rows[i].valid);
      if (status != STATUS_OK)
        continue;
      const struct client_account_table *table = &config->accounts;
      const struct client_account *owner = client_account_find (table, "k1");
      CU_ASSERT_EQUAL (table->required, rows[i].required);
      CU_ASSERT (config->routes[0].no_key);
      CU_ASSERT_PTR_NULL (client_account_find (table, "K1"));
      CU_ASSERT_PTR_NULL (client_account_find (table, ""));
      CU_ASSERT_EQUAL (owner == NULL, rows[i].owner_of_k1 == NULL);
      if (owner != NULL)
        CU_ASSERT_STRING_EQUAL (owner->name, rows[i].owner_of_k1);
      talloc_free (config);
    }
}

static void
test_account_quota (void)
{
  struct mesh_config *config;
  const char *text = config_with_accounts (
      "[{\"Name\":\"a\",\"ApiKeys\":[\"k1\"],\"Priority\":0,\"RatePerS\":556,"
      "\"Burst\":2.5},{\"Name\":\"b\",\"ApiKeys\":[\"k2\"]}]");
  CU_ASSERT_EQUAL_FATAL (
      platform_read_config ((const uint8_t *)text, strlen (text), &config),
      STATUS_OK);
  const struct client_account *a
      = client_account_by_name (&config->accounts, "a");
  const struct client_account *b
      = client_account_find (&config->accounts, "k2");
  CU_ASSERT (a->has_priority && a->priority == 0);
  CU_ASSERT (a->rate_per_s == 556 && a->burst == 2.5);
  CU_ASSERT (!b->has_priority && b->rate_per_s == 0 && b->burst == 0);
  CU_ASSERT_PTR_NULL (client_account_by_name (&config->accounts, "c"));
  talloc_free (config);
}

static void
test_account_names (void)
{
  struct mesh_config *config;
  const char *text = config_with_accounts (
      "[{\"Name\":\"m\"},{\"Name\":\"c\"},{\"Name\":\"z\"},"
      "{\"Name\":\"c\",\"RatePerS\":7},{\"Name\":\"a\"}]");
  CU_ASSERT_EQUAL_FATAL (
      platform_read_config ((const uint8_t *)text, strlen (text), &config),
      STATUS_OK);
  const struct client_account_table *table = &config->accounts;
  const struct
  {
    const char *name;
    const struct client_account *expected;
  } cases[] = {
    { "a", &table->accounts[4] },
    { "c", &table->accounts[1] },
    { "m", &table->accounts[0] },
    { "z", &table->accounts[2] },
    { "", NULL },
    { "b", NULL },
    { "zz", NULL },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    CU_ASSERT_PTR_EQUAL (client_account_by_name (table, cases[i].name),
                         cases[i].expected);
  talloc_free (config);
}

int
main (void)
{
  static const struct test_case cases[] = {
    { "a duration without a unit is accepted", test_times },
    { "a malformed report of a target is accepted", test_reports },
    { "a request takes a route other than the longest matching prefix",
      test_config_routes },
    { "a malformed configuration is accepted in part", test_config_refused },
    { "a key is accepted that no account or more than one account has, or a "
      "malformed account",
      test_accounts },
    { "an account loses its quota or priority", test_account_quota },
    { "a name finds no account, or not the first one that has it",
      test_account_names },
    { "a move order or its status is decoded or encoded wrongly",
      test_orders },
    { "a call to the node is classified wrongly", test_calls },
    { "a store call is encoded wrongly", test_store_calls },
    { "a store response is decoded wrongly", test_store_responses },
  };
  return testing_run ("platform", cases, sizeof cases / sizeof cases[0]);
}
