/// Compresses snapshots and splits them into parts for the store.
///
/// A part is the msgpack array [1, version, part number, number of parts,
/// bytes].
#include "protocol/record.h"

#include "state/unpack.h"

#include <string.h>
#include <talloc.h>
#include <zstd.h>

#define PART_FORMAT 1
#define PART_FIELDS 5

/// Largest msgpack encoding of a part without its bytes.
#define PART_HEADER_MAX 64

/// zstd level: fast, and gives about a third of the input. Only one version in
/// RECORD_SNAPSHOT_INTERVAL is written as a snapshot.
#define COMPRESSION_LEVEL 3

struct part
{
  uint64_t version;
  uint64_t index;
  uint64_t count;
  const uint8_t *bytes; ///< points into the encoded part or the content
  size_t size;
};

enum status
record_compress (const uint8_t *content, size_t content_size, void *arena,
                 uint8_t **bytes, size_t *size)
{
  if (content_size > RECORD_CONTENT_MAX)
    return status_set (STATUS_TOO_LARGE,
                       "configuration of %zu bytes is too large",
                       content_size);
  size_t bound = ZSTD_compressBound (content_size);
  uint8_t *compressed = talloc_size (arena, bound);
  if (compressed == NULL)
    return status_set (STATUS_NO_MEMORY, "out of memory for compression");
  size_t result = ZSTD_compress (compressed, bound, content, content_size,
                                 COMPRESSION_LEVEL);
  if (ZSTD_isError (result))
    {
      talloc_free (compressed);
      return status_set (STATUS_NO_MEMORY, "zstd compression failed: %s",
                         ZSTD_getErrorName (result));
    }
  uint8_t *shrunk = talloc_realloc_size (arena, compressed, result);
  *bytes = shrunk == NULL ? compressed : shrunk;
  *size = result;
  return STATUS_OK;
}

enum status
record_decompress (const uint8_t *bytes, size_t size, void *arena,
                   uint8_t **content, size_t *content_size)
{
  unsigned long long stated = ZSTD_getFrameContentSize (bytes, size);
  if (stated == ZSTD_CONTENTSIZE_ERROR || stated == ZSTD_CONTENTSIZE_UNKNOWN
      || ZSTD_findFrameCompressedSize (bytes, size) != size)
    return status_set (
        STATUS_CORRUPT,
        "snapshot is not a single zstd frame with a stated size");
  if (stated > RECORD_CONTENT_MAX)
    return status_set (STATUS_TOO_LARGE,
                       "snapshot of %llu bytes, at most %d are accepted",
                       stated, RECORD_CONTENT_MAX);
  uint8_t *buffer = talloc_size (arena, (size_t)stated + 1);
  if (buffer == NULL)
    return status_set (STATUS_NO_MEMORY, "out of memory for decompression");
  size_t result = ZSTD_decompress (buffer, (size_t)stated, bytes, size);
  if (ZSTD_isError (result) || result != stated)
    {
      talloc_free (buffer);
      return status_set (STATUS_CORRUPT, "zstd frame is corrupt");
    }
  *content = buffer;
  *content_size = result;
  return STATUS_OK;
}

static enum status
encode_part (const struct part *part, void *arena, uint8_t **bytes,
             size_t *size)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, PART_FIELDS);
  msgpack_pack_uint8 (&packer, PART_FORMAT);
  msgpack_pack_uint64 (&packer, part->version);
  msgpack_pack_uint64 (&packer, part->index);
  msgpack_pack_uint64 (&packer, part->count);
  msgpack_pack_bin_with_body (&packer, part->bytes, part->size);
  *bytes = talloc_memdup (arena, buffer.data, buffer.size);
  *size = buffer.size;
  msgpack_sbuffer_destroy (&buffer);
  return *bytes == NULL ? status_set (STATUS_NO_MEMORY,
                                      "out of memory for a snapshot part")
                        : STATUS_OK;
}

