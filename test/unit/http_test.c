#include "testing.h"
#include "transport/http_pool.h"
#include "transport/http_server.h"
#include "transport/timer.h"

#include <arpa/inet.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LOOPBACK 0x7f000001u

static struct event_base *base;

static void
on_stop (evutil_socket_t fd, short what, void *arg)
{
  event_base_loopbreak (base);
}

/// Runs the event loop for a time.
static void
run_ms (uint64_t ms)
{
  struct event stop;
  evtimer_assign (&stop, base, on_stop, NULL);
  timer_start (&stop, ms);
  event_base_dispatch (base);
  event_del (&stop);
}

/* A TCP client that sends the bytes given by the test and records what it
   receives. */

struct raw_client
{
  struct bufferevent *bev;
  char received[65536];
  size_t size;
  bool closed;
};

static void
client_read (struct bufferevent *bev, void *arg)
{
  struct raw_client *raw_client = arg;
  raw_client->size
      += bufferevent_read (bev, raw_client->received + raw_client->size,
                           sizeof raw_client->received - raw_client->size - 1);
  raw_client->received[raw_client->size] = '\0';
}

/// Counts the received bytes without storing them.
static void
client_count (struct bufferevent *bev, void *arg)
{
  struct raw_client *raw_client = arg;
  struct evbuffer *input = bufferevent_get_input (bev);
  raw_client->size += evbuffer_get_length (input);
  evbuffer_drain (input, evbuffer_get_length (input));
}

static void
client_event (struct bufferevent *bev, short what, void *arg)
{
  struct raw_client *raw_client = arg;
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
    raw_client->closed = true;
}

