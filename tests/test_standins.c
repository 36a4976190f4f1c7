/* Tests of the stand-in servers and of the harness that starts them.  The
   other tests rely on the behaviour that is checked here.  */

#include "harness.h"
#include "rawhttp.h"
#include "standins/answer.h"
#include "suite.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#define CHAT "/v1/chat/completions"
#define JSON_TYPE "content-type: application/json\r\n"

enum
{
  WAIT_MS = 10000,
  CRASH_STATUS = 9
};

static harness_t *harness;
static bool has_passed;

static void
setup (void)
{
  harness = harness_create ();
  has_passed = false;
}

static void
teardown (void)
{
  harness_destroy (harness, !has_passed);
}

/* Start PROGRAM on a free port, which is stored in *PORT, with up to two
   further options; NULL: none.  */
static proc_t *
start_standin (const char *program, uint16_t *port, const char *option_1,
               const char *option_2)
{
  char listen[40];

  *port = harness_find_free_port (harness);
  snprintf (listen, sizeof listen, "--listen=%s:%u", harness_host (harness),
            *port);
  proc_t *proc = harness_start (harness, program + 6, program, listen,
                                option_1, option_2, NULL);
  ck_assert_uint_eq (proc_wait_port (proc, "listening", WAIT_MS), *port);
  return proc;
}

static rawhttp_t
post_json (uint16_t port, const char *path, const char *body)
{
  return rawhttp_call (harness_host (harness), port, "POST", path, JSON_TYPE,
                       str_from (body), WAIT_MS);
}

static void
post_control (uint16_t port, const char *path, const char *body)
{
  rawhttp_t http = post_json (port, path, body);

  ck_assert_int_eq (http.status, 200);
  rawhttp_close (&http);
}

static json_int_t
get_stat (uint16_t port, const char *group, const char *name)
{
  json_t *root = rawhttp_json (harness_host (harness), port, "/stats", NULL);
  const json_t *object = group != NULL ? json_object_get (root, group) : root;
  json_int_t value = json_integer_value (json_object_get (object, name));

  json_decref (root);
  return value;
}

#define CHAT_BODY(stream, fields)                                             \
  "{\"model\":\"draft@3\",\"stream\":" stream ",\"max_tokens\":20," fields    \
  "\"messages\":[{\"role\":\"user\",\"content\":\"a roof\"}]}"

START_TEST (engine_repeats_answers_byte_for_byte)
{
  uint16_t port;
  uint16_t second_port;

  start_standin ("tests/standin_engine", &port, "--version=draft@3:0.83",
                 "--token-ms=0.5");
  start_standin ("tests/standin_engine", &second_port,
                 "--version=draft@3:0.83", "--token-ms=0");
  rawhttp_t first = post_json (port, CHAT, CHAT_BODY ("true", ""));
  rawhttp_t second = post_json (second_port, CHAT, CHAT_BODY ("true", ""));
  ck_assert (first.is_complete && second.is_complete);
  ck_assert (str_eq (buf_str (&first.body), buf_str (&second.body)));
  ck_assert_ptr_nonnull (
      memmem (first.body.ptr, first.body.len, "quality=0.", 10));
  ck_assert (
      memcmp (first.body.ptr + first.body.len - 16, "\n\ndata: [DONE]\n\n", 16)
      == 0);
  rawhttp_close (&second);
  /* A resumed stream is the tail of the complete one.  */
  second
      = post_json (port, CHAT, CHAT_BODY ("true", "\"resume_from_token\":7,"));
  ck_assert_uint_gt (first.body.len, second.body.len);
  ck_assert (memcmp (first.body.ptr + first.body.len - second.body.len,
                     second.body.ptr, second.body.len)
             == 0);
  rawhttp_close (&first);
  rawhttp_close (&second);
  has_passed = true;
}
END_TEST

START_TEST (engine_exits_on_crash_request)
{
  uint16_t port;
  proc_t *engine
      = start_standin ("tests/standin_engine", &port, "--token-ms=1", NULL);
  rawhttp_t http = post_json (port, CHAT, "{\"VH-CRASH\":1}");

  ck_assert_int_eq (http.status, 0);
  ck_assert_int_eq (proc_wait (engine, WAIT_MS), CRASH_STATUS);
  rawhttp_close (&http);
  proc_restart (engine);
  ck_assert_uint_eq (proc_wait_port (engine, "listening", WAIT_MS), port);
  has_passed = true;
}
END_TEST

