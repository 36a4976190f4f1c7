#include "gateway/gatewayint.h"

#include "base/eventlog.h"

#include <stdlib.h>

enum
{
  WATCH_MS = 100, /* Between looks at a planned stop.  */
  /* Requests come with some KB of JSON and at most the configuration's bound,
     which is checked once one is known.  */
  BODY_BYTES_MAX = 8 << 20,
  /* Longer than callers keep an idle connection.  */
  IDLE_MS = 120000,
  CONNECTIONS_MAX = 3500,
  ADMIN_CONNECTIONS_MAX = 64,
  /* The balancer asks once a second and wants two misses, and a caller may
     have been sent here just before.  */
  NOTICE_MS = 3200,
  MS_PER_S = 1000
};

struct gateway
{
  gateway_state_t belief;
  httpd_t *front;
  httpd_t *ready;
  httpd_t *admin;
  peer_rows_t *share; /* NULL: each entry asks the store.  */
  store_sync_t *duties;
  uv_timer_t watch;
  bool over;
  size_t cut;
  char *texts[6]; /* Copies of the options' strings.  */
};

send_budget_t *
belief_allowance (gateway_state_t *belief, str_t service)
{
  send_budget_t *allowance = map_get (belief->allowances, service);
  send_budget_options_t options
      = { .ratio = belief->options.retry_ratio,
          .slack = belief->options.retry_fixed_budget,
          .window_ms = belief->options.retry_window_ms };

  if (allowance != NULL)
    return allowance;
  allowance = send_budget_create (belief->clock, &options);
  send_budget_set_gateway_count (allowance, belief->entries);
  map_put (belief->allowances, service, allowance);
  return allowance;
}

escalation_t *
belief_escalation (gateway_state_t *belief, str_t service)
{
  escalation_t *escalation = map_get (belief->escalations, service);

  if (escalation != NULL)
    return escalation;
  escalation = escalation_create (&belief->options.escalation);
  map_put (belief->escalations, service, escalation);
  return escalation;
}

uint64_t
gateway_config_load_ms (const gateway_state_t *belief)
{
  return belief->reading_ms == 0
             ? 0
             : clock_boot_ms (belief->clock) - belief->reading_ms;
}

bool
belief_confirmed (const gateway_state_t *belief)
{
  uint64_t bound_ms = belief->options.confirm_ms;

  if (belief->catalog == NULL)
    return false;
  /* A key may have been taken away by the configuration that is being read:
     the one in force ages from the moment at which that came.  */
  if (gateway_config_load_ms (belief) > bound_ms / 2)
    return false;
  return table_sync_age_ms (belief->orders) <= bound_ms;
}

static void
on_front (void *arg, httpd_req_t *req)
{
  relay_start (&((gateway_t *)arg)->belief, req);
}

static bool
gateway_ready (const gateway_t *gateway)
{
  const gateway_state_t *belief = &gateway->belief;

  return belief->stopping_ms == 0 && belief_confirmed (belief)
         && belief->is_initialized;
}

static void
reply_text (httpd_req_t *req, int status, str_t text)
{
  httpc_header_t plain = { STR ("content-type"), STR ("text/plain") };

  httpd_reply (req, status, &plain, 1, text);
}

static void
on_ready (void *arg, httpd_req_t *req)
{
  gateway_t *gateway = arg;

  if (!str_eq (httpd_path (req), gateway->belief.dialect->ready_path))
    reply_text (req, 404, STR ("no such page\n"));
  else if (gateway_ready (gateway))
    reply_text (req, 200, STR ("ready\n"));
  else
    reply_text (req, 503, STR ("not ready\n"));
}

/* Set one gauge.  LABELS is copied.  */
static void
set_gauge (gateway_t *gateway, const char *name, const char *labels,
           const char *help, double value)
{
  metrics_gauge (gateway->belief.metrics, name, labels, help)->value = value;
}

