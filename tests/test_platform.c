/* Contract test of the platform: the same cases against the in-memory
   implementation and, over HTTP, against the stand-in; then what only the
   HTTP client has to bear.  */

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
  bool over_http;
  /* The last result.  */
  int done;
  vh_code_t code;
  uint64_t revision;
  uint64_t sequence;
  bool flag;
  size_t count;
  double score;
  buf_t text;
} fixture_t;

static void
on_txn (void *arg, vh_code_t code, uint64_t revision, str_t conflict_key)
{
  fixture_t *f = arg;

  f->done++;
  f->code = code;
  f->revision = revision;
  f->text.len = 0;
  buf_append_str (&f->text, conflict_key);
}

static void
on_get (void *arg, vh_code_t code, const row_t *row)
{
  fixture_t *f = arg;

  f->done++;
  f->code = code;
  f->revision = row->version;
  f->text.len = 0;
  buf_append_str (&f->text, row->value);
}

static void
on_scan (void *arg, vh_code_t code, const row_t *rows, size_t count, bool more)
{
  fixture_t *f = arg;

  f->done++;
  f->code = code;
  f->count = count;
  f->flag = more;
  f->text.len = 0;
  for (size_t i = 0; i < count; i++)
    buf_printf (&f->text, "%.*s=%.*s ", STR_ARG (rows[i].key),
                STR_ARG (rows[i].value));
}

static void
on_object (void *arg, vh_code_t code, str_t bytes)
{
  fixture_t *f = arg;

  f->done++;
  f->code = code;
  f->text.len = 0;
  buf_append_str (&f->text, bytes);
}

static void
on_instances (void *arg, vh_code_t code, uint64_t sequence, bool full,
              const instance_row_t *rows, size_t count)
{
  fixture_t *f = arg;

  f->done++;
  f->code = code;
  f->sequence = sequence;
  f->flag = full;
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

  f->done++;
  f->code = code;
  f->score = score;
}

/* Run the loop until COUNT results have come since the last wait.  */
static void
wait_for (fixture_t *f, int count)
{
  ck_assert_msg (f->done == 0, "a call ended inside itself");
  while (f->done < count)
    uv_run (&f->loop, UV_RUN_ONCE);
  ck_assert_int_eq (f->done, count);
  f->done = 0;
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
  ck_assert_msg (str_eq (buf_str (&f->text), expected), "%.*s, not %.*s",
                 (int)f->text.len, f->text.ptr, STR_ARG (expected));
}

static void
case_conditions (fixture_t *f)
{
  put_if (f, STR ("a"), STR ("1"), 0, STR_NULL);
  ck_assert_int_eq (f->code, VH_OK);
  uint64_t first = f->revision;
  ck_assert_uint_gt (first, 0);
  put_if (f, STR ("a"), STR ("2"), 0, STR_NULL);
  ck_assert_int_eq (f->code, VH_E_CONFLICT);
  assert_text (f, STR ("a"));
  put_if (f, STR ("a"), STR ("2"), first, STR_NULL);
  ck_assert_int_eq (f->code, VH_OK);
  ck_assert_uint_gt (f->revision, first);
  get (f, STR ("a"));
  assert_text (f, STR ("2"));
}

/* Two operators swap rows that belong together: half a transaction would
   leave a revision whose text is another's.  */
static void
case_all_or_nothing (fixture_t *f)
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

/* A row is deleted and made again between a reader's two looks.  Were its
   version to start anew, the reader's swap would succeed on the wrong row. */
static void
case_versions_never_repeat (fixture_t *f)
{
  put (f, STR ("d"), STR ("1"));
  uint64_t first = f->revision;
  const txn_write_t gone = { STR ("d"), STR_NULL, true };
  const txn_t txn = { NULL, 0, &gone, 1, STR_NULL };
  run_txn (f, &txn);
  ck_assert_int_eq (f->code, VH_OK);
  put (f, STR ("d"), STR ("2"));
  ck_assert_uint_gt (f->revision, first);
  put_if (f, STR ("d"), STR ("3"), first, STR_NULL);
  ck_assert_int_eq (f->code, VH_E_CONFLICT);
}

