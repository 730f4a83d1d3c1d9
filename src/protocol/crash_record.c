/// Encodes and decodes crash records. Numbers are strings of hexadecimal
/// digits because JSON integers are signed 64-bit numbers in jansson.
#include "protocol/crash_record.h"

#include "protocol/json_text.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/// Bytes of a 64-bit number as hexadecimal text, including the terminator.
#define HEX_SIZE 17

static json_t *
hex_string (uint64_t number)
{
  char text[HEX_SIZE];
  snprintf (text, sizeof text, "%016" PRIx64, number);
  return json_string (text);
}

static bool
read_hex (const json_t *value, uint64_t *number)
{
  const char *text = json_string_value (value);
  if (text == NULL || strlen (text) != HEX_SIZE - 1
      || strspn (text, "0123456789abcdef") != HEX_SIZE - 1)
    return false;
  *number = strtoull (text, NULL, 16);
  return *number != 0;
}

size_t
crash_record_write (const struct crash_record *record,
                    char text[CRASH_RECORD_MAX])
{
  json_t *requests = json_array ();
  for (size_t i = 0; i < record->count; i++)
    json_array_append_new (requests, hex_string (record->fingerprints[i]));
  json_t *object = json_pack (
      "{s:o, s:o}", "crash", hex_string (record->crash), "requests", requests);
  return json_text_write (object, text, CRASH_RECORD_MAX);
}

enum status
crash_record_read (const uint8_t *data, size_t size,
                   struct crash_record *record)
{
  memset (record, 0, sizeof *record);
  json_t *object = json_loadb ((const char *)data, size, 0, NULL);
  const json_t *requests = json_object_get (object, "requests");
  size_t count = json_array_size (requests);
  bool valid = read_hex (json_object_get (object, "crash"), &record->crash)
               && json_is_array (requests) && count <= CRASH_REQUESTS_MAX;
  for (size_t i = 0; valid && i < count; i++)
    valid = read_hex (json_array_get (requests, i),
                      &record->fingerprints[record->count++]);
  json_decref (object);
  return valid ? STATUS_OK
               : status_set (STATUS_INVALID, "malformed crash record");
}
