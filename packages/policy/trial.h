/* Roll-out of one version of a service within a time limit.

   Load pattern: a new version fails, is slow or fails on one route only, from
   the start, later, or only under load.  Without this module a bad version
   receives all requests before an operator notices.

   - The new version's share of the requests rises in TRIAL_STEPS.  The
     current step and the time of the store's clock from which it applies
     stand in a row that all gateway processes read, so that all change the
     share at the same moment.  The share stays 0 in the first half of the
     time limit: the requests of one session may arrive at any process, no
     process knows which sessions are in progress at the others, and a
     session that is in progress in that half must not change its version.
   - Measurements cannot show a version that fails only under a load that
     its instances do not have yet.  The shares therefore add up to a part
     of the operators' bound on the requests that the version may get within
     the time limit.  It receives all requests when it is declared good, as
     late as the time limit allows; the requests that then run on the old
     version end while its instances drain.
   - A step advances only while the store answers: during an outage of the
     store the measurements of other processes cannot arrive, so the share
     must not rise.
   - Answers of both versions are counted in cells: one for each of
     TRIAL_ROUTE_CELLS groups of routes, and one for loaded
     instances.  Each process sends its counts, added to those that it
     received, to the process through which it reads the store.  The process
     that reads the store directly thus has the counts of all processes, and
     decides.  Counts of answers and failures decay with a half-life of
     about 4 s, counts of late times with one of about 13 s, so that the
     good answers of a version that fails later do not hide its failures.
   - An instance that crashes ends all its requests, at each process: a
     single crash looks like many failures of the version.  A lost
     connection therefore has the weight TRIAL_LOST_CONNECTION_WEIGHT, with
     which a version that loses half of its connections is still detected.
   - A version may fail only on loaded instances, and its answers from the
     other instances would hide that, so answers of loaded instances also
     count in a cell of their own.
   - Few answers, and a difference that other failures hide, are no evidence
     of a good version.  The version is declared good only if its answers
     make it unlikely that it is bad: each answer changes the logarithm of a
     likelihood ratio (Wald 1945), which compares the old version's share of
     failures at that time and process with that of a version that itself
     fails a part of its requests.  The part is small, since answers of a
     version that fails less than about half of it speak for the version on
     average.  While the old version fails as well, an answer changes the
     ratio by less.
   - A version that still may not advance shortly before the time limit is
     rolled back: its failures or late times exceed the old version's by too
     little to call the version bad, but by more than a version that gets
     all requests may have, or it has too few answers.
   - Neither the answers within the time limit nor their number show a
     version that turns bad later, that is bad under more load only, or that
     is bad so little that it passes by chance.  A version that was declared
     good is therefore watched.  It is withdrawn, and gets nothing more,
     when it has given TRIAL_BAD_ANSWERS_MAX bad answers and on most groups
     of its instances fails clearly more often than the old version did, or
     is late more often and its times are those of a slow version.  If
     instances of the old version are left they get the requests, else
     requests are refused, and nothing shows any more that the version is
     good.
   - A trouble of the instances must therefore not be taken for a bad version.
     Groups of instances with the largest shares are left out; but a trouble
     may also be one of most instances.  A version is the same at all of its
     instances: sound ones beside those that fail speak for it.  So the
     likelihood of the failures by group is compared between a fault of some
     instances, the others of which fail as seldom as those of a good version,
     and a fault of all, some of which may have a trouble beside.  The version
     is withdrawn for failures only if the latter is the more likely one, if
     it has looked so for TRIAL_BAD_ANSWERS_WAIT_MS, and if the answers of the
     last second fail as the others do.
   - The comparisons above bound the failures only in proportion to those of
     the old version.  The operators' bound on the bad answers of a bad
     version is absolute, so once the version has given
     TRIAL_BAD_ANSWERS_MAX of them, for whatever reason, it stays only while
     its answers show that it is good.  Each process counts its own bad
     answers; the counts of all processes, also of those that ended, are
     kept by every process that heard of them.
   - An old version that is in trouble is no yardstick for a version without
     that trouble: one that fails a sixth beside a third would look good.  Each
     process keeps the smallest share of failures that the old version had
     over a few seconds, and counts the old version's answers since its share
     has been above it.  If the new version fails clearly less often than the
     old one since then, the trouble is the old version's own.  The new
     version then is held to the smaller share, before it is declared good,
     and once it has given TRIAL_BAD_ANSWERS_MAX bad answers.  If both fail
     alike, the trouble may be common, and the comparisons above hold.
   - A version is bad when in one cell the share of its answers that failed
     exceeds the old version's by TRIAL_FAILURE_EXCESS of the old version's
     good ones and by TRIAL_FAILURE_STDERRS standard errors, over
     TRIAL_ANSWERS_MIN answers; or when its time to the first event is
     TRIAL_FIRST_EVENT_RATIO times the old version's.
   - A version that fails no request and is only slow shows in the time to
     the first event and in the gaps between events.  Each time is compared
     with the old version's times for the same model, a prompt as long and
     an instance with the same load, by a regression of their logarithms; if
     load were ignored, a version eight times as slow would pass, since its
     instances are nearly empty.  The mean of each route's own times takes the
     place of the regression's constant, since the routes of a group may
     differ by orders of magnitude.  A time that is a fixed multiple of the
     usual one is late, and late answers are tested as failures are.
   - A fixed multiple shows little of a version that makes all times
     somewhat longer, or a few of them much longer while those of the old
     version vary as much.  Before the version is declared good, histograms
     of the times of both versions are compared by the likelihood of each of
     several slow versions (TRIAL_SLOW_VERSIONS), a mixture of the old
     version's times and of the same times shifted.  */

