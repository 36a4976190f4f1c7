#include "gateway/relayint.h"

#include "gateway/forward.h"

enum
{
  /* Bytes kept for a slow caller before its upstream is held back.  */
  BUFFER_HIGH = 65536,
  /* Callers may not ask for more than this with one request.  */
  SENDS_MAX = POOL_TRIED_MAX,
  /* Of an answer with a length, which is gathered.  */
  WHOLE_BYTES_MAX = 8 << 20,
  /* Events after the first by which the pace of a stream is known: they come
     in clumps of some.  */
  PACE_EVENTS = 8,
  /* Of an upstream's answer; more are not passed on.  */
  HEADERS_MAX = 64,
  /* Between looks for an upstream with room for a stream that was broken off:
     a few times within the pause that is on time.  */
  HELD_LOOK_MS = 150
};

bool
relay_may_send_again (const relay_t *relay)
{
  return relay->terms.may_repeat
         && relay->runs < relay->terms.route->attempts_max
         && relay->sends < SENDS_MAX;
}

/* The extra sends of the request's service.  */
static send_budget_t *
allowance_of (const relay_t *relay)
{
  return belief_allowance (relay->belief, relay->terms.service->name);
}

bool
relay_may_take_extra (const relay_t *relay)
{
  return send_budget_remaining (allowance_of (relay)) >= 1;
}

/* Take one of the extra sends, or tell why not.  */
static bool
take_extra (relay_t *relay)
{
  send_budget_t *allowance = allowance_of (relay);

  if (!send_budget_try_take (allowance, 0))
    return false;
  counter_add (relay->belief->counters.resends, 1);
  return true;
}

/* Whole extra sends that the service has left here.  */
static uint64_t
extra_left (const relay_t *relay)
{
  double left = send_budget_remaining (allowance_of (relay));

  return left > 0 ? (uint64_t)left : 0;
}

static void
remember_tried (relay_t *relay)
{
  if (relay->tried_count < POOL_TRIED_MAX)
    relay->tried[relay->tried_count++] = relay->upstream;
}

/* Send the rest of a stream that was broken off to another upstream, as soon
   as one has room and an extra send is left.  The caller has part of the
   answer, which is lost to it when it ends here: at an entry that took a sound
   upstream for lost, all of its streams there were cut because the others were
   full in that moment.  */
void
relay_go_on (relay_t *relay)
{
  if (relay_may_take_extra (relay) && relay_has_place (relay)
      && take_extra (relay))
    {
      counter_add (relay->belief->counters.resumes, 1);
      relay_send (relay);
      return;
    }
  relay->phase = PHASE_HELD;
  bound_start (&relay->bound, HELD_LOOK_MS);
}

/* The present send failed for REASON; RAN unless the upstream said that it
   did not run the request.  Send it again where that is allowed.  */
void
relay_send_failed (relay_t *relay, const char *reason, bool ran)
{
  uint64_t now_ms = clock_ms (relay->belief->clock);

  log_event (EVENT_SEND_FAILED,
             field_text (FIELD_ID, str_from (relay->attempt_id)),
             field_text (FIELD_UPSTREAM, upstream_id (relay->upstream)),
             field_text (FIELD_REASON, str_from (reason)),
             field_number (FIELD_RAN, ran),
             field_number (FIELD_EVENTS, relay->event_count),
             field_number (FIELD_MS, now_ms - relay->terms.arrived_ms),
             field_number (FIELD_EXTRA, extra_left (relay)));
  relay->reason = reason;
  if (ran)
    relay->runs++;
  remember_tried (relay);
  relay->shed = !ran;
  if (ran && relay_arm (relay) == TRIAL_NEW)
    relay->on_trial.failed = true;
  relay_end_send (relay, ran ? SEND_FAILED : SEND_REFUSED);
  relay->head.len = 0;
  relay->body.len = 0;
  events_restart (&relay->events);
  bool allowed = ran ? relay_may_send_again (relay) : relay->sends < SENDS_MAX;
  if (allowed && relay->started)
    relay_go_on (relay);
  else if (allowed && take_extra (relay))
    relay_send (relay);
  else
    relay_give_up (relay, ran ? VH_E_UPSTREAM_CUT : VH_E_FULL, reason, 0);
}

/* Remember HEAD for the caller.  */
static void
keep_head (relay_t *relay, const call_head_t *head)
{
  relay->status = head->status;
  relay->head.len = 0;
  for (size_t i = 0; i < head->header_count; i++)
    {
      const httpc_header_t *header = &head->headers[i];
      if (header->name.len == 0 || forward_is_hop (header->name))
        continue;
      buf_append_str (&relay->head, header->name);
      buf_append_char (&relay->head, '\0');
      buf_append_str (&relay->head, header->value);
      buf_append_char (&relay->head, '\0');
    }
}

