/* Attempts: each request is sent to one sidecar at a time, its answer pulled
   by offset, and sent again elsewhere only where that is sure to be right.

   An idempotent request may be run again within the retry budget as long as
   no byte of an answer reached the caller.  Any other request is run again
   only when its earlier attempt is known not to have started: refused by the
   sidecar, never sent, or fenced.  What stays unclear is told as such.  */

#include "entry/entryint.h"

#include "base/log.h"

#include <stdio.h>
#include <stdlib.h>

enum
{
  FETCH_WAIT_MS = 10000,
  FETCH_BYTES = 256 << 10,
  CALL_SLACK_MS = 5000,
  /* Bytes the caller's socket may be behind before no more are fetched.  */
  AHEAD_MAX = 256 << 10,
  /* A larger answer is passed on as it comes.  */
  BUFFER_MAX = 1 << 20,
  FENCE_TIMEOUT_MS = 2000,
  FENCE_RETRY_MS = 300,
  TOUCH_MS = 4000,
  /* While the upstreams of a pool are restarted one after the other there may
     be a moment with none: one is stopping, the next not yet connected.  A
     pool that is empty for longer refuses at once.  */
  EMPTY_PATIENCE_MS = 2000,
  EMPTY_RETRY_MS = 50,
  /* A sidecar refuses within a round trip; what it has not refused by now it
     has taken.  */
  TAKEN_AFTER_MS = 50,
  STATUS_SERVER_ERROR = 500
};

static void send_fence (request_t *request);
static void try_next (request_t *request);

void
dispatch_clear (request_t *request)
{
  try_t *at = &request->at;

  rpc_cancel (at->call);
  for (size_t i = 0; i < at->header_count; i++)
    {
      free ((char *)(uintptr_t)at->headers[i].name.ptr);
      free ((char *)(uintptr_t)at->headers[i].value.ptr);
    }
  free (at->headers);
  if (at->digest != NULL)
    XXH3_freeState (at->digest);
  buf_free (&at->body);
  request->transcript.len = 0;
  if (at->member != NULL)
    fleet_unuse (at->member);
  memset (at, 0, sizeof *at);
}

/* The present try has ended at its upstream, well or badly.  */
static void
settle (request_t *request, bool ok)
{
  entry_t *entry = request->entry;
  try_t *at = &request->at;

  if (!at->live)
    return;
  at->live = false;
  if (!at->joined)
    balance_request_ended (entry->balance, at->upstream, ok);
}

/* Count the present try for or against its upstream.  */
static void
judge (request_t *request, bool ok, uint32_t units)
{
  try_t *at = &request->at;
  uint64_t took_us = clock_us (request->entry->clock) - at->began_us;

  if (at->joined)
    return;
  fleet_record (request->entry, request->pool, at->member, ok, took_us,
                units > 0 ? units : 1);
  learn_ended (request, !ok);
}

/* Tell admission, once a try, that the sidecar took it.  Guards against
   counting at the end of the answer: admission compares what is taken with
   what is asked for, and in the first seconds of a load nothing has ended
   yet, so that it would let nothing through.  */
static void
count_taken (request_t *request)
{
  try_t *at = &request->at;

  if (at->counted || at->joined)
    return;
  at->counted = true;
  admission_record_result (request->pool->admission, request->cost, true);
}

static uint64_t
left_ms (const request_t *request)
{
  uint64_t now_ms = clock_ms (request->entry->clock);

  return request->deadline_ms > now_ms ? request->deadline_ms - now_ms : 0;
}

/* Tell whether another upstream of the pool can go on with a stream.  */
static bool
pool_resumes (const request_t *request)
{
  size_t cursor = 0;
  void *value;

  while (map_next (request->entry->members, &cursor, NULL, &value))
    {
      const member_t *member = value;
      if ((member->features & FEATURE_RESUME) != 0
          && member_serves (member, str_from (request->pool->name))
          && member != request->at.member)
        return true;
    }
  return false;
}

/* Try again elsewhere after what SPENDS of the retry budget allows; otherwise
   end the request with CODE.  */
static void
try_elsewhere (request_t *request, vh_code_t code, bool spends)
{
  entry_t *entry = request->entry;

  request->last_code = code;
  dispatch_clear (request);
  if (request->http == NULL || left_ms (request) == 0)
    {
      answer_refuse (request, left_ms (request) == 0 ? VH_E_DEADLINE : code);
      return;
    }
  if (request->tries >= TRIES_MAX
      || (spends && retry_spend (request->pool->retry) != VH_OK))
    {
      answer_refuse (request, code);
      return;
    }
  counter_add (entry->counters.retries, 1);
  if (!spends)
    {
      try_next (request);
      return;
    }
  request->retry_at_ms
      = clock_ms (entry->clock)
        + retry_backoff_ms (request->pool->retry, request->tries);
}

