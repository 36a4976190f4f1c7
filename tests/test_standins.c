/* Tests of the stand-ins and of the harness that starts them: what the other
   tests take for granted.  */

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
static bool passed;

static void
setup (void)
{
  harness = harness_create ();
  passed = false;
}

static void
teardown (void)
{
  harness_destroy (harness, !passed);
}

/* Start PROGRAM with up to two arguments on a free port, put in *PORT.  */
static proc_t *
start (const char *program, uint16_t *port, const char *a, const char *b)
{
  char listen[40];

  *port = harness_find_free_port (harness);
  snprintf (listen, sizeof listen, "--listen=%s:%u", harness_host (harness),
            *port);
  proc_t *proc
      = harness_start (harness, program + 6, program, listen, a, b, NULL);
  ck_assert_uint_eq (proc_wait_port (proc, "listening", WAIT_MS), *port);
  return proc;
}

static rawhttp_t
call (uint16_t port, const char *path, const char *body)
{
  return rawhttp_call (harness_host (harness), port, "POST", path, JSON_TYPE,
                       str_from (body), WAIT_MS);
}

static void
control (uint16_t port, const char *path, const char *body)
{
  rawhttp_t http = call (port, path, body);

  ck_assert_int_eq (http.status, 200);
  rawhttp_close (&http);
}

static json_int_t
stat_of (uint16_t port, const char *group, const char *name)
{
  json_t *root = rawhttp_json (harness_host (harness), port, "/stats", NULL);
  const json_t *from = group != NULL ? json_object_get (root, group) : root;
  json_int_t value = json_integer_value (json_object_get (from, name));

  json_decref (root);
  return value;
}

#define ASK(stream, more)                                                     \
  "{\"model\":\"draft@3\",\"stream\":" stream ",\"max_tokens\":20," more      \
  "\"messages\":[{\"role\":\"user\",\"content\":\"a roof\"}]}"

START_TEST (engine_answers_the_same_bytes_each_time)
{
  uint16_t port;
  uint16_t twin;

  start ("tests/standin_engine", &port, "--version=draft@3:0.83",
         "--token-ms=0.5");
  start ("tests/standin_engine", &twin, "--version=draft@3:0.83",
         "--token-ms=0");
  rawhttp_t one = call (port, CHAT, ASK ("true", ""));
  rawhttp_t two = call (twin, CHAT, ASK ("true", ""));
  ck_assert (one.is_complete && two.is_complete);
  ck_assert (str_eq (buf_str (&one.body), buf_str (&two.body)));
  ck_assert_ptr_nonnull (
      memmem (one.body.ptr, one.body.len, "quality=0.", 10));
  ck_assert (
      memcmp (one.body.ptr + one.body.len - 16, "\n\ndata: [DONE]\n\n", 16)
      == 0);
  rawhttp_close (&two);
  /* A resumed stream is the tail of the whole one.  */
  two = call (port, CHAT, ASK ("true", "\"resume_from_token\":7,"));
  ck_assert_uint_gt (one.body.len, two.body.len);
  ck_assert (memcmp (one.body.ptr + one.body.len - two.body.len, two.body.ptr,
                     two.body.len)
             == 0);
  rawhttp_close (&one);
  rawhttp_close (&two);
  passed = true;
}
END_TEST

START_TEST (engine_ends_on_the_marked_request)
{
  uint16_t port;
  proc_t *engine = start ("tests/standin_engine", &port, "--token-ms=1", NULL);
  rawhttp_t http = call (port, CHAT, "{\"VH-CRASH\":1}");

  ck_assert_int_eq (http.status, 0);
  ck_assert_int_eq (proc_wait (engine, WAIT_MS), CRASH_STATUS);
  rawhttp_close (&http);
  proc_restart (engine);
  ck_assert_uint_eq (proc_wait_port (engine, "listening", WAIT_MS), port);
  passed = true;
}
END_TEST

/* Start a stream of 200 tokens.  */
static rawhttp_t
start_long (uint16_t port)
{
  return rawhttp_start (
      harness_host (harness), port, "POST", CHAT, JSON_TYPE,
      STR ("{\"model\":\"draft\",\"stream\":true,\"max_tokens\":200,"
           "\"messages\":[]}"));
}

START_TEST (engine_refuses_above_its_bound_and_sees_departures)
{
  uint16_t port;
  rawhttp_t streams[4];

  start ("tests/standin_engine", &port, "--slots=2", "--token-ms=20");
  for (int i = 0; i < 4; i++)
    {
      streams[i] = start_long (port);
      ck_assert (rawhttp_read_head (&streams[i], WAIT_MS));
      ck_assert_int_eq (streams[i].status, 200);
    }
  rawhttp_t http = call (port, CHAT, ASK ("false", ""));
  ck_assert_int_eq (http.status, 404); /* It has no draft@3.  */
  rawhttp_close (&http);
  http = call (port, CHAT, "{\"model\":\"draft@1\",\"messages\":[]}");
  ck_assert_int_eq (http.status, 503);
  rawhttp_close (&http);
  ck_assert_int_eq (stat_of (port, NULL, "max_running"), 4);
  for (int i = 0; i < 4; i++)
    rawhttp_close (&streams[i]);
  WAIT_FOR (stat_of (port, NULL, "running") == 0, WAIT_MS);
  ck_assert_int_eq (stat_of (port, NULL, "cancelled"), 4);
  passed = true;
}
END_TEST

