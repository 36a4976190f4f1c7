/* The share of a fleet-wide limit that this gateway may use.

   Load pattern: an instance sustains ten requests a second from all gateways
   together, and there are sixty-eight gateways that do not coordinate.  With
   shares rounded up to one request the instance gets sixty-eight; with shares
   rounded down it gets none and is idle.

   - A limit of B units among N gateways gives each B / N units, rounded down,
     and one more to the B mod N gateways that rank first for the object (the
     instance, for example).  The shares of all gateways add up to B, rounded
     down, for any N.
   - The rank is by a rendezvous hash of gateway and object.  Each object thus
     has a ranking of its own, and a gateway that joins or leaves moves one
     unit of each object.  Gateways in the object's availability zone rank
     before all others, because most of the object's callers are in its zone.
   - Gateways that have different lists of the fleet agree on most ranks.  With
     K different lists at the same time at most K times the limit is used.  A
     change leaves an old and a new list, so a caller that must not exceed a
     limit passes half of it.
   - A gateway that is no longer listed counts for another
     ALLOTMENT_REMOVAL_DELAY_MS: it may still send requests, and one that
     restarts is not listed yet.
   - Until the list is loaded the size of the fleet is unknown.

   Computing a rank hashes each gateway, so callers cache the rank until the
   generation changes.  */

#ifndef POLICY_ALLOTMENT_H
#define POLICY_ALLOTMENT_H

#include "base/clock.h"
#include "base/str.h"

enum
{
  /* Time for which a gateway counts after it left the list: long enough for a
     graceful shutdown followed by a restart.  */
  ALLOTMENT_REMOVAL_DELAY_MS = 15000
};

typedef struct allotment allotment_t;

/* Create the list of gateways as seen by gateway NAME in ZONE, which is its
   only member at first.  CLOCK is borrowed.  */
allotment_t *allotment_create (clock_iface_t *clock, str_t name, str_t zone);
/* Free ALLOTMENT, which may be NULL.  */
void allotment_destroy (allotment_t *allotment);
/* Add gateway NAME in ZONE, or update its zone.  */
void allotment_put (allotment_t *allotment, str_t name, str_t zone);
/* Start the removal of gateway NAME, which counts for another
   ALLOTMENT_REMOVAL_DELAY_MS.  This gateway itself is never removed.  */
void allotment_remove (allotment_t *allotment, str_t name);
/* Record that the list of gateways has been loaded completely.  */
void allotment_set_loaded (allotment_t *allotment);
/* Remove the gateways whose ALLOTMENT_REMOVAL_DELAY_MS are over.  */
void allotment_expire (allotment_t *allotment);
/* Return the number of gateways that share the limits; at least 1.  */
size_t allotment_gateway_count (const allotment_t *allotment);
/* Return whether the list has been loaded, and with it the fleet's size.  */
bool allotment_is_loaded (const allotment_t *allotment);
/* Return a number that increases whenever a rank may have changed.  */
uint64_t allotment_generation (const allotment_t *allotment);
/* Return the rank of this gateway, from 0, for the object with hash
   OBJECT_HASH in ZONE.  */
size_t allotment_rank (const allotment_t *allotment, uint64_t object_hash,
                       str_t zone);
/* Return the share of LIMIT of the gateway with RANK among GATEWAY_COUNT
   gateways.  */
uint32_t allotment_share (double limit, size_t rank, size_t gateway_count);

#endif
