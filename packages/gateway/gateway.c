#include "gateway/gatewayint.h"

#include "base/eventlog.h"
#include "base/loop_watch.h"
#include "gateway/crash_recordsint.h"

#include <stdlib.h>

enum
{
  DRAIN_POLL_MS = 100, /* Interval at which a planned stop checks whether the
                          requests have ended.  */
  /* Size limit of a request body if the configuration has none.  */
  BODY_BYTES_MAX = 8 << 20,
  /* Read timeout of connections to the listeners; longer than callers keep an
     idle connection.  */
  LISTENER_READ_TIMEOUT_MS = 120000,
  CONNECTIONS_MAX = 3500,
  /* Small enough for the memory of these connections to be no part of the
     budget, so that a flood of requests does not end readiness checks.  */
  ADMIN_CONNECTIONS_MAX = 64,
  /* Shortest duration of a planned stop, within which the platform's load
     balancer detects the failing readiness check.  The balancer checks
     readiness once a second, removes a gateway process after two failures, and
     may have directed a caller here just before.  */
  DRAIN_DURATION_MIN_MS = 3200,
  MS_PER_S = 1000
};

struct gateway
{
  gateway_state_t state;
  httpd_t *ready_server;
  httpd_t *admin_server;
  peer_rows_t *peer_rows; /* NULL if this process does not share reads of the
                             store with others.  */
  store_sync_t *store_sync;
  loop_watch_t *loop_watch;
  uv_timer_t drain_timer;
  bool is_stopped;
  size_t aborted_count;
  char *option_strings[6]; /* Copies of the options' strings.  */
};

send_budget_t *
gateway_service_retry_budget (gateway_state_t *state, str_t service)
{
  send_budget_t *budget = map_get (state->retry_budgets, service);
  send_budget_options_t options
      = { .ratio = state->options.retries_per_request,
          .slack = state->options.fixed_retries_per_window,
          .window_ms = state->options.retry_window_ms };

  if (budget != NULL)
    return budget;
  options.seed = rng_u64 (&state->rng);
  budget = send_budget_create (state->clock, &options);
  send_budget_set_gateway_count (budget, state->gateway_count);
  map_put (state->retry_budgets, service, budget);
  return budget;
}

escalation_t *
gateway_service_escalation (gateway_state_t *state, str_t service)
{
  escalation_t *escalation = map_get (state->escalations, service);

  if (escalation != NULL)
    return escalation;
  escalation = escalation_create (&state->options.escalation);
  map_put (state->escalations, service, escalation);
  return escalation;
}

finish_time_t *
gateway_service_finish_time (gateway_state_t *state, str_t service)
{
  finish_time_t *finish_time = map_get (state->finish_times, service);

  if (finish_time != NULL)
    return finish_time;
  finish_time = finish_time_create ();
  map_put (state->finish_times, service, finish_time);
  return finish_time;
}

uint64_t
gateway_config_load_elapsed_ms (const gateway_state_t *state)
{
  return state->config_load_started_ms == 0
             ? 0
             : clock_boottime_ms (state->clock)
                   - state->config_load_started_ms;
}

bool
gateway_has_fresh_config (const gateway_state_t *state)
{
  return state->catalog != NULL
         && config_age_ms (&state->config_age,
                           table_sync_confirmed_ms (state->operator_rows_sync),
                           clock_boottime_ms (state->clock))
                <= state->options.config_max_age_ms;
}

static void
on_caller_request (void *arg, httpd_req_t *req)
{
  relay_start (&((gateway_t *)arg)->state, req);
}

static httpd_decision_t
on_caller_head (void *arg, const httpd_req_t *req)
{
  return relay_check_head (&((gateway_t *)arg)->state, req);
}

void
gateway_apply_client_limits (gateway_state_t *state, const catalog_t *catalog)
{
  const client_limits_t *configured = catalog_limits (catalog);
  const httpd_limits_t limits
      = { .body_bytes = configured->body_bytes_max > 0
                            ? configured->body_bytes_max
                            : BODY_BYTES_MAX,
          .head_bytes = configured->header_bytes_max,
          .head_ms = configured->header_timeout_ms };

  httpd_set_limits (state->caller_server, &limits);
  state->memory.limit = memory_budget_limit (
      (uint32_t)state->options.memory_mb, limits.body_bytes);
}

static bool
is_ready (const gateway_t *gateway)
{
  const gateway_state_t *state = &gateway->state;

  return state->stopping_ms == 0 && gateway_has_fresh_config (state)
         && state->is_initialized;
}

