/* Model of the roll-out of a version and of the time after it, with answers
   drawn from a seed.  The version may be bad, and both versions may have a
   trouble. */

#ifndef BENCH_ROLLOUT_MODEL_H
#define BENCH_ROLLOUT_MODEL_H

#include "policy/trial.h"

/* A trouble that both versions have, or the old one alone.  */
typedef struct
{
  const char *name;
  double failure_share;   /* Share of the answers that fail.  */
  double lost_share;      /* Share of the connections that are lost.  */
  double unseen_share;    /* Share of the requests that have no outcome: their
                             callers leave early, or there is no instance.  */
  double wait_factor;     /* Factor on the time to the first event.  */
  bool is_of_old_version; /* The new version does not have it.  */
  double instances_part;  /* Part of the instances that have it; 0: all.  */
  /* Begin of the trouble, in ms after the time limit, and its length.  A
     length of 0 stands for the last part of the time limit and shortly after
     it.  */
  uint64_t from_ms;
  uint64_t length_ms;
} rollout_trouble_t;

/* How a version is bad.  */
typedef struct
{
  const char *name;
  double failure_share;
  double lost_share;
  double slow_share; /* Share of the answers that are eight times as slow.  */
  int bad_route;     /* The one of three routes on which it is bad; -1: all. */
  double bad_from_part; /* Part of the time limit from which it is bad.  */
} rollout_badness_t;

typedef struct
{
  uint64_t time_limit_ms;
  int requests_per_s;
  uint32_t instances; /* Number of instances of a version; 0: 9.  */
} rollout_setting_t;

enum
{
  /* Bound of the operators: a bad version gets no request that is sent later
     than ROLLOUT_LATE_AFTER_MS after its bad answer number
     ROLLOUT_BAD_ANSWERS.  */
  ROLLOUT_BAD_ANSWERS = 50,
  ROLLOUT_LATE_AFTER_MS = 5000
};

typedef struct
{
  trial_phase_t phase;
  bool was_done; /* The version was declared good.  */
  unsigned bad_answers;
  unsigned late_requests;  /* Sent later than the operators' bound.  */
  uint64_t latest_send_ms; /* Time from bad answer ROLLOUT_BAD_ANSWERS to the
                              last request that the version got; 0: none.  */
} rollout_result_t;

/* Simulate the roll-out of a version and the time after it.  */
rollout_result_t rollout_model_run (const rollout_badness_t *badness,
                                    const rollout_trouble_t *trouble,
                                    const rollout_setting_t *setting,
                                    uint64_t seed);

#endif
