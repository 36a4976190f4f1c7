/* Declarations shared by the files of a trial.

   trial.c           progress, shares and decisions
   trial_evidence.c  counts of answers, and their weights
   trial_times.c     counts of times, and whether they show a slow version
   trial_watch.c     answers of a version that was declared good
   trial_trouble.c   the old version's failures in a trouble of its own
   trial_verdict.c   what the counts say of the new version
   trial_message.c   counts in messages between processes  */

#ifndef POLICY_TRIALINT_H
#define POLICY_TRIALINT_H

#include "policy/trial.h"

#include "base/map.h"

enum
{
  TRIAL_PROCESS_ID_SIZE = 17, /* 16 hexadecimal digits and NUL.  */
  TRIAL_TALLY_OLD = TRIAL_INSTANCE_GROUPS,
  TRIAL_TALLIES
};

typedef struct
{
  double answers;
  double flawed[TRIAL_FLAW_COUNT];
} trial_tally_t;

typedef struct
{
  trial_sums_t sums[TRIAL_ARM_COUNT][TRIAL_CELL_COUNT];
  trial_likelihoods_t likelihoods[TRIAL_ROUTE_CELLS];
  /* Answers by group of routes: of the new version by group of instances, with
     a decay, and at TRIAL_TALLY_OLD of the old version since the start.  */
  trial_tally_t tallies[TRIAL_ROUTE_CELLS][TRIAL_TALLIES];
  /* Histograms of times as logarithms of ratios to the usual time, and in the
     last place waits for a first event that ended without one and were not
     late.  */
  double times[TRIAL_ARM_COUNT][TRIAL_TIMING_COUNT][TRIAL_TIME_BINS + 1];
  bool was_sent_by_peer; /* Whether a peer sent the counts; otherwise they were
                            read from the store.  */
  unsigned age_s;
  unsigned processes; /* Number of processes that counted, in a sum.  */
} trial_counts_t;

/* What this process saw of the old version's failures, while the roll-out
   runs.  A process that ends loses it, and its successor then knows of no
   trouble that began before.  */
typedef struct
{
  bool has_calm_share;
  double calm_share; /* Smallest share of the old version's answers of a few
                        seconds that failed.  */
  trial_tally_t old; /* Answers of the old version since its share has been
                        above CALM_SHARE.  */
  trial_tally_t last_old;   /* Answers since the start, a second ago.  */
  unsigned last_processes;  /* Processes that counted them.  */
  trial_tally_t last_new;   /* Answers of the new version after the last
                               decay.  */
  trial_tally_t second_new; /* Answers of the new version in the second before
                               the last decay.  */
} trial_trouble_t;

struct trial
{
  char *service;
  char *version;
  uint64_t order;
  uint64_t time_limit_ms;
  double exposure;
  uint64_t order_seen_ms;
  uint64_t start_ms;
  uint32_t step;
  uint64_t step_start_ms; /* Time from which STEP applies; until then the step
                             before it does.  */
  trial_phase_t phase;
  bool is_final_phase_stored; /* Whether the row in the store holds a final
                                 phase.  */
  trial_counts_t own_counts;
  trial_trouble_t trouble;
  /* The old version's, at this process; the histograms are in OWN_COUNTS.  */
  trial_usual_times_t usual;
  map_t *peers; /* Maps the name of a process to its trial_counts_t.  */
  bool has_unwritten_counts; /* Whether a count changed since the last
                                message.  */
  uint64_t process_id;
  /* Maps the id of a process, in hexadecimal digits, to the number of bad
     answers that it counted, as uint64_t.  */
  map_t *bad_answers;
  uint64_t bad_answers_sum;
  /* Time of the store's clock at which there were last few bad answers, or the
     version was shown to be good.  */
  uint64_t acceptable_ms;
  /* Times of the store's clock at which the version in service last began to
     look bad, and at which it last did; 0 if it never did.  */
  uint64_t suspect_since_ms;
  uint64_t last_suspect_ms;
};

/* Properties of the measured times; see TRIAL_TIMINGS.  */
typedef struct
{
  double late_factor;
  double samples_min;
  double stderrs;
  double independence;
  const char *name;
} trial_timing_properties_t;

extern const trial_timing_properties_t trial_timings[TRIAL_TIMING_COUNT];

/* Return the share of the old version's COUNT answers that FAILED, with a
   prior of twenty answers of which one failed.  When all requests go to the
   new version the old one has no answers; its share must then neither be taken
   for exact nor hide a bad version.  */
double trial_old_failure_share (double failed, double count);
/* Return the sum of COUNTS over the routes.  */
trial_sums_t trial_sums_of_routes (const trial_counts_t *counts,
                                   trial_arm_t arm);
