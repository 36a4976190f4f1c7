/* Tests of the RPC node, server and peer against each other.  */

#include "base/mem.h"
#include "narrow_link.h"
#include "wire/rpc.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  RUN_LIMIT_MS = 10000
};

typedef struct
{
  uv_loop_t loop;
  rpc_node_t *node;
  rpc_server_t *server;
  rpc_peer_t *peer;
  narrow_link_t *link; /* Link in front of the server; NULL: none.  */
  int unanswered_left; /* Number of further requests that get no reply.  */
  int handled;
  rpc_request_t *held[64];
  int held_count;
  bool hold;
  int done_count;
  vh_code_t codes[512];
  int echoed[512];
  unsigned send_counts[512];
  uint64_t received_revision;
  char *update; /* Reply to WIRE_CONFIG_PULL.  */
  /* Length of UPDATE, or of the last WIRE_CONFIG_PUSH.  */
  size_t update_len;
} fixture_t;

typedef struct
{
  fixture_t *f;
  int index;
} call_tag_t;

static void
outgoing (void *arg, wire_context_t *context)
{
  (void)arg;
  context->revision = 42;
}

static void
incoming (void *arg, rpc_peer_t *peer, const wire_context_t *context)
{
  (void)peer;
  ((fixture_t *)arg)->received_revision = context->revision;
}

static const rpc_hooks_t hooks = { outgoing, incoming };
static const rpc_peer_events_t no_events = { NULL, NULL };

static void
handle (void *arg, rpc_request_t *request, uint32_t proc, void *args)
{
  fixture_t *f = arg;

  f->handled++;
  if (f->unanswered_left > 0)
    {
      f->unanswered_left--;
      f->held[f->held_count++] = request;
      return;
    }
  if (proc == WIRE_PING)
    {
      char empty[] = "";
      wire_ping_res_t pong = { .instance = empty, .zone = empty };
      rpc_reply (request, &pong);
      return;
    }
  if (proc == WIRE_CONFIG_PULL)
    {
      wire_config_pull_res_t pull_result
          = { .update = { (u_int)f->update_len, f->update } };
      rpc_reply (request, &pull_result);
      return;
    }
  if (proc == WIRE_CONFIG_PUSH)
    {
      wire_code_res_t push_result = { VH_OK };
      f->update_len = ((wire_config_push_args_t *)args)->update.update_len;
      rpc_reply (request, &push_result);
      return;
    }
  wire_fetch_args_t *fetch = args;
  wire_answer_t answer;
  memset (&answer, 0, sizeof answer);
  answer.offset = fetch->offset;
  answer.bytes.bytes_val = fetch->attempt;
  answer.bytes.bytes_len = (u_int)strlen (fetch->attempt);
  rpc_reply (request, &answer);
}

/* Create the peer, with the server at PORT.  */
static void
create_peer (fixture_t *f, uint16_t port)
{
  char address[32];

  snprintf (address, sizeof address, "127.0.0.1:%u", port);
  f->peer = rpc_peer_create (f->node, str_from (address), &no_events, f);
}

static void
setup_server (fixture_t *f, const str_t *keys, size_t key_count)
{
  memset (f, 0, sizeof *f);
  uv_loop_init (&f->loop);
  f->node = rpc_node_create (&f->loop, clock_system (), rng_make (5),
                             STR ("node"), keys, key_count, &hooks, f);
  ck_assert_int_eq (
      rpc_server_create (f->node, STR ("127.0.0.1:0"), handle, f, &f->server),
      VH_OK);
}

static void
setup (fixture_t *f, const str_t *keys, size_t key_count)
{
  setup_server (f, keys, key_count);
  create_peer (f, rpc_server_port (f->server));
}

/* Create a server behind a link that forwards BYTES_PER_S.  */
static void
setup_slow_link (fixture_t *f, size_t bytes_per_s)
{
  setup_server (f, NULL, 0);
  f->link = narrow_link_create (&f->loop, rpc_server_port (f->server),
                                bytes_per_s);
  create_peer (f, narrow_link_port (f->link));
}

static void
release_held (fixture_t *f)
{
  wire_answer_t answer;

  memset (&answer, 0, sizeof answer);
  for (int i = 0; i < f->held_count; i++)
    rpc_reply (f->held[i], &answer);
  f->held_count = 0;
}

static void
teardown (fixture_t *f)
{
  rpc_peer_destroy (f->peer);
  if (f->link != NULL)
    narrow_link_destroy (f->link);
  rpc_server_destroy (f->server);
  release_held (f);
  rpc_node_destroy (f->node);
  uv_run (&f->loop, UV_RUN_DEFAULT);
  ck_assert_int_eq (uv_loop_close (&f->loop), 0);
}

