#include "policy/sendbudget.h"

#include "base/mem.h"
#include "base/rng.h"

#include <stdlib.h>
#include <string.h>

struct send_budget
{
  clock_iface_t *clock;
  send_budget_options_t options;
  uint32_t gateways;   /* 0: unknown.  */
  uint64_t created_ms; /* Boot time.  */
  double tokens;       /* Extra sends that may be made now.  */
  uint64_t tokens_ms;  /* Boot time up to which TOKENS has what time adds.  */
  /* Number of the newest bucket, counted from time 0.  */
  uint64_t newest_bucket;
  uint32_t requests[SEND_BUDGET_BUCKET_COUNT];
  uint32_t extra_sends[SEND_BUDGET_BUCKET_COUNT];
  rng_t rng;
  double draw;      /* In [0, 1), drawn once in a window.  */
  bool is_refusing; /* A series of refusals has not ended.  */
  uint64_t last_refusal_ms;
};

/* Return the tokens that a request adds.  */
static double
earned_per_request (const send_budget_t *send_budget)
{
  return send_budget->options.ratio * SEND_BUDGET_USED_SHARE
         * SEND_BUDGET_EARNED_SHARE;
}

/* Return the tokens that the bucket holds for each request of the window.  */
static double
held_per_request (const send_budget_t *send_budget)
{
  return send_budget->options.ratio * SEND_BUDGET_USED_SHARE
         * (1 - SEND_BUDGET_EARNED_SHARE);
}

send_budget_t *
send_budget_create (clock_iface_t *clock, const send_budget_options_t *options)
{
  send_budget_t *send_budget = mem_zalloc (sizeof *send_budget);

  send_budget->clock = clock;
  send_budget->options = *options;
  send_budget->rng = rng_make (options->seed);
  send_budget->draw = rng_double (&send_budget->rng);
  send_budget->created_ms = clock_boottime_ms (clock);
  send_budget->tokens_ms = send_budget->created_ms;
  if (earned_per_request (send_budget) < 1)
    send_budget->tokens = 1 - earned_per_request (send_budget);
  return send_budget;
}

void
send_budget_destroy (send_budget_t *send_budget)
{
  free (send_budget);
}

void
send_budget_set_gateway_count (send_budget_t *send_budget, uint32_t gateways)
{
  send_budget->gateways = gateways;
}

/* Clear the buckets that are no longer in the window, and return the index of
   the newest one.  */
static size_t
advance_window (send_budget_t *send_budget)
{
  uint64_t current_bucket = clock_boottime_ms (send_budget->clock)
                            * SEND_BUDGET_BUCKET_COUNT
                            / send_budget->options.window_ms;

  if (current_bucket / SEND_BUDGET_BUCKET_COUNT
      != send_budget->newest_bucket / SEND_BUDGET_BUCKET_COUNT)
    send_budget->draw = rng_double (&send_budget->rng);
  if (current_bucket - send_budget->newest_bucket >= SEND_BUDGET_BUCKET_COUNT)
    {
      memset (send_budget->requests, 0, sizeof send_budget->requests);
      memset (send_budget->extra_sends, 0, sizeof send_budget->extra_sends);
      send_budget->newest_bucket = current_bucket;
    }
  while (send_budget->newest_bucket < current_bucket)
    {
      size_t at = ++send_budget->newest_bucket % SEND_BUDGET_BUCKET_COUNT;
      send_budget->requests[at] = 0;
      send_budget->extra_sends[at] = 0;
    }
  return current_bucket % SEND_BUDGET_BUCKET_COUNT;
}

static double
fixed_part (const send_budget_t *send_budget)
{
  return send_budget->gateways > 0
             ? send_budget->options.slack * SEND_BUDGET_USED_SHARE
                   / send_budget->gateways
             : 0;
}

double
send_budget_capacity (send_budget_t *send_budget)
{
  uint64_t now_ms = clock_boottime_ms (send_budget->clock);
  uint32_t requests = 0;

  advance_window (send_budget);
  for (size_t i = 0; i < SEND_BUDGET_BUCKET_COUNT; i++)
    requests += send_budget->requests[i];
  double capacity = fixed_part (send_budget) * SEND_BUDGET_FIXED_HELD_SHARE
                    + requests * held_per_request (send_budget);
  bool holds_one
      = send_budget->gateways == 0
        || now_ms - send_budget->created_ms < send_budget->options.window_ms
        || send_budget->draw < capacity;
  return capacity < 1 && holds_one ? 1 : capacity;
}

/* Add the tokens for the time since the last call, and drop those that the
   bucket does not hold.  */
static void
update_tokens (send_budget_t *send_budget)
{
  uint64_t now_ms = clock_boottime_ms (send_budget->clock);
  double windows = (double)(now_ms - send_budget->tokens_ms)
                   / (double)send_budget->options.window_ms;

  send_budget->tokens
      += windows * fixed_part (send_budget) * SEND_BUDGET_FIXED_EARNED_SHARE;
  send_budget->tokens_ms = now_ms;
  double capacity = send_budget_capacity (send_budget);
  if (send_budget->tokens > capacity)
    send_budget->tokens = capacity;
}

void
send_budget_count_request (send_budget_t *send_budget)
{
  send_budget->requests[advance_window (send_budget)]++;
  send_budget->tokens += earned_per_request (send_budget);
  update_tokens (send_budget);
}

double
send_budget_remaining (send_budget_t *send_budget)
{
  update_tokens (send_budget);
  return send_budget->tokens;
}

bool
send_budget_try_take (send_budget_t *send_budget, double reserve)
{
  if (send_budget_remaining (send_budget) < 1 + reserve)
    return false;
  send_budget->tokens--;
  send_budget->extra_sends[advance_window (send_budget)]++;
  return true;
}

bool
send_budget_count_refusal (send_budget_t *send_budget)
{
  bool is_first = !send_budget->is_refusing;

  send_budget->is_refusing = true;
  send_budget->last_refusal_ms = clock_ms (send_budget->clock);
  return is_first;
}

bool
send_budget_end_refusals (send_budget_t *send_budget)
{
  uint64_t quiet_ms
      = send_budget->options.window_ms / SEND_BUDGET_BUCKET_COUNT;

  if (!send_budget->is_refusing
      || clock_ms (send_budget->clock) - send_budget->last_refusal_ms
             < quiet_ms)
    return false;
  send_budget->is_refusing = false;
  return true;
}

send_budget_usage_t
send_budget_usage (send_budget_t *send_budget)
{
  send_budget_usage_t usage
      = { .gateways = send_budget->gateways,
          .fixed_part = fixed_part (send_budget),
          .remaining = send_budget_remaining (send_budget) };

  for (size_t i = 0; i < SEND_BUDGET_BUCKET_COUNT; i++)
    {
      usage.requests += send_budget->requests[i];
      usage.extra_sends += send_budget->extra_sends[i];
    }
  return usage;
}
