/* Chaos test: sends load to a small deployment while a seeded random schedule
   injects up to two faults at a time.  Prints the injected faults, the results
   of the requests and the number of violations of each guarantee, and exits
   with 1 when there was a violation.  Sessions, departing upstreams and cold
   starts are not checked here; test_promises.c tests them.  */

#include "chaos_args.h"
#include "cluster.h"
#include "runner.h"

#include "base/mem.h"
#include "base/rng.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  WAIT_MS = 20000,
  PROPAGATION_MS = 3000,
  SETTLE_MS = 3000,
  /* A sidecar that holds unsent bills of an entry sends them to another entry
     after 20 s without a message from the first entry.  */
  BILLING_WAIT_MS = 45000,
  PROCS_MAX = CLUSTER_ENTRIES_MAX + CLUSTER_UPSTREAMS_MAX
};

/* X (symbol, printed text).  */
#define GUARANTEES(X)                                                         \
  X (ONLY_PERMITTED_VERSIONS, "only permitted models and versions")           \
  X (WITHDRAWN_VERSION_UNUSED, "withdrawn version gets no new work")          \
  X (BILLED_ONCE, "each request billed once")                                 \
  X (ZONE_OUT_UNUSED, "zone out gets no new work")                            \
  X (COMPLETE_RESPONSES, "whole answer to its own caller")                    \
  X (NOT_RUN_IS_TRUE, "not-run is true")                                      \
  X (RUN_AT_MOST_ONCE, "non-idempotent runs at most once")                    \
  X (GRACEFUL_STOP, "planned stop ends with 0")                               \
  X (CONFIGURATION_NEVER_REVERTS, "configuration never reverts")              \
  X (RECOVERY, "all is in force and ready after the faults")

typedef enum
{
#define X(symbol, text) symbol,
  GUARANTEES (X)
#undef X
      GUARANTEE_COUNT
} guarantee_t;

static const char *const guarantee_texts[] = {
#define X(symbol, text) text,
  GUARANTEES (X)
#undef X
};

typedef struct
{
  cluster_t *cluster;
  rng_t rng;
  uint64_t start_ms;
  unsigned violations[GUARANTEE_COUNT];
  unsigned injected_count;
  /* Last configuration revision reported by each entry; 0: none yet.  */
  uint64_t revisions[PROCS_MAX];
  proc_t *faulted_proc; /* Process that the current fault killed or paused.  */
  bool is_withdrawn;    /* The current fault withdrew a version.  */
  bool is_zone_out;     /* The current fault took a zone out.  */
} chaos_t;

typedef struct
{
  const char *name;
  void (*inject) (chaos_t *chaos);
  void (*revert) (chaos_t *chaos); /* Reverts the fault; NULL: not needed.  */
  uint64_t duration_ms;
} fault_t;

static void
report_violation (chaos_t *chaos, guarantee_t guarantee, const char *format,
                  ...)
{
  va_list args;

  chaos->violations[guarantee]++;
  printf ("VIOLATION %s: ", guarantee_texts[guarantee]);
  va_start (args, format);
  vprintf (format, args);
  va_end (args);
  printf ("\n");
}

static cluster_entry_t *
random_entry (chaos_t *chaos)
{
  return &chaos->cluster
              ->entries[rng_below (&chaos->rng, chaos->cluster->entry_count)];
}

static cluster_upstream_t *
random_upstream (chaos_t *chaos)
{
  return &chaos->cluster->upstreams[rng_below (
      &chaos->rng, chaos->cluster->upstream_count)];
}

static void
restart_killed (chaos_t *chaos)
{
  if (!proc_is_running (chaos->faulted_proc))
    proc_restart (chaos->faulted_proc);
}

static void
kill_entry (chaos_t *chaos)
{
  chaos->faulted_proc = random_entry (chaos)->proc;
  proc_kill (chaos->faulted_proc);
}

static void
kill_sidecar (chaos_t *chaos)
{
  chaos->faulted_proc = random_upstream (chaos)->sidecar;
  proc_kill (chaos->faulted_proc);
}

