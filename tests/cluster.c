#include "cluster.h"

#include "base/mem.h"
#include "conf/snapshot.h"

#include <inttypes.h>
#include <openssl/sha.h>
#include <stdio.h>
#include <stdlib.h>

#define SMALL "draft-small@3, draft-small@4"
#define LARGE "draft-large@7"
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

/* The lists that the fleet starts with.  */
static void
append_lists (buf_t *out)
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
zone_of (const cluster_t *cluster, size_t index)
{
  return zone_names[cluster->options.one_zone ? 0 : index % CLUSTER_ZONES];
}

static bool
started (proc_t *proc, uint16_t port)
{
  if (proc_wait_port (proc, "listening", START_WAIT_MS) == port)
    return true;
  fprintf (stderr, "cluster: %s does not start\n", proc_name (proc));
  return false;
}

/* Start a proxy before TARGET; return it with its ports.  */
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
  if (!started (cluster->platform, cluster->platform_port))
    return false;
  cluster->platform_proxy_port = cluster->platform_port;
  if (!cluster->options.proxies)
    return true;
  cluster->platform_proxy = start_proxy (
      cluster, "platform-proxy", cluster->platform_port,
      &cluster->platform_proxy_port, &cluster->platform_proxy_control);
  return started (cluster->platform_proxy, cluster->platform_proxy_port);
}

static void
plan_upstream (cluster_t *cluster, bool is_service, const char *serves,
               const char *prefix, size_t number)
{
  size_t index = cluster->upstream_count++;
  cluster_upstream_t *up = &cluster->upstreams[index];

  snprintf (up->name, sizeof up->name, "%s-%zu", prefix, number + 1);
  snprintf (up->zone, sizeof up->zone, "%s", zone_of (cluster, number));
  up->is_service = is_service;
  up->serves = serves;
  up->port = harness_find_free_port (cluster->harness);
  up->admin = harness_find_free_port (cluster->harness);
  up->rpc = harness_find_free_port (cluster->harness);
}

static void
plan (cluster_t *cluster)
{
  const cluster_options_t *o = &cluster->options;

  if (o->small_engines + o->large_engines + o->services > CLUSTER_UPSTREAMS_MAX
      || o->entries > CLUSTER_ENTRIES_MAX)
    abort ();
  for (size_t i = 0; i < o->small_engines; i++)
    plan_upstream (cluster, false, SMALL, "small", i);
  for (size_t i = 0; i < o->large_engines; i++)
    plan_upstream (cluster, false, LARGE, "large", i);
  for (size_t i = 0; i < o->services; i++)
    plan_upstream (cluster, true, CLUSTER_SERVICE, "desk", i);
  cluster->entry_count = o->entries;
  for (size_t i = 0; i < o->entries; i++)
    {
      cluster_entry_t *entry = &cluster->entries[i];
      snprintf (entry->name, sizeof entry->name, "entry-%zu", i + 1);
      snprintf (entry->zone, sizeof entry->zone, "%s", zone_of (cluster, i));
      entry->port = harness_find_free_port (cluster->harness);
      entry->admin = harness_find_free_port (cluster->harness);
      entry->rpc = harness_find_free_port (cluster->harness);
    }
}

/* Append what the settings of every process have.  */
static void
append_common (const cluster_t *cluster, const char *name, const char *role,
               const char *zone, uint16_t admin, buf_t *out)
{
  uint64_t grace = cluster->options.drain_grace_ms;

  for (size_t i = 0; i < cluster->entry_count; i++)
    if (strcmp (cluster->entries[i].name, name) != 0)
      buf_printf (out,
                  "[peer %s]\nrole = entry\navailability-zone = %s\n"
                  "address = %s:%u\n",
                  cluster->entries[i].name, cluster->entries[i].zone,
                  cluster->host, cluster->entries[i].rpc);
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
  const char *keys = cluster->options.entry_keys;
  buf_t text = BUF_NULL;

  append_common (cluster, entry->name, "entry", entry->zone, entry->admin,
                 &text);
  buf_printf (&text,
              "rpc = %s:%u\n[entry]\nlisten = %s:%u\n"
              "session-key = fedcba9876543210fedcba9876543210\n%s",
              cluster->host, entry->rpc, cluster->host, entry->port,
              keys != NULL ? keys : "");
  entry->proc = start_daemon (cluster, entry->name, &text);
  buf_free (&text);
}

