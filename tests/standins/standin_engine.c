/* Stand-in for a model engine with continuous batching.  The quality of each
   model version is configured.

   POST /v1/chat/completions  OpenAI-compatible; also "resume_from_token":N
                              and "priority":N.  A body that
                              contains VH-CRASH ends the process
   GET /stats                 {"total","running","max_running","refused",
                              "cancelled","versions":{"M@V":N},"runs":{"ID":N},
                              "orders":[...]}
   POST /control              {"cold_ms":N,"quality":{"M@V":Q},"hang":bool,
                              "error":STATUS,"slow":F,"cut_after_tokens":N,
                              "die_after_tokens":N}; each key is optional
   GET /load                  the load as of --load-lag-ms ago
   GET /cache-events?after=N  prompt blocks stored and evicted; the events are
                              delayed and some are missing
   POST /orders               {"order","version","fence":N}; an order whose
   fence is older than the last one is refused with
                              --fencing and accepted without

   Up to --slots requests run at full speed.  With more, the time of a token
   grows with the square of the ratio of requests to slots; from --max-running
   requests on, further ones are refused.  A cold engine has a quarter of both
   capacities, and its tokens take COLD_SLOWDOWN times as long.  */

#include "standins/answer.h"
#include "standins/common.h"

#include "base/map.h"
#include "base/mem.h"

#include <argtable2.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

enum
{
  EXIT_CRASH = 9,
  TICK_INTERVAL_MS = 1,
  COLD_SLOWDOWN = 4,
  COLD_CAPACITY_DIVISOR = 4, /* Warm capacity / cold capacity.  */
  PROMPT_BLOCK_BYTES = 256,
  SAMPLE_INTERVAL_MS = 20,
  SAMPLE_RING_SIZE = 512,
  EVENT_RING_SIZE = 4096,
  /* A stream pauses while more bytes than this wait for a slow client.  */
  MAX_BUFFERED_BYTES = 256 * 1024
};

/* Relative increase of the time of a token for each further request in the
   batch.  */
static const double token_time_slope = 0.02;

typedef struct
{
  str_t name; /* MODEL@VERSION */
  double quality;
  double cost;
  uint64_t runs;
} version_t;

typedef struct
{
  list_t link;
  httpd_req_t *req;
  version_t *version;
  answer_t answer;
  bool stream;
  int priority;
  size_t prompt_tokens;
  double prompt_remaining_ms; /* Remaining prefill time at full speed.  */
  double credit_ms;           /* Elapsed time not yet used for a token.  */
  uint32_t next_token;        /* Index of the next token to emit.  */
  uint32_t first_token;       /* Index of the first token that is sent.  */
  buf_t text; /* Text so far; stays empty if the answer is streamed.  */
} run_t;

typedef struct
{
  uint64_t time_ms;
  size_t running;
  bool was_cold;
} sample_t;

typedef struct
{
  uint64_t time_ms;
  uint64_t seq;
  uint64_t block;
  bool is_stored;
} cache_event_t;

typedef struct
{
  uv_loop_t *loop;
  uv_timer_t tick;
  uv_timer_t sampler;
  version_t *versions;
  size_t version_count;
  list_t runs; /* List of run_t in scheduling order.  */
  size_t running;
  uint64_t last_tick_us;
  /* Options of the command line.  */
  size_t slots;
  size_t max_running;
  double token_ms;
  double prompt_ms; /* Time of 1,000 prompt bytes that are not cached.  */
  uint64_t cold_ms;
  uint64_t load_lag_ms;
  uint64_t cache_lag_ms;
  uint64_t lost_event_interval; /* 1 in this many events is lost; 0: none.  */
  bool is_minimal;
  bool has_fencing;
  /* Settings of POST /control.  */
  uint64_t cold_until_ms;
  bool is_hung;     /* Whether all runs are suspended.  */
  int error_status; /* Status of each chat request; 0: no forced error.  */
  double slow_factor;
  /* Number of tokens of an answer after which its connection is aborted or the
     process exits; 0: never.  */
  uint32_t cut_after_tokens;
  uint32_t exit_after_tokens;
  /* Counters since the start of the process.  */
  map_t *run_counts; /* Request id to its number of runs, a uint64_t.  */
  uint64_t total;
  uint64_t refused;
  uint64_t cancelled;
  size_t peak_running;
  json_t *orders;
  int64_t last_fence; /* Fence of the last order that was accepted.  */
  sample_t samples[SAMPLE_RING_SIZE];
  size_t sample_count; /* Number of samples taken so far.  */
  /* Prompt cache: a ring of block hashes.  */
  uint64_t *cache;
  size_t cache_blocks; /* Capacity of the ring.  */
  size_t cache_insertions;
  cache_event_t events[EVENT_RING_SIZE];
  uint64_t next_event_seq;
} engine_t;

