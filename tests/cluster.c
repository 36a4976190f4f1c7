#include "cluster.h"

#include "base/mem.h"
#include "conf/snapshot.h"

#include <inttypes.h>
#include <openssl/sha.h>
#include <stdio.h>
#include <stdlib.h>

#define SMALL_VERSIONS "draft-small@3, draft-small@4"
#define LARGE_VERSION "draft-large@7"
#define RPC_KEY "0123456789abcdef0123456789abcdef"

enum
{
  START_WAIT_MS = 10000,
  READY_WAIT_MS = 15000,
  DRAIN_GRACE_MS = 300,
  ARGS_MAX = 16
};

static const char *const zone_names[CLUSTER_ZONES]
    = { "nairobi-a", "nairobi-b", "nairobi-c" };

static void
append_team (buf_t *out, const char *name, const char *plan, const char *key)
{
  unsigned char digest[SHA256_DIGEST_LENGTH];

  SHA256 ((const unsigned char *)key, strlen (key), digest);
  buf_printf (out, "[team %s]\nplan = %s\nkey-sha256 = ", name, plan);
  buf_append_hex (out, digest, sizeof digest);
  buf_append_char (out, '\n');
}

/* Append the initial configuration.  */
static void
append_initial_configuration (buf_t *out)
{
  append_team (out, "coast-office", "grants", CLUSTER_API_KEY);
  append_team (out, "mosque-fund", "drafts", CLUSTER_OTHER_API_KEY);
  buf_append_str (out,
                  STR ("[plan grants]\n"
                       "allow = draft-small@*, draft-large@7, "
                       "service:" CLUSTER_SERVICE "\n"
                       "quality-target = 0.9\n"
                       "[plan drafts]\nallow = draft-small@3\n"
                       "quality-target = 0.6\n"
                       "[model draft-small]\ntask = draft\ncost = 1.0\n"
                       "quality-prior = 0.7\n"
                       "[model draft-large]\ntask = draft\ncost = 8.0\n"
                       "quality-prior = 0.95\n"
                       "[version draft-small@3]\nstate = serving\n"
                       "[version draft-small@4]\nstate = serving\n"
                       "[version draft-large@7]\nstate = serving\n"
                       "[service " CLUSTER_SERVICE "]\nidempotent = no\n"));
  for (size_t i = 0; i < CLUSTER_ZONES; i++)
    buf_printf (out, "[availability-zone %s]\nstate = in\n", zone_names[i]);
  buf_append_char (out, '\0');
}

static const char *
zone_for_index (const cluster_t *cluster, size_t index)
{
  return zone_names[cluster->options.single_zone ? 0 : index % CLUSTER_ZONES];
}

static bool
has_started (proc_t *proc, uint16_t port)
{
  if (proc_wait_port (proc, "listening", START_WAIT_MS) == port)
    return true;
  fprintf (stderr, "cluster: %s did not report its port in time\n",
           proc_name (proc));
  return false;
}

/* Start a fault-injecting proxy that forwards to port TARGET.  Return the
   process; set its ports *PORT and *CONTROL.  */
static proc_t *
start_proxy (cluster_t *cluster, const char *name, uint16_t target,
             uint16_t *port, uint16_t *control)
{
  char args[3][64];

  *port = harness_find_free_port (cluster->harness);
  *control = harness_find_free_port (cluster->harness);
  snprintf (args[0], sizeof args[0], "--listen=%s:%u", cluster->host, *port);
  snprintf (args[1], sizeof args[1], "--target=%s:%u", cluster->host, target);
  snprintf (args[2], sizeof args[2], "--control=%s:%u", cluster->host,
            *control);
  return harness_start (cluster->harness, name, "tests/standin_proxy", args[0],
                        args[1], args[2], NULL);
}

