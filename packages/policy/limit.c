#include "policy/limit.h"

#include "base/mem.h"

#include <math.h>
#include <stdlib.h>

struct limit
{
  clock_iface_t *clock;
  double tolerance;
  uint32_t initial_slots;
  uint32_t max_slots;

  double slots;
  uint32_t in_flight;
  double slow_start_threshold; /* Slots at which slow start ends.  */
  bool in_slow_start;
  /* Whether BEST_UNIT_LATENCY_US was measured on a warm engine.  */
  bool is_best_latency_warm;
  double slot_time_us; /* Integral of the used slots over the time of this
                          round.  */
  uint64_t slot_time_until_us; /* Time up to which SLOT_TIME_US is counted.  */

  /* Best latency per unit of cost; 0 if unknown.  */
  double best_unit_latency_us;
  uint64_t last_drift_us; /* Time of the last rise of BEST_UNIT_LATENCY_US by
                             drift.  */

  uint64_t round_start_us; /* Start of the current round.  */
  uint32_t round_samples;
  uint32_t round_failures;
  double latency_sum_us;
  double units_sum;

  uint32_t consecutive_cold_samples;
  uint32_t consecutive_errors;
};

limit_t *
limit_create (const limit_config_t *config, clock_iface_t *clock)
{
  limit_t *limit = mem_zalloc (sizeof *limit);

  limit->clock = clock;
  limit->initial_slots = LIMIT_INITIAL_SLOTS;
  limit->max_slots = LIMIT_SLOTS_MAX;
  limit->tolerance = LIMIT_LATENCY_TOLERANCE;
  if (config != NULL && config->initial_slots > 0)
    limit->initial_slots = config->initial_slots;
  if (config != NULL && config->max_slots > 0)
    limit->max_slots = config->max_slots;
  if (config != NULL && config->tolerance > 0)
    limit->tolerance = config->tolerance;
  if (limit->initial_slots > limit->max_slots)
    limit->initial_slots = limit->max_slots;
  limit_reset (limit);
  return limit;
}

void
limit_destroy (limit_t *limit)
{
  free (limit);
}

static void
start_round (limit_t *limit)
{
  limit->round_start_us = clock_us (limit->clock);
  limit->round_samples = 0;
  limit->round_failures = 0;
  limit->latency_sum_us = 0;
  limit->units_sum = 0;
  limit->slot_time_us = 0;
  limit->slot_time_until_us = limit->round_start_us;
}

static void
reset_to_start (limit_t *limit)
{
  if (limit->slots > limit->initial_slots)
    {
      /* Without the threshold an engine that serves six requests and fails
         at eight would go from two to eight and back in an endless loop.  A
         reset during slow start is such an overshoot.  A reset from a stable
         limit shows a cold engine, whose limit may return to its old value at
         once.  */
      limit->slow_start_threshold
          = limit->in_slow_start ? limit->slots / 2 : limit->slots;
      limit->is_best_latency_warm = true;
    }
  limit->slots = limit->initial_slots;
  limit->in_slow_start = true;
  limit->consecutive_cold_samples = 0;
  limit->consecutive_errors = 0;
  start_round (limit);
}

static void
set_slots (limit_t *limit, double slots)
{
  limit->slots = fmin (fmax (slots, limit->initial_slots), limit->max_slots);
}

/* Raise the best latency by the drift since its last rise, so that a lasting
   change of the upstream is adopted.  */
static void
drift_best_latency (limit_t *limit)
{
  uint64_t now = clock_us (limit->clock);
  double minutes = (double)(now - limit->last_drift_us) / 60e6;

  limit->best_unit_latency_us
      *= 1 + LIMIT_BEST_LATENCY_DRIFT_PER_MIN * fmin (minutes, 1);
  limit->last_drift_us = now;
}

/* Add the slots used since SLOT_TIME_UNTIL_US to SLOT_TIME_US; to be called
   before a slot is acquired or released.  */
static void
update_slot_time (limit_t *limit)
{
  uint64_t now = clock_us (limit->clock);

  limit->slot_time_us
      += (double)(now - limit->slot_time_until_us) * limit->in_flight;
  limit->slot_time_until_us = now;
}

/* Return the share of the slots that was in use in this round.  Only whole
   slots count: of 2.9 slots two can be used.  */
static double
round_utilization (limit_t *limit)
{
  update_slot_time (limit);
  return limit->slot_time_us
         / (double)(limit->slot_time_until_us - limit->round_start_us)
         / limit_slots (limit);
}

/* Return the utilization above which the limit doubles.  With two or four
   slots a utilization of three quarters is hardly ever reached, so the bound
   is lower there.  A cold engine is detected only against the best latency of
   a warm one, so the higher bound applies until that latency is known.  */
static double
doubling_utilization (const limit_t *limit)
{
  return limit->is_best_latency_warm && limit->slots < LIMIT_SMALL_SLOTS
             ? LIMIT_GROWTH_UTILIZATION
             : LIMIT_DOUBLE_UTILIZATION;
}

