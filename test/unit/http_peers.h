/// Raw clients and scripted targets for tests of the HTTP server and pool.
#ifndef HAWTHORNSEAM_TEST_HTTP_PEERS_H
#define HAWTHORNSEAM_TEST_HTTP_PEERS_H

#include "testing.h"
#include "transport/http_pool.h"
#include "transport/http_server.h"
#include "transport/timer.h"

#include <arpa/inet.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LOOPBACK 0x7f000001u

static struct event_base *base;

static inline void
on_stop (evutil_socket_t fd, short what, void *arg)
{
  event_base_loopbreak (base);
}

/// Runs the event loop for a time.
static inline void
run_ms (uint64_t ms)
{
  struct event stop;
  evtimer_assign (&stop, base, on_stop, NULL);
  timer_start (&stop, ms);
  event_base_dispatch (base);
  event_del (&stop);
}

/* A TCP client that sends the bytes given by the test and records what it
   receives. */

struct raw_client
{
  struct bufferevent *bev;
  char received[65536];
  size_t size;
  bool closed;
};

static inline void
client_read (struct bufferevent *bev, void *arg)
{
  struct raw_client *raw_client = arg;
  raw_client->size
      += bufferevent_read (bev, raw_client->received + raw_client->size,
                           sizeof raw_client->received - raw_client->size - 1);
  raw_client->received[raw_client->size] = '\0';
}

/// Counts the received bytes without storing them.
static inline void
client_count (struct bufferevent *bev, void *arg)
{
  struct raw_client *raw_client = arg;
  struct evbuffer *input = bufferevent_get_input (bev);
  raw_client->size += evbuffer_get_length (input);
  evbuffer_drain (input, evbuffer_get_length (input));
}

static inline void
client_event (struct bufferevent *bev, short what, void *arg)
{
  struct raw_client *raw_client = arg;
  if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
    raw_client->closed = true;
}

static inline void
client_connect (struct raw_client *raw_client, uint16_t port)
{
  struct sockaddr_in to = { .sin_family = AF_INET, .sin_port = htons (port) };
  to.sin_addr.s_addr = htonl (LOOPBACK);
  memset (raw_client, 0, sizeof *raw_client);
  raw_client->bev = bufferevent_socket_new (base, -1, BEV_OPT_CLOSE_ON_FREE);
  bufferevent_setcb (raw_client->bev, client_read, NULL, client_event,
                     raw_client);
  bufferevent_enable (raw_client->bev, EV_READ | EV_WRITE);
  bufferevent_socket_connect (raw_client->bev, (struct sockaddr *)&to,
                              sizeof to);
}

static inline void
client_send (struct raw_client *raw_client, const char *text)
{
  bufferevent_write (raw_client->bev, text, strlen (text));
}

/* The server under test; the test replies to the requests it records. */

#define REQUESTS_MAX 8

static struct http_server server;
static struct http_request *requests[REQUESTS_MAX];
static size_t request_count;
static size_t disconnect_count;

static inline void
server_request (void *arg, struct http_request *request)
{
  requests[request_count++] = request;
}

static inline void
server_disconnected (void *arg, struct http_request *request)
{
  disconnect_count++;
}

static const struct http_server_ops server_ops
    = { .request = server_request, .disconnected = server_disconnected };

static inline uint16_t
port_of (struct evconnlistener *listener)
{
  struct sockaddr_in at;
  socklen_t size = sizeof at;
  getsockname (evconnlistener_get_fd (listener), (struct sockaddr *)&at,
               &size);
  return ntohs (at.sin_port);
}

static inline uint16_t
server_set_up (void)
{
  const struct http_server_limits limits = {
    .head_bytes = 2000, .body_bytes = 100, .receive_ms = 300, .idle_ms = 600
  };
  base = event_base_new ();
  request_count = disconnect_count = 0;
  http_server_start (&server, base, LOOPBACK, 0, &limits, &server_ops, NULL);
  return port_of (server.listener);
}

static inline void
server_tear_down (struct raw_client *raw_client)
{
  bufferevent_free (raw_client->bev);
  http_server_stop (&server);
  event_base_free (base);
}

