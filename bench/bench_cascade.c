/* Measures the cost of a cascade that reaches a quality target, and the
   requests answered by a bad version.  Each is compared with a fixed procedure
   that an operator would use without the modules (a fixed threshold, stages,
   an hourly check), on the same sequence of random seeds.  See docs/CASCADE.md
   and docs/ROLLOUT.md.  */

#include "base/rng.h"
#include "base/str.h"
#include "policy/cascade.h"
#include "policy/rollout.h"
#include "policy/degradation.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#define START_MS ((uint64_t)1700000000000)
/* Interval between requests: ten per second.  */
#define REQUEST_INTERVAL_MS 100

enum
{
  COST_REQUESTS = 40000,
  /* Number of runs in the mean of a row; each run starts without samples.  */
  COST_SEEDS = 5,
  EXPOSURE_SEEDS = 40,
  FALSE_HALT_SEEDS = 400,
  ROLLOUT_REQUESTS_MAX = 200000,
  VERSIONS = 3,
  RATING_CHECKS = 20,
  /* Requests in each stage (10%, 50%, 100%) of the fixed roll-out, which
     compares means at the end of the first two stages.  */
  STAGE_REQUESTS = 10000,
  /* Requests over which exposure is counted: all stages together.  */
  EXPOSURE_REQUESTS = 3 * STAGE_REQUESTS
};

/* Price of one rating, in the unit of the versions' prices (1, 4 and 15 per
   answer).  */
#define RATING_COST 0.3
#define FIXED_THRESHOLD 0.8

static const double answer_costs[VERSIONS] = { 1, 4, 15 };
/* Mean quality of the answers to a hard and to an easy request.  */
static const double quality_means[VERSIONS][2]
    = { { 0.55, 0.93 }, { 0.8, 0.95 }, { 0.92, 0.96 } };
static const double quality_priors[VERSIONS] = { 0.6, 0.7, 0.8 };
static const double latencies_ms[VERSIONS] = { 400, 900, 2000 };
static const char *const version_names[VERSIONS]
    = { "small@1", "medium@1", "large@1" };

static uint64_t base_seed = 1;
static const char *row_pattern = "*";

static bool
is_wanted (const char *name)
{
  return str_matches_glob (str_from (row_pattern), str_from (name));
}

static void
print_row (const char *name, double baseline, double ours, const char *unit)
{
  printf ("bench %s baseline=%.6g ours=%.6g ratio=%.4f unit=%s\n", name,
          baseline, ours, baseline != 0 ? ours / baseline : 0, unit);
  fflush (stdout);
}

static double
draw_normal (rng_t *rng)
{
  double u = 1 - rng_double (rng);

  return sqrt (-2 * log (u)) * cos (6.283185307 * rng_double (rng));
}

static double
draw_answer_quality (rng_t *rng, size_t version, bool is_easy)
{
  return quality_means[version][is_easy] + 0.06 * (rng_double (rng) - 0.5);
}

/* Return a simulated rating of an answer of quality TRUTH.  Each of
   RATING_CHECKS criteria passes with probability TRUTH, so that the rating is
   unbiased, with a standard deviation of 0.05 at 0.95 and 0.11 at 0.55.  */
static double
draw_rating (rng_t *rng, double truth)
{
  int passed = 0;

  for (int i = 0; i < RATING_CHECKS; i++)
    passed += rng_double (rng) < truth;
  return (double)passed / RATING_CHECKS;
}

typedef struct
{
  double cost;
  double quality;
  double error; /* Standard error of the mean quality.  */
} cost_summary_t;

typedef struct
{
  double cost;
  double quality;
  double squares;
  int count;
} sums_t;

static void
sums_add (sums_t *s, double cost, double quality)
{
  s->cost += cost;
  s->quality += quality;
  s->squares += quality * quality;
  s->count++;
}

static cost_summary_t
sums_summary (const sums_t *s)
{
  double mean = s->quality / s->count;
  double variance = s->squares / s->count - mean * mean;

  return (cost_summary_t){ s->cost / s->count, mean,
                           sqrt (variance / s->count) };
}

