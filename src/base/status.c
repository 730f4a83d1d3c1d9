/// Owns the process's last error message. The process has a single thread.
#include "base/status.h"

#include <assert.h>
#include <stdarg.h>
#include <stdio.h>

static char last_message[512];

enum status
status_set (enum status code, const char *format, ...)
{
  assert (code != STATUS_OK);
  va_list args;
  va_start (args, format);
  vsnprintf (last_message, sizeof last_message, format, args);
  va_end (args);
  return code;
}

const char *
status_message (void)
{
  return last_message;
}

const char *
status_name (enum status code)
{
  switch (code)
    {
    case STATUS_OK:
      return "ok";
    case STATUS_INVALID:
      return "invalid";
    case STATUS_NOT_FOUND:
      return "not_found";
    case STATUS_CONFLICT:
      return "conflict";
    case STATUS_UNAVAILABLE:
      return "unavailable";
    case STATUS_UNKNOWN:
      return "unknown";
    case STATUS_TIMEOUT:
      return "timeout";
    case STATUS_TOO_OLD:
      return "too_old";
    case STATUS_TOO_LARGE:
      return "too_large";
    case STATUS_CORRUPT:
      return "corrupt";
    case STATUS_DENIED:
      return "denied";
    case STATUS_UNSUPPORTED:
      return "unsupported";
    case STATUS_NO_MEMORY:
      return "no_memory";
    }
  return "invalid_status";
}