static void
on_answer (void *arg, vh_code_t code, void *result, unsigned sent)
{
  call_tag_t *tag = arg;
  fixture_t *f = tag->f;

  f->codes[tag->index] = code;
  f->send_counts[tag->index] = sent;
  if (code == VH_OK)
    {
      wire_answer_t *answer = result;
      char text[16];
      memcpy (text, answer->bytes.bytes_val, answer->bytes.bytes_len);
      text[answer->bytes.bytes_len] = '\0';
      ck_assert_int_eq (atoi (text), (int)answer->offset);
      f->echoed[tag->index] = (int)answer->offset;
    }
  f->done_count++;
  free (tag);
}

static rpc_call_t *
fetch (fixture_t *f, int index, uint64_t timeout_ms)
{
  call_tag_t *tag = mem_alloc (sizeof *tag);
  char attempt[16];
  wire_fetch_args_t args = { .attempt = attempt, .offset = (uint64_t)index };

  snprintf (attempt, sizeof attempt, "%d", index);
  *tag = (call_tag_t){ f, index };
  return rpc_peer_call (f->peer, WIRE_FETCH, &args, timeout_ms, on_answer,
                        tag);
}

static void
on_run_limit (uv_timer_t *timer)
{
  *(bool *)timer->data = true;
}

static void
run_until_done (fixture_t *f, int done)
{
  uv_timer_t timer;
  bool is_late = false;

  uv_timer_init (&f->loop, &timer);
  timer.data = &is_late;
  uv_timer_start (&timer, on_run_limit, RUN_LIMIT_MS, 0);
  while (f->done_count < done && !is_late)
    uv_run (&f->loop, UV_RUN_ONCE);
  ck_assert_msg (!is_late, "%d of %d done", f->done_count, done);
  uv_close ((uv_handle_t *)&timer, NULL);
  uv_run (&f->loop, UV_RUN_NOWAIT);
}

START_TEST (concurrent_calls_get_their_replies)
{
  fixture_t f;
  const str_t key = STR ("secret");

  setup (&f, &key, 1);
  for (int i = 0; i < 500; i++)
    fetch (&f, i, 5000);
  ck_assert_int_eq (f.done_count, 0);
  run_until_done (&f, 500);
  for (int i = 0; i < 500; i++)
    {
      ck_assert_int_eq (f.codes[i], VH_OK);
      ck_assert_int_eq (f.echoed[i], i);
    }
  ck_assert_uint_eq (f.received_revision, 42);
  teardown (&f);
}
END_TEST

/* A middlebox loses its state of a connection: neither a reply nor an error
   arrives.  The calls must be sent again on a new connection and be answered
   in under two seconds.  */
START_TEST (calls_leave_unresponsive_connection)
{
  fixture_t f;
  uint64_t begin_ms = clock_ms (clock_system ());

  setup (&f, NULL, 0);
  /* The call, and the ping that checks the connection.  */
  f.unanswered_left = 2;
  fetch (&f, 1, 8000);
  run_until_done (&f, 1);
  ck_assert_int_eq (f.codes[1], VH_OK);
  ck_assert_uint_eq (f.send_counts[1], 2);
  ck_assert_uint_eq (rpc_node_stats (f.node)->silent, 1);
  ck_assert_uint_lt (clock_ms (clock_system ()) - begin_ms, 2000);
  /* Replies on the abandoned connection must have no effect.  */
  release_held (&f);
  fetch (&f, 2, 8000);
  run_until_done (&f, 2);
  ck_assert_int_eq (f.echoed[2], 2);
  teardown (&f);
}
END_TEST

/* The kernel of a paused peer accepts connections, but the peer replies on
   none of them.  Its calls must end in a bounded time, with a code that says
   that the peer may have received them.  */
START_TEST (calls_to_paused_peer_end)
{
  fixture_t f;

  setup (&f, NULL, 0);
  f.unanswered_left = 60;
  fetch (&f, 1, 9000);
  run_until_done (&f, 1);
  ck_assert_int_eq (f.codes[1], VH_E_CLOSED);
  ck_assert_int_eq (rpc_peer_state (f.peer), RPC_UNRESPONSIVE);
  teardown (&f);
}
END_TEST

