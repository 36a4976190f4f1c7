/* The RPC procedures that entries call.  */

#include "sidecar/sidecarint.h"

#include "base/log.h"

#include <jansson.h>
#include <stdlib.h>

enum
{
  FETCH_BYTES_MAX = 1 << 20,
  FETCH_WAIT_MAX_MS = 30000,
  UNSTREAMED_PIECE_BYTES = 64 << 10
};

vh_code_t
sidecar_check_admission (const sidecar_t *sidecar, str_t team_name,
                         str_t target)
{
  const snapshot_t *snapshot = sidecar->snapshot;
  bool is_served = false;

  if (sidecar->draining)
    return VH_E_DRAINING;
  if (snapshot == NULL
      || !snapshot_is_zone_enabled (snapshot, sidecar->options.settings->zone)
      || !snapshot_is_instance_enabled (snapshot, sidecar->upstream->instance))
    return VH_E_GATE;
  for (size_t i = 0; i < sidecar->upstream->served_name_count; i++)
    is_served
        = is_served || str_eq (sidecar->upstream->served_names[i], target);
  const team_t *team = snapshot_find_team (snapshot, team_name);
  if (!is_served || team == NULL)
    return VH_E_GATE;
  if (sidecar->upstream->is_service)
    {
      const service_t *service = snapshot_find_service (snapshot, target);
      return service != NULL
                     && snapshot_allows_service (snapshot, team, service)
                 ? VH_OK
                 : VH_E_GATE;
    }
  const version_t *version = snapshot_find_version (snapshot, target);
  if (version == NULL || !snapshot_allows (snapshot, team, version))
    return VH_E_GATE;
  return VH_OK;
}

static void
reply_answer (rpc_request_t *request, wire_answer_t *answer)
{
  rpc_reply (request, answer);
}

/* Reply to REQUEST with CODE and an empty answer: the attempt has not started
   and will not start.  */
static void
reply_refusal (rpc_request_t *request, vh_code_t code)
{
  wire_answer_t answer;

  memset (&answer, 0, sizeof answer);
  answer.code = (int)code;
  answer.state = WIRE_DONE;
  answer.end = true;
  reply_answer (request, &answer);
}

/* Return the cost of ATTEMPT in millionths of the unit in which the costs of
   versions are configured; 0 if the target is not a known version.  */
static uint64_t
attempt_cost (const sidecar_t *sidecar, const attempt_t *attempt)
{
  const version_t *version
      = sidecar->snapshot != NULL ? snapshot_find_version (
            sidecar->snapshot, str_from (attempt->target))
                                  : NULL;
  double tokens = (double)attempt->tokens_in + attempt->tokens_out;

  return version != NULL ? (uint64_t)(version->cost * tokens * 1000.0) : 0;
}

static void
reply_to_fetch (sidecar_t *sidecar, attempt_t *attempt, rpc_request_t *request,
                uint64_t offset, uint32_t max_bytes)
{
  wire_header_t headers[WIRE_HEADERS_MAX];
  wire_answer_t answer;

  attempt_fill_answer (attempt, offset, max_bytes, headers, &answer);
  uint64_t fetched_bytes = answer.offset + answer.bytes.bytes_len;
  if (fetched_bytes > attempt->fetched_bytes)
    attempt->fetched_bytes = fetched_bytes;
  attempt->end_delivered = attempt->end_delivered || answer.end;
  if (answer.end && attempt->code == VH_OK && attempt->status < 400
      && !attempt->has_bill)
    {
      attempt->has_bill = true;
      bill_backup_add (sidecar->bill_backup, attempt,
                       str_from (attempt->entry_id),
                       attempt_cost (sidecar, attempt));
    }
  reply_answer (request, &answer);
  sidecar_resume_reading (sidecar, attempt);
}

/* Return whether a fetch from OFFSET can be answered now.  An answer that is
   not a stream is sent whole or in large pieces, so that its bytes and its end
   take one reply instead of two.  */
static bool
is_fetch_ready (const attempt_t *attempt, uint64_t offset)
{
  uint64_t bytes_needed = attempt->stream ? 1 : UNSTREAMED_PIECE_BYTES;

  return attempt->answer.len >= offset + bytes_needed
         || attempt->state == ATTEMPT_DONE || attempt->state == ATTEMPT_FENCED;
}

