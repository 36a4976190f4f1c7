/* The twelve promises of what must always hold, each shown with real
   processes while the faults are at work that would break it.
   docs/PROMISES.md names mechanism and measured bound of each.  */

#include "cluster.h"
#include "runner.h"
#include "standins/answer.h"
#include "suite.h"

#include "base/mem.h"

#include <check.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#define CHAT "/v1/chat/completions"
#define ASK(model, more)                                                      \
  "{\"model\":\"" model "\"," more                                            \
  "\"messages\":[{\"role\":\"user\",\"content\":\"a roof\"}]}"

enum
{
  WAIT_MS = 15000,
  /* "After a few seconds".  */
  FEW_SECONDS_MS = 3000,
  SETTLE_MS = 1500,
  /* A sidecar that holds the bills of a dead entry waits 20 s for a sign of
     it before it gives them to another.  */
  BILL_WAIT_MS = 45000
};

static cluster_t *cluster;
static runner_t *runner;
static bool passed;
static str_t targets[CLUSTER_ENTRIES_MAX];
static str_t health[CLUSTER_ENTRIES_MAX];
static char address_text[2 * CLUSTER_ENTRIES_MAX][40];

static void
setup (void)
{
  cluster = NULL;
  runner = NULL;
  passed = false;
}

static void
teardown (void)
{
  if (runner != NULL && !passed)
    {
      runner_stop (runner);
      runner_complain (runner, 8);
    }
  runner_destroy (runner);
  runner = NULL;
  cluster_destroy (cluster, !passed);
  cluster = NULL;
}

static void
start_cluster (const cluster_options_t *options)
{
  cluster = cluster_create (options);
  ck_assert_ptr_nonnull (cluster);
  for (size_t i = 0; i < cluster->entry_count; i++)
    {
      char *text = address_text[2 * i];
      snprintf (text, sizeof address_text[0], "%s:%u", cluster->host,
                cluster->entries[i].port);
      targets[i] = str_from (text);
      text = address_text[2 * i + 1];
      snprintf (text, sizeof address_text[0], "%s:%u", cluster->host,
                cluster->entries[i].admin);
      health[i] = str_from (text);
    }
}

/* Chat load on all entries; the test changes what it needs.  */
static loadgen_options_t
chat_load (void)
{
  return (loadgen_options_t){ .targets = targets,
                              .target_count = cluster->entry_count,
                              .health = health,
                              .concurrency = 8,
                              .duration_ms = 60000,
                              .seed = 1,
                              .stream_share = 0.5,
                              .api_key = STR (CLUSTER_API_KEY),
                              .model = STR ("draft-small"),
                              .max_tokens = 10,
                              .prompt_bytes = 40,
                              .timeout_ms = WAIT_MS };
}

static loadgen_options_t
service_load (void)
{
  loadgen_options_t options = chat_load ();

  options.service_share = 1;
  options.service = STR (CLUSTER_SERVICE);
  options.key_prefix = STR ("pay");
  options.resends = 3;
  options.timeout_ms = 5000;
  return options;
}

static cluster_upstream_t *
upstream (const char *name)
{
  for (size_t i = 0; i < cluster->upstream_count; i++)
    if (strcmp (cluster->upstreams[i].name, name) == 0)
      return &cluster->upstreams[i];
  ck_abort_msg ("no upstream %s", name);
}

static json_int_t
version_runs (const char *version)
{
  json_int_t sum = 0;

  for (size_t i = 0; i < cluster->upstream_count; i++)
    {
      json_t *root = rawhttp_json (cluster->host, cluster->upstreams[i].port,
                                   "/stats", NULL);
      sum += json_integer_value (
          json_object_get (json_object_get (root, "versions"), version));
      json_decref (root);
    }
  return sum;
}

/* Runs so far at the upstreams of ZONE; NULL: of all.  */
static json_int_t
zone_runs (const char *zone)
{
  json_int_t sum = 0;

  for (size_t i = 0; i < cluster->upstream_count; i++)
    if (zone == NULL || strcmp (cluster->upstreams[i].zone, zone) == 0)
      sum += cluster_read_stat (cluster, cluster->upstreams[i].port, "total");
  return sum;
}

/* Runs of request id ID at all plain services.  */
static json_int_t
runs_of (str_t id)
{
  char *name = str_dup (id);
  json_int_t sum = 0;

  for (size_t i = 0; i < cluster->upstream_count; i++)
    if (cluster->upstreams[i].is_service)
      sum += cluster_runs (cluster, cluster->upstreams[i].port, name);
  free (name);
  return sum;
}

