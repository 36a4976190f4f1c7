/* Selection of the source from which a gateway reads the shared tables: the
   store, or another gateway that passes on what it has read.

   Load pattern: hundreds of gateways read the same tables of a store that
   charges for each call and limits the calls of all.  The gateways form a tree
   in which only one of them, the root, reads from the store.

   - There is no election.  Each gateway ranks the listed ones by itself: the
     highest link bandwidth first, because a source sends its rows to all
     gateways below it, then by a hash of the name.  Two gateways with
     different lists may both read from the store for a while.
   - In a fleet of up to FANOUT_SMALL_FLEET_MAX gateways all others read from
     the root, the first in rank.  In a larger fleet each gateway reads from
     the first gateway in rank of its own availability zone, called the head of
     the zone, and the heads read from the root, so that no gateway serves more
     others than its zone has gateways or the fleet has zones.
   - A gateway that does not respond is not used as a source for
     FANOUT_SILENT_BACKOFF_MS.  If it is in another zone, no gateway of any
     other zone is used for FANOUT_OWN_ZONE_ONLY_MS, because the network
     between the zones may be down.
   - When the store is unavailable, all gateways notice at the same time.  One
     whose source reports the outage asks the root, and then the store itself,
     at intervals of FANOUT_PROBE_INTERVAL_PER_GATEWAY_MS times the number of
     gateways; without this every gateway would call the store for every table.
     The store may refuse only some machines, so the interval is at most
     FANOUT_PROBE_INTERVAL_MAX_MS, and a gateway that gets a response keeps
     calling the store.  */

#ifndef POLICY_FANOUT_H
#define POLICY_FANOUT_H

#include "base/clock.h"
#include "base/str.h"

enum
{
  FANOUT_SMALL_FLEET_MAX = 32,
  /* Time for which a gateway that did not respond is not used as a source; a
     restart takes about a second.  */
  FANOUT_SILENT_BACKOFF_MS = 3000,
  /* Time for which a gateway that responded that it has no current data is not
     used as a source: it has just started, or lost the store briefly.  */
  FANOUT_NOT_READY_BACKOFF_MS = 500,
  FANOUT_OWN_ZONE_ONLY_MS = 10000,
  /* Time for which a gateway that got no response from the store does not act
     as the root, so that another gateway reads from the store.  */
  FANOUT_STORE_BACKOFF_MS = 1500,
  FANOUT_PROBE_INTERVAL_PER_GATEWAY_MS = 50,
  /* Longest interval between probes of an unavailable store, well below the
     time for which confirmed data counts as current.  */
  FANOUT_PROBE_INTERVAL_MAX_MS = 3000,
  /* Interval at which the root probes an unavailable store; short, because all
     other gateways depend on the result.  */
  FANOUT_ROOT_PROBE_INTERVAL_MS = 200
};

typedef struct fanout fanout_t;

typedef enum
{
  FANOUT_READS_STORE, /* Reads from the store and may serve all gateways.  */
  FANOUT_READS_ROOT,  /* Reads from the root and serves its zone.  */
  FANOUT_READS_HEAD   /* Reads from the head of its zone, or from the
                         root of a small fleet, and serves no gateway.  */
} fanout_role_t;

/* Create the source selection of gateway NAME in ZONE.  LINK_MBPS is the
   bandwidth of its network link; 0 if unknown.  CLOCK is borrowed.  */
fanout_t *fanout_create (clock_iface_t *clock, uint64_t seed, str_t name,
                         str_t zone, uint32_t link_mbps);
/* Free FANOUT, which may be NULL.  */
void fanout_destroy (fanout_t *fanout);
/* Add or update gateway NAME.  OWNER, which must not be NULL, is returned when
   the gateway is selected.  LINK_MBPS is 0 if unknown.  */
void fanout_put (fanout_t *fanout, str_t name, str_t zone, uint32_t link_mbps,
                 void *owner);
void fanout_remove (fanout_t *fanout, str_t name);
/* Stop serving other gateways, when this one shuts down.  */
void fanout_stop_serving (fanout_t *fanout);

/* Return the role of this gateway in the tree, and store the owner of its
   source in *OWNER; NULL with FANOUT_READS_STORE.  */
fanout_role_t fanout_choose_source (fanout_t *fanout, void **owner);
/* Return the owner of the gateway to read from when the source has no current
   data: the root, or the next gateway in rank if the store refused this
   gateway.  Return NULL if there is none.  */
void *fanout_next_source (fanout_t *fanout);

/* Record that gateway NAME failed as a source: it did not respond if SILENT is
   set, otherwise it responded that it has no current data.  */
void fanout_source_failed (fanout_t *fanout, str_t name, bool silent);
/* Record whether the store responded to a call of this gateway.  */
void fanout_store_call_ended (fanout_t *fanout, bool responded);
/* Return whether this gateway may call the store although its source reported
   an outage.  The result is always true while the store is reachable;
   otherwise a permitted call starts a new probe interval.  */
bool fanout_may_probe_store (fanout_t *fanout);
/* Return whether the store responded to this gateway within the last
   FANOUT_PROBE_INTERVAL_MAX_MS.  */
bool fanout_is_store_reachable (const fanout_t *fanout);

#endif