static bool
start_platform (cluster_t *cluster)
{
  char listen[64];

  cluster->platform_port = harness_find_free_port (cluster->harness);
  snprintf (listen, sizeof listen, "--listen=%s:%u", cluster->host,
            cluster->platform_port);
  cluster->platform = harness_start (cluster->harness, "platform",
                                     "tests/standin_platform", listen, NULL);
  if (!has_started (cluster->platform, cluster->platform_port))
    return false;
  cluster->platform_proxy_port = cluster->platform_port;
  if (!cluster->options.with_proxies)
    return true;
  cluster->platform_proxy = start_proxy (
      cluster, "platform-proxy", cluster->platform_port,
      &cluster->platform_proxy_port, &cluster->platform_proxy_control_port);
  return has_started (cluster->platform_proxy, cluster->platform_proxy_port);
}

static void
assign_upstream (cluster_t *cluster, bool is_service, const char *serves,
                 const char *prefix, size_t number)
{
  size_t index = cluster->upstream_count++;
  cluster_upstream_t *upstream = &cluster->upstreams[index];

  snprintf (upstream->name, sizeof upstream->name, "%s-%zu", prefix,
            number + 1);
  snprintf (upstream->zone, sizeof upstream->zone, "%s",
            zone_for_index (cluster, number));
  upstream->is_service = is_service;
  upstream->serves = serves;
  upstream->port = harness_find_free_port (cluster->harness);
  upstream->admin_port = harness_find_free_port (cluster->harness);
  upstream->rpc_port = harness_find_free_port (cluster->harness);
}

static void
assign_instances (cluster_t *cluster)
{
  const cluster_options_t *opts = &cluster->options;

  if (opts->small_engines + opts->large_engines + opts->services
          > CLUSTER_UPSTREAMS_MAX
      || opts->entries > CLUSTER_ENTRIES_MAX)
    abort ();
  for (size_t i = 0; i < opts->small_engines; i++)
    assign_upstream (cluster, false, SMALL_VERSIONS, "small", i);
  for (size_t i = 0; i < opts->large_engines; i++)
    assign_upstream (cluster, false, LARGE_VERSION, "large", i);
  for (size_t i = 0; i < opts->services; i++)
    assign_upstream (cluster, true, CLUSTER_SERVICE, "desk", i);
  cluster->entry_count = opts->entries;
  for (size_t i = 0; i < opts->entries; i++)
    {
      cluster_entry_t *entry = &cluster->entries[i];
      snprintf (entry->name, sizeof entry->name, "entry-%zu", i + 1);
      snprintf (entry->zone, sizeof entry->zone, "%s",
                zone_for_index (cluster, i));
      entry->port = harness_find_free_port (cluster->harness);
      entry->admin_port = harness_find_free_port (cluster->harness);
      entry->rpc_port = harness_find_free_port (cluster->harness);
    }
}

/* Append the settings that all processes have in common.  */
static void
append_common_settings (const cluster_t *cluster, const char *name,
                        const char *role, const char *zone, uint16_t admin,
                        buf_t *out)
{
  uint64_t grace = cluster->options.drain_grace_ms;

  for (size_t i = 0; i < cluster->entry_count; i++)
    if (strcmp (cluster->entries[i].name, name) != 0)
      buf_printf (out,
                  "[peer %s]\nrole = entry\navailability-zone = %s\n"
                  "address = %s:%u\n",
                  cluster->entries[i].name, cluster->entries[i].zone,
                  cluster->host, cluster->entries[i].rpc_port);
  buf_printf (out, "[platform]\nkind = http\naddress = %s:%u\n", cluster->host,
              cluster->platform_proxy_port);
  buf_printf (out,
              "[process]\nname = %s\nrole = %s\navailability-zone = %s\n"
              "admin = %s:%u\nrpc-keys = " RPC_KEY "\n"
              "drain-grace-ms = %" PRIu64 "\n",
              name, role, zone, cluster->host, admin,
              grace > 0 ? grace : DRAIN_GRACE_MS);
}

