/// Owns no state; codec of views.
#include "protocol/view.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <zstd.h>

/// Fastest level: configurations are repetitive, and VMs are small.
#define LEVEL 1

static json_t *
item_json (const struct mirror_item *item)
{
  if (item->removed)
    return json_pack ("[s, I]", item->key, (json_int_t)item->revision);
  json_t *value = json_stringn ((const char *)item->data, item->size);
  return value == NULL ? NULL
                       : json_pack ("[s, I, o]", item->key,
                                    (json_int_t)item->revision, value);
}

/// Replaces a text by its compressed form when that is smaller.
static char *
compress_text (char *text, size_t *size)
{
  size_t room = ZSTD_compressBound (*size);
  char *packed = malloc (room);
  if (packed == NULL)
    return text;
  size_t packed_size = ZSTD_compress (packed, room, text, *size, LEVEL);
  if (ZSTD_isError (packed_size) || packed_size >= *size)
    {
      free (packed);
      return text;
    }
  free (text);
  *size = packed_size;
  return packed;
}

char *
view_write (const struct mirror *mirror, uint64_t after, uint64_t as_of,
            size_t *size)
{
  bool whole = after == 0 || after < mirror->complete_since;
  json_t *items = json_array ();
  for (size_t i = 0; i < mirror->count; i++)
    {
      const struct mirror_item *item = &mirror->items[i];
      if (whole ? item->removed : item->revision <= after)
        continue;
      json_t *row = item_json (item);
      if (row != NULL)
        json_array_append_new (items, row);
    }
  json_t *root = json_pack ("{s:I, s:b, s:o}", "as_of", (json_int_t)as_of,
                            "whole", whole, "items", items);
  char *text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  *size = text == NULL ? 0 : strlen (text);
  return *size > VIEW_PLAIN_MAX ? compress_text (text, size) : text;
}

static enum status
read_item (json_t *row, struct mirror *mirror)
{
  const char *key;
  json_int_t changed;
  const char *value = NULL;
  size_t size = 0;
  bool is_pair = json_array_size (row) == 2;
  if ((is_pair
           ? json_unpack (row, "[s, I]", &key, &changed)
           : json_unpack (row, "[s, I, s%]", &key, &changed, &value, &size))
          != 0
      || changed <= 0)
    return status_set (STATUS_INVALID, "malformed item in a view");
  if (is_pair)
    return mirror_remove (mirror, key, (uint64_t)changed);
  return mirror_put (mirror, key, (uint64_t)changed, (const uint8_t *)value,
                     size);
}

static enum status
read_text (const char *text, size_t size, struct mirror *mirror,
           uint64_t *as_of, bool *whole)
{
  json_t *root = json_loadb (text, size, 0, NULL);
  json_int_t revision;
  json_t *items;
  int is_whole;
  enum status status = STATUS_OK;
  if (json_unpack (root, "{s:I, s:b, s:o}", "as_of", &revision, "whole",
                   &is_whole, "items", &items)
          != 0
      || revision <= 0 || !json_is_array (items))
    status = status_set (STATUS_INVALID, "malformed view");
  for (size_t i = 0; status == STATUS_OK && i < json_array_size (items); i++)
    status = read_item (json_array_get (items, i), mirror);
  if (status == STATUS_OK)
    {
      *as_of = (uint64_t)revision;
      *whole = is_whole;
    }
  json_decref (root);
  return status;
}

enum status
view_read (const char *bytes, size_t size, struct mirror *mirror,
           uint64_t *as_of, bool *whole)
{
  if (size > 0 && bytes[0] == '{')
    return read_text (bytes, size, mirror, as_of, whole);
  unsigned long long plain = ZSTD_getFrameContentSize (bytes, size);
  if (plain == ZSTD_CONTENTSIZE_UNKNOWN || plain == ZSTD_CONTENTSIZE_ERROR
      || plain > VIEW_BYTES_MAX)
    return status_set (STATUS_INVALID, "a view is no JSON and no zstd frame "
                                       "of an accepted size");
  char *text = malloc (plain + 1);
  if (text == NULL)
    return status_set (STATUS_NO_MEMORY, "no memory for a view");
  size_t got = ZSTD_decompress (text, plain, bytes, size);
  enum status status
      = ZSTD_isError (got) || got != plain
            ? status_set (STATUS_INVALID, "a view cannot be decompressed")
            : read_text (text, got, mirror, as_of, whole);
  free (text);
  return status;
}
