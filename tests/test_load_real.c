/* Tests of load balancing and admission control with real processes, judged by
   the responses that clients receive: in a burst, with a slow or failing
   upstream, with an overloading team, and with a cold upstream.  Bounds
   compare figures of the same run.  */

#include "cluster.h"
#include "standins/loadgen.h"
#include "standins/samples.h"
#include "suite.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <uv.h>

enum
{
  WAIT_MS = 15000,
  MAX_TOKENS = 20,
  /* Duration of a request on an idle engine: MAX_TOKENS at --token-ms=10.  */
  REQUEST_MS = 200,
  SLOTS = 4,
  DEADLINE_MS = 2000,
  /* Tolerated delay past the deadline, as the client and its entry are two
     processes on a busy machine.  */
  DEADLINE_TOLERANCE_MS = 500,
  COLD_MS = 2000,
  /* Requests per second; three engines can serve 60.  */
  MODERATE_RATE = 30,
  /* Requests per second; more than two engines can serve.  */
  THREE_ENGINES_RATE = 45,
  LOADS_MAX = 2
};

/* A load and the totals of its results.  */
typedef struct
{
  loadgen_options_t options;
  uv_loop_t *loop;
  unsigned *unfinished_loads; /* Number of unfinished loads on LOOP.  */
  uint64_t finished;
  uint64_t complete;
  uint64_t mismatched;
  uint64_t late;           /* Complete, but after the deadline.  */
  uint64_t refused;        /* Incomplete, with outcome `not-run'.  */
  uint64_t no_retry_after; /* Refused without a Retry-After header.  */
  uint64_t other_outcome;  /* Neither complete nor refused.  */
  samples_t complete_us;
  samples_t refused_us;
} load_run_t;

static cluster_t *cluster;
static bool has_passed;

static void
teardown (void)
{
  cluster_destroy (cluster, !has_passed);
  cluster = NULL;
}

static void
start_cluster (unsigned engines, const char *sidecar_settings_text,
               const char *engine_arg)
{
  const cluster_options_t options
      = { .entries = 1,
          .small_engines = engines,
          .single_zone = true,
          .engine_args = { "--token-ms=10", "--slots=4", engine_arg },
          .sidecar_settings = sidecar_settings_text };

  has_passed = false;
  cluster = cluster_create (&options);
  ck_assert_ptr_nonnull (cluster);
}

static void
on_finished (void *arg, const loadgen_result_t *result)
{
  load_run_t *results = arg;

  results->finished++;
  results->mismatched += result->has_wrong_body;
  if (result->is_complete)
    {
      results->complete++;
      results->late += result->total_us
                       > (DEADLINE_MS + DEADLINE_TOLERANCE_MS) * 1000ull;
      samples_add (&results->complete_us, result->total_us);
    }
  else if (str_eq (result->outcome, STR ("not-run")))
    {
      results->refused++;
      results->no_retry_after += !result->has_retry_after;
      samples_add (&results->refused_us, result->total_us);
    }
  else
    results->other_outcome++;
}

static void
on_load_ended (void *arg)
{
  load_run_t *results = arg;

  if (--*results->unfinished_loads == 0)
    uv_stop (results->loop);
}

/* Return a load that sends RATE requests per second with API key API_KEY, and
   has at most CONCURRENCY requests open.  */
static load_run_t
load_run_make (const char *api_key, double rate, size_t concurrency,
               uint64_t duration_ms)
{
  return (load_run_t){ .options = { .concurrency = concurrency,
                                    .rate = rate,
                                    .duration_ms = duration_ms,
                                    .seed = 1,
                                    .api_key = str_from (api_key),
                                    .model = STR ("draft-small@3"),
                                    .max_tokens = MAX_TOKENS,
                                    .prompt_bytes = 64,
                                    .deadline_ms = DEADLINE_MS,
                                    .timeout_ms = WAIT_MS,
                                    .on_result = on_finished,
                                    .on_complete = on_load_ended } };
}

static void
load_run_free (load_run_t *results)
{
  samples_free (&results->complete_us);
  samples_free (&results->refused_us);
}