#ifndef POLICY_TRIAL_H
#define POLICY_TRIAL_H

#include "base/code.h"
#include "base/str.h"
#include "policy/regression.h"
#include "policy/route_levels.h"

#define TRIAL_FAILURE_EXCESS 0.15
#define TRIAL_FAILURE_STDERRS 3.0
#define TRIAL_FIRST_EVENT_RATIO 3.0
/* X (symbol, late, samples, stderrs, independence, name): the times that are
   measured of a send.  A time is late when it exceeds LATE times the usual one
   under the same conditions.  The version is bad when, over at least SAMPLES
   times, its share of late ones exceeds the old version's by TRIAL_LATE_EXCESS
   and by STDERRS standard errors.  In a likelihood one time counts as
   INDEPENDENCE times.

   The time to the first event includes waiting behind other prompts, which
   delays all requests that are at one instance at the same time.  The gap
   between events depends on the size of the batch alone.  */
#define TRIAL_TIMINGS(X)                                                      \
  X (TRIAL_TIMING_FIRST_EVENT, 4.0, 16, 4.5, 0.5, "first events")             \
  X (TRIAL_TIMING_EVENT_GAP, 2.5, 8, 4.0, 1.0, "gaps between events")
#define TRIAL_LATE_EXCESS 0.3
/* X (share, bins, log_ratio_max): versions that are slow.  SHARE of the times
   of such a version is later than the old version's by BINS bins of the
   histograms of times.  The new version is not slow if the logarithm of the
   likelihood ratio, slow against equal, is at most LOG_RATIO_MAX.  */
#define TRIAL_SLOW_VERSIONS(X)                                                \
  X (0.5, 3, -2.0)                                                            \
  X (0.15, 5, 3.0)
/* A step does not advance while the new version's share of late times exceeds
   the old version's by TRIAL_HOLD_LATE_EXCESS and by TRIAL_HOLD_STDERRS
   standard errors.  */
#define TRIAL_HOLD_LATE_EXCESS 0.15
#define TRIAL_HOLD_STDERRS 1.5
/* Replaces TRIAL_HOLD_STDERRS from TRIAL_FINISH_LEAD_MS before the time limit
   on, when a version that may not advance is rolled back.  */
#define TRIAL_FINAL_HOLD_STDERRS 3.0
/* Weight of a lost connection as a failure when the version is tested for
   being bad: a crash loses several connections at once.  */
#define TRIAL_LOST_CONNECTION_WEIGHT 0.2
/* Weight of a lost connection as a failure when a step is to advance.  */
#define TRIAL_ADVANCE_LOST_CONNECTION_WEIGHT 0.5
/* Factor by which counts of answers decay in a second.  */
#define TRIAL_DECAY_PER_S 0.85
/* Factor by which counts of late times decay in a second.  The factor is
   larger than TRIAL_DECAY_PER_S, because a dozen late answers must be found
   where three answers arrive in a second.  */
