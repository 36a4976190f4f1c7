#include "policy/pool.h"

#include "base/map.h"
#include "base/mem.h"
#include "base/rng.h"

#include <stdlib.h>

/* Shares of the bound over all entries that one may use at a warm instance.
   More than one, because callers' load is uneven and all entries do not press
   the same instance at once.  */
static const double warm_shares = 2.5;

/* The instances of one service, for walks that touch nothing else.  */
typedef struct
{
  upstream_t **items;
  size_t count;
  size_t room;
} group_t;

struct upstream
{
  list_t link;
  group_t *group;
  unsigned refs;
  char *id;
  char *service;
  char *address;
  char *zone;
  char *version;
  uint64_t id_hash;
  uint64_t version_hash;
  uint64_t rank_generation; /* Of the entries when RANK was told.  */
  size_t rank;              /* Of this entry among those that send here.  */
  bool is_own_zone;
  bool is_zone_out;
  bool is_withdrawn;
  uint64_t born;
  uint32_t slots;
  bool draining;
  bool gone;            /* No longer listed.  */
  uint64_t usable_till; /* While gone, monotonic ms.  */
  uint64_t cold_till;
  uint64_t out_till;
  uint64_t out_ms; /* Length of the last time out.  */
  unsigned failures;
  uint64_t heard_ms;  /* Something came, or it became busy.  */
  uint64_t looked_ms; /* A look found it last; 0: none did.  */
  bool lost;          /* A look did not find it.  */
  uint32_t running;   /* Of this entry.  */
  uint64_t prompts;   /* Tokens of this entry not yet read.  */
  double others;      /* Running or waiting there, not from here.  */
  uint64_t reported_ms;
  uint64_t sends[POOL_SEND_TIMES_MAX]; /* Times of the last ones, a ring.  */
  size_t send_at;
};

struct pool
{
  clock_iface_t *clock;
  rng_t rng;
  char *zone;
  double cold_factor;
  double cold_slack;
  const allotment_t *entries;
  list_t upstreams;
  size_t lapsed; /* Gone, and usable for a while.  */
  map_t *by_id;
  map_t *groups; /* Service to group_t.  */
  map_t *zones_out;
  map_t *withdrawn; /* SERVICE SPACE VERSION.  */
};

pool_t *
pool_create (clock_iface_t *clock, uint64_t seed,
             const pool_options_t *options)
{
  pool_t *pool = mem_zalloc (sizeof *pool);

  pool->clock = clock;
  pool->rng = rng_make (seed);
  pool->zone = str_dup (options->zone);
  pool->cold_factor = options->cold_factor;
  pool->cold_slack = options->cold_slack;
  pool->entries = options->entries;
  list_init (&pool->upstreams);
  pool->by_id = map_create ();
  pool->groups = map_create ();
  pool->zones_out = map_create ();
  pool->withdrawn = map_create ();
  return pool;
}

static void
group_add (group_t *group, upstream_t *upstream)
{
  if (group->count == group->room)
    {
      group->room = group->room > 0 ? 2 * group->room : 8;
      group->items
          = mem_realloc (group->items, group->room * sizeof *group->items);
    }
  group->items[group->count++] = upstream;
  upstream->group = group;
}

static void
group_remove (group_t *group, const upstream_t *upstream)
{
  for (size_t i = 0; i < group->count; i++)
    if (group->items[i] == upstream)
      {
        group->items[i] = group->items[--group->count];
        return;
      }
}

static void
upstream_unref (upstream_t *upstream)
{
  if (--upstream->refs > 0)
    return;
  list_remove (&upstream->link);
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
      upstream_t *upstream = CONTAINER_OF (at, upstream_t, link);
      upstream->refs = 1;
      upstream_unref (upstream);
    }
  size_t cursor = 0;
  str_t key;
  void *group;
  while (map_next (pool->groups, &cursor, &key, &group))
    {
      free (((group_t *)group)->items);
      free (group);
    }
  map_destroy (pool->groups);
  map_destroy (pool->by_id);
  map_destroy (pool->zones_out);
  map_destroy (pool->withdrawn);
  free (pool->zone);
  free (pool);
}

