/* Load in a thread of its own, so that a test can break things meanwhile,
   with a record of what every caller received.  */

#ifndef TESTS_RUNNER_H
#define TESTS_RUNNER_H

#include "standins/load.h"

typedef struct runner runner_t;

/* One request; its strings belong to the runner.  Of a long body
   only the end is kept.  */
typedef struct
{
  loadgen_result_t result;
  uint64_t ended_ms; /* As harness_now_ms has it.  */
} record_t;

typedef struct
{
  size_t finished;
  size_t whole;
  size_t wrong;
  size_t not_run; /* By the outcome told.  */
  size_t unknown;
  size_t untold; /* Neither whole nor with an outcome.  */
  size_t cut;    /* Ended before a whole HTTP answer.  */
  uint64_t longest_us;
  uint64_t longest_wait_us; /* Between two pieces of one answer.  */
} tally_t;

/* Start; the strings of OPTIONS must outlive the runner.  */
runner_t *runner_start (const loadgen_options_t *options);
/* Start no more requests and wait for those in hand; may be called again.  */
void runner_stop (runner_t *runner);
/* Requests finished so far, while it runs.  */
size_t runner_finished (runner_t *runner);
/* After the stop: record INDEX, or NULL past the end.  */
const record_t *runner_at (const runner_t *runner, size_t index);
tally_t runner_tally (const runner_t *runner);
/* Print what went wrong with up to LIMIT requests.  */
void runner_complain (const runner_t *runner, size_t limit);
/* Stop and release.  NULL is accepted.  */
void runner_destroy (runner_t *runner);

#endif
