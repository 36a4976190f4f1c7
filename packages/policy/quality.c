#include "policy/quality.h"

#include "base/mem.h"
#include "policy/crdt.h"

#include <math.h>
#include <stdlib.h>

enum
{
  /* Fields of a cell of crdt.h; field 0 is the number of ratings.  */
  FIELD_RATING_SUM = 1,
  FIELD_RATING_SQUARES,
  FIELDS,
  CACHE_MS = 1000,
  RATER_PAUSE_MS = 1000,
  RATER_PAUSE_MAX_MS = 60 * 1000,
  /* Fewest epochs with which means are clipped; a median of fewer is
     unreliable.  */
  CLIP_EPOCHS_MIN = 3,
  /* Most ratings of an epoch that count in the median.  Without the bound a
     rating service that is wrong and answers at many times its usual rate
     would determine the median.  */
  EPOCH_VOTES_MAX = 20
};

typedef struct
{
  bool is_filled;
  uint64_t computed_ms;  /* Time at which the sums were computed.  */
  uint64_t change_count; /* Result of crdt_change_count at COMPUTED_MS.  */
  double rating_count;
  double rating_sum;
  double square_sum;
} decayed_sums_t;

struct quality
{
  crdt_t *rating_crdt;
  decayed_sums_t *cache; /* Decayed sums by key index.  */
  quality_sampling_t sampling;
  double rating_tokens; /* Token bucket: requests that may be sent to the
                           rating service now.  */
  uint64_t refilled_ms; /* Time of the last refill of RATING_TOKENS.  */
  uint64_t rater_paused_until_ms; /* End of the pause; 0 if there is none.  */
  uint64_t rater_pause_ms; /* Length of the last pause; 0 after a success.  */
};

quality_t *
quality_create (uint64_t writer, const quality_sampling_t *sampling)
{
  const crdt_options_t options = { .writer = writer,
                                   .epoch_ms = QUALITY_EPOCH_MS,
                                   .epochs = QUALITY_EPOCHS,
                                   .fields = FIELDS,
                                   .keys_max = QUALITY_SERIES_MAX,
                                   .cells_max = QUALITY_CELLS_MAX };
  quality_t *q = mem_zalloc (sizeof *q);

  q->rating_crdt = crdt_create (&options);
  q->cache = mem_zalloc (QUALITY_SERIES_MAX * sizeof *q->cache);
  q->sampling = *sampling;
  q->rating_tokens = sampling->burst;
  return q;
}

void
quality_destroy (quality_t *q)
{
  if (q == NULL)
    return;
  crdt_destroy (q->rating_crdt);
  free (q->cache);
  free (q);
}

uint64_t
quality_series_hash (str_t task, str_t version)
{
  return str_hash (version, str_hash (task, 0x71));
}

bool
quality_add_rating (quality_t *q, str_t task, str_t version, double rating,
                    uint64_t now_ms)
{
  if (isnan (rating))
    return false;
  double value = fmax (0, fmin (1, rating));
  int64_t sample[FIELDS] = { 0, crdt_to_fixed_point (value),
                             crdt_to_fixed_point (value * value) };
  int key = crdt_key_find_or_add (q->rating_crdt,
                                  quality_series_hash (task, version));
  return crdt_add (q->rating_crdt, key, now_ms, sample);
}

quality_posterior_t
quality_posterior (double count, double sum, double square_sum, double prior,
                   double variance)
{
  double weight = QUALITY_PRIOR_WEIGHT + count;
  double mean = (QUALITY_PRIOR_WEIGHT * prior + sum) / weight;
  double squared_deviations
      = QUALITY_PRIOR_WEIGHT * (variance + (prior - mean) * (prior - mean));

  squared_deviations
      += fmax (0, square_sum - 2 * mean * sum + count * mean * mean);
  double half_width
      = QUALITY_Z_ONE_SIDED_95 * sqrt (squared_deviations / weight / weight);
  return (quality_posterior_t){ mean, fmax (0, mean - half_width),
                                fmin (1, mean + half_width), count };
}

