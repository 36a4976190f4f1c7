/* Attempts: a request is sent to one sidecar at a time, and its answer is
   fetched by offset.

   An idempotent request is retried on another sidecar within the retry budget
   until the first byte of the answer is sent to the caller.  A non-idempotent
   request is retried only if its earlier attempt is known not to have started:
   it was refused by the sidecar, never sent, or fenced.  In all other cases
   the caller gets the outcome "unknown".  */

#include "entry/entryint.h"

#include "base/log.h"

#include <stdio.h>
#include <stdlib.h>

enum
{
  FETCH_WAIT_MAX_MS = 10000,
  FETCH_MAX_BYTES = 256 << 10,
  CALL_TIMEOUT_MARGIN_MS = 5000,
  /* Fetching pauses while more bytes than this wait for the caller.  */
  CALLER_BACKLOG_MAX_BYTES = 256 << 10,
  /* A larger answer is forwarded while it is received.  */
  ANSWER_BUFFER_MAX_BYTES = 1 << 20,
  FENCE_TIMEOUT_MS = 2000,
  FENCE_RETRY_MS = 300,
  ATTEMPT_KEEPALIVE_MS = 4000,
  /* During a rolling restart of its upstreams a pool may be empty for a
     moment: one upstream is stopping and the next is not yet connected.
     Requests wait for this time; a pool that is empty for longer refuses
     them at once.  */
  EMPTY_POOL_WAIT_MS = 2000,
  EMPTY_POOL_RETRY_MS = 50,
  /* A sidecar that refuses an attempt does so within a round trip.  After this
     time an attempt counts as accepted.  */
  ASSUME_ACCEPTED_AFTER_MS = 50,
  HTTP_SERVER_ERROR_MIN = 500
};

static void send_fence (request_t *request);
static void start_next_attempt (request_t *request);

void
dispatch_clear_attempt (request_t *request)
{
  entry_attempt_t *attempt = &request->attempt;

  rpc_cancel (attempt->call);
  for (size_t i = 0; i < attempt->header_count; i++)
    {
      free ((char *)(uintptr_t)attempt->headers[i].name.ptr);
      free ((char *)(uintptr_t)attempt->headers[i].value.ptr);
    }
  free (attempt->headers);
  if (attempt->digest_state != NULL)
    XXH3_freeState (attempt->digest_state);
  buf_free (&attempt->body);
  request->transcript.len = 0;
  if (attempt->member != NULL)
    fleet_member_unref (attempt->member);
  memset (attempt, 0, sizeof *attempt);
}

/* The current attempt ended on its upstream; OK: without an error.  */
static void
end_attempt (request_t *request, bool ok)
{
  entry_t *entry = request->entry;
  entry_attempt_t *attempt = &request->attempt;

  if (!attempt->in_flight)
    return;
  attempt->in_flight = false;
  if (!attempt->joined)
    balance_request_ended (entry->balance, attempt->upstream_id, ok);
}

/* Record success or failure of the current attempt for its upstream.  */
static void
record_result (request_t *request, bool ok, uint32_t units)
{
  entry_attempt_t *attempt = &request->attempt;
  uint64_t latency_us = clock_us (request->entry->clock) - attempt->started_us;

  if (attempt->joined)
    return;
  fleet_record_result (request->entry, request->pool, attempt->member, ok,
                       latency_us, units > 0 ? units : 1);
  learn_attempt_ended (request, !ok);
}

/* Report to admission control, once per attempt, that the sidecar accepted
   the attempt.  The report must not wait for the end of the answer: admission
   control compares accepted with requested work, and in the first seconds of
   load, when no answer has ended, it would refuse everything.  */
static void
count_acceptance (request_t *request)
{
  entry_attempt_t *attempt = &request->attempt;

  if (attempt->admission_counted || attempt->joined)
    return;
  attempt->admission_counted = true;
  admission_record_result (request->pool->admission, request->estimated_tokens,
                           true);
}

