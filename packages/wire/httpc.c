#include "wire/httpc.h"

#include "base/mem.h"
#include "wire/addr.h"

#include <h2o.h>
#include <stdlib.h>

enum
{
  DEFAULT_TIMEOUT_MS = 30000,
  /* h2o's own timer must never come first: it cannot be held while a slow
     reader pauses the call.  */
  IO_TIMEOUT_MS = 24 * 3600 * 1000,
  IDLE_KEEP_MS = 10000,
  LINGER_TURNS = 2,
  HEADERS_MAX = 100
};

struct httpc
{
  uv_loop_t *loop;
  char *address;
  h2o_socketpool_t pool;
  h2o_timeout_t io_timeout;
  h2o_http1client_ctx_t ctx;
  uv_timer_t linger; /* Runs between destroy and the last free.  */
  unsigned lingered;
};

typedef enum
{
  CALL_CONNECTING,
  CALL_WAITING_HEAD,
  CALL_READING,
  CALL_OVER
} call_state_t;

struct httpc_call
{
  httpc_t *client;
  h2o_http1client_t *http;
  call_state_t state;
  bool head_method;
  bool chunked;     /* The answer comes in chunks.  */
  bool in_callback; /* h2o is on the stack: it must do the closing.  */
  bool cancelled;
  bool deferred; /* Over: the timer only reports RESULT.  */
  vh_code_t result;
  buf_t out;
  h2o_iovec_t out_vec;
  h2o_socket_cb paused_cb;
  uint64_t timeout_ms;
  uv_timer_t timer;
  const httpc_events_t *events;
  void *arg;
  void (*on_cancel) (void *arg); /* Frees ARG of a fetch; may be NULL.  */
};

httpc_t *
httpc_create (uv_loop_t *loop, str_t address, size_t keep)
{
  struct sockaddr_storage addr;
  socklen_t len;

  if (!addr_parse (address, &addr, &len))
    return NULL;
  httpc_t *client = mem_zalloc (sizeof *client);
  client->loop = loop;
  client->address = str_dup (address);
  h2o_socketpool_init_by_address (&client->pool, (struct sockaddr *)&addr, len,
                                  0, keep);
  h2o_socketpool_set_timeout (&client->pool, loop, IDLE_KEEP_MS);
  h2o_timeout_init (loop, &client->io_timeout, IO_TIMEOUT_MS);
  client->ctx.loop = loop;
  client->ctx.io_timeout = &client->io_timeout;
  return client;
}

static void
on_linger_closed (uv_handle_t *handle)
{
  httpc_t *client = handle->data;

  free (client->address);
  free (client);
}

/* Destroying from a close callback puts h2o's handles on the next turn's
   closing list, whose timers come before it; libuv walks that list from the
   newest, so a free on that turn would pull away the handles behind it.  The
   second time the list is done.  */
static void
on_linger (uv_timer_t *timer)
{
  httpc_t *client = timer->data;

  if (++client->lingered == LINGER_TURNS)
    uv_close ((uv_handle_t *)timer, on_linger_closed);
}

void
httpc_destroy (httpc_t *client)
{
  if (client == NULL)
    return;
  h2o_socketpool_dispose (&client->pool);
  h2o_timeout_dispose (client->loop, &client->io_timeout);
  /* h2o closes its timers' handles without a callback, which libuv does at
     the end of this turn at the latest: freeing them now would corrupt the
     loop, so the last free waits for a timer of a later turn.  */
  uv_timer_init (client->loop, &client->linger);
  client->linger.data = client;
  uv_timer_start (&client->linger, on_linger, 1, 1);
}

static void
on_timer_closed (uv_handle_t *handle)
{
  httpc_call_t *call = handle->data;

  buf_free (&call->out);
  free (call);
}

/* Let go of CALL; its memory goes once libuv has closed the timer.  */
static void
release_call (httpc_call_t *call)
{
  if (call->state == CALL_OVER)
    return;
  call->state = CALL_OVER;
  uv_close ((uv_handle_t *)&call->timer, on_timer_closed);
}

/* Report CODE as the end of CALL and let go of it.  */
static void
finish (httpc_call_t *call, vh_code_t code)
{
  void (*done) (void *, vh_code_t) = call->events->done;
  void *arg = call->arg;

  if (call->cancelled || call->state == CALL_OVER)
    {
      release_call (call);
      return;
    }
  call->cancelled = true;
  done (arg, code);
  release_call (call);
}

