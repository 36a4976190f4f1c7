#include "gateway/tablesync.h"

#include "base/eventlog.h"
#include "base/loop_watch.h"
#include "base/map.h"
#include "base/mem.h"
#include "gateway/confirmation.h"

#include <stdlib.h>

struct table_sync
{
  clock_iface_t *clock;
  rows_t *rows;
  table_sync_options_t options;
  table_sync_events_t events;
  void *arg;
  rng_t rng;
  uv_timer_t timer;
  /* Map of the key of each known row to the value of READ_NUMBER when the row
     was last returned.  */
  map_t *row_read_numbers;
  uintptr_t read_number; /* Number of the last read of the whole table.  */
  buf_t next_key; /* First key of the next page of a read; empty: the first
                     page.  */
  bool is_reading;
  bool is_down;
  uint64_t version;      /* Store version of the last reply that was
                            applied.  */
  uint64_t read_version; /* Store version of the first page of the current
                            read.  */
  uint64_t reread_ms; /* Time, in ms of the boot clock, at which the table is
                         read again after a change of the era; 0: none is
                         due.  */
  /* Time at which the last call was sent, in ms of the boot clock.  */
  uint64_t sent_ms;
  /* Time at which the call for the first page of the current read was sent, in
     ms of the boot clock.  */
  uint64_t read_sent_ms;
  confirmation_t confirmation;
  uint64_t store_ms;          /* Store clock in the last reply, in ms; 0: no
                                 reply yet.  */
  uint64_t store_received_ms; /* Time at which STORE_MS was received, in ms of
                                 the boot clock.  */
  uint64_t retry_delay_ms;
};

static void send_call (table_sync_t *sync);

static void
on_timer (uv_timer_t *timer)
{
  send_call (timer->data);
}

static void
schedule_call (table_sync_t *sync, uint64_t delay_ms)
{
  uv_timer_start (&sync->timer, on_timer, delay_ms, 0);
}

static void
set_down (table_sync_t *sync, bool is_down, vh_code_t code)
{
  if (sync->is_down == is_down)
    return;
  sync->is_down = is_down;
  if (is_down)
    log_event (EVENT_STORE_LOST,
               log_field_text (FIELD_TABLE, str_from (sync->options.name)),
               log_field_number (FIELD_CODE, code));
  else
    log_event (EVENT_STORE_BACK,
               log_field_text (FIELD_TABLE, str_from (sync->options.name)));
  if (sync->events.reachability != NULL)
    sync->events.reachability (sync->arg, is_down);
}

/* Schedule the next call after a call that failed or whose reply was not
   applied.  The pause is at most DELAY_MS, and ends when the confirmation
   reaches its highest age.  */
static void
schedule_retry (table_sync_t *sync, uint64_t delay_ms)
{
  uint64_t age_ms = table_sync_age_ms (sync);
  uint64_t max_age_ms = sync->options.confirmation_max_age_ms;

  if (age_ms < max_age_ms && delay_ms > max_age_ms - age_ms)
    delay_ms = max_age_ms - age_ms;
  schedule_call (sync, delay_ms > TABLE_SYNC_WATCH_GAP_MS
                           ? delay_ms
                           : TABLE_SYNC_WATCH_GAP_MS);
}

static bool
is_later_era (uint64_t version, uint64_t than)
{
  return rows_version_era (version) > rows_version_era (than);
}

/* Read the whole table from its first page on.  */
static void
restart_read (table_sync_t *sync)
{
  sync->is_reading = true;
  sync->next_key.len = 0;
  schedule_call (sync, TABLE_SYNC_WATCH_GAP_MS);
}

/* Schedule the next call after a call that failed with CODE.  */
static void
handle_failure (table_sync_t *sync, vh_code_t code)
{
  if (code == VH_E_NOT_FOUND)
    {
      log_event (EVENT_STORE_FORGOT,
                 log_field_text (FIELD_TABLE, str_from (sync->options.name)));
      restart_read (sync);
      return;
    }
  set_down (sync, true, code);
  if (sync->is_reading)
    sync->next_key.len = 0;
  schedule_retry (sync, rng_jitter (&sync->rng, sync->retry_delay_ms));
  sync->retry_delay_ms = sync->retry_delay_ms * 2 < sync->options.retry_max_ms
                             ? sync->retry_delay_ms * 2
                             : sync->options.retry_max_ms;
}

/* Pass ROW to the put callback and mark the row as returned by the current
   read.  */
static void
apply_row (table_sync_t *sync, const rows_row_t *row)
{
  map_put (sync->row_read_numbers, row->key, (void *)sync->read_number);
  sync->events.put (sync->arg, row);
}

