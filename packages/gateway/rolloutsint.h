/* The roll-outs that all gateways carry out together: the operators' orders,
   the state row of each roll-out in the store, and the evidence by which a
   gateway judges the new version.

   No gateway is appointed as the leader.  A state row is written only if it
   still has the version that the writer read.  It is written by a gateway that
   reads the store for other gateways and gets their evidence with their calls,
   or by any gateway when that gateway is late.  */

#ifndef GATEWAY_ROLLOUTSINT_H
#define GATEWAY_ROLLOUTSINT_H

#include "gateway/gatewayint.h"

typedef struct rollouts rollouts_t;

/* BELIEF, ROWS and PEER_ROWS must outlive the result.  PEER_ROWS is NULL when
   this gateway calls the store itself.  */
rollouts_t *rollouts_create (gateway_state_t *belief, rows_t *rows,
                             peer_rows_t *peer_rows);
void rollouts_destroy (rollouts_t *rollouts);

/* Apply an operator's order, read from the store as ROW.  */
void rollouts_apply_order (rollouts_t *rollouts, const rows_row_t *row);
/* Apply the state row of SERVICE's roll-out, which may be read before the
   order for the roll-out.  */
void rollouts_apply_state_row (rollouts_t *rollouts, str_t service,
                               const rows_row_t *row);
/* Apply the evidence TEXT under KEY, which is evidence/SERVICE/GATEWAY.
   IS_DIRECT: the gateway sent the evidence to this one; false: the evidence
   was read from the store.  */
void rollouts_apply_evidence (rollouts_t *rollouts, str_t key, bool is_direct,
                              str_t text);
/* Take the steps that are due.  IS_SECOND: a second has passed since the last
   call with IS_SECOND.  */
void rollouts_tick (rollouts_t *rollouts, bool is_second);

#endif
