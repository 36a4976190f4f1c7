#include "policy/pool.h"

#include "base/map.h"
#include "base/mem.h"
#include "base/rng.h"
#include "policy/instance_cells.h"

#include <math.h>
#include <stdlib.h>

enum
{
  /* Longest time for which slots are promised in advance.  */
  PROMISE_AHEAD_MAX_MS = 60000,
  /* Time after which the time factors of a service are computed again, and
     the number of instances that adds a millisecond to it: with 11,000
     instances a computation takes 2 ms.  */
  TIME_FACTORS_INTERVAL_MS = 100,
  TIME_FACTORS_PER_MS = 10,
  /* Age of the last report from which a time factor above the mean approaches
     the mean, and the time in which it goes half the way.  A slow instance
     gets few requests or none, so no report would tell that it has
     recovered.  */
  SLOW_MEMORY_MS = 1000,
  SLOW_HALF_LIFE_MS = 2000
};

/* Requests whose time an idle instance takes for one request: the time between
   two events is about 27 ms + 2.6 ms for each running request.  */
static const double idle_requests = 10;

/* Scale of the random costs where time factors are known, in requests for
   each instance in the zone of this gateway: the least random cost of N
   instances is an Nth of the scale.  Gateways do not know each other's last
   sends, so those that agree on the factors would all send to the same
   instances; with a higher scale, slow instances and those in other zones get
   more than their part.  */
static const double random_requests_per_instance = 0.4;

/* Change of a time factor from which it is noticed.  */
static const double noticed_change = 1.25;

/* Weight of a load report in the mean load of the instances.  */
static const double mean_load_weight = 1.0 / 16;

/* Load, as compared, by which the instance of affinity may exceed the lowest
   one where time factors are known.  A shared prompt prefix that is read again
   delays the streams at an instance about as much as this many requests more
   do.  */
static const double affinity_load_margin = 4;

/* Multiple of its share of the rate limit that this gateway may use at a warm
   instance.  Above one, because the load of callers is uneven and the gateways
   do not all reach their shares of one instance at the same time.  */
static const double warm_share_factor = 2.5;

/* Part of an announced rate that is used while the list of gateways may be out
   of date: gateways that joined last are then unknown to the others, so up to
   twice the rate would be used.  */
static const double stale_list_rate_part = 0.5;

/* The instances of one service, in an array of their own so that a selection
   reads no instance of another service.  */
typedef struct
{
  upstream_t **upstreams;
  size_t count;
  size_t capacity;
  double mean_time_factor;   /* Of the instances with a known time factor; 0 if
                                there is none.  */
  double random_cost;        /* Scale of the random costs, in requests.  */
  double mean_compared_load; /* By the last load reports; 0 if there was
                                none.  */
  uint64_t time_factors_due_ms; /* Monotonic time at which the time factors of
                                   the instances are computed again.  */
  uint32_t cell_count; /* Of the instances' cells; 0: to be assigned.  */
} service_group_t;

struct upstream
{
  /* The fields that each selection reads come first, so that they share cache
     lines.  */
  bool is_unregistered; /* Whether the registration has ended.  */
  bool is_own_zone;
  uint32_t slots;
  uint32_t running_count; /* Running requests of this gateway.  */
  uint32_t send_time_index;
  /* Monotonic time until which the instance gets no requests because of its
     pause or its state; UINT64_MAX if its state has no known end.  */
  uint64_t excluded_until_ms;
  uint64_t usable_until_ms; /* Monotonic time until which the instance may be
                               selected if it is unregistered.  */
  uint64_t ejected_until_ms;
  uint64_t id_hash;
  uint64_t version_hash;
  uint64_t pending_prompt_tokens; /* Prompt tokens of this gateway awaiting
                                     prefill.  */
  /* Requests of other gateways in the last load report.  */
  double other_requests;
  uint64_t reported_ms;
  /* Time factor for comparisons of the load.  Used, as the two fields after
     it, only if an instance of the service has a known time factor.  */
  double time_factor;
  double expected_requests; /* Of other gateways, where no report is recent.
                             */
  double candidate_load;    /* Load, as compared, with the cost of another
                               zone, in the selection in progress; INFINITY
                               if the instance may not be selected.  */
  uint64_t cold_until_ms;
  uint64_t rank_generation; /* Generation of the gateway list from which RANK
                               was computed.  */
  size_t rank; /* Rank of this gateway in sharing the rate limit.  */
  rate_limit_t rate_limit;  /* Limit that the instance announced.  */
  double promised_until_ms; /* Shared time up to whose slots of RATE_LIMIT all
                               are promised to callers that return.  */
  uint64_t send_times[POOL_SEND_TIMES_MAX]; /* Ring buffer of the last send
                                               times. */
  list_t list_node;
  service_group_t *group;
  char *id;
  char *service;
  char *address;
  char *zone;
  char *version;
  uint64_t incarnation;
  uint64_t sequence; /* Of the registration; 0: unknown.  */
  bool is_zone_disabled;
  bool is_withdrawn;
  bool draining;
  bool is_leaving;          /* The instance said that it is leaving.  */
  uint64_t paused_until_ms; /* End of the pause that the instance asked for; 0
                               if there was none or its end was taken.  */
  bool is_unreachable;      /* Whether the last probe could not connect.  */
  poison_in_flight_t poison_in_flight; /* Requests of this gateway.  */
  uint32_t cell;                       /* See pool_instance_cell.  */
  instance_speed_t speed;
  double noticed_time_factor; /* 0 for none.  */
  uint64_t noticed_ms;
  unsigned refs;
  unsigned consecutive_failures;
  uint64_t ejection_ms;      /* Length of the last ejection; 0 for none.  */
  uint64_t last_data_ms;     /* Time of the last data received, or of a request
                                sent while no other was running.  */
  uint64_t last_probe_ok_ms; /* Time of the last successful probe; 0 if there
                                was none.  */
};

struct pool
{
  clock_iface_t *clock;
  uint64_t created_ms; /* Monotonic time.  */
  rng_t rng;
  size_t paused_count;        /* Instances that the last selection passed over
                                 in their pauses.  */
  size_t passed_over_count;   /* Instances that the last selection passed over
                                 for their announced limits.  */
  bool is_gateway_list_stale; /* The list of gateways may be out of date.  */
  int64_t shared_time_offset_ms; /* Shared time minus monotonic time.  */
  char *zone;
  double cold_factor;
  double cold_slack;
  bool ignores_time_factors;
  const allotment_t *gateways;
  list_t upstreams;
  size_t unregistered_count; /* Number of instances that can still be selected
                                although their registration has ended.  */
  map_t *by_id;
  map_t *groups; /* Maps a service name to its service_group_t.  */
  map_t *disabled_zones;
  map_t *withdrawn_versions; /* Set of "SERVICE VERSION" keys.  */
  map_t *notices;            /* Maps an instance id to its notice_t.  */
};

/* What a process said of itself, and the last registration that it wrote, kept
   beyond the registration: it expires and returns in an outage of the store,
   or returns with an older copy of the store.  */
typedef struct
{
  uint64_t incarnation;
  uint64_t sequence; /* Of the last registration.  */
  bool is_leaving;
  uint64_t paused_until_ms;
  uint64_t removed_ms; /* Time at which the instance was removed.  */
} notice_t;

