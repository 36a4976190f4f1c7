/* A budget for extra sends: those after the first send of a request, which are
   retries, moves of a broken stream to another instance, and escalations to a
   larger model.

   Load pattern: a partial outage or a faulty version, in which every request
   is sent again and the extra load overloads the remaining instances.  All
   gateways together may make a number of extra sends in a window that is
   proportional to the requests, plus a fixed number.  Gateways do not
   coordinate: each limits itself in proportion to its own requests, plus an
   equal part of the fixed number, and the sum is within the limit.

   Only the fraction ALLOWANCE_USE of the budget is used, because the limit is
   checked elsewhere over windows that do not start at the same times as those
   of this module.  */

#ifndef POLICY_ALLOWANCE_H
#define POLICY_ALLOWANCE_H

#include "base/clock.h"

#include <stdbool.h>

#define ALLOWANCE_USE 0.85

enum
{
  ALLOWANCE_BUCKETS = 10 /* Number of counting intervals in a window.  */
};

typedef struct send_budget allowance_t;

typedef struct
{
  double ratio; /* Extra sends allowed per request.  */
  double slack; /* Further extra sends in a window, of all gateways.  */
  uint64_t window_ms;
} allowance_options_t;

allowance_t *allowance_create (clock_iface_t *clock,
                               const allowance_options_t *options);
void allowance_destroy (allowance_t *send_budget);
/* Set the number of gateways that share the fixed number of extra sends; 0
   counts as 1.  */
void allowance_set_entries (allowance_t *send_budget, uint32_t gateways);
/* Count a request, once and not for each send.  */
void allowance_request (allowance_t *send_budget);
/* Return the number of extra sends that may be made now; negative if the
   budget is exceeded.  */
double allowance_left (allowance_t *send_budget);
/* Count an extra send and return true, or return false with nothing counted if
   fewer than 1 + RESERVE are left.  RESERVE keeps extra sends for more
   important uses.  */
bool allowance_take (allowance_t *send_budget, double reserve);

#endif
