/* Synchronises a gateway with the platform's store: reads the configuration
   and other rows written by operators (ROWS_OPERATOR), the upstream instances
   and the other gateways, and registers this gateway.  Roll-outs are carried
   out in rollouts.c.  */

#include "gateway/gatewayint.h"

#include "base/eventlog.h"
#include "base/loop_watch.h"
#include "gateway/announced_limitsint.h"
#include "gateway/crash_recordsint.h"
#include "gateway/loader.h"
#include "gateway/rolloutsint.h"
#include "gateway/speed_rows.h"
#include "wire/addr.h"

#include <stdlib.h>

enum
{
  /* Interval at which roll-out steps are checked.  A step may be late by one
     interval, because a working version gets all requests some seconds before
     its time limit.  */
  TICK_MS = 250,
  TICKS_PER_S = 4,
  /* Longest time that the store holds a watch call for ROWS_INSTANCES.  The
     store reports a removed instance at once, so this wait only limits the
     time until a dead connection is detected.  */
  INSTANCES_WAIT_MS = 2500,
  INSTANCES_TIMEOUT_SLACK_MS = 600,
  /* Pause between watch calls for ROWS_INSTANCES.  Instances register in
     bursts, and a removed instance may get requests for up to 2 s.  */
  INSTANCES_CALL_GAP_MS = 300,
  /* Calls for ROWS_SHARED, which contains the registrations of gateways and
     the states of roll-outs.  Roll-out evidence is piggybacked on these calls,
     so the gap limits the age of the evidence.  */
  SHARED_WAIT_MS = 8000,
  SHARED_TIMEOUT_SLACK_MS = 1000,
  SHARED_CALL_GAP_MS = 150,
  /* Longest retry delay for tables other than ROWS_OPERATOR.  In an outage
     only the calls for ROWS_OPERATOR probe the store: if 22 gateways retried
     all three tables, they would make 120 calls a second.  */
  OTHER_TABLES_RETRY_MAX_MS = 4000,
  /* Delay before a failed registration is repeated.  Until then this gateway
     processes requests, but is not counted when the shared limits are
     divided.  */
  REGISTRATION_RETRY_MS = 2000,
  /* Time after its registration is listed in which all gateways that reach
     the store read it, also those whose pending call gets no reply.  */
  LISTING_KNOWN_MS
  = SHARED_WAIT_MS + SHARED_TIMEOUT_SLACK_MS + SHARED_CALL_GAP_MS,
  /* Age of the confirmation of ROWS_OPERATOR that is logged.  */
  CONFIRMATION_AGED_MS = 1750
};

const table_sync_options_t store_sync_operator_rows_options
    = { .table = ROWS_OPERATOR,
        .name = "orders",
        .wait_ms = STORE_SYNC_OPERATOR_ROWS_WAIT_MS,
        .timeout_slack_ms = STORE_SYNC_OPERATOR_ROWS_TIMEOUT_SLACK_MS,
        .confirmation_max_age_ms = PEER_ROWS_CONFIRMATION_MAX_AGE_MS };

const table_sync_options_t store_sync_instances_options
    = { .table = ROWS_INSTANCES,
        .name = "instances",
        .call_gap_ms = INSTANCES_CALL_GAP_MS,
        .wait_ms = INSTANCES_WAIT_MS,
        .retry_max_ms = OTHER_TABLES_RETRY_MAX_MS,
        .timeout_slack_ms = INSTANCES_TIMEOUT_SLACK_MS };

