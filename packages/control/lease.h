/* A lease on a named duty, kept in two rows of the platform's table.

   lease/NAME/fence is written only when the lease changes hands.  The version
   of the row is the fencing token: every write made under the lease is a
   transaction conditional on that version.  A holder that was paused for
   longer than the term therefore cannot write after it resumes, even if it
   still considers itself the holder.  lease/NAME/beat is the heartbeat row,
   written at each renewal.  Renewals do not touch the fence row, so they do
   not conflict with a write in progress.

   No process depends on the wall clock of another.  An observer considers a
   lease expired when the heartbeat row has not changed for a whole term by
   the observer's own monotonic clock.  The holder measures its term from the
   time before it sent the renewal, so the holder's term ends first.  */

#ifndef CONTROL_LEASE_H
#define CONTROL_LEASE_H

#include "control/store.h"

typedef struct lease lease_t;

typedef struct
{
  uint64_t term_ms; /* Lifetime of the lease after a renewal.  */
  /* Called when the lease was acquired (HELD is true), and when it was lost
     or has expired.  */
  void (*on_change) (void *owner, bool held);
  void *owner;
} lease_options_t;

/* Try to acquire and renew the lease NAME as HOLDER until lease_destroy.  */
lease_t *lease_create (const control_env_t *env, str_t name, str_t holder,
                       const lease_options_t *options);
/* Release the lease.  Another process can acquire the lease immediately if
   the store is reachable, and after the term otherwise.  NULL is
   accepted.  */
void lease_destroy (lease_t *lease);
/* Renew the lease, or try to acquire it, without waiting for the timer.  */
void lease_poll (lease_t *lease);
/* Return whether the holder may start new work.  The result is only a hint:
   lease_condition is what protects the table.  */
bool lease_is_held (lease_t *lease);
/* Return the condition that every write under the lease must include.  The
   lease must be held; the key of the condition is valid as long as LEASE.  */
txn_condition_t lease_condition (const lease_t *lease);

#endif
