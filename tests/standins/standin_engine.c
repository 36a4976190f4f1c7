/* A model engine that batches continuously, with versions of set quality.

   POST /v1/chat/completions  OpenAI-compatible; also "resume_from_token":N
                              and "priority":N.  A body with the text
                              VH-CRASH ends the process
   GET /stats                 {"total","running","max_running","refused",
                              "cancelled","versions":{"M@V":N},"runs":{"ID":N},
                              "orders":[...]}
   POST /control              {"cold_ms":N,"quality":{"M@V":Q},"hang":bool,
                              "error":STATUS,"slow":F,"cut_after_tokens":N,
                              "die_after_tokens":N}; each key is optional
   GET /load                  what the load was --load-lag-ms ago
   GET /cache-events?after=N  prompt blocks stored and evicted, late, with
                              gaps
   POST /orders               {"order","version","fence":N}; an old fence is
                              refused with --fencing and obeyed without

   Up to --slots requests share the machine at full speed.  Beyond them it
   falls over: time a token grows with the square of the excess, and above
   --max-running it refuses.  A cold engine carries a quarter of all that and
   is slower by COLD_SLOWDOWN.  */

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
  TICK_MS = 1,
  COLD_SLOWDOWN = 4,
  COLD_SHARE = 4, /* A cold engine carries one part in this many.  */
  PROMPT_BLOCK = 256,
  SAMPLE_MS = 20,
  SAMPLES = 512,
  CACHE_EVENTS_KEPT = 4096,
  /* A reader this far behind holds up its own stream.  */
  BUFFERED_MAX = 256 * 1024
};

/* What each further request of a batch adds to the time of a token.  */
static const double batch_slope = 0.02;

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
  double prompt_left_ms;
  double credit_ms; /* Time earned towards the next token.  */
  uint32_t next;    /* Token to emit.  */
  uint32_t first;   /* Token the answer begins with.  */
  buf_t text;       /* Of a whole answer.  */
} run_t;

typedef struct
{
  uint64_t at_ms;
  size_t running;
  bool cold;
} sample_t;

typedef struct
{
  uint64_t at_ms;
  uint64_t seq;
  uint64_t block;
  bool stored;
} cache_event_t;

