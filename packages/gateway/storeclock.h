/* Converts times of the store's clock to this process's clock.

   Load pattern: an outage of the store, in which each gateway accepts clients'
   keys only while its last confirmation is recent enough.  The reply to a
   watch call may be sent a second after the call.  Using the time of the call
   as the time of the confirmation is safe, but overestimates the age of the
   confirmation by the whole wait, so that clients are refused earlier by the
   same time (2.5 s of 4.5 s when one gateway reads the store for others).

   Each reply contains the time N of the store's steady clock.  If the call was
   sent at local time S, the store created the reply no earlier than S, so the
   store's clock is ahead of the local clock by at most N - S.  The smallest of
   these differences gives the latest local time that is certainly no later
   than a given time of the store.  The bound is widened by STORE_CLOCK_DRIFT
   over time, because two steady clocks drift apart.  */

#ifndef GATEWAY_STORECLOCK_H
#define GATEWAY_STORECLOCK_H

#include <stdbool.h>
#include <stdint.h>

/* Twice the largest difference in rate between two quartz clocks.  */
#define STORE_CLOCK_DRIFT 0.0005

typedef struct
{
  bool is_known;       /* Whether a sample was added.  */
  int64_t ahead_ms;    /* Upper bound on store clock minus local clock.  */
  uint64_t sampled_ms; /* Local time at which the reply that gave AHEAD_MS
                          arrived.  */
} store_clock_t;

/* Add the clock value STORE_MS from a reply of the store itself.  The call was
   sent at local time SENT_MS, and the reply arrived at local time RECEIVED_MS.
   If the sample shows that the store's clock jumped, the bound is computed
   from this sample alone.  */
void store_clock_add_sample (store_clock_t *clock, uint64_t store_ms,
                             uint64_t sent_ms, uint64_t received_ms);
/* Return the latest local time that is certainly no later than STORE_MS of the
   store's clock; 0 if there is no sample.  NOW_MS is the local time now.  */
uint64_t store_clock_to_local (const store_clock_t *clock, uint64_t store_ms,
                               uint64_t now_ms);

#endif
