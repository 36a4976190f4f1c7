#include "wire/call.h"

#include "base/bound.h"
#include "base/mem.h"
#include "wire/addr.h"
#include "wire/picohttp.h"

#include <stdlib.h>
#include <sys/socket.h>

enum
{
  /* Bounds of an answer's head; servers send some dozen headers.  */
  HEAD_BYTES_MAX = 65536,
  HEADERS_MAX = 100,
  READ_BYTES = 65536
};

typedef enum
{
  BODY_NONE,
  BODY_LENGTH,
  BODY_CHUNKED,
  BODY_TO_END /* Of the connection.  */
} body_kind_t;

struct call
{
  uv_tcp_t tcp;
  uv_connect_t connect;
  uv_write_t write;
  peer_timer_t connecting;
  unsigned open_handles;
  http_exchange_events_t events;
  void *arg;
  buf_t request;
  buf_t input; /* Until the head is whole.  */
  bool connected;
  bool has_head;
  bool no_body;
  bool paused;
  bool closed; /* No further events.  */
  body_kind_t body;
  uint64_t left; /* Of BODY_LENGTH.  */
  struct phr_chunked_decoder decoder;
};

/* All calls of a process read on its one loop thread, one at a time.  */
static char read_bytes[READ_BYTES];

static void
on_part_closed (void *arg)
{
  call_t *call = arg;

  if (--call->open_handles > 0)
    return;
  buf_free (&call->request);
  buf_free (&call->input);
  free (call);
}

static void
on_closed (uv_handle_t *handle)
{
  on_part_closed (handle->data);
}

void
http_exchange_cancel (call_t *call)
{
  if (call->closed)
    return;
  call->closed = true;
  peer_timer_close (&call->connecting, on_part_closed);
  uv_close ((uv_handle_t *)&call->tcp, on_closed);
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

/* Tell how the body of HEAD is framed.  Return false when the head says two
   things at once, as an answer that was spoiled on its way may.  */
static bool
choose_body (call_t *call, const http_exchange_head_t *head)
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
    call->body = BODY_NONE;
  else if (coding.ptr != NULL)
    {
      if (length.ptr != NULL || !str_eq_nocase (coding, STR ("chunked")))
        return false;
      call->body = BODY_CHUNKED;
      call->decoder.consume_trailer = 1;
    }
  else if (length.ptr != NULL)
    {
      call->body = BODY_LENGTH;
      if (!str_to_u64 (length, &call->left))
        return false;
    }
  else
    call->body = BODY_TO_END;
  return true;
}

/* Take in LEN bytes of the body; BYTES is overwritten.  */
static void
take_body (call_t *call, char *bytes, size_t len)
{
  bool whole = false;
  ssize_t rest = 0;

  switch (call->body)
    {
    case BODY_NONE:
      whole = true;
      len = 0;
      break;
    case BODY_LENGTH:
      if (len > call->left)
        len = (size_t)call->left;
      call->left -= len;
      whole = call->left == 0;
      break;
    case BODY_CHUNKED:
      rest = phr_decode_chunked (&call->decoder, bytes, &len);
      whole = rest >= 0;
      break;
    case BODY_TO_END:
      break;
    }
  if (len > 0 && rest != -1)
    call->events.body (call->arg, str_make (bytes, len));
  if (call->closed)
    return;
  if (rest == -1)
    finish (call, VH_E_PROTOCOL);
  else if (whole)
    finish (call, VH_OK);
}

/* Read a head out of the input.  Return its length, 0 when it is not whole
   or the call is over.  */
static size_t
take_head (call_t *call)
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
      /* An interim answer; the real one follows.  */
      buf_consume (&call->input, (size_t)len);
      return take_head (call);
    }
  if (!choose_body (call, &head))
    {
      finish (call, VH_E_PROTOCOL);
      return 0;
    }
  call->has_head = true;
  call->events.head (call->arg, &head);
  return call->closed ? 0 : (size_t)len;
}

static void
on_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
  (void)handle;
  (void)suggested;
  *buf = uv_buf_init (read_bytes, sizeof read_bytes);
}

/* Tell whether the connection was reset behind its end.  A reset that comes
   before the end was read shows as an end like any other, and the socket
   keeps the error: without this look the beginning of an answer that has no
   length would pass for the whole.  */
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
on_read (uv_stream_t *stream, ssize_t got, const uv_buf_t *buf)
{
  call_t *call = stream->data;

  if (got == 0)
    return;
  if (got < 0)
    {
      /* Only a proper end of the connection ends an answer that has no
         length; a reset leaves it incomplete.  */
      bool whole = got == UV_EOF && call->has_head && call->body == BODY_TO_END
                   && !was_reset (call);
      finish (call, whole ? VH_OK : VH_E_UPSTREAM_CUT);
      return;
    }
  if (call->has_head)
    {
      take_body (call, buf->base, (size_t)got);
      return;
    }
  buf_append (&call->input, buf->base, (size_t)got);
  size_t len = take_head (call);
  if (len == 0)
    return;
  /* Also without bytes: a body of length 0 is whole.  */
  if (call->body != BODY_TO_END || call->input.len > len)
    take_body (call, call->input.ptr + len, call->input.len - len);
}

static void
on_written (uv_write_t *write, int status)
{
  call_t *call = write->data;

  (void)status;
  /* A failed write ends with the read that tells the same; a runner that
     answers early may close its side before it has read all.  */
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
  peer_timer_stop (&call->connecting);
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
  peer_timer_init (&call->connecting, loop, on_connect_timeout, call);
  call->tcp.data = call;
  call->connect.data = call;
  call->open_handles = 2;
  peer_timer_start (&call->connecting, connect_ms);
  int status = uv_tcp_connect (&call->connect, &call->tcp,
                               (struct sockaddr *)&addr, on_connected);
  /* Told on a later turn, as every event: by the bound that is there.  */
  if (status != 0)
    peer_timer_start (&call->connecting, 0);
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
