#include "policy/cascade.h"

#include "base/mem.h"
#include "policy/crdt.h"

#include <math.h>
#include <stdlib.h>

enum
{
  /* Fields of a cell, after the count of additions.  */
  FIELD_FIRST = 1, /* First ratings that fell in the bin.  */
  FIELD_RATED,     /* Audits, of the first or of the second answer.  */
  FIELD_SUM,
  FIELD_SQUARES,
  FIELDS,
  CACHE_MS = 1000,
  /* Ratings before the strongest version's answers need no rating each: what
     was tried for its upper bound must be known soon.  */
  KNOWN_MIN = 50,
  /* First ratings before a curve is believed: below, the share of one bin is
     known no better than to 0.1 or so.  */
  FIRST_MIN = 60,
  /* Audits in a pair at which their share has halved.  */
  AUDIT_HALF = 1500,
  /* Uniform ratings whose worth the slope of one half has before audits.  */
  SLOPE_WEIGHT = 10,
  /* One exploring plan in so many runs the strongest version alone, so that
     its own quality stays known while cascades take all traffic.  */
  EXPLORE_DIRECT_PART = 8,
  /* One in so many tries any pair, promising or not: a mean that was unlucky
     once is corrected.  */
  EXPLORE_ANY_PART = 8
};

/* Share of the requests that explore at most, whatever it costs.  */
#define EXPLORE_SHARE_MAX 0.25

/* What a pair must promise against the plan in use to be explored: a gain of
   a twentieth is about what exploring costs.  */
#define PROMISE_PART 0.95
/* The upper bound in half widths of the lower one, about 99.9%: a pair whose
   first ratings were unlucky is looked at again.  */
#define UPPER_PART 2.0

typedef struct
{
  bool filled;
  uint64_t at_ms;
  uint64_t changes;
  double first;
  double rated;
  double sum;
  double squares;
} sums_t;

struct cascade
{
  crdt_t *evidence;
  sums_t *cache; /* By key index.  */
  double decay[CASCADE_EPOCHS + 1];
  uint64_t reasons[CASCADE_REASON_COUNT];
};

/* What is known of one cheap version, or of a pair, by bin of the first
   rating.  */
typedef struct
{
  sums_t bins[CASCADE_BINS];
  double first;
  double rated;
  double sum;
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

  c->evidence = crdt_create (&options);
  c->cache = mem_zalloc (CASCADE_KEYS_MAX * sizeof *c->cache);
  for (int age = 0; age <= CASCADE_EPOCHS; age++)
    c->decay[age]
        = exp2 (-(double)age * CASCADE_EPOCH_MS / QUALITY_HALF_LIFE_MS);
  return c;
}

void
cascade_destroy (cascade_t *c)
{
  if (c == NULL)
    return;
  crdt_destroy (c->evidence);
  free (c->cache);
  free (c);
}

/* Hash of a curve; SECOND is STR_NULL for the first version's own.  */
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
  double at = fmax (0, fmin (1, rating)) * CASCADE_BINS;

  return at < CASCADE_BINS ? (size_t)at : CASCADE_BINS - 1;
}

static void
learn (cascade_t *c, uint64_t curve, double rating, bool is_first,
       double audit, uint64_t now_ms)
{
  int64_t sample[FIELDS] = { 0 };

  if (isnan (rating))
    return;
  sample[FIELD_FIRST] = is_first;
  if (!isnan (audit))
    {
      double value = fmax (0, fmin (1, audit));
      sample[FIELD_RATED] = 1;
      sample[FIELD_SUM] = crdt_to_fixed_point (value);
      sample[FIELD_SQUARES] = crdt_to_fixed_point (value * value);
    }
  int key
      = crdt_key_find_or_add (c->evidence, bin_hash (curve, bin_of (rating)));
  crdt_add (c->evidence, key, now_ms, sample);
}

void
cascade_record_first (cascade_t *c, str_t task, str_t first, double rating,
                      double second_rating, uint64_t now_ms)
{
  learn (c, curve_hash (task, first, STR_NULL), rating, true, second_rating,
         now_ms);
}

void
cascade_record_second (cascade_t *c, str_t task, str_t first, str_t second,
                       double rating, double second_rating, uint64_t now_ms)
{
  if (!isnan (second_rating))
    learn (c, curve_hash (task, first, second), rating, false, second_rating,
           now_ms);
}

