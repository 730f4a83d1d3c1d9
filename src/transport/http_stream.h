/// One HTTP/1.1 connection with its parser: turns bytes into message heads,
/// body pieces and message ends, one message at a time. The bytes of a next
/// message stay in the input buffer until http_stream_next is called.
#ifndef HAWTHORNSEAM_TRANSPORT_HTTP_STREAM_H
#define HAWTHORNSEAM_TRANSPORT_HTTP_STREAM_H

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/// Header fields of one message; more are a protocol error.
#define HTTP_FIELDS_MAX 96

/// Bytes of one message head unless the owner sets another limit.
#define HTTP_HEAD_BYTES_MAX (32u * 1024)

struct http_field
{
  const char *name;
  const char *value;
};

/// Head of a request or an answer. Strings live in the head's talloc context.
struct http_head
{
  enum http_method method; ///< of a request
  const char *target;      ///< path and query of a request
  unsigned status;         ///< of an answer
  struct http_field fields[HTTP_FIELDS_MAX];
  size_t field_count;
  bool keep_alive; ///< the connection can carry a next message
  bool chunked;    ///< the body came in chunks
  bool has_length; ///< `length` was stated
  uint64_t length; ///< bytes of the body
};

enum http_close
{
  HTTP_CLOSE_END,     ///< the other end closed in order
  HTTP_CLOSE_RESET,   ///< reset, or an error of the socket
  HTTP_CLOSE_PROTOCOL ///< bytes that are no message
};

struct http_stream;

struct http_stream_ops
{
  void (*head) (struct http_stream *stream, struct http_head *head);
  void (*body) (struct http_stream *stream, const char *data, size_t size);
  void (*complete) (struct http_stream *stream);
  /// The connection cannot be used any more; the owner frees the stream.
  void (*closed) (struct http_stream *stream, enum http_close why);
  /// The output buffer ran empty; may be NULL.
  void (*drained) (struct http_stream *stream);
  /// A client's connection was established; may be NULL.
  void (*connected) (struct http_stream *stream);
};

struct http_stream
{
  struct bufferevent *bev;
  const struct http_stream_ops *ops;
  void *owner;
  http_parser parser;
  /// Talloc context of the current message; an owner that takes it over sets
  /// this to NULL.
  struct http_head *head;
  size_t head_bytes;
  size_t head_bytes_max;
  char *field_text; ///< field name or value that is being collected
  size_t field_size;
  bool in_value;
  bool head_too_large;
  bool started;   ///< a byte of the current message was read
  bool completed; ///< the current message ended
  bool held;      ///< parsing waits for http_stream_next
  bool paused;    ///< parsing waits for http_stream_resume
  bool no_body;   ///< the next answer has no body (HEAD)
  bool parsing;
  bool ended;  ///< `closed` was called
  bool doomed; ///< freed while parsing
};

/// Wraps a bufferevent, which the stream then owns.
/// @param type  HTTP_REQUEST for a server's side, HTTP_RESPONSE for a client's
/// @return NULL without memory; the bufferevent is freed then
struct http_stream *http_stream_new (struct bufferevent *bev,
                                     enum http_parser_type type,
                                     const struct http_stream_ops *ops,
                                     void *owner);

/// Closes the connection at once and frees the stream. May be called from its
/// own callbacks.
void http_stream_free (struct http_stream *stream);

/// Starts reading the next message after `complete`.
void http_stream_next (struct http_stream *stream);

/// Stops and restarts reading, for back-pressure.
void http_stream_pause (struct http_stream *stream);
void http_stream_resume (struct http_stream *stream);

/// @return the buffer for bytes to send
struct evbuffer *http_stream_output (struct http_stream *stream);

/// @return bytes that were received and not parsed
size_t http_stream_unread (const struct http_stream *stream);

/// @return the value of the first field with this name, or NULL
const char *http_head_find (const struct http_head *head, const char *name);

/// @return true for fields that concern one connection only
/// @param connection  value of the message's Connection field, or NULL
bool http_field_is_hop_by_hop (const char *name, const char *connection);

/// Adds end-to-end fields of a head to a buffer, without length and framing.
/// @param skip  NULL-terminated names to leave out, or NULL
void http_write_fields (struct evbuffer *buffer, const struct http_head *head,
                        const char *const *skip);

/// Makes small writes leave at once and finds connections that died silently.
void http_tune_socket (evutil_socket_t fd);

#endif