typedef struct
{
  double mean;
  double weight; /* Number of ratings after decay.  */
  double votes;  /* Weight of the epoch in the median of the epochs' means.  */
  double rating_count; /* Number of ratings before decay.  */
  double square_sum;
} epoch_stats_t;

/* Return the weighted median of the means of COUNT epochs, which are sorted by
   mean, without the epoch at index SKIP.  */
static double
median_of_others (const epoch_stats_t *epochs, size_t count, size_t skip)
{
  double total_votes = 0;
  double votes = 0;

  for (size_t i = 0; i < count; i++)
    total_votes += i != skip ? epochs[i].votes : 0;
  for (size_t i = 0; i < count; i++)
    {
      votes += i != skip ? epochs[i].votes : 0;
      if (votes >= total_votes / 2 && i != skip)
        return epochs[i].mean;
    }
  return epochs[skip].mean;
}

static int
compare_means (const void *a, const void *b)
{
  const epoch_stats_t *left = a;
  const epoch_stats_t *right = b;

  return (left->mean > right->mean) - (left->mean < right->mean);
}

/* Store the statistics of all epochs of KEY, decayed to NOW_MS and sorted by
   mean.  Return their number.  */
static size_t
collect_epochs (const quality_t *q, int key, uint64_t now_ms,
                epoch_stats_t epochs[QUALITY_EPOCHS])
{
  uint64_t now_epoch = crdt_epoch_at (q->rating_crdt, now_ms);
  uint64_t last = crdt_last_epoch (q->rating_crdt);
  size_t count = 0;

  for (uint64_t epoch = crdt_first_epoch (q->rating_crdt); epoch <= last;
       epoch++)
    {
      const int64_t *sums = crdt_sums (q->rating_crdt, key, epoch);
      if (sums == NULL)
        continue;
      double age = now_epoch > epoch ? (double)(now_epoch - epoch) : 0;
      double decay = exp2 (-age * QUALITY_EPOCH_MS / QUALITY_HALF_LIFE_MS);
      double rating_count = (double)sums[0];
      epochs[count++] = (epoch_stats_t){
        .mean
        = (double)sums[FIELD_RATING_SUM] / CRDT_FIXED_POINT_ONE / rating_count,
        .weight = decay * rating_count,
        .votes = decay * fmin (rating_count, EPOCH_VOTES_MAX),
        .rating_count = rating_count,
        .square_sum = (double)sums[FIELD_RATING_SQUARES] / CRDT_FIXED_POINT_ONE
      };
    }
  qsort (epochs, count, sizeof *epochs, compare_means);
  return count;
}

/* Return the mean of epoch I, clipped to QUALITY_CLIP_DISTANCE around the
   median of the other epochs; the variance of the epoch is kept.  Clipping
   bounds the effect of a rating service that is temporarily wrong, which shows
   as a simultaneous jump of all versions.  The median follows only when half
   of the votes have moved.  */
static double
clipped_mean (const epoch_stats_t *epochs, size_t count, size_t i)
{
  if (count < CLIP_EPOCHS_MIN)
    return epochs[i].mean;
  double median = median_of_others (epochs, count, i);
  return fmax (median - QUALITY_CLIP_DISTANCE,
               fmin (median + QUALITY_CLIP_DISTANCE, epochs[i].mean));
}

static void
compute_sums (const quality_t *q, int key, uint64_t now_ms,
              decayed_sums_t *cache)
{
  epoch_stats_t epochs[QUALITY_EPOCHS];
  size_t count = collect_epochs (q, key, now_ms, epochs);

  *cache
      = (decayed_sums_t){ .is_filled = true,
                          .computed_ms = now_ms,
                          .change_count = crdt_change_count (q->rating_crdt) };
  for (size_t i = 0; i < count; i++)
    {
      const epoch_stats_t *epoch = &epochs[i];
      double decay = epoch->weight / epoch->rating_count;
      double mean = clipped_mean (epochs, count, i);
      double variance = fmax (0, epoch->square_sum / epoch->rating_count
                                     - epoch->mean * epoch->mean);
      cache->rating_count += epoch->weight;
      cache->rating_sum += epoch->weight * mean;
      cache->square_sum
          += decay * epoch->rating_count * (variance + mean * mean);
    }
}