pool_t *
pool_create (clock_iface_t *clock, uint64_t seed,
             const pool_options_t *options)
{
  pool_t *pool = mem_zalloc (sizeof *pool);

  pool->clock = clock;
  pool->created_ms = clock_ms (clock);
  pool->rng = rng_make (seed);
  pool->zone = str_dup (options->zone);
  pool->cold_factor = options->cold_factor;
  pool->cold_slack = options->cold_slack;
  pool->ignores_time_factors = options->ignores_time_factors;
  pool->gateways = options->gateways;
  list_init (&pool->upstreams);
  pool->by_id = map_create ();
  pool->groups = map_create ();
  pool->disabled_zones = map_create ();
  pool->withdrawn_versions = map_create ();
  pool->notices = map_create ();
  return pool;
}

static void
service_group_add (service_group_t *group, upstream_t *upstream)
{
  if (group->count == group->capacity)
    {
      group->capacity = group->capacity > 0 ? 2 * group->capacity : 8;
      group->upstreams = mem_realloc (
          group->upstreams, group->capacity * sizeof *group->upstreams);
    }
  group->upstreams[group->count++] = upstream;
  group->time_factors_due_ms = 0;
  group->cell_count = 0;
  upstream->group = group;
}

static void
service_group_remove (service_group_t *group, const upstream_t *upstream)
{
  for (size_t i = 0; i < group->count; i++)
    if (group->upstreams[i] == upstream)
      {
        group->upstreams[i] = group->upstreams[--group->count];
        group->time_factors_due_ms = 0;
        group->cell_count = 0;
        return;
      }
}

static void
upstream_unref (upstream_t *upstream)
{
  if (--upstream->refs > 0)
    return;
  list_remove (&upstream->list_node);
  free (upstream->id);
  free (upstream->service);
  free (upstream->address);
  free (upstream->zone);
  free (upstream->version);
  free (upstream);
}

void
pool_destroy (pool_t *pool)
{
  if (pool == NULL)
    return;
  LIST_EACH (at, &pool->upstreams)
    {
      upstream_t *upstream = CONTAINER_OF (at, upstream_t, list_node);
      upstream->refs = 1;
      upstream_unref (upstream);
    }
  size_t cursor = 0;
  str_t key;
  void *group;
  while (map_next (pool->groups, &cursor, &key, &group))
    {
      free (((service_group_t *)group)->upstreams);
      free (group);
    }
  map_destroy (pool->groups);
  map_destroy (pool->by_id);
  map_destroy (pool->disabled_zones);
  map_destroy (pool->withdrawn_versions);
  cursor = 0;
  while (map_next (pool->notices, &cursor, &key, &group))
    free (group);
  map_destroy (pool->notices);
  free (pool->zone);
  free (pool);
}

static void
set_string (char **text, str_t value)
{
  if (*text != NULL && str_eq (str_from (*text), value))
    return;
  free (*text);
  *text = str_dup (value);
}

/* Forget what instances said that were removed long ago.  */
static void
expire_notices (pool_t *pool, uint64_t now_ms)
{
  size_t cursor = 0;
  str_t id;
  void *value;

  while (map_next (pool->notices, &cursor, &id, &value))
    if (now_ms - ((notice_t *)value)->removed_ms >= POOL_NOTICE_MEMORY_MS)
      {
        map_remove (pool->notices, id);
        free (value);
        cursor = 0;
      }
}

/* Keep what UPSTREAM, which is not registered, said of itself.  */
static void
keep_notice (pool_t *pool, const upstream_t *upstream)
{
  uint64_t now_ms = clock_ms (pool->clock);
  notice_t *notice;

  if (!upstream->is_leaving && now_ms >= upstream->paused_until_ms
      && upstream->sequence == 0)
    return;
  expire_notices (pool, now_ms);
  notice = mem_zalloc (sizeof *notice);
  *notice = (notice_t){ .incarnation = upstream->incarnation,
                        .sequence = upstream->sequence,
                        .is_leaving = upstream->is_leaving,
                        .paused_until_ms = upstream->paused_until_ms,
                        .removed_ms = now_ms };
  free (map_put (pool->notices, str_from (upstream->id), notice));
}

/* Remove UPSTREAM from the pool.  Its running requests hold references and
   keep it allocated.  */
static void
remove_upstream (pool_t *pool, upstream_t *upstream)
{
  if (upstream->is_unregistered)
    pool->unregistered_count--;
  upstream->is_unregistered = true;
  upstream->usable_until_ms = 0;
  service_group_remove (upstream->group, upstream);
  map_remove (pool->by_id, str_from (upstream->id));
  keep_notice (pool, upstream);
  upstream_unref (upstream);
}

/* Remove the unregistered instances that may no longer be selected.  */
static void
remove_expired_upstreams (pool_t *pool, uint64_t now_ms)
{
  if (pool->unregistered_count == 0)
    return;
  LIST_EACH (at, &pool->upstreams)
    {
      upstream_t *upstream = CONTAINER_OF (at, upstream_t, list_node);
      if (upstream->is_unregistered && upstream->usable_until_ms != 0
          && now_ms >= upstream->usable_until_ms)
        remove_upstream (pool, upstream);
    }
}

static service_group_t *
find_or_add_group (pool_t *pool, str_t service)
{
  service_group_t *group = map_get (pool->groups, service);

  if (group == NULL)
    {
      group = mem_zalloc (sizeof *group);
      map_put (pool->groups, service, group);
    }
  return group;
}

/* Update excluded_until_ms of UPSTREAM after a change of the fields that are
   read here.  */
static void
update_exclusion (upstream_t *upstream)
{
  bool is_excluded = upstream->draining || upstream->is_leaving
                     || upstream->is_zone_disabled || upstream->is_withdrawn;

  upstream->excluded_until_ms
      = is_excluded ? UINT64_MAX : upstream->paused_until_ms;
}

static void
format_withdrawn_key (str_t service, str_t version, buf_t *out)
{
  buf_append_str (out, service);
  buf_append_char (out, ' ');
  buf_append_str (out, version);
}

static bool
is_version_withdrawn (const pool_t *pool, str_t service, str_t version)
{
  buf_t key = BUF_NULL;

  format_withdrawn_key (service, version, &key);
  bool found = map_get (pool->withdrawn_versions, buf_str (&key)) != NULL;
  buf_free (&key);
  return found;
}

void
pool_set_version_withdrawn (pool_t *pool, str_t service, str_t version,
                            bool withdrawn)
{
  buf_t key = BUF_NULL;

  format_withdrawn_key (service, version, &key);
  if (withdrawn)
    map_put (pool->withdrawn_versions, buf_str (&key), pool);
  else
    map_remove (pool->withdrawn_versions, buf_str (&key));
  buf_free (&key);
  LIST_EACH (at, &pool->upstreams)
    {
      upstream_t *upstream = CONTAINER_OF (at, upstream_t, list_node);
      if (str_eq (str_from (upstream->service), service)
          && str_eq (str_from (upstream->version), version))
        {
          upstream->is_withdrawn = withdrawn;
          update_exclusion (upstream);
        }
    }
}

