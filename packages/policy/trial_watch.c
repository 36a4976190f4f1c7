#include "policy/trialint.h"

#include <math.h>
#include <stdlib.h>

/* Answers of instances, and those of them with one flaw.  */
typedef struct
{
  double answers;
  double flawed;
} flaws_t;

void
trial_count_answer (trial_t *trial, trial_arm_t arm, uint64_t route,
                    uint64_t instance, trial_flaw_t flaw)
{
  size_t group = arm == TRIAL_ARM_OLD ? TRIAL_TALLY_OLD
                                      : instance % TRIAL_INSTANCE_GROUPS;
  trial_tally_t *tally
      = &trial->own_counts.tallies[route % TRIAL_ROUTE_CELLS][group];

  tally->answers += 1;
  if (flaw != TRIAL_FLAW_NONE)
    tally->flawed[flaw] += 1;
}

bool
trial_is_watched (const trial_t *trial, uint64_t now_ms)
{
  return trial->phase == TRIAL_PHASE_DONE
         && now_ms < trial->start_ms + trial->time_limit_ms + TRIAL_WATCH_MS;
}

void
trial_tally_add (trial_tally_t *to, const trial_tally_t *from)
{
  to->answers += from->answers;
  for (size_t flaw = 0; flaw < TRIAL_FLAW_COUNT; flaw++)
    to->flawed[flaw] += from->flawed[flaw];
}

void
trial_tallies_add (trial_counts_t *to, const trial_counts_t *from)
{
  for (size_t cell = 0; cell < TRIAL_ROUTE_CELLS; cell++)
    for (size_t group = 0; group < TRIAL_TALLIES; group++)
      trial_tally_add (&to->tallies[cell][group], &from->tallies[cell][group]);
}

void
trial_tallies_decay (trial_counts_t *counts)
{
  for (size_t cell = 0; cell < TRIAL_ROUTE_CELLS; cell++)
    for (size_t group = 0; group < TRIAL_INSTANCE_GROUPS; group++)
      {
        trial_tally_t *tally = &counts->tallies[cell][group];
        tally->answers *= TRIAL_DECAY_PER_S;
        for (size_t flaw = 0; flaw < TRIAL_FLAW_COUNT; flaw++)
          tally->flawed[flaw] *= TRIAL_DECAY_PER_S;
      }
}

static double
flawed_share (const flaws_t *flaws)
{
  return flaws->flawed / flaws->answers;
}

static int
compare_flawed_shares (const void *a, const void *b)
{
  double difference = flawed_share (a) - flawed_share (b);

  return (difference > 0) - (difference < 0);
}

/* Set GROUPS to the answers with FLAW of those groups of instances in TALLIES
   that have answers, and *SUM to all of them.  Return the number of
   groups.  */
static size_t
groups_with_answers (const trial_tally_t tallies[TRIAL_TALLIES],
                     trial_flaw_t flaw, flaws_t groups[TRIAL_INSTANCE_GROUPS],
                     flaws_t *sum)
{
  size_t count = 0;

  *sum = (flaws_t){ 0 };
  for (size_t group = 0; group < TRIAL_INSTANCE_GROUPS; group++)
    if (tallies[group].answers > 0)
      {
        groups[count] = (flaws_t){ .answers = tallies[group].answers,
                                   .flawed = tallies[group].flawed[flaw] };
        sum->answers += groups[count].answers;
        sum->flawed += groups[count++].flawed;
      }
  return count;
}

/* Return the answers with FLAW in those TALLIES of groups of instances that
   have answers, without the part TRIAL_WATCH_LEFT_OUT_PART of them with the
   largest shares.  */
static flaws_t
flaws_of_most_groups (const trial_tally_t tallies[TRIAL_TALLIES],
                      trial_flaw_t flaw)
{
  flaws_t sorted[TRIAL_INSTANCE_GROUPS];
  flaws_t sum;
  size_t count = groups_with_answers (tallies, flaw, sorted, &sum);

  sum = (flaws_t){ 0 };
  qsort (sorted, count, sizeof *sorted, compare_flawed_shares);
  count -= (size_t)lround (TRIAL_WATCH_LEFT_OUT_PART * (double)count);
  for (size_t group = 0; group < count; group++)
    {
      sum.answers += sorted[group].answers;
      sum.flawed += sorted[group].flawed;
    }
  return sum;
}

