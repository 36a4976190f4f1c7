/* Ejection of upstreams that fail or slow against their pool.

   Answers: one upstream in a pool that answers errors at once, or takes
   several times as long as its peers.  Without it the one that fails fast
   always looks idle, so that choice by load sends it most of the traffic.

   A member is compared with its pool, never with a fixed figure: when all
   fail alike (a bad request, a store outage) nobody is ejected.

   - OUTLIER_CONSECUTIVE_ERRORS 5: five failures in a row at once, without
   waiting for a judgement; at a true error rate of a tenth that is one in
   100,000.
   - OUTLIER_ERROR_RATE_MARGIN 0.3 above the pool's median error share, over at
   least OUTLIER_SAMPLES_MIN 10.
   - OUTLIER_LATENCY_FACTOR 3 times the pool's median latency for a unit of
   cost: load alone costs a part of that (see limit).
   - OUTLIER_EJECTED_SHARE_MAX 0.3: the rest must carry the load, and at 10/7
   of their share they still can; a pool of two or three may lose one.
   - OUTLIER_EJECTION_FIRST_MS 5000, doubled for each further ejection up to
     OUTLIER_EJECTION_MAX_MS: a restart takes seconds, a broken machine
   minutes.  A member that stays in for OUTLIER_EJECTION_RESET_MS starts
   afresh.
   - OUTLIER_TRIAL_SUCCESSES 5: a member returns on trial; one failure ejects
   it again, five good answers end the trial.  */

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
  OUTLIER_TRIAL
} outlier_state_t;

/* Make the watch over one pool.  SHARE is the greatest part of it that may be
   out at once; 0 takes OUTLIER_EJECTED_SHARE_MAX.  CLOCK is borrowed.  */
outlier_t *outlier_create (double share, clock_iface_t *clock);
/* Release OUTLIER and all its members.  */
void outlier_destroy (outlier_t *outlier);

/* Add a member; OWNER comes back from outlier_next_change and is not touched.
 */
outlier_member_t *outlier_add_member (outlier_t *outlier, void *owner);
/* Remove and release MEMBER.  */
void outlier_remove_member (outlier_t *outlier, outlier_member_t *member);

/* Take in one answer of MEMBER: whether the upstream did its part, and in
   what time for UNITS of cost.  LATENCY_US 0 says nothing of its speed: for
   an upstream that limit_is_warming_up names, which is slow, held by its
   limit, and would be ejected just when it is warm.  */
void outlier_record (outlier_t *outlier, outlier_member_t *member, bool ok,
                     uint64_t latency_us, uint32_t units);

/* Judge what is due, and step through the members whose state has changed
   since they were last returned: give the owner and its new state in *STATE,
   or return NULL when there is no more.  Call after outlier_record and at
   least every OUTLIER_EVALUATION_INTERVAL_MS.  */
void *outlier_next_change (outlier_t *outlier, outlier_state_t *state);

outlier_state_t outlier_state (const outlier_member_t *member);
/* Return how many members are ejected now.  */
uint32_t outlier_ejected_count (const outlier_t *outlier);

#endif