void
pool_append_withdrawn_versions (const pool_t *pool, str_t service, buf_t *out)
{
  size_t cursor = 0;
  str_t key;
  void *value;

  while (map_next (pool->withdrawn_versions, &cursor, &key, &value))
    {
      str_t version;
      if (!str_eq (str_cut (key, ' ', &version), service))
        continue;
      buf_append_char (out, ' ');
      buf_append_str (out, version);
    }
}

/* Set what the process registered in INFO said of itself before its last
   registration ended.  What another process under the same id said is
   forgotten.  */
static void
recall_notice (pool_t *pool, const upstream_info_t *info, upstream_t *upstream)
{
  notice_t *notice = map_remove (pool->notices, info->id);

  if (notice != NULL && notice->incarnation == info->incarnation)
    {
      upstream->is_leaving = notice->is_leaving;
      upstream->paused_until_ms = notice->paused_until_ms;
    }
  free (notice);
}

bool
pool_was_removed (const pool_t *pool, const upstream_info_t *info)
{
  const notice_t *notice = map_get (pool->notices, info->id);

  return notice != NULL && map_get (pool->by_id, info->id) == NULL
         && notice->incarnation == info->incarnation && info->sequence != 0
         && info->sequence <= notice->sequence;
}

static void
take_back_unregistration (pool_t *pool, upstream_t *upstream)
{
  if (upstream->is_unregistered)
    pool->unregistered_count--;
  upstream->is_unregistered = false;
}

void
pool_put (pool_t *pool, const upstream_info_t *info)
{
  uint64_t now_ms = clock_ms (pool->clock);
  upstream_t *upstream = map_get (pool->by_id, info->id);

  if (upstream != NULL && upstream->incarnation == info->incarnation
      && info->sequence != 0 && info->sequence < upstream->sequence)
    {
      take_back_unregistration (pool, upstream);
      return;
    }

  if (upstream != NULL
      && (upstream->incarnation != info->incarnation
          || !str_eq (str_from (upstream->service), info->service)
          || !str_eq (str_from (upstream->address), info->address)))
    {
      /* The state that was recorded for an instance does not apply to a
         process that restarted under the same id.  */
      remove_upstream (pool, upstream);
      upstream = NULL;
    }
  if (upstream == NULL)
    {
      upstream = mem_zalloc (sizeof *upstream);
      upstream->refs = 1;
      upstream->id = str_dup (info->id);
      upstream->id_hash = str_hash (info->id, 0);
      upstream->incarnation = info->incarnation;
      recall_notice (pool, info, upstream);
      list_append (&pool->upstreams, &upstream->list_node);
      map_put (pool->by_id, info->id, upstream);
      service_group_add (find_or_add_group (pool, info->service), upstream);
    }
  set_string (&upstream->service, info->service);
  set_string (&upstream->address, info->address);
  set_string (&upstream->zone, info->zone);
  upstream->rank_generation = 0;
  set_string (&upstream->version, info->version);
  if (upstream->version_hash != str_hash (info->version, 0))
    upstream->group->cell_count = 0;
  upstream->version_hash = str_hash (info->version, 0);
  upstream->is_own_zone = str_eq (info->zone, str_from (pool->zone));
  upstream->is_zone_disabled
      = map_get (pool->disabled_zones, info->zone) != NULL;
  upstream->is_withdrawn
      = is_version_withdrawn (pool, info->service, info->version);
  upstream->slots = info->slots;
  if (upstream->draining && !info->draining)
    upstream->is_leaving = false;
  upstream->draining = info->draining;
  update_exclusion (upstream);
  upstream->sequence = info->sequence;
  take_back_unregistration (pool, upstream);
  if (info->cold_ms > 0)
    upstream->cold_until_ms = now_ms + info->cold_ms;
}

void
pool_unregister (pool_t *pool, str_t id, uint64_t keep_ms)
{
  upstream_t *upstream = map_get (pool->by_id, id);

  if (upstream == NULL)
    return;
  if (keep_ms == 0)
    {
      remove_upstream (pool, upstream);
      return;
    }
  if (!upstream->is_unregistered)
    pool->unregistered_count++;
  upstream->is_unregistered = true;
  upstream->usable_until_ms = clock_ms (pool->clock) + keep_ms;
}

void
pool_set_zone_disabled (pool_t *pool, str_t zone, bool disabled)
{
  if (disabled)
    map_put (pool->disabled_zones, zone, pool);
  else
    map_remove (pool->disabled_zones, zone);
  LIST_EACH (at, &pool->upstreams)
    {
      upstream_t *upstream = CONTAINER_OF (at, upstream_t, list_node);
      if (str_eq (str_from (upstream->zone), zone))
        {
          upstream->is_zone_disabled = disabled;
          update_exclusion (upstream);
        }
    }
}

/* Return the number of gateways that share the limits, and set *RANK to the
   rank of this gateway for UPSTREAM.  */
static size_t
gateway_rank (const pool_t *pool, upstream_t *upstream, size_t *rank)
{
  const allotment_t *gateways = pool->gateways;

  *rank = 0;
  if (gateways == NULL)
    return 1;
  uint64_t generation = allotment_generation (gateways);
  if (upstream->rank_generation != generation)
    {
      upstream->rank = allotment_rank (gateways, upstream->id_hash,
                                       str_from (upstream->zone));
      upstream->rank_generation = generation;
    }
  *rank = upstream->rank;
  return allotment_gateway_count (gateways);
}

/* Return this gateway's share of a limit of BOUND requests to UPSTREAM.  */
static uint32_t
gateway_share (const pool_t *pool, upstream_t *upstream, double bound)
{
  size_t rank;
  size_t count = gateway_rank (pool, upstream, &rank);

  return allotment_share (bound, rank, count);
}

static uint64_t
shared_time_ms (const pool_t *pool, uint64_t now_ms)
{
  return now_ms + (uint64_t)pool->shared_time_offset_ms;
}

/* Return whether UPSTREAM has a rate limit to enforce, and set *SLOTS to the
   slots of this gateway.  */
static bool
announced_slots (const pool_t *pool, upstream_t *upstream, uint64_t now_ms,
                 rate_limit_slots_t *slots)
{
  slots->rate_per_s
      = rate_limit_enforced_per_s (&upstream->rate_limit, now_ms);
  if (slots->rate_per_s == 0)
    return false;
  if (pool->is_gateway_list_stale)
    slots->rate_per_s *= stale_list_rate_part;
  slots->gateway_count = gateway_rank (pool, upstream, &slots->rank);
  return true;
}

/* Return whether the rate limit that UPSTREAM announced allows this gateway
   another request now.  */
static bool
is_below_announced_limit (const pool_t *pool, upstream_t *upstream,
                          uint64_t now_ms)
{
  rate_limit_slots_t slots;

  if (!announced_slots (pool, upstream, now_ms, &slots))
    return true;
  if (pool->gateways != NULL && !allotment_is_loaded (pool->gateways))
    return false;
  return rate_limit_has_slot (&upstream->rate_limit, &slots, now_ms,
                              shared_time_ms (pool, now_ms));
}

/* Return the requests a second that all gateways together send to a cold
   instance.  In the first second after the start, this gateway's predecessor
   may have used its share of the rate, so that only what the instance bears
   beyond the rate is left.  */