struct store_sync
{
  gateway_state_t *state;
  rows_t *rows;
  peer_rows_t *peer_rows;
  loader_t *loader;
  table_sync_t *instances_sync;
  table_sync_t *shared_rows_sync;
  uv_timer_t tick_timer;
  uint64_t tick_count;
  bool has_read_shared_rows; /* The shared rows were read at least once.  */
  bool has_read_instances;   /* The instances were read at least once.  */
  /* The last write of this gateway's registration succeeded.  */
  bool is_registered;
  /* The shared table has this gateway's registration as it was written.  */
  bool has_own_row;
  /* Monotonic time since which the shared table lists a gateway with the name
     of this one, in ms; 0: it lists none.  */
  uint64_t listed_since_ms;
  /* The first read of the shared table listed this gateway, so the others knew
     it before it started.  */
  bool was_listed_before_start;
  /* A write of this gateway's registration has no reply yet.  */
  bool is_registration_pending;
  /* Earliest monotonic time at which a failed registration is repeated, in
     ms.  */
  uint64_t registration_retry_ms;
  /* Whether the last report of any table was that the store is down.  */
  bool is_store_down;
  /* Monotonic time at which the store replied again after the last outage, in
     ms; 0 if there was no outage.  */
  uint64_t store_recovered_ms;
  /* Whether the last logged age of the confirmation of ROWS_OPERATOR was
     CONFIRMATION_AGED_MS or more.  */
  bool is_confirmation_aged;
  rollouts_t *rollouts;
  speed_rows_t *speed_rows;
  /* The rows of the table that are read now are from the copy from which the
     store came back.  */
  bool is_operator_copy;
  bool is_instances_copy;
  bool is_shared_copy;
  map_t *kept_zones; /* Map of the name of each excluded zone whose row is
                        missing in the copy to a kept_zone_t.  */
};

typedef struct
{
  uint64_t until_ms; /* Monotonic time at which the exclusion ends.  */
} kept_zone_t;

/* Return the time of the store's clock, or 0 if it is unknown.  */
static uint64_t
store_now_ms (const store_sync_t *sync)
{
  return sync->state->operator_rows_sync != NULL
             ? table_sync_store_now_ms (sync->state->operator_rows_sync)
             : 0;
}

/* Rows written by operators (ROWS_OPERATOR).  */

/* Put CATALOG in force if its revision is newer than the one in force.  CODE
   is the result of parsing the configuration text, whose length is LEN
   bytes.  Called by the loader.  */
static void
on_catalog (void *arg, vh_code_t code, catalog_t *catalog, size_t len)
{
  store_sync_t *sync = arg;
  gateway_state_t *state = sync->state;
  uint64_t parse_ms = gateway_config_load_elapsed_ms (state);
  bool is_first = state->catalog == NULL;

  /* While a newer configuration waits to be parsed, keep the start time, so
     that the load time includes the wait.  */
  if (!loader_is_busy (sync->loader))
    state->config_load_started_ms = 0;
  bool is_accepted
      = code == VH_OK
        && (is_first
            || catalog_revision (catalog) > catalog_revision (state->catalog));
  config_age_parsed (&state->config_age, is_accepted);
  if (code != VH_OK)
    log_event (EVENT_CONFIG_BAD, log_field_number (FIELD_CODE, code),
               log_field_number (FIELD_BYTES, len));
  else if (!is_accepted)
    catalog_unref (catalog);
  else
    {
      log_event (
          EVENT_CONFIG,
          log_field_number (FIELD_REVISION, catalog_revision (catalog)),
          log_field_number (FIELD_BEFORE,
                            is_first ? 0 : catalog_revision (state->catalog)),
          log_field_number (FIELD_READ_MS, parse_ms));
      catalog_unref (state->catalog);
      state->catalog = catalog;
      gateway_apply_client_limits (state, catalog);
    }
  if (is_first)
    relay_admit_waiting (state);
}

/* Parse the configuration in ROW.  The load time starts now, unless an earlier
   configuration is still being parsed.  */
static void
parse_catalog (store_sync_t *sync, const rows_row_t *row)
{
  gateway_state_t *state = sync->state;

  /* No request will use it, and parsing delays the streams that still run.  */
  if (state->catalog != NULL
      && !gateway_accepts_request (state, clock_ms (state->clock)))
    return;
  if (!config_age_read (&state->config_age, row->version,
                        table_sync_confirmed_ms (state->operator_rows_sync)))
    return;
  log_event (EVENT_CONFIG_TEXT, log_field_number (FIELD_ORDER, row->version),
             log_field_number (FIELD_BYTES, row->value.len));
  if (state->config_load_started_ms == 0)
    state->config_load_started_ms = clock_boottime_ms (state->clock);
  loader_submit (sync->loader, row->value, state->catalog == NULL);
}

