/// Owns no state; codec of views.
#include "protocol/view.h"

#include <jansson.h>
#include <string.h>

char *
view_write (const struct mirror *mirror, uint64_t as_of, size_t *size)
{
  json_t *items = json_array ();
  for (size_t i = 0; i < mirror->count; i++)
    {
      const struct mirror_item *item = &mirror->items[i];
      json_t *value = json_stringn ((const char *)item->data, item->size);
      if (value != NULL)
        json_array_append_new (items,
                               json_pack ("[s, I, o]", item->key,
                                          (json_int_t)item->revision, value));
    }
  json_t *root
      = json_pack ("{s:I, s:o}", "as_of", (json_int_t)as_of, "items", items);
  char *text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  *size = text == NULL ? 0 : strlen (text);
  return text;
}

enum status
view_read (const char *text, size_t size, struct mirror *mirror,
           uint64_t *as_of)
{
  json_t *root = json_loadb (text, size, 0, NULL);
  json_int_t revision;
  json_t *items;
  enum status status = STATUS_OK;
  if (json_unpack (root, "{s:I, s:o}", "as_of", &revision, "items", &items)
          != 0
      || revision <= 0 || !json_is_array (items))
    status = status_set (STATUS_INVALID, "malformed view");
  for (size_t i = 0; status == STATUS_OK && i < json_array_size (items); i++)
    {
      const char *key;
      json_int_t changed;
      const char *value;
      size_t value_size;
      if (json_unpack (json_array_get (items, i), "[s, I, s%]", &key, &changed,
                       &value, &value_size)
              != 0
          || changed <= 0)
        status = status_set (STATUS_INVALID, "malformed item in a view");
      else
        status = mirror_put (mirror, key, (uint64_t)changed,
                             (const uint8_t *)value, value_size);
    }
  if (status == STATUS_OK)
    *as_of = (uint64_t)revision;
  json_decref (root);
  return status;
}
