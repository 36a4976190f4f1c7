#include "policy/cascade.h"

#include "base/mem.h"
#include "policy/crdt.h"

#include <math.h>
#include <stdlib.h>

enum
{
  /* Fields of a cell of crdt.h, which holds one bin of a curve; field 0 is the
     number of samples.  */
  FIELD_FIRST_RATING_COUNT = 1, /* Number of first ratings in the bin.  */
  FIELD_AUDIT_COUNT, /* Number of audits in the bin: of answers of the first
                        version in a cell of a single version, of answers of
                        the second version in a cell of a pair.  */
  FIELD_AUDIT_SUM,
  FIELD_AUDIT_SQUARES,
  FIELDS,
  CACHE_MS = 1000,
  /* Number of decayed ratings of the strongest version below which all its
     direct answers are rated.  A version that is chosen for its upper bound
     alone must get ratings soon.  */
  WELL_KNOWN_RATINGS = 50,
  /* Fewest first ratings of a cheap version with which a cascade is planned.
     With fewer ratings the estimated share of a bin has an error of 0.1 or
     more.  */
  CURVE_RATINGS_MIN = 60,
  /* Number of past audits of a pair of versions with which
     CASCADE_AUDIT_SHARE_MAX is halved.  */
  AUDIT_HALVING_COUNT = 1500,
  /* Weight of the prior slope of one half, as a number of audits with
     uniformly distributed ratings.  */
  SLOPE_PRIOR_WEIGHT = 10,
  /* One exploring plan in EXPLORE_DIRECT_INTERVAL runs the strongest version
     alone, so that its quality stays known while cascades take all traffic. */
  EXPLORE_DIRECT_INTERVAL = 8,
  /* One exploring plan in EXPLORE_ANY_PAIR_INTERVAL may use any pair,
     promising or not, which corrects a mean that is too low by chance.  */
  EXPLORE_ANY_PAIR_INTERVAL = 8
};

/* Largest share of the requests that explore, whatever the cost.  */
#define EXPLORE_SHARE_MAX 0.25

/* Largest ratio of the cost (or latency) of a pair of a cheap and a strong
   version to that of the plan in use for which the pair is explored.  A gain
   of a twentieth is about the cost of exploration.  */
#define PROMISING_RATIO_MAX 0.95
/* Distance of the upper bound of a cascade's expected rating from its mean,
   relative to that of the one-sided 95% lower bound.  With a ratio of 2 the
   upper bound is a two-sided 99.9% bound, so that a pair of a cheap and a
   strong version whose first ratings were low by chance is explored again.  */
#define UPPER_BOUND_RATIO 2.0

typedef struct
{
  bool is_filled;
  uint64_t computed_ms;      /* Time at which the sums were computed.  */
  uint64_t change_count;     /* Result of crdt_change_count at COMPUTED_MS.  */
  double first_rating_count; /* Number of first ratings.  */
  double audit_count;        /* Number of audit ratings.  */
  double audit_sum;          /* Sum of the audit ratings.  */
  double audit_square_sum;   /* Sum of the squares of the audit ratings.  */
} decayed_sums_t;

struct cascade
{
  crdt_t *rating_crdt;
  decayed_sums_t *cache; /* Decayed sums by key index.  */
  /* Weight of an epoch by its age in epochs.  */
  double epoch_decay[CASCADE_EPOCHS + 1];
  uint64_t plan_counts[CASCADE_REASON_COUNT]; /* Number of plans by reason.  */
};

/* Decayed sums of a first version, or of a pair, by bin of the first rating,
   with their totals over all bins.  */
typedef struct
{
  decayed_sums_t bins[CASCADE_BINS];
  double first_rating_count;
  double audit_count;
  double audit_sum;
} curve_t;

cascade_t *
cascade_create (uint64_t writer)
{
  const crdt_options_t options = { .writer = writer,
                                   .epoch_ms = CASCADE_EPOCH_MS,
                                   .epochs = CASCADE_EPOCHS,
                                   .fields = FIELDS,
                                   .keys_max = CASCADE_KEYS_MAX,
                                   .cells_max = CASCADE_CELLS_MAX };
  cascade_t *c = mem_zalloc (sizeof *c);

  c->rating_crdt = crdt_create (&options);
  c->cache = mem_zalloc (CASCADE_KEYS_MAX * sizeof *c->cache);
  for (int age = 0; age <= CASCADE_EPOCHS; age++)
    c->epoch_decay[age]
        = exp2 (-(double)age * CASCADE_EPOCH_MS / QUALITY_HALF_LIFE_MS);
  return c;
}

