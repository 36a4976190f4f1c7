/* Keeps a table of the platform's store up to date in this process: reads it
   whole, then waits for changes, and begins anew where the history it needs
   is gone.

   Answers: a store that is down, slow, reset or silent, for all or for this
   process alone.  Every call has a bound on silence and its own connection, so
   that a connection that fell silent costs one bound, and a large answer takes
   as long as the link needs.  Failed calls are repeated with a jittered wait
   that doubles, so that entries do not return in step.

   A confirmation is the moment at which a call was sent whose answer shows
   the table as of then or later.  An answer whose store version lies behind
   one already seen is stale: it is neither applied nor a confirmation.  */

#ifndef GATEWAY_TABLESYNC_H
#define GATEWAY_TABLESYNC_H

#include "base/clock.h"
#include "base/rng.h"
#include "gateway/rows.h"

#include <uv.h>

typedef struct follow table_sync_t;

enum
{
  /* Slow enough that a store that is down is not pressed: calls are priced,
     refused ones too.  */
  TABLE_SYNC_RETRY_MAX_MS = 800
};

typedef struct
{
  rows_table_t table;
  const char *name;  /* For log lines.  */
  uint64_t wait_ms;  /* Longest wait of one call for changes.  */
  uint64_t slack_ms; /* Silence beyond that ends the call.  */
  uint64_t gap_ms;   /* Between calls; news come together.  0: at once.  */
  /* Longest pause between calls while the store does not answer; 0: that of
     TABLE_SYNC_RETRY_MAX_MS.  */
  uint64_t retry_last_ms;
} table_sync_options_t;

typedef struct
{
  /* A row is there, is new or has changed.  */
  void (*put) (void *arg, const rows_row_t *row);
  void (*removed) (void *arg, str_t key);
  /* All rows of an answer were told.  FULL after a whole read: what was not
     put since the last call is gone, and was told by removed.  */
  void (*caught_up) (void *arg, bool full);
  /* The store was lost (DOWN) or is back.  */
  void (*reach) (void *arg, bool down);
} table_sync_events_t;

table_sync_t *table_sync_create (uv_loop_t *loop, clock_iface_t *clock,
                                 rows_t *rows, uint64_t seed,
                                 const table_sync_options_t *options,
                                 const table_sync_events_t *events, void *arg);
/* NULL is accepted.  */
void table_sync_destroy (table_sync_t *follow);
/* The store answers others: do not wait longer before the next call.  */
void table_sync_retry_now (table_sync_t *follow);

/* Milliseconds since the last confirmation, by a clock that counts while the
   machine is suspended; UINT64_MAX before the first.  */
uint64_t table_sync_age_ms (const table_sync_t *follow);
/* Tell whether calls fail now.  */
bool table_sync_is_down (const table_sync_t *follow);
/* The store's steady clock, estimated; 0 before the first answer.  */
uint64_t table_sync_store_now_ms (const table_sync_t *follow);

#endif
