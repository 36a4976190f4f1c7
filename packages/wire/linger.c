#include "wire/linger.h"

#include "base/mem.h"

#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  CONNECTIONS_MAX = 32,
  LINGER_MS = 2000,
  READ_BUFFER_BYTES = 65536
};

struct linger_set
{
  uv_loop_t *loop;
  uint64_t bytes_max;
  list_t connections; /* Oldest first.  */
  size_t count;
};

typedef struct
{
  uv_tcp_t tcp;
  list_t link;
  linger_t *linger;
  uint64_t since_ms; /* By the loop's clock.  */
  uint64_t bytes;    /* Discarded so far.  */
} lingering_t;

static char discarded[READ_BUFFER_BYTES];

static void
on_closed (uv_handle_t *handle)
{
  free (handle->data);
}

static void
close_lingering (lingering_t *lingering)
{
  list_remove (&lingering->link);
  lingering->linger->count--;
  uv_close ((uv_handle_t *)&lingering->tcp, on_closed);
}

static void
on_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
  (void)handle;
  (void)suggested;
  *buf = uv_buf_init (discarded, sizeof discarded);
}

static void
on_read (uv_stream_t *stream, ssize_t read_len, const uv_buf_t *buf)
{
  lingering_t *lingering = stream->data;

  (void)buf;
  if (read_len > 0)
    lingering->bytes += (uint64_t)read_len;
  if (read_len < 0 || lingering->bytes > lingering->linger->bytes_max)
    close_lingering (lingering);
}

linger_t *
linger_create (uv_loop_t *loop, uint64_t bytes_max)
{
  linger_t *linger = mem_zalloc (sizeof *linger);

  linger->loop = loop;
  linger->bytes_max = bytes_max;
  list_init (&linger->connections);
  return linger;
}

void
linger_destroy (linger_t *linger)
{
  if (linger == NULL)
    return;
  LIST_EACH (at, &linger->connections)
    close_lingering (CONTAINER_OF (at, lingering_t, link));
  free (linger);
}

void
linger_add (linger_t *linger, int fd)
{
  lingering_t *lingering = mem_zalloc (sizeof *lingering);

  shutdown (fd, SHUT_WR);
  uv_tcp_init (linger->loop, &lingering->tcp);
  lingering->tcp.data = lingering;
  lingering->linger = linger;
  lingering->since_ms = uv_now (linger->loop);
  list_append (&linger->connections, &lingering->link);
  linger->count++;
  if (uv_tcp_open (&lingering->tcp, fd) != 0)
    {
      close (fd);
      close_lingering (lingering);
      return;
    }
  uv_read_start ((uv_stream_t *)&lingering->tcp, on_alloc, on_read);
  if (linger->count > CONNECTIONS_MAX)
    close_lingering (
        CONTAINER_OF (linger->connections.next, lingering_t, link));
}

void
linger_expire (linger_t *linger)
{
  uint64_t now_ms = uv_now (linger->loop);

  LIST_EACH (at, &linger->connections)
    {
      lingering_t *lingering = CONTAINER_OF (at, lingering_t, link);
      if (now_ms - lingering->since_ms < LINGER_MS)
        break;
      close_lingering (lingering);
    }
}
