#include "policy/allowance.h"

#include "base/mem.h"

#include <stdlib.h>
#include <string.h>

struct allowance
{
  clock_iface_t *clock;
  allowance_options_t options;
  uint32_t gateways;
  uint64_t newest_bucket; /* Number of the newest bucket since time 0.  */
  uint32_t requests[ALLOWANCE_BUCKETS];
  uint32_t extra_sends[ALLOWANCE_BUCKETS];
};

allowance_t *
allowance_create (clock_iface_t *clock, const allowance_options_t *options)
{
  allowance_t *allowance = mem_zalloc (sizeof *allowance);

  allowance->clock = clock;
  allowance->options = *options;
  allowance->gateways = 1;
  return allowance;
}

void
allowance_destroy (allowance_t *allowance)
{
  free (allowance);
}

void
allowance_set_entries (allowance_t *allowance, uint32_t gateways)
{
  allowance->gateways = gateways > 0 ? gateways : 1;
}

/* Clear the buckets that are no longer in the window, and return the index of
   the newest one.  */
static size_t
advance_window (allowance_t *allowance)
{
  uint64_t current_bucket = clock_ms (allowance->clock) * ALLOWANCE_BUCKETS
                            / allowance->options.window_ms;

  if (current_bucket - allowance->newest_bucket >= ALLOWANCE_BUCKETS)
    {
      memset (allowance->requests, 0, sizeof allowance->requests);
      memset (allowance->extra_sends, 0, sizeof allowance->extra_sends);
      allowance->newest_bucket = current_bucket;
    }
  while (allowance->newest_bucket < current_bucket)
    {
      size_t at = ++allowance->newest_bucket % ALLOWANCE_BUCKETS;
      allowance->requests[at] = 0;
      allowance->extra_sends[at] = 0;
    }
  return current_bucket % ALLOWANCE_BUCKETS;
}

void
allowance_request (allowance_t *allowance)
{
  size_t at = advance_window (allowance);

  allowance->requests[at]++;
}

double
allowance_left (allowance_t *allowance)
{
  double requests = 0;
  double extra_sends = 0;

  advance_window (allowance);
  for (size_t i = 0; i < ALLOWANCE_BUCKETS; i++)
    {
      requests += allowance->requests[i];
      extra_sends += allowance->extra_sends[i];
    }
  double budget = requests * allowance->options.ratio
                  + allowance->options.slack / allowance->gateways;
  return budget * ALLOWANCE_USE - extra_sends;
}

bool
allowance_take (allowance_t *allowance, double reserve)
{
  if (allowance_left (allowance) < 1 + reserve)
    return false;
  allowance->extra_sends[advance_window (allowance)]++;
  return true;
}
