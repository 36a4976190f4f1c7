/* One request on its way: who sends it and what it may, which upstream gets
   it, what comes back, and what the caller is told.

   What a caller is told follows from what may have happened.  As long as no
   byte of the request left, or each upstream that had it said that it did not
   run it, the answer is 503 with Retry-After; after that only an upstream's
   own answer, 502 or 504.  */

#include "gateway/gatewayint.h"

#include "base/bound.h"
#include "base/eventlog.h"
#include "gateway/events.h"
#include "gateway/forward.h"
#include "gateway/termsint.h"
#include "wire/call.h"

#include <math.h>
#include <stdlib.h>

enum
{
  /* A SYN that was lost is sent again by the kernel after a second; another
     upstream is asked long before.  Links have at most some milliseconds.  */
  CONNECT_MS = 250,
  /* Objectives after which a first event is no longer waited for: callers
     leave at about four.  */
  PATIENCE = 2,
  /* Longest pauses between events that are on time after which a stream is no
     longer waited for, though its engine takes connections: only a connection
     that has gone silent by itself is left then.  Callers leave at eight.  */
  PAUSES = 3,
  /* Time for a look at a silent engine: links have at most some
     milliseconds, and a busy machine's kernel answers at once.  */
  LOOK_MS = 250,
  LOOK_SLACK_MS = 10,
  /* Of rank 0; what bears none counts as 5 at an engine.  */
  URGENCY_FIRST = 3,
  /* Bytes kept for a slow caller before its upstream is held back.  */
  BUFFER_HIGH = 65536,
  /* Callers may not ask for more than this with one request.  */
  SENDS_MAX = POOL_TRIED_MAX,
  WHOLE_BYTES_MAX = 8 << 20,
  /* Of instances that get the first share of a version: one that happens to
     have a queue must not speak for all.  */
  FEW_LEAST = 2,
  /* Events after the first by which the pace of a stream is known: they come
     in clumps of some.  */
  PACE_EVENTS = 8,
  /* Of an upstream's answer; more are not passed on.  */
  HEADERS_MAX = 64,
  /* Time that an answer needs on its way back to the caller.  */
  RETURN_MS = 5,
  /* A refusal for want of room says to return after this, give or take half:
     some slots are free again after it.  */
  RETRY_FULL_MS = 400,
  /* No configuration, or no instance: these come back within seconds.  */
  RETRY_UNAVAILABLE_MS = 700,
  /* The first read of the store takes a tenth of a second; when it takes so
     long the store is away.  */
  START_MS = 800,
  START_LOOK_MS = 10,
  /* The balancer has named other entries by then.  */
  RETRY_DRAINING_MS = 50,
  /* Between looks for an upstream with room for a stream that was broken off:
     a few times within the pause that is on time.  */
  HELD_LOOK_MS = 150
};

/* Part of the objective after which a plain service that has not answered is
   given up for another, if the request may run twice.  */
static const double first_answer_part = 0.7;

typedef enum
{
  PHASE_EARLY,    /* Waits until this process knows what it needs.  */
  PHASE_HELD,     /* A stream that was broken off waits for an upstream.  */
  PHASE_SENT,     /* No head yet.  */
  PHASE_ANSWERING /* The caller gets the answer of the present call.  */
} phase_t;

typedef struct
{
  list_t link;
  belief_t *belief;
  httpd_req_t *req;
  terms_t terms;
  char *attempt_id;
  size_t model;  /* Index into the route's models.  */
  bound_t bound; /* Until the next moment at which something is due.  */
  /* The present send.  */
  call_t *call;
  upstream_t *upstream;
  phase_t phase;
  uint64_t sent_ms;
  uint64_t head_ms; /* Of the answer's head.  */
  uint64_t last_ms; /* Something came.  */
  uint64_t send_events;
  uint32_t load; /* Of the upstream when it answered.  */
  uint32_t prompt_left;
  bool is_ok;  /* The head said 2xx.  */
  bool broke;  /* Its connection ended early or the upstream is lost.  */
  bool unsent; /* No connection could be made.  */
  /* All sends.  */
  const upstream_t *tried[POOL_TRIED_MAX];
  size_t tried_count;
  size_t sends;
  size_t runs;  /* Sends that may have run.  */
  bool started; /* The caller has the head of an answer.  */
  events_t events;
  uint64_t event_count;
  /* An answer with a length, until it is whole.  */
  int status;
  buf_t head; /* Pairs of NAME NUL VALUE NUL.  */
  buf_t body;
  bool paused;
  bool shed;             /* The last upstream said that it did not run it.  */
  trial_sent_t on_trial; /* Its sends while a version is under trial.  */
  const char *reason;    /* Of the last failure, for the log.  */
} relay_t;