static uint64_t
remaining_ms (const request_t *request)
{
  uint64_t now_ms = clock_ms (request->entry->clock);

  return request->deadline_ms > now_ms ? request->deadline_ms - now_ms : 0;
}

/* Tell whether another upstream of the pool can resume a stream.  */
static bool
pool_can_resume (const request_t *request)
{
  size_t cursor = 0;
  void *value;

  while (map_next (request->entry->members, &cursor, NULL, &value))
    {
      const member_t *member = value;
      if ((member->features & FEATURE_RESUME) != 0
          && member_serves (member, str_from (request->pool->name))
          && member != request->attempt.member)
        return true;
    }
  return false;
}

/* Retry the request on another upstream, or end the request with CODE if no
   retry is allowed.  USES_RETRY_BUDGET: charge the retry to the retry budget
   and delay it by the backoff time.  */
static void
retry_elsewhere (request_t *request, vh_code_t code, bool uses_retry_budget)
{
  entry_t *entry = request->entry;

  request->last_error = code;
  dispatch_clear_attempt (request);
  if (request->http == NULL || remaining_ms (request) == 0)
    {
      answer_refuse (request,
                     remaining_ms (request) == 0 ? VH_E_DEADLINE : code);
      return;
    }
  if (request->attempt_count >= ATTEMPTS_MAX
      || (uses_retry_budget && retry_spend (request->pool->retry) != VH_OK))
    {
      answer_refuse (request, code);
      return;
    }
  counter_add (entry->counters.retries, 1);
  if (!uses_retry_budget)
    {
      start_next_attempt (request);
      return;
    }
  request->retry_at_ms
      = clock_ms (entry->clock)
        + retry_backoff_ms (request->pool->retry, request->attempt_count);
}

/* Resume a broken stream on another upstream.  Return false if this is not
   possible.  */
static bool
resume_stream (request_t *request)
{
  if (!request->stream || request->kind != REQUEST_KIND_CHAT
      || request->http == NULL || request->attempt_count >= ATTEMPTS_MAX
      || remaining_ms (request) == 0 || !pool_can_resume (request)
      || retry_spend (request->pool->retry) != VH_OK)
    return false;
  log_info ("entry",
            "A stream broke and is resumed on another instance. "
            "request=%s events=%u",
            request->request_id, request->event_count);
  request->partial_event.len = 0;
  request->tokens_out += request->event_count;
  json_object_set_new (request->body_json, "resume_from_token",
                       json_integer (request->event_count));
  counter_add (request->entry->counters.retries, 1);
  dispatch_clear_attempt (request);
  start_next_attempt (request);
  return true;
}

/* The current attempt may have run, and its answer is lost.  */
static void
handle_unknown_outcome (request_t *request, vh_code_t code)
{
  request->may_have_run = true;
  end_attempt (request, false);
  if (request->answer_started && resume_stream (request))
    return;
  if (request->answer_started)
    answer_abort (request, code);
  else if (request->idempotent)
    retry_elsewhere (request, code, true);
  else
    answer_unknown_outcome (request, VH_E_UNKNOWN);
}

/* Tell whether CODE means that the sidecar refused the attempt before any
   work, so that a retry need not be charged to the retry budget.  */
static bool
is_free_to_retry (vh_code_t code)
{
  return code == VH_E_GATE || code == VH_E_DRAINING || code == VH_E_FENCED
         || code == VH_E_UPSTREAM_DOWN || code == VH_E_NO_ATTEMPT
         || code == VH_E_CANCELLED;
}

/* The sidecar ended the current attempt with an error code.  SENT is the
   number of connections on which the call was sent.  */
