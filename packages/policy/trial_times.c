#include "policy/trialint.h"

#include <math.h>
#include <string.h>

enum
{
  CLOCK_RESOLUTION_MS = 1,
  /* Factors of the regression: 1, the prompt, the load, and one for each group
     of routes.  */
  FACTOR_PROMPT = 1,
  FACTOR_LOAD,
  FACTOR_ROUTE
};

_Static_assert(FACTOR_ROUTE + TRIAL_ROUTE_CELLS == REGRESSION_FACTORS,
               "a factor for each group of routes");

/* Width of a bin of a histogram, and lower bound of the second bin, as
   logarithms of ratios to the usual time.  */
static const double bin_width = 0.35;
static const double second_bin = -2.45;
/* Assumed number of samples in each bin before the first sample.  */
static const double bin_prior = 0.5;

/* Prompt tokens that take about as long as a request without a prompt.  */
static const double prompt_offset_tokens = 64;
/* Logarithms of a usual prompt and load.  */
static const double usual_log_prompt = 7;
static const double usual_log_load = 2;

/* Weight of all times of a service from which they are kept.  */
static const double usual_weight_min = 0.01;
/* Weight of a route's times from which they are known.  */
static const double route_samples_min = 1.5;
/* Weight of the group's mean in that of a route, in samples.  */
static const double group_weight = 0.5;

const trial_timing_properties_t trial_timings[TRIAL_TIMING_COUNT] = {
#define X(symbol, late, samples, stderrs, independence, name)                 \
  [symbol] = { late, samples, stderrs, independence, name },
  TRIAL_TIMINGS (X)
#undef X
};

static const struct
{
  double share;
  size_t bins; /* Number of bins by which the slow part is later.  */
  double log_ratio_max;
} slow_versions[] = {
#define X(share, bins, log_ratio_max) { share, bins, log_ratio_max },
  TRIAL_SLOW_VERSIONS (X)
#undef X
};

enum
{
  SLOW_VERSIONS = sizeof slow_versions / sizeof slow_versions[0]
};

static void
set_factors (const trial_time_t *time, double factors[REGRESSION_FACTORS])
{
  double log_prompt = log (time->prompt_tokens + prompt_offset_tokens);

  for (size_t i = 0; i < REGRESSION_FACTORS; i++)
    factors[i] = 0;
  factors[0] = 1;
  factors[FACTOR_PROMPT] = log_prompt - usual_log_prompt;
  factors[FACTOR_LOAD] = log (time->load + 1.0) - usual_log_load;
  factors[FACTOR_ROUTE + time->route % TRIAL_ROUTE_CELLS] = 1;
}

static regression_t *
usual_times (trial_usual_times_t *usual, const trial_time_t *time)
{
  size_t model = time->model < TRIAL_MODELS ? time->model : TRIAL_MODELS - 1;

  return &usual->regressions[time->timing][model];
}

/* Return whether a first event of ARM may be late because the version's
   instances have no prompts in their caches yet.  */
static bool
is_warming_up (const trial_t *trial, trial_arm_t arm, const trial_time_t *time)
{
  return arm == TRIAL_ARM_NEW && time->timing == TRIAL_TIMING_FIRST_EVENT
         && trial->step == TRIAL_STEP_INITIAL
         && time->now_ms
                < trial->step_start_ms + TRIAL_WARM_UP_MS + (uint64_t)time->ms;
}

/* Return the bin of a time whose logarithm exceeds that of the usual time by
   LOG_RATIO.  */
static size_t
time_bin (double log_ratio)
{
  double bin = ceil ((log_ratio - second_bin) / bin_width);

  return (size_t)fmin (fmax (bin, 0), TRIAL_TIME_BINS - 1);
}

/* Count TIME of ARM, whose logarithm exceeds that of the usual time by
   LOG_RATIO.  */
static void
count_time (trial_t *trial, trial_arm_t arm, const trial_time_t *time,
            double log_ratio, bool is_late)
{
  trial_sums_t *sums
      = &trial->own_counts.sums[arm][time->route % TRIAL_ROUTE_CELLS];

  sums->timing_count[time->timing] += 1;
  sums->late_count[time->timing] += is_late;
  trial->own_counts.times[arm][time->timing][time_bin (log_ratio)] += 1;
  trial->has_unwritten_counts |= trial->phase == TRIAL_PHASE_RUNNING;
}

/* The logarithm of a usual time, in two parts.  */
typedef struct
{
  double group;      /* Of the group of routes.  */
  double conditions; /* What the prompt and the load add to it.  */
} expected_t;

/* Return what USUAL expects under the conditions of TIME; 0 if it has hardly a
   sample.  */