static void
on_operator_row_put (void *arg, const rows_row_t *row)
{
  store_sync_t *sync = arg;
  gateway_state_t *state = sync->state;
  str_t name;

  switch (state->dialect->operator_row_kind (row->key, &name))
    {
    case OPERATOR_ROW_CATALOG:
      parse_catalog (sync, row);
      break;
    case OPERATOR_ROW_ROLLOUT:
      rollouts_apply_request (sync->rollouts, row, sync->is_operator_copy);
      break;
    case OPERATOR_ROW_ZONE_EXCLUSION:
      free (map_remove (sync->kept_zones, name));
      log_event (EVENT_ZONE_OUT, log_field_text (FIELD_ZONE, name));
      pool_set_zone_disabled (state->pool, name, true);
      break;
    case OPERATOR_ROW_UNKNOWN:
      break;
    }
}

static void
end_zone_exclusion (store_sync_t *sync, str_t zone)
{
  log_event (EVENT_ZONE_BACK, log_field_text (FIELD_ZONE, zone));
  pool_set_zone_disabled (sync->state->pool, zone, false);
}

static void
on_operator_row_removed (void *arg, str_t key)
{
  store_sync_t *sync = arg;
  str_t name;

  if (sync->state->dialect->operator_row_kind (key, &name)
      != OPERATOR_ROW_ZONE_EXCLUSION)
    return;
  if (!sync->is_operator_copy)
    {
      end_zone_exclusion (sync, name);
      return;
    }
  /* The row may have been lost with the store, and is then written again.  */
  kept_zone_t *kept = mem_alloc (sizeof *kept);
  kept->until_ms = clock_ms (sync->state->clock) + TABLE_SYNC_REWRITE_MS;
  free (map_put (sync->kept_zones, name, kept));
  log_event (EVENT_ZONE_KEPT, log_field_text (FIELD_ZONE, name),
             log_field_number (FIELD_KEEP_MS, TABLE_SYNC_REWRITE_MS));
}

/* End the exclusions of zones whose rows were not written again in time.  */
static void
release_kept_zones (store_sync_t *sync)
{
  size_t cursor = 0;
  str_t zone;
  void *value;

  while (map_next (sync->kept_zones, &cursor, &zone, &value))
    if (clock_ms (sync->state->clock) >= ((kept_zone_t *)value)->until_ms)
      {
        end_zone_exclusion (sync, zone);
        free (map_remove (sync->kept_zones, zone));
        cursor = 0;
      }
}

static void
on_operator_era_changed (void *arg)
{
  store_sync_t *sync = arg;

  sync->is_operator_copy = true;
  rollouts_era_changed (sync->rollouts);
  billing_write_again (sync->state->billing);
}

/* Registrations of upstream instances (ROWS_INSTANCES).  */

static void
on_instance_put (void *arg, const rows_row_t *row)
{
  store_sync_t *sync = arg;
  gateway_state_t *state = sync->state;
  upstream_info_t info;
  void *holder = NULL;
  vh_code_t code
      = state->dialect->read_instance (row->key, row->value, &info, &holder);

  if (code == VH_OK && !addr_is_valid (info.address))
    {
      state->dialect->free_holder (holder);
      code = VH_E_BAD_FIELD;
    }
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
             log_field_number (FIELD_COLD_MS, info.cold_ms),
             log_field_number (FIELD_SEQUENCE, info.sequence));
  if (sync->is_instances_copy && pool_was_removed (state->pool, &info))
    {
      log_event (EVENT_OUTDATED, log_field_text (FIELD_UPSTREAM, info.id),
                 log_field_number (FIELD_SEQUENCE, info.sequence));
      state->dialect->free_holder (holder);
      return;
    }
  crash_records_apply_registration (state->crash_records, &info);
  pool_put (state->pool, &info);
  announced_limits_apply_registration (state->announced_limits, info.id);
  speed_rows_apply_registration (sync->speed_rows, info.id);
  state->dialect->free_holder (holder);
}

