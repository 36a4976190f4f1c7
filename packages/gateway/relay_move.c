/* Moves of streams that would be late where they run.  A moved stream goes on
   after its last event, as an interrupted one does.  */

#include "gateway/relayint.h"

/* Return whether moves are in use for the service of the request.  */
static bool
are_moves_enabled (const relay_t *relay)
{
  switch (relay->state->options.move_streams)
    {
    case MOVE_STREAMS_YES:
      return true;
    case MOVE_STREAMS_REPORTED:
      return upstream_has_time_factor (relay->upstream);
    default:
      return false;
    }
}

/* Return whether this process may be about to abort its requests: a stream
   that has begun elsewhere then would have been moved for nothing.  */
static bool
is_stop_near (const gateway_state_t *state)
{
  return state->stopping_ms != 0
         && clock_ms (state->clock) - state->stopping_ms
                >= state->options.drain_timeout_ms / 2;
}

static bool
may_move (const relay_t *relay)
{
  const request_attrs_t *attrs = &relay->attrs;

  if (relay->call == NULL || relay->upstream == NULL || relay->has_moved
      || attrs->route->kind != ROUTE_STREAM || attrs->output_tokens_hint == 0
      || !are_moves_enabled (relay))
    return false;
  /* Without the id of the last event the stream would begin again.  */
  if (relay->event_count > 0 && !relay->sse.has_last_id)
    return false;
  /* A suspect that is slow may be about to crash the upstream, and then would
     crash the other as well.  */
  if (relay->poison_class == POISON_SUSPECT || relay->is_test_run)
    return false;
  /* The trial compares what the versions do to their streams.  A version that
     stalls would pass if its streams left before they fail.  */
  if (relay_is_under_trial (relay))
    return false;
  return !relay->is_paused && relay_may_retry (relay)
         && relay->possible_run_count + 1 < attrs->route->possible_runs_max
         && !is_stop_near (relay->state);
}

uint64_t
relay_move_check_due_ms (const relay_t *relay)
{
  return may_move (relay)
             ? relay->move_checked_ms + STREAM_MOVE_CHECK_INTERVAL_MS
             : UINT64_MAX;
}

static finish_time_t *
service_finish_time (const relay_t *relay)
{
  return gateway_service_finish_time (relay->state,
                                      relay->attrs.service->name);
}

static size_t
model_of (const relay_t *relay)
{
  return relay->attrs.route->model_count > 0
             ? relay_service_model_index (relay, relay->model_index)
             : SERVICE_MODELS_MAX;
}

/* Return UPSTREAM as a place with EXTRA requests more.  */
static finish_place_t
place_at (const relay_t *relay, const upstream_t *upstream, double extra)
{
  const pool_t *pool = relay->state->pool;

  return (finish_place_t){ .time_factor
                           = upstream_time_factor (pool, upstream),
                           .requests
                           = upstream_request_count (pool, upstream) + extra };
}

/* Return the number of events of the response that the caller has.  */
static uint64_t
events_so_far (const relay_t *relay)
{
  return relay->sse.has_last_id && relay->sse.last_id > relay->event_count
             ? relay->sse.last_id
             : relay->event_count;
}

/* Fill WORK and STATE for the check at NOW_MS.  */
static void
fill_state (const relay_t *relay, uint64_t now_ms, finish_work_t *work,
            stream_state_t *stream)
{
  const request_attrs_t *attrs = &relay->attrs;
  const finish_time_t *finish_time = service_finish_time (relay);
  finish_place_t here = place_at (relay, relay->upstream, 0);

  *work = (finish_work_t){
    .prompt_tokens = attrs->prompt_tokens,
    .events_left = stream_move_events_left (
        finish_time_events (finish_time, attrs->output_tokens_hint),
        finish_time_events (finish_time, attrs->output_tokens_max),
        events_so_far (relay)),
    .model = model_of (relay),
  };
  *stream = (stream_state_t){
    .now_ms = now_ms,
    .sent_ms = relay->dispatched_ms,
    .deadline_ms = attrs->deadline_at_ms,
    .pace = &relay->pace,
    .events_left = work->events_left,
    .here = finish_time_estimate (finish_time, work, &here),
  };
}

/* Return the instance that the stream would move to, or NULL.  */
static upstream_t *
choose_target (const relay_t *relay)
{
  const upstream_t *tried[POOL_TRIED_MAX + 1];
  pool_t *pool = relay->state->pool;
  pool_criteria_t criteria;
  upstream_t *target;

  relay_selection_criteria (relay, &criteria);
  for (size_t i = 0; i < relay->tried_count; i++)
    tried[i] = relay->tried[i];
  tried[criteria.tried_count++] = relay->upstream;
  criteria.tried = tried;
  criteria.is_extra_send = true;
  /* The instance with the least work ends the stream first.  */
  criteria.affinity_key = 0;
  if (pool_select (pool, &criteria, &target) != VH_OK
      || upstream_is_ejected (pool, target)
      || upstream_rate_limit (target)->is_announced)
    return NULL;
  return target;
}

/* Return the common slowdown that streams of the service show at other
   instances than that of RELAY.  */
