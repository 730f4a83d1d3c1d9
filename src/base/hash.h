/// Hash functions: XXH3 for placement, BLAKE2b-128 for content.
#ifndef HAWTHORNSEAM_BASE_HASH_H
#define HAWTHORNSEAM_BASE_HASH_H

#include "base/status.h"

#include <stddef.h>
#include <stdint.h>
#include <sys/uio.h>

#define CONTENT_HASH_SIZE 16

struct content_hash
{
  uint8_t bytes[CONTENT_HASH_SIZE];
};

/// @return 64-bit placement hash of a byte string; not collision-resistant
/// against an attacker
uint64_t hash_placement (const void *data, size_t size);

/// Computes the placement hash of a byte string that is stored in parts.
/// @return STATUS_OK or STATUS_NO_MEMORY
enum status hash_placement_parts (const struct iovec *parts, size_t count,
                                  uint64_t *hash);

/// @return placement hash of a zero-terminated string
uint64_t hash_placement_string (const char *string);

/// @return placement hash of two numbers, for rendezvous hashing scores
uint64_t hash_placement_pair (uint64_t first, uint64_t second);

/// Computes the content hash of a byte string.
void hash_content (struct content_hash *hash, const void *data, size_t size);

/// @return 1 if both hashes are equal, else 0
int hash_equal (const struct content_hash *a, const struct content_hash *b);

/// Writes a hash as 32 lower-case hexadecimal digits and a terminating zero.
void hash_hex (const struct content_hash *hash,
               char text[2 * CONTENT_HASH_SIZE + 1]);

#endif
