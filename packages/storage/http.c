#include "storage/storage.h"

#include "base/mem.h"
#include "storage/breaker.h"
#include "storage/json.h"
#include "wire/httpc.h"

#include <stdlib.h>

enum
{
  IDLE_CONNECTIONS_MAX = 16,
  REPLY_BYTES_MAX = 64 * 1024 * 1024,
  /* Share of the call's time-out that the first attempt may take.  The rest
     is left for a second attempt when the connection is silent, and suffices
     for a service that takes less than that to reply.  */
  FIRST_ATTEMPT_TIMEOUT_PERCENT = 40,
  BACKOFF_MIN_MS = 20,
  BACKOFF_MAX_MS = 1000
};

typedef struct call call_t;

typedef struct
{
  platform_t base;
  uv_loop_t *loop;
  clock_iface_t *clock;
  rng_t rng;
  httpc_t *client;
  uint64_t timeout_ms;
  breaker_t store_breaker;
  breaker_t rating_breaker;
  list_t calls;
} http_platform_t;

/* Report the end of CALL to its caller: CODE and, with VH_OK or VH_E_CONFLICT,
   the BODY of the reply.  */
typedef void (*report_cb_t) (const call_t *call, vh_code_t code, str_t body);

struct call
{
  list_t link;
  http_platform_t *http;
  breaker_t *breaker;
  report_cb_t report;
  char *method;
  buf_t path;
  buf_t body;
  httpc_call_t *http_call;
  bool is_write;
  bool is_repeatable;
  bool may_have_effect; /* An attempt without a usable reply may have taken
                           effect.  */
  bool is_finished;
  vh_code_t failure; /* Error code to report when TIMER expires.  */
  uint64_t deadline_ms;
  uint64_t backoff_ms;
  uv_timer_t timer;
  union
  {
    txn_cb_t txn;
    get_cb_t get;
    scan_cb_t scan;
    object_cb_t object;
    instances_cb_t instances;
    rate_cb_t rate;
  } cb;
  void *arg;
};

static void start_attempt (call_t *call);

static void
on_timer_closed (uv_handle_t *handle)
{
  call_t *call = handle->data;

  free (call->method);
  buf_free (&call->path);
  buf_free (&call->body);
  free (call);
}

/* Report CODE and BODY to the caller and free CALL.  */
static void
finish_call (call_t *call, vh_code_t code, str_t body)
{
  list_remove (&call->link);
  call->report (call, code, body);
  uv_close ((uv_handle_t *)&call->timer, on_timer_closed);
}

static void
on_report_timer (uv_timer_t *timer)
{
  call_t *call = timer->data;

  finish_call (call, call->failure, STR_NULL);
}

static void
on_retry_timer (uv_timer_t *timer)
{
  start_attempt (timer->data);
}

/* Report the failure CODE in a later iteration of the loop.  */
static void
fail_later (call_t *call, vh_code_t code)
{
  call->is_finished = true;
  /* An earlier attempt of a write may have taken effect even if the last one
     did not, so CODE must not claim that nothing took effect.  */
  call->failure
      = call->is_write && call->may_have_effect ? VH_E_STORE_LATE : code;
  uv_timer_start (&call->timer, on_report_timer, 0, 0);
}

/* Retry CALL after a backoff if its deadline, the retry budget and the kind of
   call allow it, else fail with CODE.  */
static void
retry_or_fail (call_t *call, vh_code_t code)
{
  uint64_t now_ms = clock_ms (call->http->clock);
  uint64_t delay_ms = rng_jitter (&call->http->rng, call->backoff_ms);
  /* Without a token a retry of a write that took effect would be executed a
     second time.  */
  bool may_retry = call->is_repeatable || !call->may_have_effect;

  if (!may_retry || now_ms + delay_ms >= call->deadline_ms
      || !breaker_take_retry (call->breaker))
    {
      fail_later (call, code);
      return;
    }
  call->backoff_ms *= 2;
  if (call->backoff_ms > BACKOFF_MAX_MS)
    call->backoff_ms = BACKOFF_MAX_MS;
  uv_timer_start (&call->timer, on_retry_timer, delay_ms, 0);
}

static void
record_result (call_t *call, bool ok)
{
  http_platform_t *http = call->http;

  breaker_record_result (call->breaker, ok, clock_ms (http->clock),
                         &http->rng);
}

