#include "gateway/share.h"

#include "base/eventlog.h"
#include "base/map.h"
#include "base/mem.h"
#include "gateway/rowcache.h"
#include "policy/fanout.h"
#include "wire/deflate.h"
#include "wire/rpc.h"

#include <stdlib.h>

enum
{
  TABLES = ROWS_SHARED + 1,
  TICK_MS = 100,
  /* A reader waits so long for news for an asker: short against the age that
     a confirmation may have.  */
  ASK_WAIT_MS = 700,
  /* One that tells others in turn waits shorter, as the waits add up.  */
  TELLER_WAIT_MS = 350,
  /* More than that, and the store is asked as well: a turn of a slow machine
     and both ways.  */
  ASK_SLACK_MS = 350,
  /* A reader that takes in a large table is busy for some tenths of a second;
     whichever answers first is taken.  */
  BUSY_READER_MS = 1000,
  /* Entries asked for one answer, one after the other.  */
  ASKED_MAX = 3,
  /* Askers of a reader must not find its confirmation old.  */
  READER_WAIT_MS = 800
};

typedef struct
{
  char *name;
  char *address;
  rpc_peer_t *peer; /* Made when first asked.  */
} entry_t;

/* A call of this entry, to a reader or to the store.  */
typedef struct
{
  list_t link;
  peer_rows_t *share;
  rows_table_t table;
  bool is_read;
  bool first_page;
  uint64_t after;
  uint64_t wait_ms;
  uint64_t timeout_ms;
  uint64_t asked_ms;  /* By boot time.  */
  uint64_t stored_ms; /* The same, of the store.  */
  char *reader;       /* Name of the entry asked last.  */
  unsigned asked;     /* How many, one after the other.  */
  rpc_call_t *call;   /* To it; NULL: none is out.  */
  uint64_t hedge_ms;  /* When the store is asked as well.  */
  enum
  {
    STORE_UNASKED,
    STORE_ASKED,
    STORE_ANSWERED
  } store;
  rows_cb_t cb;
  void *arg;
} pending_t;

/* A call of another entry that waits for news.  */
typedef struct
{
  list_t link;
  rpc_request_t *request;
  rows_table_t table;
  uint64_t after;
  uint64_t due_ms;
} waiter_t;

struct share
{
  rows_t base;
  clock_iface_t *clock;
  rows_t *store;
  char *name;
  rpc_node_t *node;
  rpc_server_t *server;
  fanout_t *readers;
  map_t *entries;
  peer_rows_piggyback_t news;
  void *news_arg;
  rowcache_t *caches[TABLES];
  list_t pending;
  list_t waiters;
  uv_timer_t tick;
  bool leaving;
};

static uint64_t
boot_ms (const peer_rows_t *share)
{
  return clock_boot_ms (share->clock);
}

static void answer_waiters (peer_rows_t *share, rows_table_t table);

/* Take in an answer to PENDING, by the store or by a reader, which was asked
   at ASKED_MS.  */
static void
take_result (const pending_t *pending, uint64_t asked_ms,
             const rows_result_t *result)
{
  peer_rows_t *share = pending->share;
  rowcache_t *cache = share->caches[pending->table];
  const rowcache_call_t answer = { .is_read = pending->is_read,
                                   .is_first_page = pending->first_page,
                                   .asked_ms = asked_ms };

  rowcache_apply_answer (cache, &answer, result);
  if (rowcache_is_complete (cache))
    answer_waiters (share, pending->table);
}

bool
peer_rows_is_reader (peer_rows_t *share)
{
  void *owner;

  return !share->leaving
         && fanout_choose_source (share->readers, &owner)
                == FANOUT_READS_STORE;
}

/* Serving.  */

/* Answer REQUEST with the rows after AFTER, or with all live ones.  */
static void
reply_rows (peer_rows_t *share, rpc_request_t *request, rows_table_t table,
            uint64_t after, bool whole)
{
  wire_rows_res_t result;

  rowcache_fill_reply (share->caches[table], after, whole, &result);
  rpc_reply (request, &result);
  free (result.rows.rows_val);
}

