/* Calls to the upstream: what may start, the answer as it comes, and the
   signs that the upstream itself has died.  */

#include "sidecar/sidecarint.h"

#include "base/log.h"
#include "sidecar/usage.h"

#include <stdlib.h>

enum
{
  /* A cut answer alone may be the request's doing.  A refused connection
     right after it says that the upstream is gone.  */
  PROBE_TIMEOUT_MS = 500,
  /* The pace of a stream is taken over this long: the gaps between single
     bytes are the scheduler's as much as the engine's.  */
  OBSERVE_US = 200000,
  /* Prompts are read this much faster than answers are written; the entry's
     estimate of the cost is made alike.  */
  PROMPT_TOKENS_PER_UNIT = 8,
  RUNS_UNTIL_DONE_MS = 600000
};

static bool
forwarded (str_t name)
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
on_head (void *arg, int status, const httpc_header_t *headers, size_t count)
{
  attempt_t *attempt = arg;

  attempt->status = status;
  attempt->headers = mem_zalloc ((count + 1) * sizeof *attempt->headers);
  for (size_t i = 0; i < count; i++)
    {
      if (!forwarded (headers[i].name))
        continue;
      attempt_header_t *header = &attempt->headers[attempt->header_count++];
      header->name = str_dup (headers[i].name);
      header->value = str_dup (headers[i].value);
    }
}

/* The sidecar of an attempt in a call.  */
typedef struct
{
  sidecar_t *sidecar;
  attempt_t *attempt;
} running_t;

static void
on_call_head (void *arg, int status, const httpc_header_t *headers,
              size_t count)
{
  on_head (((running_t *)arg)->attempt, status, headers, count);
}

static void
note_first_byte (sidecar_t *sidecar, attempt_t *attempt)
{
  attempt->first_byte_us = clock_us (sidecar->clock);
  uint64_t took_us = attempt->first_byte_us - attempt->started_us;
  if (sidecar->first_byte_us == 0)
    sidecar->first_byte_us = took_us;
  else
    sidecar->first_byte_us = (7 * sidecar->first_byte_us + took_us) / 8;
}

/* Count the events that end in the answer past FROM.  */
static void
count_events (attempt_t *attempt, size_t from)
{
  const char *text = attempt->answer.ptr;

  for (size_t i = from > 0 ? from : 1; i < attempt->answer.len; i++)
    if (text[i] == '\n' && text[i - 1] == '\n')
      attempt->events++;
}

/* Let the limit see the pace of a stream before it ends.  Guards against an
   engine that turns cold under jobs of minutes: their ends would tell it
   minutes too late.  */
static void
observe_pace (sidecar_t *sidecar, attempt_t *attempt)
{
  uint64_t now_us = clock_us (sidecar->clock);
  uint64_t took_us = now_us - attempt->observed_us;

  if (took_us < OBSERVE_US || attempt->events == attempt->events_seen)
    return;
  if (attempt->life == sidecar->deaths)
    limit_report_progress (sidecar->limit, took_us,
                           attempt->events - attempt->events_seen);
  attempt->observed_us = now_us;
  attempt->events_seen = attempt->events;
}

/* Take in that BYTES past FROM came for a stream.  */
static void
follow_stream (sidecar_t *sidecar, attempt_t *attempt, size_t from)
{
  bool is_first = from == 0;

  count_events (attempt, from);
  if (!is_first)
    {
      observe_pace (sidecar, attempt);
      return;
    }
  /* The time up to here was the prompt's.  */
  attempt->observed_us = attempt->first_byte_us;
  attempt->events_seen = attempt->events;
}

