#include "gateway/crash_recordsint.h"
#include "gateway/relayint.h"

#include "base/mem.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  /* Number of services whose usual times are known, of about 10 KiB each.  */
  USUAL_TIMES_SERVICES_MAX = 64
};

static void
on_timer_closed (void *arg)
{
  relay_t *relay = arg;

  buf_free (&relay->response_headers);
  request_attrs_free (&relay->attrs);
  free (relay->attempt_id);
  free (relay);
}

void
relay_destroy (relay_t *relay)
{
  list_remove (&relay->link);
  sse_filter_free (&relay->sse);
  buf_free (&relay->response_body);
  relay->state->response_memory -= relay->response_memory;
  memory_budget_count (&relay->state->memory, &relay->counted_memory, 0);
  peer_timer_close (&relay->timer, on_timer_closed);
}

log_field_t
relay_parts_field (const relay_t *relay, char text[PARTS_TEXT_SIZE])
{
  size_t len = 0;

  text[0] = '\0';
  for (size_t i = 0; i < relay->attrs.part_count; i++)
    len += (size_t)snprintf (text + len, PARTS_TEXT_SIZE - len, "%s%08" PRIx64,
                             i > 0 ? "," : "",
                             relay->attrs.part_keys[i].high >> 32);
  return log_field_text (FIELD_PARTS, str_from (text));
}

trial_t *
relay_trial (const relay_t *relay)
{
  return map_get (relay->state->trials, relay->attrs.service->name);
}

/* Return the roll-out of the request's service if its version is under trial
   or watched, else NULL.  */
static trial_t *
observed_trial (const relay_t *relay)
{
  trial_t *trial = relay_trial (relay);

  return trial != NULL
                 && (trial_phase (trial) == TRIAL_PHASE_RUNNING
                     || trial_is_watched (
                         trial, table_sync_store_now_ms (
                                    relay->state->operator_rows_sync)))
             ? trial
             : NULL;
}

bool
relay_is_under_trial (const relay_t *relay)
{
  const trial_t *trial = relay_trial (relay);

  return trial != NULL && trial_phase (trial) == TRIAL_PHASE_RUNNING;
}

trial_arm_t
relay_trial_arm (const relay_t *relay)
{
  const trial_t *trial = observed_trial (relay);

  return trial != NULL
                 && str_eq (upstream_version (relay->upstream),
                            trial_version (trial))
             ? TRIAL_ARM_NEW
             : TRIAL_ARM_OLD;
}

/* Count the answer to the current send as bad, once.  */
static void
count_bad_answer (relay_t *relay, trial_t *trial)
{
  if (relay->has_bad_answer)
    return;
  relay->has_bad_answer = true;
  if (relay_trial_arm (relay) == TRIAL_ARM_NEW)
    trial_count_bad_answer (trial);
}

/* Record the OUTCOME of the current send in the running roll-out of the
   service.  A failed connection is no evidence against the version: the
   instance may be down for any reason, and each gateway process would count it
   repeatedly.  */
static void
record_trial_outcome (relay_t *relay, send_outcome_t outcome)
{
  trial_t *trial = observed_trial (relay);

  if (trial == NULL || (outcome != SEND_OK && outcome != SEND_FAILED)
      || relay->has_connect_failed)
    return;
  uint64_t first_response_ms = relay->phase == PHASE_RECEIVING_RESPONSE
                                   ? relay->head_received_ms - relay->sent_ms
                                   : 0;
  trial_observe (trial, relay_trial_arm (relay),
                 relay->attrs.route->trial_cell,
                 outcome == SEND_OK          ? TRIAL_OUTCOME_ANSWERED
                 : relay->is_connection_lost ? TRIAL_OUTCOME_CONNECTION_LOST
                                             : TRIAL_OUTCOME_FAILED,
                 first_response_ms, relay->is_upstream_loaded);
  if (outcome != SEND_OK)
    count_bad_answer (relay, trial);
}

static trial_time_t
measured_time (const relay_t *relay, trial_timing_t timing, double ms)
{
  return (trial_time_t){ .timing = timing,
                         .route = relay->attrs.route->trial_cell,
                         .route_id = str_hash (relay->attrs.route->name, 0),
                         .model = relay->model_index,
                         .prompt_tokens = relay->attrs.prompt_tokens,
                         .load = relay->upstream_request_count,
                         .ms = ms,
                         .now_ms = table_sync_store_now_ms (
                             relay->state->operator_rows_sync) };
}

/* Record TIME of the version in service.  */
static void
record_usual_time (const relay_t *relay, const trial_time_t *time)
{
  map_t *usual_times = relay->state->usual_times;
  str_t service = relay->attrs.service->name;
  const trial_t *trial = relay_trial (relay);
  trial_usual_times_t *usual = map_get (usual_times, service);

  /* Answers of a version that was rolled back are not usual.  */
  if (trial != NULL && trial_is_reverted (trial)
      && str_eq (upstream_version (relay->upstream), trial_version (trial)))
    return;
  if (usual == NULL && map_size (usual_times) < USUAL_TIMES_SERVICES_MAX)
    {
      usual = mem_zalloc (sizeof *usual);
      map_put (usual_times, service, usual);
    }
  if (usual != NULL)
    trial_usual_times_add (usual, time);
}

