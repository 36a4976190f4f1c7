#include "fake_rows.h"

#include "base/mem.h"

#include <check.h>
#include <stdlib.h>

enum
{
  ROWS_MAX = 512,
  STORE_START_MS = 1000000
};

typedef struct
{
  rows_table_t table;
  char *key;
  char *value; /* Followed by a NUL.  */
  size_t value_len;
  uint64_t version;
  bool deleted;
} stored_row_t;

typedef struct
{
  list_t link;
  fake_rows_t *fake;
  uv_timer_t timer;
  enum
  {
    CALL_READ,
    CALL_WATCH,
    CALL_COMMIT
  } kind;
  rows_table_t table;
  uint64_t after;
  vh_code_t code; /* Result of the call if it fails, else VH_OK.  */
  rows_cb_t cb;
  void *arg;
} fake_call_t;

/* Rows of all tables with the version of the newest change.  */
typedef struct
{
  stored_row_t rows[ROWS_MAX];
  size_t count;
  uint64_t version;
} row_set_t;

struct fake_rows
{
  rows_t base;
  uv_loop_t *loop;
  stored_row_t rows[ROWS_MAX];
  size_t count;
  uint64_t version;
  row_set_t *copy; /* NULL: none was taken.  */
  uint64_t era;
  uint64_t stale_version; /* Version of the rows in replies; 0: the newest
                             version.  */
  /* Watches after a version lower than this end with VH_E_NOT_FOUND.  */
  uint64_t history_floor;
  uint64_t advanced_ms; /* Time that was added by fake_rows_advance_clock.  */
  bool is_down;
  bool is_refusing_writes;
  bool is_stalled[ROWS_SHARED + 1];
  size_t calls;
  list_t pending;
};

uint64_t
fake_rows_now_ms (const fake_rows_t *fake)
{
  return STORE_START_MS + uv_now (fake->loop) + fake->advanced_ms;
}

static stored_row_t *
find_row (const fake_rows_t *fake, rows_table_t table, str_t key)
{
  for (size_t i = 0; i < fake->count; i++)
    if (fake->rows[i].table == table
        && str_eq (str_from (fake->rows[i].key), key))
      return (stored_row_t *)&fake->rows[i];
  return NULL;
}

static void
on_call_closed (uv_handle_t *handle)
{
  free (handle->data);
}

static void
call_end (fake_call_t *call)
{
  list_remove (&call->link);
  uv_close ((uv_handle_t *)&call->timer, on_call_closed);
}

/* Reply to CALL with the rows of its table that changed after its version.  */
static void
call_reply (fake_call_t *call)
{
  fake_rows_t *fake = call->fake;
  rows_row_t rows[ROWS_MAX];
  rows_cb_t cb = call->cb;
  void *arg = call->arg;
  uint64_t version_max
      = fake->stale_version != 0 ? fake->stale_version : fake->version;
  rows_result_t result
      = { .rows = rows,
          .version = rows_version_make (fake->era, version_max),
          .store_now_ms = fake_rows_now_ms (fake),
          .is_direct = true,
          .store_confirmed_ms = fake_rows_now_ms (fake) };
  vh_code_t code = fake->is_down ? VH_E_STORE_DOWN : call->code;

  if (call->kind == CALL_WATCH
      && (call->after < fake->history_floor || call->after > fake->version))
    code = VH_E_NOT_FOUND;
  for (size_t i = 0; i < fake->count && call->kind != CALL_COMMIT; i++)
    {
      const stored_row_t *row = &fake->rows[i];
      if (row->table != call->table || row->version <= call->after
          || row->version > version_max
          || (call->kind == CALL_READ && row->deleted))
        continue;
      rows[result.count++] = (rows_row_t){
        str_from (row->key), str_make (row->value, row->value_len),
        rows_version_make (fake->era, row->version), row->deleted
      };
    }
  call_end (call);
  cb (arg, code, code == VH_OK ? &result : NULL);
}

static void
on_call_timer (uv_timer_t *timer)
{
  fake_call_t *call = timer->data;

  if (!call->fake->is_stalled[call->table])
    call_reply (call);
}

/* Check that the caller of a read or watch has no other that awaits its reply:
   a caller that is released with its reply must not get a second one.  */
static void
check_single_call (const fake_rows_t *fake, const void *arg)
{
  LIST_EACH (at, &fake->pending)
    {
      const fake_call_t *call = CONTAINER_OF (at, fake_call_t, link);
      ck_assert_msg (call->kind == CALL_COMMIT || call->arg != arg,
                     "two calls at a time for one caller");
    }
}

