/* The upstream instances of all services, and the selection of an instance for
   each request.

   Load pattern: many gateways select among the same instances without
   coordinating with each other.

   - Requests that share a prompt prefix: rendezvous hashing sends them to the
     instance that has the prefix in its cache, the same one at every gateway.
     Without it each gateway fills the cache of an instance of its own.
   - A hot prefix: an instance that carries POOL_HOT_LOAD_FACTOR times the mean
     load is skipped, and the instance with the next highest hash is used as
     well.  Without it one instance queues requests while its peers are idle.
   - A cold instance fails at a request rate that a warm one sustains: all
     gateways together have a rate limit for it, and each gateway uses its own
     share of that limit (policy/allotment.h).  Instances turn cold without
     notice, so warm instances are limited too, at the rate above which a cold
     instance fails.
   - An instance that announces a rate limit (policy/ratelimit.h) gets requests
     in this gateway's time slots only; others take the rest, also those with
     affinity to it.  Extra sends (retries, resumed streams, escalations) go to
     it only if no other instance may get them, so that the limit serves first
     sends.
   - An instance that says that it is leaving gets nothing more, whatever its
     registration says: the store may not have its report yet.  That ends when
     another process registers under its id, or when its registration changes
     back from draining.
   - An instance that asks for a pause gets nothing before the pause ends.  It
     runs nothing, so without that it is the least loaded one and is tried
     first.
   - Instances of different speed (policy/instance_speed.h): compared by the
     number of requests, the fast ones are idle while the others are crowded.
     As soon as one instance of a service has a known time factor, instances
     are compared by the time that their requests take, and the affinity
     instance is one whose load is about the lowest.  The lasting factor
     counts, not the momentary one, which gains nothing as it is over before a
     response ends.  Gateways that agree on the factors but
     do not know each other's sends would all send to the fast instances, so
     an instance without a recent report counts as loaded like the others, and
     among instances of equal load each is selected in proportion to its
     speed.
   - A full instance: its load report keeps requests away for
     POOL_FULL_DECAY_MS.
   - A failing instance: POOL_EJECTION_FAILURES consecutive failures eject it
     for POOL_EJECTION_FIRST_MS, doubled for each further ejection up to
     POOL_EJECTION_MAX_MS.  If all instances are ejected, all are used: the
     fault is then elsewhere.
   - The first traffic share of a new version: it goes to only as many
     instances as make each of them slightly more loaded than those of the old
     version.  Spread over all instances, a tenth of the traffic leaves them
     idle, and a version that is slow or fails under load passes until it has
     all traffic.
   - A request suspected of crashing the instances that run it
     (policy/poison.h) goes to an instance without another suspect and without
     requests that must not be repeated, as long as there is one, and those
     requests avoid the instances with suspects.
   - An instance that sends no data while requests run there: the instance is
     probed, and ejected immediately if it accepts no connection.  */

#ifndef POLICY_POOL_H
#define POLICY_POOL_H

#include "base/clock.h"
#include "base/code.h"
#include "base/str.h"
#include "policy/allotment.h"
#include "policy/instance_speed.h"
#include "policy/poison.h"
#include "policy/ratelimit.h"

#define POOL_HOT_LOAD_FACTOR 1.5

