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
  narrow_link_t *link; /* Before the server; NULL: none.  */
  int swallow;         /* Requests still to be left without reply.  */
  int handled;
  rpc_request_t *held[64];
  int held_count;
  bool hold;
  int done;
  vh_code_t codes[512];
  int echoed[512];
  unsigned sent[512];
  uint64_t seen_revision;
  char *large;      /* Told to WIRE_CONFIG_PULL.  */
  size_t large_len; /* The same; of the last WIRE_CONFIG_PUSH.  */
} fixture_t;

typedef struct
{
  fixture_t *f;
  int index;
} tag_t;

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
  ((fixture_t *)arg)->seen_revision = context->revision;
}

static const rpc_hooks_t hooks = { outgoing, incoming };
static const rpc_peer_events_t no_events = { NULL, NULL };

static void
handle (void *arg, rpc_request_t *request, uint32_t proc, void *args)
{
  fixture_t *f = arg;

  f->handled++;
  if (f->swallow > 0)
    {
      f->swallow--;
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
      wire_config_pull_res_t pulled
          = { .update = { (u_int)f->large_len, f->large } };
      rpc_reply (request, &pulled);
      return;
    }
  if (proc == WIRE_CONFIG_PUSH)
    {
      wire_code_res_t taken = { VH_OK };
      f->large_len = ((wire_config_push_args_t *)args)->update.update_len;
      rpc_reply (request, &taken);
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

/* Let the peer be the one at PORT.  */
static void
connect_to (fixture_t *f, uint16_t port)
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
  connect_to (f, rpc_server_port (f->server));
}

/* A server behind a link that passes BYTES_PER_S.  */
static void
setup_narrow (fixture_t *f, size_t bytes_per_s)
{
  setup_server (f, NULL, 0);
  f->link = narrow_link_create (&f->loop, rpc_server_port (f->server),
                                bytes_per_s);
  connect_to (f, narrow_link_port (f->link));
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
  tag_t *tag = arg;
  fixture_t *f = tag->f;

  f->codes[tag->index] = code;
  f->sent[tag->index] = sent;
  if (code == VH_OK)
    {
      wire_answer_t *answer = result;
      char text[16];
      memcpy (text, answer->bytes.bytes_val, answer->bytes.bytes_len);
      text[answer->bytes.bytes_len] = '\0';
      ck_assert_int_eq (atoi (text), (int)answer->offset);
      f->echoed[tag->index] = (int)answer->offset;
    }
  f->done++;
  free (tag);
}

static rpc_call_t *
fetch (fixture_t *f, int index, uint64_t timeout_ms)
{
  tag_t *tag = mem_alloc (sizeof *tag);
  char attempt[16];
  wire_fetch_args_t args = { .attempt = attempt, .offset = (uint64_t)index };

  snprintf (attempt, sizeof attempt, "%d", index);
  *tag = (tag_t){ f, index };
  return rpc_peer_call (f->peer, WIRE_FETCH, &args, timeout_ms, on_answer,
                        tag);
}

static void
on_limit (uv_timer_t *timer)
{
  *(bool *)timer->data = true;
}

static void
run_until_done (fixture_t *f, int done)
{
  uv_timer_t timer;
  bool late = false;

  uv_timer_init (&f->loop, &timer);
  timer.data = &late;
  uv_timer_start (&timer, on_limit, RUN_LIMIT_MS, 0);
  while (f->done < done && !late)
    uv_run (&f->loop, UV_RUN_ONCE);
  ck_assert_msg (!late, "%d of %d done", f->done, done);
  uv_close ((uv_handle_t *)&timer, NULL);
  uv_run (&f->loop, UV_RUN_NOWAIT);
}

START_TEST (many_calls_in_flight)
{
  fixture_t f;
  const str_t key = STR ("secret");

  setup (&f, &key, 1);
  for (int i = 0; i < 500; i++)
    fetch (&f, i, 5000);
  ck_assert_int_eq (f.done, 0);
  run_until_done (&f, 500);
  for (int i = 0; i < 500; i++)
    {
      ck_assert_int_eq (f.codes[i], VH_OK);
      ck_assert_int_eq (f.echoed[i], i);
    }
  ck_assert_uint_eq (f.seen_revision, 42);
  teardown (&f);
}
END_TEST

/* Callers wait on a connection that something between the two ends has lost
   track of: nothing comes back, no error either.  The calls must move to a
   fresh connection and be answered in under two seconds.  */
START_TEST (silent_connection_is_left)
{
  fixture_t f;
  uint64_t begin_ms = clock_ms (clock_system ());

  setup (&f, NULL, 0);
  /* The call and the ping that asks after it.  */
  f.swallow = 2;
  fetch (&f, 1, 8000);
  run_until_done (&f, 1);
  ck_assert_int_eq (f.codes[1], VH_OK);
  ck_assert_uint_eq (f.sent[1], 2);
  ck_assert_uint_eq (rpc_node_stats (f.node)->silent, 1);
  ck_assert_uint_lt (clock_ms (clock_system ()) - begin_ms, 2000);
  /* The replies of the connection that was left come to nothing.  */
  release_held (&f);
  fetch (&f, 2, 8000);
  run_until_done (&f, 2);
  ck_assert_int_eq (f.echoed[2], 2);
  teardown (&f);
}
END_TEST

/* A paused peer takes connections (its kernel does) and answers on none: its
   calls must be given back in a bounded time as perhaps received.  */
START_TEST (paused_peer_gives_calls_back)
{
  fixture_t f;

  setup (&f, NULL, 0);
  f.swallow = 60;
  fetch (&f, 1, 9000);
  run_until_done (&f, 1);
  ck_assert_int_eq (f.codes[1], VH_E_CLOSED);
  ck_assert_int_eq (rpc_peer_state (f.peer), RPC_UNRESPONSIVE);
  teardown (&f);
}
END_TEST

START_TEST (refused_connection_was_not_sent)
{
  fixture_t f;

  setup (&f, NULL, 0);
  rpc_peer_t *real = f.peer;
  f.peer = rpc_peer_create (f.node, STR ("127.0.0.1:1"), &no_events, &f);
  fetch (&f, 1, 2000);
  fetch (&f, 2, 2000);
  run_until_done (&f, 2);
  ck_assert_int_eq (f.codes[1], VH_E_CONNECT);
  ck_assert_int_eq (f.codes[2], VH_E_CONNECT);
  ck_assert_uint_eq (f.sent[1], 0);
  /* Within the back-off the next call fails without a try.  */
  fetch (&f, 3, 2000);
  run_until_done (&f, 3);
  ck_assert_int_eq (f.codes[3], VH_E_CONNECT);
  rpc_peer_destroy (f.peer);
  f.peer = real;
  teardown (&f);
}
END_TEST

START_TEST (timeout_and_late_reply)
{
  fixture_t f;

  setup (&f, NULL, 0);
  f.swallow = 1;
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
  tag_t *tag = arg;
  fixture_t *f = tag->f;

  (void)sent;
  f->codes[tag->index] = code;
  if (code == VH_OK)
    f->echoed[tag->index]
        = (int)((wire_config_pull_res_t *)result)->update.update_len;
  f->done++;
}

/* A reply of any size was given up when it took the link longer than the
   timeout, and asked for again from its beginning.  A reply that stops midway
   is given up.  */
START_TEST (large_reply_is_waited_for_while_it_comes)
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

  setup_narrow (&f, BYTES_PER_S);
  f.large = large;
  f.large_len = BYTES;
  tag_t whole = { &f, 0 };
  rpc_peer_call (f.peer, WIRE_CONFIG_PULL, &args, TIMEOUT_MS, on_pulled,
                 &whole);
  run_until_done (&f, 1);
  ck_assert_int_eq (f.codes[0], VH_OK);
  ck_assert_int_eq (f.echoed[0], BYTES);
  narrow_link_stall_after (f.link, BYTES / 3);
  uint64_t begin_ms = clock_ms (clock_system ());
  tag_t broken = { &f, 1 };
  rpc_peer_call (f.peer, WIRE_CONFIG_PULL, &args, TIMEOUT_MS, on_pulled,
                 &broken);
  run_until_done (&f, 2);
  ck_assert_int_ne (f.codes[1], VH_OK);
  /* A third of the reply, and a silence.  */
  ck_assert_uint_lt (clock_ms (clock_system ()) - begin_ms, 1500);
  teardown (&f);
}
END_TEST