/* The headers of the remembered head, in LIST of HEADERS_MAX; return how
   many.  */
static size_t
kept_headers (const relay_t *relay, httpc_header_t *list)
{
  const char *at = relay->head.ptr;
  const char *end = relay->head.ptr + relay->head.len;
  size_t count = 0;

  while (at < end && count < HEADERS_MAX)
    {
      list[count].name = str_from (at);
      at += list[count].name.len + 1;
      list[count].value = str_from (at);
      at += list[count++].value.len + 1;
    }
  return count;
}

/* Begin the caller's answer with the remembered head.  */
static void
start_stream (relay_t *relay)
{
  httpc_header_t headers[HEADERS_MAX];
  size_t count = kept_headers (relay, headers);

  relay->started = true;
  if (relay->belief->stopping_ms != 0)
    httpd_close_after (relay->req);
  httpd_start (relay->req, relay->status, headers, count);
}

/* Pass on the whole answer that was gathered.  */
static void
pass_whole (relay_t *relay)
{
  httpc_header_t headers[HEADERS_MAX];
  size_t count = kept_headers (relay, headers);

  counter_add (relay->belief->counters.answered, 1);
  relay_tell_end (relay, relay->status >= 500 ? EVENT_PASSED : EVENT_ANSWERED,
                  relay->status, relay->reason, 0);
  if (relay->belief->stopping_ms != 0)
    httpd_close_after (relay->req);
  httpd_reply (relay->req, relay->status, headers, count,
               buf_str (&relay->body));
  relay_destroy (relay);
}

/* Take in what the head says of the upstream.  */
static void
learn_from_head (relay_t *relay, const call_head_t *head)
{
  const header_names_t *names = relay->belief->names;
  str_t load = call_header (head, names->load);
  str_t cold = call_header (head, names->cold_ms);
  uint64_t numbers[3] = { 0, 0, 0 };
  uint64_t cold_ms;
  size_t count = 0;

  while (
      load.ptr != NULL && count < 3
      && str_to_u64 (str_trim (str_cut (load, ',', &load)), &numbers[count]))
    count++;
  if (count == 3)
    {
      relay->load = (uint32_t)(numbers[0] + numbers[1]);
      relay->is_loaded = numbers[0] * 2 >= numbers[2];
      pool_record_load (relay->belief->pool, relay->upstream,
                        (uint32_t)numbers[0], (uint32_t)numbers[1],
                        (uint32_t)numbers[2]);
    }
  if (cold.ptr != NULL && str_to_u64 (cold, &cold_ms) && cold_ms > 0)
    pool_set_cold (relay->belief->pool, relay->upstream, cold_ms);
}

/* Tell whether HEAD is an answer to this very request.  */
static bool
is_own_answer (const relay_t *relay, const call_head_t *head)
{
  const header_names_t *names = relay->belief->names;
  str_t echoed = call_header (head, names->attempt_id);

  if (echoed.ptr != NULL && !str_eq (echoed, str_from (relay->attempt_id)))
    return false;
  if (head->status < 200 || head->status > 599)
    return false;
  /* Callers ask for bodies without a coding, so a coded one was not made by
     the upstream; and no success is without its mac.  */
  if (call_header (head, STR ("content-encoding")).ptr != NULL)
    return false;
  return head->status >= 300
         || call_header (head, names->answer_mac).ptr != NULL;
}

/* Drop the answer of a smaller model that doubts itself, while the caller has
   none of it.  Return true when the request went on to a larger one.  */
static bool
escalate (relay_t *relay, const call_head_t *head)
{
  str_t text = call_header (head, relay->belief->names->confidence);
  uint64_t confidence;
  size_t larger;

  if (relay->started || relay->terms.route->model_count == 0
      || relay->model + 1 >= relay->terms.route->model_count
      || text.ptr == NULL || !str_to_u64 (text, &confidence)
      || (larger = relay_larger (relay, confidence)) == relay->model
      || relay->runs + 1 >= relay->terms.route->attempts_max
      || !take_extra (relay))
    return false;
  counter_add (relay->belief->counters.escalations, 1);
  log_event (EVENT_LARGER, field_text (FIELD_ID, str_from (relay->attempt_id)),
             field_text (FIELD_UPSTREAM, upstream_id (relay->upstream)),
             field_number (FIELD_CONFIDENCE, confidence),
             field_number (FIELD_EXTRA, extra_left (relay)));
  relay->runs++;
  relay->model = larger;
  relay_end_send (relay, SEND_CANCELLED);
  relay_send (relay);
  return true;
}

