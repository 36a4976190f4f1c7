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
      double value = log (sample->latency_ms);
      fields[SAMPLE_LATENCY_COUNT] = 1;
      fields[SAMPLE_LOG_LATENCY_SUM] = crdt_to_fixed_point (value);
      fields[SAMPLE_LOG_LATENCY_SQUARES] = crdt_to_fixed_point (value * value);
    }
  if (sample->rated && !isnan (sample->rating))
    {
      double value = fmax (0, fmin (1, sample->rating));
      fields[SAMPLE_RATING_COUNT] = 1;
      fields[SAMPLE_RATING_SUM] = crdt_to_fixed_point (value);
      fields[SAMPLE_RATING_SQUARES] = crdt_to_fixed_point (value * value);
    }
}

moments_t
sample_moments (const int64_t *sums, rollout_metric_t metric)
{
  moments_t m = { 0, 0, 0 };

  if (sums == NULL)
    return m;
  switch (metric)
    {
    case ROLLOUT_RATING:
      m.count = (double)sums[SAMPLE_RATING_COUNT];
      m.sum = -(double)sums[SAMPLE_RATING_SUM] / CRDT_FIXED_POINT_ONE;
      m.squares = (double)sums[SAMPLE_RATING_SQUARES] / CRDT_FIXED_POINT_ONE;
      break;
    case ROLLOUT_ERROR:
      m.count = (double)sums[SAMPLE_FINISHED_COUNT];
      m.sum = (double)sums[SAMPLE_FAILED_COUNT];
      m.squares = m.sum;
      break;
    default:
      m.count = (double)sums[SAMPLE_LATENCY_COUNT];
      m.sum = (double)sums[SAMPLE_LOG_LATENCY_SUM] / CRDT_FIXED_POINT_ONE;
      m.squares
          = (double)sums[SAMPLE_LOG_LATENCY_SQUARES] / CRDT_FIXED_POINT_ONE;
      break;
    }
  return m;
}
