/// Encodes and decodes message bodies, except lists of numbers
/// (message_numbers.c) and member records (message_members.c).
#include "protocol/message.h"

#include "state/unpack.h"

#include <string.h>

/// Reads a msgpack array header of up to 65535 elements.
/// @return bytes of the header, 0 when there is none
static size_t
array_header (const uint8_t *bytes, size_t size, uint32_t *count)
{
  if (size >= 1 && (bytes[0] & 0xf0) == 0x90)
    {
      *count = bytes[0] & 0x0f;
      return 1;
    }
  if (size >= 3 && bytes[0] == 0xdc)
    {
      *count = (uint32_t)bytes[1] << 8 | bytes[2];
      return 3;
    }
  return 0;
}

/// Writes the shortest msgpack array header.
/// @return bytes written
static size_t
write_array_header (uint8_t *out, uint32_t count)
{
  if (count < 16)
    {
      out[0] = (uint8_t)(0x90 | count);
      return 1;
    }
  out[0] = 0xdc;
  out[1] = (uint8_t)(count >> 8);
  out[2] = (uint8_t)count;
  return 3;
}

enum status
message_wrap (unsigned type, const uint8_t *body, size_t size, uint8_t *out,
              size_t *size_out)
{
  uint32_t count;
  size_t header = array_header (body, size, &count);
  if (header == 0 || count >= UINT16_MAX || type >= 128)
    return status_set (
        STATUS_INVALID,
        "message body must be an array of fewer than 65535 fields, "
        "and its type below 128");
  size_t written = write_array_header (out, count + 1);
  out[written++] = (uint8_t)type;
  memcpy (out + written, body + header, size - header);
  *size_out = written + size - header;
  return STATUS_OK;
}

enum status
message_unwrap (uint8_t *message, size_t size, unsigned *type,
                const uint8_t **body, size_t *body_size)
{
  uint32_t count;
  size_t header = array_header (message, size, &count);
  if (header == 0 || count == 0 || size == header || message[header] >= 128)
    return status_set (STATUS_CORRUPT, "message has no type");
  *type = message[header];
  /* The header of the shorter array ends where the type was. It fits, because
     it needs at most as many bytes as the old header and the type. */
  uint8_t replacement[3];
  size_t written = write_array_header (replacement, count - 1);
  uint8_t *start = message + header + 1 - written;
  memcpy (start, replacement, written);
  *body = start;
  *body_size = size - (size_t)(start - message);
  return STATUS_OK;
}

static msgpack_packer
packer_for (msgpack_sbuffer *out)
{
  msgpack_packer packer;
  msgpack_packer_init (&packer, out, msgpack_sbuffer_write);
  return packer;
}

static void
pack_id (msgpack_packer *packer, const struct broadcast_id *id)
{
  msgpack_pack_array (packer, 2);
  msgpack_pack_uint64 (packer, id->origin);
  msgpack_pack_uint64 (packer, id->number);
}

static enum status
fail_malformed (msgpack_unpacked *unpacked, const char *name)
{
  msgpack_unpacked_destroy (unpacked);
  return status_set (STATUS_CORRUPT, "malformed %s", name);
}

/// Unpacks a body as an array of at least `count` fields. After STATUS_OK the
/// caller releases `unpacked`.
static enum status
open_body (msgpack_unpacked *unpacked, const uint8_t *body, size_t size,
           size_t count, const msgpack_object **fields)
{
  enum status status = unpack_one (unpacked, body, size);
  if (status != STATUS_OK)
    return status;
  *fields = unpack_array (&unpacked->data, count);
  if (*fields == NULL)
    return fail_malformed (unpacked, "message");
  return STATUS_OK;
}

static bool
read_bytes (const msgpack_object *object, struct message_bytes *bytes)
{
  if (object->type != MSGPACK_OBJECT_BIN)
    return false;
  bytes->data = (const uint8_t *)object->via.bin.ptr;
  bytes->size = object->via.bin.size;
  return true;
}

static bool
read_id (const msgpack_object *object, struct broadcast_id *id)
{
  const msgpack_object *parts = unpack_array (object, 2);
  return parts != NULL && unpack_number (&parts[0], UINT64_MAX, &id->origin)
         && unpack_number (&parts[1], UINT64_MAX, &id->number);
}

static bool
is_nil (const msgpack_object *object)
{
  return object->type == MSGPACK_OBJECT_NIL;
}

