/// Runs the clients that use evhttp against responses that are malformed, or
/// followed by bytes of no response.
#include "../standin/malformed_responses.h"
#include "ctl/ctl.h"
#include "http_peers.h"
#include "transport/call_client.h"
#include "transport/store_client.h"

#include <event2/keyvalq_struct.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/wait.h>

#define STORE_FIELDS "X-Revision: 42\r\n"
#define STORE_RESPONSE(BODY)                                                  \
  "HTTP/1.1 200 OK\r\n" STORE_FIELDS "Content-Length: 3\r\n\r\n" BODY

/* Responses to two requests in a row, from the scripted target. */

struct two_responses
{
  const char *name;
  const char *first;
  size_t first_size;
  bool first_is_proper;
};

static const char *const behind[]
    = { "\r\n", "abc", "HTTP/1.1 200", STORE_RESPONSE ("old") };

#define ROW_COUNT                                                             \
  (RESPONSE_COUNT (malformed_responses) + sizeof behind / sizeof behind[0])

/// Writes row i: a malformed response, or a proper one with bytes behind it.
static struct two_responses
get_row (size_t i, char *bytes)
{
  struct two_responses row = { .first = bytes };
  if (i < RESPONSE_COUNT (malformed_responses))
    {
      row.name = malformed_responses[i].name;
      row.first_size
          = test_response_write (&malformed_responses[i], STORE_FIELDS, bytes);
      return row;
    }
  row.name = "bytes behind a response";
  row.first_is_proper = true;
  strcpy (bytes, STORE_RESPONSE ("abc"));
  strcat (bytes, behind[i - RESPONSE_COUNT (malformed_responses)]);
  row.first_size = strlen (bytes);
  return row;
}

static uint16_t
start_target (const struct two_responses *row)
{
  struct script responses
      = { .responses = { row->first, STORE_RESPONSE ("new") },
          .sizes = { row->first_size } };
  return pool_set_up (&responses);
}

/* The store client. */

struct store_result
{
  int count;
  enum status status;
  char data[8];
};

static void
on_store_done (void *arg, const struct store_reply *reply)
{
  struct store_result *result = arg;
  result->count++;
  result->status = reply->status;
  if (reply->data != NULL && reply->size < sizeof result->data)
    memcpy (result->data, reply->data, reply->size);
}

static struct store_result
get (struct store_client *client)
{
  struct store_result result = { 0 };
  store_client_ops.get (client, "k", on_store_done, &result);
  for (int i = 0; i < 300 && result.count == 0; i++)
    run_ms (10);
  CU_ASSERT_EQUAL (result.count, 1);
  return result;
}

static void
test_store_client (void)
{
  for (size_t i = 0; i < ROW_COUNT; i++)
    {
      char bytes[MALFORMED_RESPONSE_MAX + 64];
      struct two_responses row = get_row (i, bytes);
      struct store_client client;
      uint16_t port = start_target (&row);
      store_client_init (&client, base, "127.0.0.1", port);
      struct store_result first = get (&client);
      struct store_result second = get (&client);
      enum status expected = row.first_is_proper ? STATUS_OK : STATUS_UNKNOWN;
      bool correct = first.status == expected && second.status == STATUS_OK
                     && strcmp (second.data, "new") == 0
                     && script.connections == 2;
      if (!correct)
        printf ("  %s: %d, then %d %s, %zu connections\n", row.name,
                (int)first.status, (int)second.status, second.data,
                script.connections);
      CU_ASSERT (correct);
      store_client_finish (&client);
      pool_tear_down ();
    }
}

/* The call client. */

struct call_result
{
  bool done;
  enum call_exchange_end end;
  char data[8];
  size_t size;
};

static void
on_call_headers (void *arg, struct call_exchange *exchange, int status,
                 const char *reason, struct evkeyvalq *headers)
{
}

static void
on_call_data (void *arg, struct call_exchange *exchange, struct evbuffer *data)
{
  struct call_result *result = arg;
  int size = evbuffer_remove (data, result->data + result->size,
                              sizeof result->data - result->size);
  result->size += size > 0 ? (size_t)size : 0;
}

static void
on_call_done (void *arg, struct call_exchange *exchange,
              enum call_exchange_end end)
{
  struct call_result *result = arg;
  result->done = true;
  result->end = end;
}