void
relay_record_timing (relay_t *relay, trial_timing_t timing, double duration_ms)
{
  trial_t *trial = observed_trial (relay);
  const trial_time_t time = measured_time (relay, timing, duration_ms);

  if (trial == NULL)
    record_usual_time (relay, &time);
  else if (trial_observe_timing (trial, relay_trial_arm (relay), &time))
    count_bad_answer (relay, trial);
}

/* Record in the running roll-out how long the current send has waited, if it
   ends before its response began.  */
static void
record_unanswered (relay_t *relay)
{
  trial_t *trial = observed_trial (relay);

  if (trial == NULL || relay->has_head || relay->has_connect_failed)
    return;
  const trial_time_t wait = measured_time (
      relay, TRIAL_TIMING_FIRST_EVENT,
      (double)(clock_ms (relay->state->clock) - relay->dispatched_ms));
  if (trial_observe_unanswered (trial, relay_trial_arm (relay), &wait))
    count_bad_answer (relay, trial);
}

/* Record the answer to the current send, which ended with OUTCOME, in the
   roll-out of the service.  */
static void
record_answer (const relay_t *relay, send_outcome_t outcome)
{
  trial_t *trial = observed_trial (relay);
  bool has_failed = outcome == SEND_FAILED;

  if (trial == NULL || relay->has_connect_failed || outcome == SEND_REFUSED
      || (!relay->has_head && !relay->has_bad_answer && !has_failed))
    return;
  trial_count_answer (
      trial, relay_trial_arm (relay), relay->attrs.route->trial_cell,
      pool_instance_cell (relay->upstream, TRIAL_INSTANCE_GROUPS),
      has_failed              ? TRIAL_FLAW_FAILED
      : relay->has_bad_answer ? TRIAL_FLAW_LATE
                              : TRIAL_FLAW_NONE);
}

void
relay_count_trial_request (const relay_t *relay)
{
  trial_t *trial = observed_trial (relay);

  if (trial != NULL)
    trial_count_request (trial, relay->attrs.route->trial_cell);
}

bool
relay_has_begun (const relay_t *relay)
{
  return relay->first_event_ms != 0
         && clock_ms (relay->state->clock)
                >= relay->first_event_ms + CRASH_RUN_BEGUN_MS;
}

/* Report the current send to the crash records if it ends without a complete
   response.  */
static void
report_lost_send (const relay_t *relay, send_outcome_t outcome)
{
  bool is_cut = relay->call == NULL && relay->is_connection_lost;
  bool is_given_up
      = relay->call != NULL && http_exchange_was_sent (relay->call);

  if ((outcome == SEND_FAILED || outcome == SEND_CANCELLED)
      && (is_cut || is_given_up))
    crash_records_send_lost (relay->state->crash_records, relay->upstream,
                             &relay->attrs, relay_has_begun (relay), is_cut);
}

void
relay_count_in_flight (const relay_t *relay, int change)
{
  poison_in_flight_t *in_flight = upstream_poison_in_flight (relay->upstream);

  if (relay->poison_class == POISON_SUSPECT)
    in_flight->suspect_count += (uint32_t)change;
  if (!relay->attrs.is_repeatable)
    in_flight->nonidempotent_count += (uint32_t)change;
}

void
relay_finish_send (relay_t *relay, send_outcome_t outcome)
{
  if (relay->upstream != NULL)
    report_lost_send (relay, outcome);
  if (relay->call != NULL)
    http_exchange_cancel (relay->call);
  relay->call = NULL;
  if (relay->upstream == NULL)
    return;
  relay_count_in_flight (relay, -1);
  /* A send that ends for a move was neither good nor bad, unless it was found
     late before.  */
  if ((outcome == SEND_FAILED || outcome == SEND_CANCELLED)
      && !relay->is_moving)
    record_unanswered (relay);
  record_trial_outcome (relay, outcome);
  if (!relay->is_moving || relay->has_bad_answer)
    record_answer (relay, outcome);
  pool_request_finished (relay->state->pool, relay->upstream,
                         relay->unread_prompt_tokens, outcome);
  relay->upstream = NULL;
}

str_t
relay_model_name (const relay_t *relay, str_t fallback)
{
  const route_t *route = relay->attrs.route;

  return route->model_count > 0 ? route->models[relay->model_index] : fallback;
}

/* Bill the response if the caller received all of it or, of a stream, at least
   one event.  */
