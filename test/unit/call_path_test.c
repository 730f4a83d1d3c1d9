#include "call_target.h"
#include "node/node_call_outbound.h"
#include "testing.h"

static struct event_base *base;
static struct fake_target target;
static struct fake_target other;

/// Starts three nodes; node 1 has a target with 4 slots.
static void
set_up (void)
{
  base = event_base_new ();
  mesh_start (base);
  memset (&target, 0, sizeof target);
  memset (&other, 0, sizeof other);
  fake_start (&target, &mesh.nodes[1], "v1", 4, "boot-1");
}

static void
tear_down (void)
{
  mesh_stop ();
  fake_crash (&target);
  fake_crash (&other);
  event_base_free (base);
}

/// Sends a GET through node 0 and runs the event loop for `ms`.
static void
get (struct caller *caller, const char *path, uint32_t ms)
{
  char text[256];
  snprintf (text, sizeof text, "GET %s HTTP/1.1\r\nHost: s\r\n\r\n", path);
  caller_start (caller, 0, text);
  mesh_run (ms);
}

/// A request and the response that its caller must receive.
struct response_case
{
  const char *path;
  uint32_t ms;
  const char *has;
  const char *outcome; ///< value of Hawthornseam-Outcome
  bool closed;
  unsigned requests; ///< requests that reached the target
};

static const struct response_case response_cases[] = {
  { "/s/ok", 60, "\r\n\r\n/s/ok", "ran", false, 1 },
  { "/s/cut-length", 200, "200 OK", "ran", true, 1 },
  { "/s/cut-chunks", 200, "200 OK", "ran", true, 1 },
  { "/s/unframed", 200, "502 ", "unknown", false, 1 },
  { "/s/cut-head", 200, "502 ", "unknown", false, 2 },
  { "/s/cut-field", 200, "502 ", "unknown", false, 2 },
  { "/s/cut-status", 200, "502 ", "unknown", false, 2 },
  { "/s/cut-blank", 200, "502 ", "unknown", false, 2 },
  { "/s/reset", 200, "502 ", "unknown", false, 2 },
  { "/s/shed", 200, "503 ", "not-run", false, 2 },
  { "/none", 60, "404 ", "not-run", false, 0 },
  { "/s/crash", 300, "502 ", "unknown", false, 1 },
  { "/s/silent", 1200, "504 ", "unknown", false, 2 },
};

static void
test_responses (void)
{
  for (size_t i = 0; i < sizeof response_cases / sizeof response_cases[0]; i++)
    {
      const struct response_case *c = &response_cases[i];
      struct caller caller;
      char outcome[64];
      set_up ();
      get (&caller, c->path, c->ms);
      snprintf (outcome, sizeof outcome, "Hawthornseam-Outcome: %s\r\n",
                c->outcome);
      bool expected
          = caller_has (&caller, c->has) && caller_has (&caller, outcome)
            && caller.closed == c->closed && target.requests == c->requests
            && !caller_has (&caller, "0\r\n\r\n");
      if (!expected)
        fprintf (stderr, "%s: closed %d, %u requests\n%.*s\n", c->path,
                 caller.closed, target.requests,
                 (int)evbuffer_get_length (caller.received),
                 evbuffer_pullup (caller.received, -1));
      CU_ASSERT (expected);
      CU_ASSERT_EQUAL (mesh.nodes[1].calls->admit.running, 0);
      CU_ASSERT_PTR_NULL (mesh.nodes[0].calls->outbound);
      caller_finish (&caller);
      tear_down ();
    }
}

/// A response that arrives after the timeout, or a second response to a
/// request, must not reach any caller.
static void
test_late_and_duplicate_responses (void)
{
  set_up ();
  struct caller first, second, third;
  caller_start (&first, 0,
                "GET /s/late HTTP/1.1\r\nHawthornseam-Deadline-Ms: 200\r\n"
                "\r\n");
  mesh_run (400);
  CU_ASSERT (caller_has (&first, "504 "));
  get (&second, "/s/ok-2", 500);
  CU_ASSERT (caller_has (&second, "/s/ok-2"));
  CU_ASSERT_FALSE (caller_has (&second, "late"));
  CU_ASSERT_FALSE (caller_has (&first, "late"));
  get (&third, "/s/two-answers", 60);
  CU_ASSERT (caller_has (&third, "first"));
  caller_finish (&second);
  get (&second, "/s/ok-3", 60);
  CU_ASSERT (caller_has (&second, "/s/ok-3"));
  CU_ASSERT_FALSE (caller_has (&second, "second"));
  caller_finish (&first);
  caller_finish (&second);
  caller_finish (&third);
  tear_down ();
}

