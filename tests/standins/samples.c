#include "standins/samples.h"

#include "base/mem.h"

#include <stdlib.h>

enum
{
  INITIAL_CAPACITY = 1024
};

void
samples_add (samples_t *samples, uint64_t value)
{
  if (samples->count == samples->cap)
    {
      samples->cap = samples->cap > 0 ? 2 * samples->cap : INITIAL_CAPACITY;
      samples->values
          = mem_realloc (samples->values, samples->cap * sizeof (uint64_t));
    }
  samples->values[samples->count++] = value;
}

static int
compare_u64 (const void *a, const void *b)
{
  uint64_t left = *(const uint64_t *)a;
  uint64_t right = *(const uint64_t *)b;

  return left < right ? -1 : left > right;
}

uint64_t
samples_quantile (samples_t *samples, double q)
{
  if (samples->count == 0)
    return 0;
  qsort (samples->values, samples->count, sizeof (uint64_t), compare_u64);
  return samples->values[(size_t)(q * (double)(samples->count - 1))];
}

void
samples_free (samples_t *samples)
{
  free (samples->values);
  *samples = (samples_t){ NULL, 0, 0 };
}