/* Remove the rows that the completed read did not return, and pass their keys
   to the removed callback.  */
static void
remove_missing_rows (table_sync_t *sync)
{
  buf_t removed_keys = BUF_NULL;
  size_t cursor = 0;
  str_t key;
  void *row_read_number;

  while (map_next (sync->row_read_numbers, &cursor, &key, &row_read_number))
    if ((uintptr_t)row_read_number != sync->read_number)
      {
        buf_append_str (&removed_keys, key);
        buf_append_char (&removed_keys, '\0');
      }
  for (size_t at = 0; at < removed_keys.len;)
    {
      str_t removed_key = str_from (removed_keys.ptr + at);
      at += removed_key.len + 1;
      map_remove (sync->row_read_numbers, removed_key);
      sync->events.removed (sync->arg, removed_key);
    }
  buf_free (&removed_keys);
}

/* Record the confirmation by RESULT, whose call was sent at SENT_MS of the
   boot clock.  */
static void
record_confirmation (table_sync_t *sync, const rows_result_t *result,
                     uint64_t sent_ms)
{
  uint64_t now_ms = clock_boottime_ms (sync->clock);

  confirmation_record (&sync->confirmation, result, sent_ms, now_ms);
  sync->store_ms = result->store_now_ms;
  sync->store_received_ms = now_ms;
  sync->retry_delay_ms = TABLE_SYNC_RETRY_MIN_MS;
}

/* Prepare for the rows of a store whose era is that of RESULT.  */
static void
begin_era (table_sync_t *sync, const rows_result_t *result)
{
  log_event (
      EVENT_TABLE_ERA,
      log_field_text (FIELD_TABLE, str_from (sync->options.name)),
      log_field_number (FIELD_ERA, rows_version_era (result->version)),
      log_field_number (FIELD_BEFORE, rows_version_era (sync->version)),
      log_field_number (FIELD_ORDER, rows_version_count (result->version)),
      log_field_number (FIELD_SEEN, rows_version_count (sync->version)));
  sync->reread_ms = clock_boottime_ms (sync->clock) + TABLE_SYNC_REWRITE_MS;
  if (sync->events.era_changed != NULL)
    sync->events.era_changed (sync->arg);
}

static void
apply_page (table_sync_t *sync, const rows_result_t *result)
{
  if (sync->next_key.len == 0)
    {
      if (sync->version != 0 && is_later_era (result->version, sync->version))
        begin_era (sync, result);
      sync->read_number++;
      sync->read_version = result->version;
      sync->read_sent_ms = sync->sent_ms;
    }
  for (size_t i = 0; i < result->count; i++)
    apply_row (sync, &result->rows[i]);
  sync->next_key.len = 0;
  if (result->has_more && result->count > 0)
    {
      /* Start the next page at the smallest key after the last key of this
         page.  */
      buf_append_str (&sync->next_key, result->rows[result->count - 1].key);
      buf_append_char (&sync->next_key, '\x01');
      send_call (sync);
      return;
    }
  remove_missing_rows (sync);
  sync->is_reading = false;
  sync->version = sync->read_version;
  record_confirmation (sync, result, sync->read_sent_ms);
  sync->events.synced (sync->arg, true);
  schedule_call (sync, 0);
}

/* Apply the last change of each row in RESULT.  The store lists all changes,
   oldest first.  */
static void
apply_changes (table_sync_t *sync, const rows_result_t *result)
{
  map_t *last_changes = map_create ();

  for (size_t i = 0; i < result->count; i++)
    map_put (last_changes, result->rows[i].key, (void *)&result->rows[i]);
  for (size_t i = 0; i < result->count; i++)
    {
      const rows_row_t *row = &result->rows[i];
      if (map_get (last_changes, row->key) != row)
        continue;
      if (!row->deleted)
        apply_row (sync, row);
      else if (map_remove (sync->row_read_numbers, row->key) != NULL)
        sync->events.removed (sync->arg, row->key);
    }
  map_destroy (last_changes);
  sync->version = result->version;
  record_confirmation (sync, result, sync->sent_ms);
  sync->events.synced (sync->arg, false);
  schedule_call (sync, sync->options.call_gap_ms > TABLE_SYNC_WATCH_GAP_MS
                           ? sync->options.call_gap_ms
                           : TABLE_SYNC_WATCH_GAP_MS);
}

