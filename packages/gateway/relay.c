/* Request processing: admission, sends to upstreams, timeouts and
   disconnection of the caller.

   The status of a failure tells the caller whether the request may have run.
   If no byte of the request was sent, or each upstream that received the
   request reported not having run the request, the response is 503 with
   Retry-After.  Otherwise it is the upstream's own response, 502 or 504.  */

#include "gateway/relayint.h"

#include "gateway/crash_recordsint.h"
#include "gateway/forward.h"

#include <stdlib.h>

enum
{
  /* Timeout of connecting to an upstream.  Network latency is at most some
     milliseconds, and the kernel would repeat a lost SYN only after a second,
     so another upstream is tried first.  */
  CONNECT_TIMEOUT_MS = 250,
  /* Timeout of the first event of a stream, in multiples of the route's
     objective.  Callers disconnect after about four objectives.  */
  FIRST_EVENT_TIMEOUT_OBJECTIVES = 2,
  /* Timeout between two events of a stream whose engine accepts connections,
     in multiples of route_t.event_gap_max_ms.  If the engine is reachable, a
     longer gap means that the connection of this stream is broken.  Callers
     disconnect after a gap of eight times event_gap_max_ms.  */
  EVENT_TIMEOUT_GAPS = 3,
  /* Timeout of a connection probe.  Network latency is at most some
     milliseconds, and the kernel of a busy machine accepts connections at
     once.  */
  PROBE_TIMEOUT_MS = 250,
  /* Time after PROBE_TIMEOUT_MS within which the result of the probe is
     reported.  */
  PROBE_RESULT_DELAY_MS = 10,
  /* Urgency sent for requests of priority 0.  Engines assume urgency 5 for a
     request without the header.  */
  URGENCY_HIGHEST = 3,
  /* Assumed time that a response takes to reach the caller.  The
     request fails instead of being sent to an upstream if no more time than
     this is left until the deadline.  */
  RESPONSE_TRANSIT_MS = 5,
  /* Time after the start of the process in which requests wait for the first
     read of the store.  The read takes a tenth of a second; if it takes longer
     than this limit, the store is unavailable.  */
  STARTUP_WAIT_MS = 800,
  /* The same if a configuration was read by then and is being parsed.  */
  STARTUP_PARSE_WAIT_MS = 2000,
  /* Mean Retry-After during a planned stop.  Short, because the platform's
     load balancer already directs callers to other gateway processes.  */
  RETRY_AFTER_DRAINING_MS = 50,
  /* Retry-After of a request whose runs crashed and that gets no further test
     run.  */
  RETRY_AFTER_CRASHED_MS = POISON_EXPIRY_MS,
  /* Longest time for which a request waits for another one with the same
     suspected prompt part.  Most answers begin within it.  */
  SUSPECT_WAIT_MS = 1000,
  SUSPECT_POLL_MS = 25
};

/* Part of the route's latency objective after which a repeatable request to a
   plain service that has not responded is sent to another instance.  */
static const double first_response_timeout_part = 0.7;

/* Set the timer to the next timeout, probe or deadline.  */
static void arm_timer (relay_t *relay, uint64_t now_ms);

/* Return the urgency, by which engines order waiting requests.  Engines
   process one prompt at a time, so without an urgency a short request waits
   for the long prompts that arrived before it.  Most installations use few
   priorities, starting at 0.  */
static uint32_t
request_urgency (const relay_t *relay)
{
  uint32_t urgency = URGENCY_HIGHEST + relay->attrs.priority;

  return urgency < FORWARD_URGENCY_MAX ? urgency : FORWARD_URGENCY_MAX;
}

/* Fail the request because runs with its content, or a part of its prompt,
   crashed.  */
static void
refuse_suspect (relay_t *relay)
{
  gateway_state_t *state = relay->state;
  poison_key_t key
      = crash_records_refused_key (state->crash_records, &relay->attrs);
  uint64_t wait_ms = crash_records_test_wait_ms (state->crash_records, key);
  char content[CONTENT_TEXT_SIZE];
  char parts[PARTS_TEXT_SIZE];

  counter_add (state->counters.suspects_refused, 1);
  log_event (EVENT_SUSPECT_REFUSED,
             log_field_text (FIELD_ID, str_from (relay->attempt_id)),
             crash_records_content_field (relay->attrs.content_key, content),
             relay_parts_field (relay, parts),
             log_field_number (FIELD_COUNT, crash_records_count (
                                                state->crash_records, key)));
  if (wait_ms > RETRY_AFTER_CRASHED_MS)
    wait_ms = RETRY_AFTER_CRASHED_MS;
  relay->retry_after_min_ms = wait_ms;
  relay_fail (relay, VH_E_POISON, "poison", wait_ms);
}

