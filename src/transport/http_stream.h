/// One HTTP/1.1 connection with its parser. Reports the head, the body in
/// parts and the end of one message at a time. The bytes of the next message
/// stay in the input buffer until http_stream_next is called.
#ifndef HAWTHORNSEAM_TRANSPORT_HTTP_STREAM_H
#define HAWTHORNSEAM_TRANSPORT_HTTP_STREAM_H

#include "transport/http_head.h"
#include "transport/http_message_check.h"
#include "transport/http_socket.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Default limit of a message head, bytes; the owner may set another one.
#define HTTP_HEAD_BYTES_MAX (32u * 1024)

/// Bytes that nodes add to a head at most: routing, account, load and reason
/// fields, names of up to 255 bytes. A receiver that adds this to the limit of
/// the node in front accepts whatever that node accepted.
#define HTTP_HEAD_ADDED_BYTES_MAX (4u * 1024)

enum http_close
{
  HTTP_CLOSE_END,     ///< the other end closed the connection
  HTTP_CLOSE_RESET,   ///< reset, or a socket error
  HTTP_CLOSE_PROTOCOL ///< bytes that are not a valid HTTP message
};

struct http_stream;

struct http_stream_ops
{
  void (*head) (struct http_stream *stream, struct http_head *head);
  void (*body) (struct http_stream *stream, const char *data, size_t size);
  void (*complete) (struct http_stream *stream);
  /// No further message will be parsed; the owner frees the stream, at once or
  /// after its last output.
  void (*closed) (struct http_stream *stream, enum http_close reason);
  /// Bytes were received and parsed as far as possible; may be NULL.
  void (*received) (struct http_stream *stream);
  /// The output buffer is empty; may be NULL.
  void (*drained) (struct http_stream *stream);
  /// The head of an informational response (1xx) arrived; may be NULL.
  void (*informational) (struct http_stream *stream, unsigned status);
  /// A client's connection was established; may be NULL.
  void (*connected) (struct http_stream *stream);
};

struct http_stream
{
  struct bufferevent *bev;
  const struct http_stream_ops *ops;
  void *owner;
  http_parser parser;
  struct http_message_check check;
  /// Head and talloc context of the current message; an owner that takes it
  /// over sets this to NULL.
  struct http_head *head;
  size_t head_bytes;     ///< of the current head, or of the trailer
  size_t head_bytes_max; ///< limit of a head, and of a trailer
  char *text; ///< target, names and values, in the head's context; each ends
              ///< with a zero
  size_t text_size;
  size_t text_capacity;
  uint64_t received_bytes; ///< parsed so far, of all messages
  bool head_complete;
  bool in_value;
  bool head_too_large;
  bool started;          ///< the current message has begun
  bool completed;        ///< the current message has ended
  bool waiting_for_next; ///< parsing is stopped until http_stream_next
  bool paused;           ///< parsing is stopped until http_stream_resume
  bool reads_after_write_error; ///< a response may have come before it
  bool discarding;              ///< all further input is dropped
  bool parsing;
  struct http_peer_watch peer_watch;
  bool ended;        ///< `closed` was called
  bool free_pending; ///< http_stream_free was called while parsing
};

/// Wraps a bufferevent, which the stream then owns.
/// @param type  HTTP_REQUEST for a server's side, HTTP_RESPONSE for a client's
/// @return NULL if memory is exhausted; the bufferevent is freed then
struct http_stream *http_stream_new (struct bufferevent *bev,
                                     enum http_parser_type type,
                                     const struct http_stream_ops *ops,
                                     void *owner);

/// Closes the connection at once and frees the stream. May be called from its
/// own callbacks.
void http_stream_free (struct http_stream *stream);

/// Starts parsing the next message after `complete`.
void http_stream_next (struct http_stream *stream);

/// Stops and resumes reading, for back-pressure.
void http_stream_pause (struct http_stream *stream);
void http_stream_resume (struct http_stream *stream);

/// Ends the connection, from the event loop, when its peer has vanished, or
/// when a client has closed it while this side does not read. To be called
/// several times a second while it is in use.
void http_stream_check_peer (struct http_stream *stream, uint64_t now_ms);

/// Parses no further message and drops what is buffered of the current one and
/// all further input. The end of the input is still reported.
void http_stream_discard (struct http_stream *stream);

/// @return bytes of memory of the head that is being received and of the
/// buffers in both directions
size_t http_stream_memory (const struct http_stream *stream);

/// @return the buffer for bytes to send
struct evbuffer *http_stream_output (struct http_stream *stream);

/// @return bytes received and not yet parsed
size_t http_stream_unread (const struct http_stream *stream);

/// Sets the socket options of a connection: no delay of small writes, and
/// keep-alive probes that detect a vanished peer of an idle connection.
void http_set_socket_options (evutil_socket_t fd);

/// Lets the kernel end a connection whose peer acknowledges nothing or reads
/// nothing for 3 s. For short requests of which no more than that is
/// outstanding unless the peer has vanished.
void http_set_user_timeout (evutil_socket_t fd);

#endif
