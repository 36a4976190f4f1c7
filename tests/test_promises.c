/* Tests of the twelve guarantees with real processes.  Each test injects the
   faults that would violate its guarantee.  docs/PROMISES.md lists the
   mechanism and the bound of each guarantee.  */

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
#define CHAT_BODY(model, extra)                                               \
  "{\"model\":\"" model "\"," extra                                           \
  "\"messages\":[{\"role\":\"user\",\"content\":\"a roof\"}]}"

enum
{
  WAIT_MS = 15000,
  /* Time within which a configuration change must reach all processes.  */
  PROPAGATION_MS = 3000,
  SETTLE_MS = 1500,
  /* A sidecar that holds unsent bills of an entry sends them to another entry
     after 20 s without a message from the first entry.  */
  BILLING_WAIT_MS = 45000
};

static cluster_t *cluster;
static runner_t *runner;
static bool has_passed;
static str_t targets[CLUSTER_ENTRIES_MAX];
static str_t health[CLUSTER_ENTRIES_MAX];
static char address_text[2 * CLUSTER_ENTRIES_MAX][40];

static void
setup (void)
{
  cluster = NULL;
  runner = NULL;
  has_passed = false;
}

static void
teardown (void)
{
  if (runner != NULL && !has_passed)
    {
      runner_stop (runner);
      runner_print_failures (runner, 8);
    }
  runner_destroy (runner);
  runner = NULL;
  cluster_destroy (cluster, !has_passed);
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
                cluster->entries[i].admin_port);
      health[i] = str_from (text);
    }
}

