#include "gateway/peerrows.h"

#include "base/eventlog.h"
#include "base/loop_watch.h"
#include "base/map.h"
#include "base/mem.h"
#include "gateway/rowcache.h"
#include "policy/fanout.h"
#include "wire/deflate.h"
#include "wire/rpc.h"

#include <assert.h>
#include <stdlib.h>

enum
{
  TABLE_COUNT = ROWS_SHARED + 1,
  /* Longest time that a reader holds a watch call of a gateway that is not an
     intermediate reader.  Short compared with
     gateway_options_t.config_max_age_ms, up to which a confirmation is
     accepted.  */
  WATCH_WAIT_MS = 700,
  /* Longest time that a reader holds a watch call of an intermediate reader.
     Shorter than WATCH_WAIT_MS, because the callers of the intermediate reader
     wait for both.  */
  INTERMEDIATE_WATCH_WAIT_MS = 350,
  /* Time after the end of the watch time at which a call without a reply from
     the reader is sent to the store as well.  Covers the round trip and one
     iteration of the event loop on a slow machine.  */
  HEDGE_DELAY_MS = 350,
  /* Time after HEDGE_DELAY_MS in which a reader's reply is still accepted,
     unless the store replies first: a reader that applies a large table is
     busy for some tenths of a second.  */
  BUSY_READER_TIMEOUT_MS = 1000,
  /* Maximum number of readers that are tried, one after the other, for one
     call.  */
  READERS_TRIED_MAX = 3,
  /* Time before the highest age of the confirmation by which a reader's reply
     is due.  Covers a tick of the reader, the round trip and one iteration of
     the event loop.  */
  REPLY_MARGIN_MS = 200,
  WATCH_WAIT_MIN_MS = 100,
  /* Time for which a reader counts as one that may have lost the store.
     Longer than the pause between calls for any table.  */
  READER_DOUBTFUL_MS = 1000
};

typedef struct
{
  char *name;
  char *address;
  rpc_peer_t *peer; /* RPC connection to the gateway; NULL before the first
                       call.  */
} gateway_peer_t;

/* A read or watch by this gateway, sent to a reader, to the store, or to
   both.  */
typedef struct
{
  list_t link;
  peer_rows_t *peer_rows;
  rows_table_t table;
  bool is_read;
  bool is_first_page;
  uint64_t after;   /* Store version after which changes are awaited.  */
  uint64_t wait_ms; /* Longest wait for changes; 0 for a read.  */
  uint64_t timeout_ms;
  /* Time of the last call to a reader, in ms of the boot clock; if no reader
     was called, the time at which this struct was created.  */
  uint64_t sent_ms;
  /* Time at which call_store called the store, in ms of the boot clock; 0
     before.  */
  uint64_t store_sent_ms;
  char *reader_name; /* Name of the reader called last; NULL if none was
                        called.  */
  /* Number of readers called so far for this call.  */
  unsigned tried_reader_count;
  /* Call to reader READER_NAME that has no reply yet; NULL: none.  */
  rpc_call_t *rpc_call;
  /* Monotonic time from which the store is called as well, in ms.  */
  uint64_t hedge_at_ms;
  /* Whether this gateway made the last call to a reader as an intermediate
     reader.  */
  bool is_intermediate;
  /* Whether the store was called only to learn its clock.  */
  bool is_clock_sample;
  /* Age of the confirmation from which the store is called as well, in ms.  */
  uint64_t confirmation_max_age_ms;
  enum
  {
    STORE_NOT_CALLED,
    STORE_CALLED,
    STORE_REPLIED
  } store_state;
  rows_cb_t cb;
  void *arg;
} pending_call_t;

/* A watch call of another gateway that waits for changes.  */
typedef struct
{
  list_t link;
  rpc_request_t *request;
  rows_table_t table;
  uint64_t after;      /* Store version after which changes are awaited.  */
  uint64_t expires_ms; /* Monotonic time at which a reply is sent even without
                          changes, in ms.  */
} watch_request_t;

/* A user of the calls for ROWS_SHARED.  */
typedef struct
{
  str_t prefix;
  peer_rows_piggyback_t functions;
  void *arg;
} piggyback_user_t;

struct peer_rows
{
  rows_t base;
  clock_iface_t *clock;
  rows_t *store;
  char *name;
  rpc_node_t *node;
  rpc_server_t *server;
  fanout_t *readers;
  map_t *gateways; /* Map of name to gateway_peer_t, without this gateway.  */
  piggyback_user_t users[PEER_ROWS_PIGGYBACK_MAX];
  size_t user_count;
  rowcache_t *caches[TABLE_COUNT]; /* Cached copies of the tables, indexed by
                                      rows_table_t.  */
  list_t pending;                  /* Pending calls of this gateway; list of
                                      pending_call_t.  */
  list_t watches;                  /* Watch calls of other gateways; list of
                                      watch_request_t.  */
  /* Time at which a call of the store for ROWS_OPERATOR failed last, in ms of
     the boot clock; 0 if none did.  */
  uint64_t store_failed_ms;
  /* Time until which a reader may have lost the store, in ms of the boot
     clock; 0 if none was found to have lost it.  */
  uint64_t reader_doubtful_until_ms;
  uv_timer_t tick_timer;
  bool is_stopping;
};

