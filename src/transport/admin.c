/// Owns the listener and the connections of the operators' interface.
#include "transport/admin.h"

#include "base/counter.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/listener.h>
#include <evhtp/evhtp.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

/// An answer waits for the store, which may need several attempts; idle
/// connections are closed after the same time.
#define TIMEOUT_S 120

struct connection
{
  struct connection *next;
  struct connection **place; ///< pointer that leads to this connection
  evhtp_connection_t *http;
};

struct admin_server
{
  evhtp_t *http;
  const struct admin_route *routes;
  size_t route_count;
  void *arg;
  uint16_t port;
  struct connection *connections;
};

struct admin_request
{
  evhtp_request_t *http; ///< NULL when the client has gone
  char *segment;
  char *body;
  size_t body_size;
  char **texts; ///< copied headers and parameters: name, value, ..., NULL
  size_t text_count;
};

static struct counter requests = COUNTER (
    "admin_requests", "Requests to the operators' interface that had a route");
static struct counter unknown_requests
    = COUNTER ("admin_requests_unknown",
               "Requests to the operators' interface without a route");

static evhtp_res
connection_gone (evhtp_connection_t *http, void *arg)
{
  struct connection *connection = arg;
  *connection->place = connection->next;
  if (connection->next != NULL)
    connection->next->place = connection->place;
  talloc_free (connection);
  return EVHTP_RES_OK;
}

static evhtp_res
connection_accepted (evhtp_connection_t *http, void *arg)
{
  struct admin_server *server = arg;
  struct connection *connection = talloc_zero (server, struct connection);
  if (connection == NULL)
    return EVHTP_RES_ERROR;
  connection->http = http;
  connection->next = server->connections;
  connection->place = &server->connections;
  if (connection->next != NULL)
    connection->next->place = &connection->next;
  server->connections = connection;
  evhtp_connection_set_hook (http, evhtp_hook_on_connection_fini,
                             (evhtp_hook)connection_gone, connection);
  return EVHTP_RES_OK;
}

static evhtp_res
request_gone (evhtp_request_t *http, void *arg)
{
  struct admin_request *request = arg;
  request->http = NULL;
  return EVHTP_RES_OK;
}

/// Copies one header or parameter; the originals end with the connection.
static int
copy_text (evhtp_kv_t *pair, void *arg)
{
  struct admin_request *request = arg;
  if (pair->key == NULL)
    return 0;
  char **grown = talloc_realloc (request, request->texts, char *,
                                 request->text_count + 2);
  if (grown == NULL)
    return -1;
  request->texts = grown;
  grown[request->text_count++]
      = talloc_strndup (request, pair->key, pair->klen);
  grown[request->text_count++]
      = talloc_strndup (request, pair->val == NULL ? "" : pair->val,
                        pair->val == NULL ? 0 : pair->vlen);
  return 0;
}

/// Matches a path with a route; "*" takes one segment that is not empty.
static bool
path_matches (const char *pattern, const char *path, const char **segment,
              size_t *size)
{
  const char *star = strchr (pattern, '*');
  *size = 0;
  if (star == NULL)
    return strcmp (pattern, path) == 0;
  size_t before = (size_t)(star - pattern);
  if (strncmp (pattern, path, before) != 0)
    return false;
  *segment = path + before;
  *size = strcspn (*segment, "/");
  return *size > 0 && strcmp (star + 1, *segment + *size) == 0;
}

static const char *
method_name (evhtp_request_t *http)
{
  switch (evhtp_request_get_method (http))
    {
    case htp_method_GET:
      return "GET";
    case htp_method_POST:
      return "POST";
    default:
      return "";
    }
}

static void
reply_now (evhtp_request_t *http, int code, const char *content_type,
           const void *body, size_t size)
{
  evhtp_headers_add_header (
      http->headers_out,
      evhtp_header_new ("Content-Type", content_type, 0, 1));
  if (size > 0)
    evbuffer_add (http->buffer_out, body, size);
  evhtp_send_reply (http, (evhtp_res)code);
}

/// Copies what the handler may need after the client has gone.
static struct admin_request *
start_request (evhtp_request_t *http, const char *segment, size_t size)
{
  struct admin_request *request = talloc_zero (NULL, struct admin_request);
  if (request == NULL)
    return NULL;
  size_t body_size = evbuffer_get_length (http->buffer_in);
  request->body = talloc_zero_size (request, body_size + 1);
  request->segment = talloc_strndup (request, segment, size);
  if (request->body == NULL || request->segment == NULL)
    {
      talloc_free (request);
      return NULL;
    }
  evbuffer_copyout (http->buffer_in, request->body, body_size);
  request->body_size = body_size;
  evhtp_kvs_for_each (http->headers_in, copy_text, request);
  if (http->uri->query != NULL)
    evhtp_kvs_for_each (http->uri->query, copy_text, request);
  request->http = http;
  evhtp_request_set_hook (http, evhtp_hook_on_request_fini,
                          (evhtp_hook)request_gone, request);
  return request;
}

