/// Owns the listener, one record per connection that has sent a byte, and the
/// requests in progress.
///
/// evhttp stops reading while a request is handled and so would not detect
/// that the caller has closed the connection. If reading is enabled with
/// evhttp's own read callback, the process exits when bytes arrive in that
/// state. Reading is therefore enabled without a read callback, as evhttp
/// itself does while it writes a response; the bytes of a next request stay in
/// the buffer.
#include "transport/call_server.h"

#include "base/counter.h"
#include "transport/call_server_internal.h"

#include <arpa/inet.h>
#include <assert.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>

#define CONNECTION_BUCKETS 1024

/// Listen backlog, large enough for bursts of connects after a restart.
#define LISTEN_BACKLOG 1024

#define ALLOWED_METHODS                                                       \
  (EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT        \
   | EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH)

static struct counter slow = COUNTER ("call_server_slow_requests",
                                      "connections closed: request too slow");
static struct counter over_memory
    = COUNTER ("call_server_requests_over_memory",
               "connections closed: too many bytes of requests held");
static struct counter malformed
    = COUNTER ("call_server_malformed_requests",
               "requests refused because of their framing or version");
static struct counter callers_disconnected = COUNTER (
    "call_server_callers_gone", "requests whose caller closed before the end");

/// Hash table of the connections by bufferevent: evhttp cannot attach user
/// data to a connection before its first request.
static struct server_connection *connections[CONNECTION_BUCKETS];
static struct call_server *servers;

static struct server_connection **
find_connection_link (const struct bufferevent *bev)
{
  uintptr_t key = (uintptr_t)bev >> 4;
  struct server_connection **link
      = &connections[(key ^ key >> 10) % CONNECTION_BUCKETS];
  while (*link != NULL && (*link)->bev != bev)
    link = &(*link)->next;
  return link;
}

static struct timeval
ms_to_timeval (uint32_t ms)
{
  return (struct timeval){ (time_t)(ms / 1000),
                           (suseconds_t)(ms % 1000 * 1000) };
}

static void
release_request (struct call_request *request)
{
  request->server->in_progress--;
  request->server->buffered -= request->body_size;
  request->connection->request = NULL;
  talloc_free (request->arena);
}

static void
on_close (struct evhttp_connection *http, void *arg)
{
  struct server_connection *connection = arg;
  struct call_request *request = connection->request;
  event_del (&connection->receive_timer);
  connection->server->buffered -= connection->input_size;
  struct server_connection **link = find_connection_link (connection->bev);
  assert (*link == connection);
  *link = connection->next;
  if (request != NULL)
    {
      struct evhttp_request *detached_request = NULL;
      if (!request->ended)
        {
          /* evhttp detaches a request that has no response yet; ending the
             response then only frees the request. */
          if (evhttp_request_get_connection (request->http) == NULL)
            detached_request = request->http;
          counter_add (&callers_disconnected, 1);
          request->ended = true;
          if (!connection->server->stopping)
            connection->server->ops->disconnected (connection->server->arg,
                                                   request);
        }
      release_request (request);
      if (detached_request != NULL)
        evhttp_send_reply_end (detached_request);
    }
  free (connection);
}

/// Has evhttp close a connection from the event loop, as after a timeout.
static void
close_later (struct server_connection *connection)
{
  bufferevent_trigger_event (connection->bev,
                             BEV_EVENT_READING | BEV_EVENT_TIMEOUT,
                             BEV_OPT_DEFER_CALLBACKS);
}

/// The request did not arrive completely in time.
static void
on_receive_timer (evutil_socket_t fd, short what, void *arg)
{
  struct server_connection *connection = arg;
  counter_add (&slow, 1);
  close_later (connection);
}

static void
start_receive_timer (struct server_connection *connection)
{
  if (evtimer_pending (&connection->receive_timer, NULL))
    return;
  struct timeval delay
      = ms_to_timeval (connection->server->options.receive_ms);
  evtimer_add (&connection->receive_timer, &delay);
}

