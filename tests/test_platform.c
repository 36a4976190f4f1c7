/* Contract test of the platform: the same cases are run against the in-memory
   implementation and, over HTTP, against the stand-in server.  Further tests
   inject faults that only the HTTP client can encounter.  */

#include "base/mem.h"
#include "storage/breaker.h"
#include "storage/storage.h"
#include "platform_child.h"
#include "wire/httpc.h"

#include <check.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  TIMEOUT_MS = 500
};

typedef struct
{
  uv_loop_t loop;
  platform_t *platform;
  platform_child_t child;
  bool is_http;
  /* Number of results since the last wait, and the last result.  */
  int ended_calls;
  vh_code_t code;
  uint64_t revision;
  uint64_t sequence;
  bool bool_result;
  size_t count;
  double score;
  buf_t text;
} fixture_t;

static void
on_txn (void *arg, vh_code_t code, uint64_t revision, str_t conflict_key)
{
  fixture_t *f = arg;

  f->ended_calls++;
  f->code = code;
  f->revision = revision;
  f->text.len = 0;
  buf_append_str (&f->text, conflict_key);
}

static void
on_get (void *arg, vh_code_t code, const row_t *row)
{
  fixture_t *f = arg;

  f->ended_calls++;
  f->code = code;
  f->revision = row->version;
  f->text.len = 0;
  buf_append_str (&f->text, row->value);
}

static void
on_scan (void *arg, vh_code_t code, const row_t *rows, size_t count, bool more)
{
  fixture_t *f = arg;

  f->ended_calls++;
  f->code = code;
  f->count = count;
  f->bool_result = more;
  f->text.len = 0;
  for (size_t i = 0; i < count; i++)
    buf_printf (&f->text, "%.*s=%.*s ", STR_ARG (rows[i].key),
                STR_ARG (rows[i].value));
}

static void
on_object (void *arg, vh_code_t code, str_t bytes)
{
  fixture_t *f = arg;

  f->ended_calls++;
  f->code = code;
  f->text.len = 0;
  buf_append_str (&f->text, bytes);
}

static void
on_instances (void *arg, vh_code_t code, uint64_t sequence, bool full,
              const instance_row_t *rows, size_t count)
{
  fixture_t *f = arg;

  f->ended_calls++;
  f->code = code;
  f->sequence = sequence;
  f->bool_result = full;
  f->count = count;
  f->text.len = 0;
  for (size_t i = 0; i < count; i++)
    buf_printf (&f->text, "%.*s/%.*s:%d ", STR_ARG (rows[i].name),
                STR_ARG (rows[i].zone), (int)rows[i].state);
}

static void
on_rate (void *arg, vh_code_t code, double score)
{
  fixture_t *f = arg;

  f->ended_calls++;
  f->code = code;
  f->score = score;
}

/* Run the loop until COUNT calls have ended since the last wait.  */
static void
wait_for (fixture_t *f, int count)
{
  ck_assert_msg (f->ended_calls == 0,
                 "a callback was called before its call returned");
  while (f->ended_calls < count)
    uv_run (&f->loop, UV_RUN_ONCE);
  ck_assert_int_eq (f->ended_calls, count);
  f->ended_calls = 0;
}

static void
run_txn (fixture_t *f, const txn_t *txn)
{
  f->platform->ops->txn (f->platform, txn, on_txn, f);
  wait_for (f, 1);
}

static void
put_if (fixture_t *f, str_t key, str_t value, uint64_t version, str_t token)
{
  const txn_condition_t condition = { key, version };
  const txn_write_t write = { key, value, false };
  const txn_t txn = { &condition, 1, &write, 1, token };

  run_txn (f, &txn);
}

static void
put (fixture_t *f, str_t key, str_t value)
{
  const txn_write_t write = { key, value, false };
  const txn_t txn = { NULL, 0, &write, 1, STR_NULL };

  run_txn (f, &txn);
  ck_assert_int_eq (f->code, VH_OK);
}

static void
get (fixture_t *f, str_t key)
{
  f->platform->ops->get (f->platform, key, on_get, f);
  wait_for (f, 1);
}

