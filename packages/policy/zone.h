/* Whether an availability zone takes work, and how much of its share.

   Answers: operators take a whole zone out at short notice and bring it back.
   Without the ramp every caller turns to the zone at once when it returns:
   its upstreams are idle, so choice by load sends them everything, with cold
   caches and cold engines.

   - ZONE_RAMP_MS 10000: engines fill their caches in some seconds; longer
     would keep the other zones overloaded without need.
   - ZONE_RAMP_INITIAL_SHARE 0.1: the share at the first moment, enough to warm
   up.  */

#ifndef POLICY_ZONE_H
#define POLICY_ZONE_H

#include <stdint.h>

enum
{
  ZONE_RAMP_MS = 10000
};

#define ZONE_RAMP_INITIAL_SHARE 0.1

typedef enum
{
  ZONE_ENABLED,
  ZONE_OUT,
  ZONE_RAMPING
} zone_state_t;

typedef struct zone zone_t;

/* Make a zone that is in.  RAMP_MS 0 takes ZONE_RAMP_MS.  */
zone_t *zone_create (uint32_t ramp_ms);
void zone_destroy (zone_t *zone);
/* Operators take the zone out, or bring it back at NOW_MS.  Saying the same
   again changes nothing, so a configuration may be applied twice.  */
void zone_out (zone_t *zone);
void zone_in (zone_t *zone, uint64_t now_ms);
/* Return the part of its full share that the zone takes: 0 when out, rising
   to 1 after its return.  */
double zone_share (zone_t *zone, uint64_t now_ms);
zone_state_t zone_state (const zone_t *zone);

/* Return how far a ramp of RAMP_MS that began at SINCE_MS is at NOW_MS, from
   ZONE_RAMP_INITIAL_SHARE to 1.  */
double zone_ramp_share (uint64_t since_ms, uint32_t ramp_ms, uint64_t now_ms);

#endif
