#include "gateway/rowcache.h"

#include "base/map.h"
#include "base/mem.h"
#include "wire/deflate.h"
#include "wire/proto/wire.h"

#include <stdlib.h>

enum
{
  /* Removed rows are remembered for askers that did not hear of them; who
     asks later reads the whole table.  */
  TOMBSTONE_MS = 30000,
  /* Rows of fewer bytes in all are told as they are.  */
  PACK_LEAST = 2048,
  /* The whole table is told as it was so long ago at most, and the changes
     since then to the asker's next call: entries that start together each ask
     for it, and packing all of it for each takes longer than they wait.  */
  WHOLE_KEEP_MS = 1000
};

typedef struct
{
  char *key;
  buf_t value;
  buf_t small;   /* VALUE deflated, made when it is first told.  */
  bool is_plain; /* VALUE does not get smaller.  */
  uint64_t version;
  bool deleted;
  uint64_t deleted_ms;
} cached_t;

/* An answer of many rows that was packed, for askers to come.  */
typedef struct
{
  uint64_t after;   /* Of changes.  */
  uint64_t version; /* 0: none.  */
  uint64_t made_ms; /* By boot time.  */
  uint64_t confirmed_ms;
  uint64_t said_ms;
  buf_t bytes;
  size_t plain_len;
} packed_t;

struct rowcache
{
  clock_iface_t *clock;
  map_t *rows; /* Key to cached_t.  */
  bool complete;
  bool down;
  uint64_t version;
  uint64_t read_version; /* Of the first page of a read.  */
  uint64_t floor;
  uint64_t confirmed_ms; /* By boot time.  */
  uint64_t now_ms;       /* The store's clock, at NOW_SEEN_MS.  */
  uint64_t now_seen_ms;
  uint64_t said_ms; /* The store's clock at its last answer.  */
  packed_t whole;
  packed_t changes;
};

static void
cached_free (cached_t *cached)
{
  free (cached->key);
  buf_free (&cached->value);
  buf_free (&cached->small);
  free (cached);
}

static void
free_rows (rowcache_t *cache)
{
  size_t cursor = 0;
  str_t key;
  void *value;

  while (map_next (cache->rows, &cursor, &key, &value))
    cached_free (value);
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
  buf_free (&cache->whole.bytes);
  buf_free (&cache->changes.bytes);
  free (cache);
}

static void
put (rowcache_t *cache, const rows_row_t *row)
{
  cached_t *cached = map_get (cache->rows, row->key);

  if (cached == NULL)
    {
      cached = mem_zalloc (sizeof *cached);
      cached->key = str_dup (row->key);
      map_put (cache->rows, row->key, cached);
    }
  cached->value.len = 0;
  cached->small.len = 0;
  cached->is_plain = row->value.len < DEFLATE_LEAST;
  buf_append_str (&cached->value, row->value);
  cached->version = row->version;
  cached->deleted = row->deleted;
  cached->deleted_ms = clock_boot_ms (cache->clock);
}

/* Forget removed rows whose time is over.  */
static void
prune (rowcache_t *cache)
{
  size_t cursor = 0;
  str_t key;
  void *value;

  while (map_next (cache->rows, &cursor, &key, &value))
    {
      cached_t *cached = value;
      if (!cached->deleted
          || clock_boot_ms (cache->clock) - cached->deleted_ms < TOMBSTONE_MS)
        continue;
      if (cached->version > cache->floor)
        cache->floor = cached->version;
      map_remove (cache->rows, key);
      cached_free (cached);
      cursor = 0;
    }
}

void
rowcache_apply_answer (rowcache_t *cache, const rowcache_call_t *answer,
                       const rows_result_t *result)
{
  if (answer->is_read && answer->is_first_page)
    {
      free_rows (cache);
      cache->rows = map_create ();
      cache->complete = false;
      cache->read_version = result->version;
      cache->floor = result->version;
    }
  else if (!answer->is_read && result->version < cache->version)
    return;
  for (size_t i = 0; i < result->count; i++)
    put (cache, &result->rows[i]);
  if (answer->is_read && !result->more)
    cache->complete = true;
  cache->version = answer->is_read ? cache->read_version : result->version;
  cache->confirmed_ms = answer->asked_ms > result->age_ms
                            ? answer->asked_ms - result->age_ms
                            : 0;
  cache->now_ms = result->now_ms;
  cache->now_seen_ms = clock_boot_ms (cache->clock);
  cache->said_ms = result->said_ms;
  cache->down = false;
  prune (cache);
}

void
rowcache_set_down (rowcache_t *cache)
{
  cache->down = true;
}

void
rowcache_set_incomplete (rowcache_t *cache)
{
  cache->complete = false;
}

bool
rowcache_is_down (const rowcache_t *cache)
{
  return cache->down;
}

bool
rowcache_is_complete (const rowcache_t *cache)
{
  return cache->complete;
}

bool
rowcache_has_history (const rowcache_t *cache, uint64_t after)
{
  return after >= cache->floor;
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
    if (((cached_t *)value)->version > after)
      return true;
  return false;
}

