#include "http_peers.h"
#include "transport/http_server_internal.h"

#define HOST "Host: h\r\n"

/* The server: bodies over 1000 bytes are streamed, up to 1 MiB. */

static size_t body_calls;

static void
server_body (void *arg, struct http_request *request)
{
  body_calls++;
}

static uint16_t
stream_set_up (void)
{
  static struct http_server_ops ops;
  const struct http_server_limits limits = { .head_bytes = 2000,
                                             .body_bytes = 1024 * 1024,
                                             .stream_bytes = 1000,
                                             .receive_ms = 300,
                                             .idle_ms = 600 };
  ops = server_ops;
  ops.body = server_body;
  base = event_base_new ();
  request_count = disconnect_count = body_calls = 0;
  http_server_start (&server, base, LOOPBACK, 0, &limits, &ops, NULL);
  return port_of (server.listener);
}

/// Sends a number of zeros, which are chunks of 1000 bytes if asked for.
static void
send_body (struct raw_client *raw_client, size_t size, bool chunked)
{
  char part[1000];
  memset (part, 'b', sizeof part);
  for (size_t i = 0; i < size; i += sizeof part)
    {
      if (chunked)
        client_send (raw_client, "3e8\r\n");
      bufferevent_write (raw_client->bev, part, sizeof part);
      if (chunked)
        client_send (raw_client, "\r\n");
    }
}

#define UPLOAD(FIELDS) "POST / HTTP/1.1\r\n" HOST FIELDS "\r\n"
#define LENGTH "Content-Length: 900000\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n"

static void
take_body (struct http_request *request)
{
  evbuffer_drain (request->body, evbuffer_get_length (request->body));
  http_request_read_body (request);
}

static void
test_back_pressure (void)
{
  for (int chunked = 0; chunked < 2; chunked++)
    {
      struct raw_client raw_client;
      client_connect (&raw_client, stream_set_up ());
      client_send (&raw_client, chunked ? UPLOAD (CHUNKED) : UPLOAD (LENGTH));
      run_ms (30);
      CU_ASSERT_EQUAL (request_count, !chunked); /* not known to be large */
      send_body (&raw_client, 900000, chunked);
      if (chunked)
        client_send (&raw_client, "0\r\n\r\n");
      client_send (&raw_client, "GET /next HTTP/1.1\r\n" HOST "\r\n");
      /* The handler does not read; the caller is not blamed for that. */
      run_ms (1000);
      CU_ASSERT_EQUAL_FATAL (request_count, 1);
      struct http_request *request = requests[0];
      size_t held = evbuffer_get_length (request->body);
      CU_ASSERT (held > 0 && held <= 128 * 1024);
      CU_ASSERT (http_stream_unread (request->connection->stream)
                 <= 64 * 1024);
      CU_ASSERT_EQUAL (raw_client.size, 0);
      for (int i = 0; i < 200 && !request->body_complete; i++)
        {
          take_body (request);
          run_ms (2);
          CU_ASSERT (evbuffer_get_length (request->body) <= 128 * 1024);
        }
      CU_ASSERT_EQUAL (request->received, 900000);
      take_body (request);
      run_ms (30);
      http_request_close_body (request);
      http_reply (request, 200, NULL, "one", 3);
      run_ms (30);
      CU_ASSERT_EQUAL_FATAL (request_count, 2);
      http_reply (requests[1], 200, NULL, "two", 3);
      run_ms (30);
      CU_ASSERT (strstr (raw_client.received, "two") != NULL);
      CU_ASSERT (!raw_client.closed);
      CU_ASSERT_EQUAL (disconnect_count, 0);
      server_tear_down (&raw_client);
    }
}

