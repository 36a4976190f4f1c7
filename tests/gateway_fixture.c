#include "gateway_fixture.h"

#include "base/mem.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  LIMIT_MS = 10000,
  ROWS_MAX = 64,
  PENDING_MAX = 32,
  ACTS_MAX = 16,
  EVENTS = 5,
  STORE_START_MS = 1000000,
  SMALL_BUFFER = 4096
};

/* Rows.  */

typedef struct
{
  rows_table_t table;
  char *key;
  char *value;
  uint64_t version;
  bool deleted;
} stored_t;

typedef struct
{
  list_t link;
  fake_rows_t *fake;
  uv_timer_t timer;
  enum
  {
    CALL_READ,
    CALL_WATCH,
    CALL_COMMIT
  } kind;
  rows_table_t table;
  uint64_t after;
  vh_code_t code; /* Of a commit.  */
  rows_cb_t cb;
  void *arg;
} fake_call_t;

struct fake_rows
{
  rows_t base;
  uv_loop_t *loop;
  stored_t rows[ROWS_MAX];
  size_t count;
  uint64_t version;
  uint64_t stale;
  uint64_t forgotten; /* Watches after less than this end.  */
  uint64_t extra_ms;
  bool down;
  size_t calls;
  list_t pending;
};

static stored_t *
find_row (const fake_rows_t *fake, rows_table_t table, str_t key)
{
  for (size_t i = 0; i < fake->count; i++)
    if (fake->rows[i].table == table
        && str_eq (str_from (fake->rows[i].key), key))
      return (stored_t *)&fake->rows[i];
  return NULL;
}

static void
on_call_closed (uv_handle_t *handle)
{
  free (handle->data);
}

static void
call_over (fake_call_t *call)
{
  list_remove (&call->link);
  uv_close ((uv_handle_t *)&call->timer, on_call_closed);
}

/* Answer CALL with the rows of its table that changed after AFTER.  */
static void
call_tell (fake_call_t *call)
{
  fake_rows_t *fake = call->fake;
  rows_row_t rows[ROWS_MAX];
  rows_cb_t cb = call->cb;
  void *arg = call->arg;
  uint64_t limit = fake->stale != 0 ? fake->stale : fake->version;
  rows_result_t result
      = { .rows = rows,
          .version = limit,
          .now_ms = STORE_START_MS + uv_now (fake->loop) + fake->extra_ms };
  vh_code_t code = fake->down ? VH_E_STORE_DOWN : call->code;

  if (call->kind == CALL_WATCH && call->after < fake->forgotten)
    code = VH_E_NOT_FOUND;
  for (size_t i = 0; i < fake->count && call->kind != CALL_COMMIT; i++)
    {
      const stored_t *row = &fake->rows[i];
      if (row->table != call->table || row->version <= call->after
          || row->version > limit || (call->kind == CALL_READ && row->deleted))
        continue;
      rows[result.count++]
          = (rows_row_t){ str_from (row->key), str_from (row->value),
                          row->version, row->deleted };
    }
  call_over (call);
  cb (arg, code, code == VH_OK ? &result : NULL);
}

static void
on_call_timer (uv_timer_t *timer)
{
  call_tell (timer->data);
}

static fake_call_t *
call_add (fake_rows_t *fake, int kind, rows_table_t table, uint64_t after,
          uint64_t wait_ms, rows_cb_t cb, void *arg)
{
  fake_call_t *call = mem_zalloc (sizeof *call);

  call->fake = fake;
  call->kind = kind;
  call->table = table;
  call->after = after;
  call->cb = cb;
  call->arg = arg;
  fake->calls++;
  list_append (&fake->pending, &call->link);
  uv_timer_init (fake->loop, &call->timer);
  call->timer.data = call;
  uv_timer_start (&call->timer, on_call_timer, fake->down ? 1 : wait_ms, 0);
  return call;
}

static void
fake_read (rows_t *rows, rows_table_t table, str_t from, uint64_t timeout_ms,
           rows_cb_t cb, void *arg)
{
  (void)from;
  (void)timeout_ms;
  call_add ((fake_rows_t *)rows, CALL_READ, table, 0, 1, cb, arg);
}

