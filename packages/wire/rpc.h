/* ONC RPC between vanillahook's processes, over TCP on a libuv loop.

   Handles a connection that stops carrying data without an error while new
   connections work, and replies that arrive late, twice or out of order.
   Without this, calls on such a connection wait until they time out, and a
   reply can be taken for that of another call.  Each call keeps its encoded
   record until its reply arrives.  When a ping is not answered in time, all
   calls in flight are sent again on a new connection and the old connection is
   closed.  Replies are matched by transaction id, and a reply that matches no
   call is discarded.  Every procedure must therefore be safe to receive
   twice.

   A node holds what all connections of one process share: the event loop, the
   clock, the keys and the context that is part of every message.  */

#ifndef WIRE_RPC_H
#define WIRE_RPC_H

#include "base/clock.h"
#include "base/code.h"
#include "base/rng.h"
#include "base/str.h"
#include "wire/proto/wire.h"

#include <uv.h>

/* X (procedure, argument type, result type, rpc_transfer_size_t: whether the
   call or the reply may take longer to transfer than the call's timeout).  */
#define RPC_PROCS(X)                                                          \
  X (WIRE_PING, wire_ping_args_t, wire_ping_res_t, RPC_TRANSFER_SMALL)        \
  X (WIRE_SUBMIT, wire_submit_args_t, wire_answer_t, RPC_TRANSFER_SMALL)      \
  X (WIRE_FETCH, wire_fetch_args_t, wire_answer_t, RPC_TRANSFER_SMALL)        \
  X (WIRE_CANCEL, wire_attempt_args_t, wire_code_res_t, RPC_TRANSFER_SMALL)   \
  X (WIRE_FENCE, wire_attempt_args_t, wire_code_res_t, RPC_TRANSFER_SMALL)    \
  X (WIRE_RECALL, wire_recall_args_t, wire_recall_res_t, RPC_TRANSFER_SMALL)  \
  X (WIRE_CONFIG_PUSH, wire_config_push_args_t, wire_code_res_t,              \
     RPC_TRANSFER_LARGE_CALL)                                                 \
  X (WIRE_CONFIG_PULL, wire_config_pull_args_t, wire_config_pull_res_t,       \
     RPC_TRANSFER_LARGE_REPLY)                                                \
  X (WIRE_BILLS_HOLD, wire_bills_hold_args_t, wire_code_res_t,                \
     RPC_TRANSFER_LARGE_CALL)                                                 \
  X (WIRE_BILLS_DROP, wire_bills_drop_args_t, wire_code_res_t,                \
     RPC_TRANSFER_SMALL)                                                      \
  X (WIRE_BILLS_TAKE, wire_bills_take_args_t, wire_bills_take_res_t,          \
     RPC_TRANSFER_LARGE_REPLY)                                                \
  X (WIRE_EVIDENCE, wire_evidence_args_t, wire_evidence_res_t,                \
     RPC_TRANSFER_SMALL)                                                      \
  X (WIRE_ORDER, wire_order_args_t, wire_code_res_t, RPC_TRANSFER_SMALL)      \
  X (WIRE_STATUS, wire_attempt_args_t, wire_status_res_t, RPC_TRANSFER_SMALL) \
  X (WIRE_ROWS, wire_rows_args_t, wire_rows_res_t, RPC_TRANSFER_LARGE_REPLY)

typedef struct rpc_node rpc_node_t;
typedef struct rpc_server rpc_server_t;
typedef struct rpc_peer rpc_peer_t;
typedef struct rpc_call rpc_call_t;       /* Call sent by this process.  */
typedef struct rpc_request rpc_request_t; /* Call received from a peer.  */

/* OUTGOING fills in the context of a message that is about to be sent, except
   name, epoch and mac, which the node sets.  Text that the context points to
   must stay valid until the message is encoded.  INCOMING receives the context
   of each valid message; PEER is the peer that sent a reply, or NULL for a
   received call.  */
typedef struct
{
  void (*outgoing) (void *arg, wire_context_t *context);
  void (*incoming) (void *arg, rpc_peer_t *peer,
                    const wire_context_t *context);
} rpc_hooks_t;

/* X (counter of a node, help text of its metric).  */
#define RPC_STATS(X)                                                          \
  X (bytes_out, "Bytes sent to other processes")                              \
  X (bytes_in, "Bytes received from other processes")                         \
  X (control_bytes_out, "Bytes of pings and configuration sent")              \
  X (calls, "Calls made to other processes")                                  \
  X (moved, "Calls sent again on a fresh connection")                         \
  X (silent, "Connections left for silence")                                  \
  X (refused, "Messages with a bad form or mac")                              \
  X (late, "Replies that nothing waited for")

typedef struct
{
#define X(name, help) uint64_t name;
  RPC_STATS (X)
#undef X
} rpc_stats_t;

/* Return a node named NAME, which is copied.  KEYS are shared secrets: the
   first one signs sent messages, and received messages may be signed with any
   of them.  Without keys messages are not signed.  */
rpc_node_t *rpc_node_create (uv_loop_t *loop, clock_iface_t *clock, rng_t rng,
                             str_t name, const str_t *keys, size_t key_count,
                             const rpc_hooks_t *hooks, void *arg);
