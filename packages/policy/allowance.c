#include "policy/allowance.h"

#include "base/mem.h"

#include <stdlib.h>
#include <string.h>

struct allowance
{
  clock_iface_t *clock;
  allowance_options_t options;
  uint32_t entries;
  uint64_t bucket; /* Number of the newest one.  */
  uint32_t requests[ALLOWANCE_BUCKETS];
  uint32_t extras[ALLOWANCE_BUCKETS];
};

allowance_t *
allowance_create (clock_iface_t *clock, const allowance_options_t *options)
{
  allowance_t *allowance = mem_zalloc (sizeof *allowance);

  allowance->clock = clock;
  allowance->options = *options;
  allowance->entries = 1;
  return allowance;
}

void
allowance_destroy (allowance_t *allowance)
{
  free (allowance);
}

void
allowance_set_entries (allowance_t *allowance, uint32_t entries)
{
  allowance->entries = entries > 0 ? entries : 1;
}

/* Clear the buckets that have left the window; return the newest.  */
static size_t
turn (allowance_t *allowance)
{
  uint64_t bucket = clock_ms (allowance->clock) * ALLOWANCE_BUCKETS
                    / allowance->options.window_ms;

  if (bucket - allowance->bucket >= ALLOWANCE_BUCKETS)
    {
      memset (allowance->requests, 0, sizeof allowance->requests);
      memset (allowance->extras, 0, sizeof allowance->extras);
      allowance->bucket = bucket;
    }
  while (allowance->bucket < bucket)
    {
      size_t at = ++allowance->bucket % ALLOWANCE_BUCKETS;
      allowance->requests[at] = 0;
      allowance->extras[at] = 0;
    }
  return bucket % ALLOWANCE_BUCKETS;
}

void
allowance_request (allowance_t *allowance)
{
  size_t at = turn (allowance);

  allowance->requests[at]++;
}

double
allowance_left (allowance_t *allowance)
{
  double requests = 0;
  double extras = 0;

  turn (allowance);
  for (size_t i = 0; i < ALLOWANCE_BUCKETS; i++)
    {
      requests += allowance->requests[i];
      extras += allowance->extras[i];
    }
  double bound = requests * allowance->options.ratio
                 + allowance->options.slack / allowance->entries;
  return bound * ALLOWANCE_USE - extras;
}

bool
allowance_take (allowance_t *allowance, double reserve)
{
  if (allowance_left (allowance) < 1 + reserve)
    return false;
  allowance->extras[turn (allowance)]++;
  return true;
}
