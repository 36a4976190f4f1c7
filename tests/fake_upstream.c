#include "fake_upstream.h"

#include "base/mem.h"
#include "base/rng.h"
#include "loopback.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  ACTIONS_MAX = 16,
  CRASH_ARRIVALS_MAX = 256,
  STREAM_EVENTS = 5
};

struct fake_upstream
{
  uv_loop_t *loop;
  char *id;
  const header_names_t *names;
  fake_upstream_arrival_cb_t arrival_cb; /* NULL: none.  */
  void *arrival_arg;
  /* The socket that listens.  After a crash, the other one is bound to the
     port without listening, so that the port stays taken and connections are
     refused.  */
  uv_tcp_t listeners[2];
  size_t listener;
  bool is_silent;
  uint16_t port;
  fake_action_t actions[ACTIONS_MAX];
  size_t action_count;
  size_t next_action;
  rng_t rng;
  fake_action_t share_action; /* Reaction to SHARE of the requests.  */
  double share;
  fake_action_t last_action;
  size_t endless_bytes; /* Bytes of a part of an endless response.  */
  char *rate_limit;     /* Value of the rate limit header; NULL: none.  */
  char *headers;        /* Further header lines; NULL: none.  */
  uint64_t *arrivals_ms;
  size_t arrivals_capacity;
  size_t requests;
  size_t abort_count;
  buf_t last_request;
  list_t conns;
  char *crash_text; /* Text in a request that crashes it; NULL: none.  */
  uint64_t crash_delay_ms;
  uint64_t crash_arrivals_ms[CRASH_ARRIVALS_MAX];
  size_t crash_arrival_count;
  uv_timer_t crash_timer;
  bool has_crashed;
  unsigned open_handles;
};

typedef struct
{
  list_t link;
  fake_upstream_t *upstream;
  uv_tcp_t tcp;
  uv_timer_t timer; /* Ends the pause of ACT_STREAM_PAUSE, or that before the
                       next event of ACT_STREAM_SLOW, or sends the next part of
                       an endless response.  */
  uint64_t sent_events; /* Id of the last event of ACT_STREAM_SLOW.  */
  fake_action_t action;
  size_t event_bytes; /* Bytes, in chunks, of the event of ACT_ENDLESS_EVENTS
                         that is being sent.  */
  uint64_t pause_end_ms; /* End of the comments of ACT_STREAM_COMMENTED.  */
  unsigned open_handles;
  buf_t input;
  bool has_answered;
  bool is_closing;
} conn_t;

typedef struct
{
  uv_write_t write;
  char *bytes;
} pending_write_t;

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
  if (conn->is_closing)
    return;
  conn->is_closing = true;
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
  pending_write_t *pending = (pending_write_t *)write;

  (void)status;
  free (pending->bytes);
  free (pending);
}

static void
conn_send (conn_t *conn, const buf_t *bytes)
{
  pending_write_t *pending = mem_zalloc (sizeof *pending);

  pending->bytes = str_dup (buf_str (bytes));
  uv_buf_t buf = uv_buf_init (pending->bytes, (unsigned)bytes->len);
  uv_write (&pending->write, (uv_stream_t *)&conn->tcp, &buf, 1, on_sent);
}

/* Return the value of header NAME in the request on CONN, or STR_NULL.  */
static str_t
request_header (const conn_t *conn, const char *name)
{
  str_t rest = buf_str (&conn->input);

  while (rest.ptr != NULL)
    {
      str_t line = str_cut (rest, '\n', &rest);
      str_t value;
      str_t field = str_cut (line, ':', &value);
      if (value.ptr != NULL && str_eq_nocase (field, str_from (name)))
        return str_trim (value);
    }
  return STR_NULL;
}

static void
append_chunk (buf_t *out, const char *text)
{
  buf_printf (out, "%zx\r\n%s\r\n", strlen (text), text);
}

