/* Tests of ejection.  */

#include "policy/outlier.h"

#include "suite.h"

enum
{
  POOL = 20,
  GOOD_US = 100000
};

typedef struct
{
  outlier_member_t *member;
  bool in;
} upstream_t;

static clock_iface_t *manual;
static outlier_t *outlier;
static upstream_t pool[POOL];

static void
setup (void)
{
  manual = clock_manual_create (0);
  outlier = outlier_create (0, manual);
  for (int i = 0; i < POOL; i++)
    pool[i] = (upstream_t){ outlier_add_member (outlier, &pool[i]), true };
}

static void
teardown (void)
{
  outlier_destroy (outlier);
  clock_manual_destroy (manual);
}

static void
apply_changes (void)
{
  outlier_state_t state;
  upstream_t *upstream;

  while ((upstream = outlier_next_change (outlier, &state)) != NULL)
    upstream->in = state != OUTLIER_EJECTED;
}

/* One answer of each member that is in; BAD of them fail, SLOW ones take five
   times as long.  */
static void
run_round (int bad, int slow)
{
  for (int i = 0; i < POOL; i++)
    if (pool[i].in)
      outlier_record (outlier, pool[i].member, i >= bad,
                      i < bad + slow ? GOOD_US * 5 : GOOD_US, 10);
  clock_manual_advance_us (manual, 50000);
  apply_changes ();
}

/* One upstream refuses every request within a millisecond.  Always idle, it
   would draw most of the traffic, and callers would see errors from a pool
   that is otherwise well.  */
START_TEST (failing_fast_is_out_after_five)
{
  run_round (0, 0);
  for (int i = 0; i < OUTLIER_CONSECUTIVE_ERRORS; i++)
    {
      ck_assert (pool[0].in);
      outlier_record (outlier, pool[0].member, false, 1000, 1);
      apply_changes ();
    }
  ck_assert (!pool[0].in);
  ck_assert_uint_eq (outlier_ejected_count (outlier), 1);
}
END_TEST

START_TEST (failing_in_part_is_out)
{
  for (int round = 0; round < 60; round++)
    {
      run_round (0, 0);
      if (pool[0].in)
        outlier_record (outlier, pool[0].member, false, 1000, 1);
    }
  ck_assert (!pool[0].in);
  ck_assert_uint_eq (outlier_ejected_count (outlier), 1);
}
END_TEST

/* One upstream in twenty takes five times as long: every twentieth caller
   waits, and those behind it too.  */
START_TEST (slow_one_is_out_and_no_other)
{
  for (int round = 0; round < 30; round++)
    run_round (0, 1);
  ck_assert (!pool[0].in);
  ck_assert_uint_eq (outlier_ejected_count (outlier), 1);
}
END_TEST

/* Most of a pool warms up, held to two jobs each by its limit, and nothing is
   said of its speed.  Nobody may be measured against that, and failures count
   all the same.  */
START_TEST (warming_ones_are_not_judged_by_speed)
{
  for (int round = 0; round < 20; round++)
    run_round (0, 0);
  for (int round = 0; round < 60; round++)
    {
      for (int i = 0; i < POOL; i++)
        outlier_record (outlier, pool[i].member, true, i < 12 ? 0 : GOOD_US,
                        10);
      clock_manual_advance_us (manual, 50000);
      apply_changes ();
    }
  ck_assert_uint_eq (outlier_ejected_count (outlier), 0);
  for (int i = 0; i < OUTLIER_CONSECUTIVE_ERRORS; i++)
    outlier_record (outlier, pool[1].member, false, 0, 10);
  apply_changes ();
  ck_assert (!pool[1].in);
}
END_TEST

/* A bad request, sent by many, or a store that is down makes every upstream
   fail.  Ejecting any would only add overload to it.  */
START_TEST (common_failure_ejects_nobody)
{
  for (int round = 0; round < 100; round++)
    run_round (POOL, 0);
  ck_assert_uint_eq (outlier_ejected_count (outlier), 0);
}
END_TEST

