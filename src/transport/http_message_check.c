/// Owns nothing; the owner of the connection keeps the state of the check.
#include "transport/http_message_check.h"

#include "transport/http_head.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

/// Offsets in a status line, "HTTP/1.1 200 OK": of the minor version, of the
/// first digit of the status, and behind its last one. That of the version
/// holds in any version.
#define VERSION_OFFSET 7
#define STATUS_OFFSET 9
#define STATUS_END 12

/// Never valid: no request asks for another protocol.
#define SWITCHING_PROTOCOLS 101

#define NO_CONTENT 204
#define NOT_MODIFIED 304

/// Decimal digits of a length that always fit into 63 bits.
#define LENGTH_DIGITS_MAX 18

/// The fields that frame a body, as bits.
enum framing
{
  FRAMING_LENGTH = 1,
  FRAMING_CODING = 2
};

static const struct
{
  enum framing framing;
  const char *name; ///< in lower case
} framing_fields[] = { { FRAMING_LENGTH, "content-length" },
                       { FRAMING_CODING, "transfer-encoding" } };

void
http_message_check_init (struct http_message_check *check,
                         enum http_parser_type type)
{
  *check = (struct http_message_check){ .type = type };
}

void
http_message_check_next (struct http_message_check *check)
{
  *check = (struct http_message_check){ .type = check->type,
                                        .no_body = check->no_body };
}

