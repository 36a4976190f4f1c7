#include "policy/allotment.h"

#include "base/map.h"
#include "base/mem.h"

#include <stdlib.h>

/* A gateway that shares the limits.  */
typedef struct
{
  uint64_t name_hash;
  uint64_t zone_hash;         /* Hash of the zone's name.  */
  uint64_t unlisted_since_ms; /* Time of leaving the list; 0 if listed.  */
  char *name;
} member_t;

struct allotment
{
  clock_iface_t *clock;
  member_t *members; /* The first is this gateway.  */
  size_t count;
  size_t capacity;
  size_t unlisted_count; /* Number of members that are no longer listed.  */
  map_t *index_by_name; /* From name to index in MEMBERS + 1, as a pointer.  */
  uint64_t generation;
  bool is_loaded;
};

static void
add_member (allotment_t *allotment, str_t name, str_t zone)
{
  if (allotment->count == allotment->capacity)
    {
      allotment->capacity
          = allotment->capacity > 0 ? 2 * allotment->capacity : 8;
      allotment->members
          = mem_realloc (allotment->members,
                         allotment->capacity * sizeof *allotment->members);
    }
  allotment->members[allotment->count++]
      = (member_t){ .name_hash = str_hash (name, 0),
                    .zone_hash = str_hash (zone, 0),
                    .name = str_dup (name) };
  map_put (allotment->index_by_name, name,
           (void *)(uintptr_t)allotment->count);
  allotment->generation++;
}

static member_t *
find_member (const allotment_t *allotment, str_t name)
{
  uintptr_t index_plus_1 = (uintptr_t)map_get (allotment->index_by_name, name);

  return index_plus_1 > 0 ? &allotment->members[index_plus_1 - 1] : NULL;
}

/* Remove the member at INDEX; the last member moves to INDEX.  */
static void
remove_member (allotment_t *allotment, size_t index)
{
  member_t *member = &allotment->members[index];

  map_remove (allotment->index_by_name, str_from (member->name));
  free (member->name);
  *member = allotment->members[--allotment->count];
  if (index < allotment->count)
    map_put (allotment->index_by_name, str_from (member->name),
             (void *)(uintptr_t)(index + 1));
  allotment->unlisted_count--;
  allotment->generation++;
}

allotment_t *
allotment_create (clock_iface_t *clock, str_t name, str_t zone)
{
  allotment_t *allotment = mem_zalloc (sizeof *allotment);

  allotment->clock = clock;
  allotment->index_by_name = map_create ();
  add_member (allotment, name, zone);
  return allotment;
}

void
allotment_destroy (allotment_t *allotment)
{
  if (allotment == NULL)
    return;
  for (size_t i = 0; i < allotment->count; i++)
    free (allotment->members[i].name);
  free (allotment->members);
  map_destroy (allotment->index_by_name);
  free (allotment);
}

void
allotment_put (allotment_t *allotment, str_t name, str_t zone)
{
  member_t *member = find_member (allotment, name);
  uint64_t zone_hash = str_hash (zone, 0);

  if (member == NULL)
    {
      add_member (allotment, name, zone);
      return;
    }
  if (member->unlisted_since_ms != 0)
    allotment->unlisted_count--;
  member->unlisted_since_ms = 0;
  if (member->zone_hash == zone_hash)
    return;
  member->zone_hash = zone_hash;
  allotment->generation++;
}

void
allotment_remove (allotment_t *allotment, str_t name)
{
  member_t *member = find_member (allotment, name);

  if (member == NULL || member == allotment->members
      || member->unlisted_since_ms != 0)
    return;
  member->unlisted_since_ms = clock_ms (allotment->clock);
  allotment->unlisted_count++;
}

void
allotment_set_loaded (allotment_t *allotment)
{
  allotment->is_loaded = true;
}

void
allotment_expire (allotment_t *allotment)
{
  uint64_t now_ms = clock_ms (allotment->clock);

  for (size_t i = allotment->count; allotment->unlisted_count > 0 && i-- > 0;)
    {
      uint64_t unlisted_since_ms = allotment->members[i].unlisted_since_ms;
      if (unlisted_since_ms != 0
          && now_ms - unlisted_since_ms >= ALLOTMENT_REMOVAL_DELAY_MS)
        remove_member (allotment, i);
    }
}

size_t
allotment_gateway_count (const allotment_t *allotment)
{
  return allotment->count;
}

bool
allotment_is_loaded (const allotment_t *allotment)
{
  return allotment->is_loaded;
}

uint64_t
allotment_generation (const allotment_t *allotment)
{
  return allotment->generation;
}

size_t
allotment_rank (const allotment_t *allotment, uint64_t object_hash, str_t zone)
{
  const member_t *self = allotment->members;
  uint64_t zone_hash = str_hash (zone, 0);
  uint64_t own_weight = rendezvous_weight (self->name_hash, object_hash);
  bool is_in_zone = self->zone_hash == zone_hash;
  size_t rank = 0;

  for (size_t i = 1; i < allotment->count; i++)
    {
      const member_t *other = &allotment->members[i];
      bool is_other_in_zone = other->zone_hash == zone_hash;
      if (is_other_in_zone != is_in_zone
              ? is_other_in_zone
              : rendezvous_weight (other->name_hash, object_hash) > own_weight)
        rank++;
    }
  return rank;
}

uint32_t
allotment_share (double limit, size_t rank, size_t count)
{
  size_t units = limit > 0 ? (size_t)limit : 0;
  size_t share = units / count + (rank < units % count);

  return share < UINT32_MAX ? (uint32_t)share : UINT32_MAX;
}