/* Start a streamed chat of 200 tokens.  */
static rawhttp_t
start_long_stream (uint16_t port)
{
  return rawhttp_start (
      harness_host (harness), port, "POST", CHAT, JSON_TYPE,
      STR ("{\"model\":\"draft\",\"stream\":true,\"max_tokens\":200,"
           "\"messages\":[]}"));
}

START_TEST (engine_refuses_above_capacity_and_counts_disconnects)
{
  uint16_t port;
  rawhttp_t streams[4];

  start_standin ("tests/standin_engine", &port, "--slots=2", "--token-ms=20");
  for (int i = 0; i < 4; i++)
    {
      streams[i] = start_long_stream (port);
      ck_assert (rawhttp_read_head (&streams[i], WAIT_MS));
      ck_assert_int_eq (streams[i].status, 200);
    }
  rawhttp_t http = post_json (port, CHAT, CHAT_BODY ("false", ""));
  ck_assert_int_eq (http.status, 404); /* draft@3 is not served.  */
  rawhttp_close (&http);
  http = post_json (port, CHAT, "{\"model\":\"draft@1\",\"messages\":[]}");
  ck_assert_int_eq (http.status, 503);
  rawhttp_close (&http);
  ck_assert_int_eq (get_stat (port, NULL, "max_running"), 4);
  for (int i = 0; i < 4; i++)
    rawhttp_close (&streams[i]);
  WAIT_FOR (get_stat (port, NULL, "running") == 0, WAIT_MS);
  ck_assert_int_eq (get_stat (port, NULL, "cancelled"), 4);
  has_passed = true;
}
END_TEST

START_TEST (engine_has_lower_capacity_while_cold)
{
  uint16_t port;

  start_standin ("tests/standin_engine", &port, "--slots=4",
                 "--cold-ms=60000");
  rawhttp_t streams[2]
      = { start_long_stream (port), start_long_stream (port) };
  ck_assert (rawhttp_read_head (&streams[0], WAIT_MS));
  ck_assert (rawhttp_read_head (&streams[1], WAIT_MS));
  rawhttp_t http
      = post_json (port, CHAT, "{\"model\":\"draft\",\"messages\":[]}");
  ck_assert_int_eq (http.status, 503);
  rawhttp_close (&http);
  post_control (port, "/control", "{\"cold_ms\":0}");
  http = post_json (port, CHAT, "{\"model\":\"draft\",\"messages\":[]}");
  ck_assert_int_eq (http.status, 200);
  rawhttp_close (&http);
  rawhttp_close (&streams[0]);
  rawhttp_close (&streams[1]);
  has_passed = true;
}
END_TEST

/* A controller that was suspended past the end of its lease sends an order
   with an old fencing token.  Engines with --fencing must refuse it, others
   accept it.  */
START_TEST (engine_refuses_old_fence_only_with_fencing)
{
  static const char *const options[] = { "--fencing", "--slots=4" };
  static const int expected[] = { 409, 200 };

  for (int i = 0; i < 2; i++)
    {
      uint16_t port;
      start_standin ("tests/standin_engine", &port, options[i], NULL);
      post_control (port, "/orders", "{\"order\":\"load\",\"fence\":5}");
      rawhttp_t http
          = post_json (port, "/orders", "{\"order\":\"unload\",\"fence\":4}");
      ck_assert_int_eq (http.status, expected[i]);
      rawhttp_close (&http);
    }
  has_passed = true;
}
END_TEST

START_TEST (minimal_engine_serves_only_completions)
{
  uint16_t port;

  start_standin ("tests/standin_engine", &port, "--minimal", NULL);
  json_t *load = rawhttp_json (harness_host (harness), port, "/load", NULL);
  ck_assert_ptr_nonnull (json_object_get (load, "error"));
  json_decref (load);
  rawhttp_t http
      = post_json (port, CHAT, "{\"model\":\"draft\",\"messages\":[]}");
  ck_assert_int_eq (http.status, 200);
  rawhttp_close (&http);
  has_passed = true;
}
END_TEST