static void relay_send (relay_t *relay);
static void want_next (const relay_t *relay, pool_want_t *want);

/* Endings.  */

static void
on_bound_closed (void *arg)
{
  relay_t *relay = arg;

  events_free (&relay->events);
  buf_free (&relay->head);
  buf_free (&relay->body);
  terms_free (&relay->terms);
  free (relay->attempt_id);
  free (relay);
}

static void
relay_destroy (relay_t *relay)
{
  list_remove (&relay->link);
  bound_close (&relay->bound, on_bound_closed);
}

static trial_t *
relay_trial (const relay_t *relay)
{
  return map_get (relay->belief->trials, relay->terms.service->name);
}

/* Tell whether the present send is to a version under trial.  */
static bool
is_on_trial (const relay_t *relay)
{
  const trial_t *trial = relay_trial (relay);

  return trial != NULL && trial_phase (trial) == TRIAL_RUNNING
         && str_eq (upstream_version (relay->upstream), trial_version (trial));
}

/* Tell the trial of the service what became of the present send.  An instance
   that takes no connection says nothing of its version: it may be down for any
   cause, and each entry runs into it again and again.  */
static void
tell_trial (relay_t *relay, send_outcome_t outcome)
{
  trial_t *trial = relay_trial (relay);

  if (trial == NULL || trial_phase (trial) != TRIAL_RUNNING
      || (outcome != SEND_OK && outcome != SEND_FAILED) || relay->unsent)
    return;
  uint64_t wait_ms
      = relay->phase == PHASE_ANSWERING ? relay->head_ms - relay->sent_ms : 0;
  trial_observe (trial, is_on_trial (relay) ? TRIAL_NEW : TRIAL_OLD,
                 str_hash (relay->terms.route->name, 0),
                 outcome == SEND_OK ? TRIAL_ANSWERED
                 : relay->broke     ? TRIAL_BROKE
                                    : TRIAL_FAILED,
                 wait_ms);
}

/* Tell the trial of the service how long the present send took for TIMING.  */
static void
time_trial (const relay_t *relay, trial_timing_t timing, double ms)
{
  trial_t *trial = relay_trial (relay);

  if (trial != NULL && trial_phase (trial) == TRIAL_RUNNING)
    trial_time (trial, is_on_trial (relay) ? TRIAL_NEW : TRIAL_OLD,
                str_hash (relay->terms.route->name, 0), timing, relay->load,
                ms);
}

/* Let go of the present send.  */
static void
end_send (relay_t *relay, send_outcome_t outcome)
{
  if (relay->call != NULL)
    call_cancel (relay->call);
  relay->call = NULL;
  if (relay->upstream == NULL)
    return;
  tell_trial (relay, outcome);
  pool_finished (relay->belief->pool, relay->upstream, relay->prompt_left,
                 outcome);
  relay->upstream = NULL;
}

/* The model that is chosen here, or NONE where the route leaves no choice.  */
static str_t
model_or (const relay_t *relay, str_t none)
{
  const route_t *route = relay->terms.route;

  return route->model_count > 0 ? route->models[relay->model] : none;
}

/* Bill what an upstream answered and the caller got, whole or in part.  */
static void
bill_answer (const relay_t *relay, log_event_t event)
{
  bool whole = event == EVENT_ANSWERED;

  if (!whole && !(relay->started && relay->event_count > 0))
    return;
  if (relay->status >= 300 || relay->terms.route == NULL)
    return;
  const bill_t bill = {
    .id = str_from (relay->attempt_id),
    .team = relay->terms.team != NULL ? relay->terms.team->name : STR (""),
    .route = relay->terms.route->name,
    .model = model_or (relay, STR ("")),
    .prompt = relay->terms.prompt,
    .events = relay->event_count,
    .runs = (uint32_t)relay->runs + 1,
    .whole = whole,
  };
  billing_add (relay->belief->bills, &bill);
}

/* Count the request under its route, team and outcome, and write one line on
   how it ended.  */