/* Return whether another request that was sent, and whose answer has not
   begun, has a prompt part in common that is suspected.  */
static bool
is_suspect_in_flight (const relay_t *relay)
{
  const gateway_state_t *state = relay->state;
  poison_key_t parts[REQUEST_PARTS_MAX];
  size_t count = crash_records_suspect_parts (state->crash_records,
                                              &relay->attrs, parts);

  if (count == 0)
    return false;
  LIST_EACH (at, &state->relays)
    {
      const relay_t *other = CONTAINER_OF (at, relay_t, link);
      if (other != relay && other->call != NULL && !relay_has_begun (other)
          && request_attrs_have_part (&other->attrs, parts, count))
        return true;
    }
  return false;
}

/* Let the request wait while another one with the same suspected part is about
   to show whether it crashes the instance.  Return whether it waits, or was
   refused after a wait.  */
static bool
wait_for_suspect (relay_t *relay)
{
  uint64_t now_ms = clock_ms (relay->state->clock);

  if (relay->poison_class != POISON_SUSPECT || relay->has_response_started
      || !is_suspect_in_flight (relay))
    return false;
  relay->upstream = NULL;
  if (relay->suspect_wait_end_ms == 0)
    relay->suspect_wait_end_ms = now_ms + SUSPECT_WAIT_MS;
  if (now_ms >= relay->suspect_wait_end_ms)
    {
      relay_fail (relay, VH_E_FULL, "suspect", RETRY_AFTER_FULL_MS);
      return true;
    }
  relay->phase = PHASE_AWAITING_SUSPECT;
  peer_timer_start (&relay->timer, SUSPECT_POLL_MS);
  return true;
}

/* Return whether the version in service was withdrawn.  */
static bool
is_version_withdrawn (const relay_t *relay)
{
  const trial_t *trial = relay_trial (relay);

  return trial != NULL && trial_phase (trial) == TRIAL_PHASE_WITHDRAWN;
}

