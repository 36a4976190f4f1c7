/* Tests of the gateway with a fake store, upstreams and callers: responses to
   callers and requests to upstreams in the presence of failures.  */

#include "gateway/loader.h"
#include "gateway_fixture.h"
#include "suite.h"
#include "virtual_time.h"

#include <signal.h>
#include <stdio.h>

#define KEY_HEADER "Authorization: Bearer key-1\r\n"
#define ATTEMPT_HEADER "vanillahook-attempt-id: a1\r\n"
#define REQUEST_HEADERS KEY_HEADER ATTEMPT_HEADER

static size_t
count_upstream_requests (const gateway_fixture_t *f)
{
  size_t sum = 0;

  for (size_t i = 0; i < f->upstream_count; i++)
    sum += fake_upstream_request_count (f->upstreams[i]);
  return sum;
}

/* Make all upstreams respond with ACT.  */
static void
script_all (gateway_fixture_t *f, fake_action_t act)
{
  for (size_t i = 0; i < f->upstream_count; i++)
    fake_upstream_script (f->upstreams[i], &act, 1);
}

static void
run_loop_for (gateway_fixture_t *f, uint64_t ms)
{
  uint64_t end_ms = uv_now (&f->loop) + ms;

  gateway_fixture_wait (f, uv_now (&f->loop) >= end_ms);
}

static void
begin_stop (gateway_fixture_t *f)
{
  const stop_time_t now = stop_time_now (clock_system ());

  gateway_begin_stop (f->gateway, &now);
}

START_TEST (response_and_request_are_forwarded_without_forged_headers)
{
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 1);
  gateway_fixture_request (&f, &caller, "POST", "/read/a?b=1",
                           REQUEST_HEADERS
                           "vanillahook-team: forged\r\n"
                           "vanillahook-pin-ms: 9\r\nX-Own: kept\r\n",
                           "body");
  ck_assert_int_eq (caller_status (&caller), 200);
  ck_assert (caller_response_contains (&caller, "by up-0"));
  ck_assert (caller_response_contains (&caller,
                                       "vanillahook-answer-mac: mac-of-up-0"));
  const char *forwarded = fake_upstream_last_request (f.upstreams[0]);
  ck_assert_ptr_nonnull (strstr (forwarded, "POST /read/a?b=1 HTTP/1.1\r\n"));
  ck_assert_ptr_nonnull (strstr (forwarded, "vanillahook-team: coast\r\n"));
  ck_assert_ptr_nonnull (
      strstr (forwarded, "vanillahook-expect-instance: app-0\r\n"));
  ck_assert_ptr_nonnull (strstr (forwarded, "x-own: kept\r\n"));
  ck_assert_ptr_nonnull (strstr (forwarded, "\r\n\r\nbody"));
  ck_assert_ptr_null (strstr (forwarded, "forged"));
  ck_assert_ptr_null (strstr (forwarded, "pin-ms"));
  ck_assert_ptr_null (strstr (forwarded, "key-1"));
  caller_free (&f, &caller);
  gateway_fixture_teardown (&f);
}
END_TEST

/* A request without a route, a valid key, an attempt id or a numeric deadline
   must get the matching error status and not be sent to an upstream.  */
START_TEST (invalid_requests_are_rejected)
{
  static const struct
  {
    const char *path;
    const char *headers;
    int status;
  } cases[] = {
    { "/none/", REQUEST_HEADERS, 404 },
    { "/read/", ATTEMPT_HEADER, 401 },
    { "/read/", ATTEMPT_HEADER "Authorization: Bearer wrong\r\n", 401 },
    { "/read/", KEY_HEADER, 400 },
    { "/read/", REQUEST_HEADERS "vanillahook-deadline-ms: soon\r\n", 400 },
  };
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 1);
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      gateway_fixture_request (&f, &caller, "GET", cases[i].path,
                               cases[i].headers, "");
      ck_assert_int_eq (caller_status (&caller), cases[i].status);
      caller_free (&f, &caller);
    }
  ck_assert_uint_eq (count_upstream_requests (&f), 0);
  gateway_fixture_teardown (&f);
}
END_TEST

/* Failure: a response with many headers reaches the caller without the last
   ones, such as its MAC.  */
START_TEST (headers_of_a_response_are_dropped)
{
  gateway_fixture_t f;
  caller_t caller;
  char last[32];

  gateway_fixture_setup (&f, 1);
  script_all (&f, ACT_MANY_HEADERS);
  gateway_fixture_request (&f, &caller, "GET", "/read/", REQUEST_HEADERS, "");
  ck_assert_int_eq (caller_status (&caller), 200);
  snprintf (last, sizeof last, "x-%d: y", MANY_HEADERS - 1);
  ck_assert (caller_response_contains (&caller, last));
  ck_assert (caller_response_contains (&caller, ": mac-of-"));
  caller_free (&f, &caller);
  gateway_fixture_teardown (&f);
}
END_TEST

/* The upstream fails while it has a request that must not run twice, such as a
   payment.  The request may have run, so it must not be sent to the other
   upstream, and the caller must receive 502 with the outcome `unknown'.  */
START_TEST (non_idempotent_request_is_sent_once)
{
  static const fake_action_t acts[]
      = { ACT_RESET, ACT_TRUNCATE_BODY, ACT_OTHER_ATTEMPT_ID, ACT_NO_MAC };
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 2);
  for (size_t i = 0; i < sizeof acts / sizeof acts[0]; i++)
    {
      size_t count_before = count_upstream_requests (&f);
      script_all (&f, acts[i]);
      gateway_fixture_request (&f, &caller, "POST", "/book/", REQUEST_HEADERS,
                               "pay");
      ck_assert_int_eq (caller_status (&caller), 502);
      ck_assert (caller_response_contains (&caller, "unknown"));
      ck_assert_uint_eq (count_upstream_requests (&f) - count_before, 1);
      caller_free (&f, &caller);
    }
  gateway_fixture_teardown (&f);
}
END_TEST

/* An upstream reports that it did not run the request.  The request must be
   sent to another upstream; if none runs it, the caller must receive 503 with
   Retry-After.  */
START_TEST (request_not_run_is_retried_or_refused)
{
  static const fake_action_t shed[] = { ACT_REFUSE_NOT_RUN };
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 2);
  fake_upstream_script (f.upstreams[0], shed, 1);
  for (int i = 0; i < 4; i++)
    {
      gateway_fixture_request (&f, &caller, "POST", "/book/", REQUEST_HEADERS,
                               "pay");
      ck_assert_int_eq (caller_status (&caller), 200);
      ck_assert (caller_response_contains (&caller, "by up-1"));
      caller_free (&f, &caller);
    }
  script_all (&f, ACT_REFUSE_NOT_RUN);
  gateway_fixture_request (&f, &caller, "POST", "/book/", REQUEST_HEADERS,
                           "pay");
  ck_assert_int_eq (caller_status (&caller), 503);
  ck_assert (caller_response_contains (&caller, "retry-after: 0."));
  ck_assert (caller_response_contains (&caller, "not-run"));
  caller_free (&f, &caller);
  gateway_fixture_teardown (&f);
}
END_TEST

/* All upstreams are full.  Each must receive the request only once, because
   every refused send is load on the upstream.  */
START_TEST (full_upstream_gets_one_send_per_request)
{
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 3);
  script_all (&f, ACT_REFUSE_NOT_RUN);
  gateway_fixture_request (&f, &caller, "GET", "/read/", REQUEST_HEADERS, "");
  ck_assert_int_eq (caller_status (&caller), 503);
  ck_assert_uint_eq (count_upstream_requests (&f), 3);
  caller_free (&f, &caller);
  gateway_fixture_teardown (&f);
}
END_TEST

/* An idempotent request fails at one upstream by an error status, a reset, a
   truncated response, a response to another request or a response without a
   message authentication code.  The response must then come from the other
   upstream.  */