void
message_write_heartbeat (msgpack_sbuffer *out,
                         const struct heartbeat *heartbeat)
{
  msgpack_packer packer = packer_for (out);
  bool seq_only = heartbeat->slot_id == 0 && heartbeat->incarnation == 0
                  && !heartbeat->has_version && !heartbeat->has_digest;
  msgpack_pack_array (&packer, seq_only ? 1 : 6);
  msgpack_pack_uint32 (&packer, heartbeat->seq);
  /* Most heartbeats of an idle node carry only their number. */
  if (seq_only)
    return;
  if (heartbeat->slot_id != 0)
    msgpack_pack_uint64 (&packer, heartbeat->slot_id);
  else
    msgpack_pack_nil (&packer);
  if (heartbeat->incarnation != 0)
    msgpack_pack_uint64 (&packer, heartbeat->incarnation);
  else
    msgpack_pack_nil (&packer);
  if (heartbeat->has_version)
    {
      msgpack_pack_uint64 (&packer, heartbeat->version);
      msgpack_pack_bin_with_body (&packer, heartbeat->hash,
                                  sizeof heartbeat->hash);
    }
  else
    {
      msgpack_pack_nil (&packer);
      msgpack_pack_nil (&packer);
    }
  if (heartbeat->has_digest)
    msgpack_pack_uint64 (&packer, heartbeat->digest);
  else
    msgpack_pack_nil (&packer);
}

static bool
parse_heartbeat (const msgpack_object *fields, uint32_t count,
                 struct heartbeat *heartbeat)
{
  uint64_t seq;
  if (!unpack_number (&fields[0], UINT32_MAX, &seq))
    return false;
  *heartbeat = (struct heartbeat){ .seq = (uint32_t)seq };
  if (count < 6)
    return count == 1;
  if (!is_nil (&fields[1])
      && !unpack_number (&fields[1], UINT64_MAX, &heartbeat->slot_id))
    return false;
  if (!is_nil (&fields[2])
      && !unpack_number (&fields[2], UINT64_MAX, &heartbeat->incarnation))
    return false;
  heartbeat->has_version = !is_nil (&fields[3]);
  if (heartbeat->has_version
      && (!unpack_number (&fields[3], UINT64_MAX, &heartbeat->version)
          || !unpack_bytes (&fields[4], heartbeat->hash,
                            sizeof heartbeat->hash)))
    return false;
  heartbeat->has_digest = !is_nil (&fields[5]);
  return !heartbeat->has_digest
         || unpack_number (&fields[5], UINT64_MAX, &heartbeat->digest);
}

enum status
message_read_heartbeat (const uint8_t *body, size_t size,
                        struct heartbeat *heartbeat)
{
  msgpack_unpacked unpacked;
  const msgpack_object *fields;
  enum status status = open_body (&unpacked, body, size, 1, &fields);
  if (status != STATUS_OK)
    return status;
  if (!parse_heartbeat (fields, unpacked.data.via.array.size, heartbeat))
    return fail_malformed (&unpacked, "heartbeat");
  msgpack_unpacked_destroy (&unpacked);
  return STATUS_OK;
}

void
message_write_view_pull (msgpack_sbuffer *out,
                         const uint64_t digests[MEMBERSHIP_BUCKETS])
{
  uint8_t bytes[8 * MEMBERSHIP_BUCKETS];
  for (size_t i = 0; i < sizeof bytes; i++)
    bytes[i] = (uint8_t)(digests[i / 8] >> (8 * (i % 8)));
  msgpack_packer packer = packer_for (out);
  msgpack_pack_array (&packer, 1);
  msgpack_pack_bin_with_body (&packer, bytes, sizeof bytes);
}

enum status
message_read_view_pull (const uint8_t *body, size_t size,
                        uint64_t digests[MEMBERSHIP_BUCKETS])
{
  msgpack_unpacked unpacked;
  const msgpack_object *fields;
  enum status status = open_body (&unpacked, body, size, 1, &fields);
  if (status != STATUS_OK)
    return status;
  uint8_t bytes[8 * MEMBERSHIP_BUCKETS];
  if (!unpack_bytes (&fields[0], bytes, sizeof bytes))
    return fail_malformed (&unpacked, "view pull");
  msgpack_unpacked_destroy (&unpacked);
  memset (digests, 0, MEMBERSHIP_BUCKETS * sizeof *digests);
  for (size_t i = 0; i < sizeof bytes; i++)
    digests[i / 8] |= (uint64_t)bytes[i] << (8 * (i % 8));
  return STATUS_OK;
}

void
message_write_config_pull (msgpack_sbuffer *out,
                           const struct message_config_pull *pull)
{
  msgpack_packer packer = packer_for (out);
  msgpack_pack_array (&packer, 2);
  msgpack_pack_uint64 (&packer, pull->version);
  msgpack_pack_bin_with_body (&packer, pull->hash.bytes, CONTENT_HASH_SIZE);
}

enum status
message_read_config_pull (const uint8_t *body, size_t size,
                          struct message_config_pull *pull)
{
  msgpack_unpacked unpacked;
  const msgpack_object *fields;
  enum status status = open_body (&unpacked, body, size, 2, &fields);
  if (status != STATUS_OK)
    return status;
  if (!unpack_number (&fields[0], UINT64_MAX, &pull->version)
      || !unpack_bytes (&fields[1], pull->hash.bytes, CONTENT_HASH_SIZE))
    return fail_malformed (&unpacked, "config pull");
  msgpack_unpacked_destroy (&unpacked);
  return STATUS_OK;
}

