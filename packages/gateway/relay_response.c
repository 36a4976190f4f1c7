#include "gateway/relayint.h"

#include "gateway/crash_recordsint.h"
#include "gateway/forward.h"
#include "gateway/instance_noticesint.h"

enum
{
  /* Number of bytes buffered for a slow caller above which reading from the
     upstream is paused.  */
  CALLER_BUFFER_BYTES_HIGH = 65536,
  /* Maximum number of sends of one request, independent of the route.  */
  SENDS_MAX = POOL_TRIED_MAX,
  /* Size limit of the body of a response that is not streamed and therefore
     buffered.  */
  RESPONSE_BODY_BYTES_MAX = 8 << 20,
  /* Limit of the memory for incomplete events, buffered bodies and what
     callers have not read yet, of all requests together, on a machine that has
     88 MB.  Above it the largest is given up, if it is larger than
     RESPONSE_MEMORY_SMALL.  */
  RESPONSE_MEMORY_MAX = 32 << 20,
  RESPONSE_MEMORY_SMALL = 16384,
  /* While the memory budget is exceeded, the limit is this part of it.  */
  RESPONSE_MEMORY_DIVISOR = 3,
  /* Number of events after the first of a send over which the mean gap between
     events is measured.  A mean is needed because events arrive in bursts.  */
  MEAN_GAP_EVENT_COUNT = 8,
  /* Interval at which an interrupted stream looks for an upstream that can
     resume it.  Allows a few attempts within route_t.event_gap_max_ms.  */
  RESUME_POLL_MS = 150,
  /* Longest time for which a request waits for the result of a probe before it
     is sent again.  A machine that runs accepts or refuses a connection within
     a round trip.  */
  PROBE_WAIT_MS = 50,
  PROBE_POLL_MS = 5
};

bool
relay_may_retry (const relay_t *relay)
{
  return relay->attrs.is_repeatable
         && relay->possible_run_count < relay->attrs.route->possible_runs_max
         && relay->send_count < SENDS_MAX;
}

send_budget_t *
relay_retry_budget (const relay_t *relay)
{
  return gateway_service_retry_budget (relay->state,
                                       relay->attrs.service->name);
}

static void
log_budget (const relay_t *relay, log_event_t event)
{
  send_budget_usage_t usage = send_budget_usage (relay_retry_budget (relay));

  log_event (event, log_field_text (FIELD_SERVICE, relay->attrs.service->name),
             log_field_number (FIELD_REQUESTS, usage.requests),
             log_field_number (FIELD_EXTRA_SENDS, usage.extra_sends),
             log_field_number (FIELD_PART, (uint64_t)usage.fixed_part),
             log_field_number (FIELD_ENTRIES, usage.gateways));
}

/* Record that the budget of the service allows no retry of the request.  */
static void
count_refused_retry (const relay_t *relay)
{
  counter_add (relay->state->counters.resends_refused, 1);
  if (send_budget_count_refusal (relay_retry_budget (relay)))
    log_budget (relay, EVENT_BUDGET_SPENT);
}

bool
relay_check_retry_budget (const relay_t *relay)
{
  if (send_budget_remaining (relay_retry_budget (relay)) >= 1)
    return true;
  count_refused_retry (relay);
  return false;
}

bool
relay_take_retry (relay_t *relay)
{
  send_budget_t *budget = relay_retry_budget (relay);

  if (!send_budget_try_take (budget, 0))
    {
      count_refused_retry (relay);
      return false;
    }
  if (send_budget_end_refusals (budget))
    log_budget (relay, EVENT_BUDGET_BACK);
  counter_add (relay->state->counters.resends, 1);
  return true;
}

uint64_t
relay_retries_left (const relay_t *relay)
{
  double remaining = send_budget_remaining (relay_retry_budget (relay));

  return remaining > 0 ? (uint64_t)remaining : 0;
}

