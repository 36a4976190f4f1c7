#include "sidecar/sidecarint.h"

#include "base/log.h"

#include <stdlib.h>

enum
{
  TICK_MS = 25,
  KEEP_DEFAULT_MS = 300000,
  UPSTREAM_CONNECTIONS = 256
};

static void
fill_context (void *arg, wire_context_t *context)
{
  sidecar_t *sidecar = arg;
  wire_load_t *load = &context->load;

  context->revision = sidecar_revision (sidecar);
  context->draining = sidecar->draining;
  load->in_flight
      = limit_in_flight (sidecar->limit) + queue_load (sidecar->queue);
  load->limit = limit_slots (sidecar->limit);
  load->queued = queue_waiting_count (sidecar->queue);
  load->wait_ms
      = (u_int)(queue_estimate_wait_us (sidecar->queue, STR (""), 1) / 1000);
  load->latency_us = (u_int)sidecar->first_byte_us;
  load->deaths = sidecar->deaths;
  load->warming = limit_is_warming_up (sidecar->limit);
}

static void
see_context (void *arg, rpc_peer_t *peer, const wire_context_t *context)
{
  sidecar_t *sidecar = arg;

  (void)peer;
  if (sidecar->caller_epoch != context->epoch || sidecar->caller == NULL)
    {
      buf_t name = BUF_NULL;
      buf_printf (&name, "%s/%llx", context->name,
                  (unsigned long long)context->epoch);
      buf_append_char (&name, '\0');
      free (sidecar->caller);
      sidecar->caller = name.ptr;
      sidecar->caller_epoch = context->epoch;
    }
  held_heard (sidecar->held, str_from (sidecar->caller));
}

static const rpc_hooks_t hooks = { fill_context, see_context };

/* Tell whether nobody waits for ATTEMPT any more.  */
static bool
is_orphan (const attempt_t *attempt, uint64_t now_ms)
{
  return attempt->idempotent && list_is_empty (&attempt->fetchers)
         && now_ms - attempt->touched_ms >= ORPHAN_MS;
}

static void
check_attempt (sidecar_t *sidecar, attempt_t *attempt, uint64_t now_ms)
{
  sidecar_wake_late (sidecar, attempt, now_ms);
  if (!is_orphan (attempt, now_ms))
    return;
  if (attempt->state == ATTEMPT_QUEUED)
    {
      queue_cancel (sidecar->queue, &attempt->waiter);
      sidecar_refuse (sidecar, attempt, VH_E_CANCELLED);
    }
  else if (attempt->state == ATTEMPT_RUNNING)
    sidecar_stop_call (sidecar, attempt, VH_E_CANCELLED);
}

static void
on_tick (uv_timer_t *timer)
{
  sidecar_t *sidecar = timer->data;
  uint64_t now_ms = clock_ms (sidecar->clock);

  LIST_EACH (at, attempts_live (sidecar->attempts))
    check_attempt (sidecar, CONTAINER_OF (at, attempt_t, link), now_ms);
  attempts_expire (sidecar->attempts);
  held_expire (sidecar->held);
  sidecar_pump (sidecar);
}

static void
make_counters (sidecar_t *sidecar)
{
  buf_t labels = BUF_NULL;

  buf_printf (&labels, "instance=\"%.*s\"",
              STR_ARG (sidecar->upstream->instance));
  buf_append_char (&labels, '\0');
#define X(name, series, help)                                                 \
  sidecar->counters.name                                                      \
      = metrics_counter (sidecar->options.metrics, series, labels.ptr, help);
  SIDECAR_COUNTERS (X)
#undef X
  buf_free (&labels);
}

vh_code_t
sidecar_create (const sidecar_options_t *options, sidecar_t **out)
{
  sidecar_t *sidecar = mem_zalloc (sizeof *sidecar);
  const upstream_settings_t *upstream = options->upstream;
  const limit_config_t limit = { .start = upstream->limit_initial,
                                 .max = upstream->limit_max,
                                 .tolerance = upstream->limit_tolerance };
  const queue_config_t queue
      = { .max_waiters = upstream->queue_max,
          .long_cost_min = upstream->queue_long_cost_min };
  vh_code_t code;

  *out = NULL;
  sidecar->options = *options;
  sidecar->loop = options->loop;
  sidecar->clock = options->clock;
  sidecar->upstream = upstream;
  sidecar->rng = rng_make (options->seed);
  sidecar->started_ms = clock_realtime_ms (options->clock);
  sidecar->http
      = httpc_create (options->loop, upstream->upstream, UPSTREAM_CONNECTIONS);
  if (sidecar->http == NULL)
    {
      log_err ("sidecar", "The upstream's address is not valid. address=%.*s",
               STR_ARG (upstream->upstream));
      free (sidecar);
      return VH_E_IO;
    }
  sidecar->attempts = attempts_create (options->clock,
                                       upstream->response_retention_ms > 0
                                           ? upstream->response_retention_ms
                                           : (uint64_t)KEEP_DEFAULT_MS,
                                       upstream->retained_bytes_max);
  sidecar->limit = limit_create (&limit, options->clock);
  sidecar->queue = queue_create (&queue, options->clock);
  sidecar->held = held_create (options->clock);
  sidecar->fences = map_create ();
  make_counters (sidecar);
  sidecar->node = rpc_node_create (
      options->loop, options->clock, rng_make (rng_u64 (&sidecar->rng)),
      upstream->instance, options->settings->rpc_keys,
      options->settings->rpc_keys_count, &hooks, sidecar);
  uv_timer_init (options->loop, &sidecar->tick);
  sidecar->tick.data = sidecar;
  uv_timer_start (&sidecar->tick, on_tick, TICK_MS, TICK_MS);
  uv_timer_init (options->loop, &sidecar->lapse);
  sidecar->lapse.data = sidecar;
  code = rpc_server_create (sidecar->node, upstream->listen, sidecar_serve,
                            sidecar, &sidecar->server);
  if (code != VH_OK)
    {
      sidecar_destroy (sidecar);
      return code;
    }
  *out = sidecar;
  return VH_OK;
}