static void
on_no_reply (call_t *call, vh_code_t code)
{
  record_result (call, false);
  if (code != VH_E_CONNECT)
    call->may_have_effect = true;
  retry_or_fail (call, VH_E_STORE_DOWN);
}

static void
on_status (call_t *call, int status, str_t body)
{
  switch (status)
    {
    case 200:
      record_result (call, true);
      finish_call (call, VH_OK, body);
      break;
    case 404:
      record_result (call, true);
      finish_call (call, VH_E_NOT_FOUND, body);
      break;
    case 409:
      record_result (call, true);
      finish_call (call, VH_E_CONFLICT, body);
      break;
    case 429:
      record_result (call, true);
      retry_or_fail (call, VH_E_STORE_BUSY);
      break;
    case 503:
      record_result (call, false);
      retry_or_fail (call, VH_E_STORE_DOWN);
      break;
    default:
      /* Status 4xx rejects the call permanently.  Status 5xx may come from an
         intermediary after the call took effect.  */
      record_result (call, status < 500);
      call->may_have_effect = call->may_have_effect || status >= 500;
      if (status < 500)
        fail_later (call, VH_E_BAD_REQUEST);
      else
        retry_or_fail (call, VH_E_STORE_DOWN);
      break;
    }
}

static void
on_attempt_done (void *arg, vh_code_t code, int status, str_t body)
{
  call_t *call = arg;

  call->http_call = NULL;
  uv_timer_stop (&call->timer);
  if (code != VH_OK)
    on_no_reply (call, code);
  else
    on_status (call, status, body);
}

/* The attempt has exceeded its time.  This covers a server that sends bytes
   too slowly, since httpc's own time-out covers silence only.  */
static void
on_attempt_timeout (uv_timer_t *timer)
{
  call_t *call = timer->data;

  httpc_cancel (call->http_call);
  call->http_call = NULL;
  on_no_reply (call, VH_E_TIMEOUT);
}

static void
start_attempt (call_t *call)
{
  http_platform_t *http = call->http;
  uint64_t now_ms = clock_ms (http->clock);
  uint64_t attempt_timeout_ms
      = call->deadline_ms > now_ms ? call->deadline_ms - now_ms : 1;

  if (!breaker_allow_call (call->breaker, now_ms))
    {
      fail_later (call, VH_E_STORE_DOWN);
      return;
    }
  uint64_t first_attempt_ms
      = http->timeout_ms * FIRST_ATTEMPT_TIMEOUT_PERCENT / 100;
  if (attempt_timeout_ms > http->timeout_ms - first_attempt_ms)
    attempt_timeout_ms = first_attempt_ms;
  const httpc_request_t request = { .method = str_from (call->method),
                                    .path = buf_str (&call->path),
                                    .body = buf_str (&call->body),
                                    .timeout_ms = attempt_timeout_ms };
  call->http_call = httpc_fetch (http->client, &request, REPLY_BYTES_MAX,
                                 on_attempt_done, call);
  /* Expires after httpc's own time-out, whose error code shows whether the
     request has left this process.  */
  uv_timer_start (&call->timer, on_attempt_timeout, attempt_timeout_ms + 1, 0);
}

static void
on_start_timer (uv_timer_t *timer)
{
  start_attempt (timer->data);
}

/* Add a call of the HTTP method METHOD, which starts in the next iteration of
   the loop.  The caller must set its path, body and callback before that.  */
static call_t *
add_call (platform_t *platform, const char *method, report_cb_t report,
          void *arg)
{
  http_platform_t *http = (http_platform_t *)platform;
  call_t *call = mem_zalloc (sizeof *call);

  call->http = http;
  call->breaker = &http->store_breaker;
  call->report = report;
  call->method = str_dup (str_from (method));
  call->arg = arg;
  call->is_repeatable = true;
  call->backoff_ms = BACKOFF_MIN_MS;
  call->deadline_ms = clock_ms (http->clock) + http->timeout_ms;
  uv_timer_init (http->loop, &call->timer);
  call->timer.data = call;
  uv_timer_start (&call->timer, on_start_timer, 0, 0);
  list_append (&http->calls, &call->link);
  return call;
}

