/// Owns the endpoints, their connections and the exchanges in progress.
#include "transport/http_pool_internal.h"

#include "base/clock.h"
#include "base/counter.h"
#include "transport/timer.h"

#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define SWEEP_MS 500

/// Responses with another id that may precede the expected one; at this number
/// the exchange fails.
#define SKIPPED_RESPONSES_MAX 3

static struct counter opened
    = COUNTER ("http_connections_opened", "connections opened");
static struct counter cancelled_unsent
    = COUNTER ("http_cancelled_unsent",
               "exchanges cancelled before the server's machine had "
               "acknowledged the request");
static struct counter mismatched = COUNTER (
    "http_answers_foreign", "answers dropped because they name another id");
static struct counter late_copies = COUNTER (
    "http_answers_late", "connections closed: response without a request");
static struct counter unsolicited = COUNTER (
    "http_bytes_unasked", "connections closed: bytes without a request");

static struct http_endpoint *
find_endpoint (struct http_pool *pool, uint32_t address, uint16_t port,
               bool create)
{
  struct http_endpoint *endpoint = pool->endpoints;
  while (endpoint != NULL
         && (endpoint->address != address || endpoint->port != port))
    endpoint = endpoint->next;
  if (endpoint != NULL || !create)
    return endpoint;
  endpoint = calloc (1, sizeof *endpoint);
  if (endpoint == NULL)
    return NULL;
  endpoint->address = address;
  endpoint->port = port;
  endpoint->next = pool->endpoints;
  pool->endpoints = endpoint;
  return endpoint;
}

void
http_pool_close_connection (struct http_connection *connection)
{
  struct http_connection **link = &connection->endpoint->first;
  while (*link != connection)
    link = &(*link)->next;
  *link = connection->next;
  connection->pool->connections--;
  if (connection->pool->options.budget != NULL)
    connection->pool->options.budget->descriptors--;
  http_stream_free (connection->stream);
  free (connection->id);
  free (connection);
}

/// Closes the connection of an exchange and reports the end of the exchange
/// from the event loop.
static void
fail_exchange (struct http_exchange *exchange, enum http_end end)
{
  struct http_connection *connection = exchange->connection;
  exchange->connection = NULL;
  exchange->ended = true;
  exchange->end = end;
  event_active (&exchange->timer, EV_TIMEOUT, 0);
  if (connection != NULL)
    http_pool_close_connection (connection);
}

static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  struct http_exchange *exchange = arg;
  if (!exchange->ended)
    {
      fail_exchange (exchange, HTTP_END_NOT_CONNECTED);
      return;
    }
  const struct http_exchange_ops *ops = exchange->ops;
  void *ops_arg = exchange->arg;
  enum http_end end = exchange->end;
  event_del (&exchange->timer);
  http_upload_free (exchange);
  ops->end (ops_arg, end);
}

static void
on_connected (struct http_stream *stream)
{
  struct http_connection *connection = stream->owner;
  connection->established = true;
  struct http_exchange *exchange = connection->exchange;
  if (exchange == NULL)
    return;
  event_del (&exchange->timer);
  if (exchange->upload && exchange->ops->connected != NULL)
    exchange->ops->connected (exchange->arg);
}

void
http_pool_complete (struct http_exchange *exchange)
{
  exchange->connection->exchange = NULL;
  exchange->connection = NULL;
  exchange->ended = true;
  exchange->end = HTTP_END_COMPLETE;
  event_active (&exchange->timer, EV_TIMEOUT, 0);
}

static void
on_head (struct http_stream *stream, struct http_head *head)
{
  struct http_connection *connection = stream->owner;
  struct http_exchange *exchange = connection->exchange;
  if (exchange == NULL)
    {
      /* A second copy of an earlier response. */
      counter_add (&late_copies, 1);
      http_pool_close_connection (connection);
      return;
    }
  const char *header = connection->pool->options.id_header;
  const char *id = header == NULL ? NULL : http_head_find (head, header);
  /* A request without an id does not get a response that names one. A reused
     connection has named the ids of all its responses. */
  if (id != NULL)
    exchange->skipping_response = strcmp (id, connection->id) != 0;
  else
    exchange->skipping_response
        = connection->id[0] != '\0' && connection->echoes_id;
  connection->echoes_id |= id != NULL;
  if (exchange->skipping_response)
    {
      counter_add (&mismatched, 1);
      exchange->skipped_responses++;
      return;
    }
  exchange->head_delivered = true;
  exchange->ops->head (exchange->arg, head);
}

