#include "policy/retry.h"

#include "base/mem.h"
#include "base/metric.h"

#include <stdlib.h>

enum
{
  /* Number of samples at which the counts of the histogram are halved, so that
     the quantiles follow the last few thousand responses.  */
  HISTOGRAM_HALVING_SAMPLES = 4096
};

struct retry
{
  rng_t *rng;
  double share;        /* Retries added to the budget per request.  */
  double burst;        /* Largest budget, in retries.  */
  double tokens;       /* Retries left in the budget.  */
  histogram_t latency; /* Latency of successful responses, in us.  */
};

retry_t *
retry_create (const retry_config_t *config, rng_t *rng)
{
  retry_t *retry = mem_zalloc (sizeof *retry);

  retry->rng = rng;
  retry->share = RETRY_SHARE;
  retry->burst = RETRY_BURST;
  if (config != NULL && config->share > 0)
    retry->share = config->share;
  if (config != NULL && config->burst > 0)
    retry->burst = config->burst;
  retry->tokens = retry->burst;
  return retry;
}

void
retry_destroy (retry_t *retry)
{
  free (retry);
}

void
retry_add_request (retry_t *retry)
{
  retry->tokens += retry->share;
  if (retry->tokens > retry->burst)
    retry->tokens = retry->burst;
}

vh_code_t
retry_spend (retry_t *retry)
{
  if (retry->tokens < 1)
    return VH_E_RETRY_BUDGET;
  retry->tokens -= 1;
  return VH_OK;
}

uint64_t
retry_backoff_ms (retry_t *retry, uint32_t attempt)
{
  uint64_t backoff_ms = RETRY_BACKOFF_MIN_MS;

  for (; attempt > 1 && backoff_ms < RETRY_BACKOFF_MAX_MS; attempt--)
    backoff_ms *= 2;
  return rng_jitter (retry->rng, backoff_ms < RETRY_BACKOFF_MAX_MS
                                     ? backoff_ms
                                     : RETRY_BACKOFF_MAX_MS);
}

void
retry_record_latency (retry_t *retry, uint64_t latency_us)
{
  histogram_record (&retry->latency, latency_us);
  if (retry->latency.count < HISTOGRAM_HALVING_SAMPLES)
    return;
  retry->latency.count = 0;
  retry->latency.sum_us /= 2;
  for (size_t i = 0; i < HISTOGRAM_BUCKET_COUNT; i++)
    {
      retry->latency.buckets[i] /= 2;
      retry->latency.count += retry->latency.buckets[i];
    }
}

uint64_t
retry_hedge_delay_ms (const retry_t *retry, bool idempotent)
{
  uint64_t delay_ms;

  if (!idempotent || retry->tokens < 1
      || retry->latency.count < RETRY_HEDGE_SAMPLES_MIN)
    return RETRY_NO_HEDGE;
  delay_ms = histogram_quantile (&retry->latency, RETRY_HEDGE_QUANTILE) / 1000;
  return delay_ms > RETRY_HEDGE_MIN_MS ? delay_ms : RETRY_HEDGE_MIN_MS;
}

double
retry_budget_left (const retry_t *retry)
{
  return retry->tokens;
}
