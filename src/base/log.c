/// Owns the process's log threshold and its buffered lines.
#include "base/log.h"

#include "base/clock.h"
#include "base/counter.h"

#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define LINE_MAX_BYTES 1024
#define BUFFER_BYTES (32 * 1024)

static enum log_level threshold = LOG_LEVEL_INFO;
static bool buffered;
static char buffer[BUFFER_BYTES];
static size_t buffer_used;

static struct counter dropped_bytes = COUNTER (
    "log_bytes_dropped", "bytes of log lines that standard output refused");

static const char *const level_names[]
    = { "debug", "info", "warning", "error" };

void
log_set_level (enum log_level level)
{
  threshold = level;
}

void
log_use_buffer (void)
{
  buffered = true;
  int flags = fcntl (STDOUT_FILENO, F_GETFL);
  if (flags != -1)
    fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

void
log_flush (void)
{
  size_t written = 0;
  while (written < buffer_used)
    {
      ssize_t size
          = write (STDOUT_FILENO, buffer + written, buffer_used - written);
      if (size < 0 && errno == EINTR)
        continue;
      if (size <= 0)
        break;
      written += (size_t)size;
    }
  if (written < buffer_used)
    counter_add (&dropped_bytes, buffer_used - written);
  buffer_used = 0;
}

static void
write_line (enum log_level level, const char *event, unsigned dropped,
            const char *format, va_list args)
{
  char line[LINE_MAX_BYTES];
  uint64_t now = clock_monotonic_ms ();
  int size
      = snprintf (line, sizeof line, "t=%llu.%03llu level=%s event=%s",
                  (unsigned long long)(now / 1000),
                  (unsigned long long)(now % 1000), level_names[level], event);
  size_t used = (size_t)size;
  if (dropped > 0)
    used += (size_t)snprintf (line + used, sizeof line - used,
                              " dropped_before=%u", dropped);
  if (format[0] != '\0')
    {
      line[used++] = ' ';
      size = vsnprintf (line + used, sizeof line - used - 1, format, args);
      size_t room = sizeof line - used - 2;
      used += size < 0 ? 0 : (size_t)size < room ? (size_t)size : room;
    }
  line[used++] = '\n';
  if (!buffered)
    {
      fwrite (line, 1, used, stderr);
      return;
    }
  if (buffer_used + used > sizeof buffer)
    log_flush ();
  memcpy (buffer + buffer_used, line, used);
  buffer_used += used;
}

void
log_event (enum log_level level, const char *event, const char *format, ...)
{
  if (level < threshold)
    return;
  va_list args;
  va_start (args, format);
  write_line (level, event, 0, format, args);
  va_end (args);
}

void
log_rate_limited (struct log_rate_limit *limit, enum log_level level,
                  const char *event, const char *format, ...)
{
  if (level < threshold)
    return;
  uint64_t second = clock_monotonic_ms () / 1000;
  unsigned dropped = 0;
  if (second != limit->second)
    {
      limit->second = second;
      limit->used = 0;
      dropped = limit->dropped;
      limit->dropped = 0;
    }
  if (limit->used >= limit->per_second)
    {
      limit->dropped++;
      return;
    }
  limit->used++;
  va_list args;
  va_start (args, format);
  write_line (level, event, dropped, format, args);
  va_end (args);
}