static void
tell_end (const relay_t *relay, log_event_t event, int status,
          const char *reason, uint64_t retry_ms)
{
  belief_t *belief = relay->belief;
  const log_event_info_t *info = log_event_info (event);
  uint64_t age_ms = follow_age_ms (belief->orders);
  str_t route
      = relay->terms.route != NULL ? relay->terms.route->name : STR ("-");
  str_t team = relay->terms.team != NULL ? relay->terms.team->name : STR ("-");
  uint64_t ms = clock_ms (belief->clock) - relay->terms.arrived_ms;

  if (reason == NULL)
    reason = "-";
  bill_answer (relay, event);
  tally_request (belief->tally, route, team, info->name, reason, ms);
  log_event (event, field_text (FIELD_ID, str_from (relay->attempt_id)),
             field_text (FIELD_ROUTE, route), field_text (FIELD_TEAM, team),
             field_number (FIELD_STATUS, (uint64_t)status),
             field_text (FIELD_REASON, str_from (reason)),
             field_number (FIELD_SENDS, relay->sends),
             field_number (FIELD_RUNS, relay->runs),
             field_number (FIELD_EVENTS, relay->event_count),
             field_number (FIELD_MS, ms),
             field_number (FIELD_RETRY_MS, retry_ms),
             field_number (FIELD_AGE_MS, age_ms),
             field_number (FIELD_REVISION,
                           relay->terms.catalog != NULL
                               ? catalog_revision (relay->terms.catalog)
                               : 0));
}

/* Answer with an error of our own and end.  RETRY_MS 0: no Retry-After.  */
static void
relay_reply (relay_t *relay, int status, vh_code_t code, const char *reason,
             uint64_t retry_ms)
{
  belief_t *belief = relay->belief;
  buf_t body = BUF_NULL;
  buf_t retry = BUF_NULL;
  httpc_header_t headers[3] = {
    { STR ("content-type"), STR ("application/json") },
    { STR ("vanillahook-attempt"), str_from (relay->attempt_id) },
  };
  size_t count = 2;
  bool not_run = status != 502 && status != 504;
  uint64_t wait_ms = 0;

  end_send (relay, SEND_DROPPED);
  if (relay->started)
    {
      tell_end (relay, EVENT_CUT, status, reason, 0);
      counter_add (belief->counters.failed, 1);
      httpd_abort (relay->req);
      relay_destroy (relay);
      return;
    }
  if (retry_ms > 0)
    {
      wait_ms = retry_ms / 2 + rng_below (&belief->rng, retry_ms);
      buf_printf (&retry, "%.3f", (double)wait_ms / 1000);
      headers[count].name = STR ("retry-after");
      headers[count++].value = buf_str (&retry);
    }
  code_write_error (code, not_run ? "not-run" : "unknown", &body);
  counter_add (not_run ? belief->counters.refused : belief->counters.failed,
               1);
  tell_end (relay, not_run ? EVENT_REFUSED : EVENT_FAILED, status, reason,
            wait_ms);
  if (belief->stopping_ms != 0)
    httpd_close_after (relay->req);
  httpd_reply (relay->req, status, headers, count, buf_str (&body));
  buf_free (&retry);
  buf_free (&body);
  relay_destroy (relay);
}

/* Give the request up: what the caller is told depends on whether it may have
   run.  */
static void
relay_give_up (relay_t *relay, vh_code_t code, const char *reason,
               uint64_t retry_ms)
{
  if (relay->runs > 0)
    relay_reply (relay, code == VH_E_DEADLINE ? 504 : 502,
                 code == VH_E_DEADLINE ? code : VH_E_UNKNOWN, reason, 0);
  else
    relay_reply (relay, 503, code, reason,
                 retry_ms > 0 ? retry_ms : RETRY_FULL_MS);
}

/* What comes back.  */

static bool
may_send_again (const relay_t *relay)
{
  return relay->terms.may_repeat
         && relay->runs < relay->terms.route->attempts_max
         && relay->sends < SENDS_MAX;
}

/* The extra sends of the request's service.  */
static allowance_t *
allowance_of (const relay_t *relay)
{
  return belief_allowance (relay->belief, relay->terms.service->name);
}

static bool
may_take_extra (const relay_t *relay)
{
  return allowance_left (allowance_of (relay)) >= 1;
}

/* Take one of the extra sends, or tell why not.  */
static bool
take_extra (relay_t *relay)
{
  allowance_t *allowance = allowance_of (relay);

  if (!allowance_take (allowance, 0))
    return false;
  counter_add (relay->belief->counters.resends, 1);
  return true;
}

