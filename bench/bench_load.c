/* Measures the policy package: the simulated outcome of requests under each
   load pattern, compared with the baseline of model.h, and the processor time
   and memory of its decisions.  */

#include "model.h"

#include "base/mem.h"
#include "base/rng.h"
#include "policy/admission.h"
#include "policy/balance.h"

#include <argtable2.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  DECISIONS = 200000,
  EXIT_USAGE = 2
};

/* Print one row.  The ratio is 1 if both values are 0, and infinite if only
   the baseline is 0.  */
static void
print_row (str_t pattern, const char *row_name, double baseline, double ours,
           const char *unit)
{
  double ratio = ours == baseline ? 1 : ours / baseline;

  printf ("bench %.*s%s%s baseline=%.3f ours=%.3f ratio=%.3f unit=%s\n",
          STR_ARG (pattern), pattern.len > 0 ? "-" : "", row_name, baseline,
          ours, ratio, unit);
  fflush (stdout);
}

static double
fraction (uint64_t count, uint64_t all)
{
  return all > 0 ? (double)count / (double)all : 0;
}

static void
bench_pattern (const pattern_t *p, uint64_t seed)
{
  model_result_t baseline = model_run (p, seed, false);
  model_result_t policy = model_run (p, seed, true);

  print_row (p->name, "goodput", baseline.goodput_units_per_s,
             policy.goodput_units_per_s, "units/s");
  print_row (p->name, "answered",
             fraction (baseline.answered, baseline.requests),
             fraction (policy.answered, policy.requests), "share");
  print_row (p->name, "p50-short", baseline.short_p50_ms, policy.short_p50_ms,
             "ms");
  print_row (p->name, "p99-short", baseline.short_p99_ms, policy.short_p99_ms,
             "ms");
  print_row (p->name, "p99-quiet-team", baseline.quiet_p99_ms,
             policy.quiet_p99_ms, "ms");
  print_row (p->name, "answered-quiet-team", baseline.quiet_answered,
             policy.quiet_answered, "share");
  print_row (p->name, "unfairness", baseline.unfairness, policy.unfairness,
             "share");
  print_row (p->name, "refused-at-once",
             fraction (baseline.refused, baseline.requests),
             fraction (policy.refused, policy.requests), "share");
  print_row (
      p->name, "failed-after-wait",
      fraction (baseline.timed_out + baseline.failed, baseline.requests),
      fraction (policy.timed_out + policy.failed, policy.requests), "share");
  print_row (p->name, "attempts",
             fraction (baseline.attempts, baseline.requests),
             fraction (policy.attempts, policy.requests), "per-request");
  print_row (p->name, "dispatches",
             fraction (baseline.dispatched, baseline.requests),
             fraction (policy.dispatched, policy.requests), "per-request");
  if (p->slow + p->failing > 0 || p->cold_at >= 0 || p->new_at >= 0)
    print_row (p->name, "sent-to-bad", baseline.bad_attempt_share,
               policy.bad_attempt_share, "share");
  if (p->zone_in >= 0 || p->cold_at >= 0 || p->new_at >= 0 || p->burst > 0)
    print_row (p->name, "p99-5-to-10s-after", baseline.after_event_p99_ms,
               policy.after_event_p99_ms, "ms");
  if (p->zone_in >= 0 || p->cold_at >= 0 || p->new_at >= 0)
    print_row (p->name, "full-use-after", baseline.recovery_s,
               policy.recovery_s, "s");
  print_row (p->name, "crowding", baseline.load_imbalance,
             policy.load_imbalance, "max/mean");
}

static double
now_ns (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (double)t.tv_sec * 1e9 + (double)t.tv_nsec;
}

/* Return the number of bytes allocated on the heap and in separate
   mappings.  */
static size_t
allocated_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return info.uordblks + info.hblkhd;
}

/* Return a new balance with UPSTREAM_COUNT upstreams in three zones, with half
   of the slots in use on average; the caller destroys it.  */
