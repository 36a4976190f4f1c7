#include "wire/call.h"

#include "base/bound.h"
#include "base/mem.h"
#include "wire/addr.h"
#include "wire/picohttp.h"

#include <stdlib.h>
#include <sys/socket.h>

enum
{
  /* Limits of a response's head; servers send a few dozen headers.  */
  HEAD_BYTES_MAX = 65536,
  HEADERS_MAX = 100,
  READ_BUFFER_BYTES = 65536
};

typedef enum
{
  BODY_NONE,
  BODY_LENGTH,
  BODY_CHUNKED,
  BODY_UNTIL_CLOSE /* The end of the connection ends the body.  */
} body_framing_t;

struct call
{
  uv_tcp_t tcp;
  uv_connect_t connect;
  uv_write_t write;
  bound_t connect_timeout;
  unsigned open_handles;
  http_exchange_events_t events;
  void *arg;
  buf_t request;
  buf_t input; /* Received bytes of an incomplete response head.  */
  bool connected;
  bool has_response_head;
  bool no_body;
  bool paused;
  bool closed; /* No further events are delivered.  */
  body_framing_t body_framing;
  /* Bytes of the body not received yet; used with BODY_LENGTH only.  */
  uint64_t body_bytes_left;
  struct phr_chunked_decoder decoder;
};

/* Read buffer of all exchanges of the process: they read on its only loop
   thread, one at a time.  */
static char read_buffer[READ_BUFFER_BYTES];

static void
on_handle_released (void *arg)
{
  call_t *call = arg;

  if (--call->open_handles > 0)
    return;
  buf_free (&call->request);
  buf_free (&call->input);
  free (call);
}

static void
on_tcp_closed (uv_handle_t *handle)
{
  on_handle_released (handle->data);
}

void
http_exchange_cancel (call_t *call)
{
  if (call->closed)
    return;
  call->closed = true;
  bound_close (&call->connect_timeout, on_handle_released);
  uv_close ((uv_handle_t *)&call->tcp, on_tcp_closed);
}

static void
finish (call_t *call, vh_code_t code)
{
  if (call->closed)
    return;
  http_exchange_cancel (call);
  call->events.end (call->arg, code);
}

bool
http_exchange_was_sent (const call_t *call)
{
  return call->connected;
}

str_t
http_exchange_header (const http_exchange_head_t *head, str_t name)
{
  for (size_t i = 0; i < head->header_count; i++)
    if (str_eq_nocase (head->headers[i].name, name))
      return head->headers[i].value;
  return STR_NULL;
}

/* Determine from HEAD how the body is framed.  Return false when the headers
   contradict each other, as in a response that was corrupted in transit.  */
static bool
set_body_framing (call_t *call, const http_exchange_head_t *head)
{
  str_t length = STR_NULL;

  for (size_t i = 0; i < head->header_count; i++)
    {
      const httpc_header_t *header = &head->headers[i];
      if (str_eq_nocase (header->name, STR ("content-length")))
        {
          if (length.ptr != NULL && !str_eq (length, header->value))
            return false;
          length = header->value;
        }
    }
  str_t coding = http_exchange_header (head, STR ("transfer-encoding"));
  if (call->no_body || head->status == 204 || head->status == 304)
    call->body_framing = BODY_NONE;
  else if (coding.ptr != NULL)
    {
      if (length.ptr != NULL || !str_eq_nocase (coding, STR ("chunked")))
        return false;
      call->body_framing = BODY_CHUNKED;
      call->decoder.consume_trailer = 1;
    }
  else if (length.ptr != NULL)
    {
      call->body_framing = BODY_LENGTH;
      if (!str_to_u64 (length, &call->body_bytes_left))
        return false;
    }
  else
    call->body_framing = BODY_UNTIL_CLOSE;
  return true;
}

/* Process LEN received bytes of the body.  BYTES is overwritten.  */
static void
process_body (call_t *call, char *bytes, size_t len)
{
  bool is_complete = false;
  ssize_t trailing_len = 0;

  switch (call->body_framing)
    {
    case BODY_NONE:
      is_complete = true;
      len = 0;
      break;
    case BODY_LENGTH:
      if (len > call->body_bytes_left)
        len = (size_t)call->body_bytes_left;
      call->body_bytes_left -= len;
      is_complete = call->body_bytes_left == 0;
      break;
    case BODY_CHUNKED:
      trailing_len = phr_decode_chunked (&call->decoder, bytes, &len);
      is_complete = trailing_len >= 0;
      break;
    case BODY_UNTIL_CLOSE:
      break;
    }
  if (len > 0 && trailing_len != -1)
    call->events.body (call->arg, str_make (bytes, len));
  if (call->closed)
    return;
  if (trailing_len == -1)
    finish (call, VH_E_PROTOCOL);
  else if (is_complete)
    finish (call, VH_OK);
}

/* Parse the response head in the input.  Return its length, or 0 when the head
   is incomplete or the exchange has ended.  */
