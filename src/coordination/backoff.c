/// Stateless; the caller keeps the buckets.
#include "coordination/backoff.h"

#include <assert.h>

uint32_t
backoff_delay_ms (struct rng *rng, unsigned failures)
{
  assert (failures >= 1);
  uint32_t bound = BACKOFF_FIRST_MS;
  while (--failures > 0 && bound < BACKOFF_MAX_MS)
    bound *= 2;
  if (bound > BACKOFF_MAX_MS)
    bound = BACKOFF_MAX_MS;
  return (uint32_t)rng_below (rng, (uint64_t)bound + 1);
}

void
token_bucket_init (struct token_bucket *bucket, uint32_t per_second,
                   uint32_t capacity, uint64_t now_ms)
{
  *bucket = (struct token_bucket){ .per_second = per_second,
                                   .capacity = capacity,
                                   .millitokens = (uint64_t)capacity * 1000,
                                   .filled_ms = now_ms };
}

bool
token_bucket_take (struct token_bucket *bucket, uint64_t now_ms)
{
  assert (now_ms >= bucket->filled_ms);
  uint64_t full = (uint64_t)bucket->capacity * 1000;
  uint64_t added = (now_ms - bucket->filled_ms) * bucket->per_second;
  bucket->filled_ms = now_ms;
  bucket->millitokens += added;
  if (bucket->millitokens > full)
    bucket->millitokens = full;
  if (bucket->millitokens < 1000)
    return false;
  bucket->millitokens -= 1000;
  return true;
}
