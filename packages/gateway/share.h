/* Entries read the platform's store for each other.

   Answers: many entries that each wait for changes at a store with a bound on
   calls, where each call has a price.  One entry asks the store; the others
   ask it, or in a large fleet the one of their zone that does, over ONC RPC
   with the same calls.  Without this the calls grow with the entries: 730
   would make 3,000 of the 2,000 a second that the store allows.  Who asks whom
   is worked out by policy/fanout.h.

   Whoever has no answer in time asks the store beside the reader and takes
   what comes first, so that a reader that died or hangs costs its askers one
   wait, and nothing depends on agreement.  An entry that cannot reach the
   store is served by one that can.

   What entries tell each other and no operator needs to read goes with the
   calls, from each entry to the one that reads for it, and from there on: as
   rows of the store it would be a write for each entry, and a row of each told
   to each.

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

/* Something for the entry that reads for this one.  */
typedef struct
{
  buf_t key;
  buf_t value;
} share_item_t;

typedef struct
{
  /* Fill up to MOST ITEMS, which the caller frees; return how many.  TELLS:
     with what others told this entry.  */
  size_t (*list) (void *arg, bool tells, share_item_t *items, size_t most);
  /* Another entry told KEY.  */
  void (*take) (void *arg, str_t key, str_t value);
} share_news_t;

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
/* What goes along with the calls for table ROWS_OWN.  */
void share_set_news (share_t *share, const share_news_t *news, void *arg);
/* Read for nobody from now on: a planned stop has begun.  */
void share_leave (share_t *share);
/* Tell whether this entry asks the store itself, and so has what all others
   tell.  */
bool share_reads (share_t *share);

#endif
