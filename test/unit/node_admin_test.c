#include "fake_node.h"
#include "testing.h"
#include "transport/admin.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <jansson.h>

#define SERVICES                                                              \
  "format: 1\nmesh: zapis\nservices:\n  - name: pecet\n    version: v1\n"     \
  "  - name: archiv\n    version: v1\n"
#define ROUTES                                                                \
  "routes:\n  - name: seal\n    prefix: /seal/\n    service: pecet\n"         \
  "    idempotent: false\n    timeout_ms: 9000\n"
#define MOVE(name, to)                                                        \
  "moves:\n  - name: " name "\n    service: pecet\n    from: v1\n    to: " to \
  "\n    by: 2999-03-12T06:00:00Z\n"

struct response
{
  bool done;
  int code;
  char body[65536];
};

/// Same members as struct node_admin of node_admin.h.
struct admin_view
{
  struct node *node;
  struct admin_server *server;
};

static void
on_response (struct evhttp_request *request, void *arg)
{
  struct response *response = arg;
  response->done = true;
  if (request == NULL)
    return;
  response->code = evhttp_request_get_response_code (request);
  struct evbuffer *buffer = evhttp_request_get_input_buffer (request);
  size_t size = evbuffer_get_length (buffer);
  if (size >= sizeof response->body)
    size = sizeof response->body - 1;
  evbuffer_copyout (buffer, response->body, size);
  response->body[size] = '\0';
}

static struct response response;

/// Sends a request and waits for the response; POST when there is a body.
/// @param headers  name, value, ..., NULL
/// @return HTTP status, 0 without a response
static int
send_request (const char *path, const char *body, const char *const *headers)
{
  const struct admin_view *view = (const void *)fake.node.admin;
  struct evhttp_connection *connection = evhttp_connection_base_new (
      fake.node.base, NULL, "127.0.0.1", admin_port (view->server));
  struct evhttp_request *request = evhttp_request_new (on_response, &response);
  memset (&response, 0, sizeof response);
  for (; headers != NULL && *headers != NULL; headers += 2)
    evhttp_add_header (evhttp_request_get_output_headers (request), headers[0],
                       headers[1]);
  if (body != NULL)
    evbuffer_add (evhttp_request_get_output_buffer (request), body,
                  strlen (body));
  evhttp_make_request (connection, request,
                       body == NULL ? EVHTTP_REQ_GET : EVHTTP_REQ_POST, path);
  while (!response.done)
    event_base_loop (fake.node.base, EVLOOP_ONCE);
  evhttp_connection_free (connection);
  return response.code;
}

/// Sends a change with a nonce.
static int
send_change (const char *path, const char *body, const char *nonce)
{
  const char *headers[] = { "Hawthornseam-Author",
                            "olga",
                            "Hawthornseam-Nonce",
                            nonce,
                            "Hawthornseam-Note",
                            "before the vote",
                            NULL };
  return send_request (path, body, headers);
}

static json_int_t
number (const char *name)
{
  json_t *value = json_loads (response.body, 0, NULL);
  json_int_t found = json_integer_value (json_object_get (value, name));
  json_decref (value);
  return found;
}

static bool
contains (const char *text)
{
  if (strstr (response.body, text) != NULL)
    return true;
  printf ("%d %s\n", response.code, response.body);
  return false;
}

static void
start (void)
{
  fake_start (0, true);
  CU_ASSERT_EQUAL_FATAL (node_admin_start (&fake.node), STATUS_OK);
}

static void
stop (void)
{
  node_admin_stop (&fake.node);
  fake_finish ();
}

static void
test_shows_the_node (void)
{
  start ();
  CU_ASSERT_EQUAL (send_change ("/config/apply", SERVICES ROUTES, "1"), 200);
  CU_ASSERT_EQUAL (send_request ("/state", NULL, NULL), 200);
  CU_ASSERT (contains ("\"slot\": \"pecet-1\""));
  CU_ASSERT_EQUAL (number ("version"), 1);
  CU_ASSERT_EQUAL (send_request ("/status", NULL, NULL), 200);
  CU_ASSERT (contains ("\"v2\": 1"));
  CU_ASSERT (contains ("\"lowest_version\": 1"));
  CU_ASSERT (contains ("\"slot-1\""));
  CU_ASSERT_EQUAL (send_request ("/config", NULL, NULL), 200);
  CU_ASSERT (contains ("prefix: /seal/\n"));
  CU_ASSERT_EQUAL (send_request ("/config/json", NULL, NULL), 200);
  CU_ASSERT (contains ("\"timeout_ms\": 9000"));
  CU_ASSERT_EQUAL (send_request ("/counters", NULL, NULL), 200);
  CU_ASSERT (contains ("admin_requests 6\n"));
  CU_ASSERT_EQUAL (send_request ("/counters?json", NULL, NULL), 200);
  CU_ASSERT_EQUAL (number ("admin_requests"), 7);
  CU_ASSERT_EQUAL (send_request ("/nothing", NULL, NULL), 404);
  CU_ASSERT_EQUAL (send_request ("/config/apply", NULL, NULL), 404);
  stop ();
}