START_TEST (ejects_no_more_than_its_share)
{
  for (int round = 0; round < 100; round++)
    run_round (9, 0);
  ck_assert_uint_eq (outlier_ejected_count (outlier), POOL * 3 / 10);
}
END_TEST

START_TEST (returns_on_trial_for_longer_and_longer)
{
  uint64_t lengths_ms[3];

  for (int i = 0; i < 3; i++)
    {
      uint64_t out_ms;

      while (pool[0].in)
        run_round (1, 0);
      out_ms = clock_ms (manual);
      while (!pool[0].in)
        run_round (1, 0);
      lengths_ms[i] = clock_ms (manual) - out_ms;
      ck_assert_int_eq (outlier_state (pool[0].member), OUTLIER_TRIAL);
    }
  ck_assert_uint_ge (lengths_ms[0], OUTLIER_EJECTION_FIRST_MS - 100);
  ck_assert_uint_le (lengths_ms[0], OUTLIER_EJECTION_FIRST_MS
                                        + OUTLIER_EVALUATION_INTERVAL_MS
                                        + 100);
  ck_assert_uint_ge (lengths_ms[1], lengths_ms[0] * 18 / 10);
  ck_assert_uint_ge (lengths_ms[2], lengths_ms[1] * 18 / 10);
  /* On trial a single failure is enough.  */
  run_round (1, 0);
  ck_assert (!pool[0].in);
  while (!pool[0].in)
    run_round (0, 0);
  for (int i = 0; i < OUTLIER_TRIAL_SUCCESSES; i++)
    run_round (0, 0);
  ck_assert_int_eq (outlier_state (pool[0].member), OUTLIER_ACTIVE);
  /* A member that was well for long starts afresh.  */
  clock_manual_advance_us (manual, (uint64_t)OUTLIER_EJECTION_RESET_MS * 1000);
  while (pool[0].in)
    run_round (1, 0);
  clock_manual_advance_us (manual, (uint64_t)(OUTLIER_EJECTION_FIRST_MS
                                              + OUTLIER_EVALUATION_INTERVAL_MS)
                                       * 1000);
  apply_changes ();
  ck_assert (pool[0].in);
}
END_TEST

START_TEST (small_pools)
{
  outlier_t *one = outlier_create (0, manual);
  outlier_member_t *only = outlier_add_member (one, &pool[0]);
  outlier_member_t *second;
  outlier_state_t state;

  for (int i = 0; i < 50; i++)
    outlier_record (one, only, false, 1000, 1);
  clock_manual_advance_us (manual, 1000000);
  ck_assert_ptr_null (outlier_next_change (one, &state));
  second = outlier_add_member (one, &pool[1]);
  for (int i = 0; i < 50; i++)
    outlier_record (one, second, true, 1000, 1);
  clock_manual_advance_us (manual, 1000000);
  ck_assert_ptr_eq (outlier_next_change (one, &state), &pool[0]);
  ck_assert_int_eq (state, OUTLIER_EJECTED);
  /* Leaving while ejected frees the room for another.  */
  outlier_remove_member (one, only);
  ck_assert_uint_eq (outlier_ejected_count (one), 0);
  outlier_destroy (one);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("outlier");
  TCase *tcase = tcase_create ("outlier");

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_test (tcase, failing_fast_is_out_after_five);
  tcase_add_test (tcase, failing_in_part_is_out);
  tcase_add_test (tcase, slow_one_is_out_and_no_other);
  tcase_add_test (tcase, warming_ones_are_not_judged_by_speed);
  tcase_add_test (tcase, common_failure_ejects_nobody);
  tcase_add_test (tcase, ejects_no_more_than_its_share);
  tcase_add_test (tcase, returns_on_trial_for_longer_and_longer);
  tcase_add_test (tcase, small_pools);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