static void
reply_text (httpd_req_t *req, int status, str_t text)
{
  httpc_header_t content_type = { STR ("content-type"), STR ("text/plain") };

  httpd_reply (req, status, &content_type, 1, text);
}

static void
on_ready_request (void *arg, httpd_req_t *req)
{
  gateway_t *gateway = arg;

  if (!str_eq (httpd_path (req), gateway->state.dialect->ready_path))
    reply_text (req, 404, STR ("no such page\n"));
  else if (is_ready (gateway))
    reply_text (req, 200, STR ("ready\n"));
  else
    reply_text (req, 503, STR ("not ready\n"));
}

/* Set the gauge NAME with LABELS, which are copied, to VALUE.  */
static void
set_gauge (gateway_t *gateway, const char *name, const char *labels,
           const char *help, double value)
{
  metrics_gauge (gateway->state.metrics, name, labels, help)->value = value;
}

/* Set the gauges from the current state.  */
static void
set_gauges (gateway_t *gateway)
{
  gateway_state_t *state = &gateway->state;
  uint64_t age_ms = table_sync_age_ms (state->operator_rows_sync);
  size_t cursor = 0;
  str_t service;
  void *value;
  double lowest_factor;
  double highest_factor;

  pool_time_factor_range (state->pool, &lowest_factor, &highest_factor);
  set_gauge (gateway, "vanillahook_gateway_in_flight", "",
             "Requests in progress.",
             (double)httpd_in_flight (gateway->state.caller_server));
  set_gauge (gateway, "vanillahook_gateway_connections", "",
             "Connections of callers.",
             (double)httpd_connections (gateway->state.caller_server));
  set_gauge (gateway, "vanillahook_gateway_confirmation_age_seconds", "",
             "Age of the configuration's confirmation; -1: none yet.",
             age_ms == UINT64_MAX ? -1 : (double)age_ms / MS_PER_S);
  set_gauge (gateway, "vanillahook_gateway_revision", "",
             "Revision of the configuration in force.",
             state->catalog != NULL ? (double)catalog_revision (state->catalog)
                                    : 0);
  set_gauge (gateway, "vanillahook_gateway_revision_reading_seconds", "",
             "Time for which a newer revision has been loading; 0: none is.",
             (double)gateway_config_load_elapsed_ms (state) / MS_PER_S);
  set_gauge (gateway, "vanillahook_gateway_entries", "",
             "Gateway processes that share the retry budgets; 0: unknown.",
             state->gateway_count);
  set_gauge (gateway, "vanillahook_gateway_limited_instances", "",
             "Instances that announce a rate limit.",
             (double)pool_count_rate_limits (state->pool));
  set_gauge (gateway, "vanillahook_gateway_time_factor_lowest", "",
             "Lasting time factor of the fastest instance, 1 as usual; 0: "
             "none is known.",
             lowest_factor);
  set_gauge (gateway, "vanillahook_gateway_time_factor_highest", "",
             "Lasting time factor of the slowest instance, 1 as usual; 0: "
             "none is known.",
             highest_factor);
  set_gauge (gateway, "vanillahook_gateway_suspects", "",
             "Requests suspected of crashing instances, the refused among "
             "them.",
             (double)crash_records_suspect_count (state->crash_records));
  set_gauge (gateway, "vanillahook_gateway_ready", "",
             "1: the readiness check succeeds.", is_ready (gateway));
  set_gauge (gateway, "vanillahook_gateway_response_memory_bytes", "",
             "Memory for incomplete events, buffered bodies and what callers "
             "have not read.",
             (double)state->response_memory);
  set_gauge (gateway, "vanillahook_gateway_memory_used_bytes", "",
             "Memory for connections, requests and responses.",
             (double)state->memory.used);
  set_gauge (gateway, "vanillahook_gateway_memory_limit_bytes", "",
             "Memory above which connections are evicted.",
             (double)state->memory.limit);
  httpd_export_refusals (state->caller_server, state->metrics,
                         "vanillahook_gateway_clients_refused_total");
  set_gauge (gateway, "vanillahook_gateway_bills_waiting", "",
             "Bills not yet written.",
             (double)billing_queued_bill_count (state->billing));
  set_gauge (gateway, "vanillahook_gateway_bills_dropped", "",
             "Bills dropped because the queue was full.",
             (double)billing_dropped_bill_count (state->billing));
  set_gauge (gateway, "vanillahook_log_dropped_lines", "",
             "Log lines dropped by the rate limit or a full buffer.",
             (double)eventlog_dropped_lines ());
  while (map_next (state->retry_budgets, &cursor, &service, &value))
    {
      buf_t labels = BUF_NULL;
      send_budget_usage_t usage = send_budget_usage (value);
      buf_printf (&labels, "service=\"%.*s\"", STR_ARG (service));
      buf_append_char (&labels, '\0');
      set_gauge (gateway, "vanillahook_gateway_extra_sends_left", labels.ptr,
                 "Extra sends that the retry budget allows now.",
                 usage.remaining);
      set_gauge (gateway, "vanillahook_gateway_extra_sends_part", labels.ptr,
                 "Part of the fixed number of extra sends that this process "
                 "may use.",
                 usage.fixed_part);
      set_gauge (gateway, "vanillahook_gateway_extra_sends_in_window",
                 labels.ptr, "Extra sends in the window of the retry budget.",
                 usage.extra_sends);
      set_gauge (gateway, "vanillahook_gateway_requests_in_window", labels.ptr,
                 "Requests in the window of the retry budget.",
                 usage.requests);
      buf_free (&labels);
    }
  cursor = 0;
  while (map_next (state->trials, &cursor, &service, &value))
    {
      buf_t labels = BUF_NULL;
      buf_printf (&labels, "service=\"%.*s\"", STR_ARG (service));
      buf_append_char (&labels, '\0');
      set_gauge (gateway, "vanillahook_gateway_rollout_share", labels.ptr,
                 "Share of the requests that the new version gets.",
                 trial_share (value, table_sync_store_now_ms (
                                         state->operator_rows_sync)));
      buf_free (&labels);
    }
}

