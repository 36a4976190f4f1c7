/* The request rate that an instance announced: how many requests a second it
   accepts from all gateways together, until it no longer announces it.  */

#ifndef POLICY_RATELIMIT_H
#define POLICY_RATELIMIT_H

#include <stdbool.h>
#include <stdint.h>

/* The limit of one instance, as known to this gateway.  A zeroed structure has
   no limit.  Times are monotonic, in ms.  */
typedef struct
{
  bool is_announced;     /* Whether the instance announces a limit.  */
  double rate_per_s;     /* Rate that was announced last.  */
  uint64_t since_ms;     /* Time at which the limit became known.  */
  uint64_t confirmed_ms; /* Time of the last announcement.  */
} rate_limit_t;

/* Record the announcement of RATE_PER_S, at least 0.  Return whether there was
   no limit before, or one of another rate.  */
bool rate_limit_announce (rate_limit_t *limit, double rate_per_s,
                          uint64_t now_ms);
/* Record that the instance no longer announces a limit.  Return whether there
   was one.  */
bool rate_limit_end (rate_limit_t *limit);

#endif