static void
on_call_chunk (void *arg, str_t bytes)
{
  running_t *run = arg;
  attempt_t *attempt = run->attempt;

  if (attempt->first_byte_us == 0)
    note_first_byte (run->sidecar, attempt);
  if (attempt->answer.len + bytes.len > ANSWER_MAX)
    {
      sidecar_stop_call (run->sidecar, attempt, VH_E_TOO_LARGE);
      return;
    }
  size_t from = attempt->answer.len;
  attempt_append (attempt, bytes);
  if (attempt->stream && !run->sidecar->upstream->is_service)
    follow_stream (run->sidecar, attempt, from);
  /* A slow caller must not make the sidecar swallow answers without end;
     what may not be repeated is read on regardless, for its record.  */
  if (attempt->idempotent && !attempt->paused
      && attempt->answer.len - attempt->taken > ANSWER_AHEAD_MAX)
    {
      attempt->paused = true;
      attempt->paused_at_us = clock_us (run->sidecar->clock);
      httpc_pause (attempt->call);
    }
  sidecar_wake (run->sidecar, attempt);
}

/* Take ATTEMPT out of the counts of what runs.  */
static void
leave_upstream (sidecar_t *sidecar, attempt_t *attempt)
{
  sidecar->running--;
  if (!attempt->idempotent)
    sidecar->running_nonidempotent--;
  if (attempt->suspect)
    sidecar->running_suspect--;
}

static void
end_attempt (sidecar_t *sidecar, attempt_t *attempt, vh_code_t code)
{
  attempt->state = ATTEMPT_DONE;
  attempt->code = code;
  attempt->call = NULL;
  attempts_end (sidecar->attempts, attempt);
  sidecar_wake (sidecar, attempt);
}

static void
remember_suspect (sidecar_t *sidecar, const attempt_t *attempt, uint64_t death)
{
  size_t at = sidecar->suspect_count % SUSPECTS_KEPT;

  sidecar->suspects[at]
      = (wire_suspect_t){ attempt->request_digest,
                          str_hash (str_from (attempt->key), 0), death };
  sidecar->suspect_count++;
}

typedef struct
{
  sidecar_t *sidecar;
  attempt_t *attempt;
} probe_t;

/* The upstream refused a connection right after it cut ATTEMPT: it died.
   Every attempt that ends for the same death carries the same number.  */
static void
on_probe (void *arg, vh_code_t code, int status, str_t body)
{
  probe_t *probe = arg;
  sidecar_t *sidecar = probe->sidecar;
  attempt_t *attempt = probe->attempt;

  (void)status;
  (void)body;
  if (!sidecar->destroyed)
    {
      if (code == VH_E_CONNECT)
        {
          uint64_t death
              = rpc_node_epoch (sidecar->node) ^ (attempt->life + 1);
          attempt->death = death;
          remember_suspect (sidecar, attempt, death);
          log_warning ("sidecar",
                       "Upstream died with this in flight. instance=%.*s "
                       "request=%s",
                       STR_ARG (sidecar->upstream->instance),
                       attempt->request_id);
          /* The first to find it out tells the limit; the others' slots
             are gone with it.  */
          if (attempt->life == sidecar->deaths)
            {
              sidecar->deaths++;
              counter_add (sidecar->counters.deaths, 1);
              limit_reset (sidecar->limit);
            }
        }
      end_attempt (sidecar, attempt, VH_E_UPSTREAM_CUT);
      sidecar_pump (sidecar);
    }
  free (probe);
}

static void
probe_upstream (sidecar_t *sidecar, attempt_t *attempt)
{
  const httpc_request_t request = { .method = STR ("GET"),
                                    .path = STR ("/"),
                                    .timeout_ms = PROBE_TIMEOUT_MS };
  probe_t *probe = mem_alloc (sizeof *probe);

  *probe = (probe_t){ sidecar, attempt };
  httpc_fetch (sidecar->http, &request, ANSWER_AHEAD_MAX, on_probe, probe);
}

/* Return for how long the upstream worked on ATTEMPT: without the time in
   which a slow caller held it back.  */
static uint64_t
worked_us (const sidecar_t *sidecar, const attempt_t *attempt)
{
  uint64_t now_us = clock_us (sidecar->clock);
  uint64_t idle_us = attempt->paused_us;

  if (attempt->paused)
    idle_us += now_us - attempt->paused_at_us;
  return now_us - attempt->started_us - idle_us;
}

/* Return the work that ATTEMPT was: what the engine had in its cache cost it
   nothing, and taken for work it would read as a new best latency.  */
