#include "policy/instance_cells.h"

#include "base/mem.h"

#include <stdlib.h>
#include <string.h>

static int
compare_u64 (uint64_t a, uint64_t b)
{
  return (a > b) - (a < b);
}

static int
compare_instances (const void *a, const void *b)
{
  const instance_cell_t *x = a;
  const instance_cell_t *y = b;
  int order = compare_u64 (x->version_hash, y->version_hash);

  return order != 0 ? order : compare_u64 (x->id_hash, y->id_hash);
}

void
instance_cells_assign (instance_cell_t *instances, size_t count,
                       uint32_t cell_count)
{
  uint32_t *used = mem_alloc (cell_count * sizeof *used);

  qsort (instances, count, sizeof *instances, compare_instances);
  for (size_t i = 0; i < count; i++)
    {
      uint32_t start = (uint32_t)(instances[i].id_hash % cell_count);
      uint32_t cell = start;
      if (i == 0 || instances[i].version_hash != instances[i - 1].version_hash)
        memset (used, 0, cell_count * sizeof *used);
      for (uint32_t step = 1; step < cell_count && used[cell] > 0; step++)
        if (used[(start + step) % cell_count] < used[cell])
          cell = (start + step) % cell_count;
      used[cell]++;
      *instances[i].cell = cell;
    }
  free (used);
}
