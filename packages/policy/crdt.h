/* Sums of measurements that processes merge: a state-based CRDT, shared by the
   modules of this package that learn from answers.

   Load pattern: several hundred processes each observe a part of the ratings,
   errors and latencies.  Their messages arrive late, twice and in any order,
   and processes are replaced at any time.  Without this module a message that
   is delivered twice counts twice, and a restart loses all measurements.

   The state is a join semilattice.  Each writer owns one cell for each key and
   epoch and only adds to it.  Field 0 of a cell counts the additions, so of
   two copies of a cell the one with the larger field 0 is newer, and merging
   keeps it.  All fields are integers (CRDT_FIXED_POINT_ONE for 1), so that
   sums do not depend on the order of additions.  A writer id belongs to one
   run of one process; a process must draw a new one at each start.

   A lease holder may compact a closed epoch: one cell for each key replaces
   the cells of all writers, under the lease's fencing number as its
   generation.  Of two generations the larger one is kept.  The state therefore
   fits into a few rows of the store, whatever the number of writers.
   Additions that a writer has not delivered by then are lost.

   Memory is fixed at creation.  When all cells are in use, the oldest epoch is
   dropped whole, never in part, so that no sum lacks some of its cells.  */

#ifndef POLICY_CRDT_H
#define POLICY_CRDT_H

#include "base/code.h"
#include "base/str.h"

typedef struct crdt crdt_t;

enum
{
  CRDT_FIELDS_MAX = 12,
  CRDT_RECENT_EPOCHS = 4,
  /* Fixed-point value of 1.  */
  CRDT_FIXED_POINT_ONE = 1000000
};

typedef struct
{
  uint64_t writer;   /* Unique to this run of this process; not 0.  */
  uint64_t epoch_ms; /* Length of an epoch in ms, the same in all processes. */
  uint32_t epochs;   /* Number of epochs kept.  */
  uint32_t fields;   /* Number of fields in a cell, field 0 included.  */
  uint32_t keys_max; /* Largest number of distinct keys.  */
  uint32_t cells_max; /* Largest number of distinct combinations of key, writer
                         and epoch.  */
} crdt_options_t;

crdt_t *crdt_create (const crdt_options_t *options);
/* Free CRDT, which may be NULL.  */
void crdt_destroy (crdt_t *crdt);

/* Return the index of the key with hash HASH, created on first use; -1 if
   there is no room.  Indices are local to this process.  */
int crdt_key_find_or_add (crdt_t *crdt, uint64_t hash);
/* Return the index of the key with hash HASH; -1 if there is none.  */
int crdt_key_find (const crdt_t *crdt, uint64_t hash);

/* Drop the epochs that are too old at NOW_MS (real time).  */
void crdt_advance (crdt_t *crdt, uint64_t now_ms);
/* Add SAMPLE, whose field 0 is ignored, to KEY at NOW_MS.  Return false if KEY
   is -1, or if the epoch of NOW_MS is no longer kept.  */
bool crdt_add (crdt_t *crdt, int key, uint64_t now_ms, const int64_t *sample);

uint64_t crdt_epoch_at (const crdt_t *crdt, uint64_t now_ms);
/* Return the first or the last epoch that may have sums.  */
uint64_t crdt_first_epoch (const crdt_t *crdt);
uint64_t crdt_last_epoch (const crdt_t *crdt);
/* Return the sums over all writers of KEY in EPOCH, or NULL if there are none.
   The pointer is valid until the next call that changes CRDT.  */
const int64_t *crdt_sums (const crdt_t *crdt, int key, uint64_t epoch);
/* Return a counter that changes whenever a sum may have changed.  */
uint64_t crdt_change_count (const crdt_t *crdt);

/* Replace the cells of EPOCH by one cell for each key, under GENERATION, the
   fencing number of the caller's lease.  Return false, with nothing changed,
   if the epoch is empty or not kept, or already has this generation or a
   larger one.  */
bool crdt_compact (crdt_t *crdt, uint64_t epoch, uint64_t generation);

/* Append the state to OUT: all of it, or with OWN_ONLY only this writer's
   cells of the last CRDT_RECENT_EPOCHS, for peers.  Older cells were sent in
   earlier messages; a peer that missed them reads the whole state from the
   store.  Equal states give equal bytes.  */
void crdt_write (const crdt_t *crdt, bool own_only, buf_t *out);
/* Return whether crdt_merge would accept BYTES.  */
bool crdt_is_valid (const crdt_t *crdt, str_t bytes);
/* Merge what crdt_write wrote.  Cells more than an epoch ahead of NOW_MS,
   which a peer with a wrong clock writes, and cells of epochs no longer kept
   are skipped.  Return VH_OK, or VH_E_PROTOCOL with nothing merged.  */
vh_code_t crdt_merge (crdt_t *crdt, str_t bytes, uint64_t now_ms);

/* Return VALUE in fixed point, rounded; absolute values above a billion are
   clipped, and 0 replaces a value that is not finite.  */
int64_t crdt_to_fixed_point (double value);

/* Append N as a variable-length integer of seven bits a byte.  */
void crdt_write_varint (buf_t *out, uint64_t n);
/* Read a variable-length integer at the start of *REST into *N and skip it.
   Return false if it is malformed.  */
bool crdt_read_varint (str_t *rest, uint64_t *n);
/* Read a string that follows its length at the start of *REST into *S, which
   points into *REST's bytes, and skip it.  Return false if it is
   malformed.  */
bool crdt_read_string (str_t *rest, str_t *s);

#endif
