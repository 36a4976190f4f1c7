#include "policy/drain.h"

#include "base/mem.h"

#include <stdlib.h>

struct drain
{
  clock_iface_t *clock;
  uint32_t grace_ms;
  uint32_t bound_ms;
  drain_state_t state;
  uint64_t begin_ms;
  uint32_t cut;
};

drain_t *
drain_create (uint32_t grace_ms, uint32_t bound_ms, clock_iface_t *clock)
{
  drain_t *drain = mem_zalloc (sizeof *drain);

  drain->clock = clock;
  drain->grace_ms = grace_ms > 0 ? grace_ms : DRAIN_GRACE_MS;
  drain->bound_ms = bound_ms > 0 ? bound_ms : DRAIN_TIMEOUT_MS;
  return drain;
}

void
drain_destroy (drain_t *drain)
{
  free (drain);
}

bool
drain_start (drain_t *drain)
{
  if (drain->state != DRAIN_SERVING)
    return false;
  drain->state = DRAIN_ANNOUNCED;
  drain->begin_ms = clock_ms (drain->clock);
  return true;
}

static uint64_t
stopping_ms (const drain_t *drain)
{
  return clock_ms (drain->clock) - drain->begin_ms;
}

drain_state_t
drain_update (drain_t *drain, uint32_t in_hand)
{
  if (drain->state == DRAIN_ANNOUNCED
      && stopping_ms (drain) >= drain->grace_ms)
    drain->state = DRAIN_DRAINING;
  if (drain->state == DRAIN_DRAINING && in_hand == 0)
    drain->state = DRAIN_DONE;
  /* Guards against a request that never ends: it would hold the stop until
     the platform kills the process, with all else that is in hand.  */
  if ((drain->state == DRAIN_ANNOUNCED || drain->state == DRAIN_DRAINING)
      && stopping_ms (drain) >= drain->bound_ms)
    {
      drain->cut = in_hand;
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
  uint64_t at_ms = drain->bound_ms;
  uint64_t now_ms;

  if (drain->state == DRAIN_SERVING || drain->state == DRAIN_DONE)
    return UINT64_MAX;
  if (drain->state == DRAIN_ANNOUNCED && drain->grace_ms < at_ms)
    at_ms = drain->grace_ms;
  now_ms = stopping_ms (drain);
  return at_ms > now_ms ? at_ms - now_ms : 0;
}

uint32_t
drain_unfinished_at_timeout (const drain_t *drain)
{
  return drain->cut;
}
