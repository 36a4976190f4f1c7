#include "policy/trialint.h"

#include <math.h>

/* Return whether the new version's share of failed answers exceeds the old
   one's by EXCESS_MIN of the old version's good answers, since only those can
   show failures of the new one, and by STDERRS standard errors.  */
static bool
has_share_excess (double old_failed, double old_count, double new_failed,
                  double new_count, double excess_min, double stderrs)
{
  double old_share = trial_old_failure_share (old_failed, old_count);
  double excess = new_failed / new_count - old_share;
  double pooled = (new_failed + old_failed + 1) / (new_count + old_count + 2);
  double std_error
      = sqrt (pooled * (1 - pooled) * (1 / new_count + 1 / (old_count + 1)));
  return excess > excess_min * (1 - old_share) && excess > stderrs * std_error;
}

/* Return the share of SUMS that failed, with a weight of
   TRIAL_ADVANCE_LOST_CONNECTION_WEIGHT for lost connections.  */
static double
advance_failure_share (const trial_sums_t *sums)
{
  double extra = sums->lost_connections
                 * (TRIAL_ADVANCE_LOST_CONNECTION_WEIGHT
                    - TRIAL_LOST_CONNECTION_WEIGHT);

  return (sums->failed + extra) / (sums->count + extra);
}

bool
trial_is_ready_to_advance (const trial_sums_t *old, const trial_sums_t *new,
                           double in_step_ms, double step_min_ms,
                           double stderrs)
{
  if (new->count < TRIAL_ADVANCE_ANSWERS_MIN)
    return in_step_ms >= TRIAL_STEP_TIMEOUT_FACTOR * step_min_ms;
  for (size_t timing = 0; timing < TRIAL_TIMING_COUNT; timing++)
    if (new->timing_count[timing] > 0
        && has_share_excess (
            old->late_count[timing], old->timing_count[timing],
            new->late_count[timing], new->timing_count[timing],
            TRIAL_HOLD_LATE_EXCESS, stderrs))
      return false;
  double old_share = trial_old_failure_share (old->failed, old->count);
  return advance_failure_share (new) - old_share
         <= TRIAL_ADVANCE_EXCESS * (1 - old_share);
}

bool
trial_is_shown_good (const trial_counts_t *counts)
{
  trial_likelihoods_t all = trial_likelihoods_of_routes (counts);
  trial_sums_t old = trial_sums_of_routes (counts, TRIAL_ARM_OLD);
  bool has_times = false;

  for (size_t timing = 0; timing < TRIAL_TIMING_COUNT; timing++)
    has_times |= old.timing_count[timing] > 0;
  double log_ratio
      = all.failures_for - all.failures_against
        - TRIAL_ADVANCE_LOST_CONNECTION_WEIGHT * all.losses_against;
  if (log_ratio < TRIAL_GOOD_LOG_RATIO
      || (has_times && !trial_are_times_good (counts)))
    return false;
  for (size_t cell = 0; cell < TRIAL_ROUTE_CELLS; cell++)
    {
      const trial_likelihoods_t *likelihoods = &counts->likelihoods[cell];
      double route_log_ratio
          = likelihoods->route_failures_for
            - likelihoods->route_failures_against
            - TRIAL_LOST_CONNECTION_WEIGHT * likelihoods->route_losses_against;
      if (likelihoods->requests >= TRIAL_BUSY_REQUESTS
          && route_log_ratio < TRIAL_GOOD_CELL_LOG_RATIO)
        return false;
    }
  return true;
}

bool
trial_lacks_evidence_of_good (const trial_counts_t *counts)
{
  trial_sums_t old = trial_sums_of_routes (counts, TRIAL_ARM_OLD);

  return trial_likelihoods_of_routes (counts).requests >= TRIAL_BUSY_REQUESTS
         && (trial_old_advance_failure_share (&old) > TRIAL_OLD_FAILURES_MAX
             || !trial_is_shown_good (counts));
}

bool
trial_is_cell_inconclusive (const trial_sums_t *old, const trial_sums_t *new)
{
  if (new->total_count < TRIAL_ADVANCE_ANSWERS_MIN)
    return new->total_count < TRIAL_BUSY_CELL_NEW_MIN
           && old->total_count >= TRIAL_BUSY_CELL_ANSWERS;
  return has_share_excess (old->total_failed, old->total_count,
                           new->total_failed, new->total_count,
                           TRIAL_FINAL_EXCESS, TRIAL_FINAL_STDERRS);
}

/* Return whether the new version's mean time to the first event exceeds
   TRIAL_FIRST_EVENT_RATIO times the old version's.  */
static bool
has_slow_first_events (const trial_sums_t *old, const trial_sums_t *new)
{
  if (new->first_events < TRIAL_ANSWERS_MIN
      || old->first_events < TRIAL_ANSWERS_MIN)
    return false;
  double mean_new = new->log_wait_sum / new->first_events;
  double mean_old = old->log_wait_sum / old->first_events;
  double var_new
      = new->log_wait_square_sum / new->first_events - mean_new *mean_new;
  double var_old
      = old->log_wait_square_sum / old->first_events - mean_old * mean_old;
  double std_error = sqrt (fmax (var_new, 0.05) / new->first_events
                           + fmax (var_old, 0.05) / old->first_events);
  return mean_new - mean_old > log (TRIAL_FIRST_EVENT_RATIO)
         && mean_new - mean_old > log (TRIAL_FIRST_EVENT_RATIO) / 2
                                      + TRIAL_FAILURE_STDERRS * std_error;
}

bool
trial_is_version_bad (const trial_sums_t *old, const trial_sums_t *new,
                      buf_t *reason)
{
  if (new->count >= TRIAL_ANSWERS_MIN
      && has_share_excess (old->failed, old->count, new->failed, new->count,
                           TRIAL_FAILURE_EXCESS, TRIAL_FAILURE_STDERRS))
    {
      buf_printf (
          reason,
          "failed answers: %.0f of %.0f; of the old version: %.0f of %.0f",
          new->failed, new->count, old->failed, old->count);
      return true;
    }
  if (has_slow_first_events (old, new))
    {
      buf_printf (
          reason,
          "time to the first event: %.0f ms; of the old version: %.0f ms",
          exp (new->log_wait_sum / new->first_events),
          exp (old->log_wait_sum / old->first_events));
      return true;
    }
  for (size_t timing = 0; timing < TRIAL_TIMING_COUNT; timing++)
    if (new->timing_count[timing] >= trial_timings[timing].samples_min
        && has_share_excess (
            old->late_count[timing], old->timing_count[timing],
            new->late_count[timing], new->timing_count[timing],
            TRIAL_LATE_EXCESS, trial_timings[timing].stderrs))
      {
        buf_printf (reason,
                    "late %s: %.0f of %.0f; of the old version: %.0f of %.0f",
                    trial_timings[timing].name, new->late_count[timing],
                    new->timing_count[timing], old->late_count[timing],
                    old->timing_count[timing]);
        return true;
      }
  return false;
}
