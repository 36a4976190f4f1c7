/* Graceful shutdown of a process.

   Load pattern: an operator or the platform stops a process that has traffic.
   Without a drain the load balancer in front keeps sending to a closed port
   for a while, and requests in flight are aborted.

   States: serving; announced, in which the process reports everywhere that it
   is stopping but still accepts requests; draining, in which it accepts none
   and completes those in flight; done.  Further signals have no effect, so
   that an operator who signals twice aborts no request.  A timeout ends the
   shutdown in any case.

   - DRAIN_ANNOUNCE_MS 5000: length of the announced state, in which requests
     are still accepted.  Load balancers probe the health of a process every
     second or two, and stop sending after three failed probes, so 5 s cover
     probes up to 1.6 s apart; with 2 s between probes, requests can still
     arrive for up to a second afterwards.
   - DRAIN_TIMEOUT_MS 600000: a request for a draft takes minutes, but none has
     taken ten.  */

#ifndef POLICY_DRAIN_H
#define POLICY_DRAIN_H

#include "base/stop_time.h"

#include <stdbool.h>

enum
{
  DRAIN_ANNOUNCE_MS = 5000,
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

/* ANNOUNCE_MS is the length of the announced state, from the earliest time at
   which the signal may have been sent, and TIMEOUT_MS the longest shutdown,
   from the delivery of the signal; 0 selects DRAIN_ANNOUNCE_MS or
   DRAIN_TIMEOUT_MS.  CLOCK is borrowed.  */
drain_t *drain_create (uint32_t announce_ms, uint32_t timeout_ms,
                       clock_iface_t *clock);
void drain_destroy (drain_t *drain);

/* Start the shutdown, on the first signal to stop, which was sent at TIME.
   Return false, with nothing changed, if it has already started.  */
bool drain_start (drain_t *drain, const stop_time_t *time);

/* Update and return the state.  UNFINISHED is the number of requests in
   flight, and of billing records and responses not yet delivered.  */
drain_state_t drain_update (drain_t *drain, uint32_t unfinished);

/* Return whether new requests are accepted.  */
bool drain_accepts_requests (const drain_t *drain);
/* Return whether health checks succeed: true only while serving.  */
bool drain_is_healthy (const drain_t *drain);

/* Return the time in ms until drain_update may change the state without any
   request finishing; UINT64_MAX if there is no such time.  */
uint64_t drain_ms_to_next_state (const drain_t *drain);

/* Return the number of unfinished requests, billing records and responses when
   the timeout ended the shutdown; 0 if all were finished.  */
uint32_t drain_unfinished_at_timeout (const drain_t *drain);

#endif
