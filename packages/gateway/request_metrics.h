/* Metrics of finished requests: a counter by route, team, outcome and reason,
   and a histogram of the request duration by route.  The number of time series
   is bounded.  */

#ifndef GATEWAY_REQUEST_METRICS_H
#define GATEWAY_REQUEST_METRICS_H

#include "base/metric.h"
#include "base/str.h"

enum
{
  /* The configuration may define hundreds of routes and teams.  Routes beyond
     the limit are counted under the route label `other'.  */
  REQUEST_METRICS_ROUTES_MAX = 64,
  /* Label combinations beyond the limit are counted by outcome alone.  */
  REQUEST_METRICS_SERIES_MAX = 512
};

typedef struct request_metrics request_metrics_t;

/* Create the metrics in METRICS, which is borrowed.  */
request_metrics_t *request_metrics_create (metrics_t *metrics);
void request_metrics_destroy (request_metrics_t *request_metrics);
/* Count a request of TEAM on ROUTE that ended with OUTCOME for REASON,
   DURATION_MS after its arrival.  */
void request_metrics_record (request_metrics_t *request_metrics, str_t route,
                             str_t team, const char *outcome,
                             const char *reason, uint64_t duration_ms);

#endif