static void
reply_code (rpc_request_t *request, vh_code_t code)
{
  wire_rows_res_t result = { .code = code };

  rpc_reply (request, &result);
}

static void
waiter_end (peer_rows_t *share, waiter_t *waiter)
{
  const rowcache_t *cache = share->caches[waiter->table];

  list_remove (&waiter->link);
  if (rowcache_is_down (cache) || share->leaving)
    reply_code (waiter->request, VH_E_STORE_DOWN);
  else if (!rowcache_has_history (cache, waiter->after))
    reply_code (waiter->request, VH_E_NOT_FOUND);
  else
    reply_rows (share, waiter->request, waiter->table, waiter->after, false);
  free (waiter);
}

static void
answer_waiters (peer_rows_t *share, rows_table_t table)
{
  LIST_EACH (at, &share->waiters)
    {
      waiter_t *waiter = CONTAINER_OF (at, waiter_t, link);
      if (waiter->table == table
          && rowcache_has_changes (share->caches[table], waiter->after))
        waiter_end (share, waiter);
    }
}

/* Tell whether this entry answers one that TELLS others in turn, or does not.
   What is told comes from the store by two hands at most: beliefs must not age
   on the way.  */
static bool
may_tell (peer_rows_t *share, bool tells)
{
  void *owner;

  if (share->leaving)
    return false;
  if (fanout_is_store_reachable (share->readers))
    return true;
  switch (fanout_choose_source (share->readers, &owner))
    {
    case FANOUT_READS_STORE:
      return true;
    case FANOUT_READS_ROOT:
      return !tells;
    case FANOUT_READS_HEAD:
      break;
    }
  return false;
}

/* Pass on what ASK brought besides.  */
static void
take_news (const peer_rows_t *share, const wire_rows_args_t *ask)
{
  for (u_int i = 0; i < ask->news.news_len && share->news.take != NULL; i++)
    {
      const wire_news_t *news = &ask->news.news_val[i];
      share->news.take (
          share->news_arg, str_from (news->key),
          str_make (news->value.value_val, news->value.value_len));
    }
}

static void
on_request (void *arg, rpc_request_t *request, uint32_t proc, void *args)
{
  peer_rows_t *share = arg;
  const wire_rows_args_t *ask = args;

  if (proc != WIRE_ROWS || ask->table >= TABLES)
    {
      rpc_drop (request);
      return;
    }
  const rowcache_t *cache = share->caches[ask->table];
  bool answers = may_tell (share, ask->tells);
  if (answers)
    take_news (share, ask);
  if (!rowcache_is_complete (cache) || rowcache_is_down (cache) || !answers)
    reply_code (request, VH_E_STORE_DOWN);
  else if (ask->whole)
    reply_rows (share, request, ask->table, 0, true);
  else if (!rowcache_has_history (cache, ask->after))
    reply_code (request, VH_E_NOT_FOUND);
  else if (ask->wait_ms == 0 || rowcache_has_changes (cache, ask->after))
    reply_rows (share, request, ask->table, ask->after, false);
  else
    {
      waiter_t *waiter = mem_zalloc (sizeof *waiter);
      waiter->request = request;
      waiter->table = (rows_table_t)ask->table;
      waiter->after = ask->after;
      waiter->due_ms = clock_ms (share->clock) + ask->wait_ms;
      list_append (&share->waiters, &waiter->link);
    }
}

static void ask_late_answers (peer_rows_t *share, uint64_t now_ms);

static void
on_tick (uv_timer_t *timer)
{
  peer_rows_t *share = timer->data;
  uint64_t now_ms = clock_ms (share->clock);

  ask_late_answers (share, now_ms);
  LIST_EACH (at, &share->waiters)
    {
      waiter_t *waiter = CONTAINER_OF (at, waiter_t, link);
      if (now_ms >= waiter->due_ms || share->leaving
          || rowcache_is_down (share->caches[waiter->table]))
        waiter_end (share, waiter);
    }
}

/* Asking.  */

