/* The ledger: every answered request is billed exactly once.

   Many bills are written to one row, with the key
   ledger/DAY/WRITER/EPOCH/SEQUENCE, where DAY is the UTC day of the bills and
   EPOCH identifies one start of the writer.  A row is written on the
   condition that it is absent, so a repeated write whose first reply was lost
   has no effect.  A bill may be stored in several rows, because two processes
   hold each bill until it is written and either may write it.  A reader
   therefore takes the union of all rows by request id.  A bill keeps its
   creation time when it is sent to another process, because the day decides
   which row it is stored in.

   While the store is unavailable, bills accumulate in a few full rows, one
   transaction at a time is retried with backoff, and memory use is bounded.

   Compaction, which requires a lease, merges a run of small rows into the
   last row of the run, in one transaction conditional on each of the rows.
   The merged row keeps the greatest key of the run.  A report that reads rows
   in key order therefore finds each bill at least once while compaction runs;
   it may find a bill twice.  */

#ifndef CONTROL_LEDGER_H
#define CONTROL_LEDGER_H

#include "control/lease.h"

typedef struct ledger ledger_t;

typedef struct
{
  str_t request_id;
  str_t team;
  str_t model;
  str_t version;
  uint64_t tokens;
  double cost;
  /* Creation time of the bill, in ms since the epoch; never changed.  */
  uint64_t created_at_ms;
} ledger_bill_t;

typedef struct
{
  str_t writer;       /* Name of this process.  */
  size_t flush_bills; /* Number of bills in a full row; 0: 500.  */
  /* Maximum time that a row that is not full is held back, in ms; 0: 10 s.  */
  uint64_t flush_ms;
  size_t pending_bills_max; /* Limit of bills in memory; 0: 100,000.  */
  /* Compaction runs while this process holds the lease; NULL: never.  */
  lease_t *lease;
  /* Rows with at least this number of bills are not merged; 0: 350.  */
  size_t large_row_bills;
  /* Interval between compaction steps, in ms; 0: 500 ms.  */
  uint64_t compact_interval_ms;
  /* Called when BILLS are in the store and copies in other processes may be
     discarded.  May be NULL.  */
  void (*on_written) (void *owner, const ledger_bill_t *bills, size_t count);
  void *owner;
} ledger_options_t;

ledger_t *ledger_create (const control_env_t *env,
                         const ledger_options_t *options);
/* Pending bills are discarded, so the caller must send them to a peer first.
   Pending reports end with VH_E_CANCELLED.  NULL is accepted.  */
void ledger_destroy (ledger_t *ledger);
/* Add a copy of BILL.  Return VH_OK, or VH_E_FULL if the limit of pending
   bills is reached.  */
vh_code_t ledger_add (ledger_t *ledger, const ledger_bill_t *bill);
/* Add copies of BILLS, which a peer that failed or is stopping had not
   written.  Return VH_OK, or VH_E_FULL if the limit of pending bills would be
   exceeded; then none is added.  */
vh_code_t ledger_add_all (ledger_t *ledger, const ledger_bill_t *bills,
                          size_t count);
/* Write all pending bills without waiting for full rows or the flush
   delay.  */
void ledger_flush (ledger_t *ledger);
/* Change the maximum time that a row that is not full is held back.  */
void ledger_set_flush_ms (ledger_t *ledger, uint64_t flush_ms);
/* Return the number of pending bills, whose write the store has not
   acknowledged.  */
size_t ledger_pending_count (const ledger_t *ledger);
/* Call EACH for every pending bill.  */
void ledger_foreach_pending (const ledger_t *ledger,
                             void (*each) (void *arg,
                                           const ledger_bill_t *bill),
                             void *arg);

/* Counters since ledger_create.  */
typedef struct
{
  uint64_t rows_written;   /* Number of rows written, without compaction.  */
  uint64_t txns_sent;      /* Number of transactions sent to write rows.  */
  uint64_t bills_written;  /* Number of bills in the written rows.  */
  uint64_t bills_rejected; /* Number of bills rejected at the limit.  */
  /* Number of times that the pending bills rose to 80% of the limit.  */
  uint64_t limit_warnings;
  uint64_t rows_merged; /* Number of rows that compaction removed.  */
} ledger_stats_t;

ledger_stats_t ledger_stats (const ledger_t *ledger);

/* Sums over the bills of one team, model and version.  */
typedef struct
{
  str_t team;
  str_t model;
  str_t version;
  uint64_t requests;
  uint64_t tokens;
  double cost;
} ledger_report_line_t;

/* LINES are sorted by team, model and version, and are valid during the
   callback.  */
typedef void (*ledger_report_cb_t) (void *arg, vh_code_t code,
                                    const ledger_report_line_t *lines,
                                    size_t count);

/* Report the bills in the store for the UTC day DATE (YYYY-MM-DD).  Pending
   bills are not included.  */
void ledger_report (ledger_t *ledger, str_t date, ledger_report_cb_t cb,
                    void *arg);

#endif
