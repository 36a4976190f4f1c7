/* Virtual time for a test program: the clocks stand still while it runs, and
   advance to the next timer of its event loop when the loop has nothing else
   to do.  Delays of the machine add nothing to what a test measures, and
   waiting takes no time.

   The functions of the C library by which libuv and clock_system read clocks
   and wait are replaced in the program that links this file.  Sockets are
   real.  All work has to be done by one loop: what other threads and processes
   do takes no virtual time.  What the program queues for the thread pool is
   done at once.  */

#ifndef TESTS_VIRTUAL_TIME_H
#define TESTS_VIRTUAL_TIME_H

#include <stddef.h>
#include <stdint.h>

/* Set the clocks of this process to the next second, and let them stand still.
   Each iteration of a loop that finds a socket ready takes a time between 0
   and ITERATION_MAX_US, drawn from SEED, so that messages and timers meet in
   other orders with another seed.  */
void virtual_time_start (uint64_t seed, uint64_t iteration_max_us);
/* Fixture of a test case: call virtual_time_start with usual arguments, and
   let the clocks run again.  */
void virtual_time_setup (void);
void virtual_time_teardown (void);
/* Let MS pass in a callback, as work that takes so long.  */
void virtual_time_advance_ms (uint64_t ms);
/* Return the number of iterations since virtual_time_start that found a socket
   ready.  */
size_t virtual_time_iteration_count (void);

#endif