void
relay_send (relay_t *relay)
{
  gateway_state_t *state = relay->state;
  uint64_t now_ms = clock_ms (state->clock);
  pool_criteria_t criteria;
  upstream_t *move_target = relay->move_target;
  buf_t request = BUF_NULL;
  char content[CONTENT_TEXT_SIZE];
  char parts[PARTS_TEXT_SIZE];

  relay->move_target = NULL;
  if (now_ms + RESPONSE_TRANSIT_MS >= relay->attrs.deadline_at_ms)
    {
      relay_fail (relay, VH_E_DEADLINE, "deadline", 0);
      return;
    }
  relay->poison_class
      = crash_records_admit (state->crash_records, &relay->attrs);
  if (relay->poison_class == POISON_REFUSED)
    {
      relay->upstream = NULL;
      refuse_suspect (relay);
      return;
    }
  relay->is_test_run
      = relay->poison_class == POISON_SUSPECT
        && crash_records_is_refused (state->crash_records, &relay->attrs);
  if (wait_for_suspect (relay))
    return;
  relay_selection_criteria (relay, &criteria);
  vh_code_t code = VH_OK;
  /* The move was decided for this upstream.  */
  if (move_target != NULL && relay->poison_class != POISON_SUSPECT)
    relay->upstream = move_target;
  else
    code = pool_select (state->pool, &criteria, &relay->upstream);
  if ((code == VH_E_NO_UPSTREAM || code == VH_E_PAUSED)
      && relay->tried_count > 0)
    {
      /* All upstreams were tried.  An upstream that was full is assumed to be
         still full, and each refused send adds to its load.  An upstream that
         failed may succeed on a second send.  */
      if (relay->was_refused)
        {
          relay->upstream = NULL;
          if (relay->has_moved && relay->has_response_started)
            {
              /* The stream left a working upstream, so it waits instead of
                 being cut, and may go back.  */
              relay->tried_count = 0;
              relay->was_refused = false;
              relay_wait_for_upstream (relay);
              return;
            }
          relay_fail (relay, VH_E_FULL, relay->failure_reason,
                      RETRY_AFTER_FULL_MS);
          return;
        }
      criteria.tried_count = 0;
      code = pool_select (state->pool, &criteria, &relay->upstream);
    }
  if (code == VH_E_LIMITED)
    {
      uint64_t remaining_ms = relay->attrs.deadline_at_ms - now_ms;
      uint64_t wait_ms
          = pool_promise_slot (state->pool, &criteria, remaining_ms);
      /* No slot is left for this caller, nor for others that get the same
         time, so their returns are spread.  */
      if (wait_ms > remaining_ms)
        wait_ms += rng_below (&state->rng, wait_ms);
      relay->retry_after_min_ms = wait_ms;
      relay->upstream = NULL;
      relay_fail (relay, code, "limited", 0);
      return;
    }
  if (code != VH_OK)
    {
      relay->upstream = NULL;
      relay_fail (relay, code, code == VH_E_FULL ? "full" : "no-upstream",
                  code == VH_E_FULL              ? RETRY_AFTER_FULL_MS
                  : is_version_withdrawn (relay) ? RETRY_AFTER_WITHDRAWN_MS
                                                 : RETRY_AFTER_UNAVAILABLE_MS);
      return;
    }
  log_event (
      EVENT_SENT, log_field_text (FIELD_ID, str_from (relay->attempt_id)),
      crash_records_content_field (relay->attrs.content_key, content),
      relay_parts_field (relay, parts),
      log_field_text (FIELD_ROUTE, relay->attrs.route->name),
      log_field_text (FIELD_UPSTREAM, upstream_id (relay->upstream)),
      log_field_text (FIELD_VERSION, upstream_version (relay->upstream)),
      log_field_text (FIELD_MODEL, relay_model_name (relay, STR ("-"))),
      log_field_number (FIELD_RUNNING,
                        upstream_running_count (relay->upstream)),
      log_field_number (FIELD_LIMITED, pool_passed_over_count (state->pool)),
      log_field_number (FIELD_PAUSED, pool_paused_count (state->pool)),
      log_field_number (FIELD_SENDS, relay->send_count + 1),
      log_field_number (FIELD_EXTRA, relay_retries_left (relay)),
      log_field_number (FIELD_LEFT_MS, relay->attrs.deadline_at_ms - now_ms),
      log_field_number (FIELD_REVISION,
                        catalog_revision (relay->attrs.catalog)));
  if (pool_take_pause_end (state->pool, relay->upstream))
    log_event (EVENT_PAUSE_END,
               log_field_text (FIELD_UPSTREAM, upstream_id (relay->upstream)));
  relay->trial_sends.was_sent = true;
  relay->trial_sends.arm = relay_trial_arm (relay);
  relay->unread_prompt_tokens = relay->attrs.prompt_tokens;
  pool_request_started (state->pool, relay->upstream,
                        relay->attrs.prompt_tokens);
  relay_count_in_flight (relay, 1);
  relay->phase = PHASE_AWAITING_RESPONSE;
  relay->sent_ms = now_ms;
  relay->dispatched_ms = now_ms;
  relay->last_progress_ms = now_ms;
  relay->progress_bytes = 0;
  relay->first_event_ms = 0;
  relay->has_survived = false;
  relay->pace = (stream_pace_t){ 0 };
  relay->move_checked_ms = now_ms;
  relay->send_event_count = 0;
  relay->upstream_request_count = upstream_running_count (relay->upstream);
  relay->is_upstream_loaded = false;
  relay->has_head = false;
  relay->is_success = false;
  relay->is_connection_lost = false;
  relay->has_connect_failed = false;
  relay->has_bad_answer = false;
  relay->send_count++;
  counter_add (state->counters.sends, 1);
  if (upstream_rate_limit (relay->upstream)->is_announced)
    counter_add (state->counters.limited_sends, 1);
  const forward_params_t params = {
    .names = state->names,
    .upstream_id = upstream_id (relay->upstream),
    .team = relay->attrs.team != NULL ? relay->attrs.team->name : STR_NULL,
    .model
    = relay_model_name (relay, httpd_header (relay->req, state->names->model)),
    .remaining_ms = relay->attrs.deadline_at_ms - now_ms,
    .urgency = request_urgency (relay),
    .is_resume = relay->sse.has_last_id,
    .last_event_id = relay->sse.last_id,
  };
  forward_write_head (&params, relay->req, &request);
  relay->call = http_exchange_start (
      state->loop, upstream_address (relay->upstream), &request,
      httpd_body (relay->req), CONNECT_TIMEOUT_MS,
      str_eq (httpd_method (relay->req), STR ("HEAD")), &relay_call_events,
      relay);
  if (relay->call == NULL)
    {
      relay_connect_failed (relay, "address");
      return;
    }
  /* The caller has not read what an earlier upstream sent.  */
  if (relay->is_paused)
    http_exchange_pause (relay->call);
  arm_timer (relay, now_ms);
}

