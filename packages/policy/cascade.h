/* Choice of the version that answers a request, and of a cheaper version that
   may answer first.

   Load pattern: most requests are easy and a cheap version answers them well
   enough, but the requests do not show which.  Without a cascade either every
   request pays for the strongest version, or a threshold set by hand is too
   strict for one task class and too loose for the next.

   A cascade runs the cheap version first, has its answer rated before the
   answer is released, and escalates to the strong version when the rating is
   below a threshold.  For each task class and pair of a cheap and a strong
   version, and for each of CASCADE_BINS bins of the rating, three quantities
   are learned: the share of the answers in the bin; the quality of these
   answers by an independent second rating of some of them (a rating is noisy,
   and answers above a threshold passed it partly by chance); and the quality
   of the strong answer to the same requests (escalated requests are harder
   than the average).  The threshold is the lowest one whose lower quality
   bound (one-sided 95%) meets the target; between the two edges of a bin it is
   drawn at random with the probability that just meets the target.  The plan
   is the cheapest of all direct and cascaded plans that meet the target.  Its
   cost includes both attempts and every rating.

   Escalation takes time: both attempts and the rating must fit in
   CASCADE_DEADLINE_SHARE of the time left, and the rest is kept for queueing.
   The caller of a streaming request gets a cascade only when the full first
   answer and its rating fit in the time allowed for the first byte.

   Exploration has a budget, the share of the cost that exploring plans may add
   on average.  Only requests with time to escalate explore, at most a quarter
   of them, and a cheap answer is then released only when its rating is at or
   above the target.  Pairs are explored whose upper bound promises a clearly
   lower cost than the plan in use.  So exploration is frequent at the start,
   when nothing is known and a cheap answer adds little to the price of the
   strongest version, and rare later.  */

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

/* Share of the time left until the deadline that a plan may take.  */
#define CASCADE_DEADLINE_SHARE 0.8
/* Share of the cascades that are audited, which means that the first answer is
   rated a second time and an escalated answer is rated: the larger share while
   a pair has few audits, the smaller one later.  */
#define CASCADE_AUDIT_SHARE_MAX 0.3
#define CASCADE_AUDIT_SHARE_MIN 0.02

/* Default share of the cost that exploration may add.  */
#define CASCADE_EXPLORE_COST_SHARE 0.08

typedef enum
{
  CASCADE_PREFER_COST,
  CASCADE_PREFER_LATENCY
} cascade_prefer_t;

typedef enum
{
  CASCADE_NONE,   /* No plan, because there is no candidate.  */
  CASCADE_DIRECT, /* The version FIRST alone answers.  */
  /* The version FIRST answers and is rated, and the version SECOND answers
     when the rating is below the threshold.  */
  CASCADE_TWO_STAGE
} cascade_kind_t;

/* X (symbol, short code, sentence).  The short code is sent in a response
   header and names the counter.  */
#define CASCADE_REASONS(X)                                                    \
  X (CASCADE_REASON_NO_CANDIDATE, "no-candidate", "No version is permitted.") \
  X (CASCADE_REASON_SINGLE_VERSION, "only", "Only one version is permitted.") \
  X (CASCADE_REASON_CHEAPEST, "cheapest-in-bound",                            \
     "The cheapest version whose quality bound meets the target.")            \
  X (CASCADE_REASON_FASTEST, "fastest-in-bound",                              \
     "The fastest version whose quality bound meets the target.")             \
  X (CASCADE_REASON_TWO_STAGE, "cheap-first",                                 \
     "A rated cheap first answer costs less than any single version.")        \
  X (CASCADE_REASON_NO_BOUND, "strongest",                                    \
     "No quality bound meets the target; the highest upper bound is used.")   \
  X (CASCADE_REASON_DEADLINE, "deadline-short",                               \
     "Too little time to escalate; the best single version in time is used.") \
  X (CASCADE_REASON_STREAMING, "streaming",                                   \
     "The time for the first byte is too short for a rated first answer.")    \
  X (CASCADE_REASON_RATER_DOWN, "rater-down",                                 \
     "The rating service is unavailable; a single version is used.")          \
  X (CASCADE_REASON_TOO_LATE, "too-late",                                     \
     "No version answers within the deadline; the fastest one is used.")      \
  X (CASCADE_REASON_EXPLORE, "explore",                                       \
     "Exploration: a cheap answer is released only if rated on target.")