static uint64_t
boot_ms (const peer_rows_t *peer_rows)
{
  return clock_boottime_ms (peer_rows->clock);
}

static void reply_to_watches (peer_rows_t *peer_rows, rows_table_t table);

/* Apply RESULT, the reply of the store or of a reader to PENDING, to the cache
   of the table.  SENT_MS is the time of the call, in ms of the boot clock.  */
static void
apply_to_cache (const pending_call_t *pending, uint64_t sent_ms,
                const rows_result_t *result)
{
  peer_rows_t *peer_rows = pending->peer_rows;
  rowcache_t *cache = peer_rows->caches[pending->table];
  const rowcache_call_t call = { .is_read = pending->is_read,
                                 .is_first_page = pending->is_first_page,
                                 .sent_ms = sent_ms };

  rowcache_apply_result (cache, &call, result);
  if (rowcache_is_complete (cache))
    reply_to_watches (peer_rows, pending->table);
}

bool
peer_rows_is_reader (peer_rows_t *peer_rows)
{
  void *owner;

  return !peer_rows->is_stopping
         && fanout_choose_source (peer_rows->readers, &owner)
                == FANOUT_READS_STORE;
}

/* Replies to other gateways.  */

/* Reply to REQUEST with the rows of TABLE that changed after version AFTER, or
   with all live rows if IS_WHOLE.  */
static void
reply_rows (peer_rows_t *peer_rows, rpc_request_t *request, rows_table_t table,
            uint64_t after, bool is_whole)
{
  wire_rows_res_t result;

  loop_work_t outer = loop_work_begin (LOOP_WORK_PACK);
  rowcache_fill_reply (peer_rows->caches[table], after, is_whole, &result);
  rpc_reply (request, &result);
  loop_work_end (outer);
  free (result.rows.rows_val);
}

static void
reply_code (rpc_request_t *request, vh_code_t code)
{
  wire_rows_res_t result = { .code = code };

  rpc_reply (request, &result);
}

static void
finish_watch (peer_rows_t *peer_rows, watch_request_t *watch)
{
  const rowcache_t *cache = peer_rows->caches[watch->table];

  list_remove (&watch->link);
  if (rowcache_is_down (cache) || peer_rows->is_stopping)
    reply_code (watch->request, VH_E_STORE_DOWN);
  else if (!rowcache_has_history (cache, watch->after))
    reply_code (watch->request, VH_E_NOT_FOUND);
  else
    reply_rows (peer_rows, watch->request, watch->table, watch->after, false);
  free (watch);
}

static void
reply_to_watches (peer_rows_t *peer_rows, rows_table_t table)
{
  LIST_EACH (at, &peer_rows->watches)
    {
      watch_request_t *watch = CONTAINER_OF (at, watch_request_t, link);
      if (watch->table == table
          && rowcache_has_changes (peer_rows->caches[table], watch->after))
        finish_watch (peer_rows, watch);
    }
}

/* Return whether this gateway serves a call.  IS_INTERMEDIATE: the caller is
   itself a reader for other gateways.

   A gateway that is stopping serves no calls.  A gateway that reads from
   another gateway serves no intermediate readers, so rows of the store pass
   through at most two gateways on the way to a third; each adds to the age of
   the rows.  */
static bool
may_serve (peer_rows_t *peer_rows, bool is_intermediate)
{
  void *owner;

  if (peer_rows->is_stopping)
    return false;
  if (fanout_is_store_reachable (peer_rows->readers))
    return true;
  switch (fanout_choose_source (peer_rows->readers, &owner))
    {
    case FANOUT_READS_STORE:
      return true;
    case FANOUT_READS_ROOT:
      return !is_intermediate;
    case FANOUT_READS_HEAD:
      break;
    }
  return false;
}

/* Pass the items piggybacked on CALL to the users by the prefixes of their
   keys.  Items of a prefix without a user, as those of a later version of this
   program, are ignored.  */
static void
receive_piggyback (const peer_rows_t *peer_rows, const wire_rows_args_t *call)
{
  for (u_int i = 0; i < call->news.news_len; i++)
    {
      const wire_news_t *item = &call->news.news_val[i];
      str_t key = str_from (item->key);
      for (size_t j = 0; j < peer_rows->user_count; j++)
        {
          const piggyback_user_t *user = &peer_rows->users[j];
          if (str_starts_with (key, user->prefix))
            user->functions.receive (
                user->arg, key,
                str_make (item->value.value_val, item->value.value_len));
        }
    }
}

