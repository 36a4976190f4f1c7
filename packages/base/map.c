#include "base/map.h"

#include "base/mem.h"

#include <assert.h>
#include <stdlib.h>

enum
{
  MAP_INITIAL_SLOTS = 16
};

typedef struct
{
  uint64_t hash;
  char *key; /* NULL if the slot is free.  */
  size_t key_len;
  void *value;
} slot_t;

struct map
{
  slot_t *slots;
  size_t slot_count; /* A power of two.  */
  size_t entry_count;
};

map_t *
map_create (void)
{
  map_t *map = mem_zalloc (sizeof *map);

  map->slot_count = MAP_INITIAL_SLOTS;
  map->slots = mem_zalloc (map->slot_count * sizeof *map->slots);
  return map;
}

void
map_destroy (map_t *map)
{
  if (map == NULL)
    return;
  for (size_t i = 0; i < map->slot_count; i++)
    free (map->slots[i].key);
  free (map->slots);
  free (map);
}

/* Return the slot of KEY, or the free slot for its insertion.  */
static slot_t *
find_slot (const map_t *map, str_t key, uint64_t hash)
{
  size_t mask = map->slot_count - 1;

  for (size_t i = hash & mask;; i = (i + 1) & mask)
    {
      slot_t *slot = &map->slots[i];
      if (slot->key == NULL)
        return slot;
      if (slot->hash == hash
          && str_eq (key, str_make (slot->key, slot->key_len)))
        return slot;
    }
}

static void
grow (map_t *map)
{
  slot_t *old_slots = map->slots;
  size_t old_slot_count = map->slot_count;

  map->slot_count *= 2;
  map->slots = mem_zalloc (map->slot_count * sizeof *map->slots);
  for (size_t i = 0; i < old_slot_count; i++)
    {
      if (old_slots[i].key == NULL)
        continue;
      str_t key = str_make (old_slots[i].key, old_slots[i].key_len);
      *find_slot (map, key, old_slots[i].hash) = old_slots[i];
    }
  free (old_slots);
}

void *
map_get (const map_t *map, str_t key)
{
  return find_slot (map, key, str_hash (key, 0))->value;
}

void *
map_put (map_t *map, str_t key, void *value)
{
  uint64_t hash = str_hash (key, 0);
  slot_t *slot = find_slot (map, key, hash);
  void *replaced = slot->value;

  assert (value != NULL);
  if (slot->key != NULL)
    {
      slot->value = value;
      return replaced;
    }
  if ((map->entry_count + 1) * 4 > map->slot_count * 3)
    {
      grow (map);
      slot = find_slot (map, key, hash);
    }
  slot->hash = hash;
  slot->key = str_dup (key);
  slot->key_len = key.len;
  slot->value = value;
  map->entry_count++;
  return NULL;
}

/* Free the slot HOLE.  Move later entries of the probe run back where needed,
   so that no lookup reaches a free slot before its key.  */
static void
free_slot (map_t *map, size_t hole)
{
  size_t mask = map->slot_count - 1;

  for (size_t i = (hole + 1) & mask; map->slots[i].key != NULL;
       i = (i + 1) & mask)
    {
      size_t first_probe = map->slots[i].hash & mask;
      if (((i - first_probe) & mask) < ((i - hole) & mask))
        continue;
      map->slots[hole] = map->slots[i];
      hole = i;
    }
  memset (&map->slots[hole], 0, sizeof map->slots[hole]);
}

void *
map_remove (map_t *map, str_t key)
{
  slot_t *slot = find_slot (map, key, str_hash (key, 0));
  void *value = slot->value;

  if (slot->key == NULL)
    return NULL;
  free (slot->key);
  slot->key = NULL;
  free_slot (map, (size_t)(slot - map->slots));
  map->entry_count--;
  return value;
}

size_t
map_size (const map_t *map)
{
  return map->entry_count;
}

bool
map_next (const map_t *map, size_t *cursor, str_t *key, void **value)
{
  while (*cursor < map->slot_count)
    {
      slot_t *slot = &map->slots[(*cursor)++];
      if (slot->key == NULL)
        continue;
      if (key != NULL)
        *key = str_make (slot->key, slot->key_len);
      *value = slot->value;
      return true;
    }
  return false;
}
