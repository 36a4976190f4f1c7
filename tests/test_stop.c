/* Tests of the planned stop of a gateway: which requests it accepts and cuts,
   counted from the signal and not from the moment at which a busy event loop
   handles it.  */

#include "base/stop_signal.h"
#include "gateway/loader.h"
#include "gateway_fixture.h"
#include "suite.h"
#include "virtual_time.h"

#include <signal.h>
#include <stdio.h>

#define REQUEST_HEADERS                                                       \
  "Authorization: Bearer key-1\r\nvanillahook-attempt-id: a1\r\n"

enum
{
  GRACE_MS = 500, /* gateway_options_t.drain_grace_ms of the fixture.  */
  BUSY_MS = 400,
  TIMEOUT_MS = 2000,
  PARSE_MS = 1200,
  /* Longest wait of an idle loop, the interval of its ticks.  */
  WAIT_MAX_MS = 250,
  /* Interval at which a gateway that stops checks its requests, and some
     iterations of the loop.  */
  CHECK_MS = 150
};

static gateway_fixture_t f;
static stop_signal_t *stop_signal;
static size_t stop_count;
static stop_time_t stop_time;
static uv_timer_t busy_timer;
static uv_timer_t sleep_timer;
static uint64_t signal_ms; /* Monotonic time of the signal, in ms.  */

static void
on_stop (void *arg, const stop_time_t *time)
{
  (void)arg;
  stop_count++;
  stop_time = *time;
  gateway_begin_stop (f.gateway, time);
}

/* A callback that takes BUSY_MS, in which the signal arrives.  */
static void
on_busy (uv_timer_t *timer)
{
  (void)timer;
  signal_ms = clock_ms (clock_system ());
  raise (SIGTERM);
  virtual_time_advance_ms (BUSY_MS);
}

static void
setup (void)
{
  virtual_time_setup ();
}

/* Catch the signals to stop from now on.  */
static void
catch_signals (void)
{
  stop_count = 0;
  stop_signal = stop_signal_create (&f.loop, clock_system (), on_stop, NULL);
  uv_timer_init (&f.loop, &busy_timer);
  uv_timer_init (&f.loop, &sleep_timer);
}

static void
start_gateway (void)
{
  gateway_fixture_setup (&f, 1);
  f.drain_timeout_ms = TIMEOUT_MS;
  gateway_destroy (f.gateway);
  f.gateway = gateway_fixture_start_gateway (&f, "gateway-1", 1);
  gateway_fixture_wait (&f, gateway_fixture_ready_status (&f) == 200);
  catch_signals ();
}

static void
teardown_real_time (void)
{
  stop_signal_destroy (stop_signal);
  uv_close ((uv_handle_t *)&busy_timer, NULL);
  uv_close ((uv_handle_t *)&sleep_timer, NULL);
  gateway_fixture_teardown (&f);
}

static void
teardown (void)
{
  teardown_real_time ();
  virtual_time_teardown ();
}

/* Let the signal arrive while a callback keeps the loop busy.  */
static void
stop_while_busy (void)
{
  uv_timer_start (&busy_timer, on_busy, 0, 0);
  gateway_fixture_wait (&f, stop_count == 1);
}

static void
on_sleep_end (uv_timer_t *timer)
{
  *(bool *)timer->data = true;
}

static void
run_until (uint64_t time_ms)
{
  bool is_over = false;

  sleep_timer.data = &is_over;
  uv_update_time (&f.loop);
  uv_timer_start (&sleep_timer, on_sleep_end, time_ms - uv_now (&f.loop), 0);
  gateway_fixture_wait (&f, is_over);
}

static int
request_status (void)
{
  caller_t caller;

  gateway_fixture_request (&f, &caller, "GET", "/read/", REQUEST_HEADERS, "");
  int status = caller_status (&caller);
  caller_free (&f, &caller);
  return status;
}

/* Requests that arrive later than the grace after the signal must not be
   accepted, and those before must be, though the loop was busy.  */
START_TEST (busy_loop_accepts_no_late_request)
{
  start_gateway ();
  stop_while_busy ();
  run_until (signal_ms + GRACE_MS - 50);
  ck_assert_int_eq (request_status (), 200);
  run_until (signal_ms + GRACE_MS + 1);
  ck_assert_int_eq (request_status (), 503);
  ck_assert_uint_eq (fake_upstream_request_count (f.upstreams[0]), 1);
}
END_TEST

/* The time until the platform kills the process counts from the signal: a
   request must be aborted before, though the loop was busy.  */