/// A target that writes an earlier refusal once more on a kept connection must
/// not make the next request pass for one that did not run.
static void
test_refusal_written_once_more (void)
{
  set_up ();
  struct caller first, second;
  get (&first, "/s/shed", 200);
  CU_ASSERT (caller_has (&first, "503 "));
  unsigned before = target.requests;
  get (&second, "/s/ok-2", 200);
  CU_ASSERT (caller_has (&second, "200 OK"));
  CU_ASSERT (caller_has (&second, "/s/ok-2"));
  CU_ASSERT_EQUAL (target.requests, before + 1);
  caller_finish (&first);
  caller_finish (&second);
  tear_down ();
}

/// The nodes must not buffer a whole download for a caller that does not read.
static void
test_download_back_pressure (void)
{
  set_up ();
  struct caller caller;
  caller_start (&caller, 0, "GET /s/download HTTP/1.1\r\nHost: s\r\n\r\n");
  bufferevent_disable (caller.bev, EV_READ);
  size_t unsent = 0;
  do
    {
      unsent = target.connections[0].to_send;
      mesh_run (200);
    }
  while (target.connections[0].to_send != unsent);
  CU_ASSERT (unsent > 0);
  /* One read from the connection may exceed the limit by its size. */
  size_t limit = NODE_CALL_BUFFER_BYTES_MAX + 64 * 1024;
  struct outbound_call *call = mesh.nodes[0].calls->outbound;
  CU_ASSERT_FATAL (call != NULL);
  CU_ASSERT (call_request_buffered (call->request) > 0);
  CU_ASSERT (call_request_buffered (call->request) < limit);
  bufferevent_enable (caller.bev, EV_READ);
  for (unsigned i = 0; i < 50 && !caller_has (&caller, "\r\n0\r\n\r\n"); i++)
    {
      mesh_run (100);
      call = mesh.nodes[0].calls->outbound;
      if (call != NULL)
        CU_ASSERT (call_request_buffered (call->request) < limit);
    }
  CU_ASSERT (caller_has (&caller, "\r\n0\r\n\r\n"));
  CU_ASSERT (caller.bytes > TARGET_DOWNLOAD);
  caller_finish (&caller);
  tear_down ();
}

static void
test_refused_connection_is_not_run (void)
{
  set_up ();
  struct caller caller;
  fake_crash (&target);
  get (&caller, "/s/ok", 200);
  CU_ASSERT (caller_has (&caller, "Hawthornseam-Outcome: not-run"));
  CU_ASSERT_EQUAL (mesh.members[1].target_state, TARGET_DOWN);
  caller_finish (&caller);
  tear_down ();
}

/// Requests that are too large, ambiguous in length or otherwise malformed, or
/// that have a forged hop header, never reach the target.
static void
test_malformed_requests (void)
{
  static const struct
  {
    const char *request;
    const char *has; ///< NULL: no response; the receive timeout closes it
  } cases[] = {
    { "POST /s/ok HTTP/1.1\r\nContent-Length: 1048577\r\n\r\n", " 413 " },
    { "POST /s/ok HTTP/1.1\r\nContent-Length: 2\r\nContent-Length: 3"
      "\r\n\r\nab",
      " 400 " },
    { "POST /s/ok HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: "
      "chunked\r\n\r\n0\r\n\r\n",
      " 400 " },
    { "POST /s/ok HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
      NULL },
    { "GET /s/ok HTTP/1.0\r\n\r\n", " 505 " },
    { "GET http://s/s/ok HTTP/1.1\r\n\r\n", " 400 " },
    { "GET /s/ok HTTP/1.1\r\nHawthornseam-Hop: 00000001 0000000000000000 "
      "00000000000000000000000000000000\r\n\r\n",
      " 403 " },
    { "GET /s/ok HTTP/1.1\r\nHawthornseam-Deadline-Ms: soon\r\n\r\n",
      " 400 " },
    { "POST /once/ok HTTP/1.1\r\nContent-Length: 0\r\n\r\n", " 400 " },
  };
  set_up ();
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct caller caller;
      caller_start (&caller, 1, cases[i].request);
      mesh_run (60);
      bool expected = cases[i].has == NULL
                          ? evbuffer_get_length (caller.received) == 0
                          : caller_has (&caller, cases[i].has);
      if (!expected)
        fprintf (stderr, "%s -> %.*s\n", cases[i].request,
                 (int)evbuffer_get_length (caller.received),
                 evbuffer_pullup (caller.received, -1));
      CU_ASSERT (expected);
      caller_finish (&caller);
    }
  CU_ASSERT_EQUAL (target.requests, 0);
  tear_down ();
}

