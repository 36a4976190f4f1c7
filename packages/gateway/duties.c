/* What a gateway learns from the platform's store and does there: the
   configuration, the instances, the operators' orders and the other entries.
   What follows from orders of roll-outs is in rollouts.c.  */

#include "gateway/gatewayint.h"

#include "base/eventlog.h"
#include "gateway/loader.h"
#include "gateway/rolloutsint.h"

#include <stdlib.h>

enum
{
  /* Steps of a roll-out are taken on time to a quarter of a second: a good
     version has some seconds to spare in all.  */
  TICK_MS = 250,
  TICKS_PER_S = 4,
  /* A key that was taken away must be unusable within seconds, and the age of
     a confirmation is at most two waits and a timeout.  */
  ORDERS_WAIT_MS = 1500,
  ORDERS_SLACK_MS = 500,
  /* A departure is told at once; the wait only bounds a silent connection.  */
  INSTANCES_WAIT_MS = 2500,
  INSTANCES_SLACK_MS = 600,
  /* Listings come in bursts; a departure may be acted on within 2 s.  */
  INSTANCES_GAP_MS = 300,
  /* Entries and steps of roll-outs.  Evidence goes with these calls, so the
     gap bounds how old it is.  */
  OWN_WAIT_MS = 8000,
  OWN_SLACK_MS = 1000,
  OWN_GAP_MS = 150,
  /* In an outage the orders are asked for on behalf of all tables: 22 entries
     that asked for three each made 120 calls a second.  */
  RETRY_LAST_MS = 4000,
  /* An entry that is not listed yet only lacks its part of what is shared.  */
  NODE_RETRY_MS = 2000
};

struct duties
{
  gateway_state_t *belief;
  rows_t *rows;
  peer_rows_t *share;
  loader_t *loader;
  table_sync_t *instances;
  table_sync_t *own;
  uv_timer_t tick;
  uint64_t ticks;
  bool own_read; /* The shared rows were read once.  */
  bool instances_read;
  bool node_written;
  bool node_pending;
  uint64_t node_again_ms; /* Not before this, after a write that failed.  */
  bool away;              /* Some table could not be read.  */
  uint64_t returned_ms;   /* When the store came back, monotonic.  */
  rollouts_t *rollouts;
};

/* Orders.  */

/* A configuration of LEN bytes was read.  */
static void
on_catalog (void *arg, vh_code_t code, catalog_t *catalog, size_t len)
{
  store_sync_t *duties = arg;
  gateway_state_t *belief = duties->belief;
  uint64_t read_ms = gateway_config_load_ms (belief);

  /* While a later one waits the keys go on ageing.  */
  if (!loader_is_busy (duties->loader))
    belief->config_load_started_ms = 0;
  if (code != VH_OK)
    {
      log_event (EVENT_CONFIG_BAD, field_number (FIELD_CODE, code),
                 field_number (FIELD_BYTES, len));
      return;
    }
  if (belief->catalog != NULL
      && catalog_revision (catalog) <= catalog_revision (belief->catalog))
    {
      catalog_unref (catalog);
      return;
    }
  log_event (
      EVENT_CONFIG, field_number (FIELD_REVISION, catalog_revision (catalog)),
      field_number (FIELD_BEFORE, belief->catalog != NULL
                                      ? catalog_revision (belief->catalog)
                                      : 0),
      field_number (FIELD_READ_MS, read_ms));
  catalog_unref (belief->catalog);
  belief->catalog = catalog;
}

/* Read the configuration in ROW.  What is in force until then is as old as the
   last confirmation before this one.  */
static void
take_catalog (store_sync_t *duties, const rows_row_t *row)
{
  gateway_state_t *belief = duties->belief;

  log_event (EVENT_CONFIG_TEXT, field_number (FIELD_ORDER, row->version),
             field_number (FIELD_BYTES, row->value.len));
  if (belief->config_load_started_ms == 0)
    belief->config_load_started_ms = clock_boot_ms (belief->clock);
  loader_submit (duties->loader, row->value, belief->catalog == NULL);
}

