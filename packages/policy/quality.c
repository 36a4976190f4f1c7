#include "policy/quality.h"

#include "base/mem.h"
#include "policy/crdt.h"

#include <math.h>
#include <stdlib.h>

enum
{
  /* Fields of a cell, after the count of additions.  */
  FIELD_SUM = 1,
  FIELD_SQUARES,
  FIELDS,
  CACHE_MS = 1000,
  RATER_PAUSE_MS = 1000,
  RATER_PAUSE_MAX_MS = 60 * 1000,
  /* Fewer epochs have no median worth the name.  */
  CLIP_EPOCHS_MIN = 3,
  /* Ratings of an epoch that count in the median: it is a vote of epochs,
     which a rating service that is wrong at many times its usual rate does
     not win.  */
  VOTES_MAX = 20
};

typedef struct
{
  bool filled;
  uint64_t at_ms;
  uint64_t changes;
  double count;
  double sum;
  double squares;
} cache_t;

struct quality
{
  crdt_t *evidence;
  cache_t *cache; /* By key index.  */
  quality_sampling_t sampling;
  double tokens;
  uint64_t tokens_ms;
  uint64_t rater_until_ms;
  uint64_t rater_pause_ms;
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

  q->evidence = crdt_create (&options);
  q->cache = mem_zalloc (QUALITY_SERIES_MAX * sizeof *q->cache);
  q->sampling = *sampling;
  q->tokens = sampling->burst;
  return q;
}

void
quality_destroy (quality_t *q)
{
  if (q == NULL)
    return;
  crdt_destroy (q->evidence);
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
  int key = crdt_key_find_or_add (q->evidence,
                                  quality_series_hash (task, version));
  return crdt_add (q->evidence, key, now_ms, sample);
}

quality_bound_t
quality_posterior (double count, double sum, double squares, double prior,
                   double variance)
{
  double weight = QUALITY_PRIOR_WEIGHT + count;
  double mean = (QUALITY_PRIOR_WEIGHT * prior + sum) / weight;
  double spread
      = QUALITY_PRIOR_WEIGHT * (variance + (prior - mean) * (prior - mean));

  spread += fmax (0, squares - 2 * mean * sum + count * mean * mean);
  double half = QUALITY_Z_ONE_SIDED_95 * sqrt (spread / weight / weight);
  return (quality_bound_t){ mean, fmax (0, mean - half), fmin (1, mean + half),
                            count };
}

typedef struct
{
  double mean;
  double weight; /* Ratings, decayed.  */
  double votes;
  double count;
  double squares;
} batch_t;

/* Weighted median of the means of the COUNT batches, sorted, but for SKIP. */
static double
median_of_others (const batch_t *batches, size_t count, size_t skip)
{
  double total = 0;
  double seen = 0;

  for (size_t i = 0; i < count; i++)
    total += i != skip ? batches[i].votes : 0;
  for (size_t i = 0; i < count; i++)
    {
      seen += i != skip ? batches[i].votes : 0;
      if (seen >= total / 2 && i != skip)
        return batches[i].mean;
    }
  return batches[skip].mean;
}

static int
compare_batches (const void *a, const void *b)
{
  const batch_t *left = a;
  const batch_t *right = b;

  return (left->mean > right->mean) - (left->mean < right->mean);
}

/* Gather the epochs of KEY, decayed to NOW_MS.  Return how many.  */
static size_t
gather_batches (const quality_t *q, int key, uint64_t now_ms,
                batch_t batches[QUALITY_EPOCHS])
{
  uint64_t now_epoch = crdt_epoch_at (q->evidence, now_ms);
  uint64_t last = crdt_last_epoch (q->evidence);
  size_t count = 0;

  for (uint64_t epoch = crdt_first_epoch (q->evidence); epoch <= last; epoch++)
    {
      const int64_t *sums = crdt_sums (q->evidence, key, epoch);
      if (sums == NULL)
        continue;
      double age = now_epoch > epoch ? (double)(now_epoch - epoch) : 0;
      double decay = exp2 (-age * QUALITY_EPOCH_MS / QUALITY_HALF_LIFE_MS);
      double n = (double)sums[0];
      batches[count++] = (batch_t){
        .mean = (double)sums[FIELD_SUM] / CRDT_FIXED_POINT_ONE / n,
        .weight = decay * n,
        .votes = decay * fmin (n, VOTES_MAX),
        .count = n,
        .squares = (double)sums[FIELD_SQUARES] / CRDT_FIXED_POINT_ONE
      };
    }
  qsort (batches, count, sizeof *batches, compare_batches);
  return count;
}

/* Guards against a rating service that is wrong for a while: the epoch's
   mean moves to the edge of what is believed, its spread stays.  Shows as a
   jump of all versions at once.  Holds because the median needs half of the
   votes to follow.  */