void
cascade_destroy (cascade_t *c)
{
  if (c == NULL)
    return;
  crdt_destroy (c->rating_crdt);
  free (c->cache);
  free (c);
}

/* Return the hash that identifies the curve of the versions FIRST and SECOND,
   or of FIRST alone when SECOND is STR_NULL.  */
static uint64_t
curve_hash (str_t task, str_t first, str_t second)
{
  return str_hash (second, quality_series_hash (task, first));
}

static uint64_t
bin_hash (uint64_t curve, size_t bin)
{
  return curve ^ ((bin + 1) * 0x9e3779b97f4a7c15u);
}

static size_t
bin_of (double rating)
{
  double position = fmax (0, fmin (1, rating)) * CASCADE_BINS;

  return position < CASCADE_BINS ? (size_t)position : CASCADE_BINS - 1;
}

static void
record_rating (cascade_t *c, uint64_t curve, double rating, bool is_first,
               double audit, uint64_t now_ms)
{
  int64_t sample[FIELDS] = { 0 };

  if (isnan (rating))
    return;
  sample[FIELD_FIRST_RATING_COUNT] = is_first;
  if (!isnan (audit))
    {
      double clipped = fmax (0, fmin (1, audit));
      sample[FIELD_AUDIT_COUNT] = 1;
      sample[FIELD_AUDIT_SUM] = crdt_to_fixed_point (clipped);
      sample[FIELD_AUDIT_SQUARES] = crdt_to_fixed_point (clipped * clipped);
    }
  int key = crdt_key_find_or_add (c->rating_crdt,
                                  bin_hash (curve, bin_of (rating)));
  crdt_add (c->rating_crdt, key, now_ms, sample);
}

void
cascade_record_first (cascade_t *c, str_t task, str_t first, double rating,
                      double second_rating, uint64_t now_ms)
{
  record_rating (c, curve_hash (task, first, STR_NULL), rating, true,
                 second_rating, now_ms);
}

void
cascade_record_second (cascade_t *c, str_t task, str_t first, str_t second,
                       double rating, double second_rating, uint64_t now_ms)
{
  if (!isnan (second_rating))
    record_rating (c, curve_hash (task, first, second), rating, false,
                   second_rating, now_ms);
}

static void
compute_sums (const cascade_t *c, int key, uint64_t now_ms,
              decayed_sums_t *out)
{
  uint64_t now_epoch = crdt_epoch_at (c->rating_crdt, now_ms);
  uint64_t last = crdt_last_epoch (c->rating_crdt);

  *out
      = (decayed_sums_t){ .is_filled = true,
                          .computed_ms = now_ms,
                          .change_count = crdt_change_count (c->rating_crdt) };
  for (uint64_t epoch = crdt_first_epoch (c->rating_crdt); epoch <= last;
       epoch++)
    {
      const int64_t *sums = crdt_sums (c->rating_crdt, key, epoch);
      if (sums == NULL)
        continue;
      uint64_t age = now_epoch > epoch ? now_epoch - epoch : 0;
      double decay
          = c->epoch_decay[age < CASCADE_EPOCHS ? age : CASCADE_EPOCHS];
      out->first_rating_count
          += decay * (double)sums[FIELD_FIRST_RATING_COUNT];
      out->audit_count += decay * (double)sums[FIELD_AUDIT_COUNT];
      out->audit_sum
          += decay * (double)sums[FIELD_AUDIT_SUM] / CRDT_FIXED_POINT_ONE;
      out->audit_square_sum
          += decay * (double)sums[FIELD_AUDIT_SQUARES] / CRDT_FIXED_POINT_ONE;
    }
}

/* Return the decayed sums of KEY.  The sums are recomputed when a rating was
   added or merged and the sums are older than CACHE_MS, and after a quarter of
   an epoch in any case.  */
