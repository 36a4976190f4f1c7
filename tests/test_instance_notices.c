/* A gateway, over real sockets, before instances that say in their responses
   that they want no further requests: because they are leaving, or for a
   while.  */

#include "base/mem.h"
#include "gateway/speed_rows.h"
#include "gateway_fixture.h"
#include "suite.h"
#include "virtual_time.h"

#include <signal.h>
#include <stdlib.h>

#define REQUEST_HEADERS                                                       \
  "Authorization: Bearer key-1\r\nvanillahook-attempt-id: a1\r\n"

enum
{
  CALLERS_MAX = 1024,
  UPSTREAMS = 3,
  CALL_INTERVAL_MS = 20,
  /* Time after which a leaving instance gets no further requests.  */
  LEAVING_GRACE_MS = 2000,
  /* Time after a request for a pause from which the pause is counted, and the
     requests that the instance may get in it.  */
  PAUSE_GRACE_MS = 500,
  PAUSE_REQUESTS_MAX = 2,
  /* Time in which requests are counted after a grace time.  */
  COUNT_MS = 800
};

/* A gateway under a constant load of callers.  Instance 0 is the one that the
   tests are about.  */
typedef struct
{
  gateway_fixture_t fixture;
  caller_t *callers;
  size_t caller_count;
  const char *path;
  uv_timer_t timer;
} load_t;

static void
on_call_due (uv_timer_t *timer)
{
  load_t *load = timer->data;

  ck_assert_uint_lt (load->caller_count, CALLERS_MAX);
  caller_start (&load->fixture, &load->callers[load->caller_count++], "POST",
                load->path, REQUEST_HEADERS, "{}");
}

static void
load_setup (load_t *load, const char *path)
{
  memset (load, 0, sizeof *load);
  load->path = path;
  load->callers = mem_zalloc (CALLERS_MAX * sizeof *load->callers);
  gateway_fixture_setup (&load->fixture, UPSTREAMS);
  uv_timer_init (&load->fixture.loop, &load->timer);
  load->timer.data = load;
}

static void
load_start (load_t *load)
{
  uv_timer_start (&load->timer, on_call_due, CALL_INTERVAL_MS,
                  CALL_INTERVAL_MS);
}

static void
load_run_for (load_t *load, uint64_t ms)
{
  loop_wait_for_ms (&load->fixture.wait, ms);
}

static void
load_teardown (load_t *load)
{
  uv_timer_stop (&load->timer);
  for (size_t i = 0; i < load->caller_count; i++)
    gateway_fixture_wait (&load->fixture, load->callers[i].closed);
  for (size_t i = 0; i < load->caller_count; i++)
    caller_free (&load->fixture, &load->callers[i]);
  free (load->callers);
  uv_close ((uv_handle_t *)&load->timer, NULL);
  gateway_fixture_teardown (&load->fixture);
}

/* Let instance 0 respond with ACTION and the header LINES.  */
static void
script (load_t *load, fake_action_t action, const char *lines)
{
  fake_upstream_t *upstream = load->fixture.upstreams[0];

  fake_upstream_script (upstream, &action, 1);
  fake_upstream_set_headers (upstream, lines);
}

static size_t
request_count (const load_t *load)
{
  return fake_upstream_request_count (load->fixture.upstreams[0]);
}

/* Run the load until instance 0 has got a request.  */
static void
wait_for_request (load_t *load)
{
  size_t before = request_count (load);

  gateway_fixture_wait (&load->fixture, request_count (load) > before);
}

/* Return how many requests instance 0 gets in COUNT_MS after AFTER_MS.  */
static size_t
count_requests (load_t *load, uint64_t after_ms)
{
  load_run_for (load, after_ms);
  size_t before = request_count (load);
  load_run_for (load, COUNT_MS);
  return request_count (load) - before;
}

/* An instance said that it was leaving, and the gateway knew only what the
   store listed.  */
