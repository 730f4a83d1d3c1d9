/// Generates a ChaCha20 stream in blocks.
#include "base/rng.h"

#include <assert.h>
#include <sodium.h>
#include <string.h>

/// Generates the next block; its first 32 bytes become the seed of the one
/// after.
static void
refill (struct rng *rng)
{
  randombytes_buf_deterministic (rng->block, sizeof rng->block, rng->seed);
  memcpy (rng->seed, rng->block, sizeof rng->seed);
  rng->used = sizeof rng->seed;
}

void
rng_init (struct rng *rng, uint64_t seed)
{
  memset (rng, 0, sizeof *rng);
  memcpy (rng->seed, &seed, sizeof seed);
  refill (rng);
}

void
rng_init_system (struct rng *rng)
{
  memset (rng, 0, sizeof *rng);
  randombytes_buf (rng->seed, sizeof rng->seed);
  refill (rng);
}

uint64_t
rng_u64 (struct rng *rng)
{
  uint64_t value;
  if (rng->used + sizeof value > sizeof rng->block)
    refill (rng);
  memcpy (&value, rng->block + rng->used, sizeof value);
  rng->used += sizeof value;
  return value;
}

uint64_t
rng_below (struct rng *rng, uint64_t bound)
{
  assert (bound >= 1);
  return (uint64_t)(((unsigned __int128)rng_u64 (rng) * bound) >> 64);
}

double
rng_unit (struct rng *rng)
{
  return (double)(rng_u64 (rng) >> 11) * 0x1.0p-53;
}
