/* The gateway with scripted upstreams, callers and store: what callers
   receive, and what upstreams are asked, when something fails.  */

#include "gateway/loader.h"
#include "gateway_fixture.h"
#include "suite.h"

#include <signal.h>
#include <stdio.h>

#define KEY "Authorization: Bearer key-1\r\n"
#define ATTEMPT "vanillahook-attempt-id: a1\r\n"
#define ASK KEY ATTEMPT

static size_t
requests_of (const gateway_fixture_t *f)
{
  size_t sum = 0;

  for (size_t i = 0; i < f->upstream_count; i++)
    sum += fake_upstream_requests (f->upstreams[i]);
  return sum;
}

/* Give the same script to all upstreams.  */
static void
script_all (gateway_fixture_t *f, act_t act)
{
  for (size_t i = 0; i < f->upstream_count; i++)
    fake_upstream_script (f->upstreams[i], &act, 1);
}

/* Turn the loop for MS milliseconds.  */
static void
pass (gateway_fixture_t *f, uint64_t ms)
{
  uint64_t till = uv_now (&f->loop) + ms;

  gateway_fixture_wait (f, uv_now (&f->loop) >= till);
}

START_TEST (an_answer_is_passed_on_with_its_mac)
{
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 1);
  gateway_fixture_ask (&f, &caller, "POST", "/read/a?b=1",
                       ASK "vanillahook-team: forged\r\n"
                           "vanillahook-pin-ms: 9\r\nX-Own: kept\r\n",
                       "body");
  ck_assert_int_eq (caller_status (&caller), 200);
  ck_assert (caller_has (&caller, "by up-0"));
  ck_assert (caller_has (&caller, "vanillahook-answer-mac: mac-of-up-0"));
  const char *asked = fake_upstream_last (f.upstreams[0]);
  ck_assert_ptr_nonnull (strstr (asked, "POST /read/a?b=1 HTTP/1.1\r\n"));
  ck_assert_ptr_nonnull (strstr (asked, "vanillahook-team: coast\r\n"));
  ck_assert_ptr_nonnull (
      strstr (asked, "vanillahook-expect-instance: app-0\r\n"));
  ck_assert_ptr_nonnull (strstr (asked, "x-own: kept\r\n"));
  ck_assert_ptr_nonnull (strstr (asked, "\r\n\r\nbody"));
  ck_assert_ptr_null (strstr (asked, "forged"));
  ck_assert_ptr_null (strstr (asked, "pin-ms"));
  ck_assert_ptr_null (strstr (asked, "key-1"));
  caller_free (&f, &caller);
  gateway_fixture_teardown (&f);
}
END_TEST

/* What a caller may not ask is refused with the right status, and no upstream
   hears of it.  */
START_TEST (bad_requests_are_refused)
{
  static const struct
  {
    const char *path;
    const char *headers;
    int status;
  } cases[] = {
    { "/none/", ASK, 404 },
    { "/read/", ATTEMPT, 401 },
    { "/read/", ATTEMPT "Authorization: Bearer wrong\r\n", 401 },
    { "/read/", KEY, 400 },
    { "/read/", ASK "vanillahook-deadline-ms: soon\r\n", 400 },
  };
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 1);
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      gateway_fixture_ask (&f, &caller, "GET", cases[i].path, cases[i].headers,
                           "");
      ck_assert_int_eq (caller_status (&caller), cases[i].status);
      caller_free (&f, &caller);
    }
  ck_assert_uint_eq (requests_of (&f), 0);
  gateway_fixture_teardown (&f);
}
END_TEST

/* An officer approves a payment; the upstream that has it resets the
   connection.  Whether it ran cannot be known, so it is not sent to the other
   one, and the officer is told so rather than that it did not run.  */
START_TEST (a_lasting_action_is_never_sent_twice)
{
  static const act_t acts[]
      = { ACT_RESET, ACT_SHORT, ACT_FOREIGN, ACT_NO_MAC };
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 2);
  for (size_t i = 0; i < sizeof acts / sizeof acts[0]; i++)
    {
      size_t before = requests_of (&f);
      script_all (&f, acts[i]);
      gateway_fixture_ask (&f, &caller, "POST", "/book/", ASK, "pay");
      ck_assert_int_eq (caller_status (&caller), 502);
      ck_assert (caller_has (&caller, "unknown"));
      ck_assert_uint_eq (requests_of (&f) - before, 1);
      caller_free (&f, &caller);
    }
  gateway_fixture_teardown (&f);
}
END_TEST

/* An upstream says that it did not run the request: another may have it.  When
   all say so the refusal is true and names a time to return.  */
