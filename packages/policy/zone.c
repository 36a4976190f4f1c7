#include "policy/zone.h"

#include "base/mem.h"

#include <stdlib.h>

struct zone
{
  zone_state_t state;
  uint32_t ramp_ms;
  uint64_t since_ms;
};

zone_t *
zone_create (uint32_t ramp_ms)
{
  zone_t *zone = mem_zalloc (sizeof *zone);

  zone->ramp_ms = ramp_ms > 0 ? ramp_ms : ZONE_RAMP_MS;
  return zone;
}

void
zone_destroy (zone_t *zone)
{
  free (zone);
}

void
zone_out (zone_t *zone)
{
  zone->state = ZONE_OUT;
}

void
zone_in (zone_t *zone, uint64_t now_ms)
{
  if (zone->state != ZONE_OUT)
    return;
  zone->state = ZONE_RAMPING;
  zone->since_ms = now_ms;
}

double
zone_ramp_share (uint64_t since_ms, uint32_t ramp_ms, uint64_t now_ms)
{
  if (now_ms >= since_ms + ramp_ms)
    return 1;
  if (now_ms <= since_ms)
    return ZONE_RAMP_INITIAL_SHARE;
  return ZONE_RAMP_INITIAL_SHARE
         + (1 - ZONE_RAMP_INITIAL_SHARE) * (double)(now_ms - since_ms)
               / ramp_ms;
}

double
zone_share (zone_t *zone, uint64_t now_ms)
{
  double share;

  if (zone->state == ZONE_OUT)
    return 0;
  if (zone->state == ZONE_ENABLED)
    return 1;
  share = zone_ramp_share (zone->since_ms, zone->ramp_ms, now_ms);
  if (share >= 1)
    zone->state = ZONE_ENABLED;
  return share;
}

zone_state_t
zone_state (const zone_t *zone)
{
  return zone->state;
}
