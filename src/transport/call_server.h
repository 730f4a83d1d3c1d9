/// HTTP server for calls. Request bodies are buffered completely, up to a
/// limit; responses are streamed. The server detects that a caller has closed
/// its connection while a request is in progress, and closes connections whose
/// request takes too long to arrive.
#ifndef HAWTHORNSEAM_TRANSPORT_CALL_SERVER_H
#define HAWTHORNSEAM_TRANSPORT_CALL_SERVER_H

#include "base/status.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct call_server_options
{
  size_t body_max;     ///< bytes of a request's body; larger: status 413
  size_t buffered_max; ///< bytes of all requests together, partly received
                       ///< or in progress; a connection that exceeds this is
                       ///< closed
  size_t headers_max;  ///< bytes of a request's headers
  uint32_t receive_ms; ///< from the first byte of a request to its last
  uint32_t idle_ms;    ///< between requests, and for a stalled response
};

struct call_request;

struct call_server_ops
{
  /// A complete, well-formed request arrived.
  void (*request) (void *arg, struct call_request *request);
  /// The caller closed the connection before the end of the response. The
  /// request is freed when this returns.
  void (*disconnected) (void *arg, struct call_request *request);
  /// All bytes written so far have been handed to the kernel.
  void (*writable) (void *arg, struct call_request *request);
};

struct call_server;

/// Binds the address and serves requests from the event loop.
/// @param address  IPv4, host byte order
/// @param port     0: any free port
/// @return STATUS_UNAVAILABLE if the address cannot be bound
enum status call_server_start (struct call_server **server,
                               struct event_base *base, uint32_t address,
                               uint16_t port,
                               const struct call_server_options *options,
                               const struct call_server_ops *ops, void *arg);

/// Closes the listener and all connections. Handlers of requests in progress
/// are not notified.
void call_server_stop (struct call_server *server);

uint16_t call_server_port (const struct call_server *server);

/// Stops accepting connections; open ones stay.
void call_server_close_listener (struct call_server *server);

/// From now on, closes each connection after its next response.
void call_server_close_after_response (struct call_server *server);

/// @return number of requests whose response has not been handed to the kernel
/// completely
size_t call_server_in_progress (const struct call_server *server);

/// Attaches a pointer of the handler to a request.
void call_request_set_context (struct call_request *request, void *context);
void *call_request_context (const struct call_request *request);

enum evhttp_cmd_type call_request_method (const struct call_request *request);
const char *call_request_method_name (const struct call_request *request);

/// @return path and query as received, starting with '/'
const char *call_request_uri (const struct call_request *request);
const struct evkeyvalq *
call_request_headers (const struct call_request *request);

/// @return the value of a header, or NULL
const char *call_request_header (const struct call_request *request,
                                 const char *name);

/// @return true if the caller's address is in 127.0.0.0/8 or is `address`
bool call_request_is_from (const struct call_request *request,
                           uint32_t address);
struct evbuffer *call_request_body (const struct call_request *request);

/// @return the response headers; set them before call_request_start or
/// call_request_reply
struct evkeyvalq *call_request_response_headers (struct call_request *request);

/// Starts a response; chunked unless a Content-Length header was set.
void call_request_start (struct call_request *request, int status,
                         const char *reason);

/// Moves the bytes of a buffer into the response body.
void call_request_write (struct call_request *request, struct evbuffer *data);

/// @return bytes of the response that the kernel has not taken yet
size_t call_request_buffered (const struct call_request *request);

/// Ends a complete response; the request must not be used any more.
void call_request_end (struct call_request *request);

/// Sends a complete response; the request must not be used any more.
void call_request_reply (struct call_request *request, int status,
                         const void *body_bytes, size_t size);

/// Resets the connection, so that the caller cannot take a partial response
/// for a complete one; the request must not be used any more.
void call_request_abort (struct call_request *request);

#endif
