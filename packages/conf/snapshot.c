#include "conf/snapshot.h"
#include "base/mem.h"
#include "conf/snapshot_impl.h"

#include <assert.h>
#include <openssl/crypto.h>
#include <stdlib.h>

void
names_add (names_t *names, void *item)
{
  if (names->count == names->cap)
    {
      names->cap = names->cap * 2 + 8;
      names->items = mem_realloc (names->items, names->cap * sizeof (void *));
    }
  names->items[names->count++] = item;
  if (names->by_name == NULL)
    names->by_name = map_create ();
  map_put (names->by_name, *(const str_t *)item, item);
}

void *
names_get (const names_t *names, str_t name)
{
  return names->by_name != NULL ? map_get (names->by_name, name) : NULL;
}

void *
names_at (const names_t *names, size_t index)
{
  return index < names->count ? names->items[index] : NULL;
}

static void
names_free (names_t *names)
{
  free (names->items);
  map_destroy (names->by_name);
}

key_slot_t *
snapshot_key_slot (const snapshot_t *snapshot, const uint8_t *digest)
{
  uint64_t hash;

  memcpy (&hash, digest, sizeof hash);
  for (size_t at = hash & snapshot->key_mask;;
       at = (at + 1) & snapshot->key_mask)
    {
      key_slot_t *slot = &snapshot->keys[at];
      if (slot->team == NULL
          || CRYPTO_memcmp (slot->digest, digest, DIGEST_BYTES) == 0)
        return slot;
    }
}

static bool
bit_test (const uint64_t *row, size_t bit)
{
  return (row[bit / WORD_BITS] >> (bit % WORD_BITS) & 1) != 0;
}

snapshot_t *
snapshot_ref (snapshot_t *snapshot)
{
  snapshot->references++;
  return snapshot;
}

void
snapshot_unref (snapshot_t *snapshot)
{
  if (snapshot == NULL || --snapshot->references > 0)
    return;
  names_free (&snapshot->teams);
  names_free (&snapshot->plans);
  names_free (&snapshot->models);
  names_free (&snapshot->versions);
  names_free (&snapshot->services);
  names_free (&snapshot->zones);
  names_free (&snapshot->rollouts);
  names_free (&snapshot->objectives);
  map_destroy (snapshot->instances_out);
  free (snapshot->keys);
  arena_free (&snapshot->keep);
  free (snapshot);
}

uint64_t
snapshot_revision (const snapshot_t *snapshot)
{
  return snapshot->revision;
}

str_t
snapshot_text (const snapshot_t *snapshot)
{
  return snapshot->text;
}

const team_t *
snapshot_find_team_by_key (const snapshot_t *snapshot,
                           const uint8_t *key_sha256)
{
  return snapshot_key_slot (snapshot, key_sha256)->team;
}

const team_t *
snapshot_find_team (const snapshot_t *snapshot, str_t name)
{
  return names_get (&snapshot->teams, name);
}

const model_t *
snapshot_find_model (const snapshot_t *snapshot, str_t name)
{
  return names_get (&snapshot->models, name);
}

const version_t *
snapshot_find_version (const snapshot_t *snapshot, str_t name)
{
  return names_get (&snapshot->versions, name);
}

const service_t *
snapshot_find_service (const snapshot_t *snapshot, str_t name)
{
  return names_get (&snapshot->services, name);
}

bool
snapshot_allows (const snapshot_t *snapshot, const team_t *team,
                 const version_t *version)
{
  /* Both of this very snapshot: those of another have other indices.  */
  assert (snapshot_team_at (snapshot, team->index) == team);
  assert (snapshot_version_at (snapshot, version->index) == version);
  return bit_test (snapshot->allows + team->plan->index * snapshot->allows_row,
                   version->index);
}

bool
snapshot_allows_service (const snapshot_t *snapshot, const team_t *team,
                         const service_t *service)
{
  assert (snapshot_team_at (snapshot, team->index) == team);
  assert (snapshot_service_at (snapshot, service->index) == service);
  return bit_test (snapshot->allows_service
                       + team->plan->index * snapshot->allows_service_row,
                   service->index);
}

bool
snapshot_is_zone_enabled (const snapshot_t *snapshot, str_t zone)
{
  const zone_item_t *item = names_get (&snapshot->zones, zone);

  return item == NULL || item->in;
}

bool
snapshot_is_instance_enabled (const snapshot_t *snapshot, str_t instance)
{
  return map_get (snapshot->instances_out, instance) == NULL;
}

const team_t *
snapshot_team_at (const snapshot_t *snapshot, size_t index)
{
  return names_at (&snapshot->teams, index);
}

const model_t *
snapshot_model_at (const snapshot_t *snapshot, size_t index)
{
  return names_at (&snapshot->models, index);
}

const version_t *
snapshot_version_at (const snapshot_t *snapshot, size_t index)
{
  return names_at (&snapshot->versions, index);
}

const service_t *
snapshot_service_at (const snapshot_t *snapshot, size_t index)
{
  return names_at (&snapshot->services, index);
}

const rollout_t *
snapshot_rollout_at (const snapshot_t *snapshot, size_t index)
{
  const rollout_item_t *item = names_at (&snapshot->rollouts, index);

  return item != NULL ? &item->pub : NULL;
}

const objective_t *
snapshot_objective_at (const snapshot_t *snapshot, size_t index)
{
  return names_at (&snapshot->objectives, index);
}

str_t
snapshot_zone_at (const snapshot_t *snapshot, size_t index)
{
  const zone_item_t *item = names_at (&snapshot->zones, index);

  return item != NULL ? item->name : STR_NULL;
}

str_t
snapshot_zone_region (const snapshot_t *snapshot, str_t zone)
{
  const zone_item_t *item = names_get (&snapshot->zones, zone);

  return item != NULL ? item->region : STR_NULL;
}
