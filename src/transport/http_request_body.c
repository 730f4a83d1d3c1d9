/// Bodies of requests while they are received. A body over the server's limit
/// for buffered ones is streamed: its request is handed over when this is
/// known, and parsing stops while the handler leaves bytes in the buffer.
#include "transport/http_server_internal.h"

#include "base/clock.h"

#include <string.h>
#include <strings.h>

/// Bytes of a streamed body in the buffer at which parsing stops. Up to one
/// read of the same size may follow it.
#define BODY_BUFFER_BYTES (64u * 1024)

/// Maximum number of pipelined requests of a connection in progress.
#define PIPELINE_MAX 8

/// Minimum rate of a body, bytes per second. A hundred uploads that share a
/// link of 10 Mbit/s have 12,500 each.
#define BODY_RATE_MIN 4096u

bool
http_server_ignores_input (const struct http_server_connection *connection)
{
  /* The body of a request that was already answered is still read. */
  const struct http_request *request = connection->receiving_request;
  bool streaming = request != NULL && request->streamed;
  return connection->closing || connection->rejected != 0
         || (connection->last_response && !streaming);
}

/// Holds back the response to a request that arrived behind others, and the
/// oldest one if nothing of it was sent.
/// @return false without memory
static bool
hold_responses (struct http_server_connection *connection,
                struct http_request *later)
{
  struct http_request *oldest = connection->request;
  later->output = evbuffer_new ();
  if (oldest->output == NULL && oldest->status == 0)
    oldest->output = evbuffer_new ();
  return later->output != NULL
         && (oldest->output != NULL || oldest->status != 0);
}

bool
http_server_append (struct http_server_connection *connection,
                    struct http_request *request)
{
  struct http_request **last = &connection->request;
  while (*last != NULL)
    last = &(*last)->next;
  if (last != &connection->request && !hold_responses (connection, request))
    return false;
  *last = request;
  connection->pending++;
  connection->server->in_progress++;
  request->received_us = clock_monotonic_us ();
  return true;
}

void
http_server_read_next (struct http_server_connection *connection)
{
  const struct http_request *request = connection->request;
  while (request->next != NULL)
    request = request->next;
  if (request->head->keep_alive && connection->pending < PIPELINE_MAX)
    http_stream_next (connection->stream);
}

static void
send_continue (struct http_request *request)
{
  request->expects_continue = false;
  evbuffer_add_printf (http_stream_output (request->connection->stream),
                       "HTTP/1.1 100 Continue\r\n\r\n");
}

/// Starts to stream the body of the request that is being received.
static void
start_stream (struct http_server_connection *connection)
{
  struct http_request *request = connection->receiving_request;
  if (!http_server_append (connection, request))
    {
      http_server_reject (connection, 503);
      return;
    }
  request->streamed = true;
  request->body_open = true;
}

void
http_body_begin (struct http_server_connection *connection)
{
  struct http_request *request = connection->receiving_request;
  const struct http_head *head = request->head;
  const struct http_server_limits *limits = &connection->server->limits;
  const char *expect = http_head_find (head, "Expect");
  request->expects_continue
      = expect != NULL && strcasecmp (expect, "100-continue") == 0;
  if (limits->stream_bytes > 0
      && (head->length > limits->stream_bytes
          || (head->chunked && limits->streams_chunked)))
    start_stream (connection);
  else if (request->expects_continue)
    send_continue (request);
}

void
http_body_add (struct http_server_connection *connection, const char *data,
               size_t size)
{
  struct http_request *request = connection->receiving_request;
  uint64_t stream_bytes = connection->server->limits.stream_bytes;
  evbuffer_add (request->body, data, size);
  request->received += size;
  if (!request->streamed && stream_bytes > 0
      && request->received > stream_bytes)
    start_stream (connection);
  if (request == connection->receiving_request && request->streamed
      && evbuffer_get_length (request->body) >= BODY_BUFFER_BYTES)
    http_stream_pause (connection->stream);
}

void
http_body_complete (struct http_server_connection *connection)
{
  struct http_request *request = connection->receiving_request;
  connection->receiving_request = NULL;
  connection->served = true;
  request->body_complete = true;
  http_server_read_next (connection);
  http_body_deliver (connection);
}

void
http_body_deliver (struct http_server_connection *connection)
{
  struct http_server *server = connection->server;
  struct http_request *request = connection->request;
  if (request == NULL || !request->streamed)
    return;
  if (!request->handed_over)
    http_server_hand_over (connection);
  else if (request->body_open && !connection->handing_over)
    server->ops->body (server->arg, request);
}

void
http_request_read_body (struct http_request *request)
{
  if (!request->body_open)
    return;
  request->body_read = true;
  if (request->expects_continue && !http_reply_is_begun (request))
    send_continue (request);
  if (evbuffer_get_length (request->body) < BODY_BUFFER_BYTES)
    http_stream_resume (request->connection->stream);
}

void
http_request_close_body (struct http_request *request)
{
  struct http_server_connection *connection = request->connection;
  if (!request->body_open)
    return;
  request->body_open = false;
  evbuffer_drain (request->body, evbuffer_get_length (request->body));
  if (!request->body_complete)
    {
      request->head->keep_alive = false;
      connection->receiving_request = NULL;
      connection->last_response = true;
      http_stream_discard (connection->stream);
    }
  http_stream_resume (connection->stream);
  if (request->response_complete && connection->request == request)
    http_server_send_finished (connection);
}

/// Removes the newest request from those in progress.
static void
remove_last (struct http_server_connection *connection)
{
  struct http_request **last = &connection->request;
  while ((*last)->next != NULL)
    last = &(*last)->next;
  *last = NULL;
  connection->pending--;
  connection->server->in_progress--;
}

void
http_body_withdraw (struct http_server_connection *connection, unsigned status)
{
  struct http_server *server = connection->server;
  struct http_request *request = connection->receiving_request;
  if (request == NULL)
    return;
  connection->receiving_request = NULL;
  if (request->streamed)
    remove_last (connection);
  if (request->streamed && request->handed_over)
    {
      /* These statuses say that the request has not run, which is certain only
         before the handler has asked for the body. */
      bool says_not_run = status == 503 || status == 408;
      connection->cut = (says_not_run && request->body_read)
                        || http_reply_is_begun (request);
      server->ops->disconnected (server->arg, request);
    }
  http_server_free_request (request);
}

bool
http_body_is_too_slow (struct http_server_connection *connection,
                       uint64_t now_ms)
{
  uint32_t limit_ms = connection->server->limits.receive_ms;
  if (!connection->stream->started || http_server_ignores_input (connection))
    return false;
  if (connection->message_start_ms == 0)
    connection->message_start_ms = now_ms;
  const struct http_request *request = connection->receiving_request;
  if (request == NULL)
    return now_ms - connection->message_start_ms > limit_ms;
  /* While this side does not read, the caller is not slow. */
  bool waited_for = connection->stream->paused
                    || (request->streamed && request->expects_continue);
  if (waited_for)
    {
      connection->window_start_ms = 0;
      return false;
    }
  uint64_t size = request->received;
  bool ends = connection->window_start_ms != 0
              && now_ms - connection->window_start_ms > limit_ms;
  bool below = ends
               && (size - connection->window_size) * 1000ull
                      < (uint64_t)BODY_RATE_MIN * limit_ms;
  if (ends || connection->window_start_ms == 0)
    {
      connection->window_start_ms = now_ms;
      connection->window_size = size;
    }
  return below;
}
