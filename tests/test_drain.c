/* Tests of graceful shutdown.  */

#include "policy/drain.h"

#include "suite.h"

static clock_iface_t *test_clock;
static drain_t *drain;

static void
setup (void)
{
  test_clock = clock_manual_create (0);
  drain = drain_create (1000, 10000, test_clock);
}

static void
teardown (void)
{
  drain_destroy (drain);
  clock_manual_destroy (test_clock);
}

/* Start DRAINED with a signal that is sent and delivered now.  */
static bool
start_now (drain_t *drained)
{
  const stop_time_t now = stop_time_now (test_clock);

  return drain_start (drained, &now);
}

static void
advance_ms (uint64_t ms)
{
  clock_manual_advance_us (test_clock, ms * 1000);
}

START_TEST (shutdown_passes_all_states)
{
  ck_assert_int_eq (drain_update (drain, 0), DRAIN_SERVING);
  ck_assert (drain_is_healthy (drain));
  ck_assert_uint_eq (drain_ms_to_next_state (drain), UINT64_MAX);
  ck_assert (start_now (drain));
  ck_assert (!drain_is_healthy (drain));
  /* The announced state applies to an idle process too, because the load
     balancer still sends requests.  */
  ck_assert_int_eq (drain_update (drain, 0), DRAIN_ANNOUNCED);
  ck_assert (drain_accepts_requests (drain));
  ck_assert_uint_eq (drain_ms_to_next_state (drain), 1000);
  advance_ms (999);
  ck_assert_int_eq (drain_update (drain, 2), DRAIN_ANNOUNCED);
  advance_ms (1);
  ck_assert_int_eq (drain_update (drain, 2), DRAIN_DRAINING);
  ck_assert (!drain_accepts_requests (drain));
  ck_assert_uint_eq (drain_ms_to_next_state (drain), 9000);
  advance_ms (3000);
  ck_assert_int_eq (drain_update (drain, 1), DRAIN_DRAINING);
  ck_assert_int_eq (drain_update (drain, 0), DRAIN_DONE);
  ck_assert_uint_eq (drain_unfinished_at_timeout (drain), 0);
  ck_assert_uint_eq (drain_ms_to_next_state (drain), UINT64_MAX);
}
END_TEST

/* An operator sends the signal again because the process is still running.
   This must neither abort the requests in flight nor restart the timeouts.  */
START_TEST (second_signal_has_no_effect)
{
  ck_assert (start_now (drain));
  advance_ms (500);
  ck_assert (!start_now (drain));
  ck_assert_uint_eq (drain_ms_to_next_state (drain), 500);
  advance_ms (500);
  ck_assert_int_eq (drain_update (drain, 1), DRAIN_DRAINING);
  ck_assert (!start_now (drain));
  ck_assert_int_eq (drain_update (drain, 1), DRAIN_DRAINING);
  ck_assert_int_eq (drain_update (drain, 0), DRAIN_DONE);
  ck_assert (!start_now (drain));
  ck_assert_int_eq (drain_update (drain, 0), DRAIN_DONE);
}
END_TEST

/* Responses that are never fetched delay the shutdown until its timeout, after
   which it reports how many requests were unfinished.  */
START_TEST (timeout_ends_the_shutdown_and_counts_unfinished)
{
  start_now (drain);
  advance_ms (1000);
  drain_update (drain, 3);
  advance_ms (8999);
  ck_assert_int_eq (drain_update (drain, 3), DRAIN_DRAINING);
  advance_ms (1);
  ck_assert_int_eq (drain_update (drain, 3), DRAIN_DONE);
  ck_assert_uint_eq (drain_unfinished_at_timeout (drain), 3);
}
END_TEST

START_TEST (timeout_shorter_than_the_announced_state)
{
  drain_t *short_drain = drain_create (1000, 200, test_clock);

  start_now (short_drain);
  ck_assert_uint_eq (drain_ms_to_next_state (short_drain), 200);
  advance_ms (200);
  ck_assert_int_eq (drain_update (short_drain, 1), DRAIN_DONE);
  drain_destroy (short_drain);
}
END_TEST

/* A signal is noticed late by a busy process, and is delivered late as well.
   Requests must not be accepted for longer after it was sent, nor the shutdown
   last longer after its delivery.  */
START_TEST (late_notice_makes_no_later_shutdown)
{
  stop_time_t time = stop_time_now (test_clock);

  advance_ms (300);
  time.delivered_ms = clock_ms (test_clock);
  advance_ms (600);
  ck_assert (drain_start (drain, &time));
  ck_assert_int_eq (drain_update (drain, 1), DRAIN_ANNOUNCED);
  ck_assert_uint_eq (drain_ms_to_next_state (drain), 100);
  advance_ms (100);
  ck_assert_int_eq (drain_update (drain, 1), DRAIN_DRAINING);
  ck_assert_uint_eq (drain_ms_to_next_state (drain), 9300);
  advance_ms (9300);
  ck_assert_int_eq (drain_update (drain, 1), DRAIN_DONE);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("drain");
  TCase *tcase = tcase_create ("drain");

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_test (tcase, shutdown_passes_all_states);
  tcase_add_test (tcase, second_signal_has_no_effect);
  tcase_add_test (tcase, timeout_ends_the_shutdown_and_counts_unfinished);
  tcase_add_test (tcase, timeout_shorter_than_the_announced_state);
  tcase_add_test (tcase, late_notice_makes_no_later_shutdown);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
