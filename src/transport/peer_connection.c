/// Owns the single connections: sockets, handshake (HELLO frames) and frames.
#include "transport/peer_internal.h"

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"

#include <assert.h>
#include <event2/buffer.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

static struct counter bytes_sent
    = COUNTER ("peer_bytes_sent", "Bytes queued on peer connections.");
static struct counter bytes_received
    = COUNTER ("peer_bytes_received", "Bytes read from peer connections.");
static struct counter connects
    = COUNTER ("peer_connects", "Connections opened by this node.");
static struct counter accepts
    = COUNTER ("peer_accepts", "Connections accepted.");
static struct counter rejected
    = COUNTER ("peer_refused", "Connections closed for a bad frame or HELLO.");
static struct counter overflows
    = COUNTER ("peer_overflows", "Connections closed at the output bound.");

/// Minimum interval between log lines of rejected peers, which connect again
/// and again.
#define REJECTED_LOG_INTERVAL_MS 10000

static void
write_bytes (struct peer_connection *connection, const void *bytes,
             size_t size)
{
  bufferevent_write (connection->stream, bytes, size);
  counter_add (&bytes_sent, size);
}

static void
write_hello (struct peer_connection *connection)
{
  uint8_t hello[FRAME_PREFIX_SIZE + FRAME_HELLO_MAX];
  write_bytes (connection, hello,
               frame_write_hello (&connection->session, hello));
}

/// Sends an empty frame. It authenticates this node before there is a message
/// to send, so that the other end can use the connection.
static void
write_empty_frame (struct peer_connection *connection)
{
  uint8_t frame[FRAME_PREFIX_SIZE + FRAME_TAG_SIZE];
  write_bytes (connection, frame,
               frame_seal (&connection->session, NULL, 0, frame));
}

enum status
peer_connection_write (struct peer_connection *connection,
                       const uint8_t *plain, size_t size)
{
  assert (connection->authenticated && !connection->closed);
  struct evbuffer *output = bufferevent_get_output (connection->stream);
  if (evbuffer_get_length (output) + size > PEER_OUTPUT_BYTES_MAX)
    {
      counter_add (&overflows, 1);
      peer_connection_close (connection);
      return status_set (STATUS_UNAVAILABLE,
                         "output buffer of the peer is full");
    }
  size_t frame_size = FRAME_PREFIX_SIZE + FRAME_TAG_SIZE + size;
  struct evbuffer_iovec space;
  if (evbuffer_reserve_space (output, (ev_ssize_t)frame_size, &space, 1) != 1)
    return status_set (STATUS_NO_MEMORY, "no memory for a frame");
  space.iov_len
      = frame_seal (&connection->session, plain, size, space.iov_base);
  counter_add (&bytes_sent, space.iov_len);
  evbuffer_commit_space (output, &space, 1);
  connection->used_ms = clock_monotonic_ms ();
  return STATUS_OK;
}

static void
free_connection (struct peer_connection *connection)
{
  struct peer_connection **link = &connection->peers->connections;
  while (*link != connection)
    link = &(*link)->next;
  *link = connection->next;
  connection->peers->connection_count--;
  bufferevent_free (connection->stream);
  sodium_memzero (&connection->session, sizeof connection->session);
  free (connection);
}

void
peer_connection_close (struct peer_connection *connection)
{
  if (connection->closed)
    return;
  connection->closed = true;
  bufferevent_disable (connection->stream, EV_READ | EV_WRITE);
  struct peers *peers = connection->peers;
  struct peer_endpoint *endpoint = connection->endpoint;
  connection->endpoint = NULL;
  bool current = endpoint != NULL && endpoint->connection == connection;
  bool failed = current && connection->outbound && !connection->authenticated;
  if (current)
    endpoint->connection = NULL;
  if (!connection->handling_input)
    free_connection (connection);
  /* Last, because the connect_failed callback may send messages and so open
     connections. */
  if (failed)
    peer_endpoint_failed (peers, endpoint);
}

static void
reject (struct peer_connection *connection)
{
  struct peers *peers = connection->peers;
  uint64_t now_ms = clock_monotonic_ms ();
  counter_add (&rejected, 1);
  if (peers->refused_log_ms == 0
      || now_ms - peers->refused_log_ms >= REJECTED_LOG_INTERVAL_MS)
    {
      peers->refused_log_ms = now_ms;
      log_event (LOG_LEVEL_WARNING, "peer_refused",
                 "slot=%016llx reason=\"%s\"",
                 (unsigned long long)connection->session.peer_slot,
                 status_message ());
    }
  peer_connection_close (connection);
}

