/// Owns the library's last message; checks the values of a mesh with the rules
/// of the declaration document.
#include "lib/lib_mesh.h"

#include <stdarg.h>
#include <string.h>

#define VERSION_MAX 31
#define PREFIX_MAX 255

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
                            "%s name \"%.80s\": 1 to %zu of a-z, 0-9 and '-' "
                            "are accepted, first a letter",
                            what, name == NULL ? "" : name, max);
}

enum hawthornseam_status
hawthornseam_check_version (const char *object, const char *field,
                            const char *version)
{
  size_t size = version == NULL ? 0 : strlen (version);
  if (size > 0 && size <= VERSION_MAX && strchr ("._-", version[0]) == NULL
      && strspn (version, "abcdefghijklmnopqrstuvwxyz"
                          "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-")
             == size)
    return HAWTHORNSEAM_OK;
  return hawthornseam_fail (HAWTHORNSEAM_INVALID,
                            "%.80s: %s \"%.80s\": 1 to %d letters, digits, "
                            "'.', '_' and '-' are accepted, first a letter or "
                            "digit",
                            object, field, version == NULL ? "" : version,
                            VERSION_MAX);
}

/// @return true when a segment is "." or ".."
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
  bool accepted
      = prefix != NULL && prefix[0] == '/' && strlen (prefix) <= PREFIX_MAX
        && strstr (prefix, "//") == NULL && !has_dot_segment (prefix);
  for (const char *c = prefix; accepted && *c != '\0'; c++)
    accepted = *c > ' ' && *c <= '~' && strchr ("?#%\"<>\\^`{|}*", *c) == NULL;
  if (accepted)
    return HAWTHORNSEAM_OK;
  return hawthornseam_fail (HAWTHORNSEAM_INVALID,
                            "%.80s: prefix \"%.80s\" is no path of at most "
                            "%d bytes such as /zapisy/",
                            object, prefix == NULL ? "" : prefix, PREFIX_MAX);
}

/// @return days of a month, or 0 when there is no such month
static int
days_of (int year, int month)
{
  static const int days[]
      = { 0, 31, 28, 31, 30, 31, 30, 31, 31, 30, 31, 30, 31 };
  if (month < 1 || month > 12)
    return 0;
  bool leap = (year % 4 == 0 && year % 100 != 0) || year % 400 == 0;
  return days[month] + (month == 2 && leap ? 1 : 0);
}

static int
two_digits (const char *text)
{
  return (text[0] - '0') * 10 + (text[1] - '0');
}

enum hawthornseam_status
hawthornseam_check_time (const char *object, const char *time)
{
  static const char shape[] = "dddd-dd-ddTdd:dd:ddZ";
  bool accepted = time != NULL && strlen (time) == sizeof shape - 1;
  for (size_t i = 0; accepted && i < sizeof shape - 1; i++)
    accepted = shape[i] == 'd' ? time[i] >= '0' && time[i] <= '9'
                               : time[i] == shape[i];
  if (accepted)
    {
      int year = two_digits (time) * 100 + two_digits (time + 2);
      int day = two_digits (time + 8);
      accepted = year >= 1970 && day >= 1
                 && day <= days_of (year, two_digits (time + 5))
                 && two_digits (time + 11) < 24 && two_digits (time + 14) < 60
                 && two_digits (time + 17) < 60;
    }
  if (accepted)
    return HAWTHORNSEAM_OK;
  return hawthornseam_fail (HAWTHORNSEAM_INVALID,
                            "%.80s: by \"%.80s\" is no time in UTC such as "
                            "2026-03-12T06:00:00Z",
                            object, time == NULL ? "" : time);
}