static balance_t *
create_balance (int upstream_count, clock_iface_t *clock, rng_t *rng,
                upstream_id_t ids[])
{
  static const str_t zones[]
      = { STR ("zone-a"), STR ("zone-b"), STR ("zone-c") };
  str_t pool = STR ("draft@1");
  balance_t *balance = balance_create (STR ("entry-1"), zones[0], clock, rng);

  for (int i = 0; i < upstream_count; i++)
    {
      char name[24];
      int len = snprintf (name, sizeof name, "runner-%d", i);
      balance_load_t load
          = { .in_flight = (uint32_t)rng_below (rng, 9), .slots = 8 };

      ids[i] = balance_update (balance, str_make (name, (size_t)len),
                               zones[i % 3], &pool, 1, false);
      balance_record_load (balance, ids[i], &load, rng_below (rng, 1000));
    }
  return balance;
}

/* Return the mean time of a selection with the start and end of its request,
   in ns.  One request in four has an affinity.  */
static double
time_selection (balance_t *balance, clock_iface_t *clock, rng_t *rng)
{
  balance_request_t request
      = { .pool = balance_find_or_add_pool (balance, STR ("draft@1")) };
  upstream_id_t selected_ids[64] = { 0 };
  double begin_ns = now_ns ();

  for (int i = 0; i < DECISIONS; i++)
    {
      upstream_id_t *selected_id = &selected_ids[i % 64];

      request.affinity = i % 4 == 0 ? rng_u64 (rng) | 1 : BALANCE_NO_AFFINITY;
      if (balance_pick (balance, &request, selected_id) != VH_OK)
        abort ();
      balance_request_started (balance, *selected_id);
      balance_request_ended (balance, selected_ids[(i + 1) % 64], true);
      if (i % 64 == 0)
        clock_manual_advance_us (clock, 1000);
    }
  return (now_ns () - begin_ns) / DECISIONS;
}

/* Return the mean time of a selection by round robin, the baseline, in ns.  */
static double
time_round_robin (int upstream_count, upstream_id_t ids[])
{
  volatile uint32_t checksum = 0;
  volatile int next_index = 0;
  double begin_ns = now_ns ();

  for (int i = 0; i < DECISIONS; i++)
    {
      next_index = next_index + 1 < upstream_count ? next_index + 1 : 0;
      checksum = checksum + ids[next_index];
    }
  return (now_ns () - begin_ns) / DECISIONS;
}

static void
bench_selection (int upstream_count, uint64_t seed)
{
  clock_iface_t *clock = clock_manual_create (0);
  upstream_id_t *ids = mem_zalloc ((size_t)upstream_count * sizeof *ids);
  rng_t rng = rng_make (seed);
  size_t bytes_before = allocated_bytes ();
  balance_t *balance = create_balance (upstream_count, clock, &rng, ids);
  double bytes = (double)(allocated_bytes () - bytes_before) / upstream_count;
  char row_name[48];

  snprintf (row_name, sizeof row_name, "choice-%d", upstream_count);
  time_selection (balance, clock, &rng);
  print_row (STR_NULL, row_name, time_round_robin (upstream_count, ids),
             time_selection (balance, clock, &rng), "ns");
  snprintf (row_name, sizeof row_name, "memory-%d", upstream_count);
  print_row (STR_NULL, row_name, (double)sizeof *ids, bytes, "bytes/upstream");
  balance_destroy (balance);
  free (ids);
  clock_manual_destroy (clock);
}

/* Return the mean time of the baseline's admission, which only counts requests
   and refuses none, in ns.  */
static double
time_no_admission (void)
{
  volatile uint64_t admitted = 0;
  double begin_ns = now_ns ();

  for (int i = 0; i < DECISIONS; i++)
    admitted = admitted + 1;
  return (now_ns () - begin_ns) / DECISIONS;
}

/* Print the time of an admission decision with the record of its result, for
   thirty teams under overload.  */
