/* Measures the policy package: what callers receive under each load pattern,
   against the plain baseline, and what one decision costs.  */

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

/* Print one row.  Two of nothing are equal; against nothing the ratio is
   infinite.  */
static void
print_row (str_t pattern, const char *what, double baseline, double ours,
           const char *unit)
{
  double ratio = ours == baseline ? 1 : ours / baseline;

  printf ("bench %.*s%s%s baseline=%.3f ours=%.3f ratio=%.3f unit=%s\n",
          STR_ARG (pattern), pattern.len > 0 ? "-" : "", what, baseline, ours,
          ratio, unit);
  fflush (stdout);
}

static double
part (uint64_t count, uint64_t all)
{
  return all > 0 ? (double)count / (double)all : 0;
}

static void
bench_pattern (const pattern_t *p, uint64_t seed)
{
  outcome_t a = model_run (p, seed, false);
  outcome_t b = model_run (p, seed, true);

  print_row (p->name, "goodput", a.goodput, b.goodput, "units/s");
  print_row (p->name, "answered", part (a.answered, a.requests),
             part (b.answered, b.requests), "share");
  print_row (p->name, "p50-short", a.short_p50_ms, b.short_p50_ms, "ms");
  print_row (p->name, "p99-short", a.short_p99_ms, b.short_p99_ms, "ms");
  print_row (p->name, "p99-quiet-team", a.quiet_p99_ms, b.quiet_p99_ms, "ms");
  print_row (p->name, "answered-quiet-team", a.quiet_answered,
             b.quiet_answered, "share");
  print_row (p->name, "unfairness", a.unfairness, b.unfairness, "share");
  print_row (p->name, "refused-at-once", part (a.refused, a.requests),
             part (b.refused, b.requests), "share");
  print_row (p->name, "failed-after-wait",
             part (a.lapsed + a.errors, a.requests),
             part (b.lapsed + b.errors, b.requests), "share");
  print_row (p->name, "attempts", part (a.attempts, a.requests),
             part (b.attempts, b.requests), "per-request");
  print_row (p->name, "dispatches", part (a.dispatched, a.requests),
             part (b.dispatched, b.requests), "per-request");
  if (p->slow + p->failing > 0 || p->cold_at >= 0 || p->new_at >= 0)
    print_row (p->name, "sent-to-bad", a.bad_share, b.bad_share, "share");
  if (p->zone_in >= 0 || p->cold_at >= 0 || p->new_at >= 0 || p->burst > 0)
    print_row (p->name, "p99-5-to-10s-after", a.after_p99_ms, b.after_p99_ms,
               "ms");
  if (p->zone_in >= 0 || p->cold_at >= 0 || p->new_at >= 0)
    print_row (p->name, "full-use-after", a.full_use_s, b.full_use_s, "s");
  print_row (p->name, "crowding", a.crowding, b.crowding, "max/mean");
}

static double
now_ns (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (double)t.tv_sec * 1e9 + (double)t.tv_nsec;
}

/* Return the bytes allocated, in the heap and in mappings of their own.  */
static size_t
allocated (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return info.uordblks + info.hblkhd;
}