static double
cold_rate_bound (const pool_t *pool, double cold_rate_per_s, uint64_t now_ms)
{
  double rest_per_s
      = cold_rate_per_s * (pool->cold_factor - 1) + pool->cold_slack;

  return now_ms - pool->created_ms < POOL_RATE_WINDOW_MS
                 && rest_per_s < cold_rate_per_s
             ? rest_per_s
             : cold_rate_per_s;
}

/* Return the number of requests that this gateway may send to UPSTREAM in a
   window of POOL_RATE_WINDOW_MS.  */
static uint32_t
window_limit (const pool_t *pool, upstream_t *upstream, double cold_rate_per_s,
              uint64_t now_ms)
{
  bool is_cold = now_ms < upstream->cold_until_ms;

  if (pool->gateways != NULL && !allotment_is_loaded (pool->gateways))
    return is_cold ? 0 : 1;
  /* A warm instance may turn cold at any time, so the requests to a warm
     instance are limited too, but only to the higher rate at which a cold
     instance fails.  */
  double bound = is_cold
                     ? cold_rate_bound (pool, cold_rate_per_s, now_ms)
                     : (cold_rate_per_s * pool->cold_factor + pool->cold_slack)
                           * warm_share_factor;
  uint32_t share = gateway_share (pool, upstream, bound);
  return share < POOL_SEND_TIMES_MAX - 1 ? share : POOL_SEND_TIMES_MAX - 1;
}

/* Return whether the rate limit allows another request to UPSTREAM now.  */
static bool
is_below_rate_limit (const pool_t *pool, upstream_t *upstream,
                     double cold_rate_per_s, uint64_t now_ms)
{
  if (cold_rate_per_s <= 0)
    return true;
  uint32_t share = window_limit (pool, upstream, cold_rate_per_s, now_ms);
  if (share == 0)
    return false;
  uint64_t oldest = upstream->send_times[(upstream->send_time_index
                                          + POOL_SEND_TIMES_MAX - share)
                                         % POOL_SEND_TIMES_MAX];
  return oldest == 0 || now_ms - oldest >= POOL_RATE_WINDOW_MS;
}

/* Return the requests of other gateways at UPSTREAM by the last report, whose
   weight falls linearly to 0 at an age of DECAY_MS.  */
static double
other_requests_now (const upstream_t *upstream, uint64_t decay_ms,
                    uint64_t now_ms)
{
  uint64_t age_ms = now_ms - upstream->reported_ms;

  return age_ms >= decay_ms
             ? 0
             : upstream->other_requests * (double)(decay_ms - age_ms)
                   / (double)decay_ms;
}

/* Return the estimated requests of all gateways at UPSTREAM.  */
static double
request_count (const upstream_t *upstream, uint64_t now_ms)
{
  return upstream->running_count
         + other_requests_now (upstream, POOL_REPORT_DECAY_MS, now_ms);
}

static double
load_of (const upstream_t *upstream, uint64_t now_ms)
{
  return request_count (upstream, now_ms)
         + (double)upstream->pending_prompt_tokens
               / POOL_PROMPT_TOKENS_PER_REQUEST;
}

/* Return the load of UPSTREAM, of GROUP, that instances are compared by: the
   number of requests, or the time that they take if time factors are known.
   A report that gets older gives way to the number that makes the instance
   take as long as the others, because all gateways prefer the fast ones: as
   idle they would get the requests of all gateways.  */
static double
compared_load (const service_group_t *group, const upstream_t *upstream,
               uint64_t now_ms)
{
  if (group->mean_time_factor == 0)
    return load_of (upstream, now_ms);
  uint64_t age_ms = now_ms - upstream->reported_ms;
  double fresh_part = age_ms < POOL_REPORT_DECAY_MS
                          ? 1 - (double)age_ms / POOL_REPORT_DECAY_MS
                          : 0;
  double requests = upstream->running_count
                    + fresh_part * upstream->other_requests
                    + (1 - fresh_part) * upstream->expected_requests;
  return upstream->time_factor
         * (idle_requests + requests
            + (double)upstream->pending_prompt_tokens
                  / POOL_PROMPT_TOKENS_PER_REQUEST);
}

/* Return whether UPSTREAM is eligible apart from its pause.  */
static bool
is_usable (const upstream_t *upstream, const pool_criteria_t *criteria,
           uint64_t version_hash, uint64_t now_ms)
{
  if (upstream->excluded_until_ms == UINT64_MAX
      || (upstream->is_unregistered && now_ms >= upstream->usable_until_ms))
    return false;
  if (criteria->arm != VERSION_ARM_ANY
      && (upstream->version_hash == version_hash)
             != (criteria->arm == VERSION_ARM_NEW))
    return false;
  for (size_t i = 0; i < criteria->tried_count; i++)
    if (criteria->tried[i] == upstream)
      return false;
  return true;
}

/* Return whether UPSTREAM may get requests for CRITERIA, apart from its load
   and its ejection.  */
static bool
is_eligible (const upstream_t *upstream, const pool_criteria_t *criteria,
             uint64_t version_hash, uint64_t now_ms)
{
  return now_ms >= upstream->excluded_until_ms
         && is_usable (upstream, criteria, version_hash, now_ms);
}

/* Return whether UPSTREAM has a free slot and may get another request, apart
   from the limit that it announced.  */
static bool
has_capacity (const pool_t *pool, upstream_t *upstream,
              const pool_criteria_t *criteria, uint64_t now_ms)
{
  return is_below_rate_limit (pool, upstream, criteria->cold_rate_per_s,
                              now_ms)
         && upstream->running_count
                    + other_requests_now (upstream, POOL_FULL_DECAY_MS, now_ms)
                < upstream->slots;
}

/* Return the mean load of the instances in GROUP that are eligible for
   CRITERIA; 0 if there are none.  */
static double
mean_eligible_load (const service_group_t *group,
                    const pool_criteria_t *criteria, uint64_t now_ms)
{
  uint64_t version_hash = str_hash (criteria->version, 0);
  double sum = 0;
  unsigned count = 0;

  for (size_t i = 0; i < group->count; i++)
    {
      const upstream_t *upstream = group->upstreams[i];
      if (!is_eligible (upstream, criteria, version_hash, now_ms))
        continue;
      sum += load_of (upstream, now_ms);
      count++;
    }
  return count > 0 ? sum / count : 0;
}

/* Return the load of UPSTREAM, of GROUP, as compared, plus the cost of
   crossing to another zone, expressed in requests.  */
static double
selection_load (const service_group_t *group, const upstream_t *upstream,
                uint64_t now_ms)
{
  static const double zone_cost = 2;
  double load = compared_load (group, upstream, now_ms);

  if (!upstream->is_own_zone)
    load += zone_cost;
  return load;
}

/* Return LOAD, the selection_load of UPSTREAM, of GROUP.  Where time factors
   are known, add a random cost: an exponential variate in proportion to the
   factor, so that among instances of equal load each is selected in proportion
   to its speed.  The result may be any value above LIMIT if it is above
   LIMIT.  */
