/* Real processes for tests: started, watched, paused, killed and always
   reaped.  Each harness has a loopback address and a folder of its own, so
   that tests run side by side.  Waits end with a failure at their deadline,
   never with a sleep that hopes.  */

#ifndef TESTS_HARNESS_H
#define TESTS_HARNESS_H

#include "base/str.h"

#include <jansson.h>
#include <signal.h>
#include <sys/types.h>

typedef struct harness harness_t;
typedef struct proc proc_t;

/* Return a harness with a fresh folder; aborts when there is none.  */
harness_t *harness_create (void);
/* Kill and reap all processes, remove the folder.  When FAILED, print the
   end of what each process said.  NULL is accepted.  */
void harness_destroy (harness_t *harness, bool failed);
/* The loopback address of this harness, such as 127.64.3.9.  */
const char *harness_host (const harness_t *harness);
/* Return a port of that address that nothing listens on.  */
uint16_t harness_find_free_port (harness_t *harness);
/* Write TEXT to file NAME in the folder; return its path, which lives as
   long as HARNESS.  */
const char *harness_write_file (harness_t *harness, const char *name,
                                str_t text);
/* Return the path of NAME in the folder.  */
const char *harness_file_path (harness_t *harness, const char *name);

/* Start PROGRAM, a path under the build folder such as tests/standin_engine,
   with the further arguments up to NULL.  NAME is for messages.  */
proc_t *harness_start (harness_t *harness, const char *name,
                       const char *program, ...) __attribute__ ((sentinel));
/* The same with an argument list that ends with NULL.  */
proc_t *harness_start_list (harness_t *harness, const char *name,
                            const char *program, const char *const *args);
/* Start a process that has ended once more.  */
void proc_restart (proc_t *proc);

pid_t proc_pid (const proc_t *proc);
const char *proc_name (const proc_t *proc);
/* Tell whether it still runs; reaps it when not.  */
bool proc_is_running (proc_t *proc);
/* Wait until its standard output has the line "WORD NUMBER"; return the
   number, or 0 when it ended or WAIT_MS passed.  */
uint16_t proc_wait_port (proc_t *proc, const char *word, uint64_t wait_ms);
/* Append what it wrote to standard output or standard error to OUT.  */
void proc_read_output (const proc_t *proc, bool is_stderr, buf_t *out);
void proc_signal (proc_t *proc, int signum);
/* Wait for its end; return its exit status, 256 plus the number of the signal
   that ended it, or -1 when WAIT_MS passed.  */
int proc_wait (proc_t *proc, uint64_t wait_ms);
/* SIGKILL and reap.  */
void proc_kill (proc_t *proc);
/* Processor time used so far, in microseconds.  */
uint64_t proc_read_cpu_us (const proc_t *proc);

/* Monotonic milliseconds.  */
uint64_t harness_now_ms (void);
void harness_sleep_ms (uint64_t ms);

/* Evaluate CONDITION until it holds or WAIT_MS passed; *HELD tells which.  */
#define WAIT_UNTIL(condition, wait_ms, held)                                  \
  do                                                                          \
    {                                                                         \
      uint64_t wait_end_ = harness_now_ms () + (wait_ms);                     \
      while (!(*(held) = (condition)) && harness_now_ms () < wait_end_)       \
        harness_sleep_ms (5);                                                 \
    }                                                                         \
  while (0)

/* Fail the test unless CONDITION holds within WAIT_MS.  */
#define WAIT_FOR(condition, wait_ms)                                          \
  do                                                                          \
    {                                                                         \
      bool wait_held_;                                                        \
      WAIT_UNTIL (condition, wait_ms, &wait_held_);                           \
      ck_assert_msg (wait_held_, "not within %d ms: %s", (int)(wait_ms),      \
                     #condition);                                             \
    }                                                                         \
  while (0)

#endif
