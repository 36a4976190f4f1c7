/* Cost at the quality target, and exposure to bad versions, each against
   what an operator would do without the modules, in one run of the same
   requests.  See docs/CASCADE.md and docs/ROLLOUT.md.  */

#include "base/rng.h"
#include "base/str.h"
#include "policy/cascade.h"
#include "policy/rollout.h"
#include "policy/degradation.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#define START_MS ((uint64_t)1700000000000)
/* Ten requests a second.  */
#define GAP_MS 100

enum
{
  COST_REQUESTS = 40000,
  /* Each row is the mean of so many runs from knowing nothing.  */
  COST_SEEDS = 5,
  EXPOSURE_SEEDS = 40,
  HALT_SEEDS = 400,
  ROLLOUT_REQUESTS_MAX = 200000,
  VERSIONS = 3,
  CHECKS = 20,
  /* A fixed roll-out stays this long at 10%, then at 50%, and looks at the
     means at the end of each.  */
  STAGE_REQUESTS = 10000,
  HORIZON = 3 * STAGE_REQUESTS
};

/* Price of one rating; an answer of the three versions costs 1, 4 and 15.  */
#define RATING_COST 0.3
#define FIXED_THRESHOLD 0.8

static const double costs[VERSIONS] = { 1, 4, 15 };
/* Mean quality of the answers to a hard and to an easy request.  */
static const double means[VERSIONS][2]
    = { { 0.55, 0.93 }, { 0.8, 0.95 }, { 0.92, 0.96 } };
static const double priors[VERSIONS] = { 0.6, 0.7, 0.8 };
static const double latencies_ms[VERSIONS] = { 400, 900, 2000 };
static const char *const names[VERSIONS]
    = { "small@1", "medium@1", "large@1" };

static uint64_t base_seed = 1;
static const char *pattern = "*";

static bool
wanted (const char *name)
{
  return str_matches_glob (str_from (pattern), str_from (name));
}

static void
row (const char *name, double baseline, double ours, const char *unit)
{
  printf ("bench %s baseline=%.6g ours=%.6g ratio=%.4f unit=%s\n", name,
          baseline, ours, baseline != 0 ? ours / baseline : 0, unit);
  fflush (stdout);
}

static double
normal (rng_t *rng)
{
  double u = 1 - rng_double (rng);

  return sqrt (-2 * log (u)) * cos (6.283185307 * rng_double (rng));
}

static double
answer_quality (rng_t *rng, size_t version, bool easy)
{
  return means[version][easy] + 0.06 * (rng_double (rng) - 0.5);
}

/* The rating service checks CHECKS points, each met with chance TRUTH: right
   on average, with a spread of 0.05 at 0.95 and 0.11 at 0.55.  */
static double
rate (rng_t *rng, double truth)
{
  int met = 0;

  for (int i = 0; i < CHECKS; i++)
    met += rng_double (rng) < truth;
  return (double)met / CHECKS;
}

typedef struct
{
  double cost;
  double quality;
  double error; /* Standard error of the quality.  */
} total_t;

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

static total_t
sums_total (const sums_t *s)
{
  double mean = s->quality / s->count;
  double variance = s->squares / s->count - mean * mean;

  return (total_t){ s->cost / s->count, mean, sqrt (variance / s->count) };
}

/* Add RUN, one of COST_SEEDS, to their mean.  */
static void
total_add (total_t *mean, total_t run)
{
  mean->cost += run.cost / COST_SEEDS;
  mean->quality += run.quality / COST_SEEDS;
  mean->error = hypot (mean->error, run.error / COST_SEEDS);
}

static total_t
run_strongest (double easy_share, uint64_t seed)
{
  rng_t rng = rng_make (seed);
  sums_t s = { 0 };

  for (int i = 0; i < COST_REQUESTS; i++)
    {
      bool easy = rng_double (&rng) < easy_share;
      sums_add (&s, costs[2], answer_quality (&rng, 2, easy));
    }
  return sums_total (&s);
}

/* The usual cascade: small first, large when rated under a threshold set by
   hand.  */
