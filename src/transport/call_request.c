/// Access to one request in progress and to its response. Holds no state.
#include "transport/call_server_internal.h"

#include "base/counter.h"

#include <assert.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

static struct counter responses_aborted
    = COUNTER ("call_server_answers_aborted",
               "answers cut off by closing the connection");

/// evhttp callback: all bytes written have been handed to the kernel.
static void
on_write_complete (struct evhttp_connection *http, void *arg)
{
  struct call_request *request = arg;
  if (!request->ended)
    request->server->ops->writable (request->server->arg, request);
}

void
call_request_set_context (struct call_request *request, void *context)
{
  request->context = context;
}

void *
call_request_context (const struct call_request *request)
{
  return request->context;
}

enum evhttp_cmd_type
call_request_method (const struct call_request *request)
{
  return evhttp_request_get_command (request->http);
}

const char *
call_request_method_name (const struct call_request *request)
{
  switch (evhttp_request_get_command (request->http))
    {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_HEAD:
      return "HEAD";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    case EVHTTP_REQ_OPTIONS:
      return "OPTIONS";
    case EVHTTP_REQ_PATCH:
      return "PATCH";
    default:
      return "OTHER";
    }
}

const char *
call_request_uri (const struct call_request *request)
{
  return evhttp_request_get_uri (request->http);
}

const struct evkeyvalq *
call_request_headers (const struct call_request *request)
{
  return evhttp_request_get_input_headers (request->http);
}

const char *
call_request_header (const struct call_request *request, const char *name)
{
  return evhttp_find_header (call_request_headers (request), name);
}

bool
call_request_is_from (const struct call_request *request, uint32_t address)
{
  struct sockaddr_in from;
  memset (&from, 0, sizeof from);
  socklen_t size = sizeof from;
  if (getpeername (bufferevent_getfd (request->connection->bev),
                   (struct sockaddr *)&from, &size)
          != 0
      || from.sin_family != AF_INET)
    return false;
  uint32_t peer = ntohl (from.sin_addr.s_addr);
  return peer >> 24 == 127 || peer == address;
}

struct evbuffer *
call_request_body (const struct call_request *request)
{
  return evhttp_request_get_input_buffer (request->http);
}

struct evkeyvalq *
call_request_response_headers (struct call_request *request)
{
  return evhttp_request_get_output_headers (request->http);
}

static void
add_connection_header (struct call_request *request)
{
  if (request->server->close_after_response)
    evhttp_add_header (call_request_response_headers (request), "Connection",
                       "close");
}

void
call_request_start (struct call_request *request, int status,
                    const char *reason)
{
  assert (!request->ended);
  add_connection_header (request);
  evhttp_send_reply_start (request->http, status, reason);
}

void
call_request_write (struct call_request *request, struct evbuffer *data)
{
  assert (!request->ended);
  evhttp_send_reply_chunk_with_cb (request->http, data, on_write_complete,
                                   request);
}

size_t
call_request_buffered (const struct call_request *request)
{
  return evbuffer_get_length (
      bufferevent_get_output (request->connection->bev));
}

void
call_request_end (struct call_request *request)
{
  assert (!request->ended);
  request->ended = true;
  evhttp_send_reply_end (request->http);
}

void
call_request_reply (struct call_request *request, int status,
                    const void *body_bytes, size_t size)
{
  assert (!request->ended);
  request->ended = true;
  add_connection_header (request);
  struct evbuffer *body = evbuffer_new ();
  evbuffer_add (body, body_bytes, size);
  evhttp_send_reply (request->http, status, NULL, body);
  evbuffer_free (body);
}

void
call_request_abort (struct call_request *request)
{
  assert (!request->ended);
  request->ended = true;
  counter_add (&responses_aborted, 1);
  struct linger reset = { .l_onoff = 1, .l_linger = 0 };
  struct server_connection *connection = request->connection;
  setsockopt (bufferevent_getfd (connection->bev), SOL_SOCKET, SO_LINGER,
              &reset, sizeof reset);
  evhttp_connection_free (connection->http); /* calls on_close */
}
