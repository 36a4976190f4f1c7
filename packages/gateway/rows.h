/* The platform's store as the gateway uses it: four tables of rows, reads of
   a whole table, a wait for changes, and conditional writes.

   Calls are asynchronous and complete on a later turn, exactly once, unless
   they are forgotten or the store is destroyed.  Results are borrowed for the
   callback.  A call is given up when the store was silent for TIMEOUT_MS: how
   long a whole answer takes depends on its size and on the link, and one that
   is begun anew for taking long may never end.  Codes: VH_OK; VH_E_CONFLICT a
   condition did not hold; VH_E_NOT_FOUND the history asked for is gone;
   VH_E_STORE_BUSY and VH_E_STORE_DOWN nothing was done; VH_E_STORE_LATE a
   write may have been done, or may still be.  */

#ifndef GATEWAY_ROWS_H
#define GATEWAY_ROWS_H

#include "base/code.h"
#include "base/str.h"

typedef enum
{
  ROWS_ORDERS,    /* Configuration and operators' orders; read only.  */
  ROWS_INSTANCES, /* Where upstreams register; read only.  */
  ROWS_STATUS,    /* What operators read of us.  */
  ROWS_SHARED,    /* What entries tell each other.  */
  ROWS_BILLS      /* Batches of bills; written only.  */
} rows_table_t;

typedef struct
{
  str_t key;
  str_t value; /* Decoded.  */
  uint64_t version;
  bool deleted; /* By the answers of watch only.  */
} rows_row_t;

typedef struct
{
  const rows_row_t *rows;
  size_t count;
  bool more;        /* The read has further rows after the last one.  */
  uint64_t version; /* The newest in the whole store.  */
  uint64_t now_ms;  /* The store's steady clock.  */
  uint64_t age_ms;  /* Since the store said so; 0 from the store itself.  */
  bool direct;      /* From the store itself.  */
  uint64_t said_ms; /* The store's clock when it said so.  */
} rows_result_t;

typedef void (*rows_cb_t) (void *arg, vh_code_t code,
                           const rows_result_t *result);

typedef struct
{
  rows_table_t table;
  str_t key;
  str_t value;
  bool remove;
  bool conditional;
  uint64_t expected; /* Version that the row must have; 0: no row.  */
} rows_write_t;

typedef struct rows rows_t;

typedef struct
{
  /* Read TABLE from key FROM on.  */
  void (*read) (rows_t *rows, rows_table_t table, str_t from,
                uint64_t timeout_ms, rows_cb_t cb, void *arg);
  /* Wait up to WAIT_MS for changes after version AFTER.  */
  void (*watch) (rows_t *rows, rows_table_t table, uint64_t after,
                 uint64_t wait_ms, uint64_t timeout_ms, rows_cb_t cb,
                 void *arg);
  /* Apply all writes or none.  */
  void (*commit) (rows_t *rows, const rows_write_t *writes, size_t count,
                  uint64_t timeout_ms, rows_cb_t cb, void *arg);
  /* Drop the calls made with ARG that are pending, without their
     callbacks.  */
  void (*forget) (rows_t *rows, const void *arg);
  /* Drop what is pending without its callbacks, and release ROWS.  */
  void (*destroy) (rows_t *rows);
} rows_ops_t;

struct rows
{
  const rows_ops_t *ops;
};

#endif
