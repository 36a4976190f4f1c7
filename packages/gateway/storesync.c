/* Synchronises a gateway with the platform's store: reads the configuration,
   the operators' orders, the upstream instances and the other gateways, and
   registers this gateway.  Roll-outs are carried out in rollouts.c.  */

#include "gateway/gatewayint.h"

#include "base/eventlog.h"
#include "gateway/loader.h"
#include "gateway/rolloutsint.h"

#include <stdlib.h>

enum
{
  /* Interval at which roll-out steps are checked.  A step may be late by one
     interval, as a good version reaches all requests some seconds before its
     time limit.  */
  TICK_MS = 250,
  TICKS_PER_S = 4,
  /* Longest time that the store holds a watch for orders.  A revoked key must
     be refused within seconds, and a confirmation gets as old as two such
     waits and a timeout.  */
  ORDERS_WAIT_MS = 1500,
  ORDERS_TIMEOUT_SLACK_MS = 500,
  /* The store reports a removed instance at once, so this wait only bounds how
     long a silent connection goes undetected.  */
  INSTANCES_WAIT_MS = 2500,
  INSTANCES_TIMEOUT_SLACK_MS = 600,
  /* Instances register in bursts, and a removed instance may get requests for
     up to 2 s.  */
  INSTANCES_CALL_GAP_MS = 300,
  /* Calls for the rows that gateways share: registrations and roll-out states.
     Roll-out evidence is piggybacked on these calls, so the gap bounds the age
     of the evidence.  */
  SHARED_WAIT_MS = 8000,
  SHARED_TIMEOUT_SLACK_MS = 1000,
  SHARED_CALL_GAP_MS = 150,
  /* Longest retry delay for the other tables.  In an outage only the calls for
     orders probe the store: 22 gateways that retried all three tables made 120
     calls a second.  */
  OTHER_TABLES_RETRY_MAX_MS = 4000,
  /* Delay before a failed registration is repeated.  Until it is registered, a
     gateway only lacks its part of the limits that gateways share.  */
  REGISTRATION_RETRY_MS = 2000
};

struct store_sync
{
  gateway_state_t *belief;
  rows_t *rows;
  peer_rows_t *peer_rows;
  loader_t *loader;
  table_sync_t *instances;
  table_sync_t *shared_rows;
  uv_timer_t tick;
  uint64_t ticks;
  bool has_read_shared_rows; /* The shared rows were read at least once.  */
  bool has_read_instances;   /* The instances were read at least once.  */
  /* The last write of this gateway's registration succeeded.  */
  bool is_registered;
  /* A write of this gateway's registration has no answer yet.  */
  bool is_registration_pending;
  /* Earliest monotonic time at which a failed registration is repeated.  */
  uint64_t registration_retry_ms;
  /* Whether the store was reported as down last, by any table.  */
  bool is_store_down;
  /* Monotonic time at which the store answered again after an outage; 0: there
     was no outage.  */
  uint64_t store_back_ms;
  rollouts_t *rollouts;
};

/* Orders.  */

/* A configuration text of LEN bytes was parsed.  */
static void
on_catalog (void *arg, vh_code_t code, catalog_t *catalog, size_t len)
{
  store_sync_t *sync = arg;
  gateway_state_t *belief = sync->belief;
  uint64_t parse_ms = gateway_config_load_ms (belief);

  /* While a later configuration waits to be parsed, the confirmation of the
     keys in force continues to age.  */
  if (!loader_is_busy (sync->loader))
    belief->config_load_started_ms = 0;
  if (code != VH_OK)
    {
      log_event (EVENT_CONFIG_BAD, log_field_number (FIELD_CODE, code),
                 log_field_number (FIELD_BYTES, len));
      return;
    }
  if (belief->catalog != NULL
      && catalog_revision (catalog) <= catalog_revision (belief->catalog))
    {
      catalog_unref (catalog);
      return;
    }
  log_event (
      EVENT_CONFIG,
      log_field_number (FIELD_REVISION, catalog_revision (catalog)),
      log_field_number (FIELD_BEFORE, belief->catalog != NULL
                                          ? catalog_revision (belief->catalog)
                                          : 0),
      log_field_number (FIELD_READ_MS, parse_ms));
  catalog_unref (belief->catalog);
  belief->catalog = catalog;
}

/* Parse the configuration in ROW.  Until it is parsed, the configuration in
   force counts as confirmed before ROW was read.  */