START_TEST (service_keeps_run_counts_across_restart)
{
  uint16_t port;
  const char *counts = harness_file_path (harness, "counts");
  char option[300];

  snprintf (option, sizeof option, "--count-file=%s", counts);
  proc_t *service
      = start_standin ("tests/standin_service", &port, option, NULL);
  for (int i = 0; i < 2; i++)
    {
      rawhttp_t http = rawhttp_call (harness_host (harness), port, "PUT",
                                     "/a/b", "vanillahook-request-id: r-1\r\n",
                                     STR ("{}"), WAIT_MS);
      ck_assert_int_eq (http.status, 200);
      rawhttp_close (&http);
    }
  post_control (port, "/control", "{\"die\":\"exit\"}");
  rawhttp_t http
      = rawhttp_call (harness_host (harness), port, "PUT", "/a/b",
                      "vanillahook-request-id: r-2\r\n", STR_NULL, WAIT_MS);
  ck_assert_int_eq (http.status, 0);
  rawhttp_close (&http);
  ck_assert_int_eq (proc_wait (service, WAIT_MS), CRASH_STATUS);
  proc_restart (service);
  ck_assert_uint_eq (proc_wait_port (service, "listening", WAIT_MS), port);
  ck_assert_int_eq (get_stat (port, "runs", "r-1"), 2);
  ck_assert_int_eq (get_stat (port, "runs", "r-2"), 1);
  has_passed = true;
}
END_TEST

/* Start a proxy that forwards to the port TARGET.  Return its port and store
   its control port in *CONTROL_PORT.  */
static uint16_t
start_proxy (uint16_t target, uint16_t *control_port)
{
  uint16_t port;
  char target_option[40];
  char control_option[40];

  *control_port = harness_find_free_port (harness);
  snprintf (target_option, sizeof target_option, "--target=%s:%u",
            harness_host (harness), target);
  snprintf (control_option, sizeof control_option, "--control=%s:%u",
            harness_host (harness), *control_port);
  start_standin ("tests/standin_proxy", &port, target_option, control_option);
  return port;
}

/* A NAT or firewall loses the state of a connection: in one direction or both,
   bytes are dropped and no end of stream is received, while new connections
   work.  */
START_TEST (proxy_silences_existing_connections_only)
{
  static const char *const modes[] = { "both", "up", "down" };
  uint16_t engine;
  uint16_t control_port;

  start_standin ("tests/standin_engine", &engine, "--token-ms=10", NULL);
  uint16_t port = start_proxy (engine, &control_port);
  for (int i = 0; i < 3; i++)
    {
      char body[64];
      rawhttp_t existing = start_long_stream (port);
      ck_assert (rawhttp_read_body (&existing, 1, WAIT_MS));
      snprintf (body, sizeof body, "{\"silence\":\"%s\"}", modes[i]);
      post_control (control_port, "/fault", body);
      size_t wanted_bytes = existing.body.len + 4096;
      bool has_more_bytes = rawhttp_read_body (&existing, wanted_bytes, 500);
      ck_assert (has_more_bytes == (i == 1));
      ck_assert (!existing.has_ended);
      rawhttp_t fresh = post_json (port, CHAT,
                                   "{\"model\":\"draft\",\"messages\":"
                                   "[]}");
      ck_assert_int_eq (fresh.status, 200);
      rawhttp_close (&fresh);
      rawhttp_close (&existing);
    }
  has_passed = true;
}
END_TEST

START_TEST (proxy_resets_cuts_refuses_and_delays)
{
  uint16_t engine;
  uint16_t control_port;

  start_standin ("tests/standin_engine", &engine, "--token-ms=10", NULL);
  uint16_t port = start_proxy (engine, &control_port);
  rawhttp_t http = start_long_stream (port);
  ck_assert (rawhttp_read_body (&http, 1, WAIT_MS));
  post_control (control_port, "/fault", "{\"reset\":true}");
  ck_assert (!rawhttp_read_all (&http, WAIT_MS));
  ck_assert (http.has_ended);
  rawhttp_close (&http);
  post_control (control_port, "/fault", "{\"cut_after\":400}");
  http = start_long_stream (port);
  ck_assert (!rawhttp_read_all (&http, WAIT_MS));
  ck_assert (http.has_ended && http.body.len > 0);
  rawhttp_close (&http);
  post_control (control_port, "/fault", "{\"cut_after\":0,\"refuse\":true}");
  http = post_json (port, CHAT, "{\"model\":\"draft\",\"messages\":[]}");
  ck_assert_int_eq (http.status, 0);
  rawhttp_close (&http);
  post_control (control_port, "/fault", "{\"refuse\":false,\"delay_ms\":100}");
  uint64_t started_ms = harness_now_ms ();
  json_t *stats = rawhttp_json (harness_host (harness), port, "/stats", NULL);
  ck_assert_ptr_nonnull (stats);
  ck_assert_uint_ge (harness_now_ms () - started_ms, 200);
  json_decref (stats);
  has_passed = true;
}
END_TEST