START_TEST (idempotent_request_is_retried)
{
  static const fake_action_t acts[]
      = { ACT_ERROR, ACT_RESET, ACT_TRUNCATE_BODY, ACT_OTHER_ATTEMPT_ID,
          ACT_NO_MAC };
  gateway_fixture_t f;
  caller_t caller;

  for (size_t i = 0; i < sizeof acts / sizeof acts[0]; i++)
    {
      gateway_fixture_setup (&f, 2);
      fake_upstream_script (f.upstreams[0], &acts[i], 1);
      for (int j = 0; j < 2; j++)
        {
          gateway_fixture_request (&f, &caller, "GET", "/read/",
                                   REQUEST_HEADERS, "");
          ck_assert_int_eq (caller_status (&caller), 200);
          ck_assert (caller_response_contains (&caller, "by up-1"));
          caller_free (&f, &caller);
        }
      gateway_fixture_teardown (&f);
    }
}
END_TEST

/* The upstream fails in the middle of the third event of a stream.  The stream
   must be resumed after the last complete event, and the caller must receive
   each event once, in one response.  */
START_TEST (interrupted_stream_is_resumed)
{
  static const fake_action_t acts[] = { ACT_STREAM_CUT_IN_EVENT, ACT_STREAM };
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 1);
  fake_upstream_script (f.upstreams[0], acts, 2);
  gateway_fixture_request (&f, &caller, "POST", "/chat/", REQUEST_HEADERS,
                           "{}");
  ck_assert_int_eq (caller_status (&caller), 200);
  for (int id = 1; id <= 5; id++)
    {
      char event[32];
      snprintf (event, sizeof event, "data: e%d\n", id);
      const char *at = strstr (caller.response.ptr, event);
      ck_assert_ptr_nonnull (at);
      ck_assert_ptr_null (strstr (at + 1, event));
    }
  ck_assert (!caller_response_contains (&caller, "ha\r\n"));
  ck_assert (caller_response_contains (&caller, "\r\n0\r\n\r\n"));
  ck_assert_ptr_nonnull (strstr (fake_upstream_last_request (f.upstreams[0]),
                                 "Last-Event-Id: 2\r\n"));
  caller_free (&f, &caller);
  gateway_fixture_teardown (&f);
}
END_TEST

/* The upstream of a stream sends nothing more after two events, and its
   connection stays open without an error.  The stream must be resumed, and the
   stalled call must be cancelled.  */
START_TEST (stalled_stream_is_resumed)
{
  static const fake_action_t acts[] = { ACT_STREAM_STALL, ACT_STREAM };
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 1);
  fake_upstream_script (f.upstreams[0], acts, 2);
  gateway_fixture_request (&f, &caller, "POST", "/chat/", REQUEST_HEADERS,
                           "{}");
  ck_assert_int_eq (caller_status (&caller), 200);
  ck_assert (caller_response_contains (&caller, "data: e5\n"));
  ck_assert (caller_response_contains (&caller, "\r\n0\r\n\r\n"));
  gateway_fixture_wait (&f, fake_upstream_abort_count (f.upstreams[0]) == 1);
  caller_free (&f, &caller);
  gateway_fixture_teardown (&f);
}
END_TEST

static size_t failed_request_count;

/* Send requests until the status row of the engine is WANTED.  */
static void
request_until_status (gateway_fixture_t *f, const char *wanted)
{
  for (int i = 0; i < 1200; i++)
    {
      const char *status = fake_rows_get (f->rows, ROWS_STATUS, "llm");
      char headers[96];
      caller_t caller;
      if (status != NULL && strcmp (status, wanted) == 0)
        return;
      snprintf (headers, sizeof headers,
                KEY_HEADER "vanillahook-attempt-id: n%d\r\n", i);
      gateway_fixture_request (f, &caller, "POST", "/chat/", headers, "{}");
      failed_request_count += caller_status (&caller) != 200;
      caller_free (f, &caller);
      fake_rows_advance_clock (f->rows, 15);
      /* At most 50 requests a second: one upstream can take 63, and further
         requests are refused.  */
      run_loop_for (f, 20);
    }
  ck_abort_msg ("the status did not become %s", wanted);
}

/* Replace the gateway by one with MOVE_STREAMS.  */
static void
restart_gateway (gateway_fixture_t *f, move_streams_t move_streams)
{
  gateway_destroy (f->gateway);
  f->move_streams = move_streams;
  f->gateway = gateway_fixture_start_gateway (f, "gateway-1", 1);
  gateway_fixture_wait (f, gateway_fixture_ready_status (f) == 200);
}

/* Send a stream request with HEADERS while all upstreams react with ACT, and
   return the index of the upstream that gets it.  The others react with
   ACT_STREAM_LONG afterwards.  */
static size_t
start_stream_at_slow_upstream (gateway_fixture_t *f, caller_t *caller,
                               const char *headers, fake_action_t act)
{
  static const fake_action_t quick[] = { ACT_STREAM_LONG };
  size_t counts[4] = { 0 };
  size_t sum = count_upstream_requests (f);
  size_t slow = 0;

  for (size_t i = 0; i < f->upstream_count; i++)
    counts[i] = fake_upstream_request_count (f->upstreams[i]);
  script_all (f, act);
  caller_start (f, caller, "POST", "/chat/", headers, "{}");
  gateway_fixture_wait (f, count_upstream_requests (f) == sum + 1);
  for (size_t i = 0; i < f->upstream_count; i++)
    if (fake_upstream_request_count (f->upstreams[i]) > counts[i])
      slow = i;
    else
      fake_upstream_script (f->upstreams[i], quick, 1);
  return slow;
}

/* Send requests until both upstreams got one and the gateway knows what their
   responses announce.  */
static void
request_from_both (gateway_fixture_t *f)
{
  caller_t caller;

  script_all (f, ACT_STREAM);
  while (fake_upstream_request_count (f->upstreams[0]) == 0
         || fake_upstream_request_count (f->upstreams[1]) == 0)
    {
      gateway_fixture_request (f, &caller, "POST", "/chat/", REQUEST_HEADERS,
                               "{}");
      caller_free (f, &caller);
    }
}

/* Check that CALLER got events 1 to STREAM_LONG_EVENTS, once each, and the end
   of the stream.  */
static void
check_whole_stream (const caller_t *caller)
{
  ck_assert_int_eq (caller_status (caller), 200);
  for (int id = 1; id <= STREAM_LONG_EVENTS; id++)
    {
      char event[32];
      snprintf (event, sizeof event, "data: e%d\n", id);
      const char *at = strstr (caller->response.ptr, event);
      ck_assert_ptr_nonnull (at);
      ck_assert_ptr_null (strstr (at + 1, event));
    }
  ck_assert (caller_response_contains (caller, "\r\n0\r\n\r\n"));
}

/* An upstream turned slow: a stream of 20 events would take 4 s there, and the
   caller waits for 3 s.  The stream must end at the other upstream, the caller
   must receive each event once, and the slow call must be cancelled, so that
   the request does not run twice.  */
START_TEST (late_stream_moves_to_other_upstream)
{
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 2);
  restart_gateway (&f, MOVE_STREAMS_YES);
  size_t slow = start_stream_at_slow_upstream (
      &f, &caller, REQUEST_HEADERS "vanillahook-length-hint: 180\r\n",
      ACT_STREAM_SLOW);
  gateway_fixture_wait (&f, caller.closed);
  check_whole_stream (&caller);
  ck_assert_ptr_nonnull (
      strstr (fake_upstream_last_request (f.upstreams[1 - slow]),
              "\r\nLast-Event-Id: "));
  ck_assert_uint_eq (count_upstream_requests (&f), 2);
  gateway_fixture_wait (&f,
                        fake_upstream_abort_count (f.upstreams[slow]) == 1);
  caller_free (&f, &caller);
  gateway_fixture_teardown (&f);
}
END_TEST

/* A stream has stalled, and no event will come to be checked at.  The timer
   must find that it will be late, long before the timeout for a stall.  */