static void
parse_catalog (store_sync_t *sync, const rows_row_t *row)
{
  gateway_state_t *belief = sync->belief;

  log_event (EVENT_CONFIG_TEXT, log_field_number (FIELD_ORDER, row->version),
             log_field_number (FIELD_BYTES, row->value.len));
  if (belief->config_load_started_ms == 0)
    belief->config_load_started_ms = clock_boottime_ms (belief->clock);
  loader_submit (sync->loader, row->value, belief->catalog == NULL);
}

static void
on_order_put (void *arg, const rows_row_t *row)
{
  store_sync_t *sync = arg;
  gateway_state_t *belief = sync->belief;
  str_t name;

  switch (belief->dialect->operator_row_kind (row->key, &name))
    {
    case OPERATOR_ROW_CATALOG:
      parse_catalog (sync, row);
      break;
    case OPERATOR_ROW_ROLLOUT:
      rollouts_apply_order (sync->rollouts, row);
      break;
    case OPERATOR_ROW_ZONE_EXCLUSION:
      log_event (EVENT_ZONE_OUT, log_field_text (FIELD_ZONE, name));
      pool_set_zone_disabled (belief->pool, name, true);
      break;
    case OPERATOR_ROW_UNKNOWN:
      break;
    }
}

static void
on_order_removed (void *arg, str_t key)
{
  store_sync_t *sync = arg;
  str_t name;

  if (sync->belief->dialect->operator_row_kind (key, &name)
      != OPERATOR_ROW_ZONE_EXCLUSION)
    return;
  log_event (EVENT_ZONE_BACK, log_field_text (FIELD_ZONE, name));
  pool_set_zone_disabled (sync->belief->pool, name, false);
}

/* Instances.  */

static void
on_instance_put (void *arg, const rows_row_t *row)
{
  store_sync_t *sync = arg;
  gateway_state_t *belief = sync->belief;
  upstream_info_t info;
  void *holder = NULL;
  vh_code_t code
      = belief->dialect->read_instance (row->key, row->value, &info, &holder);

  if (code != VH_OK)
    {
      log_event (EVENT_LISTING_BAD, log_field_text (FIELD_UPSTREAM, row->key),
                 log_field_number (FIELD_CODE, code));
      return;
    }
  log_event (EVENT_LISTED, log_field_text (FIELD_UPSTREAM, info.id),
             log_field_text (FIELD_SERVICE, info.service),
             log_field_text (FIELD_VERSION, info.version),
             log_field_text (FIELD_ZONE, info.zone),
             log_field_number (FIELD_DRAINING, info.draining),
             log_field_number (FIELD_COLD_MS, info.cold_ms));
  pool_put (belief->pool, &info);
  belief->dialect->free_holder (holder);
}

static void
on_instance_removed (void *arg, str_t key)
{
  store_sync_t *sync = arg;
  gateway_state_t *belief = sync->belief;
  uint64_t now_ms = clock_ms (belief->clock);
  uint64_t keep_ms = 0;

  if (sync->store_back_ms != 0
      && now_ms - sync->store_back_ms
             < belief->options.expired_registration_grace_ms)
    keep_ms = belief->options.expired_registration_grace_ms
              - (now_ms - sync->store_back_ms);
  log_event (EVENT_UNLISTED, log_field_text (FIELD_UPSTREAM, key),
             log_field_number (FIELD_KEEP_MS, keep_ms));
  pool_remove (belief->pool, key, keep_ms);
}

/* Allow requests to be served once all tables were read.  */
static void
update_prepared (store_sync_t *sync)
{
  if (sync->has_read_shared_rows && sync->has_read_instances)
    sync->belief->is_initialized = true;
}

static void
on_instances_synced (void *arg, bool is_full_read)
{
  store_sync_t *sync = arg;

  (void)is_full_read;
  sync->has_read_instances = true;
  update_prepared (sync);
}

/* Record that the store stopped answering calls for a table (IS_DOWN) or
   answers again.  Registrations that expired during an outage are kept for
   options.lapse_ms from the first answer for any table.  The instances may
   be read seconds after the orders, if their call hung on a broken connection.
   Counted from the read of the instances, an instance that had left 13 s
   before got a request.  */
static void
record_reachability (store_sync_t *sync, bool is_down)
{
  if (!is_down && sync->is_store_down)
    sync->store_back_ms = clock_ms (sync->belief->clock);
  sync->is_store_down = is_down;
}

static void
on_instances_reachability (void *arg, bool is_down)
{
  record_reachability (arg, is_down);
}

/* Rows that gateways share.  */

/* Add the gateway NAME with the registration TEXT, which is ZONE ADDRESS LINK.
   LINK is the bandwidth of its link in Mbit/s.  */