/* Whole extra sends that the service has left here.  */
static uint64_t
extra_left (const relay_t *relay)
{
  double left = allowance_left (allowance_of (relay));

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
static void
go_on (relay_t *relay)
{
  pool_want_t want;
  upstream_t *upstream;
  belief_t *belief = relay->belief;

  want_next (relay, &want);
  if (may_take_extra (relay)
      && pool_choose (belief->pool, &want, &upstream) != VH_E_FULL
      && take_extra (relay))
    {
      counter_add (belief->counters.resumes, 1);
      relay_send (relay);
      return;
    }
  relay->phase = PHASE_HELD;
  bound_start (&relay->bound, HELD_LOOK_MS);
}

/* The present send failed for REASON; RAN unless the upstream said that it
   did not run the request.  Send it again where that is allowed.  */
static void
send_failed (relay_t *relay, const char *reason, bool ran)
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
  if (ran && is_on_trial (relay))
    relay->on_trial.failed = true;
  end_send (relay, ran ? SEND_FAILED : SEND_REFUSED);
  relay->head.len = 0;
  relay->body.len = 0;
  events_restart (&relay->events);
  bool allowed = ran ? may_send_again (relay) : relay->sends < SENDS_MAX;
  if (allowed && relay->started)
    go_on (relay);
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
  tell_end (relay, relay->status >= 500 ? EVENT_PASSED : EVENT_ANSWERED,
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
      pool_load (relay->belief->pool, relay->upstream, (uint32_t)numbers[0],
                 (uint32_t)numbers[1], (uint32_t)numbers[2]);
    }
  if (cold.ptr != NULL && str_to_u64 (cold, &cold_ms) && cold_ms > 0)
    pool_cold (relay->belief->pool, relay->upstream, cold_ms);
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

/* Index among the service's models of the route's model at INDEX;
   SERVICE_MODELS_MAX when the service does not list it.  */
static size_t
service_model (const relay_t *relay, size_t index)
{
  const service_t *service = relay->terms.service;

  for (size_t i = 0; i < service->model_count; i++)
    if (str_eq (service->models[i].name, relay->terms.route->models[index]))
      return i;
  return SERVICE_MODELS_MAX;
}

static double
model_cost (const relay_t *relay, size_t index)
{
  return index < SERVICE_MODELS_MAX ? relay->terms.service->models[index].cost
                                    : 0;
}

/* Requests at the engine that would read the prompt if it went to the largest
   model now; all that an engine can carry when none would.  */
static double
load_beside (const relay_t *relay)
{
  relay_t next = *relay;
  pool_want_t want;
  upstream_t *upstream;

  next.model = relay->terms.route->model_count - 1;
  want_next (&next, &want);
  if (pool_choose (relay->belief->pool, &want, &upstream) != VH_OK)
    return upstream_slots (relay->upstream);
  return upstream_load (relay->belief->pool, upstream);
}

/* What it is worth to drop the present answer, of which its model has OPINION,
   for that of the largest model.  */
static double
weigh (const relay_t *relay, uint64_t opinion)
{
  const terms_t *terms = &relay->terms;
  size_t model = service_model (relay, relay->model);
  size_t larger = service_model (relay, terms->route->model_count - 1);
  const escalation_case_t request
      = { .model = model,
          .larger = larger,
          .cost = model_cost (relay, model),
          .larger_cost = model_cost (relay, larger),
          .read = terms->prompt,
          .generated = terms->generated,
          .rank = terms->route->priority,
          .opinion = opinion < 100 ? (uint32_t)opinion : 100,
          .elapsed_ms = relay->last_ms - terms->arrived_ms,
          .objective_ms = terms->route->objective_ms,
          .pause_ms = terms->route->pause_ms,
          .beside = load_beside (relay) };

  return escalation_gain (
      belief_escalation (relay->belief, terms->service->name), &request);
}

/* Drop the answer of a smaller model that doubts itself, while the caller has
   none of it.  Return true when the request went on to a larger one.  */
static bool
escalate (relay_t *relay, const call_head_t *head)
{
  str_t text = call_header (head, relay->belief->names->confidence);
  uint64_t confidence;

  if (relay->started || relay->terms.route->model_count == 0
      || relay->model + 1 >= relay->terms.route->model_count
      || text.ptr == NULL || !str_to_u64 (text, &confidence)
      || weigh (relay, confidence) <= 0
      || relay->runs + 1 >= relay->terms.route->attempts_max
      || !take_extra (relay))
    return false;
  counter_add (relay->belief->counters.escalations, 1);
  log_event (EVENT_LARGER, field_text (FIELD_ID, str_from (relay->attempt_id)),
             field_text (FIELD_UPSTREAM, upstream_id (relay->upstream)),
             field_number (FIELD_CONFIDENCE, confidence),
             field_number (FIELD_EXTRA, extra_left (relay)));
  relay->runs++;
  relay->model = relay->terms.route->model_count - 1;
  end_send (relay, SEND_DROPPED);
  relay_send (relay);
  return true;
}

static void
on_head (void *arg, const call_head_t *head)
{
  relay_t *relay = arg;
  const header_names_t *names = relay->belief->names;

  relay->last_ms = clock_ms (relay->belief->clock);
  pool_heard (relay->belief->pool, relay->upstream);
  if (!is_own_answer (relay, head))
    {
      send_failed (relay, "foreign-answer", true);
      return;
    }
  learn_from_head (relay, head);
  if (relay->terms.route->model_count > 0 && !relay->started)
    escalation_heard (
        belief_escalation (relay->belief, relay->terms.service->name),
        service_model (relay, relay->model), relay->terms.prompt,
        relay->last_ms - relay->sent_ms, relay->terms.route->objective_ms);
  if (head->status == 421 || call_header (head, names->not_run).ptr != NULL)
    {
      send_failed (relay, head->status == 421 ? "misdirected" : "shed", false);
      return;
    }
  relay->is_ok = head->status < 300;
  if (!relay->is_ok && head->status >= 500 && may_send_again (relay)
      && may_take_extra (relay))
    {
      send_failed (relay, "upstream-error", true);
      return;
    }
  if (relay->started && !relay->is_ok)
    {
      /* A stream that goes on elsewhere was refused with a plain failure.  */
      send_failed (relay, "resume-failed", true);
      return;
    }
  if (relay->is_ok)
    time_trial (relay, TIMING_FIRST,
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
          pool_first (relay->upstream, relay->prompt_left);
          relay->prompt_left = 0;
        }
      relay->event_count += count;
      if (relay->send_events <= PACE_EVENTS
          && relay->send_events + count > PACE_EVENTS)
        time_trial (relay, TIMING_GAP,
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
    send_failed (relay, "events-out-of-order", true);
}

static void
on_body (void *arg, str_t bytes)
{
  relay_t *relay = arg;

  relay->last_ms = clock_ms (relay->belief->clock);
  pool_heard (relay->belief->pool, relay->upstream);
  if (relay->started)
    take_events (relay, bytes);
  else if (relay->body.len + bytes.len > WHOLE_BYTES_MAX)
    send_failed (relay, "answer-too-large", true);
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
      end_send (relay, SEND_FAILED);
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
      send_failed (relay, code == VH_E_PROTOCOL ? "garbled" : "cut", true);
      return;
    }
  end_send (relay,
            relay->is_ok || relay->status < 500 ? SEND_OK : SEND_FAILED);
  if (!relay->started)
    {
      pass_whole (relay);
      return;
    }
  counter_add (relay->belief->counters.answered, 1);
  tell_end (relay, EVENT_ANSWERED, relay->status, relay->reason, 0);
  /* The last bytes may wait behind a write: a caller that leaves meanwhile
     must not be told to a relay that is gone.  */
  httpd_watch (relay->req, NULL, NULL, NULL);
  httpd_send (relay->req, STR (""), true);
  relay_destroy (relay);
}

/* Sending.  */

/* Arm the timer for the next moment at which something is due.  */
static void arm_bound (relay_t *relay, uint64_t now_ms);

/* Tell whether VERSION of the request's service has an instance in service. */
static bool
has_version (const relay_t *relay, str_t version)
{
  return pool_count (relay->belief->pool, relay->terms.service->name, ARM_NEW,
                     version)
         > 0;
}

/* How many instances of the version under TRIAL get its share of the requests,
   so that they are as loaded as those of the old one.  */
static size_t
few_of (const relay_t *relay, const trial_t *trial)
{
  const belief_t *belief = relay->belief;
  double share = trial_share (trial, follow_store_ms (belief->orders));
  size_t old = pool_count (belief->pool, relay->terms.service->name, ARM_OLD,
                           trial_version (trial));

  size_t few = (size_t)ceil (share * (double)old);
  return few > FEW_LEAST ? few : FEW_LEAST;
}

/* Which versions WANT may go to.  */
static void
choose_arm (const relay_t *relay, pool_want_t *want)
{
  belief_t *belief = relay->belief;
  const trial_t *trial = relay_trial (relay);

  want->arm = ARM_ANY;
  if (trial == NULL)
    return;
  want->version = trial_version (trial);
  switch (trial_phase (trial))
    {
    case TRIAL_ROLLED_BACK:
      want->arm = ARM_OLD;
      break;
    case TRIAL_DONE:
      if (has_version (relay, want->version))
        want->arm = ARM_NEW;
      break;
    case TRIAL_RUNNING:
      if (trial_choose (trial, relay->terms.session,
                        follow_store_ms (belief->orders), &relay->on_trial)
              == TRIAL_NEW
          && has_version (relay, want->version))
        {
          want->arm = ARM_NEW;
          want->few = few_of (relay, trial);
        }
      else
        want->arm = ARM_OLD;
      break;
    }
}

/* How soon an engine is to begin the request.  Engines read one prompt after
   the other: without this a short question waits behind the long drafts that
   came before it.  Ranks go from 0 on, most of them few.  Mean worth of six
   days on two fleets of 40 engines: 0.655 without, 0.658 with it.  */
static uint32_t
urgency_of (const relay_t *relay)
{
  uint32_t urgency = URGENCY_FIRST + relay->terms.rank;

  return urgency < FORWARD_URGENCY_MAX ? urgency : FORWARD_URGENCY_MAX;
}

/* Tell whether the request's prompt takes its model so long that it goes to
   the idlest engine, where it holds up the fewest streams, rather than to the
   home of its shared parts.  */
static bool
reads_long (const relay_t *relay)
{
  const terms_t *terms = &relay->terms;

  return terms->route->model_count > 0
         && escalation_is_long (
             belief_escalation (relay->belief, terms->service->name),
             service_model (relay, relay->model), terms->prompt,
             terms->route->pause_ms);
}

/* What the next send of RELAY asks of an upstream.  */
static void
want_next (const relay_t *relay, pool_want_t *want)
{
  const terms_t *terms = &relay->terms;

  *want = (pool_want_t){
    .service = terms->service->name,
    .cold_per_s = terms->service->cold_per_s,
    .key = terms->key != 0 ? terms->key ^ (relay->model + 1) : 0,
    .tried = relay->tried,
    .tried_count = relay->tried_count,
  };
  choose_arm (relay, want);
  if (reads_long (relay))
    want->key = 0;
}

/* Send the request to the best upstream, or give it up.  */
static void
relay_send (relay_t *relay)
{
  static const call_events_t events = { on_head, on_body, on_end };
  belief_t *belief = relay->belief;
  uint64_t now_ms = clock_ms (belief->clock);
  pool_want_t want;
  buf_t request = BUF_NULL;

  if (now_ms + RETURN_MS >= relay->terms.due_ms)
    {
      relay_give_up (relay, VH_E_DEADLINE, "deadline", 0);
      return;
    }
  want_next (relay, &want);
  vh_code_t code = pool_choose (belief->pool, &want, &relay->upstream);
  if (code == VH_E_NO_UPSTREAM && relay->tried_count > 0)
    {
      /* All were tried.  One that was full still is, and each refused send is
         load on it; one that failed may do better.  */
      if (relay->shed)
        {
          relay->upstream = NULL;
          relay_give_up (relay, VH_E_FULL, relay->reason, RETRY_FULL_MS);
          return;
        }
      want.tried_count = 0;
      code = pool_choose (belief->pool, &want, &relay->upstream);
    }
  if (code != VH_OK)
    {
      relay->upstream = NULL;
      relay_give_up (relay, code, code == VH_E_FULL ? "full" : "no-upstream",
                     code == VH_E_FULL ? RETRY_FULL_MS : RETRY_UNAVAILABLE_MS);
      return;
    }
  log_event (
      EVENT_SENT, field_text (FIELD_ID, str_from (relay->attempt_id)),
      field_text (FIELD_ROUTE, relay->terms.route->name),
      field_text (FIELD_UPSTREAM, upstream_id (relay->upstream)),
      field_text (FIELD_VERSION, upstream_version (relay->upstream)),
      field_text (FIELD_MODEL, model_or (relay, STR ("-"))),
      field_number (FIELD_RUNNING, upstream_running (relay->upstream)),
      field_number (FIELD_SENDS, relay->sends + 1),
      field_number (FIELD_LEFT_MS, relay->terms.due_ms - now_ms),
      field_number (FIELD_REVISION, catalog_revision (relay->terms.catalog)));
  relay->on_trial.any = true;
  relay->on_trial.arm = is_on_trial (relay) ? TRIAL_NEW : TRIAL_OLD;
  relay->prompt_left = relay->terms.prompt;
  pool_started (belief->pool, relay->upstream, relay->terms.prompt);
  relay->phase = PHASE_SENT;
  relay->sent_ms = now_ms;
  relay->last_ms = now_ms;
  relay->send_events = 0;
  relay->load = upstream_running (relay->upstream);
  relay->is_ok = false;
  relay->broke = false;
  relay->unsent = false;
  relay->sends++;
  counter_add (belief->counters.sends, 1);
  const forward_t forward = {
    .names = belief->names,
    .upstream = upstream_id (relay->upstream),
    .team = relay->terms.team != NULL ? relay->terms.team->name : STR_NULL,
    .model = model_or (relay, httpd_header (relay->req, belief->names->model)),
    .left_ms = relay->terms.due_ms - now_ms,
    .urgency = urgency_of (relay),
    .resumes = relay->events.has_last,
    .last_id = relay->events.last_id,
  };
  forward_write (&forward, relay->req, &request);
  relay->call = call_start (
      belief->loop, upstream_address (relay->upstream), &request, CONNECT_MS,
      str_eq (httpd_method (relay->req), STR ("HEAD")), &events, relay);
  if (relay->call == NULL)
    {
      send_failed (relay, "address", false);
      return;
    }
  arm_bound (relay, now_ms);
}

/* Time.  */

/* Tell whether the present send may be given up for another.  */
static bool
may_move (const relay_t *relay)
{
  return may_send_again (relay)
         && relay->runs + 1 < relay->terms.route->attempts_max
         && !relay->paused;
}

/* When a silent upstream is given up for another, though it is there.  */
static uint64_t
patience_due (const relay_t *relay)
{
  const route_t *route = relay->terms.route;

  if (route->kind != ROUTE_STREAM)
    return relay->sent_ms
           + (uint64_t)((double)route->objective_ms * first_answer_part);
  return relay->event_count == 0
             ? relay->sent_ms + route->objective_ms * PATIENCE
             : relay->last_ms + route->pause_ms * PAUSES;
}

/* When a silent upstream is to be looked at, or given up for another;
   UINT64_MAX: never.

   A stream waits for an engine that is there, however long its own events
   take: the work that the engine has done for it would be done again
   elsewhere, by engines that are as full.  The streams of one that is not
   there move at once.  */
static uint64_t
silence_due (const relay_t *relay)
{
  if (!may_move (relay))
    return UINT64_MAX;
  uint64_t patience_ms = patience_due (relay);
  if (relay->terms.route->kind != ROUTE_STREAM)
    return patience_ms;
  uint64_t look_ms = pool_silence_due (relay->upstream);
  return look_ms < patience_ms ? look_ms : patience_ms;
}

/* Tell whether the silent upstream is looked at before anything else.  */
static bool
should_look (const relay_t *relay, uint64_t now_ms)
{
  return relay->terms.route->kind == ROUTE_STREAM
         && now_ms < patience_due (relay) && !upstream_lost (relay->upstream);
}

/* Look at the upstream and go on when that is over, or the deadline comes.  */
static void
look_at_upstream (relay_t *relay, uint64_t now_ms)
{
  uint64_t look_ms = LOOK_MS + LOOK_SLACK_MS;
  uint64_t left_ms = relay->terms.due_ms - now_ms;

  reach_look (relay->belief->reach, upstream_id (relay->upstream),
              upstream_address (relay->upstream), LOOK_MS);
  bound_start (&relay->bound, look_ms < left_ms ? look_ms : left_ms);
}

/* Tell whether the request has a place to go to if it leaves its upstream: the
   others are not all full.  Where there are none, a new connection to the same
   one may do better.  */
static bool
has_place (const relay_t *relay)
{
  const upstream_t *tried[POOL_TRIED_MAX + 1];
  pool_want_t want;
  upstream_t *upstream;

  want_next (relay, &want);
  for (size_t i = 0; i < relay->tried_count; i++)
    tried[i] = relay->tried[i];
  tried[relay->tried_count] = relay->upstream;
  want.tried = tried;
  want.tried_count = relay->tried_count + 1;
  return pool_choose (relay->belief->pool, &want, &upstream) != VH_E_FULL;
}

static void begin (relay_t *relay);

/* Something is due.  */
static void
on_due (void *arg)
{
  relay_t *relay = arg;
  uint64_t now_ms = clock_ms (relay->belief->clock);

  if (relay->phase == PHASE_EARLY)
    {
      begin (relay);
      return;
    }
  if (now_ms >= relay->terms.due_ms)
    {
      if (relay->call != NULL && call_sent (relay->call))
        relay->runs++;
      relay_give_up (relay, VH_E_DEADLINE, "deadline", 0);
      return;
    }
  if (relay->phase == PHASE_HELD)
    {
      go_on (relay);
      return;
    }
  if (now_ms >= silence_due (relay))
    {
      if (should_look (relay, now_ms))
        {
          look_at_upstream (relay, now_ms);
          return;
        }
      if (may_take_extra (relay) && has_place (relay))
        {
          relay->broke = upstream_lost (relay->upstream);
          send_failed (relay, relay->broke ? "lost" : "silent", true);
          return;
        }
      /* Nothing may be sent again now: wait on for this upstream.  */
      relay->last_ms = now_ms;
      relay->sent_ms = now_ms;
      pool_heard (relay->belief->pool, relay->upstream);
    }
  arm_bound (relay, now_ms);
}

static void
arm_bound (relay_t *relay, uint64_t now_ms)
{
  uint64_t due_ms = silence_due (relay);

  if (due_ms > relay->terms.due_ms)
    due_ms = relay->terms.due_ms;
  bound_start (&relay->bound, due_ms > now_ms ? due_ms - now_ms : 0);
}

/* The caller.  */

static void
on_drained (void *arg)
{
  relay_t *relay = arg;

  if (relay->paused && relay->call != NULL)
    {
      relay->paused = false;
      call_resume (relay->call);
    }
}

/* The caller left: the upstream is told in the same turn.  */
static void
on_left (void *arg)
{
  relay_t *relay = arg;

  tell_end (relay, EVENT_LEFT, 0, relay->reason, 0);
  counter_add (relay->belief->counters.left, 1);
  end_send (relay, SEND_DROPPED);
  relay_destroy (relay);
}

/* Arrival.  */

static void
refuse (relay_t *relay, vh_code_t code)
{
  const code_info_t *info = code_info (code);
  uint64_t retry_ms = info->http_status == 503 ? RETRY_UNAVAILABLE_MS : 0;

  relay_reply (relay, info->http_status, code, info->type, retry_ms);
}

/* Begin with RELAY, or refuse it.  */
static void
admit (relay_t *relay)
{
  belief_t *belief = relay->belief;
  terms_t *terms = &relay->terms;
  vh_code_t code
      = terms_read (terms, belief, relay->req, str_from (relay->attempt_id));

  if (code == VH_OK && belief->stopping_ms != 0
      && terms->arrived_ms - belief->stopping_ms
             >= belief->options.drain_grace_ms)
    {
      relay_reply (relay, 503, VH_E_DRAINING, "draining", RETRY_DRAINING_MS);
      return;
    }
  if (code != VH_OK)
    {
      refuse (relay, code);
      return;
    }
  relay->events.has_last = terms->resumes;
  relay->events.last_id = terms->last_id;
  allowance_request (belief_allowance (belief, terms->service->name));
  relay_send (relay);
}

/* Tell whether RELAY waits until this process, which has just started, knows
   what it needs.  All entries were lost at once and their callers come back
   together, each for the last time: a refusal for the tenth of a second that
   the first read takes would be final (391 of 440 requests in the second after
   such a loss).  Later, or with the store away, who knows nothing says so at
   once.  */
static bool
may_wait_for_start (const relay_t *relay)
{
  const belief_t *belief = relay->belief;

  return !belief->is_prepared
         && clock_ms (belief->clock) - belief->started_ms < START_MS;
}

/* Admit RELAY, now or when it need not wait for the start any more.  */
static void
begin (relay_t *relay)
{
  if (may_wait_for_start (relay))
    bound_start (&relay->bound, START_LOOK_MS);
  else
    admit (relay);
}

void
relay_start (belief_t *belief, httpd_req_t *req)
{
  relay_t *relay = mem_zalloc (sizeof *relay);
  str_t id = httpd_header (req, belief->names->attempt_id);

  list_append (&belief->relays, &relay->link);
  relay->belief = belief;
  relay->req = req;
  relay->terms.arrived_ms = clock_ms (belief->clock);
  relay->attempt_id = str_dup (id.ptr != NULL ? id : STR ("-"));
  bound_init (&relay->bound, belief->loop, on_due, relay);
  counter_add (belief->counters.requests, 1);
  if (id.ptr == NULL || id.len == 0)
    {
      refuse (relay, VH_E_BAD_HEADER);
      return;
    }
  httpd_watch (req, on_drained, on_left, relay);
  begin (relay);
}

size_t
relay_cut_all (belief_t *belief)
{
  size_t count = 0;

  LIST_EACH (at, &belief->relays)
    {
      relay_t *relay = CONTAINER_OF (at, relay_t, link);
      if (relay->call != NULL && call_sent (relay->call))
        relay->runs++;
      relay_give_up (relay, VH_E_DRAINING, "stopping", RETRY_DRAINING_MS);
      count++;
    }
  return count;
}
