/* Rate limits that instances announce in their responses.

   A gateway learns a limit from a response, and that it ended from a response
   without it.  A gateway that gets no response, as it has no part of the limit
   or no requests for the instance, learns both from a row of the shared table:
   the first gateway that sees a change writes it, one row for each limited
   instance, limit/ID with the value RATE INCARNATION.  The row is deleted when
   the limit ends, or when the instance is gone.

   While the store does not answer, each gateway keeps what it knows, and
   learns changes from its own responses.  */

#ifndef GATEWAY_ANNOUNCED_LIMITSINT_H
#define GATEWAY_ANNOUNCED_LIMITSINT_H

#include "gateway/gatewayint.h"
#include "wire/http_exchange.h"

/* Create the record of all limits, at first empty.  STATE and ROWS must
   outlive the result.  */
announced_limits_t *announced_limits_create (gateway_state_t *state,
                                             rows_t *rows);
void announced_limits_destroy (announced_limits_t *limits);

/* Record what HEAD, the head of a valid response to a request sent at SENT_MS
   (monotonic), says of UPSTREAM's rate limit, and log each change.

   A value that is not a single number of at least 0 is logged and ignored.  A
   response without the header ends the limit if it is a success and the
   request was sent after the last announcement: failures may lack the header,
   and an earlier response may arrive late.  */
void announced_limits_observe (announced_limits_t *limits,
                               upstream_t *upstream,
                               const http_exchange_head_t *head,
                               uint64_t sent_ms);
/* Apply ROW of instance ID, read from the shared table.  The instance may be
   unknown so far.  */
void announced_limits_apply_row (announced_limits_t *limits, str_t id,
                                 const rows_row_t *row);
/* Handle the deletion of the row of instance ID.  */
void announced_limits_remove_row (announced_limits_t *limits, str_t id);
/* Apply the row of instance ID, if there is one, to its registration, which
   was read just now.  */
void announced_limits_apply_registration (announced_limits_t *limits,
                                          str_t id);
/* Set whether the rows that are applied or removed from now on are those of an
   older copy of the table.  The limits that are known stay in force, and
   are written again where the copy differs.  */
void announced_limits_set_copy (announced_limits_t *limits, bool is_copy);
/* Write the changes that the shared table lacks, and delete the rows of
   instances that are gone.  Called several times a second.  */
void announced_limits_tick (announced_limits_t *limits);

#endif
