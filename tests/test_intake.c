/* Requests that do not arrive whole, or not within the limits: what their
   clients receive, and the order of eviction when memory or connections run
   out.  The server is a process of its own, its clients block.  */

#include "rawhttp.h"
#include "suite.h"

#include "wire/httpd.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

enum
{
  BODY_MAX = 100000,
  HEAD_MAX = 4096,
  HEAD_MS = 400,
  BODY_MS = 400,
  /* Three bodies that are nearly complete, with their connections.  */
  MEMORY_MAX = 330000,
  NEARLY_BYTES = 90000,
  /* Three such bodies exceed the memory together with a small request, and do
     not without it.  */
  LARGEST_BESIDE_SMALL = 99500,
  CONNECTIONS_MAX = 4,
  /* Longer than a client may make no progress and not be among the first that
     are evicted.  */
  STALL_MS = 1300,
  WAIT_MS = 5000,
  SENT_MS = 50
};

typedef struct
{
  uv_loop_t loop;
  httpd_t *server;
  memory_budget_t memory;
} server_process_t;

static pid_t server;
static uint16_t port;

/* Respond with the length of the body.  */
static void
on_request (void *arg, httpd_req_t *req)
{
  char text[32];

  (void)arg;
  snprintf (text, sizeof text, "%zu", httpd_body (req).len);
  httpd_reply (req, 200, NULL, 0, str_from (text));
}

static httpd_decision_t
on_head (void *arg, const httpd_req_t *req)
{
  httpd_decision_t decision = { .code = VH_OK };

  (void)arg;
  if (!str_eq (httpd_header (req, STR ("host")), STR ("a")))
    decision.code = VH_E_BAD_HEADER;
  else if (str_eq (httpd_path (req), STR ("/none")))
    decision.code = VH_E_NO_ROUTE;
  else if (str_eq (httpd_path (req), STR ("/stopping")))
    decision = (httpd_decision_t){ VH_E_DRAINING, 500, 0 };
  else if (str_eq (httpd_path (req), STR ("/limited")))
    decision.body_ms = BODY_MS;
  return decision;
}

static void
on_stop_signal (uv_signal_t *handle, int signum)
{
  server_process_t *process = handle->data;

  (void)signum;
  httpd_destroy (process->server);
  uv_close ((uv_handle_t *)handle, NULL);
}

/* Serve until SIGTERM.  Write the port to FD.  Ends the process, with success
   if all memory that was counted is released.  */
static void
run_server (int fd)
{
  server_process_t process = { .memory = { .limit = MEMORY_MAX } };
  const httpd_options_t options = { .body_limit = BODY_MAX,
                                    .read_timeout_ms = 60000,
                                    .connections_max = CONNECTIONS_MAX,
                                    .memory = &process.memory,
                                    .on_head = on_head };
  const httpd_limits_t limits
      = { .body_bytes = BODY_MAX, .head_bytes = HEAD_MAX, .head_ms = HEAD_MS };
  uv_signal_t stop;
  uint16_t served_port;

  uv_loop_init (&process.loop);
  if (httpd_create (&process.loop, STR ("127.0.0.1:0"), &options, on_request,
                    NULL, &process.server)
      != VH_OK)
    _exit (EXIT_FAILURE);
  httpd_set_limits (process.server, &limits);
  uv_signal_init (&process.loop, &stop);
  stop.data = &process;
  uv_signal_start (&stop, on_stop_signal, SIGTERM);
  served_port = httpd_port (process.server);
  if (write (fd, &served_port, sizeof served_port) != sizeof served_port)
    _exit (EXIT_FAILURE);
  uv_run (&process.loop, UV_RUN_DEFAULT);
  _exit (uv_loop_close (&process.loop) == 0 && process.memory.used == 0
             ? EXIT_SUCCESS
             : EXIT_FAILURE);
}

