/* Bounds on waits for a peer, at a process that is busy itself.  */

#include "base/bound.h"
#include "suite.h"

#include <time.h>

enum
{
  WAIT_MS = 20,
  BUSY_MS = 60
};

typedef struct
{
  uv_loop_t loop;
  uv_pipe_t reader;
  uv_pipe_t writer;
  uv_write_t write;
  peer_timer_t bound;
  int fired;
  int fired_unread; /* The bound came while bytes lay unread.  */
  int reads;
  int closed;
} fixture_t;

static void
on_bound (void *arg)
{
  fixture_t *f = arg;

  f->fired++;
  if (f->reads == 0)
    f->fired_unread++;
}

static void
on_closed (void *arg)
{
  ((fixture_t *)arg)->closed++;
}

static void
on_alloc (uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
  static char bytes[64];

  (void)handle;
  (void)size;
  *buf = uv_buf_init (bytes, sizeof bytes);
}

static void
on_read (uv_stream_t *stream, ssize_t got, const uv_buf_t *buf)
{
  fixture_t *f = stream->data;

  (void)buf;
  if (got <= 0)
    return;
  f->reads++;
  peer_timer_stop (&f->bound);
}

static void
setup (fixture_t *f)
{
  uv_file ends[2];

  memset (f, 0, sizeof *f);
  uv_loop_init (&f->loop);
  ck_assert_int_eq (uv_pipe (ends, 0, 0), 0);
  uv_pipe_init (&f->loop, &f->reader, 0);
  uv_pipe_init (&f->loop, &f->writer, 0);
  uv_pipe_open (&f->reader, ends[0]);
  uv_pipe_open (&f->writer, ends[1]);
  f->reader.data = f;
  uv_read_start ((uv_stream_t *)&f->reader, on_alloc, on_read);
  peer_timer_init (&f->bound, &f->loop, on_bound, f);
}

static void
teardown (fixture_t *f)
{
  peer_timer_close (&f->bound, on_closed);
  uv_close ((uv_handle_t *)&f->reader, NULL);
  uv_close ((uv_handle_t *)&f->writer, NULL);
  uv_run (&f->loop, UV_RUN_DEFAULT);
  ck_assert_int_eq (f->closed, 1);
  ck_assert_int_eq (uv_loop_close (&f->loop), 0);
}

/* Keep the loop from running, as a long computation or a stop of the process
   does.  */
static void
stay_busy (void)
{
  struct timespec busy = { .tv_nsec = BUSY_MS * 1000000L };

  nanosleep (&busy, NULL);
}

static void
on_enough (uv_timer_t *timer)
{
  uv_stop (timer->loop);
}

/* Turn the loop for MS.  */
static void
turn (fixture_t *f, uint64_t ms)
{
  uv_timer_t enough;

  uv_timer_init (&f->loop, &enough);
  uv_timer_start (&enough, on_enough, ms, 0);
  uv_run (&f->loop, UV_RUN_DEFAULT);
  uv_close ((uv_handle_t *)&enough, NULL);
  uv_run (&f->loop, UV_RUN_NOWAIT);
}

/* A caller's stream is moved away from a sound engine: the entry read a large
   configuration for longer than it waits for the engine, whose answer came
   meanwhile and lay unread when the wait was over.  */
START_TEST (an_answer_that_lies_unread_is_read_first)
{
  fixture_t f;
  uv_buf_t byte = uv_buf_init ((char *)"x", 1);

  setup (&f);
  peer_timer_start (&f.bound, WAIT_MS);
  ck_assert_int_eq (uv_try_write ((uv_stream_t *)&f.writer, &byte, 1), 1);
  stay_busy ();
  turn (&f, WAIT_MS * 3);
  ck_assert_int_eq (f.reads, 1);
  ck_assert_int_eq (f.fired_unread, 0);
  teardown (&f);
}
END_TEST

/* A peer that says nothing is given up once, about when it was to be.  */
START_TEST (silence_fires_once)
{
  fixture_t f;

  setup (&f);
  peer_timer_start (&f.bound, WAIT_MS);
  turn (&f, WAIT_MS / 2);
  ck_assert_int_eq (f.fired, 0);
  turn (&f, WAIT_MS * 3);
  ck_assert_int_eq (f.fired, 1);
  peer_timer_start (&f.bound, 0);
  peer_timer_stop (&f.bound);
  turn (&f, WAIT_MS);
  ck_assert_int_eq (f.fired, 1);
  teardown (&f);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("bound");
  TCase *tcase = tcase_create ("bound");

  tcase_add_test (tcase, an_answer_that_lies_unread_is_read_first);
  tcase_add_test (tcase, silence_fires_once);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