static void
sums_fill (const cascade_t *c, int key, uint64_t now_ms, sums_t *out)
{
  uint64_t now_epoch = crdt_epoch_at (c->evidence, now_ms);
  uint64_t last = crdt_last_epoch (c->evidence);

  *out = (sums_t){ .filled = true,
                   .at_ms = now_ms,
                   .changes = crdt_change_count (c->evidence) };
  for (uint64_t epoch = crdt_first_epoch (c->evidence); epoch <= last; epoch++)
    {
      const int64_t *sums = crdt_sums (c->evidence, key, epoch);
      if (sums == NULL)
        continue;
      uint64_t age = now_epoch > epoch ? now_epoch - epoch : 0;
      double decay = c->decay[age < CASCADE_EPOCHS ? age : CASCADE_EPOCHS];
      out->first += decay * (double)sums[FIELD_FIRST];
      out->rated += decay * (double)sums[FIELD_RATED];
      out->sum += decay * (double)sums[FIELD_SUM] / CRDT_FIXED_POINT_ONE;
      out->squares
          += decay * (double)sums[FIELD_SQUARES] / CRDT_FIXED_POINT_ONE;
    }
}

/* Return the decayed sums under KEY, at most CACHE_MS old.  */
static const sums_t *
sums_get (cascade_t *c, int key, uint64_t now_ms)
{
  static const sums_t none = { 0 };

  if (key < 0)
    return &none;
  sums_t *cache = &c->cache[key];
  bool old = now_ms - cache->at_ms >= CACHE_MS
             && (cache->changes != crdt_change_count (c->evidence)
                 || now_ms - cache->at_ms >= CASCADE_EPOCH_MS / 4);
  if (!cache->filled || now_ms < cache->at_ms || old)
    sums_fill (c, key, now_ms, cache);
  return cache;
}

static void
curve_load (cascade_t *c, uint64_t hash, uint64_t now_ms, curve_t *curve)
{
  curve->first = 0;
  curve->rated = 0;
  curve->sum = 0;
  for (size_t b = 0; b < CASCADE_BINS; b++)
    {
      int key = crdt_key_find (c->evidence, bin_hash (hash, b));
      curve->bins[b] = *sums_get (c, key, now_ms);
      curve->first += curve->bins[b].first;
      curve->rated += curve->bins[b].rated;
      curve->sum += curve->bins[b].sum;
    }
}

static double
bin_middle (size_t bin)
{
  return ((double)bin + 0.5) / CASCADE_BINS;
}

/* Variance of one rating around its bin's mean, pooled over the bins: inside
   a bin ratings differ far less than over all.  */
static double
pooled_variance (const curve_t *curve)
{
  double spread = QUALITY_PRIOR_WEIGHT * QUALITY_PRIOR_VARIANCE;

  for (size_t b = 0; b < CASCADE_BINS; b++)
    {
      const sums_t *bin = &curve->bins[b];
      if (bin->rated > 0)
        spread += fmax (0, bin->squares - bin->sum * bin->sum / bin->rated);
    }
  return spread / (QUALITY_PRIOR_WEIGHT + curve->rated);
}

/* How an audit depends on the first rating: a line through the bins' means.
   Its slope is how much of a rating says something of the answer, the rest
   being noise; before evidence a half.  */
typedef struct
{
  double middle; /* Mean first rating of the audited answers.  */
  double level;  /* Expected audit there.  */
  double slope;
} line_t;

static line_t
fit_line (const curve_t *curve, double mean)
{
  double weight = QUALITY_PRIOR_WEIGHT + curve->rated;
  line_t line
      = { .middle = QUALITY_PRIOR_WEIGHT * mean,
          .level = (QUALITY_PRIOR_WEIGHT * mean + curve->sum) / weight };
  double products = SLOPE_WEIGHT * QUALITY_PRIOR_VARIANCE * 0.5;
  double squares = SLOPE_WEIGHT * QUALITY_PRIOR_VARIANCE;

  for (size_t b = 0; b < CASCADE_BINS; b++)
    line.middle += curve->bins[b].rated * bin_middle (b);
  line.middle /= weight;
  for (size_t b = 0; b < CASCADE_BINS; b++)
    {
      const sums_t *bin = &curve->bins[b];
      double x = bin_middle (b) - line.middle;
      products += x * (bin->sum - bin->rated * line.level);
      squares += x * x * bin->rated;
    }
  line.slope = fmax (0, fmin (1, products / squares));
  return line;
}

