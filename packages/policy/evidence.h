/* Sums of measurements that processes merge: a state-based CRDT, shared by the
   modules of this package that learn from answers.

   Load pattern: several hundred processes each observe a part of the ratings,
   errors and latencies.  Their messages arrive late, twice and in any order,
   and processes are replaced at any time.  Without this module a message that
   is delivered twice counts twice, and a restart loses all measurements.

   The state is a join semilattice.  Each writer owns one cell for each key and
   epoch and only adds to it.  Field 0 of a cell counts the additions, so of
   two copies of a cell the one with the larger field 0 is newer, and merging
   keeps it.  All fields are integers (EVIDENCE_UNIT for 1), so that sums do
   not depend on the order of additions.  A writer id belongs to one run of one
   process; a process must draw a new one at each start.

   A lease holder may compact a closed epoch: one cell for each key replaces
   the cells of all writers, under the lease's fencing number as its
   generation.  Of two generations the larger one is kept.  The state therefore
   fits into a few rows of the store, whatever the number of writers. Additions
   that a writer has not delivered by then are lost.

   Memory is fixed at creation.  When all cells are in use, the oldest epoch is
   dropped whole, never in part, so that no sum lacks some of its cells.  */

#ifndef POLICY_EVIDENCE_H
#define POLICY_EVIDENCE_H

#include "base/code.h"
#include "base/str.h"

typedef struct evidence evidence_t;

enum
{
  EVIDENCE_FIELDS_MAX = 12,
  EVIDENCE_NEWS_EPOCHS = 4,
  /* Fixed-point units to one.  */
  EVIDENCE_UNIT = 1000000
};

typedef struct
{
  uint64_t writer;    /* Unique to this life of this process; not 0.  */
  uint64_t epoch_ms;  /* Length of an epoch, the same in all processes.  */
  uint32_t epochs;    /* Epochs kept.  */
  uint32_t fields;    /* Fields of a cell, field 0 included.  */
  uint32_t keys_max;  /* Distinct keys.  */
  uint32_t cells_max; /* Distinct (key, writer, epoch).  */
} evidence_options_t;

evidence_t *evidence_create (const evidence_options_t *options);
/* NULL is accepted.  */
void evidence_destroy (evidence_t *evidence);

/* Return the index of the key with hash HASH, made on first use; -1 when all
   keys are taken.  Indices are local to this process.  */
int evidence_key (evidence_t *evidence, uint64_t hash);
/* The same without making it; -1 when there is none.  */
int evidence_find (const evidence_t *evidence, uint64_t hash);

/* Forget the epochs that are too old at NOW_MS (real time).  */
void evidence_advance (evidence_t *evidence, uint64_t now_ms);
/* Add SAMPLE (field 0 is ignored) to KEY at NOW_MS.  Return false when KEY is
   -1 or the time lies before everything kept.  */
bool evidence_add (evidence_t *evidence, int key, uint64_t now_ms,
                   const int64_t *sample);

uint64_t evidence_epoch (const evidence_t *evidence, uint64_t now_ms);
/* First and last epoch that may hold anything.  */
uint64_t evidence_first (const evidence_t *evidence);
uint64_t evidence_last (const evidence_t *evidence);
/* Return the sums over all writers of KEY in EPOCH, or NULL when nothing is
   kept for it.  Valid until the next call that changes EVIDENCE.  */
const int64_t *evidence_sums (const evidence_t *evidence, int key,
                              uint64_t epoch);
/* A number that changes whenever any sum may have changed.  */
uint64_t evidence_changes (const evidence_t *evidence);

/* Fold the cells of EPOCH into one for each key under GENERATION, the
   fencing number of the caller's lease.  Return false, with nothing changed,
   when the epoch is empty or not kept, or has that generation or a later
   one.  */
bool evidence_settle (evidence_t *evidence, uint64_t epoch,
                      uint64_t generation);

/* Append the state to OUT: all of it, or only the news for peers, this
   writer's own cells of the last EVIDENCE_NEWS_EPOCHS.  Older ones were sent
   while they were news, and who was away takes all of it from the table.
   The bytes of equal states are equal.  */
void evidence_write (const evidence_t *evidence, bool own_only, buf_t *out);
/* Tell whether evidence_merge would accept BYTES.  */
bool evidence_valid (const evidence_t *evidence, str_t bytes);
/* Merge what evidence_write made.  Cells over an epoch ahead of NOW_MS, which
   a peer with a wrong clock writes, and cells older than what is kept are
   skipped.  Return VH_OK, or VH_E_PROTOCOL with nothing merged.  */
vh_code_t evidence_merge (evidence_t *evidence, str_t bytes, uint64_t now_ms);

/* VALUE in fixed point, rounded; values beyond a billion are clipped.  */
int64_t evidence_fixed (double value);

/* Append N as a variable-length integer, seven bits a byte.  */
void evidence_put (buf_t *out, uint64_t n);
/* Take one such integer off *REST; return false when it is malformed.  */
bool evidence_take (str_t *rest, uint64_t *n);
/* Take a string with its length before it off *REST; it borrows.  */
bool evidence_take_str (str_t *rest, str_t *s);

#endif