static void
on_head (void *arg, const call_head_t *head)
{
  relay_t *relay = arg;
  const header_names_t *names = relay->belief->names;

  relay->last_ms = clock_ms (relay->belief->clock);
  pool_data_received (relay->belief->pool, relay->upstream);
  if (!is_own_answer (relay, head))
    {
      relay_send_failed (relay, "foreign-answer", true);
      return;
    }
  learn_from_head (relay, head);
  if (relay->terms.route->model_count > 0 && !relay->started)
    escalation_record_wait (
        belief_escalation (relay->belief, relay->terms.service->name),
        relay_service_model (relay, relay->model), relay->terms.prompt,
        relay->last_ms - relay->sent_ms, relay->terms.route->objective_ms);
  if (head->status == 421 || call_header (head, names->not_run).ptr != NULL)
    {
      relay_send_failed (relay, head->status == 421 ? "misdirected" : "shed",
                         false);
      return;
    }
  relay->is_ok = head->status < 300;
  if (!relay->is_ok && head->status >= 500 && relay_may_send_again (relay)
      && relay_may_take_extra (relay))
    {
      relay_send_failed (relay, "upstream-error", true);
      return;
    }
  if (relay->started && !relay->is_ok)
    {
      /* A stream that goes on elsewhere was refused with a plain failure.  */
      relay_send_failed (relay, "resume-failed", true);
      return;
    }
  if (relay->is_ok)
    relay_time_trial (relay, TRIAL_TIMING_FIRST_EVENT,
                      (double)(relay->last_ms - relay->sent_ms));
  if (relay->is_ok && escalate (relay, head))
    return;
  relay->phase = PHASE_ANSWERING;
  relay->head_ms = relay->last_ms;
  if (relay->started)
    return;
  keep_head (relay, head);
  if (relay->terms.route->kind == ROUTE_STREAM && relay->is_ok)
    start_stream (relay);
}

static void
take_events (relay_t *relay, str_t bytes)
{
  buf_t out = BUF_NULL;
  size_t count = 0;
  vh_code_t code = events_take (&relay->events, bytes, &out, &count);

  if (out.len > 0)
    {
      if (relay->prompt_left > 0)
        {
          pool_prompt_processed (relay->upstream, relay->prompt_left);
          relay->prompt_left = 0;
        }
      relay->event_count += count;
      if (relay->send_events <= PACE_EVENTS
          && relay->send_events + count > PACE_EVENTS)
        relay_time_trial (relay, TRIAL_TIMING_EVENT_GAP,
                          (double)(relay->last_ms - relay->head_ms)
                              / (double)(relay->send_events + count - 1));
      relay->send_events += count;
      counter_add (relay->belief->counters.events, count);
      httpd_send (relay->req, buf_str (&out), false);
      if (!relay->paused && httpd_buffered (relay->req) > BUFFER_HIGH)
        {
          relay->paused = true;
          call_pause (relay->call);
        }
    }
  buf_free (&out);
  if (code != VH_OK)
    relay_send_failed (relay, "events-out-of-order", true);
}

static void
on_body (void *arg, str_t bytes)
{
  relay_t *relay = arg;

  relay->last_ms = clock_ms (relay->belief->clock);
  pool_data_received (relay->belief->pool, relay->upstream);
  if (relay->started)
    take_events (relay, bytes);
  else if (relay->body.len + bytes.len > WHOLE_BYTES_MAX)
    relay_send_failed (relay, "answer-too-large", true);
  else
    buf_append_str (&relay->body, bytes);
}

static void
on_end (void *arg, vh_code_t code)
{
  relay_t *relay = arg;

  relay->call = NULL;
  if (code == VH_E_CONNECT)
    {
      /* Nothing left, so it costs no extra send.  */
      relay->reason = "connect";
      relay->unsent = true;
      remember_tried (relay);
      relay->sends--;
      relay_end_send (relay, SEND_FAILED);
      if (relay->tried_count < POOL_TRIED_MAX)
        relay_send (relay);
      else
        relay_give_up (relay, VH_E_NO_UPSTREAM, "connect",
                       RETRY_UNAVAILABLE_MS);
      return;
    }
  if (code == VH_OK && relay->started && !events_at_border (&relay->events))
    code = VH_E_UPSTREAM_CUT;
  relay->broke = code == VH_E_UPSTREAM_CUT;
  if (code != VH_OK)
    {
      relay_send_failed (relay, code == VH_E_PROTOCOL ? "garbled" : "cut",
                         true);
      return;
    }
  relay_end_send (relay,
                  relay->is_ok || relay->status < 500 ? SEND_OK : SEND_FAILED);
  if (!relay->started)
    {
      pass_whole (relay);
      return;
    }
  counter_add (relay->belief->counters.answered, 1);
  relay_tell_end (relay, EVENT_ANSWERED, relay->status, relay->reason, 0);
  /* The last bytes may wait behind a write: a caller that leaves meanwhile
     must not be told to a relay that is gone.  */
  httpd_watch (relay->req, NULL, NULL, NULL);
  httpd_send (relay->req, STR (""), true);
  relay_destroy (relay);
}

const call_events_t relay_call_events = { on_head, on_body, on_end };
