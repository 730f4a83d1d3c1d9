/// Decodes arbitrary bytes as records and keys of the store. Nothing may leak,
/// read out of bounds or allocate beyond the limits; a head or version that
/// decodes must stay the same when it is encoded and decoded again.
#include "protocol/record.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

static void
require (int condition)
{
  if (!condition)
    abort ();
}

static void
check_head (void *arena, const uint8_t *data, size_t size)
{
  struct record_head head, again;
  uint8_t *bytes;
  size_t encoded;
  if (record_head_decode (&head, data, size) != STATUS_OK)
    return;
  require (record_head_encode (&head, arena, &bytes, &encoded) == STATUS_OK);
  require (record_head_decode (&again, bytes, encoded) == STATUS_OK);
  require (again.version == head.version
           && again.recent_count == head.recent_count);
}

static void
check_version (void *arena, const uint8_t *data, size_t size)
{
  struct config_record record, again;
  uint8_t *bytes;
  size_t encoded;
  size_t blocks = talloc_total_blocks (arena);
  if (record_version_decode (arena, data, size, &record) != STATUS_OK)
    {
      require (talloc_total_blocks (arena) == blocks);
      return;
    }
  require (record_version_encode (&record, arena, &bytes, &encoded)
           == STATUS_OK);
  require (record_version_decode (arena, bytes, encoded, &again) == STATUS_OK);
  require (again.nonce == record.nonce
           && strcmp (again.author, record.author) == 0
           && again.delta_size == record.delta_size);
}

static void
check_snapshot (void *arena, const uint8_t *data, size_t size)
{
  uint8_t *content;
  size_t content_size;
  struct record_parts parts = { .count = 1 };
  parts.bytes[0] = (uint8_t *)data;
  parts.sizes[0] = size;
  record_snapshot_part_count (data, size);
  record_snapshot_decode (1, &parts, arena, &content, &content_size);
  record_decompress (data, size, arena, &content, &content_size);
}

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  void *arena = talloc_new (NULL);
  uint64_t version, nonce;
  unsigned part;
  if (size == 0)
    {
      talloc_free (arena);
      return 0;
    }
  switch (data[0] % 4)
    {
    case 0:
      check_head (arena, data + 1, size - 1);
      break;
    case 1:
      check_version (arena, data + 1, size - 1);
      break;
    case 2:
      check_snapshot (arena, data + 1, size - 1);
      break;
    default:
      {
        char *key = talloc_strndup (arena, (const char *)data + 1, size - 1);
        record_version_key_parse (key, &version, &nonce);
        record_snapshot_key_parse (key, &version, &nonce, &part);
      }
    }
  talloc_free (arena);
  return 0;
}
