/// Exponential backoff with full jitter, and token buckets. They spread the
/// load of many processes that start or reconnect at the same time.
#ifndef HAWTHORNSEAM_COORDINATION_BACKOFF_H
#define HAWTHORNSEAM_COORDINATION_BACKOFF_H

#include "base/rng.h"

#include <stdbool.h>
#include <stdint.h>

#define BACKOFF_FIRST_MS 100
#define BACKOFF_MAX_MS 10000

/// @param failures  consecutive failures, at least 1
/// @return uniformly random delay of at most 100 ms, 200 ms, 400 ms ... 10 s,
///         milliseconds
uint32_t backoff_delay_ms (struct rng *rng, unsigned failures);

struct token_bucket
{
  uint32_t per_second;
  uint32_t capacity;
  uint64_t millitokens; ///< thousandths of a token
  uint64_t filled_ms;   ///< time of the last refill
};

/// Initializes a full bucket.
void token_bucket_init (struct token_bucket *bucket, uint32_t per_second,
                        uint32_t capacity, uint64_t now_ms);

/// @return true when a token was taken
bool token_bucket_take (struct token_bucket *bucket, uint64_t now_ms);

#endif
