/// Encodes and decodes views.
#include "protocol/view.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <zstd.h>

/// Fastest zstd level: configurations are repetitive and compress well even
/// so, and VMs are small.
#define COMPRESSION_LEVEL 1

static json_t *
item_json (const struct mirror_item *item)
{
  if (item->removed)
    return json_pack ("[s, I]", item->key, (json_int_t)item->revision);
  json_t *value = json_stringn ((const char *)item->data, item->size);
  if (value == NULL)
    value = json_string (""); /* not UTF-8 */
  return json_pack ("[s, I, o]", item->key, (json_int_t)item->revision, value);
}

/// Compresses a text when that makes it smaller.
/// @param text  freed when it is replaced
/// @return the text or its compressed form
static char *
compress_text (char *text, size_t *size)
{
  size_t room = ZSTD_compressBound (*size);
  char *compressed = malloc (room);
  if (compressed == NULL)
    return text;
  size_t compressed_size
      = ZSTD_compress (compressed, room, text, *size, COMPRESSION_LEVEL);
  if (ZSTD_isError (compressed_size) || compressed_size >= *size)
    {
      free (compressed);
      return text;
    }
  free (text);
  *size = compressed_size;
  return compressed;
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
  json_int_t revision;
  const char *value = NULL;
  size_t size = 0;
  bool is_pair = json_array_size (row) == 2;
  if ((is_pair
           ? json_unpack (row, "[s, I]", &key, &revision)
           : json_unpack (row, "[s, I, s%]", &key, &revision, &value, &size))
          != 0
      || revision <= 0)
    return status_set (STATUS_INVALID, "view has a malformed item");
  if (is_pair)
    return mirror_remove (mirror, key, (uint64_t)revision);
  return mirror_put (mirror, key, (uint64_t)revision, (const uint8_t *)value,
                     size);
}

static enum status
read_text (const char *text, size_t size, struct mirror *mirror,
           uint64_t *as_of, bool *whole)
{
  /* Another writer may have put any bytes under a key. */
  json_t *root = json_loadb (text, size, JSON_ALLOW_NUL, NULL);
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
  unsigned long long stated_size = ZSTD_getFrameContentSize (bytes, size);
  if (stated_size == ZSTD_CONTENTSIZE_UNKNOWN
      || stated_size == ZSTD_CONTENTSIZE_ERROR || stated_size > VIEW_BYTES_MAX)
    return status_set (STATUS_INVALID,
                       "view is neither JSON nor a zstd frame of "
                       "an accepted size");
  char *text = malloc (stated_size + 1);
  if (text == NULL)
    return status_set (STATUS_NO_MEMORY, "out of memory for a view");
  size_t decompressed_size = ZSTD_decompress (text, stated_size, bytes, size);
  enum status status
      = ZSTD_isError (decompressed_size) || decompressed_size != stated_size
            ? status_set (STATUS_INVALID, "view cannot be decompressed")
            : read_text (text, decompressed_size, mirror, as_of, whole);
  free (text);
  return status;
}