static void
on_body (struct http_stream *stream, const char *data, size_t size)
{
  struct http_connection *connection = stream->owner;
  struct http_exchange *exchange = connection->exchange;
  if (exchange == NULL || exchange->skipping_response)
    return;
  exchange->body_bytes += size;
  if (exchange->body_bytes_max > 0
      && exchange->body_bytes > exchange->body_bytes_max)
    {
      connection->exchange = NULL;
      fail_exchange (exchange, HTTP_END_MALFORMED);
      return;
    }
  exchange->ops->body (exchange->arg, data, size);
}

/// @return time for which the server keeps an idle connection, ms; UINT64_MAX
/// if it does not state one
static uint64_t
server_idle_timeout_ms (const struct http_head *head)
{
  const char *value = http_head_find (head, "Keep-Alive");
  const char *timeout = value == NULL ? NULL : strstr (value, "timeout=");
  if (timeout == NULL)
    return UINT64_MAX;
  return strtoull (timeout + strlen ("timeout="), NULL, 10) * 1000;
}

/// @return true if the connection can carry another exchange: the server keeps
/// it open, no response was skipped and no bytes are left in either direction.
/// A response without an id could be written once more, and nothing would tell
/// it from that to the next request.
static bool
can_reuse (const struct http_connection *connection,
           const struct http_exchange *exchange)
{
  struct http_stream *stream = connection->stream;
  bool compares_id = connection->pool->options.id_header != NULL;
  return (connection->echoes_id || !compares_id) && stream->head->keep_alive
         && exchange->skipped_responses == 0
         && http_stream_unread (stream) == 0
         && evbuffer_get_length (http_stream_output (stream)) == 0;
}

static void
on_complete (struct http_stream *stream)
{
  struct http_connection *connection = stream->owner;
  struct http_exchange *exchange = connection->exchange;
  if (exchange == NULL)
    return;
  if (exchange->skipping_response)
    {
      if (exchange->skipped_responses >= SKIPPED_RESPONSES_MAX
          || !stream->head->keep_alive)
        {
          connection->exchange = NULL;
          fail_exchange (exchange, HTTP_END_MALFORMED);
        }
      else
        http_stream_next (stream);
      return;
    }
  if (exchange->upload
      && (!exchange->body_ended || http_exchange_unsent (exchange) > 0))
    {
      exchange->answered = true;
      exchange->ops->answered (exchange->arg);
      return;
    }
  bool reuse = !exchange->upload && can_reuse (connection, exchange);
  uint64_t idle_ms = server_idle_timeout_ms (stream->head);
  http_pool_complete (exchange);
  if (!reuse)
    {
      http_pool_close_connection (connection);
      return;
    }
  connection->idle_since_ms = clock_monotonic_ms ();
  connection->idle_limit_ms = idle_ms;
  http_stream_next (stream);
  http_stream_resume (stream);
}

static void
on_closed (struct http_stream *stream, enum http_close reason)
{
  struct http_connection *connection = stream->owner;
  struct http_exchange *exchange = connection->exchange;
  if (exchange == NULL)
    {
      if (reason == HTTP_CLOSE_PROTOCOL)
        counter_add (&unsolicited, 1);
      http_pool_close_connection (connection);
      return;
    }
  connection->exchange = NULL;
  enum http_end end = HTTP_END_LOST;
  if (exchange->answered)
    end = HTTP_END_COMPLETE;
  else if (!connection->established)
    end = HTTP_END_NOT_CONNECTED;
  else if (reason == HTTP_CLOSE_PROTOCOL)
    end = HTTP_END_MALFORMED;
  fail_exchange (exchange, end);
}