/* A reply is lost and the writer asks again.  The second asking must hear
   what became of the first, not that the writer lost to itself.  */
static void
case_token_has_one_effect (fixture_t *f)
{
  put_if (f, STR ("e"), STR ("1"), 0, STR ("token-1"));
  uint64_t first = f->revision;
  put_if (f, STR ("e"), STR ("1"), 0, STR ("token-1"));
  ck_assert_int_eq (f->code, VH_OK);
  ck_assert_uint_eq (f->revision, first);
  put_if (f, STR ("e"), STR ("2"), 0, STR ("token-2"));
  ck_assert_int_eq (f->code, VH_E_CONFLICT);
  const txn_write_t gone = { STR ("e"), STR_NULL, true };
  const txn_t txn = { NULL, 0, &gone, 1, STR_NULL };
  run_txn (f, &txn);
  put_if (f, STR ("e"), STR ("2"), 0, STR ("token-2"));
  ck_assert_int_eq (f->code, VH_E_CONFLICT);
}

static void
case_scan_pages (fixture_t *f)
{
  put (f, STR ("s/1"), STR ("a"));
  put (f, STR ("s/3"), STR ("c"));
  put (f, STR ("s/2"), STR ("b"));
  put (f, STR ("t/1"), STR ("x"));
  scan (f, STR ("s/"), STR_NULL, 2);
  assert_text (f, STR ("s/1=a s/2=b "));
  ck_assert (f->flag);
  scan (f, STR ("s/"), STR ("s/2"), 2);
  assert_text (f, STR ("s/3=c "));
  ck_assert (!f->flag);
  scan (f, STR ("s/"), STR ("s/3"), 2);
  ck_assert_uint_eq (f->count, 0);
  scan (f, STR ("none/"), STR_NULL, 2);
  ck_assert_int_eq (f->code, VH_OK);
  ck_assert_uint_eq (f->count, 0);
}

static void
case_any_bytes (fixture_t *f)
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

/* Post BODY to PATH of the stand-in, outside the platform under test.  */
static void
on_posted (void *arg, vh_code_t code, int status, str_t body)
{
  fixture_t *f = arg;

  ck_assert_int_eq (code, VH_OK);
  ck_assert_int_eq (status, 200);
  f->done++;
  f->text.len = 0;
  buf_append_str (&f->text, body);
}

static void
control (fixture_t *f, str_t method, str_t path, str_t body)
{
  httpc_t *client = httpc_create (&f->loop, str_from (f->child.address), 1);
  const httpc_request_t request
      = { .method = method, .path = path, .body = body, .timeout_ms = 5000 };

  httpc_fetch (client, &request, 1 << 20, on_posted, f);
  wait_for (f, 1);
  httpc_destroy (client);
}

static void
set_faults (fixture_t *f, const char *faults)
{
  control (f, STR ("POST"), STR ("/faults"), str_from (faults));
}

/* Return the count NAME of the stand-in.  */
static uint64_t
count_of (fixture_t *f, const char *name)
{
  control (f, STR ("GET"), STR ("/stats"), STR_NULL);
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

  if (!f->over_http)
    {
      platform_memory_put_instance (f->platform, &row);
      return;
    }
  buf_printf (&body,
              "{\"name\":\"%s\",\"role\":\"sidecar\",\"zone\":\"%s\","
              "\"region\":\"kenya\",\"address\":\"127.0.0.1:1\","
              "\"serves\":\"service:files\",\"state\":\"%s\"}",
              name, zone, states[state]);
  control (f, STR ("POST"), STR ("/instances"), buf_str (&body));
  buf_free (&body);
}

