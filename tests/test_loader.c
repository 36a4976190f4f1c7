/* Long configurations, read beside the loop.  */

#include "gateway/loader.h"
#include "suite.h"

#include "base/str.h"

#include <string.h>

enum
{
  LONG = LOADER_ASYNC_BYTES_MIN + 1,
  WORK_MS = 150
};

typedef struct
{
  uv_loop_t loop;
  loader_t *loader;
  uint64_t revisions[8]; /* That came, in order.  */
  size_t count;
  size_t failed;
  bool busy_at; /* When the last one came.  */
  uv_timer_t tick;
  uint64_t last_ms;
  uint64_t worst_ms; /* Longest that the loop stood still.  */
} fixture_t;

/* The revision is the first byte; a long one takes its time.  */
static vh_code_t
read_slowly (str_t text, void (*pause) (void), catalog_t **out)
{
  if (text.len >= LONG)
    for (int i = 0; i < WORK_MS / 2; i++)
      {
        uv_sleep (1);
        if (pause != NULL)
          pause ();
      }
  if (text.ptr[0] == 'x')
    return VH_E_BAD_FIELD;
  *out = catalog_create ((uint64_t)(text.ptr[0] - '0'));
  return VH_OK;
}

static void
on_catalog (void *arg, vh_code_t code, catalog_t *catalog, size_t len)
{
  fixture_t *f = arg;

  (void)len;
  if (code != VH_OK)
    f->failed++;
  else
    f->revisions[f->count++] = catalog_revision (catalog);
  f->busy_at = loader_is_busy (f->loader);
  catalog_unref (catalog);
}

static void
on_tick (uv_timer_t *timer)
{
  fixture_t *f = timer->data;
  uint64_t now_ms = uv_hrtime () / 1000000;

  if (f->last_ms != 0 && now_ms - f->last_ms > f->worst_ms)
    f->worst_ms = now_ms - f->last_ms;
  f->last_ms = now_ms;
}

static void
setup (fixture_t *f)
{
  memset (f, 0, sizeof *f);
  uv_loop_init (&f->loop);
  f->loader = loader_create (&f->loop, read_slowly, on_catalog, f);
  uv_timer_init (&f->loop, &f->tick);
  f->tick.data = f;
  uv_timer_start (&f->tick, on_tick, 0, 1);
}

static void
teardown (fixture_t *f)
{
  loader_destroy (f->loader);
  uv_close ((uv_handle_t *)&f->tick, NULL);
  uv_run (&f->loop, UV_RUN_DEFAULT);
  ck_assert_int_eq (uv_loop_close (&f->loop), 0);
}

static void
take (fixture_t *f, char revision, size_t len, bool first)
{
  char *text = calloc (1, len);

  memset (text, revision, len);
  loader_submit (f->loader, str_make (text, len), first);
  free (text);
}

/* A large configuration comes while streams pass through.  Each event of
   theirs goes on at once: the loop does not stand still for the reading.  Of
   two more that come meanwhile the last one is read.  */
START_TEST (streams_go_on_while_a_long_one_is_read)
{
  fixture_t f;

  setup (&f);
  take (&f, '1', LONG, false);
  ck_assert (loader_is_busy (f.loader));
  ck_assert_uint_eq (f.count, 0);
  take (&f, '2', LONG, false);
  take (&f, '3', 10, false);
  while (f.count < 1)
    uv_run (&f.loop, UV_RUN_ONCE);
  /* What came is not the newest.  */
  ck_assert (f.busy_at);
  while (f.count < 2)
    uv_run (&f.loop, UV_RUN_ONCE);
  ck_assert (!f.busy_at);
  ck_assert_uint_eq (f.revisions[0], 1);
  ck_assert_uint_eq (f.revisions[1], 3);
  ck_assert (!loader_is_busy (f.loader));
  ck_assert_uint_lt (f.worst_ms, WORK_MS / 2);
  teardown (&f);
}
END_TEST

/* The first one and short ones are in force at once, bad ones are told.  */
START_TEST (the_first_and_short_ones_are_read_at_once)
{
  fixture_t f;

  setup (&f);
  take (&f, '1', LONG, true);
  ck_assert_uint_eq (f.count, 1);
  take (&f, '2', 10, false);
  ck_assert_uint_eq (f.count, 2);
  take (&f, 'x', 10, false);
  ck_assert_uint_eq (f.failed, 1);
  take (&f, 'x', LONG, false);
  while (f.failed < 2)
    uv_run (&f.loop, UV_RUN_ONCE);
  teardown (&f);
}
END_TEST

/* The process stops while one is read: nothing is told any more, and nothing
   is left behind.  */
START_TEST (a_stop_does_not_wait)
{
  fixture_t f;

  setup (&f);
  take (&f, '1', LONG, false);
  take (&f, '2', LONG, false);
  teardown (&f);
  ck_assert_uint_eq (f.count, 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("loader");
  TCase *tcase = tcase_create ("loader");

  tcase_add_test (tcase, streams_go_on_while_a_long_one_is_read);
  tcase_add_test (tcase, the_first_and_short_ones_are_read_at_once);
  tcase_add_test (tcase, a_stop_does_not_wait);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