static void
fake_watch (rows_t *rows, rows_table_t table, uint64_t after, uint64_t wait_ms,
            uint64_t timeout_ms, rows_cb_t cb, void *arg)
{
  fake_rows_t *fake = (fake_rows_t *)rows;
  bool news = after < fake->forgotten;

  (void)timeout_ms;
  for (size_t i = 0; i < fake->count; i++)
    if (fake->rows[i].table == table && fake->rows[i].version > after)
      news = true;
  call_add (fake, CALL_WATCH, table, after, news ? 1 : wait_ms, cb, arg);
}

/* Wake the watches that have news.  */
static void
wake (fake_rows_t *fake, rows_table_t table)
{
  LIST_EACH (at, &fake->pending)
    {
      fake_call_t *call = CONTAINER_OF (at, fake_call_t, link);
      if (call->kind == CALL_WATCH && call->table == table)
        uv_timer_start (&call->timer, on_call_timer, 1, 0);
    }
}

static void
store_row (fake_rows_t *fake, rows_table_t table, str_t key, str_t value,
           bool deleted)
{
  stored_t *row = find_row (fake, table, key);

  if (row == NULL)
    {
      ck_assert_uint_lt (fake->count, ROWS_MAX);
      row = &fake->rows[fake->count++];
      row->table = table;
      row->key = str_dup (key);
    }
  free (row->value);
  row->value = str_dup (value);
  row->deleted = deleted;
  row->version = fake->version;
  wake (fake, table);
}

static void
fake_commit (rows_t *rows, const rows_write_t *writes, size_t count,
             uint64_t timeout_ms, rows_cb_t cb, void *arg)
{
  fake_rows_t *fake = (fake_rows_t *)rows;
  fake_call_t *call = call_add (fake, CALL_COMMIT, ROWS_OWN, 0, 1, cb, arg);

  (void)timeout_ms;
  if (fake->down)
    return;
  for (size_t i = 0; i < count; i++)
    {
      const stored_t *row = find_row (fake, writes[i].table, writes[i].key);
      uint64_t version = row == NULL || row->deleted ? 0 : row->version;
      if (writes[i].conditional && version != writes[i].expected)
        call->code = VH_E_CONFLICT;
    }
  if (call->code != VH_OK)
    return;
  fake->version++;
  for (size_t i = 0; i < count; i++)
    store_row (fake, writes[i].table, writes[i].key, writes[i].value,
               writes[i].remove);
}

static void
fake_forget (rows_t *rows, const void *arg)
{
  fake_rows_t *fake = (fake_rows_t *)rows;

  LIST_EACH (at, &fake->pending)
    {
      fake_call_t *call = CONTAINER_OF (at, fake_call_t, link);
      if (call->arg == arg)
        call_over (call);
    }
}

static void
fake_destroy (rows_t *rows)
{
  fake_rows_t *fake = (fake_rows_t *)rows;

  LIST_EACH (at, &fake->pending)
    call_over (CONTAINER_OF (at, fake_call_t, link));
  for (size_t i = 0; i < fake->count; i++)
    {
      free (fake->rows[i].key);
      free (fake->rows[i].value);
    }
  free (fake);
}

fake_rows_t *
fake_rows_create (uv_loop_t *loop)
{
  static const rows_ops_t ops
      = { fake_read, fake_watch, fake_commit, fake_forget, fake_destroy };
  fake_rows_t *fake = mem_zalloc (sizeof *fake);

  fake->base.ops = &ops;
  fake->loop = loop;
  fake->version = 1;
  list_init (&fake->pending);
  return fake;
}

rows_t *
fake_rows_iface (fake_rows_t *fake)
{
  return &fake->base;
}

void
fake_rows_put (fake_rows_t *fake, rows_table_t table, const char *key,
               const char *value)
{
  fake->version++;
  store_row (fake, table, str_from (key), str_from (value), false);
}

void
fake_rows_remove (fake_rows_t *fake, rows_table_t table, const char *key)
{
  fake->version++;
  store_row (fake, table, str_from (key), STR (""), true);
}

