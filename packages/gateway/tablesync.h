/* Keeps a table of the platform's store up to date in this process: reads the
   whole table, then watches for changes, and reads the whole table again when
   the store no longer has the history of changes that is needed.

   Load pattern: a store that is unreachable, slow, restarted without its
   history, or silent, for all processes or only for this process.  Every call
   has its own connection and fails only if no data arrives for a timeout.  So
   a dead connection costs one timeout, and a large reply may take as long as
   the link needs.  Failed calls are repeated after a jittered delay that
   doubles with each failure, so that gateways do not retry in step.

   A confirmation is a time for which the table in this process is known to be
   up to date: the time at which the call was sent whose reply was applied.  A
   reply whose store version is lower than that of an earlier reply is stale:
   its rows are not applied, and the reply does not count as a
   confirmation.

   When the store comes back from an older copy, its era rises, and the whole
   table is read anew.  That read may return rows that are older than those
   known, until their writers have written them again.  So the table is read
   once more after TABLE_SYNC_REWRITE_MS.  */

#ifndef GATEWAY_TABLESYNC_H
#define GATEWAY_TABLESYNC_H

#include "base/clock.h"
#include "base/rng.h"
#include "gateway/rows.h"

#include <uv.h>

typedef struct table_sync table_sync_t;

enum
{
  /* Default of table_sync_options_t.retry_max_ms.  Long enough not to overload
     a store that is down; every call is charged for, including refused
     calls.  */
  TABLE_SYNC_RETRY_MAX_MS = 800,
  /* Delay before the first retry; short, because often only one reply was
     lost.  */
  TABLE_SYNC_RETRY_MIN_MS = 100,
  /* Time in which the store may send no data before a read of a page
     fails.  */
  TABLE_SYNC_READ_TIMEOUT_MS = 1500,
  /* Shortest pause between watch calls.  Prevents a busy loop if the store
     replies to watches at once without changes.  */
  TABLE_SYNC_WATCH_GAP_MS = 20,
  /* Time after the return of the store from an older copy in which the rows
     that were lost are written again.  */
  TABLE_SYNC_REWRITE_MS = 10000
};

typedef struct
{
  rows_table_t table;
  const char *name; /* Table name in log lines.  */
  uint64_t wait_ms; /* Longest time that the store may hold one watch call.  */
  /* Time after WAIT_MS in which the store may send no data before a watch call
     fails.  */
  uint64_t timeout_slack_ms;
  /* Shortest pause between watch calls, in which changes accumulate; 0: 20
     ms.  */
  uint64_t call_gap_ms;
  /* Longest delay between calls while the store does not reply; 0:
     TABLE_SYNC_RETRY_MAX_MS.  */
  uint64_t retry_max_ms;
  /* Age of the confirmation at which a call must be under way, even after a
     failure; 0: any age.  */
  uint64_t confirmation_max_age_ms;
} table_sync_options_t;

typedef struct
{
  /* Called for each row read, which may be new, changed or unchanged.  */
  void (*put) (void *arg, const rows_row_t *row);
  /* Called for each row that was deleted from the table.  */
  void (*removed) (void *arg, str_t key);
  /* Called after all rows of a reply were passed to put and removed.
     IS_FULL_READ: the reply completed a read of the whole table, and each row
     that the read did not return was passed to removed.  */
  void (*synced) (void *arg, bool is_full_read);
  /* Called when the store stopped replying (IS_DOWN) or replies again; may be
     NULL.  */
  void (*reachability) (void *arg, bool is_down);
  /* Called before the first rows of a read that found the store in a later
     era; may be NULL.  The rows up to the next call of synced with
     IS_FULL_READ are from the copy from which the store came back, or were
     written since.  */
  void (*era_changed) (void *arg);
} table_sync_events_t;

/* Start to synchronise a table.  ROWS must outlive the result; OPTIONS and
   EVENTS are copied.  */
table_sync_t *table_sync_create (uv_loop_t *loop, clock_iface_t *clock,
                                 rows_t *rows, uint64_t seed,
                                 const table_sync_options_t *options,
                                 const table_sync_events_t *events, void *arg);
/* Free SYNC, which may be NULL, and cancel its pending call.  */
void table_sync_destroy (table_sync_t *sync);
/* If the last call failed, send the next call at once.  To be called when the
   store is known to be reachable again.  */
void table_sync_retry_now (table_sync_t *sync);

/* Return the time since the last confirmation in ms, by a clock that also runs
   while the machine is suspended; UINT64_MAX before the first
   confirmation.  */
uint64_t table_sync_age_ms (const table_sync_t *sync);
/* Return the time of the last confirmation, in ms of the boot clock; 0 before
   the first.  While the rows of a reply are passed on, that is the one before
   the reply.  */
uint64_t table_sync_confirmed_ms (const table_sync_t *sync);
/* Return whether the last call failed.  */
bool table_sync_is_down (const table_sync_t *sync);
/* Return an estimate of the store's steady clock at this moment, in ms; 0
   before the first reply.  */
uint64_t table_sync_store_now_ms (const table_sync_t *sync);

#endif
