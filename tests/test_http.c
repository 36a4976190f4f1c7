/* Tests of the HTTP client and server against each other.  */

#include "wire/httpc.h"
#include "wire/httpd.h"

#include "base/mem.h"

#include <check.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  BIG = 3 * 1024 * 1024
};

typedef struct
{
  uv_loop_t loop;
  httpd_t *server;
  httpc_t *client;
  httpc_call_t *call;
  httpd_req_t *held;
  int status;
  vh_code_t code;
  size_t body_len;
  uint64_t body_hash;
  bool done;
  bool server_stopped;
  int chunks;
} fixture_t;

static void
on_stopped (void *arg)
{
  fixture_t *f = arg;

  f->server_stopped = true;
  f->held = NULL;
}

static void
send_big (httpd_req_t *req)
{
  char *bytes = mem_alloc (BIG);
  const httpc_header_t header = { STR ("x-test"), STR ("yes") };

  memset (bytes, 'b', BIG);
  httpd_start_response (req, 200, &header, 1);
  httpd_send (req, str_make (bytes, BIG / 2), false);
  httpd_send (req, str_make (bytes, BIG / 2), true);
  free (bytes);
}

static void
handle (void *arg, httpd_req_t *req)
{
  fixture_t *f = arg;
  str_t path = httpd_path (req);

  if (str_eq (path, STR ("/echo")))
    httpd_reply (req, 201, NULL, 0, httpd_body (req));
  else if (str_eq (path, STR ("/query")))
    httpd_reply (req, 200, NULL, 0, httpd_query_param (req, STR ("b")));
  else if (str_eq (path, STR ("/big")))
    send_big (req);
  else if (str_eq (path, STR ("/cut")))
    {
      httpd_start_response (req, 200, NULL, 0);
      httpd_send (req, STR ("half"), false);
      f->held = req;
    }
  else if (str_eq (path, STR ("/cut-at-head")))
    {
      httpd_start_response (req, 200, NULL, 0);
      httpd_abort (req);
    }
  else if (str_eq (path, STR ("/cut-at-chunk")))
    {
      httpd_start_response (req, 200, NULL, 0);
      httpd_send (req, STR ("half"), false);
      httpd_abort (req);
    }
  else
    {
      f->held = req;
      httpd_set_callbacks (req, NULL, on_stopped, f);
    }
}

static void
on_head (void *arg, int status, const httpc_header_t *headers, size_t count)
{
  (void)headers;
  (void)count;
  ((fixture_t *)arg)->status = status;
}

static void
on_chunk (void *arg, str_t bytes)
{
  fixture_t *f = arg;

  f->chunks++;
  f->body_len += bytes.len;
  f->body_hash = str_hash (bytes, f->body_hash);
  if (f->held != NULL)
    {
      httpd_req_t *held = f->held;
      f->held = NULL;
      httpd_abort (held);
    }
}

static void
on_done (void *arg, vh_code_t code)
{
  fixture_t *f = arg;

  f->code = code;
  f->done = true;
}

static const httpc_events_t events = { on_head, on_chunk, on_done };

static void
setup (fixture_t *f)
{
  const httpd_options_t options = { .body_limit = 64 * 1024 };
  char address[32];

  memset (f, 0, sizeof *f);
  uv_loop_init (&f->loop);
  ck_assert_int_eq (httpd_create (&f->loop, STR ("127.0.0.1:0"), &options,
                                  handle, f, &f->server),
                    VH_OK);
  snprintf (address, sizeof address, "127.0.0.1:%u", httpd_port (f->server));
  f->client = httpc_create (&f->loop, str_from (address), 4);
  ck_assert_ptr_nonnull (f->client);
}

static void
run_until (fixture_t *f, const bool *flag)
{
  while (!*flag)
    uv_run (&f->loop, UV_RUN_ONCE);
}

static void
fetch (fixture_t *f, str_t method, str_t path, str_t body)
{
  const httpc_request_t request
      = { .method = method, .path = path, .body = body, .timeout_ms = 2000 };

  f->done = false;
  f->body_len = 0;
  f->call = httpc_start (f->client, &request, &events, f);
  ck_assert (!f->done);
}

static void
teardown (fixture_t *f)
{
  httpc_destroy (f->client);
  httpd_destroy (f->server);
  uv_run (&f->loop, UV_RUN_DEFAULT);
  ck_assert_int_eq (uv_loop_close (&f->loop), 0);
}

START_TEST (echo_query_and_big)
{
  fixture_t f;

  setup (&f);
  fetch (&f, STR ("POST"), STR ("/echo"), STR ("hello"));
  run_until (&f, &f.done);
  ck_assert_int_eq (f.code, VH_OK);
  ck_assert_int_eq (f.status, 201);
  ck_assert_uint_eq (f.body_len, 5);
  fetch (&f, STR ("GET"), STR ("/query?a=1&b=22"), STR_NULL);
  run_until (&f, &f.done);
  ck_assert_uint_eq (f.body_len, 2);
  fetch (&f, STR ("GET"), STR ("/big"), STR_NULL);
  run_until (&f, &f.done);
  ck_assert_int_eq (f.code, VH_OK);
  ck_assert_uint_eq (f.body_len, BIG);
  teardown (&f);
}
END_TEST

