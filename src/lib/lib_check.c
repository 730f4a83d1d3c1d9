/// Error messages of the library, and checks of names, versions, prefixes and
/// times by the rules of the declaration document. Owns the last message.
#include "lib/lib_mesh.h"

#include <stdarg.h>
#include <string.h>

#define VERSION_BYTES_MAX 31
#define PREFIX_BYTES_MAX 255

static char last_message[512];

enum hawthornseam_status
hawthornseam_fail (enum hawthornseam_status status, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  vsnprintf (last_message, sizeof last_message, format, args);
  va_end (args);
  return status;
}

const char *
hawthornseam_message (void)
{
  return last_message;
}

const char *
hawthornseam_status_name (enum hawthornseam_status status)
{
  switch (status)
    {
    case HAWTHORNSEAM_OK:
      return "ok";
    case HAWTHORNSEAM_INVALID:
      return "invalid";
    case HAWTHORNSEAM_DUPLICATE:
      return "duplicate";
    case HAWTHORNSEAM_UNDECLARED:
      return "undeclared";
    case HAWTHORNSEAM_TOO_MANY:
      return "too_many";
    case HAWTHORNSEAM_OUTPUT:
      return "output";
    case HAWTHORNSEAM_NO_MEMORY:
      return "no_memory";
    }
  return "invalid_status";
}

enum hawthornseam_status
hawthornseam_check_name (const char *what, const char *name, size_t max)
{
  size_t size = name == NULL ? 0 : strlen (name);
  if (size > 0 && size <= max && name[0] >= 'a' && name[0] <= 'z'
      && strspn (name, "abcdefghijklmnopqrstuvwxyz0123456789-") == size)
    return HAWTHORNSEAM_OK;
  return hawthornseam_fail (HAWTHORNSEAM_INVALID,
                            "%s name \"%.80s\": a name has 1 to %zu "
                            "characters of a-z, 0-9 and '-' and starts with a "
                            "letter",
                            what, name == NULL ? "" : name, max);
}

enum hawthornseam_status
hawthornseam_check_version (const char *object, const char *field,
                            const char *version)
{
  size_t size = version == NULL ? 0 : strlen (version);
  if (size > 0 && size <= VERSION_BYTES_MAX
      && strchr ("._-", version[0]) == NULL
      && strspn (version, "abcdefghijklmnopqrstuvwxyz"
                          "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-")
             == size)
    return HAWTHORNSEAM_OK;
  return hawthornseam_fail (
      HAWTHORNSEAM_INVALID,
      "%.80s: %s \"%.80s\": a version has 1 to %d "
      "letters, digits, '.', '_' and '-' and starts with "
      "a letter or digit",
      object, field, version == NULL ? "" : version, VERSION_BYTES_MAX);
}

/// @return true when a segment of the prefix is "." or ".."
static bool
has_dot_segment (const char *prefix)
{
  for (const char *segment = prefix; segment != NULL;
       segment = strchr (segment + 1, '/'))
    {
      size_t size = strcspn (segment + 1, "/");
      if ((size == 1 && segment[1] == '.')
          || (size == 2 && segment[1] == '.' && segment[2] == '.'))
        return true;
    }
  return false;
}

enum hawthornseam_status
hawthornseam_check_prefix (const char *object, const char *prefix)
{
  bool valid = prefix != NULL && prefix[0] == '/'
               && strlen (prefix) <= PREFIX_BYTES_MAX
               && strstr (prefix, "//") == NULL && !has_dot_segment (prefix);
  for (const char *c = prefix; valid && *c != '\0'; c++)
    valid = *c > ' ' && *c <= '~' && strchr ("?#%\"<>\\^`{|}*", *c) == NULL;
  if (valid)
    return HAWTHORNSEAM_OK;
  return hawthornseam_fail (HAWTHORNSEAM_INVALID,
                            "%.80s: prefix \"%.80s\" is not a path of at "
                            "most %d bytes such as /zapisy/",
                            object, prefix == NULL ? "" : prefix,
                            PREFIX_BYTES_MAX);
}

/// @return the number of days of a month, 0 for an invalid month
static int
days_in_month (int year, int month)
{
  static const int days[]
      = { 0, 31, 28, 31, 30, 31, 30, 31, 31, 30, 31, 30, 31 };
  if (month < 1 || month > 12)
    return 0;
  bool leap = (year % 4 == 0 && year % 100 != 0) || year % 400 == 0;
  return days[month] + (month == 2 && leap ? 1 : 0);
}

static int
parse_two_digits (const char *text)
{
  return (text[0] - '0') * 10 + (text[1] - '0');
}

enum hawthornseam_status
hawthornseam_check_time (const char *object, const char *time)
{
  static const char pattern[] = "dddd-dd-ddTdd:dd:ddZ";
  bool valid = time != NULL && strlen (time) == sizeof pattern - 1;
  for (size_t i = 0; valid && i < sizeof pattern - 1; i++)
    valid = pattern[i] == 'd' ? time[i] >= '0' && time[i] <= '9'
                              : time[i] == pattern[i];
  if (valid)
    {
      int year = parse_two_digits (time) * 100 + parse_two_digits (time + 2);
      int day = parse_two_digits (time + 8);
      valid = year >= 1970 && day >= 1
              && day <= days_in_month (year, parse_two_digits (time + 5))
              && parse_two_digits (time + 11) < 24
              && parse_two_digits (time + 14) < 60
              && parse_two_digits (time + 17) < 60;
    }
  if (valid)
    return HAWTHORNSEAM_OK;
  return hawthornseam_fail (HAWTHORNSEAM_INVALID,
                            "%.80s: by \"%.80s\" is not a UTC time such as "
                            "2026-03-12T06:00:00Z",
                            object, time == NULL ? "" : time);
}