static void
instances (fixture_t *f, uint64_t after)
{
  f->platform->ops->instances (f->platform, after, on_instances, f);
  wait_for (f, 1);
  ck_assert_int_eq (f->code, VH_OK);
}

static void
case_instances (fixture_t *f)
{
  put_instance (f, "r-1", "a", INSTANCE_LIVE);
  put_instance (f, "r-2", "b", INSTANCE_LIVE);
  instances (f, 0);
  ck_assert (f->flag);
  assert_text (f, STR ("r-1/a:0 r-2/b:0 "));
  uint64_t sequence = f->sequence;
  instances (f, sequence);
  ck_assert (!f->flag);
  ck_assert_uint_eq (f->count, 0);
  put_instance (f, "r-2", "b", INSTANCE_LEAVING);
  put_instance (f, "r-1", "a", INSTANCE_GONE);
  instances (f, sequence);
  ck_assert (!f->flag);
  assert_text (f, STR ("r-1/a:2 r-2/b:1 "));
  /* A list that was started anew knows no such sequence.  */
  instances (f, 1000);
  ck_assert (f->flag);
  assert_text (f, STR ("r-2/b:1 "));
}

static void
case_rating (fixture_t *f)
{
  f->platform->ops->rate (f->platform, STR ("draft"), STR ("q"),
                          STR ("an answer, quality=0.83."), on_rate, f);
  wait_for (f, 1);
  ck_assert_int_eq (f->code, VH_OK);
  ck_assert_double_eq_tol (f->score, 0.83, 1e-9);
}

static void
case_many_at_once (fixture_t *f)
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

/* What is pending when the platform goes ends once, as cancelled.  */
static void
case_destroy_ends_calls (fixture_t *f)
{
  f->platform->ops->get (f->platform, STR ("a"), on_get, f);
  f->platform->ops->rate (f->platform, STR (""), STR (""), STR (""), on_rate,
                          f);
  f->platform->ops->destroy (f->platform);
  f->platform = NULL;
  ck_assert_int_eq (f->done, 2);
  ck_assert_int_eq (f->code, VH_E_CANCELLED);
}

static void (*const cases[]) (fixture_t *f) = {
  case_conditions,
  case_all_or_nothing,
  case_versions_never_repeat,
  case_token_has_one_effect,
  case_scan_pages,
  case_any_bytes,
  case_objects,
  case_instances,
  case_rating,
  case_many_at_once,
  case_destroy_ends_calls,
};

enum
{
  CASES = sizeof cases / sizeof cases[0]
};

