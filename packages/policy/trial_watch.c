#include "policy/trialint.h"

#include <math.h>
#include <stdlib.h>

void
trial_count_answer (trial_t *trial, trial_arm_t arm, uint64_t route,
                    uint64_t instance, trial_outcome_t outcome)
{
  size_t cell = route % TRIAL_ROUTE_CELLS;
  size_t group = arm == TRIAL_ARM_OLD ? TRIAL_TALLY_OLD
                                      : instance % TRIAL_INSTANCE_GROUPS;
  trial_tally_t *tally = &trial->own_counts.tallies[cell][group];

  tally->answers += 1;
  tally->failed += outcome != TRIAL_OUTCOME_ANSWERED;
}

bool
trial_is_watched (const trial_t *trial, uint64_t now_ms)
{
  return trial->phase == TRIAL_PHASE_DONE
         && now_ms < trial->start_ms + trial->time_limit_ms + TRIAL_WATCH_MS;
}

static void
tally_add (trial_tally_t *to, const trial_tally_t *from)
{
  to->answers += from->answers;
  to->failed += from->failed;
}

void
trial_tallies_add (trial_counts_t *to, const trial_counts_t *from)
{
  for (size_t cell = 0; cell < TRIAL_ROUTE_CELLS; cell++)
    for (size_t group = 0; group < TRIAL_TALLIES; group++)
      tally_add (&to->tallies[cell][group], &from->tallies[cell][group]);
}

void
trial_tallies_decay (trial_counts_t *counts)
{
  for (size_t cell = 0; cell < TRIAL_ROUTE_CELLS; cell++)
    for (size_t group = 0; group < TRIAL_INSTANCE_GROUPS; group++)
      {
        counts->tallies[cell][group].answers *= TRIAL_LIKELIHOOD_DECAY_PER_S;
        counts->tallies[cell][group].failed *= TRIAL_LIKELIHOOD_DECAY_PER_S;
      }
}

static double
failed_share (const trial_tally_t *tally)
{
  return tally->failed / tally->answers;
}

static int
compare_failed_shares (const void *a, const void *b)
{
  double difference = failed_share (a) - failed_share (b);

  return (difference > 0) - (difference < 0);
}

/* Return the sum of the tallies of GROUPS that have answers, without the part
   TRIAL_WATCH_LEFT_OUT_PART of them with the largest shares of failures.  */
static trial_tally_t
sum_of_most_groups (const trial_tally_t groups[TRIAL_TALLIES])
{
  trial_tally_t sorted[TRIAL_INSTANCE_GROUPS] = { 0 };
  trial_tally_t sum = { 0 };
  size_t count = 0;

  for (size_t group = 0; group < TRIAL_INSTANCE_GROUPS; group++)
    if (groups[group].answers > 0)
      sorted[count++] = groups[group];
  qsort (sorted, count, sizeof *sorted, compare_failed_shares);
  count -= (size_t)lround (TRIAL_WATCH_LEFT_OUT_PART * (double)count);
  for (size_t group = 0; group < count; group++)
    tally_add (&sum, &sorted[group]);
  return sum;
}

/* Return whether the version fails clearly more often on most GROUPS than the
   old one did; if so, append the reason to REASON.  */
static bool
has_failing_groups (const trial_tally_t *old,
                    const trial_tally_t groups[TRIAL_TALLIES], buf_t *reason)
{
  trial_tally_t sum = sum_of_most_groups (groups);
  double old_share = trial_old_failure_share (old->failed, old->answers);
  double good_share = old_share + (1 - old_share) * TRIAL_WATCH_GOOD_EXCESS;

  if (sum.answers <= 0
      || failed_share (&sum)
             < old_share + (1 - old_share) * TRIAL_WATCH_EXCESS)
    return false;
  double share = fmin (failed_share (&sum), 1 - 1 / (sum.answers + 1));
  double log_ratio
      = sum.failed * log (share / good_share)
        + (sum.answers - sum.failed) * log ((1 - share) / (1 - good_share));
  if (log_ratio < TRIAL_WATCH_LOG_RATIO)
    return false;
  buf_printf (reason,
              "failed answers of most instances: %.0f of %.0f; of the old "
              "version: %.0f of %.0f",
              sum.failed, sum.answers, old->failed, old->answers);
  return true;
}

bool
trial_is_bad_in_service (const trial_counts_t *counts, buf_t *reason)
{
  trial_tally_t old = { 0 };
  trial_tally_t groups[TRIAL_TALLIES] = { 0 };

  for (size_t cell = 0; cell < TRIAL_ROUTE_CELLS; cell++)
    {
      if (has_failing_groups (&counts->tallies[cell][TRIAL_TALLY_OLD],
                              counts->tallies[cell], reason))
        return true;
      tally_add (&old, &counts->tallies[cell][TRIAL_TALLY_OLD]);
      for (size_t group = 0; group < TRIAL_INSTANCE_GROUPS; group++)
        tally_add (&groups[group], &counts->tallies[cell][group]);
    }
  if (trial_is_slow_in_service (counts))
    {
      buf_append_str (reason, STR ("its times are those of a slow version"));
      return true;
    }
  return has_failing_groups (&old, groups, reason);
}
