#include "gateway/tally.h"

#include "base/map.h"
#include "base/mem.h"

#include <stdlib.h>

enum
{
  US_PER_MS = 1000
};

struct tally
{
  metrics_t *metrics;
  map_t *routes; /* Name to histogram.  */
  map_t *series; /* Labels to counter.  */
};

tally_t *
tally_create (metrics_t *metrics)
{
  tally_t *tally = mem_zalloc (sizeof *tally);

  tally->metrics = metrics;
  tally->routes = map_create ();
  tally->series = map_create ();
  return tally;
}

void
tally_destroy (tally_t *tally)
{
  if (tally == NULL)
    return;
  map_destroy (tally->routes);
  map_destroy (tally->series);
  free (tally);
}

static histogram_t *
route_histogram (tally_t *tally, str_t route)
{
  histogram_t *histogram = map_get (tally->routes, route);
  buf_t labels = BUF_NULL;

  if (histogram != NULL)
    return histogram;
  if (map_size (tally->routes) >= TALLY_ROUTES_MAX)
    route = STR ("other");
  buf_printf (&labels, "route=\"%.*s\"", STR_ARG (route));
  buf_append_char (&labels, '\0');
  histogram = metrics_histogram (
      tally->metrics, "vanillahook_gateway_request_seconds", labels.ptr,
      "Time from a request's arrival to the end of its answer.");
  if (map_size (tally->routes) < TALLY_ROUTES_MAX)
    map_put (tally->routes, route, histogram);
  buf_free (&labels);
  return histogram;
}

static counter_t *
series_counter (tally_t *tally, str_t route, str_t team, const char *outcome,
                const char *reason)
{
  buf_t labels = BUF_NULL;

  if (map_get (tally->routes, route) == NULL)
    route = STR ("other");
  buf_printf (&labels,
              "route=\"%.*s\",team=\"%.*s\",outcome=\"%s\",reason=\"%s\"",
              STR_ARG (route), STR_ARG (team), outcome, reason);
  counter_t *counter = map_get (tally->series, buf_str (&labels));
  if (counter == NULL && map_size (tally->series) >= TALLY_SERIES_MAX)
    {
      labels.len = 0;
      buf_printf (&labels, "outcome=\"%s\"", outcome);
    }
  if (counter == NULL)
    {
      str_t key = buf_str (&labels);
      buf_append_char (&labels, '\0');
      counter = metrics_counter (
          tally->metrics, "vanillahook_gateway_request_ends_total", labels.ptr,
          "Requests by how they ended and why.");
      key.ptr = labels.ptr;
      if (map_size (tally->series) < TALLY_SERIES_MAX)
        map_put (tally->series, key, counter);
    }
  buf_free (&labels);
  return counter;
}

void
tally_request (tally_t *tally, str_t route, str_t team, const char *outcome,
               const char *reason, uint64_t ms)
{
  histogram_record (route_histogram (tally, route), ms * US_PER_MS);
  counter_add (series_counter (tally, route, team, outcome, reason), 1);
}