static void
kill_upstream (chaos_t *chaos)
{
  chaos->faulted_proc = random_upstream (chaos)->proc;
  proc_kill (chaos->faulted_proc);
}

static void
pause_entry (chaos_t *chaos)
{
  chaos->faulted_proc = random_entry (chaos)->proc;
  proc_signal (chaos->faulted_proc, SIGSTOP);
}

static void
pause_sidecar (chaos_t *chaos)
{
  chaos->faulted_proc = random_upstream (chaos)->sidecar;
  proc_signal (chaos->faulted_proc, SIGSTOP);
}

static void
resume_paused (chaos_t *chaos)
{
  proc_signal (chaos->faulted_proc, SIGCONT);
}

/* Set the faults BODY at the proxies of all sidecars.  */
static void
set_proxy_faults (chaos_t *chaos, const char *body)
{
  for (size_t i = 0; i < chaos->cluster->upstream_count; i++)
    cluster_post_json (chaos->cluster,
                       chaos->cluster->upstreams[i].proxy_control_port,
                       "/fault", body);
}

static void
stop_forwarding (chaos_t *chaos)
{
  static const char *const modes[]
      = { "{\"silence\":\"both\"}", "{\"silence\":\"up\"}",
          "{\"silence\":\"down\"}" };

  set_proxy_faults (chaos, modes[rng_below (&chaos->rng, 3)]);
}

static void
reset_connections (chaos_t *chaos)
{
  set_proxy_faults (chaos, "{\"reset\":true}");
}

static void
set_store_faults (chaos_t *chaos, const char *body)
{
  cluster_post_json (chaos->cluster, chaos->cluster->platform_port, "/faults",
                     body);
}

static void
begin_store_outage (chaos_t *chaos)
{
  set_store_faults (chaos, rng_below (&chaos->rng, 2) == 0
                               ? "{\"outage\":\"silent\"}"
                               : "{\"outage\":\"refuse\"}");
}

static void
begin_reply_loss (chaos_t *chaos)
{
  set_store_faults (chaos, "{\"lost_reply_share\":0.3}");
}

static void
clear_store_faults (chaos_t *chaos)
{
  set_store_faults (chaos, "{\"outage\":\"none\",\"lost_reply_share\":0}");
}

static json_int_t
count_version_runs (const cluster_t *cluster, const char *version)
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
count_zone_runs (const cluster_t *cluster, const char *zone)
{
  json_int_t sum = 0;

  for (size_t i = 0; i < cluster->upstream_count; i++)
    if (strcmp (cluster->upstreams[i].zone, zone) == 0)
      sum += cluster_read_stat (cluster, cluster->upstreams[i].port, "total");
  return sum;
}

static void
withdraw_version (chaos_t *chaos)
{
  chaos->is_withdrawn = cluster_set_configuration_key (
      chaos->cluster, "version draft-small@4", "state", "withdrawn");
}

static void
check_and_restore_version (chaos_t *chaos)
{
  if (!chaos->is_withdrawn)
    return;
  harness_sleep_ms (PROPAGATION_MS);
  json_int_t before = count_version_runs (chaos->cluster, "draft-small@4");
  harness_sleep_ms (500);
  json_int_t after = count_version_runs (chaos->cluster, "draft-small@4");
  if (after > before)
    report_violation (chaos, WITHDRAWN_VERSION_UNUSED, "%d new runs",
                      (int)(after - before));
  cluster_set_configuration_key (chaos->cluster, "version draft-small@4",
                                 "state", "serving");
}

static void
take_zone_out (chaos_t *chaos)
{
  chaos->is_zone_out = cluster_set_configuration_key (
      chaos->cluster, "availability-zone nairobi-b", "state", "out");
}

static void
check_and_restore_zone (chaos_t *chaos)
{
  if (!chaos->is_zone_out)
    return;
  harness_sleep_ms (PROPAGATION_MS);
  json_int_t before = count_zone_runs (chaos->cluster, "nairobi-b");
  harness_sleep_ms (500);
  json_int_t after = count_zone_runs (chaos->cluster, "nairobi-b");
  if (after > before)
    report_violation (chaos, ZONE_OUT_UNUSED, "%d new runs",
                      (int)(after - before));
  cluster_set_configuration_key (chaos->cluster, "availability-zone nairobi-b",
                                 "state", "in");
}

