/// Owns the exchanges; call_pool.c owns the connections.
#include "transport/call_client.h"

#include "base/clock.h"
#include "base/counter.h"
#include "transport/call_pool.h"

#include <assert.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

static struct counter failed
    = COUNTER ("call_client_exchanges_failed",
               "exchanges that failed or timed out; connection closed");
static struct counter unframed
    = COUNTER ("call_client_answers_unframed",
               "answers refused because their end cannot be verified");

struct call_exchange
{
  struct call_client *client;
  struct call_connection *connection;
  const struct call_exchange_ops *ops; ///< NULL once cancelled
  void *arg;
  struct event timer; ///< timeouts, and deferred call of `done`
  enum call_exchange_end end;
  bool ended;            ///< `end` is set, `done` has still to be called
  bool sent;             ///< a byte of the request was handed to the kernel
  bool headers_received; ///< the headers callback was called
  bool paused;
  bool new_connection; ///< the connection was opened for this exchange
  bool closes;         ///< the connection is not kept after it
  uint64_t headers_deadline_ms;
  uint64_t progress_ms; ///< time of the last body byte or resume
};

static void
start_timer (struct call_exchange *exchange, uint64_t ms)
{
  struct timeval delay
      = { (time_t)(ms / 1000), (suseconds_t)(ms % 1000 * 1000) };
  evtimer_add (&exchange->timer, &delay);
}

/// Records how the exchange ended and defers the call of `done` to the event
/// loop, because evhttp uses the connection until its callbacks have returned.
static void
end_exchange (struct call_exchange *exchange, enum call_exchange_end end)
{
  if (exchange->ended)
    return;
  exchange->ended = true;
  exchange->end = end;
  event_active (&exchange->timer, EV_TIMEOUT, 1);
}

/// Returns the connection to the pool or closes it, then calls `done`. A
/// connection with unread input must not be reused: the bytes left after a
/// complete response would be read as the response to the next request.
static void
finish_exchange (struct call_exchange *exchange)
{
  struct call_client *client = exchange->client;
  struct call_connection *connection = exchange->connection;
  event_del (&exchange->timer);
  connection->exchange = NULL;
  bool keep
      = exchange->ops != NULL && exchange->end == CALL_EXCHANGE_COMPLETE
        && !exchange->closes && bufferevent_getfd (connection->bev) != -1
        && evbuffer_get_length (bufferevent_get_input (connection->bev)) == 0;
  if (keep)
    {
      call_pool_release (connection);
    }
  else
    call_pool_close (client, connection);
  if (exchange->ops != NULL)
    {
      if (exchange->end != CALL_EXCHANGE_COMPLETE)
        counter_add (&failed, 1);
      exchange->ops->done (exchange->arg, exchange, exchange->end);
    }
  free (exchange);
}

static void
on_timer (evutil_socket_t fd, short what, void *arg)
{
  struct call_exchange *exchange = arg;
  if (exchange->ended)
    {
      finish_exchange (exchange);
      return;
    }
  uint64_t now = clock_monotonic_ms ();
  uint64_t deadline
      = exchange->headers_received
            ? exchange->progress_ms + exchange->client->options.stall_ms
            : exchange->headers_deadline_ms;
  if (!exchange->sent)
    end_exchange (exchange, CALL_EXCHANGE_NOT_CONNECTED);
  else if (exchange->paused)
    start_timer (exchange, exchange->client->options.stall_ms);
  else if (now >= deadline)
    end_exchange (exchange, CALL_EXCHANGE_TIMED_OUT);
  else
    start_timer (exchange, deadline - now);
}

void
call_exchange_on_output (struct evbuffer *buffer,
                         const struct evbuffer_cb_info *info, void *arg)
{
  struct call_connection *connection = arg;
  if (info->n_deleted > 0 && connection->exchange != NULL)
    connection->exchange->sent = true;
}

void
call_exchange_on_input (struct evbuffer *buffer,
                        const struct evbuffer_cb_info *info, void *arg)
{
  struct call_connection *connection = arg;
  struct call_exchange *exchange = connection->exchange;
  if (exchange == NULL || info->n_added == 0)
    return;
  /* Reading stops at the high watermark, so a chunk that does not fit would
     never be completed. */
  if (evbuffer_get_length (buffer) >= CALL_POOL_INPUT_MAX && !exchange->ended)
    {
      counter_add (&unframed, 1);
      end_exchange (exchange, CALL_EXCHANGE_UNFRAMED);
    }
}

void
call_exchange_on_malformed (void *arg)
{
  struct call_connection *connection = arg;
  if (connection->exchange != NULL)
    end_exchange (connection->exchange, CALL_EXCHANGE_LOST);
}

/// @return true if the end of the response can be distinguished from a closed
/// connection
static bool
has_verifiable_end (struct evhttp_request *response,
                    enum evhttp_cmd_type method)
{
  struct evkeyvalq *headers = evhttp_request_get_input_headers (response);
  int status = evhttp_request_get_response_code (response);
  const char *transfer_encoding
      = evhttp_find_header (headers, "Transfer-Encoding");
  if (transfer_encoding != NULL)
    return evutil_ascii_strcasecmp (transfer_encoding, "chunked") == 0;
  if (status == 204 || status == 304 || method == EVHTTP_REQ_HEAD)
    return true;
  unsigned length_fields = 0;
  struct evkeyval *header;
  for (header = headers->tqh_first; header != NULL;
       header = header->next.tqe_next)
    length_fields
        += evutil_ascii_strcasecmp (header->key, "Content-Length") == 0;
  return length_fields == 1;
}

