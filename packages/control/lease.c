#include "control/lease.h"

#include "base/log.h"
#include "base/mem.h"

#include <stdlib.h>

enum
{
  /* Two heartbeats may be lost before the lease expires.  */
  HEARTBEATS_PER_TERM = 3
};

struct lease
{
  store_t *store;
  control_env_t env;
  lease_options_t options;
  buf_t fence_key;
  buf_t heartbeat_key;
  buf_t holder;
  uv_timer_t timer;
  bool is_attempt_pending; /* A renewal or acquisition is in progress.  */
  bool is_held;
  uint64_t fence_version; /* Version of the fence row: the fencing token.  */
  uint64_t heartbeat_version; /* Last read version of the heartbeat row.  */
  uint64_t heartbeat_seen_ms; /* Time of the first read of that version.  */
  /* Start time of the last renewal or acquisition.  */
  uint64_t attempt_started_ms;
  uint64_t valid_until_ms;
};

static void
set_held (lease_t *lease, bool held)
{
  if (lease->is_held == held)
    return;
  lease->is_held = held;
  log_info ("lease", "Lease %s. name=%.*s fence=%llu",
            held ? "acquired" : "lost", (int)lease->fence_key.len,
            lease->fence_key.ptr, (unsigned long long)lease->fence_version);
  if (lease->options.on_change != NULL)
    lease->options.on_change (lease->options.owner, held);
}

bool
lease_is_held (lease_t *lease)
{
  if (lease->is_held && clock_ms (lease->env.clock) >= lease->valid_until_ms)
    set_held (lease, false);
  return lease->is_held;
}

txn_condition_t
lease_condition (const lease_t *lease)
{
  return (txn_condition_t){ buf_str (&lease->fence_key),
                            lease->fence_version };
}

static void
record_heartbeat (lease_t *lease, uint64_t version)
{
  lease->heartbeat_version = version;
  lease->heartbeat_seen_ms = clock_ms (lease->env.clock);
}

static void
on_renewed (void *arg, vh_code_t code, uint64_t revision, str_t conflict_key)
{
  lease_t *lease = arg;

  (void)conflict_key;
  lease->is_attempt_pending = false;
  if (code == VH_OK)
    {
      record_heartbeat (lease, revision);
      lease->valid_until_ms
          = lease->attempt_started_ms + lease->options.term_ms;
    }
  else if (code == VH_E_CONFLICT)
    set_held (lease, false);
  lease_is_held (lease);
}

static void
renew (lease_t *lease)
{
  const txn_condition_t condition = lease_condition (lease);
  const txn_write_t write
      = { buf_str (&lease->heartbeat_key), buf_str (&lease->holder), false };
  buf_t token = BUF_NULL;

  store_append_token (lease->store, &token);
  const txn_t txn = { &condition, 1, &write, 1, buf_str (&token) };
  store_txn (lease->store, &txn, lease->options.term_ms / HEARTBEATS_PER_TERM,
             on_renewed, lease);
  buf_free (&token);
}

static void
on_acquired (void *arg, vh_code_t code, uint64_t revision, str_t conflict_key)
{
  lease_t *lease = arg;

  (void)conflict_key;
  lease->is_attempt_pending = false;
  if (code != VH_OK)
    return;
  lease->fence_version = revision;
  record_heartbeat (lease, revision);
  lease->valid_until_ms = lease->attempt_started_ms + lease->options.term_ms;
  /* The lease may have expired before the reply arrived.  */
  if (clock_ms (lease->env.clock) < lease->valid_until_ms)
    set_held (lease, true);
}

/* Acquire a lease that has expired, was released or was never held.  Fails if
   the version of the heartbeat row is no longer HEARTBEAT_VERSION, because
   the holder has renewed the lease.  */