uint16_t
sidecar_port (const sidecar_t *sidecar)
{
  return rpc_server_port (sidecar->server);
}

rpc_node_t *
sidecar_node (sidecar_t *sidecar)
{
  return sidecar->node;
}

void
sidecar_drain (sidecar_t *sidecar)
{
  sidecar->draining = true;
  sidecar->drain_ms = clock_ms (sidecar->clock);
}

/* Bills that would be lost if this process ended now, as far as it can know.
   An entry may have died just before the stop: only one that was heard since
   the stop began is sure to hold its bills itself.  */
static size_t
held_left (const sidecar_t *sidecar)
{
  return sidecar->draining ? held_unheard (sidecar->held, sidecar->drain_ms)
                           : held_orphans (sidecar->held);
}

size_t
sidecar_count_unfinished (const sidecar_t *sidecar)
{
  return sidecar->running + queue_waiting_count (sidecar->queue)
         + attempts_undelivered (sidecar->attempts) + held_left (sidecar);
}

bool
sidecar_is_idle (const sidecar_t *sidecar)
{
  return list_is_empty (attempts_live (sidecar->attempts));
}

static void
on_tick_closed (uv_handle_t *handle)
{
  sidecar_t *sidecar = handle->data;
  size_t cursor = 0;
  void *fence;

  while (map_next (sidecar->fences, &cursor, NULL, &fence))
    free (fence);
  map_destroy (sidecar->fences);
  attempts_destroy (sidecar->attempts);
  queue_destroy (sidecar->queue);
  limit_destroy (sidecar->limit);
  held_destroy (sidecar->held);
  snapshot_unref (sidecar->snapshot);
  free (sidecar->caller);
  free (sidecar);
}

static void
on_lapse_closed (uv_handle_t *handle)
{
  sidecar_t *sidecar = handle->data;

  uv_close ((uv_handle_t *)&sidecar->tick, on_tick_closed);
}

void
sidecar_destroy (sidecar_t *sidecar)
{
  if (sidecar == NULL || sidecar->destroyed)
    return;
  sidecar->destroyed = true;
  LIST_EACH (at, attempts_live (sidecar->attempts))
    {
      attempt_t *attempt = CONTAINER_OF (at, attempt_t, link);
      if (attempt->state == ATTEMPT_RUNNING)
        sidecar_stop_call (sidecar, attempt, VH_E_CANCELLED);
      else
        sidecar_refuse (sidecar, attempt, VH_E_CANCELLED);
    }
  rpc_server_destroy (sidecar->server);
  rpc_node_destroy (sidecar->node);
  httpc_destroy (sidecar->http);
  uv_close ((uv_handle_t *)&sidecar->lapse, on_lapse_closed);
}

uint64_t
sidecar_revision (const sidecar_t *sidecar)
{
  return sidecar->snapshot != NULL ? snapshot_revision (sidecar->snapshot) : 0;
}

/* Refuse what waits and may no longer run: withdrawn, out, not allowed.  */
static void
gate_waiting (sidecar_t *sidecar)
{
  LIST_EACH (at, attempts_live (sidecar->attempts))
    {
      attempt_t *attempt = CONTAINER_OF (at, attempt_t, link);
      if (attempt->state != ATTEMPT_QUEUED || sidecar->draining)
        continue;
      vh_code_t code = sidecar_gate (sidecar, str_from (attempt->team),
                                     str_from (attempt->target));
      if (code == VH_OK)
        continue;
      queue_cancel (sidecar->queue, &attempt->waiter);
      counter_add (sidecar->counters.gated, 1);
      sidecar_refuse (sidecar, attempt, code);
    }
}

vh_code_t
sidecar_configure (sidecar_t *sidecar, uint64_t revision, str_t text)
{
  conf_errors_t errors = { 0 };
  snapshot_t *snapshot = NULL;

  if (revision <= sidecar_revision (sidecar))
    return VH_OK;
  vh_code_t code = snapshot_parse (text, revision, &snapshot, &errors);
  conf_errors_free (&errors);
  if (code != VH_OK)
    {
      log_err ("sidecar", "A pushed configuration has errors. revision=%llu",
               (unsigned long long)revision);
      return code;
    }
  snapshot_unref (sidecar->snapshot);
  sidecar->snapshot = snapshot;
  gate_waiting (sidecar);
  return VH_OK;
}

void
sidecar_status (const sidecar_t *sidecar, buf_t *out)
{
  buf_printf (out,
              "{\"instance\":\"%.*s\",\"revision\":%llu,\"draining\":%s,"
              "\"in_flight\":%u,\"limit\":%u,\"queue\":%u,\"warming\":%s,"
              "\"deaths\":%u,\"attempts_kept\":%zu,\"answer_bytes\":%llu,"
              "\"bills_held\":%zu}",
              STR_ARG (sidecar->upstream->instance),
              (unsigned long long)sidecar_revision (sidecar),
              sidecar->draining ? "true" : "false",
              limit_in_flight (sidecar->limit), limit_slots (sidecar->limit),
              queue_waiting_count (sidecar->queue),
              limit_is_warming_up (sidecar->limit) ? "true" : "false",
              sidecar->deaths, attempts_count (sidecar->attempts),
              (unsigned long long)attempts_bytes (sidecar->attempts),
              held_count (sidecar->held));
}
