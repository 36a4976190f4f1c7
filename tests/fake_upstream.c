#include "fake_upstream.h"

#include "base/mem.h"
#include "gateway/header_names.h"
#include "loopback.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  ACTS_MAX = 16,
  EVENTS = 5
};

struct fake_upstream
{
  uv_loop_t *loop;
  char *id;
  uv_tcp_t listener;
  bool vanished;
  uint16_t port;
  fake_action_t acts[ACTS_MAX];
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
  uv_timer_t timer; /* Of a pause.  */
  unsigned open_handles;
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

  if (--conn->open_handles > 0)
    return;
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
  uv_close ((uv_handle_t *)&conn->timer, on_conn_closed);
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

/* Append the events after AFTER, up to LAST.  */
static void
append_events (uint64_t after, uint64_t last, buf_t *out)
{
  char event[64];

  for (uint64_t id = after + 1; id <= last; id++)
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

/* The pause of CONN's stream is over: the events after the second.  */
static void
on_pause_over (uv_timer_t *timer)
{
  conn_t *conn = timer->data;
  buf_t out = BUF_NULL;

  append_events (2, EVENTS, &out);
  buf_append_str (&out, STR ("0\r\n\r\n"));
  conn->answered = true;
  conn_send (conn, &out);
  buf_free (&out);
}

static void
conn_stream (conn_t *conn, fake_action_t act, buf_t *out)
{
  uint64_t after = 0;

  str_to_u64 (request_header (conn, "last-event-id"), &after);
  start_head (conn, "200 OK", out);
  if (act == ACT_STREAM_LOW_CONFIDENCE)
    buf_printf (out, "%.*s: 10\r\n",
                STR_ARG (header_names_default.confidence));
  buf_append_str (out, STR ("Transfer-Encoding: chunked\r\n\r\n"));
  bool whole = act == ACT_STREAM || act == ACT_STREAM_LOW_CONFIDENCE
               || act == ACT_STREAM_BIG_EVENT;
  if (act == ACT_STREAM_BIG_EVENT)
    append_big_event (out);
  else
    append_events (after, whole ? EVENTS : 2, out);
  if (whole)
    buf_append_str (out, STR ("0\r\n\r\n"));
  else if (act == ACT_STREAM_CUT_IN_EVENT)
    append_chunk (out, "id: 3\ndata: ha");
  conn_send (conn, out);
  conn->answered = act != ACT_STREAM_STALL && act != ACT_STREAM_PAUSE;
  if (act == ACT_STREAM_PAUSE)
    uv_timer_start (&conn->timer, on_pause_over, PAUSE_MS, 0);
  if (act == ACT_STREAM_CUT_IN_EVENT)
    conn_close (conn, false);
}

static void
conn_answer (conn_t *conn, fake_action_t act)
{
  fake_upstream_t *upstream = conn->upstream;
  buf_t out = BUF_NULL;

  switch (act)
    {
    case ACT_RESPOND:
      start_head (conn, "200 OK", &out);
      buf_printf (&out, "Content-Length: %zu\r\n\r\nby %s",
                  3 + strlen (upstream->id), upstream->id);
      break;
    case ACT_ERROR:
      start_head (conn, "500 Oops", &out);
      buf_append_str (&out, STR ("Content-Length: 4\r\n\r\noops"));
      break;
    case ACT_REFUSE_NOT_RUN:
      buf_printf (&out,
                  "HTTP/1.1 503 Full\r\n%.*s: 1\r\nContent-Length: 0\r\n\r\n",
                  STR_ARG (header_names_default.not_run));
      break;
    case ACT_TRUNCATE_BODY:
      start_head (conn, "200 OK", &out);
      buf_append_str (&out, STR ("Content-Length: 100\r\n\r\nhalf"));
      break;
    case ACT_OTHER_ATTEMPT_ID:
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
    case ACT_NO_RESPONSE:
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
  if (act == ACT_TRUNCATE_BODY)
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
      if (!conn->answered && conn->input.len > 0)
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
  fake_action_t act = upstream->acts[upstream->act_at];
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
  uv_timer_init (upstream->loop, &conn->timer);
  conn->timer.data = conn;
  conn->open_handles = 2;
  uv_accept (listener, (uv_stream_t *)&conn->tcp);
  uv_read_start ((uv_stream_t *)&conn->tcp, on_conn_alloc, on_conn_read);
}

fake_upstream_t *
fake_upstream_create (uv_loop_t *loop, const char *id)
{
  fake_upstream_t *upstream = mem_zalloc (sizeof *upstream);

  upstream->loop = loop;
  upstream->id = str_dup (str_from (id));
  upstream->act_count = 1;
  list_init (&upstream->conns);
  upstream->port = loopback_listen (loop, &upstream->listener, upstream,
                                    on_upstream_accept);
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
  if (upstream->vanished)
    on_listener_closed ((uv_handle_t *)&upstream->listener);
  else
    uv_close ((uv_handle_t *)&upstream->listener, on_listener_closed);
}

void
fake_upstream_go_silent (fake_upstream_t *upstream)
{
  upstream->vanished = true;
  uv_close ((uv_handle_t *)&upstream->listener, NULL);
  LIST_EACH (at, &upstream->conns)
    uv_timer_stop (&CONTAINER_OF (at, conn_t, link)->timer);
}

void
fake_upstream_script (fake_upstream_t *upstream, const fake_action_t *acts,
                      size_t count)
{
  memcpy (upstream->acts, acts, count * sizeof *acts);
  upstream->act_count = count;
  upstream->act_at = 0;
}

size_t
fake_upstream_request_count (const fake_upstream_t *upstream)
{
  return upstream->requests;
}

const char *
fake_upstream_last_request (const fake_upstream_t *upstream)
{
  return upstream->last.ptr;
}

size_t
fake_upstream_abort_count (const fake_upstream_t *upstream)
{
  return upstream->abandoned;
}

uint16_t
fake_upstream_port (const fake_upstream_t *upstream)
{
  return upstream->port;
}