#define TRIAL_TIMING_DECAY_PER_S 0.95

/* A step advances when the new version has at least TRIAL_ADVANCE_ANSWERS_MIN
   answers and its share of failed ones exceeds the old version's by at most
   TRIAL_ADVANCE_EXCESS; with fewer answers, after TRIAL_STEP_TIMEOUT_FACTOR
   times the step's minimum length.  */
#define TRIAL_ADVANCE_EXCESS 0.1
/* Before the version is declared good, its share of failed answers may in no
   cell exceed the old version's both by TRIAL_FINAL_EXCESS and by
   TRIAL_FINAL_STDERRS standard errors.  */
#define TRIAL_FINAL_EXCESS 0.13
#define TRIAL_FINAL_STDERRS 2.0
/* In a cell (a group of routes, or the loaded instances) that has counted at
   least TRIAL_BUSY_CELL_ANSWERS answers of the old version since the start,
   the new version needs at least TRIAL_BUSY_CELL_NEW_MIN answers before it is
   declared good.  */
#define TRIAL_BUSY_CELL_ANSWERS 100.0
/* Number of requests since the start from which a service, or a group of its
   routes, is busy, so that a new version must be shown to be good.  */
#define TRIAL_BUSY_REQUESTS 100.0
/* Smallest part of the requests that a bad version itself fails, of all
   requests and of those of a group of routes on which alone it is bad, and the
   part that a good one may.  A version that is bad less than that, or that is
   taken for good by chance, is found after it was declared good.  */
#define TRIAL_BAD_SHARE 0.25
#define TRIAL_BAD_ROUTE_SHARE 0.4
#define TRIAL_GOOD_SHARE 0.04
/* Logarithms of the likelihood ratio, good against bad, from which the version
   is shown to be good over all its answers, and over those of a busy group of
   routes.  */
#define TRIAL_GOOD_LOG_RATIO 2.0
#define TRIAL_GOOD_CELL_LOG_RATIO 1.8
/* Factor by which the logarithms decay in a second, so that a version that
   turns bad is no longer shown to be good.  */
#define TRIAL_LIKELIHOOD_DECAY_PER_S 0.95
/* Share of the old version's answers that fail from which the new version is
   not declared good, as it may have turned bad unnoticed.  */
#define TRIAL_OLD_FAILURES_MAX 0.5
#define TRIAL_BUSY_CELL_NEW_MIN 2.0
#define TRIAL_ADVANCE_ANSWERS_MIN 4.0
#define TRIAL_STEP_TIMEOUT_FACTOR 3

/* Number of bad answers from which the version must be shown to be good, and
   the time that it has for that.  The operators count to 50, and a process may
   hear of the others' answers up to 2 s late.  */
#define TRIAL_BAD_ANSWERS_MAX 40
#define TRIAL_BAD_ANSWERS_WAIT_MS 1500
/* A version in service must look bad for TRIAL_BAD_ANSWERS_WAIT_MS before it
   is withdrawn, with gaps of at most TRIAL_SUSPECT_GAP_MS, and must still fail
   as often, less TRIAL_SUSPECT_STDERRS standard errors.  */
#define TRIAL_SUSPECT_GAP_MS 3000
#define TRIAL_SUSPECT_STDERRS 2.0

/* A version is watched until this long after its time limit.  */
#define TRIAL_WATCH_MS 600000
/* Part of the groups of instances, those with the most failures or late
   answers, that are left out when a version is watched.  */
#define TRIAL_WATCH_LEFT_OUT_PART 0.4
/* Excess over the old version's share of failures or late answers, as a part
   of its other answers, from which a version in service is bad, the excess
   that a good one may have, and the logarithm of the likelihood ratio of the
   two.  */
#define TRIAL_WATCH_EXCESS 0.05
#define TRIAL_WATCH_GOOD_EXCESS 0.02
#define TRIAL_WATCH_LOG_RATIO 3.0
/* The same over the answers of a group of routes alone; larger, as there are
   several.  */
