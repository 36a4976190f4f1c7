#include "control/lease.h"

#include "base/log.h"
#include "base/mem.h"

#include <stdlib.h>

enum
{
  /* Two beats may be lost before the lease lapses.  */
  BEATS_A_TERM = 3
};

struct lease
{
  store_t *store;
  control_env_t env;
  lease_options_t options;
  buf_t fence_key;
  buf_t beat_key;
  buf_t holder;
  uv_timer_t timer;
  bool busy; /* A step is under way.  */
  bool held;
  uint64_t fence;         /* Version of the fence row.  */
  uint64_t beat;          /* Version of the beat row last seen.  */
  uint64_t beat_since_ms; /* When it was first seen.  */
  uint64_t sent_ms;       /* When the step under way was begun.  */
  uint64_t valid_until_ms;
};

static void
set_held (lease_t *lease, bool held)
{
  if (lease->held == held)
    return;
  lease->held = held;
  log_info ("lease", "Lease %s. name=%.*s fence=%llu",
            held ? "acquired" : "lost", (int)lease->fence_key.len,
            lease->fence_key.ptr, (unsigned long long)lease->fence);
  if (lease->options.changed != NULL)
    lease->options.changed (lease->options.owner, held);
}

bool
lease_is_held (lease_t *lease)
{
  if (lease->held && clock_ms (lease->env.clock) >= lease->valid_until_ms)
    set_held (lease, false);
  return lease->held;
}

txn_condition_t
lease_condition (const lease_t *lease)
{
  return (txn_condition_t){ buf_str (&lease->fence_key), lease->fence };
}

static void
see_beat (lease_t *lease, uint64_t version)
{
  lease->beat = version;
  lease->beat_since_ms = clock_ms (lease->env.clock);
}

static void
on_renewed (void *arg, vh_code_t code, uint64_t revision, str_t conflict_key)
{
  lease_t *lease = arg;

  (void)conflict_key;
  lease->busy = false;
  if (code == VH_OK)
    {
      see_beat (lease, revision);
      lease->valid_until_ms = lease->sent_ms + lease->options.term_ms;
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
      = { buf_str (&lease->beat_key), buf_str (&lease->holder), false };
  buf_t token = BUF_NULL;

  store_append_token (lease->store, &token);
  const txn_t txn = { &condition, 1, &write, 1, buf_str (&token) };
  store_txn (lease->store, &txn, lease->options.term_ms / BEATS_A_TERM,
             on_renewed, lease);
  buf_free (&token);
}

static void
on_taken (void *arg, vh_code_t code, uint64_t revision, str_t conflict_key)
{
  lease_t *lease = arg;

  (void)conflict_key;
  lease->busy = false;
  if (code != VH_OK)
    return;
  lease->fence = revision;
  see_beat (lease, revision);
  lease->valid_until_ms = lease->sent_ms + lease->options.term_ms;
  /* The reply may have taken longer than the term.  */
  if (clock_ms (lease->env.clock) < lease->valid_until_ms)
    set_held (lease, true);
}

/* Take a lease that lapsed, was given up or never held, if its beat is still
   BEAT: a holder that renews meanwhile makes this fail.  */
static void
take (lease_t *lease, uint64_t beat)
{
  const txn_condition_t condition = { buf_str (&lease->beat_key), beat };
  const txn_write_t writes[]
      = { { buf_str (&lease->beat_key), buf_str (&lease->holder), false },
          { buf_str (&lease->fence_key), buf_str (&lease->holder), false } };
  buf_t token = BUF_NULL;

  store_append_token (lease->store, &token);
  const txn_t txn = { &condition, 1, writes, 2, buf_str (&token) };
  lease->sent_ms = clock_ms (lease->env.clock);
  store_txn (lease->store, &txn, lease->options.term_ms / BEATS_A_TERM,
             on_taken, lease);
  buf_free (&token);
}

static void
on_beat (void *arg, vh_code_t code, const row_t *row)
{
  lease_t *lease = arg;
  bool free_now = code == VH_E_NOT_FOUND || row->value.len == 0;

  if (code != VH_OK && code != VH_E_NOT_FOUND)
    {
      lease->busy = false;
      return;
    }
  if (row->version != lease->beat)
    see_beat (lease, row->version);
  uint64_t seen_ms = clock_ms (lease->env.clock) - lease->beat_since_ms;
  if (free_now || seen_ms >= lease->options.term_ms)
    take (lease, row->version);
  else
    lease->busy = false;
}

void
lease_poll (lease_t *lease)
{
  if (lease->busy)
    return;
  lease->busy = true;
  lease->sent_ms = clock_ms (lease->env.clock);
  if (lease_is_held (lease))
    renew (lease);
  else
    store_get (lease->store, buf_str (&lease->beat_key), on_beat, lease);
}

static void
on_timer (uv_timer_t *timer)
{
  lease_t *lease = timer->data;
  uint64_t period_ms = lease->options.term_ms / BEATS_A_TERM;

  lease_poll (lease);
  uv_timer_start (&lease->timer, on_timer,
                  rng_jitter (store_rng (lease->store), period_ms) + 1, 0);
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
  buf_printf (&lease->beat_key, "lease/%.*s/beat", STR_ARG (name));
  buf_append_str (&lease->holder, holder);
  uv_timer_init (env->loop, &lease->timer);
  lease->timer.data = lease;
  uv_timer_start (&lease->timer, on_timer, 0, 0);
  return lease;
}

static void
on_closed (uv_handle_t *handle)
{
  lease_t *lease = handle->data;

  buf_free (&lease->fence_key);
  buf_free (&lease->beat_key);
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

/* Empty the beat row: the next holder need not wait for the term.  Sent past
   the store object, for nobody waits for the reply.  */
static void
give_up (lease_t *lease)
{
  const txn_condition_t condition = lease_condition (lease);
  const txn_write_t write = { buf_str (&lease->beat_key), STR_NULL, false };
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
    give_up (lease);
  store_destroy (lease->store);
  uv_close ((uv_handle_t *)&lease->timer, on_closed);
}