/* Check that HTTP is refused with STATUS and error CODE as not-run.  */
static void
check_refused (const rawhttp_t *http, int status, int code)
{
  json_t *root = http->body.len > 0
                     ? json_loadb (http->body.ptr, http->body.len, 0, NULL)
                     : NULL;
  const json_t *error = json_object_get (root, "error");

  ck_assert_msg (http->status == status
                     && json_integer_value (json_object_get (error, "code"))
                            == code,
                 "%d, not %d with code %d: %.*s", http->status, status, code,
                 STR_ARG (buf_str (&http->body)));
  ck_assert_str_eq (json_string_value (json_object_get (error, "outcome")),
                    "not-run");
  json_decref (root);
}

static void
check_chat_refused (size_t entry, const char *body, int status, int code)
{
  rawhttp_t http = cluster_chat (cluster, entry, NULL, body, WAIT_MS);

  check_refused (&http, status, code);
  rawhttp_close (&http);
}

/* Let the load go on for MS and see that it does.  */
static void
load_for (uint64_t ms)
{
  size_t before = runner_finished (runner);

  harness_sleep_ms (ms);
  WAIT_FOR (runner_finished (runner) > before, WAIT_MS);
}

/* Stop the load and check that every answer was whole and right.  */
static void
check_all_whole (void)
{
  runner_stop (runner);
  tally_t tally = runner_tally (runner);
  ck_assert_uint_gt (tally.finished, 0);
  ck_assert_uint_eq (tally.wrong, 0);
  ck_assert_msg (tally.whole == tally.finished, "%zu of %zu whole",
                 tally.whole, tally.finished);
}

/* A caller whose plan has only draft-small@3 asks for other versions by
   name, and by task while its own version is slow.  Nothing else may ever
   run for it; and what the plan loses under traffic is lost for good.  */
START_TEST (promise_01_only_permitted_models_and_versions)
{
  const cluster_options_t options
      = { .entries = 2, .small_engines = 2, .large_engines = 1 };

  start_cluster (&options);
  json_int_t before = zone_runs (NULL);
  static const char *const refused[]
      = { ASK ("draft-large@7", ""), ASK ("draft-large", ""),
          ASK ("draft-small@4", "") };
  for (size_t i = 0; i < 3; i++)
    {
      rawhttp_t http = rawhttp_call (
          cluster->host, cluster->entries[i % 2].port, "POST", CHAT,
          "authorization: Bearer " CLUSTER_OTHER_API_KEY "\r\n",
          str_from (refused[i]), WAIT_MS);
      check_refused (&http, 403, VH_E_NOT_ALLOWED);
      rawhttp_close (&http);
    }
  ck_assert_int_eq (zone_runs (NULL), before);
  loadgen_options_t load = chat_load ();
  load.api_key = STR (CLUSTER_OTHER_API_KEY);
  load.model = STR ("draft");
  load.requests = 200;
  json_int_t large = version_runs ("draft-large@7");
  json_int_t small = version_runs ("draft-small@4");
  runner = runner_start (&load);
  WAIT_FOR (runner_finished (runner) == 200, WAIT_MS);
  check_all_whole ();
  ck_assert_int_eq (version_runs ("draft-large@7"), large);
  ck_assert_int_eq (version_runs ("draft-small@4"), small);
  ck_assert (cluster_set_configuration_key (cluster, "plan grants", "allow",
                                            "draft-small@*"));
  WAIT_FOR (cluster_has_revision (cluster, cluster->revision), FEW_SECONDS_MS);
  for (size_t i = 0; i < 2; i++)
    check_chat_refused (i, ASK ("draft-large@7", ""), 403, VH_E_NOT_ALLOWED);
  ck_assert_int_eq (version_runs ("draft-large@7"), large);
  passed = true;
}
END_TEST

/* One entry is paused while operators withdraw a version under load.  On
   waking it still believes the old revision and sends on: the sidecar, the
   last gate, must refuse what is withdrawn.  */
