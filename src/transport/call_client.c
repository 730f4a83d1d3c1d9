/// Owns the exchanges; the connections are in call_pool.c.
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
  const struct call_exchange_ops *ops; ///< NULL after a cancel
  void *arg;
  struct event timer; ///< timeouts, and the delivery of the end
  enum call_end_kind end;
  bool over;     ///< `end` is set, delivery is due
  bool sent;     ///< a byte of the request was handed to the kernel
  bool answered; ///< headers were passed on
  bool paused;
  bool fresh; ///< the connection was opened for this exchange
  uint64_t headers_by_ms;
  uint64_t progress_ms; ///< last byte of the body, or last resume
};

static void
arm (struct call_exchange *exchange, uint64_t ms)
{
  struct timeval delay
      = { (time_t)(ms / 1000), (suseconds_t)(ms % 1000 * 1000) };
  evtimer_add (&exchange->timer, &delay);
}

/// Sets the end and leaves its delivery to the loop, because evhttp uses the
/// connection until its callbacks have returned.
static void
end_exchange (struct call_exchange *exchange, enum call_end_kind end)
{
  if (exchange->over)
    return;
  exchange->over = true;
  exchange->end = end;
  event_active (&exchange->timer, EV_TIMEOUT, 1);
}

/// A kept connection must hold no bytes: what is left after a whole answer
/// would be read as the answer to the next request.
static void
deliver_end (struct call_exchange *exchange)
{
  struct call_client *client = exchange->client;
  struct call_connection *connection = exchange->connection;
  event_del (&exchange->timer);
  connection->exchange = NULL;
  bool keep
      = exchange->ops != NULL && exchange->end == CALL_EXCHANGE_COMPLETE
        && bufferevent_getfd (connection->bev) != -1
        && evbuffer_get_length (bufferevent_get_input (connection->bev)) == 0;
  if (keep)
    {
      call_pool_keep (connection);
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
  if (exchange->over)
    {
      deliver_end (exchange);
      return;
    }
  uint64_t now = clock_monotonic_ms ();
  uint64_t by = exchange->answered ? exchange->progress_ms
                                         + exchange->client->options.stall_ms
                                   : exchange->headers_by_ms;
  if (!exchange->sent)
    end_exchange (exchange, CALL_EXCHANGE_NOT_CONNECTED);
  else if (exchange->paused)
    arm (exchange, exchange->client->options.stall_ms);
  else if (now >= by)
    end_exchange (exchange, CALL_EXCHANGE_TIMED_OUT);
  else
    arm (exchange, by - now);
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
  /* A chunk that does not fit would stop the reading for ever. */
  if (evbuffer_get_length (buffer) >= CALL_POOL_INPUT_MAX && !exchange->over)
    {
      counter_add (&unframed, 1);
      end_exchange (exchange, CALL_EXCHANGE_UNFRAMED);
    }
}

/// @return true when the end of an answer can be told from a lost connection
static bool
is_framed (struct evhttp_request *answer, enum evhttp_cmd_type method)
{
  struct evkeyvalq *headers = evhttp_request_get_input_headers (answer);
  int status = evhttp_request_get_response_code (answer);
  const char *coding = evhttp_find_header (headers, "Transfer-Encoding");
  if (coding != NULL)
    return evutil_ascii_strcasecmp (coding, "chunked") == 0;
  if (status == 204 || status == 304 || method == EVHTTP_REQ_HEAD)
    return true;
  unsigned lengths = 0;
  struct evkeyval *header;
  for (header = headers->tqh_first; header != NULL;
       header = header->next.tqe_next)
    lengths += evutil_ascii_strcasecmp (header->key, "Content-Length") == 0;
  return lengths == 1;
}

static int
on_headers (struct evhttp_request *answer, void *arg)
{
  struct call_exchange *exchange = arg;
  if (exchange->over)
    return -1;
  int status = evhttp_request_get_response_code (answer);
  if (status < 200)
    return 0;
  if (!is_framed (answer, evhttp_request_get_command (answer)))
    {
      counter_add (&unframed, 1);
      end_exchange (exchange, CALL_EXCHANGE_UNFRAMED);
      return -1;
    }
  exchange->answered = true;
  exchange->progress_ms = clock_monotonic_ms ();
  exchange->ops->headers (exchange->arg, exchange, status,
                          evhttp_request_get_response_code_line (answer),
                          evhttp_request_get_input_headers (answer));
  return exchange->over ? -1 : 0;
}

static void
on_data (struct evhttp_request *answer, void *arg)
{
  struct call_exchange *exchange = arg;
  if (exchange->over)
    return;
  exchange->progress_ms = clock_monotonic_ms ();
  exchange->ops->data (exchange->arg, exchange,
                       evhttp_request_get_input_buffer (answer));
}

/// evhttp passes NULL for a failure after the connection was established, and
/// a request without a status for one before.
static void
on_done (struct evhttp_request *answer, void *arg)
{
  struct call_exchange *exchange = arg;
  if (answer != NULL && evhttp_request_get_response_code (answer) != 0
      && exchange->answered)
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
call_exchange_is_fresh (const struct call_exchange *exchange)
{
  return exchange->fresh;
}

struct call_exchange *
call_client_send (struct call_client *client, const struct call_send *send,
                  const struct call_exchange_ops *ops, void *arg)
{
  struct call_exchange *exchange = calloc (1, sizeof *exchange);
  if (exchange == NULL)
    return NULL;
  struct evhttp_request *request = build_request (exchange, send);
  bool fresh = false;
  struct call_connection *connection
      = request == NULL ? NULL
                        : call_pool_take (client, send->address, send->port,
                                          send->max_idle_ms, &fresh);
  if (connection == NULL)
    {
      if (request != NULL)
        evhttp_request_free (request);
      free (exchange);
      return NULL;
    }
  assert (connection->exchange == NULL);
  connection->exchange = exchange;
  exchange->fresh = fresh;
  exchange->client = client;
  exchange->connection = connection;
  exchange->ops = ops;
  exchange->arg = arg;
  exchange->headers_by_ms = clock_monotonic_ms () + send->headers_ms;
  evtimer_assign (&exchange->timer, client->base, on_timer, exchange);
  uint32_t first = send->headers_ms;
  if (fresh && client->options.connect_ms < first)
    first = client->options.connect_ms;
  arm (exchange, first);
  if (evhttp_make_request (connection->http, request, send->method, send->uri)
      != 0)
    end_exchange (exchange, CALL_EXCHANGE_NOT_CONNECTED);
  /* Small requests must not wait for the acknowledgement of earlier ones. */
  int on = 1;
  evutil_socket_t fd = bufferevent_getfd (connection->bev);
  if (fresh && fd != -1)
    setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return exchange;
}

void
call_exchange_pause (struct call_exchange *exchange)
{
  if (exchange->paused || exchange->over)
    return;
  exchange->paused = true;
  bufferevent_disable (exchange->connection->bev, EV_READ);
}

void
call_exchange_resume (struct call_exchange *exchange)
{
  if (!exchange->paused || exchange->over)
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
  exchange->over = true;
  event_active (&exchange->timer, EV_TIMEOUT, 1);
}

void
call_exchange_drop (struct call_exchange *exchange)
{
  event_del (&exchange->timer);
  free (exchange);
}
