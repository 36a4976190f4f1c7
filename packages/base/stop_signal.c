#include "base/stop_signal.h"

#include "base/mem.h"

#include <assert.h>
#include <errno.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdlib.h>

enum
{
  SIGNAL_COUNT = 2
};

static const int signal_numbers[SIGNAL_COUNT] = { SIGTERM, SIGINT };

struct stop_signal
{
  clock_iface_t *clock;
  stop_signal_cb_t cb;
  void *arg;
  uv_prepare_t prepare;
  uv_async_t async;
  int open_handles;
  struct sigaction former_actions[SIGNAL_COUNT];
  /* Monotonic time at which the last wait for events began, or this was
     created, in ms.  */
  atomic_uint_least64_t wait_began_ms;
  /* Set by the signal handler, DELIVERED_MS last.  */
  atomic_uint_least64_t earliest_ms;
  atomic_uint_least64_t delivered_ms; /* 0: no signal was delivered.  */
  atomic_flag is_delivered;
};

/* The one of the process, for the signal handler.  */
static stop_signal_t *_Atomic process_stop_signal;

static void
on_signal (int signal_number)
{
  int saved_errno = errno;
  stop_signal_t *stop = atomic_load (&process_stop_signal);

  (void)signal_number;
  if (stop != NULL && !atomic_flag_test_and_set (&stop->is_delivered))
    {
      atomic_store (&stop->earliest_ms, atomic_load (&stop->wait_began_ms));
      atomic_store (&stop->delivered_ms, clock_ms (stop->clock));
      uv_async_send (&stop->async);
    }
  errno = saved_errno;
}

/* Called on the loop after a signal was delivered.  */
static void
on_async (uv_async_t *async)
{
  stop_signal_t *stop = async->data;
  const stop_time_t time
      = { .earliest_ms = atomic_load (&stop->earliest_ms),
          .delivered_ms = atomic_load (&stop->delivered_ms) };

  stop->cb (stop->arg, &time);
}

/* Called before the loop waits for events.  */
static void
on_prepare (uv_prepare_t *prepare)
{
  stop_signal_t *stop = prepare->data;

  atomic_store (&stop->wait_began_ms, clock_ms (stop->clock));
}

stop_signal_t *
stop_signal_create (uv_loop_t *loop, clock_iface_t *clock, stop_signal_cb_t cb,
                    void *arg)
{
  stop_signal_t *stop = mem_zalloc (sizeof *stop);
  struct sigaction action
      = { .sa_handler = on_signal, .sa_flags = SA_RESTART };

  assert (atomic_load (&process_stop_signal) == NULL);
  stop->clock = clock;
  stop->cb = cb;
  stop->arg = arg;
  atomic_init (&stop->wait_began_ms, clock_ms (clock));
  atomic_flag_clear (&stop->is_delivered);
  uv_prepare_init (loop, &stop->prepare);
  stop->prepare.data = stop;
  uv_prepare_start (&stop->prepare, on_prepare);
  uv_unref ((uv_handle_t *)&stop->prepare);
  uv_async_init (loop, &stop->async, on_async);
  stop->async.data = stop;
  uv_unref ((uv_handle_t *)&stop->async);
  stop->open_handles = 2;
  atomic_store (&process_stop_signal, stop);
  sigfillset (&action.sa_mask);
  for (size_t i = 0; i < SIGNAL_COUNT; i++)
    sigaction (signal_numbers[i], &action, &stop->former_actions[i]);
  return stop;
}

static void
on_closed (uv_handle_t *handle)
{
  stop_signal_t *stop = handle->data;

  if (--stop->open_handles == 0)
    free (stop);
}

void
stop_signal_destroy (stop_signal_t *stop)
{
  if (stop == NULL)
    return;
  for (size_t i = 0; i < SIGNAL_COUNT; i++)
    sigaction (signal_numbers[i], &stop->former_actions[i], NULL);
  atomic_store (&process_stop_signal, NULL);
  uv_close ((uv_handle_t *)&stop->prepare, on_closed);
  uv_close ((uv_handle_t *)&stop->async, on_closed);
}
