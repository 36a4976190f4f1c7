/* Measures the overhead of the path through entry and sidecar, compared with
   direct calls to the engine in the same run.  Prints

     path-latency-p50, path-latency-p99  latency of a small answer in
                       microseconds, at half of the path's maximum rate
     path-throughput   small answers per second of processor time: that of the
                       engine stand-in for direct calls, that of the entry for
                       the path

   Direct calls and the path alternate in short slices, so that other load on
   the machine affects both alike.  */

#include "cluster.h"
#include "standins/common.h"
#include "standins/loadgen.h"
#include "standins/samples.h"

#include <argtable2.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  SLICES = 4, /* Number of slices for direct calls and for the path each.  */
  MAX_RATE_CONCURRENCY = 64,
  /* An upper bound only: at half rate, the rate limits the load.  */
  HALF_RATE_CONCURRENCY = 256,
  WARM_UP_MS = 300,
  ANSWER_TOKENS = 4,
  SECONDS_MAX = 120
};

typedef struct
{
  str_t target;
  samples_t latency;
  uint64_t finished;
  uint64_t failed;
  uint64_t wrong;
  bool is_over;
} target_load_t;

static void
on_request_finished (void *arg, const loadgen_result_t *result)
{
  target_load_t *target_load = arg;

  target_load->finished++;
  target_load->failed += !result->is_complete;
  target_load->wrong += result->has_wrong_body;
  samples_add (&target_load->latency, result->total_us);
}

static void
on_load_over (void *arg)
{
  ((target_load_t *)arg)->is_over = true;
}

/* Send requests to TARGET_LOAD's address for DURATION_MS at RATE per second
   (0: as many as the concurrency allows).  */
static void
generate_load (target_load_t *target_load, uint64_t duration_ms, double rate,
               uint64_t seed)
{
  const loadgen_options_t options
      = { .targets = &target_load->target,
          .target_count = 1,
          .concurrency
          = rate > 0 ? HALF_RATE_CONCURRENCY : MAX_RATE_CONCURRENCY,
          .rate = rate,
          .duration_ms = duration_ms,
          .seed = seed,
          .api_key = STR (CLUSTER_API_KEY),
          .model = STR ("draft-small@3"),
          .max_tokens = ANSWER_TOKENS,
          .prompt_bytes = 64,
          .on_result = on_request_finished,
          .on_complete = on_load_over,
          .arg = target_load };
  uv_loop_t loop;

  target_load->is_over = false;
  uv_loop_init (&loop);
  loadgen_t *load = loadgen_create (&loop, &options);
  while (!target_load->is_over)
    uv_run (&loop, UV_RUN_ONCE);
  loadgen_destroy (load);
  uv_run (&loop, UV_RUN_DEFAULT);
  uv_loop_close (&loop);
}

static void
reset_load (target_load_t *target_load)
{
  samples_free (&target_load->latency);
  target_load->finished = 0;
}

static str_t row_pattern;

static bool
is_any_row_wanted (void)
{
  return str_matches_glob (row_pattern, STR ("path-latency-p50"))
         || str_matches_glob (row_pattern, STR ("path-latency-p99"))
         || str_matches_glob (row_pattern, STR ("path-throughput"));
}

static void
print_row (const char *name, double baseline, double ours, const char *unit)
{
  if (!str_matches_glob (row_pattern, str_from (name)))
    return;
  printf ("bench %s baseline=%.1f ours=%.1f ratio=%.3f unit=%s\n", name,
          baseline, ours, baseline > 0 ? ours / baseline : 0, unit);
}

/* Load TARGET_LOAD's address for DURATION_MS.  Return the requests finished
   per second of PROC's processor time; store the requests per second of real
   time in *RATE.  */
static double
measure_throughput (target_load_t *target_load, const proc_t *proc,
                    uint64_t duration_ms, uint64_t seed, double *rate)
{
  uint64_t cpu_before_us = proc_read_cpu_us (proc);
  uint64_t began_ms = harness_now_ms ();

  reset_load (target_load);
  generate_load (target_load, duration_ms, 0, seed);
  double seconds = (double)(harness_now_ms () - began_ms) / 1000;
  double cpu_s = (double)(proc_read_cpu_us (proc) - cpu_before_us) / 1e6;
  *rate = (double)target_load->finished / seconds;
  return cpu_s > 0 ? (double)target_load->finished / cpu_s : 0;
}