static void
setup (void)
{
  int fds[2];

  ck_assert_int_eq (pipe (fds), 0);
  server = fork ();
  ck_assert_int_ge (server, 0);
  if (server == 0)
    run_server (fds[1]);
  close (fds[1]);
  ck_assert_int_eq (read (fds[0], &port, sizeof port), sizeof port);
  close (fds[0]);
}

static void
teardown (void)
{
  int status;

  kill (server, SIGTERM);
  ck_assert_int_eq (waitpid (server, &status, 0), server);
  ck_assert (WIFEXITED (status) && WEXITSTATUS (status) == EXIT_SUCCESS);
}

static rawhttp_t
start (const char *text)
{
  rawhttp_t http = rawhttp_connect ("127.0.0.1", port);

  rawhttp_send (&http, str_from (text));
  return http;
}

static void
send_bytes (rawhttp_t *http, size_t len)
{
  char bytes[10000];

  memset (bytes, 'x', sizeof bytes);
  for (size_t left = len; left > 0;)
    {
      size_t part = left < sizeof bytes ? left : sizeof bytes;
      rawhttp_send (http, str_make (bytes, part));
      left -= part;
    }
}

/* Start a request for PATH with a body of ANNOUNCED bytes, and send SENT of
   them.  */
static rawhttp_t
start_body (const char *path, size_t announced, size_t sent)
{
  char head[256];

  snprintf (head, sizeof head,
            "POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %zu\r\n\r\n", path,
            announced);
  rawhttp_t http = start (head);
  send_bytes (&http, sent);
  uv_sleep (SENT_MS);
  return http;
}

/* Check that HTTP gets STATUS, and that its connection is closed then.  */
static void
check_refused (rawhttp_t *http, int status)
{
  ck_assert (rawhttp_read_all (http, WAIT_MS));
  ck_assert_int_eq (http->status, status);
  ck_assert (
      str_eq (rawhttp_header (http, "vanillahook-outcome"), STR ("not-run")));
  ck_assert (str_eq (rawhttp_header (http, "connection"), STR ("close")));
  rawhttp_close (http);
}

static void
check_answered (rawhttp_t *http)
{
  ck_assert (rawhttp_read_all (http, WAIT_MS));
  ck_assert_int_eq (http->status, 200);
  rawhttp_close (http);
}

/* Send the rest of a body of BODY_MAX of which NEARLY_BYTES were sent, and
   check that the request is answered.  */
static void
check_completes (rawhttp_t *http)
{
  send_bytes (http, BODY_MAX - NEARLY_BYTES);
  check_answered (http);
}

/* Failure: the largest body that is allowed is refused in calm.  */
START_TEST (largest_body_is_answered)
{
  rawhttp_t whole = start_body ("/", BODY_MAX, BODY_MAX);

  check_answered (&whole);
  rawhttp_t chunked = start ("POST / HTTP/1.1\r\nHost: a\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n186a0\r\n");
  send_bytes (&chunked, BODY_MAX);
  rawhttp_send (&chunked, STR ("\r\n0\r\n\r\n"));
  check_answered (&chunked);
  rawhttp_t continued = start ("POST / HTTP/1.1\r\nHost: a\r\n"
                               "Expect: 100-continue\r\n"
                               "Content-Length: 100000\r\n\r\n");
  uv_sleep (SENT_MS);
  send_bytes (&continued, BODY_MAX);
  check_answered (&continued);
}
END_TEST

/* Failure: a body that is announced as too large is received.  */
START_TEST (announced_body_is_refused_on_arrival)
{
  rawhttp_t http = start_body ("/", BODY_MAX + 1, 0);

  check_refused (&http, 413);
}
END_TEST

/* Failure: the client of a body that is too large sees a reset instead of the
   status, since it goes on sending.  */
START_TEST (status_reaches_client_that_sends_on)
{
  rawhttp_t http = start_body ("/", 5 * BODY_MAX, 5 * BODY_MAX);

  check_refused (&http, 413);
}
END_TEST