/// The connection of a request that arrives too slowly is closed although no
/// pause between its bytes reaches the idle timeout.
static void
test_slow_request (void)
{
  struct call_server_options options = { .body_max = 1000,
                                         .buffered_max = 400,
                                         .headers_max = 1000,
                                         .receive_ms = 200,
                                         .idle_ms = 60000 };
  set_up ();
  struct call_server *server;
  CU_ASSERT_EQUAL_FATAL (
      call_server_start (&server, base, 0x7f000001, 0, &options, NULL, NULL),
      STATUS_OK);
  uint16_t port = mesh.members[2].call_port;
  mesh.members[2].call_port = call_server_port (server);
  struct caller caller;
  caller_start (&caller, 2, "POST / HTTP/1.1\r\nContent-Length: 50\r\n\r\n");
  for (unsigned i = 0; i < 6; i++)
    {
      mesh_run (50);
      bufferevent_write (caller.bev, "x", 1);
    }
  CU_ASSERT (caller.closed);
  caller_finish (&caller);
  /* The received parts of three bodies together exceed buffered_max. */
  struct caller many[3];
  char text[256];
  snprintf (text, sizeof text,
            "POST / HTTP/1.1\r\nContent-Length: 900\r\n\r\n%0150d", 0);
  for (size_t i = 0; i < 3; i++)
    {
      caller_start (&many[i], 2, text);
      mesh_run (20);
      CU_ASSERT_EQUAL (many[i].closed, i == 2);
    }
  for (size_t i = 0; i < 3; i++)
    caller_finish (&many[i]);
  mesh.members[2].call_port = port;
  call_server_stop (server);
  tear_down ();
}

/// A non-idempotent request is sent to a target once. A retry by the caller
/// gets the recorded response; after a lost connection it is not run again.
static void
test_once (void)
{
  static const char *const key = "Idempotency-Key: 1-a\r\n";
  static const struct
  {
    const char *path;
    const char *second;
  } cases[] = {
    { "/once/ok", "Hawthornseam-Reason: recorded" },
    { "/once/reset", "Hawthornseam-Outcome: unknown" },
    { "/once/cut-length", "Hawthornseam-Outcome: unknown" },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      set_up ();
      char text[256];
      snprintf (text, sizeof text,
                "POST %s HTTP/1.1\r\n%sContent-Length: 0\r\n\r\n",
                cases[i].path, key);
      struct caller caller;
      for (unsigned attempt = 0; attempt < 2; attempt++)
        {
          caller_start (&caller, 0, text);
          mesh_run (150);
          if (attempt == 1)
            CU_ASSERT (caller_has (&caller, cases[i].second));
          caller_finish (&caller);
        }
      CU_ASSERT_EQUAL (target.requests, 1);
      tear_down ();
    }
}

/// The call of a caller that disconnects frees its slot, but a request with an
/// idempotency key continues and its outcome is recorded.
static void
test_caller_disconnects (void)
{
  set_up ();
  struct caller caller;
  get (&caller, "/s/silent", 50);
  CU_ASSERT_EQUAL (mesh.nodes[1].calls->admit.running, 1);
  caller_finish (&caller);
  mesh_run (50);
  CU_ASSERT_EQUAL (mesh.nodes[1].calls->admit.running, 0);
  caller_start (&caller, 0,
                "POST /once/slow HTTP/1.1\r\nIdempotency-Key: 1-b\r\n"
                "Content-Length: 0\r\n\r\n");
  mesh_run (50);
  caller_finish (&caller);
  mesh_run (200);
  CU_ASSERT (mesh.claims[0].recorded);
  CU_ASSERT_EQUAL (mesh.claims[0].size, 4);
  tear_down ();
}

