/* Access to the platform's table for the modules of this package: callbacks
   stop when the owner of the calls is destroyed, and the outcome of a
   transaction is resolved before it is reported.

   A transaction without a reply is sent again with the same token, and the
   table then answers with the outcome of the first attempt.  This is repeated
   until the outcome is known or the caller's timeout has expired.  The outcome
   is never guessed: VH_E_STORE_DOWN and VH_E_STORE_BUSY mean that no attempt
   took effect, and VH_E_STORE_LATE means that an attempt may have taken
   effect or may still do so.

   An owner must not be destroyed inside one of its own callbacks.  The same
   holds for all modules of this package.  */

#ifndef CONTROL_STORE_H
#define CONTROL_STORE_H

#include "storage/storage.h"

enum
{
  /* The table remembers a token for ten minutes after its first use; a repeat
     after that time would be a new transaction.  */
  STORE_RESOLVE_TIMEOUT_MAX_MS = 9 * 60 * 1000
};

/* Dependencies of the modules of this package.  */
typedef struct
{
  uv_loop_t *loop;
  clock_iface_t *clock;
  platform_t *platform;
  uint64_t seed; /* Seed of the random numbers for jitter.  */
} control_env_t;

typedef struct store store_t;

store_t *store_create (const control_env_t *env);
/* Abandon all pending calls; their callbacks are not called.  NULL is
   accepted.  */
void store_destroy (store_t *store);

/* Run TXN.  If TXN has a token, a lost reply is resolved for up to
   RESOLVE_TIMEOUT_MS.  CB gets VH_OK, VH_E_CONFLICT, VH_E_BAD_REQUEST or one
   of the codes described at the top of this file.  */
void store_txn (store_t *store, const txn_t *txn, uint64_t resolve_timeout_ms,
                txn_cb_t cb, void *arg);
void store_get (store_t *store, str_t key, get_cb_t cb, void *arg);
void store_scan (store_t *store, str_t prefix, str_t after, size_t limit,
                 scan_cb_t cb, void *arg);
void store_instances (store_t *store, uint64_t after, instances_cb_t cb,
                      void *arg);
/* Append to OUT a transaction token that is unique across processes.  */
void store_append_token (store_t *store, buf_t *out);

/* Exponential backoff: the delay doubles from MIN_MS to MAX_MS.  */
typedef struct
{
  uint64_t min_ms;
  uint64_t max_ms;
  uint64_t next_ms; /* Next delay before jitter; 0: MIN_MS.  */
} backoff_t;

/* Return the next delay, with jitter so that the retries of different
   processes do not coincide.  */
uint64_t backoff_next (backoff_t *backoff, rng_t *rng);
void backoff_reset (backoff_t *backoff);
rng_t *store_rng (store_t *store);

#endif
