#include "policy/poison.h"

#include "base/mem.h"

#include <stdlib.h>

enum
{
  /* Slots of a set.  The table is set-associative: a key may lie in any slot
     of the set that its hash selects.  */
  SLOTS_PER_SET = 8,
  SET_COUNT = POISON_KEYS_MAX / SLOTS_PER_SET,
  DIGEST_SEED = 1,
  REQUEST_SEED = 2,
  TEAM_SEED = 4,
  PART_SEED = 8,
  PART_BIT = 1 /* Bit of poison_key_t.low, set in the keys of parts.  */
};

typedef struct
{
  poison_key_t key;
  uint64_t crash_ids[POISON_PART_CRASHES_MAX];
  uint64_t crash_ms[POISON_PART_CRASHES_MAX]; /* Times of the crashes.  */
  uint64_t last_crash_ms; /* Time of the newest recorded crash.  */
  uint64_t last_test_ms;  /* Time of the last test run; 0 if there was
                             none.  */
  /* Number of recorded crashes; 0 if the slot is free.  */
  uint32_t crash_count;
} slot_t;

/* The last run of a key that ended without a crash.  */
typedef struct
{
  poison_key_t key;
  uint64_t ended_ms;
} success_t;

struct poison
{
  clock_iface_t *clock;
  poison_options_t options;
  slot_t *slots;
  success_t *successes; /* Indexed by hash; a newer key replaces another.  */
};

poison_t *
poison_create (clock_iface_t *clock, const poison_options_t *options)
{
  poison_t *poison = mem_zalloc (sizeof *poison);

  poison->clock = clock;
  poison->options = *options;
  poison->slots = mem_zalloc (POISON_KEYS_MAX * sizeof (slot_t));
  poison->successes = mem_zalloc (POISON_SUCCESSES_MAX * sizeof (success_t));
  return poison;
}

void
poison_destroy (poison_t *poison)
{
  if (poison == NULL)
    return;
  free (poison->slots);
  free (poison->successes);
  free (poison);
}

static poison_key_t
make_key (uint64_t high, uint64_t low, bool is_part)
{
  low &= ~(uint64_t)PART_BIT;
  return (poison_key_t){ high, is_part ? low | PART_BIT : low };
}

poison_key_t
poison_digest_key (str_t digest)
{
  return make_key (str_hash (digest, DIGEST_SEED),
                   ~str_hash (digest, ~(uint64_t)DIGEST_SEED), false);
}

poison_key_t
poison_request_key (str_t team, str_t request_id)
{
  uint64_t seed = str_hash (team, TEAM_SEED) ^ REQUEST_SEED;

  return make_key (str_hash (request_id, seed), ~str_hash (request_id, ~seed),
                   false);
}

poison_key_t
poison_part_key (str_t part)
{
  return make_key (str_hash (part, PART_SEED),
                   ~str_hash (part, ~(uint64_t)PART_SEED), true);
}

bool
poison_is_part (poison_key_t key)
{
  return (key.low & PART_BIT) != 0;
}

bool
poison_same_key (poison_key_t a, poison_key_t b)
{
  return a.high == b.high && a.low == b.low;
}

static bool
is_live (const poison_t *poison, const slot_t *slot)
{
  return slot->crash_count > 0
         && clock_ms (poison->clock) < slot->last_crash_ms + POISON_EXPIRY_MS;
}

static slot_t *
key_set (const poison_t *poison, poison_key_t key)
{
  return &poison->slots[key.high % SET_COUNT * SLOTS_PER_SET];
}

/* Return the slot of KEY; NULL if KEY has no slot, or one that is expired.  */
static const slot_t *
find_slot (const poison_t *poison, poison_key_t key)
{
  const slot_t *set = key_set (poison, key);

  for (int i = 0; i < SLOTS_PER_SET; i++)
    if (poison_same_key (set[i].key, key) && is_live (poison, &set[i]))
      return &set[i];
  return NULL;
}

/* Return whether slot A is dropped before slot B: expired slots first, then
   slots with fewer crashes, then those that expire first.  */
static bool
is_dropped_before (const poison_t *poison, const slot_t *a, const slot_t *b)
{
  if (is_live (poison, a) != is_live (poison, b))
    return !is_live (poison, a);
  if (a->crash_count != b->crash_count)
    return a->crash_count < b->crash_count;
  return a->last_crash_ms < b->last_crash_ms;
}

/* Return an empty slot for KEY; if none is free, another key is dropped.  */
static slot_t *
allocate_slot (poison_t *poison, poison_key_t key)
{
  slot_t *set = key_set (poison, key);
  slot_t *dropped = &set[0];

  for (int i = 1; i < SLOTS_PER_SET; i++)
    if (is_dropped_before (poison, &set[i], dropped))
      dropped = &set[i];
  *dropped = (slot_t){ .key = key };
  return dropped;
}

