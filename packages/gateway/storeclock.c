#include "gateway/storeclock.h"

/* By how much the store's clock is ahead at most, at NOW_MS.  */
static int64_t
ahead_at (const store_clock_t *clock, uint64_t now_ms)
{
  uint64_t passed_ms
      = now_ms > clock->sampled_ms ? now_ms - clock->sampled_ms : 0;

  return clock->ahead_ms
         + (int64_t)((double)passed_ms * STORE_CLOCK_DRIFT + 0.5);
}

void
store_clock_add_sample (store_clock_t *clock, uint64_t store_ms,
                        uint64_t sent_ms, uint64_t got_ms)
{
  int64_t most = (int64_t)store_ms - (int64_t)sent_ms;
  int64_t least = (int64_t)store_ms - (int64_t)got_ms;
  int64_t ahead = ahead_at (clock, got_ms);

  /* Ahead by more than the most that was possible: another clock.  */
  if (clock->known && most >= ahead && least <= ahead)
    return;
  clock->known = true;
  clock->ahead_ms = most;
  clock->sampled_ms = got_ms;
}

uint64_t
store_clock_to_local (const store_clock_t *clock, uint64_t store_ms,
                      uint64_t now_ms)
{
  int64_t local = (int64_t)store_ms - ahead_at (clock, now_ms);

  if (!clock->known || local <= 0)
    return 0;
  return (uint64_t)local < now_ms ? (uint64_t)local : now_ms;
}