static void
handle_refusal (request_t *request, const wire_answer_t *answer, unsigned sent)
{
  vh_code_t code = (vh_code_t)answer->code;
  bool started = answer->started;

  if (answer->death != 0)
    guard_upstream_crashed (request, answer->death);
  /* Other refusals before the start carry no information about the free
     capacity, so admission control does not count them.  */
  if (started)
    count_acceptance (request);
  else if (code == VH_E_FULL || code == VH_E_DEADLINE)
    admission_record_result (request->pool->admission,
                             request->estimated_tokens, false);
  if (answer->retry_after_ms > request->retry_after_ms)
    request->retry_after_ms = answer->retry_after_ms;
  /* The sidecar was restarted.  A call sent only to the new process did not
     run; a call also sent to the old process may have run.  */
  if (code == VH_E_NO_ATTEMPT && (sent > 1 || request->attempt.accepted))
    started = true;
  /* An attempt started by an earlier submission counts as started, so that
     the request is not run twice.  */
  started = started || request->attempt.joined;
  if (started)
    {
      record_result (request, false, 1);
      handle_unknown_outcome (request, code);
      return;
    }
  end_attempt (request, code == VH_E_FULL || code == VH_E_DEADLINE
                            || code == VH_E_KEY_REUSED);
  if (code == VH_E_UPSTREAM_DOWN)
    record_result (request, false, 1);
  if (code == VH_E_DEADLINE || code == VH_E_KEY_REUSED)
    answer_refuse (request, code);
  else
    retry_elsewhere (request, code, !is_free_to_retry (code));
}

static void
copy_headers (request_t *request, const wire_answer_t *answer)
{
  entry_attempt_t *attempt = &request->attempt;
  size_t count = answer->headers.headers_len;

  if (attempt->headers != NULL)
    return;
  attempt->headers = mem_zalloc ((count + 1) * sizeof *attempt->headers);
  attempt->header_count = count;
  for (size_t i = 0; i < count; i++)
    {
      const wire_header_t *header = &answer->headers.headers_val[i];
      size_t name_len = strlen (header->name);
      size_t value_len = strlen (header->value);
      attempt->headers[i].name
          = str_make (str_dup (str_make (header->name, name_len)), name_len);
      attempt->headers[i].value = str_make (
          str_dup (str_make (header->value, value_len)), value_len);
    }
}

/* Tell whether received bytes are forwarded to the caller at once.  */
static bool
is_forwarding (const request_t *request)
{
  if (request->answer_started)
    return true;
  if (request->attempt.http_status >= 400)
    return false;
  if (request->second_version != NULL && !request->escalated)
    return false;
  return request->stream
         || request->attempt.body.len > ANSWER_BUFFER_MAX_BYTES;
}

/* Return the length of the complete events at the start of TEXT; a blank line
   ends an event.  Add the number of events with data to *EVENTS.  */
static size_t
find_complete_events (str_t text, uint32_t *events)
{
  size_t complete_len = 0;

  for (size_t i = 1; i < text.len; i++)
    {
      bool is_blank_line
          = text.ptr[i - 1] == '\n'
            || (i > 1 && text.ptr[i - 1] == '\r' && text.ptr[i - 2] == '\n');
      if (text.ptr[i] != '\n' || !is_blank_line)
        continue;
      if (str_starts_with (
              str_make (text.ptr + complete_len, i - complete_len),
              STR ("data: {")))
        ++*events;
      complete_len = i + 1;
    }
  return complete_len;
}

/* Forward BYTES to the caller.  Only complete events of a stream are
   forwarded, so that another upstream can resume the stream after the last
   event.  */
static void
forward_bytes (request_t *request, str_t bytes)
{
  if (!request->stream)
    {
      answer_stream (request, bytes, false);
      return;
    }
  buf_append_str (&request->partial_event, bytes);
  size_t complete_len = find_complete_events (
      buf_str (&request->partial_event), &request->event_count);
  if (complete_len == 0)
    return;
  answer_stream (request, str_make (request->partial_event.ptr, complete_len),
                 false);
  buf_consume (&request->partial_event, complete_len);
}