/* Go on with a broken stream elsewhere, where the engines can.  Return false
   when it is not to be.  */
static bool
resume (request_t *request)
{
  if (!request->stream || request->kind != KIND_CHAT || request->http == NULL
      || request->tries >= TRIES_MAX || left_ms (request) == 0
      || !pool_resumes (request)
      || retry_spend (request->pool->retry) != VH_OK)
    return false;
  log_info ("entry", "A broken stream goes on elsewhere. request=%s events=%u",
            request->request_id, request->events);
  request->tail.len = 0;
  request->tokens_out += request->events;
  json_object_set_new (request->body, "resume_from_token",
                       json_integer (request->events));
  counter_add (request->entry->counters.retries, 1);
  dispatch_clear (request);
  try_next (request);
  return true;
}

/* The present try may have run and gives no answer.  */
static void
try_unclear (request_t *request, vh_code_t code)
{
  request->may_have_run = true;
  settle (request, false);
  if (request->released && resume (request))
    return;
  if (request->released)
    answer_break (request, code);
  else if (request->idempotent)
    try_elsewhere (request, code, true);
  else
    answer_unknown (request, VH_E_UNKNOWN);
}

/* Codes with which a sidecar refuses before anything starts.  */
static bool
is_cheap_refusal (vh_code_t code)
{
  return code == VH_E_GATE || code == VH_E_DRAINING || code == VH_E_FENCED
         || code == VH_E_UPSTREAM_DOWN || code == VH_E_NO_ATTEMPT
         || code == VH_E_CANCELLED;
}

/* The sidecar ended the try with a code of its own.  SENT counts the
   connections that the call was written to.  */
static void
try_refused (request_t *request, const wire_answer_t *answer, unsigned sent)
{
  vh_code_t code = (vh_code_t)answer->code;
  bool started = answer->started;

  if (answer->death != 0)
    guard_died (request, answer->death);
  /* Any other refusal before the start says nothing of the room there is.  */
  if (started)
    count_taken (request);
  else if (code == VH_E_FULL || code == VH_E_DEADLINE)
    admission_record_result (request->pool->admission, request->cost, false);
  if (answer->retry_after_ms > request->retry_after_ms)
    request->retry_after_ms = answer->retry_after_ms;
  /* The sidecar was restarted.  What only ever went to its new life has not
     run; what went to the old one too may have.  */
  if (code == VH_E_NO_ATTEMPT && (sent > 1 || request->at.accepted))
    started = true;
  /* What an earlier submission began is never begun again.  */
  started = started || request->at.joined;
  if (started)
    {
      judge (request, false, 1);
      try_unclear (request, code);
      return;
    }
  settle (request, code == VH_E_FULL || code == VH_E_DEADLINE
                       || code == VH_E_KEY_REUSED);
  if (code == VH_E_UPSTREAM_DOWN)
    judge (request, false, 1);
  if (code == VH_E_DEADLINE || code == VH_E_KEY_REUSED)
    answer_refuse (request, code);
  else
    try_elsewhere (request, code, !is_cheap_refusal (code));
}

static void
copy_head (request_t *request, const wire_answer_t *answer)
{
  try_t *at = &request->at;
  size_t count = answer->headers.headers_len;

  if (at->headers != NULL)
    return;
  at->headers = mem_zalloc ((count + 1) * sizeof *at->headers);
  at->header_count = count;
  for (size_t i = 0; i < count; i++)
    {
      const wire_header_t *from = &answer->headers.headers_val[i];
      size_t name_len = strlen (from->name);
      size_t value_len = strlen (from->value);
      at->headers[i].name
          = str_make (str_dup (str_make (from->name, name_len)), name_len);
      at->headers[i].value
          = str_make (str_dup (str_make (from->value, value_len)), value_len);
    }
}

/* Tell whether bytes go to the caller as they come.  */
static bool
passes_on (const request_t *request)
{
  if (request->released)
    return true;
  if (request->at.status >= 400)
    return false;
  if (request->plan_second != NULL && !request->escalated)
    return false;
  return request->stream || request->at.body.len > BUFFER_MAX;
}

