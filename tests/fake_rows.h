/* The platform's store as rows in memory, with its faults.  */

#ifndef TESTS_FAKE_ROWS_H
#define TESTS_FAKE_ROWS_H

#include "gateway/rows.h"

#include <uv.h>

typedef struct fake_rows fake_rows_t;

fake_rows_t *fake_rows_create (uv_loop_t *loop);
rows_t *fake_rows_iface (fake_rows_t *fake);
/* Write a row as an operator or another process would.  */
void fake_rows_put (fake_rows_t *fake, rows_table_t table, const char *key,
                    const char *value);
void fake_rows_remove (fake_rows_t *fake, rows_table_t table, const char *key);
/* The value under KEY, or NULL.  */
const char *fake_rows_get (const fake_rows_t *fake, rows_table_t table,
                           const char *key);
/* From now on all calls fail, or are answered again.  */
void fake_rows_set_down (fake_rows_t *fake, bool down);
/* From now on writes are refused, or taken again.  */
void fake_rows_set_refusing_writes (fake_rows_t *fake, bool refuses);
/* Calls on TABLE are not answered, as on a connection that is cut, or are
   again.  */
void fake_rows_set_stalled (fake_rows_t *fake, rows_table_t table, bool hold);
/* Reads and watches are answered as of version VERSION (0: of now).  */
void fake_rows_set_stale_version (fake_rows_t *fake, uint64_t version);
uint64_t fake_rows_version (const fake_rows_t *fake);
/* The history up to now is gone: watches end with VH_E_NOT_FOUND.  */
void fake_rows_drop_history (fake_rows_t *fake);
/* The store's clock moves on by MS.  */
void fake_rows_advance_clock (fake_rows_t *fake, uint64_t ms);
/* The store's clock.  */
uint64_t fake_rows_now_ms (const fake_rows_t *fake);
size_t fake_rows_call_count (const fake_rows_t *fake);

#endif
