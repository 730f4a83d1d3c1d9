/// Pool of persistent connections to HTTP/1.1 servers, and the exchanges on
/// them. Each connection carries one exchange at a time; a connection whose
/// exchange did not complete is closed.
#ifndef HAWTHORNSEAM_TRANSPORT_HTTP_POOL_H
#define HAWTHORNSEAM_TRANSPORT_HTTP_POOL_H

#include "transport/http_stream.h"
#include "transport/memory_budget.h"

#include <event2/event.h>
#include <event2/event_struct.h>

enum http_end
{
  HTTP_END_COMPLETE,      ///< the complete response was delivered
  HTTP_END_NOT_CONNECTED, ///< no byte of the request was sent
  HTTP_END_LOST,          ///< sent; closed or reset before the response's end
  HTTP_END_MALFORMED ///< sent; the response is not HTTP, has another id, or is
                     ///< longer than body_bytes_max
};

struct http_exchange;

struct http_exchange_ops
{
  void (*head) (void *arg, struct http_head *head);
  void (*body) (void *arg, const char *data, size_t size);
  /// Called once; no other callback of the exchange follows.
  void (*end) (void *arg, enum http_end end);
  /* Only for uploads. */
  void (*connected) (void *arg); ///< may be NULL
  void (*proceed) (void *arg);   ///< 100 Continue arrived; may be NULL
  void (*sent) (void *arg);      ///< the kernel has taken all bytes so far
  /// The response is complete, but the body is not sent to its end. `end`
  /// follows when it is, or when it cannot be sent.
  void (*answered) (void *arg);
};

struct http_pool_options
{
  uint32_t idle_ms;      ///< connections idle for longer are closed
  uint32_t connect_ms;   ///< timeout of a connect
  const char *id_header; ///< name of the id field: a response whose value
                         ///< differs from the request's id is dropped, also
                         ///< if the request has none; NULL: not compared
  size_t head_bytes;     ///< limit of a response's head; 0: default
  struct memory_budget *budget; ///< counts the descriptors; NULL: no limit
};

struct http_endpoint;

struct http_pool
{
  struct event_base *base;
  struct http_pool_options options;
  struct http_endpoint *endpoints; ///< list, each with its connections
  struct event sweep;
  size_t connections;
};

struct http_send
{
  uint32_t address; ///< IPv4, host byte order
  uint16_t port;
  struct evbuffer *request; ///< complete request; the buffer is emptied
  const char *id;           ///< expected value of the id field, of any
                            ///< length; NULL or "": the request has none
  uint32_t max_idle_ms;     ///< connections idle for longer are not reused
  bool upload;              ///< the body follows with http_exchange_write, on
                            ///< a new connection that is not reused
  bool holds_request;    ///< the request is sent with the first bytes of the
                         ///< upload's body
  bool chunked;          ///< that body is sent in chunks
  bool no_body;          ///< the response has no body (HEAD)
  size_t body_bytes_max; ///< a response with a longer body fails; 0: no limit
};

void http_pool_init (struct http_pool *pool, struct event_base *base,
                     const struct http_pool_options *options);

/// Closes all connections. Exchanges in progress lose their connection and
/// still have to be cancelled.
void http_pool_finish (struct http_pool *pool);

/// Starts an exchange. Callbacks are called from the event loop, never from
/// within this call.
/// @return NULL if memory or file descriptors are exhausted
struct http_exchange *http_pool_send (struct http_pool *pool,
                                      const struct http_send *send,
                                      const struct http_exchange_ops *ops,
                                      void *arg);

/// Sends a part of an upload's body.
/// @param data  the bytes are removed from it
void http_exchange_write (struct http_exchange *exchange,
                          struct evbuffer *data, size_t size);

/// Ends an upload's body.
void http_exchange_end_body (struct http_exchange *exchange);

/// @return bytes that the kernel has not taken yet; SIZE_MAX when the
///         connection is lost
size_t http_exchange_unsent (const struct http_exchange *exchange);

/// @return bytes of the response that have arrived and were not delivered
size_t http_exchange_unread (const struct http_exchange *exchange);

/// Cancels an exchange without a callback and closes its connection.
void http_exchange_cancel (struct http_exchange *exchange);

/// Stops and resumes reading the response, for back-pressure.
void http_exchange_pause (struct http_exchange *exchange);
void http_exchange_resume (struct http_exchange *exchange);

#endif
