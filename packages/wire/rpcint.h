/* Internal declarations of rpccodec.c, rpcserver.c and rpcpeer.c.  */

#ifndef WIRE_RPCINT_H
#define WIRE_RPCINT_H

#include "base/mem.h"
#include "wire/rpc.h"

enum
{
  /* Interval of rpc_peers_check.  */
  RPC_PEER_CHECK_INTERVAL_MS = 50,
  /* Largest record, in bytes; a larger one closes the connection.  */
  RPC_RECORD_MAX_BYTES = 8 << 20,
  RPC_RECORD_MARK_LEN = 4,
  RPC_READ_CHUNK_BYTES = 64 << 10
};

/* Which message of a procedure may take longer to transfer than the call's
   timeout.  */
typedef enum
{
  RPC_TRANSFER_SMALL, /* Neither the call nor the reply.  */
  RPC_TRANSFER_LARGE_CALL,
  RPC_TRANSFER_LARGE_REPLY
} rpc_transfer_size_t;

typedef struct
{
  const char *name;
  xdrproc_t args; /* Codec and release of the arguments.  */
  size_t args_size;
  xdrproc_t result; /* Codec and release of the result.  */
  size_t result_size;
  rpc_transfer_size_t transfer_size;
} rpc_proc_info_t;

/* Return the description of PROC, or NULL when there is no such procedure.  */
const rpc_proc_info_t *rpc_proc_info (uint32_t proc);

struct rpc_node
{
  uv_loop_t *loop;
  clock_iface_t *clock;
  rng_t rng;
  char *name;
  uint64_t epoch;
  struct rpc_mac *macs; /* MAC contexts, one for each key.  */
  size_t mac_count;
  rpc_hooks_t hooks;
  void *arg;
  char *scratch; /* Buffer of the message being encoded; grows as needed.  */
  size_t scratch_cap;
  uint32_t next_xid;
  uint64_t idle_ping_ms;
  list_t peers;
  /* Streams with bytes to write, flushed once per turn of the loop.  */
  list_t unflushed;
  uv_prepare_t flusher;
  uv_timer_t peer_check_timer;
  unsigned open_handles;
  bool destroyed;
  rpc_stats_t stats;
};

/* TCP connection that splits its input into records and writes its output once
   per turn of the loop.  Embedded in the connections of servers and peers;
   ON_RELEASE frees the embedding struct.  */
typedef struct rpc_stream
{
  uv_tcp_t tcp;
  rpc_node_t *node;
  buf_t in;
  size_t in_processed; /* Number of bytes of IN already processed.  */
  buf_t out;
  list_t unflushed;     /* Link in UNFLUSHED of the node.  */
  size_t queued_total;  /* Total number of bytes passed to rpc_stream_send.  */
  uint64_t received_ms; /* Time of the last received byte, or of the start.  */
  bool closing;
  /* Called for each received record; false: the record is malformed, and the
     stream is closed.  */
  bool (*on_record) (struct rpc_stream *stream, char *bytes, size_t len);
  /* Called when the connection was lost or closed after an error.  */
  void (*on_ended) (struct rpc_stream *stream);
  void (*on_release) (struct rpc_stream *stream);
} rpc_stream_t;

void rpc_stream_init (rpc_stream_t *stream, rpc_node_t *node);
/* Start reading from the connected socket.  */
void rpc_stream_start (rpc_stream_t *stream);
/* Queue RECORD of LEN bytes, including its record mark.  The bytes are written
   on this turn of the loop.  */
void rpc_stream_send (rpc_stream_t *stream, const char *record, size_t len);
/* Return the number of bytes passed to rpc_stream_send that the remote kernel
   has not acknowledged yet.  */
size_t rpc_stream_unacknowledged_bytes (const rpc_stream_t *stream);
/* Close the connection without calling ON_ENDED.  ON_RELEASE is called on a
   later turn of the loop.  */
void rpc_stream_close (rpc_stream_t *stream);

/* Encode a call or a reply, with its record mark, into the scratch buffer of
   NODE.  Return its length in bytes, or 0 when the scratch buffer cannot grow
   any more (RPC_RECORD_MAX_BYTES).  */
size_t rpc_encode_call (rpc_node_t *node, uint32_t xid, uint32_t proc,
                        void *args);
size_t rpc_encode_reply (rpc_node_t *node, uint32_t xid, uint32_t proc,
                         void *result);

typedef struct
{
  uint32_t xid;
  bool is_reply;
  uint32_t proc;          /* Procedure number of a call.  */
  uint32_t accept_stat;   /* RPC status of a reply; 0: success.  */
  wire_context_t context; /* Released by rpc_head_free.  */
  XDR xdr; /* Decoder, positioned at the arguments or the result.  */
} rpc_head_t;

/* Decode the head of RECORD and verify its MAC.  Return false, with nothing to
   free, when the head is malformed or not signed with a known key.  */
bool rpc_decode_head (rpc_node_t *node, char *record, size_t len,
                      rpc_head_t *head);
void rpc_head_free (rpc_head_t *head);

/* For each peer of NODE, send a ping if one is due, end timed-out calls and
   replace or close a connection that timed out.  */
void rpc_peers_check (rpc_node_t *node);
/* Free the peers of NODE for which rpc_peer_destroy was called.  */
void rpc_peers_free_destroyed (rpc_node_t *node);
/* Run rpc_peers_check on the next turn of the loop.  */
void rpc_node_schedule_peer_check (rpc_node_t *node);

#endif
