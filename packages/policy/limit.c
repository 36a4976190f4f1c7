#include "policy/limit.h"

#include "base/mem.h"

#include <math.h>
#include <stdlib.h>

struct limit
{
  clock_iface_t *clock;
  double tolerance;
  uint32_t start;
  uint32_t max;

  double slots;
  uint32_t in_flight;
  double threshold; /* Slots up to which slow start may double.  */
  bool warming;
  bool known;          /* BEST_US is that of a warm engine.  */
  double busy_us;      /* Slots in use, summed over the time of this round.  */
  uint64_t busy_at_us; /* When BUSY_US was true.  */

  double best_us;    /* Best latency of one unit; 0 when unknown.  */
  uint64_t drift_us; /* When BEST_US was last let drift.  */

  uint64_t round_us; /* Start of the round.  */
  uint32_t samples;
  uint32_t failures;
  double latency_sum_us;
  double units_sum;

  uint32_t cold_run;
  uint32_t error_run;
};

limit_t *
limit_create (const limit_config_t *config, clock_iface_t *clock)
{
  limit_t *limit = mem_zalloc (sizeof *limit);

  limit->clock = clock;
  limit->start = LIMIT_INITIAL_SLOTS;
  limit->max = LIMIT_SLOTS_MAX;
  limit->tolerance = LIMIT_LATENCY_TOLERANCE;
  if (config != NULL && config->start > 0)
    limit->start = config->start;
  if (config != NULL && config->max > 0)
    limit->max = config->max;
  if (config != NULL && config->tolerance > 0)
    limit->tolerance = config->tolerance;
  if (limit->start > limit->max)
    limit->start = limit->max;
  limit_reset (limit);
  return limit;
}

void
limit_destroy (limit_t *limit)
{
  free (limit);
}

static void
begin_round (limit_t *limit)
{
  limit->round_us = clock_us (limit->clock);
  limit->samples = 0;
  limit->failures = 0;
  limit->latency_sum_us = 0;
  limit->units_sum = 0;
  limit->busy_us = 0;
  limit->busy_at_us = limit->round_us;
}

static void
fall_back (limit_t *limit)
{
  if (limit->slots > limit->start)
    {
      /* Guards against doubling past the edge again and again: an engine that
         carries six and falls over at eight would go from two to eight and
         back for ever.  A fall in slow start is such an overshoot; one from a
         level that was held is coldness, and it may come back at once.  */
      limit->threshold = limit->warming ? limit->slots / 2 : limit->slots;
      limit->known = true;
    }
  limit->slots = limit->start;
  limit->warming = true;
  limit->cold_run = 0;
  limit->error_run = 0;
  begin_round (limit);
}

static void
set_slots (limit_t *limit, double slots)
{
  limit->slots = fmin (fmax (slots, limit->start), limit->max);
}

/* Let the best latency rise with time, so that a lasting change is learned
   in the end.  */
static void
drift_best (limit_t *limit)
{
  uint64_t now = clock_us (limit->clock);
  double minutes = (double)(now - limit->drift_us) / 60e6;

  limit->best_us *= 1 + LIMIT_BEST_DRIFT_PER_MIN * fmin (minutes, 1);
  limit->drift_us = now;
}

/* Bring BUSY_US up to now, before a slot is taken or given back.  */
static void
count_busy (limit_t *limit)
{
  uint64_t now = clock_us (limit->clock);

  limit->busy_us += (double)(now - limit->busy_at_us) * limit->in_flight;
  limit->busy_at_us = now;
}

/* Return the part of the slots that was in use in this round; of the whole
   slots, as the fraction of 2.9 cannot be used.  */
static double
used_part (limit_t *limit)
{
  count_busy (limit);
  return limit->busy_us / (double)(limit->busy_at_us - limit->round_us)
         / limit_slots (limit);
}

/* Return the part of the slots that must be in use for the limit to double.
   Of two or four slots parts like three quarters are hardly ever met.  But
   only against the best of a warm engine does a cold one show, so without it
   the bound is the higher one.  */
