#include "base/loop_watch.h"

#include "base/eventlog.h"
#include "base/mem.h"

#include <stdlib.h>

enum
{
  NS_PER_US = 1000,
  US_PER_MS = 1000
};

struct loop_watch
{
  uv_loop_t *loop;
  histogram_t *histogram;
  uv_prepare_t prepare;
  uv_check_t check;
  int open_handles;
  uint64_t woken_ms; /* End of the last wait for events; 0: none yet.  */
  loop_work_t work;  /* Work that runs now.  */
  uint64_t work_began_us;
  uint64_t work_us[LOOP_WORK_COUNT]; /* Marked work of this iteration.  */
};

/* Watch of the loop that this thread runs; NULL: none.  */
static _Thread_local loop_watch_t *thread_watch;

static const char *const work_names[] = {
#define X(symbol, name) [symbol] = (name),
  LOOP_WORK (X)
#undef X
};

static uint64_t
time_us (void)
{
  return uv_hrtime () / NS_PER_US;
}

/* Attribute the time since the last call to the work that ran.  */
static void
switch_work (loop_watch_t *watch, loop_work_t work)
{
  uint64_t now_us = time_us ();

  watch->work_us[watch->work] += now_us - watch->work_began_us;
  watch->work_began_us = now_us;
  watch->work = work;
}

loop_work_t
loop_work_begin (loop_work_t work)
{
  loop_watch_t *watch = thread_watch;

  if (watch == NULL)
    return work;
  loop_work_t outer = watch->work;
  switch_work (watch, work);
  return outer;
}

void
loop_work_end (loop_work_t outer)
{
  loop_work_begin (outer);
}

/* Called after the callbacks of the events.  The loop caches the time at which
   its wait ended.  */
static void
on_check (uv_check_t *check)
{
  loop_watch_t *watch = check->data;

  watch->woken_ms = uv_now (watch->loop);
}

/* Log the iteration, whose work took BUSY_US.  */
static void
log_iteration (loop_watch_t *watch, uint64_t busy_us)
{
  uint64_t *work_us = watch->work_us;
  uint64_t marked_us = 0;
  size_t longest = LOOP_WORK_OTHER;

  for (size_t i = LOOP_WORK_OTHER + 1; i < LOOP_WORK_COUNT; i++)
    marked_us += work_us[i];
  /* The time without a mark includes the wait for events.  */
  work_us[LOOP_WORK_OTHER] = busy_us > marked_us ? busy_us - marked_us : 0;
  for (size_t i = 0; i < LOOP_WORK_COUNT; i++)
    if (work_us[i] > work_us[longest])
      longest = i;
  log_event (EVENT_LOOP_BUSY,
             log_field_number (FIELD_BUSY_MS, busy_us / US_PER_MS),
             log_field_text (FIELD_WORK, str_from (work_names[longest])),
             log_field_number (FIELD_WORK_MS, work_us[longest] / US_PER_MS));
}

/* Called before the loop waits for events.  */
static void
on_prepare (uv_prepare_t *prepare)
{
  loop_watch_t *watch = prepare->data;

  switch_work (watch, LOOP_WORK_OTHER);
  /* Both are rounded down, so the sum of the iterations has no bias.  */
  uint64_t now_ms = watch->work_began_us / US_PER_MS;
  if (watch->woken_ms != 0 && now_ms >= watch->woken_ms)
    {
      uint64_t busy_us = (now_ms - watch->woken_ms) * US_PER_MS;
      histogram_record (watch->histogram, busy_us);
      if (busy_us > LOOP_WATCH_BOUND_MS * US_PER_MS)
        log_iteration (watch, busy_us);
    }
  for (size_t i = 0; i < LOOP_WORK_COUNT; i++)
    watch->work_us[i] = 0;
}

loop_watch_t *
loop_watch_create (uv_loop_t *loop, histogram_t *histogram)
{
  loop_watch_t *watch = mem_zalloc (sizeof *watch);

  watch->loop = loop;
  watch->histogram = histogram;
  watch->work_began_us = time_us ();
  uv_prepare_init (loop, &watch->prepare);
  watch->prepare.data = watch;
  uv_prepare_start (&watch->prepare, on_prepare);
  uv_unref ((uv_handle_t *)&watch->prepare);
  uv_check_init (loop, &watch->check);
  watch->check.data = watch;
  uv_check_start (&watch->check, on_check);
  uv_unref ((uv_handle_t *)&watch->check);
  watch->open_handles = 2;
  thread_watch = watch;
  return watch;
}

static void
on_closed (uv_handle_t *handle)
{
  loop_watch_t *watch = handle->data;

  if (--watch->open_handles == 0)
    free (watch);
}

void
loop_watch_destroy (loop_watch_t *watch)
{
  if (watch == NULL)
    return;
  if (thread_watch == watch)
    thread_watch = NULL;
  uv_close ((uv_handle_t *)&watch->prepare, on_closed);
  uv_close ((uv_handle_t *)&watch->check, on_closed);
}
