#include "partitioned_store.h"

#include "base/mem.h"

#include <stdlib.h>

struct partitioned_store
{
  rows_t base;
  uv_loop_t *loop;
  rows_t *store;
  store_access_t access;
  list_t calls;
};

typedef struct
{
  list_t link;
  partitioned_store_t *partitioned;
  uv_timer_t timer; /* Runs until the timeout of the call.  */
  rows_cb_t cb;
  void *arg;
} partitioned_call_t;

static void
on_timer_closed (uv_handle_t *handle)
{
  free (handle->data);
}

/* Release CALL without calling its callback.  */
static void
call_end (partitioned_call_t *call)
{
  rows_t *store = call->partitioned->store;

  store->ops->cancel (store, call);
  list_remove (&call->link);
  uv_close ((uv_handle_t *)&call->timer, on_timer_closed);
}

static void
on_store_reply (void *arg, vh_code_t code, const rows_result_t *result)
{
  partitioned_call_t *call = arg;
  rows_cb_t cb = call->cb;
  void *cb_arg = call->arg;

  if (call->partitioned->access == STORE_SILENT)
    return;
  call_end (call);
  cb (cb_arg, code, result);
}

static void
on_timeout (uv_timer_t *timer)
{
  partitioned_call_t *call = timer->data;
  rows_cb_t cb = call->cb;
  void *cb_arg = call->arg;

  call_end (call);
  cb (cb_arg, VH_E_STORE_DOWN, NULL);
}

static partitioned_call_t *
call_add (rows_t *rows, uint64_t timeout_ms, rows_cb_t cb, void *arg)
{
  partitioned_store_t *partitioned = (partitioned_store_t *)rows;
  partitioned_call_t *call = mem_zalloc (sizeof *call);

  call->partitioned = partitioned;
  call->cb = cb;
  call->arg = arg;
  list_append (&partitioned->calls, &call->link);
  uv_timer_init (partitioned->loop, &call->timer);
  call->timer.data = call;
  uv_timer_start (&call->timer, on_timeout,
                  partitioned->access == STORE_REFUSING ? 1 : timeout_ms, 0);
  return call;
}

static void
partitioned_read (rows_t *rows, rows_table_t table, str_t from,
                  uint64_t timeout_ms, rows_cb_t cb, void *arg)
{
  partitioned_store_t *partitioned = (partitioned_store_t *)rows;
  partitioned_call_t *call = call_add (rows, timeout_ms, cb, arg);

  if (partitioned->access == STORE_REACHABLE)
    partitioned->store->ops->read (partitioned->store, table, from, timeout_ms,
                                   on_store_reply, call);
}

static void
partitioned_watch (rows_t *rows, rows_table_t table, uint64_t after,
                   uint64_t wait_ms, uint64_t timeout_ms, rows_cb_t cb,
                   void *arg)
{
  partitioned_store_t *partitioned = (partitioned_store_t *)rows;
  partitioned_call_t *call = call_add (rows, timeout_ms, cb, arg);

  if (partitioned->access == STORE_REACHABLE)
    partitioned->store->ops->watch (partitioned->store, table, after, wait_ms,
                                    timeout_ms, on_store_reply, call);
}

static void
partitioned_commit (rows_t *rows, const rows_write_t *writes, size_t count,
                    uint64_t timeout_ms, rows_cb_t cb, void *arg)
{
  partitioned_store_t *partitioned = (partitioned_store_t *)rows;
  partitioned_call_t *call = call_add (rows, timeout_ms, cb, arg);

  if (partitioned->access == STORE_REACHABLE)
    partitioned->store->ops->commit (partitioned->store, writes, count,
                                     timeout_ms, on_store_reply, call);
}

static void
partitioned_cancel (rows_t *rows, const void *arg)
{
  LIST_EACH (at, &((partitioned_store_t *)rows)->calls)
    {
      partitioned_call_t *call = CONTAINER_OF (at, partitioned_call_t, link);
      if (call->arg == arg)
        call_end (call);
    }
}

static void
partitioned_destroy (rows_t *rows)
{
  LIST_EACH (at, &((partitioned_store_t *)rows)->calls)
    call_end (CONTAINER_OF (at, partitioned_call_t, link));
  free (rows);
}

partitioned_store_t *
partitioned_store_create (uv_loop_t *loop, rows_t *store)
{
  static const rows_ops_t ops
      = { partitioned_read, partitioned_watch, partitioned_commit,
          partitioned_cancel, partitioned_destroy };
  partitioned_store_t *partitioned = mem_zalloc (sizeof *partitioned);

  partitioned->base.ops = &ops;
  partitioned->loop = loop;
  partitioned->store = store;
  list_init (&partitioned->calls);
  return partitioned;
}

rows_t *
partitioned_store_iface (partitioned_store_t *partitioned)
{
  return &partitioned->base;
}

void
partitioned_store_set_access (partitioned_store_t *partitioned,
                              store_access_t access)
{
  partitioned->access = access;
  if (access != STORE_REFUSING)
    return;
  LIST_EACH (at, &partitioned->calls)
    uv_timer_start (&CONTAINER_OF (at, partitioned_call_t, link)->timer,
                    on_timeout, 1, 0);
}