static size_t
process_head (call_t *call)
{
  struct phr_header parsed[HEADERS_MAX];
  httpc_header_t headers[HEADERS_MAX];
  http_exchange_head_t head = { 0, headers, HEADERS_MAX };
  const char *reason;
  size_t reason_len;
  int minor;
  int len = phr_parse_response (call->input.ptr, call->input.len, &minor,
                                &head.status, &reason, &reason_len, parsed,
                                &head.header_count, 0);

  if (len == -1 || (len == -2 && call->input.len > HEAD_BYTES_MAX))
    {
      finish (call, VH_E_PROTOCOL);
      return 0;
    }
  if (len == -2)
    return 0;
  for (size_t i = 0; i < head.header_count; i++)
    {
      headers[i].name = str_make (parsed[i].name, parsed[i].name_len);
      headers[i].value = str_make (parsed[i].value, parsed[i].value_len);
    }
  if (head.status >= 100 && head.status < 200 && head.status != 101)
    {
      /* An interim response (1xx); the final one follows.  */
      buf_consume (&call->input, (size_t)len);
      return process_head (call);
    }
  if (!set_body_framing (call, &head))
    {
      finish (call, VH_E_PROTOCOL);
      return 0;
    }
  call->has_response_head = true;
  call->events.head (call->arg, &head);
  return call->closed ? 0 : (size_t)len;
}

static void
on_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
  (void)handle;
  (void)suggested;
  *buf = uv_buf_init (read_buffer, sizeof read_buffer);
}

/* Return whether the connection was reset although the read reported its end.
   A reset that arrives before the end is read is reported as a normal end, and
   only the socket's pending error shows the reset.  Without this check the
   first part of a response without a length is taken for a complete one.  */
static bool
was_reset (const call_t *call)
{
  uv_os_fd_t fd;
  int error = 0;
  socklen_t len = sizeof error;

  if (uv_fileno ((const uv_handle_t *)&call->tcp, &fd) != 0
      || getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &len) != 0)
    return true;
  return error != 0;
}

static void
on_read (uv_stream_t *stream, ssize_t read_len, const uv_buf_t *buf)
{
  call_t *call = stream->data;

  if (read_len == 0)
    return;
  if (read_len < 0)
    {
      /* A response without a length is complete only when the connection
         was closed normally; after a reset it is incomplete.  */
      bool is_complete = read_len == UV_EOF && call->has_response_head
                         && call->body_framing == BODY_UNTIL_CLOSE
                         && !was_reset (call);
      finish (call, is_complete ? VH_OK : VH_E_UPSTREAM_CUT);
      return;
    }
  if (call->has_response_head)
    {
      process_body (call, buf->base, (size_t)read_len);
      return;
    }
  buf_append (&call->input, buf->base, (size_t)read_len);
  size_t len = process_head (call);
  if (len == 0)
    return;
  /* Needed without further bytes too: a body of length 0 is complete.  */
  if (call->body_framing != BODY_UNTIL_CLOSE || call->input.len > len)
    process_body (call, call->input.ptr + len, call->input.len - len);
}

static void
on_written (uv_write_t *write, int status)
{
  call_t *call = write->data;

  (void)status;
  /* A failed write is not reported here: the read fails too and ends the
     exchange.  A server that responds early may close the connection before it
     has read the whole request.  */
  buf_free (&call->request);
}

static void
on_connected (uv_connect_t *connect, int status)
{
  call_t *call = connect->data;

  if (call->closed)
    return;
  if (status != 0)
    {
      finish (call, VH_E_CONNECT);
      return;
    }
  bound_stop (&call->connect_timeout);
  call->connected = true;
  uv_tcp_nodelay (&call->tcp, 1);
  if (!call->paused)
    uv_read_start ((uv_stream_t *)&call->tcp, on_alloc, on_read);
  uv_buf_t buf = uv_buf_init (call->request.ptr, (unsigned)call->request.len);
  call->write.data = call;
  if (uv_write (&call->write, (uv_stream_t *)&call->tcp, &buf, 1, on_written)
      != 0)
    finish (call, VH_E_UPSTREAM_CUT);
}

static void
on_connect_timeout (void *arg)
{
  finish (arg, VH_E_CONNECT);
}

call_t *
http_exchange_start (uv_loop_t *loop, str_t address, buf_t *request,
                     uint64_t connect_ms, bool no_body,
                     const http_exchange_events_t *events, void *arg)
{
  struct sockaddr_storage addr;
  socklen_t addr_len;

  if (!addr_parse (address, &addr, &addr_len))
    {
      buf_free (request);
      return NULL;
    }
  call_t *call = mem_zalloc (sizeof *call);
  call->events = *events;
  call->arg = arg;
  call->no_body = no_body;
  call->request = *request;
  *request = BUF_NULL;
  uv_tcp_init (loop, &call->tcp);
  bound_init (&call->connect_timeout, loop, on_connect_timeout, call);
  call->tcp.data = call;
  call->connect.data = call;
  call->open_handles = 2;
  bound_start (&call->connect_timeout, connect_ms);
  int status = uv_tcp_connect (&call->connect, &call->tcp,
                               (struct sockaddr *)&addr, on_connected);
  /* All events are delivered on a later turn of the loop; the connect timeout
     reports this failure.  */
  if (status != 0)
    bound_start (&call->connect_timeout, 0);
  return call;
}

void
http_exchange_pause (call_t *call)
{
  call->paused = true;
  if (call->connected && !call->closed)
    uv_read_stop ((uv_stream_t *)&call->tcp);
}

void
http_exchange_resume (call_t *call)
{
  call->paused = false;
  if (call->connected && !call->closed)
    uv_read_start ((uv_stream_t *)&call->tcp, on_alloc, on_read);
}
