#include "policy/ratelimit.h"

bool
rate_limit_announce (rate_limit_t *limit, double rate_per_s, uint64_t now_ms)
{
  bool is_new = !limit->is_announced;
  bool has_changed = is_new || limit->rate_per_s != rate_per_s;

  if (is_new)
    limit->since_ms = now_ms;
  limit->is_announced = true;
  limit->rate_per_s = rate_per_s;
  limit->confirmed_ms = now_ms;
  return has_changed;
}

bool
rate_limit_end (rate_limit_t *limit)
{
  bool was_announced = limit->is_announced;

  limit->is_announced = false;
  return was_announced;
}
