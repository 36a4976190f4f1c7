/* A copy of one table of the platform's store, from which a gateway replies to
   other gateways.  The copy contains the live rows, recently deleted rows, and
   the time at which the store confirmed them.

   Versions are those of the store.  Deletions are known only after a certain
   version, the history floor, so a caller that asks for changes after a lower
   version must read the whole table.  */

#ifndef GATEWAY_ROWCACHE_H
#define GATEWAY_ROWCACHE_H

#include "base/clock.h"
#include "gateway/rows.h"

struct wire_rows_res_t;
struct wire_row_list_t;
typedef struct rowcache rowcache_t;

/* A call to the store or to a reader.  */
typedef struct
{
  bool is_read;       /* Whether the call is a read of rows, not a watch for
                         changes.  */
  bool is_first_page; /* Whether the call reads the first page of the whole
                         table.  */
  uint64_t sent_ms;   /* Time at which the call was sent, in ms of the boot
                         clock.  */
} rowcache_call_t;

rowcache_t *rowcache_create (clock_iface_t *clock);
/* Free CACHE, which may be NULL.  */
void rowcache_destroy (rowcache_t *cache);

/* Apply RESULT, the reply to CALL.  The reply to a watch is ignored if its
   store version is lower than the cached version, any reply if it is from an
   earlier era of the store, and a further page if it is from another era than
   the first.  */
void rowcache_apply_result (rowcache_t *cache, const rowcache_call_t *call,
                            const rows_result_t *result);
/* Record that the store did not reply to the last call.  rowcache_is_down
   returns true until rowcache_apply_result applies a reply.  */
void rowcache_set_down (rowcache_t *cache);
/* Mark the table as incomplete until the next read of the whole table, because
   the store no longer has the history of changes.  */
void rowcache_set_incomplete (rowcache_t *cache);

/* Return whether the store did not reply to the last call.  */
bool rowcache_is_down (const rowcache_t *cache);
/* Return the time since the store confirmed the copy, in ms; UINT64_MAX if it
   has not.  */
uint64_t rowcache_age_ms (const rowcache_t *cache);
/* Return whether the store itself replied to this gateway, so that the time of
   a confirmation by a reader is known closely.  */
bool rowcache_knows_store_clock (const rowcache_t *cache);
/* Return what rowcache_age_ms would return after RESULT, the reply to CALL,
   was applied.  */
uint64_t rowcache_age_with_ms (const rowcache_t *cache,
                               const rowcache_call_t *call,
                               const rows_result_t *result);
/* Return whether all rows of the table are known.  */
bool rowcache_is_complete (const rowcache_t *cache);
/* Return whether a caller that has version AFTER knows a later era of the
   store than CACHE.  */
bool rowcache_is_before_era (const rowcache_t *cache, uint64_t after);
/* Return whether all deletions after version AFTER are known.  */
bool rowcache_has_history (const rowcache_t *cache, uint64_t after);
/* Return whether a row changed after version AFTER.  */
bool rowcache_has_changes (const rowcache_t *cache, uint64_t after);

/* Fill RESULT with the rows that changed after version AFTER, or with all live
   rows if IS_WHOLE.  Many rows are packed into one deflated string.  The
   caller frees the array of rows, but not the strings in it; the packed string
   is borrowed until the next call.  */
void rowcache_fill_reply (rowcache_t *cache, uint64_t after, bool is_whole,
                          struct wire_rows_res_t *result);

/* Unpack the rows in PACKED, which inflates to PLAIN_LEN bytes, into LIST; the
   caller releases LIST with xdr_free.  Return VH_E_PROTOCOL and an empty list
   when PACKED is invalid.  */
vh_code_t rowcache_unpack (str_t packed, size_t plain_len,
                           struct wire_row_list_t *list);

#endif
