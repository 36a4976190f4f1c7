/* Converts times of the store's clock to this process's clock.

   Answers: an outage of the store, in which each gateway accepts clients' keys
   only while its last confirmation is recent enough.  A watch call may be
   answered a second after it was sent.  Dating the confirmation at the time of
   sending is safe, but makes it look older than it is by the whole wait, so
   that clients are refused that much sooner (2.5 s of 4.5 s when one gateway
   reads the store for others).

   The store sends its steady clock with each answer.  If a call was sent at S
   by the local clock and the store's answer carries N, the store made the
   answer no earlier than S, so the store's clock is ahead by at most N - S.
   The smallest of these differences gives the latest local time that is
   certainly no later than a given time of the store.  The bound is widened by
   STORE_CLOCK_DRIFT over time, because two steady clocks drift apart.  */

#ifndef GATEWAY_STORECLOCK_H
#define GATEWAY_STORECLOCK_H

#include <stdbool.h>
#include <stdint.h>

/* Twice the largest difference in rate between two quartz clocks.  */
#define STORE_CLOCK_DRIFT 0.0005

typedef struct
{
  bool is_known;       /* Whether there is a sample.  */
  int64_t ahead_ms;    /* Upper bound on store clock minus local clock.  */
  uint64_t sampled_ms; /* Local time of the sample behind AHEAD_MS.  */
} store_clock_t;

/* Add the clock value STORE_MS that the store itself sent in answer to a call.
   The call was sent at local time SENT_MS, and the answer arrived at local
   time RECEIVED_MS.  A jump of the store's clock drops earlier samples.  */
void store_clock_add_sample (store_clock_t *clock, uint64_t store_ms,
                             uint64_t sent_ms, uint64_t received_ms);
/* The latest local time that is no later than STORE_MS of the store's clock; 0
   if there is no sample.  NOW_MS is the local time now.  */
uint64_t store_clock_to_local (const store_clock_t *clock, uint64_t store_ms,
                               uint64_t now_ms);

#endif
