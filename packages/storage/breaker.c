#include "storage/breaker.h"

enum
{
  /* One or two lost packets are not an outage; five failures in a row are.  */
  FAILURES_TO_OPEN = 5,
  /* The minimum is a little longer than a slow reply takes.  The maximum is
     the time for which a recovered service may go undetected.  */
  OPEN_INTERVAL_MIN_MS = 200,
  OPEN_INTERVAL_MAX_MS = 5000,
  CALLS_PER_RETRY = 10, /* Successful calls that earn one retry.  */
  RETRY_BUDGET_MAX = 10
};

void
breaker_init (breaker_t *breaker)
{
  *breaker = (breaker_t){ .retry_budget_left = RETRY_BUDGET_MAX,
                          .open_interval_ms = OPEN_INTERVAL_MIN_MS };
}

bool
breaker_allow_call (breaker_t *breaker, uint64_t now_ms)
{
  if (breaker->consecutive_failures < FAILURES_TO_OPEN)
    return true;
  if (breaker->is_probing || now_ms < breaker->open_until_ms)
    return false;
  breaker->is_probing = true;
  return true;
}

static void
open_breaker (breaker_t *breaker, uint64_t now_ms, rng_t *rng)
{
  breaker->open_until_ms
      = now_ms + rng_jitter (rng, breaker->open_interval_ms);
  breaker->open_interval_ms *= 2;
  if (breaker->open_interval_ms > OPEN_INTERVAL_MAX_MS)
    breaker->open_interval_ms = OPEN_INTERVAL_MAX_MS;
}

void
breaker_record_result (breaker_t *breaker, bool ok, uint64_t now_ms,
                       rng_t *rng)
{
  bool was_probe = breaker->is_probing;

  breaker->is_probing = false;
  if (ok)
    {
      breaker->consecutive_failures = 0;
      breaker->open_interval_ms = OPEN_INTERVAL_MIN_MS;
      breaker->retry_budget_left += 1.0 / CALLS_PER_RETRY;
      if (breaker->retry_budget_left > RETRY_BUDGET_MAX)
        breaker->retry_budget_left = RETRY_BUDGET_MAX;
      return;
    }
  /* Calls that were in flight when the breaker opened may fail after that;
     these failures must not delay the next probe.  */
  if (breaker->consecutive_failures >= FAILURES_TO_OPEN && !was_probe)
    return;
  breaker->consecutive_failures++;
  if (breaker->consecutive_failures >= FAILURES_TO_OPEN)
    open_breaker (breaker, now_ms, rng);
}

bool
breaker_take_retry (breaker_t *breaker)
{
  if (breaker->retry_budget_left < 1)
    return false;
  breaker->retry_budget_left -= 1;
  return true;
}
