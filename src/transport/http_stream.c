/// Holds the parser callbacks; http_parser does the parsing.
#include "transport/http_stream.h"

#include "base/counter.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <talloc.h>

/// Input buffered per connection, bytes; beyond it, TCP flow control slows the
/// sender down.
#define INPUT_BYTES_MAX (64u * 1024)

/// First size of a head's text, bytes; most heads are shorter than 1 KiB.
#define TEXT_BYTES_MIN 512u

/// A vanished peer is detected after idle time + probes x interval = 3 s, the
/// shortest time after which the platform reports a machine as reachable
/// again. TCP probes idle connections only; see http_stream_check_peer for the
/// others.
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 2
#define USER_TIMEOUT_MS 3000

static struct counter timed_out
    = COUNTER ("http_connections_timed_out",
               "connections closed: the peer acknowledges nothing");

static struct http_stream *
stream_of (http_parser *parser)
{
  return parser->data;
}

/// Bytes of a field's line beside its name and value, at least: colon and line
/// end. The text has a zero after each, so it is never longer than the lines.
#define FIELD_LINE_BYTES 3u

/// Counts bytes of a head or trailer.
/// @return false when it is too large
static bool
count_head_bytes (struct http_stream *stream, size_t size)
{
  stream->head_bytes += size;
  stream->head_too_large = stream->head_bytes > stream->head_bytes_max;
  return !stream->head_too_large;
}

/// Adds bytes to the text of the head. They start a new string or continue the
/// last one.
/// @return false when the head is too large, malformed, or memory is exhausted
static bool
append_text (struct http_stream *stream, const char *data, size_t size,
             bool starts_string)
{
  if (!count_head_bytes (stream, size))
    return false;
  size_t needed = stream->text_size + size + 2;
  if (needed > stream->text_capacity)
    {
      size_t capacity = 2 * stream->text_capacity;
      if (capacity < needed)
        capacity = needed < TEXT_BYTES_MIN ? TEXT_BYTES_MIN : needed;
      char *text = talloc_realloc (stream->head, stream->text, char, capacity);
      if (text == NULL)
        return false;
      stream->text = text;
      stream->text_capacity = capacity;
    }
  if (starts_string)
    stream->text[stream->text_size++] = '\0';
  memcpy (stream->text + stream->text_size, data, size);
  stream->text_size += size;
  return memchr (data, '\0', size) == NULL;
}

static void
reset_text (struct http_stream *stream)
{
  stream->text = NULL;
  stream->text_size = 0;
  stream->text_capacity = 0;
}

/// Ends the text of a complete head.
/// @return false when memory is exhausted
static bool
finish_text (struct http_stream *stream)
{
  struct http_head *head = stream->head;
  if (!append_text (stream, "", 0, true))
    return false;
  char *text = talloc_realloc (head, stream->text, char, stream->text_size);
  if (text == NULL)
    return false;
  head->text = text;
  head->text_size = stream->text_size;
  if (stream->parser.type == HTTP_REQUEST)
    head->target = text;
  reset_text (stream);
  return true;
}

static int
on_message_begin (http_parser *parser)
{
  struct http_stream *stream = stream_of (parser);
  talloc_free (stream->head);
  stream->head = talloc_zero (NULL, struct http_head);
  stream->head_bytes = 0;
  stream->head_too_large = false;
  stream->head_complete = false;
  stream->completed = false;
  stream->in_value = false;
  stream->started = true;
  reset_text (stream);
  return stream->head == NULL;
}

static int
on_url (http_parser *parser, const char *data, size_t size)
{
  return append_text (stream_of (parser), data, size, false) ? 0 : 1;
}

static int
on_field_name (http_parser *parser, const char *data, size_t size)
{
  struct http_stream *stream = stream_of (parser);
  struct http_head *head = stream->head;
  bool new_field
      = stream->in_value || (!stream->head_complete && head->field_count == 0);
  stream->in_value = false;
  if (new_field && !count_head_bytes (stream, FIELD_LINE_BYTES))
    return 1;
  if (stream->head_complete) /* a trailer is not kept */
    return count_head_bytes (stream, size) ? 0 : 1;
  head->field_count += new_field;
  return append_text (stream, data, size, new_field) ? 0 : 1;
}