START_TEST (a_shed_request_goes_elsewhere_or_is_refused)
{
  static const act_t shed[] = { ACT_SHED };
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 2);
  fake_upstream_script (f.upstreams[0], shed, 1);
  for (int i = 0; i < 4; i++)
    {
      gateway_fixture_ask (&f, &caller, "POST", "/book/", ASK, "pay");
      ck_assert_int_eq (caller_status (&caller), 200);
      ck_assert (caller_has (&caller, "by up-1"));
      caller_free (&f, &caller);
    }
  script_all (&f, ACT_SHED);
  gateway_fixture_ask (&f, &caller, "POST", "/book/", ASK, "pay");
  ck_assert_int_eq (caller_status (&caller), 503);
  ck_assert (caller_has (&caller, "retry-after: 0."));
  ck_assert (caller_has (&caller, "not-run"));
  caller_free (&f, &caller);
  gateway_fixture_teardown (&f);
}
END_TEST

/* All upstreams are full: each is asked once and no more, as every refused
   send is load on them.  */
START_TEST (a_full_upstream_is_asked_once)
{
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 3);
  script_all (&f, ACT_SHED);
  gateway_fixture_ask (&f, &caller, "GET", "/read/", ASK, "");
  ck_assert_int_eq (caller_status (&caller), 503);
  ck_assert_uint_eq (requests_of (&f), 3);
  caller_free (&f, &caller);
  gateway_fixture_teardown (&f);
}
END_TEST

/* A look-up fails at one upstream, by an error, a short answer, another's
   answer or one without a mac: the other upstream answers it.  */
START_TEST (an_idempotent_request_is_sent_again)
{
  static const act_t acts[]
      = { ACT_ERROR, ACT_RESET, ACT_SHORT, ACT_FOREIGN, ACT_NO_MAC };
  gateway_fixture_t f;
  caller_t caller;

  for (size_t i = 0; i < sizeof acts / sizeof acts[0]; i++)
    {
      gateway_fixture_setup (&f, 2);
      fake_upstream_script (f.upstreams[0], &acts[i], 1);
      for (int j = 0; j < 2; j++)
        {
          gateway_fixture_ask (&f, &caller, "GET", "/read/", ASK, "");
          ck_assert_int_eq (caller_status (&caller), 200);
          ck_assert (caller_has (&caller, "by up-1"));
          caller_free (&f, &caller);
        }
      gateway_fixture_teardown (&f);
    }
}
END_TEST

/* The upstream of a draft ends in the middle of its third event.  The caller
   gets each event once, in one answer: another upstream goes on after the
   last whole one.  */
START_TEST (a_broken_stream_goes_on_elsewhere)
{
  static const act_t acts[] = { ACT_STREAM_BREAK, ACT_STREAM };
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 1);
  fake_upstream_script (f.upstreams[0], acts, 2);
  gateway_fixture_ask (&f, &caller, "POST", "/chat/", ASK, "{}");
  ck_assert_int_eq (caller_status (&caller), 200);
  for (int id = 1; id <= 5; id++)
    {
      char event[32];
      snprintf (event, sizeof event, "data: e%d\n", id);
      const char *at = strstr (caller.answer.ptr, event);
      ck_assert_ptr_nonnull (at);
      ck_assert_ptr_null (strstr (at + 1, event));
    }
  ck_assert (!caller_has (&caller, "ha\r\n"));
  ck_assert (caller_has (&caller, "\r\n0\r\n\r\n"));
  ck_assert_ptr_nonnull (
      strstr (fake_upstream_last (f.upstreams[0]), "Last-Event-Id: 2\r\n"));
  caller_free (&f, &caller);
  gateway_fixture_teardown (&f);
}
END_TEST

/* The upstream of a draft falls silent after two events, its connection open:
   no error ever comes.  The stream goes on elsewhere, and the silent run is
   let go.  */
START_TEST (a_silent_stream_goes_on_elsewhere)
{
  static const act_t acts[] = { ACT_STREAM_STALL, ACT_STREAM };
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 1);
  fake_upstream_script (f.upstreams[0], acts, 2);
  gateway_fixture_ask (&f, &caller, "POST", "/chat/", ASK, "{}");
  ck_assert_int_eq (caller_status (&caller), 200);
  ck_assert (caller_has (&caller, "data: e5\n"));
  ck_assert (caller_has (&caller, "\r\n0\r\n\r\n"));
  gateway_fixture_wait (&f, fake_upstream_abandoned (f.upstreams[0]) == 1);
  caller_free (&f, &caller);
  gateway_fixture_teardown (&f);
}
END_TEST

/* An engine is full of other entries' prompts: it says nothing for most of a
   second to the only request that this entry has there, and then goes on.  A
   second run elsewhere would do its work again.  */
START_TEST (a_full_engine_keeps_its_streams)
{
  static const act_t acts[] = { ACT_STREAM_PAUSE };
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 2);
  script_all (&f, acts[0]);
  gateway_fixture_ask (&f, &caller, "POST", "/chat/", ASK, "{}");
  ck_assert (caller_has (&caller, "data: e5\n"));
  ck_assert_uint_eq (requests_of (&f), 1);
  caller_free (&f, &caller);
  gateway_fixture_teardown (&f);
}
END_TEST

