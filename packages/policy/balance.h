/* Where a request is sent.

   Answers: unlike and changing upstreams (one slow, one just returned, a zone
   gone), many entries that decide at the same time on load reports which are
   already old, prompts whose prefix is cached at one place, and pools of up to
   11,000.  Without it: round robin keeps feeding a slow upstream until all
   wait for it; least load by report sends every entry to the same upstream
   until the next report comes (herding); a returned zone gets everything at
   once.

   How it decides:
   - Of each pool an entry uses a subset: those of its own zone that rank
     highest for this entry (rendezvous hashing), and a smaller set of other
     zones.  Every entry can work it out alone, and a change of membership
     changes few connections.
   - Of the subset two are drawn, and the less loaded one is taken.  Load is
     what this entry has in flight itself, exact and current, plus what a
     report says of others, which counts less the older it is: a report of age
     BALANCE_REPORT_HALF_MS counts half, the rest is the pool's mean.
   - Another zone is used when the better of two in the own zone has no free
     slot and one elsewhere is less loaded by BALANCE_SPILL_MARGIN.
   - A request with an affinity (prompt prefix or session) goes first to its
     home, the first upstream at or after its point on a hash ring of the
     zone, or to where cache events last put the prefix; unless that is loaded
     past the bound, when it walks on.
   - An upstream or zone that returns is taken for smaller than it is, until
     its ramp ends (see zone).  Failures count as load for a while, so that one
     that fails at once does not look idle.

   The figures:
   - BALANCE_SUBSET_OWN_ZONE 96, BALANCE_SUBSET_OTHER_ZONE 16 of each other
   zone: with 730 entries, 11,000 upstreams of one pool and three zones each
   upstream is used by 730 * 128 / 11,000 = 8.5 entries on average, and by none
   with probability e^-8.5 = 0.02%; today's pools fit whole.
   - BALANCE_REPORT_HALF_MS 100: what is in flight changes wholly in the time
   of a short job, some hundred milliseconds.  Of 100, 250, 500 and 1,000 the
     bench found 100 best with reports up to ten seconds late, and no worse
     with fresh ones.  The same goes for reported slots, as a limit is probing
     all the time: an old one gives way to the upstream's usual slots.
   - BALANCE_SPILL_MARGIN 0.25 of a full load: more than the noise between
     two reports, so that zones do not swap their traffic.
   - BALANCE_AFFINITY_LOAD_FACTOR 1.25: bounded-load consistent hashing
   (Mirrokni et al.): a home may be loaded a quarter above the mean, or to its
   last free slot; BALANCE_AFFINITY_STEPS_MAX 4 steps reach a free one in all
   but a full pool.
   - BALANCE_HINT_TTL_MS 60000: cache events come late and with gaps; an engine
     evicts a prefix nobody used for about a minute.
   - BALANCE_RAMP_MS 3000 for a single upstream: some rounds of its limit,
     which starts low as well; ten seconds (a trial) kept an upstream from full
     use for ten seconds after it was warm.
   - BALANCE_FAILURE_PENALTY 4 requests for a failure, halved in
     BALANCE_PENALTY_HALF_MS 2000: the next choices pass it by, and a single
     failure is forgotten in seconds.  */

#ifndef POLICY_BALANCE_H
#define POLICY_BALANCE_H

#include "base/clock.h"
#include "base/code.h"
#include "base/rng.h"
#include "policy/zone.h"

enum
{
  BALANCE_SUBSET_OWN_ZONE = 96,
  /* Without reports the pressure of a pool is forgotten by half in this
     time.  */
  BALANCE_PRESSURE_HALF_MS = 5000,
  BALANCE_SUBSET_OTHER_ZONE = 16,
  BALANCE_REPORT_HALF_MS = 100,
  BALANCE_AFFINITY_STEPS_MAX = 4,
  BALANCE_HINT_TABLE_SIZE = 4096,
  BALANCE_HINT_TTL_MS = 60000,
  BALANCE_FAILURE_PENALTY = 4,
  BALANCE_PENALTY_HALF_MS = 2000,
  BALANCE_DEFAULT_SLOTS = 8,
  BALANCE_RAMP_MS = 3000
};

#define BALANCE_SPILL_MARGIN 0.25
#define BALANCE_AFFINITY_LOAD_FACTOR 1.25
#define BALANCE_NO_AFFINITY 0

typedef struct balance balance_t;

/* Names an upstream while it is known; one that was removed is never mistaken
   for its successor in the same place.  0 names none.  */