static void
dispatch (evhtp_request_t *http, void *arg)
{
  static const char none[] = "{\"status\":\"not_found\","
                             "\"message\":\"no such endpoint\"}\n";
  static const char failed[] = "{\"status\":\"no_memory\","
                               "\"message\":\"no memory\"}\n";
  struct admin_server *server = arg;
  const char *path = http->uri->path->full;
  for (size_t i = 0; i < server->route_count; i++)
    {
      const char *segment = "";
      size_t size;
      const struct admin_route *route = &server->routes[i];
      if (strcmp (route->method, method_name (http)) != 0
          || !path_matches (route->path, path, &segment, &size))
        continue;
      counter_add (&requests, 1);
      struct admin_request *request = start_request (http, segment, size);
      if (request == NULL)
        reply_now (http, 503, "application/json", failed, sizeof failed - 1);
      else
        route->handle (server->arg, request);
      return;
    }
  counter_add (&unknown_requests, 1);
  reply_now (http, 404, "application/json", none, sizeof none - 1);
}

static uint16_t
bound_port (const evhtp_t *http)
{
  struct sockaddr_in address = { 0 };
  socklen_t size = sizeof address;
  if (getsockname (evconnlistener_get_fd (http->server),
                   (struct sockaddr *)&address, &size)
      != 0)
    return 0;
  return ntohs (address.sin_port);
}

enum status
admin_start (struct admin_server **server, struct event_base *base,
             uint32_t address, uint16_t port, const struct admin_route *routes,
             size_t count, void *arg)
{
  char text[INET_ADDRSTRLEN];
  struct in_addr in = { .s_addr = htonl (address) };
  struct timeval timeout = { .tv_sec = TIMEOUT_S };
  inet_ntop (AF_INET, &in, text, sizeof text);
  struct admin_server *started = talloc_zero (NULL, struct admin_server);
  if (started == NULL)
    return status_set (STATUS_NO_MEMORY, "no memory for the admin server");
  started->routes = routes;
  started->route_count = count;
  started->arg = arg;
  started->http = evhtp_new (base, NULL);
  if (started->http == NULL)
    {
      talloc_free (started);
      return status_set (STATUS_NO_MEMORY, "no memory for the admin server");
    }
  /* libevhtp closes the connection of a body that reaches its limit. */
  evhtp_set_max_body_size (started->http, ADMIN_BODY_MAX + 1);
  evhtp_set_timeouts (started->http, &timeout, &timeout);
  evhtp_set_post_accept_cb (started->http, connection_accepted, started);
  evhtp_set_gencb (started->http, dispatch, started);
  if (evhtp_bind_socket (started->http, text, port, 64) != 0)
    {
      evhtp_free (started->http);
      talloc_free (started);
      return status_set (STATUS_UNAVAILABLE, "cannot listen on %s:%u", text,
                         port);
    }
  started->port = bound_port (started->http);
  *server = started;
  return STATUS_OK;
}

void
admin_stop (struct admin_server *server)
{
  if (server == NULL)
    return;
  evhtp_unbind_socket (server->http);
  struct connection *connection = server->connections;
  while (connection != NULL)
    {
      struct connection *next = connection->next;
      /* Calls connection_gone, which releases the entry. */
      evhtp_connection_free (connection->http);
      connection = next;
    }
  evhtp_free (server->http);
  talloc_free (server);
}

uint16_t
admin_port (const struct admin_server *server)
{
  return server->port;
}

const char *
admin_segment (const struct admin_request *request)
{
  return request->segment;
}

static const char *
find_text (const struct admin_request *request, const char *name)
{
  for (size_t i = 0; i + 1 < request->text_count; i += 2)
    if (request->texts[i] != NULL && strcasecmp (request->texts[i], name) == 0)
      return request->texts[i + 1];
  return NULL;
}

const char *
admin_query (const struct admin_request *request, const char *name)
{
  return find_text (request, name);
}

const char *
admin_header (const struct admin_request *request, const char *name)
{
  return find_text (request, name);
}

const char *
admin_body (const struct admin_request *request, size_t *size)
{
  *size = request->body_size;
  return request->body;
}

void
admin_reply (struct admin_request *request, int code, const char *content_type,
             const void *body, size_t size)
{
  evhtp_request_t *http = request->http;
  if (http != NULL)
    {
      evhtp_request_unset_hook (http, evhtp_hook_on_request_fini);
      reply_now (http, code, content_type, body, size);
    }
  talloc_free (request);
}
