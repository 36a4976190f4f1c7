/* Tests of a gateway whose upstreams send responses without an end, fast or a
   few bytes at a time.  Sockets are real, time is virtual.  */

#include "gateway_fixture.h"
#include "suite.h"
#include "virtual_time.h"
#include "wire/http_exchange.h"

#include <malloc.h>
#include <signal.h>
#include <stdio.h>

#define REQUEST_HEADERS                                                       \
  "Authorization: Bearer key-1\r\nvanillahook-attempt-id: a1\r\n"

enum
{
  /* The routes of the fixture: objectives, longest gap between events and
     timeouts.  */
  CHAT_OBJECTIVE_MS = 600,
  CHAT_GAP_MS = 500,
  CHAT_TIMEOUT_MS = 3000,
  READ_OBJECTIVE_MS = 300,
  READ_TIMEOUT_MS = 1500,
  /* What a stream without an event may take.  */
  FIRST_EVENT_MS = 2 * CHAT_OBJECTIVE_MS,
  NEXT_EVENT_MS = 3 * CHAT_GAP_MS,
  /* Probes and events of the loop.  */
  SLACK_MS = 300,
  /* Parts of a response that is sent fast, and a response of which the bounds
     are reached within this time.  */
  FAST_BYTES = 256 * 1024,
  FAST_MS = 200,
  PLAIN_BODY_BYTES_MAX = 8 << 20,
  /* Requests at once, one for each slot of the upstreams, and the memory that
     they may take.  */
  MANY_UPSTREAMS = 4,
  MANY = MANY_UPSTREAMS * 32,
  MANY_HEADS = 400,
  SLOW_CALLERS = 48,
  SLOW_PART_BYTES = 262144,
  SLOW_EVENT_MS = 50,
  RESPONSE_MEMORY_MAX = 32 << 20,
  HEADS_MEMORY_MAX = 8 << 20,
  /* Memory beside the bounds: the largest buffer that grows, and connections
     of gateway, callers and upstreams.  */
  OTHER_MEMORY_MAX = 12 << 20,
  /* With one unread part of each upstream.  */
  SLOW_OTHER_MEMORY_MAX = OTHER_MEMORY_MAX + SLOW_CALLERS * SLOW_PART_BYTES
};

typedef struct
{
  gateway_fixture_t f;
  caller_t caller;
  uint64_t took_ms;
} run_t;

/* Send a request for PATH to a gateway with one upstream that responds to the
   first send with ACTION, in parts of BYTES, and to the second with NEXT.  */
static void
run_request (run_t *run, const char *path, fake_action_t action, size_t bytes,
             fake_action_t next)
{
  const fake_action_t acts[] = { action, next };

  gateway_fixture_setup (&run->f, 1);
  fake_upstream_script (run->f.upstreams[0], acts, 2);
  fake_upstream_set_endless_bytes (run->f.upstreams[0], bytes);
  uint64_t start_ms = uv_now (&run->f.loop);
  gateway_fixture_request (&run->f, &run->caller, "POST", path,
                           REQUEST_HEADERS, "{}");
  run->took_ms = uv_now (&run->f.loop) - start_ms;
}

static void
end_run (run_t *run)
{
  caller_free (&run->f, &run->caller);
  gateway_fixture_teardown (&run->f);
}

static void
check_whole_stream (const run_t *run)
{
  ck_assert_int_eq (caller_status (&run->caller), 200);
  for (int id = 1; id <= 5; id++)
    {
      char event[32];
      snprintf (event, sizeof event, "data: e%d\n", id);
      const char *at = strstr (run->caller.response.ptr, event);
      ck_assert_ptr_nonnull (at);
      ck_assert_ptr_null (strstr (at + 1, event));
    }
  ck_assert (caller_response_contains (&run->caller, "\r\n0\r\n\r\n"));
}

/* Check that one response was counted as left, and that its memory was
   released.  */
static void
check_metrics (run_t *run)
{
  ck_assert_double_eq (
      gateway_fixture_metric (&run->f,
                              "vanillahook_gateway_unbounded_responses_total"),
      1);
  ck_assert_double_eq (
      gateway_fixture_metric (&run->f,
                              "vanillahook_gateway_response_memory_bytes"),
      0);
}

/* Check that a stream whose first response is ACTION, in parts of BYTES, comes
   whole from a second send, within MAX_MS, and that the first response is
   cancelled.  */