static void
bill_response (const relay_t *relay, log_event_t event)
{
  bool is_complete = event == EVENT_ANSWERED;

  if (!is_complete && !(relay->has_response_started && relay->event_count > 0))
    return;
  if (relay->response_status >= 300 || relay->attrs.route == NULL)
    return;
  const bill_t bill = {
    .attempt_id = str_from (relay->attempt_id),
    .team = relay->attrs.team != NULL ? relay->attrs.team->name : STR (""),
    .route = relay->attrs.route->name,
    .model = relay_model_name (relay, STR ("")),
    .prompt_tokens = relay->attrs.prompt_tokens,
    .stream_event_count = relay->event_count,
    .possible_run_count = (uint32_t)relay->possible_run_count + 1,
    .is_complete = is_complete,
  };
  billing_add (relay->state->billing, &bill);
}

void
relay_record_end (const relay_t *relay, log_event_t event, int status,
                  const char *reason, uint64_t retry_ms)
{
  gateway_state_t *state = relay->state;
  const log_event_info_t *info = log_event_info (event);
  uint64_t age_ms = table_sync_age_ms (state->operator_rows_sync);
  str_t route
      = relay->attrs.route != NULL ? relay->attrs.route->name : STR ("-");
  str_t team = relay->attrs.team != NULL ? relay->attrs.team->name : STR ("-");
  uint64_t duration_ms = clock_ms (state->clock) - relay->attrs.arrived_ms;

  if (reason == NULL)
    reason = "-";
  bill_response (relay, event);
  request_metrics_record (state->request_metrics, route, team, info->name,
                          reason, duration_ms);
  log_event (event, log_field_text (FIELD_ID, str_from (relay->attempt_id)),
             log_field_text (FIELD_ROUTE, route),
             log_field_text (FIELD_TEAM, team),
             log_field_number (FIELD_STATUS, (uint64_t)status),
             log_field_text (FIELD_REASON, str_from (reason)),
             log_field_number (FIELD_SENDS, relay->send_count),
             log_field_number (FIELD_RUNS, relay->possible_run_count),
             log_field_number (FIELD_EVENTS, relay->event_count),
             log_field_number (FIELD_MS, duration_ms),
             log_field_number (FIELD_RETRY_MS, retry_ms),
             log_field_number (FIELD_AGE_MS, age_ms),
             log_field_number (FIELD_REVISION,
                               relay->attrs.catalog != NULL
                                   ? catalog_revision (relay->attrs.catalog)
                                   : 0));
}

void
relay_reply_error (relay_t *relay, int status, vh_code_t code,
                   const char *reason, uint64_t retry_ms)
{
  gateway_state_t *state = relay->state;
  buf_t body = BUF_NULL;
  buf_t retry_after = BUF_NULL;
  httpc_header_t headers[3] = {
    { STR ("content-type"), STR ("application/json") },
    { STR ("vanillahook-attempt"), str_from (relay->attempt_id) },
  };
  size_t count = 2;
  bool not_run = status != 502 && status != 504;
  uint64_t retry_after_ms = 0;

  relay_finish_send (relay, SEND_CANCELLED);
  if (relay->has_response_started)
    {
      relay_record_end (relay, EVENT_CUT, status, reason, 0);
      counter_add (state->counters.failed, 1);
      httpd_abort (relay->req);
      relay_destroy (relay);
      return;
    }
  if (retry_ms > 0)
    {
      retry_after_ms = retry_ms / 2 + rng_below (&state->rng, retry_ms);
      if (retry_after_ms < relay->retry_after_min_ms)
        retry_after_ms = relay->retry_after_min_ms;
      buf_printf (&retry_after, "%.3f", (double)retry_after_ms / 1000);
      headers[count].name = STR ("retry-after");
      headers[count++].value = buf_str (&retry_after);
    }
  code_write_error (code, not_run ? "not-run" : "unknown", &body);
  counter_add (not_run ? state->counters.refused : state->counters.failed, 1);
  relay_record_end (relay, not_run ? EVENT_REFUSED : EVENT_FAILED, status,
                    reason, retry_after_ms);
  if (state->stopping_ms != 0)
    httpd_disable_keep_alive (relay->req);
  httpd_reply (relay->req, status, headers, count, buf_str (&body));
  buf_free (&retry_after);
  buf_free (&body);
  relay_destroy (relay);
}

void
relay_fail (relay_t *relay, vh_code_t code, const char *reason,
            uint64_t retry_ms)
{
  uint64_t pause_left_ms;

  if (relay->possible_run_count == 0
      && (code == VH_E_FULL || code == VH_E_NO_UPSTREAM || code == VH_E_PAUSED)
      && (pause_left_ms = relay_pause_left_ms (relay)) > 0)
    {
      /* The returns are spread, so that they do not all meet the instance
         whose pause ends first.  */
      relay->retry_after_min_ms
          = pause_left_ms + rng_below (&relay->state->rng, PAUSE_SPREAD_MS);
      code = VH_E_PAUSED;
      reason = "paused";
    }
  if (relay->possible_run_count > 0)
    relay_reply_error (relay, code == VH_E_DEADLINE ? 504 : 502,
                       code == VH_E_DEADLINE ? code : VH_E_UNKNOWN, reason, 0);
  else
    relay_reply_error (relay, 503, code, reason,
                       retry_ms > 0 ? retry_ms : RETRY_AFTER_FULL_MS);
}
