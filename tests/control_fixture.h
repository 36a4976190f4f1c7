/* Shared fixture for the tests of packages/control: an event loop, a manual
   clock, the in-memory platform and a fault-injecting platform around it.  */

#ifndef TESTS_CONTROL_FIXTURE_H
#define TESTS_CONTROL_FIXTURE_H

#include "control/store.h"
#include "faulty_platform.h"

typedef struct
{
  uv_loop_t loop;
  clock_iface_t *clock; /* Manual clock.  */
  platform_t *memory;   /* In-memory platform, without faults.  */
  platform_t *faulty;   /* Fault-injecting platform around MEMORY.  */
  control_env_t env;    /* Uses FAULTY and the manual clock.  */
} control_fixture_t;

void control_setup (control_fixture_t *f, uint64_t seed);
/* All objects created with F->env must have been destroyed.  */
void control_teardown (control_fixture_t *f);
/* Run the loop until *FLAG is true; the test fails after ten seconds.  The
   manual clock advances with real time.  */
void control_run_until (control_fixture_t *f, const bool *flag);
/* Run the loop for DURATION_MS of real time.  The manual clock advances with
   real time.  */
void control_run_for (control_fixture_t *f, uint64_t duration_ms);
/* Run the loop until no call of the faulty platform is pending.  */
void control_run_until_idle (control_fixture_t *f);
/* Return the number of rows in the in-memory platform whose key starts with
   PREFIX.  */
size_t control_count_rows (control_fixture_t *f, str_t prefix);
/* Append the value of the row KEY in the in-memory platform to VALUE.  Return
   false if the row is absent.  */
bool control_read_row (control_fixture_t *f, str_t key, buf_t *value);

#endif