static proc_t *
start_daemon (cluster_t *cluster, const char *name, const buf_t *settings)
{
  char file[64];

  snprintf (file, sizeof file, "%s.ini", name);
  const char *path
      = harness_write_file (cluster->harness, file, buf_str (settings));
  return harness_start (cluster->harness, name, "bin/vanillahookd",
                        "--settings", path, NULL);
}

static void
start_entry (cluster_t *cluster, cluster_entry_t *entry)
{
  const char *settings_text = cluster->options.entry_settings;
  buf_t text = BUF_NULL;

  append_common_settings (cluster, entry->name, "entry", entry->zone,
                          entry->admin_port, &text);
  buf_printf (&text,
              "rpc = %s:%u\n[entry]\nlisten = %s:%u\n"
              "session-key = fedcba9876543210fedcba9876543210\n%s",
              cluster->host, entry->rpc_port, cluster->host, entry->port,
              settings_text != NULL ? settings_text : "");
  entry->proc = start_daemon (cluster, entry->name, &text);
  buf_free (&text);
}

static void
start_sidecar (cluster_t *cluster, cluster_upstream_t *upstream)
{
  const cluster_options_t *opts = &cluster->options;
  char name[40];
  buf_t text = BUF_NULL;

  snprintf (name, sizeof name, "sidecar-%s", upstream->name);
  append_common_settings (cluster, name, "sidecar", upstream->zone,
                          upstream->admin_port, &text);
  buf_printf (&text,
              "[sidecar]\ninstance = %s\nlisten = %s:%u\nupstream = %s:%u\n"
              "kind = %s\nserves = %s\n",
              upstream->name, cluster->host, upstream->rpc_port, cluster->host,
              upstream->port, upstream->is_service ? "service" : "engine",
              upstream->serves);
  if (!upstream->is_service && !opts->minimal_engines)
    buf_append_str (&text,
                    STR ("features = load-report, cache-events, resume, "
                         "priority, orders\n"));
  buf_append_str (&text, str_from (opts->sidecar_settings));
  upstream->sidecar = start_daemon (cluster, name, &text);
  buf_free (&text);
}

static void
start_upstream (cluster_t *cluster, cluster_upstream_t *upstream)
{
  const cluster_options_t *opts = &cluster->options;
  const char *args[ARGS_MAX] = { NULL };
  size_t count = 0;
  char listen[64];
  char count_file_arg[512];

  snprintf (listen, sizeof listen, "--listen=%s:%u", cluster->host,
            upstream->port);
  args[count++] = listen;
  if (upstream->is_service)
    {
      char file[64];
      snprintf (file, sizeof file, "%s.counts", upstream->name);
      snprintf (count_file_arg, sizeof count_file_arg, "--count-file=%s",
                harness_file_path (cluster->harness, file));
      args[count++] = count_file_arg;
      args[count++] = opts->service_arg;
      upstream->proc = harness_start_argv (cluster->harness, upstream->name,
                                           "tests/standin_service", args);
      return;
    }
  if (strcmp (upstream->serves, LARGE_VERSION) == 0)
    args[count++] = "--version=draft-large@7:0.95:8";
  else
    {
      args[count++] = "--version=draft-small@3:0.7:1";
      args[count++] = "--version=draft-small@4:0.75:1";
    }
  if (opts->minimal_engines)
    args[count++] = "--minimal";
  for (size_t i = 0; i < 8 && opts->engine_args[i] != NULL; i++)
    args[count++] = opts->engine_args[i];
  upstream->proc = harness_start_argv (cluster->harness, upstream->name,
                                       "tests/standin_engine", args);
}