static success_t *
success_entry (const poison_t *poison, poison_key_t key)
{
  return &poison->successes[key.high % POISON_SUCCESSES_MAX];
}

/* Return the last run of KEY that ended without a crash in the last
   POISON_SUCCESS_MEMORY_MS, or NULL if none is known.  */
static const success_t *
find_success (const poison_t *poison, poison_key_t key)
{
  const success_t *success = success_entry (poison, key);

  return poison_same_key (success->key, key)
                 && clock_ms (poison->clock)
                        < success->ended_ms + POISON_SUCCESS_MEMORY_MS
             ? success
             : NULL;
}

/* Return whether a run of KEY without a crash is remembered, however old.  */
static bool
has_run_well (const poison_t *poison, poison_key_t key)
{
  return poison_same_key (success_entry (poison, key)->key, key);
}

/* Set EXPLAINED for each crash of SLOT that a part has as well which never ran
   well and has more crashes.  */
static void
find_explained (const poison_t *poison, const slot_t *slot, bool *explained)
{
  for (size_t i = 0; i < POISON_KEYS_MAX; i++)
    {
      const slot_t *other = &poison->slots[i];
      if (other->crash_count <= slot->crash_count
          || !poison_is_part (other->key) || !is_live (poison, other)
          || has_run_well (poison, other->key))
        continue;
      for (uint32_t at = 0; at < other->crash_count; at++)
        for (uint32_t own = 0; own < slot->crash_count; own++)
          explained[own] |= slot->crash_ids[own] == other->crash_ids[at];
    }
}

/* Return whether crash INDEX of SLOT is close to one before it that is in
   COUNTED.  */
static bool
is_in_cluster (const slot_t *slot, const bool *counted, uint32_t index)
{
  for (uint32_t i = 0; i < index; i++)
    if (counted[i]
        && slot->crash_ms[i] < slot->crash_ms[index] + POISON_CLUSTER_MS
        && slot->crash_ms[index] < slot->crash_ms[i] + POISON_CLUSTER_MS)
      return true;
  return false;
}

/* Return the number of crashes of SLOT that count against its key.  */
static uint32_t
counted_crashes (const poison_t *poison, const slot_t *slot)
{
  bool explained[POISON_PART_CRASHES_MAX] = { false };
  bool counted[POISON_PART_CRASHES_MAX] = { false };
  bool has_clusters
      = poison_is_part (slot->key) && has_run_well (poison, slot->key);
  uint32_t count = 0;

  find_explained (poison, slot, explained);
  for (uint32_t i = 0; i < slot->crash_count; i++)
    {
      counted[i] = !explained[i]
                   && !(has_clusters && is_in_cluster (slot, counted, i));
      count += counted[i];
    }
  return count;
}

/* Return the number of crashes with which KEY is refused.  */
static uint32_t
crashes_to_refuse (const poison_t *poison, poison_key_t key)
{
  if (poison_is_part (key))
    return has_run_well (poison, key) ? POISON_PART_CLUSTERS_TO_REFUSE
                                      : POISON_PART_CRASHES_TO_REFUSE;
  return find_success (poison, key) != NULL ? POISON_CRASHES_TO_REFUSE_PROVEN
                                            : POISON_CRASHES_TO_REFUSE;
}

/* Return the number of crashes with which KEY gets no further test run.  */
static uint32_t
crashes_to_end_tests (const poison_t *poison, poison_key_t key)
{
  uint32_t count
      = crashes_to_refuse (poison, key) + poison->options.test_runs_max;

  if (poison_is_part (key))
    return count;
  return count < POISON_CRASHES_MAX ? count : POISON_CRASHES_MAX;
}

bool
poison_merge (poison_t *poison, const poison_record_t *record)
{
  slot_t *slot = (slot_t *)find_slot (poison, record->key);
  const success_t *success = success_entry (poison, record->key);
  uint64_t now = clock_ms (poison->clock);
  uint64_t last_crash_ms = now > record->age_ms ? now - record->age_ms : 0;
  uint32_t crashes_max = poison_is_part (record->key)
                             ? POISON_PART_CRASHES_MAX
                             : crashes_to_end_tests (poison, record->key);

  if (record->age_ms >= POISON_EXPIRY_MS
      || (has_run_well (poison, record->key)
          && last_crash_ms < success->ended_ms))
    return false;
  if (slot == NULL)
    slot = allocate_slot (poison, record->key);
  for (uint32_t i = 0; i < slot->crash_count; i++)
    if (slot->crash_ids[i] == record->crash_id)
      return false;
  /* Further crashes change nothing for a key that is refused for good.  */
  if (slot->crash_count >= crashes_max)
    return false;
  slot->crash_ms[slot->crash_count] = last_crash_ms;
  slot->crash_ids[slot->crash_count++] = record->crash_id;
  if (slot->last_crash_ms < last_crash_ms)
    slot->last_crash_ms = last_crash_ms;
  return true;
}