START_TEST (leaving_instance_gets_requests)
{
  static const struct
  {
    const char *path;
    fake_action_t action;
  } cases[] = {
    { "/read/a", ACT_RESPOND },
    { "/read/a", ACT_ERROR },
    { "/read/a", ACT_REFUSE_NOT_RUN },
    { "/read/a", ACT_TRUNCATE_BODY },
    { "/chat/", ACT_STREAM },
    { "/chat/", ACT_STREAM_CUT_IN_EVENT },
    { "/chat/", ACT_STREAM_LOW_CONFIDENCE },
  };
  load_t load;

  load_setup (&load, cases[_i].path);
  fake_action_t other = cases[_i].path[1] == 'c' ? ACT_STREAM : ACT_RESPOND;
  for (size_t i = 1; i < UPSTREAMS; i++)
    fake_upstream_script (load.fixture.upstreams[i], &other, 1);
  script (&load, cases[_i].action, "vanillahook-leaving: 1\r\n");
  load_start (&load);
  wait_for_request (&load);
  ck_assert_uint_eq (count_requests (&load, LEAVING_GRACE_MS), 0);
  load_teardown (&load);
}
END_TEST

/* The store lists a leaving instance as ready again after an outage in which
   the registration expired.  */
START_TEST (leaving_instance_gets_requests_after_an_outage)
{
  load_t load;

  load_setup (&load, "/read/a");
  script (&load, ACT_RESPOND, "vanillahook-leaving: 1\r\n");
  load_start (&load);
  wait_for_request (&load);
  fake_rows_remove (load.fixture.rows, ROWS_INSTANCES, "app-0");
  load_run_for (&load, 500);
  gateway_fixture_register (&load.fixture, 0, "v1", "ready");
  ck_assert_uint_eq (count_requests (&load, LEAVING_GRACE_MS), 0);
  load_teardown (&load);
}
END_TEST

/* Every instance is leaving: callers are refused at once.  */
START_TEST (caller_waits_for_instances_that_all_leave)
{
  load_t load;
  caller_t caller;

  load_setup (&load, "/read/a");
  for (size_t i = 0; i < UPSTREAMS; i++)
    fake_upstream_set_headers (load.fixture.upstreams[i],
                               "vanillahook-leaving: 1\r\n");
  load_start (&load);
  load_run_for (&load, LEAVING_GRACE_MS);
  uint64_t start_ms = uv_now (&load.fixture.loop);
  gateway_fixture_request (&load.fixture, &caller, "GET", "/read/a",
                           REQUEST_HEADERS, "");
  ck_assert_uint_lt (uv_now (&load.fixture.loop) - start_ms, 200);
  ck_assert_int_eq (caller_status (&caller), 503);
  ck_assert (caller_response_contains (&caller, "retry-after: "));
  ck_assert_uint_eq (count_requests (&load, 0), 0);
  caller_free (&load.fixture, &caller);
  load_teardown (&load);
}
END_TEST

/* An instance refused requests and asked for a pause, and as the least loaded
   one it was tried first by each further request.  */
START_TEST (instance_that_asked_for_a_pause_gets_requests)
{
  static const struct
  {
    const char *path;
    const char *lines;
    uint64_t pause_ms;
  } cases[] = {
    { "/read/a", "Retry-After: 2\r\n", 2000 },
    { "/read/a", "Retry-After: 1.25\r\n", 1250 },
    { "/chat/", "Retry-After: 2\r\n", 2000 },
    { "/book/", "Retry-After: 2\r\n", 2000 },
    { "/read/a", "Retry-After: 2\r\nRetry-After: 1\r\n", 2000 },
    { "/read/a", "Retry-After: 86400\r\n", 4000 },
  };
  load_t load;

  load_setup (&load, cases[_i].path);
  fake_action_t other = cases[_i].path[1] == 'c' ? ACT_STREAM : ACT_RESPOND;
  for (size_t i = 1; i < UPSTREAMS; i++)
    fake_upstream_script (load.fixture.upstreams[i], &other, 1);
  script (&load, ACT_REFUSE_NOT_RUN, cases[_i].lines);
  load_start (&load);
  wait_for_request (&load);
  load_run_for (&load, PAUSE_GRACE_MS);
  size_t before = request_count (&load);
  load_run_for (&load, cases[_i].pause_ms - PAUSE_GRACE_MS - CALL_INTERVAL_MS);
  ck_assert_uint_le (request_count (&load) - before, PAUSE_REQUESTS_MAX);
  load_teardown (&load);
}
END_TEST