static enum status
handle_frame (struct peer_connection *connection, struct frame *frame)
{
  if (frame->kind == FRAME_HELLO)
    {
      struct peer_endpoint *endpoint = connection->endpoint;
      if (endpoint != NULL && !endpoint->by_address
          && endpoint->slot_id != connection->session.peer_slot)
        return status_set (STATUS_CONFLICT,
                           "peer at the member's address has another slot id");
      write_empty_frame (connection);
      return STATUS_OK;
    }
  connection->used_ms = clock_monotonic_ms ();
  if (!connection->authenticated)
    {
      connection->authenticated = true;
      peer_endpoint_authenticated (connection);
    }
  if (frame->plain_size > 0)
    peer_dispatch (connection->peers, connection->session.peer_slot,
                   frame->plain, frame->plain_size);
  return STATUS_OK;
}

static void
on_read (struct bufferevent *stream, void *arg)
{
  struct peer_connection *connection = arg;
  struct evbuffer *input = bufferevent_get_input (stream);
  connection->handling_input = true;
  enum status status = STATUS_OK;
  while (!connection->closed)
    {
      struct frame frame;
      size_t size = evbuffer_get_length (input);
      if (size < FRAME_PREFIX_SIZE)
        break;
      status = frame_next (&connection->session,
                           evbuffer_pullup (input, FRAME_PREFIX_SIZE),
                           FRAME_PREFIX_SIZE, &frame);
      if (status == STATUS_OK && frame.wanted > size)
        break;
      if (status == STATUS_OK)
        status = frame_next (&connection->session,
                             evbuffer_pullup (input, (ev_ssize_t)frame.wanted),
                             frame.wanted, &frame);
      if (status == STATUS_OK)
        status = handle_frame (connection, &frame);
      if (status != STATUS_OK)
        break;
      counter_add (&bytes_received, frame.consumed);
      evbuffer_drain (input, frame.consumed);
    }
  connection->handling_input = false;
  if (connection->closed)
    free_connection (connection);
  else if (status != STATUS_OK)
    reject (connection);
}

static void
on_event (struct bufferevent *stream, short what, void *arg)
{
  struct peer_connection *connection = arg;
  if (what & BEV_EVENT_CONNECTED)
    write_hello (connection);
  else
    peer_connection_close (connection);
}

static bool
start_connect (struct peer_connection *connection,
               const struct peer_endpoint *endpoint)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET,
          .sin_port = htons (endpoint->port),
          .sin_addr.s_addr = htonl (endpoint->address) };
  counter_add (&connects, 1);
  return bufferevent_socket_connect (
             connection->stream, (struct sockaddr *)&address, sizeof address)
         == 0;
}

struct peer_connection *
peer_connection_open (struct peers *peers, int fd,
                      struct peer_endpoint *endpoint)
{
  struct peer_connection *connection = calloc (1, sizeof *connection);
  struct bufferevent *stream = bufferevent_socket_new (
      peers->options.base, fd,
      BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
  if (connection == NULL || stream == NULL)
    {
      free (connection);
      if (stream != NULL)
        bufferevent_free (stream);
      else if (fd >= 0)
        evutil_closesocket (fd);
      return NULL;
    }
  connection->peers = peers;
  connection->stream = stream;
  connection->endpoint = endpoint;
  connection->outbound = fd < 0;
  connection->opened_ms = connection->used_ms = clock_monotonic_ms ();
  connection->next = peers->connections;
  peers->connections = connection;
  peers->connection_count++;
  uint8_t nonce[FRAME_NONCE_SIZE];
  randombytes_buf (nonce, sizeof nonce);
  frame_session_init (&connection->session, &peers->identity, nonce);
  bufferevent_setcb (stream, on_read, NULL, on_event, connection);
  bufferevent_setwatermark (stream, EV_READ, 0,
                            FRAME_PREFIX_SIZE + FRAME_BODY_MAX);
  bufferevent_enable (stream, EV_READ | EV_WRITE);
  if (fd >= 0)
    {
      int on = 1;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      counter_add (&accepts, 1);
      write_hello (connection);
      return connection;
    }
  if (start_connect (connection, endpoint))
    {
      int on = 1;
      setsockopt (bufferevent_getfd (stream), IPPROTO_TCP, TCP_NODELAY, &on,
                  sizeof on);
      return connection;
    }
  connection->closed = true;
  free_connection (connection);
  return NULL;
}