/* Let the users list at most ITEMS_MAX ITEMS, with room for one item of each.
   Return their number.  */
static size_t
list_piggyback (const peer_rows_t *peer_rows, bool is_intermediate,
                peer_rows_item_t *items, size_t items_max)
{
  size_t count = 0;

  for (size_t i = 0; i < peer_rows->user_count; i++)
    {
      const piggyback_user_t *user = &peer_rows->users[i];
      size_t later_users = peer_rows->user_count - i - 1;
      count += user->functions.list (user->arg, is_intermediate, items + count,
                                     items_max - count - later_users);
    }
  return count;
}

static void
on_request (void *arg, rpc_request_t *request, uint32_t proc, void *args)
{
  peer_rows_t *peer_rows = arg;
  const wire_rows_args_t *call = args;

  if (proc != WIRE_ROWS || call->table >= TABLE_COUNT)
    {
      rpc_drop (request);
      return;
    }
  const rowcache_t *cache = peer_rows->caches[call->table];
  bool is_serving = may_serve (peer_rows, call->tells);
  if (is_serving)
    receive_piggyback (peer_rows, call);
  if (!rowcache_is_complete (cache) || rowcache_is_down (cache) || !is_serving
      || rowcache_is_before_era (cache, call->after))
    reply_code (request, VH_E_STORE_DOWN);
  else if (call->whole)
    reply_rows (peer_rows, request, call->table, 0, true);
  else if (!rowcache_has_history (cache, call->after))
    reply_code (request, VH_E_NOT_FOUND);
  else if (call->wait_ms == 0 || rowcache_has_changes (cache, call->after))
    reply_rows (peer_rows, request, call->table, call->after, false);
  else
    {
      watch_request_t *watch = mem_zalloc (sizeof *watch);
      watch->request = request;
      watch->table = (rows_table_t)call->table;
      watch->after = call->after;
      watch->expires_ms = clock_ms (peer_rows->clock) + call->wait_ms;
      list_append (&peer_rows->watches, &watch->link);
    }
}

static void hedge_late_calls (peer_rows_t *peer_rows, uint64_t now_ms);

static void
on_tick (uv_timer_t *timer)
{
  peer_rows_t *peer_rows = timer->data;
  uint64_t now_ms = clock_ms (peer_rows->clock);

  hedge_late_calls (peer_rows, now_ms);
  LIST_EACH (at, &peer_rows->watches)
    {
      watch_request_t *watch = CONTAINER_OF (at, watch_request_t, link);
      if (now_ms >= watch->expires_ms || peer_rows->is_stopping
          || rowcache_is_down (peer_rows->caches[watch->table]))
        finish_watch (peer_rows, watch);
    }
}

/* Calls to readers and to the store.  */

/* Release PENDING and cancel its calls without calling its callback.  */
static void
pending_call_free (pending_call_t *pending)
{
  rows_t *store = pending->peer_rows->store;

  rpc_cancel (pending->rpc_call);
  if (pending->store_state == STORE_CALLED)
    store->ops->cancel (store, pending);
  list_remove (&pending->link);
  free (pending->reader_name);
  free (pending);
}

static void
finish_call (pending_call_t *pending, vh_code_t code,
             const rows_result_t *result)
{
  rows_cb_t cb = pending->cb;
  void *arg = pending->arg;

  pending_call_free (pending);
  cb (arg, code, result);
}

/* Record that the reader called for PENDING failed, so that this reader is not
   called for a while.  IS_SILENT: the reader did not reply.  */
static void
record_reader_failure (const pending_call_t *pending, vh_code_t code,
                       bool is_silent)
{
  peer_rows_t *peer_rows = pending->peer_rows;

  log_event (EVENT_READER,
             log_field_text (FIELD_READER, str_from (pending->reader_name)),
             log_field_number (FIELD_CODE, code),
             log_field_number (FIELD_TOOK_MS,
                               boot_ms (peer_rows) - pending->sent_ms));
  fanout_source_failed (peer_rows->readers, str_from (pending->reader_name),
                        is_silent);
}