typedef enum
{
#define X(symbol, code, sentence) symbol,
  CASCADE_REASONS (X)
#undef X
      CASCADE_REASON_COUNT
} cascade_reason_t;

/* A version that may answer the request.  */
typedef struct
{
  str_t version;
  double cost;                 /* Expected cost of the request.  */
  quality_posterior_t quality; /* Quality for the task class of the request. */
  /* Time to the full answer, such as the 95th percentile.  */
  double latency_ms;
} cascade_candidate_t;

/* Input of cascade_plan: a request and the versions that may answer it.  */
typedef struct
{
  str_t task; /* Task class of the request.  */
  const cascade_candidate_t *candidates;
  size_t candidate_count; /* Number of CANDIDATES; those after
                             CASCADE_CANDIDATES_MAX are ignored.  */
  double target; /* Least mean rating that a plan must reach, 0 to 1.  */
  cascade_prefer_t preference;
  uint64_t deadline_left_ms; /* Time left until the deadline.  */
  bool is_streaming;
  uint64_t first_byte_ms; /* Time allowed for the first byte of a stream.  */
  double rating_cost;     /* Cost of one rating.  */
  /* Time of one rating, such as the 95th percentile.  */
  double rating_latency_ms;
  bool is_rater_available; /* Whether the rating service can be used.  */
  /* Share of the cost that exploration may add; 0 for no exploration.  */
  double explore_cost_share;
} cascade_request_t;

/* The plan for one request.  */
typedef struct
{
  cascade_kind_t kind;
  cascade_reason_t reason;
  size_t first;  /* Index of the candidate that answers first.  */
  size_t second; /* Index of the candidate after an escalation.  */
  /* Rating of the first answer below which the request is escalated.  */
  double threshold;
  /* Probability that the threshold is the upper edge of its bin instead of the
     lower one; THRESHOLD is already drawn.  */
  double upper_edge_probability;
  /* Whether the plan is audited: the answer of a direct plan is rated; the
     first answer of a cascade is rated a second time, and the second answer is
     rated if there is one.  An audit does not delay the response.  */
  bool is_audited;
  double cost;          /* Expected cost, ratings included.  */
  double latency_ms;    /* Expected time to the full answer.  */
  double quality;       /* Expected rating.  */
  double quality_lower; /* Lower bound of the expected rating.  */
} cascade_plan_t;

/* Return a new planner, owned by the caller.  WRITER is unique to each start
   of each process (see crdt.h).  */
cascade_t *cascade_create (uint64_t writer);
/* Free CASCADE, which may be NULL.  */
void cascade_destroy (cascade_t *cascade);

/* Return the plan for REQUEST.  NOW_MS is real time.  */
cascade_plan_t cascade_plan (cascade_t *cascade, rng_t *rng,
                             const cascade_request_t *request,
                             uint64_t now_ms);

/* Record the RATING of an answer of the version FIRST.  SECOND_RATING is its
   rating by the audit, or NaN if there was no audit.  */
void cascade_record_first (cascade_t *cascade, str_t task, str_t first,
                           double rating, double second_rating,
                           uint64_t now_ms);
/* Record an audited escalation: RATING is that of the answer of the version
   FIRST, SECOND_RATING that of the answer of the version SECOND.  */
void cascade_record_second (cascade_t *cascade, str_t task, str_t first,
                            str_t second, double rating, double second_rating,
                            uint64_t now_ms);

/* Compact old epochs, write the learned state and merge a received state, in
   the same way as the functions of quality.h.  */
void cascade_compact (cascade_t *cascade, uint64_t generation,
                      uint64_t now_ms);
void cascade_write (const cascade_t *cascade, bool own_only, buf_t *out);
vh_code_t cascade_merge (cascade_t *cascade, str_t bytes, uint64_t now_ms);

/* Return the short code of REASON.  */
const char *cascade_reason_code (cascade_reason_t reason);
/* Return the explanation of REASON for operators.  */
const char *cascade_reason_sentence (cascade_reason_t reason);
/* Return the number of plans made with REASON since creation.  */
uint64_t cascade_reason_count (const cascade_t *cascade,
                               cascade_reason_t reason);

#endif
