#include "caller.h"

#include <stdio.h>
#include <string.h>

enum
{
  SMALL_RECEIVE_BUFFER_BYTES = 4096
};

static void
on_caller_alloc (uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
  static char bytes[65536];

  (void)handle;
  (void)size;
  *buf = uv_buf_init (bytes, sizeof bytes);
}

static void
on_caller_closed (uv_handle_t *handle)
{
  ((caller_t *)handle->data)->closed = true;
}

static void
on_caller_read (uv_stream_t *stream, ssize_t read_len, const uv_buf_t *buf)
{
  caller_t *caller = stream->data;

  if (read_len >= 0)
    {
      buf_append (&caller->response, buf->base, (size_t)read_len);
      buf_append_char (&caller->response, '\0');
      caller->response.len--;
      return;
    }
  caller->has_error = read_len != UV_EOF;
  caller_disconnect (caller);
}

static void
on_caller_connected (uv_connect_t *connect, int status)
{
  caller_t *caller = connect->data;

  if (status != 0)
    {
      caller->has_error = true;
      caller_disconnect (caller);
      return;
    }
  uv_buf_t buf
      = uv_buf_init (caller->request.ptr, (unsigned)caller->request.len);
  uv_write (&caller->write, (uv_stream_t *)&caller->tcp, &buf, 1, NULL);
  if (!caller->reads_nothing)
    uv_read_start ((uv_stream_t *)&caller->tcp, on_caller_alloc,
                   on_caller_read);
}

void
caller_begin_reading (caller_t *caller)
{
  caller->reads_nothing = false;
  uv_read_start ((uv_stream_t *)&caller->tcp, on_caller_alloc, on_caller_read);
}

void
caller_reset (caller_t *caller)
{
  if (!uv_is_closing ((uv_handle_t *)&caller->tcp))
    uv_tcp_close_reset (&caller->tcp, on_caller_closed);
}

void
caller_disconnect (caller_t *caller)
{
  if (!uv_is_closing ((uv_handle_t *)&caller->tcp))
    uv_close ((uv_handle_t *)&caller->tcp, on_caller_closed);
}

void
caller_connect (uv_loop_t *loop, caller_t *caller, const char *host,
                uint16_t port)
{
  struct sockaddr_in addr;

  uv_ip4_addr (host, port, &addr);
  uv_tcp_init_ex (loop, &caller->tcp, AF_INET);
  if (caller->reads_nothing)
    {
      int bytes = SMALL_RECEIVE_BUFFER_BYTES;
      uv_recv_buffer_size ((uv_handle_t *)&caller->tcp, &bytes);
    }
  caller->tcp.data = caller;
  caller->connect.data = caller;
  uv_tcp_connect (&caller->connect, &caller->tcp, (struct sockaddr *)&addr,
                  on_caller_connected);
}

int
caller_status (const caller_t *caller)
{
  int status = 0;

  if (caller->response.ptr != NULL)
    sscanf (caller->response.ptr, "HTTP/1.1 %d", &status);
  return status;
}

bool
caller_response_contains (const caller_t *caller, const char *text)
{
  return caller->response.ptr != NULL
         && strstr (caller->response.ptr, text) != NULL;
}