static void
on_store_reply (void *arg, vh_code_t code, const rows_result_t *result)
{
  pending_call_t *pending = arg;
  peer_rows_t *peer_rows = pending->peer_rows;
  rowcache_t *cache = peer_rows->caches[pending->table];

  pending->store_state = STORE_REPLIED;
  if (code == VH_OK)
    apply_to_cache (pending, pending->store_sent_ms, result);
  else if (code == VH_E_NOT_FOUND)
    rowcache_set_incomplete (cache);
  else
    {
      rowcache_set_down (cache);
      fanout_store_call_ended (peer_rows->readers, false);
      if (pending->table == ROWS_OPERATOR)
        peer_rows->store_failed_ms = boot_ms (peer_rows);
      if (pending->rpc_call != NULL)
        return;
    }
  /* All gateways of a fleet learn the clock when they start; that does not
     make each of them a gateway that calls the store.  */
  if (code == VH_OK && !pending->is_clock_sample)
    fanout_store_call_ended (peer_rows->readers, true);
  if (pending->rpc_call != NULL
      && clock_ms (peer_rows->clock) >= pending->hedge_at_ms)
    record_reader_failure (pending, VH_E_TIMEOUT, true);
  finish_call (pending, code, result);
}

/* Call the store.  If PENDING is a read, rows from key FROM on are read.  The
   store may hold a watch for WAIT_MS, at most pending->wait_ms.  */
static void
call_store_waiting (pending_call_t *pending, str_t from, uint64_t wait_ms)
{
  peer_rows_t *peer_rows = pending->peer_rows;

  pending->store_state = STORE_CALLED;
  pending->store_sent_ms = boot_ms (peer_rows);
  if (pending->is_read)
    peer_rows->store->ops->read (peer_rows->store, pending->table, from,
                                 pending->timeout_ms, on_store_reply, pending);
  else
    peer_rows->store->ops->watch (
        peer_rows->store, pending->table, pending->after, wait_ms,
        pending->timeout_ms - (pending->wait_ms - wait_ms), on_store_reply,
        pending);
}

/* Call the store, and let it hold a watch for the usual time.  */
static void
call_store (pending_call_t *pending, str_t from)
{
  uint64_t wait_ms = pending->wait_ms;

  /* Use a shorter wait, so that ROWS_OPERATOR is confirmed often at a reader,
     and a gateway whose reader failed soon calls a reader again.  */
  if ((pending->table == ROWS_OPERATOR || pending->reader_name != NULL)
      && map_size (pending->peer_rows->gateways) > 0
      && wait_ms > PEER_ROWS_STORE_WAIT_MS)
    wait_ms = PEER_ROWS_STORE_WAIT_MS;
  call_store_waiting (pending, from, wait_ms);
}

/* Return whether a call of the store for ROWS_OPERATOR failed since the copy
   was confirmed.  */
static bool
has_store_failed (const peer_rows_t *peer_rows)
{
  uint64_t age_ms = rowcache_age_ms (peer_rows->caches[ROWS_OPERATOR]);

  return peer_rows->store_failed_ms != 0
         && (age_ms == UINT64_MAX
             || peer_rows->store_failed_ms + age_ms > boot_ms (peer_rows));
}

/* Return whether the store is called for the instances beside a reader that
   may have lost the store.  */
static bool
may_hedge_instances (const peer_rows_t *peer_rows)
{
  return boot_ms (peer_rows) < peer_rows->reader_doubtful_until_ms
         && !has_store_failed (peer_rows);
}

/* Call the store as well for the instances that are awaited from a reader that
   may have lost the store.  The reader notices that later for this table,
   whose calls are held for longer.  */
static void
hedge_instances (peer_rows_t *peer_rows)
{
  if (!may_hedge_instances (peer_rows))
    return;
  LIST_EACH (at, &peer_rows->pending)
    {
      pending_call_t *pending = CONTAINER_OF (at, pending_call_t, link);
      if (pending->table == ROWS_INSTANCES && pending->rpc_call != NULL
          && pending->store_state == STORE_NOT_CALLED
          && !rpc_call_is_transferring (pending->rpc_call))
        call_store (pending, STR (""));
    }
}

/* Record that a reader may have lost the store.  */
static void
doubt_reader (peer_rows_t *peer_rows)
{
  peer_rows->reader_doubtful_until_ms
      = boot_ms (peer_rows) + READER_DOUBTFUL_MS;
  hedge_instances (peer_rows);
}

/* Return whether the copy of ROWS_OPERATOR was not confirmed for too long.  */
static bool
is_confirmation_old (const pending_call_t *pending)
{
  uint64_t age_ms
      = rowcache_age_ms (pending->peer_rows->caches[ROWS_OPERATOR]);

  return age_ms != UINT64_MAX && age_ms >= pending->confirmation_max_age_ms;
}

/* Return whether the age of what readers confirm is not known closely, because
   the store was never called for ROWS_OPERATOR.  */
static bool
is_store_clock_unknown (const peer_rows_t *peer_rows)
{
  const rowcache_t *cache = peer_rows->caches[ROWS_OPERATOR];

  return rowcache_age_ms (cache) != UINT64_MAX
         && !rowcache_knows_store_clock (cache)
         && peer_rows->store_failed_ms == 0;
}

