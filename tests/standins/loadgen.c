#include "standins/loadgen.h"

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
  TICK_INTERVAL_MS = 1,
  MAX_IDLE_CONNECTIONS = 256,
  MAX_HEADERS = 6,
  /* Highest rate, in requests a second, that the tick timer serves.  At a
     higher rate each tick would send a burst, and the latencies would include
     queueing that the burst itself causes; an idle handle then keeps the loop
     running without sleep, so that each request is sent on time.  */
  MAX_TICK_RATE_PER_S = 500,
  /* Interval of the health checks, as in the platform's load balancer.  One
     failed check makes a target unready.  */
  HEALTH_INTERVAL_MS = 100,
  HEALTH_TIMEOUT_MS = 500,
  MAX_HEALTH_BODY_BYTES = 4096,
  HTTP_OK = 200,
  RESEND_DELAY_MS = 200,
  DEFAULT_TIMEOUT_MS = 30000
};

typedef struct
{
  list_t link;
  loadgen_t *load;
  loadgen_result_t result;
  size_t target;
  /* Number of successive targets that refused the connection.  */
  unsigned refused_connections;
  uint64_t last_chunk_us; /* Time of the last body chunk.  */
  buf_t prompt;
  buf_t request_body;
  buf_t path;
  buf_t idempotency_key;
  buf_t response_body;
  buf_t request_id;
  buf_t outcome;
  buf_t version;
  uint32_t max_tokens;
  uv_timer_t resend_timer;
} request_t;

/* Health of a target, as the platform's load balancer sees it.  */
typedef struct
{
  loadgen_t *load;
  httpc_t *client;    /* Client of the operators' port; NULL: not checked.  */
  httpc_call_t *call; /* Health check in flight; NULL if there is none.  */
  bool is_ready;
} target_health_t;

struct loadgen
{
  uv_loop_t *loop;
  const loadgen_options_t *options;
  httpc_t **clients;
  target_health_t *health; /* Array of one element for each target.  */
  uv_timer_t health_timer; /* Fires at each health check of all targets.  */
  uv_timer_t tick_timer;
  /* Keeps the loop from sleeping at rates above MAX_TICK_RATE_PER_S.  */
  uv_idle_t idle;
  rng_t rng;
  uint64_t started_us;
  uint64_t started_count; /* Number of requests started so far.  */
  size_t in_flight;       /* Number of requests that have not ended.  */
  atomic_bool stopped;
  bool has_reported_completion;
  unsigned open_handles;
};

static uint64_t
now_us (void)
{
  return uv_hrtime () / 1000;
}

static void request_send (request_t *request);
static void start_due_requests (loadgen_t *load);

static void
on_load_closed (uv_handle_t *handle)
{
  loadgen_t *load = handle->data;

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
  buf_free (&request->request_body);
  buf_free (&request->path);
  buf_free (&request->idempotency_key);
  buf_free (&request->response_body);
  buf_free (&request->request_id);
  buf_free (&request->outcome);
  buf_free (&request->version);
  free (request);
}

static bool
has_reached_limit (const loadgen_t *load)
{
  const loadgen_options_t *options = load->options;

  return load->stopped
         || (options->max_requests > 0
             && load->started_count >= options->max_requests)
         || (options->duration_ms > 0
             && now_us () - load->started_us >= options->duration_ms * 1000);
}

/* Call the owner's completion callback once, after the last request.  */
static void
report_completion (loadgen_t *load)
{
  if (load->in_flight > 0 || !has_reached_limit (load)
      || load->has_reported_completion)
    return;
  load->has_reported_completion = true;
  uv_timer_stop (&load->tick_timer);
  uv_idle_stop (&load->idle);
  if (load->options->on_complete != NULL)
    load->options->on_complete (load->options->arg);
}

