/* Tests of the decisions under load with real processes: what callers
   receive in a burst, beside a slow or a failing upstream, beside a hot team,
   and while an upstream is cold.  Bounds compare figures of one run.  */

#include "cluster.h"
#include "standins/load.h"
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
  /* A job alone takes this long: MAX_TOKENS at --token-ms=10.  */
  JOB_MS = 200,
  SLOTS = 4,
  DEADLINE_MS = 2000,
  /* A caller and its entry are two processes on a busy machine.  */
  LATE_SLACK_MS = 500,
  COLD_MS = 2000,
  /* Of the 60 that three engines carry in a second.  */
  COLD_RATE = 30,
  /* More than two carry, so that the third is needed.  */
  NEEDED_RATE = 45,
  LOADS_MAX = 2
};

/* What the callers of one load received.  */
typedef struct
{
  loadgen_options_t options;
  uv_loop_t *loop;
  unsigned *left;
  uint64_t finished;
  uint64_t whole;
  uint64_t wrong;
  uint64_t late;    /* Whole, and after the deadline.  */
  uint64_t refused; /* Said to be not run.  */
  uint64_t no_hint; /* Of these, without Retry-After.  */
  uint64_t unclear; /* Neither whole nor refused.  */
  samples_t whole_us;
  samples_t refused_us;
} callers_t;

static cluster_t *cluster;
static bool passed;

static void
teardown (void)
{
  cluster_destroy (cluster, !passed);
  cluster = NULL;
}

static void
start_cluster (unsigned engines, const char *sidecar_keys,
               const char *engine_arg)
{
  const cluster_options_t options
      = { .entries = 1,
          .small_engines = engines,
          .one_zone = true,
          .engine_args = { "--token-ms=10", "--slots=4", engine_arg },
          .sidecar_keys = sidecar_keys };

  passed = false;
  cluster = cluster_create (&options);
  ck_assert_ptr_nonnull (cluster);
}

static void
on_finished (void *arg, const loadgen_result_t *result)
{
  callers_t *callers = arg;

  callers->finished++;
  callers->wrong += result->wrong;
  if (result->whole)
    {
      callers->whole++;
      callers->late
          += result->total_us > (DEADLINE_MS + LATE_SLACK_MS) * 1000ull;
      samples_add (&callers->whole_us, result->total_us);
    }
  else if (str_eq (result->outcome, STR ("not-run")))
    {
      callers->refused++;
      callers->no_hint += !result->retry_after;
      samples_add (&callers->refused_us, result->total_us);
    }
  else
    callers->unclear++;
}

static void
on_over (void *arg)
{
  callers_t *callers = arg;

  if (--*callers->left == 0)
    uv_stop (callers->loop);
}

/* Return callers with the key API_KEY.  */
static callers_t
callers_make (const char *api_key, double rate, size_t concurrency,
              uint64_t duration_ms)
{
  return (callers_t){ .options = { .concurrency = concurrency,
                                   .rate = rate,
                                   .duration_ms = duration_ms,
                                   .seed = 1,
                                   .api_key = str_from (api_key),
                                   .model = STR ("draft-small@3"),
                                   .max_tokens = MAX_TOKENS,
                                   .prompt_bytes = 64,
                                   .deadline_ms = DEADLINE_MS,
                                   .timeout_ms = WAIT_MS,
                                   .finished = on_finished,
                                   .over = on_over } };
}

static void
callers_free (callers_t *callers)
{
  samples_free (&callers->whole_us);
  samples_free (&callers->refused_us);
}

static void
print_callers (const char *name, callers_t *callers)
{
  printf ("%s finished=%llu whole=%llu late=%llu refused=%llu no_hint=%llu "
          "unclear=%llu whole_p50_ms=%.0f whole_p99_ms=%.0f "
          "refused_p50_ms=%.0f refused_p99_ms=%.0f\n",
          name, (unsigned long long)callers->finished,
          (unsigned long long)callers->whole,
          (unsigned long long)callers->late,
          (unsigned long long)callers->refused,
          (unsigned long long)callers->no_hint,
          (unsigned long long)callers->unclear,
          (double)samples_quantile (&callers->whole_us, 0.5) / 1e3,
          (double)samples_quantile (&callers->whole_us, 0.99) / 1e3,
          (double)samples_quantile (&callers->refused_us, 0.5) / 1e3,
          (double)samples_quantile (&callers->refused_us, 0.99) / 1e3);
  fflush (stdout);
}