/* Call the store beside the reader if the store is to confirm the copy of
   ROWS_OPERATOR.  It replies at once, also without changes.  After it failed
   to reply, it is called as rarely as other probes allow.  Return whether it
   was called.  */
static bool
confirm_with_store (pending_call_t *pending)
{
  peer_rows_t *peer_rows = pending->peer_rows;
  bool is_old = is_confirmation_old (pending);

  if (pending->table != ROWS_OPERATOR
      || pending->store_state != STORE_NOT_CALLED
      || (!is_old && !is_store_clock_unknown (peer_rows)))
    return false;
  if (has_store_failed (peer_rows)
      && !fanout_may_probe_store (peer_rows->readers))
    return false;
  if (is_old)
    doubt_reader (peer_rows);
  pending->is_clock_sample = !is_old;
  call_store_waiting (pending, STR (""), 0);
  return true;
}

/* Decode ROW into OUT, which borrows from ROW and PLAIN.  A deflated value is
   inflated into PLAIN.  */
static vh_code_t
decode_row (const wire_row_t *row, buf_t *plain, rows_row_t *out)
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

static void call_reader (pending_call_t *pending, gateway_peer_t *gateway,
                         bool is_intermediate);

/* Call the last reader of PENDING once more, beside the store.  The reader
   holds the call: else it would reply without changes at once, and would be
   called again and again until the store replies.  */
static void
call_same_reader (pending_call_t *pending)
{
  gateway_peer_t *gateway = map_get (pending->peer_rows->gateways,
                                     str_from (pending->reader_name));

  if (pending->wait_ms < WATCH_WAIT_MIN_MS)
    pending->wait_ms = WATCH_WAIT_MIN_MS;
  if (gateway != NULL && gateway->peer != NULL)
    call_reader (pending, gateway, pending->is_intermediate);
}

/* Return whether RESULT, a reader's reply to PENDING, has no changes and
   leaves the copy unconfirmed for too long, so that the store's reply is
   awaited.  */
static bool
is_outdated_reply (pending_call_t *pending, const rows_result_t *result)
{
  const rowcache_call_t call = { .is_read = pending->is_read,
                                 .is_first_page = pending->is_first_page,
                                 .sent_ms = pending->sent_ms };

  if (pending->table != ROWS_OPERATOR || pending->is_read || result->count > 0
      || rowcache_age_with_ms (pending->peer_rows->caches[pending->table],
                               &call, result)
             < pending->confirmation_max_age_ms)
    return false;
  return pending->store_state == STORE_CALLED || confirm_with_store (pending);
}

/* Finish PENDING with the COUNT rows WIRE_ROWS of a reader's REPLY, or go on
   waiting if the reply is outdated.  Return an error and leave PENDING
   unchanged if a row is invalid.  */
static vh_code_t
deliver_rows (pending_call_t *pending, const wire_rows_res_t *reply,
              const wire_row_t *wire_rows, u_int count)
{
  vh_code_t code = VH_OK;
  rows_row_t *rows = mem_zalloc ((count + 1) * sizeof *rows);
  buf_t *plain = mem_zalloc ((count + 1) * sizeof *plain);
  rows_result_t result = { .rows = rows,
                           .count = count,
                           .version = reply->newest,
                           .store_now_ms = reply->now_ms,
                           .age_ms = reply->age_ms,
                           .store_confirmed_ms = reply->said_ms };

  loop_work_t outer = loop_work_begin (LOOP_WORK_UNPACK);
  for (u_int i = 0; i < count && code == VH_OK; i++)
    code = decode_row (&wire_rows[i], &plain[i], &rows[i]);
  loop_work_end (outer);
  if (code == VH_OK && is_outdated_reply (pending, &result))
    call_same_reader (pending);
  else if (code == VH_OK)
    {
      apply_to_cache (pending, pending->sent_ms, &result);
      finish_call (pending, VH_OK, &result);
    }
  for (u_int i = 0; i < count; i++)
    buf_free (&plain[i]);
  free (plain);
  free (rows);
  return code;
}

/* Finish PENDING with a reader's REPLY, whose rows may be packed.  Return an
   error and leave PENDING unchanged if the rows are invalid.  */
static vh_code_t
deliver_reply (pending_call_t *pending, const wire_rows_res_t *reply)
{
  wire_row_list_t list;

  if (reply->plain_len == 0)
    return deliver_rows (pending, reply, reply->rows.rows_val,
                         reply->rows.rows_len);
  vh_code_t code = rowcache_unpack (
      str_make (reply->packed.packed_val, reply->packed.packed_len),
      reply->plain_len, &list);
  if (code == VH_OK)
    code = deliver_rows (pending, reply, list.rows.rows_val,
                         list.rows.rows_len);
  xdr_free ((xdrproc_t)xdr_wire_row_list_t, (char *)&list);
  return code;
}