START_TEST (promise_02_withdrawn_version_gets_no_new_work)
{
  const cluster_options_t options = { .entries = 2, .small_engines = 2 };
  static const char body[] = ASK ("draft-small@3", "");

  start_cluster (&options);
  loadgen_options_t load = chat_load ();
  load.target_count = 1;
  runner = runner_start (&load);
  load_for (300);
  proc_signal (cluster->entries[1].proc, SIGSTOP);
  rawhttp_t late = rawhttp_start (
      cluster->host, cluster->entries[1].port, "POST", CHAT,
      "authorization: Bearer " CLUSTER_API_KEY "\r\n", str_from (body));
  ck_assert (cluster_set_configuration_key (cluster, "version draft-small@3",
                                            "state", "withdrawn"));
  harness_sleep_ms (FEW_SECONDS_MS);
  json_int_t before = version_runs ("draft-small@3");
  check_chat_refused (0, body, 409, VH_E_WITHDRAWN);
  load_for (SETTLE_MS);
  proc_signal (cluster->entries[1].proc, SIGCONT);
  ck_assert (rawhttp_read_all (&late, WAIT_MS));
  check_refused (&late, 409, VH_E_WITHDRAWN);
  rawhttp_close (&late);
  check_all_whole ();
  ck_assert_int_eq (version_runs ("draft-small@3"), before);
  passed = true;
}
END_TEST

/* One call that echoes TOKEN (may be empty) through ENTRY; returns the
   version that answered and puts the new token in TOKEN.  */
static char *
session_call (size_t entry, buf_t *token)
{
  buf_t header = BUF_NULL;
  parsed_answer_t reading = { 0 };

  if (token->len > 0)
    buf_printf (&header, "vanillahook-session: %.*s\r\n",
                STR_ARG (buf_str (token)));
  buf_append_char (&header, '\0');
  rawhttp_t http = cluster_chat (cluster, entry, header.ptr,
                                 ASK ("draft-small", ""), WAIT_MS);
  ck_assert_msg (http.status == 200, "%d: %.*s", http.status,
                 STR_ARG (buf_str (&http.body)));
  ck_assert (answer_parse_json (buf_str (&http.body), &reading));
  str_t next = rawhttp_header (&http, "vanillahook-session");
  ck_assert_uint_gt (next.len, 0);
  token->len = 0;
  buf_append_str (token, next);
  char *version = str_dup (buf_str (&reading.version));
  parsed_answer_free (&reading);
  rawhttp_close (&http);
  buf_free (&header);
  return version;
}

/* A caller's session goes on through all entries, past a sidecar's restart
   and while another version of its model is rolled out.  Only when its
   version is withdrawn may it move: once, and it is told.  */
START_TEST (promise_03_session_keeps_its_version)
{
  const cluster_options_t options = { .entries = 3, .small_engines = 3 };
  buf_t token = BUF_NULL;
  char section[64];

  start_cluster (&options);
  char *first = session_call (0, &token);
  for (size_t i = 0; i < 30; i++)
    {
      if (i == 10)
        {
          proc_signal (upstream ("small-1")->sidecar, SIGTERM);
          ck_assert_int_eq (proc_wait (upstream ("small-1")->sidecar, WAIT_MS),
                            0);
          proc_restart (upstream ("small-1")->sidecar);
        }
      if (i == 20)
        ck_assert (cluster_set_configuration_key (
            cluster, "rollout draft-small@4", "over", "draft-small@3"));
      char *version = session_call (i % 3, &token);
      ck_assert_str_eq (version, first);
      free (version);
    }
  snprintf (section, sizeof section, "version %s", first);
  if (strcmp (first, "draft-small@4") == 0)
    ck_assert (cluster_set_configuration_key (cluster, "rollout draft-small@4",
                                              "state", "aborted"));
  ck_assert (
      cluster_set_configuration_key (cluster, section, "state", "withdrawn"));
  WAIT_FOR (cluster_has_revision (cluster, cluster->revision), FEW_SECONDS_MS);
  char *moved = session_call (0, &token);
  ck_assert_str_ne (moved, first);
  for (size_t i = 0; i < 6; i++)
    {
      char *version = session_call (i % 3, &token);
      ck_assert_str_eq (version, moved);
      free (version);
    }
  free (first);
  free (moved);
  buf_free (&token);
  passed = true;
}
END_TEST

typedef struct
{
  json_int_t requests;
  json_int_t tokens;
} bill_t;