/* Run COUNT loads side by side to their end.  */
static void
run_callers (callers_t *callers, unsigned count)
{
  uv_loop_t loop;
  load_t *loads[LOADS_MAX];
  char address[64];
  str_t target;
  unsigned left = count;

  ck_assert_uint_le (count, LOADS_MAX);
  snprintf (address, sizeof address, "%s:%u", cluster->host,
            cluster->entries[0].port);
  target = str_from (address);
  uv_loop_init (&loop);
  for (unsigned i = 0; i < count; i++)
    {
      callers[i].loop = &loop;
      callers[i].left = &left;
      callers[i].options.targets = &target;
      callers[i].options.target_count = 1;
      callers[i].options.arg = &callers[i];
      loads[i] = loadgen_create (&loop, &callers[i].options);
      ck_assert_ptr_nonnull (loads[i]);
    }
  uv_run (&loop, UV_RUN_DEFAULT);
  for (unsigned i = 0; i < count; i++)
    loadgen_destroy (loads[i]);
  uv_run (&loop, UV_RUN_DEFAULT);
  uv_loop_close (&loop);
  for (unsigned i = 0; i < count; i++)
    {
      print_callers (i == 0 ? "callers" : "beside", &callers[i]);
      ck_assert_uint_eq (callers[i].wrong, 0);
      ck_assert_uint_gt (callers[i].finished, 0);
    }
}

/* Send RATE requests a second for DURATION_MS.  An open loop: callers that
   ask anew as soon as they are refused would be a load of their own.  */
static callers_t
run_steady (double rate, uint64_t duration_ms)
{
  callers_t callers = callers_make (CLUSTER_API_KEY, rate, 1000, duration_ms);

  run_callers (&callers, 1);
  return callers;
}

/* Requests begun at upstream INDEX since it started.  */
static double
begun (size_t index)
{
  return (double)cluster_read_stat (cluster, cluster->upstreams[index].port,
                                    "total");
}

static double
begun_all (void)
{
  double sum = 0;

  for (size_t i = 0; i < cluster->upstream_count; i++)
    sum += begun (i);
  return sum;
}

enum
{
  BURST_ENGINES = 2,
  BURST_MS = 3000,
  /* What the engines carry, in requests a second.  */
  BURST_CAPACITY = BURST_ENGINES * SLOTS * 1000 / JOB_MS
};

/* Return what a burst gave its callers, after some seconds of three quarters
   of the capacity.  */
static callers_t
run_burst (const char *sidecar_keys)
{
  start_cluster (BURST_ENGINES, sidecar_keys, NULL);
  callers_t steady = run_steady (0.75 * BURST_CAPACITY, 3000);
  callers_free (&steady);
  callers_t burst
      = callers_make (CLUSTER_API_KEY, 10 * BURST_CAPACITY, 4000, BURST_MS);
  run_callers (&burst, 1);
  return burst;
}

/* The rains begin: for some seconds ten times as many requests come as the
   engines carry.  Without a limit all are sent on, slow each other down and
   most end after their callers left.  Callers must get about as many answers
   a second as from a full fleet, none late, and the others a refusal at once
   that says when to come back.  */
START_TEST (burst_of_ten_times)
{
  callers_t plain = run_burst ("limit-start = 1000\nlimit-max = 1000\n");

  passed = true;
  teardown ();
  callers_t ours = run_burst ("limit-start = 2\nlimit-max = 32\n");
  /* A start and an end at less than full use are part of it.  */
  double used = (double)ours.whole * 1000 / (BURST_CAPACITY * BURST_MS);

  printf ("burst used=%.2f of the capacity\n", used);
  ck_assert_uint_eq (ours.late, 0);
  ck_assert_uint_eq (ours.no_hint, 0);
  ck_assert (used > 0.6);
  ck_assert_uint_gt (ours.whole, plain.whole);
  ck_assert_uint_gt (ours.refused, ours.finished / 2);
  ck_assert_uint_lt (samples_quantile (&ours.refused_us, 0.5),
                     DEADLINE_MS * 1000 / 4);
  ck_assert_uint_lt (ours.unclear, ours.finished / 20);
  callers_free (&plain);
  callers_free (&ours);
  passed = true;
}
END_TEST

enum
{
  FAULT_ENGINES = 4,
  FAULT_MS = 4000,
  /* Of the 80 that the four carry in a second.  */
  FAULT_RATE = 30
};

/* Give the first of four engines the fault CONTROL under a half load and
   return the share of the traffic that it got; *CALLERS tells what the callers
   received.  */
static double
share_with_fault (const char *control, callers_t *callers)
{
  start_cluster (FAULT_ENGINES, "limit-start = 2\nlimit-max = 8\n", NULL);
  callers_t before = run_steady (FAULT_RATE, 2000);
  callers_free (&before);
  ck_assert (cluster_post_json (cluster, cluster->upstreams[0].port,
                                "/control", control));
  double all = begun_all ();
  double own = begun (0);
  *callers = run_steady (FAULT_RATE, FAULT_MS);
  double share = (begun (0) - own) / (begun_all () - all);
  printf ("share of the faulty one=%.3f\n", share);
  return share;
}

/* One of four engines takes five times as long, without saying so.  Callers
   whose requests go there in turn wait five times as long.  It must get much
   less than its quarter, and no caller may fail.  */
