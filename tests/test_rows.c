/* The client of the platform's store, over HTTP and a slow link: large replies
   must arrive, and replies that stop must time out.  */

#include "base/loop_watch.h"
#include "base/mem.h"
#include "gateway/tablesync.h"
#include "loop_wait.h"
#include "loopback.h"
#include "narrow_link.h"
#include "platform/platform.h"
#include "suite.h"

#include <jansson.h>
#include <openssl/evp.h>
#include <signal.h>
#include <stdio.h>

enum
{
  WAIT_LIMIT_MS = 12000,
  BYTES_PER_S = 200000,
  /* The link needs 2 s to transmit a value of this size in base64, which is
     longer than any timeout of a table sync.  */
  LARGE_BYTES = 300000,
  /* Its decoding takes much longer than receiving a part of the reply.  */
  HUGE_BYTES = 8000000
};

/* A connection to the simulated store.  */
typedef struct conn conn_t;

typedef struct
{
  uv_loop_t loop;
  uv_tcp_t listener;
  loop_wait_t wait;
  list_t conns;
  buf_t value; /* Value of the store's only row, in base64.  */
  uint64_t version;
  size_t calls;
  narrow_link_t *link;
  uint16_t port; /* Port of the store, not behind the link.  */
  rows_t *rows;
  table_sync_t *sync;
  /* Length of the value that was read last.  */
  size_t value_len;
  bool is_done;
  vh_code_t code;
} fixture_t;

struct conn
{
  list_t link;
  fixture_t *f;
  uv_tcp_t tcp;
  uv_timer_t timer;
  uv_write_t write;
  buf_t request;
  buf_t answer;
  bool is_answered;
  uint64_t known_version;
  int open_handles;
};

static void
on_conn_closed (uv_handle_t *handle)
{
  conn_t *conn = handle->data;

  if (--conn->open_handles > 0)
    return;
  buf_free (&conn->request);
  buf_free (&conn->answer);
  free (conn);
}

static void
conn_close (conn_t *conn)
{
  if (uv_is_closing ((uv_handle_t *)&conn->tcp))
    return;
  list_remove (&conn->link);
  uv_close ((uv_handle_t *)&conn->tcp, on_conn_closed);
  uv_close ((uv_handle_t *)&conn->timer, on_conn_closed);
}

/* Reply with the row, unless the client already has its version.  */
static void
conn_reply (conn_t *conn)
{
  fixture_t *f = conn->f;
  buf_t body = BUF_NULL;

  conn->is_answered = true;
  buf_append_str (&body, STR ("{\"rows\":["));
  if (conn->known_version < f->version)
    {
      buf_append_str (&body, STR ("{\"table\":\"op\",\"part\":\"\","
                                  "\"key\":\"config\",\"value\":\""));
      buf_append_str (&body, buf_str (&f->value));
      buf_printf (&body, "\",\"ver\":%llu}", (unsigned long long)f->version);
    }
  buf_printf (&body, "],\"hasMore\":false,\"ver\":%llu,\"nowMs\":%llu}",
              (unsigned long long)f->version,
              (unsigned long long)uv_now (&f->loop));
  buf_printf (&conn->answer, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n",
              body.len);
  buf_append_str (&conn->answer, buf_str (&body));
  buf_free (&body);
  uv_buf_t buf = uv_buf_init (conn->answer.ptr, (unsigned)conn->answer.len);
  uv_write (&conn->write, (uv_stream_t *)&conn->tcp, &buf, 1, NULL);
}

static void
on_watch_timer (uv_timer_t *timer)
{
  conn_reply (timer->data);
}

/* Return the number after NAME in CONN's request; 0 if NAME does not
   occur.  */
static uint64_t
query_number (const conn_t *conn, const char *name)
{
  const char *at = strstr (conn->request.ptr, name);

  return at != NULL ? strtoull (at + strlen (name), NULL, 10) : 0;
}

static void
on_alloc (uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
  static char bytes[4096];

  (void)handle;
  (void)size;
  *buf = uv_buf_init (bytes, sizeof bytes);
}

static void
on_read (uv_stream_t *stream, ssize_t received, const uv_buf_t *buf)
{
  conn_t *conn = stream->data;

  if (received < 0)
    {
      conn_close (conn);
      return;
    }
  buf_append (&conn->request, buf->base, (size_t)received);
  buf_append_char (&conn->request, '\0');
  conn->request.len--;
  if (strstr (conn->request.ptr, "\r\n\r\n") == NULL || conn->is_answered)
    return;
  conn->f->calls++;
  conn->known_version = query_number (conn, "after=");
  if (conn->known_version < conn->f->version)
    conn_reply (conn);
  else
    uv_timer_start (&conn->timer, on_watch_timer,
                    query_number (conn, "waitMs="), 0);
}