START_TEST (refused_connection_reports_call_unsent)
{
  fixture_t f;

  setup (&f, NULL, 0);
  rpc_peer_t *reachable = f.peer;
  f.peer = rpc_peer_create (f.node, STR ("127.0.0.1:1"), &no_events, &f);
  fetch (&f, 1, 2000);
  fetch (&f, 2, 2000);
  run_until_done (&f, 2);
  ck_assert_int_eq (f.codes[1], VH_E_CONNECT);
  ck_assert_int_eq (f.codes[2], VH_E_CONNECT);
  ck_assert_uint_eq (f.send_counts[1], 0);
  /* During the back-off a call fails without a connection attempt.  */
  fetch (&f, 3, 2000);
  run_until_done (&f, 3);
  ck_assert_int_eq (f.codes[3], VH_E_CONNECT);
  rpc_peer_destroy (f.peer);
  f.peer = reachable;
  teardown (&f);
}
END_TEST

START_TEST (late_reply_is_discarded)
{
  fixture_t f;

  setup (&f, NULL, 0);
  f.unanswered_left = 1;
  fetch (&f, 1, 100);
  run_until_done (&f, 1);
  ck_assert_int_eq (f.codes[1], VH_E_TIMEOUT);
  release_held (&f);
  fetch (&f, 2, 2000);
  run_until_done (&f, 2);
  ck_assert_int_eq (f.codes[2], VH_OK);
  ck_assert_uint_eq (rpc_node_stats (f.node)->late, 1);
  teardown (&f);
}
END_TEST

static void
on_pulled (void *arg, vh_code_t code, void *result, unsigned sent)
{
  call_tag_t *tag = arg;
  fixture_t *f = tag->f;

  (void)sent;
  f->codes[tag->index] = code;
  if (code == VH_OK)
    f->echoed[tag->index]
        = (int)((wire_config_pull_res_t *)result)->update.update_len;
  f->done_count++;
}

/* Guards against a timeout of a large reply that is still arriving: the caller
   then requested the reply again from the start.  A reply that stops arriving
   must still time out.  */
START_TEST (large_reply_may_exceed_timeout)
{
  enum
  {
    BYTES = 300000,
    BYTES_PER_S = 300000,
    TIMEOUT_MS = 300
  };
  static char large[BYTES];
  wire_config_pull_args_t args = { .have = 0 };
  fixture_t f;

  setup_slow_link (&f, BYTES_PER_S);
  f.update = large;
  f.update_len = BYTES;
  call_tag_t complete = { &f, 0 };
  rpc_peer_call (f.peer, WIRE_CONFIG_PULL, &args, TIMEOUT_MS, on_pulled,
                 &complete);
  run_until_done (&f, 1);
  ck_assert_int_eq (f.codes[0], VH_OK);
  ck_assert_int_eq (f.echoed[0], BYTES);
  narrow_link_stall_after (f.link, BYTES / 3);
  uint64_t begin_ms = clock_ms (clock_system ());
  call_tag_t stalled = { &f, 1 };
  rpc_peer_call (f.peer, WIRE_CONFIG_PULL, &args, TIMEOUT_MS, on_pulled,
                 &stalled);
  run_until_done (&f, 2);
  ck_assert_int_ne (f.codes[1], VH_OK);
  /* Time for a third of the reply and for the timeout without data.  */
  ck_assert_uint_lt (clock_ms (clock_system ()) - begin_ms, 1500);
  teardown (&f);
}
END_TEST

static void
on_pushed (void *arg, vh_code_t code, void *result, unsigned sent)
{
  call_tag_t *tag = arg;

  (void)result;
  tag->f->codes[tag->index] = code;
  tag->f->send_counts[tag->index] = sent;
  tag->f->done_count++;
}

/* Guards against an endless resend of a large call on a slow link: the ping
   queued after the call was not answered in time, so the connection was
   considered unresponsive and the call was started again on a new one.  */
START_TEST (large_call_on_slow_link_is_sent_once)
{
  enum
  {
    BYTES = 300000,
    BYTES_PER_S = 100000
  };
  static char large[BYTES];
  wire_config_push_args_t args = { .update = { BYTES, large } };
  fixture_t f;

  setup_slow_link (&f, BYTES_PER_S);
  call_tag_t tag = { &f, 0 };
  rpc_peer_call (f.peer, WIRE_CONFIG_PUSH, &args, 5000, on_pushed, &tag);
  run_until_done (&f, 1);
  ck_assert_int_eq (f.codes[0], VH_OK);
  ck_assert_uint_eq (f.send_counts[0], 1);
  ck_assert_uint_eq (f.update_len, BYTES);
  teardown (&f);
}
END_TEST