const char *
fake_rows_get (const fake_rows_t *fake, rows_table_t table, const char *key)
{
  const stored_t *row = find_row (fake, table, str_from (key));

  return row == NULL || row->deleted ? NULL : row->value;
}

void
fake_rows_down (fake_rows_t *fake, bool down)
{
  fake->down = down;
  LIST_EACH (at, &fake->pending)
    uv_timer_start (&CONTAINER_OF (at, fake_call_t, link)->timer,
                    on_call_timer, 1, 0);
}

void
fake_rows_stale (fake_rows_t *fake, uint64_t version)
{
  fake->stale = version;
  for (rows_table_t table = ROWS_ORDERS; table <= ROWS_OWN; table++)
    wake (fake, table);
}

uint64_t
fake_rows_version (const fake_rows_t *fake)
{
  return fake->version;
}

void
fake_rows_forget (fake_rows_t *fake)
{
  fake->version++;
  fake->forgotten = fake->version;
  for (rows_table_t table = ROWS_ORDERS; table <= ROWS_OWN; table++)
    wake (fake, table);
}

void
fake_rows_advance (fake_rows_t *fake, uint64_t ms)
{
  fake->extra_ms += ms;
  for (rows_table_t table = ROWS_ORDERS; table <= ROWS_OWN; table++)
    wake (fake, table);
}

size_t
fake_rows_calls (const fake_rows_t *fake)
{
  return fake->calls;
}

/* Upstreams.  */

struct fake_upstream
{
  uv_loop_t *loop;
  char *id;
  uv_tcp_t listener;
  uint16_t port;
  act_t acts[ACTS_MAX];
  size_t act_count;
  size_t act_at;
  size_t requests;
  size_t abandoned;
  buf_t last;
  list_t conns;
};

typedef struct
{
  list_t link;
  fake_upstream_t *upstream;
  uv_tcp_t tcp;
  buf_t input;
  bool answered;
  bool closing;
} conn_t;

typedef struct
{
  uv_write_t write;
  char *bytes;
} sent_t;

static void
on_conn_closed (uv_handle_t *handle)
{
  conn_t *conn = handle->data;

  buf_free (&conn->input);
  free (conn);
}

static void
conn_close (conn_t *conn, bool reset)
{
  if (conn->closing)
    return;
  conn->closing = true;
  list_remove (&conn->link);
  if (reset)
    uv_tcp_close_reset (&conn->tcp, on_conn_closed);
  else
    uv_close ((uv_handle_t *)&conn->tcp, on_conn_closed);
}

static void
on_sent (uv_write_t *write, int status)
{
  sent_t *sent = (sent_t *)write;

  (void)status;
  free (sent->bytes);
  free (sent);
}

static void
conn_send (conn_t *conn, const buf_t *bytes)
{
  sent_t *sent = mem_zalloc (sizeof *sent);

  sent->bytes = str_dup (buf_str (bytes));
  uv_buf_t buf = uv_buf_init (sent->bytes, (unsigned)bytes->len);
  uv_write (&sent->write, (uv_stream_t *)&conn->tcp, &buf, 1, on_sent);
}

/* The value of header NAME in the request of CONN.  */
static str_t
request_header (const conn_t *conn, const char *name)
{
  str_t rest = buf_str (&conn->input);

  while (rest.ptr != NULL)
    {
      str_t line = str_cut (rest, '\n', &rest);
      str_t value;
      str_t head = str_cut (line, ':', &value);
      if (value.ptr != NULL && str_eq_nocase (head, str_from (name)))
        return str_trim (value);
    }
  return STR_NULL;
}

static void
append_chunk (buf_t *out, const char *text)
{
  buf_printf (out, "%zx\r\n%s\r\n", strlen (text), text);
}

/* Append EVENTS events after the id that the request names, up to LAST.  */
static void
append_events (const conn_t *conn, uint64_t last, buf_t *out)
{
  uint64_t id = 0;
  char event[64];

  str_to_u64 (request_header (conn, "last-event-id"), &id);
  for (id++; id <= last; id++)
    {
      snprintf (event, sizeof event, "id: %llu\ndata: e%llu\n\n",
                (unsigned long long)id, (unsigned long long)id);
      append_chunk (out, event);
    }
}