#define TRIAL_WATCH_ROUTE_LOG_RATIO 4.5
/* Largest share of failures that a trouble of instances is taken to cause.  */
#define TRIAL_WATCH_TROUBLED_SHARE_MAX 0.99
/* Logarithms of the likelihood ratio, of one of TRIAL_SLOW_VERSIONS against a
   version with the old one's times, from which a version in service is slow,
   over gaps between events, and over first events where there are no gaps.  */
#define TRIAL_WATCH_GAPS_LOG_RATIO 10.0
#define TRIAL_WATCH_FIRST_EVENTS_LOG_RATIO 25.0
/* Smallest mean of these logarithms over the times, since over many times a
   small difference between the versions adds up.  */
#define TRIAL_WATCH_LOG_RATIO_PER_TIME 0.15

/* Standard errors by which the new version's share of failures must be below
   that of the old version in a trouble, so that the trouble is the old
   version's own.  With 3, in the model a version that fails 0.17 beside a
   third, at 30 requests per second, stays too long in a fifth of the
   roll-outs.  */
#define TRIAL_TROUBLE_STDERRS 2.0
/* Replaces TRIAL_TROUBLE_STDERRS when the version is to be declared good.  It
   is larger, since with 2 a few good versions in a trouble of both versions
   would be rolled back by chance.  */
#define TRIAL_TROUBLE_HOLD_STDERRS 2.5
/* Number of recent answers of the old version from which their share of
   failures is known.  */
#define TRIAL_CALM_ANSWERS_MIN 50.0

/* X (symbol, minimum length of the step as a part of the time limit).  */
#define TRIAL_STEPS(X)                                                        \
  X (TRIAL_STEP_NO_TRAFFIC, 0.50)                                             \
  X (TRIAL_STEP_INITIAL, 0.11)                                                \
  X (TRIAL_STEP_INCREASED, 0.06)
/* Part of the operators' bound on the requests to the new version that all
   steps together may use.  */
#define TRIAL_STEPS_EXPOSURE_PART 0.8
/* Share in TRIAL_STEP_INITIAL, as a part of the operators' bound.  */
#define TRIAL_INITIAL_EXPOSURE_PART 0.7
/* Largest share before the version is declared good.  */
#define TRIAL_SHARE_MAX 0.35

typedef enum
{
#define X(symbol, part) symbol,
  TRIAL_STEPS (X)
#undef X
      TRIAL_STEP_COUNT
} trial_step_t;

typedef enum
{
#define X(symbol, late, samples, stderrs, independence, name) symbol,
  TRIAL_TIMINGS (X)
#undef X
      TRIAL_TIMING_COUNT
} trial_timing_t;

enum
{
  TRIAL_ROUTE_CELLS = 4,
  /* The last cell holds the answers of loaded instances, of any route.  */
  TRIAL_CELL_COUNT = TRIAL_ROUTE_CELLS + 1,
  TRIAL_ANSWERS_MIN = 9,
  /* Number of models of a service whose times are compared apart.  */
  TRIAL_MODELS = 4,
  TRIAL_TIME_BINS = 16,
  /* Number of groups of instances whose answers are counted apart.  */
  TRIAL_INSTANCE_GROUPS = 64,
  /* Time from writing a step to its start: all processes read the row within a
     second, and a second of answers must be evaluated before the next
     step.  */
  TRIAL_STEP_NOTICE_MS = 1000,
  /* Time after the new version's first requests in which its time to the first
     event is ignored: its instances have no prompt in their caches yet.  */
  TRIAL_WARM_UP_MS = 1000,
  /* Age at which the counts of another process expire.  Processes report every
     second, and a process whose reports arrive through another reader of the
     store from now on must not count twice for long.  */
  TRIAL_PEER_EXPIRY_S = 4,
  TRIAL_STEP_MS_MIN = 1500,
  /* Time before the limit at which a version is declared good, so that the
     operators read the result within the limit.  */
  TRIAL_FINISH_LEAD_MS = 700,
  /* Time before the limit at which a version that is held back is rolled back,
     so that the operators read the result within the limit.  */
  TRIAL_ROLLBACK_LEAD_MS = 500
};

typedef struct trial trial_t;