START_TEST (stalled_stream_moves_before_its_timeout)
{
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 2);
  restart_gateway (&f, MOVE_STREAMS_YES);
  size_t slow = start_stream_at_slow_upstream (
      &f, &caller,
      REQUEST_HEADERS "vanillahook-length-hint: 90\r\n"
                      "vanillahook-deadline-ms: 1450\r\n",
      ACT_STREAM_STALL);
  gateway_fixture_wait (&f, caller.closed);
  check_whole_stream (&caller);
  gateway_fixture_wait (&f,
                        fake_upstream_abort_count (f.upstreams[slow]) == 1);
  caller_free (&f, &caller);
  gateway_fixture_teardown (&f);
}
END_TEST

/* Streams must stay where they are if moves are switched off, if no instance
   reports how long work takes, and without a hint that can be read.  A bad
   hint must not fail the request.  */
START_TEST (late_stream_stays)
{
  static const struct
  {
    move_streams_t move_streams;
    const char *headers;
  } cases[] = {
    { MOVE_STREAMS_NO, REQUEST_HEADERS "vanillahook-length-hint: 180\r\n" },
    { MOVE_STREAMS_REPORTED,
      REQUEST_HEADERS "vanillahook-length-hint: 180\r\n" },
    { MOVE_STREAMS_YES, REQUEST_HEADERS },
    { MOVE_STREAMS_YES, REQUEST_HEADERS "vanillahook-length-hint: long\r\n" },
    { MOVE_STREAMS_YES, REQUEST_HEADERS "vanillahook-length-hint: -4\r\n" },
    { MOVE_STREAMS_YES,
      REQUEST_HEADERS "vanillahook-length-hint: 99999999999999999999\r\n" },
    { MOVE_STREAMS_YES,
      REQUEST_HEADERS "vanillahook-length-hint: 4000000000\r\n" },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      gateway_fixture_t f;
      caller_t caller;
      gateway_fixture_setup (&f, 2);
      restart_gateway (&f, cases[i].move_streams);
      start_stream_at_slow_upstream (&f, &caller, cases[i].headers,
                                     ACT_STREAM_SLOW);
      gateway_fixture_wait (&f, caller.closed);
      ck_assert_int_eq (caller_status (&caller), 200);
      ck_assert (caller_response_contains (&caller, "data: e10\n"));
      ck_assert (!caller_response_contains (&caller, "data: e20\n"));
      ck_assert_uint_eq (count_upstream_requests (&f), 1);
      caller_free (&f, &caller);
      gateway_fixture_teardown (&f);
    }
}
END_TEST

#define HINT_HEADER "vanillahook-length-hint: 180\r\n"

/* Send a stream to a slow upstream and check whether it MOVES.  */
static void
check_late_stream (gateway_fixture_t *f, bool moves)
{
  size_t before = count_upstream_requests (f);
  caller_t caller;

  start_stream_at_slow_upstream (f, &caller, REQUEST_HEADERS HINT_HEADER,
                                 ACT_STREAM_SLOW);
  gateway_fixture_wait (f, caller.closed);
  if (moves)
    check_whole_stream (&caller);
  else
    ck_assert (!caller_response_contains (&caller, "data: e20\n"));
  ck_assert_uint_eq (count_upstream_requests (f) - before, moves ? 2 : 1);
  caller_free (f, &caller);
}

/* By default streams move where instances report how long work takes.  If the
   other upstream reports that it is as slow, the stream would only lose its
   progress.  */
START_TEST (reported_times_decide_on_moves)
{
  static const struct
  {
    const char *load;
    bool moves;
  } cases[] = {
    { "vanillahook-load: 1,0,32,100\r\n", true },
    { "vanillahook-load: 1,0,32,400\r\n", false },
    { "vanillahook-load: 1,0,32\r\n", false },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      gateway_fixture_t f;
      gateway_fixture_setup (&f, 2);
      for (size_t j = 0; j < 2; j++)
        fake_upstream_set_headers (f.upstreams[j], cases[i].load);
      request_from_both (&f);
      check_late_stream (&f, cases[i].moves);
      gateway_fixture_teardown (&f);
    }
}
END_TEST

/* The other upstream has announced a rate limit, which is for first sends.  */
START_TEST (late_stream_stays_if_other_upstream_is_limited)
{
  gateway_fixture_t f;

  gateway_fixture_setup (&f, 2);
  restart_gateway (&f, MOVE_STREAMS_YES);
  for (size_t i = 0; i < 2; i++)
    fake_upstream_set_rate_limit (f.upstreams[i], "50");
  request_from_both (&f);
  run_loop_for (&f, 200);
  check_late_stream (&f, false);
  gateway_fixture_teardown (&f);
}
END_TEST

/* Register the engine at upstream INDEX in another zone than the gateway, so
   that it gets no first send while one in its zone is idle.  */
static void
move_to_other_zone (gateway_fixture_t *f, size_t index)
{
  char key[16];
  char row[96];

  snprintf (key, sizeof key, "llm-%zu", index);
  snprintf (row, sizeof row, "llm 127.0.0.1:%u zone-b v1 ready",
            fake_upstream_port (f->upstreams[index]));
  fake_rows_put (f->rows, ROWS_INSTANCES, key, row);
}

/* Three streams in a row move away from an upstream, as many as the failures
   that eject one.  It is slow, but has not failed, and must get requests
   again.  */
START_TEST (moves_eject_no_upstream)
{
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 2);
  move_to_other_zone (&f, 1);
  restart_gateway (&f, MOVE_STREAMS_YES);
  for (size_t i = 1; i <= 3; i++)
    {
      check_late_stream (&f, true);
      ck_assert_uint_eq (fake_upstream_request_count (f.upstreams[0]), i);
    }
  script_all (&f, ACT_STREAM);
  gateway_fixture_request (&f, &caller, "POST", "/chat/", REQUEST_HEADERS,
                           "{}");
  ck_assert_uint_eq (fake_upstream_request_count (f.upstreams[0]), 4);
  caller_free (&f, &caller);
  gateway_fixture_teardown (&f);
}
END_TEST

/* The request is suspected of a crash.  Where it runs now it may be slow
   because it is about to crash the upstream, and it must not go to a third
   one.  */
START_TEST (suspected_stream_stays)
{
  static const fake_action_t quick[] = { ACT_STREAM_LONG };
  gateway_fixture_t f;
  caller_t caller;
  size_t counts[4];

  gateway_fixture_setup (&f, 4);
  for (size_t i = 1; i < 4; i++)
    move_to_other_zone (&f, i);
  restart_gateway (&f, MOVE_STREAMS_YES);
  script_all (&f, ACT_STREAM_SLOW);
  fake_upstream_crash_on (f.upstreams[0], "crashing", 10);
  caller_start (&f, &caller, "POST", "/chat/", REQUEST_HEADERS HINT_HEADER,
                "crashing");
  gateway_fixture_wait (&f, count_upstream_requests (&f) == 2);
  ck_assert (fake_upstream_has_crashed (f.upstreams[0]));
  for (size_t i = 1; i < 4; i++)
    {
      counts[i] = fake_upstream_request_count (f.upstreams[i]);
      if (counts[i] == 0)
        fake_upstream_script (f.upstreams[i], quick, 1);
    }
  gateway_fixture_wait (&f, caller.closed);
  for (size_t i = 1; i < 4; i++)
    ck_assert_uint_eq (fake_upstream_request_count (f.upstreams[i]),
                       counts[i]);
  caller_free (&f, &caller);
  gateway_fixture_teardown (&f);
}
END_TEST