/* Add RUN, one of COST_SEEDS runs, to MEAN.  */
static void
summary_add (cost_summary_t *mean, cost_summary_t run)
{
  mean->cost += run.cost / COST_SEEDS;
  mean->quality += run.quality / COST_SEEDS;
  mean->error = hypot (mean->error, run.error / COST_SEEDS);
}

/* Send every request to the strongest version.  */
static cost_summary_t
run_strongest (double easy_share, uint64_t seed)
{
  rng_t rng = rng_make (seed);
  sums_t s = { 0 };

  for (int i = 0; i < COST_REQUESTS; i++)
    {
      bool is_easy = rng_double (&rng) < easy_share;
      sums_add (&s, answer_costs[2], draw_answer_quality (&rng, 2, is_easy));
    }
  return sums_summary (&s);
}

/* Run a conventional cascade: the small version answers first, and the large
   one too if the rating is below a fixed threshold.  */
static cost_summary_t
run_fixed_threshold (double easy_share, uint64_t seed)
{
  rng_t rng = rng_make (seed);
  sums_t s = { 0 };

  for (int i = 0; i < COST_REQUESTS; i++)
    {
      bool is_easy = rng_double (&rng) < easy_share;
      double answer_quality = draw_answer_quality (&rng, 0, is_easy);
      double cost = answer_costs[0] + RATING_COST;
      if (draw_rating (&rng, answer_quality) < FIXED_THRESHOLD)
        {
          answer_quality = draw_answer_quality (&rng, 2, is_easy);
          cost += answer_costs[2];
        }
      sums_add (&s, cost, answer_quality);
    }
  return sums_summary (&s);
}

typedef struct
{
  rng_t rng;
  cascade_t *cascade;
  quality_t *quality;
  uint64_t now_ms;
} router_t;

/* Run one request by PLAN.  Return its cost, ratings included; store the
   quality of its answer in *ANSWER_QUALITY.  */
static double
run_plan (router_t *r, const cascade_plan_t *plan, bool is_easy,
          double *answer_quality)
{
  str_t task = STR ("draft");
  str_t first = str_from (version_names[plan->first]);
  double cost = answer_costs[plan->first];

  *answer_quality = draw_answer_quality (&r->rng, plan->first, is_easy);
  if (plan->kind == CASCADE_DIRECT)
    {
      if (plan->is_audited
          || quality_should_rate (r->quality, &r->rng, task, first, r->now_ms))
        {
          quality_add_rating (r->quality, task, first,
                              draw_rating (&r->rng, *answer_quality),
                              r->now_ms);
          cost += RATING_COST;
        }
      return cost;
    }
  double rating = draw_rating (&r->rng, *answer_quality);
  double audit
      = plan->is_audited ? draw_rating (&r->rng, *answer_quality) : NAN;
  cost += plan->is_audited ? 2 * RATING_COST : RATING_COST;
  cascade_record_first (r->cascade, task, first, rating, audit, r->now_ms);
  quality_add_rating (r->quality, task, first, rating, r->now_ms);
  if (rating >= plan->threshold)
    return cost;
  *answer_quality = draw_answer_quality (&r->rng, plan->second, is_easy);
  cost += answer_costs[plan->second];
  if (plan->is_audited)
    {
      cascade_record_second (
          r->cascade, task, first, str_from (version_names[plan->second]),
          rating, draw_rating (&r->rng, *answer_quality), r->now_ms);
      cost += RATING_COST;
    }
  return cost;
}

/* Run the cascade module without prior samples; the cost of exploration is
   included.  */
static cost_summary_t
run_cascade (double easy_share, double target, uint64_t seed)
{
  router_t r
      = { .rng = rng_make (seed),
          .cascade = cascade_create (seed + 1),
          .quality = quality_create (seed + 1, &QUALITY_SAMPLING_DEFAULTS),
          .now_ms = START_MS };
  sums_t s = { 0 };

  for (int i = 0; i < COST_REQUESTS; i++, r.now_ms += REQUEST_INTERVAL_MS)
    {
      bool is_easy = rng_double (&r.rng) < easy_share;
      cascade_candidate_t candidates[VERSIONS];
      double answer_quality;
      for (size_t v = 0; v < VERSIONS; v++)
        candidates[v] = (cascade_candidate_t){
          str_from (version_names[v]), answer_costs[v],
          quality_estimate (r.quality, STR ("draft"),
                            str_from (version_names[v]), quality_priors[v],
                            r.now_ms),
          latencies_ms[v]
        };
      const cascade_request_t request
          = { .task = STR ("draft"),
              .candidates = candidates,
              .candidate_count = VERSIONS,
              .target = target,
              .deadline_left_ms = 30000,
              .rating_cost = RATING_COST,
              .rating_latency_ms = 150,
              .is_rater_available = true,
              .explore_cost_share = CASCADE_EXPLORE_COST_SHARE };
      cascade_plan_t plan
          = cascade_plan (r.cascade, &r.rng, &request, r.now_ms);
      double cost = run_plan (&r, &plan, is_easy, &answer_quality);
      sums_add (&s, cost, answer_quality);
    }
  cascade_destroy (r.cascade);
  quality_destroy (r.quality);
  return sums_summary (&s);
}

