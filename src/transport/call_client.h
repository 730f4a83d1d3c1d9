/// HTTP client for calls: a pool of persistent connections per endpoint, one
/// exchange at a time on each connection, streamed responses with
/// back-pressure. A connection whose exchange failed, timed out or was
/// cancelled is closed and never reused, so that a late response cannot be
/// taken for the response of another exchange.
#ifndef HAWTHORNSEAM_TRANSPORT_CALL_CLIENT_H
#define HAWTHORNSEAM_TRANSPORT_CALL_CLIENT_H

#include "base/status.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/event_struct.h>
#include <event2/http.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Largest chunk of a chunked response, bytes. evhttp delivers only complete
/// chunks, so this also bounds what is buffered of a response before delivery.
#define CALL_CLIENT_CHUNK_MAX (256 * 1024)

#define CALL_CLIENT_BUCKETS 1024

struct call_client_options
{
  uint32_t connect_ms;    ///< timeout for opening a connection
  uint32_t idle_ms;       ///< connections idle for longer are closed
  uint32_t stall_ms;      ///< timeout between bytes of a response body
  size_t connections_max; ///< limit per endpoint
  size_t headers_max;     ///< bytes of a response's headers
};

struct call_endpoint;
struct call_connection;

struct call_client
{
  struct event_base *base;
  struct call_client_options options;
  struct call_endpoint *buckets[CALL_CLIENT_BUCKETS];
  struct call_connection *newest; ///< head of the list of all connections
  struct event sweep;
  size_t connections; ///< open connections, including idle ones
};

enum call_exchange_end
{
  CALL_EXCHANGE_COMPLETE,      ///< the complete response was delivered
  CALL_EXCHANGE_NOT_CONNECTED, ///< no byte of the request was sent
  CALL_EXCHANGE_LOST,          ///< connection closed after a byte was sent, by
                               ///< this side if the response is malformed
  CALL_EXCHANGE_TIMED_OUT,     ///< no headers in time, or the body stalled
  CALL_EXCHANGE_UNFRAMED       ///< the end of the response cannot be verified
};

struct call_exchange;

/// @return true if the connection was opened for this exchange
bool call_exchange_uses_new_connection (const struct call_exchange *exchange);

/// Callbacks; called from the event loop, never from within call_client_send.
struct call_exchange_ops
{
  /// Headers arrived and the end of the response can be determined from them.
  void (*headers) (void *arg, struct call_exchange *exchange, int status,
                   const char *reason, struct evkeyvalq *headers);
  /// Part of the body; the callback removes the bytes from the buffer.
  void (*data) (void *arg, struct call_exchange *exchange,
                struct evbuffer *data);
  /// The exchange has ended; it is freed when this returns.
  void (*done) (void *arg, struct call_exchange *exchange,
                enum call_exchange_end end);
};

struct call_send
{
  uint32_t address; ///< IPv4, host byte order
  uint16_t port;
  enum evhttp_cmd_type method;
  const char *uri;
  const struct evkeyvalq *headers; ///< copied
  struct evbuffer *body;           ///< referenced, not modified; may be NULL
  uint32_t headers_ms;             ///< timeout for the response headers
  uint32_t max_idle_ms; ///< do not reuse connections idle for longer
};

void call_client_init (struct call_client *client, struct event_base *base,
                       const struct call_client_options *options);

/// Closes all connections. Exchanges in progress end without a call of `done`.
void call_client_finish (struct call_client *client);

/// Starts an exchange.
/// @return NULL if connections_max connections of the endpoint are in use or
///         memory is exhausted; nothing was sent then
struct call_exchange *call_client_send (struct call_client *client,
                                        const struct call_send *send,
                                        const struct call_exchange_ops *ops,
                                        void *arg);

/// Closes the idle connections of an endpoint, for instance after its process
/// has died.
void call_client_close_idle (struct call_client *client, uint32_t address,
                             uint16_t port);

/// The connection is closed after the exchange instead of kept.
void call_exchange_close_after (struct call_exchange *exchange);

/// Stops reading the response until call_exchange_resume.
void call_exchange_pause (struct call_exchange *exchange);
void call_exchange_resume (struct call_exchange *exchange);

/// Ends an exchange without a call of `done` and closes its connection.
void call_exchange_cancel (struct call_exchange *exchange);

#endif