static void
apply_result (table_sync_t *sync, vh_code_t code, const rows_result_t *result)
{
  if (code != VH_OK)
    {
      handle_failure (sync, code);
      return;
    }
  if (result->version < sync->version)
    {
      /* Rows of an older version would undo changes that are in force.  */
      log_event (
          EVENT_STORE_STALE,
          log_field_text (FIELD_TABLE, str_from (sync->options.name)),
          log_field_number (FIELD_ERA, rows_version_era (result->version)),
          log_field_number (FIELD_ORDER, rows_version_count (result->version)),
          log_field_number (FIELD_BEFORE, rows_version_era (sync->version)),
          log_field_number (FIELD_SEEN, rows_version_count (sync->version)));
      sync->next_key.len = 0;
      schedule_retry (sync, rng_jitter (&sync->rng, TABLE_SYNC_RETRY_MAX_MS));
      return;
    }
  /* Report the end of an outage before passing on the rows, because the
     callbacks treat rows removed shortly after an outage differently.  */
  set_down (sync, false, VH_OK);
  /* Changes and pages of different eras do not belong together.  */
  if (sync->is_reading
          ? sync->next_key.len > 0
                && is_later_era (result->version, sync->read_version)
          : is_later_era (result->version, sync->version))
    restart_read (sync);
  else if (sync->is_reading)
    apply_page (sync, result);
  else
    apply_changes (sync, result);
}

static void
on_result (void *arg, vh_code_t code, const rows_result_t *result)
{
  loop_work_t outer = loop_work_begin (LOOP_WORK_ROWS);

  apply_result (arg, code, result);
  loop_work_end (outer);
}

/* Send the next read or watch call.  */
static void
send_call (table_sync_t *sync)
{
  sync->sent_ms = clock_boottime_ms (sync->clock);
  if (sync->reread_ms != 0 && sync->sent_ms >= sync->reread_ms)
    {
      sync->reread_ms = 0;
      sync->is_reading = true;
      sync->next_key.len = 0;
    }
  if (sync->is_reading)
    sync->rows->ops->read (sync->rows, sync->options.table,
                           buf_str (&sync->next_key),
                           TABLE_SYNC_READ_TIMEOUT_MS, on_result, sync);
  else
    {
      /* After a failure do not wait for changes, so that the store replies and
         confirms the table at once.  */
      uint64_t wait_ms = sync->is_down ? 0 : sync->options.wait_ms;
      sync->rows->ops->watch (
          sync->rows, sync->options.table, sync->version, wait_ms,
          wait_ms + sync->options.timeout_slack_ms, on_result, sync);
    }
}

table_sync_t *
table_sync_create (uv_loop_t *loop, clock_iface_t *clock, rows_t *rows,
                   uint64_t seed, const table_sync_options_t *options,
                   const table_sync_events_t *events, void *arg)
{
  table_sync_t *sync = mem_zalloc (sizeof *sync);

  sync->clock = clock;
  sync->rows = rows;
  sync->options = *options;
  if (sync->options.retry_max_ms == 0)
    sync->options.retry_max_ms = TABLE_SYNC_RETRY_MAX_MS;
  sync->events = *events;
  sync->arg = arg;
  sync->rng = rng_make (seed);
  sync->row_read_numbers = map_create ();
  sync->is_reading = true;
  sync->retry_delay_ms = TABLE_SYNC_RETRY_MIN_MS;
  uv_timer_init (loop, &sync->timer);
  sync->timer.data = sync;
  schedule_call (sync, 0);
  return sync;
}

void
table_sync_retry_now (table_sync_t *sync)
{
  if (!sync->is_down)
    return;
  /* A pending call may hang on a broken connection.  */
  sync->rows->ops->cancel (sync->rows, sync);
  if (sync->is_reading)
    sync->next_key.len = 0;
  schedule_call (sync, 0);
}

static void
on_timer_closed (uv_handle_t *handle)
{
  table_sync_t *sync = handle->data;

  map_destroy (sync->row_read_numbers);
  buf_free (&sync->next_key);
  free (sync);
}

void
table_sync_destroy (table_sync_t *sync)
{
  if (sync == NULL)
    return;
  sync->rows->ops->cancel (sync->rows, sync);
  uv_close ((uv_handle_t *)&sync->timer, on_timer_closed);
}

uint64_t
table_sync_age_ms (const table_sync_t *sync)
{
  return confirmation_age_ms (&sync->confirmation,
                              clock_boottime_ms (sync->clock));
}

uint64_t
table_sync_confirmed_ms (const table_sync_t *sync)
{
  return sync->confirmation.is_known ? sync->confirmation.confirmed_ms : 0;
}

bool
table_sync_is_down (const table_sync_t *sync)
{
  return sync->is_down;
}

uint64_t
table_sync_store_now_ms (const table_sync_t *sync)
{
  return sync->store_ms == 0 ? 0
                             : sync->store_ms
                                   + (clock_boottime_ms (sync->clock)
                                      - sync->store_received_ms);
}