static void
add_gateway (peer_rows_t *peer_rows, str_t name, str_t text)
{
  str_t rest;
  str_t zone = str_cut (text, ' ', &rest);
  uint64_t link_mbps = 0;

  if (rest.ptr == NULL)
    return;
  str_t address = str_cut (rest, ' ', &rest);
  if (rest.ptr != NULL && !str_to_u64 (rest, &link_mbps))
    log_event (EVENT_LISTING_BAD, log_field_text (FIELD_UPSTREAM, name),
               log_field_number (FIELD_CODE, VH_E_BAD_FIELD));
  peer_rows_add_gateway (peer_rows, name, zone, address, (uint32_t)link_mbps);
}

static void
on_shared_put (void *arg, const rows_row_t *row)
{
  store_sync_t *sync = arg;
  str_t rest;
  str_t kind = row_key_prefix (row->key, &rest);

  if (str_eq (kind, STR ("rollout")))
    rollouts_apply_state_row (sync->rollouts, rest, row);
  else if (str_eq (kind, STR ("evidence")))
    rollouts_apply_evidence (sync->rollouts, row->key, false, row->value);
  else if (str_eq (kind, STR ("entry")) && rest.len > 0)
    {
      str_t after_zone;
      allotment_put (sync->belief->allotment, rest,
                     str_cut (row->value, ' ', &after_zone));
      if (sync->peer_rows != NULL)
        add_gateway (sync->peer_rows, rest, row->value);
    }
}

static void
on_shared_removed (void *arg, str_t key)
{
  store_sync_t *sync = arg;
  str_t rest;

  if (str_eq (row_key_prefix (key, &rest), STR ("entry")))
    {
      allotment_remove (sync->belief->allotment, rest);
      if (sync->peer_rows != NULL)
        peer_rows_remove_gateway (sync->peer_rows, rest);
    }
}

/* Divide the limits that gateways share by the number of gateways that are
   registered now.  */
static void
divide_limits (store_sync_t *sync)
{
  gateway_state_t *belief = sync->belief;
  size_t cursor = 0;
  str_t key;
  void *value;

  allotment_expire (belief->allotment);
  uint32_t gateways = (uint32_t)allotment_gateway_count (belief->allotment);
  if (gateways == belief->gateway_count)
    return;
  log_event (EVENT_ENTRIES, log_field_number (FIELD_COUNT, gateways),
             log_field_number (FIELD_BEFORE, belief->gateway_count));
  belief->gateway_count = gateways;
  while (map_next (belief->allowances, &cursor, &key, &value))
    send_budget_set_gateway_count (value, gateways);
}

static void
on_shared_synced (void *arg, bool is_full_read)
{
  store_sync_t *sync = arg;

  (void)is_full_read;
  sync->has_read_shared_rows = true;
  update_prepared (sync);
  allotment_set_loaded (sync->belief->allotment);
  divide_limits (sync);
}

/* Writing.  */

static void
on_registration_written (void *arg, vh_code_t code,
                         const rows_result_t *result)
{
  store_sync_t *sync = arg;

  (void)result;
  sync->is_registration_pending = false;
  sync->is_registered = code == VH_OK;
  if (code == VH_OK)
    return;
  sync->registration_retry_ms
      = clock_ms (sync->belief->clock) + REGISTRATION_RETRY_MS;
  log_event (EVENT_ENTRY_WRITE, log_field_number (FIELD_CODE, code));
}

/* Write the row that registers this gateway with the others, or delete it if
   IS_LEAVING.  */
static void
write_registration (store_sync_t *sync, bool is_leaving)
{
  buf_t key = BUF_NULL;
  buf_t value = BUF_NULL;

  buf_append_str (&key, STR ("entry/"));
  buf_append_str (&key, sync->belief->options.name);
  buf_printf (&value, "%.*s %.*s %u", STR_ARG (sync->belief->options.zone),
              STR_ARG (sync->belief->options.rpc_listen),
              (unsigned)sync->belief->options.link_mbps);
  rows_write_t write = { .table = ROWS_SHARED,
                         .key = buf_str (&key),
                         .value = buf_str (&value),
                         .remove = is_leaving };
  sync->is_registration_pending = true;
  sync->rows->ops->commit (sync->rows, &write, 1, STORE_SYNC_COMMIT_TIMEOUT_MS,
                           on_registration_written, sync);
  buf_free (&key);
  buf_free (&value);
}

static void
on_tick (uv_timer_t *timer)
{
  store_sync_t *sync = timer->data;
  gateway_state_t *belief = sync->belief;
  bool is_second = ++sync->ticks % TICKS_PER_S == 0;

  if (belief->stopping_ms != 0 || !sync->has_read_shared_rows)
    return;
  if (!sync->is_registered && !sync->is_registration_pending
      && clock_ms (belief->clock) >= sync->registration_retry_ms)
    write_registration (sync, false);
  if (is_second)
    divide_limits (sync);
  rollouts_tick (sync->rollouts, is_second);
}