START_TEST (engine_is_cold_first_and_when_told)
{
  uint16_t port;

  start ("tests/standin_engine", &port, "--slots=4", "--cold-ms=60000");
  rawhttp_t streams[2] = { start_long (port), start_long (port) };
  ck_assert (rawhttp_read_head (&streams[0], WAIT_MS));
  ck_assert (rawhttp_read_head (&streams[1], WAIT_MS));
  rawhttp_t http = call (port, CHAT, "{\"model\":\"draft\",\"messages\":[]}");
  ck_assert_int_eq (http.status, 503);
  rawhttp_close (&http);
  control (port, "/control", "{\"cold_ms\":0}");
  http = call (port, CHAT, "{\"model\":\"draft\",\"messages\":[]}");
  ck_assert_int_eq (http.status, 200);
  rawhttp_close (&http);
  rawhttp_close (&streams[0]);
  rawhttp_close (&streams[1]);
  passed = true;
}
END_TEST

/* An order with an old fence, as from a controller that slept through the
   end of its lease: some engines refuse it, others obey.  */
START_TEST (engine_checks_fences_or_not)
{
  static const char *const options[] = { "--fencing", "--slots=4" };
  static const int expected[] = { 409, 200 };

  for (int i = 0; i < 2; i++)
    {
      uint16_t port;
      start ("tests/standin_engine", &port, options[i], NULL);
      control (port, "/orders", "{\"order\":\"load\",\"fence\":5}");
      rawhttp_t http
          = call (port, "/orders", "{\"order\":\"unload\",\"fence\":4}");
      ck_assert_int_eq (http.status, expected[i]);
      rawhttp_close (&http);
    }
  passed = true;
}
END_TEST

START_TEST (minimal_engine_has_nothing_else)
{
  uint16_t port;

  start ("tests/standin_engine", &port, "--minimal", NULL);
  json_t *load = rawhttp_json (harness_host (harness), port, "/load", NULL);
  ck_assert_ptr_nonnull (json_object_get (load, "error"));
  json_decref (load);
  rawhttp_t http = call (port, CHAT, "{\"model\":\"draft\",\"messages\":[]}");
  ck_assert_int_eq (http.status, 200);
  rawhttp_close (&http);
  passed = true;
}
END_TEST

START_TEST (service_counts_outlive_it)
{
  uint16_t port;
  const char *counts = harness_file_path (harness, "counts");
  char option[300];

  snprintf (option, sizeof option, "--count-file=%s", counts);
  proc_t *service = start ("tests/standin_service", &port, option, NULL);
  for (int i = 0; i < 2; i++)
    {
      rawhttp_t http = rawhttp_call (harness_host (harness), port, "PUT",
                                     "/a/b", "vanillahook-request-id: r-1\r\n",
                                     STR ("{}"), WAIT_MS);
      ck_assert_int_eq (http.status, 200);
      rawhttp_close (&http);
    }
  control (port, "/control", "{\"die\":\"exit\"}");
  rawhttp_t http
      = rawhttp_call (harness_host (harness), port, "PUT", "/a/b",
                      "vanillahook-request-id: r-2\r\n", STR_NULL, WAIT_MS);
  ck_assert_int_eq (http.status, 0);
  rawhttp_close (&http);
  ck_assert_int_eq (proc_wait (service, WAIT_MS), CRASH_STATUS);
  proc_restart (service);
  ck_assert_uint_eq (proc_wait_port (service, "listening", WAIT_MS), port);
  ck_assert_int_eq (stat_of (port, "runs", "r-1"), 2);
  ck_assert_int_eq (stat_of (port, "runs", "r-2"), 1);
  passed = true;
}
END_TEST

/* Start a proxy before TARGET; return its port and put its control port in
 *CONTROL.  */
static uint16_t
start_proxy (uint16_t target, uint16_t *control_port)
{
  uint16_t port;
  char at[40];
  char controls[40];

  *control_port = harness_find_free_port (harness);
  snprintf (at, sizeof at, "--target=%s:%u", harness_host (harness), target);
  snprintf (controls, sizeof controls, "--control=%s:%u",
            harness_host (harness), *control_port);
  start ("tests/standin_proxy", &port, at, controls);
  return port;
}

/* A middle box forgets a connection: bytes go nowhere and no end ever comes,
   in one direction or both, while new connections work.  */