static void
finish_pending_fetch (sidecar_t *sidecar, attempt_t *attempt,
                      pending_fetch_t *pending)
{
  list_remove (&pending->link);
  reply_to_fetch (sidecar, attempt, pending->request, pending->offset,
                  pending->max_bytes);
  free (pending);
}

void
sidecar_answer_fetches (sidecar_t *sidecar, attempt_t *attempt)
{
  LIST_EACH (at, &attempt->pending_fetches)
    {
      pending_fetch_t *pending = CONTAINER_OF (at, pending_fetch_t, link);
      if (is_fetch_ready (attempt, pending->offset))
        finish_pending_fetch (sidecar, attempt, pending);
    }
}

void
sidecar_answer_expired_fetches (sidecar_t *sidecar, attempt_t *attempt,
                                uint64_t now_ms)
{
  LIST_EACH (at, &attempt->pending_fetches)
    {
      pending_fetch_t *pending = CONTAINER_OF (at, pending_fetch_t, link);
      if (now_ms >= pending->timeout_at_ms)
        finish_pending_fetch (sidecar, attempt, pending);
    }
}

/* Reply to REQUEST now if the answer has enough bytes after the offset in
   ARGS, else as soon as it has them or after the wait time in ARGS.  */
static void
start_fetch (sidecar_t *sidecar, attempt_t *attempt, rpc_request_t *request,
             const wire_fetch_args_t *args)
{
  uint32_t max_bytes = args->max_bytes < FETCH_BYTES_MAX
                           ? args->max_bytes
                           : (uint32_t)FETCH_BYTES_MAX;
  uint32_t wait_ms = args->wait_ms < FETCH_WAIT_MAX_MS
                         ? args->wait_ms
                         : (uint32_t)FETCH_WAIT_MAX_MS;

  attempt->last_fetch_ms = clock_ms (sidecar->clock);
  /* The bill belongs to the entry that fetches the answer.  The sender of the
     last message before the answer's end may be another one.  */
  if (attempt->entry_id == NULL
      || strcmp (attempt->entry_id, sidecar->caller_id) != 0)
    {
      free (attempt->entry_id);
      attempt->entry_id = str_dup (str_from (sidecar->caller_id));
    }
  if (wait_ms == 0 || is_fetch_ready (attempt, args->offset))
    {
      reply_to_fetch (sidecar, attempt, request, args->offset, max_bytes);
      return;
    }
  pending_fetch_t *pending = mem_zalloc (sizeof *pending);
  pending->request = request;
  pending->offset = args->offset;
  pending->max_bytes = max_bytes;
  pending->timeout_at_ms = attempt->last_fetch_ms + wait_ms;
  list_append (&attempt->pending_fetches, &pending->link);
}

void
sidecar_reject_attempt (sidecar_t *sidecar, attempt_t *attempt, vh_code_t code)
{
  attempt->state = ATTEMPT_DONE;
  attempt->code = code;
  if (code == VH_E_FULL || code == VH_E_DEADLINE)
    attempt->retry_after_ms
        = (uint32_t)(queue_estimate_wait_us (sidecar->queue,
                                             str_from (attempt->team),
                                             attempt->cost)
                     / 1000);
  attempts_end (sidecar->attempts, attempt);
  counter_add (sidecar->counters.refused, 1);
  sidecar_answer_fetches (sidecar, attempt);
}

/* Return whether the request in ARGS is to share ATTEMPT, an earlier attempt
   under the same request id, instead of starting a new one.  That is so if
   ATTEMPT is queued or running, has succeeded, or may have been executed and
   the request is not idempotent.  */
static bool
can_share (const attempt_t *attempt, const wire_submit_args_t *args)
{
  if (attempt->state == ATTEMPT_FENCED)
    return false;
  if (attempt->state != ATTEMPT_DONE)
    return true;
  if (attempt->code == VH_OK && attempt->status < 500)
    return true;
  return attempt->started && !args->idempotent;
}

