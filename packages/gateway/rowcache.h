/* What an entry knows of one table of the platform's store, kept so that it
   can tell others: the rows, those removed of late, and how old that is.

   Versions are the store's.  Who asks for changes after a version below the
   floor must read the whole table, as removals before it are forgotten.  */

#ifndef GATEWAY_ROWCACHE_H
#define GATEWAY_ROWCACHE_H

#include "base/clock.h"
#include "gateway/rows.h"

struct wire_rows_res_t;
struct wire_row_list_t;
typedef struct rowcache rowcache_t;

/* Where an answer of the store or of a reader belongs.  */
typedef struct
{
  bool is_read; /* Of rows, not of changes.  */
  bool is_first_page;
  uint64_t asked_ms; /* When it was asked for, by boot time.  */
} rowcache_call_t;

rowcache_t *rowcache_create (clock_iface_t *clock);
/* NULL is accepted.  */
void rowcache_destroy (rowcache_t *cache);

/* Take in RESULT.  Changes older than what is known are left out.  */
void rowcache_apply_answer (rowcache_t *cache, const rowcache_call_t *answer,
                            const rows_result_t *result);
/* The store did not answer.  */
void rowcache_set_down (rowcache_t *cache);
/* The history that the table was followed by is gone.  */
void rowcache_set_incomplete (rowcache_t *cache);

/* Tell whether the store did not answer the last call.  */
bool rowcache_is_down (const rowcache_t *cache);
/* Tell whether the whole table is known.  */
bool rowcache_is_complete (const rowcache_t *cache);
/* Tell whether removals after version AFTER are known.  */
bool rowcache_has_history (const rowcache_t *cache, uint64_t after);
bool rowcache_has_changes (const rowcache_t *cache, uint64_t after);

/* Fill RESULT with the rows after AFTER, or with all live ones when WHOLE;
   many of them are packed together.  Its rows, but not what they point at, are
   the caller's to free; what is packed is borrowed until the next call.  */
void rowcache_fill_reply (rowcache_t *cache, uint64_t after, bool whole,
                          struct wire_rows_res_t *result);

/* The rows that were PACKED out of PLAIN_LEN bytes, to be released by
   xdr_free. Return VH_E_PROTOCOL with none when they cannot be read.  */
vh_code_t rowcache_unpack (str_t packed, size_t plain_len,
                           struct wire_row_list_t *list);

#endif
