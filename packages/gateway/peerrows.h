/* Reads of the platform's store through peer gateways.

   Load pattern: many gateways that each watch the tables of a store, which
   charges for every call and limits the rate of calls.  One gateway, the
   reader, calls the store.  The others call the reader, or in a large fleet
   the reader of their availability zone, over ONC RPC with the same reads and
   watches.  Without readers the number of calls grows with the number of
   gateways: 730 gateways would make 3,000 calls a second, while the store
   allows 2,000.  policy/fanout.h decides which gateway calls which.  In that
   file, the root is the gateway that reads from the store, and the head of an
   availability zone is the reader of that zone in a large fleet.

   A gateway whose reader does not reply in time calls the store as well and
   uses the first of the two replies.  So a reader that crashed or hangs costs
   its callers one timeout, and the gateways need not agree on the reader.  A
   gateway that cannot reach the store calls a gateway that can.

   Data that gateways exchange and operators do not read is piggybacked on the
   calls, from each gateway to its reader and on to the gateway that calls the
   store.  If the data were stored as rows, each gateway would have to write a
   row, and every row would be sent to every gateway.

   A reply contains the time since the store confirmed the rows to the reader.
   The caller adds the time since it sent its call, so the age of rows is never
   underestimated.

   A reader that loses the store notices when its own call times out, and until
   then its replies bear no changes.  Readers that are tried one after the
   other add up these times.  So a gateway whose copy of ROWS_OPERATOR was not
   confirmed for PEER_ROWS_CONFIRMATION_MAX_AGE_MS calls the store itself,
   whatever its reader replies.  */

#ifndef GATEWAY_PEERROWS_H
#define GATEWAY_PEERROWS_H

#include "base/clock.h"
#include "gateway/rows.h"

#include <uv.h>

typedef struct peer_rows peer_rows_t;

enum
{
  /* Interval at which pending calls are checked.  */
  PEER_ROWS_TICK_MS = 100,
  /* Age of the confirmation of ROWS_OPERATOR at which a gateway calls the
     store beside its reader.  A change must be in force within 2 s.  */
  PEER_ROWS_CONFIRMATION_MAX_AGE_MS = 1400,
  /* The same at a reader of its availability zone in a large fleet.  Lower, so
     that the gateways of the zone get the rows from it.  */
  PEER_ROWS_INTERMEDIATE_MAX_AGE_MS = 1100,
  /* Longest time that the store may hold a watch call of a reader.  Limits the
     age of the confirmation that the reader's callers get.  */
  PEER_ROWS_STORE_WAIT_MS = 800,
  /* Users of the piggyback.  */
  PEER_ROWS_PIGGYBACK_MAX = 4
};

typedef struct
{
  str_t name;   /* Name of this gateway.  */
  str_t zone;   /* Availability zone of this gateway.  */
  str_t listen; /* HOST:PORT on which the RPC server listens.  */
  const str_t *keys;
  size_t key_count;
  uint32_t link_mbps; /* Bandwidth of this gateway's network link; 0:
                         unknown.  */
} peer_rows_options_t;

/* A key and value piggybacked on a call to the reader.  */
typedef struct
{
  buf_t key;
  buf_t value;
} peer_rows_item_t;

typedef struct
{
  /* Fill at most ITEMS_MAX ITEMS, whose buffers the caller frees; return their
     number.  IS_INTERMEDIATE: this gateway is itself a reader for other
     gateways, so the items include the data that those sent.  */
  size_t (*list) (void *arg, bool is_intermediate, peer_rows_item_t *items,
                  size_t items_max);
  /* Called when another gateway sent KEY, which starts with the prefix of this
     user, with VALUE; both are borrowed.  */
  void (*receive) (void *arg, str_t key, str_t value);
} peer_rows_piggyback_t;

/* Start the RPC server through which this gateway shares reads of STORE with
   other gateways.  STORE must outlive *OUT; strings are copied.  Return VH_OK,
   or VH_E_IO if the RPC server cannot listen.  *OUT is set in both cases.  */
vh_code_t peer_rows_create (uv_loop_t *loop, clock_iface_t *clock,
                            uint64_t seed, rows_t *store,
                            const peer_rows_options_t *options,
                            peer_rows_t **out);
/* Free PEER_ROWS, which may be NULL, without calling the callbacks of pending
   calls.  */
void peer_rows_destroy (peer_rows_t *peer_rows);

/* Return the interface through which this gateway reads tables; valid until
   PEER_ROWS is destroyed.  */
rows_t *peer_rows_iface (peer_rows_t *peer_rows);
uint16_t peer_rows_port (const peer_rows_t *peer_rows);

/* Add the gateway NAME, whose RPC server listens on ADDRESS, or replace its
   address.  LINK_MBPS is the bandwidth of its link; 0: unknown.  */
void peer_rows_add_gateway (peer_rows_t *peer_rows, str_t name, str_t zone,
                            str_t address, uint32_t link_mbps);
void peer_rows_remove_gateway (peer_rows_t *peer_rows, str_t name);
/* Add a user of the calls for table ROWS_SHARED, whose functions list and
   receive the piggybacked items with keys that start with PREFIX.  PIGGYBACK
   is copied; PREFIX is borrowed and differs from that of any other user.  A
   call has room for at least one item of each user, and users that were added
   earlier list theirs first.  At most PEER_ROWS_PIGGYBACK_MAX users.  */
void peer_rows_add_piggyback (peer_rows_t *peer_rows, str_t prefix,
                              const peer_rows_piggyback_t *piggyback,
                              void *arg);
/* Stop serving other gateways, because a planned stop began.  */
void peer_rows_stop_serving (peer_rows_t *peer_rows);
/* Return whether this gateway calls the store itself and so receives the
   piggybacked items of all gateways that it serves.  */
bool peer_rows_is_reader (peer_rows_t *peer_rows);

#endif
