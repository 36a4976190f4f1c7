/* Tests of the concurrency limit.  The upstream is simulated: a job of UNITS
   takes UNITS * unit_us while at most SLOTS jobs run, and longer in proportion
   to the number of jobs above SLOTS.  */

#include "policy/limit.h"

#include "suite.h"

enum
{
  SLOTS = 16,
  UNITS = 100
};

static const uint64_t warm_unit_us = 1000;
/* Latency of a job of UNITS on a warm upstream that is not full.  */
static const uint64_t job_us = 100000;

typedef struct
{
  clock_iface_t *clock;
  limit_t *limit;
  uint32_t slots;
  uint64_t unit_us;
} upstream_t;

static upstream_t upstream;

static void
setup (void)
{
  upstream.clock = clock_manual_create (0);
  upstream.limit = limit_create (NULL, upstream.clock);
  upstream.slots = SLOTS;
  upstream.unit_us = warm_unit_us;
}

static void
teardown (void)
{
  limit_destroy (upstream.limit);
  clock_manual_destroy (upstream.clock);
}

/* Run as many jobs of UNITS as the limit admits until all have ended.  Return
   the number of jobs.  */
static uint32_t
run_batch (uint32_t units)
{
  uint32_t n = 0;
  uint64_t latency_us;

  while (limit_acquire (upstream.limit) == VH_OK)
    n++;
  latency_us = upstream.unit_us * units;
  if (upstream.slots > 0 && n > upstream.slots)
    latency_us = latency_us * n / upstream.slots;
  clock_manual_advance_us (upstream.clock, latency_us);
  for (uint32_t i = 0; i < n; i++)
    limit_release (upstream.limit, latency_us, units, true);
  return n;
}

START_TEST (slow_start_doubles_each_round)
{
  static const uint32_t expected[] = { 2, 4, 8, 16 };

  for (size_t i = 0; i < sizeof expected / sizeof expected[0]; i++)
    ck_assert_uint_eq (run_batch (UNITS), expected[i]);
}
END_TEST

START_TEST (settles_at_rise_of_latency)
{
  for (int i = 0; i < 100; i++)
    run_batch (UNITS);
  for (int i = 0; i < 50; i++)
    {
      uint32_t n = run_batch (UNITS);
      ck_assert_uint_ge (n, SLOTS);
      ck_assert_uint_le (n, (uint64_t)SLOTS * 2);
    }
}
END_TEST

/* Failure: the limit oscillates below the capacity of the upstream.  The
   engine runs four jobs and slows with the square of the number of jobs above
   four.  Slow start doubles from four to eight, the latency looks like that of
   a cold engine, and the limit is reset.  Repeated for ever, the upstream
   would run at half of its capacity and every eighth job would take four times
   as long.  */
START_TEST (overshoot_happens_only_once)
{
  enum
  {
    CAPACITY = 4,
    ROUNDS = 60
  };
  int resets = 0;

  upstream.slots = 0;
  for (int i = 0; i < ROUNDS; i++)
    {
      uint32_t slots = limit_slots (upstream.limit);
      uint64_t concurrency = slots > CAPACITY ? slots : CAPACITY;

      upstream.unit_us
          = warm_unit_us * concurrency * concurrency / (CAPACITY * CAPACITY);
      run_batch (UNITS);
      if (slots > LIMIT_INITIAL_SLOTS
          && limit_slots (upstream.limit) == (uint32_t)LIMIT_INITIAL_SLOTS)
        resets++;
    }
  ck_assert_int_eq (resets, 1);
  ck_assert_uint_ge (limit_slots (upstream.limit), CAPACITY - 1);
}
END_TEST

/* Failure: a slow upstream with a fixed number of slots is never ejected.  If
   its limit counted as warming up, its latency would be ignored.  */