START_TEST (busy_loop_cuts_no_later)
{
  static const fake_action_t stall[] = { ACT_STREAM_STALL };
  caller_t stream;

  start_gateway ();
  fake_upstream_script (f.upstreams[0], stall, 1);
  caller_start (&f, &stream, "POST", "/chat/", REQUEST_HEADERS, "{}");
  gateway_fixture_wait (&f, fake_upstream_request_count (f.upstreams[0]) == 1);
  stop_while_busy ();
  gateway_fixture_wait (&f, gateway_is_stopped (f.gateway));
  uint64_t stopped_ms = clock_ms (clock_system ());
  ck_assert_uint_ge (stopped_ms, signal_ms + TIMEOUT_MS);
  ck_assert_uint_le (stopped_ms, signal_ms + TIMEOUT_MS + CHECK_MS);
  caller_free (&f, &stream);
}
END_TEST

/* A process without processor time is delivered the signal late.  It may have
   been sent since the last wait for events, and requests are accepted for the
   grace from then on.  */
START_TEST (late_delivery_accepts_no_late_request)
{
  start_gateway ();
  const uint64_t sent_ms = clock_ms (clock_system ());
  virtual_time_advance_ms (BUSY_MS);
  raise (SIGTERM);
  gateway_fixture_wait (&f, stop_count == 1);
  ck_assert_uint_le (stop_time.earliest_ms, sent_ms);
  ck_assert_uint_ge (stop_time.delivered_ms, sent_ms + BUSY_MS);
  run_until (sent_ms + GRACE_MS + 1);
  ck_assert_int_eq (request_status (), 503);
}
END_TEST

/* The wait of an idle loop shortens the grace by no more than its length.  */
START_TEST (idle_loop_keeps_grace)
{
  start_gateway ();
  for (uint64_t i = 0; i < 10; i++)
    run_until (clock_ms (clock_system ()) + 37);
  signal_ms = clock_ms (clock_system ());
  raise (SIGTERM);
  gateway_fixture_wait (&f, stop_count == 1);
  ck_assert_uint_eq (stop_time.delivered_ms, signal_ms);
  ck_assert_uint_ge (stop_time.earliest_ms + WAIT_MAX_MS, signal_ms);
  run_until (signal_ms + GRACE_MS - WAIT_MAX_MS - 1);
  ck_assert_int_eq (request_status (), 200);
}
END_TEST

/* An operator who signals again must change nothing, whichever signals are
   used and however they are spread.  */
START_TEST (further_signals_have_no_effect)
{
  start_gateway ();
  signal_ms = clock_ms (clock_system ());
  raise (SIGTERM);
  raise (SIGTERM);
  raise (SIGINT);
  gateway_fixture_wait (&f, stop_count == 1);
  stop_time_t first = stop_time;
  run_until (signal_ms + GRACE_MS - 100);
  raise (SIGTERM);
  ck_assert_int_eq (request_status (), 200);
  run_until (signal_ms + GRACE_MS + 1);
  raise (SIGINT);
  ck_assert_int_eq (request_status (), 503);
  gateway_fixture_wait (&f, gateway_is_stopped (f.gateway));
  ck_assert_uint_eq (stop_count, 1);
  ck_assert_uint_eq (stop_time.delivered_ms, first.delivered_ms);
}
END_TEST

static void
on_reload (uv_signal_t *handle, int signal_number)
{
  (void)signal_number;
  (*(size_t *)handle->data)++;
}

/* An operator asks for the settings to be read again, and the platform for the
   stop, at the same moment.  Neither signal may be lost.  */
START_TEST (reload_and_stop_together)
{
  uv_signal_t reload_signal;
  size_t reload_count = 0;

  start_gateway ();
  uv_signal_init (&f.loop, &reload_signal);
  reload_signal.data = &reload_count;
  uv_signal_start (&reload_signal, on_reload, SIGHUP);
  raise (SIGHUP);
  raise (SIGTERM);
  gateway_fixture_wait (&f, stop_count == 1 && reload_count == 1);
  raise (SIGHUP);
  gateway_fixture_wait (&f, reload_count == 2);
  ck_assert_uint_eq (stop_count, 1);
  uv_close ((uv_handle_t *)&reload_signal, NULL);
  gateway_fixture_wait (&f, gateway_is_stopped (f.gateway));
}
END_TEST

/* A signal that arrives before the loop runs must not be lost.  */
START_TEST (signal_before_the_loop_runs)
{
  gateway_fixture_setup_upstreams (&f, 1);
  f.drain_timeout_ms = TIMEOUT_MS;
  catch_signals ();
  raise (SIGTERM);
  f.gateway = gateway_fixture_start_gateway (&f, "gateway-1", 1);
  gateway_fixture_wait (&f, gateway_is_stopped (f.gateway));
  ck_assert_uint_eq (stop_count, 1);
}
END_TEST

/* Start a gateway whose store does not reply, and send the signal while the
   request of CALLER waits for the first read.  */
static void
stop_with_waiting_request (caller_t *caller)
{
  gateway_fixture_setup_without_store (&f, 1);
  catch_signals ();
  caller_start (&f, caller, "GET", "/read/", REQUEST_HEADERS, "");
  run_until (clock_ms (clock_system ()) + 50);
  raise (SIGTERM);
}

