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
  /* Taken from a sender and not passed on yet.  */
  WAITING_MAX = 16384,
  SOCKET_BYTES = 8192
};

/* One way of a connection.  */
typedef struct
{
  uv_tcp_t *from;
  uv_tcp_t *to;
  buf_t waiting;
  bool ended; /* The sender closed its side.  */
} way_t;

typedef struct
{
  list_t link;
  uv_tcp_t caller;
  uv_tcp_t server;
  uv_connect_t connect;
  way_t up;   /* To the server.  */
  way_t down; /* To the caller.  */
  bool connected;
  bool closing;
  int open_handles;
} pair_t;

typedef struct
{
  uv_write_t write;
  buf_t bytes;
} passed_t;

struct narrow_link
{
  uv_loop_t *loop;
  uv_tcp_t listener;
  uv_timer_t tick;
  uint16_t port; /* Of the server.  */
  uint16_t own_port;
  size_t bytes_per_tick;
  size_t left; /* Before it stops.  */
  size_t passed;
  list_t pairs;
  int open_handles;
};

static char read_bytes[READ_BYTES];

static void
on_alloc (uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
  (void)handle;
  (void)size;
  *buf = uv_buf_init (read_bytes, sizeof read_bytes);
}

static void
on_pair_closed (uv_handle_t *handle)
{
  pair_t *pair = handle->data;

  if (--pair->open_handles > 0)
    return;
  buf_free (&pair->up.waiting);
  buf_free (&pair->down.waiting);
  free (pair);
}

static void
pair_close (pair_t *pair)
{
  if (pair->closing)
    return;
  pair->closing = true;
  list_remove (&pair->link);
  uv_close ((uv_handle_t *)&pair->caller, on_pair_closed);
  uv_close ((uv_handle_t *)&pair->server, on_pair_closed);
}

static void
on_passed (uv_write_t *write, int status)
{
  passed_t *passed = CONTAINER_OF (write, passed_t, write);

  (void)status;
  buf_free (&passed->bytes);
  free (passed);
}

static void
pass (uv_tcp_t *to, const char *bytes, size_t len)
{
  passed_t *passed = mem_zalloc (sizeof *passed);

  buf_append (&passed->bytes, bytes, len);
  uv_buf_t buf = uv_buf_init (passed->bytes.ptr, (unsigned)len);
  if (uv_write (&passed->write, (uv_stream_t *)to, &buf, 1, on_passed) != 0)
    on_passed (&passed->write, -1);
}

static void
on_read (uv_stream_t *stream, ssize_t got, const uv_buf_t *buf)
{
  pair_t *pair = stream->data;
  way_t *way
      = stream == (uv_stream_t *)&pair->caller ? &pair->up : &pair->down;

  if (got >= 0)
    buf_append (&way->waiting, buf->base, (size_t)got);
  else
    way->ended = true;
  if (got < 0 || way->waiting.len >= WAITING_MAX)
    uv_read_stop (stream);
}

/* Pass on up to ROOM bytes of WAY and take more.  Return how many.  */
static size_t
pass_some (way_t *way, size_t room)
{
  size_t len = way->waiting.len < room ? way->waiting.len : room;

  if (len > 0)
    {
      pass (way->to, way->waiting.ptr, len);
      buf_consume (&way->waiting, len);
    }
  if (!way->ended && way->waiting.len < WAITING_MAX)
    uv_read_start ((uv_stream_t *)way->from, on_alloc, on_read);
  return len;
}

/* The part of a tick's bytes that each of COUNT busy ways gets.  */
static size_t
part_of_tick (const narrow_link_t *link, size_t count)
{
  return link->bytes_per_tick / (count > 0 ? count : 1);
}

static void
on_tick (uv_timer_t *timer)
{
  narrow_link_t *link = timer->data;
  size_t ups = 0;
  size_t downs = 0;

  LIST_EACH (at, &link->pairs)
    {
      const pair_t *pair = CONTAINER_OF (at, pair_t, link);
      ups += pair->up.waiting.len > 0;
      downs += pair->down.waiting.len > 0;
    }
  LIST_EACH (at, &link->pairs)
    {
      pair_t *pair = CONTAINER_OF (at, pair_t, link);
      if (!pair->connected)
        continue;
      size_t room = part_of_tick (link, downs);
      size_t len
          = pass_some (&pair->down, room < link->left ? room : link->left);
      link->left -= len;
      link->passed += len;
      pass_some (&pair->up, part_of_tick (link, ups));
      if (pair->up.ended || (pair->down.ended && pair->down.waiting.len == 0))
        pair_close (pair);
    }
}

static void
on_connected (uv_connect_t *connect, int status)
{
  pair_t *pair = connect->data;

  if (pair->closing)
    return;
  if (status != 0)
    {
      pair_close (pair);
      return;
    }
  pair->connected = true;
  uv_read_start ((uv_stream_t *)&pair->caller, on_alloc, on_read);
  uv_read_start ((uv_stream_t *)&pair->server, on_alloc, on_read);
}

static void
on_accept (uv_stream_t *listener, int status)
{
  narrow_link_t *link = listener->data;
  pair_t *pair = mem_zalloc (sizeof *pair);
  struct sockaddr_in addr;

  ck_assert_int_eq (status, 0);
  pair->up = (way_t){ .from = &pair->caller, .to = &pair->server };
  pair->down = (way_t){ .from = &pair->server, .to = &pair->caller };
  list_append (&link->pairs, &pair->link);
  uv_tcp_init (link->loop, &pair->caller);
  uv_tcp_init (link->loop, &pair->server);
  pair->open_handles = 2;
  pair->caller.data = pair;
  pair->server.data = pair;
  pair->connect.data = pair;
  ck_assert_int_eq (uv_accept (listener, (uv_stream_t *)&pair->caller), 0);
  uv_ip4_addr ("127.0.0.1", link->port, &addr);
  if (uv_tcp_connect (&pair->connect, &pair->server, (struct sockaddr *)&addr,
                      on_connected)
      != 0)
    pair_close (pair);
}

narrow_link_t *
narrow_link_create (uv_loop_t *loop, uint16_t port, size_t bytes_per_s)
{
  narrow_link_t *link = mem_zalloc (sizeof *link);
  int bytes = SOCKET_BYTES;

  link->loop = loop;
  link->port = port;
  link->bytes_per_tick = bytes_per_s / TICKS_PER_S;
  link->left = SIZE_MAX;
  list_init (&link->pairs);
  uv_timer_init (loop, &link->tick);
  link->open_handles = 2;
  link->tick.data = link;
  link->own_port = loopback_listen (loop, &link->listener, link, on_accept);
  /* Connections that are taken inherit it.  */
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
  LIST_EACH (at, &link->pairs)
    pair_close (CONTAINER_OF (at, pair_t, link));
  uv_close ((uv_handle_t *)&link->listener, on_link_closed);
  uv_close ((uv_handle_t *)&link->tick, on_link_closed);
}

uint16_t
narrow_link_port (const narrow_link_t *link)
{
  return link->own_port;
}

void
narrow_link_stall_after (narrow_link_t *link, size_t bytes)
{
  link->left = bytes;
}

size_t
narrow_link_forwarded_bytes (const narrow_link_t *link)
{
  return link->passed;
}