/* The other upstream is ejected after failures.  */
START_TEST (late_stream_stays_if_other_upstream_is_ejected)
{
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 2);
  restart_gateway (&f, MOVE_STREAMS_YES);
  /* Requests for a budget that the failures do not use up.  */
  script_all (&f, ACT_STREAM);
  for (int i = 0; i < 20; i++)
    {
      gateway_fixture_request (&f, &caller, "POST", "/chat/", REQUEST_HEADERS,
                               "{}");
      caller_free (&f, &caller);
    }
  size_t slow = start_stream_at_slow_upstream (
      &f, &caller, REQUEST_HEADERS HINT_HEADER, ACT_STREAM_SLOW);
  static const fake_action_t failing[] = { ACT_RESET };
  fake_upstream_script (f.upstreams[1 - slow], failing, 1);
  fake_upstream_script (f.upstreams[slow], failing, 1);
  run_loop_for (&f, 400);
  /* Each of these fails at both upstreams, so that both are ejected for longer
     than it takes until the stream is found late.  */
  for (int i = 0; i < 4; i++)
    {
      caller_t other;
      gateway_fixture_request (&f, &other, "POST", "/chat/", REQUEST_HEADERS,
                               "{}");
      caller_free (&f, &other);
    }
  size_t before = count_upstream_requests (&f);
  static const fake_action_t quick[] = { ACT_STREAM_LONG };
  fake_upstream_script (f.upstreams[1 - slow], quick, 1);
  run_loop_for (&f, 900);
  ck_assert_uint_eq (count_upstream_requests (&f), before);
  caller_free (&f, &caller);
  gateway_fixture_teardown (&f);
}
END_TEST

/* A version is under trial, and what it does to streams is the evidence.  Each
   version has another instance to which its stream could move.  */
START_TEST (late_stream_stays_during_trial)
{
  gateway_fixture_t f;

  gateway_fixture_setup (&f, 4);
  restart_gateway (&f, MOVE_STREAMS_YES);
  script_all (&f, ACT_STREAM);
  for (size_t i = 2; i < 4; i++)
    gateway_fixture_register (&f, i, "v2", "ready");
  fake_rows_put (f.rows, ROWS_OPERATOR, "rollout/llm", "llm v2 12000");
  run_loop_for (&f, 100);
  request_until_status (&f, "v2 running");
  check_late_stream (&f, false);
  gateway_fixture_teardown (&f);
}
END_TEST

/* In the last part of a planned stop a moved stream would be aborted with the
   others.  The stream is found late after 1 s, and the stop ends after
   1.5 s.  */
START_TEST (late_stream_stays_at_end_of_stop)
{
  static const bool is_stopping[] = { false, true };

  for (size_t i = 0; i < 2; i++)
    {
      gateway_fixture_t f;
      caller_t caller;
      gateway_fixture_setup (&f, 2);
      f.drain_timeout_ms = 1500;
      restart_gateway (&f, MOVE_STREAMS_YES);
      if (is_stopping[i])
        begin_stop (&f);
      start_stream_at_slow_upstream (&f, &caller, REQUEST_HEADERS HINT_HEADER,
                                     ACT_STREAM_SLOW);
      gateway_fixture_wait (&f, caller.closed);
      ck_assert_uint_eq (count_upstream_requests (&f), is_stopping[i] ? 1 : 2);
      caller_free (&f, &caller);
      gateway_fixture_teardown (&f);
    }
}
END_TEST

/* The stream would end in time where it is: 20 events at 200 ms take 4 s, and
   10 of them 2 s.  */
START_TEST (stream_in_time_stays)
{
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 2);
  restart_gateway (&f, MOVE_STREAMS_YES);
  start_stream_at_slow_upstream (&f, &caller,
                                 REQUEST_HEADERS
                                 "vanillahook-length-hint: 45\r\n"
                                 "vanillahook-token-counts: 100,90\r\n",
                                 ACT_STREAM_SLOW);
  run_loop_for (&f, 1800);
  ck_assert_uint_eq (count_upstream_requests (&f), 1);
  caller_free (&f, &caller);
  gateway_fixture_teardown (&f);
}
END_TEST

/* The other upstream refuses the moved stream.  The stream must wait and go
   on, and not be cut: it was in progress at a working upstream.  */
START_TEST (moved_stream_waits_for_upstream)
{
  static const fake_action_t full[] = { ACT_REFUSE_NOT_RUN, ACT_STREAM_LONG };
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 2);
  restart_gateway (&f, MOVE_STREAMS_YES);
  size_t slow = start_stream_at_slow_upstream (
      &f, &caller, REQUEST_HEADERS "vanillahook-length-hint: 180\r\n",
      ACT_STREAM_SLOW);
  fake_upstream_script (f.upstreams[1 - slow], full, 2);
  static const fake_action_t quick[] = { ACT_STREAM_LONG };
  fake_upstream_script (f.upstreams[slow], quick, 1);
  gateway_fixture_wait (&f, caller.closed);
  check_whole_stream (&caller);
  caller_free (&f, &caller);
  gateway_fixture_teardown (&f);
}
END_TEST

/* An engine that is busy with prompts from other gateway processes sends
   nothing for most of a second and then continues.  The stream must stay
   there, because another engine would have to repeat the work.  */
START_TEST (stream_stays_at_busy_engine)
{
  static const fake_action_t acts[] = { ACT_STREAM_PAUSE };
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 2);
  script_all (&f, acts[0]);
  gateway_fixture_request (&f, &caller, "POST", "/chat/", REQUEST_HEADERS,
                           "{}");
  ck_assert (caller_response_contains (&caller, "data: e5\n"));
  ck_assert_uint_eq (count_upstream_requests (&f), 1);
  caller_free (&f, &caller);
  gateway_fixture_teardown (&f);
}
END_TEST

/* An engine loses power in the middle of a stream, without an error on the
   open connection.  A probe must detect this, and the stream must be resumed
   long before the timeout for a reachable engine.  */
START_TEST (stream_leaves_unreachable_engine)
{
  gateway_fixture_t f;
  caller_t caller;
  size_t first_index;

  gateway_fixture_setup (&f, 2);
  script_all (&f, ACT_STREAM_PAUSE);
  caller_start (&f, &caller, "POST", "/chat/", REQUEST_HEADERS, "{}");
  gateway_fixture_wait (&f, caller_response_contains (&caller, "data: e2\n"));
  first_index = fake_upstream_request_count (f.upstreams[0]) > 0 ? 0 : 1;
  fake_upstream_go_silent (f.upstreams[first_index]);
  uint64_t start_ms = uv_hrtime () / 1000000;
  gateway_fixture_wait (&f, count_upstream_requests (&f) == 2);
  ck_assert_uint_lt (uv_hrtime () / 1000000 - start_ms, STREAM_PAUSE_MS + 200);
  gateway_fixture_wait (&f, caller.closed);
  ck_assert (caller_response_contains (&caller, "data: e5\n"));
  caller_free (&f, &caller);
  gateway_fixture_teardown (&f);
}
END_TEST

/* The caller's deadline passes while a silent engine is being probed.  The
   response must be sent at the deadline, not after the probe.  */
START_TEST (probe_does_not_delay_deadline)
{
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 2);
  script_all (&f, ACT_NO_RESPONSE);
  uint64_t start_ms = uv_now (&f.loop);
  gateway_fixture_request (&f, &caller, "POST", "/chat/",
                           REQUEST_HEADERS "vanillahook-deadline-ms: 560\r\n",
                           "{}");
  ck_assert_int_eq (caller_status (&caller), 504);
  ck_assert_uint_lt (uv_now (&f.loop) - start_ms, 700);
  caller_free (&f, &caller);
  gateway_fixture_teardown (&f);
}
END_TEST

/* A stream is interrupted while every other engine is full, and a slot becomes
   free a moment later.  The stream must wait for the slot and be resumed: the
   caller already has part of the response, which an abort would waste.  */
START_TEST (interrupted_stream_waits_for_free_slot)
{
  enum
  {
    SLOTS = 32, /* Slots of each upstream.  */
    OTHER_CALLERS = 2 * SLOTS - 1
  };
  static caller_t other_callers[OTHER_CALLERS];
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 2);
  script_all (&f, ACT_STREAM_STALL);
  for (size_t i = 0; i < OTHER_CALLERS; i++)
    caller_start (&f, &other_callers[i], "POST", "/chat/", REQUEST_HEADERS,
                  "{}");
  gateway_fixture_wait (&f, count_upstream_requests (&f) == OTHER_CALLERS);
  script_all (&f, ACT_STREAM_CUT_IN_EVENT);
  caller_start (&f, &caller, "POST", "/chat/", REQUEST_HEADERS, "{}");
  gateway_fixture_wait (&f, caller_response_contains (&caller, "data: e2\n"));
  run_loop_for (&f, 100);
  ck_assert (!caller.closed);
  script_all (&f, ACT_STREAM);
  for (size_t i = 0; i < OTHER_CALLERS; i++)
    caller_disconnect (&other_callers[i]);
  gateway_fixture_wait (&f, caller.closed);
  ck_assert (caller_response_contains (&caller, "data: e5\n"));
  ck_assert (caller_response_contains (&caller, "\r\n0\r\n\r\n"));
  for (size_t i = 0; i < OTHER_CALLERS; i++)
    caller_free (&f, &other_callers[i]);
  caller_free (&f, &caller);
  gateway_fixture_teardown (&f);
}
END_TEST