static void
check_stream_leaves (fake_action_t action, size_t bytes, uint64_t max_ms)
{
  run_t run;

  run_request (&run, "/chat/", action, bytes, ACT_STREAM);
  check_whole_stream (&run);
  ck_assert_uint_lt (run.took_ms, max_ms);
  ck_assert_uint_eq (fake_upstream_request_count (run.f.upstreams[0]), 2);
  gateway_fixture_wait (&run.f,
                        fake_upstream_abort_count (run.f.upstreams[0]) == 1);
  check_metrics (&run);
  end_run (&run);
}

/* The same for an idempotent request to a plain service.  */
static void
check_plain_leaves (fake_action_t action, size_t bytes, uint64_t max_ms)
{
  run_t run;

  run_request (&run, "/read/", action, bytes, ACT_RESPOND);
  ck_assert_int_eq (caller_status (&run.caller), 200);
  ck_assert (caller_response_contains (&run.caller, "by up-0"));
  ck_assert_uint_lt (run.took_ms, max_ms);
  ck_assert_uint_eq (fake_upstream_request_count (run.f.upstreams[0]), 2);
  gateway_fixture_wait (&run.f,
                        fake_upstream_abort_count (run.f.upstreams[0]) == 1);
  check_metrics (&run);
  end_run (&run);
}

/* Streams: bytes without an event.  */

/* The caller got a 200 and nothing but comments until its time was over.  */
START_TEST (comments_without_an_event_keep_the_caller)
{
  check_stream_leaves (ACT_ENDLESS_COMMENTS, 0, FIRST_EVENT_MS + SLACK_MS);
}
END_TEST

START_TEST (comments_after_two_events_keep_the_caller)
{
  check_stream_leaves (ACT_ENDLESS_COMMENTS_LATER, 0,
                       NEXT_EVENT_MS + SLACK_MS);
}
END_TEST

START_TEST (fast_comments_keep_the_caller)
{
  check_stream_leaves (ACT_ENDLESS_COMMENTS, FAST_BYTES, FAST_MS);
}
END_TEST

START_TEST (endless_comment_line_keeps_the_caller)
{
  check_stream_leaves (ACT_ENDLESS_COMMENT, 0, FIRST_EVENT_MS + SLACK_MS);
}
END_TEST

START_TEST (endless_event_keeps_the_caller)
{
  check_stream_leaves (ACT_ENDLESS_EVENT, 0, FIRST_EVENT_MS + SLACK_MS);
}
END_TEST

START_TEST (endless_event_after_two_events_keeps_the_caller)
{
  check_stream_leaves (ACT_ENDLESS_EVENT_LATER, 0, NEXT_EVENT_MS + SLACK_MS);
}
END_TEST

START_TEST (fast_endless_event_takes_memory)
{
  check_stream_leaves (ACT_ENDLESS_EVENT, FAST_BYTES, FAST_MS);
}
END_TEST

/* Comments between the events of a healthy stream, in a pause that is longer
   than the route's: the stream must stay, as without comments.  */
START_TEST (healthy_stream_with_comments_is_left)
{
  run_t run;

  run_request (&run, "/chat/", ACT_STREAM_COMMENTED, 0, ACT_ERROR);
  check_whole_stream (&run);
  ck_assert (caller_response_contains (&run.caller, ": c\n\n"));
  ck_assert_uint_eq (fake_upstream_request_count (run.f.upstreams[0]), 1);
  end_run (&run);
}
END_TEST

/* A caller reads nothing for longer than an upstream is asked whether it is
   there, and then goes on; the upstream sends nothing more.  No timeout ran
   after the caller's pause, and the stream ended at the time limit.  */
START_TEST (stall_after_a_slow_caller_keeps_the_caller)
{
  enum
  {
    CALLER_PAUSE_MS = 700
  };
  static const fake_action_t acts[] = { ACT_STREAM_BIG_STALL, ACT_STREAM };
  run_t run;

  gateway_fixture_setup (&run.f, 1);
  fake_upstream_script (run.f.upstreams[0], acts, 2);
  uint64_t start_ms = uv_now (&run.f.loop);
  caller_start_without_reading (&run.f, &run.caller, "/chat/",
                                REQUEST_HEADERS "Connection: close\r\n");
  gateway_fixture_wait (&run.f,
                        uv_now (&run.f.loop) - start_ms >= CALLER_PAUSE_MS);
  caller_begin_reading (&run.caller);
  gateway_fixture_wait (&run.f, run.caller.closed);
  ck_assert (caller_response_contains (&run.caller, "data: e5\n"));
  ck_assert (caller_response_contains (&run.caller, "\r\n0\r\n\r\n"));
  ck_assert_uint_ge (uv_now (&run.f.loop) - start_ms,
                     CALLER_PAUSE_MS + NEXT_EVENT_MS);
  ck_assert_uint_lt (uv_now (&run.f.loop) - start_ms,
                     CALLER_PAUSE_MS + NEXT_EVENT_MS + SLACK_MS);
  end_run (&run);
}
END_TEST