static void
measure (cluster_t *cluster, uint64_t duration_ms, uint64_t seed,
         target_load_t *direct, target_load_t *path)
{
  const cluster_upstream_t *engine = &cluster->upstreams[0];
  uint64_t slice_ms = duration_ms / (4 * (uint64_t)SLICES);
  double direct_rate = 0;
  double path_rate = 0;
  double direct_core_rate = 0;
  double path_core_rate = 0;

  generate_load (direct, WARM_UP_MS, 0, seed);
  generate_load (path, WARM_UP_MS, 0, seed);
  for (int i = 0; i < SLICES; i++)
    {
      double rate;
      direct_core_rate += measure_throughput (direct, engine->proc, slice_ms,
                                              seed + 1, &rate);
      direct_rate += rate;
      path_core_rate += measure_throughput (path, cluster->entries[0].proc,
                                            slice_ms, seed + 2, &rate);
      path_rate += rate;
    }
  reset_load (direct);
  reset_load (path);
  double half_rate = path_rate / SLICES / 2;
  for (int i = 0; i < SLICES; i++)
    {
      generate_load (direct, slice_ms, half_rate, seed + 3);
      generate_load (path, slice_ms, half_rate, seed + 4);
    }
  print_row ("path-latency-p50",
             (double)samples_quantile (&direct->latency, 0.5),
             (double)samples_quantile (&path->latency, 0.5), "us");
  print_row ("path-latency-p99",
             (double)samples_quantile (&direct->latency, 0.99),
             (double)samples_quantile (&path->latency, 0.99), "us");
  print_row ("path-throughput", direct_core_rate / SLICES,
             path_core_rate / SLICES, "requests/s/core");
  fprintf (stderr,
           "bench_path: real-time rate %.0f/s direct, %.0f/s through the "
           "path; latency at %.0f/s\n",
           direct_rate / SLICES, path_rate / SLICES, half_rate);
}

static int
run (uint64_t seconds, uint64_t seed)
{
  const cluster_options_t options
      = { .entries = 1,
          .small_engines = 1,
          .single_zone = true,
          .engine_args
          = { "--token-ms=0", "--slots=1000", "--max-running=4000" },
          .sidecar_settings = "limit-start = 512\nlimit-max = 1024\n"
                              "queue-max = 4096\n" };
  cluster_t *cluster = cluster_create (&options);
  char addresses[2][40];
  target_load_t loads[2] = { { .is_over = false }, { .is_over = false } };

  if (cluster == NULL)
    return EXIT_FAILURE;
  snprintf (addresses[0], sizeof addresses[0], "%s:%u", cluster->host,
            cluster->upstreams[0].port);
  snprintf (addresses[1], sizeof addresses[1], "%s:%u", cluster->host,
            cluster->entries[0].port);
  for (size_t i = 0; i < 2; i++)
    loads[i].target = str_from (addresses[i]);
  measure (cluster, seconds * 1000, seed, &loads[0], &loads[1]);
  bool failed = false;
  for (size_t i = 0; i < 2; i++)
    {
      if (loads[i].failed + loads[i].wrong > 0)
        {
          fprintf (stderr,
                   "bench_path: %s: %" PRIu64 " failed, %" PRIu64 " wrong\n",
                   i == 0 ? "direct" : "path", loads[i].failed,
                   loads[i].wrong);
          failed = true;
        }
      samples_free (&loads[i].latency);
    }
  cluster_destroy (cluster, failed);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help");
  struct arg_int *seconds
      = arg_int0 (NULL, "seconds", "N", "length of the run (8)");
  struct arg_int *seed = arg_int0 (NULL, "seed", "N", "of the prompts (1)");
  struct arg_str *pattern
      = arg_str0 (NULL, "pattern", "NAME", "rows to print; may hold '*'");
  struct arg_end *end = arg_end (5);
  void *argtable[] = { help, seconds, seed, pattern, end };

  seconds->ival[0] = 8;
  seed->ival[0] = 1;
  pattern->sval[0] = "*";
  standin_parse_args (argc, argv, argtable,
                      "Measures the overhead of the path over direct calls.");
  if (seconds->ival[0] < 1 || seconds->ival[0] > SECONDS_MAX)
    {
      fprintf (stderr, "bench_path: 1 to %d seconds\n", SECONDS_MAX);
      return 2;
    }
  row_pattern = str_from (pattern->sval[0]);
  int status = EXIT_SUCCESS;
  if (is_any_row_wanted ())
    status = run ((uint64_t)seconds->ival[0], (uint64_t)seed->ival[0]);
  arg_freetable (argtable, sizeof argtable / sizeof argtable[0]);
  return status;
}
