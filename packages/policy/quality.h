/* Quality of each version for each task class, learned from ratings.

   Load pattern: several models of unequal quality serve one API.  The rating
   service is slow, noisy, limited in rate, and at times down or wrong, and
   every entry process receives only its own ratings.  Without learned quality
   a plan can only name a model by hand: the expensive one for everything, or
   the cheap one also for the tasks that it fails.

   The posterior of a mean rating is normal.  Its prior counts as
   QUALITY_PRIOR_WEIGHT ratings of the configured value with the variance of a
   uniform rating (1/12).  Ratings are bounded, and the bound on their mean is
   used from tens of ratings on, where the mean is nearly normal; at 200
   ratings the empirical Bernstein bound needs five times as many ratings for
   the same width.  The lower bound is the one-sided 95% bound.  It holds at a
   single moment, not at all moments together: each request decides anew, so a
   decision on a wrong bound does not last.

   The weight of a rating halves every QUALITY_HALF_LIFE_MS, a quarter of a
   day.  That follows changes of traffic without forgetting between the peaks
   of the users, one per day.  When ratings stop, the weight decays and the
   bound widens towards the prior, so that requests go to stronger versions
   instead of relying on outdated ratings.

   The mean of an epoch that lies far from the weighted median of the other
   epochs is clipped to a distance of QUALITY_CLIP_DISTANCE, so that a rating
   service that is wrong for an hour moves the posterior by a bounded amount.
   A version that really changed moves the median once its epochs hold half of
   the votes; a sudden change is to be detected during the roll-out (rollout.h)
   and in service (degradation.h).  */

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
  QUALITY_EPOCHS = 48, /* One day; older ratings weigh less than 1/16.  */
  QUALITY_HALF_LIFE_MS = 6 * 60 * 60 * 1000,
  QUALITY_SERIES_MAX = 512, /* Most pairs of a task class and a version.  */
  QUALITY_CELLS_MAX = 32768
};

/* Quantile of the standard normal distribution for a one-sided 95% bound.  */
#define QUALITY_Z_ONE_SIDED_95 1.645
/* Largest distance between the mean of an epoch and the median of the others.
   Twice the difference that occurs by chance once in a hundred pairs of epochs
   with 20 ratings of standard deviation 0.2 each.  */
#define QUALITY_CLIP_DISTANCE 0.25

/* Bounds on the number of answers that are sent to the rating service.  */
typedef struct
{
  double share;      /* Largest share of the answers, such as 0.05.  */
  double rate_per_s; /* Most requests to the rating service per second.  */
  double burst;      /* Most requests to the rating service at once.  */
  /* Number of decayed ratings of a version above which its share falls.  */
  uint32_t enough_ratings;
  double share_min; /* Least share, for a version with many ratings.  */
} quality_sampling_t;

/* Default settings of sampling: 5% of the answers, and at most 20 per second
   in each process.  */
#define QUALITY_SAMPLING_DEFAULTS                                             \
  ((quality_sampling_t){ .share = 0.05,                                       \
                         .rate_per_s = 20,                                    \
                         .burst = 40,                                         \
                         .enough_ratings = 400,                               \
                         .share_min = 0.01 })

/* Posterior of a mean rating.  */
typedef struct
{
  double mean;
  double lower;  /* Lower one-sided 95% bound.  */
  double upper;  /* Upper one-sided 95% bound.  */
  double weight; /* Number of ratings after decay; 0 for the prior alone.  */
} quality_posterior_t;

/* Return new quality estimates without ratings, owned by the caller.  WRITER
   is unique to each start of each process (see crdt.h).  */
quality_t *quality_create (uint64_t writer,
                           const quality_sampling_t *sampling);
/* Free QUALITY, which may be NULL.  */
void quality_destroy (quality_t *quality);

/* Add the RATING of one answer of VERSION to TASK, clipped to 0 to 1.  The
   answer must not have been chosen by its rating.  NOW_MS is real time.
   Return false when RATING is NaN, or when there is no room for the series or
   the time is too old.  */
bool quality_add_rating (quality_t *quality, str_t task, str_t version,
                         double rating, uint64_t now_ms);

/* Return the posterior of VERSION for TASK; PRIOR is the rating expected
   before any rating was added.  */
quality_posterior_t quality_estimate (quality_t *quality, str_t task,
                                      str_t version, double prior,
                                      uint64_t now_ms);

/* Return whether to send an answer of VERSION to the rating service.  The
   probability is the configured share, less for a version with many ratings,
   and a token bucket bounds the rate.  */
bool quality_should_rate (quality_t *quality, rng_t *rng, str_t task,
                          str_t version, uint64_t now_ms);

/* Record that the rating service failed or timed out.  Requests to the rating
   service then pause for a time that doubles with each consecutive failure, up
   to a minute.  */
void quality_record_rater_failure (quality_t *quality, uint64_t now_ms);
/* Record that the rating service answered, which ends the pause.  */
void quality_record_rater_success (quality_t *quality);
/* Return whether requests may be sent to the rating service now.  */
bool quality_is_rater_available (const quality_t *quality, uint64_t now_ms);

/* Merge the cells of all writers into one cell for each series, in all epochs
   but the last two, under GENERATION, the fencing number of the caller's lease
   (see crdt_compact).  */
void quality_compact (quality_t *quality, uint64_t generation,
                      uint64_t now_ms);
/* Append the ratings to OUT: all for the stored table, or with OWN_ONLY the
   recent ratings of this process for its peers (see crdt_write).  */
void quality_write (const quality_t *quality, bool own_only, buf_t *out);
/* Merge the output of quality_write.  Return VH_OK, or VH_E_PROTOCOL with
   nothing merged.  */
vh_code_t quality_merge (quality_t *quality, str_t bytes, uint64_t now_ms);

/* Return the hash that identifies the series of VERSION and TASK (see
   crdt_key_find).  */
uint64_t quality_series_hash (str_t task, str_t version);

/* Variance of a uniform distribution over 0 to 1.  */
#define QUALITY_PRIOR_VARIANCE (1.0 / 12.0)

/* Return the normal posterior of the mean of COUNT values with the given SUM
   and sum of squares SQUARE_SUM.  The prior counts as QUALITY_PRIOR_WEIGHT
   values with mean PRIOR and VARIANCE.  */
quality_posterior_t quality_posterior (double count, double sum,
                                       double squares, double prior,
                                       double variance);

#endif