static void
test_behind_another_request (void)
{
  struct raw_client raw_client;
  client_connect (&raw_client, stream_set_up ());
  client_send (&raw_client, "GET /1 HTTP/1.1\r\n" HOST "\r\n");
  client_send (&raw_client, UPLOAD (LENGTH));
  send_body (&raw_client, 900000, false);
  run_ms (800);
  CU_ASSERT_EQUAL (request_count, 1);
  http_reply (requests[0], 200, NULL, "one", 3);
  run_ms (30);
  CU_ASSERT_EQUAL_FATAL (request_count, 2);
  http_reply (requests[1], 503, NULL, "refused", 7);
  run_ms (50);
  CU_ASSERT (strstr (raw_client.received, "one") != NULL);
  CU_ASSERT (strstr (raw_client.received, "Connection: close") != NULL);
  CU_ASSERT (strstr (raw_client.received, "refused") != NULL);
  CU_ASSERT (raw_client.closed);
  server_tear_down (&raw_client);
}

static void
test_expectation (void)
{
  struct raw_client raw_client;
  client_connect (&raw_client, stream_set_up ());
  client_send (&raw_client, UPLOAD (LENGTH "Expect: 100-continue\r\n"));
  run_ms (800); /* longer than a slow caller gets */
  CU_ASSERT_EQUAL_FATAL (request_count, 1);
  CU_ASSERT_EQUAL (raw_client.size, 0);
  http_request_read_body (requests[0]);
  http_request_read_body (requests[0]);
  run_ms (30);
  CU_ASSERT_STRING_EQUAL (raw_client.received,
                          "HTTP/1.1 100 Continue\r\n\r\n");
  server_tear_down (&raw_client);
}

/// The response is complete before the body is.
static void
test_early_response (void)
{
  struct raw_client raw_client;
  client_connect (&raw_client, stream_set_up ());
  client_send (&raw_client, UPLOAD (LENGTH));
  run_ms (30);
  CU_ASSERT_EQUAL_FATAL (request_count, 1);
  struct http_request *request = requests[0];
  struct evbuffer *fields = evbuffer_new ();
  http_request_read_body (request);
  http_reply_start (request, 200, fields, 5);
  evbuffer_free (fields);
  http_reply_write (request, "early", 5);
  http_reply_finish (request);
  run_ms (30);
  CU_ASSERT (strstr (raw_client.received, "early") != NULL);
  send_body (&raw_client, 900000, false);
  client_send (&raw_client, "GET /next HTTP/1.1\r\n" HOST "\r\n");
  for (int i = 0; i < 200 && !request->body_complete; i++)
    {
      take_body (request);
      run_ms (2);
    }
  CU_ASSERT_EQUAL (request->received, 900000);
  http_request_close_body (request);
  run_ms (30);
  CU_ASSERT_EQUAL (request_count, 2);
  CU_ASSERT (!raw_client.closed);
  CU_ASSERT_EQUAL (disconnect_count, 0);
  server_tear_down (&raw_client);
}

/// What ends a body before its end, after its request was handed over.
static void
test_ends_early (void)
{
  enum how
  {
    CALLER_LEAVES,
    TOO_SLOW,
    SHED,
    SHED_UNREAD,
    TOO_LARGE,
    MALFORMED,
    ABORTED,
    HOWS
  };
  static const char *const status[HOWS] = { [SHED_UNREAD] = "HTTP/1.1 503",
                                            [TOO_LARGE] = "HTTP/1.1 413",
                                            [MALFORMED] = "HTTP/1.1 400" };
  for (int how = 0; how < HOWS; how++)
    {
      struct raw_client raw_client;
      struct memory_budget budget;
      memory_budget_init (&budget, 8, 1000, http_server_shed);
      uint16_t port = stream_set_up ();
      http_server_use_budget (&server, &budget, MEMORY_BUDGET_CALLERS);
      server.not_run_fields = "Not-Run: yes\r\n";
      client_connect (&raw_client, port);
      client_send (&raw_client, UPLOAD (CHUNKED));
      send_body (&raw_client, 2000, true);
      run_ms (30);
      CU_ASSERT_EQUAL_FATAL (request_count, 1);
      struct http_request *request = requests[0];
      if (how != SHED_UNREAD)
        http_request_read_body (request);
      if (how == CALLER_LEAVES)
        bufferevent_free (raw_client.bev);
      else if (how == SHED || how == SHED_UNREAD)
        http_server_shed (request->connection);
      else if (how == MALFORMED)
        client_send (&raw_client, "nonsense\r\n");
      else if (how == ABORTED)
        http_reply_abort (request);
      else if (how == TOO_LARGE)
        send_body (&raw_client, 2 * 1024 * 1024, true);
      for (int i = 0; i < 800 && how == TOO_LARGE && disconnect_count == 0;
           i++)
        {
          take_body (request);
          run_ms (1);
        }
      run_ms (how == TOO_SLOW ? 900 : 50);
      CU_ASSERT_EQUAL (disconnect_count, how != ABORTED);
      CU_ASSERT_EQUAL (server.in_progress, 0);
      if (how == CALLER_LEAVES)
        client_connect (&raw_client, port);
      else if (status[how] != NULL)
        CU_ASSERT_EQUAL (strncmp (raw_client.received, status[how], 12), 0);
      /* Nothing that says that it has not run. */
      if (status[how] == NULL)
        CU_ASSERT_EQUAL (raw_client.size, 0);
      if (how != CALLER_LEAVES)
        CU_ASSERT (raw_client.closed);
      server_tear_down (&raw_client);
      CU_ASSERT_EQUAL (budget.used, 0);
    }
}

