/* What an instance says of itself in the head of a response: its load, how
   long it is cold, the rate that it accepts, that it is leaving, and for how
   long it wants no requests.  The pool keeps the state.  */

#ifndef GATEWAY_INSTANCE_NOTICESINT_H
#define GATEWAY_INSTANCE_NOTICESINT_H

#include "gateway/relayint.h"
#include "wire/http_exchange.h"

/* Record what HEAD, the head of a valid response of RELAY's upstream, says of
   the upstream in the pool, and log each change.  Set
   relay->upstream_request_count and relay->is_upstream_loaded if HEAD tells
   the load.  */
void instance_notices_observe (relay_t *relay,
                               const http_exchange_head_t *head);

#endif