/* Posterior of the first version's answers, by bin of their rating.  */
static void
first_posteriors (const curve_t *curve, double mean, quality_bound_t *out)
{
  line_t line = fit_line (curve, mean);
  double variance = pooled_variance (curve);

  for (size_t b = 0; b < CASCADE_BINS; b++)
    {
      const sums_t *bin = &curve->bins[b];
      double prior = line.level + line.slope * (bin_middle (b) - line.middle);
      out[b] = quality_posterior (bin->rated, bin->sum, bin->squares,
                                  fmax (0, fmin (1, prior)), variance);
    }
}

/* Expected quality and lower bound when bins below T escalate.  */
typedef struct
{
  double mean;
  double lower;
  double escalated; /* Share.  */
} outcome_t;

static outcome_t
outcome_at (const curve_t *first, const quality_bound_t *first_bins,
            const quality_bound_t *second_bins, size_t t)
{
  double mean = 0;
  double square = 0;
  double variance = 0;
  double escalated = 0;

  for (size_t b = 0; b < CASCADE_BINS; b++)
    {
      const quality_bound_t *q = b < t ? &second_bins[b] : &first_bins[b];
      double share = first->bins[b].first / first->first;
      double error = (q->mean - q->lower) / QUALITY_Z_ONE_SIDED_95;
      mean += share * q->mean;
      square += share * q->mean * q->mean;
      variance += share * share * error * error;
      escalated += b < t ? share : 0;
    }
  /* The shares of the bins are themselves estimates.  */
  variance += fmax (0, square - mean * mean) / first->first;
  return (outcome_t){ mean, mean - QUALITY_Z_ONE_SIDED_95 * sqrt (variance),
                      escalated };
}

/* The request under decision, with what was derived from it.  */
typedef struct
{
  cascade_t *cascade;
  const cascade_request_t *request;
  uint64_t now_ms;
  size_t count;
  double room_ms;
  size_t strongest;
} decision_t;

static const cascade_candidate_t *
candidate (const decision_t *d, size_t index)
{
  return &d->request->candidates[index];
}

static double
audit_share (double audited)
{
  return fmax (CASCADE_AUDIT_SHARE_MIN,
               CASCADE_AUDIT_SHARE_MAX / (1 + audited / AUDIT_HALF));
}

/* Tell whether FIRST, its rating and SECOND fit.  */
static bool
pair_fits (const decision_t *d, size_t first, size_t second)
{
  const cascade_request_t *r = d->request;
  double rated_ms = candidate (d, first)->latency_ms + r->rating_latency_ms;

  return r->rater_ok && (!r->streaming || rated_ms <= (double)r->first_byte_ms)
         && rated_ms + candidate (d, second)->latency_ms <= d->room_ms;
}

/* Posterior of the second version's answers, by bin of the first rating.  */
static void
second_posteriors (const curve_t *pair, const quality_bound_t *first_bins,
                   double mean, quality_bound_t *out)
{
  double variance = pooled_variance (pair);

  for (size_t b = 0; b < CASCADE_BINS; b++)
    {
      const sums_t *bin = &pair->bins[b];
      /* Before evidence: what the cheap version finds hard is harder than
         the average for the strong one too.  */
      double prior = fmin (mean, 0.5 * (mean + first_bins[b].mean));
      prior = (QUALITY_PRIOR_WEIGHT * prior + pair->sum)
              / (QUALITY_PRIOR_WEIGHT + pair->rated);
      out[b] = quality_posterior (bin->rated, bin->sum, bin->squares, prior,
                                  variance);
    }
}

/* What a plan must show to meet the target.  */
typedef enum
{
  JUDGE_LOWER, /* Its lower bound: for callers.  */
  JUDGE_UPPER  /* Its upper bound: for what is worth exploring.  */
} judge_t;

static double
judged (const outcome_t *outcome, judge_t judge)
{
  return judge == JUDGE_LOWER
             ? outcome->lower
             : outcome->mean + UPPER_PART * (outcome->mean - outcome->lower);
}

/* Find the lowest threshold at which FIRST then SECOND meets the target.
   Return false when there is none, or too little is known.  */