/* Append the events with IDs AFTER + 1 to LAST as chunks.  */
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
append_head (const conn_t *conn, const char *status, buf_t *out)
{
  const header_names_t *names = conn->upstream->names;

  buf_printf (out, "HTTP/1.1 %s\r\n%.*s: %.*s\r\n%.*s: mac-of-%s\r\n", status,
              STR_ARG (names->attempt_id),
              STR_ARG (request_header (conn, names->attempt_id.ptr)),
              STR_ARG (names->answer_mac), conn->upstream->id);
  if (conn->upstream->rate_limit != NULL)
    buf_printf (out, "%.*s: %s\r\n", STR_ARG (names->rate_limit),
                conn->upstream->rate_limit);
  if (conn->upstream->headers != NULL)
    buf_append_str (out, str_from (conn->upstream->headers));
}

static void
append_big_event (unsigned id, buf_t *out)
{
  buf_t event = BUF_NULL;

  buf_printf (&event, "id: %u\ndata: ", id);
  buf_reserve (&event, BIG_EVENT_BYTES);
  memset (event.ptr + event.len, 'x', BIG_EVENT_BYTES);
  event.len += BIG_EVENT_BYTES;
  buf_append (&event, "\n\n", 3);
  append_chunk (out, event.ptr);
  buf_free (&event);
}

static void
append_stream_head (conn_t *conn, fake_action_t action, buf_t *out)
{
  append_head (conn, "200 OK", out);
  if (action == ACT_STREAM_LOW_CONFIDENCE)
    buf_printf (out, "%.*s: 10\r\n",
                STR_ARG (conn->upstream->names->confidence));
  buf_append_str (out, STR ("Transfer-Encoding: chunked\r\n\r\n"));
}

/* Send the whole stream at the end of the pause.  */
static void
on_late_timer (uv_timer_t *timer)
{
  conn_t *conn = timer->data;
  buf_t out = BUF_NULL;

  append_stream_head (conn, ACT_STREAM_LATE, &out);
  append_events (0, STREAM_EVENTS, &out);
  buf_append_str (&out, STR ("0\r\n\r\n"));
  conn->has_answered = true;
  conn_send (conn, &out);
  buf_free (&out);
}

/* Send the events after the second one at the end of the pause.  */
static void
on_pause_timer (uv_timer_t *timer)
{
  conn_t *conn = timer->data;
  buf_t out = BUF_NULL;

  append_events (2, STREAM_EVENTS, &out);
  buf_append_str (&out, STR ("0\r\n\r\n"));
  conn->has_answered = true;
  conn_send (conn, &out);
  buf_free (&out);
}

/* Return the text that the endless response ACTION repeats.  */
static str_t
endless_unit (fake_action_t action)
{
  switch (action)
    {
    case ACT_ENDLESS_HEADER_LINES:
    case ACT_ENDLESS_TRAILERS:
      return STR ("x-more: y\r\n");
    case ACT_ENDLESS_INTERIM:
      return STR ("HTTP/1.1 100 Continue\r\n\r\n");
    case ACT_ENDLESS_CHUNK_SIZE:
      return STR ("0");
    case ACT_ENDLESS_EVENT:
    case ACT_ENDLESS_EVENTS:
    case ACT_ENDLESS_EVENT_LATER:
    case ACT_ENDLESS_COMMENT:
      return STR ("10\r\nxxxxxxxxxxxxxxxx\r\n");
    case ACT_ENDLESS_COMMENTS:
    case ACT_ENDLESS_COMMENTS_LATER:
    case ACT_STREAM_COMMENTED:
      return STR ("5\r\n: c\n\n\r\n");
    default:
      return STR ("x");
    }
}

static void
on_endless_timer (uv_timer_t *timer)
{
  conn_t *conn = timer->data;
  str_t unit = endless_unit (conn->action);
  buf_t out = BUF_NULL;

  if (conn->pause_end_ms != 0
      && uv_now (conn->upstream->loop) >= conn->pause_end_ms)
    {
      uv_timer_stop (timer);
      on_pause_timer (timer);
      return;
    }
  if (uv_stream_get_write_queue_size ((uv_stream_t *)&conn->tcp) > 0)
    return;
  do
    buf_append_str (&out, unit);
  while (out.len + unit.len <= conn->upstream->endless_bytes);
  conn->event_bytes += out.len;
  if (conn->action == ACT_ENDLESS_EVENTS
      && conn->event_bytes > BIG_EVENT_BYTES)
    {
      append_chunk (&out, "\n\ndata: ");
      conn->event_bytes = 0;
    }
  conn_send (conn, &out);
  buf_free (&out);
}