static struct call_result
call (struct call_client *client, uint16_t port)
{
  static const struct call_exchange_ops ops = { .headers = on_call_headers,
                                                .data = on_call_data,
                                                .done = on_call_done };
  struct call_result result = { 0 };
  struct evkeyvalq headers;
  TAILQ_INIT (&headers);
  const struct call_send request = { .address = LOOPBACK,
                                     .port = port,
                                     .method = EVHTTP_REQ_GET,
                                     .uri = "/",
                                     .headers = &headers,
                                     .headers_ms = 400,
                                     .max_idle_ms = 1000 };
  CU_ASSERT_PTR_NOT_NULL (call_client_send (client, &request, &ops, &result));
  for (int i = 0; i < 100 && !result.done; i++)
    run_ms (10);
  CU_ASSERT (result.done);
  return result;
}

static const struct call_client_options call_options
    = { .connect_ms = 300,
        .idle_ms = 5000,
        .stall_ms = 300,
        .connections_max = 4,
        .headers_max = 16384 };

static void
test_call_client (void)
{
  for (size_t i = 0; i < ROW_COUNT; i++)
    {
      char bytes[MALFORMED_RESPONSE_MAX + 64];
      struct two_responses row = get_row (i, bytes);
      struct call_client client;
      uint16_t port = start_target (&row);
      call_client_init (&client, base, &call_options);
      struct call_result first = call (&client, port);
      struct call_result second = call (&client, port);
      enum call_exchange_end expected
          = row.first_is_proper ? CALL_EXCHANGE_COMPLETE : CALL_EXCHANGE_LOST;
      bool correct = first.end == expected
                     && second.end == CALL_EXCHANGE_COMPLETE
                     && second.size == 3 && memcmp (second.data, "new", 3) == 0
                     && script.connections == 2;
      if (!correct)
        printf ("  %s: end %d, then end %d, %zu connections\n", row.name,
                (int)first.end, (int)second.end, script.connections);
      CU_ASSERT (correct);
      call_client_finish (&client);
      pool_tear_down ();
    }
}

/* Responses without end. The target counts what it could write. */

/// More than a client may read of a response and the kernel buffers of it.
#define ENDLESS_BYTES_MAX (64u * 1024 * 1024)

struct endless_response
{
  const char *name;
  const char *start;
  const char *part; ///< repeated without end
  bool in_body;     ///< passed on as it arrives by a client that streams
};

#define CHUNKED_HEAD                                                          \
  "HTTP/1.1 200 OK\r\n" STORE_FIELDS "Transfer-Encoding: chunked\r\n\r\n"

static const struct endless_response endless_responses[] = {
  { "status line", "HTTP/1.1 200 ", "aaaaaaaa", false },
  { "informational responses", "", "HTTP/1.1 100 A\r\n\r\n", false },
  { "empty lines", "", "\r\n", false },
  { "name", "HTTP/1.1 200 OK\r\n", "aaaaaaaa", false },
  { "fields", "HTTP/1.1 200 OK\r\n", "A: aaaaaaaa\r\n", false },
  { "chunk size", CHUNKED_HEAD, "0", false },
  { "chunk extension", CHUNKED_HEAD "3;", "aaaaaaaa", false },
  { "trailer", CHUNKED_HEAD "0\r\n", "A: aaaaaaaa\r\n", false },
  { "chunks", CHUNKED_HEAD, "8\r\naaaaaaaa\r\n", true },
  { "one chunk", CHUNKED_HEAD "fffffffffffff\r\n", "aaaaaaaa", true },
  { "length",
    "HTTP/1.1 200 OK\r\n" STORE_FIELDS "Content-Length: 900000000000\r\n\r\n",
    "aaaaaaaa", true },
  { "body up to the close", "HTTP/1.1 200 OK\r\n" STORE_FIELDS "\r\n",
    "aaaaaaaa", true },
};

static const struct endless_response *endless;
static size_t endless_bytes;

static void
endless_write (struct bufferevent *bev, void *arg)
{
  static char piece[64 * 1024];
  size_t part = strlen (endless->part);
  size_t size = 0;
  if (endless_bytes > ENDLESS_BYTES_MAX)
    return;
  for (; size + part <= sizeof piece; size += part)
    memcpy (piece + size, endless->part, part);
  endless_bytes += size;
  bufferevent_write (bev, piece, size);
}

static void
endless_read (struct bufferevent *bev, void *arg)
{
  struct evbuffer *input = bufferevent_get_input (bev);
  evbuffer_drain (input, evbuffer_get_length (input));
  bufferevent_write (bev, endless->start, strlen (endless->start));
  endless_write (bev, NULL);
}