static void
add_tried_upstream (relay_t *relay)
{
  if (relay->tried_count < POOL_TRIED_MAX)
    relay->tried[relay->tried_count++] = relay->upstream;
}

void
relay_leave_upstream (relay_t *relay, send_outcome_t outcome)
{
  add_tried_upstream (relay);
  relay->was_refused = outcome == SEND_REFUSED;
  relay_finish_send (relay, outcome);
  buf_free (&relay->response_headers);
  buf_free (&relay->response_body);
  sse_filter_discard_partial (&relay->sse);
  relay_count_memory (relay);
}

void
relay_wait_for_upstream (relay_t *relay)
{
  relay->phase = PHASE_AWAITING_UPSTREAM;
  peer_timer_start (&relay->timer, RESUME_POLL_MS);
}

void
relay_resume_stream (relay_t *relay)
{
  if (relay_check_retry_budget (relay) && relay_has_alternative (relay)
      && relay_take_retry (relay))
    {
      counter_add (relay->state->counters.resumes, 1);
      relay_send (relay);
      return;
    }
  relay_wait_for_upstream (relay);
}

/* Send the request again after a send that failed for REASON, or fail it.  */
static void
resend (relay_t *relay, const char *reason, bool may_have_run)
{
  bool may_resend
      = may_have_run ? relay_may_retry (relay) : relay->send_count < SENDS_MAX;

  if (may_resend && relay->has_response_started)
    relay_resume_stream (relay);
  else if (may_resend && relay_take_retry (relay))
    relay_send (relay);
  else
    relay_fail (relay, may_have_run ? VH_E_UPSTREAM_CUT : VH_E_FULL, reason,
                0);
}

void
relay_continue_after_probe (relay_t *relay)
{
  const gateway_state_t *state = relay->state;

  if (crash_records_awaits_probe (state->crash_records,
                                  relay->attrs.content_key)
      && clock_ms (state->clock) < relay->probe_wait_end_ms)
    peer_timer_start (&relay->timer, PROBE_POLL_MS);
  else
    resend (relay, relay->failure_reason, true);
}

void
relay_send_failed (relay_t *relay, const char *reason, bool may_have_run)
{
  uint64_t now_ms = clock_ms (relay->state->clock);
  char content[CONTENT_TEXT_SIZE];
  char parts[PARTS_TEXT_SIZE];

  log_event (EVENT_SEND_FAILED,
             log_field_text (FIELD_ID, str_from (relay->attempt_id)),
             crash_records_content_field (relay->attrs.content_key, content),
             relay_parts_field (relay, parts),
             log_field_text (FIELD_UPSTREAM, upstream_id (relay->upstream)),
             log_field_text (FIELD_REASON, str_from (reason)),
             log_field_number (FIELD_RAN, may_have_run),
             log_field_number (FIELD_EVENTS, relay->event_count),
             log_field_number (FIELD_MS, now_ms - relay->attrs.arrived_ms),
             log_field_number (FIELD_EXTRA, relay_retries_left (relay)));
  relay->failure_reason = reason;
  if (may_have_run)
    relay->possible_run_count++;
  if (may_have_run && relay_trial_arm (relay) == TRIAL_ARM_NEW)
    relay->trial_sends.failed_on_new = true;
  relay_leave_upstream (relay, may_have_run ? SEND_FAILED : SEND_REFUSED);
  /* A request that crashed the upstream must not reach the next one before
     that is known.  */
  if (may_have_run
      && crash_records_awaits_probe (relay->state->crash_records,
                                     relay->attrs.content_key))
    {
      relay->phase = PHASE_AWAITING_PROBE;
      relay->probe_wait_end_ms = now_ms + PROBE_WAIT_MS;
      peer_timer_start (&relay->timer, PROBE_POLL_MS);
      return;
    }
  resend (relay, reason, may_have_run);
}

/* Handle that the response of the current send is over the bound that REASON
   names.  */
static void
response_too_large (relay_t *relay, const char *reason)
{
  counter_add (relay->state->counters.unbounded_responses, 1);
  relay_send_failed (relay, reason, true);
}

