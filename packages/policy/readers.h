/* Which entry asks the store, and which entry tells this one what it said.

   Answers: hundreds of entries that follow the same tables of a store with a
   price on each call and a bound on all.  Each asks one that is nearer to the
   store, and one alone asks the store.

   - Nobody is appointed.  Each entry works out from the listed ones who goes
     first: the widest link, as a reader tells the rows to its askers, then a
     hash of the name.  Two that disagree both read for a while.
   - Up to READERS_FLEET entries all ask the first of all.  More ask the first
     of their availability zone, the head, and the heads ask the first of all,
     the root: so nobody answers more askers than its zone has entries or the
     fleet has zones.
   - One that is silent is passed over for READERS_SILENT_MS.  When it is of
     another zone, all other zones are left alone for READERS_HOME_MS: they may
     be cut off.
   - A store that is away is found out by all at once.  An entry that is told
     so by its reader asks the root, and then the store itself, at most once in
     READERS_PROBE_MS for each entry of the fleet; without this each of them
     asks for each table.  The store may refuse some machines alone, so no
   entry waits longer than READERS_PROBE_LAST_MS, and one that is answered goes
   on asking.  */

#ifndef POLICY_READERS_H
#define POLICY_READERS_H

#include "base/clock.h"
#include "base/str.h"

enum
{
  READERS_FLEET = 32,
  /* One that restarts is back after about a second.  */
  READERS_SILENT_MS = 3000,
  /* One that says that it cannot tell has just started, or lost the store for
     a moment.  */
  READERS_UNFIT_MS = 500,
  READERS_HOME_MS = 10000,
  /* An entry that the store did not answer leaves it to others so long.  */
  READERS_DOWN_MS = 1500,
  READERS_PROBE_MS = 50,
  /* Well under the time for which a confirmation is trusted.  */
  READERS_PROBE_LAST_MS = 3000,
  /* The first of all, whose answer all wait for.  */
  READERS_LEADS_PROBE_MS = 200
};

typedef struct readers readers_t;

typedef enum
{
  ASKS_STORE, /* Asks the store, tells everybody.  */
  ASKS_ROOT,  /* Asks the root, tells its zone.  */
  ASKS_HEAD   /* Asks the head of its zone, tells nobody.  */
} readers_role_t;

readers_t *readers_create (clock_iface_t *clock, uint64_t seed, str_t name,
                           str_t zone, uint32_t link_mbps);
/* NULL is accepted.  */
void readers_destroy (readers_t *readers);
/* Entry NAME is listed; OWNER (not NULL) stands for it.  LINK_MBPS 0: not
   known.  */
void readers_put (readers_t *readers, str_t name, str_t zone,
                  uint32_t link_mbps, void *owner);
void readers_remove (readers_t *readers, str_t name);
/* This entry reads for nobody from now on.  */
void readers_leave (readers_t *readers);

/* What this entry does, and in *OWNER whom it asks; NULL with ASKS_STORE.  */
readers_role_t readers_choose (readers_t *readers, void **owner);
/* Whom to ask when the one asked before has nothing to tell: the root, and of
   an entry that the store refused one after the other.  NULL: nobody.  */
void *readers_next (readers_t *readers);

/* Entry NAME could not tell, or was SILENT.  */
void readers_failed (readers_t *readers, str_t name, bool silent);
/* The store answered this entry, or did not.  */
void readers_store_said (readers_t *readers, bool answered);
/* Tell whether an entry that was told that the store is away may see for
   itself now.  A true answer is counted as a call.  */
bool readers_may_probe (readers_t *readers);
/* Tell whether the store answered this entry of late.  */
bool readers_hears (const readers_t *readers);

#endif
