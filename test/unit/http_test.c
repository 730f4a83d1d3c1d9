#include "http_peers.h"

#include <linux/filter.h>

static void
test_pipelined_answers_in_order (void)
{
  struct raw_client raw_client;
  client_connect (&raw_client, server_set_up ());
  client_send (&raw_client, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
                            "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n"
                            "POST /3 HTTP/1.1\r\nHost: h\r\nContent-Length: "
                            "2\r\n\r\nab");
  run_ms (50);
  CU_ASSERT_EQUAL_FATAL (request_count, 3);
  CU_ASSERT_STRING_EQUAL (requests[1]->head->target, "/2");
  CU_ASSERT_EQUAL (evbuffer_get_length (requests[2]->body), 2);
  http_reply (requests[2], 200, NULL, "three", 5);
  http_reply (requests[1], 200, NULL, "two", 3);
  run_ms (30);
  CU_ASSERT_EQUAL (raw_client.size, 0);
  http_reply (requests[0], 200, NULL, "one", 3);
  run_ms (30);
  const char *one = strstr (raw_client.received, "one");
  const char *two = strstr (raw_client.received, "two");
  const char *three = strstr (raw_client.received, "three");
  CU_ASSERT (one != NULL && two != NULL && three != NULL && one < two
             && two < three);
  CU_ASSERT (!raw_client.closed);
  server_tear_down (&raw_client);
}

