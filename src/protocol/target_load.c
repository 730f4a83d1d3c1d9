/// Parses the load header of targets.
#include "protocol/target_load.h"

#include <stdbool.h>
#include <string.h>

#define FIELDS_MIN 3
#define FIELDS_MAX 4

static const char *
skip_blanks (const char *text)
{
  return text + strspn (text, " \t");
}

/// Reads a number up to TARGET_LOAD_COUNT_MAX.
/// @return text after it, or NULL when it is malformed or too large
static const char *
read_number (const char *text, bool fraction_allowed, uint32_t *number)
{
  size_t digits = strspn (text, "0123456789");
  *number = 0;
  for (size_t i = 0; i < digits; i++)
    {
      *number = *number * 10 + (uint32_t)(text[i] - '0');
      if (*number > TARGET_LOAD_COUNT_MAX)
        return NULL;
    }
  if (digits == 0)
    return NULL;
  text += digits;
  if (*text != '.')
    return text;
  digits = strspn (text + 1, "0123456789");
  return fraction_allowed && digits > 0 ? text + 1 + digits : NULL;
}

enum status
target_load_parse (const char *text, struct target_load *load)
{
  uint32_t numbers[FIELDS_MAX] = { 0 };
  size_t count = 0;
  while (text != NULL && count < FIELDS_MAX)
    {
      text = read_number (skip_blanks (text), count == FIELDS_MAX - 1,
                          &numbers[count]);
      if (text == NULL)
        break;
      count++;
      text = skip_blanks (text);
      if (*text != ',' || count == FIELDS_MAX)
        break;
      text++;
    }
  if (text == NULL || *text != '\0' || count < FIELDS_MIN
      || (count == FIELDS_MAX
          && (numbers[3] < TARGET_SPEED_PERCENT_MIN
              || numbers[3] > TARGET_SPEED_PERCENT_MAX)))
    return status_set (STATUS_INVALID, "malformed load of the target");
  *load = (struct target_load){ .running = numbers[0],
                                .waiting = numbers[1],
                                .slots = numbers[2],
                                .speed_percent = numbers[3] };
  return STATUS_OK;
}