START_TEST (slow_upstream)
{
  callers_t callers;
  double share = share_with_fault ("{\"slow\":5}", &callers);

  ck_assert (share < 0.125);
  ck_assert (callers.whole >= 0.98 * callers.finished);
  ck_assert_uint_eq (callers.late, 0);
  callers_free (&callers);
  passed = true;
}
END_TEST

/* One of four engines answers errors at once, and so always looks idle.
   Choice by load alone would send it nearly all.  It must get a few requests
   and callers must hardly notice.  */
START_TEST (failing_upstream)
{
  callers_t callers;
  double share = share_with_fault ("{\"error\":500}", &callers);

  ck_assert (share < 0.125);
  ck_assert (callers.whole >= 0.95 * callers.finished);
  callers_free (&callers);
  passed = true;
}
END_TEST

/* A large team sends five times what the fleet carries while a small one asks
   a few questions.  First come, first served, the small one waits behind all
   of it or is refused.  It must be served nearly always, and soon.  */
START_TEST (hot_team)
{
  start_cluster (2, "limit-start = 2\nlimit-max = 32\n", NULL);
  callers_t warm = run_steady (25, 2000);
  callers_free (&warm);
  callers_t callers[] = { callers_make (CLUSTER_OTHER_API_KEY, 5, 50, 4000),
                          callers_make (CLUSTER_API_KEY, 200, 2000, 4000) };

  run_callers (callers, 2);
  double quiet = (double)callers[0].whole / (double)callers[0].finished;
  double hot = (double)callers[1].whole / (double)callers[1].finished;
  printf ("answered quiet=%.3f hot=%.3f\n", quiet, hot);
  ck_assert (quiet >= 0.9);
  ck_assert (hot < quiet);
  ck_assert_uint_eq (callers[0].late + callers[1].late, 0);
  ck_assert_uint_eq (callers[1].no_hint, 0);
  callers_free (&callers[0]);
  callers_free (&callers[1]);
  passed = true;
}
END_TEST

/* Under a load that three engines carry well, one is started anew and is cold
   for two seconds.  Sent its full share it would answer in many times the
   usual, past the deadlines.  No wave of failures may show, and when the load
   then grows past what the two others carry it must do its part.  */
START_TEST (cold_start)
{
  start_cluster (3, "limit-start = 2\nlimit-max = 8\n", "--cold-ms=2000");
  harness_sleep_ms (COLD_MS);
  callers_t warm = run_steady (COLD_RATE, 2000);
  callers_free (&warm);
  proc_kill (cluster->upstreams[0].proc);
  proc_restart (cluster->upstreams[0].proc);
  ck_assert_uint_eq (
      proc_wait_port (cluster->upstreams[0].proc, "listening", WAIT_MS),
      cluster->upstreams[0].port);
  callers_t cold = run_steady (COLD_RATE, 4000);
  double all = begun_all ();
  double own = begun (0);
  callers_t after = run_steady (NEEDED_RATE, 4000);
  double share = (begun (0) - own) / (begun_all () - all);

  printf ("share of the new one once warm=%.3f\n", share);
  fflush (stdout);
  ck_assert (cold.whole >= 0.97 * cold.finished);
  ck_assert_uint_eq (cold.late, 0);
  ck_assert (after.whole >= 0.9 * after.finished);
  ck_assert (share > 0.1);
  callers_free (&cold);
  callers_free (&after);
  passed = true;
}
END_TEST

/* The same, but a warm engine turns cold in service, without a sign, and is
   cold for two seconds.  */
START_TEST (warm_turns_cold)
{
  start_cluster (3, "limit-start = 2\nlimit-max = 8\n", NULL);
  callers_t warm = run_steady (COLD_RATE, 2000);
  ck_assert (cluster_post_json (cluster, cluster->upstreams[0].port,
                                "/control", "{\"cold_ms\":2000}"));
  callers_t cold = run_steady (COLD_RATE, 4000);

  ck_assert (warm.whole >= 0.97 * warm.finished);
  ck_assert (cold.whole >= 0.97 * cold.finished);
  ck_assert_uint_eq (cold.late, 0);
  callers_free (&warm);
  callers_free (&cold);
  passed = true;
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
  TCase *const all[] = { burst, faults, teams, cold };

  tcase_add_test (burst, burst_of_ten_times);
  tcase_add_test (faults, slow_upstream);
  tcase_add_test (faults, failing_upstream);
  tcase_add_test (teams, hot_team);
  tcase_add_test (cold, cold_start);
  tcase_add_test (cold, warm_turns_cold);
  for (size_t i = 0; i < sizeof all / sizeof all[0]; i++)
    {
      tcase_set_timeout (all[i], 60);
      tcase_add_checked_fixture (all[i], NULL, teardown);
      suite_add_tcase (suite, all[i]);
    }
  return suite_run (suite);
}
