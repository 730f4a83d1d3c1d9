/// The canonical msgpack encoding of configurations.
///
/// [1, [service...], [route...], [move...]], where 1 is the format. An object
/// is the array of its fields in the order of its schema; objects are sorted
/// by name.
#include "state/config_fields.h"
#include "state/unpack.h"

#include <string.h>
#include <talloc.h>

#define CONFIG_FORMAT 1

void
config_pack_item (msgpack_packer *packer, enum config_kind kind,
                  const void *item)
{
  const struct config_schema *schema = config_schema (kind);
  msgpack_pack_array (packer, schema->field_count);
  for (size_t i = 0; i < schema->field_count; i++)
    {
      const struct config_field *field = &schema->fields[i];
      if (field->type == CONFIG_FIELD_STRING)
        {
          const char *value = config_field_string (field, item);
          msgpack_pack_str_with_body (packer, value, strlen (value));
        }
      else if (field->type == CONFIG_FIELD_BOOL)
        {
          if (config_field_number (field, item) != 0)
            msgpack_pack_true (packer);
          else
            msgpack_pack_false (packer);
        }
      else
        msgpack_pack_uint64 (packer, config_field_number (field, item));
    }
}

static bool
unpack_field (const struct config_field *field, const msgpack_object *object,
              void *item, char **strings)
{
  uint64_t number = 0;
  if (field->type == CONFIG_FIELD_STRING)
    {
      size_t size = object->via.str.size;
      if (object->type != MSGPACK_OBJECT_STR || size > field->max
          || memchr (object->via.str.ptr, '\0', size) != NULL)
        return false;
      memcpy (*strings, object->via.str.ptr, size);
      (*strings)[size] = '\0';
      config_field_set_string (field, item, *strings);
      *strings += size + 1;
      return true;
    }
  if (field->type == CONFIG_FIELD_BOOL)
    {
      if (object->type != MSGPACK_OBJECT_BOOLEAN)
        return false;
      number = object->via.boolean ? 1 : 0;
    }
  else if (!unpack_number (object, field->max, &number))
    return false;
  config_field_set_number (field, item, number);
  return true;
}

bool
config_unpack_item (enum config_kind kind, const msgpack_object *object,
                    void *item, char **strings)
{
  const struct config_schema *schema = config_schema (kind);
  const msgpack_object *fields = unpack_array (object, schema->field_count);
  if (fields == NULL || object->via.array.size != schema->field_count)
    return false;
  for (size_t i = 0; i < schema->field_count; i++)
    if (!unpack_field (&schema->fields[i], &fields[i], item, strings))
      return false;
  return true;
}

/// Reads the array of objects of one kind, which must be sorted by name.
static enum status
unpack_kind (struct config *config, enum config_kind kind,
             const msgpack_object *object, char **strings)
{
  const struct config_schema *schema = config_schema (kind);
  const msgpack_object *objects = unpack_array (object, 0);
  if (objects == NULL)
    return status_set (STATUS_CORRUPT,
                       "encoded configuration: %s are not an array",
                       schema->plural);
  size_t count = object->via.array.size;
  if (count > schema->count_max)
    return status_set (STATUS_TOO_LARGE,
                       "encoded configuration: %zu %s, the maximum is %zu",
                       count, schema->plural, schema->count_max);
  if (count == 0)
    return STATUS_OK;
  char *items = talloc_zero_size (config->arena, count * schema->item_size);
  if (items == NULL)
    return status_set (STATUS_NO_MEMORY, "no memory for %s", schema->plural);
  for (size_t i = 0; i < count; i++)
    {
      char *item = items + i * schema->item_size;
      if (!config_unpack_item (kind, &objects[i], item, strings))
        return status_set (STATUS_CORRUPT,
                           "encoded configuration: %s %zu is malformed",
                           schema->singular, i);
      if (i > 0
          && strcmp (config_item_name (item - schema->item_size),
                     config_item_name (item))
                 >= 0)
        return status_set (STATUS_CORRUPT,
                           "encoded configuration: %s are not sorted by name",
                           schema->plural);
    }
  config_set_items (config, kind, items, count);
  return STATUS_OK;
}

