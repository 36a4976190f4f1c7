/* Measures, in a fleet of 3 entries and 26 sidecars in three zones, the time
   until a change is in force in all processes, the time until a stream whose
   connection falls silent continues, and the traffic and processor time of
   idle processes.  docs/BENCH.md describes the baseline of each row.  */

#include "base/mem.h"
#include "base/rng.h"
#include "cluster.h"
#include "standins/common.h"

#include <argtable2.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  ENTRIES = 3,
  SMALL_ENGINES = 18,
  LARGE_ENGINES = 5,
  SERVICES = 3,
  PROCESSES = ENTRIES + SMALL_ENGINES + LARGE_ENGINES + SERVICES,
  HEAD_POLL_MS = 1000,
  LIST_POLL_MS = 2000,
  HEALTH_POLL_MS = 1000,
  /* Longest wait; also printed for a baseline that never finishes.  */
  WAIT_LIMIT_MS = 10000,
  CALL_TIMEOUT_MS = 3000,
  LOOP_INTERVAL_MS = 2,
  SETTLE_TIME_MS = 3000,
  /* Calls through each entry after the removal of a zone, version or
     upstream.  */
  CHECK_CALLS = 20,
  STREAM_TOKENS = 200,
  SECONDS_MAX = 120
};

#define CHAT_PATH "/v1/chat/completions"
#define REQUEST_HEADERS                                                       \
  "authorization: Bearer " CLUSTER_API_KEY "\r\n"                             \
  "content-type: application/json\r\n"

typedef struct
{
  cluster_t *cluster;
  rng_t rng;
  str_t pattern;
  uint64_t idle_time_ms;
  uint64_t revision;             /* Expected configuration revision.  */
  cluster_upstream_t *departing; /* The departing upstream.  */
  bool has_failed;
} bench_t;

/* A comparison of the fleet's propagation of a change with simulated pollers.
   IS_IN_FORCE returns whether the change is in force in the whole fleet.
   POLL_ONCE makes one request of poller INDEX and returns whether the answer
   shows the change.  */
typedef struct
{
  bool (*is_in_force) (bench_t *bench);
  bool (*poll_once) (bench_t *bench, size_t index);
  size_t poller_count;
  uint64_t period_ms;
} comparison_t;

static const char *const rows[] = {
  "rest-entry-bytes",
  "rest-sidecar-bytes",
  "rest-entry-control-out",
  "rest-sidecar-control-out",
  "rest-entry-cpu",
  "rest-sidecar-cpu",
  "fleet-silent-connection",
  "fleet-revision",
  "fleet-zone-out",
  "fleet-withdrawal",
  "fleet-revision-store-gone",
  "fleet-zone-out-store-gone",
  "fleet-withdrawal-store-gone",
  "fleet-departure-listed",
  "fleet-departure-listed-after-outage",
  "fleet-departure-sigterm",
  "fleet-departure-sigterm-store-gone",
};

static bool
is_wanted (const bench_t *bench, const char *name)
{
  return str_matches_glob (bench->pattern, str_from (name));
}

static void
print_row (const bench_t *bench, const char *name, double baseline,
           double ours, const char *unit)
{
  if (is_wanted (bench, name))
    printf ("bench %s baseline=%.3f ours=%.3f ratio=%.3f unit=%s\n", name,
            baseline, ours, baseline > 0 ? ours / baseline : 0, unit);
  fflush (stdout);
}

static void
fail (bench_t *bench, const char *name, const char *what)
{
  fprintf (stderr, "bench_fleet: %s: %s\n", name, what);
  bench->has_failed = true;
}

/* Run COMPARISON and print row NAME in seconds.  A side that does not finish
   within LIMIT_MS is printed as LIMIT_MS; for the fleet, this is a failure of
   the benchmark.  */
static void
run_comparison (bench_t *bench, const char *name,
                const comparison_t *comparison)
{
  uint64_t start_ms = harness_now_ms ();
  uint64_t due_ms[PROCESSES];
  bool has_seen[PROCESSES] = { false };
  size_t remaining = comparison->poller_count;
  uint64_t baseline_ms = WAIT_LIMIT_MS;
  uint64_t ours_ms = WAIT_LIMIT_MS;
  bool is_everywhere = false;

  for (size_t i = 0; i < comparison->poller_count; i++)
    due_ms[i] = start_ms + rng_below (&bench->rng, comparison->period_ms);
  while ((!is_everywhere || remaining > 0)
         && harness_now_ms () - start_ms < WAIT_LIMIT_MS)
    {
      if (!is_everywhere && (is_everywhere = comparison->is_in_force (bench)))
        ours_ms = harness_now_ms () - start_ms;
      for (size_t i = 0; i < comparison->poller_count; i++)
        {
          if (has_seen[i] || harness_now_ms () < due_ms[i])
            continue;
          due_ms[i] += comparison->period_ms;
          if (!(has_seen[i] = comparison->poll_once (bench, i)))
            continue;
          if (--remaining == 0)
            baseline_ms = harness_now_ms () - start_ms;
        }
      harness_sleep_ms (LOOP_INTERVAL_MS);
    }
  if (!is_everywhere)
    fail (bench, name, "not in force everywhere in time");
  print_row (bench, name, (double)baseline_ms / 1000, (double)ours_ms / 1000,
             "s");
}