/* Call another reader for PENDING after a reader replied that it cannot serve
   the call.  If there is no other reader, wait for the store if it was called,
   call it, or fail if the store is not to be probed now.  */
static void
call_next_reader (pending_call_t *pending)
{
  peer_rows_t *peer_rows = pending->peer_rows;
  gateway_peer_t *next = fanout_next_source (peer_rows->readers);

  if (next != NULL && pending->tried_reader_count < READERS_TRIED_MAX
      && strcmp (next->name, pending->reader_name) != 0)
    {
      call_reader (pending, next, true);
      return;
    }
  if (pending->store_state == STORE_CALLED)
    return;
  if ((pending->table == ROWS_INSTANCES && may_hedge_instances (peer_rows))
      || fanout_may_probe_store (peer_rows->readers))
    {
      call_store (pending, STR (""));
      return;
    }
  rowcache_set_down (peer_rows->caches[pending->table]);
  finish_call (pending, VH_E_STORE_DOWN, NULL);
}

static void
on_reader_reply (void *arg, vh_code_t code, void *result, unsigned sent)
{
  pending_call_t *pending = arg;
  const wire_rows_res_t *reply = result;

  (void)sent;
  pending->rpc_call = NULL;
  bool is_silent = code != VH_OK;
  if (code == VH_OK)
    code = (vh_code_t)reply->code;
  if (code == VH_OK)
    code = deliver_reply (pending, reply);
  if (code == VH_OK)
    return;
  if (code == VH_E_NOT_FOUND)
    {
      finish_call (pending, code, NULL);
      return;
    }
  record_reader_failure (pending, code, is_silent);
  if (pending->table == ROWS_OPERATOR)
    doubt_reader (pending->peer_rows);
  if (pending->store_state == STORE_NOT_CALLED && is_silent)
    call_store (pending, STR (""));
  else if (pending->store_state == STORE_REPLIED)
    finish_call (pending, VH_E_STORE_DOWN, NULL);
  else if (!is_silent)
    {
      confirm_with_store (pending);
      call_next_reader (pending);
    }
}

/* Call the store as well for each pending call whose reader is late, does not
   confirm the rows, or may have lost the store.  */
static void
hedge_late_calls (peer_rows_t *peer_rows, uint64_t now_ms)
{
  LIST_EACH (at, &peer_rows->pending)
    {
      pending_call_t *pending = CONTAINER_OF (at, pending_call_t, link);
      if (pending->rpc_call == NULL || pending->store_state != STORE_NOT_CALLED
          || rpc_call_is_transferring (pending->rpc_call))
        continue;
      if (now_ms >= pending->hedge_at_ms)
        call_store (pending, STR (""));
      else
        confirm_with_store (pending);
    }
  hedge_instances (peer_rows);
}

/* Return how long a reader may hold PENDING, at most WAIT_MAX_MS.  Its reply
   must come before the confirmation of ROWS_OPERATOR gets too old.  */
static uint64_t
reader_wait_ms (const pending_call_t *pending, uint64_t wait_max_ms)
{
  uint64_t age_ms
      = rowcache_age_ms (pending->peer_rows->caches[pending->table]);
  uint64_t max_age_ms = pending->confirmation_max_age_ms;

  if (pending->table != ROWS_OPERATOR || age_ms >= max_age_ms
      || age_ms + wait_max_ms + REPLY_MARGIN_MS <= max_age_ms)
    return wait_max_ms;
  uint64_t left_ms = max_age_ms - age_ms;
  return left_ms > REPLY_MARGIN_MS + WATCH_WAIT_MIN_MS
             ? left_ms - REPLY_MARGIN_MS
             : WATCH_WAIT_MIN_MS;
}

/* Call the reader GATEWAY for PENDING.  IS_INTERMEDIATE: this gateway is
   itself a reader for other gateways.  */
