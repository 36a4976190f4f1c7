/* Bounds the sends beyond the first of each request: retries, moves of a
   broken stream and second opinions of a larger model.

   Answers: a partial outage or a bad version, in which every request is sent
   again and the extra load takes down what is left.  The bound over all
   entries is a share of the requests in a window plus a fixed part; entries do
   not ask each other, so each keeps the share of its own requests and its part
   of the fixed one, and the sum keeps the whole.

   ALLOWANCE_USE of the bound is used: the windows of the one who counts do not
   begin with ours.  */

#ifndef POLICY_ALLOWANCE_H
#define POLICY_ALLOWANCE_H

#include "base/clock.h"

#include <stdbool.h>

#define ALLOWANCE_USE 0.85

enum
{
  ALLOWANCE_BUCKETS = 10 /* Of a window.  */
};

typedef struct allowance allowance_t;

typedef struct
{
  double ratio; /* Extra sends for each request.  */
  double slack; /* Extra sends in a window besides, of all entries.  */
  uint64_t window_ms;
} allowance_options_t;

allowance_t *allowance_create (clock_iface_t *clock,
                               const allowance_options_t *options);
void allowance_destroy (allowance_t *allowance);
/* How many entries share the fixed part; at least 1.  */
void allowance_set_entries (allowance_t *allowance, uint32_t entries);
/* A request (not a send) came.  */
void allowance_request (allowance_t *allowance);
/* Extra sends that may be made now.  */
double allowance_left (allowance_t *allowance);
/* Take one; false with nothing taken when none is left.  Keep RESERVE for
   more important ones.  */
bool allowance_take (allowance_t *allowance, double reserve);

#endif