START_TEST (cancelled_call_gets_no_reply)
{
  fixture_t f;
  char attempt[] = "1";

  setup (&f, NULL, 0);
  wire_fetch_args_t args = { .attempt = attempt, .offset = 1 };
  call_tag_t tag = { &f, 1 };
  rpc_call_t *call
      = rpc_peer_call (f.peer, WIRE_FETCH, &args, 2000, on_answer, &tag);
  rpc_cancel (call);
  fetch (&f, 2, 2000);
  run_until_done (&f, 1);
  ck_assert_int_eq (f.echoed[2], 2);
  ck_assert_int_eq (f.echoed[1], 0);
  teardown (&f);
}
END_TEST

/* A client without the key connects and sends a call.  The server must not
   handle the call.  */
START_TEST (call_with_wrong_key_is_refused)
{
  fixture_t f;
  const str_t keys[] = { STR ("old"), STR ("new") };
  const str_t wrong = STR ("guess");
  char address[32];

  setup (&f, keys, 2);
  rpc_node_t *unauthorized
      = rpc_node_create (&f.loop, clock_system (), rng_make (6),
                         STR ("stranger"), &wrong, 1, &hooks, &f);
  rpc_node_t *rotated
      = rpc_node_create (&f.loop, clock_system (), rng_make (7),
                         STR ("rotated"), &keys[1], 1, &hooks, &f);
  snprintf (address, sizeof address, "127.0.0.1:%u",
            rpc_server_port (f.server));
  rpc_peer_t *authorized = f.peer;
  f.peer = rpc_peer_create (unauthorized, str_from (address), &no_events, &f);
  fetch (&f, 1, 300);
  run_until_done (&f, 1);
  ck_assert_int_ne (f.codes[1], VH_OK);
  ck_assert_int_eq (f.handled, 0);
  rpc_peer_destroy (f.peer);
  /* The server accepts a call signed with the second key, but signs its reply
     with the first key, which this peer does not have.  A new key must
     therefore be added to all processes before a process signs with it.  */
  f.peer = rpc_peer_create (rotated, str_from (address), &no_events, &f);
  fetch (&f, 2, 300);
  run_until_done (&f, 2);
  ck_assert_int_ge (f.handled, 1);
  rpc_peer_destroy (f.peer);
  f.peer = authorized;
  rpc_node_destroy (unauthorized);
  rpc_node_destroy (rotated);
  teardown (&f);
}
END_TEST

/* The decoder must refuse randomly damaged records without a crash.  */
START_TEST (damaged_records_are_refused)
{
  enum
  {
    ROUNDS = 20000,
    LEN = 160
  };
  fixture_t f;
  rng_t rng = rng_make (11);
  char bytes[LEN];

  setup (&f, NULL, 0);
  for (int i = 0; i < ROUNDS; i++)
    {
      size_t len = rng_below (&rng, LEN);
      for (size_t j = 0; j < len; j++)
        bytes[j] = rng_below (&rng, 3) == 0 ? (char)rng_u64 (&rng) : 0;
      /* The head of most of the records is that of a valid call.  */
      static const unsigned char head[]
          = { 0, 0,    0,    9,    0,    0,    0, 0, 0, 0, 0,
              2, 0x20, 0x56, 0x48, 0x01, 0,    0, 0, 1, 0, 0,
              0, 2,    0x20, 0x56, 0x48, 0x01, 0, 0, 0, 76 };
      if (len > sizeof head && rng_below (&rng, 8) != 0)
        {
          memcpy (bytes, head, sizeof head);
          bytes[23] = (char)rng_below (&rng, 15);
        }
      rpc_decode_and_discard (f.node, str_make (bytes, len));
    }
  teardown (&f);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("rpc");
  TCase *tcase = tcase_create ("rpc");

  tcase_set_timeout (tcase, 20);
  tcase_add_test (tcase, concurrent_calls_get_their_replies);
  tcase_add_test (tcase, calls_leave_unresponsive_connection);
  tcase_add_test (tcase, calls_to_paused_peer_end);
  tcase_add_test (tcase, refused_connection_reports_call_unsent);
  tcase_add_test (tcase, late_reply_is_discarded);
  tcase_add_test (tcase, large_reply_may_exceed_timeout);
  tcase_add_test (tcase, large_call_on_slow_link_is_sent_once);
  tcase_add_test (tcase, cancelled_call_gets_no_reply);
  tcase_add_test (tcase, call_with_wrong_key_is_refused);
  tcase_add_test (tcase, damaged_records_are_refused);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