static bool
start_upstreams (cluster_t *cluster)
{
  for (size_t i = 0; i < cluster->upstream_count; i++)
    {
      cluster_upstream_t *upstream = &cluster->upstreams[i];
      start_upstream (cluster, upstream);
      upstream->proxy_port = upstream->rpc_port;
      if (cluster->options.with_proxies)
        {
          char name[40];
          snprintf (name, sizeof name, "proxy-%s", upstream->name);
          upstream->proxy = start_proxy (cluster, name, upstream->rpc_port,
                                         &upstream->proxy_port,
                                         &upstream->proxy_control_port);
        }
    }
  for (size_t i = 0; i < cluster->upstream_count; i++)
    {
      const cluster_upstream_t *upstream = &cluster->upstreams[i];
      if (!has_started (upstream->proc, upstream->port)
          || (upstream->proxy != NULL
              && !has_started (upstream->proxy, upstream->proxy_port)))
        return false;
    }
  return true;
}

static void
set_instance_state (cluster_t *cluster, const char *name, const char *role,
                    const char *zone, uint16_t port, const char *serves,
                    const char *state)
{
  buf_t body = BUF_NULL;

  buf_printf (&body,
              "{\"name\":\"%s\",\"role\":\"%s\",\"zone\":\"%s\","
              "\"region\":\"nairobi\",\"address\":\"%s:%u\","
              "\"serves\":\"%s\",\"state\":\"%s\"}%c",
              name, role, zone, cluster->host, port, serves, state, '\0');
  cluster_post_json (cluster, cluster->platform_port, "/instances", body.ptr);
  buf_free (&body);
}

void
cluster_set_entry_state (cluster_t *cluster, const cluster_entry_t *entry,
                         const char *state)
{
  set_instance_state (cluster, entry->name, "entry", entry->zone,
                      entry->rpc_port, "", state);
}

void
cluster_set_upstream_state (cluster_t *cluster,
                            const cluster_upstream_t *upstream,
                            const char *state)
{
  set_instance_state (
      cluster, upstream->name, "sidecar", upstream->zone, upstream->proxy_port,
      upstream->is_service ? "service:" CLUSTER_SERVICE
      : strcmp (upstream->serves, LARGE_VERSION) == 0 ? LARGE_VERSION
                                                      : "draft-small@3,"
                                                        "draft-small@4",
      state);
}

bool
cluster_post_json (const cluster_t *cluster, uint16_t port, const char *path,
                   const char *body)
{
  rawhttp_t http = rawhttp_call (cluster->host, port, "POST", path,
                                 "content-type: application/json\r\n",
                                 str_from (body), START_WAIT_MS);
  bool succeeded = http.status == 200;

  rawhttp_close (&http);
  return succeeded;
}

int
cluster_apply_configuration (cluster_t *cluster, size_t entry,
                             const char *text, uint64_t if_revision,
                             uint64_t *revision)
{
  char path[96];

  snprintf (path, sizeof path,
            "/admin/configuration?if-revision=%" PRIu64 "&who=test",
            if_revision);
  rawhttp_t http
      = rawhttp_call (cluster->host, cluster->entries[entry].admin_port,
                      "POST", path, NULL, str_from (text), START_WAIT_MS);
  int status = http.status;
  json_t *root = status == 200
                     ? json_loadb (http.body.ptr, http.body.len, 0, NULL)
                     : NULL;
  if (root != NULL)
    *revision
        = (uint64_t)json_integer_value (json_object_get (root, "revision"));
  else if (status != 0)
    fprintf (stderr, "cluster: configuration refused with status %d: %.*s\n",
             status, STR_ARG (buf_str (&http.body)));
  json_decref (root);
  rawhttp_close (&http);
  return status;
}

bool
cluster_set_configuration_key (cluster_t *cluster, const char *section,
                               const char *key, const char *value)
{
  buf_t text = BUF_NULL;
  bool succeeded = false;

  conf_set_key (str_make (cluster->configuration.ptr,
                          strlen (cluster->configuration.ptr)),
                str_from (section), str_from (key), str_from (value), &text);
  buf_append_char (&text, '\0');
  for (size_t i = 0; i < cluster->entry_count && !succeeded; i++)
    succeeded
        = cluster_apply_configuration (cluster, i, text.ptr, cluster->revision,
                                       &cluster->revision)
          == 200;
  if (!succeeded)
    {
      buf_free (&text);
      return false;
    }
  buf_free (&cluster->configuration);
  cluster->configuration = text;
  return true;
}