/* Failure: a chunked body grows beyond the limit.  */
START_TEST (chunked_body_over_the_limit_is_refused)
{
  rawhttp_t http = start ("POST / HTTP/1.1\r\nHost: a\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n2faf080\r\n");

  send_bytes (&http, BODY_MAX + 1);
  check_refused (&http, 413);
}
END_TEST

/* Failure: a head grows without end.  */
START_TEST (head_over_the_limit_is_refused)
{
  rawhttp_t http = start ("GET / HTTP/1.1\r\nHost: a\r\nx: ");

  send_bytes (&http, HEAD_MAX);
  check_refused (&http, 431);
}
END_TEST

/* Failure: a head that never ends keeps its connection.  */
START_TEST (late_head_is_refused)
{
  rawhttp_t http = start ("GET / HTTP/1.1\r\nHost: a\r\n");

  check_refused (&http, 408);
}
END_TEST

/* Failure: a body that never ends keeps its connection, also that of a later
   request.  */
START_TEST (late_body_is_refused)
{
  rawhttp_t http = start_body ("/limited", 10, 9);

  check_refused (&http, 408);
  rawhttp_t kept = start ("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  ck_assert (rawhttp_read_all (&kept, WAIT_MS));
  kept.status = 0;
  kept.is_complete = false;
  kept.head.len = kept.body.len = 0;
  rawhttp_send (&kept, STR ("POST /limited HTTP/1.1\r\nHost: a\r\n"
                            "Content-Length: 10\r\n\r\n123456789"));
  check_refused (&kept, 408);
}
END_TEST

/* Failure: the body of a request that is refused anyway takes memory.  */
START_TEST (request_is_refused_before_its_body)
{
  rawhttp_t none = start_body ("/none?a=b", BODY_MAX, 0);

  check_refused (&none, 404);
  rawhttp_t stopping = start_body ("/stopping", BODY_MAX, NEARLY_BYTES);
  ck_assert (rawhttp_read_all (&stopping, WAIT_MS));
  ck_assert_int_eq (stopping.status, 503);
  ck_assert (
      str_eq (rawhttp_header (&stopping, "retry-after"), STR ("0.500")));
  rawhttp_close (&stopping);
}
END_TEST

/* Failure: when memory runs out, no request is answered, since each is refused
   for those after it.  */
START_TEST (newest_large_request_gives_way)
{
  rawhttp_t http[4];

  for (int i = 0; i < 4; i++)
    http[i] = start_body ("/", BODY_MAX, NEARLY_BYTES);
  ck_assert (rawhttp_read_all (&http[3], WAIT_MS));
  ck_assert_int_eq (http[3].status, 503);
  ck_assert_ptr_nonnull (rawhttp_header (&http[3], "retry-after").ptr);
  rawhttp_close (&http[3]);
  rawhttp_t small = start_body ("/", 300, 300);
  check_answered (&small);
  for (int i = 0; i < 3; i++)
    check_completes (&http[i]);
}
END_TEST

/* Failure: requests that were left incomplete take the memory of those that
   make progress.  */
START_TEST (stalled_request_gives_way_first)
{
  rawhttp_t stalled = start_body ("/", BODY_MAX, NEARLY_BYTES);
  rawhttp_t http[3];

  uv_sleep (STALL_MS);
  for (int i = 0; i < 3; i++)
    http[i] = start_body ("/", BODY_MAX, NEARLY_BYTES);
  check_refused (&stalled, 503);
  for (int i = 0; i < 3; i++)
    check_completes (&http[i]);
}
END_TEST

/* Failure: small requests that were left incomplete, in large numbers, keep
   large ones from being served.  */
START_TEST (stalled_small_request_gives_way_to_large)
{
  rawhttp_t stalled = start_body ("/", 300, 299);
  rawhttp_t http[3];

  uv_sleep (STALL_MS);
  for (int i = 0; i < 3; i++)
    http[i] = start_body ("/", BODY_MAX, LARGEST_BESIDE_SMALL);
  check_refused (&stalled, 503);
  for (int i = 0; i < 3; i++)
    {
      send_bytes (&http[i], BODY_MAX - LARGEST_BESIDE_SMALL);
      rawhttp_close (&http[i]);
    }
}
END_TEST

/* Failure: a server that ends beside incomplete requests uses what it has
   released.  */
START_TEST (server_ends_beside_incomplete_requests)
{
  rawhttp_t body = start_body ("/", BODY_MAX, NEARLY_BYTES);
  rawhttp_t head = start ("GET / HTTP/1.1\r\nHost: a\r\n");
  rawhttp_t refused = start_body ("/", 3 * BODY_MAX, NEARLY_BYTES);

  kill (server, SIGTERM);
  for (int i = 0; i < 50; i++)
    {
      /* The connection may be closed.  */
      ssize_t sent = send (body.fd, "xxxxxxxx", 8, MSG_NOSIGNAL);
      (void)sent;
      sent = send (head.fd, "x: y\r\n", 6, MSG_NOSIGNAL);
      (void)sent;
    }
  uv_sleep (SENT_MS);
  rawhttp_close (&body);
  rawhttp_close (&head);
  rawhttp_close (&refused);
}
END_TEST

/* Failure: connections whose requests never end keep others from being
   accepted.  */
START_TEST (stalled_connection_makes_room)
{
  rawhttp_t stalled[CONNECTIONS_MAX - 1];
  rawhttp_t idle = start ("GET / HTTP/1.1\r\nHost: a\r\n\r\n");

  ck_assert (rawhttp_read_all (&idle, WAIT_MS));
  for (int i = 0; i < CONNECTIONS_MAX - 1; i++)
    stalled[i] = start_body ("/", 300, 299);
  uv_sleep (STALL_MS);
  rawhttp_t http = start_body ("/", 300, 300);
  check_answered (&http);
  check_refused (&stalled[0], 408);
  for (int i = 1; i < CONNECTIONS_MAX - 1; i++)
    {
      rawhttp_send (&stalled[i], STR ("x"));
      check_answered (&stalled[i]);
    }
  rawhttp_close (&idle);
}
END_TEST

/* Failure: kept connections without requests keep others from being
   accepted.  */
START_TEST (idle_connection_makes_room)
{
  rawhttp_t idle[CONNECTIONS_MAX];

  for (int i = 0; i < CONNECTIONS_MAX; i++)
    {
      idle[i] = start ("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
      ck_assert (rawhttp_read_all (&idle[i], WAIT_MS));
    }
  rawhttp_t http = start ("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  check_answered (&http);
  for (int i = 0; i < CONNECTIONS_MAX; i++)
    rawhttp_close (&idle[i]);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("intake");
  TCase *tcase = tcase_create ("intake");

  tcase_set_timeout (tcase, 30);
  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_test (tcase, largest_body_is_answered);
  tcase_add_test (tcase, announced_body_is_refused_on_arrival);
  tcase_add_test (tcase, status_reaches_client_that_sends_on);
  tcase_add_test (tcase, chunked_body_over_the_limit_is_refused);
  tcase_add_test (tcase, head_over_the_limit_is_refused);
  tcase_add_test (tcase, late_head_is_refused);
  tcase_add_test (tcase, late_body_is_refused);
  tcase_add_test (tcase, request_is_refused_before_its_body);
  tcase_add_test (tcase, newest_large_request_gives_way);
  tcase_add_test (tcase, stalled_request_gives_way_first);
  tcase_add_test (tcase, stalled_small_request_gives_way_to_large);
  tcase_add_test (tcase, server_ends_beside_incomplete_requests);
  tcase_add_test (tcase, stalled_connection_makes_room);
  tcase_add_test (tcase, idle_connection_makes_room);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