static double
selection_cost (pool_t *pool, const service_group_t *group,
                const upstream_t *upstream, double load, double limit)
{
  if (group->mean_time_factor == 0)
    return load;
  double part = 1 - rng_double (&pool->rng);
  double scale = group->random_cost * upstream->time_factor;
  /* A lower bound of the cost, which spares most logarithms.  */
  double least_cost = load + scale * (1 - part);
  return least_cost > limit ? least_cost : load - scale * log (part);
}

/* The instances with the highest rendezvous hashes for an affinity key among
   those examined so far.  */
typedef struct
{
  /* Instance with the highest hash in the zone of this gateway; NULL for
     none.  */
  upstream_t *highest_in_own_zone;
  uint64_t highest_hash_in_own_zone;
  /* Instance with the highest hash in all zones; NULL for none.  */
  upstream_t *highest;
  uint64_t highest_hash;
} affinity_choice_t;

/* Update AFFINITY if UPSTREAM has a higher rendezvous hash for the affinity
   key of CRITERIA.  Each zone has an affinity instance of its own, because
   traffic between zones costs more than a second prefill of the shared prompt
   prefix.  */
static void
update_affinity_choice (upstream_t *upstream, const pool_criteria_t *criteria,
                        affinity_choice_t *affinity)
{
  bool is_own_zone = upstream->is_own_zone;
  uint64_t hash
      = rendezvous_weight (upstream->id_hash, criteria->affinity_key);

  if (affinity->highest == NULL || hash > affinity->highest_hash)
    {
      affinity->highest = upstream;
      affinity->highest_hash = hash;
    }
  if (is_own_zone
      && (affinity->highest_in_own_zone == NULL
          || hash > affinity->highest_hash_in_own_zone))
    {
      affinity->highest_in_own_zone = upstream;
      affinity->highest_hash_in_own_zone = hash;
    }
}

/* Set AFFINITY to the affinity instances of GROUP for CRITERIA among those
   whose candidate_load is at most MAX_LOAD.  */
static void
choose_affinity (const service_group_t *group, const pool_criteria_t *criteria,
                 double max_load, affinity_choice_t *affinity)
{
  for (size_t i = 0; i < group->count; i++)
    if (group->upstreams[i]->candidate_load <= max_load)
      update_affinity_choice (group->upstreams[i], criteria, affinity);
}

/* Return the lasting time factor of UPSTREAM, or the mean of its service if it
   is unknown.  */
static double
lasting_time_factor (const upstream_t *upstream)
{
  double mean = upstream->group->mean_time_factor;

  return !instance_speed_is_known (&upstream->speed) && mean > 0
             ? mean
             : instance_speed_lasting (&upstream->speed);
}

/* Update the time factors of UPSTREAM after those of its service.  */
static void
update_upstream_time_factor (upstream_t *upstream, uint64_t now_ms)
{
  const service_group_t *group = upstream->group;
  double mean = group->mean_time_factor;
  const instance_speed_t *speed = &upstream->speed;

  upstream->time_factor = lasting_time_factor (upstream);
  if (upstream->time_factor > mean && instance_speed_is_known (speed))
    {
      uint64_t age_ms = instance_speed_age_ms (speed, now_ms);
      if (age_ms > SLOW_MEMORY_MS)
        upstream->time_factor
            = mean
              + (upstream->time_factor - mean)
                    * exp2 (-(double)(age_ms - SLOW_MEMORY_MS)
                            / SLOW_HALF_LIFE_MS);
    }
  upstream->expected_requests = fmax (
      0, group->mean_compared_load / upstream->time_factor - idle_requests);
}

/* Update the time factors of GROUP.  */
static void
update_time_factors (service_group_t *group, uint64_t now_ms)
{
  double sum = 0;
  size_t count = 0;
  size_t own_zone_count = 0;

  for (size_t i = 0; i < group->count; i++)
    {
      const upstream_t *upstream = group->upstreams[i];
      own_zone_count += upstream->is_own_zone;
      if (!instance_speed_is_known (&upstream->speed))
        continue;
      sum += instance_speed_lasting (&upstream->speed);
      count++;
    }
  group->mean_time_factor = count > 0 ? sum / (double)count : 0;
  for (size_t i = 0; i < group->count && count > 0; i++)
    update_upstream_time_factor (group->upstreams[i], now_ms);
  group->random_cost
      = random_requests_per_instance
        * (double)(own_zone_count > 0 ? own_zone_count : group->count);
  group->time_factors_due_ms
      = now_ms + TIME_FACTORS_INTERVAL_MS + group->count / TIME_FACTORS_PER_MS;
}

static int
compare_hashes (const void *a, const void *b)
{
  uint64_t x = *(const uint64_t *)a;
  uint64_t y = *(const uint64_t *)b;

  return x < y ? -1 : x > y;
}

/* Return the highest id hash among the CRITERIA->max_instances eligible
   instances with the lowest id hashes, including those already tried.  Return
   UINT64_MAX if all instances may be used.  */
static uint64_t
id_hash_limit (const service_group_t *group, const pool_criteria_t *criteria,
               uint64_t version_hash, uint64_t now_ms)
{
  pool_criteria_t untried_criteria = *criteria;
  size_t count = 0;

  if (criteria->max_instances == 0 || criteria->max_instances >= group->count)
    return UINT64_MAX;
  untried_criteria.tried_count = 0;
  uint64_t *hashes = mem_alloc (group->count * sizeof *hashes);
  for (size_t i = 0; i < group->count; i++)
    if (is_eligible (group->upstreams[i], &untried_criteria, version_hash,
                     now_ms)
        && now_ms >= group->upstreams[i]->ejected_until_ms)
      hashes[count++] = group->upstreams[i]->id_hash;
  qsort (hashes, count, sizeof *hashes, compare_hashes);
  uint64_t bound = count > criteria->max_instances
                       ? hashes[criteria->max_instances - 1]
                       : UINT64_MAX;
  free (hashes);
  return bound;
}

/* Which instances a selection may return besides the usual ones.  */
typedef struct
{
  bool include_ejected;
  bool include_limited; /* Instances that announce a rate limit.  */
  bool include_unsafe;  /* Instances with requests beside which the request
                           should not run.  */
} selection_scope_t;

/* Eligible instances that a selection found.  */
typedef struct
{
  bool any;        /* There is one, even if it may get no request now.  */
  bool any_unsafe; /* One runs requests beside which the request should not
                      run.  */
  bool any_full; /* One may get no request now for another reason than the rate
                    limit that it announced.  */
  size_t paused_count;  /* Instances that are in a pause and would otherwise be
                           eligible.  */
  size_t limited_count; /* Instances that may get no request now only because
                           of the rate limit that they announced.  */
} eligible_instances_t;

/* Return the best instance for CRITERIA in SCOPE that may get a request: the
   affinity instance if there is one, otherwise the least loaded instance.
   Return NULL if there is none.  Update *ELIGIBLE.  */
