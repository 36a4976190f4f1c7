/* A store in memory behind the rows_t interface, with simulated faults.  */

#ifndef TESTS_FAKE_ROWS_H
#define TESTS_FAKE_ROWS_H

#include "gateway/rows.h"

#include <uv.h>

typedef struct fake_rows fake_rows_t;

/* The result is released through its rows_t interface.  */
fake_rows_t *fake_rows_create (uv_loop_t *loop);
rows_t *fake_rows_iface (fake_rows_t *fake);
/* Write a row as an operator or another process would.  */
void fake_rows_put (fake_rows_t *fake, rows_table_t table, const char *key,
                    const char *value);
/* The same with a value that may have NUL bytes.  */
void fake_rows_put_bytes (fake_rows_t *fake, rows_table_t table,
                          const char *key, str_t value);
void fake_rows_remove (fake_rows_t *fake, rows_table_t table, const char *key);
/* Return the value under KEY, or NULL if there is no such row.  */
const char *fake_rows_get (const fake_rows_t *fake, rows_table_t table,
                           const char *key);
/* The same with a value that may have NUL bytes, or STR_NULL.  */
str_t fake_rows_get_bytes (const fake_rows_t *fake, rows_table_t table,
                           const char *key);
/* Set whether all calls fail with VH_E_STORE_DOWN.  */
void fake_rows_set_down (fake_rows_t *fake, bool is_down);
/* Set whether all writes fail with VH_E_STORE_DOWN.  */
void fake_rows_set_refusing_writes (fake_rows_t *fake, bool is_refusing);
/* Set whether calls on TABLE get no reply, as on a broken connection.  */
void fake_rows_set_stalled (fake_rows_t *fake, rows_table_t table,
                            bool is_stalled);
/* Reply to reads and watches with the rows as of VERSION; 0: with the current
   rows.  */
void fake_rows_set_stale_version (fake_rows_t *fake, uint64_t version);
uint64_t fake_rows_version (const fake_rows_t *fake);
/* Drop the history of changes: watches after an older version end with
   VH_E_NOT_FOUND.  */
void fake_rows_drop_history (fake_rows_t *fake);
/* Use versions of ERA, which rises with each return to a copy.  Without a call
   the versions have no era, as those in the responses of a store.  */
void fake_rows_set_era (fake_rows_t *fake, uint64_t era);
/* Copy all rows and the version; a copy taken before is dropped.  */
void fake_rows_take_copy (fake_rows_t *fake);
/* Go back to the rows and the version of the copy.  Pending calls and watches
   after a version that the store does not have fail.  */
void fake_rows_return_to_copy (fake_rows_t *fake);
/* Advance the store's clock by MS.  */
void fake_rows_advance_clock (fake_rows_t *fake, uint64_t ms);
/* Set the store's clock back by MS.  */
void fake_rows_set_clock_back (fake_rows_t *fake, uint64_t ms);
/* Return the store's clock, in ms.  */
uint64_t fake_rows_now_ms (const fake_rows_t *fake);
/* Return the number of calls since the store was created.  */
size_t fake_rows_call_count (const fake_rows_t *fake);

#endif