static bool
is_revision_in_force (bench_t *bench)
{
  return cluster_has_revision (bench->cluster, bench->revision);
}

static rawhttp_t
get_store_head (const bench_t *bench)
{
  return rawhttp_call (bench->cluster->host, bench->cluster->platform_port,
                       "POST", "/v1/get", "content-type: application/json\r\n",
                       STR ("{\"key\":\"conf/head\"}"), CALL_TIMEOUT_MS);
}

/* Return whether the store's head has the expected revision, so that a process
   polling the store would read it now.  */
static bool
poll_store_head (bench_t *bench, size_t index)
{
  rawhttp_t http = get_store_head (bench);
  json_t *root = http.status == 200
                     ? json_loadb (http.body.ptr, http.body.len, 0, NULL)
                     : NULL;
  const char *value = json_string_value (json_object_get (root, "value"));
  /* The value starts with the revision's number.  */
  uint64_t revision = value != NULL ? strtoull (value, NULL, 10) : 0;

  (void)index;
  json_decref (root);
  rawhttp_close (&http);
  return revision >= bench->revision;
}

static void
set_store_outage (bench_t *bench, bool store_down)
{
  if (!cluster_post_json (
          bench->cluster, bench->cluster->platform_port, "/faults",
          store_down ? "{\"outage\":\"refuse\"}" : "{\"outage\":\"none\"}"))
    fail (bench, "store", "the platform did not accept the fault setting");
}

/* Set KEY of SECTION to VALUE, start a store outage right afterwards if
   STORE_DOWN, and measure the time until the change is in force in all
   processes.  */
static void
compare_change (bench_t *bench, const char *name, bool store_down,
                const char *section, const char *key, const char *value)
{
  const comparison_t comparison
      = { is_revision_in_force, poll_store_head, PROCESSES, HEAD_POLL_MS };

  if (!cluster_set_configuration_key (bench->cluster, section, key, value))
    {
      fail (bench, name, "the change was not accepted");
      return;
    }
  if (store_down)
    set_store_outage (bench, true);
  bench->revision = bench->cluster->revision;
  run_comparison (bench, name, &comparison);
  if (store_down)
    set_store_outage (bench, false);
}

/* Set KEY of SECTION back to VALUE, and wait until the change is in force.  */
static void
revert_change (bench_t *bench, const char *section, const char *key,
               const char *value)
{
  bool is_reverted;

  WAIT_UNTIL (
      cluster_set_configuration_key (bench->cluster, section, key, value),
      WAIT_LIMIT_MS, &is_reverted);
  if (is_reverted)
    WAIT_UNTIL (
        cluster_has_revision (bench->cluster, bench->cluster->revision),
        WAIT_LIMIT_MS, &is_reverted);
  if (!is_reverted)
    fail (bench, section, "the change could not be reverted");
}

/* Return the number of calls that the engines in ZONE (NULL: in all zones)
   have received since they started.  */
static json_int_t
count_zone_calls (const bench_t *bench, const char *zone)
{
  json_int_t total = 0;

  for (size_t i = 0; i < bench->cluster->upstream_count; i++)
    {
      const cluster_upstream_t *up = &bench->cluster->upstreams[i];
      if (!up->is_service && (zone == NULL || strcmp (up->zone, zone) == 0))
        total += cluster_read_stat (bench->cluster, up->port, "total");
    }
  return total;
}

/* Call MODEL CHECK_CALLS times through each entry; return the number of
   answers with STATUS.  */
static unsigned
count_answers (const bench_t *bench, const char *model, int status)
{
  char body[160];
  unsigned count = 0;

  for (size_t i = 0; i < ENTRIES; i++)
    for (int call = 0; call < CHECK_CALLS; call++)
      {
        snprintf (body, sizeof body,
                  "{\"model\":\"%s\",\"max_tokens\":1,\"messages\":[{"
                  "\"role\":\"user\",\"content\":\"roof %zu %d\"}]}",
                  model, i, call);
        rawhttp_t http
            = cluster_chat (bench->cluster, i, NULL, body, CALL_TIMEOUT_MS);
        count += http.status == status;
        rawhttp_close (&http);
      }
  return count;
}

