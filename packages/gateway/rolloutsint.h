/* The roll-outs that all entries carry out together: operators' orders, the
   shared row of each, and the evidence on which one entry judges it.

   No entry is appointed.  The shared row is written under the condition that
   it is as the writer saw it, by an entry that reads the store for the others,
   or by any when that one is late; evidence comes to it with their calls.  */

#ifndef GATEWAY_ROLLOUTSINT_H
#define GATEWAY_ROLLOUTSINT_H

#include "gateway/gatewayint.h"

typedef struct rollouts rollouts_t;

/* SHARE may be NULL: this entry is alone.  */
rollouts_t *rollouts_create (gateway_state_t *belief, rows_t *rows,
                             peer_rows_t *share);
void rollouts_destroy (rollouts_t *rollouts);

/* An operators' order was read.  */
void rollouts_apply_order (rollouts_t *rollouts, const rows_row_t *row);
/* The shared row of SERVICE's roll-out was read, maybe before its order.  */
void rollouts_apply_state_row (rollouts_t *rollouts, str_t service,
                               const rows_row_t *row);
/* Evidence under KEY, evidence/SERVICE/ENTRY, was TOLD to this entry, or read
   as a row.  */
void rollouts_apply_evidence (rollouts_t *rollouts, str_t key, bool told,
                              str_t text);
/* Take the steps that are due.  IS_SECOND: a second has passed since the last
   call that said so.  */
void rollouts_tick (rollouts_t *rollouts, bool is_second);

#endif