/* The whole bill of today as ENTRY tells it.  */
static bill_t
read_bill (size_t entry)
{
  bill_t bill = { 0, 0 };
  size_t index;
  json_t *row;
  json_t *root = rawhttp_json (cluster->host, cluster->entries[entry].admin,
                               "/admin/report/bill", NULL);

  json_array_foreach (root, index, row)
  {
    bill.requests += json_integer_value (json_object_get (row, "requests"));
    bill.tokens += json_integer_value (json_object_get (row, "tokens"));
  }
  json_decref (root);
  return bill;
}

/* Tell whether every entry's bill has REQUESTS more than BEFORE.  */
static bool
bills_are (json_int_t requests)
{
  for (size_t i = 0; i < cluster->entry_count; i++)
    if (proc_is_running (cluster->entries[i].proc)
        && read_bill (i).requests != requests)
      return false;
  return true;
}

/* Answers go out while the store loses a third of its replies, an entry is
   stopped and another one killed, and callers send again what they lost.
   Each answered request must stand once in the bill, and nothing else.  */
START_TEST (promise_04_each_request_billed_once)
{
  const cluster_options_t options
      = { .entries = 3, .small_engines = 2, .services = 1, .proxies = true };

  start_cluster (&options);
  WAIT_FOR (read_bill (0).requests > 0, WAIT_MS);
  /* Reading at an entry makes it write what it holds: with all of them read,
     the requests that showed the fleet ready are in the bill.  */
  for (size_t i = 0; i < cluster->entry_count; i++)
    read_bill (i);
  harness_sleep_ms (SETTLE_MS);
  bill_t before = read_bill (0);
  ck_assert (cluster_post_json (cluster, cluster->platform_port, "/faults",
                                "{\"lost_reply_share\":0.3}"));
  loadgen_options_t load = chat_load ();
  load.service_share = 0.3;
  load.service = STR (CLUSTER_SERVICE);
  load.key_prefix = STR ("bill");
  load.resends = 3;
  runner = runner_start (&load);
  load_for (1000);
  proc_signal (cluster->entries[1].proc, SIGTERM);
  ck_assert_int_eq (proc_wait (cluster->entries[1].proc, WAIT_MS), 0);
  load_for (500);
  proc_kill (cluster->entries[2].proc);
  load_for (500);
  ck_assert (cluster_post_json (cluster, cluster->platform_port, "/faults",
                                "{\"lost_reply_share\":0}"));
  proc_restart (cluster->entries[2].proc);
  load_for (1000);
  runner_stop (runner);
  tally_t tally = runner_tally (runner);
  ck_assert_uint_eq (tally.wrong, 0);
  bool held;
  json_int_t want = before.requests + (json_int_t)tally.whole;
  uint64_t began = harness_now_ms ();
  WAIT_UNTIL (bills_are (want), BILL_WAIT_MS, &held);
  printf ("billed in full after %" PRIu64 " ms\n", harness_now_ms () - began);
  ck_assert_msg (held, "billed %d, answered whole %zu of %zu",
                 (int)(read_bill (0).requests - before.requests), tally.whole,
                 tally.finished);
  harness_sleep_ms (SETTLE_MS);
  ck_assert (bills_are (want));
  passed = true;
}
END_TEST

/* An engine is killed under full load and comes back cold: it carries a
   quarter and refuses or slows down above that.  The sidecar must begin
   small, also when the engine falls back into the cold without a restart. */
START_TEST (promise_05_new_upstream_gets_what_it_can_carry)
{
  const cluster_options_t options
      = { .entries = 2,
          .small_engines = 2,
          .engine_args = { "--slots=16", "--token-ms=4", "--cold-ms=4000" } };

  start_cluster (&options);
  cluster_upstream_t *engine = upstream ("small-1");
  loadgen_options_t load = chat_load ();
  load.concurrency = 48;
  runner = runner_start (&load);
  harness_sleep_ms (5000);
  proc_kill (engine->proc);
  load_for (500);
  proc_restart (engine->proc);
  ck_assert_uint_eq (proc_wait_port (engine->proc, "listening", WAIT_MS),
                     engine->port);
  for (int i = 0; i < 35; i++)
    {
      harness_sleep_ms (100);
      ck_assert_int_eq (cluster_read_stat (cluster, engine->port, "refused"),
                        0);
      /* A cold engine falls over above a quarter of twice 16.  */
      ck_assert_int_le (
          cluster_read_stat (cluster, engine->port, "max_running"), 8);
    }
  WAIT_FOR (cluster_read_stat (cluster, engine->port, "total") > 20, WAIT_MS);
  runner_stop (runner);
  ck_assert_uint_eq (runner_tally (runner).wrong, 0);
  passed = true;
}
END_TEST