static const decayed_sums_t *
get_sums (cascade_t *c, int key, uint64_t now_ms)
{
  static const decayed_sums_t none = { 0 };

  if (key < 0)
    return &none;
  decayed_sums_t *cache = &c->cache[key];
  bool is_stale = now_ms - cache->computed_ms >= CACHE_MS
                  && (cache->change_count != crdt_change_count (c->rating_crdt)
                      || now_ms - cache->computed_ms >= CASCADE_EPOCH_MS / 4);
  if (!cache->is_filled || now_ms < cache->computed_ms || is_stale)
    compute_sums (c, key, now_ms, cache);
  return cache;
}

static void
compute_curve (cascade_t *c, uint64_t hash, uint64_t now_ms, curve_t *curve)
{
  curve->first_rating_count = 0;
  curve->audit_count = 0;
  curve->audit_sum = 0;
  for (size_t b = 0; b < CASCADE_BINS; b++)
    {
      int key = crdt_key_find (c->rating_crdt, bin_hash (hash, b));
      curve->bins[b] = *get_sums (c, key, now_ms);
      curve->first_rating_count += curve->bins[b].first_rating_count;
      curve->audit_count += curve->bins[b].audit_count;
      curve->audit_sum += curve->bins[b].audit_sum;
    }
}

static double
bin_center (size_t bin)
{
  return ((double)bin + 0.5) / CASCADE_BINS;
}

/* Return the variance of the audit ratings around the mean of their bin,
   pooled over the bins.  Within a bin audits vary far less than over all
   bins.  */
static double
pooled_variance (const curve_t *curve)
{
  double squared_deviations = QUALITY_PRIOR_WEIGHT * QUALITY_PRIOR_VARIANCE;

  for (size_t b = 0; b < CASCADE_BINS; b++)
    {
      const decayed_sums_t *bin = &curve->bins[b];
      if (bin->audit_count > 0)
        squared_deviations += fmax (0, bin->audit_square_sum
                                           - bin->audit_sum * bin->audit_sum
                                                 / bin->audit_count);
    }
  return squared_deviations / (QUALITY_PRIOR_WEIGHT + curve->audit_count);
}

/* Regression line of the audit rating on the first rating, fitted to the means
   of the bins.  The slope is the share of the variance of a rating that comes
   from the answer and not from noise; the prior is a half.  */
typedef struct
{
  double mean_rating; /* Mean first rating of the audited answers.  */
  double mean_audit;  /* Expected audit rating at MEAN_RATING.  */
  double slope;
} regression_t;

static regression_t
fit_line (const curve_t *curve, double mean)
{
  double weight = QUALITY_PRIOR_WEIGHT + curve->audit_count;
  regression_t line
      = { .mean_rating = QUALITY_PRIOR_WEIGHT * mean,
          .mean_audit
          = (QUALITY_PRIOR_WEIGHT * mean + curve->audit_sum) / weight };
  double cross_product_sum = SLOPE_PRIOR_WEIGHT * QUALITY_PRIOR_VARIANCE * 0.5;
  double square_sum = SLOPE_PRIOR_WEIGHT * QUALITY_PRIOR_VARIANCE;

  for (size_t b = 0; b < CASCADE_BINS; b++)
    line.mean_rating += curve->bins[b].audit_count * bin_center (b);
  line.mean_rating /= weight;
  for (size_t b = 0; b < CASCADE_BINS; b++)
    {
      const decayed_sums_t *bin = &curve->bins[b];
      double x = bin_center (b) - line.mean_rating;
      cross_product_sum
          += x * (bin->audit_sum - bin->audit_count * line.mean_audit);
      square_sum += x * x * bin->audit_count;
    }
  line.slope = fmax (0, fmin (1, cross_product_sum / square_sum));
  return line;
}

/* Store in OUT, by bin of the first rating, the posterior quality of the first
   version's answers.  */
static void
compute_first_posteriors (const curve_t *curve, double mean,
                          quality_posterior_t *out)
{
  regression_t line = fit_line (curve, mean);
  double variance = pooled_variance (curve);

  for (size_t b = 0; b < CASCADE_BINS; b++)
    {
      const decayed_sums_t *bin = &curve->bins[b];
      double prior
          = line.mean_audit + line.slope * (bin_center (b) - line.mean_rating);
      out[b] = quality_posterior (bin->audit_count, bin->audit_sum,
                                  bin->audit_square_sum,
                                  fmax (0, fmin (1, prior)), variance);
    }
}