/* Return the share of the old version's answers in SUMS that failed, with a
   weight of TRIAL_ADVANCE_LOST_CONNECTION_WEIGHT for lost connections.  */
double trial_old_advance_failure_share (const trial_sums_t *sums);
/* Return the sum of the logarithms of likelihood ratios in COUNTS.  */
trial_likelihoods_t trial_likelihoods_of_routes (const trial_counts_t *counts);
/* Return the sum of this process's counts and those of its peers; with
   SENT_ONLY, only of peers that send to this process.  */
trial_counts_t trial_total_counts (const trial_t *trial, bool sent_only);
/* Raise the number of bad answers that process ID counted to COUNT.  A number
   never falls, so that messages may arrive in any order.  */
void trial_raise_bad_answers (trial_t *trial, str_t id, uint64_t count);
/* Return whether the times in COUNTS show that the version is not slow.  */
bool trial_are_times_good (const trial_counts_t *counts);
/* Return whether the times in COUNTS show that a version in service is
   slow.  */
bool trial_is_slow_in_service (const trial_counts_t *counts);
/* Return whether the answers in COUNTS show that the version is good.  */
bool trial_is_shown_good (const trial_counts_t *counts);
/* Return whether COUNTS do not suffice to declare the version good, which the
   requests of a service that is not busy cannot tell.  */
bool trial_lacks_evidence_of_good (const trial_counts_t *counts);
/* Return whether the counts of one cell since the start do not suffice to
   declare the new version good: its share of failed answers exceeds the old
   version's by TRIAL_FINAL_EXCESS and by TRIAL_FINAL_STDERRS standard errors,
   or it has hardly any answers although the old version has many.  Sums over
   all cells may show neither.  */
bool trial_is_cell_inconclusive (const trial_sums_t *old,
                                 const trial_sums_t *new);
/* Add FROM to TO.  */
void trial_tally_add (trial_tally_t *to, const trial_tally_t *from);
void trial_tallies_add (trial_counts_t *to, const trial_counts_t *from);
/* Let a second pass for the tallies of the new version.  */
void trial_tallies_decay (trial_counts_t *counts);
/* Return whether COUNTS show that most instances of the new version fail more
   often than the old version did, and that this is not a fault of some of
   them; if so, append the reason to REASON, which may be NULL.  */
bool trial_is_failing_at_most_instances (const trial_counts_t *counts,
                                         buf_t *reason);
/* Return whether COUNTS show that the new version is slow at most of its
   instances; if so, append the reason to REASON, which may be NULL.  */
bool trial_is_late_at_most_instances (const trial_counts_t *counts,
                                      buf_t *reason);
/* Return whether COUNTS show that most instances of the new version fail more
   often than a good version beside an old one that fails OLD_SHARE.  */
bool trial_exceeds_share_at_most_instances (const trial_counts_t *counts,
                                            double old_share);
/* Keep track of the old version's failures.  COUNTS are those of all processes
   before the decay of each second.  */
void trial_track_trouble (trial_t *trial, const trial_counts_t *counts);
/* The same after the decay.  */
void trial_track_decayed (trial_t *trial, const trial_counts_t *counts);
/* Return whether the new version does not have the old one's trouble, and its
   answers speak rather for a bad version, beside the old one before its
   trouble, than for a good one.  */
bool trial_is_rather_bad_in_trouble (const trial_t *trial,
                                     const trial_counts_t *counts);
/* Return whether the new version does not have the old one's trouble, and most
   of its instances fail, also in the last seconds, more often than the old
   version did before the trouble; if so, append the reason to REASON, which
   may be NULL.  */
bool trial_is_bad_in_trouble (const trial_t *trial,
                              const trial_counts_t *counts, buf_t *reason);
/* Return whether the new version's answers of the last seconds fail about as
   often as those before, so that its failures have not ended.  */
bool trial_is_failing_steadily (const trial_t *trial,
                                const trial_counts_t *counts);
/* Return whether a step that has lasted IN_STEP_MS, with a minimum length of
   STEP_MIN_MS, may advance.  An excess of late answers of at least STDERRS
   standard errors prevents the advance.  */
bool trial_is_ready_to_advance (const trial_sums_t *old,
                                const trial_sums_t *new, double in_step_ms,
                                double step_min_ms, double stderrs);
/* Return whether the sums of one cell show that the new version is bad; if so,
   append the reason to REASON.  */
bool trial_is_version_bad (const trial_sums_t *old, const trial_sums_t *new,
                           buf_t *reason);

#endif
