/* Roll-out of a version by evidence.

   Answers: a new version is worse: clearly, slightly, for one task class
   alone, only slower, or only erring.  Without it a roll-out of fixed steps
   shows a bad version to a tenth of the traffic before anyone looks, and to
   all of it when the difference is smaller than what a glance at a mean shows.

   The test is sequential, so that it may be looked at after every answer: a
   mixture sequential probability ratio test on the difference of means (a
   normal mixture over effects of ROLLOUT_METRICS' scale, H. Robbins 1970;
   its two-sample always-valid form R. Johari et al. 2017), inverted to
   confidence sequences that hold at all moments together.  Differences are
   taken inside strata (epoch, step, task class) and weighted n*m/(n+m): inside
   one the proportion of the two versions is constant, so that a rating
   service that is wrong for a while, or a change of the traffic, touches both
   sides alike.

   ROLLOUT_ALPHA, the chance of halting a version that is within the margin,
   is split over the metrics, half of it to the overall test and half to the
   tests of the task classes seen.

   A step is left when, for each metric, the confidence sequence excludes
   harm beyond the step's tolerance (and no task class's plain estimate lies
   beyond it).  So with probability 1 - ROLLOUT_ALPHA a
   version worse than a step's tolerance in any metric never leaves that
   step, and at most the step's cap, summed up to it, are shown to it: at
   that number its share drops to nothing and the roll-out waits for ratings
   that are on their way, or for the operator.  Entries apply the cap to the
   evidence they have: it may be overrun by what arrives while the state
   travels (share x rate x gossip delay).

   Any process resumes from the state: evidence is sums (evidence.h), and the
   decision is a function of them.  */

#ifndef POLICY_ROLLOUT_H
#define POLICY_ROLLOUT_H

#include "base/code.h"
#include "base/str.h"

/* One run of one roll-out.  */
typedef struct rollout_run rollout_run_t;

/* Chance that a version as good as the old one is halted; the users' bound
   is 1 in 20, and the plug-in variance takes some of it.  */
#define ROLLOUT_ALPHA 0.02

/* X (symbol, name, margin, scale).  A difference within MARGIN is not
   harm; SCALE is the effect the mixture is tuned to.  Ratings 0 to 1, errors
   a share, latency a difference of natural logarithms: 10% slower is within
   the margin.  */
#define ROLLOUT_METRICS(X)                                                    \
  X (ROLLOUT_RATING, "rating", 0.01, 0.1)                                     \
  X (ROLLOUT_ERROR, "error", 0.005, 0.1)                                      \
  X (ROLLOUT_LATENCY, "latency", 0.1, 0.3)

typedef enum
{
#define X(symbol, name, margin, scale) symbol,
  ROLLOUT_METRICS (X)
#undef X
      ROLLOUT_METRIC_COUNT
} rollout_metric_t;

/* X (symbol, share, cap, tolerance of rating, error, log latency).  The first
   step tells a broken version from a working one at 1% of the traffic; each
   next one asks for about the ratings that the one before brings in minutes.
   CAP is the most requests shown in the step, several times what a good
   version with a rating spread of 0.15 needs there.  */
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
  ROLLOUT_EPOCHS = 48, /* Two days of strata; older ones are forgotten.  */
  ROLLOUT_CELLS_MAX = 16384
};

typedef enum
{
  ROLLOUT_PHASE_RUNNING,
  ROLLOUT_PHASE_STARVED, /* At the step's cap: share 0 until evidence or order.
                          */
  ROLLOUT_PHASE_PAUSED,  /* By the operator: the share stays as it is.  */
  ROLLOUT_PHASE_HALTED,  /* By evidence: taken back.  */
  ROLLOUT_PHASE_ABORTED, /* By the operator: taken back.  */
  ROLLOUT_PHASE_COMPLETE
} rollout_phase_t;

typedef enum
{
  ROLLOUT_OLD,
  ROLLOUT_NEW
} rollout_arm_t;