static total_t
run_fixed (double easy_share, uint64_t seed)
{
  rng_t rng = rng_make (seed);
  sums_t s = { 0 };

  for (int i = 0; i < COST_REQUESTS; i++)
    {
      bool easy = rng_double (&rng) < easy_share;
      double got = answer_quality (&rng, 0, easy);
      double paid = costs[0] + RATING_COST;
      if (rate (&rng, got) < FIXED_THRESHOLD)
        {
          got = answer_quality (&rng, 2, easy);
          paid += costs[2];
        }
      sums_add (&s, paid, got);
    }
  return sums_total (&s);
}

typedef struct
{
  rng_t rng;
  cascade_t *cascade;
  quality_t *quality;
  uint64_t now_ms;
} router_t;

/* Run one request by PLAN; return what it cost and set *GOT.  */
static double
run_plan (router_t *r, const cascade_plan_t *plan, bool easy, double *got)
{
  str_t task = STR ("draft");
  str_t first = str_from (names[plan->first]);
  double paid = costs[plan->first];

  *got = answer_quality (&r->rng, plan->first, easy);
  if (plan->kind == CASCADE_DIRECT)
    {
      if (plan->audit
          || quality_should_rate (r->quality, &r->rng, task, first, r->now_ms))
        {
          quality_add_rating (r->quality, task, first, rate (&r->rng, *got),
                              r->now_ms);
          paid += RATING_COST;
        }
      return paid;
    }
  double rating = rate (&r->rng, *got);
  double audit = plan->audit ? rate (&r->rng, *got) : NAN;
  paid += plan->audit ? 2 * RATING_COST : RATING_COST;
  cascade_record_first (r->cascade, task, first, rating, audit, r->now_ms);
  quality_add_rating (r->quality, task, first, rating, r->now_ms);
  if (rating >= plan->threshold)
    return paid;
  *got = answer_quality (&r->rng, plan->second, easy);
  paid += costs[plan->second];
  if (plan->audit)
    {
      cascade_record_second (r->cascade, task, first,
                             str_from (names[plan->second]), rating,
                             rate (&r->rng, *got), r->now_ms);
      paid += RATING_COST;
    }
  return paid;
}

/* From knowing nothing; what is learned on the way is paid for.  */
static total_t
run_ours (double easy_share, double target, uint64_t seed)
{
  router_t r
      = { .rng = rng_make (seed),
          .cascade = cascade_create (seed + 1),
          .quality = quality_create (seed + 1, &QUALITY_SAMPLING_DEFAULTS),
          .now_ms = START_MS };
  sums_t s = { 0 };

  for (int i = 0; i < COST_REQUESTS; i++, r.now_ms += GAP_MS)
    {
      bool easy = rng_double (&r.rng) < easy_share;
      cascade_candidate_t candidates[VERSIONS];
      double got;
      for (size_t v = 0; v < VERSIONS; v++)
        candidates[v] = (cascade_candidate_t){
          str_from (names[v]), costs[v],
          quality_estimate (r.quality, STR ("draft"), str_from (names[v]),
                            priors[v], r.now_ms),
          latencies_ms[v]
        };
      const cascade_request_t request
          = { .task = STR ("draft"),
              .candidates = candidates,
              .count = VERSIONS,
              .target = target,
              .deadline_left_ms = 30000,
              .rating_cost = RATING_COST,
              .rating_latency_ms = 150,
              .is_rater_available = true,
              .explore_cost_share = CASCADE_EXPLORE_COST_SHARE };
      cascade_plan_t plan
          = cascade_plan (r.cascade, &r.rng, &request, r.now_ms);
      double paid = run_plan (&r, &plan, easy, &got);
      sums_add (&s, paid, got);
    }
  cascade_destroy (r.cascade);
  quality_destroy (r.quality);
  return sums_total (&s);
}

