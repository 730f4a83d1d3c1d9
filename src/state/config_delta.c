/// Differences between configurations and their application.
///
/// A delta is [1, [[kind, object]...], [[kind, name]...]]: the format, upserts
/// and removals, the latter two each in ascending order of kind and name.
#include "state/config_check.h"
#include "state/config_fields.h"
#include "state/unpack.h"

#include <string.h>
#include <talloc.h>

#define DELTA_FORMAT 1

/// Decoded content of a delta. The configurations serve as sets of objects;
/// their hash and version are not set.
struct delta
{
  struct config upserts;
  struct config removals; ///< only the names of the objects are set
};

struct delta_writer
{
  msgpack_packer upserts;
  msgpack_packer removals;
  size_t upsert_count;
  size_t removal_count;
};

static void
write_upsert (void *arg, enum config_kind kind, const void *before,
              const void *item)
{
  struct delta_writer *writer = arg;
  writer->upsert_count++;
  msgpack_pack_array (&writer->upserts, 2);
  msgpack_pack_uint8 (&writer->upserts, kind);
  config_pack_item (&writer->upserts, kind, item);
}

static void
write_removal (void *arg, enum config_kind kind, const void *item)
{
  struct delta_writer *writer = arg;
  const char *name = config_item_name (item);
  writer->removal_count++;
  msgpack_pack_array (&writer->removals, 2);
  msgpack_pack_uint8 (&writer->removals, kind);
  msgpack_pack_str_with_body (&writer->removals, name, strlen (name));
}

static void
compare_kind (const struct config *from, const struct config *to,
              enum config_kind kind, const struct config_difference_ops *ops,
              void *arg)
{
  size_t from_count, to_count, i = 0, j = 0;
  const void *from_items = config_items (from, kind, &from_count);
  const void *to_items = config_items (to, kind, &to_count);
  while (i < from_count || j < to_count)
    {
      const void *a = config_item_at (from_items, kind, i);
      const void *b = config_item_at (to_items, kind, j);
      int order = i == from_count ? 1
                  : j == to_count
                      ? -1
                      : strcmp (config_item_name (a), config_item_name (b));
      if (order < 0)
        ops->remove (arg, kind, a);
      else if (order > 0 || !config_item_equal (kind, a, b))
        ops->upsert (arg, kind, order == 0 ? a : NULL, b);
      i += order <= 0;
      j += order >= 0;
    }
}

void
config_compare (const struct config *from, const struct config *to,
                const struct config_difference_ops *ops, void *arg)
{
  for (int kind = CONFIG_SERVICE; kind <= CONFIG_KIND_LAST; kind++)
    compare_kind (from, to, kind, ops, arg);
}

enum status
config_diff (const struct config *from, const struct config *to, void *arena,
             uint8_t **delta, size_t *size)
{
  static const struct config_difference_ops ops
      = { write_upsert, write_removal };
  msgpack_sbuffer upserts, removals, encoded;
  msgpack_sbuffer_init (&upserts);
  msgpack_sbuffer_init (&removals);
  msgpack_sbuffer_init (&encoded);
  struct delta_writer writer = { 0 };
  msgpack_packer_init (&writer.upserts, &upserts, msgpack_sbuffer_write);
  msgpack_packer_init (&writer.removals, &removals, msgpack_sbuffer_write);
  config_compare (from, to, &ops, &writer);
  msgpack_packer packer;
  msgpack_packer_init (&packer, &encoded, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, 3);
  msgpack_pack_uint8 (&packer, DELTA_FORMAT);
  msgpack_pack_array (&packer, writer.upsert_count);
  if (upserts.size > 0)
    msgpack_sbuffer_write (&encoded, upserts.data, upserts.size);
  msgpack_pack_array (&packer, writer.removal_count);
  if (removals.size > 0)
    msgpack_sbuffer_write (&encoded, removals.data, removals.size);
  *delta = talloc_memdup (arena, encoded.data, encoded.size);
  *size = encoded.size;
  msgpack_sbuffer_destroy (&upserts);
  msgpack_sbuffer_destroy (&removals);
  msgpack_sbuffer_destroy (&encoded);
  return *delta == NULL
             ? status_set (STATUS_NO_MEMORY, "no memory to encode a delta")
             : STATUS_OK;
}

