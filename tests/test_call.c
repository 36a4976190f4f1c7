/* Tests of the client with one connection per request, against servers that
   send fixed responses: complete, truncated and invalid ones.  */

#include "base/mem.h"
#include "loopback.h"
#include "suite.h"
#include "wire/addr.h"
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
  http_exchange_t *call
      = http_exchange_start (&f->loop, str_from (address), &request, STR_NULL,
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
    /* Statuses that no response has.  */
    { "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok", false, VH_E_PROTOCOL,
      "" },
    { "HTTP/1.1 099 OK\r\nContent-Length: 2\r\n\r\nok", false, VH_E_PROTOCOL,
      "" },
    { "HTTP/1.1 101 OK\r\nContent-Length: 2\r\n\r\nok", false, VH_E_PROTOCOL,
      "" },
    { "HTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\nok", false, VH_E_PROTOCOL,
      "" },
    { "HTTP/1.1 20 OK\r\nContent-Length: 2\r\n\r\nok", false, VH_E_PROTOCOL,
      "" },
    { "HTTP/1.1 -20 OK\r\nContent-Length: 2\r\n\r\nok", false, VH_E_PROTOCOL,
      "" },
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

/* Failure: a registration with an address to which no connection can be tried
   becomes an upstream.  */
START_TEST (address_of_no_server_is_accepted)
{
  static const char *const invalid[] = { "",
                                         ":",
                                         "127.0.0.1",
                                         "127.0.0.1:",
                                         ":80",
                                         "127.0.0.1:0",
                                         "127.0.0.1:65536",
                                         "127.0.0.1:-1",
                                         "[",
                                         "[]:80",
                                         "[::1]",
                                         "[::1]:65536",
                                         "host:80",
                                         "127.0.0:80",
                                         "127.0.0.1:8 0",
                                         "127.0.0.1:99999999999999999999" };
  static const char *const valid[] = { "127.0.0.1:1", "[::1]:65535" };

  for (size_t i = 0; i < sizeof invalid / sizeof invalid[0]; i++)
    ck_assert_msg (!addr_is_valid (str_from (invalid[i])), "%s", invalid[i]);
  for (size_t i = 0; i < sizeof valid / sizeof valid[0]; i++)
    ck_assert_msg (addr_is_valid (str_from (valid[i])), "%s", valid[i]);
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

enum
{
  /* More than the socket buffers hold, so that a part is still to be
     written when the response arrives.  */
  LONG_REQUEST_BYTES = 32 << 20,
  /* Time in which the loop meets what the server did.  */
  SETTLE_MS = 50
};

typedef enum
{
  END_RESET,
  END_HALF_CLOSED, /* The server sends its end, and reads on.  */
  END_READ_ON      /* The server reads the whole request, then closes.  */
} end_t;

/* A server that answers before it has read a long request.  The client reads
   nothing between the first part of the response and its end, so the reset
   meets the write of the request before any read.  */
typedef struct
{
  uv_loop_t loop;
  uv_tcp_t listener;
  uv_tcp_t conn;
  uv_write_t writes[2];
  uv_shutdown_t shutdown;
  uv_timer_t timer;
  http_exchange_t *call;
  const char *parts[2];
  end_t end;
  uint64_t request_read;
  buf_t body;
  bool done;
  vh_code_t code;
} early_t;

static void
early_write (early_t *e, size_t part)
{
  uv_buf_t buf = uv_buf_init ((char *)e->parts[part], strlen (e->parts[part]));

  uv_write (&e->writes[part], (uv_stream_t *)&e->conn, &buf, 1, NULL);
}

static void
early_on_read (uv_stream_t *stream, ssize_t read_len, const uv_buf_t *buf)
{
  early_t *e = stream->data;

  (void)buf;
  if (read_len < 0)
    {
      uv_close ((uv_handle_t *)stream, NULL);
      return;
    }
  if (e->request_read == 0)
    {
      uv_read_stop (stream);
      early_write (e, 0);
    }
  e->request_read += (uint64_t)read_len;
  if (e->end == END_READ_ON && e->request_read == LONG_REQUEST_BYTES)
    uv_close ((uv_handle_t *)stream, NULL);
}

static void
early_on_accept (uv_stream_t *listener, int status)
{
  early_t *e = listener->data;

  ck_assert_int_eq (status, 0);
  uv_tcp_init (&e->loop, &e->conn);
  e->conn.data = e;
  uv_accept (listener, (uv_stream_t *)&e->conn);
  uv_read_start ((uv_stream_t *)&e->conn, on_alloc, early_on_read);
}

static void
early_on_settled (uv_timer_t *timer)
{
  early_t *e = timer->data;

  http_exchange_resume (e->call);
}

static void
early_on_paused (uv_timer_t *timer)
{
  early_t *e = timer->data;

  early_write (e, 1);
  if (e->end == END_RESET)
    uv_tcp_close_reset (&e->conn, NULL);
  else
    {
      if (e->end == END_HALF_CLOSED)
        uv_shutdown (&e->shutdown, (uv_stream_t *)&e->conn, NULL);
      uv_read_start ((uv_stream_t *)&e->conn, on_alloc, early_on_read);
    }
  uv_timer_start (timer, early_on_settled, SETTLE_MS, 0);
}

static void
early_on_head (void *arg, const http_exchange_head_t *head)
{
  early_t *e = arg;

  ck_assert_int_eq (head->status, 200);
  http_exchange_pause (e->call);
  uv_timer_start (&e->timer, early_on_paused, 0, 0);
}

static void
early_on_body (void *arg, str_t bytes)
{
  buf_append_str (&((early_t *)arg)->body, bytes);
}

static void
early_on_end (void *arg, vh_code_t code)
{
  early_t *e = arg;

  e->code = code;
  e->done = true;
}

static void
run_early_response (early_t *e)
{
  static const http_exchange_events_t events
      = { early_on_head, early_on_body, early_on_end };
  static const char head[] = "POST / HTTP/1.1\r\nhost: a\r\n"
                             "content-length: %zu\r\n\r\n";
  char address[32];
  buf_t request = BUF_NULL;
  int small = 16384;

  uv_loop_init (&e->loop);
  uv_timer_init (&e->loop, &e->timer);
  e->timer.data = e;
  snprintf (address, sizeof address, "127.0.0.1:%u",
            loopback_bind (&e->loop, &e->listener, e));
  uv_recv_buffer_size ((uv_handle_t *)&e->listener, &small);
  uv_listen ((uv_stream_t *)&e->listener, 8, early_on_accept);
  buf_printf (&request, head, (size_t)LONG_REQUEST_BYTES);
  char *fill = mem_zalloc (LONG_REQUEST_BYTES);
  buf_append (&request, fill, LONG_REQUEST_BYTES - request.len);
  free (fill);
  e->call = http_exchange_start (&e->loop, str_from (address), &request,
                                 STR_NULL, 500, false, &events, e);
  ck_assert_ptr_nonnull (e->call);
  while (!e->done)
    uv_run (&e->loop, UV_RUN_ONCE);
  uv_close ((uv_handle_t *)&e->listener, NULL);
  uv_close ((uv_handle_t *)&e->timer, NULL);
  if (!uv_is_closing ((uv_handle_t *)&e->conn))
    uv_close ((uv_handle_t *)&e->conn, NULL);
  uv_run (&e->loop, UV_RUN_DEFAULT);
  ck_assert_int_eq (uv_loop_close (&e->loop), 0);
}

/* A reset that the write of the request reports must not end a response
   without a length as a complete one.  */
START_TEST (reset_met_by_the_write_cuts_the_response)
{
  static const struct
  {
    const char *parts[2];
    end_t end;
    vh_code_t code;
    const char *body;
  } cases[] = {
    { { "HTTP/1.1 200 OK\r\n\r\no", "k" },
      END_RESET,
      VH_E_UPSTREAM_CUT,
      "ok" },
    { { "HTTP/1.1 200 OK\r\n\r\nok", "" },
      END_RESET,
      VH_E_UPSTREAM_CUT,
      "ok" },
    { { "HTTP/1.1 200 OK\r\n\r\n", "" }, END_RESET, VH_E_UPSTREAM_CUT, "" },
    { { "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n",
        "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" },
      END_RESET,
      VH_E_UPSTREAM_CUT,
      "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" },
    { { "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\no", "k" },
      END_RESET,
      VH_E_UPSTREAM_CUT,
      "ok" },
    /* The framing proves that these are complete.  */
    { { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no", "k" },
      END_RESET,
      VH_OK,
      "ok" },
    { { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
        "0\r\n\r\n" },
      END_RESET,
      VH_OK,
      "ok" },
    /* A sound server that answers early.  */
    { { "HTTP/1.1 200 OK\r\n\r\no", "k" }, END_HALF_CLOSED, VH_OK, "ok" },
    { { "HTTP/1.1 200 OK\r\n\r\no", "k" }, END_READ_ON, VH_OK, "ok" },
    { { "HTTP/1.1 200 OK\r\n\r\n", "" }, END_READ_ON, VH_OK, "" },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      early_t e = { .parts = { cases[i].parts[0], cases[i].parts[1] },
                    .end = cases[i].end };
      run_early_response (&e);
      ck_assert_msg (e.code == cases[i].code, "case %zu: code %d", i, e.code);
      ck_assert_msg (str_eq (buf_str (&e.body), str_from (cases[i].body)),
                     "case %zu", i);
      buf_free (&e.body);
    }
}
END_TEST

int
main (void)
{
  signal (SIGPIPE, SIG_IGN);
  Suite *suite = suite_create ("call");
  TCase *tcase = tcase_create ("call");

  tcase_add_test (tcase, incomplete_responses_are_reported);
  tcase_add_test (tcase, reset_met_by_the_write_cuts_the_response);
  tcase_add_test (tcase, unreachable_server_is_reported);
  tcase_add_test (tcase, address_of_no_server_is_accepted);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