typedef enum
{
  TRIAL_PHASE_RUNNING,
  TRIAL_PHASE_DONE,
  TRIAL_PHASE_ROLLED_BACK,
  TRIAL_PHASE_WITHDRAWN /* It was declared good, and turned out to be bad.  */
} trial_phase_t;

typedef enum
{
  TRIAL_ARM_OLD,
  TRIAL_ARM_NEW,
  TRIAL_ARM_COUNT
} trial_arm_t;

/* X (field, decimals in a message, decay factor per second): sums over
   answers, in the order in which a message holds them.

   - lost_connections: number of lost connections, without weight.
   - total_count, total_failed: answers and failed answers since the start,
     without decay and without lost connections.
   - first_events: answers with a first event.
   - log_wait_sum, log_wait_square_sum: sums of the logarithms of the times to
     the first event, in ms, and of their squares.  */
#define TRIAL_SUMS(X)                                                         \
  X (count, 2, TRIAL_DECAY_PER_S)                                             \
  X (failed, 2, TRIAL_DECAY_PER_S)                                            \
  X (lost_connections, 2, TRIAL_DECAY_PER_S)                                  \
  X (total_count, 1, 1)                                                       \
  X (total_failed, 1, 1)                                                      \
  X (first_events, 2, TRIAL_DECAY_PER_S)                                      \
  X (log_wait_sum, 3, TRIAL_DECAY_PER_S)                                      \
  X (log_wait_square_sum, 3, TRIAL_DECAY_PER_S)

/* Sums over the answers of one version in one cell.  */
typedef struct
{
#define X(field, decimals, decay) double field;
  TRIAL_SUMS (X)
#undef X
  double timing_count[TRIAL_TIMING_COUNT]; /* Number of measured times.  */
  double late_count[TRIAL_TIMING_COUNT]; /* Number of late ones among them.  */
} trial_sums_t;

/* X (field, decimals in a message, decay factor per second): sums over the
   requests of one group of routes, in the order in which a message holds them.

   - requests: for the service, of either version.
   - failures_against, failures_for: logarithms of likelihood ratios by which
     failures and other answers of the new version speak against and for it,
     if a bad version fails TRIAL_BAD_SHARE.
   - losses_against: the same of its lost connections, without weight.
   - route_failures_against, route_failures_for, route_losses_against: the same
     if it fails TRIAL_BAD_ROUTE_SHARE.  */
#define TRIAL_LIKELIHOODS(X)                                                  \
  X (requests, 0, 1)                                                          \
  X (failures_against, 2, TRIAL_LIKELIHOOD_DECAY_PER_S)                       \
  X (failures_for, 2, TRIAL_LIKELIHOOD_DECAY_PER_S)                           \
  X (losses_against, 2, TRIAL_LIKELIHOOD_DECAY_PER_S)                         \
  X (route_failures_against, 2, TRIAL_LIKELIHOOD_DECAY_PER_S)                 \
  X (route_failures_for, 2, TRIAL_LIKELIHOOD_DECAY_PER_S)                     \
  X (route_losses_against, 2, TRIAL_LIKELIHOOD_DECAY_PER_S)

typedef struct
{
#define X(field, decimals, decay) double field;
  TRIAL_LIKELIHOODS (X)
#undef X
} trial_likelihoods_t;

/* ORDER is the number of the operators' order, which distinguishes two orders
   for the same version.  EXPOSURE is the part of the service's requests that
   the version may get within TIME_LIMIT_MS.  */
trial_t *trial_create (str_t service, str_t version, uint64_t order,
                       uint64_t time_limit_ms, double exposure);
/* Set the time of the store's clock at which this process first saw the order;
   0 if unknown.  */
void trial_set_order_seen_ms (trial_t *trial, uint64_t order_seen_ms);
uint64_t trial_order_seen_ms (const trial_t *trial);
/* Free TRIAL, which may be NULL.  */
void trial_destroy (trial_t *trial);
str_t trial_version (const trial_t *trial);
uint64_t trial_order (const trial_t *trial);
/* Change the number of the order, which the operators wrote again.  */
void trial_set_order (trial_t *trial, uint64_t order);
uint64_t trial_time_limit_ms (const trial_t *trial);
trial_phase_t trial_phase (const trial_t *trial);
const char *trial_phase_name (trial_phase_t phase);
void trial_set_phase (trial_t *trial, trial_phase_t phase);
/* Set whether the row in the store holds a final phase.  */
void trial_set_final_phase_stored (trial_t *trial, bool is_final_phase_stored);
bool trial_is_final_phase_stored (const trial_t *trial);
/* Set the progress from the row in the store: the time at which a process
   first saw the order, the step, and the time from which the step applies, by
   the store's clock.  */
