#include "wire/httpc.h"

#include "base/mem.h"
#include "wire/addr.h"

#include <h2o.h>
#include <netinet/tcp.h>
#include <stdlib.h>

enum
{
  DEFAULT_TIMEOUT_MS = 30000,
  /* h2o's own timeout, which must never expire before the call's: it cannot
     be stopped while a slow reader has paused the call.  */
  H2O_IO_TIMEOUT_MS = 24 * 3600 * 1000,
  IDLE_CONNECTION_TIMEOUT_MS = 10000,
  FREE_DELAY_TICKS = 2,
  HEADERS_MAX = 100,
  /* Limit of a response's head.  */
  HEAD_BYTES_MAX = 65536
};

struct httpc
{
  uv_loop_t *loop;
  char *address;
  h2o_socketpool_t pool;
  h2o_timeout_t io_timeout;
  h2o_http1client_ctx_t ctx;
  list_t waiting;        /* Calls that wait for their heads.  */
  uv_prepare_t prepare;  /* Checks these before the sockets are polled.  */
  uv_timer_t free_timer; /* Delays the free after httpc_destroy.  */
  unsigned free_timer_ticks;
};

typedef enum
{
  CALL_CONNECTING,
  CALL_WAITING_HEAD,
  CALL_READING,
  CALL_RELEASED
} call_state_t;

struct httpc_call
{
  list_t waiting_link; /* In httpc.waiting, or not linked.  */
  httpc_t *client;
  h2o_http1client_t *http;
  call_state_t state;
  bool is_head_request;
  bool chunked;    /* The response uses chunked transfer coding.  */
  bool has_length; /* The response has a Content-Length.  */
  /* h2o is the caller of the current event callback and must close the
     connection itself.  */
  bool in_callback;
  bool events_ended;      /* Cancelled, or DONE was delivered.  */
  bool is_too_large;      /* The body is over the limit of the fetch.  */
  bool is_result_pending; /* The timer only reports RESULT.  */
  vh_code_t result;
  buf_t request_bytes;
  h2o_iovec_t request_vec;
  h2o_socket_cb paused_read_cb;
  uint64_t timeout_ms;
  uv_timer_t timer;
  const httpc_events_t *events;
  void *arg;
  /* Frees ARG when the call is cancelled; NULL: ARG needs no free.  */
  void (*on_cancel) (void *arg);
};

static void on_prepare (uv_prepare_t *prepare);

httpc_t *
httpc_create (uv_loop_t *loop, str_t address, size_t max_idle)
{
  struct sockaddr_storage addr;
  socklen_t len;

  if (!addr_parse (address, &addr, &len))
    return NULL;
  httpc_t *client = mem_zalloc (sizeof *client);
  client->loop = loop;
  client->address = str_dup (address);
  h2o_socketpool_init_by_address (&client->pool, (struct sockaddr *)&addr, len,
                                  0, max_idle);
  h2o_socketpool_set_timeout (&client->pool, loop, IDLE_CONNECTION_TIMEOUT_MS);
  h2o_timeout_init (loop, &client->io_timeout, H2O_IO_TIMEOUT_MS);
  client->ctx.loop = loop;
  client->ctx.io_timeout = &client->io_timeout;
  list_init (&client->waiting);
  uv_prepare_init (loop, &client->prepare);
  client->prepare.data = client;
  uv_prepare_start (&client->prepare, on_prepare);
  uv_unref ((uv_handle_t *)&client->prepare);
  return client;
}

static void
on_free_timer_closed (uv_handle_t *handle)
{
  httpc_t *client = handle->data;

  free (client->address);
  free (client);
}

/* Free the client on the second tick of the timer.  When httpc_destroy is
   called from a close callback, libuv puts h2o's handles on the closing list
   of the next turn of the loop.  The timers of that turn run before the list
   is processed, and the list is processed from the newest handle on, so that a
   free on that turn would release handles that are still on the list.  On the
   second tick the list has been processed.  */
static void
on_free_timer (uv_timer_t *timer)
{
  httpc_t *client = timer->data;

  if (++client->free_timer_ticks == FREE_DELAY_TICKS)
    uv_close ((uv_handle_t *)timer, on_free_timer_closed);
}

void
httpc_destroy (httpc_t *client)
{
  if (client == NULL)
    return;
  h2o_socketpool_dispose (&client->pool);
  h2o_timeout_dispose (client->loop, &client->io_timeout);
  uv_close ((uv_handle_t *)&client->prepare, NULL);
  /* h2o closes the handles of its timers without a callback, and libuv needs
     their memory until the end of this turn of the loop at the latest.
     Freeing the memory now would corrupt the loop, so a timer frees it on a
     later turn.  */
  uv_timer_init (client->loop, &client->free_timer);
  client->free_timer.data = client;
  uv_timer_start (&client->free_timer, on_free_timer, 1, 1);
}

