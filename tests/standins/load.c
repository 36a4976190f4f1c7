#include "standins/load.h"

#include "base/mem.h"
#include "base/rng.h"
#include "standins/answer.h"
#include "wire/httpc.h"

#include <inttypes.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  TICK_MS = 1,
  KEEP = 256,
  MAX_HEADERS = 6,
  /* Above it a tick would send bursts, whose queueing is no one's latency;
     then the loop turns without sleep and each request leaves on time.  */
  TICK_RATE_MAX = 500,
  /* The platform's balancer asks this often; one failure is enough.  */
  HEALTH_MS = 100,
  HEALTH_TIMEOUT_MS = 500,
  HEALTH_BODY_MAX = 4096,
  HTTP_OK = 200,
  RESEND_WAIT_MS = 200,
  DEFAULT_TIMEOUT_MS = 30000
};

typedef struct
{
  list_t link;
  load_t *load;
  loadgen_result_t result;
  size_t target;
  unsigned refusals; /* Targets that took no connection, in a row.  */
  uint64_t last_us;
  buf_t prompt;
  buf_t body; /* Sent.  */
  buf_t path;
  buf_t key;
  buf_t received;
  buf_t request_id;
  buf_t outcome;
  buf_t version;
  uint32_t max_tokens;
  uv_timer_t wait;
} request_t;

/* What the platform's balancer knows of a target.  */
typedef struct
{
  load_t *load;
  httpc_t *client; /* Of its operators' port; NULL: never asked.  */
  httpc_call_t *call;
  bool ready;
} health_t;

struct load
{
  uv_loop_t *loop;
  const loadgen_options_t *options;
  httpc_t **clients;
  health_t *health; /* One for each target.  */
  uv_timer_t check; /* Until the next question to all.  */
  uv_timer_t tick;
  uv_idle_t spin; /* Keeps the loop turning at high rates.  */
  rng_t rng;
  uint64_t started_us;
  uint64_t issued;
  size_t in_hand;
  atomic_bool stopped;
  bool told_over;
  unsigned open_handles;
};

static uint64_t
now_us (void)
{
  return uv_hrtime () / 1000;
}

static void request_send (request_t *request);
static void fill (load_t *load);

static void
on_load_closed (uv_handle_t *handle)
{
  load_t *load = handle->data;

  if (--load->open_handles > 0)
    return;
  free (load->clients);
  free (load->health);
  free (load);
}

static void
on_request_closed (uv_handle_t *handle)
{
  request_t *request = handle->data;

  buf_free (&request->prompt);
  buf_free (&request->body);
  buf_free (&request->path);
  buf_free (&request->key);
  buf_free (&request->received);
  buf_free (&request->request_id);
  buf_free (&request->outcome);
  buf_free (&request->version);
  free (request);
}

static bool
is_done (const load_t *load)
{
  const loadgen_options_t *o = load->options;

  return load->stopped || (o->requests > 0 && load->issued >= o->requests)
         || (o->duration_ms > 0
             && now_us () - load->started_us >= o->duration_ms * 1000);
}

/* Tell the owner when the last request is finished, once.  */
static void
check_over (load_t *load)
{
  if (load->in_hand > 0 || !is_done (load) || load->told_over)
    return;
  load->told_over = true;
  uv_timer_stop (&load->tick);
  uv_idle_stop (&load->spin);
  if (load->options->over != NULL)
    load->options->over (load->options->arg);
}

static void
check_chat (request_t *request)
{
  parsed_answer_t reading = { 0 };
  buf_t prompt = BUF_NULL;
  loadgen_result_t *result = &request->result;
  str_t received = buf_str (&request->received);

  result->whole = result->streamed ? answer_parse_stream (received, &reading)
                                   : answer_parse_json (received, &reading);
  result->tokens = reading.tokens;
  buf_append_str (&prompt, STR ("user\n"));
  buf_append_str (&prompt, buf_str (&request->prompt));
  buf_append_char (&prompt, '\n');
  answer_t answer = answer_make (buf_str (&reading.version), 0,
                                 buf_str (&prompt), request->max_tokens);
  result->wrong
      = result->whole && !answer_matches (&answer, buf_str (&reading.text));
  buf_append_str (&request->version, buf_str (&reading.version));
  buf_free (&prompt);
  parsed_answer_free (&reading);
}

