/* The store as one gateway sees it, behind the rows_t interface: calls reach
   the store, fail at once, or get no reply until their time limit.  */

#ifndef TESTS_PARTITIONED_STORE_H
#define TESTS_PARTITIONED_STORE_H

#include "gateway/rows.h"

#include <uv.h>

typedef enum
{
  STORE_REACHABLE,
  STORE_REFUSING, /* Calls fail at once, pending calls too.  */
  STORE_SILENT    /* Calls, pending calls too, end with their timeout.  */
} store_access_t;

typedef struct partitioned_store partitioned_store_t;

/* STORE must outlive the result.  */
partitioned_store_t *partitioned_store_create (uv_loop_t *loop, rows_t *store);
rows_t *partitioned_store_iface (partitioned_store_t *partitioned);
void partitioned_store_set_access (partitioned_store_t *partitioned,
                                   store_access_t access);

#endif
