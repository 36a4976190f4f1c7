#include "gateway/storeclock.h"

/* Return the upper bound on store clock minus local clock, at local time
   NOW_MS.  */
static int64_t
ahead_bound_at (const store_clock_t *clock, uint64_t now_ms)
{
  uint64_t elapsed_ms
      = now_ms > clock->sampled_ms ? now_ms - clock->sampled_ms : 0;

  return clock->ahead_ms
         + (int64_t)((double)elapsed_ms * STORE_CLOCK_DRIFT + 0.5);
}

void
store_clock_add_sample (store_clock_t *clock, uint64_t store_ms,
                        uint64_t sent_ms, uint64_t received_ms)
{
  int64_t ahead_max_ms = (int64_t)store_ms - (int64_t)sent_ms;
  int64_t ahead_min_ms = (int64_t)store_ms - (int64_t)received_ms;
  int64_t bound_ms = ahead_bound_at (clock, received_ms);

  /* Keep the current bound if it lies in the range that this call allows.  A
     bound above the range is looser, or the store's clock jumped back; a bound
     below the range means that the store's clock jumped ahead.  */
  if (clock->is_known && ahead_max_ms >= bound_ms && ahead_min_ms <= bound_ms)
    return;
  clock->is_known = true;
  clock->ahead_ms = ahead_max_ms;
  clock->sampled_ms = received_ms;
}

uint64_t
store_clock_to_local (const store_clock_t *clock, uint64_t store_ms,
                      uint64_t now_ms)
{
  int64_t local_ms = (int64_t)store_ms - ahead_bound_at (clock, now_ms);

  if (!clock->is_known || local_ms <= 0)
    return 0;
  return (uint64_t)local_ms < now_ms ? (uint64_t)local_ms : now_ms;
}