static engine_t engine;

static uint64_t
now_ms (void)
{
  return uv_hrtime () / 1000000u;
}

static bool
is_cold (void)
{
  return now_ms () < engine.cold_until_ms;
}

/* Return the present capacity of an engine whose capacity when warm is
   CAPACITY.  */
static size_t
effective_capacity (size_t capacity)
{
  if (!is_cold ())
    return capacity;
  return capacity / COLD_CAPACITY_DIVISOR > 0
             ? capacity / COLD_CAPACITY_DIVISOR
             : 1;
}

/* Return the time of one token of each running request, in ms.  */
static double
token_time_ms (void)
{
  size_t slots = effective_capacity (engine.slots);
  double load = (double)engine.running / (double)slots;
  double factor = 1 + token_time_slope * (double)(engine.running - 1);

  if (load > 1)
    factor *= load * load;
  if (is_cold ())
    factor *= COLD_SLOWDOWN;
  return engine.token_ms * factor * engine.slow_factor;
}

static version_t *
find_version (str_t name)
{
  for (size_t i = 0; i < engine.version_count; i++)
    {
      str_t rest;
      version_t *version = &engine.versions[i];
      if (str_eq (version->name, name)
          || str_eq (str_cut (version->name, '@', &rest), name))
        return version;
    }
  return NULL;
}

/* Record the event that BLOCK was stored (STORED) or evicted.  */
static void
record_cache_event (uint64_t block, bool is_stored)
{
  uint64_t seq = engine.next_event_seq++;

  engine.events[seq % EVENT_RING_SIZE]
      = (cache_event_t){ now_ms (), seq, block, is_stored };
}

/* Insert the blocks of PROMPT into the cache.  Return the number of bytes
   that it did not hold before.  */
static size_t
cache_insert_prompt (str_t prompt)
{
  size_t missed_bytes = 0;
  uint64_t hash = 0;

  for (size_t offset = 0; offset < prompt.len; offset += PROMPT_BLOCK_BYTES)
    {
      size_t len = prompt.len - offset;
      bool found = false;
      if (len > PROMPT_BLOCK_BYTES)
        len = PROMPT_BLOCK_BYTES;
      /* The hash of a block includes all blocks before it.  */
      hash = str_hash (str_make (prompt.ptr + offset, len), hash + 3);
      for (size_t i = 0; i < engine.cache_blocks && !found; i++)
        found = engine.cache[i] == hash;
      if (found)
        continue;
      missed_bytes += len;
      if (engine.cache_blocks == 0)
        continue;
      uint64_t *slot
          = &engine.cache[engine.cache_insertions++ % engine.cache_blocks];
      if (*slot != 0)
        record_cache_event (*slot, false);
      *slot = hash;
      record_cache_event (hash, true);
    }
  return missed_bytes;
}

static void
count_run (str_t id)
{
  uint64_t *count = map_get (engine.run_counts, id);

  engine.total++;
  if (id.len == 0 || engine.is_minimal)
    return;
  if (count == NULL)
    {
      count = mem_zalloc (sizeof *count);
      map_put (engine.run_counts, id, count);
    }
  ++*count;
}

/* The id depends on the request alone, so that an answer is the same at each
   run.  */
static void
append_id (const run_t *run, buf_t *out)
{
  buf_printf (out, "\"id\":\"chatcmpl-%016" PRIx64 "\",\"created\":0,",
              run->answer.seed);
  buf_printf (out, "\"model\":\"%.*s\"", STR_ARG (run->version->name));
}

static void
append_usage (const run_t *run, buf_t *out)
{
  buf_printf (out,
              "\"usage\":{\"prompt_tokens\":%zu,\"completion_tokens\":%u,"
              "\"total_tokens\":%zu}",
              run->prompt_tokens, run->answer.tokens,
              run->prompt_tokens + run->answer.tokens);
}