static upstream_t *
select_best (pool_t *pool, const pool_criteria_t *criteria,
             selection_scope_t scope, uint64_t now_ms,
             eligible_instances_t *eligible)
{
  service_group_t *group = find_or_add_group (pool, criteria->service);
  uint64_t version_hash = str_hash (criteria->version, 0);
  uint64_t max_id_hash = id_hash_limit (group, criteria, version_hash, now_ms);
  if (group->mean_time_factor > 0 && now_ms >= group->time_factors_due_ms)
    update_time_factors (group, now_ms);
  bool has_time_factors = group->mean_time_factor > 0;
  double max_load = has_time_factors
                        ? 0
                        : mean_eligible_load (group, criteria, now_ms)
                                  * POOL_HOT_LOAD_FACTOR
                              + POOL_HOT_LOAD_MIN;
  affinity_choice_t affinity = { 0 };
  upstream_t *least_loaded = NULL;
  double lowest_cost = 0;
  double lowest_load = INFINITY;
  unsigned ties = 0;

  for (size_t i = 0; i < group->count; i++)
    {
      upstream_t *upstream = group->upstreams[i];
      upstream->candidate_load = INFINITY;
      if (now_ms < upstream->excluded_until_ms)
        {
          eligible->paused_count
              += is_usable (upstream, criteria, version_hash, now_ms);
          continue;
        }
      if (!is_usable (upstream, criteria, version_hash, now_ms)
          || (!scope.include_ejected && now_ms < upstream->ejected_until_ms)
          || upstream->id_hash > max_id_hash
          || (!scope.include_limited && upstream->rate_limit.is_announced))
        continue;
      eligible->any = true;
      if (!scope.include_unsafe
          && !poison_may_run_beside (criteria->poison_class,
                                     criteria->is_repeatable,
                                     &upstream->poison_in_flight))
        {
          eligible->any_unsafe = true;
          continue;
        }
      if (!has_capacity (pool, upstream, criteria, now_ms))
        {
          eligible->any_full = true;
          continue;
        }
      if (!is_below_announced_limit (pool, upstream, now_ms))
        {
          eligible->limited_count++;
          continue;
        }
      double load = selection_load (group, upstream, now_ms);
      upstream->candidate_load = load;
      lowest_load = fmin (lowest_load, load);
      if (!has_time_factors && criteria->affinity_key != 0
          && load_of (upstream, now_ms) <= max_load)
        update_affinity_choice (upstream, criteria, &affinity);
      double cost
          = selection_cost (pool, group, upstream, load,
                            least_loaded != NULL ? lowest_cost : INFINITY);
      if (least_loaded != NULL && cost > lowest_cost)
        continue;
      ties = least_loaded != NULL && cost == lowest_cost ? ties + 1 : 1;
      if (ties == 1 || rng_below (&pool->rng, ties) == 0)
        least_loaded = upstream;
      lowest_cost = cost;
    }
  if (has_time_factors && criteria->affinity_key != 0)
    choose_affinity (group, criteria, lowest_load + affinity_load_margin,
                     &affinity);
  if (affinity.highest_in_own_zone != NULL)
    return affinity.highest_in_own_zone;
  return affinity.highest != NULL ? affinity.highest : least_loaded;
}

vh_code_t
pool_select (pool_t *pool, const pool_criteria_t *criteria, upstream_t **out)
{
  const selection_scope_t unlimited = { 0 };
  const selection_scope_t safe = { .include_limited = true };
  const selection_scope_t listed
      = { .include_limited = true, .include_unsafe = true };
  const selection_scope_t all = { .include_limited = true,
                                  .include_unsafe = true,
                                  .include_ejected = true };
  uint64_t now_ms = clock_ms (pool->clock);
  eligible_instances_t eligible = { 0 };

  remove_expired_upstreams (pool, now_ms);
  *out = NULL;
  if (criteria->is_extra_send)
    *out = select_best (pool, criteria, unlimited, now_ms, &eligible);
  if (*out == NULL)
    {
      eligible = (eligible_instances_t){ 0 };
      *out = select_best (pool, criteria, safe, now_ms, &eligible);
    }
  if (*out == NULL && eligible.any_unsafe)
    {
      eligible = (eligible_instances_t){ 0 };
      *out = select_best (pool, criteria, listed, now_ms, &eligible);
    }
  if (*out == NULL && criteria->max_instances > 0)
    {
      pool_criteria_t all_instances = *criteria;
      all_instances.max_instances = 0;
      return pool_select (pool, &all_instances, out);
    }
  if (*out == NULL && !eligible.any)
    {
      eligible = (eligible_instances_t){ 0 };
      *out = select_best (pool, criteria, all, now_ms, &eligible);
    }
  pool->paused_count = eligible.paused_count;
  pool->passed_over_count = eligible.limited_count;
  if (*out != NULL)
    return VH_OK;
  if (!eligible.any)
    return eligible.paused_count > 0 ? VH_E_PAUSED : VH_E_NO_UPSTREAM;
  return eligible.any_full ? VH_E_FULL : VH_E_LIMITED;
}

size_t
pool_passed_over_count (const pool_t *pool)
{
  return pool->passed_over_count;
}

size_t
pool_paused_count (const pool_t *pool)
{
  return pool->paused_count;
}

uint64_t
pool_pause_left_ms (pool_t *pool, const pool_criteria_t *criteria)
{
  const service_group_t *group = find_or_add_group (pool, criteria->service);
  uint64_t version_hash = str_hash (criteria->version, 0);
  uint64_t now_ms = clock_ms (pool->clock);
  uint64_t first_end_ms = UINT64_MAX;

  for (size_t i = 0; i < group->count; i++)
    {
      const upstream_t *upstream = group->upstreams[i];
      if (!is_usable (upstream, criteria, version_hash, now_ms))
        continue;
      if (now_ms >= upstream->paused_until_ms)
        return 0;
      if (upstream->paused_until_ms < first_end_ms)
        first_end_ms = upstream->paused_until_ms;
    }
  return first_end_ms == UINT64_MAX ? 0 : first_end_ms - now_ms;
}

uint64_t
pool_promise_slot (pool_t *pool, const pool_criteria_t *criteria,
                   uint64_t max_wait_ms)
{
  const service_group_t *group = find_or_add_group (pool, criteria->service);
  uint64_t version_hash = str_hash (criteria->version, 0);
  uint64_t now_ms = clock_ms (pool->clock);
  double shared_now_ms = (double)shared_time_ms (pool, now_ms);
  upstream_t *earliest = NULL;
  double earliest_ms = 0;

  for (size_t i = 0; i < group->count; i++)
    {
      upstream_t *upstream = group->upstreams[i];
      rate_limit_slots_t slots;
      if (!is_eligible (upstream, criteria, version_hash, now_ms)
          || !announced_slots (pool, upstream, now_ms, &slots))
        continue;
      /* A later time is from before a change of the shared time.  */
      bool is_promised = upstream->promised_until_ms > shared_now_ms
                         && upstream->promised_until_ms
                                <= shared_now_ms + PROMISE_AHEAD_MAX_MS;
      double start_ms = rate_limit_slot_after_ms (
          &slots, is_promised ? upstream->promised_until_ms : shared_now_ms);
      if (earliest == NULL || start_ms < earliest_ms)
        {
          earliest = upstream;
          earliest_ms = start_ms;
        }
    }
  if (earliest == NULL)
    return 0;
  uint64_t wait_ms = (uint64_t)ceil (earliest_ms - shared_now_ms);
  if (wait_ms <= max_wait_ms && wait_ms <= PROMISE_AHEAD_MAX_MS)
    earliest->promised_until_ms = earliest_ms;
  return wait_ms;
}

