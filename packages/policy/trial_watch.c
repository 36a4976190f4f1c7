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

/* Return the answers with FLAW in those TALLIES of groups of instances that
   have answers, without the part TRIAL_WATCH_LEFT_OUT_PART of them with the
   largest shares.  */
static flaws_t
flaws_of_most_groups (const trial_tally_t tallies[TRIAL_TALLIES],
                      trial_flaw_t flaw)
{
  flaws_t sorted[TRIAL_INSTANCE_GROUPS] = { { 0 } };
  flaws_t sum = { 0 };
  size_t count = 0;

  for (size_t group = 0; group < TRIAL_INSTANCE_GROUPS; group++)
    if (tallies[group].answers > 0)
      sorted[count++] = (flaws_t){ .answers = tallies[group].answers,
                                   .flawed = tallies[group].flawed[flaw] };
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
trial_is_bad_at_most_instances (const trial_counts_t *counts, buf_t *reason)
{
  trial_tally_t all[TRIAL_TALLIES] = { { 0 } };

  for (size_t cell = 0; cell < TRIAL_ROUTE_CELLS; cell++)
    if (have_most_instances (counts->tallies[cell], TRIAL_FLAW_FAILED,
                             TRIAL_WATCH_ROUTE_LOG_RATIO, reason))
      return true;
  sum_routes (counts, all);
  return have_most_instances (all, TRIAL_FLAW_FAILED, TRIAL_WATCH_LOG_RATIO,
                              reason)
         || (trial_is_slow_in_service (counts)
             && have_most_instances (all, TRIAL_FLAW_LATE,
                                     TRIAL_WATCH_LOG_RATIO, reason));
}