/// A request that crashes each target that runs it crashes two at most, and
/// the other members learn of each crash at once.
static void
test_crash_suspect (void)
{
  set_up ();
  fake_start (&other, &mesh.nodes[2], "v1", 4, "boot-2");
  struct caller caller;
  for (unsigned i = 0; i < 4; i++)
    {
      get (&caller, "/s/crash", 200);
      CU_ASSERT_FALSE (caller_has (&caller, "200 OK"));
      caller_finish (&caller);
      CU_ASSERT_EQUAL (target.requests + other.requests, 2);
    }
  CU_ASSERT_EQUAL (mesh.members[1].target_state, TARGET_DOWN);
  CU_ASSERT_EQUAL (mesh.members[2].target_state, TARGET_DOWN);
  fake_start (&target, &mesh.nodes[1], "v1", 4, "boot-3");
  mesh_run (150);
  get (&caller, "/s/crash", 100);
  CU_ASSERT (caller_has (&caller, "Hawthornseam-Reason: crash-suspect\r\n"));
  CU_ASSERT (caller_has (&caller, "Hawthornseam-Outcome: not-run"));
  caller_finish (&caller);
  get (&caller, "/s/ok", 100);
  CU_ASSERT (caller_has (&caller, "200 OK"));
  caller_finish (&caller);
  CU_ASSERT_EQUAL (target.requests + other.requests, 3);
  tear_down ();
}

static void
set_drained (void *arg)
{
  *(bool *)arg = true;
}

/// A drain refuses new calls at once, and is complete only when the calls and
/// downloads in progress have ended.
static void
test_drain_interrupts_nothing (void)
{
  set_up ();
  struct caller slow, download, after;
  bool drained = false;
  caller_start (&download, 0, "GET /s/download HTTP/1.1\r\nHost: s\r\n\r\n");
  bufferevent_disable (download.bev, EV_READ);
  get (&slow, "/s/slow", 50);
  node_calls_drain (&mesh.nodes[1], set_drained, &drained);
  CU_ASSERT_EQUAL (mesh.members[1].target_state, TARGET_DRAINING);
  unsigned before = target.requests;
  get (&after, "/s/ok", 300);
  CU_ASSERT (caller_has (&after, "Hawthornseam-Outcome: not-run"));
  CU_ASSERT_EQUAL (target.requests, before);
  CU_ASSERT (caller_has (&slow, "\r\n\r\nlate"));
  CU_ASSERT_FALSE (drained);
  bufferevent_enable (download.bev, EV_READ);
  for (unsigned i = 0; i < 50 && !drained; i++)
    mesh_run (100);
  CU_ASSERT (caller_has (&download, "\r\n0\r\n\r\n"));
  CU_ASSERT (drained);
  caller_finish (&slow);
  caller_finish (&download);
  caller_finish (&after);
  tear_down ();
}

/// Calls beyond the number of slots wait or are refused, never sent.
static void
test_slots_are_never_exceeded (void)
{
  set_up ();
  struct caller callers[20];
  for (size_t i = 0; i < 20; i++)
    caller_start (&callers[i], 0, "GET /s/slow HTTP/1.1\r\nHost: s\r\n\r\n");
  size_t peak = 0;
  for (unsigned i = 0; i < 20; i++)
    {
      mesh_run (20);
      if (mesh.nodes[1].calls->admit.running > peak)
        peak = mesh.nodes[1].calls->admit.running;
    }
  CU_ASSERT_EQUAL (peak, 4);
  size_t connections = 0;
  for (size_t i = 0; i < TARGET_CONNECTIONS; i++)
    connections += target.connections[i].bev != NULL;
  CU_ASSERT (connections <= 4);
  unsigned answered = 0;
  unsigned refused = 0;
  for (size_t i = 0; i < 20; i++)
    {
      answered += caller_has (&callers[i], "200 OK");
      refused += caller_has (&callers[i], "Hawthornseam-Outcome: not-run");
      caller_finish (&callers[i]);
    }
  CU_ASSERT_EQUAL (answered, target.requests);
  CU_ASSERT_EQUAL (answered + refused, 20);
  CU_ASSERT (answered >= 12);
  tear_down ();
}

static const struct test_case cases[] = {
  { "a truncated, unframed, lost or refused call is misreported",
    test_responses },
  { "a late or duplicate response reaches another caller",
    test_late_and_duplicate_responses },
  { "an earlier refusal passes for that of the next request",
    test_refusal_written_once_more },
  { "a slow reader makes the nodes buffer a whole download",
    test_download_back_pressure },
  { "a refused connection is not reported as not-run or announced",
    test_refused_connection_is_not_run },
  { "a malformed request reaches the target or gets no refusal",
    test_malformed_requests },
  { "slow or many requests keep connections and memory", test_slow_request },
  { "a non-idempotent request is sent twice", test_once },
  { "a caller that disconnects keeps its slot", test_caller_disconnects },
  { "a request that crashes targets crashes more than two",
    test_crash_suspect },
  { "a drain interrupts a call or download", test_drain_interrupts_nothing },
  { "calls at the target exceed its slots", test_slots_are_never_exceeded },
};

int
main (void)
{
  return testing_run ("call_path", cases, sizeof cases / sizeof cases[0]);
}