static void
test_caller_disconnects (void)
{
  struct raw_client raw_client;
  client_connect (&raw_client, server_set_up ());
  client_send (&raw_client, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
                            "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  run_ms (50);
  CU_ASSERT_EQUAL (request_count, 2);
  bufferevent_free (raw_client.bev);
  run_ms (50);
  CU_ASSERT_EQUAL (disconnect_count, 2);
  client_connect (&raw_client, port_of (server.listener));
  server_tear_down (&raw_client);
}

static void
test_refused_requests (void)
{
  static const struct
  {
    const char *bytes;
    const char *status;
  } rows[] = {
    { "nonsense\r\n\r\n", "HTTP/1.1 400" },
    { "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n",
      "HTTP/1.1 413" },
    /* two framings: the next hop could see another end of the request */
    { "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      "HTTP/1.1 400" },
    { "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
      "Content-Length: 4\r\n\r\nabcd",
      "HTTP/1.1 400" },
    { "GET / HTTP/1.1\r\nHost: h\r\nSlow", "HTTP/1.1 408" },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct raw_client raw_client;
      client_connect (&raw_client, server_set_up ());
      client_send (&raw_client, rows[i].bytes);
      run_ms (800);
      CU_ASSERT_EQUAL (strncmp (raw_client.received, rows[i].status,
                                strlen (rows[i].status)),
                       0);
      CU_ASSERT_EQUAL (request_count, 0);
      CU_ASSERT (raw_client.closed);
      server_tear_down (&raw_client);
    }
  struct raw_client raw_client;
  char large[3000];
  memset (large, 'a', sizeof large);
  memcpy (large, "GET / HTTP/1.1\r\nX: ", 19);
  large[sizeof large - 1] = '\0';
  client_connect (&raw_client, server_set_up ());
  client_send (&raw_client, large);
  run_ms (100);
  CU_ASSERT_EQUAL (strncmp (raw_client.received, "HTTP/1.1 431", 12), 0);
  server_tear_down (&raw_client);
}

/// The caller keeps sending single bytes, so that its connection is never
/// idle.
static void
test_slow_body_behind_a_request (void)
{
  static const char *const heads[]
      = { "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99\r\n\r\n",
          "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
          "63\r\n",
          "GET / HTTP/1.1\r\nHost: h\r\nSlow: " };
  for (size_t i = 0; i < sizeof heads / sizeof heads[0]; i++)
    {
      struct raw_client raw_client;
      client_connect (&raw_client, server_set_up ());
      client_send (&raw_client, "GET /first HTTP/1.1\r\nHost: h\r\n\r\n");
      client_send (&raw_client, heads[i]);
      for (unsigned k = 0; k < 25; k++)
        {
          client_send (&raw_client, "b");
          run_ms (50);
        }
      CU_ASSERT_EQUAL (request_count, 1);
      CU_ASSERT_EQUAL (raw_client.size, 0);
      http_reply (requests[0], 200, NULL, "x", 1);
      run_ms (50);
      const char *second = strstr (raw_client.received, "x");
      CU_ASSERT_EQUAL (strncmp (raw_client.received, "HTTP/1.1 200", 12), 0);
      CU_ASSERT (second != NULL && strstr (second, "HTTP/1.1 408") != NULL);
      server_tear_down (&raw_client);
    }
}

/// Requests in progress are answered; what was received of others is rejected
/// as not run.
static void
test_exhausted_budget (void)
{
  struct memory_budget budget;
  struct raw_client clients[3];
  memory_budget_init (&budget, 8, 1000, http_server_shed);
  uint16_t port = server_set_up ();
  http_server_use_budget (&server, &budget, MEMORY_BUDGET_CALLERS);
  server.not_run_fields = "Not-Run: yes\r\n";
  for (size_t i = 0; i < 3; i++)
    client_connect (&clients[i], port);
  client_send (&clients[0], "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
                            "GET / HTTP/1.1\r\nHost: h\r\nA: ");
  client_send (&clients[1], "POST / HTTP/1.1\r\nHost: h\r\n"
                            "Content-Length: 3\r\n\r\nab");
  run_ms (50);
  CU_ASSERT_EQUAL (request_count, 1);
  budget.limit = budget.reserve = 0;
  client_send (&clients[2], "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  run_ms (50);
  CU_ASSERT_EQUAL (request_count, 1);
  for (size_t i = 1; i < 3; i++)
    {
      CU_ASSERT_EQUAL (strncmp (clients[i].received, "HTTP/1.1 503", 12), 0);
      CU_ASSERT (strstr (clients[i].received, "Not-Run: yes\r\n") != NULL);
    }
  CU_ASSERT_EQUAL (clients[0].size, 0);
  http_reply (requests[0], 200, NULL, "x", 1);
  run_ms (50);
  CU_ASSERT_EQUAL (strncmp (clients[0].received, "HTTP/1.1 200", 12), 0);
  CU_ASSERT (strstr (clients[0].received, "x") != NULL
             && strstr (clients[0].received, "HTTP/1.1 503") != NULL);
  for (size_t i = 0; i < 3; i++)
    bufferevent_free (clients[i].bev);
  run_ms (50);
  CU_ASSERT_EQUAL (budget.used, 0);
  CU_ASSERT_EQUAL (budget.descriptors, 0);
  http_server_stop (&server);
  event_base_free (base);
}

/// A draining server responds to the requests it has read, then closes.
static void
test_draining_server_responds_to_all (void)
{
  struct raw_client raw_client;
  client_connect (&raw_client, server_set_up ());
  client_send (&raw_client, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
                            "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  run_ms (50);
  http_server_drain (&server);
  http_reply (requests[0], 200, NULL, "one", 3);
  run_ms (20);
  CU_ASSERT (strstr (raw_client.received, "Connection: close") == NULL);
  http_reply (requests[1], 200, NULL, "two", 3);
  run_ms (50);
  CU_ASSERT (strstr (raw_client.received, "two") != NULL);
  CU_ASSERT (strstr (raw_client.received, "Connection: close") != NULL);
  CU_ASSERT (raw_client.closed);
  server_tear_down (&raw_client);
}

/// Counts the occurrences of a text in what a client received.
static size_t
count_received (const struct raw_client *raw_client, const char *text)
{
  size_t count = 0;
  const char *at = raw_client->received;
  for (; (at = strstr (at, text)) != NULL; at += strlen (text))
    count++;
  return count;
}

/// A draining server holds a finished response back, because an earlier one is
/// not finished. Requests that arrive meanwhile are answered, too.
static void
test_draining_server_responds_behind_a_held_response (void)
{
  struct raw_client raw_client;
  client_connect (&raw_client, server_set_up ());
  client_send (&raw_client, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
                            "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  run_ms (50);
  http_server_drain (&server);
  http_reply (requests[1], 200, NULL, "two", 3);
  client_send (&raw_client, "GET /3 HTTP/1.1\r\nHost: h\r\n\r\n");
  run_ms (50);
  CU_ASSERT_EQUAL_FATAL (request_count, 3);
  http_reply (requests[0], 200, NULL, "one", 3);
  run_ms (50);
  CU_ASSERT_EQUAL (disconnect_count, 0);
  CU_ASSERT_EQUAL (count_received (&raw_client, "HTTP/1.1 200"), 2);
  CU_ASSERT_EQUAL (count_received (&raw_client, "Connection: close"), 0);
  if (disconnect_count == 0)
    http_reply (requests[2], 200, NULL, "three", 5);
  run_ms (50);
  CU_ASSERT_EQUAL (count_received (&raw_client, "three"), 1);
  CU_ASSERT_EQUAL (count_received (&raw_client, "Connection: close"), 1);
  CU_ASSERT (raw_client.closed);
  server_tear_down (&raw_client);
}

/// The head of a response says that it closes the connection, and its body is
/// still being sent. Requests that arrive meanwhile must not be started: their
/// caller sends them again.
static void
test_no_request_starts_behind_a_closing_response (void)
{
  static const char *const first_parts[] = { "", "GET /2 HTTP/1.1\r\nHo",
                                             "POST /2 HTTP/1.1\r\nHost: h\r\n"
                                             "Content-Length: 4\r\n\r\nab" };
  static const char *const last_parts[]
      = { "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n", "st: h\r\n\r\n", "cd" };
  for (size_t i = 0; i < 3; i++)
    for (int by_caller = 0; by_caller < 2; by_caller++)
      {
        struct raw_client raw_client;
        struct evbuffer *fields = evbuffer_new ();
        client_connect (&raw_client, server_set_up ());
        client_send (&raw_client, by_caller
                                      ? "GET /1 HTTP/1.1\r\nHost: h\r\n"
                                        "Connection: close\r\n\r\n"
                                      : "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
        client_send (&raw_client, first_parts[i]);
        run_ms (50);
        if (!by_caller)
          http_server_drain (&server);
        http_reply_start (requests[0], 200, fields, 8);
        http_reply_write (requests[0], "half", 4);
        client_send (&raw_client, last_parts[i]);
        run_ms (50);
        CU_ASSERT_EQUAL (request_count, 1);
        http_reply_write (requests[0], "rest", 4);
        http_reply_finish (requests[0]);
        run_ms (50);
        CU_ASSERT_EQUAL (request_count, 1);
        CU_ASSERT_EQUAL (disconnect_count, 0);
        CU_ASSERT_EQUAL (count_received (&raw_client, "halfrest"), 1);
        CU_ASSERT_EQUAL (count_received (&raw_client, "HTTP/1.1"), 1);
        CU_ASSERT_EQUAL (count_received (&raw_client, "Connection: close"), 1);
        CU_ASSERT (raw_client.closed);
        evbuffer_free (fields);
        server_tear_down (&raw_client);
      }
}

/// A stopping server has closed its side after the last response. Closing the
/// socket before the caller has closed its own would reset the connection when
/// more requests are on their way, and the caller could lose the responses.
static void
test_stopping_server_waits_for_callers_to_close (void)
{
  for (int caller_closes = 0; caller_closes < 2; caller_closes++)
    {
      struct raw_client raw_client;
      client_connect (&raw_client, server_set_up ());
      client_send (&raw_client, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
                                "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
      run_ms (50);
      http_server_drain (&server);
      http_reply (requests[0], 200, NULL, "one", 3);
      http_reply (requests[1], 200, NULL, "two", 3);
      run_ms (20);
      CU_ASSERT (raw_client.closed);
      http_server_close_idle (&server);
      CU_ASSERT_EQUAL (server.connections, 1);
      CU_ASSERT (http_server_has_work (&server));
      client_send (&raw_client, "GET /3 HTTP/1.1\r\nHost: h\r\n\r\n");
      run_ms (20);
      CU_ASSERT_EQUAL (server.connections, 1);
      if (caller_closes)
        shutdown (bufferevent_getfd (raw_client.bev), SHUT_WR);
      run_ms (caller_closes ? 50 : 1600);
      CU_ASSERT_EQUAL (server.connections, 0);
      CU_ASSERT (!http_server_has_work (&server));
      CU_ASSERT_EQUAL (request_count, 2);
      server_tear_down (&raw_client);
    }
}

/// The kernel has taken a finished response, and its reader takes longer than
/// a connection lingers. Input that is not read would make a close a reset.
static void
test_unacknowledged_bytes_are_work (void)
{
  static char body[1000000];
  struct raw_client raw_client;
  client_connect (&raw_client, server_set_up ());
  client_send (&raw_client, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  run_ms (50);
  bufferevent_setcb (raw_client.bev, client_count, NULL, client_event,
                     &raw_client);
  bufferevent_disable (raw_client.bev, EV_READ);
  http_server_drain (&server);
  http_reply (requests[0], 200, NULL, body, sizeof body);
  run_ms (50);
  CU_ASSERT_EQUAL (http_server_unsent (&server), 0);
  run_ms (1250);
  http_server_close_idle (&server);
  CU_ASSERT (http_server_has_work (&server));
  CU_ASSERT_EQUAL (server.connections, 1);
  client_send (&raw_client, "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  run_ms (20);
  bufferevent_enable (raw_client.bev, EV_READ);
  run_ms (300);
  CU_ASSERT (raw_client.size > sizeof body);
  CU_ASSERT (raw_client.closed);
  server_tear_down (&raw_client);
}

/// A response that is held back and breaks off: it is taken back, and the
/// other requests of the connection keep theirs.
static void
test_taken_back_response (void)
{
  struct raw_client raw_client;
  struct evbuffer *fields = evbuffer_new ();
  client_connect (&raw_client, server_set_up ());
  client_send (&raw_client, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
                            "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n"
                            "GET /3 HTTP/1.1\r\nHost: h\r\n\r\n");
  run_ms (50);
  CU_ASSERT_EQUAL_FATAL (request_count, 3);
  CU_ASSERT (http_reply_retract (requests[1]));
  http_reply_start (requests[1], 200, fields, -1);
  http_reply_write (requests[1], "part", 4);
  CU_ASSERT (http_reply_retract (requests[1]));
  http_reply (requests[1], 502, NULL, "two", 3);
  http_reply (requests[2], 200, NULL, "three", 5);
  CU_ASSERT_FALSE (http_reply_retract (requests[2])); /* complete */
  http_reply_start (requests[0], 200, fields, 9);
  CU_ASSERT (http_reply_retract (requests[0])); /* requests are behind it */
  http_reply_start (requests[0], 200, fields, 3);
  http_reply_write (requests[0], "one", 3);
  http_reply_finish (requests[0]);
  run_ms (50);
  CU_ASSERT_EQUAL (disconnect_count, 0);
  CU_ASSERT_EQUAL (count_received (&raw_client, "part"), 0);
  CU_ASSERT_EQUAL (count_received (&raw_client, "HTTP/1.1 "), 3);
  CU_ASSERT_EQUAL (count_received (&raw_client, "HTTP/1.1 502"), 1);
  CU_ASSERT_EQUAL (count_received (&raw_client, "three"), 1);
  CU_ASSERT (!raw_client.closed);
  evbuffer_free (fields);
  server_tear_down (&raw_client);
}

/// A response that is the first on its connection, with requests behind it
/// that the handler has: whatever its size and framing, nothing of it is sent
/// before it is complete, so that it can be taken back when it breaks off.
static void
test_response_with_requests_behind_breaks_off (void)
{
  static char part[40 * 1024];
  static const struct
  {
    int64_t length;
    size_t parts;
    bool breaks_off;
  } rows[] = {
    { -1, 1, true },           { -1, 50, true },      { 4000000, 1, true },
    { 4000000, 0, true },      { 4000000, 50, true }, { -1, 1, false },
    { sizeof part, 1, false },
  };
  memset (part, 'a', sizeof part);
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct raw_client raw_client;
      struct evbuffer *fields = evbuffer_new ();
      client_connect (&raw_client, server_set_up ());
      client_send (&raw_client, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
                                "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
      run_ms (50);
      CU_ASSERT_EQUAL_FATAL (request_count, 2);
      http_reply_start (requests[0], 200, fields, rows[i].length);
      for (size_t k = 0; k < rows[i].parts; k++)
        http_reply_write (requests[0], part, sizeof part);
      run_ms (20);
      CU_ASSERT_EQUAL (raw_client.size, 0);
      CU_ASSERT (http_request_is_held (requests[0]));
      CU_ASSERT (http_server_held (&server) >= rows[i].parts * sizeof part);
      if (!rows[i].breaks_off)
        http_reply_finish (requests[0]);
      else if (http_reply_retract (requests[0]))
        http_reply (requests[0], 502, NULL, "", 0);
      else
        http_reply_abort (requests[0]);
      CU_ASSERT_EQUAL (http_server_held (&server), 0);
      if (disconnect_count == 0)
        http_reply (requests[1], 200, NULL, "two", 3);
      run_ms (50);
      CU_ASSERT_EQUAL (disconnect_count, 0);
      CU_ASSERT_EQUAL (count_received (&raw_client, rows[i].breaks_off
                                                        ? "HTTP/1.1 502"
                                                        : "HTTP/1.1 200"),
                       rows[i].breaks_off ? 1 : 2);
      CU_ASSERT_EQUAL (count_received (&raw_client, "two"), 1);
      CU_ASSERT (!raw_client.closed);
      evbuffer_free (fields);
      server_tear_down (&raw_client);
    }
}

/// While a part of a response is sent, or the handler asks for it, no later
/// request of the connection is handed over; when the response breaks off, the
/// handler has none that would be lost.
static void
test_requests_wait_behind_a_response_sent_in_part (void)
{
  static const struct
  {
    bool sent_in_part;
    bool blocks_next;
    bool breaks_off;
  } rows[] = { { true, false, true },
               { true, false, false },
               { true, true, true },
               { false, true, false } };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct raw_client raw_client;
      struct evbuffer *fields = evbuffer_new ();
      client_connect (&raw_client, server_set_up ());
      client_send (&raw_client, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
      run_ms (50);
      CU_ASSERT_EQUAL_FATAL (request_count, 1);
      if (rows[i].blocks_next)
        http_request_block_next (requests[0]);
      if (rows[i].sent_in_part)
        {
          http_reply_start (requests[0], 200, fields, -1);
          http_reply_write (requests[0], "part", 4);
        }
      client_send (&raw_client, "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n"
                                "GET /3 HTTP/1.1\r\nHost: h\r\n\r\n");
      run_ms (50);
      CU_ASSERT_EQUAL (request_count, 1);
      CU_ASSERT_EQUAL (count_received (&raw_client, "part"),
                       rows[i].sent_in_part);
      if (rows[i].breaks_off)
        http_reply_abort (requests[0]);
      else if (rows[i].sent_in_part)
        http_reply_finish (requests[0]);
      else
        http_reply (requests[0], 200, NULL, "one", 3);
      run_ms (50);
      CU_ASSERT_EQUAL (disconnect_count, 0);
      CU_ASSERT_EQUAL (raw_client.closed, rows[i].breaks_off);
      CU_ASSERT_EQUAL (request_count, rows[i].breaks_off ? 1 : 3);
      if (request_count == 3)
        {
          http_reply (requests[2], 200, NULL, "three", 5);
          http_reply (requests[1], 200, NULL, "two", 3);
          run_ms (50);
          CU_ASSERT_EQUAL (count_received (&raw_client, "HTTP/1.1 200"), 3);
        }
      evbuffer_free (fields);
      server_tear_down (&raw_client);
    }
}

/// A request that blocks later ones, and is not the first, ends before those
/// that precede it.
static void
test_blocking_request_ends_before_the_first (void)
{
  struct raw_client raw_client;
  client_connect (&raw_client, server_set_up ());
  client_send (&raw_client, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
                            "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  run_ms (50);
  CU_ASSERT_EQUAL_FATAL (request_count, 2);
  http_request_block_next (requests[1]);
  client_send (&raw_client, "GET /3 HTTP/1.1\r\nHost: h\r\n\r\n");
  run_ms (50);
  CU_ASSERT_EQUAL (request_count, 2);
  http_reply (requests[1], 200, NULL, "two", 3);
  run_ms (20);
  CU_ASSERT_EQUAL (request_count, 3);
  CU_ASSERT_EQUAL (raw_client.size, 0);
  http_reply (requests[2], 200, NULL, "three", 5);
  http_reply (requests[0], 200, NULL, "one", 3);
  run_ms (50);
  CU_ASSERT_EQUAL (count_received (&raw_client, "HTTP/1.1 200"), 3);
  server_tear_down (&raw_client);
}

static void
test_truncated_response_is_detectable (void)
{
  struct raw_client raw_client;
  struct evbuffer *fields = evbuffer_new ();
  client_connect (&raw_client, server_set_up ());
  client_send (&raw_client, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  run_ms (50);
  http_reply_start (requests[0], 200, fields, -1);
  http_reply_write (requests[0], "part", 4);
  run_ms (20);
  http_reply_abort (requests[0]);
  run_ms (50);
  CU_ASSERT (raw_client.closed);
  CU_ASSERT (strstr (raw_client.received, "part") != NULL);
  CU_ASSERT (strstr (raw_client.received, "0\r\n\r\n") == NULL);
  evbuffer_free (fields);
  server_tear_down (&raw_client);
}

/// A finished response and a part of the next one are not sent yet when the
/// latter is aborted. Only the aborted one is lost, and does not look
/// complete.
static void
test_abort_keeps_earlier_responses (void)
{
  static const int64_t lengths[] = { -1, 100 };
  for (size_t i = 0; i < sizeof lengths / sizeof lengths[0]; i++)
    {
      struct raw_client raw_client;
      struct evbuffer *fields = evbuffer_new ();
      client_connect (&raw_client, server_set_up ());
      client_send (&raw_client, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
                                "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n"
                                "GET /3 HTTP/1.1\r\nHost: h\r\n\r\n");
      run_ms (50);
      CU_ASSERT_EQUAL_FATAL (request_count, 3);
      http_reply (requests[0], 200, NULL, "one", 3);
      http_reply (requests[1], 200, NULL, "two", 3);
      http_reply_start (requests[2], 200, fields, lengths[i]);
      http_reply_write (requests[2], "part", 4);
      CU_ASSERT (http_reply_is_begun (requests[2]));
      http_reply_abort (requests[2]);
      CU_ASSERT_EQUAL (server.in_progress, 0);
      run_ms (50);
      CU_ASSERT (strstr (raw_client.received, "one") != NULL);
      CU_ASSERT (strstr (raw_client.received, "two") != NULL);
      const char *part = strstr (raw_client.received, "part");
      CU_ASSERT (part == NULL || strlen (part) <= strlen ("part\r\n"));
      CU_ASSERT (raw_client.closed);
      CU_ASSERT_EQUAL (disconnect_count, 0);
      evbuffer_free (fields);
      server_tear_down (&raw_client);
    }
}

/// The process ends right after a response was written, or while its caller
/// still sends more than is read.
static void
test_stop_sends_what_the_kernel_takes (void)
{
  static char more[300 * 1024];
  memset (more, 'x', sizeof more - 1);
  for (int sends_more = 0; sends_more < 2; sends_more++)
    {
      struct raw_client raw_client;
      client_connect (&raw_client, server_set_up ());
      client_send (&raw_client, "GET /1 HTTP/1.1\r\nHost: h\r\n"
                                "Connection: close\r\n\r\n");
      run_ms (50);
      CU_ASSERT_EQUAL_FATAL (request_count, 1);
      if (sends_more)
        {
          client_send (&raw_client, more);
          run_ms (50);
        }
      http_reply (requests[0], 200, NULL, "one", 3);
      http_server_stop (&server);
      run_ms (50);
      CU_ASSERT (strstr (raw_client.received, "one") != NULL);
      CU_ASSERT (raw_client.closed);
      server_tear_down (&raw_client);
    }
}

/// The caller's kernel acknowledges the probes of its closed window.
static void
test_reader_that_stalls_is_not_lost (void)
{
  static char body[16 * 1024 * 1024];
  struct raw_client raw_client;
  client_connect (&raw_client, server_set_up ());
  client_send (&raw_client, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  run_ms (50);
  bufferevent_disable (raw_client.bev, EV_READ);
  CU_ASSERT_EQUAL_FATAL (request_count, 1);
  struct evbuffer *fields = evbuffer_new ();
  http_reply_start (requests[0], 200, fields, sizeof body);
  http_reply_write (requests[0], body, sizeof body);
  run_ms (4500);
  CU_ASSERT_EQUAL (disconnect_count, 0);
  CU_ASSERT_EQUAL_FATAL (server.in_progress, 1);
  http_reply_finish (requests[0]);
  bufferevent_setcb (raw_client.bev, client_count, NULL, client_event,
                     &raw_client);
  bufferevent_enable (raw_client.bev, EV_READ);
  run_ms (500);
  CU_ASSERT (raw_client.size > sizeof body);
  evbuffer_free (fields);
  server_tear_down (&raw_client);
}

/// Lets the kernel drop all that arrives for a socket, as if its machine had
/// vanished.
static void
drop_input (evutil_socket_t fd)
{
  struct sock_filter drop = { .code = BPF_RET | BPF_K, .k = 0 };
  struct sock_fprog program = { .len = 1, .filter = &drop };
  CU_ASSERT_EQUAL_FATAL (
      setsockopt (fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program),
      0);
}

/// With an open window nothing of the response is acknowledged, with a closed
/// one no probe of it.
static void
test_vanished_reader_is_noticed (void)
{
  static char body[16 * 1024 * 1024];
  for (int window_closed = 0; window_closed < 2; window_closed++)
    {
      struct raw_client raw_client;
      client_connect (&raw_client, server_set_up ());
      client_send (&raw_client, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
      run_ms (50);
      CU_ASSERT_EQUAL_FATAL (request_count, 1);
      bufferevent_disable (raw_client.bev, EV_READ);
      evutil_socket_t fd = bufferevent_getfd (raw_client.bev);
      if (!window_closed)
        drop_input (fd);
      struct evbuffer *fields = evbuffer_new ();
      http_reply_start (requests[0], 200, fields, sizeof body);
      http_reply_write (requests[0], body, sizeof body);
      run_ms (500);
      if (window_closed)
        drop_input (fd);
      run_ms (2000);
      CU_ASSERT_EQUAL (disconnect_count, 0);
      run_ms (window_closed ? 4000 : 1500);
      CU_ASSERT_EQUAL (disconnect_count, 1);
      CU_ASSERT_EQUAL (server.connections, 0);
      evbuffer_free (fields);
      server_tear_down (&raw_client);
    }
}

/// A target that does not read a large request for some seconds, and one that
/// has vanished.
static void
test_slow_target_is_not_lost (void)
{
  static char body[16 * 1024 * 1024];
  for (int vanishes = 0; vanishes < 2; vanishes++)
    {
      const struct script script_rows
          = { .responses = { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
                             "X-Id: a\r\n\r\n" } };
      uint16_t port = pool_set_up (&script_rows);
      struct evbuffer *bytes = evbuffer_new ();
      evbuffer_add_printf (bytes,
                           "POST / HTTP/1.1\r\nHost: h\r\n"
                           "Content-Length: %zu\r\n\r\n",
                           sizeof body);
      evbuffer_add (bytes, body, sizeof body);
      struct http_send send = { .address = LOOPBACK,
                                .port = port,
                                .request = bytes,
                                .id = "a",
                                .max_idle_ms = 4000 };
      struct result result = { .ended = false };
      evconnlistener_disable (target);
      struct http_exchange *pending
          = http_pool_send (&pool, &send, &result_ops, &result);
      evbuffer_free (bytes);
      run_ms (100);
      if (vanishes)
        {
          struct sockaddr_in at;
          socklen_t size = sizeof at;
          evutil_socket_t fd = accept (evconnlistener_get_fd (target),
                                       (struct sockaddr *)&at, &size);
          drop_input (fd);
          run_ms (6500);
          CU_ASSERT (result.ended && result.end == HTTP_END_LOST);
          close (fd);
        }
      else
        {
          run_ms (4500);
          CU_ASSERT (!result.ended);
          evconnlistener_enable (target);
          run_ms (500);
          CU_ASSERT (result.ended && result.end == HTTP_END_COMPLETE);
        }
      if (!result.ended)
        http_exchange_cancel (pending);
      pool_tear_down ();
    }
}

static void
test_ends_of_responses (void)
{
  static const struct
  {
    struct script script;
    enum http_end end;
    const char *body;
  } rows[] = {
    { { .responses = { "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc" } },
      HTTP_END_COMPLETE,
      "abc" },
    /* no length: the end of the connection is the end of the response */
    { { .responses = { "HTTP/1.1 200 OK\r\n\r\nabc" },
        .close_after = { true } },
      HTTP_END_COMPLETE,
      "abc" },
    { { .responses = { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc" },
        .close_after = { true } },
      HTTP_END_LOST,
      "abc" },
    { { .responses = { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "3\r\nabc\r\n" },
        .close_after = { true } },
      HTTP_END_LOST,
      "abc" },
    { { .responses = { "" }, .close_after = { true } }, HTTP_END_LOST, "" },
    { { .responses = { "what is this\r\n\r\n" } }, HTTP_END_MALFORMED, "" },
    /* late response to another request, before the expected one */
    { { .responses = { "HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: "
                       "3\r\n\r\nxxxHTTP/1.1 200 OK\r\nX-Id: "
                       "new\r\nContent-Length: 3\r\n\r\nabc" } },
      HTTP_END_COMPLETE,
      "abc" },
    { { .responses = { "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
                       "Content-Length: 3\r\n\r\nabc" } },
      HTTP_END_COMPLETE,
      "abc" },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      uint16_t port = pool_set_up (&rows[i].script);
      struct result result = exchange (port, "new");
      CU_ASSERT (result.ended);
      CU_ASSERT_EQUAL (result.end, rows[i].end);
      CU_ASSERT_EQUAL (result.size, strlen (rows[i].body));
      CU_ASSERT_EQUAL (memcmp (result.body, rows[i].body, result.size), 0);
      pool_tear_down ();
    }
}

/// A connection with unread bytes after a response must not be reused: the
/// bytes would be taken for the response to the next request.
static void
test_bytes_after_a_response (void)
{
  static const struct
  {
    const char *first;
    size_t connections;
  } rows[] = {
    { "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 3\r\n\r\nabc", 1 },
    { "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1 200 "
      "OK\r\n"
      "Content-Length: 3\r\n\r\nxxx",
      2 },
    { "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 3\r\nConnection: "
      "close\r\n\r\nabc",
      2 },
    { "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 3\r\nKeep-Alive: "
      "timeout=0\r\n\r\nabc",
      2 },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct script responses
          = { .responses = { rows[i].first, "HTTP/1.1 200 OK\r\nX-Id: b\r\n"
                                            "Content-Length: 3\r\n\r\ndef" } };
      uint16_t port = pool_set_up (&responses);
      CU_ASSERT_EQUAL (exchange (port, "a").end, HTTP_END_COMPLETE);
      struct result result = exchange (port, "b");
      CU_ASSERT_EQUAL (result.end, HTTP_END_COMPLETE);
      CU_ASSERT_EQUAL (memcmp (result.body, "def", 3), 0);
      CU_ASSERT_EQUAL (script.connections, rows[i].connections);
      pool_tear_down ();
    }
}

static void
test_refused_connection_is_not_sent (void)
{
  struct script none = { .connections = 0 };
  uint16_t port = pool_set_up (&none);
  evconnlistener_disable (target);
  evutil_socket_t fd = evconnlistener_get_fd (target);
  shutdown (fd, SHUT_RDWR);
  struct result result = exchange (port, NULL);
  CU_ASSERT (result.ended);
  CU_ASSERT_EQUAL (result.end, HTTP_END_NOT_CONNECTED);
  pool_tear_down ();
}

/// The response ends while the caller does not read; draining must not cut it
/// off.
static void
test_draining_server_sends_finished_response (void)
{
  static char body[8 * 1024 * 1024];
  struct raw_client raw_client;
  client_connect (&raw_client, server_set_up ());
  client_send (&raw_client, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  run_ms (50);
  bufferevent_disable (raw_client.bev, EV_READ);
  CU_ASSERT_EQUAL_FATAL (request_count, 1);
  http_server_drain (&server);
  memset (body, 'x', sizeof body);
  http_reply (requests[0], 200, NULL, body, sizeof body);
  run_ms (50);
  CU_ASSERT_EQUAL (server.in_progress, 0);
  CU_ASSERT (http_server_unsent (&server) > 0);
  http_server_close_idle (&server);
  CU_ASSERT_EQUAL (server.connections, 1);
  /* Counts without storing: the body exceeds the buffer. */
  bufferevent_setcb (raw_client.bev, client_count, NULL, client_event,
                     &raw_client);
  bufferevent_enable (raw_client.bev, EV_READ);
  run_ms (500);
  CU_ASSERT (raw_client.size > sizeof body);
  CU_ASSERT_EQUAL (http_server_unsent (&server), 0);
  server_tear_down (&raw_client);
}

int
main (void)
{
  static const struct test_case cases[] = {
    { "pipelined responses are sent in another order than the requests",
      test_pipelined_answers_in_order },
    { "a request stays in progress after its caller has disconnected",
      test_caller_disconnects },
    { "a malformed, ambiguous, too large or slow request is handled",
      test_refused_requests },
    { "single bytes hold a message behind a request in progress",
      test_slow_body_behind_a_request },
    { "an exhausted budget ends requests in progress or runs others",
      test_exhausted_budget },
    { "a draining server drops requests that it has read",
      test_draining_server_responds_to_all },
    { "a draining server drops requests behind a response that it holds back",
      test_draining_server_responds_behind_a_held_response },
    { "a request is started behind a response that closes the connection",
      test_no_request_starts_behind_a_closing_response },
    { "a draining server truncates a response that is not read yet",
      test_draining_server_sends_finished_response },
    { "a stopping server resets connections on which responses are read",
      test_stopping_server_waits_for_callers_to_close },
    { "a response is cut that the kernel has taken and its reader has not",
      test_unacknowledged_bytes_are_work },
    { "a large response that breaks off takes those behind it with it",
      test_response_with_requests_behind_breaks_off },
    { "requests behind a response sent in part are lost when it breaks off",
      test_requests_wait_behind_a_response_sent_in_part },
    { "requests behind a blocking one are never handed over",
      test_blocking_request_ends_before_the_first },
    { "a response that breaks off takes those of its connection with it",
      test_taken_back_response },
    { "a truncated response looks complete to the caller",
      test_truncated_response_is_detectable },
    { "an aborted response takes finished ones with it that are not sent yet",
      test_abort_keeps_earlier_responses },
    { "a response is dropped at the end of the process although the kernel "
      "would take it",
      test_stop_sends_what_the_kernel_takes },
    { "a caller that does not read for some seconds is taken for vanished",
      test_reader_that_stalls_is_not_lost },
    { "a caller that has vanished is not noticed",
      test_vanished_reader_is_noticed },
    { "a target that does not read for some seconds is taken for vanished, or "
      "a vanished one is not noticed",
      test_slow_target_is_not_lost },
    { "a truncated or mismatched response is taken for complete",
      test_ends_of_responses },
    { "unsolicited bytes are taken for the next response",
      test_bytes_after_a_response },
    { "a request that was not sent is reported as sent",
      test_refused_connection_is_not_sent },
  };
  return testing_run ("http", cases, sizeof cases / sizeof cases[0]);
}
