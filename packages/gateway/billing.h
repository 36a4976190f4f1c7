/* Bills of the requests that upstreams answered, on their way to the store.

   Answers: a store that is away for a while, and replies of writes that are
   lost.  Bills wait in batches; each batch is one row under a key that nobody
   else writes, created on the condition that there is none, so a write that is
   sent again bills nothing twice.  A request has one bill: it comes to one
   gateway, and its attempt id is in the bill.

   What can be lost: the bills of a process that is killed, those of the last
   BILLING_WAIT_MS at most, or since the store went away.

   - BILLING_WAIT_MS 15000: four writes a minute an entry; 730 entries make 49
   of the store's 400 a second.
   - BILLING_BATCH 400: some 40 KB, under the bound of a row.
   - BILLING_KEPT 20000, some 2 MB: with a request a millisecond, 20 s of an
     outage.  More are dropped, the oldest first, and counted.  */

#ifndef GATEWAY_BILLING_H
#define GATEWAY_BILLING_H

#include "gateway/rows.h"

#include <uv.h>

enum
{
  BILLING_WAIT_MS = 15000,
  BILLING_BATCH = 400,
  BILLING_KEPT = 20000
};

typedef struct billing billing_t;

/* One request that an upstream answered.  */
typedef struct
{
  str_t id; /* Attempt id.  */
  str_t team;
  str_t route;
  str_t model;     /* Of the answer; empty for a plain service.  */
  uint32_t prompt; /* Tokens.  */
  uint64_t events; /* Passed on.  */
  uint32_t runs;   /* Upstreams that may have run it.  */
  bool whole;      /* The caller has all of it.  */
} bill_t;

/* NAME is the writer's, EPOCH tells its starts apart.  */
billing_t *billing_create (uv_loop_t *loop, rows_t *rows, str_t name,
                           uint64_t epoch);
/* NULL is accepted; what is not written is lost.  */
void billing_destroy (billing_t *billing);
void billing_add (billing_t *billing, const bill_t *bill);
/* Write now what waits, as at a planned stop.  */
void billing_flush (billing_t *billing);
/* Bills not yet written, and those dropped.  */
size_t billing_waiting (const billing_t *billing);
uint64_t billing_dropped (const billing_t *billing);

#endif