/* Every send of a stream is interrupted.  The response must be visibly
   incomplete, without the final chunk, and must end with a complete event.  */
START_TEST (failed_stream_is_visibly_incomplete)
{
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 1);
  script_all (&f, ACT_STREAM_CUT_IN_EVENT);
  gateway_fixture_request (&f, &caller, "POST", "/chat/", REQUEST_HEADERS,
                           "{}");
  ck_assert_int_eq (caller_status (&caller), 200);
  ck_assert (caller_response_contains (&caller, "data: e2\n"));
  ck_assert (!caller_response_contains (&caller, "\r\n0\r\n"));
  ck_assert_int_eq (caller.response.ptr[caller.response.len - 1], '\n');
  ck_assert_uint_eq (count_upstream_requests (&f), 3);
  caller_free (&f, &caller);
  gateway_fixture_teardown (&f);
}
END_TEST

/* Request PATH of F, whose instance answers with a low confidence first.
   Return whether the caller got that answer.  */
static bool
request_with_low_confidence (gateway_fixture_t *f, const char *path)
{
  static const fake_action_t acts[]
      = { ACT_STREAM_LOW_CONFIDENCE, ACT_STREAM };
  caller_t caller;

  fake_upstream_script (f->upstreams[0], acts, 2);
  gateway_fixture_request (f, &caller, "POST", path,
                           REQUEST_HEADERS "vanillahook-model: *\r\n", "{}");
  ck_assert_int_eq (caller_status (&caller), 200);
  bool is_low = caller_response_contains (&caller, "confidence");
  caller_free (f, &caller);
  return is_low;
}

/* The small model has low confidence in its response: the caller must receive
   only the response of the large model.  A confident response of the small
   model must not cause a second send.  */
START_TEST (low_confidence_escalates_to_larger_model)
{
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 1);
  ck_assert (!request_with_low_confidence (&f, "/chat/"));
  ck_assert_uint_eq (count_upstream_requests (&f), 2);
  ck_assert_ptr_nonnull (strstr (fake_upstream_last_request (f.upstreams[0]),
                                 "vanillahook-model: large\r\n"));
  gateway_fixture_request (&f, &caller, "POST", "/chat/", REQUEST_HEADERS,
                           "{}");
  ck_assert_uint_eq (count_upstream_requests (&f), 3);
  ck_assert_ptr_nonnull (strstr (fake_upstream_last_request (f.upstreams[0]),
                                 "vanillahook-model: small\r\n"));
  caller_free (&f, &caller);
  gateway_fixture_teardown (&f);
}
END_TEST

/* A stream that may run once at most must not run again for a larger model,
   and its caller gets the answer of the first.  */
START_TEST (low_confidence_repeats_no_unrepeatable_stream)
{
  gateway_fixture_t f;

  gateway_fixture_setup (&f, 1);
  ck_assert (request_with_low_confidence (&f, "/tell/"));
  ck_assert_uint_eq (count_upstream_requests (&f), 1);
  gateway_fixture_teardown (&f);
}
END_TEST

/* An instance answers 503 and does not say that it has not run the request.  A
   caller takes 503 for that and sends the request again, so it must not get it
   for a request that may run once at most.  */
START_TEST (unproved_refusal_is_no_refusal)
{
  static const fake_action_t busy[] = { ACT_BUSY };
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 1);
  fake_upstream_script (f.upstreams[0], busy, 1);
  gateway_fixture_request (&f, &caller, "POST", "/book/", REQUEST_HEADERS, "");
  ck_assert_int_eq (caller_status (&caller), 502);
  ck_assert (caller_response_contains (&caller, "unknown"));
  ck_assert (!caller_response_contains (&caller, "retry-after"));
  ck_assert_uint_eq (count_upstream_requests (&f), 1);
  caller_free (&f, &caller);
  gateway_fixture_teardown (&f);
}
END_TEST

/* A caller sets the urgency header to get ahead of other requests.  The
   urgency sent to the engine must follow from the priority of the route
   instead.  */
START_TEST (caller_cannot_set_urgency)
{
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 1);
  gateway_fixture_request (&f, &caller, "POST", "/chat/",
                           REQUEST_HEADERS "vanillahook-urgency: 0\r\n", "{}");
  ck_assert_ptr_nonnull (strstr (fake_upstream_last_request (f.upstreams[0]),
                                 "vanillahook-urgency: 3\r\n"));
  ck_assert_ptr_null (strstr (fake_upstream_last_request (f.upstreams[0]),
                              "vanillahook-urgency: 0\r\n"));
  caller_free (&f, &caller);
  gateway_fixture_teardown (&f);
}
END_TEST

/* After a crash of all gateway processes callers retry before the
   configuration is loaded.  A rejection would be final for them, so the
   request must wait for the tenth of a second that loading takes.  */
START_TEST (request_waits_for_first_configuration)
{
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup_without_store (&f, 1);
  script_all (&f, ACT_STREAM);
  caller_start (&f, &caller, "POST", "/chat/", REQUEST_HEADERS, "{}");
  uint64_t start_ms = uv_now (&f.loop);
  gateway_fixture_wait (&f, uv_now (&f.loop) - start_ms >= 100);
  ck_assert_int_eq (caller_status (&caller), 0);
  fake_rows_set_down (f.rows, false);
  gateway_fixture_wait (&f, caller.closed);
  ck_assert_int_eq (caller_status (&caller), 200);
  caller_free (&f, &caller);
  gateway_fixture_teardown (&f);
}
END_TEST

/* A gateway starts while the store is unavailable.  The first request must be
   rejected within about a second, later ones at once.  */
START_TEST (start_without_store_rejects_soon)
{
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup_without_store (&f, 1);
  uint64_t start_ms = uv_now (&f.loop);
  gateway_fixture_request (&f, &caller, "POST", "/chat/", REQUEST_HEADERS,
                           "{}");
  ck_assert_int_eq (caller_status (&caller), 503);
  ck_assert (caller_response_contains (&caller, "retry-after: "));
  ck_assert_uint_lt (uv_now (&f.loop) - start_ms, 1200);
  caller_free (&f, &caller);
  start_ms = uv_now (&f.loop);
  gateway_fixture_request (&f, &caller, "POST", "/chat/", REQUEST_HEADERS,
                           "{}");
  ck_assert_int_eq (caller_status (&caller), 503);
  ck_assert_uint_lt (uv_now (&f.loop) - start_ms, 200);
  caller_free (&f, &caller);
  gateway_fixture_teardown (&f);
}
END_TEST

/* A caller disconnects before the response or in the middle of a stream.  The
   call to the upstream must be cancelled at once, not at the deadline.  */
START_TEST (disconnect_cancels_upstream_request)
{
  static const fake_action_t acts[] = { ACT_NO_RESPONSE, ACT_STREAM_STALL };
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 1);
  for (size_t i = 0; i < 2; i++)
    {
      script_all (&f, acts[i]);
      caller_start (&f, &caller, "POST", "/chat/", REQUEST_HEADERS, "{}");
      gateway_fixture_wait (&f, count_upstream_requests (&f) == i + 1);
      caller_disconnect (&caller);
      uint64_t disconnected_ms = uv_now (&f.loop);
      gateway_fixture_wait (&f, fake_upstream_abort_count (f.upstreams[0])
                                    == i + 1);
      ck_assert_uint_lt (uv_now (&f.loop) - disconnected_ms, 400);
      caller_free (&f, &caller);
    }
  gateway_fixture_teardown (&f);
}
END_TEST