static void
on_accept (uv_stream_t *listener, int status)
{
  fixture_t *f = listener->data;
  conn_t *conn = mem_zalloc (sizeof *conn);

  ck_assert_int_eq (status, 0);
  conn->f = f;
  list_append (&f->conns, &conn->link);
  uv_tcp_init (&f->loop, &conn->tcp);
  uv_timer_init (&f->loop, &conn->timer);
  conn->open_handles = 2;
  conn->tcp.data = conn;
  conn->timer.data = conn;
  ck_assert_int_eq (uv_accept (listener, (uv_stream_t *)&conn->tcp), 0);
  uv_read_start ((uv_stream_t *)&conn->tcp, on_alloc, on_read);
}

/* Store a value of LEN bytes and reply to the waiting calls.  */
static void
store_put (fixture_t *f, size_t len)
{
  char *plain = mem_alloc (len);

  for (size_t i = 0; i < len; i++)
    plain[i] = (char)('a' + i % 26);
  f->value.len = 0;
  buf_reserve (&f->value, len / 3 * 4 + 5);
  f->value.len = (size_t)EVP_EncodeBlock (
      (unsigned char *)f->value.ptr, (const unsigned char *)plain, (int)len);
  f->version++;
  free (plain);
  LIST_EACH (at, &f->conns)
    {
      conn_t *conn = CONTAINER_OF (at, conn_t, link);
      if (conn->request.len > 0 && !conn->is_answered)
        {
          uv_timer_stop (&conn->timer);
          conn_reply (conn);
        }
    }
}

#define WAIT_FOR(f, cond) LOOP_WAIT (&(f)->wait, cond)

/* Start a store whose row has LEN bytes, behind a slow link.  */
static void
setup (fixture_t *f, size_t len)
{
  char text[32];

  memset (f, 0, sizeof *f);
  list_init (&f->conns);
  uv_loop_init (&f->loop);
  loop_wait_init (&f->wait, &f->loop, WAIT_LIMIT_MS);
  f->port = loopback_listen (&f->loop, &f->listener, f, on_accept);
  f->link = narrow_link_create (&f->loop, f->port, BYTES_PER_S);
  snprintf (text, sizeof text, "127.0.0.1:%u", narrow_link_port (f->link));
  f->rows = platform_rows_create (&f->loop, str_from (text));
  store_put (f, len);
}

static void
teardown (fixture_t *f)
{
  table_sync_destroy (f->sync);
  f->rows->ops->destroy (f->rows);
  narrow_link_destroy (f->link);
  LIST_EACH (at, &f->conns)
    conn_close (CONTAINER_OF (at, conn_t, link));
  uv_close ((uv_handle_t *)&f->listener, NULL);
  loop_wait_close (&f->wait);
  uv_run (&f->loop, UV_RUN_DEFAULT);
  ck_assert_int_eq (uv_loop_close (&f->loop), 0);
  buf_free (&f->value);
}

static void
on_put (void *arg, const rows_row_t *row)
{
  ((fixture_t *)arg)->value_len = row->value.len;
}

static void
on_removed (void *arg, str_t key)
{
  (void)arg;
  (void)key;
}

static void
on_synced (void *arg, bool is_full_read)
{
  (void)arg;
  (void)is_full_read;
}

/* Start to sync the table as a gateway syncs its configuration.  */
static void
start_sync (fixture_t *f)
{
  static const table_sync_options_t options = { .table = ROWS_OPERATOR,
                                                .name = "orders",
                                                .wait_ms = 1500,
                                                .timeout_slack_ms = 500 };
  static const table_sync_events_t events
      = { .put = on_put, .removed = on_removed, .synced = on_synced };

  f->sync = table_sync_create (&f->loop, clock_system (), f->rows, 1, &options,
                               &events, f);
}

static void
on_result (void *arg, vh_code_t code, const rows_result_t *result)
{
  fixture_t *f = arg;

  f->is_done = true;
  f->code = code;
  if (code == VH_OK && result->count > 0)
    f->value_len = result->rows[0].value.len;
}

/* A configuration whose transmission took longer than the timeout was
   requested repeatedly, and the previous configuration stayed in force.  */
START_TEST (large_configuration_arrives_over_a_slow_link)
{
  fixture_t f;

  setup (&f, 100);
  start_sync (&f);
  WAIT_FOR (&f, f.value_len == 100);
  /* Reach the end of the wait of a watch call.  */
  loop_wait_for_ms (&f.wait, 1200);
  store_put (&f, LARGE_BYTES);
  uint64_t start_ms = uv_now (&f.loop);
  WAIT_FOR (&f, f.value_len == LARGE_BYTES);
  ck_assert_uint_lt (uv_now (&f.loop) - start_ms, 4000);
  WAIT_FOR (&f, table_sync_age_ms (f.sync) < 2000);
  teardown (&f);
}
END_TEST