/* Expected result of a cascade with a given threshold.  */
typedef struct
{
  double mean;            /* Expected rating.  */
  double lower;           /* Lower bound of the expected rating.  */
  double escalated_share; /* Share of the requests that escalate.  */
} outcome_t;

static outcome_t
compute_outcome (const curve_t *first, const quality_posterior_t *first_bins,
                 const quality_posterior_t *second_bins, size_t threshold_bin)
{
  double mean = 0;
  double mean_of_squares = 0;
  double variance = 0;
  double escalated = 0;

  for (size_t b = 0; b < CASCADE_BINS; b++)
    {
      const quality_posterior_t *q
          = b < threshold_bin ? &second_bins[b] : &first_bins[b];
      double share
          = first->bins[b].first_rating_count / first->first_rating_count;
      double error = (q->mean - q->lower) / QUALITY_Z_ONE_SIDED_95;
      mean += share * q->mean;
      mean_of_squares += share * q->mean * q->mean;
      variance += share * share * error * error;
      escalated += b < threshold_bin ? share : 0;
    }
  /* The share of each bin is an estimate, whose error adds to the variance. */
  variance
      += fmax (0, mean_of_squares - mean * mean) / first->first_rating_count;
  return (outcome_t){ mean, mean - QUALITY_Z_ONE_SIDED_95 * sqrt (variance),
                      escalated };
}

/* A request to plan for, and values derived from the request.  */
typedef struct
{
  cascade_t *cascade;
  const cascade_request_t *request;
  uint64_t now_ms;
  size_t candidate_count; /* Number of candidates that are considered, at most
                             CASCADE_CANDIDATES_MAX.  */
  double time_budget_ms;  /* Time that a plan may take in total.  */
  size_t strongest; /* Index of the strongest candidate; SIZE_MAX if none is in
                       time.  */
} planning_t;

static const cascade_candidate_t *
candidate_at (const planning_t *d, size_t index)
{
  return &d->request->candidates[index];
}

static double
audit_share (double audit_count)
{
  return fmax (CASCADE_AUDIT_SHARE_MIN,
               CASCADE_AUDIT_SHARE_MAX
                   / (1 + audit_count / AUDIT_HALVING_COUNT));
}

/* Return whether the answer of FIRST, its rating and the answer of SECOND fit
   in the time of the request.  */
static bool
is_pair_in_time (const planning_t *d, size_t first, size_t second)
{
  const cascade_request_t *r = d->request;
  double first_rated_ms
      = candidate_at (d, first)->latency_ms + r->rating_latency_ms;

  return r->is_rater_available
         && (!r->is_streaming || first_rated_ms <= (double)r->first_byte_ms)
         && first_rated_ms + candidate_at (d, second)->latency_ms
                <= d->time_budget_ms;
}

/* Store in OUT, by bin of the first rating, the posterior quality of the
   second version's answers.  MEAN is the mean rating of the second
   version.  */
static void
compute_second_posteriors (const curve_t *second_curve,
                           const quality_posterior_t *first_bins, double mean,
                           quality_posterior_t *out)
{
  double variance = pooled_variance (second_curve);

  for (size_t b = 0; b < CASCADE_BINS; b++)
    {
      const decayed_sums_t *bin = &second_curve->bins[b];
      /* The prior assumes that requests that are hard for the cheap version
         are harder than the average for the strong version too.  */
      double prior = fmin (mean, 0.5 * (mean + first_bins[b].mean));
      prior = (QUALITY_PRIOR_WEIGHT * prior + second_curve->audit_sum)
              / (QUALITY_PRIOR_WEIGHT + second_curve->audit_count);
      out[b] = quality_posterior (bin->audit_count, bin->audit_sum,
                                  bin->audit_square_sum, prior, variance);
    }
}

/* The bound of the expected rating that is compared with the target.  */
typedef enum
{
  BOUND_LOWER, /* Lower bound; decides which plans are used.  */
  BOUND_UPPER  /* Upper bound; decides which pairs may be explored.  */
} bound_side_t;

