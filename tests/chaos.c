/* A mixed run: load on a small fleet while faults come and go, up to two at
   a time, on a schedule drawn from a seed.  Prints what was injected, what
   callers saw and how often each promise was broken; exits 1 when one was.
   Sessions, departures and cold starts have their own tests and are not
   judged here.  */

#include "cluster.h"
#include "runner.h"
#include "standins/common.h"

#include "base/mem.h"
#include "base/rng.h"

#include <argtable2.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  SECONDS_MAX = 600,
  WAIT_MS = 20000,
  FEW_SECONDS_MS = 3000,
  SETTLE_MS = 3000,
  /* A sidecar that holds the bills of a dead entry waits 20 s for a sign of
     it before it gives them to another.  */
  BILL_WAIT_MS = 45000,
  PROCS_MAX = CLUSTER_ENTRIES_MAX + CLUSTER_UPSTREAMS_MAX
};

/* X (symbol, what is printed).  */
#define PROMISES(X)                                                           \
  X (PERMITTED, "only permitted models and versions")                         \
  X (WITHDRAWN, "withdrawn version gets no new work")                         \
  X (BILLED, "each request billed once")                                      \
  X (ZONE_OUT, "zone out gets no new work")                                   \
  X (WHOLE, "whole answer to its own caller")                                 \
  X (NOT_RUN, "not-run is true")                                              \
  X (AT_MOST_ONCE, "non-idempotent runs at most once")                        \
  X (PLANNED_STOP, "planned stop ends with 0")                                \
  X (NO_REVERT, "configuration never reverts")                                \
  X (RECOVERS, "all is in force and ready after the faults")

typedef enum
{
#define X(symbol, text) symbol,
  PROMISES (X)
#undef X
      PROMISE_COUNT
} promise_t;

static const char *const promise_texts[] = {
#define X(symbol, text) text,
  PROMISES (X)
#undef X
};

typedef struct
{
  cluster_t *cluster;
  rng_t rng;
  uint64_t began_ms;
  unsigned violations[PROMISE_COUNT];
  unsigned injected;
  uint64_t revisions[PROCS_MAX];
  proc_t *broken; /* By the fault in hand that must be undone.  */
  bool withdrawn;
  bool zone_out;
} chaos_t;

typedef struct
{
  const char *name;
  void (*begin) (chaos_t *chaos);
  void (*heal) (chaos_t *chaos); /* NULL: nothing to undo.  */
  uint64_t lasts_ms;
} fault_t;

static void
violate (chaos_t *chaos, promise_t promise, const char *format, ...)
{
  va_list args;

  chaos->violations[promise]++;
  printf ("VIOLATION %s: ", promise_texts[promise]);
  va_start (args, format);
  vprintf (format, args);
  va_end (args);
  printf ("\n");
}

static cluster_entry_t *
any_entry (chaos_t *chaos)
{
  return &chaos->cluster
              ->entries[rng_below (&chaos->rng, chaos->cluster->entry_count)];
}

static cluster_upstream_t *
any_upstream (chaos_t *chaos)
{
  return &chaos->cluster->upstreams[rng_below (
      &chaos->rng, chaos->cluster->upstream_count)];
}

static void
heal_dead (chaos_t *chaos)
{
  if (!proc_is_running (chaos->broken))
    proc_restart (chaos->broken);
}

static void
kill_entry (chaos_t *chaos)
{
  chaos->broken = any_entry (chaos)->proc;
  proc_kill (chaos->broken);
}

static void
kill_sidecar (chaos_t *chaos)
{
  chaos->broken = any_upstream (chaos)->sidecar;
  proc_kill (chaos->broken);
}

static void
kill_upstream (chaos_t *chaos)
{
  chaos->broken = any_upstream (chaos)->proc;
  proc_kill (chaos->broken);
}

static void
pause_entry (chaos_t *chaos)
{
  chaos->broken = any_entry (chaos)->proc;
  proc_signal (chaos->broken, SIGSTOP);
}