static void
on_admin_request (void *arg, httpd_req_t *req)
{
  gateway_t *gateway = arg;
  str_t path = httpd_path (req);
  buf_t text = BUF_NULL;

  if (str_eq (path, STR ("/metrics")))
    {
      set_gauges (gateway);
      metrics_write (gateway->state.metrics, &text);
      reply_text (req, 200, buf_str (&text));
    }
  else if (str_eq (path, STR ("/healthz")))
    reply_text (req, 200, STR ("alive\n"));
  else if (str_eq (path, STR ("/readyz")))
    reply_text (req, is_ready (gateway) ? 200 : 503, STR ("\n"));
  else
    reply_text (req, 404, STR ("no such page\n"));
  buf_free (&text);
}

static void
create_counters (gateway_state_t *state)
{
#define X(field, help)                                                        \
  state->counters.field = metrics_counter (                                   \
      state->metrics, "vanillahook_gateway_" #field "_total", "", help);
  GATEWAY_COUNTERS (X)
#undef X
}

static void
copy_options (gateway_t *gateway, const gateway_options_t *options)
{
  gateway_options_t *copy = &gateway->state.options;
  str_t *option_strings[]
      = { &copy->name,         &copy->zone,         &copy->listen,
          &copy->ready_listen, &copy->admin_listen, &copy->rpc_listen };

  *copy = *options;
  for (size_t i = 0; i < sizeof option_strings / sizeof option_strings[0]; i++)
    {
      gateway->option_strings[i] = str_dup (*option_strings[i]);
      *option_strings[i] = str_from (gateway->option_strings[i]);
    }
}

static vh_code_t
listen_all (gateway_t *gateway)
{
  gateway_state_t *state = &gateway->state;
  const gateway_options_t *options = &state->options;
  httpd_options_t caller_options
      = { .body_limit = BODY_BYTES_MAX,
          .read_timeout_ms = LISTENER_READ_TIMEOUT_MS,
          .connections_max
          = httpd_connection_limit (CONNECTIONS_MAX, options->descriptors_max),
          .memory = &state->memory,
          .on_head = on_caller_head };
  httpd_options_t internal_options
      = { .body_limit = 4096,
          .read_timeout_ms = LISTENER_READ_TIMEOUT_MS,
          .connections_max = ADMIN_CONNECTIONS_MAX };

  state->memory.limit = memory_budget_limit ((uint32_t)options->memory_mb,
                                             caller_options.body_limit);
  vh_code_t code = httpd_create (state->loop, options->listen, &caller_options,
                                 on_caller_request, gateway,
                                 &gateway->state.caller_server);

  if (code == VH_OK)
    code = httpd_create (state->loop, options->ready_listen, &internal_options,
                         on_ready_request, gateway, &gateway->ready_server);
  if (code == VH_OK && options->admin_listen.len > 0)
    code = httpd_create (state->loop, options->admin_listen, &internal_options,
                         on_admin_request, gateway, &gateway->admin_server);
  return code;
}

/* If the options name an RPC listener, replace *ROWS by an interface that
   shares reads of the store with other gateway processes.  */
static vh_code_t
start_sharing (gateway_t *gateway, rows_t **rows)
{
  gateway_state_t *state = &gateway->state;
  const peer_rows_options_t options
      = { .name = state->options.name,
          .zone = state->options.zone,
          .listen = state->options.rpc_listen,
          .keys = state->options.rpc_keys,
          .key_count = state->options.rpc_key_count,
          .link_mbps = (uint32_t)state->options.link_mbps };

  if (options.listen.len == 0)
    return VH_OK;
  vh_code_t code
      = peer_rows_create (state->loop, state->clock, rng_u64 (&state->rng),
                          *rows, &options, &gateway->peer_rows);
  if (code == VH_OK)
    *rows = peer_rows_iface (gateway->peer_rows);
  return code;
}

static void
on_drain_timer_closed (uv_handle_t *handle)
{
  gateway_t *gateway = handle->data;

  pool_destroy (gateway->state.pool);
  allotment_destroy (gateway->state.allotment);
  for (size_t i = 0;
       i < sizeof gateway->option_strings / sizeof gateway->option_strings[0];
       i++)
    free (gateway->option_strings[i]);
  free (gateway);
}

static void
free_state (gateway_state_t *state)
{
  size_t cursor = 0;
  str_t key;
  void *value;

  while (map_next (state->trials, &cursor, &key, &value))
    trial_destroy (value);
  map_destroy (state->trials);
  cursor = 0;
  while (map_next (state->usual_times, &cursor, &key, &value))
    free (value);
  map_destroy (state->usual_times);
  cursor = 0;
  while (map_next (state->retry_budgets, &cursor, &key, &value))
    send_budget_destroy (value);
  map_destroy (state->retry_budgets);
  cursor = 0;
  while (map_next (state->escalations, &cursor, &key, &value))
    escalation_destroy (value);
  map_destroy (state->escalations);
  cursor = 0;
  while (map_next (state->finish_times, &cursor, &key, &value))
    finish_time_destroy (value);
  map_destroy (state->finish_times);
  catalog_unref (state->catalog);
  request_metrics_destroy (state->request_metrics);
  metrics_destroy (state->metrics);
}

bool
gateway_destroy (gateway_t *gateway)
{
  if (gateway == NULL)
    return true;
  gateway->aborted_count += relay_abort_all (&gateway->state);
  bool nothing_aborted = gateway->aborted_count == 0;
  httpd_destroy (gateway->state.caller_server);
  httpd_destroy (gateway->ready_server);
  httpd_destroy (gateway->admin_server);
  billing_destroy (gateway->state.billing);
  store_sync_destroy (gateway->store_sync);
  peer_rows_destroy (gateway->peer_rows);
  prober_destroy (gateway->state.prober);
  loop_watch_destroy (gateway->loop_watch);
  free_state (&gateway->state);
  uv_close ((uv_handle_t *)&gateway->drain_timer, on_drain_timer_closed);
  return nothing_aborted;
}

/* End the planned stop when all responses and bills are written, but not
   before DRAIN_DURATION_MIN_MS.  At the time limit, abort the remaining
   requests.  */
static void
on_drain_timer (uv_timer_t *timer)
{
  gateway_t *gateway = timer->data;
  gateway_state_t *state = &gateway->state;
  uint64_t elapsed_ms = clock_ms (state->clock) - state->stopping_ms;

  if (elapsed_ms >= state->options.drain_timeout_ms)
    gateway->aborted_count = relay_abort_all (state);
  else if (elapsed_ms < DRAIN_DURATION_MIN_MS
           || httpd_unwritten_responses (gateway->state.caller_server) > 0)
    return;
  else if (billing_queued_bill_count (state->billing) > 0)
    {
      /* No request is left, so no more bills are added.  */
      billing_flush (state->billing);
      return;
    }
  log_event (EVENT_STOPPED, log_field_number (FIELD_MS, elapsed_ms),
             log_field_number (FIELD_CUT, gateway->aborted_count));
  uv_timer_stop (timer);
  gateway->is_stopped = true;
  uv_stop (state->loop);
}

bool
gateway_accepts_request (const gateway_state_t *state, uint64_t arrived_ms)
{
  return state->stopping_ms == 0 || arrived_ms < state->accepts_until_ms;
}

void
gateway_begin_stop (gateway_t *gateway, const stop_time_t *time)
{
  gateway_state_t *state = &gateway->state;

  if (state->stopping_ms != 0)
    return;
  state->stopping_ms = time->delivered_ms;
  state->accepts_until_ms = time->earliest_ms + state->options.drain_grace_ms;
  store_sync_stop (gateway->store_sync);
  log_event (EVENT_STOP,
             log_field_number (FIELD_IN_FLIGHT,
                               httpd_in_flight (gateway->state.caller_server)),
             log_field_number (FIELD_DELAY_MS,
                               clock_ms (state->clock) - time->delivered_ms),
             log_field_number (FIELD_UNCERTAINTY_MS,
                               time->delivered_ms - time->earliest_ms));
  uv_timer_start (&gateway->drain_timer, on_drain_timer, DRAIN_POLL_MS,
                  DRAIN_POLL_MS);
}

uint16_t
gateway_port (const gateway_t *gateway)
{
  return httpd_port (gateway->state.caller_server);
}

uint16_t
gateway_ready_port (const gateway_t *gateway)
{
  return httpd_port (gateway->ready_server);
}

uint16_t
gateway_admin_port (const gateway_t *gateway)
{
  return httpd_port (gateway->admin_server);
}

bool
gateway_is_stopped (const gateway_t *gateway)
{
  return gateway->is_stopped;
}

static void
on_probe_done (void *arg, str_t id, probe_result_t result)
{
  gateway_state_t *state = arg;
  bool is_reachable = result == PROBE_ACCEPTED;

  log_event (EVENT_LOOKED, log_field_text (FIELD_UPSTREAM, id),
             log_field_number (FIELD_REACHED, is_reachable));
  pool_probe_finished (state->pool, id, is_reachable);
  crash_records_probe_finished (state->crash_records, id, result);
}

bool
gateway_has_turn (const gateway_state_t *state, uint64_t hash,
                  uint64_t turn_ms)
{
  uint64_t turn
      = table_sync_store_now_ms (state->operator_rows_sync) / turn_ms;

  return allotment_rank (state->allotment, hash, STR (""))
         == turn % allotment_gateway_count (state->allotment);
}

vh_code_t
gateway_create (uv_loop_t *loop, clock_iface_t *clock, rows_t *rows,
                const gateway_dialect_t *dialect,
                const gateway_options_t *options, gateway_t **out)
{
  gateway_t *gateway = mem_zalloc (sizeof *gateway);
  gateway_state_t *state = &gateway->state;
  pool_options_t pool_options
      = { .zone = options->zone,
          .cold_factor = options->cold_factor,
          .cold_slack = options->cold_slack,
          .ignores_time_factors = options->ignores_time_factors };

  *out = NULL;
  state->loop = loop;
  state->clock = clock;
  state->dialect = dialect;
  state->names = dialect->names;
  copy_options (gateway, options);
  state->rng = rng_make (options->seed);
  state->allotment = allotment_create (clock, options->name, options->zone);
  pool_options.gateways = state->allotment;
  state->pool = pool_create (clock, rng_u64 (&state->rng), &pool_options);
  state->prober = prober_create (loop, on_probe_done, state);
  state->trials = map_create ();
  state->usual_times = map_create ();
  state->retry_budgets = map_create ();
  state->escalations = map_create ();
  state->finish_times = map_create ();
  state->started_ms = clock_ms (clock);
  state->metrics = metrics_create ();
  list_init (&state->relays);
  gateway->loop_watch = loop_watch_create (
      loop, metrics_histogram (state->metrics, LOOP_WATCH_METRIC, "",
                               LOOP_WATCH_HELP));
  state->request_metrics = request_metrics_create (state->metrics);
  create_counters (state);
  uv_timer_init (loop, &gateway->drain_timer);
  gateway->drain_timer.data = gateway;
  vh_code_t code = listen_all (gateway);
  if (code == VH_OK)
    code = start_sharing (gateway, &rows);
  gateway->store_sync = store_sync_create (state, rows, gateway->peer_rows);
  state->billing = billing_create (loop, rows, state->options.name,
                                   rng_u64 (&state->rng));
  if (code != VH_OK)
    {
      log_err (
          "gateway",
          "Cannot listen on a configured address; the gateway does not start. "
          "listen=%.*s",
          STR_ARG (options->listen));
      gateway_destroy (gateway);
      return code;
    }
  log_event (EVENT_START, log_field_text (FIELD_ZONE, options->zone),
             log_field_text (FIELD_LISTEN, options->listen));
  *out = gateway;
  return VH_OK;
}