static void
append_token_event (const run_t *run, uint32_t index, buf_t *out)
{
  buf_t text = BUF_NULL;

  answer_append_token (&run->answer, index, &text);
  buf_append_str (out, STR ("data: {\"object\":\"chat.completion.chunk\","));
  append_id (run, out);
  buf_append_str (out, STR (",\"choices\":[{\"index\":0,\"delta\":{"));
  if (index == 0)
    buf_append_str (out, STR ("\"role\":\"assistant\","));
  buf_append_str (out, STR ("\"content\":\""));
  buf_append_json_escaped (out, buf_str (&text));
  buf_append_str (out, STR ("\"},\"finish_reason\":null}]}\n\n"));
  buf_free (&text);
}

static void
append_final_event (const run_t *run, buf_t *out)
{
  buf_append_str (out, STR ("data: {\"object\":\"chat.completion.chunk\","));
  append_id (run, out);
  buf_append_str (out, STR (",\"choices\":[{\"index\":0,\"delta\":{},"
                            "\"finish_reason\":\"stop\"}],"));
  append_usage (run, out);
  buf_append_str (out, STR ("}\n\ndata: [DONE]\n\n"));
}

static void
append_json_answer (const run_t *run, buf_t *out)
{
  buf_append_str (out, STR ("{\"object\":\"chat.completion\","));
  append_id (run, out);
  buf_append_str (out, STR (",\"choices\":[{\"index\":0,\"message\":{"
                            "\"role\":\"assistant\",\"content\":\""));
  buf_append_json_escaped (out, buf_str (&run->text));
  buf_append_str (out, STR ("\"},\"finish_reason\":\"stop\"}],"));
  append_usage (run, out);
  buf_append_char (out, '}');
}

static void
run_destroy (run_t *run)
{
  engine.running--;
  list_remove (&run->link);
  buf_free (&run->text);
  free (run);
}

static void
on_client_disconnect (void *arg)
{
  engine.cancelled++;
  run_destroy (arg);
}

/* Send OUT as the next bytes of the answer of RUN.  If IS_LAST, end the
   answer and free RUN.  */
static void
run_send (run_t *run, const buf_t *out, bool is_last)
{
  static const httpc_header_t json
      = { STR ("content-type"), STR ("application/json") };
  httpd_req_t *req = run->req;

  if (is_last)
    httpd_set_callbacks (req, NULL, NULL, NULL);
  if (run->stream)
    httpd_send (req, buf_str (out), is_last);
  else if (is_last)
    httpd_reply (req, 200, &json, 1, buf_str (out));
  if (is_last)
    run_destroy (run);
}

/* Abort the connection of RUN or exit the process if RUN has emitted the
   number of tokens set by POST /control.  Return true if RUN was freed.  */
static bool
run_apply_faults (run_t *run)
{
  if (engine.exit_after_tokens > 0
      && run->next_token >= engine.exit_after_tokens)
    _exit (EXIT_CRASH);
  if (engine.cut_after_tokens == 0
      || run->next_token < engine.cut_after_tokens)
    return false;
  httpd_set_callbacks (run->req, NULL, NULL, NULL);
  if (!run->stream)
    httpd_start_response (run->req, 200, NULL, 0);
  httpd_abort (run->req);
  run_destroy (run);
  return true;
}

/* Emit the tokens of RUN for which the elapsed time suffices, at TOKEN_MS
   each.  */
static void
run_emit_tokens (run_t *run, double token_ms)
{
  buf_t out = BUF_NULL;
  bool is_last;

  while (run->next_token < run->answer.tokens && run->credit_ms >= token_ms)
    {
      run->credit_ms -= token_ms;
      if (run->stream)
        append_token_event (run, run->next_token, &out);
      else
        answer_append_token (&run->answer, run->next_token, &run->text);
      run->next_token++;
      if ((engine.cut_after_tokens > 0
           && run->next_token >= engine.cut_after_tokens)
          || (engine.exit_after_tokens > 0
              && run->next_token >= engine.exit_after_tokens))
        break;
    }
  is_last = run->next_token >= run->answer.tokens;
  if (is_last && run->stream)
    append_final_event (run, &out);
  else if (is_last)
    append_json_answer (run, &out);
  if (out.len > 0)
    run_send (run, &out, is_last);
  buf_free (&out);
  if (!is_last)
    run_apply_faults (run);
}

