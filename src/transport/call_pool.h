/// Connection pool of the call client, by endpoint. Internal to the client.
#ifndef HAWTHORNSEAM_TRANSPORT_CALL_POOL_H
#define HAWTHORNSEAM_TRANSPORT_CALL_POOL_H

#include "transport/call_client.h"
#include "transport/http_response_guard.h"

#include <event2/bufferevent.h>

/// Bytes of input that a connection buffers at most: a complete chunk and its
/// framing.
#define CALL_POOL_INPUT_MAX (CALL_CLIENT_CHUNK_MAX + 32 * 1024)

struct call_connection
{
  struct call_endpoint *endpoint;
  struct call_connection *next;  ///< next idle connection of the endpoint
  struct call_connection *newer; ///< list of all connections of the client
  struct call_connection *older;
  struct evhttp_connection *http;
  struct bufferevent *bev;
  struct http_response_guard guard;
  struct call_exchange *exchange; ///< NULL while idle
  uint64_t idle_since_ms;
};

struct call_endpoint
{
  struct call_endpoint *next;
  uint32_t address;
  uint16_t port;
  size_t open;                  ///< open connections, including idle ones
  struct call_connection *idle; ///< most recently used first
};

/// Buffer callbacks of a connection; its exchange may be NULL.
void call_exchange_on_output (struct evbuffer *buffer,
                              const struct evbuffer_cb_info *info, void *arg);
void call_exchange_on_input (struct evbuffer *buffer,
                             const struct evbuffer_cb_info *info, void *arg);

/// Ends the exchange of a connection whose response is malformed.
void call_exchange_on_malformed (void *arg);

/// Returns an idle connection to an endpoint, or opens one.
/// @param max_idle_ms     connections idle for longer are not reused
/// @param new_connection  set to true if the connection was opened, else false
/// @return NULL if the endpoint is at its limit or memory is exhausted
struct call_connection *call_pool_acquire (struct call_client *client,
                                           uint32_t address, uint16_t port,
                                           uint32_t max_idle_ms,
                                           bool *new_connection);

/// Returns a connection to the pool after its exchange completed.
void call_pool_release (struct call_connection *connection);

/// Closes a connection that is not idle.
void call_pool_close (struct call_client *client,
                      struct call_connection *connection);

/// Frees an exchange without a call of `done`; its connection has been closed.
void call_exchange_free (struct call_exchange *exchange);

#endif