static void
bench_cost (const char *mix, double easy_share, double target_fraction)
{
  char name[80];
  double strongest_mean = easy_share * quality_means[2][1]
                          + (1 - easy_share) * quality_means[2][0];
  double target = target_fraction * strongest_mean;
  int percent = (int)lround (target_fraction * 100);

  snprintf (name, sizeof name, "cost-at-quality-%s-%d", mix, percent);
  if (!is_wanted (name))
    return;
  cost_summary_t strongest = { 0 };
  cost_summary_t fixed = { 0 };
  cost_summary_t ours = { 0 };
  double highest_cost = 0;
  for (uint64_t i = 0; i < COST_SEEDS; i++)
    {
      uint64_t seed = base_seed * 1000003 + i;
      cost_summary_t run = run_cascade (easy_share, target, seed);
      summary_add (&strongest, run_strongest (easy_share, seed));
      summary_add (&fixed, run_fixed_threshold (easy_share, seed));
      summary_add (&ours, run);
      highest_cost = fmax (highest_cost, run.cost);
    }
  print_row (name, strongest.cost, ours.cost, "price/request");
  snprintf (name, sizeof name, "cost-at-quality-%s-%d-vs-fixed-threshold", mix,
            percent);
  print_row (name, fixed.cost, ours.cost, "price/request");
  snprintf (name, sizeof name, "quality-reached-%s-%d", mix, percent);
  print_row (name, target, ours.quality, "mean-quality");
  bool is_met = ours.quality + QUALITY_Z_ONE_SIDED_95 * ours.error >= target;
  bool is_fixed_met
      = fixed.quality + QUALITY_Z_ONE_SIDED_95 * fixed.error >= target;
  printf ("# %s: target %.4f ours %.4f (+-%.4f, %s) fixed-threshold %.4f "
          "(%s) strongest %.4f; dearest run %.4f\n",
          name, target, ours.quality, QUALITY_Z_ONE_SIDED_95 * ours.error,
          is_met ? "met" : "MISSED", fixed.quality,
          is_fixed_met ? "met" : "missed", strongest.quality,
          highest_cost / strongest.cost);
}

/* Difference of a bad version from the old one.  */
typedef struct
{
  const char *name;
  double rating;  /* Reduction of the mean rating.  */
  double error;   /* Increase of the error rate.  */
  double latency; /* Factor of the latency.  */
  int task;       /* Index of the only affected task class; -1: all.  */
} regression_t;

static const regression_t regressions[] = {
  { "clearly-worse", 0.3, 0, 1, -1 },  { "slightly-worse", 0.05, 0, 1, -1 },
  { "one-task-worse", 0.25, 0, 1, 2 }, { "only-slower", 0, 0, 1.5, -1 },
  { "only-erring", 0, 0.2, 1, -1 },
};

enum
{
  TASKS = 3
};

static const char *const tasks[TASKS] = { "draft", "answer", "tag" };

static int
draw_task (rng_t *rng)
{
  double u = rng_double (rng);

  return u < 0.5 ? 0 : u < 0.8 ? 1 : 2;
}

