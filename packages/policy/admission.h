/* Admission control for the requests to one pool at one entry process.

   Load pattern: more demand than the fleet can serve, with one team sending
   most of it.  Without admission control every request is dispatched and most
   are refused by a sidecar, the team that sends most is served most, and the
   refused callers retry all at once.

   An entry process sees only its own part of the traffic, so it decides on its
   own observations of the fleet: the cost that the sidecars accept and refuse,
   and the load that they report.  As long as the sidecars refuse nothing, all
   requests are admitted.  Otherwise the process admits ADMISSION_PROBE_FACTOR
   times the accepted rate and divides that among the teams by weight: a team
   that asks for less than its share is admitted in full, and the remainder
   goes to the other teams (max-min fairness).  Of a team above its share,
   requests of low priority are refused first.

   Reasons for the constants:

   - ADMISSION_PROBE_FACTOR 1.1: a tenth above the accepted rate detects free
     capacity.  The admitted rate then grows by about a tenth per second, so
     that refused callers do not return all at once, and at most a tenth of the
     dispatched requests is wasted.
   - ADMISSION_OVERLOAD_REFUSED_SHARE 0.01: up to one refusal in a hundred
     comes from two unlucky random choices of an upstream; more means that the
     fleet is full.
   - ADMISSION_OVERLOAD_PRESSURE 2: at a mean load of twice the slots as many
     requests wait as run, and the queues are about to refuse requests that
     cannot meet their deadlines.
   - ADMISSION_TICK_MS 100, ADMISSION_RATE_SMOOTHING 0.1: the rates follow the
     last second, so that a burst is still detected as one.
   - ADMISSION_ADMITTED_SHARE_MIN 0.02: share of the demand that is always
     admitted.  With nothing dispatched, nothing can be accepted, and a fleet
     that accepted nothing for some seconds would never receive requests again.
   - ADMISSION_GROWTH_PER_TICK 1.07: growth of the capacity per tick, which
     doubles it within a second, while requests are refused here and the fleet
     shows no sign of being full.  The accepted rate alone would raise the
     capacity by only a tenth per second.
   - ADMISSION_RETRY_AFTER_MIN_S 1, ADMISSION_RETRY_AFTER_MAX_S 60: Retry-After
     is drawn uniformly from the time in which the team's share serves what was
     refused in the last seconds.  Callers give up when told to wait for longer
     than a minute.  */

#ifndef POLICY_ADMISSION_H
#define POLICY_ADMISSION_H

#include "base/clock.h"
#include "base/code.h"
#include "base/rng.h"
#include "policy/queue.h"

enum
{
  ADMISSION_TICK_MS = 100,
  ADMISSION_RETRY_AFTER_MIN_S = 1,
  ADMISSION_RETRY_AFTER_MAX_S = 60
};

#define ADMISSION_PROBE_FACTOR 1.1
#define ADMISSION_OVERLOAD_REFUSED_SHARE 0.01
#define ADMISSION_OVERLOAD_PRESSURE 2.0
#define ADMISSION_RATE_SMOOTHING 0.1
#define ADMISSION_ADMITTED_SHARE_MIN 0.02
#define ADMISSION_GROWTH_PER_TICK 1.07

typedef struct admission admission_t;

/* Return a new admission control, owned by the caller.  CLOCK and RNG are
   borrowed and must outlive the result.  */
admission_t *admission_create (clock_iface_t *clock, rng_t *rng);
/* Free ADMISSION, which may be NULL.  */
void admission_destroy (admission_t *admission);

/* Set the weight of team TEAM_NAME.  The default is 1, and 0 counts as 1.  */
void admission_set_weight (admission_t *admission, str_t team_name,
                           uint32_t weight);

/* Decide on a request of team TEAM_NAME with estimated COST.  Return VH_OK
   when the request is admitted, or VH_E_TEAM_SHARE when the team is above its
   share.  */
vh_code_t admission_decide (admission_t *admission, str_t team_name,
                            uint32_t cost, queue_priority_t priority);

/* Record that a sidecar accepted or refused a dispatched request of COST.
   ACCEPTED is false when the sidecar was full or could not meet the
   deadline.  */
void admission_record_result (admission_t *admission, uint32_t cost,
                              bool accepted);

/* Record PRESSURE, the reported load of the sidecars relative to their slots
   (balance_pressure).  */
void admission_set_pressure (admission_t *admission, double pressure);

/* Return the Retry-After value for a refused request of team TEAM_NAME, in
   seconds, drawn at random on each call.  */
uint32_t admission_retry_after_s (admission_t *admission, str_t team_name);

/* Return the share of the demand of team TEAM_NAME that is currently admitted,
   0 to 1.  */
double admission_admitted_share (admission_t *admission, str_t team_name);
/* Return whether the demand exceeds the capacity of the fleet.  */
bool admission_is_limiting (const admission_t *admission);

#endif
