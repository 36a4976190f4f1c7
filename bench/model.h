/* A queueing model of entries, sidecars and engines, to judge the decisions of
   the policy package by what callers receive.  Time is simulated; the same
   seed gives the same run.

   An engine works at all its running jobs at the same speed.  Up to its slots
   each runs at full speed; beyond them the total falls with a power of the
   excess (its square root, unless the pattern sets another), as batches that
   no longer fit its memory are evicted and computed again.  It takes four
   times its slots at most and lets the rest wait in order.  A cold engine has
   two slots and a fifth of the speed.

   The plain side is round robin (or what the pattern names), no limit, first
   come first served, three tries at once.  Both sides give up a request when
   its caller leaves at the deadline.  */

#ifndef BENCH_MODEL_H
#define BENCH_MODEL_H

#include "base/str.h"

enum
{
  MODEL_TEAMS = 10,
  MODEL_UPSTREAMS_MAX = 64,
  MODEL_ZONES = 3,
  /* Units of cost that a warm slot does in a second.  */
  MODEL_SLOT_UNITS_PER_S = 100
};

/* How the plain side chooses.  */
typedef enum
{
  BASELINE_ROUND_ROBIN,
  BASELINE_LEAST_REPORTED,
  BASELINE_PREFIX_HASH
} baseline_selection_t;

/* X (field, default, what it says).  Times are in seconds.  */
#define PATTERN_FIELDS(X)                                                     \
  X (duration, 60, "how long requests arrive")                                \
  X (warm_up, 5, "how long before requests are counted")                      \
  X (upstreams, 20, "engines, in turn over three zones")                      \
  X (slots, 8, "jobs an engine runs at full speed")                           \
  X (thrash, 0.5, "power of the excess with which an engine slows, 0 none")   \
  X (load, 0.7, "work that arrives, as a part of what all engines do")        \
  X (burst, 0, "load between burst_from and burst_to instead")                \
  X (burst_from, 10, "")                                                      \
  X (burst_to, 20, "")                                                        \
  X (hot_team, 0.1, "part of the requests that one team of ten sends")        \
  X (quiet, 0.05, "load of a team that sends half of its fair share")         \
  X (hot_prefix, 0, "part of the requests that share one prompt prefix")      \
  X (prefixes, 200, "other prefixes; an engine caches 32")                    \
  X (long_work, 0, "part of the work that is in long jobs")                   \
  X (long_cost, 6000, "mean units of a long job")                             \
  X (slow, 0, "engines that are five times slower")                           \
  X (failing, 0, "engines that answer errors at once")                        \
  X (fail_from, 0, "when they do")                                            \
  X (fail_to, 1e9, "")                                                        \
  X (cold_at, -1, "when one engine turns cold")                               \
  X (cold_for, 5, "for how long a cold engine stays cold")                    \
  X (new_at, -1, "when one engine more starts, cold")                         \
  X (zone_out, -1, "when a zone is taken out")                                \
  X (zone_in, -1, "when it is brought back, with cold engines")               \
  X (lag, 0.1, "most that a load report is late")                             \
  X (deadline, 5, "of a short job; a long one has twenty times that")

typedef struct
{
  str_t name;
  baseline_selection_t plain;
#define X(field, value, text) double field;
  PATTERN_FIELDS (X)
#undef X
} pattern_t;

typedef struct
{
  uint64_t requests;
  uint64_t attempts;   /* Sent to an upstream that took them.  */
  uint64_t dispatched; /* Sent at all; the others were refused there.  */
  uint64_t answered;   /* In time.  */
  uint64_t errors;     /* Ended by an error of an upstream.  */
  uint64_t refused;    /* Without waiting.  */
  uint64_t lapsed;     /* Refused after waiting, or left at the deadline.  */
  uint64_t late;       /* Answered after the deadline.  */
  double goodput;      /* Units a second answered in time.  */
  double short_p50_ms;
  double short_p99_ms;   /* Of short jobs that were not refused at once.  */
  double quiet_p99_ms;   /* The same of the quiet team.  */
  double quiet_answered; /* Part of its requests.  */
  double after_p99_ms;   /* The same of those that came from five to ten
                            seconds after the event of the pattern.  */
  double unfairness;     /* Shortfall of the team worst off against its max-min
                            fair share: 0 none, 1 nothing served.  */
  double bad_share;  /* Of the attempts, at slow, failing or cold engines.  */
  double crowding;   /* Most that one engine had, to the mean, of its load.  */
  double full_use_s; /* From the end of coldness until the engine carries
                        three quarters of the mean of all; the duration for
                        never.  */
} outcome_t;

/* Run PATTERN with SEED, by the plain side or by the policy package.  */
outcome_t model_run (const pattern_t *pattern, uint64_t seed, bool ours);

/* Patterns of bench/patterns.c.  */

/* Return the committed pattern INDEX, or NULL past the end.  */
const pattern_t *pattern_at (size_t index);
/* Parse "NAME[,FIELD=VALUE...]" into PATTERN.  NAME is a committed pattern or
   "plain", the defaults.  Return false when it names something unknown.  */
bool pattern_parse (str_t text, pattern_t *pattern);

#endif
