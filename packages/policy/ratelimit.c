#include "policy/ratelimit.h"

#include <math.h>

enum
{
  MS_PER_S = 1000,
  /* Validity of a slot, and the number of further intervals between slots for
     which it is valid.  At low rates a gateway needs the intervals to have a
     request for its slot.  */
  SLOT_VALIDITY_MS = 2000,
  SLOT_VALIDITY_INTERVALS = 2
};

bool
rate_limit_announce (rate_limit_t *limit, double rate_per_s, uint64_t now_ms)
{
  bool is_new = !limit->is_announced;
  bool has_changed = is_new || limit->rate_per_s != rate_per_s;

  if (is_new)
    limit->since_ms = now_ms;
  if (is_new && limit->ended_ms == 0)
    limit->slots_from_ms = now_ms;
  limit->is_announced = true;
  limit->rate_per_s = rate_per_s;
  limit->confirmed_ms = now_ms;
  limit->ended_ms = 0;
  return has_changed;
}

bool
rate_limit_end (rate_limit_t *limit, uint64_t now_ms)
{
  if (!limit->is_announced)
    return false;
  limit->is_announced = false;
  limit->ended_ms = now_ms;
  return true;
}

double
rate_limit_enforced_per_s (const rate_limit_t *limit, uint64_t now_ms)
{
  double rate_per_s = limit->rate_per_s > RATE_LIMIT_MIN_PER_S
                          ? limit->rate_per_s
                          : RATE_LIMIT_MIN_PER_S;

  if (limit->is_announced)
    return rate_per_s < RATE_LIMIT_MAX_PER_S ? rate_per_s : 0;
  if (limit->ended_ms == 0)
    return 0;
  /* Whole seconds, because each change of the rate shifts the slots.  */
  rate_per_s *= exp2 (floor ((double)(now_ms - limit->ended_ms) / MS_PER_S));
  return rate_per_s < RATE_LIMIT_RAMP_END_PER_S ? rate_per_s : 0;
}

double
rate_limit_slot_validity_ms (double rate_per_s)
{
  return SLOT_VALIDITY_MS + SLOT_VALIDITY_INTERVALS * MS_PER_S / rate_per_s;
}

double
rate_limit_slot_after_ms (const rate_limit_slots_t *slots, double after_ms)
{
  double count = (double)slots->gateway_count;
  double rank = (double)slots->rank;
  double round
      = floor ((after_ms * slots->rate_per_s / MS_PER_S - rank) / count) + 1;

  return (round * count + rank) * MS_PER_S / slots->rate_per_s;
}

/* Return the start, in shared time, of the oldest slot of SLOTS that is unused
   and valid now or later.  It is at least half an interval after the last slot
   used, also if the slots have shifted since, so that the mean interval
   remains.  Recorded times are converted with the present difference between
   the clocks: the shared time is not known at the start, and may be set.  */
static double
oldest_slot_ms (const rate_limit_t *limit, const rate_limit_slots_t *slots,
                uint64_t now_ms, uint64_t shared_now_ms)
{
  double interval_ms
      = (double)slots->gateway_count * MS_PER_S / slots->rate_per_s;
  double offset_ms = (double)shared_now_ms - (double)now_ms;
  double slots_from_ms = (double)limit->slots_from_ms + offset_ms;
  double next_ms = limit->used_slot_ms + offset_ms + interval_ms / 2;
  double after_ms = (double)shared_now_ms
                    - rate_limit_slot_validity_ms (slots->rate_per_s);

  if (after_ms < slots_from_ms)
    after_ms = slots_from_ms;
  if (limit->has_used_slot && after_ms < next_ms)
    after_ms = next_ms;
  return rate_limit_slot_after_ms (slots, after_ms);
}

bool
rate_limit_has_slot (const rate_limit_t *limit,
                     const rate_limit_slots_t *slots, uint64_t now_ms,
                     uint64_t shared_now_ms)
{
  return oldest_slot_ms (limit, slots, now_ms, shared_now_ms)
         <= (double)shared_now_ms;
}

void
rate_limit_use_slot (rate_limit_t *limit, const rate_limit_slots_t *slots,
                     uint64_t now_ms, uint64_t shared_now_ms)
{
  double start_ms = oldest_slot_ms (limit, slots, now_ms, shared_now_ms);

  if (start_ms <= (double)shared_now_ms)
    {
      limit->has_used_slot = true;
      limit->used_slot_ms
          = start_ms - ((double)shared_now_ms - (double)now_ms);
    }
}
