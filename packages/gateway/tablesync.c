#include "gateway/tablesync.h"

#include "base/eventlog.h"
#include "base/map.h"
#include "base/mem.h"
#include "gateway/storeclock.h"

#include <stdlib.h>

enum
{
  /* Delay before the first retry; short, for the case that only one reply was
     lost.  */
  RETRY_MIN_MS = 100,
  READ_TIMEOUT_MS = 1500,
  /* Shortest pause between watch calls.  Keeps watches that the store answers
     at once without changes from becoming a busy loop.  */
  WATCH_GAP_MS = 20
};

struct table_sync
{
  clock_iface_t *clock;
  rows_t *rows;
  table_sync_options_t options;
  table_sync_events_t events;
  void *arg;
  rng_t rng;
  uv_timer_t timer;
  /* Key of each known row to READ_NUMBER when the row was put.  */
  map_t *row_marks;
  uintptr_t read_number; /* Number of the last read of the whole table.  */
  buf_t next_key; /* First key of the next page; empty: the first page.  */
  bool is_reading;
  bool is_down;
  uint64_t version;      /* Highest store version that was applied.  */
  uint64_t read_version; /* Store version of the first page of a read.  */
  /* Time of the last call, in ms of the boot clock.  */
  uint64_t sent_ms;
  /* Time of the call for a read's first page, in ms of the boot clock.  */
  uint64_t read_sent_ms;
  bool is_confirmed;
  /* Time of the last confirmation, in ms of the boot clock.  */
  uint64_t confirmed_ms;
  store_clock_t store_clock;  /* Converts store time to boot time.  */
  uint64_t store_ms;          /* Store clock in the last answer; 0: none.  */
  uint64_t store_received_ms; /* Boot clock when STORE_MS was received.  */
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

/* Schedule the next call after a call that failed with CODE.  */
static void
handle_failure (table_sync_t *sync, vh_code_t code)
{
  if (code == VH_E_NOT_FOUND)
    {
      log_event (EVENT_STORE_FORGOT,
                 log_field_text (FIELD_TABLE, str_from (sync->options.name)));
      sync->is_reading = true;
      sync->next_key.len = 0;
      schedule_call (sync, WATCH_GAP_MS);
      return;
    }
  set_down (sync, true, code);
  if (sync->is_reading)
    sync->next_key.len = 0;
  schedule_call (sync, rng_jitter (&sync->rng, sync->retry_delay_ms));
  sync->retry_delay_ms = sync->retry_delay_ms * 2 < sync->options.retry_max_ms
                             ? sync->retry_delay_ms * 2
                             : sync->options.retry_max_ms;
}

/* Report ROW and mark it as returned by the current read.  */
static void
apply_row (table_sync_t *sync, const rows_row_t *row)
{
  map_put (sync->row_marks, row->key, (void *)sync->read_number);
  sync->events.put (sync->arg, row);
}

/* Report the rows that the completed read did not return as removed.  */
static void
report_removed (table_sync_t *sync)
{
  buf_t removed_keys = BUF_NULL;
  size_t cursor = 0;
  str_t key;
  void *mark;

  while (map_next (sync->row_marks, &cursor, &key, &mark))
    if ((uintptr_t)mark != sync->read_number)
      {
        buf_append_str (&removed_keys, key);
        buf_append_char (&removed_keys, '\0');
      }
  for (size_t at = 0; at < removed_keys.len;)
    {
      str_t removed_key = str_from (removed_keys.ptr + at);
      at += removed_key.len + 1;
      map_remove (sync->row_marks, removed_key);
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

  if (result->is_direct)
    store_clock_add_sample (&sync->store_clock, result->store_confirmed_ms,
                            sent_ms, now_ms);
  uint64_t confirmed_local_ms = store_clock_to_local (
      &sync->store_clock, result->store_confirmed_ms, now_ms);
  sync->is_confirmed = true;
  sync->confirmed_ms = sent_ms > result->age_ms ? sent_ms - result->age_ms : 0;
  /* The table is confirmed as of both times, so the later one counts.  */
  if (confirmed_local_ms > sync->confirmed_ms)
    sync->confirmed_ms = confirmed_local_ms;
  sync->store_ms = result->store_now_ms;
  sync->store_received_ms = now_ms;
  sync->retry_delay_ms = RETRY_MIN_MS;
}

static void
apply_page (table_sync_t *sync, const rows_result_t *result)
{
  if (sync->next_key.len == 0)
    {
      sync->read_number++;
      sync->read_version = result->version;
      sync->read_sent_ms = sync->sent_ms;
    }
  for (size_t i = 0; i < result->count; i++)
    apply_row (sync, &result->rows[i]);
  sync->next_key.len = 0;
  if (result->has_more && result->count > 0)
    {
      /* The smallest key after the last one of this page.  */
      buf_append_str (&sync->next_key, result->rows[result->count - 1].key);
      buf_append_char (&sync->next_key, '\x01');
      send_call (sync);
      return;
    }
  report_removed (sync);
  sync->is_reading = false;
  sync->version = sync->read_version;
  record_confirmation (sync, result, sync->read_sent_ms);
  sync->events.synced (sync->arg, true);
  schedule_call (sync, 0);
}

static void
apply_changes (table_sync_t *sync, const rows_result_t *result)
{
  for (size_t i = 0; i < result->count; i++)
    {
      const rows_row_t *row = &result->rows[i];
      if (!row->deleted)
        apply_row (sync, row);
      else if (map_remove (sync->row_marks, row->key) != NULL)
        sync->events.removed (sync->arg, row->key);
    }
  sync->version = result->version;
  record_confirmation (sync, result, sync->sent_ms);
  sync->events.synced (sync->arg, false);
  schedule_call (sync, sync->options.call_gap_ms > WATCH_GAP_MS
                           ? sync->options.call_gap_ms
                           : WATCH_GAP_MS);
}

static void
on_result (void *arg, vh_code_t code, const rows_result_t *result)
{
  table_sync_t *sync = arg;

  if (code != VH_OK)
    {
      handle_failure (sync, code);
      return;
    }
  if (result->version < sync->version)
    {
      /* Applying older rows would undo changes that are in force.  */
      log_event (EVENT_STORE_STALE,
                 log_field_text (FIELD_TABLE, str_from (sync->options.name)),
                 log_field_number (FIELD_ORDER, result->version),
                 log_field_number (FIELD_SEEN, sync->version));
      sync->next_key.len = 0;
      schedule_call (sync, rng_jitter (&sync->rng, TABLE_SYNC_RETRY_MAX_MS));
      return;
    }
  /* Report the end of an outage before the rows, because the callee treats
     rows removed right after an outage differently.  */
  set_down (sync, false, VH_OK);
  if (sync->is_reading)
    apply_page (sync, result);
  else
    apply_changes (sync, result);
}

/* Send the next read or watch call.  */
static void
send_call (table_sync_t *sync)
{
  sync->sent_ms = clock_boottime_ms (sync->clock);
  if (sync->is_reading)
    sync->rows->ops->read (sync->rows, sync->options.table,
                           buf_str (&sync->next_key), READ_TIMEOUT_MS,
                           on_result, sync);
  else
    {
      /* After a failure the store answers without waiting for changes, so that
         the table is confirmed at once.  */
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
  sync->row_marks = map_create ();
  sync->is_reading = true;
  sync->retry_delay_ms = RETRY_MIN_MS;
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

  map_destroy (sync->row_marks);
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
  return !sync->is_confirmed
             ? UINT64_MAX
             : clock_boottime_ms (sync->clock) - sync->confirmed_ms;
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