/* An engine loses its power in the middle of a draft.  No error comes on the
   open connection; a look at the engine finds nobody, and the draft goes on
   elsewhere long before a living engine would be given up.  */
START_TEST (streams_leave_an_engine_that_is_gone)
{
  gateway_fixture_t f;
  caller_t caller;
  size_t first;

  gateway_fixture_setup (&f, 2);
  script_all (&f, ACT_STREAM_PAUSE);
  caller_start (&f, &caller, "POST", "/chat/", ASK, "{}");
  gateway_fixture_wait (&f, caller_has (&caller, "data: e2\n"));
  first = fake_upstream_requests (f.upstreams[0]) > 0 ? 0 : 1;
  fake_upstream_vanish (f.upstreams[first]);
  uint64_t start_ms = uv_hrtime () / 1000000;
  gateway_fixture_wait (&f, requests_of (&f) == 2);
  ck_assert_uint_lt (uv_hrtime () / 1000000 - start_ms, PAUSE_MS + 200);
  gateway_fixture_wait (&f, caller.closed);
  ck_assert (caller_has (&caller, "data: e5\n"));
  caller_free (&f, &caller);
  gateway_fixture_teardown (&f);
}
END_TEST

/* A silent engine is being looked at when the caller's deadline passes.  The
   caller is told then, not when the look is over.  */
START_TEST (a_look_does_not_outlast_the_deadline)
{
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 2);
  script_all (&f, ACT_SILENT);
  uint64_t start_ms = uv_now (&f.loop);
  gateway_fixture_ask (&f, &caller, "POST", "/chat/",
                       ASK "vanillahook-deadline-ms: 560\r\n", "{}");
  ck_assert_int_eq (caller_status (&caller), 504);
  ck_assert_uint_lt (uv_now (&f.loop) - start_ms, 700);
  caller_free (&f, &caller);
  gateway_fixture_teardown (&f);
}
END_TEST

/* A draft is broken off while every other engine is full.  A moment later one
   of their requests is over.  The caller, who has part of the draft, gets the
   rest of it; ending it at once would cut what half a second can save.  */
START_TEST (a_broken_stream_waits_for_room)
{
  enum
  {
    SLOTS = 32, /* Of each upstream.  */
    OTHERS = 2 * SLOTS - 1
  };
  static caller_t others[OTHERS];
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 2);
  script_all (&f, ACT_STREAM_STALL);
  for (size_t i = 0; i < OTHERS; i++)
    caller_start (&f, &others[i], "POST", "/chat/", ASK, "{}");
  gateway_fixture_wait (&f, requests_of (&f) == OTHERS);
  script_all (&f, ACT_STREAM_BREAK);
  caller_start (&f, &caller, "POST", "/chat/", ASK, "{}");
  gateway_fixture_wait (&f, caller_has (&caller, "data: e2\n"));
  pass (&f, 100);
  ck_assert (!caller.closed);
  script_all (&f, ACT_STREAM);
  for (size_t i = 0; i < OTHERS; i++)
    caller_leave (&others[i]);
  gateway_fixture_wait (&f, caller.closed);
  ck_assert (caller_has (&caller, "data: e5\n"));
  ck_assert (caller_has (&caller, "\r\n0\r\n\r\n"));
  for (size_t i = 0; i < OTHERS; i++)
    caller_free (&f, &others[i]);
  caller_free (&f, &caller);
  gateway_fixture_teardown (&f);
}
END_TEST

/* Every upstream breaks the stream: the caller must see that the answer is
   not whole, and no byte that is not of an event.  */
START_TEST (a_stream_that_cannot_go_on_looks_cut)
{
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 1);
  script_all (&f, ACT_STREAM_BREAK);
  gateway_fixture_ask (&f, &caller, "POST", "/chat/", ASK, "{}");
  ck_assert_int_eq (caller_status (&caller), 200);
  ck_assert (caller_has (&caller, "data: e2\n"));
  ck_assert (!caller_has (&caller, "\r\n0\r\n"));
  ck_assert_int_eq (caller.answer.ptr[caller.answer.len - 1], '\n');
  ck_assert_uint_eq (requests_of (&f), 3);
  caller_free (&f, &caller);
  gateway_fixture_teardown (&f);
}
END_TEST

/* The small model doubts its own answer: the caller gets the large one's
   alone.  A small one that is sure is not asked twice.  */
START_TEST (a_doubtful_answer_gives_way_to_a_larger_model)
{
  static const act_t acts[] = { ACT_STREAM_DOUBT, ACT_STREAM };
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 1);
  fake_upstream_script (f.upstreams[0], acts, 2);
  gateway_fixture_ask (&f, &caller, "POST", "/chat/",
                       ASK "vanillahook-model: *\r\n", "{}");
  ck_assert_int_eq (caller_status (&caller), 200);
  ck_assert (!caller_has (&caller, "confidence"));
  ck_assert_uint_eq (requests_of (&f), 2);
  ck_assert_ptr_nonnull (strstr (fake_upstream_last (f.upstreams[0]),
                                 "vanillahook-model: large\r\n"));
  caller_free (&f, &caller);
  gateway_fixture_ask (&f, &caller, "POST", "/chat/", ASK, "{}");
  ck_assert_uint_eq (requests_of (&f), 3);
  ck_assert_ptr_nonnull (strstr (fake_upstream_last (f.upstreams[0]),
                                 "vanillahook-model: small\r\n"));
  caller_free (&f, &caller);
  gateway_fixture_teardown (&f);
}
END_TEST

