#include "gateway/prober.h"

#include "base/peertimer.h"
#include "base/mem.h"
#include "wire/addr.h"

#include <stdlib.h>

struct prober
{
  uv_loop_t *loop;
  prober_cb_t cb;
  void *arg;
  list_t probes;
};

typedef struct
{
  list_t link;
  prober_t *prober;
  char *id;
  uv_tcp_t tcp;
  uv_connect_t connect;
  peer_timer_t timer;
  unsigned open_handle_count;
} probe_t;

static void
on_handle_closed (void *arg)
{
  probe_t *probe = arg;

  if (--probe->open_handle_count > 0)
    return;
  free (probe->id);
  free (probe);
}

static void
on_tcp_closed (uv_handle_t *handle)
{
  on_handle_closed (handle->data);
}

static void
probe_close (probe_t *probe)
{
  list_remove (&probe->link);
  probe->prober = NULL;
  peer_timer_close (&probe->timer, on_handle_closed);
  uv_close ((uv_handle_t *)&probe->tcp, on_tcp_closed);
}

static void
probe_finish (probe_t *probe, probe_result_t result)
{
  prober_t *prober = probe->prober;

  probe_close (probe);
  prober->cb (prober->arg, str_from (probe->id), result);
}

static void
on_connected (uv_connect_t *connect, int status)
{
  probe_t *probe = connect->data;

  if (probe->prober != NULL)
    probe_finish (probe, status == 0                 ? PROBE_ACCEPTED
                         : status == UV_ECONNREFUSED ? PROBE_REFUSED
                                                     : PROBE_NO_RESPONSE);
}

static void
on_timeout (void *arg)
{
  probe_finish (arg, PROBE_NO_RESPONSE);
}

static bool
is_probing (prober_t *prober, str_t id)
{
  LIST_EACH (node, &prober->probes)
    if (str_eq (str_from (CONTAINER_OF (node, probe_t, link)->id), id))
      return true;
  return false;
}

void
prober_start (prober_t *prober, str_t id, str_t address, uint64_t timeout_ms)
{
  struct sockaddr_storage addr;
  socklen_t addr_len;

  if (is_probing (prober, id))
    return;
  probe_t *probe = mem_zalloc (sizeof *probe);
  probe->prober = prober;
  probe->id = str_dup (id);
  probe->open_handle_count = 2;
  list_append (&prober->probes, &probe->link);
  uv_tcp_init (prober->loop, &probe->tcp);
  peer_timer_init (&probe->timer, prober->loop, on_timeout, probe);
  probe->tcp.data = probe;
  probe->connect.data = probe;
  /* A failure to start the connection is also reported on a later loop
     iteration.  */
  if (!addr_parse (address, &addr, &addr_len)
      || uv_tcp_connect (&probe->connect, &probe->tcp,
                         (struct sockaddr *)&addr, on_connected)
             != 0)
    timeout_ms = 0;
  peer_timer_start (&probe->timer, timeout_ms);
}

prober_t *
prober_create (uv_loop_t *loop, prober_cb_t cb, void *arg)
{
  prober_t *prober = mem_zalloc (sizeof *prober);

  prober->loop = loop;
  prober->cb = cb;
  prober->arg = arg;
  list_init (&prober->probes);
  return prober;
}

void
prober_destroy (prober_t *prober)
{
  if (prober == NULL)
    return;
  LIST_EACH (node, &prober->probes)
    probe_close (CONTAINER_OF (node, probe_t, link));
  free (prober);
}