static uint32_t
units_of (const attempt_t *attempt)
{
  uint32_t cached = attempt->tokens_cached < attempt->tokens_in
                        ? attempt->tokens_cached
                        : attempt->tokens_in;
  uint32_t units = attempt->tokens_out
                   + (attempt->tokens_in - cached) / PROMPT_TOKENS_PER_UNIT;

  return units > 0 ? units : 1;
}

/* Give back the limit's slot, unless it went with the upstream's life.  */
static void
release_slot (sidecar_t *sidecar, const attempt_t *attempt, uint64_t took_us,
              uint32_t units, bool ok)
{
  if (attempt->life != sidecar->deaths)
    return;
  limit_release (sidecar->limit, took_us, units, ok);
  queue_set_slots (sidecar->queue, limit_slots (sidecar->limit));
}

/* Give back the slot of ATTEMPT, whose call ended with CODE.  */
static void
settle_slot (sidecar_t *sidecar, attempt_t *attempt, vh_code_t code)
{
  uint64_t took_us = worked_us (sidecar, attempt);
  bool failed = code != VH_OK || attempt->status >= 500;
  uint32_t units = units_of (attempt);

  release_slot (sidecar, attempt, took_us, units, !failed);
  queue_done (sidecar->queue, &attempt->waiter, took_us, units);
  leave_upstream (sidecar, attempt);
  counter_add (failed ? sidecar->counters.failed : sidecar->counters.answered,
               1);
}

static void
on_call_done (void *arg, vh_code_t code)
{
  running_t *run = arg;
  sidecar_t *sidecar = run->sidecar;
  attempt_t *attempt = run->attempt;

  free (run);
  attempt->call_arg = NULL;
  if (code == VH_OK && !sidecar->upstream->is_service)
    usage_read (buf_str (&attempt->answer), attempt->stream, attempt->body.len,
                &attempt->tokens_in, &attempt->tokens_out,
                &attempt->tokens_cached);
  settle_slot (sidecar, attempt, code);
  if (code == VH_E_CONNECT)
    {
      /* Nothing reached the upstream.  */
      attempt->started = false;
      end_attempt (sidecar, attempt, VH_E_UPSTREAM_DOWN);
    }
  else if (code == VH_E_UPSTREAM_CUT)
    {
      attempt->call = NULL;
      probe_upstream (sidecar, attempt);
    }
  else
    end_attempt (sidecar, attempt, code);
  sidecar_pump (sidecar);
}

static const httpc_events_t call_events
    = { on_call_head, on_call_chunk, on_call_done };

void
sidecar_stop_call (sidecar_t *sidecar, attempt_t *attempt, vh_code_t code)
{
  if (attempt->call == NULL)
    return;
  httpc_cancel (attempt->call);
  free (attempt->call_arg);
  attempt->call_arg = NULL;
  if (attempt->first_byte_us > 0)
    {
      /* A caller that leaves is no failure of the upstream, and what was done
         by then shows its speed.  */
      uint32_t units = attempt->events > 0 ? attempt->events : 1;
      release_slot (sidecar, attempt, worked_us (sidecar, attempt), units,
                    true);
      queue_done (sidecar->queue, &attempt->waiter, 0, units);
    }
  else
    {
      if (attempt->life == sidecar->deaths)
        limit_release_without_sample (sidecar->limit);
      queue_cancel (sidecar->queue, &attempt->waiter);
    }
  leave_upstream (sidecar, attempt);
  end_attempt (sidecar, attempt, code);
}

void
sidecar_unpause (const sidecar_t *sidecar, attempt_t *attempt)
{
  if (!attempt->paused
      || attempt->answer.len - attempt->taken > ANSWER_AHEAD_MAX / 2)
    return;
  uint64_t idle_us = clock_us (sidecar->clock) - attempt->paused_at_us;
  attempt->paused = false;
  attempt->paused_us += idle_us;
  attempt->observed_us += idle_us;
  httpc_resume (attempt->call);
}