/* A caller may not push its request before those of others: how soon an engine
   begins it follows from the rank of its route.  */
START_TEST (urgency_follows_the_route)
{
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 1);
  gateway_fixture_ask (&f, &caller, "POST", "/chat/",
                       ASK "vanillahook-urgency: 0\r\n", "{}");
  ck_assert_ptr_nonnull (strstr (fake_upstream_last (f.upstreams[0]),
                                 "vanillahook-urgency: 3\r\n"));
  ck_assert_ptr_null (strstr (fake_upstream_last (f.upstreams[0]),
                              "vanillahook-urgency: 0\r\n"));
  caller_free (&f, &caller);
  gateway_fixture_teardown (&f);
}
END_TEST

/* All entries are killed and start again; their callers come back before the
   configuration has been read.  Refused then, they would not come again: they
   wait for the tenth of a second that it takes.  */
START_TEST (a_caller_waits_for_the_first_configuration)
{
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup_early (&f, 1);
  script_all (&f, ACT_STREAM);
  caller_start (&f, &caller, "POST", "/chat/", ASK, "{}");
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

/* An entry starts while the store is away.  Its callers are told so, the first
   within a second, the others at once.  */
START_TEST (a_start_without_the_store_refuses_soon)
{
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup_early (&f, 1);
  uint64_t start_ms = uv_now (&f.loop);
  gateway_fixture_ask (&f, &caller, "POST", "/chat/", ASK, "{}");
  ck_assert_int_eq (caller_status (&caller), 503);
  ck_assert (caller_has (&caller, "retry-after: "));
  ck_assert_uint_lt (uv_now (&f.loop) - start_ms, 1200);
  caller_free (&f, &caller);
  start_ms = uv_now (&f.loop);
  gateway_fixture_ask (&f, &caller, "POST", "/chat/", ASK, "{}");
  ck_assert_int_eq (caller_status (&caller), 503);
  ck_assert_uint_lt (uv_now (&f.loop) - start_ms, 200);
  caller_free (&f, &caller);
  gateway_fixture_teardown (&f);
}
END_TEST

/* A caller gives up while its request waits, or in the middle of a stream: the
   upstream is let go at once, not at its deadline.  */
START_TEST (an_upstream_is_let_go_when_its_caller_leaves)
{
  static const act_t acts[] = { ACT_SILENT, ACT_STREAM_STALL };
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 1);
  for (size_t i = 0; i < 2; i++)
    {
      script_all (&f, acts[i]);
      caller_start (&f, &caller, "POST", "/chat/", ASK, "{}");
      gateway_fixture_wait (&f, requests_of (&f) == i + 1);
      caller_leave (&caller);
      uint64_t left_ms = uv_now (&f.loop);
      gateway_fixture_wait (&f,
                            fake_upstream_abandoned (f.upstreams[0]) == i + 1);
      ck_assert_uint_lt (uv_now (&f.loop) - left_ms, 400);
      caller_free (&f, &caller);
    }
  gateway_fixture_teardown (&f);
}
END_TEST

/* A caller that reads nothing leaves after its upstream has finished: the end
   of the answer still waits behind a write, and the request is over for the
   relay.  The departure used to be told to a relay that was gone, and the
   process ended.  */
START_TEST (a_caller_leaves_behind_the_last_write)
{
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 1);
  script_all (&f, ACT_STREAM_BIG);
  for (size_t i = 0; i < 4; i++)
    {
      caller_start_deaf (&f, &caller, "/chat/", ASK);
      gateway_fixture_wait (&f, requests_of (&f) == i + 1);
      pass (&f, 200);
      caller_reset (&caller);
      pass (&f, 100);
      caller_free (&f, &caller);
    }
  ck_assert_int_eq (gateway_fixture_ready (&f), 200);
  gateway_fixture_teardown (&f);
}
END_TEST

/* An upstream never answers a booking: the caller has its final answer at the
   route's timeout, which does not say that it did not run.  */
START_TEST (a_silent_upstream_ends_at_the_timeout)
{
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 2);
  script_all (&f, ACT_SILENT);
  uint64_t start_ms = uv_now (&f.loop);
  gateway_fixture_ask (&f, &caller, "POST", "/book/", ASK, "pay");
  uint64_t ms = uv_now (&f.loop) - start_ms;
  ck_assert_int_eq (caller_status (&caller), 504);
  ck_assert_uint_ge (ms, 590);
  ck_assert_uint_lt (ms, 900);
  ck_assert_uint_eq (requests_of (&f), 1);
  caller_free (&f, &caller);
  gateway_fixture_teardown (&f);
}
END_TEST

