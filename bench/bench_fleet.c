/* How soon a change is in force in a fleet of 3 entries and 26 sidecars in
   three zones, how soon a silent connection is left, and what the processes
   cost at rest.  docs/BENCH.md says what each baseline is.  */

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
  LIMIT_MS = 10000, /* Of a wait; also what a baseline without end shows.  */
  CALL_MS = 3000,
  STEP_MS = 2,
  SETTLE_MS = 3000,
  CHECK_CALLS = 20, /* Through each entry, after a zone or version went.  */
  STREAM_TOKENS = 200,
  SECONDS_MAX = 120
};

#define CHAT "/v1/chat/completions"
#define AUTH                                                                  \
  "authorization: Bearer " CLUSTER_API_KEY "\r\n"                             \
  "content-type: application/json\r\n"

typedef struct
{
  cluster_t *cluster;
  rng_t rng;
  str_t pattern;
  uint64_t rest_ms;
  uint64_t revision;           /* That the race waits for.  */
  cluster_upstream_t *leaving; /* The upstream it waits for.  */
  bool failed;
} bench_t;

/* A race: OURS tells whether the fleet is there; POLL makes one look of
   poller INDEX of the plain alternative and tells whether it saw the news.  */
typedef struct
{
  bool (*ours) (bench_t *bench);
  bool (*poll) (bench_t *bench, size_t index);
  size_t pollers;
  uint64_t period_ms;
} race_t;

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
wanted (const bench_t *bench, const char *name)
{
  return str_matches_glob (bench->pattern, str_from (name));
}

static void
print_row (const bench_t *bench, const char *name, double baseline,
           double ours, const char *unit)
{
  if (wanted (bench, name))
    printf ("bench %s baseline=%.3f ours=%.3f ratio=%.3f unit=%s\n", name,
            baseline, ours, baseline > 0 ? ours / baseline : 0, unit);
  fflush (stdout);
}

static void
fail (bench_t *bench, const char *name, const char *what)
{
  fprintf (stderr, "bench_fleet: %s: %s\n", name, what);
  bench->failed = true;
}

/* Run RACE and print row NAME in seconds; who is not there in time has
   LIMIT_MS, which for ours is a failure.  */
static void
run_race (bench_t *bench, const char *name, const race_t *race)
{
  uint64_t start_ms = harness_now_ms ();
  uint64_t due_ms[PROCESSES];
  bool saw[PROCESSES] = { false };
  size_t missing = race->pollers;
  uint64_t baseline_ms = LIMIT_MS;
  uint64_t ours_ms = LIMIT_MS;
  bool there = false;

  for (size_t i = 0; i < race->pollers; i++)
    due_ms[i] = start_ms + rng_below (&bench->rng, race->period_ms);
  while ((!there || missing > 0) && harness_now_ms () - start_ms < LIMIT_MS)
    {
      if (!there && (there = race->ours (bench)))
        ours_ms = harness_now_ms () - start_ms;
      for (size_t i = 0; i < race->pollers; i++)
        {
          if (saw[i] || harness_now_ms () < due_ms[i])
            continue;
          due_ms[i] += race->period_ms;
          if (!(saw[i] = race->poll (bench, i)))
            continue;
          if (--missing == 0)
            baseline_ms = harness_now_ms () - start_ms;
        }
      harness_sleep_ms (STEP_MS);
    }
  if (!there)
    fail (bench, name, "not in force everywhere in time");
  print_row (bench, name, (double)baseline_ms / 1000, (double)ours_ms / 1000,
             "s");
}

static bool
in_force (bench_t *bench)
{
  return cluster_has_revision (bench->cluster, bench->revision);
}

static rawhttp_t
get_head (const bench_t *bench)
{
  return rawhttp_call (bench->cluster->host, bench->cluster->platform_port,
                       "POST", "/v1/get", "content-type: application/json\r\n",
                       STR ("{\"key\":\"conf/head\"}"), CALL_MS);
}

/* The store's head has the revision, so this poller would have it now.  */
static bool
poll_head (bench_t *bench, size_t index)
{
  rawhttp_t http = get_head (bench);
  json_t *root = http.status == 200
                     ? json_loadb (http.body.ptr, http.body.len, 0, NULL)
                     : NULL;
  const char *value = json_string_value (json_object_get (root, "value"));
  /* The row begins with the number of the revision.  */
  uint64_t revision = value != NULL ? strtoull (value, NULL, 10) : 0;

  (void)index;
  json_decref (root);
  rawhttp_close (&http);
  return revision >= bench->revision;
}

