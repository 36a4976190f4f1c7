/* What a gateway counts of its requests: totals by route, team, outcome and
   reason, and the time to their end by route, with a bound on the number of
   series.  */

#ifndef GATEWAY_TALLY_H
#define GATEWAY_TALLY_H

#include "base/metric.h"
#include "base/str.h"

enum
{
  /* Routes and teams come with the configuration, hundreds of them at times;
     what has no series of its own any more is counted under "other".  */
  TALLY_ROUTES_MAX = 64,
  TALLY_SERIES_MAX = 512
};

typedef struct tally tally_t;

/* METRICS is borrowed.  */
tally_t *tally_create (metrics_t *metrics);
void tally_destroy (tally_t *tally);
/* A request of TEAM on ROUTE ended with OUTCOME for REASON after MS.  */
void tally_request (tally_t *tally, str_t route, str_t team,
                    const char *outcome, const char *reason, uint64_t ms);

#endif