static void
test_nonce_applies_once (void)
{
  start ();
  fake.lost_responses = 1;
  CU_ASSERT_EQUAL (send_change ("/config/apply", SERVICES, "a1"), 504);
  CU_ASSERT (contains ("\"retry\": true"));
  CU_ASSERT_EQUAL (send_change ("/config/apply", SERVICES, "a1"), 200);
  CU_ASSERT_EQUAL (number ("version"), 1);
  CU_ASSERT_EQUAL (send_change ("/config/apply", SERVICES, "a2"), 200);
  CU_ASSERT (contains ("\"changed\": false"));
  CU_ASSERT_EQUAL (fake_current ()->version, 1);
  stop ();
}

static void
test_refusals_change_nothing (void)
{
  static const char *const no_author[] = { "Hawthornseam-Nonce", "5", NULL };
  static const char *const stale_base[]
      = { "Hawthornseam-Author", "olga", "Hawthornseam-Base-Version", "9",
          NULL };
  start ();
  CU_ASSERT_EQUAL (send_request ("/config/apply", SERVICES, no_author), 400);
  CU_ASSERT (contains ("Hawthornseam-Author"));
  CU_ASSERT_EQUAL (send_request ("/config/apply", SERVICES, stale_base), 409);
  CU_ASSERT (contains ("\"retry\": false"));
  CU_ASSERT_EQUAL (send_change ("/config/apply", SERVICES, "xyz"), 400);
  CU_ASSERT_EQUAL (send_change ("/config/apply", SERVICES "rutes: 1\n", "5"),
                   400);
  CU_ASSERT (contains ("\"line\": 8"));
  CU_ASSERT_EQUAL (
      send_change ("/config/apply", "format: 1\nmesh: other\n", "5"), 400);
  CU_ASSERT (contains ("mesh \\\"other\\\""));
  CU_ASSERT_EQUAL (
      send_change ("/config/apply", SERVICES MOVE ("pecet-v3", "v3"), "5"),
      400);
  CU_ASSERT (contains ("moves[0].to"));
  fake.outage = true;
  CU_ASSERT_EQUAL (send_change ("/config/apply", SERVICES, "5"), 503);
  fake.outage = false;
  fake.conflicts = 1;
  CU_ASSERT_EQUAL (send_change ("/config/apply", SERVICES, "5"), 409);
  CU_ASSERT (contains ("\"retry\": true"));
  CU_ASSERT_EQUAL (fake_current ()->version, 0);
  CU_ASSERT_EQUAL (send_request ("/config/validate", SERVICES, NULL), 200);
  CU_ASSERT (contains ("+ service pecet version=v1"));
  stop ();
}

static void
test_unready_node_refuses (void)
{
  fake_start (0, false);
  CU_ASSERT_EQUAL_FATAL (node_admin_start (&fake.node), STATUS_OK);
  CU_ASSERT_EQUAL (send_change ("/config/apply", SERVICES, "5"), 503);
  CU_ASSERT (contains ("\"retry\": true"));
  CU_ASSERT_EQUAL (fake_current ()->version, 0);
  stop ();
}

static void
test_cancel_ends_once (void)
{
  start ();
  CU_ASSERT_EQUAL (
      send_change ("/config/apply", SERVICES MOVE ("pecet-v2", "v2"), "1"),
      200);
  CU_ASSERT_EQUAL (send_request ("/moves", NULL, NULL), 200);
  CU_ASSERT (contains ("\"phase\": \"running\""));
  CU_ASSERT_EQUAL (send_change ("/moves/other/cancel", " ", "2"), 404);
  CU_ASSERT_EQUAL (send_change ("/moves/pecet-v2/cancel", " ", "3"), 200);
  CU_ASSERT_EQUAL (send_change ("/moves/pecet-v2/cancel", " ", "3"), 200);
  CU_ASSERT_EQUAL (number ("version"), 2);
  CU_ASSERT_EQUAL (send_change ("/moves/pecet-v2/cancel", " ", "4"), 409);
  CU_ASSERT_EQUAL (fake_current ()->moves[0].phase, MOVE_CANCELLED);
  stop ();
}

/// Applies documents that differ in the timeout of a route.
static void
apply_versions (int first, int last)
{
  for (int i = first; i <= last; i++)
    {
      char yaml[1024], nonce[16];
      snprintf (yaml, sizeof yaml,
                SERVICES "routes:\n  - name: seal\n    prefix: /seal/\n"
                         "    service: pecet\n    idempotent: false\n"
                         "    timeout_ms: %d\n",
                i);
      snprintf (nonce, sizeof nonce, "%d0", i);
      CU_ASSERT_EQUAL (send_change ("/config/apply", yaml, nonce), 200);
    }
}