/* Operators take a zone out under load and bring it back.  Its upstreams
   must see nothing new after a few seconds, callers no failure, and the zone
   gets work again on its return.  */
START_TEST (promise_06_zone_out_gets_no_new_work)
{
  const cluster_options_t options = { .entries = 3, .small_engines = 6 };
  static const char zone[] = "nairobi-b";

  start_cluster (&options);
  loadgen_options_t load = chat_load ();
  runner = runner_start (&load);
  load_for (500);
  ck_assert_int_gt (zone_runs (zone), 0);
  ck_assert (cluster_set_configuration_key (
      cluster, "availability-zone nairobi-b", "state", "out"));
  harness_sleep_ms (FEW_SECONDS_MS);
  json_int_t before = zone_runs (zone);
  load_for (SETTLE_MS);
  ck_assert_int_eq (zone_runs (zone), before);
  ck_assert (cluster_set_configuration_key (
      cluster, "availability-zone nairobi-b", "state", "in"));
  WAIT_FOR (zone_runs (zone) > before, WAIT_MS);
  check_all_whole ();
  passed = true;
}
END_TEST

typedef struct
{
  const char *name;
  const char *body;
  bool lasting; /* Is taken back after a while.  */
} fault_t;

static const fault_t link_faults[] = {
  { "silence of both directions", "{\"silence\":\"both\"}", false },
  { "silence towards the sidecar", "{\"silence\":\"up\"}", false },
  { "silence towards the entry", "{\"silence\":\"down\"}", false },
  { "reset", "{\"reset\":true}", false },
  { "cut halfway", "{\"cut_after\":2000}", true },
  { "delay", "{\"delay_ms\":150}", true },
};

enum
{
  LINK_FAULTS = sizeof link_faults / sizeof link_faults[0],
  /* Aim: under 2 s to leave a silent connection; the longest gap in an
     answer is that and a token.  */
  SILENCE_BOUND_US = 2500000
};

/* A middle box forgets the connections between entries and sidecars in the
   middle of streams, in one direction or both, or resets, cuts or delays
   them.  Callers must get every byte of their own answers, the streams going
   on over new connections within a bound.  */
START_TEST (promise_07_whole_answers_to_their_own_callers)
{
  const fault_t *fault = &link_faults[_i];
  const cluster_options_t options = { .entries = 2,
                                      .small_engines = 3,
                                      .proxies = true,
                                      .engine_args = { "--token-ms=20" } };

  start_cluster (&options);
  loadgen_options_t load = chat_load ();
  load.max_tokens = 50;
  runner = runner_start (&load);
  for (int round = 0; round < 2; round++)
    {
      load_for (800);
      for (size_t i = 0; i < cluster->upstream_count; i++)
        ck_assert (cluster_post_json (cluster,
                                      cluster->upstreams[i].proxy_control,
                                      "/fault", fault->body));
      harness_sleep_ms (1000);
      if (fault->lasting)
        for (size_t i = 0; i < cluster->upstream_count; i++)
          ck_assert (cluster_post_json (
              cluster, cluster->upstreams[i].proxy_control, "/fault",
              "{\"cut_after\":0,\"delay_ms\":0}"));
    }
  load_for (2500);
  check_all_whole ();
  ck_assert_msg (runner_tally (runner).longest_wait_us < SILENCE_BOUND_US,
                 "%s: a wait of %" PRIu64 " us", fault->name,
                 runner_tally (runner).longest_wait_us);
  passed = true;
}
END_TEST

/* Check what callers of the plain service were told against its counts.  */
static void
check_service_truth (bool is_answer_needed)
{
  const record_t *record;

  for (size_t i = 0; (record = runner_at (runner, i)) != NULL; i++)
    {
      const loadgen_result_t *result = &record->result;
      json_int_t runs = runs_of (result->key);
      ck_assert_msg (runs <= 1, "%.*s ran %d times", STR_ARG (result->key),
                     (int)runs);
      if (result->whole)
        ck_assert_msg (runs == 1, "%.*s answered, runs %d",
                       STR_ARG (result->key), (int)runs);
      else if (str_eq (result->outcome, STR ("not-run")))
        ck_assert_msg (runs == 0, "%.*s not-run, runs %d",
                       STR_ARG (result->key), (int)runs);
      else
        ck_assert_msg (!is_answer_needed, "%.*s neither answered nor refused",
                       STR_ARG (result->key));
      ck_assert (!result->wrong);
    }
}

