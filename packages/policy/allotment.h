/* The part of a bound over the whole fleet that one entry may use.

   Answers: an instance that bears ten requests a second from all entries
   together, with sixty-eight entries that do not ask each other.  A part that
   is rounded up to one lets through sixty-eight, one that is rounded down
   nothing at all, and the instance stands idle.

   - Of a bound of B among N entries each has B / N, rounded down, and the
     B mod N first in rank for the object one more: the parts of all entries
     add up to B, rounded down, whatever N is.
   - The rank is a rendezvous hash of entry and object, so each object has
     other first ones, and an entry that comes or goes moves one right of each
     object.  Entries of the object's zone come before all others: its own
     callers are near it.
   - Entries that see different lists agree on most of the ranks.  With K
     different lists at one time at most K times the bound is used, so a user
     whose bound is strict passes in a half of it: one old and one new list is
     what a change leaves.
   - An entry that is no longer listed counts for ALLOTMENT_REMOVAL_DELAY_MS
   more: it may still send, and one that restarts is not listed yet.
   - Before the list was read the fleet may have any size, and nothing is
     known.

   A rank costs a hash of each entry.  Callers keep it until the generation
   changes.  */

#ifndef POLICY_ALLOTMENT_H
#define POLICY_ALLOTMENT_H

#include "base/clock.h"
#include "base/str.h"

enum
{
  /* A planned stop and a restart together.  */
  ALLOTMENT_REMOVAL_DELAY_MS = 15000
};

typedef struct allotment allotment_t;

/* What entry NAME of ZONE knows of the fleet: itself.  */
allotment_t *allotment_create (clock_iface_t *clock, str_t name, str_t zone);
/* NULL is accepted.  */
void allotment_destroy (allotment_t *allotment);
/* Entry NAME of ZONE is listed.  */
void allotment_put (allotment_t *allotment, str_t name, str_t zone);
/* Entry NAME is no longer listed.  */
void allotment_remove (allotment_t *allotment, str_t name);
/* The whole list was read.  */
void allotment_set_loaded (allotment_t *allotment);
/* Forget those that left long enough ago.  */
void allotment_expire (allotment_t *allotment);
/* How many entries share; at least 1.  */
size_t allotment_gateway_count (const allotment_t *allotment);
bool allotment_is_loaded (const allotment_t *allotment);
/* Another number than before once a rank may have changed.  */
uint64_t allotment_generation (const allotment_t *allotment);
/* The place of this entry for the object with hash OBJECT in ZONE, from 0 on.
 */
size_t allotment_rank (const allotment_t *allotment, uint64_t object,
                       str_t zone);
/* The part of BOUND of the entry with RANK among COUNT.  */
uint32_t allotment_share (double bound, size_t rank, size_t count);

#endif
