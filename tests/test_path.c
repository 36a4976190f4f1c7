/* Tests of the request path through real processes: caller, entry, sidecar and
   upstream.  */

#include "cluster.h"
#include "standins/answer.h"
#include "suite.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>

#define CHAT "/v1/chat/completions"
#define AUTH "authorization: Bearer " CLUSTER_API_KEY "\r\n"
#define JSON_TYPE "content-type: application/json\r\n"
#define CHAT_BODY(model, fields)                                              \
  "{\"model\":\"" model "\"," fields                                          \
  "\"messages\":[{\"role\":\"user\",\"content\":\"a roof\"}]}"

enum
{
  WAIT_MS = 10000,
  EXIT_BAD_SETTINGS = 2,
  BODY_LIMIT_BYTES = 4 << 20,
  LONG_KEY_BYTES = 10 * 1024
};

static cluster_t *cluster;
static harness_t *harness;
static bool passed;

static void
setup (void)
{
  const cluster_options_t options = { .entries = 1,
                                      .small_engines = 1,
                                      .large_engines = 1,
                                      .services = 1,
                                      .one_zone = true,
                                      .engine_args = { "--token-ms=10" } };

  passed = false;
  cluster = cluster_create (&options);
  ck_assert_ptr_nonnull (cluster);
}

static void
teardown (void)
{
  cluster_destroy (cluster, !passed);
  cluster = NULL;
}

static void
setup_harness (void)
{
  passed = false;
  harness = harness_create ();
}

static void
teardown_harness (void)
{
  harness_destroy (harness, !passed);
  harness = NULL;
}

static cluster_upstream_t *
find_upstream (const char *name)
{
  for (size_t i = 0; i < cluster->upstream_count; i++)
    if (strcmp (cluster->upstreams[i].name, name) == 0)
      return &cluster->upstreams[i];
  return NULL;
}

static void
check_header (const rawhttp_t *http, const char *name, const char *want)
{
  str_t value = rawhttp_header (http, name);

  ck_assert_msg (str_eq (value, str_from (want)), "%s: %.*s, not %s", name,
                 STR_ARG (value), want);
}

START_TEST (streamed_answer_differs_from_the_engines)
{
  static const char body[]
      = CHAT_BODY ("draft-small@3", "\"stream\":true,\"max_tokens\":40,");
  const cluster_upstream_t *engine = find_upstream ("small-1");
  parsed_answer_t through_entry = { 0 };
  parsed_answer_t from_engine = { 0 };

  rawhttp_t http
      = rawhttp_start (cluster->host, cluster->entries[0].port, "POST", CHAT,
                       AUTH JSON_TYPE, str_from (body));
  /* The first event arrives while the engine still generates the answer.  */
  ck_assert (rawhttp_read_body (&http, 1, WAIT_MS));
  ck_assert_int_eq (cluster_read_stat (cluster, engine->port, "running"), 1);
  ck_assert (rawhttp_read_all (&http, WAIT_MS));
  ck_assert_int_eq (http.status, 200);
  check_header (&http, "vanillahook-outcome", "answered");
  ck_assert_uint_gt (rawhttp_header (&http, "vanillahook-request-id").len, 0);
  ck_assert_uint_gt (rawhttp_header (&http, "vanillahook-session").len, 0);
  ck_assert_ptr_nonnull (memmem (rawhttp_header (&http, "content-type").ptr,
                                 17, "text/event-stream", 17));
  rawhttp_t direct = rawhttp_call (cluster->host, engine->port, "POST", CHAT,
                                   JSON_TYPE, str_from (body), WAIT_MS);
  ck_assert (answer_parse_stream (buf_str (&http.body), &through_entry));
  ck_assert (answer_parse_stream (buf_str (&direct.body), &from_engine));
  ck_assert (
      str_eq (buf_str (&through_entry.text), buf_str (&from_engine.text)));
  ck_assert_uint_eq (through_entry.tokens, 40);
  rawhttp_close (&http);
  rawhttp_close (&direct);
  parsed_answer_free (&through_entry);
  parsed_answer_free (&from_engine);
  passed = true;
}
END_TEST

