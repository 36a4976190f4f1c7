#include "gateway/follow.h"

#include "base/eventlog.h"
#include "base/map.h"
#include "base/mem.h"
#include "gateway/storeclock.h"

#include <stdlib.h>

enum
{
  /* A first retry soon enough for a lost reply.  */
  RETRY_FIRST_MS = 100,
  READ_TIMEOUT_MS = 1500,
  /* A watch without news that is answered at once must not become a loop.  */
  WATCH_GAP_MS = 20
};

struct follow
{
  clock_iface_t *clock;
  rows_t *rows;
  table_sync_options_t options;
  table_sync_events_t events;
  void *arg;
  rng_t rng;
  uv_timer_t timer;
  map_t *known; /* Key to a mark of the read that saw it last.  */
  uintptr_t pass;
  buf_t next; /* First key of the next page of a read.  */
  bool reading;
  bool down;
  uint64_t version;      /* Newest of the store that was seen.  */
  uint64_t read_version; /* Of the first page of a read.  */
  uint64_t sent_ms;      /* Of the call that is out, by boot time.  */
  uint64_t read_sent_ms; /* Of the first page.  */
  bool confirmed;
  uint64_t confirmed_ms;     /* By boot time.  */
  store_clock_t store_clock; /* Against boot time.  */
  uint64_t store_ms;
  uint64_t store_seen_ms; /* When STORE_MS was told, by boot time.  */
  uint64_t retry_ms;
};

static void step (table_sync_t *follow);

static void
on_timer (uv_timer_t *timer)
{
  step (timer->data);
}

static void
step_after (table_sync_t *follow, uint64_t wait_ms)
{
  uv_timer_start (&follow->timer, on_timer, wait_ms, 0);
}

static void
set_down (table_sync_t *follow, bool down, vh_code_t code)
{
  if (follow->down == down)
    return;
  follow->down = down;
  if (down)
    log_event (EVENT_STORE_LOST,
               field_text (FIELD_TABLE, str_from (follow->options.name)),
               field_number (FIELD_CODE, code));
  else
    log_event (EVENT_STORE_BACK,
               field_text (FIELD_TABLE, str_from (follow->options.name)));
  if (follow->events.reach != NULL)
    follow->events.reach (follow->arg, down);
}

static void
fail (table_sync_t *follow, vh_code_t code)
{
  if (code == VH_E_NOT_FOUND)
    {
      log_event (EVENT_STORE_FORGOT,
                 field_text (FIELD_TABLE, str_from (follow->options.name)));
      follow->reading = true;
      follow->next.len = 0;
      step_after (follow, WATCH_GAP_MS);
      return;
    }
  set_down (follow, true, code);
  if (follow->reading)
    follow->next.len = 0;
  step_after (follow, rng_jitter (&follow->rng, follow->retry_ms));
  follow->retry_ms = follow->retry_ms * 2 < follow->options.retry_last_ms
                         ? follow->retry_ms * 2
                         : follow->options.retry_last_ms;
}

static void
put (table_sync_t *follow, const rows_row_t *row)
{
  map_put (follow->known, row->key, (void *)follow->pass);
  follow->events.put (follow->arg, row);
}

/* Tell of the rows that the read just over did not see.  */
static void
sweep (table_sync_t *follow)
{
  buf_t gone = BUF_NULL;
  size_t cursor = 0;
  str_t key;
  void *mark;

  while (map_next (follow->known, &cursor, &key, &mark))
    if ((uintptr_t)mark != follow->pass)
      {
        buf_append_str (&gone, key);
        buf_append_char (&gone, '\0');
      }
  for (size_t at = 0; at < gone.len;)
    {
      str_t lost = str_from (gone.ptr + at);
      at += lost.len + 1;
      map_remove (follow->known, lost);
      follow->events.removed (follow->arg, lost);
    }
  buf_free (&gone);
}

static void
confirm (table_sync_t *follow, const rows_result_t *result, uint64_t sent_ms)
{
  uint64_t now_ms = clock_boot_ms (follow->clock);

  if (result->direct)
    store_clock_add_sample (&follow->store_clock, result->said_ms, sent_ms,
                            now_ms);
  uint64_t said_ms
      = store_clock_to_local (&follow->store_clock, result->said_ms, now_ms);
  follow->confirmed = true;
  follow->confirmed_ms
      = sent_ms > result->age_ms ? sent_ms - result->age_ms : 0;
  /* Both are moments at which the store had no later word.  */
  if (said_ms > follow->confirmed_ms)
    follow->confirmed_ms = said_ms;
  follow->store_ms = result->now_ms;
  follow->store_seen_ms = now_ms;
  follow->retry_ms = RETRY_FIRST_MS;
}