/* An operator takes a key away and gives a new one.  */
START_TEST (a_key_that_is_taken_away_lets_nobody_in)
{
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 1);
  fake_rows_put (f.rows, ROWS_ORDERS, "catalog", "2 key-2");
  pass (&f, 100);
  gateway_fixture_ask (&f, &caller, "GET", "/read/", ASK, "");
  ck_assert_int_eq (caller_status (&caller), 401);
  caller_free (&f, &caller);
  gateway_fixture_ask (&f, &caller, "GET", "/read/",
                       ATTEMPT "Authorization: Bearer key-2\r\n", "");
  ck_assert_int_eq (caller_status (&caller), 200);
  caller_free (&f, &caller);
  gateway_fixture_teardown (&f);
}
END_TEST

/* The store drops its history and for a while answers as of the past, with the
   key that was taken away.  What is in force is never taken back.  */
START_TEST (a_stale_answer_takes_nothing_back)
{
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 1);
  uint64_t before = fake_rows_version (f.rows);
  fake_rows_put (f.rows, ROWS_ORDERS, "catalog", "2 key-2");
  pass (&f, 100);
  fake_rows_set_stale_version (f.rows, before);
  fake_rows_drop_history (f.rows);
  pass (&f, 300);
  gateway_fixture_ask (&f, &caller, "GET", "/read/", ASK, "");
  ck_assert_int_eq (caller_status (&caller), 401);
  caller_free (&f, &caller);
  gateway_fixture_teardown (&f);
}
END_TEST

/* The store is away for longer than a key's confirmation holds.  A key could
   have been taken away unseen: keyed requests are refused as not run, public
   ones go on, and the balancer is told to use others.  All is well at its
   return.  */
START_TEST (an_old_confirmation_lets_no_key_in)
{
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 1);
  fake_rows_set_down (f.rows, true);
  pass (&f, 1000);
  gateway_fixture_ask (&f, &caller, "GET", "/read/", ASK, "");
  ck_assert_int_eq (caller_status (&caller), 200);
  caller_free (&f, &caller);
  pass (&f, 3200);
  gateway_fixture_ask (&f, &caller, "GET", "/read/", ASK, "");
  ck_assert_int_eq (caller_status (&caller), 503);
  ck_assert (caller_has (&caller, "not-run"));
  caller_free (&f, &caller);
  gateway_fixture_ask (&f, &caller, "GET", "/open/", ATTEMPT, "");
  ck_assert_int_eq (caller_status (&caller), 200);
  caller_free (&f, &caller);
  ck_assert_int_eq (gateway_fixture_ready (&f), 503);
  fake_rows_set_down (f.rows, false);
  gateway_fixture_wait (&f, gateway_fixture_ready (&f) == 200);
  gateway_fixture_teardown (&f);
}
END_TEST

/* The store is away for some seconds.  An entry asks for one of its tables to
   learn when it is back, and then has all of them at once: with more, many
   entries press a store that is coming up.  */
START_TEST (an_outage_is_probed_with_one_table)
{
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 2);
  fake_rows_set_down (f.rows, true);
  pass (&f, 4000);
  size_t before = fake_rows_call_count (f.rows);
  pass (&f, 3000);
  ck_assert_uint_le (fake_rows_call_count (f.rows) - before, 11);
  gateway_fixture_list (&f, 0, "v1", "draining");
  fake_rows_set_down (f.rows, false);
  gateway_fixture_wait (&f, gateway_fixture_ready (&f) == 200);
  pass (&f, 200);
  for (int i = 0; i < 4; i++)
    {
      gateway_fixture_ask (&f, &caller, "GET", "/read/", ASK, "");
      ck_assert (caller_has (&caller, "by up-1"));
      caller_free (&f, &caller);
    }
  gateway_fixture_teardown (&f);
}
END_TEST

/* An upstream says that it is leaving, or its registration goes: no request is
   sent there any more, also when the news came with a dropped history.  */
START_TEST (a_leaving_upstream_gets_nothing_new)
{
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 3);
  gateway_fixture_list (&f, 0, "v1", "draining");
  fake_rows_remove (f.rows, ROWS_INSTANCES, "app-1");
  fake_rows_drop_history (f.rows);
  pass (&f, 300);
  for (int i = 0; i < 6; i++)
    {
      gateway_fixture_ask (&f, &caller, "GET", "/read/", ASK, "");
      ck_assert (caller_has (&caller, "by up-2"));
      caller_free (&f, &caller);
    }
  gateway_fixture_teardown (&f);
}
END_TEST

/* A key is taken away by a configuration so long that this entry reads it for
   seconds.  The store confirms the newest state all the while, and the entry
   does not have it yet: the key is not trusted on the strength of that, and
   gone once the configuration is in force.  */