/* The store does not reply when the process starts and is stopped.  A request
   that waits for the first read must be refused as not run, and the stop must
   end by itself.  */
START_TEST (stop_during_first_read)
{
  caller_t caller;

  stop_with_waiting_request (&caller);
  gateway_fixture_wait (&f, caller.closed);
  ck_assert_int_eq (caller_status (&caller), 503);
  ck_assert (caller_response_contains (&caller, "not-run"));
  caller_free (&f, &caller);
  gateway_fixture_wait (&f, gateway_is_stopped (f.gateway));
}
END_TEST

/* A request that arrived before the signal and waited for the first read must
   be served, not refused as one that came after the grace.  */
START_TEST (request_that_waited_is_served)
{
  caller_t caller;

  stop_with_waiting_request (&caller);
  gateway_fixture_wait (&f, stop_count == 1);
  fake_rows_set_down (f.rows, false);
  gateway_fixture_wait (&f, caller.closed);
  ck_assert_int_eq (caller_status (&caller), 200);
  caller_free (&f, &caller);
}
END_TEST

/* A gateway that accepts no requests any more parses no configuration.  It
   must not refuse a request by the one in force, which may be an old one.  */
START_TEST (stopped_gateway_reads_no_configuration)
{
  caller_t caller;

  start_gateway ();
  signal_ms = clock_ms (clock_system ());
  raise (SIGTERM);
  run_until (signal_ms + GRACE_MS + 1);
  fake_rows_put (f.rows, ROWS_OPERATOR, "catalog", "2 key-2");
  run_until (signal_ms + GRACE_MS + 100);
  ck_assert_int_eq (
      (int)gateway_fixture_metric (&f, "vanillahook_gateway_revision"), 1);
  gateway_fixture_request (&f, &caller, "GET", "/read/",
                           "Authorization: Bearer key-2\r\n"
                           "vanillahook-attempt-id: a1\r\n",
                           "");
  ck_assert_int_eq (caller_status (&caller), 503);
  ck_assert (caller_response_contains (&caller, "not-run"));
  caller_free (&f, &caller);
}
END_TEST

/* Start a gateway whose first configuration takes PARSE_MS of real time to
   parse.  */
static void
start_gateway_with_long_text (void)
{
  static char text[LOADER_ASYNC_BYTES_MIN + 32];

  snprintf (text, sizeof text, "%-*s", (int)sizeof text - 1, "2 key-1");
  gateway_fixture_parse_ms = PARSE_MS;
  gateway_fixture_setup_upstreams (&f, 1);
  fake_rows_put (f.rows, ROWS_OPERATOR, "catalog", text);
  catch_signals ();
  f.gateway = gateway_fixture_start_gateway (&f, "gateway-1", 1);
}

static bool
is_parsing (void)
{
  return gateway_fixture_metric (
             &f, "vanillahook_gateway_revision_reading_seconds")
         > 0;
}

/* While the first configuration is parsed, the loop must handle a signal and
   readiness checks, and requests that arrived must wait and be served.  */
START_TEST (signal_is_handled_while_first_text_is_parsed)
{
  caller_t caller;

  start_gateway_with_long_text ();
  caller_start (&f, &caller, "GET", "/read/", REQUEST_HEADERS, "");
  gateway_fixture_wait (&f, is_parsing ());
  ck_assert_int_eq (gateway_fixture_ready_status (&f), 503);
  raise (SIGTERM);
  gateway_fixture_wait (&f, stop_count == 1);
  ck_assert (is_parsing ());
  ck_assert (!caller.closed);
  gateway_fixture_wait (&f, caller.closed);
  ck_assert_int_eq (caller_status (&caller), 200);
  caller_free (&f, &caller);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("stop");
  TCase *tcase = tcase_create ("stop");
  TCase *threads = tcase_create ("stop beside the thread pool");

  signal (SIGPIPE, SIG_IGN);
  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_test (tcase, busy_loop_accepts_no_late_request);
  tcase_add_test (tcase, busy_loop_cuts_no_later);
  tcase_add_test (tcase, late_delivery_accepts_no_late_request);
  tcase_add_test (tcase, idle_loop_keeps_grace);
  tcase_add_test (tcase, further_signals_have_no_effect);
  tcase_add_test (tcase, reload_and_stop_together);
  tcase_add_test (tcase, signal_before_the_loop_runs);
  tcase_add_test (tcase, stop_during_first_read);
  tcase_add_test (tcase, request_that_waited_is_served);
  tcase_add_test (tcase, stopped_gateway_reads_no_configuration);
  suite_add_tcase (suite, tcase);
  tcase_add_checked_fixture (threads, NULL, teardown_real_time);
  tcase_add_test (threads, signal_is_handled_while_first_text_is_parsed);
  suite_add_tcase (suite, threads);
  return suite_run (suite);
}