/* Creation and destruction.  */

/* Start to read instances, now that the orders for roll-outs are known: an
   instance of a new version must not be taken for one of the old version.  */
static void
on_orders_synced (void *arg, bool is_full_read)
{
  static const table_sync_options_t instances
      = { .table = ROWS_INSTANCES,
          .name = "instances",
          .call_gap_ms = INSTANCES_CALL_GAP_MS,
          .wait_ms = INSTANCES_WAIT_MS,
          .retry_max_ms = OTHER_TABLES_RETRY_MAX_MS,
          .timeout_slack_ms = INSTANCES_TIMEOUT_SLACK_MS };
  static const table_sync_events_t events
      = { on_instance_put, on_instance_removed, on_instances_synced,
          on_instances_reachability };
  store_sync_t *sync = arg;
  gateway_state_t *belief = sync->belief;

  (void)is_full_read;
  if (sync->instances == NULL)
    sync->instances = table_sync_create (belief->loop, belief->clock,
                                         sync->rows, rng_u64 (&belief->rng),
                                         &instances, &events, sync);
}

/* Retry the other tables at once when the store answers again.  */
static void
on_orders_reachability (void *arg, bool is_down)
{
  store_sync_t *sync = arg;

  record_reachability (sync, is_down);
  if (is_down)
    return;
  table_sync_retry_now (sync->shared_rows);
  if (sync->instances != NULL)
    table_sync_retry_now (sync->instances);
}

store_sync_t *
store_sync_create (gateway_state_t *belief, rows_t *rows,
                   peer_rows_t *peer_rows)
{
  static const table_sync_options_t orders
      = { .table = ROWS_ORDERS,
          .name = "orders",
          .wait_ms = ORDERS_WAIT_MS,
          .timeout_slack_ms = ORDERS_TIMEOUT_SLACK_MS };
  static const table_sync_events_t order_events
      = { on_order_put, on_order_removed, on_orders_synced,
          on_orders_reachability };
  static const table_sync_options_t shared_rows
      = { .table = ROWS_SHARED,
          .name = "own",
          .wait_ms = SHARED_WAIT_MS,
          .retry_max_ms = OTHER_TABLES_RETRY_MAX_MS,
          .timeout_slack_ms = SHARED_TIMEOUT_SLACK_MS,
          .call_gap_ms = SHARED_CALL_GAP_MS };
  static const table_sync_events_t shared_events
      = { on_shared_put, on_shared_removed, on_shared_synced, NULL };
  store_sync_t *sync = mem_zalloc (sizeof *sync);

  sync->belief = belief;
  sync->rows = rows;
  sync->peer_rows = peer_rows;
  sync->rollouts = rollouts_create (belief, rows, peer_rows);
  sync->loader = loader_create (belief->loop, belief->dialect->read_catalog,
                                on_catalog, sync);
  belief->operator_rows = table_sync_create (belief->loop, belief->clock, rows,
                                             rng_u64 (&belief->rng), &orders,
                                             &order_events, sync);
  /* Read together with the orders: this table lists the gateways among which
     is the reader of the orders.  */
  sync->shared_rows = table_sync_create (belief->loop, belief->clock, rows,
                                         rng_u64 (&belief->rng), &shared_rows,
                                         &shared_events, sync);
  uv_timer_init (belief->loop, &sync->tick);
  sync->tick.data = sync;
  uv_timer_start (&sync->tick, on_tick, rng_below (&belief->rng, TICK_MS) + 1,
                  TICK_MS);
  return sync;
}

void
store_sync_stop (store_sync_t *sync)
{
  if (sync->peer_rows != NULL)
    peer_rows_stop_serving (sync->peer_rows);
  if (sync->is_registered)
    write_registration (sync, true);
}

static void
on_tick_closed (uv_handle_t *handle)
{
  free (handle->data);
}

void
store_sync_destroy (store_sync_t *sync)
{
  if (sync == NULL)
    return;
  table_sync_destroy (sync->belief->operator_rows);
  sync->belief->operator_rows = NULL;
  loader_destroy (sync->loader);
  table_sync_destroy (sync->instances);
  table_sync_destroy (sync->shared_rows);
  rollouts_destroy (sync->rollouts);
  sync->rows->ops->cancel (sync->rows, sync);
  uv_close ((uv_handle_t *)&sync->tick, on_tick_closed);
}
