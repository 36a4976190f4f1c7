#include "storage/storage.h"

#include "base/mem.h"
#include "storage/breaker.h"
#include "storage/json.h"
#include "wire/httpc.h"

#include <stdlib.h>

enum
{
  KEEP_CONNECTIONS = 16,
  REPLY_LIMIT = 64 * 1024 * 1024,
  /* The first attempt may take this share of the deadline, so that a silent
     connection leaves the rest for another one, and a service that is slow
     by less than the rest still succeeds.  */
  FIRST_ATTEMPT_PERCENT = 40,
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
  breaker_t store;
  breaker_t rating;
  list_t calls;
} http_t;

/* Report the end of a call: CODE, and with VH_OK or VH_E_CONFLICT the body
   of the reply.  */
typedef void (*deliver_t) (const call_t *call, vh_code_t code, str_t body);

struct call
{
  list_t link;
  http_t *http;
  breaker_t *breaker;
  deliver_t deliver;
  char *method;
  buf_t path;
  buf_t body;
  httpc_call_t *out;
  bool is_write;
  bool repeatable;
  bool maybe; /* An attempt may have taken effect unseen.  */
  bool over;
  vh_code_t result; /* To be reported by the timer when OVER.  */
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
on_closed (uv_handle_t *handle)
{
  call_t *call = handle->data;

  free (call->method);
  buf_free (&call->path);
  buf_free (&call->body);
  free (call);
}

/* Report CODE and let go of CALL.  */
static void
finish (call_t *call, vh_code_t code, str_t body)
{
  list_remove (&call->link);
  call->deliver (call, code, body);
  uv_close ((uv_handle_t *)&call->timer, on_closed);
}

static void
on_over (uv_timer_t *timer)
{
  call_t *call = timer->data;

  finish (call, call->result, STR_NULL);
}

static void
on_retry (uv_timer_t *timer)
{
  start_attempt (timer->data);
}

/* Report the failure CODE on a later turn.  */
static void
finish_later (call_t *call, vh_code_t code)
{
  call->over = true;
  /* An earlier attempt may have taken effect, whatever became of the
     last: "nothing took effect" would be a guess.  */
  call->result = call->is_write && call->maybe ? VH_E_STORE_LATE : code;
  uv_timer_start (&call->timer, on_over, 0, 0);
}

/* Try again if deadline, budget and kind of call allow it, else fail with
   CODE.  */
static void
retry_or_fail (call_t *call, vh_code_t code)
{
  uint64_t now_ms = clock_ms (call->http->clock);
  uint64_t wait_ms = rng_jitter (&call->http->rng, call->backoff_ms);
  /* Without a token a second run of a write that took effect would be a
     second effect.  */
  bool may = call->repeatable || !call->maybe;

  if (!may || now_ms + wait_ms >= call->deadline_ms
      || !breaker_retry (call->breaker))
    {
      finish_later (call, code);
      return;
    }
  call->backoff_ms *= 2;
  if (call->backoff_ms > BACKOFF_MAX_MS)
    call->backoff_ms = BACKOFF_MAX_MS;
  uv_timer_start (&call->timer, on_retry, wait_ms, 0);
}

static void
record (call_t *call, bool ok)
{
  http_t *http = call->http;