START_TEST (a_configuration_that_is_being_read_ages_the_keys)
{
  static const char head[] = "2 key-2 ";
  static char text[LOADER_ASYNC_BYTES_MIN + 32];
  gateway_fixture_t f;
  caller_t caller;

  for (size_t i = 0; i < sizeof text - 1; i++)
    text[i] = i < sizeof head - 1 ? head[i] : 'x';
  gateway_fixture_setup (&f, 1);
  fake_rows_put (f.rows, ROWS_ORDERS, "catalog", text);
  pass (&f, 300);
  gateway_fixture_ask (&f, &caller, "GET", "/read/", ASK, "");
  ck_assert_int_eq (caller_status (&caller), 200);
  caller_free (&f, &caller);
  pass (&f, 1900);
  gateway_fixture_ask (&f, &caller, "GET", "/read/", ASK, "");
  ck_assert_int_eq (caller_status (&caller), 503);
  caller_free (&f, &caller);
  gateway_fixture_wait (&f, gateway_fixture_ready (&f) == 200);
  gateway_fixture_ask (&f, &caller, "GET", "/read/", ASK, "");
  ck_assert_int_eq (caller_status (&caller), 401);
  caller_free (&f, &caller);
  gateway_fixture_teardown (&f);
}
END_TEST

/* Registrations lapse while the store is away, though the upstreams live.
   They stay usable for a moment after its return, in which a living upstream
   registers again; one that does not is gone.  */
START_TEST (lapsed_registrations_outlive_an_outage_for_a_moment)
{
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 1);
  fake_rows_set_down (f.rows, true);
  pass (&f, 300);
  fake_rows_remove (f.rows, ROWS_INSTANCES, "app-0");
  fake_rows_set_down (f.rows, false);
  uint64_t start_ms = uv_now (&f.loop);
  gateway_fixture_wait (&f, gateway_fixture_ready (&f) == 200);
  pass (&f, 900 - (uv_now (&f.loop) - start_ms));
  gateway_fixture_ask (&f, &caller, "GET", "/read/", ASK, "");
  ck_assert_int_eq (caller_status (&caller), 200);
  caller_free (&f, &caller);
  pass (&f, 2400);
  gateway_fixture_ask (&f, &caller, "GET", "/read/", ASK, "");
  ck_assert_int_eq (caller_status (&caller), 503);
  ck_assert (caller_has (&caller, "retry-after"));
  caller_free (&f, &caller);
  gateway_fixture_teardown (&f);
}
END_TEST

/* An entry was cut off from the store, and an instance left meanwhile.  The
   orders are read again at once, the instances a second and a half later, as
   their call hung on a connection that was cut.  The grace for registrations
   that lapsed counts from the store's return, not from that call: the instance
   gets nothing any more.  */
START_TEST (a_late_read_gives_no_new_grace)
{
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 1);
  fake_rows_set_down (f.rows, true);
  pass (&f, 300);
  fake_rows_remove (f.rows, ROWS_INSTANCES, "app-0");
  fake_rows_set_stalled (f.rows, ROWS_INSTANCES, true);
  fake_rows_set_down (f.rows, false);
  gateway_fixture_wait (&f, gateway_fixture_ready (&f) == 200);
  pass (&f, 1500);
  fake_rows_set_stalled (f.rows, ROWS_INSTANCES, false);
  pass (&f, 1000);
  gateway_fixture_ask (&f, &caller, "GET", "/read/", ASK, "");
  ck_assert_int_eq (caller_status (&caller), 503);
  caller_free (&f, &caller);
  gateway_fixture_teardown (&f);
}
END_TEST

START_TEST (a_zone_that_is_out_gets_nothing)
{
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 1);
  fake_rows_put (f.rows, ROWS_ORDERS, "zone/zone-a", "");
  pass (&f, 100);
  gateway_fixture_ask (&f, &caller, "GET", "/read/", ASK, "");
  ck_assert_int_eq (caller_status (&caller), 503);
  ck_assert_uint_eq (requests_of (&f), 0);
  caller_free (&f, &caller);
  fake_rows_remove (f.rows, ROWS_ORDERS, "zone/zone-a");
  pass (&f, 100);
  gateway_fixture_ask (&f, &caller, "GET", "/read/", ASK, "");
  ck_assert_int_eq (caller_status (&caller), 200);
  caller_free (&f, &caller);
  gateway_fixture_teardown (&f);
}
END_TEST

/* A registration and a configuration by another writer cannot be read: they
   are left out, and what was known goes on.  */
START_TEST (rows_that_cannot_be_read_are_left_out)
{
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 1);
  fake_rows_put (f.rows, ROWS_INSTANCES, "app-9", "garbage");
  fake_rows_put (f.rows, ROWS_INSTANCES, "app-8",
                 "app nowhere zone-a v1 ready");
  fake_rows_put (f.rows, ROWS_ORDERS, "catalog", "garbage");
  fake_rows_put (f.rows, ROWS_ORDERS, "rollout/app", "garbage");
  fake_rows_put (f.rows, ROWS_ORDERS, "unheard-of", "garbage");
  pass (&f, 100);
  for (int i = 0; i < 4; i++)
    {
      gateway_fixture_ask (&f, &caller, "GET", "/read/", ASK, "");
      ck_assert_int_eq (caller_status (&caller), 200);
      caller_free (&f, &caller);
    }
  gateway_fixture_teardown (&f);
}
END_TEST