void
poison_record_crash (poison_t *poison, poison_key_t digest,
                     poison_key_t request, uint64_t crash_id)
{
  poison_merge (poison, &(poison_record_t){ digest, crash_id, 0 });
  poison_merge (poison, &(poison_record_t){ request, crash_id, 0 });
}

poison_class_t
poison_classify (const poison_t *poison, poison_key_t digest,
                 poison_key_t request)
{
  const slot_t *by_digest = find_slot (poison, digest);
  const slot_t *by_request = find_slot (poison, request);
  uint32_t crash_count = 0;

  if (by_digest != NULL)
    crash_count = by_digest->crash_count;
  if (by_request != NULL && by_request->crash_count > crash_count)
    crash_count = by_request->crash_count;
  if (crash_count >= crashes_to_refuse (poison, digest))
    return POISON_REFUSED;
  return crash_count > 0 ? POISON_SUSPECT : POISON_CLEAR;
}

poison_class_t
poison_classify_key (const poison_t *poison, poison_key_t key)
{
  const slot_t *slot = find_slot (poison, key);
  uint32_t count = slot != NULL ? counted_crashes (poison, slot) : 0;

  if (count == 0)
    return POISON_CLEAR;
  if (count >= crashes_to_refuse (poison, key))
    return POISON_REFUSED;
  return poison_is_part (key) && has_run_well (poison, key) ? POISON_CLEAR
                                                            : POISON_SUSPECT;
}

uint32_t
poison_record_success (poison_t *poison, poison_key_t key, uint64_t age_ms)
{
  slot_t *slot = (slot_t *)find_slot (poison, key);
  success_t *success = success_entry (poison, key);
  uint64_t now = clock_ms (poison->clock);
  uint64_t ended_ms = now > age_ms ? now - age_ms : 0;
  uint32_t cleared = 0;

  if (!poison_same_key (success->key, key) || success->ended_ms < ended_ms)
    *success = (success_t){ key, ended_ms };
  if (slot != NULL && slot->last_crash_ms <= ended_ms)
    {
      cleared = slot->crash_count;
      slot->crash_count = 0;
    }
  return cleared;
}

uint32_t
poison_crash_count (const poison_t *poison, poison_key_t key)
{
  const slot_t *slot = find_slot (poison, key);

  return slot != NULL ? slot->crash_count : 0;
}

uint64_t
poison_test_wait_ms (const poison_t *poison, poison_key_t key)
{
  const slot_t *slot = find_slot (poison, key);
  uint64_t now = clock_ms (poison->clock);
  uint32_t to_refuse = crashes_to_refuse (poison, key);

  uint32_t count = slot != NULL ? counted_crashes (poison, slot) : 0;
  if (count < to_refuse)
    return 0;
  uint32_t failed_tests = count - to_refuse;
  if (count >= crashes_to_end_tests (poison, key))
    return UINT64_MAX;
  uint64_t since_ms = slot->last_test_ms > slot->last_crash_ms
                          ? slot->last_test_ms
                          : slot->last_crash_ms;
  uint64_t due_ms
      = since_ms + ((uint64_t)POISON_TEST_DELAY_MS << failed_tests);
  return due_ms > now ? due_ms - now : 0;
}

void
poison_test_started (poison_t *poison, poison_key_t key)
{
  slot_t *slot = (slot_t *)find_slot (poison, key);

  if (slot != NULL)
    slot->last_test_ms = clock_ms (poison->clock);
}

bool
poison_may_run_beside (poison_class_t class, bool idempotent,
                       const poison_in_flight_t *in_flight)
{
  switch (class)
    {
    case POISON_CLEAR:
      return idempotent || in_flight->suspect_count == 0;
    case POISON_SUSPECT:
      return in_flight->suspect_count == 0
             && in_flight->nonidempotent_count == 0;
    case POISON_REFUSED:
      break;
    }
  return false;
}

bool
poison_next_record (const poison_t *poison, size_t *cursor,
                    poison_record_t *record)
{
  for (; *cursor < (size_t)POISON_KEYS_MAX * POISON_PART_CRASHES_MAX;
       ++*cursor)
    {
      const slot_t *slot = &poison->slots[*cursor / POISON_PART_CRASHES_MAX];
      size_t crash_index = *cursor % POISON_PART_CRASHES_MAX;

      if (crash_index >= slot->crash_count || !is_live (poison, slot))
        continue;
      ++*cursor;
      record->key = slot->key;
      record->crash_id = slot->crash_ids[crash_index];
      record->age_ms = clock_ms (poison->clock) - slot->last_crash_ms;
      return true;
    }
  return false;
}