START_TEST (oversized_body_is_refused)
{
  fixture_t f;
  char *body = mem_zalloc (100 * 1024);

  setup (&f);
  fetch (&f, STR ("POST"), STR ("/echo"), str_make (body, 100 * 1024));
  run_until (&f, &f.done);
  ck_assert_int_eq (f.status, 413);
  free (body);
  teardown (&f);
}
END_TEST

/* A caller must not take half an answer for a whole one: the server begins a
   chunked answer and its connection ends before the last chunk.  */
START_TEST (cut_answer_is_seen)
{
  fixture_t f;

  setup (&f);
  fetch (&f, STR ("GET"), STR ("/cut"), STR_NULL);
  run_until (&f, &f.done);
  ck_assert_int_eq (f.code, VH_E_UPSTREAM_CUT);
  teardown (&f);
}
END_TEST

/* The same where the connection ends just after a whole chunk, in the same
   packets: an upstream that dies between two events of a stream.  h2o's
   client calls that a proper end.  */
START_TEST (answer_cut_between_chunks_is_seen)
{
  fixture_t f;

  setup (&f);
  fetch (&f, STR ("GET"), STR ("/cut-at-chunk"), STR_NULL);
  run_until (&f, &f.done);
  ck_assert_int_eq (f.code, VH_E_UPSTREAM_CUT);
  teardown (&f);
}
END_TEST

/* A caller gives up while its answer is still being made.  The server, which
   does not read meanwhile, must notice and stop the work.  */
/* The server cuts an answer whose head it has not written yet.  */
START_TEST (answer_cut_before_its_head_is_seen)
{
  fixture_t f;

  setup (&f);
  for (int i = 0; i < 3; i++)
    {
      fetch (&f, STR ("GET"), STR ("/cut-at-head"), STR (""));
      run_until (&f, &f.done);
      ck_assert_int_eq (f.code, VH_E_UPSTREAM_CUT);
    }
  teardown (&f);
}
END_TEST

START_TEST (departure_is_noticed)
{
  fixture_t f;

  setup (&f);
  fetch (&f, STR ("GET"), STR ("/hold"), STR_NULL);
  while (f.held == NULL)
    uv_run (&f.loop, UV_RUN_ONCE);
  httpc_cancel (f.call);
  run_until (&f, &f.server_stopped);
  ck_assert_uint_eq (httpd_in_flight (f.server), 0);
  teardown (&f);
}
END_TEST

START_TEST (silent_server_times_out)
{
  fixture_t f;
  const httpc_request_t request
      = { .method = STR ("GET"), .path = STR ("/hold"), .timeout_ms = 50 };

  setup (&f);
  f.call = httpc_start (f.client, &request, &events, &f);
  run_until (&f, &f.done);
  ck_assert_int_eq (f.code, VH_E_TIMEOUT);
  teardown (&f);
}
END_TEST

START_TEST (refused_connection_is_told_apart)
{
  fixture_t f;
  const httpc_request_t request
      = { .method = STR ("GET"), .path = STR ("/"), .timeout_ms = 500 };

  setup (&f);
  httpc_t *nobody = httpc_create (&f.loop, STR ("127.0.0.1:1"), 1);
  httpc_start (nobody, &request, &events, &f);
  run_until (&f, &f.done);
  ck_assert_int_eq (f.code, VH_E_CONNECT);
  httpc_destroy (nobody);
  teardown (&f);
}
END_TEST

/* Callers that leave in the middle of a stream.  */

enum
{
  LEAVERS = 400,
  DRIPS_MAX = 256
};

typedef struct drips drips_t;

typedef struct
{
  uv_tcp_t tcp;
  uv_connect_t connect;
  uv_write_t write;
  drips_t *all;
  size_t reads_left;
  bool reset;
} leaver_t;

struct drips
{
  uv_loop_t loop;
  httpd_t *server;
  uv_timer_t timer;
  httpd_req_t *held[DRIPS_MAX];
  size_t held_count;
  size_t stopped;
  size_t started;
  size_t closed;
  uint64_t seed;
};

typedef struct
{
  drips_t *all;
  httpd_req_t *req;
} drip_t;

static void
on_drip_stopped (void *arg)
{
  drip_t *drip = arg;
  drips_t *all = drip->all;

  all->stopped++;
  for (size_t i = 0; i < all->held_count; i++)
    if (all->held[i] == drip->req)
      all->held[i--] = all->held[--all->held_count];
  free (drip);
}