/* Set the limit from the round that ends now, and start the next one.  */
static void
end_round (limit_t *limit)
{
  double mean_us = limit->units_sum > 0
                       ? limit->latency_sum_us / limit->units_sum
                       : limit->best_unit_latency_us;
  double utilization = round_utilization (limit);

  drift_best_latency (limit);
  /* The best latency so far was that of a cold engine.  */
  if (mean_us < limit->best_unit_latency_us * LIMIT_WARM_LATENCY_RATIO)
    {
      limit->in_slow_start = true;
      limit->slow_start_threshold = limit->max_slots;
      limit->is_best_latency_warm = true;
    }
  if (limit->best_unit_latency_us == 0)
    limit->best_unit_latency_us = mean_us;
  else if (mean_us < limit->best_unit_latency_us)
    limit->best_unit_latency_us += LIMIT_BEST_LATENCY_SMOOTHING
                                   * (mean_us - limit->best_unit_latency_us);
  if (limit->round_failures * 2 > limit->round_samples)
    {
      limit->in_slow_start = false;
      set_slots (limit, limit->slots / 2);
    }
  else if (mean_us > limit->best_unit_latency_us * limit->tolerance)
    {
      double ratio = limit->best_unit_latency_us * limit->tolerance / mean_us;

      /* At its start value the limit cannot be cut: the engine is still cold,
         and the first good round doubles the limit.  */
      if (limit->slots > limit->initial_slots)
        limit->in_slow_start = false;
      set_slots (limit, limit->slots * fmax (ratio, 0.5));
    }
  else if (limit->in_slow_start && utilization > doubling_utilization (limit))
    {
      limit->in_slow_start = limit->slots * 2 < limit->slow_start_threshold;
      set_slots (limit, fmin (limit->slots * 2, limit->slow_start_threshold));
    }
  else if (utilization > LIMIT_GROWTH_UTILIZATION)
    set_slots (limit, limit->slots + LIMIT_GROWTH_SLOTS);
  start_round (limit);
}

static void
add_sample (limit_t *limit, uint64_t latency_us, uint32_t units)
{
  double unit_us;

  if (units == 0)
    units = 1;
  unit_us = (double)latency_us / units;
  limit->latency_sum_us += (double)latency_us;
  limit->units_sum += units;
  /* A warm upstream that turns cold gives consecutive samples far above the
     best latency.  Waiting for the end of the round would send it another full
     batch of requests, all of which would time out.  */
  if (limit->best_unit_latency_us > 0
      && unit_us > limit->best_unit_latency_us * LIMIT_COLD_LATENCY_RATIO)
    limit->consecutive_cold_samples++;
  else
    limit->consecutive_cold_samples = 0;
}

static void
update_limit (limit_t *limit)
{
  uint64_t round_ms = (clock_us (limit->clock) - limit->round_start_us) / 1000;

  limit->round_samples++;
  if (limit->consecutive_cold_samples >= LIMIT_COLD_SAMPLES
      || limit->consecutive_errors >= LIMIT_CONSECUTIVE_ERRORS)
    reset_to_start (limit);
  else if (limit->round_samples >= limit_slots (limit)
           && round_ms >= LIMIT_ROUND_MIN_MS)
    end_round (limit);
}

vh_code_t
limit_acquire (limit_t *limit)
{
  if (limit->in_flight >= limit_slots (limit))
    return VH_E_FULL;
  update_slot_time (limit);
  limit->in_flight++;
  return VH_OK;
}

void
limit_release_without_sample (limit_t *limit)
{
  update_slot_time (limit);
  if (limit->in_flight > 0)
    limit->in_flight--;
}

void
limit_report_progress (limit_t *limit, uint64_t latency_us, uint32_t units)
{
  limit->consecutive_errors = 0;
  add_sample (limit, latency_us, units);
  update_limit (limit);
}

void
limit_release (limit_t *limit, uint64_t latency_us, uint32_t units, bool ok)
{
  limit_release_without_sample (limit);
  if (ok)
    {
      limit_report_progress (limit, latency_us, units);
      return;
    }
  limit->round_failures++;
  limit->consecutive_errors++;
  update_limit (limit);
}

void
limit_reset (limit_t *limit)
{
  limit->in_flight = 0;
  limit->best_unit_latency_us = 0;
  limit->last_drift_us = clock_us (limit->clock);
  reset_to_start (limit);
  limit->slow_start_threshold = limit->max_slots;
  limit->is_best_latency_warm = false;
}

uint32_t
limit_slots (const limit_t *limit)
{
  return (uint32_t)limit->slots;
}

uint32_t
limit_in_flight (const limit_t *limit)
{
  return limit->in_flight;
}

bool
limit_is_warming_up (const limit_t *limit)
{
  /* A fixed limit is always at its start value, which does not mean that the
     engine is cold.  */
  return limit->initial_slots < limit->max_slots
         && (limit->in_slow_start
             || limit_slots (limit) <= limit->initial_slots);
}
