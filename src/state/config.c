/// Configuration objects in arrays sorted by name. The arena of a
/// configuration owns the arrays and strings.
#include "state/config.h"

#include "state/config_fields.h"

#include <string.h>
#include <talloc.h>

/// @return size of all strings of an object, with their terminators
static size_t
string_bytes (enum config_kind kind, const void *item)
{
  const struct config_schema *schema = config_schema (kind);
  size_t bytes = 0;
  for (size_t i = 0; i < schema->field_count; i++)
    if (schema->fields[i].type == CONFIG_FIELD_STRING)
      bytes += strlen (config_field_string (&schema->fields[i], item)) + 1;
  return bytes;
}

/// Copies the strings of an object into a block and makes the object refer to
/// the copies.
/// @return the first free byte of the block
static char *
copy_strings (enum config_kind kind, void *item, char *block)
{
  const struct config_schema *schema = config_schema (kind);
  for (size_t i = 0; i < schema->field_count; i++)
    {
      const struct config_field *field = &schema->fields[i];
      if (field->type != CONFIG_FIELD_STRING)
        continue;
      const char *value = config_field_string (field, item);
      size_t size = strlen (value) + 1;
      memcpy (block, value, size);
      config_field_set_string (field, item, block);
      block += size;
    }
  return block;
}

/// @return index of the first object whose name is not less
static size_t
lower_bound (const struct config *config, enum config_kind kind,
             const char *name)
{
  size_t high;
  const void *items = config_items (config, kind, &high);
  size_t low = 0;
  while (low < high)
    {
      size_t middle = low + (high - low) / 2;
      const void *item = config_item_at (items, kind, middle);
      if (strcmp (config_item_name (item), name) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

/// Makes room for one more object. The capacity of the array is the size of
/// its talloc block.
/// @return the array, or NULL without memory
static void *
reserve_item (struct config *config, enum config_kind kind)
{
  size_t item_size = config_schema (kind)->item_size;
  size_t count;
  void *items = (void *)config_items (config, kind, &count);
  size_t capacity = items == NULL ? 0 : talloc_get_size (items) / item_size;
  if (count < capacity)
    return items;
  items = talloc_realloc_size (config->arena, items,
                               (capacity == 0 ? 8 : 2 * capacity) * item_size);
  if (items != NULL)
    config_set_items (config, kind, items, count);
  return items;
}

static enum status
set_item (struct config *config, enum config_kind kind, const void *item)
{
  const struct config_schema *schema = config_schema (kind);
  if (config_item_name (item) == NULL)
    return status_set (STATUS_INVALID, "%s has no name", schema->singular);
  size_t size = schema->item_size;
  char *block = talloc_size (config->arena, string_bytes (kind, item));
  char *items = reserve_item (config, kind);
  if (config->arena == NULL || block == NULL || items == NULL)
    return status_set (STATUS_NO_MEMORY, "no memory for a %s",
                       schema->singular);
  size_t count;
  config_items (config, kind, &count);
  size_t position = lower_bound (config, kind, config_item_name (item));
  char *place = items + position * size;
  bool replace
      = position < count
        && strcmp (config_item_name (place), config_item_name (item)) == 0;
  if (!replace)
    {
      memmove (place + size, place, (count - position) * size);
      config_set_items (config, kind, items, count + 1);
    }
  /* `item` may be the object that is replaced, hence memmove. */
  memmove (place, item, size);
  copy_strings (kind, place, block);
  return STATUS_OK;
}

void
config_init (struct config *config)
{
  *config = (struct config){ .arena = talloc_new (NULL) };
  msgpack_sbuffer buffer;
  msgpack_sbuffer_init (&buffer);
  if (config_encode_buffer (config, &buffer) == STATUS_OK)
    hash_content (&config->hash, buffer.data, buffer.size);
  msgpack_sbuffer_destroy (&buffer);
}

void
config_finish (struct config *config)
{
  talloc_free (config->arena);
  *config = (struct config){ 0 };
}

enum status
config_copy_compact (struct config *copy, const struct config *config)
{
  size_t bytes = 1;
  for (int kind = CONFIG_SERVICE; kind <= CONFIG_KIND_LAST; kind++)
    {
      size_t count;
      const void *items = config_items (config, kind, &count);
      for (size_t i = 0; i < count; i++)
        bytes += string_bytes (kind, config_item_at (items, kind, i));
    }
  void *arena = talloc_new (NULL);
  char *block = talloc_size (arena, bytes);
  *copy = (struct config){ .arena = arena,
                           .version = config->version,
                           .hash = config->hash };
  for (int kind = CONFIG_SERVICE; kind <= CONFIG_KIND_LAST; kind++)
    {
      size_t count;
      const void *items = config_items (config, kind, &count);
      size_t size = count * config_schema (kind)->item_size;
      if (count == 0)
        continue;
      char *copied = talloc_size (arena, size);
      if (arena == NULL || block == NULL || copied == NULL)
        {
          talloc_free (arena);
          *copy = (struct config){ 0 };
          return status_set (STATUS_NO_MEMORY,
                             "no memory to copy a configuration");
        }
      memcpy (copied, items, size);
      for (size_t i = 0; i < count; i++)
        block = copy_strings (
            kind, copied + i * config_schema (kind)->item_size, block);
      config_set_items (copy, kind, copied, count);
    }
  return STATUS_OK;
}

enum status
config_copy (struct config *copy, const struct config *config)
{
  return config_copy_compact (copy, config);
}

enum status
config_set_service (struct config *config,
                    const struct config_service *service)
{
  return set_item (config, CONFIG_SERVICE, service);
}

enum status
config_set_route (struct config *config, const struct config_route *route)
{
  return set_item (config, CONFIG_ROUTE, route);
}

enum status
config_set_move (struct config *config, const struct config_move *move)
{
  return set_item (config, CONFIG_MOVE, move);
}

enum status
config_remove (struct config *config, enum config_kind kind, const char *name)
{
  const struct config_schema *schema = config_schema (kind);
  size_t count;
  char *items = (char *)config_items (config, kind, &count);
  size_t position = lower_bound (config, kind, name);
  char *place = items + position * schema->item_size;
  if (position == count || strcmp (config_item_name (place), name) != 0)
    return status_set (STATUS_NOT_FOUND, "there is no %s \"%s\"",
                       schema->singular, name);
  memmove (place, place + schema->item_size,
           (count - position - 1) * schema->item_size);
  config_set_items (config, kind, items, count - 1);
  return STATUS_OK;
}

const struct config_service *
config_find_service (const struct config *config, const char *name)
{
  return config_find (config, CONFIG_SERVICE, name);
}

const struct config_route *
config_find_route (const struct config *config, const char *name)
{
  return config_find (config, CONFIG_ROUTE, name);
}

const struct config_move *
config_find_move (const struct config *config, const char *name)
{
  return config_find (config, CONFIG_MOVE, name);
}
