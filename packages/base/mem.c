#include "base/mem.h"

#include <stdio.h>
#include <stdlib.h>

static void *
abort_if_null (void *ptr, size_t size)
{
  if (ptr == NULL && size > 0)
    {
      fprintf (stderr, "<2>base: out of memory. bytes=%zu\n", size);
      abort ();
    }
  return ptr;
}

void *
mem_alloc (size_t size)
{
  return abort_if_null (malloc (size), size);
}

void *
mem_zalloc (size_t size)
{
  return abort_if_null (calloc (1, size), size);
}

void *
mem_realloc (void *ptr, size_t size)
{
  return abort_if_null (realloc (ptr, size), size);
}
