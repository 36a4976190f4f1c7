#include "policy/readers.h"

#include "base/map.h"
#include "base/mem.h"
#include "base/rng.h"

#include <stdlib.h>

typedef struct
{
  uint64_t hash;
  uint64_t zone; /* Hash of its name.  */
  uint32_t link_mbps;
  uint64_t silent_till_ms;
  uint64_t unfit_till_ms;
  void *owner;
} entry_t;

struct readers
{
  clock_iface_t *clock;
  rng_t rng;
  entry_t self;
  map_t *entries; /* Name to entry_t.  */
  bool leaving;
  uint64_t home_till_ms;  /* Other zones are not asked.  */
  uint64_t down_till_ms;  /* The store did not answer this entry.  */
  uint64_t heard_till_ms; /* It did.  */
  uint64_t probe_ms;      /* When it may be asked next; 0: not waited for.  */
};

static entry_t
make_entry (str_t name, str_t zone, uint32_t link_mbps, void *owner)
{
  return (entry_t){ .hash = str_hash (name, 5),
                    .zone = str_hash (zone, 0),
                    .link_mbps = link_mbps,
                    .owner = owner };
}

fanout_t *
fanout_create (clock_iface_t *clock, uint64_t seed, str_t name, str_t zone,
               uint32_t link_mbps)
{
  fanout_t *readers = mem_zalloc (sizeof *readers);

  readers->clock = clock;
  readers->rng = rng_make (seed);
  readers->self = make_entry (name, zone, link_mbps, NULL);
  readers->entries = map_create ();
  return readers;
}

void
fanout_destroy (fanout_t *readers)
{
  size_t cursor = 0;
  str_t key;
  void *value;

  if (readers == NULL)
    return;
  while (map_next (readers->entries, &cursor, &key, &value))
    free (value);
  map_destroy (readers->entries);
  free (readers);
}

void
fanout_put (fanout_t *readers, str_t name, str_t zone, uint32_t link_mbps,
            void *owner)
{
  entry_t *entry = mem_alloc (sizeof *entry);

  *entry = make_entry (name, zone, link_mbps, owner);
  free (map_put (readers->entries, name, entry));
}

void
fanout_remove (fanout_t *readers, str_t name)
{
  free (map_remove (readers->entries, name));
}

void
fanout_stop_serving (fanout_t *readers)
{
  readers->leaving = true;
}

static bool
goes_before (const entry_t *a, const entry_t *b)
{
  return a->link_mbps != b->link_mbps ? a->link_mbps > b->link_mbps
                                      : a->hash < b->hash;
}

static bool
is_large (const fanout_t *readers)
{
  return map_size (readers->entries) >= FANOUT_SMALL_FLEET_MAX;
}

static bool
is_unfit (const fanout_t *readers, uint64_t now_ms)
{
  return readers->leaving || now_ms < readers->down_till_ms;
}

/* The first of the others that may be asked, with HOME_ONLY of this zone, or
   NULL.  IS_PATIENT: an unfit one keeps its place.  */
static const entry_t *
first_but (const fanout_t *readers, bool home_only, bool is_patient,
           uint64_t now_ms)
{
  const entry_t *found = NULL;
  size_t cursor = 0;
  str_t key;
  void *value;

  while (map_next (readers->entries, &cursor, &key, &value))
    {
      const entry_t *entry = value;
      if (now_ms < entry->silent_till_ms
          || (!is_patient && now_ms < entry->unfit_till_ms)
          || (home_only && entry->zone != readers->self.zone)
          || (found != NULL && goes_before (found, entry)))
        continue;
      found = entry;
    }
  return found;
}

/* The same in a large fleet with patience: those behind an unfit one ask it
   too, and have nothing to tell.  */
static const entry_t *
first_other (const fanout_t *readers, bool home_only, uint64_t now_ms)
{
  return first_but (readers, home_only, is_large (readers), now_ms);
}

/* Tell whether this entry goes before OTHER, the first of the others.  */
static bool
is_first (const fanout_t *readers, const entry_t *other)
{
  return other == NULL || goes_before (&readers->self, other);
}

