#include "call_target.h"
#include "testing.h"

static struct event_base *base;
static struct fake_target old_target;
static struct fake_target new_target;

/// Starts three nodes with version v1 at node 1 and v2 at node 2.
static void
set_up (void)
{
  base = event_base_new ();
  mesh_start (base);
  memset (&old_target, 0, sizeof old_target);
  memset (&new_target, 0, sizeof new_target);
  fake_start (&old_target, &mesh.nodes[1], "v1", 4, "boot-1");
  fake_start (&new_target, &mesh.nodes[2], "v2", 4, "boot-2");
}

static void
tear_down (void)
{
  mesh_stop ();
  fake_crash (&old_target);
  fake_crash (&new_target);
  event_base_free (base);
}

/// Sends a request to a node.
/// @return true when the response contains a text
static bool
response_has (size_t node, const char *request, const char *text)
{
  struct caller caller;
  caller_start (&caller, node, request);
  mesh_run (60);
  bool found = caller_has (&caller, text);
  if (!found)
    fprintf (stderr, "%s -> %.*s\n", request,
             (int)evbuffer_get_length (caller.received),
             evbuffer_pullup (caller.received, -1));
  caller_finish (&caller);
  return found;
}

static void
test_version_share (void)
{
  static const char *const ok = "GET /s/ok HTTP/1.1\r\n\r\n";
  set_up ();
  CU_ASSERT (response_has (0, ok, "Hawthornseam-Version: v1"));
  mesh.share_to = "v2";
  CU_ASSERT (response_has (0, ok, "Hawthornseam-Version: v1"));
  mesh.share_bp = CONFIG_SHARE_ALL;
  CU_ASSERT (response_has (0, ok, "Hawthornseam-Version: v2"));
  CU_ASSERT_EQUAL (mesh.observed, 3);
  CU_ASSERT_EQUAL (mesh.observed_failures, 0);
  /* Without targets of the new version the old one serves the calls. */
  mesh.members[2].target_state = TARGET_DOWN;
  mesh.table.generation++;
  mesh_run (110);
  CU_ASSERT (response_has (0, ok, "Hawthornseam-Version: v1"));
  /* The new version never gets more than its share. */
  mesh.share_bp = 0;
  mesh.members[1].target_state = TARGET_DOWN;
  mesh.members[2].target_state = TARGET_READY;
  mesh.table.generation++;
  mesh_run (110);
  CU_ASSERT (response_has (0, ok, "Hawthornseam-Reason: no-target"));
  CU_ASSERT_EQUAL (new_target.requests, 1);
  tear_down ();
}

/// Sends an announcement of a target to a node from the loopback address.
/// @return true when the response contains a text
static bool
announce (size_t node, const char *body, const char *text)
{
  char request[512];
  snprintf (request, sizeof request,
            "PUT /_hawthornseam/target HTTP/1.1\r\nContent-Length: %zu\r\n\r\n"
            "%s",
            strlen (body), body);
  return response_has (node, request, text);
}