static double
outcome_bound (const outcome_t *outcome, bound_side_t side)
{
  return side == BOUND_LOWER
             ? outcome->lower
             : outcome->mean
                   + UPPER_BOUND_RATIO * (outcome->mean - outcome->lower);
}

/* Store in *PLAN the cascade of FIRST and SECOND with the lowest threshold
   that meets the target.  Return false when no threshold does, or when there
   are too few ratings.  */
static bool
find_pair_plan (const planning_t *d, size_t first, size_t second,
                bound_side_t side, cascade_plan_t *plan)
{
  const cascade_request_t *r = d->request;
  const cascade_candidate_t *a = candidate_at (d, first);
  const cascade_candidate_t *b = candidate_at (d, second);
  quality_posterior_t first_bins[CASCADE_BINS];
  quality_posterior_t second_bins[CASCADE_BINS];
  curve_t first_curve, second_curve;

  compute_curve (d->cascade, curve_hash (r->task, a->version, STR_NULL),
                 d->now_ms, &first_curve);
  if (first_curve.first_rating_count < CURVE_RATINGS_MIN)
    return false;
  compute_curve (d->cascade, curve_hash (r->task, a->version, b->version),
                 d->now_ms, &second_curve);
  compute_first_posteriors (&first_curve, a->quality.mean, first_bins);
  compute_second_posteriors (&second_curve, first_bins, b->quality.mean,
                             second_bins);
  outcome_t previous
      = compute_outcome (&first_curve, first_bins, second_bins, 0);
  for (size_t threshold_bin = 1; threshold_bin < CASCADE_BINS; threshold_bin++)
    {
      outcome_t outcome = compute_outcome (&first_curve, first_bins,
                                           second_bins, threshold_bin);
      double bound = outcome_bound (&outcome, side);
      double previous_bound = outcome_bound (&previous, side);
      if (bound < r->target)
        {
          previous = outcome;
          continue;
        }
      double upper_edge_probability
          = previous_bound >= r->target
                ? 0
                : (r->target - previous_bound) / (bound - previous_bound);
      double escalated
          = previous.escalated_share
            + upper_edge_probability
                  * (outcome.escalated_share - previous.escalated_share);
      double audit = audit_share (
          fmin (first_curve.audit_count, second_curve.audit_count));
      *plan = (cascade_plan_t){
        .kind = CASCADE_TWO_STAGE,
        .reason = CASCADE_REASON_TWO_STAGE,
        .first = first,
        .second = second,
        .threshold = (double)threshold_bin / CASCADE_BINS,
        .upper_edge_probability = upper_edge_probability,
        .cost = a->cost + r->rating_cost * (1 + audit)
                + escalated * (b->cost + audit * r->rating_cost),
        .latency_ms
        = a->latency_ms + r->rating_latency_ms + escalated * b->latency_ms,
        .quality = previous.mean
                   + upper_edge_probability * (outcome.mean - previous.mean),
        .quality_lower
        = previous.lower
          + upper_edge_probability * (outcome.lower - previous.lower)
      };
      return true;
    }
  return false;
}

static cascade_plan_t
make_direct_plan (const planning_t *d, size_t index, cascade_reason_t reason)
{
  const cascade_candidate_t *c = candidate_at (d, index);

  return (cascade_plan_t){ .kind = CASCADE_DIRECT,
                           .reason = reason,
                           .first = index,
                           .second = index,
                           .cost = c->cost,
                           .latency_ms = c->latency_ms,
                           .quality = c->quality.mean,
                           .quality_lower = c->quality.lower };
}

/* Return whether plan A is preferred to plan B; both meet the target.  */
static bool
is_preferred (const planning_t *d, const cascade_plan_t *a,
              const cascade_plan_t *b)
{
  bool prefers_latency = d->request->preference == CASCADE_PREFER_LATENCY;

  if (prefers_latency && a->latency_ms != b->latency_ms)
    return a->latency_ms < b->latency_ms;
  if (a->cost != b->cost)
    return a->cost < b->cost;
  return a->latency_ms < b->latency_ms;
}