typedef struct
{
  uv_loop_t *loop;
  uv_timer_t tick;
  uv_timer_t sampler;
  version_t *versions;
  size_t version_count;
  list_t runs; /* run_t by link.  */
  size_t running;
  uint64_t last_tick_us;
  /* Command line.  */
  size_t slots;
  size_t max_running;
  double token_ms;
  double prompt_ms; /* For 1,000 prompt bytes not in the cache.  */
  uint64_t cold_ms;
  uint64_t load_lag_ms;
  uint64_t cache_lag_ms;
  uint64_t cache_gap; /* Each so-many-th event is lost; 0: none.  */
  bool minimal;
  bool fencing;
  /* Controls.  */
  uint64_t cold_until_ms;
  bool hang;
  int error;
  double slow;
  uint32_t cut_after;
  uint32_t die_after;
  /* Counts.  */
  map_t *counts; /* Request id to uint64_t.  */
  uint64_t total;
  uint64_t refused;
  uint64_t cancelled;
  size_t max_seen;
  json_t *orders;
  int64_t fence;
  sample_t samples[SAMPLES];
  size_t sample_next;
  /* Prompt cache: a ring of block hashes.  */
  uint64_t *cache;
  size_t cache_blocks;
  size_t cache_next;
  cache_event_t events[CACHE_EVENTS_KEPT];
  uint64_t event_seq;
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

/* What the engine carries now, of CAPACITY when warm.  */
static size_t
carried (size_t capacity)
{
  if (!is_cold ())
    return capacity;
  return capacity / COLD_SHARE > 0 ? capacity / COLD_SHARE : 1;
}

/* Milliseconds that each running request waits for its next token.  */
static double
token_time_ms (void)
{
  size_t slots = carried (engine.slots);
  double load = (double)engine.running / (double)slots;
  double factor = 1 + batch_slope * (double)(engine.running - 1);

  if (load > 1)
    factor *= load * load;
  if (is_cold ())
    factor *= COLD_SLOWDOWN;
  return engine.token_ms * factor * engine.slow;
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

/* Note that BLOCK was stored or evicted, unless the event falls in a
   gap.  */
static void
cache_note (uint64_t block, bool stored)
{
  uint64_t seq = engine.event_seq++;

  engine.events[seq % CACHE_EVENTS_KEPT]
      = (cache_event_t){ now_ms (), seq, block, stored };
}

/* Return the share of PROMPT, in bytes, that is not in the cache, and put
   all of it there.  */
static size_t
cache_miss (str_t prompt)
{
  size_t missed = 0;
  uint64_t hash = 0;

  for (size_t at = 0; at < prompt.len; at += PROMPT_BLOCK)
    {
      size_t len = prompt.len - at;
      bool found = false;
      if (len > PROMPT_BLOCK)
        len = PROMPT_BLOCK;
      /* A block is known by all that stands before it.  */
      hash = str_hash (str_make (prompt.ptr + at, len), hash + 3);
      for (size_t i = 0; i < engine.cache_blocks && !found; i++)
        found = engine.cache[i] == hash;
      if (found)
        continue;
      missed += len;
      if (engine.cache_blocks == 0)
        continue;
      uint64_t *place
          = &engine.cache[engine.cache_next++ % engine.cache_blocks];
      if (*place != 0)
        cache_note (*place, false);
      *place = hash;
      cache_note (hash, true);
    }
  return missed;
}

static void
count_run (str_t id)
{
  uint64_t *count = map_get (engine.counts, id);

  engine.total++;
  if (id.len == 0 || engine.minimal)
    return;
  if (count == NULL)
    {
      count = mem_zalloc (sizeof *count);
      map_put (engine.counts, id, count);
    }
  ++*count;
}

/* The answer's id depends on the request alone, as all of the answer.  */
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
append_event (const run_t *run, uint32_t index, buf_t *out)
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
append_last_event (const run_t *run, buf_t *out)
{
  buf_append_str (out, STR ("data: {\"object\":\"chat.completion.chunk\","));
  append_id (run, out);
  buf_append_str (out, STR (",\"choices\":[{\"index\":0,\"delta\":{},"
                            "\"finish_reason\":\"stop\"}],"));
  append_usage (run, out);
  buf_append_str (out, STR ("}\n\ndata: [DONE]\n\n"));
}

static void
append_whole (const run_t *run, buf_t *out)
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
on_departure (void *arg)
{
  engine.cancelled++;
  run_destroy (arg);
}

/* Hand over the bytes OUT of RUN; the last ones end it.  */
static void
run_send (run_t *run, const buf_t *out, bool last)
{
  static const httpc_header_t json
      = { STR ("content-type"), STR ("application/json") };
  httpd_req_t *req = run->req;

  if (last)
    httpd_set_callbacks (req, NULL, NULL, NULL);
  if (run->stream)
    httpd_send (req, buf_str (out), last);
  else if (last)
    httpd_reply (req, 200, &json, 1, buf_str (out));
  if (last)
    run_destroy (run);
}

/* End the connection or the process where the controls say so.  Return true
   when RUN is gone.  */
static bool
run_breaks (run_t *run)
{
  if (engine.die_after > 0 && run->next >= engine.die_after)
    _exit (EXIT_CRASH);
  if (engine.cut_after == 0 || run->next < engine.cut_after)
    return false;
  httpd_set_callbacks (run->req, NULL, NULL, NULL);
  if (!run->stream)
    httpd_start_response (run->req, 200, NULL, 0);
  httpd_abort (run->req);
  run_destroy (run);
  return true;
}

/* Emit the tokens of RUN that its credit pays for, at TOKEN_MS each.  */
static void
run_step (run_t *run, double token_ms)
{
  buf_t out = BUF_NULL;
  bool last;

  while (run->next < run->answer.tokens && run->credit_ms >= token_ms)
    {
      run->credit_ms -= token_ms;
      if (run->stream)
        append_event (run, run->next, &out);
      else
        answer_append_token (&run->answer, run->next, &run->text);
      run->next++;
      if ((engine.cut_after > 0 && run->next >= engine.cut_after)
          || (engine.die_after > 0 && run->next >= engine.die_after))
        break;
    }
  last = run->next >= run->answer.tokens;
  if (last && run->stream)
    append_last_event (run, &out);
  else if (last)
    append_whole (run, &out);
  if (out.len > 0)
    run_send (run, &out, last);
  buf_free (&out);
  if (!last)
    run_breaks (run);
}

/* Let STEP_MS pass for RUN.  */
static void
run_advance (run_t *run, double step_ms, double token_ms)
{
  if (run->stream && httpd_buffered_bytes (run->req) > BUFFERED_MAX)
    return;
  /* Prompts are computed in the shared batch, so they slow down too.  */
  double rate = engine.token_ms > 0 ? engine.token_ms / token_ms : 1;
  if (run->prompt_left_ms > 0)
    {
      run->prompt_left_ms -= step_ms * rate;
      if (run->prompt_left_ms > 0)
        return;
      step_ms = -run->prompt_left_ms / rate;
      run->prompt_left_ms = 0;
    }
  run->credit_ms += step_ms;
  run_step (run, token_ms);
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
  if (engine.hang)
    return;
  double token_ms = token_time_ms ();
  LIST_EACH (at, &engine.runs)
    run_advance (CONTAINER_OF (at, run_t, link), step_ms, token_ms);
}

static void
start_ticking (void)
{
  if (uv_is_active ((uv_handle_t *)&engine.tick))
    return;
  engine.last_tick_us = uv_hrtime () / 1000;
  uv_timer_start (&engine.tick, on_tick, TICK_MS, TICK_MS);
}

/* Refuse REQ when the engine cannot take it.  Return true if it did.  */
static bool
refuse (httpd_req_t *req)
{
  if (engine.error != 0)
    standin_reply_error (req, engine.error, "told to fail");
  else if (engine.running >= carried (engine.max_running))
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

/* Put RUN in its place: by priority, then by arrival.  */
static void
enlist (run_t *run)
{
  list_t *before = &engine.runs;

  LIST_EACH (at, &engine.runs)
    if (CONTAINER_OF (at, run_t, link)->priority < run->priority)
      {
        before = at;
        break;
      }
  list_append (before, &run->link);
  engine.running++;
  if (engine.running > engine.max_seen)
    engine.max_seen = engine.running;
}

static void
start_run (httpd_req_t *req, const json_t *root, version_t *version)
{
  static const httpc_header_t events
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
  if (!engine.minimal && run->stream)
    run->first = json_count (root, "resume_from_token");
  if (run->first > run->answer.tokens)
    run->first = run->answer.tokens;
  run->next = run->first;
  run->prompt_tokens = prompt.len / 4 + 1;
  run->prompt_left_ms
      = engine.prompt_ms * (double)cache_miss (buf_str (&prompt)) / 1000;
  buf_free (&prompt);
  enlist (run);
  httpd_set_callbacks (req, NULL, on_departure, run);
  if (run->stream)
    httpd_start_response (req, 200, &events, 1);
  if (engine.token_ms == 0 && run->prompt_left_ms <= 0 && !engine.hang)
    run_step (run, 0);
  else
    start_ticking ();
}

static void
complete (httpd_req_t *req)
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
  else if (!refuse (req))
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
  while (map_next (engine.counts, &cursor, &key, &value))
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
                                 (json_int_t)engine.max_seen, "refused",
                                 (json_int_t)engine.refused, "cancelled",
                                 (json_int_t)engine.cancelled, "versions",
                                 versions, "runs", runs, "orders",
                                 engine.orders));
}