static void
call_reader (pending_call_t *pending, gateway_peer_t *gateway,
             bool is_intermediate)
{
  static const rpc_peer_events_t no_events = { NULL, NULL };
  peer_rows_t *peer_rows = pending->peer_rows;
  peer_rows_item_t items[WIRE_NEWS_MAX] = { 0 };
  wire_news_t wire_items[WIRE_NEWS_MAX];
  size_t count = 0;

  if (gateway->peer == NULL)
    gateway->peer = rpc_peer_create (
        peer_rows->node, str_from (gateway->address), &no_events, gateway);
  if (gateway->peer == NULL)
    {
      if (pending->store_state == STORE_NOT_CALLED)
        call_store (pending, STR (""));
      return;
    }
  if (pending->table == ROWS_SHARED)
    count = list_piggyback (peer_rows, is_intermediate, items, WIRE_NEWS_MAX);
  for (size_t i = 0; i < count; i++)
    {
      buf_append_char (&items[i].key, '\0');
      wire_items[i] = (wire_news_t){ .key = items[i].key.ptr,
                                     .value = { (u_int)items[i].value.len,
                                                items[i].value.ptr } };
    }
  pending->is_intermediate = is_intermediate;
  pending->confirmation_max_age_ms = is_intermediate
                                         ? PEER_ROWS_INTERMEDIATE_MAX_AGE_MS
                                         : PEER_ROWS_CONFIRMATION_MAX_AGE_MS;
  uint64_t wait_max_ms
      = is_intermediate ? INTERMEDIATE_WATCH_WAIT_MS : WATCH_WAIT_MS;
  if (pending->wait_ms < wait_max_ms)
    wait_max_ms = pending->wait_ms;
  uint64_t wait_ms = reader_wait_ms (pending, wait_max_ms);
  wire_rows_args_t args = { .table = pending->table,
                            .after = pending->after,
                            .wait_ms = (u_int)wait_ms,
                            .whole = pending->is_read,
                            .tells = is_intermediate,
                            .news = { (u_int)count, wire_items } };
  free (pending->reader_name);
  pending->reader_name = str_dup (str_from (gateway->name));
  pending->tried_reader_count++;
  pending->sent_ms = boot_ms (peer_rows);
  pending->hedge_at_ms
      = clock_ms (peer_rows->clock) + wait_ms + HEDGE_DELAY_MS;
  pending->rpc_call
      = rpc_peer_call (gateway->peer, WIRE_ROWS, &args,
                       wait_max_ms + HEDGE_DELAY_MS + BUSY_READER_TIMEOUT_MS,
                       on_reader_reply, pending);
  for (size_t i = 0; i < count; i++)
    {
      buf_free (&items[i].key);
      buf_free (&items[i].value);
    }
}

/* Call the reader or the store for PENDING.  If PENDING is a read, rows from
   key FROM on are read.  */
static void
start_call (pending_call_t *pending, str_t from)
{
  void *gateway;
  fanout_role_t role
      = fanout_choose_source (pending->peer_rows->readers, &gateway);

  /* Only the store replies in pages, so the next page must come from the
     store.  */
  if (role == FANOUT_READS_STORE
      || (pending->is_read && !pending->is_first_page))
    call_store (pending, from);
  else
    {
      call_reader (pending, gateway, role == FANOUT_READS_ROOT);
      confirm_with_store (pending);
    }
}

static pending_call_t *
pending_call_create (peer_rows_t *peer_rows, rows_table_t table,
                     uint64_t timeout_ms, rows_cb_t cb, void *arg)
{
  pending_call_t *pending = mem_zalloc (sizeof *pending);

  pending->peer_rows = peer_rows;
  pending->table = table;
  pending->timeout_ms = timeout_ms;
  pending->sent_ms = boot_ms (peer_rows);
  pending->cb = cb;
  pending->arg = arg;
  list_append (&peer_rows->pending, &pending->link);
  return pending;
}

static void
peer_rows_read (rows_t *rows, rows_table_t table, str_t from,
                uint64_t timeout_ms, rows_cb_t cb, void *arg)
{
  peer_rows_t *peer_rows = (peer_rows_t *)rows;
  pending_call_t *pending
      = pending_call_create (peer_rows, table, timeout_ms, cb, arg);

  pending->is_read = true;
  pending->is_first_page = from.len == 0;
  start_call (pending, from);
}

static void
peer_rows_watch (rows_t *rows, rows_table_t table, uint64_t after,
                 uint64_t wait_ms, uint64_t timeout_ms, rows_cb_t cb,
                 void *arg)
{
  peer_rows_t *peer_rows = (peer_rows_t *)rows;
  pending_call_t *pending
      = pending_call_create (peer_rows, table, timeout_ms, cb, arg);

  pending->after = after;
  pending->wait_ms = wait_ms;
  start_call (pending, STR (""));
}

static void
peer_rows_commit (rows_t *rows, const rows_write_t *writes, size_t count,
                  uint64_t timeout_ms, rows_cb_t cb, void *arg)
{
  peer_rows_t *peer_rows = (peer_rows_t *)rows;

  peer_rows->store->ops->commit (peer_rows->store, writes, count, timeout_ms,
                                 cb, arg);
}

static void
peer_rows_cancel (rows_t *rows, const void *arg)
{
  peer_rows_t *peer_rows = (peer_rows_t *)rows;

  LIST_EACH (at, &peer_rows->pending)
    {
      pending_call_t *pending = CONTAINER_OF (at, pending_call_t, link);
      if (pending->arg == arg)
        pending_call_free (pending);
    }
  peer_rows->store->ops->cancel (peer_rows->store, arg);
}

/* Do nothing: the interface is part of peer_rows_t and is freed by
   peer_rows_destroy.  */