static void
pause_sidecar (chaos_t *chaos)
{
  chaos->broken = any_upstream (chaos)->sidecar;
  proc_signal (chaos->broken, SIGSTOP);
}

static void
heal_paused (chaos_t *chaos)
{
  proc_signal (chaos->broken, SIGCONT);
}

/* Apply BODY to the proxies before all sidecars.  */
static void
fault_links (chaos_t *chaos, const char *body)
{
  for (size_t i = 0; i < chaos->cluster->upstream_count; i++)
    cluster_post_json (chaos->cluster,
                       chaos->cluster->upstreams[i].proxy_control, "/fault",
                       body);
}

static void
silence (chaos_t *chaos)
{
  static const char *const ways[]
      = { "{\"silence\":\"both\"}", "{\"silence\":\"up\"}",
          "{\"silence\":\"down\"}" };

  fault_links (chaos, ways[rng_below (&chaos->rng, 3)]);
}

static void
reset (chaos_t *chaos)
{
  fault_links (chaos, "{\"reset\":true}");
}

static void
fault_store (chaos_t *chaos, const char *body)
{
  cluster_post_json (chaos->cluster, chaos->cluster->platform_port, "/faults",
                     body);
}

static void
store_outage (chaos_t *chaos)
{
  fault_store (chaos, rng_below (&chaos->rng, 2) == 0
                          ? "{\"outage\":\"silent\"}"
                          : "{\"outage\":\"refuse\"}");
}

static void
lose_replies (chaos_t *chaos)
{
  fault_store (chaos, "{\"lost_reply_share\":0.3}");
}

static void
heal_store (chaos_t *chaos)
{
  fault_store (chaos, "{\"outage\":\"none\",\"lost_reply_share\":0}");
}

static json_int_t
version_runs (const cluster_t *cluster, const char *version)
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

static json_int_t
zone_runs (const cluster_t *cluster, const char *zone)
{
  json_int_t sum = 0;

  for (size_t i = 0; i < cluster->upstream_count; i++)
    if (strcmp (cluster->upstreams[i].zone, zone) == 0)
      sum += cluster_read_stat (cluster, cluster->upstreams[i].port, "total");
  return sum;
}

static void
withdraw (chaos_t *chaos)
{
  chaos->withdrawn = cluster_set_configuration_key (
      chaos->cluster, "version draft-small@4", "state", "withdrawn");
}

static void
heal_withdrawn (chaos_t *chaos)
{
  if (!chaos->withdrawn)
    return;
  harness_sleep_ms (FEW_SECONDS_MS);
  json_int_t before = version_runs (chaos->cluster, "draft-small@4");
  harness_sleep_ms (500);
  json_int_t after = version_runs (chaos->cluster, "draft-small@4");
  if (after > before)
    violate (chaos, WITHDRAWN, "%d new runs", (int)(after - before));
  cluster_set_configuration_key (chaos->cluster, "version draft-small@4",
                                 "state", "serving");
}

static void
zone_out (chaos_t *chaos)
{
  chaos->zone_out = cluster_set_configuration_key (
      chaos->cluster, "availability-zone nairobi-b", "state", "out");
}

static void
heal_zone (chaos_t *chaos)
{
  if (!chaos->zone_out)
    return;
  harness_sleep_ms (FEW_SECONDS_MS);
  json_int_t before = zone_runs (chaos->cluster, "nairobi-b");
  harness_sleep_ms (500);
  json_int_t after = zone_runs (chaos->cluster, "nairobi-b");
  if (after > before)
    violate (chaos, ZONE_OUT, "%d new runs", (int)(after - before));
  cluster_set_configuration_key (chaos->cluster, "availability-zone nairobi-b",
                                 "state", "in");
}

/* One request that ends each engine that runs it, sent again by its
   caller.  */
static void
poison (chaos_t *chaos)
{
  for (int i = 0; i < 4; i++)
    {
      rawhttp_t http = cluster_chat (
          chaos->cluster, rng_below (&chaos->rng, 3), NULL,
          "{\"model\":\"draft-small\",\"messages\":[{\"role\":\"user\","
          "\"content\":\"VH-CRASH\"}]}",
          2000);
      rawhttp_close (&http);
    }
}

