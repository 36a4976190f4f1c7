/* Calls to the upstream: dispatch of queued attempts, receipt of answers and
   detection of crashes of the upstream.  */

#include "sidecar/sidecarint.h"

#include "base/log.h"
#include "sidecar/usage.h"

#include <stdlib.h>

enum
{
  /* Time-out of the probe after an answer was cut off.  A cut answer alone may
     be caused by the request; a connection that is refused right afterwards
     shows that the upstream has crashed.  */
  CRASH_PROBE_TIMEOUT_MS = 500,
  /* Minimum time over which the pace of a stream is sampled.  Gaps between
     single bytes depend on the scheduler as much as on the engine.  */
  PACE_SAMPLE_MIN_US = 200000,
  /* Number of prompt tokens that an engine reads in the time in which it
     writes one output token.  The entry's cost estimate uses the same
     ratio.  */
  PROMPT_TOKENS_PER_COST_UNIT = 8,
  UPSTREAM_TIMEOUT_DEFAULT_MS = 600000
};

static bool
is_header_forwarded (str_t name)
{
  static const char *const dropped[] = { "connection",     "transfer-encoding",
                                         "content-length", "keep-alive",
                                         "date",           "server" };

  for (size_t i = 0; i < sizeof dropped / sizeof dropped[0]; i++)
    if (str_eq_nocase (name, str_from (dropped[i])))
      return false;
  return true;
}

static void
store_head (void *arg, int status, const httpc_header_t *headers, size_t count)
{
  attempt_t *attempt = arg;

  attempt->status = status;
  attempt->headers = mem_zalloc ((count + 1) * sizeof *attempt->headers);
  for (size_t i = 0; i < count; i++)
    {
      if (!is_header_forwarded (headers[i].name))
        continue;
      attempt_header_t *header = &attempt->headers[attempt->header_count++];
      header->name = str_dup (headers[i].name);
      header->value = str_dup (headers[i].value);
    }
}

/* Callback argument of a call to the upstream.  */
typedef struct
{
  sidecar_t *sidecar;
  attempt_t *attempt;
} call_arg_t;

static void
on_call_head (void *arg, int status, const httpc_header_t *headers,
              size_t count)
{
  store_head (((call_arg_t *)arg)->attempt, status, headers, count);
}

static void
record_first_byte (sidecar_t *sidecar, attempt_t *attempt)
{
  attempt->first_byte_at_us = clock_us (sidecar->clock);
  uint64_t took_us = attempt->first_byte_at_us - attempt->started_us;
  if (sidecar->mean_first_byte_us == 0)
    sidecar->mean_first_byte_us = took_us;
  else
    sidecar->mean_first_byte_us
        = (7 * sidecar->mean_first_byte_us + took_us) / 8;
}

/* Count the stream events that end in the answer at or after offset FROM.  */
static void
count_events (attempt_t *attempt, size_t from)
{
  const char *text = attempt->answer.ptr;

  for (size_t i = from > 0 ? from : 1; i < attempt->answer.len; i++)
    if (text[i] == '\n' && text[i - 1] == '\n')
      attempt->event_count++;
}

/* Report the pace of a stream to the concurrency limit while the stream runs.
   When an engine becomes cold during jobs that last minutes, the latencies of
   ended jobs would show the slowdown minutes too late.  */
static void
sample_pace (sidecar_t *sidecar, attempt_t *attempt)
{
  uint64_t now_us = clock_us (sidecar->clock);
  uint64_t took_us = now_us - attempt->pace_sampled_at_us;

  if (took_us < PACE_SAMPLE_MIN_US
      || attempt->event_count == attempt->events_sampled)
    return;
  if (attempt->crash_count_at_start == sidecar->crash_count)
    limit_report_progress (sidecar->limit, took_us,
                           attempt->event_count - attempt->events_sampled);
  attempt->pace_sampled_at_us = now_us;
  attempt->events_sampled = attempt->event_count;
}

/* Process the bytes of a stream that were appended at offset FROM.  */
static void
process_stream_bytes (sidecar_t *sidecar, attempt_t *attempt, size_t from)
{
  bool is_first = from == 0;

  count_events (attempt, from);
  if (!is_first)
    {
      sample_pace (sidecar, attempt);
      return;
    }
  /* The time to the first byte was spent on the prompt and is not part of
     the pace.  */
  attempt->pace_sampled_at_us = attempt->first_byte_at_us;
  attempt->events_sampled = attempt->event_count;
}

