/* Counters, gauges and latency histograms of one process, exported in the
   Prometheus text format.  Handles are plain structs, so an update costs one
   addition.  */

#ifndef BASE_METRIC_H
#define BASE_METRIC_H

#include "base/str.h"

typedef struct metrics metrics_t;

typedef struct
{
  uint64_t value;
} counter_t;

typedef struct
{
  double value;
} gauge_t;

enum
{
  /* Four buckets per doubling, from 1 us to over an hour.  The relative error
     of a quantile is at most 19%.  */
  HISTOGRAM_BUCKET_COUNT = 132
};

typedef struct
{
  uint64_t buckets[HISTOGRAM_BUCKET_COUNT];
  uint64_t count;
  uint64_t sum_us;
} histogram_t;

metrics_t *metrics_create (void);
void metrics_destroy (metrics_t *metrics);

/* Return the series NAME with LABELS (such as `team="a"', or ""), which is
   created by the first call and owned by METRICS.  NAME and HELP must outlive
   METRICS; LABELS is copied.  */
counter_t *metrics_counter (metrics_t *metrics, const char *name,
                            const char *labels, const char *help);
gauge_t *metrics_gauge (metrics_t *metrics, const char *name,
                        const char *labels, const char *help);
histogram_t *metrics_histogram (metrics_t *metrics, const char *name,
                                const char *labels, const char *help);

static inline void
counter_add (counter_t *counter, uint64_t n)
{
  counter->value += n;
}

void histogram_record (histogram_t *histogram, uint64_t value_us);
/* Return the upper bound, in microseconds, of the bucket that contains
   quantile Q (0 to 1), or 0 if the histogram is empty.  */
uint64_t histogram_quantile (const histogram_t *histogram, double q);

/* Append all series to OUT in the Prometheus text format.  */
void metrics_write (const metrics_t *metrics, buf_t *out);

#endif
