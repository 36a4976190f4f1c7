#include "faulty_platform.h"

#include "base/mem.h"

#include <stdlib.h>

typedef struct
{
  platform_t base;
  uv_loop_t *loop;
  platform_t *inner;
  rng_t rng;
  faulty_config_t config;
  faulty_counts_t counts;
  list_t held_calls;
  size_t pending_count;
} faulty_t;

typedef enum
{
  FAULT_NONE,
  FAULT_DOWN,
  FAULT_LOST_REPLY,
  FAULT_LOST_REQUEST,
  FAULT_LATE_EFFECT
} fault_t;

typedef enum
{
  KIND_TXN,
  KIND_GET,
  KIND_SCAN,
  KIND_INSTANCES
} kind_t;

typedef struct
{
  list_t link;
  faulty_t *faulty;
  kind_t kind;
  fault_t fault;
  bool is_callback_done;
  uv_timer_t timer;
  txn_t *txn;
  char *key;
  size_t key_len;
  char *after;
  size_t after_len;
  size_t limit;
  uint64_t sequence;
  union
  {
    txn_cb_t txn;
    get_cb_t get;
    scan_cb_t scan;
    instances_cb_t instances;
  } cb;
  void *arg;
} call_t;

static void
on_timer_closed (uv_handle_t *handle)
{
  call_t *call = handle->data;

  txn_free (call->txn);
  free (call->key);
  free (call->after);
  free (call);
}

static void
call_finish (call_t *call)
{
  call->faulty->pending_count--;
  uv_close ((uv_handle_t *)&call->timer, on_timer_closed);
}

static void
on_txn (void *arg, vh_code_t code, uint64_t revision, str_t conflict_key)
{
  call_t *call = arg;

  if (call->fault == FAULT_LOST_REPLY)
    {
      call->faulty->counts.lost_replies++;
      call->cb.txn (call->arg, VH_E_STORE_LATE, 0, STR_NULL);
    }
  else if (!call->is_callback_done)
    call->cb.txn (call->arg, code, revision, conflict_key);
  call_finish (call);
}

static void
on_get (void *arg, vh_code_t code, const row_t *row)
{
  call_t *call = arg;

  call->cb.get (call->arg, code, row);
  call_finish (call);
}

static void
on_scan (void *arg, vh_code_t code, const row_t *rows, size_t count, bool more)
{
  call_t *call = arg;

  call->cb.scan (call->arg, code, rows, count, more);
  call_finish (call);
}

static void
on_instances (void *arg, vh_code_t code, uint64_t sequence, bool full,
              const instance_row_t *rows, size_t count)
{
  call_t *call = arg;

  call->cb.instances (call->arg, code, sequence, full, rows, count);
  call_finish (call);
}

static void
report_code (call_t *call, vh_code_t code)
{
  const row_t absent_row
      = { str_make (call->key, call->key_len), STR_NULL, 0 };

  call->is_callback_done = true;
  switch (call->kind)
    {
    case KIND_TXN:
      call->cb.txn (call->arg, code, 0, STR_NULL);
      break;
    case KIND_GET:
      call->cb.get (call->arg, code, &absent_row);
      break;
    case KIND_SCAN:
      call->cb.scan (call->arg, code, NULL, 0, false);
      break;
    case KIND_INSTANCES:
      call->cb.instances (call->arg, code, 0, false, NULL, 0);
      break;
    }
}

static void
forward (call_t *call)
{
  platform_t *inner = call->faulty->inner;
  str_t key = str_make (call->key, call->key_len);
  str_t after = str_make (call->after, call->after_len);

  switch (call->kind)
    {
    case KIND_TXN:
      inner->ops->txn (inner, call->txn, on_txn, call);
      break;
    case KIND_GET:
      inner->ops->get (inner, key, on_get, call);
      break;
    case KIND_SCAN:
      inner->ops->scan (inner, key, after, call->limit, on_scan, call);
      break;
    case KIND_INSTANCES:
      inner->ops->list_instances (inner, call->sequence, on_instances, call);
      break;
    }
}

static void
on_late_effect_timer (uv_timer_t *timer)
{
  forward (timer->data);
}

static void
on_start_timer (uv_timer_t *timer)
{
  call_t *call = timer->data;
  faulty_t *faulty = call->faulty;

  if (call->kind == KIND_TXN ? faulty->config.hold_txns
                             : faulty->config.hold_reads)
    {
      list_append (&faulty->held_calls, &call->link);
      return;
    }
  switch (call->fault)
    {
    case FAULT_DOWN:
      report_code (call, VH_E_STORE_DOWN);
      call_finish (call);
      break;
    case FAULT_LOST_REQUEST:
      report_code (call, VH_E_STORE_LATE);
      call_finish (call);
      break;
    case FAULT_LATE_EFFECT:
      report_code (call, VH_E_STORE_LATE);
      uv_timer_start (
          &call->timer, on_late_effect_timer,
          rng_below (&faulty->rng, faulty->config.late_effect_ms + 1), 0);
      break;
    case FAULT_NONE:
    case FAULT_LOST_REPLY:
      forward (call);
      break;
    }
}

