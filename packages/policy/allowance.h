/* Bounds the sends beyond the first of each request: retries, moves of a
   broken stream and second opinions of a larger model.

   Answers: a partial outage or a bad version, in which every request is sent
   again and the extra load takes down what is left.  The bound over all
   entries is a share of the requests in a window plus a fixed part; entries do
   not ask each other, so each keeps the share of its own requests and its part
   of the fixed one, and the sum keeps the whole.

   SEND_BUDGET_USED_SHARE of the bound is used: the windows of the one who
   counts do not begin with ours.  */

#ifndef POLICY_SENDBUDGET_H
#define POLICY_SENDBUDGET_H

#include "base/clock.h"

#include <stdbool.h>

#define SEND_BUDGET_USED_SHARE 0.85

enum
{
  SEND_BUDGET_BUCKETS = 10 /* Of a window.  */
};

typedef struct allowance send_budget_t;

typedef struct
{
  double ratio; /* Extra sends for each request.  */
  double slack; /* Extra sends in a window besides, of all entries.  */
  uint64_t window_ms;
} send_budget_options_t;

send_budget_t *send_budget_create (clock_iface_t *clock,
                                   const send_budget_options_t *options);
void send_budget_destroy (send_budget_t *allowance);
/* How many entries share the fixed part; at least 1.  */
void send_budget_set_gateway_count (send_budget_t *allowance,
                                    uint32_t entries);
/* A request (not a send) came.  */
void send_budget_count_request (send_budget_t *allowance);
/* Extra sends that may be made now.  */
double send_budget_remaining (send_budget_t *allowance);
/* Take one; false with nothing taken when none is left.  Keep RESERVE for
   more important ones.  */
bool send_budget_try_take (send_budget_t *allowance, double reserve);

#endif