/// Adds a record for a connection that sent its first byte.
/// @return NULL if memory is exhausted or evhttp does not know the connection
static struct server_connection *
add_connection (struct bufferevent *bev)
{
  void *context;
  bufferevent_getcb (bev, NULL, NULL, NULL, &context);
  struct evhttp_connection *http = context;
  if (http == NULL || evhttp_connection_get_bufferevent (http) != bev)
    return NULL;
  struct call_server *server = servers;
  while (server != NULL && server->http != evhttp_connection_get_server (http))
    server = server->next;
  struct server_connection *connection = calloc (1, sizeof *connection);
  if (server == NULL || connection == NULL)
    {
      free (connection);
      return NULL;
    }
  connection->server = server;
  connection->bev = bev;
  connection->http = http;
  evtimer_assign (&connection->receive_timer, server->base, on_receive_timer,
                  connection);
  *find_connection_link (bev) = connection;
  evhttp_connection_set_closecb (http, on_close, connection);
  int on = 1;
  setsockopt (bufferevent_getfd (bev), IPPROTO_TCP, TCP_NODELAY, &on,
              sizeof on);
  return connection;
}

static void
on_input (struct evbuffer *buffer, const struct evbuffer_cb_info *info,
          void *arg)
{
  struct bufferevent *bev = arg;
  struct server_connection *connection = *find_connection_link (bev);
  if (connection == NULL && info->n_added > 0)
    connection = add_connection (bev);
  if (connection == NULL)
    return;
  struct call_server *server = connection->server;
  size_t size = evbuffer_get_length (buffer);
  server->buffered += size;
  server->buffered -= connection->input_size;
  connection->input_size = size;
  if (info->n_added == 0 || connection->request != NULL)
    return;
  start_receive_timer (connection);
  if (server->buffered > server->options.buffered_max)
    {
      counter_add (&over_memory, 1);
      close_later (connection);
    }
}

static struct bufferevent *
make_bufferevent (struct event_base *base, void *arg)
{
  struct call_server *server = arg;
  struct bufferevent *bev = bufferevent_socket_new (base, -1, 0);
  if (bev == NULL)
    return NULL;
  evbuffer_add_cb (bufferevent_get_input (bev), on_input, bev);
  bufferevent_setwatermark (bev, EV_READ, 0,
                            server->options.body_max
                                + server->options.headers_max + 65536);
  return bev;
}

/// The complete response was handed to the kernel.
static void
on_complete (struct evhttp_request *http, void *arg)
{
  struct call_request *request = arg;
  struct server_connection *connection = request->connection;
  struct timeval idle = ms_to_timeval (request->server->options.idle_ms);
  bufferevent_set_timeouts (connection->bev, &idle, &idle);
  release_request (request);
  if (evbuffer_get_length (bufferevent_get_input (connection->bev)) > 0)
    start_receive_timer (connection);
}

/// Checks that the length of a request is unambiguous; otherwise the next hop
/// could see another end of the request than this server (request smuggling).
/// The request target must be a path.
/// @return 0, or the HTTP status of the rejection
static int
check_framing (struct evhttp_request *http)
{
  struct evkeyvalq *headers = evhttp_request_get_input_headers (http);
  unsigned length_fields = 0;
  unsigned encoding_fields = 0;
  const char *length = NULL;
  const char *transfer_encoding = NULL;
  for (struct evkeyval *header = headers->tqh_first; header != NULL;
       header = header->next.tqe_next)
    {
      if (evutil_ascii_strcasecmp (header->key, "Content-Length") == 0)
        {
          length = header->value;
          length_fields++;
        }
      if (evutil_ascii_strcasecmp (header->key, "Transfer-Encoding") == 0)
        {
          transfer_encoding = header->value;
          encoding_fields++;
        }
    }
  if (length_fields + encoding_fields > 1)
    return 400;
  if (transfer_encoding != NULL
      && evutil_ascii_strcasecmp (transfer_encoding, "chunked") != 0)
    return 501;
  size_t body = evbuffer_get_length (evhttp_request_get_input_buffer (http));
  if (length != NULL && strtoull (length, NULL, 10) != body)
    return 400;
  if (transfer_encoding != NULL && body == 0
      && (evhttp_request_get_command (http)
          & (EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_PATCH))
             == 0)
    return 400; /* evhttp does not read chunked bodies of other methods */
  const char *uri = evhttp_request_get_uri (http);
  return uri[0] == '/' ? 0 : 400;
}

static void
reject (struct evhttp_request *http, int status, const char *message)
{
  counter_add (&malformed, 1);
  struct evkeyvalq *headers = evhttp_request_get_output_headers (http);
  evhttp_add_header (headers, "Connection", "close");
  evhttp_add_header (headers, "Hawthornseam-Outcome", "not-run");
  evhttp_add_header (headers, "Hawthornseam-Reason", "bad-request");
  struct evbuffer *body = evbuffer_new ();
  evbuffer_add_printf (body, "%s\n", message);
  evhttp_send_reply (http, status, NULL, body);
  evbuffer_free (body);
}

