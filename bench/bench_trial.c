/* Chance that a version is declared good, and what callers get of it, by how
   bad it is, in which way, and at which rate: one line a combination, in
   Markdown.  */

#include "rollout_model.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  SEED_DEFAULT = 1001,
  SEEDS_DEFAULT = 200
};

static const double shares[] = { 0.1, 0.15, 0.25, 0.35, 0.5, 0.8 };

static const rollout_setting_t settings[] = {
  { 8000, 30, 0 },  { 12000, 30, 0 }, { 16000, 30, 0 },  { 30000, 30, 0 },
  { 16000, 10, 0 }, { 30000, 10, 0 }, { 16000, 300, 0 }, { 30000, 300, 0 },
};

/* A way of being bad, with 1 in place of the share.  */
static const rollout_badness_t ways[] = {
  { "errors", .failure_share = 1, .bad_route = -1 },
  { "slow", .slow_share = 1, .bad_route = -1 },
  { "breaks off", .lost_share = 1, .bad_route = -1 },
  { "errors on one route of three", .failure_share = 1, .bad_route = 1 },
  { "errors from 0.7 of the limit", .failure_share = 1, .bad_route = -1,
    .bad_from_part = 0.7 },
  { "errors after the decision", .failure_share = 1, .bad_route = -1,
    .bad_from_part = 1 },
};

static const rollout_trouble_t calm = { .name = "none", .wait_factor = 1 };

typedef struct
{
  uint64_t first;
  uint64_t count;
} seeds_t;

/* Print a line for versions that are bad in WAY, a share of SHARE.  */
static void
print_line (const rollout_badness_t *way, double share,
            const rollout_setting_t *setting, const seeds_t *seeds)
{
  rollout_badness_t badness = *way;
  double done = 0;
  double reverted_late = 0;
  double bad_answers = 0;
  double broken = 0;
  uint64_t latest_ms = 0;

  badness.failure_share *= share;
  badness.lost_share *= share;
  badness.slow_share *= share;
  for (uint64_t i = 0; i < seeds->count; i++)
    {
      rollout_result_t result
          = rollout_model_run (&badness, &calm, setting, seeds->first + i);
      done += result.was_done;
      reverted_late += result.phase == TRIAL_PHASE_WITHDRAWN;
      bad_answers += result.bad_answers;
      broken += result.late_requests > 0;
      if (result.latest_send_ms > latest_ms)
        latest_ms = result.latest_send_ms;
    }
  double count = (double)seeds->count;
  printf ("| %s | %.2f | %d | %llu | %.3f | %.3f | %.0f | %.1f | %.3f |\n",
          way->name, share, setting->requests_per_s,
          (unsigned long long)setting->time_limit_ms / 1000, done / count,
          reverted_late / count, bad_answers / count, (double)latest_ms / 1000,
          broken / count);
}

int
main (int argc, char **argv)
{
  struct arg_int *seed
      = arg_int0 (NULL, "seed", "N", "first seed, 1001 by default");
  struct arg_int *seeds
      = arg_int0 (NULL, "seeds", "N", "number of seeds, 200 by default");
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help");
  struct arg_lit *version = arg_lit0 (NULL, "version", "print the version");
  struct arg_end *end = arg_end (4);
  void *table[] = { seed, seeds, help, version, end };
  int status = EXIT_FAILURE;

  if (arg_nullcheck (table) != 0)
    goto free_table;
  seed->ival[0] = SEED_DEFAULT;
  seeds->ival[0] = SEEDS_DEFAULT;
  int errors = arg_parse (argc, argv, table);
  if (help->count > 0 || version->count > 0)
    {
      if (version->count > 0)
        puts ("bench_trial (vanillahook)");
      else
        arg_print_glossary (stdout, table, "  %-12s %s\n");
      status = EXIT_SUCCESS;
      goto free_table;
    }
  if (errors > 0 || seeds->ival[0] < 1)
    {
      arg_print_errors (stderr, end, "bench_trial");
      goto free_table;
    }
  const seeds_t range = { .first = (uint64_t)seed->ival[0],
                          .count = (uint64_t)seeds->ival[0] };
  puts (
      "| way | share | requests/s | limit, s | done | withdrawn | bad answers "
      "| latest send, s | bound broken |\n"
      "|---|---|---|---|---|---|---|---|---|");
  for (size_t at = 0; at < sizeof settings / sizeof settings[0]; at++)
    {
      static const rollout_badness_t good
          = { "a good version", .bad_route = -1 };
      print_line (&good, 0, &settings[at], &range);
      for (size_t way = 0; way < sizeof ways / sizeof ways[0]; way++)
        for (size_t i = 0; i < sizeof shares / sizeof shares[0]; i++)
          print_line (&ways[way], shares[i], &settings[at], &range);
    }
  status = EXIT_SUCCESS;
free_table:
  arg_freetable (table, sizeof table / sizeof table[0]);
  return status;
}