/* Response heads.  */

START_TEST (head_a_byte_at_a_time_keeps_the_caller)
{
  check_stream_leaves (ACT_ENDLESS_HEADER_LINE, 0, FIRST_EVENT_MS + SLACK_MS);
  check_plain_leaves (ACT_ENDLESS_HEADER_LINE, 0,
                      READ_OBJECTIVE_MS + SLACK_MS);
}
END_TEST

START_TEST (endless_header_line_takes_memory)
{
  check_stream_leaves (ACT_ENDLESS_HEADER_LINE, FAST_BYTES, FAST_MS);
}
END_TEST

START_TEST (endless_header_lines_keep_the_caller)
{
  check_stream_leaves (ACT_ENDLESS_HEADER_LINES, 0, FIRST_EVENT_MS + SLACK_MS);
  check_stream_leaves (ACT_ENDLESS_HEADER_LINES, FAST_BYTES, FAST_MS);
}
END_TEST

START_TEST (slow_interim_responses_keep_the_caller)
{
  check_stream_leaves (ACT_ENDLESS_INTERIM, 0, FIRST_EVENT_MS + SLACK_MS);
  check_plain_leaves (ACT_ENDLESS_INTERIM, 0, READ_OBJECTIVE_MS + SLACK_MS);
}
END_TEST

/* The parser recursed once for each interim response in a read.  */
START_TEST (fast_interim_responses_exhaust_the_stack)
{
  check_stream_leaves (ACT_ENDLESS_INTERIM, FAST_BYTES, FAST_MS);
}
END_TEST

/* Chunked coding.  */

START_TEST (endless_chunk_size_keeps_the_caller)
{
  check_stream_leaves (ACT_ENDLESS_CHUNK_SIZE, 0, FIRST_EVENT_MS + SLACK_MS);
}
END_TEST

START_TEST (slow_chunk_extension_keeps_the_caller)
{
  check_stream_leaves (ACT_ENDLESS_CHUNK_EXTENSION, 0,
                       FIRST_EVENT_MS + SLACK_MS);
  check_plain_leaves (ACT_ENDLESS_CHUNK_EXTENSION, 0,
                      READ_OBJECTIVE_MS + SLACK_MS);
}
END_TEST

START_TEST (fast_chunk_extension_keeps_the_caller)
{
  check_stream_leaves (ACT_ENDLESS_CHUNK_EXTENSION, FAST_BYTES, FAST_MS);
}
END_TEST

START_TEST (slow_trailers_keep_the_caller)
{
  check_stream_leaves (ACT_ENDLESS_TRAILERS, 0, NEXT_EVENT_MS + SLACK_MS);
}
END_TEST

START_TEST (fast_trailers_keep_the_caller)
{
  check_stream_leaves (ACT_ENDLESS_TRAILERS, FAST_BYTES, FAST_MS);
}
END_TEST

/* Bodies of plain services.  */

START_TEST (plain_body_without_end_keeps_the_caller)
{
  check_plain_leaves (ACT_ENDLESS_BODY, 0, READ_OBJECTIVE_MS + SLACK_MS);
}
END_TEST

START_TEST (fast_plain_body_takes_memory)
{
  check_plain_leaves (ACT_ENDLESS_BODY, PLAIN_BODY_BYTES_MAX / 4, FAST_MS);
}
END_TEST

/* A request that must not run twice, and whose response does not end, must get
   504 at its deadline, because it may have run.  */
START_TEST (plain_body_of_a_payment_goes_on_after_the_deadline)
{
  run_t run;

  run_request (&run, "/book/", ACT_ENDLESS_BODY, 0, ACT_RESPOND);
  ck_assert_int_eq (caller_status (&run.caller), 504);
  ck_assert_uint_lt (run.took_ms, 600 + SLACK_MS);
  ck_assert_uint_eq (fake_upstream_request_count (run.f.upstreams[0]), 1);
  end_run (&run);
}
END_TEST

/* All upstreams send comments only, and the request may not run again after
   the third send.  The caller must get the end of its response at its time
   limit, as from upstreams that send nothing.  */