void
relay_count_memory (relay_t *relay)
{
  size_t memory = relay->response_body.cap + relay->sse.partial.cap;

  memory_budget_count (&relay->state->memory, &relay->counted_memory, memory);
  if (relay->has_response_started)
    memory += httpd_buffer_memory (relay->req);
  relay->state->response_memory += memory - relay->response_memory;
  relay->response_memory = memory;
}

/* Return the number of bytes of the response that RELAY holds.  */
static size_t
held_bytes (const relay_t *relay)
{
  size_t bytes = relay->response_body.len + relay->sse.partial.len;

  if (relay->has_response_started)
    bytes += httpd_buffered_bytes (relay->req);
  return bytes;
}

/* Give up the response to RELAY, the largest: leave the upstream that sends
   it, or abort it if it is the caller who does not read.  */
static void
give_up_largest (relay_t *relay)
{
  if (!relay->has_response_started
      || httpd_buffered_bytes (relay->req) < relay->sse.partial.len)
    {
      response_too_large (relay, "memory");
      return;
    }
  if (relay->call != NULL)
    relay->possible_run_count++;
  relay_fail (relay, VH_E_UPSTREAM_CUT, "slow-caller", 0);
}

/* Count the memory of the response to RELAY, and give up the largest response
   if all of them take too much.  May destroy RELAY.  */
static void
limit_memory (relay_t *relay)
{
  gateway_state_t *state = relay->state;
  relay_t *largest = relay;

  relay_count_memory (relay);
  if (memory_budget_is_exceeded (&state->memory))
    httpd_release_memory (state->caller_server);
  if (state->response_memory <= RESPONSE_MEMORY_MAX
      && (!memory_budget_is_exceeded (&state->memory)
          || state->response_memory
                 <= state->memory.limit / RESPONSE_MEMORY_DIVISOR))
    return;
  LIST_EACH (at, &state->relays)
    {
      relay_t *other = CONTAINER_OF (at, relay_t, link);
      if (held_bytes (other) > held_bytes (largest))
        largest = other;
    }
  if (held_bytes (largest) > RESPONSE_MEMORY_SMALL)
    give_up_largest (largest);
}

void
relay_note_progress (relay_t *relay)
{
  relay->last_progress_ms = clock_ms (relay->state->clock);
  relay->progress_bytes = http_exchange_bytes_received (relay->call);
  pool_data_received (relay->state->pool, relay->upstream);
}

void
relay_send_stalled (relay_t *relay)
{
  const char *reason = "silent";

  relay->is_connection_lost = upstream_is_unreachable (relay->upstream);
  if (relay->is_connection_lost)
    reason = "lost";
  else if (http_exchange_bytes_received (relay->call) > relay->progress_bytes)
    {
      reason = "no-progress";
      counter_add (relay->state->counters.unbounded_responses, 1);
    }
  relay_send_failed (relay, reason, true);
}

/* Copy the status of HEAD and the headers to forward into RELAY.  */
static void
store_response_head (relay_t *relay, const http_exchange_head_t *head)
{
  relay->response_status = head->status;
  relay->response_headers.len = 0;
  for (size_t i = 0; i < head->header_count; i++)
    {
      const httpc_header_t *header = &head->headers[i];
      if (header->name.len == 0 || forward_is_hop_by_hop (header->name))
        continue;
      buf_append_str (&relay->response_headers, header->name);
      buf_append_char (&relay->response_headers, '\0');
      buf_append_str (&relay->response_headers, header->value);
      buf_append_char (&relay->response_headers, '\0');
    }
}

/* Fill LIST, which has room for HTTP_EXCHANGE_HEADERS_MAX, with the stored
   headers. Return their number.  */
