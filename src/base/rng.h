/// Random number generator. It is passed to modules as an argument, so that a
/// run can be repeated from its seed. The stream is ChaCha20 from libsodium.
#ifndef HAWTHORNSEAM_BASE_RNG_H
#define HAWTHORNSEAM_BASE_RNG_H

#include <stddef.h>
#include <stdint.h>

struct rng
{
  uint8_t seed[32];
  uint8_t block[512];
  size_t used; ///< bytes of `block` consumed, as output or as next seed
};

/// Starts the stream of a seed.
void rng_init (struct rng *rng, uint64_t seed);

/// Starts a stream seeded with the system's entropy.
void rng_init_system (struct rng *rng);

/// @return 64 uniform random bits
uint64_t rng_u64 (struct rng *rng);

/// @param bound  exclusive upper bound, at least 1
/// @return a uniform number in [0, bound)
uint64_t rng_below (struct rng *rng, uint64_t bound);

/// @return a uniform number in [0, 1)
double rng_unit (struct rng *rng);

#endif