/* Send a request that crashes every engine that runs it, four times, as a
   client that retries.  */
static void
send_crashing_request (chaos_t *chaos)
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
restart_dead_upstreams (chaos_t *chaos)
{
  for (size_t i = 0; i < chaos->cluster->upstream_count; i++)
    if (!proc_is_running (chaos->cluster->upstreams[i].proc))
      proc_restart (chaos->cluster->upstreams[i].proc);
}

static void
restart_gracefully (chaos_t *chaos, proc_t *proc)
{
  if (!proc_is_running (proc))
    return;
  proc_signal (proc, SIGCONT);
  proc_signal (proc, SIGTERM);
  int status = proc_wait (proc, WAIT_MS);
  if (status != 0)
    report_violation (chaos, GRACEFUL_STOP, "%s ended with %d",
                      proc_name (proc), status);
  if (status >= 0)
    proc_restart (proc);
}

static void
restart_entry_and_sidecar (chaos_t *chaos)
{
  restart_gracefully (chaos, random_entry (chaos)->proc);
  restart_gracefully (chaos, random_upstream (chaos)->sidecar);
}

static const fault_t faults[] = {
  { "kill entry", kill_entry, restart_killed, 800 },
  { "kill sidecar", kill_sidecar, restart_killed, 800 },
  { "kill upstream", kill_upstream, restart_killed, 800 },
  { "pause entry", pause_entry, resume_paused, 2500 },
  { "pause sidecar", pause_sidecar, resume_paused, 1500 },
  { "silence", stop_forwarding, NULL, 500 },
  { "reset", reset_connections, NULL, 300 },
  { "store outage", begin_store_outage, clear_store_faults, 2500 },
  { "lost write reply", begin_reply_loss, clear_store_faults, 1500 },
  { "zone out and in", take_zone_out, check_and_restore_zone, 0 },
  { "version withdrawn", withdraw_version, check_and_restore_version, 0 },
  { "poison", send_crashing_request, restart_dead_upstreams, 500 },
  { "rolling restart", restart_entry_and_sidecar, NULL, 300 },
};

enum
{
  FAULT_COUNT = sizeof faults / sizeof faults[0]
};

/* Report a violation when an entry has an older configuration revision than
   before.  */
static void
check_revisions (chaos_t *chaos)
{
  const cluster_t *cluster = chaos->cluster;

  for (size_t i = 0; i < cluster->entry_count; i++)
    {
      uint64_t now
          = cluster_read_revision (cluster, cluster->entries[i].admin_port);
      if (now > 0 && now < chaos->revisions[i])
        report_violation (chaos, CONFIGURATION_NEVER_REVERTS,
                          "%s: %" PRIu64 " after %" PRIu64,
                          cluster->entries[i].name, now, chaos->revisions[i]);
      if (now > 0)
        chaos->revisions[i] = now;
    }
}

static void
run_fault (chaos_t *chaos, const fault_t *fault)
{
  printf ("%6" PRIu64 " ms %s\n", harness_now_ms () - chaos->start_ms,
          fault->name);
  fflush (stdout);
  chaos->injected_count++;
  fault->inject (chaos);
  harness_sleep_ms (fault->duration_ms);
  /* Inject a connection reset as a second fault in half of the cases; a reset
     does not have to be reverted.  */
  if (rng_below (&chaos->rng, 2) == 0)
    {
      printf ("%6" PRIu64 " ms   and reset\n",
              harness_now_ms () - chaos->start_ms);
      reset_connections (chaos);
    }
  if (fault->revert != NULL)
    fault->revert (chaos);
  harness_sleep_ms (300 + rng_below (&chaos->rng, 500));
}

/* Inject each fault once in random order, in rounds, until RUN_MS after
   the start.  */
