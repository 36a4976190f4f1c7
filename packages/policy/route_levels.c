#include "policy/route_levels.h"

#include <stddef.h>

const route_level_t *
route_levels_find (const route_levels_t *levels, uint64_t route)
{
  const route_level_t *bucket = levels->entries[route % ROUTE_LEVELS_BUCKETS];

  for (size_t i = 0; i < ROUTE_LEVELS_BUCKET_SIZE; i++)
    if (bucket[i].weight > 0 && bucket[i].route == route)
      return &bucket[i];
  return NULL;
}

void
route_levels_add (route_levels_t *levels, uint64_t route, double value)
{
  route_level_t *bucket = levels->entries[route % ROUTE_LEVELS_BUCKETS];
  route_level_t *entry = &bucket[0];

  for (size_t i = 0; i < ROUTE_LEVELS_BUCKET_SIZE; i++)
    {
      if (bucket[i].weight > 0 && bucket[i].route == route)
        {
          entry = &bucket[i];
          break;
        }
      if (bucket[i].weight < entry->weight)
        entry = &bucket[i];
    }
  if (entry->weight <= 0 || entry->route != route)
    *entry = (route_level_t){ .route = route };
  entry->weight += 1;
  entry->sum += value;
}

void
route_levels_decay (route_levels_t *levels, double factor)
{
  for (size_t i = 0; i < ROUTE_LEVELS_BUCKETS; i++)
    for (size_t j = 0; j < ROUTE_LEVELS_BUCKET_SIZE; j++)
      {
        levels->entries[i][j].weight *= factor;
        levels->entries[i][j].sum *= factor;
      }
}
