#include "policy/finish_time.h"

#include "base/mem.h"
#include "policy/regression.h"

#include <math.h>
#include <stdbool.h>
#include <stdlib.h>

enum
{
  /* Models with a constant of their own; the others share one.  */
  MODELS_MAX = 4,
  REQUESTS_MAX = 10000
};

/* Samples that have the weight of the prior.  */
static const double prior_samples = 4;
/* Largest ratio of a sample to the prior, and of the prior to a sample.  */
static const double prior_ratio_max = 20;
/* Units of the factors of the regressions, which should be near 1.  */
static const double requests_unit = 10;
static const double prompt_tokens_unit = 10000;
/* Step of the logarithm of the tokens per event at one response: about 15
   responses double it.  */
static const double length_step = 0.05;
static const double tokens_per_event_min = 0.1;
static const double tokens_per_event_max = 10000;
static const double time_factor_min = 0.01;
static const double time_factor_max = 100;

struct finish_time
{
  /* Differences from the priors, in ms at a time factor of 1.  */
  regression_t gaps;
  regression_t first_events;
  uint64_t decayed_ms; /* Time up to which the samples have decayed.  */
  double tokens_per_event;
};

finish_time_t *
finish_time_create (void)
{
  finish_time_t *finish_time = mem_zalloc (sizeof *finish_time);

  finish_time->tokens_per_event = FINISH_TIME_TOKENS_PER_EVENT;
  return finish_time;
}

void
finish_time_destroy (finish_time_t *finish_time)
{
  free (finish_time);
}

static double
clamp (double value, double low, double high)
{
  if (!(value > low))
    return low;
  return value < high ? value : high;
}

static bool
is_positive (double value)
{
  return isfinite (value) && value > 0;
}

static double
place_requests (const finish_place_t *place)
{
  return clamp (place->requests, 1, REQUESTS_MAX);
}

static double
place_factor (const finish_place_t *place)
{
  return clamp (place->time_factor, time_factor_min, time_factor_max);
}

static double
prior_gap_ms (double requests)
{
  return FINISH_TIME_GAP_MS + FINISH_TIME_GAP_PER_REQUEST_MS * requests;
}

/* The first event takes the reading of the prompt and one step.  */
static double
prior_first_event_ms (uint32_t prompt_tokens, double requests)
{
  return prompt_tokens / FINISH_TIME_PROMPT_TOKENS_PER_MS
         + prior_gap_ms (requests);
}

static void
fill_factors (double prompt_tokens, size_t model, double requests,
              double factors[REGRESSION_FACTORS])
{
  static const size_t first_model = REGRESSION_FACTORS - MODELS_MAX;

  for (size_t i = 0; i < REGRESSION_FACTORS; i++)
    factors[i] = 0;
  factors[0] = 1;
  factors[1] = requests / requests_unit;
  factors[2] = prompt_tokens / prompt_tokens_unit;
  if (model < MODELS_MAX)
    factors[first_model + model] = 1;
}

static void
decay (finish_time_t *finish_time, uint64_t now_ms)
{
  if (now_ms <= finish_time->decayed_ms)
    return;
  double factor = exp2 (-(double)(now_ms - finish_time->decayed_ms)
                        / FINISH_TIME_HALF_LIFE_MS);
  regression_decay (&finish_time->gaps, factor);
  regression_decay (&finish_time->first_events, factor);
  finish_time->decayed_ms = now_ms;
}

/* Add the difference of a time of MS at PLACE from PRIOR_MS.  */
static void
record (regression_t *regression, const double factors[REGRESSION_FACTORS],
        const finish_place_t *place, double ms, double prior_ms)
{
  double usual_ms
      = clamp (ms / place_factor (place), prior_ms / prior_ratio_max,
               prior_ms * prior_ratio_max);

  regression_add (regression, factors, usual_ms - prior_ms);
}

void
finish_time_record_first_event (finish_time_t *finish_time,
                                uint32_t prompt_tokens, size_t model,
                                const finish_place_t *place, double ms,
                                uint64_t now_ms)
{
  double requests = place_requests (place);
  double factors[REGRESSION_FACTORS];

  if (!is_positive (ms) || !is_positive (place->time_factor))
    return;
  decay (finish_time, now_ms);
  fill_factors (prompt_tokens, model, requests, factors);
  record (&finish_time->first_events, factors, place, ms,
          prior_first_event_ms (prompt_tokens, requests));
}

void
finish_time_record_gap (finish_time_t *finish_time, size_t model,
                        const finish_place_t *place, double gap_ms,
                        uint64_t now_ms)
{
  double requests = place_requests (place);
  double factors[REGRESSION_FACTORS];

  if (!is_positive (gap_ms) || !is_positive (place->time_factor))
    return;
  decay (finish_time, now_ms);
  fill_factors (0, model, requests, factors);
  record (&finish_time->gaps, factors, place, gap_ms, prior_gap_ms (requests));
}

void
finish_time_record_length (finish_time_t *finish_time, uint32_t hint_tokens,
                           uint64_t events)
{
  double ratio = events > 0 ? (double)hint_tokens / (double)events : 0;

  if (ratio <= 0)
    return;
  double step = clamp (log (ratio / finish_time->tokens_per_event),
                       -length_step, length_step);
  finish_time->tokens_per_event
      = clamp (finish_time->tokens_per_event * exp (step),
               tokens_per_event_min, tokens_per_event_max);
}

double
finish_time_events (const finish_time_t *finish_time, uint32_t tokens)
{
  return tokens / finish_time->tokens_per_event;
}

/* Return the time at FACTORS, with a time factor of 1.  */
static double
predict (const regression_t *regression,
         const double factors[REGRESSION_FACTORS], double prior_ms)
{
  double weight = regression_weight (regression);

  /* Below this weight the regression has no defined value.  */
  if (!(weight > 0.01))
    return prior_ms;
  double difference_ms = regression_predict (regression, factors) * weight
                         / (weight + prior_samples);
  return clamp (prior_ms + difference_ms, prior_ms / prior_ratio_max,
                prior_ms * prior_ratio_max);
}

finish_estimate_t
finish_time_estimate (const finish_time_t *finish_time,
                      const finish_work_t *work, const finish_place_t *place)
{
  double requests = place_requests (place);
  double factor = place_factor (place);
  double events_left = work->events_left > 1 ? work->events_left : 1;
  double factors[REGRESSION_FACTORS];
  finish_estimate_t estimate;

  fill_factors (work->prompt_tokens, work->model, requests, factors);
  estimate.first_event_ms
      = factor
        * predict (&finish_time->first_events, factors,
                   prior_first_event_ms (work->prompt_tokens, requests));
  fill_factors (0, work->model, requests, factors);
  estimate.gap_ms
      = factor
        * predict (&finish_time->gaps, factors, prior_gap_ms (requests));
  estimate.last_event_ms
      = estimate.first_event_ms + (events_left - 1) * estimate.gap_ms;
  return estimate;
}