/* Return the JSON object in BODY, or NULL.  */
static json_t *
parse_json_object (str_t body)
{
  json_t *json = json_loadb (body.len > 0 ? body.ptr : "", body.len,
                             JSON_ALLOW_NUL, NULL);

  if (json_is_object (json))
    return json;
  json_decref (json);
  return NULL;
}

static void
report_txn (const call_t *call, vh_code_t code, str_t body)
{
  json_t *json = parse_json_object (body);
  uint64_t revision = json_get_u64 (json, "revision");

  /* A write with an unreadable reply may have taken effect.  */
  if (code == VH_OK && revision == 0)
    code = VH_E_STORE_LATE;
  call->cb.txn (call->arg, code, revision, json_get_utf8 (json, "conflict"));
  json_decref (json);
}

static void
http_txn (platform_t *platform, const txn_t *txn, txn_cb_t cb, void *arg)
{
  call_t *call = add_call (platform, "POST", report_txn, arg);

  call->cb.txn = cb;
  call->is_write = true;
  call->is_repeatable = txn->token.len > 0;
  buf_append_str (&call->path, STR ("/v1/txn"));
  json_write_and_free (json_from_txn (txn), &call->body);
}

static void
report_get (const call_t *call, vh_code_t code, str_t body)
{
  json_t *json = parse_json_object (body);
  buf_t scratch = BUF_NULL;
  row_t row = { json_get_utf8 (json, "key"),
                json_get_bytes (json, "value", &scratch),
                json_get_u64 (json, "version") };

  if (code == VH_OK && row.version == 0)
    code = VH_E_STORE_DOWN;
  call->cb.get (call->arg, code, &row);
  buf_free (&scratch);
  json_decref (json);
}

static void
http_get (platform_t *platform, str_t key, get_cb_t cb, void *arg)
{
  call_t *call = add_call (platform, "POST", report_get, arg);
  json_t *json = json_object ();

  call->cb.get = cb;
  buf_append_str (&call->path, STR ("/v1/get"));
  json_put_bytes (json, "key", key);
  json_write_and_free (json, &call->body);
}

static void
report_scan (const call_t *call, vh_code_t code, str_t body)
{
  json_t *json = parse_json_object (body);
  const json_t *list = json_object_get (json, "rows");
  size_t count = json_array_size (list);
  row_t *rows = mem_zalloc ((count + 1) * sizeof *rows);
  buf_t *scratch = mem_zalloc ((count + 1) * sizeof *scratch);

  if (code == VH_OK && !json_is_array (list))
    code = VH_E_STORE_DOWN;
  for (size_t i = 0; i < count; i++)
    {
      const json_t *row = json_array_get (list, i);
      rows[i] = (row_t){ json_get_utf8 (row, "key"),
                         json_get_bytes (row, "value", &scratch[i]),
                         json_get_u64 (row, "version") };
    }
  call->cb.scan (call->arg, code, rows, count,
                 json_is_true (json_object_get (json, "more")));
  for (size_t i = 0; i < count; i++)
    buf_free (&scratch[i]);
  free (scratch);
  free (rows);
  json_decref (json);
}

static void
http_scan (platform_t *platform, str_t prefix, str_t after, size_t limit,
           scan_cb_t cb, void *arg)
{
  call_t *call = add_call (platform, "POST", report_scan, arg);
  json_t *json = json_object ();

  call->cb.scan = cb;
  buf_append_str (&call->path, STR ("/v1/scan"));
  json_put_bytes (json, "prefix", prefix);
  json_put_bytes (json, "after", after);
  json_object_set_new (json, "limit", json_integer ((json_int_t)limit));
  json_write_and_free (json, &call->body);
}

/* Append the path of the object NAME, with NAME percent-encoded.  */
static void
append_object_path (buf_t *path, str_t name)
{
  buf_append_str (path, STR ("/v1/object?name="));
  for (size_t i = 0; i < name.len; i++)
    {
      unsigned char c = (unsigned char)name.ptr[i];
      bool is_unreserved = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
                           || (c >= '0' && c <= '9') || c == '-' || c == '_';
      if (is_unreserved)
        buf_append_char (path, (char)c);
      else
        buf_printf (path, "%%%02x", c);
    }
}

static void
report_object (const call_t *call, vh_code_t code, str_t body)
{
  call->cb.object (call->arg, code, code == VH_OK ? body : STR_NULL);
}

