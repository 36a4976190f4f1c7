/* Tests of what entries do together, with real processes: streams that go on
   elsewhere and roll-outs that outlive the entry that steps them.  */

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
  STEP_MS = 20,
  STREAM_TOKENS = 120,
  HALT_MS = 60000
};

static cluster_t *cluster;
static bool passed;

static void
teardown (void)
{
  cluster_destroy (cluster, !passed);
  cluster = NULL;
}

static void
setup_resume (void)
{
  const cluster_options_t options = { .entries = 1,
                                      .small_engines = 2,
                                      .one_zone = true,
                                      .engine_args = { "--token-ms=10" } };

  passed = false;
  cluster = cluster_create (&options);
  ck_assert_ptr_nonnull (cluster);
}

/* The upstream that runs something now, or NULL.  */
static cluster_upstream_t *
busy_upstream (void)
{
  for (size_t i = 0; i < cluster->upstream_count; i++)
    if (cluster_read_stat (cluster, cluster->upstreams[i].port, "running") > 0)
      return &cluster->upstreams[i];
  return NULL;
}

/* A caller reads a long stream; the engine that makes it is killed halfway.
   The caller must see one whole stream, with the same text as one from an
   undisturbed engine, gone on with by the other engine.  */
START_TEST (stream_goes_on_elsewhere)
{
  static const char body[]
      = "{\"model\":\"draft-small@3\",\"stream\":true,\"max_tokens\":120,"
        "\"messages\":[{\"role\":\"user\",\"content\":\"a long roof\"}]}";
  parsed_answer_t ours = { 0 };
  parsed_answer_t own = { 0 };

  rawhttp_t http
      = rawhttp_start (cluster->host, cluster->entries[0].port, "POST", CHAT,
                       AUTH JSON_TYPE, str_from (body));
  ck_assert (rawhttp_read_body (&http, 3000, WAIT_MS));
  cluster_upstream_t *engine = busy_upstream ();
  ck_assert_ptr_nonnull (engine);
  proc_kill (engine->proc);
  bool whole = rawhttp_read_all (&http, WAIT_MS);
  size_t tail = http.body.len < 400 ? http.body.len : 400;
  ck_assert_msg (whole, "stream was cut: %.*s", (int)tail,
                 http.body.ptr + http.body.len - tail);
  cluster_upstream_t *other = engine == &cluster->upstreams[0]
                                  ? &cluster->upstreams[1]
                                  : &cluster->upstreams[0];
  rawhttp_t straight = rawhttp_call (cluster->host, other->port, "POST", CHAT,
                                     JSON_TYPE, str_from (body), WAIT_MS);
  ck_assert (answer_parse_stream (buf_str (&http.body), &ours));
  ck_assert (answer_parse_stream (buf_str (&straight.body), &own));
  ck_assert (!ours.error);
  ck_assert_uint_eq (own.tokens, STREAM_TOKENS);
  ck_assert_msg (str_eq (buf_str (&ours.text), buf_str (&own.text)),
                 "ours: %.*s", STR_ARG (buf_str (&ours.text)));
  rawhttp_close (&http);
  rawhttp_close (&straight);
  parsed_answer_free (&ours);
  parsed_answer_free (&own);
  passed = true;
}
END_TEST

static void
setup_rollout (void)
{
  const cluster_options_t options
      = { .entries = 3, .small_engines = 2, .one_zone = true };

  passed = false;
  cluster = cluster_create (&options);
  ck_assert_ptr_nonnull (cluster);
}

/* State of the one roll-out as entry INDEX tells it, and requests shown.  */
static void
read_rollout (size_t index, char *state, size_t size, json_int_t *shown)
{
  json_t *status = rawhttp_json (cluster->host, cluster->entries[index].admin,
                                 "/admin/status", NULL);
  const json_t *rollout
      = json_array_get (json_object_get (status, "rollouts"), 0);
  const char *said = json_string_value (json_object_get (rollout, "state"));

  snprintf (state, size, "%s", said != NULL ? said : "");
  *shown = json_integer_value (json_object_get (rollout, "shown"));
  json_decref (status);
}

/* Send some chats through every entry that runs.  */
static void
send_some (int round)
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

/* Index of the entry that steps the roll-outs, by its log; -1: none.  */
static int
leading_entry (void)
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

/* A bad version is being rolled out when the entry that steps the roll-out is
   killed.  Another entry must take over with all that was learned, halt the
   roll-out, and every entry must stop showing the version.  */
START_TEST (rollout_outlives_its_entry)
{
  char state[32] = "";
  json_int_t shown = 0;
  uint64_t end_ms = harness_now_ms () + HALT_MS;
  int round = 0;
  bool killed = false;
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
      send_some (round++);
      size_t asked = proc_is_running (cluster->entries[0].proc) ? 0 : 1;
      read_rollout (asked, state, sizeof state, &shown);
      int leader = leading_entry ();
      if (!killed && shown >= 2 && leader >= 0)
        {
          proc_kill (cluster->entries[leader].proc);
          killed = true;
        }
    }
  ck_assert (killed);
  ck_assert_msg (strcmp (state, "halted") == 0, "state %s shown %d", state,
                 (int)shown);
  /* Every entry that runs knows it and shows the version no more.  */
  for (size_t i = 0; i < cluster->entry_count; i++)
    {
      if (!proc_is_running (cluster->entries[i].proc))
        continue;
      do
        {
          read_rollout (i, state, sizeof state, &shown);
          harness_sleep_ms (STEP_MS);
        }
      while (strcmp (state, "halted") != 0 && harness_now_ms () < end_ms);
      ck_assert_str_eq (state, "halted");
    }
  passed = true;
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
  tcase_add_test (resume, stream_goes_on_elsewhere);
  suite_add_tcase (suite, resume);
  tcase_add_checked_fixture (rollout, setup_rollout, teardown);
  tcase_add_test (rollout, rollout_outlives_its_entry);
  suite_add_tcase (suite, rollout);
  return suite_run (suite);
}
