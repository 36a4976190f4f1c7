/* Timers for waits on a peer, in a process that is itself busy.  */

#include "base/peertimer.h"
#include "suite.h"

#include <time.h>

enum
{
  TIMEOUT_MS = 20,
  BUSY_MS = 60
};

typedef struct
{
  uv_loop_t loop;
  uv_pipe_t reader;
  uv_pipe_t writer;
  uv_write_t write;
  peer_timer_t peer_timer;
  int expiries;
  int expiries_before_read; /* Expiries while bytes were unread.  */
  int reads;
  int closed;
} fixture_t;

static void
on_expired (void *arg)
{
  fixture_t *f = arg;

  f->expiries++;
  if (f->reads == 0)
    f->expiries_before_read++;
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
on_read (uv_stream_t *stream, ssize_t bytes_read, const uv_buf_t *buf)
{
  fixture_t *f = stream->data;

  (void)buf;
  if (bytes_read <= 0)
    return;
  f->reads++;
  peer_timer_stop (&f->peer_timer);
}

static void
setup (fixture_t *f)
{
  uv_file pipe_fds[2];

  memset (f, 0, sizeof *f);
  uv_loop_init (&f->loop);
  ck_assert_int_eq (uv_pipe (pipe_fds, 0, 0), 0);
  uv_pipe_init (&f->loop, &f->reader, 0);
  uv_pipe_init (&f->loop, &f->writer, 0);
  uv_pipe_open (&f->reader, pipe_fds[0]);
  uv_pipe_open (&f->writer, pipe_fds[1]);
  f->reader.data = f;
  uv_read_start ((uv_stream_t *)&f->reader, on_alloc, on_read);
  peer_timer_init (&f->peer_timer, &f->loop, on_expired, f);
}

static void
teardown (fixture_t *f)
{
  peer_timer_close (&f->peer_timer, on_closed);
  uv_close ((uv_handle_t *)&f->reader, NULL);
  uv_close ((uv_handle_t *)&f->writer, NULL);
  uv_run (&f->loop, UV_RUN_DEFAULT);
  ck_assert_int_eq (f->closed, 1);
  ck_assert_int_eq (uv_loop_close (&f->loop), 0);
}

/* Block the loop, as a long computation or a stop of the process does.  */
static void
block_loop (void)
{
  struct timespec duration = { .tv_nsec = BUSY_MS * 1000000L };

  nanosleep (&duration, NULL);
}

static void
on_run_end (uv_timer_t *timer)
{
  uv_stop (timer->loop);
}

/* Run the loop for MS milliseconds.  */
static void
run_loop_for (fixture_t *f, uint64_t ms)
{
  uv_timer_t run_timer;

  uv_timer_init (&f->loop, &run_timer);
  uv_timer_start (&run_timer, on_run_end, ms, 0);
  uv_run (&f->loop, UV_RUN_DEFAULT);
  uv_close ((uv_handle_t *)&run_timer, NULL);
  uv_run (&f->loop, UV_RUN_NOWAIT);
}

/* Failure: a gateway moves a client's stream away from a healthy engine.  The
   gateway reads a large configuration for longer than the engine's timeout.
   The engine answers meanwhile, but the answer is still unread when the
   timeout expires.  */
START_TEST (unread_answer_is_read_before_expiry)
{
  fixture_t f;
  uv_buf_t answer = uv_buf_init ((char *)"x", 1);

  setup (&f);
  peer_timer_start (&f.peer_timer, TIMEOUT_MS);
  ck_assert_int_eq (uv_try_write ((uv_stream_t *)&f.writer, &answer, 1), 1);
  block_loop ();
  run_loop_for (&f, TIMEOUT_MS * 3);
  ck_assert_int_eq (f.reads, 1);
  ck_assert_int_eq (f.expiries_before_read, 0);
  teardown (&f);
}
END_TEST

/* For a peer that sends nothing, the callback runs once, close to the timeout,
   and does not run after peer_timer_stop.  */
START_TEST (silent_peer_expires_once)
{
  fixture_t f;

  setup (&f);
  peer_timer_start (&f.peer_timer, TIMEOUT_MS);
  run_loop_for (&f, TIMEOUT_MS / 2);
  ck_assert_int_eq (f.expiries, 0);
  run_loop_for (&f, TIMEOUT_MS * 3);
  ck_assert_int_eq (f.expiries, 1);
  peer_timer_start (&f.peer_timer, 0);
  peer_timer_stop (&f.peer_timer);
  run_loop_for (&f, TIMEOUT_MS);
  ck_assert_int_eq (f.expiries, 1);
  teardown (&f);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("bound");
  TCase *tcase = tcase_create ("bound");

  tcase_add_test (tcase, unread_answer_is_read_before_expiry);
  tcase_add_test (tcase, silent_peer_expires_once);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