static void
enqueue_attempt (sidecar_t *sidecar, attempt_t *attempt,
                 const wire_submit_args_t *args)
{
  static const queue_priority_t priorities[]
      = { [WIRE_PRIORITY_LOW] = QUEUE_PRIORITY_LOW,
          [WIRE_PRIORITY_NORMAL] = QUEUE_PRIORITY_NORMAL,
          [WIRE_PRIORITY_HIGH] = QUEUE_PRIORITY_HIGH };
  queue_waiter_t *evicted = NULL;
  queue_job_t job
      = { .team = str_from (attempt->team),
          .cost = args->cost > 0 ? args->cost : 1,
          .priority = priorities[args->priority],
          .deadline_us = attempt->deadline_ms > 0 ? attempt->deadline_ms * 1000
                                                  : QUEUE_NO_DEADLINE };

  queue_set_weight (sidecar->queue, job.team, args->weight);
  vh_code_t code
      = queue_push (sidecar->queue, &attempt->waiter, &job, &evicted);
  if (evicted != NULL)
    sidecar_reject_attempt (sidecar, CONTAINER_OF (evicted, attempt_t, waiter),
                            VH_E_FULL);
  if (code != VH_OK)
    sidecar_reject_attempt (sidecar, attempt, code);
  sidecar_dispatch (sidecar);
}

static void
serve_submit (sidecar_t *sidecar, rpc_request_t *request,
              wire_submit_args_t *args)
{
  str_t id = str_from (args->attempt);
  wire_fetch_args_t first_fetch = { .attempt = args->attempt,
                                    .max_bytes = args->max_bytes,
                                    .wait_ms = args->wait_ms };

  counter_add (sidecar->counters.submitted, 1);
  /* The call was addressed to an earlier process of this sidecar, which may
     have started the attempt.  The reply is VH_E_NO_ATTEMPT, as this process
     has no record of the attempt.  */
  if (args->epoch != 0 && args->epoch != rpc_node_epoch (sidecar->node))
    {
      reply_refusal (request, VH_E_NO_ATTEMPT);
      return;
    }
  attempt_t *attempt = attempts_find (sidecar->attempts, id);
  if (attempt != NULL)
    {
      /* The entry repeated the call on a new connection.  */
      start_fetch (sidecar, attempt, request, &first_fetch);
      return;
    }
  attempt = attempts_find_request (sidecar->attempts, str_from (args->team),
                                   str_from (args->request_id));
  if (attempt != NULL && can_share (attempt, args))
    {
      if (attempt->request_digest != args->digest)
        {
          reply_refusal (request, VH_E_KEY_REUSED);
          return;
        }
      counter_add (sidecar->counters.joined, 1);
      attempts_add_alias (sidecar->attempts, id, attempt);
      start_fetch (sidecar, attempt, request, &first_fetch);
      return;
    }
  vh_code_t code = sidecar_check_admission (sidecar, str_from (args->team),
                                            str_from (args->target));
  if (code == VH_OK && !attempts_fit (sidecar->attempts, args->body.body_len))
    code = VH_E_FULL;
  if (code != VH_OK)
    {
      counter_add (sidecar->counters.not_admitted, 1);
      reply_refusal (request, code);
      return;
    }
  attempt = attempts_add (sidecar->attempts, args);
  enqueue_attempt (sidecar, attempt, args);
  start_fetch (sidecar, attempt, request, &first_fetch);
}

static void
serve_fetch (sidecar_t *sidecar, rpc_request_t *request,
             wire_fetch_args_t *args)
{
  attempt_t *attempt
      = attempts_find (sidecar->attempts, str_from (args->attempt));

  if (attempt == NULL)
    reply_refusal (request, VH_E_NO_ATTEMPT);
  else
    start_fetch (sidecar, attempt, request, args);
}

static void
reply_code (rpc_request_t *request, vh_code_t code)
{
  wire_code_res_t result = { .code = (int)code };

  rpc_reply (request, &result);
}

static void
serve_cancel (sidecar_t *sidecar, rpc_request_t *request,
              wire_attempt_args_t *args)
{
  attempt_t *attempt
      = attempts_find (sidecar->attempts, str_from (args->attempt));

  if (attempt == NULL)
    {
      reply_code (request, VH_E_NO_ATTEMPT);
      return;
    }
  /* An attempt that other requests share continues.  So does a running one
     that is not idempotent, since its outcome must be recorded.  */
  bool is_unshared = attempt->id_count == 1;
  if (attempt->state == ATTEMPT_QUEUED && is_unshared)
    {
      queue_cancel (sidecar->queue, &attempt->waiter);
      sidecar_reject_attempt (sidecar, attempt, VH_E_CANCELLED);
      counter_add (sidecar->counters.cancelled, 1);
    }
  else if (attempt->state == ATTEMPT_RUNNING && is_unshared
           && attempt->idempotent)
    {
      sidecar_abort_call (sidecar, attempt, VH_E_CANCELLED);
      counter_add (sidecar->counters.cancelled, 1);
      sidecar_dispatch (sidecar);
    }
  reply_code (request, VH_OK);
}

