/* ONC RPC between vanillahook's processes, over TCP on a libuv loop.

   Answers: a connection that goes silent for good while new ones work, and
   replies that come late, twice or crossed.  Each call keeps its encoded
   record until its reply; when a heartbeat has no answer within a bound, all
   calls in flight move to a fresh connection and the old one is dropped.
   Replies are matched by transaction id, and one that nothing waits for is
   dropped.  Every procedure is therefore safe to send again.

   A node is what the connections of one process share: loop, clock, keys and
   the context that rides on every message.  */

#ifndef WIRE_RPC_H
#define WIRE_RPC_H

#include "base/clock.h"
#include "base/code.h"
#include "base/rng.h"
#include "base/str.h"
#include "wire/proto/wire.h"

#include <uv.h>

/* X (procedure, argument type, result type, what may be larger than a link
   passes within a timeout).  */
#define RPC_PROCS(X)                                                          \
  X (WIRE_PING, wire_ping_args_t, wire_ping_res_t, RPC_SMALL)                 \
  X (WIRE_SUBMIT, wire_submit_args_t, wire_answer_t, RPC_SMALL)               \
  X (WIRE_FETCH, wire_fetch_args_t, wire_answer_t, RPC_SMALL)                 \
  X (WIRE_CANCEL, wire_attempt_args_t, wire_code_res_t, RPC_SMALL)            \
  X (WIRE_FENCE, wire_attempt_args_t, wire_code_res_t, RPC_SMALL)             \
  X (WIRE_RECALL, wire_recall_args_t, wire_recall_res_t, RPC_SMALL)           \
  X (WIRE_CONFIG_PUSH, wire_config_push_args_t, wire_code_res_t,              \
     RPC_LARGE_CALL)                                                          \
  X (WIRE_CONFIG_PULL, wire_config_pull_args_t, wire_config_pull_res_t,       \
     RPC_LARGE_REPLY)                                                         \
  X (WIRE_BILLS_HOLD, wire_bills_hold_args_t, wire_code_res_t,                \
     RPC_LARGE_CALL)                                                          \
  X (WIRE_BILLS_DROP, wire_bills_drop_args_t, wire_code_res_t, RPC_SMALL)     \
  X (WIRE_BILLS_TAKE, wire_bills_take_args_t, wire_bills_take_res_t,          \
     RPC_LARGE_REPLY)                                                         \
  X (WIRE_EVIDENCE, wire_evidence_args_t, wire_evidence_res_t, RPC_SMALL)     \
  X (WIRE_ORDER, wire_order_args_t, wire_code_res_t, RPC_SMALL)               \
  X (WIRE_STATUS, wire_attempt_args_t, wire_status_res_t, RPC_SMALL)          \
  X (WIRE_ROWS, wire_rows_args_t, wire_rows_res_t, RPC_LARGE_REPLY)

typedef struct rpc_node rpc_node_t;
typedef struct rpc_server rpc_server_t;
typedef struct rpc_peer rpc_peer_t;
typedef struct rpc_call rpc_call_t;       /* Made by this process.  */
typedef struct rpc_request rpc_request_t; /* Taken from a peer.  */

/* OUTGOING fills the context of a message about to leave (name and mac are
   the node's; text it points at must outlive the call).  INCOMING sees the
   context of each valid message; PEER is NULL for a call from a peer.  */
typedef struct
{
  void (*outgoing) (void *arg, wire_context_t *context);
  void (*incoming) (void *arg, rpc_peer_t *peer,
                    const wire_context_t *context);
} rpc_hooks_t;

/* X (counter of a node, help).  */
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

/* KEYS are shared secrets: the first signs, all are accepted; with none,
   messages are not signed.  NAME is copied.  */
rpc_node_t *rpc_node_create (uv_loop_t *loop, clock_iface_t *clock, rng_t rng,
                             str_t name, const str_t *keys, size_t key_count,
                             const rpc_hooks_t *hooks, void *arg);
/* Release NODE after its servers and peers.  NULL is accepted.  */
void rpc_node_destroy (rpc_node_t *node);
const rpc_stats_t *rpc_node_stats (const rpc_node_t *node);
/* Drawn when the node was made; never 0.  */
uint64_t rpc_node_epoch (const rpc_node_t *node);
/* Idle connections are pinged this often; set from the number of peers so
   that control traffic stays within its budget.  */
