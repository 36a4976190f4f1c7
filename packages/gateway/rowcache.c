#include "gateway/rowcache.h"

#include "base/loop_watch.h"
#include "base/map.h"
#include "base/mem.h"
#include "gateway/confirmation.h"
#include "wire/deflate.h"
#include "wire/proto/wire.h"

#include <stdlib.h>

enum
{
  /* Time for which a deleted row is kept for callers that do not know of the
     deletion.  A caller that asks later must read the whole table.  */
  TOMBSTONE_TTL_MS = 30000,
  /* Minimum total size of the values, in bytes, from which rows are packed
     into one deflated string.  */
  PACK_BYTES_MIN = 2048,
  /* Time for which a packed reply with the whole table is reused.  The next
     watch call of a caller returns the changes since the reply was packed.
     Gateways that start together each read the whole table, and packing the
     table for each of them takes longer than the timeout of their calls.  */
  WHOLE_TABLE_REPLY_TTL_MS = 1000
};

typedef struct
{
  char *key;
  buf_t value;
  buf_t deflated; /* VALUE deflated; empty until the row is first sent.  */
  bool is_incompressible; /* VALUE is sent plain, because deflating does not
                             shorten it.  */
  uint64_t version;
  bool is_deleted;
  uint64_t deleted_ms; /* Time of the deletion, in ms of the boot clock.  */
} cached_row_t;

/* A packed reply with many rows, kept for further callers.  */
typedef struct
{
  uint64_t after;     /* The reply contains the rows that changed after this
                         version.  */
  uint64_t version;   /* Store version of the rows; 0: no reply is kept.  */
  uint64_t packed_ms; /* Time of packing, in ms of the boot clock.  */
  /* Values of the fields of the same names in rowcache at the time of
     packing.  */
  uint64_t confirmed_ms;
  uint64_t store_confirmed_ms;
  buf_t bytes;
  size_t plain_len;
} packed_reply_t;

struct rowcache
{
  clock_iface_t *clock;
  map_t *rows;            /* Map of key to cached_row_t.  */
  bool is_complete;       /* All rows of the table are known.  */
  bool is_down;           /* The store did not reply to the last call.  */
  uint64_t version;       /* Store version of the rows.  */
  uint64_t read_version;  /* Store version of the first page of the current
                             read.  */
  uint64_t history_floor; /* Deletions up to this version are unknown.  */
  confirmation_t confirmation;
  uint64_t store_now_ms;      /* Store clock in the last reply, in ms.  */
  uint64_t store_received_ms; /* Boot clock at the time of the last reply, in
                                 ms.  */
  /* Store clock at the time when the store confirmed the rows, in ms.  */
  uint64_t store_confirmed_ms;
  packed_reply_t whole_table_reply;
  packed_reply_t changes_reply;
};

static void
cached_row_free (cached_row_t *cached_row)
{
  free (cached_row->key);
  buf_free (&cached_row->value);
  buf_free (&cached_row->deflated);
  free (cached_row);
}

static void
free_rows (rowcache_t *cache)
{
  size_t cursor = 0;
  str_t key;
  void *value;

  while (map_next (cache->rows, &cursor, &key, &value))
    cached_row_free (value);
  map_destroy (cache->rows);
}

rowcache_t *
rowcache_create (clock_iface_t *clock)
{
  rowcache_t *cache = mem_zalloc (sizeof *cache);

  cache->clock = clock;
  cache->rows = map_create ();
  return cache;
}

void
rowcache_destroy (rowcache_t *cache)
{
  if (cache == NULL)
    return;
  free_rows (cache);
  buf_free (&cache->whole_table_reply.bytes);
  buf_free (&cache->changes_reply.bytes);
  free (cache);
}

/* Insert or replace ROW, which may be a deletion.  */
static void
store_row (rowcache_t *cache, const rows_row_t *row)
{
  cached_row_t *cached_row = map_get (cache->rows, row->key);

  if (cached_row == NULL)
    {
      cached_row = mem_zalloc (sizeof *cached_row);
      cached_row->key = str_dup (row->key);
      map_put (cache->rows, row->key, cached_row);
    }
  cached_row->value.len = 0;
  cached_row->deflated.len = 0;
  cached_row->is_incompressible = row->value.len < DEFLATE_MIN_BYTES;
  buf_append_str (&cached_row->value, row->value);
  cached_row->version = row->version;
  cached_row->is_deleted = row->deleted;
  cached_row->deleted_ms = clock_boottime_ms (cache->clock);
}

/* Drop the rows that were deleted TOMBSTONE_TTL_MS ago or earlier, and raise
   the history floor.  */
static void
expire_tombstones (rowcache_t *cache)
{
  size_t cursor = 0;
  str_t key;
  void *value;

  while (map_next (cache->rows, &cursor, &key, &value))
    {
      cached_row_t *cached_row = value;
      if (!cached_row->is_deleted
          || clock_boottime_ms (cache->clock) - cached_row->deleted_ms
                 < TOMBSTONE_TTL_MS)
        continue;
      if (cached_row->version > cache->history_floor)
        cache->history_floor = cached_row->version;
      map_remove (cache->rows, key);
      cached_row_free (cached_row);
      cursor = 0;
    }
}