/* Drop what PENDING still waits for.  */
static void
pending_free (pending_t *pending)
{
  rows_t *store = pending->share->store;

  rpc_cancel (pending->call);
  if (pending->store == STORE_ASKED)
    store->ops->forget (store, pending);
  list_remove (&pending->link);
  free (pending->reader);
  free (pending);
}

static void
pending_end (pending_t *pending, vh_code_t code, const rows_result_t *result)
{
  rows_cb_t cb = pending->cb;
  void *arg = pending->arg;

  pending_free (pending);
  cb (arg, code, result);
}

/* The reader that PENDING asked is not to be asked for a while.  */
static void
reader_failed (const pending_t *pending, vh_code_t code, bool silent)
{
  peer_rows_t *share = pending->share;

  log_event (
      EVENT_READER, field_text (FIELD_READER, str_from (pending->reader)),
      field_number (FIELD_CODE, code),
      field_number (FIELD_TOOK_MS, boot_ms (share) - pending->asked_ms));
  fanout_source_failed (share->readers, str_from (pending->reader), silent);
}

static void
on_stored (void *arg, vh_code_t code, const rows_result_t *result)
{
  pending_t *pending = arg;
  peer_rows_t *share = pending->share;
  rowcache_t *cache = share->caches[pending->table];

  pending->store = STORE_ANSWERED;
  if (code == VH_OK)
    take_result (pending, pending->stored_ms, result);
  else if (code == VH_E_NOT_FOUND)
    rowcache_set_incomplete (cache);
  else
    {
      rowcache_set_down (cache);
      fanout_store_call_ended (share->readers, false);
      if (pending->call != NULL)
        return;
    }
  if (code == VH_OK)
    fanout_store_call_ended (share->readers, true);
  if (pending->call != NULL)
    reader_failed (pending, VH_E_TIMEOUT, true);
  pending_end (pending, code, result);
}

/* Ask the store itself.  */
static void
ask_store (pending_t *pending, str_t from)
{
  peer_rows_t *share = pending->share;
  uint64_t wait_ms = pending->wait_ms;

  pending->store = STORE_ASKED;
  pending->stored_ms = boot_ms (share);
  /* One that asks in place of its reader goes back to it soon.  */
  if ((pending->table == ROWS_ORDERS || pending->reader != NULL)
      && map_size (share->entries) > 0 && wait_ms > READER_WAIT_MS)
    wait_ms = READER_WAIT_MS;
  if (pending->is_read)
    share->store->ops->read (share->store, pending->table, from,
                             pending->timeout_ms, on_stored, pending);
  else
    share->store->ops->watch (
        share->store, pending->table, pending->after, wait_ms,
        pending->timeout_ms - (pending->wait_ms - wait_ms), on_stored,
        pending);
}

/* Read ROW, whose value is inflated into *PLAIN where it was made smaller.  */
static vh_code_t
read_row (const wire_row_t *row, buf_t *plain, rows_row_t *out)
{
  vh_code_t code = VH_OK;
  str_t value = str_make (row->value.value_val, row->value.value_len);

  if (row->plain_len > WIRE_BODY_MAX)
    return VH_E_PROTOCOL;
  if (row->plain_len > 0)
    {
      code = inflate_text (value, row->plain_len, plain);
      value = buf_str (plain);
    }
  *out = (rows_row_t){ .key = str_from (row->key),
                       .value = value,
                       .version = row->row_version,
                       .deleted = row->deleted };
  return code;
}

/* Tell the caller of PENDING the ROWS that a reader answered.  Return
   VH_E_PROTOCOL with nothing told when they cannot be read.  */
static vh_code_t
take_rows (pending_t *pending, const wire_rows_res_t *answer,
           const wire_row_t *told, u_int count)
{
  vh_code_t code = VH_OK;
  rows_row_t *rows = mem_zalloc ((count + 1) * sizeof *rows);
  buf_t *plain = mem_zalloc ((count + 1) * sizeof *plain);
  rows_result_t result = { .rows = rows,
                           .count = count,
                           .version = answer->newest,
                           .now_ms = answer->now_ms,
                           .age_ms = answer->age_ms,
                           .said_ms = answer->said_ms };

  for (u_int i = 0; i < count && code == VH_OK; i++)
    code = read_row (&told[i], &plain[i], &rows[i]);
  if (code == VH_OK)
    {
      take_result (pending, pending->asked_ms, &result);
      pending_end (pending, VH_OK, &result);
    }
  for (u_int i = 0; i < count; i++)
    buf_free (&plain[i]);
  free (plain);
  free (rows);
  return code;
}

