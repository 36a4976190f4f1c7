/* Outlier detection: ejection of upstreams that fail, or are slow, compared
   with the other upstreams of their pool.

   Load pattern: one upstream of a pool responds with errors immediately, or
   takes several times as long as its peers.  Without ejection the one that
   fails fast always has the fewest requests in flight, so selection by load
   sends it most of the traffic.

   A member is compared with the pool's median, never with a fixed threshold:
   when all members fail alike (an invalid request that many clients send, a
   store outage) none is ejected.

   - OUTLIER_CONSECUTIVE_ERRORS 5: five consecutive failures are evaluated
     immediately, without waiting for OUTLIER_EVALUATION_INTERVAL_MS; at an
     error rate of a tenth they occur by chance once in 100,000.
   - OUTLIER_ERROR_RATE_MARGIN 0.3: a member is ejected if its error rate
     exceeds the pool's median by more than this margin, over at least
     OUTLIER_SAMPLES_MIN 10 responses.
   - OUTLIER_LATENCY_FACTOR 3: a member is ejected above 3 times the pool's
     median latency per unit of cost; high load alone adds only a part of that
     (see limit).
   - OUTLIER_EJECTED_SHARE_MAX 0.3: at most this share of a pool is ejected, so
     that the rest can carry the load, at 10/7 of their own share.  One member
     of a pool of two or three may be ejected.
   - OUTLIER_EJECTION_FIRST_MS 5000: the length of the first ejection, doubled
     for each further one up to OUTLIER_EJECTION_MAX_MS, because a restart
     takes seconds and the failure of a machine minutes.  The length is reset
     once a member has not been ejected for OUTLIER_EJECTION_RESET_MS.
   - OUTLIER_TRIAL_SUCCESSES 5: after an ejection a member is on trial; one
     failure ejects it again, five successful responses end the trial.  */

#ifndef POLICY_OUTLIER_H
#define POLICY_OUTLIER_H

#include "base/clock.h"

#include <stdbool.h>

enum
{
  OUTLIER_CONSECUTIVE_ERRORS = 5,
  OUTLIER_SAMPLES_MIN = 10,
  OUTLIER_EJECTION_FIRST_MS = 5000,
  OUTLIER_EJECTION_MAX_MS = 300000,
  OUTLIER_EJECTION_RESET_MS = 60000,
  OUTLIER_TRIAL_SUCCESSES = 5,
  OUTLIER_EVALUATION_INTERVAL_MS = 500
};

#define OUTLIER_ERROR_RATE_MARGIN 0.3
#define OUTLIER_LATENCY_FACTOR 3.0
#define OUTLIER_EJECTED_SHARE_MAX 0.3

typedef struct outlier outlier_t;
typedef struct outlier_member outlier_member_t;

typedef enum
{
  OUTLIER_ACTIVE,
  OUTLIER_EJECTED,
  OUTLIER_ON_TRIAL
} outlier_state_t;

/* Create the outlier detector of one pool.  MAX_EJECTED_SHARE is the largest
   share of the members that may be ejected at the same time; 0 selects
   OUTLIER_EJECTED_SHARE_MAX.  CLOCK is borrowed.  */
outlier_t *outlier_create (double max_ejected_share, clock_iface_t *clock);
/* Free OUTLIER and all its members.  */
void outlier_destroy (outlier_t *outlier);

/* Add a member.  OWNER is returned by outlier_next_change and never
   dereferenced.  */
outlier_member_t *outlier_add_member (outlier_t *outlier, void *owner);
/* Remove MEMBER from OUTLIER and free it.  */
void outlier_remove_member (outlier_t *outlier, outlier_member_t *member);

/* Record one response of MEMBER: OK is false if the upstream failed, UNITS is
   the cost of the request.  Pass LATENCY_US 0 to leave the latency out, as for
   an upstream for which limit_is_warming_up returns true: its concurrency
   limit makes it slow, and it would be ejected just when it is warm.  */
void outlier_record (outlier_t *outlier, outlier_member_t *member, bool ok,
                     uint64_t latency_us, uint32_t units);

/* Evaluate the members if an evaluation is due, then return the owner of a
   member whose state has changed since it was last returned, and store the new
   state in *STATE.  Return NULL if there is no other.  Call this in a loop
   after outlier_record, and at least every OUTLIER_EVALUATION_INTERVAL_MS.  */
void *outlier_next_change (outlier_t *outlier, outlier_state_t *state);

outlier_state_t outlier_state (const outlier_member_t *member);
/* Return the number of currently ejected members.  */
uint32_t outlier_ejected_count (const outlier_t *outlier);

#endif