static void
take_read (table_sync_t *follow, const rows_result_t *result)
{
  if (follow->next.len == 0)
    {
      follow->pass++;
      follow->read_version = result->version;
      follow->read_sent_ms = follow->sent_ms;
    }
  for (size_t i = 0; i < result->count; i++)
    put (follow, &result->rows[i]);
  follow->next.len = 0;
  if (result->more && result->count > 0)
    {
      /* The least key past the last one.  */
      buf_append_str (&follow->next, result->rows[result->count - 1].key);
      buf_append_char (&follow->next, '\x01');
      step (follow);
      return;
    }
  sweep (follow);
  follow->reading = false;
  follow->version = follow->read_version;
  confirm (follow, result, follow->read_sent_ms);
  follow->events.caught_up (follow->arg, true);
  step_after (follow, 0);
}

static void
take_watch (table_sync_t *follow, const rows_result_t *result)
{
  for (size_t i = 0; i < result->count; i++)
    {
      const rows_row_t *row = &result->rows[i];
      if (!row->deleted)
        put (follow, row);
      else if (map_remove (follow->known, row->key) != NULL)
        follow->events.removed (follow->arg, row->key);
    }
  follow->version = result->version;
  confirm (follow, result, follow->sent_ms);
  follow->events.caught_up (follow->arg, false);
  step_after (follow, follow->options.gap_ms > WATCH_GAP_MS
                          ? follow->options.gap_ms
                          : WATCH_GAP_MS);
}

static void
on_result (void *arg, vh_code_t code, const rows_result_t *result)
{
  table_sync_t *follow = arg;

  if (code != VH_OK)
    {
      fail (follow, code);
      return;
    }
  if (result->version < follow->version)
    {
      /* A read of the past would take back what is in force.  */
      log_event (EVENT_STORE_STALE,
                 field_text (FIELD_TABLE, str_from (follow->options.name)),
                 field_number (FIELD_ORDER, result->version),
                 field_number (FIELD_SEEN, follow->version));
      follow->next.len = 0;
      step_after (follow, rng_jitter (&follow->rng, TABLE_SYNC_RETRY_MAX_MS));
      return;
    }
  /* Before the rows: what an outage means for them must be known.  */
  set_down (follow, false, VH_OK);
  if (follow->reading)
    take_read (follow, result);
  else
    take_watch (follow, result);
}

static void
step (table_sync_t *follow)
{
  follow->sent_ms = clock_boot_ms (follow->clock);
  if (follow->reading)
    follow->rows->ops->read (follow->rows, follow->options.table,
                             buf_str (&follow->next), READ_TIMEOUT_MS,
                             on_result, follow);
  else
    {
      /* After a failure the wait is none, so that the state is confirmed at
         once rather than after a whole wait.  */
      uint64_t wait_ms = follow->down ? 0 : follow->options.wait_ms;
      follow->rows->ops->watch (
          follow->rows, follow->options.table, follow->version, wait_ms,
          wait_ms + follow->options.slack_ms, on_result, follow);
    }
}

table_sync_t *
table_sync_create (uv_loop_t *loop, clock_iface_t *clock, rows_t *rows,
                   uint64_t seed, const table_sync_options_t *options,
                   const table_sync_events_t *events, void *arg)
{
  table_sync_t *follow = mem_zalloc (sizeof *follow);

  follow->clock = clock;
  follow->rows = rows;
  follow->options = *options;
  if (follow->options.retry_last_ms == 0)
    follow->options.retry_last_ms = TABLE_SYNC_RETRY_MAX_MS;
  follow->events = *events;
  follow->arg = arg;
  follow->rng = rng_make (seed);
  follow->known = map_create ();
  follow->reading = true;
  follow->retry_ms = RETRY_FIRST_MS;
  uv_timer_init (loop, &follow->timer);
  follow->timer.data = follow;
  step_after (follow, 0);
  return follow;
}

void
table_sync_retry_now (table_sync_t *follow)
{
  if (!follow->down)
    return;
  /* A call that is out may hang on a connection that was cut.  */
  follow->rows->ops->forget (follow->rows, follow);
  if (follow->reading)
    follow->next.len = 0;
  step_after (follow, 0);
}

static void
on_timer_closed (uv_handle_t *handle)
{
  table_sync_t *follow = handle->data;

  map_destroy (follow->known);
  buf_free (&follow->next);
  free (follow);
}

void
table_sync_destroy (table_sync_t *follow)
{
  if (follow == NULL)
    return;
  follow->rows->ops->forget (follow->rows, follow);
  uv_close ((uv_handle_t *)&follow->timer, on_timer_closed);
}

uint64_t
table_sync_age_ms (const table_sync_t *follow)
{
  return !follow->confirmed
             ? UINT64_MAX
             : clock_boot_ms (follow->clock) - follow->confirmed_ms;
}

bool
table_sync_is_down (const table_sync_t *follow)
{
  return follow->down;
}

uint64_t
table_sync_store_now_ms (const table_sync_t *follow)
{
  return follow->store_ms == 0
             ? 0
             : follow->store_ms
                   + (clock_boot_ms (follow->clock) - follow->store_seen_ms);
}