void trial_set_progress (trial_t *trial, uint64_t start_ms, uint32_t step,
                         uint64_t step_start_ms);
/* Return the time at which a process first saw the order, by the store's
   clock; 0 before the row was read.  */
uint64_t trial_start_ms (const trial_t *trial);
uint32_t trial_step (const trial_t *trial);
/* Return the time from which the step applies, by the store's clock.  */
uint64_t trial_step_start_ms (const trial_t *trial);

/* Return the new version's share of the requests at NOW_MS of the store's
   clock.  */
double trial_share (const trial_t *trial, uint64_t now_ms);
/* Return whether the session or request with hash KEY goes to the new version.
   A rising share never moves a key back to the old version.  */
bool trial_is_assigned (const trial_t *trial, uint64_t key, uint64_t now_ms);

/* Earlier sends of one request.  */
typedef struct
{
  bool was_sent;      /* Whether the request was sent before, to ARM.  */
  trial_arm_t arm;    /* Version of the first send.  */
  bool failed_on_new; /* Whether an earlier send to the new version failed.  */
} trial_send_history_t;

/* Return the version for a request with hash KEY.  A request stays with the
   version of its first send: a stream that was interrupted on the old version
   must not continue on a version that may be bad, where a second failure would
   end it.  A request that failed on the new version goes to the old one.  */
trial_arm_t trial_choose_arm (const trial_t *trial, uint64_t key,
                              uint64_t now_ms,
                              const trial_send_history_t *history);

typedef enum
{
  TRIAL_OUTCOME_ANSWERED,
  TRIAL_OUTCOME_FAILED, /* Failure response of the upstream, or timeout.  */
  /* The connection was lost, or the instance is gone.  */
  TRIAL_OUTCOME_CONNECTION_LOST
} trial_outcome_t;

/* Count a request on a route with hash ROUTE, before its first send.  */
void trial_count_request (trial_t *trial, uint64_t route);
/* Set the id under which this process counts bad answers.  Each process needs
   its own, also after a restart.  */
void trial_set_process_id (trial_t *trial, uint64_t process_id);
/* Count a bad answer of the new version: it failed, broke off or was late.  */
void trial_count_bad_answer (trial_t *trial);
typedef enum
{
  TRIAL_FLAW_FAILED, /* Also a lost connection.  */
  TRIAL_FLAW_LATE,
  TRIAL_FLAW_NONE,
  TRIAL_FLAW_COUNT = TRIAL_FLAW_NONE
} trial_flaw_t;

/* Count an answer with FLAW of an instance of group INSTANCE, on a route with
   hash ROUTE.  */
void trial_count_answer (trial_t *trial, trial_arm_t arm, uint64_t route,
                         uint64_t instance, trial_flaw_t flaw);
/* Return whether the version was declared good and is watched at NOW_MS of the
   store's clock.  */
bool trial_is_watched (const trial_t *trial, uint64_t now_ms);
/* Return whether the version was rolled back or withdrawn.  */
bool trial_is_reverted (const trial_t *trial);
/* Return the number of bad answers of which this process knows.  */
uint64_t trial_bad_answers (const trial_t *trial);
/* Count the outcome of a send on a route with hash ROUTE.  WAIT_MS is the time
   to its first event, 0 if there was none.  IS_LOADED: at least half of the
   instance's slots were in use.  */
void trial_observe (trial_t *trial, trial_arm_t arm, uint64_t route,
                    trial_outcome_t outcome, uint64_t wait_ms, bool is_loaded);
