/// Owns the listener and the connections of the admin interface.
#include "transport/admin.h"

#include "base/counter.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/listener.h>
#include <evhtp/evhtp.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

/// Read and write timeout of a connection. A response may wait for several
/// attempts at the store; idle connections are closed after the same time.
#define CONNECTION_TIMEOUT_S 120

struct connection
{
  struct connection *next;
  struct connection **link; ///< the pointer that refers to this connection
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
  evhtp_request_t *http; ///< NULL after the client has disconnected
  char *segment;
  char *body;
  size_t body_size;
  char **pairs; ///< copied headers and parameters: name, value, ...
  size_t pair_text_count;
};

static struct counter requests = COUNTER (
    "admin_requests", "Requests to the operators' interface that had a route");
static struct counter unknown_requests
    = COUNTER ("admin_requests_unknown",
               "Requests to the operators' interface without a route");

static evhtp_res
on_connection_closed (evhtp_connection_t *http, void *arg)
{
  struct connection *connection = arg;
  *connection->link = connection->next;
  if (connection->next != NULL)
    connection->next->link = connection->link;
  talloc_free (connection);
  return EVHTP_RES_OK;
}

static evhtp_res
on_accept (evhtp_connection_t *http, void *arg)
{
  struct admin_server *server = arg;
  struct connection *connection = talloc_zero (server, struct connection);
  if (connection == NULL)
    return EVHTP_RES_ERROR;
  connection->http = http;
  connection->next = server->connections;
  connection->link = &server->connections;
  if (connection->next != NULL)
    connection->next->link = &connection->next;
  server->connections = connection;
  evhtp_connection_set_hook (http, evhtp_hook_on_connection_fini,
                             (evhtp_hook)on_connection_closed, connection);
  return EVHTP_RES_OK;
}

static evhtp_res
on_request_closed (evhtp_request_t *http, void *arg)
{
  struct admin_request *request = arg;
  request->http = NULL;
  return EVHTP_RES_OK;
}

/// Copies one header or query parameter; libevhtp frees the originals with the
/// connection.
static int
copy_pair (evhtp_kv_t *pair, void *arg)
{
  struct admin_request *request = arg;
  if (pair->key == NULL)
    return 0;
  char **pairs = talloc_realloc (request, request->pairs, char *,
                                 request->pair_text_count + 2);
  if (pairs == NULL)
    return -1;
  request->pairs = pairs;
  pairs[request->pair_text_count++]
      = talloc_strndup (request, pair->key, pair->klen);
  pairs[request->pair_text_count++]
      = talloc_strndup (request, pair->val == NULL ? "" : pair->val,
                        pair->val == NULL ? 0 : pair->vlen);
  return 0;
}

/// Matches a path against a route pattern; "*" matches one non-empty segment.
static bool
path_matches (const char *pattern, const char *path, const char **segment,
              size_t *size)
{
  const char *wildcard = strchr (pattern, '*');
  *size = 0;
  if (wildcard == NULL)
    return strcmp (pattern, path) == 0;
  size_t prefix_size = (size_t)(wildcard - pattern);
  if (strncmp (pattern, path, prefix_size) != 0)
    return false;
  *segment = path + prefix_size;
  *size = strcspn (*segment, "/");
  return *size > 0 && strcmp (wildcard + 1, *segment + *size) == 0;
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
send_response (evhtp_request_t *http, int code, const char *content_type,
               const void *body, size_t size)
{
  evhtp_headers_add_header (
      http->headers_out,
      evhtp_header_new ("Content-Type", content_type, 0, 1));
  if (size > 0)
    evbuffer_add (http->buffer_out, body, size);
  evhtp_send_reply (http, (evhtp_res)code);
}

/// Copies what the handler may still need after the client has disconnected.
static struct admin_request *
create_request (evhtp_request_t *http, const char *segment, size_t size)
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
  evhtp_kvs_for_each (http->headers_in, copy_pair, request);
  if (http->uri->query != NULL)
    evhtp_kvs_for_each (http->uri->query, copy_pair, request);
  request->http = http;
  evhtp_request_set_hook (http, evhtp_hook_on_request_fini,
                          (evhtp_hook)on_request_closed, request);
  return request;
}

static void
dispatch (evhtp_request_t *http, void *arg)
{
  static const char not_found[] = "{\"status\":\"not_found\","
                                  "\"message\":\"no such endpoint\"}\n";
  static const char no_memory[] = "{\"status\":\"no_memory\","
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
      struct admin_request *request = create_request (http, segment, size);
      if (request == NULL)
        send_response (http, 503, "application/json", no_memory,
                       sizeof no_memory - 1);
      else
        route->handle (server->arg, request);
      return;
    }
  counter_add (&unknown_requests, 1);
  send_response (http, 404, "application/json", not_found,
                 sizeof not_found - 1);
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
  struct timeval timeout = { .tv_sec = CONNECTION_TIMEOUT_S };
  inet_ntop (AF_INET, &in, text, sizeof text);
  struct admin_server *created = talloc_zero (NULL, struct admin_server);
  if (created == NULL)
    return status_set (STATUS_NO_MEMORY, "no memory for the admin server");
  created->routes = routes;
  created->route_count = count;
  created->arg = arg;
  created->http = evhtp_new (base, NULL);
  if (created->http == NULL)
    {
      talloc_free (created);
      return status_set (STATUS_NO_MEMORY, "no memory for the admin server");
    }
  /* libevhtp closes the connection if the body size reaches the limit. */
  evhtp_set_max_body_size (created->http, ADMIN_BODY_MAX + 1);
  evhtp_set_timeouts (created->http, &timeout, &timeout);
  evhtp_set_post_accept_cb (created->http, on_accept, created);
  evhtp_set_gencb (created->http, dispatch, created);
  if (evhtp_bind_socket (created->http, text, port, 64) != 0)
    {
      evhtp_free (created->http);
      talloc_free (created);
      return status_set (STATUS_UNAVAILABLE,
                         "admin listener: cannot bind %s:%u", text, port);
    }
  created->port = bound_port (created->http);
  *server = created;
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
      /* Calls on_connection_closed, which frees the record. */
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
find_pair (const struct admin_request *request, const char *name)
{
  for (size_t i = 0; i + 1 < request->pair_text_count; i += 2)
    if (request->pairs[i] != NULL && strcasecmp (request->pairs[i], name) == 0)
      return request->pairs[i + 1];
  return NULL;
}

const char *
admin_query (const struct admin_request *request, const char *name)
{
  return find_pair (request, name);
}

const char *
admin_header (const struct admin_request *request, const char *name)
{
  return find_pair (request, name);
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
      send_response (http, code, content_type, body, size);
    }
  talloc_free (request);
}
