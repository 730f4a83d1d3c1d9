/// Owns the listener, the connections and the requests in progress.
#include "transport/http_server_internal.h"

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include "transport/http_socket.h"

#include <arpa/inet.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>

/// Listen backlog, large enough for bursts of connects after a restart.
#define LISTEN_BACKLOG 1024

#define SWEEP_MS 250

/// Time for which a connection that is shut down for writing waits for the
/// caller's close once it has acknowledged the last byte. Closing the socket
/// with unread bytes would reset the connection, and the caller could lose the
/// response.
#define LINGER_MS 1000

/// The same while descriptors are exhausted: a few round trips. What such a
/// connection still receives is dropped, so that its close resets it only if
/// the caller goes on sending.
#define LINGER_PRESSED_MS 100

/// A stopping server gives a connection this time: without any request yet,
/// since its first one may still be on its way; shut down for writing, since
/// its caller may still read the last response and send more.
#define STOP_WAIT_MS 250

/// Unread input that a stopping server discards from a connection: pieces of
/// this size, and their number. A caller that sends more is reset.
#define DISCARD_BYTES (64u * 1024)
#define DISCARD_READS_MAX 64
/// Memory of a connection without requests, bytes: its structures here and in
/// libevent (1.2 KiB), and one block of input. 640 idle connections took
/// 4.6 KiB each.
#define CONNECTION_BYTES 4096u

/// Memory of a request beside its head and body, bytes: its structures, those
/// of the handler, and a connection to another node or the target with a block
/// in each direction.
#define REQUEST_BYTES 12288u

/// Maximum size of a status line with the framing fields, bytes.
#define STATUS_LINE_BYTES_MAX 160

static struct counter malformed = COUNTER (
    "http_requests_malformed", "connections closed: bytes are no request");
static struct counter slow
    = COUNTER ("http_requests_slow", "connections closed: request too slow");
static struct counter shed = COUNTER (
    "http_requests_shed", "requests rejected: memory of the process is used");
static struct counter accept_pauses = COUNTER (
    "http_accept_pauses", "times accepting stopped: no free descriptors");
static struct counter too_large = COUNTER (
    "http_requests_too_large", "requests refused: head or body too large");

static evutil_socket_t
socket_of (const struct http_server_connection *connection)
{
  return bufferevent_getfd (connection->stream->bev);
}

/// @return memory of a request, bytes. Its head and body are kept for another
///         attempt; the head is also copied into what is sent on, with two
///         more bytes for each field.
static size_t
request_memory (const struct http_request *request)
{
  size_t body = evbuffer_get_length (request->body);
  size_t size = REQUEST_BYTES + http_head_memory (request->head)
                + request->head->text_size + 2 * request->head->field_count
                + request->handler_bytes
                + (body > request->body_size ? body : request->body_size);
  return request->output == NULL
             ? size
             : size + evbuffer_get_length (request->output);
}

/// Updates what is charged for a connection.
static void
charge (struct http_server_connection *connection)
{
  if (connection->server->budget == NULL)
    return;
  const struct http_stream *stream = connection->stream;
  size_t size = CONNECTION_BYTES + http_stream_memory (stream);
  for (const struct http_request *r = connection->request; r != NULL;
       r = r->next)
    size += request_memory (r);
  const struct http_request *receiving_request = connection->receiving_request;
  if (receiving_request != NULL && !receiving_request->streamed)
    size += request_memory (receiving_request);
  bool receiving = !http_server_ignores_input (connection)
                   && (connection->receiving_request != NULL || stream->started
                       || http_stream_unread (stream) > 0);
  memory_account_charge (&connection->account, size, receiving);
}

void
http_server_free_request (struct http_request *request)
{
  evbuffer_free (request->body);
  if (request->output != NULL)
    evbuffer_free (request->output);
  talloc_free (request->arena);
}