static expected_t
expect_time (trial_usual_times_t *usual, const trial_time_t *time)
{
  const regression_t *regression = usual_times (usual, time);
  double factors[REGRESSION_FACTORS];
  double coefficients[REGRESSION_FACTORS] = { 0 };
  size_t group = FACTOR_ROUTE + time->route % TRIAL_ROUTE_CELLS;

  if (regression_weight (regression) < 1)
    return (expected_t){ 0 };
  set_factors (time, factors);
  regression_solve (regression, coefficients);
  return (expected_t){ .group = coefficients[0] + coefficients[group],
                       .conditions
                       = coefficients[FACTOR_PROMPT] * factors[FACTOR_PROMPT]
                         + coefficients[FACTOR_LOAD] * factors[FACTOR_LOAD] };
}

/* Compare TIME with the usual time, and set *LOG_RATIO to the logarithm of
   their ratio.  Return false if the usual time is not known.  */
static bool
compare_time (trial_usual_times_t *usual, const trial_time_t *time,
              const expected_t *expected, double *log_ratio)
{
  double weight = regression_weight (usual_times (usual, time));
  const route_level_t *level
      = route_levels_find (&usual->levels[time->timing], time->route_id);

  if (weight < TRIAL_ANSWERS_MIN || level == NULL
      || level->weight < route_samples_min)
    return false;
  double log_usual = (level->sum + expected->group * group_weight)
                     / (level->weight + group_weight);
  *log_ratio = log (time->ms) - log_usual - expected->conditions;
  return true;
}

/* Add TIME to USUAL, but for the histograms.  */
static void
add_usual_time (trial_usual_times_t *usual, const trial_time_t *time,
                const expected_t *expected)
{
  double factors[REGRESSION_FACTORS];

  route_levels_add (&usual->levels[time->timing], time->route_id,
                    log (time->ms) - expected->conditions);
  set_factors (time, factors);
  regression_add (usual_times (usual, time), factors, log (time->ms));
}

/* Return the time of MEASURED in ms: that of a first event is at least the
   resolution of the clock, and a gap of 0 is not a time.  */
static double
measured_ms (const trial_time_t *measured)
{
  return measured->timing == TRIAL_TIMING_FIRST_EVENT
             ? fmax (measured->ms, CLOCK_RESOLUTION_MS)
             : fmax (measured->ms, 0);
}

void
trial_usual_times_add (trial_usual_times_t *usual,
                       const trial_time_t *measured)
{
  trial_time_t time = *measured;
  double log_ratio;

  time.ms = measured_ms (measured);
  if (time.ms <= 0)
    return;
  expected_t expected = expect_time (usual, &time);
  if (compare_time (usual, &time, &expected, &log_ratio))
    usual->times[time.timing][time_bin (log_ratio)] += 1;
  add_usual_time (usual, &time, &expected);
}

bool
trial_usual_times_decay (trial_usual_times_t *usual)
{
  double weight = 0;

  for (size_t timing = 0; timing < TRIAL_TIMING_COUNT; timing++)
    {
      route_levels_decay (&usual->levels[timing], TRIAL_TIMING_DECAY_PER_S);
      for (size_t model = 0; model < TRIAL_MODELS; model++)
        {
          regression_t *regression = &usual->regressions[timing][model];
          regression_decay (regression, TRIAL_TIMING_DECAY_PER_S);
          weight += regression_weight (regression);
        }
      for (size_t bin = 0; bin <= TRIAL_TIME_BINS; bin++)
        usual->times[timing][bin] *= TRIAL_TIMING_DECAY_PER_S;
    }
  return weight >= usual_weight_min;
}

void
trial_set_usual_times (trial_t *trial, const trial_usual_times_t *usual)
{
  trial->usual = *usual;
  memcpy (trial->own_counts.times[TRIAL_ARM_OLD], usual->times,
          sizeof usual->times);
}

bool
trial_observe_timing (trial_t *trial, trial_arm_t arm,
                      const trial_time_t *measured)
{
  trial_time_t time = *measured;
  double log_ratio;
  bool is_late = false;

  time.ms = measured_ms (measured);
  if (time.ms <= 0)
    return false;
  expected_t expected = expect_time (&trial->usual, &time);
  if (compare_time (&trial->usual, &time, &expected, &log_ratio))
    {
      is_late = log_ratio > log (trial_timings[time.timing].late_factor);
      if (!is_warming_up (trial, arm, &time))
        count_time (trial, arm, &time, log_ratio, is_late);
    }
  if (arm == TRIAL_ARM_OLD)
    add_usual_time (&trial->usual, &time, &expected);
  return is_late;
}