/* Send the next event of ACT_STREAM_SLOW.  */
static void
on_event_timer (uv_timer_t *timer)
{
  conn_t *conn = timer->data;
  buf_t out = BUF_NULL;

  append_events (conn->sent_events, conn->sent_events + 1, &out);
  if (++conn->sent_events >= STREAM_LONG_EVENTS)
    {
      buf_append_str (&out, STR ("0\r\n\r\n"));
      conn->has_answered = true;
      uv_timer_stop (timer);
    }
  conn_send (conn, &out);
  buf_free (&out);
}

/* Begin an endless response, or the comments of ACT_STREAM_COMMENTED.  */
static void
conn_send_endless (conn_t *conn, fake_action_t action, buf_t *out)
{
  switch (action)
    {
    case ACT_ENDLESS_HEADER_LINE:
      buf_append_str (out, STR ("HTTP/1.1 200 OK\r\nx-line: "));
      break;
    case ACT_ENDLESS_HEADER_LINES:
      buf_append_str (out, STR ("HTTP/1.1 200 OK\r\n"));
      break;
    case ACT_ENDLESS_INTERIM:
      break;
    case ACT_ENDLESS_BODY:
      append_head (conn, "200 OK", out);
      buf_append_str (out, STR ("\r\n"));
      break;
    default:
      append_stream_head (conn, action, out);
    }
  if (action == ACT_ENDLESS_CHUNK_EXTENSION)
    buf_append_str (out, STR ("5;"));
  else if (action == ACT_ENDLESS_EVENT)
    append_chunk (out, "id: 1\ndata: ");
  else if (action == ACT_ENDLESS_EVENTS)
    append_chunk (out, "data: ");
  else if (action == ACT_ENDLESS_COMMENT)
    append_chunk (out, ": ");
  else if (action == ACT_ENDLESS_EVENT_LATER)
    {
      append_events (0, 2, out);
      append_chunk (out, "id: 3\ndata: ");
    }
  else if (action == ACT_ENDLESS_COMMENTS_LATER
           || action == ACT_STREAM_COMMENTED)
    append_events (0, 2, out);
  else if (action == ACT_ENDLESS_TRAILERS)
    {
      append_events (0, STREAM_EVENTS, out);
      buf_append_str (out, STR ("0\r\n"));
    }
  conn->action = action;
  if (action == ACT_STREAM_COMMENTED)
    conn->pause_end_ms = uv_now (conn->upstream->loop) + STREAM_PAUSE_MS;
  if (out->len > 0)
    conn_send (conn, out);
  uv_timer_start (&conn->timer, on_endless_timer, ENDLESS_INTERVAL_MS,
                  ENDLESS_INTERVAL_MS);
}

