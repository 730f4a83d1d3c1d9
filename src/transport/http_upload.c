/// Owns no state; sends the bodies of uploads on their connections.
#include "transport/http_pool_internal.h"

#include <stdlib.h>

bool
http_upload_hold (struct http_exchange *exchange, struct evbuffer *request)
{
  exchange->held = evbuffer_new ();
  return exchange->held != NULL
         && evbuffer_add_buffer (exchange->held, request) == 0;
}

void
http_upload_free (struct http_exchange *exchange)
{
  if (exchange->held != NULL)
    evbuffer_free (exchange->held);
  free (exchange);
}

/// @return the buffer for bytes of the body, behind the request
static struct evbuffer *
body_output (struct http_exchange *exchange)
{
  struct evbuffer *output = http_stream_output (exchange->connection->stream);
  if (exchange->held != NULL)
    {
      evbuffer_add_buffer (output, exchange->held);
      evbuffer_free (exchange->held);
      exchange->held = NULL;
    }
  return output;
}

void
http_upload_informational (struct http_stream *stream, unsigned status)
{
  struct http_connection *connection = stream->owner;
  struct http_exchange *exchange = connection->exchange;
  if (exchange != NULL && exchange->upload && status == 100
      && exchange->ops->proceed != NULL)
    exchange->ops->proceed (exchange->arg);
}

/// Ends an upload whose response is complete when its body is sent too.
static void
end_answered_upload (struct http_exchange *exchange)
{
  struct http_connection *connection = exchange->connection;
  if (connection == NULL || !exchange->answered || !exchange->body_ended
      || http_exchange_unsent (exchange) > 0)
    return;
  http_pool_complete (exchange);
  http_pool_close_connection (connection);
}

void
http_upload_drained (struct http_stream *stream)
{
  struct http_connection *connection = stream->owner;
  struct http_exchange *exchange = connection->exchange;
  if (exchange == NULL || !exchange->upload)
    return;
  if (exchange->body_ended)
    end_answered_upload (exchange);
  else
    exchange->ops->sent (exchange->arg);
}

void
http_exchange_write (struct http_exchange *exchange, struct evbuffer *data,
                     size_t size)
{
  if (exchange->connection == NULL || size == 0)
    return;
  struct evbuffer *output = body_output (exchange);
  if (exchange->chunked)
    evbuffer_add_printf (output, "%zx\r\n", size);
  evbuffer_remove_buffer (data, output, size);
  if (exchange->chunked)
    evbuffer_add (output, "\r\n", 2);
}

void
http_exchange_end_body (struct http_exchange *exchange)
{
  if (exchange->connection == NULL)
    return;
  exchange->body_ended = true;
  struct evbuffer *output = body_output (exchange);
  if (exchange->chunked)
    evbuffer_add (output, "0\r\n\r\n", 5);
  end_answered_upload (exchange);
}

size_t
http_exchange_unsent (const struct http_exchange *exchange)
{
  if (exchange->connection == NULL)
    return SIZE_MAX;
  return evbuffer_get_length (
      http_stream_output (exchange->connection->stream));
}