static void
on_timer (uv_timer_t *timer)
{
  httpc_call_t *call = timer->data;
  vh_code_t code = call->result;

  if (!call->deferred)
    {
      bool connected = call->state != CALL_CONNECTING;
      code = connected ? VH_E_TIMEOUT : VH_E_CONNECT;
      h2o_http1client_cancel (call->http);
    }
  finish (call, code);
}

static void
restart_timer (httpc_call_t *call)
{
  uv_timer_start (&call->timer, on_timer, call->timeout_ms, 0);
}

/* Report CODE on the next turn, outside h2o's callbacks.  */
static void
finish_later (httpc_call_t *call, vh_code_t code)
{
  call->deferred = true;
  call->result = code;
  call->http = NULL;
  uv_timer_start (&call->timer, on_timer, 0, 0);
}

/* Hand over what has arrived.  Return false when the call was cancelled
   meanwhile.  */
static bool
pass_chunk (httpc_call_t *call, h2o_http1client_t *http)
{
  h2o_buffer_t *input = http->sock->input;

  if (input->size > 0)
    {
      call->in_callback = true;
      call->events->chunk (call->arg, str_make (input->bytes, input->size));
      call->in_callback = false;
      h2o_buffer_consume (&http->sock->input, http->sock->input->size);
    }
  return !call->cancelled;
}

/* Tell whether the end of the answer, which h2o reports, was a proper one.
   h2o takes a connection that ends between two chunks for the end of the
   answer, as browsers do; half an answer would pass for a whole one.  The
   last chunk is told apart by the bytes that were read with it.  */
static bool
is_whole (const httpc_call_t *call, const h2o_http1client_t *http,
          const char *errstr)
{
  return errstr == h2o_http1client_error_is_eos
         && (!call->chunked || http->sock->bytes_read > 0);
}

static int
on_body (h2o_http1client_t *http, const char *errstr)
{
  httpc_call_t *call = http->data;
  bool whole = is_whole (call, http, errstr);

  if (call->paused_cb == NULL)
    restart_timer (call);
  if (!pass_chunk (call, http))
    {
      if (errstr != NULL)
        call->http = NULL;
      release_call (call);
      return -1;
    }
  if (errstr == NULL)
    return 0;
  finish_later (call, whole ? VH_OK : VH_E_UPSTREAM_CUT);
  return 0;
}

/* Hand over the head.  Return -1 when the call was cancelled meanwhile.  */
static int
pass_head (httpc_call_t *call, int status, h2o_header_t *headers, size_t count)
{
  httpc_header_t list[HEADERS_MAX];

  if (count > HEADERS_MAX)
    count = HEADERS_MAX;
  for (size_t i = 0; i < count; i++)
    {
      list[i].name = str_make (headers[i].name->base, headers[i].name->len);
      list[i].value = str_make (headers[i].value.base, headers[i].value.len);
      if (str_eq_nocase (list[i].name, STR ("transfer-encoding")))
        call->chunked = true;
    }
  call->in_callback = true;
  if (call->events->head != NULL)
    call->events->head (call->arg, status, list, count);
  call->in_callback = false;
  return call->cancelled ? -1 : 0;
}

static h2o_http1client_body_cb
on_head (h2o_http1client_t *http, const char *errstr, int minor_version,
         int status, h2o_iovec_t msg, struct st_h2o_header_t *headers,
         size_t num_headers, int rlen)
{
  httpc_call_t *call = http->data;
  bool eos = errstr == h2o_http1client_error_is_eos;

  (void)minor_version;
  (void)msg;
  (void)rlen;
  if (errstr != NULL && !eos)
    {
      finish_later (call, VH_E_UPSTREAM_CUT);
      return NULL;
    }
  call->state = CALL_READING;
  restart_timer (call);
  if (pass_head (call, status, headers, num_headers) != 0)
    {
      /* Returning NULL makes h2o close the connection.  */
      call->http = NULL;
      release_call (call);
      return NULL;
    }
  if (eos)
    {
      finish_later (call, VH_OK);
      return NULL;
    }
  return on_body;
}

static h2o_http1client_head_cb
on_connect (h2o_http1client_t *http, const char *errstr, h2o_iovec_t **reqbufs,
            size_t *reqbufcnt, int *method_is_head)
{
  httpc_call_t *call = http->data;

  if (errstr != NULL)
    {
      finish_later (call, VH_E_CONNECT);
      return NULL;
    }
  call->state = CALL_WAITING_HEAD;
  call->out_vec = h2o_iovec_init (call->out.ptr, call->out.len);
  *reqbufs = &call->out_vec;
  *reqbufcnt = 1;
  *method_is_head = call->head_method;
  return on_head;
}

