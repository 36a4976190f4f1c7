#include "storage/breaker.h"

enum
{
  /* One or two lost packets are no outage; five in a row are.  */
  FAILURES_MAX = 5,
  /* The first pause is a little over a slow reply, the longest one is what
     a recovered store may go unnoticed for.  */
  OPEN_MIN_MS = 200,
  OPEN_MAX_MS = 5000,
  RETRY_SHARE = 10, /* One repeat in so many calls.  */
  BUDGET_MAX = 10
};

void
breaker_init (breaker_t *breaker)
{
  *breaker = (breaker_t){ .budget = BUDGET_MAX, .open_ms = OPEN_MIN_MS };
}

bool
breaker_allow (breaker_t *breaker, uint64_t now_ms)
{
  if (breaker->failures < FAILURES_MAX)
    return true;
  if (breaker->probing || now_ms < breaker->open_until_ms)
    return false;
  breaker->probing = true;
  return true;
}

static void
open_breaker (breaker_t *breaker, uint64_t now_ms, rng_t *rng)
{
  breaker->open_until_ms = now_ms + rng_jitter (rng, breaker->open_ms);
  breaker->open_ms *= 2;
  if (breaker->open_ms > OPEN_MAX_MS)
    breaker->open_ms = OPEN_MAX_MS;
}

void
breaker_result (breaker_t *breaker, bool ok, uint64_t now_ms, rng_t *rng)
{
  bool was_probe = breaker->probing;

  breaker->probing = false;
  if (ok)
    {
      breaker->failures = 0;
      breaker->open_ms = OPEN_MIN_MS;
      breaker->budget += 1.0 / RETRY_SHARE;
      if (breaker->budget > BUDGET_MAX)
        breaker->budget = BUDGET_MAX;
      return;
    }
  /* Calls that were out when the breaker opened fail one after the other;
     they must not push the next probe further away.  */
  if (breaker->failures >= FAILURES_MAX && !was_probe)
    return;
  breaker->failures++;
  if (breaker->failures >= FAILURES_MAX)
    open_breaker (breaker, now_ms, rng);
}

bool
breaker_retry (breaker_t *breaker)
{
  if (breaker->budget < 1)
    return false;
  breaker->budget -= 1;
  return true;
}