static vh_code_t
take_answer (pending_t *pending, const wire_rows_res_t *answer)
{
  wire_row_list_t list;

  if (answer->plain_len == 0)
    return take_rows (pending, answer, answer->rows.rows_val,
                      answer->rows.rows_len);
  vh_code_t code = rowcache_unpack (
      str_make (answer->packed.packed_val, answer->packed.packed_len),
      answer->plain_len, &list);
  if (code == VH_OK)
    code = take_rows (pending, answer, list.rows.rows_val, list.rows.rows_len);
  xdr_free ((xdrproc_t)xdr_wire_row_list_t, (char *)&list);
  return code;
}

static void ask_reader (pending_t *pending, entry_t *entry, bool tells);

/* The reader of PENDING answered that it cannot tell: ask another, then the
   store, and give up when none is to be asked now.  */
static void
ask_further (pending_t *pending)
{
  peer_rows_t *share = pending->share;
  entry_t *next = fanout_next_source (share->readers);

  if (next != NULL && pending->asked < ASKED_MAX
      && strcmp (next->name, pending->reader) != 0)
    {
      ask_reader (pending, next, true);
      return;
    }
  if (fanout_may_probe_store (share->readers))
    {
      ask_store (pending, STR (""));
      return;
    }
  rowcache_set_down (share->caches[pending->table]);
  pending_end (pending, VH_E_STORE_DOWN, NULL);
}

static void
on_answer (void *arg, vh_code_t code, void *result, unsigned sent)
{
  pending_t *pending = arg;
  const wire_rows_res_t *answer = result;

  (void)sent;
  pending->call = NULL;
  bool silent = code != VH_OK;
  if (code == VH_OK)
    code = (vh_code_t)answer->code;
  if (code == VH_OK)
    code = take_answer (pending, answer);
  if (code == VH_OK)
    return;
  if (code == VH_E_NOT_FOUND)
    {
      pending_end (pending, code, NULL);
      return;
    }
  reader_failed (pending, code, silent);
  if (pending->store == STORE_UNASKED && silent)
    ask_store (pending, STR (""));
  else if (pending->store == STORE_UNASKED)
    ask_further (pending);
  else if (pending->store == STORE_ANSWERED)
    pending_end (pending, VH_E_STORE_DOWN, NULL);
}

/* Ask the store too for what readers should have answered.  */
static void
ask_late_answers (peer_rows_t *share, uint64_t now_ms)
{
  LIST_EACH (at, &share->pending)
    {
      pending_t *pending = CONTAINER_OF (at, pending_t, link);
      if (pending->call != NULL && pending->store == STORE_UNASKED
          && now_ms >= pending->hedge_ms && !rpc_is_carried (pending->call))
        ask_store (pending, STR (""));
    }
}

