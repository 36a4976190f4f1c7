#include "policy/poison.h"

#include "base/mem.h"

#include <stdlib.h>

enum
{
  /* A key may lie in any place of its set.  */
  WAYS = 8,
  SETS = POISON_KEYS_MAX / WAYS,
  DIGEST_SEED = 1,
  REQUEST_SEED = 2,
  TEAM_SEED = 4
};

typedef struct
{
  poison_key_t key;
  uint64_t deaths[POISON_DEATHS];
  uint64_t marked_ms; /* Of the newest death.  */
  uint32_t count;     /* Of deaths; 0 when the place is free.  */
} suspect_t;

struct poison
{
  clock_iface_t *clock;
  suspect_t *suspects;
};

poison_t *
poison_create (clock_iface_t *clock)
{
  poison_t *poison = mem_zalloc (sizeof *poison);

  poison->clock = clock;
  poison->suspects = mem_zalloc (POISON_KEYS_MAX * sizeof (suspect_t));
  return poison;
}

void
poison_destroy (poison_t *poison)
{
  if (poison == NULL)
    return;
  free (poison->suspects);
  free (poison);
}

poison_key_t
poison_digest_key (str_t digest)
{
  return (poison_key_t){ str_hash (digest, DIGEST_SEED),
                         ~str_hash (digest, ~(uint64_t)DIGEST_SEED) };
}

poison_key_t
poison_request_key (str_t team, str_t request_id)
{
  uint64_t seed = str_hash (team, TEAM_SEED) ^ REQUEST_SEED;

  return (poison_key_t){ str_hash (request_id, seed),
                         ~str_hash (request_id, ~seed) };
}

static bool
key_eq (poison_key_t a, poison_key_t b)
{
  return a.high == b.high && a.low == b.low;
}

static bool
alive (const poison_t *poison, const suspect_t *suspect)
{
  return suspect->count > 0
         && clock_ms (poison->clock) < suspect->marked_ms + POISON_EXPIRY_MS;
}

static suspect_t *
set_of (const poison_t *poison, poison_key_t key)
{
  return &poison->suspects[key.high % SETS * WAYS];
}

/* Return the record of KEY, or NULL.  */
static const suspect_t *
find_suspect (const poison_t *poison, poison_key_t key)
{
  const suspect_t *set = set_of (poison, key);

  for (int i = 0; i < WAYS; i++)
    if (key_eq (set[i].key, key) && alive (poison, &set[i]))
      return &set[i];
  return NULL;
}

/* Whether A is rather to be given up than B.  */
static bool
matters_less (const poison_t *poison, const suspect_t *a, const suspect_t *b)
{
  if (alive (poison, a) != alive (poison, b))
    return !alive (poison, a);
  if (a->count != b->count)
    return a->count < b->count;
  return a->marked_ms < b->marked_ms;
}

/* Return a place for KEY, cleared.  */
static suspect_t *
make_suspect (poison_t *poison, poison_key_t key)
{
  suspect_t *set = set_of (poison, key);
  suspect_t *least = &set[0];

  for (int i = 1; i < WAYS; i++)
    if (matters_less (poison, &set[i], least))
      least = &set[i];
  *least = (suspect_t){ .key = key };
  return least;
}

bool
poison_merge (poison_t *poison, const poison_record_t *mark)
{
  suspect_t *suspect = (suspect_t *)find_suspect (poison, mark->key);
  uint64_t now = clock_ms (poison->clock);
  uint64_t marked_ms = now > mark->age_ms ? now - mark->age_ms : 0;

  if (mark->age_ms >= POISON_EXPIRY_MS)
    return false;
  if (suspect == NULL)
    suspect = make_suspect (poison, mark->key);
  for (uint32_t i = 0; i < suspect->count; i++)
    if (suspect->deaths[i] == mark->death)
      return false;
  /* Two are enough to refuse; a third tells nothing new.  */
  if (suspect->count == POISON_DEATHS)
    return false;
  suspect->deaths[suspect->count++] = mark->death;
  if (suspect->marked_ms < marked_ms)
    suspect->marked_ms = marked_ms;
  return true;
}

void
poison_record_crash (poison_t *poison, poison_key_t digest,
                     poison_key_t request, uint64_t death)
{
  poison_merge (poison, &(poison_record_t){ digest, death, 0 });
  poison_merge (poison, &(poison_record_t){ request, death, 0 });
}

poison_class_t
poison_classify (const poison_t *poison, poison_key_t digest,
                 poison_key_t request)
{
  const suspect_t *by_digest = find_suspect (poison, digest);
  const suspect_t *by_request = find_suspect (poison, request);
  uint32_t deaths = 0;

  if (by_digest != NULL)
    deaths = by_digest->count;
  if (by_request != NULL && by_request->count > deaths)
    deaths = by_request->count;
  if (deaths >= POISON_DEATHS)
    return POISON_REFUSED;
  return deaths > 0 ? POISON_SUSPECT : POISON_CLEAR;
}

bool
poison_may_run_beside (poison_class_t verdict, bool repeatable,
                       const poison_in_flight_t *company)
{
  switch (verdict)
    {
    case POISON_CLEAR:
      return repeatable || company->suspects == 0;
    case POISON_SUSPECT:
      return company->suspects == 0 && company->not_repeatable == 0;
    case POISON_REFUSED:
      break;
    }
  return false;
}

bool
poison_next_record (const poison_t *poison, size_t *cursor,
                    poison_record_t *mark)
{
  for (; *cursor < (size_t)POISON_KEYS_MAX * POISON_DEATHS; ++*cursor)
    {
      const suspect_t *suspect = &poison->suspects[*cursor / POISON_DEATHS];
      size_t death = *cursor % POISON_DEATHS;

      if (death >= suspect->count || !alive (poison, suspect))
        continue;
      ++*cursor;
      mark->key = suspect->key;
      mark->death = suspect->deaths[death];
      mark->age_ms = clock_ms (poison->clock) - suspect->marked_ms;
      return true;
    }
  return false;
}