static int
on_field_value (http_parser *parser, const char *data, size_t size)
{
  struct http_stream *stream = stream_of (parser);
  bool new_value = !stream->in_value;
  stream->in_value = true;
  if (stream->head_complete)
    return count_head_bytes (stream, size) ? 0 : 1;
  if (stream->head->field_count == 0)
    return 0;
  return append_text (stream, data, size, new_value) ? 0 : 1;
}

/// @return true if the parser frames the body as the check does. It overlooks
///         a coding behind which a field's name begins like the coding's.
static bool
has_checked_framing (const struct http_stream *stream)
{
  const struct http_head *head = stream->head;
  const struct http_message_check *check = &stream->check;
  return head->chunked == check->chunked
         && head->has_length == check->has_length
         && head->length == check->length;
}

static int
on_headers_complete (http_parser *parser)
{
  struct http_stream *stream = stream_of (parser);
  struct http_head *head = stream->head;
  /* A tunnel is refused; any other request to switch protocols is served as if
     it had not been made. */
  if (parser->type == HTTP_REQUEST && parser->method == HTTP_CONNECT)
    return -1;
  parser->upgrade = 0;
  if (!finish_text (stream))
    return -1;
  stream->head_complete = true;
  stream->head_bytes = 0;  /* from here on those of the trailer */
  stream->in_value = true; /* the next field starts a trailer */
  if (parser->type == HTTP_REQUEST
      && !http_request_has_strict_host (head, parser))
    return -1;
  head->method = (enum http_method)parser->method;
  head->status = parser->status_code;
  head->keep_alive = http_should_keep_alive (parser);
  head->chunked = (parser->flags & F_CHUNKED) != 0;
  head->has_length = (parser->flags & F_CONTENTLENGTH) != 0;
  head->length = head->has_length ? parser->content_length : 0;
  if (head->status >= 100 && head->status < 200)
    {
      if (stream->ops->informational != NULL)
        stream->ops->informational (stream, head->status);
      return 0;
    }
  bool no_body
      = stream->check.no_body || http_status_has_no_body (head->status);
  if (!has_checked_framing (stream))
    return -1;
  stream->ops->head (stream, head); /* may free the head */
  return no_body ? 1 : 0;
}

static int
on_body (http_parser *parser, const char *data, size_t size)
{
  struct http_stream *stream = stream_of (parser);
  if (!stream->free_pending)
    stream->ops->body (stream, data, size);
  return 0;
}

