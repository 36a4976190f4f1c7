/* Tests of the HTTP client and server against each other.  */

#include "loopback.h"
#include "wire/httpc.h"
#include "wire/httpd.h"

#include "base/mem.h"

#include <check.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  LARGE_BODY_BYTES = 3 * 1024 * 1024
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
  bool client_disconnected;
  int chunk_count;
} fixture_t;

static void
on_disconnect (void *arg)
{
  fixture_t *f = arg;

  f->client_disconnected = true;
  f->held = NULL;
}

static void
send_large_body (httpd_req_t *req)
{
  char *bytes = mem_alloc (LARGE_BODY_BYTES);
  const httpc_header_t header = { STR ("x-test"), STR ("yes") };

  memset (bytes, 'b', LARGE_BODY_BYTES);
  httpd_start_response (req, 200, &header, 1);
  httpd_send (req, str_make (bytes, LARGE_BODY_BYTES / 2), false);
  httpd_send (req, str_make (bytes, LARGE_BODY_BYTES / 2), true);
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
    send_large_body (req);
  else if (str_eq (path, STR ("/endless")))
    {
      httpd_start_response (req, 200, NULL, 0);
      httpd_set_callbacks (req, NULL, on_disconnect, f);
      f->held = req;
    }
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
      httpd_set_callbacks (req, NULL, on_disconnect, f);
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

  f->chunk_count++;
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

START_TEST (echo_query_and_large_body)
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
  ck_assert_uint_eq (f.body_len, LARGE_BODY_BYTES);
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

static void
send_piece (uv_timer_t *timer)
{
  static const char bytes[64];
  fixture_t *f = timer->data;

  if (f->held != NULL)
    httpd_send (f->held, str_make (bytes, sizeof bytes), false);
}

static void
on_fetched (void *arg, vh_code_t code, int status, str_t body)
{
  (void)status;
  (void)body;
  on_done (arg, code);
}

/* A body that is larger than the limit of a fetch goes on without an end.  The
   fetch went on with it for as long as bytes came.  It must end at the limit,
   and close the connection.  */
START_TEST (endless_body_keeps_a_fetch)
{
  const httpc_request_t request = { .method = STR ("GET"),
                                    .path = STR ("/endless"),
                                    .timeout_ms = 2000 };
  fixture_t f;
  uv_timer_t timer;

  setup (&f);
  uv_timer_init (&f.loop, &timer);
  timer.data = &f;
  uv_timer_start (&timer, send_piece, 10, 10);
  uint64_t start_ms = uv_now (&f.loop);
  httpc_fetch (f.client, &request, 1000, on_fetched, &f);
  while (!f.done && uv_now (&f.loop) - start_ms < 3000)
    uv_run (&f.loop, UV_RUN_ONCE);
  ck_assert (f.done);
  ck_assert_int_eq (f.code, VH_E_TOO_LARGE);
  run_until (&f, &f.client_disconnected);
  uv_close ((uv_handle_t *)&timer, NULL);
  teardown (&f);
}
END_TEST

/* The server starts a chunked response and its connection closes before the
   last chunk.  The client must not report the partial response as complete. */
START_TEST (truncated_response_is_reported)
{
  fixture_t f;

  setup (&f);
  fetch (&f, STR ("GET"), STR ("/cut"), STR_NULL);
  run_until (&f, &f.done);
  ck_assert_int_eq (f.code, VH_E_UPSTREAM_CUT);
  teardown (&f);
}
END_TEST

/* The connection closes directly after a complete chunk, in the same packets,
   as with an upstream that crashes between two events of a stream.  h2o's
   client reports this as a normal end; ours must not.  */
START_TEST (truncation_between_chunks_is_reported)
{
  fixture_t f;

  setup (&f);
  fetch (&f, STR ("GET"), STR ("/cut-at-chunk"), STR_NULL);
  run_until (&f, &f.done);
  ck_assert_int_eq (f.code, VH_E_UPSTREAM_CUT);
  teardown (&f);
}
END_TEST

/* The server aborts a response before it has written the head.  */
START_TEST (abort_before_head_is_reported)
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

/* A client disconnects before its response is complete.  The server, which
   does not read meanwhile, must detect this so that the handler can stop.  */
START_TEST (client_disconnect_is_detected)
{
  fixture_t f;

  setup (&f);
  fetch (&f, STR ("GET"), STR ("/hold"), STR_NULL);
  while (f.held == NULL)
    uv_run (&f.loop, UV_RUN_ONCE);
  httpc_cancel (f.call);
  run_until (&f, &f.client_disconnected);
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

START_TEST (refused_connection_is_reported)
{
  fixture_t f;
  const httpc_request_t request
      = { .method = STR ("GET"), .path = STR ("/"), .timeout_ms = 500 };

  setup (&f);
  httpc_t *unreachable = httpc_create (&f.loop, STR ("127.0.0.1:1"), 1);
  httpc_start (unreachable, &request, &events, &f);
  run_until (&f, &f.done);
  ck_assert_int_eq (f.code, VH_E_CONNECT);
  httpc_destroy (unreachable);
  teardown (&f);
}
END_TEST

/* Clients that disconnect during a streamed response.  */

enum
{
  CLIENT_COUNT = 400,
  STREAMS_MAX = 256
};

typedef struct stream_test stream_test_t;

typedef struct
{
  uv_tcp_t tcp;
  uv_connect_t connect;
  uv_write_t write;
  stream_test_t *test;
  size_t reads_left;
  bool reset;
} stream_client_t;

struct stream_test
{
  uv_loop_t loop;
  httpd_t *server;
  uv_timer_t timer;
  httpd_req_t *open_streams[STREAMS_MAX];
  size_t open_count;
  size_t disconnect_count;
  size_t started_count;
  size_t closed_count;
  uint64_t seed;
};

typedef struct
{
  stream_test_t *test;
  httpd_req_t *req;
} stream_t;

static void
on_stream_disconnect (void *arg)
{
  stream_t *stream = arg;
  stream_test_t *test = stream->test;

  test->disconnect_count++;
  for (size_t i = 0; i < test->open_count; i++)
    if (test->open_streams[i] == stream->req)
      test->open_streams[i--] = test->open_streams[--test->open_count];
  free (stream);
}

static void
start_stream (void *arg, httpd_req_t *req)
{
  stream_test_t *test = arg;
  stream_t *stream = mem_zalloc (sizeof *stream);

  stream->test = test;
  stream->req = req;
  test->open_streams[test->open_count++] = req;
  httpd_set_callbacks (req, NULL, on_stream_disconnect, stream);
  httpd_start_response (req, 200, NULL, 0);
  httpd_send (req, STR ("first"), false);
}

static void
on_client_closed (uv_handle_t *handle)
{
  stream_client_t *client = handle->data;

  client->test->closed_count++;
  free (client);
}

static void
on_client_alloc (uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
  static char bytes[4096];

  (void)handle;
  (void)size;
  *buf = uv_buf_init (bytes, sizeof bytes);
}

static void
disconnect (stream_client_t *client)
{
  if (uv_is_closing ((uv_handle_t *)&client->tcp))
    return;
  if (client->reset)
    uv_tcp_close_reset (&client->tcp, on_client_closed);
  else
    uv_close ((uv_handle_t *)&client->tcp, on_client_closed);
}

static void
on_client_read (uv_stream_t *stream, ssize_t read_len, const uv_buf_t *buf)
{
  stream_client_t *client = stream->data;

  (void)buf;
  if (read_len < 0 || client->reads_left-- == 0)
    disconnect (client);
}

static void
on_client_connected (uv_connect_t *connect, int status)
{
  static char text[] = "GET /drip HTTP/1.1\r\nhost: a\r\n\r\n";
  stream_client_t *client = connect->data;
  uv_buf_t buf = uv_buf_init (text, sizeof text - 1);

  ck_assert_int_eq (status, 0);
  uv_write (&client->write, (uv_stream_t *)&client->tcp, &buf, 1, NULL);
  uv_read_start ((uv_stream_t *)&client->tcp, on_client_alloc, on_client_read);
}

static void
start_client (stream_test_t *test)
{
  struct sockaddr_in addr;
  stream_client_t *client = mem_zalloc (sizeof *client);

  uv_ip4_addr ("127.0.0.1", httpd_port (test->server), &addr);
  client->test = test;
  test->seed = test->seed * 6364136223846793005u + 1442695040888963407u;
  client->reads_left = (test->seed >> 33) % 8;
  client->reset = (test->seed >> 40) % 2 == 0;
  uv_tcp_init (&test->loop, &client->tcp);
  client->tcp.data = client;
  client->connect.data = client;
  uv_tcp_connect (&client->connect, &client->tcp, (struct sockaddr *)&addr,
                  on_client_connected);
  test->started_count++;
}

static void
on_stream_timer (uv_timer_t *timer)
{
  stream_test_t *test = timer->data;

  for (size_t i = 0; i < test->open_count; i++)
    httpd_send (test->open_streams[i], STR ("drip"), false);
  for (int i = 0; i < 4 && test->started_count < CLIENT_COUNT; i++)
    start_client (test);
}

/* Clients disconnect during a streamed response, some with a reset: before the
   first piece, between two pieces or during a write.  Each disconnect must be
   reported once.  Guards against an assertion failure of the process when a
   write failed while the response was being aborted.  */
START_TEST (clients_disconnect_during_stream)
{
  const httpd_options_t options = { .body_limit = 1024 };
  stream_test_t test = { .seed = 7 };

  uv_loop_init (&test.loop);
  ck_assert_int_eq (httpd_create (&test.loop, STR ("127.0.0.1:0"), &options,
                                  start_stream, &test, &test.server),
                    VH_OK);
  uv_timer_init (&test.loop, &test.timer);
  test.timer.data = &test;
  uv_timer_start (&test.timer, on_stream_timer, 1, 2);
  while (test.closed_count < CLIENT_COUNT || test.open_count > 0)
    uv_run (&test.loop, UV_RUN_ONCE);
  ck_assert_uint_eq (test.disconnect_count, CLIENT_COUNT);
  uv_close ((uv_handle_t *)&test.timer, NULL);
  httpd_destroy (test.server);
  uv_run (&test.loop, UV_RUN_DEFAULT);
  ck_assert_int_eq (uv_loop_close (&test.loop), 0);
}
END_TEST

enum
{
  /* More than a client may keep of a head.  */
  ENDLESS_BYTES = 64 << 20,
  ENDLESS_PIECE_BYTES = 60000
};

/* A raw peer of the client or the server under test.  */
typedef struct
{
  fixture_t *f;
  uv_tcp_t listener;
  uv_tcp_t conn;
  uv_connect_t connect;
  uv_write_t write;
  uv_timer_t timer;
  const char *text; /* Sent once connected, or in response to a request.  */
  bool resets;
  bool repeats;    /* TEXT is sent again and again, up to ENDLESS_BYTES.  */
  size_t repeated; /* Bytes sent again.  */
  ssize_t end;     /* Status of the last read.  */
  bool is_ended;
} raw_peer_t;

static void raw_write (raw_peer_t *raw);

static void
raw_on_written (uv_write_t *write, int status)
{
  raw_peer_t *raw = CONTAINER_OF (write, raw_peer_t, write);

  if (status != 0 || !raw->repeats || raw->repeated >= ENDLESS_BYTES)
    return;
  raw->repeated += strlen (raw->text);
  raw_write (raw);
}

static void
raw_write (raw_peer_t *raw)
{
  uv_buf_t buf = uv_buf_init ((char *)raw->text, strlen (raw->text));

  uv_write (&raw->write, (uv_stream_t *)&raw->conn, &buf, 1, raw_on_written);
}

static void
raw_on_timer (uv_timer_t *timer)
{
  raw_peer_t *raw = timer->data;

  if (raw->resets)
    uv_tcp_close_reset (&raw->conn, NULL);
  else
    uv_close ((uv_handle_t *)&raw->conn, NULL);
}

static void
raw_on_request (uv_stream_t *stream, ssize_t read_len, const uv_buf_t *buf)
{
  raw_peer_t *raw = stream->data;

  (void)buf;
  if (read_len <= 0)
    return;
  raw_write (raw);
  if (!raw->repeats)
    uv_timer_start (&raw->timer, raw_on_timer, 20, 0);
}

static void
raw_on_accept (uv_stream_t *listener, int status)
{
  raw_peer_t *raw = listener->data;

  ck_assert_int_eq (status, 0);
  uv_tcp_init (&raw->f->loop, &raw->conn);
  raw->conn.data = raw;
  uv_accept (listener, (uv_stream_t *)&raw->conn);
  uv_read_start ((uv_stream_t *)&raw->conn, on_client_alloc, raw_on_request);
}

/* Return the result of a request to RAW.  */
static vh_code_t
fetch_from (raw_peer_t *raw)
{
  const httpc_request_t request
      = { .method = STR ("GET"), .path = STR ("/"), .timeout_ms = 2000 };
  fixture_t f;
  char address[32];

  raw->f = &f;
  setup (&f);
  uv_timer_init (&f.loop, &raw->timer);
  raw->timer.data = raw;
  snprintf (address, sizeof address, "127.0.0.1:%u",
            loopback_listen (&f.loop, &raw->listener, raw, raw_on_accept));
  httpc_t *client = httpc_create (&f.loop, str_from (address), 0);
  httpc_start (client, &request, &events, &f);
  run_until (&f, &f.done);
  uv_close ((uv_handle_t *)&raw->listener, NULL);
  uv_close ((uv_handle_t *)&raw->timer, NULL);
  if (!uv_is_closing ((uv_handle_t *)&raw->conn))
    uv_close ((uv_handle_t *)&raw->conn, NULL);
  httpc_destroy (client);
  teardown (&f);
  return f.code;
}

/* Return the result of a request to a server that responds with RESPONSE, and
   then closes or, with RESETS, resets the connection.  */
static vh_code_t
fetch_from_raw_server (const char *response, bool resets)
{
  raw_peer_t raw = { .text = response, .resets = resets };

  return fetch_from (&raw);
}

/* Failure: a server sends a head without an end, and the client keeps it all.
   A status line that ends none is read as long.  */
START_TEST (endless_head_takes_memory)
{
  static const char *const pieces[]
      = { "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx",
          "HTTP/1.1 200 OK xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx" };
  static char text[2][ENDLESS_PIECE_BYTES];

  for (size_t i = 0; i < sizeof pieces / sizeof pieces[0]; i++)
    {
      memset (text[i], 'x', ENDLESS_PIECE_BYTES - 1);
      memcpy (text[i], pieces[i], strlen (pieces[i]));
      raw_peer_t raw = { .text = text[i], .repeats = true };
      vh_code_t code = fetch_from (&raw);
      ck_assert_msg (code == VH_E_TOO_LARGE || code == VH_E_UPSTREAM_CUT,
                     "piece %zu: code %d", i, code);
      ck_assert_msg (raw.repeated < ENDLESS_BYTES, "piece %zu: %zu bytes", i,
                     raw.repeated);
    }
}
END_TEST

/* h2o's client reports a reset as the end of a response without a length.  */
START_TEST (reset_response_without_length_is_reported)
{
  static const struct
  {
    const char *response;
    bool resets;
    vh_code_t code;
  } cases[] = {
    { "HTTP/1.1 200 OK\r\n\r\nhalf", true, VH_E_UPSTREAM_CUT },
    { "HTTP/1.1 200 OK\r\n\r\n", true, VH_E_UPSTREAM_CUT },
    { "HTTP/1.1 200 OK\r\n\r\nwhole", false, VH_OK },
    { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", true, VH_OK },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      vh_code_t code
          = fetch_from_raw_server (cases[i].response, cases[i].resets);
      ck_assert_msg (code == cases[i].code, "case %zu: code %d", i, code);
    }
}
END_TEST

/* Failure: an answer with a status that no response has is taken for an
   answer.  */
START_TEST (status_of_no_response_is_reported)
{
  static const char *const responses[]
      = { "HTTP/1.1 000 OK\r\nContent-Length: 5\r\n\r\nwhole",
          "HTTP/1.1 101 OK\r\nContent-Length: 5\r\n\r\nwhole",
          "HTTP/1.1 600 OK\r\nContent-Length: 5\r\n\r\nwhole" };

  for (size_t i = 0; i < sizeof responses / sizeof responses[0]; i++)
    ck_assert_int_eq (fetch_from_raw_server (responses[i], false),
                      VH_E_PROTOCOL);
}
END_TEST

static void
raw_on_response (uv_stream_t *stream, ssize_t read_len, const uv_buf_t *buf)
{
  raw_peer_t *raw = stream->data;

  (void)buf;
  if (read_len > 0 && raw->f->held != NULL)
    {
      httpd_req_t *held = raw->f->held;
      raw->f->held = NULL;
      httpd_abort (held);
    }
  if (read_len >= 0)
    return;
  raw->end = read_len;
  raw->is_ended = true;
  uv_close ((uv_handle_t *)stream, NULL);
}

static void
raw_on_connected (uv_connect_t *connect, int status)
{
  raw_peer_t *raw = connect->data;

  ck_assert_int_eq (status, 0);
  raw_write (raw);
  uv_read_start ((uv_stream_t *)&raw->conn, on_client_alloc, raw_on_response);
}

/* A client of HTTP/1.0 takes the end of the connection for the end of a
   response without a length, so an aborted one must end with a reset.  */
START_TEST (aborted_response_looks_complete_to_http_1_0)
{
  static const struct
  {
    const char *request;
    ssize_t end;
  } cases[] = {
    { "GET /cut HTTP/1.0\r\n\r\n", UV_ECONNRESET },
    { "GET /big HTTP/1.0\r\n\r\n", UV_EOF },
  };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      fixture_t f;
      struct sockaddr_in addr;
      raw_peer_t raw = { .f = &f, .text = cases[i].request };

      setup (&f);
      uv_ip4_addr ("127.0.0.1", httpd_port (f.server), &addr);
      uv_tcp_init (&f.loop, &raw.conn);
      raw.conn.data = &raw;
      raw.connect.data = &raw;
      uv_tcp_connect (&raw.connect, &raw.conn, (struct sockaddr *)&addr,
                      raw_on_connected);
      run_until (&f, &raw.is_ended);
      ck_assert_msg (raw.end == cases[i].end, "case %zu: %s", i,
                     uv_strerror ((int)raw.end));
      teardown (&f);
    }
}
END_TEST

int
main (void)
{
  /* libuv writes to sockets whose peer has disconnected; the daemons ignore
     SIGPIPE too.  */
  signal (SIGPIPE, SIG_IGN);
  Suite *suite = suite_create ("http");
  TCase *tcase = tcase_create ("http");

  tcase_add_test (tcase, echo_query_and_large_body);
  tcase_add_test (tcase, oversized_body_is_refused);
  tcase_add_test (tcase, endless_body_keeps_a_fetch);
  tcase_add_test (tcase, truncated_response_is_reported);
  tcase_add_test (tcase, truncation_between_chunks_is_reported);
  tcase_add_test (tcase, reset_response_without_length_is_reported);
  tcase_add_test (tcase, aborted_response_looks_complete_to_http_1_0);
  tcase_add_test (tcase, abort_before_head_is_reported);
  tcase_add_test (tcase, client_disconnect_is_detected);
  tcase_add_test (tcase, clients_disconnect_during_stream);
  tcase_add_test (tcase, silent_server_times_out);
  tcase_add_test (tcase, refused_connection_is_reported);
  tcase_add_test (tcase, status_of_no_response_is_reported);
  tcase_add_test (tcase, endless_head_takes_memory);
  suite_add_tcase (suite, tcase);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
