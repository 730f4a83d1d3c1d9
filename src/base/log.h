/// Structured log lines. They go to standard error, one write each, unless a
/// process that logs each decision asks for buffered lines on standard output.
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

/// Bounds the lines of one kind: at most per_second in each second of the
/// monotonic clock. The first line after that second says how many were left
/// out.
struct log_limit
{
  unsigned per_second;
  uint64_t second;
  unsigned used;
  unsigned dropped;
};

/// Drops lines below a level. The default is LOG_LEVEL_INFO.
void log_set_level (enum log_level level);

/// Collects lines for standard output, which is never waited for. Lines that
/// it does not take are dropped and counted.
void log_use_buffer (void);

/// Hands the collected lines to standard output.
void log_flush (void);

/// Writes one line: t=<monotonic seconds> level=<level> event=<event> ...
/// @param event   fixed name of the decision or state change, such as
///                "version_in_force"
/// @param format  printf format of further key=value pairs; may be ""
void log_event (enum log_level level, const char *event, const char *format,
                ...) __attribute__ ((format (printf, 3, 4)));

/// As log_event, within a limit.
void log_limited (struct log_limit *limit, enum log_level level,
                  const char *event, const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));

#endif