/* A planned stop: the balancer is told at once, a request under way ends
   whole, new ones are served for the grace and then refused as not run with
   the end of their connection, and the stop ends by itself.  */
START_TEST (a_planned_stop_cuts_nothing)
{
  static const act_t acts[] = { ACT_STREAM_STALL, ACT_STREAM };
  gateway_fixture_t f;
  caller_t stream;
  caller_t caller;

  gateway_fixture_setup (&f, 1);
  fake_upstream_script (f.upstreams[0], acts, 2);
  caller_start (&f, &stream, "POST", "/chat/", ASK, "{}");
  gateway_fixture_wait (&f, requests_of (&f) == 1);
  gateway_begin_stop (f.gateway);
  ck_assert_int_eq (gateway_fixture_ready (&f), 503);
  fake_upstream_script (f.upstreams[0], acts + 1, 1);
  gateway_fixture_ask (&f, &caller, "POST", "/chat/", ASK, "{}");
  ck_assert_int_eq (caller_status (&caller), 200);
  caller_free (&f, &caller);
  pass (&f, 600);
  gateway_fixture_ask (&f, &caller, "POST", "/chat/", ASK, "{}");
  ck_assert_int_eq (caller_status (&caller), 503);
  ck_assert (caller_has (&caller, "not-run"));
  caller_free (&f, &caller);
  gateway_fixture_wait (&f, stream.closed);
  ck_assert (caller_has (&stream, "data: e5\n"));
  ck_assert (caller_has (&stream, "\r\n0\r\n\r\n"));
  gateway_fixture_wait (&f, gateway_is_stopped (f.gateway));
  caller_free (&f, &stream);
  gateway_fixture_teardown (&f);
}
END_TEST

static size_t failed_asks;

/* Ask until the status row of the engine says WANTED.  */
static void
ask_until_status (gateway_fixture_t *f, const char *wanted)
{
  for (int i = 0; i < 1200; i++)
    {
      const char *status = fake_rows_get (f->rows, ROWS_STATUS, "llm");
      char headers[96];
      caller_t caller;
      if (status != NULL && strcmp (status, wanted) == 0)
        return;
      snprintf (headers, sizeof headers, KEY "vanillahook-attempt-id: n%d\r\n",
                i);
      gateway_fixture_ask (f, &caller, "POST", "/chat/", headers, "{}");
      failed_asks += caller_status (&caller) != 200;
      caller_free (f, &caller);
      fake_rows_advance_clock (f->rows, 15);
      /* At most 50 a second: one upstream bears 63, and more are refused.  */
      pass (f, 20);
    }
  ck_abort_msg ("the status did not become %s", wanted);
}

/* A good version is ordered: nothing of it is used in the first half of the
   time, then more and more, and in the end it is declared done.  */
START_TEST (a_good_version_is_rolled_out)
{
  static const act_t stream[] = { ACT_STREAM };
  gateway_fixture_t f;

  gateway_fixture_setup (&f, 2);
  fake_upstream_script (f.upstreams[0], stream, 1);
  fake_upstream_script (f.upstreams[1], stream, 1);
  gateway_fixture_list (&f, 1, "v2", "ready");
  fake_rows_put (f.rows, ROWS_ORDERS, "rollout/llm", "llm v2 12000");
  pass (&f, 100);
  ask_until_status (&f, "v2 running");
  size_t before = fake_upstream_requests (f.upstreams[1]);
  ask_until_status (&f, "v2 done");
  ck_assert_uint_gt (fake_upstream_requests (f.upstreams[1]), before);
  gateway_fixture_teardown (&f);
}
END_TEST

/* The entry that writes a roll-out's first row is cut off when the order
   comes, and the next one writes it seconds later: the operators' time limit
   does not wait for that.  */
START_TEST (a_late_first_row_does_not_move_the_time_limit)
{
  enum
  {
    LATE_MS = 1500,
    SEEN_MS = 700
  };
  gateway_fixture_t f;
  uint64_t order;
  uint64_t start_ms;
  str_t rest;

  gateway_fixture_setup (&f, 2);
  pass (&f, 500);
  uint64_t ordered_ms = fake_rows_now_ms (f.rows);
  fake_rows_set_refusing_writes (f.rows, true);
  fake_rows_put (f.rows, ROWS_ORDERS, "rollout/llm", "llm v2 12000");
  pass (&f, LATE_MS);
  ck_assert_ptr_null (fake_rows_get (f.rows, ROWS_SHARED, "rollout/llm"));
  fake_rows_set_refusing_writes (f.rows, false);
  for (int i = 0; i < 50; i++)
    if (fake_rows_get (f.rows, ROWS_SHARED, "rollout/llm") == NULL)
      pass (&f, 100);
  str_t text = str_from (fake_rows_get (f.rows, ROWS_SHARED, "rollout/llm"));
  ck_assert (str_to_u64 (str_cut (text, ' ', &rest), &order));
  ck_assert (str_to_u64 (str_cut (rest, ' ', &rest), &start_ms));
  ck_assert_uint_ge (start_ms + 50, ordered_ms);
  ck_assert_uint_le (start_ms, ordered_ms + SEEN_MS);
  gateway_fixture_teardown (&f);
}
END_TEST