static void
set_text (char **text, str_t value)
{
  if (*text != NULL && str_eq (str_from (*text), value))
    return;
  free (*text);
  *text = str_dup (value);
}

/* Take UPSTREAM out of the lists; requests that run there keep it.  */
static void
drop (pool_t *pool, upstream_t *upstream)
{
  if (upstream->gone)
    pool->lapsed--;
  upstream->gone = true;
  upstream->usable_till = 0;
  group_remove (upstream->group, upstream);
  map_remove (pool->by_id, str_from (upstream->id));
  upstream_unref (upstream);
}

/* Drop those whose time after their listing is over.  */
static void
expire (pool_t *pool, uint64_t now_ms)
{
  if (pool->lapsed == 0)
    return;
  LIST_EACH (at, &pool->upstreams)
    {
      upstream_t *upstream = CONTAINER_OF (at, upstream_t, link);
      if (upstream->gone && upstream->usable_till != 0
          && now_ms >= upstream->usable_till)
        drop (pool, upstream);
    }
}

static group_t *
group_of (pool_t *pool, str_t service)
{
  group_t *group = map_get (pool->groups, service);

  if (group == NULL)
    {
      group = mem_zalloc (sizeof *group);
      map_put (pool->groups, service, group);
    }
  return group;
}

static void
write_withdrawn_key (str_t service, str_t version, buf_t *out)
{
  buf_append_str (out, service);
  buf_append_char (out, ' ');
  buf_append_str (out, version);
}

static bool
is_withdrawn (const pool_t *pool, str_t service, str_t version)
{
  buf_t key = BUF_NULL;

  write_withdrawn_key (service, version, &key);
  bool found = map_get (pool->withdrawn, buf_str (&key)) != NULL;
  buf_free (&key);
  return found;
}

void
pool_set_version_withdrawn (pool_t *pool, str_t service, str_t version,
                            bool withdrawn)
{
  buf_t key = BUF_NULL;

  write_withdrawn_key (service, version, &key);
  if (withdrawn)
    map_put (pool->withdrawn, buf_str (&key), pool);
  else
    map_remove (pool->withdrawn, buf_str (&key));
  buf_free (&key);
  LIST_EACH (at, &pool->upstreams)
    {
      upstream_t *upstream = CONTAINER_OF (at, upstream_t, link);
      if (str_eq (str_from (upstream->service), service)
          && str_eq (str_from (upstream->version), version))
        upstream->is_withdrawn = withdrawn;
    }
}

void
pool_append_withdrawn_versions (const pool_t *pool, str_t service, buf_t *out)
{
  size_t cursor = 0;
  str_t key;
  void *value;

  while (map_next (pool->withdrawn, &cursor, &key, &value))
    {
      str_t version;
      if (!str_eq (str_cut (key, ' ', &version), service))
        continue;
      buf_append_char (out, ' ');
      buf_append_str (out, version);
    }
}

