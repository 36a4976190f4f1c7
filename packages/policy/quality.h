/* Quality of each version for each task class, learned from ratings.

   Answers: several models of unlike quality serve one API, the rating
   service is slow, noisy, bounded in rate, at times down and at times wrong,
   and every entry sees only its own ratings.  Without it plans can only name
   a model by hand: the dear one for everything, or the cheap one for tasks
   it fails.

   The posterior of a mean rating is normal, with a prior of
   QUALITY_PRIOR_WEIGHT ratings at the configured value whose spread is that
   of a uniform rating (variance 1/12): ratings are bounded and the bound is
   used from tens of ratings on, where the mean of bounded values is near
   normal; the empirical Bernstein bound needs five times the ratings at 200
   for the same width.  The lower bound is one-sided 95%.  It holds at one
   moment, not at all moments together: a decision taken on it is taken again
   on the next request, so one that was wrong does not last.

   Evidence halves in weight each QUALITY_HALF_LIFE_MS: a day of the users'
   work has one dawn peak, and a quarter of it follows changes of traffic
   without forgetting between peaks.  When ratings stop, the weight sinks and
   the bound widens towards the prior, so that the router leans to stronger
   versions rather than on stale numbers.

   An epoch whose mean lies far from the weighted median of the other epochs
   is clipped to QUALITY_CLIP_DISTANCE from it: a rating service that is wrong
   for an hour moves the posterior by a bounded amount.  A version that really
   changed moves the median once it fills half the votes; roll-out and watch
   (rollout.h) are the ones who must see it at once.  */

#ifndef POLICY_QUALITY_H
#define POLICY_QUALITY_H

#include "base/code.h"
#include "base/rng.h"
#include "base/str.h"

typedef struct quality quality_t;

enum
{
  QUALITY_PRIOR_WEIGHT = 4,
  QUALITY_EPOCH_MS = 30 * 60 * 1000,
  QUALITY_EPOCHS = 48, /* A day; what is older weighs under 1/16.  */
  QUALITY_HALF_LIFE_MS = 6 * 60 * 60 * 1000,
  QUALITY_SERIES_MAX = 512, /* Task classes times versions.  */
  QUALITY_CELLS_MAX = 32768
};

/* One-sided 95% of a normal.  */
#define QUALITY_Z_ONE_SIDED_95 1.645
/* Farthest an epoch's mean counts from the median of the others: twice the
   shift between two epochs of 20 ratings with spread 0.2 that chance alone
   gives once in a hundred.  */
#define QUALITY_CLIP_DISTANCE 0.25

typedef struct
{
  double share;         /* Of the answers, at most; such as 0.05.  */
  double rate_per_s;    /* Requests to the rating service, at most.  */
  double burst;         /* Of them at once.  */
  uint32_t want;        /* Effective ratings after which the share sinks.  */
  double share_settled; /* The share kept for a well-known version.  */
} quality_sampling_t;

/* What the defaults are: 5% of the answers, 20 a second for one process.  */
#define QUALITY_SAMPLING_DEFAULT                                              \
  ((quality_sampling_t){ .share = 0.05,                                       \
                         .rate_per_s = 20,                                    \
                         .burst = 40,                                         \
                         .want = 400,                                         \
                         .share_settled = 0.01 })

typedef struct
{
  double mean;
  double lower; /* One-sided 95%.  */
  double upper;
  double weight; /* Effective ratings, after decay; 0: prior alone.  */
} quality_bound_t;

/* WRITER is unique to this life of this process (see evidence.h).  */
quality_t *quality_create (uint64_t writer,
                           const quality_sampling_t *sampling);
/* NULL is accepted.  */
void quality_destroy (quality_t *quality);

/* Take in RATING, 0 to 1 (clipped; NaN is refused), of one answer that was
   not chosen for its rating.  NOW_MS is real time.  Return false when
   nothing was taken in.  */
bool quality_add_rating (quality_t *quality, str_t task, str_t version,
                         double rating, uint64_t now_ms);

/* The posterior of VERSION for TASK with PRIOR as its expected rating.  */
quality_bound_t quality_estimate (quality_t *quality, str_t task,
                                  str_t version, double prior,
                                  uint64_t now_ms);

/* Decide whether to send an answer to the rating service.  The chance is the
   bounded share, less for versions already well known, and a token bucket
   bounds the rate.  */
bool quality_should_rate (quality_t *quality, rng_t *rng, str_t task,
                          str_t version, uint64_t now_ms);

/* The rating service failed or was late: ask it nothing for a while, doubled
   at each failure in a row up to a minute.  */
void quality_record_rater_failure (quality_t *quality, uint64_t now_ms);
void quality_record_rater_success (quality_t *quality);
/* False while it is left alone.  */
bool quality_is_rater_available (const quality_t *quality, uint64_t now_ms);

/* As in evidence.h: fold epochs older than the last two under a lease's
   fencing number, write (news for gossip, all for the table), merge.  */
void quality_fold_epochs (quality_t *quality, uint64_t generation,
                          uint64_t now_ms);
void quality_write (const quality_t *quality, bool own_only, buf_t *out);
vh_code_t quality_merge (quality_t *quality, str_t bytes, uint64_t now_ms);

/* The hash under which evidence of (TASK, VERSION) is kept.  */
uint64_t quality_series_hash (str_t task, str_t version);

/* Variance of a uniform rating.  */
#define QUALITY_PRIOR_VARIANCE (1.0 / 12.0)

/* Normal posterior of a mean after COUNT values of sum SUM and sum of
   squares SQUARES, with a prior of QUALITY_PRIOR_WEIGHT values at PRIOR and
   VARIANCE.  */
quality_bound_t quality_posterior (double count, double sum, double squares,
                                   double prior, double variance);

#endif