static void
endless_accept (struct evconnlistener *listener, evutil_socket_t fd,
                struct sockaddr *from, int size, void *arg)
{
  struct bufferevent *bev
      = bufferevent_socket_new (base, fd, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (bev, endless_read, endless_write, target_event, NULL);
  bufferevent_enable (bev, EV_READ | EV_WRITE);
}

static uint16_t
start_endless_target (const struct endless_response *row)
{
  uint16_t port = pool_set_up (&(struct script){ 0 });
  evconnlistener_set_cb (target, endless_accept, NULL);
  endless = row;
  endless_bytes = 0;
  return port;
}

static void
check_endless_bytes (void)
{
  if (endless_bytes > ENDLESS_BYTES_MAX)
    printf ("  %s: %zu bytes were read\n", endless->name, endless_bytes);
  CU_ASSERT (endless_bytes <= ENDLESS_BYTES_MAX);
}

static void
test_store_client_endless (void)
{
  for (size_t i = 0; i < RESPONSE_COUNT (endless_responses); i++)
    {
      struct store_client client;
      uint16_t port = start_endless_target (&endless_responses[i]);
      store_client_init (&client, base, "127.0.0.1", port);
      struct store_result result = get (&client);
      CU_ASSERT_EQUAL (result.status, STATUS_UNKNOWN);
      check_endless_bytes ();
      store_client_finish (&client);
      pool_tear_down ();
    }
}

static void
test_call_client_endless (void)
{
  for (size_t i = 0; i < RESPONSE_COUNT (endless_responses); i++)
    {
      struct call_client client;
      if (endless_responses[i].in_body)
        continue;
      uint16_t port = start_endless_target (&endless_responses[i]);
      call_client_init (&client, base, &call_options);
      struct call_result result = call (&client, port);
      CU_ASSERT_NOT_EQUAL (result.end, CALL_EXCHANGE_COMPLETE);
      check_endless_bytes ();
      call_client_finish (&client);
      pool_tear_down ();
    }
}

/* The command-line client, which blocks. */

/// Serves one connection per response.
static void
serve (int listener)
{
  for (size_t i = 0; i < ROW_COUNT; i++)
    {
      char request[4096], bytes[MALFORMED_RESPONSE_MAX + 64];
      struct two_responses row = get_row (i, bytes);
      int fd = accept (listener, NULL, NULL);
      if (recv (fd, request, sizeof request, 0) <= 0
          || send (fd, row.first, row.first_size, MSG_NOSIGNAL) < 0)
        _exit (1);
      /* Open until the client has closed it. */
      recv (fd, request, sizeof request, 0);
      close (fd);
    }
  _exit (0);
}

static void
test_ctl (void)
{
  struct sockaddr_in at = { .sin_family = AF_INET };
  socklen_t size = sizeof at;
  at.sin_addr.s_addr = htonl (LOOPBACK);
  int listener = socket (AF_INET, SOCK_STREAM, 0);
  CU_ASSERT_EQUAL_FATAL (bind (listener, (struct sockaddr *)&at, size), 0);
  CU_ASSERT_EQUAL_FATAL (listen (listener, 1), 0);
  getsockname (listener, (struct sockaddr *)&at, &size);
  pid_t server_pid = fork ();
  if (server_pid == 0)
    serve (listener);
  close (listener);
  const struct ctl ctl = { .host = "127.0.0.1", .port = ntohs (at.sin_port) };
  for (size_t i = 0; i < ROW_COUNT; i++)
    {
      char bytes[MALFORMED_RESPONSE_MAX + 64];
      struct two_responses row = get_row (i, bytes);
      struct ctl_response response = { 0 };
      enum status status
          = ctl_request (&ctl, "GET", "/", NULL, NULL, 0, &response);
      enum status expected = row.first_is_proper ? STATUS_OK : STATUS_UNKNOWN;
      if (status != expected)
        printf ("  %s: %d\n", row.name, (int)status);
      CU_ASSERT_EQUAL (status, expected);
      ctl_response_free (&response);
    }
  int server_status;
  waitpid (server_pid, &server_status, 0);
  CU_ASSERT_EQUAL (server_status, 0);
}

int
main (void)
{
  signal (SIGPIPE, SIG_IGN);
  static const struct test_case cases[] = {
    { "the store client takes a malformed response, or uses its connection",
      test_store_client },
    { "the call client takes a malformed response, or uses its connection",
      test_call_client },
    { "the store client keeps a response without end",
      test_store_client_endless },
    { "the call client keeps a response without end",
      test_call_client_endless },
    { "hawthornseam-ctl takes a malformed response", test_ctl },
  };
  return testing_run ("response_guard", cases, sizeof cases / sizeof cases[0]);
}
