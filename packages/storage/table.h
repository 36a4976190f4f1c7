/* An ordered table of rows with idempotent transactions, and a list of
   instances with numbered changes.  They hold the state of the in-memory
   platform and of the tests' stand-in server, and use no sockets or clock.  */

#ifndef STORAGE_TABLE_H
#define STORAGE_TABLE_H

#include "storage/storage.h"

typedef struct table table_t;

table_t *table_create (void);
/* Release TABLE, which may be NULL.  */
void table_destroy (table_t *table);
/* Execute TXN at NOW_MS.  Return VH_OK and the written rows' new version in
   *REVISION, or VH_E_CONFLICT and the key of the first failed condition in
   *CONFLICT_KEY, borrowed until the next transaction.  A transaction whose
   token has a stored outcome changes nothing and returns that outcome.  */
vh_code_t table_execute (table_t *table, const txn_t *txn, uint64_t now_ms,
                         uint64_t *revision, str_t *conflict_key);
/* Fill *ROW with the row of KEY, borrowed until the next write.  Return false
   if there is no such row.  */
bool table_get (const table_t *table, str_t key, row_t *row);
/* Fill ROWS with at most LIMIT rows whose key starts with PREFIX and is
   greater than AFTER, in key order, and return their number.  *MORE is set to
   whether further such rows exist.  */
size_t table_scan (const table_t *table, str_t prefix, str_t after,
                   size_t limit, row_t *rows, bool *more);
size_t table_size (const table_t *table);

typedef struct instance_list instance_list_t;

instance_list_t *instance_list_create (void);
void instance_list_destroy (instance_list_t *list);
/* Add the instance that ROW describes, or replace the one with its name.  */
void instance_list_put (instance_list_t *list, const instance_row_t *row);
/* Set *ROWS to an array of the instances that changed after the sequence
   number AFTER, and return its length.  If AFTER is 0 or unknown, *FULL is set
   and the array has all instances that are not removed.  The caller frees the
   array; its strings are borrowed until the next change.  */
size_t instance_list_get_changes (const instance_list_t *list, uint64_t after,
                                  instance_row_t **rows, uint64_t *sequence,
                                  bool *full);

/* Return the rating given by a marker `quality=X' in ANSWER, limited to the
   range 0 to 1; 0.5 without a valid marker.  */
double rating_parse_marker (str_t answer);

#endif