static void
on_instance_removed (void *arg, str_t key)
{
  store_sync_t *sync = arg;
  gateway_state_t *state = sync->state;
  uint64_t now_ms = clock_ms (state->clock);
  uint64_t keep_ms = 0;

  if (sync->store_recovered_ms != 0
      && now_ms - sync->store_recovered_ms
             < state->options.expired_registration_grace_ms)
    keep_ms = state->options.expired_registration_grace_ms
              - (now_ms - sync->store_recovered_ms);
  log_event (EVENT_UNLISTED, log_field_text (FIELD_UPSTREAM, key),
             log_field_number (FIELD_KEEP_MS, keep_ms));
  pool_unregister (state->pool, key, keep_ms);
}

/* Set is_initialized, which allows requests to be processed, once all tables
   were read.  */
static void
update_initialized (store_sync_t *sync)
{
  gateway_state_t *state = sync->state;

  if (state->is_initialized || !sync->has_read_shared_rows
      || !sync->has_read_instances)
    return;
  state->is_initialized = true;
  relay_admit_waiting (state);
}

/* Registrations that are missing in the copy are kept as after an outage,
   until the instances have written them again.  */
static void
on_instances_era_changed (void *arg)
{
  store_sync_t *sync = arg;

  sync->is_instances_copy = true;
  sync->store_recovered_ms = clock_ms (sync->state->clock);
}

static void
on_instances_synced (void *arg, bool is_full_read)
{
  store_sync_t *sync = arg;

  if (is_full_read)
    sync->is_instances_copy = false;
  sync->has_read_instances = true;
  update_initialized (sync);
}

/* Record that the store stopped replying to calls for a table (IS_DOWN) or
   replies again.  Registrations that expired during an outage are kept for
   gateway_options_t.expired_registration_grace_ms from the first reply for any
   table.  The reply for ROWS_INSTANCES may arrive seconds after that for
   ROWS_OPERATOR, if the call hung on a broken connection.  If the grace period
   counted from the reply for ROWS_INSTANCES, an instance that stopped 13 s
   before could get a request.  */
static void
record_reachability (store_sync_t *sync, bool is_down)
{
  if (!is_down && sync->is_store_down)
    sync->store_recovered_ms = clock_ms (sync->state->clock);
  sync->is_store_down = is_down;
}

static void
on_instances_reachability (void *arg, bool is_down)
{
  record_reachability (arg, is_down);
}

/* Rows that gateways share (ROWS_SHARED).  */

/* Add the gateway NAME with the registration TEXT, which is ZONE ADDRESS LINK.
   LINK is the bandwidth of the gateway's network link in Mbit/s.  */
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

/* Write the value of the row that registers this gateway to OUT.  */
static void
format_registration (const store_sync_t *sync, buf_t *out)
{
  const gateway_options_t *options = &sync->state->options;

  buf_printf (out, "%.*s %.*s %u", STR_ARG (options->zone),
              STR_ARG (options->rpc_listen), (unsigned)options->link_mbps);
}

static bool
is_own_registration (const store_sync_t *sync, str_t value)
{
  buf_t own = BUF_NULL;

  format_registration (sync, &own);
  bool is_equal = str_eq (value, buf_str (&own));
  buf_free (&own);
  return is_equal;
}

/* Record that the shared table lists this gateway with VALUE.  */
static void
record_listing (store_sync_t *sync, str_t value)
{
  sync->has_own_row = is_own_registration (sync, value);
  if (sync->listed_since_ms != 0)
    return;
  sync->listed_since_ms = clock_ms (sync->state->clock);
  if (!sync->has_read_shared_rows)
    sync->was_listed_before_start = true;
}

