/// Kept connections of the call client, by endpoint. Internal to the client.
#ifndef HAWTHORNSEAM_TRANSPORT_CALL_POOL_H
#define HAWTHORNSEAM_TRANSPORT_CALL_POOL_H

#include "transport/call_client.h"

#include <event2/bufferevent.h>

/// Input that a connection buffers at most: a whole chunk and its frame.
#define CALL_POOL_INPUT_MAX (CALL_CLIENT_CHUNK_MAX + 32 * 1024)

struct call_connection
{
  struct call_endpoint *endpoint;
  struct call_connection *next;  ///< idle connections of the endpoint
  struct call_connection *newer; ///< all connections of the client
  struct call_connection *older;
  struct evhttp_connection *http;
  struct bufferevent *bev;
  struct call_exchange *exchange; ///< NULL while idle
  uint64_t idle_since_ms;
};

struct call_endpoint
{
  struct call_endpoint *next;
  uint32_t address;
  uint16_t port;
  size_t open;                  ///< connections, idle ones included
  struct call_connection *idle; ///< most recently used first
};

/// Called for changes of a connection's buffers; the exchange may be NULL.
void call_exchange_on_output (struct evbuffer *buffer,
                              const struct evbuffer_cb_info *info, void *arg);
void call_exchange_on_input (struct evbuffer *buffer,
                             const struct evbuffer_cb_info *info, void *arg);

/// Takes a connection to an endpoint, idle or new.
/// @param max_idle_ms  an idle one is used only if it was idle for less
/// @param fresh        set to true for a new one
/// @return NULL at the endpoint's limit or without memory
struct call_connection *call_pool_take (struct call_client *client,
                                        uint32_t address, uint16_t port,
                                        uint32_t max_idle_ms, bool *fresh);

/// Gives a connection back whose exchange was completed.
void call_pool_keep (struct call_connection *connection);

/// Closes a connection that is not idle.
void call_pool_close (struct call_client *client,
                      struct call_connection *connection);

/// Releases an exchange without `done`; its connection is closed already.
void call_exchange_drop (struct call_exchange *exchange);

#endif