static double
double_used (const limit_t *limit)
{
  return limit->known && limit->slots < LIMIT_SMALL_SLOTS
             ? LIMIT_GROWTH_UTILIZATION
             : LIMIT_DOUBLE_UTILIZATION;
}

/* Judge the round that ends here and set the limit for the next.  */
static void
end_round (limit_t *limit)
{
  double mean_us = limit->units_sum > 0
                       ? limit->latency_sum_us / limit->units_sum
                       : limit->best_us;
  double used = used_part (limit);

  drift_best (limit);
  /* The best was that of a cold engine, so nothing is known of a warm one.  */
  if (mean_us < limit->best_us * LIMIT_WARM_LATENCY_RATIO)
    {
      limit->warming = true;
      limit->threshold = limit->max;
      limit->known = true;
    }
  if (limit->best_us == 0)
    limit->best_us = mean_us;
  else if (mean_us < limit->best_us)
    limit->best_us += LIMIT_BEST_SMOOTHING * (mean_us - limit->best_us);
  if (limit->failures * 2 > limit->samples)
    {
      limit->warming = false;
      set_slots (limit, limit->slots / 2);
    }
  else if (mean_us > limit->best_us * limit->tolerance)
    {
      double ratio = limit->best_us * limit->tolerance / mean_us;

      /* At the floor there is nothing to cut: still cold, so the first good
         round doubles again.  */
      if (limit->slots > limit->start)
        limit->warming = false;
      set_slots (limit, limit->slots * fmax (ratio, 0.5));
    }
  else if (limit->warming && used > double_used (limit))
    {
      limit->warming = limit->slots * 2 < limit->threshold;
      set_slots (limit, fmin (limit->slots * 2, limit->threshold));
    }
  else if (used > LIMIT_GROWTH_UTILIZATION)
    set_slots (limit, limit->slots + LIMIT_GROWTH_SLOTS);
  begin_round (limit);
}

static void
take_sample (limit_t *limit, uint64_t latency_us, uint32_t units)
{
  double unit_us;

  if (units == 0)
    units = 1;
  unit_us = (double)latency_us / units;
  limit->latency_sum_us += (double)latency_us;
  limit->units_sum += units;
  /* Guards against a warm upstream that turns cold: it shows as a run of
     samples far above the best.  Waiting for the round to end would send it
     a full batch more, and all of that would time out.  */
  if (limit->best_us > 0
      && unit_us > limit->best_us * LIMIT_COLD_LATENCY_RATIO)
    limit->cold_run++;
  else
    limit->cold_run = 0;
}

static void
after_sample (limit_t *limit)
{
  uint64_t round_ms = (clock_us (limit->clock) - limit->round_us) / 1000;

  limit->samples++;
  if (limit->cold_run >= LIMIT_COLD_SAMPLES
      || limit->error_run >= LIMIT_CONSECUTIVE_ERRORS)
    fall_back (limit);
  else if (limit->samples >= limit_slots (limit)
           && round_ms >= LIMIT_ROUND_MIN_MS)
    end_round (limit);
}

vh_code_t
limit_acquire (limit_t *limit)
{
  if (limit->in_flight >= limit_slots (limit))
    return VH_E_FULL;
  count_busy (limit);
  limit->in_flight++;
  return VH_OK;
}

void
limit_release_without_sample (limit_t *limit)
{
  count_busy (limit);
  if (limit->in_flight > 0)
    limit->in_flight--;
}

void
limit_report_progress (limit_t *limit, uint64_t latency_us, uint32_t units)
{
  limit->error_run = 0;
  take_sample (limit, latency_us, units);
  after_sample (limit);
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
  limit->failures++;
  limit->error_run++;
  after_sample (limit);
}

void
limit_reset (limit_t *limit)
{
  limit->in_flight = 0;
  limit->best_us = 0;
  limit->drift_us = clock_us (limit->clock);
  fall_back (limit);
  limit->threshold = limit->max;
  limit->known = false;
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
  /* A limit that cannot move is never low.  */
  return limit->start < limit->max
         && (limit->warming || limit_slots (limit) <= limit->start);
}
