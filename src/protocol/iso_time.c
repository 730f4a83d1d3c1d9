/// Owns no state; reads and prints times.
#include "protocol/iso_time.h"

#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

/// Last second that four digits of the year can show.
#define LAST_SECOND 253402300799ULL

/// @return the number in a run of digits, or -1
static int
digits (const char *text, size_t count)
{
  int value = 0;
  for (size_t i = 0; i < count; i++)
    {
      if (text[i] < '0' || text[i] > '9')
        return -1;
      value = value * 10 + (text[i] - '0');
    }
  return value;
}

enum status
iso_time_parse (const char *text, uint64_t *ms)
{
  size_t size = strlen (text);
  bool has_ms = size == 24;
  int part = 0;
  if ((size == 20 || has_ms) && text[4] == '-' && text[7] == '-'
      && text[10] == 'T' && text[13] == ':' && text[16] == ':'
      && text[size - 1] == 'Z' && (!has_ms || text[19] == '.'))
    {
      struct tm time = { .tm_year = digits (text, 4) - 1900,
                         .tm_mon = digits (text + 5, 2) - 1,
                         .tm_mday = digits (text + 8, 2),
                         .tm_hour = digits (text + 11, 2),
                         .tm_min = digits (text + 14, 2),
                         .tm_sec = digits (text + 17, 2) };
      struct tm copy = time;
      if (has_ms)
        part = digits (text + 20, 3);
      time_t seconds = timegm (&copy);
      /* timegm moves 30 February to March; then the fields differ. */
      if (part >= 0 && time.tm_year >= 70 && seconds >= 0
          && copy.tm_year == time.tm_year && copy.tm_mon == time.tm_mon
          && copy.tm_mday == time.tm_mday && copy.tm_hour == time.tm_hour
          && copy.tm_min == time.tm_min && copy.tm_sec == time.tm_sec)
        {
          *ms = (uint64_t)seconds * 1000 + (uint64_t)part;
          return STATUS_OK;
        }
    }
  return status_set (STATUS_INVALID,
                     "\"%.40s\" is no time in UTC such as "
                     "2026-03-12T06:00:00Z",
                     text);
}

void
iso_time_print (uint64_t ms, char text[ISO_TIME_SIZE])
{
  uint64_t limited = ms / 1000 > LAST_SECOND ? LAST_SECOND : ms / 1000;
  time_t seconds = (time_t)limited;
  struct tm time;
  gmtime_r (&seconds, &time);
  size_t used = strftime (text, ISO_TIME_SIZE, "%Y-%m-%dT%H:%M:%S", &time);
  if (ms % 1000 != 0)
    snprintf (text + used, ISO_TIME_SIZE - used, ".%03uZ",
              (unsigned)(ms % 1000));
  else
    snprintf (text + used, ISO_TIME_SIZE - used, "Z");
}