static void
bench_cost (const char *mix, double easy_share, double part)
{
  char name[80];
  double strongest_mean
      = easy_share * means[2][1] + (1 - easy_share) * means[2][0];
  double target = part * strongest_mean;
  int percent = (int)lround (part * 100);

  snprintf (name, sizeof name, "cost-at-quality-%s-%d", mix, percent);
  if (!wanted (name))
    return;
  total_t strongest = { 0 };
  total_t fixed = { 0 };
  total_t ours = { 0 };
  double dearest = 0;
  for (uint64_t i = 0; i < COST_SEEDS; i++)
    {
      uint64_t seed = base_seed * 1000003 + i;
      total_t run = run_ours (easy_share, target, seed);
      total_add (&strongest, run_strongest (easy_share, seed));
      total_add (&fixed, run_fixed (easy_share, seed));
      total_add (&ours, run);
      dearest = fmax (dearest, run.cost);
    }
  row (name, strongest.cost, ours.cost, "price/request");
  snprintf (name, sizeof name, "cost-at-quality-%s-%d-vs-fixed-threshold", mix,
            percent);
  row (name, fixed.cost, ours.cost, "price/request");
  snprintf (name, sizeof name, "quality-reached-%s-%d", mix, percent);
  row (name, target, ours.quality, "mean-quality");
  bool met = ours.quality + QUALITY_Z_ONE_SIDED_95 * ours.error >= target;
  bool fixed_met
      = fixed.quality + QUALITY_Z_ONE_SIDED_95 * fixed.error >= target;
  printf ("# %s: target %.4f ours %.4f (+-%.4f, %s) fixed-threshold %.4f "
          "(%s) strongest %.4f; dearest run %.4f\n",
          name, target, ours.quality, QUALITY_Z_ONE_SIDED_95 * ours.error,
          met ? "met" : "MISSED", fixed.quality, fixed_met ? "met" : "missed",
          strongest.quality, dearest / strongest.cost);
}

/* How the new version differs, and for which task class (-1: all).  */
typedef struct
{
  const char *name;
  double rating;
  double error;
  double latency;
  int task;
} fault_t;

