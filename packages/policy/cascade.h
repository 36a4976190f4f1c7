/* Which version answers a request, and whether a cheap one may try first.

   Answers: most requests are easy and a cheap version answers them well
   enough, but nothing in a request says so.  Without it either every request
   pays for the strongest version, or a threshold set by hand is too strict
   for one task class and too lax for the next.

   A cascade runs the cheap version first, has its answer rated before it is
   released and escalates when the rating lies below a threshold.  For each
   (task class, cheap, strong) and each of CASCADE_BINS bins of that rating it
   is learned: how many answers fall in the bin; how good they are by a
   second, independent rating of some of them (a rating is noisy, and the
   answers that pass a threshold passed it in part by luck); and how good the
   strong answer was where the cheap one fell in the bin (what is escalated is
   harder than the average).  The threshold is the lowest whose lower quality
   bound (one-sided 95%) meets the target, drawn between the two edges of a
   bin in the proportion that just meets it, and the plan is the cheapest of
   all direct and cascaded ones that do.  Cost counts both attempts and every
   rating.

   Escalation needs room: both attempts and the rating within
   CASCADE_DEADLINE_SHARE of the deadline left, the rest being for queueing.
   A streaming caller gets a cascade only when the first version's whole
   answer and its rating fit the time it may wait for the first byte.

   Exploration has a budget in money: a share of the cost, which exploring
   plans may add on average.  Only
   requests with room to escalate explore, at most a quarter of them, and a
   cheap answer is then released only when it is rated at the target or
   above.  It goes to pairs that by their upper bound would cost clearly less
   than the plan in use.  So while nothing is known, when a cheap answer first
   adds little to the strongest one's price, it is frequent, and later rare.
   */

#ifndef POLICY_CASCADE_H
#define POLICY_CASCADE_H

#include "base/code.h"
#include "base/rng.h"
#include "policy/quality.h"

typedef struct cascade cascade_t;

enum
{
  CASCADE_BINS = 20,
  CASCADE_CANDIDATES_MAX = 16,
  CASCADE_EPOCH_MS = 60 * 60 * 1000,
  CASCADE_EPOCHS = 24,
  CASCADE_KEYS_MAX = 2048,
  CASCADE_CELLS_MAX = 32768
};

/* Share of the deadline left that a plan may use.  */
#define CASCADE_DEADLINE_SHARE 0.8
/* Share of the cascades whose first answer is rated twice, and of the
   escalated answers that are rated: this much while little is known, and the
   floor once a bin's neighbourhood is.  */
#define CASCADE_AUDIT_SHARE_MAX 0.3
#define CASCADE_AUDIT_SHARE_MIN 0.02

/* Share of the cost that exploration may add.  */
#define CASCADE_EXPLORE_COST_SHARE 0.08

typedef enum
{
  CASCADE_PREFER_COST,
  CASCADE_PREFER_LATENCY
} cascade_prefer_t;

typedef enum
{
  CASCADE_NONE,     /* No candidate.  */
  CASCADE_DIRECT,   /* FIRST answers.  */
  CASCADE_TWO_STAGE /* FIRST answers, is rated, and SECOND takes over.  */
} cascade_kind_t;

/* X (symbol, short code, sentence).  The short code goes into the header and
   the counters.  */
