/* Tests of the client with one connection per request, against servers that
   send fixed responses: complete, truncated and invalid ones.  */

#include "loopback.h"
#include "suite.h"
#include "wire/http_exchange.h"

#include <signal.h>
#include <stdio.h>

typedef struct
{
  uv_loop_t loop;
  uv_tcp_t listener;
  uv_tcp_t conn;
  uv_write_t write;
  uv_timer_t timer;
  const char *response;
  bool reset;
  bool accepted;
  /* Events of the client.  */
  int head_count;
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

  f->head_count++;
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
on_close_timer (uv_timer_t *timer)
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

/* Send the response when the request arrives, and close the connection 20 ms
   later.  */
static void
on_request (uv_stream_t *stream, ssize_t read_len, const uv_buf_t *buf)
{
  fixture_t *f = stream->data;
  uv_buf_t response = uv_buf_init ((char *)f->response, strlen (f->response));

  (void)buf;
  uv_read_stop (stream);
  ck_assert_int_gt (read_len, 0);
  uv_write (&f->write, stream, &response, 1, NULL);
  uv_timer_start (&f->timer, on_close_timer, 20, 0);
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
run_exchange (fixture_t *f, const char *response, bool reset)
{
  static const http_exchange_events_t events = { on_head, on_body, on_end };
  char address[32];
  buf_t request = BUF_NULL;

  memset (f, 0, sizeof *f);
  f->response = response;
  f->reset = reset;
  uv_loop_init (&f->loop);
  uv_timer_init (&f->loop, &f->timer);
  f->timer.data = f;
  snprintf (address, sizeof address, "127.0.0.1:%u",
            loopback_bind (&f->loop, &f->listener, f));
  if (response != NULL)
    uv_listen ((uv_stream_t *)&f->listener, 8, on_accept);
  buf_append_str (&request, STR ("GET / HTTP/1.1\r\nhost: a\r\n\r\n"));
  http_exchange_t *call = http_exchange_start (
      &f->loop, str_from (address), &request, 500, false, &events, f);
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

START_TEST (incomplete_responses_are_reported)
{
  static const struct
  {
    const char *response;
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
    /* A response without a length ends with the connection, unless the
       connection was reset.  */
    { "HTTP/1.1 200 OK\r\n\r\nok", false, VH_OK, "ok" },
    { "HTTP/1.1 200 OK\r\n\r\nok", true, VH_E_UPSTREAM_CUT, "ok" },
    /* Contradictory framing: a client that trusts the other header reads a
       different response.  */
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
      run_exchange (&f, cases[i].response, cases[i].reset);
      ck_assert_msg (f.code == cases[i].code, "case %zu: code %d", i, f.code);
      ck_assert_msg (str_eq (buf_str (&f.body), str_from (cases[i].body)),
                     "case %zu", i);
      ck_assert_int_le (f.head_count, 1);
      buf_free (&f.body);
    }
}
END_TEST

/* No server listens on the port: the client must report that no byte of the
   request was sent.  */
START_TEST (unreachable_server_is_reported)
{
  fixture_t f;

  run_exchange (&f, NULL, false);
  ck_assert_int_eq (f.code, VH_E_CONNECT);
}
END_TEST

int
main (void)
{
  signal (SIGPIPE, SIG_IGN);
  Suite *suite = suite_create ("call");
  TCase *tcase = tcase_create ("call");

  tcase_add_test (tcase, incomplete_responses_are_reported);
  tcase_add_test (tcase, unreachable_server_is_reported);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