static size_t
stored_headers (const relay_t *relay, httpc_header_t *list)
{
  const char *next = relay->response_headers.ptr;
  const char *end = relay->response_headers.ptr + relay->response_headers.len;
  size_t count = 0;

  while (next < end && count < HTTP_EXCHANGE_HEADERS_MAX)
    {
      list[count].name = str_from (next);
      next += list[count].name.len + 1;
      list[count].value = str_from (next);
      next += list[count++].value.len + 1;
    }
  return count;
}

/* Send the stored response head to the caller and start streaming.  */
static void
start_streaming (relay_t *relay)
{
  httpc_header_t headers[HTTP_EXCHANGE_HEADERS_MAX];
  size_t count = stored_headers (relay, headers);

  relay->has_response_started = true;
  if (relay->state->stopping_ms != 0)
    httpd_disable_keep_alive (relay->req);
  httpd_start_response (relay->req, relay->response_status, headers, count);
}

/* Send the buffered response to the caller and destroy RELAY.  */
static void
send_buffered_response (relay_t *relay)
{
  httpc_header_t headers[HTTP_EXCHANGE_HEADERS_MAX];
  size_t count = stored_headers (relay, headers);

  counter_add (relay->state->counters.answered, 1);
  relay_record_end (
      relay, relay->response_status >= 500 ? EVENT_PASSED : EVENT_ANSWERED,
      relay->response_status, relay->failure_reason, 0);
  if (relay->state->stopping_ms != 0)
    httpd_disable_keep_alive (relay->req);
  httpd_reply (relay->req, relay->response_status, headers, count,
               buf_str (&relay->response_body));
  relay_destroy (relay);
}

/* Return whether HEAD is a valid response of an upstream to this request.  */
static bool
is_valid_response (const relay_t *relay, const http_exchange_head_t *head)
{
  const header_names_t *names = relay->state->names;
  str_t echoed_attempt_id = http_exchange_header (head, names->attempt_id);

  if (echoed_attempt_id.ptr != NULL
      && !str_eq (echoed_attempt_id, str_from (relay->attempt_id)))
    return false;
  /* Callers accept no content encoding, so a response with an encoded body was
     not produced for this request.  A successful response must have a message
     authentication code.  */
  if (http_exchange_header (head, STR ("content-encoding")).ptr != NULL)
    return false;
  return head->status >= 300
         || http_exchange_header (head, names->answer_mac).ptr != NULL;
}

/* Escalate to a larger model if the confidence of the current model is too low
   and the caller has received no part of its response.  Return true if the
   response was discarded and the request sent to a larger model.  */
static bool
escalate (relay_t *relay, const http_exchange_head_t *head)
{
  str_t confidence_header
      = http_exchange_header (head, relay->state->names->confidence);
  uint64_t confidence;
  size_t larger_model;

  /* The answer that is dropped was a run.  */
  if (!relay->attrs.is_repeatable)
    return false;
  if (relay->has_response_started || relay->attrs.route->model_count == 0
      || relay->model_index + 1 >= relay->attrs.route->model_count
      || confidence_header.ptr == NULL
      || !str_to_u64 (confidence_header, &confidence)
      || (larger_model = relay_choose_larger_model (relay, confidence))
             == relay->model_index
      || relay->possible_run_count + 1 >= relay->attrs.route->possible_runs_max
      || !relay_take_retry (relay))
    return false;
  counter_add (relay->state->counters.escalations, 1);
  log_event (EVENT_LARGER,
             log_field_text (FIELD_ID, str_from (relay->attempt_id)),
             log_field_text (FIELD_UPSTREAM, upstream_id (relay->upstream)),
             log_field_number (FIELD_CONFIDENCE, confidence),
             log_field_number (FIELD_EXTRA, relay_retries_left (relay)));
  relay->possible_run_count++;
  relay->was_refused = false;
  relay->model_index = larger_model;
  relay_finish_send (relay, SEND_CANCELLED);
  relay_send (relay);
  return true;
}

/* Return whether callers take STATUS for the promise that the request has not
   run.  */
