/* Claims: the right to run a request that may run once.

   Answers: a caller that sends a request again through another entry while
   the first is running, or after it ran.  Without a claim both would run it.
   Before a non-idempotent request is dispatched its id is put into the
   platform's table on the condition that it is not there; only who put it
   there may dispatch it.  A claim row says who claimed, and later what came
   of it.

   Claims that arrive while a transaction is under way share the next one, and
   outcomes ride along, or wait a tenth of a second for each other.  A claim
   that meets an earlier one leaves the batch and the rest goes on.

   The row of an id stands under the day of its claim; a claim asks that the
   id be absent from the day before, the day itself and the day after, so
   that clocks may differ by a day and an id is kept for at least one.

   A claim whose transaction has no known outcome in time is abandoned: this
   process will never dispatch under it, so the run it would have licensed
   never happens.  It is answered VH_E_STORE_LATE all the same, for the store
   could not say whether an earlier run holds the id.  Its outcome is followed
   up, and if its row was written it is marked abandoned, which anyone may
   take over on the condition of the row's version.  */

#ifndef CONTROL_CLAIMS_H
#define CONTROL_CLAIMS_H

#include "control/lease.h"

typedef struct claims claims_t;

typedef struct
{
  /* Name of this process and start: never the same twice.  */
  str_t writer;
  uint64_t patience_ms; /* A batch may hold up the next so long; 0: 1 s.  */
  /* Rows that are three days old are deleted while it is held; NULL: this
     process deletes nothing.  */
  lease_t *lease;
  uint64_t sweep_ms; /* Between two looks for old rows; 0: ten minutes.  */
} claims_options_t;

/* What the row of an earlier claim says.  */
typedef struct
{
  bool known; /* False: the row could not be read.  */
  bool done;  /* OUTCOME is what was recorded.  */
  str_t writer;
  uint64_t at_ms; /* Since the epoch.  */
  str_t outcome;
} claim_info_t;

/* VH_OK: the id is ours, dispatch.  VH_E_CLAIMED: INFO is the earlier claim.
   VH_E_STORE_DOWN: nothing was written for this submission, and it will not
   run; says nothing about earlier submissions of the id.  VH_E_STORE_LATE:
   as above, but an earlier run may hold the id.  */
typedef void (*claims_cb_t) (void *arg, vh_code_t code,
                             const claim_info_t *info);

claims_t *claims_create (const control_env_t *env,
                         const claims_options_t *options);
/* Claims under way end with VH_E_CANCELLED inside the call.  NULL is
   accepted.  */
void claims_destroy (claims_t *claims);
/* Claim request ID within WAIT_MS.  */
void claims_acquire (claims_t *claims, str_t id, uint64_t wait_ms,
                     claims_cb_t cb, void *arg);
/* Record OUTCOME for ID, which is held; written with the next batch and
   again until the store has it.  Return VH_OK, VH_E_NOT_FOUND when the id is
   not held, or VH_E_FULL when too many wait for the store.  */
vh_code_t claims_record_outcome (claims_t *claims, str_t id, str_t outcome);
/* ID is held and was surely never dispatched: let others claim it.  */
vh_code_t claims_release (claims_t *claims, str_t id);
/* Claims and outcomes that the store does not have yet.  */
size_t claims_waiting (const claims_t *claims);
/* Batches sent, and claims and outcomes in them, since the start.  */
void claims_figures (const claims_t *claims, uint64_t *batches,
                     uint64_t *items);

#endif