static void
on_order_put (void *arg, const rows_row_t *row)
{
  store_sync_t *duties = arg;
  gateway_state_t *belief = duties->belief;
  str_t name;

  switch (belief->dialect->operator_row_kind (row->key, &name))
    {
    case OPERATOR_ROW_CATALOG:
      take_catalog (duties, row);
      break;
    case OPERATOR_ROW_ROLLOUT:
      rollouts_apply_order (duties->rollouts, row);
      break;
    case OPERATOR_ROW_ZONE_EXCLUSION:
      log_event (EVENT_ZONE_OUT, field_text (FIELD_ZONE, name));
      pool_set_zone_disabled (belief->pool, name, true);
      break;
    case OPERATOR_ROW_UNKNOWN:
      break;
    }
}

static void
on_order_removed (void *arg, str_t key)
{
  store_sync_t *duties = arg;
  str_t name;

  if (duties->belief->dialect->operator_row_kind (key, &name)
      != OPERATOR_ROW_ZONE_EXCLUSION)
    return;
  log_event (EVENT_ZONE_BACK, field_text (FIELD_ZONE, name));
  pool_set_zone_disabled (duties->belief->pool, name, false);
}

/* Instances.  */

static void
on_instance_put (void *arg, const rows_row_t *row)
{
  store_sync_t *duties = arg;
  gateway_state_t *belief = duties->belief;
  upstream_info_t info;
  void *holder = NULL;
  vh_code_t code
      = belief->dialect->read_instance (row->key, row->value, &info, &holder);

  if (code != VH_OK)
    {
      log_event (EVENT_LISTING_BAD, field_text (FIELD_UPSTREAM, row->key),
                 field_number (FIELD_CODE, code));
      return;
    }
  log_event (EVENT_LISTED, field_text (FIELD_UPSTREAM, info.id),
             field_text (FIELD_SERVICE, info.service),
             field_text (FIELD_VERSION, info.version),
             field_text (FIELD_ZONE, info.zone),
             field_number (FIELD_DRAINING, info.draining),
             field_number (FIELD_COLD_MS, info.cold_ms));
  pool_put (belief->pool, &info);
  belief->dialect->free_holder (holder);
}

static void
on_instance_removed (void *arg, str_t key)
{
  store_sync_t *duties = arg;
  gateway_state_t *belief = duties->belief;
  uint64_t now_ms = clock_ms (belief->clock);
  uint64_t keep_ms = 0;

  if (duties->returned_ms != 0
      && now_ms - duties->returned_ms < belief->options.registration_grace_ms)
    keep_ms = belief->options.registration_grace_ms
              - (now_ms - duties->returned_ms);
  log_event (EVENT_UNLISTED, field_text (FIELD_UPSTREAM, key),
             field_number (FIELD_KEEP_MS, keep_ms));
  pool_remove (belief->pool, key, keep_ms);
}

/* Requests may be served once all tables were read.  */
static void
set_prepared (store_sync_t *duties)
{
  if (duties->own_read && duties->instances_read)
    duties->belief->is_initialized = true;
}

static void
on_instances_caught_up (void *arg, bool full)
{
  store_sync_t *duties = arg;

  (void)full;
  duties->instances_read = true;
  set_prepared (duties);
}

/* Registrations that lapsed in an outage count from the first sign that the
   store is back, whichever table it is on.  The instances may be read seconds
   after the orders, when their call hung on a connection that was cut: counted
   from there, an instance that had left 13 s before got a request.  */
static void
note_reach (store_sync_t *duties, bool down)
{
  if (!down && duties->away)
    duties->returned_ms = clock_ms (duties->belief->clock);
  duties->away = down;
}

static void
on_instances_reach (void *arg, bool down)
{
  note_reach (arg, down);
}

/* Shared rows.  */

/* Take in an entry that listed itself: ZONE ADDRESS LINK.  */
static void
take_entry (peer_rows_t *share, str_t name, str_t text)
{
  str_t rest;
  str_t zone = str_cut (text, ' ', &rest);
  uint64_t link_mbps = 0;

  if (rest.ptr == NULL)
    return;
  str_t address = str_cut (rest, ' ', &rest);
  if (rest.ptr != NULL && !str_to_u64 (rest, &link_mbps))
    log_event (EVENT_LISTING_BAD, field_text (FIELD_UPSTREAM, name),
               field_number (FIELD_CODE, VH_E_BAD_FIELD));
  peer_rows_add_gateway (share, name, zone, address, (uint32_t)link_mbps);
}

