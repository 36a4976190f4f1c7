#include "control/store.h"

#include "base/mem.h"

#include <stdlib.h>

enum
{
  RESEND_MIN_MS = 50,
  RESEND_MAX_MS = 2000
};

typedef struct
{
  list_t link;
  store_t *store; /* NULL once the owner has gone.  */
  txn_t *txn;     /* Of a transaction.  */
  uint64_t deadline_ms;
  backoff_t backoff;
  bool maybe; /* An attempt may have taken effect.  */
  uv_timer_t timer;
  union
  {
    txn_cb_t txn;
    get_cb_t get;
    scan_cb_t scan;
    instances_cb_t instances;
  } cb;
  void *arg;
} store_call_t;

struct store
{
  control_env_t env;
  rng_t rng;
  list_t calls;
  uint64_t tokens;
  uint64_t nonce;
};

store_t *
store_create (const control_env_t *env)
{
  store_t *store = mem_zalloc (sizeof *store);

  store->env = *env;
  store->rng = rng_make (env->seed);
  /* Two processes may be started with one seed: their tokens must differ.  */
  uv_random (NULL, NULL, &store->nonce, sizeof store->nonce, 0, NULL);
  list_init (&store->calls);
  return store;
}

static void
on_timer_closed (uv_handle_t *handle)
{
  store_call_t *call = handle->data;

  txn_free (call->txn);
  free (call);
}

static void
release (store_call_t *call)
{
  list_remove (&call->link);
  uv_close ((uv_handle_t *)&call->timer, on_timer_closed);
}

void
store_destroy (store_t *store)
{
  if (store == NULL)
    return;
  LIST_EACH (at, &store->calls)
    {
      store_call_t *call = CONTAINER_OF (at, store_call_t, link);
      list_remove (at);
      call->store = NULL;
      /* Between two attempts nothing else would release the call.  */
      if (uv_is_active ((uv_handle_t *)&call->timer))
        release (call);
    }
  free (store);
}

static store_call_t *
call_create (store_t *store, void *arg)
{
  store_call_t *call = mem_zalloc (sizeof *call);

  call->store = store;
  call->arg = arg;
  call->backoff = (backoff_t){ RESEND_MIN_MS, RESEND_MAX_MS, 0 };
  uv_timer_init (store->env.loop, &call->timer);
  call->timer.data = call;
  list_append (&store->calls, &call->link);
  return call;
}

static void send_txn (store_call_t *call);

static void
on_resend (uv_timer_t *timer)
{
  send_txn (timer->data);
}

/* Tell whether CALL is to be sent again after CODE, and see to it.  */
static bool
resend (store_call_t *call, vh_code_t code)
{
  store_t *store = call->store;
  bool lost = code == VH_E_STORE_LATE;
  bool refused = code == VH_E_STORE_DOWN || code == VH_E_STORE_BUSY;

  call->maybe = call->maybe || lost;
  if ((!lost && !refused) || !call->maybe || call->txn->token.len == 0)
    return false;
  uint64_t wait_ms = backoff_next (&call->backoff, &store->rng);
  if (clock_ms (store->env.clock) + wait_ms >= call->deadline_ms)
    return false;
  uv_timer_start (&call->timer, on_resend, wait_ms, 0);
  return true;
}

static void
on_txn (void *arg, vh_code_t code, uint64_t revision, str_t conflict_key)
{
  store_call_t *call = arg;
  bool known = code == VH_OK || code == VH_E_CONFLICT;

  if (call->store == NULL)
    {
      release (call);
      return;
    }
  if (resend (call, code))
    return;
  if (call->maybe && !known)
    code = VH_E_STORE_LATE;
  list_remove (&call->link);
  call->cb.txn (call->arg, code, revision, conflict_key);
  release (call);
}

static void
send_txn (store_call_t *call)
{
  platform_t *platform = call->store->env.platform;

  platform->ops->txn (platform, call->txn, on_txn, call);
}

void
store_txn (store_t *store, const txn_t *txn, uint64_t patience_ms, txn_cb_t cb,
           void *arg)
{
  store_call_t *call = call_create (store, arg);

  if (patience_ms > STORE_PATIENCE_MAX_MS)
    patience_ms = STORE_PATIENCE_MAX_MS;
  call->txn = txn_copy (txn);
  call->cb.txn = cb;
  call->deadline_ms = clock_ms (store->env.clock) + patience_ms;
  send_txn (call);
}

static void
on_get (void *arg, vh_code_t code, const row_t *row)
{
  store_call_t *call = arg;

  list_remove (&call->link);
  if (call->store != NULL)
    call->cb.get (call->arg, code, row);
  release (call);
}

void
store_get (store_t *store, str_t key, get_cb_t cb, void *arg)
{
  store_call_t *call = call_create (store, arg);
  platform_t *platform = store->env.platform;

  call->cb.get = cb;
  platform->ops->get (platform, key, on_get, call);
}

static void
on_scan (void *arg, vh_code_t code, const row_t *rows, size_t count, bool more)
{
  store_call_t *call = arg;

  list_remove (&call->link);
  if (call->store != NULL)
    call->cb.scan (call->arg, code, rows, count, more);
  release (call);
}

void
store_scan (store_t *store, str_t prefix, str_t after, size_t limit,
            scan_cb_t cb, void *arg)
{
  store_call_t *call = call_create (store, arg);
  platform_t *platform = store->env.platform;

  call->cb.scan = cb;
  platform->ops->scan (platform, prefix, after, limit, on_scan, call);
}

static void
on_instances (void *arg, vh_code_t code, uint64_t sequence, bool full,
              const instance_row_t *rows, size_t count)
{
  store_call_t *call = arg;

  list_remove (&call->link);
  if (call->store != NULL)
    call->cb.instances (call->arg, code, sequence, full, rows, count);
  release (call);
}

void
store_instances (store_t *store, uint64_t after, instances_cb_t cb, void *arg)
{
  store_call_t *call = call_create (store, arg);
  platform_t *platform = store->env.platform;

  call->cb.instances = cb;
  platform->ops->instances (platform, after, on_instances, call);
}

void
store_append_token (store_t *store, buf_t *out)
{
  buf_printf (out, "%016llx-%llx", (unsigned long long)store->nonce,
              (unsigned long long)++store->tokens);
}

uint64_t
backoff_next (backoff_t *backoff, rng_t *rng)
{
  uint64_t wait_ms = backoff->next_ms > 0 ? backoff->next_ms : backoff->min_ms;

  backoff->next_ms
      = wait_ms * 2 < backoff->max_ms ? wait_ms * 2 : backoff->max_ms;
  return rng_jitter (rng, wait_ms);
}

void
backoff_reset (backoff_t *backoff)
{
  backoff->next_ms = 0;
}

rng_t *
store_rng (store_t *store)
{
  return &store->rng;
}