static void
receive_bytes (request_t *request, const wire_answer_t *answer)
{
  entry_attempt_t *attempt = &request->attempt;
  str_t bytes = str_make (answer->bytes.bytes_val, answer->bytes.bytes_len);

  if (bytes.len == 0)
    return;
  attempt->last_byte_us = clock_us (request->entry->clock);
  if (attempt->first_byte_us == 0)
    attempt->first_byte_us = attempt->last_byte_us;
  XXH3_64bits_update (attempt->digest_state, bytes.ptr, bytes.len);
  learn_append_transcript (request, bytes);
  attempt->offset += bytes.len;
  if (!is_forwarding (request))
    {
      buf_append_str (&attempt->body, bytes);
      return;
    }
  if (attempt->body.len > 0)
    forward_bytes (request, buf_str (&attempt->body));
  attempt->body.len = 0;
  forward_bytes (request, bytes);
}

/* Add the tokens and the price of the finished attempt to the bill.  */
static void
add_cost (request_t *request, const wire_answer_t *answer)
{
  double tokens = (double)answer->tokens_in + answer->tokens_out;

  request->billed_ms = answer->ended_ms;
  request->tokens_in += answer->tokens_in;
  request->tokens_out += answer->tokens_out;
  if (request->version != NULL)
    request->cost_micro += (uint32_t)(request->version->cost * tokens * 1000);
}

/* The answer of the current attempt is complete.  */
static void
handle_complete_answer (request_t *request, const wire_answer_t *answer)
{
  bool failed = request->attempt.http_status >= HTTP_SERVER_ERROR_MIN;

  end_attempt (request, !failed);
  record_result (request, !failed, answer->tokens_out);
  if (failed && request->kind == REQUEST_KIND_CHAT && !request->answer_started)
    {
      request->may_have_run = true;
      retry_elsewhere (request, VH_E_UPSTREAM_ERROR, true);
      return;
    }
  add_cost (request, answer);
  if (choose_start_rating (request))
    return;
  if (!request->answer_started)
    {
      answer_send_buffered (request);
      return;
    }
  answer_stream (request, buf_str (&request->partial_event), true);
  answer_finish (request);
}

static void
on_answer (void *arg, vh_code_t code, void *result, unsigned sent)
{
  request_t *request = arg;
  const wire_answer_t *answer = result;
  entry_attempt_t *attempt = &request->attempt;

  attempt->call = NULL;
  if (code == VH_E_CONNECT && sent == 0 && !attempt->accepted)
    {
      end_attempt (request, false);
      record_result (request, false, 1);
      retry_elsewhere (request, VH_E_NO_UPSTREAM, false);
      return;
    }
  if (code == VH_E_CANCELLED)
    return;
  if (code != VH_OK && attempt->joined)
    {
      handle_unknown_outcome (request, code);
      return;
    }
  if (code != VH_OK)
    {
      if (!request->idempotent)
        send_fence (request);
      else
        {
          record_result (request, false, 1);
          handle_unknown_outcome (request, code);
        }
      return;
    }
  if (answer->code != 0)
    {
      handle_refusal (request, answer, sent);
      return;
    }
  attempt->accepted = true;
  count_acceptance (request);
  if (answer->status != 0)
    attempt->http_status = answer->status;
  if (answer->offset == 0 && answer->status != 0)
    copy_headers (request, answer);
  if (answer->offset != attempt->offset)
    {
      /* The reply to an earlier fetch; fetch again at the current offset.  */
      dispatch_fetch (request);
      return;
    }
  receive_bytes (request, answer);
  if (!answer->end)
    {
      dispatch_fetch (request);
      return;
    }
  if (answer->total != attempt->offset
      || answer->digest != XXH3_64bits_digest (attempt->digest_state))
    {
      counter_add (request->entry->counters.digest_mismatches, 1);
      log_err ("entry",
               "The digest of an answer does not match its bytes; the attempt "
               "has failed. request=%s",
               request->request_id);
      handle_unknown_outcome (request, VH_E_DIGEST);
      return;
    }
  handle_complete_answer (request, answer);
}

/* Fetch up to MAX_BYTES of the answer.  The sidecar replies with the first
   bytes, or after WAIT_MS without any.  */