/* Return whether the answers in NEW have the flaw more often than a good
   version beside an old one that has it in OLD_SHARE, with a logarithm of the
   likelihood ratio of at least LOG_RATIO_MIN.  */
static bool
exceeds_share (const flaws_t *new, double old_share, double log_ratio_min)
{
  double good_share = old_share + (1 - old_share) * TRIAL_WATCH_GOOD_EXCESS;

  if (new->answers <= 0
      || flawed_share (new) < old_share + (1 - old_share) * TRIAL_WATCH_EXCESS)
    return false;
  double share = fmin (flawed_share (new), 1 - 1 / (new->answers + 1));
  double log_ratio
      = new->flawed *log (share / good_share)
        + (new->answers - new->flawed) * log ((1 - share) / (1 - good_share));
  return log_ratio >= log_ratio_min;
}

static double
log_likelihood (const flaws_t *flaws, double share)
{
  return flaws->flawed * log (share)
         + (flaws->answers - flaws->flawed) * log (1 - share);
}

/* Return the logarithm of the likelihood of the COUNT groups if PART of them
   have the flaw in TROUBLED_SHARE of their answers and the others in
   SOUND_SHARE.  */
static double
log_likelihood_of_part (const flaws_t *groups, size_t count, double part,
                        double troubled_share, double sound_share)
{
  double sum = 0;

  for (size_t group = 0; group < count; group++)
    {
      double troubled
          = log (part) + log_likelihood (&groups[group], troubled_share);
      double sound
          = log (1 - part) + log_likelihood (&groups[group], sound_share);
      double larger = fmax (troubled, sound);
      sum += larger + log (exp (troubled - larger) + exp (sound - larger));
    }
  return sum;
}

/* Return the largest logarithm of the likelihood of the COUNT groups, with SUM
   of all their answers, if some part of them has a trouble, and each of the
   others has the flaw in an excess of one of the EXCESS_COUNT EXCESSES over
   OLD_SHARE.  */
static double
best_log_likelihood (const flaws_t *groups, size_t count, const flaws_t *sum,
                     double old_share, const double *excesses,
                     size_t excess_count)
{
  static const double parts[] = { 0.15, 0.3, 0.45, 0.6, 0.7 };
  double best = -INFINITY;

  for (size_t i = 0; i < sizeof parts / sizeof *parts; i++)
    for (size_t j = 0; j < excess_count; j++)
      {
        double share = old_share + (1 - old_share) * excesses[j];
        double troubled_share
            = (flawed_share (sum) - (1 - parts[i]) * share) / parts[i];
        if (troubled_share > share)
          best = fmax (
              best, log_likelihood_of_part (
                        groups, count, parts[i],
                        fmin (troubled_share, TRIAL_WATCH_TROUBLED_SHARE_MAX),
                        share));
      }
  return best;
}

/* Return whether a fault of some of the instances in TALLIES explains the
   failures better than a fault of the version.  A version is the same at all
   of its instances, so that sound ones beside those that fail speak for it.  A
   bad version may have instances with a trouble as well.  */
