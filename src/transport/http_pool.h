/// Kept connections to HTTP/1.1 servers and the exchanges on them. One
/// exchange at a time uses a connection; a connection whose exchange did not
/// end in order is closed.
#ifndef HAWTHORNSEAM_TRANSPORT_HTTP_POOL_H
#define HAWTHORNSEAM_TRANSPORT_HTTP_POOL_H

#include "transport/http_stream.h"

#include <event2/event.h>
#include <event2/event_struct.h>

enum http_end
{
  HTTP_END_COMPLETE,      ///< the whole answer was passed on
  HTTP_END_NOT_CONNECTED, ///< no byte of the request was sent
  HTTP_END_LOST,          ///< sent; closed or reset before the answer's end
  HTTP_END_MALFORMED      ///< sent; the answer is not HTTP or not this one's
};

struct http_exchange;

struct http_exchange_ops
{
  void (*head) (void *arg, struct http_head *head);
  void (*body) (void *arg, const char *data, size_t size);
  /// Called once, at the latest call for an exchange.
  void (*end) (void *arg, enum http_end end);
};

struct http_pool_options
{
  uint32_t idle_ms;      ///< a connection idle for longer is closed
  uint32_t connect_ms;   ///< a connect without result is given up after this
  const char *id_header; ///< an answer with another value of this field than
                         ///< the request's is dropped; NULL: not compared
};

struct http_server_slot;

struct http_pool
{
  struct event_base *base;
  struct http_pool_options options;
  struct http_server_slot *servers; ///< by address
  struct event sweep;
  size_t connections;
};

struct http_send
{
  uint32_t address; ///< IPv4, host byte order
  uint16_t port;
  struct evbuffer *request; ///< whole request; emptied
  const char *id;           ///< value of the id header, or NULL
  uint32_t max_idle_ms;     ///< take only connections idle for at most this
  bool no_body;             ///< the answer has no body (HEAD)
};

void http_pool_init (struct http_pool *pool, struct event_base *base,
                     const struct http_pool_options *options);
void http_pool_finish (struct http_pool *pool);

/// Starts an exchange. Callbacks come later, never from within this call.
/// @return NULL without memory or descriptors
struct http_exchange *http_pool_send (struct http_pool *pool,
                                      const struct http_send *send,
                                      const struct http_exchange_ops *ops,
                                      void *arg);

/// Ends an exchange without a callback and closes its connection.
void http_exchange_cancel (struct http_exchange *exchange);

void http_exchange_pause (struct http_exchange *exchange);
void http_exchange_resume (struct http_exchange *exchange);

#endif