static void
send_fetch (request_t *request, uint32_t max_bytes, uint64_t wait_ms)
{
  entry_attempt_t *attempt = &request->attempt;
  wire_fetch_args_t args = { .attempt = attempt->id,
                             .epoch = attempt->epoch,
                             .offset = attempt->offset,
                             .max_bytes = max_bytes,
                             .wait_ms = (u_int)wait_ms };

  attempt->last_fetch_ms = clock_ms (request->entry->clock);
  attempt->call = rpc_peer_call (attempt->member->peer, WIRE_FETCH, &args,
                                 args.wait_ms + CALL_TIMEOUT_MARGIN_MS,
                                 on_answer, request);
}

/* Return whether a WIRE_FETCH call of the attempt may be sent now.  */
static bool
can_send_fetch (const request_t *request)
{
  const entry_attempt_t *attempt = &request->attempt;

  return attempt->call == NULL && attempt->member != NULL && attempt->in_flight
         && attempt->accepted && remaining_ms (request) > 0;
}

void
dispatch_fetch (request_t *request)
{
  uint64_t left_ms = remaining_ms (request);

  if (!can_send_fetch (request))
    return;
  if (request->answer_started && request->http != NULL
      && httpd_buffered_bytes (request->http) > CALLER_BACKLOG_MAX_BYTES)
    return;
  send_fetch (request, FETCH_MAX_BYTES,
              left_ms < FETCH_WAIT_MAX_MS ? left_ms
                                          : (uint64_t)FETCH_WAIT_MAX_MS);
}

/* The reply to a WIRE_FENCE call.  */
static void
on_fenced (void *arg, vh_code_t code, void *result, unsigned sent)
{
  request_t *request = arg;
  vh_code_t fence_result
      = code == VH_OK ? (vh_code_t)((wire_code_res_t *)result)->code : code;

  (void)sent;
  request->attempt.call = NULL;
  request->fence_pending = false;
  if (code == VH_E_CANCELLED)
    return;
  if (fence_result == VH_E_FENCED)
    {
      end_attempt (request, false);
      retry_elsewhere (request, VH_E_FENCED, true);
    }
  else if (fence_result == VH_E_STARTED)
    {
      request->attempt.accepted = true;
      dispatch_fetch (request);
    }
  else if (code == VH_OK)
    handle_unknown_outcome (request, VH_E_UNKNOWN);
  else
    /* The sidecar is not reachable: repeat the call until the deadline.  */
    request->retry_at_ms = clock_ms (request->entry->clock) + FENCE_RETRY_MS;
}

/* Send WIRE_FENCE: the sidecar guarantees that the current attempt never
   starts, or replies that the attempt has started.  */
static void
send_fence (request_t *request)
{
  entry_attempt_t *attempt = &request->attempt;
  wire_attempt_args_t args
      = { .attempt = attempt->id, .epoch = attempt->epoch };

  request->fence_pending = true;
  attempt->call = rpc_peer_call (attempt->member->peer, WIRE_FENCE, &args,
                                 FENCE_TIMEOUT_MS, on_fenced, request);
}

/* Return the balancer id of the session's instance, or 0 if the instance does
   not serve the pool or is not in service.  */
static upstream_id_t
find_session_upstream (request_t *request)
{
  balance_info_t info;
  upstream_id_t id;

  if (request->session_instance == NULL || request->tried_count > 0
      || request->session_version == NULL)
    return 0;
  id = balance_find (request->entry->balance,
                     str_from (request->session_instance));
  if (id == 0 || !balance_info (request->entry->balance, id, &info)
      || info.marks != 0)
    return 0;
  const member_t *member = fleet_find_member (request->entry, id);
  return member != NULL
                 && member_serves (member, str_from (request->pool->name))
             ? id
             : 0;
}

/* Select the upstream *ID of the next attempt.  Return VH_OK or
   VH_E_NO_UPSTREAM.  */
static vh_code_t
pick_upstream (request_t *request, upstream_id_t *id)
{
  const balance_request_t balance_request
      = { .pool = request->pool->id,
          .affinity = request->affinity,
          .tried = request->tried_upstreams,
          .tried_count = request->tried_count };

  *id = find_session_upstream (request);
  if (*id != 0)
    return VH_OK;
  return balance_pick (request->entry->balance, &balance_request, id);
}