static int
on_headers (struct evhttp_request *response, void *arg)
{
  struct call_exchange *exchange = arg;
  if (exchange->ended)
    return -1;
  int status = evhttp_request_get_response_code (response);
  if (status < 200)
    return 0;
  if (!has_verifiable_end (response, evhttp_request_get_command (response)))
    {
      counter_add (&unframed, 1);
      end_exchange (exchange, CALL_EXCHANGE_UNFRAMED);
      return -1;
    }
  exchange->headers_received = true;
  exchange->progress_ms = clock_monotonic_ms ();
  exchange->ops->headers (exchange->arg, exchange, status,
                          evhttp_request_get_response_code_line (response),
                          evhttp_request_get_input_headers (response));
  return exchange->ended ? -1 : 0;
}

static void
on_data (struct evhttp_request *response, void *arg)
{
  struct call_exchange *exchange = arg;
  if (exchange->ended)
    return;
  exchange->progress_ms = clock_monotonic_ms ();
  exchange->ops->data (exchange->arg, exchange,
                       evhttp_request_get_input_buffer (response));
}

/// evhttp passes NULL if the exchange failed after the connection was
/// established, and a request with status 0 if it failed before.
static void
on_done (struct evhttp_request *response, void *arg)
{
  struct call_exchange *exchange = arg;
  if (response != NULL && evhttp_request_get_response_code (response) != 0
      && exchange->headers_received)
    end_exchange (exchange, CALL_EXCHANGE_COMPLETE);
  else if (!exchange->sent)
    end_exchange (exchange, CALL_EXCHANGE_NOT_CONNECTED);
  else
    end_exchange (exchange, CALL_EXCHANGE_LOST);
}

static struct evhttp_request *
build_request (struct call_exchange *exchange, const struct call_send *send)
{
  struct evhttp_request *request = evhttp_request_new (on_done, exchange);
  if (request == NULL)
    return NULL;
  evhttp_request_set_header_cb (request, on_headers);
  evhttp_request_set_chunked_cb (request, on_data);
  struct evkeyvalq *output = evhttp_request_get_output_headers (request);
  for (struct evkeyval *header = send->headers->tqh_first; header != NULL;
       header = header->next.tqe_next)
    evhttp_add_header (output, header->key, header->value);
  if (send->body != NULL && evbuffer_get_length (send->body) > 0)
    {
      char length[24];
      snprintf (length, sizeof length, "%zu",
                evbuffer_get_length (send->body));
      evhttp_add_header (output, "Content-Length", length);
      evbuffer_add_buffer_reference (
          evhttp_request_get_output_buffer (request), send->body);
    }
  return request;
}

bool
call_exchange_uses_new_connection (const struct call_exchange *exchange)
{
  return exchange->new_connection;
}

struct call_exchange *
call_client_send (struct call_client *client, const struct call_send *send,
                  const struct call_exchange_ops *ops, void *arg)
{
  struct call_exchange *exchange = calloc (1, sizeof *exchange);
  if (exchange == NULL)
    return NULL;
  struct evhttp_request *request = build_request (exchange, send);
  bool new_connection = false;
  struct call_connection *connection
      = request == NULL
            ? NULL
            : call_pool_acquire (client, send->address, send->port,
                                 send->max_idle_ms, &new_connection);
  if (connection == NULL)
    {
      if (request != NULL)
        evhttp_request_free (request);
      free (exchange);
      return NULL;
    }
  assert (connection->exchange == NULL);
  connection->exchange = exchange;
  exchange->new_connection = new_connection;
  exchange->client = client;
  exchange->connection = connection;
  exchange->ops = ops;
  exchange->arg = arg;
  exchange->headers_deadline_ms = clock_monotonic_ms () + send->headers_ms;
  evtimer_assign (&exchange->timer, client->base, on_timer, exchange);
  uint32_t timeout_ms = send->headers_ms;
  if (new_connection && client->options.connect_ms < timeout_ms)
    timeout_ms = client->options.connect_ms;
  start_timer (exchange, timeout_ms);
  http_response_guard_next (&connection->guard,
                            send->method == EVHTTP_REQ_HEAD);
  if (evhttp_make_request (connection->http, request, send->method, send->uri)
      != 0)
    end_exchange (exchange, CALL_EXCHANGE_NOT_CONNECTED);
  /* Without Nagle's algorithm, so that small requests do not wait for the
     acknowledgement of earlier ones. */
  int on = 1;
  evutil_socket_t fd = bufferevent_getfd (connection->bev);
  if (new_connection && fd != -1)
    setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return exchange;
}

void
call_exchange_close_after (struct call_exchange *exchange)
{
  exchange->closes = true;
}

void
call_exchange_pause (struct call_exchange *exchange)
{
  if (exchange->paused || exchange->ended)
    return;
  exchange->paused = true;
  bufferevent_disable (exchange->connection->bev, EV_READ);
}

void
call_exchange_resume (struct call_exchange *exchange)
{
  if (!exchange->paused || exchange->ended)
    return;
  exchange->paused = false;
  exchange->progress_ms = clock_monotonic_ms ();
  bufferevent_enable (exchange->connection->bev, EV_READ);
}

void
call_exchange_cancel (struct call_exchange *exchange)
{
  assert (exchange->ops != NULL);
  exchange->ops = NULL;
  bufferevent_disable (exchange->connection->bev, EV_READ | EV_WRITE);
  exchange->ended = true;
  event_active (&exchange->timer, EV_TIMEOUT, 1);
}

void
call_exchange_free (struct call_exchange *exchange)
{
  event_del (&exchange->timer);
  free (exchange);
}