START_TEST (whole_answer_differs_from_the_engines)
{
  static const char body[] = CHAT_BODY ("draft-large", "\"max_tokens\":5,");
  const cluster_upstream_t *engine = find_upstream ("large-1");
  parsed_answer_t through_entry = { 0 };
  parsed_answer_t from_engine = { 0 };

  rawhttp_t http = cluster_chat (cluster, 0, NULL, body, WAIT_MS);
  ck_assert_int_eq (http.status, 200);
  rawhttp_t direct = rawhttp_call (cluster->host, engine->port, "POST", CHAT,
                                   JSON_TYPE, str_from (body), WAIT_MS);
  ck_assert (answer_parse_json (buf_str (&http.body), &through_entry));
  ck_assert (answer_parse_json (buf_str (&direct.body), &from_engine));
  ck_assert (
      str_eq (buf_str (&through_entry.text), buf_str (&from_engine.text)));
  rawhttp_close (&http);
  rawhttp_close (&direct);
  parsed_answer_free (&through_entry);
  parsed_answer_free (&from_engine);
  passed = true;
}
END_TEST

static rawhttp_t
call_service (const char *key, const char *body)
{
  char headers[256];

  snprintf (headers, sizeof headers, AUTH JSON_TYPE "idempotency-key: %s\r\n",
            key);
  return rawhttp_call (cluster->host, cluster->entries[0].port, "POST",
                       "/services/" CLUSTER_SERVICE "/approve-1", headers,
                       str_from (body), WAIT_MS);
}

START_TEST (service_call_runs_twice_for_one_idempotency_key)
{
  const cluster_upstream_t *service = find_upstream ("desk-1");
  buf_t want = BUF_NULL;
  json_int_t before = cluster_read_stat (cluster, service->port, "total");

  rawhttp_t one = call_service ("k-1", "{\"amount\":1}");
  ck_assert_int_eq (one.status, 200);
  check_header (&one, "vanillahook-outcome", "answered");
  answer_append_service (STR ("POST"), STR ("/approve-1"),
                         STR ("{\"amount\":1}"), &want);
  ck_assert (str_eq (buf_str (&one.body), buf_str (&want)));
  rawhttp_t two = call_service ("k-1", "{\"amount\":1}");
  ck_assert_int_eq (two.status, 200);
  ck_assert (str_eq (buf_str (&one.body), buf_str (&two.body)));
  rawhttp_t other = call_service ("k-1", "{\"amount\":2}");
  ck_assert_int_eq (other.status, 422);
  ck_assert_int_eq (cluster_read_stat (cluster, service->port, "total"),
                    before + 1);
  rawhttp_close (&one);
  rawhttp_close (&two);
  rawhttp_close (&other);
  buf_free (&want);
  passed = true;
}
END_TEST

START_TEST (model_list_ignores_the_team)
{
  static const struct
  {
    const char *headers;
    bool large;
  } cases[]
      = { { AUTH, true },
          { "authorization: Bearer " CLUSTER_OTHER_API_KEY "\r\n", false } };

  for (size_t i = 0; i < 2; i++)
    {
      rawhttp_t http
          = rawhttp_call (cluster->host, cluster->entries[0].port, "GET",
                          "/v1/models", cases[i].headers, STR_NULL, WAIT_MS);
      ck_assert_int_eq (http.status, 200);
      ck_assert_ptr_nonnull (
          memmem (http.body.ptr, http.body.len, "draft-small", 11));
      ck_assert (
          (memmem (http.body.ptr, http.body.len, "draft-large", 11) != NULL)
          == cases[i].large);
      rawhttp_close (&http);
    }
  passed = true;
}
END_TEST

/* Failure: a caller disconnects in the middle of a stream, and the engine
   continues to generate an answer that is never read.  */
START_TEST (engine_keeps_running_after_the_caller_disconnects)
{
  const cluster_upstream_t *engine = find_upstream ("small-1");
  rawhttp_t http = rawhttp_start (
      cluster->host, cluster->entries[0].port, "POST", CHAT, AUTH JSON_TYPE,
      STR (CHAT_BODY ("draft-small@3",
                      "\"stream\":true,\"max_tokens\":2000,")));

  ck_assert (rawhttp_read_body (&http, 1, WAIT_MS));
  ck_assert_int_eq (cluster_read_stat (cluster, engine->port, "running"), 1);
  rawhttp_close (&http);
  WAIT_FOR (cluster_read_stat (cluster, engine->port, "running") == 0, 3000);
  passed = true;
}
END_TEST

