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

/// Runs the loop for a time.
static void
run_ms (uint64_t ms)
{
  struct event stop;
  evtimer_assign (&stop, base, on_stop, NULL);
  timer_start (&stop, ms);
  event_base_dispatch (base);
  event_del (&stop);
}

/* A raw peer, which sends and receives bytes as the test states them. */

struct raw
{
  struct bufferevent *bev;
  char received[65536];
  size_t size;
  bool closed;
};

static void
raw_read (struct bufferevent *bev, void *arg)
{
  struct raw *raw = arg;
  raw->size += bufferevent_read (bev, raw->received + raw->size,
                                 sizeof raw->received - raw->size - 1);
  raw->received[raw->size] = '\0';
}

/// Counts what is received without keeping it.
static void
raw_count (struct bufferevent *bev, void *arg)
{
  struct raw *raw = arg;
  struct evbuffer *input = bufferevent_get_input (bev);
  raw->size += evbuffer_get_length (input);
  evbuffer_drain (input, evbuffer_get_length (input));
}

static void
raw_event (struct bufferevent *bev, short what, void *arg)
{
  struct raw *raw = arg;
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
    raw->closed = true;
}

static void
raw_connect (struct raw *raw, uint16_t port)
{
  struct sockaddr_in to = { .sin_family = AF_INET, .sin_port = htons (port) };
  to.sin_addr.s_addr = htonl (LOOPBACK);
  memset (raw, 0, sizeof *raw);
  raw->bev = bufferevent_socket_new (base, -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (raw->bev, raw_read, NULL, raw_event, raw);
  bufferevent_enable (raw->bev, EV_READ | EV_WRITE);
  bufferevent_socket_connect (raw->bev, (struct sockaddr *)&to, sizeof to);
}

static void
raw_send (struct raw *raw, const char *text)
{
  bufferevent_write (raw->bev, text, strlen (text));
}

/* A server whose answers are given by the test. */

#define HELD_MAX 8

static struct http_server server;
static struct http_request *held[HELD_MAX];
static size_t held_count;
static size_t gone_count;

static void
server_request (void *arg, struct http_request *request)
{
  held[held_count++] = request;
}

static void
server_gone (void *arg, struct http_request *request)
{
  gone_count++;
}

static const struct http_server_ops server_ops
    = { .request = server_request, .gone = server_gone };

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
  held_count = gone_count = 0;
  http_server_start (&server, base, LOOPBACK, 0, &limits, &server_ops, NULL);
  return port_of (server.listener);
}

static void
server_tear_down (struct raw *raw)
{
  bufferevent_free (raw->bev);
  http_server_stop (&server);
  event_base_free (base);
}

static void
test_pipelined_answers_in_order (void)
{
  struct raw raw;
  raw_connect (&raw, server_set_up ());
  raw_send (&raw, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
                  "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n"
                  "POST /3 HTTP/1.1\r\nHost: h\r\nContent-Length: "
                  "2\r\n\r\nab");
  run_ms (50);
  CU_ASSERT_EQUAL_FATAL (held_count, 3);
  CU_ASSERT_STRING_EQUAL (held[1]->head->target, "/2");
  CU_ASSERT_EQUAL (evbuffer_get_length (held[2]->body), 2);
  http_reply (held[2], 200, NULL, "three", 5);
  http_reply (held[1], 200, NULL, "two", 3);
  run_ms (30);
  CU_ASSERT_EQUAL (raw.size, 0);
  http_reply (held[0], 200, NULL, "one", 3);
  run_ms (30);
  const char *one = strstr (raw.received, "one");
  const char *two = strstr (raw.received, "two");
  const char *three = strstr (raw.received, "three");
  CU_ASSERT (one != NULL && two != NULL && three != NULL && one < two
             && two < three);
  CU_ASSERT (!raw.closed);
  server_tear_down (&raw);
}

static void
test_caller_that_leaves (void)
{
  struct raw raw;
  raw_connect (&raw, server_set_up ());
  raw_send (&raw, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
                  "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  run_ms (50);
  CU_ASSERT_EQUAL (held_count, 2);
  bufferevent_free (raw.bev);
  run_ms (50);
  CU_ASSERT_EQUAL (gone_count, 2);
  raw_connect (&raw, port_of (server.listener));
  server_tear_down (&raw);
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
    /* both framings: the end could be seen elsewhere by the next hop */
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
      struct raw raw;
      raw_connect (&raw, server_set_up ());
      raw_send (&raw, rows[i].bytes);
      run_ms (800);
      CU_ASSERT_EQUAL (
          strncmp (raw.received, rows[i].status, strlen (rows[i].status)), 0);
      CU_ASSERT_EQUAL (held_count, 0);
      CU_ASSERT (raw.closed);
      server_tear_down (&raw);
    }
  struct raw raw;
  char large[3000];
  memset (large, 'a', sizeof large);
  memcpy (large, "GET / HTTP/1.1\r\nX: ", 19);
  large[sizeof large - 1] = '\0';
  raw_connect (&raw, server_set_up ());
  raw_send (&raw, large);
  run_ms (100);
  CU_ASSERT_EQUAL (strncmp (raw.received, "HTTP/1.1 431", 12), 0);
  server_tear_down (&raw);
}