void
pool_put (pool_t *pool, const upstream_info_t *info)
{
  uint64_t now_ms = clock_ms (pool->clock);
  upstream_t *upstream = map_get (pool->by_id, info->id);

  if (upstream != NULL
      && (upstream->born != info->born
          || !str_eq (str_from (upstream->service), info->service)
          || !str_eq (str_from (upstream->address), info->address)))
    {
      /* A new start under the old id knows nothing of the one before.  */
      drop (pool, upstream);
      upstream = NULL;
    }
  if (upstream == NULL)
    {
      upstream = mem_zalloc (sizeof *upstream);
      upstream->refs = 1;
      upstream->id = str_dup (info->id);
      upstream->id_hash = str_hash (info->id, 0);
      upstream->born = info->born;
      list_append (&pool->upstreams, &upstream->link);
      map_put (pool->by_id, info->id, upstream);
      group_add (group_of (pool, info->service), upstream);
    }
  set_text (&upstream->service, info->service);
  set_text (&upstream->address, info->address);
  set_text (&upstream->zone, info->zone);
  upstream->rank_generation = 0;
  set_text (&upstream->version, info->version);
  upstream->version_hash = str_hash (info->version, 0);
  upstream->is_own_zone = str_eq (info->zone, str_from (pool->zone));
  upstream->is_zone_out = map_get (pool->zones_out, info->zone) != NULL;
  upstream->is_withdrawn = is_withdrawn (pool, info->service, info->version);
  upstream->slots = info->slots;
  upstream->draining = info->draining;
  if (upstream->gone)
    pool->lapsed--;
  upstream->gone = false;
  if (info->cold_ms > 0)
    upstream->cold_till = now_ms + info->cold_ms;
}

void
pool_remove (pool_t *pool, str_t id, uint64_t keep_ms)
{
  upstream_t *upstream = map_get (pool->by_id, id);

  if (upstream == NULL)
    return;
  if (keep_ms == 0)
    {
      drop (pool, upstream);
      return;
    }
  if (!upstream->gone)
    pool->lapsed++;
  upstream->gone = true;
  upstream->usable_till = clock_ms (pool->clock) + keep_ms;
}

void
pool_set_zone_disabled (pool_t *pool, str_t zone, bool out)
{
  if (out)
    map_put (pool->zones_out, zone, pool);
  else
    map_remove (pool->zones_out, zone);
  LIST_EACH (at, &pool->upstreams)
    {
      upstream_t *upstream = CONTAINER_OF (at, upstream_t, link);
      if (str_eq (str_from (upstream->zone), zone))
        upstream->is_zone_out = out;
    }
}

/* The part that this entry has of BOUND requests to UPSTREAM.  */
static uint32_t
part_of (const pool_t *pool, upstream_t *upstream, double bound)
{
  const allotment_t *entries = pool->entries;

  if (entries == NULL)
    return allotment_share (bound, 0, 1);
  uint64_t generation = allotment_generation (entries);
  if (upstream->rank_generation != generation)
    {
      upstream->rank = allotment_rank (entries, upstream->id_hash,
                                       str_from (upstream->zone));
      upstream->rank_generation = generation;
    }
  return allotment_share (bound, upstream->rank,
                          allotment_gateway_count (entries));
}

/* Requests of this entry that UPSTREAM may get in a window.  */
static uint32_t
rate_share (const pool_t *pool, upstream_t *upstream, double cold_per_s,
            uint64_t now_ms)
{
  bool is_cold = now_ms < upstream->cold_till;

  if (pool->entries != NULL && !allotment_is_loaded (pool->entries))
    return is_cold ? 0 : 1;
  /* A warm one may turn cold at any moment; then the bound that counts is
     the higher one that breaks it.  */
  double bound = is_cold ? cold_per_s
                         : (cold_per_s * pool->cold_factor + pool->cold_slack)
                               * warm_shares;
  uint32_t share = part_of (pool, upstream, bound);
  return share < POOL_SEND_TIMES_MAX - 1 ? share : POOL_SEND_TIMES_MAX - 1;
}

/* Tell whether UPSTREAM had fewer sends in the last window than it may.  */
static bool
rate_allows (const pool_t *pool, upstream_t *upstream, double cold_per_s,
             uint64_t now_ms)
{
  if (cold_per_s <= 0)
    return true;
  uint32_t share = rate_share (pool, upstream, cold_per_s, now_ms);
  if (share == 0)
    return false;
  uint64_t oldest
      = upstream->sends[(upstream->send_at + POOL_SEND_TIMES_MAX - share)
                        % POOL_SEND_TIMES_MAX];
  return oldest == 0 || now_ms - oldest >= POOL_RATE_WINDOW_MS;
}