/* Fill ROW with what is told of CACHED.  A long configuration that is told in
   full to every asker keeps the reader's link busy for seconds, and its
   streams wait behind that.  */
static void
write_row (cached_t *cached, wire_row_t *row)
{
  const buf_t *told = &cached->value;

  if (!cached->is_plain && cached->small.len == 0)
    cached->is_plain
        = !deflate_text (buf_str (&cached->value), &cached->small);
  if (!cached->is_plain)
    told = &cached->small;
  row->key = cached->key;
  row->value.value_val = told->ptr;
  row->value.value_len = (u_int)told->len;
  row->plain_len = cached->is_plain ? 0 : (u_int)cached->value.len;
  row->row_version = cached->version;
  row->deleted = cached->deleted;
}

/* The packed answer for changes after AFTER, or of the WHOLE, that still
   serves; else NULL.  */
static const packed_t *
kept_answer (const rowcache_t *cache, uint64_t after, bool whole)
{
  const packed_t *packed = whole ? &cache->whole : &cache->changes;
  uint64_t age_ms = clock_boot_ms (cache->clock) - packed->made_ms;

  if (packed->version == 0)
    return NULL;
  if (whole)
    return age_ms < WHOLE_KEEP_MS && packed->version >= cache->floor ? packed
                                                                     : NULL;
  return packed->version == cache->version && packed->after == after ? packed
                                                                     : NULL;
}

/* Deflate the ROWS together, after AFTER or WHOLE, where that makes them
   smaller: registrations are much alike.  NULL: they are told as they are, as
   few rows are and those that an asker would not unpack.  */
static const packed_t *
pack (rowcache_t *cache, wire_row_list_t *rows, uint64_t after, bool whole)
{
  packed_t *packed = whole ? &cache->whole : &cache->changes;
  size_t bytes = 0;

  for (u_int i = 0; i < rows->rows.rows_len; i++)
    {
      if (rows->rows.rows_val[i].plain_len > 0)
        return NULL;
      bytes += rows->rows.rows_val[i].value.value_len;
    }
  if (bytes < PACK_LEAST)
    return NULL;
  u_int room = (u_int)xdr_sizeof ((xdrproc_t)xdr_wire_row_list_t, rows);
  if (room > WIRE_BODY_MAX)
    return NULL;
  char *plain = mem_alloc (room);
  XDR xdr;
  xdrmem_create (&xdr, plain, room, XDR_ENCODE);
  packed->bytes.len = 0;
  packed->version = 0;
  if (xdr_wire_row_list_t (&xdr, rows)
      && deflate_text (str_make (plain, room), &packed->bytes))
    {
      packed->after = after;
      packed->version = cache->version;
      packed->made_ms = clock_boot_ms (cache->clock);
      packed->confirmed_ms = cache->confirmed_ms;
      packed->said_ms = cache->said_ms;
      packed->plain_len = room;
    }
  xdr_destroy (&xdr);
  free (plain);
  return packed->version != 0 ? packed : NULL;
}

/* The rows after AFTER, or all live ones when WHOLE; the list is the caller's
   to free.  */
static wire_row_list_t
list_rows (rowcache_t *cache, uint64_t after, bool whole)
{
  wire_row_t *rows = mem_zalloc ((map_size (cache->rows) + 1) * sizeof *rows);
  size_t cursor = 0;
  u_int count = 0;
  str_t key;
  void *value;

  while (map_next (cache->rows, &cursor, &key, &value)
         && count < WIRE_ROWS_MAX)
    {
      cached_t *cached = value;
      if (whole ? cached->deleted : cached->version <= after)
        continue;
      write_row (cached, &rows[count++]);
    }
  return (wire_row_list_t){ .rows = { count, rows } };
}

void
rowcache_fill_reply (rowcache_t *cache, uint64_t after, bool whole,
                     wire_rows_res_t *result)
{
  uint64_t boot_ms = clock_boot_ms (cache->clock);
  const packed_t *packed = kept_answer (cache, after, whole);
  wire_row_list_t list = { { 0, NULL } };

  if (packed == NULL)
    {
      list = list_rows (cache, after, whole);
      packed = pack (cache, &list, after, whole);
    }
  *result
      = (wire_rows_res_t){ .code = VH_OK,
                           .newest = cache->version,
                           .now_ms
                           = cache->now_ms + boot_ms - cache->now_seen_ms,
                           .age_ms = (u_int)(boot_ms - cache->confirmed_ms),
                           .said_ms = cache->said_ms };
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
  if (!whole)
    return;
  result->newest = packed->version;
  result->age_ms = (u_int)(boot_ms - packed->confirmed_ms);
  result->said_ms = packed->said_ms;
}

vh_code_t
rowcache_unpack (str_t packed, size_t plain_len, wire_row_list_t *list)
{
  buf_t plain = BUF_NULL;
  XDR xdr;

  *list = (wire_row_list_t){ { 0, NULL } };
  if (plain_len > WIRE_BODY_MAX)
    return VH_E_PROTOCOL;
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
  return code;
}