static void
start_head (const conn_t *conn, const char *status, buf_t *out)
{
  const header_names_t *names = &header_names_default;

  buf_printf (out, "HTTP/1.1 %s\r\n%.*s: %.*s\r\n%.*s: mac-of-%s\r\n", status,
              STR_ARG (names->attempt_id),
              STR_ARG (request_header (conn, names->attempt_id.ptr)),
              STR_ARG (names->answer_mac), conn->upstream->id);
}

static void
append_big_event (buf_t *out)
{
  buf_t event = BUF_NULL;

  buf_append_str (&event, STR ("id: 1\ndata: "));
  buf_reserve (&event, BIG_EVENT_BYTES);
  memset (event.ptr + event.len, 'x', BIG_EVENT_BYTES);
  event.len += BIG_EVENT_BYTES;
  buf_append (&event, "\n\n", 3);
  append_chunk (out, event.ptr);
  buf_free (&event);
}

static void
conn_stream (conn_t *conn, act_t act, buf_t *out)
{
  start_head (conn, "200 OK", out);
  if (act == ACT_STREAM_DOUBT)
    buf_printf (out, "%.*s: 10\r\n",
                STR_ARG (header_names_default.confidence));
  buf_append_str (out, STR ("Transfer-Encoding: chunked\r\n\r\n"));
  bool whole
      = act == ACT_STREAM || act == ACT_STREAM_DOUBT || act == ACT_STREAM_BIG;
  if (act == ACT_STREAM_BIG)
    append_big_event (out);
  else
    append_events (conn, whole ? EVENTS : 2, out);
  if (whole)
    buf_append_str (out, STR ("0\r\n\r\n"));
  else if (act == ACT_STREAM_BREAK)
    append_chunk (out, "id: 3\ndata: ha");
  conn_send (conn, out);
  conn->answered = act != ACT_STREAM_STALL;
  if (act == ACT_STREAM_BREAK)
    conn_close (conn, false);
}

static void
conn_answer (conn_t *conn, act_t act)
{
  fake_upstream_t *upstream = conn->upstream;
  buf_t out = BUF_NULL;

  switch (act)
    {
    case ACT_ANSWER:
      start_head (conn, "200 OK", &out);
      buf_printf (&out, "Content-Length: %zu\r\n\r\nby %s",
                  3 + strlen (upstream->id), upstream->id);
      break;
    case ACT_ERROR:
      start_head (conn, "500 Oops", &out);
      buf_append_str (&out, STR ("Content-Length: 4\r\n\r\noops"));
      break;
    case ACT_SHED:
      buf_printf (&out,
                  "HTTP/1.1 503 Full\r\n%.*s: 1\r\nContent-Length: 0\r\n\r\n",
                  STR_ARG (header_names_default.not_run));
      break;
    case ACT_SHORT:
      start_head (conn, "200 OK", &out);
      buf_append_str (&out, STR ("Content-Length: 100\r\n\r\nhalf"));
      break;
    case ACT_FOREIGN:
      buf_printf (&out,
                  "HTTP/1.1 200 OK\r\n%.*s: another\r\n%.*s: m\r\n"
                  "Content-Length: 5\r\n\r\nother",
                  STR_ARG (header_names_default.attempt_id),
                  STR_ARG (header_names_default.answer_mac));
      break;
    case ACT_NO_MAC:
      buf_append_str (&out,
                      STR ("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"));
      break;
    case ACT_SILENT:
      goto done;
    case ACT_RESET:
      conn->answered = true;
      conn_close (conn, true);
      goto done;
    default:
      conn_stream (conn, act, &out);
      goto done;
    }
  conn->answered = true;
  conn_send (conn, &out);
  if (act == ACT_SHORT)
    conn_close (conn, false);
done:
  buf_free (&out);
}

static void
on_conn_alloc (uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
  static char bytes[65536];

  (void)handle;
  (void)size;
  *buf = uv_buf_init (bytes, sizeof bytes);
}