/* A time of a send that was measured.  */
typedef struct
{
  trial_timing_t timing;
  uint64_t route;         /* Group of the route.  */
  uint64_t route_id;      /* Hash of the route's name.  */
  size_t model;           /* Index of the model in the route's list.  */
  uint32_t prompt_tokens; /* Number of tokens of the prompt; 0: unknown.  */
  uint32_t load; /* Number of requests of all processes at the instance.  */
  double ms;
  uint64_t now_ms; /* End of the time by the store's clock.  */
} trial_time_t;

/* The usual times of the version of a service that is in service, whether or
   not another version is ordered.  A version may have too little time to
   learn them after its order.  */
typedef struct
{
  /* Logarithms of the times.  */
  regression_t regressions[TRIAL_TIMING_COUNT][TRIAL_MODELS];
  /* The same by route, without the effects of prompt and load.  */
  route_levels_t levels[TRIAL_TIMING_COUNT];
  /* Histograms of the logarithms of ratios to the usual time.  */
  double times[TRIAL_TIMING_COUNT][TRIAL_TIME_BINS + 1];
} trial_usual_times_t;

/* Add TIME to USUAL, which is all 0 at first.  */
void trial_usual_times_add (trial_usual_times_t *usual,
                            const trial_time_t *time);
/* Let a second pass for USUAL.  Return false if hardly a sample is left.  */
bool trial_usual_times_decay (trial_usual_times_t *usual);
/* Set the old version's times before the order to USUAL.  Called before any
   time is counted.  */
void trial_set_usual_times (trial_t *trial, const trial_usual_times_t *usual);
/* Count TIME of a send to ARM.  Return whether it is late.  */
bool trial_observe_timing (trial_t *trial, trial_arm_t arm,
                           const trial_time_t *time);
/* Count WAIT for a first event that ended without one, as the caller left, the
   connection broke or the time was over.  It shows only that the time would
   have been longer.  If the wait is not late, it counts apart from the times,
   since callers who leave early leave a slow version more often.  Return
   whether the wait is late.  */
bool trial_observe_unanswered (trial_t *trial, trial_arm_t arm,
                               const trial_time_t *wait);
/* Multiply each sum by its decay factor (TRIAL_SUMS and
   TRIAL_TIMING_DECAY_PER_S); totals do not decay.  The caller must call this
   once a second.  */
void trial_decay (trial_t *trial);

/* Append the message to the other processes: this process's counts and, with
   ALL, the counts that others sent to it.  */
void trial_write (trial_t *trial, bool all, buf_t *out);
/* Replace the counts of PROCESS by those in the message TEXT.
   WAS_SENT_BY_PEER is true if PROCESS sent the message, and false if the
   message was read from the store.  The counts expire after
   TRIAL_PEER_EXPIRY_S seconds.  Return VH_OK, or VH_E_PROTOCOL with nothing
   changed; a message for another order is ignored.  */
vh_code_t trial_merge (trial_t *trial, str_t process, bool was_sent_by_peer,
                       str_t text);
/* Take the bad answers of all processes from the message TEXT, and nothing
   else.  */
vh_code_t trial_merge_bad_answers (trial_t *trial, str_t text);
/* Return whether a count changed since the last trial_write.  */
bool trial_has_unwritten_counts (const trial_t *trial);

typedef enum
{
  TRIAL_DECISION_WAIT,      /* The current step stays in force.  */
  TRIAL_DECISION_ADVANCE,   /* The next step may start.  */
  TRIAL_DECISION_ROLL_BACK, /* The version is bad; all requests return to the
                               old one.  */
  TRIAL_DECISION_FINISH,    /* The version is good and gets all requests;
                               instances of the old version may drain.  */
  TRIAL_DECISION_WITHDRAW   /* The version in service is bad and gets no more
                               requests.  */
} trial_decision_t;

/* Append the counts of all processes over the answers of ARM to OUT: answers,
   failed ones and lost connections, first decayed and then since the start,
   and late times of the measured ones.  */
void trial_describe (const trial_t *trial, trial_arm_t arm, buf_t *out);

/* Decide on the counts of all processes.  If the version is bad, append the
   reason to REASON.  IS_STORE_DOWN: the counts of other processes may be
   missing, so no step advances, and a version in service stays.  */
trial_decision_t trial_decide (trial_t *trial, uint64_t now_ms,
                               bool is_store_down, buf_t *reason);

#endif
