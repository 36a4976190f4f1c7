/* Tests of outlier detection.  */

#include "policy/outlier.h"

#include "suite.h"

enum
{
  POOL_SIZE = 20,
  NORMAL_LATENCY_US = 100000
};

typedef struct
{
  outlier_member_t *member;
  bool is_active;
} upstream_t;

static clock_iface_t *test_clock;
static outlier_t *outlier;
static upstream_t pool[POOL_SIZE];

static void
setup (void)
{
  test_clock = clock_manual_create (0);
  outlier = outlier_create (0, test_clock);
  for (int i = 0; i < POOL_SIZE; i++)
    pool[i] = (upstream_t){ outlier_add_member (outlier, &pool[i]), true };
}

static void
teardown (void)
{
  outlier_destroy (outlier);
  clock_manual_destroy (test_clock);
}

static void
apply_changes (void)
{
  outlier_state_t state;
  upstream_t *upstream;

  while ((upstream = outlier_next_change (outlier, &state)) != NULL)
    upstream->is_active = state != OUTLIER_EJECTED;
}

/* Record one response of each member that is not ejected.  The first FAILING
   members fail, and the next SLOW ones take five times as long.  */
static void
run_round (int failing, int slow)
{
  for (int i = 0; i < POOL_SIZE; i++)
    if (pool[i].is_active)
      outlier_record (
          outlier, pool[i].member, i >= failing,
          i < failing + slow ? NORMAL_LATENCY_US * 5 : NORMAL_LATENCY_US, 10);
  clock_manual_advance_us (test_clock, 50000);
  apply_changes ();
}

/* One upstream rejects every request within a millisecond.  It always has the
   fewest requests in flight and would get most of the traffic, so callers of a
   healthy pool would get errors.  */
START_TEST (failing_fast_is_ejected_after_five)
{
  run_round (0, 0);
  for (int i = 0; i < OUTLIER_CONSECUTIVE_ERRORS; i++)
    {
      ck_assert (pool[0].is_active);
      outlier_record (outlier, pool[0].member, false, 1000, 1);
      apply_changes ();
    }
  ck_assert (!pool[0].is_active);
  ck_assert_uint_eq (outlier_ejected_count (outlier), 1);
}
END_TEST

START_TEST (partial_failure_is_ejected)
{
  for (int round = 0; round < 60; round++)
    {
      run_round (0, 0);
      if (pool[0].is_active)
        outlier_record (outlier, pool[0].member, false, 1000, 1);
    }
  ck_assert (!pool[0].is_active);
  ck_assert_uint_eq (outlier_ejected_count (outlier), 1);
}
END_TEST

/* One upstream in twenty takes five times as long, which delays every
   twentieth request and those queued after it.  */
START_TEST (only_the_slow_member_is_ejected)
{
  for (int round = 0; round < 30; round++)
    run_round (0, 1);
  ck_assert (!pool[0].is_active);
  ck_assert_uint_eq (outlier_ejected_count (outlier), 1);
}
END_TEST

/* Most upstreams of a pool are warming up with a concurrency limit of two, and
   their latency is not recorded.  No member may be ejected for latency then,
   but failures still count.  */
START_TEST (warming_members_are_not_ejected_for_latency)
{
  for (int round = 0; round < 20; round++)
    run_round (0, 0);
  for (int round = 0; round < 60; round++)
    {
      for (int i = 0; i < POOL_SIZE; i++)
        outlier_record (outlier, pool[i].member, true,
                        i < 12 ? 0 : NORMAL_LATENCY_US, 10);
      clock_manual_advance_us (test_clock, 50000);
      apply_changes ();
    }
  ck_assert_uint_eq (outlier_ejected_count (outlier), 0);
  for (int i = 0; i < OUTLIER_CONSECUTIVE_ERRORS; i++)
    outlier_record (outlier, pool[1].member, false, 0, 10);
  apply_changes ();
  ck_assert (!pool[1].is_active);
}
END_TEST

/* An invalid request that many clients send, or a store outage, makes every
   upstream fail.  Ejecting some would overload the others as well.  */
