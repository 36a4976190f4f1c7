#include "virtual_time.h"

#include "base/mem.h"
#include "base/rng.h"

#include <dlfcn.h>
#include <stdbool.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>
#include <uv.h>

enum
{
  NS_PER_US = 1000,
  NS_PER_MS = 1000 * NS_PER_US,
  NS_PER_S = 1000 * NS_PER_MS,
  /* Real time for which sockets are polled before the clocks advance, for
     bytes that the kernel has not delivered yet.  */
  IN_FLIGHT_NS = 50 * NS_PER_US,
  KERNEL_SIGSET_BYTES = 8,
  USUAL_ITERATION_MAX_US = 100
};

static bool is_virtual;
/* Readings of the clocks when virtual time was last begun.  */
static time_t realtime_start_s;
static time_t monotonic_start_s;
static uint64_t elapsed_ns; /* Virtual time since then.  */
static rng_t rng;
static uint64_t iteration_max_ns;
static size_t iteration_count;

static int
read_system_clock (clockid_t id, struct timespec *time)
{
  return (int)syscall (SYS_clock_gettime, id, time);
}

/* Return the reading of the clock, rounded up to a second.  */
static time_t
next_second (clockid_t id)
{
  struct timespec time;

  read_system_clock (id, &time);
  return time.tv_sec + 1;
}

void
virtual_time_start (uint64_t seed, uint64_t iteration_max_us)
{
  if (!is_virtual)
    {
      elapsed_ns = 0;
      realtime_start_s = next_second (CLOCK_REALTIME);
      monotonic_start_s = next_second (CLOCK_MONOTONIC);
    }
  is_virtual = true;
  elapsed_ns += NS_PER_S - elapsed_ns % NS_PER_S;
  rng = rng_make (seed);
  iteration_max_ns = iteration_max_us * NS_PER_US;
  iteration_count = 0;
}

void
virtual_time_setup (void)
{
  virtual_time_start (1, USUAL_ITERATION_MAX_US);
}

void
virtual_time_teardown (void)
{
  is_virtual = false;
}

void
virtual_time_advance_ms (uint64_t ms)
{
  elapsed_ns += ms * NS_PER_MS;
}

size_t
virtual_time_iteration_count (void)
{
  return iteration_count;
}

/* Replaces the function of the C library.  */
int
clock_gettime (clockid_t id, struct timespec *time)
{
  time_t start_s = monotonic_start_s;

  switch (id)
    {
    case CLOCK_REALTIME:
    case CLOCK_REALTIME_COARSE:
      start_s = realtime_start_s;
      break;
    case CLOCK_MONOTONIC:
    case CLOCK_MONOTONIC_COARSE:
    case CLOCK_MONOTONIC_RAW:
    case CLOCK_BOOTTIME:
      break;
    default:
      return read_system_clock (id, time);
    }
  if (!is_virtual)
    return read_system_clock (id, time);
  time->tv_sec = start_s + (time_t)(elapsed_ns / NS_PER_S);
  time->tv_nsec = (long)(elapsed_ns % NS_PER_S);
  return 0;
}

/* Replaces the function of the C library.  */
int
epoll_pwait (int epoll_fd, struct epoll_event *events, int events_max,
             int timeout_ms, const sigset_t *mask)
{
  if (!is_virtual || timeout_ms < 0)
    return (int)syscall (SYS_epoll_pwait, epoll_fd, events, events_max,
                         timeout_ms, mask, KERNEL_SIGSET_BYTES);
  const struct timespec wait
      = { .tv_nsec = timeout_ms > 0 ? IN_FLIGHT_NS : 0 };
  int count = (int)syscall (SYS_epoll_pwait2, epoll_fd, events, events_max,
                            &wait, mask, KERNEL_SIGSET_BYTES);
  if (count == 0)
    elapsed_ns += (uint64_t)timeout_ms * NS_PER_MS;
  if (count > 0)
    {
      elapsed_ns += rng_below (&rng, iteration_max_ns + 1);
      iteration_count++;
    }
  return count;
}

/* Replaces the function of the C library.  */
int
epoll_wait (int epoll_fd, struct epoll_event *events, int events_max,
            int timeout_ms)
{
  return epoll_pwait (epoll_fd, events, events_max, timeout_ms, NULL);
}

typedef int queue_work_t (uv_loop_t *, uv_work_t *, uv_work_cb,
                          uv_after_work_cb);
typedef int cancel_t (uv_req_t *);

/* Work that is done, whose callback is due.  */
typedef struct
{
  uv_timer_t timer;
  uv_work_t *work;
  uv_after_work_cb after;
} done_work_t;

static void
on_closed (uv_handle_t *handle)
{
  free (handle->data);
}

static void
on_work_done (uv_timer_t *timer)
{
  done_work_t *done = timer->data;
  uv_work_t *work = done->work;
  uv_after_work_cb after = done->after;

  uv_close ((uv_handle_t *)timer, on_closed);
  after (work, 0);
}

/* Replaces the function of libuv: WORK is done at once, on this thread.  */
int
uv_queue_work (uv_loop_t *loop, uv_work_t *work, uv_work_cb run,
               uv_after_work_cb after)
{
  if (!is_virtual)
    {
      queue_work_t *queue_work
          = (queue_work_t *)dlsym (RTLD_NEXT, "uv_queue_work");
      return queue_work (loop, work, run, after);
    }
  done_work_t *done = mem_zalloc (sizeof *done);
  work->loop = loop;
  done->work = work;
  done->after = after;
  uv_timer_init (loop, &done->timer);
  done->timer.data = done;
  uv_timer_start (&done->timer, on_work_done, 0, 0);
  run (work);
  return 0;
}

/* Replaces the function of libuv: work that is done is not cancelled.  */
int
uv_cancel (uv_req_t *req)
{
  if (is_virtual)
    return UV_EBUSY;
  cancel_t *cancel = (cancel_t *)dlsym (RTLD_NEXT, "uv_cancel");
  return cancel (req);
}
