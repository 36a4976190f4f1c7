#include "storage/storage.h"

#include "base/map.h"
#include "base/mem.h"
#include "storage/table.h"

#include <stdlib.h>

typedef enum
{
  CALL_TXN,
  CALL_GET,
  CALL_SCAN,
  CALL_OBJECT_GET,
  CALL_OBJECT_PUT,
  CALL_INSTANCES,
  CALL_RATE
} call_kind_t;

typedef struct call
{
  struct call *next;
  call_kind_t kind;
  txn_t *txn;
  char *name;
  size_t name_len;
  char *bytes;
  size_t bytes_len;
  size_t limit;
  uint64_t after;
  union
  {
    txn_cb_t txn;
    get_cb_t get;
    scan_cb_t scan;
    object_cb_t object;
    instances_cb_t instances;
    rate_cb_t rate;
  } cb;
  void *arg;
} call_t;

typedef struct
{
  size_t len;
  char bytes[];
} object_t;

typedef struct
{
  platform_t base;
  uv_loop_t *loop;
  uv_timer_t timer; /* Runs the pending calls on the next turn.  */
  table_t *table;
  map_t *objects;
  instance_list_t *instances;
  call_t *pending;       /* Oldest first.  */
  call_t **pending_tail; /* Where the next one goes.  */
} memory_t;

static void
free_call (call_t *call)
{
  txn_free (call->txn);
  free (call->name);
  free (call->bytes);
  free (call);
}

static str_t
call_name (const call_t *call)
{
  return str_make (call->name, call->name_len);
}

static str_t
call_bytes (const call_t *call)
{
  return str_make (call->bytes, call->bytes_len);
}

static void
run_txn (memory_t *memory, const call_t *call)
{
  uint64_t revision;
  str_t conflict;
  vh_code_t code = table_execute (memory->table, call->txn,
                                  uv_now (memory->loop), &revision, &conflict);

  call->cb.txn (call->arg, code, revision, conflict);
}

static void
run_get (memory_t *memory, const call_t *call)
{
  row_t row = { call_name (call), STR_NULL, 0 };
  bool found = table_get (memory->table, call_name (call), &row);

  call->cb.get (call->arg, found ? VH_OK : VH_E_NOT_FOUND, &row);
}

static void
run_scan (memory_t *memory, const call_t *call)
{
  row_t *rows = mem_alloc ((call->limit + 1) * sizeof *rows);
  bool more;
  size_t count = table_scan (memory->table, call_name (call),
                             call_bytes (call), call->limit, rows, &more);

  call->cb.scan (call->arg, VH_OK, rows, count, more);
  free (rows);
}

static void
run_object_get (memory_t *memory, const call_t *call)
{
  object_t *object = map_get (memory->objects, call_name (call));

  if (object == NULL)
    call->cb.object (call->arg, VH_E_NOT_FOUND, STR_NULL);
  else
    call->cb.object (call->arg, VH_OK, str_make (object->bytes, object->len));
}

static void
run_object_put (memory_t *memory, const call_t *call)
{
  object_t *object = mem_alloc (sizeof *object + call->bytes_len);

  object->len = call->bytes_len;
  if (call->bytes_len > 0)
    memcpy (object->bytes, call->bytes, call->bytes_len);
  free (map_put (memory->objects, call_name (call), object));
  call->cb.object (call->arg, VH_OK, STR_NULL);
}

static void
run_instances (memory_t *memory, const call_t *call)
{
  instance_row_t *rows;
  uint64_t sequence;
  bool full;
  size_t count = instance_list_get_changes (memory->instances, call->after,
                                            &rows, &sequence, &full);

  call->cb.instances (call->arg, VH_OK, sequence, full, rows, count);
  free (rows);
}

static void
run_call (memory_t *memory, const call_t *call)
{
  switch (call->kind)
    {
    case CALL_TXN:
      run_txn (memory, call);
      break;
    case CALL_GET:
      run_get (memory, call);
      break;
    case CALL_SCAN:
      run_scan (memory, call);
      break;
    case CALL_OBJECT_GET:
      run_object_get (memory, call);
      break;
    case CALL_OBJECT_PUT:
      run_object_put (memory, call);
      break;
    case CALL_INSTANCES:
      run_instances (memory, call);
      break;
    case CALL_RATE:
      call->cb.rate (call->arg, VH_OK,
                     rating_parse_marker (call_bytes (call)));
      break;
    }
}

static void
cancel_call (const call_t *call)
{
  const row_t none = { call_name (call), STR_NULL, 0 };

  switch (call->kind)
    {
    case CALL_TXN:
      call->cb.txn (call->arg, VH_E_CANCELLED, 0, STR_NULL);
      break;
    case CALL_GET:
      call->cb.get (call->arg, VH_E_CANCELLED, &none);
      break;
    case CALL_SCAN:
      call->cb.scan (call->arg, VH_E_CANCELLED, NULL, 0, false);
      break;
    case CALL_OBJECT_GET:
    case CALL_OBJECT_PUT:
      call->cb.object (call->arg, VH_E_CANCELLED, STR_NULL);
      break;
    case CALL_INSTANCES:
      call->cb.instances (call->arg, VH_E_CANCELLED, 0, false, NULL, 0);
      break;
    case CALL_RATE:
      call->cb.rate (call->arg, VH_E_CANCELLED, 0);
      break;
    }
}