/* Timeouts.  */

/* Return whether the current send may be abandoned for a send to another
   upstream.  */
static bool
may_switch_upstream (const relay_t *relay)
{
  /* A suspect that is slow may be about to crash the upstream, and then would
     crash the other as well.  */
  if (relay->poison_class == POISON_SUSPECT
      && relay->attrs.route->kind != ROUTE_STREAM)
    return false;
  return relay_may_retry (relay)
         && relay->possible_run_count + 1
                < relay->attrs.route->possible_runs_max
         && !relay->is_paused;
}

/* Return the time at which the current send times out although the upstream
   is reachable.  */
static uint64_t
send_timeout_due_ms (const relay_t *relay)
{
  const route_t *route = relay->attrs.route;

  if (route->kind != ROUTE_STREAM)
    return relay->sent_ms
           + (uint64_t)((double)route->objective_ms
                        * first_response_timeout_part);
  return relay->event_count == 0
             ? relay->sent_ms
                   + route->objective_ms * FIRST_EVENT_TIMEOUT_OBJECTIVES
             : relay->last_progress_ms
                   + route->event_gap_max_ms * EVENT_TIMEOUT_GAPS;
}

/* Return the time at which an upstream that sends no event is to be probed, or
   the send to be abandoned; UINT64_MAX if never.

   For a stream, a probe is due at the time given by pool_probe_due_ms.  The
   send to a reachable engine is abandoned only at the event timeout, because
   another engine, which is as loaded, would have to repeat the work done so
   far.  The send to an unreachable engine may be abandoned earlier.  */
static uint64_t
silence_check_due_ms (const relay_t *relay)
{
  if (!may_switch_upstream (relay))
    return UINT64_MAX;
  uint64_t timeout_at_ms = send_timeout_due_ms (relay);
  if (relay->attrs.route->kind != ROUTE_STREAM)
    return timeout_at_ms;
  uint64_t probe_ms = pool_probe_due_ms (relay->upstream);
  return probe_ms < timeout_at_ms ? probe_ms : timeout_at_ms;
}

/* Return whether to probe the upstream instead of abandoning the send.  */
static bool
should_probe (const relay_t *relay, uint64_t now_ms)
{
  return relay->attrs.route->kind == ROUTE_STREAM
         && now_ms < send_timeout_due_ms (relay)
         && !upstream_is_unreachable (relay->upstream);
}

/* Probe the upstream.  The timer fires when the probe has ended, or at the
   deadline if that is earlier.  */
static void
probe_upstream (relay_t *relay, uint64_t now_ms)
{
  uint64_t probe_ms = PROBE_TIMEOUT_MS + PROBE_RESULT_DELAY_MS;
  uint64_t remaining_ms = relay->attrs.deadline_at_ms - now_ms;

  prober_start (relay->state->prober, upstream_id (relay->upstream),
                upstream_address (relay->upstream), PROBE_TIMEOUT_MS);
  peer_timer_start (&relay->timer,
                    probe_ms < remaining_ms ? probe_ms : remaining_ms);
}

static void admit_when_ready (relay_t *relay);

