#include "base/bound.h"

enum
{
  /* The shortest time for which libuv polls before it looks at timers
     again.  */
  POLL_MS = 1
};

static void
on_timer (uv_timer_t *timer)
{
  peer_timer_t *bound = timer->data;

  if (!bound->is_due)
    {
      bound->is_due = true;
      uv_timer_start (timer, on_timer, POLL_MS, 0);
      return;
    }
  bound->is_due = false;
  bound->cb (bound->arg);
}

void
peer_timer_init (peer_timer_t *bound, uv_loop_t *loop, peer_timer_cb_t cb,
                 void *arg)
{
  uv_timer_init (loop, &bound->timer);
  bound->timer.data = bound;
  bound->cb = cb;
  bound->arg = arg;
  bound->is_due = false;
  bound->closed = NULL;
}

void
peer_timer_start (peer_timer_t *bound, uint64_t ms)
{
  bound->is_due = false;
  uv_timer_start (&bound->timer, on_timer, ms, 0);
}

void
peer_timer_stop (peer_timer_t *bound)
{
  uv_timer_stop (&bound->timer);
}

static void
on_closed (uv_handle_t *handle)
{
  peer_timer_t *bound = handle->data;

  bound->closed (bound->arg);
}

void
peer_timer_close (peer_timer_t *bound, void (*closed) (void *arg))
{
  bound->closed = closed;
  uv_close ((uv_handle_t *)&bound->timer, on_closed);
}
