/* Seeded pseudorandom numbers (splitmix64, G. Steele et al., OOPSLA 2014).
   The same seed gives the same sequence.  Not for cryptography.  */

#ifndef BASE_RNG_H
#define BASE_RNG_H

#include <stdint.h>

typedef struct
{
  uint64_t state;
} rng_t;

static inline rng_t
rng_make (uint64_t seed)
{
  return (rng_t){ seed };
}

static inline uint64_t
rng_u64 (rng_t *rng)
{
  uint64_t z = (rng->state += 0x9e3779b97f4a7c15u);

  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
  return z ^ (z >> 31);
}

/* Return a number uniform in [0, 1).  */
static inline double
rng_double (rng_t *rng)
{
  return (double)(rng_u64 (rng) >> 11) * 0x1.0p-53;
}

/* Return a number uniform in [0, BOUND); BOUND must not be 0.  The bias is
   below BOUND / 2^64, which is negligible for random choices.  */
static inline uint64_t
rng_below (rng_t *rng, uint64_t bound)
{
  return (uint64_t)(((__uint128_t)rng_u64 (rng) * bound) >> 64);
}

/* Return a delay uniform in [DELAY_MS / 2, DELAY_MS], so that clients which
   failed at the same time do not retry at the same time.  */
static inline uint64_t
rng_jitter (rng_t *rng, uint64_t delay_ms)
{
  return delay_ms / 2 + rng_below (rng, delay_ms / 2 + 1);
}

#endif
