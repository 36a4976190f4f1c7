/* Roll-out of a version in steps that depend on measured results.

   Load pattern: a new version is worse than the old one: clearly, slightly,
   for one task class only, in latency only or in errors only.  Without this
   module a roll-out with fixed steps sends a tenth of the traffic to a bad
   version before anyone notices, and all of it when the difference is too
   small to be seen in a mean.

   The test is sequential, so that it may be evaluated after every answer: a
   mixture sequential probability ratio test on the difference of means, with a
   normal mixture over effects of the scale in ROLLOUT_METRICS (H. Robbins
   1970; always-valid form for two samples: R. Johari et al. 2017).  Inverted,
   it gives confidence sequences that hold at all times together.  Differences
   are taken inside strata (epoch, step, task class) and weighted by n*m/(n+m),
   with the answer counts n and m of the two versions.  Inside a stratum the
   ratio of the two versions' traffic is constant, so that a rating service
   that is wrong for a while, or a change of the traffic, affects both versions
   equally.

   ROLLOUT_ALPHA, the probability of halting a version that is within the
   margin, is split over the metrics.  Half of a metric's part goes to the test
   that pools all task classes, half to the tests of the single task classes.

   A step advances when, for each metric, the confidence sequence excludes harm
   beyond the step's tolerance, and no task class's plain estimate exceeds it.
   With probability 1 - ROLLOUT_ALPHA, a version that is worse than a step's
   tolerance in any metric therefore does not pass that step, and gets at most
   as many requests as the caps of the steps up to it add up to.  At the cap
   the version's share falls to 0, and the roll-out waits for ratings that are
   still to arrive, or for the operator.  Each process applies the cap to the
   state that it has, so the cap may be exceeded by the requests that others
   send while the state travels (share x request rate x gossip delay).

   Any process can resume a roll-out from its state: the measurements are sums
   (see crdt.h), and the decision is a function of them.  */

#ifndef POLICY_ROLLOUT_H
#define POLICY_ROLLOUT_H

#include "base/code.h"
#include "base/str.h"

/* State of one run of one roll-out.  */
typedef struct rollout_run rollout_run_t;

/* Largest probability of halting a version whose harm is within the margins.
   The users' bound is 1 in 20; the value is lower because the variance is
   estimated from the answers (plug-in variance), which adds an error that the
   bound of the test does not include.  */
#define ROLLOUT_ALPHA 0.02

/* X (symbol, name, margin, scale).  A difference up to MARGIN does not count
   as harm; SCALE is the effect size to which the mixture is tuned.  Ratings
   are 0 to 1, errors a share of the answers, latency a difference of natural
   logarithms, so that 10% slower is within the margin.  */
#define ROLLOUT_METRICS(X)                                                    \
  X (ROLLOUT_METRIC_RATING, "rating", 0.01, 0.1)                              \
  X (ROLLOUT_METRIC_ERROR, "error", 0.005, 0.1)                               \
  X (ROLLOUT_METRIC_LATENCY, "latency", 0.1, 0.3)

typedef enum
{
#define X(symbol, name, margin, scale) symbol,
  ROLLOUT_METRICS (X)
#undef X
      ROLLOUT_METRIC_COUNT
} rollout_metric_t;

/* X (symbol, share, cap, tolerance of rating, error, log latency).  The first
   step suffices to detect a broken version, at 1% of the traffic.  Each later
   step needs about as many ratings as arrive at its share within minutes.  CAP
   is the largest number of requests sent to the new version in the step,
   several times what a good version with a standard deviation of ratings of
   0.15 needs there.  */
#define ROLLOUT_STEPS(X)                                                      \
  X (ROLLOUT_STEP_1, 0.01, 400, 0.15, 0.15, 0.5)                              \
  X (ROLLOUT_STEP_2, 0.05, 1000, 0.08, 0.08, 0.4)                             \
  X (ROLLOUT_STEP_3, 0.10, 3000, 0.06, 0.05, 0.3)                             \
  X (ROLLOUT_STEP_4, 0.25, 8000, 0.05, 0.03, 0.25)                            \
  X (ROLLOUT_STEP_5, 0.50, 20000, 0.04, 0.02, 0.2)

enum
{
#define X(symbol, share, cap, rating, error, latency) symbol,
  ROLLOUT_STEPS (X)
#undef X
      ROLLOUT_STEP_COUNT,
  ROLLOUT_TASK_CLASSES_MAX = 16,
  ROLLOUT_EPOCH_MS = 60 * 60 * 1000,
  /* Strata of two days are kept; older ones are dropped.  */
  ROLLOUT_EPOCHS = 48,
  ROLLOUT_CELLS_MAX = 16384
};