/* After its pause an instance is used again.  */
START_TEST (pause_does_not_end)
{
  load_t load;

  load_setup (&load, "/read/a");
  script (&load, ACT_REFUSE_NOT_RUN, "Retry-After: 0.6\r\n");
  load_start (&load);
  wait_for_request (&load);
  script (&load, ACT_RESPOND, NULL);
  ck_assert_uint_gt (count_requests (&load, 700), PAUSE_REQUESTS_MAX);
  load_teardown (&load);
}
END_TEST

/* A pause that cannot be read, or of no length, keeps an instance out.  */
START_TEST (unreadable_pause_is_applied)
{
  static const char *const lines[] = {
    "Retry-After: 0\r\n",
    "Retry-After: -3\r\n",
    "Retry-After: soon\r\n",
    "Retry-After: nan\r\n",
    "Retry-After: Fri, 31 Dec 2100 23:59:59 GMT\r\n",
    "Retry-After: 3, 5\r\n",
  };
  load_t load;

  load_setup (&load, "/read/a");
  script (&load, ACT_REFUSE_NOT_RUN, lines[_i]);
  load_start (&load);
  wait_for_request (&load);
  ck_assert_uint_gt (count_requests (&load, 0), PAUSE_REQUESTS_MAX);
  load_teardown (&load);
}
END_TEST

/* Every instance asked for a pause: callers are refused at once, and told a
   time at which an instance takes requests again.  */
START_TEST (caller_returns_before_a_pause_ends)
{
  enum
  {
    REST_MS = 3000,
    AT_MS = 1000
  };
  fake_action_t refuse = ACT_REFUSE_NOT_RUN;
  load_t load;
  caller_t caller;

  load_setup (&load, "/read/a");
  for (size_t i = 0; i < UPSTREAMS; i++)
    {
      fake_upstream_script (load.fixture.upstreams[i], &refuse, 1);
      fake_upstream_set_headers (load.fixture.upstreams[i],
                                 "Retry-After: 3\r\n");
    }
  load_start (&load);
  wait_for_request (&load);
  load_run_for (&load, AT_MS);
  uint64_t start_ms = uv_now (&load.fixture.loop);
  gateway_fixture_request (&load.fixture, &caller, "GET", "/read/a",
                           REQUEST_HEADERS, "");
  ck_assert_uint_lt (uv_now (&load.fixture.loop) - start_ms, 200);
  ck_assert_int_eq (caller_status (&caller), 503);
  ck_assert (caller_response_contains (&caller, "paused"));
  const char *retry_after = strstr (caller.response.ptr, "retry-after: ");
  ck_assert_ptr_nonnull (retry_after);
  double told_ms
      = strtod (retry_after + strlen ("retry-after: "), NULL) * 1000;
  ck_assert_double_ge (told_ms, REST_MS - AT_MS - 300);
  ck_assert_double_le (told_ms, REST_MS);
  ck_assert_uint_le (count_requests (&load, 0), PAUSE_REQUESTS_MAX);
  caller_free (&load.fixture, &caller);
  load_teardown (&load);
}
END_TEST

/* A fast instance reports that work takes less time there, and gets as many
   requests as the others.  */
