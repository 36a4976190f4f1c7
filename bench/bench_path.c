/* What the path through entry and sidecar adds, against straight to the
   engine, in the same run.  Prints

     path-latency-p50, path-latency-p99  microseconds of a small answer, at
                       half of the rate that the path carried at the most
     path-throughput   small answers a second per core: of the engine
                       stand-in's processor time straight, of the entry's
                       through the path

   Both sides take turns in short slices, so that what else the machine does
   falls on both.  */

#include "cluster.h"
#include "standins/common.h"
#include "standins/load.h"
#include "standins/samples.h"

#include <argtable2.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  SLICES = 4, /* Of each side.  */
  FULL_CONCURRENCY = 64,
  HALF_CONCURRENCY = 256, /* A bound; the rate decides.  */
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
  bool over;
} side_t;

static void
on_finished (void *arg, const loadgen_result_t *result)
{
  side_t *side = arg;

  side->finished++;
  side->failed += !result->whole;
  side->wrong += result->wrong;
  samples_add (&side->latency, result->total_us);
}

static void
on_over (void *arg)
{
  ((side_t *)arg)->over = true;
}

/* Load SIDE for MS at RATE a second (0: as fast as it goes).  */
static void
run_load (side_t *side, uint64_t ms, double rate, uint64_t seed)
{
  const loadgen_options_t options
      = { .targets = &side->target,
          .target_count = 1,
          .concurrency = rate > 0 ? HALF_CONCURRENCY : FULL_CONCURRENCY,
          .rate = rate,
          .duration_ms = ms,
          .seed = seed,
          .api_key = STR (CLUSTER_API_KEY),
          .model = STR ("draft-small@3"),
          .max_tokens = ANSWER_TOKENS,
          .prompt_bytes = 64,
          .finished = on_finished,
          .over = on_over,
          .arg = side };
  uv_loop_t loop;

  side->over = false;
  uv_loop_init (&loop);
  load_t *load = loadgen_create (&loop, &options);
  while (!side->over)
    uv_run (&loop, UV_RUN_ONCE);
  loadgen_destroy (load);
  uv_run (&loop, UV_RUN_DEFAULT);
  uv_loop_close (&loop);
}

static void
side_reset (side_t *side)
{
  samples_free (&side->latency);
  side->finished = 0;
}

static str_t row_pattern;

static bool
any_wanted (void)
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

/* Requests a second per core that PROC used, loading SIDE for MS in all;
 *RATE is what it carried by the clock.  */
static double
measure_throughput (side_t *side, const proc_t *proc, uint64_t ms,
                    uint64_t seed, double *rate)
{
  uint64_t cpu = proc_read_cpu_us (proc);
  uint64_t began = harness_now_ms ();

  side_reset (side);
  run_load (side, ms, 0, seed);
  double seconds = (double)(harness_now_ms () - began) / 1000;
  double busy = (double)(proc_read_cpu_us (proc) - cpu) / 1e6;
  *rate = (double)side->finished / seconds;
  return busy > 0 ? (double)side->finished / busy : 0;
}

static void
measure (cluster_t *cluster, uint64_t ms, uint64_t seed, side_t *straight,
         side_t *path)
{
  const cluster_upstream_t *engine = &cluster->upstreams[0];
  uint64_t slice = ms / (4 * (uint64_t)SLICES);
  double straight_rate = 0;
  double path_rate = 0;
  double straight_core = 0;
  double path_core = 0;

  run_load (straight, WARM_UP_MS, 0, seed);
  run_load (path, WARM_UP_MS, 0, seed);
  for (int i = 0; i < SLICES; i++)
    {
      double rate;
      straight_core += measure_throughput (straight, engine->proc, slice,
                                           seed + 1, &rate);
      straight_rate += rate;
      path_core += measure_throughput (path, cluster->entries[0].proc, slice,
                                       seed + 2, &rate);
      path_rate += rate;
    }
  side_reset (straight);
  side_reset (path);
  double half = path_rate / SLICES / 2;
  for (int i = 0; i < SLICES; i++)
    {
      run_load (straight, slice, half, seed + 3);
      run_load (path, slice, half, seed + 4);
    }
  print_row ("path-latency-p50",
             (double)samples_quantile (&straight->latency, 0.5),
             (double)samples_quantile (&path->latency, 0.5), "us");
  print_row ("path-latency-p99",
             (double)samples_quantile (&straight->latency, 0.99),
             (double)samples_quantile (&path->latency, 0.99), "us");
  print_row ("path-throughput", straight_core / SLICES, path_core / SLICES,
             "requests/s/core");
  fprintf (stderr,
           "bench_path: by the clock %.0f/s straight, %.0f/s through the "
           "path; latency at %.0f/s\n",
           straight_rate / SLICES, path_rate / SLICES, half);
}

static int
run (uint64_t seconds, uint64_t seed)
{
  const cluster_options_t options
      = { .entries = 1,
          .small_engines = 1,
          .one_zone = true,
          .engine_args
          = { "--token-ms=0", "--slots=1000", "--max-running=4000" },
          .sidecar_keys = "limit-start = 512\nlimit-max = 1024\n"
                          "queue-max = 4096\n" };
  cluster_t *cluster = cluster_create (&options);
  char addresses[2][40];
  side_t sides[2] = { { .over = false }, { .over = false } };

  if (cluster == NULL)
    return EXIT_FAILURE;
  snprintf (addresses[0], sizeof addresses[0], "%s:%u", cluster->host,
            cluster->upstreams[0].port);
  snprintf (addresses[1], sizeof addresses[1], "%s:%u", cluster->host,
            cluster->entries[0].port);
  for (size_t i = 0; i < 2; i++)
    sides[i].target = str_from (addresses[i]);
  measure (cluster, seconds * 1000, seed, &sides[0], &sides[1]);
  bool failed = false;
  for (size_t i = 0; i < 2; i++)
    {
      if (sides[i].failed + sides[i].wrong > 0)
        {
          fprintf (stderr,
                   "bench_path: %s: %" PRIu64 " failed, %" PRIu64 " wrong\n",
                   i == 0 ? "straight" : "path", sides[i].failed,
                   sides[i].wrong);
          failed = true;
        }
      samples_free (&sides[i].latency);
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
                      "Measures what the path adds to straight calls.");
  if (seconds->ival[0] < 1 || seconds->ival[0] > SECONDS_MAX)
    {
      fprintf (stderr, "bench_path: 1 to %d seconds\n", SECONDS_MAX);
      return 2;
    }
  row_pattern = str_from (pattern->sval[0]);
  int status = EXIT_SUCCESS;
  if (any_wanted ())
    status = run ((uint64_t)seconds->ival[0], (uint64_t)seed->ival[0]);
  arg_freetable (argtable, sizeof argtable / sizeof argtable[0]);
  return status;
}
