#include "gateway/request_metrics.h"

#include "base/map.h"
#include "base/mem.h"

#include <stdlib.h>

enum
{
  US_PER_MS = 1000
};

struct request_metrics
{
  metrics_t *metrics;
  map_t *histograms; /* Map of route name to histogram.  */
  map_t *counters;   /* Map of label text to counter.  */
};

request_metrics_t *
request_metrics_create (metrics_t *metrics)
{
  request_metrics_t *request_metrics = mem_zalloc (sizeof *request_metrics);

  request_metrics->metrics = metrics;
  request_metrics->histograms = map_create ();
  request_metrics->counters = map_create ();
  return request_metrics;
}

void
request_metrics_destroy (request_metrics_t *request_metrics)
{
  if (request_metrics == NULL)
    return;
  map_destroy (request_metrics->histograms);
  map_destroy (request_metrics->counters);
  free (request_metrics);
}

static histogram_t *
route_histogram (request_metrics_t *request_metrics, str_t route)
{
  histogram_t *histogram = map_get (request_metrics->histograms, route);
  buf_t labels = BUF_NULL;

  if (histogram != NULL)
    return histogram;
  if (map_size (request_metrics->histograms) >= REQUEST_METRICS_ROUTES_MAX)
    route = STR ("other");
  buf_printf (&labels, "route=\"%.*s\"", STR_ARG (route));
  buf_append_char (&labels, '\0');
  histogram = metrics_histogram (
      request_metrics->metrics, "vanillahook_gateway_request_seconds",
      labels.ptr, "Time from a request's arrival to the end of its response.");
  if (map_size (request_metrics->histograms) < REQUEST_METRICS_ROUTES_MAX)
    map_put (request_metrics->histograms, route, histogram);
  buf_free (&labels);
  return histogram;
}

static counter_t *
series_counter (request_metrics_t *request_metrics, str_t route, str_t team,
                const char *outcome, const char *reason)
{
  buf_t labels = BUF_NULL;

  if (map_get (request_metrics->histograms, route) == NULL)
    route = STR ("other");
  buf_printf (&labels,
              "route=\"%.*s\",team=\"%.*s\",outcome=\"%s\",reason=\"%s\"",
              STR_ARG (route), STR_ARG (team), outcome, reason);
  counter_t *counter = map_get (request_metrics->counters, buf_str (&labels));
  if (counter == NULL
      && map_size (request_metrics->counters) >= REQUEST_METRICS_SERIES_MAX)
    {
      labels.len = 0;
      buf_printf (&labels, "outcome=\"%s\"", outcome);
    }
  if (counter == NULL)
    {
      str_t key = buf_str (&labels);
      buf_append_char (&labels, '\0');
      counter = metrics_counter (
          request_metrics->metrics, "vanillahook_gateway_request_ends_total",
          labels.ptr, "Requests by how they ended and why.");
      key.ptr = labels.ptr;
      if (map_size (request_metrics->counters) < REQUEST_METRICS_SERIES_MAX)
        map_put (request_metrics->counters, key, counter);
    }
  buf_free (&labels);
  return counter;
}

void
request_metrics_record (request_metrics_t *request_metrics, str_t route,
                        str_t team, const char *outcome, const char *reason,
                        uint64_t duration_ms)
{
  histogram_record (route_histogram (request_metrics, route),
                    duration_ms * US_PER_MS);
  counter_add (series_counter (request_metrics, route, team, outcome, reason),
               1);
}