static void
on_sample (uv_timer_t *timer)
{
  (void)timer;
  engine.samples[engine.sample_next++ % SAMPLES]
      = (sample_t){ now_ms (), engine.running, is_cold () };
}

/* Answer with the newest sample that is old enough.  */
static void
reply_load (httpd_req_t *req)
{
  sample_t found = { 0, 0, true };
  uint64_t now = now_ms ();

  for (size_t back = 1; back <= SAMPLES && back <= engine.sample_next; back++)
    {
      found = engine.samples[(engine.sample_next - back) % SAMPLES];
      if (now - found.at_ms >= engine.load_lag_ms)
        break;
    }
  standin_reply_json (
      req, 200,
      json_pack ("{s:I,s:I,s:b,s:I}", "running", (json_int_t)found.running,
                 "slots", (json_int_t)engine.slots, "cold", found.cold,
                 "age_ms",
                 (json_int_t)(found.at_ms == 0 ? 0 : now - found.at_ms)));
}

static void
reply_cache_events (httpd_req_t *req)
{
  json_t *list = json_array ();
  uint64_t after = 0;
  uint64_t now = now_ms ();
  bool from_start
      = !str_to_u64 (httpd_query_param (req, STR ("after")), &after);
  uint64_t oldest = engine.event_seq > CACHE_EVENTS_KEPT
                        ? engine.event_seq - CACHE_EVENTS_KEPT
                        : 0;

  if (!from_start && after + 1 > oldest)
    oldest = after + 1;
  for (uint64_t seq = oldest; seq < engine.event_seq; seq++)
    {
      const cache_event_t *event = &engine.events[seq % CACHE_EVENTS_KEPT];
      char block[20];
      if (now - event->at_ms < engine.cache_lag_ms)
        break;
      if (engine.cache_gap > 0 && seq % engine.cache_gap == 0)
        continue;
      snprintf (block, sizeof block, "%016" PRIx64, event->block);
      json_array_append_new (
          list,
          json_pack ("{s:I,s:s,s:s}", "seq", (json_int_t)seq, "kind",
                     event->stored ? "stored" : "evicted", "block", block));
    }
  standin_reply_json (req, 200, json_pack ("{s:o}", "events", list));
}