/* What others run at UPSTREAM, by a report that counts for nothing after
   FADE_MS.  */
static double
others_of (const upstream_t *upstream, uint64_t fade_ms, uint64_t now_ms)
{
  uint64_t age_ms = now_ms - upstream->reported_ms;

  return age_ms >= fade_ms
             ? 0
             : upstream->others * (double)(fade_ms - age_ms) / (double)fade_ms;
}

/* Requests at UPSTREAM, of all entries.  */
static double
requests_at (const upstream_t *upstream, uint64_t now_ms)
{
  return upstream->running
         + others_of (upstream, POOL_REPORT_DECAY_MS, now_ms);
}

static double
load_of (const upstream_t *upstream, uint64_t now_ms)
{
  return requests_at (upstream, now_ms)
         + (double)upstream->prompts / POOL_PROMPT_TOKENS_PER_REQUEST;
}

static bool
fits (const upstream_t *upstream, const pool_criteria_t *want,
      uint64_t version_hash, uint64_t now_ms)
{
  if (upstream->draining || upstream->is_zone_out || upstream->is_withdrawn
      || (upstream->gone && now_ms >= upstream->usable_till))
    return false;
  if (want->arm != VERSION_ARM_ANY
      && (upstream->version_hash == version_hash)
             != (want->arm == VERSION_ARM_NEW))
    return false;
  for (size_t i = 0; i < want->tried_count; i++)
    if (want->tried[i] == upstream)
      return false;
  return true;
}

static bool
has_room (const pool_t *pool, upstream_t *upstream,
          const pool_criteria_t *want, uint64_t now_ms)
{
  return rate_allows (pool, upstream, want->cold_per_s, now_ms)
         && upstream->running
                    + others_of (upstream, POOL_FULL_DECAY_MS, now_ms)
                < upstream->slots;
}

/* Mean load of those that fit.  */
static double
mean_load (const group_t *group, const pool_criteria_t *want, uint64_t now_ms)
{
  uint64_t version_hash = str_hash (want->version, 0);
  double sum = 0;
  unsigned count = 0;

  for (size_t i = 0; i < group->count; i++)
    {
      const upstream_t *upstream = group->items[i];
      if (!fits (upstream, want, version_hash, now_ms))
        continue;
      sum += load_of (upstream, now_ms);
      count++;
    }
  return count > 0 ? sum / count : 0;
}

/* Load with what another zone costs put in the same unit.  */
static double
badness (const upstream_t *upstream, uint64_t now_ms)
{
  static const double zone_cost = 2;
  double load = load_of (upstream, now_ms);

  if (!upstream->is_own_zone)
    load += zone_cost;
  return load;
}

/* The closest instances to a subject so far.  */
typedef struct
{
  upstream_t *own; /* In this entry's zone.  */
  uint64_t own_rank;
  upstream_t *any;
  uint64_t any_rank;
} home_t;

/* Take UPSTREAM as a home of WANT's subject where it is closer.  A subject has
   a home in each zone: bytes between zones cost more than a prompt's shared
   parts read once more.  */
static void
consider_home (upstream_t *upstream, const pool_criteria_t *want, double hot,
               uint64_t now_ms, home_t *home)
{
  bool own = upstream->is_own_zone;
  uint64_t rank = hash_weight (upstream->id_hash, want->key);

  if (want->key == 0 || load_of (upstream, now_ms) > hot)
    return;
  if (home->any == NULL || rank > home->any_rank)
    {
      home->any = upstream;
      home->any_rank = rank;
    }
  if (own && (home->own == NULL || rank > home->own_rank))
    {
      home->own = upstream;
      home->own_rank = rank;
    }
}