/// Frees the requests of a connection.
/// @param notify  true: tell the handlers of those without a complete response
///                that the caller has disconnected
static void
drop_requests (struct http_server_connection *connection, bool notify)
{
  struct http_server *server = connection->server;
  while (connection->request != NULL)
    {
      struct http_request *request = connection->request;
      connection->request = request->next;
      connection->pending--;
      server->in_progress--;
      if (connection->receiving_request == request)
        connection->receiving_request = NULL;
      if (notify && request->handed_over
          && (!request->response_complete || request->body_open))
        server->ops->disconnected (server->arg, request);
      http_server_free_request (request);
    }
}

static void
free_connection (struct http_server_connection *connection)
{
  struct http_server *server = connection->server;
  if (connection->previous != NULL)
    connection->previous->next = connection->next;
  else
    server->first = connection->next;
  if (connection->next != NULL)
    connection->next->previous = connection->previous;
  if (connection->receiving_request != NULL)
    http_server_free_request (connection->receiving_request);
  server->connections--;
  if (server->budget != NULL)
    {
      memory_account_close (&connection->account);
      server->budget->descriptors--;
    }
  http_stream_free (connection->stream);
  connection->freed = true;
  if (!connection->handing_over)
    free (connection);
}

static void
shut_down_output (struct http_server_connection *connection)
{
  connection->lingering = true;
  connection->shut_down_ms = clock_monotonic_ms ();
  connection->timeout_start_ms = connection->shut_down_ms;
  shutdown (bufferevent_getfd (connection->stream->bev), SHUT_WR);
}

/// Shuts the connection down as soon as its output has been sent.
static void
close_when_sent (struct http_server_connection *connection)
{
  connection->closing = true;
  connection->timeout_start_ms = clock_monotonic_ms ();
  connection->stream->waiting_for_next = true;
  if (evbuffer_get_length (http_stream_output (connection->stream)) == 0)
    shut_down_output (connection);
}

static void
write_status_line (struct evbuffer *output, unsigned status, bool close,
                   const char *framing)
{
  char line[STATUS_LINE_BYTES_MAX];
  int size = snprintf (line, sizeof line, "HTTP/1.1 %u %s\r\n%s%s", status,
                       http_status_str ((enum http_status)status), framing,
                       close ? "Connection: close\r\n" : "");
  evbuffer_add (output, line, (size_t)size);
}

void
http_server_reject (struct http_server_connection *connection, unsigned status)
{
  connection->rejected = status;
  http_body_withdraw (connection, status);
  http_stream_discard (connection->stream);
  charge (connection);
  if (connection->request != NULL)
    return;
  if (connection->cut)
    {
      close_when_sent (connection);
      return;
    }
  struct evbuffer *output = http_stream_output (connection->stream);
  write_status_line (output, status, true, "Content-Length: 0\r\n");
  if (status == 503 && connection->server->not_run_fields != NULL)
    evbuffer_add_printf (output, "%s", connection->server->not_run_fields);
  evbuffer_add (output, "\r\n", 2);
  close_when_sent (connection);
}

static void
on_head (struct http_stream *stream, struct http_head *head)
{
  struct http_server_connection *connection = stream->owner;
  if (http_server_ignores_input (connection)
      || connection->receiving_request != NULL)
    return;
  void *arena = talloc_new (NULL);
  struct http_request *request = talloc_zero (arena, struct http_request);
  if (request == NULL || (request->body = evbuffer_new ()) == NULL)
    {
      talloc_free (arena);
      http_server_reject (connection, 503);
      return;
    }
  request->server = connection->server;
  request->connection = connection;
  request->arena = arena;
  request->head = talloc_steal (arena, head);
  stream->head = NULL;
  connection->receiving_request = request;
  if (head->has_length && head->length > connection->server->limits.body_bytes)
    {
      counter_add (&too_large, 1);
      http_server_reject (connection, 413);
      return;
    }
  http_body_begin (connection);
}

/// Sheds connections while the budget is exhausted, after this one has grown.
/// @return false when this one is rejected
static bool
settle (struct http_server_connection *connection)
{
  if (connection->server->budget == NULL)
    return true;
  charge (connection);
  if (!memory_account_settle (&connection->account)
      && !http_server_ignores_input (connection)
      && connection->account.receiving)
    http_server_shed (connection);
  return connection->rejected == 0;
}