/* Release NODE.  Its servers and peers must have been destroyed.  NULL is
   accepted.  */
void rpc_node_destroy (rpc_node_t *node);
const rpc_stats_t *rpc_node_stats (const rpc_node_t *node);
/* Return a random number that identifies this start of the process; never
   0.  */
uint64_t rpc_node_epoch (const rpc_node_t *node);
/* Set the interval of the pings on idle connections, in ms (1000 by default).
   Set from the number of peers, so that control traffic stays within its
   budget.  */
void rpc_node_set_idle_ping_ms (rpc_node_t *node, uint64_t idle_ms);

/* Receives each request.  The handler must call rpc_reply or rpc_drop exactly
   once for REQUEST, before it returns or later.  ARGS are valid until it
   returns.  */
typedef void (*rpc_handler_t) (void *arg, rpc_request_t *request,
                               uint32_t proc, void *args);
/* Listen on ADDRESS (HOST:PORT, numeric; port 0 selects a free port).  Return
   VH_OK and the server in *OUT, or VH_E_IO when the address cannot be
   bound.  */
vh_code_t rpc_server_create (rpc_node_t *node, str_t address,
                             rpc_handler_t handler, void *arg,
                             rpc_server_t **out);
uint16_t rpc_server_port (const rpc_server_t *server);
/* Stop listening and close the connections.  Replies to requests that are
   still being handled are discarded.  */
void rpc_server_destroy (rpc_server_t *server);
/* Reply to REQUEST with RESULT (of the procedure's result type) and release
   REQUEST.  No reply is sent when the connection has been closed.  */
void rpc_reply (rpc_request_t *request, void *result);

/* Release REQUEST, which this process does not serve, without a reply.  */
void rpc_drop (rpc_request_t *request);

/* State of a remote process, inferred from the latest connections to it.  */
enum
{
  /* Copies of the body of a WIRE_SUBMIT that a sidecar holds until the attempt
     ends.  */
  WIRE_SUBMIT_BODY_COPIES = 2
};

typedef enum
{
  RPC_DOWN, /* Not connected yet, connecting failed, or connection lost.  */
  RPC_UP,
  RPC_UNRESPONSIVE /* Connections are accepted but get no reply.  */
} rpc_peer_state_t;

typedef struct
{
  void (*state) (void *arg, rpc_peer_state_t state);
  void (*pong) (void *arg, const wire_ping_res_t *pong);
} rpc_peer_events_t;

/* Return a peer at ADDRESS (HOST:PORT, numeric), or NULL when ADDRESS is not
   valid.  The connection is opened by the first call.  */
rpc_peer_t *rpc_peer_create (rpc_node_t *node, str_t address,
                             const rpc_peer_events_t *events, void *arg);
/* Close the connection and release PEER.  Calls in flight end with
   VH_E_CANCELLED before this function returns.  NULL is accepted.  */
void rpc_peer_destroy (rpc_peer_t *peer);
rpc_peer_state_t rpc_peer_state (const rpc_peer_t *peer);
void *rpc_peer_arg (const rpc_peer_t *peer);
/* Return the epoch of the process that sent the last reply, or 0 before the
   first reply.  */
uint64_t rpc_peer_epoch (const rpc_peer_t *peer);
/* Return the monotonic time of the last reply, in ms, or 0 before the first
   reply.  */
uint64_t rpc_peer_last_reply_ms (const rpc_peer_t *peer);
/* Send a ping now, and connect first if PEER is not connected.  */
void rpc_peer_ping (rpc_peer_t *peer);

/* Receives the outcome of a call.  CODE is VH_OK with RESULT, which is valid
   until the callback returns; VH_E_CONNECT when no byte of the call left this
   process; VH_E_CLOSED or VH_E_TIMEOUT when the peer may have received the
   call; VH_E_CANCELLED when the peer was destroyed; VH_E_PROTOCOL when the
   peer rejected the call as malformed.  SENT is the number of connections on
   which the call was sent.  */
typedef void (*rpc_cb_t) (void *arg, vh_code_t code, void *result,
                          unsigned sent);
/* Call PROC with ARGS.  CB is called exactly once, on a later turn of the
   loop, unless the call is cancelled.  A large call or reply may take longer
   than TIMEOUT_MS as long as the connection transfers data: a transfer that
   is started again after each timeout may never complete.  */
rpc_call_t *rpc_peer_call (rpc_peer_t *peer, uint32_t proc, void *args,
                           uint64_t timeout_ms, rpc_cb_t cb, void *arg);
/* Return whether CALL is of a procedure whose calls or replies may be large
   and its connection is transferring data in that direction.  */
bool rpc_call_is_transferring (const rpc_call_t *call);
/* Call PROC and ignore the outcome.  */
void rpc_peer_notify (rpc_peer_t *peer, uint32_t proc, void *args);
/* Cancel CALL without calling its callback; a later reply is discarded.  NULL
   is accepted.  */
void rpc_cancel (rpc_call_t *call);

/* Decode RECORD as a call or a reply and discard the result.  This is the
   entry point of the fuzz test.  Return VH_OK when RECORD is well formed,
   otherwise VH_E_PROTOCOL.  */
vh_code_t rpc_decode_and_discard (rpc_node_t *node, str_t record);

#endif
