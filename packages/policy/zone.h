/* Whether an availability zone gets traffic, and how much of its full share.

   Load pattern: operators disable a whole zone at short notice and enable it
   again.  Without the ramp all gateways send everything to the zone when it is
   enabled: its upstreams are idle, so selection by load prefers them, while
   their caches and engines are cold.

   - ZONE_RAMP_MS 10000: engines fill their caches within some seconds; a
     longer ramp would keep the other zones overloaded without need.
   - ZONE_RAMP_INITIAL_SHARE 0.1: the share at the start of the ramp, enough to
     warm the zone up.  */

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
  ZONE_DISABLED,
  ZONE_RAMPING
} zone_state_t;

typedef struct zone zone_t;

/* Create a zone that is enabled, without a ramp at its start.  RAMP_MS is the
   length of later ramps; 0 selects ZONE_RAMP_MS.  */
zone_t *zone_create (uint32_t ramp_ms);
void zone_destroy (zone_t *zone);
/* Disable the zone.  */
void zone_disable (zone_t *zone);
/* Enable the zone, with a ramp that starts at NOW_MS.  Does nothing if the
   zone is enabled already, so that a configuration may be applied twice.  */
void zone_enable (zone_t *zone, uint64_t now_ms);
/* Return the fraction of its full share of traffic that the zone gets at
   NOW_MS: 0 if disabled, rising to 1 after it was enabled.  */
double zone_share (zone_t *zone, uint64_t now_ms);
zone_state_t zone_state (const zone_t *zone);

/* Return the fraction reached at NOW_MS by a linear ramp from
   ZONE_RAMP_INITIAL_SHARE to 1 that started at RAMP_START_MS and takes
   RAMP_MS.  */
double zone_ramp_share (uint64_t ramp_start_ms, uint32_t ramp_ms,
                        uint64_t now_ms);

#endif
