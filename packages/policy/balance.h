/* Selection of the upstream for a request among those of a pool.

   Load patterns: upstreams that differ and change (one is slow, one has just
   returned, a zone is disabled), many gateways that select at the same time by
   load reports that are already old, prompts whose prefix is cached at one
   upstream, and pools of up to 11,000 upstreams.  Without this module round
   robin sends a slow upstream requests until all requests wait for it, least
   load by report makes all gateways select the same upstream until the next
   report (herding), and a zone that returns gets all traffic immediately.

   How an upstream is selected:
   - A gateway uses a subset of each pool: the upstreams of its own zone that
     rank highest for this gateway (rendezvous hashing), and fewer of each
     other zone.  Gateways compute their subsets independently, and a change of
     membership changes few connections.
   - Two upstreams of the subset are drawn at random, and the less loaded is
     selected.  The load is the gateway's own requests in flight, which are
     exact and current, plus the reported load of other gateways.  A report of
     age BALANCE_REPORT_HALF_MS counts half, and the mean of the pool replaces
     the other half.
   - Another zone is used if the less loaded of the two has no free slot, and
     an upstream of the other zone is less loaded by BALANCE_SPILL_MARGIN.
   - A request with an affinity (prompt prefix or session) goes to the upstream
     that has the prefix cached according to cache events, or else to the first
     one at or after the affinity's hash on a hash ring of the zone.  If the
     load of that upstream exceeds the bound, the next ones on the ring are
     tried.
   - The slots of an upstream or zone that returns to service count only in
     part until its ramp ends (zone_ramp_share in zone.h).  Failures count as
     load for a while, so that an upstream that fails fast does not appear
     idle.

   Constants:
   - BALANCE_SUBSET_OWN_ZONE 96, BALANCE_SUBSET_OTHER_ZONE 16 for each other
     zone: with 730 gateways, 11,000 upstreams of one pool and three zones, an
     upstream is used by 730 * 128 / 11,000 = 8.5 gateways on average, and by
     none with probability e^-8.5 = 0.02%.  Smaller pools are used whole.
   - BALANCE_REPORT_HALF_MS 100: the requests in flight are replaced entirely
     within the time of a short request, some hundred milliseconds.  Of 100,
     250, 500 and 1,000, 100 was best with reports up to ten seconds late, and
     no worse with current ones.  With the same half age, the moving average of
     an upstream's slots replaces the reported number of slots, because the
     concurrency limit of an upstream probes upwards and downwards all the
     time.
   - BALANCE_SPILL_MARGIN 0.25 of a full load: more than the noise between two
     reports, so that zones do not exchange their traffic.
   - BALANCE_AFFINITY_LOAD_FACTOR 1.25: consistent hashing with bounded loads
     (Mirrokni et al.).  Affinity may load an upstream to a quarter above the
     pool's mean, or to its last free slot.  BALANCE_AFFINITY_STEPS_MAX 4 steps
     on the ring find a free upstream unless the pool is full.
   - BALANCE_HINT_TTL_MS 60000: cache events arrive late and some are lost; an
     engine evicts a prefix that was not used for about a minute.
   - BALANCE_RAMP_MS 3000 for a single upstream: some adjustments of its
     concurrency limit, which starts low as well.  With ten seconds an upstream
     was still not fully used for ten seconds after it was warm.
   - BALANCE_FAILURE_PENALTY 4 requests for a failure, halved every
     BALANCE_PENALTY_HALF_MS 2000: the next selections avoid the upstream, and
     a single failure has no effect after some seconds.  */

#ifndef POLICY_BALANCE_H
#define POLICY_BALANCE_H

#include "base/clock.h"
#include "base/code.h"
#include "base/rng.h"
#include "policy/zone.h"

