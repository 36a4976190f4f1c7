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
  /* Times are stored in 32 bits as ticks of 8 ms, which wrap after a year.  */
  TICK_SHIFT = 3,
  /* The value 1 in the fixed-point average of the slots.  */
  FIXED_POINT_ONE = 16,
  SLOTS_MAX = UINT16_MAX / FIXED_POINT_ONE,
  DRAWS_MAX = 3,
  PENALTY_MAX = 64,
  INITIAL_CAPACITY = 16,
  NO_UPSTREAM = UINT32_MAX
};

enum
{
  FLAG_IN_USE = 1,
  FLAG_REPORTED = 2,
  FLAG_RAMPING = 4
};

/* Weight of one load report in the moving averages of a pool.  */
#define POOL_AVERAGE_WEIGHT 0.03125f
/* Weight of one load report in the moving average of an upstream's slots.  */
#define SLOTS_AVERAGE_WEIGHT 0.3f
#define RING_HASH_SEED 0x70f1a5c3u

/* The fields of an upstream that a selection reads: 32 bytes, so that a cache
   line holds two upstreams.  */
typedef struct
{
  float other_gateways_load; /* Load of other gateways in the last report.  */
  float penalty;             /* Load added for failures at PENALTY_TICK.  */
  uint32_t reported_tick; /* Tick at which the last load report was made.  */
  uint32_t penalty_tick;  /* Tick at which PENALTY was last raised.  */
  uint32_t ramp_tick;     /* Tick at which the ramp started.  */
  uint16_t in_flight;     /* Requests of this gateway in flight.  */
  uint16_t slots;         /* Slots in the last report.  */
  uint16_t average_slots_16ths; /* Moving average of the slots, in 16ths.  */
  uint16_t zone;
  uint16_t generation;
  uint8_t marks;
  uint8_t flags;
} upstream_state_t;

_Static_assert(sizeof (upstream_state_t) == 32,
               "two upstreams to a cache line");

/* The fields of an upstream that a selection does not read.  */
typedef struct
{
  char *name;
  uint32_t name_len;
  uint32_t pool_count;
  uint64_t name_hash; /* Hash of the name, the same in every process.  */
  pool_id_t *pools;
} upstream_details_t;

/* An upstream's index, and the hash by which an array of these is ordered.  */
typedef struct
{
  uint32_t hash;
  uint32_t index;
} hashed_index_t;

/* The upstreams of one pool in one zone.  */
typedef struct
{
  hashed_index_t *ring; /* Hash ring of the upstreams of the pool in the zone,
                           in ascending order of hashes.  */
  uint32_t upstream_count;
  uint32_t capacity;
  /* Upstreams that this gateway uses, highest rank first.  */
  hashed_index_t *subset;
  uint32_t subset_count;
} zone_pool_t;

typedef struct
{
  char *name;
  uint32_t name_len;
  /* Mean load per slot that gateways other than this one cause, as
     reported.  */
  float mean_other_gateways_load;
  float mean_load; /* Mean load per slot of all gateways, as reported.  */
  uint32_t reported_tick;  /* Tick at which the last load report arrived.  */
  zone_pool_t *zone_pools; /* Indexed by zone number.  */
} upstream_pool_t;

typedef struct
{
  char *name;
  uint32_t name_len;
  zone_t *zone;
} named_zone_t;

typedef struct
{
  uint64_t affinity;
  upstream_id_t id;
  uint32_t stored_tick;
} cache_hint_t;

struct balance
{
  clock_iface_t *clock;
  rng_t *rng;
  uint64_t gateway_hash; /* Hash of this gateway's name, mixed into ranks.  */
  uint16_t own_zone;

  upstream_state_t *states;
  upstream_details_t *details;
  /* Length of STATES and of DETAILS, removed upstreams included.  */
  uint32_t count;
  uint32_t capacity;
  uint32_t *free_indices; /* Indices of removed upstreams, for reuse.  */
  uint32_t free_index_count;
  map_t *index_by_name; /* Maps an upstream's name to its index plus 1, stored
                           as a pointer.  */

  upstream_pool_t *pools;
  uint32_t pool_count;
  map_t *pool_by_name;

  named_zone_t *zones;
  uint32_t zone_count;

  cache_hint_t *cache_hints;
};

/* Return a hash of X (the finaliser of splitmix64).  */
static uint64_t
splitmix64 (uint64_t x)
{
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9u;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebu;
  return x ^ (x >> 31);
}

static void *
index_to_pointer (uint32_t index)
{
  return (void *)(uintptr_t)(index + 1);
}

static uint32_t
pointer_to_index (const void *pointer)
{
  return (uint32_t)((uintptr_t)pointer - 1);
}

static uint32_t
ms_to_ticks (uint64_t ms)
{
  return (uint32_t)(ms >> TICK_SHIFT);
}