START_TEST (common_failure_ejects_no_member)
{
  for (int round = 0; round < 100; round++)
    run_round (POOL_SIZE, 0);
  ck_assert_uint_eq (outlier_ejected_count (outlier), 0);
}
END_TEST

START_TEST (ejected_share_is_limited)
{
  for (int round = 0; round < 100; round++)
    run_round (9, 0);
  ck_assert_uint_eq (outlier_ejected_count (outlier), POOL_SIZE * 3 / 10);
}
END_TEST

START_TEST (ejections_grow_longer_and_end_in_a_trial)
{
  uint64_t lengths_ms[3];

  for (int i = 0; i < 3; i++)
    {
      uint64_t ejected_ms;

      while (pool[0].is_active)
        run_round (1, 0);
      ejected_ms = clock_ms (test_clock);
      while (!pool[0].is_active)
        run_round (1, 0);
      lengths_ms[i] = clock_ms (test_clock) - ejected_ms;
      ck_assert_int_eq (outlier_state (pool[0].member), OUTLIER_ON_TRIAL);
    }
  ck_assert_uint_ge (lengths_ms[0], OUTLIER_EJECTION_FIRST_MS - 100);
  ck_assert_uint_le (lengths_ms[0], OUTLIER_EJECTION_FIRST_MS
                                        + OUTLIER_EVALUATION_INTERVAL_MS
                                        + 100);
  ck_assert_uint_ge (lengths_ms[1], lengths_ms[0] * 18 / 10);
  ck_assert_uint_ge (lengths_ms[2], lengths_ms[1] * 18 / 10);
  /* On trial a single failure ejects the member.  */
  run_round (1, 0);
  ck_assert (!pool[0].is_active);
  while (!pool[0].is_active)
    run_round (0, 0);
  for (int i = 0; i < OUTLIER_TRIAL_SUCCESSES; i++)
    run_round (0, 0);
  ck_assert_int_eq (outlier_state (pool[0].member), OUTLIER_ACTIVE);
  /* After a long time without ejection the length is reset.  */
  clock_manual_advance_us (test_clock,
                           (uint64_t)OUTLIER_EJECTION_RESET_MS * 1000);
  while (pool[0].is_active)
    run_round (1, 0);
  clock_manual_advance_us (
      test_clock,
      (uint64_t)(OUTLIER_EJECTION_FIRST_MS + OUTLIER_EVALUATION_INTERVAL_MS)
          * 1000);
  apply_changes ();
  ck_assert (pool[0].is_active);
}
END_TEST

START_TEST (pools_of_one_and_two)
{
  outlier_t *detector = outlier_create (0, test_clock);
  outlier_member_t *only = outlier_add_member (detector, &pool[0]);
  outlier_member_t *second;
  outlier_state_t state;

  for (int i = 0; i < 50; i++)
    outlier_record (detector, only, false, 1000, 1);
  clock_manual_advance_us (test_clock, 1000000);
  ck_assert_ptr_null (outlier_next_change (detector, &state));
  second = outlier_add_member (detector, &pool[1]);
  for (int i = 0; i < 50; i++)
    outlier_record (detector, second, true, 1000, 1);
  clock_manual_advance_us (test_clock, 1000000);
  ck_assert_ptr_eq (outlier_next_change (detector, &state), &pool[0]);
  ck_assert_int_eq (state, OUTLIER_EJECTED);
  /* Removing an ejected member allows the ejection of another.  */
  outlier_remove_member (detector, only);
  ck_assert_uint_eq (outlier_ejected_count (detector), 0);
  outlier_destroy (detector);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("outlier");
  TCase *tcase = tcase_create ("outlier");

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_test (tcase, failing_fast_is_ejected_after_five);
  tcase_add_test (tcase, partial_failure_is_ejected);
  tcase_add_test (tcase, only_the_slow_member_is_ejected);
  tcase_add_test (tcase, warming_members_are_not_ejected_for_latency);
  tcase_add_test (tcase, common_failure_ejects_no_member);
  tcase_add_test (tcase, ejected_share_is_limited);
  tcase_add_test (tcase, ejections_grow_longer_and_end_in_a_trial);
  tcase_add_test (tcase, pools_of_one_and_two);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