static bool
pair_plan (const decision_t *d, size_t first, size_t second, judge_t judge,
           cascade_plan_t *plan)
{
  const cascade_request_t *r = d->request;
  const cascade_candidate_t *a = candidate (d, first);
  const cascade_candidate_t *b = candidate (d, second);
  quality_bound_t first_bins[CASCADE_BINS];
  quality_bound_t second_bins[CASCADE_BINS];
  curve_t own, pair;

  curve_load (d->cascade, curve_hash (r->task, a->version, STR_NULL),
              d->now_ms, &own);
  if (own.first < FIRST_MIN)
    return false;
  curve_load (d->cascade, curve_hash (r->task, a->version, b->version),
              d->now_ms, &pair);
  first_posteriors (&own, a->quality.mean, first_bins);
  second_posteriors (&pair, first_bins, b->quality.mean, second_bins);
  outcome_t below = outcome_at (&own, first_bins, second_bins, 0);
  for (size_t t = 1; t < CASCADE_BINS; t++)
    {
      outcome_t at = outcome_at (&own, first_bins, second_bins, t);
      double reached = judged (&at, judge);
      double before = judged (&below, judge);
      if (reached < r->target)
        {
          below = at;
          continue;
        }
      double part = before >= r->target
                        ? 0
                        : (r->target - before) / (reached - before);
      double escalated
          = below.escalated + part * (at.escalated - below.escalated);
      double audit = audit_share (fmin (own.rated, pair.rated));
      *plan = (cascade_plan_t){
        .kind = CASCADE_TWO_STAGE,
        .reason = CASCADE_R_TWO_STAGE,
        .first = first,
        .second = second,
        .threshold = (double)t / CASCADE_BINS,
        .whole = part,
        .cost = a->cost + r->rating_cost * (1 + audit)
                + escalated * (b->cost + audit * r->rating_cost),
        .latency_ms
        = a->latency_ms + r->rating_latency_ms + escalated * b->latency_ms,
        .quality = below.mean + part * (at.mean - below.mean),
        .lower = below.lower + part * (at.lower - below.lower)
      };
      return true;
    }
  return false;
}

static cascade_plan_t
direct_plan (const decision_t *d, size_t index, cascade_reason_t reason)
{
  const cascade_candidate_t *c = candidate (d, index);

  return (cascade_plan_t){ .kind = CASCADE_DIRECT,
                           .reason = reason,
                           .first = index,
                           .second = index,
                           .cost = c->cost,
                           .latency_ms = c->latency_ms,
                           .quality = c->quality.mean,
                           .lower = c->quality.lower };
}

/* Tell whether plan A is preferred to plan B; both meet the target.  */
static bool
preferred (const decision_t *d, const cascade_plan_t *a,
           const cascade_plan_t *b)
{
  bool by_latency = d->request->prefer == CASCADE_PREFER_LATENCY;

  if (by_latency && a->latency_ms != b->latency_ms)
    return a->latency_ms < b->latency_ms;
  if (a->cost != b->cost)
    return a->cost < b->cost;
  return a->latency_ms < b->latency_ms;
}

/* Tell whether A may be stronger than B; of equals the dearer one is.  Guards
   against a lock-in at the start: by the mean, a version that was explored
   and did well would stand above a better one that nobody has tried, for
   good.  By the upper bound the untried one is tried.  */
static bool
stronger (const cascade_candidate_t *a, const cascade_candidate_t *b)
{
  if (a->quality.upper != b->quality.upper)
    return a->quality.upper > b->quality.upper;
  return a->cost > b->cost;
}

/* Return the strongest candidate that answers in time, or SIZE_MAX.  */
static size_t
strongest_in_time (const decision_t *d)
{
  size_t best = SIZE_MAX;

  for (size_t i = 0; i < d->count; i++)
    if (candidate (d, i)->latency_ms <= d->room_ms
        && (best == SIZE_MAX
            || stronger (candidate (d, i), candidate (d, best))))
      best = i;
  return best;
}

static size_t
fastest (const decision_t *d)
{
  size_t best = 0;

  for (size_t i = 1; i < d->count; i++)
    if (candidate (d, i)->latency_ms < candidate (d, best)->latency_ms)
      best = i;
  return best;
}

/* Tell whether any cheaper candidate could be tried before another one; when
   not, why.  */
static bool
any_pair_fits (const decision_t *d, cascade_reason_t *why)
{
  for (size_t i = 0; i < d->count; i++)
    for (size_t j = 0; j < d->count; j++)
      if (candidate (d, i)->cost < candidate (d, j)->cost
          && pair_fits (d, i, j))
        return true;
  if (!d->request->rater_ok)
    *why = CASCADE_R_RATER_DOWN;
  else if (d->request->streaming)
    *why = CASCADE_R_STREAMING;
  else
    *why = CASCADE_R_DEADLINE;
  return false;
}

