#include "rollout_model.h"

#include "base/rng.h"

/* Part of the requests that a version may get before it is declared good.  */
static const double exposure = 0.15;
/* Part of the time limit after which a trouble begins.  */
static const double trouble_from_part = 0.4;

enum
{
  START_MS = 100000,
  TICK_MS = 100,
  TROUBLE_AFTER_MS = 2000, /* Time after the limit at which a trouble ends.  */
  AFTER_MS = 16000,        /* Simulated time after the time limit.  */
  ROUTES = 3,
  INSTANCES = 9,
  LOAD = 4, /* Requests at each instance.  */
  SLOW_FACTOR = 8
};

/* Return whether a send to ARM at INSTANCE of INSTANCES, MS after the order,
   meets TROUBLE.  */
static bool
has_trouble (const rollout_trouble_t *trouble, trial_arm_t arm, double ms,
             double limit_ms, uint32_t instance, uint32_t instances)
{
  double from_ms = trouble_from_part * limit_ms;
  double until_ms = limit_ms + TROUBLE_AFTER_MS;

  if (trouble->length_ms > 0)
    {
      from_ms = limit_ms + (double)trouble->from_ms;
      until_ms = from_ms + (double)trouble->length_ms;
    }
  return ms >= from_ms && ms <= until_ms
         && !(trouble->is_of_old_version && arm == TRIAL_ARM_NEW)
         && (trouble->instances_part <= 0
             || instance < trouble->instances_part * instances);
}

/* Simulate one send to ARM, MS after the order.  Return whether its answer is
   bad.  */
static bool
simulate_send (trial_t *trial, rng_t *rng, trial_arm_t arm, uint64_t ms,
               const rollout_badness_t *badness,
               const rollout_trouble_t *trouble, uint32_t instances)
{
  double limit_ms = (double)trial_time_limit_ms (trial);
  uint32_t instance = UINT32_MAX;
  static const rollout_trouble_t calm = { .wait_factor = 1 };
  static const rollout_badness_t good = { 0 };
  int route = (int)rng_below (rng, ROUTES);
  bool is_bad = arm == TRIAL_ARM_NEW
                && (double)ms >= badness->bad_from_part * limit_ms
                && (badness->bad_route < 0 || badness->bad_route == route);
  trial_outcome_t outcome = TRIAL_OUTCOME_ANSWERED;

  trial_count_request (trial, (uint64_t)route);
  if (trouble->instances_part > 0)
    instance = (uint32_t)rng_below (rng, instances);
  if (!has_trouble (trouble, arm, (double)ms, limit_ms, instance, instances))
    trouble = &calm;
  if (!is_bad)
    badness = &good;
  double wait_ms = (50 + rng_double (rng) * 100) * trouble->wait_factor;
  bool is_slow = rng_double (rng) < badness->slow_share;
  if (is_slow)
    wait_ms *= SLOW_FACTOR;
  if (rng_double (rng) < trouble->unseen_share)
    return false;
  if (rng_double (rng) < trouble->failure_share
      || rng_double (rng) < badness->failure_share || rng_double (rng) < 0.005)
    outcome = TRIAL_OUTCOME_FAILED;
  else if (rng_double (rng) < trouble->lost_share
           || rng_double (rng) < badness->lost_share)
    outcome = TRIAL_OUTCOME_CONNECTION_LOST;
  if (outcome == TRIAL_OUTCOME_ANSWERED)
    {
      const trial_time_t time = { .timing = TRIAL_TIMING_FIRST_EVENT,
                                  .route = (uint64_t)route,
                                  .load = LOAD,
                                  .ms = wait_ms,
                                  .now_ms = START_MS + ms };
      trial_observe_timing (trial, arm, &time);
    }
  trial_observe (trial, arm, (uint64_t)route, outcome,
                 outcome == TRIAL_OUTCOME_ANSWERED ? (uint64_t)wait_ms : 0,
                 false);
  if (instance == UINT32_MAX)
    instance = (uint32_t)rng_below (rng, instances);
  trial_count_answer (trial, arm, (uint64_t)route, instance,
                      outcome != TRIAL_OUTCOME_ANSWERED ? TRIAL_FLAW_FAILED
                      : is_slow                         ? TRIAL_FLAW_LATE
                                                        : TRIAL_FLAW_NONE);
  return is_slow || outcome != TRIAL_OUTCOME_ANSWERED;
}

rollout_result_t
rollout_model_run (const rollout_badness_t *badness,
                   const rollout_trouble_t *trouble,
                   const rollout_setting_t *setting, uint64_t seed)
{
  trial_t *trial = trial_create (STR ("llm"), STR ("v2"), 1,
                                 setting->time_limit_ms, exposure);
  rng_t rng = rng_make (seed);
  rollout_result_t result = { 0 };
  uint64_t bound_ms = UINT64_MAX; /* Time of the last allowed bad answer.  */
  buf_t reason = BUF_NULL;

  trial_set_progress (trial, START_MS, 0, START_MS);
  for (uint64_t ms = 0; ms < setting->time_limit_ms + AFTER_MS; ms += TICK_MS)
    {
      uint64_t now_ms = START_MS + ms;
      for (int i = 0; i < setting->requests_per_s * TICK_MS / 1000; i++)
        {
          trial_arm_t arm = trial_is_assigned (trial, rng_u64 (&rng), now_ms)
                                ? TRIAL_ARM_NEW
                                : TRIAL_ARM_OLD;
          if (arm == TRIAL_ARM_NEW && ms > bound_ms)
            result.latest_send_ms = ms - bound_ms;
          result.late_requests += arm == TRIAL_ARM_NEW && ms > bound_ms
                                  && ms - bound_ms > ROLLOUT_LATE_AFTER_MS;
          if (!simulate_send (trial, &rng, arm, ms, badness, trouble,
                              setting->instances > 0 ? setting->instances
                                                     : INSTANCES)
              || arm != TRIAL_ARM_NEW)
            continue;
          if (++result.bad_answers == ROLLOUT_BAD_ANSWERS)
            bound_ms = ms;
          trial_count_bad_answer (trial);
        }
      if (ms % 1000 == 0)
        trial_decay (trial);
      if (trial_is_reverted (trial))
        continue;
      trial_decision_t decision = trial_decide (trial, now_ms, false, &reason);
      if (decision == TRIAL_DECISION_ADVANCE && ms % 1000 == 0)
        trial_set_progress (trial, START_MS, trial_step (trial) + 1,
                            now_ms + TRIAL_STEP_NOTICE_MS);
      else if (decision == TRIAL_DECISION_ROLL_BACK)
        trial_set_phase (trial, TRIAL_PHASE_ROLLED_BACK);
      else if (decision == TRIAL_DECISION_FINISH)
        {
          trial_set_phase (trial, TRIAL_PHASE_DONE);
          result.was_done = true;
        }
      else if (decision == TRIAL_DECISION_WITHDRAW)
        trial_set_phase (trial, TRIAL_PHASE_WITHDRAWN);
    }
  result.phase = trial_phase (trial);
  buf_free (&reason);
  trial_destroy (trial);
  return result;
}
