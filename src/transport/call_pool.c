/// Owns the endpoints and their connections.
#include "transport/call_pool.h"

#include "base/clock.h"
#include "base/counter.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/// Timeout of evhttp, long enough never to expire: exchanges have timeouts of
/// their own.
#define EVHTTP_TIMEOUT_S 3600
#define SWEEP_MS 1000

static struct counter opened
    = COUNTER ("call_client_connections_opened", "connections opened");
static struct counter reused = COUNTER ("call_client_connections_reused",
                                        "exchanges on a kept connection");

static struct call_endpoint **
find_endpoint_link (struct call_client *client, uint32_t address,
                    uint16_t port)
{
  uint32_t hash = (address * 2654435761u) ^ (port * 40503u);
  struct call_endpoint **link
      = &client->buckets[(hash ^ hash >> 16) % CALL_CLIENT_BUCKETS];
  while (*link != NULL
         && ((*link)->address != address || (*link)->port != port))
    link = &(*link)->next;
  return link;
}

void
call_pool_close (struct call_client *client,
                 struct call_connection *connection)
{
  connection->endpoint->open--;
  client->connections--;
  if (connection->newer != NULL)
    connection->newer->older = connection->older;
  else
    client->newest = connection->older;
  if (connection->older != NULL)
    connection->older->newer = connection->newer;
  evhttp_connection_free (connection->http);
  free (connection);
}

/// @return true if the server has closed an idle connection, or has sent bytes
/// that belong to no exchange
static bool
is_stale (const struct call_connection *connection)
{
  evutil_socket_t fd = bufferevent_getfd (connection->bev);
  char byte;
  return fd == -1 || recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0;
}

static struct call_connection *
take_idle (struct call_client *client, struct call_endpoint *endpoint,
           uint32_t max_idle_ms)
{
  uint64_t now = clock_monotonic_ms ();
  while (endpoint->idle != NULL)
    {
      struct call_connection *connection = endpoint->idle;
      if (now - connection->idle_since_ms > max_idle_ms)
        return NULL; /* sorted: the remaining ones have been idle for longer */
      endpoint->idle = connection->next;
      connection->next = NULL;
      if (!is_stale (connection))
        {
          counter_add (&reused, 1);
          return connection;
        }
      call_pool_close (client, connection);
    }
  return NULL;
}

/// @return true if a connection may be opened; at the limit of the endpoint,
/// an idle connection that is too old for reuse is closed to make room
static bool
can_open_connection (struct call_client *client,
                     struct call_endpoint *endpoint)
{
  if (endpoint->open < client->options.connections_max)
    return true;
  struct call_connection *connection = endpoint->idle;
  if (connection == NULL)
    return false;
  endpoint->idle = connection->next;
  call_pool_close (client, connection);
  return true;
}

static struct call_connection *
open_connection (struct call_client *client, struct call_endpoint *endpoint)
{
  struct call_connection *connection = calloc (1, sizeof *connection);
  if (connection == NULL)
    return NULL;
  char address[INET_ADDRSTRLEN];
  struct in_addr in = { htonl (endpoint->address) };
  inet_ntop (AF_INET, &in, address, sizeof address);
  struct bufferevent *bev = bufferevent_socket_new (client->base, -1, 0);
  connection->bev = bev;
  connection->http = bev == NULL
                         ? NULL
                         : evhttp_connection_base_bufferevent_new (
                             client->base, NULL, bev, address, endpoint->port);
  if (connection->http == NULL)
    {
      if (bev != NULL)
        bufferevent_free (bev);
      free (connection);
      return NULL;
    }
  connection->endpoint = endpoint;
  evhttp_connection_set_timeout (connection->http, EVHTTP_TIMEOUT_S);
  evhttp_connection_set_max_headers_size (
      connection->http, (ev_ssize_t)client->options.headers_max);
  bufferevent_setwatermark (bev, EV_READ, 0, CALL_POOL_INPUT_MAX);
  evbuffer_add_cb (bufferevent_get_output (bev), call_exchange_on_output,
                   connection);
  evbuffer_add_cb (bufferevent_get_input (bev), call_exchange_on_input,
                   connection);
  http_response_guard_init (&connection->guard, connection->http,
                            call_exchange_on_malformed, connection);
  endpoint->open++;
  client->connections++;
  connection->older = client->newest;
  if (client->newest != NULL)
    client->newest->newer = connection;
  client->newest = connection;
  counter_add (&opened, 1);
  return connection;
}

