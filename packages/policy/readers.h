/* Selection of the source from which a gateway reads the shared tables: the
   store, or another gateway that passes on what it has read.

   Load pattern: hundreds of gateways read the same tables of a store that
   charges for each call and limits the calls of all.  The gateways form a tree
   in which only one of them, the root, reads from the store.

   - There is no election.  Each gateway ranks the listed ones by itself: the
     highest link bandwidth first, because a source sends its rows to all
     gateways below it, then by a hash of the name.  Two gateways with
     different lists may both read from the store for a while.
   - In a fleet of up to READERS_FLEET gateways all others read from the root,
     the first in rank.  In a larger fleet they read from the first of their
     availability zone, its head, and the heads read from the root, so that no
     gateway serves more others than its zone has gateways or the fleet has
     zones.
   - A gateway that does not respond is not used as a source for
     READERS_SILENT_MS.  If it is in another zone, no gateway of any other zone
     is used for READERS_HOME_MS, because the network between the zones may be
     down.
   - When the store is unavailable, all gateways notice at the same time.  One
     whose source reports the outage asks the root, and then the store itself,
     at intervals of READERS_PROBE_MS times the number of gateways; without
     this every gateway would call the store for every table.  The store may
     refuse only some machines, so the interval is at most
     READERS_PROBE_LAST_MS, and a gateway that gets a response keeps calling
     the store.  */

#ifndef POLICY_READERS_H
#define POLICY_READERS_H

#include "base/clock.h"
#include "base/str.h"

enum
{
  READERS_FLEET = 32,
  /* Time for which a gateway that did not respond is not used as a source; a
     restart takes about a second.  */
  READERS_SILENT_MS = 3000,
  /* Time for which a gateway that responded that it has no current data is not
     used as a source: it has just started, or lost the store briefly.  */
  READERS_UNFIT_MS = 500,
  READERS_HOME_MS = 10000,
  /* Time for which a gateway that got no response from the store leaves the
     reading to others.  */
  READERS_DOWN_MS = 1500,
  READERS_PROBE_MS = 50,
  /* Longest interval between probes of an unavailable store, well below the
     time for which confirmed data counts as current.  */
  READERS_PROBE_LAST_MS = 3000,
  /* Interval at which the root probes an unavailable store; short, because all
     other gateways depend on the result.  */
  READERS_LEADS_PROBE_MS = 200
};

typedef struct fanout readers_t;

typedef enum
{
  ASKS_STORE, /* Reads from the store and may serve all gateways.  */
  ASKS_ROOT,  /* Reads from the root and serves its zone.  */
  ASKS_HEAD   /* Reads from the head of its zone, or from the root of a small
                 fleet, and serves no other gateway.  */
} readers_role_t;

/* Create the source selection of gateway NAME in ZONE.  LINK_MBPS is the
   bandwidth of its network link; 0 if unknown.  CLOCK is borrowed.  */
readers_t *readers_create (clock_iface_t *clock, uint64_t seed, str_t name,
                           str_t zone, uint32_t link_mbps);
/* NULL is accepted.  */
void readers_destroy (readers_t *fanout);
/* Add or update gateway NAME.  OWNER, which must not be NULL, is returned when
   the gateway is selected.  LINK_MBPS is 0 if unknown.  */
void readers_put (readers_t *fanout, str_t name, str_t zone,
                  uint32_t link_mbps, void *owner);
void readers_remove (readers_t *fanout, str_t name);
/* Stop serving other gateways, when this one shuts down.  */
void readers_leave (readers_t *fanout);

/* Return the role of this gateway in the tree, and store the owner of its
   source in *OWNER; NULL with ASKS_STORE.  */
readers_role_t readers_choose (readers_t *fanout, void **owner);
/* Return the owner of the gateway to ask when the source has no current data:
   the root, or the next gateway in rank if the store refused this gateway.
   Return NULL if there is none.  */
void *readers_next (readers_t *fanout);

/* Record that gateway NAME failed as a source: it did not respond if SILENT is
   set, otherwise it responded that it has no current data.  */
void readers_failed (readers_t *fanout, str_t name, bool silent);
/* Record whether the store responded to a call of this gateway.  */
void readers_store_said (readers_t *fanout, bool answered);
/* Return whether this gateway may call the store although its source reported
   an outage.  A call that is allowed counts towards the probe interval.  */
bool readers_may_probe (readers_t *fanout);
/* Return whether the store responded to this gateway within the last
   READERS_PROBE_LAST_MS.  */
bool readers_hears (const readers_t *fanout);

#endif