static void
scan (fixture_t *f, str_t prefix, str_t after, size_t limit)
{
  f->platform->ops->scan (f->platform, prefix, after, limit, on_scan, f);
  wait_for (f, 1);
}

static void
assert_text (const fixture_t *f, str_t expected)
{
  ck_assert_msg (str_eq (buf_str (&f->text), expected),
                 "got \"%.*s\", expected \"%.*s\"", (int)f->text.len,
                 f->text.ptr, STR_ARG (expected));
}

static void
case_conditional_writes (fixture_t *f)
{
  put_if (f, STR ("a"), STR ("1"), 0, STR_NULL);
  ck_assert_int_eq (f->code, VH_OK);
  uint64_t first_revision = f->revision;
  ck_assert_uint_gt (first_revision, 0);
  put_if (f, STR ("a"), STR ("2"), 0, STR_NULL);
  ck_assert_int_eq (f->code, VH_E_CONFLICT);
  assert_text (f, STR ("a"));
  put_if (f, STR ("a"), STR ("2"), first_revision, STR_NULL);
  ck_assert_int_eq (f->code, VH_OK);
  ck_assert_uint_gt (f->revision, first_revision);
  get (f, STR ("a"));
  assert_text (f, STR ("2"));
}

/* Guards against a partly executed transaction.  Two operators change related
   rows at the same time; writing only some of them would leave a revision with
   the text of another one.  */
static void
case_transaction_is_atomic (fixture_t *f)
{
  put (f, STR ("b"), STR ("old"));
  const txn_condition_t conditions[]
      = { { STR ("b"), f->revision }, { STR ("absent"), 7 } };
  const txn_write_t writes[] = { { STR ("b"), STR ("new"), false },
                                 { STR ("c"), STR ("new"), false } };
  const txn_t txn = { conditions, 2, writes, 2, STR_NULL };

  run_txn (f, &txn);
  ck_assert_int_eq (f->code, VH_E_CONFLICT);
  assert_text (f, STR ("absent"));
  get (f, STR ("b"));
  assert_text (f, STR ("old"));
  get (f, STR ("c"));
  ck_assert_int_eq (f->code, VH_E_NOT_FOUND);
  ck_assert_uint_eq (f->revision, 0);
}

/* Guards against a conditional write that succeeds on the wrong row.  The row
   is deleted and created again between a reader's read and its write; a
   version that started from 1 again would match the reader's condition.  */
static void
case_versions_never_repeat (fixture_t *f)
{
  put (f, STR ("d"), STR ("1"));
  uint64_t first_revision = f->revision;
  const txn_write_t deletion = { STR ("d"), STR_NULL, true };
  const txn_t txn = { NULL, 0, &deletion, 1, STR_NULL };
  run_txn (f, &txn);
  ck_assert_int_eq (f->code, VH_OK);
  put (f, STR ("d"), STR ("2"));
  ck_assert_uint_gt (f->revision, first_revision);
  put_if (f, STR ("d"), STR ("3"), first_revision, STR_NULL);
  ck_assert_int_eq (f->code, VH_E_CONFLICT);
}

/* Guards against a false conflict after a lost reply.  The writer sends its
   transaction again and must get the first outcome, not a conflict with its
   own write.  */
static void
case_resent_token_reports_first_outcome (fixture_t *f)
{
  put_if (f, STR ("e"), STR ("1"), 0, STR ("token-1"));
  uint64_t first_revision = f->revision;
  put_if (f, STR ("e"), STR ("1"), 0, STR ("token-1"));
  ck_assert_int_eq (f->code, VH_OK);
  ck_assert_uint_eq (f->revision, first_revision);
  put_if (f, STR ("e"), STR ("2"), 0, STR ("token-2"));
  ck_assert_int_eq (f->code, VH_E_CONFLICT);
  const txn_write_t deletion = { STR ("e"), STR_NULL, true };
  const txn_t txn = { NULL, 0, &deletion, 1, STR_NULL };
  run_txn (f, &txn);
  put_if (f, STR ("e"), STR ("2"), 0, STR ("token-2"));
  ck_assert_int_eq (f->code, VH_E_CONFLICT);
}

