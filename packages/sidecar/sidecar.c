#include "sidecar/sidecarint.h"

#include "base/log.h"

#include <stdlib.h>

enum
{
  MAINTENANCE_INTERVAL_MS = 25,
  ANSWER_KEEP_DEFAULT_MS = 300000,
  UPSTREAM_IDLE_CONNECTIONS_MAX = 256
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
  load->latency_us = (u_int)sidecar->mean_first_byte_us;
  load->deaths = sidecar->crash_count;
  load->warming = limit_is_warming_up (sidecar->limit);
}

static void
record_caller (void *arg, rpc_peer_t *peer, const wire_context_t *context)
{
  sidecar_t *sidecar = arg;

  (void)peer;
  if (sidecar->caller_epoch != context->epoch || sidecar->caller_id == NULL)
    {
      buf_t name = BUF_NULL;
      buf_printf (&name, "%s/%llx", context->name,
                  (unsigned long long)context->epoch);
      buf_append_char (&name, '\0');
      free (sidecar->caller_id);
      sidecar->caller_id = name.ptr;
      sidecar->caller_epoch = context->epoch;
    }
  bill_backup_record_contact (sidecar->bill_backup,
                              str_from (sidecar->caller_id));
}

static const rpc_hooks_t rpc_hooks = { fill_context, record_caller };

/* Return whether ATTEMPT may be cancelled because no entry has fetched its
   answer for ABANDONED_ATTEMPT_MS.  */
static bool
is_abandoned (const attempt_t *attempt, uint64_t now_ms)
{
  return attempt->idempotent && list_is_empty (&attempt->pending_fetches)
         && now_ms - attempt->last_fetch_ms >= ABANDONED_ATTEMPT_MS;
}

static void
maintain_attempt (sidecar_t *sidecar, attempt_t *attempt, uint64_t now_ms)
{
  sidecar_answer_expired_fetches (sidecar, attempt, now_ms);
  if (!is_abandoned (attempt, now_ms))
    return;
  if (attempt->state == ATTEMPT_QUEUED)
    {
      queue_cancel (sidecar->queue, &attempt->waiter);
      sidecar_reject_attempt (sidecar, attempt, VH_E_CANCELLED);
    }
  else if (attempt->state == ATTEMPT_RUNNING)
    sidecar_abort_call (sidecar, attempt, VH_E_CANCELLED);
}