static int
compare_hashes (const void *a, const void *b)
{
  uint64_t x = *(const uint64_t *)a;
  uint64_t y = *(const uint64_t *)b;

  return x < y ? -1 : x > y;
}

/* The greatest hash of an id among the FEW first of those that fit WANT,
   whatever it tried; UINT64_MAX when it may go to all.  */
static uint64_t
few_bound (const group_t *group, const pool_criteria_t *want,
           uint64_t version_hash, uint64_t now_ms)
{
  pool_criteria_t untried = *want;
  size_t count = 0;

  if (want->few == 0 || want->few >= group->count)
    return UINT64_MAX;
  untried.tried_count = 0;
  uint64_t *hashes = mem_alloc (group->count * sizeof *hashes);
  for (size_t i = 0; i < group->count; i++)
    if (fits (group->items[i], &untried, version_hash, now_ms)
        && now_ms >= group->items[i]->out_till)
      hashes[count++] = group->items[i]->id_hash;
  qsort (hashes, count, sizeof *hashes, compare_hashes);
  uint64_t bound = count > want->few ? hashes[want->few - 1] : UINT64_MAX;
  free (hashes);
  return bound;
}

/* The best of those that fit; with OUT_TOO also those that are out.  */
static upstream_t *
best (pool_t *pool, const pool_criteria_t *want, bool out_too, uint64_t now_ms,
      bool *any)
{
  const group_t *group = group_of (pool, want->service);
  uint64_t version_hash = str_hash (want->version, 0);
  uint64_t bound = few_bound (group, want, version_hash, now_ms);
  double hot = mean_load (group, want, now_ms) * POOL_HOT_LOAD_FACTOR
               + POOL_HOT_LOAD_MIN;
  home_t home = { 0 };
  upstream_t *idlest = NULL;
  double idlest_badness = 0;
  unsigned ties = 0;

  for (size_t i = 0; i < group->count; i++)
    {
      upstream_t *upstream = group->items[i];
      if (!fits (upstream, want, version_hash, now_ms)
          || (!out_too && now_ms < upstream->out_till)
          || upstream->id_hash > bound)
        continue;
      *any = true;
      if (!has_room (pool, upstream, want, now_ms))
        continue;
      consider_home (upstream, want, hot, now_ms, &home);
      double bad = badness (upstream, now_ms);
      if (idlest != NULL && bad > idlest_badness)
        continue;
      ties = idlest != NULL && bad == idlest_badness ? ties + 1 : 1;
      if (ties == 1 || rng_below (&pool->rng, ties) == 0)
        idlest = upstream;
      idlest_badness = bad;
    }
  if (home.own != NULL)
    return home.own;
  return home.any != NULL ? home.any : idlest;
}

vh_code_t
pool_select (pool_t *pool, const pool_criteria_t *want, upstream_t **out)
{
  uint64_t now_ms = clock_ms (pool->clock);
  bool any = false;

  expire (pool, now_ms);
  *out = best (pool, want, false, now_ms, &any);
  if (*out == NULL && want->few > 0)
    {
      pool_criteria_t all = *want;
      all.few = 0;
      return pool_select (pool, &all, out);
    }
  if (*out == NULL && !any)
    *out = best (pool, want, true, now_ms, &any);
  if (*out != NULL)
    return VH_OK;
  return any ? VH_E_FULL : VH_E_NO_UPSTREAM;
}

size_t
pool_count (pool_t *pool, str_t service, version_arm_t arm, str_t version,
            size_t most)
{
  pool_criteria_t want
      = { .service = service, .arm = arm, .version = version };
  const group_t *group = group_of (pool, service);
  uint64_t version_hash = str_hash (version, 0);
  uint64_t now_ms = clock_ms (pool->clock);
  size_t count = 0;

  for (size_t i = 0; i < group->count && count < most; i++)
    count += fits (group->items[i], &want, version_hash, now_ms);
  return count;
}

