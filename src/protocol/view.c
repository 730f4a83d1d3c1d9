/// Encodes and decodes views.
#include "protocol/view.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <zstd.h>

/// Fastest zstd level: configurations are repetitive and compress well even
/// so, and VMs are small.
#define COMPRESSION_LEVEL 1

/// First byte of a text in VIEW_SPLIT; its header follows. The other format
/// starts with '{', a zstd frame with '('.
#define SPLIT_MARK '#'

static json_t *
item_json (const struct mirror_item *item, enum view_format format)
{
  if (item->removed)
    return json_pack ("[s, I]", item->key, (json_int_t)item->revision);
  if (format == VIEW_SPLIT)
    return json_pack ("[s, I, I]", item->key, (json_int_t)item->revision,
                      (json_int_t)item->size);
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

/// @return true when a view of the changes after a revision has the item
static bool
is_included (const struct mirror_item *item, bool whole, uint64_t after)
{
  return whole ? !item->removed : item->revision > after;
}

/// Puts the values of a view behind its header.
/// @param header  freed
/// @return the text, or NULL when there is no memory
static char *
append_values (char *header, const struct mirror *mirror, bool whole,
               uint64_t after, size_t *size)
{
  size_t header_size = strlen (header);
  *size = header_size + 2;
  for (size_t i = 0; i < mirror->count; i++)
    if (is_included (&mirror->items[i], whole, after))
      *size += mirror->items[i].size;
  char *text = malloc (*size);
  if (text != NULL)
    {
      char *end = text;
      *end++ = SPLIT_MARK;
      memcpy (end, header, header_size);
      end += header_size;
      *end++ = '\n';
      for (size_t i = 0; i < mirror->count; i++)
        if (is_included (&mirror->items[i], whole, after)
            && mirror->items[i].size > 0)
          {
            memcpy (end, mirror->items[i].data, mirror->items[i].size);
            end += mirror->items[i].size;
          }
    }
  free (header);
  return text;
}

char *
view_write (const struct mirror *mirror, uint64_t after, uint64_t as_of,
            enum view_format format, size_t *size)
{
  bool whole = after == 0 || after < mirror->complete_since;
  json_t *items = json_array ();
  for (size_t i = 0; i < mirror->count; i++)
    if (is_included (&mirror->items[i], whole, after))
      {
        json_t *row = item_json (&mirror->items[i], format);
        if (row != NULL)
          json_array_append_new (items, row);
      }
  json_t *root = json_pack ("{s:I, s:b, s:o}", "as_of", (json_int_t)as_of,
                            "whole", whole, "items", items);
  char *text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  *size = text == NULL ? 0 : strlen (text);
  if (text != NULL && format == VIEW_SPLIT)
    text = append_values (text, mirror, whole, after, size);
  return text != NULL && *size > VIEW_PLAIN_MAX ? compress_text (text, size)
                                                : text;
}

/// Values behind the header of a view in VIEW_SPLIT.
struct values
{
  const char *next; ///< NULL: the values are in the JSON
  size_t size;      ///< bytes left
};

/// Reads an item whose value is not in the JSON.
static enum status
read_split_item (json_t *row, struct mirror *mirror, struct values *values)
{
  const char *key;
  json_int_t revision;
  json_int_t size;
  if (json_unpack (row, "[s, I, I]", &key, &revision, &size) != 0
      || revision <= 0 || size < 0 || (uint64_t)size > values->size)
    return status_set (STATUS_INVALID, "view has a malformed item");
  const uint8_t *data = (const uint8_t *)values->next;
  values->next += size;
  values->size -= (size_t)size;
  return mirror_put (mirror, key, (uint64_t)revision, data, (size_t)size);
}

static enum status
read_item (json_t *row, struct mirror *mirror, struct values *values)
{
  const char *key;
  json_int_t revision;
  const char *value = NULL;
  size_t size = 0;
  bool is_pair = json_array_size (row) == 2;
  if (!is_pair && values->next != NULL)
    return read_split_item (row, mirror, values);
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
  struct values values = { 0 };
  if (size > 0 && text[0] == SPLIT_MARK)
    {
      const char *end = memchr (text, '\n', size);
      if (end == NULL)
        return status_set (STATUS_INVALID, "view has no end of its header");
      values.next = end + 1;
      values.size = size - (size_t)(values.next - text);
      size = (size_t)(end - text) - 1;
      text++;
    }
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
    status = read_item (json_array_get (items, i), mirror, &values);
  if (status == STATUS_OK && values.size > 0)
    status = status_set (STATUS_INVALID, "view has bytes behind its values");
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
  if (size > 0 && (bytes[0] == '{' || bytes[0] == SPLIT_MARK))
    return read_text (bytes, size, mirror, as_of, whole);
  unsigned long long stated_size = ZSTD_getFrameContentSize (bytes, size);
  if (stated_size == ZSTD_CONTENTSIZE_UNKNOWN
      || stated_size == ZSTD_CONTENTSIZE_ERROR || stated_size > VIEW_BYTES_MAX)
    return status_set (STATUS_INVALID,
                       "view is neither text nor a zstd frame of "
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
