/* Keeps a table of the platform's store up to date in this process: reads the
   whole table, then watches for changes, and reads the whole table again when
   the store no longer has the history of changes that is needed.

   Answers: a store that is down, slow, reset or silent, for all processes or
   only for this one.  Every call has a bound on silence and a connection of
   its own, so a connection that went silent costs one timeout, and a large
   answer may take as long as the link needs.  Failed calls are repeated after
   a jittered delay that doubles with each failure, so that gateways do not
   retry in step.

   A confirmation is the time at which a call was sent whose answer shows the
   table as of that time or later.  An answer whose store version is lower than
   one already seen is stale: its rows are not applied, and it does not count
   as a confirmation.  */

#ifndef GATEWAY_TABLESYNC_H
#define GATEWAY_TABLESYNC_H

#include "base/clock.h"
#include "base/rng.h"
#include "gateway/rows.h"

#include <uv.h>

typedef struct table_sync table_sync_t;

enum
{
  /* Default of retry_max_ms.  Long enough not to load a store that is down:
     every call is charged for, refused calls too.  */
  TABLE_SYNC_RETRY_MAX_MS = 800
};

typedef struct
{
  rows_table_t table;
  const char *name; /* Table name in log lines.  */
  uint64_t wait_ms; /* Longest time that the store may hold one watch call.  */
  /* Silence of the store beyond WAIT_MS that ends a watch call.  */
  uint64_t timeout_slack_ms;
  /* Shortest pause between watch calls, in which changes accumulate; 0: the
     default.  */
  uint64_t call_gap_ms;
  /* Longest delay between calls while the store does not answer; 0:
     TABLE_SYNC_RETRY_MAX_MS.  */
  uint64_t retry_max_ms;
} table_sync_options_t;

typedef struct
{
  /* ROW was read, and may be new, changed or unchanged.  */
  void (*put) (void *arg, const rows_row_t *row);
  void (*removed) (void *arg, str_t key);
  /* All rows of an answer were passed to put and removed.  IS_FULL_READ: the
     answer completed a read of the whole table, and each row that the read did
     not return was passed to removed.  */
  void (*synced) (void *arg, bool is_full_read);
  /* The store stopped answering (IS_DOWN) or answers again; may be NULL.  */
  void (*reachability) (void *arg, bool is_down);
} table_sync_events_t;

/* ROWS must outlive the result; OPTIONS and EVENTS are copied.  */
table_sync_t *table_sync_create (uv_loop_t *loop, clock_iface_t *clock,
                                 rows_t *rows, uint64_t seed,
                                 const table_sync_options_t *options,
                                 const table_sync_events_t *events, void *arg);
/* NULL is accepted.  */
void table_sync_destroy (table_sync_t *sync);
/* Send the next call at once if calls are failing, because the store was seen
   to answer other calls.  */
void table_sync_retry_now (table_sync_t *sync);

/* Milliseconds since the last confirmation, by a clock that also runs while
   the machine is suspended; UINT64_MAX before the first confirmation.  */
uint64_t table_sync_age_ms (const table_sync_t *sync);
/* Return whether the last call failed.  */
bool table_sync_is_down (const table_sync_t *sync);
/* Estimate of the store's steady clock now, in ms; 0 before the first
   answer.  */
uint64_t table_sync_store_now_ms (const table_sync_t *sync);

#endif
