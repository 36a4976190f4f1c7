#include "policy/trialint.h"

#include "base/mem.h"

#include <inttypes.h>
#include <math.h>
#include <stdlib.h>

/* Minimum length of each step, as a part of the time limit.  */
static const double step_length_parts[] = {
#define X(symbol, part) part,
  TRIAL_STEPS (X)
#undef X
};

trial_t *
trial_create (str_t service, str_t version, uint64_t order,
              uint64_t time_limit_ms, double exposure)
{
  trial_t *trial = mem_zalloc (sizeof *trial);

  trial->service = str_dup (service);
  trial->version = str_dup (version);
  trial->order = order;
  trial->time_limit_ms = time_limit_ms;
  trial->exposure = exposure;
  trial->peers = map_create ();
  trial->bad_answers = map_create ();
  return trial;
}

static void
free_map (map_t *map)
{
  size_t cursor = 0;
  str_t key;
  void *value;

  while (map_next (map, &cursor, &key, &value))
    free (value);
  map_destroy (map);
}

void
trial_destroy (trial_t *trial)
{
  if (trial == NULL)
    return;
  free_map (trial->peers);
  free_map (trial->bad_answers);
  free (trial->service);
  free (trial->version);
  free (trial);
}

str_t
trial_version (const trial_t *trial)
{
  return str_from (trial->version);
}

uint64_t
trial_order (const trial_t *trial)
{
  return trial->order;
}

void
trial_set_order (trial_t *trial, uint64_t order)
{
  trial->order = order;
}

uint64_t
trial_time_limit_ms (const trial_t *trial)
{
  return trial->time_limit_ms;
}

trial_phase_t
trial_phase (const trial_t *trial)
{
  return trial->phase;
}

const char *
trial_phase_name (trial_phase_t phase)
{
  static const char *const names[]
      = { "running", "done", "rolled-back", "withdrawn" };

  return names[phase];
}

bool
trial_is_reverted (const trial_t *trial)
{
  return trial->phase == TRIAL_PHASE_ROLLED_BACK
         || trial->phase == TRIAL_PHASE_WITHDRAWN;
}

void
trial_set_phase (trial_t *trial, trial_phase_t phase)
{
  trial->phase = phase;
}

void
trial_set_final_phase_stored (trial_t *trial, bool is_final_phase_stored)
{
  trial->is_final_phase_stored = is_final_phase_stored;
}

bool
trial_is_final_phase_stored (const trial_t *trial)
{
  return trial->is_final_phase_stored;
}

void
trial_set_progress (trial_t *trial, uint64_t start_ms, uint32_t step,
                    uint64_t step_start_ms)
{
  trial->start_ms = start_ms;
  trial->step = step < TRIAL_STEP_COUNT ? step : TRIAL_STEP_COUNT - 1;
  trial->step_start_ms = step_start_ms;
}

void
trial_set_order_seen_ms (trial_t *trial, uint64_t order_seen_ms)
{
  trial->order_seen_ms = order_seen_ms;
}

uint64_t
trial_order_seen_ms (const trial_t *trial)
{
  return trial->order_seen_ms;
}

uint64_t
trial_start_ms (const trial_t *trial)
{
  return trial->start_ms;
}

uint32_t
trial_step (const trial_t *trial)
{
  return trial->step;
}

uint64_t
trial_step_start_ms (const trial_t *trial)
{
  return trial->step_start_ms;
}

void
trial_set_process_id (trial_t *trial, uint64_t process_id)
{
  trial->process_id = process_id;
}

/* Return the time at which the version is to be declared good, so that the
   operators read the result within the time limit.  */
static double
finish_time_ms (const trial_t *trial)
{
  return (double)trial->start_ms + (double)trial->time_limit_ms
         - TRIAL_FINISH_LEAD_MS;
}

static double
initial_share (const trial_t *trial)
{
  return fmin (trial->exposure * TRIAL_INITIAL_EXPOSURE_PART, TRIAL_SHARE_MAX);
}

/* Return the share in TRIAL_STEP_INCREASED.  Of the part
   TRIAL_STEPS_EXPOSURE_PART of the operators' bound, the requests of the
   initial step, which starts at half the time limit, and the requests after
   the finish are subtracted; the rest is spread over the time up to the
   finish.  The share is at least that of the initial step and at most
   TRIAL_SHARE_MAX.  */