static void
on_body (struct http_stream *stream, const char *data, size_t size)
{
  struct http_server_connection *connection = stream->owner;
  struct http_request *request = connection->receiving_request;
  if (request == NULL || http_server_ignores_input (connection))
    return;
  if (request->received + size > connection->server->limits.body_bytes)
    {
      counter_add (&too_large, 1);
      http_server_reject (connection, 413);
      return;
    }
  http_body_add (connection, data, size);
}

/// @return true when later requests of the connection must wait: their
///         responses would be lost if this one, which is sent in part, broke
///         off
static bool
blocks_later_requests (const struct http_request *request)
{
  return !request->response_complete
         && (request->blocks_next || http_reply_is_begun (request));
}

/// @return the next request to hand over, or NULL
static struct http_request *
next_to_hand_over (const struct http_server_connection *connection)
{
  struct http_request *request = connection->request;
  while (request != NULL && request->handed_over)
    request = blocks_later_requests (request) ? NULL : request->next;
  /* A streamed body would hold up the responses before it. */
  if (request != NULL && request->streamed && request != connection->request)
    return NULL;
  return request;
}

void
http_server_hand_over (struct http_server_connection *connection)
{
  struct http_server *server = connection->server;
  struct http_request *request;
  if (connection->handing_over)
    return; /* called by the handler; the loop below continues */
  connection->handing_over = true;
  while (!connection->freed
         && (request = next_to_hand_over (connection)) != NULL)
    {
      request->handed_over = true;
      server->ops->request (server->arg, request);
    }
  connection->handing_over = false;
  if (connection->freed)
    free (connection);
}

static void
on_complete (struct http_stream *stream)
{
  struct http_server_connection *connection = stream->owner;
  struct http_request *request = connection->receiving_request;
  connection->message_start_ms = 0;
  connection->window_start_ms = 0;
  if (request == NULL || http_server_ignores_input (connection))
    return;
  if (request->streamed)
    {
      http_body_complete (connection);
      return;
    }
  request->body_size = evbuffer_get_length (request->body);
  if (!settle (connection))
    return;
  connection->receiving_request = NULL;
  connection->served = true;
  if (!http_server_append (connection, request))
    {
      http_server_free_request (request);
      http_server_reject (connection, 503);
      return;
    }
  http_server_read_next (connection);
  http_server_hand_over (connection);
}

static void
on_received (struct http_stream *stream)
{
  if (settle (stream->owner))
    http_body_deliver (stream->owner);
}

static void
on_closed (struct http_stream *stream, enum http_close reason)
{
  struct http_server_connection *connection = stream->owner;
  if (reason != HTTP_CLOSE_PROTOCOL || connection->closing)
    {
      drop_requests (connection, true);
      free_connection (connection);
      return;
    }
  counter_add (stream->head_too_large ? &too_large : &malformed, 1);
  http_server_reject (connection, stream->head_too_large ? 431 : 400);
}

static void
on_drained (struct http_stream *stream)
{
  struct http_server_connection *connection = stream->owner;
  if (connection->closing && !connection->lingering)
    shut_down_output (connection);
  else if (connection->request != NULL
           && connection->server->ops->writable != NULL)
    connection->server->ops->writable (connection->server->arg,
                                       connection->request);
}

static const struct http_stream_ops stream_ops = {
  .head = on_head,
  .body = on_body,
  .complete = on_complete,
  .closed = on_closed,
  .drained = on_drained,
  .received = on_received,
};