uint64_t
cluster_read_revision (const cluster_t *cluster, uint16_t admin)
{
  json_t *root
      = rawhttp_json (cluster->host, admin, "/admin/configuration", NULL);
  json_int_t revision
      = json_integer_value (json_object_get (root, "revision"));

  json_decref (root);
  return (uint64_t)revision;
}

bool
cluster_has_revision (cluster_t *cluster, uint64_t revision)
{
  for (size_t i = 0; i < cluster->entry_count; i++)
    if (proc_is_running (cluster->entries[i].proc)
        && cluster_read_revision (cluster, cluster->entries[i].admin_port)
               < revision)
      return false;
  for (size_t i = 0; i < cluster->upstream_count; i++)
    if (proc_is_running (cluster->upstreams[i].sidecar)
        && cluster_read_revision (cluster, cluster->upstreams[i].admin_port)
               < revision)
      return false;
  return true;
}

bool
cluster_is_process_ready (const cluster_t *cluster, uint16_t admin)
{
  rawhttp_t http = rawhttp_call (cluster->host, admin, "GET", "/readyz", NULL,
                                 STR_NULL, START_WAIT_MS);
  bool is_ready = http.status == 200;

  rawhttp_close (&http);
  return is_ready;
}

/* Return whether a chat request for MODEL through entry number ENTRY
   succeeds.  */
static bool
can_chat (const cluster_t *cluster, size_t entry, const char *model)
{
  char body[128];

  snprintf (body, sizeof body,
            "{\"model\":\"%s\",\"max_tokens\":1,\"messages\":[]}", model);
  rawhttp_t http = cluster_chat (cluster, entry, NULL, body, START_WAIT_MS);
  bool succeeded = http.status == 200;
  rawhttp_close (&http);
  return succeeded;
}

/* Return whether a request to CLUSTER_SERVICE through entry number ENTRY
   succeeds.  */
static bool
can_call_service (const cluster_t *cluster, size_t entry)
{
  char headers[160];

  snprintf (headers, sizeof headers,
            "authorization: Bearer " CLUSTER_API_KEY "\r\n"
            "idempotency-key: ready-%zu\r\n",
            entry);
  rawhttp_t http = rawhttp_call (cluster->host, cluster->entries[entry].port,
                                 "POST", "/services/" CLUSTER_SERVICE "/ready",
                                 headers, STR ("{}"), START_WAIT_MS);
  bool succeeded = http.status == 200;
  rawhttp_close (&http);
  return succeeded;
}

/* Return whether every entry and sidecar is ready and every entry reaches
   each kind of upstream.  */
static bool
is_all_ready (const cluster_t *cluster)
{
  const cluster_options_t *opts = &cluster->options;

  for (size_t i = 0; i < cluster->entry_count; i++)
    if (!cluster_is_process_ready (cluster, cluster->entries[i].admin_port)
        || (opts->small_engines > 0 && !can_chat (cluster, i, "draft-small@3"))
        || (opts->large_engines > 0 && !can_chat (cluster, i, "draft-large@7"))
        || (opts->services > 0 && !can_call_service (cluster, i)))
      return false;
  for (size_t i = 0; i < cluster->upstream_count; i++)
    if (!cluster_is_process_ready (cluster, cluster->upstreams[i].admin_port))
      return false;
  return true;
}