void rpc_node_set_idle_ping_ms (rpc_node_t *node, uint64_t idle_ms);

/* HANDLER must see to one rpc_reply or rpc_drop for each request, at once or
   later. ARGS live until it returns.  */
typedef void (*rpc_handler_t) (void *arg, rpc_request_t *request,
                               uint32_t proc, void *args);
/* Listen on ADDRESS (HOST:PORT, numeric; port 0 picks one).  Return VH_OK or
   VH_E_IO.  */
vh_code_t rpc_server_create (rpc_node_t *node, str_t address,
                             rpc_handler_t handler, void *arg,
                             rpc_server_t **out);
uint16_t rpc_server_port (const rpc_server_t *server);
/* Stop listening and drop the connections; requests in hand are answered to
   nobody.  */
void rpc_server_destroy (rpc_server_t *server);
/* Answer REQUEST with RESULT (of the procedure's result type) and let go of
   it.  Nothing is sent when its connection is gone.  */
void rpc_reply (rpc_request_t *request, void *result);

/* Let go of REQUEST without an answer: it is none that is served here.  */
void rpc_drop (rpc_request_t *request);

/* UP, DOWN (connecting failed or the connection ended), or SILENT (several
   fresh connections in a row had no answer).  */
typedef enum
{
  RPC_DOWN,
  RPC_UP,
  RPC_UNRESPONSIVE
} rpc_peer_state_t;

typedef struct
{
  void (*state) (void *arg, rpc_peer_state_t state);
  void (*pong) (void *arg, const wire_ping_res_t *pong);
} rpc_peer_events_t;

/* Return a peer at ADDRESS, which connects when first called, or NULL when
   ADDRESS is not valid.  */
rpc_peer_t *rpc_peer_create (rpc_node_t *node, str_t address,
                             const rpc_peer_events_t *events, void *arg);
/* Drop the connection; calls in flight end with VH_E_CANCELLED before this
   returns.  NULL is accepted.  */
void rpc_peer_destroy (rpc_peer_t *peer);
rpc_peer_state_t rpc_peer_state (const rpc_peer_t *peer);
void *rpc_peer_arg (const rpc_peer_t *peer);
/* Epoch of the process last heard, 0 before.  */
uint64_t rpc_peer_epoch (const rpc_peer_t *peer);
/* Milliseconds (monotonic) when the peer was last heard, 0 before.  */
uint64_t rpc_peer_last_reply_ms (const rpc_peer_t *peer);
/* Ping now, connecting at need.  */
void rpc_peer_ping (rpc_peer_t *peer);

/* VH_OK with RESULT (borrowed), VH_E_CONNECT when no byte of the call left
   this process, VH_E_CLOSED or VH_E_TIMEOUT when the peer may have it,
   VH_E_PROTOCOL when it was refused as malformed.  SENT counts the
   connections that it was written to.  */
typedef void (*rpc_cb_t) (void *arg, vh_code_t code, void *result,
                          unsigned sent);
/* Call PROC with ARGS; CB comes on a later turn, exactly once unless the
   call is cancelled.  A large call or reply is waited for beyond TIMEOUT_MS
   while the connection carries it: whoever begins it anew may never have it
   whole.  */
rpc_call_t *rpc_peer_call (rpc_peer_t *peer, uint32_t proc, void *args,
                           uint64_t timeout_ms, rpc_cb_t cb, void *arg);
/* Tell whether CALL is one of those that may be large, and its connection
   carries it or its reply now, or what stands before them.  */
bool rpc_call_is_transferring (const rpc_call_t *call);
/* Call PROC and drop whatever comes of it.  */
void rpc_peer_notify (rpc_peer_t *peer, uint32_t proc, void *args);
/* Forget CALL: its reply, if any, is dropped.  NULL is accepted.  */
void rpc_cancel (rpc_call_t *call);

/* Decode one record as a call or a reply and throw it away: the entry point
   of the fuzz test.  Return VH_OK when it was well formed.  */
vh_code_t rpc_decode_and_discard (rpc_node_t *node, str_t record);

#endif
