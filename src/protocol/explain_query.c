/// Stateless.
#include "protocol/explain_query.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

bool
explain_query_is (const char *target)
{
  size_t size = strlen (EXPLAIN_PATH);
  return strncmp (target, EXPLAIN_PATH, size) == 0
         && (target[size] == '\0' || target[size] == '?');
}

/// @return the value of a hexadecimal digit, or -1
static int
digit_value (char digit)
{
  static const char digits[] = "0123456789abcdef";
  const char *lower = digit == '\0' ? NULL : strchr (digits, digit);
  if (lower != NULL)
    return (int)(lower - digits);
  return digit >= 'A' && digit <= 'F' ? digit - 'A' + 10 : -1;
}

/// Decodes a value. A space or a control byte occurs in no host, path or name
/// that a request can have, and a zero byte would end the text early.
/// @param room  bytes at `text`, including those for the terminating zero
/// @return false when it is empty, malformed or too long
static bool
decode (const char *value, size_t size, char *text, size_t room)
{
  size_t used = 0;
  for (size_t i = 0; i < size; i++)
    {
      unsigned char byte = (unsigned char)value[i];
      if (value[i] == '%')
        {
          int high = i + 2 < size ? digit_value (value[i + 1]) : -1;
          int low = high < 0 ? -1 : digit_value (value[i + 2]);
          if (low < 0)
            return false;
          byte = (unsigned char)(high * 16 + low);
          i += 2;
        }
      if (byte <= ' ' || byte == 0x7f || used + 1 >= room)
        return false;
      text[used++] = (char)byte;
    }
  text[used] = '\0';
  return used > 0;
}

/// Reads a decimal number.
static bool
read_number (const char *value, size_t size, uint64_t most, uint64_t *number)
{
  *number = 0;
  for (size_t i = 0; i < size; i++)
    {
      if (value[i] < '0' || value[i] > '9')
        return false;
      *number = *number * 10 + (uint64_t)(value[i] - '0');
      if (*number > most)
        return false;
    }
  return size > 0;
}

enum parameter
{
  PARAMETER_HOST,
  PARAMETER_PATH,
  PARAMETER_ACCOUNT,
  PARAMETER_BODY_BYTES,
  PARAMETER_DEADLINE_MS,
  PARAMETERS
};

static const char *const names[PARAMETERS]
    = { "host", "path", "account", "body_bytes", "deadline_ms" };

static enum parameter
find_parameter (const char *name, size_t size)
{
  for (size_t i = 0; i < PARAMETERS; i++)
    if (strlen (names[i]) == size && memcmp (names[i], name, size) == 0)
      return (enum parameter)i;
  return PARAMETERS;
}

static bool
read_value (struct explain_query *query, enum parameter parameter,
            const char *value, size_t size)
{
  uint64_t number;
  switch (parameter)
    {
    case PARAMETER_HOST:
      return decode (value, size, query->host, sizeof query->host);
    case PARAMETER_PATH:
      return decode (value, size, query->path, sizeof query->path)
             && query->path[0] == '/';
    case PARAMETER_ACCOUNT:
      return decode (value, size, query->account, sizeof query->account);
    case PARAMETER_BODY_BYTES:
      return read_number (value, size, EXPLAIN_BODY_BYTES_MAX,
                          &query->body_bytes);
    case PARAMETER_DEADLINE_MS:
      if (!read_number (value, size, UINT32_MAX, &number) || number == 0)
        return false;
      query->deadline_ms = (uint32_t)number;
      return true;
    case PARAMETERS:
      break;
    }
  return false;
}

enum status
explain_query_read (const char *target, struct explain_query *query)
{
  bool seen[PARAMETERS + 1] = { false };
  *query = (struct explain_query){ .body_bytes = 0 };
  const char *part = strchr (target, '?');
  while (part != NULL)
    {
      part++;
      size_t size = strcspn (part, "&");
      const char *equals = memchr (part, '=', size);
      size_t name_size = equals == NULL ? size : (size_t)(equals - part);
      enum parameter parameter = find_parameter (part, name_size);
      if (parameter == PARAMETERS || seen[parameter])
        return status_set (STATUS_INVALID, "parameter '%.*s' %s",
                           (int)(name_size < 40 ? name_size : 40), part,
                           parameter == PARAMETERS ? "is unknown"
                                                   : "occurs twice");
      if (equals == NULL
          || !read_value (query, parameter, equals + 1, size - name_size - 1))
        return status_set (STATUS_INVALID, "the value of '%s' is malformed",
                           names[parameter]);
      seen[parameter] = true;
      part = part[size] == '&' ? part + size : NULL;
    }
  if (!seen[PARAMETER_HOST] || !seen[PARAMETER_PATH])
    return status_set (STATUS_INVALID, "'%s' is missing",
                       seen[PARAMETER_HOST] ? "path" : "host");
  return STATUS_OK;
}

/// Appends a parameter with an encoded value.
static char *
encode (char *text, const char *name, const char *value)
{
  static const char unreserved[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                   "abcdefghijklmnopqrstuvwxyz"
                                   "0123456789-._~/:";
  text += sprintf (text, "%s=", name);
  for (; *value != '\0'; value++)
    if (strchr (unreserved, *value) != NULL)
      *text++ = *value;
    else
      text += sprintf (text, "%%%02X", (unsigned)(unsigned char)*value);
  *text = '\0';
  return text;
}

size_t
explain_query_write (const struct explain_query *query,
                     char text[EXPLAIN_QUERY_MAX])
{
  char *end = text + sprintf (text, EXPLAIN_PATH "?");
  end = encode (end, "host", query->host);
  *end++ = '&';
  end = encode (end, "path", query->path);
  if (query->account[0] != '\0')
    {
      *end++ = '&';
      end = encode (end, "account", query->account);
    }
  if (query->body_bytes > 0)
    end += sprintf (end, "&body_bytes=%" PRIu64, query->body_bytes);
  if (query->deadline_ms > 0)
    end += sprintf (end, "&deadline_ms=%" PRIu32, query->deadline_ms);
  return (size_t)(end - text);
}