static void
conn_stream (conn_t *conn, fake_action_t action, buf_t *out)
{
  uint64_t after = 0;

  if (action == ACT_STREAM_LATE)
    {
      uv_timer_start (&conn->timer, on_late_timer, STREAM_PAUSE_MS, 0);
      return;
    }
  str_to_u64 (request_header (conn, "last-event-id"), &after);
  append_stream_head (conn, action, out);
  bool is_complete
      = action == ACT_STREAM || action == ACT_STREAM_LOW_CONFIDENCE
        || action == ACT_STREAM_BIG_EVENT || action == ACT_STREAM_LONG;
  if (action == ACT_STREAM_BIG_EVENT)
    append_big_event (1, out);
  else if (action == ACT_STREAM_BIG_STALL)
    for (unsigned id = 1; id <= 4; id++)
      append_big_event (id, out);
  else if (action == ACT_STREAM_LONG)
    append_events (after, STREAM_LONG_EVENTS, out);
  else if (action != ACT_STREAM_SLOW)
    append_events (after, is_complete ? STREAM_EVENTS : 2, out);
  if (is_complete)
    buf_append_str (out, STR ("0\r\n\r\n"));
  else if (action == ACT_STREAM_CUT_IN_EVENT)
    append_chunk (out, "id: 3\ndata: ha");
  conn_send (conn, out);
  conn->has_answered = action != ACT_STREAM_STALL && action != ACT_STREAM_PAUSE
                       && action != ACT_STREAM_BIG_STALL
                       && action != ACT_STREAM_SLOW;
  conn->sent_events = after;
  if (action == ACT_STREAM_SLOW)
    uv_timer_start (&conn->timer, on_event_timer, STREAM_SLOW_GAP_MS,
                    STREAM_SLOW_GAP_MS);
  if (action == ACT_STREAM_PAUSE)
    uv_timer_start (&conn->timer, on_pause_timer, STREAM_PAUSE_MS, 0);
  if (action == ACT_STREAM_CUT_IN_EVENT)
    conn_close (conn, false);
}

