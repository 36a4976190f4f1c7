/* Spreads the instances of a version over a number of cells, in which their
   answers are counted apart.  All processes that know the same instances come
   to the same cells, so that their counts can be added.  By a hash alone some
   instances would share a cell while others are empty: with 18 instances and
   64 cells, two or three do. */

#ifndef POLICY_INSTANCE_CELLS_H
#define POLICY_INSTANCE_CELLS_H

#include <stddef.h>
#include <stdint.h>

typedef struct
{
  uint64_t version_hash;
  uint64_t id_hash;
  uint32_t *cell; /* Where the result is stored.  */
} instance_cell_t;

/* Set the cell of each of the COUNT instances, below CELL_COUNT.  Those of a
   version take the cell of their hash, in the order of their hashes, or the
   next one with fewer instances; so few change it when one is added.
   INSTANCES is sorted.  */
void instance_cells_assign (instance_cell_t *instances, size_t count,
                            uint32_t cell_count);

#endif