/* The pool: a target that reads or does not read. */

struct upload
{
  struct result result;
  size_t connected;
  size_t proceeds;
  size_t sent;
  size_t answered;
};

static struct upload upload;
static bool holds_request;

static void
upload_connected (void *arg)
{
  upload.connected++;
}

static void
upload_proceed (void *arg)
{
  upload.proceeds++;
}

static void
upload_sent (void *arg)
{
  upload.sent++;
}

static void
upload_answered (void *arg)
{
  upload.answered++;
}

static const struct http_exchange_ops upload_ops
    = { .head = result_head,
        .body = result_body,
        .end = result_end,
        .connected = upload_connected,
        .proceed = upload_proceed,
        .sent = upload_sent,
        .answered = upload_answered };

static struct http_exchange *
start_upload (uint16_t port, bool chunked)
{
  struct evbuffer *bytes = evbuffer_new ();
  evbuffer_add_printf (bytes, UPLOAD ("Expect: 100-continue\r\n"));
  struct http_send send = { .address = LOOPBACK,
                            .port = port,
                            .request = bytes,
                            .id = "a",
                            .max_idle_ms = 4000,
                            .upload = true,
                            .holds_request = holds_request,
                            .chunked = chunked };
  memset (&upload, 0, sizeof upload);
  struct http_exchange *pending
      = http_pool_send (&pool, &send, &upload_ops, &upload.result);
  evbuffer_free (bytes);
  run_ms (50);
  return pending;
}

static void
write_upload (struct http_exchange *exchange, size_t size)
{
  struct evbuffer *data = evbuffer_new ();
  evbuffer_expand (data, size);
  for (size_t i = 0; i < size; i++)
    evbuffer_add (data, "b", 1);
  http_exchange_write (exchange, data, size);
  CU_ASSERT_EQUAL (evbuffer_get_length (data), 0);
  evbuffer_free (data);
}

#define OK_RESPONSE OK_WITH_ID ("a")
#define OK_WITH_ID(ID)                                                        \
  "HTTP/1.1 200 OK\r\nX-Id: " ID "\r\nContent-Length: 2\r\n\r\nok"

static void
test_exchange_proceeds (void)
{
  for (int chunked = 0; chunked < 2; chunked++)
    {
      struct script responses
          = { .responses
              = { "HTTP/1.1 102 Wait\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n",
                  OK_RESPONSE, OK_WITH_ID ("b"), OK_RESPONSE } };
      uint16_t port = pool_set_up (&responses);
      struct http_exchange *exchange_ = start_upload (port, chunked);
      CU_ASSERT_EQUAL (upload.connected, 1);
      CU_ASSERT_EQUAL (upload.proceeds, 1);
      CU_ASSERT_EQUAL (upload.answered, 0);
      write_upload (exchange_, 100);
      http_exchange_end_body (exchange_);
      run_ms (50);
      CU_ASSERT (upload.result.ended);
      CU_ASSERT_EQUAL (upload.result.end, HTTP_END_COMPLETE);
      CU_ASSERT_EQUAL (upload.result.size, 2);
      CU_ASSERT_EQUAL (pool.connections, 0); /* it is not reused */
      /* An idle connection is not taken for an upload. */
      struct result result = exchange (port, "b");
      CU_ASSERT_EQUAL (result.end, HTTP_END_COMPLETE);
      CU_ASSERT_EQUAL (pool.connections, 1);
      size_t before = script.connections;
      exchange_ = start_upload (port, chunked);
      CU_ASSERT_EQUAL (script.connections, before + 1);
      if (!upload.result.ended)
        http_exchange_cancel (exchange_);
      pool_tear_down ();
    }
}

