/* Entries read the platform's store for each other.

   Answers: many entries that each wait for changes at a store with a bound on
   calls, where each call has a price.  One entry asks the store; the others
   ask it, or in a large fleet the one of their zone that does, over ONC RPC
   with the same calls.  Without this the calls grow with the entries: 730
   would make 3,000 of the 2,000 a second that the store allows.  Who asks whom
   is worked out by policy/readers.h.

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

#ifndef GATEWAY_PEERROWS_H
#define GATEWAY_PEERROWS_H

#include "base/clock.h"
#include "gateway/rows.h"

#include <uv.h>

typedef struct share peer_rows_t;

typedef struct
{
  str_t name;
  str_t zone;
  str_t listen; /* RPC, HOST:PORT.  */
  const str_t *keys;
  size_t key_count;
  uint32_t link_mbps; /* Of this instance; 0: not known.  */
} peer_rows_options_t;

/* Something for the entry that reads for this one.  */
typedef struct
{
  buf_t key;
  buf_t value;
} peer_rows_item_t;

typedef struct
{
  /* Fill up to MOST ITEMS, which the caller frees; return how many.  TELLS:
     with what others told this entry.  */
  size_t (*list) (void *arg, bool tells, peer_rows_item_t *items, size_t most);
  /* Another entry told KEY.  */
  void (*take) (void *arg, str_t key, str_t value);
} peer_rows_piggyback_t;

/* STORE outlives the share; strings are copied.  Return VH_OK and *OUT, or
   VH_E_IO when it cannot listen.  */
vh_code_t peer_rows_create (uv_loop_t *loop, clock_iface_t *clock,
                            uint64_t seed, rows_t *store,
                            const peer_rows_options_t *options,
                            peer_rows_t **out);
/* NULL is accepted.  */
void peer_rows_destroy (peer_rows_t *share);

/* The rows as this entry is to ask for them; it lives as long as SHARE.  */
rows_t *peer_rows_iface (peer_rows_t *share);
uint16_t peer_rows_port (const peer_rows_t *share);

/* An entry is listed, or no longer.  LINK_MBPS 0: not known.  */
void peer_rows_add_gateway (peer_rows_t *share, str_t name, str_t zone,
                            str_t address, uint32_t link_mbps);
void peer_rows_remove_gateway (peer_rows_t *share, str_t name);
/* What goes along with the calls for table ROWS_SHARED.  */
void peer_rows_set_piggyback (peer_rows_t *share,
                              const peer_rows_piggyback_t *news, void *arg);
/* Read for nobody from now on: a planned stop has begun.  */
void peer_rows_stop_serving (peer_rows_t *share);
/* Tell whether this entry asks the store itself, and so has what all others
   tell.  */
bool peer_rows_is_reader (peer_rows_t *share);

#endif