/* Append the wire form of REQUEST.  */
static void
write_request (buf_t *out, const char *host, const httpc_request_t *request)
{
  buf_printf (out, "%.*s %.*s HTTP/1.1\r\nhost: %s\r\n",
              STR_ARG (request->method), STR_ARG (request->path), host);
  for (size_t i = 0; i < request->header_count; i++)
    buf_printf (out, "%.*s: %.*s\r\n", STR_ARG (request->headers[i].name),
                STR_ARG (request->headers[i].value));
  if (request->body.len > 0 || !str_eq (request->method, STR ("GET")))
    buf_printf (out, "content-length: %zu\r\n", request->body.len);
  buf_append (out, "\r\n", 2);
  buf_append_str (out, request->body);
}

httpc_call_t *
httpc_start (httpc_t *client, const httpc_request_t *request,
             const httpc_events_t *events, void *arg)
{
  httpc_call_t *call = mem_zalloc (sizeof *call);

  call->client = client;
  call->events = events;
  call->arg = arg;
  call->head_method = str_eq (request->method, STR ("HEAD"));
  call->timeout_ms
      = request->timeout_ms > 0 ? request->timeout_ms : DEFAULT_TIMEOUT_MS;
  write_request (&call->out, client->address, request);
  uv_timer_init (client->loop, &call->timer);
  call->timer.data = call;
  restart_timer (call);
  h2o_http1client_t *http = NULL;
  h2o_http1client_connect_with_pool (&http, call, &client->ctx, &client->pool,
                                     on_connect);
  /* The connection may have failed inside the call.  */
  if (!call->deferred)
    call->http = http;
  return call;
}

void
httpc_cancel (httpc_call_t *call)
{
  if (call == NULL || call->cancelled)
    return;
  call->cancelled = true;
  if (call->on_cancel != NULL)
    call->on_cancel (call->arg);
  if (call->in_callback)
    return;
  if (call->http != NULL)
    h2o_http1client_cancel (call->http);
  release_call (call);
}

void
httpc_pause (httpc_call_t *call)
{
  h2o_socket_t *sock = call->http != NULL ? call->http->sock : NULL;

  if (call->state != CALL_READING || call->paused_cb != NULL || sock == NULL
      || sock->_cb.read == NULL)
    return;
  call->paused_cb = sock->_cb.read;
  h2o_socket_read_stop (sock);
  uv_timer_stop (&call->timer);
}

void
httpc_resume (httpc_call_t *call)
{
  h2o_socket_cb cb = call->paused_cb;

  if (cb == NULL)
    return;
  call->paused_cb = NULL;
  if (call->http == NULL)
    return;
  h2o_socket_read_start (call->http->sock, cb);
  restart_timer (call);
}

typedef struct
{
  int status;
  buf_t body;
  size_t limit;
  bool too_large;
  httpc_fetch_cb_t cb;
  void *arg;
} whole_t;

static void
whole_free (void *arg)
{
  whole_t *whole = arg;

  buf_free (&whole->body);
  free (whole);
}

static void
whole_head (void *arg, int status, const httpc_header_t *headers, size_t count)
{
  (void)headers;
  (void)count;
  ((whole_t *)arg)->status = status;
}

static void
whole_chunk (void *arg, str_t bytes)
{
  whole_t *whole = arg;

  if (whole->body.len + bytes.len > whole->limit)
    whole->too_large = true;
  else
    buf_append_str (&whole->body, bytes);
}

static void
whole_done (void *arg, vh_code_t code)
{
  whole_t *whole = arg;

  if (code == VH_OK && whole->too_large)
    code = VH_E_TOO_LARGE;
  whole->cb (whole->arg, code, whole->status, buf_str (&whole->body));
  whole_free (whole);
}

static const httpc_events_t whole_events
    = { whole_head, whole_chunk, whole_done };

httpc_call_t *
httpc_fetch (httpc_t *client, const httpc_request_t *request, size_t limit,
             httpc_fetch_cb_t cb, void *arg)
{
  whole_t *whole = mem_zalloc (sizeof *whole);

  whole->limit = limit;
  whole->cb = cb;
  whole->arg = arg;
  httpc_call_t *call = httpc_start (client, request, &whole_events, whole);
  call->on_cancel = whole_free;
  return call;
}