static void
bench_changes (bench_t *bench, bool store_down)
{
  const char *const names[2][3]
      = { { "fleet-revision", "fleet-zone-out", "fleet-withdrawal" },
          { "fleet-revision-store-gone", "fleet-zone-out-store-gone",
            "fleet-withdrawal-store-gone" } };
  const char *const zone = "nairobi-c";
  const char *const section = "availability-zone nairobi-c";

  if (is_wanted (bench, names[store_down][0]))
    {
      compare_change (bench, names[store_down][0], store_down,
                      "team mosque-fund", "weight", "3");
      revert_change (bench, "team mosque-fund", "weight", "1");
    }
  if (is_wanted (bench, names[store_down][1]))
    {
      compare_change (bench, names[store_down][1], store_down, section,
                      "state", "out");
      json_int_t before = count_zone_calls (bench, zone);
      count_answers (bench, "draft-small@3", 200);
      if (count_zone_calls (bench, zone) != before)
        fail (bench, names[store_down][1], "the zone received new requests");
      revert_change (bench, section, "state", "in");
    }
  if (is_wanted (bench, names[store_down][2]))
    {
      compare_change (bench, names[store_down][2], store_down,
                      "version draft-small@4", "state", "withdrawn");
      if (count_answers (bench, "draft-small@4", 200) > 0)
        fail (bench, names[store_down][2],
              "the version received new requests");
      revert_change (bench, "version draft-small@4", "state", "serving");
    }
}

/* Return whether no entry lists the departing upstream as live.  */
static bool
is_departure_known (bench_t *bench)
{
  for (size_t i = 0; i < ENTRIES; i++)
    {
      json_t *root = rawhttp_json (bench->cluster->host,
                                   bench->cluster->entries[i].admin_port,
                                   "/admin/status", NULL);
      const json_t *peer;
      size_t index;
      bool live = root == NULL;
      json_array_foreach (json_object_get (root, "peers"), index, peer)
      {
        const char *name = json_string_value (json_object_get (peer, "name"));
        const char *state
            = json_string_value (json_object_get (peer, "state"));
        if (name != NULL && strcmp (name, bench->departing->name) == 0)
          live = state == NULL || strcmp (state, "live") == 0;
      }
      json_decref (root);
      if (live)
        return false;
    }
  return true;
}

static bool
poll_instance_list (bench_t *bench, size_t index)
{
  json_t *root
      = rawhttp_json (bench->cluster->host, bench->cluster->platform_port,
                      "/v1/instances?after=0", NULL);
  const json_t *instance;
  size_t at;
  bool has_departed = false;

  (void)index;
  json_array_foreach (json_object_get (root, "instances"), at, instance)
  {
    const char *name = json_string_value (json_object_get (instance, "name"));
    const char *state
        = json_string_value (json_object_get (instance, "state"));
    if (name != NULL && state != NULL
        && strcmp (name, bench->departing->name) == 0)
      has_departed = strcmp (state, "live") != 0;
  }
  json_decref (root);
  return has_departed;
}

/* Make one health check of the departing upstream; return whether the check
   failed.  */
static bool
poll_health (bench_t *bench, size_t index)
{
  rawhttp_t http
      = rawhttp_call (bench->cluster->host, bench->departing->admin_port,
                      "GET", "/healthz", NULL, STR_NULL, CALL_TIMEOUT_MS);
  bool has_departed = http.status != 200;

  (void)index;
  rawhttp_close (&http);
  return has_departed;
}

/* Measure the departure of an upstream that the platform lists as leaving
   (LISTED) or whose sidecar gets SIGTERM.  The upstream does not return, so
   each call needs another one.  */
static void
bench_departure (bench_t *bench, const char *name, bool is_listed,
                 bool store_down, size_t upstream)
{
  const comparison_t list_comparison
      = { is_departure_known, poll_instance_list, PROCESSES, LIST_POLL_MS };
  const comparison_t health_comparison
      = { is_departure_known, poll_health, ENTRIES, HEALTH_POLL_MS };

  if (!is_wanted (bench, name))
    return;
  bench->departing = &bench->cluster->upstreams[upstream];
  if (store_down)
    set_store_outage (bench, true);
  if (is_listed)
    cluster_set_upstream_state (bench->cluster, bench->departing, "leaving");
  else
    proc_signal (bench->departing->sidecar, SIGTERM);
  run_comparison (bench, name,
                  is_listed ? &list_comparison : &health_comparison);
  if (store_down)
    set_store_outage (bench, false);
  json_int_t before
      = cluster_read_stat (bench->cluster, bench->departing->port, "total");
  count_answers (bench, "draft-small@3", 200);
  if (cluster_read_stat (bench->cluster, bench->departing->port, "total")
      != before)
    fail (bench, name, "the departing upstream received new requests");
}