/* What is known of one answer; the parts may come in separate calls.  */
typedef struct
{
  bool finished; /* An attempt ended: counts, with FAILED and LATENCY_MS.  */
  bool failed;
  double latency_ms; /* 0: not known.  */
  bool rated;
  double rating;
} rollout_sample_t;

/* One line of evidence for the operators.  */
typedef struct
{
  double difference; /* New minus old; harm is positive.  */
  double lower;      /* Always-valid bounds.  */
  double upper;
  double margin;
  double tolerance; /* Of the step.  */
  uint64_t count_new;
  uint64_t count_old;
} rollout_estimate_t;

/* Make the state of a roll-out of NEW_VERSION that starts at START_MS (real
   time); WRITER as in evidence.h.  All processes make it with the same
   version and start.  */
rollout_run_t *rollout_create (uint64_t writer, str_t new_version,
                               uint64_t start_ms);
/* NULL is accepted.  */
void rollout_destroy (rollout_run_t *rollout);

/* Share of the requests that the new version gets now.  */
double rollout_share (const rollout_run_t *rollout);
/* Tell whether the session or request with hash KEY goes to the new version:
   the same everywhere for the same share, and a greater share only adds
   keys.  */
bool rollout_is_assigned (const rollout_run_t *rollout, uint64_t key);
/* Share of the answers of ARM to send to the rating service at this step.
   All of the new version's until the step has its ratings, and as many of
   the old one's.  */
double rollout_rating_share (const rollout_run_t *rollout, rollout_arm_t arm);

/* Count a request as shown to ARM, when it is dispatched.  */
void rollout_count_exposure (rollout_run_t *rollout, rollout_arm_t arm,
                             uint64_t now_ms);
void rollout_observe (rollout_run_t *rollout, rollout_arm_t arm, str_t task,
                      const rollout_sample_t *sample, uint64_t now_ms);

/* Decide on the evidence: advance, starve, halt or complete.  Only the lease
   holder calls it, as often as it likes (such as once a second), and writes
   the state when it returns true: something changed.  */
bool rollout_decide (rollout_run_t *rollout, uint64_t now_ms);

/* Operators' orders; each returns false when it does not apply.  Resuming a
   roll-out at its step's cap, starved or paused, grants the cap once more.  */
bool rollout_pause (rollout_run_t *rollout);
bool rollout_resume (rollout_run_t *rollout);
bool rollout_abort (rollout_run_t *rollout);

rollout_phase_t rollout_phase (const rollout_run_t *rollout);
const char *rollout_phase_name (rollout_phase_t phase);
const char *rollout_metric_name (rollout_metric_t metric);
/* From 0; ROLLOUT_STEP_COUNT when complete.  */
uint32_t rollout_step_index (const rollout_run_t *rollout);
/* Requests shown to the new version.  */
uint64_t rollout_exposed_count (const rollout_run_t *rollout);
/* The bound on requests shown before leaving the present step.  */
uint64_t rollout_exposure_cap (const rollout_run_t *rollout);
/* What is known of METRIC overall.  */
rollout_estimate_t rollout_estimate (const rollout_run_t *rollout,
                                     rollout_metric_t metric);
/* One line, such as "halted at step 1 (1%): rating 0.12 worse (at least
   0.03) for draft".  */
void rollout_explain (const rollout_run_t *rollout, buf_t *out);

/* Append the state: the decision and the evidence, all of it or only the
   decision and the news (see evidence.h).  */
void rollout_write (const rollout_run_t *rollout, bool own_only, buf_t *out);
/* Merge what rollout_write made.  Of two decisions the one taken later in
   the sequence holds, and of two taken at the same place the more careful
   one.  Return VH_OK, or VH_E_PROTOCOL with nothing merged.  */
vh_code_t rollout_merge (rollout_run_t *rollout, str_t bytes, uint64_t now_ms);
/* Fold epochs older than the last two (see evidence.h).  */
void rollout_compact (rollout_run_t *rollout, uint64_t generation,
                      uint64_t now_ms);

#endif
