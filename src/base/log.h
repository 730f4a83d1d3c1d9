/// Structured log lines. They are written to standard error, one write each. A
/// process that logs every decision can have them buffered and written to
/// standard output instead.
#ifndef HAWTHORNSEAM_BASE_LOG_H
#define HAWTHORNSEAM_BASE_LOG_H

#include <stddef.h>
#include <stdint.h>

enum log_level
{
  LOG_LEVEL_DEBUG,
  LOG_LEVEL_INFO,
  LOG_LEVEL_WARNING,
  LOG_LEVEL_ERROR
};

/// Rate limit for one kind of line: at most per_second in each second of the
/// monotonic clock. The first line of a later second states how many were
/// suppressed.
struct log_rate_limit
{
  unsigned per_second;
  uint64_t second;  ///< the second that `used` counts
  unsigned used;    ///< lines written in that second
  unsigned dropped; ///< lines suppressed since the last line that said so
};

/// Drops lines below a level. The default is LOG_LEVEL_INFO.
void log_set_level (enum log_level level);

/// Buffers lines and writes them to standard output, which becomes
/// non-blocking. Bytes that it does not accept are dropped and counted.
void log_use_buffer (void);

/// Writes the buffered lines to standard output.
void log_flush (void);

/// Writes one line: t=<monotonic seconds> level=<level> event=<event> ...
/// @param event   constant name of the decision or state change, such as
///                "version_in_force"
/// @param format  printf format of additional key=value pairs; may be ""
void log_event (enum log_level level, const char *event, const char *format,
                ...) __attribute__ ((format (printf, 3, 4)));

/// Like log_event, subject to a rate limit.
void log_rate_limited (struct log_rate_limit *limit, enum log_level level,
                       const char *event, const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));

#endif