static void
client_connect (struct raw_client *raw_client, uint16_t port)
{
  struct sockaddr_in to = { .sin_family = AF_INET, .sin_port = htons (port) };
  to.sin_addr.s_addr = htonl (LOOPBACK);
  memset (raw_client, 0, sizeof *raw_client);
  raw_client->bev = bufferevent_socket_new (base, -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (raw_client->bev, client_read, NULL, client_event,
                     raw_client);
  bufferevent_enable (raw_client->bev, EV_READ | EV_WRITE);
  bufferevent_socket_connect (raw_client->bev, (struct sockaddr *)&to,
                              sizeof to);
}

static void
client_send (struct raw_client *raw_client, const char *text)
{
  bufferevent_write (raw_client->bev, text, strlen (text));
}

/* The server under test; the test replies to the requests it records. */

#define REQUESTS_MAX 8

static struct http_server server;
static struct http_request *requests[REQUESTS_MAX];
static size_t request_count;
static size_t disconnect_count;

static void
server_request (void *arg, struct http_request *request)
{
  requests[request_count++] = request;
}

static void
server_disconnected (void *arg, struct http_request *request)
{
  disconnect_count++;
}

static const struct http_server_ops server_ops
    = { .request = server_request, .disconnected = server_disconnected };

static uint16_t
port_of (struct evconnlistener *listener)
{
  struct sockaddr_in at;
  socklen_t size = sizeof at;
  getsockname (evconnlistener_get_fd (listener), (struct sockaddr *)&at,
               &size);
  return ntohs (at.sin_port);
}

static uint16_t
server_set_up (void)
{
  const struct http_server_limits limits = {
    .head_bytes = 2000, .body_bytes = 100, .receive_ms = 300, .idle_ms = 600
  };
  base = event_base_new ();
  request_count = disconnect_count = 0;
  http_server_start (&server, base, LOOPBACK, 0, &limits, &server_ops, NULL);
  return port_of (server.listener);
}

static void
server_tear_down (struct raw_client *raw_client)
{
  bufferevent_free (raw_client->bev);
  http_server_stop (&server);
  event_base_free (base);
}

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

/* A target that sends the next scripted bytes for each request. */

struct script
{
  const char *responses[4];
  bool close_after[4]; ///< closes the connection after these bytes
  size_t next;
  size_t connections;
};

static struct script script;
static struct evconnlistener *target;

static void
target_read (struct bufferevent *bev, void *arg)
{
  struct evbuffer *input = bufferevent_get_input (bev);
  evbuffer_drain (input, evbuffer_get_length (input));
  size_t next = script.next++;
  if (next >= 4 || script.responses[next] == NULL)
    return;
  size_t size = strlen (script.responses[next]);
  CU_ASSERT_EQUAL (
      send (bufferevent_getfd (bev), script.responses[next], size, 0),
      (ssize_t)size);
  if (script.close_after[next])
    bufferevent_free (bev);
}

static void
target_event (struct bufferevent *bev, short what, void *arg)
{
  bufferevent_free (bev);
}

static void
target_accept (struct evconnlistener *listener, evutil_socket_t fd,
               struct sockaddr *from, int size, void *arg)
{
  struct bufferevent *bev
      = bufferevent_socket_new (base, fd, BEV_OPT_CLOSE_ON_FREE);
  script.connections++;
  bufferevent_setcb (bev, target_read, NULL, target_event, NULL);
  bufferevent_enable (bev, EV_READ | EV_WRITE);
}

struct result
{
  unsigned status;
  char body[256];
  size_t size;
  bool ended;
  enum http_end end;
};

static void
result_head (void *arg, struct http_head *head)
{
  ((struct result *)arg)->status = head->status;
}

static void
result_body (void *arg, const char *data, size_t size)
{
  struct result *result = arg;
  memcpy (result->body + result->size, data, size);
  result->size += size;
}

static void
result_end (void *arg, enum http_end end)
{
  struct result *result = arg;
  result->ended = true;
  result->end = end;
}

static const struct http_exchange_ops result_ops
    = { .head = result_head, .body = result_body, .end = result_end };

static struct http_pool pool;

static uint16_t
pool_set_up (const struct script *responses)
{
  const struct http_pool_options options
      = { .idle_ms = 5000, .connect_ms = 300, .id_header = "X-Id" };
  struct sockaddr_in at = { .sin_family = AF_INET };
  at.sin_addr.s_addr = htonl (LOOPBACK);
  base = event_base_new ();
  script = *responses;
  target = evconnlistener_new_bind (base, target_accept, NULL,
                                    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                    8, (struct sockaddr *)&at, sizeof at);
  http_pool_init (&pool, base, &options);
  return port_of (target);
}

static void
pool_tear_down (void)
{
  http_pool_finish (&pool);
  evconnlistener_free (target);
  run_ms (20);
  event_base_free (base);
}

static struct result
exchange (uint16_t port, const char *id)
{
  static struct result result;
  struct evbuffer *bytes = evbuffer_new ();
  evbuffer_add_printf (bytes, "GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  struct http_send send = { .address = LOOPBACK,
                            .port = port,
                            .request = bytes,
                            .id = id,
                            .max_idle_ms = 4000 };
  memset (&result, 0, sizeof result);
  http_pool_send (&pool, &send, &result_ops, &result);
  evbuffer_free (bytes);
  for (int i = 0; i < 20 && !result.ended; i++)
    run_ms (20);
  return result;
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
    { "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", 1 },
    { "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1 200 OK\r\n"
      "Content-Length: 3\r\n\r\nxxx",
      2 },
    { "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nConnection: close\r\n\r\nabc",
      2 },
    { "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nKeep-Alive: "
      "timeout=0\r\n\r\nabc",
      2 },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct script responses
          = { .responses = { rows[i].first, "HTTP/1.1 200 OK\r\n"
                                            "Content-Length: 3\r\n\r\ndef" } };
      uint16_t port = pool_set_up (&responses);
      CU_ASSERT_EQUAL (exchange (port, NULL).end, HTTP_END_COMPLETE);
      struct result result = exchange (port, NULL);
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
    { "a draining server drops requests that it has read",
      test_draining_server_responds_to_all },
    { "a draining server truncates a response that is not read yet",
      test_draining_server_sends_finished_response },
    { "a truncated response looks complete to the caller",
      test_truncated_response_is_detectable },
    { "a truncated or mismatched response is taken for complete",
      test_ends_of_responses },
    { "unsolicited bytes are taken for the next response",
      test_bytes_after_a_response },
    { "a request that was not sent is reported as sent",
      test_refused_connection_is_not_sent },
  };
  return testing_run ("http", cases, sizeof cases / sizeof cases[0]);
}
