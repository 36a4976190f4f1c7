/* Interface to the platform's store: five tables of rows, reads of a whole
   table, watches for changes, and conditional writes.

   Calls are asynchronous.  Each calls its callback exactly once, on a later
   iteration of the loop, unless the call is cancelled or the store is
   destroyed.  Results are borrowed for the duration of the callback.  A call
   fails when the store has sent no data for TIMEOUT_MS.  The time for a
   complete reply is not limited, because it depends on the size of the reply
   and on the link: if slow calls were aborted and repeated, a large reply over
   a slow link would never arrive.

   Versions order all changes of the store.  The store counts its transactions.
   When it comes back from an older copy, it gives counts out again and its era
   rises, so a version consists of the era and the count, and versions of
   different eras compare as the eras do.

   Codes: VH_OK; VH_E_CONFLICT, a condition of a write did not hold;
   VH_E_NOT_FOUND, the store no longer has all changes after the version given
   in a watch, or is in a later era than that version; VH_E_STORE_BUSY and
   VH_E_STORE_DOWN, nothing was written; VH_E_STORE_LATE, a write may have been
   applied or may still be applied.  */

#ifndef GATEWAY_ROWS_H
#define GATEWAY_ROWS_H

#include "base/code.h"
#include "base/str.h"

enum
{
  ROWS_COUNT_BITS = 40, /* Bits of a version that hold the count.  */
  ROWS_ERA_MAX = (1 << (64 - ROWS_COUNT_BITS)) - 1
};

static inline uint64_t
rows_version_make (uint64_t era, uint64_t count)
{
  return era << ROWS_COUNT_BITS | count;
}

static inline uint64_t
rows_version_era (uint64_t version)
{
  return version >> ROWS_COUNT_BITS;
}

static inline uint64_t
rows_version_count (uint64_t version)
{
  return version & (((uint64_t)1 << ROWS_COUNT_BITS) - 1);
}

typedef enum
{
  ROWS_OPERATOR,  /* Configuration and other rows written by operators; read
                   only.  */
  ROWS_INSTANCES, /* Registrations of upstream instances; read only.  */
  ROWS_STATUS,    /* Status reports of gateways to operators.  */
  ROWS_SHARED,    /* Rows that gateways share with each other.  */
  ROWS_BILLS      /* Batches of billing records; written only.  */
} rows_table_t;

typedef struct
{
  str_t key;
  str_t value; /* Decoded bytes.  */
  uint64_t version;
  bool deleted; /* Whether the row was deleted; set only in replies to
                   watches.  */
} rows_row_t;

typedef struct
{
  const rows_row_t *rows;
  size_t count;
  bool has_more;    /* The table has rows after the last row of this page.  */
  uint64_t version; /* Highest version in the whole store.  */
  uint64_t store_now_ms; /* Steady clock of the store at the time of this
                            reply, in ms.  */
  /* Time between the store's confirmation of these rows and this reply, in ms;
     0 in a reply of the store itself.  */
  uint64_t age_ms;
  bool is_direct; /* Whether the reply is from the store itself, not from a
                     peer gateway.  */
  /* Steady clock of the store when it confirmed these rows, in ms.  */
  uint64_t store_confirmed_ms;
} rows_result_t;

typedef void (*rows_cb_t) (void *arg, vh_code_t code,
                           const rows_result_t *result);

typedef struct
{
  rows_table_t table;
  str_t key;
  str_t value;
  bool is_delete;            /* Whether to delete the row.  */
  bool is_conditional;       /* Whether to write only if the row has version
                                EXPECTED_VERSION.  */
  uint64_t expected_version; /* Version that the row must have; 0 if the row
                                must not exist.  */
} rows_write_t;

typedef struct rows rows_t;

typedef struct
{
  /* Read a page of TABLE, starting at key FROM; an empty FROM reads the first
     page.  */
  void (*read) (rows_t *rows, rows_table_t table, str_t from,
                uint64_t timeout_ms, rows_cb_t cb, void *arg);
  /* Wait up to WAIT_MS for changes of TABLE after version AFTER.  */
  void (*watch) (rows_t *rows, rows_table_t table, uint64_t after,
                 uint64_t wait_ms, uint64_t timeout_ms, rows_cb_t cb,
                 void *arg);
  /* Apply all writes or none.  */
  void (*commit) (rows_t *rows, const rows_write_t *writes, size_t count,
                  uint64_t timeout_ms, rows_cb_t cb, void *arg);
  /* Cancel the pending calls that were made with ARG; their callbacks are not
     called.  */
  void (*cancel) (rows_t *rows, const void *arg);
  /* Cancel all pending calls without calling their callbacks, and release
     ROWS.  */
  void (*destroy) (rows_t *rows);
} rows_ops_t;

struct rows
{
  const rows_ops_t *ops;
};

#endif