START_TEST (comments_of_all_upstreams_outlast_the_time_limit)
{
  run_t run;

  run_request (&run, "/chat/", ACT_ENDLESS_COMMENTS, 0, ACT_ENDLESS_COMMENTS);
  ck_assert (!caller_response_contains (&run.caller, "\r\n0\r\n\r\n"));
  ck_assert_uint_ge (run.took_ms, CHAT_TIMEOUT_MS - SLACK_MS);
  ck_assert_uint_lt (run.took_ms, CHAT_TIMEOUT_MS + SLACK_MS);
  end_run (&run);
}
END_TEST

/* Memory of many responses at once.  */

static size_t
used_memory (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return info.uordblks + info.hblkhd;
}

/* Return the largest part of the heap that MANY requests for PATH take at
   once, all upstreams responding with ACTION in parts of BYTES.  */
static size_t
memory_of_many (const char *path, fake_action_t action, size_t bytes)
{
  static caller_t callers[MANY];
  gateway_fixture_t f;
  size_t largest = 0;
  size_t closed_count = 0;

  gateway_fixture_setup (&f, MANY_UPSTREAMS);
  for (size_t i = 0; i < MANY_UPSTREAMS; i++)
    {
      fake_upstream_script (f.upstreams[i], &action, 1);
      fake_upstream_set_endless_bytes (f.upstreams[i], bytes);
    }
  size_t before = used_memory ();
  for (size_t i = 0; i < MANY; i++)
    caller_start (&f, &callers[i], "POST", path, REQUEST_HEADERS, "{}");
  while (closed_count < MANY)
    {
      uv_run (&f.loop, UV_RUN_ONCE);
      size_t used = used_memory ();
      if (used > before && used - before > largest)
        largest = used - before;
      closed_count = 0;
      for (size_t i = 0; i < MANY; i++)
        closed_count += callers[i].closed;
    }
  for (size_t i = 0; i < MANY; i++)
    caller_free (&f, &callers[i]);
  gateway_fixture_teardown (&f);
  printf ("action %d: at most %zu bytes, %zu a request\n", (int)action,
          largest, largest / MANY);
  fflush (stdout);
  return largest;
}

START_TEST (events_of_many_streams_take_the_memory_of_the_machine)
{
  ck_assert_uint_lt (memory_of_many ("/chat/", ACT_ENDLESS_EVENT, 16384),
                     RESPONSE_MEMORY_MAX + OTHER_MEMORY_MAX);
}
END_TEST

START_TEST (bodies_of_many_requests_take_the_memory_of_the_machine)
{
  ck_assert_uint_lt (memory_of_many ("/read/", ACT_ENDLESS_BODY, 32768),
                     RESPONSE_MEMORY_MAX + OTHER_MEMORY_MAX);
}
END_TEST

/* Callers that do not read get large events.  What is kept for them is bounded
   for each of them, but not for all together: 48 took 163 MB.  The upstreams
   are not at fault.  */
START_TEST (slow_callers_take_the_memory_of_the_machine)
{
  static caller_t callers[SLOW_CALLERS];
  static const fake_action_t action[] = { ACT_ENDLESS_EVENTS };
  gateway_fixture_t f;
  size_t largest = 0;

  gateway_fixture_setup (&f, 2);
  for (size_t i = 0; i < 2; i++)
    {
      fake_upstream_script (f.upstreams[i], action, 1);
      fake_upstream_set_endless_bytes (f.upstreams[i], SLOW_PART_BYTES);
    }
  size_t before = used_memory ();
  for (size_t i = 0; i < SLOW_CALLERS; i++)
    {
      caller_start_without_reading (&f, &callers[i], "/chat/",
                                    REQUEST_HEADERS);
      uint64_t end_ms = uv_now (&f.loop) + SLOW_EVENT_MS;
      while (uv_now (&f.loop) < end_ms)
        {
          uv_run (&f.loop, UV_RUN_ONCE);
          size_t used = used_memory ();
          if (used > before && used - before > largest)
            largest = used - before;
        }
    }
  printf ("slow callers: at most %zu bytes, %zu a caller\n", largest,
          largest / SLOW_CALLERS);
  fflush (stdout);
  ck_assert_uint_lt (largest, RESPONSE_MEMORY_MAX + SLOW_OTHER_MEMORY_MAX);
  ck_assert_uint_eq (fake_upstream_request_count (f.upstreams[0])
                         + fake_upstream_request_count (f.upstreams[1]),
                     SLOW_CALLERS);
  for (size_t i = 0; i < SLOW_CALLERS; i++)
    caller_free (&f, &callers[i]);
  gateway_fixture_teardown (&f);
}
END_TEST