static void
conn_respond (conn_t *conn, fake_action_t action)
{
  fake_upstream_t *upstream = conn->upstream;
  buf_t out = BUF_NULL;

  switch (action)
    {
    case ACT_RESPOND:
      append_head (conn, "200 OK", &out);
      buf_printf (&out, "Content-Length: %zu\r\n\r\nby %s",
                  3 + strlen (upstream->id), upstream->id);
      break;
    case ACT_MANY_HEADERS:
      buf_append_str (&out, STR ("HTTP/1.1 200 OK\r\n"));
      for (int i = 0; i < MANY_HEADERS; i++)
        buf_printf (&out, "x-%d: y\r\n", i);
      buf_printf (&out, "%.*s: mac-of-%s\r\nContent-Length: 4\r\n\r\nmany",
                  STR_ARG (upstream->names->answer_mac), upstream->id);
      break;
    case ACT_ERROR:
      append_head (conn, "500 Oops", &out);
      buf_append_str (&out, STR ("Content-Length: 4\r\n\r\noops"));
      break;
    case ACT_BUSY:
      append_head (conn, "503 Busy", &out);
      buf_append_str (&out, STR ("Content-Length: 4\r\n\r\nbusy"));
      break;
    case ACT_REFUSE_NOT_RUN:
      buf_printf (
          &out, "HTTP/1.1 503 Full\r\n%.*s: 1\r\n%sContent-Length: 0\r\n\r\n",
          STR_ARG (upstream->names->not_run),
          upstream->headers != NULL ? upstream->headers : "");
      break;
    case ACT_TRUNCATE_BODY:
      append_head (conn, "200 OK", &out);
      buf_append_str (&out, STR ("Content-Length: 100\r\n\r\nhalf"));
      break;
    case ACT_OTHER_ATTEMPT_ID:
      buf_printf (&out,
                  "HTTP/1.1 200 OK\r\n%.*s: another\r\n%.*s: m\r\n"
                  "Content-Length: 5\r\n\r\nother",
                  STR_ARG (upstream->names->attempt_id),
                  STR_ARG (upstream->names->answer_mac));
      break;
    case ACT_NO_MAC:
      buf_append_str (&out,
                      STR ("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno"));
      break;
    case ACT_NO_RESPONSE:
      goto done;
    case ACT_RESET:
      conn->has_answered = true;
      conn_close (conn, true);
      goto done;
    default:
      if (action >= ACT_ENDLESS_HEADER_LINE)
        conn_send_endless (conn, action, &out);
      else
        conn_stream (conn, action, &out);
      goto done;
    }
  conn->has_answered = true;
  conn_send (conn, &out);
  if (action == ACT_TRUNCATE_BODY)
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

/* Return whether the input of CONN has a complete request.  */
static bool
is_request_complete (conn_t *conn)
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
record_arrival (fake_upstream_t *upstream)
{
  if (upstream->requests == upstream->arrivals_capacity)
    {
      upstream->arrivals_capacity = upstream->arrivals_capacity > 0
                                        ? 2 * upstream->arrivals_capacity
                                        : 64;
      upstream->arrivals_ms = mem_realloc (
          upstream->arrivals_ms,
          upstream->arrivals_capacity * sizeof *upstream->arrivals_ms);
    }
  upstream->arrivals_ms[upstream->requests++] = uv_now (upstream->loop);
}

void
fake_upstream_crash (fake_upstream_t *upstream)
{
  if (upstream->has_crashed)
    return;
  upstream->has_crashed = true;
  uv_close ((uv_handle_t *)&upstream->listeners[upstream->listener], NULL);
  LIST_EACH (at, &upstream->conns)
    conn_close (CONTAINER_OF (at, conn_t, link), true);
  upstream->listener = 1 - upstream->listener;
  loopback_bind_port (upstream->loop, &upstream->listeners[upstream->listener],
                      upstream, upstream->port);
}

static void
on_crash_due (uv_timer_t *timer)
{
  fake_upstream_crash (timer->data);
}

/* Handle a request that crashes UPSTREAM.  */
static void
start_crash (fake_upstream_t *upstream)
{
  ck_assert_uint_lt (upstream->crash_arrival_count, CRASH_ARRIVALS_MAX);
  upstream->crash_arrivals_ms[upstream->crash_arrival_count++]
      = uv_now (upstream->loop);
  if (!uv_is_active ((uv_handle_t *)&upstream->crash_timer))
    uv_timer_start (&upstream->crash_timer, on_crash_due,
                    upstream->crash_delay_ms, 0);
}

static void
on_conn_read (uv_stream_t *stream, ssize_t got, const uv_buf_t *buf)
{
  conn_t *conn = stream->data;
  fake_upstream_t *upstream = conn->upstream;

  if (got < 0)
    {
      if (!conn->has_answered && conn->input.len > 0)
        upstream->abort_count++;
      conn_close (conn, false);
      return;
    }
  if (conn->has_answered)
    return;
  buf_append (&conn->input, buf->base, (size_t)got);
  if (!is_request_complete (conn))
    return;
  record_arrival (upstream);
  upstream->last_request.len = 0;
  buf_append_str (&upstream->last_request, buf_str (&conn->input));
  buf_append_char (&upstream->last_request, '\0');
  bool is_crash
      = upstream->crash_text != NULL
        && strstr (upstream->last_request.ptr, upstream->crash_text) != NULL;
  fake_action_t action = upstream->actions[upstream->next_action];
  if (upstream->share > 0 && rng_double (&upstream->rng) < upstream->share)
    action = upstream->share_action;
  upstream->last_action = action;
  if (upstream->arrival_cb != NULL)
    upstream->arrival_cb (
        upstream->arrival_arg, upstream,
        request_header (conn, upstream->names->attempt_id.ptr),
        is_crash || action != ACT_REFUSE_NOT_RUN);
  if (is_crash)
    {
      start_crash (upstream);
      return;
    }
  if (upstream->next_action + 1 < upstream->action_count)
    upstream->next_action++;
  conn_respond (conn, action);
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
  upstream->names = &header_names_default;
  upstream->action_count = 1;
  list_init (&upstream->conns);
  uv_timer_init (loop, &upstream->crash_timer);
  upstream->crash_timer.data = upstream;
  upstream->port = loopback_listen (loop, &upstream->listeners[0], upstream,
                                    on_upstream_accept);
  return upstream;
}

static void
on_upstream_closed (uv_handle_t *handle)
{
  fake_upstream_t *upstream = handle->data;

  if (--upstream->open_handles > 0)
    return;
  free (upstream->id);
  free (upstream->rate_limit);
  free (upstream->headers);
  free (upstream->arrivals_ms);
  free (upstream->crash_text);
  buf_free (&upstream->last_request);
  free (upstream);
}

void
fake_upstream_destroy (fake_upstream_t *upstream)
{
  LIST_EACH (at, &upstream->conns)
    conn_close (CONTAINER_OF (at, conn_t, link), false);
  upstream->open_handles = upstream->is_silent ? 1 : 2;
  uv_close ((uv_handle_t *)&upstream->crash_timer, on_upstream_closed);
  if (!upstream->is_silent)
    uv_close ((uv_handle_t *)&upstream->listeners[upstream->listener],
              on_upstream_closed);
}

void
fake_upstream_crash_on (fake_upstream_t *upstream, const char *text,
                        uint64_t delay_ms)
{
  upstream->crash_text = str_dup (str_from (text));
  upstream->crash_delay_ms = delay_ms;
}

bool
fake_upstream_has_crashed (const fake_upstream_t *upstream)
{
  return upstream->has_crashed;
}

bool
fake_upstream_is_crashing (const fake_upstream_t *upstream)
{
  return uv_is_active ((const uv_handle_t *)&upstream->crash_timer) != 0;
}

void
fake_upstream_restart (fake_upstream_t *upstream)
{
  uv_tcp_t *listener = &upstream->listeners[upstream->listener];

  upstream->has_crashed = false;
  ck_assert_int_eq (
      uv_listen ((uv_stream_t *)listener, SOMAXCONN, on_upstream_accept), 0);
}

const uint64_t *
fake_upstream_crash_arrivals_ms (const fake_upstream_t *upstream,
                                 size_t *count)
{
  *count = upstream->crash_arrival_count;
  return upstream->crash_arrivals_ms;
}

void
fake_upstream_go_silent (fake_upstream_t *upstream)
{
  upstream->is_silent = true;
  uv_close ((uv_handle_t *)&upstream->listeners[upstream->listener], NULL);
  LIST_EACH (at, &upstream->conns)
    uv_timer_stop (&CONTAINER_OF (at, conn_t, link)->timer);
}

void
fake_upstream_script (fake_upstream_t *upstream, const fake_action_t *actions,
                      size_t count)
{
  memcpy (upstream->actions, actions, count * sizeof *actions);
  upstream->action_count = count;
  upstream->next_action = 0;
}

void
fake_upstream_set_share (fake_upstream_t *upstream, fake_action_t action,
                         double share)
{
  upstream->rng = rng_make (upstream->port);
  upstream->share_action = action;
  upstream->share = share;
}

void
fake_upstream_set_endless_bytes (fake_upstream_t *upstream, size_t bytes)
{
  upstream->endless_bytes = bytes;
}

fake_action_t
fake_upstream_last_action (const fake_upstream_t *upstream)
{
  return upstream->last_action;
}

void
fake_upstream_set_names (fake_upstream_t *upstream,
                         const header_names_t *names)
{
  upstream->names = names;
}

void
fake_upstream_set_arrival_cb (fake_upstream_t *upstream,
                              fake_upstream_arrival_cb_t cb, void *arg)
{
  upstream->arrival_cb = cb;
  upstream->arrival_arg = arg;
}

void
fake_upstream_set_rate_limit (fake_upstream_t *upstream, const char *text)
{
  free (upstream->rate_limit);
  upstream->rate_limit = text != NULL ? str_dup (str_from (text)) : NULL;
}

void
fake_upstream_set_headers (fake_upstream_t *upstream, const char *lines)
{
  free (upstream->headers);
  upstream->headers = lines != NULL ? str_dup (str_from (lines)) : NULL;
}

const uint64_t *
fake_upstream_arrivals_ms (const fake_upstream_t *upstream)
{
  return upstream->arrivals_ms;
}

size_t
fake_upstream_request_count (const fake_upstream_t *upstream)
{
  return upstream->requests;
}

const char *
fake_upstream_last_request (const fake_upstream_t *upstream)
{
  return upstream->last_request.ptr;
}

size_t
fake_upstream_abort_count (const fake_upstream_t *upstream)
{
  return upstream->abort_count;
}

uint16_t
fake_upstream_port (const fake_upstream_t *upstream)
{
  return upstream->port;
}