START_TEST (fast_instance_gets_no_more_requests)
{
  load_t load;

  load_setup (&load, "/read/a");
  script (&load, ACT_RESPOND, "vanillahook-load: 1,0,32,55\r\n");
  for (size_t i = 1; i < UPSTREAMS; i++)
    fake_upstream_set_headers (load.fixture.upstreams[i],
                               "vanillahook-load: 1,0,32,220\r\n");
  load_start (&load);
  /* Time until each instance has reported.  */
  load_run_for (&load, 2000);
  size_t before = request_count (&load);
  size_t others_before = 0;
  size_t others = 0;
  for (size_t i = 1; i < UPSTREAMS; i++)
    others_before += fake_upstream_request_count (load.fixture.upstreams[i]);
  load_run_for (&load, 4000);
  for (size_t i = 1; i < UPSTREAMS; i++)
    others += fake_upstream_request_count (load.fixture.upstreams[i]);
  ck_assert_uint_gt (request_count (&load) - before,
                     2 * (others - others_before));
  load_teardown (&load);
}
END_TEST

/* A gateway that starts has no reports.  It would send to the slow instances
   as to the others, and all gateways do after a roll-out of theirs.  */
START_TEST (started_gateway_does_not_know_the_fast_instance)
{
  load_t load;

  load_setup (&load, "/read/a");
  script (&load, ACT_RESPOND, "vanillahook-load: 1,0,32,55\r\n");
  for (size_t i = 1; i < UPSTREAMS; i++)
    fake_upstream_set_headers (load.fixture.upstreams[i],
                               "vanillahook-load: 1,0,32,220\r\n");
  load_start (&load);
  load_run_for (&load, 6000);
  uv_timer_stop (&load.timer);
  ck_assert_uint_gt (
      fake_rows_get_bytes (load.fixture.rows, ROWS_SHARED, SPEED_ROWS_KEY).len,
      0);
  /* Only the other gateway can tell the next one.  */
  for (size_t i = 0; i < UPSTREAMS; i++)
    fake_upstream_set_headers (load.fixture.upstreams[i],
                               "vanillahook-load: 1,0,32\r\n");
  gateway_destroy (load.fixture.gateway);
  load.fixture.gateway
      = gateway_fixture_start_gateway (&load.fixture, "gateway-2", 2);
  gateway_fixture_wait (&load.fixture,
                        gateway_fixture_ready_status (&load.fixture) == 200);
  size_t before = request_count (&load);
  size_t others_before = 0;
  size_t others = 0;
  for (size_t i = 1; i < UPSTREAMS; i++)
    others_before += fake_upstream_request_count (load.fixture.upstreams[i]);
  load_start (&load);
  load_run_for (&load, 2000);
  for (size_t i = 1; i < UPSTREAMS; i++)
    others += fake_upstream_request_count (load.fixture.upstreams[i]);
  ck_assert_uint_gt (request_count (&load) - before,
                     2 * (others - others_before));
  load_teardown (&load);
}
END_TEST

int
main (void)
{
  signal (SIGPIPE, SIG_IGN);
  Suite *suite = suite_create ("instance_notices");
  TCase *tcase = tcase_create ("instance_notices");

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, virtual_time_setup, virtual_time_teardown);
  tcase_add_loop_test (tcase, leaving_instance_gets_requests, 0, 7);
  tcase_add_test (tcase, leaving_instance_gets_requests_after_an_outage);
  tcase_add_test (tcase, caller_waits_for_instances_that_all_leave);
  tcase_add_loop_test (tcase, instance_that_asked_for_a_pause_gets_requests, 0,
                       6);
  tcase_add_test (tcase, pause_does_not_end);
  tcase_add_loop_test (tcase, unreadable_pause_is_applied, 0, 6);
  tcase_add_test (tcase, caller_returns_before_a_pause_ends);
  tcase_add_test (tcase, fast_instance_gets_no_more_requests);
  tcase_add_test (tcase, started_gateway_does_not_know_the_fast_instance);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