/* The cheapest (or fastest) plan whose lower bound meets the target.  Return
   false when none does.  */
static bool
best_plan (const decision_t *d, cascade_plan_t *best)
{
  bool latency = d->request->prefer == CASCADE_PREFER_LATENCY;
  cascade_reason_t reason = latency ? CASCADE_R_FASTEST : CASCADE_R_CHEAPEST;
  bool found = false;

  for (size_t i = 0; i < d->count; i++)
    {
      const cascade_candidate_t *c = candidate (d, i);
      cascade_plan_t plan = direct_plan (d, i, reason);
      if (c->quality.lower < d->request->target || c->latency_ms > d->room_ms)
        continue;
      if (!found || preferred (d, &plan, best))
        *best = plan;
      found = true;
    }
  for (size_t i = 0; i < d->count; i++)
    for (size_t j = 0; j < d->count; j++)
      {
        cascade_plan_t plan;
        if (candidate (d, i)->cost >= candidate (d, j)->cost
            || !pair_fits (d, i, j) || !pair_plan (d, i, j, JUDGE_LOWER, &plan)
            || (found && !preferred (d, &plan, best)))
          continue;
        *best = plan;
        found = true;
      }
  return found;
}

/* Tell whether more ratings of FIRST before SECOND might make a plan that is
   clearly preferred to BEST (NULL: there is none): by its upper bound it would
   be, or too little is known.  */
static bool
promising (const decision_t *d, size_t first, size_t second,
           const cascade_plan_t *best)
{
  cascade_plan_t plan;
  curve_t own;

  curve_load (
      d->cascade,
      curve_hash (d->request->task, candidate (d, first)->version, STR_NULL),
      d->now_ms, &own);
  if (best == NULL || own.first < FIRST_MIN)
    return true;
  /* The pair in use learns from its own traffic.  */
  if (best->kind == CASCADE_TWO_STAGE && best->first == first
      && best->second == second)
    return false;
  if (!pair_plan (d, first, second, JUDGE_UPPER, &plan))
    return false;
  if (d->request->prefer == CASCADE_PREFER_LATENCY)
    return plan.latency_ms < PROMISE_PART * best->latency_ms;
  return plan.cost < PROMISE_PART * best->cost;
}

/* Tell whether FIRST before SECOND may be explored: the second one is the
   strongest, or meets the target.  */
static bool
may_explore (const decision_t *d, size_t first, size_t second)
{
  const cascade_candidate_t *b = candidate (d, second);

  return (second == d->strongest || b->quality.lower >= d->request->target)
         && candidate (d, first)->cost < b->cost
         && pair_fits (d, first, second);
}

/* Share of FIRST's answers that are rated under the target, all of them while
   little is known.  */
static double
share_below_target (const decision_t *d, size_t first)
{
  size_t edge = bin_of (d->request->target);
  double below = 0;
  curve_t own;

  curve_load (
      d->cascade,
      curve_hash (d->request->task, candidate (d, first)->version, STR_NULL),
      d->now_ms, &own);
  if (own.first < FIRST_MIN)
    return 1;
  for (size_t b = 0; b <= edge; b++)
    below += own.bins[b].first;
  return below / own.first;
}

/* Make an exploring plan: a cheaper version first, the strongest one (or any
   that meets the target) second; one of the promising pairs, each as likely,
   or now and then any.  Return false when none fits.  */
static bool
explore_plan (const decision_t *d, rng_t *rng, const cascade_plan_t *best,
              cascade_plan_t *plan)
{
  bool any = rng_below (rng, EXPLORE_ANY_PART) == 0;
  size_t choices = 0;

  for (size_t i = 0; i < d->count; i++)
    for (size_t j = 0; j < d->count; j++)
      {
        if (!may_explore (d, i, j) || (!any && !promising (d, i, j, best))
            || rng_below (rng, ++choices) != 0)
          continue;
        *plan = direct_plan (d, i, CASCADE_R_EXPLORE);
        plan->kind = CASCADE_TWO_STAGE;
        plan->second = j;
        plan->threshold = d->request->target;
        plan->whole = 1;
        plan->audit = true;
        plan->cost
            += 2 * d->request->rating_cost
               + share_below_target (d, i)
                     * (candidate (d, j)->cost + d->request->rating_cost);
        plan->latency_ms
            += d->request->rating_latency_ms + candidate (d, j)->latency_ms;
      }
  if (choices > 0 && rng_below (rng, EXPLORE_DIRECT_PART) == 0)
    {
      *plan = direct_plan (d, d->strongest, CASCADE_R_EXPLORE);
      plan->audit = true;
    }
  return choices > 0;
}