/* A caller that does not read resets its connection after the upstream has
   finished, while the end of the response is still in the write queue.  The
   disconnect callback then used the freed relay, and the process crashed.  */
START_TEST (disconnect_during_last_write_does_not_crash)
{
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 1);
  script_all (&f, ACT_STREAM_BIG_EVENT);
  for (size_t i = 0; i < 4; i++)
    {
      caller_start_without_reading (&f, &caller, "/chat/", REQUEST_HEADERS);
      gateway_fixture_wait (&f, count_upstream_requests (&f) == i + 1);
      run_loop_for (&f, 200);
      caller_reset (&caller);
      run_loop_for (&f, 100);
      caller_free (&f, &caller);
    }
  ck_assert_int_eq (gateway_fixture_ready_status (&f), 200);
  gateway_fixture_teardown (&f);
}
END_TEST

/* An upstream never responds to a request that must not run twice.  The caller
   must receive 504 at the route's timeout, because the request may have
   run.  */
START_TEST (silent_upstream_times_out)
{
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 2);
  script_all (&f, ACT_NO_RESPONSE);
  uint64_t start_ms = uv_now (&f.loop);
  gateway_fixture_request (&f, &caller, "POST", "/book/", REQUEST_HEADERS,
                           "pay");
  uint64_t ms = uv_now (&f.loop) - start_ms;
  ck_assert_int_eq (caller_status (&caller), 504);
  ck_assert_uint_ge (ms, 590);
  ck_assert_uint_lt (ms, 900);
  ck_assert_uint_eq (count_upstream_requests (&f), 1);
  caller_free (&f, &caller);
  gateway_fixture_teardown (&f);
}
END_TEST

/* An operator replaces an API key.  The old key must be rejected and the new
   one accepted.  */
START_TEST (revoked_key_is_rejected)
{
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 1);
  fake_rows_put (f.rows, ROWS_OPERATOR, "catalog", "2 key-2");
  run_loop_for (&f, 100);
  gateway_fixture_request (&f, &caller, "GET", "/read/", REQUEST_HEADERS, "");
  ck_assert_int_eq (caller_status (&caller), 401);
  caller_free (&f, &caller);
  gateway_fixture_request (&f, &caller, "GET", "/read/",
                           ATTEMPT_HEADER "Authorization: Bearer key-2\r\n",
                           "");
  ck_assert_int_eq (caller_status (&caller), 200);
  caller_free (&f, &caller);
  gateway_fixture_teardown (&f);
}
END_TEST

/* The store loses its history and for some time returns an old state, with a
   revoked key.  The configuration in force must not be replaced by the old
   one.  */
START_TEST (stale_read_does_not_revert_configuration)
{
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 1);
  uint64_t count_before = fake_rows_version (f.rows);
  fake_rows_put (f.rows, ROWS_OPERATOR, "catalog", "2 key-2");
  run_loop_for (&f, 100);
  fake_rows_set_stale_version (f.rows, count_before);
  fake_rows_drop_history (f.rows);
  run_loop_for (&f, 300);
  gateway_fixture_request (&f, &caller, "GET", "/read/", REQUEST_HEADERS, "");
  ck_assert_int_eq (caller_status (&caller), 401);
  caller_free (&f, &caller);
  gateway_fixture_teardown (&f);
}
END_TEST

/* The store is unavailable for longer than the configuration's confirmation is
   valid, and a key may have been revoked since then.  Requests with a key must
   get 503 as not run, public routes must work, the readiness check must fail,
   and the gateway must become ready again once the store is back.  */
START_TEST (keys_are_refused_without_recent_confirmation)
{
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 1);
  fake_rows_set_down (f.rows, true);
  run_loop_for (&f, 1000);
  gateway_fixture_request (&f, &caller, "GET", "/read/", REQUEST_HEADERS, "");
  ck_assert_int_eq (caller_status (&caller), 200);
  caller_free (&f, &caller);
  run_loop_for (&f, 3200);
  gateway_fixture_request (&f, &caller, "GET", "/read/", REQUEST_HEADERS, "");
  ck_assert_int_eq (caller_status (&caller), 503);
  ck_assert (caller_response_contains (&caller, "not-run"));
  caller_free (&f, &caller);
  gateway_fixture_request (&f, &caller, "GET", "/open/", ATTEMPT_HEADER, "");
  ck_assert_int_eq (caller_status (&caller), 200);
  caller_free (&f, &caller);
  ck_assert_int_eq (gateway_fixture_ready_status (&f), 503);
  fake_rows_set_down (f.rows, false);
  gateway_fixture_wait (&f, gateway_fixture_ready_status (&f) == 200);
  gateway_fixture_teardown (&f);
}
END_TEST

/* The store is unavailable for some seconds.  The gateway must poll only one
   table, because many gateway processes that poll all tables overload a store
   that is recovering.  Once it is back, all tables must be read at once.  */
START_TEST (outage_is_polled_with_one_table)
{
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 2);
  fake_rows_set_down (f.rows, true);
  run_loop_for (&f, 4000);
  size_t count_before = fake_rows_call_count (f.rows);
  run_loop_for (&f, 3000);
  ck_assert_uint_le (fake_rows_call_count (f.rows) - count_before, 11);
  gateway_fixture_register (&f, 0, "v1", "draining");
  fake_rows_set_down (f.rows, false);
  gateway_fixture_wait (&f, gateway_fixture_ready_status (&f) == 200);
  run_loop_for (&f, 200);
  for (int i = 0; i < 4; i++)
    {
      gateway_fixture_request (&f, &caller, "GET", "/read/", REQUEST_HEADERS,
                               "");
      ck_assert (caller_response_contains (&caller, "by up-1"));
      caller_free (&f, &caller);
    }
  gateway_fixture_teardown (&f);
}
END_TEST

/* One upstream starts draining and the registration of another is removed,
   while the store loses its history.  Neither must receive new requests.  */
START_TEST (draining_upstream_gets_no_requests)
{
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 3);
  gateway_fixture_register (&f, 0, "v1", "draining");
  fake_rows_remove (f.rows, ROWS_INSTANCES, "app-1");
  fake_rows_drop_history (f.rows);
  run_loop_for (&f, 300);
  for (int i = 0; i < 6; i++)
    {
      gateway_fixture_request (&f, &caller, "GET", "/read/", REQUEST_HEADERS,
                               "");
      ck_assert (caller_response_contains (&caller, "by up-2"));
      caller_free (&f, &caller);
    }
  gateway_fixture_teardown (&f);
}
END_TEST

/* Put a configuration that takes GATEWAY_FIXTURE_PARSE_MS to load and whose
   only key is key-2.  */
static void
revoke_by_long_configuration (gateway_fixture_t *f)
{
  static const char head[] = "2 key-2 ";
  static char text[LOADER_ASYNC_BYTES_MIN + 32];

  for (size_t i = 0; i < sizeof text - 1; i++)
    text[i] = i < sizeof head - 1 ? head[i] : 'x';
  fake_rows_put (f->rows, ROWS_OPERATOR, "catalog", text);
}

/* Return the status of a request with key-1.  */
static int
status_with_first_key (gateway_fixture_t *f)
{
  caller_t caller;

  gateway_fixture_request (f, &caller, "GET", "/read/", REQUEST_HEADERS, "");
  int status = caller_status (&caller);
  caller_free (f, &caller);
  return status;
}

/* A key is revoked by a configuration that takes seconds to load.  Meanwhile
   the store confirms its newest state, which is not yet in force at the
   gateway.  The confirmations must not keep the key valid, and the key must be
   rejected once the configuration is in force.  */