static void
store_outage (bench_t *bench, bool gone)
{
  if (!cluster_post_json (
          bench->cluster, bench->cluster->platform_port, "/faults",
          gone ? "{\"outage\":\"refuse\"}" : "{\"outage\":\"none\"}"))
    fail (bench, "store", "the platform takes no faults");
}

/* Put KEY of SECTION to VALUE, with the store gone right after when GONE,
   and measure until it is in force everywhere.  */
static void
race_change (bench_t *bench, const char *name, bool gone, const char *section,
             const char *key, const char *value)
{
  const race_t race = { in_force, poll_head, PROCESSES, HEAD_POLL_MS };

  if (!cluster_set_configuration_key (bench->cluster, section, key, value))
    {
      fail (bench, name, "the change was not accepted");
      return;
    }
  if (gone)
    store_outage (bench, true);
  bench->revision = bench->cluster->revision;
  run_race (bench, name, &race);
  if (gone)
    store_outage (bench, false);
}

/* Undo a change and wait for that.  */
static void
put_back (bench_t *bench, const char *section, const char *key,
          const char *value)
{
  bool held;

  WAIT_UNTIL (
      cluster_set_configuration_key (bench->cluster, section, key, value),
      LIMIT_MS, &held);
  if (held)
    WAIT_UNTIL (
        cluster_has_revision (bench->cluster, bench->cluster->revision),
        LIMIT_MS, &held);
  if (!held)
    fail (bench, section, "was not put back");
}

/* Sum of the calls that the upstreams of ZONE (NULL: all) ever got.  */
static json_int_t
total_in_zone (const bench_t *bench, const char *zone)
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

/* Call MODEL through each entry; return how many answers had STATUS.  */
static unsigned
call_all (const bench_t *bench, const char *model, int status)
{
  char body[160];
  unsigned count = 0;

  for (size_t i = 0; i < ENTRIES; i++)
    for (int k = 0; k < CHECK_CALLS; k++)
      {
        snprintf (body, sizeof body,
                  "{\"model\":\"%s\",\"max_tokens\":1,\"messages\":[{"
                  "\"role\":\"user\",\"content\":\"roof %zu %d\"}]}",
                  model, i, k);
        rawhttp_t http = cluster_chat (bench->cluster, i, NULL, body, CALL_MS);
        count += http.status == status;
        rawhttp_close (&http);
      }
  return count;
}

static void
bench_changes (bench_t *bench, bool gone)
{
  const char *const names[2][3]
      = { { "fleet-revision", "fleet-zone-out", "fleet-withdrawal" },
          { "fleet-revision-store-gone", "fleet-zone-out-store-gone",
            "fleet-withdrawal-store-gone" } };
  const char *const zone = "nairobi-c";
  const char *const section = "availability-zone nairobi-c";

  if (wanted (bench, names[gone][0]))
    {
      race_change (bench, names[gone][0], gone, "team mosque-fund", "weight",
                   "3");
      put_back (bench, "team mosque-fund", "weight", "1");
    }
  if (wanted (bench, names[gone][1]))
    {
      race_change (bench, names[gone][1], gone, section, "state", "out");
      json_int_t before = total_in_zone (bench, zone);
      call_all (bench, "draft-small@3", 200);
      if (total_in_zone (bench, zone) != before)
        fail (bench, names[gone][1], "the zone got new work");
      put_back (bench, section, "state", "in");
    }
  if (wanted (bench, names[gone][2]))
    {
      race_change (bench, names[gone][2], gone, "version draft-small@4",
                   "state", "withdrawn");
      if (call_all (bench, "draft-small@4", 200) > 0)
        fail (bench, names[gone][2], "the version got new work");
      put_back (bench, "version draft-small@4", "state", "serving");
    }
}

/* Tell whether every entry holds the leaving upstream for not live.  */
static bool
departure_known (bench_t *bench)
{
  for (size_t i = 0; i < ENTRIES; i++)
    {
      json_t *root = rawhttp_json (bench->cluster->host,
                                   bench->cluster->entries[i].admin,
                                   "/admin/status", NULL);
      const json_t *peer;
      size_t index;
      bool live = root == NULL;
      json_array_foreach (json_object_get (root, "peers"), index, peer)
      {
        const char *name = json_string_value (json_object_get (peer, "name"));
        const char *state
            = json_string_value (json_object_get (peer, "state"));
        if (name != NULL && strcmp (name, bench->leaving->name) == 0)
          live = state == NULL || strcmp (state, "live") == 0;
      }
      json_decref (root);
      if (live)
        return false;
    }
  return true;
}

