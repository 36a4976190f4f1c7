/* Retry budget, backoff and hedging for the requests to one pool.

   Load pattern: a partial outage, in which every failed request is retried.
   Without a budget the retries multiply the load on the remaining upstreams
   (three tries per request make three times the load just when some upstreams
   are down), and without jitter the retries of all callers arrive at the same
   moment.

   Reasons for the constants:

   - RETRY_BUDGET_SHARE 0.1: each request adds a tenth of a retry to the
     budget, so in the long run there are at most 1.1 attempts per request,
     whatever fails.
   - RETRY_BURST 10: retries that an idle pool may spend at once, so that a
     single failure after idle minutes is still retried.
   - RETRY_BACKOFF_MIN_MS 25, RETRY_BACKOFF_MAX_MS 2000: the first delay is a
     few round trips between availability zones, the last one the longest that
     a caller accepts.  The delay doubles in between.
   - RETRY_HEDGE_QUANTILE 0.95: a hedge at the 95th percentile of the latency
     adds at most a twentieth to the load and cuts the tail beyond the
     percentile.  RETRY_HEDGE_SAMPLES_MIN 20 is the smallest number of samples
     that has a 95th percentile.

   Only idempotent requests are hedged: a hedge of another request would
   execute the request twice, which the entry processes prevent by a claim on
   the request in the store (control/claims.h).  */

#ifndef POLICY_RETRY_H
#define POLICY_RETRY_H

#include "base/code.h"
#include "base/rng.h"

enum
{
  RETRY_BURST = 10,
  RETRY_BACKOFF_MIN_MS = 25,
  RETRY_BACKOFF_MAX_MS = 2000,
  RETRY_HEDGE_SAMPLES_MIN = 20,
  RETRY_HEDGE_MIN_MS = 5
};

#define RETRY_BUDGET_SHARE 0.1
#define RETRY_HEDGE_QUANTILE 0.95
/* Hedge delay of a request that must not be hedged.  */
#define RETRY_NO_HEDGE UINT64_MAX

typedef struct retry retry_t;

/* Settings of a retry budget.  SHARE 0 selects RETRY_BUDGET_SHARE, and BURST 0
   selects RETRY_BURST.  */
typedef struct
{
  double share;   /* Retries added to the budget per request.  */
  uint32_t burst; /* Largest budget, in retries.  */
} retry_config_t;

/* Return a new retry policy with a full budget, owned by the caller.  CONFIG
   may be NULL for the defaults.  RNG is borrowed and must outlive the
   result.  */
retry_t *retry_create (const retry_config_t *config, rng_t *rng);
void retry_destroy (retry_t *retry);

/* Add the share of a new request to the budget.  Call it once per request, not
   per attempt.  */
void retry_add_request (retry_t *retry);

/* Spend the budget of one retry or hedge.  Return VH_OK, or VH_E_RETRY_BUDGET
   with nothing spent when less than one retry is left.  */
vh_code_t retry_spend (retry_t *retry);

/* Return the delay before retry number ATTEMPT (1 is the first), drawn from
   the upper half of its exponential backoff.  */
uint64_t retry_backoff_ms (retry_t *retry, uint32_t attempt);

/* Record the latency of a successful response.  */
void retry_record_latency (retry_t *retry, uint64_t latency_us);

/* Return the delay after which a hedge may be sent beside the first attempt,
   or RETRY_NO_HEDGE.  The caller pays for the hedge with retry_spend.  */
uint64_t retry_hedge_delay_ms (const retry_t *retry, bool idempotent);

/* Return the retries left in the budget.  */
double retry_budget_left (const retry_t *retry);

#endif