static void
print_load_run (const char *name, load_run_t *results)
{
  printf ("%s finished=%llu whole=%llu late=%llu refused=%llu no_hint=%llu "
          "unclear=%llu whole_p50_ms=%.0f whole_p99_ms=%.0f "
          "refused_p50_ms=%.0f refused_p99_ms=%.0f\n",
          name, (unsigned long long)results->finished,
          (unsigned long long)results->complete,
          (unsigned long long)results->late,
          (unsigned long long)results->refused,
          (unsigned long long)results->no_retry_after,
          (unsigned long long)results->other_outcome,
          (double)samples_quantile (&results->complete_us, 0.5) / 1e3,
          (double)samples_quantile (&results->complete_us, 0.99) / 1e3,
          (double)samples_quantile (&results->refused_us, 0.5) / 1e3,
          (double)samples_quantile (&results->refused_us, 0.99) / 1e3);
  fflush (stdout);
}

/* Run COUNT loads in parallel until they end.  */
static void
run_loads (load_run_t *results, unsigned count)
{
  uv_loop_t loop;
  loadgen_t *loads[LOADS_MAX];
  char address[64];
  str_t target;
  unsigned unfinished_loads = count;

  ck_assert_uint_le (count, LOADS_MAX);
  snprintf (address, sizeof address, "%s:%u", cluster->host,
            cluster->entries[0].port);
  target = str_from (address);
  uv_loop_init (&loop);
  for (unsigned i = 0; i < count; i++)
    {
      results[i].loop = &loop;
      results[i].unfinished_loads = &unfinished_loads;
      results[i].options.targets = &target;
      results[i].options.target_count = 1;
      results[i].options.arg = &results[i];
      loads[i] = loadgen_create (&loop, &results[i].options);
      ck_assert_ptr_nonnull (loads[i]);
    }
  uv_run (&loop, UV_RUN_DEFAULT);
  for (unsigned i = 0; i < count; i++)
    loadgen_destroy (loads[i]);
  uv_run (&loop, UV_RUN_DEFAULT);
  uv_loop_close (&loop);
  for (unsigned i = 0; i < count; i++)
    {
      print_load_run (i == 0 ? "callers" : "beside", &results[i]);
      ck_assert_uint_eq (results[i].mismatched, 0);
      ck_assert_uint_gt (results[i].finished, 0);
    }
}

/* Send RATE requests per second for DURATION_MS.  The load is an open loop
   because clients that resend as soon as they are refused would multiply the
   load.  */
static load_run_t
run_steady (double rate, uint64_t duration_ms)
{
  load_run_t results
      = load_run_make (CLUSTER_API_KEY, rate, 1000, duration_ms);

  run_loads (&results, 1);
  return results;
}

/* Return the number of requests that upstream INDEX has started since its
   process started.  */
static double
started_requests (size_t index)
{
  return (double)cluster_read_stat (cluster, cluster->upstreams[index].port,
                                    "total");
}

static double
started_requests_total (void)
{
  double sum = 0;

  for (size_t i = 0; i < cluster->upstream_count; i++)
    sum += started_requests (i);
  return sum;
}

enum
{
  BURST_ENGINES = 2,
  BURST_MS = 3000,
  /* Requests per second that the engines can serve.  */
  BURST_CAPACITY = BURST_ENGINES * SLOTS * 1000 / REQUEST_MS
};

/* Run a burst of ten times the capacity, after three seconds at three quarters
   of the capacity.  Return the results of the burst.  */
static load_run_t
run_burst (const char *sidecar_settings_text)
{
  start_cluster (BURST_ENGINES, sidecar_settings_text, NULL);
  load_run_t steady = run_steady (0.75 * BURST_CAPACITY, 3000);
  load_run_free (&steady);
  load_run_t burst
      = load_run_make (CLUSTER_API_KEY, 10 * BURST_CAPACITY, 4000, BURST_MS);
  run_loads (&burst, 1);
  return burst;
}

/* Failure: a burst makes most requests miss their deadlines.  For three
   seconds ten times as many requests arrive as the engines can serve.  Without
   a concurrency limit all of them are sent to the engines, slow each other
   down, and most finish after their clients timed out.  With the limit,
   clients must receive about as many responses per second as the engines can
   serve, none after the deadline; the other requests must be refused at once,
   with a Retry-After header.  */
