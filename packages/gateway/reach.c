#include "gateway/reach.h"

#include "base/bound.h"
#include "base/mem.h"
#include "wire/addr.h"

#include <stdlib.h>

struct reach
{
  uv_loop_t *loop;
  reach_cb_t cb;
  void *arg;
  list_t looks;
};

typedef struct
{
  list_t link;
  reach_t *reach;
  char *id;
  uv_tcp_t tcp;
  uv_connect_t connect;
  bound_t waiting;
  unsigned open_handles;
} look_t;

static void
on_part_closed (void *arg)
{
  look_t *look = arg;

  if (--look->open_handles > 0)
    return;
  free (look->id);
  free (look);
}

static void
on_closed (uv_handle_t *handle)
{
  on_part_closed (handle->data);
}

static void
look_close (look_t *look)
{
  list_remove (&look->link);
  look->reach = NULL;
  bound_close (&look->waiting, on_part_closed);
  uv_close ((uv_handle_t *)&look->tcp, on_closed);
}

static void
look_end (look_t *look, bool reached)
{
  reach_t *reach = look->reach;

  look_close (look);
  reach->cb (reach->arg, str_from (look->id), reached);
}

static void
on_connected (uv_connect_t *connect, int status)
{
  look_t *look = connect->data;

  if (look->reach != NULL)
    look_end (look, status == 0);
}

static void
on_timeout (void *arg)
{
  look_end (arg, false);
}

static bool
is_under_way (reach_t *reach, str_t id)
{
  LIST_EACH (at, &reach->looks)
    if (str_eq (str_from (CONTAINER_OF (at, look_t, link)->id), id))
      return true;
  return false;
}

void
reach_look (reach_t *reach, str_t id, str_t address, uint64_t timeout_ms)
{
  struct sockaddr_storage addr;
  socklen_t addr_len;

  if (is_under_way (reach, id))
    return;
  look_t *look = mem_zalloc (sizeof *look);
  look->reach = reach;
  look->id = str_dup (id);
  look->open_handles = 2;
  list_append (&reach->looks, &look->link);
  uv_tcp_init (reach->loop, &look->tcp);
  bound_init (&look->waiting, reach->loop, on_timeout, look);
  look->tcp.data = look;
  look->connect.data = look;
  /* An address that cannot be dialled is told on a later turn too.  */
  if (!addr_parse (address, &addr, &addr_len)
      || uv_tcp_connect (&look->connect, &look->tcp, (struct sockaddr *)&addr,
                         on_connected)
             != 0)
    timeout_ms = 0;
  bound_start (&look->waiting, timeout_ms);
}

reach_t *
reach_create (uv_loop_t *loop, reach_cb_t cb, void *arg)
{
  reach_t *reach = mem_zalloc (sizeof *reach);

  reach->loop = loop;
  reach->cb = cb;
  reach->arg = arg;
  list_init (&reach->looks);
  return reach;
}

void
reach_destroy (reach_t *reach)
{
  if (reach == NULL)
    return;
  LIST_EACH (at, &reach->looks)
    look_close (CONTAINER_OF (at, look_t, link));
  free (reach);
}
