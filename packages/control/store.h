/* A task's way to the platform's table: calls that end with their owner, and
   transactions whose outcome is found out before it is told.

   A transaction without a reply is sent again with the same token, which the
   table answers with what became of the first, until that is known or the
   caller's patience ends.  It is never guessed at: VH_E_STORE_DOWN and
   VH_E_STORE_BUSY mean that no attempt took effect, VH_E_STORE_LATE that one
   may have, or may still.

   As with every task of this package, an owner may not be destroyed inside a
   callback of its own.  */

#ifndef CONTROL_STORE_H
#define CONTROL_STORE_H

#include "storage/storage.h"

enum
{
  /* The table remembers a token for ten minutes from its first use; past
     that a repeat would be a new transaction.  */
  STORE_PATIENCE_MAX_MS = 9 * 60 * 1000
};

/* What every task of this package stands on.  */
typedef struct
{
  uv_loop_t *loop;
  clock_iface_t *clock;
  platform_t *platform;
  uint64_t seed;
} control_env_t;

typedef struct store store_t;

store_t *store_create (const control_env_t *env);
/* Let go of all calls: their callbacks will not come.  NULL is accepted.  */
void store_destroy (store_t *store);

/* Run TXN; with a token, find out what became of it for up to PATIENCE_MS.
   Codes as above, with VH_OK, VH_E_CONFLICT and VH_E_BAD_REQUEST.  */
void store_txn (store_t *store, const txn_t *txn, uint64_t patience_ms,
                txn_cb_t cb, void *arg);
void store_get (store_t *store, str_t key, get_cb_t cb, void *arg);
void store_scan (store_t *store, str_t prefix, str_t after, size_t limit,
                 scan_cb_t cb, void *arg);
void store_instances (store_t *store, uint64_t after, instances_cb_t cb,
                      void *arg);
/* Append a token that no other call of any process bears.  */
void store_append_token (store_t *store, buf_t *out);

/* A wait that doubles from MIN_MS to MAX_MS, for timers of tasks.  */
typedef struct
{
  uint64_t min_ms;
  uint64_t max_ms;
  uint64_t next_ms; /* 0: start at MIN_MS.  */
} backoff_t;

/* Return the next wait, jittered; no two processes wait alike.  */
uint64_t backoff_next (backoff_t *backoff, rng_t *rng);
void backoff_reset (backoff_t *backoff);
rng_t *store_rng (store_t *store);

#endif