static void
on_timer (void *arg)
{
  relay_t *relay = arg;
  uint64_t now_ms = clock_ms (relay->state->clock);

  if (relay->phase == PHASE_AWAITING_CONFIG)
    {
      admit_when_ready (relay);
      return;
    }
  if (now_ms >= relay->attrs.deadline_at_ms)
    {
      if (relay->call != NULL && http_exchange_was_sent (relay->call))
        relay->possible_run_count++;
      relay_fail (relay, VH_E_DEADLINE, "deadline", 0);
      return;
    }
  if (relay->phase == PHASE_AWAITING_UPSTREAM)
    {
      relay_resume_stream (relay);
      return;
    }
  if (relay->phase == PHASE_AWAITING_PROBE)
    {
      relay_continue_after_probe (relay);
      return;
    }
  if (relay->phase == PHASE_AWAITING_SUSPECT)
    {
      relay_send (relay);
      return;
    }
  if (relay_check_move (relay, now_ms))
    return;
  if (now_ms >= silence_check_due_ms (relay))
    {
      if (should_probe (relay, now_ms))
        {
          probe_upstream (relay, now_ms);
          return;
        }
      if (relay_check_retry_budget (relay) && relay_has_alternative (relay))
        {
          relay_send_stalled (relay);
          return;
        }
      /* No retry is possible now: keep waiting for this upstream.  */
      relay->last_progress_ms = now_ms;
      relay->sent_ms = now_ms;
      pool_data_received (relay->state->pool, relay->upstream);
    }
  arm_timer (relay, now_ms);
}

static void
arm_timer (relay_t *relay, uint64_t now_ms)
{
  uint64_t due_ms = silence_check_due_ms (relay);

  uint64_t move_check_ms = relay_move_check_due_ms (relay);

  if (due_ms > move_check_ms)
    due_ms = move_check_ms;
  if (due_ms > relay->attrs.deadline_at_ms)
    due_ms = relay->attrs.deadline_at_ms;
  peer_timer_start (&relay->timer, due_ms > now_ms ? due_ms - now_ms : 0);
}

/* Callbacks of the caller's connection.  */

static void
on_write_drained (void *arg)
{
  relay_t *relay = arg;

  relay_count_memory (relay);
  if (!relay->is_paused)
    return;
  relay->is_paused = false;
  if (relay->call == NULL)
    return;
  http_exchange_resume (relay->call);
  /* The pause of the caller is not one of the upstream.  */
  relay->pace = (stream_pace_t){ 0 };
  stream_pace_record (&relay->pace, 1, clock_ms (relay->state->clock));
  /* No timeout ran in the pause, and the next one counts from its end.  */
  relay->last_progress_ms = clock_ms (relay->state->clock);
  uint64_t due_ms = send_timeout_due_ms (relay);
  if (due_ms > relay->attrs.deadline_at_ms)
    due_ms = relay->attrs.deadline_at_ms;
  peer_timer_start (&relay->timer, due_ms > relay->last_progress_ms
                                       ? due_ms - relay->last_progress_ms
                                       : 0);
}

/* The caller disconnected: cancel the call to the upstream on the same loop
   iteration.  */
static void
on_caller_disconnected (void *arg)
{
  relay_t *relay = arg;

  relay_record_end (relay, EVENT_LEFT, 0, relay->failure_reason, 0);
  counter_add (relay->state->counters.left, 1);
  relay_finish_send (relay, SEND_CANCELLED);
  relay_destroy (relay);
}

/* Arrival of requests.  */

static void
reject (relay_t *relay, vh_code_t code)
{
  const code_info_t *info = code_info (code);
  uint64_t retry_ms
      = info->http_status == 503 ? RETRY_AFTER_UNAVAILABLE_MS : 0;

  relay_reply_error (relay, info->http_status, code, info->type, retry_ms);
}

/* Send the request to an upstream, or reject it.  */
static void
admit (relay_t *relay)
{
  gateway_state_t *state = relay->state;
  request_attrs_t *attrs = &relay->attrs;

  if (!gateway_accepts_request (state, attrs->arrived_ms))
    {
      relay_reply_error (relay, 503, VH_E_DRAINING, "draining",
                         RETRY_AFTER_DRAINING_MS);
      return;
    }
  vh_code_t code = request_attrs_resolve (attrs, state, relay->req,
                                          str_from (relay->attempt_id));
  if (code != VH_OK)
    {
      reject (relay, code);
      return;
    }
  relay->sse.has_last_id = attrs->is_resume;
  relay->sse.last_id = attrs->last_event_id;
  send_budget_count_request (
      gateway_service_retry_budget (state, attrs->service->name));
  relay_count_trial_request (relay);
  relay_send (relay);
}