static enum status
decode_part (struct part *part, const uint8_t *bytes, size_t size)
{
  msgpack_unpacked unpacked;
  uint64_t format;
  *part = (struct part){ 0 };
  if (size > RECORD_PART_MAX)
    return status_set (STATUS_TOO_LARGE,
                       "snapshot part of %zu bytes is too large", size);
  enum status status = unpack_one (&unpacked, bytes, size);
  if (status != STATUS_OK)
    return status;
  const msgpack_object *fields = unpack_array (&unpacked.data, PART_FIELDS);
  if (fields == NULL || !unpack_number (&fields[0], UINT64_MAX, &format)
      || !unpack_number (&fields[1], UINT64_MAX, &part->version)
      || !unpack_number (&fields[2], RECORD_PARTS_MAX - 1, &part->index)
      || !unpack_number (&fields[3], RECORD_PARTS_MAX, &part->count)
      || part->index >= part->count || fields[4].type != MSGPACK_OBJECT_BIN)
    status = status_set (STATUS_CORRUPT, "snapshot part is malformed");
  else if (format != PART_FORMAT)
    status = status_set (STATUS_UNSUPPORTED,
                         "snapshot part has unknown format %llu",
                         (unsigned long long)format);
  else
    {
      part->bytes = (const uint8_t *)fields[4].via.bin.ptr;
      part->size = fields[4].via.bin.size;
    }
  msgpack_unpacked_destroy (&unpacked);
  return status;
}

enum status
record_snapshot_encode (uint64_t version, const uint8_t *content,
                        size_t content_size, void *arena,
                        struct record_parts *parts)
{
  const size_t part_bytes_max = RECORD_PART_MAX - PART_HEADER_MAX;
  uint8_t *compressed = NULL;
  size_t size = 0;
  enum status status
      = record_compress (content, content_size, arena, &compressed, &size);
  if (status != STATUS_OK)
    return status;
  *parts = (struct record_parts){ .count = (size + part_bytes_max - 1)
                                           / part_bytes_max };
  for (size_t i = 0; i < parts->count && status == STATUS_OK; i++)
    {
      struct part part
          = { .version = version,
              .index = i,
              .count = parts->count,
              .bytes = compressed + i * part_bytes_max,
              .size = i + 1 < parts->count ? part_bytes_max
                                           : size - i * part_bytes_max };
      status = encode_part (&part, arena, &parts->bytes[i], &parts->sizes[i]);
    }
  talloc_free (compressed);
  return status;
}

size_t
record_snapshot_part_count (const uint8_t *first, size_t size)
{
  struct part part = { 0 };
  if (decode_part (&part, first, size) != STATUS_OK || part.index != 0)
    return 0;
  return (size_t)part.count;
}

enum status
record_snapshot_decode (uint64_t version, const struct record_parts *parts,
                        void *arena, uint8_t **content, size_t *content_size)
{
  if (parts->count == 0 || parts->count > RECORD_PARTS_MAX)
    return status_set (STATUS_CORRUPT,
                       "snapshot has an impossible number of parts: %zu",
                       parts->count);
  uint8_t *joined = NULL;
  size_t size = 0;
  enum status status = STATUS_OK;
  for (size_t i = 0; i < parts->count && status == STATUS_OK; i++)
    {
      struct part part = { 0 };
      status = decode_part (&part, parts->bytes[i], parts->sizes[i]);
      if (status != STATUS_OK)
        break;
      if (part.version != version || part.index != i
          || part.count != parts->count)
        {
          status = status_set (STATUS_CORRUPT,
                               "part %zu belongs to another snapshot", i);
          break;
        }
      uint8_t *grown
          = talloc_realloc_size (arena, joined, size + part.size + 1);
      if (grown == NULL)
        {
          status
              = status_set (STATUS_NO_MEMORY, "out of memory for a snapshot");
          break;
        }
      joined = grown;
      if (part.size > 0)
        memcpy (joined + size, part.bytes, part.size);
      size += part.size;
    }
  if (status == STATUS_OK)
    status = record_decompress (joined, size, arena, content, content_size);
  talloc_free (joined);
  return status;
}