static void
add_connection (struct http_server *server, evutil_socket_t fd)
{
  struct bufferevent *bev
      = bufferevent_socket_new (server->base, fd, BEV_OPT_CLOSE_ON_FREE);
  struct http_server_connection *connection = calloc (1, sizeof *connection);
  if (bev == NULL || connection == NULL)
    {
      if (bev != NULL)
        bufferevent_free (bev);
      else
        evutil_closesocket (fd);
      free (connection);
      return;
    }
  connection->stream
      = http_stream_new (bev, HTTP_REQUEST, &stream_ops, connection);
  if (connection->stream == NULL)
    {
      free (connection);
      return;
    }
  http_set_socket_options (fd);
  if (server->kernel_unsent_max > 0)
    http_socket_limit_unsent (fd, server->kernel_unsent_max);
  connection->stream->head_bytes_max = server->limits.head_bytes;
  connection->server = server;
  connection->timeout_start_ms = clock_monotonic_ms ();
  connection->next = server->first;
  if (server->first != NULL)
    server->first->previous = connection;
  server->first = connection;
  server->connections++;
  if (server->budget == NULL)
    return;
  memory_account_open (&connection->account, server->budget, connection);
  server->budget->descriptors++;
  charge (connection);
}

static void
on_accept (struct evconnlistener *listener, evutil_socket_t fd,
           struct sockaddr *from, int size, void *arg)
{
  struct http_server *server = arg;
  struct memory_budget *budget = server->budget;
  add_connection (server, fd);
  if (budget == NULL || memory_budget_has_descriptor (budget, server->use))
    return;
  counter_add (&accept_pauses, 1);
  server->accepting_paused = true;
  budget->paused_uses++;
  evconnlistener_disable (listener);
}

/// Accepts connections again once descriptors are free.
static void
resume_accepting (struct http_server *server)
{
  struct memory_budget *budget = server->budget;
  if (!server->accepting_paused || budget == NULL || server->listener == NULL
      || !memory_budget_has_descriptor (budget, server->use))
    return;
  server->accepting_paused = false;
  budget->paused_uses--;
  evconnlistener_enable (server->listener);
}

/// @return time for which a connection waits for its caller's close, ms
static uint32_t
linger_ms (const struct http_server *server)
{
  bool waited_for = server->budget != NULL && server->budget->paused_uses > 0;
  return waited_for ? LINGER_PRESSED_MS : LINGER_MS;
}

static void
reject_slow (struct http_server_connection *connection)
{
  counter_add (&slow, 1);
  http_server_reject (connection, 408);
}

static void
on_sweep (evutil_socket_t fd, short what, void *arg)
{
  struct http_server *server = arg;
  uint64_t now = clock_monotonic_ms ();
  struct http_server_connection *next;
  for (struct http_server_connection *c = server->first; c != NULL; c = next)
    {
      next = c->next;
      http_stream_check_peer (c->stream, now);
      if (server->budget != NULL)
        {
          charge (c);
          memory_account_measure (&c->account, c->stream->received_bytes);
          if (memory_account_blocks_others (&c->account))
            http_server_shed (c);
        }
      if (http_body_is_too_slow (c, now))
        {
          reject_slow (c);
          continue;
        }
      if (c->request != NULL || (c->stream->started && !c->closing))
        continue;
      uint32_t limit
          = c->lingering ? linger_ms (server) : server->limits.idle_ms;
      /* A reader may need the kernel's bytes for longer than it lingers. */
      if (c->lingering && limit == LINGER_MS
          && http_socket_unsent (socket_of (c)) > 0
          && now - c->shut_down_ms <= server->limits.idle_ms)
        c->timeout_start_ms = now;
      if (now - c->timeout_start_ms > limit)
        free_connection (c);
    }
  resume_accepting (server);
}

void
http_server_use_budget (struct http_server *server,
                        struct memory_budget *budget,
                        enum memory_budget_use use)
{
  server->budget = budget;
  server->use = use;
}

void
http_server_shed (void *arg)
{
  counter_add (&shed, 1);
  http_server_reject (arg, 503);
}