static void
verify_chat_answer (request_t *request)
{
  parsed_answer_t parsed = { 0 };
  buf_t prompt = BUF_NULL;
  loadgen_result_t *result = &request->result;
  str_t received = buf_str (&request->response_body);

  result->is_complete = result->is_streamed
                            ? answer_parse_stream (received, &parsed)
                            : answer_parse_json (received, &parsed);
  result->tokens = parsed.tokens;
  buf_append_str (&prompt, STR ("user\n"));
  buf_append_str (&prompt, buf_str (&request->prompt));
  buf_append_char (&prompt, '\n');
  answer_t answer = answer_make (buf_str (&parsed.version), 0,
                                 buf_str (&prompt), request->max_tokens);
  result->has_wrong_body
      = result->is_complete
        && !answer_matches (&answer, buf_str (&parsed.text));
  buf_append_str (&request->version, buf_str (&parsed.version));
  buf_free (&prompt);
  parsed_answer_free (&parsed);
}

static void
verify_service_answer (request_t *request)
{
  buf_t expected = BUF_NULL;

  answer_append_service (STR ("POST"), buf_str (&request->path),
                         buf_str (&request->request_body), &expected);
  request->result.is_complete = true;
  request->result.has_wrong_body
      = !str_eq (buf_str (&expected), buf_str (&request->response_body));
  buf_free (&expected);
}

static void
request_finish (request_t *request, vh_code_t code)
{
  loadgen_t *load = request->load;
  loadgen_result_t *result = &request->result;

  result->code = code;
  result->request_id = buf_str (&request->request_id);
  result->outcome = buf_str (&request->outcome);
  result->body = buf_str (&request->response_body);
  result->key = buf_str (&request->idempotency_key);
  result->total_us = now_us () - result->started_us;
  if (code == VH_OK && result->status / 100 == 2 && result->is_service)
    verify_service_answer (request);
  else if (code == VH_OK && result->status / 100 == 2)
    verify_chat_answer (request);
  result->version = buf_str (&request->version);
  if (load->options->on_result != NULL)
    load->options->on_result (load->options->arg, result);
  load->in_flight--;
  uv_close ((uv_handle_t *)&request->resend_timer, on_request_closed);
}

static void
on_response_head (void *arg, int status, const httpc_header_t *headers,
                  size_t count)
{
  request_t *request = arg;

  request->result.status = status;
  for (size_t i = 0; i < count; i++)
    {
      buf_t *target_buf = NULL;
      if (str_eq_nocase (headers[i].name, STR ("vanillahook-request-id")))
        target_buf = &request->request_id;
      else if (str_eq_nocase (headers[i].name, STR ("vanillahook-outcome")))
        target_buf = &request->outcome;
      else if (str_eq_nocase (headers[i].name, STR ("retry-after")))
        request->result.has_retry_after = true;
      if (target_buf == NULL)
        continue;
      target_buf->len = 0;
      buf_append_str (target_buf, headers[i].value);
    }
}

static void
on_response_chunk (void *arg, str_t bytes)
{
  request_t *request = arg;
  uint64_t now = now_us ();

  if (request->response_body.len == 0)
    request->result.first_byte_us = now - request->result.started_us;
  else if (now - request->last_chunk_us > request->result.max_chunk_gap_us)
    request->result.max_chunk_gap_us = now - request->last_chunk_us;
  request->last_chunk_us = now;
  buf_append_str (&request->response_body, bytes);
}

static void
on_resend_due (uv_timer_t *timer)
{
  request_send (timer->data);
}

/* Return the index of the first ready target, searching from FIRST and
   wrapping around; FIRST if no target is ready.  */
static size_t
find_ready_target (const loadgen_t *load, size_t first)
{
  size_t count = load->options->target_count;
  size_t next = first < count ? first : 0;

  for (size_t i = 0; i < count; i++)
    {
      if (load->health[next].is_ready)
        return next;
      next = next + 1 < count ? next + 1 : 0;
    }
  return next;
}

