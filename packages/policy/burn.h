/* Service-level burn: how fast each objective's error budget is spent.

   Answers: an operator must see before dawn whether an objective is in
   danger and who spends it: one team, a model, a version or a zone.  Without
   it a mean over the day hides an hour of failure, and an alert on any
   failure cries wolf.

   Each objective has a budget, the share (or amount) of harm it allows.  The
   burn rate is harm over budget: 1 spends it exactly, 14.4 spends a thirty
   day budget's fiftieth in an hour.  Four windows are kept: 5 minutes, 1
   hour, 6 hours and 3 days, the pairs of "The Site Reliability Workbook"
   (2018), chapter 5: both of a pair must burn, so that an alert is neither
   raised by a blip nor kept up by what is over.  BURN_PAGE_RATE for 5 minutes
   and 1 hour, BURN_TICKET_RATE for 6 hours and 3 days are its figures.  The
   budget left is that of three days.

   Cost and memory are bounded: sums are kept for the whole and for each
   team, model, version and zone by itself, not for their combinations; at
   most BURN_SERIES_MAX such names a process, what comes later counts under
   "other".  Sums are evidence.h's, so reports of several processes add up in
   any order and a repeated one changes nothing.  */

#ifndef POLICY_BURN_H
#define POLICY_BURN_H

#include "base/code.h"
#include "base/str.h"

typedef struct burn burn_t;

enum
{
  BURN_OBJECTIVES_MAX = 16,
  BURN_SERIES_MAX = 256, /* Objectives times names.  */
  /* What one process fills at most: all names in all hours kept.  */
  BURN_CELLS_DEFAULT = 20480
};

#define BURN_PAGE_RATE 14.4
#define BURN_TICKET_RATE 1.0

/* X (symbol, name, seconds).  */
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

/* X (symbol, name).  What an objective may ask.  */
#define BURN_KINDS(X)                                                         \
  X (BURN_ANSWERED, "answered")                                               \
  X (BURN_FIRST_TOKEN, "first-token")                                         \
  X (BURN_BETWEEN_TOKENS, "between-tokens")                                   \
  X (BURN_QUALITY, "quality")                                                 \
  X (BURN_COST, "cost")

typedef enum
{
#define X(symbol, name) symbol,
  BURN_KINDS (X)
#undef X
      BURN_KIND_COUNT
} burn_kind_t;

/* X (symbol, name).  By what a burn is split.  */
#define BURN_SPLITS(X)                                                        \
  X (BURN_ALL, "all")                                                         \
  X (BURN_TEAM, "team")                                                       \
  X (BURN_MODEL, "model")                                                     \
  X (BURN_VERSION, "version")                                                 \
  X (BURN_ZONE, "zone")

typedef enum
{
#define X(symbol, name) symbol,
  BURN_SPLITS (X)
#undef X
      BURN_SPLIT_COUNT
} burn_split_t;

/* The meaning of the fields is that of the configuration's [objective]; 0
   means not asked.  */
typedef struct
{
  str_t name;
  str_t team;      /* Empty: all.  */
  double answered; /* Share, such as 0.999.  */
  uint64_t first_token_ms;
  uint64_t between_tokens_ms;
  double within;  /* Share that must meet the two above.  */
  double quality; /* Mean rating; its budget is 1 - QUALITY.  */
  double cost;    /* Mean price units a request; it is the budget.  */
} burn_objective_t;

/* One request's end.  What is not known is left 0, or NaN for the rating. */
typedef struct
{
  str_t team;
  str_t model;
  str_t version;
  str_t zone;
  bool answered;
  double first_token_ms;
  double between_tokens_ms; /* The longest, or a high percentile.  */
  double rating;            /* NaN: not rated.  */
  double cost;
} burn_sample_t;

/* Harm, count and burn rate of one kind in one window.  */
typedef struct
{
  double count; /* Requests, or ratings, that it was measured on.  */
  double harm;  /* Of them, lost; or the sum of what was lost of each.  */
  double rate;  /* 1: the budget is spent exactly.  */
} burn_rate_t;

/* WRITER as in evidence.h.  CELLS_MAX bounds the memory (about 1 KB a cell);
   a process that merges many others' states asks for more than the
   default.  */
burn_t *burn_create (uint64_t writer, uint32_t cells_max);
/* NULL is accepted.  */
void burn_destroy (burn_t *burn);

/* Replace the objectives.  Evidence is kept under an objective's name: one
   whose thresholds change goes on with the old counts until they age.
   Objectives beyond BURN_OBJECTIVES_MAX are left out and false is
   returned.  */
bool burn_set_objectives (burn_t *burn, const burn_objective_t *objectives,
                          size_t count);

/* Count one request for every objective that covers its team.  NOW_MS is real
   time.  */
void burn_observe (burn_t *burn, const burn_sample_t *sample, uint64_t now_ms);
/* Count a rating that came after the request's end; only the names and the
   rating of SAMPLE are used.  */
void burn_observe_rating (burn_t *burn, const burn_sample_t *sample,
                          uint64_t now_ms);

/* Burn of KIND of objective INDEX over WINDOW, for NAME of SPLIT (BURN_ALL:
   NAME is ignored).  Rate 0 when nothing is known or it is not asked.  */
burn_rate_t burn_rate (const burn_t *burn, size_t index, burn_kind_t kind,
                       burn_split_t split, str_t name, burn_window_t window,
                       uint64_t now_ms);
/* Part of the three days' budget that is left; below 0 when overspent.  */
double burn_budget_left (const burn_t *burn, size_t index, burn_kind_t kind,
                         uint64_t now_ms);

/* Append the report.  The HTML is one page without outside parts.  */
void burn_write_text (const burn_t *burn, uint64_t now_ms, buf_t *out);
void burn_write_json (const burn_t *burn, uint64_t now_ms, buf_t *out);
void burn_write_html (const burn_t *burn, uint64_t now_ms, buf_t *out);

/* State for the table and for other processes, as in evidence.h.  */
void burn_write (const burn_t *burn, bool own_only, buf_t *out);
vh_code_t burn_merge (burn_t *burn, str_t bytes, uint64_t now_ms);
void burn_compact (burn_t *burn, uint64_t generation, uint64_t now_ms);

#endif