static struct call_endpoint *
get_endpoint (struct call_client *client, uint32_t address, uint16_t port)
{
  struct call_endpoint **link = find_endpoint_link (client, address, port);
  if (*link != NULL)
    return *link;
  struct call_endpoint *endpoint = calloc (1, sizeof *endpoint);
  if (endpoint == NULL)
    return NULL;
  endpoint->address = address;
  endpoint->port = port;
  *link = endpoint;
  return endpoint;
}

struct call_connection *
call_pool_acquire (struct call_client *client, uint32_t address, uint16_t port,
                   uint32_t max_idle_ms, bool *new_connection)
{
  *new_connection = false;
  struct call_endpoint *endpoint = get_endpoint (client, address, port);
  if (endpoint == NULL)
    return NULL;
  struct call_connection *connection
      = take_idle (client, endpoint, max_idle_ms);
  if (connection != NULL)
    return connection;
  if (!can_open_connection (client, endpoint))
    return NULL;
  *new_connection = true;
  return open_connection (client, endpoint);
}

void
call_pool_release (struct call_connection *connection)
{
  connection->idle_since_ms = clock_monotonic_ms ();
  connection->next = connection->endpoint->idle;
  connection->endpoint->idle = connection;
}

static void
close_idle (struct call_client *client, struct call_endpoint *endpoint,
            uint64_t idle_before_ms)
{
  struct call_connection **link = &endpoint->idle;
  while (*link != NULL)
    {
      struct call_connection *connection = *link;
      if (connection->idle_since_ms > idle_before_ms
          && bufferevent_getfd (connection->bev) != -1)
        {
          link = &connection->next;
          continue;
        }
      *link = connection->next;
      call_pool_close (client, connection);
    }
}

void
call_client_close_idle (struct call_client *client, uint32_t address,
                        uint16_t port)
{
  struct call_endpoint *endpoint = *find_endpoint_link (client, address, port);
  if (endpoint != NULL)
    close_idle (client, endpoint, UINT64_MAX);
}

static void
on_sweep (evutil_socket_t fd, short what, void *arg)
{
  struct call_client *client = arg;
  uint64_t now = clock_monotonic_ms ();
  uint64_t idle_ms = client->options.idle_ms;
  for (size_t i = 0; i < CALL_CLIENT_BUCKETS; i++)
    {
      struct call_endpoint **link = &client->buckets[i];
      while (*link != NULL)
        {
          struct call_endpoint *endpoint = *link;
          close_idle (client, endpoint, now > idle_ms ? now - idle_ms : 0);
          if (endpoint->open > 0)
            {
              link = &endpoint->next;
              continue;
            }
          *link = endpoint->next;
          free (endpoint);
        }
    }
}

void
call_client_init (struct call_client *client, struct event_base *base,
                  const struct call_client_options *options)
{
  memset (client, 0, sizeof *client);
  client->base = base;
  client->options = *options;
  event_assign (&client->sweep, base, -1, EV_PERSIST, on_sweep, client);
  struct timeval period = { SWEEP_MS / 1000, SWEEP_MS % 1000 * 1000 };
  event_add (&client->sweep, &period);
}

void
call_client_finish (struct call_client *client)
{
  event_del (&client->sweep);
  struct call_connection *connection = client->newest;
  while (connection != NULL)
    {
      struct call_connection *older = connection->older;
      struct call_exchange *exchange = connection->exchange;
      call_pool_close (client, connection);
      if (exchange != NULL)
        call_exchange_free (exchange);
      connection = older;
    }
  for (size_t i = 0; i < CALL_CLIENT_BUCKETS; i++)
    while (client->buckets[i] != NULL)
      {
        struct call_endpoint *endpoint = client->buckets[i];
        client->buckets[i] = endpoint->next;
        free (endpoint);
      }
}