void
pool_request_started (pool_t *pool, upstream_t *upstream, uint32_t prompt)
{
  if (upstream->running == 0)
    upstream->heard_ms = clock_ms (pool->clock);
  upstream->lost = false;
  upstream->refs++;
  upstream->running++;
  upstream->prompts += prompt;
  upstream->sends[upstream->send_at] = clock_ms (pool->clock);
  upstream->send_at = (upstream->send_at + 1) % POOL_SEND_TIMES_MAX;
}

void
pool_data_received (pool_t *pool, upstream_t *upstream)
{
  upstream->heard_ms = clock_ms (pool->clock);
  upstream->lost = false;
}

uint64_t
pool_probe_due_ms (const upstream_t *upstream)
{
  uint64_t silence_ms = upstream->heard_ms + POOL_SILENCE_TIMEOUT_MS
                        + upstream->prompts / POOL_PREFILL_TOKENS_PER_MS;
  uint64_t again_ms = upstream->looked_ms == 0
                          ? 0
                          : upstream->looked_ms + POOL_PROBE_INTERVAL_MS;

  if (upstream->lost)
    return 0;
  return silence_ms > again_ms ? silence_ms : again_ms;
}

/* Take UPSTREAM out for a time, longer than the last one.  */
static void
take_out (upstream_t *upstream, uint64_t now_ms)
{
  upstream->out_ms
      = upstream->out_ms == 0 ? POOL_EJECTION_FIRST_MS : upstream->out_ms * 2;
  if (upstream->out_ms > POOL_EJECTION_MAX_MS)
    upstream->out_ms = POOL_EJECTION_MAX_MS;
  upstream->out_till = now_ms + upstream->out_ms;
  /* On its return one failure is enough to take it out again.  */
  upstream->failures = POOL_EJECTION_FAILURES - 1;
}

void
pool_probe_finished (pool_t *pool, str_t id, bool reached)
{
  upstream_t *upstream = map_get (pool->by_id, id);
  uint64_t now_ms = clock_ms (pool->clock);

  if (upstream == NULL)
    return;
  upstream->lost = !reached;
  if (reached)
    upstream->looked_ms = now_ms;
  else
    take_out (upstream, now_ms);
}

bool
upstream_is_unreachable (const upstream_t *upstream)
{
  return upstream->lost;
}

void
pool_prompt_processed (upstream_t *upstream, uint32_t prompt)
{
  upstream->prompts -= prompt;
}

void
pool_request_finished (pool_t *pool, upstream_t *upstream, uint32_t prompt,
                       send_outcome_t outcome)
{
  uint64_t now_ms = clock_ms (pool->clock);

  upstream->running--;
  upstream->prompts -= prompt;
  if (outcome == SEND_OK)
    {
      upstream->failures = 0;
      upstream->out_ms = 0;
    }
  else if (outcome == SEND_FAILED
           && ++upstream->failures >= POOL_EJECTION_FAILURES)
    take_out (upstream, now_ms);
  upstream_unref (upstream);
}

void
pool_record_load (pool_t *pool, upstream_t *upstream, uint32_t running,
                  uint32_t waiting, uint32_t slots)
{
  double all = (double)running + waiting;

  upstream->others = all > upstream->running ? all - upstream->running : 0;
  upstream->reported_ms = clock_ms (pool->clock);
  if (slots > 0)
    upstream->slots = slots;
}

void
pool_set_cold (pool_t *pool, upstream_t *upstream, uint64_t cold_ms)
{
  upstream->cold_till = clock_ms (pool->clock) + cold_ms;
}

str_t
upstream_id (const upstream_t *upstream)
{
  return str_from (upstream->id);
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
  return requests_at (upstream, clock_ms (pool->clock));
}

uint32_t
upstream_slots (const upstream_t *upstream)
{
  return upstream->slots;
}

uint32_t
upstream_running (const upstream_t *upstream)
{
  return upstream->running;
}