enum
{
  /* At an error rate of a tenth, three consecutive failures occur by chance
     once in 1,000.  */
  POOL_EJECTION_FAILURES = 3,
  /* Length of the first ejection.  A crashed instance restarts within seconds,
     and testing it with one live request each second costs one retry.  */
  POOL_EJECTION_FIRST_MS = 1000,
  POOL_EJECTION_MAX_MS = 8000,
  /* Requests added to the load limit for affinity: an instance below this load
     is never too hot.  In a batch this small each request is as fast as
     alone.  */
  POOL_HOT_LOAD_MIN = 6,
  /* Window over which the request rate of a cold instance is counted.  */
  POOL_RATE_WINDOW_MS = 1000,
  /* Send times kept for each instance, and so the highest rate limit.  */
  POOL_SEND_TIMES_MAX = 64,
  /* Age at which a load report no longer counts.  */
  POOL_REPORT_DECAY_MS = 2000,
  /* Age at which a report of full slots no longer counts: a plain service
     responds within some dozens of milliseconds.  An instance that is taken
     for full gets no requests, so no response would ever correct the
     report.  */
  POOL_FULL_DECAY_MS = 300,
  /* Prompt tokens waiting for prefill that count as much as one running
     request: a prefill chunk delays the tokens of a whole batch as much as
     tens of further requests in the batch do.  */
  POOL_PROMPT_TOKENS_PER_REQUEST = 1000,
  /* Time without data after which an instance with running requests is probed.
     An engine generates a token for each request some dozens of times a
     second, so an instance that sends nothing is either busy with the prompts
     of other gateways or down.  */
  POOL_SILENCE_TIMEOUT_MS = 500,
  /* Time from a successful probe to the next one: a probe's connection costs a
     hundredth of a short response.  */
  POOL_PROBE_INTERVAL_MS = 1000,
  /* Prefill rate of a slow, cold engine, in prompt tokens per ms, during which
     it generates no tokens: a third of the rate of a warm engine with its
     largest model.  */
  POOL_PREFILL_TOKENS_PER_MS = 12,
  /* Time for which it is known after the end of a registration that it ended,
     and that the instance is leaving or in a pause: longer than an instance
     takes to stop.  */
  POOL_NOTICE_MEMORY_MS = 600000,
  /* Least time between two notices of a change of one instance's time
     factor.  */
  POOL_TIME_FACTOR_NOTICE_MS = 30000,
  /* Longest pause that an instance gets on its request.  */
  POOL_PAUSE_MAX_MS = 3600000
};

typedef struct pool pool_t;
typedef struct upstream upstream_t;

/* The registration of an instance.  */
typedef struct
{
  str_t id;
  str_t service;
  str_t address;
  str_t zone;
  str_t version;
  uint32_t slots;
  bool draining;
  uint64_t cold_ms;     /* Remaining time until the instance is warm.  */
  uint64_t incarnation; /* Differs for each process start under an id.  */
  uint64_t sequence;    /* Rises with each write of the registration by one
                           process; 0: unknown.  */
} upstream_info_t;

typedef struct
{
  str_t zone; /* Availability zone of this gateway.  */
  /* The gateways that share the rate limits of the instances; NULL if this
     gateway is the only one.  Borrowed; must outlive the pool.  */
  const allotment_t *gateways;
  /* All gateways together send a cold instance at most rate * cold_factor +
     cold_slack requests a second.  */
  double cold_factor;
  double cold_slack;
  bool ignores_time_factors; /* Time factors have no effect.  */
} pool_options_t;

typedef enum
{
  VERSION_ARM_ANY,
  VERSION_ARM_OLD, /* All versions except the one on trial.  */
  VERSION_ARM_NEW  /* Only the version on trial.  */
} version_arm_t;

enum
{
  POOL_TRIED_MAX = 8
};

/* Input of pool_select: the instances that a request may be sent to, the rate
   limit of a cold one, and the request's affinity.  */
typedef struct
{
  str_t service;
  /* Requests a second that a cold instance sustains; 0 for no rate limit.  */
  double cold_rate_per_s;
  version_arm_t arm;
  str_t version; /* The version on trial; unused with VERSION_ARM_ANY.  */
  /* Number of instances that get requests while they have free slots, the same
     ones at every gateway; 0 for all.  */
  size_t max_instances;
  uint64_t affinity_key; /* Hash of the shared prompt prefix; 0 for none.  */
  bool is_extra_send;    /* The request was sent before.  */
  bool is_repeatable;    /* The request may be run more than once.  */
  poison_class_t poison_class;
  /* Instances that this request was already sent to; none is selected
     again.  */
  const upstream_t *const *tried;
  size_t tried_count;
} pool_criteria_t;

