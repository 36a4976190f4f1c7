/* One request on its way: who sends it and what it may, which upstream gets
   it, what comes back, and what the caller is told.

   What a caller is told follows from what may have happened.  As long as no
   byte of the request left, or each upstream that had it said that it did not
   run it, the answer is 503 with Retry-After; after that only an upstream's
   own answer, 502 or 504.  */

#include "gateway/relayint.h"

#include "gateway/forward.h"

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
  /* Time that an answer needs on its way back to the caller.  */
  RETURN_MS = 5,
  /* The first read of the store takes a tenth of a second; when it takes so
     long the store is away.  */
  START_MS = 800,
  START_LOOK_MS = 10,
  /* The balancer has named other entries by then.  */
  RETRY_DRAINING_MS = 50
};

/* Part of the objective after which a plain service that has not answered is
   given up for another, if the request may run twice.  */
static const double first_answer_part = 0.7;

/* Arm the timer for the next moment at which something is due.  */
static void arm_bound (relay_t *relay, uint64_t now_ms);

/* How soon an engine is to begin the request.  Engines read one prompt after
   the other: without this a short question waits behind the long drafts that
   came before it.  Ranks go from 0 on, most of them few.  */
static uint32_t
urgency_of (const relay_t *relay)
{
  uint32_t urgency = URGENCY_FIRST + relay->terms.rank;

  return urgency < FORWARD_URGENCY_MAX ? urgency : FORWARD_URGENCY_MAX;
}

/* Send the request to the best upstream, or give it up.  */
void
relay_send (relay_t *relay)
{
  gateway_state_t *belief = relay->belief;
  uint64_t now_ms = clock_ms (belief->clock);
  pool_criteria_t want;
  buf_t request = BUF_NULL;

  if (now_ms + RETURN_MS >= relay->terms.due_ms)
    {
      relay_give_up (relay, VH_E_DEADLINE, "deadline", 0);
      return;
    }
  relay_want (relay, &want);
  vh_code_t code = pool_select (belief->pool, &want, &relay->upstream);
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
      code = pool_select (belief->pool, &want, &relay->upstream);
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
      field_text (FIELD_MODEL, relay_model_or (relay, STR ("-"))),
      field_number (FIELD_RUNNING, upstream_running (relay->upstream)),
      field_number (FIELD_SENDS, relay->sends + 1),
      field_number (FIELD_LEFT_MS, relay->terms.due_ms - now_ms),
      field_number (FIELD_REVISION, catalog_revision (relay->terms.catalog)));
  relay->on_trial.any = true;
  relay->on_trial.arm = relay_arm (relay);
  relay->prompt_left = relay->terms.prompt;
  pool_request_started (belief->pool, relay->upstream, relay->terms.prompt);
  relay->phase = PHASE_SENT;
  relay->sent_ms = now_ms;
  relay->last_ms = now_ms;
  relay->send_events = 0;
  relay->load = upstream_running (relay->upstream);
  relay->is_loaded = false;
  relay->is_ok = false;
  relay->broke = false;
  relay->unsent = false;
  relay->sends++;
  counter_add (belief->counters.sends, 1);
  const forward_t forward = {
    .names = belief->names,
    .upstream = upstream_id (relay->upstream),
    .team = relay->terms.team != NULL ? relay->terms.team->name : STR_NULL,
    .model
    = relay_model_or (relay, httpd_header (relay->req, belief->names->model)),
    .left_ms = relay->terms.due_ms - now_ms,
    .urgency = urgency_of (relay),
    .resumes = relay->events.has_last,
    .last_id = relay->events.last_id,
  };
  forward_write (&forward, relay->req, &request);
  relay->call = call_start (belief->loop, upstream_address (relay->upstream),
                            &request, CONNECT_MS,
                            str_eq (httpd_method (relay->req), STR ("HEAD")),
                            &relay_call_events, relay);
  if (relay->call == NULL)
    {
      relay_send_failed (relay, "address", false);
      return;
    }
  arm_bound (relay, now_ms);
}

/* Time.  */

/* Tell whether the present send may be given up for another.  */
static bool
may_move (const relay_t *relay)
{
  return relay_may_send_again (relay)
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
  uint64_t look_ms = pool_probe_due_ms (relay->upstream);
  return look_ms < patience_ms ? look_ms : patience_ms;
}

/* Tell whether the silent upstream is looked at before anything else.  */
static bool
should_look (const relay_t *relay, uint64_t now_ms)
{
  return relay->terms.route->kind == ROUTE_STREAM
         && now_ms < patience_due (relay)
         && !upstream_is_unreachable (relay->upstream);
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
      relay_go_on (relay);
      return;
    }
  if (now_ms >= silence_due (relay))
    {
      if (should_look (relay, now_ms))
        {
          look_at_upstream (relay, now_ms);
          return;
        }
      if (relay_may_take_extra (relay) && relay_has_place (relay))
        {
          relay->broke = upstream_is_unreachable (relay->upstream);
          relay_send_failed (relay, relay->broke ? "lost" : "silent", true);
          return;
        }
      /* Nothing may be sent again now: wait on for this upstream.  */
      relay->last_ms = now_ms;
      relay->sent_ms = now_ms;
      pool_data_received (relay->belief->pool, relay->upstream);
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

  relay_tell_end (relay, EVENT_LEFT, 0, relay->reason, 0);
  counter_add (relay->belief->counters.left, 1);
  relay_end_send (relay, SEND_CANCELLED);
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
  gateway_state_t *belief = relay->belief;
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
  send_budget_count_request (belief_allowance (belief, terms->service->name));
  relay_send (relay);
}

/* Tell whether RELAY waits until this process, which has just started, knows
   what it needs.  All entries were lost at once and their callers come back
   together, each for the last time: a refusal for the tenth of a second that
   the first read takes would be final.  Later, or with the store away, who
   knows nothing says so at once.  */
static bool
may_wait_for_start (const relay_t *relay)
{
  const gateway_state_t *belief = relay->belief;

  return !belief->is_initialized
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
relay_start (gateway_state_t *belief, httpd_req_t *req)
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
relay_cut_all (gateway_state_t *belief)
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
