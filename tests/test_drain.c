/* Tests of the planned stop.  */

#include "policy/drain.h"

#include "suite.h"

static clock_iface_t *manual;
static drain_t *drain;

static void
setup (void)
{
  manual = clock_manual_create (0);
  drain = drain_create (1000, 10000, manual);
}

static void
teardown (void)
{
  drain_destroy (drain);
  clock_manual_destroy (manual);
}

static void
pass_ms (uint64_t ms)
{
  clock_manual_advance_us (manual, ms * 1000);
}

START_TEST (goes_through_its_states)
{
  ck_assert_int_eq (drain_update (drain, 0), DRAIN_SERVING);
  ck_assert (drain_is_healthy (drain));
  ck_assert_uint_eq (drain_ms_to_next_state (drain), UINT64_MAX);
  ck_assert (drain_start (drain));
  ck_assert (!drain_is_healthy (drain));
  /* Idle or not, the grace runs: the balancer still sends.  */
  ck_assert_int_eq (drain_update (drain, 0), DRAIN_ANNOUNCED);
  ck_assert (drain_accepts_requests (drain));
  ck_assert_uint_eq (drain_ms_to_next_state (drain), 1000);
  pass_ms (999);
  ck_assert_int_eq (drain_update (drain, 2), DRAIN_ANNOUNCED);
  pass_ms (1);
  ck_assert_int_eq (drain_update (drain, 2), DRAIN_DRAINING);
  ck_assert (!drain_accepts_requests (drain));
  ck_assert_uint_eq (drain_ms_to_next_state (drain), 9000);
  pass_ms (3000);
  ck_assert_int_eq (drain_update (drain, 1), DRAIN_DRAINING);
  ck_assert_int_eq (drain_update (drain, 0), DRAIN_DONE);
  ck_assert_uint_eq (drain_unfinished_at_timeout (drain), 0);
  ck_assert_uint_eq (drain_ms_to_next_state (drain), UINT64_MAX);
}
END_TEST

/* An operator sends the signal again because the process is still there.
   Requests in hand must not be cut for that, nor their time begin anew.  */
START_TEST (second_signal_has_no_effect)
{
  ck_assert (drain_start (drain));
  pass_ms (500);
  ck_assert (!drain_start (drain));
  ck_assert_uint_eq (drain_ms_to_next_state (drain), 500);
  pass_ms (500);
  ck_assert_int_eq (drain_update (drain, 1), DRAIN_DRAINING);
  ck_assert (!drain_start (drain));
  ck_assert_int_eq (drain_update (drain, 1), DRAIN_DRAINING);
  ck_assert_int_eq (drain_update (drain, 0), DRAIN_DONE);
  ck_assert (!drain_start (drain));
  ck_assert_int_eq (drain_update (drain, 0), DRAIN_DONE);
}
END_TEST

/* One answer is never fetched.  The stop ends at its bound and says what it
   cut.  */
START_TEST (bound_ends_it_and_names_what_was_cut)
{
  drain_start (drain);
  pass_ms (1000);
  drain_update (drain, 3);
  pass_ms (8999);
  ck_assert_int_eq (drain_update (drain, 3), DRAIN_DRAINING);
  pass_ms (1);
  ck_assert_int_eq (drain_update (drain, 3), DRAIN_DONE);
  ck_assert_uint_eq (drain_unfinished_at_timeout (drain), 3);
}
END_TEST

START_TEST (bound_below_the_grace)
{
  drain_t *hasty = drain_create (1000, 200, manual);

  drain_start (hasty);
  ck_assert_uint_eq (drain_ms_to_next_state (hasty), 200);
  pass_ms (200);
  ck_assert_int_eq (drain_update (hasty, 1), DRAIN_DONE);
  drain_destroy (hasty);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("drain");
  TCase *tcase = tcase_create ("drain");

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_test (tcase, goes_through_its_states);
  tcase_add_test (tcase, second_signal_has_no_effect);
  tcase_add_test (tcase, bound_ends_it_and_names_what_was_cut);
  tcase_add_test (tcase, bound_below_the_grace);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
