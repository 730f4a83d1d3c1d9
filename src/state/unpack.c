/// Checks msgpack bytes before msgpack-c decodes them.
#include "state/unpack.h"

#include <string.h>
#include <talloc.h>

/// The header of one value.
struct header
{
  size_t bytes;      ///< size of the header
  uint64_t payload;  ///< size of the data that follows
  uint64_t children; ///< number of values that follow as its elements
};

static uint64_t
read_big_endian (const uint8_t *bytes, size_t size)
{
  uint64_t value = 0;
  for (size_t i = 0; i < size; i++)
    value = value << 8 | bytes[i];
  return value;
}

/// Reads a header whose first byte is followed by a count of `width` bytes.
/// @param per_count  values per count: 1 for arrays, 2 for maps, 0 when the
///                   count is a size in bytes
/// @param extra      bytes of the payload that the size does not include
/// @return false when the header is truncated
static bool
read_counted_header (struct header *header, const uint8_t *bytes, size_t size,
                     size_t width, unsigned per_count, size_t extra)
{
  if (size < 1 + width)
    return false;
  uint64_t count = read_big_endian (bytes + 1, width);
  header->bytes = 1 + width;
  if (per_count == 0)
    header->payload = count + extra;
  else
    header->children = count * per_count;
  return true;
}

/// @return false when the first byte is reserved or the header is truncated
static bool
read_header (struct header *header, const uint8_t *bytes, size_t size)
{
  static const uint8_t scalar_sizes[] = { 4, 8, 1, 2, 4, 8, 1, 2, 4, 8 };
  uint8_t first = bytes[0];
  *header = (struct header){ .bytes = 1 };
  if (first < 0x80 || first >= 0xe0)
    return true;
  if (first < 0x90)
    header->children = 2 * (uint64_t)(first & 0x0f);
  else if (first < 0xa0)
    header->children = first & 0x0f;
  else if (first < 0xc0)
    header->payload = first & 0x1f;
  else if (first == 0xc1)
    return false;
  else if (first >= 0xc4 && first <= 0xc6)
    return read_counted_header (header, bytes, size,
                                (size_t)1 << (first - 0xc4), 0, 0);
  else if (first >= 0xc7 && first <= 0xc9)
    return read_counted_header (header, bytes, size,
                                (size_t)1 << (first - 0xc7), 0, 1);
  else if (first >= 0xca && first <= 0xd3)
    header->payload = scalar_sizes[first - 0xca];
  else if (first >= 0xd4 && first <= 0xd8)
    header->payload = 1 + (1U << (first - 0xd4));
  else if (first >= 0xd9 && first <= 0xdb)
    return read_counted_header (header, bytes, size,
                                (size_t)1 << (first - 0xd9), 0, 0);
  else if (first == 0xdc || first == 0xdd)
    return read_counted_header (header, bytes, size, first == 0xdc ? 2 : 4, 1,
                                0);
  else if (first == 0xde || first == 0xdf)
    return read_counted_header (header, bytes, size, first == 0xde ? 2 : 4, 2,
                                0);
  return true;
}

/// @return true when the bytes are exactly one value, and no count or size
///         exceeds the bytes that follow
static bool
is_one_value (const uint8_t *bytes, size_t size)
{
  uint64_t remaining[UNPACK_DEPTH_MAX + 1] = { 1 };
  size_t depth = 0;
  size_t offset = 0;
  for (;;)
    {
      while (remaining[depth] == 0)
        {
          if (depth == 0)
            return offset == size;
          depth--;
        }
      struct header header;
      if (offset == size
          || !read_header (&header, bytes + offset, size - offset))
        return false;
      remaining[depth]--;
      offset += header.bytes;
      if (header.payload > size - offset || header.children > size - offset)
        return false;
      offset += (size_t)header.payload;
      if (header.children == 0)
        continue;
      if (depth == UNPACK_DEPTH_MAX)
        return false;
      remaining[++depth] = header.children;
    }
}

enum status
unpack_one (msgpack_unpacked *result, const uint8_t *bytes, size_t size)
{
  if (!is_one_value (bytes, size))
    return status_set (STATUS_CORRUPT,
                       "input is not exactly one well-formed msgpack value");
  size_t offset = 0;
  msgpack_unpacked_init (result);
  msgpack_unpack_return unpacked
      = msgpack_unpack_next (result, (const char *)bytes, size, &offset);
  if ((unpacked == MSGPACK_UNPACK_SUCCESS
       || unpacked == MSGPACK_UNPACK_EXTRA_BYTES)
      && offset == size)
    return STATUS_OK;
  msgpack_unpacked_destroy (result);
  if (unpacked == MSGPACK_UNPACK_NOMEM_ERROR)
    return status_set (STATUS_NO_MEMORY, "no memory to decode msgpack");
  return status_set (STATUS_CORRUPT, "input is malformed msgpack");
}

const msgpack_object *
unpack_array (const msgpack_object *object, size_t count)
{
  if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size < count)
    return NULL;
  return object->via.array.ptr;
}

bool
unpack_number (const msgpack_object *object, uint64_t max, uint64_t *value)
{
  if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER || object->via.u64 > max)
    return false;
  *value = object->via.u64;
  return true;
}

bool
unpack_bytes (const msgpack_object *object, void *bytes, size_t size)
{
  if (object->type != MSGPACK_OBJECT_BIN || object->via.bin.size != size)
    return false;
  memcpy (bytes, object->via.bin.ptr, size);
  return true;
}

char *
unpack_string (const msgpack_object *object, size_t max, void *arena)
{
  if (object->type != MSGPACK_OBJECT_STR || object->via.str.size > max)
    return NULL;
  size_t size = object->via.str.size;
  if (size > 0 && memchr (object->via.str.ptr, '\0', size) != NULL)
    return NULL;
  return talloc_strndup (arena, size > 0 ? object->via.str.ptr : "", size);
}
