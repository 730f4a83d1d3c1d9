/// Encodes and decodes the messages between nodes about claims.
#include "protocol/claim_message.h"

#include "protocol/pack_reader.h"

#include <assert.h>
#include <msgpack.h>
#include <string.h>

#define CLAIM_FIELDS 6
#define REPLY_FIELDS 5
#define OUTCOME_FIELDS 9

struct output
{
  uint8_t *bytes;
  size_t size;
};

static int
write_bytes (void *arg, const char *data, size_t size)
{
  struct output *output = arg;
  assert (output->size + size <= CLAIM_MESSAGE_MAX);
  memcpy (output->bytes + output->size, data, size);
  output->size += size;
  return 0;
}

static void
pack_response (msgpack_packer *packer, const struct claim_record *record)
{
  msgpack_pack_uint16 (packer, record->status);
  msgpack_pack_bin (packer, record->body_size);
  if (record->body_size > 0)
    msgpack_pack_bin_body (packer, record->body, record->body_size);
  if (record->body_complete)
    msgpack_pack_true (packer);
  else
    msgpack_pack_false (packer);
}

static void
read_response (struct pack_reader *reader, struct claim_record *record)
{
  size_t size;
  record->status = (uint16_t)pack_read_uint (reader, 999);
  record->body = pack_read_bin (reader, 0, CLAIM_BODY_MAX, &size);
  record->body_size = (uint16_t)size;
  record->body_complete = pack_read_bool (reader);
}

static void
read_key (struct pack_reader *reader, struct claim_record *record)
{
  size_t size;
  const uint8_t *key
      = pack_read_bin (reader, CONTENT_HASH_SIZE, CONTENT_HASH_SIZE, &size);
  if (key != NULL)
    memcpy (record->key.bytes, key, CONTENT_HASH_SIZE);
  record->nonce = pack_read_uint (reader, UINT64_MAX);
}

static void
read_created_and_partition (struct pack_reader *reader,
                            struct claim_message *message)
{
  message->record.created_s = (uint32_t)pack_read_uint (reader, UINT32_MAX);
  message->partition = (uint32_t)pack_read_uint (reader, UINT32_MAX);
}

size_t
claim_message_encode (unsigned type, const struct claim_message *message,
                      uint8_t bytes[CLAIM_MESSAGE_MAX])
{
  struct output output = { .bytes = bytes };
  const struct claim_record *record = &message->record;
  msgpack_packer packer;
  msgpack_packer_init (&packer, &output, write_bytes);
  switch (type)
    {
    case CLAIM_MESSAGE_CLAIM:
      msgpack_pack_array (&packer, CLAIM_FIELDS);
      msgpack_pack_uint64 (&packer, message->seq);
      msgpack_pack_bin_with_body (&packer, record->key.bytes,
                                  sizeof record->key.bytes);
      msgpack_pack_uint64 (&packer, record->nonce);
      msgpack_pack_uint32 (&packer, message->deadline_ms);
      msgpack_pack_uint32 (&packer, record->created_s);
      msgpack_pack_uint32 (&packer, message->partition);
      break;
    case CLAIM_MESSAGE_REPLY:
      msgpack_pack_array (&packer, REPLY_FIELDS);
      msgpack_pack_uint64 (&packer, message->seq);
      msgpack_pack_uint8 (&packer, (uint8_t)message->verdict);
      pack_response (&packer, record);
      break;
    default:
      assert (type == CLAIM_MESSAGE_OUTCOME);
      msgpack_pack_array (&packer, OUTCOME_FIELDS);
      msgpack_pack_bin_with_body (&packer, record->key.bytes,
                                  sizeof record->key.bytes);
      msgpack_pack_uint64 (&packer, record->nonce);
      msgpack_pack_uint8 (&packer, (uint8_t)record->kind);
      pack_response (&packer, record);
      msgpack_pack_uint32 (&packer, record->created_s);
      msgpack_pack_uint32 (&packer, message->partition);
      msgpack_pack_uint64 (&packer, message->seq);
      break;
    }
  return output.size;
}

enum status
claim_message_decode (unsigned type, const uint8_t *bytes, size_t size,
                      struct claim_message *message)
{
  struct pack_reader reader;
  struct claim_record *record = &message->record;
  pack_reader_init (&reader, bytes, size);
  *message = (struct claim_message){ 0 };
  uint32_t fields = pack_read_array (&reader);
  uint32_t fields_min = CLAIM_FIELDS;
  switch (type)
    {
    case CLAIM_MESSAGE_CLAIM:
      message->seq = pack_read_uint (&reader, UINT64_MAX);
      read_key (&reader, record);
      message->deadline_ms = (uint32_t)pack_read_uint (&reader, UINT32_MAX);
      read_created_and_partition (&reader, message);
      record->kind = CLAIM_RECORD_CLAIM;
      break;
    case CLAIM_MESSAGE_REPLY:
      fields_min = REPLY_FIELDS;
      message->seq = pack_read_uint (&reader, UINT64_MAX);
      message->verdict = (enum claim_verdict)pack_read_uint (
          &reader, CLAIM_VERDICT_NOT_OWNER);
      read_response (&reader, record);
      break;
    default:
      fields_min = OUTCOME_FIELDS;
      read_key (&reader, record);
      record->kind = (enum claim_record_kind)pack_read_uint (
          &reader, CLAIM_RECORD_OUTCOME_UNKNOWN);
      read_response (&reader, record);
      read_created_and_partition (&reader, message);
      message->seq = pack_read_uint (&reader, UINT64_MAX);
      if (record->kind < CLAIM_RECORD_RELEASE)
        reader.failed = true;
      break;
    }
  if (reader.failed || fields < fields_min)
    return status_set (STATUS_CORRUPT, "claim message of type %u is malformed",
                       type);
  return STATUS_OK;
}