static void
heal_upstreams (chaos_t *chaos)
{
  for (size_t i = 0; i < chaos->cluster->upstream_count; i++)
    if (!proc_is_running (chaos->cluster->upstreams[i].proc))
      proc_restart (chaos->cluster->upstreams[i].proc);
}

static void
restart_planned (chaos_t *chaos, proc_t *proc)
{
  if (!proc_is_running (proc))
    return;
  proc_signal (proc, SIGCONT);
  proc_signal (proc, SIGTERM);
  int status = proc_wait (proc, WAIT_MS);
  if (status != 0)
    violate (chaos, PLANNED_STOP, "%s ended with %d", proc_name (proc),
             status);
  if (status >= 0)
    proc_restart (proc);
}

static void
rolling_restart (chaos_t *chaos)
{
  restart_planned (chaos, any_entry (chaos)->proc);
  restart_planned (chaos, any_upstream (chaos)->sidecar);
}

static const fault_t faults[] = {
  { "kill entry", kill_entry, heal_dead, 800 },
  { "kill sidecar", kill_sidecar, heal_dead, 800 },
  { "kill upstream", kill_upstream, heal_dead, 800 },
  { "pause entry", pause_entry, heal_paused, 2500 },
  { "pause sidecar", pause_sidecar, heal_paused, 1500 },
  { "silence", silence, NULL, 500 },
  { "reset", reset, NULL, 300 },
  { "store outage", store_outage, heal_store, 2500 },
  { "lost write reply", lose_replies, heal_store, 1500 },
  { "zone out and in", zone_out, heal_zone, 0 },
  { "version withdrawn", withdraw, heal_withdrawn, 0 },
  { "poison", poison, heal_upstreams, 500 },
  { "rolling restart", rolling_restart, NULL, 300 },
};

enum
{
  FAULTS = sizeof faults / sizeof faults[0]
};

/* See that no process shows an older revision than before.  */
static void
watch_revisions (chaos_t *chaos)
{
  const cluster_t *cluster = chaos->cluster;

  for (size_t i = 0; i < cluster->entry_count; i++)
    {
      uint64_t now
          = cluster_read_revision (cluster, cluster->entries[i].admin);
      if (now > 0 && now < chaos->revisions[i])
        violate (chaos, NO_REVERT, "%s: %" PRIu64 " after %" PRIu64,
                 cluster->entries[i].name, now, chaos->revisions[i]);
      if (now > 0)
        chaos->revisions[i] = now;
    }
}

static void
inject (chaos_t *chaos, const fault_t *fault)
{
  printf ("%6" PRIu64 " ms %s\n", harness_now_ms () - chaos->began_ms,
          fault->name);
  fflush (stdout);
  chaos->injected++;
  fault->begin (chaos);
  harness_sleep_ms (fault->lasts_ms);
  /* Another one meanwhile, of those that need no undoing.  */
  if (rng_below (&chaos->rng, 2) == 0)
    {
      printf ("%6" PRIu64 " ms   and reset\n",
              harness_now_ms () - chaos->began_ms);
      reset (chaos);
    }
  if (fault->heal != NULL)
    fault->heal (chaos);
  harness_sleep_ms (300 + rng_below (&chaos->rng, 500));
}

/* Each fault once in drawn order, then again until the time is over.  */
static void
run_schedule (chaos_t *chaos, uint64_t ms)
{
  size_t order[FAULTS];

  while (harness_now_ms () - chaos->began_ms < ms)
    {
      for (size_t i = 0; i < FAULTS; i++)
        {
          size_t at = rng_below (&chaos->rng, i + 1);
          order[i] = order[at];
          order[at] = i;
        }
      for (size_t i = 0;
           i < FAULTS && harness_now_ms () - chaos->began_ms < ms; i++)
        {
          inject (chaos, &faults[order[i]]);
          watch_revisions (chaos);
        }
    }
}