/* Select an upstream *ID whose engine can resume a stream.  Return VH_OK or
   VH_E_NO_UPSTREAM.  */
static vh_code_t
pick_resumable_upstream (request_t *request, upstream_id_t *id)
{
  while (request->tried_count < ATTEMPTS_MAX)
    {
      if (pick_upstream (request, id) != VH_OK)
        return VH_E_NO_UPSTREAM;
      const member_t *member = fleet_find_member (request->entry, *id);
      if (member != NULL && (member->features & FEATURE_RESUME) != 0)
        return VH_OK;
      request->tried_upstreams[request->tried_count++] = *id;
    }
  return VH_E_NO_UPSTREAM;
}

/* Switch to another candidate version and select its upstream *ID, because the
   current version has no selectable upstream.  Return VH_OK, or
   VH_E_NO_UPSTREAM with the version unchanged.  */
static vh_code_t
pick_other_version (request_t *request, upstream_id_t *id)
{
  const version_t *previous = request->version;

  if (request->kind == REQUEST_KIND_SERVICE
      || request->session_version != NULL)
    return VH_E_NO_UPSTREAM;
  for (size_t i = 0; i < request->candidate_count; i++)
    {
      if (request->candidates[i] == previous)
        continue;
      request->version = request->candidates[i];
      request->pool = fleet_get_pool (request->entry, request->version->name);
      if (pick_upstream (request, id) == VH_OK)
        {
          request->second_version = NULL;
          return VH_OK;
        }
    }
  request->version = previous;
  request->pool = fleet_get_pool (request->entry, previous->name);
  return VH_E_NO_UPSTREAM;
}

/* Return the body for the upstream; "model" is the selected version.  The
   caller frees *OWNED_BODY.  */
static str_t
build_body (request_t *request, char **owned_body)
{
  *owned_body = NULL;
  if (request->kind == REQUEST_KIND_SERVICE)
    return buf_str (&request->raw_body);
  json_object_set_new (
      request->body_json, "model",
      json_stringn (request->version->name.ptr, request->version->name.len));
  *owned_body = json_dumps (request->body_json, JSON_COMPACT);
  return str_from (*owned_body);
}

enum
{
  FORWARDED_HEADERS_MAX = 24
};

/* Copy the headers of the caller that are forwarded to the upstream.  Return
   their number; the caller frees the strings.  */
static size_t
copy_forwarded_headers (request_t *request, wire_header_t *headers)
{
  static const char *const excluded_headers[]
      = { "host",       "connection",        "content-length", "authorization",
          "keep-alive", "transfer-encoding", "expect",         "te",
          "upgrade",    "proxy-connection" };
  httpc_header_t header;
  size_t count = 0;

  if (request->http == NULL)
    return 0;
  for (size_t i = 0; count < FORWARDED_HEADERS_MAX
                     && httpd_header_at (request->http, i, &header);
       i++)
    {
      bool is_dropped = str_starts_with (header.name, STR ("vanillahook-"));
      for (size_t j = 0;
           j < sizeof excluded_headers / sizeof excluded_headers[0]; j++)
        is_dropped
            = is_dropped
              || str_eq_nocase (header.name, str_from (excluded_headers[j]));
      if (is_dropped || header.value.len >= WIRE_HEADER_MAX
          || header.name.len >= WIRE_NAME_MAX)
        continue;
      headers[count].name = str_dup (header.name);
      headers[count++].value = str_dup (header.value);
    }
  return count;
}