/* A target that sends the next scripted bytes for each request. */

struct script
{
  const char *responses[4];
  size_t sizes[4];     ///< of the responses; 0: up to the first zero byte
  bool close_after[4]; ///< closes the connection after these bytes
  size_t next;
  size_t connections;
};

static struct script script;
static struct evconnlistener *target;
static evutil_socket_t target_fd; ///< of the newest connection

static inline void
target_read (struct bufferevent *bev, void *arg)
{
  struct evbuffer *input = bufferevent_get_input (bev);
  evbuffer_drain (input, evbuffer_get_length (input));
  size_t next = script.next++;
  if (next >= 4 || script.responses[next] == NULL)
    return;
  size_t size = script.sizes[next];
  if (size == 0)
    size = strlen (script.responses[next]);
  if (size > 4096)
    bufferevent_write (bev, script.responses[next], size);
  else
    CU_ASSERT_EQUAL (
        send (bufferevent_getfd (bev), script.responses[next], size, 0),
        (ssize_t)size);
  if (script.close_after[next])
    bufferevent_free (bev);
}

static inline void
target_event (struct bufferevent *bev, short what, void *arg)
{
  bufferevent_free (bev);
}

static inline void
target_accept (struct evconnlistener *listener, evutil_socket_t fd,
               struct sockaddr *from, int size, void *arg)
{
  struct bufferevent *bev
      = bufferevent_socket_new (base, fd, BEV_OPT_CLOSE_ON_FREE);
  script.connections++;
  target_fd = fd;
  bufferevent_setcb (bev, target_read, NULL, target_event, NULL);
  bufferevent_enable (bev, EV_READ | EV_WRITE);
}

struct result
{
  unsigned status;
  char body[256];
  size_t size;
  bool ended;
  enum http_end end;
};

static inline void
result_head (void *arg, struct http_head *head)
{
  ((struct result *)arg)->status = head->status;
}

static inline void
result_body (void *arg, const char *data, size_t size)
{
  struct result *result = arg;
  memcpy (result->body + result->size, data, size);
  result->size += size;
}

static inline void
result_end (void *arg, enum http_end end)
{
  struct result *result = arg;
  result->ended = true;
  result->end = end;
}

static const struct http_exchange_ops result_ops
    = { .head = result_head, .body = result_body, .end = result_end };

static struct http_pool pool;

static inline uint16_t
pool_set_up (const struct script *responses)
{
  const struct http_pool_options options
      = { .idle_ms = 5000, .connect_ms = 300, .id_header = "X-Id" };
  struct sockaddr_in at = { .sin_family = AF_INET };
  at.sin_addr.s_addr = htonl (LOOPBACK);
  base = event_base_new ();
  script = *responses;
  target = evconnlistener_new_bind (base, target_accept, NULL,
                                    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
                                    8, (struct sockaddr *)&at, sizeof at);
  http_pool_init (&pool, base, &options);
  return port_of (target);
}

static inline void
pool_tear_down (void)
{
  http_pool_finish (&pool);
  evconnlistener_free (target);
  run_ms (20);
  event_base_free (base);
}

static inline struct result
exchange_method (uint16_t port, const char *method, const char *id,
                 size_t body_bytes_max)
{
  static struct result result;
  struct evbuffer *bytes = evbuffer_new ();
  evbuffer_add_printf (bytes, "%s / HTTP/1.1\r\nHost: h\r\n\r\n", method);
  struct http_send send = { .address = LOOPBACK,
                            .port = port,
                            .request = bytes,
                            .id = id,
                            .max_idle_ms = 4000,
                            .no_body = strcmp (method, "HEAD") == 0,
                            .body_bytes_max = body_bytes_max };
  memset (&result, 0, sizeof result);
  struct http_exchange *pending
      = http_pool_send (&pool, &send, &result_ops, &result);
  evbuffer_free (bytes);
  for (int i = 0; i < 20 && !result.ended; i++)
    run_ms (20);
  if (!result.ended)
    http_exchange_cancel (pending);
  return result;
}

static inline struct result
exchange (uint16_t port, const char *id)
{
  return exchange_method (port, "GET", id, 0);
}

#endif
