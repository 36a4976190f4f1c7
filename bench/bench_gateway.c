/* Measures how the processor time and memory of the gateway's parts grow with
   the number of instances, routes and entries.  Prints rows in the format of
   bench_slopes, and one `bench' row for the cost of a decision.  */

#include "points.h"

#include "gateway/catalog.h"
#include "policy/escalation.h"
#include "policy/pool.h"
#include "policy/trial.h"

#include "base/rng.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  RUNS = 5,
  ZONES = 10,
  START_S = 1700000000
};

/* Selection of an instance.  */

/* Return a new pool of INSTANCE_COUNT instances of one service in ten zones;
   the caller destroys it.  */
static pool_t *
create_pool (clock_iface_t *clock, int instance_count)
{
  const pool_options_t options = { .zone = STR ("zone-0") };
  pool_t *pool = pool_create (clock, 7, &options);
  char name[32];
  char zone[32];

  for (int i = 0; i < instance_count; i++)
    {
      const upstream_info_t info
          = { .id = format_name (name, sizeof name, "runner", i),
              .service = STR ("drafts"),
              .address = STR ("10.0.0.1:80"),
              .zone = format_name (zone, sizeof zone, "zone", i % ZONES),
              .version = STR ("v1"),
              .slots = 128 };
      pool_put (pool, &info);
    }
  return pool;
}

/* Return the mean processor time of a selection, in ns.  Every second
   selection has an affinity key.  */
static double
time_selections (pool_t *pool, rng_t *rng, int selections)
{
  double begin_ns = cpu_time_ns ();

  for (int i = 0; i < selections; i++)
    {
      const pool_criteria_t criteria
          = { .service = STR ("drafts"),
              .affinity_key = i % 2 == 0 ? rng_u64 (rng) | 1 : 0 };
      upstream_t *upstream;
      if (pool_select (pool, &criteria, &upstream) != VH_OK)
        abort ();
      pool_request_started (pool, upstream, 1000);
      pool_request_finished (pool, upstream, 1000, SEND_OK);
    }
  return (cpu_time_ns () - begin_ns) / selections;
}

static void
bench_pool (void)
{
  static const int sizes[] = { 20, 200, 2000, 5000, 11000 };
  points_t cpu = { 0 };
  points_t memory = { 0 };

  for (size_t s = 0; s < sizeof sizes / sizeof sizes[0]; s++)
    {
      clock_iface_t *clock = clock_manual_create (START_S);
      rng_t rng = rng_make (7);
      double heap_before = heap_used_bytes ();
      pool_t *pool = create_pool (clock, sizes[s]);
      points_add (&memory, sizes[s], heap_used_bytes () - heap_before);
      double best_ns = INFINITY;
      for (int run = 0; run < RUNS; run++)
        best_ns = fmin (best_ns, time_selections (pool, &rng, 200));
      points_add (&cpu, sizes[s], best_ns);
      pool_destroy (pool);
      clock_manual_destroy (clock);
    }
  points_print_fit (&cpu, "gateway-choose-cpu", "ns/instance");
  points_print_fit (&memory, "gateway-pool-memory", "bytes/instance");
}

/* Print the time to match a route, and the memory of the routes, by the
   number of routes in the catalog.  */
static void
bench_catalog (void)
{
  static const int sizes[] = { 10, 100, 1000, 5000 };
  points_t cpu = { 0 };
  points_t memory = { 0 };

  for (size_t s = 0; s < sizeof sizes / sizeof sizes[0]; s++)
    {
      double heap_before = heap_used_bytes ();
      catalog_t *catalog = catalog_create (1);
      char prefix[32];
      for (int i = 0; i < sizes[s]; i++)
        {
          snprintf (prefix, sizeof prefix, "/r%d/", i);
          const route_t route = { .name = str_from (prefix),
                                  .host = STR ("desk.example"),
                                  .path_prefix = str_from (prefix) };
          catalog_add_route (catalog, &route);
        }
      points_add (&memory, sizes[s], heap_used_bytes () - heap_before);
      double begin_ns = cpu_time_ns ();
      for (int i = 0; i < 20000; i++)
        {
          snprintf (prefix, sizeof prefix, "/r%d/a/b", i % sizes[s]);
          if (catalog_match_route (catalog, STR ("desk.example"),
                                   str_from (prefix))
              == NULL)
            abort ();
        }
      points_add (&cpu, sizes[s], (cpu_time_ns () - begin_ns) / 20000);
      catalog_unref (catalog);
    }
  points_print_fit (&cpu, "gateway-route-cpu", "ns/route");
  points_print_fit (&memory, "gateway-route-memory", "bytes/route");
}

/* Print the time to decide on a roll-out, by the number of entries whose
   samples are merged.  */