START_TEST (fixed_limit_is_never_warming_up)
{
  const limit_config_t fixed = { .initial_slots = 4, .max_slots = 4 };

  limit_destroy (upstream.limit);
  upstream.limit = limit_create (&fixed, upstream.clock);
  ck_assert (!limit_is_warming_up (upstream.limit));
  run_batch (UNITS);
  ck_assert (!limit_is_warming_up (upstream.limit));
  ck_assert_uint_eq (limit_slots (upstream.limit), 4);
}
END_TEST

/* Failure: a batch of requests times out.  A warm upstream loses its cache and
   runs two jobs where it ran sixteen.  The limit must return to its start
   value after three slow samples, not at the end of the round, and must reach
   its old value a few rounds after the engine is warm again.  */
START_TEST (cold_engine_resets_limit_at_once)
{
  for (int i = 0; i < 20; i++)
    run_batch (UNITS);
  ck_assert_uint_ge (limit_slots (upstream.limit), SLOTS);
  while (limit_acquire (upstream.limit) == VH_OK)
    ;
  clock_manual_advance_us (upstream.clock, job_us * 8);
  for (int i = 0; i < LIMIT_COLD_SAMPLES; i++)
    limit_release (upstream.limit, job_us * 8, UNITS, true);
  ck_assert_uint_eq (limit_slots (upstream.limit), LIMIT_INITIAL_SLOTS);
  ck_assert_int_eq (limit_acquire (upstream.limit), VH_E_FULL);
  while (limit_in_flight (upstream.limit) > 0)
    limit_release (upstream.limit, job_us * 8, UNITS, true);

  /* While the engine stays cold, the limit stays at its start value.  */
  upstream.unit_us = warm_unit_us * 4;
  for (int i = 0; i < 30; i++)
    ck_assert_uint_eq (run_batch (UNITS), LIMIT_INITIAL_SLOTS);
  upstream.unit_us = warm_unit_us;
  for (int i = 0; i < 4; i++)
    run_batch (UNITS);
  ck_assert_uint_ge (limit_slots (upstream.limit), SLOTS);
}
END_TEST

/* Failure: an idle upstream refuses requests.  Jobs of minutes and jobs of a
   second share the upstream; if the latency were not divided by the cost, the
   first long job after some short ones would look like a cold engine.  */
START_TEST (long_jobs_do_not_count_as_slow)
{
  for (int i = 0; i < 20; i++)
    run_batch (i % 3 == 2 ? UNITS * 50 : UNITS);
  ck_assert_uint_ge (limit_slots (upstream.limit), SLOTS);
}
END_TEST

START_TEST (progress_detects_cold_engine_before_job_ends)
{
  for (int i = 0; i < 20; i++)
    run_batch (UNITS);
  while (limit_acquire (upstream.limit) == VH_OK)
    ;
  for (int i = 0; i < LIMIT_COLD_SAMPLES; i++)
    limit_report_progress (upstream.limit, warm_unit_us * 10, 1);
  ck_assert_uint_eq (limit_slots (upstream.limit), LIMIT_INITIAL_SLOTS);
}
END_TEST

START_TEST (only_consecutive_errors_reset_limit)
{
  for (int i = 0; i < 20; i++)
    run_batch (UNITS);
  for (int i = 0; i < 20; i++)
    {
      ck_assert_int_eq (limit_acquire (upstream.limit), VH_OK);
      limit_release (upstream.limit, job_us, UNITS, i % 4 != 0);
    }
  ck_assert_uint_ge (limit_slots (upstream.limit), SLOTS);
  for (int i = 0; i < LIMIT_CONSECUTIVE_ERRORS; i++)
    {
      ck_assert_int_eq (limit_acquire (upstream.limit), VH_OK);
      limit_release (upstream.limit, 0, UNITS, false);
    }
  ck_assert_uint_eq (limit_slots (upstream.limit), LIMIT_INITIAL_SLOTS);
}
END_TEST

/* Failure: a burst after an idle period is not limited.  While one job runs at
   a time the latency is always at its best; if the limit grew on that, it
   would be far above the capacity when the burst arrives.  */
