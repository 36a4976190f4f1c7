/* Admission of requests to one pool at one entry, while the fleet is full.

   Answers: more demand than the fleet carries, and one team sending most of
   it.  Without it every request is dispatched, most of them to be refused by a
   sidecar, and whoever asks most often gets most; and callers told nothing
   come back all at once.

   An entry knows only its own part of the traffic, so it uses what it sees of
   the fleet: the cost its sidecars accept and refuse, and the load they
   report.  While none are refused all is admitted.  When some are, the entry
   admits ADMISSION_PROBE_FACTOR times what was accepted, and divides that
   between teams by weight: a team that asks for less than its share gets all
   it asks, and what it leaves goes to the others (max-min fairness).  Of a
   team over its share low priority is refused first.

   - ADMISSION_PROBE_FACTOR 1.1: a tenth above what was accepted finds room
   that opens, so that what is admitted grows by about a tenth a second and the
     refused do not all return at once; at most a tenth of the dispatches is
     wasted.
   - ADMISSION_OVERLOAD_REFUSED_SHARE 0.01: a refusal in a hundred is two
   choices being unlucky, more is a full fleet.
   - ADMISSION_OVERLOAD_PRESSURE 2: a mean load of twice the slots means as
   much waiting as running; the queues' own deadline refusals follow soon.
   - ADMISSION_TICK_MS 100, ADMISSION_RATE_SMOOTHING 0.1: rates follow the last
   second, the time in which a burst is still a burst.
   - ADMISSION_ADMITTED_SHARE_MIN 0.02 of what is asked for is let through
   always: with nothing dispatched nothing can be accepted, and a fleet that
   took nothing for some seconds would be shut out for good.
   - ADMISSION_GROWTH_PER_TICK 1.07 a tick, doubling in a second, while
   admission holds back and the fleet shows no sign of being full: found by
   what is accepted alone, the room would be won back by a tenth a second.
   - ADMISSION_RETRY_AFTER_MIN_S 1, ADMISSION_RETRY_AFTER_MAX_S 60: Retry-After
   is drawn evenly from the time in which the team's share works off what was
     refused in the last seconds; longer than a minute callers give up.  */

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

/* CLOCK and RNG are borrowed.  */
admission_t *admission_create (clock_iface_t *clock, rng_t *rng);
void admission_destroy (admission_t *admission);

/* Set the weight of TEAM (1 until set, 0 counts as 1).  */
void admission_set_weight (admission_t *admission, str_t team,
                           uint32_t weight);

/* Decide on a request of TEAM with estimated COST.  Return VH_OK, or
   VH_E_TEAM_SHARE when it is refused.  */
vh_code_t admission_decide (admission_t *admission, str_t team, uint32_t cost,
                            queue_priority_t priority);

/* A sidecar took a dispatched request of COST, or refused it as full or as
   not to be done by its deadline.  */
void admission_record_result (admission_t *admission, uint32_t cost,
                              bool accepted);

/* Take in the load heard from sidecars (balance_pressure).  */
void admission_set_pressure (admission_t *admission, double pressure);

/* Return the seconds after which a refused caller of TEAM is to return.  Each
   call draws anew.  */
uint32_t admission_retry_after_s (admission_t *admission, str_t team);

/* Return the part of TEAM's demand that is admitted now, for reports.  */
double admission_admitted_share (admission_t *admission, str_t team);
/* Whether demand is above what the fleet takes.  */
bool admission_is_limiting (const admission_t *admission);

#endif