typedef enum
{
  SEND_OK,       /* The instance completed the request.  */
  SEND_REFUSED,  /* The instance reported that it did not run the request.  */
  SEND_FAILED,   /* Connection lost, timeout, or error response.  */
  SEND_CANCELLED /* Cancelled by the gateway; counts as neither success nor
                    failure.  */
} send_outcome_t;

/* What this gateway's reports tell of the time that work takes at an
   instance.  */
typedef struct
{
  str_t id;
  uint64_t incarnation;
  double factor;   /* Mean of the reports; 1 means as usual.  */
  uint64_t age_ms; /* Age of the last report.  */
} pool_time_factor_t;

pool_t *pool_create (clock_iface_t *clock, uint64_t seed,
                     const pool_options_t *options);
void pool_destroy (pool_t *pool);

/* Add the instance with the id in INFO, or update its registration.  Of an
   instance whose process wrote a later registration than INFO, only the end of
   its registration is taken back.  */
void pool_put (pool_t *pool, const upstream_info_t *info);
/* Handle the end of the registration of instance ID.  The instance remains
   selectable for KEEP_MS, because registrations also expire while the store is
   unavailable; with 0 it is removed immediately.  */
void pool_unregister (pool_t *pool, str_t id, uint64_t keep_ms);
/* Return whether the registration of the process in INFO, or a later one of
   the same process, has ended.  */
bool pool_was_removed (const pool_t *pool, const upstream_info_t *info);
/* Set whether VERSION of SERVICE is withdrawn.  A withdrawn version gets no
   requests, whichever version is on trial.  */
void pool_set_version_withdrawn (pool_t *pool, str_t service, str_t version,
                                 bool withdrawn);
/* Append the withdrawn versions of SERVICE to OUT, each after a space.  */
void pool_append_withdrawn_versions (const pool_t *pool, str_t service,
                                     buf_t *out);
/* Set whether the instances in ZONE are excluded from selection.  */
void pool_set_zone_disabled (pool_t *pool, str_t zone, bool disabled);

/* Select an instance for CRITERIA and store it in *OUT.  Return VH_OK,
   VH_E_NO_UPSTREAM if no instance is eligible, VH_E_PAUSED if each one that
   otherwise is asked for a pause, VH_E_LIMITED if each eligible
   instance announced a rate limit of which this gateway has nothing left now,
   or VH_E_FULL if the eligible instances are at some limit.  */
vh_code_t pool_select (pool_t *pool, const pool_criteria_t *criteria,
                       upstream_t **out);
/* Return how many instances the last selection passed over only because of the
   rate limits that they announced.  */
size_t pool_passed_over_count (const pool_t *pool);
/* Return how many instances the last selection passed over in their
   pauses.  */
size_t pool_paused_count (const pool_t *pool);
/* Return the time in ms until the first pause of the instances for CRITERIA
   ends; 0 if one of them is not in a pause, or there is none.  */
uint64_t pool_pause_left_ms (pool_t *pool, const pool_criteria_t *criteria);
/* Return the time in ms until this gateway has a slot of an announced limit
   for CRITERIA that it has not promised to another caller yet; 0 if no
   instance for CRITERIA has a limit.  Promise the slot if the time is at most
   MAX_WAIT_MS, the longest time that the caller can wait.  */
uint64_t pool_promise_slot (pool_t *pool, const pool_criteria_t *criteria,
                            uint64_t max_wait_ms);
/* Return the cell of UPSTREAM of CELL_COUNT, which the instances of its
   version share evenly; see instance_cells.h.  One that was removed keeps
   its last.  */