static fake_call_t *
call_add (fake_rows_t *fake, int kind, rows_table_t table, uint64_t after,
          uint64_t wait_ms, rows_cb_t cb, void *arg)
{
  fake_call_t *call = mem_zalloc (sizeof *call);

  if (kind != CALL_COMMIT)
    check_single_call (fake, arg);
  call->fake = fake;
  call->kind = kind;
  call->table = table;
  call->after = after;
  call->cb = cb;
  call->arg = arg;
  fake->calls++;
  list_append (&fake->pending, &call->link);
  uv_timer_init (fake->loop, &call->timer);
  call->timer.data = call;
  uv_timer_start (&call->timer, on_call_timer, fake->is_down ? 1 : wait_ms, 0);
  return call;
}

static void
fake_read (rows_t *rows, rows_table_t table, str_t from, uint64_t timeout_ms,
           rows_cb_t cb, void *arg)
{
  (void)from;
  (void)timeout_ms;
  call_add ((fake_rows_t *)rows, CALL_READ, table, 0, 1, cb, arg);
}

static void
fake_watch (rows_t *rows, rows_table_t table, uint64_t after, uint64_t wait_ms,
            uint64_t timeout_ms, rows_cb_t cb, void *arg)
{
  fake_rows_t *fake = (fake_rows_t *)rows;
  uint64_t count = rows_version_count (after);
  bool is_earlier_era = rows_version_era (after) < fake->era;
  bool has_changes
      = is_earlier_era || count < fake->history_floor || count > fake->version;

  (void)timeout_ms;
  for (size_t i = 0; i < fake->count; i++)
    if (fake->rows[i].table == table && fake->rows[i].version > count)
      has_changes = true;
  fake_call_t *call = call_add (fake, CALL_WATCH, table, count,
                                has_changes ? 1 : wait_ms, cb, arg);
  if (is_earlier_era)
    call->code = VH_E_NOT_FOUND;
}

/* Reply to the watches on TABLE on a later iteration of the loop.  */
static void
reply_to_watches (fake_rows_t *fake, rows_table_t table)
{
  LIST_EACH (at, &fake->pending)
    {
      fake_call_t *call = CONTAINER_OF (at, fake_call_t, link);
      if (call->kind == CALL_WATCH && call->table == table)
        uv_timer_start (&call->timer, on_call_timer, 1, 0);
    }
}

static void
store_row (fake_rows_t *fake, rows_table_t table, str_t key, str_t value,
           bool deleted)
{
  stored_row_t *row = find_row (fake, table, key);

  if (row == NULL)
    {
      ck_assert_uint_lt (fake->count, ROWS_MAX);
      row = &fake->rows[fake->count++];
      row->table = table;
      row->key = str_dup (key);
    }
  free (row->value);
  row->value = str_dup (value);
  row->value_len = value.len;
  row->deleted = deleted;
  row->version = fake->version;
  reply_to_watches (fake, table);
}

static void
fake_commit (rows_t *rows, const rows_write_t *writes, size_t count,
             uint64_t timeout_ms, rows_cb_t cb, void *arg)
{
  fake_rows_t *fake = (fake_rows_t *)rows;
  fake_call_t *call = call_add (fake, CALL_COMMIT, ROWS_SHARED, 0, 1, cb, arg);

  (void)timeout_ms;
  if (fake->is_refusing_writes)
    call->code = VH_E_STORE_DOWN;
  if (fake->is_down || fake->is_refusing_writes)
    return;
  for (size_t i = 0; i < count; i++)
    {
      const stored_row_t *row
          = find_row (fake, writes[i].table, writes[i].key);
      uint64_t version = row == NULL || row->deleted ? 0 : row->version;
      if (version != 0)
        version = rows_version_make (fake->era, version);
      if (writes[i].is_conditional && version != writes[i].expected_version)
        call->code = VH_E_CONFLICT;
    }
  if (call->code != VH_OK)
    return;
  fake->version++;
  for (size_t i = 0; i < count; i++)
    store_row (fake, writes[i].table, writes[i].key, writes[i].value,
               writes[i].is_delete);
}

static void
fake_cancel (rows_t *rows, const void *arg)
{
  fake_rows_t *fake = (fake_rows_t *)rows;

  LIST_EACH (at, &fake->pending)
    {
      fake_call_t *call = CONTAINER_OF (at, fake_call_t, link);
      if (call->arg == arg)
        call_end (call);
    }
}

static void
free_rows (stored_row_t *rows, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      free (rows[i].key);
      free (rows[i].value);
    }
}

static void
copy_rows (const stored_row_t *from, stored_row_t *to, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      to[i] = from[i];
      to[i].key = str_dup (str_from (from[i].key));
      to[i].value = str_dup (str_make (from[i].value, from[i].value_len));
    }
}

static void
drop_copy (fake_rows_t *fake)
{
  if (fake->copy != NULL)
    free_rows (fake->copy->rows, fake->copy->count);
  free (fake->copy);
  fake->copy = NULL;
}