/* Set what is read off rather than counted.  */
static void
set_gauges (gateway_t *gateway)
{
  gateway_state_t *belief = &gateway->belief;
  uint64_t age_ms = table_sync_age_ms (belief->orders);
  size_t cursor = 0;
  str_t service;
  void *value;

  set_gauge (gateway, "vanillahook_gateway_in_flight", "",
             "Requests under way.", (double)httpd_in_flight (gateway->front));
  set_gauge (gateway, "vanillahook_gateway_connections", "",
             "Connections of callers.",
             (double)httpd_connections (gateway->front));
  set_gauge (gateway, "vanillahook_gateway_confirmation_age_seconds", "",
             "Age of the configuration's confirmation; -1: none yet.",
             age_ms == UINT64_MAX ? -1 : (double)age_ms / MS_PER_S);
  set_gauge (gateway, "vanillahook_gateway_revision", "",
             "Revision of the configuration in force.",
             belief->catalog != NULL
                 ? (double)catalog_revision (belief->catalog)
                 : 0);
  set_gauge (gateway, "vanillahook_gateway_revision_reading_seconds", "",
             "For how long a later revision has been read; 0: none is.",
             (double)gateway_config_load_ms (belief) / MS_PER_S);
  set_gauge (gateway, "vanillahook_gateway_entries", "",
             "Entries that share the allowances.", belief->entries);
  set_gauge (gateway, "vanillahook_gateway_ready", "",
             "1: the balancer is told to send callers here.",
             gateway_ready (gateway));
  set_gauge (gateway, "vanillahook_gateway_bills_waiting", "",
             "Bills not yet written.",
             (double)billing_waiting (belief->bills));
  set_gauge (gateway, "vanillahook_gateway_bills_dropped", "",
             "Bills dropped for want of room.",
             (double)billing_dropped (belief->bills));
  set_gauge (gateway, "vanillahook_log_dropped_lines", "",
             "Log lines left out for want of budget or room.",
             (double)eventlog_dropped ());
  while (map_next (belief->allowances, &cursor, &service, &value))
    {
      buf_t labels = BUF_NULL;
      buf_printf (&labels, "service=\"%.*s\"", STR_ARG (service));
      buf_append_char (&labels, '\0');
      set_gauge (gateway, "vanillahook_gateway_extra_sends_left", labels.ptr,
                 "Sends beyond the first that may be made now.",
                 send_budget_remaining (value));
      buf_free (&labels);
    }
  cursor = 0;
  while (map_next (belief->trials, &cursor, &service, &value))
    {
      buf_t labels = BUF_NULL;
      buf_printf (&labels, "service=\"%.*s\"", STR_ARG (service));
      buf_append_char (&labels, '\0');
      set_gauge (
          gateway, "vanillahook_gateway_rollout_share", labels.ptr,
          "Share of the requests for the ordered version.",
          trial_share (value, table_sync_store_now_ms (belief->orders)));
      buf_free (&labels);
    }
}

static void
on_admin (void *arg, httpd_req_t *req)
{
  gateway_t *gateway = arg;
  str_t path = httpd_path (req);
  buf_t text = BUF_NULL;

  if (str_eq (path, STR ("/metrics")))
    {
      set_gauges (gateway);
      metrics_write (gateway->belief.metrics, &text);
      reply_text (req, 200, buf_str (&text));
    }
  else if (str_eq (path, STR ("/healthz")))
    reply_text (req, 200, STR ("alive\n"));
  else if (str_eq (path, STR ("/readyz")))
    reply_text (req, gateway_ready (gateway) ? 200 : 503, STR ("\n"));
  else
    reply_text (req, 404, STR ("no such page\n"));
  buf_free (&text);
}