/* Advance RUN by STEP_MS, at TOKEN_MS for each token.  */
static void
run_advance (run_t *run, double step_ms, double token_ms)
{
  if (run->stream && httpd_buffered_bytes (run->req) > MAX_BUFFERED_BYTES)
    return;
  /* Prefill shares the batch with decoding, so that a longer time of a token
     slows it down by the same factor.  */
  double rate = engine.token_ms > 0 ? engine.token_ms / token_ms : 1;
  if (run->prompt_remaining_ms > 0)
    {
      run->prompt_remaining_ms -= step_ms * rate;
      if (run->prompt_remaining_ms > 0)
        return;
      step_ms = -run->prompt_remaining_ms / rate;
      run->prompt_remaining_ms = 0;
    }
  run->credit_ms += step_ms;
  run_emit_tokens (run, token_ms);
}

static void
on_tick (uv_timer_t *timer)
{
  uint64_t now_us = uv_hrtime () / 1000;
  double step_ms = (double)(now_us - engine.last_tick_us) / 1000;

  engine.last_tick_us = now_us;
  if (engine.running == 0)
    {
      uv_timer_stop (timer);
      return;
    }
  if (engine.is_hung)
    return;
  double token_ms = token_time_ms ();
  LIST_EACH (node, &engine.runs)
    run_advance (CONTAINER_OF (node, run_t, link), step_ms, token_ms);
}

static void
start_ticking (void)
{
  if (uv_is_active ((uv_handle_t *)&engine.tick))
    return;
  engine.last_tick_us = uv_hrtime () / 1000;
  uv_timer_start (&engine.tick, on_tick, TICK_INTERVAL_MS, TICK_INTERVAL_MS);
}

/* Reply to REQ with an error if POST /control set one or if the engine is at
   capacity.  Return true if a reply was sent.  */
static bool
reject_request (httpd_req_t *req)
{
  if (engine.error_status != 0)
    standin_reply_error (req, engine.error_status,
                         "error set by POST /control");
  else if (engine.running >= effective_capacity (engine.max_running))
    standin_reply_error (req, 503, "overloaded");
  else
    return false;
  engine.refused++;
  return true;
}

static uint32_t
json_count (const json_t *root, const char *key)
{
  json_int_t value = json_integer_value (json_object_get (root, key));

  return value > 0 && value <= UINT32_MAX ? (uint32_t)value : 0;
}

/* Insert RUN in the order of priority, then of arrival.  */
static void
insert_run (run_t *run)
{
  list_t *before = &engine.runs;

  LIST_EACH (node, &engine.runs)
    if (CONTAINER_OF (node, run_t, link)->priority < run->priority)
      {
        before = node;
        break;
      }
  list_append (before, &run->link);
  engine.running++;
  if (engine.running > engine.peak_running)
    engine.peak_running = engine.running;
}

static void
start_run (httpd_req_t *req, const json_t *root, version_t *version)
{
  static const httpc_header_t stream_type
      = { STR ("content-type"), STR ("text/event-stream") };
  buf_t prompt = BUF_NULL;
  run_t *run = mem_zalloc (sizeof *run);
  uint32_t max_tokens = json_count (root, "max_completion_tokens");

  if (max_tokens == 0)
    max_tokens = json_count (root, "max_tokens");
  count_run (httpd_header (req, STR ("vanillahook-request-id")));
  answer_append_prompt (json_object_get (root, "messages"), &prompt);
  version->runs++;
  run->req = req;
  run->version = version;
  run->answer = answer_make (version->name, version->quality,
                             buf_str (&prompt), max_tokens);
  run->stream = json_is_true (json_object_get (root, "stream"));
  run->priority = (int)json_integer_value (json_object_get (root, "priority"));
  if (!engine.is_minimal && run->stream)
    run->first_token = json_count (root, "resume_from_token");
  if (run->first_token > run->answer.tokens)
    run->first_token = run->answer.tokens;
  run->next_token = run->first_token;
  run->prompt_tokens = prompt.len / 4 + 1;
  run->prompt_remaining_ms = engine.prompt_ms
                             * (double)cache_insert_prompt (buf_str (&prompt))
                             / 1000;
  buf_free (&prompt);
  insert_run (run);
  httpd_set_callbacks (req, NULL, on_client_disconnect, run);
  if (run->stream)
    httpd_start_response (req, 200, &stream_type, 1);
  if (engine.token_ms == 0 && run->prompt_remaining_ms <= 0 && !engine.is_hung)
    run_emit_tokens (run, 0);
  else
    start_ticking ();
}

