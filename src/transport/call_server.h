/// HTTP server of calls. Request bodies are held whole up to a limit; answers
/// are streamed. Closing by the caller is noticed while a request is in
/// progress, and requests that arrive too slowly are cut off.
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
  size_t body_max;     ///< bytes of a request's body; 413 above
  size_t buffered_max; ///< bytes of all requests together, received or held;
                       ///< a connection that goes above is closed
  size_t headers_max;  ///< bytes of a request's headers
  uint32_t receive_ms; ///< from the first byte of a request to its last
  uint32_t idle_ms;    ///< between requests; also for a stalled answer
};

struct call_request;

struct call_server_ops
{
  /// A whole, well-formed request arrived.
  void (*request) (void *arg, struct call_request *request);
  /// The caller closed the connection before the answer was ended. The request
  /// is no longer valid after this.
  void (*gone) (void *arg, struct call_request *request);
  /// What was written so far has been handed to the kernel.
  void (*writable) (void *arg, struct call_request *request);
};

struct call_server;

/// @param address  IPv4, host byte order
/// @param port     0: any free port
/// @return STATUS_UNAVAILABLE when the address cannot be bound
enum status call_server_start (struct call_server **server,
                               struct event_base *base, uint32_t address,
                               uint16_t port,
                               const struct call_server_options *options,
                               const struct call_server_ops *ops, void *arg);

/// Closes the listener and all connections; requests in progress are not told.
void call_server_stop (struct call_server *server);

uint16_t call_server_port (const struct call_server *server);

/// Accepts no connection from now on.
void call_server_close_listener (struct call_server *server);

/// Closes each connection after its next answer.
void call_server_close_after_answer (struct call_server *server);

/// @return requests whose answer was not yet handed to the kernel whole
size_t call_server_in_progress (const struct call_server *server);

/// Sets a pointer of the receiver.
void call_request_set_context (struct call_request *request, void *context);
void *call_request_context (const struct call_request *request);

enum evhttp_cmd_type call_request_method (const struct call_request *request);
const char *call_request_method_name (const struct call_request *request);

/// @return path and query as sent, starting with '/'
const char *call_request_uri (const struct call_request *request);
const struct evkeyvalq *
call_request_headers (const struct call_request *request);

/// @return value of a header, or NULL
const char *call_request_header (const struct call_request *request,
                                 const char *name);

/// @return true when the request came over loopback or from `address`
bool call_request_is_from (const struct call_request *request,
                           uint32_t address);
struct evbuffer *call_request_body (const struct call_request *request);

/// Headers of the answer, to be set before it is started.
struct evkeyvalq *call_request_answer_headers (struct call_request *request);

/// Starts an answer; chunked unless a Content-Length was set.
void call_request_start (struct call_request *request, int status,
                         const char *reason);

/// Moves bytes into the answer.
void call_request_write (struct call_request *request, struct evbuffer *data);

/// @return bytes of the answer that are buffered in this process
size_t call_request_buffered (const struct call_request *request);

/// Ends a whole answer; the request is no longer valid.
void call_request_end (struct call_request *request);

/// Sends an answer in one go; the request is no longer valid.
void call_request_reply (struct call_request *request, int status,
                         const void *body_bytes, size_t size);

/// Resets the connection, so that what was sent of the answer cannot be taken
/// for the whole; the request is no longer valid.
void call_request_abort (struct call_request *request);

#endif
