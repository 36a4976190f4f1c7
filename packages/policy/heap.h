/* A binary min-heap of intrusive nodes.  Each node stores its position, so
   that any node can be removed in O(log n).  */

#ifndef POLICY_HEAP_H
#define POLICY_HEAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct
{
  uint64_t key;
  uint64_t tie;      /* Order among equal keys; a sequence number gives
                        first-in-first-out order.  */
  uint32_t position; /* Index in the heap plus 1; 0 if in no heap.  */
} heap_node_t;

/* A heap; initialise with zeros.  The array doubles when full and never
   shrinks, so that a heap whose size has settled allocates nothing.  */
typedef struct
{
  heap_node_t **nodes;
  uint32_t count;
  uint32_t capacity;
} heap_t;

/* Insert NODE, whose key and tie the caller has set.  */
void heap_push (heap_t *heap, heap_node_t *node);
/* Remove NODE from HEAP.  Does nothing if NODE is in no heap.  */
void heap_remove (heap_t *heap, heap_node_t *node);
/* Restore the heap order after the key of NODE was changed.  */
void heap_update (heap_t *heap, heap_node_t *node);
/* Free the array of HEAP, but not the nodes.  */
void heap_free (heap_t *heap);

/* Return the node with the smallest key; NULL if HEAP is empty.  */
static inline heap_node_t *
heap_top (const heap_t *heap)
{
  return heap->count > 0 ? heap->nodes[0] : NULL;
}

#endif