/* What the first of all does.  One that is unfit asks the first of the others,
   which may have turned to the store itself.  */
static fanout_role_t
choose_root (fanout_t *readers, const entry_t *other, fanout_role_t role,
             uint64_t now_ms, void **owner)
{
  if (other == NULL
      || (!is_unfit (readers, now_ms) && is_first (readers, other)))
    return FANOUT_READS_STORE;
  *owner = other->owner;
  return role;
}

fanout_role_t
fanout_choose_source (fanout_t *readers, void **owner)
{
  uint64_t now_ms = clock_ms (readers->clock);
  bool is_home = now_ms < readers->home_till_ms;
  const entry_t *other = first_other (readers, is_home, now_ms);

  *owner = NULL;
  if (!is_large (readers))
    return choose_root (readers, other, FANOUT_READS_HEAD, now_ms, owner);
  const entry_t *near = first_other (readers, true, now_ms);
  if (is_first (readers, near))
    return choose_root (readers, other, FANOUT_READS_ROOT, now_ms, owner);
  *owner = near->owner;
  return FANOUT_READS_HEAD;
}

void *
fanout_next_source (fanout_t *readers)
{
  uint64_t now_ms = clock_ms (readers->clock);
  bool is_home = now_ms < readers->home_till_ms;
  const entry_t *other = first_other (readers, is_home, now_ms);

  /* The others may have turned to the store, which refuses this one.  */
  if (is_unfit (readers, now_ms))
    other = first_but (readers, is_home, false, now_ms);
  else if (is_first (readers, other))
    return NULL;
  return other != NULL ? other->owner : NULL;
}

void
fanout_source_failed (fanout_t *readers, str_t name, bool silent)
{
  uint64_t now_ms = clock_ms (readers->clock);
  entry_t *entry = map_get (readers->entries, name);

  if (entry == NULL)
    return;
  if (!silent)
    {
      entry->unfit_till_ms = now_ms + FANOUT_NOT_READY_BACKOFF_MS;
      return;
    }
  entry->silent_till_ms = now_ms + FANOUT_SILENT_BACKOFF_MS;
  if (entry->zone != readers->self.zone)
    readers->home_till_ms = now_ms + FANOUT_OWN_ZONE_ONLY_MS;
}

void
fanout_store_call_ended (fanout_t *readers, bool answered)
{
  uint64_t now_ms = clock_ms (readers->clock);

  readers->down_till_ms = answered ? 0 : now_ms + FANOUT_STORE_BACKOFF_MS;
  readers->heard_till_ms
      = answered ? now_ms + FANOUT_PROBE_INTERVAL_MAX_MS : 0;
}

bool
fanout_is_store_reachable (const fanout_t *readers)
{
  return clock_ms (readers->clock) < readers->heard_till_ms;
}

bool
fanout_may_probe_store (fanout_t *readers)
{
  uint64_t now_ms = clock_ms (readers->clock);
  uint64_t every_ms = (map_size (readers->entries) + 1)
                      * FANOUT_PROBE_INTERVAL_PER_GATEWAY_MS;
  bool is_home = now_ms < readers->home_till_ms;
  bool leads = is_first (readers, first_other (readers, is_home, now_ms));

  if (fanout_is_store_reachable (readers))
    return true;
  if (leads)
    every_ms = FANOUT_ROOT_PROBE_INTERVAL_MS;
  else if (every_ms > FANOUT_PROBE_INTERVAL_MAX_MS)
    every_ms = FANOUT_PROBE_INTERVAL_MAX_MS;
  /* Many that are told at the same moment do not all go at that moment.  */
  if (is_large (readers) && !leads
      && (readers->probe_ms == 0
          || now_ms > readers->probe_ms + FANOUT_PROBE_INTERVAL_MAX_MS))
    readers->probe_ms = now_ms + rng_below (&readers->rng, every_ms);
  if (now_ms < readers->probe_ms)
    return false;
  readers->probe_ms = now_ms + every_ms;
  return true;
}
