#include "policy/balance.h"

#include "base/map.h"
#include "base/mem.h"

#include <assert.h>
#include <math.h>
#include <stdlib.h>

enum
{
  INDEX_BITS = 20,
  INDEX_MASK = (1 << INDEX_BITS) - 1,
  GENERATION_MASK = (1 << (32 - INDEX_BITS)) - 1,
  /* Times are kept in 32 bits, in steps of 8 ms: they wrap after a year.  */
  TICK_SHIFT = 3,
  USUAL_ONE = 16,
  SLOTS_MAX = UINT16_MAX / USUAL_ONE,
  SAMPLE_TRIES = 3,
  PENALTY_MAX = 64,
  FIRST_CAP = 16,
  NOBODY = UINT32_MAX
};

enum
{
  KNOWN = 1,
  REPORTED = 2,
  RAMPING = 4
};

/* Weight of one report in a pool's means.  */
#define MEAN_GAIN 0.03125f
/* Weight of one report in an upstream's usual slots.  */
#define USUAL_GAIN 0.3f
#define POINT_SEED 0x70f1a5c3u

/* What a choice reads of an upstream: 32 bytes, two to a cache line.  */
typedef struct
{
  float others;       /* Reported load of other entries.  */
  float penalty;      /* Load that stands for failures.  */
  uint32_t reported;  /* Tick at which OTHERS was true.  */
  uint32_t penalised; /* Tick of PENALTY.  */
  uint32_t ramp;      /* Tick at which the ramp began.  */
  uint16_t in_flight; /* Of this entry.  */
  uint16_t slots;     /* By the last report.  */
  uint16_t usual;     /* Running mean of the slots, in 16ths.  */
  uint16_t zone;
  uint16_t generation;
  uint8_t marks;
  uint8_t flags;
} hot_t;

_Static_assert(sizeof (hot_t) == 32, "two to a cache line");

typedef struct
{
  char *name;
  uint32_t name_len;
  uint32_t pool_count;
  uint64_t hash; /* Of the name, the same in every process.  */
  pool_id_t *pools;
} cold_t;

typedef struct
{
  uint32_t point;
  uint32_t index;
} point_t;

/* The upstreams of one pool in one zone.  */
typedef struct
{
  point_t *ring; /* All, by their point on the hash ring.  */
  uint32_t count;
  uint32_t cap;
  point_t *subset; /* Those this entry uses, by falling rank.  */
  uint32_t subset_count;
} bucket_t;

typedef struct
{
  char *name;
  uint32_t name_len;
  float mean_others; /* Mean load of others on a slot, by report.  */
  float mean_load;   /* Mean load of a slot, by report.  */
  uint32_t reported; /* Tick of the last report.  */
  bucket_t *buckets; /* By zone.  */
} pool_t;

typedef struct
{
  char *name;
  uint32_t name_len;
  zone_t *zone;
} place_t;

typedef struct
{
  uint64_t affinity;
  upstream_id_t id;
  uint32_t tick;
} hint_t;

struct balance
{
  clock_iface_t *clock;
  rng_t *rng;
  uint64_t salt; /* Of this entry, for the ranks.  */
  uint16_t own_zone;

  hot_t *hot;
  cold_t *cold;
  uint32_t count; /* Places in HOT and COLD.  */
  uint32_t cap;
  uint32_t *freed; /* Places to use again.  */
  uint32_t freed_count;
  map_t *names; /* Place + 1, as a pointer.  */

  pool_t *pools;
  uint32_t pool_count;
  map_t *pool_names;

  place_t *zones;
  uint32_t zone_count;

  hint_t *hints;
};

/* Spread the bits of X (the finaliser of splitmix64).  */
static uint64_t
mix (uint64_t x)
{
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9u;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
  return x ^ (x >> 31);
}

static void *
place_pointer (uint32_t place)
{
  return (void *)(uintptr_t)(place + 1);
}

static uint32_t
pointer_place (const void *pointer)
{
  return (uint32_t)((uintptr_t)pointer - 1);
}

static uint32_t
tick_of (uint64_t ms)
{
  return (uint32_t)(ms >> TICK_SHIFT);
}

static float
ticks_ms (uint32_t ticks)
{
  return (float)((uint64_t)ticks << TICK_SHIFT);
}

