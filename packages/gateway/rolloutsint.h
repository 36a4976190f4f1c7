/* Roll-outs of new versions, which all gateways carry out together: the
   operators' requests for roll-outs, the state row of each roll-out in the
   store, and the evidence by which a gateway judges the new version.

   No gateway is appointed as the leader.  A state row is written only if its
   version in the store is still the one that the writer read.  The writer is a
   gateway that reads the store for other gateways and so gets their evidence
   with their calls.  If no such gateway writes the row in time, any gateway
   writes it.  */

#ifndef GATEWAY_ROLLOUTSINT_H
#define GATEWAY_ROLLOUTSINT_H

#include "gateway/gatewayint.h"

typedef struct rollouts rollouts_t;

/* Create the state of all roll-outs, at first without any roll-out.  STATE,
   ROWS and PEER_ROWS must outlive the result.  PEER_ROWS is NULL if
   this gateway does not share reads of the store with others.  */
rollouts_t *rollouts_create (gateway_state_t *state, rows_t *rows,
                             peer_rows_t *peer_rows);
void rollouts_destroy (rollouts_t *rollouts);

/* Record that the store came back from an older copy, before its rows are
   applied.  */
void rollouts_era_changed (rollouts_t *rollouts);
/* Apply an operator's request for a roll-out, read from the store as ROW.
   IS_COPY: the row may be older than the one known.

   A request that the operators write again after the store came back is the
   same roll-out, whose phase stays as it is.  */
void rollouts_apply_request (rollouts_t *rollouts, const rows_row_t *row,
                             bool is_copy);
/* Apply the state row of SERVICE's roll-out, which may be read before the
   operator's request.  IS_COPY: the row is from an older copy of the table;
   the state that is known stays, and is written again.  */
void rollouts_apply_state_row (rollouts_t *rollouts, str_t service,
                               const rows_row_t *row, bool is_copy);
/* Handle the end of the state row of SERVICE's roll-out, which is written
   again.  */
void rollouts_remove_state_row (rollouts_t *rollouts, str_t service);
/* Apply the evidence TEXT under KEY, which is evidence/SERVICE/GATEWAY.
   IS_DIRECT is true if GATEWAY sent the evidence to this gateway, false if the
   evidence was read from the store.  */
void rollouts_apply_evidence (rollouts_t *rollouts, str_t key, bool is_direct,
                              str_t text);
/* Carry out the steps of roll-outs that are due.  Called several times a
   second; HAS_SECOND_ELAPSED is true in one call a second.  */
void rollouts_tick (rollouts_t *rollouts, bool has_second_elapsed);

#endif
