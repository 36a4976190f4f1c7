#include "faulty_platform.h"

#include "base/mem.h"

#include <stdlib.h>

typedef struct
{
  platform_t base;
  uv_loop_t *loop;
  platform_t *inner;
  rng_t rng;
  faulty_knobs_t knobs;
  faulty_counts_t counts;
  list_t held;
  size_t pending;
} faulty_t;

typedef enum
{
  FATE_PASS,
  FATE_DOWN,
  FATE_LOST,
  FATE_VANISH,
  FATE_LATE_EFFECT
} fate_t;

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
  fate_t fate;
  bool told;
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
} op_t;

static void
on_closed (uv_handle_t *handle)
{
  op_t *op = handle->data;

  txn_free (op->txn);
  free (op->key);
  free (op->after);
  free (op);
}

static void
op_end (op_t *op)
{
  op->faulty->pending--;
  uv_close ((uv_handle_t *)&op->timer, on_closed);
}

static void
on_txn (void *arg, vh_code_t code, uint64_t revision, str_t conflict_key)
{
  op_t *op = arg;

  if (op->fate == FATE_LOST)
    {
      op->faulty->counts.lost++;
      op->cb.txn (op->arg, VH_E_STORE_LATE, 0, STR_NULL);
    }
  else if (!op->told)
    op->cb.txn (op->arg, code, revision, conflict_key);
  op_end (op);
}

static void
on_get (void *arg, vh_code_t code, const row_t *row)
{
  op_t *op = arg;

  op->cb.get (op->arg, code, row);
  op_end (op);
}

static void
on_scan (void *arg, vh_code_t code, const row_t *rows, size_t count, bool more)
{
  op_t *op = arg;

  op->cb.scan (op->arg, code, rows, count, more);
  op_end (op);
}

static void
on_instances (void *arg, vh_code_t code, uint64_t sequence, bool full,
              const instance_row_t *rows, size_t count)
{
  op_t *op = arg;

  op->cb.instances (op->arg, code, sequence, full, rows, count);
  op_end (op);
}

static void
tell_code (op_t *op, vh_code_t code)
{
  const row_t none = { str_make (op->key, op->key_len), STR_NULL, 0 };

  op->told = true;
  switch (op->kind)
    {
    case KIND_TXN:
      op->cb.txn (op->arg, code, 0, STR_NULL);
      break;
    case KIND_GET:
      op->cb.get (op->arg, code, &none);
      break;
    case KIND_SCAN:
      op->cb.scan (op->arg, code, NULL, 0, false);
      break;
    case KIND_INSTANCES:
      op->cb.instances (op->arg, code, 0, false, NULL, 0);
      break;
    }
}

static void
pass (op_t *op)
{
  platform_t *inner = op->faulty->inner;
  str_t key = str_make (op->key, op->key_len);
  str_t after = str_make (op->after, op->after_len);

  switch (op->kind)
    {
    case KIND_TXN:
      inner->ops->txn (inner, op->txn, on_txn, op);
      break;
    case KIND_GET:
      inner->ops->get (inner, key, on_get, op);
      break;
    case KIND_SCAN:
      inner->ops->scan (inner, key, after, op->limit, on_scan, op);
      break;
    case KIND_INSTANCES:
      inner->ops->list_instances (inner, op->sequence, on_instances, op);
      break;
    }
}

static void
on_late_effect (uv_timer_t *timer)
{
  pass (timer->data);
}

static void
on_due (uv_timer_t *timer)
{
  op_t *op = timer->data;
  faulty_t *faulty = op->faulty;

  if (op->kind == KIND_TXN ? faulty->knobs.hold_txns
                           : faulty->knobs.hold_reads)
    {
      list_append (&faulty->held, &op->link);
      return;
    }
  switch (op->fate)
    {
    case FATE_DOWN:
      tell_code (op, VH_E_STORE_DOWN);
      op_end (op);
      break;
    case FATE_VANISH:
      tell_code (op, VH_E_STORE_LATE);
      op_end (op);
      break;
    case FATE_LATE_EFFECT:
      tell_code (op, VH_E_STORE_LATE);
      uv_timer_start (
          &op->timer, on_late_effect,
          rng_below (&faulty->rng, faulty->knobs.late_effect_ms + 1), 0);
      break;
    case FATE_PASS:
    case FATE_LOST:
      pass (op);
      break;
    }
}

static fate_t
choose_fate (faulty_t *faulty, kind_t kind)
{
  const faulty_knobs_t *knobs = &faulty->knobs;

  if (knobs->down || rng_double (&faulty->rng) < knobs->fail_share)
    return FATE_DOWN;
  if (kind != KIND_TXN)
    return FATE_PASS;
  double draw = rng_double (&faulty->rng);
  if (draw < knobs->lost_share)
    return FATE_LOST;
  draw -= knobs->lost_share;
  if (draw < knobs->vanish_share)
    return FATE_VANISH;
  draw -= knobs->vanish_share;
  return draw < knobs->late_effect_share ? FATE_LATE_EFFECT : FATE_PASS;
}

static op_t *
op_create (platform_t *platform, kind_t kind, void *arg)
{
  faulty_t *faulty = (faulty_t *)platform;
  op_t *op = mem_zalloc (sizeof *op);

  op->faulty = faulty;
  op->kind = kind;
  op->arg = arg;
  op->fate = choose_fate (faulty, kind);
  list_init (&op->link);
  uv_timer_init (faulty->loop, &op->timer);
  op->timer.data = op;
  uv_timer_start (&op->timer, on_due,
                  rng_below (&faulty->rng, faulty->knobs.delay_ms + 1), 0);
  faulty->pending++;
  return op;
}

static void
faulty_txn (platform_t *platform, const txn_t *txn, txn_cb_t cb, void *arg)
{
  op_t *op = op_create (platform, KIND_TXN, arg);

  op->txn = txn_copy (txn);
  op->cb.txn = cb;
  op->faulty->counts.txns++;
  op->faulty->counts.writes += txn->write_count;
}

static void
faulty_get (platform_t *platform, str_t key, get_cb_t cb, void *arg)
{
  op_t *op = op_create (platform, KIND_GET, arg);

  op->key = str_dup (key);
  op->key_len = key.len;
  op->cb.get = cb;
  op->faulty->counts.gets++;
}

static void
faulty_scan (platform_t *platform, str_t prefix, str_t after, size_t limit,
             scan_cb_t cb, void *arg)
{
  op_t *op = op_create (platform, KIND_SCAN, arg);

  op->key = str_dup (prefix);
  op->key_len = prefix.len;
  op->after = str_dup (after);
  op->after_len = after.len;
  op->limit = limit;
  op->cb.scan = cb;
  op->faulty->counts.scans++;
}

static void
faulty_instances (platform_t *platform, uint64_t after, instances_cb_t cb,
                  void *arg)
{
  op_t *op = op_create (platform, KIND_INSTANCES, arg);

  op->sequence = after;
  op->cb.instances = cb;
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
  list_init (&faulty->held);
  return &faulty->base;
}

faulty_knobs_t *
faulty_knobs (platform_t *platform)
{
  return &((faulty_t *)platform)->knobs;
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

  faulty->knobs.hold_reads = false;
  faulty->knobs.hold_txns = false;
  LIST_EACH (at, &faulty->held)
    {
      op_t *op = CONTAINER_OF (at, op_t, link);
      list_remove (at);
      uv_timer_start (&op->timer, on_due, 0, 0);
    }
}

size_t
faulty_pending (platform_t *platform)
{
  return ((faulty_t *)platform)->pending;
}