static void
handle_completion (httpd_req_t *req)
{
  str_t body = httpd_body (req);

  if (memmem (body.ptr, body.len, "VH-CRASH", strlen ("VH-CRASH")) != NULL)
    _exit (EXIT_CRASH);
  json_t *root = json_loadb (body.ptr, body.len, 0, NULL);
  const char *model = json_string_value (json_object_get (root, "model"));
  version_t *version = find_version (str_from (model));
  if (!json_is_array (json_object_get (root, "messages")) || model == NULL)
    standin_reply_error (req, 400, "messages or model is missing");
  else if (version == NULL)
    standin_reply_error (req, 404, "no such model");
  else if (!reject_request (req))
    start_run (req, root, version);
  json_decref (root);
}

static void
reply_stats (httpd_req_t *req)
{
  json_t *runs = json_object ();
  json_t *versions = json_object ();
  size_t cursor = 0;
  str_t key;
  void *value;

  for (size_t i = 0; i < engine.version_count; i++)
    {
      char *name = str_dup (engine.versions[i].name);
      json_object_set_new (versions, name,
                           json_integer ((json_int_t)engine.versions[i].runs));
      free (name);
    }
  while (map_next (engine.run_counts, &cursor, &key, &value))
    {
      char *id = str_dup (key);
      json_object_set_new (runs, id,
                           json_integer ((json_int_t) * (uint64_t *)value));
      free (id);
    }
  standin_reply_json (req, 200,
                      json_pack ("{s:I,s:I,s:I,s:I,s:I,s:o,s:o,s:O}", "total",
                                 (json_int_t)engine.total, "running",
                                 (json_int_t)engine.running, "max_running",
                                 (json_int_t)engine.peak_running, "refused",
                                 (json_int_t)engine.refused, "cancelled",
                                 (json_int_t)engine.cancelled, "versions",
                                 versions, "runs", runs, "orders",
                                 engine.orders));
}

static void
on_sample (uv_timer_t *timer)
{
  (void)timer;
  engine.samples[engine.sample_count++ % SAMPLE_RING_SIZE]
      = (sample_t){ now_ms (), engine.running, is_cold () };
}

/* Reply with the newest sample that is at least load_lag_ms old.  */
static void
reply_load (httpd_req_t *req)
{
  sample_t found = { 0, 0, true };
  uint64_t now = now_ms ();

  for (size_t back = 1;
       back <= SAMPLE_RING_SIZE && back <= engine.sample_count; back++)
    {
      found = engine.samples[(engine.sample_count - back) % SAMPLE_RING_SIZE];
      if (now - found.time_ms >= engine.load_lag_ms)
        break;
    }
  standin_reply_json (
      req, 200,
      json_pack ("{s:I,s:I,s:b,s:I}", "running", (json_int_t)found.running,
                 "slots", (json_int_t)engine.slots, "cold", found.was_cold,
                 "age_ms",
                 (json_int_t)(found.time_ms == 0 ? 0 : now - found.time_ms)));
}

static void
reply_cache_events (httpd_req_t *req)
{
  json_t *list = json_array ();
  uint64_t after = 0;
  uint64_t now = now_ms ();
  bool from_start
      = !str_to_u64 (httpd_query_param (req, STR ("after")), &after);
  uint64_t oldest = engine.next_event_seq > EVENT_RING_SIZE
                        ? engine.next_event_seq - EVENT_RING_SIZE
                        : 0;

  if (!from_start && after + 1 > oldest)
    oldest = after + 1;
  for (uint64_t seq = oldest; seq < engine.next_event_seq; seq++)
    {
      const cache_event_t *event = &engine.events[seq % EVENT_RING_SIZE];
      char block[20];
      if (now - event->time_ms < engine.cache_lag_ms)
        break;
      if (engine.lost_event_interval > 0
          && seq % engine.lost_event_interval == 0)
        continue;
      snprintf (block, sizeof block, "%016" PRIx64, event->block);
      json_array_append_new (
          list,
          json_pack ("{s:I,s:s,s:s}", "seq", (json_int_t)seq, "kind",
                     event->is_stored ? "stored" : "evicted", "block", block));
    }
  standin_reply_json (req, 200, json_pack ("{s:o}", "events", list));
}

