#include "narrow_link.h"

#include "base/mem.h"
#include "base/str.h"
#include "loopback.h"

#include <check.h>
#include <stdlib.h>

enum
{
  TICK_MS = 10,
  TICKS_PER_S = 100,
  READ_BYTES = 16384,
  /* Most bytes read from a sender and not forwarded yet.  */
  WAITING_BYTES_MAX = 16384,
  RECV_BUFFER_BYTES = 8192
};

/* One direction of a forwarded connection.  */
typedef struct
{
  uv_tcp_t *from;
  uv_tcp_t *to;
  buf_t waiting;
  bool ended; /* The sender has closed its connection.  */
} direction_t;

typedef struct
{
  list_t link;
  uv_tcp_t client;
  uv_tcp_t server;
  uv_connect_t connect;
  direction_t up;   /* From the client to the server.  */
  direction_t down; /* From the server to the client.  */
  bool connected;
  bool closing;
  int open_handles;
} tunnel_t;

typedef struct
{
  uv_write_t write;
  buf_t bytes;
} forward_write_t;

struct narrow_link
{
  uv_loop_t *loop;
  uv_tcp_t listener;
  uv_timer_t tick;
  uint16_t server_port; /* Port of the server.  */
  uint16_t listen_port;
  size_t bytes_per_tick;
  /* Bytes of the server to forward before the link stalls.  */
  size_t bytes_until_stall;
  size_t forwarded_bytes; /* Bytes of the server forwarded so far.  */
  list_t tunnels;
  int open_handles;
};

static char read_buffer[READ_BYTES];

static void
on_alloc (uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
  (void)handle;
  (void)size;
  *buf = uv_buf_init (read_buffer, sizeof read_buffer);
}

static void
on_tunnel_closed (uv_handle_t *handle)
{
  tunnel_t *tunnel = handle->data;

  if (--tunnel->open_handles > 0)
    return;
  buf_free (&tunnel->up.waiting);
  buf_free (&tunnel->down.waiting);
  free (tunnel);
}

static void
tunnel_close (tunnel_t *tunnel)
{
  if (tunnel->closing)
    return;
  tunnel->closing = true;
  list_remove (&tunnel->link);
  uv_close ((uv_handle_t *)&tunnel->client, on_tunnel_closed);
  uv_close ((uv_handle_t *)&tunnel->server, on_tunnel_closed);
}

static void
on_forwarded (uv_write_t *write, int status)
{
  forward_write_t *write_op = CONTAINER_OF (write, forward_write_t, write);

  (void)status;
  buf_free (&write_op->bytes);
  free (write_op);
}

static void
forward (uv_tcp_t *to, const char *bytes, size_t len)
{
  forward_write_t *write_op = mem_zalloc (sizeof *write_op);

  buf_append (&write_op->bytes, bytes, len);
  uv_buf_t buf = uv_buf_init (write_op->bytes.ptr, (unsigned)len);
  if (uv_write (&write_op->write, (uv_stream_t *)to, &buf, 1, on_forwarded)
      != 0)
    on_forwarded (&write_op->write, -1);
}

static void
on_read (uv_stream_t *stream, ssize_t read_len, const uv_buf_t *buf)
{
  tunnel_t *tunnel = stream->data;
  direction_t *direction
      = stream == (uv_stream_t *)&tunnel->client ? &tunnel->up : &tunnel->down;

  if (read_len >= 0)
    buf_append (&direction->waiting, buf->base, (size_t)read_len);
  else
    direction->ended = true;
  if (read_len < 0 || direction->waiting.len >= WAITING_BYTES_MAX)
    uv_read_stop (stream);
}

/* Forward up to MAX_BYTES of DIRECTION and resume reading.  Return the number
   of bytes forwarded.  */
static size_t
forward_up_to (direction_t *direction, size_t max_bytes)
{
  size_t len = direction->waiting.len < max_bytes ? direction->waiting.len
                                                  : max_bytes;

  if (len > 0)
    {
      forward (direction->to, direction->waiting.ptr, len);
      buf_consume (&direction->waiting, len);
    }
  if (!direction->ended && direction->waiting.len < WAITING_BYTES_MAX)
    uv_read_start ((uv_stream_t *)direction->from, on_alloc, on_read);
  return len;
}

/* Return the number of bytes per tick for each of COUNT directions that have
   waiting bytes.  */
static size_t
share_of_tick (const narrow_link_t *link, size_t count)
{
  return link->bytes_per_tick / (count > 0 ? count : 1);
}