START_TEST (unused_limit_does_not_grow)
{
  for (int i = 0; i < 100; i++)
    {
      ck_assert_int_eq (limit_acquire (upstream.limit), VH_OK);
      clock_manual_advance_us (upstream.clock, job_us);
      limit_release (upstream.limit, job_us, UNITS, true);
    }
  /* The bound is twice the single slot in use plus one slot.  */
  ck_assert_uint_le (limit_slots (upstream.limit), 3);
}
END_TEST

/* Failure: a new upstream in a half idle pool never takes its share.  The
   balancer keeps the utilization of all upstreams equal, so the new one has a
   single job at a time and its limit would stay at the start value.  */
START_TEST (half_used_limit_grows)
{
  while (limit_slots (upstream.limit) < SLOTS / 2)
    {
      uint32_t n = limit_slots (upstream.limit) / 2 + 1;

      for (uint32_t i = 0; i < n; i++)
        ck_assert_int_eq (limit_acquire (upstream.limit), VH_OK);
      clock_manual_advance_us (upstream.clock, job_us);
      for (uint32_t i = 0; i < n; i++)
        limit_release (upstream.limit, job_us, UNITS, true);
      ck_assert_uint_lt (clock_us (upstream.clock), 60000000);
    }
}
END_TEST

/* Run ROUNDS rounds of N concurrent jobs each, or fewer if the limit is lower.
 */
static void
run_rounds (uint32_t n, int rounds)
{
  for (int i = 0; i < rounds; i++)
    {
      uint32_t acquired = 0;

      while (acquired < n && limit_acquire (upstream.limit) == VH_OK)
        acquired++;
      clock_manual_advance_us (upstream.clock, upstream.unit_us * UNITS);
      for (; acquired > 0; acquired--)
        limit_release (upstream.limit, upstream.unit_us * UNITS, UNITS, true);
    }
}

/* Failure: the limit of a new upstream grows by half slots only.  The upstream
   is cold in its first rounds, so latency rises early and ends slow start.
   Once the upstream is warm the limit must double again, even at half
   utilization.  */
START_TEST (limit_doubles_again_once_warm)
{
  upstream.unit_us = warm_unit_us * 5;
  upstream.slots = 2;
  for (int i = 0; i < 10; i++)
    {
      run_batch (UNITS);
      if (limit_slots (upstream.limit) == LIMIT_INITIAL_SLOTS)
        ck_assert (limit_is_warming_up (upstream.limit));
    }
  ck_assert (limit_slots (upstream.limit) < SLOTS / 2);
  upstream.unit_us = warm_unit_us;
  upstream.slots = SLOTS;
  run_rounds (3, 6);
  ck_assert_uint_ge (limit_slots (upstream.limit), 6);
}
END_TEST

/* After a reset, an upstream that was warm keeps its best latency, so its
   limit may double at half utilization.  An upstream that was just started may
   be cold, so its limit may not.  */
START_TEST (half_use_doubles_only_after_warm_period)
{
  run_rounds (1, 6);
  ck_assert_uint_le (limit_slots (upstream.limit), 3);
  for (int i = 0; i < 10; i++)
    run_batch (UNITS);
  while (limit_acquire (upstream.limit) == VH_OK)
    ;
  while (limit_in_flight (upstream.limit) > 0)
    limit_release (upstream.limit, job_us * 20, UNITS, true);
  ck_assert_uint_eq (limit_slots (upstream.limit), LIMIT_INITIAL_SLOTS);
  ck_assert (limit_is_warming_up (upstream.limit));
  run_rounds (1, 6);
  ck_assert_uint_eq (limit_slots (upstream.limit), 4);
}
END_TEST

/* Failure: the limit doubles before the load affects the engine, because jobs
   of a millisecond end sooner.  */
START_TEST (short_jobs_do_not_double_limit_early)
{
  for (int i = 0; i < 10; i++)
    run_batch (1);
  ck_assert_uint_eq (limit_slots (upstream.limit), LIMIT_INITIAL_SLOTS);
  for (int i = 0; i < 20; i++)
    run_batch (1);
  ck_assert_uint_gt (limit_slots (upstream.limit), LIMIT_INITIAL_SLOTS);
}
END_TEST