/* Ask ENTRY, whose answer this entry TELLS others, or does not.  */
static void
ask_reader (pending_t *pending, entry_t *entry, bool tells)
{
  static const rpc_peer_events_t none = { NULL, NULL };
  peer_rows_t *share = pending->share;
  uint64_t most_ms = tells ? TELLER_WAIT_MS : ASK_WAIT_MS;
  uint64_t wait_ms = pending->wait_ms < most_ms ? pending->wait_ms : most_ms;
  peer_rows_item_t items[WIRE_NEWS_MAX] = { 0 };
  wire_news_t news[WIRE_NEWS_MAX];
  size_t count = 0;

  if (entry->peer == NULL)
    entry->peer = rpc_peer_create (share->node, str_from (entry->address),
                                   &none, entry);
  if (entry->peer == NULL)
    {
      ask_store (pending, STR (""));
      return;
    }
  if (pending->table == ROWS_SHARED && share->news.list != NULL)
    count = share->news.list (share->news_arg, tells, items, WIRE_NEWS_MAX);
  for (size_t i = 0; i < count; i++)
    {
      buf_append_char (&items[i].key, '\0');
      news[i] = (wire_news_t){ .key = items[i].key.ptr,
                               .value = { (u_int)items[i].value.len,
                                          items[i].value.ptr } };
    }
  wire_rows_args_t args = { .table = pending->table,
                            .after = pending->after,
                            .wait_ms = (u_int)wait_ms,
                            .whole = pending->is_read,
                            .tells = tells,
                            .news = { (u_int)count, news } };
  free (pending->reader);
  pending->reader = str_dup (str_from (entry->name));
  pending->asked++;
  pending->asked_ms = boot_ms (share);
  pending->hedge_ms = clock_ms (share->clock) + wait_ms + ASK_SLACK_MS;
  pending->call = rpc_peer_call (entry->peer, WIRE_ROWS, &args,
                                 wait_ms + ASK_SLACK_MS + BUSY_READER_MS,
                                 on_answer, pending);
  for (size_t i = 0; i < count; i++)
    {
      buf_free (&items[i].key);
      buf_free (&items[i].value);
    }
}

/* Ask whoever is to be asked for PENDING, from row FROM on.  */
static void
ask (pending_t *pending, str_t from)
{
  void *entry;
  fanout_role_t role = fanout_choose_source (pending->share->readers, &entry);

  /* A page of the store can only be followed by its next one.  */
  if (role == FANOUT_READS_STORE || (pending->is_read && !pending->first_page))
    ask_store (pending, from);
  else
    ask_reader (pending, entry, role == FANOUT_READS_ROOT);
}

static pending_t *
pending_create (peer_rows_t *share, rows_table_t table, uint64_t timeout_ms,
                rows_cb_t cb, void *arg)
{
  pending_t *pending = mem_zalloc (sizeof *pending);

  pending->share = share;
  pending->table = table;
  pending->timeout_ms = timeout_ms;
  pending->asked_ms = boot_ms (share);
  pending->cb = cb;
  pending->arg = arg;
  list_append (&share->pending, &pending->link);
  return pending;
}

static void
share_read (rows_t *rows, rows_table_t table, str_t from, uint64_t timeout_ms,
            rows_cb_t cb, void *arg)
{
  peer_rows_t *share = (peer_rows_t *)rows;
  pending_t *pending = pending_create (share, table, timeout_ms, cb, arg);

  pending->is_read = true;
  pending->first_page = from.len == 0;
  ask (pending, from);
}

static void
share_watch (rows_t *rows, rows_table_t table, uint64_t after,
             uint64_t wait_ms, uint64_t timeout_ms, rows_cb_t cb, void *arg)
{
  peer_rows_t *share = (peer_rows_t *)rows;
  pending_t *pending = pending_create (share, table, timeout_ms, cb, arg);

  pending->after = after;
  pending->wait_ms = wait_ms;
  ask (pending, STR (""));
}

static void
share_commit (rows_t *rows, const rows_write_t *writes, size_t count,
              uint64_t timeout_ms, rows_cb_t cb, void *arg)
{
  peer_rows_t *share = (peer_rows_t *)rows;

  share->store->ops->commit (share->store, writes, count, timeout_ms, cb, arg);
}

static void
share_forget (rows_t *rows, const void *arg)
{
  peer_rows_t *share = (peer_rows_t *)rows;

  LIST_EACH (at, &share->pending)
    {
      pending_t *pending = CONTAINER_OF (at, pending_t, link);
      if (pending->arg == arg)
        pending_free (pending);
    }
  share->store->ops->forget (share->store, arg);
}

/* Released with the share.  */
static void
share_release (rows_t *rows)
{
  (void)rows;
}

/* Entries.  */

static void
entry_free (entry_t *entry)
{
  rpc_peer_destroy (entry->peer);
  free (entry->name);
  free (entry->address);
  free (entry);
}