static void
case_scan_in_pages (fixture_t *f)
{
  put (f, STR ("s/1"), STR ("a"));
  put (f, STR ("s/3"), STR ("c"));
  put (f, STR ("s/2"), STR ("b"));
  put (f, STR ("t/1"), STR ("x"));
  scan (f, STR ("s/"), STR_NULL, 2);
  assert_text (f, STR ("s/1=a s/2=b "));
  ck_assert (f->bool_result);
  scan (f, STR ("s/"), STR ("s/2"), 2);
  assert_text (f, STR ("s/3=c "));
  ck_assert (!f->bool_result);
  scan (f, STR ("s/"), STR ("s/3"), 2);
  ck_assert_uint_eq (f->count, 0);
  scan (f, STR ("none/"), STR_NULL, 2);
  ck_assert_int_eq (f->code, VH_OK);
  ck_assert_uint_eq (f->count, 0);
}

static void
case_values_with_any_bytes (fixture_t *f)
{
  static const char bytes[] = "\xff\x00\"\n\xc3\x28";
  const str_t value = { bytes, sizeof bytes - 1 };

  put (f, STR ("bytes"), value);
  get (f, STR ("bytes"));
  assert_text (f, value);
  put (f, STR ("text"), STR ("nul \0 \" \xc3\xa9"));
  get (f, STR ("text"));
  assert_text (f, STR ("nul \0 \" \xc3\xa9"));
  put (f, STR ("empty"), STR_NULL);
  get (f, STR ("empty"));
  ck_assert_int_eq (f->code, VH_OK);
  ck_assert_uint_eq (f->text.len, 0);
}

static void
case_objects (fixture_t *f)
{
  static const char bytes[] = "\x00\xff weights";
  const str_t value = { bytes, sizeof bytes - 1 };
  const str_t name = STR ("answers/a b?&%");

  f->platform->ops->object_get (f->platform, name, on_object, f);
  wait_for (f, 1);
  ck_assert_int_eq (f->code, VH_E_NOT_FOUND);
  f->platform->ops->object_put (f->platform, name, value, on_object, f);
  wait_for (f, 1);
  ck_assert_int_eq (f->code, VH_OK);
  f->platform->ops->object_get (f->platform, name, on_object, f);
  wait_for (f, 1);
  ck_assert_int_eq (f->code, VH_OK);
  assert_text (f, value);
}

static void
on_control_reply (void *arg, vh_code_t code, int status, str_t body)
{
  fixture_t *f = arg;

  ck_assert_int_eq (code, VH_OK);
  ck_assert_int_eq (status, 200);
  f->ended_calls++;
  f->text.len = 0;
  buf_append_str (&f->text, body);
}

/* Send a control request to the stand-in server, bypassing the platform under
   test, and wait for its reply.  */
static void
send_control_request (fixture_t *f, str_t method, str_t path, str_t body)
{
  httpc_t *client = httpc_create (&f->loop, str_from (f->child.address), 1);
  const httpc_request_t request
      = { .method = method, .path = path, .body = body, .timeout_ms = 5000 };

  httpc_fetch (client, &request, 1 << 20, on_control_reply, f);
  wait_for (f, 1);
  httpc_destroy (client);
}

static void
set_faults (fixture_t *f, const char *faults)
{
  send_control_request (f, STR ("POST"), STR ("/faults"), str_from (faults));
}

/* Return the counter NAME from the statistics of the stand-in server.  */
static uint64_t
get_stat (fixture_t *f, const char *name)
{
  send_control_request (f, STR ("GET"), STR ("/stats"), STR_NULL);
  json_t *json = json_loadb (f->text.ptr, f->text.len, 0, NULL);
  ck_assert_ptr_nonnull (json);
  uint64_t count = (uint64_t)json_integer_value (json_object_get (json, name));
  json_decref (json);
  return count;
}

