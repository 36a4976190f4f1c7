/* Counters, gauges and latency histograms of one process, written out as
   Prometheus text.  Handles are plain structs: adding costs one addition.  */

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
  /* Four buckets to each doubling from 1 us to over an hour: a relative
     error of at most 19%.  */
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

/* Return the series NAME with LABELS (such as `team="a"', or ""), made on
   first use; it lives as long as METRICS.  HELP and NAME are string
   literals, LABELS is copied.  */
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
/* Return the upper bound in microseconds of the bucket that holds quantile
   Q (0 to 1); 0 when empty.  */
uint64_t histogram_quantile (const histogram_t *histogram, double q);

/* Append all series to OUT as Prometheus text.  */
void metrics_write (const metrics_t *metrics, buf_t *out);

#endif