void
peer_rows_remove_gateway (peer_rows_t *share, str_t name)
{
  entry_t *entry = map_remove (share->entries, name);

  fanout_remove (share->readers, name);
  if (entry != NULL)
    entry_free (entry);
}

void
peer_rows_add_gateway (peer_rows_t *share, str_t name, str_t zone,
                       str_t address, uint32_t link_mbps)
{
  entry_t *entry = map_get (share->entries, name);

  if (str_eq (name, str_from (share->name)))
    return;
  if (entry != NULL && str_eq (str_from (entry->address), address))
    return;
  peer_rows_remove_gateway (share, name);
  entry = mem_zalloc (sizeof *entry);
  entry->name = str_dup (name);
  entry->address = str_dup (address);
  map_put (share->entries, name, entry);
  fanout_put (share->readers, name, zone, link_mbps, entry);
}

void
peer_rows_stop_serving (peer_rows_t *share)
{
  share->leaving = true;
  fanout_stop_serving (share->readers);
}

void
peer_rows_set_piggyback (peer_rows_t *share, const peer_rows_piggyback_t *news,
                         void *arg)
{
  share->news = *news;
  share->news_arg = arg;
}

rows_t *
peer_rows_iface (peer_rows_t *share)
{
  return &share->base;
}

uint16_t
peer_rows_port (const peer_rows_t *share)
{
  return rpc_server_port (share->server);
}

/* Nothing rides on these messages.  */
static void
on_outgoing (void *arg, wire_context_t *context)
{
  (void)arg;
  (void)context;
}

static void
on_incoming (void *arg, rpc_peer_t *peer, const wire_context_t *context)
{
  (void)arg;
  (void)peer;
  (void)context;
}

vh_code_t
peer_rows_create (uv_loop_t *loop, clock_iface_t *clock, uint64_t seed,
                  rows_t *store, const peer_rows_options_t *options,
                  peer_rows_t **out)
{
  static const rows_ops_t ops
      = { share_read, share_watch, share_commit, share_forget, share_release };
  static const rpc_hooks_t hooks = { on_outgoing, on_incoming };
  peer_rows_t *share = mem_zalloc (sizeof *share);

  share->base.ops = &ops;
  share->clock = clock;
  share->store = store;
  share->name = str_dup (options->name);
  share->readers = fanout_create (clock, seed, options->name, options->zone,
                                  options->link_mbps);
  share->entries = map_create ();
  list_init (&share->pending);
  list_init (&share->waiters);
  for (size_t i = 0; i < TABLES; i++)
    share->caches[i] = rowcache_create (clock);
  uv_timer_init (loop, &share->tick);
  share->tick.data = share;
  uv_timer_start (&share->tick, on_tick, TICK_MS, TICK_MS);
  share->node
      = rpc_node_create (loop, clock, rng_make (seed), options->name,
                         options->keys, options->key_count, &hooks, NULL);
  *out = share;
  return rpc_server_create (share->node, options->listen, on_request, share,
                            &share->server);
}

static void
on_tick_closed (uv_handle_t *handle)
{
  free (handle->data);
}

void
peer_rows_destroy (peer_rows_t *share)
{
  size_t cursor = 0;
  str_t key;
  void *value;

  if (share == NULL)
    return;
  LIST_EACH (at, &share->waiters)
    {
      waiter_t *waiter = CONTAINER_OF (at, waiter_t, link);
      rpc_drop (waiter->request);
      free (waiter);
    }
  LIST_EACH (at, &share->pending)
    pending_free (CONTAINER_OF (at, pending_t, link));
  while (map_next (share->entries, &cursor, &key, &value))
    entry_free (value);
  map_destroy (share->entries);
  if (share->server != NULL)
    rpc_server_destroy (share->server);
  rpc_node_destroy (share->node);
  for (size_t i = 0; i < TABLES; i++)
    rowcache_destroy (share->caches[i]);
  free (share->name);
  fanout_destroy (share->readers);
  uv_close ((uv_handle_t *)&share->tick, on_tick_closed);
}
