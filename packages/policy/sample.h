/* How a rollout_sample_t is kept in evidence cells, and read back as the
   moments of one metric; shared by rollout and watch.  */

#ifndef POLICY_SAMPLE_H
#define POLICY_SAMPLE_H

#include "policy/rollout.h"

enum
{
  /* Fields of a cell, after the count of additions.  */
  SAMPLE_FINISHED_COUNT = 1,
  SAMPLE_FAILED_COUNT,
  SAMPLE_LATENCY_COUNT,
  SAMPLE_LOG_LATENCY_SUM, /* Of the natural logarithm of milliseconds.  */
  SAMPLE_LOG_LATENCY_SQUARES,
  SAMPLE_RATING_COUNT,
  SAMPLE_RATING_SUM,
  SAMPLE_RATING_SQUARES,
  SAMPLE_FIELD_COUNT
};

/* Count, sum and sum of squares of one metric, signed so that harm is
   positive.  */
typedef struct
{
  double count;
  double sum;
  double squares;
} moments_t;

/* Fill FIELDS, SAMPLE_FIELD_COUNT long, for crdt_add.  */
void sample_to_fields (const rollout_sample_t *sample, int64_t *fields);
/* Moments of METRIC in the SUMS of crdt_sums; zeros when it is NULL.  */
moments_t sample_moments (const int64_t *sums, rollout_metric_t metric);

#endif
