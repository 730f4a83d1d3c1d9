/// Strict check of the heads of HTTP/1.1 messages. The parser accepts forms
/// that another implementation may read as another message: line ends without
/// CR, folded fields, spaces before a colon, ambiguous lengths, status lines
/// without a valid status. Such a message is rejected.
#ifndef HAWTHORNSEAM_TRANSPORT_HTTP_HEAD_CHECK_H
#define HAWTHORNSEAM_TRANSPORT_HTTP_HEAD_CHECK_H

#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct http_head;

enum http_line_state
{
  HTTP_LINE_START,    ///< before the first line
  HTTP_LINE_START_CR, ///< after the CR of an empty line before it
  HTTP_LINE_FIRST,    ///< in the request line or status line
  HTTP_LINE_FIELD,    ///< at the start of a field or of the empty line
  HTTP_LINE_NAME,     ///< in a field's name
  HTTP_LINE_VALUE,    ///< in a field's value
  HTTP_LINE_CR,       ///< after the CR of a line
  HTTP_LINE_LAST_CR,  ///< after the CR of the empty line
  HTTP_LINE_COMPLETE  ///< after the head
};

/// Informational responses that may precede a response.
#define HTTP_INFORMATIONAL_MAX 8

/// State of the check of one connection's input.
struct http_line_check
{
  enum http_parser_type type;
  enum http_line_state state;
  size_t first_size; ///< bytes of the first line so far
  unsigned spaces;   ///< in the first line
  unsigned status;   ///< of a response, as far as it has been read
  unsigned informational_count;
};

void http_line_check_init (struct http_line_check *check,
                           enum http_parser_type type);

/// Starts the check of the next message's head.
void http_line_check_next (struct http_line_check *check);

/// Checks the next bytes of the input. Those after the head are ignored.
/// @return false for a malformed head
bool http_line_check_feed (struct http_line_check *check, const char *data,
                           size_t size);

/// Checks the fields of a complete head that frame the message or name its
/// host.
/// @return false when they are malformed or ambiguous
bool http_head_is_strict (const struct http_head *head,
                          const http_parser *parser);

#endif