static enum status
unpack_config (struct config *config, const msgpack_object *object,
               size_t size)
{
  uint64_t format;
  const msgpack_object *parts = unpack_array (object, 1 + CONFIG_KIND_LAST);
  if (parts == NULL || object->via.array.size != 1 + CONFIG_KIND_LAST
      || !unpack_number (&parts[0], UINT64_MAX, &format))
    return status_set (STATUS_CORRUPT, "encoded configuration is malformed");
  if (format != CONFIG_FORMAT)
    return status_set (STATUS_UNSUPPORTED,
                       "configuration has format %llu, only format %d is "
                       "supported",
                       (unsigned long long)format, CONFIG_FORMAT);
  /* Each encoded string has a header of at least one byte, so the strings with
     their terminators fit into `size` bytes. */
  char *strings = talloc_size (config->arena, size);
  if (strings == NULL)
    return status_set (STATUS_NO_MEMORY,
                       "no memory to decode a configuration");
  for (int kind = CONFIG_SERVICE; kind <= CONFIG_KIND_LAST; kind++)
    {
      enum status status = unpack_kind (config, kind, &parts[kind], &strings);
      if (status != STATUS_OK)
        return status;
    }
  return STATUS_OK;
}

enum status
config_encode_buffer (const struct config *config, msgpack_sbuffer *buffer)
{
  msgpack_packer packer;
  msgpack_packer_init (&packer, buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, 1 + CONFIG_KIND_LAST);
  msgpack_pack_uint8 (&packer, CONFIG_FORMAT);
  int error = 0;
  for (int kind = CONFIG_SERVICE; kind <= CONFIG_KIND_LAST; kind++)
    {
      size_t count;
      const void *items = config_items (config, kind, &count);
      error |= msgpack_pack_array (&packer, count);
      for (size_t i = 0; i < count; i++)
        config_pack_item (&packer, kind, config_item_at (items, kind, i));
    }
  if (error != 0)
    return status_set (STATUS_NO_MEMORY,
                       "no memory to encode a configuration");
  return STATUS_OK;
}

enum status
config_encode (const struct config *config, void *arena, uint8_t **bytes,
               size_t *size)
{
  msgpack_sbuffer buffer;
  msgpack_sbuffer_init (&buffer);
  enum status status = config_encode_buffer (config, &buffer);
  if (status == STATUS_OK)
    {
      *bytes = talloc_memdup (arena, buffer.data, buffer.size);
      *size = buffer.size;
      if (*bytes == NULL)
        status = status_set (STATUS_NO_MEMORY,
                             "no memory to encode a configuration");
    }
  msgpack_sbuffer_destroy (&buffer);
  return status;
}

enum status
config_rehash (struct config *config)
{
  msgpack_sbuffer buffer;
  msgpack_sbuffer_init (&buffer);
  enum status status = config_encode_buffer (config, &buffer);
  if (status == STATUS_OK)
    hash_content (&config->hash, buffer.data, buffer.size);
  msgpack_sbuffer_destroy (&buffer);
  return status;
}

/// Checks that the bytes are the canonical encoding of the configuration and
/// sets its hash.
static enum status
verify_canonical (struct config *config, const uint8_t *bytes, size_t size)
{
  msgpack_sbuffer buffer;
  msgpack_sbuffer_init (&buffer);
  enum status status = config_encode_buffer (config, &buffer);
  if (status == STATUS_OK
      && (buffer.size != size || memcmp (buffer.data, bytes, size) != 0))
    status = status_set (STATUS_CORRUPT,
                         "configuration encoding is not canonical");
  msgpack_sbuffer_destroy (&buffer);
  hash_content (&config->hash, bytes, size);
  return status;
}

enum status
config_decode (struct config *config, const uint8_t *bytes, size_t size)
{
  msgpack_unpacked unpacked;
  struct config decoded;
  enum status status = unpack_one (&unpacked, bytes, size);
  if (status != STATUS_OK)
    return status;
  config_init (&decoded);
  status = unpack_config (&decoded, &unpacked.data, size);
  msgpack_unpacked_destroy (&unpacked);
  if (status == STATUS_OK)
    status = verify_canonical (&decoded, bytes, size);
  if (status == STATUS_OK)
    {
      struct findings findings;
      findings_init (&findings, "encoding");
      status = config_check (&decoded, &findings);
      findings_finish (&findings);
    }
  if (status == STATUS_OK)
    *config = decoded;
  else
    config_finish (&decoded);
  return status;
}
