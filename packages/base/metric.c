#include "base/metric.h"

#include "base/map.h"
#include "base/mem.h"

#include <math.h>
#include <stdlib.h>

typedef enum
{
  SERIES_COUNTER,
  SERIES_GAUGE,
  SERIES_HISTOGRAM
} series_kind_t;

typedef struct
{
  series_kind_t kind;
  const char *name;
  const char *help;
  char *labels;
  union
  {
    counter_t counter;
    gauge_t gauge;
    histogram_t histogram;
  } value;
} series_t;

struct metrics
{
  map_t *by_key;
  series_t **series;
  size_t count;
  size_t cap;
};

metrics_t *
metrics_create (void)
{
  metrics_t *metrics = mem_zalloc (sizeof *metrics);

  metrics->by_key = map_create ();
  return metrics;
}

void
metrics_destroy (metrics_t *metrics)
{
  if (metrics == NULL)
    return;
  for (size_t i = 0; i < metrics->count; i++)
    {
      free (metrics->series[i]->labels);
      free (metrics->series[i]);
    }
  free (metrics->series);
  map_destroy (metrics->by_key);
  free (metrics);
}

static series_t *
find_or_add_series (metrics_t *metrics, series_kind_t kind, const char *name,
                    const char *labels, const char *help)
{
  buf_t key = BUF_NULL;

  buf_printf (&key, "%s{%s}", name, labels);
  series_t *series = map_get (metrics->by_key, buf_str (&key));
  if (series == NULL)
    {
      series = mem_zalloc (sizeof *series);
      series->kind = kind;
      series->name = name;
      series->help = help;
      series->labels = str_dup (str_from (labels));
      map_put (metrics->by_key, buf_str (&key), series);
      if (metrics->count == metrics->cap)
        {
          metrics->cap = metrics->cap > 0 ? 2 * metrics->cap : 16;
          metrics->series = mem_realloc (metrics->series,
                                         metrics->cap * sizeof (series_t *));
        }
      metrics->series[metrics->count++] = series;
    }
  buf_free (&key);
  return series;
}

counter_t *
metrics_counter (metrics_t *metrics, const char *name, const char *labels,
                 const char *help)
{
  return &find_or_add_series (metrics, SERIES_COUNTER, name, labels, help)
              ->value.counter;
}

gauge_t *
metrics_gauge (metrics_t *metrics, const char *name, const char *labels,
               const char *help)
{
  return &find_or_add_series (metrics, SERIES_GAUGE, name, labels, help)
              ->value.gauge;
}

histogram_t *
metrics_histogram (metrics_t *metrics, const char *name, const char *labels,
                   const char *help)
{
  return &find_or_add_series (metrics, SERIES_HISTOGRAM, name, labels, help)
              ->value.histogram;
}

/* Return the upper bound of bucket INDEX in microseconds.  */
static double
bucket_bound (size_t index)
{
  return exp2 ((double)(index + 1) / 4.0);
}

void
histogram_record (histogram_t *histogram, uint64_t value_us)
{
  size_t index = value_us > 1 ? (size_t)(log2 ((double)value_us) * 4.0) : 0;

  if (index >= HISTOGRAM_BUCKET_COUNT)
    index = HISTOGRAM_BUCKET_COUNT - 1;
  histogram->buckets[index]++;
  histogram->count++;
  histogram->sum_us += value_us;
}

uint64_t
histogram_quantile (const histogram_t *histogram, double q)
{
  uint64_t rank = (uint64_t)ceil (q * (double)histogram->count);
  uint64_t cumulative = 0;

  for (size_t i = 0; i < HISTOGRAM_BUCKET_COUNT; i++)
    {
      cumulative += histogram->buckets[i];
      if (cumulative > 0 && cumulative >= rank)
        return (uint64_t)bucket_bound (i);
    }
  return 0;
}

/* Append the name of SERIES with SUFFIX, its labels if any, and a blank.  */
static void
write_sample_name (buf_t *out, const series_t *series, const char *suffix)
{
  if (series->labels[0] != '\0')
    buf_printf (out, "%s%s{%s} ", series->name, suffix, series->labels);
  else
    buf_printf (out, "%s%s ", series->name, suffix);
}

static void
write_histogram (const series_t *series, buf_t *out)
{
  const histogram_t *histogram = &series->value.histogram;
  const char *comma = series->labels[0] != '\0' ? "," : "";
  uint64_t cumulative = 0;

  for (size_t i = 0; i < HISTOGRAM_BUCKET_COUNT; i++)
    {
      cumulative += histogram->buckets[i];
      /* Write one bucket per doubling, from the first to the last bucket that
         counts a value.  */
      if (i % 4 != 3 || cumulative == 0)
        continue;
      buf_printf (out, "%s_bucket{%s%sle=\"%g\"} %llu\n", series->name,
                  series->labels, comma, bucket_bound (i) / 1e6,
                  (unsigned long long)cumulative);
      if (cumulative == histogram->count)
        break;
    }
  buf_printf (out, "%s_bucket{%s%sle=\"+Inf\"} %llu\n", series->name,
              series->labels, comma, (unsigned long long)histogram->count);
  write_sample_name (out, series, "_sum");
  buf_printf (out, "%g\n", (double)histogram->sum_us / 1e6);
  write_sample_name (out, series, "_count");
  buf_printf (out, "%llu\n", (unsigned long long)histogram->count);
}

static void
write_series (const series_t *series, buf_t *out)
{
  switch (series->kind)
    {
    case SERIES_COUNTER:
      write_sample_name (out, series, "");
      buf_printf (out, "%llu\n",
                  (unsigned long long)series->value.counter.value);
      break;
    case SERIES_GAUGE:
      write_sample_name (out, series, "");
      buf_printf (out, "%g\n", series->value.gauge.value);
      break;
    case SERIES_HISTOGRAM:
      write_histogram (series, out);
      break;
    }
}

static int
compare_series (const void *a, const void *b)
{
  const series_t *left = *(const series_t *const *)a;
  const series_t *right = *(const series_t *const *)b;
  int order = strcmp (left->name, right->name);

  return order != 0 ? order : strcmp (left->labels, right->labels);
}

void
metrics_write (const metrics_t *metrics, buf_t *out)
{
  static const char *const types[] = { "counter", "gauge", "histogram" };
  const char *previous_name = "";

  /* The text format requires the series of a name to be adjacent.  */
  if (metrics->count > 0)
    qsort (metrics->series, metrics->count, sizeof metrics->series[0],
           compare_series);
  for (size_t i = 0; i < metrics->count; i++)
    {
      const series_t *series = metrics->series[i];
      if (strcmp (series->name, previous_name) != 0)
        buf_printf (out, "# HELP %s %s\n# TYPE %s %s\n", series->name,
                    series->help, series->name, types[series->kind]);
      previous_name = series->name;
      write_series (series, out);
    }
}