START_TEST (burst_of_ten_times_capacity_is_limited)
{
  load_run_t unlimited = run_burst ("limit-start = 1000\nlimit-max = 1000\n");

  has_passed = true;
  teardown ();
  load_run_t limited = run_burst ("limit-start = 2\nlimit-max = 32\n");
  /* The share includes the start and the end of the burst, when the engines
     are not fully used.  */
  double utilization
      = (double)limited.complete * 1000 / (BURST_CAPACITY * BURST_MS);

  printf ("burst used=%.2f of the capacity\n", utilization);
  ck_assert_uint_eq (limited.late, 0);
  ck_assert_uint_eq (limited.no_retry_after, 0);
  ck_assert (utilization > 0.6);
  ck_assert_uint_gt (limited.complete, unlimited.complete);
  ck_assert_uint_gt (limited.refused, limited.finished / 2);
  ck_assert_uint_lt (samples_quantile (&limited.refused_us, 0.5),
                     DEADLINE_MS * 1000 / 4);
  ck_assert_uint_lt (limited.other_outcome, limited.finished / 20);
  load_run_free (&unlimited);
  load_run_free (&limited);
  has_passed = true;
}
END_TEST

enum
{
  FAULT_ENGINES = 4,
  FAULT_MS = 4000,
  /* Requests per second; the four engines can serve 80.  */
  FAULT_RATE = 30
};

/* Set the fault CONTROL at the first of four engines and send FAULT_RATE
   requests per second.  Return the share of the requests that the faulty
   engine received; set *RESULTS to the results.  */
static double
run_with_faulty_engine (const char *control, load_run_t *results)
{
  start_cluster (FAULT_ENGINES, "limit-start = 2\nlimit-max = 8\n", NULL);
  load_run_t before = run_steady (FAULT_RATE, 2000);
  load_run_free (&before);
  ck_assert (cluster_post_json (cluster, cluster->upstreams[0].port,
                                "/control", control));
  double before_total = started_requests_total ();
  double before_first = started_requests (0);
  *results = run_steady (FAULT_RATE, FAULT_MS);
  double share = (started_requests (0) - before_first)
                 / (started_requests_total () - before_total);
  printf ("share of the faulty one=%.3f\n", share);
  return share;
}

/* Failure: a slow upstream keeps its full share of the traffic.  One of four
   engines takes five times as long without reporting that it is slow, and with
   round robin a quarter of the clients would wait for it.  The slow engine
   must receive less than an eighth of the requests, at least 98 % of all
   requests must succeed, and no response may be late.  */
START_TEST (slow_upstream_gets_little_traffic)
{
  load_run_t results;
  double share = run_with_faulty_engine ("{\"slow\":5}", &results);

  ck_assert (share < 0.125);
  ck_assert (results.complete >= 0.98 * results.finished);
  ck_assert_uint_eq (results.late, 0);
  load_run_free (&results);
  has_passed = true;
}
END_TEST

/* Failure: an upstream that fails fast attracts the traffic.  One of four
   engines returns errors at once and therefore always has the lowest load, so
   least-loaded balancing would send it nearly all requests.  The failing
   engine must receive less than an eighth of the requests, and at least 95 %
   of all requests must succeed.  */
START_TEST (fast_failing_upstream_gets_little_traffic)
{
  load_run_t results;
  double share = run_with_faulty_engine ("{\"error\":500}", &results);

  ck_assert (share < 0.125);
  ck_assert (results.complete >= 0.95 * results.finished);
  load_run_free (&results);
  has_passed = true;
}
END_TEST

/* Failure: an overloading team starves a small one.  The large team sends five
   times as many requests as the engines can serve while the small team sends a
   few.  With a shared FIFO queue the small team's requests would wait behind
   those of the large team or be refused.  At least 90 % of the small team's
   requests must be served, none after the deadline.  */
