/// Owns the log threshold of the process.
#include "base/log.h"

#include "base/clock.h"

#include <stdarg.h>
#include <stdio.h>

static enum log_level threshold = LOG_LEVEL_INFO;

static const char *const level_names[]
    = { "debug", "info", "warning", "error" };

void
log_set_level (enum log_level level)
{
  threshold = level;
}

void
log_event (enum log_level level, const char *event, const char *format, ...)
{
  if (level < threshold)
    return;
  char fields[768];
  va_list args;
  va_start (args, format);
  vsnprintf (fields, sizeof fields, format, args);
  va_end (args);
  uint64_t now = clock_monotonic_ms ();
  fprintf (stderr, "t=%llu.%03llu level=%s event=%s%s%s\n",
           (unsigned long long)(now / 1000), (unsigned long long)(now % 1000),
           level_names[level], event, fields[0] == '\0' ? "" : " ", fields);
}