/* Return the options of a chat load on all entries.  */
static loadgen_options_t
chat_load_options (void)
{
  return (loadgen_options_t){ .targets = targets,
                              .target_count = cluster->entry_count,
                              .health_addresses = health,
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
service_load_options (void)
{
  loadgen_options_t options = chat_load_options ();

  options.service_share = 1;
  options.service = STR (CLUSTER_SERVICE);
  options.key_prefix = STR ("pay");
  options.max_resends = 3;
  options.timeout_ms = 5000;
  return options;
}

static cluster_upstream_t *
find_upstream (const char *name)
{
  for (size_t i = 0; i < cluster->upstream_count; i++)
    if (strcmp (cluster->upstreams[i].name, name) == 0)
      return &cluster->upstreams[i];
  ck_abort_msg ("no upstream %s", name);
}

static json_int_t
count_version_runs (const char *version)
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

/* Return the number of requests run so far by the upstreams of ZONE, or by all
   upstreams when ZONE is NULL.  */
static json_int_t
count_zone_runs (const char *zone)
{
  json_int_t sum = 0;

  for (size_t i = 0; i < cluster->upstream_count; i++)
    if (zone == NULL || strcmp (cluster->upstreams[i].zone, zone) == 0)
      sum += cluster_read_stat (cluster, cluster->upstreams[i].port, "total");
  return sum;
}

/* Return how often the plain services ran the request with ID.  */
static json_int_t
count_runs (str_t id)
{
  char *name = str_dup (id);
  json_int_t sum = 0;

  for (size_t i = 0; i < cluster->upstream_count; i++)
    if (cluster->upstreams[i].is_service)
      sum += cluster_read_run_count (cluster, cluster->upstreams[i].port,
                                     name);
  free (name);
  return sum;
}

/* Check that HTTP has STATUS, error CODE and outcome `not-run'.  */
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
                 "status %d; expected %d with code %d: %.*s", http->status,
                 status, code, STR_ARG (buf_str (&http->body)));
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

/* Wait MS, then until a further request has finished, to check that the load
   still makes progress.  */
static void
continue_load (uint64_t ms)
{
  size_t before = runner_finished (runner);

  harness_sleep_ms (ms);
  WAIT_FOR (runner_finished (runner) > before, WAIT_MS);
}

/* Stop the load and check that every response was complete and correct.  */
static void
check_all_complete (void)
{
  runner_stop (runner);
  result_counts_t counts = runner_count_results (runner);
  ck_assert_uint_gt (counts.finished, 0);
  ck_assert_uint_eq (counts.mismatched, 0);
  ck_assert_msg (counts.complete == counts.finished,
                 "%zu of %zu responses complete", counts.complete,
                 counts.finished);
}

/* Failure: a request runs on a version that its team's plan does not permit. A
   client whose plan permits only draft-small@3 requests other versions by
   name, and then requests by task.  No other version may run a request of that
   client.  After a plan loses a model under traffic, requests for the model
   must be refused.  */
START_TEST (promise_01_only_permitted_models_and_versions)
{
  const cluster_options_t options
      = { .entries = 2, .small_engines = 2, .large_engines = 1 };

  start_cluster (&options);
  json_int_t before = count_zone_runs (NULL);
  static const char *const refused[]
      = { CHAT_BODY ("draft-large@7", ""), CHAT_BODY ("draft-large", ""),
          CHAT_BODY ("draft-small@4", "") };
  for (size_t i = 0; i < 3; i++)
    {
      rawhttp_t http = rawhttp_call (
          cluster->host, cluster->entries[i % 2].port, "POST", CHAT,
          "authorization: Bearer " CLUSTER_OTHER_API_KEY "\r\n",
          str_from (refused[i]), WAIT_MS);
      check_refused (&http, 403, VH_E_NOT_ALLOWED);
      rawhttp_close (&http);
    }
  ck_assert_int_eq (count_zone_runs (NULL), before);
  loadgen_options_t load = chat_load_options ();
  load.api_key = STR (CLUSTER_OTHER_API_KEY);
  load.model = STR ("draft");
  load.max_requests = 200;
  json_int_t large = count_version_runs ("draft-large@7");
  json_int_t small = count_version_runs ("draft-small@4");
  runner = runner_start (&load);
  WAIT_FOR (runner_finished (runner) == 200, WAIT_MS);
  check_all_complete ();
  ck_assert_int_eq (count_version_runs ("draft-large@7"), large);
  ck_assert_int_eq (count_version_runs ("draft-small@4"), small);
  ck_assert (cluster_set_configuration_key (cluster, "plan grants", "allow",
                                            "draft-small@*"));
  WAIT_FOR (cluster_has_revision (cluster, cluster->revision), PROPAGATION_MS);
  for (size_t i = 0; i < 2; i++)
    check_chat_refused (i, CHAT_BODY ("draft-large@7", ""), 403,
                        VH_E_NOT_ALLOWED);
  ck_assert_int_eq (count_version_runs ("draft-large@7"), large);
  has_passed = true;
}
END_TEST

/* Failure: a withdrawn version runs a new request.  One entry is paused while
   a version is withdrawn under load.  When resumed, the entry still has the
   old configuration revision and sends the request on, so the sidecar must
   refuse the request.  */
START_TEST (promise_02_withdrawn_version_gets_no_new_work)
{
  const cluster_options_t options = { .entries = 2, .small_engines = 2 };
  static const char body[] = CHAT_BODY ("draft-small@3", "");

  start_cluster (&options);
  loadgen_options_t load = chat_load_options ();
  load.target_count = 1;
  runner = runner_start (&load);
  continue_load (300);
  proc_signal (cluster->entries[1].proc, SIGSTOP);
  rawhttp_t delayed = rawhttp_start (
      cluster->host, cluster->entries[1].port, "POST", CHAT,
      "authorization: Bearer " CLUSTER_API_KEY "\r\n", str_from (body));
  ck_assert (cluster_set_configuration_key (cluster, "version draft-small@3",
                                            "state", "withdrawn"));
  harness_sleep_ms (PROPAGATION_MS);
  json_int_t before = count_version_runs ("draft-small@3");
  check_chat_refused (0, body, 409, VH_E_WITHDRAWN);
  continue_load (SETTLE_MS);
  proc_signal (cluster->entries[1].proc, SIGCONT);
  ck_assert (rawhttp_read_all (&delayed, WAIT_MS));
  check_refused (&delayed, 409, VH_E_WITHDRAWN);
  rawhttp_close (&delayed);
  check_all_complete ();
  ck_assert_int_eq (count_version_runs ("draft-small@3"), before);
  has_passed = true;
}
END_TEST

/* Send a chat request with session TOKEN, which may be empty, through entry
   number ENTRY.  Replace TOKEN by the session token of the response and return
   the version that responded, which the caller frees.  */
static char *
send_session_request (size_t entry, buf_t *token)
{
  buf_t header = BUF_NULL;
  parsed_answer_t reading = { 0 };

  if (token->len > 0)
    buf_printf (&header, "vanillahook-session: %.*s\r\n",
                STR_ARG (buf_str (token)));
  buf_append_char (&header, '\0');
  rawhttp_t http = cluster_chat (cluster, entry, header.ptr,
                                 CHAT_BODY ("draft-small", ""), WAIT_MS);
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

/* Failure: a session changes its model version without a reason.  A session
   uses all entries in turn, during the restart of a sidecar and the roll-out
   of another version of its model.  The session may change its version only
   once, after the version was withdrawn, and the response must name the new
   version.  */
START_TEST (promise_03_session_keeps_version)
{
  const cluster_options_t options = { .entries = 3, .small_engines = 3 };
  buf_t token = BUF_NULL;
  char section[64];

  start_cluster (&options);
  char *initial_version = send_session_request (0, &token);
  for (size_t i = 0; i < 30; i++)
    {
      if (i == 10)
        {
          proc_signal (find_upstream ("small-1")->sidecar, SIGTERM);
          ck_assert_int_eq (
              proc_wait (find_upstream ("small-1")->sidecar, WAIT_MS), 0);
          proc_restart (find_upstream ("small-1")->sidecar);
        }
      if (i == 20)
        ck_assert (cluster_set_configuration_key (
            cluster, "rollout draft-small@4", "over", "draft-small@3"));
      char *version = send_session_request (i % 3, &token);
      ck_assert_str_eq (version, initial_version);
      free (version);
    }
  snprintf (section, sizeof section, "version %s", initial_version);
  if (strcmp (initial_version, "draft-small@4") == 0)
    ck_assert (cluster_set_configuration_key (cluster, "rollout draft-small@4",
                                              "state", "aborted"));
  ck_assert (
      cluster_set_configuration_key (cluster, section, "state", "withdrawn"));
  WAIT_FOR (cluster_has_revision (cluster, cluster->revision), PROPAGATION_MS);
  char *new_version = send_session_request (0, &token);
  ck_assert_str_ne (new_version, initial_version);
  for (size_t i = 0; i < 6; i++)
    {
      char *version = send_session_request (i % 3, &token);
      ck_assert_str_eq (version, new_version);
      free (version);
    }
  free (initial_version);
  free (new_version);
  buf_free (&token);
  has_passed = true;
}
END_TEST

typedef struct
{
  json_int_t requests;
  json_int_t tokens;
} bill_t;

/* Return today's totals of all bills, as reported by entry number ENTRY.  */
static bill_t
read_bill (size_t entry)
{
  bill_t bill = { 0, 0 };
  size_t index;
  json_t *row;
  json_t *root
      = rawhttp_json (cluster->host, cluster->entries[entry].admin_port,
                      "/admin/report/bill", NULL);

  json_array_foreach (root, index, row)
  {
    bill.requests += json_integer_value (json_object_get (row, "requests"));
    bill.tokens += json_integer_value (json_object_get (row, "tokens"));
  }
  json_decref (root);
  return bill;
}

/* Return whether every running entry reports REQUESTS billed requests.  */
static bool
all_bills_have (json_int_t requests)
{
  for (size_t i = 0; i < cluster->entry_count; i++)
    if (proc_is_running (cluster->entries[i].proc)
        && read_bill (i).requests != requests)
      return false;
  return true;
}

/* Failure: a request is billed twice or not at all.  The store loses three in
   ten of its replies, one entry is stopped, another one is killed, and clients
   resend requests whose responses they lost.  The bill must have each
   completed request once and nothing else.  */
START_TEST (promise_04_each_request_billed_once)
{
  const cluster_options_t options = {
    .entries = 3, .small_engines = 2, .services = 1, .with_proxies = true
  };

  start_cluster (&options);
  WAIT_FOR (read_bill (0).requests > 0, WAIT_MS);
  /* An entry writes its pending bills when its bill is read.  Reading the bill
     at every entry adds the requests of cluster_create to the bill.  */
  for (size_t i = 0; i < cluster->entry_count; i++)
    read_bill (i);
  harness_sleep_ms (SETTLE_MS);
  bill_t before = read_bill (0);
  ck_assert (cluster_post_json (cluster, cluster->platform_port, "/faults",
                                "{\"lost_reply_share\":0.3}"));
  loadgen_options_t load = chat_load_options ();
  load.service_share = 0.3;
  load.service = STR (CLUSTER_SERVICE);
  load.key_prefix = STR ("bill");
  load.max_resends = 3;
  runner = runner_start (&load);
  continue_load (1000);
  proc_signal (cluster->entries[1].proc, SIGTERM);
  ck_assert_int_eq (proc_wait (cluster->entries[1].proc, WAIT_MS), 0);
  continue_load (500);
  proc_kill (cluster->entries[2].proc);
  continue_load (500);
  ck_assert (cluster_post_json (cluster, cluster->platform_port, "/faults",
                                "{\"lost_reply_share\":0}"));
  proc_restart (cluster->entries[2].proc);
  continue_load (1000);
  runner_stop (runner);
  result_counts_t counts = runner_count_results (runner);
  ck_assert_uint_eq (counts.mismatched, 0);
  bool is_met;
  json_int_t expected_requests = before.requests + (json_int_t)counts.complete;
  uint64_t start_ms = harness_now_ms ();
  WAIT_UNTIL (all_bills_have (expected_requests), BILLING_WAIT_MS, &is_met);
  printf ("billed in full after %" PRIu64 " ms\n",
          harness_now_ms () - start_ms);
  ck_assert_msg (is_met, "billed %d; %zu of %zu responses complete",
                 (int)(read_bill (0).requests - before.requests),
                 counts.complete, counts.finished);
  harness_sleep_ms (SETTLE_MS);
  ck_assert (all_bills_have (expected_requests));
  has_passed = true;
}
END_TEST

/* Failure: a restarted upstream is overloaded while it is cold.  An engine is
   killed under full load and returns cold, with a quarter of its capacity, and
   refuses requests or slows down beyond that quarter.  The sidecar must start
   with a low concurrency limit, also when an engine turns cold without a
   restart.  */
START_TEST (promise_05_cold_upstream_is_not_overloaded)
{
  const cluster_options_t options
      = { .entries = 2,
          .small_engines = 2,
          .engine_args = { "--slots=16", "--token-ms=4", "--cold-ms=4000" } };

  start_cluster (&options);
  cluster_upstream_t *engine = find_upstream ("small-1");
  loadgen_options_t load = chat_load_options ();
  load.concurrency = 48;
  runner = runner_start (&load);
  harness_sleep_ms (5000);
  proc_kill (engine->proc);
  continue_load (500);
  proc_restart (engine->proc);
  ck_assert_uint_eq (proc_wait_port (engine->proc, "listening", WAIT_MS),
                     engine->port);
  for (int i = 0; i < 35; i++)
    {
      harness_sleep_ms (100);
      ck_assert_int_eq (cluster_read_stat (cluster, engine->port, "refused"),
                        0);
      /* A cold engine is overloaded above 8 requests, a quarter of twice its
         16 slots.  */
      ck_assert_int_le (
          cluster_read_stat (cluster, engine->port, "max_running"), 8);
    }
  WAIT_FOR (cluster_read_stat (cluster, engine->port, "total") > 20, WAIT_MS);
  runner_stop (runner);
  ck_assert_uint_eq (runner_count_results (runner).mismatched, 0);
  has_passed = true;
}
END_TEST

/* Failure: a zone that was taken out receives new requests.  A zone is taken
   out under load and brought back.  After PROPAGATION_MS its upstreams must
   receive no new requests, no client may see a failure, and the zone must
   receive requests again after its return.  */
START_TEST (promise_06_zone_out_gets_no_new_work)
{
  const cluster_options_t options = { .entries = 3, .small_engines = 6 };
  static const char zone[] = "nairobi-b";

  start_cluster (&options);
  loadgen_options_t load = chat_load_options ();
  runner = runner_start (&load);
  continue_load (500);
  ck_assert_int_gt (count_zone_runs (zone), 0);
  ck_assert (cluster_set_configuration_key (
      cluster, "availability-zone nairobi-b", "state", "out"));
  harness_sleep_ms (PROPAGATION_MS);
  json_int_t before = count_zone_runs (zone);
  continue_load (SETTLE_MS);
  ck_assert_int_eq (count_zone_runs (zone), before);
  ck_assert (cluster_set_configuration_key (
      cluster, "availability-zone nairobi-b", "state", "in"));
  WAIT_FOR (count_zone_runs (zone) > before, WAIT_MS);
  check_all_complete ();
  has_passed = true;
}
END_TEST

typedef struct
{
  const char *name;
  const char *fault_json;
  bool is_persistent; /* Stays until the test reverts it.  */
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
  /* An entry must leave an unresponsive connection within 2 s.  The longest
     gap in a response is those 2 s and the time of a token.  */
  RESPONSE_GAP_BOUND_US = 2500000
};

/* Failure: a network fault truncates a stream or mixes up responses.  A
   middlebox drops the state of the connections between entries and sidecars
   during streams, in one or both directions, or resets, cuts or delays the
   connections.  Every client must receive its own complete response, and
   streams must resume over new connections within RESPONSE_GAP_BOUND_US.  */
START_TEST (promise_07_responses_are_complete_and_not_mixed_up)
{
  const fault_t *fault = &link_faults[_i];
  const cluster_options_t options = { .entries = 2,
                                      .small_engines = 3,
                                      .with_proxies = true,
                                      .engine_args = { "--token-ms=20" } };

  start_cluster (&options);
  loadgen_options_t load = chat_load_options ();
  load.max_tokens = 50;
  runner = runner_start (&load);
  for (int round = 0; round < 2; round++)
    {
      continue_load (800);
      for (size_t i = 0; i < cluster->upstream_count; i++)
        ck_assert (cluster_post_json (cluster,
                                      cluster->upstreams[i].proxy_control_port,
                                      "/fault", fault->fault_json));
      harness_sleep_ms (1000);
      if (fault->is_persistent)
        for (size_t i = 0; i < cluster->upstream_count; i++)
          ck_assert (cluster_post_json (
              cluster, cluster->upstreams[i].proxy_control_port, "/fault",
              "{\"cut_after\":0,\"delay_ms\":0}"));
    }
  continue_load (2500);
  check_all_complete ();
  ck_assert_msg (runner_count_results (runner).longest_gap_us
                     < RESPONSE_GAP_BOUND_US,
                 "%s: gap of %" PRIu64 " us in a response", fault->name,
                 runner_count_results (runner).longest_gap_us);
  has_passed = true;
}
END_TEST

/* Check the result of each request to the plain service against the number of
   runs that the service counted.  When IS_ANSWER_REQUIRED, each request must
   be completed or refused.  */
static void
check_service_runs (bool is_answer_required)
{
  const request_record_t *record;

  for (size_t i = 0; (record = runner_record_at (runner, i)) != NULL; i++)
    {
      const loadgen_result_t *result = &record->result;
      json_int_t runs = count_runs (result->key);
      ck_assert_msg (runs <= 1, "%.*s ran %d times", STR_ARG (result->key),
                     (int)runs);
      if (result->is_complete)
        ck_assert_msg (runs == 1, "%.*s completed, but ran %d times",
                       STR_ARG (result->key), (int)runs);
      else if (str_eq (result->outcome, STR ("not-run")))
        ck_assert_msg (runs == 0, "%.*s refused as not-run, but ran %d times",
                       STR_ARG (result->key), (int)runs);
      else
        ck_assert_msg (!is_answer_required,
                       "%.*s neither completed nor refused",
                       STR_ARG (result->key));
      ck_assert (!result->has_wrong_body);
    }
}

static const fault_t service_link_faults[] = {
  { "connections refused", "{\"refuse\":true}", true },
  { "silence, also of new ones", "{\"silence\":\"both\",\"also_new\":true}",
    true },
  { "replies lost", "{\"silence\":\"down\",\"also_new\":true}", true },
  { "reset", "{\"reset\":true}", false },
  { "cut halfway", "{\"cut_after\":300}", true },
};

enum
{
  SERVICE_LINK_FAULTS
  = sizeof service_link_faults / sizeof service_link_faults[0]
};

/* Failure: a request is reported as `not-run' although it ran.  Requests that
   are not idempotent are sent to a sidecar that is unreachable or whose
   responses are lost.  The service's count of runs must be 0 for each request
   that was reported as `not-run'.  */
START_TEST (promise_08_not_run_request_did_not_run)
{
  const cluster_options_t options = { .entries = 2,
                                      .services = 2,
                                      .with_proxies = true,
                                      .service_arg = "--delay-ms=30" };

  start_cluster (&options);
  loadgen_options_t load = service_load_options ();
  load.deadline_ms = 2500;
  load.max_resends = 0;
  runner = runner_start (&load);
  continue_load (400);
  for (size_t i = 0; i < cluster->upstream_count; i++)
    ck_assert (
        cluster_post_json (cluster, cluster->upstreams[i].proxy_control_port,
                           "/fault", service_link_faults[_i].fault_json));
  harness_sleep_ms (3000);
  for (size_t i = 0; i < cluster->upstream_count; i++)
    ck_assert (cluster_post_json (
        cluster, cluster->upstreams[i].proxy_control_port, "/fault",
        "{\"refuse\":false,\"silence\":\"none\",\"cut_after\":0}"));
  harness_sleep_ms (1500);
  runner_stop (runner);
  /* Requests whose clients timed out may still run.  */
  harness_sleep_ms (SETTLE_MS);
  check_service_runs (false);
  ck_assert_uint_eq (runner_count_results (runner).without_outcome, 0);
  ck_assert_uint_gt (runner_count_results (runner).complete, 0);
  has_passed = true;
}
END_TEST

typedef enum
{
  FAULT_ENTRY_KILLED,
  FAULT_SIDECAR_KILLED,
  FAULT_ENTRY_PAUSED,
  FAULT_RESPONSE_TRUNCATED,
  FAULT_SERVICE_EXITS,
  FAULT_STORE_REPLIES_LOST,
  RESEND_FAULTS
} resend_fault_t;

static void
inject_resend_fault (resend_fault_t fault)
{
  cluster_upstream_t *service_upstream = &cluster->upstreams[0];

  switch (fault)
    {
    case FAULT_ENTRY_KILLED:
      proc_kill (cluster->entries[0].proc);
      harness_sleep_ms (500);
      proc_restart (cluster->entries[0].proc);
      break;
    case FAULT_SIDECAR_KILLED:
      proc_kill (service_upstream->sidecar);
      harness_sleep_ms (500);
      proc_restart (service_upstream->sidecar);
      break;
    case FAULT_ENTRY_PAUSED:
      proc_signal (cluster->entries[0].proc, SIGSTOP);
      harness_sleep_ms (4000);
      proc_signal (cluster->entries[0].proc, SIGCONT);
      break;
    case FAULT_RESPONSE_TRUNCATED:
      cluster_post_json (cluster, service_upstream->port, "/control",
                         "{\"die\":\"cut\"}");
      harness_sleep_ms (500);
      cluster_post_json (cluster, service_upstream->port, "/control",
                         "{\"die\":\"no\"}");
      break;
    case FAULT_SERVICE_EXITS:
      cluster_post_json (cluster, service_upstream->port, "/control",
                         "{\"die\":\"exit\"}");
      proc_wait (service_upstream->proc, WAIT_MS);
      harness_sleep_ms (300);
      proc_restart (service_upstream->proc);
      break;
    case FAULT_STORE_REPLIES_LOST:
      cluster_post_json (cluster, cluster->platform_port, "/faults",
                         "{\"lost_reply_share\":0.5}");
      harness_sleep_ms (2000);
      cluster_post_json (cluster, cluster->platform_port, "/faults",
                         "{\"lost_reply_share\":0}");
      break;
    case RESEND_FAULTS:
      break;
    }
}

/* Failure: a request that is not idempotent runs twice.  While the request is
   pending, its entry is killed or paused, its sidecar is killed, the service
   truncates the response or exits after the run, or the store loses the reply
   to the claim.  The client resends with the same idempotency key to another
   entry.  The service must count at most one run, and exactly one for a
   completed request.  */
START_TEST (promise_09_non_idempotent_runs_at_most_once)
{
  const cluster_options_t options = { .entries = 3,
                                      .services = 2,
                                      .with_proxies = true,
                                      .service_arg = "--delay-ms=20" };

  start_cluster (&options);
  loadgen_options_t load = service_load_options ();
  runner = runner_start (&load);
  for (int round = 0; round < 2; round++)
    {
      continue_load (500);
      inject_resend_fault ((resend_fault_t)_i);
    }
  continue_load (2000);
  runner_stop (runner);
  harness_sleep_ms (SETTLE_MS);
  check_service_runs (false);
  result_counts_t counts = runner_count_results (runner);
  ck_assert_uint_eq (counts.without_outcome, 0);
  ck_assert_uint_gt (counts.complete, counts.finished / 2);
  has_passed = true;
}
END_TEST

/* Failure: a departing upstream receives new requests.  The platform lists the
   instance as leaving while its sidecar still serves, or the sidecar is
   stopped. After PROPAGATION_MS no entry may send the upstream a new request,
   and no client may see a failure.  */
START_TEST (promise_10_departing_upstream_gets_no_new_work)
{
  const cluster_options_t options = { .entries = 3, .small_engines = 3 };
  cluster_upstream_t *engine;

  start_cluster (&options);
  engine = find_upstream ("small-2");
  loadgen_options_t load = chat_load_options ();
  runner = runner_start (&load);
  continue_load (500);
  if (_i == 0)
    cluster_set_upstream_state (cluster, engine, "leaving");
  else
    proc_signal (engine->sidecar, SIGTERM);
  harness_sleep_ms (PROPAGATION_MS);
  json_int_t before = cluster_read_stat (cluster, engine->port, "total");
  continue_load (SETTLE_MS);
  ck_assert_int_eq (cluster_read_stat (cluster, engine->port, "total"),
                    before);
  check_all_complete ();
  has_passed = true;
}
END_TEST

/* Failure: a graceful stop cuts requests.  Entries and sidecars are stopped
   and restarted one after the other under load, as in a rolling restart. Every
   open stream must be completed, each stopped process must exit with status 0,
   and clients connect to the other entries.  */
START_TEST (promise_11_graceful_stop_cuts_no_request)
{
  const cluster_options_t options = { .entries = 3,
                                      .small_engines = 3,
                                      .services = 2,
                                      .drain_grace_ms = 500,
                                      .engine_args = { "--token-ms=20" } };

  start_cluster (&options);
  loadgen_options_t load = chat_load_options ();
  load.max_tokens = 50;
  load.service_share = 0.3;
  load.service = STR (CLUSTER_SERVICE);
  load.key_prefix = STR ("stop");
  runner = runner_start (&load);
  continue_load (500);
  for (size_t i = 0; i < cluster->entry_count; i++)
    {
      proc_signal (cluster->entries[i].proc, SIGTERM);
      ck_assert_int_eq (proc_wait (cluster->entries[i].proc, WAIT_MS), 0);
      proc_restart (cluster->entries[i].proc);
      WAIT_FOR (
          cluster_is_process_ready (cluster, cluster->entries[i].admin_port),
          WAIT_MS);
      continue_load (500);
    }
  for (size_t i = 0; i < cluster->upstream_count; i++)
    {
      proc_t *sidecar = cluster->upstreams[i].sidecar;
      proc_signal (sidecar, SIGTERM);
      ck_assert_int_eq (proc_wait (sidecar, WAIT_MS), 0);
      proc_restart (sidecar);
      WAIT_FOR (
          cluster_is_process_ready (cluster, cluster->upstreams[i].admin_port),
          WAIT_MS);
      continue_load (500);
    }
  check_all_complete ();
  has_passed = true;
}
END_TEST

enum
{
  PROCESSES_MAX = CLUSTER_ENTRIES_MAX + CLUSTER_UPSTREAMS_MAX
};

/* Check for FOR_MS that no running process reports an older configuration
   revision than its last one in
   LAST_REVISIONS.  */
static void
check_revisions (uint64_t last_revisions[PROCESSES_MAX], uint64_t for_ms)
{
  uint64_t end = harness_now_ms () + for_ms;

  do
    for (size_t i = 0; i < cluster->entry_count + cluster->upstream_count; i++)
      {
        bool is_entry = i < cluster->entry_count;
        const cluster_upstream_t *up
            = &cluster->upstreams[is_entry ? 0 : i - cluster->entry_count];
        proc_t *proc = is_entry ? cluster->entries[i].proc : up->sidecar;
        uint16_t admin
            = is_entry ? cluster->entries[i].admin_port : up->admin_port;
        if (!proc_is_running (proc))
          continue;
        uint64_t now = cluster_read_revision (cluster, admin);
        /* A process that has just started reports revision 0.  */
        ck_assert_msg (now >= last_revisions[i] || now == 0,
                       "%s reverted from revision %" PRIu64 " to %" PRIu64,
                       proc_name (proc), last_revisions[i], now);
        if (now > 0)
          last_revisions[i] = now;
      }
  while (harness_now_ms () < end);
}

/* Failure: a configuration change is lost or reverted.  Two operators change
   the same revision; then the store fails, and processes start during the
   outage.  All processes must use an accepted change within seconds, the
   conflicting change must be refused with status 409, and no process may
   revert to an older revision, whether it learns the configuration from the
   store or from a peer.  */
START_TEST (promise_12_configuration_arrives_and_never_reverts)
{
  const cluster_options_t options = {
    .entries = 3, .small_engines = 2, .services = 1, .with_proxies = true
  };
  uint64_t last_revisions[PROCESSES_MAX] = { 0 };
  uint64_t conflicting_revision = 0;

  start_cluster (&options);
  uint64_t old_revision = cluster->revision;
  ck_assert (cluster_set_configuration_key (cluster, "version draft-small@4",
                                            "state", "withdrawn"));
  uint64_t start_ms = harness_now_ms ();
  ck_assert_uint_gt (cluster->revision, old_revision);
  WAIT_FOR (cluster_has_revision (cluster, cluster->revision), PROPAGATION_MS);
  printf ("in force everywhere after %" PRIu64 " ms\n",
          harness_now_ms () - start_ms);
  ck_assert_int_eq (
      cluster_apply_configuration (cluster, 1, cluster->configuration.ptr,
                                   old_revision, &conflicting_revision),
      409);
  check_revisions (last_revisions, 200);
  ck_assert (cluster_post_json (cluster, cluster->platform_port, "/faults",
                                "{\"outage\":\"silent\"}"));
  proc_kill (cluster->entries[2].proc);
  proc_kill (find_upstream ("small-1")->sidecar);
  proc_restart (cluster->entries[2].proc);
  proc_restart (find_upstream ("small-1")->sidecar);
  ck_assert_int_eq (
      cluster_apply_configuration (cluster, 0, cluster->configuration.ptr,
                                   cluster->revision, &conflicting_revision),
      503);
  check_revisions (last_revisions, 2000);
  /* Processes that start during the outage receive the configuration from
     their peers.  */
  WAIT_FOR (cluster_has_revision (cluster, cluster->revision), WAIT_MS);
  check_chat_refused (2, CHAT_BODY ("draft-small@4", ""), 409, VH_E_WITHDRAWN);
  ck_assert (cluster_post_json (cluster, cluster->platform_port, "/faults",
                                "{\"outage\":\"none\"}"));
  bool is_met;
  WAIT_UNTIL (cluster_set_configuration_key (cluster, "version draft-small@4",
                                             "state", "serving"),
              WAIT_MS, &is_met);
  ck_assert (is_met);
  WAIT_FOR (cluster_has_revision (cluster, cluster->revision), PROPAGATION_MS);
  check_revisions (last_revisions, 500);
  has_passed = true;
}
END_TEST

typedef struct
{
  const char *name;
  const TTest *test;
  int cases;
} guarantee_t;

int
main (void)
{
  /* One test case per guarantee, so that they can be run in parallel.  */
  const guarantee_t guarantees[] = {
    { "promise_01", promise_01_only_permitted_models_and_versions, 1 },
    { "promise_02", promise_02_withdrawn_version_gets_no_new_work, 1 },
    { "promise_03", promise_03_session_keeps_version, 1 },
    { "promise_04", promise_04_each_request_billed_once, 1 },
    { "promise_05", promise_05_cold_upstream_is_not_overloaded, 1 },
    { "promise_06", promise_06_zone_out_gets_no_new_work, 1 },
    { "promise_07", promise_07_responses_are_complete_and_not_mixed_up,
      LINK_FAULTS },
    { "promise_08", promise_08_not_run_request_did_not_run,
      SERVICE_LINK_FAULTS },
    { "promise_09", promise_09_non_idempotent_runs_at_most_once,
      RESEND_FAULTS },
    { "promise_10", promise_10_departing_upstream_gets_no_new_work, 2 },
    { "promise_11", promise_11_graceful_stop_cuts_no_request, 1 },
    { "promise_12", promise_12_configuration_arrives_and_never_reverts, 1 },
  };
  Suite *suite = suite_create ("promises");

  for (size_t i = 0; i < sizeof guarantees / sizeof guarantees[0]; i++)
    {
      TCase *tcase = tcase_create (guarantees[i].name);
      tcase_add_checked_fixture (tcase, setup, teardown);
      tcase_add_loop_test (tcase, guarantees[i].test, 0, guarantees[i].cases);
      suite_add_tcase (suite, tcase);
    }
  return suite_run (suite);
}
