/// HTTP/1.1 server: a listener, its connections and their requests. Request
/// bodies are buffered completely up to a size; larger ones are streamed, see
/// http_request_body.c. Responses are streamed. Pipelined requests
/// are handled concurrently; their responses are sent in order.
///
/// Only the close of a connection shows that a response is truncated, and it
/// ends the requests behind it. So a response is sent in parts only while no
/// later request of its connection has been handed to the handler: it is held
/// until it is complete if there is one, and none is handed over while a part
/// is sent. It is also held while a later request waits; the handler may
/// release it then.
#ifndef HAWTHORNSEAM_TRANSPORT_HTTP_SERVER_H
#define HAWTHORNSEAM_TRANSPORT_HTTP_SERVER_H

#include "base/status.h"
#include "transport/http_stream.h"
#include "transport/memory_budget.h"

#include <event2/event.h>
#include <event2/event_struct.h>

/// Bytes of the field that frames a response, with its CRLF and the
/// terminating zero.
#define HTTP_FRAMING_SIZE_MAX 64

struct http_server;
struct http_server_connection;

struct http_request
{
  struct http_server *server;
  struct http_server_connection *connection;
  void *arena;            ///< talloc context, freed after the response
  struct http_head *head; ///< in the arena
  struct evbuffer *body;
  size_t body_size;     ///< bytes of the body when the request was complete
  uint64_t received_us; ///< when the request was complete, monotonic
  void *context;        ///< pointer of the handler
  size_t handler_bytes; ///< memory that the handler keeps for it: a response's
                        ///< head, and what was sent on but not yet taken
  uint64_t received;    ///< bytes of the body so far
  unsigned status;      ///< of the response; 0: not started
  char framing[HTTP_FRAMING_SIZE_MAX]; ///< its framing field, or ""
  bool handed_over;                    ///< the handler has received it
  bool streamed;         ///< handed over before its body was complete
  bool body_open;        ///< streamed; the handler has not closed the body
  bool body_complete;    ///< streamed; the whole body was received
  bool body_read;        ///< streamed; the handler has asked for the body
  bool expects_continue; ///< its caller waits for 100 Continue
  bool blocks_next;      ///< see http_request_block_next
  bool response_chunked;
  bool response_complete;    ///< the complete response was written
  struct evbuffer *output;   ///< holds the response back; NULL: it is sent as
                             ///< it is written
  struct http_request *next; ///< next request on the same connection
};

struct http_server_ops
{
  /// A complete request arrived. The handler replies now or later.
  void (*request) (void *arg, struct http_request *request);
  /// The caller closed the connection before the end of the response. The
  /// request is freed when this returns.
  void (*disconnected) (void *arg, struct http_request *request);
  /// More of the response may be written: all bytes so far were handed to the
  /// kernel, or the earlier responses have ended; may be NULL.
  void (*writable) (void *arg, struct http_request *request);
  /// More bytes of a streamed request's body are in its buffer, or the body is
  /// complete. The handler removes them and calls http_request_read_body; may
  /// be NULL if nothing is streamed.
  void (*body) (void *arg, struct http_request *request);
};

struct http_server_limits
{
  uint32_t head_bytes;
  uint64_t body_bytes;
  uint64_t stream_bytes; ///< larger bodies are streamed; 0: none
  bool streams_chunked;  ///< chunked bodies are streamed whatever their size
  uint32_t receive_ms;   ///< time limit for a head to arrive, and interval in
                         ///< which a body must reach the minimum rate
  uint32_t idle_ms;      ///< time limit of an idle connection
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
  struct memory_budget *budget; ///< NULL: memory is not limited
  enum memory_budget_use use;   ///< of its connections' descriptors
  const char *not_run_fields;   ///< header lines of a 503 that the server
                                ///< itself sends, or NULL
  const char *id_header;        ///< name of a request's id field, for the
                                ///< log; or NULL
  /// Bytes of a connection that the kernel takes ahead of its link; 0: as
  /// many as it buffers. Set before connections are accepted.
  uint32_t kernel_unsent_max;
  bool accepting_paused; ///< until descriptors are free
  bool draining;         ///< responses close their connections
};

/// Starts listening.
/// @param address  IPv4, host byte order
/// @param port     0: any free port
/// @return STATUS_UNAVAILABLE if the address cannot be bound
enum status http_server_start (struct http_server *server,
                               struct event_base *base, uint32_t address,
                               uint16_t port,
                               const struct http_server_limits *limits,
                               const struct http_server_ops *ops, void *arg);

