/// Helpers for records that are stored as JSON text.
#include "protocol/json_text.h"

#include <string.h>

size_t
json_text_write (json_t *object, char *text, size_t room)
{
  size_t size = json_dumpb (object, text, room - 1, JSON_COMPACT);
  json_decref (object);
  if (size >= room)
    return 0;
  text[size] = '\0';
  return size;
}

bool
json_text_copy_name (char name[DIRECTORY_NAME_MAX + 1], const char *text)
{
  size_t size = strlen (text);
  if (size > DIRECTORY_NAME_MAX)
    return false;
  memcpy (name, text, size + 1);
  return true;
}