/* Hand over the pending calls; those made meanwhile wait a turn.  */
static call_t *
take_pending (memory_t *memory)
{
  call_t *first = memory->pending;

  memory->pending = NULL;
  memory->pending_tail = &memory->pending;
  return first;
}

static void
run_pending (uv_timer_t *timer)
{
  memory_t *memory = timer->data;

  for (call_t *call = take_pending (memory); call != NULL;)
    {
      call_t *next = call->next;
      run_call (memory, call);
      free_call (call);
      call = next;
    }
}

static call_t *
add_call (platform_t *platform, call_kind_t kind, str_t name, str_t bytes,
          void *arg)
{
  memory_t *memory = (memory_t *)platform;
  call_t *call = mem_zalloc (sizeof *call);

  call->kind = kind;
  call->name = str_dup (name);
  call->name_len = name.len;
  call->bytes = str_dup (bytes);
  call->bytes_len = bytes.len;
  call->arg = arg;
  *memory->pending_tail = call;
  memory->pending_tail = &call->next;
  uv_timer_start (&memory->timer, run_pending, 0, 0);
  return call;
}

static void
memory_txn (platform_t *platform, const txn_t *txn, txn_cb_t cb, void *arg)
{
  call_t *call = add_call (platform, CALL_TXN, STR_NULL, STR_NULL, arg);

  call->txn = txn_copy (txn);
  call->cb.txn = cb;
}

static void
memory_get (platform_t *platform, str_t key, get_cb_t cb, void *arg)
{
  add_call (platform, CALL_GET, key, STR_NULL, arg)->cb.get = cb;
}

static void
memory_scan (platform_t *platform, str_t prefix, str_t after, size_t limit,
             scan_cb_t cb, void *arg)
{
  call_t *call = add_call (platform, CALL_SCAN, prefix, after, arg);

  call->limit = limit;
  call->cb.scan = cb;
}

static void
memory_object_get (platform_t *platform, str_t name, object_cb_t cb, void *arg)
{
  add_call (platform, CALL_OBJECT_GET, name, STR_NULL, arg)->cb.object = cb;
}

static void
memory_object_put (platform_t *platform, str_t name, str_t bytes,
                   object_cb_t cb, void *arg)
{
  add_call (platform, CALL_OBJECT_PUT, name, bytes, arg)->cb.object = cb;
}

static void
memory_instances (platform_t *platform, uint64_t after, instances_cb_t cb,
                  void *arg)
{
  call_t *call = add_call (platform, CALL_INSTANCES, STR_NULL, STR_NULL, arg);

  call->after = after;
  call->cb.instances = cb;
}

static void
memory_rate (platform_t *platform, str_t task, str_t question, str_t answer,
             rate_cb_t cb, void *arg)
{
  (void)question;
  add_call (platform, CALL_RATE, task, answer, arg)->cb.rate = cb;
}

static void
on_closed (uv_handle_t *handle)
{
  free (handle->data);
}

static void
memory_destroy (platform_t *platform)
{
  memory_t *memory = (memory_t *)platform;
  size_t cursor = 0;
  void *object;

  for (call_t *call = take_pending (memory); call != NULL;)
    {
      call_t *next = call->next;
      cancel_call (call);
      free_call (call);
      call = next;
    }
  while (map_next (memory->objects, &cursor, NULL, &object))
    free (object);
  map_destroy (memory->objects);
  table_destroy (memory->table);
  instance_list_destroy (memory->instances);
  uv_close ((uv_handle_t *)&memory->timer, on_closed);
}

static const platform_ops_t memory_ops = {
  .txn = memory_txn,
  .get = memory_get,
  .scan = memory_scan,
  .object_get = memory_object_get,
  .object_put = memory_object_put,
  .instances = memory_instances,
  .rate = memory_rate,
  .destroy = memory_destroy,
};

platform_t *
platform_memory_create (uv_loop_t *loop)
{
  memory_t *memory = mem_zalloc (sizeof *memory);

  memory->base.ops = &memory_ops;
  memory->loop = loop;
  uv_timer_init (loop, &memory->timer);
  memory->timer.data = memory;
  memory->table = table_create ();
  memory->objects = map_create ();
  memory->instances = instance_list_create ();
  memory->pending_tail = &memory->pending;
  return &memory->base;
}

void
platform_memory_put_instance (platform_t *platform, const instance_row_t *row)
{
  instance_list_put (((memory_t *)platform)->instances, row);
}