enum status
http_server_start (struct http_server *server, struct event_base *base,
                   uint32_t address, uint16_t port,
                   const struct http_server_limits *limits,
                   const struct http_server_ops *ops, void *arg)
{
  memset (server, 0, sizeof *server);
  server->base = base;
  server->limits = *limits;
  server->ops = ops;
  server->arg = arg;
  struct sockaddr_in listen_address = { .sin_family = AF_INET };
  listen_address.sin_addr.s_addr = htonl (address);
  listen_address.sin_port = htons (port);
  server->listener = evconnlistener_new_bind (
      base, on_accept, server,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
      LISTEN_BACKLOG, (struct sockaddr *)&listen_address,
      sizeof listen_address);
  if (server->listener == NULL)
    return status_set (STATUS_UNAVAILABLE, "HTTP server: cannot bind port %u",
                       port);
  event_assign (&server->sweep, base, -1, EV_PERSIST, on_sweep, server);
  event_add (&server->sweep, &(struct timeval){ 0, SWEEP_MS * 1000 });
  return STATUS_OK;
}

/// Hands unsent bytes to the kernel as far as it takes them, which sends them
/// after the close. Unread input would make the close a reset that drops them.
static void
hand_output_to_kernel (struct http_server_connection *connection)
{
  static char input[DISCARD_BYTES];
  struct evbuffer *output = http_stream_output (connection->stream);
  evutil_socket_t fd = socket_of (connection);
  evbuffer_unfreeze (output, 1);
  while (evbuffer_get_length (output) > 0 && evbuffer_write (output, fd) > 0)
    continue;
  for (int i = 0; i < DISCARD_READS_MAX; i++)
    if (recv (fd, input, sizeof input, MSG_DONTWAIT) <= 0)
      break;
}

void
http_server_end_kernel_limit (struct http_server *server)
{
  if (server->kernel_unsent_max == 0)
    return;
  server->kernel_unsent_max = 0;
  for (struct http_server_connection *c = server->first; c != NULL;
       c = c->next)
    http_socket_limit_unsent (socket_of (c), UINT32_MAX);
}

void
http_server_stop (struct http_server *server)
{
  if (server->base == NULL)
    return;
  server->base = NULL;
  if (server->listener != NULL)
    evconnlistener_free (server->listener);
  server->listener = NULL;
  http_server_end_kernel_limit (server);
  event_del (&server->sweep);
  struct http_server_connection *next;
  for (struct http_server_connection *c = server->first; c != NULL; c = next)
    {
      next = c->next;
      drop_requests (c, false);
      hand_output_to_kernel (c);
      free_connection (c);
    }
}

void
http_server_drain (struct http_server *server)
{
  server->draining = true;
}

/// @return true while closing the connection could cost a caller its response
static bool
has_work (const struct http_server_connection *connection, uint64_t now_ms)
{
  struct http_stream *stream = connection->stream;
  if (connection->request != NULL
      || evbuffer_get_length (http_stream_output (stream)) > 0
      || http_socket_unsent (socket_of (connection)) > 0)
    return true;
  bool waits = now_ms - connection->timeout_start_ms < STOP_WAIT_MS;
  if (connection->closing)
    return waits;
  return stream->started || http_stream_unread (stream) > 0
         || http_socket_unread (socket_of (connection)) > 0
         || (!connection->served && waits);
}

void
http_server_close_idle (struct http_server *server)
{
  uint64_t now = clock_monotonic_ms ();
  struct http_server_connection *next;
  for (struct http_server_connection *c = server->first; c != NULL; c = next)
    {
      next = c->next;
      if (!has_work (c, now))
        free_connection (c);
    }
}

void
http_server_stop_accepting (struct http_server *server)
{
  if (server->listener == NULL)
    return;
  evutil_socket_t listener = evconnlistener_get_fd (server->listener);
  evutil_socket_t fd;
  while ((fd = accept (listener, NULL, NULL)) >= 0)
    {
      evutil_make_socket_nonblocking (fd);
      evutil_make_socket_closeonexec (fd);
      add_connection (server, fd);
    }
  evconnlistener_free (server->listener);
  server->listener = NULL;
  if (server->accepting_paused)
    server->budget->paused_uses--;
  server->accepting_paused = false;
}

bool
http_server_has_work (const struct http_server *server)
{
  uint64_t now = clock_monotonic_ms ();
  for (const struct http_server_connection *c = server->first; c != NULL;
       c = c->next)
    if (has_work (c, now))
      return true;
  return false;
}