/* Return the decayed sums of KEY.  The sums are recomputed when a rating was
   added or merged and the sums are older than CACHE_MS, and after a quarter of
   an epoch in any case.  */
static const decayed_sums_t *
get_sums (quality_t *q, int key, uint64_t now_ms)
{
  decayed_sums_t *cache = &q->cache[key];
  bool is_stale = now_ms - cache->computed_ms >= CACHE_MS
                  && (cache->change_count != crdt_change_count (q->rating_crdt)
                      || now_ms - cache->computed_ms >= QUALITY_EPOCH_MS / 4);

  if (!cache->is_filled || now_ms < cache->computed_ms || is_stale)
    compute_sums (q, key, now_ms, cache);
  return cache;
}

quality_posterior_t
quality_estimate (quality_t *q, str_t task, str_t version, double prior,
                  uint64_t now_ms)
{
  int key
      = crdt_key_find (q->rating_crdt, quality_series_hash (task, version));

  if (key < 0)
    return quality_posterior (0, 0, 0, prior, QUALITY_PRIOR_VARIANCE);
  crdt_advance (q->rating_crdt, now_ms);
  const decayed_sums_t *cache = get_sums (q, key, now_ms);
  return quality_posterior (cache->rating_count, cache->rating_sum,
                            cache->square_sum, prior, QUALITY_PRIOR_VARIANCE);
}

static bool
take_token (quality_t *q, uint64_t now_ms)
{
  if (now_ms > q->refilled_ms)
    {
      double refill
          = (double)(now_ms - q->refilled_ms) / 1000 * q->sampling.rate_per_s;
      q->rating_tokens = fmin (q->sampling.burst, q->rating_tokens + refill);
      q->refilled_ms = now_ms;
    }
  if (q->rating_tokens < 1)
    return false;
  q->rating_tokens -= 1;
  return true;
}

bool
quality_should_rate (quality_t *q, rng_t *rng, str_t task, str_t version,
                     uint64_t now_ms)
{
  quality_posterior_t estimate
      = quality_estimate (q, task, version, 0.5, now_ms);
  const quality_sampling_t *s = &q->sampling;
  double share = s->share;

  if (estimate.weight > s->enough_ratings)
    share = fmax (fmin (s->share, s->share_min),
                  s->share * s->enough_ratings / estimate.weight);
  return rng_double (rng) < share && quality_is_rater_available (q, now_ms)
         && take_token (q, now_ms);
}

void
quality_record_rater_failure (quality_t *q, uint64_t now_ms)
{
  uint64_t pause = q->rater_pause_ms * 2;

  if (pause < RATER_PAUSE_MS)
    pause = RATER_PAUSE_MS;
  q->rater_pause_ms
      = pause < RATER_PAUSE_MAX_MS ? pause : (uint64_t)RATER_PAUSE_MAX_MS;
  q->rater_paused_until_ms = now_ms + q->rater_pause_ms;
}

void
quality_record_rater_success (quality_t *q)
{
  q->rater_pause_ms = 0;
  q->rater_paused_until_ms = 0;
}

bool
quality_is_rater_available (const quality_t *q, uint64_t now_ms)
{
  return now_ms >= q->rater_paused_until_ms;
}

void
quality_compact (quality_t *q, uint64_t generation, uint64_t now_ms)
{
  uint64_t now_epoch = crdt_epoch_at (q->rating_crdt, now_ms);
  uint64_t epoch = crdt_first_epoch (q->rating_crdt);

  for (; epoch + 2 <= now_epoch; epoch++)
    crdt_compact (q->rating_crdt, epoch, generation);
}

void
quality_write (const quality_t *q, bool own_only, buf_t *out)
{
  crdt_write (q->rating_crdt, own_only, out);
}

vh_code_t
quality_merge (quality_t *q, str_t bytes, uint64_t now_ms)
{
  return crdt_merge (q->rating_crdt, bytes, now_ms);
}
