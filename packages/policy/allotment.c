#include "policy/allotment.h"

#include "base/map.h"
#include "base/mem.h"

#include <stdlib.h>

typedef struct
{
  uint64_t hash;
  uint64_t zone;    /* Hash of its name.  */
  uint64_t left_ms; /* When it left the list; 0: it is listed.  */
  char *name;
} member_t;

struct allotment
{
  clock_iface_t *clock;
  member_t *members; /* The first is this entry.  */
  size_t count;
  size_t room;
  size_t leaving; /* Members that left the list.  */
  map_t *places;  /* Name to index into MEMBERS, plus one.  */
  uint64_t generation;
  bool is_known;
};

static void
add (allotment_t *allotment, str_t name, str_t zone)
{
  if (allotment->count == allotment->room)
    {
      allotment->room = allotment->room > 0 ? 2 * allotment->room : 8;
      allotment->members = mem_realloc (
          allotment->members, allotment->room * sizeof *allotment->members);
    }
  allotment->members[allotment->count++]
      = (member_t){ .hash = str_hash (name, 0),
                    .zone = str_hash (zone, 0),
                    .name = str_dup (name) };
  map_put (allotment->places, name, (void *)(uintptr_t)allotment->count);
  allotment->generation++;
}

static member_t *
find (const allotment_t *allotment, str_t name)
{
  uintptr_t place = (uintptr_t)map_get (allotment->places, name);

  return place > 0 ? &allotment->members[place - 1] : NULL;
}

/* Take the member at INDEX out; the last one moves there.  */
static void
drop (allotment_t *allotment, size_t index)
{
  member_t *member = &allotment->members[index];

  map_remove (allotment->places, str_from (member->name));
  free (member->name);
  *member = allotment->members[--allotment->count];
  if (index < allotment->count)
    map_put (allotment->places, str_from (member->name),
             (void *)(uintptr_t)(index + 1));
  allotment->leaving--;
  allotment->generation++;
}

allotment_t *
allotment_create (clock_iface_t *clock, str_t name, str_t zone)
{
  allotment_t *allotment = mem_zalloc (sizeof *allotment);

  allotment->clock = clock;
  allotment->places = map_create ();
  add (allotment, name, zone);
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
  map_destroy (allotment->places);
  free (allotment);
}

void
allotment_put (allotment_t *allotment, str_t name, str_t zone)
{
  member_t *member = find (allotment, name);
  uint64_t zone_hash = str_hash (zone, 0);

  if (member == NULL)
    {
      add (allotment, name, zone);
      return;
    }
  if (member->left_ms != 0)
    allotment->leaving--;
  member->left_ms = 0;
  if (member->zone == zone_hash)
    return;
  member->zone = zone_hash;
  allotment->generation++;
}

void
allotment_remove (allotment_t *allotment, str_t name)
{
  member_t *member = find (allotment, name);

  if (member == NULL || member == allotment->members || member->left_ms != 0)
    return;
  member->left_ms = clock_ms (allotment->clock);
  allotment->leaving++;
}

void
allotment_set_loaded (allotment_t *allotment)
{
  allotment->is_known = true;
}

void
allotment_expire (allotment_t *allotment)
{
  uint64_t now_ms = clock_ms (allotment->clock);

  for (size_t i = allotment->count; allotment->leaving > 0 && i-- > 0;)
    {
      uint64_t left_ms = allotment->members[i].left_ms;
      if (left_ms != 0 && now_ms - left_ms >= ALLOTMENT_REMOVAL_DELAY_MS)
        drop (allotment, i);
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
  return allotment->is_known;
}

uint64_t
allotment_generation (const allotment_t *allotment)
{
  return allotment->generation;
}

size_t
allotment_rank (const allotment_t *allotment, uint64_t object, str_t zone)
{
  const member_t *self = allotment->members;
  uint64_t zone_hash = str_hash (zone, 0);
  uint64_t own = hash_weight (self->hash, object);
  bool is_near = self->zone == zone_hash;
  size_t rank = 0;

  for (size_t i = 1; i < allotment->count; i++)
    {
      const member_t *other = &allotment->members[i];
      bool other_near = other->zone == zone_hash;
      if (other_near != is_near ? other_near
                                : hash_weight (other->hash, object) > own)
        rank++;
    }
  return rank;
}

uint32_t
allotment_share (double bound, size_t rank, size_t count)
{
  size_t whole = bound > 0 ? (size_t)bound : 0;
  size_t part = whole / count + (rank < whole % count);

  return part < UINT32_MAX ? (uint32_t)part : UINT32_MAX;
}