static void
on_call_chunk (void *arg, str_t bytes)
{
  call_arg_t *call_arg = arg;
  attempt_t *attempt = call_arg->attempt;

  if (attempt->first_byte_at_us == 0)
    record_first_byte (call_arg->sidecar, attempt);
  if (attempt->answer.len + bytes.len > ATTEMPT_ANSWER_BYTES_MAX)
    {
      sidecar_abort_call (call_arg->sidecar, attempt, VH_E_TOO_LARGE);
      return;
    }
  size_t from = attempt->answer.len;
  attempt_append (attempt, bytes);
  if (attempt->stream && !call_arg->sidecar->upstream->is_service)
    process_stream_bytes (call_arg->sidecar, attempt, from);
  /* Bounds the memory that a slow caller takes up.  An attempt that is not
     idempotent is read to its end all the same, since its outcome must be
     recorded.  */
  if (attempt->idempotent && !attempt->paused
      && attempt->answer.len - attempt->fetched_bytes
             > ANSWER_UNFETCHED_BYTES_MAX)
    {
      attempt->paused = true;
      attempt->paused_at_us = clock_us (call_arg->sidecar->clock);
      httpc_pause (attempt->call);
    }
  sidecar_answer_fetches (call_arg->sidecar, attempt);
}

/* Remove ATTEMPT from the counts of running attempts.  */
static void
remove_from_running (sidecar_t *sidecar, attempt_t *attempt)
{
  sidecar->running_count--;
  if (!attempt->idempotent)
    sidecar->running_nonidempotent_count--;
  if (attempt->is_suspect)
    sidecar->running_suspect_count--;
}

static void
end_attempt (sidecar_t *sidecar, attempt_t *attempt, vh_code_t code)
{
  attempt->state = ATTEMPT_DONE;
  attempt->code = code;
  attempt->call = NULL;
  attempts_end (sidecar->attempts, attempt);
  sidecar_answer_fetches (sidecar, attempt);
}

static void
record_suspect (sidecar_t *sidecar, const attempt_t *attempt,
                uint64_t crash_id)
{
  size_t i = sidecar->suspects_recorded % RECENT_SUSPECTS_MAX;

  sidecar->suspects[i]
      = (wire_suspect_t){ attempt->request_digest,
                          str_hash (str_from (attempt->request_key), 0),
                          crash_id };
  sidecar->suspects_recorded++;
}

typedef struct
{
  sidecar_t *sidecar;
  attempt_t *attempt;
} probe_t;

/* The probe after a cut answer has ended.  If its connection was refused, the
   upstream has crashed.  All attempts that end by the same crash get the same
   crash id.  */
static void
on_probe (void *arg, vh_code_t code, int status, str_t body)
{
  probe_t *probe = arg;
  sidecar_t *sidecar = probe->sidecar;
  attempt_t *attempt = probe->attempt;

  (void)status;
  (void)body;
  if (!sidecar->is_destroyed)
    {
      if (code == VH_E_CONNECT)
        {
          uint64_t crash_id = rpc_node_epoch (sidecar->node)
                              ^ (attempt->crash_count_at_start + 1);
          attempt->crash_id = crash_id;
          record_suspect (sidecar, attempt, crash_id);
          log_warning ("sidecar",
                       "Upstream crashed with this request in flight. "
                       "instance=%.*s request=%s",
                       STR_ARG (sidecar->upstream->instance),
                       attempt->request_id);
          /* Only the first probe to detect a crash restarts the limit, which
             also drops the slots of all other attempts.  */
          if (attempt->crash_count_at_start == sidecar->crash_count)
            {
              sidecar->crash_count++;
              counter_add (sidecar->counters.upstream_crashes, 1);
              limit_reset (sidecar->limit);
            }
        }
      end_attempt (sidecar, attempt, VH_E_UPSTREAM_CUT);
      sidecar_dispatch (sidecar);
    }
  free (probe);
}

static void
probe_for_crash (sidecar_t *sidecar, attempt_t *attempt)
{
  const httpc_request_t request = { .method = STR ("GET"),
                                    .path = STR ("/"),
                                    .timeout_ms = CRASH_PROBE_TIMEOUT_MS };
  probe_t *probe = mem_alloc (sizeof *probe);

  *probe = (probe_t){ sidecar, attempt };
  httpc_fetch (sidecar->http_client, &request, ANSWER_UNFETCHED_BYTES_MAX,
               on_probe, probe);
}

/* Return the time that the upstream has spent on ATTEMPT, without the pauses
   caused by a slow caller.  */
static uint64_t
service_time_us (const sidecar_t *sidecar, const attempt_t *attempt)
{
  uint64_t now_us = clock_us (sidecar->clock);
  uint64_t idle_us = attempt->paused_us;

  if (attempt->paused)
    idle_us += now_us - attempt->paused_at_us;
  return now_us - attempt->started_us - idle_us;
}

/* Return the work of ATTEMPT in units of one output token.  Prompt tokens in
   the engine's cache cost nothing; counted as work they would give a best
   latency per unit that other requests can't reach.  */
