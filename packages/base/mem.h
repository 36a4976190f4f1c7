/* Allocation that aborts on exhaustion, and intrusive lists.

   A router that has run out of memory cannot keep its promises by limping
   on: the process ends and its peers take over.  Sizes that a caller or a
   peer chooses are bounded before they get here.  */

#ifndef BASE_MEM_H
#define BASE_MEM_H

#include <stdbool.h>
#include <stddef.h>

/* Return SIZE bytes, never NULL; release with free.  */
void *mem_alloc (size_t size);
/* Return SIZE zeroed bytes, never NULL; release with free.  */
void *mem_zalloc (size_t size);
void *mem_realloc (void *ptr, size_t size);

#define CONTAINER_OF(ptr, type, member)                                       \
  ((type *)((char *)(ptr)-offsetof (type, member)))

/* A doubly linked ring; an empty list, and an unlinked node, points at
   itself.  */
typedef struct list
{
  struct list *next;
  struct list *prev;
} list_t;

static inline void
list_init (list_t *list)
{
  list->next = list;
  list->prev = list;
}

static inline bool
list_is_empty (const list_t *list)
{
  return list->next == list;
}

static inline void
list_append (list_t *list, list_t *node)
{
  node->prev = list->prev;
  node->next = list;
  list->prev->next = node;
  list->prev = node;
}

/* Unlink NODE; unlinking it once more does nothing.  */
static inline void
list_remove (list_t *node)
{
  node->prev->next = node->next;
  node->next->prev = node->prev;
  list_init (node);
}

/* Walk LIST with AT; the body may remove AT.  */
#define LIST_EACH(at, list)                                                   \
  for (list_t * (at) = (list)->next, *at##_next = (at)->next; (at) != (list); \
       (at) = at##_next, at##_next = (at)->next)

#endif
