/* Retries and hedges of one pool.

   Answers: a partial outage, in which every failed request is sent again.
   Without a budget each caller's retries multiply the load on what is left
   (three tries a request make three times the load just when a part is
   gone), and without jitter they come back in step.

   - RETRY_SHARE 0.1: each request earns a tenth of a retry, so attempts stay
     under 1.1 times the requests in the long run however much fails.
   - RETRY_BURST 10: what a quiet pool may spend at once, so that a single
     failure after idle minutes is still retried.
   - RETRY_FIRST_MS 25, RETRY_LAST_MS 2000: the first wait is some round trips
     between zones, the last what a caller still bears; doubled between.
   - RETRY_HEDGE_QUANTILE 0.95: a hedge at the 95th percentile adds at most a
     twentieth to the load and cuts the tail beyond it. RETRY_HEDGE_SAMPLES_MIN
     20 are the fewest that have a 95th percentile.

   Only idempotent requests are hedged: two runs of any other would be what
   the claims exist to prevent.  */

#ifndef POLICY_RETRY_H
#define POLICY_RETRY_H

#include "base/code.h"
#include "base/rng.h"

enum
{
  RETRY_BURST = 10,
  RETRY_FIRST_MS = 25,
  RETRY_LAST_MS = 2000,
  RETRY_HEDGE_SAMPLES_MIN = 20,
  RETRY_HEDGE_MIN_MS = 5
};

#define RETRY_SHARE 0.1
#define RETRY_HEDGE_QUANTILE 0.95
/* Returned instead of a delay when there is to be no hedge.  */
#define RETRY_NO_HEDGE UINT64_MAX

typedef struct retry retry_t;

/* A field left 0 takes the constant above.  */
typedef struct
{
  double share;
  uint32_t burst;
} retry_config_t;

/* CONFIG may be NULL; RNG is borrowed.  */
retry_t *retry_create (const retry_config_t *config, rng_t *rng);
void retry_destroy (retry_t *retry);

/* A request (not an attempt) came for the pool: it earns its share.  */
void retry_add_request (retry_t *retry);

/* Spend one retry or hedge.  Return VH_OK, or VH_E_RETRY_BUDGET with nothing
   spent.  */
vh_code_t retry_spend (retry_t *retry);

/* Return the wait before retry ATTEMPT (1 for the first), spread over half
   to the whole of its step.  */
uint64_t retry_backoff_ms (retry_t *retry, uint32_t attempt);

/* Take in the latency of a good answer.  */
void retry_record_latency (retry_t *retry, uint64_t latency_us);

/* Return after how many milliseconds a second attempt may be sent beside the
   first, or RETRY_NO_HEDGE.  The hedge itself is paid by retry_spend.  */
uint64_t retry_hedge_delay_ms (const retry_t *retry, bool idempotent);

/* Return the retries that could be spent now.  */
double retry_budget_left (const retry_t *retry);

#endif