static bool
is_fault_of_some_instances (const trial_tally_t tallies[TRIAL_TALLIES])
{
  const trial_flaw_t flaw = TRIAL_FLAW_FAILED;
  static const double good_excesses[] = { 0, TRIAL_WATCH_GOOD_EXCESS };
  static const double bad_excesses[]
      = { TRIAL_WATCH_EXCESS, 0.1, 0.15, 0.25, 0.4, 0.6 };
  const trial_tally_t *old = &tallies[TRIAL_TALLY_OLD];
  double old_share = trial_old_failure_share (old->flawed[flaw], old->answers);
  flaws_t groups[TRIAL_INSTANCE_GROUPS];
  flaws_t sum;
  size_t count = groups_with_answers (tallies, flaw, groups, &sum);

  if (sum.flawed <= 0 || sum.flawed >= sum.answers)
    return false;
  double of_instances
      = best_log_likelihood (groups, count, &sum, old_share, good_excesses,
                             sizeof good_excesses / sizeof *good_excesses);
  double of_version = fmax (
      log_likelihood (&sum, flawed_share (&sum)),
      best_log_likelihood (groups, count, &sum, old_share, bad_excesses,
                           sizeof bad_excesses / sizeof *bad_excesses));
  return of_instances > of_version;
}

/* Return whether in TALLIES most instances of the new version have FLAW more
   often than the old version had, with a logarithm of the likelihood ratio of
   at least LOG_RATIO_MIN; if so, append the reason to REASON, unless it is
   NULL.  */
static bool
have_most_instances (const trial_tally_t tallies[TRIAL_TALLIES],
                     trial_flaw_t flaw, double log_ratio_min, buf_t *reason)
{
  static const char *const flaw_names[] = { "failed", "late" };
  const trial_tally_t *old = &tallies[TRIAL_TALLY_OLD];
  flaws_t new = flaws_of_most_groups (tallies, flaw);

  if (!exceeds_share (
          &new, trial_old_failure_share (old->flawed[flaw], old->answers),
          log_ratio_min))
    return false;
  if (reason != NULL)
    buf_printf (reason,
                "%s answers of most instances: %.0f of %.0f; of the old "
                "version: %.0f of %.0f",
                flaw_names[flaw], new.flawed, new.answers, old->flawed[flaw],
                old->answers);
  return true;
}

static void
sum_routes (const trial_counts_t *counts, trial_tally_t all[TRIAL_TALLIES])
{
  for (size_t cell = 0; cell < TRIAL_ROUTE_CELLS; cell++)
    for (size_t group = 0; group < TRIAL_TALLIES; group++)
      trial_tally_add (&all[group], &counts->tallies[cell][group]);
}

bool
trial_exceeds_share_at_most_instances (const trial_counts_t *counts,
                                       double old_share)
{
  trial_tally_t all[TRIAL_TALLIES] = { { 0 } };

  sum_routes (counts, all);
  flaws_t new = flaws_of_most_groups (all, TRIAL_FLAW_FAILED);
  return exceeds_share (&new, old_share, TRIAL_WATCH_LOG_RATIO);
}

bool
trial_is_failing_at_most_instances (const trial_counts_t *counts,
                                    buf_t *reason)
{
  trial_tally_t all[TRIAL_TALLIES] = { { 0 } };

  sum_routes (counts, all);
  for (size_t cell = 0; cell < TRIAL_ROUTE_CELLS; cell++)
    if (have_most_instances (counts->tallies[cell], TRIAL_FLAW_FAILED,
                             TRIAL_WATCH_ROUTE_LOG_RATIO, NULL)
        && !is_fault_of_some_instances (counts->tallies[cell])
        && !is_fault_of_some_instances (all))
      return have_most_instances (counts->tallies[cell], TRIAL_FLAW_FAILED,
                                  TRIAL_WATCH_ROUTE_LOG_RATIO, reason);
  return have_most_instances (all, TRIAL_FLAW_FAILED, TRIAL_WATCH_LOG_RATIO,
                              NULL)
         && !is_fault_of_some_instances (all)
         && have_most_instances (all, TRIAL_FLAW_FAILED, TRIAL_WATCH_LOG_RATIO,
                                 reason);
}

bool
trial_is_late_at_most_instances (const trial_counts_t *counts, buf_t *reason)
{
  trial_tally_t all[TRIAL_TALLIES] = { { 0 } };

  sum_routes (counts, all);
  return trial_is_slow_in_service (counts)
         && have_most_instances (all, TRIAL_FLAW_LATE, TRIAL_WATCH_LOG_RATIO,
                                 reason);
}