/* Tell whether CONN has a whole request.  */
static bool
request_whole (conn_t *conn)
{
  const char *end = memmem (conn->input.ptr, conn->input.len, "\r\n\r\n", 4);
  uint64_t length = 0;

  if (end == NULL)
    return false;
  str_to_u64 (request_header (conn, "content-length"), &length);
  return conn->input.len
         >= (size_t)(end - conn->input.ptr) + 4 + (size_t)length;
}

static void
on_conn_read (uv_stream_t *stream, ssize_t got, const uv_buf_t *buf)
{
  conn_t *conn = stream->data;
  fake_upstream_t *upstream = conn->upstream;

  if (got < 0)
    {
      if (!conn->answered)
        upstream->abandoned++;
      conn_close (conn, false);
      return;
    }
  if (conn->answered)
    return;
  buf_append (&conn->input, buf->base, (size_t)got);
  if (!request_whole (conn))
    return;
  upstream->requests++;
  upstream->last.len = 0;
  buf_append_str (&upstream->last, buf_str (&conn->input));
  buf_append_char (&upstream->last, '\0');
  act_t act = upstream->acts[upstream->act_at];
  if (upstream->act_at + 1 < upstream->act_count)
    upstream->act_at++;
  conn_answer (conn, act);
}

static void
on_upstream_accept (uv_stream_t *listener, int status)
{
  fake_upstream_t *upstream = listener->data;
  conn_t *conn = mem_zalloc (sizeof *conn);

  ck_assert_int_eq (status, 0);
  conn->upstream = upstream;
  list_append (&upstream->conns, &conn->link);
  uv_tcp_init (upstream->loop, &conn->tcp);
  conn->tcp.data = conn;
  uv_accept (listener, (uv_stream_t *)&conn->tcp);
  uv_read_start ((uv_stream_t *)&conn->tcp, on_conn_alloc, on_conn_read);
}

fake_upstream_t *
fake_upstream_create (uv_loop_t *loop, const char *id)
{
  fake_upstream_t *upstream = mem_zalloc (sizeof *upstream);
  struct sockaddr_in addr;
  int len = sizeof addr;

  upstream->loop = loop;
  upstream->id = str_dup (str_from (id));
  upstream->act_count = 1;
  list_init (&upstream->conns);
  uv_ip4_addr ("127.0.0.1", 0, &addr);
  uv_tcp_init (loop, &upstream->listener);
  upstream->listener.data = upstream;
  uv_tcp_bind (&upstream->listener, (struct sockaddr *)&addr, 0);
  uv_tcp_getsockname (&upstream->listener, (struct sockaddr *)&addr, &len);
  upstream->port = ntohs (addr.sin_port);
  ck_assert_int_eq (
      uv_listen ((uv_stream_t *)&upstream->listener, 64, on_upstream_accept),
      0);
  return upstream;
}

static void
on_listener_closed (uv_handle_t *handle)
{
  fake_upstream_t *upstream = handle->data;

  free (upstream->id);
  buf_free (&upstream->last);
  free (upstream);
}

void
fake_upstream_destroy (fake_upstream_t *upstream)
{
  LIST_EACH (at, &upstream->conns)
    conn_close (CONTAINER_OF (at, conn_t, link), false);
  uv_close ((uv_handle_t *)&upstream->listener, on_listener_closed);
}

void
fake_upstream_script (fake_upstream_t *upstream, const act_t *acts,
                      size_t count)
{
  memcpy (upstream->acts, acts, count * sizeof *acts);
  upstream->act_count = count;
  upstream->act_at = 0;
}

size_t
fake_upstream_requests (const fake_upstream_t *upstream)
{
  return upstream->requests;
}

const char *
fake_upstream_last (const fake_upstream_t *upstream)
{
  return upstream->last.ptr;
}

size_t
fake_upstream_abandoned (const fake_upstream_t *upstream)
{
  return upstream->abandoned;
}

/* Callers.  */

static void
on_caller_closed (uv_handle_t *handle)
{
  ((caller_t *)handle->data)->closed = true;
}