static void
fake_destroy (rows_t *rows)
{
  fake_rows_t *fake = (fake_rows_t *)rows;

  LIST_EACH (at, &fake->pending)
    call_end (CONTAINER_OF (at, fake_call_t, link));
  free_rows (fake->rows, fake->count);
  drop_copy (fake);
  free (fake);
}

fake_rows_t *
fake_rows_create (uv_loop_t *loop)
{
  static const rows_ops_t ops
      = { fake_read, fake_watch, fake_commit, fake_cancel, fake_destroy };
  fake_rows_t *fake = mem_zalloc (sizeof *fake);

  fake->base.ops = &ops;
  fake->loop = loop;
  fake->version = 1;
  list_init (&fake->pending);
  return fake;
}

rows_t *
fake_rows_iface (fake_rows_t *fake)
{
  return &fake->base;
}

void
fake_rows_put_bytes (fake_rows_t *fake, rows_table_t table, const char *key,
                     str_t value)
{
  fake->version++;
  store_row (fake, table, str_from (key), value, false);
}

void
fake_rows_put (fake_rows_t *fake, rows_table_t table, const char *key,
               const char *value)
{
  fake_rows_put_bytes (fake, table, key, str_from (value));
}

void
fake_rows_remove (fake_rows_t *fake, rows_table_t table, const char *key)
{
  fake->version++;
  store_row (fake, table, str_from (key), STR (""), true);
}

str_t
fake_rows_get_bytes (const fake_rows_t *fake, rows_table_t table,
                     const char *key)
{
  const stored_row_t *row = find_row (fake, table, str_from (key));

  return row == NULL || row->deleted ? STR_NULL
                                     : str_make (row->value, row->value_len);
}

const char *
fake_rows_get (const fake_rows_t *fake, rows_table_t table, const char *key)
{
  const stored_row_t *row = find_row (fake, table, str_from (key));

  return row == NULL || row->deleted ? NULL : row->value;
}

void
fake_rows_set_refusing_writes (fake_rows_t *fake, bool is_refusing)
{
  fake->is_refusing_writes = is_refusing;
}

void
fake_rows_set_down (fake_rows_t *fake, bool is_down)
{
  fake->is_down = is_down;
  LIST_EACH (at, &fake->pending)
    uv_timer_start (&CONTAINER_OF (at, fake_call_t, link)->timer,
                    on_call_timer, 1, 0);
}

void
fake_rows_set_stalled (fake_rows_t *fake, rows_table_t table, bool is_stalled)
{
  fake->is_stalled[table] = is_stalled;
  reply_to_watches (fake, table);
}

void
fake_rows_set_stale_version (fake_rows_t *fake, uint64_t version)
{
  fake->stale_version = version;
  for (rows_table_t table = ROWS_OPERATOR; table <= ROWS_SHARED; table++)
    reply_to_watches (fake, table);
}

uint64_t
fake_rows_version (const fake_rows_t *fake)
{
  return fake->version;
}

void
fake_rows_drop_history (fake_rows_t *fake)
{
  fake->version++;
  fake->history_floor = fake->version;
  for (rows_table_t table = ROWS_OPERATOR; table <= ROWS_SHARED; table++)
    reply_to_watches (fake, table);
}

void
fake_rows_set_era (fake_rows_t *fake, uint64_t era)
{
  fake->era = era;
}

void
fake_rows_take_copy (fake_rows_t *fake)
{
  drop_copy (fake);
  fake->copy = mem_zalloc (sizeof *fake->copy);
  copy_rows (fake->rows, fake->copy->rows, fake->count);
  fake->copy->count = fake->count;
  fake->copy->version = fake->version;
}

void
fake_rows_return_to_copy (fake_rows_t *fake)
{
  ck_assert_ptr_nonnull (fake->copy);
  free_rows (fake->rows, fake->count);
  memset (fake->rows, 0, sizeof fake->rows);
  copy_rows (fake->copy->rows, fake->rows, fake->copy->count);
  fake->count = fake->copy->count;
  fake->version = fake->copy->version;
  if (fake->era > 0)
    fake->era++;
  LIST_EACH (at, &fake->pending)
    {
      fake_call_t *call = CONTAINER_OF (at, fake_call_t, link);
      call->code = VH_E_STORE_DOWN;
      uv_timer_start (&call->timer, on_call_timer, 1, 0);
    }
}

void
fake_rows_advance_clock (fake_rows_t *fake, uint64_t ms)
{
  fake->advanced_ms += ms;
  for (rows_table_t table = ROWS_OPERATOR; table <= ROWS_SHARED; table++)
    reply_to_watches (fake, table);
}

void
fake_rows_set_clock_back (fake_rows_t *fake, uint64_t ms)
{
  fake->advanced_ms -= ms;
}

size_t
fake_rows_call_count (const fake_rows_t *fake)
{
  return fake->calls;
}