static void
acquire (lease_t *lease, uint64_t heartbeat_version)
{
  const txn_condition_t condition
      = { buf_str (&lease->heartbeat_key), heartbeat_version };
  const txn_write_t writes[]
      = { { buf_str (&lease->heartbeat_key), buf_str (&lease->holder), false },
          { buf_str (&lease->fence_key), buf_str (&lease->holder), false } };
  buf_t token = BUF_NULL;

  store_append_token (lease->store, &token);
  const txn_t txn = { &condition, 1, writes, 2, buf_str (&token) };
  lease->attempt_started_ms = clock_ms (lease->env.clock);
  store_txn (lease->store, &txn, lease->options.term_ms / HEARTBEATS_PER_TERM,
             on_acquired, lease);
  buf_free (&token);
}

static void
on_heartbeat_read (void *arg, vh_code_t code, const row_t *row)
{
  lease_t *lease = arg;
  bool is_free = code == VH_E_NOT_FOUND || row->value.len == 0;

  if (code != VH_OK && code != VH_E_NOT_FOUND)
    {
      lease->is_attempt_pending = false;
      return;
    }
  if (row->version != lease->heartbeat_version)
    record_heartbeat (lease, row->version);
  uint64_t unchanged_ms
      = clock_ms (lease->env.clock) - lease->heartbeat_seen_ms;
  if (is_free || unchanged_ms >= lease->options.term_ms)
    acquire (lease, row->version);
  else
    lease->is_attempt_pending = false;
}

void
lease_poll (lease_t *lease)
{
  if (lease->is_attempt_pending)
    return;
  lease->is_attempt_pending = true;
  lease->attempt_started_ms = clock_ms (lease->env.clock);
  if (lease_is_held (lease))
    renew (lease);
  else
    store_get (lease->store, buf_str (&lease->heartbeat_key),
               on_heartbeat_read, lease);
}

static void
on_timer (uv_timer_t *timer)
{
  lease_t *lease = timer->data;
  uint64_t heartbeat_interval_ms
      = lease->options.term_ms / HEARTBEATS_PER_TERM;

  lease_poll (lease);
  uv_timer_start (
      &lease->timer, on_timer,
      rng_jitter (store_rng (lease->store), heartbeat_interval_ms) + 1, 0);
}

lease_t *
lease_create (const control_env_t *env, str_t name, str_t holder,
              const lease_options_t *options)
{
  lease_t *lease = mem_zalloc (sizeof *lease);

  lease->store = store_create (env);
  lease->env = *env;
  lease->options = *options;
  buf_printf (&lease->fence_key, "lease/%.*s/fence", STR_ARG (name));
  buf_printf (&lease->heartbeat_key, "lease/%.*s/beat", STR_ARG (name));
  buf_append_str (&lease->holder, holder);
  uv_timer_init (env->loop, &lease->timer);
  lease->timer.data = lease;
  uv_timer_start (&lease->timer, on_timer, 0, 0);
  return lease;
}

static void
on_timer_closed (uv_handle_t *handle)
{
  lease_t *lease = handle->data;

  buf_free (&lease->fence_key);
  buf_free (&lease->heartbeat_key);
  buf_free (&lease->holder);
  free (lease);
}

static void
on_released (void *arg, vh_code_t code, uint64_t revision, str_t conflict_key)
{
  (void)arg;
  (void)code;
  (void)revision;
  (void)conflict_key;
}

/* Empty the heartbeat row, so that the next holder need not wait for the end
   of the term.  The request bypasses the store object, which is about to be
   destroyed, because its reply is ignored.  */
static void
release_lease (lease_t *lease)
{
  const txn_condition_t condition = lease_condition (lease);
  const txn_write_t write
      = { buf_str (&lease->heartbeat_key), STR_NULL, false };
  const txn_t txn = { &condition, 1, &write, 1, STR_NULL };
  platform_t *platform = lease->env.platform;

  platform->ops->txn (platform, &txn, on_released, NULL);
}

void
lease_destroy (lease_t *lease)
{
  if (lease == NULL)
    return;
  if (lease_is_held (lease))
    release_lease (lease);
  store_destroy (lease->store);
  uv_close ((uv_handle_t *)&lease->timer, on_timer_closed);
}