static rollout_sample_t
draw_sample (rng_t *rng, const regression_t *regression, bool is_new, int task,
             double rating_share)
{
  static const double task_means[TASKS] = { 0.9, 0.8, 0.6 };
  bool is_affected
      = is_new && (regression->task < 0 || regression->task == task);
  rollout_sample_t s = { .finished = true };

  s.failed = rng_double (rng) < 0.005 + (is_affected ? regression->error : 0);
  s.latency_ms = 800 * exp (0.4 * draw_normal (rng))
                 * (is_affected ? regression->latency : 1);
  s.rating = task_means[task] + 0.15 * draw_normal (rng)
             - (is_affected ? regression->rating : 0);
  s.rated = !s.failed && rng_double (rng) < rating_share;
  return s;
}

/* Number of requests between the end of an answer and its rating.  */
enum
{
  RATING_DELAY = 20
};

typedef struct
{
  rollout_sample_t sample;
  rollout_arm_t arm;
  int task;
} pending_rating_t;

typedef struct
{
  uint64_t exposed_count; /* Requests sent to the new version.  */
  uint64_t requests;
  bool is_halted;
  bool is_complete;
} rollout_result_t;

static rollout_result_t
run_rollout (const regression_t *regression, uint64_t seed)
{
  rollout_run_t *run = rollout_create (seed + 1, STR ("small@2"), START_MS);
  rng_t rng = rng_make (seed);
  pending_rating_t pending[RATING_DELAY] = { 0 };
  uint64_t now_ms = START_MS;
  rollout_result_t result = { 0 };

  for (; result.requests < ROLLOUT_REQUESTS_MAX; now_ms += REQUEST_INTERVAL_MS)
    {
      pending_rating_t *slot = &pending[result.requests++ % RATING_DELAY];
      if (slot->sample.rated)
        {
          slot->sample.finished = false;
          rollout_observe (run, slot->arm, str_from (tasks[slot->task]),
                           &slot->sample, now_ms);
        }
      bool is_new = rollout_is_assigned (run, rng_u64 (&rng));
      slot->arm = is_new ? ROLLOUT_ARM_NEW : ROLLOUT_ARM_OLD;
      slot->task = draw_task (&rng);
      slot->sample = draw_sample (&rng, regression, is_new, slot->task,
                                  rollout_rating_share (run, slot->arm));
      rollout_count_exposure (run, slot->arm, now_ms);
      rollout_sample_t ended = slot->sample;
      ended.rated = false;
      rollout_observe (run, slot->arm, str_from (tasks[slot->task]), &ended,
                       now_ms);
      if (result.requests % 10 == 0)
        rollout_decide (run, now_ms);
      result.is_halted = rollout_phase (run) == ROLLOUT_PHASE_HALTED;
      result.is_complete = rollout_phase (run) == ROLLOUT_PHASE_COMPLETE;
      if (result.is_halted || result.is_complete)
        break;
    }
  result.exposed_count = rollout_exposed_count (run);
  /* A version whose roll-out is complete gets all further requests, up to the
     number that the fixed roll-out sends.  */
  if (result.is_complete && result.requests < EXPOSURE_REQUESTS)
    result.exposed_count += EXPOSURE_REQUESTS - result.requests;
  rollout_destroy (run);
  return result;
}

typedef struct
{
  double count;
  double failed;
  double latency;
  double ratings;
  double rating;
} means_t;

static void
means_add (means_t *m, const rollout_sample_t *s)
{
  m->count++;
  m->failed += s->failed;
  m->latency += s->latency_ms;
  m->ratings += s->rated;
  m->rating += s->rated ? s->rating : 0;
}

/* Return whether the means differ so much that an operator would notice on a
   dashboard: rating lower by 0.05, error rate higher by 0.02, or latency
   higher by a quarter.  */
static bool
is_clearly_worse (const means_t *new_means, const means_t *old_means)
{
  return old_means->rating / old_means->ratings
                 - new_means->rating / new_means->ratings
             > 0.05
         || new_means->failed / new_means->count
                    - old_means->failed / old_means->count
                > 0.02
         || new_means->latency / new_means->count
                > 1.25 * old_means->latency / old_means->count;
}

/* Run a roll-out in stages of 10%, 50% and 100%, with one answer in ten rated.
   The means are compared at the end of the first two stages; a version that
   reaches 100% stays.  */
