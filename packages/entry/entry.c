/* Life cycle of the entry: start, configuration, timer, status and end.  */

#include "entry/entryint.h"

#include "base/log.h"

#include <stdlib.h>

enum
{
  TICK_MS = 10,
  FLEET_TICK_INTERVAL = 10, /* Ticks between calls of fleet_tick.  */
  READ_TIMEOUT_MS = 10000,
  /* A cell takes about 1 KB if all are filled; all cells together take a
     quarter of what the entry may use for control data.  */
  BURN_CELLS = 8192
};

static void
fill_context (void *arg, wire_context_t *context)
{
  entry_t *entry = arg;

  if (entry->snapshot != NULL)
    context->revision = snapshot_revision (entry->snapshot);
  context->confirmed_ms
      = entry->options.callbacks->get_confirmation_age_ms (entry->options.arg);
  context->draining = entry->draining;
}

static void
on_context (void *arg, rpc_peer_t *peer, const wire_context_t *context)
{
  if (peer != NULL)
    fleet_on_peer_context (arg, peer, context);
}

static const rpc_hooks_t rpc_hooks = { fill_context, on_context };

void
request_destroy (request_t *request)
{
  if (request->http != NULL)
    httpd_set_callbacks (request->http, NULL, NULL, NULL);
  request->http = NULL;
  request->ended = true;
  claim_cancel_recalls (request);
  if (request->rating_pending || request->claim_pending)
    return; /* The outstanding callback calls this function again.  */
  list_remove (&request->link);
  dispatch_clear_attempt (request);
  json_decref (request->body_json);
  buf_free (&request->raw_body);
  memory_budget_count (request->entry->options.memory, &request->memory, 0);
  buf_free (&request->transcript);
  buf_free (&request->partial_event);
  free (request->method);
  free (request->path);
  free (request->target_name);
  free (request->request_id);
  free (request->session_token);
  free (request->session_instance);
  snapshot_unref (request->snapshot);
  free (request);
}

static void
on_tick (uv_timer_t *timer)
{
  entry_t *entry = timer->data;
  uint64_t now_ms = clock_ms (entry->clock);

  LIST_EACH (at, &entry->requests)
    dispatch_tick (CONTAINER_OF (at, request_t, link), now_ms);
  if (++entry->tick_count % FLEET_TICK_INTERVAL == 0)
    {
      fleet_tick (entry, now_ms);
      learn_tick (entry, now_ms);
      leader_tick (entry->leader, now_ms);
    }
}

static void
create_metrics (entry_t *entry)
{
  metrics_t *metrics = entry->options.metrics;

#define X(name, series, help)                                                 \
  entry->counters.name = metrics_counter (metrics, series, "", help);
  ENTRY_COUNTERS (X)
#undef X
  entry->first_byte_latency
      = metrics_histogram (metrics, "vanillahook_first_byte_seconds", "",
                           "From a streamed request to its first byte.");
  entry->answer_latency
      = metrics_histogram (metrics, "vanillahook_answer_seconds", "",
                           "From a request to its whole answer.");
}

/* Open the port for callers and, if configured, the port for peers.  Return
   VH_OK or VH_E_IO.  */
static vh_code_t
open_ports (entry_t *entry)
{
  const settings_t *settings = entry->settings;
  char *certificate = settings->tls_certificate.len > 0
                          ? str_dup (settings->tls_certificate)
                          : NULL;
  char *key = settings->tls_key.len > 0 ? str_dup (settings->tls_key) : NULL;
  const httpd_options_t options
      = { .body_limit = settings->body_limit,
          .read_timeout_ms = READ_TIMEOUT_MS,
          .connections_max = httpd_connection_limit (
              settings->connections_max, settings->descriptors_max),
          .memory = entry->options.memory,
          .tls_certificate = certificate,
          .tls_key = key };
  const httpd_limits_t limits = { .body_bytes = settings->body_limit,
                                  .head_bytes = settings->header_limit };
  vh_code_t code = httpd_create (entry->loop, settings->listen, &options,
                                 entry_on_http, entry, &entry->http);

  if (code == VH_OK)
    httpd_set_limits (entry->http, &limits);

  free (certificate);
  free (key);
  if (code != VH_OK)
    {
      log_err ("entry",
               "Cannot listen for callers; the entry does not start. "
               "address=%.*s",
               STR_ARG (settings->listen));
      return code;
    }
  if (settings->rpc_listen.len == 0)
    return VH_OK;
  return rpc_server_create (entry->node, settings->rpc_listen, peering_serve,
                            entry, &entry->server);
}

