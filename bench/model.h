/* A discrete-event queueing model of entries, sidecars and engines.  It judges
   the decisions of the policy package by the latency and the success of
   requests.  Time is simulated; the same seed gives the same run.

   An engine processes all its running jobs at the same speed.  Up to its
   number of slots each job runs at full speed.  Beyond that number the total
   speed falls with a power of the excess (its square root, unless the pattern
   sets another power), because batches that no longer fit the engine's memory
   are evicted and computed again.  An engine runs at most four times its slots
   and queues further jobs in order of arrival.  A cold engine has two slots
   and a fifth of the speed.

   The baseline selects upstreams by round robin (or by the algorithm that the
   pattern names), has no concurrency limit, serves requests first come, first
   served, and makes up to three attempts without a delay between them.  With
   the baseline and with the policy package alike, a request ends when its
   caller disconnects at the deadline.  */

#ifndef BENCH_MODEL_H
#define BENCH_MODEL_H

#include "base/str.h"

enum
{
  MODEL_TEAMS = 10,
  MODEL_UPSTREAMS_MAX = 64,
  MODEL_ZONES = 3,
  /* Units of cost that one slot of a warm engine processes in a second.  */
  MODEL_SLOT_UNITS_PER_S = 100
};

/* Algorithm by which the baseline selects an upstream.  */
typedef enum
{
  BASELINE_ROUND_ROBIN,
  /* The lowest number of requests in the latest load reports.  */
  BASELINE_LEAST_REPORTED,
  /* Hash of the prompt prefix; round robin for a request without a prefix.  */
  BASELINE_PREFIX_HASH
} baseline_selection_t;

/* X (field, default, help text).  Times are in seconds.  */
#define PATTERN_FIELDS(X)                                                     \
  X (duration, 60, "time during which requests arrive")                       \
  X (warm_up, 5, "time before requests are counted")                          \
  X (upstreams, 20, "number of engines, spread over three zones")             \
  X (slots, 8, "jobs that an engine runs at full speed")                      \
  X (thrash, 0.5, "power of the excess with which an engine slows, 0: none")  \
  X (load, 0.7, "offered work as a fraction of the engines' capacity")        \
  X (burst, 0, "load between burst_from and burst_to; 0: no burst")           \
  X (burst_from, 10, "")                                                      \
  X (burst_to, 20, "")                                                        \
  X (hot_team, 0.1, "fraction of the requests sent by one team of ten")       \
  X (quiet, 0.05, "load of a team that sends half of its fair share")         \
  X (hot_prefix, 0, "fraction of the requests with the same prompt prefix")   \
  X (prefixes, 200, "number of other prefixes; an engine caches 32")          \
  X (long_work, 0, "fraction of the work that is in long jobs")               \
  X (long_cost, 6000, "mean units of a long job")                             \
  X (slow, 0, "number of engines that are five times slower")                 \
  X (failing, 0, "engines that fail at once between fail_from and fail_to")   \
  X (fail_from, 0, "start of the errors")                                     \
  X (fail_to, 1e9, "")                                                        \
  X (cold_at, -1, "time when one engine becomes cold, -1: never")             \
  X (cold_for, 5, "time for which a cold engine stays cold")                  \
  X (new_at, -1, "time when one more engine starts, cold, -1: never")         \
  X (zone_out, -1, "time when a zone is taken out of service, -1: never")     \
  X (zone_in, -1, "time when the zone returns with cold engines, -1: never")  \
  X (lag, 0.1, "longest delay of a load report")                              \
  X (deadline, 5, "deadline of a short job; a long job has 20 times as much")

typedef struct
{
  str_t name;
  baseline_selection_t baseline_selection;
#define X(field, value, text) double field;
  PATTERN_FIELDS (X)
#undef X
} pattern_t;

/* Counts and statistics of a run.  Requests that arrive during the warm-up are
   not counted, except in ANSWERED_LATE.  */
typedef struct
{
  uint64_t requests;
  /* Attempts that an upstream accepted.  */
  uint64_t attempts;
  /* Attempts sent, including those that an upstream refused.  */
  uint64_t dispatched;
  /* Requests answered within their deadline.  */
  uint64_t answered;
  /* Requests that ended with an error of an upstream.  */
  uint64_t failed;
  /* Requests refused on arrival, without waiting.  */
  uint64_t refused;
  /* Requests refused after a wait, or abandoned by the caller at the
     deadline.  */
  uint64_t timed_out;
  /* Requests answered after their deadline.  */
  uint64_t answered_late;
  /* Units of work per second that were answered in time.  */
  double goodput_units_per_s;
  /* Quantiles of the time until a short job ended.  Jobs refused on arrival
     are left out here and in the quantiles below.  */
  double short_p50_ms;
  double short_p99_ms;
  /* 99th percentile for short jobs of the team that sends half of its fair
     share.  */
  double quiet_p99_ms;
  /* Fraction of the same team's work that was answered in time.  */
  double quiet_answered;
  /* 99th percentile for short jobs that arrived from five to ten seconds after
     the pattern's event: return of a zone, cold phase or start of an engine,
     end of a burst, or start of errors.  */
  double after_event_p99_ms;
  /* Shortfall of the worst-served team against its max-min fair share: 0 none,
     1 nothing served.  */
  double unfairness;
  /* Fraction of the attempts that went to slow, failing or cold engines.  */
  double bad_attempt_share;
  /* Mean ratio of the most loaded engine's load to the mean load.  */
  double load_imbalance;
  /* Longest time from the end of an engine's cold phase until the engine runs
     three quarters of the mean number of jobs; the pattern's duration if no
     engine did.  */
  double recovery_s;
} model_result_t;

/* Run PATTERN with SEED, with the policy package if USE_POLICY and with the
   baseline otherwise.  */
model_result_t model_run (const pattern_t *pattern, uint64_t seed,
                          bool use_policy);

/* Patterns of bench/patterns.c.  */

/* Return the built-in pattern INDEX, or NULL past the end.  */
const pattern_t *pattern_at (size_t index);
/* Parse "NAME[,FIELD=VALUE...]" into PATTERN.  NAME is a built-in pattern, or
   "plain" for the defaults.  Return false for an unknown name or field and for
   a value that is out of range.  */
bool pattern_parse (str_t text, pattern_t *pattern);

#endif