static void
put_instance (fixture_t *f, const char *name, const char *zone,
              instance_state_t state)
{
  static const char *const states[] = { "live", "leaving", "gone" };
  const instance_row_t row = { .name = str_from (name),
                               .role = STR ("sidecar"),
                               .zone = str_from (zone),
                               .region = STR ("kenya"),
                               .address = STR ("127.0.0.1:1"),
                               .serves = STR ("service:files"),
                               .state = state };
  buf_t body = BUF_NULL;

  if (!f->is_http)
    {
      platform_memory_put_instance (f->platform, &row);
      return;
    }
  buf_printf (&body,
              "{\"name\":\"%s\",\"role\":\"sidecar\",\"zone\":\"%s\","
              "\"region\":\"kenya\",\"address\":\"127.0.0.1:1\","
              "\"serves\":\"service:files\",\"state\":\"%s\"}",
              name, zone, states[state]);
  send_control_request (f, STR ("POST"), STR ("/instances"), buf_str (&body));
  buf_free (&body);
}

static void
get_instances (fixture_t *f, uint64_t after)
{
  f->platform->ops->list_instances (f->platform, after, on_instances, f);
  wait_for (f, 1);
  ck_assert_int_eq (f->code, VH_OK);
}

static void
case_instances (fixture_t *f)
{
  put_instance (f, "r-1", "a", INSTANCE_LIVE);
  put_instance (f, "r-2", "b", INSTANCE_LIVE);
  get_instances (f, 0);
  ck_assert (f->bool_result);
  assert_text (f, STR ("r-1/a:0 r-2/b:0 "));
  uint64_t sequence = f->sequence;
  get_instances (f, sequence);
  ck_assert (!f->bool_result);
  ck_assert_uint_eq (f->count, 0);
  put_instance (f, "r-2", "b", INSTANCE_LEAVING);
  put_instance (f, "r-1", "a", INSTANCE_GONE);
  get_instances (f, sequence);
  ck_assert (!f->bool_result);
  assert_text (f, STR ("r-1/a:2 r-2/b:1 "));
  /* A platform whose list was reset does not know the sequence number and
     returns the whole list.  */
  get_instances (f, 1000);
  ck_assert (f->bool_result);
  assert_text (f, STR ("r-2/b:1 "));
}

static void
case_rating (fixture_t *f)
{
  f->platform->ops->rate_answer (f->platform, STR ("draft"), STR ("q"),
                                 STR ("an answer, quality=0.83."), on_rate, f);
  wait_for (f, 1);
  ck_assert_int_eq (f->code, VH_OK);
  ck_assert_double_eq_tol (f->score, 0.83, 1e-9);
}

static void
case_many_concurrent_calls (fixture_t *f)
{
  char key[32];

  for (int i = 0; i < 100; i++)
    {
      snprintf (key, sizeof key, "many/%03d", i);
      const txn_write_t write = { str_from (key), STR ("v"), false };
      const txn_t txn = { NULL, 0, &write, 1, STR_NULL };
      f->platform->ops->txn (f->platform, &txn, on_txn, f);
    }
  wait_for (f, 100);
  scan (f, STR ("many/"), STR_NULL, 1000);
  ck_assert_uint_eq (f->count, 100);
}

/* Guards against calls that never end: destroying the platform ends each
   pending call once, with VH_E_CANCELLED.  */
static void
case_destroy_cancels_pending_calls (fixture_t *f)
{
  f->platform->ops->get (f->platform, STR ("a"), on_get, f);
  f->platform->ops->rate_answer (f->platform, STR (""), STR (""), STR (""),
                                 on_rate, f);
  f->platform->ops->destroy (f->platform);
  f->platform = NULL;
  ck_assert_int_eq (f->ended_calls, 2);
  ck_assert_int_eq (f->code, VH_E_CANCELLED);
}

static void (*const cases[]) (fixture_t *f) = {
  case_conditional_writes,
  case_transaction_is_atomic,
  case_versions_never_repeat,
  case_resent_token_reports_first_outcome,
  case_scan_in_pages,
  case_values_with_any_bytes,
  case_objects,
  case_instances,
  case_rating,
  case_many_concurrent_calls,
  case_destroy_cancels_pending_calls,
};

enum
{
  CASE_COUNT = sizeof cases / sizeof cases[0]
};