static void
peer_rows_release (rows_t *rows)
{
  (void)rows;
}

/* The other gateways.  */

static void
gateway_peer_free (gateway_peer_t *gateway)
{
  rpc_peer_destroy (gateway->peer);
  free (gateway->name);
  free (gateway->address);
  free (gateway);
}

void
peer_rows_remove_gateway (peer_rows_t *peer_rows, str_t name)
{
  gateway_peer_t *gateway = map_remove (peer_rows->gateways, name);

  fanout_remove (peer_rows->readers, name);
  if (gateway != NULL)
    gateway_peer_free (gateway);
}

void
peer_rows_add_gateway (peer_rows_t *peer_rows, str_t name, str_t zone,
                       str_t address, uint32_t link_mbps)
{
  gateway_peer_t *gateway = map_get (peer_rows->gateways, name);

  if (str_eq (name, str_from (peer_rows->name)))
    return;
  if (gateway != NULL && str_eq (str_from (gateway->address), address))
    return;
  peer_rows_remove_gateway (peer_rows, name);
  gateway = mem_zalloc (sizeof *gateway);
  gateway->name = str_dup (name);
  gateway->address = str_dup (address);
  map_put (peer_rows->gateways, name, gateway);
  fanout_put (peer_rows->readers, name, zone, link_mbps, gateway);
}

void
peer_rows_stop_serving (peer_rows_t *peer_rows)
{
  peer_rows->is_stopping = true;
  fanout_stop_serving (peer_rows->readers);
}

void
peer_rows_add_piggyback (peer_rows_t *peer_rows, str_t prefix,
                         const peer_rows_piggyback_t *piggyback, void *arg)
{
  assert (peer_rows->user_count < PEER_ROWS_PIGGYBACK_MAX);
  peer_rows->users[peer_rows->user_count++]
      = (piggyback_user_t){ prefix, *piggyback, arg };
}

rows_t *
peer_rows_iface (peer_rows_t *peer_rows)
{
  return &peer_rows->base;
}

uint16_t
peer_rows_port (const peer_rows_t *peer_rows)
{
  return rpc_server_port (peer_rows->server);
}

/* The context of RPC messages between gateways is neither filled nor read.  */
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
      = { peer_rows_read, peer_rows_watch, peer_rows_commit, peer_rows_cancel,
          peer_rows_release };
  static const rpc_hooks_t hooks = { on_outgoing, on_incoming };
  peer_rows_t *peer_rows = mem_zalloc (sizeof *peer_rows);

  peer_rows->base.ops = &ops;
  peer_rows->clock = clock;
  peer_rows->store = store;
  peer_rows->name = str_dup (options->name);
  peer_rows->readers = fanout_create (clock, seed, options->name,
                                      options->zone, options->link_mbps);
  peer_rows->gateways = map_create ();
  list_init (&peer_rows->pending);
  list_init (&peer_rows->watches);
  for (size_t i = 0; i < TABLE_COUNT; i++)
    peer_rows->caches[i] = rowcache_create (clock);
  uv_timer_init (loop, &peer_rows->tick_timer);
  peer_rows->tick_timer.data = peer_rows;
  uv_timer_start (&peer_rows->tick_timer, on_tick, PEER_ROWS_TICK_MS,
                  PEER_ROWS_TICK_MS);
  peer_rows->node
      = rpc_node_create (loop, clock, rng_make (seed), options->name,
                         options->keys, options->key_count, &hooks, NULL);
  *out = peer_rows;
  return rpc_server_create (peer_rows->node, options->listen, on_request,
                            peer_rows, &peer_rows->server);
}

static void
on_tick_closed (uv_handle_t *handle)
{
  free (handle->data);
}

void
peer_rows_destroy (peer_rows_t *peer_rows)
{
  size_t cursor = 0;
  str_t key;
  void *value;

  if (peer_rows == NULL)
    return;
  LIST_EACH (at, &peer_rows->watches)
    {
      watch_request_t *watch = CONTAINER_OF (at, watch_request_t, link);
      rpc_drop (watch->request);
      free (watch);
    }
  LIST_EACH (at, &peer_rows->pending)
    pending_call_free (CONTAINER_OF (at, pending_call_t, link));
  while (map_next (peer_rows->gateways, &cursor, &key, &value))
    gateway_peer_free (value);
  map_destroy (peer_rows->gateways);
  if (peer_rows->server != NULL)
    rpc_server_destroy (peer_rows->server);
  rpc_node_destroy (peer_rows->node);
  for (size_t i = 0; i < TABLE_COUNT; i++)
    rowcache_destroy (peer_rows->caches[i]);
  free (peer_rows->name);
  fanout_destroy (peer_rows->readers);
  uv_close ((uv_handle_t *)&peer_rows->tick_timer, on_tick_closed);
}
