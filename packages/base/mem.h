/* Memory allocation that aborts the process on failure, and intrusive lists.

   A gateway that is out of memory cannot handle its requests correctly, so the
   process aborts and other gateways take over.  Sizes that a client or a peer
   chooses must be checked against a limit before an allocation.  */

#ifndef BASE_MEM_H
#define BASE_MEM_H

#include <stdbool.h>
#include <stddef.h>

/* Return SIZE bytes, to be released with free.  Abort on failure.  */
void *mem_alloc (size_t size);
/* Return SIZE zeroed bytes, to be released with free.  Abort on failure.  */
void *mem_zalloc (size_t size);
void *mem_realloc (void *ptr, size_t size);

#define CONTAINER_OF(ptr, type, member)                                       \
  ((type *)((char *)(ptr)-offsetof (type, member)))

/* Head or node of a circular doubly linked list.  The head of an empty list
   and an unlinked node point to themselves.  */
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

/* Unlink NODE.  Has no effect on an unlinked node.  */
static inline void
list_remove (list_t *node)
{
  node->prev->next = node->next;
  node->next->prev = node->prev;
  list_init (node);
}

/* Iterate over the nodes of LIST.  The body may remove NODE.  */
#define LIST_EACH(node, list)                                                 \
  for (list_t * (node) = (list)->next, *node##_next = (node)->next;           \
       (node) != (list); (node) = node##_next, node##_next = (node)->next)

#endif
