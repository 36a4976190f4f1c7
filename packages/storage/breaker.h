/* Retry budget and circuit breaker of one service.

   Answers: a service that was down for minutes and comes back to thousands
   of clients.  Without it each call is repeated while the service is down,
   so that its load at the moment of return is a multiple of the usual one
   and it goes down again.  At most one call in RETRY_SHARE is a repeat; after
   FAILURES_MAX failures in a row nothing is sent but one probe an interval,
   which doubles up to OPEN_MAX_MS and is jittered.  */

#ifndef PLATFORM_BREAKER_H
#define PLATFORM_BREAKER_H

#include "base/rng.h"

#include <stdbool.h>

typedef struct
{
  double budget; /* Repeats allowed now.  */
  int failures;  /* In a row.  */
  uint64_t open_until_ms;
  uint64_t open_ms;
  bool probing; /* The one call of a half-open breaker is out.  */
} breaker_t;

void breaker_init (breaker_t *breaker);
/* Tell whether a call may be sent at NOW_MS; a call that may must be followed
   by breaker_result.  */
bool breaker_allow (breaker_t *breaker, uint64_t now_ms);
void breaker_result (breaker_t *breaker, bool ok, uint64_t now_ms, rng_t *rng);
/* Take one repeat out of the budget; false when it is spent.  */
bool breaker_retry (breaker_t *breaker);

#endif
