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
  } u;
} series_t;

struct metrics
{
  map_t *by_name;
  series_t **all;
  size_t count;
  size_t cap;
};

metrics_t *
metrics_create (void)
{
  metrics_t *metrics = mem_zalloc (sizeof *metrics);

  metrics->by_name = map_create ();
  return metrics;
}

void
metrics_destroy (metrics_t *metrics)
{
  if (metrics == NULL)
    return;
  for (size_t i = 0; i < metrics->count; i++)
    {
      free (metrics->all[i]->labels);
      free (metrics->all[i]);
    }
  free (metrics->all);
  map_destroy (metrics->by_name);
  free (metrics);
}

static series_t *
series_get (metrics_t *metrics, series_kind_t kind, const char *name,
            const char *labels, const char *help)
{
  buf_t key = BUF_NULL;

  buf_printf (&key, "%s{%s}", name, labels);
  series_t *series = map_get (metrics->by_name, buf_str (&key));
  if (series == NULL)
    {
      series = mem_zalloc (sizeof *series);
      series->kind = kind;
      series->name = name;
      series->help = help;
      series->labels = str_dup (str_from (labels));
      map_put (metrics->by_name, buf_str (&key), series);
      if (metrics->count == metrics->cap)
        {
          metrics->cap = metrics->cap > 0 ? 2 * metrics->cap : 16;
          metrics->all
              = mem_realloc (metrics->all, metrics->cap * sizeof (series_t *));
        }
      metrics->all[metrics->count++] = series;
    }
  buf_free (&key);
  return series;
}

counter_t *
metrics_counter (metrics_t *metrics, const char *name, const char *labels,
                 const char *help)
{
  return &series_get (metrics, SERIES_COUNTER, name, labels, help)->u.counter;
}

gauge_t *
metrics_gauge (metrics_t *metrics, const char *name, const char *labels,
               const char *help)
{
  return &series_get (metrics, SERIES_GAUGE, name, labels, help)->u.gauge;
}

histogram_t *
metrics_histogram (metrics_t *metrics, const char *name, const char *labels,
                   const char *help)
{
  return &series_get (metrics, SERIES_HISTOGRAM, name, labels, help)
              ->u.histogram;
}

/* Upper bound in microseconds of bucket INDEX.  */
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
  uint64_t seen = 0;

  for (size_t i = 0; i < HISTOGRAM_BUCKET_COUNT; i++)
    {
      seen += histogram->buckets[i];
      if (seen > 0 && seen >= rank)
        return (uint64_t)bucket_bound (i);
    }
  return 0;
}

/* Append the name with SUFFIX, the labels if any, and a blank.  */
static void
write_name (buf_t *out, const series_t *series, const char *suffix)
{
  if (series->labels[0] != '\0')
    buf_printf (out, "%s%s{%s} ", series->name, suffix, series->labels);
  else
    buf_printf (out, "%s%s ", series->name, suffix);
}

static void
histogram_write (const series_t *series, buf_t *out)
{
  const histogram_t *h = &series->u.histogram;
  const char *comma = series->labels[0] != '\0' ? "," : "";
  uint64_t seen = 0;

  for (size_t i = 0; i < HISTOGRAM_BUCKET_COUNT; i++)
    {
      seen += h->buckets[i];
      /* One line for each doubling; empty tails are left out.  */
      if (i % 4 != 3 || seen == 0)
        continue;
      buf_printf (out, "%s_bucket{%s%sle=\"%g\"} %llu\n", series->name,
                  series->labels, comma, bucket_bound (i) / 1e6,
                  (unsigned long long)seen);
      if (seen == h->count)
        break;
    }
  buf_printf (out, "%s_bucket{%s%sle=\"+Inf\"} %llu\n", series->name,
              series->labels, comma, (unsigned long long)h->count);
  write_name (out, series, "_sum");
  buf_printf (out, "%g\n", (double)h->sum_us / 1e6);
  write_name (out, series, "_count");
  buf_printf (out, "%llu\n", (unsigned long long)h->count);
}

static void
series_write (const series_t *series, buf_t *out)
{
  switch (series->kind)
    {
    case SERIES_COUNTER:
      write_name (out, series, "");
      buf_printf (out, "%llu\n", (unsigned long long)series->u.counter.value);
      break;
    case SERIES_GAUGE:
      write_name (out, series, "");
      buf_printf (out, "%g\n", series->u.gauge.value);
      break;
    case SERIES_HISTOGRAM:
      histogram_write (series, out);
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
  const char *last = "";

  /* The text format wants the series of one name together.  */
  if (metrics->count > 0)
    qsort (metrics->all, metrics->count, sizeof metrics->all[0],
           compare_series);
  for (size_t i = 0; i < metrics->count; i++)
    {
      const series_t *series = metrics->all[i];
      if (strcmp (series->name, last) != 0)
        buf_printf (out, "# HELP %s %s\n# TYPE %s %s\n", series->name,
                    series->help, series->name, types[series->kind]);
      last = series->name;
      series_write (series, out);
    }
}