static void
bench_trial (void)
{
  static const int sizes[] = { 1, 10, 100, 730 };
  points_t cpu = { 0 };

  for (size_t s = 0; s < sizeof sizes / sizeof sizes[0]; s++)
    {
      trial_t *trial
          = trial_create (STR ("drafts"), STR ("v2"), 1, 60000, 0.15);
      buf_t text = BUF_NULL;
      buf_t reason = BUF_NULL;
      char name[32];
      trial_set_progress (trial, 1, 1, 1);
      trial_observe (trial, TRIAL_ARM_NEW, 1, false, 100, false);
      trial_write (trial, true, &text);
      for (int i = 0; i < sizes[s]; i++)
        trial_merge (trial, format_name (name, sizeof name, "entry", i), false,
                     buf_str (&text));
      double begin_ns = cpu_time_ns ();
      for (int i = 0; i < 200; i++)
        if (trial_decide (trial, 2, false, &reason) == TRIAL_DECISION_FINISH)
          abort ();
      points_add (&cpu, sizes[s], (cpu_time_ns () - begin_ns) / 200 / 1e3);
      buf_free (&text);
      buf_free (&reason);
      trial_destroy (trial);
    }
  points_print_fit (&cpu, "gateway-judge-cpu", "us/entry");
}

static int
compare_doubles (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return x < y ? -1 : x > y;
}

/* Print the median time of a decision among 45 instances whether to send a
   request again: select the instance for the second send and compute the gain
   from it.  The baseline is the upper bound that the decision must keep.  If
   HAS_TIME_FACTORS is true, the instances report time factors.  */
static void
bench_decision (bool has_time_factors)
{
  enum
  {
    INSTANCES = 45,
    SAMPLES = 1000,
    DECISIONS_PER_SAMPLE = 20 /* Decisions between two reads of the clock.  */
  };
  static const double decision_bound_ns = 2000;
  static const escalation_options_t options = { .value_per_1k_tokens = 0.55,
                                                .priority_value_ratio = 0.5,
                                                .late_value_ratio = 0.3,
                                                .poor_value_ratio = 0.05,
                                                .confidence_stddev = 5 };
  static double sample_ns[SAMPLES];
  clock_iface_t *clock = clock_manual_create (START_S);
  rng_t rng = rng_make (7);
  pool_t *pool = create_pool (clock, INSTANCES);
  escalation_t *escalation = escalation_create (&options);
  double total_gain = 0;

  for (int i = 0; i < INSTANCES && has_time_factors; i++)
    {
      char name[32];
      str_t id = format_name (name, sizeof name, "runner", i);
      pool_record_time_factor (pool, pool_find (pool, id),
                               i % 4 == 0 ? 55 : 120);
    }
  for (int i = 0; i < 200; i++)
    for (size_t model = 0; model < 2; model++)
      escalation_record_wait (escalation, model,
                              (uint32_t)rng_below (&rng, 20000),
                              100 + rng_below (&rng, 500), 2000);
  for (int sample = 0; sample < SAMPLES; sample++)
    {
      double begin_ns = cpu_time_ns ();
      for (int i = 0; i < DECISIONS_PER_SAMPLE; i++)
        {
          const pool_criteria_t criteria
              = { .service = STR ("drafts"),
                  .affinity_key = rng_u64 (&rng) | 1 };
          upstream_t *upstream;
          if (pool_select (pool, &criteria, &upstream) != VH_OK)
            abort ();
          const escalation_candidate_t candidate
              = { .model = 1,
                  .cost = 0.25,
                  .running_requests
                  = upstream_request_count (pool, upstream) };
          const escalation_request_t request
              = { .cost = 0.017,
                  .prompt_tokens = (uint32_t)rng_below (&rng, 30000),
                  .output_tokens = 300,
                  .confidence = (uint32_t)rng_below (&rng, 101),
                  .objective_ms = 2000,
                  .max_pause_ms = 1200,
                  .candidates = &candidate,
                  .candidate_count = 1 };
          total_gain += escalation_gain (escalation, &request, 0);
        }
      sample_ns[sample] = (cpu_time_ns () - begin_ns) / DECISIONS_PER_SAMPLE;
    }
  qsort (sample_ns, SAMPLES, sizeof *sample_ns, compare_doubles);
  if (isnan (total_gain))
    abort ();
  printf ("bench %s baseline=%.3f ours=%.3f ratio=%.3f unit=ns\n",
          has_time_factors ? "decision-cost-time-factors" : "decision-cost",
          decision_bound_ns, sample_ns[SAMPLES / 2],
          sample_ns[SAMPLES / 2] / decision_bound_ns);
  escalation_destroy (escalation);
  pool_destroy (pool);
  clock_manual_destroy (clock);
}

int
main (void)
{
  bench_decision (false);
  bench_decision (true);
  bench_pool ();
  bench_catalog ();
  bench_trial ();
  return EXIT_SUCCESS;
}