static void
on_maintenance_timer (uv_timer_t *timer)
{
  sidecar_t *sidecar = timer->data;
  uint64_t now_ms = clock_ms (sidecar->clock);

  LIST_EACH (at, attempts_active (sidecar->attempts))
    maintain_attempt (sidecar, CONTAINER_OF (at, attempt_t, link), now_ms);
  attempts_expire (sidecar->attempts);
  bill_backup_remove_dead_entry (sidecar->bill_backup);
  sidecar_dispatch (sidecar);
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
  const limit_config_t limit = { .initial_slots = upstream->limit_initial,
                                 .max_slots = upstream->limit_max,
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
  sidecar->started_real_ms = clock_realtime_ms (options->clock);
  sidecar->http_client = httpc_create (options->loop, upstream->upstream,
                                       UPSTREAM_IDLE_CONNECTIONS_MAX);
  if (sidecar->http_client == NULL)
    {
      log_err ("sidecar",
               "The upstream's address is not valid; the sidecar does not "
               "start. address=%.*s",
               STR_ARG (upstream->upstream));
      free (sidecar);
      return VH_E_IO;
    }
  sidecar->attempts = attempts_create (
      options->clock,
      upstream->response_retention_ms > 0 ? upstream->response_retention_ms
                                          : (uint64_t)ANSWER_KEEP_DEFAULT_MS,
      upstream->retained_bytes_max, options->memory);
  sidecar->limit = limit_create (&limit, options->clock);
  sidecar->queue = queue_create (&queue, options->clock);
  sidecar->bill_backup = bill_backup_create (options->clock);
  sidecar->fence_by_subject = map_create ();
  make_counters (sidecar);
  sidecar->node = rpc_node_create (
      options->loop, options->clock, rng_make (rng_u64 (&sidecar->rng)),
      upstream->instance, options->settings->rpc_keys,
      options->settings->rpc_keys_count, &rpc_hooks, sidecar);
  uv_timer_init (options->loop, &sidecar->maintenance_timer);
  sidecar->maintenance_timer.data = sidecar;
  uv_timer_start (&sidecar->maintenance_timer, on_maintenance_timer,
                  MAINTENANCE_INTERVAL_MS, MAINTENANCE_INTERVAL_MS);
  uv_timer_init (options->loop, &sidecar->expiry_timer);
  sidecar->expiry_timer.data = sidecar;
  code = rpc_server_create (sidecar->node, upstream->listen,
                            sidecar_handle_rpc, sidecar, &sidecar->server);
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
  sidecar->drain_started_ms = clock_ms (sidecar->clock);
}

/* Return the number of bills that may be lost if this process stops now.
   During a drain an entry may have crashed just before the drain began: only
   an entry that has sent a message since then is known to have its bills.  */
static size_t
count_bills_at_risk (const sidecar_t *sidecar)
{
  return sidecar->draining ? bill_backup_count_silent (
             sidecar->bill_backup, sidecar->drain_started_ms)
                           : bill_backup_count_orphans (sidecar->bill_backup);
}

size_t
sidecar_count_unfinished (const sidecar_t *sidecar)
{
  return sidecar->running_count + queue_waiting_count (sidecar->queue)
         + attempts_count_undelivered (sidecar->attempts)
         + count_bills_at_risk (sidecar);
}

bool
sidecar_is_idle (const sidecar_t *sidecar)
{
  return list_is_empty (attempts_active (sidecar->attempts));
}

static void
on_maintenance_timer_closed (uv_handle_t *handle)
{
  sidecar_t *sidecar = handle->data;
  size_t cursor = 0;
  void *fence;

  while (map_next (sidecar->fence_by_subject, &cursor, NULL, &fence))
    free (fence);
  map_destroy (sidecar->fence_by_subject);
  attempts_destroy (sidecar->attempts);
  queue_destroy (sidecar->queue);
  limit_destroy (sidecar->limit);
  bill_backup_destroy (sidecar->bill_backup);
  snapshot_unref (sidecar->snapshot);
  free (sidecar->caller_id);
  free (sidecar);
}

static void
on_expiry_timer_closed (uv_handle_t *handle)
{
  sidecar_t *sidecar = handle->data;

  uv_close ((uv_handle_t *)&sidecar->maintenance_timer,
            on_maintenance_timer_closed);
}

void
sidecar_destroy (sidecar_t *sidecar)
{
  if (sidecar == NULL || sidecar->is_destroyed)
    return;
  sidecar->is_destroyed = true;
  LIST_EACH (at, attempts_active (sidecar->attempts))
    {
      attempt_t *attempt = CONTAINER_OF (at, attempt_t, link);
      if (attempt->state == ATTEMPT_RUNNING)
        sidecar_abort_call (sidecar, attempt, VH_E_CANCELLED);
      else
        sidecar_reject_attempt (sidecar, attempt, VH_E_CANCELLED);
    }
  rpc_server_destroy (sidecar->server);
  rpc_node_destroy (sidecar->node);
  httpc_destroy (sidecar->http_client);
  uv_close ((uv_handle_t *)&sidecar->expiry_timer, on_expiry_timer_closed);
}

uint64_t
sidecar_revision (const sidecar_t *sidecar)
{
  return sidecar->snapshot != NULL ? snapshot_revision (sidecar->snapshot) : 0;
}

/* Reject the queued attempts that the new configuration no longer admits: the
   version is withdrawn, the zone or the instance is out of service, or the
   team has lost its access.  */
static void
reject_not_admitted (sidecar_t *sidecar)
{
  LIST_EACH (at, attempts_active (sidecar->attempts))
    {
      attempt_t *attempt = CONTAINER_OF (at, attempt_t, link);
      if (attempt->state != ATTEMPT_QUEUED || sidecar->draining)
        continue;
      vh_code_t code = sidecar_check_admission (
          sidecar, str_from (attempt->team), str_from (attempt->target));
      if (code == VH_OK)
        continue;
      queue_cancel (sidecar->queue, &attempt->waiter);
      counter_add (sidecar->counters.not_admitted, 1);
      sidecar_reject_attempt (sidecar, attempt, code);
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
      log_err ("sidecar",
               "The received configuration has errors and is ignored. "
               "revision=%llu",
               (unsigned long long)revision);
      return code;
    }
  snapshot_unref (sidecar->snapshot);
  sidecar->snapshot = snapshot;
  reject_not_admitted (sidecar);
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
              sidecar->crash_count, attempts_count (sidecar->attempts),
              (unsigned long long)attempts_bytes (sidecar->attempts),
              bill_backup_count (sidecar->bill_backup));
}