typedef uint32_t upstream_id_t;
/* Names a pool: all upstreams that serve one version or service.  */
typedef uint32_t pool_id_t;

typedef enum
{
  BALANCE_DRAINING = 1,   /* Said so itself, or by the platform's list.  */
  BALANCE_EJECTED = 2,    /* By outlier.  */
  BALANCE_DISABLED = 4,   /* By operators.  */
  BALANCE_UNREACHABLE = 8 /* No connection can be made.  */
} balance_mark_t;

/* What a sidecar reports of its upstream.  */
typedef struct
{
  uint32_t in_flight; /* Running, and queue_load of what waits.  */
  uint32_t slots;     /* How many it runs at a time.  */
} balance_load_t;

typedef struct
{
  pool_id_t pool;
  uint64_t affinity; /* Hash of prefix or session, or BALANCE_NO_AFFINITY.  */
  const upstream_id_t *tried; /* Not to be taken again.  */
  size_t tried_count;
} balance_request_t;

typedef struct
{
  upstream_id_t id;
  str_t name;
  str_t zone;
  unsigned marks;     /* balance_mark_t, ORed.  */
  uint32_t in_flight; /* Of this entry.  */
  uint32_t slots;
  uint64_t report_age_ms; /* UINT64_MAX when there was none.  */
  double load;            /* As it is compared: 1 is full.  */
} balance_info_t;

/* SELF is the entry's name and ZONE its zone.  CLOCK and RNG are borrowed.  */
balance_t *balance_create (str_t self, str_t zone, clock_iface_t *clock,
                           rng_t *rng);
void balance_destroy (balance_t *balance);

/* Return the id of the pool NAME ("draft-small@3"), made on first use.  */
pool_id_t balance_find_or_add_pool (balance_t *balance, str_t name);

/* Make upstream NAME known, in ZONE, serving POOLS; or change what is known of
   it, in place when the zone stays.  A new one starts with its ramp if
   RETURNING.  Return its id.  */
upstream_id_t balance_update (balance_t *balance, str_t name, str_t zone,
                              const str_t *pools, size_t pool_count,
                              bool returning);
/* Forget upstream NAME.  */
void balance_remove (balance_t *balance, str_t name);
/* Return the id of upstream NAME, or 0.  */
upstream_id_t balance_find (const balance_t *balance, str_t name);

/* Set or clear MARK on ID; a marked upstream gets no new requests.  When the
   last mark goes, the upstream's ramp begins.  */
void balance_set_mark (balance_t *balance, upstream_id_t id,
                       balance_mark_t mark, bool on);
/* Take ZONE out or bring it back.  */
void balance_set_zone_enabled (balance_t *balance, str_t zone, bool in);

/* Take in a load report that was true AGE_MS ago.  */
void balance_record_load (balance_t *balance, upstream_id_t id,
                          const balance_load_t *load, uint64_t age_ms);
/* Take in a cache event: the prefix AFFINITY is (or is no longer) STORED at
   ID.  Late and missing events are harmless.  */
void balance_cache_event (balance_t *balance, upstream_id_t id,
                          uint64_t affinity, bool stored);

/* Choose the upstream for REQUEST.  Return VH_OK with *ID, or
   VH_E_NO_UPSTREAM when none of the pool is in service.  */
vh_code_t balance_pick (balance_t *balance, const balance_request_t *request,
                        upstream_id_t *id);

/* A request was sent to ID; it ended there, well or badly.  */
void balance_request_started (balance_t *balance, upstream_id_t id);
void balance_request_ended (balance_t *balance, upstream_id_t id, bool ok);

/* Return the part of POOL that is full as far as known: the mean load, 1 when
   every slot is taken; 0 when nothing was reported.  */
double balance_pressure (const balance_t *balance, pool_id_t pool);

/* Write the subset of POOL into IDS, at most ROOM; return how many there are.
   These are the connections to keep.  */
size_t balance_subset (const balance_t *balance, pool_id_t pool,
                       upstream_id_t *ids, size_t room);
/* Fill INFO of ID; return false when it is not known.  */
bool balance_info (balance_t *balance, upstream_id_t id, balance_info_t *info);
/* Step through the known upstreams: start with *CURSOR 0; return false at the
   end.  */
bool balance_next_upstream (balance_t *balance, size_t *cursor,
                            balance_info_t *info);
size_t balance_upstream_count (const balance_t *balance);

#endif