static uint32_t
cost_units (const attempt_t *attempt)
{
  uint32_t cached = attempt->tokens_cached < attempt->tokens_in
                        ? attempt->tokens_cached
                        : attempt->tokens_in;
  uint32_t units
      = attempt->tokens_out
        + (attempt->tokens_in - cached) / PROMPT_TOKENS_PER_COST_UNIT;

  return units > 0 ? units : 1;
}

/* Release ATTEMPT's slot of the concurrency limit, unless a crash of the
   upstream has dropped all slots since the call began.  */
static void
release_limit_slot (sidecar_t *sidecar, const attempt_t *attempt,
                    uint64_t took_us, uint32_t units, bool ok)
{
  if (attempt->crash_count_at_start != sidecar->crash_count)
    return;
  limit_release (sidecar->limit, took_us, units, ok);
  queue_set_slots (sidecar->queue, limit_slots (sidecar->limit));
}

/* Release the slots of ATTEMPT, whose call ended with CODE, in the limit and
   in the queue, and count the attempt as failed or answered.  */
static void
release_slots (sidecar_t *sidecar, attempt_t *attempt, vh_code_t code)
{
  uint64_t took_us = service_time_us (sidecar, attempt);
  bool failed = code != VH_OK || attempt->status >= 500;
  uint32_t units = cost_units (attempt);

  release_limit_slot (sidecar, attempt, took_us, units, !failed);
  queue_done (sidecar->queue, &attempt->waiter, took_us, units);
  remove_from_running (sidecar, attempt);
  counter_add (failed ? sidecar->counters.failed : sidecar->counters.answered,
               1);
}

static void
on_call_done (void *arg, vh_code_t code)
{
  call_arg_t *call_arg = arg;
  sidecar_t *sidecar = call_arg->sidecar;
  attempt_t *attempt = call_arg->attempt;

  free (call_arg);
  attempt->call_arg = NULL;
  if (code == VH_OK && !sidecar->upstream->is_service)
    usage_parse (buf_str (&attempt->answer), attempt->stream,
                 attempt->body.len, &attempt->tokens_in, &attempt->tokens_out,
                 &attempt->tokens_cached);
  release_slots (sidecar, attempt, code);
  if (code == VH_E_CONNECT)
    {
      /* The upstream received nothing of the request.  */
      attempt->started = false;
      end_attempt (sidecar, attempt, VH_E_UPSTREAM_DOWN);
    }
  else if (code == VH_E_UPSTREAM_CUT || code == VH_E_PROTOCOL
           || code == VH_E_TOO_LARGE)
    {
      attempt->call = NULL;
      probe_for_crash (sidecar, attempt);
    }
  else
    end_attempt (sidecar, attempt, code);
  sidecar_dispatch (sidecar);
}

static const httpc_events_t call_events
    = { on_call_head, on_call_chunk, on_call_done };

void
sidecar_abort_call (sidecar_t *sidecar, attempt_t *attempt, vh_code_t code)
{
  if (attempt->call == NULL)
    return;
  httpc_cancel (attempt->call);
  free (attempt->call_arg);
  attempt->call_arg = NULL;
  if (attempt->first_byte_at_us > 0)
    {
      /* A cancelled request is no failure of the upstream, and the events
         received so far are a valid sample of its speed.  */
      uint32_t units = attempt->event_count > 0 ? attempt->event_count : 1;
      release_limit_slot (sidecar, attempt, service_time_us (sidecar, attempt),
                          units, true);
      queue_done (sidecar->queue, &attempt->waiter, 0, units);
    }
  else
    {
      if (attempt->crash_count_at_start == sidecar->crash_count)
        limit_release_without_sample (sidecar->limit);
      queue_cancel (sidecar->queue, &attempt->waiter);
    }
  remove_from_running (sidecar, attempt);
  end_attempt (sidecar, attempt, code);
}

void
sidecar_resume_reading (const sidecar_t *sidecar, attempt_t *attempt)
{
  if (!attempt->paused
      || attempt->answer.len - attempt->fetched_bytes
             > ANSWER_UNFETCHED_BYTES_MAX / 2)
    return;
  uint64_t idle_us = clock_us (sidecar->clock) - attempt->paused_at_us;
  attempt->paused = false;
  attempt->paused_us += idle_us;
  attempt->pace_sampled_at_us += idle_us;
  httpc_resume (attempt->call);
}