static json_int_t
runs_of (const cluster_t *cluster, str_t key)
{
  char *name = str_dup (key);
  json_int_t sum = 0;

  for (size_t i = 0; i < cluster->upstream_count; i++)
    if (cluster->upstreams[i].is_service)
      sum += cluster_runs (cluster, cluster->upstreams[i].port, name);
  free (name);
  return sum;
}

static void
check_records (chaos_t *chaos, const runner_t *runner)
{
  const record_t *record;

  for (size_t i = 0; (record = runner_at (runner, i)) != NULL; i++)
    {
      const loadgen_result_t *result = &record->result;
      if (result->wrong)
        violate (chaos, WHOLE, "%.*s", STR_ARG (result->key));
      if (result->whole && !result->is_service
          && !str_starts_with (result->version, STR ("draft-small@")))
        violate (chaos, PERMITTED, "%.*s", STR_ARG (result->version));
      if (!result->is_service)
        continue;
      json_int_t runs = runs_of (chaos->cluster, result->key);
      if (runs > 1 || (result->whole && runs == 0))
        violate (chaos, AT_MOST_ONCE, "%.*s ran %d times",
                 STR_ARG (result->key), (int)runs);
      if (runs > 0 && !result->whole
          && str_eq (result->outcome, STR ("not-run")))
        violate (chaos, NOT_RUN, "%.*s", STR_ARG (result->key));
    }
}

static json_int_t
billed (const cluster_t *cluster)
{
  json_int_t sum = 0;
  size_t index;
  json_t *row;
  json_t *root = rawhttp_json (cluster->host, cluster->entries[0].admin,
                               "/admin/report/bill", NULL);

  json_array_foreach (root, index, row) sum
      += json_integer_value (json_object_get (row, "requests"));
  json_decref (root);
  return sum;
}

/* The bill holds all whole answers, and beyond them at the most those that
   were on their way to callers who lost them.  */
static void
check_bill (chaos_t *chaos, json_int_t before, const tally_t *chat,
            const tally_t *service)
{
  json_int_t least = (json_int_t)chat->whole + (json_int_t)service->whole;
  json_int_t most = (json_int_t)(chat->finished + service->finished)
                    - (json_int_t)(chat->not_run + service->not_run);
  json_int_t now;
  bool held;

  WAIT_UNTIL (
      (now = billed (chaos->cluster) - before, now >= least && now <= most),
      BILL_WAIT_MS, &held);
  printf ("billed %d, answered whole %d, not refused %d\n", (int)now,
          (int)least, (int)most);
  if (!held)
    violate (chaos, BILLED, "%d billed", (int)now);
}

static void
print_tally (const char *name, const tally_t *tally)
{
  printf ("%s: finished %zu, whole %zu, wrong %zu, not-run %zu, unknown %zu, "
          "untold %zu, cut %zu, longest %" PRIu64 " ms, longest wait %" PRIu64
          " ms\n",
          name, tally->finished, tally->whole, tally->wrong, tally->not_run,
          tally->unknown, tally->untold, tally->cut, tally->longest_us / 1000,
          tally->longest_wait_us / 1000);
}

/* End all faults and see the fleet whole again.  */
static void
recover (chaos_t *chaos)
{
  cluster_t *cluster = chaos->cluster;
  bool held;

  heal_store (chaos);
  heal_upstreams (chaos);
  for (size_t i = 0; i < cluster->entry_count; i++)
    proc_signal (cluster->entries[i].proc, SIGCONT);
  WAIT_UNTIL (cluster_has_revision (cluster, cluster->revision), WAIT_MS,
              &held);
  for (size_t i = 0; i < cluster->entry_count && held; i++)
    WAIT_UNTIL (cluster_ready (cluster, cluster->entries[i].admin), WAIT_MS,
                &held);
  if (!held)
    violate (chaos, RECOVERS, "not within %d ms", WAIT_MS);
}