static void
on_own_put (void *arg, const rows_row_t *row)
{
  store_sync_t *duties = arg;
  str_t rest;
  str_t kind = row_key_prefix (row->key, &rest);

  if (str_eq (kind, STR ("rollout")))
    rollouts_apply_state_row (duties->rollouts, rest, row);
  else if (str_eq (kind, STR ("evidence")))
    rollouts_apply_evidence (duties->rollouts, row->key, false, row->value);
  else if (str_eq (kind, STR ("entry")) && rest.len > 0)
    {
      str_t more;
      allotment_put (duties->belief->allotment, rest,
                     str_cut (row->value, ' ', &more));
      if (duties->share != NULL)
        take_entry (duties->share, rest, row->value);
    }
}

static void
on_own_removed (void *arg, str_t key)
{
  store_sync_t *duties = arg;
  str_t rest;

  if (str_eq (row_key_prefix (key, &rest), STR ("entry")))
    {
      allotment_remove (duties->belief->allotment, rest);
      if (duties->share != NULL)
        peer_rows_remove_gateway (duties->share, rest);
    }
}

/* Divide what all entries may use among those that there are now.  */
static void
divide_shares (store_sync_t *duties)
{
  gateway_state_t *belief = duties->belief;
  size_t cursor = 0;
  str_t key;
  void *value;

  allotment_expire (belief->allotment);
  uint32_t entries = (uint32_t)allotment_gateway_count (belief->allotment);
  if (entries == belief->gateway_count)
    return;
  log_event (EVENT_ENTRIES, field_number (FIELD_COUNT, entries),
             field_number (FIELD_BEFORE, belief->gateway_count));
  belief->gateway_count = entries;
  while (map_next (belief->allowances, &cursor, &key, &value))
    send_budget_set_gateway_count (value, entries);
}

static void
on_own_caught_up (void *arg, bool full)
{
  store_sync_t *duties = arg;

  (void)full;
  duties->own_read = true;
  set_prepared (duties);
  allotment_set_loaded (duties->belief->allotment);
  divide_shares (duties);
}

/* Writing.  */

static void
on_node_written (void *arg, vh_code_t code, const rows_result_t *result)
{
  store_sync_t *duties = arg;

  (void)result;
  duties->node_pending = false;
  duties->node_written = code == VH_OK;
  if (code == VH_OK)
    return;
  duties->node_again_ms = clock_ms (duties->belief->clock) + NODE_RETRY_MS;
  log_event (EVENT_ENTRY_WRITE, field_number (FIELD_CODE, code));
}

/* Tell the others that there is one more to share with, or one less.  */
static void
write_node (store_sync_t *duties, bool leaves)
{
  buf_t key = BUF_NULL;
  buf_t value = BUF_NULL;

  buf_append_str (&key, STR ("entry/"));
  buf_append_str (&key, duties->belief->options.name);
  buf_printf (&value, "%.*s %.*s %u", STR_ARG (duties->belief->options.zone),
              STR_ARG (duties->belief->options.rpc_listen),
              (unsigned)duties->belief->options.link_mbps);
  rows_write_t write = { .table = ROWS_SHARED,
                         .key = buf_str (&key),
                         .value = buf_str (&value),
                         .remove = leaves };
  duties->node_pending = true;
  duties->rows->ops->commit (duties->rows, &write, 1,
                             STORE_SYNC_COMMIT_TIMEOUT_MS, on_node_written,
                             duties);
  buf_free (&key);
  buf_free (&value);
}

static void
on_tick (uv_timer_t *timer)
{
  store_sync_t *duties = timer->data;
  gateway_state_t *belief = duties->belief;
  bool is_second = ++duties->ticks % TICKS_PER_S == 0;

  if (belief->stopping_ms != 0 || !duties->own_read)
    return;
  if (!duties->node_written && !duties->node_pending
      && clock_ms (belief->clock) >= duties->node_again_ms)
    write_node (duties, false);
  if (is_second)
    divide_shares (duties);
  rollouts_tick (duties->rollouts, is_second);
}

