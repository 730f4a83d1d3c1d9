/// Owns nothing; the stream keeps the state of the check.
#include "transport/http_head_check.h"

#include "transport/http_stream.h"

#include <string.h>
#include <strings.h>

/// Offsets in a status line, "HTTP/1.1 200 OK": of the minor version, of the
/// first digit of the status, and behind its last one.
#define VERSION_OFFSET 7
#define STATUS_OFFSET 9
#define STATUS_END 12

/// Never valid: no request asks for another protocol.
#define SWITCHING_PROTOCOLS 101

void
http_line_check_init (struct http_line_check *check,
                      enum http_parser_type type)
{
  *check = (struct http_line_check){ .type = type };
}

void
http_line_check_next (struct http_line_check *check)
{
  http_line_check_init (check, check->type);
}

static bool
is_token (unsigned char c)
{
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z')
         || (c >= 'A' && c <= 'Z')
         || (c != '\0' && strchr ("!#$%&'*+-.^_`|~", c) != NULL);
}

static bool
is_control (unsigned char c)
{
  return c < 0x20 || c == 0x7f;
}

static bool
is_informational (const struct http_line_check *check)
{
  return check->status >= 100 && check->status < 200;
}

/// Handles a byte of a status line: HTTP/1.0 or HTTP/1.1, a space, the status,
/// and a space before the reason, which may be missing.
static bool
check_status_line (struct http_line_check *check, unsigned char c)
{
  size_t offset = check->first_size;
  if (offset < VERSION_OFFSET)
    return c == "HTTP/1."[offset];
  if (offset == VERSION_OFFSET)
    return c == '0' || c == '1';
  if (offset < STATUS_OFFSET || offset == STATUS_END)
    return c == ' ';
  if (offset > STATUS_END)
    return true;
  check->status = 10 * check->status + (unsigned)(c - '0');
  if (offset == STATUS_OFFSET)
    return c >= '1' && c <= '5';
  return c >= '0' && c <= '9' && check->status != SWITCHING_PROTOCOLS;
}

/// Handles a byte of the first line.
static bool
check_first (struct http_line_check *check, unsigned char c)
{
  bool request = check->type == HTTP_REQUEST;
  if (c == '\r')
    {
      check->state = HTTP_LINE_CR;
      return request ? check->spaces == 2 : check->first_size >= STATUS_END;
    }
  if (!request && !check_status_line (check, c))
    return false;
  check->spaces += c == ' ';
  check->first_size++;
  return !is_control (c);
}

/// Handles the end of a head: an informational response is followed by another
/// head.
static bool
check_end (struct http_line_check *check)
{
  if (!is_informational (check))
    {
      check->state = HTTP_LINE_COMPLETE;
      return true;
    }
  unsigned count = check->informational_count + 1;
  http_line_check_next (check);
  check->informational_count = count;
  return count <= HTTP_INFORMATIONAL_MAX;
}

static bool
check_byte (struct http_line_check *check, unsigned char c)
{
  switch (check->state)
    {
    case HTTP_LINE_START:
      if (c == '\r')
        {
          check->state = HTTP_LINE_START_CR;
          return check->type == HTTP_REQUEST;
        }
      check->state = HTTP_LINE_FIRST;
      return check_first (check, c);
    case HTTP_LINE_START_CR:
      check->state = HTTP_LINE_START;
      return c == '\n';
    case HTTP_LINE_FIRST:
      return check_first (check, c);
    case HTTP_LINE_CR:
      check->state = HTTP_LINE_FIELD;
      return c == '\n';
    case HTTP_LINE_FIELD:
      check->state = c == '\r' ? HTTP_LINE_LAST_CR : HTTP_LINE_NAME;
      return c == '\r' || is_token (c);
    case HTTP_LINE_NAME:
      if (c == ':')
        check->state = HTTP_LINE_VALUE;
      return c == ':' || is_token (c);
    case HTTP_LINE_VALUE:
      if (c == '\r')
        check->state = HTTP_LINE_CR;
      return c == '\r' || c == '\t' || !is_control (c);
    case HTTP_LINE_LAST_CR:
      return c == '\n' && check_end (check);
    case HTTP_LINE_COMPLETE:
      return true;
    }
  return false;
}

bool
http_line_check_feed (struct http_line_check *check, const char *data,
                      size_t size)
{
  for (size_t i = 0; i < size && check->state != HTTP_LINE_COMPLETE; i++)
    if (!check_byte (check, (unsigned char)data[i]))
      return false;
  return true;
}

static size_t
count_fields (const struct http_head *head, const char *name)
{
  size_t count = 0;
  struct http_field field = { 0 };
  while (http_head_next (head, &field))
    count += strcasecmp (field.name, name) == 0;
  return count;
}

/// @return true for decimal digits, with spaces around them at most
static bool
is_length (const char *text)
{
  text += strspn (text, " \t");
  size_t digits = strspn (text, "0123456789");
  const char *rest = text + digits;
  return digits > 0 && rest[strspn (rest, " \t")] == '\0';
}

static bool
has_strict_framing (const struct http_head *head)
{
  const char *length = http_head_find (head, "Content-Length");
  const char *coding = http_head_find (head, "Transfer-Encoding");
  if (count_fields (head, "Content-Length") > 1
      || count_fields (head, "Transfer-Encoding") > 1)
    return false;
  if (coding != NULL)
    return length == NULL && strcasecmp (coding, "chunked") == 0;
  return length == NULL || is_length (length);
}

static bool
has_strict_host (const struct http_head *head, const http_parser *parser)
{
  const char *host = http_head_find (head, "Host");
  size_t count = count_fields (head, "Host");
  if (count == 0)
    return parser->http_minor == 0;
  return count == 1 && strpbrk (host, " \t,/\\@?#") == NULL;
}

bool
http_head_is_strict (const struct http_head *head, const http_parser *parser)
{
  if (parser->http_major != 1 || parser->http_minor > 1
      || !has_strict_framing (head))
    return false;
  return parser->type != HTTP_REQUEST || has_strict_host (head, parser);
}