static void
make_counters (gateway_state_t *belief)
{
#define X(field, help)                                                        \
  belief->counters.field = metrics_counter (                                  \
      belief->metrics, "vanillahook_gateway_" #field "_total", "", help);
  GATEWAY_COUNTERS (X)
#undef X
}

static void
copy_options (gateway_t *gateway, const gateway_options_t *options)
{
  gateway_options_t *own = &gateway->belief.options;
  str_t *texts[] = { &own->name,  &own->zone,  &own->listen,
                     &own->ready, &own->admin, &own->rpc };

  *own = *options;
  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    {
      gateway->texts[i] = str_dup (*texts[i]);
      *texts[i] = str_from (gateway->texts[i]);
    }
}

static vh_code_t
listen_all (gateway_t *gateway)
{
  gateway_state_t *belief = &gateway->belief;
  const gateway_options_t *options = &belief->options;
  httpd_options_t front = { .body_limit = BODY_BYTES_MAX,
                            .read_timeout_ms = IDLE_MS,
                            .connections_max = CONNECTIONS_MAX };
  httpd_options_t other = { .body_limit = 4096,
                            .read_timeout_ms = IDLE_MS,
                            .connections_max = ADMIN_CONNECTIONS_MAX };
  vh_code_t code = httpd_create (belief->loop, options->listen, &front,
                                 on_front, gateway, &gateway->front);

  if (code == VH_OK)
    code = httpd_create (belief->loop, options->ready, &other, on_ready,
                         gateway, &gateway->ready);
  if (code == VH_OK && options->admin.len > 0)
    code = httpd_create (belief->loop, options->admin, &other, on_admin,
                         gateway, &gateway->admin);
  return code;
}

/* Put the sharing with other entries before *ROWS.  */
static vh_code_t
start_sharing (gateway_t *gateway, rows_t **rows)
{
  gateway_state_t *belief = &gateway->belief;
  const peer_rows_options_t options
      = { .name = belief->options.name,
          .zone = belief->options.zone,
          .listen = belief->options.rpc,
          .keys = belief->options.rpc_keys,
          .key_count = belief->options.rpc_key_count,
          .link_mbps = (uint32_t)belief->options.link_mbps };

  if (options.listen.len == 0)
    return VH_OK;
  vh_code_t code
      = peer_rows_create (belief->loop, belief->clock, rng_u64 (&belief->rng),
                          *rows, &options, &gateway->share);
  if (code == VH_OK)
    *rows = peer_rows_iface (gateway->share);
  return code;
}

static void
on_watch_closed (uv_handle_t *handle)
{
  gateway_t *gateway = handle->data;

  pool_destroy (gateway->belief.pool);
  allotment_destroy (gateway->belief.fleet);
  for (size_t i = 0; i < sizeof gateway->texts / sizeof gateway->texts[0]; i++)
    free (gateway->texts[i]);
  free (gateway);
}

/* Release what duties and requests believed.  */
static void
free_beliefs (gateway_state_t *belief)
{
  size_t cursor = 0;
  str_t key;
  void *value;

  while (map_next (belief->trials, &cursor, &key, &value))
    trial_destroy (value);
  map_destroy (belief->trials);
  cursor = 0;
  while (map_next (belief->allowances, &cursor, &key, &value))
    send_budget_destroy (value);
  map_destroy (belief->allowances);
  cursor = 0;
  while (map_next (belief->escalations, &cursor, &key, &value))
    escalation_destroy (value);
  map_destroy (belief->escalations);
  catalog_unref (belief->catalog);
  tally_destroy (belief->tally);
  metrics_destroy (belief->metrics);
}

bool
gateway_destroy (gateway_t *gateway)
{
  if (gateway == NULL)
    return true;
  gateway->cut += relay_cut_all (&gateway->belief);
  bool whole = gateway->cut == 0;
  httpd_destroy (gateway->front);
  httpd_destroy (gateway->ready);
  httpd_destroy (gateway->admin);
  billing_destroy (gateway->belief.bills);
  store_sync_destroy (gateway->duties);
  peer_rows_destroy (gateway->share);
  reach_destroy (gateway->belief.reach);
  free_beliefs (&gateway->belief);
  uv_close ((uv_handle_t *)&gateway->watch, on_watch_closed);
  return whole;
}

/* Look whether a planned stop is over.  */
static void
on_watch (uv_timer_t *timer)
{
  gateway_t *gateway = timer->data;
  gateway_state_t *belief = &gateway->belief;
  uint64_t ms = clock_ms (belief->clock) - belief->stopping_ms;

  if (ms >= belief->options.drain_bound_ms)
    gateway->cut = relay_cut_all (belief);
  else if (ms < NOTICE_MS || httpd_unwritten (gateway->front) > 0)
    return;
  else if (billing_waiting (belief->bills) > 0)
    {
      /* Nothing is billed any more; the last bills go out.  */
      billing_flush (belief->bills);
      return;
    }
  log_event (EVENT_STOPPED, field_number (FIELD_MS, ms),
             field_number (FIELD_CUT, gateway->cut));
  uv_timer_stop (timer);
  gateway->over = true;
  uv_stop (belief->loop);
}

void
gateway_begin_stop (gateway_t *gateway)
{
  gateway_state_t *belief = &gateway->belief;

  if (belief->stopping_ms != 0)
    return;
  belief->stopping_ms = clock_ms (belief->clock);
  store_sync_stop (gateway->duties);
  log_event (EVENT_STOP,
             field_number (FIELD_IN_FLIGHT, httpd_in_flight (gateway->front)));
  uv_timer_start (&gateway->watch, on_watch, WATCH_MS, WATCH_MS);
}

uint16_t
gateway_port (const gateway_t *gateway)
{
  return httpd_port (gateway->front);
}

uint16_t
gateway_ready_port (const gateway_t *gateway)
{
  return httpd_port (gateway->ready);
}

bool
gateway_is_stopped (const gateway_t *gateway)
{
  return gateway->over;
}

static void
on_looked (void *arg, str_t id, bool reached)
{
  gateway_state_t *belief = arg;

  log_event (EVENT_LOOKED, field_text (FIELD_UPSTREAM, id),
             field_number (FIELD_REACHED, reached));
  pool_probe_finished (belief->pool, id, reached);
}

vh_code_t
gateway_create (uv_loop_t *loop, clock_iface_t *clock, rows_t *rows,
                const gateway_dialect_t *dialect,
                const gateway_options_t *options, gateway_t **out)
{
  gateway_t *gateway = mem_zalloc (sizeof *gateway);
  gateway_state_t *belief = &gateway->belief;
  pool_options_t pool = { .zone = options->zone,
                          .cold_factor = options->cold_factor,
                          .cold_slack = options->cold_slack };

  *out = NULL;
  belief->loop = loop;
  belief->clock = clock;
  belief->dialect = dialect;
  belief->names = dialect->names;
  copy_options (gateway, options);
  belief->rng = rng_make (options->seed);
  belief->fleet = allotment_create (clock, options->name, options->zone);
  pool.entries = belief->fleet;
  belief->pool = pool_create (clock, rng_u64 (&belief->rng), &pool);
  belief->reach = reach_create (loop, on_looked, belief);
  belief->trials = map_create ();
  belief->allowances = map_create ();
  belief->escalations = map_create ();
  belief->entries = 1;
  belief->started_ms = clock_ms (clock);
  belief->metrics = metrics_create ();
  list_init (&belief->relays);
  belief->tally = tally_create (belief->metrics);
  make_counters (belief);
  uv_timer_init (loop, &gateway->watch);
  gateway->watch.data = gateway;
  vh_code_t code = listen_all (gateway);
  if (code == VH_OK)
    code = start_sharing (gateway, &rows);
  gateway->duties = store_sync_create (belief, rows, gateway->share);
  belief->bills = billing_create (loop, rows, belief->options.name,
                                  rng_u64 (&belief->rng));
  if (code != VH_OK)
    {
      log_err ("gateway", "An address cannot be listened on. listen=%.*s",
               STR_ARG (options->listen));
      gateway_destroy (gateway);
      return code;
    }
  log_event (EVENT_START, field_text (FIELD_ZONE, options->zone),
             field_text (FIELD_LISTEN, options->listen));
  *out = gateway;
  return VH_OK;
}