static void
start_sidecar (cluster_t *cluster, cluster_upstream_t *up)
{
  const cluster_options_t *o = &cluster->options;
  char name[40];
  buf_t text = BUF_NULL;

  snprintf (name, sizeof name, "sidecar-%s", up->name);
  append_common (cluster, name, "sidecar", up->zone, up->admin, &text);
  buf_printf (&text,
              "[sidecar]\ninstance = %s\nlisten = %s:%u\nupstream = %s:%u\n"
              "kind = %s\nserves = %s\n",
              up->name, cluster->host, up->rpc, cluster->host, up->port,
              up->is_service ? "service" : "engine", up->serves);
  if (!up->is_service && !o->minimal)
    buf_append_str (&text,
                    STR ("features = load-report, cache-events, resume, "
                         "priority, orders\n"));
  buf_append_str (&text, str_from (o->sidecar_keys));
  up->sidecar = start_daemon (cluster, name, &text);
  buf_free (&text);
}

static void
start_upstream (cluster_t *cluster, cluster_upstream_t *up)
{
  const cluster_options_t *o = &cluster->options;
  const char *args[ARGS_MAX] = { NULL };
  size_t count = 0;
  char listen[64];
  char counts[512];

  snprintf (listen, sizeof listen, "--listen=%s:%u", cluster->host, up->port);
  args[count++] = listen;
  if (up->is_service)
    {
      char file[64];
      snprintf (file, sizeof file, "%s.counts", up->name);
      snprintf (counts, sizeof counts, "--count-file=%s",
                harness_file_path (cluster->harness, file));
      args[count++] = counts;
      args[count++] = o->service_arg;
      up->proc = harness_start_list (cluster->harness, up->name,
                                     "tests/standin_service", args);
      return;
    }
  if (strcmp (up->serves, LARGE) == 0)
    args[count++] = "--version=draft-large@7:0.95:8";
  else
    {
      args[count++] = "--version=draft-small@3:0.7:1";
      args[count++] = "--version=draft-small@4:0.75:1";
    }
  if (o->minimal)
    args[count++] = "--minimal";
  for (size_t i = 0; i < 8 && o->engine_args[i] != NULL; i++)
    args[count++] = o->engine_args[i];
  up->proc = harness_start_list (cluster->harness, up->name,
                                 "tests/standin_engine", args);
}

static bool
start_upstreams (cluster_t *cluster)
{
  for (size_t i = 0; i < cluster->upstream_count; i++)
    {
      cluster_upstream_t *up = &cluster->upstreams[i];
      start_upstream (cluster, up);
      up->proxy_port = up->rpc;
      if (cluster->options.proxies)
        {
          char name[40];
          snprintf (name, sizeof name, "proxy-%s", up->name);
          up->proxy = start_proxy (cluster, name, up->rpc, &up->proxy_port,
                                   &up->proxy_control);
        }
    }
  for (size_t i = 0; i < cluster->upstream_count; i++)
    {
      const cluster_upstream_t *up = &cluster->upstreams[i];
      if (!started (up->proc, up->port)
          || (up->proxy != NULL && !started (up->proxy, up->proxy_port)))
        return false;
    }
  return true;
}

