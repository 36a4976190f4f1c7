/* What the platform gives, behind a vtable: a transactional table service,
   an object store, the lagging list of instances and the rating service.

   All calls are asynchronous and complete on a later turn of the loop,
   exactly once.  When the platform is destroyed, what is pending ends inside
   that call with VH_E_CANCELLED; it may not be destroyed inside a callback of
   its own.
   Borrowed arguments are copied before the call returns; results are
   borrowed for the length of the callback.

   Codes: VH_E_STORE_DOWN nothing took effect; VH_E_STORE_LATE a write may
   have taken effect, read it back by its token; VH_E_STORE_BUSY refused by
   rate limit, nothing took effect; VH_E_CONFLICT a condition did not hold;
   VH_E_NOT_FOUND.  */

#ifndef STORAGE_STORAGE_H
#define STORAGE_STORAGE_H

#include "base/clock.h"
#include "base/code.h"
#include "base/rng.h"
#include "base/str.h"

#include <uv.h>

typedef struct platform platform_t;

/* A row; VERSION 0 means that there is none.  Versions of one key grow with
   every write and never repeat.  */
typedef struct
{
  str_t key;
  str_t value;
  uint64_t version;
} row_t;

typedef struct
{
  str_t key;
  uint64_t version; /* 0: the row must be absent.  */
} txn_condition_t;

typedef struct
{
  str_t key;
  str_t value;
  bool is_delete;
} txn_write_t;

/* All writes happen if all conditions hold, else none.  TOKEN names the
   transaction: sent again, it has no second effect and reports the first
   outcome for as long as the table remembers it (at least ten minutes).  */
typedef struct
{
  const txn_condition_t *conditions;
  size_t condition_count;
  const txn_write_t *writes;
  size_t write_count;
  str_t token; /* May be empty.  */
} txn_t;

/* Return a deep copy of TXN, to be released with txn_free.  */
txn_t *txn_copy (const txn_t *txn);
/* NULL is accepted.  */
void txn_free (txn_t *txn);

/* REVISION is the version that the written rows got.  On VH_E_CONFLICT,
   CONFLICT_KEY names the first condition that failed.  */
typedef void (*txn_cb_t) (void *arg, vh_code_t code, uint64_t revision,
                          str_t conflict_key);
typedef void (*get_cb_t) (void *arg, vh_code_t code, const row_t *row);
/* MORE: there are rows after the last one.  */
typedef void (*scan_cb_t) (void *arg, vh_code_t code, const row_t *rows,
                           size_t count, bool more);
typedef void (*object_cb_t) (void *arg, vh_code_t code, str_t bytes);
typedef void (*rate_cb_t) (void *arg, vh_code_t code, double score);

typedef enum
{
  INSTANCE_LIVE,
  INSTANCE_LEAVING,
  INSTANCE_GONE /* Only in changes since an earlier sequence.  */
} instance_state_t;

typedef struct
{
  str_t name;
  str_t role; /* "entry" or "sidecar".  */
  str_t zone;
  str_t region;
  str_t address; /* RPC, HOST:PORT.  */
  str_t serves;  /* Comma-separated MODEL@VERSION or service:NAME.  */
  instance_state_t state;
} instance_row_t;

/* The changes after the sequence asked for, up to SEQUENCE.  FULL: they are
   the whole list, and what is not in it is gone.  */
typedef void (*instances_cb_t) (void *arg, vh_code_t code, uint64_t sequence,
                                bool full, const instance_row_t *rows,
                                size_t count);

typedef struct
{
  void (*txn) (platform_t *platform, const txn_t *txn, txn_cb_t cb, void *arg);
  void (*get) (platform_t *platform, str_t key, get_cb_t cb, void *arg);
  /* At most LIMIT rows whose key starts with PREFIX and is greater than
     AFTER, in key order.  */
  void (*scan) (platform_t *platform, str_t prefix, str_t after, size_t limit,
                scan_cb_t cb, void *arg);
  void (*object_get) (platform_t *platform, str_t name, object_cb_t cb,
                      void *arg);
  void (*object_put) (platform_t *platform, str_t name, str_t bytes,
                      object_cb_t cb, void *arg);
  void (*instances) (platform_t *platform, uint64_t after, instances_cb_t cb,
                     void *arg);
  /* Ask for the rating (0 to 1) of ANSWER to QUESTION in TASK.  */
  void (*rate) (platform_t *platform, str_t task, str_t question, str_t answer,
                rate_cb_t cb, void *arg);
  void (*destroy) (platform_t *platform);
} platform_ops_t;

struct platform
{
  const platform_ops_t *ops;
};

/* Everything in this process's memory, for newcomers and tests.  */
platform_t *platform_memory_create (uv_loop_t *loop);
/* Add or change an instance of the in-memory list.  */
void platform_memory_put_instance (platform_t *platform,
                                   const instance_row_t *row);

/* The platform's HTTP/JSON interface (docs/PLATFORM-CONTRACT.md) at ADDRESS
   (HOST:PORT, numeric).  Each call ends within TIMEOUT_MS.  Calls that may
   be repeated are, with jittered backoff, within a retry budget; a circuit
   breaker answers VH_E_STORE_DOWN at once while the platform is down.
   Return NULL when ADDRESS is not valid.  */
platform_t *platform_http_create (uv_loop_t *loop, clock_iface_t *clock,
                                  rng_t rng, str_t address,
                                  uint64_t timeout_ms);

#endif
