/* Conversion of a rollout_sample_t into the sums of an evidence cell, and of
   these sums into the moments of one metric.  Used by the roll-out and by the
   watch of a released version.  */

#ifndef POLICY_SAMPLE_H
#define POLICY_SAMPLE_H

#include "policy/rollout.h"

enum
{
  /* Index of each sum in an evidence cell; index 0 is the number of added
     samples.  */
  SAMPLE_FINISHED_COUNT = 1,
  SAMPLE_FAILED_COUNT,
  SAMPLE_LATENCY_COUNT,
  SAMPLE_LOG_LATENCY_SUM, /* Sum of the natural logarithms of the ms.  */
  SAMPLE_LOG_LATENCY_SQUARE_SUM,
  SAMPLE_RATING_COUNT,
  SAMPLE_RATING_SUM,
  SAMPLE_RATING_SQUARE_SUM,
  SAMPLE_FIELD_COUNT
};

/* Count, sum and sum of squares of one metric.  The sign is such that a larger
   value is worse.  */
typedef struct
{
  double count;
  double sum;
  double squares;
} moments_t;

/* Store the terms that SAMPLE adds to a cell in FIELDS, an array of
   SAMPLE_FIELD_COUNT elements for crdt_add.  */
void sample_to_fields (const rollout_sample_t *sample, int64_t *fields);
/* Return the moments of METRIC from SUMS, a result of crdt_sums; all zero
   if SUMS is NULL.  */
moments_t sample_moments (const int64_t *sums, rollout_metric_t metric);

#endif
