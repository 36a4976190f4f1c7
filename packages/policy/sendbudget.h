/* A budget for extra sends: those after the first send of a request, which are
   retries, moves of a broken stream to another instance, and escalations to a
   larger model.

   Load pattern: a partial outage or a faulty version, in which every request
   is sent again and the extra load overloads the remaining instances.  In any
   window all gateways together may make a number of extra sends that is
   proportional to the requests, plus a fixed number.  Gateways do not
   coordinate, and one that starts does not know what its predecessor sent in
   the same window.

   - Each gateway has a token bucket for each service, and an extra send takes
     a token.  A request adds SEND_BUDGET_EARNED_SHARE of the ratio, and a
     window of time SEND_BUDGET_FIXED_EARNED_SHARE of the gateway's part of the
     fixed number.
   - The bucket holds the rest of the ratio for each request of the last
     window, and SEND_BUDGET_FIXED_HELD_SHARE of the part of the fixed number.
   - At the start the bucket has what the first request lacks for an extra send
     of its own, and nothing else: the predecessor may have spent its bucket in
     the same window.  The rest of the fixed number is for starts.
   - In a window the gateways thus send at most what their buckets held at its
     start and what was added since.  Together this is the fixed number, one
     part of the ratio for the requests of the window before, and the other
     part for those of the window.  It holds for any window, as long as the
     starts in it need no more than is left for them.
   - Only the fraction SEND_BUDGET_USED_SHARE of the budget is used, because
     the requests and the sends arrive with some delay.
   - While a gateway does not know how many gateways share the fixed number, it
     has no part of it.  Then, and in its first window, its bucket holds one
     token at least.
   - Where the bucket would hold less than one token, as in a large fleet with
     few requests at each gateway, it holds one in some windows and none in the
     others, drawn at random so that the sum over the gateways stays.  */

#ifndef POLICY_SENDBUDGET_H
#define POLICY_SENDBUDGET_H

#include "base/clock.h"

#include <stdbool.h>

#define SEND_BUDGET_USED_SHARE 0.95
#define SEND_BUDGET_EARNED_SHARE 0.85
#define SEND_BUDGET_FIXED_EARNED_SHARE 0.2
#define SEND_BUDGET_FIXED_HELD_SHARE 0.5

enum
{
  SEND_BUDGET_BUCKET_COUNT = 10 /* Number of counting intervals in a window. */
};

typedef struct send_budget send_budget_t;

typedef struct
{
  double ratio; /* Extra sends allowed per request.  */
  double slack; /* Extra sends that all gateways together may make in a window,
                   in addition to those per request.  */
  uint64_t window_ms;
  uint64_t seed; /* Of the draws for buckets of less than one token.  */
} send_budget_options_t;

/* Use of a budget in the window that ends now.  */
typedef struct
{
  uint32_t requests;
  uint32_t extra_sends;
  double fixed_part; /* Part of the fixed number that this gateway may use. */
  uint32_t gateways; /* Gateways that share the fixed number; 0: unknown.  */
  double remaining;  /* As send_budget_remaining.  */
} send_budget_usage_t;

/* Create the budget of a gateway that starts now and does not know the number
   of gateways.
   CLOCK is borrowed.  */
send_budget_t *send_budget_create (clock_iface_t *clock,
                                   const send_budget_options_t *options);
void send_budget_destroy (send_budget_t *send_budget);
/* Set the number of gateways that share the fixed number of extra sends; 0:
   unknown.  */
void send_budget_set_gateway_count (send_budget_t *send_budget,
                                    uint32_t gateways);
/* Count a request, once and not for each send.  */
void send_budget_count_request (send_budget_t *send_budget);
/* Return the number of extra sends that may be made now.  */
double send_budget_remaining (send_budget_t *send_budget);
/* Return the number of extra sends that the bucket holds now when full.  */
double send_budget_capacity (send_budget_t *send_budget);
/* Count an extra send and return true, or return false with nothing counted if
   fewer than 1 + RESERVE are left.  RESERVE keeps extra sends for more
   important uses.  */
bool send_budget_try_take (send_budget_t *send_budget, double reserve);
/* Record that an extra send is not made, and return whether this is the first
   one of a series.  A series ends when for a tenth of the window none was
   refused.  */
bool send_budget_count_refusal (send_budget_t *send_budget);
/* Return true once after the end of a series.  */
bool send_budget_end_refusals (send_budget_t *send_budget);
send_budget_usage_t send_budget_usage (send_budget_t *send_budget);

#endif
