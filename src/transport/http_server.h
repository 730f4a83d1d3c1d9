/// HTTP/1.1 server: a listener, its connections and their requests. Request
/// bodies are held whole; answers are streamed. Requests that a caller sends
/// behind another are handled at the same time and answered in order.
#ifndef HAWTHORNSEAM_TRANSPORT_HTTP_SERVER_H
#define HAWTHORNSEAM_TRANSPORT_HTTP_SERVER_H

#include "base/status.h"
#include "transport/http_stream.h"

#include <event2/event.h>
#include <event2/event_struct.h>

struct http_server;
struct http_server_connection;

struct http_request
{
  struct http_server *server;
  struct http_server_connection *connection;
  void *arena;            ///< talloc context, freed after the answer
  struct http_head *head; ///< in the arena
  struct evbuffer *body;
  uint64_t received_us; ///< when the request was whole, monotonic
  void *context;        ///< of the handler
  bool answer_started;
  bool answer_chunked;
  bool answered;           ///< the whole answer was written
  struct evbuffer *output; ///< the answer while earlier ones are not finished
  struct http_request *next; ///< received later on the same connection
};

struct http_server_ops
{
  /// A whole request arrived. The handler answers it now or later.
  void (*request) (void *arg, struct http_request *request);
  /// The caller closed the connection before the answer's end. The request is
  /// freed after this returns.
  void (*gone) (void *arg, struct http_request *request);
  /// The answer's bytes were handed to the kernel; may be NULL.
  void (*writable) (void *arg, struct http_request *request);
};

struct http_server_limits
{
  uint32_t head_bytes;
  uint64_t body_bytes;
  uint32_t receive_ms; ///< longest time for a request to arrive
  uint32_t idle_ms;    ///< longest idle time of a connection
};

struct http_server
{
  struct event_base *base;
  struct evconnlistener *listener;
  struct http_server_limits limits;
  const struct http_server_ops *ops;
  void *arg;
  struct http_server_connection *first;
  struct event sweep;
  size_t connections;
  size_t in_progress;
  bool closing; ///< answers close their connections
};

/// Starts listening.
/// @return STATUS_UNAVAILABLE when the address cannot be bound
enum status http_server_start (struct http_server *server,
                               struct event_base *base, uint32_t address,
                               uint16_t port,
                               const struct http_server_limits *limits,
                               const struct http_server_ops *ops, void *arg);

/// Closes everything at once.
void http_server_stop (struct http_server *server);

/// From now on answers close their connections.
void http_server_drain (struct http_server *server);

/// Closes the connections without a request or bytes to send.
void http_server_close_idle (struct http_server *server);

/// @return bytes of answers, whole ones too, that the kernel has not taken yet
size_t http_server_unsent (const struct http_server *server);

/// Sends a whole answer.
/// @param fields  header lines ending in CRLF, or NULL
void http_reply (struct http_request *request, unsigned status,
                 const char *fields, const void *body, size_t size);

/// Starts an answer that is sent in pieces.
/// @param fields  header lines; emptied
/// @param length  bytes of the body, or -1: sent in chunks
void http_reply_start (struct http_request *request, unsigned status,
                       struct evbuffer *fields, int64_t length);
void http_reply_piece (struct http_request *request, const void *data,
                       size_t size);
void http_reply_finish (struct http_request *request);

/// Closes the connection so that the caller sees that the answer is cut.
void http_reply_abort (struct http_request *request);

/// @return bytes of answers that wait for the caller
size_t http_request_backlog (const struct http_request *request);

#endif