void
message_write_config_records (msgpack_sbuffer *out,
                              const struct message_bytes *records,
                              size_t count)
{
  msgpack_packer packer = packer_for (out);
  msgpack_pack_array (&packer, 1);
  msgpack_pack_array (&packer, count);
  for (size_t i = 0; i < count; i++)
    msgpack_pack_bin_with_body (&packer, records[i].data, records[i].size);
}

enum status
message_read_config_records (const uint8_t *body, size_t size,
                             struct message_bytes *records, size_t *count)
{
  msgpack_unpacked unpacked;
  const msgpack_object *fields;
  enum status status = open_body (&unpacked, body, size, 1, &fields);
  if (status != STATUS_OK)
    return status;
  const msgpack_object *list = unpack_array (&fields[0], 0);
  if (list == NULL || fields[0].via.array.size > MESSAGE_RECORDS_MAX)
    return fail_malformed (&unpacked, "config records");
  *count = fields[0].via.array.size;
  for (size_t i = 0; i < *count; i++)
    if (!read_bytes (&list[i], &records[i]))
      return fail_malformed (&unpacked, "config records");
  msgpack_unpacked_destroy (&unpacked);
  return STATUS_OK;
}

void
message_write_config_snapshot (msgpack_sbuffer *out,
                               const struct message_config_snapshot *snapshot)
{
  msgpack_packer packer = packer_for (out);
  msgpack_pack_array (&packer, 3);
  msgpack_pack_uint64 (&packer, snapshot->version);
  msgpack_pack_bin_with_body (&packer, snapshot->hash.bytes,
                              CONTENT_HASH_SIZE);
  msgpack_pack_bin_with_body (&packer, snapshot->content.data,
                              snapshot->content.size);
}

enum status
message_read_config_snapshot (const uint8_t *body, size_t size,
                              struct message_config_snapshot *snapshot)
{
  msgpack_unpacked unpacked;
  const msgpack_object *fields;
  enum status status = open_body (&unpacked, body, size, 3, &fields);
  if (status != STATUS_OK)
    return status;
  if (!unpack_number (&fields[0], UINT64_MAX, &snapshot->version)
      || !unpack_bytes (&fields[1], snapshot->hash.bytes, CONTENT_HASH_SIZE)
      || !read_bytes (&fields[2], &snapshot->content))
    return fail_malformed (&unpacked, "config snapshot");
  msgpack_unpacked_destroy (&unpacked);
  return STATUS_OK;
}

void
message_write_broadcast (msgpack_sbuffer *out,
                         const struct broadcast_message *message)
{
  msgpack_packer packer = packer_for (out);
  msgpack_pack_array (&packer, message->zone_only ? 6 : 5);
  pack_id (&packer, &message->id);
  msgpack_pack_uint64 (&packer, message->lo);
  msgpack_pack_uint64 (&packer, message->hi);
  msgpack_pack_unsigned_int (&packer, message->kind);
  msgpack_pack_bin_with_body (&packer, message->body, message->size);
  if (message->zone_only)
    msgpack_pack_true (&packer);
}

static bool
parse_broadcast (const msgpack_object_array *array,
                 struct broadcast_message *message)
{
  const msgpack_object *fields = array->ptr;
  uint64_t kind;
  struct message_bytes body;
  if (!read_id (&fields[0], &message->id)
      || !unpack_number (&fields[1], UINT64_MAX, &message->lo)
      || !unpack_number (&fields[2], UINT64_MAX, &message->hi)
      || !unpack_number (&fields[3], UINT32_MAX, &kind)
      || !read_bytes (&fields[4], &body) || body.size > BROADCAST_BODY_MAX)
    return false;
  message->kind = (unsigned)kind;
  message->body = body.data;
  message->size = body.size;
  message->zone_only = array->size > 5
                       && fields[5].type == MSGPACK_OBJECT_BOOLEAN
                       && fields[5].via.boolean;
  return true;
}

enum status
message_read_broadcast (const uint8_t *body, size_t size,
                        struct broadcast_message *message)
{
  msgpack_unpacked unpacked;
  const msgpack_object *fields;
  enum status status = open_body (&unpacked, body, size, 5, &fields);
  if (status != STATUS_OK)
    return status;
  if (!parse_broadcast (&unpacked.data.via.array, message))
    return fail_malformed (&unpacked, "broadcast");
  msgpack_unpacked_destroy (&unpacked);
  return STATUS_OK;
}

void
message_write_broadcast_ack (msgpack_sbuffer *out,
                             const struct broadcast_id *id)
{
  msgpack_packer packer = packer_for (out);
  msgpack_pack_array (&packer, 1);
  pack_id (&packer, id);
}

enum status
message_read_broadcast_ack (const uint8_t *body, size_t size,
                            struct broadcast_id *id)
{
  msgpack_unpacked unpacked;
  const msgpack_object *fields;
  enum status status = open_body (&unpacked, body, size, 1, &fields);
  if (status != STATUS_OK)
    return status;
  if (!read_id (&fields[0], id))
    return fail_malformed (&unpacked, "broadcast acknowledgement");
  msgpack_unpacked_destroy (&unpacked);
  return STATUS_OK;
}