static const fault_t refusal_faults[] = {
  { "connections refused", "{\"refuse\":true}", true },
  { "silence, also of new ones", "{\"silence\":\"both\",\"also_new\":true}",
    true },
  { "replies lost", "{\"silence\":\"down\",\"also_new\":true}", true },
  { "reset", "{\"reset\":true}", false },
  { "cut halfway", "{\"cut_after\":300}", true },
};

enum
{
  REFUSAL_FAULTS = sizeof refusal_faults / sizeof refusal_faults[0]
};

/* Calls that may not be repeated meet a sidecar that cannot be reached, or
   whose replies are lost.  Each "not run" that a caller reads is held
   against the runs that the service counted.  */
START_TEST (promise_08_not_run_is_true)
{
  const cluster_options_t options = { .entries = 2,
                                      .services = 2,
                                      .proxies = true,
                                      .service_arg = "--delay-ms=30" };

  start_cluster (&options);
  loadgen_options_t load = service_load ();
  load.deadline_ms = 2500;
  load.resends = 0;
  runner = runner_start (&load);
  load_for (400);
  for (size_t i = 0; i < cluster->upstream_count; i++)
    ck_assert (cluster_post_json (cluster, cluster->upstreams[i].proxy_control,
                                  "/fault", refusal_faults[_i].body));
  harness_sleep_ms (3000);
  for (size_t i = 0; i < cluster->upstream_count; i++)
    ck_assert (cluster_post_json (
        cluster, cluster->upstreams[i].proxy_control, "/fault",
        "{\"refuse\":false,\"silence\":\"none\",\"cut_after\":0}"));
  harness_sleep_ms (1500);
  runner_stop (runner);
  /* What was under way when callers gave up has its time to run.  */
  harness_sleep_ms (SETTLE_MS);
  check_service_truth (false);
  ck_assert_uint_eq (runner_tally (runner).untold, 0);
  ck_assert_uint_gt (runner_tally (runner).whole, 0);
  passed = true;
}
END_TEST

typedef enum
{
  KILL_ENTRY,
  KILL_SIDECAR,
  PAUSE_ENTRY,
  SERVICE_CUTS,
  SERVICE_DIES,
  STORE_LOSES_REPLIES,
  ONCE_FAULTS
} once_fault_t;

static void
break_once (once_fault_t fault)
{
  cluster_upstream_t *desk = &cluster->upstreams[0];

  switch (fault)
    {
    case KILL_ENTRY:
      proc_kill (cluster->entries[0].proc);
      harness_sleep_ms (500);
      proc_restart (cluster->entries[0].proc);
      break;
    case KILL_SIDECAR:
      proc_kill (desk->sidecar);
      harness_sleep_ms (500);
      proc_restart (desk->sidecar);
      break;
    case PAUSE_ENTRY:
      proc_signal (cluster->entries[0].proc, SIGSTOP);
      harness_sleep_ms (4000);
      proc_signal (cluster->entries[0].proc, SIGCONT);
      break;
    case SERVICE_CUTS:
      cluster_post_json (cluster, desk->port, "/control", "{\"die\":\"cut\"}");
      harness_sleep_ms (500);
      cluster_post_json (cluster, desk->port, "/control", "{\"die\":\"no\"}");
      break;
    case SERVICE_DIES:
      cluster_post_json (cluster, desk->port, "/control",
                         "{\"die\":\"exit\"}");
      proc_wait (desk->proc, WAIT_MS);
      harness_sleep_ms (300);
      proc_restart (desk->proc);
      break;
    case STORE_LOSES_REPLIES:
      cluster_post_json (cluster, cluster->platform_port, "/faults",
                         "{\"lost_reply_share\":0.5}");
      harness_sleep_ms (2000);
      cluster_post_json (cluster, cluster->platform_port, "/faults",
                         "{\"lost_reply_share\":0}");
      break;
    case ONCE_FAULTS:
      break;
    }
}

/* An approval is under way when its entry or sidecar is killed or paused,
   the service answers by half or dies after the run, or the store loses the
   reply to the claim.  The officer sends again under the same key, to
   another entry.  The service must count one run at the most, and who was
   answered must have had exactly one.  */
