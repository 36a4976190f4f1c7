#include "base/bound.h"

enum
{
  /* Shortest timer with which libuv polls the sockets before it runs the
     timer.  */
  POLL_MS = 1
};

static void
on_timer (uv_timer_t *timer)
{
  bound_t *bound = timer->data;

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
bound_init (bound_t *bound, uv_loop_t *loop, bound_cb_t cb, void *arg)
{
  uv_timer_init (loop, &bound->timer);
  bound->timer.data = bound;
  bound->cb = cb;
  bound->arg = arg;
  bound->is_due = false;
  bound->close_cb = NULL;
}

void
bound_start (bound_t *bound, uint64_t ms)
{
  bound->is_due = false;
  uv_timer_start (&bound->timer, on_timer, ms, 0);
}

void
bound_stop (bound_t *bound)
{
  uv_timer_stop (&bound->timer);
}

static void
on_timer_closed (uv_handle_t *handle)
{
  bound_t *bound = handle->data;

  bound->close_cb (bound->arg);
}

void
bound_close (bound_t *bound, void (*close_cb) (void *arg))
{
  bound->close_cb = close_cb;
  uv_close ((uv_handle_t *)&bound->timer, on_timer_closed);
}