#define CASCADE_REASONS(X)                                                    \
  X (CASCADE_R_NO_CANDIDATE, "no-candidate", "No version is permitted.")      \
  X (CASCADE_R_SINGLE_VERSION, "only", "One version alone is permitted.")     \
  X (CASCADE_R_CHEAPEST, "cheapest-in-bound",                                 \
     "The cheapest version whose quality bound meets the target.")            \
  X (CASCADE_R_FASTEST, "fastest-in-bound",                                   \
     "The fastest version whose quality bound meets the target.")             \
  X (CASCADE_R_TWO_STAGE, "cheap-first",                                      \
     "A rated cheap answer first costs less than any direct choice.")         \
  X (CASCADE_R_NO_BOUND, "strongest",                                         \
     "No bound meets the target; what may be the strongest is used.")         \
  X (CASCADE_R_DEADLINE, "deadline-short",                                    \
     "No room to escalate; the best direct choice within the deadline.")      \
  X (CASCADE_R_STREAMING, "streaming",                                        \
     "The first byte cannot wait for a rated first answer.")                  \
  X (CASCADE_R_RATER_DOWN, "rater-down",                                      \
     "The rating service does not answer; a direct choice.")                  \
  X (CASCADE_R_TOO_LATE, "too-late",                                          \
     "No version answers within the deadline; the fastest one.")              \
  X (CASCADE_R_EXPLORE, "explore",                                            \
     "A cheap answer first, released only if rated at the target.")

typedef enum
{
#define X(symbol, code, sentence) symbol,
  CASCADE_REASONS (X)
#undef X
      CASCADE_REASON_COUNT
} cascade_reason_t;

typedef struct
{
  str_t version;
  double cost;             /* Expected, of this request on it.  */
  quality_bound_t quality; /* For the request's task class.  */
  double latency_ms;       /* Whole answer, such as the 95th percentile.  */
} cascade_candidate_t;

typedef struct
{
  str_t task;
  const cascade_candidate_t *candidates;
  size_t count; /* At most CASCADE_CANDIDATES_MAX are looked at.  */
  double target;
  cascade_prefer_t prefer;
  uint64_t deadline_left_ms;
  bool streaming;
  uint64_t first_byte_ms;   /* How long a streaming caller may wait for it.  */
  double rating_cost;       /* Of one rating.  */
  double rating_latency_ms; /* Such as the 95th percentile.  */
  bool rater_ok;
  double explore; /* Share of the cost it may add; 0: none.  */
} cascade_request_t;

typedef struct
{
  cascade_kind_t kind;
  cascade_reason_t reason;
  size_t first;     /* Index of the candidate.  */
  size_t second;    /* For CASCADE_TWO_STAGE.  */
  double threshold; /* Escalate when the rating lies below it.  */
  double whole;     /* Share of such plans whose threshold is the upper edge
                       of the bin; drawn already.  */
  bool audit;  /* CASCADE_DIRECT: rate the answer.  CASCADE_TWO_STAGE: rate
                  the first answer once more, and the second one if it
                  runs.  Off the request's way.  */
  double cost; /* Expected, ratings included.  */
  double latency_ms;
  double quality;
  double lower;
} cascade_plan_t;

/* WRITER as in evidence.h.  */
cascade_t *cascade_create (uint64_t writer);
/* NULL is accepted.  */
void cascade_destroy (cascade_t *cascade);

/* Choose for REQUEST.  NOW_MS is real time.  */
cascade_plan_t cascade_plan (cascade_t *cascade, rng_t *rng,
                             const cascade_request_t *request,
                             uint64_t now_ms);

/* Learn the first answer's RATING; SECOND_RATING is that of the audit, or
   NaN.  */
void cascade_record_first (cascade_t *cascade, str_t task, str_t first,
                           double rating, double second_rating,
                           uint64_t now_ms);
/* Learn what an audited escalation gave: the first answer had RATING, the
   second version's answer SECOND_RATING.  */
void cascade_record_second (cascade_t *cascade, str_t task, str_t first,
                            str_t second, double rating, double second_rating,
                            uint64_t now_ms);

/* As in quality.h.  */
void cascade_fold_epochs (cascade_t *cascade, uint64_t generation,
                          uint64_t now_ms);
void cascade_write (const cascade_t *cascade, bool own_only, buf_t *out);
vh_code_t cascade_merge (cascade_t *cascade, str_t bytes, uint64_t now_ms);

const char *cascade_reason_code (cascade_reason_t reason);
const char *cascade_reason_sentence (cascade_reason_t reason);
/* Plans made with REASON since creation.  */
uint64_t cascade_reason_count (const cascade_t *cascade,
                               cascade_reason_t reason);

#endif
