#include "control/qualitystore.h"

#include "base/mem.h"
#include "storage/json.h"

#include <stdlib.h>

enum
{
  WRITE_INTERVAL_MS = 30000,
  RETRY_DELAY_MAX_MS = 120000,
  RESOLVE_TIMEOUT_MS = 5000,
  PARTS_PER_TXN = 16,
  LOAD_PAGE_ROWS = 100
};

#define KEY_PREFIX STR ("quality/")

typedef struct
{
  list_t link;
  buf_t key;
  buf_t bytes;
  bool is_dirty;
  bool is_in_flight; /* The pending transaction writes these bytes.  */
} part_t;

typedef struct
{
  list_t link;
  qualitystore_t *quality;
  buf_t last_key;
  qualitystore_cb_t cb;
  void *arg;
} load_t;

struct qualitystore
{
  store_t *store;
  control_env_t env;
  buf_t writer;
  uv_timer_t timer;
  backoff_t backoff;
  bool is_write_pending;
  list_t parts;
  list_t loads;
};

static void
write_value (const qualitystore_t *quality, const part_t *part, buf_t *out)
{
  json_t *json = json_object ();

  json_object_set_new (
      json, "at_ms",
      json_integer ((json_int_t)clock_realtime_ms (quality->env.clock)));
  json_put_bytes (json, "bytes", buf_str (&part->bytes));
  json_write_and_free (json, out);
}

static void
on_parts_written (void *arg, vh_code_t code, uint64_t version,
                  str_t conflict_key)
{
  qualitystore_t *quality = arg;

  (void)version;
  (void)conflict_key;
  quality->is_write_pending = false;
  if (code == VH_OK)
    backoff_reset (&quality->backoff);
  LIST_EACH (at, &quality->parts)
    {
      part_t *part = CONTAINER_OF (at, part_t, link);
      /* qualitystore_save clears IS_IN_FLIGHT, so a part that was saved again
         during the write remains dirty.  */
      if (part->is_in_flight && code == VH_OK)
        part->is_dirty = false;
      part->is_in_flight = false;
    }
}

static void
write_dirty_parts (qualitystore_t *quality)
{
  txn_write_t writes[PARTS_PER_TXN];
  buf_t values[PARTS_PER_TXN] = { BUF_NULL };
  size_t count = 0;

  LIST_EACH (at, &quality->parts)
    {
      part_t *part = CONTAINER_OF (at, part_t, link);
      if (!part->is_dirty || count == PARTS_PER_TXN)
        continue;
      part->is_in_flight = true;
      write_value (quality, part, &values[count]);
      writes[count] = (txn_write_t){ buf_str (&part->key),
                                     buf_str (&values[count]), false };
      count++;
    }
  if (count == 0)
    return;
  buf_t token = BUF_NULL;
  store_append_token (quality->store, &token);
  const txn_t txn = { NULL, 0, writes, count, buf_str (&token) };
  quality->is_write_pending = true;
  store_txn (quality->store, &txn, RESOLVE_TIMEOUT_MS, on_parts_written,
             quality);
  buf_free (&token);
  for (size_t i = 0; i < count; i++)
    buf_free (&values[i]);
}

static void
on_timer (uv_timer_t *timer)
{
  qualitystore_t *quality = timer->data;

  uv_timer_start (
      &quality->timer, on_timer,
      backoff_next (&quality->backoff, store_rng (quality->store)) + 1, 0);
  if (!quality->is_write_pending)
    write_dirty_parts (quality);
}

qualitystore_t *
qualitystore_create (const control_env_t *env,
                     const qualitystore_options_t *options)
{
  qualitystore_t *quality = mem_zalloc (sizeof *quality);
  uint64_t write_interval_ms = options->write_interval_ms > 0
                                   ? options->write_interval_ms
                                   : WRITE_INTERVAL_MS;

  quality->store = store_create (env);
  quality->env = *env;
  buf_append_str (&quality->writer, options->writer);
  quality->backoff = (backoff_t){ write_interval_ms, RETRY_DELAY_MAX_MS, 0 };
  list_init (&quality->parts);
  list_init (&quality->loads);
  uv_timer_init (env->loop, &quality->timer);
  quality->timer.data = quality;
  uv_timer_start (&quality->timer, on_timer, write_interval_ms, 0);
  return quality;
}