static void
on_timer_closed (uv_handle_t *handle)
{
  httpc_call_t *call = handle->data;

  buf_free (&call->request_bytes);
  free (call);
}

/* Release CALL.  Its memory is freed when libuv has closed the timer.  */
static void
release_call (httpc_call_t *call)
{
  if (call->state == CALL_RELEASED)
    return;
  call->state = CALL_RELEASED;
  list_remove (&call->waiting_link);
  uv_close ((uv_handle_t *)&call->timer, on_timer_closed);
}

/* Report CODE as the result of CALL, unless CALL was cancelled, and release
   CALL.  */
static void
finish (httpc_call_t *call, vh_code_t code)
{
  void (*done) (void *, vh_code_t) = call->events->done;
  void *arg = call->arg;

  if (call->events_ended || call->state == CALL_RELEASED)
    {
      release_call (call);
      return;
    }
  call->events_ended = true;
  done (arg, code);
  release_call (call);
}

static void
on_timer (uv_timer_t *timer)
{
  httpc_call_t *call = timer->data;
  vh_code_t code = call->result;

  if (!call->is_result_pending)
    {
      bool connected = call->state != CALL_CONNECTING;
      code = connected ? VH_E_TIMEOUT : VH_E_CONNECT;
      h2o_http1client_cancel (call->http);
    }
  finish (call, code);
}

/* End a call whose response has a head over the limit.  h2o would receive it
   until the call times out.  The callbacks of a call may end others, so the
   rest is checked in the next iteration.  */
static void
on_prepare (uv_prepare_t *prepare)
{
  httpc_t *client = prepare->data;

  LIST_EACH (at, &client->waiting)
    {
      httpc_call_t *call = CONTAINER_OF (at, httpc_call_t, waiting_link);
      if (call->http == NULL || call->http->sock == NULL
          || call->http->sock->input->size <= HEAD_BYTES_MAX)
        continue;
      h2o_http1client_cancel (call->http);
      finish (call, VH_E_TOO_LARGE);
      return;
    }
}

static void
restart_timer (httpc_call_t *call)
{
  uv_timer_start (&call->timer, on_timer, call->timeout_ms, 0);
}

/* Report CODE on the next turn of the loop, outside h2o's callbacks.  */
static void
finish_later (httpc_call_t *call, vh_code_t code)
{
  call->is_result_pending = true;
  call->result = code;
  call->http = NULL;
  uv_timer_start (&call->timer, on_timer, 0, 0);
}

/* Pass the received bytes to the CHUNK callback.  Return false when the
   callback cancelled the call.  */
static bool
deliver_chunk (httpc_call_t *call, h2o_http1client_t *http)
{
  h2o_buffer_t *input = http->sock->input;

  if (input->size > 0)
    {
      call->in_callback = true;
      call->events->chunk (call->arg, str_make (input->bytes, input->size));
      call->in_callback = false;
      h2o_buffer_consume (&http->sock->input, http->sock->input->size);
    }
  return !call->events_ended;
}

/* Return whether the connection of HTTP was reset.  h2o reports a reset as an
   end and has taken the error off the socket, but the state of the connection
   still tells it from a close in order.  */
static bool
was_reset (const h2o_http1client_t *http)
{
  struct tcp_info info;
  socklen_t len = sizeof info;

  return getsockopt (h2o_socket_get_fd (http->sock), IPPROTO_TCP, TCP_INFO,
                     &info, &len)
             == 0
         && info.tcpi_state == TCP_CLOSE;
}

/* Return whether the end of the response that h2o reports in ERRSTR is the end
   of a complete response.  Like browsers, h2o accepts a connection that closes
   between two chunks as the end of the response, so that a partial response
   would be taken for a complete one.  The real last chunk is recognized by the
   bytes that were read along with the end.  */
static bool
is_complete_response (const httpc_call_t *call, const h2o_http1client_t *http,
                      const char *errstr)
{
  if (errstr != h2o_http1client_error_is_eos)
    return false;
  if (call->chunked)
    return http->sock->bytes_read > 0;
  return call->has_length || !was_reset (http);
}

static int
on_body (h2o_http1client_t *http, const char *errstr)
{
  httpc_call_t *call = http->data;
  bool is_complete = is_complete_response (call, http, errstr);

  if (call->paused_read_cb == NULL)
    restart_timer (call);
  if (!deliver_chunk (call, http))
    {
      if (errstr != NULL)
        call->http = NULL;
      release_call (call);
      return -1;
    }
  if (call->is_too_large)
    {
      finish_later (call, VH_E_TOO_LARGE);
      return -1;
    }
  if (errstr == NULL)
    return 0;
  finish_later (call, is_complete ? VH_OK : VH_E_UPSTREAM_CUT);
  return 0;
}

/* Pass the response head to the HEAD callback.  Return -1 when the callback
   cancelled the call.  */
