#include "runner.h"

#include "base/mem.h"
#include "harness.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>

/* h2o keeps freed blocks in a list of each thread and never gives them up.
   The callers' thread ends before the program, so the leak checker finds its
   list, and only that, without an owner.  */
const char *__lsan_default_suppressions (void); /* NOLINT: its name.  */

const char *
__lsan_default_suppressions (void) /* NOLINT: its name.  */
{
  return "leak:h2o_mem_alloc_recycle\n";
}

enum
{
  BODY_KEPT = 240
};

struct runner
{
  loadgen_options_t options;
  pthread_t thread;
  uv_loop_t loop;
  load_t *load;
  bool over;
  bool joined;
  atomic_size_t finished;
  record_t *records;
  size_t count;
  size_t cap;
};

static str_t
keep (str_t s, size_t limit)
{
  if (s.len > limit)
    s.len = limit;
  return str_make (str_dup (s), s.len);
}

static void
on_finished (void *arg, const loadgen_result_t *result)
{
  runner_t *runner = arg;

  if (runner->count == runner->cap)
    {
      runner->cap = runner->cap > 0 ? 2 * runner->cap : 256;
      runner->records
          = mem_realloc (runner->records, runner->cap * sizeof (record_t));
    }
  record_t *record = &runner->records[runner->count++];
  record->result = *result;
  record->ended_ms = harness_now_ms ();
  record->result.key = keep (result->key, SIZE_MAX);
  record->result.request_id = keep (result->request_id, SIZE_MAX);
  record->result.outcome = keep (result->outcome, SIZE_MAX);
  record->result.version = keep (result->version, SIZE_MAX);
  /* The end of a long body tells more than its beginning.  */
  str_t body = result->body;
  if (body.len > BODY_KEPT)
    body = str_make (body.ptr + body.len - BODY_KEPT, BODY_KEPT);
  record->result.body = keep (body, BODY_KEPT);
  atomic_fetch_add (&runner->finished, 1);
}

static void
on_over (void *arg)
{
  ((runner_t *)arg)->over = true;
}

static void *
run (void *arg)
{
  runner_t *runner = arg;

  while (!runner->over)
    uv_run (&runner->loop, UV_RUN_ONCE);
  return NULL;
}

runner_t *
runner_start (const loadgen_options_t *options)
{
  runner_t *runner = mem_zalloc (sizeof *runner);

  runner->options = *options;
  runner->options.finished = on_finished;
  runner->options.over = on_over;
  runner->options.arg = runner;
  uv_loop_init (&runner->loop);
  runner->load = loadgen_create (&runner->loop, &runner->options);
  if (runner->load == NULL
      || pthread_create (&runner->thread, NULL, run, runner) != 0)
    abort ();
  return runner;
}

void
runner_stop (runner_t *runner)
{
  if (runner->joined)
    return;
  loadgen_stop (runner->load);
  pthread_join (runner->thread, NULL);
  runner->joined = true;
  /* Only now: a load that reached its end may still be told to stop.  */
  loadgen_destroy (runner->load);
  uv_run (&runner->loop, UV_RUN_DEFAULT);
  uv_loop_close (&runner->loop);
}

size_t
runner_finished (runner_t *runner)
{
  return atomic_load (&runner->finished);
}

const record_t *
runner_at (const runner_t *runner, size_t index)
{
  return index < runner->count ? &runner->records[index] : NULL;
}

tally_t
runner_tally (const runner_t *runner)
{
  tally_t tally = { 0 };

  for (size_t i = 0; i < runner->count; i++)
    {
      const loadgen_result_t *result = &runner->records[i].result;
      tally.finished++;
      tally.whole += result->whole;
      tally.wrong += result->wrong;
      tally.cut += result->code != VH_OK;
      if (result->whole)
        {
          if (result->total_us > tally.longest_us)
            tally.longest_us = result->total_us;
          if (result->between_us > tally.longest_wait_us)
            tally.longest_wait_us = result->between_us;
        }
      else if (str_eq (result->outcome, STR ("not-run")))
        tally.not_run++;
      else if (str_eq (result->outcome, STR ("unknown")))
        tally.unknown++;
      else
        tally.untold++;
    }
  return tally;
}

void
runner_complain (const runner_t *runner, size_t limit)
{
  for (size_t i = 0; i < runner->count && limit > 0; i++)
    {
      const loadgen_result_t *result = &runner->records[i].result;
      if (result->whole && !result->wrong)
        continue;
      limit--;
      fprintf (stderr,
               "request %" PRIu64 " %s%s sends=%u status=%d end=%s "
               "outcome=%.*s%s after=%" PRIu64 "ms: %.*s\n",
               result->number, result->is_service ? "service" : "chat",
               result->streamed ? " streamed" : "", result->sends,
               result->status, code_info (result->code)->type,
               STR_ARG (result->outcome), result->wrong ? " WRONG" : "",
               result->total_us / 1000, STR_ARG (result->body));
    }
}

void
runner_destroy (runner_t *runner)
{
  if (runner == NULL)
    return;
  runner_stop (runner);
  for (size_t i = 0; i < runner->count; i++)
    {
      const loadgen_result_t *result = &runner->records[i].result;
      free ((char *)result->key.ptr);
      free ((char *)result->request_id.ptr);
      free ((char *)result->outcome.ptr);
      free ((char *)result->version.ptr);
      free ((char *)result->body.ptr);
    }
  free (runner->records);
  free (runner);
}