static upstream_id_t
make_id (const balance_t *balance, uint32_t index)
{
  return (upstream_id_t)balance->hot[index].generation << INDEX_BITS | index;
}

/* Return the place of ID, or NOBODY when it is no longer known.  */
static uint32_t
find_index (const balance_t *balance, upstream_id_t id)
{
  uint32_t index = id & INDEX_MASK;

  if (id == 0 || index >= balance->count
      || (balance->hot[index].flags & KNOWN) == 0
      || balance->hot[index].generation != id >> INDEX_BITS)
    return NOBODY;
  return index;
}

/* Subsets.  */

static uint32_t
rank_of (const balance_t *balance, uint32_t index)
{
  return (uint32_t)(mix (balance->cold[index].hash ^ balance->salt) >> 32);
}

static bool
ranks_before (point_t a, point_t b)
{
  return a.point > b.point || (a.point == b.point && a.index < b.index);
}

static uint32_t
subset_cap (const balance_t *balance, uint32_t zone)
{
  return zone == balance->own_zone ? BALANCE_SUBSET_OWN_ZONE
                                   : BALANCE_SUBSET_OTHER_ZONE;
}

/* An ejected upstream keeps its connection, as it is back in seconds.  */
static bool
subset_wants (const hot_t *hot)
{
  return (hot->marks & ~BALANCE_EJECTED) == 0;
}

/* Take INDEX into the subset of BUCKET if it ranks high enough.  */
static void
subset_offer (const balance_t *balance, bucket_t *bucket, uint32_t index)
{
  uint32_t cap = subset_cap (balance, balance->hot[index].zone);
  point_t new = { rank_of (balance, index), index };
  uint32_t i;

  if (!subset_wants (&balance->hot[index]))
    return;
  if (bucket->subset == NULL)
    bucket->subset = mem_alloc (cap * sizeof (point_t));
  if (bucket->subset_count == cap)
    {
      if (!ranks_before (new, bucket->subset[cap - 1]))
        return;
      bucket->subset_count--;
    }
  for (i = bucket->subset_count; i > 0; i--)
    {
      if (!ranks_before (new, bucket->subset[i - 1]))
        break;
      bucket->subset[i] = bucket->subset[i - 1];
    }
  bucket->subset[i] = new;
  bucket->subset_count++;
}

/* Append the upstream that ranks next to a subset that has lost one.  */
static void
subset_refill (const balance_t *balance, bucket_t *bucket, uint32_t cap)
{
  point_t best = { 0, NOBODY };
  point_t last = { UINT32_MAX, 0 };

  if (bucket->subset_count >= cap || bucket->subset_count >= bucket->count)
    return;
  if (bucket->subset_count > 0)
    last = bucket->subset[bucket->subset_count - 1];
  for (uint32_t i = 0; i < bucket->count; i++)
    {
      uint32_t index = bucket->ring[i].index;
      point_t at = { rank_of (balance, index), index };

      if ((bucket->subset_count == 0 || ranks_before (last, at))
          && (best.index == NOBODY || ranks_before (at, best))
          && subset_wants (&balance->hot[index]))
        best = at;
    }
  if (best.index != NOBODY)
    bucket->subset[bucket->subset_count++] = best;
}

/* Take INDEX out of the subset of BUCKET, if it is there.  */
static void
subset_drop (const balance_t *balance, bucket_t *bucket, uint32_t index)
{
  uint32_t cap = subset_cap (balance, balance->hot[index].zone);
  uint32_t i = 0;
  bool was_full = bucket->subset_count == cap;

  while (i < bucket->subset_count && bucket->subset[i].index != index)
    i++;
  if (i == bucket->subset_count)
    return;
  bucket->subset_count--;
  for (; i < bucket->subset_count; i++)
    bucket->subset[i] = bucket->subset[i + 1];
  /* One that was not full holds all there are.  */
  if (was_full)
    subset_refill (balance, bucket, cap);
}

/* Rings.  */

/* Return the place in BUCKET's ring of the first upstream at or after
   POINT; COUNT when there is none.  */