/* Return how many bytes of TEXT are whole events, which a blank line ends, and
   count those with data in *EVENTS.  */
static size_t
whole_events (str_t text, uint32_t *events)
{
  size_t done = 0;

  for (size_t i = 1; i < text.len; i++)
    {
      bool blank
          = text.ptr[i - 1] == '\n'
            || (i > 1 && text.ptr[i - 1] == '\r' && text.ptr[i - 2] == '\n');
      if (text.ptr[i] != '\n' || !blank)
        continue;
      if (str_starts (str_make (text.ptr + done, i - done), STR ("data: {")))
        ++*events;
      done = i + 1;
    }
  return done;
}

/* Pass BYTES on to the caller: of a stream whole events only, so that it can
   be gone on with elsewhere at a known place.  */
static void
pass_on (request_t *request, str_t bytes)
{
  if (!request->stream)
    {
      answer_stream (request, bytes, false);
      return;
    }
  buf_append_str (&request->tail, bytes);
  size_t done = whole_events (buf_str (&request->tail), &request->events);
  if (done == 0)
    return;
  answer_stream (request, str_make (request->tail.ptr, done), false);
  buf_consume (&request->tail, done);
}

static void
take_bytes (request_t *request, const wire_answer_t *answer)
{
  try_t *at = &request->at;
  str_t bytes = str_make (answer->bytes.bytes_val, answer->bytes.bytes_len);

  if (bytes.len == 0)
    return;
  at->last_byte_us = clock_us (request->entry->clock);
  if (at->first_byte_us == 0)
    at->first_byte_us = at->last_byte_us;
  XXH3_64bits_update (at->digest, bytes.ptr, bytes.len);
  learn_bytes (request, bytes);
  at->offset += bytes.len;
  if (!passes_on (request))
    {
      buf_append_str (&at->body, bytes);
      return;
    }
  if (at->body.len > 0)
    pass_on (request, buf_str (&at->body));
  at->body.len = 0;
  pass_on (request, bytes);
}

/* Add the price of the try that ended.  */
static void
count_cost (request_t *request, const wire_answer_t *answer)
{
  double tokens = (double)answer->tokens_in + answer->tokens_out;

  request->billed_ms = answer->ended_ms;
  request->tokens_in += answer->tokens_in;
  request->tokens_out += answer->tokens_out;
  if (request->version != NULL)
    request->cost_micro += (uint32_t)(request->version->cost * tokens * 1000);
}

/* The answer is whole.  */
static void
try_whole (request_t *request, const wire_answer_t *answer)
{
  bool failed = request->at.status >= STATUS_SERVER_ERROR;

  settle (request, !failed);
  judge (request, !failed, answer->tokens_out);
  if (failed && request->kind == KIND_CHAT && !request->released)
    {
      request->may_have_run = true;
      try_elsewhere (request, VH_E_UPSTREAM_ERROR, true);
      return;
    }
  count_cost (request, answer);
  if (choose_rate_first (request))
    return;
  if (!request->released)
    {
      answer_whole (request);
      return;
    }
  answer_stream (request, buf_str (&request->tail), true);
  answer_finish (request);
}

static void
on_answer (void *arg, vh_code_t code, void *result, unsigned sent)
{
  request_t *request = arg;
  const wire_answer_t *answer = result;
  try_t *at = &request->at;

  at->call = NULL;
  if (code == VH_E_CONNECT && sent == 0 && !at->accepted)
    {
      settle (request, false);
      judge (request, false, 1);
      try_elsewhere (request, VH_E_NO_UPSTREAM, false);
      return;
    }
  if (code == VH_E_CANCELLED)
    return;
  if (code != VH_OK && at->joined)
    {
      try_unclear (request, code);
      return;
    }
  if (code != VH_OK)
    {
      if (!request->idempotent)
        send_fence (request);
      else
        {
          judge (request, false, 1);
          try_unclear (request, code);
        }
      return;
    }
  if (answer->code != 0)
    {
      try_refused (request, answer, sent);
      return;
    }
  at->accepted = true;
  count_taken (request);
  if (answer->status != 0)
    at->status = answer->status;
  if (answer->offset == 0 && answer->status != 0)
    copy_head (request, answer);
  if (answer->offset != at->offset)
    {
      /* A reply to an earlier question; ask again for what is missing.  */
      dispatch_fetch (request);
      return;
    }
  take_bytes (request, answer);
  if (!answer->end)
    {
      dispatch_fetch (request);
      return;
    }
  if (answer->total != at->offset
      || answer->digest != XXH3_64bits_digest (at->digest))
    {
      counter_add (request->entry->counters.digest, 1);
      log_err ("entry", "An answer's digest does not match. request=%s",
               request->request_id);
      try_unclear (request, VH_E_DIGEST);
      return;
    }
  try_whole (request, answer);
}