/* Return whether A counts as stronger than B, by the upper bound of their
   quality and then by cost.  With the mean, a good version with many ratings
   would permanently rank above a better one without ratings; by its upper
   bound the version without ratings is tried.  */
static bool
is_stronger (const cascade_candidate_t *a, const cascade_candidate_t *b)
{
  if (a->quality.upper != b->quality.upper)
    return a->quality.upper > b->quality.upper;
  return a->cost > b->cost;
}

/* Return the index of the strongest candidate that answers in time, or
   SIZE_MAX if there is none.  */
static size_t
find_strongest (const planning_t *d)
{
  size_t best = SIZE_MAX;

  for (size_t i = 0; i < d->candidate_count; i++)
    if (candidate_at (d, i)->latency_ms <= d->time_budget_ms
        && (best == SIZE_MAX
            || is_stronger (candidate_at (d, i), candidate_at (d, best))))
      best = i;
  return best;
}

static size_t
find_fastest (const planning_t *d)
{
  size_t best = 0;

  for (size_t i = 1; i < d->candidate_count; i++)
    if (candidate_at (d, i)->latency_ms < candidate_at (d, best)->latency_ms)
      best = i;
  return best;
}

/* Return whether a cascade of any two candidates, the cheaper one first, is
   possible in the time of the request.  Otherwise store the reason in
   *OBSTACLE.  */
static bool
has_pair_in_time (const planning_t *d, cascade_reason_t *obstacle)
{
  for (size_t i = 0; i < d->candidate_count; i++)
    for (size_t j = 0; j < d->candidate_count; j++)
      if (candidate_at (d, i)->cost < candidate_at (d, j)->cost
          && is_pair_in_time (d, i, j))
        return true;
  if (!d->request->is_rater_available)
    *obstacle = CASCADE_REASON_RATER_DOWN;
  else if (d->request->is_streaming)
    *obstacle = CASCADE_REASON_STREAMING;
  else
    *obstacle = CASCADE_REASON_DEADLINE;
  return false;
}

/* Store in *BEST the cheapest (or fastest) plan whose lower bound meets the
   target.  Return false when there is none.  */
static bool
find_best_plan (const planning_t *d, cascade_plan_t *best)
{
  bool prefers_latency = d->request->preference == CASCADE_PREFER_LATENCY;
  cascade_reason_t reason
      = prefers_latency ? CASCADE_REASON_FASTEST : CASCADE_REASON_CHEAPEST;
  bool found = false;

  for (size_t i = 0; i < d->candidate_count; i++)
    {
      const cascade_candidate_t *c = candidate_at (d, i);
      cascade_plan_t plan = make_direct_plan (d, i, reason);
      if (c->quality.lower < d->request->target
          || c->latency_ms > d->time_budget_ms)
        continue;
      if (!found || is_preferred (d, &plan, best))
        *best = plan;
      found = true;
    }
  for (size_t i = 0; i < d->candidate_count; i++)
    for (size_t j = 0; j < d->candidate_count; j++)
      {
        cascade_plan_t plan;
        if (candidate_at (d, i)->cost >= candidate_at (d, j)->cost
            || !is_pair_in_time (d, i, j)
            || !find_pair_plan (d, i, j, BOUND_LOWER, &plan)
            || (found && !is_preferred (d, &plan, best)))
          continue;
        *best = plan;
        found = true;
      }
  return found;
}

/* Return whether more ratings of the pair FIRST and SECOND may lead to a plan
   that is clearly preferred to BEST: by its upper bound the pair would be
   preferred, or the pair has too few ratings.  BEST is NULL if no plan meets
   the target.  */
static bool
is_promising (const planning_t *d, size_t first, size_t second,
              const cascade_plan_t *best)
{
  cascade_plan_t plan;
  curve_t first_curve;

  compute_curve (d->cascade,
                 curve_hash (d->request->task,
                             candidate_at (d, first)->version, STR_NULL),
                 d->now_ms, &first_curve);
  if (best == NULL || first_curve.first_rating_count < CURVE_RATINGS_MIN)
    return true;
  /* The plan in use already provides ratings of its pair of versions.  */
  if (best->kind == CASCADE_TWO_STAGE && best->first == first
      && best->second == second)
    return false;
  if (!find_pair_plan (d, first, second, BOUND_UPPER, &plan))
    return false;
  if (d->request->preference == CASCADE_PREFER_LATENCY)
    return plan.latency_ms < PROMISING_RATIO_MAX * best->latency_ms;
  return plan.cost < PROMISING_RATIO_MAX * best->cost;
}