static void
setup_http (fixture_t *f, const char *faults)
{
  memset (f, 0, sizeof *f);
  uv_loop_init (&f->loop);
  f->is_http = true;
  platform_child_start (&f->child, 0, faults);
  f->platform = platform_http_create (&f->loop, clock_system (), rng_make (3),
                                      str_from (f->child.address), TIMEOUT_MS);
  ck_assert_ptr_nonnull (f->platform);
}

static void
teardown (fixture_t *f)
{
  if (f->platform != NULL)
    f->platform->ops->destroy (f->platform);
  uv_run (&f->loop, UV_RUN_DEFAULT);
  ck_assert_int_eq (uv_loop_close (&f->loop), 0);
  platform_child_stop (&f->child);
  buf_free (&f->text);
}

START_TEST (contract_in_memory)
{
  fixture_t f = { 0 };

  uv_loop_init (&f.loop);
  f.platform = platform_memory_create (&f.loop);
  cases[_i](&f);
  teardown (&f);
}
END_TEST

START_TEST (contract_over_http)
{
  fixture_t f;

  setup_http (&f, NULL);
  cases[_i](&f);
  teardown (&f);
}
END_TEST

/* Guards against a write that is executed twice.  An operator's change takes
   effect, its reply is lost and the client sends it again: the row must have
   been written once, with one revision.  */
START_TEST (resent_write_has_one_effect_after_lost_reply)
{
  fixture_t f;

  setup_http (&f, NULL);
  put (&f, STR ("k"), STR ("0"));
  uint64_t old_revision = f.revision;
  set_faults (&f, "{\"lost_reply_share\":1}");
  put_if (&f, STR ("k"), STR ("1"), old_revision, STR ("t-1"));
  ck_assert_int_eq (f.code, VH_E_STORE_LATE);
  set_faults (&f, "{\"lost_reply_share\":0}");
  put_if (&f, STR ("k"), STR ("1"), old_revision, STR ("t-1"));
  ck_assert_int_eq (f.code, VH_OK);
  ck_assert_uint_eq (f.revision, old_revision + 1);
  teardown (&f);
}
END_TEST

/* Guards against wrong outcomes when half of the replies are lost at random.
   A write that took effect must not be reported as VH_E_STORE_DOWN, and one
   that did not must not be reported as VH_OK.  */
START_TEST (lost_replies_give_no_wrong_outcome)
{
  fixture_t f;
  char key[32];
  int writes_done = 0;

  setup_http (&f, "{\"lost_reply_share\":0.5}");
  for (int i = 0; i < 40; i++)
    {
      snprintf (key, sizeof key, "k/%d", i);
      put_if (&f, str_from (key), STR ("v"), 0, str_from (key));
      vh_code_t write_code = f.code;
      get (&f, str_from (key));
      bool is_present = f.code == VH_OK;
      if (f.code == VH_E_STORE_DOWN)
        continue; /* The breaker is open, so the row cannot be read.  */
      ck_assert (write_code != VH_OK || is_present);
      ck_assert (write_code != VH_E_STORE_DOWN || !is_present);
      ck_assert_int_ne (write_code, VH_E_CONFLICT);
      writes_done += write_code == VH_OK;
    }
  ck_assert_int_gt (writes_done, 10);
  printf ("half of the replies lost: %d of 40 writes reported as done\n",
          writes_done);
  teardown (&f);
}
END_TEST

/* Guards against a write that is executed twice.  The reply to a write without
   a token is lost: the client must not retry it and must report that it may
   have taken effect.  */
START_TEST (write_without_token_is_not_retried)
{
  fixture_t f;
  const txn_write_t write = { STR ("k"), STR ("v"), false };
  const txn_t txn = { NULL, 0, &write, 1, STR_NULL };

  setup_http (&f, "{\"lost_reply_share\":1}");
  run_txn (&f, &txn);
  ck_assert_int_eq (f.code, VH_E_STORE_LATE);
  ck_assert_uint_eq (get_stat (&f, "txns"), 1);
  teardown (&f);
}
END_TEST

/* Guards against needless failures and extra load when the store is slow.  A
   call whose reply comes late, but within the time-out, must succeed.  */
START_TEST (slow_reply_within_timeout_succeeds)
{
  fixture_t f;

  setup_http (&f, "{\"slow_ms\":250}");
  put_if (&f, STR ("k"), STR ("v"), 0, STR ("t"));
  ck_assert_int_eq (f.code, VH_OK);
  teardown (&f);
}
END_TEST