static void
send_submit (request_t *request)
{
  entry_attempt_t *attempt = &request->attempt;
  wire_header_t headers[FORWARDED_HEADERS_MAX];
  size_t count = copy_forwarded_headers (request, headers);
  char *team = str_dup (request->team->name);
  char *owned_body;
  str_t body = build_body (request, &owned_body);
  uint64_t left_ms = remaining_ms (request);
  wire_submit_args_t args
      = { .attempt = attempt->id,
          .request_id = request->request_id,
          .team = team,
          .target = request->pool->name,
          .epoch = attempt->epoch,
          .digest = request->digest,
          .deadline_ms = (u_int)left_ms,
          .cost = request->estimated_tokens,
          .weight = request->team->weight,
          .priority = request->priority,
          .idempotent = request->idempotent,
          .key_given = request->key_given,
          .is_suspect = request->is_suspect,
          .stream = request->stream,
          .method = request->method,
          .path = request->path,
          .headers = { (u_int)count, headers },
          .body = { (u_int)body.len, (char *)(uintptr_t)body.ptr },
          .wait_ms
          = (u_int)(left_ms < FETCH_WAIT_MAX_MS ? left_ms : FETCH_WAIT_MAX_MS),
          .max_bytes = FETCH_MAX_BYTES };

  attempt->call = rpc_peer_call (attempt->member->peer, WIRE_SUBMIT, &args,
                                 args.wait_ms + CALL_TIMEOUT_MARGIN_MS,
                                 on_answer, request);
  for (size_t i = 0; i < count; i++)
    {
      free (headers[i].name);
      free (headers[i].value);
    }
  free (owned_body);
  free (team);
}

/* Tell whether the pool has a sidecar that the configuration keeps in
   service.  */
static bool
pool_may_recover (const request_t *request)
{
  const snapshot_t *snapshot = request->snapshot;
  size_t cursor = 0;
  void *value;

  while (map_next (request->entry->members, &cursor, NULL, &value))
    {
      const member_t *member = value;
      if (!member->is_entry
          && member_serves (member, str_from (request->pool->name))
          && snapshot_is_instance_enabled (snapshot, str_from (member->name))
          && snapshot_is_zone_enabled (snapshot, str_from (member->zone)))
        return true;
    }
  return false;
}

/* No upstream is selectable: schedule a retry, or end the request.  */
static void
wait_for_upstream (request_t *request)
{
  pool_t *pool = request->pool;
  uint64_t now_ms = clock_ms (request->entry->clock);

  if (pool->empty_since_ms == 0)
    pool->empty_since_ms = now_ms;
  if (!request->answer_started && request->http != NULL
      && pool_may_recover (request)
      && now_ms - pool->empty_since_ms < EMPTY_POOL_WAIT_MS)
    {
      request->tried_count = 0;
      request->retry_at_ms = now_ms + EMPTY_POOL_RETRY_MS;
      return;
    }
  answer_refuse (request, request->last_error != VH_OK ? request->last_error
                                                       : VH_E_NO_UPSTREAM);
}

static void
start_next_attempt (request_t *request)
{
  entry_t *entry = request->entry;
  entry_attempt_t *attempt = &request->attempt;
  upstream_id_t id;

  request->retry_at_ms = 0;
  if (guard_poison (request) != FILTER_CONTINUE)
    return;
  vh_code_t pick_result = request->answer_started
                              ? pick_resumable_upstream (request, &id)
                              : pick_upstream (request, &id);
  if (pick_result != VH_OK && !request->answer_started)
    pick_result = pick_other_version (request, &id);
  if (pick_result != VH_OK)
    {
      wait_for_upstream (request);
      return;
    }
  request->pool->empty_since_ms = 0;
  attempt->member = fleet_find_member (entry, id);
  attempt->member->ref_count++;
  attempt->upstream_id = id;
  attempt->epoch = rpc_peer_epoch (attempt->member->peer);
  if (attempt->epoch == 0 && !request->idempotent)
    {
      /* The epoch of the sidecar is needed to detect a restart; without it the
         request could run before and after the restart.  */
      dispatch_clear_attempt (request);
      answer_refuse (request, VH_E_NO_UPSTREAM);
      return;
    }
  attempt->started_us = clock_us (entry->clock);
  attempt->in_flight = true;
  attempt->digest_state = XXH3_createState ();
  XXH3_64bits_reset (attempt->digest_state);
  snprintf (attempt->id, sizeof attempt->id, "%016llx%016llx",
            (unsigned long long)rpc_node_epoch (entry->node),
            (unsigned long long)++entry->last_id);
  if (request->tried_count < ATTEMPTS_MAX)
    request->tried_upstreams[request->tried_count++] = id;
  request->attempt_count++;
  counter_add (entry->counters.attempts, 1);
  balance_request_started (entry->balance, id);
  send_submit (request);
}