void
rowcache_apply_result (rowcache_t *cache, const rowcache_call_t *call,
                       const rows_result_t *result)
{
  uint64_t now_ms = clock_boottime_ms (cache->clock);
  uint64_t era = rows_version_era (result->version);

  if (era < rows_version_era (cache->version)
      || (call->is_read && !call->is_first_page
          && era != rows_version_era (cache->read_version)))
    return;
  if (call->is_read && call->is_first_page)
    {
      free_rows (cache);
      confirmation_reset (&cache->confirmation);
      cache->rows = map_create ();
      cache->is_complete = false;
      cache->read_version = result->version;
      cache->history_floor = result->version;
    }
  else if (!call->is_read && result->version < cache->version)
    return;
  for (size_t i = 0; i < result->count; i++)
    store_row (cache, &result->rows[i]);
  if (call->is_read && !result->has_more)
    cache->is_complete = true;
  cache->version = call->is_read ? cache->read_version : result->version;
  confirmation_record (&cache->confirmation, result, call->sent_ms, now_ms);
  cache->store_now_ms = result->store_now_ms;
  cache->store_received_ms = now_ms;
  cache->store_confirmed_ms = result->store_confirmed_ms;
  cache->is_down = false;
  expire_tombstones (cache);
}

void
rowcache_set_down (rowcache_t *cache)
{
  cache->is_down = true;
}

void
rowcache_set_incomplete (rowcache_t *cache)
{
  cache->is_complete = false;
}

bool
rowcache_is_down (const rowcache_t *cache)
{
  return cache->is_down;
}

uint64_t
rowcache_age_ms (const rowcache_t *cache)
{
  return confirmation_age_ms (&cache->confirmation,
                              clock_boottime_ms (cache->clock));
}

bool
rowcache_knows_store_clock (const rowcache_t *cache)
{
  return cache->confirmation.store_clock.is_known;
}

uint64_t
rowcache_age_with_ms (const rowcache_t *cache, const rowcache_call_t *call,
                      const rows_result_t *result)
{
  uint64_t now_ms = clock_boottime_ms (cache->clock);
  uint64_t age_ms = rowcache_age_ms (cache);
  uint64_t result_age_ms
      = now_ms
        - confirmation_time_ms (&cache->confirmation, result, call->sent_ms,
                                now_ms);

  return result_age_ms < age_ms ? result_age_ms : age_ms;
}

bool
rowcache_is_complete (const rowcache_t *cache)
{
  return cache->is_complete;
}

bool
rowcache_is_before_era (const rowcache_t *cache, uint64_t after)
{
  return rows_version_era (cache->version) < rows_version_era (after);
}

bool
rowcache_has_history (const rowcache_t *cache, uint64_t after)
{
  return after >= cache->history_floor;
}

bool
rowcache_has_changes (const rowcache_t *cache, uint64_t after)
{
  size_t cursor = 0;
  str_t key;
  void *value;

  if (cache->version <= after)
    return false;
  while (map_next (cache->rows, &cursor, &key, &value))
    if (((cached_row_t *)value)->version > after)
      return true;
  return false;
}

/* Fill ROW with CACHED_ROW, whose value is deflated if that shortens it.  A
   long configuration that is sent in full to every caller keeps the reader's
   link busy for seconds, and delays the streams on the link.  */
static void
encode_row (cached_row_t *cached_row, wire_row_t *row)
{
  const buf_t *sent = &cached_row->value;

  if (!cached_row->is_incompressible && cached_row->deflated.len == 0)
    cached_row->is_incompressible
        = !deflate_text (buf_str (&cached_row->value), &cached_row->deflated);
  if (!cached_row->is_incompressible)
    sent = &cached_row->deflated;
  row->key = cached_row->key;
  row->value.value_val = sent->ptr;
  row->value.value_len = (u_int)sent->len;
  row->plain_len
      = cached_row->is_incompressible ? 0 : (u_int)cached_row->value.len;
  row->row_version = cached_row->version;
  row->deleted = cached_row->is_deleted;
}

/* Return the kept reply with the changes after version AFTER, or with the
   whole table if IS_WHOLE; NULL if no such reply is kept or still valid.  */
static const packed_reply_t *
find_packed_reply (const rowcache_t *cache, uint64_t after, bool is_whole)
{
  const packed_reply_t *packed
      = is_whole ? &cache->whole_table_reply : &cache->changes_reply;
  uint64_t age_ms = clock_boottime_ms (cache->clock) - packed->packed_ms;

  if (packed->version == 0)
    return NULL;
  if (is_whole)
    return age_ms < WHOLE_TABLE_REPLY_TTL_MS
                   && packed->version >= cache->history_floor
               ? packed
               : NULL;
  return packed->version == cache->version && packed->after == after ? packed
                                                                     : NULL;
}