/* Ask for up to MAX_BYTES, waiting WAIT_MS for the first.  */
static void
send_fetch (request_t *request, uint32_t max_bytes, uint64_t wait_ms)
{
  try_t *at = &request->at;
  wire_fetch_args_t args = { .attempt = at->id,
                             .epoch = at->epoch,
                             .offset = at->offset,
                             .max_bytes = max_bytes,
                             .wait_ms = (u_int)wait_ms };

  at->asked_ms = clock_ms (request->entry->clock);
  at->call = rpc_peer_call (at->member->peer, WIRE_FETCH, &args,
                            args.wait_ms + CALL_SLACK_MS, on_answer, request);
}

static bool
may_fetch (const request_t *request)
{
  const try_t *at = &request->at;

  return at->call == NULL && at->member != NULL && at->live && at->accepted
         && left_ms (request) > 0;
}

void
dispatch_fetch (request_t *request)
{
  uint64_t left = left_ms (request);

  if (!may_fetch (request))
    return;
  if (request->released && request->http != NULL
      && httpd_buffered_bytes (request->http) > AHEAD_MAX)
    return;
  send_fetch (request, FETCH_BYTES,
              left < FETCH_WAIT_MS ? left : (uint64_t)FETCH_WAIT_MS);
}

/* The outcome of a fence.  */
static void
on_fenced (void *arg, vh_code_t code, void *result, unsigned sent)
{
  request_t *request = arg;
  vh_code_t said
      = code == VH_OK ? (vh_code_t)((wire_code_res_t *)result)->code : code;

  (void)sent;
  request->at.call = NULL;
  request->waiting_fence = false;
  if (code == VH_E_CANCELLED)
    return;
  if (said == VH_E_FENCED)
    {
      settle (request, false);
      try_elsewhere (request, VH_E_FENCED, true);
    }
  else if (said == VH_E_STARTED)
    {
      request->at.accepted = true;
      dispatch_fetch (request);
    }
  else if (code == VH_OK)
    try_unclear (request, VH_E_UNKNOWN);
  else
    /* Not reached: ask again until the deadline.  */
    request->retry_at_ms = clock_ms (request->entry->clock) + FENCE_RETRY_MS;
}

/* Ask the sidecar to make sure that the present try never starts, or to say
   that it has.  */
static void
send_fence (request_t *request)
{
  try_t *at = &request->at;
  wire_attempt_args_t args = { .attempt = at->id, .epoch = at->epoch };

  request->waiting_fence = true;
  at->call = rpc_peer_call (at->member->peer, WIRE_FENCE, &args,
                            FENCE_TIMEOUT_MS, on_fenced, request);
}

/* Return the member that the session lives at, if it serves the pool.  */
static upstream_id_t
session_home (request_t *request)
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
  const member_t *member = fleet_member (request->entry, id);
  return member != NULL
                 && member_serves (member, str_from (request->pool->name))
             ? id
             : 0;
}

/* Choose where the next try goes.  Return VH_OK or VH_E_NO_UPSTREAM.  */
static vh_code_t
pick (request_t *request, upstream_id_t *id)
{
  const balance_request_t asked = { .pool = request->pool->id,
                                    .affinity = request->affinity,
                                    .tried = request->tried,
                                    .tried_count = request->tried_count };

  *id = session_home (request);
  if (*id != 0)
    return VH_OK;
  return balance_pick (request->entry->balance, &asked, id);
}

/* Choose where a broken stream goes on: only where the engine can.  */
static vh_code_t
pick_resuming (request_t *request, upstream_id_t *id)
{
  while (request->tried_count < TRIES_MAX)
    {
      if (pick (request, id) != VH_OK)
        return VH_E_NO_UPSTREAM;
      const member_t *member = fleet_member (request->entry, *id);
      if (member != NULL && (member->features & FEATURE_RESUME) != 0)
        return VH_OK;
      request->tried[request->tried_count++] = *id;
    }
  return VH_E_NO_UPSTREAM;
}

/* Move to another candidate version when none of the present one's upstreams
   can be had.  Return VH_OK with *ID.  */