START_TEST (promise_09_non_idempotent_runs_at_most_once)
{
  const cluster_options_t options = { .entries = 3,
                                      .services = 2,
                                      .proxies = true,
                                      .service_arg = "--delay-ms=20" };

  start_cluster (&options);
  loadgen_options_t load = service_load ();
  runner = runner_start (&load);
  for (int round = 0; round < 2; round++)
    {
      load_for (500);
      break_once ((once_fault_t)_i);
    }
  load_for (2000);
  runner_stop (runner);
  harness_sleep_ms (SETTLE_MS);
  check_service_truth (false);
  tally_t tally = runner_tally (runner);
  ck_assert_uint_eq (tally.untold, 0);
  ck_assert_uint_gt (tally.whole, tally.finished / 2);
  passed = true;
}
END_TEST

/* An upstream is to leave: the platform's list says so while its sidecar
   still serves, or its sidecar is stopped.  Entries must send it nothing new
   after a few seconds, and callers must see no failure.  */
START_TEST (promise_10_departing_upstream_gets_no_new_work)
{
  const cluster_options_t options = { .entries = 3, .small_engines = 3 };
  cluster_upstream_t *engine;

  start_cluster (&options);
  engine = upstream ("small-2");
  loadgen_options_t load = chat_load ();
  runner = runner_start (&load);
  load_for (500);
  if (_i == 0)
    cluster_set_upstream_state (cluster, engine, "leaving");
  else
    proc_signal (engine->sidecar, SIGTERM);
  harness_sleep_ms (FEW_SECONDS_MS);
  json_int_t before = cluster_read_stat (cluster, engine->port, "total");
  load_for (SETTLE_MS);
  ck_assert_int_eq (cluster_read_stat (cluster, engine->port, "total"),
                    before);
  check_all_whole ();
  passed = true;
}
END_TEST

/* Entries and sidecars are stopped one after the other under load, as at a
   rolling restart.  Every stream in hand must end whole, and the stopped
   process with status 0.  Callers' connections move to the other entries.  */
START_TEST (promise_11_planned_stop_cuts_nothing)
{
  const cluster_options_t options = { .entries = 3,
                                      .small_engines = 3,
                                      .services = 2,
                                      .drain_grace_ms = 500,
                                      .engine_args = { "--token-ms=20" } };

  start_cluster (&options);
  loadgen_options_t load = chat_load ();
  load.max_tokens = 50;
  load.service_share = 0.3;
  load.service = STR (CLUSTER_SERVICE);
  load.key_prefix = STR ("stop");
  runner = runner_start (&load);
  load_for (500);
  for (size_t i = 0; i < cluster->entry_count; i++)
    {
      proc_signal (cluster->entries[i].proc, SIGTERM);
      ck_assert_int_eq (proc_wait (cluster->entries[i].proc, WAIT_MS), 0);
      proc_restart (cluster->entries[i].proc);
      WAIT_FOR (cluster_ready (cluster, cluster->entries[i].admin), WAIT_MS);
      load_for (500);
    }
  for (size_t i = 0; i < cluster->upstream_count; i++)
    {
      proc_t *sidecar = cluster->upstreams[i].sidecar;
      proc_signal (sidecar, SIGTERM);
      ck_assert_int_eq (proc_wait (sidecar, WAIT_MS), 0);
      proc_restart (sidecar);
      WAIT_FOR (cluster_ready (cluster, cluster->upstreams[i].admin), WAIT_MS);
      load_for (500);
    }
  check_all_whole ();
  passed = true;
}
END_TEST

enum
{
  WATCHED_MAX = CLUSTER_ENTRIES_MAX + CLUSTER_UPSTREAMS_MAX
};

/* Check that no process shows an older revision than it did before.  */
static void
watch_revisions (uint64_t seen[WATCHED_MAX], uint64_t for_ms)
{
  uint64_t end = harness_now_ms () + for_ms;

  do
    for (size_t i = 0; i < cluster->entry_count + cluster->upstream_count; i++)
      {
        bool is_entry = i < cluster->entry_count;
        const cluster_upstream_t *up
            = &cluster->upstreams[is_entry ? 0 : i - cluster->entry_count];
        proc_t *proc = is_entry ? cluster->entries[i].proc : up->sidecar;
        uint16_t admin = is_entry ? cluster->entries[i].admin : up->admin;
        if (!proc_is_running (proc))
          continue;
        uint64_t now = cluster_read_revision (cluster, admin);
        /* 0: it has only just started and has none in force yet.  */
        ck_assert_msg (now >= seen[i] || now == 0,
                       "%s went from %" PRIu64 " to %" PRIu64,
                       proc_name (proc), seen[i], now);
        if (now > 0)
          seen[i] = now;
      }
  while (harness_now_ms () < end);
}

