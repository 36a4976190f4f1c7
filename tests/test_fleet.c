/* Tests of failover with real processes: streams that another engine resumes,
   and roll-outs that another entry takes over.  */

#include "cluster.h"
#include "standins/answer.h"
#include "suite.h"

#include <check.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#define CHAT "/v1/chat/completions"
#define AUTH "authorization: Bearer " CLUSTER_API_KEY "\r\n"
#define JSON_TYPE "content-type: application/json\r\n"

enum
{
  WAIT_MS = 15000,
  POLL_MS = 20,
  STREAM_TOKENS = 120,
  HALT_WAIT_MS = 60000
};

static cluster_t *cluster;
static bool has_passed;

static void
teardown (void)
{
  cluster_destroy (cluster, !has_passed);
  cluster = NULL;
}

static void
setup_resume (void)
{
  const cluster_options_t options = { .entries = 1,
                                      .small_engines = 2,
                                      .single_zone = true,
                                      .engine_args = { "--token-ms=10" } };

  has_passed = false;
  cluster = cluster_create (&options);
  ck_assert_ptr_nonnull (cluster);
}

/* Return the first upstream with a running request, or NULL.  */
static cluster_upstream_t *
find_busy_upstream (void)
{
  for (size_t i = 0; i < cluster->upstream_count; i++)
    if (cluster_read_stat (cluster, cluster->upstreams[i].port, "running") > 0)
      return &cluster->upstreams[i];
  return NULL;
}

/* Failure: a stream is cut or changes when its engine dies.  The engine that
   generates a long stream is killed halfway, and the other engine has to
   resume the stream.  The client must receive a complete stream with the text
   that the other engine generates for the same request.  */
START_TEST (killed_engine_does_not_cut_stream)
{
  static const char body[]
      = "{\"model\":\"draft-small@3\",\"stream\":true,\"max_tokens\":120,"
        "\"messages\":[{\"role\":\"user\",\"content\":\"a long roof\"}]}";
  parsed_answer_t resumed = { 0 };
  parsed_answer_t expected = { 0 };

  rawhttp_t http
      = rawhttp_start (cluster->host, cluster->entries[0].port, "POST", CHAT,
                       AUTH JSON_TYPE, str_from (body));
  ck_assert (rawhttp_read_body (&http, 3000, WAIT_MS));
  cluster_upstream_t *engine = find_busy_upstream ();
  ck_assert_ptr_nonnull (engine);
  proc_kill (engine->proc);
  bool is_complete = rawhttp_read_all (&http, WAIT_MS);
  size_t tail = http.body.len < 400 ? http.body.len : 400;
  ck_assert_msg (is_complete, "stream was cut: %.*s", (int)tail,
                 http.body.ptr + http.body.len - tail);
  cluster_upstream_t *other = engine == &cluster->upstreams[0]
                                  ? &cluster->upstreams[1]
                                  : &cluster->upstreams[0];
  rawhttp_t direct = rawhttp_call (cluster->host, other->port, "POST", CHAT,
                                   JSON_TYPE, str_from (body), WAIT_MS);
  ck_assert (answer_parse_stream (buf_str (&http.body), &resumed));
  ck_assert (answer_parse_stream (buf_str (&direct.body), &expected));
  ck_assert (!resumed.has_error);
  ck_assert_uint_eq (expected.tokens, STREAM_TOKENS);
  ck_assert_msg (str_eq (buf_str (&resumed.text), buf_str (&expected.text)),
                 "resumed text: %.*s", STR_ARG (buf_str (&resumed.text)));
  rawhttp_close (&http);
  rawhttp_close (&direct);
  parsed_answer_free (&resumed);
  parsed_answer_free (&expected);
  has_passed = true;
}
END_TEST

static void
setup_rollout (void)
{
  const cluster_options_t options
      = { .entries = 3, .small_engines = 2, .single_zone = true };

  has_passed = false;
  cluster = cluster_create (&options);
  ck_assert_ptr_nonnull (cluster);
}

/* Copy the state of the first roll-out that entry INDEX reports to STATE, and
   set *SHOWN to its member `shown'.  */
static void
read_rollout (size_t index, char *state, size_t size, json_int_t *shown)
{
  json_t *status
      = rawhttp_json (cluster->host, cluster->entries[index].admin_port,
                      "/admin/status", NULL);
  const json_t *rollout
      = json_array_get (json_object_get (status, "rollouts"), 0);
  const char *state_text
      = json_string_value (json_object_get (rollout, "state"));

  snprintf (state, size, "%s", state_text != NULL ? state_text : "");
  *shown = json_integer_value (json_object_get (rollout, "shown"));
  json_decref (status);
}