/* Return whether the pair FIRST and SECOND may be explored: SECOND is the
   strongest candidate or meets the target, and the time allows the pair.  */
static bool
may_explore (const planning_t *d, size_t first, size_t second)
{
  const cascade_candidate_t *b = candidate_at (d, second);

  return (second == d->strongest || b->quality.lower >= d->request->target)
         && candidate_at (d, first)->cost < b->cost
         && is_pair_in_time (d, first, second);
}

/* Return the share of the answers of FIRST whose rating is below the target; 1
   when there are too few ratings.  */
static double
share_below_target (const planning_t *d, size_t first)
{
  size_t target_bin = bin_of (d->request->target);
  double below_count = 0;
  curve_t first_curve;

  compute_curve (d->cascade,
                 curve_hash (d->request->task,
                             candidate_at (d, first)->version, STR_NULL),
                 d->now_ms, &first_curve);
  if (first_curve.first_rating_count < CURVE_RATINGS_MIN)
    return 1;
  for (size_t b = 0; b <= target_bin; b++)
    below_count += first_curve.bins[b].first_rating_count;
  return below_count / first_curve.first_rating_count;
}

/* Store an exploring plan in *PLAN: a cascade of a cheaper version and a more
   expensive one, which is the strongest or meets the target.  The pair is
   drawn uniformly from the promising pairs, and sometimes from all pairs.
   Return false when there is no such pair.  */
static bool
make_exploring_plan (const planning_t *d, rng_t *rng,
                     const cascade_plan_t *best, cascade_plan_t *plan)
{
  bool any_pair = rng_below (rng, EXPLORE_ANY_PAIR_INTERVAL) == 0;
  size_t pair_count = 0;

  for (size_t i = 0; i < d->candidate_count; i++)
    for (size_t j = 0; j < d->candidate_count; j++)
      {
        if (!may_explore (d, i, j)
            || (!any_pair && !is_promising (d, i, j, best))
            || rng_below (rng, ++pair_count) != 0)
          continue;
        *plan = make_direct_plan (d, i, CASCADE_REASON_EXPLORE);
        plan->kind = CASCADE_TWO_STAGE;
        plan->second = j;
        plan->threshold = d->request->target;
        plan->upper_edge_probability = 1;
        plan->is_audited = true;
        plan->cost
            += 2 * d->request->rating_cost
               + share_below_target (d, i)
                     * (candidate_at (d, j)->cost + d->request->rating_cost);
        plan->latency_ms
            += d->request->rating_latency_ms + candidate_at (d, j)->latency_ms;
      }
  if (pair_count > 0 && rng_below (rng, EXPLORE_DIRECT_INTERVAL) == 0)
    {
      *plan = make_direct_plan (d, d->strongest, CASCADE_REASON_EXPLORE);
      plan->is_audited = true;
    }
  return pair_count > 0;
}

/* Return the probability with which PLAN, an exploring plan, replaces BEST, so
   that exploration adds at most its share to the average cost.  */
static double
explore_probability (const planning_t *d, const cascade_plan_t *plan,
                     const cascade_plan_t *best)
{
  double extra = plan->cost - best->cost;

  if (extra <= 0)
    return 1;
  return d->request->explore_cost_share * best->cost / extra
         / EXPLORE_SHARE_MAX;
}

/* Draw the threshold of PLAN from the two edges of its bin, with the
   probability that meets the target.  Ratings may have few distinct values, so
   a threshold inside the bin could escalate either all or none of the bin.  */
static void
draw_threshold (rng_t *rng, cascade_plan_t *plan)
{
  if (rng_double (rng) >= plan->upper_edge_probability)
    plan->threshold -= 1.0 / CASCADE_BINS;
}