static void
test_announcements (void)
{
  static const char *const malformed[] = {
    "",
    "{",
    "[]",
    "{\"service\":\"s\"}",
    "{\"service\":\"\",\"version\":\"v\",\"boot_id\":\"b\",\"port\":1,"
    "\"slots\":1}",
    "{\"service\":\"s\",\"version\":\"v\",\"boot_id\":\"b\",\"port\":65536,"
    "\"slots\":1}",
    "{\"service\":\"s\",\"version\":\"v\",\"boot_id\":\"b\",\"port\":1,"
    "\"slots\":0}",
    "{\"service\":\"sssssssssssssssssssssssssssssssss\",\"version\":\"v\","
    "\"boot_id\":\"b\",\"port\":1,\"slots\":1}",
    /* 2^32 more than a valid value */
    "{\"service\":\"s\",\"version\":\"v\",\"boot_id\":\"b\",\"port\":"
    "4294967297,\"slots\":1}",
    "{\"service\":\"s\",\"version\":\"v\",\"boot_id\":\"b\",\"port\":1,"
    "\"slots\":4294967297}",
  };
  char valid[256];
  set_up ();
  for (size_t i = 0; i < sizeof malformed / sizeof malformed[0]; i++)
    CU_ASSERT (announce (0, malformed[i], " 40"));
  CU_ASSERT_EQUAL (mesh.members[0].target_state, TARGET_ABSENT);
  snprintf (valid, sizeof valid,
            "{\"service\":\"s\",\"version\":\"v1\",\"boot_id\":\"x\","
            "\"port\":%u,\"slots\":3,\"connections\":2}",
            old_target.port);
  CU_ASSERT (announce (0, valid, " 200 "));
  CU_ASSERT_EQUAL (mesh.members[0].target_state, TARGET_READY);
  CU_ASSERT_EQUAL (mesh.nodes[0].calls->admit.slots, 2);
  /* Later announcements of the same process do not end a drain. */
  CU_ASSERT (
      response_has (0,
                    "POST /_hawthornseam/drain HTTP/1.1\r\nContent-Length: 0"
                    "\r\n\r\n",
                    " 200 "));
  CU_ASSERT (announce (0, valid, " 200 "));
  CU_ASSERT_EQUAL (mesh.members[0].target_state, TARGET_DRAINING);
  *strstr (valid, "\"x\"") = '\0';
  snprintf (valid + strlen (valid), sizeof valid - strlen (valid),
            "\"y\",\"port\":%u,\"slots\":3}", old_target.port);
  CU_ASSERT (announce (0, valid, " 200 "));
  CU_ASSERT_EQUAL (mesh.members[0].target_state, TARGET_READY);
  tear_down ();
}

/// A crash is detected by the new boot id when the process restarted so fast
/// that the probe of its port was not refused.
static void
test_fast_restart_is_a_crash (void)
{
  set_up ();
  CU_ASSERT (response_has (0, "GET /s/reset HTTP/1.1\r\n\r\n",
                           "Hawthornseam-Outcome: unknown"));
  CU_ASSERT_EQUAL (mesh.nodes[0].calls->suspects.count, 0);
  char text[256];
  snprintf (text, sizeof text,
            "{\"service\":\"s\",\"version\":\"v1\",\"boot_id\":\"new\","
            "\"port\":%u,\"slots\":4}",
            old_target.port);
  CU_ASSERT (announce (1, text, " 200 "));
  CU_ASSERT_EQUAL (mesh.nodes[0].calls->suspects.count, 1);
  tear_down ();
}

/// A crash suspect that succeeds is cleared on all nodes; a malformed
/// broadcast changes nothing.
static void
test_success_clears_everywhere (void)
{
  set_up ();
  uint64_t fingerprint = suspect_fingerprint (NULL, "GET", "/s/ok", NULL, 0);
  for (size_t i = 0; i < MESH_NODES; i++)
    suspect_raise (&mesh.nodes[i].calls->suspects, fingerprint, 9,
                   clock_monotonic_ms ());
  node_mesh_broadcast (&mesh.nodes[1], 5, (const uint8_t *)"\xc1junk", 5);
  node_mesh_broadcast (&mesh.nodes[1], 4, (const uint8_t *)"\x92\x01", 2);
  /* The header of an array states 2^32 - 1 elements that do not follow. */
  node_mesh_broadcast (&mesh.nodes[1], 4,
                       (const uint8_t *)"\xdd\xff\xff\xff\xff", 5);
  for (size_t i = 0; i < MESH_NODES; i++)
    CU_ASSERT_EQUAL (mesh.nodes[i].calls->suspects.count, 1);
  CU_ASSERT (response_has (0, "GET /s/ok HTTP/1.1\r\n\r\n", " 200 "));
  for (size_t i = 0; i < MESH_NODES; i++)
    CU_ASSERT_EQUAL (mesh.nodes[i].calls->suspects.count, 0);
  tear_down ();
}

static const struct test_case cases[] = {
  { "the new version gets more than its share", test_version_share },
  { "a malformed announcement is accepted, or a drain is undone",
    test_announcements },
  { "a crash goes unnoticed when the target restarts at once",
    test_fast_restart_is_a_crash },
  { "a suspect stays on other nodes after it succeeded",
    test_success_clears_everywhere },
};

int
main (void)
{
  return testing_run ("call_route", cases, sizeof cases / sizeof cases[0]);
}
