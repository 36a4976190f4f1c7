/* Turn a loop until a condition holds, and fail the test after a while.  */

#ifndef TESTS_LOOP_WAIT_H
#define TESTS_LOOP_WAIT_H

#include <check.h>
#include <stdbool.h>
#include <uv.h>

typedef struct
{
  uv_loop_t *loop;
  uv_timer_t timer;
  uint64_t limit_ms; /* Of one wait.  */
  bool expired;
} loop_wait_t;

static inline void
loop_wait_init (loop_wait_t *wait, uv_loop_t *loop, uint64_t limit_ms)
{
  wait->loop = loop;
  wait->limit_ms = limit_ms;
  uv_timer_init (loop, &wait->timer);
  wait->timer.data = wait;
}

/* The memory is the owner's again on a later turn.  */
static inline void
loop_wait_close (loop_wait_t *wait)
{
  uv_close ((uv_handle_t *)&wait->timer, NULL);
}

static inline void
loop_wait_expire (uv_timer_t *timer)
{
  ((loop_wait_t *)timer->data)->expired = true;
}

static inline void
loop_wait_begin (loop_wait_t *wait)
{
  wait->expired = false;
  uv_timer_start (&wait->timer, loop_wait_expire, wait->limit_ms, 0);
}

#define LOOP_WAIT(wait, cond)                                                 \
  do                                                                          \
    {                                                                         \
      loop_wait_begin (wait);                                                 \
      while (!(cond) && !(wait)->expired)                                     \
        uv_run ((wait)->loop, UV_RUN_ONCE);                                   \
      ck_assert_msg (!(wait)->expired, "waited in vain for " #cond);          \
    }                                                                         \
  while (0)

static inline void
loop_wait_for_ms (loop_wait_t *wait, uint64_t ms)
{
  uint64_t till = uv_now (wait->loop) + ms;

  LOOP_WAIT (wait, uv_now (wait->loop) >= till);
}

#endif