static void
on_pushed (void *arg, vh_code_t code, void *result, unsigned sent)
{
  tag_t *tag = arg;

  (void)result;
  tag->f->codes[tag->index] = code;
  tag->f->sent[tag->index] = sent;
  tag->f->done++;
}

/* While a large call was on its way the ping behind it had no answer, so that
   the connection passed for silent and the call began anew on another one, for
   ever.  */
START_TEST (large_call_is_sent_whole_over_a_narrow_link)
{
  enum
  {
    BYTES = 300000,
    BYTES_PER_S = 100000
  };
  static char large[BYTES];
  wire_config_push_args_t args = { .update = { BYTES, large } };
  fixture_t f;

  setup_narrow (&f, BYTES_PER_S);
  tag_t tag = { &f, 0 };
  rpc_peer_call (f.peer, WIRE_CONFIG_PUSH, &args, 5000, on_pushed, &tag);
  run_until_done (&f, 1);
  ck_assert_int_eq (f.codes[0], VH_OK);
  ck_assert_uint_eq (f.sent[0], 1);
  ck_assert_uint_eq (f.large_len, BYTES);
  teardown (&f);
}
END_TEST

START_TEST (cancelled_call_is_forgotten)
{
  fixture_t f;
  char attempt[] = "1";

  setup (&f, NULL, 0);
  wire_fetch_args_t args = { .attempt = attempt, .offset = 1 };
  tag_t tag = { &f, 1 };
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

/* Somebody without the key connects and calls.  Nothing may be handled.  */
START_TEST (wrong_key_is_refused)
{
  fixture_t f;
  const str_t keys[] = { STR ("old"), STR ("new") };
  const str_t wrong = STR ("guess");
  char address[32];

  setup (&f, keys, 2);
  rpc_node_t *stranger
      = rpc_node_create (&f.loop, clock_system (), rng_make (6),
                         STR ("stranger"), &wrong, 1, &hooks, &f);
  rpc_node_t *rotated
      = rpc_node_create (&f.loop, clock_system (), rng_make (7),
                         STR ("rotated"), &keys[1], 1, &hooks, &f);
  snprintf (address, sizeof address, "127.0.0.1:%u",
            rpc_server_port (f.server));
  rpc_peer_t *own = f.peer;
  f.peer = rpc_peer_create (stranger, str_from (address), &no_events, &f);
  fetch (&f, 1, 300);
  run_until_done (&f, 1);
  ck_assert_int_ne (f.codes[1], VH_OK);
  ck_assert_int_eq (f.handled, 0);
  rpc_peer_destroy (f.peer);
  /* A peer that signs with the second key is taken, but it does not know
     the first one, with which the reply is signed: rotate by adding the new
     key everywhere before signing with it.  */
  f.peer = rpc_peer_create (rotated, str_from (address), &no_events, &f);
  fetch (&f, 2, 300);
  run_until_done (&f, 2);
  ck_assert_int_ge (f.handled, 1);
  rpc_peer_destroy (f.peer);
  f.peer = own;
  rpc_node_destroy (stranger);
  rpc_node_destroy (rotated);
  teardown (&f);
}
END_TEST

/* Random damage to well-formed records must be refused without a crash.  */
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
      /* Mostly a valid head of a call.  */
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
  tcase_add_test (tcase, many_calls_in_flight);
  tcase_add_test (tcase, silent_connection_is_left);
  tcase_add_test (tcase, paused_peer_gives_calls_back);
  tcase_add_test (tcase, refused_connection_was_not_sent);
  tcase_add_test (tcase, timeout_and_late_reply);
  tcase_add_test (tcase, large_reply_is_waited_for_while_it_comes);
  tcase_add_test (tcase, large_call_is_sent_whole_over_a_narrow_link);
  tcase_add_test (tcase, cancelled_call_is_forgotten);
  tcase_add_test (tcase, wrong_key_is_refused);
  tcase_add_test (tcase, damaged_records_are_refused);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