static const struct http_stream_ops stream_ops = {
  .head = on_head,
  .body = on_body,
  .complete = on_complete,
  .closed = on_closed,
  .drained = http_upload_drained,
  .informational = http_upload_informational,
  .connected = on_connected,
};

static struct http_connection *
open_connection (struct http_pool *pool, struct http_endpoint *endpoint)
{
  struct memory_budget *budget = pool->options.budget;
  if (budget != NULL
      && !memory_budget_has_descriptor (budget, MEMORY_BUDGET_POOLS))
    return NULL;
  struct bufferevent *bev
      = bufferevent_socket_new (pool->base, -1, BEV_OPT_CLOSE_ON_FREE);
  struct http_connection *connection = calloc (1, sizeof *connection);
  if (bev == NULL || connection == NULL)
    {
      if (bev != NULL)
        bufferevent_free (bev);
      free (connection);
      return NULL;
    }
  connection->pool = pool;
  connection->endpoint = endpoint;
  connection->stream
      = http_stream_new (bev, HTTP_RESPONSE, &stream_ops, connection);
  if (connection->stream == NULL)
    {
      free (connection);
      return NULL;
    }
  if (pool->options.head_bytes > 0)
    connection->stream->head_bytes_max = pool->options.head_bytes;
  connection->next = endpoint->first;
  endpoint->first = connection;
  pool->connections++;
  if (budget != NULL)
    budget->descriptors++;
  counter_add (&opened, 1);
  return connection;
}

/// Connects. The exchange must be attached already, because a refused connect
/// may call on_closed from within bufferevent_socket_connect.
static void
start_connect (struct http_connection *connection)
{
  struct sockaddr_in server_address = { .sin_family = AF_INET };
  server_address.sin_addr.s_addr = htonl (connection->endpoint->address);
  server_address.sin_port = htons (connection->endpoint->port);
  timer_start (&connection->exchange->timer,
               connection->pool->options.connect_ms);
  bufferevent_socket_connect (connection->stream->bev,
                              (struct sockaddr *)&server_address,
                              sizeof server_address);
}

/// @param id  of the request, "" for none. A connection whose last request had
///            the same one is not taken: a late copy of that response would
///            pass for the next.
/// @return the most recently used idle connection, or NULL
static struct http_connection *
take_idle (struct http_pool *pool, struct http_endpoint *endpoint,
           uint32_t max_idle_ms, const char *id)
{
  uint64_t now = clock_monotonic_ms ();
  struct http_connection *newest = NULL;
  for (struct http_connection *c = endpoint->first; c != NULL; c = c->next)
    {
      uint64_t idle_ms = now - c->idle_since_ms;
      if (c->exchange != NULL || !c->established || idle_ms > max_idle_ms
          || idle_ms + 500 > c->idle_limit_ms || http_stream_unread (c->stream)
          || c->stream->ended || c->stream->started
          || (id[0] != '\0' && strcmp (c->id, id) == 0))
        continue;
      if (newest == NULL || c->idle_since_ms > newest->idle_since_ms)
        newest = c;
    }
  return newest;
}

struct http_exchange *
http_pool_send (struct http_pool *pool, const struct http_send *send,
                const struct http_exchange_ops *ops, void *arg)
{
  struct http_endpoint *endpoint
      = find_endpoint (pool, send->address, send->port, true);
  struct http_exchange *exchange = calloc (1, sizeof *exchange);
  char *id = strdup (send->id == NULL ? "" : send->id);
  if (endpoint == NULL || exchange == NULL || id == NULL)
    {
      free (id);
      free (exchange);
      return NULL;
    }
  /* What is lost with a connection that the server had closed could not be
     sent again, and an old 100 Continue must not start a body. */
  struct http_connection *connection
      = send->upload ? NULL
                     : take_idle (pool, endpoint, send->max_idle_ms, id);
  bool reused = connection != NULL;
  if (connection == NULL)
    connection = open_connection (pool, endpoint);
  if (connection == NULL)
    {
      free (id);
      free (exchange);
      return NULL;
    }
  exchange->connection = connection;
  exchange->ops = ops;
  exchange->arg = arg;
  exchange->upload = send->upload;
  exchange->chunked = send->chunked;
  exchange->body_bytes_max = send->body_bytes_max;
  free (connection->id);
  connection->id = id;
  evtimer_assign (&exchange->timer, pool->base, on_timer, exchange);
  connection->exchange = exchange;
  connection->stream->check.no_body = send->no_body;
  connection->stream->reads_after_write_error = send->upload;
  if (!send->holds_request || !http_upload_hold (exchange, send->request))
    evbuffer_add_buffer (http_stream_output (connection->stream),
                         send->request);
  if (!reused)
    start_connect (connection);
  return exchange;
}

