#include "base/memory_budget.h"

#include <malloc.h>

enum
{
  /* Memory of the program and its tables, in MB.  */
  OWN_MB = 28,
  BYTES_PER_MB = 1000000,
  /* Room for a request, its copies, and others beside it.  */
  LARGE_REQUESTS_MIN = 8,
  SMALL_REQUESTS_DIVISOR = 8,
  /* Size from which a block is returned to the system when it is freed, and
     free memory at the end of the heap above which that is returned.  */
  RETURNED_BLOCK_BYTES = 256 * 1024,
  FREE_END_BYTES = 1024 * 1024,
  /* Parts of the limit that have to be in use, and released, before memory is
     returned to the system.  */
  TRIM_PEAK_DIVISOR = 2,
  TRIM_KEPT_DIVISOR = 16
};

size_t
memory_budget_limit (uint32_t machine_mb, size_t request_bytes_max)
{
  size_t mb = machine_mb > 0 ? machine_mb : MEMORY_BUDGET_MACHINE_MB;
  size_t available
      = (mb > 2 * OWN_MB ? mb - OWN_MB : mb / 2) * (size_t)BYTES_PER_MB;
  size_t limit = available / 4 * 3;
  size_t least = LARGE_REQUESTS_MIN * request_bytes_max;

  if (machine_mb > 0 && least > available)
    least = available;
  return limit > least ? limit : least;
}

void
memory_budget_count (memory_budget_t *budget, size_t *counted, size_t now)
{
  if (now < *counted && *counted - now < RETURNED_BLOCK_BYTES)
    budget->kept += *counted - now;
  budget->used += now - *counted;
  *counted = now;
  if (budget->used > budget->peak)
    budget->peak = budget->used;
}

void
memory_budget_trim (memory_budget_t *budget)
{
  if (budget->limit == 0 || budget->peak < budget->limit / TRIM_PEAK_DIVISOR
      || budget->kept < budget->limit / TRIM_KEPT_DIVISOR)
    return;
  malloc_trim (0);
  budget->peak = budget->used;
  budget->kept = 0;
}

bool
memory_budget_fits (const memory_budget_t *budget, size_t bytes)
{
  return budget->limit == 0 || budget->used + bytes <= budget->limit;
}

bool
memory_budget_is_exceeded (const memory_budget_t *budget)
{
  return budget->limit > 0 && budget->used > budget->limit;
}

bool
memory_budget_is_exhausted (const memory_budget_t *budget, size_t uncounted)
{
  return budget->limit > 0
         && budget->used + uncounted
                > budget->limit + budget->limit / SMALL_REQUESTS_DIVISOR;
}

void
memory_budget_configure_allocator (void)
{
  mallopt (M_MMAP_THRESHOLD, RETURNED_BLOCK_BYTES);
  mallopt (M_TRIM_THRESHOLD, FREE_END_BYTES);
}