static void
handle_order (httpd_req_t *req)
{
  str_t body = httpd_body (req);
  json_t *root = json_loadb (body.ptr, body.len, 0, NULL);
  json_int_t fence = json_integer_value (json_object_get (root, "fence"));

  if (!json_is_string (json_object_get (root, "order")))
    standin_reply_error (req, 400, "order is missing");
  else if (engine.has_fencing && fence < engine.last_fence)
    standin_reply_json (req, 409,
                        json_pack ("{s:s,s:I}", "error", "old fence", "fence",
                                   (json_int_t)engine.last_fence));
  else
    {
      engine.last_fence = fence;
      json_array_append (engine.orders, root);
      httpd_reply_json (req, 200, STR ("{}"));
    }
  json_decref (root);
}

static void
set_version_qualities (const json_t *qualities)
{
  const char *name;
  json_t *value;

  json_object_foreach ((json_t *)qualities, name, value)
  {
    version_t *version = find_version (str_from (name));
    if (version != NULL)
      version->quality = json_number_value (value);
  }
}

static void
handle_control (httpd_req_t *req)
{
  str_t body = httpd_body (req);
  json_t *root = json_loadb (body.ptr, body.len, 0, NULL);
  const json_t *value;

  if (root == NULL)
    {
      standin_reply_error (req, 400, "not JSON");
      return;
    }
  if ((value = json_object_get (root, "cold_ms")) != NULL)
    engine.cold_until_ms = now_ms () + (uint64_t)json_integer_value (value);
  if ((value = json_object_get (root, "hang")) != NULL)
    engine.is_hung = json_is_true (value);
  if ((value = json_object_get (root, "error")) != NULL)
    engine.error_status = (int)json_integer_value (value);
  if ((value = json_object_get (root, "slow")) != NULL)
    engine.slow_factor = json_number_value (value);
  if (json_object_get (root, "cut_after_tokens") != NULL)
    engine.cut_after_tokens = json_count (root, "cut_after_tokens");
  if (json_object_get (root, "die_after_tokens") != NULL)
    engine.exit_after_tokens = json_count (root, "die_after_tokens");
  set_version_qualities (json_object_get (root, "quality"));
  json_decref (root);
  httpd_reply_json (req, 200, STR ("{}"));
}

static void
handle_request (void *arg, httpd_req_t *req)
{
  str_t path = httpd_path (req);
  bool is_post = str_eq (httpd_method (req), STR ("POST"));

  (void)arg;
  if (str_eq (path, STR ("/v1/chat/completions")))
    {
      if (is_post)
        handle_completion (req);
      else
        standin_reply_error (req, 405, "POST only");
    }
  else if (engine.is_minimal)
    standin_reply_error (req, 404, "no such path");
  else if (str_eq (path, STR ("/stats")))
    reply_stats (req);
  else if (str_eq (path, STR ("/load")))
    reply_load (req);
  else if (str_eq (path, STR ("/cache-events")))
    reply_cache_events (req);
  else if (is_post && str_eq (path, STR ("/orders")))
    handle_order (req);
  else if (is_post && str_eq (path, STR ("/control")))
    handle_control (req);
  else
    standin_reply_error (req, 404, "no such path");
}

/* Parse NAME@V:QUALITY:COST into *VERSION; COST, or QUALITY and COST, may be
   omitted.  */
static bool
parse_version (const char *text, version_t *version)
{
  str_t rest;
  str_t cost = STR_NULL;

  version->name = str_cut (str_from (text), ':', &rest);
  version->quality = 0.9;
  version->cost = 1;
  if (rest.ptr == NULL)
    return version->name.len > 0;
  return str_to_double (str_cut (rest, ':', &cost), &version->quality)
         && (cost.ptr == NULL || str_to_double (cost, &version->cost));
}

static void
parse_versions (const struct arg_str *names)
{
  size_t count = names->count > 0 ? (size_t)names->count : 1;

  engine.versions = mem_zalloc (count * sizeof *engine.versions);
  engine.version_count = count;
  for (size_t i = 0; i < count; i++)
    {
      const char *text = names->count > 0 ? names->sval[i] : "draft@1";
      if (!parse_version (text, &engine.versions[i]))
        {
          fprintf (stderr, "standin_engine: invalid --version %s\n", text);
          exit (2);
        }
    }
}