/// @return true when bytes of the request are still to be sent, or to be
///         acknowledged by the server's machine
static bool
has_unsent_bytes (const struct http_connection *connection)
{
  const struct http_stream *stream = connection->stream;
  return evbuffer_get_length (bufferevent_get_output (stream->bev)) > 0
         || http_socket_unsent (bufferevent_getfd (stream->bev)) > 0;
}

void
http_exchange_cancel (struct http_exchange *exchange)
{
  struct http_connection *connection = exchange->connection;
  event_del (&exchange->timer);
  http_upload_free (exchange);
  if (connection == NULL)
    return;
  connection->exchange = NULL;
  if (has_unsent_bytes (connection))
    {
      counter_add (&cancelled_unsent, 1);
      http_socket_reset_on_close (bufferevent_getfd (connection->stream->bev));
    }
  http_pool_close_connection (connection);
}

size_t
http_exchange_unread (const struct http_exchange *exchange)
{
  if (exchange->connection == NULL)
    return 0;
  const struct http_stream *stream = exchange->connection->stream;
  return http_stream_unread (stream)
         + http_socket_unread (bufferevent_getfd (stream->bev));
}

void
http_exchange_pause (struct http_exchange *exchange)
{
  if (exchange->connection != NULL)
    http_stream_pause (exchange->connection->stream);
}

void
http_exchange_resume (struct http_exchange *exchange)
{
  if (exchange->connection != NULL)
    http_stream_resume (exchange->connection->stream);
}

/// @return true when idle connections are closed at once: a listener waits for
///         descriptors, and its callers for their connections
static bool
gives_way (const struct http_pool *pool)
{
  return pool->options.budget != NULL && pool->options.budget->paused_uses > 0;
}

static void
on_sweep (evutil_socket_t fd, short what, void *arg)
{
  struct http_pool *pool = arg;
  uint64_t now = clock_monotonic_ms ();
  struct http_endpoint **link = &pool->endpoints;
  while (*link != NULL)
    {
      struct http_endpoint *endpoint = *link;
      struct http_connection *next;
      for (struct http_connection *c = endpoint->first; c != NULL; c = next)
        {
          next = c->next;
          if (c->exchange != NULL && c->established)
            http_stream_check_peer (c->stream, now);
          if (c->exchange == NULL
              && (now - c->idle_since_ms > pool->options.idle_ms
                  || gives_way (pool)))
            http_pool_close_connection (c);
        }
      if (endpoint->first != NULL)
        {
          link = &endpoint->next;
          continue;
        }
      *link = endpoint->next;
      free (endpoint);
    }
}

void
http_pool_init (struct http_pool *pool, struct event_base *base,
                const struct http_pool_options *options)
{
  memset (pool, 0, sizeof *pool);
  pool->base = base;
  pool->options = *options;
  event_assign (&pool->sweep, base, -1, EV_PERSIST, on_sweep, pool);
  event_add (&pool->sweep, &(struct timeval){ 0, SWEEP_MS * 1000 });
}

void
http_pool_finish (struct http_pool *pool)
{
  event_del (&pool->sweep);
  while (pool->endpoints != NULL)
    {
      struct http_endpoint *endpoint = pool->endpoints;
      struct http_connection *next;
      pool->endpoints = endpoint->next;
      for (struct http_connection *c = endpoint->first; c != NULL; c = next)
        {
          next = c->next;
          if (c->exchange != NULL)
            c->exchange->connection = NULL;
          http_pool_close_connection (c);
        }
      free (endpoint);
    }
}