static uint32_t
ring_search (const bucket_t *bucket, uint32_t point)
{
  uint32_t low = 0;
  uint32_t high = bucket->count;

  while (low < high)
    {
      uint32_t middle = low + (high - low) / 2;

      if (bucket->ring[middle].point < point)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static uint32_t
ring_point (const balance_t *balance, uint32_t index)
{
  return (uint32_t)(mix (balance->cold[index].hash ^ POINT_SEED) >> 32);
}

static void
bucket_join (const balance_t *balance, bucket_t *bucket, uint32_t index)
{
  point_t new = { ring_point (balance, index), index };
  uint32_t at = ring_search (bucket, new.point);

  if (bucket->count == bucket->cap)
    {
      bucket->cap = bucket->cap > 0 ? bucket->cap * 2 : FIRST_CAP;
      bucket->ring
          = mem_realloc (bucket->ring, bucket->cap * sizeof (point_t));
    }
  memmove (&bucket->ring[at + 1], &bucket->ring[at],
           (bucket->count - at) * sizeof (point_t));
  bucket->ring[at] = new;
  bucket->count++;
  subset_offer (balance, bucket, index);
}

static void
bucket_leave (const balance_t *balance, bucket_t *bucket, uint32_t index)
{
  uint32_t at = ring_search (bucket, ring_point (balance, index));

  while (bucket->ring[at].index != index)
    at++;
  bucket->count--;
  memmove (&bucket->ring[at], &bucket->ring[at + 1],
           (bucket->count - at) * sizeof (point_t));
  subset_drop (balance, bucket, index);
}

/* Zones and pools.  */

static char *
copy_name (str_t name, uint32_t *len)
{
  *len = (uint32_t)name.len;
  return str_dup (name);
}

/* Return the number of zone NAME, made on first use.  */
static uint16_t
find_zone (balance_t *balance, str_t name)
{
  uint32_t n = balance->zone_count;
  place_t *place;

  for (uint32_t i = 0; i < n; i++)
    if (str_eq (str_make (balance->zones[i].name, balance->zones[i].name_len),
                name))
      return (uint16_t)i;
  balance->zones = mem_realloc (balance->zones, (n + 1) * sizeof (place_t));
  place = &balance->zones[n];
  place->name = copy_name (name, &place->name_len);
  place->zone = zone_create (0);
  balance->zone_count++;
  for (uint32_t i = 0; i < balance->pool_count; i++)
    {
      pool_t *pool = &balance->pools[i];

      pool->buckets = mem_realloc (pool->buckets, (n + 1) * sizeof (bucket_t));
      pool->buckets[n] = (bucket_t){ 0 };
    }
  return (uint16_t)n;
}

pool_id_t
balance_find_or_add_pool (balance_t *balance, str_t name)
{
  const void *known = map_get (balance->pool_names, name);
  uint32_t n = balance->pool_count;
  pool_t *pool;

  if (known != NULL)
    return pointer_place (known);
  balance->pools = mem_realloc (balance->pools, (n + 1) * sizeof (pool_t));
  pool = &balance->pools[n];
  *pool = (pool_t){ 0 };
  pool->name = copy_name (name, &pool->name_len);
  pool->buckets = mem_zalloc (balance->zone_count * sizeof (bucket_t));
  map_put (balance->pool_names, name, place_pointer (n));
  balance->pool_count++;
  return n;
}

balance_t *
balance_create (str_t self, str_t zone, clock_iface_t *clock, rng_t *rng)
{
  balance_t *balance = mem_zalloc (sizeof *balance);

  balance->clock = clock;
  balance->rng = rng;
  balance->salt = str_hash (self, 0);
  balance->names = map_create ();
  balance->pool_names = map_create ();
  balance->hints = mem_zalloc (BALANCE_HINT_TABLE_SIZE * sizeof (hint_t));
  balance->own_zone = find_zone (balance, zone);
  return balance;
}

void
balance_destroy (balance_t *balance)
{
  if (balance == NULL)
    return;
  for (uint32_t i = 0; i < balance->pool_count; i++)
    {
      pool_t *pool = &balance->pools[i];

      for (uint32_t z = 0; z < balance->zone_count; z++)
        {
          free (pool->buckets[z].ring);
          free (pool->buckets[z].subset);
        }
      free (pool->buckets);
      free (pool->name);
    }
  free (balance->pools);
  for (uint32_t i = 0; i < balance->zone_count; i++)
    {
      zone_destroy (balance->zones[i].zone);
      free (balance->zones[i].name);
    }
  free (balance->zones);
  for (uint32_t i = 0; i < balance->count; i++)
    {
      free (balance->cold[i].name);
      free (balance->cold[i].pools);
    }
  free (balance->hot);
  free (balance->cold);
  free (balance->freed);
  free (balance->hints);
  map_destroy (balance->names);
  map_destroy (balance->pool_names);
  free (balance);
}

/* Upstreams.  */

/* Return a free place.  */
static uint32_t
take_place (balance_t *balance)
{
  if (balance->freed_count > 0)
    return balance->freed[--balance->freed_count];
  assert (balance->count < INDEX_MASK);
  if (balance->count == balance->cap)
    {
      balance->cap = balance->cap > 0 ? balance->cap * 2 : FIRST_CAP;
      balance->hot = mem_realloc (balance->hot, balance->cap * sizeof (hot_t));
      balance->cold
          = mem_realloc (balance->cold, balance->cap * sizeof (cold_t));
      balance->freed
          = mem_realloc (balance->freed, balance->cap * sizeof (uint32_t));
    }
  balance->hot[balance->count] = (hot_t){ 0 };
  balance->cold[balance->count] = (cold_t){ 0 };
  return balance->count++;
}

static bucket_t *
bucket_of (const balance_t *balance, uint32_t index, pool_id_t pool)
{
  return &balance->pools[pool].buckets[balance->hot[index].zone];
}

static void
leave_pools (balance_t *balance, uint32_t index)
{
  cold_t *cold = &balance->cold[index];

  for (uint32_t i = 0; i < cold->pool_count; i++)
    bucket_leave (balance, bucket_of (balance, index, cold->pools[i]), index);
  free (cold->pools);
  cold->pools = NULL;
  cold->pool_count = 0;
}

static bool
serves (const cold_t *cold, pool_id_t pool)
{
  for (uint32_t i = 0; i < cold->pool_count; i++)
    if (cold->pools[i] == pool)
      return true;
  return false;
}

static void
join_pools (balance_t *balance, uint32_t index, const str_t *pools,
            size_t pool_count)
{
  cold_t *cold = &balance->cold[index];

  cold->pools
      = mem_alloc ((pool_count > 0 ? pool_count : 1) * sizeof (pool_id_t));
  for (size_t i = 0; i < pool_count; i++)
    {
      pool_id_t pool = balance_find_or_add_pool (balance, pools[i]);

      if (serves (cold, pool))
        continue;
      cold->pools[cold->pool_count++] = pool;
      bucket_join (balance, bucket_of (balance, index, pool), index);
    }
}

/* Whether upstream INDEX serves just POOLS already.  */
static bool
same_pools (balance_t *balance, uint32_t index, const str_t *pools,
            size_t pool_count)
{
  const cold_t *cold = &balance->cold[index];

  if (cold->pool_count != pool_count)
    return false;
  for (size_t i = 0; i < pool_count; i++)
    if (!serves (cold, balance_find_or_add_pool (balance, pools[i])))
      return false;
  return true;
}

static void
begin_ramp (const balance_t *balance, hot_t *hot)
{
  hot->ramp = tick_of (clock_ms (balance->clock));
  hot->flags |= RAMPING;
}

static uint32_t
add_upstream (balance_t *balance, str_t name, bool returning)
{
  uint32_t index = take_place (balance);
  hot_t *hot = &balance->hot[index];
  cold_t *cold = &balance->cold[index];
  uint16_t generation = (hot->generation + 1) & GENERATION_MASK;

  *hot = (hot_t){ 0 };
  hot->generation = generation > 0 ? generation : 1;
  hot->flags = KNOWN;
  hot->slots = BALANCE_DEFAULT_SLOTS;
  hot->usual = BALANCE_DEFAULT_SLOTS * USUAL_ONE;
  if (returning)
    begin_ramp (balance, hot);
  cold->name = copy_name (name, &cold->name_len);
  cold->hash = str_hash (name, 0);
  map_put (balance->names, name, place_pointer (index));
  return index;
}

upstream_id_t
balance_update (balance_t *balance, str_t name, str_t zone, const str_t *pools,
                size_t pool_count, bool returning)
{
  const void *known = map_get (balance->names, name);
  uint16_t zone_number = find_zone (balance, zone);
  uint32_t index;

  if (known == NULL)
    index = add_upstream (balance, name, returning);
  else
    {
      index = pointer_place (known);
      if (balance->hot[index].zone == zone_number
          && same_pools (balance, index, pools, pool_count))
        return make_id (balance, index);
      leave_pools (balance, index);
    }
  balance->hot[index].zone = zone_number;
  join_pools (balance, index, pools, pool_count);
  return make_id (balance, index);
}

void
balance_remove (balance_t *balance, str_t name)
{
  const void *known = map_remove (balance->names, name);
  uint32_t index;

  if (known == NULL)
    return;
  index = pointer_place (known);
  leave_pools (balance, index);
  free (balance->cold[index].name);
  balance->cold[index].name = NULL;
  balance->hot[index].flags = 0;
  balance->freed[balance->freed_count++] = index;
}

upstream_id_t
balance_find (const balance_t *balance, str_t name)
{
  const void *known = map_get (balance->names, name);

  return known != NULL ? make_id (balance, pointer_place (known)) : 0;
}

void
balance_set_mark (balance_t *balance, upstream_id_t id, balance_mark_t mark,
                  bool on)
{
  uint32_t index = find_index (balance, id);
  bool wanted;
  hot_t *hot;
  const cold_t *cold;

  if (index == NOBODY)
    return;
  hot = &balance->hot[index];
  cold = &balance->cold[index];
  if (((hot->marks & mark) != 0) == on)
    return;
  wanted = subset_wants (hot);
  hot->marks ^= (uint8_t)mark;
  if (hot->marks == 0)
    {
      begin_ramp (balance, hot);
      hot->penalty = 0;
    }
  if (subset_wants (hot) == wanted)
    return;
  for (uint32_t i = 0; i < cold->pool_count; i++)
    {
      bucket_t *bucket = bucket_of (balance, index, cold->pools[i]);

      if (wanted)
        subset_drop (balance, bucket, index);
      else
        subset_offer (balance, bucket, index);
    }
}

void
balance_set_zone_enabled (balance_t *balance, str_t zone, bool in)
{
  /* A new zone may move the array: look the place up first.  */
  uint16_t number = find_zone (balance, zone);
  zone_t *state = balance->zones[number].zone;

  if (in)
    zone_in (state, clock_ms (balance->clock));
  else
    zone_out (state);
}

/* Load.  */

static void
take_slots (hot_t *hot, uint32_t slots)
{
  float usual = hot->usual;

  if (slots == 0)
    slots = 1;
  if (slots > SLOTS_MAX)
    slots = SLOTS_MAX;
  hot->slots = (uint16_t)slots;
  if ((hot->flags & REPORTED) == 0)
    usual = (float)(slots * USUAL_ONE);
  usual += USUAL_GAIN * ((float)(slots * USUAL_ONE) - usual);
  hot->usual = (uint16_t)usual;
}

void
balance_record_load (balance_t *balance, upstream_id_t id,
                     const balance_load_t *load, uint64_t age_ms)
{
  uint32_t index = find_index (balance, id);
  uint32_t now = tick_of (clock_ms (balance->clock));
  uint32_t tick = now - tick_of (age_ms);
  const cold_t *cold;
  hot_t *hot;

  if (index == NOBODY)
    return;
  hot = &balance->hot[index];
  cold = &balance->cold[index];
  /* Guards against reports that cross: one which is older than what is known
     would bring back a load that is gone.  */
  if ((hot->flags & REPORTED) != 0 && (int32_t)(tick - hot->reported) < 0)
    return;
  take_slots (hot, load->slots);
  hot->flags |= REPORTED;
  hot->reported = tick;
  hot->others = load->in_flight > hot->in_flight
                    ? (float)(load->in_flight - hot->in_flight)
                    : 0;
  for (uint32_t i = 0; i < cold->pool_count; i++)
    {
      pool_t *pool = &balance->pools[cold->pools[i]];
      float slots = hot->slots;

      pool->mean_others
          += MEAN_GAIN * (hot->others / slots - pool->mean_others);
      pool->mean_load
          += MEAN_GAIN * ((float)load->in_flight / slots - pool->mean_load);
      pool->reported = now;
    }
}

/* What one choice works with.  */
typedef struct
{
  const balance_request_t *request;
  const pool_t *pool;
  uint64_t now_ms;
  uint32_t now;
  double share; /* Of the zone looked at.  */
} choice_t;

static float
faded (float value, uint32_t age, float half_ms)
{
  return value * half_ms / (half_ms + ticks_ms (age));
}

/* Return what is left of the penalty of HOT at NOW.  Truly halved: one that
   fades as a report does would still weigh on an upstream of few slots when
   that had long been well.  */
static float
penalty_left (const hot_t *hot, uint32_t now)
{
  return hot->penalty
         * exp2f (-ticks_ms (now - hot->penalised) / BALANCE_PENALTY_HALF_MS);
}

/* Return the load of HOT with one request more: 1 when that fills it.  */
static float
load_with_one (const choice_t *choice, hot_t *hot)
{
  float room = (float)hot->usual / USUAL_ONE;
  float others = 0;
  float load = (float)hot->in_flight + 1;
  uint32_t age = choice->now - hot->reported;

  /* Guards against herding: an old report sends every entry to the upstream
     that was idle when it was made, so it counts less with its age, and what
     is usual counts more.  */
  if ((hot->flags & REPORTED) != 0)
    room += faded (hot->slots - room, age, BALANCE_REPORT_HALF_MS);
  others = choice->pool->mean_others * room;
  if ((hot->flags & REPORTED) != 0)
    others += faded (hot->others - others, age, BALANCE_REPORT_HALF_MS);
  room *= (float)choice->share;
  if (others > 0)
    load += others;
  if (hot->penalty > 0)
    load += penalty_left (hot, choice->now);
  if ((hot->flags & RAMPING) != 0)
    {
      uint64_t age_ms = (uint64_t)(choice->now - hot->ramp) << TICK_SHIFT;
      double ramp = zone_ramp_share (0, BALANCE_RAMP_MS, age_ms);

      if (ramp >= 1)
        hot->flags &= (uint8_t)~RAMPING;
      room *= (float)ramp;
    }
  return load / room;
}

static bool
may_take (const balance_t *balance, const choice_t *choice, uint32_t index)
{
  const balance_request_t *request = choice->request;

  if (balance->hot[index].marks != 0)
    return false;
  for (size_t i = 0; i < request->tried_count; i++)
    if ((request->tried[i] & INDEX_MASK) == index)
      return false;
  return true;
}

typedef struct
{
  uint32_t index; /* NOBODY when there is none.  */
  float load;
} candidate_t;

static void
consider (const balance_t *balance, const choice_t *choice, uint32_t index,
          candidate_t *best)
{
  float load;

  if (!may_take (balance, choice, index))
    return;
  load = load_with_one (choice, &balance->hot[index]);
  if (best->index != NOBODY && load >= best->load)
    return;
  best->index = index;
  best->load = load;
}

/* Return the better of two upstreams drawn from BUCKET.  Draws that find no
   free slot are repeated a few times: with half of a pool full every fourth
   pair is.  When marks and earlier tries leave none of those drawn, all of the
   subset are looked at.  */
static candidate_t
choose_of_two (const balance_t *balance, const choice_t *choice,
               const bucket_t *bucket)
{
  candidate_t best = { NOBODY, 0 };
  uint32_t n = bucket->subset_count;

  if (n == 0)
    return best;
  for (int try = 0;
       n > 2 && try < SAMPLE_TRIES && (best.index == NOBODY || best.load > 1);
       try++)
    {
      uint32_t a = (uint32_t)rng_below (balance->rng, n);
      uint32_t b = (uint32_t)rng_below (balance->rng, n - 1);

      if (b >= a)
        b++;
      consider (balance, choice, bucket->subset[a].index, &best);
      consider (balance, choice, bucket->subset[b].index, &best);
    }
  for (uint32_t i = 0; i < n && best.index == NOBODY; i++)
    consider (balance, choice, bucket->subset[i].index, &best);
  if (n == 2)
    consider (balance, choice, bucket->subset[1].index, &best);
  return best;
}

/* Return whether a home may take one more: it has a free slot, or is not much
   more loaded than the pool.  */
static bool
within_bound (const balance_t *balance, const choice_t *choice, uint32_t index)
{
  float bound = choice->pool->mean_load * (float)BALANCE_AFFINITY_LOAD_FACTOR;

  if (bound < 1)
    bound = 1;
  return may_take (balance, choice, index)
         && load_with_one (choice, &balance->hot[index]) <= bound;
}

/* Return where the last cache event saw the request's prefix, if that still
   holds and is in the own zone; NOBODY otherwise.  */
static uint32_t
hinted (const balance_t *balance, const choice_t *choice)
{
  uint64_t affinity = choice->request->affinity;
  const hint_t *hint
      = &balance->hints[mix (affinity) % BALANCE_HINT_TABLE_SIZE];
  uint32_t index;

  if (hint->affinity != affinity
      || ticks_ms (choice->now - hint->tick) > BALANCE_HINT_TTL_MS)
    return NOBODY;
  index = find_index (balance, hint->id);
  if (index == NOBODY || balance->hot[index].zone != balance->own_zone
      || !serves (&balance->cold[index], choice->request->pool))
    return NOBODY;
  return index;
}

/* Return the home of the request in BUCKET, or the next upstream on the ring
   that is within the bound; NOBODY when the walk finds none.  */
static uint32_t
choose_home (const balance_t *balance, const choice_t *choice,
             const bucket_t *bucket)
{
  uint32_t point = (uint32_t)(mix (choice->request->affinity) >> 32);
  uint32_t steps = bucket->count;
  uint32_t at;

  if (steps > BALANCE_AFFINITY_STEPS_MAX)
    steps = BALANCE_AFFINITY_STEPS_MAX;
  at = ring_search (bucket, point);
  for (; steps > 0; steps--, at++)
    {
      if (at >= bucket->count)
        at = 0;
      if (within_bound (balance, choice, bucket->ring[at].index))
        return bucket->ring[at].index;
    }
  return NOBODY;
}

/* Return the best candidate outside the own zone.  */
static candidate_t
choose_elsewhere (const balance_t *balance, choice_t *choice)
{
  candidate_t best = { NOBODY, 0 };

  for (uint32_t z = 0; z < balance->zone_count; z++)
    {
      candidate_t found;

      choice->share = zone_share (balance->zones[z].zone, choice->now_ms);
      if (z == balance->own_zone || choice->share == 0)
        continue;
      found = choose_of_two (balance, choice, &choice->pool->buckets[z]);
      if (found.index != NOBODY
          && (best.index == NOBODY || found.load < best.load))
        best = found;
    }
  return best;
}

/* Return the upstream for CHOICE, or NOBODY.  */
static uint32_t
choose (const balance_t *balance, choice_t *choice)
{
  const bucket_t *own = &choice->pool->buckets[balance->own_zone];
  candidate_t best = { NOBODY, 0 };
  candidate_t other;

  choice->share
      = zone_share (balance->zones[balance->own_zone].zone, choice->now_ms);
  if (choice->share > 0)
    {
      if (choice->request->affinity != BALANCE_NO_AFFINITY)
        {
          uint32_t index = hinted (balance, choice);

          if (index != NOBODY && within_bound (balance, choice, index))
            return index;
          index = choose_home (balance, choice, own);
          if (index != NOBODY)
            return index;
        }
      best = choose_of_two (balance, choice, own);
      if (best.index != NOBODY && best.load <= 1)
        return best.index;
    }
  other = choose_elsewhere (balance, choice);
  if (best.index == NOBODY
      || (other.index != NOBODY
          && other.load + (float)BALANCE_SPILL_MARGIN < best.load))
    return other.index;
  return best.index;
}

vh_code_t
balance_pick (balance_t *balance, const balance_request_t *request,
              upstream_id_t *id)
{
  choice_t choice = { .request = request };
  uint32_t index;

  if (request->pool >= balance->pool_count)
    return VH_E_NO_UPSTREAM;
  choice.pool = &balance->pools[request->pool];
  choice.now_ms = clock_ms (balance->clock);
  choice.now = tick_of (choice.now_ms);
  index = choose (balance, &choice);
  if (index == NOBODY)
    return VH_E_NO_UPSTREAM;
  *id = make_id (balance, index);
  return VH_OK;
}

void
balance_request_started (balance_t *balance, upstream_id_t id)
{
  uint32_t index = find_index (balance, id);

  if (index != NOBODY && balance->hot[index].in_flight < UINT16_MAX)
    balance->hot[index].in_flight++;
}

void
balance_request_ended (balance_t *balance, upstream_id_t id, bool ok)
{
  uint32_t index = find_index (balance, id);
  uint32_t now;
  hot_t *hot;

  if (index == NOBODY)
    return;
  hot = &balance->hot[index];
  if (hot->in_flight > 0)
    hot->in_flight--;
  if (ok)
    return;
  /* Guards against an upstream that fails at once: with nothing in flight it
     would look the least loaded, and draw the traffic.  */
  now = tick_of (clock_ms (balance->clock));
  hot->penalty = penalty_left (hot, now) + BALANCE_FAILURE_PENALTY;
  if (hot->penalty > PENALTY_MAX)
    hot->penalty = PENALTY_MAX;
  hot->penalised = now;
}

void
balance_cache_event (balance_t *balance, upstream_id_t id, uint64_t affinity,
                     bool stored)
{
  hint_t *hint = &balance->hints[mix (affinity) % BALANCE_HINT_TABLE_SIZE];

  if (stored)
    *hint = (hint_t){ affinity, id, tick_of (clock_ms (balance->clock)) };
  else if (hint->affinity == affinity && hint->id == id)
    *hint = (hint_t){ 0 };
}

double
balance_pressure (const balance_t *balance, pool_id_t pool)
{
  uint32_t now = tick_of (clock_ms (balance->clock));
  const pool_t *at;

  if (pool >= balance->pool_count)
    return 0;
  at = &balance->pools[pool];
  return faded (at->mean_load, now - at->reported, BALANCE_PRESSURE_HALF_MS);
}

size_t
balance_subset (const balance_t *balance, pool_id_t pool, upstream_id_t *ids,
                size_t room)
{
  size_t count = 0;

  if (pool >= balance->pool_count)
    return 0;
  for (uint32_t z = 0; z < balance->zone_count; z++)
    {
      const bucket_t *bucket = &balance->pools[pool].buckets[z];

      for (uint32_t i = 0; i < bucket->subset_count; i++, count++)
        if (count < room)
          ids[count] = make_id (balance, bucket->subset[i].index);
    }
  return count;
}

/* Return the load of upstream INDEX as it is compared, in the first pool it
   serves.  */
static double
compared_load (balance_t *balance, uint32_t index)
{
  hot_t *hot = &balance->hot[index];
  const cold_t *cold = &balance->cold[index];
  choice_t choice = { .now_ms = clock_ms (balance->clock) };

  if (cold->pool_count == 0)
    return 0;
  choice.now = tick_of (choice.now_ms);
  choice.pool = &balance->pools[cold->pools[0]];
  choice.share = zone_share (balance->zones[hot->zone].zone, choice.now_ms);
  return choice.share > 0 ? load_with_one (&choice, hot) : INFINITY;
}

static void
fill_info (balance_t *balance, uint32_t index, balance_info_t *info)
{
  const hot_t *hot = &balance->hot[index];
  const cold_t *cold = &balance->cold[index];
  const place_t *place = &balance->zones[hot->zone];
  uint32_t now = tick_of (clock_ms (balance->clock));

  info->id = make_id (balance, index);
  info->name = str_make (cold->name, cold->name_len);
  info->zone = str_make (place->name, place->name_len);
  info->marks = hot->marks;
  info->in_flight = hot->in_flight;
  info->slots = hot->slots;
  info->report_age_ms = (hot->flags & REPORTED) != 0
                            ? (uint64_t)(now - hot->reported) << TICK_SHIFT
                            : UINT64_MAX;
  info->load = compared_load (balance, index);
}

bool
balance_info (balance_t *balance, upstream_id_t id, balance_info_t *info)
{
  uint32_t index = find_index (balance, id);

  if (index == NOBODY)
    return false;
  fill_info (balance, index, info);
  return true;
}

bool
balance_next_upstream (balance_t *balance, size_t *cursor,
                       balance_info_t *info)
{
  for (; *cursor < balance->count; ++*cursor)
    {
      uint32_t index = (uint32_t)*cursor;

      if ((balance->hot[index].flags & KNOWN) == 0)
        continue;
      ++*cursor;
      fill_info (balance, index, info);
      return true;
    }
  return false;
}

size_t
balance_upstream_count (const balance_t *balance)
{
  return map_size (balance->names);
}