static int
deliver_head (httpc_call_t *call, int status, h2o_header_t *headers,
              size_t count)
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
      if (str_eq_nocase (list[i].name, STR ("content-length")))
        call->has_length = true;
    }
  call->in_callback = true;
  if (call->events->head != NULL)
    call->events->head (call->arg, status, list, count);
  call->in_callback = false;
  return call->events_ended ? -1 : 0;
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
  list_remove (&call->waiting_link);
  /* h2o takes any three digits for a status.  */
  if (status < 200 || status > 599)
    {
      finish_later (call, VH_E_PROTOCOL);
      return NULL;
    }
  call->state = CALL_READING;
  restart_timer (call);
  if (deliver_head (call, status, headers, num_headers) != 0)
    {
      /* The NULL result makes h2o close the connection.  */
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
  list_append (&call->client->waiting, &call->waiting_link);
  call->request_vec
      = h2o_iovec_init (call->request_bytes.ptr, call->request_bytes.len);
  *reqbufs = &call->request_vec;
  *reqbufcnt = 1;
  *method_is_head = call->is_head_request;
  return on_head;
}

/* Append REQUEST in HTTP/1.1 format to REQUEST_TEXT.  */
static void
format_request (buf_t *request_text, const char *host,
                const httpc_request_t *request)
{
  buf_printf (request_text, "%.*s %.*s HTTP/1.1\r\nhost: %s\r\n",
              STR_ARG (request->method), STR_ARG (request->path), host);
  for (size_t i = 0; i < request->header_count; i++)
    buf_printf (request_text, "%.*s: %.*s\r\n",
                STR_ARG (request->headers[i].name),
                STR_ARG (request->headers[i].value));
  if (request->body.len > 0 || !str_eq (request->method, STR ("GET")))
    buf_printf (request_text, "content-length: %zu\r\n", request->body.len);
  buf_append (request_text, "\r\n", 2);
  buf_append_str (request_text, request->body);
}

httpc_call_t *
httpc_start (httpc_t *client, const httpc_request_t *request,
             const httpc_events_t *events, void *arg)
{
  httpc_call_t *call = mem_zalloc (sizeof *call);

  call->client = client;
  list_init (&call->waiting_link);
  call->events = events;
  call->arg = arg;
  call->is_head_request = str_eq (request->method, STR ("HEAD"));
  call->timeout_ms
      = request->timeout_ms > 0 ? request->timeout_ms : DEFAULT_TIMEOUT_MS;
  format_request (&call->request_bytes, client->address, request);
  uv_timer_init (client->loop, &call->timer);
  call->timer.data = call;
  restart_timer (call);
  h2o_http1client_t *http = NULL;
  h2o_http1client_connect_with_pool (&http, call, &client->ctx, &client->pool,
                                     on_connect);
  /* When connecting has failed already, the call has no h2o client.  */
  if (!call->is_result_pending)
    call->http = http;
  return call;
}

void
httpc_cancel (httpc_call_t *call)
{
  if (call == NULL || call->events_ended)
    return;
  call->events_ended = true;
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

  if (call->state != CALL_READING || call->paused_read_cb != NULL
      || sock == NULL || sock->_cb.read == NULL)
    return;
  call->paused_read_cb = sock->_cb.read;
  h2o_socket_read_stop (sock);
  uv_timer_stop (&call->timer);
}

void
httpc_resume (httpc_call_t *call)
{
  h2o_socket_cb cb = call->paused_read_cb;

  if (cb == NULL)
    return;
  call->paused_read_cb = NULL;
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
  httpc_call_t *call;
  httpc_fetch_cb_t cb;
  void *arg;
} fetch_t;

static void
fetch_free (void *arg)
{
  fetch_t *fetch = arg;

  buf_free (&fetch->body);
  free (fetch);
}

static void
fetch_on_head (void *arg, int status, const httpc_header_t *headers,
               size_t count)
{
  (void)headers;
  (void)count;
  ((fetch_t *)arg)->status = status;
}

static void
fetch_on_chunk (void *arg, str_t bytes)
{
  fetch_t *fetch = arg;

  if (fetch->body.len + bytes.len > fetch->limit)
    fetch->call->is_too_large = true;
  else
    buf_append_str (&fetch->body, bytes);
}

static void
fetch_on_done (void *arg, vh_code_t code)
{
  fetch_t *fetch = arg;

  fetch->cb (fetch->arg, code, fetch->status, buf_str (&fetch->body));
  fetch_free (fetch);
}

static const httpc_events_t fetch_events
    = { fetch_on_head, fetch_on_chunk, fetch_on_done };

httpc_call_t *
httpc_fetch (httpc_t *client, const httpc_request_t *request, size_t limit,
             httpc_fetch_cb_t cb, void *arg)
{
  fetch_t *fetch = mem_zalloc (sizeof *fetch);

  fetch->limit = limit;
  fetch->cb = cb;
  fetch->arg = arg;
  fetch->call = httpc_start (client, request, &fetch_events, fetch);
  fetch->call->on_cancel = fetch_free;
  return fetch->call;
}