static void
check_service (request_t *request)
{
  buf_t want = BUF_NULL;

  answer_append_service (STR ("POST"), buf_str (&request->path),
                         buf_str (&request->body), &want);
  request->result.whole = true;
  request->result.wrong
      = !str_eq (buf_str (&want), buf_str (&request->received));
  buf_free (&want);
}

static void
request_finish (request_t *request, vh_code_t code)
{
  load_t *load = request->load;
  loadgen_result_t *result = &request->result;

  result->code = code;
  result->request_id = buf_str (&request->request_id);
  result->outcome = buf_str (&request->outcome);
  result->body = buf_str (&request->received);
  result->key = buf_str (&request->key);
  result->total_us = now_us () - result->started_us;
  if (code == VH_OK && result->status / 100 == 2 && result->is_service)
    check_service (request);
  else if (code == VH_OK && result->status / 100 == 2)
    check_chat (request);
  result->version = buf_str (&request->version);
  if (load->options->finished != NULL)
    load->options->finished (load->options->arg, result);
  load->in_hand--;
  uv_close ((uv_handle_t *)&request->wait, on_request_closed);
}

static void
on_head (void *arg, int status, const httpc_header_t *headers, size_t count)
{
  request_t *request = arg;

  request->result.status = status;
  for (size_t i = 0; i < count; i++)
    {
      buf_t *into = NULL;
      if (str_eq_nocase (headers[i].name, STR ("vanillahook-request-id")))
        into = &request->request_id;
      else if (str_eq_nocase (headers[i].name, STR ("vanillahook-outcome")))
        into = &request->outcome;
      else if (str_eq_nocase (headers[i].name, STR ("retry-after")))
        request->result.retry_after = true;
      if (into == NULL)
        continue;
      into->len = 0;
      buf_append_str (into, headers[i].value);
    }
}

static void
on_chunk (void *arg, str_t bytes)
{
  request_t *request = arg;
  uint64_t now = now_us ();

  if (request->received.len == 0)
    request->result.first_us = now - request->result.started_us;
  else if (now - request->last_us > request->result.between_us)
    request->result.between_us = now - request->last_us;
  request->last_us = now;
  buf_append_str (&request->received, bytes);
}

static void
on_wait_over (uv_timer_t *timer)
{
  request_send (timer->data);
}

/* Return the first ready target from AT on, or AT when none is.  */
static size_t
ready_target (const load_t *load, size_t at)
{
  size_t count = load->options->target_count;
  size_t next = at < count ? at : 0;

  for (size_t i = 0; i < count; i++)
    {
      if (load->health[next].ready)
        return next;
      next = next + 1 < count ? next + 1 : 0;
    }
  return next;
}

static void
on_done (void *arg, vh_code_t code)
{
  request_t *request = arg;
  load_t *load = request->load;
  const loadgen_options_t *o = load->options;

  /* A balancer passes a refused connection on to the next entry.  */
  if (code == VH_E_CONNECT && ++request->refusals < o->target_count)
    {
      request->target = ready_target (load, request->target + 1);
      request_send (request);
      return;
    }
  /* Any other end but a whole answer leaves open if the request ran.  */
  if (code != VH_OK && request->key.len > 0
      && request->result.sends <= o->resends)
    {
      request->target = ready_target (load, request->target + 1);
      uv_timer_start (&request->wait, on_wait_over, RESEND_WAIT_MS, 0);
      return;
    }
  request_finish (request, code);
  fill (load);
}