static float
ticks_to_ms (uint32_t ticks)
{
  return (float)((uint64_t)ticks << TICK_SHIFT);
}

static upstream_id_t
make_id (const balance_t *balance, uint32_t index)
{
  return (upstream_id_t)balance->states[index].generation << INDEX_BITS
         | index;
}

/* Return the index of upstream ID, or NO_UPSTREAM if it was removed.  */
static uint32_t
find_index (const balance_t *balance, upstream_id_t id)
{
  uint32_t index = id & INDEX_MASK;

  if (id == 0 || index >= balance->count
      || (balance->states[index].flags & FLAG_IN_USE) == 0
      || balance->states[index].generation != id >> INDEX_BITS)
    return NO_UPSTREAM;
  return index;
}

static uint32_t
subset_rank (const balance_t *balance, uint32_t index)
{
  return (uint32_t)(splitmix64 (balance->details[index].name_hash
                                ^ balance->gateway_hash)
                    >> 32);
}

static bool
has_higher_rank (hashed_index_t a, hashed_index_t b)
{
  return a.hash > b.hash || (a.hash == b.hash && a.index < b.index);
}

static uint32_t
subset_capacity (const balance_t *balance, uint32_t zone)
{
  return zone == balance->own_zone ? BALANCE_SUBSET_OWN_ZONE
                                   : BALANCE_SUBSET_OTHER_ZONE;
}

/* Return whether an upstream with the marks of STATE may be in a subset.  An
   ejected upstream may: its connection stays open, because ejections last only
   seconds.  */
static bool
subset_accepts (const upstream_state_t *state)
{
  return (state->marks & ~BALANCE_EJECTED) == 0;
}

/* Add the upstream INDEX to the subset of ZONE_POOL if its rank is high
   enough.  */
static void
subset_add_if_ranked (const balance_t *balance, zone_pool_t *zone_pool,
                      uint32_t index)
{
  uint32_t capacity = subset_capacity (balance, balance->states[index].zone);
  hashed_index_t new = { subset_rank (balance, index), index };
  uint32_t i;

  if (!subset_accepts (&balance->states[index]))
    return;
  if (zone_pool->subset == NULL)
    zone_pool->subset = mem_alloc (capacity * sizeof (hashed_index_t));
  if (zone_pool->subset_count == capacity)
    {
      if (!has_higher_rank (new, zone_pool->subset[capacity - 1]))
        return;
      zone_pool->subset_count--;
    }
  for (i = zone_pool->subset_count; i > 0; i--)
    {
      if (!has_higher_rank (new, zone_pool->subset[i - 1]))
        break;
      zone_pool->subset[i] = zone_pool->subset[i - 1];
    }
  zone_pool->subset[i] = new;
  zone_pool->subset_count++;
}

/* Append the upstream of the next lower rank to the subset of ZONE_POOL if the
   subset has fewer than CAPACITY upstreams.  */
static void
subset_refill (const balance_t *balance, zone_pool_t *zone_pool,
               uint32_t capacity)
{
  hashed_index_t best = { 0, NO_UPSTREAM };
  hashed_index_t last = { UINT32_MAX, 0 };

  if (zone_pool->subset_count >= capacity
      || zone_pool->subset_count >= zone_pool->upstream_count)
    return;
  if (zone_pool->subset_count > 0)
    last = zone_pool->subset[zone_pool->subset_count - 1];
  for (uint32_t i = 0; i < zone_pool->upstream_count; i++)
    {
      uint32_t index = zone_pool->ring[i].index;
      hashed_index_t candidate = { subset_rank (balance, index), index };

      if ((zone_pool->subset_count == 0 || has_higher_rank (last, candidate))
          && (best.index == NO_UPSTREAM || has_higher_rank (candidate, best))
          && subset_accepts (&balance->states[index]))
        best = candidate;
    }
  if (best.index != NO_UPSTREAM)
    zone_pool->subset[zone_pool->subset_count++] = best;
}

/* Remove the upstream INDEX from the subset of ZONE_POOL if it is a
   member.  */
static void
subset_remove (const balance_t *balance, zone_pool_t *zone_pool,
               uint32_t index)
{
  uint32_t capacity = subset_capacity (balance, balance->states[index].zone);
  uint32_t i = 0;
  bool was_full = zone_pool->subset_count == capacity;

  while (i < zone_pool->subset_count && zone_pool->subset[i].index != index)
    i++;
  if (i == zone_pool->subset_count)
    return;
  zone_pool->subset_count--;
  for (; i < zone_pool->subset_count; i++)
    zone_pool->subset[i] = zone_pool->subset[i + 1];
  /* A subset that was not full contains all upstreams that may be in it.  */
  if (was_full)
    subset_refill (balance, zone_pool, capacity);
}

/* Return the position in the ring of ZONE_POOL of the first upstream whose
   hash is at least HASH; ZONE_POOL->upstream_count if there is none.  */
