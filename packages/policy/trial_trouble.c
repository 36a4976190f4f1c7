#include "policy/trialint.h"

#include <math.h>

/* Return the share of the old version's recent answers that failed.  */
static double
recent_old_share (const trial_counts_t *counts)
{
  trial_sums_t old = trial_sums_of_routes (counts, TRIAL_ARM_OLD);
  double extra = old.lost_connections * (1 - TRIAL_LOST_CONNECTION_WEIGHT);

  return trial_old_failure_share (old.failed + extra, old.count + extra);
}

static trial_tally_t
sum_of_groups (const trial_counts_t *counts, size_t from, size_t to)
{
  trial_tally_t sum = { 0 };

  for (size_t cell = 0; cell < TRIAL_ROUTE_CELLS; cell++)
    for (size_t group = from; group < to; group++)
      trial_tally_add (&sum, &counts->tallies[cell][group]);
  return sum;
}

static trial_tally_t
old_tally (const trial_counts_t *counts)
{
  return sum_of_groups (counts, TRIAL_TALLY_OLD, TRIAL_TALLIES);
}

static trial_tally_t
new_tally (const trial_counts_t *counts)
{
  return sum_of_groups (counts, 0, TRIAL_INSTANCE_GROUPS);
}

/* Return what TALLY has more than BEFORE; nothing if it has less, as the
   counts of a process have expired.  */
static trial_tally_t
tally_growth (const trial_tally_t *tally, const trial_tally_t *before)
{
  trial_tally_t growth = { 0 };
  double failed
      = tally->flawed[TRIAL_FLAW_FAILED] - before->flawed[TRIAL_FLAW_FAILED];

  if (tally->answers <= before->answers || failed < 0)
    return growth;
  growth.answers = tally->answers - before->answers;
  growth.flawed[TRIAL_FLAW_FAILED] = failed;
  return growth;
}

static double
share_above (double share, double excess)
{
  return share + (1 - share) * excess;
}

void
trial_track_trouble (trial_t *trial, const trial_counts_t *counts)
{
  trial_trouble_t *trouble = &trial->trouble;
  trial_tally_t old = old_tally (counts);
  trial_tally_t new = new_tally (counts);
  trial_tally_t answers = { 0 };
  double share = recent_old_share (counts);

  /* The first counts of a process hold its answers since the start.  */
  if (counts->processes == trouble->last_processes)
    answers = tally_growth (&old, &trouble->last_old);
  trouble->last_processes = counts->processes;
  trouble->last_old = old;
  trouble->second_new = tally_growth (&new, &trouble->last_new);
  if (trial->phase != TRIAL_PHASE_RUNNING)
    return;
  if (trial_sums_of_routes (counts, TRIAL_ARM_OLD).count
          >= TRIAL_CALM_ANSWERS_MIN
      && (!trouble->has_calm_share || share < trouble->calm_share))
    {
      trouble->calm_share = share;
      trouble->has_calm_share = true;
    }
  if (!trouble->has_calm_share
      || share <= share_above (trouble->calm_share, TRIAL_WATCH_EXCESS))
    trouble->old = (trial_tally_t){ 0 };
  else
    trial_tally_add (&trouble->old, &answers);
}

void
trial_track_decayed (trial_t *trial, const trial_counts_t *counts)
{
  trial->trouble.last_new = new_tally (counts);
}

/* Return whether the new version fails clearly less often than the old version
   has since its trouble began, by STDERRS standard errors, so that it does not
   have that trouble.  */
static bool
is_without_trouble (const trial_trouble_t *trouble, const trial_tally_t *new,
                    double stderrs)
{
  const trial_tally_t *old = &trouble->old;

  if (old->answers < TRIAL_ANSWERS_MIN || new->answers < TRIAL_ANSWERS_MIN)
    return false;
  double old_failed = old->flawed[TRIAL_FLAW_FAILED];
  double new_failed = new->flawed[TRIAL_FLAW_FAILED];
  double pooled
      = (old_failed + new_failed + 1) / (old->answers + new->answers + 2);
  double std_error
      = sqrt (pooled * (1 - pooled) * (1 / old->answers + 1 / new->answers));
  double difference = old_failed / old->answers - new_failed / new->answers;
  return difference > stderrs * std_error;
}

/* Return whether the RECENT answers of the new version fail about as often as
   its answers NEW of a longer time, less STDERRS standard errors.  They do not
   when a trouble has just ended, on the way from the share in it to the one
   without it.  */
static bool
is_steady (const trial_tally_t *recent, const trial_tally_t *new,
           double stderrs)
{
  double share = new->flawed[TRIAL_FLAW_FAILED] / new->answers;

  if (recent->answers <= 0)
    return false;
  return recent->flawed[TRIAL_FLAW_FAILED] / recent->answers
         >= share - stderrs * sqrt (share * (1 - share) / recent->answers);
}

/* Return the NEW version's answers of the last one or two seconds.  */
static trial_tally_t
recent_tally (const trial_trouble_t *trouble, const trial_tally_t *new)
{
  trial_tally_t recent = tally_growth (new, &trouble->last_new);

  trial_tally_add (&recent, &trouble->second_new);
  return recent;
}

bool
trial_is_failing_steadily (const trial_t *trial, const trial_counts_t *counts)
{
  trial_tally_t new = new_tally (counts);
  trial_tally_t recent = recent_tally (&trial->trouble, &new);

  return new.flawed[TRIAL_FLAW_FAILED] <= 0
         || is_steady (&recent, &new, TRIAL_SUSPECT_STDERRS);
}

bool
trial_is_rather_bad_in_trouble (const trial_t *trial,
                                const trial_counts_t *counts)
{
  trial_tally_t new = new_tally (counts);
  double failed = new.flawed[TRIAL_FLAW_FAILED];
  double good = share_above (trial->trouble.calm_share, TRIAL_GOOD_SHARE);
  double bad = share_above (trial->trouble.calm_share, TRIAL_BAD_SHARE);

  return is_without_trouble (&trial->trouble, &new, TRIAL_TROUBLE_HOLD_STDERRS)
         && failed * log (bad / good)
                > (new.answers - failed) * log ((1 - good) / (1 - bad));
}

bool
trial_is_bad_in_trouble (const trial_t *trial, const trial_counts_t *counts,
                         buf_t *reason)
{
  const trial_trouble_t *trouble = &trial->trouble;
  trial_tally_t new = new_tally (counts);
  trial_tally_t recent = recent_tally (trouble, &new);

  if (!is_without_trouble (trouble, &new, TRIAL_TROUBLE_STDERRS)
      || !is_steady (&recent, &new, 1)
      || !trial_exceeds_share_at_most_instances (counts, trouble->calm_share))
    return false;
  if (reason != NULL)
    buf_printf (reason,
                "failed answers: %.0f of %.0f; of the old version in its "
                "trouble: %.0f of %.0f, a share of %.2f before",
                new.flawed[TRIAL_FLAW_FAILED], new.answers,
                trouble->old.flawed[TRIAL_FLAW_FAILED], trouble->old.answers,
                trouble->calm_share);
  return true;
}
