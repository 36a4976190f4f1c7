#include "policy/drain.h"

#include "base/mem.h"

#include <stdlib.h>

struct drain
{
  clock_iface_t *clock;
  uint32_t announce_ms;
  uint32_t timeout_ms;
  drain_state_t state;
  stop_time_t start;
  uint32_t unfinished_at_timeout;
};

drain_t *
drain_create (uint32_t announce_ms, uint32_t timeout_ms, clock_iface_t *clock)
{
  drain_t *drain = mem_zalloc (sizeof *drain);

  drain->clock = clock;
  drain->announce_ms = announce_ms > 0 ? announce_ms : DRAIN_ANNOUNCE_MS;
  drain->timeout_ms = timeout_ms > 0 ? timeout_ms : DRAIN_TIMEOUT_MS;
  return drain;
}

void
drain_destroy (drain_t *drain)
{
  free (drain);
}

bool
drain_start (drain_t *drain, const stop_time_t *time)
{
  if (drain->state != DRAIN_SERVING)
    return false;
  drain->state = DRAIN_ANNOUNCED;
  drain->start = *time;
  return true;
}

/* Return the time until FROM_MS of the clock, in ms; 0 if that has passed.  */
static uint64_t
ms_until (const drain_t *drain, uint64_t from_ms)
{
  uint64_t now_ms = clock_ms (drain->clock);

  return from_ms > now_ms ? from_ms - now_ms : 0;
}

static uint64_t
ms_to_drain (const drain_t *drain)
{
  return ms_until (drain, drain->start.earliest_ms + drain->announce_ms);
}

static uint64_t
ms_to_timeout (const drain_t *drain)
{
  return ms_until (drain, drain->start.delivered_ms + drain->timeout_ms);
}

drain_state_t
drain_update (drain_t *drain, uint32_t unfinished)
{
  if (drain->state == DRAIN_ANNOUNCED && ms_to_drain (drain) == 0)
    drain->state = DRAIN_DRAINING;
  if (drain->state == DRAIN_DRAINING && unfinished == 0)
    drain->state = DRAIN_DONE;
  /* A request that never ends would delay the shutdown until the platform
     kills the process, which aborts all other unfinished work.  */
  if ((drain->state == DRAIN_ANNOUNCED || drain->state == DRAIN_DRAINING)
      && ms_to_timeout (drain) == 0)
    {
      drain->unfinished_at_timeout = unfinished;
      drain->state = DRAIN_DONE;
    }
  return drain->state;
}

bool
drain_accepts_requests (const drain_t *drain)
{
  return drain->state == DRAIN_SERVING || drain->state == DRAIN_ANNOUNCED;
}

bool
drain_is_healthy (const drain_t *drain)
{
  return drain->state == DRAIN_SERVING;
}

uint64_t
drain_ms_to_next_state (const drain_t *drain)
{
  uint64_t next_ms;

  if (drain->state == DRAIN_SERVING || drain->state == DRAIN_DONE)
    return UINT64_MAX;
  next_ms = ms_to_timeout (drain);
  if (drain->state == DRAIN_ANNOUNCED && ms_to_drain (drain) < next_ms)
    next_ms = ms_to_drain (drain);
  return next_ms;
}

uint32_t
drain_unfinished_at_timeout (const drain_t *drain)
{
  return drain->unfinished_at_timeout;
}