static void
http_object_get (platform_t *platform, str_t name, object_cb_t cb, void *arg)
{
  call_t *call = add_call (platform, "GET", report_object, arg);

  call->cb.object = cb;
  append_object_path (&call->path, name);
}

static void
http_object_put (platform_t *platform, str_t name, str_t bytes, object_cb_t cb,
                 void *arg)
{
  call_t *call = add_call (platform, "PUT", report_object, arg);

  call->cb.object = cb;
  call->is_write = true;
  append_object_path (&call->path, name);
  buf_append_str (&call->body, bytes);
}

static void
report_instances (const call_t *call, vh_code_t code, str_t body)
{
  json_t *json = parse_json_object (body);
  const json_t *list = json_object_get (json, "instances");
  size_t size = json_array_size (list);
  instance_row_t *rows = mem_zalloc ((size + 1) * sizeof *rows);
  size_t count = 0;

  if (code == VH_OK && !json_is_array (list))
    code = VH_E_STORE_DOWN;
  for (size_t i = 0; i < size; i++)
    if (json_to_instance (json_array_get (list, i), &rows[count]))
      count++;
  call->cb.instances (call->arg, code, json_get_u64 (json, "sequence"),
                      json_is_true (json_object_get (json, "full")), rows,
                      count);
  free (rows);
  json_decref (json);
}

static void
http_instances (platform_t *platform, uint64_t after, instances_cb_t cb,
                void *arg)
{
  call_t *call = add_call (platform, "GET", report_instances, arg);

  call->cb.instances = cb;
  buf_printf (&call->path, "/v1/instances?after=%llu",
              (unsigned long long)after);
}

static void
report_rate (const call_t *call, vh_code_t code, str_t body)
{
  json_t *json = parse_json_object (body);
  const json_t *score = json_object_get (json, "score");
  double value = json_number_value (score);

  /* A rating outside 0 to 1 would distort the cascade's decisions.  */
  if (code == VH_OK && (!json_is_number (score) || value < 0 || value > 1))
    code = VH_E_PROTOCOL;
  call->cb.rate (call->arg, code, code == VH_OK ? value : 0);
  json_decref (json);
}

static void
http_rate (platform_t *platform, str_t task, str_t question, str_t answer,
           rate_cb_t cb, void *arg)
{
  call_t *call = add_call (platform, "POST", report_rate, arg);
  json_t *json = json_object ();

  /* The rating service has its own breaker, so that its outage does not block
     calls to the table.  */
  call->breaker = &((http_platform_t *)platform)->rating_breaker;
  call->cb.rate = cb;
  buf_append_str (&call->path, STR ("/v1/rate"));
  json_put_bytes (json, "task", task);
  json_put_bytes (json, "question", question);
  json_put_bytes (json, "answer", answer);
  json_write_and_free (json, &call->body);
}

static void
http_destroy (platform_t *platform)
{
  http_platform_t *http = (http_platform_t *)platform;

  while (!list_is_empty (&http->calls))
    {
      call_t *call = CONTAINER_OF (http->calls.next, call_t, link);
      if (call->http_call != NULL)
        httpc_cancel (call->http_call);
      finish_call (call, VH_E_CANCELLED, STR_NULL);
    }
  httpc_destroy (http->client);
  free (http);
}

static const platform_ops_t http_ops = {
  .txn = http_txn,
  .get = http_get,
  .scan = http_scan,
  .object_get = http_object_get,
  .object_put = http_object_put,
  .list_instances = http_instances,
  .rate_answer = http_rate,
  .destroy = http_destroy,
};

platform_t *
platform_http_create (uv_loop_t *loop, clock_iface_t *clock, rng_t rng,
                      str_t address, uint64_t timeout_ms)
{
  httpc_t *client = httpc_create (loop, address, IDLE_CONNECTIONS_MAX);

  if (client == NULL)
    return NULL;
  http_platform_t *http = mem_zalloc (sizeof *http);
  http->base.ops = &http_ops;
  http->loop = loop;
  http->clock = clock;
  http->rng = rng;
  http->client = client;
  http->timeout_ms = timeout_ms;
  breaker_init (&http->store_breaker);
  breaker_init (&http->rating_breaker);
  list_init (&http->calls);
  return &http->base;
}