static void
on_shared_put (void *arg, const rows_row_t *row)
{
  store_sync_t *sync = arg;
  str_t rest;
  str_t kind = row_key_first_segment (row->key, &rest);

  if (str_eq (kind, STR ("rollout")))
    rollouts_apply_state_row (sync->rollouts, rest, row, sync->is_shared_copy);
  else if (str_eq (kind, STR ("evidence")))
    rollouts_apply_evidence (sync->rollouts, row->key, false, row->value);
  else if (str_eq (kind, STR ("limit")) && rest.len > 0)
    announced_limits_apply_row (sync->state->announced_limits, rest, row);
  else if (str_eq (row->key, STR (SPEED_ROWS_KEY)))
    speed_rows_apply_row (sync->speed_rows, row, store_now_ms (sync));
  else if (str_eq (kind, STR ("crash")))
    crash_records_apply_row (sync->state->crash_records, row);
  else if (str_eq (kind, STR ("entry")) && rest.len > 0)
    {
      str_t after_zone;
      if (str_eq (rest, sync->state->options.name))
        record_listing (sync, row->value);
      allotment_put (sync->state->allotment, rest,
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
  str_t kind = row_key_first_segment (key, &rest);

  if (str_eq (kind, STR ("limit")))
    announced_limits_remove_row (sync->state->announced_limits, rest);
  else if (str_eq (key, STR (SPEED_ROWS_KEY)))
    speed_rows_remove_row (sync->speed_rows);
  else if (str_eq (kind, STR ("crash")))
    crash_records_remove_row (sync->state->crash_records, key,
                              sync->is_shared_copy);
  else if (str_eq (kind, STR ("rollout")))
    rollouts_remove_state_row (sync->rollouts, rest);
  else if (str_eq (kind, STR ("entry")))
    {
      if (str_eq (rest, sync->state->options.name))
        {
          sync->has_own_row = false;
          sync->listed_since_ms = 0;
          sync->was_listed_before_start = false;
        }
      allotment_remove (sync->state->allotment, rest);
      if (sync->peer_rows != NULL)
        peer_rows_remove_gateway (sync->peer_rows, rest);
    }
}

/* Return whether the other gateways count this one when they divide a
   limit.  */
static bool
is_counted_by_others (const store_sync_t *sync)
{
  return sync->listed_since_ms != 0
         && (sync->was_listed_before_start
             || clock_ms (sync->state->clock) - sync->listed_since_ms
                    >= LISTING_KNOWN_MS);
}

/* Divide the retry budgets by the number of gateways that are registered now.
   A gateway that is stopping keeps its part, as the others count it for longer
   than its stop takes.  */
static void
divide_limits (store_sync_t *sync)
{
  gateway_state_t *state = sync->state;
  uint32_t gateways = 0;
  size_t cursor = 0;
  str_t key;
  void *value;

  allotment_expire (state->allotment);
  if (is_counted_by_others (sync))
    gateways = (uint32_t)allotment_gateway_count (state->allotment);
  if (gateways == state->gateway_count || state->stopping_ms != 0)
    return;
  log_event (EVENT_ENTRIES, log_field_number (FIELD_COUNT, gateways),
             log_field_number (FIELD_BEFORE, state->gateway_count));
  state->gateway_count = gateways;
  while (map_next (state->retry_budgets, &cursor, &key, &value))
    send_budget_set_gateway_count (value, gateways);
}

/* Mark the rows that are read next as those of an older copy.  The gateways
   write again what it lacks.  */
static void
on_shared_era_changed (void *arg)
{
  store_sync_t *sync = arg;

  sync->is_shared_copy = true;
  sync->has_own_row = false;
  announced_limits_set_copy (sync->state->announced_limits, true);
  speed_rows_set_copy (sync->speed_rows, true);
}

static void
on_shared_synced (void *arg, bool is_full_read)
{
  store_sync_t *sync = arg;

  if (is_full_read && sync->is_shared_copy)
    {
      sync->is_shared_copy = false;
      announced_limits_set_copy (sync->state->announced_limits, false);
      speed_rows_set_copy (sync->speed_rows, false);
      sync->is_registered = sync->has_own_row;
    }
  sync->has_read_shared_rows = true;
  update_initialized (sync);
  allotment_set_loaded (sync->state->allotment);
  divide_limits (sync);
}

/* Registration of this gateway, and the periodic tick.  */

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
      = clock_ms (sync->state->clock) + REGISTRATION_RETRY_MS;
  log_event (EVENT_ENTRY_WRITE, log_field_number (FIELD_CODE, code));
}

/* Write the row that registers this gateway with the others, or delete the row
   if IS_LEAVING.  */
static void
write_registration (store_sync_t *sync, bool is_leaving)
{
  buf_t key = BUF_NULL;
  buf_t value = BUF_NULL;

  buf_append_str (&key, STR ("entry/"));
  buf_append_str (&key, sync->state->options.name);
  format_registration (sync, &value);
  rows_write_t write = { .table = ROWS_SHARED,
                         .key = buf_str (&key),
                         .value = buf_str (&value),
                         .is_delete = is_leaving };
  sync->is_registration_pending = true;
  sync->rows->ops->commit (sync->rows, &write, 1, STORE_SYNC_COMMIT_TIMEOUT_MS,
                           on_registration_written, sync);
  buf_free (&key);
  buf_free (&value);
}

/* Log when the confirmation of ROWS_OPERATOR gets old, and when it is recent
   again.  */
static void
log_confirmation_age (store_sync_t *sync)
{
  uint64_t age_ms = table_sync_age_ms (sync->state->operator_rows_sync);
  bool is_aged = age_ms != UINT64_MAX && age_ms >= CONFIRMATION_AGED_MS;

  if (is_aged == sync->is_confirmation_aged)
    return;
  sync->is_confirmation_aged = is_aged;
  log_event (is_aged ? EVENT_CONFIG_AGED : EVENT_CONFIG_CONFIRMED,
             log_field_number (FIELD_AGE_MS, age_ms));
}

static void
tick (store_sync_t *sync)
{
  gateway_state_t *state = sync->state;
  bool has_second_elapsed = ++sync->tick_count % TICKS_PER_S == 0;
  uint64_t shared_now_ms = store_now_ms (sync);
  bool is_store_down = table_sync_is_down (state->operator_rows_sync)
                       || table_sync_is_down (sync->shared_rows_sync);

  log_confirmation_age (sync);
  release_kept_zones (sync);
  if (shared_now_ms != 0)
    pool_set_shared_time (state->pool, shared_now_ms);
  pool_set_gateway_list_stale (state->pool, is_store_down);
  if (state->stopping_ms != 0 || !sync->has_read_shared_rows)
    return;
  if (!sync->is_registered && !sync->is_registration_pending
      && clock_ms (state->clock) >= sync->registration_retry_ms)
    write_registration (sync, false);
  if (has_second_elapsed)
    divide_limits (sync);
  announced_limits_tick (state->announced_limits);
  crash_records_tick (state->crash_records);
  speed_rows_tick (sync->speed_rows, shared_now_ms, !is_store_down);
  rollouts_tick (sync->rollouts, has_second_elapsed);
}

static void
on_tick (uv_timer_t *timer)
{
  loop_work_t outer = loop_work_begin (LOOP_WORK_TICK);

  tick (timer->data);
  loop_work_end (outer);
}

/* Start of the synchronisation of each table, and its end.  */

/* Start to synchronise the instances after the first read of ROWS_OPERATOR.
   If the requests for roll-outs were not known yet, instances of a new version
   would be treated as those of the old version.  */
static void
on_operator_rows_synced (void *arg, bool is_full_read)
{
  static const table_sync_events_t events
      = { .put = on_instance_put,
          .removed = on_instance_removed,
          .synced = on_instances_synced,
          .reachability = on_instances_reachability,
          .era_changed = on_instances_era_changed };
  store_sync_t *sync = arg;
  gateway_state_t *state = sync->state;

  if (is_full_read)
    sync->is_operator_copy = false;
  if (sync->instances_sync == NULL)
    sync->instances_sync = table_sync_create (
        state->loop, state->clock, sync->rows, rng_u64 (&state->rng),
        &store_sync_instances_options, &events, sync);
}

/* Retry the other tables at once when the store replies again.  */
static void
on_operator_rows_reachability (void *arg, bool is_down)
{
  store_sync_t *sync = arg;

  record_reachability (sync, is_down);
  if (is_down)
    return;
  table_sync_retry_now (sync->shared_rows_sync);
  if (sync->instances_sync != NULL)
    table_sync_retry_now (sync->instances_sync);
}

static speed_rows_t *
create_speed_rows (const store_sync_t *sync)
{
  const gateway_state_t *state = sync->state;
  const speed_rows_options_t options
      = { .clock = state->clock,
          .pool = state->pool,
          .gateways = state->allotment,
          .rows = sync->rows,
          .peer_rows = sync->peer_rows,
          .seed = str_hash (state->options.name, 0),
          .bytes_sent = state->counters.speed_bytes_sent,
          .rows_written = state->counters.speed_rows_written,
          .entries_applied = state->counters.speed_entries_applied,
          .rows_unreadable = state->counters.speed_rows_unreadable };

  return speed_rows_create (&options);
}

store_sync_t *
store_sync_create (gateway_state_t *state, rows_t *rows,
                   peer_rows_t *peer_rows)
{
  static const table_sync_events_t operator_events
      = { .put = on_operator_row_put,
          .removed = on_operator_row_removed,
          .synced = on_operator_rows_synced,
          .reachability = on_operator_rows_reachability,
          .era_changed = on_operator_era_changed };
  static const table_sync_options_t shared_rows
      = { .table = ROWS_SHARED,
          .name = "own",
          .wait_ms = SHARED_WAIT_MS,
          .retry_max_ms = OTHER_TABLES_RETRY_MAX_MS,
          .timeout_slack_ms = SHARED_TIMEOUT_SLACK_MS,
          .call_gap_ms = SHARED_CALL_GAP_MS };
  static const table_sync_events_t shared_events
      = { .put = on_shared_put,
          .removed = on_shared_removed,
          .synced = on_shared_synced,
          .era_changed = on_shared_era_changed };
  store_sync_t *sync = mem_zalloc (sizeof *sync);

  sync->state = state;
  sync->rows = rows;
  sync->peer_rows = peer_rows;
  sync->kept_zones = map_create ();
  sync->rollouts = rollouts_create (state, rows, peer_rows);
  state->announced_limits = announced_limits_create (state, rows);
  state->crash_records = crash_records_create (state, rows);
  sync->speed_rows = create_speed_rows (sync);
  sync->loader = loader_create (state->loop, state->dialect->read_catalog,
                                on_catalog, sync);
  state->operator_rows_sync = table_sync_create (
      state->loop, state->clock, rows, rng_u64 (&state->rng),
      &store_sync_operator_rows_options, &operator_events, sync);
  /* Read at the same time as ROWS_OPERATOR: this table lists the gateways, one
     of which is the reader through which ROWS_OPERATOR is read.  */
  sync->shared_rows_sync = table_sync_create (
      state->loop, state->clock, rows, rng_u64 (&state->rng), &shared_rows,
      &shared_events, sync);
  uv_timer_init (state->loop, &sync->tick_timer);
  sync->tick_timer.data = sync;
  uv_timer_start (&sync->tick_timer, on_tick,
                  rng_below (&state->rng, TICK_MS) + 1, TICK_MS);
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
  store_sync_t *sync = handle->data;
  size_t cursor = 0;
  str_t zone;
  void *value;

  while (map_next (sync->kept_zones, &cursor, &zone, &value))
    free (value);
  map_destroy (sync->kept_zones);
  free (sync);
}

void
store_sync_destroy (store_sync_t *sync)
{
  if (sync == NULL)
    return;
  table_sync_destroy (sync->state->operator_rows_sync);
  sync->state->operator_rows_sync = NULL;
  loader_destroy (sync->loader);
  table_sync_destroy (sync->instances_sync);
  table_sync_destroy (sync->shared_rows_sync);
  rollouts_destroy (sync->rollouts);
  speed_rows_destroy (sync->speed_rows);
  announced_limits_destroy (sync->state->announced_limits);
  sync->state->announced_limits = NULL;
  crash_records_destroy (sync->state->crash_records);
  sync->state->crash_records = NULL;
  sync->rows->ops->cancel (sync->rows, sync);
  uv_close ((uv_handle_t *)&sync->tick_timer, on_tick_closed);
}
