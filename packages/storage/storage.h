/* Interface to the platform's services: a transactional table, an object
   store, an eventually consistent list of instances and a rating service.

   All calls are asynchronous.  Each completes exactly once, in a later
   iteration of the event loop.  Destroying the platform ends all pending calls
   with VH_E_CANCELLED before the destroy function returns.  A platform must
   not be destroyed from a callback of one of its calls.
   Arguments are copied before the call returns; results are borrowed until the
   callback returns.

   Codes:
   - VH_E_STORE_DOWN: the service is unavailable and nothing took effect.
   - VH_E_STORE_LATE: a write may have taken effect; send the transaction again
     with the same token to get its outcome.
   - VH_E_STORE_BUSY: the rate limit rejected the call and nothing took effect.
   - VH_E_CONFLICT: a condition of the transaction did not hold.
   - VH_E_NOT_FOUND: the row or object does not exist.  */

#ifndef STORAGE_STORAGE_H
#define STORAGE_STORAGE_H

#include "base/clock.h"
#include "base/code.h"
#include "base/rng.h"
#include "base/str.h"

#include <uv.h>

typedef struct platform platform_t;

/* A row of the table.  VERSION is 0 if the row does not exist.  The version of
   a key grows with every write and never repeats, not even after a
   deletion.  */
typedef struct
{
  str_t key;
  str_t value;
  uint64_t version;
} row_t;

typedef struct
{
  str_t key;
  uint64_t version; /* Required version; 0 if the row must not exist.  */
} txn_condition_t;

typedef struct
{
  str_t key;
  str_t value;
  bool is_delete;
} txn_write_t;

/* A transaction: all writes are done if all conditions hold, else none.  TOKEN
   identifies the transaction.  Sent again with the same token, the transaction
   has no second effect and reports the first outcome as long as the table
   stores that outcome, which is at least 10 minutes.  */
typedef struct
{
  const txn_condition_t *conditions;
  size_t condition_count;
  const txn_write_t *writes;
  size_t write_count;
  str_t token; /* Empty if the transaction must not be sent again.  */
} txn_t;

/* Return a deep copy of TXN, to be released with txn_free.  */
txn_t *txn_copy (const txn_t *txn);
/* Release TXN, which may be NULL.  */
void txn_free (txn_t *txn);

/* Callback of a transaction.  REVISION is the version that the written rows
   got.  With VH_E_CONFLICT, CONFLICT_KEY is the key of the first condition
   that failed.  */
typedef void (*txn_cb_t) (void *arg, vh_code_t code, uint64_t revision,
                          str_t conflict_key);
typedef void (*get_cb_t) (void *arg, vh_code_t code, const row_t *row);
/* Callback of a scan.  MORE is set if the scan's LIMIT left out matching
   rows.  */
typedef void (*scan_cb_t) (void *arg, vh_code_t code, const row_t *rows,
                           size_t count, bool more);
typedef void (*object_cb_t) (void *arg, vh_code_t code, str_t bytes);
typedef void (*rate_cb_t) (void *arg, vh_code_t code, double score);

typedef enum
{
  INSTANCE_LIVE,
  INSTANCE_LEAVING,
  INSTANCE_GONE /* Only in lists of changes, not in full lists.  */
} instance_state_t;

typedef struct
{
  str_t name;
  str_t role; /* "entry" or "sidecar".  */
  str_t zone;
  str_t region;
  str_t address; /* RPC address, HOST:PORT.  */
  str_t serves;  /* Comma-separated MODEL@VERSION or service:NAME.  */
  instance_state_t state;
} instance_row_t;

/* Callback of a request for instances.  ROWS are the instances that changed
   after the requested sequence number, up to SEQUENCE.  If FULL is set, ROWS
   are the whole list, and instances that are not in it no longer exist.  */
typedef void (*instances_cb_t) (void *arg, vh_code_t code, uint64_t sequence,
                                bool full, const instance_row_t *rows,
                                size_t count);

typedef struct
{
  void (*txn) (platform_t *platform, const txn_t *txn, txn_cb_t cb, void *arg);
  void (*get) (platform_t *platform, str_t key, get_cb_t cb, void *arg);
  /* Read at most LIMIT rows whose key starts with PREFIX and is greater than
     AFTER, in key order.  */
  void (*scan) (platform_t *platform, str_t prefix, str_t after, size_t limit,
                scan_cb_t cb, void *arg);
  void (*object_get) (platform_t *platform, str_t name, object_cb_t cb,
                      void *arg);
  void (*object_put) (platform_t *platform, str_t name, str_t bytes,
                      object_cb_t cb, void *arg);
  /* Read the changes of the list of instances after sequence number AFTER, or
     the whole list if AFTER is 0 or unknown to the platform.  */
  void (*list_instances) (platform_t *platform, uint64_t after,
                          instances_cb_t cb, void *arg);
  /* Request the rating, from 0 to 1, of ANSWER to QUESTION in TASK.  */
  void (*rate_answer) (platform_t *platform, str_t task, str_t question,
                       str_t answer, rate_cb_t cb, void *arg);
  void (*destroy) (platform_t *platform);
} platform_ops_t;

struct platform
{
  const platform_ops_t *ops;
};

/* Create a platform that keeps all data in this process's memory, for tests
   and for trying out the program.  */
platform_t *platform_memory_create (uv_loop_t *loop);
/* Add ROW to the list of instances of PLATFORM, an in-memory platform, or
   replace the instance of the same name.  */
void platform_memory_put_instance (platform_t *platform,
                                   const instance_row_t *row);

/* Create a client of the platform's HTTP/JSON interface, which is specified in
   docs/PLATFORM-CONTRACT.md, at ADDRESS (HOST:PORT, numeric).  Each call ends
   within TIMEOUT_MS.  Failed calls that are safe to repeat are retried with
   jittered backoff, within a retry budget.  While the platform is down, a
   circuit breaker ends calls with VH_E_STORE_DOWN at once.  Return NULL if
   ADDRESS is not valid.  */
platform_t *platform_http_create (uv_loop_t *loop, clock_iface_t *clock,
                                  rng_t rng, str_t address,
                                  uint64_t timeout_ms);

#endif
