/* Retry budget and circuit breaker of one service.

   Load pattern: a service that was down for minutes recovers while thousands
   of clients send calls.  Without this module every client repeats its calls
   during the outage, so the load at the moment of recovery is a multiple of
   the usual load and the service fails again.  At most one call in
   CALLS_PER_RETRY is a retry.  After FAILURES_TO_OPEN failures in a row the
   breaker opens: only one probe call per interval is sent.  The interval
   doubles up to OPEN_INTERVAL_MAX_MS and is jittered.  */

#ifndef STORAGE_BREAKER_H
#define STORAGE_BREAKER_H

#include "base/rng.h"

#include <stdbool.h>

typedef struct
{
  double retry_budget_left; /* Number of retries allowed now.  */
  int consecutive_failures;
  uint64_t open_until_ms;    /* Time from which a probe may be sent.  */
  uint64_t open_interval_ms; /* Next interval, before jitter.  */
  bool is_probing; /* The result of an open breaker's probe is awaited.  */
} breaker_t;

void breaker_init (breaker_t *breaker);
/* Return whether a call may be sent at NOW_MS.  After true the caller must
   send the call and report its result with breaker_record_result.  */
bool breaker_allow_call (breaker_t *breaker, uint64_t now_ms);
/* Record whether a call succeeded (OK).  RNG jitters the next interval.  */
void breaker_record_result (breaker_t *breaker, bool ok, uint64_t now_ms,
                            rng_t *rng);
/* Take one retry out of the budget; return false if the budget is spent.  */
bool breaker_take_retry (breaker_t *breaker);

#endif