static void
request_send (request_t *request)
{
  static const httpc_events_t events = { on_head, on_chunk, on_done };
  const loadgen_options_t *o = request->load->options;
  httpc_header_t headers[MAX_HEADERS];
  size_t count = 0;
  buf_t authorization = BUF_NULL;
  char deadline[24];

  buf_printf (&authorization, "Bearer %.*s", STR_ARG (o->api_key));
  headers[count++]
      = (httpc_header_t){ STR ("content-type"), STR ("application/json") };
  if (o->api_key.len > 0)
    headers[count++]
        = (httpc_header_t){ STR ("authorization"), buf_str (&authorization) };
  if (request->key.len > 0)
    headers[count++]
        = (httpc_header_t){ STR ("idempotency-key"), buf_str (&request->key) };
  if (o->session.len > 0)
    headers[count++]
        = (httpc_header_t){ STR ("vanillahook-session"), o->session };
  snprintf (deadline, sizeof deadline, "%" PRIu64, o->deadline_ms);
  if (o->deadline_ms > 0)
    headers[count++] = (httpc_header_t){ STR ("vanillahook-deadline-ms"),
                                         str_from (deadline) };
  const httpc_request_t call
      = { .method = STR ("POST"),
          .path = buf_str (&request->path),
          .headers = headers,
          .header_count = count,
          .body = buf_str (&request->body),
          .timeout_ms
          = o->timeout_ms > 0 ? o->timeout_ms : DEFAULT_TIMEOUT_MS };
  request->received.len = 0;
  request->result.status = 0;
  request->result.sends++;
  httpc_start (request->load->clients[request->target], &call, &events,
               request);
  buf_free (&authorization);
}

static void
make_chat (request_t *request)
{
  const loadgen_options_t *o = request->load->options;
  rng_t rng = rng_make (o->seed ^ (request->result.number << 20));

  buf_printf (&request->prompt, "%" PRIu64 " survey", request->result.number);
  while (request->prompt.len < o->prompt_bytes)
    buf_printf (&request->prompt, " %" PRIx64, rng_u64 (&rng) & 0xffff);
  request->max_tokens
      = o->max_tokens > 0 ? o->max_tokens : ANSWER_DEFAULT_TOKENS;
  buf_append_str (&request->path, STR ("/v1/chat/completions"));
  buf_printf (&request->body,
              "{\"model\":\"%.*s\",\"stream\":%s,\"max_tokens\":%u,"
              "\"messages\":[{\"role\":\"user\",\"content\":\"%.*s\"}]}",
              STR_ARG (o->model), request->result.streamed ? "true" : "false",
              request->max_tokens, STR_ARG (buf_str (&request->prompt)));
}

static void
make_service_call (request_t *request)
{
  const loadgen_options_t *o = request->load->options;

  buf_printf (&request->path, "/services/%.*s/approve-%" PRIu64,
              STR_ARG (o->service), request->result.number);
  buf_printf (&request->body, "{\"seed\":%" PRIu64 ",\"number\":%" PRIu64 "}",
              o->seed, request->result.number);
}

static void
issue (load_t *load)
{
  const loadgen_options_t *o = load->options;
  request_t *request = mem_zalloc (sizeof *request);

  request->load = load;
  request->result.number = load->issued++;
  request->result.is_service = rng_double (&load->rng) < o->service_share;
  request->result.streamed = rng_double (&load->rng) < o->stream_share
                             && !request->result.is_service;
  request->target
      = ready_target (load, request->result.number % o->target_count);
  if (o->key_prefix.len > 0)
    buf_printf (&request->key, "%.*s-%" PRIu64, STR_ARG (o->key_prefix),
                request->result.number);
  if (request->result.is_service)
    make_service_call (request);
  else
    make_chat (request);
  uv_timer_init (load->loop, &request->wait);
  request->wait.data = request;
  /* In an open loop a request counts from when it was due, so that a client
     held up by slow answers does not hide how slow they were.  */
  request->result.started_us
      = o->rate > 0
            ? load->started_us
                  + (uint64_t)((double)request->result.number * 1e6 / o->rate)
            : now_us ();
  load->in_hand++;
  request_send (request);
}

