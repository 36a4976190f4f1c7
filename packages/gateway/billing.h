/* Writes billing records to the store, for requests of which the caller
   received a successful response or at least one event of a stream.

   Load pattern: a store that is unavailable for some time, and write replies
   that are lost.  Bills are queued in batches.  Each batch is one row whose
   key only this process writes, created on the condition that the row does not
   exist, so that a repeated write bills no request twice.  A request has one
   bill, which contains its attempt id, because only one gateway process
   receives the request.

   A store that comes back from an older copy has lost the batches that were
   written since, so written batches are kept for BILLING_KEEP_MS and written
   again then.  The condition leaves those that the copy has.

   A process that is killed loses the bills of the last BILLING_INTERVAL_MS; in
   an outage of the store, all bills since the outage began.

   - BILLING_INTERVAL_MS 15000: each gateway process makes four writes a
   minute; 730 processes make 49 of the 400 writes a second that the store can
   take.
   - BILLING_BATCH_BILLS 400: about 40 KB, below the size limit of a row.
   - BILLING_QUEUED_BILLS_MAX 20000, about 2 MB: 20 s of an outage at one
   request a millisecond.  When the queue is full, the oldest bills are dropped
   and counted.  As many written bills are kept at most.  */

#ifndef GATEWAY_BILLING_H
#define GATEWAY_BILLING_H

#include "gateway/rows.h"

#include <uv.h>

enum
{
  BILLING_INTERVAL_MS = 15000,
  BILLING_BATCH_BILLS = 400,
  BILLING_QUEUED_BILLS_MAX = 20000,
  BILLING_KEEP_MS = 60000
};

typedef struct billing billing_t;

/* Billing record of one request.  */
typedef struct
{
  str_t attempt_id;
  str_t team;
  str_t route;
  str_t model; /* Model that ran the request; empty for a plain service.  */
  uint32_t prompt_tokens;
  uint64_t stream_event_count; /* Events of the stream sent to the caller.  */
  /* Number of sends that an upstream may have run.  */
  uint32_t possible_run_count;
  bool is_complete; /* The caller received the whole response.  */
} bill_t;

/* Create a queue of bills that is written to table ROWS_BILLS every
   BILLING_INTERVAL_MS.  NAME, which is copied, identifies this process in row
   keys; EPOCH is unique to each start of the process.  ROWS must outlive the
   result.  */
billing_t *billing_create (uv_loop_t *loop, rows_t *rows, str_t name,
                           uint64_t epoch);
/* Destroy BILLING.  Bills that are not yet written are lost.  BILLING may be
   NULL.  */
void billing_destroy (billing_t *billing);
void billing_add (billing_t *billing, const bill_t *bill);
/* Write the batches again that were written in the last BILLING_KEEP_MS,
   because the store came back from an older copy.  */
void billing_write_again (billing_t *billing);
/* Write the queued bills now instead of at the next interval, for a planned
   stop.  */
void billing_flush (billing_t *billing);
/* Return the number of bills that are queued, and the number of bills dropped
   so far.  */
size_t billing_queued_bill_count (const billing_t *billing);
uint64_t billing_dropped_bill_count (const billing_t *billing);

#endif