typedef struct
{
  const char *name;
  const char *method;
  const char *path;
  const char *headers;
  const char *body;
  int status;
  int code;
} bad_input_t;

static const bad_input_t bad_inputs[] = {
  { "malformed JSON", "POST", CHAT, AUTH JSON_TYPE, "{\"model\":", 400, 101 },
  { "empty body", "POST", CHAT, AUTH JSON_TYPE, "", 400, 101 },
  { "not an object", "POST", CHAT, AUTH JSON_TYPE, "[1]", 400, 102 },
  { "no messages", "POST", CHAT, AUTH JSON_TYPE, "{\"model\":\"draft-small\"}",
    400, 102 },
  { "model of the wrong type", "POST", CHAT, AUTH JSON_TYPE,
    "{\"model\":7,\"messages\":[]}", 400, 102 },
  { "deep nesting", "POST", CHAT, AUTH JSON_TYPE, NULL, 400, 101 },
  { "no key", "POST", CHAT, JSON_TYPE, CHAT_BODY ("draft-small", ""), 401,
    200 },
  { "unknown team", "POST", CHAT, "authorization: Bearer nobody\r\n" JSON_TYPE,
    CHAT_BODY ("draft-small", ""), 401, 201 },
  { "unknown model", "POST", CHAT, AUTH JSON_TYPE, CHAT_BODY ("nonesuch", ""),
    404, 203 },
  { "model not allowed", "POST", CHAT,
    "authorization: Bearer " CLUSTER_OTHER_API_KEY "\r\n" JSON_TYPE,
    CHAT_BODY ("draft-large@7", ""), 403, 202 },
  { "service not allowed", "POST", "/services/" CLUSTER_SERVICE "/x",
    "authorization: Bearer " CLUSTER_OTHER_API_KEY
    "\r\nidempotency-key: k\r\n",
    "{}", 403, 202 },
  { "no idempotency key", "POST", "/services/" CLUSTER_SERVICE "/x", AUTH,
    "{}", 400, 107 },
  { "wrong method", "DELETE", CHAT, AUTH, "", 405, 104 },
  { "no such path", "GET", "/v2/none", AUTH, "", 404, 105 },
  { "bad deadline", "POST", CHAT,
    AUTH "vanillahook-deadline-ms: soon\r\n" JSON_TYPE,
    CHAT_BODY ("draft-small", ""), 400, 106 },
};

/* Check that HTTP has STATUS, error CODE and the outcome not-run.  */
static void
check_error (const char *name, const rawhttp_t *http, int status, int code)
{
  json_t *root = json_loadb (http->body.ptr != NULL ? http->body.ptr : "",
                             http->body.len, 0, NULL);
  const json_t *error = json_object_get (root, "error");
  const char *outcome = json_string_value (json_object_get (error, "outcome"));

  ck_assert_msg (http->status == status, "%s: status %d, not %d: %.*s", name,
                 http->status, status, STR_ARG (buf_str (&http->body)));
  ck_assert_msg (json_integer_value (json_object_get (error, "code")) == code,
                 "%s: not code %d: %.*s", name, code,
                 STR_ARG (buf_str (&http->body)));
  ck_assert_msg (outcome != NULL && strcmp (outcome, "not-run") == 0,
                 "%s: outcome is not not-run: %.*s", name,
                 STR_ARG (buf_str (&http->body)));
  ck_assert (json_is_string (json_object_get (error, "type")));
  ck_assert (json_is_string (json_object_get (error, "message")));
  json_decref (root);
}

/* Return a NUL-terminated string of LEN times C; the caller frees the
   string.  */
static char *
repeat (char c, size_t len)
{
  char *text = malloc (len + 1);

  memset (text, c, len);
  text[len] = '\0';
  return text;
}

static void
check_bad_inputs (void)
{
  for (size_t i = 0; i < sizeof bad_inputs / sizeof bad_inputs[0]; i++)
    {
      const bad_input_t *input = &bad_inputs[i];
      char *deep_json = repeat ('[', 100000);
      rawhttp_t http = rawhttp_call (
          cluster->host, cluster->entries[0].port, input->method, input->path,
          input->headers,
          str_from (input->body != NULL ? input->body : deep_json), WAIT_MS);
      check_error (input->name, &http, input->status, input->code);
      rawhttp_close (&http);
      free (deep_json);
    }
}

