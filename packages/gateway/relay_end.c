#include "gateway/relayint.h"

#include <stdlib.h>

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

void
relay_destroy (relay_t *relay)
{
  list_remove (&relay->link);
  bound_close (&relay->bound, on_bound_closed);
}

trial_t *
relay_trial (const relay_t *relay)
{
  return map_get (relay->belief->trials, relay->terms.service->name);
}

/* The roll-out of the request's service while it runs, else NULL.  */
static trial_t *
running_trial (const relay_t *relay)
{
  trial_t *trial = relay_trial (relay);

  return trial != NULL && trial_phase (trial) == TRIAL_RUNNING ? trial : NULL;
}

trial_arm_t
relay_arm (const relay_t *relay)
{
  const trial_t *trial = running_trial (relay);

  return trial != NULL
                 && str_eq (upstream_version (relay->upstream),
                            trial_version (trial))
             ? TRIAL_NEW
             : TRIAL_OLD;
}

/* Hash of the route under which a trial keeps its evidence.  */
static uint64_t
trial_route (const relay_t *relay)
{
  return str_hash (relay->terms.route->name, 0);
}

/* Tell the trial of the service what became of the present send.  An instance
   that takes no connection says nothing of its version: it may be down for any
   cause, and each entry runs into it again and again.  */
static void
tell_trial (relay_t *relay, send_outcome_t outcome)
{
  trial_t *trial = running_trial (relay);

  if (trial == NULL || (outcome != SEND_OK && outcome != SEND_FAILED)
      || relay->unsent)
    return;
  uint64_t wait_ms
      = relay->phase == PHASE_ANSWERING ? relay->head_ms - relay->sent_ms : 0;
  trial_observe (trial, relay_arm (relay), trial_route (relay),
                 outcome == SEND_OK ? TRIAL_ANSWERED
                 : relay->broke     ? TRIAL_CONNECTION_LOST
                                    : TRIAL_FAILED,
                 wait_ms, relay->is_loaded);
}

/* Tell the trial of the service how long the present send took for TIMING.  */
void
relay_time_trial (const relay_t *relay, trial_timing_t timing, double ms)
{
  trial_t *trial = running_trial (relay);

  if (trial != NULL)
    trial_observe_timing (trial, relay_arm (relay), trial_route (relay),
                          timing, relay->load, ms,
                          table_sync_store_now_ms (relay->belief->orders));
}

/* Let go of the present send.  */
void
relay_end_send (relay_t *relay, send_outcome_t outcome)
{
  if (relay->call != NULL)
    call_cancel (relay->call);
  relay->call = NULL;
  if (relay->upstream == NULL)
    return;
  tell_trial (relay, outcome);
  pool_request_finished (relay->belief->pool, relay->upstream,
                         relay->prompt_left, outcome);
  relay->upstream = NULL;
}

/* The model that is chosen here, or NONE where the route leaves no choice.  */
str_t
relay_model_or (const relay_t *relay, str_t none)
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
    .model = relay_model_or (relay, STR ("")),
    .prompt = relay->terms.prompt,
    .events = relay->event_count,
    .runs = (uint32_t)relay->runs + 1,
    .whole = whole,
  };
  billing_add (relay->belief->bills, &bill);
}

/* Count the request under its route, team and outcome, and write one line on
   how it ended.  */
void
relay_tell_end (const relay_t *relay, log_event_t event, int status,
                const char *reason, uint64_t retry_ms)
{
  gateway_state_t *belief = relay->belief;
  const log_event_info_t *info = log_event_info (event);
  uint64_t age_ms = table_sync_age_ms (belief->orders);
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
void
relay_reply (relay_t *relay, int status, vh_code_t code, const char *reason,
             uint64_t retry_ms)
{
  gateway_state_t *belief = relay->belief;
  buf_t body = BUF_NULL;
  buf_t retry = BUF_NULL;
  httpc_header_t headers[3] = {
    { STR ("content-type"), STR ("application/json") },
    { STR ("vanillahook-attempt"), str_from (relay->attempt_id) },
  };
  size_t count = 2;
  bool not_run = status != 502 && status != 504;
  uint64_t wait_ms = 0;

  relay_end_send (relay, SEND_CANCELLED);
  if (relay->started)
    {
      relay_tell_end (relay, EVENT_CUT, status, reason, 0);
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
  relay_tell_end (relay, not_run ? EVENT_REFUSED : EVENT_FAILED, status,
                  reason, wait_ms);
  if (belief->stopping_ms != 0)
    httpd_close_after (relay->req);
  httpd_reply (relay->req, status, headers, count, buf_str (&body));
  buf_free (&retry);
  buf_free (&body);
  relay_destroy (relay);
}

/* Give the request up: what the caller is told depends on whether it may have
   run.  */
void
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
