/// Wraps xxHash and libsodium. Holds no state.
#include "base/hash.h"

#include <sodium.h>
#include <string.h>
#include <xxhash.h>

uint64_t
hash_placement (const void *data, size_t size)
{
  return XXH3_64bits (data, size);
}

enum status
hash_placement_parts (const struct iovec *parts, size_t count, uint64_t *hash)
{
  XXH3_state_t *state = XXH3_createState ();
  if (state == NULL)
    return STATUS_NO_MEMORY;
  XXH3_64bits_reset (state);
  for (size_t i = 0; i < count; i++)
    XXH3_64bits_update (state, parts[i].iov_base, parts[i].iov_len);
  *hash = XXH3_64bits_digest (state);
  XXH3_freeState (state);
  return STATUS_OK;
}

uint64_t
hash_placement_string (const char *string)
{
  return XXH3_64bits (string, strlen (string));
}

uint64_t
hash_placement_pair (uint64_t first, uint64_t second)
{
  uint64_t pair[2] = { first, second };
  return XXH3_64bits (pair, sizeof pair);
}

void
hash_content (struct content_hash *hash, const void *data, size_t size)
{
  crypto_generichash (hash->bytes, sizeof hash->bytes, data, size, NULL, 0);
}

int
hash_equal (const struct content_hash *a, const struct content_hash *b)
{
  return memcmp (a->bytes, b->bytes, sizeof a->bytes) == 0;
}

void
hash_hex (const struct content_hash *hash,
          char text[2 * CONTENT_HASH_SIZE + 1])
{
  sodium_bin2hex (text, 2 * CONTENT_HASH_SIZE + 1, hash->bytes,
                  sizeof hash->bytes);
}