static bool
poll_list (bench_t *bench, size_t index)
{
  json_t *root
      = rawhttp_json (bench->cluster->host, bench->cluster->platform_port,
                      "/v1/instances?after=0", NULL);
  const json_t *instance;
  size_t at;
  bool left = false;

  (void)index;
  json_array_foreach (json_object_get (root, "instances"), at, instance)
  {
    const char *name = json_string_value (json_object_get (instance, "name"));
    const char *state
        = json_string_value (json_object_get (instance, "state"));
    if (name != NULL && state != NULL
        && strcmp (name, bench->leaving->name) == 0)
      left = strcmp (state, "live") != 0;
  }
  json_decref (root);
  return left;
}

/* One look of an entry at the upstream's health page.  */
static bool
poll_health (bench_t *bench, size_t index)
{
  rawhttp_t http = rawhttp_call (bench->cluster->host, bench->leaving->admin,
                                 "GET", "/healthz", NULL, STR_NULL, CALL_MS);
  bool left = http.status != 200;

  (void)index;
  rawhttp_close (&http);
  return left;
}

/* Measure a departure that the platform lists, or a SIGTERM.  Each takes an
   engine for good.  */
static void
bench_departure (bench_t *bench, const char *name, bool listed, bool gone,
                 size_t upstream)
{
  const race_t list_race
      = { departure_known, poll_list, PROCESSES, LIST_POLL_MS };
  const race_t health_race
      = { departure_known, poll_health, ENTRIES, HEALTH_POLL_MS };

  if (!wanted (bench, name))
    return;
  bench->leaving = &bench->cluster->upstreams[upstream];
  if (gone)
    store_outage (bench, true);
  if (listed)
    cluster_set_upstream_state (bench->cluster, bench->leaving, "leaving");
  else
    proc_signal (bench->leaving->sidecar, SIGTERM);
  run_race (bench, name, listed ? &list_race : &health_race);
  if (gone)
    store_outage (bench, false);
  json_int_t before
      = cluster_read_stat (bench->cluster, bench->leaving->port, "total");
  call_all (bench, "draft-small@3", 200);
  if (cluster_read_stat (bench->cluster, bench->leaving->port, "total")
      != before)
    fail (bench, name, "the departing upstream got new work");
}

/* Silence every connection between the entries and the upstream that runs
   something.  */
static bool
silence_busy (bench_t *bench)
{
  for (size_t i = 0; i < bench->cluster->upstream_count; i++)
    {
      const cluster_upstream_t *up = &bench->cluster->upstreams[i];
      if (!up->is_service
          && cluster_read_stat (bench->cluster, up->port, "running") > 0)
        return cluster_post_json (bench->cluster, up->proxy_control, "/fault",
                                  "{\"silence\":\"both\"}");
    }
  return false;
}

/* A stream is being read when its upstream's connection falls silent; the
   longest wait for its next piece is what the caller sees of it.  */
static void
bench_silence (bench_t *bench, const char *name)
{
  char body[160];
  uint64_t longest_ms = 0;

  if (!wanted (bench, name))
    return;
  snprintf (body, sizeof body,
            "{\"model\":\"draft-large@7\",\"stream\":true,\"max_tokens\":%d,"
            "\"messages\":[{\"role\":\"user\",\"content\":\"a roof\"}]}",
            STREAM_TOKENS);
  rawhttp_t http
      = rawhttp_start (bench->cluster->host, bench->cluster->entries[0].port,
                       "POST", CHAT, AUTH, str_from (body));
  if (!rawhttp_read_body (&http, 1000, CALL_MS) || !silence_busy (bench))
    fail (bench, name, "no stream to silence");
  while (!http.is_complete && !http.has_ended && longest_ms < LIMIT_MS)
    {
      uint64_t start_ms = harness_now_ms ();
      rawhttp_read_body (&http, http.body.len + 1, LIMIT_MS);
      uint64_t wait_ms = harness_now_ms () - start_ms;
      longest_ms = wait_ms > longest_ms ? wait_ms : longest_ms;
    }
  if (!http.is_complete)
    fail (bench, name, "the stream was cut");
  rawhttp_close (&http);
  print_row (bench, name, LIMIT_MS / 1000.0, (double)longest_ms / 1000, "s");
}

/* What a process has used so far.  */
typedef struct
{
  double bytes; /* All of RPC, both ways.  */
  double control_bytes;
  double cpu_us;
} use_t;