static void
on_timer_closed (uv_handle_t *handle)
{
  free (handle->data);
}

static void
load_free (load_t *load)
{
  buf_free (&load->last_key);
  free (load);
}

void
qualitystore_destroy (qualitystore_t *quality)
{
  if (quality == NULL)
    return;
  store_destroy (quality->store);
  LIST_EACH (at, &quality->loads)
    {
      load_t *load = CONTAINER_OF (at, load_t, link);
      load->cb (load->arg, VH_E_CANCELLED, NULL);
      load_free (load);
    }
  LIST_EACH (at, &quality->parts)
    {
      part_t *part = CONTAINER_OF (at, part_t, link);
      buf_free (&part->key);
      buf_free (&part->bytes);
      free (part);
    }
  buf_free (&quality->writer);
  uv_close ((uv_handle_t *)&quality->timer, on_timer_closed);
}

static part_t *
get_part (qualitystore_t *quality, str_t name)
{
  buf_t key = BUF_NULL;

  buf_printf (&key, "quality/%.*s/%.*s", STR_ARG (buf_str (&quality->writer)),
              STR_ARG (name));
  LIST_EACH (at, &quality->parts)
    {
      part_t *part = CONTAINER_OF (at, part_t, link);
      if (!str_eq (buf_str (&part->key), buf_str (&key)))
        continue;
      buf_free (&key);
      return part;
    }
  part_t *part = mem_zalloc (sizeof *part);
  part->key = key;
  list_append (&quality->parts, &part->link);
  return part;
}

void
qualitystore_save (qualitystore_t *quality, str_t part_name, str_t bytes)
{
  part_t *part = get_part (quality, part_name);

  part->bytes.len = 0;
  buf_append_str (&part->bytes, bytes);
  part->is_dirty = true;
  part->is_in_flight = false;
}

size_t
qualitystore_unsaved_count (const qualitystore_t *quality)
{
  size_t count = 0;

  LIST_EACH (at, &quality->parts)
    count += CONTAINER_OF (at, part_t, link)->is_dirty;
  return count;
}

static void read_next_page (load_t *load);

static void
deliver_row (const load_t *load, const row_t *row)
{
  json_t *json = json_loadb (row->value.ptr != NULL ? row->value.ptr : "",
                             row->value.len, JSON_ALLOW_NUL, NULL);
  str_t key = str_make (row->key.ptr + KEY_PREFIX.len,
                        row->key.len - KEY_PREFIX.len);
  buf_t scratch = BUF_NULL;
  quality_row_t quality_row;

  quality_row.writer = str_cut (key, '/', &quality_row.part);
  quality_row.bytes = json_get_bytes (json, "bytes", &scratch);
  quality_row.written_at_ms = json_get_u64 (json, "at_ms");
  /* A row that cannot be parsed is skipped.  */
  if (json != NULL)
    load->cb (load->arg, VH_OK, &quality_row);
  json_decref (json);
  buf_free (&scratch);
}

static void
on_page (void *arg, vh_code_t code, const row_t *rows, size_t count, bool more)
{
  load_t *load = arg;

  for (size_t i = 0; i < count; i++)
    deliver_row (load, &rows[i]);
  if (code == VH_OK && more && count > 0)
    {
      load->last_key.len = 0;
      buf_append_str (&load->last_key, rows[count - 1].key);
      read_next_page (load);
      return;
    }
  list_remove (&load->link);
  load->cb (load->arg, code, NULL);
  load_free (load);
}

static void
read_next_page (load_t *load)
{
  store_scan (load->quality->store, KEY_PREFIX, buf_str (&load->last_key),
              LOAD_PAGE_ROWS, on_page, load);
}

void
qualitystore_load (qualitystore_t *quality, qualitystore_cb_t cb, void *arg)
{
  load_t *load = mem_zalloc (sizeof *load);

  load->quality = quality;
  load->cb = cb;
  load->arg = arg;
  list_append (&quality->loads, &load->link);
  read_next_page (load);
}