/* Stop all traffic between the entries and the first engine that is running a
   request, without closing connections.  Return false if there is none.  */
static bool
silence_running_stream (bench_t *bench)
{
  for (size_t i = 0; i < bench->cluster->upstream_count; i++)
    {
      const cluster_upstream_t *up = &bench->cluster->upstreams[i];
      if (!up->is_service
          && cluster_read_stat (bench->cluster, up->port, "running") > 0)
        return cluster_post_json (bench->cluster, up->proxy_control_port,
                                  "/fault", "{\"silence\":\"both\"}");
    }
  return false;
}

/* Silence the upstream's connection while a stream is read, and print the
   longest pause in the stream that the caller sees.  */
static void
bench_silence (bench_t *bench, const char *name)
{
  char body[160];
  uint64_t longest_ms = 0;

  if (!is_wanted (bench, name))
    return;
  snprintf (body, sizeof body,
            "{\"model\":\"draft-large@7\",\"stream\":true,\"max_tokens\":%d,"
            "\"messages\":[{\"role\":\"user\",\"content\":\"a roof\"}]}",
            STREAM_TOKENS);
  rawhttp_t http
      = rawhttp_start (bench->cluster->host, bench->cluster->entries[0].port,
                       "POST", CHAT_PATH, REQUEST_HEADERS, str_from (body));
  if (!rawhttp_read_body (&http, 1000, CALL_TIMEOUT_MS)
      || !silence_running_stream (bench))
    fail (bench, name, "no running stream to interrupt");
  while (!http.is_complete && !http.has_ended && longest_ms < WAIT_LIMIT_MS)
    {
      uint64_t start_ms = harness_now_ms ();
      rawhttp_read_body (&http, http.body.len + 1, WAIT_LIMIT_MS);
      uint64_t wait_ms = harness_now_ms () - start_ms;
      longest_ms = wait_ms > longest_ms ? wait_ms : longest_ms;
    }
  if (!http.is_complete)
    fail (bench, name, "the stream ended before it was complete");
  rawhttp_close (&http);
  print_row (bench, name, WAIT_LIMIT_MS / 1000.0, (double)longest_ms / 1000,
             "s");
}

/* Resources used by processes.  */
typedef struct
{
  double bytes; /* RPC bytes in both directions.  */
  double control_bytes;
  double cpu_us;
} usage_t;

/* Add SIGN times the totals of one process to USAGE.  */
static void
add_usage (const bench_t *bench, const proc_t *proc, uint16_t admin,
           double sign, usage_t *usage)
{
  const cluster_t *cluster = bench->cluster;

  usage->bytes += sign
                  * (cluster_read_metric (cluster, admin,
                                          "vanillahook_rpc_bytes_out_total")
                     + cluster_read_metric (cluster, admin,
                                            "vanillahook_rpc_bytes_in_total"));
  usage->control_bytes
      += sign
         * cluster_read_metric (cluster, admin,
                                "vanillahook_rpc_control_bytes_out_total");
  usage->cpu_us += sign * (double)proc_read_cpu_us (proc);
}

/* Add SIGN times the totals of all entries, sidecars and engines; a call with
   -1 and a later one with 1 give the usage between them.  */
static void
add_fleet_usage (const bench_t *bench, double sign, usage_t *entries,
                 usage_t *sidecars, usage_t *engines)
{
  const cluster_t *cluster = bench->cluster;

  for (size_t i = 0; i < cluster->entry_count; i++)
    add_usage (bench, cluster->entries[i].proc, cluster->entries[i].admin_port,
               sign, entries);
  for (size_t i = 0; i < cluster->upstream_count; i++)
    {
      const cluster_upstream_t *up = &cluster->upstreams[i];
      add_usage (bench, up->sidecar, up->admin_port, sign, sidecars);
      engines->cpu_us += sign * (double)proc_read_cpu_us (up->proc);
    }
}

/* Return the bytes of one read of the store's head, in both directions, with
   HTTP headers.  */