/// The target answers the head at once, and then reads the body or closes.
static void
test_exchange_answered_early (void)
{
  for (int closes = 0; closes < 2; closes++)
    {
      struct script responses
          = { .responses = { OK_RESPONSE }, .close_after = { closes != 0 } };
      uint16_t port = pool_set_up (&responses);
      struct http_exchange *exchange_ = start_upload (port, false);
      CU_ASSERT_EQUAL (upload.answered, 1);
      CU_ASSERT_EQUAL (upload.result.size, 2);
      CU_ASSERT_EQUAL (upload.result.ended, closes);
      if (!closes)
        {
          write_upload (exchange_, 500000);
          run_ms (50);
          CU_ASSERT (!upload.result.ended);
          CU_ASSERT (upload.sent > 0);
          http_exchange_end_body (exchange_);
          run_ms (50);
        }
      CU_ASSERT (upload.result.ended);
      CU_ASSERT_EQUAL (upload.result.end, HTTP_END_COMPLETE);
      CU_ASSERT_EQUAL (pool.connections, 0);
      pool_tear_down ();
    }
}

/// A request that ends before its body begins must not have run.
static void
test_exchange_holds_request (void)
{
  struct script responses = { .responses = { OK_RESPONSE } };
  uint16_t port = pool_set_up (&responses);
  holds_request = true;
  struct http_exchange *exchange_ = start_upload (port, false);
  holds_request = false;
  CU_ASSERT_EQUAL (upload.connected, 1);
  CU_ASSERT_EQUAL (script.connections, 1);
  CU_ASSERT_EQUAL (script.next, 0); /* the target has received nothing */
  write_upload (exchange_, 100);
  http_exchange_end_body (exchange_);
  run_ms (50);
  CU_ASSERT_EQUAL (script.next, 1);
  CU_ASSERT (upload.result.ended);
  CU_ASSERT_EQUAL (upload.result.end, HTTP_END_COMPLETE);
  pool_tear_down ();
}

static void
test_exchange_lost (void)
{
  struct script responses = { .responses = { "HTTP/1.1 100 Continue\r\n\r\n" },
                              .close_after = { true } };
  uint16_t port = pool_set_up (&responses);
  start_upload (port, true);
  CU_ASSERT_EQUAL (upload.proceeds, 1);
  CU_ASSERT (upload.result.ended);
  CU_ASSERT_EQUAL (upload.result.end, HTTP_END_LOST);
  pool_tear_down ();
}

int
main (void)
{
  static const struct test_case cases[] = {
    { "a streamed body fills memory, loses bytes or swallows the next request",
      test_back_pressure },
    { "a streamed body overtakes an earlier response, or is read in vain",
      test_behind_another_request },
    { "a caller that waits for 100 Continue is told to send in vain",
      test_expectation },
    { "the rest of a body is lost when the response comes before it",
      test_early_response },
    { "a body that ends early passes for a whole one, or as not run",
      test_ends_early },
    { "a body is sent too early, or its connection carries another request",
      test_exchange_proceeds },
    { "a response before the end of the body is lost, or cuts the body",
      test_exchange_answered_early },
    { "a target gets a request whose body is never sent",
      test_exchange_holds_request },
    { "an upload whose connection is lost passes for answered",
      test_exchange_lost },
  };
  return testing_run ("http_upload", cases, sizeof cases / sizeof cases[0]);
}