static bool
is_not_run_status (int status)
{
  return status == 408 || status == 429 || status == 503;
}

static void
on_head (void *arg, const http_exchange_head_t *head)
{
  relay_t *relay = arg;
  const header_names_t *names = relay->state->names;

  relay->has_head = true;
  relay_note_progress (relay);
  if (!is_valid_response (relay, head))
    {
      relay_send_failed (relay, "foreign-answer", true);
      return;
    }
  instance_notices_observe (relay, head);
  if (relay->attrs.route->model_count > 0 && !relay->has_response_started)
    escalation_record_wait (
        gateway_service_escalation (relay->state, relay->attrs.service->name),
        relay_service_model_index (relay, relay->model_index),
        relay->attrs.prompt_tokens, relay->last_progress_ms - relay->sent_ms,
        relay->attrs.route->objective_ms);
  if (head->status == 421
      || http_exchange_header (head, names->not_run).ptr != NULL)
    {
      relay_send_failed (relay, head->status == 421 ? "misdirected" : "shed",
                         false);
      return;
    }
  /* An upstream that does not say that it did not run the request may have run
     it, and the caller would send it again.  */
  if (is_not_run_status (head->status) && !relay->attrs.is_repeatable)
    {
      crash_records_send_survived (relay->state->crash_records,
                                   relay->attrs.content_key);
      relay_send_failed (relay, "upstream-error", true);
      return;
    }
  relay->is_success = head->status < 300;
  if (!relay->is_success && head->status >= 500 && relay_may_retry (relay)
      && relay_check_retry_budget (relay))
    {
      crash_records_send_survived (relay->state->crash_records,
                                   relay->attrs.content_key);
      relay_send_failed (relay, "upstream-error", true);
      return;
    }
  if (relay->has_response_started && !relay->is_success)
    {
      /* The upstream failed to resume the stream.  */
      relay_send_failed (relay, "resume-failed", true);
      return;
    }
  if (relay->is_success)
    relay_record_timing (relay, TRIAL_TIMING_FIRST_EVENT,
                         (double)(relay->last_progress_ms - relay->sent_ms));
  if (relay->is_success && escalate (relay, head))
    return;
  relay->phase = PHASE_RECEIVING_RESPONSE;
  relay->head_received_ms = relay->last_progress_ms;
  if (relay->has_response_started)
    return;
  store_response_head (relay, head);
  if (relay->attrs.route->kind == ROUTE_STREAM && relay->is_success)
    start_streaming (relay);
}

/* Record when the answer began, and that its prompt does not crash the
   instance once the answer has gone on for a while.  */
static void
record_begin (relay_t *relay)
{
  if (relay->first_event_ms == 0)
    relay->first_event_ms = relay->last_progress_ms;
  if (relay->has_survived || !relay_has_begun (relay))
    return;
  relay->has_survived = true;
  crash_records_parts_survived (relay->state->crash_records, &relay->attrs);
}

/* Record that COUNT events of the current send arrived, at least one.  */
static void
record_events (relay_t *relay, size_t count)
{
  relay_note_progress (relay);
  if (relay->unread_prompt_tokens > 0)
    {
      pool_prompt_processed (relay->upstream, relay->unread_prompt_tokens);
      relay->unread_prompt_tokens = 0;
    }
  record_begin (relay);
  relay_record_pace (relay, count, relay->last_progress_ms);
  relay->event_count += count;
  if (relay->send_event_count <= MEAN_GAP_EVENT_COUNT
      && relay->send_event_count + count > MEAN_GAP_EVENT_COUNT)
    relay_record_timing (
        relay, TRIAL_TIMING_EVENT_GAP,
        (double)(relay->last_progress_ms - relay->head_received_ms)
            / (double)(relay->send_event_count + count - 1));
  relay->send_event_count += count;
  counter_add (relay->state->counters.events, count);
}