bool
trial_observe_unanswered (trial_t *trial, trial_arm_t arm,
                          const trial_time_t *wait)
{
  double log_ratio;

  if (is_warming_up (trial, arm, wait) || wait->ms <= 0)
    return false;
  expected_t expected = expect_time (&trial->usual, wait);
  if (!compare_time (&trial->usual, wait, &expected, &log_ratio))
    return false;
  bool is_late = log_ratio > log (trial_timings[wait->timing].late_factor);
  if (is_late)
    count_time (trial, arm, wait, log_ratio, true);
  else
    trial->own_counts.times[arm][wait->timing][TRIAL_TIME_BINS] += 1;
  return is_late;
}

/* Return the logarithm of the likelihood ratio, slow against equal, of the NEW
   times, if a version of which SHARE is later by BINS is slow and OLD are the
   times of the old version.  */
static double
slow_log_ratio (const double *old, const double *new, double share,
                size_t bins)
{
  double part[TRIAL_TIME_BINS + 1];
  double late_part[TRIAL_TIME_BINS] = { 0 };
  double sum = 0;
  double log_ratio = 0;

  for (size_t bin = 0; bin <= TRIAL_TIME_BINS; bin++)
    sum += old[bin] + bin_prior;
  for (size_t bin = 0; bin <= TRIAL_TIME_BINS; bin++)
    part[bin] = (old[bin] + bin_prior) / sum;
  for (size_t bin = 0; bin < TRIAL_TIME_BINS; bin++)
    late_part[bin + bins < TRIAL_TIME_BINS ? bin + bins : TRIAL_TIME_BINS - 1]
        += part[bin];
  /* Callers leave half of the slow answers before they begin.  */
  double unanswered = part[TRIAL_TIME_BINS];
  double left = share * (1 - unanswered) / 2;
  log_ratio += new[TRIAL_TIME_BINS] * log ((unanswered + left) / unanswered);
  for (size_t bin = 0; bin < TRIAL_TIME_BINS; bin++)
    log_ratio
        += new[bin] * log ((1 - share) + share * late_part[bin] / part[bin]);
  return log_ratio;
}

/* Return the logarithm of the likelihood ratio, slow version INDEX against
   equal, of the new version's times for TIMING.  */
static double
timing_log_ratio (const trial_counts_t *counts, trial_timing_t timing,
                  size_t index)
{
  return slow_log_ratio (counts->times[TRIAL_ARM_OLD][timing],
                         counts->times[TRIAL_ARM_NEW][timing],
                         slow_versions[index].share,
                         slow_versions[index].bins);
}

bool
trial_are_times_good (const trial_counts_t *counts)
{
  for (size_t i = 0; i < SLOW_VERSIONS; i++)
    {
      double log_ratio = 0;
      for (trial_timing_t timing = 0; timing < TRIAL_TIMING_COUNT; timing++)
        log_ratio += trial_timings[timing].independence
                     * timing_log_ratio (counts, timing, i);
      if (log_ratio > slow_versions[i].log_ratio_max)
        return false;
    }
  return true;
}

static double
measured_times (const trial_counts_t *counts, trial_arm_t arm,
                trial_timing_t timing)
{
  double sum = 0;

  for (size_t bin = 0; bin < TRIAL_TIME_BINS; bin++)
    sum += counts->times[arm][timing][bin];
  return sum;
}

bool
trial_is_slow_in_service (const trial_counts_t *counts)
{
  double old_gaps
      = measured_times (counts, TRIAL_ARM_OLD, TRIAL_TIMING_EVENT_GAP);
  double new_gaps
      = measured_times (counts, TRIAL_ARM_NEW, TRIAL_TIMING_EVENT_GAP);
  /* First events wait longer in a burst and while caches are cold, so they
     only count where answers have no gaps.  */
  bool has_gaps
      = old_gaps >= TRIAL_ANSWERS_MIN && new_gaps >= TRIAL_ANSWERS_MIN;
  trial_timing_t timing
      = has_gaps ? TRIAL_TIMING_EVENT_GAP : TRIAL_TIMING_FIRST_EVENT;
  double times = measured_times (counts, TRIAL_ARM_NEW, timing);
  double log_ratio_min = fmax (has_gaps ? TRIAL_WATCH_GAPS_LOG_RATIO
                                        : TRIAL_WATCH_FIRST_EVENTS_LOG_RATIO,
                               times * TRIAL_WATCH_LOG_RATIO_PER_TIME);

  for (size_t i = 0; i < SLOW_VERSIONS; i++)
    if (timing_log_ratio (counts, timing, i) >= log_ratio_min)
      return true;
  return false;
}