/* Return, at random, whether PLAN, which is a cascade, is audited.  */
static bool
draw_audit (const planning_t *d, rng_t *rng, const cascade_plan_t *plan)
{
  const cascade_request_t *r = d->request;
  str_t first = candidate_at (d, plan->first)->version;
  str_t second = candidate_at (d, plan->second)->version;
  curve_t first_curve, second_curve;

  compute_curve (d->cascade, curve_hash (r->task, first, STR_NULL), d->now_ms,
                 &first_curve);
  compute_curve (d->cascade, curve_hash (r->task, first, second), d->now_ms,
                 &second_curve);
  return rng_double (rng) < audit_share (
             fmin (first_curve.audit_count, second_curve.audit_count));
}

static cascade_plan_t
make_plan (const planning_t *d, rng_t *rng)
{
  const cascade_request_t *r = d->request;
  cascade_reason_t obstacle = CASCADE_REASON_NO_BOUND;
  cascade_plan_t plan;

  if (d->candidate_count == 0)
    return (cascade_plan_t){ .kind = CASCADE_NONE,
                             .reason = CASCADE_REASON_NO_CANDIDATE };
  if (d->candidate_count == 1)
    return make_direct_plan (d, 0, CASCADE_REASON_SINGLE_VERSION);
  if (d->strongest == SIZE_MAX)
    return make_direct_plan (d, find_fastest (d), CASCADE_REASON_TOO_LATE);
  bool can_escalate = has_pair_in_time (d, &obstacle);
  cascade_plan_t best;
  bool found = find_best_plan (d, &best);
  if (!found)
    {
      best = make_direct_plan (
          d, d->strongest, can_escalate ? CASCADE_REASON_NO_BOUND : obstacle);
      best.is_audited = candidate_at (d, d->strongest)->quality.weight
                        < WELL_KNOWN_RATINGS;
    }
  if (can_escalate && r->explore_cost_share > 0
      && rng_double (rng) < EXPLORE_SHARE_MAX
      && make_exploring_plan (d, rng, found ? &best : NULL, &plan)
      && rng_double (rng) < explore_probability (d, &plan, &best))
    return plan;
  plan = best;
  if (plan.kind == CASCADE_TWO_STAGE)
    {
      plan.is_audited = draw_audit (d, rng, &plan);
      draw_threshold (rng, &plan);
    }
  return plan;
}

cascade_plan_t
cascade_plan (cascade_t *c, rng_t *rng, const cascade_request_t *request,
              uint64_t now_ms)
{
  planning_t d
      = { .cascade = c,
          .request = request,
          .now_ms = now_ms,
          .candidate_count = request->candidate_count < CASCADE_CANDIDATES_MAX
                                 ? request->candidate_count
                                 : CASCADE_CANDIDATES_MAX,
          .time_budget_ms
          = (double)request->deadline_left_ms * CASCADE_DEADLINE_SHARE };

  crdt_advance (c->rating_crdt, now_ms);
  d.strongest = find_strongest (&d);
  cascade_plan_t plan = make_plan (&d, rng);
  c->plan_counts[plan.reason]++;
  return plan;
}

void
cascade_compact (cascade_t *c, uint64_t generation, uint64_t now_ms)
{
  uint64_t now_epoch = crdt_epoch_at (c->rating_crdt, now_ms);
  uint64_t epoch = crdt_first_epoch (c->rating_crdt);

  for (; epoch + 2 <= now_epoch; epoch++)
    crdt_compact (c->rating_crdt, epoch, generation);
}

void
cascade_write (const cascade_t *c, bool own_only, buf_t *out)
{
  crdt_write (c->rating_crdt, own_only, out);
}

vh_code_t
cascade_merge (cascade_t *c, str_t bytes, uint64_t now_ms)
{
  return crdt_merge (c->rating_crdt, bytes, now_ms);
}

static const struct
{
  const char *code;
  const char *sentence;
} reason_info[] = {
#define X(symbol, code, sentence) { code, sentence },
  CASCADE_REASONS (X)
#undef X
};

const char *
cascade_reason_code (cascade_reason_t reason)
{
  return reason_info[reason].code;
}

const char *
cascade_reason_sentence (cascade_reason_t reason)
{
  return reason_info[reason].sentence;
}

uint64_t
cascade_reason_count (const cascade_t *c, cascade_reason_t reason)
{
  return c->plan_counts[reason];
}