/* Send ten chat requests through every running entry.  ROUND makes the prompts
   differ between calls.  */
static void
send_chats (int round)
{
  char body[256];

  for (size_t i = 0; i < cluster->entry_count; i++)
    {
      if (!proc_is_running (cluster->entries[i].proc))
        continue;
      for (int k = 0; k < 10; k++)
        {
          snprintf (body, sizeof body,
                    "{\"model\":\"draft-small\",\"max_tokens\":2,"
                    "\"messages\":[{\"role\":\"user\",\"content\":"
                    "\"question %d %d\"}]}",
                    round, k);
          rawhttp_t http = cluster_chat (cluster, i, NULL, body, WAIT_MS);
          ck_assert_int_eq (http.status, 200);
          rawhttp_close (&http);
        }
    }
}

/* Return the index of the running entry whose log says that it drives the
   roll-outs, or -1 when there is none.  */
static int
find_leader (void)
{
  int found = -1;

  for (size_t i = 0; i < cluster->entry_count; i++)
    {
      buf_t log = BUF_NULL;
      proc_read_output (cluster->entries[i].proc, true, &log);
      buf_append_char (&log, '\0');
      if (proc_is_running (cluster->entries[i].proc)
          && strstr (log.ptr, "steps the roll-outs now") != NULL)
        found = (int)i;
      buf_free (&log);
    }
  return found;
}

/* Failure: a bad version stays in roll-out after the leading entry died.  The
   entry that drives the roll-out of a low-quality version is killed.  Another
   entry must take over with the quality data collected so far and halt the
   roll-out, and every running entry must report the halt.  */
START_TEST (rollout_survives_death_of_leader)
{
  char state[32] = "";
  json_int_t shown = 0;
  uint64_t end_ms = harness_now_ms () + HALT_WAIT_MS;
  int round = 0;
  bool is_leader_killed = false;
  char control[128];

  for (size_t i = 0; i < cluster->upstream_count; i++)
    {
      snprintf (control, sizeof control,
                "{\"quality\":{\"draft-small@4\":0.3}}");
      ck_assert (cluster_post_json (cluster, cluster->upstreams[i].port,
                                    "/control", control));
    }
  ck_assert (cluster_set_configuration_key (cluster, "version draft-small@4",
                                            "state", "rolling-out"));
  ck_assert (cluster_set_configuration_key (cluster, "rollout draft-small@4",
                                            "over", "draft-small@3"));
  while (harness_now_ms () < end_ms && strcmp (state, "halted") != 0)
    {
      send_chats (round++);
      size_t reporter = proc_is_running (cluster->entries[0].proc) ? 0 : 1;
      read_rollout (reporter, state, sizeof state, &shown);
      int leader = find_leader ();
      if (!is_leader_killed && shown >= 2 && leader >= 0)
        {
          proc_kill (cluster->entries[leader].proc);
          is_leader_killed = true;
        }
    }
  ck_assert (is_leader_killed);
  ck_assert_msg (strcmp (state, "halted") == 0, "state %s shown %d", state,
                 (int)shown);
  /* Every running entry must report the roll-out as halted.  */
  for (size_t i = 0; i < cluster->entry_count; i++)
    {
      if (!proc_is_running (cluster->entries[i].proc))
        continue;
      do
        {
          read_rollout (i, state, sizeof state, &shown);
          harness_sleep_ms (POLL_MS);
        }
      while (strcmp (state, "halted") != 0 && harness_now_ms () < end_ms);
      ck_assert_str_eq (state, "halted");
    }
  has_passed = true;
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("fleet");
  TCase *resume = tcase_create ("resume");
  TCase *rollout = tcase_create ("rollout");

  tcase_set_timeout (resume, 60);
  tcase_set_timeout (rollout, 120);
  tcase_add_checked_fixture (resume, setup_resume, teardown);
  tcase_add_test (resume, killed_engine_does_not_cut_stream);
  suite_add_tcase (suite, resume);
  tcase_add_checked_fixture (rollout, setup_rollout, teardown);
  tcase_add_test (rollout, rollout_survives_death_of_leader);
  suite_add_tcase (suite, rollout);
  return suite_run (suite);
}
