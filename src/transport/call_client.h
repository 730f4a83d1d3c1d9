/// HTTP client of calls: kept connections per endpoint, one exchange at a time
/// on each, streamed answers with back-pressure. A connection whose exchange
/// failed, timed out or was cancelled is closed and never used again, so that
/// a late answer cannot reach another exchange.
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

/// Largest chunk of a chunked answer. evhttp passes on whole chunks only, so
/// this also bounds what is buffered of an answer before it is passed on.
#define CALL_CLIENT_CHUNK_MAX (256 * 1024)

#define CALL_CLIENT_BUCKETS 1024

struct call_client_options
{
  uint32_t connect_ms;    ///< for a new connection
  uint32_t idle_ms;       ///< unused connections are closed after this
  uint32_t stall_ms;      ///< no byte of an answer's body for this long
  size_t connections_max; ///< for each endpoint
  size_t headers_max;     ///< bytes of an answer's headers
};

struct call_endpoint;
struct call_connection;

struct call_client
{
  struct event_base *base;
  struct call_client_options options;
  struct call_endpoint *buckets[CALL_CLIENT_BUCKETS];
  struct call_connection *newest; ///< list of all connections
  struct event sweep;
  size_t connections; ///< open, idle ones included
};

enum call_end_kind
{
  CALL_EXCHANGE_COMPLETE,      ///< the whole answer was passed on
  CALL_EXCHANGE_NOT_CONNECTED, ///< no byte of the request was sent
  CALL_EXCHANGE_LOST,          ///< reset or cut after a byte was sent
  CALL_EXCHANGE_TIMED_OUT,     ///< no headers in time, or the body stalled
  CALL_EXCHANGE_UNFRAMED       ///< the end of the answer cannot be verified
};

struct call_exchange;

/// @return true when the exchange had to open its connection
bool call_exchange_is_fresh (const struct call_exchange *exchange);

/// Called from the loop, never from within call_client_send.
struct call_exchange_ops
{
  /// Headers arrived and the framing of the answer is sound.
  void (*headers) (void *arg, struct call_exchange *exchange, int status,
                   const char *reason, struct evkeyvalq *headers);
  /// Part of the body; the receiver moves the bytes out.
  void (*data) (void *arg, struct call_exchange *exchange,
                struct evbuffer *data);
  /// The exchange is over and no longer valid after this.
  void (*done) (void *arg, struct call_exchange *exchange,
                enum call_end_kind end);
};

struct call_send
{
  uint32_t address; ///< IPv4, host byte order
  uint16_t port;
  enum evhttp_cmd_type method;
  const char *uri;
  const struct evkeyvalq *headers; ///< copied
  struct evbuffer *body;           ///< referenced, stays whole; may be NULL
  uint32_t headers_ms;             ///< time until the answer's headers
  uint32_t max_idle_ms; ///< use no connection that was idle for longer
};

void call_client_init (struct call_client *client, struct event_base *base,
                       const struct call_client_options *options);

/// Closes all connections. Exchanges in progress end without `done`.
void call_client_finish (struct call_client *client);

/// Starts an exchange.
/// @return NULL when the endpoint has connections_max connections in use or
///         memory is short; nothing was sent then
struct call_exchange *call_client_send (struct call_client *client,
                                        const struct call_send *send,
                                        const struct call_exchange_ops *ops,
                                        void *arg);

/// Closes idle connections of an endpoint, as after the death of its process.
void call_client_forget (struct call_client *client, uint32_t address,
                         uint16_t port);

/// Stops reading the answer until call_exchange_resume.
void call_exchange_pause (struct call_exchange *exchange);
void call_exchange_resume (struct call_exchange *exchange);

/// Ends an exchange without `done` and closes its connection.
void call_exchange_cancel (struct call_exchange *exchange);

#endif
