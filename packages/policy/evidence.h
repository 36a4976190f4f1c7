/* Mergeable sums: what the learning modules of this package share.

   Answers: several hundred entries each see a part of the ratings, errors
   and latencies, gossip them late, twice and in any order, and are replaced
   at any time.  Without it a repeated delivery counts twice and a restart
   forgets everything.

   The state is a join semilattice.  Each writer owns one cell for each (key,
   epoch) and only ever adds to it; field 0 counts its additions, so of two
   copies of a cell the one with the larger field 0 is the newer one and
   merging is taking it.  All fields are integers (CRDT_FIXED_POINT_ONE to
   one), so that sums are the same in any order.  A writer id belongs to one
   life of one process: draw a new one at each start.

   A lease holder may settle a closed epoch: its cells become one cell for
   each key under the lease's fencing number as generation, and the larger
   generation wins.  So the state fits a few rows whatever the number of
   writers.  What a writer had not yet delivered by then is lost.

   Memory is fixed at creation.  When the cells are full the oldest epoch is
   forgotten whole, never a part of it, so that no sum is half counted.  */

#ifndef POLICY_EVIDENCE_H
#define POLICY_EVIDENCE_H

#include "base/code.h"
#include "base/str.h"

typedef struct evidence crdt_t;

enum
{
  CRDT_FIELDS_MAX = 12,
  CRDT_RECENT_EPOCHS = 4,
  /* Fixed-point units to one.  */
  CRDT_FIXED_POINT_ONE = 1000000
};

typedef struct
{
  uint64_t writer;    /* Unique to this life of this process; not 0.  */
  uint64_t epoch_ms;  /* Length of an epoch, the same in all processes.  */
  uint32_t epochs;    /* Epochs kept.  */
  uint32_t fields;    /* Fields of a cell, field 0 included.  */
  uint32_t keys_max;  /* Distinct keys.  */
  uint32_t cells_max; /* Distinct (key, writer, epoch).  */
} crdt_options_t;

crdt_t *crdt_create (const crdt_options_t *options);
/* NULL is accepted.  */
void crdt_destroy (crdt_t *evidence);

/* Return the index of the key with hash HASH, made on first use; -1 when all
   keys are taken.  Indices are local to this process.  */
int crdt_key_find_or_add (crdt_t *evidence, uint64_t hash);
/* The same without making it; -1 when there is none.  */
int crdt_key_find (const crdt_t *evidence, uint64_t hash);

/* Forget the epochs that are too old at NOW_MS (real time).  */
void crdt_advance (crdt_t *evidence, uint64_t now_ms);
/* Add SAMPLE (field 0 is ignored) to KEY at NOW_MS.  Return false when KEY is
   -1 or the time lies before everything kept.  */
bool crdt_add (crdt_t *evidence, int key, uint64_t now_ms,
               const int64_t *sample);

uint64_t crdt_epoch_at (const crdt_t *evidence, uint64_t now_ms);
/* First and last epoch that may hold anything.  */
uint64_t crdt_first_epoch (const crdt_t *evidence);
uint64_t crdt_last_epoch (const crdt_t *evidence);
/* Return the sums over all writers of KEY in EPOCH, or NULL when nothing is
   kept for it.  Valid until the next call that changes EVIDENCE.  */
const int64_t *crdt_sums (const crdt_t *evidence, int key, uint64_t epoch);
/* A number that changes whenever any sum may have changed.  */
uint64_t crdt_change_count (const crdt_t *evidence);

/* Fold the cells of EPOCH into one for each key under GENERATION, the
   fencing number of the caller's lease.  Return false, with nothing changed,
   when the epoch is empty or not kept, or has that generation or a later
   one.  */
bool crdt_compact (crdt_t *evidence, uint64_t epoch, uint64_t generation);

/* Append the state to OUT: all of it, or only the news for peers, this
   writer's own cells of the last CRDT_RECENT_EPOCHS.  Older ones were sent
   while they were news, and who was away takes all of it from the table.
   The bytes of equal states are equal.  */
void crdt_write (const crdt_t *evidence, bool own_only, buf_t *out);
/* Tell whether crdt_merge would accept BYTES.  */
bool crdt_is_valid (const crdt_t *evidence, str_t bytes);
/* Merge what crdt_write made.  Cells over an epoch ahead of NOW_MS, which
   a peer with a wrong clock writes, and cells older than what is kept are
   skipped.  Return VH_OK, or VH_E_PROTOCOL with nothing merged.  */
vh_code_t crdt_merge (crdt_t *evidence, str_t bytes, uint64_t now_ms);

/* VALUE in fixed point, rounded; values beyond a billion are clipped.  */
int64_t crdt_to_fixed_point (double value);

/* Append N as a variable-length integer, seven bits a byte.  */
void crdt_write_varint (buf_t *out, uint64_t n);
/* Take one such integer off *REST; return false when it is malformed.  */
bool crdt_read_varint (str_t *rest, uint64_t *n);
/* Take a string with its length before it off *REST; it borrows.  */
bool crdt_read_string (str_t *rest, str_t *s);

#endif
