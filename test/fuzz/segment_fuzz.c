/// Decodes arbitrary bytes as segments of the claim log and as claim messages.
/// What decodes must have the same fields when it is encoded and decoded
/// again.
#include "protocol/claim_message.h"
#include "protocol/segment.h"

#include <string.h>
#include <talloc.h>

#define CHECK(condition)                                                      \
  do                                                                          \
    if (!(condition))                                                         \
      __builtin_trap ();                                                      \
  while (0)

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
check_messages (const uint8_t *data, size_t size)
{
  for (unsigned type = CLAIM_MESSAGE_CLAIM; type <= CLAIM_MESSAGE_OUTCOME;
       type++)
    {
      struct claim_message message, again;
      uint8_t bytes[CLAIM_MESSAGE_MAX];
      if (claim_message_decode (type, data, size, &message) != STATUS_OK)
        continue;
      size_t encoded = claim_message_encode (type, &message, bytes);
      CHECK (claim_message_decode (type, bytes, encoded, &again) == STATUS_OK);
      CHECK (again.seq == message.seq && again.partition == message.partition
             && again.record.kind == message.record.kind
             && again.record.nonce == message.record.nonce
             && again.record.body_size == message.record.body_size);
    }
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  check_messages (data, size);
  void *arena = talloc_new (NULL);
  struct claim_segment segment, again;
  uint8_t *bytes;
  size_t encoded;
  if (segment_decode (data, size, arena, &segment) == STATUS_OK)
    {
      CHECK (segment_encode (&segment, arena, &bytes, &encoded) == STATUS_OK);
      CHECK (segment_decode (bytes, encoded, arena, &again) == STATUS_OK);
      CHECK (again.count == segment.count && again.number == segment.number
             && again.chunk == segment.chunk);
      for (size_t i = 0; i < again.count; i++)
        {
          const struct claim_record *a = &segment.records[i];
          const struct claim_record *b = &again.records[i];
          CHECK (a->kind == b->kind && a->nonce == b->nonce
                 && hash_equal (&a->key, &b->key)
                 && a->body_size == b->body_size);
          CHECK (a->body_size <= CLAIM_BODY_MAX);
          CHECK (a->body_size == 0
                 || memcmp (a->body, b->body, a->body_size) == 0);
        }
    }
  talloc_free (arena);
  return 0;
}