/* Guards against calls that hang when the store accepts requests and never
   replies.  Every call must end within its time-out, and a write must be
   reported as possibly executed.  */
START_TEST (silent_store_does_not_hang_calls)
{
  fixture_t f;

  setup_http (&f, "{\"outage\":\"silent\"}");
  uint64_t start_ms = clock_ms (clock_system ());
  put_if (&f, STR ("k"), STR ("v"), 0, STR ("t"));
  ck_assert_int_eq (f.code, VH_E_STORE_LATE);
  get (&f, STR ("k"));
  ck_assert_int_eq (f.code, VH_E_STORE_DOWN);
  uint64_t elapsed_ms = clock_ms (clock_system ()) - start_ms;
  ck_assert_uint_lt (elapsed_ms, 2 * TIMEOUT_MS + 400);
  teardown (&f);
}
END_TEST

/* Guards against overload of a store during an outage.  The store refuses all
   calls under steady traffic: the open breaker must hold back most calls, and
   must detect the recovery within seconds.  */
START_TEST (breaker_limits_calls_during_outage)
{
  fixture_t f;

  setup_http (&f, NULL);
  get (&f, STR ("k"));
  set_faults (&f, "{\"outage\":\"refuse\"}");
  uint64_t deadline_ms = clock_ms (clock_system ()) + 1000;
  uint64_t calls_made = 0;
  while (clock_ms (clock_system ()) < deadline_ms)
    {
      get (&f, STR ("k"));
      ck_assert_int_eq (f.code, VH_E_STORE_DOWN);
      calls_made++;
    }
  uint64_t calls_sent = get_stat (&f, "refused");
  ck_assert_uint_gt (calls_made, 100);
  ck_assert_uint_lt (calls_sent, 40);
  set_faults (&f, "{\"outage\":\"none\"}");
  deadline_ms = clock_ms (clock_system ()) + 6000;
  do
    get (&f, STR ("k"));
  while (f.code != VH_E_NOT_FOUND && clock_ms (clock_system ()) < deadline_ms);
  ck_assert_int_eq (f.code, VH_E_NOT_FOUND);
  printf ("outage of 1 s: %llu calls made, %llu sent\n",
          (unsigned long long)calls_made, (unsigned long long)calls_sent);
  teardown (&f);
}
END_TEST

/* Guards against a client that stays disconnected after a restart.  The
   platform's process is killed and a new one starts at the same address.  A
   write while no process listens must be reported as not executed; a write
   after the restart must succeed.  */
START_TEST (client_recovers_after_platform_restart)
{
  fixture_t f;

  setup_http (&f, NULL);
  uint16_t port = f.child.port;
  put (&f, STR ("k"), STR ("v"));
  platform_child_stop (&f.child);
  put_if (&f, STR ("k"), STR ("w"), 0, STR ("t"));
  ck_assert (f.code == VH_E_STORE_DOWN || f.code == VH_E_STORE_LATE);
  put_if (&f, STR ("k"), STR ("w"), 0, STR ("t-2"));
  ck_assert_int_eq (f.code, VH_E_STORE_DOWN);
  platform_child_start (&f.child, port, NULL);
  uint64_t deadline_ms = clock_ms (clock_system ()) + 6000;
  do
    put_if (&f, STR ("k"), STR ("w"), 0, STR ("t-3"));
  while (f.code != VH_OK && clock_ms (clock_system ()) < deadline_ms);
  ck_assert_int_eq (f.code, VH_OK);
  teardown (&f);
}
END_TEST

/* Guards against a wrong code for rate-limited calls.  The table rejects calls
   above its rate: the client retries them within the time-out and otherwise
   reports VH_E_STORE_BUSY, since nothing took effect.  */