static void
run_schedule (chaos_t *chaos, uint64_t run_ms)
{
  size_t order[FAULT_COUNT];

  while (harness_now_ms () - chaos->start_ms < run_ms)
    {
      for (size_t i = 0; i < FAULT_COUNT; i++)
        {
          size_t at = rng_below (&chaos->rng, i + 1);
          order[i] = order[at];
          order[at] = i;
        }
      for (size_t i = 0;
           i < FAULT_COUNT && harness_now_ms () - chaos->start_ms < run_ms;
           i++)
        {
          run_fault (chaos, &faults[order[i]]);
          check_revisions (chaos);
        }
    }
}

static json_int_t
count_runs (const cluster_t *cluster, str_t key)
{
  char *name = str_dup (key);
  json_int_t sum = 0;

  for (size_t i = 0; i < cluster->upstream_count; i++)
    if (cluster->upstreams[i].is_service)
      sum += cluster_read_run_count (cluster, cluster->upstreams[i].port,
                                     name);
  free (name);
  return sum;
}

static void
check_records (chaos_t *chaos, const runner_t *runner)
{
  const request_record_t *record;

  for (size_t i = 0; (record = runner_record_at (runner, i)) != NULL; i++)
    {
      const loadgen_result_t *result = &record->result;
      if (result->has_wrong_body)
        report_violation (chaos, COMPLETE_RESPONSES, "%.*s",
                          STR_ARG (result->key));
      if (result->is_complete && !result->is_service
          && !str_starts_with (result->version, STR ("draft-small@")))
        report_violation (chaos, ONLY_PERMITTED_VERSIONS, "%.*s",
                          STR_ARG (result->version));
      if (!result->is_service)
        continue;
      json_int_t runs = count_runs (chaos->cluster, result->key);
      if (runs > 1 || (result->is_complete && runs == 0))
        report_violation (chaos, RUN_AT_MOST_ONCE, "%.*s ran %d times",
                          STR_ARG (result->key), (int)runs);
      if (runs > 0 && !result->is_complete
          && str_eq (result->outcome, STR ("not-run")))
        report_violation (chaos, NOT_RUN_IS_TRUE, "%.*s",
                          STR_ARG (result->key));
    }
}

static json_int_t
read_billed_requests (const cluster_t *cluster)
{
  json_int_t sum = 0;
  size_t index;
  json_t *row;
  json_t *root = rawhttp_json (cluster->host, cluster->entries[0].admin_port,
                               "/admin/report/bill", NULL);

  json_array_foreach (root, index, row) sum
      += json_integer_value (json_object_get (row, "requests"));
  json_decref (root);
  return sum;
}

/* Check that the bill has at least all complete responses, and at most all
   requests that were not refused as `not-run': a response can be billed and
   then lost before its client receives it.  */
static void
check_bill (chaos_t *chaos, json_int_t before, const result_counts_t *chat,
            const result_counts_t *service)
{
  json_int_t min_billed
      = (json_int_t)chat->complete + (json_int_t)service->complete;
  json_int_t max_billed = (json_int_t)(chat->finished + service->finished)
                          - (json_int_t)(chat->not_run + service->not_run);
  json_int_t now;
  bool is_met;

  WAIT_UNTIL ((now = read_billed_requests (chaos->cluster) - before,
               now >= min_billed && now <= max_billed),
              BILLING_WAIT_MS, &is_met);
  printf ("billed %d, answered whole %d, not refused %d\n", (int)now,
          (int)min_billed, (int)max_billed);
  if (!is_met)
    report_violation (chaos, BILLED_ONCE, "%d billed", (int)now);
}

static void
print_counts (const char *name, const result_counts_t *counts)
{
  printf ("%s: finished %zu, whole %zu, wrong %zu, not-run %zu, unknown %zu, "
          "untold %zu, cut %zu, longest %" PRIu64 " ms, longest wait %" PRIu64
          " ms\n",
          name, counts->finished, counts->complete, counts->mismatched,
          counts->not_run, counts->unknown, counts->without_outcome,
          counts->transport_failed, counts->longest_request_us / 1000,
          counts->longest_gap_us / 1000);
}