size_t
pool_count_instances (pool_t *pool, str_t service, version_arm_t arm,
                      str_t version, size_t max_count)
{
  pool_criteria_t criteria
      = { .service = service, .arm = arm, .version = version };
  const service_group_t *group = find_or_add_group (pool, service);
  uint64_t version_hash = str_hash (version, 0);
  uint64_t now_ms = clock_ms (pool->clock);
  size_t count = 0;

  for (size_t i = 0; i < group->count && count < max_count; i++)
    count += is_usable (group->upstreams[i], &criteria, version_hash, now_ms);
  return count;
}

uint32_t
pool_instance_cell (upstream_t *upstream, uint32_t cell_count)
{
  service_group_t *group = upstream->group;

  if (group->cell_count != cell_count)
    {
      instance_cell_t *instances
          = mem_alloc ((group->count + 1) * sizeof *instances);
      for (size_t i = 0; i < group->count; i++)
        instances[i] = (instance_cell_t){ group->upstreams[i]->version_hash,
                                          group->upstreams[i]->id_hash,
                                          &group->upstreams[i]->cell };
      instance_cells_assign (instances, group->count, cell_count);
      free (instances);
      group->cell_count = cell_count;
    }
  return upstream->cell;
}

void
pool_request_started (pool_t *pool, upstream_t *upstream,
                      uint32_t prompt_tokens)
{
  if (upstream->running_count == 0)
    upstream->last_data_ms = clock_ms (pool->clock);
  upstream->is_unreachable = false;
  upstream->refs++;
  upstream->running_count++;
  upstream->pending_prompt_tokens += prompt_tokens;
  upstream->send_times[upstream->send_time_index] = clock_ms (pool->clock);
  upstream->send_time_index
      = (upstream->send_time_index + 1) % POOL_SEND_TIMES_MAX;
  uint64_t now_ms = clock_ms (pool->clock);
  rate_limit_slots_t slots;
  if (announced_slots (pool, upstream, now_ms, &slots))
    rate_limit_use_slot (&upstream->rate_limit, &slots, now_ms,
                         shared_time_ms (pool, now_ms));
}

void
pool_data_received (pool_t *pool, upstream_t *upstream)
{
  upstream->last_data_ms = clock_ms (pool->clock);
  upstream->is_unreachable = false;
}

uint64_t
pool_probe_due_ms (const upstream_t *upstream)
{
  uint64_t silence_due_ms
      = upstream->last_data_ms + POOL_SILENCE_TIMEOUT_MS
        + upstream->pending_prompt_tokens / POOL_PREFILL_TOKENS_PER_MS;
  uint64_t next_probe_ms
      = upstream->last_probe_ok_ms == 0
            ? 0
            : upstream->last_probe_ok_ms + POOL_PROBE_INTERVAL_MS;

  if (upstream->is_unreachable)
    return 0;
  return silence_due_ms > next_probe_ms ? silence_due_ms : next_probe_ms;
}

/* Eject UPSTREAM for twice the length of its last ejection, within
   POOL_EJECTION_FIRST_MS and POOL_EJECTION_MAX_MS.  */
static void
eject (upstream_t *upstream, uint64_t now_ms)
{
  upstream->ejection_ms = upstream->ejection_ms == 0
                              ? POOL_EJECTION_FIRST_MS
                              : upstream->ejection_ms * 2;
  if (upstream->ejection_ms > POOL_EJECTION_MAX_MS)
    upstream->ejection_ms = POOL_EJECTION_MAX_MS;
  upstream->ejected_until_ms = now_ms + upstream->ejection_ms;
  /* After an ejection a single failure ejects the instance again.  */
  upstream->consecutive_failures = POOL_EJECTION_FAILURES - 1;
}

void
pool_probe_finished (pool_t *pool, str_t id, bool is_reachable)
{
  upstream_t *upstream = map_get (pool->by_id, id);
  uint64_t now_ms = clock_ms (pool->clock);

  if (upstream == NULL)
    return;
  upstream->is_unreachable = !is_reachable;
  if (is_reachable)
    upstream->last_probe_ok_ms = now_ms;
  else
    eject (upstream, now_ms);
}

bool
upstream_is_unreachable (const upstream_t *upstream)
{
  return upstream->is_unreachable;
}

void
pool_prompt_processed (upstream_t *upstream, uint32_t prompt_tokens)
{
  upstream->pending_prompt_tokens -= prompt_tokens;
}

void
pool_request_finished (pool_t *pool, upstream_t *upstream,
                       uint32_t prompt_tokens, send_outcome_t outcome)
{
  uint64_t now_ms = clock_ms (pool->clock);

  upstream->running_count--;
  upstream->pending_prompt_tokens -= prompt_tokens;
  if (outcome == SEND_OK)
    {
      upstream->consecutive_failures = 0;
      upstream->ejection_ms = 0;
    }
  else if (outcome == SEND_FAILED
           && ++upstream->consecutive_failures >= POOL_EJECTION_FAILURES)
    eject (upstream, now_ms);
  upstream_unref (upstream);
}

/* Add a report of REQUESTS at UPSTREAM to the mean load of its service.  */
static void
record_compared_load (upstream_t *upstream, double requests)
{
  service_group_t *group = upstream->group;
  double load = lasting_time_factor (upstream) * (idle_requests + requests);

  if (group->mean_compared_load == 0)
    group->mean_compared_load = load;
  else
    group->mean_compared_load
        += (load - group->mean_compared_load) * mean_load_weight;
}

void
pool_record_load (pool_t *pool, upstream_t *upstream, uint32_t running,
                  uint32_t waiting, uint32_t slots)
{
  double reported_requests = (double)running + waiting;

  upstream->other_requests = reported_requests > upstream->running_count
                                 ? reported_requests - upstream->running_count
                                 : 0;
  upstream->reported_ms = clock_ms (pool->clock);
  if (slots > 0)
    upstream->slots = slots;
  if (upstream->group->mean_time_factor > 0)
    record_compared_load (upstream, reported_requests);
}

/* Handle a change of the time factor of UPSTREAM.  WAS_KNOWN states whether it
   was known before.  */
static void
time_factor_changed (upstream_t *upstream, bool was_known, uint64_t now_ms)
{
  service_group_t *group = upstream->group;

  if (group->mean_time_factor == 0)
    update_time_factors (group, now_ms);
  else if (was_known)
    update_upstream_time_factor (upstream, now_ms);
  else
    group->time_factors_due_ms = 0;
}

bool
pool_record_time_factor (pool_t *pool, upstream_t *upstream, uint32_t percent)
{
  instance_speed_t ignored = { 0 };
  uint64_t now_ms = clock_ms (pool->clock);
  bool was_known = instance_speed_is_known (&upstream->speed);

  if (pool->ignores_time_factors)
    return instance_speed_report (&ignored, percent, now_ms);
  if (!instance_speed_report (&upstream->speed, percent, now_ms))
    return false;
  time_factor_changed (upstream, was_known, now_ms);
  return true;
}