START_TEST (loading_configuration_ages_keys)
{
  gateway_fixture_t f;

  gateway_fixture_setup (&f, 1);
  revoke_by_long_configuration (&f);
  run_loop_for (&f, 300);
  ck_assert_int_eq (status_with_first_key (&f), 200);
  run_loop_for (&f, GATEWAY_FIXTURE_MAX_AGE_MS - 300);
  ck_assert_int_eq (status_with_first_key (&f), 503);
  gateway_fixture_wait (&f, gateway_fixture_ready_status (&f) == 200);
  ck_assert_int_eq (status_with_first_key (&f), 401);
  gateway_fixture_teardown (&f);
}
END_TEST

/* A key is revoked while the gateway is cut off from the store for longer than
   keys are trusted.  When the cut is over, it must not accept the key again
   while it loads the configuration that revoked it.  */
START_TEST (key_revoked_behind_cut_stays_revoked)
{
  gateway_fixture_t f;

  gateway_fixture_setup (&f, 1);
  ck_assert_int_eq (status_with_first_key (&f), 200);
  fake_rows_set_down (f.rows, true);
  run_loop_for (&f, GATEWAY_FIXTURE_MAX_AGE_MS + 200);
  ck_assert_int_eq (status_with_first_key (&f), 503);
  revoke_by_long_configuration (&f);
  fake_rows_set_down (f.rows, false);
  gateway_fixture_wait (&f,
                        gateway_fixture_metric (
                            &f, "vanillahook_gateway_revision_reading_seconds")
                            > 0);
  ck_assert_int_eq (status_with_first_key (&f), 503);
  gateway_fixture_wait (&f, gateway_fixture_ready_status (&f) == 200);
  ck_assert_int_eq (status_with_first_key (&f), 401);
  gateway_fixture_teardown (&f);
}
END_TEST

/* The registration of a running upstream expires during an outage of the
   store. The upstream must stay usable for a grace period after the outage, in
   which it would register again, and must get no requests afterwards.  */
START_TEST (expired_registrations_stay_usable_after_outage)
{
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 1);
  fake_rows_set_down (f.rows, true);
  run_loop_for (&f, 300);
  fake_rows_remove (f.rows, ROWS_INSTANCES, "app-0");
  fake_rows_set_down (f.rows, false);
  uint64_t start_ms = uv_now (&f.loop);
  gateway_fixture_wait (&f, gateway_fixture_ready_status (&f) == 200);
  run_loop_for (&f, 900 - (uv_now (&f.loop) - start_ms));
  gateway_fixture_request (&f, &caller, "GET", "/read/", REQUEST_HEADERS, "");
  ck_assert_int_eq (caller_status (&caller), 200);
  caller_free (&f, &caller);
  run_loop_for (&f, 2400);
  gateway_fixture_request (&f, &caller, "GET", "/read/", REQUEST_HEADERS, "");
  ck_assert_int_eq (caller_status (&caller), 503);
  ck_assert (caller_response_contains (&caller, "retry-after"));
  caller_free (&f, &caller);
  gateway_fixture_teardown (&f);
}
END_TEST

/* An instance is removed while the gateway has no connection to the store.
   Afterwards the configuration is read at once, but the instances only 1.5 s
   later, because that call hangs on a dead connection.  The grace period for
   expired registrations must count from the return of the store, not from the
   late read.  */
START_TEST (late_read_does_not_extend_registration_grace)
{
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 1);
  fake_rows_set_down (f.rows, true);
  run_loop_for (&f, 300);
  fake_rows_remove (f.rows, ROWS_INSTANCES, "app-0");
  fake_rows_set_stalled (f.rows, ROWS_INSTANCES, true);
  fake_rows_set_down (f.rows, false);
  gateway_fixture_wait (&f, gateway_fixture_ready_status (&f) == 200);
  run_loop_for (&f, 1500);
  fake_rows_set_stalled (f.rows, ROWS_INSTANCES, false);
  run_loop_for (&f, 1000);
  gateway_fixture_request (&f, &caller, "GET", "/read/", REQUEST_HEADERS, "");
  ck_assert_int_eq (caller_status (&caller), 503);
  caller_free (&f, &caller);
  gateway_fixture_teardown (&f);
}
END_TEST

START_TEST (excluded_zone_gets_no_requests)
{
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 1);
  fake_rows_put (f.rows, ROWS_OPERATOR, "zone/zone-a", "");
  run_loop_for (&f, 100);
  gateway_fixture_request (&f, &caller, "GET", "/read/", REQUEST_HEADERS, "");
  ck_assert_int_eq (caller_status (&caller), 503);
  ck_assert_uint_eq (count_upstream_requests (&f), 0);
  caller_free (&f, &caller);
  fake_rows_remove (f.rows, ROWS_OPERATOR, "zone/zone-a");
  run_loop_for (&f, 100);
  gateway_fixture_request (&f, &caller, "GET", "/read/", REQUEST_HEADERS, "");
  ck_assert_int_eq (caller_status (&caller), 200);
  caller_free (&f, &caller);
  gateway_fixture_teardown (&f);
}
END_TEST

/* Another writer stores malformed registrations, a malformed configuration and
   a malformed roll-out.  They must be ignored, and the previous state must
   stay in force.  */
START_TEST (malformed_rows_are_ignored)
{
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 1);
  fake_rows_put (f.rows, ROWS_INSTANCES, "app-9", "garbage");
  fake_rows_put (f.rows, ROWS_INSTANCES, "app-8",
                 "app nowhere zone-a v1 ready");
  fake_rows_put (f.rows, ROWS_INSTANCES, "app-7",
                 "app 127.0.0.1:65536 zone-a v1 ready");
  fake_rows_put (f.rows, ROWS_OPERATOR, "catalog", "garbage");
  fake_rows_put (f.rows, ROWS_OPERATOR, "rollout/app", "garbage");
  fake_rows_put (f.rows, ROWS_OPERATOR, "unheard-of", "garbage");
  run_loop_for (&f, 100);
  for (int i = 0; i < 4; i++)
    {
      gateway_fixture_request (&f, &caller, "GET", "/read/", REQUEST_HEADERS,
                               "");
      ck_assert_int_eq (caller_status (&caller), 200);
      caller_free (&f, &caller);
    }
  gateway_fixture_teardown (&f);
}
END_TEST

/* A planned stop begins during a stream.  The readiness check must fail at
   once, the stream must complete, new requests must be served for the grace
   period and then rejected as not run, and the stop must finish by itself.  */
START_TEST (planned_stop_aborts_no_request)
{
  static const fake_action_t acts[] = { ACT_STREAM_STALL, ACT_STREAM };
  gateway_fixture_t f;
  caller_t stream;
  caller_t caller;

  gateway_fixture_setup (&f, 1);
  fake_upstream_script (f.upstreams[0], acts, 2);
  caller_start (&f, &stream, "POST", "/chat/", REQUEST_HEADERS, "{}");
  gateway_fixture_wait (&f, count_upstream_requests (&f) == 1);
  begin_stop (&f);
  ck_assert_int_eq (gateway_fixture_ready_status (&f), 503);
  fake_upstream_script (f.upstreams[0], acts + 1, 1);
  gateway_fixture_request (&f, &caller, "POST", "/chat/", REQUEST_HEADERS,
                           "{}");
  ck_assert_int_eq (caller_status (&caller), 200);
  caller_free (&f, &caller);
  run_loop_for (&f, 600);
  gateway_fixture_request (&f, &caller, "POST", "/chat/", REQUEST_HEADERS,
                           "{}");
  ck_assert_int_eq (caller_status (&caller), 503);
  ck_assert (caller_response_contains (&caller, "not-run"));
  caller_free (&f, &caller);
  gateway_fixture_wait (&f, stream.closed);
  ck_assert (caller_response_contains (&stream, "data: e5\n"));
  ck_assert (caller_response_contains (&stream, "\r\n0\r\n\r\n"));
  gateway_fixture_wait (&f, gateway_is_stopped (f.gateway));
  caller_free (&f, &stream);
  gateway_fixture_teardown (&f);
}
END_TEST

/* A working version is rolled out.  It must receive requests, which begins
   after the first half of the time limit, and the roll-out must finish.  */