static double
common_slowdown (const relay_t *relay)
{
  enum
  {
    RATIOS_MAX = 64
  };
  const finish_time_t *finish_time = service_finish_time (relay);
  double ratios[RATIOS_MAX];
  size_t count = 0;

  LIST_EACH (at, &relay->state->relays)
    {
      const relay_t *other = CONTAINER_OF (at, relay_t, link);
      if (count == RATIOS_MAX)
        break;
      if (other->call == NULL || other->upstream == relay->upstream
          || stream_pace_gap_count (&other->pace) < STREAM_MOVE_PACE_GAPS_MIN
          || !str_eq (other->attrs.service->name, relay->attrs.service->name))
        continue;
      const finish_work_t work
          = { .events_left = 1, .model = model_of (other) };
      finish_place_t place = place_at (other, other->upstream, 0);
      ratios[count++]
          = stream_pace_gap_ms (&other->pace)
            / finish_time_estimate (finish_time, &work, &place).gap_ms;
    }
  return stream_move_common_slowdown (ratios, count);
}

static size_t
count_streams (const gateway_state_t *state)
{
  size_t count = 0;

  LIST_EACH (at, &state->relays)
    {
      const relay_t *relay = CONTAINER_OF (at, relay_t, link);
      count += relay->call != NULL && relay->attrs.route->kind == ROUTE_STREAM;
    }
  return count;
}

/* End the send where STREAM runs, and send it to TARGET.  */
static void
move (relay_t *relay, const stream_state_t *stream, upstream_t *target,
      const finish_estimate_t *there)
{
  gateway_state_t *state = relay->state;

  counter_add (state->counters.moves, 1);
  stream_moves_record (&state->stream_moves, stream->now_ms);
  log_event (
      EVENT_MOVED, log_field_text (FIELD_ID, str_from (relay->attempt_id)),
      log_field_text (FIELD_UPSTREAM, upstream_id (relay->upstream)),
      log_field_text (FIELD_TARGET, upstream_id (target)),
      log_field_number (FIELD_PACE_MS,
                        (uint64_t)stream_pace_gap_ms (stream->pace)),
      log_field_number (FIELD_EVENTS, relay->event_count),
      log_field_number (FIELD_EVENTS_LEFT, (uint64_t)stream->events_left),
      log_field_number (FIELD_LEFT_MS, stream->deadline_ms - stream->now_ms),
      log_field_number (FIELD_HERE_MS,
                        (uint64_t)stream_move_time_here_ms (stream)),
      log_field_number (FIELD_THERE_MS, (uint64_t)there->last_event_ms),
      log_field_number (FIELD_EXTRA, relay_retries_left (relay)));
  relay->failure_reason = "slow";
  relay->has_moved = true;
  relay->possible_run_count++;
  /* Cancelled: no failure that ejects the instance.  */
  relay->is_moving = true;
  relay_leave_upstream (relay, SEND_CANCELLED);
  relay->is_moving = false;
  relay->move_target = target;
  relay_send (relay);
}

bool
relay_check_move (relay_t *relay, uint64_t now_ms)
{
  gateway_state_t *state = relay->state;
  send_budget_t *budget;
  finish_work_t work;
  stream_state_t stream;
  stream_move_option_t option;
  stream_move_verdict_t verdict = STREAM_MOVE_NOT_FASTER;

  if (now_ms < relay->move_checked_ms + STREAM_MOVE_CHECK_INTERVAL_MS
      || now_ms >= relay->attrs.deadline_at_ms || !may_move (relay))
    return false;
  relay->move_checked_ms = now_ms;
  if (!http_exchange_was_sent (relay->call))
    return false;
  fill_state (relay, now_ms, &work, &stream);
  if (!stream_move_is_late (&stream))
    return false;
  upstream_t *target = choose_target (relay);
  if (target != NULL)
    {
      finish_place_t place = place_at (relay, target, 1);
      double requests_here = place_at (relay, relay->upstream, 0).requests;
      /* Others send there as well, before they hear of this one.  A lower load
         is no reason to move: it would be one everywhere when all instances
         are slow.  */
      if (place.requests < requests_here)
        place.requests = requests_here;
      budget = relay_retry_budget (relay);
      option = (stream_move_option_t){
        .there
        = finish_time_estimate (service_finish_time (relay), &work, &place),
        .common_slowdown = common_slowdown (relay),
        .budget_left = send_budget_remaining (budget),
        .budget_capacity = send_budget_capacity (budget),
        .moves_in_window
        = stream_moves_in_window (&state->stream_moves, now_ms),
        .stream_count = count_streams (state),
      };
      verdict = stream_move_decide (&stream, &option);
    }
  if (verdict != STREAM_MOVE_YES || !relay_take_retry (relay))
    {
      counter_add (state->counters.moves_refused, 1);
      return false;
    }
  move (relay, &stream, target, &option.there);
  return true;
}

void
relay_record_pace (relay_t *relay, size_t count, uint64_t now_ms)
{
  finish_place_t place = place_at (relay, relay->upstream, 0);
  uint64_t before = relay->pace.count;

  stream_pace_record (&relay->pace, count, now_ms);
  if (relay->send_event_count == 0)
    finish_time_record_first_event (
        service_finish_time (relay), relay->attrs.prompt_tokens,
        model_of (relay), &place, (double)(now_ms - relay->dispatched_ms),
        now_ms);
  /* One sample for each full measure of the pace.  */
  if (relay->pace.count > STREAM_MOVE_PACE_GAPS
      && (before - (before > 0)) / STREAM_MOVE_PACE_GAPS
             != (relay->pace.count - 1) / STREAM_MOVE_PACE_GAPS)
    finish_time_record_gap (service_finish_time (relay), model_of (relay),
                            &place, stream_pace_gap_ms (&relay->pace), now_ms);
}

void
relay_record_length (const relay_t *relay)
{
  if (relay->attrs.output_tokens_hint > 0)
    finish_time_record_length (service_finish_time (relay),
                               relay->attrs.output_tokens_hint,
                               events_so_far (relay));
}
