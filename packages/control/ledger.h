/* The ledger: every answered request billed once.

   Bills are written many to a row, under ledger/DAY/WRITER/EPOCH/SEQUENCE,
   where DAY is that of the bill (UTC) and EPOCH names one start of the
   writer.  A row is written on the condition that it is absent, so a repeat
   of a write whose reply was lost changes nothing.  A bill may come to stand
   in several rows (two processes hold it until it is written, and either may
   write it): the ledger is the set union by request id, made when reading.
   A bill therefore travels whole, with its time: the day decides its row.

   While the store is away bills gather in few full rows, one transaction at
   a time is tried with backoff, and memory is bounded.

   Compaction, under a lease, merges small rows into the last one of a run in
   one transaction conditional on each of them.  The merged row keeps the
   greatest key of the run: a report that reads in key order meets each bill
   before or after the merge, perhaps twice, never not at all.  */

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
  uint64_t at_ms; /* Since the epoch; made once, with the bill.  */
} bill_t;

typedef struct
{
  str_t writer;        /* Name of this process.  */
  size_t flush_bills;  /* A row is full at so many; 0: 500.  */
  uint64_t flush_ms;   /* A bill waits for others so long; 0: 10 s.  */
  size_t bills_max;    /* Held in memory; 0: 100,000.  */
  lease_t *lease;      /* Compacts while it is held; NULL: never.  */
  size_t large_bills;  /* Rows of so many are not merged on; 0: 350.  */
  uint64_t compact_ms; /* Between two steps of compaction; 0: 500 ms.  */
  /* BILLS are in the store: copies held elsewhere may go.  May be NULL.  */
  void (*written) (void *owner, const bill_t *bills, size_t count);
  void *owner;
} ledger_options_t;

ledger_t *ledger_create (const control_env_t *env,
                         const ledger_options_t *options);
/* What is pending is dropped: hand it to a peer first.  Reports under way end
   with VH_E_CANCELLED.  NULL is accepted.  */
void ledger_destroy (ledger_t *ledger);
/* Take BILL, copied.  VH_E_FULL when as many are held as may be.  */
vh_code_t ledger_add (ledger_t *ledger, const bill_t *bill);
/* Take the bills of a peer that died or stops: all, or none with
   VH_E_FULL.  */
vh_code_t ledger_adopt (ledger_t *ledger, const bill_t *bills, size_t count);
/* Write what is held now rather than when a row is full or old.  */
void ledger_flush (ledger_t *ledger);
/* Let a bill wait for others so long from now on.  */
void ledger_set_flush_ms (ledger_t *ledger, uint64_t flush_ms);
/* Bills that the store is not known to have.  */
size_t ledger_pending_count (const ledger_t *ledger);
/* Call EACH for every one of them.  */
void ledger_foreach_pending (const ledger_t *ledger,
                             void (*each) (void *arg, const bill_t *bill),
                             void *arg);

typedef struct
{
  uint64_t rows;        /* Rows written.  */
  uint64_t txns;        /* Transactions sent to write them.  */
  uint64_t bills;       /* Bills in them.  */
  uint64_t refused;     /* Bills refused for want of memory.  */
  uint64_t near_bound;  /* Times that four fifths of it were used.  */
  uint64_t merged_rows; /* Rows that compaction made go.  */
} ledger_figures_t;

ledger_figures_t ledger_figures (const ledger_t *ledger);

typedef struct
{
  str_t team;
  str_t model;
  str_t version;
  uint64_t requests;
  uint64_t tokens;
  double cost;
} ledger_report_line_t;

/* LINES, one a team, model and version, in that order, live for the
   callback.  */
typedef void (*ledger_report_cb_t) (void *arg, vh_code_t code,
                                    const ledger_report_line_t *lines,
                                    size_t count);

/* Report DAY (YYYY-MM-DD) as the store has it.  */
void ledger_report (ledger_t *ledger, str_t day, ledger_report_cb_t cb,
                    void *arg);

#endif
