#include "policy/allowance.h"

#include "base/mem.h"

#include <stdlib.h>
#include <string.h>

struct allowance
{
  clock_iface_t *clock;
  send_budget_options_t options;
  uint32_t entries;
  uint64_t bucket; /* Number of the newest one.  */
  uint32_t requests[SEND_BUDGET_BUCKETS];
  uint32_t extras[SEND_BUDGET_BUCKETS];
};

send_budget_t *
send_budget_create (clock_iface_t *clock, const send_budget_options_t *options)
{
  send_budget_t *allowance = mem_zalloc (sizeof *allowance);

  allowance->clock = clock;
  allowance->options = *options;
  allowance->entries = 1;
  return allowance;
}

void
send_budget_destroy (send_budget_t *allowance)
{
  free (allowance);
}

void
send_budget_set_gateway_count (send_budget_t *allowance, uint32_t entries)
{
  allowance->entries = entries > 0 ? entries : 1;
}

/* Clear the buckets that have left the window; return the newest.  */
static size_t
turn (send_budget_t *allowance)
{
  uint64_t bucket = clock_ms (allowance->clock) * SEND_BUDGET_BUCKETS
                    / allowance->options.window_ms;

  if (bucket - allowance->bucket >= SEND_BUDGET_BUCKETS)
    {
      memset (allowance->requests, 0, sizeof allowance->requests);
      memset (allowance->extras, 0, sizeof allowance->extras);
      allowance->bucket = bucket;
    }
  while (allowance->bucket < bucket)
    {
      size_t at = ++allowance->bucket % SEND_BUDGET_BUCKETS;
      allowance->requests[at] = 0;
      allowance->extras[at] = 0;
    }
  return bucket % SEND_BUDGET_BUCKETS;
}

void
send_budget_count_request (send_budget_t *allowance)
{
  size_t at = turn (allowance);

  allowance->requests[at]++;
}

double
send_budget_remaining (send_budget_t *allowance)
{
  double requests = 0;
  double extras = 0;

  turn (allowance);
  for (size_t i = 0; i < SEND_BUDGET_BUCKETS; i++)
    {
      requests += allowance->requests[i];
      extras += allowance->extras[i];
    }
  double bound = requests * allowance->options.ratio
                 + allowance->options.slack / allowance->entries;
  return bound * SEND_BUDGET_USED_SHARE - extras;
}

bool
send_budget_try_take (send_budget_t *allowance, double reserve)
{
  if (send_budget_remaining (allowance) < 1 + reserve)
    return false;
  allowance->extras[turn (allowance)]++;
  return true;
}
