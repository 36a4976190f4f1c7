#include "base/peertimer.h"

enum
{
  /* Shortest timer with which libuv polls the sockets before it runs the
     timer.  */
  POLL_MS = 1
};

static void
on_timer (uv_timer_t *timer)
{
  peer_timer_t *peer_timer = timer->data;

  if (!peer_timer->awaits_poll)
    {
      peer_timer->awaits_poll = true;
      uv_timer_start (timer, on_timer, POLL_MS, 0);
      return;
    }
  peer_timer->awaits_poll = false;
  peer_timer->cb (peer_timer->arg);
}

void
peer_timer_init (peer_timer_t *peer_timer, uv_loop_t *loop, peer_timer_cb_t cb,
                 void *arg)
{
  uv_timer_init (loop, &peer_timer->timer);
  peer_timer->timer.data = peer_timer;
  peer_timer->cb = cb;
  peer_timer->arg = arg;
  peer_timer->awaits_poll = false;
  peer_timer->close_cb = NULL;
}

void
peer_timer_start (peer_timer_t *peer_timer, uint64_t ms)
{
  peer_timer->awaits_poll = false;
  uv_timer_start (&peer_timer->timer, on_timer, ms, 0);
}

void
peer_timer_stop (peer_timer_t *peer_timer)
{
  uv_timer_stop (&peer_timer->timer);
}

static void
on_timer_closed (uv_handle_t *handle)
{
  peer_timer_t *peer_timer = handle->data;

  peer_timer->close_cb (peer_timer->arg);
}

void
peer_timer_close (peer_timer_t *peer_timer, void (*close_cb) (void *arg))
{
  peer_timer->close_cb = close_cb;
  uv_close ((uv_handle_t *)&peer_timer->timer, on_timer_closed);
}
