#include "runner.h"

#include "base/mem.h"
#include "harness.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>

/* h2o keeps freed blocks in a thread-local list and never releases them.  The
   load thread exits before the program, so LeakSanitizer reports the blocks of
   that list as leaked.  */
const char *__lsan_default_suppressions (void); /* NOLINT: name set by LSan. */

const char *
__lsan_default_suppressions (void) /* NOLINT: name set by LSan.  */
{
  return "leak:h2o_mem_alloc_recycle\n";
}

enum
{
  BODY_TAIL_BYTES = 240
};

struct runner
{
  loadgen_options_t options;
  pthread_t thread;
  uv_loop_t loop;
  loadgen_t *load;
  bool has_ended;
  bool is_joined;
  atomic_size_t finished;
  request_record_t *records;
  size_t count;
  size_t cap;
};

static str_t
copy_prefix (str_t s, size_t limit)
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
      runner->records = mem_realloc (runner->records,
                                     runner->cap * sizeof (request_record_t));
    }
  request_record_t *record = &runner->records[runner->count++];
  record->result = *result;
  record->ended_ms = harness_now_ms ();
  record->result.key = copy_prefix (result->key, SIZE_MAX);
  record->result.request_id = copy_prefix (result->request_id, SIZE_MAX);
  record->result.outcome = copy_prefix (result->outcome, SIZE_MAX);
  record->result.version = copy_prefix (result->version, SIZE_MAX);
  /* Errors appear at the end of a long body rather than at its start.  */
  str_t body = result->body;
  if (body.len > BODY_TAIL_BYTES)
    body = str_make (body.ptr + body.len - BODY_TAIL_BYTES, BODY_TAIL_BYTES);
  record->result.body = copy_prefix (body, BODY_TAIL_BYTES);
  atomic_fetch_add (&runner->finished, 1);
}

static void
on_load_ended (void *arg)
{
  ((runner_t *)arg)->has_ended = true;
}

static void *
run_loop (void *arg)
{
  runner_t *runner = arg;

  while (!runner->has_ended)
    uv_run (&runner->loop, UV_RUN_ONCE);
  return NULL;
}

runner_t *
runner_start (const loadgen_options_t *options)
{
  runner_t *runner = mem_zalloc (sizeof *runner);

  runner->options = *options;
  runner->options.on_result = on_finished;
  runner->options.on_complete = on_load_ended;
  runner->options.arg = runner;
  uv_loop_init (&runner->loop);
  runner->load = loadgen_create (&runner->loop, &runner->options);
  if (runner->load == NULL
      || pthread_create (&runner->thread, NULL, run_loop, runner) != 0)
    abort ();
  return runner;
}

void
runner_stop (runner_t *runner)
{
  if (runner->is_joined)
    return;
  loadgen_stop (runner->load);
  pthread_join (runner->thread, NULL);
  runner->is_joined = true;
  /* Destroyed only here because loadgen_stop above may be called on a load
     that has already ended.  */
  loadgen_destroy (runner->load);
  uv_run (&runner->loop, UV_RUN_DEFAULT);
  uv_loop_close (&runner->loop);
}

size_t
runner_finished (runner_t *runner)
{
  return atomic_load (&runner->finished);
}

const request_record_t *
runner_record_at (const runner_t *runner, size_t index)
{
  return index < runner->count ? &runner->records[index] : NULL;
}

result_counts_t
runner_count_results (const runner_t *runner)
{
  result_counts_t counts = { 0 };

  for (size_t i = 0; i < runner->count; i++)
    {
      const loadgen_result_t *result = &runner->records[i].result;
      counts.finished++;
      counts.complete += result->is_complete;
      counts.mismatched += result->has_wrong_body;
      counts.transport_failed += result->code != VH_OK;
      if (result->is_complete)
        {
          if (result->total_us > counts.longest_request_us)
            counts.longest_request_us = result->total_us;
          if (result->max_chunk_gap_us > counts.longest_gap_us)
            counts.longest_gap_us = result->max_chunk_gap_us;
        }
      else if (str_eq (result->outcome, STR ("not-run")))
        counts.not_run++;
      else if (str_eq (result->outcome, STR ("unknown")))
        counts.unknown++;
      else
        counts.without_outcome++;
    }
  return counts;
}

void
runner_print_failures (const runner_t *runner, size_t limit)
{
  for (size_t i = 0; i < runner->count && limit > 0; i++)
    {
      const loadgen_result_t *result = &runner->records[i].result;
      if (result->is_complete && !result->has_wrong_body)
        continue;
      limit--;
      fprintf (stderr,
               "request %" PRIu64 " %s%s sends=%u status=%d end=%s "
               "outcome=%.*s%s after=%" PRIu64 "ms: %.*s\n",
               result->number, result->is_service ? "service" : "chat",
               result->is_streamed ? " streamed" : "", result->send_count,
               result->status, code_info (result->code)->type,
               STR_ARG (result->outcome),
               result->has_wrong_body ? " WRONG" : "", result->total_us / 1000,
               STR_ARG (result->body));
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