/* Revert all faults and check that every entry and sidecar has the current
   configuration and every entry is ready.  */
static void
check_recovery (chaos_t *chaos)
{
  cluster_t *cluster = chaos->cluster;
  bool is_met;

  clear_store_faults (chaos);
  restart_dead_upstreams (chaos);
  for (size_t i = 0; i < cluster->entry_count; i++)
    proc_signal (cluster->entries[i].proc, SIGCONT);
  WAIT_UNTIL (cluster_has_revision (cluster, cluster->revision), WAIT_MS,
              &is_met);
  for (size_t i = 0; i < cluster->entry_count && is_met; i++)
    WAIT_UNTIL (
        cluster_is_process_ready (cluster, cluster->entries[i].admin_port),
        WAIT_MS, &is_met);
  if (!is_met)
    report_violation (chaos, RECOVERY, "not within %d ms", WAIT_MS);
}

static void
run_load (chaos_t *chaos, uint64_t seed, uint64_t run_ms)
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
                cluster->entries[i].admin_port);
      targets[i] = str_from (text[2 * i]);
      health[i] = str_from (text[2 * i + 1]);
    }
  loadgen_options_t options
      = { .targets = targets,
          .target_count = cluster->entry_count,
          .health_addresses = health,
          .concurrency = 6,
          .duration_ms = (uint64_t)CHAOS_SECONDS_MAX * 1000,
          .seed = seed,
          .stream_share = 0.5,
          .api_key = STR (CLUSTER_API_KEY),
          .model = STR ("draft-small"),
          .key_prefix = STR ("chat"),
          .max_tokens = 20,
          .prompt_bytes = 60,
          .timeout_ms = 8000,
          .max_resends = 5 };
  /* Wait until the requests of cluster_create are billed.  */
  harness_sleep_ms (SETTLE_MS);
  json_int_t before = read_billed_requests (cluster);
  runner_t *chat = runner_start (&options);
  options.service_share = 1;
  options.service = STR (CLUSTER_SERVICE);
  options.key_prefix = STR ("pay");
  options.concurrency = 3;
  runner_t *service = runner_start (&options);
  run_schedule (chaos, run_ms);
  check_recovery (chaos);
  runner_stop (chat);
  runner_stop (service);
  harness_sleep_ms (1000);
  result_counts_t counts[2]
      = { runner_count_results (chat), runner_count_results (service) };
  print_counts ("chat", &counts[0]);
  print_counts ("service", &counts[1]);
  runner_print_failures (chat, 5);
  runner_print_failures (service, 5);
  check_records (chaos, chat);
  check_records (chaos, service);
  check_bill (chaos, before, &counts[0], &counts[1]);
  runner_destroy (chat);
  runner_destroy (service);
}

static int
run_chaos (uint64_t seed, uint64_t seconds)
{
  const cluster_options_t options
      = { .entries = 3,
          .small_engines = 4,
          .services = 2,
          .with_proxies = true,
          .engine_args = { "--token-ms=8", "--cold-ms=300" },
          .service_arg = "--delay-ms=15" };
  chaos_t chaos = { .rng = rng_make (seed) };
  unsigned violation_count = 0;

  printf ("seed %" PRIu64 ", %" PRIu64 " s\n", seed, seconds);
  chaos.cluster = cluster_create (&options);
  if (chaos.cluster == NULL)
    return EXIT_FAILURE;
  chaos.start_ms = harness_now_ms ();
  run_load (&chaos, seed, seconds * 1000);
  printf ("injected %u\n", chaos.injected_count);
  for (size_t i = 0; i < GUARANTEE_COUNT; i++)
    {
      printf ("violations %u: %s\n", chaos.violations[i], guarantee_texts[i]);
      violation_count += chaos.violations[i];
    }
  fflush (stdout);
  cluster_destroy (chaos.cluster, violation_count > 0);
  return violation_count > 0 ? EXIT_FAILURE : EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  const chaos_args_t args = chaos_args_parse (
      argc, argv, "Send load, inject faults and check the guarantees.", NULL,
      0);

  return run_chaos (args.seed, args.seconds);
}