/* Start and end.  */

/* The first configuration and its orders are known: an instance of a version
   under trial must not be taken for any other.  */
static void
on_orders_caught_up (void *arg, bool full)
{
  static const table_sync_options_t instances
      = { .table = ROWS_INSTANCES,
          .name = "instances",
          .gap_ms = INSTANCES_GAP_MS,
          .wait_ms = INSTANCES_WAIT_MS,
          .retry_last_ms = RETRY_LAST_MS,
          .slack_ms = INSTANCES_SLACK_MS };
  static const table_sync_events_t events
      = { on_instance_put, on_instance_removed, on_instances_caught_up,
          on_instances_reach };
  store_sync_t *duties = arg;
  gateway_state_t *belief = duties->belief;

  (void)full;
  if (duties->instances == NULL)
    duties->instances = table_sync_create (
        belief->loop, belief->clock, duties->rows, rng_u64 (&belief->rng),
        &instances, &events, duties);
}

/* The store is back: the other tables are read at once.  */
static void
on_orders_reach (void *arg, bool down)
{
  store_sync_t *duties = arg;

  note_reach (duties, down);
  if (down)
    return;
  table_sync_retry_now (duties->own);
  if (duties->instances != NULL)
    table_sync_retry_now (duties->instances);
}

store_sync_t *
store_sync_create (gateway_state_t *belief, rows_t *rows, peer_rows_t *share)
{
  static const table_sync_options_t orders = { .table = ROWS_ORDERS,
                                               .name = "orders",
                                               .wait_ms = ORDERS_WAIT_MS,
                                               .slack_ms = ORDERS_SLACK_MS };
  static const table_sync_events_t order_events
      = { on_order_put, on_order_removed, on_orders_caught_up,
          on_orders_reach };
  static const table_sync_options_t own = { .table = ROWS_SHARED,
                                            .name = "own",
                                            .wait_ms = OWN_WAIT_MS,
                                            .retry_last_ms = RETRY_LAST_MS,
                                            .slack_ms = OWN_SLACK_MS,
                                            .gap_ms = OWN_GAP_MS };
  static const table_sync_events_t own_events
      = { on_own_put, on_own_removed, on_own_caught_up, NULL };
  store_sync_t *duties = mem_zalloc (sizeof *duties);

  duties->belief = belief;
  duties->rows = rows;
  duties->share = share;
  duties->rollouts = rollouts_create (belief, rows, share);
  duties->loader = loader_create (belief->loop, belief->dialect->read_catalog,
                                  on_catalog, duties);
  belief->operator_rows = table_sync_create (belief->loop, belief->clock, rows,
                                             rng_u64 (&belief->rng), &orders,
                                             &order_events, duties);
  /* With the orders, as it tells who reads them for this entry.  */
  duties->own
      = table_sync_create (belief->loop, belief->clock, rows,
                           rng_u64 (&belief->rng), &own, &own_events, duties);
  uv_timer_init (belief->loop, &duties->tick);
  duties->tick.data = duties;
  uv_timer_start (&duties->tick, on_tick,
                  rng_below (&belief->rng, TICK_MS) + 1, TICK_MS);
  return duties;
}

void
store_sync_stop (store_sync_t *duties)
{
  if (duties->share != NULL)
    peer_rows_stop_serving (duties->share);
  if (duties->node_written)
    write_node (duties, true);
}

static void
on_tick_closed (uv_handle_t *handle)
{
  free (handle->data);
}

void
store_sync_destroy (store_sync_t *duties)
{
  if (duties == NULL)
    return;
  table_sync_destroy (duties->belief->operator_rows);
  duties->belief->operator_rows = NULL;
  loader_destroy (duties->loader);
  table_sync_destroy (duties->instances);
  table_sync_destroy (duties->own);
  rollouts_destroy (duties->rollouts);
  duties->rows->ops->forget (duties->rows, duties);
  uv_close ((uv_handle_t *)&duties->tick, on_tick_closed);
}