START_TEST (client_verifies_every_byte)
{
  uint16_t port;
  char target[40];

  start_standin ("tests/standin_engine", &port, "--version=draft@3:0.8",
                 "--token-ms=0.2");
  snprintf (target, sizeof target, "--target=%s:%u", harness_host (harness),
            port);
  proc_t *client
      = harness_start (harness, "client", "tests/standin_client", target,
                       "--requests=50", "--model=draft@3", NULL);
  ck_assert_int_eq (proc_wait (client, WAIT_MS), 0);
  answer_t answer = answer_make (STR ("draft@3"), 0.8, STR ("user\nhi\n"), 4);
  buf_t text = BUF_NULL;
  answer_append_text (&answer, &text);
  ck_assert (answer_matches (&answer, buf_str (&text)));
  text.ptr[text.len - 1] ^= 1;
  ck_assert (!answer_matches (&answer, buf_str (&text)));
  buf_free (&text);
  has_passed = true;
}
END_TEST

/* A service closes the connection between two chunks of its response.  h2o's
   client reports a regular end of the response, so that a caller would accept
   half an answer as complete.  The project's client must report a cut.  */
START_TEST (answer_cut_between_chunks_is_not_complete)
{
  uint16_t port;
  char target[40];
  buf_t output = BUF_NULL;

  start_standin ("tests/standin_service", &port, "--delay-ms=20", NULL);
  post_control (port, "/control", "{\"die\":\"cut\"}");
  snprintf (target, sizeof target, "--target=%s:%u", harness_host (harness),
            port);
  proc_t *client
      = harness_start (harness, "client", "tests/standin_client", target,
                       "--requests=20", "--service=x", NULL);
  ck_assert_int_eq (proc_wait (client, WAIT_MS), 0);
  proc_read_output (client, false, &output);
  ck_assert_ptr_nonnull (memmem (output.ptr, output.len, "whole 0\n", 8));
  ck_assert_ptr_nonnull (
      memmem (output.ptr, output.len, "end upstream_cut 20\n", 20));
  buf_free (&output);
  has_passed = true;
}
END_TEST

START_TEST (harness_pauses_restarts_and_kills_processes)
{
  uint16_t port;
  proc_t *service = start_standin ("tests/standin_service", &port, NULL, NULL);

  proc_signal (service, SIGSTOP);
  rawhttp_t http = rawhttp_start (harness_host (harness), port, "GET",
                                  "/stats", NULL, STR_NULL);
  ck_assert (!rawhttp_read_head (&http, 200));
  proc_signal (service, SIGCONT);
  ck_assert (rawhttp_read_all (&http, WAIT_MS));
  rawhttp_close (&http);
  proc_signal (service, SIGTERM);
  ck_assert_int_eq (proc_wait (service, WAIT_MS), 0);
  proc_restart (service);
  ck_assert_uint_eq (proc_wait_port (service, "listening", WAIT_MS), port);
  proc_kill (service);
  ck_assert_int_eq (proc_wait (service, 0), 256 + SIGKILL);
  has_passed = true;
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("standins");
  TCase *tcase = tcase_create ("standins");

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_test (tcase, engine_repeats_answers_byte_for_byte);
  tcase_add_test (tcase, engine_exits_on_crash_request);
  tcase_add_test (tcase, engine_refuses_above_capacity_and_counts_disconnects);
  tcase_add_test (tcase, engine_has_lower_capacity_while_cold);
  tcase_add_test (tcase, engine_refuses_old_fence_only_with_fencing);
  tcase_add_test (tcase, minimal_engine_serves_only_completions);
  tcase_add_test (tcase, service_keeps_run_counts_across_restart);
  tcase_add_test (tcase, proxy_silences_existing_connections_only);
  tcase_add_test (tcase, proxy_resets_cuts_refuses_and_delays);
  tcase_add_test (tcase, client_verifies_every_byte);
  tcase_add_test (tcase, answer_cut_between_chunks_is_not_complete);
  tcase_add_test (tcase, harness_pauses_restarts_and_kills_processes);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