static void
on_response_end (void *arg, vh_code_t code)
{
  request_t *request = arg;
  loadgen_t *load = request->load;
  const loadgen_options_t *options = load->options;

  /* A load balancer sends the request to the next target after a refused
     connection.  */
  if (code == VH_E_CONNECT
      && ++request->refused_connections < options->target_count)
    {
      request->target = find_ready_target (load, request->target + 1);
      request_send (request);
      return;
    }
  /* After any other error the request may or may not have run, so only a
     request with an idempotency key is sent again.  */
  if (code != VH_OK && request->idempotency_key.len > 0
      && request->result.send_count <= options->max_resends)
    {
      request->target = find_ready_target (load, request->target + 1);
      uv_timer_start (&request->resend_timer, on_resend_due, RESEND_DELAY_MS,
                      0);
      return;
    }
  request_finish (request, code);
  start_due_requests (load);
}

static void
request_send (request_t *request)
{
  static const httpc_events_t events
      = { on_response_head, on_response_chunk, on_response_end };
  const loadgen_options_t *options = request->load->options;
  httpc_header_t headers[MAX_HEADERS];
  size_t count = 0;
  buf_t authorization = BUF_NULL;
  char deadline[24];

  buf_printf (&authorization, "Bearer %.*s", STR_ARG (options->api_key));
  headers[count++]
      = (httpc_header_t){ STR ("content-type"), STR ("application/json") };
  if (options->api_key.len > 0)
    headers[count++]
        = (httpc_header_t){ STR ("authorization"), buf_str (&authorization) };
  if (request->idempotency_key.len > 0)
    headers[count++] = (httpc_header_t){ STR ("idempotency-key"),
                                         buf_str (&request->idempotency_key) };
  if (options->session.len > 0)
    headers[count++]
        = (httpc_header_t){ STR ("vanillahook-session"), options->session };
  snprintf (deadline, sizeof deadline, "%" PRIu64, options->deadline_ms);
  if (options->deadline_ms > 0)
    headers[count++] = (httpc_header_t){ STR ("vanillahook-deadline-ms"),
                                         str_from (deadline) };
  const httpc_request_t call
      = { .method = STR ("POST"),
          .path = buf_str (&request->path),
          .headers = headers,
          .header_count = count,
          .body = buf_str (&request->request_body),
          .timeout_ms = options->timeout_ms > 0 ? options->timeout_ms
                                                : DEFAULT_TIMEOUT_MS };
  request->response_body.len = 0;
  request->result.status = 0;
  request->result.send_count++;
  httpc_start (request->load->clients[request->target], &call, &events,
               request);
  buf_free (&authorization);
}

static void
build_chat_request (request_t *request)
{
  const loadgen_options_t *options = request->load->options;
  rng_t rng = rng_make (options->seed ^ (request->result.number << 20));

  buf_printf (&request->prompt, "%" PRIu64 " survey", request->result.number);
  while (request->prompt.len < options->prompt_bytes)
    buf_printf (&request->prompt, " %" PRIx64, rng_u64 (&rng) & 0xffff);
  request->max_tokens
      = options->max_tokens > 0 ? options->max_tokens : ANSWER_DEFAULT_TOKENS;
  buf_append_str (&request->path, STR ("/v1/chat/completions"));
  buf_printf (&request->request_body,
              "{\"model\":\"%.*s\",\"stream\":%s,\"max_tokens\":%u,"
              "\"messages\":[{\"role\":\"user\",\"content\":\"%.*s\"}]}",
              STR_ARG (options->model),
              request->result.is_streamed ? "true" : "false",
              request->max_tokens, STR_ARG (buf_str (&request->prompt)));
}

static void
build_service_request (request_t *request)
{
  const loadgen_options_t *options = request->load->options;

  buf_printf (&request->path, "/services/%.*s/approve-%" PRIu64,
              STR_ARG (options->service), request->result.number);
  buf_printf (&request->request_body,
              "{\"seed\":%" PRIu64 ",\"number\":%" PRIu64 "}", options->seed,
              request->result.number);
}