static void
setup_http (fixture_t *f, const char *faults)
{
  memset (f, 0, sizeof *f);
  uv_loop_init (&f->loop);
  f->over_http = true;
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

/* An operator's change takes effect and its reply is lost; the client asks
   again.  The operator must see "done" once, with one revision, and the row
   must have been written once.  */
START_TEST (lost_reply_is_read_back)
{
  fixture_t f;

  setup_http (&f, NULL);
  put (&f, STR ("k"), STR ("0"));
  uint64_t before = f.revision;
  set_faults (&f, "{\"lost_reply_share\":1}");
  put_if (&f, STR ("k"), STR ("1"), before, STR ("t-1"));
  ck_assert_int_eq (f.code, VH_E_STORE_LATE);
  set_faults (&f, "{\"lost_reply_share\":0}");
  put_if (&f, STR ("k"), STR ("1"), before, STR ("t-1"));
  ck_assert_int_eq (f.code, VH_OK);
  ck_assert_uint_eq (f.revision, before + 1);
  teardown (&f);
}
END_TEST

/* Half of the replies are lost at random: no write may be told as "nothing
   took effect" when it did, nor as done when it was not.  */
START_TEST (half_of_the_replies_lost)
{
  fixture_t f;
  char key[32];
  int told_done = 0;

  setup_http (&f, "{\"lost_reply_share\":0.5}");
  for (int i = 0; i < 40; i++)
    {
      snprintf (key, sizeof key, "k/%d", i);
      put_if (&f, str_from (key), STR ("v"), 0, str_from (key));
      vh_code_t told = f.code;
      get (&f, str_from (key));
      bool there = f.code == VH_OK;
      if (f.code == VH_E_STORE_DOWN)
        continue; /* The breaker is open: nobody can look.  */
      ck_assert (told != VH_OK || there);
      ck_assert (told != VH_E_STORE_DOWN || !there);
      ck_assert_int_ne (told, VH_E_CONFLICT);
      told_done += told == VH_OK;
    }
  ck_assert_int_gt (told_done, 10);
  printf ("half of the replies lost: %d of 40 told done\n", told_done);
  teardown (&f);
}
END_TEST

/* A write without a token goes unanswered: sending it again might do it
   twice, so the client sends it once and says that it may have happened.  */
START_TEST (write_without_token_is_sent_once)
{
  fixture_t f;
  const txn_write_t write = { STR ("k"), STR ("v"), false };
  const txn_t txn = { NULL, 0, &write, 1, STR_NULL };

  setup_http (&f, "{\"lost_reply_share\":1}");
  run_txn (&f, &txn);
  ck_assert_int_eq (f.code, VH_E_STORE_LATE);
  ck_assert_uint_eq (count_of (&f, "txns"), 1);
  teardown (&f);
}
END_TEST

/* The store is slow by seconds, within the deadline: a call must wait for
   it rather than fail and add load.  */
START_TEST (slow_store_is_waited_for)
{
  fixture_t f;

  setup_http (&f, "{\"slow_ms\":250}");
  put_if (&f, STR ("k"), STR ("v"), 0, STR ("t"));
  ck_assert_int_eq (f.code, VH_OK);
  teardown (&f);
}
END_TEST

/* The store says nothing for good.  Every call must end within its deadline,
   and say of a write that it may have happened.  */
START_TEST (silent_store_ends_in_time)
{
  fixture_t f;

  setup_http (&f, "{\"outage\":\"silent\"}");
  uint64_t start_ms = clock_ms (clock_system ());
  put_if (&f, STR ("k"), STR ("v"), 0, STR ("t"));
  ck_assert_int_eq (f.code, VH_E_STORE_LATE);
  get (&f, STR ("k"));
  ck_assert_int_eq (f.code, VH_E_STORE_DOWN);
  uint64_t took_ms = clock_ms (clock_system ()) - start_ms;
  ck_assert_uint_lt (took_ms, 2 * TIMEOUT_MS + 400);
  teardown (&f);
}
END_TEST

/* The store refuses for a while under steady traffic.  The clients must not
   beat on it meanwhile (the breaker is open), and must find it again soon
   after it is back.  */
START_TEST (outage_is_not_hammered)
{
  fixture_t f;

  setup_http (&f, NULL);
  get (&f, STR ("k"));
  set_faults (&f, "{\"outage\":\"refuse\"}");
  uint64_t until_ms = clock_ms (clock_system ()) + 1000;
  uint64_t asked = 0;
  while (clock_ms (clock_system ()) < until_ms)
    {
      get (&f, STR ("k"));
      ck_assert_int_eq (f.code, VH_E_STORE_DOWN);
      asked++;
    }
  uint64_t sent = count_of (&f, "refused");
  ck_assert_uint_gt (asked, 100);
  ck_assert_uint_lt (sent, 40);
  set_faults (&f, "{\"outage\":\"none\"}");
  until_ms = clock_ms (clock_system ()) + 6000;
  do
    get (&f, STR ("k"));
  while (f.code != VH_E_NOT_FOUND && clock_ms (clock_system ()) < until_ms);
  ck_assert_int_eq (f.code, VH_E_NOT_FOUND);
  printf ("outage of 1 s: %llu calls made, %llu sent\n",
          (unsigned long long)asked, (unsigned long long)sent);
  teardown (&f);
}
END_TEST

/* The platform's process ends and another starts on the same address: calls
   in between were surely not sent, and the client finds the new one.  */
START_TEST (restart_is_found_again)
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
  uint64_t until_ms = clock_ms (clock_system ()) + 6000;
  do
    put_if (&f, STR ("k"), STR ("w"), 0, STR ("t-3"));
  while (f.code != VH_OK && clock_ms (clock_system ()) < until_ms);
  ck_assert_int_eq (f.code, VH_OK);
  teardown (&f);
}
END_TEST

