/// Structures of the call server. Internal to the server.
#ifndef HAWTHORNSEAM_TRANSPORT_CALL_SERVER_INTERNAL_H
#define HAWTHORNSEAM_TRANSPORT_CALL_SERVER_INTERNAL_H

#include "transport/call_server.h"

#include <event2/bufferevent.h>
#include <event2/event_struct.h>

struct server_connection
{
  struct server_connection *next; ///< next in the hash bucket
  struct call_server *server;
  struct bufferevent *bev;
  struct evhttp_connection *http;
  struct call_request *request; ///< in progress, or response being sent
  size_t input_size;            ///< bytes received and not yet parsed
  struct event receive_timer;
};

struct call_request
{
  struct call_server *server;
  struct server_connection *connection;
  struct evhttp_request *http;
  void *arena;
  void *context;
  size_t body_size;
  bool ended; ///< the handler must not use the request any more
};

struct call_server
{
  struct call_server *next;
  struct event_base *base;
  struct evhttp *http;
  struct evhttp_bound_socket *bound; ///< NULL once the listener is closed
  uint16_t port;
  struct call_server_options options;
  const struct call_server_ops *ops;
  void *arg;
  size_t in_progress;
  size_t buffered; ///< bytes of input and request bodies, all connections
  bool close_after_response;
  bool stopping;
};

#endif