static uint32_t
ring_search (const zone_pool_t *zone_pool, uint32_t hash)
{
  uint32_t low = 0;
  uint32_t high = zone_pool->upstream_count;

  while (low < high)
    {
      uint32_t middle = low + (high - low) / 2;

      if (zone_pool->ring[middle].hash < hash)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static uint32_t
ring_hash (const balance_t *balance, uint32_t index)
{
  return (
      uint32_t)(splitmix64 (balance->details[index].name_hash ^ RING_HASH_SEED)
                >> 32);
}

static void
zone_pool_add (const balance_t *balance, zone_pool_t *zone_pool,
               uint32_t index)
{
  hashed_index_t new = { ring_hash (balance, index), index };
  uint32_t position = ring_search (zone_pool, new.hash);

  if (zone_pool->upstream_count == zone_pool->capacity)
    {
      zone_pool->capacity = zone_pool->capacity > 0 ? zone_pool->capacity * 2
                                                    : INITIAL_CAPACITY;
      zone_pool->ring = mem_realloc (
          zone_pool->ring, zone_pool->capacity * sizeof (hashed_index_t));
    }
  memmove (&zone_pool->ring[position + 1], &zone_pool->ring[position],
           (zone_pool->upstream_count - position) * sizeof (hashed_index_t));
  zone_pool->ring[position] = new;
  zone_pool->upstream_count++;
  subset_add_if_ranked (balance, zone_pool, index);
}

static void
zone_pool_remove (const balance_t *balance, zone_pool_t *zone_pool,
                  uint32_t index)
{
  uint32_t position = ring_search (zone_pool, ring_hash (balance, index));

  while (zone_pool->ring[position].index != index)
    position++;
  zone_pool->upstream_count--;
  memmove (&zone_pool->ring[position], &zone_pool->ring[position + 1],
           (zone_pool->upstream_count - position) * sizeof (hashed_index_t));
  subset_remove (balance, zone_pool, index);
}

static char *
copy_name (str_t name, uint32_t *len)
{
  *len = (uint32_t)name.len;
  return str_dup (name);
}

/* Return the number of zone NAME, which is created if it does not exist.  */
static uint16_t
find_or_add_zone (balance_t *balance, str_t name)
{
  uint32_t n = balance->zone_count;
  named_zone_t *named_zone;

  for (uint32_t i = 0; i < n; i++)
    if (str_eq (str_make (balance->zones[i].name, balance->zones[i].name_len),
                name))
      return (uint16_t)i;
  balance->zones
      = mem_realloc (balance->zones, (n + 1) * sizeof (named_zone_t));
  named_zone = &balance->zones[n];
  named_zone->name = copy_name (name, &named_zone->name_len);
  named_zone->zone = zone_create (0);
  balance->zone_count++;
  for (uint32_t i = 0; i < balance->pool_count; i++)
    {
      upstream_pool_t *pool = &balance->pools[i];

      pool->zone_pools
          = mem_realloc (pool->zone_pools, (n + 1) * sizeof (zone_pool_t));
      pool->zone_pools[n] = (zone_pool_t){ 0 };
    }
  return (uint16_t)n;
}

pool_id_t
balance_find_or_add_pool (balance_t *balance, str_t name)
{
  const void *found = map_get (balance->pool_by_name, name);
  uint32_t n = balance->pool_count;
  upstream_pool_t *pool;

  if (found != NULL)
    return pointer_to_index (found);
  balance->pools
      = mem_realloc (balance->pools, (n + 1) * sizeof (upstream_pool_t));
  pool = &balance->pools[n];
  *pool = (upstream_pool_t){ 0 };
  pool->name = copy_name (name, &pool->name_len);
  pool->zone_pools = mem_zalloc (balance->zone_count * sizeof (zone_pool_t));
  map_put (balance->pool_by_name, name, index_to_pointer (n));
  balance->pool_count++;
  return n;
}

balance_t *
balance_create (str_t self, str_t zone, clock_iface_t *clock, rng_t *rng)
{
  balance_t *balance = mem_zalloc (sizeof *balance);

  balance->clock = clock;
  balance->rng = rng;
  balance->gateway_hash = str_hash (self, 0);
  balance->index_by_name = map_create ();
  balance->pool_by_name = map_create ();
  balance->cache_hints
      = mem_zalloc (BALANCE_HINT_TABLE_SIZE * sizeof (cache_hint_t));
  balance->own_zone = find_or_add_zone (balance, zone);
  return balance;
}

void
balance_destroy (balance_t *balance)
{
  if (balance == NULL)
    return;
  for (uint32_t i = 0; i < balance->pool_count; i++)
    {
      upstream_pool_t *pool = &balance->pools[i];

      for (uint32_t z = 0; z < balance->zone_count; z++)
        {
          free (pool->zone_pools[z].ring);
          free (pool->zone_pools[z].subset);
        }
      free (pool->zone_pools);
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
      free (balance->details[i].name);
      free (balance->details[i].pools);
    }
  free (balance->states);
  free (balance->details);
  free (balance->free_indices);
  free (balance->cache_hints);
  map_destroy (balance->index_by_name);
  map_destroy (balance->pool_by_name);
  free (balance);
}

/* Return the index of an unused element of STATES and DETAILS, which grow if
   all elements are in use.  */
static uint32_t
take_index (balance_t *balance)
{
  if (balance->free_index_count > 0)
    return balance->free_indices[--balance->free_index_count];
  assert (balance->count < INDEX_MASK);
  if (balance->count == balance->capacity)
    {
      balance->capacity
          = balance->capacity > 0 ? balance->capacity * 2 : INITIAL_CAPACITY;
      balance->states = mem_realloc (
          balance->states, balance->capacity * sizeof (upstream_state_t));
      balance->details = mem_realloc (
          balance->details, balance->capacity * sizeof (upstream_details_t));
      balance->free_indices = mem_realloc (
          balance->free_indices, balance->capacity * sizeof (uint32_t));
    }
  balance->states[balance->count] = (upstream_state_t){ 0 };
  balance->details[balance->count] = (upstream_details_t){ 0 };
  return balance->count++;
}

static zone_pool_t *
zone_pool_of (const balance_t *balance, uint32_t index, pool_id_t pool)
{
  return &balance->pools[pool].zone_pools[balance->states[index].zone];
}

static void
remove_from_pools (balance_t *balance, uint32_t index)
{
  upstream_details_t *details = &balance->details[index];

  for (uint32_t i = 0; i < details->pool_count; i++)
    zone_pool_remove (balance,
                      zone_pool_of (balance, index, details->pools[i]), index);
  free (details->pools);
  details->pools = NULL;
  details->pool_count = 0;
}

static bool
serves_pool (const upstream_details_t *details, pool_id_t pool)
{
  for (uint32_t i = 0; i < details->pool_count; i++)
    if (details->pools[i] == pool)
      return true;
  return false;
}

static void
add_to_pools (balance_t *balance, uint32_t index, const str_t *pools,
              size_t pool_count)
{
  upstream_details_t *details = &balance->details[index];

  details->pools
      = mem_alloc ((pool_count > 0 ? pool_count : 1) * sizeof (pool_id_t));
  for (size_t i = 0; i < pool_count; i++)
    {
      pool_id_t pool = balance_find_or_add_pool (balance, pools[i]);

      if (serves_pool (details, pool))
        continue;
      details->pools[details->pool_count++] = pool;
      zone_pool_add (balance, zone_pool_of (balance, index, pool), index);
    }
}

/* Return whether upstream INDEX serves exactly the pools named in POOLS.  */
static bool
has_same_pools (balance_t *balance, uint32_t index, const str_t *pools,
                size_t pool_count)
{
  const upstream_details_t *details = &balance->details[index];

  if (details->pool_count != pool_count)
    return false;
  for (size_t i = 0; i < pool_count; i++)
    if (!serves_pool (details, balance_find_or_add_pool (balance, pools[i])))
      return false;
  return true;
}

static void
start_ramp (const balance_t *balance, upstream_state_t *state)
{
  state->ramp_tick = ms_to_ticks (clock_ms (balance->clock));
  state->flags |= FLAG_RAMPING;
}

static uint32_t
add_upstream (balance_t *balance, str_t name, bool returning)
{
  uint32_t index = take_index (balance);
  upstream_state_t *state = &balance->states[index];
  upstream_details_t *details = &balance->details[index];
  uint16_t generation = (state->generation + 1) & GENERATION_MASK;

  *state = (upstream_state_t){ 0 };
  state->generation = generation > 0 ? generation : 1;
  state->flags = FLAG_IN_USE;
  state->slots = BALANCE_DEFAULT_SLOTS;
  state->average_slots_16ths = BALANCE_DEFAULT_SLOTS * FIXED_POINT_ONE;
  if (returning)
    start_ramp (balance, state);
  details->name = copy_name (name, &details->name_len);
  details->name_hash = str_hash (name, 0);
  map_put (balance->index_by_name, name, index_to_pointer (index));
  return index;
}

upstream_id_t
balance_update (balance_t *balance, str_t name, str_t zone, const str_t *pools,
                size_t pool_count, bool returning)
{
  const void *found = map_get (balance->index_by_name, name);
  uint16_t zone_number = find_or_add_zone (balance, zone);
  uint32_t index;

  if (found == NULL)
    index = add_upstream (balance, name, returning);
  else
    {
      index = pointer_to_index (found);
      if (balance->states[index].zone == zone_number
          && has_same_pools (balance, index, pools, pool_count))
        return make_id (balance, index);
      remove_from_pools (balance, index);
    }
  balance->states[index].zone = zone_number;
  add_to_pools (balance, index, pools, pool_count);
  return make_id (balance, index);
}

void
balance_remove (balance_t *balance, str_t name)
{
  const void *found = map_remove (balance->index_by_name, name);
  uint32_t index;

  if (found == NULL)
    return;
  index = pointer_to_index (found);
  remove_from_pools (balance, index);
  free (balance->details[index].name);
  balance->details[index].name = NULL;
  balance->states[index].flags = 0;
  balance->free_indices[balance->free_index_count++] = index;
}

upstream_id_t
balance_find (const balance_t *balance, str_t name)
{
  const void *found = map_get (balance->index_by_name, name);

  return found != NULL ? make_id (balance, pointer_to_index (found)) : 0;
}

void
balance_set_mark (balance_t *balance, upstream_id_t id, balance_mark_t mark,
                  bool is_set)
{
  uint32_t index = find_index (balance, id);
  bool was_accepted;
  upstream_state_t *state;
  const upstream_details_t *details;

  if (index == NO_UPSTREAM)
    return;
  state = &balance->states[index];
  details = &balance->details[index];
  if (((state->marks & mark) != 0) == is_set)
    return;
  was_accepted = subset_accepts (state);
  state->marks ^= (uint8_t)mark;
  if (state->marks == 0)
    {
      start_ramp (balance, state);
      state->penalty = 0;
    }
  if (subset_accepts (state) == was_accepted)
    return;
  for (uint32_t i = 0; i < details->pool_count; i++)
    {
      zone_pool_t *zone_pool
          = zone_pool_of (balance, index, details->pools[i]);

      if (was_accepted)
        subset_remove (balance, zone_pool, index);
      else
        subset_add_if_ranked (balance, zone_pool, index);
    }
}

void
balance_set_zone_enabled (balance_t *balance, str_t zone, bool enabled)
{
  /* find_or_add_zone may move the array ZONES, so the number is looked up
     before its element.  */
  uint16_t number = find_or_add_zone (balance, zone);
  zone_t *found = balance->zones[number].zone;

  if (enabled)
    zone_enable (found, clock_ms (balance->clock));
  else
    zone_disable (found);
}

static void
update_slots (upstream_state_t *state, uint32_t slots)
{
  float average_slots_16ths = state->average_slots_16ths;

  if (slots == 0)
    slots = 1;
  if (slots > SLOTS_MAX)
    slots = SLOTS_MAX;
  state->slots = (uint16_t)slots;
  if ((state->flags & FLAG_REPORTED) == 0)
    average_slots_16ths = (float)(slots * FIXED_POINT_ONE);
  average_slots_16ths
      += SLOTS_AVERAGE_WEIGHT
         * ((float)(slots * FIXED_POINT_ONE) - average_slots_16ths);
  state->average_slots_16ths = (uint16_t)average_slots_16ths;
}

void
balance_record_load (balance_t *balance, upstream_id_t id,
                     const balance_load_t *load, uint64_t age_ms)
{
  uint32_t index = find_index (balance, id);
  uint32_t now_ticks = ms_to_ticks (clock_ms (balance->clock));
  uint32_t tick = now_ticks - ms_to_ticks (age_ms);
  const upstream_details_t *details;
  upstream_state_t *state;

  if (index == NO_UPSTREAM)
    return;
  state = &balance->states[index];
  details = &balance->details[index];
  /* Reports may arrive out of order.  A report that is older than the last one
     would restore a load that no longer exists.  */
  if ((state->flags & FLAG_REPORTED) != 0
      && (int32_t)(tick - state->reported_tick) < 0)
    return;
  update_slots (state, load->slots);
  state->flags |= FLAG_REPORTED;
  state->reported_tick = tick;
  state->other_gateways_load
      = load->in_flight > state->in_flight
            ? (float)(load->in_flight - state->in_flight)
            : 0;
  for (uint32_t i = 0; i < details->pool_count; i++)
    {
      upstream_pool_t *pool = &balance->pools[details->pools[i]];
      float slots = state->slots;

      pool->mean_other_gateways_load += POOL_AVERAGE_WEIGHT
                                        * (state->other_gateways_load / slots
                                           - pool->mean_other_gateways_load);
      pool->mean_load += POOL_AVERAGE_WEIGHT
                         * ((float)load->in_flight / slots - pool->mean_load);
      pool->reported_tick = now_ticks;
    }
}

/* Input and derived values of the selection of an upstream for one
   request.  */
typedef struct
{
  const balance_request_t *request;
  const upstream_pool_t *pool;
  uint64_t now_ms;
  uint32_t now_ticks;
  double traffic_share; /* Share of traffic that the examined zone gets, 0
                           to 1.  */
} selection_t;

/* Return VALUE weighted by its age: a half at an age of HALF_MS, a third at
   twice that age.  */
static float
weigh_by_age (float value, uint32_t age_ticks, float half_ms)
{
  return value * half_ms / (half_ms + ticks_to_ms (age_ticks));
}

/* Return the failure penalty of STATE at NOW_TICKS.  The penalty decays
   exponentially: with the slower decay of reports a penalty would still keep
   requests away from an upstream of few slots long after its recovery.  */
static float
decayed_penalty (const upstream_state_t *state, uint32_t now_ticks)
{
  return state->penalty
         * exp2f (-ticks_to_ms (now_ticks - state->penalty_tick)
                  / BALANCE_PENALTY_HALF_MS);
}

/* Return the load per slot of the upstream with STATE if one more request is
   sent there; 1 if that request takes the last slot.  */
static float
load_with_request (const selection_t *selection, upstream_state_t *state)
{
  float effective_slots = (float)state->average_slots_16ths / FIXED_POINT_ONE;
  float other_gateways_load = 0;
  float load = (float)state->in_flight + 1;
  uint32_t age_ticks = selection->now_ticks - state->reported_tick;

  /* An old report would make all gateways select the upstream that was idle
     when the report was made (herding).  The weight of a report therefore
     falls with its age, and the weight of the averages rises.  */
  if ((state->flags & FLAG_REPORTED) != 0)
    effective_slots += weigh_by_age (state->slots - effective_slots, age_ticks,
                                     BALANCE_REPORT_HALF_MS);
  other_gateways_load
      = selection->pool->mean_other_gateways_load * effective_slots;
  if ((state->flags & FLAG_REPORTED) != 0)
    other_gateways_load
        += weigh_by_age (state->other_gateways_load - other_gateways_load,
                         age_ticks, BALANCE_REPORT_HALF_MS);
  effective_slots *= (float)selection->traffic_share;
  if (other_gateways_load > 0)
    load += other_gateways_load;
  if (state->penalty > 0)
    load += decayed_penalty (state, selection->now_ticks);
  if ((state->flags & FLAG_RAMPING) != 0)
    {
      uint64_t age_ms = (uint64_t)(selection->now_ticks - state->ramp_tick)
                        << TICK_SHIFT;
      double ramp_share = zone_ramp_share (0, BALANCE_RAMP_MS, age_ms);

      if (ramp_share >= 1)
        state->flags &= (uint8_t)~FLAG_RAMPING;
      effective_slots *= (float)ramp_share;
    }
  return load / effective_slots;
}

static bool
is_selectable (const balance_t *balance, const selection_t *selection,
               uint32_t index)
{
  const balance_request_t *request = selection->request;

  if (balance->states[index].marks != 0)
    return false;
  for (size_t i = 0; i < request->tried_count; i++)
    if ((request->tried[i] & INDEX_MASK) == index)
      return false;
  return true;
}

typedef struct
{
  /* Index of the upstream; NO_UPSTREAM if no upstream was found.  */
  uint32_t index;
  float load;
} candidate_t;

static void
consider_candidate (const balance_t *balance, const selection_t *selection,
                    uint32_t index, candidate_t *best)
{
  float load;

  if (!is_selectable (balance, selection, index))
    return;
  load = load_with_request (selection, &balance->states[index]);
  if (best->index != NO_UPSTREAM && load >= best->load)
    return;
  best->index = index;
  best->load = load;
}

/* Return the less loaded of two upstreams drawn at random from the subset of
   ZONE_POOL.  A draw that finds no free slot is repeated a few times, because
   with half of the pool full every fourth pair is full.  If all upstreams
   drawn are excluded (draining, ejected, disabled, unreachable or already
   tried for the request), the first selectable upstream of the subset is
   returned.  A subset of one or two upstreams is examined whole, without a
   draw.  */
static candidate_t
choose_best_of_two (const balance_t *balance, const selection_t *selection,
                    const zone_pool_t *zone_pool)
{
  candidate_t best = { NO_UPSTREAM, 0 };
  uint32_t n = zone_pool->subset_count;

  if (n == 0)
    return best;
  for (int try = 0; n > 2 && try < DRAWS_MAX
                    && (best.index == NO_UPSTREAM || best.load > 1);
       try++)
    {
      uint32_t a = (uint32_t)rng_below (balance->rng, n);
      uint32_t b = (uint32_t)rng_below (balance->rng, n - 1);

      if (b >= a)
        b++;
      consider_candidate (balance, selection, zone_pool->subset[a].index,
                          &best);
      consider_candidate (balance, selection, zone_pool->subset[b].index,
                          &best);
    }
  for (uint32_t i = 0; i < n && best.index == NO_UPSTREAM; i++)
    consider_candidate (balance, selection, zone_pool->subset[i].index, &best);
  if (n == 2)
    consider_candidate (balance, selection, zone_pool->subset[1].index, &best);
  return best;
}

/* Return whether affinity may send a request to upstream INDEX: it has a free
   slot, or its load is at most BALANCE_AFFINITY_LOAD_FACTOR times the mean
   load of the pool.  */
static bool
is_within_affinity_bound (const balance_t *balance,
                          const selection_t *selection, uint32_t index)
{
  float bound
      = selection->pool->mean_load * (float)BALANCE_AFFINITY_LOAD_FACTOR;

  if (bound < 1)
    bound = 1;
  return is_selectable (balance, selection, index)
         && load_with_request (selection, &balance->states[index]) <= bound;
}

/* Return the upstream that has cached the request's prefix according to the
   last cache event.  Return NO_UPSTREAM if there is no valid event, or if the
   upstream is in another zone or no longer serves the pool.  */
static uint32_t
hinted_upstream (const balance_t *balance, const selection_t *selection)
{
  uint64_t affinity = selection->request->affinity;
  const cache_hint_t *hint
      = &balance->cache_hints[splitmix64 (affinity) % BALANCE_HINT_TABLE_SIZE];
  uint32_t index;

  if (hint->affinity != affinity
      || ticks_to_ms (selection->now_ticks - hint->stored_tick)
             > BALANCE_HINT_TTL_MS)
    return NO_UPSTREAM;
  index = find_index (balance, hint->id);
  if (index == NO_UPSTREAM || balance->states[index].zone != balance->own_zone
      || !serves_pool (&balance->details[index], selection->request->pool))
    return NO_UPSTREAM;
  return index;
}

/* Return the first upstream on the hash ring of ZONE_POOL, at or after the
   hash of the request's affinity, whose load is within the affinity bound.
   Return NO_UPSTREAM if BALANCE_AFFINITY_STEPS_MAX steps find none.  */
static uint32_t
choose_by_affinity (const balance_t *balance, const selection_t *selection,
                    const zone_pool_t *zone_pool)
{
  uint32_t hash = (uint32_t)(splitmix64 (selection->request->affinity) >> 32);
  uint32_t steps = zone_pool->upstream_count;
  uint32_t position;

  if (steps > BALANCE_AFFINITY_STEPS_MAX)
    steps = BALANCE_AFFINITY_STEPS_MAX;
  position = ring_search (zone_pool, hash);
  for (; steps > 0; steps--, position++)
    {
      if (position >= zone_pool->upstream_count)
        position = 0;
      if (is_within_affinity_bound (balance, selection,
                                    zone_pool->ring[position].index))
        return zone_pool->ring[position].index;
    }
  return NO_UPSTREAM;
}

/* Return the least loaded candidate in the zones other than the gateway's
   own.  */
static candidate_t
choose_in_other_zones (const balance_t *balance, selection_t *selection)
{
  candidate_t best = { NO_UPSTREAM, 0 };

  for (uint32_t z = 0; z < balance->zone_count; z++)
    {
      candidate_t found;

      selection->traffic_share
          = zone_share (balance->zones[z].zone, selection->now_ms);
      if (z == balance->own_zone || selection->traffic_share == 0)
        continue;
      found = choose_best_of_two (balance, selection,
                                  &selection->pool->zone_pools[z]);
      if (found.index != NO_UPSTREAM
          && (best.index == NO_UPSTREAM || found.load < best.load))
        best = found;
    }
  return best;
}

/* Return the index of the upstream for the request of SELECTION, or
   NO_UPSTREAM.  */
static uint32_t
choose_upstream (const balance_t *balance, selection_t *selection)
{
  const zone_pool_t *own_zone_pool
      = &selection->pool->zone_pools[balance->own_zone];
  candidate_t best = { NO_UPSTREAM, 0 };
  candidate_t other;

  selection->traffic_share
      = zone_share (balance->zones[balance->own_zone].zone, selection->now_ms);
  if (selection->traffic_share > 0)
    {
      if (selection->request->affinity != BALANCE_NO_AFFINITY)
        {
          uint32_t index = hinted_upstream (balance, selection);

          if (index != NO_UPSTREAM
              && is_within_affinity_bound (balance, selection, index))
            return index;
          index = choose_by_affinity (balance, selection, own_zone_pool);
          if (index != NO_UPSTREAM)
            return index;
        }
      best = choose_best_of_two (balance, selection, own_zone_pool);
      if (best.index != NO_UPSTREAM && best.load <= 1)
        return best.index;
    }
  other = choose_in_other_zones (balance, selection);
  if (best.index == NO_UPSTREAM
      || (other.index != NO_UPSTREAM
          && other.load + (float)BALANCE_SPILL_MARGIN < best.load))
    return other.index;
  return best.index;
}

vh_code_t
balance_pick (balance_t *balance, const balance_request_t *request,
              upstream_id_t *id)
{
  selection_t selection = { .request = request };
  uint32_t index;

  if (request->pool >= balance->pool_count)
    return VH_E_NO_UPSTREAM;
  selection.pool = &balance->pools[request->pool];
  selection.now_ms = clock_ms (balance->clock);
  selection.now_ticks = ms_to_ticks (selection.now_ms);
  index = choose_upstream (balance, &selection);
  if (index == NO_UPSTREAM)
    return VH_E_NO_UPSTREAM;
  *id = make_id (balance, index);
  return VH_OK;
}

void
balance_request_started (balance_t *balance, upstream_id_t id)
{
  uint32_t index = find_index (balance, id);

  if (index != NO_UPSTREAM && balance->states[index].in_flight < UINT16_MAX)
    balance->states[index].in_flight++;
}

void
balance_request_ended (balance_t *balance, upstream_id_t id, bool ok)
{
  uint32_t index = find_index (balance, id);
  uint32_t now_ticks;
  upstream_state_t *state;

  if (index == NO_UPSTREAM)
    return;
  state = &balance->states[index];
  if (state->in_flight > 0)
    state->in_flight--;
  if (ok)
    return;
  /* An upstream that fails fast has no requests in flight, so by load alone it
     would be preferred and get most of the traffic.  */
  now_ticks = ms_to_ticks (clock_ms (balance->clock));
  state->penalty
      = decayed_penalty (state, now_ticks) + BALANCE_FAILURE_PENALTY;
  if (state->penalty > PENALTY_MAX)
    state->penalty = PENALTY_MAX;
  state->penalty_tick = now_ticks;
}

void
balance_cache_event (balance_t *balance, upstream_id_t id, uint64_t affinity,
                     bool stored)
{
  cache_hint_t *hint
      = &balance->cache_hints[splitmix64 (affinity) % BALANCE_HINT_TABLE_SIZE];

  if (stored)
    *hint = (cache_hint_t){ affinity, id,
                            ms_to_ticks (clock_ms (balance->clock)) };
  else if (hint->affinity == affinity && hint->id == id)
    *hint = (cache_hint_t){ 0 };
}

double
balance_pressure (const balance_t *balance, pool_id_t pool)
{
  uint32_t now_ticks = ms_to_ticks (clock_ms (balance->clock));
  const upstream_pool_t *reported_pool;

  if (pool >= balance->pool_count)
    return 0;
  reported_pool = &balance->pools[pool];
  return weigh_by_age (reported_pool->mean_load,
                       now_ticks - reported_pool->reported_tick,
                       BALANCE_PRESSURE_HALF_MS);
}

size_t
balance_subset (const balance_t *balance, pool_id_t pool, upstream_id_t *ids,
                size_t capacity)
{
  size_t count = 0;

  if (pool >= balance->pool_count)
    return 0;
  for (uint32_t z = 0; z < balance->zone_count; z++)
    {
      const zone_pool_t *zone_pool = &balance->pools[pool].zone_pools[z];

      for (uint32_t i = 0; i < zone_pool->subset_count; i++, count++)
        if (count < capacity)
          ids[count] = make_id (balance, zone_pool->subset[i].index);
    }
  return count;
}

/* Return the load of upstream INDEX as selections compare it, in the first
   pool that it serves; 0 if it serves none.  */
static double
current_load (balance_t *balance, uint32_t index)
{
  upstream_state_t *state = &balance->states[index];
  const upstream_details_t *details = &balance->details[index];
  selection_t selection = { .now_ms = clock_ms (balance->clock) };

  if (details->pool_count == 0)
    return 0;
  selection.now_ticks = ms_to_ticks (selection.now_ms);
  selection.pool = &balance->pools[details->pools[0]];
  selection.traffic_share
      = zone_share (balance->zones[state->zone].zone, selection.now_ms);
  return selection.traffic_share > 0 ? load_with_request (&selection, state)
                                     : INFINITY;
}

static void
fill_info (balance_t *balance, uint32_t index, balance_info_t *info)
{
  const upstream_state_t *state = &balance->states[index];
  const upstream_details_t *details = &balance->details[index];
  const named_zone_t *named_zone = &balance->zones[state->zone];
  uint32_t now_ticks = ms_to_ticks (clock_ms (balance->clock));

  info->id = make_id (balance, index);
  info->name = str_make (details->name, details->name_len);
  info->zone = str_make (named_zone->name, named_zone->name_len);
  info->marks = state->marks;
  info->in_flight = state->in_flight;
  info->slots = state->slots;
  info->report_age_ms = (state->flags & FLAG_REPORTED) != 0
                            ? (uint64_t)(now_ticks - state->reported_tick)
                                  << TICK_SHIFT
                            : UINT64_MAX;
  info->load = current_load (balance, index);
}

bool
balance_info (balance_t *balance, upstream_id_t id, balance_info_t *info)
{
  uint32_t index = find_index (balance, id);

  if (index == NO_UPSTREAM)
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

      if ((balance->states[index].flags & FLAG_IN_USE) == 0)
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
  return map_size (balance->index_by_name);
}
