/* Which entry asks the store, and which entry tells this one what it said.

   Answers: hundreds of entries that follow the same tables of a store with a
   price on each call and a bound on all.  Each asks one that is nearer to the
   store, and one alone asks the store.

   - Nobody is appointed.  Each entry works out from the listed ones who goes
     first: the widest link, as a reader tells the rows to its askers, then a
     hash of the name.  Two that disagree both read for a while.
   - Up to FANOUT_SMALL_FLEET_MAX entries all ask the first of all.  More ask
   the first of their availability zone, the head, and the heads ask the first
   of all, the root: so nobody answers more askers than its zone has entries or
   the fleet has zones.
   - One that is silent is passed over for FANOUT_SILENT_BACKOFF_MS.  When it
   is of another zone, all other zones are left alone for
   FANOUT_OWN_ZONE_ONLY_MS: they may be cut off.
   - A store that is away is found out by all at once.  An entry that is told
     so by its reader asks the root, and then the store itself, at most once in
     FANOUT_PROBE_INTERVAL_PER_GATEWAY_MS for each entry of the fleet; without
   this each of them asks for each table.  The store may refuse some machines
   alone, so no entry waits longer than FANOUT_PROBE_INTERVAL_MAX_MS, and one
   that is answered goes on asking.  */

#ifndef POLICY_FANOUT_H
#define POLICY_FANOUT_H

#include "base/clock.h"
#include "base/str.h"

enum
{
  FANOUT_SMALL_FLEET_MAX = 32,
  /* One that restarts is back after about a second.  */
  FANOUT_SILENT_BACKOFF_MS = 3000,
  /* One that says that it cannot tell has just started, or lost the store for
     a moment.  */
  FANOUT_NOT_READY_BACKOFF_MS = 500,
  FANOUT_OWN_ZONE_ONLY_MS = 10000,
  /* An entry that the store did not answer leaves it to others so long.  */
  FANOUT_STORE_BACKOFF_MS = 1500,
  FANOUT_PROBE_INTERVAL_PER_GATEWAY_MS = 50,
  /* Well under the time for which a confirmation is trusted.  */
  FANOUT_PROBE_INTERVAL_MAX_MS = 3000,
  /* The first of all, whose answer all wait for.  */
  FANOUT_ROOT_PROBE_INTERVAL_MS = 200
};

typedef struct readers fanout_t;

typedef enum
{
  FANOUT_READS_STORE, /* Asks the store, tells everybody.  */
  FANOUT_READS_ROOT,  /* Asks the root, tells its zone.  */
  FANOUT_READS_HEAD   /* Asks the head of its zone, tells nobody.  */
} fanout_role_t;

fanout_t *fanout_create (clock_iface_t *clock, uint64_t seed, str_t name,
                         str_t zone, uint32_t link_mbps);
/* NULL is accepted.  */
void fanout_destroy (fanout_t *readers);
/* Entry NAME is listed; OWNER (not NULL) stands for it.  LINK_MBPS 0: not
   known.  */
void fanout_put (fanout_t *readers, str_t name, str_t zone, uint32_t link_mbps,
                 void *owner);
void fanout_remove (fanout_t *readers, str_t name);
/* This entry reads for nobody from now on.  */
void fanout_stop_serving (fanout_t *readers);

/* What this entry does, and in *OWNER whom it asks; NULL with
 * FANOUT_READS_STORE.  */
fanout_role_t fanout_choose_source (fanout_t *readers, void **owner);
/* Whom to ask when the one asked before has nothing to tell: the root, and of
   an entry that the store refused one after the other.  NULL: nobody.  */
void *fanout_next_source (fanout_t *readers);

/* Entry NAME could not tell, or was SILENT.  */
void fanout_source_failed (fanout_t *readers, str_t name, bool silent);
/* The store answered this entry, or did not.  */
void fanout_store_call_ended (fanout_t *readers, bool answered);
/* Tell whether an entry that was told that the store is away may see for
   itself now.  A true answer is counted as a call.  */
bool fanout_may_probe_store (fanout_t *readers);
/* Tell whether the store answered this entry of late.  */
bool fanout_is_store_reachable (const fanout_t *readers);

#endif