static void
list_instance (cluster_t *cluster, const char *name, const char *role,
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
cluster_list_entry (cluster_t *cluster, const cluster_entry_t *entry,
                    const char *state)
{
  list_instance (cluster, entry->name, "entry", entry->zone, entry->rpc, "",
                 state);
}

void
cluster_set_upstream_state (cluster_t *cluster, const cluster_upstream_t *up,
                            const char *state)
{
  list_instance (cluster, up->name, "sidecar", up->zone, up->proxy_port,
                 up->is_service                    ? "service:" CLUSTER_SERVICE
                 : strcmp (up->serves, LARGE) == 0 ? LARGE
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
  bool done = http.status == 200;

  rawhttp_close (&http);
  return done;
}

int
cluster_apply (cluster_t *cluster, size_t entry, const char *text,
               uint64_t if_revision, uint64_t *revision)
{
  char path[96];

  snprintf (path, sizeof path,
            "/admin/configuration?if-revision=%" PRIu64 "&who=test",
            if_revision);
  rawhttp_t http
      = rawhttp_call (cluster->host, cluster->entries[entry].admin, "POST",
                      path, NULL, str_from (text), START_WAIT_MS);
  int status = http.status;
  json_t *root = status == 200
                     ? json_loadb (http.body.ptr, http.body.len, 0, NULL)
                     : NULL;
  if (root != NULL)
    *revision
        = (uint64_t)json_integer_value (json_object_get (root, "revision"));
  else if (status != 0)
    fprintf (stderr, "cluster: apply: %d %.*s\n", status,
             STR_ARG (buf_str (&http.body)));
  json_decref (root);
  rawhttp_close (&http);
  return status;
}

bool
cluster_set_configuration_key (cluster_t *cluster, const char *section,
                               const char *key, const char *value)
{
  buf_t text = BUF_NULL;
  bool done = false;

  conf_set_key (str_make (cluster->lists.ptr, strlen (cluster->lists.ptr)),
                str_from (section), str_from (key), str_from (value), &text);
  buf_append_char (&text, '\0');
  for (size_t i = 0; i < cluster->entry_count && !done; i++)
    done = cluster_apply (cluster, i, text.ptr, cluster->revision,
                          &cluster->revision)
           == 200;
  if (!done)
    {
      buf_free (&text);
      return false;
    }
  buf_free (&cluster->lists);
  cluster->lists = text;
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
        && cluster_read_revision (cluster, cluster->entries[i].admin)
               < revision)
      return false;
  for (size_t i = 0; i < cluster->upstream_count; i++)
    if (proc_is_running (cluster->upstreams[i].sidecar)
        && cluster_read_revision (cluster, cluster->upstreams[i].admin)
               < revision)
      return false;
  return true;
}

bool
cluster_ready (const cluster_t *cluster, uint16_t admin)
{
  rawhttp_t http = rawhttp_call (cluster->host, admin, "GET", "/readyz", NULL,
                                 STR_NULL, START_WAIT_MS);
  bool ready = http.status == 200;

  rawhttp_close (&http);
  return ready;
}

/* Tell whether a chat call for MODEL gets an answer through ENTRY.  */
static bool
serves (const cluster_t *cluster, size_t entry, const char *model)
{
  char body[128];

  snprintf (body, sizeof body,
            "{\"model\":\"%s\",\"max_tokens\":1,\"messages\":[]}", model);
  rawhttp_t http = cluster_chat (cluster, entry, NULL, body, START_WAIT_MS);
  bool done = http.status == 200;
  rawhttp_close (&http);
  return done;
}

/* Tell whether a call of the plain service gets an answer through ENTRY.  */
static bool
serves_calls (const cluster_t *cluster, size_t entry)
{
  char headers[160];

  snprintf (headers, sizeof headers,
            "authorization: Bearer " CLUSTER_API_KEY "\r\n"
            "idempotency-key: ready-%zu\r\n",
            entry);
  rawhttp_t http = rawhttp_call (cluster->host, cluster->entries[entry].port,
                                 "POST", "/services/" CLUSTER_SERVICE "/ready",
                                 headers, STR ("{}"), START_WAIT_MS);
  bool done = http.status == 200;
  rawhttp_close (&http);
  return done;
}

/* Tell whether every entry takes work for all that the fleet serves.  */
static bool
all_ready (const cluster_t *cluster)
{
  const cluster_options_t *o = &cluster->options;

  for (size_t i = 0; i < cluster->entry_count; i++)
    if (!cluster_ready (cluster, cluster->entries[i].admin)
        || (o->small_engines > 0 && !serves (cluster, i, "draft-small@3"))
        || (o->large_engines > 0 && !serves (cluster, i, "draft-large@7"))
        || (o->services > 0 && !serves_calls (cluster, i)))
      return false;
  for (size_t i = 0; i < cluster->upstream_count; i++)
    if (!cluster_ready (cluster, cluster->upstreams[i].admin))
      return false;
  return true;
}

static bool
start_all (cluster_t *cluster)
{
  bool held;

  if (!start_platform (cluster))
    return false;
  plan (cluster);
  if (!start_upstreams (cluster))
    return false;
  for (size_t i = 0; i < cluster->entry_count; i++)
    cluster_list_entry (cluster, &cluster->entries[i], "live");
  for (size_t i = 0; i < cluster->upstream_count; i++)
    cluster_set_upstream_state (cluster, &cluster->upstreams[i], "live");
  for (size_t i = 0; i < cluster->entry_count; i++)
    start_entry (cluster, &cluster->entries[i]);
  for (size_t i = 0; i < cluster->upstream_count; i++)
    start_sidecar (cluster, &cluster->upstreams[i]);
  append_lists (&cluster->lists);
  WAIT_UNTIL (
      cluster_apply (cluster, 0, cluster->lists.ptr, 0, &cluster->revision)
          == 200,
      START_WAIT_MS, &held);
  if (!held)
    {
      fprintf (stderr, "cluster: the first lists are not accepted\n");
      return false;
    }
  WAIT_UNTIL (all_ready (cluster), READY_WAIT_MS, &held);
  if (!held)
    fprintf (stderr, "cluster: not ready in time\n");
  return held;
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
  buf_free (&cluster->lists);
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
cluster_runs (const cluster_t *cluster, uint16_t port, const char *request_id)
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
  str_t want = str_from (name);
  double sum = -1;

  while (rest.ptr != NULL)
    {
      str_t line = str_cut (rest, '\n', &rest);
      const char *space = memrchr (line.ptr, ' ', line.len);
      double value;
      if (!str_starts_with (line, want) || line.len == want.len
          || space == NULL
          || (line.ptr[want.len] != ' ' && line.ptr[want.len] != '{')
          || !str_to_double (
              str_make (space + 1, (size_t)(line.ptr + line.len - space - 1)),
              &value))
        continue;
      sum = sum < 0 ? value : sum + value;
    }
  rawhttp_close (&http);
  return sum;
}