static double
clipped_mean (const batch_t *batches, size_t count, size_t i)
{
  if (count < CLIP_EPOCHS_MIN)
    return batches[i].mean;
  double centre = median_of_others (batches, count, i);
  return fmax (centre - QUALITY_CLIP_DISTANCE,
               fmin (centre + QUALITY_CLIP_DISTANCE, batches[i].mean));
}

static void
cache_fill (const quality_t *q, int key, uint64_t now_ms, cache_t *cache)
{
  batch_t batches[QUALITY_EPOCHS];
  size_t count = gather_batches (q, key, now_ms, batches);

  *cache = (cache_t){ .filled = true,
                      .at_ms = now_ms,
                      .changes = crdt_change_count (q->evidence) };
  for (size_t i = 0; i < count; i++)
    {
      const batch_t *b = &batches[i];
      double decay = b->weight / b->count;
      double mean = clipped_mean (batches, count, i);
      double variance = fmax (0, b->squares / b->count - b->mean * b->mean);
      cache->count += b->weight;
      cache->sum += b->weight * mean;
      cache->squares += decay * b->count * (variance + mean * mean);
    }
}

/* Return the decayed sums of KEY, at most CACHE_MS old.  */
static const cache_t *
cache_get (quality_t *q, int key, uint64_t now_ms)
{
  cache_t *cache = &q->cache[key];
  bool old = now_ms - cache->at_ms >= CACHE_MS
             && (cache->changes != crdt_change_count (q->evidence)
                 || now_ms - cache->at_ms >= QUALITY_EPOCH_MS / 4);

  if (!cache->filled || now_ms < cache->at_ms || old)
    cache_fill (q, key, now_ms, cache);
  return cache;
}

quality_bound_t
quality_estimate (quality_t *q, str_t task, str_t version, double prior,
                  uint64_t now_ms)
{
  int key = crdt_key_find (q->evidence, quality_series_hash (task, version));

  if (key < 0)
    return quality_posterior (0, 0, 0, prior, QUALITY_PRIOR_VARIANCE);
  crdt_advance (q->evidence, now_ms);
  const cache_t *cache = cache_get (q, key, now_ms);
  return quality_posterior (cache->count, cache->sum, cache->squares, prior,
                            QUALITY_PRIOR_VARIANCE);
}

static bool
tokens_take (quality_t *q, uint64_t now_ms)
{
  if (now_ms > q->tokens_ms)
    {
      double gained
          = (double)(now_ms - q->tokens_ms) / 1000 * q->sampling.rate_per_s;
      q->tokens = fmin (q->sampling.burst, q->tokens + gained);
      q->tokens_ms = now_ms;
    }
  if (q->tokens < 1)
    return false;
  q->tokens -= 1;
  return true;
}

bool
quality_should_rate (quality_t *q, rng_t *rng, str_t task, str_t version,
                     uint64_t now_ms)
{
  quality_bound_t known = quality_estimate (q, task, version, 0.5, now_ms);
  const quality_sampling_t *s = &q->sampling;
  double share = s->share;

  if (known.weight > s->want)
    share = fmax (fmin (s->share, s->share_settled),
                  s->share * s->want / known.weight);
  return rng_double (rng) < share && quality_is_rater_available (q, now_ms)
         && tokens_take (q, now_ms);
}

void
quality_record_rater_failure (quality_t *q, uint64_t now_ms)
{
  uint64_t pause = q->rater_pause_ms * 2;

  if (pause < RATER_PAUSE_MS)
    pause = RATER_PAUSE_MS;
  q->rater_pause_ms
      = pause < RATER_PAUSE_MAX_MS ? pause : (uint64_t)RATER_PAUSE_MAX_MS;
  q->rater_until_ms = now_ms + q->rater_pause_ms;
}

void
quality_record_rater_success (quality_t *q)
{
  q->rater_pause_ms = 0;
  q->rater_until_ms = 0;
}

bool
quality_is_rater_available (const quality_t *q, uint64_t now_ms)
{
  return now_ms >= q->rater_until_ms;
}

void
quality_fold_epochs (quality_t *q, uint64_t generation, uint64_t now_ms)
{
  uint64_t now_epoch = crdt_epoch_at (q->evidence, now_ms);
  uint64_t epoch = crdt_first_epoch (q->evidence);

  for (; epoch + 2 <= now_epoch; epoch++)
    crdt_compact (q->evidence, epoch, generation);
}

void
quality_write (const quality_t *q, bool own_only, buf_t *out)
{
  crdt_write (q->evidence, own_only, out);
}

vh_code_t
quality_merge (quality_t *q, str_t bytes, uint64_t now_ms)
{
  return crdt_merge (q->evidence, bytes, now_ms);
}