void
entry_update_metrics (entry_t *entry)
{
  metrics_gauge (entry->options.metrics, "vanillahook_memory_used_bytes", "",
                 "Memory for connections, requests and responses.")
      ->value
      = (double)entry->options.memory->used;
  metrics_gauge (entry->options.metrics, "vanillahook_memory_limit_bytes", "",
                 "Memory above which connections are evicted.")
      ->value
      = (double)entry->options.memory->limit;
  httpd_export_refusals (entry->http, entry->options.metrics,
                         "vanillahook_clients_refused_total");
}

vh_code_t
entry_create (const entry_options_t *options, entry_t **out)
{
  static const poison_options_t no_test_runs = { 0 };
  entry_t *entry = mem_zalloc (sizeof *entry);
  const settings_t *settings = options->settings;
  const quality_sampling_t sampling = QUALITY_SAMPLING_DEFAULTS;

  *out = NULL;
  entry->options = *options;
  entry->loop = options->loop;
  entry->clock = options->clock;
  entry->settings = settings;
  entry->rng = rng_make (options->seed);
  entry->members = map_create ();
  entry->pools = map_create ();
  list_init (&entry->requests);
  list_init (&entry->rollouts);
  entry->balance = balance_create (settings->name, settings->zone,
                                   options->clock, &entry->rng);
  create_metrics (entry);
  entry->node = rpc_node_create (options->loop, options->clock,
                                 rng_make (rng_u64 (&entry->rng)),
                                 settings->name, settings->rpc_keys,
                                 settings->rpc_keys_count, &rpc_hooks, entry);
  entry->quality = quality_create (rpc_node_epoch (entry->node), &sampling);
  entry->cascade = cascade_create (rpc_node_epoch (entry->node));
  entry->poison = poison_create (options->clock, &no_test_runs);
  entry->degradation = degradation_create (rpc_node_epoch (entry->node));
  entry->burn = burn_create (rpc_node_epoch (entry->node), BURN_CELLS_DEFAULT);
  entry->leader = leader_create (entry);
  claim_init (entry);
  uv_timer_init (options->loop, &entry->tick_timer);
  entry->tick_timer.data = entry;
  uv_timer_start (&entry->tick_timer, on_tick, TICK_MS, TICK_MS);
  vh_code_t code = open_ports (entry);
  if (code != VH_OK)
    {
      entry_destroy (entry);
      return code;
    }
  *out = entry;
  return VH_OK;
}

uint16_t
entry_port (const entry_t *entry)
{
  return httpd_port (entry->http);
}

rpc_node_t *
entry_rpc_node (entry_t *entry)
{
  return entry->node;
}

snapshot_t *
entry_snapshot (const entry_t *entry)
{
  return entry->snapshot;
}

vh_code_t
entry_configure (entry_t *entry, uint64_t revision, str_t text)
{
  conf_errors_t errors = { 0 };
  snapshot_t *snapshot = NULL;

  if (entry->snapshot != NULL
      && revision <= snapshot_revision (entry->snapshot))
    return VH_OK;
  vh_code_t code = snapshot_parse (text, revision, &snapshot, &errors);
  conf_errors_free (&errors);
  if (code != VH_OK)
    {
      log_err ("entry",
               "A configuration has errors and is not applied. revision=%llu",
               (unsigned long long)revision);
      return code;
    }
  learn_config_changed (entry, entry->snapshot, snapshot);
  snapshot_unref (entry->snapshot);
  entry->snapshot = snapshot;
  log_info ("entry", "Configuration is applied. revision=%llu",
            (unsigned long long)revision);
  objective_config_changed (entry);
  fleet_config_changed (entry);
  return VH_OK;
}