static double
increased_share (const trial_t *trial)
{
  double first = initial_share (trial);
  double time_limit_ms = (double)trial->time_limit_ms;
  double step_start_ms = (double)trial->step_start_ms;
  double share_start_ms
      = (double)trial->start_ms
        + time_limit_ms * step_length_parts[TRIAL_STEP_NO_TRAFFIC];
  double left_ms = trial->exposure * TRIAL_STEPS_EXPOSURE_PART * time_limit_ms
                   - TRIAL_FINISH_LEAD_MS
                   - first * fmax (step_start_ms - share_start_ms, 0);
  double increased_step_ms = finish_time_ms (trial) - step_start_ms;

  if (increased_step_ms <= 0)
    return TRIAL_SHARE_MAX;
  return fmin (fmax (left_ms / increased_step_ms, first), TRIAL_SHARE_MAX);
}

double
trial_share (const trial_t *trial, uint64_t now_ms)
{
  uint32_t step = trial->step;

  if (trial->phase != TRIAL_PHASE_RUNNING)
    return trial->phase == TRIAL_PHASE_DONE ? 1 : 0;
  if (step > TRIAL_STEP_NO_TRAFFIC && now_ms < trial->step_start_ms)
    step--;
  if (trial->start_ms == 0 || step == TRIAL_STEP_NO_TRAFFIC)
    return 0;
  return step == TRIAL_STEP_INITIAL ? initial_share (trial)
                                    : increased_share (trial);
}

bool
trial_is_assigned (const trial_t *trial, uint64_t key, uint64_t now_ms)
{
  return (double)(key >> 11) * 0x1.0p-53 < trial_share (trial, now_ms);
}

trial_arm_t
trial_choose_arm (const trial_t *trial, uint64_t key, uint64_t now_ms,
                  const trial_send_history_t *history)
{
  if (history->failed_on_new)
    return TRIAL_ARM_OLD;
  if (history->was_sent)
    return history->arm;
  return trial_is_assigned (trial, key, now_ms) ? TRIAL_ARM_NEW
                                                : TRIAL_ARM_OLD;
}

/* Return whether the version has given so many bad answers, and for so long
   not been shown to be good, that it must go, whether or not the old version
   is better.  */
static bool
has_too_many_bad_answers (trial_t *trial, const trial_counts_t *counts,
                          uint64_t now_ms)
{
  if (trial->bad_answers_sum < TRIAL_BAD_ANSWERS_MAX
      || now_ms < trial->acceptable_ms
      || (trial_is_shown_good (counts)
          && !trial_is_failing_at_most_instances (counts, NULL)
          && !trial_is_late_at_most_instances (counts, NULL)
          && !trial_is_bad_in_trouble (trial, counts, NULL)))
    trial->acceptable_ms = now_ms;
  return now_ms - trial->acceptable_ms >= TRIAL_BAD_ANSWERS_WAIT_MS;
}

/* Note whether the version in service looks bad now (IS_SUSPECT).  Return
   whether it does and has done so for TRIAL_BAD_ANSWERS_WAIT_MS, with gaps of
   at most TRIAL_SUSPECT_GAP_MS.  */
static bool
has_stayed_suspect (trial_t *trial, bool is_suspect, uint64_t now_ms)
{
  if (!is_suspect)
    return false;
  if (trial->last_suspect_ms == 0
      || now_ms - trial->last_suspect_ms > TRIAL_SUSPECT_GAP_MS)
    trial->suspect_since_ms = now_ms;
  trial->last_suspect_ms = now_ms;
  return now_ms - trial->suspect_since_ms >= TRIAL_BAD_ANSWERS_WAIT_MS;
}

/* Return whether the version in service must go; if so, append the reason to
   REASON.  While a trouble of both versions ends, the new one may for a moment
   seem to be without it.  */
static bool
must_be_withdrawn (trial_t *trial, const trial_counts_t *counts,
                   uint64_t now_ms, bool is_store_down, buf_t *reason)
{
  bool is_suspect = !is_store_down
                    && trial_is_failing_at_most_instances (counts, NULL)
                    && trial_is_failing_steadily (trial, counts);

  if (trial->acceptable_ms == 0 || is_store_down
      || !trial_is_bad_in_trouble (trial, counts, NULL))
    trial->acceptable_ms = now_ms;
  bool has_stayed = has_stayed_suspect (trial, is_suspect, now_ms);
  if (is_store_down || trial->bad_answers_sum < TRIAL_BAD_ANSWERS_MAX)
    return false;
  return (has_stayed && trial_is_failing_at_most_instances (counts, reason))
         || trial_is_late_at_most_instances (counts, reason)
         || (now_ms - trial->acceptable_ms >= TRIAL_BAD_ANSWERS_WAIT_MS
             && trial_is_bad_in_trouble (trial, counts, reason));
}