START_TEST (working_version_is_rolled_out)
{
  static const fake_action_t stream[] = { ACT_STREAM };
  gateway_fixture_t f;

  gateway_fixture_setup (&f, 2);
  fake_upstream_script (f.upstreams[0], stream, 1);
  fake_upstream_script (f.upstreams[1], stream, 1);
  gateway_fixture_register (&f, 1, "v2", "ready");
  fake_rows_put (f.rows, ROWS_OPERATOR, "rollout/llm", "llm v2 12000");
  run_loop_for (&f, 100);
  request_until_status (&f, "v2 running");
  size_t count_before = fake_upstream_request_count (f.upstreams[1]);
  request_until_status (&f, "v2 done");
  ck_assert_uint_gt (fake_upstream_request_count (f.upstreams[1]),
                     count_before);
  gateway_fixture_teardown (&f);
}
END_TEST

/* The first row of a roll-out is written seconds late, because the writer has
   lost its connection to the store.  The time limit must still count from the
   operator's request.  */
START_TEST (late_rollout_row_keeps_time_limit)
{
  enum
  {
    WRITE_DELAY_MS = 1500,
    NOTICE_MS = 700
  };
  gateway_fixture_t f;
  uint64_t rollout_id;
  uint64_t start_ms;
  str_t rest;

  gateway_fixture_setup (&f, 2);
  run_loop_for (&f, 500);
  uint64_t ordered_ms = fake_rows_now_ms (f.rows);
  fake_rows_set_refusing_writes (f.rows, true);
  fake_rows_put (f.rows, ROWS_OPERATOR, "rollout/llm", "llm v2 12000");
  run_loop_for (&f, WRITE_DELAY_MS);
  ck_assert_ptr_null (fake_rows_get (f.rows, ROWS_SHARED, "rollout/llm"));
  fake_rows_set_refusing_writes (f.rows, false);
  for (int i = 0; i < 50; i++)
    if (fake_rows_get (f.rows, ROWS_SHARED, "rollout/llm") == NULL)
      run_loop_for (&f, 100);
  str_t text = str_from (fake_rows_get (f.rows, ROWS_SHARED, "rollout/llm"));
  ck_assert (str_to_u64 (str_cut (text, ' ', &rest), &rollout_id));
  ck_assert (str_to_u64 (str_cut (rest, ' ', &rest), &start_ms));
  ck_assert_uint_ge (start_ms + 50, ordered_ms);
  ck_assert_uint_le (start_ms, ordered_ms + NOTICE_MS);
  gateway_fixture_teardown (&f);
}
END_TEST

/* A version that fails every request is rolled out.  It must be rolled back
   and get no requests afterwards, and callers must see no failure, because
   failed requests are sent again to the old version.  */
START_TEST (failing_version_is_rolled_back)
{
  static const fake_action_t stream[] = { ACT_STREAM };
  static const fake_action_t error[] = { ACT_ERROR };
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 2);
  fake_upstream_script (f.upstreams[0], stream, 1);
  fake_upstream_script (f.upstreams[1], error, 1);
  failed_request_count = 0;
  gateway_fixture_register (&f, 1, "v2", "ready");
  fake_rows_put (f.rows, ROWS_OPERATOR, "rollout/llm", "llm v2 12000");
  run_loop_for (&f, 100);
  request_until_status (&f, "v2 taken-back");
  ck_assert_uint_eq (failed_request_count, 0);
  size_t sent_before = fake_upstream_request_count (f.upstreams[1]);
  ck_assert_uint_gt (sent_before, 0);
  /* The limit on requests a second to one upstream applies to all callers
     together, so wait until it allows requests again.  */
  run_loop_for (&f, 1000);
  for (int i = 0; i < 20; i++)
    {
      gateway_fixture_request (&f, &caller, "POST", "/chat/", REQUEST_HEADERS,
                               "{}");
      ck_assert_int_eq (caller_status (&caller), 200);
      caller_free (&f, &caller);
    }
  ck_assert_uint_eq (fake_upstream_request_count (f.upstreams[1]),
                     sent_before);
  gateway_fixture_teardown (&f);
}
END_TEST

int
main (void)
{
  signal (SIGPIPE, SIG_IGN);
  Suite *suite = suite_create ("gateway");
  TCase *tcase = tcase_create ("gateway");
  TCase *threads = tcase_create ("threads");

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, virtual_time_setup, virtual_time_teardown);
  tcase_add_test (tcase,
                  response_and_request_are_forwarded_without_forged_headers);
  tcase_add_test (tcase, invalid_requests_are_rejected);
  tcase_add_test (tcase, headers_of_a_response_are_dropped);
  tcase_add_test (tcase, non_idempotent_request_is_sent_once);
  tcase_add_test (tcase, request_not_run_is_retried_or_refused);
  tcase_add_test (tcase, full_upstream_gets_one_send_per_request);
  tcase_add_test (tcase, idempotent_request_is_retried);
  tcase_add_test (tcase, interrupted_stream_is_resumed);
  tcase_add_test (tcase, stalled_stream_is_resumed);
  tcase_add_test (tcase, late_stream_moves_to_other_upstream);
  tcase_add_test (tcase, stalled_stream_moves_before_its_timeout);
  tcase_add_test (tcase, late_stream_stays);
  tcase_add_test (tcase, reported_times_decide_on_moves);
  tcase_add_test (tcase, late_stream_stays_if_other_upstream_is_limited);
  tcase_add_test (tcase, late_stream_stays_if_other_upstream_is_ejected);
  tcase_add_test (tcase, late_stream_stays_during_trial);
  tcase_add_test (tcase, moves_eject_no_upstream);
  tcase_add_test (tcase, late_stream_stays_at_end_of_stop);
  tcase_add_test (tcase, suspected_stream_stays);
  tcase_add_test (tcase, stream_in_time_stays);
  tcase_add_test (tcase, moved_stream_waits_for_upstream);
  tcase_add_test (tcase, stream_stays_at_busy_engine);
  tcase_add_test (tcase, stream_leaves_unreachable_engine);
  tcase_add_test (tcase, interrupted_stream_waits_for_free_slot);
  tcase_add_test (tcase, failed_stream_is_visibly_incomplete);
  tcase_add_test (tcase, low_confidence_escalates_to_larger_model);
  tcase_add_test (tcase, probe_does_not_delay_deadline);
  tcase_add_test (tcase, low_confidence_repeats_no_unrepeatable_stream);
  tcase_add_test (tcase, unproved_refusal_is_no_refusal);
  tcase_add_test (tcase, caller_cannot_set_urgency);
  tcase_add_test (tcase, request_waits_for_first_configuration);
  tcase_add_test (tcase, start_without_store_rejects_soon);
  tcase_add_test (tcase, disconnect_cancels_upstream_request);
  tcase_add_test (tcase, disconnect_during_last_write_does_not_crash);
  tcase_add_test (tcase, silent_upstream_times_out);
  tcase_add_test (tcase, revoked_key_is_rejected);
  tcase_add_test (tcase, stale_read_does_not_revert_configuration);
  tcase_add_test (tcase, keys_are_refused_without_recent_confirmation);
  tcase_add_test (tcase, outage_is_polled_with_one_table);
  tcase_add_test (tcase, draining_upstream_gets_no_requests);
  tcase_add_test (tcase, expired_registrations_stay_usable_after_outage);
  tcase_add_test (tcase, late_read_does_not_extend_registration_grace);
  tcase_add_test (tcase, excluded_zone_gets_no_requests);
  tcase_add_test (tcase, malformed_rows_are_ignored);
  tcase_add_test (tcase, planned_stop_aborts_no_request);
  tcase_add_test (tcase, working_version_is_rolled_out);
  tcase_add_test (tcase, late_rollout_row_keeps_time_limit);
  tcase_add_test (tcase, failing_version_is_rolled_back);
  /* Needs a thread that is busy for seconds.  */
  tcase_set_timeout (threads, 60);
  tcase_add_test (threads, loading_configuration_ages_keys);
  tcase_add_test (threads, key_revoked_behind_cut_stays_revoked);
  suite_add_tcase (suite, tcase);
  suite_add_tcase (suite, threads);
  return suite_run (suite);
}