uint32_t pool_instance_cell (upstream_t *upstream, uint32_t cell_count);
/* Return the number of instances of SERVICE in ARM that may get requests, now
   or after a pause, or MAX_COUNT if there are more.  VERSION is the version on
   trial.  */
size_t pool_count_instances (pool_t *pool, str_t service, version_arm_t arm,
                             str_t version, size_t max_count);
/* Count a request with PROMPT_TOKENS prompt tokens as sent to UPSTREAM, and
   take a reference to UPSTREAM that pool_request_finished releases.  */
void pool_request_started (pool_t *pool, upstream_t *upstream,
                           uint32_t prompt_tokens);
/* Count PROMPT_TOKENS prompt tokens as processed, at the first response event
   of a request.  */
void pool_prompt_processed (upstream_t *upstream, uint32_t prompt_tokens);
/* Count a request as finished with OUTCOME.  PROMPT_TOKENS is its number of
   prompt tokens, or 0 if pool_prompt_processed was called for the request.  */
void pool_request_finished (pool_t *pool, upstream_t *upstream,
                            uint32_t prompt_tokens, send_outcome_t outcome);
/* Record that data was received from UPSTREAM.  */
void pool_data_received (pool_t *pool, upstream_t *upstream);
/* Return the time, in ms, at which UPSTREAM must be probed if no data arrives
   before: POOL_SILENCE_TIMEOUT_MS plus the prefill time of its pending prompts
   after the last data.  Return 0 if UPSTREAM is unreachable.  Valid only while
   requests of this gateway run at UPSTREAM.  */
uint64_t pool_probe_due_ms (const upstream_t *upstream);
/* Record whether a probe of instance ID could connect.  If IS_REACHABLE is
   false, the instance is ejected, and counts as unreachable until it sends
   data or gets a new request.  */
void pool_probe_finished (pool_t *pool, str_t id, bool is_reachable);
bool upstream_is_unreachable (const upstream_t *upstream);
/* Record the load that a response of UPSTREAM reported; SLOTS 0 if its number
   of slots was not reported.  */
void pool_record_load (pool_t *pool, upstream_t *upstream, uint32_t running,
                       uint32_t waiting, uint32_t slots);
/* Record that UPSTREAM reported that work takes PERCENT of the usual time
   there now.  Return false, without an effect, if PERCENT is out of the range
   of policy/instance_speed.h.  */
bool pool_record_time_factor (pool_t *pool, upstream_t *upstream,
                              uint32_t percent);
/* Record that work takes FACTOR times the usual time at the process
   INCARNATION of instance ID, as another gateway found AGE_MS ago.  Return
   false, without an effect, if there is no such process, if FACTOR is out of
   range, or if a newer one was heard.  */
bool pool_hear_time_factor (pool_t *pool, str_t id, uint64_t incarnation,
                            double factor, uint64_t age_ms);
/* Get the next instance of which this gateway has reports of a time factor of
   its own, and update *CURSOR, which is 0 at first.  OUT->id is valid until
   the instance is removed.  Return false, with *CURSOR 0, after the last
   instance.  An instance added or removed between two calls may let others be
   listed twice or not at all.  */
bool pool_next_time_factor (const pool_t *pool, size_t *cursor,
                            pool_time_factor_t *out);
/* Return whether the lasting time factor of UPSTREAM is off by a quarter or
   more from the one that the last call with the result true set as *FACTOR, or
   from 1 before the first, and the last such call is
   POOL_TIME_FACTOR_NOTICE_MS or more ago.  If so, set *OLD_FACTOR and
   *FACTOR.  */
bool pool_take_time_factor_change (pool_t *pool, upstream_t *upstream,
                                   double *old_factor, double *factor);
/* Return the number of instances with a known time factor.  Set *LOWEST and
   *HIGHEST to the extremes of their lasting factors, or to 0 if there is
   none.  */
size_t pool_time_factor_range (const pool_t *pool, double *lowest,
                               double *highest);
