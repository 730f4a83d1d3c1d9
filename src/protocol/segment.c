/// Encodes and decodes segments and chunks of the claim log.
#include "protocol/segment.h"

#include "protocol/pack_reader.h"

#include <msgpack.h>
#include <talloc.h>

#define FORMAT 1

static void
pack_record (msgpack_packer *packer, const struct claim_record *record)
{
  bool outcome = record->kind == CLAIM_RECORD_OUTCOME;
  msgpack_pack_array (packer, outcome ? 7 : 4);
  msgpack_pack_uint8 (packer, (uint8_t)record->kind);
  msgpack_pack_bin_with_body (packer, record->key.bytes,
                              sizeof record->key.bytes);
  msgpack_pack_uint64 (packer, record->nonce);
  msgpack_pack_uint32 (packer, record->created_s);
  if (!outcome)
    return;
  msgpack_pack_uint16 (packer, record->status);
  msgpack_pack_bin_with_body (packer, record->body, record->body_size);
  if (record->body_complete)
    msgpack_pack_true (packer);
  else
    msgpack_pack_false (packer);
}

static void
read_record (struct pack_reader *reader, struct claim_record *record)
{
  uint32_t fields = pack_read_array (reader);
  record->kind
      = (enum claim_record_kind)pack_read_uint (reader, CLAIM_RECORD_FLOOR);
  size_t size;
  const uint8_t *key
      = pack_read_bin (reader, CONTENT_HASH_SIZE, CONTENT_HASH_SIZE, &size);
  if (key != NULL)
    memcpy (record->key.bytes, key, CONTENT_HASH_SIZE);
  record->nonce = pack_read_uint (reader, UINT64_MAX);
  record->created_s = (uint32_t)pack_read_uint (reader, UINT32_MAX);
  bool outcome = record->kind == CLAIM_RECORD_OUTCOME;
  if (record->kind == 0 || fields != (outcome ? 7 : 4))
    reader->failed = true;
  if (reader->failed || !outcome)
    return;
  record->status = (uint16_t)pack_read_uint (reader, 999);
  record->body = pack_read_bin (reader, 0, CLAIM_BODY_MAX, &size);
  record->body_size = (uint16_t)size;
  record->body_complete = pack_read_bool (reader);
}

enum status
segment_encode (const struct claim_segment *segment, void *arena,
                uint8_t **bytes, size_t *size)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, 6);
  msgpack_pack_uint8 (&packer, FORMAT);
  if (segment->chunk)
    msgpack_pack_true (&packer);
  else
    msgpack_pack_false (&packer);
  msgpack_pack_uint32 (&packer, segment->partition);
  msgpack_pack_uint64 (&packer, segment->number);
  msgpack_pack_uint64 (&packer, segment->nonce);
  msgpack_pack_array (&packer, segment->count);
  for (size_t i = 0; i < segment->count; i++)
    pack_record (&packer, &segment->records[i]);
  *size = buffer.size;
  *bytes = talloc_memdup (arena, buffer.data, buffer.size);
  msgpack_sbuffer_destroy (&buffer);
  if (*bytes == NULL)
    return status_set (STATUS_NO_MEMORY,
                       "cannot encode a claim log segment of %zu bytes",
                       *size);
  if (*size <= STORE_VALUE_MAX)
    return STATUS_OK;
  talloc_free (*bytes);
  return status_set (STATUS_TOO_LARGE,
                     "cannot encode a claim log segment of %zu bytes", *size);
}

enum status
segment_decode (const uint8_t *bytes, size_t size, void *arena,
                struct claim_segment *segment)
{
  struct pack_reader reader;
  pack_reader_init (&reader, bytes, size);
  *segment = (struct claim_segment){ 0 };
  uint32_t fields = pack_read_array (&reader);
  uint64_t format = pack_read_uint (&reader, UINT8_MAX);
  segment->chunk = pack_read_bool (&reader);
  segment->partition = (uint32_t)pack_read_uint (&reader, UINT32_MAX);
  segment->number = pack_read_uint (&reader, UINT64_MAX);
  segment->nonce = pack_read_uint (&reader, UINT64_MAX);
  uint32_t count = pack_read_array (&reader);
  uint32_t count_max
      = segment->chunk ? CLAIM_CHUNK_RECORDS : CLAIM_SEGMENT_RECORDS;
  if (reader.failed || fields != 6 || format != FORMAT || count > count_max)
    return status_set (STATUS_CORRUPT, "not a claim log segment of format %d",
                       FORMAT);
  segment->records = talloc_zero_array (arena, struct claim_record, count + 1);
  if (segment->records == NULL)
    return status_set (STATUS_NO_MEMORY,
                       "out of memory for a segment of %u records", count);
  segment->count = count;
  for (uint32_t i = 0; i < count && !reader.failed; i++)
    read_record (&reader, &segment->records[i]);
  if (pack_reader_done (&reader))
    return STATUS_OK;
  talloc_free (segment->records);
  segment->records = NULL;
  segment->count = 0;
  return status_set (STATUS_CORRUPT,
                     "claim log segment is truncated or malformed");
}

const struct claim_codec segment_codec
    = { .encode = segment_encode, .decode = segment_decode };
