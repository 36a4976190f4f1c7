/* Mean values of the routes of a service, in which older samples have less
   weight.

   Routes of one service may differ by orders of magnitude in the time that
   their requests take.  The number of routes has no bound, so only some are
   kept: a route is in one of ROUTE_LEVELS_BUCKETS buckets, in which the route
   with the smallest weight gives way.  */

#ifndef POLICY_ROUTE_LEVELS_H
#define POLICY_ROUTE_LEVELS_H

#include <stdint.h>

enum
{
  ROUTE_LEVELS_BUCKETS = 32,
  ROUTE_LEVELS_BUCKET_SIZE = 4
};

typedef struct
{
  uint64_t route; /* Hash of the route's name.  */
  double weight;  /* Number of samples, decayed; 0: the entry is not used.  */
  double sum;
} route_level_t;

/* All 0 at first.  */
typedef struct
{
  route_level_t entries[ROUTE_LEVELS_BUCKETS][ROUTE_LEVELS_BUCKET_SIZE];
} route_levels_t;

/* Add a sample of VALUE on ROUTE.  */
void route_levels_add (route_levels_t *levels, uint64_t route, double value);
/* Multiply the weight of all samples by FACTOR.  */
void route_levels_decay (route_levels_t *levels, double factor);
/* Return the level of ROUTE, or NULL if the route is not kept.  */
const route_level_t *route_levels_find (const route_levels_t *levels,
                                        uint64_t route);

#endif