/* Pack and keep ROWS, which are the changes after version AFTER, or the whole
   table if IS_WHOLE.  Deflating many rows together is effective for
   registrations, because they are similar.  Return NULL if the rows are to be
   sent unpacked: if they are few, do not get shorter, include a value that is
   already deflated, or have more bytes than a caller accepts.  */
static const packed_reply_t *
pack_rows (rowcache_t *cache, wire_row_list_t *rows, uint64_t after,
           bool is_whole)
{
  packed_reply_t *packed
      = is_whole ? &cache->whole_table_reply : &cache->changes_reply;
  size_t bytes = 0;

  for (u_int i = 0; i < rows->rows.rows_len; i++)
    {
      if (rows->rows.rows_val[i].plain_len > 0)
        return NULL;
      bytes += rows->rows.rows_val[i].value.value_len;
    }
  if (bytes < PACK_BYTES_MIN)
    return NULL;
  u_int plain_bytes = (u_int)xdr_sizeof ((xdrproc_t)xdr_wire_row_list_t, rows);
  if (plain_bytes > WIRE_BODY_MAX)
    return NULL;
  char *plain = mem_alloc (plain_bytes);
  XDR xdr;
  xdrmem_create (&xdr, plain, plain_bytes, XDR_ENCODE);
  packed->bytes.len = 0;
  packed->version = 0;
  if (xdr_wire_row_list_t (&xdr, rows)
      && deflate_text (str_make (plain, plain_bytes), &packed->bytes))
    {
      packed->after = after;
      packed->version = cache->version;
      packed->packed_ms = clock_boottime_ms (cache->clock);
      packed->confirmed_ms = cache->confirmation.confirmed_ms;
      packed->store_confirmed_ms = cache->store_confirmed_ms;
      packed->plain_len = plain_bytes;
    }
  xdr_destroy (&xdr);
  free (plain);
  return packed->version != 0 ? packed : NULL;
}

/* Return the rows that changed after version AFTER, or all live rows if
   IS_WHOLE.  The caller frees the array, whose strings are borrowed.  */
static wire_row_list_t
list_rows (rowcache_t *cache, uint64_t after, bool is_whole)
{
  wire_row_t *rows = mem_zalloc ((map_size (cache->rows) + 1) * sizeof *rows);
  size_t cursor = 0;
  u_int count = 0;
  str_t key;
  void *value;

  while (map_next (cache->rows, &cursor, &key, &value)
         && count < WIRE_ROWS_MAX)
    {
      cached_row_t *cached_row = value;
      if (is_whole ? cached_row->is_deleted : cached_row->version <= after)
        continue;
      encode_row (cached_row, &rows[count++]);
    }
  return (wire_row_list_t){ .rows = { count, rows } };
}

void
rowcache_fill_reply (rowcache_t *cache, uint64_t after, bool is_whole,
                     wire_rows_res_t *result)
{
  uint64_t boot_ms = clock_boottime_ms (cache->clock);
  const packed_reply_t *packed = find_packed_reply (cache, after, is_whole);
  wire_row_list_t list = { { 0, NULL } };

  if (packed == NULL)
    {
      list = list_rows (cache, after, is_whole);
      packed = pack_rows (cache, &list, after, is_whole);
    }
  *result = (wire_rows_res_t){ .code = VH_OK,
                               .newest = cache->version,
                               .now_ms = cache->store_now_ms + boot_ms
                                         - cache->store_received_ms,
                               .age_ms = (u_int)rowcache_age_ms (cache),
                               .said_ms = cache->store_confirmed_ms };
  if (packed == NULL)
    {
      result->rows.rows_val = list.rows.rows_val;
      result->rows.rows_len = list.rows.rows_len;
      return;
    }
  free (list.rows.rows_val);
  result->packed.packed_val = packed->bytes.ptr;
  result->packed.packed_len = (u_int)packed->bytes.len;
  result->plain_len = (u_int)packed->plain_len;
  if (!is_whole)
    return;
  result->newest = packed->version;
  result->age_ms = (u_int)(boot_ms - packed->confirmed_ms);
  result->said_ms = packed->store_confirmed_ms;
}

vh_code_t
rowcache_unpack (str_t packed, size_t plain_len, wire_row_list_t *list)
{
  buf_t plain = BUF_NULL;
  XDR xdr;

  *list = (wire_row_list_t){ { 0, NULL } };
  if (plain_len > WIRE_BODY_MAX)
    return VH_E_PROTOCOL;
  loop_work_t outer = loop_work_begin (LOOP_WORK_UNPACK);
  vh_code_t code = inflate_text (packed, plain_len, &plain);
  if (code == VH_OK)
    {
      xdrmem_create (&xdr, plain.ptr, (u_int)plain.len, XDR_DECODE);
      if (!xdr_wire_row_list_t (&xdr, list))
        {
          xdr_free ((xdrproc_t)xdr_wire_row_list_t, (char *)list);
          *list = (wire_row_list_t){ { 0, NULL } };
          code = VH_E_PROTOCOL;
        }
      xdr_destroy (&xdr);
    }
  buf_free (&plain);
  loop_work_end (outer);
  return code;
}