static void
ignore_head (void *arg, const http_exchange_head_t *head)
{
  (void)arg;
  (void)head;
}

static void
ignore_body (void *arg, str_t bytes)
{
  (void)arg;
  (void)bytes;
}

static void
count_too_large (void *arg, vh_code_t code)
{
  ck_assert_int_eq (code, VH_E_TOO_LARGE);
  ++*(size_t *)arg;
}

/* More exchanges than the gateway of the fixture can have: heads of 64 KiB of
   all of them took 28.6 MB.  */
START_TEST (heads_of_many_responses_take_the_memory_of_the_machine)
{
  static const http_exchange_events_t events
      = { ignore_head, ignore_body, count_too_large };
  static const fake_action_t action[] = { ACT_ENDLESS_HEADER_LINE };
  gateway_fixture_t f;
  char address[32];
  size_t ended_count = 0;
  size_t largest = 0;

  gateway_fixture_setup (&f, 1);
  fake_upstream_script (f.upstreams[0], action, 1);
  fake_upstream_set_endless_bytes (f.upstreams[0], 4096);
  snprintf (address, sizeof address, "127.0.0.1:%u",
            fake_upstream_port (f.upstreams[0]));
  size_t before = used_memory ();
  for (size_t i = 0; i < MANY_HEADS; i++)
    {
      buf_t request = BUF_NULL;
      buf_printf (&request, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
      ck_assert_ptr_nonnull (
          http_exchange_start (&f.loop, str_from (address), &request, STR_NULL,
                               1000, false, &events, &ended_count));
    }
  while (ended_count < MANY_HEADS)
    {
      uv_run (&f.loop, UV_RUN_ONCE);
      size_t used = used_memory ();
      if (used > before && used - before > largest)
        largest = used - before;
    }
  printf ("heads: at most %zu bytes, %zu a response\n", largest,
          largest / MANY_HEADS);
  fflush (stdout);
  ck_assert_uint_lt (largest, HEADS_MEMORY_MAX + OTHER_MEMORY_MAX);
  gateway_fixture_teardown (&f);
}
END_TEST

int
main (void)
{
  signal (SIGPIPE, SIG_IGN);
  Suite *suite = suite_create ("unbounded responses");
  TCase *tcase = tcase_create ("unbounded responses");

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, virtual_time_setup, virtual_time_teardown);
  tcase_add_test (tcase, comments_without_an_event_keep_the_caller);
  tcase_add_test (tcase, comments_after_two_events_keep_the_caller);
  tcase_add_test (tcase, fast_comments_keep_the_caller);
  tcase_add_test (tcase, endless_comment_line_keeps_the_caller);
  tcase_add_test (tcase, endless_event_keeps_the_caller);
  tcase_add_test (tcase, endless_event_after_two_events_keeps_the_caller);
  tcase_add_test (tcase, fast_endless_event_takes_memory);
  tcase_add_test (tcase, healthy_stream_with_comments_is_left);
  tcase_add_test (tcase, stall_after_a_slow_caller_keeps_the_caller);
  tcase_add_test (tcase, head_a_byte_at_a_time_keeps_the_caller);
  tcase_add_test (tcase, endless_header_line_takes_memory);
  tcase_add_test (tcase, endless_header_lines_keep_the_caller);
  tcase_add_test (tcase, slow_interim_responses_keep_the_caller);
  tcase_add_test (tcase, fast_interim_responses_exhaust_the_stack);
  tcase_add_test (tcase, endless_chunk_size_keeps_the_caller);
  tcase_add_test (tcase, slow_chunk_extension_keeps_the_caller);
  tcase_add_test (tcase, fast_chunk_extension_keeps_the_caller);
  tcase_add_test (tcase, slow_trailers_keep_the_caller);
  tcase_add_test (tcase, fast_trailers_keep_the_caller);
  tcase_add_test (tcase, plain_body_without_end_keeps_the_caller);
  tcase_add_test (tcase, fast_plain_body_takes_memory);
  tcase_add_test (tcase, plain_body_of_a_payment_goes_on_after_the_deadline);
  tcase_add_test (tcase, comments_of_all_upstreams_outlast_the_time_limit);
  tcase_add_test (tcase,
                  events_of_many_streams_take_the_memory_of_the_machine);
  tcase_add_test (tcase,
                  bodies_of_many_requests_take_the_memory_of_the_machine);
  tcase_add_test (tcase, slow_callers_take_the_memory_of_the_machine);
  tcase_add_test (tcase,
                  heads_of_many_responses_take_the_memory_of_the_machine);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
