/* Parsing of long configurations on the thread pool.  */

#include "gateway/loader.h"
#include "suite.h"

#include "base/str.h"

#include <string.h>

enum
{
  LONG_BYTES = LOADER_ASYNC_BYTES_MIN + 1,
  WORK_MS = 150
};

typedef struct
{
  uv_loop_t loop;
  loader_t *loader;
  uint64_t revisions[8]; /* Revisions of the parsed catalogs, in order.  */
  size_t count;
  size_t failed;
  bool was_busy; /* Whether loader_is_busy was true in the last callback.  */
  uv_timer_t tick;
  uint64_t last_iteration_ms;
  uint64_t
      iteration_max_ms; /* Longest time between two iterations of the loop.  */
} fixture_t;

/* The last text was parsed with pauses.  Read when it is in force.  */
static bool has_paused;

/* The first byte of TEXT is the revision; `x' is invalid.  A long text takes
   WORK_MS.  */
static vh_code_t
parse_slowly (str_t text, void (*pause) (void), catalog_t **out)
{
  has_paused = pause != NULL;
  if (text.len >= LONG_BYTES)
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
  f->was_busy = loader_is_busy (f->loader);
  catalog_unref (catalog);
}

static void
on_tick (uv_timer_t *timer)
{
  fixture_t *f = timer->data;
  uint64_t now_ms = uv_hrtime () / 1000000;

  if (f->last_iteration_ms != 0
      && now_ms - f->last_iteration_ms > f->iteration_max_ms)
    f->iteration_max_ms = now_ms - f->last_iteration_ms;
  f->last_iteration_ms = now_ms;
}

static void
setup (fixture_t *f)
{
  memset (f, 0, sizeof *f);
  uv_loop_init (&f->loop);
  f->loader = loader_create (&f->loop, parse_slowly, on_catalog, f);
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
submit (fixture_t *f, char revision, size_t len, bool is_urgent)
{
  char *text = calloc (1, len);

  memset (text, revision, len);
  loader_submit (f->loader, str_make (text, len), is_urgent);
  free (text);
}

/* Parsing a large configuration on the event loop delays all streams.  If two
   more texts arrive during the parsing, only the newest must be parsed.  */
START_TEST (long_text_does_not_block_the_loop)
{
  fixture_t f;

  setup (&f);
  submit (&f, '1', LONG_BYTES, false);
  ck_assert (loader_is_busy (f.loader));
  ck_assert_uint_eq (f.count, 0);
  submit (&f, '2', LONG_BYTES, false);
  submit (&f, '3', 10, false);
  while (f.count < 1)
    uv_run (&f.loop, UV_RUN_ONCE);
  /* The parsed text is not the newest one.  */
  ck_assert (f.was_busy);
  while (f.count < 2)
    uv_run (&f.loop, UV_RUN_ONCE);
  ck_assert (!f.was_busy);
  ck_assert_uint_eq (f.revisions[0], 1);
  ck_assert_uint_eq (f.revisions[1], 3);
  ck_assert (!loader_is_busy (f.loader));
  ck_assert_uint_lt (f.iteration_max_ms, WORK_MS / 2);
  teardown (&f);
}
END_TEST

/* A signal to stop that arrives while the first text is parsed must not wait
   for it, and the thread must not pause, as requests wait for the text.  */
START_TEST (first_text_does_not_block_the_loop)
{
  fixture_t f;

  setup (&f);
  submit (&f, '1', LONG_BYTES, true);
  ck_assert (loader_is_busy (f.loader));
  ck_assert_uint_eq (f.count, 0);
  while (f.count < 1)
    uv_run (&f.loop, UV_RUN_ONCE);
  ck_assert_uint_lt (f.iteration_max_ms, WORK_MS / 2);
  ck_assert (!has_paused);
  submit (&f, '2', LONG_BYTES, false);
  while (f.count < 2)
    uv_run (&f.loop, UV_RUN_ONCE);
  ck_assert (has_paused);
  teardown (&f);
}
END_TEST

/* Short texts must be in force at once, and invalid texts must be reported. */
START_TEST (short_texts_are_parsed_at_once)
{
  fixture_t f;

  setup (&f);
  submit (&f, '1', 10, true);
  ck_assert_uint_eq (f.count, 1);
  submit (&f, '2', 10, false);
  ck_assert_uint_eq (f.count, 2);
  submit (&f, 'x', 10, false);
  ck_assert_uint_eq (f.failed, 1);
  submit (&f, 'x', LONG_BYTES, false);
  while (f.failed < 2)
    uv_run (&f.loop, UV_RUN_ONCE);
  teardown (&f);
}
END_TEST

/* The loader is destroyed while a text is parsed.  The callback must not be
   called any more, and no memory may leak.  */
START_TEST (destroy_while_parsing_calls_no_callback)
{
  fixture_t f;

  setup (&f);
  submit (&f, '1', LONG_BYTES, false);
  submit (&f, '2', LONG_BYTES, false);
  teardown (&f);
  ck_assert_uint_eq (f.count, 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("loader");
  TCase *tcase = tcase_create ("loader");

  tcase_add_test (tcase, long_text_does_not_block_the_loop);
  tcase_add_test (tcase, short_texts_are_parsed_at_once);
  tcase_add_test (tcase, first_text_does_not_block_the_loop);
  tcase_add_test (tcase, destroy_while_parsing_calls_no_callback);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