static void
serve_fence (sidecar_t *sidecar, rpc_request_t *request,
             wire_attempt_args_t *args)
{
  str_t id = str_from (args->attempt);
  attempt_t *attempt = attempts_find (sidecar->attempts, id);
  vh_code_t code = VH_E_FENCED;

  if (args->epoch != 0 && args->epoch != rpc_node_epoch (sidecar->node))
    {
      reply_code (request, VH_E_NO_ATTEMPT);
      return;
    }
  if (attempt == NULL)
    {
      /* The SUBMIT may arrive later; the fence will stop it.  */
      attempts_add_fenced (sidecar->attempts, id);
    }
  else if (attempt->state == ATTEMPT_QUEUED)
    {
      queue_cancel (sidecar->queue, &attempt->waiter);
      sidecar_reject_attempt (sidecar, attempt, VH_E_FENCED);
    }
  else if (attempt->started)
    code = VH_E_STARTED;
  if (code == VH_E_FENCED)
    counter_add (sidecar->counters.fenced, 1);
  reply_code (request, code);
}

static void
serve_recall (sidecar_t *sidecar, rpc_request_t *request,
              wire_recall_args_t *args)
{
  char empty[] = "";
  attempt_t *attempt = attempts_find_request (
      sidecar->attempts, str_from (args->team), str_from (args->request_id));
  wire_recall_res_t result = { .code = VH_E_NO_ATTEMPT, .attempt = empty };

  if (attempt != NULL)
    {
      result.code = VH_OK;
      result.attempt = attempt->id;
      result.digest = attempt->request_digest;
    }
  rpc_reply (request, &result);
}

static void
serve_ping (sidecar_t *sidecar, rpc_request_t *request,
            const wire_ping_args_t *args)
{
  const upstream_settings_t *upstream = sidecar->upstream;
  char **serves
      = mem_zalloc ((upstream->served_name_count + 1) * sizeof *serves);
  char *instance = str_dup (upstream->instance);
  char *zone = str_dup (sidecar->options.settings->zone);
  size_t suspects = sidecar->suspects_recorded < RECENT_SUSPECTS_MAX
                        ? sidecar->suspects_recorded
                        : (size_t)RECENT_SUSPECTS_MAX;
  wire_ping_res_t result
      = { .sequence = args->sequence,
          .instance = instance,
          .zone = zone,
          .is_service = upstream->is_service,
          .features = upstream->features,
          .started_ms = sidecar->started_real_ms,
          .orphans = (u_int)bill_backup_count_orphans (sidecar->bill_backup),
          .serves = { (u_int)upstream->served_name_count, serves },
          .suspects = { (u_int)suspects, sidecar->suspects } };

  for (size_t i = 0; i < upstream->served_name_count; i++)
    serves[i] = str_dup (upstream->served_names[i]);
  rpc_reply (request, &result);
  for (size_t i = 0; i < upstream->served_name_count; i++)
    free (serves[i]);
  free (serves);
  free (instance);
  free (zone);
}

static void
serve_config_push (sidecar_t *sidecar, rpc_request_t *request,
                   const wire_config_push_args_t *args)
{
  str_t update = str_make (args->update.update_val, args->update.update_len);

  reply_code (request, sidecar->options.callbacks->apply_update (
                           sidecar->options.arg, update));
}

static void
serve_config_pull (sidecar_t *sidecar, rpc_request_t *request,
                   const wire_config_pull_args_t *args)
{
  wire_config_pull_res_t result;
  buf_t update = BUF_NULL;

  sidecar->options.callbacks->append_update (sidecar->options.arg, args->have,
                                             &update);
  result.update.update_val = update.ptr;
  result.update.update_len = (u_int)update.len;
  rpc_reply (request, &result);
  buf_free (&update);
}

static void
serve_bills_drop (sidecar_t *sidecar, rpc_request_t *request,
                  const wire_bills_drop_args_t *args)
{
  for (u_int i = 0; i < args->bill_ids.bill_ids_len; i++)
    bill_backup_remove (sidecar->bill_backup,
                        str_from (args->bill_ids.bill_ids_val[i]));
  reply_code (request, VH_OK);
}