static void
hold_drip (void *arg, httpd_req_t *req)
{
  drips_t *all = arg;
  drip_t *drip = mem_zalloc (sizeof *drip);

  drip->all = all;
  drip->req = req;
  all->held[all->held_count++] = req;
  httpd_set_callbacks (req, NULL, on_drip_stopped, drip);
  httpd_start_response (req, 200, NULL, 0);
  httpd_send (req, STR ("first"), false);
}

static void
on_leaver_closed (uv_handle_t *handle)
{
  leaver_t *leaver = handle->data;

  leaver->all->closed++;
  free (leaver);
}

static void
on_leaver_alloc (uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
  static char bytes[4096];

  (void)handle;
  (void)size;
  *buf = uv_buf_init (bytes, sizeof bytes);
}

static void
leave (leaver_t *leaver)
{
  if (uv_is_closing ((uv_handle_t *)&leaver->tcp))
    return;
  if (leaver->reset)
    uv_tcp_close_reset (&leaver->tcp, on_leaver_closed);
  else
    uv_close ((uv_handle_t *)&leaver->tcp, on_leaver_closed);
}

static void
on_leaver_read (uv_stream_t *stream, ssize_t got, const uv_buf_t *buf)
{
  leaver_t *leaver = stream->data;

  (void)buf;
  if (got < 0 || leaver->reads_left-- == 0)
    leave (leaver);
}

static void
on_leaver_connected (uv_connect_t *connect, int status)
{
  static char text[] = "GET /drip HTTP/1.1\r\nhost: a\r\n\r\n";
  leaver_t *leaver = connect->data;
  uv_buf_t buf = uv_buf_init (text, sizeof text - 1);

  ck_assert_int_eq (status, 0);
  uv_write (&leaver->write, (uv_stream_t *)&leaver->tcp, &buf, 1, NULL);
  uv_read_start ((uv_stream_t *)&leaver->tcp, on_leaver_alloc, on_leaver_read);
}

static void
start_leaver (drips_t *all)
{
  struct sockaddr_in addr;
  leaver_t *leaver = mem_zalloc (sizeof *leaver);

  uv_ip4_addr ("127.0.0.1", httpd_port (all->server), &addr);
  leaver->all = all;
  all->seed = all->seed * 6364136223846793005u + 1442695040888963407u;
  leaver->reads_left = (all->seed >> 33) % 8;
  leaver->reset = (all->seed >> 40) % 2 == 0;
  uv_tcp_init (&all->loop, &leaver->tcp);
  leaver->tcp.data = leaver;
  leaver->connect.data = leaver;
  uv_tcp_connect (&leaver->connect, &leaver->tcp, (struct sockaddr *)&addr,
                  on_leaver_connected);
  all->started++;
}

static void
on_drip_timer (uv_timer_t *timer)
{
  drips_t *all = timer->data;

  for (size_t i = 0; i < all->held_count; i++)
    httpd_send (all->held[i], STR ("drip"), false);
  for (int i = 0; i < 4 && all->started < LEAVERS; i++)
    start_leaver (all);
}

/* Callers leave in the middle of their streams, some with a reset, while more
   of the stream is on its way to them: before its first piece, between two, in
   the middle of a write.  Each departure is told once, and the process, which
   used to end on an assertion when a write failed beside the cut, lives.  */
START_TEST (callers_leave_in_mid_stream)
{
  const httpd_options_t options = { .body_limit = 1024 };
  drips_t all = { .seed = 7 };

  uv_loop_init (&all.loop);
  ck_assert_int_eq (httpd_create (&all.loop, STR ("127.0.0.1:0"), &options,
                                  hold_drip, &all, &all.server),
                    VH_OK);
  uv_timer_init (&all.loop, &all.timer);
  all.timer.data = &all;
  uv_timer_start (&all.timer, on_drip_timer, 1, 2);
  while (all.closed < LEAVERS || all.held_count > 0)
    uv_run (&all.loop, UV_RUN_ONCE);
  ck_assert_uint_eq (all.stopped, LEAVERS);
  uv_close ((uv_handle_t *)&all.timer, NULL);
  httpd_destroy (all.server);
  uv_run (&all.loop, UV_RUN_DEFAULT);
  ck_assert_int_eq (uv_loop_close (&all.loop), 0);
}
END_TEST

int
main (void)
{
  /* libuv writes to sockets whose peer is gone; the daemons ignore it too.  */
  signal (SIGPIPE, SIG_IGN);
  Suite *suite = suite_create ("http");
  TCase *tcase = tcase_create ("http");

  tcase_add_test (tcase, echo_query_and_big);
  tcase_add_test (tcase, oversized_body_is_refused);
  tcase_add_test (tcase, cut_answer_is_seen);
  tcase_add_test (tcase, answer_cut_between_chunks_is_seen);
  tcase_add_test (tcase, answer_cut_before_its_head_is_seen);
  tcase_add_test (tcase, departure_is_noticed);
  tcase_add_test (tcase, callers_leave_in_mid_stream);
  tcase_add_test (tcase, silent_server_times_out);
  tcase_add_test (tcase, refused_connection_is_told_apart);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
