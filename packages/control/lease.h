/* A lease on a named duty, kept in two rows of the table.

   lease/NAME/fence is written when the lease changes hands and at no other
   time: its version is the fencing number, and every write made under the
   lease is a transaction conditional on it.  So a holder that was paused past
   its lease changes nothing on waking, whatever it still believes.
   lease/NAME/beat is written at each renewal, which therefore disturbs no
   write under way.

   Nobody's wall clock is trusted: a lease has lapsed for an observer when it
   has seen the same beat for the whole term by its own monotonic clock.  The
   holder counts its term from before it sent the renewal, so it stops first.
   */

#ifndef CONTROL_LEASE_H
#define CONTROL_LEASE_H

#include "control/store.h"

typedef struct lease lease_t;

typedef struct
{
  uint64_t term_ms;
  /* Told when the lease is won (HELD) and when it is lost or lapses.  */
  void (*changed) (void *owner, bool held);
  void *owner;
} lease_options_t;

/* Try to hold NAME as HOLDER for as long as the lease object lives.  */
lease_t *lease_create (const control_env_t *env, str_t name, str_t holder,
                       const lease_options_t *options);
/* Give the lease up, at once when the store can be told.  NULL is
   accepted.  */
void lease_destroy (lease_t *lease);
/* Renew or try to acquire now rather than at the next beat.  */
void lease_poll (lease_t *lease);
/* Tell whether the holder may still begin work.  Only a hint: what protects
   the table is the condition.  */
bool lease_is_held (lease_t *lease);
/* The condition that every write under the lease must bear; its key lives as
   long as the lease.  Only while held.  */
txn_condition_t lease_condition (const lease_t *lease);

#endif