/// Appends an object to a set. Fails unless it follows the last one in the
/// order of kind and name.
static enum status
append_item (struct config *set, enum config_kind kind, const void *item)
{
  const struct config_schema *schema = config_schema (kind);
  for (int later = kind + 1; later <= CONFIG_KIND_LAST; later++)
    {
      size_t later_count;
      config_items (set, later, &later_count);
      if (later_count > 0)
        return status_set (STATUS_CORRUPT,
                           "delta: entries are not sorted by kind");
    }
  size_t count;
  char *items = (char *)config_items (set, kind, &count);
  if (count == schema->count_max)
    return status_set (STATUS_TOO_LARGE, "delta: too many %s", schema->plural);
  if (count > 0
      && strcmp (config_item_name (items + (count - 1) * schema->item_size),
                 config_item_name (item))
             >= 0)
    return status_set (STATUS_CORRUPT,
                       "delta: entries are not sorted by name");
  size_t capacity
      = items == NULL ? 0 : talloc_get_size (items) / schema->item_size;
  if (count == capacity)
    items = talloc_realloc_size (set->arena, items,
                                 (capacity == 0 ? 4 : 2 * capacity)
                                     * schema->item_size);
  if (items == NULL)
    return status_set (STATUS_NO_MEMORY, "no memory to decode a delta");
  memcpy (items + count * schema->item_size, item, schema->item_size);
  config_set_items (set, kind, items, count + 1);
  return STATUS_OK;
}

/// Reads an upsert [kind, object] or a removal [kind, name] into a set.
/// @param strings  free space for the strings of an upsert; advanced
static enum status
unpack_change (struct config *set, const msgpack_object *object, bool removal,
               char **strings)
{
  union
  {
    struct config_service service;
    struct config_route route;
    struct config_move move;
  } item;
  uint64_t kind;
  memset (&item, 0, sizeof item);
  const msgpack_object *pair = unpack_array (object, 2);
  if (pair == NULL || object->via.array.size != 2
      || !unpack_number (&pair[0], CONFIG_KIND_LAST, &kind) || kind == 0)
    return status_set (STATUS_CORRUPT, "delta: entry is malformed");
  if (!removal)
    {
      if (!config_unpack_item ((enum config_kind)kind, &pair[1], &item,
                               strings))
        return status_set (STATUS_CORRUPT, "delta: %s is malformed",
                           config_schema ((enum config_kind)kind)->singular);
      return append_item (set, (enum config_kind)kind, &item);
    }
  char *name = unpack_string (&pair[1], CONFIG_NAME_MAX, set->arena);
  if (name == NULL)
    return status_set (STATUS_CORRUPT, "delta: removal without a valid name");
  item.service.name = name;
  return append_item (set, (enum config_kind)kind, &item);
}

static enum status
unpack_delta (struct delta *delta, const msgpack_object *object, size_t size)
{
  uint64_t format;
  const msgpack_object *parts = unpack_array (object, 3);
  if (parts == NULL || object->via.array.size != 3
      || !unpack_number (&parts[0], UINT64_MAX, &format)
      || unpack_array (&parts[1], 0) == NULL
      || unpack_array (&parts[2], 0) == NULL)
    return status_set (STATUS_CORRUPT, "delta is malformed");
  if (format != DELTA_FORMAT)
    return status_set (STATUS_UNSUPPORTED,
                       "delta has format %llu, only format %d is supported",
                       (unsigned long long)format, DELTA_FORMAT);
  char *strings = talloc_size (delta->upserts.arena, size);
  if (strings == NULL)
    return status_set (STATUS_NO_MEMORY, "no memory to decode a delta");
  for (int part = 1; part <= 2; part++)
    for (uint32_t i = 0; i < parts[part].via.array.size; i++)
      {
        enum status status = unpack_change (
            part == 1 ? &delta->upserts : &delta->removals,
            &parts[part].via.array.ptr[i], part == 2, &strings);
        if (status != STATUS_OK)
          return status;
      }
  return STATUS_OK;
}

/// Merges the sorted objects of one kind: the base with the upserts, without
/// the removals. Strings are borrowed.
static enum status
merge_kind (struct config *merged, const struct config *base,
            const struct delta *delta, enum config_kind kind)
{
  const struct config_schema *schema = config_schema (kind);
  size_t base_count, upsert_count, removal_count;
  const void *base_items = config_items (base, kind, &base_count);
  const void *upserts = config_items (&delta->upserts, kind, &upsert_count);
  const void *removals = config_items (&delta->removals, kind, &removal_count);
  if (base_count + upsert_count == 0 && removal_count == 0)
    return STATUS_OK;
  char *items = talloc_size (merged->arena, (base_count + upsert_count + 1)
                                                * schema->item_size);
  if (items == NULL)
    return status_set (STATUS_NO_MEMORY, "no memory for %s", schema->plural);
  size_t i = 0, j = 0, removed = 0, count = 0;
  while (i < base_count || j < upsert_count)
    {
      const void *old = config_item_at (base_items, kind, i);
      const void *new = config_item_at (upserts, kind, j);
      int order = i == base_count     ? 1
                  : j == upsert_count ? -1
                                      : strcmp (config_item_name (old),
                                                config_item_name (new));
      const void *item = order < 0 ? old : new;
      i += order <= 0;
      j += order >= 0;
      if (removed < removal_count
          && strcmp (
                 config_item_name (config_item_at (removals, kind, removed)),
                 config_item_name (item))
                 == 0)
        {
          if (order >= 0)
            return status_set (STATUS_CORRUPT,
                               "delta: sets and removes the same %s",
                               schema->singular);
          removed++;
          continue;
        }
      memcpy (items + count++ * schema->item_size, item, schema->item_size);
    }
  if (removed != removal_count)
    return status_set (STATUS_CORRUPT,
                       "delta: removes a %s that does not exist",
                       schema->singular);
  if (count > schema->count_max)
    return status_set (STATUS_INVALID,
                       "delta: results in %zu %s, the maximum is %zu", count,
                       schema->plural, schema->count_max);
  config_set_items (merged, kind, items, count);
  return STATUS_OK;
}