/// Charges the server's connections to a budget, which the process's servers
/// share and which outlives them. Called before connections are accepted.
void http_server_use_budget (struct http_server *server,
                             struct memory_budget *budget,
                             enum memory_budget_use use);

/// Function of a budget that sheds a connection of any server: rejects what it
/// has sent of a request with 503 and closes it. That request is never run.
void http_server_shed (void *connection);

/// Closes the listener and all connections at once. The kernel goes on sending
/// what it takes of their unsent bytes. Handlers of requests in progress are
/// not notified.
void http_server_stop (struct http_server *server);

/// From now on, the response to the last request received on a connection
/// closes that connection. Requests behind it are not started; their callers
/// send them again.
void http_server_drain (struct http_server *server);

/// Ends the limit of what the kernel takes of responses, since it sends that
/// also after the process has ended. For a server that stops soon.
void http_server_end_kernel_limit (struct http_server *server);

/// Closes the connections that have neither a request nor unsent bytes, except
/// those on which a first request may still arrive.
void http_server_close_idle (struct http_server *server);

/// Accepts the connections that the kernel has established and closes the
/// listener. The kernel would reset those that are not accepted, with requests
/// that their callers may have sent.
void http_server_stop_accepting (struct http_server *server);

/// @return true while stopping the server could cost a caller its response
bool http_server_has_work (const struct http_server *server);

/// @return bytes of responses, also complete ones, that the kernel has not
/// taken yet
size_t http_server_unsent (const struct http_server *server);

/// Logs the connections that have requests in progress or unsent bytes, with
/// the id of the oldest one or, without any, of the last, when the process
/// ends.
/// @param name       of the server, for the log
/// @param lines_max  further connections are not logged
void http_server_log_unsent (const struct http_server *server,
                             const char *name, size_t lines_max);

/// Sends a complete response.
/// @param fields  header lines, each ending in CRLF, or NULL
void http_reply (struct http_request *request, unsigned status,
                 const char *fields, const void *body, size_t size);

/// Starts a streamed response.
/// @param fields  header lines; the buffer is emptied
/// @param length  bytes of the body, or -1 for chunked coding
void http_reply_start (struct http_request *request, unsigned status,
                       struct evbuffer *fields, int64_t length);

/// Appends bytes to the body of a streamed response.
void http_reply_write (struct http_request *request, const void *data,
                       size_t size);

/// Ends a streamed response.
void http_reply_finish (struct http_request *request);

/// Takes back a response of which nothing was sent. Another response may be
/// started then.
/// @return false if a part was sent, or the response is complete
bool http_reply_retract (struct http_request *request);

/// @return true when the caller has closed the connection or its side of it,
///         although the server may not have read that far
bool http_request_is_abandoned (const struct http_request *request);

/// @return true when a part of the response may have been sent
bool http_reply_is_begun (const struct http_request *request);

/// Sends what is held back of the oldest response of a connection, unless a
/// later request was handed over; what follows is sent as it is written.
void http_reply_release (struct http_request *request);

/// Closes the connection before the end of the response, so that the caller
/// can tell that it is truncated, once what was written before is sent.
/// Requests behind it were not handed over if a
/// part of it was sent; otherwise all of the connection are lost, see
/// http_reply_retract.
void http_reply_abort (struct http_request *request);

/// Reads more of a streamed body, also after the response; the first call
/// answers an expectation of 100 Continue. Has no effect on other requests.
void http_request_read_body (struct http_request *request);

/// Ends the handler's use of a streamed body, after all of it was taken or
/// when the rest is not wanted; then the connection is closed after the
/// response and the rest is dropped. The request is freed once its body is
/// closed and its response is complete. http_reply and http_reply_abort close
/// it.
void http_request_close_body (struct http_request *request);

/// Hands no later request of the connection over before the response is
/// complete. Called by the handler for a response that is too large to hold.
void http_request_block_next (struct http_request *request);

/// @return true when the earlier responses have ended, but none of this one is
///         sent before it is complete, because of the requests behind it
bool http_request_is_held (const struct http_request *request);

/// @return bytes of responses that are buffered for the caller: the request's
/// own if it is held back, else all of the connection
size_t http_request_backlog (const struct http_request *request);

/// @return bytes of responses of the request's connection that the caller's
/// machine has not acknowledged, whether the kernel has them or not
size_t http_request_unacknowledged (const struct http_request *request);

/// @return bytes of all responses that are held back
size_t http_server_held (const struct http_server *server);

#endif