static rollout_result_t
run_fixed_rollout (const regression_t *regression, uint64_t seed)
{
  static const double shares[] = { 0.1, 0.5, 1 };
  rng_t rng = rng_make (seed);
  rollout_result_t result = { 0 };

  for (size_t stage = 0; stage < 3 && !result.is_halted; stage++)
    {
      means_t new_means = { 0 };
      means_t old_means = { 0 };
      for (int i = 0; i < STAGE_REQUESTS; i++)
        {
          bool to_new = rng_double (&rng) < shares[stage];
          rollout_sample_t s
              = draw_sample (&rng, regression, to_new, draw_task (&rng), 0.1);
          means_add (to_new ? &new_means : &old_means, &s);
          result.exposed_count += to_new;
          result.requests++;
        }
      result.is_halted
          = stage < 2 && is_clearly_worse (&new_means, &old_means);
    }
  return result;
}

static void
bench_exposure (const regression_t *regression)
{
  char name[80];
  double baseline = 0;
  double ours = 0;
  double fixed_requests = 0;
  double requests = 0;
  int halted_count = 0;
  int complete_count = 0;
  int fixed_halted_count = 0;

  snprintf (name, sizeof name, "bad-version-exposure-%s", regression->name);
  if (!is_wanted (name))
    return;
  for (uint64_t i = 0; i < EXPOSURE_SEEDS; i++)
    {
      uint64_t seed = base_seed * 1000003 + i;
      rollout_result_t fixed = run_fixed_rollout (regression, seed);
      rollout_result_t rollout = run_rollout (regression, seed);
      baseline += (double)fixed.exposed_count / EXPOSURE_SEEDS;
      ours += (double)rollout.exposed_count / EXPOSURE_SEEDS;
      fixed_requests += (double)fixed.requests / EXPOSURE_SEEDS;
      requests += (double)rollout.requests / EXPOSURE_SEEDS;
      halted_count += rollout.is_halted;
      complete_count += rollout.is_complete;
      fixed_halted_count += fixed.is_halted;
    }
  print_row (name, baseline, ours, "requests-shown");
  snprintf (name, sizeof name, "time-to-halt-%s", regression->name);
  print_row (name, fixed_requests * REQUEST_INTERVAL_MS / 1000,
             requests * REQUEST_INTERVAL_MS / 1000, "seconds");
  printf ("# %s: halted %d of %d (%d went through), fixed %d of %d\n",
          regression->name, halted_count, EXPOSURE_SEEDS, complete_count,
          fixed_halted_count, EXPOSURE_SEEDS);
}

static void
bench_false_halts (void)
{
  static const regression_t none = { "none", 0, 0, 1, -1 };
  double fixed = 0;
  double ours = 0;
  double requests = 0;
  int complete_count = 0;

  if (!is_wanted ("false-halts"))
    return;
  for (uint64_t i = 0; i < FALSE_HALT_SEEDS; i++)
    {
      uint64_t seed = base_seed * 1000033 + i;
      rollout_result_t rollout = run_rollout (&none, seed);
      fixed += (double)run_fixed_rollout (&none, seed).is_halted
               / FALSE_HALT_SEEDS;
      ours += (double)rollout.is_halted / FALSE_HALT_SEEDS;
      complete_count += rollout.is_complete;
      requests += rollout.is_complete ? (double)rollout.requests : 0;
    }
  print_row ("false-halts", fixed, ours, "share-of-good-rollouts");
  printf ("# false-halts: complete %d of %d, after %.0f requests on average\n",
          complete_count, FALSE_HALT_SEEDS, requests / complete_count);
}

/* Return the number of requests that a version answers from the time it
   degrades, after one hour of good service, until the degradation module has
   reduced its traffic weight to 0.  */
static double
run_degradation (const regression_t *regression, uint64_t seed)
{
  enum
  {
    GOOD_REQUESTS = 36000,
    BAD_REQUESTS_MAX = 72000
  };
  static const regression_t none = { "none", 0, 0, 1, -1 };
  degradation_t *degradation = degradation_create (seed + 1);
  rng_t rng = rng_make (seed);
  uint64_t now_ms = START_MS;
  double exposed_count = 0;

  for (int i = 0; i < GOOD_REQUESTS + BAD_REQUESTS_MAX;
       i++, now_ms += REQUEST_INTERVAL_MS)
    {
      const regression_t *current = i < GOOD_REQUESTS ? &none : regression;
      double weight
          = degradation_traffic_weight (degradation, STR ("small@1"), now_ms);
      bool is_small = rng_double (&rng) < 0.8 * weight;
      int task = draw_task (&rng);
      rollout_sample_t s = draw_sample (&rng, current, is_small, task, 0.1);
      degradation_observe (degradation,
                           is_small ? STR ("small@1") : STR ("large@1"),
                           str_from (tasks[task]), &s, now_ms);
      if (i >= GOOD_REQUESTS)
        exposed_count += is_small;
      if (i % 10 == 0)
        degradation_check (degradation, now_ms);
      if (weight == 0)
        break;
    }
  degradation_destroy (degradation);
  return exposed_count;
}

