/* When the store said something, by this process's own clock.

   Answers: an outage of the store, in which each entry lets callers' keys in
   for as long as its last confirmation is young enough.  A call that waits for
   news may be answered a second after it was sent.  To count its answer from
   the sending is safe and makes the confirmation look older than it is by the
   whole wait, so that callers are refused that much sooner (2.5 s of 4.5 with
   one entry reading for others).

   The store bears a steady clock in each answer.  Of a call that was sent at
   S, by our clock, and answered with N, by the store's, the answer was made no
   earlier than S; so the store's clock is ahead of ours by N - S at most.  The
   least of these differences tells the latest moment by our clock that is
   certainly no later than N.  It gives way by STORE_CLOCK_DRIFT, as two steady
   clocks do.  */

#ifndef GATEWAY_STORECLOCK_H
#define GATEWAY_STORECLOCK_H

#include <stdbool.h>
#include <stdint.h>

/* Twice what the worst quartz clocks differ by.  */
#define STORE_CLOCK_DRIFT 0.0005

typedef struct
{
  bool known;
  int64_t ahead_ms; /* The store's clock is ahead of ours by this at most. */
  uint64_t sampled_ms; /* When that was learned, by our clock.  */
} store_clock_t;

/* The store itself answered with its clock at STORE_MS to a call that was sent
   at SENT_MS; the answer came at GOT_MS.  A store's clock that jumped is
   learned anew.  */
void store_clock_add_sample (store_clock_t *clock, uint64_t store_ms,
                             uint64_t sent_ms, uint64_t got_ms);
/* The latest moment by our clock that is no later than the store's STORE_MS;
   0 when nothing is known.  NOW_MS is ours.  */
uint64_t store_clock_to_local (const store_clock_t *clock, uint64_t store_ms,
                               uint64_t now_ms);

#endif