/// A stopping server answers what it has read and then closes.
static void
test_stopping_server_loses_nothing (void)
{
  struct raw raw;
  raw_connect (&raw, server_set_up ());
  raw_send (&raw, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
                  "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  run_ms (50);
  http_server_drain (&server);
  http_reply (held[0], 200, NULL, "one", 3);
  run_ms (20);
  CU_ASSERT (strstr (raw.received, "Connection: close") == NULL);
  http_reply (held[1], 200, NULL, "two", 3);
  run_ms (50);
  CU_ASSERT (strstr (raw.received, "two") != NULL);
  CU_ASSERT (strstr (raw.received, "Connection: close") != NULL);
  CU_ASSERT (raw.closed);
  server_tear_down (&raw);
}

static void
test_cut_answer_does_not_look_whole (void)
{
  struct raw raw;
  struct evbuffer *fields = evbuffer_new ();
  raw_connect (&raw, server_set_up ());
  raw_send (&raw, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  run_ms (50);
  http_reply_start (held[0], 200, fields, -1);
  http_reply_piece (held[0], "part", 4);
  run_ms (20);
  http_reply_abort (held[0]);
  run_ms (50);
  CU_ASSERT (raw.closed);
  CU_ASSERT (strstr (raw.received, "part") != NULL);
  CU_ASSERT (strstr (raw.received, "0\r\n\r\n") == NULL);
  evbuffer_free (fields);
  server_tear_down (&raw);
}

/* A target that answers each request with the next bytes of a script. */

struct script
{
  const char *answers[4];
  bool close_after[4]; ///< ends the connection in order
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
  if (next >= 4 || script.answers[next] == NULL)
    return;
  size_t size = strlen (script.answers[next]);
  CU_ASSERT_EQUAL (
      send (bufferevent_getfd (bev), script.answers[next], size, 0),
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
pool_set_up (const struct script *answers)
{
  const struct http_pool_options options
      = { .idle_ms = 5000, .connect_ms = 300, .id_header = "X-Id" };
  struct sockaddr_in at = { .sin_family = AF_INET };
  at.sin_addr.s_addr = htonl (LOOPBACK);
  base = event_base_new ();
  script = *answers;
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
test_ends_of_answers (void)
{
  static const struct
  {
    struct script script;
    enum http_end end;
    const char *body;
  } rows[] = {
    { { .answers = { "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc" } },
      HTTP_END_COMPLETE,
      "abc" },
    /* no length: the end of the connection is the end of the answer */
    { { .answers = { "HTTP/1.1 200 OK\r\n\r\nabc" }, .close_after = { true } },
      HTTP_END_COMPLETE,
      "abc" },
    { { .answers = { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc" },
        .close_after = { true } },
      HTTP_END_LOST,
      "abc" },
    { { .answers = { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                     "3\r\nabc\r\n" },
        .close_after = { true } },
      HTTP_END_LOST,
      "abc" },
    { { .answers = { "" }, .close_after = { true } }, HTTP_END_LOST, "" },
    { { .answers = { "what is this\r\n\r\n" } }, HTTP_END_MALFORMED, "" },
    /* another request's answer, late, before the right one */
    { { .answers = { "HTTP/1.1 200 OK\r\nX-Id: old\r\nContent-Length: "
                     "3\r\n\r\nxxxHTTP/1.1 200 OK\r\nX-Id: "
                     "new\r\nContent-Length: 3\r\n\r\nabc" } },
      HTTP_END_COMPLETE,
      "abc" },
    { { .answers = { "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
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

/// A connection with bytes behind an answer must not carry another request:
/// they would be taken for its answer.
static void
test_bytes_behind_an_answer (void)
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
      struct script answers
          = { .answers = { rows[i].first, "HTTP/1.1 200 OK\r\n"
                                          "Content-Length: 3\r\n\r\ndef" } };
      uint16_t port = pool_set_up (&answers);
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

/// The answer is finished while its reader takes nothing yet.
static void
test_stopping_server_sends_what_is_finished (void)
{
  static char body[8 * 1024 * 1024];
  struct raw raw;
  raw_connect (&raw, server_set_up ());
  raw_send (&raw, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  run_ms (50);
  bufferevent_disable (raw.bev, EV_READ);
  CU_ASSERT_EQUAL_FATAL (held_count, 1);
  http_server_drain (&server);
  memset (body, 'x', sizeof body);
  http_reply (held[0], 200, NULL, body, sizeof body);
  run_ms (50);
  CU_ASSERT_EQUAL (server.in_progress, 0);
  CU_ASSERT (http_server_unsent (&server) > 0);
  http_server_close_idle (&server);
  CU_ASSERT_EQUAL (server.connections, 1);
  /* Drops what it reads: only the end matters. */
  bufferevent_setcb (raw.bev, raw_count, NULL, raw_event, &raw);
  bufferevent_enable (raw.bev, EV_READ);
  run_ms (500);
  CU_ASSERT (raw.size > sizeof body);
  CU_ASSERT_EQUAL (http_server_unsent (&server), 0);
  server_tear_down (&raw);
}

int
main (void)
{
  static const struct test_case cases[] = {
    { "answers of a connection come in another order than its requests",
      test_pipelined_answers_in_order },
    { "work goes on for a caller that has left", test_caller_that_leaves },
    { "a malformed, ambiguous, large or slow request is handled",
      test_refused_requests },
    { "a stopping server drops requests that it has read",
      test_stopping_server_loses_nothing },
    { "a stopping server cuts an answer that waits for its reader",
      test_stopping_server_sends_what_is_finished },
    { "a cut answer looks whole to the caller",
      test_cut_answer_does_not_look_whole },
    { "an answer that is cut or another's is taken for whole",
      test_ends_of_answers },
    { "stray bytes are taken for the next answer",
      test_bytes_behind_an_answer },
    { "a request that was not sent counts as sent",
      test_refused_connection_is_not_sent },
  };
  return testing_run ("http", cases, sizeof cases / sizeof cases[0]);
}
