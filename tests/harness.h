/* Starts, monitors, pauses, kills and reaps processes for tests.  Each harness
   has its own loopback address and temporary directory, so that tests can run
   in parallel.  Tests poll for a condition until a deadline and fail there,
   instead of sleeping for a fixed time.  */

#ifndef TESTS_HARNESS_H
#define TESTS_HARNESS_H

#include "base/str.h"

#include <jansson.h>
#include <signal.h>
#include <sys/types.h>

typedef struct harness harness_t;
typedef struct proc proc_t;

/* Return a harness with a new temporary directory.  Aborts the test program
   when the directory cannot be created.  */
harness_t *harness_create (void);
/* Kill and reap all processes and remove the directory.  When FAILED, print
   the last bytes of each process's standard error.  HARNESS may be NULL.  */
void harness_destroy (harness_t *harness, bool failed);
/* Return the loopback address of HARNESS, such as 127.64.3.9.  */
const char *harness_host (const harness_t *harness);
/* Return a TCP port on the address of HARNESS that no process listens on.  */
uint16_t harness_find_free_port (harness_t *harness);
/* Write TEXT to file NAME in the directory of HARNESS.  Return the path of the
   file, owned by HARNESS.  */
const char *harness_write_file (harness_t *harness, const char *name,
                                str_t text);
/* Return the path of file NAME in the directory of HARNESS, owned by
   HARNESS.  */
const char *harness_file_path (harness_t *harness, const char *name);

/* Start PROGRAM, a path relative to the build directory such as
   tests/standin_engine, with the arguments that follow, which end with NULL.
   NAME identifies the process in messages.  */
proc_t *harness_start (harness_t *harness, const char *name,
                       const char *program, ...) __attribute__ ((sentinel));
/* Start PROGRAM like harness_start, with the arguments in ARGS, which end with
   NULL.  */
proc_t *harness_start_argv (harness_t *harness, const char *name,
                            const char *program, const char *const *args);
/* Start the program of PROC again.  Aborts when PROC is still running.  */
void proc_restart (proc_t *proc);

pid_t proc_pid (const proc_t *proc);
const char *proc_name (const proc_t *proc);
/* Return whether PROC is running.  Reaps PROC when it has exited.  */
bool proc_is_running (proc_t *proc);
/* Wait until the standard output of PROC has the line "LABEL NUMBER".  Return
   the number, or 0 when PROC exited or WAIT_MS passed.  */
uint16_t proc_wait_port (proc_t *proc, const char *label, uint64_t wait_ms);
/* Append everything that PROC wrote to its standard output, or standard error
   when IS_STDERR, to OUT.  */
void proc_read_output (const proc_t *proc, bool is_stderr, buf_t *out);
void proc_signal (proc_t *proc, int signum);
/* Wait until PROC exits.  Return its exit status, 256 plus the signal number
   when a signal terminated PROC, or -1 when WAIT_MS passed.  */
int proc_wait (proc_t *proc, uint64_t wait_ms);
/* Send SIGKILL to PROC and reap it.  */
void proc_kill (proc_t *proc);
/* Return the user and system CPU time used by PROC, in microseconds.  */
uint64_t proc_read_cpu_us (const proc_t *proc);

/* Return the time of the monotonic clock, in ms.  */
uint64_t harness_now_ms (void);
void harness_sleep_ms (uint64_t ms);

/* Evaluate CONDITION every 5 ms until it is true or WAIT_MS passed, and store
   its last value in *IS_MET.  */
#define WAIT_UNTIL(condition, wait_ms, is_met)                                \
  do                                                                          \
    {                                                                         \
      uint64_t wait_end_ = harness_now_ms () + (wait_ms);                     \
      while (!(*(is_met) = (condition)) && harness_now_ms () < wait_end_)     \
        harness_sleep_ms (5);                                                 \
    }                                                                         \
  while (0)

/* Fail the test unless CONDITION becomes true within WAIT_MS.  */
#define WAIT_FOR(condition, wait_ms)                                          \
  do                                                                          \
    {                                                                         \
      bool wait_is_met_;                                                      \
      WAIT_UNTIL (condition, wait_ms, &wait_is_met_);                         \
      ck_assert_msg (wait_is_met_, "not within %d ms: %s", (int)(wait_ms),    \
                     #condition);                                             \
    }                                                                         \
  while (0)

#endif