static void
bench_admission (uint64_t seed)
{
  clock_iface_t *clock = clock_manual_create (0);
  rng_t rng = rng_make (seed);
  admission_t *admission = admission_create (clock, &rng);
  char name[] = "team-00";
  double begin_ns = now_ns ();
  double decision_ns;

  for (int i = 0; i < DECISIONS; i++)
    {
      name[6] = (char)('0' + i % 10);
      name[5] = (char)('0' + i / 10 % 3);
      if (admission_decide (admission, str_from (name), 50,
                            QUEUE_PRIORITY_NORMAL)
          == VH_OK)
        admission_record_result (admission, 50, i % 3 != 0);
      if (i % 10 == 0)
        clock_manual_advance_us (clock, 1000);
    }
  decision_ns = (now_ns () - begin_ns) / DECISIONS;
  print_row (STR_NULL, "admission-30-teams", time_no_admission (), decision_ns,
             "ns");
  admission_destroy (admission);
  clock_manual_destroy (clock);
}

static void
bench_costs (uint64_t seed)
{
  bench_selection (20, seed);
  bench_selection (1000, seed);
  bench_selection (11000, seed);
  bench_admission (seed);
}

static void
bench_all (uint64_t seed)
{
  for (size_t i = 0; pattern_at (i) != NULL; i++)
    bench_pattern (pattern_at (i), seed);
  bench_costs (seed);
}

/* Run the patterns whose name GLOB matches, and the costs of decisions if it
   matches "costs"; return the number of matches.  */
static unsigned
bench_matching (str_t glob, uint64_t seed)
{
  unsigned count = 0;

  for (size_t i = 0; pattern_at (i) != NULL; i++)
    if (str_matches_glob (glob, pattern_at (i)->name))
      {
        bench_pattern (pattern_at (i), seed);
        count++;
      }
  if (str_matches_glob (glob, STR ("costs")))
    {
      bench_costs (seed);
      count++;
    }
  return count;
}

static void
print_help (void **table)
{
  printf ("Usage: bench_load");
  arg_print_syntax (stdout, table, "\n");
  arg_print_glossary (stdout, table, "  %-22s %s\n");
  printf ("Patterns: costs, plain");
  for (size_t i = 0; pattern_at (i) != NULL; i++)
    printf (", %.*s", STR_ARG (pattern_at (i)->name));
  printf ("\nFields, with their defaults:\n");
#define X(field, value, text)                                                 \
  printf ("  %s=%g  %s\n", #field, (double)(value), text);
  PATTERN_FIELDS (X)
#undef X
}

int
main (int argc, char **argv)
{
  struct arg_int *seed = arg_int0 (NULL, "seed", "N", "seed of the load (1)");
  struct arg_str *pattern = arg_str0 (NULL, "pattern", "NAME[,FIELD=VALUE...]",
                                      "run one pattern, with fields changed");
  struct arg_int *seconds
      = arg_int0 (NULL, "seconds", "N", "no effect: simulated time is fixed");
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help");
  struct arg_lit *version = arg_lit0 (NULL, "version", "print the version");
  struct arg_end *end = arg_end (8);
  void *table[] = { seed, pattern, seconds, help, version, end };
  int status = EXIT_SUCCESS;
  uint64_t seed_value = 1;
  pattern_t selected_pattern;

  if (arg_parse (argc, argv, table) > 0)
    {
      arg_print_errors (stderr, end, "bench_load");
      status = EXIT_USAGE;
      goto out;
    }
  if (seed->count > 0)
    seed_value = (uint64_t)seed->ival[0];
  if (help->count > 0)
    print_help (table);
  else if (version->count > 0)
    printf ("bench_load (vanillahook) %s\n", VH_VERSION);
  else if (pattern->count == 0)
    bench_all (seed_value);
  else if (str_eq (str_from (pattern->sval[0]), STR ("costs")))
    bench_costs (seed_value);
  else if (pattern_parse (str_from (pattern->sval[0]), &selected_pattern))
    bench_pattern (&selected_pattern, seed_value);
  else if (bench_matching (str_from (pattern->sval[0]), seed_value) == 0
           && strpbrk (pattern->sval[0], ",=") != NULL)
    {
      fprintf (stderr, "bench_load: unknown pattern or field: %s\n",
               pattern->sval[0]);
      status = EXIT_USAGE;
    }
out:
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}