enum
{
  BALANCE_SUBSET_OWN_ZONE = 96,
  /* Time since the last load report after which a pool's pressure counts
     half.  */
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

/* Identifies an upstream until it is removed; 0 for none.  The id contains a
   generation, so that the id of a removed upstream does not match one that
   reuses its memory.  */
typedef uint32_t upstream_id_t;
/* Identifies a pool: all upstreams that serve one version or service.  */
typedef uint32_t pool_id_t;

typedef enum
{
  BALANCE_DRAINING = 1,   /* Reported by the upstream or by the platform.  */
  BALANCE_EJECTED = 2,    /* Ejected by outlier detection.  */
  BALANCE_DISABLED = 4,   /* Disabled by operators.  */
  BALANCE_UNREACHABLE = 8 /* No connection can be opened.  */
} balance_mark_t;

/* The load that a sidecar reports for its upstream.  */
typedef struct
{
  uint32_t in_flight; /* Running requests plus the load of the waiting
                         requests (queue_load).  */
  uint32_t slots;     /* Number of requests that the upstream runs
                         concurrently.  */
} balance_load_t;

typedef struct
{
  pool_id_t pool;
  uint64_t affinity; /* Hash of prefix or session, or BALANCE_NO_AFFINITY.  */
  const upstream_id_t *tried; /* Upstreams not to be selected again.  */
  size_t tried_count;
} balance_request_t;

typedef struct
{
  upstream_id_t id;
  str_t name;
  str_t zone;
  unsigned marks;     /* Bitwise OR of balance_mark_t values.  */
  uint32_t in_flight; /* Requests of this gateway in flight.  */
  uint32_t slots;
  uint64_t report_age_ms; /* UINT64_MAX if there was no report.  */
  double load;            /* Load as compared in selections; 1 is full.  */
} balance_info_t;

/* Create the balancer of the gateway GATEWAY_NAME in ZONE.  CLOCK and RNG are
   borrowed.  */
balance_t *balance_create (str_t gateway_name, str_t zone,
                           clock_iface_t *clock, rng_t *rng);
void balance_destroy (balance_t *balance);

/* Return the id of the pool NAME, such as "draft-small@3", which is created if
   it does not exist.  */
pool_id_t balance_find_or_add_pool (balance_t *balance, str_t name);

/* Add upstream NAME in ZONE, serving POOLS, or set the zone and pools of the
   existing one.  A new upstream starts with a ramp if RETURNING is set.
   Return the upstream's id, which does not change until it is removed.  */
upstream_id_t balance_update (balance_t *balance, str_t name, str_t zone,
                              const str_t *pools, size_t pool_count,
                              bool returning);
/* Remove upstream NAME.  Does nothing if there is none.  */
void balance_remove (balance_t *balance, str_t name);
/* Return the id of upstream NAME, or 0 if there is none.  */
upstream_id_t balance_find (const balance_t *balance, str_t name);

/* Set MARK on upstream ID, or clear the mark if IS_SET is false.  A marked
   upstream gets no new requests.  Its ramp starts when the last mark is
   cleared.  */
void balance_set_mark (balance_t *balance, upstream_id_t id,
                       balance_mark_t mark, bool is_set);
/* Enable ZONE with a ramp if ENABLED is set, otherwise disable it.  */
void balance_set_zone_enabled (balance_t *balance, str_t zone, bool enabled);

/* Record a load report that was made AGE_MS ago.  A report that is older than
   the last one is ignored.  */
void balance_record_load (balance_t *balance, upstream_id_t id,
                          const balance_load_t *load, uint64_t age_ms);
/* Record a cache event: upstream ID has the prefix AFFINITY in its cache if
   STORED is set, or has evicted it.  Events may be late or lost.  */
void balance_cache_event (balance_t *balance, upstream_id_t id,
                          uint64_t affinity, bool stored);

/* Select an upstream for REQUEST and store it in *ID.  Return VH_OK, or
   VH_E_NO_UPSTREAM if no upstream of the pool can be selected.  */
vh_code_t balance_pick (balance_t *balance, const balance_request_t *request,
                        upstream_id_t *id);

/* Count a request as sent to upstream ID.  */
void balance_request_started (balance_t *balance, upstream_id_t id);
/* Count a request at upstream ID as ended; OK is false if the upstream
   failed.  */
void balance_request_ended (balance_t *balance, upstream_id_t id, bool ok);

/* Return the mean reported load per slot of POOL, which falls with the time
   since the last report; 1 if every slot is taken, 0 if there were no
   reports.  */
double balance_pressure (const balance_t *balance, pool_id_t pool);

/* Write at most CAPACITY upstreams of the subset of POOL to IDS, and return
   the size of the whole subset.  The gateway keeps connections to these
   upstreams open.  */
size_t balance_subset (const balance_t *balance, pool_id_t pool,
                       upstream_id_t *ids, size_t capacity);
/* Fill INFO for upstream ID.  Return false if there is none.  */
bool balance_info (balance_t *balance, upstream_id_t id, balance_info_t *info);
/* Fill INFO for the next upstream and advance *CURSOR, which starts at 0.
   Return false after the last upstream.  */
bool balance_next_upstream (balance_t *balance, size_t *cursor,
                            balance_info_t *info);
/* Return the number of upstreams.  */
size_t balance_upstream_count (const balance_t *balance);

#endif