static void
check_long_key (void)
{
  buf_t headers = BUF_NULL;
  char *key = repeat ('k', LONG_KEY_BYTES);

  buf_printf (&headers, AUTH "idempotency-key: %s\r\n%c", key, '\0');
  rawhttp_t http = rawhttp_call (cluster->host, cluster->entries[0].port,
                                 "POST", "/services/" CLUSTER_SERVICE "/x",
                                 headers.ptr, STR ("{}"), WAIT_MS);
  check_error ("key of 10 kB", &http, 400, 106);
  rawhttp_close (&http);
  free (key);
  buf_free (&headers);
}

static void
check_large_body (void)
{
  char *body = repeat ('b', BODY_LIMIT_BYTES + 1);
  rawhttp_t http
      = rawhttp_call (cluster->host, cluster->entries[0].port, "POST", CHAT,
                      AUTH JSON_TYPE, str_from (body), WAIT_MS);

  check_error ("oversized body", &http, 413, 103);
  rawhttp_close (&http);
  free (body);
}

static json_int_t
count_all_runs (void)
{
  json_int_t sum = 0;

  for (size_t i = 0; i < cluster->upstream_count; i++)
    sum += cluster_read_stat (cluster, cluster->upstreams[i].port, "total");
  return sum;
}

START_TEST (bad_input_runs_or_gets_a_wrong_error)
{
  json_int_t before = count_all_runs ();

  check_bad_inputs ();
  check_long_key ();
  check_large_body ();
  ck_assert_int_eq (count_all_runs (), before);
  ck_assert (proc_is_running (cluster->entries[0].proc));
  rawhttp_t http = cluster_chat (cluster, 0, NULL,
                                 CHAT_BODY ("draft-small", ""), WAIT_MS);
  ck_assert_int_eq (http.status, 200);
  rawhttp_close (&http);
  passed = true;
}
END_TEST

START_TEST (wrong_settings_are_accepted_or_not_located)
{
  static const struct
  {
    const char *text;
    const char *want;
  } cases[] = { { "[process]\nname = a\nrole = entri\n", ":3: " },
                { "[process]\nname = a\nnmae = b\n", ":3: " },
                { "[processes]\n", ":1: " },
                { "no section\n", ":1: " },
                { "[process]\nname = a\nrole = entry\navailability-zone = z\n"
                  "admin = here\n",
                  ":5: " } };

  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      buf_t stderr_text = BUF_NULL;
      buf_t want = BUF_NULL;
      const char *path
          = harness_write_file (harness, "bad.ini", str_from (cases[i].text));
      proc_t *proc
          = harness_start (harness, "bad", "bin/vanillahookd", "--settings",
                           path, i % 2 == 0 ? NULL : "--check", NULL);
      ck_assert_int_eq (proc_wait (proc, WAIT_MS), EXIT_BAD_SETTINGS);
      proc_read_output (proc, true, &stderr_text);
      buf_append_char (&stderr_text, '\0');
      buf_printf (&want, "vanillahookd: %s%s%c", path, cases[i].want, '\0');
      ck_assert_msg (strstr (stderr_text.ptr, want.ptr) != NULL,
                     "standard error: %s", stderr_text.ptr);
      buf_free (&stderr_text);
      buf_free (&want);
    }
  passed = true;
}
END_TEST

/* Failure: a standalone process cannot serve an engine that supports only
   POST /v1/chat/completions.  */