static const fault_t faults[] = {
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
draw_sample (rng_t *rng, const fault_t *fault, bool fresh, int task,
             double rate_share)
{
  static const double task_means[TASKS] = { 0.9, 0.8, 0.6 };
  bool hit = fresh && (fault->task < 0 || fault->task == task);
  rollout_sample_t s = { .finished = true };

  s.failed = rng_double (rng) < 0.005 + (hit ? fault->error : 0);
  s.latency_ms = 800 * exp (0.4 * normal (rng)) * (hit ? fault->latency : 1);
  s.rating
      = task_means[task] + 0.15 * normal (rng) - (hit ? fault->rating : 0);
  s.rated = !s.failed && rng_double (rng) < rate_share;
  return s;
}

/* An answer is rated RATING_DELAY requests after it was sent.  */
enum
{
  RATING_DELAY = 20
};

typedef struct
{
  rollout_sample_t sample;
  rollout_arm_t arm;
  int task;
} pending_t;

typedef struct
{
  uint64_t shown;
  uint64_t requests;
  bool halted;
  bool complete;
} outcome_t;

static outcome_t
run_rollout (const fault_t *fault, uint64_t seed)
{
  rollout_run_t *run = rollout_create (seed + 1, STR ("small@2"), START_MS);
  rng_t rng = rng_make (seed);
  pending_t pending[RATING_DELAY] = { 0 };
  uint64_t now = START_MS;
  outcome_t out = { 0 };

  for (; out.requests < ROLLOUT_REQUESTS_MAX; now += GAP_MS)
    {
      pending_t *late = &pending[out.requests++ % RATING_DELAY];
      if (late->sample.rated)
        {
          late->sample.finished = false;
          rollout_observe (run, late->arm, str_from (tasks[late->task]),
                           &late->sample, now);
        }
      bool fresh = rollout_is_assigned (run, rng_u64 (&rng));
      late->arm = fresh ? ROLLOUT_ARM_NEW : ROLLOUT_ARM_OLD;
      late->task = draw_task (&rng);
      late->sample = draw_sample (&rng, fault, fresh, late->task,
                                  rollout_rating_share (run, late->arm));
      rollout_count_exposure (run, late->arm, now);
      rollout_sample_t ended = late->sample;
      ended.rated = false;
      rollout_observe (run, late->arm, str_from (tasks[late->task]), &ended,
                       now);
      if (out.requests % 10 == 0)
        rollout_decide (run, now);
      out.halted = rollout_phase (run) == ROLLOUT_PHASE_HALTED;
      out.complete = rollout_phase (run) == ROLLOUT_PHASE_COMPLETE;
      if (out.halted || out.complete)
        break;
    }
  out.shown = rollout_exposed_count (run);
  /* What went through is shown to everyone as long as the fixed roll-out is
     counted.  */
  if (out.complete && out.requests < HORIZON)
    out.shown += HORIZON - out.requests;
  rollout_destroy (run);
  return out;
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

/* What an operator sees on a dashboard at the end of a stage: means that lie
   clearly apart.  */
static bool
looks_bad (const means_t *fresh, const means_t *old)
{
  return old->rating / old->ratings - fresh->rating / fresh->ratings > 0.05
         || fresh->failed / fresh->count - old->failed / old->count > 0.02
         || fresh->latency / fresh->count > 1.25 * old->latency / old->count;
}

/* 10%, 50%, 100%, with one answer in ten rated and a look at the end of each
   stage; what passes the look at 100% stays.  */
static outcome_t
run_fixed_rollout (const fault_t *fault, uint64_t seed)
{
  static const double shares[] = { 0.1, 0.5, 1 };
  rng_t rng = rng_make (seed);
  outcome_t out = { 0 };

  for (size_t stage = 0; stage < 3 && !out.halted; stage++)
    {
      means_t fresh = { 0 };
      means_t old = { 0 };
      for (int i = 0; i < STAGE_REQUESTS; i++)
        {
          bool to_new = rng_double (&rng) < shares[stage];
          rollout_sample_t s
              = draw_sample (&rng, fault, to_new, draw_task (&rng), 0.1);
          means_add (to_new ? &fresh : &old, &s);
          out.shown += to_new;
          out.requests++;
        }
      out.halted = stage < 2 && looks_bad (&fresh, &old);
    }
  return out;
}

static void
bench_exposure (const fault_t *fault)
{
  char name[80];
  double baseline = 0;
  double ours = 0;
  double fixed_requests = 0;
  double requests = 0;
  int halted = 0;
  int complete = 0;
  int fixed_halted = 0;

  snprintf (name, sizeof name, "bad-version-exposure-%s", fault->name);
  if (!wanted (name))
    return;
  for (uint64_t i = 0; i < EXPOSURE_SEEDS; i++)
    {
      uint64_t seed = base_seed * 1000003 + i;
      outcome_t fixed = run_fixed_rollout (fault, seed);
      outcome_t mine = run_rollout (fault, seed);
      baseline += (double)fixed.shown / EXPOSURE_SEEDS;
      ours += (double)mine.shown / EXPOSURE_SEEDS;
      fixed_requests += (double)fixed.requests / EXPOSURE_SEEDS;
      requests += (double)mine.requests / EXPOSURE_SEEDS;
      halted += mine.halted;
      complete += mine.complete;
      fixed_halted += fixed.halted;
    }
  row (name, baseline, ours, "requests-shown");
  snprintf (name, sizeof name, "time-to-halt-%s", fault->name);
  row (name, fixed_requests * GAP_MS / 1000, requests * GAP_MS / 1000,
       "seconds");
  printf ("# %s: halted %d of %d (%d went through), fixed %d of %d\n",
          fault->name, halted, EXPOSURE_SEEDS, complete, fixed_halted,
          EXPOSURE_SEEDS);
}

static void
bench_false_halts (void)
{
  static const fault_t none = { "none", 0, 0, 1, -1 };
  double fixed = 0;
  double ours = 0;
  double requests = 0;
  int complete = 0;

  if (!wanted ("false-halts"))
    return;
  for (uint64_t i = 0; i < HALT_SEEDS; i++)
    {
      uint64_t seed = base_seed * 1000033 + i;
      outcome_t mine = run_rollout (&none, seed);
      fixed += (double)run_fixed_rollout (&none, seed).halted / HALT_SEEDS;
      ours += (double)mine.halted / HALT_SEEDS;
      complete += mine.complete;
      requests += mine.complete ? (double)mine.requests : 0;
    }
  row ("false-halts", fixed, ours, "share-of-good-rollouts");
  printf ("# false-halts: complete %d of %d, after %.0f requests on average\n",
          complete, HALT_SEEDS, requests / complete);
}

/* A version that has served for an hour turns bad: requests it answers until
   its share is gone, against an operator who looks at the last hour's means
   each hour.  */
static double
run_watch (const fault_t *fault, uint64_t seed)
{
  enum
  {
    QUIET = 36000,
    BAD_MAX = 72000
  };
  static const fault_t none = { "none", 0, 0, 1, -1 };
  degradation_t *watch = degradation_create (seed + 1);
  rng_t rng = rng_make (seed);
  uint64_t now = START_MS;
  double shown = 0;

  for (int i = 0; i < QUIET + BAD_MAX; i++, now += GAP_MS)
    {
      const fault_t *at = i < QUIET ? &none : fault;
      double weight = degradation_traffic_weight (watch, STR ("small@1"), now);
      bool small = rng_double (&rng) < 0.8 * weight;
      int task = draw_task (&rng);
      rollout_sample_t s = draw_sample (&rng, at, small, task, 0.1);
      degradation_observe (watch, small ? STR ("small@1") : STR ("large@1"),
                           str_from (tasks[task]), &s, now);
      if (i >= QUIET)
        shown += small;
      if (i % 10 == 0)
        degradation_check (watch, now);
      if (weight == 0)
        break;
    }
  degradation_destroy (watch);
  return shown;
}

static double
run_hourly_look (const fault_t *fault, uint64_t seed)
{
  enum
  {
    HOUR = 36000
  };
  static const fault_t none = { "none", 0, 0, 1, -1 };
  rng_t rng = rng_make (seed);
  double shown = 0;

  for (int hour = 0; hour < 2; hour++)
    {
      means_t before = { 0 };
      means_t after = { 0 };
      for (int i = 0; i < HOUR; i++)
        {
          bool small = rng_double (&rng) < 0.8;
          rollout_sample_t s
              = draw_sample (&rng, fault, small, draw_task (&rng), 0.1);
          rollout_sample_t t
              = draw_sample (&rng, &none, small, draw_task (&rng), 0.1);
          if (!small)
            continue;
          means_add (&after, &s);
          means_add (&before, &t);
          shown++;
        }
      if (looks_bad (&after, &before))
        break;
    }
  return shown;
}

static void
bench_watch (const fault_t *fault)
{
  char name[80];
  double baseline = 0;
  double ours = 0;

  snprintf (name, sizeof name, "bad-version-exposure-later-%s", fault->name);
  if (!wanted (name))
    return;
  for (uint64_t i = 0; i < EXPOSURE_SEEDS; i++)
    {
      uint64_t seed = base_seed * 1000039 + i;
      baseline += run_hourly_look (fault, seed) / EXPOSURE_SEEDS;
      ours += run_watch (fault, seed) / EXPOSURE_SEEDS;
    }
  row (name, baseline, ours, "requests-shown");
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
    double easy;
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
        pattern = argv[i + 1];
      else if (strcmp (argv[i], "--seconds") == 0
               && str_to_u64 (str_from (argv[i + 1]), &seconds))
        continue;
      else if (strcmp (argv[i], "--seed") != 0
               || !str_to_u64 (str_from (argv[i + 1]), &base_seed))
        return usage (stderr, EXIT_FAILURE);
    }
  for (size_t m = 0; m < sizeof mixes / sizeof mixes[0]; m++)
    for (size_t p = 0; p < sizeof parts / sizeof parts[0]; p++)
      bench_cost (mixes[m].name, mixes[m].easy, parts[p]);
  for (size_t f = 0; f < sizeof faults / sizeof faults[0]; f++)
    bench_exposure (&faults[f]);
  for (size_t f = 0; f < sizeof faults / sizeof faults[0]; f++)
    bench_watch (&faults[f]);
  bench_false_halts ();
  return EXIT_SUCCESS;
}
