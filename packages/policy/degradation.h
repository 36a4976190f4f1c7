/* Detection of versions in service that become worse.

   Load pattern: a version that answered well for weeks becomes worse, because
   its weights were replaced, its inference engine degrades or its prompts
   change.  Without this module it keeps its traffic until a caller complains.

   Change detection: a CUSUM of log-likelihood ratios (E. Page 1954) for each
   version, task class and metric, over epochs of DEGRADATION_EPOCH_MS.  The
   reference is the slow mean of the same series.  Ratings and the logarithm of
   latency are taken as Gaussian, errors as Bernoulli.  With an exact
   reference, DEGRADATION_CUSUM_THRESHOLD of 20 lets on average e^20 answers
   pass before a false alarm in theory, more than a year at ten requests a
   second.  A drop of 0.05 in ratings with a standard deviation of 0.15 is
   detected after about 360 ratings, a drop of 0.3 after about 35.  The result
   is a function of the sums of the last DEGRADATION_EPOCHS, so that all
   processes with the same sums raise the same alarms.

   An alarm is raised only if the other versions changed less than half as much
   since the change began: no version is at fault when the rating service
   becomes wrong or a zone slows all versions down.  When all versions have
   changed together for DEGRADATION_RELEARN_EPOCHS, the reference is learned
   again.

   A version under alarm loses its traffic in three steps, to a half, a tenth
   and nothing, so that the load on the pools that take over does not rise at
   once.  Only the operator ends the alarm (degradation_clear_alarm).  */

#ifndef POLICY_DEGRADATION_H
#define POLICY_DEGRADATION_H

#include "policy/rollout.h"

typedef struct degradation degradation_t;

#define DEGRADATION_CUSUM_THRESHOLD 20.0

enum
{
  DEGRADATION_EPOCH_MS = 60 * 1000,
  DEGRADATION_EPOCHS = 240,
  DEGRADATION_RELEARN_EPOCHS = 30,
  /* Largest number of pairs of a version and a task class.  */
  DEGRADATION_SERIES_MAX = 128,
  DEGRADATION_VERSIONS_MAX = 64,
  DEGRADATION_CELLS_MAX = 32768,
  /* Time from one reduction of the traffic to the next.  */
  DEGRADATION_WEIGHT_STEP_MS = 30 * 1000
};

/* Return a new detector without measurements, owned by the caller.  WRITER is
   unique to each start of each process (see crdt.h).  */
degradation_t *degradation_create (uint64_t writer);
/* Free DEGRADATION, which may be NULL.  */
void degradation_destroy (degradation_t *degradation);
void degradation_observe (degradation_t *degradation, str_t version,
                          str_t task, const rollout_sample_t *sample,
                          uint64_t now_ms);
/* Evaluate the closed epochs.  Return true if an alarm was raised.  Any
   process may call this; only the lease holder writes the result to the
   store.  */
bool degradation_check (degradation_t *degradation, uint64_t now_ms);
/* Return the part of its usual traffic that VERSION keeps: 1, or less under
   alarm.  */
double degradation_traffic_weight (const degradation_t *degradation,
                                   str_t version, uint64_t now_ms);
/* Return whether VERSION is under alarm; if so, store the metric and the start
   of the alarm.  */
bool degradation_get_alarm (const degradation_t *degradation, str_t version,
                            rollout_metric_t *metric, uint64_t *since_ms);
/* End the alarm on VERSION by order of the operator.  Measurements before
   NOW_MS no longer count.  */
void degradation_clear_alarm (degradation_t *degradation, str_t version,
                              uint64_t now_ms);
/* Write, merge and compact the state, as in crdt.h.  */
void degradation_write (const degradation_t *degradation, bool own_only,
                        buf_t *out);
vh_code_t degradation_merge (degradation_t *degradation, str_t bytes,
                             uint64_t now_ms);
void degradation_compact (degradation_t *degradation, uint64_t generation,
                          uint64_t now_ms);

#endif