void
entry_start_draining (entry_t *entry)
{
  entry->draining = true;
  if (entry->http != NULL)
    httpd_drain (entry->http);
}

void
entry_stop_listening (entry_t *entry)
{
  if (entry->http != NULL)
    httpd_stop_listening (entry->http);
}

size_t
entry_count_unfinished_requests (const entry_t *entry)
{
  size_t count
      = entry->http != NULL ? httpd_unwritten_responses (entry->http) : 0;

  for (const list_t *at = entry->requests.next; at != &entry->requests;
       at = at->next)
    if (CONTAINER_OF (at, request_t, link)->http == NULL)
      count++;
  return count;
}

static void
on_tick_timer_closed (uv_handle_t *handle)
{
  entry_t *entry = handle->data;

  learn_destroy (entry);
  quality_destroy (entry->quality);
  cascade_destroy (entry->cascade);
  poison_destroy (entry->poison);
  degradation_destroy (entry->degradation);
  burn_destroy (entry->burn);
  balance_destroy (entry->balance);
  snapshot_unref (entry->snapshot);
  free (entry);
}

void
entry_destroy (entry_t *entry)
{
  if (entry == NULL || entry->destroyed)
    return;
  entry->destroyed = true;
  LIST_EACH (at, &entry->requests)
    {
      request_t *request = CONTAINER_OF (at, request_t, link);
      httpd_req_t *http = request->http;
      request_destroy (request);
      if (http != NULL)
        httpd_abort (http);
    }
  httpd_destroy (entry->http);
  rpc_server_destroy (entry->server);
  claims_destroy (entry->claims);
  leader_destroy (entry->leader);
  fleet_destroy (entry);
  rpc_node_destroy (entry->node);
  uv_close ((uv_handle_t *)&entry->tick_timer, on_tick_timer_closed);
}

static void
write_zones_status (const entry_t *entry, buf_t *out)
{
  str_t zone;

  buf_printf (out, "\"zones\":[");
  for (size_t i = 0;
       entry->snapshot != NULL
       && (zone = snapshot_zone_at (entry->snapshot, i)).ptr != NULL;
       i++)
    buf_printf (out, "%s{\"name\":\"%.*s\",\"state\":\"%s\"}",
                i > 0 ? "," : "", STR_ARG (zone),
                snapshot_is_zone_enabled (entry->snapshot, zone) ? "in"
                                                                 : "out");
  buf_printf (out, "]");
}

static void
write_decisions_status (const entry_t *entry, buf_t *out)
{
  bool first = true;

  buf_printf (out, "\"decisions\":[");
  for (int i = 0; i < CASCADE_REASON_COUNT; i++)
    {
      uint64_t count
          = cascade_reason_count (entry->cascade, (cascade_reason_t)i);
      if (count == 0)
        continue;
      buf_printf (out,
                  "%s{\"task\":\"\",\"choice\":\"\",\"reason\":\"%s\","
                  "\"count\":%llu}",
                  first ? "" : ",", cascade_reason_code ((cascade_reason_t)i),
                  (unsigned long long)count);
      first = false;
    }
  buf_printf (out, "]");
}

void
entry_write_status (entry_t *entry, buf_t *out)
{
  write_zones_status (entry, out);
  buf_append_char (out, ',');
  fleet_status (entry, out);
  buf_append_char (out, ',');
  learn_status (entry, out);
  buf_append_char (out, ',');
  write_decisions_status (entry, out);
}