static void
take_order (httpd_req_t *req)
{
  str_t body = httpd_body (req);
  json_t *root = json_loadb (body.ptr, body.len, 0, NULL);
  json_int_t fence = json_integer_value (json_object_get (root, "fence"));

  if (!json_is_string (json_object_get (root, "order")))
    standin_reply_error (req, 400, "order is missing");
  else if (engine.fencing && fence < engine.fence)
    standin_reply_json (req, 409,
                        json_pack ("{s:s,s:I}", "error", "old fence", "fence",
                                   (json_int_t)engine.fence));
  else
    {
      engine.fence = fence;
      json_array_append (engine.orders, root);
      httpd_reply_json (req, 200, STR ("{}"));
    }
  json_decref (root);
}

static void
set_qualities (const json_t *qualities)
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
control (httpd_req_t *req)
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
    engine.hang = json_is_true (value);
  if ((value = json_object_get (root, "error")) != NULL)
    engine.error = (int)json_integer_value (value);
  if ((value = json_object_get (root, "slow")) != NULL)
    engine.slow = json_number_value (value);
  if (json_object_get (root, "cut_after_tokens") != NULL)
    engine.cut_after = json_count (root, "cut_after_tokens");
  if (json_object_get (root, "die_after_tokens") != NULL)
    engine.die_after = json_count (root, "die_after_tokens");
  set_qualities (json_object_get (root, "quality"));
  json_decref (root);
  httpd_reply_json (req, 200, STR ("{}"));
}

static void
handle (void *arg, httpd_req_t *req)
{
  str_t path = httpd_path (req);
  bool is_post = str_eq (httpd_method (req), STR ("POST"));

  (void)arg;
  if (str_eq (path, STR ("/v1/chat/completions")))
    {
      if (is_post)
        complete (req);
      else
        standin_reply_error (req, 405, "POST only");
    }
  else if (engine.minimal)
    standin_reply_error (req, 404, "no such path");
  else if (str_eq (path, STR ("/stats")))
    reply_stats (req);
  else if (str_eq (path, STR ("/load")))
    reply_load (req);
  else if (str_eq (path, STR ("/cache-events")))
    reply_cache_events (req);
  else if (is_post && str_eq (path, STR ("/orders")))
    take_order (req);
  else if (is_post && str_eq (path, STR ("/control")))
    control (req);
  else
    standin_reply_error (req, 404, "no such path");
}

/* Parse NAME@V:quality:cost-factor; the last two may be left out.  */
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
          fprintf (stderr, "standin_engine: bad version %s\n", text);
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
                  "a version it runs (draft@1:0.9:1)");
  struct arg_int *slots
      = arg_int0 (NULL, "slots", "N", "requests at full speed (16)");
  struct arg_int *max_running = arg_int0 (
      NULL, "max-running", "N", "requests before it refuses (twice slots)");
  struct arg_dbl *token
      = arg_dbl0 (NULL, "token-ms", "MS", "time of a token (2); 0: none");
  struct arg_dbl *prompt
      = arg_dbl0 (NULL, "prompt-ms", "MS", "time of 1,000 prompt bytes (0)");
  struct arg_int *cold = arg_int0 (NULL, "cold-ms", "N",
                                   "cold for so long after the start (0)");
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
      = arg_lit0 (NULL, "minimal", "nothing but POST /v1/chat/completions");
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
  engine.counts = map_create ();
  engine.orders = json_array ();
  engine.slow = 1;
  engine.slots = (size_t)slots->ival[0];
  engine.max_running = max_running->ival[0] > 0 ? (size_t)max_running->ival[0]
                                                : 2 * engine.slots;
  engine.token_ms = token->dval[0];
  engine.prompt_ms = prompt->dval[0];
  engine.cold_until_ms = now_ms () + (uint64_t)cold->ival[0];
  engine.load_lag_ms = (uint64_t)load_lag->ival[0];
  engine.cache_lag_ms = (uint64_t)cache_lag->ival[0];
  engine.cache_gap = (uint64_t)cache_gap->ival[0];
  engine.cache_blocks = (size_t)cache_blocks->ival[0];
  engine.cache = mem_zalloc ((engine.cache_blocks + 1) * sizeof (uint64_t));
  engine.fencing = fencing->count > 0;
  engine.minimal = minimal->count > 0;
  parse_versions (versions);
  uv_timer_init (engine.loop, &engine.tick);
  uv_timer_init (engine.loop, &engine.sampler);
  if (!engine.minimal)
    uv_timer_start (&engine.sampler, on_sample, SAMPLE_MS, SAMPLE_MS);
  httpd_t *server = standin_listen (engine.loop, address->sval[0], handle);
  standin_run (engine.loop, httpd_port (server));
}
