/* Runs a load generator in a separate thread, so that a test can inject faults
   meanwhile, and records the result of every request.  */

#ifndef TESTS_RUNNER_H
#define TESTS_RUNNER_H

#include "standins/loadgen.h"

typedef struct runner runner_t;

/* A finished request.  The runner owns the strings and keeps only the end of a
   long body.  */
typedef struct
{
  loadgen_result_t result;
  uint64_t ended_ms; /* Time of the end, from harness_now_ms.  */
} request_record_t;

typedef struct
{
  /* Finished requests: the sum of COMPLETE, NOT_RUN, UNKNOWN and
     WITHOUT_OUTCOME.  */
  size_t finished;
  size_t complete;             /* Complete responses with a 2xx status.  */
  size_t mismatched;           /* Complete responses with unexpected bytes.  */
  size_t not_run;              /* Incomplete, with outcome `not-run'.  */
  size_t unknown;              /* Incomplete, with outcome `unknown'.  */
  size_t without_outcome;      /* Incomplete, without either outcome.  */
  size_t transport_failed;     /* Ended before a complete HTTP response.  */
  uint64_t longest_request_us; /* Longest complete request, in us.  */
  /* Longest time between two parts of a complete response, in us.  */
  uint64_t longest_gap_us;
} result_counts_t;

/* Start the load generator in a new thread.  The strings of OPTIONS must
   outlive the runner.  */
runner_t *runner_start (const loadgen_options_t *options);
/* Stop starting requests and wait until the pending ones finish.  May be
   called more than once.  */
void runner_stop (runner_t *runner);
/* Return the number of requests finished so far.  Safe while the load
   runs.  */
size_t runner_finished (runner_t *runner);
/* Return record INDEX, or NULL past the end.  Call only after
   runner_stop.  */
const request_record_t *runner_record_at (const runner_t *runner,
                                          size_t index);
/* Return the totals of all records.  Call only after runner_stop.  */
result_counts_t runner_count_results (const runner_t *runner);
/* Print up to LIMIT incomplete or wrong responses to standard error.  */
void runner_print_failures (const runner_t *runner, size_t limit);
/* Stop the load and release RUNNER, which may be NULL.  */
void runner_destroy (runner_t *runner);

#endif