static bool
start_all (cluster_t *cluster)
{
  bool is_met;

  if (!start_platform (cluster))
    return false;
  assign_instances (cluster);
  if (!start_upstreams (cluster))
    return false;
  for (size_t i = 0; i < cluster->entry_count; i++)
    cluster_set_entry_state (cluster, &cluster->entries[i], "live");
  for (size_t i = 0; i < cluster->upstream_count; i++)
    cluster_set_upstream_state (cluster, &cluster->upstreams[i], "live");
  for (size_t i = 0; i < cluster->entry_count; i++)
    start_entry (cluster, &cluster->entries[i]);
  for (size_t i = 0; i < cluster->upstream_count; i++)
    start_sidecar (cluster, &cluster->upstreams[i]);
  append_initial_configuration (&cluster->configuration);
  WAIT_UNTIL (cluster_apply_configuration (cluster, 0,
                                           cluster->configuration.ptr, 0,
                                           &cluster->revision)
                  == 200,
              START_WAIT_MS, &is_met);
  if (!is_met)
    {
      fprintf (
          stderr,
          "cluster: no entry accepted the initial configuration in time\n");
      return false;
    }
  WAIT_UNTIL (is_all_ready (cluster), READY_WAIT_MS, &is_met);
  if (!is_met)
    fprintf (stderr, "cluster: some processes were not ready in time\n");
  return is_met;
}

cluster_t *
cluster_create (const cluster_options_t *options)
{
  cluster_t *cluster = mem_zalloc (sizeof *cluster);

  cluster->options = *options;
  cluster->harness = harness_create ();
  cluster->host = harness_host (cluster->harness);
  if (start_all (cluster))
    return cluster;
  cluster_destroy (cluster, true);
  return NULL;
}

void
cluster_destroy (cluster_t *cluster, bool failed)
{
  if (cluster == NULL)
    return;
  harness_destroy (cluster->harness, failed);
  buf_free (&cluster->configuration);
  free (cluster);
}

json_int_t
cluster_read_stat (const cluster_t *cluster, uint16_t port, const char *name)
{
  json_t *root = rawhttp_json (cluster->host, port, "/stats", NULL);
  json_int_t value = json_integer_value (json_object_get (root, name));

  json_decref (root);
  return value;
}

json_int_t
cluster_read_run_count (const cluster_t *cluster, uint16_t port,
                        const char *request_id)
{
  json_t *root = rawhttp_json (cluster->host, port, "/stats", NULL);
  json_int_t value = json_integer_value (
      json_object_get (json_object_get (root, "runs"), request_id));

  json_decref (root);
  return value;
}

rawhttp_t
cluster_chat (const cluster_t *cluster, size_t entry, const char *headers,
              const char *body, uint64_t wait_ms)
{
  buf_t all = BUF_NULL;

  buf_printf (&all,
              "content-type: application/json\r\n"
              "authorization: Bearer " CLUSTER_API_KEY "\r\n%s%c",
              headers != NULL ? headers : "", '\0');
  rawhttp_t http = rawhttp_call (cluster->host, cluster->entries[entry].port,
                                 "POST", "/v1/chat/completions", all.ptr,
                                 str_from (body), wait_ms);
  buf_free (&all);
  return http;
}

double
cluster_read_metric (const cluster_t *cluster, uint16_t admin,
                     const char *name)
{
  rawhttp_t http = rawhttp_call (cluster->host, admin, "GET", "/metrics", NULL,
                                 STR_NULL, START_WAIT_MS);
  str_t rest = buf_str (&http.body);
  str_t metric_name = str_from (name);
  double sum = -1;

  while (rest.ptr != NULL)
    {
      str_t line = str_cut (rest, '\n', &rest);
      const char *last_space = memrchr (line.ptr, ' ', line.len);
      double value;
      if (!str_starts_with (line, metric_name) || line.len == metric_name.len
          || last_space == NULL
          || (line.ptr[metric_name.len] != ' '
              && line.ptr[metric_name.len] != '{')
          || !str_to_double (
              str_make (last_space + 1,
                        (size_t)(line.ptr + line.len - last_space - 1)),
              &value))
        continue;
      sum = sum < 0 ? value : sum + value;
    }
  rawhttp_close (&http);
  return sum;
}