/* Operators race each other; then the store goes away, and processes start
   while it is down.  An accepted change must be in force everywhere within
   seconds, the one that lost must know what beat it, and no process may ever
   show an older revision, whatever it learns it from.  */
START_TEST (promise_12_configuration_in_force_and_never_reverts)
{
  const cluster_options_t options
      = { .entries = 3, .small_engines = 2, .services = 1, .proxies = true };
  uint64_t seen[WATCHED_MAX] = { 0 };
  uint64_t beaten = 0;

  start_cluster (&options);
  uint64_t old = cluster->revision;
  ck_assert (cluster_set_configuration_key (cluster, "version draft-small@4",
                                            "state", "withdrawn"));
  uint64_t began = harness_now_ms ();
  ck_assert_uint_gt (cluster->revision, old);
  WAIT_FOR (cluster_has_revision (cluster, cluster->revision), FEW_SECONDS_MS);
  printf ("in force everywhere after %" PRIu64 " ms\n",
          harness_now_ms () - began);
  ck_assert_int_eq (
      cluster_apply (cluster, 1, cluster->lists.ptr, old, &beaten), 409);
  watch_revisions (seen, 200);
  ck_assert (cluster_post_json (cluster, cluster->platform_port, "/faults",
                                "{\"outage\":\"silent\"}"));
  proc_kill (cluster->entries[2].proc);
  proc_kill (upstream ("small-1")->sidecar);
  proc_restart (cluster->entries[2].proc);
  proc_restart (upstream ("small-1")->sidecar);
  ck_assert_int_eq (cluster_apply (cluster, 0, cluster->lists.ptr,
                                   cluster->revision, &beaten),
                    503);
  watch_revisions (seen, 2000);
  /* Started during the outage, they learn it from their peers.  */
  WAIT_FOR (cluster_has_revision (cluster, cluster->revision), WAIT_MS);
  check_chat_refused (2, ASK ("draft-small@4", ""), 409, VH_E_WITHDRAWN);
  ck_assert (cluster_post_json (cluster, cluster->platform_port, "/faults",
                                "{\"outage\":\"none\"}"));
  bool held;
  WAIT_UNTIL (cluster_set_configuration_key (cluster, "version draft-small@4",
                                             "state", "serving"),
              WAIT_MS, &held);
  ck_assert (held);
  WAIT_FOR (cluster_has_revision (cluster, cluster->revision), FEW_SECONDS_MS);
  watch_revisions (seen, 500);
  passed = true;
}
END_TEST

typedef struct
{
  const char *name;
  const TTest *test;
  int cases;
} promise_t;

int
main (void)
{
  /* A case of its own for each, so that they can be run side by side.  */
  const promise_t promises[] = {
    { "promise_01", promise_01_only_permitted_models_and_versions, 1 },
    { "promise_02", promise_02_withdrawn_version_gets_no_new_work, 1 },
    { "promise_03", promise_03_session_keeps_its_version, 1 },
    { "promise_04", promise_04_each_request_billed_once, 1 },
    { "promise_05", promise_05_new_upstream_gets_what_it_can_carry, 1 },
    { "promise_06", promise_06_zone_out_gets_no_new_work, 1 },
    { "promise_07", promise_07_whole_answers_to_their_own_callers,
      LINK_FAULTS },
    { "promise_08", promise_08_not_run_is_true, REFUSAL_FAULTS },
    { "promise_09", promise_09_non_idempotent_runs_at_most_once, ONCE_FAULTS },
    { "promise_10", promise_10_departing_upstream_gets_no_new_work, 2 },
    { "promise_11", promise_11_planned_stop_cuts_nothing, 1 },
    { "promise_12", promise_12_configuration_in_force_and_never_reverts, 1 },
  };
  Suite *suite = suite_create ("promises");

  for (size_t i = 0; i < sizeof promises / sizeof promises[0]; i++)
    {
      TCase *tcase = tcase_create (promises[i].name);
      tcase_add_checked_fixture (tcase, setup, teardown);
      tcase_add_loop_test (tcase, promises[i].test, 0, promises[i].cases);
      suite_add_tcase (suite, tcase);
    }
  return suite_run (suite);
}
