/* Account of the memory that a process uses for what its clients and upstreams
   send and for what clients have not read yet.  Each holder counts its own
   part.  The account only counts: a holder that grows checks whether the
   budget is exceeded, and then releases memory.

   The rest of the machine's memory is for the program, its tables, the buffers
   that are not counted (docs/CAPACITY.md) and unused parts of the heap.  */

#ifndef BASE_MEMORY_BUDGET_H
#define BASE_MEMORY_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  /* Memory of the smallest machine that a process is meant for, in MB.  */
  MEMORY_BUDGET_MACHINE_MB = 88,
  /* Size up to which a request is small, in bytes.  */
  MEMORY_BUDGET_SMALL_BYTES = 16384
};

typedef struct
{
  size_t limit; /* In bytes; 0: no limit.  */
  size_t used;  /* In bytes.  */

  /* Since memory_budget_trim last returned memory: the largest USED, and the
     bytes that were released in blocks which the allocator keeps.  */
  size_t peak;
  size_t kept;
} memory_budget_t;

/* Return the limit for a machine with MACHINE_MB of memory, 0 for
   MEMORY_BUDGET_MACHINE_MB.  The limit leaves room for a request of
   REQUEST_BYTES_MAX, in bytes, and its copies, if the machine's memory does or
   is not known.  */
size_t memory_budget_limit (uint32_t machine_mb, size_t request_bytes_max);

/* Count that a holder uses NOW bytes instead of *COUNTED, and set *COUNTED to
   NOW.  */
void memory_budget_count (memory_budget_t *budget, size_t *counted,
                          size_t now);
/* Return whether BYTES more do not exceed the limit.  */
bool memory_budget_fits (const memory_budget_t *budget, size_t bytes);
/* Return whether large requests are to be evicted.  */
bool memory_budget_is_exceeded (const memory_budget_t *budget);
/* Return whether the limit is exceeded by more than an eighth, by which small
   requests may exceed it.  UNCOUNTED bytes are in use beside those that are
   counted.  */
bool memory_budget_is_exhausted (const memory_budget_t *budget,
                                 size_t uncounted);

/* Let large blocks be returned to the system when they are freed.  Otherwise
   the allocator keeps the memory of blocks of one size, and blocks of other
   sizes take more.  */
void memory_budget_configure_allocator (void);
/* Return the free memory of small blocks to the system, if much of the budget
   was in use and has been released.  Takes a time that grows with that memory;
   to be called when no released block is still in use.  */
void memory_budget_trim (memory_budget_t *budget);

#endif