START_TEST (standalone_process_fails_with_a_minimal_engine)
{
  const char *host = harness_host (harness);
  uint16_t engine = harness_find_free_port (harness);
  uint16_t port = harness_find_free_port (harness);
  uint16_t admin = harness_find_free_port (harness);
  buf_t text = BUF_NULL;
  char listen[64];
  parsed_answer_t through_entry = { 0 };
  parsed_answer_t from_engine = { 0 };
  static const char body[]
      = CHAT_BODY ("draft-small@3", "\"stream\":true,\"max_tokens\":30,");

  snprintf (listen, sizeof listen, "--listen=%s:%u", host, engine);
  proc_t *proc
      = harness_start (harness, "engine", "tests/standin_engine", listen,
                       "--minimal", "--version=draft-small@3:0.7", NULL);
  ck_assert_uint_eq (proc_wait_port (proc, "listening", WAIT_MS), engine);
  harness_write_file (
      harness, "lists.ini",
      STR ("[team coast-office]\nplan = grants\n"
           "key-sha256 = 38ec9e443bcea4ca8a5a4ef967cbe59f4b502f5c5119750ea29c"
           "da2612e72b92\n"
           "[plan grants]\nallow = draft-small@*\n"
           "[model draft-small]\ntask = draft\n"
           "[version draft-small@3]\nstate = serving\n"));
  buf_printf (&text,
              "[process]\nname = one\nrole = standalone\n"
              "availability-zone = nairobi-a\nadmin = %s:%u\n"
              "[entry]\nlisten = %s:%u\n[configuration]\nfile = lists.ini\n"
              "[upstream runner-1]\nupstream = %s:%u\n"
              "serves = draft-small@3\n",
              host, admin, host, port, host, engine);
  const char *path
      = harness_write_file (harness, "standalone.ini", buf_str (&text));
  harness_start (harness, "standalone", "bin/vanillahookd", "--settings", path,
                 NULL);
  bool is_ready;
  rawhttp_t http;
  WAIT_UNTIL ((http = rawhttp_call (host, port, "POST", CHAT,
                                    "authorization: Bearer "
                                    "coast-office-demo-key\r\n" JSON_TYPE,
                                    str_from (body), WAIT_MS),
               http.status == 200 || (rawhttp_close (&http), false)),
              WAIT_MS, &is_ready);
  ck_assert (is_ready);
  rawhttp_t direct = rawhttp_call (host, engine, "POST", CHAT, JSON_TYPE,
                                   str_from (body), WAIT_MS);
  ck_assert (answer_parse_stream (buf_str (&http.body), &through_entry));
  ck_assert (answer_parse_stream (buf_str (&direct.body), &from_engine));
  ck_assert (
      str_eq (buf_str (&through_entry.text), buf_str (&from_engine.text)));
  rawhttp_close (&http);
  rawhttp_close (&direct);
  parsed_answer_free (&through_entry);
  parsed_answer_free (&from_engine);
  buf_free (&text);
  passed = true;
}
END_TEST

/* A caller sends an incomplete or malformed request and closes its sending
   side.  */
static void
check_partial_requests (void)
{
  static const char *const partial_requests[]
      = { "POST " CHAT " HTTP/1.1\r\nhost: x\r\n" AUTH
          "content-length: 100\r\n\r\n{\"model\":",
          "POST " CHAT " HTTP/1.1\r\nho", "garbage\r\n\r\n" };

  for (size_t i = 0; i < 3; i++)
    {
      rawhttp_t http
          = rawhttp_connect (cluster->host, cluster->entries[0].port);
      rawhttp_send (&http, str_from (partial_requests[i]));
      shutdown (http.fd, SHUT_WR);
      rawhttp_read_all (&http, 2 * WAIT_MS);
      check_error (partial_requests[i], &http, 400, 100);
      rawhttp_close (&http);
    }
}

START_TEST (partial_request_runs_or_gets_no_error)
{
  json_int_t before = count_all_runs ();

  check_partial_requests ();
  ck_assert_int_eq (count_all_runs (), before);
  ck_assert (proc_is_running (cluster->entries[0].proc));
  passed = true;
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("path");
  TCase *fleet = tcase_create ("fleet");
  TCase *single = tcase_create ("single");

  tcase_add_checked_fixture (fleet, setup, teardown);
  tcase_add_test (fleet, streamed_answer_differs_from_the_engines);
  tcase_add_test (fleet, whole_answer_differs_from_the_engines);
  tcase_add_test (fleet, service_call_runs_twice_for_one_idempotency_key);
  tcase_add_test (fleet, model_list_ignores_the_team);
  tcase_add_test (fleet, engine_keeps_running_after_the_caller_disconnects);
  tcase_add_test (fleet, bad_input_runs_or_gets_a_wrong_error);
  tcase_add_test (fleet, partial_request_runs_or_gets_no_error);
  suite_add_tcase (suite, fleet);
  tcase_add_checked_fixture (single, setup_harness, teardown_harness);
  tcase_add_test (single, wrong_settings_are_accepted_or_not_located);
  tcase_add_test (single, standalone_process_fails_with_a_minimal_engine);
  suite_add_tcase (suite, single);
  return suite_run (suite);
}