int
main (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 (NULL, "help", "print this help");
  struct arg_str *address
      = arg_str0 (NULL, "listen", "HOST:PORT", "address; port 0 picks one");
  struct arg_str *versions
      = arg_strn (NULL, "version", "NAME@V:QUALITY:COST", 0, 64,
                  "a version to serve (draft@1:0.9:1)");
  struct arg_int *slots
      = arg_int0 (NULL, "slots", "N", "requests that run at full speed (16)");
  struct arg_int *max_running = arg_int0 (
      NULL, "max-running", "N", "requests before it refuses (twice slots)");
  struct arg_dbl *token
      = arg_dbl0 (NULL, "token-ms", "MS", "time of a token (2); 0: none");
  struct arg_dbl *prompt
      = arg_dbl0 (NULL, "prompt-ms", "MS", "time of 1,000 prompt bytes (0)");
  struct arg_int *cold = arg_int0 (NULL, "cold-ms", "N",
                                   "time after the start that it is cold (0)");
  struct arg_int *load_lag
      = arg_int0 (NULL, "load-lag-ms", "N", "age of load reports (500)");
  struct arg_int *cache_lag
      = arg_int0 (NULL, "cache-lag-ms", "N", "age of cache events (500)");
  struct arg_int *cache_gap
      = arg_int0 (NULL, "cache-gap", "N", "each N-th cache event is lost (7)");
  struct arg_int *cache_blocks = arg_int0 (
      NULL, "cache-blocks", "N", "prompt blocks of 256 bytes kept (0)");
  struct arg_lit *fencing
      = arg_lit0 (NULL, "fencing", "refuse orders with an old fence");
  struct arg_lit *minimal
      = arg_lit0 (NULL, "minimal", "serve only POST /v1/chat/completions");
  struct arg_end *end = arg_end (5);
  void *argtable[]
      = { help,      address,      versions, slots,    max_running,
          token,     prompt,       cold,     load_lag, cache_lag,
          cache_gap, cache_blocks, fencing,  minimal,  end };

  address->sval[0] = "127.0.0.1:0";
  slots->ival[0] = 16;
  max_running->ival[0] = 0;
  token->dval[0] = 2;
  prompt->dval[0] = 0;
  cold->ival[0] = 0;
  load_lag->ival[0] = 500;
  cache_lag->ival[0] = 500;
  cache_gap->ival[0] = 7;
  cache_blocks->ival[0] = 0;
  standin_parse_args (argc, argv, argtable,
                      "A model engine that batches continuously.");
  list_init (&engine.runs);
  engine.loop = uv_default_loop ();
  engine.run_counts = map_create ();
  engine.orders = json_array ();
  engine.slow_factor = 1;
  engine.slots = (size_t)slots->ival[0];
  engine.max_running = max_running->ival[0] > 0 ? (size_t)max_running->ival[0]
                                                : 2 * engine.slots;
  engine.token_ms = token->dval[0];
  engine.prompt_ms = prompt->dval[0];
  engine.cold_until_ms = now_ms () + (uint64_t)cold->ival[0];
  engine.load_lag_ms = (uint64_t)load_lag->ival[0];
  engine.cache_lag_ms = (uint64_t)cache_lag->ival[0];
  engine.lost_event_interval = (uint64_t)cache_gap->ival[0];
  engine.cache_blocks = (size_t)cache_blocks->ival[0];
  engine.cache = mem_zalloc ((engine.cache_blocks + 1) * sizeof (uint64_t));
  engine.has_fencing = fencing->count > 0;
  engine.is_minimal = minimal->count > 0;
  parse_versions (versions);
  uv_timer_init (engine.loop, &engine.tick);
  uv_timer_init (engine.loop, &engine.sampler);
  if (!engine.is_minimal)
    uv_timer_start (&engine.sampler, on_sample, SAMPLE_INTERVAL_MS,
                    SAMPLE_INTERVAL_MS);
  httpd_t *server
      = standin_listen (engine.loop, address->sval[0], handle_request);
  standin_run (engine.loop, httpd_port (server));
}