/* Record that UPSTREAM stays cold for another COLD_MS.  */
void pool_set_cold (pool_t *pool, upstream_t *upstream, uint64_t cold_ms);

/* Record that UPSTREAM says that it is leaving.  Return whether it is the
   first time.  */
bool pool_announce_leaving (pool_t *pool, upstream_t *upstream);
/* Record that UPSTREAM wants no requests for PAUSE_MS, at most
   POOL_PAUSE_MAX_MS of which are applied.  A pause is never shortened.  Return
   the part that is applied; 0 if an earlier pause ends later.  */
uint64_t pool_pause (pool_t *pool, upstream_t *upstream, uint64_t pause_ms);
/* Return whether a pause of UPSTREAM has ended since the last call.  */
bool pool_take_pause_end (pool_t *pool, upstream_t *upstream);
/* Record that UPSTREAM announced a limit of RATE_PER_S, at least 0.  Return
   whether it had no limit before, or one of another rate.  */
bool pool_announce_rate_limit (pool_t *pool, upstream_t *upstream,
                               double rate_per_s);
/* Record that UPSTREAM no longer announces a limit.  Return whether it had
   one.  */
bool pool_end_rate_limit (pool_t *pool, upstream_t *upstream);
/* Set the current time of a clock that all gateways share, in ms.  Without a
   call, the pool's own clock is used.  */
void pool_set_shared_time (pool_t *pool, uint64_t shared_now_ms);
/* Set whether the list of gateways may be out of date because the store does
   not answer.  */
void pool_set_gateway_list_stale (pool_t *pool, bool is_stale);
/* Return the instance ID, or NULL if there is none.  */
upstream_t *pool_find (const pool_t *pool, str_t id);
/* Return the next instance, and update *CURSOR, which is 0 at first.  Return
   NULL after the last one.  No instance may be added or removed meanwhile.  */
const upstream_t *pool_next (const pool_t *pool, size_t *cursor);
/* Return the number of instances that announce a rate limit.  */
size_t pool_count_rate_limits (const pool_t *pool);
/* Return the monotonic time of the pool's clock, in ms.  */
uint64_t pool_now_ms (const pool_t *pool);

str_t upstream_id (const upstream_t *upstream);
/* Return the number that differs for each process start under the id.  */
uint64_t upstream_incarnation (const upstream_t *upstream);
/* Return whether UPSTREAM, by its registration or what it says, is about to
   stop.  */
bool upstream_is_leaving (const upstream_t *upstream);
str_t upstream_address (const upstream_t *upstream);
str_t upstream_version (const upstream_t *upstream);
const rate_limit_t *upstream_rate_limit (const upstream_t *upstream);
/* Return the number of requests that run or wait at UPSTREAM: those of this
   gateway, and those of others according to the last load report.  */
double upstream_request_count (const pool_t *pool, const upstream_t *upstream);
/* Return the lasting time factor of UPSTREAM, by the reports to this and other
   gateways: 1 means that work takes the usual time.  Return the mean of the
   instances of its service with a known factor if that of UPSTREAM is unknown,
   and 1 if none is known.  */
double upstream_time_factor (const pool_t *pool, const upstream_t *upstream);
/* Return whether the time factor of an instance of the service of UPSTREAM is
   known.  */
bool upstream_has_time_factor (const upstream_t *upstream);
/* Return whether UPSTREAM is ejected now.  */
bool upstream_is_ejected (const pool_t *pool, const upstream_t *upstream);
/* Return how many requests UPSTREAM runs concurrently, as last reported.  */
uint32_t upstream_slots (const upstream_t *upstream);
/* Return the requests of this gateway at UPSTREAM beside which some others do
   not start.  The caller counts them.  */
poison_in_flight_t *upstream_poison_in_flight (upstream_t *upstream);
/* Return how many requests of this gateway run at UPSTREAM.  */
uint32_t upstream_running_count (const upstream_t *upstream);

#endif