static void
on_caller_read (uv_stream_t *stream, ssize_t got, const uv_buf_t *buf)
{
  caller_t *caller = stream->data;

  if (got >= 0)
    {
      buf_append (&caller->answer, buf->base, (size_t)got);
      buf_append_char (&caller->answer, '\0');
      caller->answer.len--;
      return;
    }
  caller->reset = got != UV_EOF;
  caller_leave (caller);
}

static void
on_caller_connected (uv_connect_t *connect, int status)
{
  caller_t *caller = connect->data;

  if (status != 0)
    {
      caller->reset = true;
      caller_leave (caller);
      return;
    }
  uv_buf_t buf
      = uv_buf_init (caller->request.ptr, (unsigned)caller->request.len);
  uv_write (&caller->write, (uv_stream_t *)&caller->tcp, &buf, 1, NULL);
  if (!caller->deaf)
    uv_read_start ((uv_stream_t *)&caller->tcp, on_conn_alloc, on_caller_read);
}

void
caller_reset (caller_t *caller)
{
  if (!uv_is_closing ((uv_handle_t *)&caller->tcp))
    uv_tcp_close_reset (&caller->tcp, on_caller_closed);
}

void
caller_leave (caller_t *caller)
{
  if (!uv_is_closing ((uv_handle_t *)&caller->tcp))
    uv_close ((uv_handle_t *)&caller->tcp, on_caller_closed);
}

static void
caller_connect (gateway_fixture_t *f, caller_t *caller, uint16_t port)
{
  struct sockaddr_in addr;

  uv_ip4_addr ("127.0.0.1", port, &addr);
  uv_tcp_init_ex (&f->loop, &caller->tcp, AF_INET);
  if (caller->deaf)
    {
      int bytes = SMALL_BUFFER;
      uv_recv_buffer_size ((uv_handle_t *)&caller->tcp, &bytes);
    }
  caller->tcp.data = caller;
  caller->connect.data = caller;
  uv_tcp_connect (&caller->connect, &caller->tcp, (struct sockaddr *)&addr,
                  on_caller_connected);
}

void
caller_start_deaf (gateway_fixture_t *f, caller_t *caller, const char *path,
                   const char *headers)
{
  memset (caller, 0, sizeof *caller);
  caller->deaf = true;
  buf_printf (&caller->request,
              "GET %s HTTP/1.1\r\nHost: desk.example\r\n%s\r\n", path,
              headers);
  caller_connect (f, caller, gateway_port (f->gateway));
}

void
caller_start (gateway_fixture_t *f, caller_t *caller, const char *method,
              const char *path, const char *headers, const char *body)
{
  memset (caller, 0, sizeof *caller);
  buf_printf (&caller->request,
              "%s %s HTTP/1.1\r\nHost: desk.example\r\n%s"
              "Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
              method, path, headers, strlen (body), body);
  caller_connect (f, caller, gateway_port (f->gateway));
}

void
gateway_fixture_ask (gateway_fixture_t *f, caller_t *caller,
                     const char *method, const char *path, const char *headers,
                     const char *body)
{
  caller_start (f, caller, method, path, headers, body);
  gateway_fixture_wait (f, caller->closed);
}

int
gateway_fixture_ready (gateway_fixture_t *f)
{
  caller_t caller = { 0 };

  buf_printf (&caller.request, "GET /ready HTTP/1.1\r\nHost: a\r\n"
                               "Connection: close\r\n\r\n");
  caller_connect (f, &caller, gateway_ready_port (f->gateway));
  gateway_fixture_wait (f, caller.closed);
  int status = caller_status (&caller);
  caller_free (f, &caller);
  return status;
}

void
caller_free (gateway_fixture_t *f, caller_t *caller)
{
  caller_leave (caller);
  gateway_fixture_wait (f, caller->closed);
  buf_free (&caller->request);
  buf_free (&caller->answer);
}

int
caller_status (const caller_t *caller)
{
  int status = 0;

  if (caller->answer.ptr != NULL)
    sscanf (caller->answer.ptr, "HTTP/1.1 %d", &status);
  return status;
}

bool
caller_has (const caller_t *caller, const char *text)
{
  return caller->answer.ptr != NULL
         && strstr (caller->answer.ptr, text) != NULL;
}