/* Make N upstreams known in three zones, with half of the slots in use.  */
static balance_t *
fill_balance (int n, clock_iface_t *clock, rng_t *rng, upstream_id_t ids[])
{
  static const str_t zones[]
      = { STR ("zone-a"), STR ("zone-b"), STR ("zone-c") };
  str_t pool = STR ("draft@1");
  balance_t *balance = balance_create (STR ("entry-1"), zones[0], clock, rng);

  for (int i = 0; i < n; i++)
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

/* Return the nanoseconds of a choice with its count of what is in flight; one
   in four has an affinity.  */
static double
time_choice (balance_t *balance, clock_iface_t *clock, rng_t *rng)
{
  balance_request_t request
      = { .pool = balance_find_or_add_pool (balance, STR ("draft@1")) };
  upstream_id_t held[64] = { 0 };
  double begin = now_ns ();

  for (int i = 0; i < DECISIONS; i++)
    {
      upstream_id_t *slot = &held[i % 64];

      request.affinity = i % 4 == 0 ? rng_u64 (rng) | 1 : BALANCE_NO_AFFINITY;
      if (balance_pick (balance, &request, slot) != VH_OK)
        abort ();
      balance_request_started (balance, *slot);
      balance_request_ended (balance, held[(i + 1) % 64], true);
      if (i % 64 == 0)
        clock_manual_advance_us (clock, 1000);
    }
  return (now_ns () - begin) / DECISIONS;
}

/* Return the nanoseconds of the plain side's choice: the next in turn.  */
static double
time_round_robin (int n, upstream_id_t ids[])
{
  volatile uint32_t sink = 0;
  volatile int turn = 0;
  double begin = now_ns ();

  for (int i = 0; i < DECISIONS; i++)
    {
      turn = turn + 1 < n ? turn + 1 : 0;
      sink = sink + ids[turn];
    }
  return (now_ns () - begin) / DECISIONS;
}

static void
bench_choice (int n, uint64_t seed)
{
  clock_iface_t *clock = clock_manual_create (0);
  upstream_id_t *ids = mem_zalloc ((size_t)n * sizeof *ids);
  rng_t rng = rng_make (seed);
  size_t before = allocated ();
  balance_t *balance = fill_balance (n, clock, &rng, ids);
  double bytes = (double)(allocated () - before) / n;
  char what[48];

  snprintf (what, sizeof what, "choice-%d", n);
  time_choice (balance, clock, &rng);
  print_row (STR_NULL, what, time_round_robin (n, ids),
             time_choice (balance, clock, &rng), "ns");
  snprintf (what, sizeof what, "memory-%d", n);
  print_row (STR_NULL, what, (double)sizeof *ids, bytes, "bytes/upstream");
  balance_destroy (balance);
  free (ids);
  clock_manual_destroy (clock);
}

/* Return the nanoseconds of the plain side's admission: none is refused.  */
static double
time_no_admission (void)
{
  volatile uint64_t admitted = 0;
  double begin = now_ns ();

  for (int i = 0; i < DECISIONS; i++)
    admitted = admitted + 1;
  return (now_ns () - begin) / DECISIONS;
}

/* Print the cost of a decision with its result, for thirty teams in
   overload.  */
static void
bench_admission (uint64_t seed)
{
  clock_iface_t *clock = clock_manual_create (0);
  rng_t rng = rng_make (seed);
  admission_t *admission = admission_create (clock, &rng);
  char name[] = "team-00";
  double begin = now_ns ();
  double spent;

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
  spent = (now_ns () - begin) / DECISIONS;
  print_row (STR_NULL, "admission-30-teams", time_no_admission (), spent,
             "ns");
  admission_destroy (admission);
  clock_manual_destroy (clock);
}

static void
bench_costs (uint64_t seed)
{
  bench_choice (20, seed);
  bench_choice (1000, seed);
  bench_choice (11000, seed);
  bench_admission (seed);
}

static void
bench_all (uint64_t seed)
{
  for (size_t i = 0; pattern_at (i) != NULL; i++)
    bench_pattern (pattern_at (i), seed);
  bench_costs (seed);
}

/* Run the patterns and costs whose rows GLOB may match; return how many.  */
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
  uint64_t number = 1;
  pattern_t wanted;

  if (arg_parse (argc, argv, table) > 0)
    {
      arg_print_errors (stderr, end, "bench_load");
      status = EXIT_USAGE;
      goto out;
    }
  if (seed->count > 0)
    number = (uint64_t)seed->ival[0];
  if (help->count > 0)
    print_help (table);
  else if (version->count > 0)
    printf ("bench_load (vanillahook) %s\n", VH_VERSION);
  else if (pattern->count == 0)
    bench_all (number);
  else if (str_eq (str_from (pattern->sval[0]), STR ("costs")))
    bench_costs (number);
  else if (pattern_parse (str_from (pattern->sval[0]), &wanted))
    bench_pattern (&wanted, number);
  else if (bench_matching (str_from (pattern->sval[0]), number) == 0
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