typedef enum
{
  ROLLOUT_PHASE_RUNNING,
  ROLLOUT_PHASE_CAP_REACHED, /* Stopped at the step's cap; share 0 until more
                                measurements arrive or the operator resumes. */
  ROLLOUT_PHASE_PAUSED, /* Paused by the operator; the share stays as it is. */
  ROLLOUT_PHASE_HALTED, /* Halted by the measurements; share 0.  */
  ROLLOUT_PHASE_ABORTED, /* Aborted by the operator; share 0.  */
  ROLLOUT_PHASE_COMPLETE
} rollout_phase_t;

typedef enum
{
  ROLLOUT_ARM_OLD,
  ROLLOUT_ARM_NEW
} rollout_arm_t;

/* Result of one answer.  Completion and rating may be reported in separate
   calls.  */
typedef struct
{
  bool finished; /* Whether an attempt ended; only then FAILED and LATENCY_MS
                    count.  */
  bool failed;
  double latency_ms; /* 0 if unknown.  */
  bool rated;
  double rating;
} rollout_sample_t;

/* Estimate of one metric for the operators.  */
typedef struct
{
  double difference; /* New minus old version; positive values are harm.  */
  double lower;      /* Always-valid confidence bounds.  */
  double upper;
  double margin;
  double tolerance; /* Tolerance of the current step.  */
  uint64_t count_new;
  uint64_t count_old;
} rollout_estimate_t;

/* Create the state of a roll-out of NEW_VERSION that starts at START_MS (real
   time); WRITER is unique to each start of each process (see crdt.h).  All
   processes must pass the same version and start.  */
rollout_run_t *rollout_create (uint64_t writer, str_t new_version,
                               uint64_t start_ms);
/* Free ROLLOUT, which may be NULL.  */
void rollout_destroy (rollout_run_t *rollout);

/* Return the new version's current share of the requests.  */
double rollout_share (const rollout_run_t *rollout);
/* Return whether the session or request with hash KEY goes to the new version.
   All processes that have the same share return the same.  Raising the share
   never moves a key back to the old version.  */
bool rollout_is_assigned (const rollout_run_t *rollout, uint64_t key);
/* Return the share of ARM's answers to send to the rating service: all of
   them, or fewer where that would exceed a tenth of the service's answers.
   Return 0 unless the roll-out runs or is paused.  */
double rollout_rating_share (const rollout_run_t *rollout, rollout_arm_t arm);

/* Count a request that is dispatched to ARM.  */
void rollout_count_exposure (rollout_run_t *rollout, rollout_arm_t arm,
                             uint64_t now_ms);
void rollout_observe (rollout_run_t *rollout, rollout_arm_t arm, str_t task,
                      const rollout_sample_t *sample, uint64_t now_ms);

/* Evaluate the measurements: start the next step, stop at the cap of the
   current step, halt the roll-out, complete it, or change nothing.  Only the
   lease holder may call this, as often as it likes (such as once a second);
   when this returns true, the state has changed and the caller must write
   it.  */
bool rollout_decide (rollout_run_t *rollout, uint64_t now_ms);

/* Orders of the operator; each returns false if it does not apply to the
   current phase.  Resuming a roll-out that reached its step's cap grants the
   cap once more.  */
bool rollout_pause (rollout_run_t *rollout);
bool rollout_resume (rollout_run_t *rollout);
bool rollout_abort (rollout_run_t *rollout);

rollout_phase_t rollout_phase (const rollout_run_t *rollout);
const char *rollout_phase_name (rollout_phase_t phase);
const char *rollout_metric_name (rollout_metric_t metric);
/* Return the index of the step, from 0; ROLLOUT_STEP_COUNT when complete.  */
uint32_t rollout_step_index (const rollout_run_t *rollout);
/* Return the number of requests sent to the new version.  */
uint64_t rollout_exposed_count (const rollout_run_t *rollout);
/* Return the number of requests at which the new version's share falls to 0 in
   the current step.  */
uint64_t rollout_exposure_cap (const rollout_run_t *rollout);
/* Return the estimate of METRIC, pooled over all task classes in strata.  */
rollout_estimate_t rollout_estimate (const rollout_run_t *rollout,
                                     rollout_metric_t metric);
/* Append one line, such as "halted at step 1 of 5 (1%), shown 90: rating worse
   by 0.12, at least 0.03, for draft".  */
void rollout_explain (const rollout_run_t *rollout, buf_t *out);

/* Append the state: the decision and the measurements, or with OWN_ONLY only
   the decision and the recent measurements of this process (see
   crdt.h).  */
void rollout_write (const rollout_run_t *rollout, bool own_only, buf_t *out);
/* Merge what rollout_write wrote.  Of two decisions, the one with the larger
   sequence number is kept; of two with the same number, the one that sends
   fewer requests to the new version.  Return VH_OK, or VH_E_PROTOCOL with
   nothing merged.  */
vh_code_t rollout_merge (rollout_run_t *rollout, str_t bytes, uint64_t now_ms);
/* Compact all epochs except the last two (see crdt.h).  */
void rollout_compact (rollout_run_t *rollout, uint64_t generation,
                      uint64_t now_ms);

#endif