/* The dialect of the tests: plain words in rows.  */

static order_kind_t
order_kind (str_t key, str_t *name)
{
  str_t kind = str_cut (key, '/', name);

  if (str_eq (kind, STR ("catalog")))
    return ORDER_CATALOG;
  if (str_eq (kind, STR ("rollout")))
    return ORDER_ROLLOUT;
  return str_eq (kind, STR ("zone")) ? ORDER_ZONE_OUT : ORDER_NONE;
}

/* A catalog's row is REVISION KEY: all the rest is the same each time.  */
static vh_code_t
read_catalog (str_t value, catalog_t **out)
{
  static const service_t services[]
      = { { .name = { "app", 3 } },
          { .name = { "llm", 3 }, .is_engine = true, .cold_per_s = 50 } };
  static const route_t routes[] = {
    { .name = { "read", 4 },
      .host = { "desk.example", 12 },
      .prefix = { "/read/", 6 },
      .kind = ROUTE_IDEMPOTENT,
      .timeout_ms = 1500,
      .objective_ms = 300,
      .attempts_max = 2,
      .splits = { { { "app", 3 }, 1 } },
      .split_count = 1 },
    { .name = { "book", 4 },
      .host = { "desk.example", 12 },
      .prefix = { "/book/", 6 },
      .kind = ROUTE_ONCE,
      .timeout_ms = 600,
      .objective_ms = 300,
      .attempts_max = 1,
      .splits = { { { "app", 3 }, 1 } },
      .split_count = 1 },
    { .name = { "chat", 4 },
      .host = { "desk.example", 12 },
      .prefix = { "/chat/", 6 },
      .kind = ROUTE_STREAM,
      .timeout_ms = 3000,
      .objective_ms = 600,
      .pause_ms = 500,
      .attempts_max = 3,
      .resumable = true,
      .splits = { { { "llm", 3 }, 1 } },
      .split_count = 1,
      .models = { { "small", 5 }, { "large", 5 } },
      .model_count = 2 },
    { .name = { "open", 4 },
      .host = { "desk.example", 12 },
      .prefix = { "/open/", 6 },
      .kind = ROUTE_IDEMPOTENT,
      .timeout_ms = 1500,
      .objective_ms = 300,
      .attempts_max = 2,
      .is_public = true,
      .splits = { { { "app", 3 }, 1 } },
      .split_count = 1 },
  };
  static const team_t team = { .name = { "coast", 5 } };
  str_t key;
  uint64_t revision;

  if (!str_to_u64 (str_cut (value, ' ', &key), &revision))
    return VH_E_BAD_FIELD;
  *out = catalog_create (revision);
  for (size_t i = 0; i < sizeof services / sizeof services[0]; i++)
    catalog_add_service (*out, &services[i]);
  for (size_t i = 0; i < sizeof routes / sizeof routes[0]; i++)
    catalog_add_route (*out, &routes[i]);
  catalog_add_team (*out, &team, &key, 1);
  return VH_OK;
}

/* Cut NUMBER of words out of VALUE.  */
static vh_code_t
read_words (str_t value, str_t *words, size_t number)
{
  for (size_t i = 0; i < number; i++)
    {
      if (value.ptr == NULL)
        return VH_E_BAD_FIELD;
      words[i] = str_cut (value, ' ', &value);
    }
  return VH_OK;
}

/* SERVICE VERSION WITHIN_MS.  */
static vh_code_t
read_rollout (str_t value, rollout_order_t *order, void **holder)
{
  str_t words[3];

  *holder = NULL;
  if (read_words (value, words, 3) != VH_OK
      || !str_to_u64 (words[2], &order->within_ms))
    return VH_E_BAD_FIELD;
  order->service = words[0];
  order->version = words[1];
  return VH_OK;
}

/* SERVICE ADDRESS ZONE VERSION STATE.  */
static vh_code_t
read_instance (str_t key, str_t value, upstream_info_t *info, void **holder)
{
  str_t words[5];

  *holder = NULL;
  if (read_words (value, words, 5) != VH_OK)
    return VH_E_BAD_FIELD;
  *info = (upstream_info_t){ .id = key,
                             .service = words[0],
                             .address = words[1],
                             .zone = words[2],
                             .version = words[3],
                             .slots = 32,
                             .draining = str_eq (words[4], STR ("draining")) };
  return VH_OK;
}