size_t
http_server_unsent (const struct http_server *server)
{
  size_t size = 0;
  for (struct http_server_connection *c = server->first; c != NULL;
       c = c->next)
    size += evbuffer_get_length (http_stream_output (c->stream));
  return size;
}

/// @return "" without an id
static const char *
request_id (const struct http_request *request)
{
  const char *name = request->server->id_header;
  const char *id = name == NULL ? NULL : http_head_find (request->head, name);
  return id == NULL ? "" : id;
}

void
http_server_log_unsent (const struct http_server *server, const char *name,
                        size_t lines_max)
{
  for (const struct http_server_connection *c = server->first;
       c != NULL && lines_max > 0; c = c->next)
    {
      size_t unsent = evbuffer_get_length (http_stream_output (c->stream));
      size_t kernel_unsent = http_socket_unsent (socket_of (c));
      if (unsent + kernel_unsent == 0 && c->request == NULL)
        continue;
      lines_max--;
      log_event (LOG_LEVEL_WARNING, "connection_cut",
                 "server=%s id=%.*s requests=%zu started=%d finished=%d "
                 "unsent=%zu kernel_unsent=%zu kernel_unread=%zu",
                 name, HTTP_LOGGED_ID_BYTES,
                 c->request != NULL ? request_id (c->request) : c->last_id,
                 c->pending,
                 c->request != NULL && http_reply_is_begun (c->request),
                 c->request == NULL, unsent, kernel_unsent,
                 http_socket_unread (socket_of (c)));
    }
}

/// @return the buffer that takes the bytes of a response
static struct evbuffer *
response_output (struct http_request *request)
{
  return request->output != NULL
             ? request->output
             : http_stream_output (request->connection->stream);
}

/// Sends the status line of the response that is next in order. Only then is
/// it known whether the response closes the connection: a draining server
/// closes it after the last request that was received, so that none is lost.
static void
send_status_line (struct http_request *request)
{
  struct http_server_connection *connection = request->connection;
  if (request->server->draining && request->next == NULL)
    request->head->keep_alive = false;
  connection->last_response = !request->head->keep_alive;
  write_status_line (http_stream_output (connection->stream), request->status,
                     connection->last_response, request->framing);
}

/// Starts a response. Its status line is sent when earlier responses have
/// ended.
static void
start_response (struct http_request *request, unsigned status,
                const char *framing)
{
  request->status = status;
  snprintf (request->framing, sizeof request->framing, "%s", framing);
  if (request->output == NULL)
    send_status_line (request);
}

/// Sends what was held back of the oldest response.
static void
send_held_response (struct http_request *request)
{
  if (request->status != 0)
    send_status_line (request);
  evbuffer_add_buffer (http_stream_output (request->connection->stream),
                       request->output);
  evbuffer_free (request->output);
  request->output = NULL;
}

void
http_server_send_finished (struct http_server_connection *connection)
{
  while (connection->request != NULL)
    {
      struct http_request *request = connection->request;
      if (request->output != NULL
          && (request->response_complete || request->next == NULL))
        send_held_response (request);
      if (!request->response_complete || request->body_open)
        {
          if (request->output != NULL
              && connection->server->ops->writable != NULL)
            connection->server->ops->writable (connection->server->arg,
                                               request);
          http_server_hand_over (connection);
          return;
        }
      bool close = !request->head->keep_alive;
      connection->request = request->next;
      connection->pending--;
      connection->server->in_progress--;
      connection->timeout_start_ms = clock_monotonic_ms ();
      snprintf (connection->last_id, sizeof connection->last_id, "%s",
                request_id (request));
      http_server_free_request (request);
      if (close)
        {
          drop_requests (connection, true);
          close_when_sent (connection);
          return;
        }
      if (connection->rejected != 0 && connection->request == NULL)
        {
          http_server_reject (connection, connection->rejected);
          return;
        }
      if (connection->rejected == 0)
        http_stream_next (connection->stream);
    }
}