bool
pool_hear_time_factor (pool_t *pool, str_t id, uint64_t incarnation,
                       double factor, uint64_t age_ms)
{
  upstream_t *upstream = map_get (pool->by_id, id);
  uint64_t now_ms = clock_ms (pool->clock);

  if (pool->ignores_time_factors || upstream == NULL
      || upstream->incarnation != incarnation)
    return false;
  bool was_known = instance_speed_is_known (&upstream->speed);
  if (!instance_speed_hear (&upstream->speed, factor, age_ms, now_ms))
    return false;
  time_factor_changed (upstream, was_known, now_ms);
  return true;
}

bool
pool_next_time_factor (const pool_t *pool, size_t *cursor,
                       pool_time_factor_t *out)
{
  uint64_t now_ms = clock_ms (pool->clock);
  str_t id;
  void *value;

  while (map_next (pool->by_id, cursor, &id, &value))
    {
      const upstream_t *upstream = value;
      out->id = str_from (upstream->id);
      out->incarnation = upstream->incarnation;
      out->factor
          = instance_speed_own (&upstream->speed, now_ms, &out->age_ms);
      if (out->factor > 0)
        return true;
    }
  *cursor = 0;
  return false;
}

bool
pool_take_time_factor_change (pool_t *pool, upstream_t *upstream,
                              double *old_factor, double *factor)
{
  uint64_t now_ms = clock_ms (pool->clock);
  bool is_first = upstream->noticed_time_factor == 0;

  if (!instance_speed_is_known (&upstream->speed)
      || (!is_first
          && now_ms - upstream->noticed_ms < POOL_TIME_FACTOR_NOTICE_MS))
    return false;
  *old_factor = is_first ? 1 : upstream->noticed_time_factor;
  *factor = instance_speed_lasting (&upstream->speed);
  if (*factor<*old_factor * noticed_change && * factor> * old_factor
      / noticed_change)
    return false;
  upstream->noticed_time_factor = *factor;
  upstream->noticed_ms = now_ms;
  return true;
}

size_t
pool_time_factor_range (const pool_t *pool, double *lowest, double *highest)
{
  size_t count = 0;
  size_t cursor = 0;
  str_t id;
  void *value;

  *lowest = 0;
  *highest = 0;
  while (map_next (pool->by_id, &cursor, &id, &value))
    {
      const instance_speed_t *speed = &((const upstream_t *)value)->speed;
      double factor = instance_speed_lasting (speed);
      if (!instance_speed_is_known (speed))
        continue;
      if (count == 0 || factor < *lowest)
        *lowest = factor;
      if (factor > *highest)
        *highest = factor;
      count++;
    }
  return count;
}

double
upstream_time_factor (const pool_t *pool, const upstream_t *upstream)
{
  (void)pool;
  return lasting_time_factor (upstream);
}

void
pool_set_cold (pool_t *pool, upstream_t *upstream, uint64_t cold_ms)
{
  upstream->cold_until_ms = clock_ms (pool->clock) + cold_ms;
}

/* Apply a change of what UPSTREAM says of itself.  If it was removed before
   its response came, that is kept for a registration that returns.  */
static void
apply_notice (pool_t *pool, upstream_t *upstream)
{
  update_exclusion (upstream);
  if (map_get (pool->by_id, str_from (upstream->id)) == NULL)
    keep_notice (pool, upstream);
}

bool
pool_announce_leaving (pool_t *pool, upstream_t *upstream)
{
  if (upstream->is_leaving)
    return false;
  upstream->is_leaving = true;
  apply_notice (pool, upstream);
  return true;
}

uint64_t
pool_pause (pool_t *pool, upstream_t *upstream, uint64_t pause_ms)
{
  uint64_t now_ms = clock_ms (pool->clock);

  if (pause_ms > POOL_PAUSE_MAX_MS)
    pause_ms = POOL_PAUSE_MAX_MS;
  if (now_ms + pause_ms <= upstream->paused_until_ms)
    return 0;
  upstream->paused_until_ms = now_ms + pause_ms;
  apply_notice (pool, upstream);
  return pause_ms;
}

bool
pool_take_pause_end (pool_t *pool, upstream_t *upstream)
{
  if (upstream->paused_until_ms == 0
      || clock_ms (pool->clock) < upstream->paused_until_ms)
    return false;
  upstream->paused_until_ms = 0;
  update_exclusion (upstream);
  return true;
}

bool
pool_announce_rate_limit (pool_t *pool, upstream_t *upstream,
                          double rate_per_s)
{
  return rate_limit_announce (&upstream->rate_limit, rate_per_s,
                              clock_ms (pool->clock));
}

bool
pool_end_rate_limit (pool_t *pool, upstream_t *upstream)
{
  return rate_limit_end (&upstream->rate_limit, clock_ms (pool->clock));
}

const upstream_t *
pool_next (const pool_t *pool, size_t *cursor)
{
  str_t id;
  void *value;

  return map_next (pool->by_id, cursor, &id, &value) ? value : NULL;
}

size_t
pool_count_rate_limits (const pool_t *pool)
{
  size_t count = 0;
  size_t cursor = 0;
  str_t id;
  void *value;

  while (map_next (pool->by_id, &cursor, &id, &value))
    count += ((const upstream_t *)value)->rate_limit.is_announced;
  return count;
}

void
pool_set_shared_time (pool_t *pool, uint64_t shared_now_ms)
{
  pool->shared_time_offset_ms
      = (int64_t)(shared_now_ms - clock_ms (pool->clock));
}

void
pool_set_gateway_list_stale (pool_t *pool, bool is_stale)
{
  pool->is_gateway_list_stale = is_stale;
}

upstream_t *
pool_find (const pool_t *pool, str_t id)
{
  return map_get (pool->by_id, id);
}

uint64_t
pool_now_ms (const pool_t *pool)
{
  return clock_ms (pool->clock);
}

const rate_limit_t *
upstream_rate_limit (const upstream_t *upstream)
{
  return &upstream->rate_limit;
}

str_t
upstream_id (const upstream_t *upstream)
{
  return str_from (upstream->id);
}

uint64_t
upstream_incarnation (const upstream_t *upstream)
{
  return upstream->incarnation;
}

bool
upstream_is_leaving (const upstream_t *upstream)
{
  return upstream->draining || upstream->is_leaving;
}

str_t
upstream_address (const upstream_t *upstream)
{
  return str_from (upstream->address);
}

str_t
upstream_version (const upstream_t *upstream)
{
  return str_from (upstream->version);
}

double
upstream_request_count (const pool_t *pool, const upstream_t *upstream)
{
  return request_count (upstream, clock_ms (pool->clock));
}

bool
upstream_has_time_factor (const upstream_t *upstream)
{
  return upstream->group->mean_time_factor > 0;
}

bool
upstream_is_ejected (const pool_t *pool, const upstream_t *upstream)
{
  return clock_ms (pool->clock) < upstream->ejected_until_ms;
}

uint32_t
upstream_slots (const upstream_t *upstream)
{
  return upstream->slots;
}

poison_in_flight_t *
upstream_poison_in_flight (upstream_t *upstream)
{
  return &upstream->poison_in_flight;
}

uint32_t
upstream_running_count (const upstream_t *upstream)
{
  return upstream->running_count;
}