static void
on_tick (uv_timer_t *timer)
{
  narrow_link_t *link = timer->data;
  size_t busy_up_count = 0;
  size_t busy_down_count = 0;

  LIST_EACH (at, &link->tunnels)
    {
      const tunnel_t *tunnel = CONTAINER_OF (at, tunnel_t, link);
      busy_up_count += tunnel->up.waiting.len > 0;
      busy_down_count += tunnel->down.waiting.len > 0;
    }
  LIST_EACH (at, &link->tunnels)
    {
      tunnel_t *tunnel = CONTAINER_OF (at, tunnel_t, link);
      if (!tunnel->connected)
        continue;
      size_t max_bytes = share_of_tick (link, busy_down_count);
      size_t len
          = forward_up_to (&tunnel->down, max_bytes < link->bytes_until_stall
                                              ? max_bytes
                                              : link->bytes_until_stall);
      link->bytes_until_stall -= len;
      link->forwarded_bytes += len;
      forward_up_to (&tunnel->up, share_of_tick (link, busy_up_count));
      if (tunnel->up.ended
          || (tunnel->down.ended && tunnel->down.waiting.len == 0))
        tunnel_close (tunnel);
    }
}

static void
on_connected (uv_connect_t *connect, int status)
{
  tunnel_t *tunnel = connect->data;

  if (tunnel->closing)
    return;
  if (status != 0)
    {
      tunnel_close (tunnel);
      return;
    }
  tunnel->connected = true;
  uv_read_start ((uv_stream_t *)&tunnel->client, on_alloc, on_read);
  uv_read_start ((uv_stream_t *)&tunnel->server, on_alloc, on_read);
}

static void
on_accept (uv_stream_t *listener, int status)
{
  narrow_link_t *link = listener->data;
  tunnel_t *tunnel = mem_zalloc (sizeof *tunnel);
  struct sockaddr_in addr;

  ck_assert_int_eq (status, 0);
  tunnel->up = (direction_t){ .from = &tunnel->client, .to = &tunnel->server };
  tunnel->down
      = (direction_t){ .from = &tunnel->server, .to = &tunnel->client };
  list_append (&link->tunnels, &tunnel->link);
  uv_tcp_init (link->loop, &tunnel->client);
  uv_tcp_init (link->loop, &tunnel->server);
  tunnel->open_handles = 2;
  tunnel->client.data = tunnel;
  tunnel->server.data = tunnel;
  tunnel->connect.data = tunnel;
  ck_assert_int_eq (uv_accept (listener, (uv_stream_t *)&tunnel->client), 0);
  uv_ip4_addr ("127.0.0.1", link->server_port, &addr);
  if (uv_tcp_connect (&tunnel->connect, &tunnel->server,
                      (struct sockaddr *)&addr, on_connected)
      != 0)
    tunnel_close (tunnel);
}

narrow_link_t *
narrow_link_create (uv_loop_t *loop, uint16_t port, size_t bytes_per_s)
{
  narrow_link_t *link = mem_zalloc (sizeof *link);
  int bytes = RECV_BUFFER_BYTES;

  link->loop = loop;
  link->server_port = port;
  link->bytes_per_tick = bytes_per_s / TICKS_PER_S;
  link->bytes_until_stall = SIZE_MAX;
  list_init (&link->tunnels);
  uv_timer_init (loop, &link->tick);
  link->open_handles = 2;
  link->tick.data = link;
  link->listen_port = loopback_listen (loop, &link->listener, link, on_accept);
  /* Accepted connections inherit the size of the receive buffer.  */
  uv_recv_buffer_size ((uv_handle_t *)&link->listener, &bytes);
  uv_timer_start (&link->tick, on_tick, TICK_MS, TICK_MS);
  return link;
}

static void
on_link_closed (uv_handle_t *handle)
{
  narrow_link_t *link = handle->data;

  if (--link->open_handles == 0)
    free (link);
}

void
narrow_link_destroy (narrow_link_t *link)
{
  LIST_EACH (at, &link->tunnels)
    tunnel_close (CONTAINER_OF (at, tunnel_t, link));
  uv_close ((uv_handle_t *)&link->listener, on_link_closed);
  uv_close ((uv_handle_t *)&link->tick, on_link_closed);
}

uint16_t
narrow_link_port (const narrow_link_t *link)
{
  return link->listen_port;
}

void
narrow_link_stall_after (narrow_link_t *link, size_t bytes)
{
  link->bytes_until_stall = bytes;
}

size_t
narrow_link_forwarded_bytes (const narrow_link_t *link)
{
  return link->forwarded_bytes;
}