  breaker_result (call->breaker, ok, clock_ms (http->clock), &http->rng);
}

static void
on_no_reply (call_t *call, vh_code_t code)
{
  record (call, false);
  if (code != VH_E_CONNECT)
    call->maybe = true;
  retry_or_fail (call, VH_E_STORE_DOWN);
}

static void
on_status (call_t *call, int status, str_t body)
{
  switch (status)
    {
    case 200:
      record (call, true);
      finish (call, VH_OK, body);
      break;
    case 404:
      record (call, true);
      finish (call, VH_E_NOT_FOUND, body);
      break;
    case 409:
      record (call, true);
      finish (call, VH_E_CONFLICT, body);
      break;
    case 429:
      record (call, true);
      retry_or_fail (call, VH_E_STORE_BUSY);
      break;
    case 503:
      record (call, false);
      retry_or_fail (call, VH_E_STORE_DOWN);
      break;
    default:
      /* 4xx refuses the call for good; any other may come from something
         in between after the effect.  */
      record (call, status < 500);
      call->maybe = call->maybe || status >= 500;
      if (status < 500)
        finish_later (call, VH_E_BAD_REQUEST);
      else
        retry_or_fail (call, VH_E_STORE_DOWN);
      break;
    }
}

static void
on_reply (void *arg, vh_code_t code, int status, str_t body)
{
  call_t *call = arg;

  call->out = NULL;
  uv_timer_stop (&call->timer);
  if (code != VH_OK)
    on_no_reply (call, code);
  else
    on_status (call, status, body);
}

/* The server sends bytes too slowly to end in time: httpc's own bound is on
   silence alone.  */
static void
on_attempt_timeout (uv_timer_t *timer)
{
  call_t *call = timer->data;

  httpc_cancel (call->out);
  call->out = NULL;
  on_no_reply (call, VH_E_TIMEOUT);
}

static void
start_attempt (call_t *call)
{
  http_t *http = call->http;
  uint64_t now_ms = clock_ms (http->clock);
  uint64_t left_ms
      = call->deadline_ms > now_ms ? call->deadline_ms - now_ms : 1;

  if (!breaker_allow (call->breaker, now_ms))
    {
      finish_later (call, VH_E_STORE_DOWN);
      return;
    }
  uint64_t first_ms = http->timeout_ms * FIRST_ATTEMPT_PERCENT / 100;
  if (left_ms > http->timeout_ms - first_ms)
    left_ms = first_ms;
  const httpc_request_t request = { .method = str_from (call->method),
                                    .path = buf_str (&call->path),
                                    .body = buf_str (&call->body),
                                    .timeout_ms = left_ms };
  call->out
      = httpc_fetch (http->client, &request, REPLY_LIMIT, on_reply, call);
  /* A little later than httpc's own, which can tell whether the request left
     this process.  */
  uv_timer_start (&call->timer, on_attempt_timeout, left_ms + 1, 0);
}

static void
on_start (uv_timer_t *timer)
{
  start_attempt (timer->data);
}

/* Add a call of METHOD; the caller fills path, body and callback, and it
   starts on the next turn.  */
static call_t *
add_call (platform_t *platform, const char *method, deliver_t deliver,
          void *arg)
{
  http_t *http = (http_t *)platform;
  call_t *call = mem_zalloc (sizeof *call);

  call->http = http;
  call->breaker = &http->store;
  call->deliver = deliver;
  call->method = str_dup (str_from (method));
  call->arg = arg;
  call->repeatable = true;
  call->backoff_ms = BACKOFF_MIN_MS;
  call->deadline_ms = clock_ms (http->clock) + http->timeout_ms;
  uv_timer_init (http->loop, &call->timer);
  call->timer.data = call;
  uv_timer_start (&call->timer, on_start, 0, 0);
  list_append (&http->calls, &call->link);
  return call;
}

/* Return the JSON object in BODY, or NULL.  */
static json_t *
parse (str_t body)
{
  json_t *json = json_loadb (body.len > 0 ? body.ptr : "", body.len,
                             JSON_ALLOW_NUL, NULL);

  if (json_is_object (json))
    return json;
  json_decref (json);
  return NULL;
}

static void
deliver_txn (const call_t *call, vh_code_t code, str_t body)
{
  json_t *json = parse (body);
  uint64_t revision = json_get_u64 (json, "revision");

  /* A reply that cannot be read may stand for an effect.  */
  if (code == VH_OK && revision == 0)
    code = VH_E_STORE_LATE;
  call->cb.txn (call->arg, code, revision, json_get_utf8 (json, "conflict"));
  json_decref (json);
}

static void
http_txn (platform_t *platform, const txn_t *txn, txn_cb_t cb, void *arg)
{
  call_t *call = add_call (platform, "POST", deliver_txn, arg);

  call->cb.txn = cb;
  call->is_write = true;
  call->repeatable = txn->token.len > 0;
  buf_append_str (&call->path, STR ("/v1/txn"));
  json_write_and_free (json_from_txn (txn), &call->body);
}

static void
deliver_get (const call_t *call, vh_code_t code, str_t body)
{
  json_t *json = parse (body);
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
  call_t *call = add_call (platform, "POST", deliver_get, arg);
  json_t *json = json_object ();

  call->cb.get = cb;
  buf_append_str (&call->path, STR ("/v1/get"));
  json_put_bytes (json, "key", key);
  json_write_and_free (json, &call->body);
}

static void
deliver_scan (const call_t *call, vh_code_t code, str_t body)
{
  json_t *json = parse (body);
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
  call_t *call = add_call (platform, "POST", deliver_scan, arg);
  json_t *json = json_object ();

  call->cb.scan = cb;
  buf_append_str (&call->path, STR ("/v1/scan"));
  json_put_bytes (json, "prefix", prefix);
  json_put_bytes (json, "after", after);
  json_object_set_new (json, "limit", json_integer ((json_int_t)limit));
  json_write_and_free (json, &call->body);
}

/* Append NAME, percent-encoded, to the path of an object.  */
static void
append_object_path (buf_t *path, str_t name)
{
  buf_append_str (path, STR ("/v1/object?name="));
  for (size_t i = 0; i < name.len; i++)
    {
      unsigned char c = (unsigned char)name.ptr[i];
      bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
                   || (c >= '0' && c <= '9') || c == '-' || c == '_';
      if (plain)
        buf_append_char (path, (char)c);
      else
        buf_printf (path, "%%%02x", c);
    }
}

static void
deliver_object (const call_t *call, vh_code_t code, str_t body)
{
  call->cb.object (call->arg, code, code == VH_OK ? body : STR_NULL);
}

static void
http_object_get (platform_t *platform, str_t name, object_cb_t cb, void *arg)
{
  call_t *call = add_call (platform, "GET", deliver_object, arg);

  call->cb.object = cb;
  append_object_path (&call->path, name);
}

static void
http_object_put (platform_t *platform, str_t name, str_t bytes, object_cb_t cb,
                 void *arg)
{
  call_t *call = add_call (platform, "PUT", deliver_object, arg);

  call->cb.object = cb;
  call->is_write = true;
  append_object_path (&call->path, name);
  buf_append_str (&call->body, bytes);
}

static void
deliver_instances (const call_t *call, vh_code_t code, str_t body)
{
  json_t *json = parse (body);
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
  call_t *call = add_call (platform, "GET", deliver_instances, arg);

  call->cb.instances = cb;
  buf_printf (&call->path, "/v1/instances?after=%llu",
              (unsigned long long)after);
}

static void
deliver_rate (const call_t *call, vh_code_t code, str_t body)
{
  json_t *json = parse (body);
  const json_t *score = json_object_get (json, "score");
  double value = json_number_value (score);

  /* A rating outside the scale would steer the cascade: drop it.  */
  if (code == VH_OK && (!json_is_number (score) || value < 0 || value > 1))
    code = VH_E_PROTOCOL;
  call->cb.rate (call->arg, code, code == VH_OK ? value : 0);
  json_decref (json);
}

static void
http_rate (platform_t *platform, str_t task, str_t question, str_t answer,
           rate_cb_t cb, void *arg)
{
  call_t *call = add_call (platform, "POST", deliver_rate, arg);
  json_t *json = json_object ();

  /* A rating service that is down must not cut off the table.  */
  call->breaker = &((http_t *)platform)->rating;
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
  http_t *http = (http_t *)platform;

  while (!list_is_empty (&http->calls))
    {
      call_t *call = CONTAINER_OF (http->calls.next, call_t, link);
      if (call->out != NULL)
        httpc_cancel (call->out);
      finish (call, VH_E_CANCELLED, STR_NULL);
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
  .instances = http_instances,
  .rate = http_rate,
  .destroy = http_destroy,
};

platform_t *
platform_http_create (uv_loop_t *loop, clock_iface_t *clock, rng_t rng,
                      str_t address, uint64_t timeout_ms)
{
  httpc_t *client = httpc_create (loop, address, KEEP_CONNECTIONS);

  if (client == NULL)
    return NULL;
  http_t *http = mem_zalloc (sizeof *http);
  http->base.ops = &http_ops;
  http->loop = loop;
  http->clock = clock;
  http->rng = rng;
  http->client = client;
  http->timeout_ms = timeout_ms;
  breaker_init (&http->store);
  breaker_init (&http->rating);
  list_init (&http->calls);
  return &http->base;
}
