/// Parses and prints times.
#include "protocol/iso_time.h"

#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

/// 9999-12-31T23:59:59Z as Unix time; the year has four digits.
#define SECONDS_MAX 253402300799ULL

/// @return the number given by `count` decimal digits, or -1 when there is
/// another character
static int
parse_digits (const char *text, size_t count)
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
  int fraction_ms = 0;
  if ((size == 20 || has_ms) && text[4] == '-' && text[7] == '-'
      && text[10] == 'T' && text[13] == ':' && text[16] == ':'
      && text[size - 1] == 'Z' && (!has_ms || text[19] == '.'))
    {
      struct tm time = { .tm_year = parse_digits (text, 4) - 1900,
                         .tm_mon = parse_digits (text + 5, 2) - 1,
                         .tm_mday = parse_digits (text + 8, 2),
                         .tm_hour = parse_digits (text + 11, 2),
                         .tm_min = parse_digits (text + 14, 2),
                         .tm_sec = parse_digits (text + 17, 2) };
      struct tm normalized = time;
      if (has_ms)
        fraction_ms = parse_digits (text + 20, 3);
      time_t seconds = timegm (&normalized);
      /* timegm normalizes impossible dates: 30 February becomes a day in
         March. Then the fields differ from those in the text. */
      if (fraction_ms >= 0 && time.tm_year >= 70 && seconds >= 0
          && normalized.tm_year == time.tm_year
          && normalized.tm_mon == time.tm_mon
          && normalized.tm_mday == time.tm_mday
          && normalized.tm_hour == time.tm_hour
          && normalized.tm_min == time.tm_min
          && normalized.tm_sec == time.tm_sec)
        {
          *ms = (uint64_t)seconds * 1000 + (uint64_t)fraction_ms;
          return STATUS_OK;
        }
    }
  return status_set (STATUS_INVALID,
                     "\"%.40s\" is not a UTC time such as "
                     "2026-03-12T06:00:00Z",
                     text);
}

void
iso_time_print (uint64_t ms, char text[ISO_TIME_SIZE])
{
  uint64_t limited = ms / 1000 > SECONDS_MAX ? SECONDS_MAX : ms / 1000;
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
