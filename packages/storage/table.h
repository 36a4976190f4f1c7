/* An ordered table of rows with transactions and remembered tokens, and a
   list of instances by sequence: the state behind the in-memory platform and
   behind the stand-in that the tests start.  No sockets and no clock.  */

#ifndef PLATFORM_TABLE_H
#define PLATFORM_TABLE_H

#include "storage/storage.h"

typedef struct table table_t;

table_t *table_create (void);
/* NULL is accepted.  */
void table_destroy (table_t *table);
/* Run TXN at NOW_MS.  Return VH_OK and the rows' new version in *REVISION,
   or VH_E_CONFLICT and in *CONFLICT_KEY the first condition that failed.  A
   token that is remembered gets its first outcome and changes nothing.  */
vh_code_t table_execute (table_t *table, const txn_t *txn, uint64_t now_ms,
                         uint64_t *revision, str_t *conflict_key);
/* Fill *ROW, borrowed until the next write; false when there is none.  */
bool table_get (const table_t *table, str_t key, row_t *row);
/* Fill ROWS with at most LIMIT rows that start with PREFIX and come after
   AFTER; return how many.  *MORE tells whether others follow.  */
size_t table_scan (const table_t *table, str_t prefix, str_t after,
                   size_t limit, row_t *rows, bool *more);
size_t table_size (const table_t *table);

typedef struct instance_list instance_list_t;

instance_list_t *instance_list_create (void);
void instance_list_destroy (instance_list_t *list);
/* Add or change the instance of ROW's name.  */
void instance_list_put (instance_list_t *list, const instance_row_t *row);
/* Point *ROWS, for the caller to free, at the changes after AFTER; return
   their count.  *FULL when AFTER is 0 or unknown.  */
size_t instance_list_get_changes (const instance_list_t *list, uint64_t after,
                                  instance_row_t **rows, uint64_t *sequence,
                                  bool *full);

/* Return the rating that a marker `quality=X' in ANSWER asks for, 0.5
   without one.  */
double rating_parse_marker (str_t answer);

#endif
