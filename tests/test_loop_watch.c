/* Tests of the measurement of event loop iterations.  */

#include "base/eventlog.h"
#include "base/loop_watch.h"
#include "suite.h"
#include "virtual_time.h"

#include <string.h>
#include <unistd.h>

enum
{
  SHORT_MS = 5,
  LONG_MS = 2 * LOOP_WATCH_BOUND_MS
};

typedef struct
{
  uv_loop_t loop;
  metrics_t *metrics;
  histogram_t *histogram;
  loop_watch_t *watch;
  uv_timer_t timer;
  uint64_t work_ms;
} fixture_t;

static fixture_t f;

/* A callback that keeps the loop busy, first with marked work.  */
static void
on_timer (uv_timer_t *timer)
{
  loop_work_t outer = loop_work_begin (LOOP_WORK_CONFIG);

  (void)timer;
  virtual_time_advance_ms (f.work_ms / 2);
  loop_work_t config = loop_work_begin (LOOP_WORK_ROWS);
  loop_work_end (config);
  virtual_time_advance_ms (f.work_ms - f.work_ms / 2);
  loop_work_end (outer);
}

static void
setup (void)
{
  virtual_time_setup ();
  uv_loop_init (&f.loop);
  f.metrics = metrics_create ();
  f.histogram = metrics_histogram (f.metrics, "busy", "", "");
  f.watch = loop_watch_create (&f.loop, f.histogram);
  uv_timer_init (&f.loop, &f.timer);
}

static void
teardown (void)
{
  loop_watch_destroy (f.watch);
  uv_close ((uv_handle_t *)&f.timer, NULL);
  uv_run (&f.loop, UV_RUN_DEFAULT);
  ck_assert_int_eq (uv_loop_close (&f.loop), 0);
  metrics_destroy (f.metrics);
  virtual_time_teardown ();
}

/* Run a callback that takes MS, after a wait of a second.  */
static void
run_busy_iteration (uint64_t ms)
{
  f.work_ms = ms;
  uv_update_time (&f.loop);
  uv_timer_start (&f.timer, on_timer, 1000, 0);
  uv_run (&f.loop, UV_RUN_DEFAULT);
  uv_run (&f.loop, UV_RUN_NOWAIT);
}

/* Waits for events must not count as work.  */
START_TEST (work_of_iterations_is_recorded)
{
  run_busy_iteration (SHORT_MS);
  run_busy_iteration (LONG_MS);
  ck_assert_uint_ge (f.histogram->sum_us, (SHORT_MS + LONG_MS) * 1000);
  ck_assert_uint_lt (f.histogram->sum_us, (SHORT_MS + LONG_MS + 4) * 1000);
}
END_TEST

/* An iteration over the bound must be logged with the work that took most of
   it, and a short one must not.  */
START_TEST (long_iteration_is_logged_with_its_work)
{
  char text[4096] = "";
  int out[2];
  int former = dup (STDOUT_FILENO);

  ck_assert_int_eq (pipe (out), 0);
  dup2 (out[1], STDOUT_FILENO);
  run_busy_iteration (SHORT_MS);
  run_busy_iteration (LONG_MS);
  eventlog_flush ();
  dup2 (former, STDOUT_FILENO);
  close (out[1]);
  ck_assert_int_gt (read (out[0], text, sizeof text - 1), 0);
  ck_assert_ptr_nonnull (strstr (text, "event=process.loop-busy"));
  ck_assert_ptr_nonnull (strstr (text, "busy_ms=100 work=config work_ms=100"));
  ck_assert_ptr_null (strstr (text, "busy_ms=5 "));
  close (out[0]);
  close (former);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("loop_watch");
  TCase *tcase = tcase_create ("loop_watch");

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_test (tcase, work_of_iterations_is_recorded);
  tcase_add_test (tcase, long_iteration_is_logged_with_its_work);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
