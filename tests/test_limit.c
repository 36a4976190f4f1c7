/* Tests of the concurrency limit.  The upstream is a formula: a job of UNITS
   takes UNITS * unit_us while no more than SLOTS run, and longer in proportion
   beyond that.  */

#include "policy/limit.h"

#include "suite.h"

enum
{
  SLOTS = 16,
  UNITS = 100
};

static const uint64_t warm_unit_us = 1000;
/* What a job of UNITS takes on an upstream that is not full.  */
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

/* Send as many jobs of UNITS as the limit lets through, let them all end, and
   return how many there were.  */
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

START_TEST (starts_low_and_doubles)
{
  static const uint32_t expected[] = { 2, 4, 8, 16 };

  for (size_t i = 0; i < sizeof expected / sizeof expected[0]; i++)
    ck_assert_uint_eq (run_batch (UNITS), expected[i]);
}
END_TEST

START_TEST (settles_where_latency_rises)
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

/* An engine carries four jobs and slows with the square of what is beyond.
   Slow start doubles from four to eight, which reads as coldness, and falls
   back; doing so again and again, the upstream would run at half of what it
   carries and every eighth job would take four times as long.  */
START_TEST (overshoot_is_not_repeated)
{
  enum
  {
    CARRIED = 4,
    ROUNDS = 60
  };
  int falls = 0;

  upstream.slots = 0;
  for (int i = 0; i < ROUNDS; i++)
    {
      uint32_t slots = limit_slots (upstream.limit);
      uint64_t excess = slots > CARRIED ? slots : CARRIED;

      upstream.unit_us = warm_unit_us * excess * excess / (CARRIED * CARRIED);
      run_batch (UNITS);
      if (slots > LIMIT_INITIAL_SLOTS
          && limit_slots (upstream.limit) == (uint32_t)LIMIT_INITIAL_SLOTS)
        falls++;
    }
  ck_assert_int_eq (falls, 1);
  ck_assert_uint_ge (limit_slots (upstream.limit), CARRIED - 1);
}
END_TEST

/* An operator gives an upstream a fixed number of slots.  Taken for one that
   is held low, it would never be judged by its latency, and a slow one would
   never be ejected.  */
START_TEST (a_fixed_limit_never_warms)
{
  const limit_config_t fixed = { .start = 4, .max = 4 };

  limit_destroy (upstream.limit);
  upstream.limit = limit_create (&fixed, upstream.clock);
  ck_assert (!limit_is_warming_up (upstream.limit));
  run_batch (UNITS);
  ck_assert (!limit_is_warming_up (upstream.limit));
  ck_assert_uint_eq (limit_slots (upstream.limit), 4);
}
END_TEST

/* A warm upstream loses its cache and carries two jobs where it carried
   sixteen.  Callers would see a wave of time-outs if the full batch went on.
   The limit must be back at the start after three slow samples, not at the end
   of the round, and full again a few rounds after the engine is.  */
START_TEST (falls_back_at_once_when_cold)
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

  /* Still cold: it stays low however long that takes.  */
  upstream.unit_us = warm_unit_us * 4;
  for (int i = 0; i < 30; i++)
    ck_assert_uint_eq (run_batch (UNITS), LIMIT_INITIAL_SLOTS);
  upstream.unit_us = warm_unit_us;
  for (int i = 0; i < 4; i++)
    run_batch (UNITS);
  ck_assert_uint_ge (limit_slots (upstream.limit), SLOTS);
}
END_TEST

/* Drafts of minutes and questions of a second share an upstream.  If latency
   were not taken by cost, the first draft after some questions would look
   like a cold turn, and callers would be refused by an idle upstream.  */
START_TEST (long_jobs_are_no_slowness)
{
  for (int i = 0; i < 20; i++)
    run_batch (i % 3 == 2 ? UNITS * 50 : UNITS);
  ck_assert_uint_ge (limit_slots (upstream.limit), SLOTS);
}
END_TEST

START_TEST (progress_shows_coldness_before_the_end)
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

START_TEST (errors_in_a_row_fall_back_single_ones_do_not)
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

/* At night one job at a time runs, always at its best.  Were the limit to
   grow on that, the morning's first burst would meet no limit at all.  */
START_TEST (does_not_grow_unused)
{
  for (int i = 0; i < 100; i++)
    {
      ck_assert_int_eq (limit_acquire (upstream.limit), VH_OK);
      clock_manual_advance_us (upstream.clock, job_us);
      limit_release (upstream.limit, job_us, UNITS, true);
    }
  /* Twice what is in use, and a step.  */
  ck_assert_uint_le (limit_slots (upstream.limit), 3);
}
END_TEST

/* A new upstream in a half idle pool has one job at a time, as balance uses
   all equally.  Left at its start it would never take its part.  */
START_TEST (grows_when_half_used)
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

