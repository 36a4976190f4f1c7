#include "control_fixture.h"

#include <check.h>
#include <stdlib.h>

enum
{
  WAIT_TIMEOUT_MS = 10000,
  CLOCK_START_S = 1800000000, /* 15 January 2027, 08:00 UTC.  */
  SCAN_LIMIT = 100000
};

void
control_setup (control_fixture_t *f, uint64_t seed)
{
  memset (f, 0, sizeof *f);
  uv_loop_init (&f->loop);
  f->clock = clock_manual_create (CLOCK_START_S);
  f->memory = platform_memory_create (&f->loop);
  f->faulty = faulty_create (&f->loop, f->memory, seed);
  f->env = (control_env_t){ &f->loop, f->clock, f->faulty, seed };
}

void
control_teardown (control_fixture_t *f)
{
  control_run_until_idle (f);
  f->faulty->ops->destroy (f->faulty);
  f->memory->ops->destroy (f->memory);
  uv_run (&f->loop, UV_RUN_DEFAULT);
  ck_assert_int_eq (uv_loop_close (&f->loop), 0);
  clock_manual_destroy (f->clock);
}

/* Run one iteration of the loop, of at most about 1 ms, so that callers check
   their deadline in time.  */
static void
run_once (control_fixture_t *f)
{
  uint64_t before_us = clock_us (clock_system ());

  if (uv_run (&f->loop, UV_RUN_NOWAIT) == 0
      || clock_us (clock_system ()) - before_us < 20)
    uv_sleep (1);
  clock_manual_advance_us (f->clock, clock_us (clock_system ()) - before_us);
}

void
control_run_until (control_fixture_t *f, const bool *flag)
{
  uint64_t end_ms = clock_ms (clock_system ()) + WAIT_TIMEOUT_MS;

  while (!*flag)
    {
      ck_assert_msg (clock_ms (clock_system ()) < end_ms,
                     "condition not met before the timeout");
      run_once (f);
    }
}

void
control_run_for (control_fixture_t *f, uint64_t duration_ms)
{
  uint64_t end_ms = clock_ms (clock_system ()) + duration_ms;

  while (clock_ms (clock_system ()) < end_ms)
    run_once (f);
}

void
control_run_until_idle (control_fixture_t *f)
{
  uint64_t end_ms = clock_ms (clock_system ()) + WAIT_TIMEOUT_MS;

  do
    {
      ck_assert_msg (clock_ms (clock_system ()) < end_ms,
                     "calls still pending after the timeout");
      run_once (f);
    }
  while (faulty_pending (f->faulty) > 0);
}

typedef struct
{
  bool is_done;
  size_t count;
  buf_t *value;
  bool is_found;
} query_t;

static void
on_scan (void *arg, vh_code_t code, const row_t *rows, size_t count, bool more)
{
  query_t *query = arg;

  (void)rows;
  ck_assert_int_eq (code, VH_OK);
  ck_assert (!more);
  query->count = count;
  query->is_done = true;
}

size_t
control_count_rows (control_fixture_t *f, str_t prefix)
{
  query_t query = { 0 };

  f->memory->ops->scan (f->memory, prefix, STR_NULL, SCAN_LIMIT, on_scan,
                        &query);
  control_run_until (f, &query.is_done);
  return query.count;
}

static void
on_get (void *arg, vh_code_t code, const row_t *row)
{
  query_t *query = arg;

  query->is_found = code == VH_OK;
  if (query->is_found)
    buf_append_str (query->value, row->value);
  query->is_done = true;
}

bool
control_read_row (control_fixture_t *f, str_t key, buf_t *value)
{
  query_t query = { .value = value };

  f->memory->ops->get (f->memory, key, on_get, &query);
  control_run_until (f, &query.is_done);
  return query.is_found;
}