void
dispatch_join_attempt (request_t *request, member_t *member, str_t attempt_id)
{
  entry_attempt_t *attempt = &request->attempt;

  if (attempt_id.len >= sizeof attempt->id)
    {
      fleet_member_unref (member);
      answer_unknown_outcome (request, VH_E_UNKNOWN);
      return;
    }
  memcpy (attempt->id, attempt_id.ptr, attempt_id.len);
  attempt->id[attempt_id.len] = '\0';
  attempt->member = member;
  attempt->epoch = rpc_peer_epoch (member->peer);
  attempt->started_us = clock_us (request->entry->clock);
  attempt->in_flight = true;
  attempt->accepted = true;
  attempt->joined = true;
  attempt->digest_state = XXH3_createState ();
  XXH3_64bits_reset (attempt->digest_state);
  request->may_have_run = true;
  dispatch_fetch (request);
}

filter_result_t
dispatch_start (request_t *request)
{
  retry_add_request (request->pool->retry);
  start_next_attempt (request);
  return FILTER_PENDING;
}

/* Cancel the current attempt on the sidecar.  */
static void
send_cancel (request_t *request)
{
  entry_attempt_t *attempt = &request->attempt;
  wire_attempt_args_t args
      = { .attempt = attempt->id, .epoch = attempt->epoch };

  if (!attempt->in_flight)
    return;
  rpc_cancel (attempt->call);
  attempt->call = NULL;
  end_attempt (request, true);
  rpc_peer_notify (attempt->member->peer, WIRE_CANCEL, &args);
}

void
dispatch_send_held_answer (request_t *request)
{
  answer_send_buffered (request);
}

void
dispatch_escalate (request_t *request, const version_t *version)
{
  request->escalated = true;
  counter_add (request->entry->counters.escalations, 1);
  dispatch_clear_attempt (request);
  request->version = version;
  request->pool = fleet_get_pool (request->entry, version->name);
  request->tried_count = 0;
  start_next_attempt (request);
}

void
dispatch_caller_disconnected (request_t *request)
{
  request->http = NULL;
  counter_add (request->entry->counters.caller_disconnects, 1);
  /* A non-idempotent attempt continues, so that its outcome is recorded and
     billed.  */
  if (!request->idempotent && request->attempt.in_flight)
    return;
  send_cancel (request);
  request_destroy (request);
}

void
dispatch_tick (request_t *request, uint64_t now_ms)
{
  if (request->rating_pending || request->claim_pending || request->ended)
    return;
  if (now_ms >= request->deadline_ms)
    {
      bool was_in_flight = request->attempt.in_flight;
      if (request->idempotent)
        send_cancel (request);
      request->may_have_run = request->may_have_run || was_in_flight;
      if (request->may_have_run)
        answer_unknown_outcome (request, VH_E_DEADLINE);
      else
        answer_refuse (request, VH_E_DEADLINE);
      return;
    }
  if (request->attempt.in_flight
      && clock_us (request->entry->clock) - request->attempt.started_us
             >= ASSUME_ACCEPTED_AFTER_MS * 1000ull)
    count_acceptance (request);
  /* A slow caller delays the fetches.  An empty fetch keeps the sidecar from
     expiring the attempt.  */
  if (request->retry_at_ms == 0 && can_send_fetch (request)
      && now_ms - request->attempt.last_fetch_ms >= ATTEMPT_KEEPALIVE_MS)
    send_fetch (request, 0, 0);
  if (request->retry_at_ms == 0 || now_ms < request->retry_at_ms)
    return;
  request->retry_at_ms = 0;
  if (request->attempt.in_flight)
    send_fence (request);
  else
    start_next_attempt (request);
}
