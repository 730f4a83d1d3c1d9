/// Feeds arbitrary bytes to the strict check and to http_parser, byte by byte.
/// Invariant: where both accept a message and its framing, they see the same
/// head and the same end.
#include "transport/http_message_check.h"

#include <stdlib.h>

#define CHECK(condition)                                                      \
  do                                                                          \
    if (!(condition))                                                         \
      abort ();                                                               \
  while (0)

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

struct parse
{
  bool no_body;
  const struct http_message_check *check;
  bool head_complete;
  bool message_complete;
};

static bool
is_informational (const http_parser *parser)
{
  return parser->type == HTTP_RESPONSE && parser->status_code >= 100
         && parser->status_code < 200;
}

static int
on_headers_complete (http_parser *parser)
{
  struct parse *parse = parser->data;
  parser->upgrade = 0;
  if (parser->type == HTTP_REQUEST && parser->method == HTTP_CONNECT)
    return -1;
  if (is_informational (parser))
    return 0;
  parse->head_complete = true;
  /* http_stream refuses a message that the two frame differently. */
  bool has_length = (parser->flags & F_CONTENTLENGTH) != 0;
  if (((parser->flags & F_CHUNKED) != 0) != parse->check->chunked
      || has_length != parse->check->has_length
      || (has_length && parser->content_length != parse->check->length))
    return -1;
  bool no_body = parse->no_body
                 || (parser->type == HTTP_RESPONSE
                     && http_status_has_no_body (parser->status_code));
  return no_body ? 1 : 0;
}

static int
on_message_complete (http_parser *parser)
{
  struct parse *parse = parser->data;
  if (is_informational (parser))
    return 0;
  parse->message_complete = true;
  http_parser_pause (parser, 1);
  return 0;
}

static bool
in_head (const struct http_message_check *check)
{
  return check->state < HTTP_MESSAGE_CHUNK && !check->in_trailer;
}

static bool
ends_with_head (const struct http_message_check *check, bool no_body)
{
  if (check->type == HTTP_RESPONSE
      && (no_body || http_status_has_no_body (check->status)))
    return true;
  return check->has_length ? check->length == 0
                           : check->type == HTTP_REQUEST && !check->chunked;
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static const http_parser_settings settings
      = { .on_headers_complete = on_headers_complete,
          .on_message_complete = on_message_complete };
  if (size == 0)
    return 0;
  enum http_parser_type type = data[0] & 1 ? HTTP_RESPONSE : HTTP_REQUEST;
  struct http_message_check check;
  struct parse parse
      = { .no_body = type == HTTP_RESPONSE && (data[0] & 2) != 0,
          .check = &check };
  http_parser parser;
  http_message_check_init (&check, type);
  check.no_body = parse.no_body;
  http_parser_init (&parser, type);
  parser.data = &parse;
  for (size_t i = 1; i < size && check.state != HTTP_MESSAGE_CHECKED; i++)
    {
      const char *byte = (const char *)data + i;
      if (!http_message_check_feed (&check, byte, 1))
        return 0;
      http_parser_execute (&parser, &settings, byte, 1);
      enum http_errno error = HTTP_PARSER_ERRNO (&parser);
      if (error != HPE_OK && error != HPE_PAUSED)
        return 0;
      CHECK (parse.head_complete == !in_head (&check));
      if (!parse.head_complete)
        continue;
      CHECK (check.type == HTTP_REQUEST || check.status == parser.status_code);
      bool ended
          = check.state == HTTP_MESSAGE_CHECKED
            && (check.chunked || ends_with_head (&check, parse.no_body));
      CHECK (parse.message_complete == ended);
    }
  return 0;
}