/// Initializes `next` with the content of `base` changed by a delta.
static enum status
merge_delta (struct config *next, const struct config *base,
             const struct delta *delta)
{
  struct config merged = { .arena = talloc_new (NULL) };
  enum status status = STATUS_OK;
  for (int kind = CONFIG_SERVICE;
       kind <= CONFIG_KIND_LAST && status == STATUS_OK; kind++)
    status = merge_kind (&merged, base, delta, kind);
  if (status == STATUS_OK)
    status = config_copy_compact (next, &merged);
  talloc_free (merged.arena);
  return status;
}

/// @param delta  initialized and released by the caller
static enum status
read_delta (struct delta *delta, const uint8_t *bytes, size_t size)
{
  msgpack_unpacked unpacked;
  enum status status = unpack_one (&unpacked, bytes, size);
  if (status != STATUS_OK)
    return status;
  status = unpack_delta (delta, &unpacked.data, size);
  msgpack_unpacked_destroy (&unpacked);
  return status;
}

static void
init_delta (struct delta *delta)
{
  *delta = (struct delta){ .upserts = { .arena = talloc_new (NULL) },
                           .removals = { .arena = talloc_new (NULL) } };
}

static void
finish_delta (struct delta *delta)
{
  talloc_free (delta->upserts.arena);
  talloc_free (delta->removals.arena);
}

enum status
config_delta_read (const uint8_t *bytes, size_t size,
                   const struct config_difference_ops *ops, void *arg)
{
  struct delta delta;
  init_delta (&delta);
  enum status status = read_delta (&delta, bytes, size);
  for (int kind = CONFIG_SERVICE;
       kind <= CONFIG_KIND_LAST && status == STATUS_OK; kind++)
    {
      size_t count;
      const void *items = config_items (&delta.upserts, kind, &count);
      for (size_t i = 0; i < count; i++)
        ops->upsert (arg, kind, NULL, config_item_at (items, kind, i));
      items = config_items (&delta.removals, kind, &count);
      for (size_t i = 0; i < count; i++)
        ops->remove (arg, kind, config_item_at (items, kind, i));
    }
  finish_delta (&delta);
  return status;
}

static enum status
apply_delta (struct config *next, const struct config *base,
             const uint8_t *bytes, size_t size)
{
  struct delta delta;
  init_delta (&delta);
  enum status status = read_delta (&delta, bytes, size);
  if (status == STATUS_OK)
    status = merge_delta (next, base, &delta);
  finish_delta (&delta);
  return status;
}

enum status
config_apply (struct config *config, const struct config_record *record)
{
  if (record->version != config->version + 1)
    return status_set (STATUS_CONFLICT,
                       "record creates version %llu, but the current version "
                       "is %llu",
                       (unsigned long long)record->version,
                       (unsigned long long)config->version);
  if (!hash_equal (&record->previous_hash, &config->hash))
    return status_set (STATUS_CORRUPT,
                       "record of version %llu has the wrong previous hash",
                       (unsigned long long)record->version);
  struct config next;
  enum status status
      = apply_delta (&next, config, record->delta, record->delta_size);
  if (status != STATUS_OK)
    return status;
  next.version = record->version;
  status = config_rehash (&next);
  if (status == STATUS_OK && !hash_equal (&next.hash, &record->hash))
    status = status_set (STATUS_CORRUPT,
                         "content of version %llu does not match its hash",
                         (unsigned long long)record->version);
  if (status == STATUS_OK)
    {
      struct findings findings;
      findings_init (&findings, "record");
      status = config_check (&next, &findings);
      findings_finish (&findings);
    }
  if (status == STATUS_OK)
    status = config_check_transition (config, &next);
  if (status != STATUS_OK)
    {
      config_finish (&next);
      return status;
    }
  config_finish (config);
  *config = next;
  return STATUS_OK;
}