static void
test_history_follows_hashes (void)
{
  start ();
  CU_ASSERT_EQUAL (send_request ("/history", NULL, NULL), 200);
  CU_ASSERT (contains ("\"records\": []"));
  fake.rejected_records = true;
  apply_versions (1, 40);
  CU_ASSERT_EQUAL (send_request ("/history?count=100", NULL, NULL), 200);
  json_t *value = json_loads (response.body, 0, NULL);
  const json_t *records = json_object_get (value, "records");
  CU_ASSERT_EQUAL (json_array_size (records), 40);
  for (size_t i = 0; i < json_array_size (records); i++)
    {
      const json_t *record = json_array_get (records, i);
      const char *nonce
          = json_string_value (json_object_get (record, "nonce"));
      CU_ASSERT_EQUAL (
          json_integer_value (json_object_get (record, "version")),
          (json_int_t)(40 - i));
      CU_ASSERT_EQUAL (strtoull (nonce, NULL, 16) % 16, 0);
    }
  json_decref (value);
  CU_ASSERT_EQUAL (send_request ("/history?count=0", NULL, NULL), 400);
  stop ();
}

static void
test_rollback_restores (void)
{
  start ();
  fake.rejected_records = true;
  apply_versions (1, 40);
  static const int versions[] = { 39, 8, 5, 13, 32 };
  for (int i = 0; i < 5; i++)
    {
      char path[64], nonce[16];
      snprintf (path, sizeof path, "/rollback?version=%d", versions[i]);
      snprintf (nonce, sizeof nonce, "f%d0", i);
      CU_ASSERT_EQUAL (send_change (path, " ", nonce), 200);
      CU_ASSERT_EQUAL (number ("version"), 41 + i);
      CU_ASSERT_EQUAL (fake_current ()->routes[0].timeout_ms,
                       (uint32_t)versions[i]);
    }
  CU_ASSERT_EQUAL (send_change ("/rollback?version=45", " ", "e0"), 400);
  CU_ASSERT_EQUAL (send_change ("/rollback?version=0", " ", "e0"), 400);
  CU_ASSERT_EQUAL (send_change ("/rollback?version=x", " ", "e0"), 400);
  stop ();
}

static void
test_rollback_keeps_moves_ended (void)
{
  start ();
  CU_ASSERT_EQUAL (
      send_change ("/config/apply", SERVICES MOVE ("pecet-v2", "v2"), "10"),
      200);
  CU_ASSERT_EQUAL (send_change ("/moves/pecet-v2/cancel", " ", "20"), 200);
  CU_ASSERT_EQUAL (send_change ("/rollback?version=1", " ", "30"), 200);
  CU_ASSERT (contains ("\"changed\": false"));
  CU_ASSERT_EQUAL (fake_current ()->moves[0].phase, MOVE_CANCELLED);
  stop ();
}

static void
test_clients_that_disconnect (void)
{
  start ();
  const struct admin_view *view = (const void *)fake.node.admin;
  for (int i = 0; i < 3; i++)
    {
      struct evhttp_connection *connection = evhttp_connection_base_new (
          fake.node.base, NULL, "127.0.0.1", admin_port (view->server));
      struct evhttp_request *request
          = evhttp_request_new (on_response, &response);
      response.done = false;
      evhttp_make_request (connection, request, EVHTTP_REQ_GET, "/history");
      for (int j = 0; j <= i; j++)
        event_base_loop (fake.node.base, EVLOOP_ONCE);
      evhttp_connection_free (connection);
    }
  CU_ASSERT_EQUAL (send_request ("/state", NULL, NULL), 200);
  stop ();
}

static void
test_large_bodies (void)
{
  start ();
  char *body = malloc (ADMIN_BODY_MAX + 2);
  memset (body, '#', ADMIN_BODY_MAX + 1);
  body[ADMIN_BODY_MAX + 1] = '\0';
  CU_ASSERT_NOT_EQUAL (send_request ("/config/validate", body, NULL), 200);
  body[ADMIN_BODY_MAX] = '\0';
  CU_ASSERT_EQUAL (send_request ("/config/validate", body, NULL), 400);
  CU_ASSERT_EQUAL (send_request ("/state", NULL, NULL), 200);
  free (body);
  stop ();
}

static const struct test_case cases[] = {
  { "an endpoint shows wrong state or is absent", test_shows_the_node },
  { "a change takes effect twice after a lost response",
    test_nonce_applies_once },
  { "a refused change takes effect", test_refusals_change_nothing },
  { "a node that may be outdated accepts a change",
    test_unready_node_refuses },
  { "a move is cancelled twice", test_cancel_ends_once },
  { "history shows a record that was not accepted",
    test_history_follows_hashes },
  { "a rollback restores another content", test_rollback_restores },
  { "a rollback starts a move again", test_rollback_keeps_moves_ended },
  { "a client that disconnects ends the node", test_clients_that_disconnect },
  { "a body above the limit is read", test_large_bodies },
};

int
main (void)
{
  return testing_run ("node_admin", cases, sizeof cases / sizeof cases[0]);
}