static void
forward_events (relay_t *relay, str_t bytes)
{
  buf_t out = BUF_NULL;
  size_t count = 0;
  vh_code_t code = sse_filter_feed (&relay->sse, bytes, &out, &count);

  if (count > 0)
    record_events (relay, count);
  if (out.len > 0)
    {
      httpd_send (relay->req, buf_str (&out), false);
      if (!relay->is_paused
          && httpd_buffered_bytes (relay->req) > CALLER_BUFFER_BYTES_HIGH)
        {
          relay->is_paused = true;
          relay->pace = (stream_pace_t){ 0 };
          http_exchange_pause (relay->call);
        }
    }
  buf_free (&out);
  if (code != VH_OK && relay->sse.is_too_large)
    response_too_large (relay, "unbounded");
  else if (code != VH_OK)
    relay_send_failed (relay, "events-out-of-order", true);
  else if (count > 0 && relay_check_move (relay, relay->last_progress_ms))
    return;
  else
    limit_memory (relay);
}

static void
on_body (void *arg, str_t bytes)
{
  relay_t *relay = arg;

  if (relay->has_response_started)
    {
      forward_events (relay, bytes);
      return;
    }
  pool_data_received (relay->state->pool, relay->upstream);
  if (relay->response_body.len + bytes.len > RESPONSE_BODY_BYTES_MAX)
    response_too_large (relay, "answer-too-large");
  else
    {
      buf_append_str (&relay->response_body, bytes);
      limit_memory (relay);
    }
}

void
relay_connect_failed (relay_t *relay, const char *reason)
{
  relay->failure_reason = reason;
  relay->has_connect_failed = true;
  add_tried_upstream (relay);
  relay->send_count--;
  relay_finish_send (relay, SEND_FAILED);
  /* A stream that was moved away from a working upstream must not end because
     the others are full.  */
  if (relay->has_moved && relay->has_response_started)
    relay_resume_stream (relay);
  else if (relay->tried_count < POOL_TRIED_MAX)
    relay_send (relay);
  else
    relay_fail (relay, VH_E_NO_UPSTREAM, reason, RETRY_AFTER_UNAVAILABLE_MS);
}

static void
on_end (void *arg, vh_code_t code)
{
  relay_t *relay = arg;

  relay->call = NULL;
  if (code == VH_E_CONNECT)
    {
      relay_connect_failed (relay, "connect");
      return;
    }
  if (code == VH_OK && relay->has_response_started
      && !sse_filter_at_boundary (&relay->sse))
    code = VH_E_UPSTREAM_CUT;
  relay->is_connection_lost = code == VH_E_UPSTREAM_CUT;
  if (code == VH_E_TOO_LARGE)
    {
      response_too_large (relay, "unbounded");
      return;
    }
  if (code != VH_OK)
    {
      relay_send_failed (relay, code == VH_E_PROTOCOL ? "garbled" : "cut",
                         true);
      return;
    }
  crash_records_send_survived (relay->state->crash_records,
                               relay->attrs.content_key);
  if (relay->is_success && !relay->has_survived)
    crash_records_parts_survived (relay->state->crash_records, &relay->attrs);
  relay_finish_send (relay, relay->is_success || relay->response_status < 500
                                ? SEND_OK
                                : SEND_FAILED);
  if (!relay->has_response_started)
    {
      send_buffered_response (relay);
      return;
    }
  relay_record_length (relay);
  counter_add (relay->state->counters.answered, 1);
  relay->event_count += relay->sse.comment_count;
  counter_add (relay->state->counters.events, relay->sse.comment_count);
  relay_record_end (relay, EVENT_ANSWERED, relay->response_status,
                    relay->failure_reason, 0);
  /* The last bytes may still be in the write queue.  If the caller disconnects
     before they are written, the disconnect callback must not use the
     destroyed relay.  */
  httpd_set_callbacks (relay->req, NULL, NULL, NULL);
  httpd_send (relay->req, STR (""), true);
  relay_destroy (relay);
}

const http_exchange_events_t relay_call_events = { on_head, on_body, on_end };
