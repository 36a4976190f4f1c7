/* Rate limits that instances announce in their responses.  */

#ifndef GATEWAY_ANNOUNCED_LIMITS_H
#define GATEWAY_ANNOUNCED_LIMITS_H

#include "policy/pool.h"
#include "wire/http_exchange.h"

/* Record what HEAD, the head of a valid response to a request sent at SENT_MS
   (monotonic), says of UPSTREAM's rate limit in the header NAME, and log each
   change.

   A value that is not a single number of at least 0 is logged and ignored.  A
   response without the header ends the limit if it is a success and the
   request was sent after the last announcement: failures may lack the header,
   and an earlier response may arrive late.  */
void announced_limits_observe (pool_t *pool, upstream_t *upstream,
                               const http_exchange_head_t *head, str_t name,
                               uint64_t sent_ms);

#endif