static void
run_load (chaos_t *chaos, uint64_t seed, uint64_t ms)
{
  cluster_t *cluster = chaos->cluster;
  str_t targets[CLUSTER_ENTRIES_MAX];
  str_t health[CLUSTER_ENTRIES_MAX];
  char text[2 * CLUSTER_ENTRIES_MAX][40];

  for (size_t i = 0; i < cluster->entry_count; i++)
    {
      snprintf (text[2 * i], sizeof text[0], "%s:%u", cluster->host,
                cluster->entries[i].port);
      snprintf (text[2 * i + 1], sizeof text[0], "%s:%u", cluster->host,
                cluster->entries[i].admin);
      targets[i] = str_from (text[2 * i]);
      health[i] = str_from (text[2 * i + 1]);
    }
  loadgen_options_t options = { .targets = targets,
                                .target_count = cluster->entry_count,
                                .health = health,
                                .concurrency = 6,
                                .duration_ms = (uint64_t)SECONDS_MAX * 1000,
                                .seed = seed,
                                .stream_share = 0.5,
                                .api_key = STR (CLUSTER_API_KEY),
                                .model = STR ("draft-small"),
                                .key_prefix = STR ("chat"),
                                .max_tokens = 20,
                                .prompt_bytes = 60,
                                .timeout_ms = 8000,
                                .resends = 5 };
  /* The bills of the fleet's own first calls are written by then.  */
  harness_sleep_ms (SETTLE_MS);
  json_int_t before = billed (cluster);
  runner_t *chat = runner_start (&options);
  options.service_share = 1;
  options.service = STR (CLUSTER_SERVICE);
  options.key_prefix = STR ("pay");
  options.concurrency = 3;
  runner_t *service = runner_start (&options);
  run_schedule (chaos, ms);
  recover (chaos);
  runner_stop (chat);
  runner_stop (service);
  harness_sleep_ms (1000);
  tally_t tallies[2] = { runner_tally (chat), runner_tally (service) };
  print_tally ("chat", &tallies[0]);
  print_tally ("service", &tallies[1]);
  runner_complain (chat, 5);
  runner_complain (service, 5);
  check_records (chaos, chat);
  check_records (chaos, service);
  check_bill (chaos, before, &tallies[0], &tallies[1]);
  runner_destroy (chat);
  runner_destroy (service);
}

static int
run (uint64_t seed, uint64_t seconds)
{
  const cluster_options_t options
      = { .entries = 3,
          .small_engines = 4,
          .services = 2,
          .proxies = true,
          .engine_args = { "--token-ms=8", "--cold-ms=300" },
          .service_arg = "--delay-ms=15" };
  chaos_t chaos = { .rng = rng_make (seed) };
  unsigned broken = 0;

  printf ("seed %" PRIu64 ", %" PRIu64 " s\n", seed, seconds);
  chaos.cluster = cluster_create (&options);
  if (chaos.cluster == NULL)
    return EXIT_FAILURE;
  chaos.began_ms = harness_now_ms ();
  run_load (&chaos, seed, seconds * 1000);
  printf ("injected %u\n", chaos.injected);
  for (size_t i = 0; i < PROMISE_COUNT; i++)
    {
      printf ("violations %u: %s\n", chaos.violations[i], promise_texts[i]);
      broken += chaos.violations[i];
    }
  fflush (stdout);
  cluster_destroy (chaos.cluster, broken > 0);
  return broken > 0 ? EXIT_FAILURE : EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help");
  struct arg_int *seed = arg_int0 (NULL, "seed", "N", "of the schedule (1)");
  struct arg_int *seconds
      = arg_int0 (NULL, "seconds", "N", "length of the run (30)");
  struct arg_end *end = arg_end (5);
  void *argtable[] = { help, seed, seconds, end };

  seed->ival[0] = 1;
  seconds->ival[0] = 30;
  standin_parse_args (argc, argv, argtable, "Load with faults, all checked.");
  if (seconds->ival[0] < 1 || seconds->ival[0] > SECONDS_MAX)
    {
      fprintf (stderr, "chaos: 1 to %d seconds\n", SECONDS_MAX);
      return 2;
    }
  int status = run ((uint64_t)seed->ival[0], (uint64_t)seconds->ival[0]);
  arg_freetable (argtable, sizeof argtable / sizeof argtable[0]);
  return status;
}