static vh_code_t
pick_other_version (request_t *request, upstream_id_t *id)
{
  const version_t *was = request->version;

  if (request->kind == KIND_SERVICE || request->session_version != NULL)
    return VH_E_NO_UPSTREAM;
  for (size_t i = 0; i < request->candidate_count; i++)
    {
      if (request->candidates[i] == was)
        continue;
      request->version = request->candidates[i];
      request->pool = fleet_pool (request->entry, request->version->name);
      if (pick (request, id) == VH_OK)
        {
          request->plan_second = NULL;
          return VH_OK;
        }
    }
  request->version = was;
  request->pool = fleet_pool (request->entry, was->name);
  return VH_E_NO_UPSTREAM;
}

/* The body with "model" set to the version chosen; *OWNED is to be freed.  */
static str_t
make_body (request_t *request, char **owned)
{
  *owned = NULL;
  if (request->kind == KIND_SERVICE)
    return buf_str (&request->raw);
  json_object_set_new (
      request->body, "model",
      json_stringn (request->version->name.ptr, request->version->name.len));
  *owned = json_dumps (request->body, JSON_COMPACT);
  return str_from (*owned);
}

enum
{
  FORWARDED_MAX = 24
};

/* Headers of the caller that the upstream is to see.  */
static size_t
make_headers (request_t *request, wire_header_t *headers)
{
  static const char *const dropped[]
      = { "host",       "connection",        "content-length", "authorization",
          "keep-alive", "transfer-encoding", "expect",         "te",
          "upgrade",    "proxy-connection" };
  httpc_header_t header;
  size_t count = 0;

  if (request->http == NULL)
    return 0;
  for (size_t i = 0;
       count < FORWARDED_MAX && httpd_header_at (request->http, i, &header);
       i++)
    {
      bool drop = str_starts (header.name, STR ("vanillahook-"));
      for (size_t j = 0; j < sizeof dropped / sizeof dropped[0]; j++)
        drop = drop || str_eq_nocase (header.name, str_from (dropped[j]));
      if (drop || header.value.len >= WIRE_HEADER_MAX
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
  try_t *at = &request->at;
  wire_header_t headers[FORWARDED_MAX];
  size_t count = make_headers (request, headers);
  char *team = str_dup (request->team->name);
  char *owned;
  str_t body = make_body (request, &owned);
  uint64_t left = left_ms (request);
  wire_submit_args_t args
      = { .attempt = at->id,
          .request_id = request->request_id,
          .team = team,
          .target = request->pool->name,
          .epoch = at->epoch,
          .digest = request->digest,
          .deadline_ms = (u_int)left,
          .cost = request->cost,
          .weight = request->team->weight,
          .priority = request->priority,
          .idempotent = request->idempotent,
          .key_given = request->key_given,
          .is_suspect = request->suspect,
          .stream = request->stream,
          .method = request->method,
          .path = request->path,
          .headers = { (u_int)count, headers },
          .body = { (u_int)body.len, (char *)(uintptr_t)body.ptr },
          .wait_ms = (u_int)(left < FETCH_WAIT_MS ? left : FETCH_WAIT_MS),
          .max_bytes = FETCH_BYTES };

  at->call = rpc_peer_call (at->member->peer, WIRE_SUBMIT, &args,
                            args.wait_ms + CALL_SLACK_MS, on_answer, request);
  for (size_t i = 0; i < count; i++)
    {
      free (headers[i].name);
      free (headers[i].value);
    }
  free (owned);
  free (team);
}

/* Tell whether an upstream of the pool may be back any moment.  */
static bool
pool_may_return (const request_t *request)
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

/* No upstream can be had: wait a little for one, or end the request.  */
static void
wait_for_upstream (request_t *request)
{
  pool_t *pool = request->pool;
  uint64_t now_ms = clock_ms (request->entry->clock);

  if (pool->empty_ms == 0)
    pool->empty_ms = now_ms;
  if (!request->released && request->http != NULL && pool_may_return (request)
      && now_ms - pool->empty_ms < EMPTY_PATIENCE_MS)
    {
      request->tried_count = 0;
      request->retry_at_ms = now_ms + EMPTY_RETRY_MS;
      return;
    }
  answer_refuse (request, request->last_code != VH_OK ? request->last_code
                                                      : VH_E_NO_UPSTREAM);
}

static void
try_next (request_t *request)
{
  entry_t *entry = request->entry;
  try_t *at = &request->at;
  upstream_id_t id;

  request->retry_at_ms = 0;
  if (guard_poison (request) != FILTER_NEXT)
    return;
  vh_code_t picked
      = request->released ? pick_resuming (request, &id) : pick (request, &id);
  if (picked != VH_OK && !request->released)
    picked = pick_other_version (request, &id);
  if (picked != VH_OK)
    {
      wait_for_upstream (request);
      return;
    }
  request->pool->empty_ms = 0;
  at->member = fleet_member (entry, id);
  at->member->in_use++;
  at->upstream = id;
  at->epoch = rpc_peer_epoch (at->member->peer);
  if (at->epoch == 0 && !request->idempotent)
    {
      /* Without the sidecar's epoch a restart would go unnoticed and the
         request could run in both of its lives.  */
      dispatch_clear (request);
      answer_refuse (request, VH_E_NO_UPSTREAM);
      return;
    }
  at->began_us = clock_us (entry->clock);
  at->live = true;
  at->digest = XXH3_createState ();
  XXH3_64bits_reset (at->digest);
  snprintf (at->id, sizeof at->id, "%016llx%016llx",
            (unsigned long long)rpc_node_epoch (entry->node),
            (unsigned long long)++entry->next_id);
  if (request->tried_count < TRIES_MAX)
    request->tried[request->tried_count++] = id;
  request->tries++;
  counter_add (entry->counters.attempts, 1);
  balance_request_started (entry->balance, id);
  send_submit (request);
}

void
dispatch_join (request_t *request, member_t *member, str_t attempt)
{
  try_t *at = &request->at;

  if (attempt.len >= sizeof at->id)
    {
      fleet_unuse (member);
      answer_unknown (request, VH_E_UNKNOWN);
      return;
    }
  memcpy (at->id, attempt.ptr, attempt.len);
  at->id[attempt.len] = '\0';
  at->member = member;
  at->epoch = rpc_peer_epoch (member->peer);
  at->began_us = clock_us (request->entry->clock);
  at->live = true;
  at->accepted = true;
  at->joined = true;
  at->digest = XXH3_createState ();
  XXH3_64bits_reset (at->digest);
  request->may_have_run = true;
  dispatch_fetch (request);
}

filter_step_t
dispatch_start (request_t *request)
{
  retry_add_request (request->pool->retry);
  try_next (request);
  return FILTER_WAIT;
}

/* Tell the sidecar that nobody waits for the present try.  */
static void
send_cancel (request_t *request)
{
  try_t *at = &request->at;
  wire_attempt_args_t args = { .attempt = at->id, .epoch = at->epoch };

  if (!at->live)
    return;
  rpc_cancel (at->call);
  at->call = NULL;
  settle (request, true);
  rpc_peer_notify (at->member->peer, WIRE_CANCEL, &args);
}

void
dispatch_release (request_t *request)
{
  answer_whole (request);
}

void
dispatch_escalate (request_t *request, const version_t *version)
{
  request->escalated = true;
  counter_add (request->entry->counters.escalations, 1);
  dispatch_clear (request);
  request->version = version;
  request->pool = fleet_pool (request->entry, version->name);
  request->tried_count = 0;
  try_next (request);
}

void
dispatch_departed (request_t *request)
{
  request->http = NULL;
  counter_add (request->entry->counters.departed, 1);
  /* What may not be repeated runs on, so that its outcome is recorded and
     billed.  */
  if (!request->idempotent && request->at.live)
    return;
  send_cancel (request);
  request_destroy (request);
}

void
dispatch_tick (request_t *request, uint64_t now_ms)
{
  if (request->rating || request->claiming || request->ended)
    return;
  if (now_ms >= request->deadline_ms)
    {
      bool live = request->at.live;
      if (request->idempotent)
        send_cancel (request);
      request->may_have_run = request->may_have_run || live;
      if (request->may_have_run)
        answer_unknown (request, VH_E_DEADLINE);
      else
        answer_refuse (request, VH_E_DEADLINE);
      return;
    }
  if (request->at.live
      && clock_us (request->entry->clock) - request->at.began_us
             >= TAKEN_AFTER_MS * 1000ull)
    count_taken (request);
  /* A slow caller holds back the fetches; the sidecar must not take the
     attempt for one that nobody waits for.  */
  if (request->retry_at_ms == 0 && may_fetch (request)
      && now_ms - request->at.asked_ms >= TOUCH_MS)
    send_fetch (request, 0, 0);
  if (request->retry_at_ms == 0 || now_ms < request->retry_at_ms)
    return;
  request->retry_at_ms = 0;
  if (request->at.live)
    send_fence (request);
  else
    try_next (request);
}