httpd_decision_t
relay_check_head (const gateway_state_t *state, const httpd_req_t *req)
{
  str_t attempt_id = httpd_header (req, state->names->attempt_id);
  request_attrs_t attrs = { .arrived_ms = clock_ms (state->clock) };
  httpd_decision_t decision = { .code = VH_OK };

  /* The request may wait for the first configuration when it is complete.  */
  if (state->catalog == NULL)
    return decision;
  if (!gateway_accepts_request (state, attrs.arrived_ms))
    decision.code = VH_E_DRAINING;
  else if (attempt_id.ptr == NULL || attempt_id.len == 0)
    decision.code = VH_E_BAD_HEADER;
  else
    decision.code
        = request_attrs_resolve_head (&attrs, state, req, attempt_id);
  if (decision.code == VH_OK)
    decision.body_ms = attrs.deadline_at_ms > attrs.arrived_ms
                           ? attrs.deadline_at_ms - attrs.arrived_ms
                           : 1;
  else if (code_info (decision.code)->http_status == 503)
    decision.retry_after_ms = decision.code == VH_E_DRAINING
                                  ? RETRY_AFTER_DRAINING_MS
                                  : RETRY_AFTER_UNAVAILABLE_MS;
  request_attrs_free (&attrs);
  return decision;
}

/* Return the time for which the request still waits for the first
   configuration of this process, in ms.  After a crash of all gateway
   processes, callers reconnect at the same time, each with its last retry, so
   a rejection during the tenths of a second that reading and parsing it take
   would be final.  After the wait the process rejects requests at once if it
   still has no configuration.  */
static uint64_t
startup_wait_left_ms (const relay_t *relay)
{
  const gateway_state_t *state = relay->state;
  uint64_t age_ms = clock_ms (state->clock) - state->started_ms;
  uint64_t limit_ms = 0;

  if (state->catalog == NULL && state->config_load_started_ms != 0)
    limit_ms = STARTUP_PARSE_WAIT_MS;
  else if (!state->is_initialized)
    limit_ms = STARTUP_WAIT_MS;
  return age_ms < limit_ms ? limit_ms - age_ms : 0;
}

/* Admit the request now, or when relay_admit_waiting is called or the wait
   ends.  */
static void
admit_when_ready (relay_t *relay)
{
  uint64_t wait_ms = startup_wait_left_ms (relay);

  if (wait_ms > 0)
    peer_timer_start (&relay->timer, wait_ms);
  else
    admit (relay);
}

void
relay_admit_waiting (gateway_state_t *state)
{
  LIST_EACH (at, &state->relays)
    {
      relay_t *relay = CONTAINER_OF (at, relay_t, link);
      if (relay->phase == PHASE_AWAITING_CONFIG)
        admit_when_ready (relay);
    }
}

void
relay_start (gateway_state_t *state, httpd_req_t *req)
{
  relay_t *relay = mem_zalloc (sizeof *relay);
  str_t attempt_id = httpd_header (req, state->names->attempt_id);

  list_append (&state->relays, &relay->link);
  relay->state = state;
  relay->req = req;
  relay->attrs.arrived_ms = clock_ms (state->clock);
  relay->attempt_id
      = str_dup (attempt_id.ptr != NULL ? attempt_id : STR ("-"));
  peer_timer_init (&relay->timer, state->loop, on_timer, relay);
  counter_add (state->counters.requests, 1);
  if (attempt_id.ptr == NULL || attempt_id.len == 0)
    {
      reject (relay, VH_E_BAD_HEADER);
      return;
    }
  httpd_set_callbacks (req, on_write_drained, on_caller_disconnected, relay);
  admit_when_ready (relay);
}

void
relay_end_refused (gateway_state_t *state)
{
  LIST_EACH (at, &state->relays)
    {
      relay_t *relay = CONTAINER_OF (at, relay_t, link);
      if (relay->call == NULL || relay->first_event_ms != 0
          || relay->is_test_run
          || !crash_records_is_refused (state->crash_records, &relay->attrs))
        continue;
      if (http_exchange_was_sent (relay->call))
        relay->possible_run_count++;
      refuse_suspect (relay);
    }
}

size_t
relay_abort_all (gateway_state_t *state)
{
  size_t count = 0;

  LIST_EACH (at, &state->relays)
    {
      relay_t *relay = CONTAINER_OF (at, relay_t, link);
      if (relay->call != NULL && http_exchange_was_sent (relay->call))
        relay->possible_run_count++;
      relay_fail (relay, VH_E_DRAINING, "stopping", RETRY_AFTER_DRAINING_MS);
      count++;
    }
  return count;
}