static void
free_holder (void *holder)
{
  (void)holder;
}

static void
write_status (str_t service, str_t version, rollout_state_t state, buf_t *key,
              buf_t *value)
{
  static const char *const words[] = { "running", "done", "taken-back" };

  buf_append_str (key, service);
  buf_printf (value, "%.*s %s", STR_ARG (version), words[state]);
}

static const gateway_dialect_t test_dialect = {
  .names = &header_names_default,
  .ready_path = { "/ready", 6 },
  .order_kind = order_kind,
  .read_catalog = read_catalog,
  .read_rollout = read_rollout,
  .read_instance = read_instance,
  .free_holder = free_holder,
  .write_rollout_status = write_status,
};

/* The whole.  */

static void
on_deadline (uv_timer_t *timer)
{
  ((gateway_fixture_t *)timer->data)->expired = true;
}

void
gateway_fixture_limit (gateway_fixture_t *f)
{
  f->expired = false;
  uv_timer_start (&f->deadline, on_deadline, LIMIT_MS, 0);
}

void
gateway_fixture_list (gateway_fixture_t *f, size_t index, const char *version,
                      const char *state)
{
  static const char *const services[] = { "app", "llm" };
  char key[64];
  char value[128];

  for (size_t i = 0; i < 2; i++)
    {
      snprintf (key, sizeof key, "%s-%zu", services[i], index);
      snprintf (value, sizeof value, "%s 127.0.0.1:%u zone-a %s %s",
                services[i], f->upstreams[index]->port, version, state);
      fake_rows_put (f->rows, ROWS_INSTANCES, key, value);
    }
}

void
gateway_fixture_setup (gateway_fixture_t *f, size_t upstreams)
{
  const gateway_options_t options = {
    .name = STR ("gateway-1"),
    .zone = STR ("zone-a"),
    .listen = STR ("127.0.0.1:0"),
    .ready = STR ("127.0.0.1:0"),
    .admin = STR (""),
    .seed = 1,
    .drain_grace_ms = 500,
    .drain_bound_ms = 5000,
    .confirm_ms = 3500,
    .lapse_ms = 2000,
    .retry_ratio = 0.9,
    .retry_slack = 50,
    .retry_window_ms = 10000,
    .cold_factor = 1.5,
    .cold_slack = 5,
  };
  static const act_t answer[] = { ACT_ANSWER };
  char id[32];

  memset (f, 0, sizeof *f);
  uv_loop_init (&f->loop);
  uv_timer_init (&f->loop, &f->deadline);
  f->deadline.data = f;
  f->rows = fake_rows_create (&f->loop);
  fake_rows_put (f->rows, ROWS_ORDERS, "catalog", "1 key-1");
  for (size_t i = 0; i < upstreams; i++)
    {
      snprintf (id, sizeof id, "up-%zu", i);
      f->upstreams[i] = fake_upstream_create (&f->loop, id);
      fake_upstream_script (f->upstreams[i], answer, 1);
      gateway_fixture_list (f, i, "v1", "ready");
    }
  f->upstream_count = upstreams;
  ck_assert_int_eq (gateway_create (&f->loop, clock_system (),
                                    fake_rows_iface (f->rows), &test_dialect,
                                    &options, &f->gateway),
                    VH_OK);
  gateway_fixture_wait (f, gateway_fixture_ready (f) == 200);
}

void
gateway_fixture_teardown (gateway_fixture_t *f)
{
  gateway_destroy (f->gateway);
  f->rows->base.ops->destroy (&f->rows->base);
  for (size_t i = 0; i < f->upstream_count; i++)
    fake_upstream_destroy (f->upstreams[i]);
  uv_close ((uv_handle_t *)&f->deadline, NULL);
  uv_run (&f->loop, UV_RUN_DEFAULT);
  ck_assert_int_eq (uv_loop_close (&f->loop), 0);
}
