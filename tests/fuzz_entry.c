/* Fuzz test of an entry process with damaged HTTP requests: a bounded run from
   fixed seeds.  Each connection gets an answer with an error code or is
   closed, and afterwards the entry still runs and answers a valid request.  */

#include "cluster.h"
#include "mutate.h"
#include "suite.h"

#include <check.h>
#include <stdio.h>

enum
{
  INPUT_COUNT = 300,
  WAIT_MS = 10000,
  HEAD_WAIT_MS = 300
};

static cluster_t *cluster;
static bool passed;

static const char chat_body[]
    = "{\"model\":\"draft-small@3\",\"max_tokens\":2,\"stream\":false,"
      "\"temperature\":0.5,\"messages\":[{\"role\":\"user\","
      "\"content\":\"a roof\\u00e9 \\\"of\\\" coral\"}]}";

static void
setup (void)
{
  const cluster_options_t options = { .entries = 1,
                                      .small_engines = 1,
                                      .one_zone = true,
                                      .engine_args = { "--token-ms=0" } };

  passed = false;
  cluster = cluster_create (&options);
  ck_assert_ptr_nonnull (cluster);
}

static void
teardown (void)
{
  cluster_destroy (cluster, !passed);
}

static void
check_entry_serves (void)
{
  rawhttp_t http = cluster_chat (cluster, 0, NULL, chat_body, WAIT_MS);

  ck_assert_int_eq (http.status, 200);
  rawhttp_close (&http);
  ck_assert (proc_is_running (cluster->entries[0].proc));
}

/* Complete requests with a damaged body: each is answered, and an answer with
   status 4xx has the outcome not-run.  */
START_TEST (damaged_body_gets_no_answer)
{
  rng_t rng = rng_make (21);
  buf_t body = BUF_NULL;
  int refused_count = 0;

  for (int i = 0; i < INPUT_COUNT; i++)
    {
      mutate (&rng, STR (chat_body), &body);
      rawhttp_t http
          = rawhttp_call (cluster->host, cluster->entries[0].port, "POST",
                          "/v1/chat/completions",
                          "authorization: Bearer " CLUSTER_API_KEY "\r\n",
                          buf_str (&body), WAIT_MS);
      ck_assert_msg (http.status >= 200, "body %d got no answer", i);
      if (http.status >= 400 && http.status < 500)
        {
          str_t outcome = rawhttp_header (&http, "vanillahook-outcome");
          ck_assert_msg (str_eq (outcome, STR ("not-run")),
                         "body %d: outcome is not not-run", i);
          refused_count++;
        }
      rawhttp_close (&http);
    }
  ck_assert_int_gt (refused_count, INPUT_COUNT / 4);
  check_entry_serves ();
  buf_free (&body);
  passed = true;
}
END_TEST

/* Requests with a damaged head: the entry answers, closes the connection, or
   waits for the rest of the request without an answer.  */
START_TEST (damaged_head_stops_the_entry)
{
  rng_t rng = rng_make (22);
  buf_t request = BUF_NULL;
  buf_t damaged = BUF_NULL;

  buf_printf (&request,
              "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\n"
              "authorization: Bearer " CLUSTER_API_KEY "\r\n"
              "idempotency-key: fuzz-1\r\nvanillahook-deadline-ms: 2000\r\n"
              "vanillahook-session: draft-small@3~runner-1~00\r\n"
              "vanillahook-priority: high\r\ncontent-length: %zu\r\n\r\n%s",
              sizeof chat_body - 1, chat_body);
  for (int i = 0; i < INPUT_COUNT / 3; i++)
    {
      mutate (&rng, buf_str (&request), &damaged);
      rawhttp_t http
          = rawhttp_connect (cluster->host, cluster->entries[0].port);
      ck_assert_int_ge (http.fd, 0);
      rawhttp_send (&http, buf_str (&damaged));
      if (rawhttp_read_head (&http, HEAD_WAIT_MS))
        ck_assert_int_ge (http.status, 200);
      rawhttp_close (&http);
    }
  check_entry_serves ();
  buf_free (&request);
  buf_free (&damaged);
  passed = true;
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("fuzz_entry");
  TCase *tcase = tcase_create ("fuzz_entry");

  tcase_set_timeout (tcase, 100);
  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_test (tcase, damaged_body_gets_no_answer);
  tcase_add_test (tcase, damaged_head_stops_the_entry);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