/* Send ATTEMPT to the upstream.  */
static void
start_call (sidecar_t *sidecar, attempt_t *attempt)
{
  size_t given = attempt->request_header_count;
  httpc_header_t *headers = mem_alloc ((given + 2) * sizeof *headers);
  static const char *const priorities[] = { "low", "normal", "high" };
  running_t *run = mem_alloc (sizeof *run);

  for (size_t i = 0; i < given; i++)
    {
      headers[i].name = str_from (attempt->request_headers[i].name);
      headers[i].value = str_from (attempt->request_headers[i].value);
    }
  headers[given].name = STR ("vanillahook-request-id");
  headers[given++].value = str_from (attempt->request_id);
  if ((sidecar->upstream->features & FEATURE_PRIORITY) != 0)
    {
      headers[given].name = STR ("vanillahook-priority");
      headers[given++].value = str_from (priorities[attempt->priority]);
    }
  uint64_t timeout_ms = sidecar->upstream->upstream_timeout_ms;
  const httpc_request_t request
      = { .method = str_from (attempt->method),
          .path = str_from (attempt->path),
          .headers = headers,
          .header_count = given,
          .body = buf_str (&attempt->body),
          .timeout_ms = timeout_ms > 0 ? timeout_ms : RUNS_UNTIL_DONE_MS };
  *run = (running_t){ sidecar, attempt };
  attempt->call_arg = run;
  attempt->state = ATTEMPT_RUNNING;
  attempt->started = true;
  attempt->life = sidecar->deaths;
  attempt->started_us = clock_us (sidecar->clock);
  sidecar->running++;
  if (!attempt->idempotent)
    sidecar->running_nonidempotent++;
  if (attempt->suspect)
    sidecar->running_suspect++;
  counter_add (sidecar->counters.started, 1);
  attempt->call = httpc_start (sidecar->http, &request, &call_events, run);
  free (headers);
}

/* Tell whether ATTEMPT may start beside what runs.  */
static bool
may_share (const sidecar_t *sidecar, const attempt_t *attempt)
{
  const poison_in_flight_t company
      = { .suspect_count = sidecar->running_suspect,
          .nonidempotent_count = sidecar->running_nonidempotent };

  return poison_may_run_beside (attempt->suspect ? POISON_SUSPECT
                                                 : POISON_CLEAR,
                                attempt->idempotent, &company);
}

static void
refuse_lapsed (sidecar_t *sidecar)
{
  queue_waiter_t *waiter;

  while ((waiter = queue_pop_expired (sidecar->queue)) != NULL)
    sidecar_refuse (sidecar, CONTAINER_OF (waiter, attempt_t, waiter),
                    VH_E_DEADLINE);
}

static void
on_lapse (uv_timer_t *timer)
{
  sidecar_pump (timer->data);
}

/* Wake when the next waiter lapses, so that its caller hears of it at once
   and not with the next job that ends.  */
static void
set_lapse_timer (sidecar_t *sidecar)
{
  uint64_t next_us = queue_next_expiry_us (sidecar->queue);
  uint64_t now_us = clock_us (sidecar->clock);

  if (next_us == QUEUE_NO_DEADLINE)
    {
      uv_timer_stop (&sidecar->lapse);
      return;
    }
  uint64_t in_ms = next_us > now_us ? (next_us - now_us) / 1000 + 1 : 0;
  uv_timer_start (&sidecar->lapse, on_lapse, in_ms, 0);
}

/* Start what may start within the limit.  */
static void
start_waiting (sidecar_t *sidecar)
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
      if (!may_share (sidecar, attempt))
        {
          limit_release_without_sample (sidecar->limit);
          queue_cancel (sidecar->queue, waiter);
          sidecar_refuse (sidecar, attempt, VH_E_FULL);
          continue;
        }
      start_call (sidecar, attempt);
    }
}

void
sidecar_pump (sidecar_t *sidecar)
{
  if (sidecar->destroyed)
    return;
  refuse_lapsed (sidecar);
  start_waiting (sidecar);
  set_lapse_timer (sidecar);
}
