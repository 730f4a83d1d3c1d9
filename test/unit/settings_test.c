#include "protocol/settings.h"
#include "testing.h"

#include <stdio.h>
#include <string.h>

#define KEY "000102030405060708090a0b0c0d0e0f000102030405060708090a0b0c0d0e0f"
#define BASE                                                                  \
  "mesh: zapis\nslot: zapisy-1\navailability_zone: praha-a\n"                 \
  "region: cz-central\naddress: 10.0.0.5\nstore: 10.0.0.9:2300\n"
#define KEYS "keys:\n  - id: 3\n    key: " KEY "\n"

static void
test_defaults (void)
{
  struct settings settings;
  struct findings findings;
  findings_init (&findings, "node.yaml");
  CU_ASSERT_EQUAL (settings_parse (&settings, "node.yaml", BASE KEYS,
                                   strlen (BASE KEYS), &findings),
                   STATUS_OK);
  findings_print (&findings, stdout);
  CU_ASSERT_STRING_EQUAL (settings.slot, "zapisy-1");
  CU_ASSERT_EQUAL (settings.address, 0x0a000005);
  CU_ASSERT_EQUAL (settings.store.port, 2300);
  CU_ASSERT_EQUAL (settings.admin.address, 0x7f000001);
  CU_ASSERT_EQUAL (settings.admin.port, 7002);
  CU_ASSERT_EQUAL (settings.claim_partitions, 10);
  CU_ASSERT_EQUAL (settings.claim_window_s, 900);
  CU_ASSERT_EQUAL (settings.request_body_max, 1048576);
  CU_ASSERT_EQUAL (settings.call_concurrency, 1024);
  CU_ASSERT_EQUAL (settings.key_count, 1);
  CU_ASSERT_EQUAL (settings.keys[0].id, 3);
  CU_ASSERT_EQUAL (settings.keys[0].bytes[31], 15);
  findings_finish (&findings);
}

static void
test_findings_have_positions (void)
{
  static const struct
  {
    const char *yaml;
    int line, column;
    const char *path;
  } rows[] = {
    { BASE, 1, 1, "keys" },
    { BASE "keys: []\n", 7, 7, "keys" },
    { BASE "keys:\n  - id: 3\n    key: abc\n", 9, 10, "keys[0].key" },
    { BASE "keys:\n  - id: 0\n    key: " KEY "\n", 8, 9, "keys[0].id" },
    { BASE KEYS "  - id: 3\n    key: " KEY "\n", 8, 3, "keys[1].id" },
    { BASE KEYS "peer_port: 65536\n", 10, 12, "peer_port" },
    { BASE KEYS "call_port: 7000\n", 10, 12, "call_port" },
    { BASE KEYS "admin: localhost:1\n", 10, 8, "admin" },
    { BASE KEYS "admin: 10.0.0.5:7001\n", 10, 8, "admin" },
    { BASE KEYS "admin: {address: x, port: 1}\n", 10, 18, "admin.address" },
    { BASE KEYS "admin: {address: 127.0.0.1}\n", 10, 8, "admin.port" },
    { BASE KEYS "format: 2\n", 10, 9, "format" },
    { BASE KEYS "seeds: [10.0.0.1:7000, 10.0.0.1]\n", 10, 24, "seeds[1]" },
    { BASE KEYS "seeds: 10.0.0.1:7000\n", 10, 8, "seeds" },
    { BASE KEYS "claim_window_s: 5\n", 10, 17, "claim_window_s" },
    { BASE KEYS "zone: x\n", 10, 1, "zone" },
    { BASE KEYS "slot: x\n", 10, 1, "slot" },
    { BASE KEYS "region: [a]\n", 10, 1, "region" },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct settings settings;
      struct findings findings;
      findings_init (&findings, "node.yaml");
      CU_ASSERT_EQUAL (settings_parse (&settings, "node.yaml", rows[i].yaml,
                                       strlen (rows[i].yaml), &findings),
                       STATUS_INVALID);
      bool expected = findings.total == 1
                      && findings.items[0].line == rows[i].line
                      && findings.items[0].column == rows[i].column
                      && strcmp (findings.items[0].path, rows[i].path) == 0;
      CU_ASSERT (expected);
      if (!expected)
        findings_print (&findings, stdout);
      findings_finish (&findings);
    }
}

static void
test_keys_stay_secret (void)
{
  static const char yaml[] = BASE "keys:\n  - id: 3\n    key: " KEY "ff\n";
  struct settings settings;
  struct findings findings;
  findings_init (&findings, "node.yaml");
  settings_parse (&settings, "node.yaml", yaml, strlen (yaml), &findings);
  CU_ASSERT_EQUAL (findings.total, 1);
  CU_ASSERT_PTR_NULL (strstr (findings.items[0].message, "0001"));
  findings_finish (&findings);
}

static void
test_endpoints_as_maps (void)
{
  static const char yaml[]
      = "format: 1\n" BASE KEYS "admin:\n  address: 127.0.0.1\n  port: 7005\n"
        "seeds:\n  - \"10.0.0.1:7000\"\n";
  struct settings settings;
  struct findings findings;
  findings_init (&findings, "node.yaml");
  CU_ASSERT_EQUAL (
      settings_parse (&settings, "node.yaml", yaml, strlen (yaml), &findings),
      STATUS_OK);
  CU_ASSERT_EQUAL (settings.admin.port, 7005);
  CU_ASSERT_EQUAL (settings.seeds[0].port, 7000);
  findings_finish (&findings);
}

static void
test_missing_file (void)
{
  struct settings settings;
  struct findings findings;
  findings_init (&findings, "absent.yaml");
  CU_ASSERT_EQUAL (settings_load (&settings, "build/absent.yaml", &findings),
                   STATUS_NOT_FOUND);
  findings_finish (&findings);
}

static const struct test_case cases[] = {
  { "a default differs from the documented one", test_defaults },
  { "a wrong setting is accepted or reported at a wrong position",
    test_findings_have_positions },
  { "a finding contains a key", test_keys_stay_secret },
  { "an endpoint as a map is rejected or misread", test_endpoints_as_maps },
  { "settings are accepted without a file", test_missing_file },
};

int
main (void)
{
  return testing_run ("settings", cases, sizeof cases / sizeof cases[0]);
}
