/// Peers that leave: clients of the server whose close is not read, and
/// exchanges of the pool that are cancelled.
#include "http_peers.h"

#include <errno.h>

/// Bytes of a pipelined request; some of them fill the input of a connection.
#define REQUEST_BYTES 1500
#define PIPELINED_MAX 100

/// Request that the pool cancels, and receive buffer of the server's socket.
#define CANCELLED_BYTES (1024u * 1024)
#define RECEIVE_BUFFER_BYTES 8192

/// Connects, sends pipelined requests, and closes its side.
static evutil_socket_t
send_and_close (uint16_t port, size_t count)
{
  static char bytes[PIPELINED_MAX * REQUEST_BYTES];
  struct sockaddr_in to = { .sin_family = AF_INET, .sin_port = htons (port) };
  to.sin_addr.s_addr = htonl (LOOPBACK);
  evutil_socket_t fd = socket (AF_INET, SOCK_STREAM, 0);
  CU_ASSERT_EQUAL_FATAL (connect (fd, (struct sockaddr *)&to, sizeof to), 0);
  for (size_t i = 0; i < count; i++)
    {
      char *request = bytes + i * REQUEST_BYTES;
      memset (request, 'p', REQUEST_BYTES);
      memcpy (request, "GET / HTTP/1.1\r\nHost: h\r\nX: ", 28);
      memcpy (request + REQUEST_BYTES - 4, "\r\n\r\n", 4);
    }
  evutil_make_socket_nonblocking (fd);
  size_t sent = 0;
  for (int i = 0; i < 100 && sent < count * REQUEST_BYTES; i++)
    {
      ssize_t size = send (fd, bytes + sent, count * REQUEST_BYTES - sent, 0);
      sent += size > 0 ? (size_t)size : 0;
      run_ms (2);
    }
  CU_ASSERT_EQUAL (sent, count * REQUEST_BYTES);
  shutdown (fd, SHUT_WR);
  return fd;
}

static void
test_close_behind_unread_requests (void)
{
  static const size_t counts[] = { 1, 8, 9, 60, 100 };
  for (size_t i = 0; i < sizeof counts / sizeof counts[0]; i++)
    {
      struct raw_client other;
      uint16_t port = server_set_up ();
      client_connect (&other, port);
      evutil_socket_t fd = send_and_close (port, counts[i]);
      run_ms (400);
      CU_ASSERT (request_count > 0 && request_count <= REQUESTS_MAX);
      CU_ASSERT_EQUAL (disconnect_count, request_count);
      close (fd);
      server_tear_down (&other);
    }
}

/* The handler asks whether the caller has left before it does anything. */

static size_t abandoned_count;

static void
count_abandoned (void *arg, struct http_request *request)
{
  request_count++;
  if (!http_request_is_abandoned (request))
    {
      http_reply (request, 200, NULL, "", 0);
      return;
    }
  abandoned_count++;
  http_reply_abort (request);
}

static const struct http_server_ops abandon_ops
    = { .request = count_abandoned, .disconnected = server_disconnected };

static void
test_request_and_close_arrive_together (void)
{
  static const struct
  {
    bool closes;
    size_t abandoned;
  } rows[] = { { false, 0 }, { true, 1 } };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct raw_client raw_client;
      uint16_t port = server_set_up ();
      server.ops = &abandon_ops;
      abandoned_count = 0;
      client_connect (&raw_client, port);
      run_ms (20);
      /* Both are in the kernel when the server gets to read. */
      static const char text[] = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
      evutil_socket_t fd = bufferevent_getfd (raw_client.bev);
      CU_ASSERT_EQUAL (send (fd, text, sizeof text - 1, 0),
                       (ssize_t)sizeof text - 1);
      if (rows[i].closes)
        shutdown (fd, SHUT_WR);
      run_ms (50);
      CU_ASSERT_EQUAL (request_count, 1);
      CU_ASSERT_EQUAL (abandoned_count, rows[i].abandoned);
      CU_ASSERT_EQUAL (disconnect_count, 0);
      CU_ASSERT_EQUAL (raw_client.closed, rows[i].closes);
      CU_ASSERT_EQUAL (raw_client.size > 0, !rows[i].closes);
      server_tear_down (&raw_client);
    }
}

/// @return bytes that arrive at a server that starts to read only now; sets
///         errno to 0, or to the error at their end
static size_t
read_all (evutil_socket_t fd)
{
  static char bytes[65536];
  size_t total = 0;
  ssize_t size;
  struct timeval limit = { .tv_sec = 1 };
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  while ((size = recv (fd, bytes, sizeof bytes, 0)) > 0)
    total += (size_t)size;
  if (size == 0)
    errno = 0;
  return total;
}

static void
test_cancelled_requests_are_not_delivered (void)
{
  static const struct
  {
    size_t size;
    bool delivered; ///< the server's machine had all of it
  } rows[] = { { 200, true }, { CANCELLED_BYTES, false } };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      const struct http_pool_options options
          = { .idle_ms = 5000, .connect_ms = 300 };
      struct sockaddr_in at = { .sin_family = AF_INET };
      socklen_t at_size = sizeof at;
      int buffer = RECEIVE_BUFFER_BYTES;
      at.sin_addr.s_addr = htonl (LOOPBACK);
      evutil_socket_t listener = socket (AF_INET, SOCK_STREAM, 0);
      setsockopt (listener, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
      CU_ASSERT_EQUAL_FATAL (
          bind (listener, (struct sockaddr *)&at, sizeof at), 0);
      CU_ASSERT_EQUAL_FATAL (listen (listener, 1), 0);
      getsockname (listener, (struct sockaddr *)&at, &at_size);
      base = event_base_new ();
      http_pool_init (&pool, base, &options);
      static char body[CANCELLED_BYTES];
      struct result result = { 0 };
      struct evbuffer *bytes = evbuffer_new ();
      evbuffer_add (bytes, body, rows[i].size);
      struct http_send send = { .address = LOOPBACK,
                                .port = ntohs (at.sin_port),
                                .request = bytes };
      struct http_exchange *pending
          = http_pool_send (&pool, &send, &result_ops, &result);
      evbuffer_free (bytes);
      run_ms (100);
      http_exchange_cancel (pending);
      run_ms (20);
      evutil_socket_t fd = accept (listener, NULL, NULL);
      size_t received = read_all (fd);
      int end = errno;
      CU_ASSERT_EQUAL (received == rows[i].size, rows[i].delivered);
      CU_ASSERT_EQUAL (end, rows[i].delivered ? 0 : ECONNRESET);
      close (fd);
      close (listener);
      http_pool_finish (&pool);
      event_base_free (base);
    }
}

int
main (void)
{
  static const struct test_case cases[] = {
    { "a close behind requests that are not read is not seen",
      test_close_behind_unread_requests },
    { "a request whose caller has left passes for one that is waited for",
      test_request_and_close_arrive_together },
    { "a cancelled request is delivered when its server reads again",
      test_cancelled_requests_are_not_delivered },
  };
  return testing_run ("departed peers", cases, sizeof cases / sizeof cases[0]);
}