START_TEST (proxy_silences_old_connections_only)
{
  static const char *const ways[] = { "both", "up", "down" };
  uint16_t engine;
  uint16_t controls;

  start ("tests/standin_engine", &engine, "--token-ms=10", NULL);
  uint16_t port = start_proxy (engine, &controls);
  for (int i = 0; i < 3; i++)
    {
      char body[64];
      rawhttp_t old = start_long (port);
      ck_assert (rawhttp_read_body (&old, 1, WAIT_MS));
      snprintf (body, sizeof body, "{\"silence\":\"%s\"}", ways[i]);
      control (controls, "/fault", body);
      size_t had = old.body.len + 4096;
      bool flows = rawhttp_read_body (&old, had, 500);
      ck_assert (flows == (i == 1));
      ck_assert (!old.has_ended);
      rawhttp_t fresh = call (port, CHAT,
                              "{\"model\":\"draft\",\"messages\":"
                              "[]}");
      ck_assert_int_eq (fresh.status, 200);
      rawhttp_close (&fresh);
      rawhttp_close (&old);
    }
  passed = true;
}
END_TEST

START_TEST (proxy_resets_cuts_refuses_and_delays)
{
  uint16_t engine;
  uint16_t controls;

  start ("tests/standin_engine", &engine, "--token-ms=10", NULL);
  uint16_t port = start_proxy (engine, &controls);
  rawhttp_t http = start_long (port);
  ck_assert (rawhttp_read_body (&http, 1, WAIT_MS));
  control (controls, "/fault", "{\"reset\":true}");
  ck_assert (!rawhttp_read_all (&http, WAIT_MS));
  ck_assert (http.has_ended);
  rawhttp_close (&http);
  control (controls, "/fault", "{\"cut_after\":400}");
  http = start_long (port);
  ck_assert (!rawhttp_read_all (&http, WAIT_MS));
  ck_assert (http.has_ended && http.body.len > 0);
  rawhttp_close (&http);
  control (controls, "/fault", "{\"cut_after\":0,\"refuse\":true}");
  http = call (port, CHAT, "{\"model\":\"draft\",\"messages\":[]}");
  ck_assert_int_eq (http.status, 0);
  rawhttp_close (&http);
  control (controls, "/fault", "{\"refuse\":false,\"delay_ms\":100}");
  uint64_t before = harness_now_ms ();
  json_t *stats = rawhttp_json (harness_host (harness), port, "/stats", NULL);
  ck_assert_ptr_nonnull (stats);
  ck_assert_uint_ge (harness_now_ms () - before, 200);
  json_decref (stats);
  passed = true;
}
END_TEST

START_TEST (client_checks_every_byte)
{
  uint16_t port;
  char target[40];

  start ("tests/standin_engine", &port, "--version=draft@3:0.8",
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
  passed = true;
}
END_TEST

/* A service dies between two chunks of its answer.  h2o's client calls that
   a proper end, so that a caller would take half an answer for a whole
   one; ours must not.  */
START_TEST (answer_cut_between_chunks_is_not_whole)
{
  uint16_t port;
  char target[40];
  buf_t said = BUF_NULL;

  start ("tests/standin_service", &port, "--delay-ms=20", NULL);
  control (port, "/control", "{\"die\":\"cut\"}");
  snprintf (target, sizeof target, "--target=%s:%u", harness_host (harness),
            port);
  proc_t *client
      = harness_start (harness, "client", "tests/standin_client", target,
                       "--requests=20", "--service=x", NULL);
  ck_assert_int_eq (proc_wait (client, WAIT_MS), 0);
  proc_read_output (client, false, &said);
  ck_assert_ptr_nonnull (memmem (said.ptr, said.len, "whole 0\n", 8));
  ck_assert_ptr_nonnull (
      memmem (said.ptr, said.len, "end upstream_cut 20\n", 20));
  buf_free (&said);
  passed = true;
}
END_TEST

START_TEST (harness_pauses_and_kills)
{
  uint16_t port;
  proc_t *service = start ("tests/standin_service", &port, NULL, NULL);

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
  passed = true;
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("standins");
  TCase *tcase = tcase_create ("standins");

  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_test (tcase, engine_answers_the_same_bytes_each_time);
  tcase_add_test (tcase, engine_ends_on_the_marked_request);
  tcase_add_test (tcase, engine_refuses_above_its_bound_and_sees_departures);
  tcase_add_test (tcase, engine_is_cold_first_and_when_told);
  tcase_add_test (tcase, engine_checks_fences_or_not);
  tcase_add_test (tcase, minimal_engine_has_nothing_else);
  tcase_add_test (tcase, service_counts_outlive_it);
  tcase_add_test (tcase, proxy_silences_old_connections_only);
  tcase_add_test (tcase, proxy_resets_cuts_refuses_and_delays);
  tcase_add_test (tcase, client_checks_every_byte);
  tcase_add_test (tcase, answer_cut_between_chunks_is_not_whole);
  tcase_add_test (tcase, harness_pauses_and_kills);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
