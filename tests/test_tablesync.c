/* Tests of what a table's reader passes on of the store's replies.  */

#include "gateway/tablesync.h"
#include "loop_wait.h"
#include "suite.h"

#include <stdio.h>

enum
{
  WAIT_LIMIT_MS = 5000,
  PUTS_MAX = 16
};

/* A store that replies to the first watch with several versions of a row, and
   to no call after that.  */
typedef struct
{
  rows_t base;
  uv_timer_t timer;
  bool is_watch;
  rows_cb_t cb;
  void *arg;
} scripted_rows_t;

typedef struct
{
  uv_loop_t loop;
  loop_wait_t wait;
  scripted_rows_t rows;
  size_t reply_count;
  char puts[PUTS_MAX][8]; /* Values passed on, in order.  */
  size_t put_count;
} fixture_t;

static void
on_timer (uv_timer_t *timer)
{
  static const rows_row_t read_rows[]
      = { { .key = { "a", 1 }, .value = { "one", 3 }, .version = 1 },
          { .key = { "b", 1 }, .value = { "one", 3 }, .version = 1 } };
  static const rows_row_t changes[]
      = { { .key = { "a", 1 }, .value = { "two", 3 }, .version = 2 },
          { .key = { "b", 1 }, .value = { "two", 3 }, .version = 3 },
          { .key = { "a", 1 }, .value = { "three", 5 }, .version = 4 },
          { .key = { "b", 1 }, .version = 5, .deleted = true },
          { .key = { "a", 1 }, .value = { "four", 4 }, .version = 6 } };
  scripted_rows_t *rows = timer->data;
  rows_result_t result
      = rows->is_watch
            ? (rows_result_t){ .rows = changes, .count = 5, .version = 6 }
            : (rows_result_t){ .rows = read_rows, .count = 2, .version = 1 };

  result.is_direct = true;
  rows->cb (rows->arg, VH_OK, &result);
}

static void
scripted_call (scripted_rows_t *rows, bool is_watch, rows_cb_t cb, void *arg)
{
  rows->is_watch = is_watch;
  rows->cb = cb;
  rows->arg = arg;
  uv_timer_start (&rows->timer, on_timer, 1, 0);
}

static void
scripted_read (rows_t *rows, rows_table_t table, str_t from,
               uint64_t timeout_ms, rows_cb_t cb, void *arg)
{
  (void)table;
  (void)from;
  (void)timeout_ms;
  scripted_call ((scripted_rows_t *)rows, false, cb, arg);
}

static void
scripted_watch (rows_t *rows, rows_table_t table, uint64_t after,
                uint64_t wait_ms, uint64_t timeout_ms, rows_cb_t cb, void *arg)
{
  (void)table;
  (void)wait_ms;
  (void)timeout_ms;
  if (after < 6)
    scripted_call ((scripted_rows_t *)rows, true, cb, arg);
}

static void
scripted_cancel (rows_t *rows, const void *arg)
{
  (void)arg;
  uv_timer_stop (&((scripted_rows_t *)rows)->timer);
}

static void
on_put (void *arg, const rows_row_t *row)
{
  fixture_t *f = arg;

  ck_assert_uint_lt (f->put_count, PUTS_MAX);
  snprintf (f->puts[f->put_count++], sizeof f->puts[0], "%.*s",
            STR_ARG (row->value));
}

static void
on_removed (void *arg, str_t key)
{
  ck_assert (str_eq (key, STR ("b")));
  on_put (arg, &(rows_row_t){ .value = STR ("gone") });
}

static void
on_synced (void *arg, bool is_full_read)
{
  (void)is_full_read;
  ((fixture_t *)arg)->reply_count++;
}

/* Versions of a configuration that had piled up in an outage came into force
   one after the other.  */
START_TEST (superseded_versions_delay_the_newest)
{
  static const rows_ops_t ops = { .read = scripted_read,
                                  .watch = scripted_watch,
                                  .cancel = scripted_cancel };
  static const table_sync_options_t options
      = { .table = ROWS_OPERATOR, .name = "orders", .wait_ms = 100 };
  static const table_sync_events_t events
      = { .put = on_put, .removed = on_removed, .synced = on_synced };
  fixture_t f = { .rows = { .base = { &ops } } };

  uv_loop_init (&f.loop);
  loop_wait_init (&f.wait, &f.loop, WAIT_LIMIT_MS);
  uv_timer_init (&f.loop, &f.rows.timer);
  f.rows.timer.data = &f.rows;
  table_sync_t *sync = table_sync_create (
      &f.loop, clock_system (), &f.rows.base, 1, &options, &events, &f);
  LOOP_WAIT (&f.wait, f.reply_count == 2);
  ck_assert_uint_eq (f.put_count, 4);
  ck_assert_str_eq (f.puts[2], "gone");
  ck_assert_str_eq (f.puts[3], "four");
  table_sync_destroy (sync);
  uv_close ((uv_handle_t *)&f.rows.timer, NULL);
  loop_wait_close (&f.wait);
  uv_run (&f.loop, UV_RUN_DEFAULT);
  ck_assert_int_eq (uv_loop_close (&f.loop), 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("tablesync");
  TCase *tcase = tcase_create ("tablesync");

  tcase_add_test (tcase, superseded_versions_delay_the_newest);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