/* A gateway never became ready if the transmission of its first configuration
   took longer than one timeout.  */
START_TEST (first_read_completes_over_a_slow_link)
{
  fixture_t f;

  setup (&f, LARGE_BYTES);
  start_sync (&f);
  WAIT_FOR (&f, f.value_len == LARGE_BYTES);
  ck_assert_uint_eq (f.calls, 1);
  teardown (&f);
}
END_TEST

/* No more data arrives in the middle of a reply.  The call must fail once no
   data has arrived for the caller's timeout.  */
START_TEST (reply_that_stops_times_out)
{
  enum
  {
    TIMEOUT_MS = 300,
    BYTES_PASSED = 50000
  };
  fixture_t f;

  setup (&f, LARGE_BYTES);
  narrow_link_stall_after (f.link, BYTES_PASSED);
  f.rows->ops->read (f.rows, ROWS_OPERATOR, STR (""), TIMEOUT_MS, on_result,
                     &f);
  WAIT_FOR (&f,
            narrow_link_forwarded_bytes (f.link) == BYTES_PASSED || f.is_done);
  uint64_t stopped_ms = uv_now (&f.loop);
  WAIT_FOR (&f, f.is_done);
  ck_assert_int_eq (f.code, VH_E_STORE_DOWN);
  ck_assert_uint_lt (uv_now (&f.loop) - stopped_ms, TIMEOUT_MS + 200);
  teardown (&f);
}
END_TEST

/* Return the time in us that a JSON string with VALUE takes to be parsed.  */
static uint64_t
json_parse_us (str_t value)
{
  buf_t text = BUF_NULL;

  buf_printf (&text, "[\"%.*s\"]", STR_ARG (value));
  uint64_t start_ns = uv_hrtime ();
  json_decref (json_loadb (text.ptr, text.len, 0, NULL));
  uint64_t us = (uv_hrtime () - start_ns) / 1000;
  buf_free (&text);
  return us;
}

/* Start a call of the store for its row, not through the slow link, and wait
   until the store has it.  */
static rows_t *
call_directly (fixture_t *f)
{
  char text[32];

  snprintf (text, sizeof text, "127.0.0.1:%u", f->port);
  rows_t *rows = platform_rows_create (&f->loop, str_from (text));
  rows->ops->read (rows, ROWS_OPERATOR, STR (""), WAIT_LIMIT_MS, on_result, f);
  WAIT_FOR (f, f->calls == 1);
  return rows;
}

/* A signal to stop that arrives while a long reply is decoded must not wait
   for it: no iteration may take as long as parsing the JSON of the reply.  */
START_TEST (long_reply_does_not_block_the_loop)
{
  fixture_t f;
  histogram_t busy = { 0 };

  setup (&f, HUGE_BYTES);
  loop_watch_t *watch = loop_watch_create (&f.loop, &busy);
  rows_t *rows = call_directly (&f);
  memset (&busy, 0, sizeof busy);
  WAIT_FOR (&f, f.is_done);
  uv_run (&f.loop, UV_RUN_NOWAIT);
  ck_assert_int_eq (f.code, VH_OK);
  ck_assert_uint_eq (f.value_len, HUGE_BYTES);
  ck_assert_uint_lt (histogram_quantile (&busy, 1),
                     json_parse_us (buf_str (&f.value)));
  rows->ops->destroy (rows);
  loop_watch_destroy (watch);
  teardown (&f);
}
END_TEST

/* A call that is cancelled at any moment of its reply must not be completed,
   also while the reply is decoded.  */
START_TEST (cancelled_call_is_not_completed)
{
  for (uint64_t i = 0; i < 8; i++)
    {
      fixture_t f;
      setup (&f, HUGE_BYTES / 8);
      rows_t *rows = call_directly (&f);
      loop_wait_for_ms (&f.wait, i * 4);
      if (!f.is_done)
        {
          rows->ops->cancel (rows, &f);
          loop_wait_for_ms (&f.wait, 100);
          ck_assert (!f.is_done);
        }
      rows->ops->destroy (rows);
      teardown (&f);
    }
}
END_TEST

int
main (void)
{
  signal (SIGPIPE, SIG_IGN);
  Suite *suite = suite_create ("rows");
  TCase *tcase = tcase_create ("rows");

  tcase_set_timeout (tcase, 60);
  tcase_add_test (tcase, large_configuration_arrives_over_a_slow_link);
  tcase_add_test (tcase, first_read_completes_over_a_slow_link);
  tcase_add_test (tcase, reply_that_stops_times_out);
  tcase_add_test (tcase, long_reply_does_not_block_the_loop);
  tcase_add_test (tcase, cancelled_call_is_not_completed);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