/* The table refuses calls above its rate: nothing took effect, the caller
   hears so, and a call that has time is sent again a little later.  */
START_TEST (rate_limit_is_told)
{
  fixture_t f;
  bool busy = false;

  setup_http (&f, "{\"write_limit\":5}");
  for (int i = 0; i < 30; i++)
    {
      put_if (&f, STR ("k"), STR ("v"), 0, STR_NULL);
      busy = busy || f.code == VH_E_STORE_BUSY;
      ck_assert (f.code == VH_OK || f.code == VH_E_CONFLICT
                 || f.code == VH_E_STORE_BUSY);
    }
  ck_assert (busy);
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

/* The rating service fails for long: the table must go on as if nothing had
   happened.  */
START_TEST (rating_faults)
{
  const rating_case_t *c = &rating_cases[_i];
  fixture_t f;

  setup_http (&f, c->faults);
  for (int i = 0; i < 2; i++)
    {
      f.platform->ops->rate (f.platform, STR ("draft"), STR ("q"),
                             STR ("quality=0.8"), on_rate, &f);
      wait_for (&f, 1);
      ck_assert_int_eq (f.code, c->code);
      ck_assert_double_eq_tol (f.score, c->score, 1e-9);
    }
  put (&f, STR ("k"), STR ("v"));
  teardown (&f);
}
END_TEST

START_TEST (instance_list_lags)
{
  fixture_t f;

  setup_http (&f, "{\"lag_ms\":100}");
  put_instance (&f, "r-1", "a", INSTANCE_LIVE);
  instances (&f, 0);
  ck_assert_uint_eq (f.count, 0);
  while (f.count == 0)
    instances (&f, 0);
  assert_text (&f, STR ("r-1/a:0 "));
  teardown (&f);
}
END_TEST

/* A thousand clients fail together.  Repeats stay a small share of the calls
   and the probes of an open breaker are spread.  */
START_TEST (breaker_bounds)
{
  breaker_t breaker;
  rng_t rng = rng_make (9);
  int repeats = 0;
  int probes = 0;

  breaker_init (&breaker);
  for (int i = 0; i < 1000; i++)
    {
      breaker_result (&breaker, true, 0, &rng);
      repeats += breaker_retry (&breaker);
    }
  ck_assert_int_le (repeats, 110);
  for (uint64_t now_ms = 0; now_ms < 60000; now_ms++)
    if (breaker_allow (&breaker, now_ms))
      {
        breaker_result (&breaker, false, now_ms, &rng);
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

  tcase_add_loop_test (tcase, contract_in_memory, 0, CASES);
  tcase_add_loop_test (tcase, contract_over_http, 0, CASES);
  tcase_add_test (tcase, lost_reply_is_read_back);
  tcase_add_test (tcase, half_of_the_replies_lost);
  tcase_add_test (tcase, write_without_token_is_sent_once);
  tcase_add_test (tcase, slow_store_is_waited_for);
  tcase_add_test (tcase, silent_store_ends_in_time);
  tcase_add_test (tcase, outage_is_not_hammered);
  tcase_add_test (tcase, restart_is_found_again);
  tcase_add_test (tcase, rate_limit_is_told);
  tcase_add_loop_test (tcase, rating_faults, 0,
                       sizeof rating_cases / sizeof rating_cases[0]);
  tcase_add_test (tcase, instance_list_lags);
  tcase_add_test (tcase, breaker_bounds);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
