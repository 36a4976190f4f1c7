/* The watch over versions in service.

   Answers: a version that served well for weeks turns bad: its weights were
   swapped, its engine degrades, its prompts drift.  Without it everyone gets
   its answers until a person complains.

   Change detection: a CUSUM of log-likelihood ratios (E. Page 1954) for each
   version, task class and metric over epochs of DEGRADATION_EPOCH_MS, against
   the series' own slow mean: Gaussian for ratings and the logarithm of
   latency, Bernoulli for errors.  DEGRADATION_CUSUM_THRESHOLD gives in theory
   e^20 answers to a false alarm where the reference is exact: over a year at
   ten requests a second.  A fall of 0.05 in ratings of spread 0.15 takes about
   360 ratings, one of 0.3 about 35.  It is a function of the sums of the last
   DEGRADATION_EPOCHS, so any process finds the same.

   An alarm is raised only when the other versions moved less than half as
   much since the change began: a rating service that turns wrong, or a
   zone that slows everyone, is no version's fault.  When they go on moving
   together for DEGRADATION_RELEARN_EPOCHS, the reference is learned anew.

   A version under alarm loses its share in three steps, so that the
   pools that take over are not hit at once: half, a tenth, nothing.  Only
   the operator gives it back (degradation_clear_alarm).  */

#ifndef POLICY_WATCH_H
#define POLICY_WATCH_H

#include "policy/rollout.h"

typedef struct watch degradation_t;

#define DEGRADATION_CUSUM_THRESHOLD 20.0

enum
{
  DEGRADATION_EPOCH_MS = 60 * 1000,
  DEGRADATION_EPOCHS = 240,
  DEGRADATION_RELEARN_EPOCHS = 30,
  DEGRADATION_SERIES_MAX = 128, /* Versions times task classes.  */
  DEGRADATION_VERSIONS_MAX = 64,
  DEGRADATION_CELLS_MAX = 32768,
  DEGRADATION_WEIGHT_STEP_MS = 30 * 1000 /* From one weight to the next.  */
};

degradation_t *degradation_create (uint64_t writer);
/* NULL is accepted.  */
void degradation_destroy (degradation_t *watch);
void degradation_observe (degradation_t *watch, str_t version, str_t task,
                          const rollout_sample_t *sample, uint64_t now_ms);
/* Look at the closed epochs; return true when an alarm was raised.  Any
   process may call it; the lease holder writes what it finds.  */
bool degradation_check (degradation_t *watch, uint64_t now_ms);
/* Share of its usual traffic that VERSION keeps: 1, or less under alarm.  */
double degradation_traffic_weight (const degradation_t *watch, str_t version,
                                   uint64_t now_ms);
/* Tell whether VERSION is under alarm, and of which metric.  */
bool degradation_get_alarm (const degradation_t *watch, str_t version,
                            rollout_metric_t *metric, uint64_t *since_ms);
/* The operator trusts VERSION again; its evidence so far no longer counts.
 */
void degradation_clear_alarm (degradation_t *watch, str_t version,
                              uint64_t now_ms);
void degradation_write (const degradation_t *watch, bool own_only, buf_t *out);
vh_code_t degradation_merge (degradation_t *watch, str_t bytes,
                             uint64_t now_ms);
void degradation_compact (degradation_t *watch, uint64_t generation,
                          uint64_t now_ms);

#endif
