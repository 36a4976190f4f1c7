#include "policy/heap.h"

#include "base/mem.h"

#include <stdlib.h>

enum
{
  HEAP_INITIAL_CAPACITY = 16
};

static bool
is_before (const heap_node_t *a, const heap_node_t *b)
{
  return a->key < b->key || (a->key == b->key && a->tie < b->tie);
}

static void
set_node (heap_t *heap, uint32_t index, heap_node_t *node)
{
  heap->nodes[index] = node;
  node->position = index + 1;
}

static void
sift_up (heap_t *heap, uint32_t index, heap_node_t *node)
{
  while (index > 0 && is_before (node, heap->nodes[(index - 1) / 2]))
    {
      set_node (heap, index, heap->nodes[(index - 1) / 2]);
      index = (index - 1) / 2;
    }
  set_node (heap, index, node);
}

static void
sift_down (heap_t *heap, uint32_t index, heap_node_t *node)
{
  for (;;)
    {
      uint32_t child = 2 * index + 1;

      if (child >= heap->count)
        break;
      if (child + 1 < heap->count
          && is_before (heap->nodes[child + 1], heap->nodes[child]))
        child++;
      if (!is_before (heap->nodes[child], node))
        break;
      set_node (heap, index, heap->nodes[child]);
      index = child;
    }
  set_node (heap, index, node);
}

void
heap_push (heap_t *heap, heap_node_t *node)
{
  if (heap->count == heap->capacity)
    {
      heap->capacity
          = heap->capacity > 0 ? heap->capacity * 2 : HEAP_INITIAL_CAPACITY;
      heap->nodes
          = mem_realloc (heap->nodes, heap->capacity * sizeof (heap_node_t *));
    }
  heap->count++;
  sift_up (heap, heap->count - 1, node);
}

void
heap_update (heap_t *heap, heap_node_t *node)
{
  uint32_t index = node->position - 1;

  if (index > 0 && is_before (node, heap->nodes[(index - 1) / 2]))
    sift_up (heap, index, node);
  else
    sift_down (heap, index, node);
}

void
heap_remove (heap_t *heap, heap_node_t *node)
{
  heap_node_t *last;
  uint32_t index;

  if (node->position == 0)
    return;
  index = node->position - 1;
  node->position = 0;
  last = heap->nodes[--heap->count];
  if (last == node)
    return;
  set_node (heap, index, last);
  heap_update (heap, last);
}

void
heap_free (heap_t *heap)
{
  free (heap->nodes);
  *heap = (heap_t){ 0 };
}
