/* Burn rates of service-level objectives: how fast each error budget is spent.

   Load pattern: an objective is in danger, and the operator must see it early,
   with the team, model, version or zone that causes most of the harm.  Without
   this module a mean over the day hides an hour of failures, and an alert on
   any failure is raised so often that it is ignored.

   Each objective has a budget, the share (or amount) of harm that it allows.
   The burn rate is harm divided by budget: at 1 the budget is spent exactly,
   at 14.4 a fiftieth of a thirty days' budget is spent in an hour.  Four
   windows are kept: 5 minutes, 1 hour, 6 hours and 3 days, in the pairs of
   "The Site Reliability Workbook" (2018), chapter 5.  An alert needs a burn
   rate above the pair's threshold in both windows of a pair, so that a short
   peak raises no alert, and the alert ends soon after the problem.
   BURN_PAGE_RATE_MIN for 5 minutes and 1 hour, and BURN_TICKET_RATE_MIN for 6
   hours and 3 days, are the book's figures.  The remaining budget is that of
   three days.

   Cost and memory are bounded: sums are kept for the whole service and for
   each team, model, version and zone by itself, not for their combinations,
   for at most BURN_SERIES_MAX names in a process; further names count as
   "other".  The sums are those of crdt.h, so that the states of several
   processes add up in any order and a repeated message changes nothing.  */

#ifndef POLICY_BURN_H
#define POLICY_BURN_H

#include "base/code.h"
#include "base/str.h"

typedef struct burn burn_t;

enum
{
  BURN_OBJECTIVES_MAX = 16,
  /* Largest number of combinations of an objective and the name of a team,
     model, version or zone.  */
  BURN_SERIES_MAX = 256,
  /* Largest number of cells that one process fills: one for each name in each
     of the hours kept.  */
  BURN_CELLS_DEFAULT = 20480
};

#define BURN_PAGE_RATE_MIN 14.4
#define BURN_TICKET_RATE_MIN 1.0

/* X (symbol, name, seconds): windows over which burn rates are computed.  */
#define BURN_WINDOWS(X)                                                       \
  X (BURN_5M, "5m", 300)                                                      \
  X (BURN_1H, "1h", 3600)                                                     \
  X (BURN_6H, "6h", 21600)                                                    \
  X (BURN_3D, "3d", 259200)

typedef enum
{
#define X(symbol, name, seconds) symbol,
  BURN_WINDOWS (X)
#undef X
      BURN_WINDOW_COUNT
} burn_window_t;

/* X (symbol, name).  Kinds of requirements that an objective may have.  */
#define BURN_KINDS(X)                                                         \
  X (BURN_KIND_ANSWERED, "answered")                                          \
  X (BURN_KIND_FIRST_TOKEN, "first-token")                                    \
  X (BURN_KIND_BETWEEN_TOKENS, "between-tokens")                              \
  X (BURN_KIND_QUALITY, "quality")                                            \
  X (BURN_KIND_COST, "cost")

typedef enum
{
#define X(symbol, name) symbol,
  BURN_KINDS (X)
#undef X
      BURN_KIND_COUNT
} burn_kind_t;

/* X (symbol, name).  Dimensions by which a burn rate is split.  */
#define BURN_SPLITS(X)                                                        \
  X (BURN_SPLIT_ALL, "all")                                                   \
  X (BURN_SPLIT_TEAM, "team")                                                 \
  X (BURN_SPLIT_MODEL, "model")                                               \
  X (BURN_SPLIT_VERSION, "version")                                           \
  X (BURN_SPLIT_ZONE, "zone")

typedef enum
{
#define X(symbol, name) symbol,
  BURN_SPLITS (X)
#undef X
      BURN_SPLIT_COUNT
} burn_split_t;

/* An objective, as configured in a section [objective].  A field is 0 if the
   objective has no such requirement.  */
typedef struct
{
  str_t name;
  str_t team; /* Empty for all teams.  */
  /* Required share of answered requests, such as 0.999.  */
  double answered_share;
  uint64_t first_token_ms;
  uint64_t between_tokens_ms;
  /* Share of requests that must meet the two times above.  */
  double timely_share;
  double quality_target; /* Required mean rating; the budget is 1 -
                            QUALITY_TARGET.  */
  double cost_budget;    /* Budget: mean price units for a request.  */
} burn_objective_t;

/* Measurements of one request at its end.  Unknown values are 0, or NaN for
   the rating.  */
typedef struct
{
  str_t team;
  str_t model;
  str_t version;
  str_t zone;
  bool answered;
  double first_token_ms;
  /* Longest time between two tokens, or a high percentile of these times.  */
  double between_tokens_ms;
  double rating; /* NaN if not rated.  */
  double cost;
} burn_sample_t;

/* Harm, count and burn rate of one kind of requirement in one window.  */
typedef struct
{
  double count; /* Number of requests that were measured, or of ratings.  */
  double harm;  /* Number of failed or late requests, or the sum of 1 - rating
                   over the ratings, or the sum of the request costs.  */
  double rate;  /* Burn rate; at 1 the budget is spent exactly.  */
} burn_rate_t;

/* Return new burn rates without objectives, owned by the caller.  WRITER is
   unique to each start of each process (see crdt.h).  CELLS_MAX bounds the
   memory (about 1 KB for each cell); a process that merges the states of many
   others needs more than the default.  */
burn_t *burn_create (uint64_t writer, uint32_t cells_max);
/* Free BURN, which may be NULL.  */
void burn_destroy (burn_t *burn);

/* Replace the objectives.  Sums are kept under an objective's name: if only
   its thresholds change, it keeps the sums until they expire.  Return false if
   there are more than BURN_OBJECTIVES_MAX; the rest is ignored.  */
bool burn_set_objectives (burn_t *burn, const burn_objective_t *objectives,
                          size_t count);

/* Count one request for every objective that covers its team.  NOW_MS is real
   time.  */
void burn_observe (burn_t *burn, const burn_sample_t *sample, uint64_t now_ms);
/* Count a rating that arrived after the request's end.  Only the names and the
   rating of SAMPLE are used.  */
void burn_observe_rating (burn_t *burn, const burn_sample_t *sample,
                          uint64_t now_ms);

/* Return the burn of KIND of the objective with index INDEX over WINDOW, for
   NAME of SPLIT; with BURN_SPLIT_ALL, NAME is ignored.  All values are 0 if
   nothing was measured; the rate is 0 if the objective has no such
   requirement.  */
burn_rate_t burn_rate (const burn_t *burn, size_t index, burn_kind_t kind,
                       burn_split_t split, str_t name, burn_window_t window,
                       uint64_t now_ms);
/* Return the part of the three days' budget that is left; negative if more
   than the budget was spent.  */
double burn_budget_left (const burn_t *burn, size_t index, burn_kind_t kind,
                         uint64_t now_ms);

/* Append a report on all objectives to OUT, as text, as JSON or as an HTML
   page that loads no other files.  */
void burn_write_text (const burn_t *burn, uint64_t now_ms, buf_t *out);
void burn_write_json (const burn_t *burn, uint64_t now_ms, buf_t *out);
void burn_write_html (const burn_t *burn, uint64_t now_ms, buf_t *out);

/* Write, merge and compact the state, as in crdt.h.  */
void burn_write_state (const burn_t *burn, bool own_only, buf_t *out);
vh_code_t burn_merge (burn_t *burn, str_t bytes, uint64_t now_ms);
void burn_compact (burn_t *burn, uint64_t generation, uint64_t now_ms);

#endif