/* Return the number of requests that a degraded version answers if an operator
   compares the means of each hour, for two hours at most.  */
static double
run_hourly_check (const regression_t *regression, uint64_t seed)
{
  enum
  {
    HOUR_REQUESTS = 36000
  };
  static const regression_t none = { "none", 0, 0, 1, -1 };
  rng_t rng = rng_make (seed);
  double exposed_count = 0;

  for (int hour = 0; hour < 2; hour++)
    {
      means_t before = { 0 };
      means_t after = { 0 };
      for (int i = 0; i < HOUR_REQUESTS; i++)
        {
          bool is_small = rng_double (&rng) < 0.8;
          rollout_sample_t s = draw_sample (&rng, regression, is_small,
                                            draw_task (&rng), 0.1);
          rollout_sample_t t
              = draw_sample (&rng, &none, is_small, draw_task (&rng), 0.1);
          if (!is_small)
            continue;
          means_add (&after, &s);
          means_add (&before, &t);
          exposed_count++;
        }
      if (is_clearly_worse (&after, &before))
        break;
    }
  return exposed_count;
}

static void
bench_degradation (const regression_t *regression)
{
  char name[80];
  double baseline = 0;
  double ours = 0;

  snprintf (name, sizeof name, "bad-version-exposure-later-%s",
            regression->name);
  if (!is_wanted (name))
    return;
  for (uint64_t i = 0; i < EXPOSURE_SEEDS; i++)
    {
      uint64_t seed = base_seed * 1000039 + i;
      baseline += run_hourly_check (regression, seed) / EXPOSURE_SEEDS;
      ours += run_degradation (regression, seed) / EXPOSURE_SEEDS;
    }
  print_row (name, baseline, ours, "requests-shown");
}

static int
usage (FILE *out, int status)
{
  fprintf (out, "Usage: bench_cascade [--seed N] [--pattern NAME] "
                "[--seconds N]\n"
                "NAME may hold '*'.  --seconds has no effect: the work is "
                "fixed.\n");
  return status;
}

int
main (int argc, char **argv)
{
  static const struct
  {
    const char *name;
    double easy_share;
  } mixes[]
      = { { "mostly-hard", 0.2 }, { "even", 0.5 }, { "mostly-easy", 0.8 } };
  static const double parts[] = { 0.9, 0.95, 0.98 };

  uint64_t seconds;

  for (int i = 1; i < argc; i += 2)
    {
      if (strcmp (argv[i], "--help") == 0)
        return usage (stdout, EXIT_SUCCESS);
      if (i + 1 == argc)
        return usage (stderr, EXIT_FAILURE);
      if (strcmp (argv[i], "--pattern") == 0)
        row_pattern = argv[i + 1];
      else if (strcmp (argv[i], "--seconds") == 0
               && str_to_u64 (str_from (argv[i + 1]), &seconds))
        continue;
      else if (strcmp (argv[i], "--seed") != 0
               || !str_to_u64 (str_from (argv[i + 1]), &base_seed))
        return usage (stderr, EXIT_FAILURE);
    }
  for (size_t m = 0; m < sizeof mixes / sizeof mixes[0]; m++)
    for (size_t p = 0; p < sizeof parts / sizeof parts[0]; p++)
      bench_cost (mixes[m].name, mixes[m].easy_share, parts[p]);
  for (size_t f = 0; f < sizeof regressions / sizeof regressions[0]; f++)
    bench_exposure (&regressions[f]);
  for (size_t f = 0; f < sizeof regressions / sizeof regressions[0]; f++)
    bench_degradation (&regressions[f]);
  bench_false_halts ();
  return EXIT_SUCCESS;
}
