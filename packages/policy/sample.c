#include "policy/sample.h"

#include "policy/crdt.h"

#include <math.h>

void
sample_to_fields (const rollout_sample_t *sample, int64_t *fields)
{
  memset (fields, 0, SAMPLE_FIELD_COUNT * sizeof *fields);
  if (sample->finished)
    {
      fields[SAMPLE_FINISHED_COUNT] = 1;
      fields[SAMPLE_FAILED_COUNT] = sample->failed;
    }
  if (sample->finished && !sample->failed && sample->latency_ms > 0)
    {
      double log_ms = log (sample->latency_ms);
      fields[SAMPLE_LATENCY_COUNT] = 1;
      fields[SAMPLE_LOG_LATENCY_SUM] = crdt_to_fixed_point (log_ms);
      fields[SAMPLE_LOG_LATENCY_SQUARE_SUM]
          = crdt_to_fixed_point (log_ms * log_ms);
    }
  if (sample->rated && !isnan (sample->rating))
    {
      double rating = fmax (0, fmin (1, sample->rating));
      fields[SAMPLE_RATING_COUNT] = 1;
      fields[SAMPLE_RATING_SUM] = crdt_to_fixed_point (rating);
      fields[SAMPLE_RATING_SQUARE_SUM] = crdt_to_fixed_point (rating * rating);
    }
}

moments_t
sample_moments (const int64_t *sums, rollout_metric_t metric)
{
  moments_t moments = { 0, 0, 0 };

  if (sums == NULL)
    return moments;
  switch (metric)
    {
    case ROLLOUT_METRIC_RATING:
      moments.count = (double)sums[SAMPLE_RATING_COUNT];
      moments.sum = -(double)sums[SAMPLE_RATING_SUM] / CRDT_FIXED_POINT_ONE;
      moments.squares
          = (double)sums[SAMPLE_RATING_SQUARE_SUM] / CRDT_FIXED_POINT_ONE;
      break;
    case ROLLOUT_METRIC_ERROR:
      moments.count = (double)sums[SAMPLE_FINISHED_COUNT];
      moments.sum = (double)sums[SAMPLE_FAILED_COUNT];
      moments.squares = moments.sum;
      break;
    default:
      moments.count = (double)sums[SAMPLE_LATENCY_COUNT];
      moments.sum
          = (double)sums[SAMPLE_LOG_LATENCY_SUM] / CRDT_FIXED_POINT_ONE;
      moments.squares
          = (double)sums[SAMPLE_LOG_LATENCY_SQUARE_SUM] / CRDT_FIXED_POINT_ONE;
      break;
    }
  return moments;
}
