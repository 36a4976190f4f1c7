/* Claims: the exclusive right to run a non-idempotent request.

   Load pattern: a client sends a request again through another entry process
   while the first attempt is running, or after it completed.  Without claims
   both entries would run the request.  Before an entry dispatches a
   non-idempotent request, it inserts a row for the request id into the
   platform's table on the condition that the row is absent; only the process
   that inserted the row may dispatch the request.  The row names the claiming
   process and later holds the outcome of the request.

   Claims that arrive while a transaction is in progress share the next
   transaction.  Outcomes are written in the same transactions, or wait up to
   100 ms so that several outcomes share a transaction.  A claim that
   conflicts with an earlier claim is removed from its batch, and the rest of
   the batch is sent again.

   The key of a row contains the day of the claim.  A claim requires that the
   id is absent on the previous day, the same day and the next day.  The
   clocks of two processes may therefore differ by a day, and an id stays
   claimed for at least one day.

   If the outcome of a claim's transaction is not known before the deadline,
   the claim is abandoned: this process will never dispatch the request under
   that claim.  The caller still gets VH_E_STORE_LATE, because the store could
   not say whether an earlier submission has claimed the id.  The process
   continues to resolve the transaction; if the row was written, the process
   writes into the row that the claim is abandoned, and any process may then
   take the row over on the condition that its version is unchanged.  */

#ifndef CONTROL_CLAIMS_H
#define CONTROL_CLAIMS_H

#include "control/lease.h"

typedef struct claims claims_t;

typedef struct
{
  /* Identifies one start of this process; never reused after a restart.  */
  str_t writer;
  /* Time after which the next batch is sent although the outcome of the
     previous batch is unknown, in ms; 0: 1 s.  */
  uint64_t batch_timeout_ms;
  /* Rows that are three days old are deleted while this process holds the
     lease; NULL: this process never deletes rows.  */
  lease_t *lease;
  /* Interval between deletions of expired rows, in ms; 0: ten minutes.  */
  uint64_t cleanup_interval_ms;
} claims_options_t;

/* Contents of the row of an earlier claim.  */
typedef struct
{
  bool is_known;    /* False if the row could not be read.  */
  bool has_outcome; /* True if OUTCOME holds the recorded outcome.  */
  str_t writer;
  uint64_t claimed_at_ms; /* Time of the claim, in ms since the epoch.  */
  str_t outcome;
} claim_info_t;

/* VH_OK: this process holds the claim and may dispatch the request.
   VH_E_CLAIMED: INFO describes the earlier claim.
   VH_E_STORE_DOWN: nothing was written for this submission, and the request
   will not run; earlier submissions of the id may have run.
   VH_E_STORE_LATE: this submission will not run, but an earlier submission
   may have claimed the id.  */
typedef void (*claims_cb_t) (void *arg, vh_code_t code,
                             const claim_info_t *info);

claims_t *claims_create (const control_env_t *env,
                         const claims_options_t *options);
/* Pending claims end with VH_E_CANCELLED before the call returns.  NULL is
   accepted.  */
void claims_destroy (claims_t *claims);
/* Claim the request ID; CB is called within about TIMEOUT_MS.  */
void claims_acquire (claims_t *claims, str_t id, uint64_t timeout_ms,
                     claims_cb_t cb, void *arg);
/* Record OUTCOME, the result of the request as JSON text, for ID, which this
   process must hold.  The write is retried until the store has accepted it.
   Return VH_OK, VH_E_NOT_FOUND if this process does not hold ID, or VH_E_FULL
   if the write queue is full.  */
vh_code_t claims_record_outcome (claims_t *claims, str_t id, str_t outcome);
/* Release the claim on ID, whose request was never dispatched, so that other
   processes may claim ID.  The return values are those of
   claims_record_outcome.  */
vh_code_t claims_release (claims_t *claims, str_t id);
/* Return the number of claims and outcomes that the store has not yet
   acknowledged.  */
size_t claims_pending_count (const claims_t *claims);
/* Set BATCHES to the number of batches sent since creation, and OPERATIONS to
   the number of claims and outcomes in these batches.  */
void claims_get_stats (const claims_t *claims, uint64_t *batches,
                       uint64_t *operations);

#endif