/* Run ROUNDS with N jobs in flight, or what the limit allows.  */
static void
run_few (uint32_t n, int rounds)
{
  for (int i = 0; i < rounds; i++)
    {
      uint32_t taken = 0;

      while (taken < n && limit_acquire (upstream.limit) == VH_OK)
        taken++;
      clock_manual_advance_us (upstream.clock, upstream.unit_us * UNITS);
      for (; taken > 0; taken--)
        limit_release (upstream.limit, upstream.unit_us * UNITS, UNITS, true);
    }
}

/* A new upstream is cold for its first rounds, and its limit meets the rise of
   a cold engine.  Once it is warm it must double again, also when only half
   used; without that it would crawl up by half slots.  */
START_TEST (doubles_again_when_warm)
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
  run_few (3, 6);
  ck_assert_uint_ge (limit_slots (upstream.limit), 6);
}
END_TEST

/* An upstream that was warm starts its limit anew with the best it knows, so
   it may double when half used; one just started may not, as it could be
   cold.  */
START_TEST (half_use_doubles_only_what_was_warm)
{
  run_few (1, 6);
  ck_assert_uint_le (limit_slots (upstream.limit), 3);
  for (int i = 0; i < 10; i++)
    run_batch (UNITS);
  while (limit_acquire (upstream.limit) == VH_OK)
    ;
  while (limit_in_flight (upstream.limit) > 0)
    limit_release (upstream.limit, job_us * 20, UNITS, true);
  ck_assert_uint_eq (limit_slots (upstream.limit), LIMIT_INITIAL_SLOTS);
  ck_assert (limit_is_warming_up (upstream.limit));
  run_few (1, 6);
  ck_assert_uint_eq (limit_slots (upstream.limit), 4);
}
END_TEST

/* Jobs of a millisecond end before the engine feels what is sent to it.  */
START_TEST (short_jobs_do_not_rush_it)
{
  for (int i = 0; i < 10; i++)
    run_batch (1);
  ck_assert_uint_eq (limit_slots (upstream.limit), LIMIT_INITIAL_SLOTS);
  for (int i = 0; i < 20; i++)
    run_batch (1);
  ck_assert_uint_gt (limit_slots (upstream.limit), LIMIT_INITIAL_SLOTS);
}
END_TEST

/* A machine is throttled for good: twice the latency from now on.  That is
   not coldness, and must be learned, if only in minutes.  */
START_TEST (lasting_change_is_learned)
{
  uint64_t begin_us;

  for (int i = 0; i < 20; i++)
    run_batch (UNITS);
  upstream.unit_us = warm_unit_us * 2;
  for (int i = 0; i < 20; i++)
    run_batch (UNITS);
  ck_assert_uint_eq (limit_slots (upstream.limit), LIMIT_INITIAL_SLOTS);
  begin_us = clock_us (upstream.clock);
  while (limit_slots (upstream.limit) < SLOTS)
    run_batch (UNITS);
  ck_assert_uint_le (clock_us (upstream.clock) - begin_us, 600000000);
}
END_TEST

/* One round of odd jobs answers at a third of the usual time.  Taken for the
   new measure at once, all that follows would look slow, and the limit fall
   to its start.  */
START_TEST (one_odd_round_is_no_measure)
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

START_TEST (restart_forgets_and_bound_holds)
{
  limit_config_t config = { .max = 6 };
  limit_t *limit = limit_create (&config, upstream.clock);

  for (int i = 0; i < 20; i++)
    run_batch (UNITS);
  limit_reset (upstream.limit);
  ck_assert_uint_eq (run_batch (UNITS), LIMIT_INITIAL_SLOTS);
  ck_assert (limit_is_warming_up (upstream.limit));
  /* What was started is slower by nature; that is no coldness.  */
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
  tcase_add_test (tcase, starts_low_and_doubles);
  tcase_add_test (tcase, settles_where_latency_rises);
  tcase_add_test (tcase, falls_back_at_once_when_cold);
  tcase_add_test (tcase, long_jobs_are_no_slowness);
  tcase_add_test (tcase, progress_shows_coldness_before_the_end);
  tcase_add_test (tcase, errors_in_a_row_fall_back_single_ones_do_not);
  tcase_add_test (tcase, does_not_grow_unused);
  tcase_add_test (tcase, grows_when_half_used);
  tcase_add_test (tcase, doubles_again_when_warm);
  tcase_add_test (tcase, half_use_doubles_only_what_was_warm);
  tcase_add_test (tcase, short_jobs_do_not_rush_it);
  tcase_add_test (tcase, lasting_change_is_learned);
  tcase_add_test (tcase, one_odd_round_is_no_measure);
  tcase_add_test (tcase, restart_forgets_and_bound_holds);
  tcase_add_test (tcase, a_fixed_limit_never_warms);
  tcase_add_test (tcase, overshoot_is_not_repeated);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