/* Requests that should have been started by now.  */
static uint64_t
due (const load_t *load)
{
  const loadgen_options_t *o = load->options;
  double seconds = (double)(now_us () - load->started_us) / 1e6;

  return o->rate > 0 ? (uint64_t)(seconds * o->rate) + 1 : UINT64_MAX;
}

static void
fill (load_t *load)
{
  while (load->in_hand < load->options->concurrency && !is_done (load)
         && load->issued < due (load))
    issue (load);
  check_over (load);
}

static void
on_tick (uv_timer_t *timer)
{
  fill (timer->data);
}

static void
on_health (void *arg, vh_code_t code, int status, str_t body)
{
  health_t *health = arg;

  (void)body;
  health->call = NULL;
  health->ready = code == VH_OK && status == HTTP_OK;
}

/* Ask each target that has answered the last question.  */
static void
on_check (uv_timer_t *timer)
{
  load_t *load = timer->data;
  const httpc_request_t request = { .method = STR ("GET"),
                                    .path = STR ("/readyz"),
                                    .timeout_ms = HEALTH_TIMEOUT_MS };

  for (size_t i = 0; i < load->options->target_count; i++)
    {
      health_t *health = &load->health[i];
      if (health->call == NULL)
        health->call = httpc_fetch (health->client, &request, HEALTH_BODY_MAX,
                                    on_health, health);
    }
}

static void
on_spin (uv_idle_t *idle)
{
  fill (idle->data);
}

load_t *
loadgen_create (uv_loop_t *loop, const loadgen_options_t *options)
{
  load_t *load;

  if (options->target_count == 0)
    return NULL;
  for (size_t i = 0; i < options->target_count; i++)
    if (!str_starts_with (options->targets[i], STR ("127.")))
      return NULL;
  load = mem_zalloc (sizeof *load);
  load->loop = loop;
  load->options = options;
  load->rng = rng_make (options->seed);
  load->started_us = now_us ();
  load->clients = mem_zalloc (options->target_count * sizeof (httpc_t *));
  load->health = mem_zalloc (options->target_count * sizeof (health_t));
  for (size_t i = 0; i < options->target_count; i++)
    {
      load->clients[i] = httpc_create (loop, options->targets[i], KEEP);
      load->health[i].load = load;
      load->health[i].ready = true;
      if (options->health != NULL)
        load->health[i].client = httpc_create (loop, options->health[i], 1);
    }
  uv_timer_init (loop, &load->check);
  load->check.data = load;
  if (options->health != NULL)
    uv_timer_start (&load->check, on_check, 0, HEALTH_MS);
  uv_timer_init (loop, &load->tick);
  load->tick.data = load;
  uv_timer_start (&load->tick, on_tick, 0, TICK_MS);
  uv_idle_init (loop, &load->spin);
  load->spin.data = load;
  if (options->rate > TICK_RATE_MAX)
    uv_idle_start (&load->spin, on_spin);
  return load;
}

void
loadgen_stop (load_t *load)
{
  load->stopped = true;
}

void
loadgen_destroy (load_t *load)
{
  if (load == NULL)
    return;
  for (size_t i = 0; i < load->options->target_count; i++)
    {
      httpc_destroy (load->clients[i]);
      if (load->health[i].call != NULL)
        httpc_cancel (load->health[i].call);
      httpc_destroy (load->health[i].client);
    }
  load->open_handles = 3;
  uv_close ((uv_handle_t *)&load->check, on_load_closed);
  uv_close ((uv_handle_t *)&load->tick, on_load_closed);
  uv_close ((uv_handle_t *)&load->spin, on_load_closed);
}