static int
on_message_complete (http_parser *parser)
{
  struct http_stream *stream = stream_of (parser);
  if (stream->head != NULL && stream->head->status >= 100
      && stream->head->status < 200)
    return 0;
  stream->completed = true;
  stream->waiting_for_next = true;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings parser_settings = {
  .on_message_begin = on_message_begin,
  .on_url = on_url,
  .on_header_field = on_field_name,
  .on_header_value = on_field_value,
  .on_headers_complete = on_headers_complete,
  .on_body = on_body,
  .on_message_complete = on_message_complete,
};

static void
free_stream (struct http_stream *stream)
{
  bufferevent_free (stream->bev);
  talloc_free (stream->head);
  free (stream);
}

static void
report_close (struct http_stream *stream, enum http_close reason)
{
  if (stream->ended || stream->free_pending)
    return;
  stream->ended = true;
  bufferevent_disable (stream->bev, EV_READ);
  stream->ops->closed (stream, reason);
}

/// Reports the end of a message to the owner, once.
static void
report_complete (struct http_stream *stream)
{
  stream->completed = false;
  stream->started = false;
  http_message_check_next (&stream->check);
  stream->ops->complete (stream);
}

/// Drops the input and the head of an incomplete message.
static void
drop_input (struct http_stream *stream)
{
  struct evbuffer *input = bufferevent_get_input (stream->bev);
  evbuffer_drain (input, evbuffer_get_length (input));
  TALLOC_FREE (stream->head);
  reset_text (stream);
}

static void
parse_input (struct http_stream *stream)
{
  struct evbuffer *input = bufferevent_get_input (stream->bev);
  stream->parsing = true;
  while (!stream->free_pending && !stream->waiting_for_next && !stream->paused
         && !stream->ended && !stream->discarding
         && evbuffer_get_length (input) > 0)
    {
      struct evbuffer_iovec data;
      if (evbuffer_peek (input, -1, NULL, &data, 1) < 1)
        break;
      if (!http_message_check_feed (&stream->check, data.iov_base,
                                    data.iov_len))
        {
          report_close (stream, HTTP_CLOSE_PROTOCOL);
          break;
        }
      size_t used = http_parser_execute (&stream->parser, &parser_settings,
                                         data.iov_base, data.iov_len);
      enum http_errno error = HTTP_PARSER_ERRNO (&stream->parser);
      evbuffer_drain (input, used);
      stream->received_bytes += used;
      if (stream->free_pending)
        break;
      if (stream->discarding)
        break; /* by a callback */
      if (error != HPE_OK && error != HPE_PAUSED)
        report_close (stream, HTTP_CLOSE_PROTOCOL);
      else if (stream->completed)
        report_complete (stream);
    }
  stream->parsing = false;
  if (stream->free_pending)
    {
      free_stream (stream);
      return;
    }
  if (stream->discarding)
    drop_input (stream);
  if (stream->ops->received != NULL)
    stream->ops->received (stream);
}

static void
on_read (struct bufferevent *bev, void *arg)
{
  struct http_stream *stream = arg;
  if (!stream->parsing)
    parse_input (stream);
}

static void
on_write (struct bufferevent *bev, void *arg)
{
  struct http_stream *stream = arg;
  if (stream->ops->drained != NULL)
    stream->ops->drained (stream);
}

/// Handles the end of the input, which may be the end of a message without a
/// stated length.
static void
parse_end (struct http_stream *stream)
{
  stream->parsing = true;
  if (!stream->waiting_for_next && stream->started && !stream->discarding)
    {
      http_parser_execute (&stream->parser, &parser_settings, NULL, 0);
      if (!stream->free_pending && stream->completed)
        report_complete (stream);
    }
  if (!stream->free_pending)
    report_close (stream, HTTP_CLOSE_END);
  stream->parsing = false;
  if (stream->free_pending)
    free_stream (stream);
}

static void
on_event (struct bufferevent *bev, short what, void *arg)
{
  struct http_stream *stream = arg;
  if ((what & BEV_EVENT_CONNECTED) != 0)
    {
      http_set_socket_options (bufferevent_getfd (bev));
      if (stream->ops->connected != NULL)
        stream->ops->connected (stream);
      return;
    }
  if ((what & BEV_EVENT_EOF) != 0)
    {
      parse_end (stream);
      return;
    }
  bool write_error
      = (what & BEV_EVENT_WRITING) != 0 && (what & BEV_EVENT_ERROR) != 0;
  if (write_error && stream->reads_after_write_error)
    return; /* reading ends with the same error, after what has arrived */
  if (EVUTIL_SOCKET_ERROR () == ETIMEDOUT)
    counter_add (&timed_out, 1);
  stream->parsing = true;
  report_close (stream, HTTP_CLOSE_RESET);
  stream->parsing = false;
  if (stream->free_pending)
    free_stream (stream);
}

struct http_stream *
http_stream_new (struct bufferevent *bev, enum http_parser_type type,
                 const struct http_stream_ops *ops, void *owner)
{
  struct http_stream *stream = calloc (1, sizeof *stream);
  if (stream == NULL)
    {
      bufferevent_free (bev);
      return NULL;
    }
  stream->bev = bev;
  stream->ops = ops;
  stream->owner = owner;
  stream->head_bytes_max = HTTP_HEAD_BYTES_MAX;
  http_parser_init (&stream->parser, type);
  http_message_check_init (&stream->check, type);
  stream->parser.data = stream;
  bufferevent_setcb (bev, on_read, on_write, on_event, stream);
  bufferevent_setwatermark (bev, EV_READ, 0, INPUT_BYTES_MAX);
  bufferevent_enable (bev, EV_READ | EV_WRITE);
  return stream;
}

void
http_stream_free (struct http_stream *stream)
{
  if (stream->parsing)
    {
      stream->free_pending = true;
      bufferevent_disable (stream->bev, EV_READ | EV_WRITE);
      bufferevent_setcb (stream->bev, NULL, NULL, NULL, NULL);
      return;
    }
  free_stream (stream);
}

void
http_stream_next (struct http_stream *stream)
{
  if (!stream->waiting_for_next)
    return;
  stream->waiting_for_next = false;
  http_parser_pause (&stream->parser, 0);
  if (!stream->parsing && !stream->ended)
    bufferevent_trigger (stream->bev, EV_READ, BEV_OPT_DEFER_CALLBACKS);
}

void
http_stream_discard (struct http_stream *stream)
{
  stream->discarding = true;
  if (!stream->parsing)
    drop_input (stream);
}

size_t
http_stream_memory (const struct http_stream *stream)
{
  size_t size = evbuffer_get_length (bufferevent_get_input (stream->bev))
                + evbuffer_get_length (bufferevent_get_output (stream->bev));
  if (stream->head != NULL)
    size += http_head_memory (stream->head) + stream->text_capacity;
  return size;
}

void
http_stream_pause (struct http_stream *stream)
{
  stream->paused = true;
  bufferevent_disable (stream->bev, EV_READ);
}

void
http_stream_resume (struct http_stream *stream)
{
  if (!stream->paused)
    return;
  stream->paused = false;
  if (stream->ended)
    return;
  bufferevent_enable (stream->bev, EV_READ);
  bufferevent_trigger (stream->bev, EV_READ, BEV_OPT_DEFER_CALLBACKS);
}

/// @return true when a client has closed its side, but its close is not read
///         since reading has stopped. A server's bytes are read in any case.
static bool
has_unread_close (const struct http_stream *stream)
{
  bool stopped
      = stream->paused || http_stream_unread (stream) >= INPUT_BYTES_MAX;
  return stopped && stream->parser.type == HTTP_REQUEST
         && http_socket_is_closed_by_peer (bufferevent_getfd (stream->bev));
}

void
http_stream_check_peer (struct http_stream *stream, uint64_t now_ms)
{
  if (!stream->ended && has_unread_close (stream))
    {
      bufferevent_trigger_event (stream->bev,
                                 BEV_EVENT_EOF | BEV_EVENT_READING,
                                 BEV_OPT_DEFER_CALLBACKS);
      return;
    }
  if (stream->ended
      || !http_peer_watch_is_lost (&stream->peer_watch,
                                   bufferevent_getfd (stream->bev), now_ms))
    return;
  EVUTIL_SET_SOCKET_ERROR (ETIMEDOUT);
  bufferevent_trigger_event (stream->bev, BEV_EVENT_ERROR | BEV_EVENT_READING,
                             BEV_OPT_DEFER_CALLBACKS);
}

struct evbuffer *
http_stream_output (struct http_stream *stream)
{
  return bufferevent_get_output (stream->bev);
}

size_t
http_stream_unread (const struct http_stream *stream)
{
  return evbuffer_get_length (bufferevent_get_input (stream->bev));
}

static void
set_option (evutil_socket_t fd, int level, int option, int value)
{
  /* Errors are ignored: a socket without the option still works, only less
     promptly. */
  setsockopt (fd, level, option, &value, sizeof value);
}

void
http_set_socket_options (evutil_socket_t fd)
{
  set_option (fd, IPPROTO_TCP, TCP_NODELAY, 1);
  set_option (fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  set_option (fd, IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S);
  set_option (fd, IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S);
  set_option (fd, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES);
}

void
http_set_user_timeout (evutil_socket_t fd)
{
  set_option (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, USER_TIMEOUT_MS);
}