static void
add_use (const bench_t *bench, const proc_t *proc, uint16_t admin, double sign,
         use_t *use)
{
  const cluster_t *cluster = bench->cluster;

  use->bytes += sign
                * (cluster_read_metric (cluster, admin,
                                        "vanillahook_rpc_bytes_out_total")
                   + cluster_read_metric (cluster, admin,
                                          "vanillahook_rpc_bytes_in_total"));
  use->control_bytes
      += sign
         * cluster_read_metric (cluster, admin,
                                "vanillahook_rpc_control_bytes_out_total");
  use->cpu_us += sign * (double)proc_read_cpu_us (proc);
}

/* Add SIGN times what entries, sidecars and engines have used.  */
static void
add_uses (const bench_t *bench, double sign, use_t *entries, use_t *sidecars,
          use_t *engines)
{
  const cluster_t *cluster = bench->cluster;

  for (size_t i = 0; i < cluster->entry_count; i++)
    add_use (bench, cluster->entries[i].proc, cluster->entries[i].admin, sign,
             entries);
  for (size_t i = 0; i < cluster->upstream_count; i++)
    {
      const cluster_upstream_t *up = &cluster->upstreams[i];
      add_use (bench, up->sidecar, up->admin, sign, sidecars);
      engines->cpu_us += sign * (double)proc_read_cpu_us (up->proc);
    }
}

/* Bytes of one look at the store's head, both ways, heads included.  */
static double
poll_bytes (const bench_t *bench)
{
  enum
  {
    REQUEST_BYTES = 150
  };
  rawhttp_t http = get_head (bench);
  double bytes = (double)(REQUEST_BYTES + http.head.len + http.body.len);

  rawhttp_close (&http);
  return bytes;
}

static void
bench_rest (bench_t *bench)
{
  use_t entries = { 0 };
  use_t sidecars = { 0 };
  use_t engines = { 0 };

  bool any = false;
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    any = any
          || (str_starts_with (str_from (rows[i]), STR ("rest-"))
              && wanted (bench, rows[i]));
  if (!any)
    return;
  harness_sleep_ms (SETTLE_MS);
  double polled = poll_bytes (bench) * 1000 / HEAD_POLL_MS;
  uint64_t start_ms = harness_now_ms ();
  add_uses (bench, -1, &entries, &sidecars, &engines);
  harness_sleep_ms (bench->rest_ms);
  add_uses (bench, 1, &entries, &sidecars, &engines);
  double seconds = (double)(harness_now_ms () - start_ms) / 1000;
  double entry_s = seconds * ENTRIES;
  double sidecar_s = seconds * (PROCESSES - ENTRIES);
  double idle = engines.cpu_us / 1e4 / sidecar_s;
  print_row (bench, "rest-entry-bytes", polled, entries.bytes / entry_s,
             "bytes/s");
  print_row (bench, "rest-sidecar-bytes", polled, sidecars.bytes / sidecar_s,
             "bytes/s");
  print_row (bench, "rest-entry-control-out", polled,
             entries.control_bytes / entry_s, "bytes/s");
  print_row (bench, "rest-sidecar-control-out", polled,
             sidecars.control_bytes / sidecar_s, "bytes/s");
  print_row (bench, "rest-entry-cpu", idle, entries.cpu_us / 1e4 / entry_s,
             "%-of-core");
  print_row (bench, "rest-sidecar-cpu", idle,
             sidecars.cpu_us / 1e4 / sidecar_s, "%-of-core");
}

static int
run (bench_t *bench)
{
  const cluster_options_t options = { .entries = ENTRIES,
                                      .small_engines = SMALL_ENGINES,
                                      .large_engines = LARGE_ENGINES,
                                      .services = SERVICES,
                                      .proxies = true,
                                      .engine_args = { "--token-ms=10" } };

  bench->cluster = cluster_create (&options);
  if (bench->cluster == NULL)
    return EXIT_FAILURE;
  bench_rest (bench);
  bench_silence (bench, "fleet-silent-connection");
  bench_changes (bench, false);
  bench_departure (bench, "fleet-departure-listed", true, false, 0);
  bench_changes (bench, true);
  bench_departure (bench, "fleet-departure-listed-after-outage", true, false,
                   3);
  bench_departure (bench, "fleet-departure-sigterm", false, false, 1);
  bench_departure (bench, "fleet-departure-sigterm-store-gone", false, true,
                   2);
  cluster_destroy (bench->cluster, bench->failed);
  return bench->failed ? EXIT_FAILURE : EXIT_SUCCESS;
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
                    .rest_ms = (uint64_t)seconds->ival[0] * 1000 };
  bool any = false;
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    any = any || wanted (&bench, rows[i]);
  int status = any ? run (&bench) : EXIT_SUCCESS;
  arg_freetable (argtable, sizeof argtable / sizeof argtable[0]);
  return status;
}
