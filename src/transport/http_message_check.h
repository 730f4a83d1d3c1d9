/// Strict check of the bytes of HTTP/1.1 messages. The parsers accept forms
/// that another implementation may read as another message: line ends without
/// CR, folded fields, spaces before a colon, ambiguous lengths, status lines
/// without a valid status, chunks that do not end where their size says. Such
/// a message is rejected.
#ifndef HAWTHORNSEAM_TRANSPORT_HTTP_MESSAGE_CHECK_H
#define HAWTHORNSEAM_TRANSPORT_HTTP_MESSAGE_CHECK_H

#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct http_head;

enum http_message_state
{
  HTTP_MESSAGE_START,       ///< before the first line
  HTTP_MESSAGE_START_CR,    ///< after the CR of an empty line before it
  HTTP_MESSAGE_FIRST_LINE,  ///< in the request line or status line
  HTTP_MESSAGE_FIELD,       ///< at the start of a field or of the empty line
  HTTP_MESSAGE_NAME,        ///< in a field's name
  HTTP_MESSAGE_VALUE,       ///< in a field's value
  HTTP_MESSAGE_CR,          ///< after the CR of a line
  HTTP_MESSAGE_LAST_CR,     ///< after the CR of the empty line
  HTTP_MESSAGE_CHUNK,       ///< before a chunk
  HTTP_MESSAGE_CHUNK_SIZE,  ///< in the size of a chunk
  HTTP_MESSAGE_CHUNK_BLANK, ///< in the blanks between size and extension
  HTTP_MESSAGE_CHUNK_EXTENSION,
  HTTP_MESSAGE_CHUNK_LINE_CR, ///< after the CR of the line with the size
  HTTP_MESSAGE_CHUNK_DATA,
  HTTP_MESSAGE_CHUNK_END,    ///< before the CR behind a chunk's data
  HTTP_MESSAGE_CHUNK_END_CR, ///< after that CR
  HTTP_MESSAGE_CHECKED       ///< no byte up to the next message is checked
};

/// Informational responses that may precede a response.
#define HTTP_INFORMATIONAL_MAX 8

/// Bytes of the line with a chunk's size and extension, at most.
#define HTTP_CHUNK_LINE_MAX 4096

/// Bytes of the value of a field that frames the body, at most.
#define HTTP_FRAMING_VALUE_MAX 40

/// State of the check of one connection's input.
struct http_message_check
{
  enum http_parser_type type;
  bool no_body; ///< the response to the current request has no body (HEAD)
  enum http_message_state state;
  size_t first_size;   ///< bytes of the first line so far
  unsigned spaces;     ///< in a request line
  size_t version_size; ///< bytes of the version in a request line so far
  unsigned minor;      ///< of the version: HTTP/1.minor
  unsigned status;     ///< of a response, as far as it has been read
  unsigned informational_count;
  size_t name_size;         ///< bytes of the current field's name so far
  unsigned framing_matches; ///< fields that frame a body and whose names begin
                            ///< like the current name; bits of enum framing
  size_t value_size;        ///< bytes of that field's value so far
  char value[HTTP_FRAMING_VALUE_MAX];
  bool has_length; ///< Content-Length is present
  uint64_t length;
  bool chunked; ///< Transfer-Encoding is present
  bool in_trailer;
  uint64_t chunk_left; ///< size of the current chunk, or what is left of it
  size_t chunk_line_bytes; ///< of the line with its size so far
};

void http_message_check_init (struct http_message_check *check,
                              enum http_parser_type type);

/// Starts the check of the next message.
void http_message_check_next (struct http_message_check *check);

/// Checks the next bytes of the input. Those of a body that is not chunked and
/// those after the message are ignored.
/// @return false for a malformed message
bool http_message_check_feed (struct http_message_check *check,
                              const char *data, size_t size);

/// @return true if a response with this status never has a body
bool http_status_has_no_body (unsigned status);

/// @return false when the host of a request is missing or ambiguous
bool http_request_has_strict_host (const struct http_head *head,
                                   const http_parser *parser);

#endif
