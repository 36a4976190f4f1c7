/* Entries read the platform's store for each other.

   Answers: many entries that each wait for changes at a store with a bound on
   calls, where each call has a price.  One entry, the one with the widest link
   of those listed, asks the store; the others ask it, over ONC RPC, with the
   same calls.  When entries are many, or zones do not hear each other, each
   availability zone has a reader of its own.  Without this the calls grow with
   the entries: 22 of them made 92 a second, 730 would make 3,000 of the 2,000
   that the store allows.

   Who reads is nobody's appointment: each entry works it out from the listed
   entries and from those that did not answer it of late.  Whoever has no
   answer in time asks the store beside the reader and takes what comes first,
   so that a reader that died, hangs or lost the store costs its askers one
   wait, and nothing depends on agreement.  An entry that cannot reach the
   store is served by one that can.

   An answer bears the age of the store's confirmation at the reader; the asker
   counts it from when it asked.  So no belief looks younger than it is.  */

#ifndef GATEWAY_SHARE_H
#define GATEWAY_SHARE_H

#include "base/clock.h"
#include "gateway/rows.h"

#include <uv.h>

typedef struct share share_t;

typedef struct
{
  str_t name;
  str_t zone;
  str_t listen; /* RPC, HOST:PORT.  */
  const str_t *keys;
  size_t key_count;
  uint32_t link_mbps; /* Of this instance; 0: not known.  */
} share_options_t;

/* STORE outlives the share; strings are copied.  Return VH_OK and *OUT, or
   VH_E_IO when it cannot listen.  */
vh_code_t share_create (uv_loop_t *loop, clock_iface_t *clock, uint64_t seed,
                        rows_t *store, const share_options_t *options,
                        share_t **out);
/* NULL is accepted.  */
void share_destroy (share_t *share);

/* The rows as this entry is to ask for them; it lives as long as SHARE.  */
rows_t *share_rows (share_t *share);
uint16_t share_port (const share_t *share);

/* An entry is listed, or no longer.  LINK_MBPS 0: not known.  */
void share_put (share_t *share, str_t name, str_t zone, str_t address,
                uint32_t link_mbps);
void share_remove (share_t *share, str_t name);
/* Read for nobody from now on: a planned stop has begun.  */
void share_leave (share_t *share);
/* Tell whether this entry asks the store itself.  */
bool share_reads (share_t *share);

#endif
