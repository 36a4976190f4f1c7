/* Detection of versions in service that become worse.

   Load pattern: a version that answered well for weeks becomes worse, because
   its weights were replaced, its inference engine degrades or its prompts
   change.  Without this module it keeps its traffic until a caller complains.

   Change detection: a CUSUM of log-likelihood ratios (E. Page 1954) for each
   version, task class and metric, over epochs of WATCH_EPOCH_MS.  The
   reference is the slow mean of the same series.  Ratings and the logarithm of
   latency are taken as Gaussian, errors as Bernoulli.  With an exact
   reference, WATCH_THRESHOLD gives in theory e^20 answers to a false alarm,
   more than a year at ten requests a second.  A drop of 0.05 in ratings with a
   standard deviation of 0.15 is detected after about 360 ratings, a drop of
   0.3 after about 35.  The result is a function of the sums of the last
   WATCH_EPOCHS, so that all processes find the same.

   An alarm is raised only if the other versions changed less than half as much
   since the change began: no version is at fault when the rating service
   becomes wrong or a zone slows all versions down.  When all versions have
   changed together for WATCH_COMMON_EPOCHS, the reference is learned again.

   A version under alarm loses its traffic in three steps, to a half, a tenth
   and nothing, so that the load on the pools that take over does not rise at
   once.  Only the operator ends the alarm (watch_clear).  */

#ifndef POLICY_WATCH_H
#define POLICY_WATCH_H

#include "policy/rollout.h"

typedef struct watch watch_t;

#define WATCH_THRESHOLD 20.0

enum
{
  WATCH_EPOCH_MS = 60 * 1000,
  WATCH_EPOCHS = 240,
  WATCH_COMMON_EPOCHS = 30,
  WATCH_SERIES_MAX = 128, /* Largest number of pairs of a version and a task
                             class.  */
  WATCH_VERSIONS_MAX = 64,
  WATCH_CELLS_MAX = 32768,
  WATCH_STEP_MS = 30 * 1000 /* Time from one reduction of the traffic to the
                               next.  */
};

/* WRITER is that of evidence.h.  */
watch_t *watch_create (uint64_t writer);
/* NULL is accepted.  */
void watch_destroy (watch_t *watch);
void watch_observe (watch_t *watch, str_t version, str_t task,
                    const rollout_sample_t *sample, uint64_t now_ms);
/* Evaluate the closed epochs.  Return true if an alarm was raised.  Any
   process may call this; only the lease holder writes the result to the
   store.  */
bool watch_step (watch_t *watch, uint64_t now_ms);
/* Return the part of its usual traffic that VERSION keeps: 1, or less under
   alarm.  */
double watch_weight (const watch_t *watch, str_t version, uint64_t now_ms);
/* Tell whether VERSION is under alarm; if so, store the metric and the start
   of the alarm.  */
bool watch_alarm (const watch_t *watch, str_t version,
                  rollout_metric_t *metric, uint64_t *since_ms);
/* End the alarm on VERSION by order of the operator.  Measurements before
   NOW_MS no longer count.  */
void watch_clear (watch_t *watch, str_t version, uint64_t now_ms);
/* Write, merge and compact the state, as in evidence.h.  */
void watch_write (const watch_t *watch, bool own_only, buf_t *out);
vh_code_t watch_merge (watch_t *watch, str_t bytes, uint64_t now_ms);
void watch_settle (watch_t *watch, uint64_t generation, uint64_t now_ms);

#endif