/* A version that fails is ordered: it is taken back, and gets no request after
   that.  Callers see none of its failures: what failed there is sent again to
   the old version.  */
START_TEST (a_bad_version_is_taken_back)
{
  static const act_t stream[] = { ACT_STREAM };
  static const act_t error[] = { ACT_ERROR };
  gateway_fixture_t f;
  caller_t caller;

  gateway_fixture_setup (&f, 2);
  fake_upstream_script (f.upstreams[0], stream, 1);
  fake_upstream_script (f.upstreams[1], error, 1);
  failed_asks = 0;
  gateway_fixture_list (&f, 1, "v2", "ready");
  fake_rows_put (f.rows, ROWS_ORDERS, "rollout/llm", "llm v2 12000");
  pass (&f, 100);
  ask_until_status (&f, "v2 taken-back");
  ck_assert_uint_eq (failed_asks, 0);
  size_t shown = fake_upstream_requests (f.upstreams[1]);
  ck_assert_uint_gt (shown, 0);
  /* The bound of requests a second at one upstream is for all its callers.  */
  pass (&f, 1000);
  for (int i = 0; i < 20; i++)
    {
      gateway_fixture_ask (&f, &caller, "POST", "/chat/", ASK, "{}");
      ck_assert_int_eq (caller_status (&caller), 200);
      caller_free (&f, &caller);
    }
  ck_assert_uint_eq (fake_upstream_requests (f.upstreams[1]), shown);
  gateway_fixture_teardown (&f);
}
END_TEST

int
main (void)
{
  signal (SIGPIPE, SIG_IGN);
  Suite *suite = suite_create ("gateway");
  TCase *tcase = tcase_create ("gateway");

  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, an_answer_is_passed_on_with_its_mac);
  tcase_add_test (tcase, bad_requests_are_refused);
  tcase_add_test (tcase, a_lasting_action_is_never_sent_twice);
  tcase_add_test (tcase, a_shed_request_goes_elsewhere_or_is_refused);
  tcase_add_test (tcase, a_full_upstream_is_asked_once);
  tcase_add_test (tcase, an_idempotent_request_is_sent_again);
  tcase_add_test (tcase, a_broken_stream_goes_on_elsewhere);
  tcase_add_test (tcase, a_silent_stream_goes_on_elsewhere);
  tcase_add_test (tcase, a_full_engine_keeps_its_streams);
  tcase_add_test (tcase, streams_leave_an_engine_that_is_gone);
  tcase_add_test (tcase, a_broken_stream_waits_for_room);
  tcase_add_test (tcase, a_stream_that_cannot_go_on_looks_cut);
  tcase_add_test (tcase, a_doubtful_answer_gives_way_to_a_larger_model);
  tcase_add_test (tcase, a_look_does_not_outlast_the_deadline);
  tcase_add_test (tcase, urgency_follows_the_route);
  tcase_add_test (tcase, a_caller_waits_for_the_first_configuration);
  tcase_add_test (tcase, a_start_without_the_store_refuses_soon);
  tcase_add_test (tcase, an_upstream_is_let_go_when_its_caller_leaves);
  tcase_add_test (tcase, a_caller_leaves_behind_the_last_write);
  tcase_add_test (tcase, a_silent_upstream_ends_at_the_timeout);
  tcase_add_test (tcase, a_key_that_is_taken_away_lets_nobody_in);
  tcase_add_test (tcase, a_stale_answer_takes_nothing_back);
  tcase_add_test (tcase, an_old_confirmation_lets_no_key_in);
  tcase_add_test (tcase, an_outage_is_probed_with_one_table);
  tcase_add_test (tcase, a_leaving_upstream_gets_nothing_new);
  tcase_add_test (tcase, lapsed_registrations_outlive_an_outage_for_a_moment);
  tcase_add_test (tcase, a_late_read_gives_no_new_grace);
  tcase_add_test (tcase, a_configuration_that_is_being_read_ages_the_keys);
  tcase_add_test (tcase, a_zone_that_is_out_gets_nothing);
  tcase_add_test (tcase, rows_that_cannot_be_read_are_left_out);
  tcase_add_test (tcase, a_planned_stop_cuts_nothing);
  tcase_add_test (tcase, a_good_version_is_rolled_out);
  tcase_add_test (tcase, a_late_first_row_does_not_move_the_time_limit);
  tcase_add_test (tcase, a_bad_version_is_taken_back);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