bool
http_status_has_no_body (unsigned status)
{
  return status == NO_CONTENT || status == NOT_MODIFIED;
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
is_informational (const struct http_message_check *check)
{
  return check->status >= 100 && check->status < 200;
}

/// Handles a byte of a version: HTTP/1.0 or HTTP/1.1.
static bool
check_version (struct http_message_check *check, size_t offset,
               unsigned char c)
{
  if (offset < VERSION_OFFSET)
    return c == (unsigned char)"HTTP/1."[offset];
  check->minor = (unsigned)(c - '0');
  return offset == VERSION_OFFSET && (c == '0' || c == '1');
}

/// Handles a byte of a status line: a version, a space, the status, and a
/// space before the reason, which may be missing.
static bool
check_status_line (struct http_message_check *check, unsigned char c)
{
  size_t offset = check->first_size;
  if (offset <= VERSION_OFFSET)
    return check_version (check, offset, c);
  if (offset < STATUS_OFFSET || offset == STATUS_END)
    return c == ' ';
  if (offset > STATUS_END)
    return !is_control (c);
  check->status = 10 * check->status + (unsigned)(c - '0');
  if (offset == STATUS_OFFSET)
    return c >= '1' && c <= '5';
  return c >= '0' && c <= '9' && check->status != SWITCHING_PROTOCOLS;
}

/// Handles a byte of a request line: two spaces, the version behind them.
static bool
check_request_line (struct http_message_check *check, unsigned char c)
{
  if (c == ' ')
    return ++check->spaces <= 2;
  if (check->spaces < 2)
    return !is_control (c);
  return check_version (check, check->version_size++, c);
}

/// Handles a byte of the first line.
static bool
check_first_line (struct http_message_check *check, unsigned char c)
{
  bool request = check->type == HTTP_REQUEST;
  if (c == '\r')
    {
      check->state = HTTP_MESSAGE_CR;
      return request ? check->version_size == VERSION_OFFSET + 1
                     : check->first_size >= STATUS_END;
    }
  bool valid
      = request ? check_request_line (check, c) : check_status_line (check, c);
  check->first_size++;
  return valid;
}

/// Handles a byte of a field's name.
static bool
check_name (struct http_message_check *check, unsigned char c)
{
  if (check->state == HTTP_MESSAGE_FIELD)
    {
      check->name_size = 0;
      check->framing_matches = FRAMING_LENGTH | FRAMING_CODING;
    }
  check->state = HTTP_MESSAGE_NAME;
  for (size_t i = 0; i < sizeof framing_fields / sizeof framing_fields[0]; i++)
    {
      const char *name = framing_fields[i].name;
      char expected = c == ':' ? '\0' : (char)(c | 0x20);
      if (check->name_size > strlen (name)
          || name[check->name_size] != expected)
        check->framing_matches &= ~(unsigned)framing_fields[i].framing;
    }
  check->name_size++;
  if (c != ':')
    return is_token (c);
  check->state = HTTP_MESSAGE_VALUE;
  check->value_size = 0;
  return check->name_size > 1;
}

/// Reads the length of a body: decimal digits, with blanks around them at
/// most.
static bool
read_length (struct http_message_check *check)
{
  const char *text = check->value + strspn (check->value, " \t");
  size_t digits = strspn (text, "0123456789");
  size_t zeros = strspn (text, "0");
  if (check->has_length || digits == 0 || digits - zeros > LENGTH_DIGITS_MAX)
    return false;
  check->has_length = true;
  check->length = strtoull (text, NULL, 10);
  return text[digits + strspn (text + digits, " \t")] == '\0';
}

static bool
read_coding (struct http_message_check *check)
{
  if (check->chunked)
    return false;
  check->chunked = true;
  return strcasecmp (check->value + strspn (check->value, " \t"), "chunked")
         == 0;
}

/// Handles the end of a field.
static bool
check_field (struct http_message_check *check)
{
  if (check->framing_matches == 0)
    return true;
  if (check->in_trailer || check->value_size >= sizeof check->value)
    return false;
  check->value[check->value_size] = '\0';
  return check->framing_matches == FRAMING_LENGTH ? read_length (check)
                                                  : read_coding (check);
}

/// Handles a byte of a field's value.
static bool
check_value (struct http_message_check *check, unsigned char c)
{
  if (c == '\r')
    {
      check->state = HTTP_MESSAGE_CR;
      return check_field (check);
    }
  if (check->framing_matches != 0 && check->value_size < sizeof check->value)
    check->value[check->value_size++] = (char)c;
  return c == '\t' || !is_control (c);
}

/// Handles the end of an informational response, which is followed by another
/// head.
static bool
check_informational (struct http_message_check *check)
{
  unsigned count = check->informational_count + 1;
  http_message_check_next (check);
  check->informational_count = count;
  return count <= HTTP_INFORMATIONAL_MAX;
}

/// Handles the end of a head or trailer.
static bool
check_head (struct http_message_check *check)
{
  bool has_body = check->chunked || check->length > 0;
  bool no_body = check->no_body || http_status_has_no_body (check->status);
  check->state = check->chunked && !check->in_trailer && !no_body
                     ? HTTP_MESSAGE_CHUNK
                     : HTTP_MESSAGE_CHECKED;
  if (check->chunked && check->has_length)
    return false;
  if (check->type == HTTP_REQUEST)
    return true;
  if (check->chunked && check->minor == 0)
    return false;
  if (is_informational (check))
    return !has_body && check_informational (check);
  return check->status != NO_CONTENT || !has_body;
}

/// @return the value of a hexadecimal digit, or -1
static int
hex_digit (unsigned char c)
{
  if (c >= '0' && c <= '9')
    return c - '0';
  c |= 0x20;
  return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

/// Handles a byte of a chunk's size, or the one behind it.
static bool
check_chunk_size (struct http_message_check *check, unsigned char c)
{
  int digit = hex_digit (c);
  if (check->state == HTTP_MESSAGE_CHUNK)
    {
      check->chunk_left = 0;
      check->chunk_line_bytes = 0;
      if (digit < 0)
        return false;
    }
  check->state = HTTP_MESSAGE_CHUNK_SIZE;
  if (digit >= 0)
    {
      if (check->chunk_left > UINT64_MAX >> 8)
        return false;
      check->chunk_left = check->chunk_left << 4 | (unsigned)digit;
      return true;
    }
  if (c == '\r')
    check->state = HTTP_MESSAGE_CHUNK_LINE_CR;
  else if (c == ';')
    check->state = HTTP_MESSAGE_CHUNK_EXTENSION;
  else
    check->state = HTTP_MESSAGE_CHUNK_BLANK;
  return c == '\r' || c == ';' || c == ' ' || c == '\t';
}

/// Handles a byte of the line with a chunk's size.
static bool
check_chunk_line (struct http_message_check *check, unsigned char c)
{
  check->chunk_line_bytes++;
  if (check->chunk_line_bytes > HTTP_CHUNK_LINE_MAX)
    return false;
  switch (check->state)
    {
    case HTTP_MESSAGE_CHUNK_BLANK:
      if (c == ';')
        check->state = HTTP_MESSAGE_CHUNK_EXTENSION;
      return c == ';' || c == ' ' || c == '\t';
    case HTTP_MESSAGE_CHUNK_EXTENSION:
      if (c == '\r')
        check->state = HTTP_MESSAGE_CHUNK_LINE_CR;
      return c == '\r' || c == '\t' || !is_control (c);
    default:
      return check_chunk_size (check, c);
    }
}

/// Handles the end of the line with a chunk's size; the last chunk is followed
/// by the trailer.
static void
start_chunk_data (struct http_message_check *check)
{
  check->in_trailer = check->chunk_left == 0;
  check->state
      = check->in_trailer ? HTTP_MESSAGE_FIELD : HTTP_MESSAGE_CHUNK_DATA;
}

/// Skips data of a chunk.
/// @return bytes skipped
static size_t
skip_chunk_data (struct http_message_check *check, size_t size)
{
  if (size >= check->chunk_left)
    {
      size = (size_t)check->chunk_left;
      check->state = HTTP_MESSAGE_CHUNK_END;
    }
  check->chunk_left -= size;
  return size;
}

static bool
check_byte (struct http_message_check *check, unsigned char c)
{
  switch (check->state)
    {
    case HTTP_MESSAGE_START:
      if (c == '\r')
        {
          check->state = HTTP_MESSAGE_START_CR;
          return check->type == HTTP_REQUEST;
        }
      check->state = HTTP_MESSAGE_FIRST_LINE;
      return check_first_line (check, c);
    case HTTP_MESSAGE_START_CR:
      check->state = HTTP_MESSAGE_START;
      return c == '\n';
    case HTTP_MESSAGE_FIRST_LINE:
      return check_first_line (check, c);
    case HTTP_MESSAGE_CR:
      check->state = HTTP_MESSAGE_FIELD;
      return c == '\n';
    case HTTP_MESSAGE_FIELD:
      if (c == '\r')
        {
          check->state = HTTP_MESSAGE_LAST_CR;
          return true;
        }
      return check_name (check, c);
    case HTTP_MESSAGE_NAME:
      return check_name (check, c);
    case HTTP_MESSAGE_VALUE:
      return check_value (check, c);
    case HTTP_MESSAGE_LAST_CR:
      return c == '\n' && check_head (check);
    case HTTP_MESSAGE_CHUNK:
    case HTTP_MESSAGE_CHUNK_SIZE:
    case HTTP_MESSAGE_CHUNK_BLANK:
    case HTTP_MESSAGE_CHUNK_EXTENSION:
      return check_chunk_line (check, c);
    case HTTP_MESSAGE_CHUNK_LINE_CR:
      start_chunk_data (check);
      return c == '\n';
    case HTTP_MESSAGE_CHUNK_END:
      check->state = HTTP_MESSAGE_CHUNK_END_CR;
      return c == '\r';
    case HTTP_MESSAGE_CHUNK_END_CR:
      check->state = HTTP_MESSAGE_CHUNK;
      return c == '\n';
    case HTTP_MESSAGE_CHUNK_DATA:
    case HTTP_MESSAGE_CHECKED:
      return true;
    }
  return false;
}

bool
http_message_check_feed (struct http_message_check *check, const char *data,
                         size_t size)
{
  size_t used = 0;
  while (used < size && check->state != HTTP_MESSAGE_CHECKED)
    if (check->state == HTTP_MESSAGE_CHUNK_DATA)
      used += skip_chunk_data (check, size - used);
    else if (!check_byte (check, (unsigned char)data[used++]))
      return false;
  return true;
}

bool
http_request_has_strict_host (const struct http_head *head,
                              const http_parser *parser)
{
  const char *host = NULL;
  size_t count = 0;
  struct http_field field = { 0 };
  while (http_head_next (head, &field))
    if (strcasecmp (field.name, "Host") == 0)
      {
        host = field.value;
        count++;
      }
  if (count == 0)
    return parser->http_minor == 0;
  return count == 1 && strpbrk (host, " \t,/\\@?#") == NULL;
}