/* Chance of making the exploring PLAN instead of BEST, once it was drawn, so
   that on average it adds at most the budget's share to the cost.  */
static double
explore_chance (const decision_t *d, const cascade_plan_t *plan,
                const cascade_plan_t *best)
{
  double extra = plan->cost - best->cost;

  if (extra <= 0)
    return 1;
  return d->request->explore * best->cost / extra / EXPLORE_SHARE_MAX;
}

/* Ratings may take few distinct values, so that a threshold inside a bin
   would escalate all of it or none: draw which, in the proportion that meets
   the target.  */
static void
draw_threshold (rng_t *rng, cascade_plan_t *plan)
{
  if (rng_double (rng) >= plan->whole)
    plan->threshold -= 1.0 / CASCADE_BINS;
}

/* Draw whether PLAN, a cascade, is audited.  */
static bool
draw_audit (const decision_t *d, rng_t *rng, const cascade_plan_t *plan)
{
  const cascade_request_t *r = d->request;
  str_t first = candidate (d, plan->first)->version;
  str_t second = candidate (d, plan->second)->version;
  curve_t own, pair;

  curve_load (d->cascade, curve_hash (r->task, first, STR_NULL), d->now_ms,
              &own);
  curve_load (d->cascade, curve_hash (r->task, first, second), d->now_ms,
              &pair);
  return rng_double (rng) < audit_share (fmin (own.rated, pair.rated));
}

static cascade_plan_t
decide (const decision_t *d, rng_t *rng)
{
  const cascade_request_t *r = d->request;
  cascade_reason_t why = CASCADE_R_NO_BOUND;
  cascade_plan_t plan;

  if (d->count == 0)
    return (cascade_plan_t){ .kind = CASCADE_NONE,
                             .reason = CASCADE_R_NO_CANDIDATE };
  if (d->count == 1)
    return direct_plan (d, 0, CASCADE_R_SINGLE_VERSION);
  if (d->strongest == SIZE_MAX)
    return direct_plan (d, fastest (d), CASCADE_R_TOO_LATE);
  bool roomy = any_pair_fits (d, &why);
  cascade_plan_t best;
  bool found = best_plan (d, &best);
  if (!found)
    {
      best = direct_plan (d, d->strongest, roomy ? CASCADE_R_NO_BOUND : why);
      best.audit = candidate (d, d->strongest)->quality.weight < KNOWN_MIN;
    }
  if (roomy && r->explore > 0 && rng_double (rng) < EXPLORE_SHARE_MAX
      && explore_plan (d, rng, found ? &best : NULL, &plan)
      && rng_double (rng) < explore_chance (d, &plan, &best))
    return plan;
  plan = best;
  if (plan.kind == CASCADE_TWO_STAGE)
    {
      plan.audit = draw_audit (d, rng, &plan);
      draw_threshold (rng, &plan);
    }
  return plan;
}

cascade_plan_t
cascade_plan (cascade_t *c, rng_t *rng, const cascade_request_t *request,
              uint64_t now_ms)
{
  decision_t d = { .cascade = c,
                   .request = request,
                   .now_ms = now_ms,
                   .count = request->count < CASCADE_CANDIDATES_MAX
                                ? request->count
                                : CASCADE_CANDIDATES_MAX,
                   .room_ms = (double)request->deadline_left_ms
                              * CASCADE_DEADLINE_SHARE };

  crdt_advance (c->evidence, now_ms);
  d.strongest = strongest_in_time (&d);
  cascade_plan_t plan = decide (&d, rng);
  c->reasons[plan.reason]++;
  return plan;
}

void
cascade_fold_epochs (cascade_t *c, uint64_t generation, uint64_t now_ms)
{
  uint64_t now_epoch = crdt_epoch_at (c->evidence, now_ms);
  uint64_t epoch = crdt_first_epoch (c->evidence);

  for (; epoch + 2 <= now_epoch; epoch++)
    crdt_compact (c->evidence, epoch, generation);
}

void
cascade_write (const cascade_t *c, bool own_only, buf_t *out)
{
  crdt_write (c->evidence, own_only, out);
}

vh_code_t
cascade_merge (cascade_t *c, str_t bytes, uint64_t now_ms)
{
  return crdt_merge (c->evidence, bytes, now_ms);
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
  return c->reasons[reason];
}