trial_decision_t
trial_decide (trial_t *trial, uint64_t now_ms, bool is_store_down,
              buf_t *reason)
{
  trial_counts_t all = trial_total_counts (trial, false);
  const trial_sums_t old = trial_sums_of_routes (&all, TRIAL_ARM_OLD);
  const trial_sums_t new = trial_sums_of_routes (&all, TRIAL_ARM_NEW);
  bool has_inconclusive_cell = false;

  if (trial_is_watched (trial, now_ms))
    return must_be_withdrawn (trial, &all, now_ms, is_store_down, reason)
               ? TRIAL_DECISION_WITHDRAW
               : TRIAL_DECISION_WAIT;
  if (trial->phase != TRIAL_PHASE_RUNNING || trial->start_ms == 0)
    return TRIAL_DECISION_WAIT;
  for (size_t cell = 0; cell < TRIAL_CELL_COUNT; cell++)
    {
      if (trial_is_version_bad (&all.sums[TRIAL_ARM_OLD][cell],
                                &all.sums[TRIAL_ARM_NEW][cell], reason))
        return TRIAL_DECISION_ROLL_BACK;
      has_inconclusive_cell |= trial_is_cell_inconclusive (
          &all.sums[TRIAL_ARM_OLD][cell], &all.sums[TRIAL_ARM_NEW][cell]);
    }
  if (trial_is_version_bad (&old, &new, reason))
    return TRIAL_DECISION_ROLL_BACK;
  if (has_too_many_bad_answers (trial, &all, now_ms))
    {
      buf_printf (reason,
                  "%" PRIu64
                  " bad answers, and not shown to be as good as the "
                  "old version",
                  trial->bad_answers_sum);
      return TRIAL_DECISION_ROLL_BACK;
    }
  double time_limit_ms = (double)trial->time_limit_ms;
  double step_min_ms = step_length_parts[trial->step] * time_limit_ms;
  /* The initial step applies from half the time limit on and is written
     TRIAL_STEP_NOTICE_MS before.  */
  if (trial->step == TRIAL_STEP_NO_TRAFFIC)
    step_min_ms -= TRIAL_STEP_NOTICE_MS;
  if (step_min_ms < TRIAL_STEP_MS_MIN)
    step_min_ms = TRIAL_STEP_MS_MIN;
  double in_step_ms = now_ms > trial->step_start_ms
                          ? (double)(now_ms - trial->step_start_ms)
                          : 0;
  if (is_store_down || in_step_ms < step_min_ms)
    return TRIAL_DECISION_WAIT;
  bool is_due = (double)now_ms >= finish_time_ms (trial);
  bool is_last_step = trial->step + 1 == TRIAL_STEP_COUNT;
  bool is_busy
      = trial_likelihoods_of_routes (&all).requests >= TRIAL_BUSY_REQUESTS;
  /* Before the finish is due missing evidence does not hold the version back,
     because further answers may still bring it.  */
  bool is_held_back
      = (is_due && has_inconclusive_cell)
        || (is_due && is_last_step
            && (trial_lacks_evidence_of_good (&all)
                || trial_is_rather_bad_in_trouble (trial, &all)))
        || !trial_is_ready_to_advance (&old, &new, in_step_ms, step_min_ms,
                                       is_due ? TRIAL_FINAL_HOLD_STDERRS
                                              : TRIAL_HOLD_STDERRS);
  if (trial->step > TRIAL_STEP_NO_TRAFFIC && is_held_back)
    {
      if ((new.count < TRIAL_ADVANCE_ANSWERS_MIN && !is_busy)
          || (double)now_ms + TRIAL_ROLLBACK_LEAD_MS
                 < (double)trial->start_ms + time_limit_ms)
        return TRIAL_DECISION_WAIT;
      buf_printf (reason,
                  "failures or latency not proven acceptable before the "
                  "time limit");
      return TRIAL_DECISION_ROLL_BACK;
    }
  if (!is_last_step)
    return TRIAL_DECISION_ADVANCE;
  return is_due ? TRIAL_DECISION_FINISH : TRIAL_DECISION_WAIT;
}