START_TEST (overloading_team_does_not_starve_small_team)
{
  start_cluster (2, "limit-start = 2\nlimit-max = 32\n", NULL);
  load_run_t warm = run_steady (25, 2000);
  load_run_free (&warm);
  load_run_t results[] = { load_run_make (CLUSTER_OTHER_API_KEY, 5, 50, 4000),
                           load_run_make (CLUSTER_API_KEY, 200, 2000, 4000) };

  run_loads (results, 2);
  double small_team_success_ratio
      = (double)results[0].complete / (double)results[0].finished;
  double large_team_success_ratio
      = (double)results[1].complete / (double)results[1].finished;
  printf ("answered quiet=%.3f hot=%.3f\n", small_team_success_ratio,
          large_team_success_ratio);
  ck_assert (small_team_success_ratio >= 0.9);
  ck_assert (large_team_success_ratio < small_team_success_ratio);
  ck_assert_uint_eq (results[0].late + results[1].late, 0);
  ck_assert_uint_eq (results[1].no_retry_after, 0);
  load_run_free (&results[0]);
  load_run_free (&results[1]);
  has_passed = true;
}
END_TEST

/* Failure: a restarted engine receives its full share while it is cold.  One
   of three engines is restarted under moderate load and is cold for two
   seconds; with its full share its responses would miss their deadlines.
   Clients must see almost no failures.  When the load then exceeds the
   capacity of the two other engines, the restarted engine must receive a part
   of the requests.  */
START_TEST (restarted_engine_is_not_overloaded)
{
  start_cluster (3, "limit-start = 2\nlimit-max = 8\n", "--cold-ms=2000");
  harness_sleep_ms (COLD_MS);
  load_run_t warm = run_steady (MODERATE_RATE, 2000);
  load_run_free (&warm);
  proc_kill (cluster->upstreams[0].proc);
  proc_restart (cluster->upstreams[0].proc);
  ck_assert_uint_eq (
      proc_wait_port (cluster->upstreams[0].proc, "listening", WAIT_MS),
      cluster->upstreams[0].port);
  load_run_t cold = run_steady (MODERATE_RATE, 4000);
  double before_total = started_requests_total ();
  double before_first = started_requests (0);
  load_run_t after = run_steady (THREE_ENGINES_RATE, 4000);
  double share = (started_requests (0) - before_first)
                 / (started_requests_total () - before_total);

  printf ("share of the new one once warm=%.3f\n", share);
  fflush (stdout);
  ck_assert (cold.complete >= 0.97 * cold.finished);
  ck_assert_uint_eq (cold.late, 0);
  ck_assert (after.complete >= 0.9 * after.finished);
  ck_assert (share > 0.1);
  load_run_free (&cold);
  load_run_free (&after);
  has_passed = true;
}
END_TEST

/* Failure: an engine that turns cold without a restart still receives its full
   share, and its responses miss their deadlines.  One of three engines turns
   cold for two seconds under moderate load without reporting the change.
   Clients must see almost no failures.  */
START_TEST (engine_turning_cold_is_not_overloaded)
{
  start_cluster (3, "limit-start = 2\nlimit-max = 8\n", NULL);
  load_run_t warm = run_steady (MODERATE_RATE, 2000);
  ck_assert (cluster_post_json (cluster, cluster->upstreams[0].port,
                                "/control", "{\"cold_ms\":2000}"));
  load_run_t cold = run_steady (MODERATE_RATE, 4000);

  ck_assert (warm.complete >= 0.97 * warm.finished);
  ck_assert (cold.complete >= 0.97 * cold.finished);
  ck_assert_uint_eq (cold.late, 0);
  load_run_free (&warm);
  load_run_free (&cold);
  has_passed = true;
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("load_real");
  TCase *burst = tcase_create ("burst");
  TCase *faults = tcase_create ("faults");
  TCase *teams = tcase_create ("teams");
  TCase *cold = tcase_create ("cold");
  TCase *const tcases[] = { burst, faults, teams, cold };

  tcase_add_test (burst, burst_of_ten_times_capacity_is_limited);
  tcase_add_test (faults, slow_upstream_gets_little_traffic);
  tcase_add_test (faults, fast_failing_upstream_gets_little_traffic);
  tcase_add_test (teams, overloading_team_does_not_starve_small_team);
  tcase_add_test (cold, restarted_engine_is_not_overloaded);
  tcase_add_test (cold, engine_turning_cold_is_not_overloaded);
  for (size_t i = 0; i < sizeof tcases / sizeof tcases[0]; i++)
    {
      tcase_set_timeout (tcases[i], 60);
      tcase_add_checked_fixture (tcases[i], NULL, teardown);
      suite_add_tcase (suite, tcases[i]);
    }
  return suite_run (suite);
}