static fault_t
choose_fault (faulty_t *faulty, kind_t kind)
{
  const faulty_config_t *config = &faulty->config;

  if (config->down || rng_double (&faulty->rng) < config->fail_share)
    return FAULT_DOWN;
  if (kind != KIND_TXN)
    return FAULT_NONE;
  double draw = rng_double (&faulty->rng);
  if (draw < config->lost_reply_share)
    return FAULT_LOST_REPLY;
  draw -= config->lost_reply_share;
  if (draw < config->lost_request_share)
    return FAULT_LOST_REQUEST;
  draw -= config->lost_request_share;
  return draw < config->late_effect_share ? FAULT_LATE_EFFECT : FAULT_NONE;
}

static call_t *
call_create (platform_t *platform, kind_t kind, void *arg)
{
  faulty_t *faulty = (faulty_t *)platform;
  call_t *call = mem_zalloc (sizeof *call);

  call->faulty = faulty;
  call->kind = kind;
  call->arg = arg;
  call->fault = choose_fault (faulty, kind);
  list_init (&call->link);
  uv_timer_init (faulty->loop, &call->timer);
  call->timer.data = call;
  uv_timer_start (&call->timer, on_start_timer,
                  rng_below (&faulty->rng, faulty->config.delay_ms + 1), 0);
  faulty->pending_count++;
  return call;
}

static void
faulty_txn (platform_t *platform, const txn_t *txn, txn_cb_t cb, void *arg)
{
  call_t *call = call_create (platform, KIND_TXN, arg);

  call->txn = txn_copy (txn);
  call->cb.txn = cb;
  call->faulty->counts.txns++;
  call->faulty->counts.writes += txn->write_count;
}

static void
faulty_get (platform_t *platform, str_t key, get_cb_t cb, void *arg)
{
  call_t *call = call_create (platform, KIND_GET, arg);

  call->key = str_dup (key);
  call->key_len = key.len;
  call->cb.get = cb;
  call->faulty->counts.gets++;
}

static void
faulty_scan (platform_t *platform, str_t prefix, str_t after, size_t limit,
             scan_cb_t cb, void *arg)
{
  call_t *call = call_create (platform, KIND_SCAN, arg);

  call->key = str_dup (prefix);
  call->key_len = prefix.len;
  call->after = str_dup (after);
  call->after_len = after.len;
  call->limit = limit;
  call->cb.scan = cb;
  call->faulty->counts.scans++;
}

static void
faulty_instances (platform_t *platform, uint64_t after, instances_cb_t cb,
                  void *arg)
{
  call_t *call = call_create (platform, KIND_INSTANCES, arg);

  call->sequence = after;
  call->cb.instances = cb;
}

static void
faulty_destroy (platform_t *platform)
{
  free (platform);
}

static const platform_ops_t faulty_ops = {
  .txn = faulty_txn,
  .get = faulty_get,
  .scan = faulty_scan,
  .list_instances = faulty_instances,
  .destroy = faulty_destroy,
};

platform_t *
faulty_create (uv_loop_t *loop, platform_t *inner, uint64_t seed)
{
  faulty_t *faulty = mem_zalloc (sizeof *faulty);

  faulty->base.ops = &faulty_ops;
  faulty->loop = loop;
  faulty->inner = inner;
  faulty->rng = rng_make (seed);
  list_init (&faulty->held_calls);
  return &faulty->base;
}

faulty_config_t *
faulty_config (platform_t *platform)
{
  return &((faulty_t *)platform)->config;
}

faulty_counts_t *
faulty_counts (platform_t *platform)
{
  return &((faulty_t *)platform)->counts;
}

void
faulty_release (platform_t *platform)
{
  faulty_t *faulty = (faulty_t *)platform;

  faulty->config.hold_reads = false;
  faulty->config.hold_txns = false;
  LIST_EACH (at, &faulty->held_calls)
    {
      call_t *call = CONTAINER_OF (at, call_t, link);
      list_remove (at);
      uv_timer_start (&call->timer, on_start_timer, 0, 0);
    }
}

size_t
faulty_pending (platform_t *platform)
{
  return ((faulty_t *)platform)->pending_count;
}
