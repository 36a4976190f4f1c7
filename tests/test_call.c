/* One call on a connection of its own, against servers that answer by script:
   which answers are whole, which are cut, which are none.  */

#include "loopback.h"
#include "suite.h"
#include "wire/call.h"

#include <signal.h>
#include <stdio.h>

typedef struct
{
  uv_loop_t loop;
  uv_tcp_t listener;
  uv_tcp_t conn;
  uv_write_t write;
  uv_timer_t timer;
  const char *answer;
  bool reset;
  bool accepted;
  /* What the call told.  */
  int heads;
  int status;
  buf_t body;
  vh_code_t code;
  bool done;
  bool sent;
} fixture_t;

static void
on_head (void *arg, const http_exchange_head_t *head)
{
  fixture_t *f = arg;

  f->heads++;
  f->status = head->status;
}

static void
on_body (void *arg, str_t bytes)
{
  buf_append_str (&((fixture_t *)arg)->body, bytes);
}

static void
on_end (void *arg, vh_code_t code)
{
  fixture_t *f = arg;

  ck_assert (!f->done);
  f->code = code;
  f->done = true;
}

static void
on_close_time (uv_timer_t *timer)
{
  fixture_t *f = timer->data;

  if (f->reset)
    uv_tcp_close_reset (&f->conn, NULL);
  else
    uv_close ((uv_handle_t *)&f->conn, NULL);
}

static void
on_alloc (uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
  static char bytes[4096];

  (void)handle;
  (void)size;
  *buf = uv_buf_init (bytes, sizeof bytes);
}

/* The request is there: answer, and end the connection a moment later.  */
static void
on_request (uv_stream_t *stream, ssize_t got, const uv_buf_t *buf)
{
  fixture_t *f = stream->data;
  uv_buf_t answer = uv_buf_init ((char *)f->answer, strlen (f->answer));

  (void)buf;
  uv_read_stop (stream);
  ck_assert_int_gt (got, 0);
  uv_write (&f->write, stream, &answer, 1, NULL);
  uv_timer_start (&f->timer, on_close_time, 20, 0);
}

static void
on_accept (uv_stream_t *listener, int status)
{
  fixture_t *f = listener->data;

  ck_assert_int_eq (status, 0);
  uv_tcp_init (&f->loop, &f->conn);
  f->conn.data = f;
  f->accepted = true;
  uv_accept (listener, (uv_stream_t *)&f->conn);
  uv_read_start ((uv_stream_t *)&f->conn, on_alloc, on_request);
}

static void
play (fixture_t *f, const char *answer, bool reset)
{
  static const http_exchange_events_t events = { on_head, on_body, on_end };
  char address[32];
  buf_t request = BUF_NULL;

  memset (f, 0, sizeof *f);
  f->answer = answer;
  f->reset = reset;
  uv_loop_init (&f->loop);
  uv_timer_init (&f->loop, &f->timer);
  f->timer.data = f;
  snprintf (address, sizeof address, "127.0.0.1:%u",
            loopback_bind (&f->loop, &f->listener, f));
  if (answer != NULL)
    uv_listen ((uv_stream_t *)&f->listener, 8, on_accept);
  buf_append_str (&request, STR ("GET / HTTP/1.1\r\nhost: a\r\n\r\n"));
  call_t *call = http_exchange_start (&f->loop, str_from (address), &request,
                                      500, false, &events, f);
  ck_assert_ptr_nonnull (call);
  while (!f->done)
    uv_run (&f->loop, UV_RUN_ONCE);
  uv_close ((uv_handle_t *)&f->listener, NULL);
  uv_close ((uv_handle_t *)&f->timer, NULL);
  if (f->accepted && !uv_is_closing ((uv_handle_t *)&f->conn))
    uv_close ((uv_handle_t *)&f->conn, NULL);
  uv_run (&f->loop, UV_RUN_DEFAULT);
  ck_assert_int_eq (uv_loop_close (&f->loop), 0);
}

START_TEST (answers_are_told_apart)
{
  static const struct
  {
    const char *answer;
    bool reset;
    vh_code_t code;
    const char *body;
  } cases[] = {
    { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false, VH_OK, "ok" },
    { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n",
      false, VH_OK, "ok" },
    { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false, VH_OK, "" },
    { "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
      "Content-Length: 2\r\n\r\nok",
      false, VH_OK, "ok" },
    { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", false,
      VH_E_UPSTREAM_CUT, "ok" },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "2\r\nok\r\n0\r\n\r\n",
      false, VH_OK, "ok" },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
      false, VH_E_UPSTREAM_CUT, "ok" },
    { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", false,
      VH_E_PROTOCOL, "" },
    /* Without a length the end of the connection ends the answer, unless it
       was reset.  */
    { "HTTP/1.1 200 OK\r\n\r\nok", false, VH_OK, "ok" },
    { "HTTP/1.1 200 OK\r\n\r\nok", true, VH_E_UPSTREAM_CUT, "ok" },
    /* Two framings: one who believes the other one sees another answer.  */
    { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
      false, VH_E_PROTOCOL, "" },
    { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
      "Transfer-Encoding: chunked\r\n\r\nok",
      false, VH_E_PROTOCOL, "" },
    { "SSH-2.0-x\r\n\r\n", false, VH_E_PROTOCOL, "" },
    { "HTTP/1.1 200 OK\r\nContent", false, VH_E_UPSTREAM_CUT, "" },
    { "", false, VH_E_UPSTREAM_CUT, "" },
    { "", true, VH_E_UPSTREAM_CUT, "" },
  };
  fixture_t f;

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      play (&f, cases[i].answer, cases[i].reset);
      ck_assert_msg (f.code == cases[i].code, "case %zu: code %d", i, f.code);
      ck_assert_msg (str_eq (buf_str (&f.body), str_from (cases[i].body)),
                     "case %zu", i);
      ck_assert_int_le (f.heads, 1);
      buf_free (&f.body);
    }
}
END_TEST

/* Nobody listens: no byte of the request left, and the call says so.  */
START_TEST (an_unreachable_server_got_nothing)
{
  fixture_t f;

  play (&f, NULL, false);
  ck_assert_int_eq (f.code, VH_E_CONNECT);
}
END_TEST

int
main (void)
{
  signal (SIGPIPE, SIG_IGN);
  Suite *suite = suite_create ("call");
  TCase *tcase = tcase_create ("call");

  tcase_add_test (tcase, answers_are_told_apart);
  tcase_add_test (tcase, an_unreachable_server_got_nothing);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