static void
start_request (loadgen_t *load)
{
  const loadgen_options_t *options = load->options;
  request_t *request = mem_zalloc (sizeof *request);

  request->load = load;
  request->result.number = load->started_count++;
  request->result.is_service
      = rng_double (&load->rng) < options->service_share;
  request->result.is_streamed = rng_double (&load->rng) < options->stream_share
                                && !request->result.is_service;
  request->target = find_ready_target (load, request->result.number
                                                 % options->target_count);
  if (options->key_prefix.len > 0)
    buf_printf (&request->idempotency_key, "%.*s-%" PRIu64,
                STR_ARG (options->key_prefix), request->result.number);
  if (request->result.is_service)
    build_service_request (request);
  else
    build_chat_request (request);
  uv_timer_init (load->loop, &request->resend_timer);
  request->resend_timer.data = request;
  /* In an open loop the latency of a request starts at its scheduled time.
     Otherwise, when slow answers delay the sending of later requests, this
     delay would be missing from the latencies (coordinated omission).  */
  request->result.started_us
      = options->rate > 0 ? load->started_us
                                + (uint64_t)((double)request->result.number
                                             * 1e6 / options->rate)
                          : now_us ();
  load->in_flight++;
  request_send (request);
}

/* Return the number of requests that should have been started by now;
   UINT64_MAX in a closed loop.  */
static uint64_t
due_count (const loadgen_t *load)
{
  const loadgen_options_t *options = load->options;
  double seconds = (double)(now_us () - load->started_us) / 1e6;

  return options->rate > 0 ? (uint64_t)(seconds * options->rate) + 1
                           : UINT64_MAX;
}

static void
start_due_requests (loadgen_t *load)
{
  while (load->in_flight < load->options->concurrency
         && !has_reached_limit (load)
         && load->started_count < due_count (load))
    start_request (load);
  report_completion (load);
}

static void
on_tick (uv_timer_t *timer)
{
  start_due_requests (timer->data);
}

static void
on_health_result (void *arg, vh_code_t code, int status, str_t body)
{
  target_health_t *health = arg;

  (void)body;
  health->call = NULL;
  health->is_ready = code == VH_OK && status == HTTP_OK;
}

/* Send a health check to each target that has none in flight.  */
static void
on_health_timer (uv_timer_t *timer)
{
  loadgen_t *load = timer->data;
  const httpc_request_t request = { .method = STR ("GET"),
                                    .path = STR ("/readyz"),
                                    .timeout_ms = HEALTH_TIMEOUT_MS };

  for (size_t i = 0; i < load->options->target_count; i++)
    {
      target_health_t *health = &load->health[i];
      if (health->call == NULL)
        health->call
            = httpc_fetch (health->client, &request, MAX_HEALTH_BODY_BYTES,
                           on_health_result, health);
    }
}

static void
on_idle (uv_idle_t *idle)
{
  start_due_requests (idle->data);
}

loadgen_t *
loadgen_create (uv_loop_t *loop, const loadgen_options_t *options)
{
  loadgen_t *load;

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
  load->health = mem_zalloc (options->target_count * sizeof (target_health_t));
  for (size_t i = 0; i < options->target_count; i++)
    {
      load->clients[i]
          = httpc_create (loop, options->targets[i], MAX_IDLE_CONNECTIONS);
      load->health[i].load = load;
      load->health[i].is_ready = true;
      if (options->health_addresses != NULL)
        load->health[i].client
            = httpc_create (loop, options->health_addresses[i], 1);
    }
  uv_timer_init (loop, &load->health_timer);
  load->health_timer.data = load;
  if (options->health_addresses != NULL)
    uv_timer_start (&load->health_timer, on_health_timer, 0,
                    HEALTH_INTERVAL_MS);
  uv_timer_init (loop, &load->tick_timer);
  load->tick_timer.data = load;
  uv_timer_start (&load->tick_timer, on_tick, 0, TICK_INTERVAL_MS);
  uv_idle_init (loop, &load->idle);
  load->idle.data = load;
  if (options->rate > MAX_TICK_RATE_PER_S)
    uv_idle_start (&load->idle, on_idle);
  return load;
}

void
loadgen_stop (loadgen_t *load)
{
  load->stopped = true;
}

void
loadgen_destroy (loadgen_t *load)
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
  uv_close ((uv_handle_t *)&load->health_timer, on_load_closed);
  uv_close ((uv_handle_t *)&load->tick_timer, on_load_closed);
  uv_close ((uv_handle_t *)&load->idle, on_load_closed);
}