/* Send ATTEMPT's request to the upstream.  */
static void
start_call (sidecar_t *sidecar, attempt_t *attempt)
{
  size_t header_count = attempt->request_header_count;
  httpc_header_t *headers = mem_alloc ((header_count + 2) * sizeof *headers);
  static const char *const priorities[] = { "low", "normal", "high" };
  call_arg_t *call_arg = mem_alloc (sizeof *call_arg);

  for (size_t i = 0; i < header_count; i++)
    {
      headers[i].name = str_from (attempt->request_headers[i].name);
      headers[i].value = str_from (attempt->request_headers[i].value);
    }
  headers[header_count].name = STR ("vanillahook-request-id");
  headers[header_count++].value = str_from (attempt->request_id);
  if ((sidecar->upstream->features & FEATURE_PRIORITY) != 0)
    {
      headers[header_count].name = STR ("vanillahook-priority");
      headers[header_count++].value = str_from (priorities[attempt->priority]);
    }
  uint64_t timeout_ms = sidecar->upstream->upstream_timeout_ms;
  const httpc_request_t request
      = { .method = str_from (attempt->method),
          .path = str_from (attempt->path),
          .headers = headers,
          .header_count = header_count,
          .body = buf_str (&attempt->body),
          .timeout_ms
          = timeout_ms > 0 ? timeout_ms : UPSTREAM_TIMEOUT_DEFAULT_MS };
  *call_arg = (call_arg_t){ sidecar, attempt };
  attempt->call_arg = call_arg;
  attempt->state = ATTEMPT_RUNNING;
  attempt->started = true;
  attempt->crash_count_at_start = sidecar->crash_count;
  attempt->started_us = clock_us (sidecar->clock);
  sidecar->running_count++;
  if (!attempt->idempotent)
    sidecar->running_nonidempotent_count++;
  if (attempt->is_suspect)
    sidecar->running_suspect_count++;
  counter_add (sidecar->counters.started, 1);
  attempt->call
      = httpc_start (sidecar->http_client, &request, &call_events, call_arg);
  free (headers);
}

/* Return whether ATTEMPT may start beside the running attempts.  A suspect of
   an upstream crash starts only while no other suspect and no non-idempotent
   attempt runs; a non-idempotent attempt only while no suspect runs.  */
static bool
can_run_now (const sidecar_t *sidecar, const attempt_t *attempt)
{
  const poison_in_flight_t in_flight
      = { .suspect_count = sidecar->running_suspect_count,
          .nonidempotent_count = sidecar->running_nonidempotent_count };

  return poison_may_run_beside (attempt->is_suspect ? POISON_SUSPECT
                                                    : POISON_CLEAR,
                                attempt->idempotent, &in_flight);
}

static void
reject_lapsed (sidecar_t *sidecar)
{
  queue_waiter_t *waiter;

  while ((waiter = queue_pop_expired (sidecar->queue)) != NULL)
    sidecar_reject_attempt (sidecar, CONTAINER_OF (waiter, attempt_t, waiter),
                            VH_E_DEADLINE);
}

static void
on_expiry_timer (uv_timer_t *timer)
{
  sidecar_dispatch (timer->data);
}

/* Set the timer for the next queued attempt that can no longer make its
   deadline.  Without it the caller would get the error only when the next
   running attempt ends.  */
static void
set_expiry_timer (sidecar_t *sidecar)
{
  uint64_t next_expiry_us = queue_next_expiry_us (sidecar->queue);
  uint64_t now_us = clock_us (sidecar->clock);

  if (next_expiry_us == QUEUE_NO_DEADLINE)
    {
      uv_timer_stop (&sidecar->expiry_timer);
      return;
    }
  uint64_t delay_ms
      = next_expiry_us > now_us ? (next_expiry_us - now_us) / 1000 + 1 : 0;
  uv_timer_start (&sidecar->expiry_timer, on_expiry_timer, delay_ms, 0);
}

/* Start queued attempts up to the concurrency limit.  */
static void
start_queued (sidecar_t *sidecar)
{
  queue_set_slots (sidecar->queue, limit_slots (sidecar->limit));
  while (limit_acquire (sidecar->limit) == VH_OK)
    {
      queue_waiter_t *waiter = queue_pop (sidecar->queue);
      if (waiter == NULL)
        {
          limit_release_without_sample (sidecar->limit);
          return;
        }
      attempt_t *attempt = CONTAINER_OF (waiter, attempt_t, waiter);
      if (!can_run_now (sidecar, attempt))
        {
          limit_release_without_sample (sidecar->limit);
          queue_cancel (sidecar->queue, waiter);
          sidecar_reject_attempt (sidecar, attempt, VH_E_FULL);
          continue;
        }
      start_call (sidecar, attempt);
    }
}

void
sidecar_dispatch (sidecar_t *sidecar)
{
  if (sidecar->is_destroyed)
    return;
  reject_lapsed (sidecar);
  start_queued (sidecar);
  set_expiry_timer (sidecar);
}
