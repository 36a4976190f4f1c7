#include "conf/snapshot.h"
#include "base/mem.h"
#include "conf/snapshot_impl.h"

#include <assert.h>
#include <openssl/crypto.h>
#include <stdlib.h>

void
name_table_add (name_table_t *names, void *item)
{
  if (names->count == names->capacity)
    {
      names->capacity = names->capacity * 2 + 8;
      names->items
          = mem_realloc (names->items, names->capacity * sizeof (void *));
    }
  names->items[names->count++] = item;
  if (names->by_name == NULL)
    names->by_name = map_create ();
  map_put (names->by_name, *(const str_t *)item, item);
}

void *
name_table_find (const name_table_t *names, str_t name)
{
  return names->by_name != NULL ? map_get (names->by_name, name) : NULL;
}

void *
name_table_at (const name_table_t *names, size_t index)
{
  return index < names->count ? names->items[index] : NULL;
}

static void
name_table_free (name_table_t *names)
{
  free (names->items);
  map_destroy (names->by_name);
}

key_slot_t *
snapshot_find_key_slot (const snapshot_t *snapshot, const uint8_t *digest)
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
  snapshot->reference_count++;
  return snapshot;
}

void
snapshot_unref (snapshot_t *snapshot)
{
  if (snapshot == NULL || --snapshot->reference_count > 0)
    return;
  name_table_free (&snapshot->teams);
  name_table_free (&snapshot->plans);
  name_table_free (&snapshot->models);
  name_table_free (&snapshot->versions);
  name_table_free (&snapshot->services);
  name_table_free (&snapshot->zones);
  name_table_free (&snapshot->rollouts);
  name_table_free (&snapshot->objectives);
  map_destroy (snapshot->disabled_instances);
  free (snapshot->keys);
  arena_free (&snapshot->arena);
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
  return snapshot_find_key_slot (snapshot, key_sha256)->team;
}

const team_t *
snapshot_find_team (const snapshot_t *snapshot, str_t name)
{
  return name_table_find (&snapshot->teams, name);
}

const model_t *
snapshot_find_model (const snapshot_t *snapshot, str_t name)
{
  return name_table_find (&snapshot->models, name);
}

const version_t *
snapshot_find_version (const snapshot_t *snapshot, str_t name)
{
  return name_table_find (&snapshot->versions, name);
}

const service_t *
snapshot_find_service (const snapshot_t *snapshot, str_t name)
{
  return name_table_find (&snapshot->services, name);
}

bool
snapshot_allows (const snapshot_t *snapshot, const team_t *team,
                 const version_t *version)
{
  /* Both must belong to this snapshot, because the indices of other snapshots
     differ.  */
  assert (snapshot_team_at (snapshot, team->index) == team);
  assert (snapshot_version_at (snapshot, version->index) == version);
  return bit_test (snapshot->version_bits
                       + team->plan->index * snapshot->version_row_words,
                   version->index);
}

bool
snapshot_allows_service (const snapshot_t *snapshot, const team_t *team,
                         const service_t *service)
{
  assert (snapshot_team_at (snapshot, team->index) == team);
  assert (snapshot_service_at (snapshot, service->index) == service);
  return bit_test (snapshot->service_bits
                       + team->plan->index * snapshot->service_row_words,
                   service->index);
}

bool
snapshot_is_zone_enabled (const snapshot_t *snapshot, str_t zone)
{
  const zone_item_t *item = name_table_find (&snapshot->zones, zone);

  return item == NULL || item->is_enabled;
}

bool
snapshot_is_instance_enabled (const snapshot_t *snapshot, str_t instance)
{
  return map_get (snapshot->disabled_instances, instance) == NULL;
}

const team_t *
snapshot_team_at (const snapshot_t *snapshot, size_t index)
{
  return name_table_at (&snapshot->teams, index);
}

const model_t *
snapshot_model_at (const snapshot_t *snapshot, size_t index)
{
  return name_table_at (&snapshot->models, index);
}

const version_t *
snapshot_version_at (const snapshot_t *snapshot, size_t index)
{
  return name_table_at (&snapshot->versions, index);
}

const service_t *
snapshot_service_at (const snapshot_t *snapshot, size_t index)
{
  return name_table_at (&snapshot->services, index);
}

const rollout_t *
snapshot_rollout_at (const snapshot_t *snapshot, size_t index)
{
  const rollout_item_t *item = name_table_at (&snapshot->rollouts, index);

  return item != NULL ? &item->pub : NULL;
}

const objective_t *
snapshot_objective_at (const snapshot_t *snapshot, size_t index)
{
  return name_table_at (&snapshot->objectives, index);
}

str_t
snapshot_zone_at (const snapshot_t *snapshot, size_t index)
{
  const zone_item_t *item = name_table_at (&snapshot->zones, index);

  return item != NULL ? item->name : STR_NULL;
}

str_t
snapshot_zone_region (const snapshot_t *snapshot, str_t zone)
{
  const zone_item_t *item = name_table_find (&snapshot->zones, zone);

  return item != NULL ? item->region : STR_NULL;
}