static double
measure_poll_bytes (const bench_t *bench)
{
  enum
  {
    REQUEST_BYTES = 150
  };
  rawhttp_t http = get_store_head (bench);
  double bytes = (double)(REQUEST_BYTES + http.head.len + http.body.len);

  rawhttp_close (&http);
  return bytes;
}

static void
bench_idle (bench_t *bench)
{
  usage_t entries = { 0 };
  usage_t sidecars = { 0 };
  usage_t engines = { 0 };

  bool any = false;
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    any = any
          || (str_starts_with (str_from (rows[i]), STR ("rest-"))
              && is_wanted (bench, rows[i]));
  if (!any)
    return;
  harness_sleep_ms (SETTLE_TIME_MS);
  double polled_bytes_per_s = measure_poll_bytes (bench) * 1000 / HEAD_POLL_MS;
  uint64_t start_ms = harness_now_ms ();
  add_fleet_usage (bench, -1, &entries, &sidecars, &engines);
  harness_sleep_ms (bench->idle_time_ms);
  add_fleet_usage (bench, 1, &entries, &sidecars, &engines);
  double seconds = (double)(harness_now_ms () - start_ms) / 1000;
  double entry_s = seconds * ENTRIES;
  double sidecar_s = seconds * (PROCESSES - ENTRIES);
  double engine_cpu_percent = engines.cpu_us / 1e4 / sidecar_s;
  print_row (bench, "rest-entry-bytes", polled_bytes_per_s,
             entries.bytes / entry_s, "bytes/s");
  print_row (bench, "rest-sidecar-bytes", polled_bytes_per_s,
             sidecars.bytes / sidecar_s, "bytes/s");
  print_row (bench, "rest-entry-control-out", polled_bytes_per_s,
             entries.control_bytes / entry_s, "bytes/s");
  print_row (bench, "rest-sidecar-control-out", polled_bytes_per_s,
             sidecars.control_bytes / sidecar_s, "bytes/s");
  print_row (bench, "rest-entry-cpu", engine_cpu_percent,
             entries.cpu_us / 1e4 / entry_s, "%-of-core");
  print_row (bench, "rest-sidecar-cpu", engine_cpu_percent,
             sidecars.cpu_us / 1e4 / sidecar_s, "%-of-core");
}

static int
run (bench_t *bench)
{
  const cluster_options_t options = { .entries = ENTRIES,
                                      .small_engines = SMALL_ENGINES,
                                      .large_engines = LARGE_ENGINES,
                                      .services = SERVICES,
                                      .with_proxies = true,
                                      .engine_args = { "--token-ms=10" } };

  bench->cluster = cluster_create (&options);
  if (bench->cluster == NULL)
    return EXIT_FAILURE;
  bench_idle (bench);
  bench_silence (bench, "fleet-silent-connection");
  bench_changes (bench, false);
  bench_departure (bench, "fleet-departure-listed", true, false, 0);
  bench_changes (bench, true);
  bench_departure (bench, "fleet-departure-listed-after-outage", true, false,
                   3);
  bench_departure (bench, "fleet-departure-sigterm", false, false, 1);
  bench_departure (bench, "fleet-departure-sigterm-store-gone", false, true,
                   2);
  cluster_destroy (bench->cluster, bench->has_failed);
  return bench->has_failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help");
  struct arg_int *seconds
      = arg_int0 (NULL, "seconds", "N", "length of the time at rest (8)");
  struct arg_int *seed = arg_int0 (NULL, "seed", "N", "of the pollers (1)");
  struct arg_str *pattern
      = arg_str0 (NULL, "pattern", "NAME", "rows to measure; may hold '*'");
  struct arg_end *end = arg_end (5);
  void *argtable[] = { help, seconds, seed, pattern, end };

  seconds->ival[0] = 8;
  seed->ival[0] = 1;
  pattern->sval[0] = "*";
  standin_parse_args (argc, argv, argtable,
                      "Measures a fleet of 3 entries and 26 sidecars.");
  if (seconds->ival[0] < 1 || seconds->ival[0] > SECONDS_MAX)
    {
      fprintf (stderr, "bench_fleet: 1 to %d seconds\n", SECONDS_MAX);
      return 2;
    }
  bench_t bench = { .rng = rng_make ((uint64_t)seed->ival[0]),
                    .pattern = str_from (pattern->sval[0]),
                    .idle_time_ms = (uint64_t)seconds->ival[0] * 1000 };
  bool any = false;
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    any = any || is_wanted (&bench, rows[i]);
  int status = any ? run (&bench) : EXIT_SUCCESS;
  arg_freetable (argtable, sizeof argtable / sizeof argtable[0]);
  return status;
}
