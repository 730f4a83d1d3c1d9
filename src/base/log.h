/// Structured log lines for changes of state, written to standard error.
#ifndef HAWTHORNSEAM_BASE_LOG_H
#define HAWTHORNSEAM_BASE_LOG_H

enum log_level
{
  LOG_LEVEL_DEBUG,
  LOG_LEVEL_INFO,
  LOG_LEVEL_WARNING,
  LOG_LEVEL_ERROR
};

/// Drops lines below a level. The default is LOG_LEVEL_INFO.
void log_set_level (enum log_level level);

/// Writes one line: t=<monotonic seconds> level=<level> event=<event> ...
/// @param event   fixed name of the state change, such as "version_in_force"
/// @param format  printf format of further key=value pairs; may be ""
void log_event (enum log_level level, const char *event, const char *format,
                ...) __attribute__ ((format (printf, 3, 4)));

#endif
