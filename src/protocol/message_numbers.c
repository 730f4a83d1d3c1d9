/// Encodes and decodes the messages that consist of numbers only.
#include "protocol/message.h"

#include "state/unpack.h"

/// Most numbers in one body.
#define NUMBERS_MAX 4

static void
write_numbers (msgpack_sbuffer *out, size_t count, const uint64_t *numbers)
{
  msgpack_packer packer;
  msgpack_packer_init (&packer, out, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, count);
  for (size_t i = 0; i < count; i++)
    msgpack_pack_uint64 (&packer, numbers[i]);
}

/// Reads `known` numbers. Those after the first `required` ones are 0 when
/// they are missing, as in messages of an older release.
static enum status
read_numbers (const uint8_t *body, size_t size, size_t required, size_t known,
              uint64_t numbers[NUMBERS_MAX])
{
  msgpack_unpacked unpacked;
  enum status status = unpack_one (&unpacked, body, size);
  if (status != STATUS_OK)
    return status;
  const msgpack_object *fields = unpack_array (&unpacked.data, required);
  bool valid = fields != NULL;
  for (size_t i = 0; valid && i < known; i++)
    {
      numbers[i] = 0;
      if (i < unpacked.data.via.array.size)
        valid = unpack_number (&fields[i], UINT64_MAX, &numbers[i]);
    }
  msgpack_unpacked_destroy (&unpacked);
  if (!valid)
    return status_set (STATUS_CORRUPT, "malformed list of numbers");
  return STATUS_OK;
}

void
message_write_retry_after (msgpack_sbuffer *out,
                           const struct message_retry_after *retry)
{
  write_numbers (out, 2, (uint64_t[]){ retry->delay_ms, retry->type });
}

enum status
message_read_retry_after (const uint8_t *body, size_t size,
                          struct message_retry_after *retry)
{
  uint64_t numbers[NUMBERS_MAX];
  enum status status = read_numbers (body, size, 1, 2, numbers);
  if (status != STATUS_OK)
    return status;
  if (numbers[0] > MESSAGE_RETRY_DELAY_MAX_MS || numbers[1] >= 128)
    return status_set (STATUS_CORRUPT,
                       "retry delay or message type is above its limit");
  retry->delay_ms = (uint32_t)numbers[0];
  retry->type = (unsigned)numbers[1];
  return STATUS_OK;
}

void
message_write_floor (msgpack_sbuffer *out, const struct message_floor *floor)
{
  write_numbers (out, 2, (uint64_t[]){ floor->slot_id, floor->version });
}

enum status
message_read_floor (const uint8_t *body, size_t size,
                    struct message_floor *floor)
{
  uint64_t numbers[NUMBERS_MAX];
  enum status status = read_numbers (body, size, 2, 2, numbers);
  if (status == STATUS_OK)
    *floor = (struct message_floor){ .slot_id = numbers[0],
                                     .version = numbers[1] };
  return status;
}

void
message_write_floor_query (msgpack_sbuffer *out, uint64_t slot_id)
{
  write_numbers (out, 1, &slot_id);
}

enum status
message_read_floor_query (const uint8_t *body, size_t size, uint64_t *slot_id)
{
  uint64_t numbers[NUMBERS_MAX];
  enum status status = read_numbers (body, size, 1, 1, numbers);
  if (status == STATUS_OK)
    *slot_id = numbers[0];
  return status;
}

void
message_write_floor_reply (msgpack_sbuffer *out,
                           const struct message_floor_reply *reply)
{
  write_numbers (out, 4,
                 (uint64_t[]){ reply->slot_id, reply->floor, reply->version,
                               reply->ready ? 1 : 0 });
}

enum status
message_read_floor_reply (const uint8_t *body, size_t size,
                          struct message_floor_reply *reply)
{
  uint64_t numbers[NUMBERS_MAX];
  enum status status = read_numbers (body, size, 3, 4, numbers);
  if (status == STATUS_OK)
    *reply = (struct message_floor_reply){ .slot_id = numbers[0],
                                           .floor = numbers[1],
                                           .version = numbers[2],
                                           .ready = numbers[3] != 0 };
  return status;
}

void
message_write_head_query (msgpack_sbuffer *out, uint64_t seq)
{
  write_numbers (out, 1, &seq);
}

enum status
message_read_head_query (const uint8_t *body, size_t size, uint64_t *seq)
{
  return message_read_floor_query (body, size, seq);
}

void
message_write_head_reply (msgpack_sbuffer *out,
                          const struct message_head_reply *reply)
{
  write_numbers (
      out, 3,
      (uint64_t[]){ reply->seq, reply->version, reply->confirmed ? 1 : 0 });
}

enum status
message_read_head_reply (const uint8_t *body, size_t size,
                         struct message_head_reply *reply)
{
  uint64_t numbers[NUMBERS_MAX];
  enum status status = read_numbers (body, size, 2, 3, numbers);
  if (status == STATUS_OK)
    *reply = (struct message_head_reply){ .seq = numbers[0],
                                          .version = numbers[1],
                                          .confirmed = numbers[2] != 0 };
  return status;
}