START_TEST (rate_limit_is_reported_as_busy)
{
  fixture_t f;
  bool is_busy_reported = false;

  setup_http (&f, "{\"write_limit\":5}");
  for (int i = 0; i < 30; i++)
    {
      put_if (&f, STR ("k"), STR ("v"), 0, STR_NULL);
      is_busy_reported = is_busy_reported || f.code == VH_E_STORE_BUSY;
      ck_assert (f.code == VH_OK || f.code == VH_E_CONFLICT
                 || f.code == VH_E_STORE_BUSY);
    }
  ck_assert (is_busy_reported);
  teardown (&f);
}
END_TEST

typedef struct
{
  const char *faults;
  vh_code_t code;
  double score;
} rating_case_t;

static const rating_case_t rating_cases[] = {
  { "{\"rating\":\"down\"}", VH_E_STORE_DOWN, 0 },
  { "{\"rating\":\"slow\",\"rating_slow_ms\":60000}", VH_E_STORE_DOWN, 0 },
  { "{\"rating\":\"wrong\"}", VH_OK, 0.2 },
};

/* Guards against faults of the rating service (no reply, slow replies, wrong
   ratings) that block calls to the table, which has its own breaker.  */
START_TEST (rating_outage_does_not_block_table)
{
  const rating_case_t *c = &rating_cases[_i];
  fixture_t f;

  setup_http (&f, c->faults);
  for (int i = 0; i < 2; i++)
    {
      f.platform->ops->rate_answer (f.platform, STR ("draft"), STR ("q"),
                                    STR ("quality=0.8"), on_rate, &f);
      wait_for (&f, 1);
      ck_assert_int_eq (f.code, c->code);
      ck_assert_double_eq_tol (f.score, c->score, 1e-9);
    }
  put (&f, STR ("k"), STR ("v"));
  teardown (&f);
}
END_TEST

START_TEST (new_instance_appears_after_lag)
{
  fixture_t f;

  setup_http (&f, "{\"lag_ms\":100}");
  put_instance (&f, "r-1", "a", INSTANCE_LIVE);
  get_instances (&f, 0);
  ck_assert_uint_eq (f.count, 0);
  while (f.count == 0)
    get_instances (&f, 0);
  assert_text (&f, STR ("r-1/a:0 "));
  teardown (&f);
}
END_TEST

/* Guards against a surge of retries and probes during an outage.  After 1000
   successful calls retries must be a small share of the calls, and during 60 s
   of failures the probes must be spread over time.  */
START_TEST (breaker_bounds_retries_and_probes)
{
  breaker_t breaker;
  rng_t rng = rng_make (9);
  int retries = 0;
  int probes = 0;

  breaker_init (&breaker);
  for (int i = 0; i < 1000; i++)
    {
      breaker_record_result (&breaker, true, 0, &rng);
      retries += breaker_take_retry (&breaker);
    }
  ck_assert_int_le (retries, 110);
  for (uint64_t now_ms = 0; now_ms < 60000; now_ms++)
    if (breaker_allow_call (&breaker, now_ms))
      {
        breaker_record_result (&breaker, false, now_ms, &rng);
        probes++;
      }
  ck_assert_int_ge (probes, 60000 / 5000);
  ck_assert_int_le (probes, 5 + 6 + 2 * 60000 / 5000);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("platform");
  TCase *tcase = tcase_create ("platform");

  tcase_add_loop_test (tcase, contract_in_memory, 0, CASE_COUNT);
  tcase_add_loop_test (tcase, contract_over_http, 0, CASE_COUNT);
  tcase_add_test (tcase, resent_write_has_one_effect_after_lost_reply);
  tcase_add_test (tcase, lost_replies_give_no_wrong_outcome);
  tcase_add_test (tcase, write_without_token_is_not_retried);
  tcase_add_test (tcase, slow_reply_within_timeout_succeeds);
  tcase_add_test (tcase, silent_store_does_not_hang_calls);
  tcase_add_test (tcase, breaker_limits_calls_during_outage);
  tcase_add_test (tcase, client_recovers_after_platform_restart);
  tcase_add_test (tcase, rate_limit_is_reported_as_busy);
  tcase_add_loop_test (tcase, rating_outage_does_not_block_table, 0,
                       sizeof rating_cases / sizeof rating_cases[0]);
  tcase_add_test (tcase, new_instance_appears_after_lag);
  tcase_add_test (tcase, breaker_bounds_retries_and_probes);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
