/* The planned stop of a process.

   Answers: an operator or the platform stops a process under traffic.  Without
   it the balancer in front sends on for a while to a port that is closed, and
   what is in hand is cut off.

   States: serving; announced, when it says everywhere that it will go but
   still takes what comes; draining, when it takes nothing new and finishes
   what is in hand; done.  A second signal changes nothing: impatience must
   not cut a request.  A bound ends it all the same.

   - DRAIN_GRACE_MS 5000: a balancer's health check every second or two, three
     misses to notice.
   - DRAIN_TIMEOUT_MS 600000: drafts take minutes; none seen took ten.  */

#ifndef POLICY_DRAIN_H
#define POLICY_DRAIN_H

#include "base/clock.h"

#include <stdbool.h>

enum
{
  DRAIN_GRACE_MS = 5000,
  DRAIN_TIMEOUT_MS = 600000
};

typedef struct drain drain_t;

typedef enum
{
  DRAIN_SERVING,
  DRAIN_ANNOUNCED,
  DRAIN_DRAINING,
  DRAIN_DONE
} drain_state_t;

/* A time given as 0 takes the constant above; the bound counts from the
   signal.  CLOCK is borrowed.  */
drain_t *drain_create (uint32_t grace_ms, uint32_t bound_ms,
                       clock_iface_t *clock);
void drain_destroy (drain_t *drain);

/* The signal to stop came.  Return whether it was the first; any other
   changes nothing.  */
bool drain_start (drain_t *drain);

/* Move on, with IN_HAND requests (and bills and answers not handed over)
   left; return the state.  */
drain_state_t drain_update (drain_t *drain, uint32_t in_hand);

/* Whether new work is taken, and whether the health page still says well.  */
bool drain_accepts_requests (const drain_t *drain);
bool drain_is_healthy (const drain_t *drain);

/* Return in how many milliseconds the state may next change by time alone;
   UINT64_MAX for never.  */
uint64_t drain_ms_to_next_state (const drain_t *drain);

/* Return how many requests the bound cut off; 0 when the stop was clean.  */
uint32_t drain_unfinished_at_timeout (const drain_t *drain);

#endif