static void
on_request (struct evhttp_request *http, void *arg)
{
  struct call_server *server = arg;
  struct bufferevent *bev = evhttp_connection_get_bufferevent (
      evhttp_request_get_connection (http));
  struct server_connection *connection = *find_connection_link (bev);
  if (connection == NULL)
    {
      reject (http, 500, "no memory for the connection");
      return;
    }
  event_del (&connection->receive_timer);
  if (http->major != 1 || http->minor < 1)
    {
      /* HTTP/1.0 has no chunked coding: the caller could not detect a
         truncated response. */
      reject (http, 505, "HTTP/1.1 is required");
      return;
    }
  int status = check_framing (http);
  if (status != 0)
    {
      reject (http, status, "the length of the request is ambiguous");
      return;
    }
  void *arena = talloc_new (NULL);
  struct call_request *request = talloc_zero (arena, struct call_request);
  if (request == NULL)
    {
      reject (http, 503, "no memory for the request");
      return;
    }
  request->server = server;
  request->connection = connection;
  request->http = http;
  request->arena = arena;
  connection->request = request;
  server->in_progress++;
  request->body_size
      = evbuffer_get_length (evhttp_request_get_input_buffer (http));
  server->buffered += request->body_size;
  evhttp_request_set_on_complete_cb (http, on_complete, request);
  bufferevent_event_cb on_event;
  bufferevent_data_cb on_write;
  void *context;
  bufferevent_getcb (bev, NULL, &on_write, &on_event, &context);
  bufferevent_setcb (bev, NULL, on_write, on_event, context);
  struct timeval stall = ms_to_timeval (server->options.idle_ms);
  bufferevent_set_timeouts (bev, NULL, &stall);
  bufferevent_enable (bev, EV_READ);
  server->ops->request (server->arg, request);
}

enum status
call_server_start (struct call_server **started, struct event_base *base,
                   uint32_t address, uint16_t port,
                   const struct call_server_options *options,
                   const struct call_server_ops *ops, void *arg)
{
  struct call_server *server = calloc (1, sizeof *server);
  if (server == NULL)
    return status_set (STATUS_NO_MEMORY, "no memory for the call server");
  server->base = base;
  server->options = *options;
  server->ops = ops;
  server->arg = arg;
  server->http = evhttp_new (base);
  struct sockaddr_in at;
  memset (&at, 0, sizeof at);
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl (address);
  at.sin_port = htons (port);
  struct evconnlistener *listener = evconnlistener_new_bind (
      base, NULL, NULL,
      LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
      LISTEN_BACKLOG, (struct sockaddr *)&at, sizeof at);
  if (listener == NULL)
    {
      evhttp_free (server->http);
      free (server);
      return status_set (STATUS_UNAVAILABLE, "cannot bind call port %u", port);
    }
  server->bound = evhttp_bind_listener (server->http, listener);
  socklen_t size = sizeof at;
  getsockname (evconnlistener_get_fd (listener), (struct sockaddr *)&at,
               &size);
  server->port = ntohs (at.sin_port);
  evhttp_set_max_body_size (server->http, (ev_ssize_t)options->body_max);
  evhttp_set_max_headers_size (server->http, (ev_ssize_t)options->headers_max);
  struct timeval idle = ms_to_timeval (options->idle_ms);
  evhttp_set_timeout_tv (server->http, &idle);
  evhttp_set_allowed_methods (server->http, ALLOWED_METHODS);
  evhttp_set_default_content_type (server->http, NULL);
  evhttp_set_bevcb (server->http, make_bufferevent, server);
  evhttp_set_gencb (server->http, on_request, server);
  server->next = servers;
  servers = server;
  *started = server;
  return STATUS_OK;
}

void
call_server_stop (struct call_server *server)
{
  server->stopping = true;
  struct call_server **link = &servers;
  while (*link != server)
    link = &(*link)->next;
  *link = server->next;
  evhttp_free (server->http);
  free (server);
}

uint16_t
call_server_port (const struct call_server *server)
{
  return server->port;
}

void
call_server_close_listener (struct call_server *server)
{
  if (server->bound == NULL)
    return;
  evhttp_del_accept_socket (server->http, server->bound);
  server->bound = NULL;
}

void
call_server_close_after_response (struct call_server *server)
{
  server->close_after_response = true;
}

size_t
call_server_in_progress (const struct call_server *server)
{
  return server->in_progress;
}
