/// Feeds arbitrary bytes to the codecs of segments and of claim messages. What
/// is accepted must encode again and give the same fields.
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
  for (unsigned type = 18; type <= 20; type++)
    {
      struct claim_message message, back;
      uint8_t bytes[CLAIM_MESSAGE_MAX];
      if (claim_message_decode (type, data, size, &message) != STATUS_OK)
        continue;
      size_t encoded = claim_message_encode (type, &message, bytes);
      CHECK (claim_message_decode (type, bytes, encoded, &back) == STATUS_OK);
      CHECK (back.seq == message.seq && back.partition == message.partition
             && back.record.kind == message.record.kind
             && back.record.nonce == message.record.nonce
             && back.record.body_size == message.record.body_size);
    }
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  check_messages (data, size);
  void *arena = talloc_new (NULL);
  struct claim_segment segment, back;
  uint8_t *bytes;
  size_t encoded;
  if (segment_decode (data, size, arena, &segment) == STATUS_OK)
    {
      CHECK (segment_encode (&segment, arena, &bytes, &encoded) == STATUS_OK);
      CHECK (segment_decode (bytes, encoded, arena, &back) == STATUS_OK);
      CHECK (back.count == segment.count && back.number == segment.number
             && back.chunk == segment.chunk);
      for (size_t i = 0; i < back.count; i++)
        {
          const struct claim_record *a = &segment.records[i];
          const struct claim_record *b = &back.records[i];
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