/* Failure: an upstream stays at the start value for ever.  The machine is
   throttled and has twice the latency from now on, which is no cold cache and
   must become the new best latency within minutes.  */
START_TEST (lasting_slowdown_is_adopted)
{
  uint64_t start_us;

  for (int i = 0; i < 20; i++)
    run_batch (UNITS);
  upstream.unit_us = warm_unit_us * 2;
  for (int i = 0; i < 20; i++)
    run_batch (UNITS);
  ck_assert_uint_eq (limit_slots (upstream.limit), LIMIT_INITIAL_SLOTS);
  start_us = clock_us (upstream.clock);
  while (limit_slots (upstream.limit) < SLOTS)
    run_batch (UNITS);
  ck_assert_uint_le (clock_us (upstream.clock) - start_us, 600000000);
}
END_TEST

/* Failure: one round of unusual jobs with a low latency resets the limit.  If
   that latency became the best latency at once, all later jobs would look
   slow.  */
START_TEST (one_fast_round_does_not_reset_limit)
{
  for (int i = 0; i < 20; i++)
    run_batch (UNITS);
  upstream.unit_us = warm_unit_us * 6 / 10;
  run_batch (UNITS);
  upstream.unit_us = warm_unit_us;
  for (int i = 0; i < 10; i++)
    run_batch (UNITS);
  ck_assert_uint_ge (limit_slots (upstream.limit), SLOTS * 3 / 4);
}
END_TEST

START_TEST (restart_resets_limit_and_maximum_holds)
{
  limit_config_t config = { .max_slots = 6 };
  limit_t *limit = limit_create (&config, upstream.clock);

  for (int i = 0; i < 20; i++)
    run_batch (UNITS);
  limit_reset (upstream.limit);
  ck_assert_uint_eq (run_batch (UNITS), LIMIT_INITIAL_SLOTS);
  ck_assert (limit_is_warming_up (upstream.limit));
  /* After a restart the best latency is unknown, so a slower engine does not
     count as cold.  */
  limit_reset (upstream.limit);
  upstream.unit_us = warm_unit_us * 5;
  for (int i = 0; i < 4; i++)
    run_batch (UNITS);
  ck_assert_uint_ge (limit_slots (upstream.limit), SLOTS);

  for (int i = 0; i < 40; i++)
    {
      while (limit_acquire (limit) == VH_OK)
        ;
      clock_manual_advance_us (upstream.clock, job_us);
      while (limit_in_flight (limit) > 0)
        limit_release (limit, job_us, UNITS, true);
    }
  ck_assert_uint_eq (limit_slots (limit), 6);
  limit_destroy (limit);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("limit");
  TCase *tcase = tcase_create ("limit");

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_test (tcase, slow_start_doubles_each_round);
  tcase_add_test (tcase, settles_at_rise_of_latency);
  tcase_add_test (tcase, cold_engine_resets_limit_at_once);
  tcase_add_test (tcase, long_jobs_do_not_count_as_slow);
  tcase_add_test (tcase, progress_detects_cold_engine_before_job_ends);
  tcase_add_test (tcase, only_consecutive_errors_reset_limit);
  tcase_add_test (tcase, unused_limit_does_not_grow);
  tcase_add_test (tcase, half_used_limit_grows);
  tcase_add_test (tcase, limit_doubles_again_once_warm);
  tcase_add_test (tcase, half_use_doubles_only_after_warm_period);
  tcase_add_test (tcase, short_jobs_do_not_double_limit_early);
  tcase_add_test (tcase, lasting_slowdown_is_adopted);
  tcase_add_test (tcase, one_fast_round_does_not_reset_limit);
  tcase_add_test (tcase, restart_resets_limit_and_maximum_holds);
  tcase_add_test (tcase, fixed_limit_is_never_warming_up);
  tcase_add_test (tcase, overshoot_happens_only_once);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