static void
serve_bills_take (sidecar_t *sidecar, rpc_request_t *request,
                  const wire_bills_take_args_t *args)
{
  wire_bills_take_res_t result;
  size_t max_count = args->most < WIRE_BILLS_MAX ? args->most : WIRE_BILLS_MAX;

  result.bills.bills_val = mem_zalloc ((max_count + 1) * sizeof (wire_bill_t));
  result.bills.bills_len = (u_int)bill_backup_adopt (
      sidecar->bill_backup, str_from (sidecar->caller_id), max_count,
      result.bills.bills_val);
  rpc_reply (request, &result);
  free (result.bills.bills_val);
}

static void
on_order_done (void *arg, vh_code_t code, int status, str_t body)
{
  (void)body;
  if (code == VH_OK && status >= 400)
    code = VH_E_UPSTREAM_ERROR;
  reply_code (arg, code);
}

/* Forward an order to the engine unless its fencing number is stale.  The
   check protects engines that ignore fencing numbers from orders of a former
   lease holder.  */
static void
serve_order (sidecar_t *sidecar, rpc_request_t *request,
             const wire_order_args_t *args)
{
  str_t subject = str_from (args->subject);
  uint64_t *highest = map_get (sidecar->fence_by_subject, subject);

  if ((sidecar->upstream->features & FEATURE_ORDERS) == 0)
    {
      reply_code (request, VH_E_NO_ROUTE);
      return;
    }
  if (highest != NULL && args->fence < *highest)
    {
      reply_code (request, VH_E_STALE_LEASE);
      return;
    }
  if (highest == NULL)
    {
      highest = mem_alloc (sizeof *highest);
      map_put (sidecar->fence_by_subject, subject, highest);
    }
  *highest = args->fence;
  buf_t body = BUF_NULL;
  buf_printf (&body, "{\"order\":\"");
  buf_append_json_escaped (&body, str_from (args->kind));
  buf_printf (&body, "\",\"subject\":\"");
  buf_append_json_escaped (&body, subject);
  buf_printf (&body, "\",\"fence\":%llu}", (unsigned long long)args->fence);
  const httpc_header_t type
      = { STR ("content-type"), STR ("application/json") };
  const httpc_request_t order = { .method = STR ("POST"),
                                  .path = STR ("/orders"),
                                  .headers = &type,
                                  .header_count = 1,
                                  .body = buf_str (&body),
                                  .timeout_ms = 10000 };
  httpc_fetch (sidecar->http_client, &order, ANSWER_UNFETCHED_BYTES_MAX,
               on_order_done, request);
  buf_free (&body);
}

static void
serve_status (sidecar_t *sidecar, rpc_request_t *request)
{
  buf_t json = BUF_NULL;
  wire_status_res_t result;

  sidecar_status (sidecar, &json);
  result.json.json_val = json.ptr;
  result.json.json_len = (u_int)json.len;
  rpc_reply (request, &result);
  buf_free (&json);
}

void
sidecar_handle_rpc (void *arg, rpc_request_t *request, uint32_t proc,
                    void *args)
{
  sidecar_t *sidecar = arg;

  switch (proc)
    {
    case WIRE_PING:
      serve_ping (sidecar, request, args);
      break;
    case WIRE_SUBMIT:
      serve_submit (sidecar, request, args);
      break;
    case WIRE_FETCH:
      serve_fetch (sidecar, request, args);
      break;
    case WIRE_CANCEL:
      serve_cancel (sidecar, request, args);
      break;
    case WIRE_FENCE:
      serve_fence (sidecar, request, args);
      break;
    case WIRE_RECALL:
      serve_recall (sidecar, request, args);
      break;
    case WIRE_CONFIG_PUSH:
      serve_config_push (sidecar, request, args);
      break;
    case WIRE_CONFIG_PULL:
      serve_config_pull (sidecar, request, args);
      break;
    case WIRE_BILLS_DROP:
      serve_bills_drop (sidecar, request, args);
      break;
    case WIRE_BILLS_TAKE:
      serve_bills_take (sidecar, request, args);
      break;
    case WIRE_ORDER:
      serve_order (sidecar, request, args);
      break;
    case WIRE_STATUS:
      serve_status (sidecar, request);
      break;
    case WIRE_EVIDENCE:
      {
        wire_evidence_res_t empty_reply;
        memset (&empty_reply, 0, sizeof empty_reply);
        rpc_reply (request, &empty_reply);
        break;
      }
    default:
      reply_code (request, VH_E_NO_ROUTE);
      break;
    }
}