static void
finish_response (struct http_request *request)
{
  struct http_server_connection *connection = request->connection;
  request->response_complete = true;
  if (connection->request == request)
    http_server_send_finished (connection);
  else
    http_server_hand_over (connection);
}

void
http_reply (struct http_request *request, unsigned status, const char *fields,
            const void *body, size_t size)
{
  http_request_close_body (request);
  struct evbuffer *output = response_output (request);
  char framing[HTTP_FRAMING_SIZE_MAX];
  snprintf (framing, sizeof framing, "Content-Length: %zu\r\n", size);
  start_response (request, status, framing);
  if (fields != NULL)
    evbuffer_add (output, fields, strlen (fields));
  evbuffer_add (output, "\r\n", 2);
  if (request->head->method != HTTP_HEAD)
    evbuffer_add (output, body, size);
  finish_response (request);
}

void
http_reply_start (struct http_request *request, unsigned status,
                  struct evbuffer *fields, int64_t length)
{
  struct evbuffer *output = response_output (request);
  char framing[HTTP_FRAMING_SIZE_MAX] = "Transfer-Encoding: chunked\r\n";
  bool no_body = http_status_has_no_body (status);
  if (no_body)
    framing[0] = '\0';
  else if (length >= 0)
    snprintf (framing, sizeof framing, "Content-Length: %lld\r\n",
              (long long)length);
  request->response_chunked
      = length < 0 && !no_body && request->head->method != HTTP_HEAD;
  start_response (request, status, framing);
  evbuffer_add_buffer (output, fields);
  evbuffer_add (output, "\r\n", 2);
}

void
http_reply_write (struct http_request *request, const void *data, size_t size)
{
  if (size == 0)
    return;
  struct evbuffer *output = response_output (request);
  if (request->response_chunked)
    evbuffer_add_printf (output, "%zx\r\n", size);
  evbuffer_add (output, data, size);
  if (request->response_chunked)
    evbuffer_add (output, "\r\n", 2);
}

void
http_reply_finish (struct http_request *request)
{
  if (request->response_chunked)
    evbuffer_add (response_output (request), "0\r\n\r\n", 5);
  finish_response (request);
}

bool
http_reply_retract (struct http_request *request)
{
  if (request->response_complete || http_reply_is_begun (request))
    return false;
  if (request->output != NULL)
    evbuffer_drain (request->output, evbuffer_get_length (request->output));
  request->status = 0;
  return true;
}

bool
http_reply_is_begun (const struct http_request *request)
{
  return request->output == NULL && request->status != 0;
}

void
http_reply_release (struct http_request *request)
{
  if (request->output != NULL && request == request->connection->request
      && !http_request_is_held (request))
    send_held_response (request);
}

void
http_request_block_next (struct http_request *request)
{
  request->blocks_next = true;
}

bool
http_request_is_abandoned (const struct http_request *request)
{
  return http_socket_is_closed_by_peer (socket_of (request->connection));
}

bool
http_request_is_held (const struct http_request *request)
{
  const struct http_request *next = request->next;
  return request == request->connection->request && !request->response_complete
         && next != NULL && next->handed_over;
}

void
http_reply_abort (struct http_request *request)
{
  struct http_server_connection *connection = request->connection;
  http_request_close_body (request);
  request->response_complete = true; /* its handler is not notified */
  drop_requests (connection, true);
  close_when_sent (connection);
}

size_t
http_request_backlog (const struct http_request *request)
{
  return evbuffer_get_length (
      request->output != NULL
          ? request->output
          : http_stream_output (request->connection->stream));
}

size_t
http_request_unacknowledged (const struct http_request *request)
{
  return http_request_backlog (request)
         + http_socket_unsent (socket_of (request->connection));
}

size_t
http_server_held (const struct http_server *server)
{
  size_t size = 0;
  for (const struct http_server_connection *c = server->first; c != NULL;
       c = c->next)
    for (const struct http_request *r = c->request; r != NULL; r = r->next)
      if (r->output != NULL)
        size += evbuffer_get_length (r->output);
  return size;
}
